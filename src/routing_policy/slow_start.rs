//! What one dispatcher's module has sent to cold runners, for the process that takes over from it: both count
//! as one; and what it is told of its portions of their budgets. Nothing is decided here. Nothing else goes
//! along: a module that also took over loads, paces and shares did worse in a shortage than one that begins
//! anew (docs/operations.md).

use super::RoutingPolicy;
use crate::{Id, Micros};

/// Work sent to a runner, and when.
pub type SlowStartUsage = (Id, Vec<(Micros, f64)>);

/// The share of a cold runner's budget that is this dispatcher's own until then; afterwards it is an even one.
pub type SlowStartShare = (Id, f64, Micros);

impl RoutingPolicy {
    /// What counts, now or later, against the budgets of cold runners.
    pub fn slow_start_usage(&self, now: Micros) -> Vec<SlowStartUsage> {
        let counts = |at: Micros| at >= now - self.settings.overload_window;
        let cold = self.cold.iter().map(|r| &self.runners[*r]);
        let usage = cold.map(|runner| {
            let work = runner.sent_work.iter().copied().filter(|(at, _)| counts(*at));
            (runner.id.clone(), work.collect::<Vec<_>>())
        });
        usage.filter(|(_, work)| !work.is_empty()).collect()
    }

    pub(super) fn add_slow_start_usage(&mut self, usage: Vec<SlowStartUsage>) {
        for (id, work) in usage {
            if let Some(&r) = self.by_id.get(&id) {
                self.runners[r].sent_work.extend(work);
            }
        }
    }

    pub(super) fn set_slow_start_shares(&mut self, shares: Vec<SlowStartShare>) {
        for (id, share, until) in shares {
            if let Some(&r) = self.by_id.get(&id) {
                self.runners[r].slow_start_share = Some((share, until));
            }
        }
    }
}
