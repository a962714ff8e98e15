//! Routing policy: every decision of one dispatcher.
//!
//! An adapter creates a [`RoutingPolicy`] from the settings and a seed, then calls [`RoutingPolicy::decide`]
//! with the current time and the events since the last call, in order; it gets back the actions to carry out,
//! in order. The types on both sides are in `events.rs`, `actions.rs` and `settings.rs`; the state of runners
//! and invocations is in `state_tables.rs`. Time and randomness come only from these arguments, so equal
//! inputs give equal decisions.
//!
//! The path of an invocation: `handle_arrival` admits it to the queue, `dispatch_queue` walks the queue in
//! order of priority and calls `choose_runner`, `handle_outcome` ends a forward, and `retry_or_give_up` or
//! `give_up` decides what follows.
//!
//! `sample` and `least_loaded` implement Pod-SSP, power of d choices with priorities (Niu, Wang, Feng, Xu,
//! "When Power-of-d-Choices Meets Priority", sections III-B and VI to VIII): a low-priority invocation goes
//! to the runner with the fewest jobs among `LOW_PRIORITY_SAMPLES` samples, a high-priority one to the runner
//! with the fewest high-priority jobs among `HIGH_PRIORITY_SAMPLES` samples. docs/design.md lists each
//! departure from it.
//!
//! Throughout, `r` is a runner's index in `RoutingPolicy::runners`. Loads are counted in jobs and spans of
//! time in microseconds unless a comment says otherwise. "Own" means of this dispatcher, "other jobs" are
//! those that other dispatchers sent. A runner is cold from its start until it has its full capacity. The
//! homes of a key are the runners that invocations with this key prefer.

mod slow_start;
mod unclear_ends;

use std::collections::{BTreeMap, BTreeSet, HashMap};

use crate::random::{Rng, hash, rendezvous_rank};
use crate::state_tables::{
    CandidatePool, DecayingAverage, ForwardState, InvocationState, KeyUsage, QueuePosition,
    RetryBudgetWindow, RetryConstraint, RunnerState, Timer,
};
use crate::{
    Action, Arrival, DeduplicationScope, Effect, Event, ForwardResult, Id, Listing, Micros, Operation,
    Outcome, Readiness, ReportField, Roster, RosterEntry, Settings, SizeSource,
};

pub use slow_start::{SlowStartShare, SlowStartUsage};

/// Runners sampled from a pool for a low-priority invocation (d1 of Pod-SSP).
const LOW_PRIORITY_SAMPLES: usize = 3;
/// Runners sampled from a pool for a high-priority invocation (d2 of Pod-SSP).
const HIGH_PRIORITY_SAMPLES: usize = 4;
/// How long candidates may take to answer a probe, in microseconds; those that have not answered by then are
/// skipped.
const PROBE_TIMEOUT: Micros = 30_000;
/// Margin, in microseconds, before a client timeout or the end of a deduplication window. An invocation that
/// still waits when the margin begins is given up and so answered; no retry is sent within the margin.
const ANSWER_MARGIN: Micros = 60_000;
/// A candidate whose report is older than this is probed before the choice; in multiples of the mean forward
/// time.
const STALE_REPORT_AGE: f64 = 0.1;
/// A forward younger than this, in microseconds, may be missing from a runner's report.
const REPORT_LAG: Micros = 50_000;
/// How long high-priority, low-priority and late invocations wait for room before runners are sampled again;
/// in multiples of the mean forward time. Other dispatchers' queues are not visible from here: the ones that
/// sample more often get the slots that become free, so the interval rises as the priority falls.
const RESAMPLE_INTERVALS: [f64; 3] = [0.06, 0.12, 1.0];
/// Queue tier of invocations that can no longer meet their objective; 0 is high and 1 is low priority.
const LATE_TIER: u8 = 2;
/// Upper bound on the jobs per core that are derived from a runner's listed size, so that a size near zero
/// does not give an unbounded load.
const MAX_JOBS_PER_CORE: f64 = 50.0;
/// Queue places that a runner is assumed to have per slot.
const QUEUE_PLACES_PER_SLOT: f64 = 0.5;
/// Shares of probes that find a free slot: at the first no low-priority work is admitted, at the second all
/// of it.
const PROBED_ADMISSION_RANGE: (f64, f64) = (0.03, 0.2);
/// The same range for the share of forwards that runners accept, where forwards instead of probes indicate
/// load.
const ACCEPTED_ADMISSION_RANGE: (f64, f64) = (0.1, 0.6);
/// Smallest share of low-priority work that is admitted, in general and where load is unknown. Without any,
/// nothing would show that slots are free again; it is larger where only the starts of that work show it.
const MIN_ADMISSION_SHARES: (f64, f64) = (0.05, 0.5);
/// Decay time of a runner's usual load and of the extra wait for a new connection; in multiples of the mean
/// forward time.
const USUAL_LOAD_DECAY: f64 = 60.0;
/// The extra wait for a new connection above which open connections are preferred, and the time above which a
/// failed dial counts as slow; as a share of the shortest latency objective.
const SLOW_DIAL_RATIO: f64 = 0.25;
/// Bound, in log-odds, on the confidence that reports come late or that they do not.
const MAX_LATENESS_LOG_ODDS: f64 = 2.5;
/// Homes of a key for each runner that the key's share of the work would fill.
const HOMES_PER_RUNNER_SHARE: f64 = 2.0;
/// Jobs added to the load of the next home in a key's ranking, because it may have to fetch what the key
/// needs.
const FETCH_PENALTY_JOBS: f64 = 5.0;
/// A home with a free slot may hold this many times its fair share of the own forwards in flight.
const HOME_LOAD_BOUND: f64 = 1.25;
/// The share of a cold runner's budget that is used: job sizes are known only on average.
const COLD_BUDGET_SAFETY_FACTOR: f64 = 0.7;
/// Where slow start is shared: the parts of that budget which are spent by agreed shares and by rotating
/// turns. Fewer dispatchers then send more each, so random variation weighs more and the parts are small.
/// Without any turns, a dispatcher without a share would never learn how long jobs take.
const SHARED_BUDGET_SPLIT: (f64, f64) = (0.3, 0.1);
/// Jobs that other dispatchers may be sending to a runner after its latest fresh report.
const CONCURRENT_JOBS_ALLOWANCE: f64 = 2.0;
/// Consecutive reports that counted the own forwards before a cold runner's report is trusted: late reports
/// show every dispatcher an empty runner.
const MIN_PROMPT_REPORTS: u32 = 5;
/// How far a runner's share of failures may lie above the median of all listed runners before it is ejected.
const MAX_FAILURES_OVER_MEDIAN: f64 = 0.3;
/// Half-life of the counts of failures and successes, in microseconds.
const HEALTH_HALF_LIFE: f64 = 4e6;
/// Length of a first outlier ejection, in microseconds; it doubles with each further one until the runner
/// succeeds.
const BASE_EJECTION_TIME: Micros = 400_000;
/// Upper bound on the length of an outlier ejection, in microseconds.
const MAX_EJECTION_TIME: Micros = 4_000_000;

/// State of the decisions of one dispatcher.
#[derive(Default)]
pub struct RoutingPolicy {
    settings: Settings,
    /// Whether invocations have high priority, by operation.
    is_high_priority: Vec<bool>,
    /// Maximum number of forwards per invocation, by operation.
    forward_limits: Vec<u32>,
    /// The shortest latency objective of the operations in use.
    shortest_objective: Micros,
    /// Order in which candidate pools are sampled: without a key, without a key while slots are short, with a
    /// key.
    pool_orders: [Vec<CandidatePool>; 3],
    rng: Rng,
    /// Time of the current call of `decide`.
    now: Micros,
    /// Actions of the current call so far.
    actions: Vec<Action>,
    /// Whether a subscription to the roster is up.
    is_subscribed: bool,
    /// Subscriptions refused since the last that succeeded.
    failed_subscriptions: u32,
    /// Every runner that was ever listed; an index stays valid for good.
    runners: Vec<RunnerState>,
    /// Index into `runners`, by the runner's id.
    by_id: HashMap<Id, usize>,
    /// Runners that the roster lists as up, in ascending order.
    listed: Vec<usize>,
    /// Listed runners that may still be cold.
    cold: Vec<usize>,
    /// Runners with an open connection of this dispatcher.
    connected: Vec<usize>,
    /// Counts the rosters that listed a new runner; key homes are ranked again when it rises.
    ranking_generation: u64,
    /// Input of the ranking of homes: hash, 1 / weight and index of each runner listed when
    /// `ranking_generation` last rose.
    rendezvous_entries: Vec<(u64, f64, usize)>,
    /// Sum of the listed runners' weights.
    total_weight: f64,
    /// Own forwards in flight.
    total_in_flight: u32,
    /// The fewest slots known of any runner, assumed for runners that have not reported theirs; 0 if none
    /// has.
    min_slots: f64,
    /// Invocations that are queued or in flight.
    invocations: HashMap<Id, InvocationState>,
    /// Invocations that wait for a forward, the first to be served first.
    queue: BTreeMap<QueuePosition, Id>,
    /// Timers by time and serial number.
    timers: BTreeMap<(Micros, u64), Timer>,
    /// Times for which `Action::SetTimer` was returned and that have not passed.
    armed_wakeups: BTreeSet<Micros>,
    /// The last serial number given; it makes keys of timers and queue positions unique.
    serial: u64,
    /// A slot has become free since the queue was last processed.
    slot_freed: bool,
    key_usage: KeyUsage,
    retry_window: RetryBudgetWindow,
    /// Other jobs per unit of weight, averaged over all runners.
    mean_other_jobs: DecayingAverage,
    /// Wait until a job starts, averaged over all runners, for forwards that needed no new connection.
    mean_start_wait: DecayingAverage,
    /// By how much longer forwards waited that needed a new connection.
    dial_wait_excess: DecayingAverage,
    /// The share of probes that found a free slot, or of forwards that were accepted.
    free_slot_share: DecayingAverage,
    /// Log-odds that reports come late.
    late_reports_log_odds: f64,
    /// Consecutive pieces of evidence that reports are prompt.
    prompt_reports: u32,
    /// Time of successful forwards, by operation.
    forward_times: Vec<DecayingAverage>,
    /// Mean of `forward_times` over the operations in use.
    mean_forward_time: f64,
    /// The longest time left of any arrival so far, by operation: that of a first try, not of a client's
    /// retry.
    longest_time_left: Vec<Micros>,
}

