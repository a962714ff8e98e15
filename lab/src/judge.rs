//! The judge: whether the four rules were kept, by what was seen on the wires alone.
//!
//! It owns the rules and the history of each open invocation. It shares nothing with what it judges but the
//! ids on the wire: no type, no code, no word of the dispatcher on what it did. It does no I/O and reads no
//! clock. It must never take a dispatcher's intent for what happened, and never pass over what it cannot
//! place: an ending for a forward that nobody sent is a fault of the lab, and said.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::fmt;

use serde::Serialize;
use topazsail::Micros;

use crate::scenario::{DeduplicationScope, Effect, Operation, Scenario};

pub type InvocationId = u64;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalStatus {
    Succeeded,
    Throttled,
    Errored,
}

/// How a forward came back, as it was put on the wire to the dispatcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ForwardEnd {
    Succeeded,
    MayHaveRun,
    NeverRan,
}

/// One thing seen on a wire.
#[derive(Clone, Debug)]
pub enum Observation {
    /// An invocation's last byte has reached a dispatcher.
    Taken {
        inv: InvocationId,
        dispatcher: u32,
        operation: usize,
        expires_at: Micros,
    },
    Answered {
        inv: InvocationId,
        how: FinalStatus,
    },
    /// A success came with what no runner made for this invocation.
    Forged {
        inv: InvocationId,
    },
    /// The client has left: nothing more is owed.
    Left {
        inv: InvocationId,
    },
    /// A kept connection ended under it, and it goes elsewhere: nothing is owed if it had not been read.
    Crossed {
        inv: InvocationId,
    },
    /// The dispatcher that owed it was killed outright.
    Lost {
        inv: InvocationId,
    },
    /// A forward has left the dispatcher; at a cold runner, with its true capacity now.
    Forwarded {
        inv: InvocationId,
        dispatcher: u32,
        runner: u32,
        work: f64,
        cold: Option<f64>,
    },
    /// A forward has told its runner how long its client will still wait.
    TimeTold {
        inv: InvocationId,
        told: Micros,
    },
    Ended {
        inv: InvocationId,
        runner: u32,
        how: ForwardEnd,
    },
    /// The dispatcher has withdrawn a forward that was out.
    Withdrawn {
        inv: InvocationId,
        runner: u32,
    },
    /// A runner has begun on it and its effect is new there.
    Ran {
        inv: InvocationId,
        runner: u32,
    },
    /// Discovery knows a runner's state from now on.
    Listed {
        runner: u32,
        wanted: bool,
        launched: Option<Micros>,
    },
    /// Discovery has written a runner's state to a dispatcher.
    Told {
        dispatcher: u32,
        runner: u32,
        wanted: bool,
    },
    /// A dispatcher has begun anew and knows nothing.
    Began {
        dispatcher: u32,
    },
    /// A dispatcher has said yes to a runner being out by hand, or back; or it was asked and nobody knows (none).
    Hand {
        dispatcher: u32,
        runner: u32,
        out: Option<bool>,
    },
    /// A dispatcher has told its boot number.
    Boot {
        dispatcher: u32,
        boot: u64,
    },
    /// Asked at that moment, a dispatcher has said that it has no list to forward by.
    Unlisted {
        dispatcher: u32,
        asked: Micros,
    },
    /// A dispatcher's disk was taken away or laid back: it cannot know what it once kept.
    Forgets {
        dispatcher: u32,
    },
    /// A dispatcher's process stands still, or goes on.
    Still {
        dispatcher: u32,
        still: bool,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    OneAnswer,
    NoEffectTwice,
    NothingToDraining,
    ColdBudget,
    /// Out by hand, said yes to, over any restart.
    HandHolds,
    /// No boot number for two lives, and each higher than those before.
    BootRises,
    /// Nothing forwarded while it says that it has no list.
    NotBeforeListed,
    /// No deadline told to a runner that is later than the client's.
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

#[derive(Clone, Debug, Serialize)]
pub struct Violation {
    pub rule: Rule,
    pub at: Micros,
    pub inv: InvocationId,
    pub what: String,
    /// All that was seen of the invocation until then, a line each.
    pub history: Vec<String>,
}

/// What the judge must know of a deployment.
pub struct JudgeParameters {
    pub operations: Vec<Operation>,
    /// Zone and cell of each runner.
    pub locations: Vec<(usize, i64)>,
    pub drain_grace: Micros,
    pub ask_within: Micros,
    pub overload_factor: f64,
    pub tip_after: Micros,
    /// The mean work of an invocation.
    pub mean_work: f64,
    /// How much later than its order says something may be seen: what the lab cannot tell from the wire's way.
    pub slack: Micros,
    /// The same for a final answer against the client timeout.
    pub answer_slack: Micros,
}

impl JudgeParameters {
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
            ask_within: scenario.limits.ask_within.0,
            overload_factor: scenario.limits.overload_factor,
            tip_after: scenario.limits.tip_after.0,
            mean_work: scenario.mean_work(),
            slack,
            answer_slack,
        }
    }
}

