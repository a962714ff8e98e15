//! The judge: checks the rules of the deployment ([`Rule`]) by what was observed on the wires alone.
//!
//! It holds the rules and the history of each open invocation. It shares no code with the dispatcher, only
//! the ids on the wire and the unit of time, and uses no statement of the dispatcher about its own actions.
//! It does no I/O and reads no clock. An observation that does not fit the earlier ones, such as the end of a
//! forward that nobody sent, is recorded as a fault of the lab.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::fmt;

use serde::Serialize;
use topazsail::Micros;

use crate::scenario::{DeduplicationScope, Effect, Operation, Scenario};

/// The id of one attempt of a client, as it stands on the wire.
pub type InvocationId = u64;

/// The final status that a client receives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalStatus {
    Succeeded,
    Throttled,
    Errored,
}

/// How a forward ended, as the runner's side of the wire showed it to the dispatcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ForwardEnd {
    Succeeded,
    /// The runner may have run it.
    MayHaveRun,
    /// The runner has certainly not run it.
    NeverRan,
}

/// One observation on a wire. The `Debug` text of variants and fields appears in the histories of violations,
/// so their names are part of the results.
#[derive(Clone, Debug)]
pub enum Observation {
    /// The last byte of an invocation has reached a dispatcher.
    Taken { inv: InvocationId, dispatcher: u32, operation: usize, expires_at: Micros },
    /// A client has received its final answer.
    Answered { inv: InvocationId, how: FinalStatus },
    /// A success carried a result that no runner produced for this invocation.
    Forged { inv: InvocationId },
    /// The client has left: no answer is required any more.
    Left { inv: InvocationId },
    /// A keep-alive connection closed while the invocation was being sent on it, and the client sends it
    /// elsewhere: no answer is required unless the dispatcher had read it.
    Crossed { inv: InvocationId },
    /// The dispatcher that held the unanswered invocation was killed.
    Lost { inv: InvocationId },
    /// A forward has left the dispatcher. `work` is in microseconds. `cold` is the present true capacity of a
    /// cold runner, in work per microsecond; none for a warm one.
    Forwarded { inv: InvocationId, dispatcher: u32, runner: u32, work: f64, cold: Option<f64> },
    /// A forward has stated to its runner how long its client will still wait, in microseconds.
    TimeTold { inv: InvocationId, told: Micros },
    /// A forward has ended at its runner.
    Ended { inv: InvocationId, runner: u32, how: ForwardEnd },
    /// The dispatcher has cancelled a forward that was in flight.
    Withdrawn { inv: InvocationId, runner: u32 },
    /// A runner has started the invocation and does not recognise it as a repeat: its effect takes place.
    Ran { inv: InvocationId, runner: u32 },
    /// Discovery lists the runner in this state from now on; `wanted` if the state is up.
    Listed { runner: u32, wanted: bool, launched: Option<Micros> },
    /// Discovery has written a runner's state to a dispatcher.
    Told { dispatcher: u32, runner: u32, wanted: bool },
    /// A dispatcher has started as a new process. It does not know what earlier processes were notified of.
    Began { dispatcher: u32 },
    /// A dispatcher has confirmed an admin override that takes a runner out or back in; `None` if the call's
    /// result is unknown.
    Hand { dispatcher: u32, runner: u32, out: Option<bool> },
    /// A dispatcher has reported its boot number.
    Boot { dispatcher: u32, boot: u64 },
    /// In reply to a request sent at `asked`, a dispatcher has reported that it has no roster yet.
    Unlisted { dispatcher: u32, asked: Micros },
    /// A dispatcher's disk was emptied or replaced by another state: the dispatcher cannot know what it
    /// stored.
    Forgets { dispatcher: u32 },
    /// A dispatcher's process is suspended (`still`) or resumes.
    Still { dispatcher: u32, still: bool },
}