impl RoutingPolicy {
    /// Creates the policy; `seed` determines all random choices.
    pub fn new(settings: Settings, seed: u64) -> RoutingPolicy {
        let mut policy = RoutingPolicy {
            rng: Rng::new(seed),
            late_reports_log_odds: -MAX_LATENESS_LOG_ODDS,
            ..RoutingPolicy::default()
        };
        policy.apply_settings(settings);
        policy.add_timer(Micros::MIN, Timer::Subscribe);
        policy
    }

    /// Applies settings from now on. Operations keep their indexes, also those no longer in use: invocations
    /// in progress keep their operation, but get no more forwards than the new settings allow.
    fn apply_settings(&mut self, settings: Settings) {
        let ops = &settings.operations;
        let in_use: Vec<&Operation> = ops.iter().filter(|o| o.in_use).collect();
        let differs =
            |same: &dyn Fn(&Operation, &Operation) -> bool| in_use.iter().any(|o| !same(o, in_use[0]));
        let values_differ = differs(&|a, b| a.billed_value == b.billed_value);
        let objectives_differ = differs(&|a, b| a.latency_objective == b.latency_objective);
        let highest_value = in_use.iter().map(|o| o.billed_value).fold(0.0, f64::max);
        let shortest_objective = in_use.iter().map(|o| o.latency_objective).min().unwrap_or(0);
        // Objectives count only if all values are equal: if either alone gave high priority, both of two
        // operations could have it.
        let is_high = |o: &Operation| match values_differ {
            true => o.billed_value >= highest_value,
            false => objectives_differ && o.latency_objective <= shortest_objective,
        };
        // Rule set by the operators: the number of retries depends on the billed value.
        let max_retries = f64::from(settings.max_forwards - 1);
        let value_share =
            |o: &Operation| if highest_value > 0.0 { (o.billed_value / highest_value).min(1.0) } else { 1.0 };
        let connected_pools: &[CandidatePool] = match (settings.connections_are_priced, settings.size_source)
        {
            _ if settings.load_is_unknown() => &[],
            (true, _) => &[CandidatePool::ConnectedOwnZone, CandidatePool::Connected],
            (false, SizeSource::Live) => &[CandidatePool::Connected],
            _ => &[],
        };
        let mut unkeyed_order =
            [connected_pools, &[CandidatePool::OwnZone, CandidatePool::All, CandidatePool::Cold]].concat();
        if !settings.cross_zone_is_priced || settings.load_is_unknown() {
            unkeyed_order
                .retain(|pool| !matches!(pool, CandidatePool::ConnectedOwnZone | CandidatePool::OwnZone));
        }
        self.is_high_priority = ops.iter().map(is_high).collect();
        self.forward_limits =
            ops.iter().map(|o| 1 + (max_retries * value_share(o).sqrt()).ceil() as u32).collect();
        self.shortest_objective = shortest_objective;
        let shortage_order = [&[CandidatePool::Cold][..], &unkeyed_order].concat();
        self.pool_orders = [unkeyed_order, shortage_order, vec![CandidatePool::Homes, CandidatePool::Cold]];
        // Until an operation has succeeded once, its objective is the best estimate of its forward time.
        let initial_average =
            |o: &Operation| DecayingAverage { value: o.latency_objective as f64, updated_at: None };
        self.forward_times.extend(ops.iter().skip(self.forward_times.len()).map(initial_average));
        self.longest_time_left.resize(ops.len(), 0);
        self.settings = settings;
        self.update_mean_forward_time();
        self.invocations.values_mut().for_each(|invocation| invocation.pools_sampled = 0);
        for id in self.queue.values().cloned().collect::<Vec<Id>>() {
            if self.invocations[&id].forwards >= self.forward_limits[self.invocations[&id].operation] {
                self.give_up(&id);
            }
        }
    }

    /// The only entry point for events: takes what happened up to `now`, in order, and returns the actions to
    /// carry out now, in order.
    pub fn decide(&mut self, now: Micros, events: Vec<Event>) -> Vec<Action> {
        self.now = now;
        for event in events {
            match event {
                Event::Arrival(arrival) => self.handle_arrival(arrival),
                Event::ResponseStarted { invocation, forward } => {
                    _ = self
                        .record_activity(&invocation, forward)
                        .map(|current| current.response_started = true)
                }
                Event::Started { invocation, forward } => self.handle_started(&invocation, forward),
                Event::Progress { invocation, forward } => _ = self.record_activity(&invocation, forward),
                Event::Outcome(outcome) => self.handle_outcome(outcome),
                Event::EndUnclear { invocation, forward } => self.handle_unclear_end(&invocation, forward),
                Event::EndMayBeRepeated { invocation, forward } => self.avoid_runner(&invocation, forward),
                Event::ClientLeft { invocation } => self.close(&invocation),
                Event::AnswerNow { invocation } => self.give_up(&invocation),
                Event::ProbeEnded { runner, alive, report } => self.handle_probe_end(&runner, alive, &report),
                Event::Roster(roster) => self.update_roster(roster),
                Event::SettingsChanged(settings) => self.apply_settings(*settings),
                Event::SlowStartUsage(usage) => self.add_slow_start_usage(usage),
                Event::SlowStartShares(shares) => self.set_slow_start_shares(shares),
                Event::TimerFired => self.armed_wakeups = self.armed_wakeups.split_off(&(now + 1)),
            }
        }
        while let Some(entry) = self.timers.first_entry().filter(|entry| entry.key().0 <= now) {
            match entry.remove() {
                Timer::Revisit(invocation) => self.revisit(&invocation),
                Timer::Subscribe if self.settings.must_subscribe && !self.is_subscribed => {
                    self.actions.push(Action::Subscribe)
                }
                Timer::Subscribe => {}
            }
        }
        self.dispatch_queue();
        if let Some(&(at, _)) = self.timers.keys().next()
            && self.armed_wakeups.first().is_none_or(|first| *first > at)
        {
            // Armed for the earliest timer only: hundreds of idle dispatchers that wake up cost more than all
            // decisions.
            self.armed_wakeups.insert(at);
            self.actions.push(Action::SetTimer { after: (at - now).max(1) });
        }
        std::mem::take(&mut self.actions)
    }

    /// Returns the next serial number.
    fn next_serial(&mut self) -> u64 {
        self.serial += 1;
        self.serial
    }

    /// Adds a timer and returns its key.
    fn add_timer(&mut self, at: Micros, timer: Timer) -> (Micros, u64) {
        let key = (at, self.next_serial());
        self.timers.insert(key, timer);
        key
    }

    /// Replaces the timer of an invocation; each has one at most.
    fn set_invocation_timer(&mut self, id: &Id, at: Option<Micros>) {
        let timer = at.map(|at| self.add_timer(at, Timer::Revisit(id.clone())));
        let Some(invocation) = self.invocations.get_mut(id) else { return };
        if let Some(previous) = std::mem::replace(&mut invocation.timer, timer) {
            self.timers.remove(&previous);
        }
    }

