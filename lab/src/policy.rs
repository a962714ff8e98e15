//! The policies that decide in virtual time: topazsail's routing policy itself, or a baseline for comparison.
//!
//! Baselines take the same events and return the same kinds of actions. Deliberately, they obey the rules on
//! repeats and no others. `LeastTrue` and `LeastOfAll` read the true state of the runners, which no real
//! dispatcher can.

use std::collections::HashMap;
use std::str::FromStr;

use rand::RngExt;
use rand_pcg::Pcg32;
use topazsail::{
    Action, DeduplicationScope, Effect, Event, ForwardResult, Id, Listing, Micros, Readiness, RoutingPolicy,
    Settings,
};

use crate::load::seeded_generator;
use crate::runner::Runner;

/// The policy of a run in virtual time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// topazsail's routing policy.
    Topazsail,
    Random,
    RoundRobin,
    /// Of this many drawn runners the one with the lowest load, by the latest load report that this
    /// dispatcher has received.
    LeastReported(usize),
    /// Of this many drawn runners the one with the lowest load, by true counts.
    LeastTrue(usize),
    /// The runner with the lowest load of all, by true counts.
    LeastOfAll,
}

/// The names of all policies, for help and error texts.
pub const POLICIES: &str =
    "topazsail, random, round-robin, least-of-D, true-of-D (D from 1 to 9), least-of-all";

impl FromStr for Policy {
    type Err = String;

    fn from_str(text: &str) -> Result<Policy, String> {
        let draws = |rest: &str| match rest.parse() {
            Ok(draws @ 1..=9) => Ok(draws),
            _ => Err(format!("unknown policy '{text}': known are {POLICIES}")),
        };
        match text {
            "topazsail" => Ok(Policy::Topazsail),
            "random" => Ok(Policy::Random),
            "round-robin" => Ok(Policy::RoundRobin),
            "least-of-all" => Ok(Policy::LeastOfAll),
            _ => match (text.strip_prefix("least-of-"), text.strip_prefix("true-of-")) {
                (Some(rest), _) => draws(rest).map(Policy::LeastReported),
                (_, Some(rest)) => draws(rest).map(Policy::LeastTrue),
                _ => Err(format!("unknown policy '{text}': known are {POLICIES}")),
            },
        }
    }
}

/// Decides for one dispatcher: topazsail's routing policy or a baseline.
pub trait DecisionMaker {
    /// As [`RoutingPolicy::decide`]; `truth` has the true state of the runners, for the baselines that use
    /// it.
    fn decide(&mut self, now: Micros, happened: Event, truth: &[Runner]) -> Vec<Action>;
}

impl DecisionMaker for RoutingPolicy {
    fn decide(&mut self, now: Micros, happened: Event, _: &[Runner]) -> Vec<Action> {
        RoutingPolicy::decide(self, now, vec![happened])
    }
}

/// Creates the policy of one dispatcher.
pub fn new_decision_maker(policy: Policy, settings: Settings, seed: u64) -> Box<dyn DecisionMaker> {
    match policy {
        Policy::Topazsail => Box::new(RoutingPolicy::new(settings, seed)),
        _ => Box::new(Baseline {
            policy,
            settings,
            rng: seeded_generator(seed, 4),
            listed: Vec::new(),
            reported: HashMap::new(),
            turn: 0,
            invocations: HashMap::new(),
            subscribed: false,
        }),
    }
}

/// An unanswered invocation.
struct OpenInvocation {
    operation: usize,
    forwards: u32,
    may_have_run: bool,
}

/// A baseline policy of one dispatcher.
struct Baseline {
    policy: Policy,
    settings: Settings,
    rng: Pcg32,
    /// Runners that discovery lists as up, by number and id.
    listed: Vec<(u32, Id)>,
    /// Queued and running jobs of each runner, by its latest load report.
    reported: HashMap<u32, f64>,
    /// The latest turn of round-robin.
    turn: usize,
    invocations: HashMap<Id, OpenInvocation>,
    subscribed: bool,
}

/// A runner's number, taken from its id; `u32::MAX` if the id has none.
pub fn runner_number(id: &str) -> u32 {
    id[1..].parse().unwrap_or(u32::MAX)
}

