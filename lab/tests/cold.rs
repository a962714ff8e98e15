//! What all dispatchers together send cold runners, in virtual time: no span holds more calls than chance explains, however
//! many of them there are, and also while they are started again one after the other.

use std::path::Path;

use topazsail_lab::policy::Policy;
use topazsail_lab::scenario::Scenario;
use topazsail_lab::virtual_clock::{Options, play};

#[test]
fn the_sum_stays_within_what_chance_explains() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("scenarios/cold-sum.toml");
    // With prompt reports and with late ones, by which nobody sees what the others send; all with restarts last.
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
