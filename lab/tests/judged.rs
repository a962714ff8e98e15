//! The judge on sockets: it must name the rule that each faulty dispatcher breaks, and must accept a correct
//! dispatcher and topazsail itself.
//!
//! Each scenario takes a few seconds of real time, and all run at once, so that the lab may be late. Only the
//! judgement is tested here, not the timing.

use std::path::{Path, PathBuf};

use topazsail_lab::scenario::Scenario;
use topazsail_lab::sockets;
use topazsail_lab::tally::Outcome;

const SITE: &str = r#"
name = "faulty"
length = "3s"
dispatchers = 1
[zones]
names = ["east", "west"]
between = "1ms"
[[pool]]
kind = "box"
count = 4
slots = 3
queue = 3
[[operation]]
name = "plan"
work = "60ms"
latency-objective = "500ms"
client-timeout = "2s"
[[operation]]
name = "book"
work = "150ms"
effect = "non-idempotent"
latency-objective = "1s"
client-timeout = "2s"
[[operation]]
name = "lodge"
work = "60ms"
effect = "deduplicated"
group = "zone"
memory-span = "4s"
latency-objective = "500ms"
client-timeout = "2s"
[clients]
load = 0.4
[discovery]
notice = "300ms"
"#;

/// Two runners crash, so that their jobs may have run.
const CRASHES: &str = r#"
[[fault]]
kind = "crash"
at = "1s"
lasts = "5s"
part = 0.5
"#;

/// Half of the runners are drained; they are back only after the run.
const DRAINS: &str = r#"
[[fault]]
kind = "deploy"
at = "500ms"
lasts = "200ms"
part = 0.5
"#;

/// A runner crashes and is cold after its restart.
const RESTART: &str = r#"
[[fault]]
kind = "crash"
at = "300ms"
lasts = "400ms"
part = 0.25
"#;

fn play(program: &Path, faults: &str) -> Outcome {
    let scenario = Scenario::parse("test", &format!("{SITE}{faults}")).unwrap();
    sockets::play(&scenario, program, 1, &|_| ()).unwrap()
}

/// Writes a script that starts the faulty dispatcher with one fault. A script, because the lab does not set
/// environment variables for it.
fn faulty_dispatcher_script(fault: &str) -> (tempfile::TempDir, PathBuf) {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join(format!("faulty-{fault}"));
    let program = env!("CARGO_BIN_EXE_lab-faulty");
    std::fs::write(&path, format!("#!/bin/sh\nLAB_FAULTY={fault} exec {program} \"$@\"\n")).unwrap();
    std::fs::set_permissions(&path, std::os::unix::fs::PermissionsExt::from_mode(0o755)).unwrap();
    (folder, path)
}

/// Plays the faulty dispatcher and returns the rules that it broke.
fn broken_rules(fault: &str, faults: &str) -> Vec<String> {
    let (_folder, program) = faulty_dispatcher_script(fault);
    let outcome = play(&program, faults);
    assert!(outcome.counts.asked > 50, "{fault}: clients made only {} requests", outcome.counts.asked);
    let other_reasons: Vec<&String> = outcome.void.iter().filter(|line| !line.contains("was late")).collect();
    assert!(
        other_reasons.is_empty(),
        "{fault}: the run is void for other reasons than lateness: {other_reasons:?}"
    );
    outcome.broken.keys().cloned().collect()
}

#[test]
fn a_correct_dispatcher_passes() {
    for faults in [CRASHES, DRAINS, RESTART] {
        assert_eq!(broken_rules("none", faults), [""; 0], "rules broken with the faults {faults}");
    }
}

#[test]
fn missing_duplicate_late_and_forged_answers_break_one_answer() {
    for fault in ["drops-some", "answers-twice", "answers-late", "forges"] {
        assert_eq!(broken_rules(fault, ""), ["one-answer"], "{fault}");
    }
}

#[test]
fn repeating_a_job_that_may_have_run_breaks_no_effect_twice() {
    assert_eq!(broken_rules("repeats-unsafe", CRASHES), ["no-effect-twice"]);
}

#[test]
fn throttling_a_job_that_may_have_run_breaks_no_effect_twice() {
    assert_eq!(broken_rules("throttles-unsafe", CRASHES), ["no-effect-twice"]);
}

#[test]
fn two_forwards_in_flight_at_once_break_no_effect_twice() {
    assert_eq!(broken_rules("two-out", ""), ["no-effect-twice"]);
}

#[test]
fn forwarding_to_a_draining_runner_breaks_nothing_to_draining() {
    assert_eq!(broken_rules("sends-to-draining", DRAINS), ["nothing-to-draining"]);
}

#[test]
fn overloading_a_cold_runner_breaks_cold_budget() {
    assert_eq!(broken_rules("floods-cold", RESTART), ["cold-budget"]);
}

#[test]
fn topazsail_breaks_no_rule_in_the_same_scenarios() {
    // `cargo test --workspace` builds it beside this test.
    let test = std::env::current_exe().unwrap();
    let program = test.parent().and_then(Path::parent).unwrap().join("topazsail");
    for faults in [CRASHES, DRAINS, RESTART] {
        let outcome = play(&program, faults);
        let violations = outcome.verdict["kept"].to_string();
        assert!(
            outcome.broken.is_empty(),
            "rules broken with the faults {faults}: {:?}, violations {violations}, notes {:?}",
            outcome.broken,
            outcome.notes
        );
    }
}
