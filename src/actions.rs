use crate::{Id, Micros};

/// What is to be done, in this order, at the moment of the decision.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    Forward {
        inv: Id,
        tgt: Id,
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
    /// Closes this dispatcher's idle connections to a runner.
    Disconnect {
        tgt: Id,
    },
    Follow,
    Tick {
        after: Micros,
    },
    Log(String),
}