/// The rules that every run is judged by.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// Exactly one answer, in time, and nothing forwarded after it.
    OneAnswer,
    /// No effect takes place twice.
    NoEffectTwice,
    /// Nothing is forwarded to a draining or removed runner after the drain grace.
    NothingToDraining,
    /// A cold runner is sent no more than its budget of work and calls.
    ColdBudget,
    /// A runner that a confirmed admin override took out receives nothing, also after a restart.
    HandHolds,
    /// Each boot number is higher than those of all earlier process runs.
    BootRises,
    /// A dispatcher forwards nothing while it reports that it has no roster.
    NotBeforeListed,
    /// No runner is given a later deadline than the client's.
    DeadlineTold,
}

impl fmt::Display for Rule {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        to.write_str(match self {
            Rule::OneAnswer => "one-answer",
            Rule::NoEffectTwice => "no-effect-twice",
            Rule::NothingToDraining => "nothing-to-draining",
            Rule::ColdBudget => "cold-budget",
            Rule::HandHolds => "hand-holds",
            Rule::BootRises => "boot-rises",
            Rule::NotBeforeListed => "not-before-listed",
            Rule::DeadlineTold => "deadline-told",
        })
    }
}

/// One broken rule, with the history that shows it.
#[derive(Clone, Debug, Serialize)]
pub struct Violation {
    pub rule: Rule,
    /// When it was broken, in microseconds from the start of the run.
    pub at: Micros,
    /// The invocation concerned; 0 for rules that concern no single one.
    pub inv: InvocationId,
    /// What was observed.
    pub what: String,
    /// All observations of the invocation until then, one line each.
    pub history: Vec<String>,
}

/// What the judge must know of a deployment. Times are in microseconds.
pub struct JudgeParameters {
    pub operations: Vec<Operation>,
    /// Zone and cell of each runner.
    pub locations: Vec<(usize, i64)>,
    /// How long after its notification a dispatcher may still forward to a draining runner.
    pub drain_grace: Micros,
    /// After this time a roster change counts as known to every dispatcher.
    pub notification_deadline: Micros,
    /// A cold runner's budget is this factor times the work that it can do in `overload_window`.
    pub overload_factor: f64,
    /// The span over which a cold runner's budget applies.
    pub overload_window: Micros,
    /// The mean work of an invocation, in microseconds.
    pub mean_work: f64,
    /// By how much an observation may come later than the event: the delay on the wire that the lab cannot
    /// tell from lateness.
    pub slack: Micros,
    /// The same for a final answer against the client timeout.
    pub answer_slack: Micros,
}

impl JudgeParameters {
    /// Takes the parameters from a scenario; `locations` has the zone and cell of each runner.
    pub fn of(
        scenario: &Scenario,
        locations: Vec<(usize, i64)>,
        slack: Micros,
        answer_slack: Micros,
    ) -> JudgeParameters {
        JudgeParameters {
            operations: scenario.operation.clone(),
            locations,
            drain_grace: scenario.limits.drain_grace.0,
            notification_deadline: scenario.limits.ask_within.0,
            overload_factor: scenario.limits.overload_factor,
            overload_window: scenario.limits.tip_after.0,
            mean_work: scenario.mean_work(),
            slack,
            answer_slack,
        }
    }
}

/// A forward that the judge has seen.
struct SentForward {
    runner: u32,
    at: Micros,
    end: Option<ForwardEnd>,
    withdrawn: bool,
}

impl SentForward {
    fn is_in_flight(&self) -> bool {
        self.end.is_none() && !self.withdrawn
    }

    fn has_never_run(&self) -> bool {
        self.end == Some(ForwardEnd::NeverRan)
    }
}

/// All that the judge knows of an open invocation.
struct InvocationRecord {
    dispatcher: u32,
    operation: usize,
    expires_at: Micros,
    answered: Option<(Micros, FinalStatus)>,
    /// No answer is required: the client has left, or the dispatcher was killed.
    excused: bool,
    /// When the client closed its connection.
    left_at: Option<Micros>,
    sent: Vec<SentForward>,
    /// How many times its effect took place.
    effects: u32,
    work: f64,
    history: Vec<(Micros, Observation)>,
}

