//! Actions: what the routing policy asks the adapter to do.

use crate::{Id, Micros};

/// An action that the adapter carries out at the time of the decision, in the order given.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the invocation to a runner. `send_by` is set for a retry that has to be sent before the runners'
    /// deduplication window of an earlier forward ends.
    Forward { invocation: Id, runner: Id, send_by: Option<Micros> },
    /// Cancel a forward in flight.
    Cancel { invocation: Id, forward: u32 },
    /// Answer the client that it may retry, after `retry_after` if that is given.
    Throttle { invocation: Id, retry_after: Option<Micros> },
    /// Answer the client with an error.
    Error { invocation: Id },
    /// Probe a runner.
    Probe { runner: Id },
    /// Subscribe to the roster.
    Subscribe,
    /// Pass [`crate::Event::TimerFired`] after this span.
    SetTimer { after: Micros },
    /// Log a line.
    Log(String),
}
