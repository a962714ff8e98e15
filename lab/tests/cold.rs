//! Guards against dispatchers that together send too much to cold runners, in virtual time: no time span may
//! hold more calls than chance explains, for any number of dispatchers, and also during a rolling restart.

use std::path::Path;

use topazsail_lab::policy::Policy;
use topazsail_lab::scenario::Scenario;
use topazsail_lab::virtual_clock::{Options, play};

#[test]
fn the_sum_stays_within_what_chance_explains() {
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
                assert!(cold.spans > 50, "{dispatchers} {seed}: hardly anything was sent: {cold:?}");
                assert_eq!(cold.over, 0, "{dispatchers} {seed} {faults}: {cold:?}");
            }
        }
    }
}
