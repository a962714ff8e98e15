use crate::{Id, Micros, Settings, SlowStartShare, SlowStartUsage};

/// What happened to this dispatcher.
#[derive(Clone, Debug)]
pub enum Event {
    Arrival(Arrival),
    /// The answer has begun to flow: the forward now belongs to the client.
    ResponseStarted {
        invocation: Id,
        forward: u32,
    },
    /// A forward that is still out has been begun on.
    Started {
        invocation: Id,
        forward: u32,
    },
    /// A forward that is still out has come further.
    Progress {
        invocation: Id,
        forward: u32,
    },
    Outcome(Outcome),
    /// The client has left, or its time is over.
    ClientLeft {
        invocation: Id,
    },
    /// It cannot be held any longer: its final answer is owed now.
    AnswerNow {
        invocation: Id,
    },
    ProbeEnded {
        runner: Id,
        alive: bool,
        report: Vec<f64>,
    },
    Roster(Roster),
    /// New standing orders, in which each operation keeps its number.
    SettingsChanged(Box<Settings>),
    /// What another process of this dispatcher has sent to cold runners.
    SlowStartUsage(Vec<SlowStartUsage>),
    /// Which portions of cold runners' budgets are this dispatcher's own.
    SlowStartShares(Vec<SlowStartShare>),
    /// A timer that was armed has gone off.
    TimerFired,
}

#[derive(Clone, Debug)]
pub struct Arrival {
    pub invocation: Id,
    /// Index into the standing orders' operations.
    pub operation: usize,
    pub time_left: Micros,
    pub slots: f64,
    /// Its work as time on a standard core, where the client can tell.
    pub work_hint: Option<Micros>,
    pub key: Option<Id>,
}

#[derive(Clone, Debug)]
pub struct Outcome {
    pub invocation: Id,
    pub forward: u32,
    pub runner: Id,
    pub result: ForwardResult,
    /// Whether the invocation has had its final answer.
    pub answered: bool,
    pub elapsed: Micros,
    /// Values in the order of the standing orders' report fields; empty where none came.
    pub report: Vec<f64>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ForwardResult {
    Succeeded,
    Errored,
    Overloaded,
    TimedOut,
    Unreachable,
    Broken,
    Withdrawn,
    Void,
}

impl ForwardResult {
    /// The word for it in a log.
    pub fn code(self) -> &'static str {
        match self {
            ForwardResult::Succeeded => "succeeded",
            ForwardResult::Errored => "errored",
            ForwardResult::Overloaded => "overloaded",
            ForwardResult::TimedOut => "timed_out",
            ForwardResult::Unreachable => "unreachable",
            ForwardResult::Broken => "broken",
            ForwardResult::Withdrawn => "withdrawn",
            ForwardResult::Void => "void",
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
    Local,
    All,
    Remembered,
    Refused,
}

#[derive(Clone, Debug)]
pub struct RosterEntry {
    pub runner: Id,
    pub cell: i64,
    /// Registered size against other runners'; 1 where the roster does not tell.
    pub size: f64,
    pub machine_type: Id,
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
