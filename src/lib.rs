//! topazsail decides, for one dispatcher, which runner each invocation is forwarded to.
//!
//! The module `routing_policy` holds every decision; the other modules hold its state and the plain types
//! that it takes and returns. None of them depends on a protocol: an adapter (`drill` for the simulator's
//! protocol, `node` for sockets) turns input into [`Event`]s and carries out [`Action`]s.

mod actions;
mod events;
mod random;
mod routing_policy;
mod settings;
mod state_tables;

use std::rc::Rc;

pub use actions::Action;
pub use events::{Arrival, Event, ForwardResult, Listing, Outcome, Readiness, Roster, RosterEntry};
pub use random::hash;
pub use routing_policy::{RoutingPolicy, SlowStartShare, SlowStartUsage};
pub use settings::{DeduplicationScope, Effect, Operation, ReportField, RetryBudget, Settings, SizeSource};

/// A time of the adapter's clock, or a span, in whole microseconds.
pub type Micros = i64;
/// An id as it appears in the protocol.
pub type Id = Rc<str>;

#[cfg(test)]
#[path = "../tests/unit/key_usage.rs"]
mod key_usage;
