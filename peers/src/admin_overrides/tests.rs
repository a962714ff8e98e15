use std::collections::BTreeSet;

use super::*;

fn entry(runner: &str, calls: &[(u64, u64, bool)]) -> AdminOverride {
    let call = |&(author, number, stands): &(u64, u64, bool)| AdminCall { author, number, stands };
    AdminOverride { runner: runner.into(), calls: calls.iter().map(call).collect() }
}

/// All calls of one dispatcher, as it would send them.
fn entries(overrides: &AdminOverrides) -> Vec<AdminOverride> {
    let all = overrides.iter().map(|(runner, _)| runner.to_owned());
    all.map(|runner| AdminOverride { calls: overrides.calls(&runner), runner }).collect()
}

fn merge_all(into: &mut AdminOverrides, from: &AdminOverrides) {
    entries(from).iter().for_each(|entry| _ = into.merge(entry));
}

#[test]
fn the_latest_calls_win_in_any_order_of_arrival() {
    let entries = [
        entry("a", &[(5, 1, true)]),
        entry("a", &[(5, 1, false), (1, 2, false)]),
        entry("a", &[(3, 2, true)]),
        entry("b", &[(1, 1, true)]),
    ];
    let mut arrival_orders = vec![vec![0, 1, 2, 3], vec![3, 2, 1, 0], vec![2, 0, 3, 1, 2, 0]];
    let all: Vec<AdminOverrides> = arrival_orders
        .drain(..)
        .map(|order| {
            let mut overrides = AdminOverrides::default();
            order.into_iter().for_each(|nth: usize| _ = overrides.merge(&entries[nth]));
            overrides
        })
        .collect();
    for overrides in &all {
        // The call of 3 has not been seen by the call back of 1.
        assert_eq!(overrides.is_out("a"), Some(true));
        assert_eq!(overrides.digest(), all[0].digest());
        let changed = overrides.clone().record("a", 9, false);
        assert_eq!(changed, entry("a", &[(3, 2, false), (9, 3, false)]).calls);
    }
    assert_eq!(all[0].differing(&all[1].digest()).count(), 0);
    assert_eq!(all[0].differing(&AdminOverrides::default().digest()).count(), 2);
}

#[test]
fn runners_that_are_out_are_never_evicted() {
    let mut overrides = AdminOverrides::default();
    for nth in 0..MAX_RUNNERS + 50 {
        overrides.merge(&entry(&format!("r{nth}"), &[(1, 1, nth < 100)]));
    }
    assert_eq!(overrides.iter().count(), MAX_RUNNERS);
    assert_eq!(overrides.iter().filter(|(_, out)| *out).count(), 100);
    // The digest covers the remaining calls only.
    let mut again = AdminOverrides::default();
    merge_all(&mut again, &overrides);
    assert_eq!(again.digest(), overrides.digest());
    assert!(!overrides.merge(&entry(&"x".repeat(300), &[(1, 1, true)])));
}

#[test]
fn of_many_calls_on_a_runner_those_that_stand_are_kept() {
    let mut overrides = AdminOverrides::default();
    for nth in 0..2 * MAX_CALLS as u64 {
        overrides.merge(&entry("a", &[(nth, nth + 1, nth == 0)]));
    }
    assert_eq!((overrides.calls("a").len(), overrides.is_out("a")), (MAX_CALLS, Some(true)));
    overrides.record("a", 7, false);
    assert_eq!(overrides.is_out("a"), Some(false));
    let mut again = AdminOverrides::default();
    merge_all(&mut again, &overrides);
    assert_eq!(again.digest(), overrides.digest());
}

/// A number that no dispatcher can have counted to leaves room for no later call.
#[test]
fn an_impossible_number_changes_nothing() {
    let mut overrides = AdminOverrides::default();
    overrides.record("a", 1, true);
    for number in [MAX_NUMBER + 1, u64::MAX] {
        assert!(!overrides.merge(&entry("a", &[(1, number, false)])));
    }
    assert_eq!(overrides.is_out("a"), Some(true));
}

/// What the specification says of a dispatcher: the calls that its answer of a call takes into account.
#[derive(Clone, Default, PartialEq, Eq, PartialOrd, Ord)]
struct Knowledge {
    /// Numbers of the calls that take the runner out.
    out: BTreeSet<usize>,
    /// Those of them that a call back has undone which had seen them.
    undone: BTreeSet<usize>,
}

impl Knowledge {
    fn is_out(&self) -> bool {
        !self.out.is_subset(&self.undone)
    }

    fn learn(&mut self, other: &Knowledge) {
        self.out.extend(&other.out);
        self.undone.extend(&other.undone);
    }
}

/// A dispatcher and its disk, with the specification beside the code.
#[derive(Clone, Default)]
struct Dispatcher {
    overrides: AdminOverrides,
    knowledge: Knowledge,
    author: u64,
    /// Stores of this and of an earlier time: state and knowledge.
    stored: (AdminOverrides, Knowledge),
    old_store: (AdminOverrides, Knowledge),
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Call {
        at: usize,
        out: bool,
    },
    Send {
        from: usize,
        to: usize,
    },
    /// The process is killed and starts from its disk, or from an old copy of it.
    Restart {
        at: usize,
        rolled_back: bool,
    },
}

