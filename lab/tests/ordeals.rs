//! Losses of power and other faults, on several processes of the real program: twelve random scenarios,
//! called days, and variants of the program with one defect each, for which the judge must name the broken
//! rule.
//!
//! Runs in real time: about ten seconds for a day, a few days at once. Only the judgement is tested.

mod helper;

use std::path::{Path, PathBuf};
use std::sync::{Condvar, Mutex};

use topazsail_lab::fault_days::day;
use topazsail_lab::scenario::Scenario;
use topazsail_lab::sockets;
use topazsail_lab::tally::Outcome;

/// Number of days that are being played. It is limited: each has about ten processes, and a lab that waits
/// for a CPU core is too late to judge.
static PLAYING: (Mutex<u32>, Condvar) = (Mutex::new(0), Condvar::new());
/// Most days that are played at once.
const MAX_CONCURRENT_DAYS: u32 = 4;

/// A permit to play one day.
struct Permit;

impl Permit {
    fn acquire() -> Permit {
        let playing = PLAYING.0.lock().unwrap();
        *PLAYING.1.wait_while(playing, |playing| *playing >= MAX_CONCURRENT_DAYS).unwrap() += 1;
        Permit
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        *PLAYING.0.lock().unwrap() -= 1;
        PLAYING.1.notify_one();
    }
}

fn play(day: &Scenario, program: &Path) -> Outcome {
    helper::play_until_reliable(|| {
        let _permit = Permit::acquire();
        sockets::play(day, program, day.seed, &|_| ()).unwrap()
    })
}

fn program() -> PathBuf {
    PathBuf::from(env!("CARGO_BIN_EXE_lab-dispatcher"))
}

#[test]
fn no_rule_is_broken_on_twelve_random_days_of_power_loss_and_other_faults() {
    let seeds = Mutex::new(1..13u64);
    std::thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(|| {
                loop {
                    let Some(seed) = seeds.lock().unwrap().next() else { return };
                    let outcome = play(&day(seed).unwrap(), &program());
                    let violations = outcome.verdict["kept"].to_string();
                    let notes = &outcome.notes;
                    assert!(
                        outcome.broken.is_empty(),
                        "seed {seed}: broken rules {:?}, violations {violations}, notes {notes:?}",
                        outcome.broken
                    );
                    let served = outcome.counts.in_time;
                    assert!(
                        served * 3 > outcome.counts.asked,
                        "seed {seed}: only {served} of {} in time",
                        outcome.counts.asked
                    );
                }
            });
        }
    });
}

/// Every dispatcher is killed twice while operators take runners out of service and leave them there.
const KILLED_TWICE: &str = r#"
[store]
hands-every = "400ms"
out-most = 2
back = false

[[fault]]
kind = "kill"
part = 1.0
at = "3s"
lasts = "300ms"

[[fault]]
kind = "kill"
part = 1.0
at = "5500ms"
lasts = "300ms"
"#;

const SITE: &str = r#"
name = "twice"
length = "8s"
dispatchers = 3
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
[clients]
load = 0.5
front-notice = "200ms"
[discovery]
notice = "200ms"
[limits]
warm-within = "2s"
"#;

fn killed_twice_scenario() -> Scenario {
    Scenario::parse("twice", &format!("{SITE}{KILLED_TWICE}")).unwrap()
}

/// Returns the rules broken while all runners are cold at once and cannot be probed for their load.
fn broken_while_cold(defect: &str) -> Vec<String> {
    let text = format!(
        "{SITE}cold-from = 0.1\nprobes = false\noverload-factor = 1.2\n[reports]\ndelay = \"2s\"\n[store]\npeers = true\n\
         [[fault]]\nkind = \"crash\"\nat = \"2500ms\"\nlasts = \"1s\"\npart = 1.0\n"
    );
    let text = text.replace("dispatchers = 3", "dispatchers = 9").replace("load = 0.5", "load = 0.9");
    let text = text.replace("latency-objective = \"500ms\"", "latency-objective = \"1500ms\"");
    let text = text.replace("queue = 3", "queue = 30");
    let text = text.replace("warm-within = \"2s\"", "warm-within = \"6s\"");
    broken_rules(&play_with_defect(defect, &Scenario::parse("cold", &text).unwrap()))
}

