//! How one process of a dispatcher takes over from another that serves at the same address, without I/O.
//!
//! - [`Upgrade`] is the state of one process: which of the two it is, which [`Resource`]s it owns, and what it does
//!   when the other one is ready, falls silent or ends.
//! - [`OverrideOrder`] orders the admin overrides that the two processes tell each other of.
//!
//! The process that embeds this core passes on what it hears as an [`Event`], and carries out the returned
//! [`Action`]s in their order. `docs/upgrades.md` has the table of states and events.

mod overrides;
mod state;

pub use overrides::OverrideOrder;
pub use state::{Action, Event, Failure, Message, Refusal, Resource, Role, Upgrade};
