//! State that a dispatcher keeps about runners, invocations and keys. Plain entries and their arithmetic; the
//! decisions are in `routing_policy.rs`. Spans and times are in microseconds.

use std::collections::{HashMap, VecDeque};

use crate::{Id, Micros, RetryBudget};

/// An exponentially weighted average whose value decays while no new samples arrive.
#[derive(Clone, Default)]
pub struct DecayingAverage {
    pub value: f64,
    /// Time of the latest sample; `None` before the first.
    pub updated_at: Option<Micros>,
}

impl DecayingAverage {
    /// Adds a sample with this weight; the first sample counts fully.
    pub fn record(&mut self, value: f64, weight: f64, now: Micros) {
        let weight = if self.updated_at.is_some() { weight } else { 1.0 };
        self.value += weight * (value - self.value);
        self.updated_at = Some(now);
    }

    /// The value at `now`, decayed by 1/e for every `decay_time` since the latest sample; 0 without samples.
    pub fn value_at(&self, now: Micros, decay_time: f64) -> f64 {
        self.updated_at.map_or(0.0, |at| self.value * (-((now - at) as f64) / decay_time).exp())
    }
}

/// The share of a count that remains after `age`, when it halves every `half_life`.
fn remaining_share(age: Micros, half_life: f64) -> f64 {
    0.5f64.powf(age as f64 / half_life)
}

/// A runner as this dispatcher sees it.
#[derive(Default)]
pub struct RunnerState {
    pub id: Id,
    /// Hash of the id, for rendezvous hashing and for the turns that dispatchers take in its slow start.
    pub hash: u64,
    /// Whether the roster lists it as up.
    pub listed: bool,
    pub machine_type: Id,
    pub zone: Id,
    /// Whether it is in this dispatcher's zone.
    pub in_own_zone: bool,
    pub cell: i64,
    /// Its size relative to other runners; that of the idle runner where the roster's sizes move with load.
    pub size: f64,
    /// Its size as last listed.
    pub listed_size: f64,
    /// Time of its last start, if known.
    pub launched: Option<Micros>,
    /// Own forwards in flight.
    pub in_flight: u32,
    /// Own forwards in flight that had high priority when they were sent.
    pub in_flight_high: u32,
    /// Open connections, as far as this dispatcher knows.
    pub connections: u32,
    /// When a connection was last used.
    pub last_used_at: Micros,
    /// A probe has been sent and has not ended.
    pub probe_pending: bool,
    /// Other dispatchers' jobs by the latest report: its job count less the own forwards that it must
    /// include.
    pub other_jobs: f64,
    /// `other_jobs` averaged over reports, used when the latest report is old or reports come late.
    pub usual_other_jobs: f64,
    /// Time of the latest report; `None` if there is none since its start.
    pub reported_at: Option<Micros>,
    /// Slots, averaged over reports; `None` if they have not been reported.
    pub slots: Option<f64>,
    /// It has rejected work as full, and until then no slot is expected to become free.
    pub full_until: Micros,
    /// Recent successes; decayed.
    pub successes: f64,
    /// Recent failures; decayed.
    pub failures: f64,
    /// When `successes` and `failures` were last decayed.
    pub health_updated_at: Micros,
    /// End of its latest outlier ejection.
    pub ejected_until: Micros,
    /// Ejections since its last success.
    pub ejection_count: u32,
    /// After an ejection: it gets one forward at a time until one succeeds.
    pub on_trial: bool,
    /// Since when it has shown no sign of life while it held an own forward.
    pub silent_since: Micros,
    /// Recent own forwards: when each was sent and its estimated work in slot-microseconds.
    pub sent_work: VecDeque<(Micros, f64)>,
    /// The agreed share of its slow-start budget for this dispatcher, and until when that holds.
    pub slow_start_share: Option<(f64, Micros)>,
}

impl RunnerState {
    /// Reserves a connection for a forward sent now and returns whether a new one must be opened. Connections
    /// idle for `idle_timeout` have been closed by the runner.
    pub fn reserve_connection(&mut self, now: Micros, idle_timeout: Micros) -> bool {
        if now - self.last_used_at >= idle_timeout {
            self.connections = self.in_flight;
        }
        self.last_used_at = now;
        let must_dial = self.connections <= self.in_flight;
        self.connections = self.connections.max(self.in_flight + 1);
        must_dial
    }

    /// Records the reported number of jobs. The report may miss own forwards younger than `report_lag`.
    /// Returns how many own forwards it must include.
    pub fn record_load(&mut self, held: f64, now: Micros, report_lag: Micros) -> f64 {
        let just_sent = self.sent_work.iter().filter(|(at, _)| *at > now - report_lag).count();
        let expected_own = (f64::from(self.in_flight) - just_sent as f64).max(0.0);
        self.other_jobs = held - expected_own;
        let weight = if self.reported_at.is_some() { 0.2 } else { 1.0 };
        self.usual_other_jobs += weight * (self.other_jobs - self.usual_other_jobs);
        self.reported_at = Some(now);
        expected_own
    }