impl InvocationRecord {
    /// Whether no further observation of the invocation was due at that moment.
    fn is_finished(&self, then: Micros) -> bool {
        let answered = self.answered.is_some_and(|(at, _)| at < then)
            && !self.sent.iter().any(SentForward::is_in_flight);
        answered || self.expires_at < then
    }
}

/// The forwards sent to a cold runner within the last span: time, work, and whether the dispatcher knew of
/// the runner's start. Once `broken` is set, no further violation is recorded for this start.
#[derive(Default)]
struct ColdRunner {
    sends: VecDeque<(Micros, f64, bool)>,
    broken: bool,
}

/// Violations recorded in full, and faults of the lab recorded; further violations are only counted.
const MAX_DETAILED_VIOLATIONS: usize = 20;
/// How long a finished invocation is kept, in microseconds, to judge observations that come late.
const RETENTION: Micros = 5_000_000;
/// How long a process may take to catch up after it resumes, in microseconds.
const RESUME_GRACE: Micros = 100_000;
/// Factor by which the work sent to a cold runner may exceed its budget by chance: the length of a job is not
/// known when it is sent. The number of calls has a limit of its own, the call limit: N + 2 * sqrt(N) + 2
/// where the budget is N calls of mean work.
const COLD_WORK_TOLERANCE: f64 = 1.15;

/// How long after a client closes its connection a forward may still start for it, in microseconds; given by
/// the platform's terms.
const CLIENT_LEFT_GRACE: Micros = 100_000;
/// By how much the time stated to a runner may exceed the time that its client has left, in microseconds;
/// given by the platform's terms.
const STATED_TIME_SLACK: Micros = 150_000;

/// Takes observations in order of time and records every violation of a rule.
pub struct Judge {
    parameters: JudgeParameters,
    invocations: HashMap<InvocationId, InvocationRecord>,
    /// Invocations in the order in which they were taken, for removal.
    order: VecDeque<(Micros, InvocationId)>,
    /// By dispatcher and runner: since when the dispatcher has known that the runner is not wanted, and
    /// whether the runner was wanted in the latest notification.
    notified: HashMap<(u32, u32), (Option<Micros>, bool)>,
    /// By runner: when discovery last changed its state, whether it is wanted, and when it was launched.
    listed: BTreeMap<u32, (Micros, bool, Option<Micros>)>,
    cold: BTreeMap<u32, ColdRunner>,
    /// Suspended dispatchers, and since when.
    suspended: BTreeMap<u32, Micros>,
    /// Runners taken out by an admin override, by dispatcher, and since when.
    overrides: BTreeMap<(u32, u32), Micros>,
    /// By dispatcher, the highest boot number of earlier process runs, and that of the present one.
    boots: BTreeMap<u32, (u64, Option<u64>)>,
    /// When the present process run of each dispatcher first forwarded anything.
    first_forwards: BTreeMap<u32, Micros>,
    /// Counts and violations so far.
    pub verdict: Verdict,
    /// How late the lab's own observations are now, in microseconds: an event may have happened that much
    /// earlier than it is seen, which is not held against any dispatcher.
    pub observation_delay: Micros,
    /// Work sent to cold runners, in microseconds.
    pub cold_work: f64,
    /// The largest share of one runner's budget that all dispatchers together used.
    pub max_cold_share: f64,
    /// The calls sent to cold runners, against the call limit.
    pub cold_calls: ColdCalls,
}

/// The calls that cold runners received in each span that ends with a call, against the call limit: the N
/// calls of mean work that the rule allows, plus 2 * sqrt(N) + 2 for chance.
#[derive(Clone, Copy, Debug, Default)]
pub struct ColdCalls {
    /// Number of spans.
    pub spans: u64,
    /// Spans with more calls than the call limit.
    pub over: u64,
    /// The largest share of the call limit in any span.
    pub most: f64,
}

