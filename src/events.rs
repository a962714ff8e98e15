//! Events: what the adapter reports to the routing policy.

use crate::{Id, Micros, Settings, SlowStartShare, SlowStartUsage};

/// An event that the adapter passes to [`crate::RoutingPolicy::decide`].
#[derive(Clone, Debug)]
pub enum Event {
    /// A new invocation.
    Arrival(Arrival),
    /// The response has started to reach the client, so the forward can no longer be moved or cancelled.
    ResponseStarted { invocation: Id, forward: u32 },
    /// The runner has started the job of a forward in flight.
    Started { invocation: Id, forward: u32 },
    /// A forward in flight has made progress.
    Progress { invocation: Id, forward: u32 },
    /// A forward has ended.
    Outcome(Outcome),
    /// A runner has reported the end of this forward or of an earlier one to it: this one, which is in
    /// flight, may have ended or not.
    EndUnclear { invocation: Id, forward: u32 },
    /// The runner has reported the end of this forward, which is about to follow as its outcome, and may
    /// report it again: the end of a later forward to the same runner could not be told from it.
    EndMayBeRepeated { invocation: Id, forward: u32 },
    /// The client has left, or its timeout has passed.
    ClientLeft { invocation: Id },
    /// The adapter cannot hold the invocation any longer: it must get its final answer now.
    AnswerNow { invocation: Id },
    /// A probe was answered (`alive`) or failed; `report` has the values of the settings' report fields.
    ProbeEnded { runner: Id, alive: bool, report: Vec<f64> },
    /// An update of the roster, or a refused subscription.
    Roster(Roster),
    /// New settings; each operation keeps its index.
    SettingsChanged(Box<Settings>),
    /// Work that another process of this dispatcher has sent to cold runners.
    SlowStartUsage(Vec<SlowStartUsage>),
    /// This dispatcher's agreed shares of cold runners' budgets.
    SlowStartShares(Vec<SlowStartShare>),
    /// A timer that was set has fired.
    TimerFired,
}

/// A new invocation as it arrives from a client.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Id of the invocation.
    pub invocation: Id,
    /// Index into the settings' operations.
    pub operation: usize,
    /// Time until its client times out.
    pub time_left: Micros,
    /// Slots that it takes in a runner.
    pub slots: f64,
    /// Its running time on a standard core, if the client hints at it.
    pub work_hint: Option<Micros>,
    /// Affinity key: invocations with the same key prefer the same runners.
    pub key: Option<Id>,
}

/// The end of a forward.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Id of the invocation.
    pub invocation: Id,
    /// Number of the forward, from 0 for the invocation's first.
    pub forward: u32,
    /// The runner that it was sent to.
    pub runner: Id,
    /// How it ended.
    pub result: ForwardResult,
    /// Whether the invocation has got its final answer.
    pub answered: bool,
    /// Time from sending to the end.
    pub elapsed: Micros,
    /// Load report, with values in the order of the settings' report fields; empty if there was none.
    pub report: Vec<f64>,
}

/// How a forward ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ForwardResult {
    /// The job was completed.
    Succeeded,
    /// The runner answered with an error, or the job failed.
    Errored,
    /// The runner rejected it as full; it did not run.
    Overloaded,
    /// The client's timeout passed first.
    TimedOut,
    /// No connection could be opened; it did not run.
    Unreachable,
    /// The connection broke, or the answer was unusable or missing; it may have run.
    Broken,
    /// It was cancelled; it may have run.
    Withdrawn,
    /// It was never sent.
    Void,
}

impl ForwardResult {
    /// Its code in logs.
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

/// An update of the roster.
#[derive(Clone, Debug)]
pub struct Roster {
    /// What kind of update this is.
    pub listing: Listing,
    /// The runners listed; which others are listed depends on `listing`.
    pub entries: Vec<RosterEntry>,
}

/// The kind and source of a roster update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listing {
    /// Changed runners only; others stay as they are.
    Changes,
    /// Changes that did not come from the roster, such as admin overrides; others stay as they are.
    Local,
    /// The whole roster.
    All,
    /// The whole roster as last known before a restart.
    Remembered,
    /// No entries: the subscription was refused or lost.
    Refused,
}

/// A runner in the roster.
#[derive(Clone, Debug)]
pub struct RosterEntry {
    /// Id of the runner.
    pub runner: Id,
    /// Its cell, for operations deduplicated within a cell.
    pub cell: i64,
    /// Its size relative to other runners, see [`crate::SizeSource`]; 1 if the roster has no sizes.
    pub size: f64,
    /// Its machine type; some operations run on one type only.
    pub machine_type: Id,
    /// Its zone.
    pub zone: Id,
    /// Whether it accepts invocations.
    pub readiness: Readiness,
    /// When it last started, if that is known and recent.
    pub started_at: Option<Micros>,
}

/// Membership state of a runner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Readiness {
    /// Accepts new forwards.
    Up,
    /// Completes what it has and gets nothing new.
    Draining,
    /// No longer listed.
    Removed,
}