    /// Estimated work, in slot-microseconds, of own forwards sent at or after `from`.
    pub fn work_sent_since(&self, from: Micros) -> f64 {
        self.sent_work.iter().filter(|(at, _)| *at >= from).map(|(_, work)| work).sum()
    }

    /// This dispatcher's share of the slow-start budget: as agreed, an even one once that has expired, 0
    /// before any agreement.
    pub fn budget_share(&self, now: Micros, dispatchers: u32) -> f64 {
        let even_share = 1.0 / f64::from(dispatchers.max(1));
        self.slow_start_share.map_or(0.0, |(share, until)| if now < until { share } else { even_share })
    }

    /// The share of failures. Two successes are added, so that a single failure is not decisive.
    pub fn failure_share(&self) -> f64 {
        self.failures / (self.successes + self.failures + 2.0)
    }

    /// Decays the counts of successes and failures to `now`.
    pub fn decay_health(&mut self, now: Micros, half_life: f64) {
        let remaining = remaining_share(now - self.health_updated_at, half_life);
        self.health_updated_at = now;
        self.successes *= remaining;
        self.failures *= remaining;
    }
}

/// Sliding window of a retry budget: arrival times of invocations, and times of forwards beyond each
/// invocation's first.
#[derive(Default)]
pub struct RetryBudgetWindow {
    arrivals: VecDeque<Micros>,
    retries: VecDeque<Micros>,
}

impl RetryBudgetWindow {
    /// Records an invocation that arrives now.
    pub fn record_arrival(&mut self, budget: &RetryBudget, now: Micros) {
        self.drop_expired(budget, now);
        self.arrivals.push_back(now);
    }

    /// Records a forward beyond an invocation's first that is sent now.
    pub fn record_retry(&mut self, budget: &RetryBudget, now: Micros) {
        self.drop_expired(budget, now);
        self.retries.push_back(now);
    }

    /// Drops entries older than the window.
    fn drop_expired(&mut self, budget: &RetryBudget, now: Micros) {
        let from = now - budget.window;
        self.arrivals.drain(..self.arrivals.partition_point(|at| *at <= from));
        self.retries.drain(..self.retries.partition_point(|at| *at < from));
    }

    /// Retries in the window that ends now, and how many it allows. A retry on the edge of the window still
    /// counts and an arrival on it does not, so that the budget holds whichever way an observer counts the
    /// edge.
    pub fn usage(&self, budget: &RetryBudget, now: Micros) -> (f64, f64) {
        let from = now - budget.window;
        let arrivals = self.arrivals.len() - self.arrivals.partition_point(|at| *at <= from);
        let retries = self.retries.len() - self.retries.partition_point(|at| *at < from);
        (retries as f64, budget.floor + budget.share * arrivals as f64)
    }

    /// When the oldest retry leaves the window; `None` if there is none.
    pub fn next_release(&self, budget: &RetryBudget, now: Micros) -> Option<Micros> {
        let from = now - budget.window;
        self.retries.get(self.retries.partition_point(|at| *at < from)).map(|at| at + budget.window + 1)
    }
}

/// Half-life of the counted uses of a key, in microseconds.
const KEY_USE_HALF_LIFE: f64 = 3e7;
/// Maximum number of keys; above it the least used ones are dropped.
pub const MAX_KEYS: usize = 10_000;

/// Use counts of affinity keys.
#[derive(Default)]
pub struct KeyUsage {
    /// Keys by the hash of their text.
    pub by_hash: HashMap<u64, KeyState>,
    /// Uses of all keys, decayed.
    pub total_uses: f64,
    /// When any key was last used.
    last_used_at: Micros,
}

impl KeyUsage {
    /// Records a use of a key.
    pub fn record(&mut self, key: u64, now: Micros) {
        let decay = |since: Micros| remaining_share(now - since, KEY_USE_HALF_LIFE);
        let key_state = self.by_hash.entry(key).or_default();
        key_state.uses = key_state.uses * decay(key_state.last_used_at) + 1.0;
        key_state.last_used_at = now;
        self.total_uses = self.total_uses * decay(self.last_used_at) + 1.0;
        self.last_used_at = now;
        if self.by_hash.len() > MAX_KEYS {
            self.drop_least_used(key, now);
        }
    }