/// What the judge found in a run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Verdict {
    pub taken: u64,
    pub succeeded: u64,
    pub throttled: u64,
    pub errored: u64,
    /// Unanswered when their dispatcher was killed.
    pub lost_by_kill: u64,
    pub forwards: u64,
    /// Number of violations by rule.
    pub violations: BTreeMap<Rule, u64>,
    /// The first violations in full.
    pub kept: Vec<Violation>,
    /// Faults of the lab itself; a run with any of these proves nothing.
    pub own_faults: Vec<String>,
}

impl Verdict {
    /// Whether no rule was broken.
    pub fn is_clean(&self) -> bool {
        self.violations.is_empty()
    }
}

impl Judge {
    /// A judge of a deployment that has not been started yet.
    pub fn new(parameters: JudgeParameters) -> Judge {
        Judge {
            parameters,
            invocations: HashMap::new(),
            order: VecDeque::new(),
            notified: HashMap::new(),
            listed: BTreeMap::new(),
            cold: BTreeMap::new(),
            suspended: BTreeMap::new(),
            overrides: BTreeMap::new(),
            boots: BTreeMap::new(),
            first_forwards: BTreeMap::new(),
            verdict: Verdict::default(),
            observation_delay: 0,
            cold_work: 0.0,
            max_cold_share: 0.0,
            cold_calls: ColdCalls::default(),
        }
    }

    /// Counts a violation and keeps the first ones with the history of their invocation.
    fn record_violation(&mut self, at: Micros, rule: Rule, inv: InvocationId, what: String) {
        *self.verdict.violations.entry(rule).or_default() += 1;
        if self.verdict.kept.len() < MAX_DETAILED_VIOLATIONS {
            let lines =
                self.invocations.get(&inv).map(|record| record.history.as_slice()).unwrap_or_default();
            let history = lines.iter().map(|(at, seen)| format!("{at} {seen:?}")).collect();
            self.verdict.kept.push(Violation { rule, at, inv, what, history });
        }
    }

    /// Records a fault of the lab: an observation that does not fit the earlier ones.
    fn record_lab_fault(&mut self, at: Micros, what: String) {
        if self.verdict.own_faults.len() < MAX_DETAILED_VIOLATIONS {
            self.verdict.own_faults.push(format!("{at}: {what}"));
        }
    }

