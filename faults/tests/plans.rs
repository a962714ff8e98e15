//! Fault plans: parsing, error messages for invalid plans, and the selection of calls.

use topazsail_faults::{Call, Effect, Endpoint, Errno, Plan};

const ACCEPTS_FAIL: &str = r#"{"seed":3,"rules":[{"call":"accept","effect":{"errno":"ENFILE"},"rate":0.25,
    "from_ms":100,"until_ms":200}],"clock_steps":[{"at_ms":50,"by_ms":-3600000}]}"#;

#[test]
fn a_plan_is_the_same_after_it_was_written_and_read() {
    let plan = Plan::parse(ACCEPTS_FAIL).unwrap();
    assert_eq!(Plan::parse(&plan.to_json()).unwrap(), plan);
}

#[test]
fn a_rule_chooses_its_share_of_its_calls_within_its_span() {
    let plan = Plan::parse(ACCEPTS_FAIL).unwrap();
    let selected =
        |call, at_ms| (0..10_000).filter(|n| plan.effect(call, Endpoint::Any, *n, at_ms).is_some()).count();
    assert!((2_300..2_700).contains(&selected(Call::Accept, 150)), "{}", selected(Call::Accept, 150));
    assert_eq!(
        [selected(Call::Accept, 99), selected(Call::Accept, 200), selected(Call::Connect, 150)],
        [0; 3]
    );
    let enfile = Effect::Errno(Errno::named("ENFILE").unwrap());
    assert!((0..100).filter_map(|n| plan.effect(Call::Accept, Endpoint::Any, n, 150)).all(|e| e == enfile));
    assert_eq!([plan.clock_offset_ms(49), plan.clock_offset_ms(50)], [0, -3_600_000]);
}

#[test]
fn what_is_wrong_in_a_plan_is_named() {
    let cases = [
        (r#"{"seed":1,"rules":[{"call":"fork","effect":"short","rate":1}]}"#, "fork"),
        (r#"{"seed":1,"rules":[{"call":"send","effect":{"errno":"EWRONG"},"rate":1}]}"#, "EWRONG"),
        (r#"{"seed":1,"rules":[{"call":"send","effect":"short","rate":1.5}]}"#, "rules.0.rate"),
        (r#"{"seed":1,"rules":[{"call":"send","effect":"short","rate":1,"often":2}]}"#, "often"),
        (r#"{"rules":[]}"#, "seed"),
    ];
    for (text, expected) in cases {
        let error = Plan::parse(text).unwrap_err().to_string();
        assert!(error.contains(expected), "{error}");
    }
}