    /// Sets the timer of a queued invocation to its next deadline.
    fn set_queue_timer(&mut self, id: &Id) {
        let Some(invocation) = self.invocations.get(id) else { return };
        let times = [
            invocation.give_up_at,
            invocation.start_deadline,
            invocation.probe_deadline,
            invocation.wait_until,
        ];
        let next = times.into_iter().filter(|at| *at > self.now).min();
        self.set_invocation_timer(id, Some(next.unwrap_or(invocation.give_up_at)));
    }

    /// Handles the timer of an invocation: checks a forward in flight, or gives up, moves to the late tier or
    /// waits on.
    fn revisit(&mut self, id: &Id) {
        let Some(invocation) = self.invocations.get_mut(id) else { return };
        invocation.timer = None;
        if invocation.current_forward.is_some() {
            return self.check_stalled(id);
        }
        if self.now >= invocation.give_up_at {
            return self.give_up(id);
        }
        if self.now >= invocation.start_deadline
            && let Some(position) = invocation.queue_position.take_if(|position| position.0 < LATE_TIER)
        {
            self.queue.remove(&position);
            return self.enqueue(id);
        }
        self.set_queue_timer(id);
    }

    // Roster.

    /// Applies an update of the roster, or schedules the next try after a refused subscription.
    fn update_roster(&mut self, roster: Roster) {
        match roster.listing {
            Listing::Refused => {
                // A restarted fleet subscribes all at once, and discovery fails requests that wait too
                // long: retries are spread out at random around a mean that grows up to a quarter of the span
                // after which dispatchers count as notified of changes (docs/design.md).
                self.is_subscribed = false;
                self.failed_subscriptions += 1;
                let mean_delay = (100_000 << self.failed_subscriptions.min(3))
                    .min(self.settings.notification_deadline / 4)
                    .max(1);
                let delay = mean_delay / 2 + self.rng.below(mean_delay as u64) as Micros;
                self.add_timer(self.now + delay, Timer::Subscribe);
                return;
            }
            Listing::Changes | Listing::Local => {}
            Listing::All | Listing::Remembered => {
                self.runners.iter_mut().for_each(|runner| runner.listed = false)
            }
        }
        if matches!(roster.listing, Listing::All | Listing::Changes) {
            self.is_subscribed = true;
            self.failed_subscriptions = 0;
        }
        roster.entries.into_iter().for_each(|entry| self.update_runner(entry));
        let listed_before = std::mem::take(&mut self.listed);
        self.listed = (0..self.runners.len()).filter(|r| self.runners[*r].listed).collect();
        if self.settings.roster_reports_load() {
            self.read_listed_loads();
        }
        self.cold = self.listed.iter().copied().filter(|r| self.warmth(*r) < 1.0).collect();
        self.total_weight = self.listed.iter().map(|r| self.weight(*r)).sum();
        // Homes that are no longer listed are skipped; ranks are computed again only when there is a new
        // runner.
        if self.listed.iter().any(|r| listed_before.binary_search(r).is_err()) {
            self.ranking_generation += 1;
            let rendezvous_entry = |r: &usize| (self.runners[*r].hash, 1.0 / self.weight(*r), *r);
            self.rendezvous_entries = self.listed.iter().map(rendezvous_entry).collect();
        }
    }

    /// Adds or updates the runner of a roster entry.
    fn update_runner(&mut self, entry: RosterEntry) {
        let next = self.runners.len();
        let index = *self.by_id.entry(entry.runner.clone()).or_insert(next);
        if index == next {
            let (id, hash) = (entry.runner.clone(), hash(entry.runner.as_bytes()));
            self.runners.push(RunnerState { id, hash, launched: entry.started_at, ..RunnerState::default() });
        }
        let runner = &mut self.runners[index];
        runner.listed = entry.readiness == Readiness::Up;
        runner.in_own_zone = entry.zone == self.settings.own_zone;
        (runner.machine_type, runner.zone, runner.cell) = (entry.machine_type, entry.zone, entry.cell);
        runner.listed_size = entry.size;
        // Where sizes move with load, the greatest size seen is the closest to that of an idle runner.
        runner.size =
            if self.settings.roster_reports_load() { runner.size.max(entry.size) } else { entry.size };
        if runner.launched != entry.started_at {
            // Restarted under the same id: earlier reports, successes and failures say nothing about it now.
            runner.launched = entry.started_at;
            runner.reported_at = None;
            (runner.successes, runner.failures) = (0.0, 0.0);
            runner.ejected_until = runner.ejected_until.min(self.now);
        }
    }

    /// Derives loads from sizes that move with load: jobs per core follow from how far a runner's size has
    /// fallen below that of an idle runner, which is the greatest size ever listed for its machine type. A
    /// runner missing from an update has not changed.
    fn read_listed_loads(&mut self) {
        let mut idle_sizes: BTreeMap<Id, f64> = BTreeMap::new();
        for runner in &self.runners {
            let largest = idle_sizes.entry(runner.machine_type.clone()).or_default();
            *largest = largest.max(runner.size);
        }
        for r in self.listed.clone() {
            let runner = &mut self.runners[r];
            runner.size = idle_sizes[&runner.machine_type];
            let held = (runner.size / runner.listed_size.max(f64::MIN_POSITIVE) - 1.0).min(MAX_JOBS_PER_CORE);
            self.record_load(r, held * self.slots(r));
        }
    }

    // Invocations.

    /// Computes the deadlines of a new invocation and admits it to the queue or gives it up.
    fn handle_arrival(&mut self, arrival: Arrival) {
        if let Some(budget) = &self.settings.retry_budget {
            self.retry_window.record_arrival(budget, self.now);
        }
        let op = &self.settings.operations[arrival.operation];
        let deadline = self.now + arrival.time_left;
        // A client's retry arrives with less time left than a first try; its objective runs from the first
        // try.
        let longest_time_left = &mut self.longest_time_left[arrival.operation];
        *longest_time_left = arrival.time_left.max(*longest_time_left);
        // The objective grows by the stretch, less the running time on a slow machine: 1.5 times the hinted
        // work, or 1.25 times the mean forward time without a hint.
        let (work, slow_machine_factor) = arrival
            .work_hint
            .map_or((self.forward_times[arrival.operation].value, 1.25), |hint| (hint as f64, 1.5));
        let slack = ((op.objective_stretch - slow_machine_factor).max(0.0) * work) as Micros;
        let start_deadline =
            self.now + op.latency_objective + slack - (*longest_time_left - arrival.time_left);
        let start_deadline = start_deadline.min(deadline - ANSWER_MARGIN);
        // An invocation that waits longer than this takes slots from work that could still meet its
        // objective.
        let give_up_at =
            start_deadline.max(self.now) + (op.late_value_share * op.latency_objective as f64) as Micros;
        let invocation = InvocationState {
            operation: arrival.operation,
            deadline,
            start_deadline,
            give_up_at: give_up_at.min(deadline - ANSWER_MARGIN),
            slots: arrival.slots,
            work_hint: arrival.work_hint.unwrap_or_default() as f64,
            key: arrival.key.as_deref().map(|key| hash(key.as_bytes())),
            ..InvocationState::default()
        };
        if let Some(key) = invocation.key {
            self.key_usage.record(key, self.now);
        }
        let admitted = self.should_admit(invocation.operation, invocation.start_deadline);
        self.invocations.insert(arrival.invocation.clone(), invocation);
        if admitted { self.enqueue(&arrival.invocation) } else { self.give_up(&arrival.invocation) }
    }

    /// Admission control: low-priority work is admitted by the share of samples that have a free slot, and
    /// late work only where all low-priority work is. Without it, the low-priority invocations of hundreds of
    /// dispatchers sample so often that high-priority ones seldom find the slot that has become free.
    fn should_admit(&mut self, operation: usize, start_deadline: Micros) -> bool {
        let is_late = start_deadline <= self.now;
        if self.free_slot_share.updated_at.is_none() || self.is_high_priority[operation] && !is_late {
            return true;
        }
        let (admit_none, admit_all) = self.admission_range();
        let min_share =
            if self.settings.load_is_unknown() { MIN_ADMISSION_SHARES.1 } else { MIN_ADMISSION_SHARES.0 };
        let share =
            ((self.free_slot_share.value - admit_none) / (admit_all - admit_none)).clamp(min_share, 1.0);
        if is_late { share >= 1.0 } else { self.rng.bernoulli(share) }
    }

    /// Whether forwards, accepted or rejected, indicate free slots, because candidates are not probed or
    /// probes do not help.
    fn forwards_indicate_load(&self) -> bool {
        self.settings.roster_reports_load()
            || self.settings.load_is_unknown()
            || self.settings.can_probe_load() && self.late_reports_log_odds > 0.0
    }

    /// The shares of free slots at which no low-priority work and all low-priority work is admitted.
    fn admission_range(&self) -> (f64, f64) {
        if self.forwards_indicate_load() { ACCEPTED_ADMISSION_RANGE } else { PROBED_ADMISSION_RANGE }
    }

