//! What tests on real processes share.

use topazsail_lab::tally::Outcome;

/// What was broken while the lab itself was late, it may have only seen late: such a day is played again, up to twice.
pub fn believed(mut play: impl FnMut() -> Outcome) -> Outcome {
    let mut plays = 0;
    loop {
        let outcome = play();
        let (late, own): (Vec<&String>, Vec<&String>) =
            outcome.void.iter().partition(|line| line.contains("was late"));
        assert!(own.is_empty(), "{}: {own:?}", outcome.scenario);
        assert!(outcome.counts.asked > 300, "{}: hardly anything was asked", outcome.scenario);
        plays += 1;
        if plays == 3 || late.is_empty() || outcome.broken.is_empty() {
            return outcome;
        }
        println!("{} again: {late:?}, {:?}", outcome.scenario, outcome.broken);
    }
}
