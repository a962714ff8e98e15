//! What is taken while the fleet is cold: by billed value, and no more than warmth allows once it is seen to be short.
//!
//! After a loss of power all runners are cold together and all clients are back at once. What is worth most for its work
//! goes first; the rest is told at once when to come back. It must never turn work away where nothing is short: a
//! site with room to spare is served whole, however cold it is.

use topazsail_store::Micros;

/// Without a sign of shortage the level rises by this share of all work in a second.
const LEVEL_RISE_PER_SECOND: f64 = 0.25;
/// From here on the fleet counts as warm.
pub const WARM_THRESHOLD: f64 = 0.95;
/// Arrivals count half after this.
const ARRIVALS_HALF_LIFE: f64 = 2e6;
/// Before so many have been seen all operations are taken to come equally often.
const MIN_ARRIVALS: f64 = 8.0;
/// How far one success moves the mean time of its operation.
const DURATION_SMOOTHING: f64 = 0.05;

/// The share of its full capacity that a runner has, by when it started, where that is known and not long ago.
pub fn warmth(
    launched: Option<Micros>,
    (cold_capacity_share, warm_up_span): (f64, Micros),
    now: Micros,
) -> f64 {
    match launched {
        Some(at) if now < at.saturating_add(warm_up_span) => {
            let age = now.saturating_sub(at).max(0) as f64 / warm_up_span.max(1) as f64;
            cold_capacity_share + (1.0 - cold_capacity_share) * age
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
    mean_duration: f64,
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
        let operation = |initial: OperationValue| Operation {
            value: initial.value,
            mean_duration: initial.latency_objective.max(1) as f64,
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
        (level + LEVEL_RISE_PER_SECOND * (now - at).max(0) as f64 / 1e6).min(1.0)
    }

    /// Something that was taken was throttled or turned away for want of room: from here on no more is taken than
    /// `warmth`, the share of its full capacity that the fleet has. Where there is no runner at all that says nothing of
    /// how much there will be room for.
    pub fn record_shortage(&mut self, warmth: f64, now: Micros) {
        if warmth > 0.0 {
            self.level = (self.level(now).min(warmth), now);
        }
    }

    /// One of an operation has succeeded, so long after it came.
    pub fn record_success(&mut self, index: usize, duration: Micros) {
        if let Some(operation) = self.operations.get_mut(index) {
            operation.mean_duration +=
                DURATION_SMOOTHING * (duration.max(1) as f64 - operation.mean_duration);
        }
    }

    /// Whether one that comes now is taken; `drawn` is from 0 to 1.
    pub fn admit(&mut self, index: usize, random: f64, now: Micros) -> bool {
        let decay = 0.5_f64.powf((now - self.decayed_at).max(0) as f64 / ARRIVALS_HALF_LIFE);
        self.decayed_at = self.decayed_at.max(now);
        self.operations.iter_mut().for_each(|operation| operation.arrivals *= decay);
        let Some(operation) = self.operations.get_mut(index) else { return true };
        operation.arrivals += 1.0;
        let level = self.level(now);
        level >= 1.0 || random < self.share(index, level)
    }

    /// The share of one operation that is taken at a level: all of what is worth more for its work comes first.
    fn share(&self, index: usize, level: f64) -> f64 {
        let arrivals: f64 = self.operations.iter().map(|operation| operation.arrivals).sum();
        let work = |operation: &Operation| {
            operation.mean_duration * if arrivals < MIN_ARRIVALS { 1.0 } else { operation.arrivals }
        };
        let total_work: f64 = self.operations.iter().map(work).sum();
        let ours = &self.operations[index];
        let comes_first = |operation: &&Operation| {
            operation.value / operation.mean_duration > ours.value / ours.mean_duration
        };
        let work_before: f64 = self.operations.iter().filter(comes_first).map(work).sum();
        ((level * total_work - work_before) / work(ours).max(f64::MIN_POSITIVE)).clamp(0.0, 1.0)
    }
}

#[cfg(test)]
mod tests;