    /// Takes in one observation; observations must come in order of time.
    pub fn observe(&mut self, at: Micros, seen: Observation) {
        let inv = match &seen {
            Observation::Taken { inv, .. }
            | Observation::Answered { inv, .. }
            | Observation::Forged { inv }
            | Observation::Left { inv }
            | Observation::Crossed { inv }
            | Observation::Lost { inv }
            | Observation::Forwarded { inv, .. }
            | Observation::TimeTold { inv, .. }
            | Observation::Ended { inv, .. }
            | Observation::Withdrawn { inv, .. }
            | Observation::Ran { inv, .. } => Some(*inv),
            _ => None,
        };
        if let Some(record) = inv.and_then(|inv| self.invocations.get_mut(&inv)) {
            record.history.push((at, seen.clone()));
        }
        match seen {
            Observation::Taken { inv, dispatcher, operation, expires_at } => {
                self.record_taken(at, inv, (dispatcher, operation), expires_at, seen);
            }
            Observation::Answered { inv, how } => self.record_answer(at, inv, how),
            Observation::Forged { inv } => {
                self.record_violation(
                    at,
                    Rule::OneAnswer,
                    inv,
                    "succeeded with what no runner made for it".into(),
                );
            }
            Observation::Left { inv } => {
                if let Some(record) = self.invocations.get_mut(&inv) {
                    record.excused = true;
                    record.left_at.get_or_insert(at);
                }
            }
            // Once something was forwarded, the dispatcher had read the invocation.
            Observation::Crossed { inv } => {
                if let Some(record) = self.invocations.get_mut(&inv).filter(|record| record.sent.is_empty()) {
                    record.excused = true;
                    record.left_at.get_or_insert(at);
                }
            }
            Observation::Lost { inv } => {
                if let Some(record) =
                    self.invocations.get_mut(&inv).filter(|record| record.answered.is_none())
                {
                    self.verdict.lost_by_kill += u64::from(!record.excused);
                    record.excused = true;
                }
            }
            Observation::Forwarded { inv, dispatcher, runner, work, cold } => {
                self.record_forward(at, inv, (dispatcher, runner), work, cold);
            }
            Observation::TimeTold { inv, told } => self.check_stated_time(at, inv, told),
            Observation::Ended { inv, runner, how } => self.record_forward_end(at, inv, runner, Some(how)),
            Observation::Withdrawn { inv, runner } => self.record_forward_end(at, inv, runner, None),
            Observation::Ran { inv, runner } => self.record_start(at, inv, runner),
            Observation::Listed { runner, wanted, launched } => {
                self.listed.insert(runner, (at, wanted, launched));
                if wanted && launched.is_some() {
                    self.cold.insert(runner, ColdRunner::default());
                }
            }
            Observation::Told { dispatcher, runner, wanted } => {
                let notification = self.notified.entry((dispatcher, runner)).or_insert((None, true));
                // A repeated notification does not extend the drain grace.
                let since = if wanted { None } else { Some(notification.0.unwrap_or(at)) };
                *notification = (since, wanted);
            }
            Observation::Began { dispatcher } => {
                self.notified.retain(|(d, _), _| *d != dispatcher);
                self.suspended.remove(&dispatcher);
                self.first_forwards.remove(&dispatcher);
                let (earlier, present) = self.boots.entry(dispatcher).or_default();
                *earlier = (*earlier).max(present.take().unwrap_or(0));
            }
            Observation::Hand { dispatcher, runner, out: Some(true) } => {
                self.overrides.entry((dispatcher, runner)).or_insert(at);
            }
            Observation::Hand { dispatcher, runner, .. } => _ = self.overrides.remove(&(dispatcher, runner)),
            Observation::Boot { dispatcher, boot } => self.record_boot(at, dispatcher, boot),
            Observation::Unlisted { dispatcher, asked } => {
                if self.first_forwards.get(&dispatcher).is_some_and(|first| *first < asked) {
                    let what = format!("d{dispatcher} had forwarded before it had a list");
                    self.record_violation(at, Rule::NotBeforeListed, 0, what);
                }
            }
            Observation::Forgets { dispatcher } => {
                self.overrides.retain(|(d, _), _| *d != dispatcher);
                self.boots.remove(&dispatcher);
            }
            Observation::Still { dispatcher, still: true } => {
                self.suspended.entry(dispatcher).or_insert(at);
            }
            Observation::Still { dispatcher, still: false } => self.record_resume(at, dispatcher),
        }
    }

    /// Records the true work of an invocation, which only its client knows.
    pub fn note_work(&mut self, inv: InvocationId, work: f64) {
        if let Some(record) = self.invocations.get_mut(&inv) {
            record.work = work;
        }
    }

    /// The work of an open invocation in microseconds, 0 if it is unknown.
    pub fn work(&self, inv: InvocationId) -> f64 {
        self.invocations.get(&inv).map_or(0.0, |record| record.work)
    }

    /// The operation of an open invocation, as its index in the scenario.
    pub fn operation(&self, inv: InvocationId) -> Option<usize> {
        self.invocations.get(&inv).map(|record| record.operation)
    }

