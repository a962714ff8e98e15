use crate::{Id, Micros};

/// What is to be done, in this order, at the moment of the decision.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Not to leave later than that, where the runners' memory of an earlier one ends.
    Forward {
        invocation: Id,
        runner: Id,
        latest: Option<Micros>,
    },
    Cancel {
        invocation: Id,
        forward: u32,
    },
    Throttle {
        invocation: Id,
        retry_after: Option<Micros>,
    },
    Error {
        invocation: Id,
    },
    Probe {
        runner: Id,
    },
    Subscribe,
    SetTimer {
        after: Micros,
    },
    Log(String),
}