struct SentForward {
    runner: u32,
    at: Micros,
    back: Option<ForwardEnd>,
    withdrawn: bool,
}

impl SentForward {
    fn is_in_flight(&self) -> bool {
        self.back.is_none() && !self.withdrawn
    }

    fn has_never_run(&self) -> bool {
        self.back == Some(ForwardEnd::NeverRan)
    }
}

struct InvocationRecord {
    dispatcher: u32,
    operation: usize,
    expires_at: Micros,
    answered: Option<(Micros, FinalStatus)>,
    /// Nothing is owed: the client has left, or the dispatcher was killed.
    excused: bool,
    /// When the client closed its connection.
    left_at: Option<Micros>,
    sent: Vec<SentForward>,
    ran: u32,
    work: f64,
    history: Vec<(Micros, Observation)>,
}

impl InvocationRecord {
    /// Whether nothing of it was to come any more at that moment.
    fn is_finished(&self, then: Micros) -> bool {
        let answered = self.answered.is_some_and(|(at, _)| at < then)
            && !self.sent.iter().any(SentForward::is_in_flight);
        answered || self.expires_at < then
    }
}

#[derive(Default)]
struct ColdRunner {
    sends: VecDeque<(Micros, f64, bool)>,
    broken: bool,
}

/// Violations kept in full; beyond these they are only counted.
const MAX_DETAILED_VIOLATIONS: usize = 20;
/// How long an invocation is kept when nothing of it is to come any more, for what may come all the same.
const RETENTION: Micros = 5_000_000;
/// What a process may take to come round after it stood still.
const RESUME_GRACE: Micros = 100_000;
/// How much a cold budget may be overdrawn by chance: a job's length is not known when it is sent. By number what chance
/// explains is stated: 2 x root of N and 2 beyond N calls of mean work.
const COLD_WORK_TOLERANCE: f64 = 1.15;

/// From a client's close on nothing may begin for it after this, by the terms.
const CLIENT_LEFT_GRACE: Micros = 100_000;
/// What a runner may be told beyond the time that its client has left, by the terms.
const REPORTED_TIME_SLACK: Micros = 150_000;

pub struct Judge {
    parameters: JudgeParameters,
    invocations: HashMap<InvocationId, InvocationRecord>,
    /// In the order in which they were taken, to be let go of.
    order: VecDeque<(Micros, InvocationId)>,
    /// What each dispatcher has been told of each runner: since when it is not wanted, or none.
    notified: HashMap<(u32, u32), (Option<Micros>, bool)>,
    listed: BTreeMap<u32, (Micros, bool, Option<Micros>)>,
    cold: BTreeMap<u32, ColdRunner>,
    /// Dispatchers that stand still, and since when.
    suspended: BTreeMap<u32, Micros>,
    /// Runners out by hand, by dispatcher, and since when.
    overrides: BTreeMap<(u32, u32), Micros>,
    /// By dispatcher, the highest boot number of earlier lives, and this life's.
    boots: BTreeMap<u32, (u64, Option<u64>)>,
    /// When each dispatcher's present life first forwarded anything.
    first_forwards: BTreeMap<u32, Micros>,
    pub verdict: Verdict,
    /// How late the eyes of the lab are now: what they see may have been there for so long. Nobody else is to blame
    /// for that.
    pub observation_delay: Micros,
    /// Work sent to cold runners, and the largest share of a budget that was used by all together.
    pub cold_work: f64,
    pub max_cold_share: f64,
    pub cold_calls: ColdCalls,
}

/// What cold runners were sent in each span that ends with a call, against what may be put down to chance: N calls of mean
/// work that the rule allows, 2 x root of N and 2 more.
#[derive(Clone, Copy, Debug, Default)]
pub struct ColdCalls {
    pub spans: u64,
    pub over: u64,
    pub most: f64,
}

#[derive(Clone, Debug, Default, Serialize)]
pub struct Verdict {
    pub taken: u64,
    pub succeeded: u64,
    pub throttled: u64,
    pub errored: u64,
    /// Owed by a dispatcher when it was killed.
    pub lost_by_kill: u64,
    pub forwards: u64,
    pub violations: BTreeMap<Rule, u64>,
    pub kept: Vec<Violation>,
    /// What the lab itself got wrong; a run with any of these says nothing.
    pub own_faults: Vec<String>,
}

impl Verdict {
    pub fn is_clean(&self) -> bool {
        self.violations.is_empty()
    }
}

impl Judge {
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

