//! What one dispatcher's module has learnt, for the process that takes over from it.
//!
//! Plain copies of what stands in the books; nothing is decided here. Times are the clock's, which both
//! processes share.

use serde::{Deserialize, Serialize};

use super::Brain;
use crate::books::{Keys, Recent};
use crate::{Micros, Sizes};

#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Learnt {
    /// In the order of the operations' numbers.
    pub operations: Vec<LearntOperation>,
    runners: Vec<LearntRunner>,
    others_mean: Recent,
    wait_mean: Recent,
    dial_excess: Recent,
    free_share: Recent,
    doubt: f64,
    least_slots: f64,
    keys: Keys,
}

#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct LearntOperation {
    pace: Recent,
    fullest: Micros,
}

#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct LearntRunner {
    id: String,
    launched: Option<Micros>,
    size: f64,
    slots: Option<f64>,
    /// Those of the process that hands over among them: to its successor they are others'.
    others: f64,
    others_usual: f64,
    reported_at: Option<Micros>,
    full_until: Micros,
    good: f64,
    bad: f64,
    judged_at: Micros,
    bench_until: Micros,
    bench_count: u32,
    on_trial: bool,
    spent: Vec<(Micros, f64)>,
}

impl Brain {
    pub fn learnt(&self) -> Learnt {
        let operations = self.pace.iter().zip(&self.fullest);
        let operations =
            operations.map(|(pace, fullest)| LearntOperation { pace: pace.clone(), fullest: *fullest });
        let runners = self.runners.iter().map(|runner| LearntRunner {
            id: runner.id.to_string(),
            launched: runner.launched,
            size: runner.size,
            slots: runner.slots,
            others: runner.others + f64::from(runner.out),
            others_usual: runner.others_usual + f64::from(runner.out),
            reported_at: runner.reported_at,
            full_until: runner.full_until,
            good: runner.good,
            bad: runner.bad,
            judged_at: runner.judged_at,
            bench_until: runner.bench_until,
            bench_count: runner.bench_count,
            on_trial: runner.on_trial,
            spent: runner.spent.iter().copied().collect(),
        });
        Learnt {
            operations: operations.collect(),
            runners: runners.collect(),
            others_mean: self.others_mean.clone(),
            wait_mean: self.wait_mean.clone(),
            dial_excess: self.dial_excess.clone(),
            free_share: self.free_share.clone(),
            doubt: self.doubt,
            least_slots: self.least_slots,
            keys: self.keys.clone(),
        }
    }

    /// Takes what another process has learnt, in the order of the operations' numbers here. What a runner did
    /// before it was started last says nothing of it now; what was sent to it counts all the same.
    pub(super) fn inherit(&mut self, learnt: Learnt) {
        let numbers = self.pace.iter_mut().zip(&mut self.fullest);
        for ((pace, fullest), told) in numbers.zip(learnt.operations) {
            if told.pace.noted_at.is_some() {
                *pace = told.pace;
            }
            *fullest = told.fullest.max(*fullest);
        }
        for told in learnt.runners {
            let Some(&r) = self.by_id.get(told.id.as_str()) else { continue };
            let runner = &mut self.runners[r];
            runner.spent.extend(told.spent);
            runner.slots = told.slots;
            if self.orders.sizes == Sizes::Live {
                runner.size = runner.size.max(told.size);
            }
            if runner.launched != told.launched {
                continue;
            }
            (runner.others, runner.others_usual) = (told.others, told.others_usual);
            (runner.reported_at, runner.full_until) = (told.reported_at, told.full_until);
            (runner.good, runner.bad, runner.judged_at) = (told.good, told.bad, told.judged_at);
            (runner.bench_until, runner.bench_count) = (told.bench_until, told.bench_count);
            runner.on_trial = told.on_trial;
        }
        self.others_mean = learnt.others_mean;
        self.wait_mean = learnt.wait_mean;
        self.dial_excess = learnt.dial_excess;
        self.free_share = learnt.free_share;
        (self.doubt, self.least_slots) = (learnt.doubt, learnt.least_slots);
        self.keys = learnt.keys;
        self.set_mean_pace();
        self.weight_all = self.listed.iter().map(|r| self.weight(*r)).sum();
    }
}