    /// Whether slots are short, by whichever signal is in use.
    fn slots_are_short(&self) -> bool {
        self.free_slot_share.updated_at.is_some() && self.free_slot_share.value < self.admission_range().1
    }

    /// Adds an invocation to the queue.
    fn enqueue(&mut self, id: &Id) {
        let serial = self.next_serial();
        let Some(invocation) = self.invocations.get_mut(id) else { return };
        // Late work goes last: in order of arrival, a queue that once fell behind would make all work late.
        let tier = if self.now >= invocation.start_deadline {
            LATE_TIER
        } else {
            u8::from(!self.is_high_priority[invocation.operation])
        };
        let position = (tier, invocation.start_deadline, serial);
        invocation.queue_position = Some(position);
        self.queue.insert(position, id.clone());
        self.set_queue_timer(id);
    }

    /// Answers an invocation that is not forwarded any more: throttled if a client's retry is safe, otherwise
    /// an error.
    fn give_up(&mut self, id: &Id) {
        let Some(invocation) = self.invocations.get(id).filter(|invocation| !invocation.answered) else {
            return;
        };
        let op = &self.settings.operations[invocation.operation];
        let may_retry = match op.effect {
            Effect::Idempotent | Effect::Deduplicated(DeduplicationScope::All) => true,
            Effect::Deduplicated(_) | Effect::NonIdempotent => {
                invocation.retry_constraint.is_none() && invocation.current_forward.is_none()
            }
        };
        let retry_after = self.settings.max_retry_after.map(|limit| limit.min(op.latency_objective));
        let invocation = id.clone();
        self.actions.push(match may_retry {
            true => Action::Throttle { invocation, retry_after },
            false => Action::Error { invocation },
        });
        self.close(id);
    }

    /// Ends an invocation that needs no further answer; while a forward is in flight its entry stays until
    /// that ends.
    fn close(&mut self, id: &Id) {
        let Some(invocation) = self.invocations.get_mut(id) else { return };
        invocation.answered = true;
        if let Some(position) = invocation.queue_position.take() {
            self.queue.remove(&position);
        }
        let has_forward = invocation.current_forward.is_some();
        self.set_invocation_timer(id, None);
        if has_forward {
            self.cancel(id);
        } else {
            self.invocations.remove(id);
        }
    }

    /// Cancels the forward in flight, if cancelling is allowed and its response has not started.
    fn cancel(&mut self, id: &Id) {
        let Some(current) =
            self.invocations.get_mut(id).and_then(|invocation| invocation.current_forward.as_mut())
        else {
            return;
        };
        if self.settings.may_cancel && !current.cancelled && !current.response_started {
            current.cancelled = true;
            self.actions.push(Action::Cancel { invocation: id.clone(), forward: current.number });
        }
    }

    /// Forwards the first 64 queued invocations as far as runners and the retry budget allow.
    fn dispatch_queue(&mut self) {
        if self.queue.is_empty() {
            return;
        }
        let slot_freed = std::mem::take(&mut self.slot_freed);
        let waiting: Vec<Id> = self.queue.values().take(64).cloned().collect();
        // Once an unconstrained invocation has found no room, the unconstrained ones behind it are skipped.
        let mut no_room = false;
        for id in waiting {
            let invocation = &self.invocations[&id];
            let is_constrained = invocation.retry_constraint.is_some()
                || self.settings.operations[invocation.operation].machine_type.is_some();
            if no_room && !is_constrained || self.now < invocation.wait_until && !slot_freed {
                continue;
            }
            if invocation.forwards > 0 && !self.has_retry_budget(invocation.operation) {
                let next_release = self
                    .settings
                    .retry_budget
                    .and_then(|budget| self.retry_window.next_release(&budget, self.now));
                self.invocations
                    .entry(id.clone())
                    .and_modify(|invocation| invocation.wait_until = next_release.unwrap_or(0));
                self.set_queue_timer(&id);
                continue;
            }
            match self.choose_runner(&id) {
                Some(r) => self.forward(&id, r),
                None => no_room |= !is_constrained && self.invocations[&id].wait_until > self.now,
            }
        }
    }

    /// Whether the retry budget allows one more retry. The second half of what the window allows is reserved
    /// for high-priority work.
    fn has_retry_budget(&self, operation: usize) -> bool {
        let Some(budget) = &self.settings.retry_budget else { return true };
        let (used, allowed) = self.retry_window.usage(budget, self.now);
        used + 1.0 <= allowed && (self.is_high_priority[operation] || used < allowed / 2.0)
    }

    /// Forwards an invocation to runner `r` and starts its timers.
    fn forward(&mut self, id: &Id, r: usize) {
        let work = self.estimated_work(&self.invocations[id]);
        let silence_timeout = self.silence_timeout(false);
        let Some(invocation) = self.invocations.get_mut(id) else { return };
        if let Some(position) = invocation.queue_position.take() {
            self.queue.remove(&position);
        }
        let (number, sent_at) = (invocation.forwards, self.now);
        invocation.forwards += 1;
        if let Some(budget) = self.settings.retry_budget.as_ref().filter(|_| number > 0) {
            self.retry_window.record_retry(budget, self.now);
        }
        (invocation.pools_sampled, invocation.probe_deadline, invocation.wait_until) = (0, 0, 0);
        let runner = &mut self.runners[r];
        let dialled = runner.reserve_connection(self.now, self.settings.idle_timeout);
        let is_high_priority = self.is_high_priority[invocation.operation];
        invocation.current_forward = Some(ForwardState {
            runner_index: r,
            number,
            is_high_priority,
            dialled,
            sent_at,
            last_activity: sent_at,
            ..ForwardState::default()
        });
        if runner.in_flight == 0 {
            runner.silent_since = self.now;
        }
        runner.in_flight += 1;
        runner.in_flight_high += u32::from(is_high_priority);
        self.total_in_flight += 1;
        if dialled && !self.connected.contains(&r) {
            self.connected.push(r);
        }
        runner.sent_work.push_back((self.now, work));
        let op = &self.settings.operations[invocation.operation];
        let dedup_constraint =
            invocation.retry_constraint.as_ref().filter(|_| matches!(op.effect, Effect::Deduplicated(_)));
        let send_by =
            dedup_constraint.map(|constraint| constraint.since + op.deduplication_window - ANSWER_MARGIN);
        self.actions.push(Action::Forward { invocation: id.clone(), runner: runner.id.clone(), send_by });
        if self.settings.roster_reports_load() && self.settings.can_probe_load() && runner.slots.is_none() {
            // The roster gives load as a share of slots, but not the number of slots.
            self.probe(r);
        }
        self.set_invocation_timer(id, Some(self.now + silence_timeout));
        self.set_start_timer(id);
    }

    /// Where runners report starts, schedules a check of a forward that has not started: when it may move to
    /// another runner, and when it can no longer meet its objective.
    fn set_start_timer(&mut self, id: &Id) {
        let Some(invocation) = self.invocations.get(id).filter(|_| self.settings.reports_start) else {
            return;
        };
        let Some(current) = invocation.current_forward.as_ref().filter(|current| !current.started) else {
            return;
        };
        let move_at = current.sent_at + self.start_timeout(invocation, current);
        let at = if move_at > self.now {
            move_at.min(invocation.start_deadline)
        } else {
            invocation.start_deadline
        };
        if at > self.now {
            self.set_invocation_timer(id, Some(at));
        }
    }

    /// How long a forward may wait to start before it moves to another runner. It is longer after a dial, as
    /// each move could need a new connection again, and where many forwards are rejected, as a place in a
    /// runner's queue is then worth keeping.
    fn start_timeout(&self, invocation: &InvocationState, current: &ForwardState) -> Micros {
        let objective = self.settings.operations[invocation.operation].latency_objective;
        let accepted_share =
            if self.free_slot_share.updated_at.is_some() { self.free_slot_share.value } else { 1.0 };
        if current.dialled {
            objective
        } else {
            (objective as f64 * (1.0 - accepted_share * 2.0 / 3.0)) as Micros
        }
    }

    /// Records a sign of life of a forward and returns its state; `None` if it is not the forward in flight.
    fn record_activity(&mut self, id: &Id, forward: u32) -> Option<&mut ForwardState> {
        let current = self
            .invocations
            .get_mut(id)?
            .current_forward
            .as_mut()
            .filter(|current| current.number == forward)?;
        current.last_activity = self.now;
        self.runners[current.runner_index].silent_since = self.now;
        Some(current)
    }

