use crate::{Id, Micros, Portion, Spent, StandingOrders};

/// What happened to this dispatcher.
#[derive(Clone, Debug)]
pub enum Event {
    Arrival(Arrival),
    /// The answer has begun to flow: the forward now belongs to the client.
    Flowing {
        inv: Id,
        forward: u32,
    },
    /// A forward that is still out has been begun on.
    Started {
        inv: Id,
        forward: u32,
    },
    /// A forward that is still out has come further.
    Progress {
        inv: Id,
        forward: u32,
    },
    Outcome(Outcome),
    /// The client has left, or its time is over.
    Gone {
        inv: Id,
    },
    /// It cannot be held any longer: its final answer is owed now.
    Over {
        inv: Id,
    },
    Probed {
        tgt: Id,
        alive: bool,
        report: Vec<f64>,
    },
    Roster(Roster),
    /// New standing orders, in which each operation keeps its number.
    Retuned(Box<StandingOrders>),
    /// What another process of this dispatcher has sent to cold runners.
    Spent(Vec<Spent>),
    /// Which portions of cold runners' budgets are this dispatcher's own.
    Portions(Vec<Portion>),
    /// A timer that was armed has gone off.
    Tick,
}

#[derive(Clone, Debug)]
pub struct Arrival {
    pub inv: Id,
    /// Index into the standing orders' operations.
    pub operation: usize,
    pub expires_in: Micros,
    pub slots: f64,
    /// Its work as time on a standard core, where the client can tell.
    pub hint: Option<Micros>,
    pub key: Option<Id>,
}

#[derive(Clone, Debug)]
pub struct Outcome {
    pub inv: Id,
    pub forward: u32,
    pub tgt: Id,
    pub ending: Ending,
    /// Whether the invocation has had its final answer.
    pub finished: bool,
    pub elapsed: Micros,
    /// Values in the order of the standing orders' report fields; empty where none came.
    pub report: Vec<f64>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    Succeeded,
    Errored,
    Overloaded,
    TimedOut,
    Unreachable,
    Broken,
    Withdrawn,
    Void,
}

impl Ending {
    /// The word for it in a log.
    pub fn code(self) -> &'static str {
        match self {
            Ending::Succeeded => "succeeded",
            Ending::Errored => "errored",
            Ending::Overloaded => "overloaded",
            Ending::TimedOut => "timed_out",
            Ending::Unreachable => "unreachable",
            Ending::Broken => "broken",
            Ending::Withdrawn => "withdrawn",
            Ending::Void => "void",
        }
    }
}

#[derive(Clone, Debug)]
pub struct Roster {
    pub listing: Listing,
    pub entries: Vec<RosterEntry>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listing {
    Changes,
    /// Changes of standing that the roster did not tell.
    Own,
    All,
    Remembered,
    Refused,
}

#[derive(Clone, Debug)]
pub struct RosterEntry {
    pub tgt: Id,
    pub cell: i64,
    /// Registered size against other runners'; 1 where the roster does not tell.
    pub size: f64,
    pub kind: Id,
    pub zone: Id,
    pub readiness: Readiness,
    /// When it last started, where that is known and not long ago.
    pub launched: Option<Micros>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Readiness {
    Up,
    Draining,
    Removed,
}
