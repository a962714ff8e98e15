//! Shared by the tests on real processes.

use topazsail_lab::tally::Outcome;

/// Plays a day, and again up to twice if rules were broken while the lab itself was late: it may have only
/// observed late what happened in time.
pub fn play_until_reliable(mut play: impl FnMut() -> Outcome) -> Outcome {
    let mut plays = 0;
    loop {
        let outcome = play();
        let (late, other_reasons): (Vec<&String>, Vec<&String>) =
            outcome.void.iter().partition(|line| line.contains("was late"));
        assert!(other_reasons.is_empty(), "{}: {other_reasons:?}", outcome.scenario);
        assert!(outcome.counts.asked > 300, "{}: hardly anything was asked", outcome.scenario);
        plays += 1;
        if plays == 3 || late.is_empty() || outcome.broken.is_empty() {
            return outcome;
        }
        println!("{} again: {late:?}, {:?}", outcome.scenario, outcome.broken);
    }
}
