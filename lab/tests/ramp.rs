//! After a loss of power of the whole site, clients must get at least 0.95 of the goodput that the runners'
//! warm-up allows, in virtual time.

use std::path::Path;

use topazsail_lab::policy::Policy;
use topazsail_lab::ramp::{RampComparison, compare_with_ramp};
use topazsail_lab::scenario::Scenario;
use topazsail_lab::virtual_clock::{Options, play};

fn play_and_compare(name: &str, seed: u64) -> RampComparison {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join(format!("scenarios/{name}.toml"));
    let scenario = Scenario::load(&path).unwrap();
    let outcome = play(&scenario, Policy::Topazsail, seed, Options::default()).unwrap().outcome;
    assert!(outcome.broken.is_empty(), "{name}, seed {seed}, broke rules: {:?}", outcome.broken);
    compare_with_ramp(&outcome.windows).unwrap()
}

#[test]
fn a_start_in_stages_reaches_the_ramp_and_beats_a_start_without_a_store() {
    let (mut with_store, mut without_store, mut ramp) = (0.0, 0.0, 0.0);
    for seed in 1..7 {
        let found = play_and_compare("power-loss-kept", seed);
        (with_store, ramp) = (with_store + found.achieved, ramp + found.ramp);
        without_store += play_and_compare("power-loss", seed).achieved;
    }
    assert!(with_store >= 0.95 * ramp, "goodput {with_store} is below 0.95 of the ramp's {ramp}");
    assert!(
        with_store > without_store + 0.05 * ramp,
        "goodput {with_store} with a store, {without_store} without one"
    );
}
