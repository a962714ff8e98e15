use crate::{Id, Micros};

/// What is to be done, in this order, at the moment of the decision.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Not to leave later than that, where the runners' memory of an earlier one ends.
    Forward {
        inv: Id,
        tgt: Id,
        by: Option<Micros>,
    },
    Cancel {
        inv: Id,
        forward: u32,
    },
    Throttle {
        inv: Id,
        come_back: Option<Micros>,
    },
    Error {
        inv: Id,
    },
    Probe {
        tgt: Id,
    },
    Follow,
    Tick {
        after: Micros,
    },
    Log(String),
}
