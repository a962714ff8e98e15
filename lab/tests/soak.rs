//! A few short random soak days on real processes whose system calls fail. `topazsail-lab soak` plays more of
//! them.
//!
//! Runs in real time: about fifteen seconds for a day, two days at once.

mod helper;

use std::path::Path;
use std::sync::Mutex;

use topazsail_lab::soak;
use topazsail_lab::sockets::play_with_fault_plans;
use topazsail_lab::tally::Outcome;

const SEEDS: std::ops::Range<u64> = 1..9;
/// Number of days that are played at once.
const CONCURRENT_DAYS: usize = 2;

fn play(seed: u64) -> Outcome {
    let day = soak::day(seed).unwrap();
    let program = Path::new(env!("CARGO_BIN_EXE_lab-dispatcher"));
    helper::play_until_reliable(|| {
        play_with_fault_plans(&day.scenario, program, seed, &day.plans, &|_| ()).unwrap()
    })
}

#[test]
fn system_calls_that_fail_under_rolling_restarts_break_no_rule() {
    let seeds = Mutex::new(SEEDS);
    std::thread::scope(|scope| {
        for _ in 0..CONCURRENT_DAYS {
            scope.spawn(|| {
                loop {
                    let Some(seed) = seeds.lock().unwrap().next() else { return };
                    let outcome = play(seed);
                    let violations = outcome.verdict["kept"].to_string();
                    assert!(
                        outcome.broken.is_empty(),
                        "seed {seed}: broken rules {:?}, violations {violations}, notes {:?}",
                        outcome.broken,
                        outcome.notes
                    );
                    let (served, asked) = (outcome.counts.in_time, outcome.counts.asked);
                    assert!(served * 2 > asked, "seed {seed}: only {served} of {asked} in time");
                }
            });
        }
    });
}

/// Guards against a violation of `hand-holds` after a restart, which depends on the order in which messages
/// of peers arrive.
#[test]
fn a_call_of_an_operator_that_was_answered_yes_holds_while_restarted_peers_hear_of_it() {
    let outcome = play(43);
    assert!(
        outcome.broken.is_empty(),
        "broken rules {:?}, violations {}",
        outcome.broken,
        outcome.verdict["kept"]
    );
}

#[test]
fn a_seed_draws_the_same_day_each_time() {
    let plans = |seed| soak::day(seed).unwrap().plans;
    for seed in 0..200 {
        assert_eq!(plans(seed), plans(seed), "seed {seed} drew two different days");
    }
    assert_ne!(plans(1), plans(2));
}
