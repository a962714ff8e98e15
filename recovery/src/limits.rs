//! What is taken while the fleet is cold: by billed value, and no more than warmth allows once it is seen to be short.
//!
//! After a loss of power all runners are cold together and all clients are back at once. What is worth most for its work
//! goes first; the rest is told at once when to come back. It must never turn work away where nothing is short: a
//! site with room to spare is served whole, however cold it is.

use topazsail_store::Micros;

/// Without a sign of shortage the level rises by this share of all work in a second.
const RISE: f64 = 0.25;
/// From here on the fleet counts as warm.
pub const WARM: f64 = 0.95;
/// Arrivals count half after this.
const HALF: f64 = 2e6;
/// Before so many have been seen all operations are taken to come equally often.
const FEW: f64 = 8.0;
/// How far one success moves the mean time of its operation.
const NEWS: f64 = 0.05;

/// The share of its full capacity that a runner has, by when it started, where that is known and not long ago.
pub fn warmth(launched: Option<Micros>, (cold_from, warm_within): (f64, Micros), now: Micros) -> f64 {
    match launched {
        Some(at) if now < at.saturating_add(warm_within) => {
            let age = now.saturating_sub(at).max(0) as f64 / warm_within.max(1) as f64;
            cold_from + (1.0 - cold_from) * age
        }
        _ => 1.0,
    }
}

/// What settings say of one operation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OperationValue {
    pub value: f64,
    pub latency_objective: Micros,
}

struct Operation {
    value: f64,
    /// Mean time from arrival to success; the objective until one is seen.
    takes: f64,
    arrivals: f64,
}

/// One dispatcher's view; draws are handed in.
pub struct AdmissionLimits {
    operations: Vec<Operation>,
    /// Which share of the work is taken, as of when.
    level: (f64, Micros),
    decayed_at: Micros,
}

impl AdmissionLimits {
    pub fn new(operations: impl Iterator<Item = OperationValue>, now: Micros) -> AdmissionLimits {
        let operation = |worth: OperationValue| Operation {
            value: worth.value,
            takes: worth.latency_objective.max(1) as f64,
            arrivals: 0.0,
        };
        AdmissionLimits {
            operations: operations.map(operation).collect(),
            level: (1.0, now),
            decayed_at: now,
        }
    }

    /// The share of all work that is taken now.
    pub fn level(&self, now: Micros) -> f64 {
        let (level, at) = self.level;
        (level + RISE * (now - at).max(0) as f64 / 1e6).min(1.0)
    }

    /// Something that was taken was throttled or turned away for want of room: from here on no more is taken than
    /// `warmth`, the share of its full capacity that the fleet has. Where there is no runner at all that says nothing of
    /// how much there will be room for.
    pub fn short(&mut self, warmth: f64, now: Micros) {
        if warmth > 0.0 {
            self.level = (self.level(now).min(warmth), now);
        }
    }

    /// One of an operation has succeeded, so long after it came.
    pub fn succeeded(&mut self, operation: usize, took: Micros) {
        if let Some(known) = self.operations.get_mut(operation) {
            known.takes += NEWS * (took.max(1) as f64 - known.takes);
        }
    }

    /// Whether one that comes now is taken; `drawn` is from 0 to 1.
    pub fn takes(&mut self, operation: usize, drawn: f64, now: Micros) -> bool {
        let fade = 0.5_f64.powf((now - self.decayed_at).max(0) as f64 / HALF);
        self.decayed_at = self.decayed_at.max(now);
        self.operations.iter_mut().for_each(|known| known.arrivals *= fade);
        let Some(known) = self.operations.get_mut(operation) else { return true };
        known.arrivals += 1.0;
        let level = self.level(now);
        level >= 1.0 || drawn < self.share(operation, level)
    }

    /// The share of one operation that is taken at a level: all of what is worth more for its work comes first.
    fn share(&self, operation: usize, level: f64) -> f64 {
        let seen: f64 = self.operations.iter().map(|known| known.arrivals).sum();
        let work = |known: &Operation| known.takes * if seen < FEW { 1.0 } else { known.arrivals };
        let all: f64 = self.operations.iter().map(work).sum();
        let ours = &self.operations[operation];
        let first = |known: &&Operation| known.value / known.takes > ours.value / ours.takes;
        let before: f64 = self.operations.iter().filter(first).map(work).sum();
        ((level * all - before) / work(ours).max(f64::MIN_POSITIVE)).clamp(0.0, 1.0)
    }
}

#[cfg(test)]
mod tests;
