//! What the runners' warmth alone allows: the baseline "ramp" for what follows a loss of power.
//!
//! A fleet without dispatchers' faults, that knows everything at once and whose work can be split at will: each
//! second it does as much work as its runners' capacity, as it is at each moment, allows, an even share of
//! all that is asked. What it leaves undone in a second is lost, so that it has no queue to catch up with. It is
//! no bound, as a fleet may prefer what is worth most for its length; `best` is the same with that preference.

use crate::load::ArrivalGenerator;
use crate::runner::ProcessState;
use crate::scenario::Scenario;
use crate::tally::{Window, round};
use crate::world::World;

/// Capacity is looked at so often.
const STEP: i64 = 10_000;
const SECOND: i64 = 1_000_000;

/// For each second of a run the share of what is asked that capacity allows: of work, and of billed value where
/// what is worth most for its work comes first. And the work that the rule on cold runners lets them be sent.
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
    let mut asked: Vec<Vec<(f64, f64)>> = vec![Vec::new(); seconds];
    for ask in ArrivalGenerator::new(scenario, world.capacity(), seed) {
        let value = scenario.operation[ask.operation].billed_value;
        asked[((ask.at / SECOND) as usize).min(seconds - 1)].push((value, ask.work));
    }
    let even = |asked: &[(f64, f64)], capacity: f64| {
        let work: f64 = asked.iter().map(|(_, work)| work).sum();
        if work > capacity { round(capacity / work) } else { 1.0 }
    };
    let by_second = asked
        .into_iter()
        .zip(capacities)
        .map(|(asked, capacity)| (even(&asked, capacity), best(asked, capacity)));
    (by_second.collect(), budget * scenario.limits.overload_factor)
}

/// The share of the value that fits, by value for work.
fn best(mut asked: Vec<(f64, f64)>, mut capacity: f64) -> f64 {
    let all: f64 = asked.iter().map(|(value, _)| value).sum();
    asked.sort_by(|a, b| (b.0 / b.1).total_cmp(&(a.0 / a.1)));
    let mut achieved = 0.0;
    for (value, work) in asked {
        let fits = (capacity / work).clamp(0.0, 1.0);
        achieved += value * fits;
        capacity -= work * fits;
    }
    if all > 0.0 { round(achieved / all) } else { 1.0 }
}

/// Seconds over which runners are short: from the first in which the ramp falls below what it is worth measuring,
/// until it is whole again; how much was had in them, and how much the ramp had.
#[derive(Clone, Debug, PartialEq)]
pub struct RampComparison {
    pub from: f64,
    pub until: f64,
    pub achieved: f64,
    pub ramp: f64,
    /// The ramp where what is worth most comes first.
    pub best: f64,
    /// From `from` until a second had 0.95 of its ramp, and every later one within the stretch as well.
    pub caught_up: Option<f64>,
}

const FULL_RAMP: f64 = 0.995;
const CAUGHT_UP: f64 = 0.95;

/// The longest stretch after an outage in which warmth binds; none where it never does. Seconds without power are
/// no part of it.
pub fn compare_with_ramp(windows: &[Window]) -> Option<RampComparison> {
    let short = |window: &&Window| window.ramp > 0.0 && window.ramp < FULL_RAMP;
    let first = windows.iter().position(|window| short(&window))?;
    let last = windows.iter().rposition(|window| short(&window))?;
    let seconds: Vec<&Window> = windows[first..=last].iter().filter(|window| window.ramp > 0.0).collect();
    let behind = seconds.iter().rposition(|window| window.goodput < CAUGHT_UP * window.ramp);
    let caught_up = match behind {
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
