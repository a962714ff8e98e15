//! What a dispatcher keeps on runners, invocations and keys. Plain entries: the brain decides.

use std::collections::{HashMap, VecDeque};

use crate::{Id, Micros, RetryBudget};

/// An average that is believed less as time passes with nothing new.
#[derive(Clone, Default)]
pub struct DecayingAverage {
    pub value: f64,
    pub updated_at: Option<Micros>,
}

impl DecayingAverage {
    pub fn record(&mut self, value: f64, weight: f64, now: Micros) {
        let weight = if self.updated_at.is_some() { weight } else { 1.0 };
        self.value += weight * (value - self.value);
        self.updated_at = Some(now);
    }

    pub fn value_at(&self, now: Micros, decay_time: f64) -> f64 {
        self.updated_at.map_or(0.0, |at| self.value * (-((now - at) as f64) / decay_time).exp())
    }
}

/// What remains of a sum that counts half after each half-life.
fn remaining_share(age: Micros, half_life: f64) -> f64 {
    0.5f64.powf(age as f64 / half_life)
}

#[derive(Default)]
pub struct RunnerState {
    pub id: Id,
    pub hash: u64,
    pub listed: bool,
    pub machine_type: Id,
    pub zone: Id,
    pub in_own_zone: bool,
    pub cell: i64,
    /// Its size against others', at rest where the roster's sizes move with load; as last listed.
    pub size: f64,
    pub listed_size: f64,
    pub launched: Option<Micros>,
    pub in_flight: u32,
    pub in_flight_high: u32,
    /// Connections that are up, as far as is known here, and when one was last used.
    pub connections: u32,
    pub last_used_at: Micros,
    pub probe_pending: bool,
    /// Others' jobs by the latest report: what it says less own forwards out at that time.
    pub other_jobs: f64,
    /// The same, averaged over reports: what remains to go by when the latest is old or comes late.
    pub usual_other_jobs: f64,
    pub reported_at: Option<Micros>,
    pub slots: Option<f64>,
    /// It has turned work away as full, and no slot can have come free since.
    pub full_until: Micros,
    pub successes: f64,
    pub failures: f64,
    pub health_updated_at: Micros,
    pub ejected_until: Micros,
    pub ejection_count: u32,
    /// Back from the bench, one forward at a time until it succeeds.
    pub on_trial: bool,
    /// Since when it has shown no sign of life while it held a forward of ours.
    pub silent_since: Micros,
    /// Work sent of late, and when.
    pub sent_work: VecDeque<(Micros, f64)>,
    /// The share of its cold budget that was told to be this dispatcher's own, and until when.
    pub slow_start_share: Option<(f64, Micros)>,
}

impl RunnerState {
    /// Whether a forward sent now has to wait for a new connection, which it then has. What has been idle for
    /// too long has been closed.
    pub fn reserve_connection(&mut self, now: Micros, idle_timeout: Micros) -> bool {
        if now - self.last_used_at >= idle_timeout {
            self.connections = self.in_flight;
        }
        self.last_used_at = now;
        let must_dial = self.connections <= self.in_flight;
        self.connections = self.connections.max(self.in_flight + 1);
        must_dial
    }

    /// Takes what it is said to hold, by word that need not count forwards younger than so much. Gives the own
    /// forwards that this must count.
    pub fn record_load(&mut self, held: f64, now: Micros, report_lag: Micros) -> f64 {
        let just_sent = self.sent_work.iter().filter(|(at, _)| *at > now - report_lag).count();
        let settled = (f64::from(self.in_flight) - just_sent as f64).max(0.0);
        self.other_jobs = held - settled;
        let weight = if self.reported_at.is_some() { 0.2 } else { 1.0 };
        self.usual_other_jobs += weight * (self.other_jobs - self.usual_other_jobs);
        self.reported_at = Some(now);
        settled
    }

    /// Work sent from then on.
    pub fn work_sent_since(&self, from: Micros) -> f64 {
        self.sent_work.iter().filter(|(at, _)| *at >= from).map(|(_, work)| work).sum()
    }

    /// The share of a cold budget that dispatchers agree on; an even one once that is over.
    pub fn budget_share(&self, now: Micros, dispatchers: u32) -> f64 {
        let even_share = 1.0 / f64::from(dispatchers.max(1));
        self.slow_start_share.map_or(0.0, |(share, until)| if now < until { share } else { even_share })
    }

    /// The share of failures. Two successes are granted in advance: one failure alone condemns nobody.
    pub fn failure_share(&self) -> f64 {
        self.failures / (self.successes + self.failures + 2.0)
    }

    /// Its failures and successes count half after each half-life.
    pub fn decay_health(&mut self, now: Micros, half_life: f64) {
        let remaining = remaining_share(now - self.health_updated_at, half_life);
        self.health_updated_at = now;
        self.successes *= remaining;
        self.failures *= remaining;
    }
}

/// What counts against a budget of further forwards: when invocations were taken, and when forwards beyond
/// their first were made.
#[derive(Default)]
pub struct RetryBudgetWindow {
    arrivals: VecDeque<Micros>,
    retries: VecDeque<Micros>,
}

