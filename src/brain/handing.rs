//! What one dispatcher's module has sent to cold runners, for the process that takes over from it: both count
//! as one. Nothing is decided here. Nothing else goes along: a module that also took over loads, paces and
//! shares did worse in a shortage than one that begins anew (docs/operations.md).

use super::Brain;
use crate::{Id, Micros};

/// Work sent to a runner, and when.
pub type Spent = (Id, Vec<(Micros, f64)>);

impl Brain {
    /// What counts, now or later, against the budgets of cold runners.
    pub fn spent(&self, now: Micros) -> Vec<Spent> {
        let counts = |at: Micros| at >= now - self.orders.tip_after;
        let cold = self.cold.iter().map(|r| &self.runners[*r]);
        let spent = cold.map(|runner| {
            let work = runner.spent.iter().copied().filter(|(at, _)| counts(*at));
            (runner.id.clone(), work.collect::<Vec<_>>())
        });
        spent.filter(|(_, work)| !work.is_empty()).collect()
    }

    pub(super) fn inherit(&mut self, spent: Vec<Spent>) {
        for (id, work) in spent {
            if let Some(&r) = self.by_id.get(&id) {
                self.runners[r].spent.extend(work);
            }
        }
    }
}
