//! What the runners' warmth alone allows: the baseline "ramp" for the time after a power loss.
//!
//! It models a fleet without faulty dispatchers that knows everything at once and whose work can be split at
//! will: each second it does as much work as its runners' present capacity allows, an even share of
//! everything requested. Work not done within a second is lost, so there is no queue to catch up with. It is
//! not an upper bound, as a fleet may prefer the work with the most value for its length; `best` is the ramp
//! with that preference.

use crate::load::ArrivalGenerator;
use crate::runner::ProcessState;
use crate::scenario::Scenario;
use crate::tally::{Window, round};
use crate::world::World;

/// Sampling interval of the capacity, in microseconds.
const STEP: i64 = 10_000;
/// A second, in microseconds.
const SECOND: i64 = 1_000_000;

/// For each second of a run, the share of the requests that capacity allows: by work, and by billed value if
/// the work with the most value for its length comes first. Also the work that the rule on cold runners lets
/// them be sent in all.
pub fn ramp(scenario: &Scenario, seed: u64) -> (Vec<(f64, f64)>, f64) {
    let mut world = World::new(scenario, seed);
    let seconds = ((scenario.length.0 + SECOND - 1) / SECOND) as usize;
    let mut capacities = vec![0.0; seconds];
    let mut budget = 0.0;
    let schedule = std::mem::take(&mut world.schedule);
    let mut schedule = schedule.into_iter().peekable();
    for at in (0..scenario.length.0).step_by(STEP as usize) {
        while let Some((_, change)) = schedule.next_if(|(due, _)| *due <= at) {
            world.apply(at, &change);
        }
        let working =
            world.runners.iter().filter(|r| r.state == ProcessState::Up && !r.frozen && !r.draining);
        let cold = working.clone().filter(|runner| runner.warmth(at) < 1.0);
        budget += cold.map(|runner| runner.capacity(at)).sum::<f64>() * STEP as f64;
        let capacity: f64 = working.map(|runner| runner.capacity(at)).sum();
        capacities[(at / SECOND) as usize] += capacity * STEP as f64;
    }
    let mut requested: Vec<Vec<(f64, f64)>> = vec![Vec::new(); seconds];
    for request in ArrivalGenerator::new(scenario, world.capacity(), seed) {
        let value = scenario.operation[request.operation].billed_value;
        requested[((request.at / SECOND) as usize).min(seconds - 1)].push((value, request.work));
    }
    let even = |requested: &[(f64, f64)], capacity: f64| {
        let work: f64 = requested.iter().map(|(_, work)| work).sum();
        if work > capacity { round(capacity / work) } else { 1.0 }
    };
    let by_second = requested
        .into_iter()
        .zip(capacities)
        .map(|(requested, capacity)| (even(&requested, capacity), best(requested, capacity)));
    (by_second.collect(), budget * scenario.limits.overload_factor)
}

/// The share of the value that fits if requests are served in order of value per work.
fn best(mut requested: Vec<(f64, f64)>, mut capacity: f64) -> f64 {
    let all: f64 = requested.iter().map(|(value, _)| value).sum();
    requested.sort_by(|a, b| (b.0 / b.1).total_cmp(&(a.0 / a.1)));
    let mut achieved = 0.0;
    for (value, work) in requested {
        let fits = (capacity / work).clamp(0.0, 1.0);
        achieved += value * fits;
        capacity -= work * fits;
    }
    if all > 0.0 { round(achieved / all) } else { 1.0 }
}

/// Comparison with the ramp over the seconds in which runners are short of capacity: from the first in which
/// the ramp falls below `FULL_RAMP` until it is full again.
#[derive(Clone, Debug, PartialEq)]
pub struct RampComparison {
    /// Start of the comparison, in seconds from the start of the run.
    pub from: f64,
    /// End of the comparison, in seconds from the start of the run.
    pub until: f64,
    /// Goodput of the run, summed over the seconds.
    pub achieved: f64,
    /// Goodput of the ramp, summed over the seconds.
    pub ramp: f64,
    /// Goodput of the ramp if the work with the most value for its length comes first, summed over the
    /// seconds.
    pub best: f64,
    /// Seconds from `from` until a second reached 0.95 of its ramp, as did every later one of the comparison;
    /// none if that never happens.
    pub caught_up: Option<f64>,
}

/// From this goodput on the ramp counts as full; smaller gaps are not worth measuring.
const FULL_RAMP: f64 = 0.995;
/// Share of the ramp at which a second counts as caught up.
const CAUGHT_UP: f64 = 0.95;

/// Compares over the longest span after an outage in which warmth limits goodput; none if it never does.
/// Seconds without power are left out.
pub fn compare_with_ramp(windows: &[Window]) -> Option<RampComparison> {
    let short = |window: &&Window| window.ramp > 0.0 && window.ramp < FULL_RAMP;
    let first = windows.iter().position(|window| short(&window))?;
    let last = windows.iter().rposition(|window| short(&window))?;
    let seconds: Vec<&Window> = windows[first..=last].iter().filter(|window| window.ramp > 0.0).collect();
    let last_behind = seconds.iter().rposition(|window| window.goodput < CAUGHT_UP * window.ramp);
    let caught_up = match last_behind {
        None => Some(0.0),
        Some(nth) => seconds.get(nth + 1).map(|window| round(window.at - windows[first].at)),
    };
    Some(RampComparison {
        from: windows[first].at,
        until: windows[last].at + 1.0,
        achieved: round(seconds.iter().map(|window| window.goodput).sum()),
        ramp: round(seconds.iter().map(|window| window.ramp).sum()),
        best: round(seconds.iter().map(|window| window.best).sum()),
        caught_up,
    })
}

#[cfg(test)]
mod tests;