    /// Records that a forward has started and how long it waited.
    fn handle_started(&mut self, id: &Id, forward: u32) {
        let silence_timeout = self.silence_timeout(true);
        let Some(current) = self.record_activity(id, forward).filter(|current| !current.started) else {
            return;
        };
        current.started = true;
        let (sent_at, dialled) = (current.sent_at, current.dialled);
        if self.settings.roster_reports_load() || self.settings.load_is_unknown() {
            // Where load is unknown, a job that starts within the shortest objective counts as having found
            // a free slot.
            let is_prompt = !self.settings.load_is_unknown() || self.now - sent_at <= self.shortest_objective;
            self.free_slot_share.record(f64::from(u8::from(is_prompt)), 0.2, self.now);
        }
        self.set_invocation_timer(id, Some(self.now + silence_timeout));
        // Bounded, so that one slow runner has little influence on the averages.
        let wait = (self.now - sent_at).min(self.shortest_objective * 3 / 2) as f64;
        if dialled {
            self.dial_wait_excess.record(wait - self.mean_start_wait.value, 0.1, self.now);
        } else {
            self.mean_start_wait.record(wait, 0.05, self.now);
        }
    }

    /// Ends a forward: updates the runner's state, then closes, retries or gives up the invocation.
    fn handle_outcome(&mut self, outcome: Outcome) {
        let Some(invocation) = self.invocations.get_mut(&outcome.invocation) else { return };
        let Some(current) = invocation.current_forward.take_if(|current| current.number == outcome.forward)
        else {
            return;
        };
        let operation = invocation.operation;
        invocation.moved_from =
            Some(current.runner_index).filter(|_| outcome.result == ForwardResult::Withdrawn);
        let answered = invocation.answered || outcome.answered;
        let runner = &mut self.runners[current.runner_index];
        runner.in_flight -= 1;
        runner.in_flight_high -= u32::from(current.is_high_priority);
        runner.last_used_at = self.now;
        self.total_in_flight -= 1;
        if matches!(outcome.result, ForwardResult::Unreachable | ForwardResult::Broken) {
            runner.connections = 0;
            self.connected.retain(|r| *r != current.runner_index);
        }
        let never_ran = matches!(
            outcome.result,
            ForwardResult::Overloaded | ForwardResult::Unreachable | ForwardResult::Void
        );
        if !never_ran && invocation.retry_constraint.is_none() {
            let (zone, cell) = (runner.zone.clone(), runner.cell);
            invocation.retry_constraint = Some(RetryConstraint { zone, cell, since: current.sent_at });
        }
        self.apply_report(current.runner_index, &outcome.report);
        // Where runners report starts, accepted forwards have been counted at the start.
        let accepted = outcome.result == ForwardResult::Succeeded && !self.settings.reports_start;
        if self.forwards_indicate_load()
            && !self.settings.load_is_unknown()
            && (accepted || outcome.result == ForwardResult::Overloaded)
        {
            self.free_slot_share.record(f64::from(u8::from(accepted)), 0.2, self.now);
        }
        if outcome.result == ForwardResult::Overloaded
            && let Some(free) = self.settings.free_slots(&outcome.report)
        {
            // Rejected as full with a report that shows a free slot: the report is late.
            self.add_lateness_evidence(if free > 0.5 { 2.1 } else { -0.14 });
        }
        self.record_health(current.runner_index, operation, &outcome);
        if answered { self.close(&outcome.invocation) } else { self.retry_or_give_up(&outcome.invocation) }
    }

    /// Retries an invocation whose forward has ended, or gives it up if no retry is allowed or useful.
    fn retry_or_give_up(&mut self, id: &Id) {
        let Some(invocation) = self.invocations.get_mut(id) else { return };
        let op = &self.settings.operations[invocation.operation];
        let mut retry_until = invocation
            .give_up_at
            .max(self.now + op.latency_objective / 2)
            .min(invocation.deadline - ANSWER_MARGIN);
        match (&invocation.retry_constraint, op.effect) {
            (None, _) | (Some(_), Effect::Idempotent) => {}
            (Some(constraint), Effect::Deduplicated(_)) => {
                retry_until = retry_until.min(constraint.since + op.deduplication_window - ANSWER_MARGIN)
            }
            (Some(_), Effect::NonIdempotent) => retry_until = self.now,
        }
        if invocation.forwards >= self.forward_limits[invocation.operation] || self.now >= retry_until {
            return self.give_up(id);
        }
        invocation.give_up_at = retry_until;
        let (operation, start_deadline, moved) =
            (invocation.operation, invocation.start_deadline, invocation.moved_from.is_some());
        // Without admission control here, rejected low-priority work would keep sampling at the cost of
        // high-priority work.
        let admitted =
            !self.forwards_indicate_load() || moved || self.should_admit(operation, start_deadline);
        if admitted { self.enqueue(id) } else { self.give_up(id) }
    }

    // Choice of a runner (Pod-SSP).

    /// Chooses a runner for an invocation; `None` while probes are pending or if no candidate has room.
    fn choose_runner(&mut self, id: &Id) -> Option<usize> {
        let mut invocation = self.invocations.remove(id)?;
        let found = self.choose_from_pools(&mut invocation);
        self.invocations.insert(id.clone(), invocation);
        if found.is_none() {
            self.set_queue_timer(id);
        }
        found
    }

    /// Samples one pool after the other until a candidate is acceptable; with no pool left, sets the time to
    /// start again.
    fn choose_from_pools(&mut self, invocation: &mut InvocationState) -> Option<usize> {
        if invocation.pools_sampled == 0 {
            invocation.pool_order =
                if invocation.key.is_some() { 2 } else { usize::from(self.slots_are_short()) };
        }
        loop {
            if invocation.pools_sampled > 0 {
                if self.probe_candidates(invocation) {
                    return None;
                }
                let pool = self.pool_orders[invocation.pool_order][invocation.pools_sampled - 1];
                if let Some(r) =
                    self.least_loaded(invocation).filter(|r| self.is_acceptable(pool, *r, invocation))
                {
                    return Some(r);
                }
            }
            let Some(pool) = self.pool_orders[invocation.pool_order].get(invocation.pools_sampled).copied()
            else {
                (invocation.pools_sampled, invocation.probe_deadline) = (0, 0);
                let tier = invocation.queue_position.map_or(LATE_TIER, |position| position.0);
                invocation.wait_until =
                    self.now + (RESAMPLE_INTERVALS[usize::from(tier)] * self.mean_forward_time) as Micros;
                return None;
            };
            self.sample(pool, invocation);
        }
    }

    /// Whether the least loaded candidate is acceptable, or the next pool has to be sampled as well.
    /// Low-priority work waits in this queue rather than in runners, where it would take the few queue places
    /// from high-priority work.
    fn is_acceptable(&self, pool: CandidatePool, r: usize, invocation: &InvocationState) -> bool {
        let is_free = self.has_free_slot(r);
        let is_free_or_may_wait = is_free
            || !self.probes_indicate_load()
            || invocation.queue_position.is_some_and(|position| position.0 == 0);
        let has_full_sample = invocation.candidates.len() >= self.sample_size(invocation);
        match pool {
            CandidatePool::Homes => true,
            CandidatePool::ConnectedOwnZone => has_full_sample && is_free,
            CandidatePool::Connected => has_full_sample && is_free_or_may_wait,
            // The roster's loads are late averages: they do not show when the own zone alone runs short.
            CandidatePool::OwnZone => is_free && !self.settings.roster_reports_load(),
            CandidatePool::All => is_free,
            CandidatePool::Cold => is_free_or_may_wait,
        }
    }

    /// Whether a runner has a free slot. Jobs are whole but reports are noisy: 2.97 of 3 slots taken is a
    /// full runner. If any count below the number of slots meant a free slot, every second full runner would
    /// look free, to all dispatchers at once. Loads from the roster are averages, so any fraction counts
    /// there.
    fn has_free_slot(&self, r: usize) -> bool {
        let min_free = if self.settings.roster_reports_load() { f64::MIN_POSITIVE } else { 0.5 };
        self.slots(r) - self.job_count(r) >= min_free
    }

    /// Whether probes indicate load: they are allowed, report it, and reports are not believed to come late.
    fn probes_indicate_load(&self) -> bool {
        self.settings.can_probe_load()
            && !self.settings.roster_reports_load()
            && self.late_reports_log_odds <= 0.0
    }

    /// Whether a new connection is priced, or has been observed to take a large part of an objective.
    fn dials_are_costly(&self) -> bool {
        let excess = self.dial_wait_excess.value_at(self.now, USUAL_LOAD_DECAY * self.mean_forward_time);
        self.settings.connections_are_priced || excess > self.shortest_objective as f64 * SLOW_DIAL_RATIO
    }

    /// How many runners to sample from each pool.
    fn sample_size(&self, invocation: &InvocationState) -> usize {
        if self.is_high_priority[invocation.operation] { HIGH_PRIORITY_SAMPLES } else { LOW_PRIORITY_SAMPLES }
    }

