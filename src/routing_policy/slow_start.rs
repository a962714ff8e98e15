//! Slow-start state that is exchanged with other processes: the work sent to cold runners, which the next
//! process of this dispatcher takes over so that both count as one, and this dispatcher's shares of cold
//! runners' budgets. No decisions are made here.
//!
//! Nothing else is handed over: a policy that also took over loads, forward times and free-slot shares did
//! worse in a shortage than one that starts afresh (docs/operations.md).

use super::RoutingPolicy;
use crate::{Id, Micros};

/// Runner, and the work sent to it: when each forward was sent and its estimated work in slot-microseconds.
pub type SlowStartUsage = (Id, Vec<(Micros, f64)>);

/// Runner, this dispatcher's share of its slow-start budget, and until when that holds; afterwards the share
/// is an even one.
pub type SlowStartShare = (Id, f64, Micros);

impl RoutingPolicy {
    /// The work sent to cold runners within the overload window, which counts against their budgets.
    pub fn slow_start_usage(&self, now: Micros) -> Vec<SlowStartUsage> {
        let is_in_window = |at: Micros| at >= now - self.settings.overload_window;
        let cold = self.cold.iter().map(|r| &self.runners[*r]);
        let usage = cold.map(|runner| {
            let work = runner.sent_work.iter().copied().filter(|(at, _)| is_in_window(*at));
            (runner.id.clone(), work.collect::<Vec<_>>())
        });
        usage.filter(|(_, work)| !work.is_empty()).collect()
    }

    /// Adds work that another process of this dispatcher has sent.
    pub(super) fn add_slow_start_usage(&mut self, usage: Vec<SlowStartUsage>) {
        for (id, work) in usage {
            if let Some(&r) = self.by_id.get(&id) {
                self.runners[r].sent_work.extend(work);
            }
        }
    }

    /// Sets the agreed shares of runners' slow-start budgets.
    pub(super) fn set_slow_start_shares(&mut self, shares: Vec<SlowStartShare>) {
        for (id, share, until) in shares {
            if let Some(&r) = self.by_id.get(&id) {
                self.runners[r].slow_start_share = Some((share, until));
            }
        }
    }
}