impl Baseline {
    /// Chooses a runner; none if the roster is empty.
    fn choose(&mut self, truth: &[Runner]) -> Option<Id> {
        if self.listed.is_empty() {
            return None;
        }
        let all = self.listed.len();
        let load =
            |(r, _): &(u32, Id)| truth[*r as usize].jobs() as f64 / f64::from(truth[*r as usize].slots);
        let nth = match self.policy {
            Policy::Topazsail | Policy::Random => self.rng.random_range(0..all),
            Policy::RoundRobin => {
                self.turn += 1;
                self.turn % all
            }
            Policy::LeastOfAll => {
                // Ties are broken at random, or the first of the list would win them all.
                let first = self.rng.random_range(0..all);
                let order = (0..all).map(|step| (first + step) % all);
                order.min_by(|a, b| load(&self.listed[*a]).total_cmp(&load(&self.listed[*b])))?
            }
            Policy::LeastReported(draws) => {
                let drawn: Vec<usize> = (0..draws).map(|_| self.rng.random_range(0..all)).collect();
                let reported = |nth: &usize| self.reported.get(&self.listed[*nth].0).copied().unwrap_or(0.0);
                drawn.into_iter().min_by(|a, b| reported(a).total_cmp(&reported(b)))?
            }
            Policy::LeastTrue(draws) => {
                let drawn: Vec<usize> = (0..draws).map(|_| self.rng.random_range(0..all)).collect();
                drawn.into_iter().min_by(|a, b| load(&self.listed[*a]).total_cmp(&load(&self.listed[*b])))?
            }
        };
        Some(self.listed[nth].1.clone())
    }

    /// Forwards an invocation, or answers it if no runner is listed or no further forward is allowed.
    fn forward(&mut self, inv: Id, truth: &[Runner]) -> Vec<Action> {
        let runner = self.choose(truth);
        let Some(open) = self.invocations.get_mut(&inv) else { return Vec::new() };
        match runner {
            Some(runner) if open.forwards < self.settings.max_forwards => {
                open.forwards += 1;
                vec![Action::Forward { invocation: inv, runner, send_by: None }]
            }
            _ => self.answer_failure(inv),
        }
    }

    /// Answers an invocation without a further forward: throttles it where a repeat is harmless, else returns
    /// an error.
    fn answer_failure(&mut self, inv: Id) -> Vec<Action> {
        let Some(open) = self.invocations.remove(&inv) else { return Vec::new() };
        let effect = self.settings.operations[open.operation].effect;
        let harmless = matches!(effect, Effect::Idempotent | Effect::Deduplicated(DeduplicationScope::All));
        match harmless || !open.may_have_run {
            true => vec![Action::Throttle {
                invocation: inv,
                retry_after: self.settings.max_retry_after.map(|most| most / 4),
            }],
            false => vec![Action::Error { invocation: inv }],
        }
    }
}

impl DecisionMaker for Baseline {
    fn decide(&mut self, _: Micros, happened: Event, truth: &[Runner]) -> Vec<Action> {
        match happened {
            Event::Arrival(arrival) => {
                let open = OpenInvocation { operation: arrival.operation, forwards: 0, may_have_run: false };
                self.invocations.insert(arrival.invocation.clone(), open);
                self.forward(arrival.invocation, truth)
            }
            Event::Outcome(outcome) => {
                if let Some(in_flight) = outcome.report.get(2) {
                    self.reported.insert(runner_number(&outcome.runner), *in_flight);
                }
                if outcome.answered {
                    self.invocations.remove(&outcome.invocation);
                    return Vec::new();
                }
                let never_ran = matches!(
                    outcome.result,
                    ForwardResult::Overloaded | ForwardResult::Unreachable | ForwardResult::Void
                );
                let Some(open) = self.invocations.get_mut(&outcome.invocation) else { return Vec::new() };
                open.may_have_run |= !never_ran;
                let effect = self.settings.operations[open.operation].effect;
                // Deduplication scopes and windows are ignored: what may have run is repeated only where any
                // runner will do.
                let may_repeat = !open.may_have_run || effect == Effect::Idempotent;
                if may_repeat && outcome.result != ForwardResult::TimedOut {
                    self.forward(outcome.invocation, truth)
                } else {
                    self.answer_failure(outcome.invocation)
                }
            }
            Event::ClientLeft { invocation: inv } => {
                self.invocations.remove(&inv);
                Vec::new()
            }
            Event::Roster(roster) => {
                let is_whole = roster.listing == Listing::All || roster.listing == Listing::Remembered;
                if is_whole {
                    self.listed.clear();
                }
                for entry in roster.entries {
                    let r = runner_number(&entry.runner);
                    if !is_whole {
                        self.listed.retain(|(known, _)| *known != r);
                    }
                    if entry.readiness == Readiness::Up {
                        self.listed.push((r, entry.runner));
                    }
                }
                let subscribe = !std::mem::replace(&mut self.subscribed, roster.listing != Listing::Refused);
                if subscribe { vec![Action::Subscribe] } else { Vec::new() }
            }
            _ => Vec::new(),
        }
    }
}