    /// Records that a suspended process has resumed. It could not act: invocations that expire before it has
    /// caught up are excused, and what was written to it meanwhile counts as known from now on. All other
    /// rules hold unchanged for what it does next.
    fn record_resume(&mut self, at: Micros, dispatcher: u32) {
        let Some(since) = self.suspended.remove(&dispatcher) else { return };
        for record in self.invocations.values_mut().filter(|record| record.dispatcher == dispatcher) {
            record.excused |= record.answered.is_none() && record.expires_at < at + RESUME_GRACE;
        }
        for ((_, _), (unwanted_since, _)) in self.notified.iter_mut().filter(|((d, _), _)| *d == dispatcher) {
            *unwanted_since = unwanted_since.map(|then| if then >= since { at } else { then });
        }
    }

    /// Checks that a boot number is higher than those of earlier process runs.
    fn record_boot(&mut self, at: Micros, dispatcher: u32, boot: u64) {
        let (earlier, present) = self.boots.entry(dispatcher).or_default();
        let (earlier, present) = (*earlier, present.replace(boot));
        if boot <= earlier || present.is_some_and(|present| present > boot) {
            let what =
                format!("d{dispatcher} has the boot number {boot}, after {}", present.unwrap_or(earlier));
            self.record_violation(at, Rule::BootRises, 0, what);
        }
    }

    /// Opens an invocation, and closes those that ended long enough ago.
    fn record_taken(
        &mut self,
        at: Micros,
        inv: InvocationId,
        (dispatcher, operation): (u32, usize),
        expires_at: Micros,
        seen: Observation,
    ) {
        self.verdict.taken += 1;
        let record = InvocationRecord {
            dispatcher,
            operation,
            expires_at,
            answered: None,
            excused: false,
            left_at: None,
            sent: Vec::new(),
            effects: 0,
            work: 0.0,
            history: vec![(at, seen)],
        };
        if self.invocations.insert(inv, record).is_some() {
            self.record_lab_fault(at, format!("invocation {inv:x} was taken twice"));
        }
        self.order.push_back((at, inv));
        while let Some((taken, oldest)) = self.order.front().copied()
            && taken < at - RETENTION
            && self.invocations.get(&oldest).is_none_or(|record| record.is_finished(at - RETENTION))
        {
            self.order.pop_front();
            self.close(at, oldest);
        }
    }

    /// Removes an invocation, and records a violation if it was never answered.
    fn close(&mut self, at: Micros, inv: InvocationId) {
        let Some(record) = self.invocations.get(&inv) else { return };
        if record.answered.is_none() && !record.excused {
            self.record_violation(at, Rule::OneAnswer, inv, "never answered".into());
        }
        self.invocations.remove(&inv);
    }

    /// Checks an answer: only one, in time, and throttled only where a repeat is harmless.
    fn record_answer(&mut self, at: Micros, inv: InvocationId, how: FinalStatus) {
        let slack = self.parameters.answer_slack + self.observation_delay;
        let Some(record) = self.invocations.get_mut(&inv) else {
            return self.record_lab_fault(at, format!("an answer to {inv:x}, which nobody took"));
        };
        let (before, late) = (record.answered, at > record.expires_at + slack);
        let op = &self.parameters.operations[record.operation];
        let repeatable = match op.effect {
            Effect::Idempotent => true,
            Effect::Deduplicated => op.group == DeduplicationScope::All,
            Effect::NonIdempotent => false,
        };
        let harmless = repeatable || record.sent.iter().all(SentForward::has_never_run);
        record.answered = Some((at, how));
        let excused = record.excused;
        match how {
            FinalStatus::Succeeded => self.verdict.succeeded += 1,
            FinalStatus::Throttled => self.verdict.throttled += 1,
            FinalStatus::Errored => self.verdict.errored += 1,
        }
        if let Some((first, _)) = before {
            self.record_violation(at, Rule::OneAnswer, inv, format!("answered twice, first at {first}"));
        }
        if late && !excused {
            self.record_violation(at, Rule::OneAnswer, inv, "answered after the client timeout".into());
        }
        if how == FinalStatus::Throttled && !harmless {
            self.record_violation(at, Rule::NoEffectTwice, inv, "throttled, though it may have run".into());
        }
    }