    /// Drops the keys unused for a half-life, and then the least used ones until half of the limit is left,
    /// so that this is not needed again soon. `newest` stays.
    fn drop_least_used(&mut self, newest: u64, now: Micros) {
        self.by_hash.retain(|_, key| ((now - key.last_used_at) as f64) < KEY_USE_HALF_LIFE);
        let Some(surplus) = self.by_hash.len().checked_sub(MAX_KEYS / 2).filter(|surplus| *surplus > 0)
        else {
            return;
        };
        let current_uses =
            |key: &KeyState| key.uses * remaining_share(now - key.last_used_at, KEY_USE_HALF_LIFE);
        let mut by_use: Vec<(f64, u64)> = self
            .by_hash
            .iter()
            .filter(|(hash, _)| **hash != newest)
            .map(|(hash, key)| (current_uses(key), *hash))
            .collect();
        by_use.sort_unstable_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        for (_, hash) in by_use.into_iter().take(surplus) {
            self.by_hash.remove(&hash);
        }
    }
}

/// Decayed use count of a key, its last use and its homes.
#[derive(Default)]
pub struct KeyState {
    /// Uses, decayed to `last_used_at`.
    pub uses: f64,
    pub last_used_at: Micros,
    /// Its first homes in the order of rendezvous hashing, by runner index.
    pub homes: Vec<usize>,
    /// The ranking generation in which `homes` were computed.
    pub ranking_generation: u64,
}

/// A forward in flight.
#[derive(Default)]
pub struct ForwardState {
    pub runner_index: usize,
    /// 0 for an invocation's first forward, then counting up.
    pub number: u32,
    /// Whether its operation had high priority when it was sent.
    pub is_high_priority: bool,
    /// A cancel has been sent.
    pub cancelled: bool,
    /// It needed a new connection.
    pub dialled: bool,
    /// The response is being passed to the client.
    pub response_started: bool,
    /// The runner has reported that the job started.
    pub started: bool,
    /// Its runner has reported an end that may be that of an earlier forward.
    pub end_is_unclear: bool,
    pub sent_at: Micros,
    /// Time of its last sign of life.
    pub last_activity: Micros,
}

/// The first forward of an invocation that may have run. It limits where and until when a deduplicated
/// invocation may be forwarded again, and excludes retries of a non-idempotent one.
pub struct RetryConstraint {
    pub zone: Id,
    pub cell: i64,
    /// When that forward was sent.
    pub since: Micros,
}

/// Pools that candidates are sampled from, the cheapest first. The next pool is used only if the candidates
/// so far have no room.
#[derive(Clone, Copy, PartialEq)]
pub enum CandidatePool {
    /// The homes of the invocation's key.
    Homes,
    /// Runners of the own zone with an open connection: a new connection may cost more than a wait.
    ConnectedOwnZone,
    /// Runners with an open connection.
    Connected,
    /// Runners of the own zone.
    OwnZone,
    /// All listed runners.
    All,
    /// Cold runners: among many warm ones they would seldom be sampled and their budget would stay unused.
    Cold,
}

/// What to do when a timer fires.
pub enum Timer {
    /// Check an invocation, queued or in flight.
    Revisit(Id),
    /// Subscribe to the roster, if that is needed.
    Subscribe,
}

/// Position in the queue: tier, start deadline, serial number. Lower tiers first, then the invocation that
/// can wait least.
pub type QueuePosition = (u8, Micros, u64);

/// An invocation that is queued or in flight.
#[derive(Default)]
pub struct InvocationState {
    /// Index into the settings' operations.
    pub operation: usize,
    /// When its client times out.
    pub deadline: Micros,
    /// Latest start with which it can still meet its objective.
    pub start_deadline: Micros,
    /// When it is given up, unless a forward is in flight.
    pub give_up_at: Micros,
    /// Slots that it takes in a runner.
    pub slots: f64,
    /// Its running time on a standard core as hinted by the client; 0 without a hint.
    pub work_hint: f64,
    /// Hash of its affinity key.
    pub key: Option<u64>,
    /// Forwards sent so far.
    pub forwards: u32,
    /// The forward in flight.
    pub current_forward: Option<ForwardState>,
    pub retry_constraint: Option<RetryConstraint>,
    /// The runner of the previous forward, if that was withdrawn.
    pub moved_from: Option<usize>,
    /// Runners that may report the end of a forward again, if it must not run twice.
    pub may_report_again: Vec<usize>,
    /// It needs no further answer.
    pub answered: bool,
    /// Its position, while it is queued.
    pub queue_position: Option<QueuePosition>,
    /// The key of its timer.
    pub timer: Option<(Micros, u64)>,
    /// Runners sampled so far.
    pub candidates: Vec<usize>,
    /// Number of pools sampled so far.
    pub pools_sampled: usize,
    /// Index of the pool order that these pools are taken from.
    pub pool_order: usize,
    /// The candidate that is the next in the ranking of homes and not yet a home of the key.
    pub next_home: Option<usize>,
    /// Until when probes of its candidates may be answered; 0 before they are sent.
    pub probe_deadline: Micros,
    /// It is not considered before this time, unless a slot becomes free.
    pub wait_until: Micros,
}
