//! Guards against dispatchers that together send too much to cold runners, in virtual time: no time span may
//! hold more calls than the judge's call limit, which allows for chance. That holds for several numbers of
//! dispatchers, and also during a rolling restart.

use std::path::Path;

use topazsail_lab::policy::Policy;
use topazsail_lab::scenario::Scenario;
use topazsail_lab::virtual_clock::{Options, play};

#[test]
fn the_calls_of_all_dispatchers_to_a_cold_runner_stay_within_the_call_limit() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("scenarios/cold-sum.toml");
    // With prompt reports; with late ones, which do not show what the other dispatchers send; and also with
    // restarts.
    for faults in 1..4 {
        for dispatchers in [5, 20, 30, 60] {
            let mut scenario = Scenario::load(&path).unwrap();
            scenario.dispatchers = dispatchers;
            scenario.fault.truncate(faults);
            for seed in 1..4 {
                let outcome = play(&scenario, Policy::Topazsail, seed, Options::default()).unwrap().outcome;
                let cold = outcome.cold.unwrap();
                assert!(
                    cold.spans > 50,
                    "{dispatchers} dispatchers, seed {seed}, {faults} faults: too few calls to cold runners: {cold:?}"
                );
                assert_eq!(
                    cold.over, 0,
                    "{dispatchers} dispatchers, seed {seed}, {faults} faults: over the call limit: {cold:?}"
                );
            }
        }
    }
}
