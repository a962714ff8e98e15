//! The judge on real wires: dispatchers that break one rule each are caught by its name, one that breaks none
//! passes, and so does topazsail itself.
//!
//! Each plays for a few seconds in real time; all play at once, so that the lab may be late: what is seen is
//! still judged, and only the judgement counts here.

use std::path::{Path, PathBuf};

use topazsail_lab::scenario::Scenario;
use topazsail_lab::sockets;
use topazsail_lab::tally::Outcome;

const DEPOT: &str = r#"
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

/// Two runners die, so that what they held may have run.
const CRASHES: &str = r#"
[[fault]]
kind = "crash"
at = "1s"
lasts = "5s"
part = 0.5
"#;

/// Every runner drains, and is long in coming back.
const DRAINS: &str = r#"
[[fault]]
kind = "deploy"
at = "500ms"
lasts = "200ms"
part = 0.5
"#;

const COMES_BACK: &str = r#"
[[fault]]
kind = "crash"
at = "300ms"
lasts = "400ms"
part = 0.25
"#;

fn play(program: &Path, faults: &str) -> Outcome {
    let scenario = Scenario::parse("test", &format!("{DEPOT}{faults}")).unwrap();
    sockets::play(&scenario, program, 1, &|_| ()).unwrap()
}

/// A program that starts the faulty dispatcher in one way: the lab itself hands on no environment of its own.
fn faulty(way: &str) -> (tempfile::TempDir, PathBuf) {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join(format!("faulty-{way}"));
    let program = env!("CARGO_BIN_EXE_lab-faulty");
    std::fs::write(&path, format!("#!/bin/sh\nLAB_FAULTY={way} exec {program} \"$@\"\n")).unwrap();
    std::fs::set_permissions(&path, std::os::unix::fs::PermissionsExt::from_mode(0o755)).unwrap();
    (folder, path)
}

fn broken(way: &str, faults: &str) -> Vec<String> {
    let (_folder, program) = faulty(way);
    let outcome = play(&program, faults);
    assert!(outcome.counts.asked > 50, "{way}: hardly anything was asked");
    let own: Vec<&String> = outcome.void.iter().filter(|line| !line.contains("was late")).collect();
    assert!(own.is_empty(), "{way}: {own:?}");
    outcome.broken.keys().cloned().collect()
}

#[test]
fn one_that_is_right_passes() {
    for faults in [CRASHES, DRAINS, COMES_BACK] {
        assert_eq!(broken("none", faults), [""; 0], "{faults}");
    }
}

#[test]
fn no_answer_two_answers_late_ones_and_forged_ones() {
    for way in ["drops-some", "answers-twice", "answers-late", "forges"] {
        assert_eq!(broken(way, ""), ["one-answer"], "{way}");
    }
}

#[test]
fn a_repeat_of_what_may_have_run() {
    assert_eq!(broken("repeats-unsafe", CRASHES), ["no-effect-twice"]);
}

#[test]
fn throttling_of_what_may_have_run() {
    assert_eq!(broken("throttles-unsafe", CRASHES), ["no-effect-twice"]);
}

#[test]
fn two_forwards_out_at_once() {
    assert_eq!(broken("two-out", ""), ["no-effect-twice"]);
}

#[test]
fn work_for_a_runner_that_drains() {
    assert_eq!(broken("sends-to-draining", DRAINS), ["nothing-to-draining"]);
}

#[test]
fn a_flood_for_a_cold_runner() {
    assert_eq!(broken("floods-cold", COMES_BACK), ["cold-budget"]);
}

#[test]
fn topazsail_passes_the_same() {
    // Built beside this test by `cargo test --workspace`.
    let test = std::env::current_exe().unwrap();
    let program = test.parent().and_then(Path::parent).unwrap().join("topazsail");
    for faults in [CRASHES, DRAINS, COMES_BACK] {
        let outcome = play(&program, faults);
        let kept = outcome.verdict["kept"].to_string();
        assert!(outcome.broken.is_empty(), "{faults}: {:?} {kept} {:?}", outcome.broken, outcome.notes);
    }
}
