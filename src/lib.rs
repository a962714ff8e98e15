//! topazsail decides, for one dispatcher, where each invocation is forwarded.
//!
//! `routing_policy` holds every decision; the other files hold the plain types that it takes and returns.
//! None of them knows a protocol: an adapter (`drill` on the simulator's wire, `node` on
//! sockets) turns what it hears into [`Event`]s and carries out [`Action`]s.

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

/// Whole microseconds: a moment of the adapter's clock, or a span.
pub type Micros = i64;
/// An id as the wire gives it.
pub type Id = Rc<str>;