    /// Samples runners from a pool and adds them to the invocation's candidates.
    fn sample(&mut self, pool: CandidatePool, invocation: &mut InvocationState) {
        if invocation.pools_sampled == 0 {
            invocation.candidates.clear();
            invocation.next_home = None;
        }
        invocation.pools_sampled += 1;
        invocation.probe_deadline = 0;
        let mut pool_runners = match (pool, invocation.key) {
            (CandidatePool::Homes, Some(key)) => self.homes_of_key(key, invocation),
            (CandidatePool::ConnectedOwnZone | CandidatePool::Connected, _) if !self.dials_are_costly() => {
                Vec::new()
            }
            (CandidatePool::ConnectedOwnZone | CandidatePool::Connected, _) => {
                let used_after = self.now - self.settings.idle_timeout;
                self.connected
                    .retain(|r| self.runners[*r].in_flight > 0 || self.runners[*r].last_used_at > used_after);
                self.connected.clone()
            }
            (CandidatePool::Cold, _) => {
                let cold = std::mem::take(&mut self.cold);
                self.cold = cold.into_iter().filter(|r| self.warmth(*r) < 1.0).collect();
                self.cold.clone()
            }
            _ => self.listed.clone(),
        };
        if pool == CandidatePool::Homes && pool_runners.len() > 1 {
            invocation.next_home = pool_runners.pop();
        }
        let mut remaining = self.sample_size(invocation);
        while remaining > 0 && !pool_runners.is_empty() {
            let r = pool_runners.swap_remove(self.pick_index(&pool_runners));
            let fits = match pool {
                CandidatePool::ConnectedOwnZone | CandidatePool::OwnZone => self.runners[r].in_own_zone,
                // Where connections are not priced, only a free one is worth preferring: otherwise a new one
                // has to be dialled anyway.
                CandidatePool::Connected => {
                    self.settings.connections_are_priced
                        || self.runners[r].connections > self.runners[r].in_flight
                }
                CandidatePool::Homes | CandidatePool::All | CandidatePool::Cold => true,
            };
            // Only a fresh report excludes a candidate: a runner rejected by an old report would not be
            // probed again.
            let report_counts = !self.probes_indicate_load() || !self.report_is_stale(r);
            // A runner that the invocation has just left because it did not start there is no better now.
            let is_excluded = invocation.candidates.contains(&r)
                || invocation.moved_from == Some(r) && self.listed.len() > 1
                || self.must_avoid(r, invocation);
            if fits
                && !is_excluded
                && self.is_eligible(r, invocation)
                && (!report_counts || self.has_room(r, invocation))
            {
                invocation.candidates.push(r);
                remaining -= 1;
            }
        }
        if pool == CandidatePool::Homes {
            invocation.candidates.extend(invocation.next_home);
        }
    }

    /// Picks an index at random. Where sizes move with load, or load is unknown, picks are weighted by
    /// capacity: if all dispatchers took the least loaded of the late roster, they would all choose the
    /// same runner.
    fn pick_index(&mut self, runners: &[usize]) -> usize {
        if !self.settings.roster_reports_load() && !self.settings.load_is_unknown() {
            return self.rng.below(runners.len() as u64) as usize;
        }
        let weights: Vec<f64> = runners.iter().map(|r| self.capacity(*r).max(1e-6)).collect();
        self.rng.weighted_index(&weights)
    }

    /// Probes candidates with stale reports before the choice, where probes indicate load: among many
    /// dispatchers, the own forwards in flight to a runner say next to nothing about its load. Returns true
    /// while answers may still arrive.
    fn probe_candidates(&mut self, invocation: &mut InvocationState) -> bool {
        if !self.probes_indicate_load() {
            return false;
        }
        let is_first_call = invocation.probe_deadline == 0;
        if is_first_call {
            invocation.probe_deadline = self.now + PROBE_TIMEOUT;
        }
        let mut is_waiting = false;
        for &r in &invocation.candidates {
            if is_first_call && self.report_is_stale(r) {
                self.probe(r);
            }
            is_waiting |= self.runners[r].probe_pending;
        }
        is_waiting && self.now < invocation.probe_deadline
    }

    /// Sends a probe, unless one is pending.
    fn probe(&mut self, r: usize) {
        let runner = &mut self.runners[r];
        if !std::mem::replace(&mut runner.probe_pending, true) {
            self.actions.push(Action::Probe { runner: runner.id.clone() });
        }
    }

    /// Chooses the least loaded candidate by Pod-SSP; candidates are in random order, which breaks ties.
    fn least_loaded(&mut self, invocation: &InvocationState) -> Option<usize> {
        let mut best: Option<(f64, f64, usize)> = None;
        for &r in &invocation.candidates {
            // A candidate that was sampled to be probed and has no fresh report may only use its slow-start
            // budget.
            let is_unreported =
                self.report_is_stale(r) && !self.within_cold_budget(r, self.estimated_work(invocation));
            let is_skipped = self.probes_indicate_load() && (self.runners[r].probe_pending || is_unreported);
            if is_skipped || !self.is_eligible(r, invocation) || !self.has_room(r, invocation) {
                continue;
            }
            let is_high = self.is_high_priority[invocation.operation];
            let high_load =
                if is_high { f64::from(self.runners[r].in_flight_high) / self.slots(r) } else { 0.0 };
            let fetch_penalty = if invocation.next_home == Some(r) { FETCH_PENALTY_JOBS } else { 0.0 };
            // Where load is unknown, ties are broken by the random order of the candidates, which is weighted
            // by size.
            let new_job = if self.settings.load_is_unknown() { 0.0 } else { 1.0 };
            let load = (self.estimate_jobs(r) + new_job + fetch_penalty) / self.capacity(r);
            if best.is_none_or(|best| (high_load, load) < (best.0, best.1)) {
                best = Some((high_load, load, r));
            }
        }
        best.map(|(_, _, r)| r)
    }

    /// The homes of a key that are open to this invocation; the last one returned is the next home in the
    /// ranking. A runner must fetch what a key needs unless it has it, and one store serves all fetches.
    /// Every dispatcher finds the same homes by rendezvous hashing, and as many as the key's share of the
    /// work requires: a popular key would overload a single home before any report shows it.
    fn homes_of_key(&mut self, key: u64, invocation: &InvocationState) -> Vec<usize> {
        let mut length = 8;
        loop {
            self.rank_homes(key, length);
            let Some(key_state) = self.key_usage.by_hash.get(&key) else { return Vec::new() };
            // Without the use that first recorded the key: a single use among few does not make it popular.
            let share = (key_state.uses - 1.0).max(0.0) / self.key_usage.total_uses;
            let mut missing_weight = HOMES_PER_RUNNER_SHARE * share * self.total_weight;
            // Own forwards in flight limit a home before any report could, and more strictly where work would
            // wait.
            let is_within_bound = |r: &&usize| {
                let share = f64::from(self.total_in_flight + 1) * self.weight(**r) / self.total_weight;
                let bound = if self.has_free_slot(**r) { HOME_LOAD_BOUND } else { 1.0 };
                f64::from(self.runners[**r].in_flight) + 1.0 <= (bound * share).ceil()
                    && self.is_eligible(**r, invocation)
            };
            let mut homes = Vec::new();
            for &r in key_state.homes.iter().filter(is_within_bound) {
                homes.push(r);
                if missing_weight <= 0.0 && homes.len() > 1 {
                    return homes;
                }
                missing_weight -= self.weight(r);
            }
            if key_state.homes.len() >= self.rendezvous_entries.len() {
                return homes;
            }
            length = 4 * key_state.homes.len();
        }
    }

    /// Ensures that at least `length` homes of a key are ranked, or as many as there are runners.
    fn rank_homes(&mut self, key: u64, length: usize) {
        let length = length.min(self.rendezvous_entries.len());
        let Some(key_state) = self.key_usage.by_hash.get_mut(&key) else { return };
        if key_state.ranking_generation == self.ranking_generation && key_state.homes.len() >= length {
            return;
        }
        key_state.homes = rendezvous_rank(key, &self.rendezvous_entries, length);
        key_state.ranking_generation = self.ranking_generation;
    }

    /// Whether a runner may be a candidate for this invocation: listed, suitable, not ejected, full or
    /// silent, and within its slow-start limits.
    fn is_eligible(&self, r: usize, invocation: &InvocationState) -> bool {
        let runner = &self.runners[r];
        let op = &self.settings.operations[invocation.operation];
        let fits = runner.listed
            && op.machine_type.as_ref().is_none_or(|kind| *kind == runner.machine_type)
            && match (&invocation.retry_constraint, op.effect) {
                (Some(constraint), Effect::Deduplicated(DeduplicationScope::Zone)) => {
                    constraint.zone == runner.zone
                }
                (Some(constraint), Effect::Deduplicated(DeduplicationScope::Cell)) => {
                    constraint.cell == runner.cell
                }
                _ => true,
            };
        fits && self.now >= runner.ejected_until.max(runner.full_until)
            && !(runner.on_trial && runner.in_flight > 0)
            && !self.is_silent(r, false)
            && (self.within_cold_budget(r, self.estimated_work(invocation))
                || self.holds_few_jobs(r, self.estimated_work(invocation)))
    }

