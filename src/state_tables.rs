//! What a dispatcher keeps on runners, invocations and keys. Plain entries: the brain decides.

use std::collections::{HashMap, VecDeque};

use crate::{Id, Micros, RetryBudget};

/// An average that is believed less as time passes with nothing new.
#[derive(Clone, Default)]
pub struct Recent {
    pub value: f64,
    pub noted_at: Option<Micros>,
}

impl Recent {
    pub fn note(&mut self, value: f64, weight: f64, now: Micros) {
        let weight = if self.noted_at.is_some() { weight } else { 1.0 };
        self.value += weight * (value - self.value);
        self.noted_at = Some(now);
    }

    pub fn at(&self, now: Micros, fades: f64) -> f64 {
        self.noted_at.map_or(0.0, |at| self.value * (-((now - at) as f64) / fades).exp())
    }
}

/// What remains of a sum that counts half after each half-life.
fn remains(age: Micros, half_life: f64) -> f64 {
    0.5f64.powf(age as f64 / half_life)
}

#[derive(Default)]
pub struct Runner {
    pub id: Id,
    pub hash: u64,
    pub listed: bool,
    pub kind: Id,
    pub zone: Id,
    pub near: bool,
    pub cell: i64,
    /// Its size against others', at rest where the roster's sizes move with load; as last listed.
    pub size: f64,
    pub size_listed: f64,
    pub launched: Option<Micros>,
    pub out: u32,
    pub out_high: u32,
    /// Connections that are up, as far as is known here, and when one was last used.
    pub links: u32,
    pub used_at: Micros,
    pub probing: bool,
    /// Others' jobs by the latest report: what it says less own forwards out at that time.
    pub others: f64,
    /// The same, averaged over reports: what remains to go by when the latest is old or comes late.
    pub others_usual: f64,
    pub reported_at: Option<Micros>,
    pub slots: Option<f64>,
    /// It has turned work away as full, and no slot can have come free since.
    pub full_until: Micros,
    pub good: f64,
    pub bad: f64,
    pub judged_at: Micros,
    pub bench_until: Micros,
    pub bench_count: u32,
    /// Back from the bench, one forward at a time until it succeeds.
    pub on_trial: bool,
    /// Since when it has shown no sign of life while it held a forward of ours.
    pub silent_since: Micros,
    /// Work sent of late, and when.
    pub spent: VecDeque<(Micros, f64)>,
    /// The share of its cold budget that was told to be this dispatcher's own, and until when.
    pub portion: Option<(f64, Micros)>,
}

impl Runner {
    /// Whether a forward sent now has to wait for a new connection, which it then has. What has been idle for
    /// too long has been closed.
    pub fn dials(&mut self, now: Micros, idle_close: Micros) -> bool {
        if now - self.used_at >= idle_close {
            self.links = self.out;
        }
        self.used_at = now;
        let dials = self.links <= self.out;
        self.links = self.links.max(self.out + 1);
        dials
    }

    /// Takes what it is said to hold, by word that need not count forwards younger than so much. Gives the own
    /// forwards that this must count.
    pub fn holds(&mut self, held: f64, now: Micros, unseen: Micros) -> f64 {
        let just_sent = self.spent.iter().filter(|(at, _)| *at > now - unseen).count();
        let settled = (f64::from(self.out) - just_sent as f64).max(0.0);
        self.others = held - settled;
        let weight = if self.reported_at.is_some() { 0.2 } else { 1.0 };
        self.others_usual += weight * (self.others - self.others_usual);
        self.reported_at = Some(now);
        settled
    }

    /// Work sent from then on.
    pub fn spent_since(&self, from: Micros) -> f64 {
        self.spent.iter().filter(|(at, _)| *at >= from).map(|(_, work)| work).sum()
    }

    /// The share of a cold budget that dispatchers agree on; an even one once that is over.
    pub fn portion(&self, now: Micros, dispatchers: u32) -> f64 {
        let even = 1.0 / f64::from(dispatchers.max(1));
        self.portion.map_or(0.0, |(share, until)| if now < until { share } else { even })
    }

    /// The share of failures. Two successes are granted in advance: one failure alone condemns nobody.
    pub fn failing(&self) -> f64 {
        self.bad / (self.good + self.bad + 2.0)
    }

    /// Its failures and successes count half after each half-life.
    pub fn fade(&mut self, now: Micros, half_life: f64) {
        let faded = remains(now - self.judged_at, half_life);
        self.judged_at = now;
        self.good *= faded;
        self.bad *= faded;
    }
}

/// What counts against a budget of further forwards: when invocations were taken, and when forwards beyond
/// their first were made.
#[derive(Default)]
pub struct Rations {
    taken: VecDeque<Micros>,
    further: VecDeque<Micros>,
}

