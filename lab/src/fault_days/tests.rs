use super::*;

#[test]
fn every_seed_gives_a_day_that_can_be_played() {
    for seed in 0..2_000 {
        let day = day(seed).unwrap_or_else(|error| panic!("{error}"));
        assert!((7..=9).contains(&day.dispatchers) && !day.fault.is_empty());
    }
}
