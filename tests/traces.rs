//! Short traces of decisions, one for the ordinary path, one for each rule and one for each failure found.

mod helper;

use expect_test::expect;
use helper::{Desk, operation, orders};
use topazsail::{Effect, Ending, Group, Listing, Readiness};

const IDLE: [f64; 3] = [2.0, 0.0, 0.0];
const BUSY: [f64; 3] = [1.0, 0.0, 1.0];
const FULL: [f64; 3] = [0.0, 0.0, 2.0];

fn desk(effect: Effect, runners: &str) -> Desk {
    let mut desk = Desk::new(orders(vec![operation(effect)]), runners);
    for tgt in runners.split("").filter(|tgt| !tgt.is_empty()) {
        desk.reports(tgt, &IDLE);
    }
    desk
}

#[test]
fn a_low_invocation_goes_to_the_least_loaded_and_counts_drop_at_every_outcome() {
    let mut desk = desk(Effect::Idempotent, "ab");
    desk.reports("a", &BUSY).arrives("1", 0).arrives("2", 0).arrives("3", 0);
    desk.after(100).ends("1", 0, "b", Ending::Succeeded, &[]).arrives("4", 0);
    desk.shows(expect![[r#"
         1000 follow
         1000 1 -> b
         1000 2 -> a
         1000 3 -> b
         1100 4 -> b
    "#]]);
}

#[test]
fn a_high_invocation_goes_by_own_high_forwards_first() {
    let mut high = operation(Effect::Idempotent);
    high.billed_value = 5.0;
    let mut desk = Desk::new(orders(vec![operation(Effect::Idempotent), high]), "ab");
    desk.reports("a", &[3.0, 0.0, 0.0]).reports("b", &[2.0, 0.0, 1.0]);
    desk.arrives("high1", 1).arrives("high2", 1).arrives("low", 0);
    desk.shows(expect![[r#"
         1000 follow
         1000 high1 -> a
         1000 high2 -> b
         1000 low -> a
    "#]]);
}

#[test]
fn every_invocation_gets_one_answer_in_time() {
    let mut desk = desk(Effect::NonIdempotent, "a");
    desk.arrives("1", 0).arrives("2", 0).arrives("waits", 0).arrives("left", 0).gone("left");
    desk.ticks(600);
    desk.after(4400).ends("1", 0, "a", Ending::TimedOut, &[]);
    desk.shows(expect![[r#"
         1000 follow
         1000 1 -> a
         1000 2 -> a
         1080 probe a
         1500 throttle waits, back in Some(500000)
         6000 error 1
    "#]]);
}

#[test]
fn a_non_idempotent_goes_again_only_where_nothing_ran() {
    let mut desk = desk(Effect::NonIdempotent, "ab");
    desk.reports("b", &BUSY).arrives("1", 0);
    desk.ends("1", 0, "a", Ending::Overloaded, &FULL).ends("1", 1, "b", Ending::Errored, &IDLE);
    desk.shows(expect![[r#"
         1000 follow
         1000 1 -> a
         1000 1 -> b
         1000 error 1
    "#]]);
}

#[test]
fn a_deduplicated_that_may_have_run_stays_in_its_zone_and_span() {
    let mut desk = desk(Effect::Deduplicated(Group::Zone), "abcd");
    desk.reports("b", &FULL).reports("d", &FULL).reports("c", &BUSY);
    desk.arrives("1", 0).ends("1", 0, "a", Ending::Errored, &IDLE);
    desk.after(3100).ends("1", 1, "c", Ending::Errored, &IDLE);
    desk.shows(expect![[r#"
         1000 follow
         1000 1 -> a
         1000 1 -> c
         4100 error 1
    "#]]);
}

#[test]
fn nothing_new_goes_to_a_runner_that_drains_or_is_missing() {
    let mut desk = desk(Effect::Idempotent, "abc");
    desk.roster(Listing::Changes, "a", Readiness::Fading, None);
    desk.arrives("1", 0).arrives("2", 0);
    desk.roster(Listing::All, "b", Readiness::On, None);
    desk.arrives("3", 0).arrives("4", 0).arrives("5", 0);
    desk.roster(Listing::Refused, "", Readiness::On, None);
    desk.ticks(600);
    desk.shows(expect![[r#"
         1000 follow
         1000 1 -> c
         1000 2 -> b
         1000 3 -> b
         1080 probe b
         1280 follow
         1500 throttle 4, back in Some(500000)
         1500 throttle 5, back in Some(500000)
    "#]]);
}

#[test]
fn a_cold_runner_gets_no_more_than_this_dispatchers_share() {
    let mut desk = desk(Effect::Idempotent, "ab");
    desk.roster(Listing::Changes, "a", Readiness::Off, None);
    desk.roster(Listing::Changes, "b", Readiness::On, Some(1_000_000));
    desk.arrives("1", 0).arrives("2", 0).ticks(400);
    desk.after(2000).ends("1", 0, "b", Ending::Succeeded, &IDLE);
    desk.after(5000).arrives("3", 0).arrives("4", 0);
    desk.shows(expect![[r#"
         1000 follow
         1080 probe b
         1220 1 -> b
         3400 throttle 2, back in Some(500000)
         8400 3 -> b
         8400 4 -> b
    "#]]);
}

#[test]
fn failures_beyond_the_median_set_a_runner_aside() {
    let mut desk = desk(Effect::NonIdempotent, "ab");
    desk.reports("b", &FULL);
    for inv in ["1", "2", "3"] {
        desk.arrives(inv, 0).after(10).ends(inv, 0, "a", Ending::Errored, &IDLE);
    }
    desk.arrives("waits", 0).after(500).reports("b", &IDLE).arrives("4", 0);
    desk.shows(expect![[r#"
         1000 follow
         1000 1 -> a
         1010 error 1
         1010 2 -> a
         1020 error 2
         1530 throttle 3, back in Some(500000)
         1530 throttle waits, back in Some(500000)
         1530 4 -> a
    "#]]);
}

#[test]
fn a_runner_without_progress_is_left_and_its_work_moved() {
    let mut desk = desk(Effect::Idempotent, "ab");
    desk.reports("b", &FULL).arrives("1", 0).reports("b", &IDLE).ticks(1500);
    desk.ends("1", 0, "a", Ending::Withdrawn, &[]);
    desk.shows(expect![[r#"
         1000 follow
         1000 1 -> a
         2500 cancel 1 #0
         2500 1 -> b
    "#]]);
}

#[test]
fn a_runner_once_full_is_tried_again_when_its_report_is_old() {
    let mut desk = desk(Effect::Idempotent, "a");
    desk.arrives("0", 0).after(300).ends("0", 0, "a", Ending::Succeeded, &FULL);
    desk.arrives("soon", 0).after(2900).arrives("later", 0);
    desk.shows(expect![[r#"
         1000 follow
         1000 0 -> a
         4200 throttle soon, back in Some(500000)
         4200 later -> a
    "#]]);
}

#[test]
fn late_work_waits_behind_what_can_still_be_in_time() {
    let mut late = operation(Effect::Idempotent);
    late.late_share = 0.5;
    let mut desk = Desk::new(orders(vec![late]), "a");
    desk.reports("a", &IDLE).arrives("1", 0).arrives("2", 0).arrives("old", 0).ticks(600);
    desk.arrives("new", 0).ends("1", 0, "a", Ending::Succeeded, &BUSY);
    desk.shows(expect![[r#"
         1000 follow
         1000 1 -> a
         1000 2 -> a
         1080 probe a
         1600 new -> a
    "#]]);
}

#[test]
fn a_key_keeps_its_home_until_that_holds_more_than_its_share() {
    let mut desk = desk(Effect::Idempotent, "abc");
    for inv in ["1", "2", "3", "4"] {
        desk.arrives_with(inv, 0, Some("catalogue"));
    }
    desk.shows(expect![[r#"
         1000 follow
         1000 1 -> a
         1000 2 -> b
         1000 3 -> a
         1000 4 -> b
    "#]]);
}

#[test]
fn reports_that_come_late_are_doubted() {
    let mut desk = desk(Effect::Idempotent, "ab");
    desk.reports("b", &BUSY).arrives("1", 0).ends("1", 0, "a", Ending::Overloaded, &IDLE);
    desk.arrives("2", 0).after(200).reports("a", &FULL).reports("b", &FULL);
    desk.after(100).arrives("3", 0).arrives("4", 0);
    desk.shows(expect![[r#"
        1000 follow
        1000 1 -> a
        1000 1 -> b
        1000 2 -> b
        1300 3 -> a
        1300 4 -> a
    "#]]);
}
