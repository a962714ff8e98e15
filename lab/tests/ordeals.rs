//! Losses of power and what comes with them, on several processes of the program itself: a dozen days by seed, and
//! twins that each do one thing wrong and are caught by its name.
//!
//! Real time: about ten seconds a day, a few at once; only the judgement counts here.

mod helper;

use std::path::{Path, PathBuf};
use std::sync::{Condvar, Mutex};

use topazsail_lab::fault_days::day;
use topazsail_lab::scenario::Scenario;
use topazsail_lab::sockets;
use topazsail_lab::tally::Outcome;

/// Days that play at once: each is some ten processes, and a lab that has to wait for a core judges nobody.
static PLAYING: (Mutex<u32>, Condvar) = (Mutex::new(0), Condvar::new());
const AT_ONCE: u32 = 4;

struct Place;

impl Place {
    fn taken() -> Place {
        let playing = PLAYING.0.lock().unwrap();
        *PLAYING.1.wait_while(playing, |playing| *playing >= AT_ONCE).unwrap() += 1;
        Place
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        *PLAYING.0.lock().unwrap() -= 1;
        PLAYING.1.notify_one();
    }
}

fn play(day: &Scenario, program: &Path) -> Outcome {
    helper::believed(|| {
        let _place = Place::taken();
        sockets::play(day, program, day.seed, &|_| ()).unwrap()
    })
}

fn program() -> PathBuf {
    PathBuf::from(env!("CARGO_BIN_EXE_lab-dispatcher"))
}

#[test]
fn a_dozen_days_on_which_power_and_more_fail() {
    let seeds = Mutex::new(1..13u64);
    std::thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(|| {
                loop {
                    let Some(seed) = seeds.lock().unwrap().next() else { return };
                    let outcome = play(&day(seed).unwrap(), &program());
                    let kept = outcome.verdict["kept"].to_string();
                    let notes = &outcome.notes;
                    assert!(outcome.broken.is_empty(), "{seed}: {:?} {kept} {notes:?}", outcome.broken);
                    let served = outcome.counts.in_time;
                    assert!(served * 3 > outcome.counts.asked, "{seed}: {served} in time");
                }
            });
        }
    });
}

/// Every dispatcher is killed twice while operators take runners out and in.
const TWICE: &str = r#"
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

fn twice() -> Scenario {
    Scenario::parse("twice", &format!("{SITE}{TWICE}")).unwrap()
}

/// Whether any broke a rule while all runners were cold together and nobody could ask them what they hold.
fn while_cold(twin: &str) -> Vec<String> {
    let text = format!(
        "{SITE}cold-from = 0.1\nprobes = false\noverload-factor = 1.2\n[reports]\ndelay = \"2s\"\n[store]\npeers = true\n\
         [[fault]]\nkind = \"crash\"\nat = \"2500ms\"\nlasts = \"1s\"\npart = 1.0\n"
    );
    let text = text.replace("dispatchers = 3", "dispatchers = 9").replace("load = 0.5", "load = 0.9");
    let text = text.replace("latency-objective = \"500ms\"", "latency-objective = \"1500ms\"");
    let text = text.replace("queue = 3", "queue = 30");
    let text = text.replace("warm-within = \"2s\"", "warm-within = \"6s\"");
    broken(&with_twin(twin, &Scenario::parse("cold", &text).unwrap()))
}

fn broken_by(twin: &str) -> Vec<String> {
    broken(&with_twin(twin, &twice()))
}

/// The rules broken, by name; the histories go to where a failed test shows them.
fn broken(outcome: &Outcome) -> Vec<String> {
    println!("{} {:?}", outcome.verdict["kept"], outcome.notes);
    outcome.broken.keys().cloned().collect()
}

fn with_twin(twin: &str, day: &Scenario) -> Outcome {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join(format!("twin-{twin}"));
    let text = format!("#!/bin/sh\nLAB_TWIN={twin} exec {} \"$@\"\n", program().display());
    std::fs::write(&path, text).unwrap();
    std::fs::set_permissions(&path, std::os::unix::fs::PermissionsExt::from_mode(0o755)).unwrap();
    play(day, &path)
}

/// One of five is killed and finds its disk empty, or as it was before; the others know better.
fn forgetful(disk: &str, peers: bool) -> Outcome {
    let (base, _) = TWICE.split_once("[[fault]]").unwrap();
    let text = format!(
        "{SITE}{base}peers = {peers}\n\
         [[fault]]\nkind = \"kill\"\nat = \"3s\"\nlasts = \"300ms\"\npart = 0.2\ndisk = \"{disk}\"\nsize = 1500\n\
         [[fault]]\nkind = \"kill\"\nat = \"6s\"\nlasts = \"300ms\"\npart = 0.2\ndisk = \"{disk}\"\nsize = 1500\n"
    );
    let text = text.replace("dispatchers = 3", "dispatchers = 5");
    let mut day = Scenario::parse("forgetful", &text).unwrap();
    // Without peers nobody could know better: the judge is to see it all the same.
    day.store.as_mut().unwrap().excused = false;
    play(&day, &program())
}

#[test]
fn a_disk_that_was_emptied_or_rolled_back_is_known_as_such_by_the_others() {
    for disk in ["empty", "old"] {
        let told = forgetful(disk, true);
        let kept = told.verdict["kept"].to_string();
        assert!(told.broken.is_empty(), "{disk}: {:?} {kept} {:?}", told.broken, told.notes);
    }
    // And the judge can tell.
    assert!(forgetful("empty", false).broken.contains_key("boot-rises"));
}

#[test]
fn the_same_day_without_a_fault_of_the_program_passes() {
    assert_eq!(broken_by("none"), [""; 0]);
}

#[test]
fn one_that_speaks_before_the_disk_has_it() {
    assert_eq!(broken_by("unsynced"), ["boot-rises", "hand-holds"]);
}

#[test]
fn one_that_forgets_who_is_out_by_hand() {
    assert_eq!(broken_by("forgets-hands"), ["hand-holds"]);
}

#[test]
fn one_that_takes_an_old_state_for_the_latest() {
    assert!(broken_by("rolled-back").contains(&"boot-rises".to_owned()));
}

#[test]
fn one_that_spends_the_whole_cold_budget_alone() {
    assert_eq!(while_cold("none"), [""; 0]);
    assert_eq!(while_cold("spends-alone"), ["cold-budget"]);
}
