//! topazsail decides, for one dispatcher, where each invocation is forwarded.
//!
//! `brain` holds every decision; the other files hold the plain types that it takes and returns.
//! None of them knows a protocol: an adapter (`drill` on the simulator's wire, `node` on
//! sockets) turns what it hears into [`Event`]s and carries out [`Action`]s.

mod actions;
mod books;
mod brain;
mod chance;
mod events;
mod standing;

use std::rc::Rc;

pub use actions::Action;
pub use brain::{Brain, Portion, Spent};
pub use chance::hash;
pub use events::{Arrival, Ending, Event, Listing, Outcome, Readiness, Roster, RosterEntry};
pub use standing::{Budget, Effect, Group, Operation, ReportField, Sizes, StandingOrders};

/// Whole microseconds: a moment of the adapter's clock, or a span.
pub type Micros = i64;
/// An id as the wire gives it.
pub type Id = Rc<str>;