impl Rations {
    pub fn take(&mut self, budget: &RetryBudget, now: Micros) {
        self.tidy(budget, now);
        self.taken.push_back(now);
    }

    pub fn spend(&mut self, budget: &RetryBudget, now: Micros) {
        self.tidy(budget, now);
        self.further.push_back(now);
    }

    fn tidy(&mut self, budget: &RetryBudget, now: Micros) {
        let from = now - budget.window;
        self.taken.drain(..self.taken.partition_point(|at| *at <= from));
        self.further.drain(..self.further.partition_point(|at| *at < from));
    }

    /// Further forwards in the window that ends now, and what it allows. A forward on its edge still counts, an
    /// invocation there does no more: whoever judges may count either way.
    pub fn spent(&self, budget: &RetryBudget, now: Micros) -> (f64, f64) {
        let from = now - budget.window;
        let taken = self.taken.len() - self.taken.partition_point(|at| *at <= from);
        let further = self.further.len() - self.further.partition_point(|at| *at < from);
        (further as f64, budget.floor + budget.share * taken as f64)
    }

    /// When the oldest forward in the window counts no more.
    pub fn eases(&self, budget: &RetryBudget, now: Micros) -> Option<Micros> {
        let from = now - budget.window;
        self.further.get(self.further.partition_point(|at| *at < from)).map(|at| at + budget.window + 1)
    }
}

/// A key's uses count half after this.
const USES_MEMORY: f64 = 3e7;
const KEYS_KEPT: usize = 10_000;

#[derive(Default)]
pub struct Keys {
    pub by_hash: HashMap<u64, Key>,
    /// Uses of all keys, as they count now.
    pub uses: f64,
    used_at: Micros,
}

impl Keys {
    pub fn note(&mut self, key: u64, now: Micros) {
        let fades = |since: Micros| remains(now - since, USES_MEMORY);
        let known = self.by_hash.entry(key).or_default();
        known.count = known.count * fades(known.at) + 1.0;
        known.at = now;
        self.uses = self.uses * fades(self.used_at) + 1.0;
        self.used_at = now;
        if self.by_hash.len() > KEYS_KEPT {
            self.by_hash.retain(|_, key| ((now - key.at) as f64) < USES_MEMORY);
        }
    }
}

/// How often a key has been asked for, when last, and its first homes as of some roster with newcomers.
#[derive(Default)]
pub struct Key {
    pub count: f64,
    pub at: Micros,
    pub homes: Vec<usize>,
    pub newcomers: u64,
}

#[derive(Default)]
pub struct Forward {
    pub tgt: usize,
    pub number: u32,
    /// Whether its operation was high when it was sent.
    pub high: bool,
    pub cancelled: bool,
    /// It had to wait for a new connection.
    pub dialled: bool,
    pub flowing: bool,
    pub started: bool,
    pub sent: Micros,
    pub sign: Micros,
}

/// The first forward that may have run binds what may follow.
pub struct Bond {
    pub zone: Id,
    pub cell: i64,
    pub since: Micros,
}

/// Where draws are made, the cheapest first; the next is drawn from only where the draws so far have no room.
#[derive(Clone, Copy, PartialEq)]
pub enum Pool {
    /// The homes of the invocation's key.
    Homes,
    /// Runners with a connection, in this zone and in all: a new connection may cost more than a wait.
    LinkedNear,
    Linked,
    Near,
    All,
    /// Cold runners: among many warm ones their budget would seldom be drawn.
    Cold,
}

pub enum Due {
    Look(Id),
    Ask,
}

/// Order in the queue: what is at stake, then who can wait least.
pub type Place = (u8, Micros, u64);

#[derive(Default)]
pub struct Inv {
    pub operation: usize,
    pub deadline: Micros,
    /// Until when a start is still in time.
    pub in_time: Micros,
    pub patience: Micros,
    pub slots: f64,
    /// Its work as the client tells it; 0 where it does not.
    pub hint: f64,
    pub key: Option<u64>,
    pub forwards: u32,
    pub out: Option<Forward>,
    pub bond: Option<Bond>,
    /// The runner that it was last taken from, as it had not begun there.
    pub left: Option<usize>,
    pub answered: bool,
    pub place: Option<Place>,
    pub due: Option<(Micros, u64)>,
    /// Draws made so far, and from how many pools.
    pub drawn: Vec<usize>,
    pub pools: usize,
    /// Which order of pools these are taken from.
    pub order: usize,
    /// The draw that is no home of its key yet.
    pub spare: Option<usize>,
    pub heard_by: Micros,
    pub rests_until: Micros,
}