    fn record_violation(&mut self, at: Micros, rule: Rule, inv: InvocationId, what: String) {
        *self.verdict.violations.entry(rule).or_default() += 1;
        if self.verdict.kept.len() < MAX_DETAILED_VIOLATIONS {
            let lines =
                self.invocations.get(&inv).map(|record| record.history.as_slice()).unwrap_or_default();
            let history = lines.iter().map(|(at, seen)| format!("{at} {seen:?}")).collect();
            self.verdict.kept.push(Violation { rule, at, inv, what, history });
        }
    }

    fn record_lab_fault(&mut self, at: Micros, what: String) {
        if self.verdict.own_faults.len() < MAX_DETAILED_VIOLATIONS {
            self.verdict.own_faults.push(format!("{at}: {what}"));
        }
    }

    /// Takes in one thing seen, in the order of time.
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
            // What was forwarded had been read.
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
            Observation::TimeTold { inv, told } => self.check_reported_time(at, inv, told),
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
                let told = self.notified.entry((dispatcher, runner)).or_insert((None, true));
                // Told once more of the same does not lengthen the grace.
                let since = if wanted { None } else { Some(told.0.unwrap_or(at)) };
                *told = (since, wanted);
            }
            Observation::Began { dispatcher } => {
                self.notified.retain(|(d, _), _| *d != dispatcher);
                self.suspended.remove(&dispatcher);
                self.first_forwards.remove(&dispatcher);
                let (before, now) = self.boots.entry(dispatcher).or_default();
                *before = (*before).max(now.take().unwrap_or(0));
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

    /// How much work an invocation is, from whoever brought it.
    pub fn note_work(&mut self, inv: InvocationId, work: f64) {
        if let Some(record) = self.invocations.get_mut(&inv) {
            record.work = work;
        }
    }

    pub fn work(&self, inv: InvocationId) -> f64 {
        self.invocations.get(&inv).map_or(0.0, |record| record.work)
    }

    pub fn operation(&self, inv: InvocationId) -> Option<usize> {
        self.invocations.get(&inv).map(|record| record.operation)
    }

    /// Who could not act is not to blame for having been late, and knows what was written to it meanwhile only from
    /// now on. All else holds for it as for anybody: what it does next it does on what it can know now.
    fn record_resume(&mut self, at: Micros, dispatcher: u32) {
        let Some(since) = self.suspended.remove(&dispatcher) else { return };
        for record in self.invocations.values_mut().filter(|record| record.dispatcher == dispatcher) {
            record.excused |= record.answered.is_none() && record.expires_at < at + RESUME_GRACE;
        }
        for ((_, _), (told, _)) in self.notified.iter_mut().filter(|((d, _), _)| *d == dispatcher) {
            *told = told.map(|told| if told >= since { at } else { told });
        }
    }

    fn record_boot(&mut self, at: Micros, dispatcher: u32, boot: u64) {
        let (before, now) = self.boots.entry(dispatcher).or_default();
        let (before, known) = (*before, now.replace(boot));
        if boot <= before || known.is_some_and(|known| known > boot) {
            let what = format!("d{dispatcher} has the boot number {boot}, after {}", known.unwrap_or(before));
            self.record_violation(at, Rule::BootRises, 0, what);
        }
    }

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
            ran: 0,
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

    /// Lets go of an invocation, and looks whether it was answered at all.
    fn close(&mut self, at: Micros, inv: InvocationId) {
        let Some(record) = self.invocations.get(&inv) else { return };
        if record.answered.is_none() && !record.excused {
            self.record_violation(at, Rule::OneAnswer, inv, "never answered".into());
        }
        self.invocations.remove(&inv);
    }

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

    /// What a runner is told of the time left, against what the client still waits.
    fn check_reported_time(&mut self, at: Micros, inv: InvocationId, told: Micros) {
        let Some(record) = self.invocations.get(&inv) else { return };
        let left = record.expires_at - at;
        if told > left + REPORTED_TIME_SLACK + self.observation_delay {
            let what = format!("its runner was told {told} us with {left} us left");
            self.record_violation(at, Rule::DeadlineTold, inv, what);
        }
    }

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
        let mut breaches: Vec<(Rule, String)> = Vec::new();
        if let Some((answered, _)) = record.answered.filter(|(answered, _)| at > answered + slack) {
            breaches.push((Rule::OneAnswer, format!("forwarded after its answer at {answered}")));
        }
        if let Some(left) =
            record.left_at.filter(|left| at > left + CLIENT_LEFT_GRACE + self.observation_delay)
        {
            breaches.push((Rule::OneAnswer, format!("forwarded {} us after its client had left", at - left)));
        }
        if record.sent.iter().any(SentForward::is_in_flight) {
            breaches.push((Rule::NoEffectTwice, "two forwards out at once".into()));
        }
        let op = &self.parameters.operations[record.operation];
        let location =
            |runner: u32| self.parameters.locations.get(runner as usize).copied().unwrap_or((usize::MAX, -1));
        let first = record.sent.iter().find(|sent| !sent.has_never_run());
        match (op.effect, first) {
            (_, None) | (Effect::Idempotent, _) => {}
            (Effect::NonIdempotent, Some(first)) => {
                let what = format!("forwarded again, though it may have run at r{}", first.runner);
                breaches.push((Rule::NoEffectTwice, what));
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
                    breaches.push((Rule::NoEffectTwice, what));
                }
                if at > first.at + op.memory_span.0 + slack {
                    let what = format!("forwarded again, {} us after the first", at - first.at);
                    breaches.push((Rule::NoEffectTwice, what));
                }
            }
        }
        record.sent.push(SentForward { runner, at, back: None, withdrawn: false });

        // Told, or treated as told: a change counts for everybody after a while.
        let told = self.notified.get(&(dispatcher, runner)).copied();
        let listed = self.listed.get(&runner).copied();
        let deadline =
            listed.filter(|(_, wanted, _)| !wanted).map(|(at, ..)| at + self.parameters.ask_within);
        let since = [told.and_then(|(since, _)| since), deadline].into_iter().flatten().min();
        let knows = since.filter(|since| at > since + self.parameters.drain_grace + slack);
        if let Some(since) = knows {
            let what = format!("forwarded to r{runner} {} us after it was told to leave it", at - since);
            breaches.push((Rule::NothingToDraining, what));
        }
        self.first_forwards.entry(dispatcher).or_insert(at);
        let out = self.overrides.get(&(dispatcher, runner)).copied();
        if let Some(since) = out.filter(|since| at > since + slack) {
            let what = format!("d{dispatcher} forwarded to r{runner}, out by hand for {} us", at - since);
            breaches.push((Rule::HandHolds, what));
        }
        if let Some(capacity) = cold {
            let knows_start = told.is_some_and(|(_, wanted)| wanted);
            let cold = self.cold.entry(runner).or_default();
            let span = self.parameters.tip_after;
            while cold.sends.front().is_some_and(|(sent, ..)| *sent <= at - span) {
                cold.sends.pop_front();
            }
            cold.sends.push_back((at, work, knows_start));
            let all: f64 = cold.sends.iter().map(|(_, work, _)| work).sum();
            let knowing_work: f64 =
                cold.sends.iter().filter(|(.., told)| *told).map(|(_, work, _)| work).sum();
            let budget = self.parameters.overload_factor * capacity * span as f64;
            self.cold_work += work;
            self.max_cold_share = self.max_cold_share.max(all / budget);
            let allowed = budget / self.parameters.mean_work;
            let (calls, random_limit) = (cold.sends.len() as f64, allowed + 2.0 * allowed.sqrt() + 2.0);
            let counted = &mut self.cold_calls;
            counted.spans += 1;
            counted.over += u64::from(calls > random_limit);
            counted.most = counted.most.max(calls / random_limit);
            let is_at_fault = knowing_work * 3.0 >= all * 2.0;
            if calls > random_limit && is_at_fault && !cold.broken {
                cold.broken = true;
                let what =
                    format!("r{runner} was sent {calls} calls in a span in which it bears {allowed:.1}");
                breaches.push((Rule::ColdBudget, what));
            }
            let budget = budget * COLD_WORK_TOLERANCE;
            if all > budget && is_at_fault && cold.sends.len() > 3 && !cold.broken {
                cold.broken = true;
                let what = format!("r{runner} was sent {all:.0} us of work in a span worth {budget:.0}");
                breaches.push((Rule::ColdBudget, what));
            }
        }
        for (rule, what) in breaches {
            self.record_violation(at, rule, inv, what);
        }
    }

    fn record_forward_end(&mut self, at: Micros, inv: InvocationId, runner: u32, how: Option<ForwardEnd>) {
        let Some(record) = self.invocations.get_mut(&inv) else { return };
        let Some(sent) = record.sent.iter_mut().rev().find(|sent| sent.runner == runner) else {
            // Whoever likes may give up what was never there.
            if how.is_none() {
                return;
            }
            return self
                .record_lab_fault(at, format!("an ending of {inv:x} at r{runner}, which was never sent it"));
        };
        match how {
            None => sent.withdrawn = true,
            Some(_) if sent.back.is_none() => sent.back = how,
            Some(_) => {}
        }
    }

    fn record_start(&mut self, at: Micros, inv: InvocationId, runner: u32) {
        let Some(record) = self.invocations.get_mut(&inv) else { return };
        record.ran += 1;
        if record.ran > 1 && self.parameters.operations[record.operation].effect != Effect::Idempotent {
            self.record_violation(
                at,
                Rule::NoEffectTwice,
                inv,
                format!("its effect came twice, now at r{runner}"),
            );
        }
    }

    /// The run is over: whatever is still owed now was never answered.
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