    /// Whether a runner has room for an invocation. Where probes keep counts fresh, work waits in this queue
    /// rather than in the few queue places of a runner. Loads from the roster are too old to exclude a
    /// runner.
    fn has_room(&self, r: usize, invocation: &InvocationState) -> bool {
        if self.settings.roster_reports_load() {
            return true;
        }
        let (slots, count) = (self.slots(r), self.job_count(r));
        let room = if self.settings.can_probe_load() {
            // The end of an own forward is visible here, so a job may as well wait here for that slot. Where
            // other dispatchers' jobs hold the slots, their end is not visible, and the job waits in the
            // runner.
            let other_share = 1.0 - f64::from(self.runners[r].in_flight) / count.max(1.0);
            // Uncertain counts are averages: a runner that seems just full may have a free slot, the more
            // likely the larger the own share of the work.
            let own_share = 1.0 / f64::from(self.settings.dispatchers.max(1));
            let tolerance = if self.probes_indicate_load() { 0.0 } else { 0.5 + 0.5 * own_share.powi(4) };
            (slots * (self.warmth(r) + other_share * QUEUE_PLACES_PER_SLOT)).round().max(1.0) + tolerance
        } else {
            slots * self.warmth(r)
                + self.capacity(r) * self.shortest_objective as f64 / self.mean_forward_time
        };
        count + invocation.slots <= room.max(invocation.slots)
    }

    /// All jobs of a runner: own forwards in flight plus the other jobs of the latest report. As the report
    /// ages, the jobs that it counted end; then the runner's usual load says more, and in the long run the
    /// mean of the fleet. Without the latter a runner that was once full would be avoided for good.
    fn job_count(&self, r: usize) -> f64 {
        let runner = &self.runners[r];
        let mean = self.mean_other_jobs.value_at(self.now, 8.0 * self.mean_forward_time) * self.capacity(r);
        let age = self.report_age(r) / self.mean_forward_time;
        let usual = mean + (-age / USUAL_LOAD_DECAY).exp() * (runner.usual_other_jobs.max(0.0) - mean);
        let other_jobs = match runner.reported_at {
            None => mean,
            // While reports come late, one runner's report says little; the mean of the fleet still holds.
            Some(_) if self.late_reports_log_odds > 0.0 || self.settings.roster_reports_load() => {
                (usual + mean) / 2.0
            }
            Some(_) => usual + (-age).exp() * (runner.other_jobs - usual),
        };
        f64::from(runner.in_flight) + other_jobs.max(0.0)
    }

    /// A runner's job count for the comparison of candidates. Where loads come from the roster, they are
    /// averages that are off by about their square root, and all dispatchers see the same late roster: if
    /// they used its figures as they are, they would all choose the same runner. So normal noise is added.
    fn estimate_jobs(&mut self, r: usize) -> f64 {
        let count = self.job_count(r);
        if !self.settings.roster_reports_load() {
            return count;
        }
        (count + count.max(1.0).sqrt() * self.rng.normal()).max(f64::from(self.runners[r].in_flight))
    }

    /// Age of a runner's latest report in microseconds; `f64::MAX` if there is none.
    fn report_age(&self, r: usize) -> f64 {
        self.runners[r].reported_at.map_or(f64::MAX, |at| (self.now - at) as f64)
    }

    /// Whether a runner's latest report is too old to choose by.
    fn report_is_stale(&self, r: usize) -> bool {
        self.report_age(r) > STALE_REPORT_AGE * self.mean_forward_time
    }

    /// Recomputes the mean forward time over the operations in use; at least 1.
    fn update_mean_forward_time(&mut self) {
        let used = self.settings.operations.iter().zip(&self.forward_times).filter(|(op, _)| op.in_use);
        let forward_times: Vec<f64> = used.map(|(_, forward_time)| forward_time.value).collect();
        self.mean_forward_time =
            (forward_times.iter().sum::<f64>() / (forward_times.len() as f64).max(1.0)).max(1.0);
    }

    /// A runner's slots as reported; otherwise the fewest of any runner, or 1.
    fn slots(&self, r: usize) -> f64 {
        self.runners[r].slots.unwrap_or(if self.min_slots > 0.0 { self.min_slots } else { 1.0 })
    }

    /// Capacity that job counts are divided by: the weight, reduced while the runner is cold.
    fn capacity(&self, r: usize) -> f64 {
        self.weight(r) * self.warmth(r)
    }

    /// A runner's weight when warm: its registered size where the roster gives one, otherwise its slots.
    fn weight(&self, r: usize) -> f64 {
        let size = self.runners[r].size;
        if self.settings.size_source != SizeSource::Unknown && size > 0.0 { size } else { self.slots(r) }
    }

    // Slow start of cold runners.

    /// The share of its full capacity that a runner is sure to have, rising linearly from its start.
    fn warmth(&self, r: usize) -> f64 {
        let Some(launched) = self.runners[r].launched else { return 1.0 };
        let age = (self.now - launched).max(0) as f64 / self.settings.warm_up_span.max(1) as f64;
        (self.settings.cold_capacity_share + (1.0 - self.settings.cold_capacity_share) * age).min(1.0)
    }

    /// Estimated work of an invocation in slot-microseconds. While heavy jobs fail, mean forward times are
    /// those of light jobs, so the client's hint counts if it is greater.
    fn estimated_work(&self, invocation: &InvocationState) -> f64 {
        self.forward_times[invocation.operation].value.max(invocation.work_hint) * invocation.slots
    }

    /// The work that all dispatchers together may send to a cold runner within the overload window.
    fn cold_budget(&self, r: usize) -> f64 {
        let max_rate = self.settings.overload_factor * self.warmth(r) * self.slots(r);
        max_rate * self.settings.overload_window as f64 * COLD_BUDGET_SAFETY_FACTOR
    }

    /// Whether `work` is within this dispatcher's part of a cold runner's budget: an even share, or the share
    /// agreed on. Where a share is less than one job, dispatchers take turns of one time slice each, by their
    /// indexes, and send whole jobs. Any overload window touches two slices, so each slice gets half the
    /// budget.
    fn within_cold_budget(&self, r: usize, work: f64) -> bool {
        if self.warmth(r) >= 1.0 {
            return true;
        }
        let (span, budget) = (self.settings.overload_window.max(1), self.cold_budget(r));
        let runner = &self.runners[r];
        let (agreed_part, rotating_part) =
            if self.settings.slow_start_is_shared { SHARED_BUDGET_SPLIT } else { (0.0, 1.0) };
        let agreed_budget = runner.budget_share(self.now, self.settings.dispatchers) * agreed_part * budget;
        let even_budget = rotating_part * budget / f64::from(self.settings.dispatchers);
        let used = runner.work_sent_since(self.now - span) + work;
        if used <= agreed_budget || even_budget >= work {
            return used <= agreed_budget.max(even_budget);
        }
        let slice = self.now.div_euclid(span);
        let turn_count = (self.mean_forward_time / (even_budget / 2.0)).ceil();
        let turn = (slice as u64)
            .wrapping_add(runner.hash >> 32)
            .wrapping_add(self.settings.dispatcher_index.into());
        let limit = agreed_budget + turn_count * even_budget / 2.0;
        turn % (turn_count as u64).max(1) == 0 && runner.work_sent_since(slice * span) + work <= limit
    }

    /// Whether a cold runner holds so few jobs that more work is safe without budget. The work sent to a
    /// runner in a window is what it completes in it, at most its capacity, plus what it holds at the end. It
    /// is safe while it holds no more than the overload rule leaves beyond its capacity, including jobs that
    /// other dispatchers may be sending now. This needs reports that are known to be prompt; a runner without
    /// a fresh report may be sampled, to be probed.
    fn holds_few_jobs(&self, r: usize, work: f64) -> bool {
        if !self.probes_indicate_load()
            || self.prompt_reports < MIN_PROMPT_REPORTS
            || self.report_age(r) > PROBE_TIMEOUT as f64 && !self.report_is_stale(r)
        {
            return false;
        }
        let held = if self.report_is_stale(r) { 0.0 } else { self.job_count(r) };
        let spare_rate = (self.settings.overload_factor - 1.0) * self.warmth(r) * self.slots(r);
        (held + CONCURRENT_JOBS_ALLOWANCE) * self.mean_forward_time + work
            <= spare_rate * self.settings.overload_window as f64 * COLD_BUDGET_SAFETY_FACTOR
    }

    // Runner reports and health.