    /// Checks the remaining time stated to a runner against what the client will still wait.
    fn check_stated_time(&mut self, at: Micros, inv: InvocationId, stated: Micros) {
        let Some(record) = self.invocations.get(&inv) else { return };
        let left = record.expires_at - at;
        if stated > left + STATED_TIME_SLACK + self.observation_delay {
            let what = format!("its runner was told {stated} us with {left} us left");
            self.record_violation(at, Rule::DeadlineTold, inv, what);
        }
    }

    /// Checks a forward against all rules that concern the sending of one.
    fn record_forward(
        &mut self,
        at: Micros,
        inv: InvocationId,
        (dispatcher, runner): (u32, u32),
        work: f64,
        cold: Option<f64>,
    ) {
        self.verdict.forwards += 1;
        let slack = self.parameters.slack + self.observation_delay;
        let Some(record) = self.invocations.get_mut(&inv) else {
            return self.record_lab_fault(at, format!("a forward of {inv:x}, which nobody took"));
        };
        let mut violations: Vec<(Rule, String)> = Vec::new();
        if let Some((answered, _)) = record.answered.filter(|(answered, _)| at > answered + slack) {
            violations.push((Rule::OneAnswer, format!("forwarded after its answer at {answered}")));
        }
        if let Some(left) =
            record.left_at.filter(|left| at > left + CLIENT_LEFT_GRACE + self.observation_delay)
        {
            violations
                .push((Rule::OneAnswer, format!("forwarded {} us after its client had left", at - left)));
        }
        if record.sent.iter().any(SentForward::is_in_flight) {
            violations.push((Rule::NoEffectTwice, "two forwards out at once".into()));
        }
        let op = &self.parameters.operations[record.operation];
        let location =
            |runner: u32| self.parameters.locations.get(runner as usize).copied().unwrap_or((usize::MAX, -1));
        let first = record.sent.iter().find(|sent| !sent.has_never_run());
        match (op.effect, first) {
            (_, None) | (Effect::Idempotent, _) => {}
            (Effect::NonIdempotent, Some(first)) => {
                let what = format!("forwarded again, though it may have run at r{}", first.runner);
                violations.push((Rule::NoEffectTwice, what));
            }
            (Effect::Deduplicated, Some(first)) => {
                let (there, here) = (location(first.runner), location(runner));
                let is_in_scope = match op.group {
                    DeduplicationScope::All => true,
                    DeduplicationScope::Zone => there.0 == here.0,
                    DeduplicationScope::Cell => there.1 == here.1,
                };
                if !is_in_scope {
                    let what = format!("forwarded again outside the group of r{}", first.runner);
                    violations.push((Rule::NoEffectTwice, what));
                }
                if at > first.at + op.memory_span.0 + slack {
                    let what = format!("forwarded again, {} us after the first", at - first.at);
                    violations.push((Rule::NoEffectTwice, what));
                }
            }
        }
        record.sent.push(SentForward { runner, at, end: None, withdrawn: false });

        // Notified, or treated as notified: a change counts for every dispatcher after the notification
        // deadline.
        let notification = self.notified.get(&(dispatcher, runner)).copied();
        let listed = self.listed.get(&runner).copied();
        let deadline = listed
            .filter(|(_, wanted, _)| !wanted)
            .map(|(at, ..)| at + self.parameters.notification_deadline);
        let since = [notification.and_then(|(since, _)| since), deadline].into_iter().flatten().min();
        let past_grace = since.filter(|since| at > since + self.parameters.drain_grace + slack);
        if let Some(since) = past_grace {
            let what = format!("forwarded to r{runner} {} us after it was told to leave it", at - since);
            violations.push((Rule::NothingToDraining, what));
        }
        self.first_forwards.entry(dispatcher).or_insert(at);
        let out = self.overrides.get(&(dispatcher, runner)).copied();
        if let Some(since) = out.filter(|since| at > since + slack) {
            let what = format!("d{dispatcher} forwarded to r{runner}, out by hand for {} us", at - since);
            violations.push((Rule::HandHolds, what));
        }
        if let Some(capacity) = cold {
            let knows_start = notification.is_some_and(|(_, wanted)| wanted);
            let cold = self.cold.entry(runner).or_default();
            let span = self.parameters.overload_window;
            while cold.sends.front().is_some_and(|(sent, ..)| *sent <= at - span) {
                cold.sends.pop_front();
            }
            cold.sends.push_back((at, work, knows_start));
            let total_work: f64 = cold.sends.iter().map(|(_, work, _)| work).sum();
            let notified_work: f64 =
                cold.sends.iter().filter(|(.., knows)| *knows).map(|(_, work, _)| work).sum();
            let budget = self.parameters.overload_factor * capacity * span as f64;
            self.cold_work += work;
            self.max_cold_share = self.max_cold_share.max(total_work / budget);
            let allowed = budget / self.parameters.mean_work;
            let (calls, call_limit) = (cold.sends.len() as f64, allowed + 2.0 * allowed.sqrt() + 2.0);
            let counted = &mut self.cold_calls;
            counted.spans += 1;
            counted.over += u64::from(calls > call_limit);
            counted.most = counted.most.max(calls / call_limit);
            // The rule is broken only if dispatchers that knew of the start sent at least two thirds of the
            // work.
            let is_at_fault = notified_work * 3.0 >= total_work * 2.0;
            if calls > call_limit && is_at_fault && !cold.broken {
                cold.broken = true;
                let what =
                    format!("r{runner} was sent {calls} calls in a span in which it bears {allowed:.1}");
                violations.push((Rule::ColdBudget, what));
            }
            let budget = budget * COLD_WORK_TOLERANCE;
            if total_work > budget && is_at_fault && cold.sends.len() > 3 && !cold.broken {
                cold.broken = true;
                let what =
                    format!("r{runner} was sent {total_work:.0} us of work in a span worth {budget:.0}");
                violations.push((Rule::ColdBudget, what));
            }
        }
        for (rule, what) in violations {
            self.record_violation(at, rule, inv, what);
        }
    }

