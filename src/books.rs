//! What a dispatcher keeps on runners, invocations and keys. Plain entries: the brain decides.

use std::collections::VecDeque;

use crate::{Id, Micros};

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
pub fn remains(age: Micros, half_life: f64) -> f64 {
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
    /// The draw that is no home of its key yet.
    pub spare: Option<usize>,
    pub heard_by: Micros,
    pub rests_until: Micros,
}