    /// Updates slots and load from a runner's load report, if it has values.
    fn apply_report(&mut self, r: usize, values: &[f64]) {
        let fields = [ReportField::InFlight, ReportField::FreeSlots, ReportField::Waiting];
        let [in_flight, free, waiting] = fields.map(|field| self.settings.field(values, field));
        let runner = &mut self.runners[r];
        runner.sent_work.retain(|(at, _)| *at >= self.now - self.settings.overload_window);
        let Some(in_flight) = in_flight else { return };
        if let Some(free) = free.filter(|free| *free > 0.5 || waiting.is_some()) {
            let reported_slots = (free + in_flight - waiting.unwrap_or(0.0)).round().max(1.0);
            let slots = runner.slots.map_or(reported_slots, |slots| slots + 0.2 * (reported_slots - slots));
            runner.slots = Some(slots);
            self.min_slots = if self.min_slots > 0.0 { self.min_slots.min(slots) } else { slots };
        }
        if self.settings.roster_reports_load() {
            return;
        }
        let expected_own = self.record_load(r, in_flight);
        if expected_own > 0.0 {
            // A fresh report counts at least the own forwards that are older than `REPORT_LAG`; one that does
            // not is late.
            self.add_lateness_evidence(if in_flight + 0.5 < expected_own { 2.3 } else { -0.1 });
        }
    }

    /// Records the jobs that a runner is reported to hold. Returns how many own forwards this must include.
    fn record_load(&mut self, r: usize, held: f64) -> f64 {
        let expected_own = self.runners[r].record_load(held, self.now, REPORT_LAG);
        let level = self.runners[r].other_jobs.max(0.0) / self.weight(r);
        self.mean_other_jobs.record(level, 0.05, self.now);
        expected_own
    }

    /// Adds evidence, as a log-likelihood ratio, that reports come late (positive) or are prompt (negative).
    /// The log-odds are bounded, so that evidence to the contrary can still reverse them.
    fn add_lateness_evidence(&mut self, evidence: f64) {
        self.late_reports_log_odds =
            (self.late_reports_log_odds + evidence).clamp(-MAX_LATENESS_LOG_ODDS, MAX_LATENESS_LOG_ODDS);
        self.prompt_reports = if evidence > 0.0 { 0 } else { self.prompt_reports.saturating_add(1) };
    }

    /// Updates a runner's health from the outcome of a forward, and ejects it if needed.
    fn record_health(&mut self, r: usize, operation: usize, outcome: &Outcome) {
        let now = self.now;
        let (mean_forward_time, slots) = (self.mean_forward_time, self.slots(r));
        let runner = &mut self.runners[r];
        runner.decay_health(now, HEALTH_HALF_LIFE);
        match outcome.result {
            ForwardResult::Succeeded => {
                runner.successes += 1.0;
                runner.silent_since = now;
                runner.on_trial = false;
                runner.full_until = now;
                runner.ejection_count = 0;
                self.slot_freed = true;
                let forward_time = &mut self.forward_times[operation];
                // Bounded, so that one slow runner has little influence on the average.
                forward_time.record((outcome.elapsed as f64).min(4.0 * forward_time.value), 0.05, now);
                self.update_mean_forward_time();
            }
            // A broken connection may say nothing about its runner: one that is down refuses the next dial.
            ForwardResult::Errored | ForwardResult::Broken => {
                runner.failures += 1.0;
                runner.silent_since = now;
                if runner.failures <= 1.5 {
                    return;
                }
                let mut shares: Vec<f64> =
                    self.listed.iter().map(|r| self.runners[*r].failure_share()).collect();
                shares.sort_by(f64::total_cmp);
                let median = shares.get(shares.len().saturating_sub(1) / 2).copied().unwrap_or(0.0);
                if self.runners[r].failure_share() > median + MAX_FAILURES_OVER_MEDIAN {
                    self.eject(r, "errors");
                }
            }
            ForwardResult::Unreachable => {
                // Where all dials are slow, one that timed out is no evidence against its runner.
                let was_slow = outcome.elapsed as f64 > self.shortest_objective as f64 * SLOW_DIAL_RATIO;
                if was_slow && !self.settings.connections_are_priced {
                    self.dial_wait_excess.record(outcome.elapsed as f64, 0.1, now);
                }
                if !(was_slow
                    && self.dials_are_costly()
                    && self.runners[r].silent_since > now - outcome.elapsed)
                {
                    self.eject(r, "no connection");
                }
            }
            ForwardResult::Overloaded => {
                runner.silent_since = now;
                runner.full_until = now + (mean_forward_time / slots) as Micros;
            }
            ForwardResult::TimedOut | ForwardResult::Withdrawn | ForwardResult::Void => {}
        }
    }

    /// Ejects an outlier for a while. Afterwards it gets one forward at a time until one succeeds.
    fn eject(&mut self, r: usize, reason: &str) {
        let runner = &mut self.runners[r];
        if self.now < runner.ejected_until {
            return;
        }
        let duration = (BASE_EJECTION_TIME << runner.ejection_count.min(8)).min(MAX_EJECTION_TIME);
        runner.ejected_until = self.now + duration;
        runner.ejection_count += 1;
        runner.on_trial = true;
        self.actions.push(Action::Log(format!(
            "{} set aside for {} ms: {reason}",
            runner.id,
            duration / 1000
        )));
    }

    /// Number of listed runners that are ejected at this time.
    pub fn ejected_runners(&self, now: Micros) -> usize {
        self.listed.iter().filter(|r| now < self.runners[**r].ejected_until).count()
    }

    /// How long a runner may show no sign of life. Progress is reported at a known interval, so its absence
    /// reveals a hang sooner than any timeout. A job that has not started reports none: where load is unknown
    /// it may wait in the runner's queue, which would look like a hang.
    fn silence_timeout(&self, started: bool) -> Micros {
        let progress_timeout = self.settings.progress_interval * 3 / 2;
        if progress_timeout > 0 && (started || !self.settings.load_is_unknown()) {
            return progress_timeout;
        }
        progress_timeout.max(
            4 * self.forward_times.iter().map(|forward_time| forward_time.value).fold(0.0, f64::max)
                as Micros,
        )
    }

    /// Whether a runner with forwards in flight has shown no sign of life for too long.
    fn is_silent(&self, r: usize, started: bool) -> bool {
        let runner = &self.runners[r];
        runner.in_flight > 0 && self.now - runner.silent_since >= self.silence_timeout(started)
    }

    /// Checks a forward in flight: cancels it to move the invocation, gives up or checks again later.
    fn check_stalled(&mut self, id: &Id) {
        let Some(invocation) = self.invocations.get(id).filter(|invocation| !invocation.answered) else {
            return;
        };
        let Some(current) = invocation
            .current_forward
            .as_ref()
            .filter(|current| !current.response_started && !current.cancelled)
        else {
            return;
        };
        // Where load is unknown, another runner is no better choice than the first, and if a cancel does not
        // stop the job, the invocation runs twice; no setting says whether it does.
        let not_started = self.settings.reports_start && !current.started && !self.settings.load_is_unknown();
        if not_started && self.now >= invocation.start_deadline && self.settings.may_cancel {
            // Not started, and late in any case: continuing would take a slot from work that can still meet
            // its objective.
            return self.give_up(id);
        }
        let op = &self.settings.operations[invocation.operation];
        let since =
            invocation.retry_constraint.as_ref().map_or(current.sent_at, |constraint| constraint.since);
        let may_move = match op.effect {
            Effect::Idempotent => true,
            Effect::Deduplicated(_) => self.now < since + op.deduplication_window - 2 * ANSWER_MARGIN,
            Effect::NonIdempotent => false,
        };
        if !(may_move
            && self.settings.may_cancel
            && invocation.forwards < self.forward_limits[invocation.operation])
        {
            return self.set_start_timer(id);
        }
        let (r, started, silence_timeout) =
            (current.runner_index, current.started, self.silence_timeout(current.started));
        if !self.has_retry_budget(invocation.operation) {
            return self.set_invocation_timer(id, Some(self.now + silence_timeout / 4));
        }
        if not_started || current.end_is_unclear {
            return self.cancel(id);
        }
        if self.is_silent(r, started) && self.now - current.last_activity >= silence_timeout {
            self.cancel(id);
            self.eject(r, "silent");
        } else {
            self.set_invocation_timer(id, Some(self.now + silence_timeout / 4));
        }
    }

    /// Records the answer to a probe, or its failure.
    fn handle_probe_end(&mut self, id: &Id, alive: bool, report: &[f64]) {
        let Some(&r) = self.by_id.get(id) else { return };
        self.runners[r].probe_pending = false;
        if !alive && !self.settings.roster_reports_load() {
            return self.eject(r, "no answer to a probe");
        }
        self.apply_report(r, report);
        if let Some(free) = self.settings.free_slots(report).filter(|_| !self.forwards_indicate_load()) {
            self.free_slot_share.record(f64::from(u8::from(free > 0.5)), 0.05, self.now);
        }
    }
}
