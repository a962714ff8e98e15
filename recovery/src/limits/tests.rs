use super::*;

fn limits() -> AdmissionLimits {
    let operations = [(8.0, 400_000), (2.0, 600_000), (2.0, 1_500_000)];
    AdmissionLimits::new(
        operations.map(|(value, latency_objective)| OperationValue { value, latency_objective }).into_iter(),
        0,
    )
}

#[test]
fn a_runner_warms_evenly() {
    let at = |launched, now| warmth(launched, (0.25, 10), now);
    assert_eq!((at(Some(5), 5), at(Some(5), 10), at(Some(5), 15)), (0.25, 0.625, 1.0));
    // A start time in the future, from a wrong clock, counts as just started.
    assert_eq!((at(None, 5), at(Some(5), 0), at(Some(i64::MAX), 0)), (1.0, 0.25, 0.25));
}

#[test]
fn nothing_is_rejected_without_a_shortage() {
    let mut limits = limits();
    for nth in 0..1_000 {
        assert!(limits.admit(nth % 3, 0.999, nth as Micros * 10_000));
    }
}

#[test]
fn in_a_shortage_the_highest_value_per_work_is_admitted_first() {
    let mut limits = limits();
    limits.record_shortage(0.2, 0);
    // A fifth of 2.5 s of work: all of the first operation, a sixth of the second, none of the third.
    assert!(limits.admit(0, 0.999, 0) && limits.admit(1, 0.16, 0));
    assert!(!limits.admit(1, 0.17, 0) && !limits.admit(2, 0.0, 0));
    // Once arrivals have been counted, the shares follow them: the second operation is now rare.
    (0..100).for_each(|_| _ = limits.admit(0, 0.5, 0));
    assert!(limits.share(0, 0.2) < 0.3 && limits.share(1, 0.2) == 0.0);
}

#[test]
fn the_level_rises_again_and_no_shortage_lowers_it_below_warmth() {
    let mut limits = limits();
    limits.record_shortage(0.2, 0);
    limits.record_shortage(0.3, 100_000);
    assert!((limits.level(100_000) - 0.225).abs() < 1e-9);
    limits.record_shortage(0.2, 200_000);
    assert_eq!((limits.level(200_000), limits.level(3_400_000)), (0.2, 1.0));
    // Without any runner, or with a value that is not a number, there is no shortage.
    limits.record_shortage(0.0, 4_000_000);
    limits.record_shortage(f64::NAN, 4_000_000);
    assert!(limits.admit(2, 0.99, 4_000_000));
}

#[test]
fn the_duration_of_an_operation_is_learnt() {
    let mut limits = limits();
    (0..200).for_each(|_| limits.record_success(2, 20_000));
    limits.record_shortage(0.2, 0);
    assert!(
        limits.admit(2, 0.99, 0),
        "rejected, although its short measured duration makes its value per work the highest"
    );
    limits.record_success(99, 1);
    assert!(limits.admit(99, 0.99, 0));
}