impl RetryBudgetWindow {
    pub fn record_arrival(&mut self, budget: &RetryBudget, now: Micros) {
        self.drop_expired(budget, now);
        self.arrivals.push_back(now);
    }

    pub fn record_retry(&mut self, budget: &RetryBudget, now: Micros) {
        self.drop_expired(budget, now);
        self.retries.push_back(now);
    }

    fn drop_expired(&mut self, budget: &RetryBudget, now: Micros) {
        let from = now - budget.window;
        self.arrivals.drain(..self.arrivals.partition_point(|at| *at <= from));
        self.retries.drain(..self.retries.partition_point(|at| *at < from));
    }

    /// Further forwards in the window that ends now, and what it allows. A forward on its edge still counts, an
    /// invocation there does no more: whoever judges may count either way.
    pub fn usage(&self, budget: &RetryBudget, now: Micros) -> (f64, f64) {
        let from = now - budget.window;
        let arrivals = self.arrivals.len() - self.arrivals.partition_point(|at| *at <= from);
        let retries = self.retries.len() - self.retries.partition_point(|at| *at < from);
        (retries as f64, budget.floor + budget.share * arrivals as f64)
    }

    /// When the oldest forward in the window counts no more.
    pub fn next_release(&self, budget: &RetryBudget, now: Micros) -> Option<Micros> {
        let from = now - budget.window;
        self.retries.get(self.retries.partition_point(|at| *at < from)).map(|at| at + budget.window + 1)
    }
}

/// A key's uses count half after this.
const KEY_USE_HALF_LIFE: f64 = 3e7;
const MAX_KEYS: usize = 10_000;

#[derive(Default)]
pub struct KeyUsage {
    pub by_hash: HashMap<u64, KeyState>,
    /// Uses of all keys, as they count now.
    pub total_uses: f64,
    last_used_at: Micros,
}

impl KeyUsage {
    pub fn record(&mut self, key: u64, now: Micros) {
        let decay = |since: Micros| remaining_share(now - since, KEY_USE_HALF_LIFE);
        let key_state = self.by_hash.entry(key).or_default();
        key_state.uses = key_state.uses * decay(key_state.last_used_at) + 1.0;
        key_state.last_used_at = now;
        self.total_uses = self.total_uses * decay(self.last_used_at) + 1.0;
        self.last_used_at = now;
        if self.by_hash.len() > MAX_KEYS {
            self.by_hash.retain(|_, key| ((now - key.last_used_at) as f64) < KEY_USE_HALF_LIFE);
        }
    }
}

/// How often a key has been asked for, when last, and its first homes as of some roster with newcomers.
#[derive(Default)]
pub struct KeyState {
    pub uses: f64,
    pub last_used_at: Micros,
    pub homes: Vec<usize>,
    pub ranking_generation: u64,
}

#[derive(Default)]
pub struct ForwardState {
    pub runner_index: usize,
    pub number: u32,
    /// Whether its operation was high when it was sent.
    pub is_high_priority: bool,
    pub cancelled: bool,
    /// It had to wait for a new connection.
    pub dialled: bool,
    pub response_started: bool,
    pub started: bool,
    pub sent_at: Micros,
    pub last_activity: Micros,
}

/// The first forward that may have run binds what may follow.
pub struct RetryConstraint {
    pub zone: Id,
    pub cell: i64,
    pub since: Micros,
}

/// Where draws are made, the cheapest first; the next is drawn from only where the draws so far have no room.
#[derive(Clone, Copy, PartialEq)]
pub enum CandidatePool {
    /// The homes of the invocation's key.
    Homes,
    /// Runners with a connection, in this zone and in all: a new connection may cost more than a wait.
    ConnectedOwnZone,
    Connected,
    OwnZone,
    All,
    /// Cold runners: among many warm ones their budget would seldom be drawn.
    Cold,
}

pub enum Timer {
    Revisit(Id),
    Subscribe,
}

/// Order in the queue: what is at stake, then who can wait least.
pub type QueuePosition = (u8, Micros, u64);

#[derive(Default)]
pub struct InvocationState {
    pub operation: usize,
    pub deadline: Micros,
    /// Until when a start is still in time.
    pub start_deadline: Micros,
    pub give_up_at: Micros,
    pub slots: f64,
    /// Its work as the client tells it; 0 where it does not.
    pub work_hint: f64,
    pub key: Option<u64>,
    pub forwards: u32,
    pub current_forward: Option<ForwardState>,
    pub retry_constraint: Option<RetryConstraint>,
    /// The runner that it was last taken from, as it had not begun there.
    pub moved_from: Option<usize>,
    pub answered: bool,
    pub queue_position: Option<QueuePosition>,
    pub timer: Option<(Micros, u64)>,
    /// Draws made so far, and from how many pools.
    pub candidates: Vec<usize>,
    pub pools_sampled: usize,
    /// Which order of pools these are taken from.
    pub pool_order: usize,
    /// The draw that is no home of its key yet.
    pub next_home: Option<usize>,
    pub probe_deadline: Micros,
    pub wait_until: Micros,
}