    /// Records the end of a forward, or its cancellation if `how` is `None`.
    fn record_forward_end(&mut self, at: Micros, inv: InvocationId, runner: u32, how: Option<ForwardEnd>) {
        let Some(record) = self.invocations.get_mut(&inv) else { return };
        let Some(sent) = record.sent.iter_mut().rev().find(|sent| sent.runner == runner) else {
            // A forward that was never sent may be cancelled.
            if how.is_none() {
                return;
            }
            return self
                .record_lab_fault(at, format!("an ending of {inv:x} at r{runner}, which was never sent it"));
        };
        match how {
            None => sent.withdrawn = true,
            Some(_) if sent.end.is_none() => sent.end = how,
            Some(_) => {}
        }
    }

    /// Checks that an effect that must not take place twice has not done so.
    fn record_start(&mut self, at: Micros, inv: InvocationId, runner: u32) {
        let Some(record) = self.invocations.get_mut(&inv) else { return };
        record.effects += 1;
        if record.effects > 1 && self.parameters.operations[record.operation].effect != Effect::Idempotent {
            self.record_violation(
                at,
                Rule::NoEffectTwice,
                inv,
                format!("its effect came twice, now at r{runner}"),
            );
        }
    }

    /// Ends the run: every invocation still open and unanswered is recorded as never answered.
    pub fn finish(&mut self, at: Micros) {
        let mut open: Vec<InvocationId> = self.invocations.keys().copied().collect();
        open.sort_unstable();
        for inv in open {
            self.close(at, inv);
        }
    }
}

#[cfg(test)]
mod tests;
