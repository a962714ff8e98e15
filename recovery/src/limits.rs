//! Admission control while the fleet is cold: by billed value, limited to the available capacity share once a
//! shortage is seen.
//!
//! After a power loss all runners are cold and all clients come back at the same time. The operations with
//! the highest value for their work are admitted first, the others are rejected immediately with retry
//! advice. Nothing is rejected before a shortage is seen: a site with spare capacity is served in full,
//! however cold it is.

use topazsail_store::Micros;

/// Rise of the admission level per second without a further shortage, as a share of all work.
const LEVEL_RISE_PER_SECOND: f64 = 0.25;
/// The fleet counts as warm from this share of its full capacity on.
pub const WARM_THRESHOLD: f64 = 0.95;
/// Half-life of the arrival counts, in microseconds.
const ARRIVALS_HALF_LIFE: f64 = 2e6;
/// Until this many (decayed) arrivals have been seen, all operations are assumed to be equally frequent.
const MIN_ARRIVALS: f64 = 8.0;
/// Weight of one success in the moving average of its operation's duration.
const DURATION_SMOOTHING: f64 = 0.05;

/// A runner's current share of its full capacity: it rises linearly from `cold_capacity_share` to 1 during
/// `warm_up_span` after the start. It is 1 if the start time is unknown.
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

/// What the settings say about one operation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OperationValue {
    /// Billed value of one invocation.
    pub value: f64,
    /// Target latency in microseconds, the first estimate of the duration.
    pub latency_objective: Micros,
}

/// An operation's value, and estimates of the duration and frequency of its invocations.
struct Operation {
    /// Billed value of one invocation.
    value: f64,
    /// Moving average of the time from arrival to success, in microseconds; the latency objective until one
    /// is seen.
    mean_duration: f64,
    /// Arrivals, with a half-life of [`ARRIVALS_HALF_LIFE`].
    arrivals: f64,
}

/// The admission control of one dispatcher. Random numbers are passed in by the caller.
pub struct AdmissionLimits {
    operations: Vec<Operation>,
    /// The admitted share of all work, and the time at which it was set.
    level: (f64, Micros),
    /// When the arrival counts were last decayed.
    decayed_at: Micros,
}

impl AdmissionLimits {
    /// Admits everything until the first shortage.
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

    /// The share of all work that is admitted at `now`.
    pub fn level(&self, now: Micros) -> f64 {
        let (level, at) = self.level;
        (level + LEVEL_RISE_PER_SECOND * (now - at).max(0) as f64 / 1e6).min(1.0)
    }

    /// An admitted invocation was throttled, or rejected because no runner had room: the admitted share of
    /// all work falls to `warmth`, the fleet's current share of its full capacity, unless it is lower
    /// already. Ignored if `warmth` is 0: without any runner nothing is known about the capacity to come.
    pub fn record_shortage(&mut self, warmth: f64, now: Micros) {
        if warmth > 0.0 {
            self.level = (self.level(now).min(warmth), now);
        }
    }

    /// An invocation of the operation with this index has succeeded, `duration` microseconds after its
    /// arrival.
    pub fn record_success(&mut self, index: usize, duration: Micros) {
        if let Some(operation) = self.operations.get_mut(index) {
            operation.mean_duration +=
                DURATION_SMOOTHING * (duration.max(1) as f64 - operation.mean_duration);
        }
    }

    /// Counts an invocation that arrives now and returns whether it is admitted; `random` is uniform in 0..1.
    pub fn admit(&mut self, index: usize, random: f64, now: Micros) -> bool {
        let decay = 0.5_f64.powf((now - self.decayed_at).max(0) as f64 / ARRIVALS_HALF_LIFE);
        self.decayed_at = self.decayed_at.max(now);
        self.operations.iter_mut().for_each(|operation| operation.arrivals *= decay);
        let Some(operation) = self.operations.get_mut(index) else { return true };
        operation.arrivals += 1.0;
        let level = self.level(now);
        level >= 1.0 || random < self.share(index, level)
    }

    /// The share of one operation's invocations that is admitted at a level: operations with a higher value
    /// for their work come first.
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