/// Explores every order of steps up to a depth.
struct Explorer {
    steps: Vec<Step>,
    max_calls: usize,
    max_restarts: usize,
    /// States visited.
    states: usize,
}

impl Explorer {
    fn new(dispatchers: usize, max_calls: usize, max_restarts: usize) -> Explorer {
        let mut steps = Vec::new();
        for at in 0..dispatchers {
            steps.extend([true, false].map(|out| Step::Call { at, out }));
            steps.extend([true, false].map(|rolled_back| Step::Restart { at, rolled_back }));
            let others = (0..dispatchers).filter(|to| *to != at);
            steps.extend(others.map(|to| Step::Send { from: at, to }));
        }
        Explorer { steps, max_calls, max_restarts, states: 0 }
    }

    fn explore(&mut self, fleet: &[Dispatcher], history: &mut Vec<Step>, depth: usize) {
        self.states += 1;
        if depth == 0 {
            return check_convergence(fleet, history);
        }
        let calls = history.iter().filter(|step| matches!(step, Step::Call { .. })).count();
        let restarts = history.iter().filter(|step| matches!(step, Step::Restart { .. })).count();
        for step in self.steps.clone() {
            let is_allowed = match step {
                Step::Call { .. } => calls < self.max_calls,
                Step::Restart { .. } => restarts < self.max_restarts,
                Step::Send { from, to } => fleet[from].overrides.digest() != fleet[to].overrides.digest(),
            };
            if !is_allowed {
                continue;
            }
            let mut next = fleet.to_vec();
            history.push(step);
            apply(&mut next, step, history.len());
            for (at, dispatcher) in next.iter().enumerate() {
                let is_out = dispatcher.overrides.is_out("r").unwrap_or(false);
                assert_eq!(is_out, dispatcher.knowledge.is_out(), "dispatcher {at} after {history:?}");
            }
            self.explore(&next, history, depth - 1);
            history.pop();
        }
    }
}

fn apply(fleet: &mut [Dispatcher], step: Step, number: usize) {
    match step {
        Step::Call { at, out } => {
            let dispatcher = &mut fleet[at];
            dispatcher.overrides.record("r", dispatcher.author, out);
            if out {
                dispatcher.knowledge.out.insert(number);
            } else {
                dispatcher.knowledge.undone = dispatcher.knowledge.out.clone();
            }
            // It is on the disk before the answer.
            dispatcher.old_store = dispatcher.stored.clone();
            dispatcher.stored = (dispatcher.overrides.clone(), dispatcher.knowledge.clone());
        }
        Step::Send { from, to } => {
            let (overrides, knowledge) = (fleet[from].overrides.clone(), fleet[from].knowledge.clone());
            merge_all(&mut fleet[to].overrides, &overrides);
            fleet[to].knowledge.learn(&knowledge);
        }
        Step::Restart { at, rolled_back } => {
            let dispatcher = &mut fleet[at];
            let disk = if rolled_back { &dispatcher.old_store } else { &dispatcher.stored };
            (dispatcher.overrides, dispatcher.knowledge) = disk.clone();
            dispatcher.author = number as u64 * 100 + at as u64;
        }
    }
}

/// With the link whole all end alike, as the calls that any of them knows say; and a call back at any of them
/// then holds at all.
fn check_convergence(fleet: &[Dispatcher], history: &[Step]) {
    let mut fleet = fleet.to_vec();
    let mut everything = Knowledge::default();
    fleet.iter().for_each(|dispatcher| everything.learn(&dispatcher.knowledge));
    let exchange = |fleet: &mut [Dispatcher]| {
        let all = fleet.len();
        for (from, to) in (0..all).flat_map(|from| (0..all).map(move |to| (from, to))) {
            let sent = fleet[from].overrides.clone();
            merge_all(&mut fleet[to].overrides, &sent);
        }
    };
    (0..fleet.len()).for_each(|_| exchange(&mut fleet));
    for dispatcher in &fleet {
        assert_eq!(dispatcher.overrides.digest(), fleet[0].overrides.digest(), "after {history:?}");
        assert_eq!(
            dispatcher.overrides.is_out("r").unwrap_or(false),
            everything.is_out(),
            "after {history:?}"
        );
    }
    let author = fleet[0].author;
    fleet[0].overrides.record("r", author, false);
    (0..fleet.len()).for_each(|_| exchange(&mut fleet));
    assert!(fleet.iter().all(|dispatcher| dispatcher.overrides.is_out("r") == Some(false)));
}

/// Guards against a YES that a call undoes which has not seen it: every order of calls, exchanges, restarts and
/// rolled-back disks up to a depth, against the specification.
#[test]
fn a_call_is_undone_only_by_one_that_has_seen_it_in_every_order_of_events() {
    for (dispatchers, max_calls, max_restarts, depth, expected) in
        [(2, 4, 2, 6, 330_577), (3, 3, 1, 5, 238_969)]
    {
        let fleet: Vec<Dispatcher> =
            (0..dispatchers).map(|at| Dispatcher { author: at as u64, ..Dispatcher::default() }).collect();
        let mut explorer = Explorer::new(dispatchers, max_calls, max_restarts);
        explorer.explore(&fleet, &mut Vec::new(), depth);
        assert_eq!(explorer.states, expected, "states of {dispatchers} dispatchers to depth {depth}");
    }
}