/// Returns the rules broken while every dispatcher is killed twice.
fn broken_when_killed_twice(defect: &str) -> Vec<String> {
    broken_rules(&play_with_defect(defect, &killed_twice_scenario()))
}

/// Returns the names of the broken rules, and prints the violations, which a failed test shows.
fn broken_rules(outcome: &Outcome) -> Vec<String> {
    println!("{} {:?}", outcome.verdict["kept"], outcome.notes);
    outcome.broken.keys().cloned().collect()
}

/// Plays a day with the variant of the dispatcher that has this defect.
fn play_with_defect(defect: &str, day: &Scenario) -> Outcome {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join(format!("twin-{defect}"));
    let text = format!("#!/bin/sh\nLAB_TWIN={defect} exec {} \"$@\"\n", program().display());
    std::fs::write(&path, text).unwrap();
    std::fs::set_permissions(&path, std::os::unix::fs::PermissionsExt::from_mode(0o755)).unwrap();
    play(day, &path)
}

/// Plays a day on which one of five dispatchers is killed twice and finds its disk empty or in an older
/// state.
fn play_with_lost_disk(disk: &str, peers: bool) -> Outcome {
    let (base, _) = KILLED_TWICE.split_once("[[fault]]").unwrap();
    let text = format!(
        "{SITE}{base}peers = {peers}\n\
         [[fault]]\nkind = \"kill\"\nat = \"3s\"\nlasts = \"300ms\"\npart = 0.2\ndisk = \"{disk}\"\nsize = 1500\n\
         [[fault]]\nkind = \"kill\"\nat = \"6s\"\nlasts = \"300ms\"\npart = 0.2\ndisk = \"{disk}\"\nsize = 1500\n"
    );
    let text = text.replace("dispatchers = 3", "dispatchers = 5");
    let mut day = Scenario::parse("forgetful", &text).unwrap();
    // Without peers the loss would be excused. The judge must report it anyway.
    day.store.as_mut().unwrap().excused = false;
    play(&day, &program())
}

#[test]
fn peers_make_up_for_an_emptied_or_rolled_back_disk() {
    for disk in ["empty", "old"] {
        let outcome = play_with_lost_disk(disk, true);
        let violations = outcome.verdict["kept"].to_string();
        assert!(
            outcome.broken.is_empty(),
            "disk {disk}: broken rules {:?}, violations {violations}, notes {:?}",
            outcome.broken,
            outcome.notes
        );
    }
    // Without peers the judge reports the lost state.
    assert!(play_with_lost_disk("empty", false).broken.contains_key("boot-rises"));
}

#[test]
fn a_dispatcher_without_a_defect_breaks_no_rule_when_killed_twice() {
    assert_eq!(broken_when_killed_twice("none"), [""; 0]);
}

#[test]
fn a_dispatcher_that_answers_before_the_data_is_synced_is_detected() {
    assert_eq!(broken_when_killed_twice("unsynced"), ["boot-rises", "hand-holds"]);
}

#[test]
fn a_dispatcher_that_forgets_admin_overrides_is_detected() {
    assert_eq!(broken_when_killed_twice("forgets-hands"), ["hand-holds"]);
}

#[test]
fn a_dispatcher_that_takes_an_old_state_for_the_latest_is_detected() {
    assert!(broken_when_killed_twice("rolled-back").contains(&"boot-rises".to_owned()));
}

#[test]
fn one_that_spends_the_whole_cold_budget_alone() {
    assert_eq!(broken_while_cold("none"), [""; 0]);
    assert_eq!(broken_while_cold("spends-alone"), ["cold-budget"]);
}
