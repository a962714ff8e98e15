//! Short traces of decisions, one for the ordinary path, one for each rule and one for each failure found.

mod helper;

use expect_test::expect;
use helper::{PolicyHarness, operation, settings};
use topazsail::{
    DeduplicationScope, Effect, ForwardResult, Listing, Readiness, RetryBudget, Settings, SizeSource,
};

const IDLE: [f64; 3] = [2.0, 0.0, 0.0];
const BUSY: [f64; 3] = [1.0, 0.0, 1.0];
const FULL: [f64; 3] = [0.0, 2.0, 4.0];

fn harness(effect: Effect, runners: &str) -> PolicyHarness {
    idle(settings(vec![operation(effect)]), runners)
}

/// A dispatcher that has heard from each runner that it holds nothing.
fn idle(settings: Settings, runners: &str) -> PolicyHarness {
    let mut harness = PolicyHarness::new(settings, runners);
    for tgt in runners.split("").filter(|tgt| !tgt.is_empty()) {
        harness.reports(tgt, &IDLE);
    }
    harness
}

#[test]
fn a_low_invocation_goes_to_the_least_loaded_and_counts_drop_at_every_outcome() {
    let mut harness = harness(Effect::Idempotent, "ab");
    harness.reports("a", &BUSY).arrives("1", 0).arrives("2", 0).arrives("3", 0);
    harness.after(100).ends("1", 0, ForwardResult::Succeeded, &[]).arrives("4", 0);
    harness.shows(expect![[r#"
        1000 follow
        1000 1 -> b
        1000 2 -> a
        1000 3 -> b
        1100 probe b
        1100 probe a
        1100 4 -> b
    "#]]);
}

#[test]
fn a_high_invocation_goes_by_own_high_forwards_first() {
    let mut high = operation(Effect::Idempotent);
    high.billed_value = 5.0;
    let mut harness = PolicyHarness::new(settings(vec![operation(Effect::Idempotent), high]), "ab");
    harness.reports("a", &[3.0, 0.0, 0.0]).reports("b", &[2.0, 0.0, 1.0]);
    harness.arrives("high1", 1).arrives("high2", 1).arrives("low", 0);
    harness.shows(expect![[r#"
         1000 follow
         1000 high1 -> a
         1000 high2 -> b
         1000 low -> a
    "#]]);
}

#[test]
fn every_invocation_gets_one_answer_in_time() {
    let mut harness = harness(Effect::NonIdempotent, "a");
    harness.arrives("1", 0).arrives("2", 0).arrives("waits", 0).arrives("left", 0).gone("left");
    harness.passes(600);
    harness.after(4400).ends("1", 0, ForwardResult::TimedOut, &[]);
    harness.shows(expect![[r#"
        1000 follow
        1000 1 -> a
        1000 2 -> a
        1060 probe a
        1120 probe a
        1180 probe a
        1240 probe a
        1300 probe a
        1360 probe a
        1420 probe a
        1480 probe a
        1500 throttle waits, back in Some(500000)
        6000 error 1
    "#]]);
}

#[test]
fn a_non_idempotent_goes_again_only_where_nothing_ran() {
    let mut harness = harness(Effect::NonIdempotent, "ab");
    harness.reports("b", &BUSY).arrives("1", 0);
    harness.ends("1", 0, ForwardResult::Overloaded, &FULL).ends("1", 1, ForwardResult::Errored, &IDLE);
    harness.shows(expect![[r#"
        1000 follow
        1000 1 -> a
        1000 1 -> b
        1000 error 1
    "#]]);
}

#[test]
fn a_deduplicated_that_may_have_run_stays_in_its_zone_and_span() {
    let mut harness = harness(Effect::Deduplicated(DeduplicationScope::Zone), "abcd");
    harness.reports("b", &BUSY).reports("c", &BUSY).reports("d", &BUSY).arrives("1", 0);
    harness.reports("b", &IDLE).reports("d", &IDLE).ends("1", 0, ForwardResult::Errored, &FULL);
    harness.after(3100).ends("1", 1, ForwardResult::Errored, &IDLE);
    harness.shows(expect![[r#"
        1000 follow
        1000 1 -> a
        1000 1 -> c
        4100 error 1
    "#]]);
}

#[test]
fn nothing_new_goes_to_a_runner_that_drains_or_is_missing() {
    let mut harness = harness(Effect::Idempotent, "abc");
    harness.roster(Listing::Changes, "a", Readiness::Draining, None);
    harness.arrives("1", 0).arrives("2", 0);
    harness.roster(Listing::All, "b", Readiness::Up, None);
    harness.arrives("3", 0).arrives("4", 0).arrives("5", 0);
    harness.roster(Listing::Refused, "", Readiness::Up, None);
    harness.passes(600);
    harness.shows(expect![[r#"
        1000 follow
        1000 1 -> b
        1000 2 -> c
        1000 3 -> b
        1060 probe b
        1120 probe b
        1180 probe b
        1190 follow
        1240 probe b
        1300 probe b
        1360 probe b
        1420 probe b
        1480 probe b
        1500 throttle 5, back in Some(500000)
        1500 throttle 4, back in Some(500000)
    "#]]);
}

#[test]
fn a_cold_runner_gets_no_more_than_this_dispatchers_share() {
    let mut harness = harness(Effect::Idempotent, "ab");
    harness.roster(Listing::Changes, "a", Readiness::Removed, None);
    harness.roster(Listing::Changes, "b", Readiness::Up, Some(1_000_000));
    harness.arrives("1", 0).arrives("2", 0).passes(400);
    harness.after(2000).ends("1", 0, ForwardResult::Succeeded, &IDLE);
    harness.after(5000).arrives("3", 0).arrives("4", 0);
    harness.shows(expect![[r#"
        1000 follow
        1000 probe b
        1000 1 -> b
        3400 throttle 2, back in Some(500000)
        8400 probe b
        8400 3 -> b
        8400 4 -> b
    "#]]);
}

#[test]
fn failures_beyond_the_median_set_a_runner_aside() {
    let mut harness = harness(Effect::NonIdempotent, "ab");
    harness.reports("b", &FULL);
    for inv in ["1", "2", "3"] {
        harness.arrives(inv, 0).after(10).ends(inv, 0, ForwardResult::Errored, &IDLE);
    }
    harness.arrives("waits", 0).after(500).reports("b", &IDLE).arrives("4", 0);
    harness.shows(expect![[r#"
        1000 follow
        1000 1 -> a
        1010 error 1
        1010 2 -> a
        1020 error 2
        1530 throttle 3, back in Some(500000)
        1530 throttle waits, back in Some(500000)
        1530 probe a
        1530 4 -> a
    "#]]);
}

#[test]
fn a_runner_without_progress_is_left_and_its_work_moved() {
    let mut harness = harness(Effect::Idempotent, "ab");
    harness.reports("b", &FULL).arrives("1", 0).reports("b", &IDLE).passes(1500);
    harness.ends("1", 0, ForwardResult::Withdrawn, &[]);
    harness.shows(expect![[r#"
        1000 follow
        1000 1 -> a
        2500 cancel 1 #0
        2500 probe b
        2500 1 -> b
    "#]]);
}

#[test]
fn a_runner_once_full_is_tried_again_when_its_report_is_old() {
    let mut settings = settings(vec![operation(Effect::Idempotent)]);
    settings.may_probe = false;
    let mut harness = PolicyHarness::new(settings, "a");
    harness.arrives("0", 0).after(300).ends("0", 0, ForwardResult::Succeeded, &[0.0, 6.0, 8.0]);
    harness.arrives("soon", 0).passes(60_000).arrives("later", 0);
    harness.shows(expect![[r#"
        1000 follow
        1000 0 -> a
        1800 throttle soon, back in Some(500000)
        61300 later -> a
    "#]]);
}

#[test]
fn late_work_waits_behind_what_can_still_be_in_time() {
    let mut late = operation(Effect::Idempotent);
    late.late_value_share = 0.5;
    let mut harness = PolicyHarness::new(settings(vec![late]), "a");
    harness.reports("a", &IDLE).arrives("1", 0).arrives("2", 0).arrives("old", 0).passes(600);
    harness.arrives("new", 0).ends("1", 0, ForwardResult::Succeeded, &BUSY);
    harness.shows(expect![[r#"
        1000 follow
        1000 1 -> a
        1000 2 -> a
        1060 probe a
        1120 probe a
        1180 probe a
        1240 probe a
        1300 probe a
        1360 probe a
        1420 probe a
        1480 probe a
        1540 probe a
        1600 probe a
        1600 new -> a
    "#]]);
}

#[test]
fn reports_that_come_late_are_doubted_and_probes_given_up() {
    let mut harness = harness(Effect::Idempotent, "ab");
    harness.reports("b", &BUSY);
    for inv in ["1", "2", "3"] {
        harness.arrives(inv, 0).ends(inv, 0, ForwardResult::Overloaded, &IDLE);
        harness.ends(inv, 1, ForwardResult::Overloaded, &IDLE);
    }
    harness.after(400).reports("a", &FULL).reports("b", &BUSY).arrives("4", 0).arrives("5", 0);
    harness.after(400).arrives("6", 0);
    harness.shows(expect![[r#"
        1000 follow
        1000 1 -> a
        1000 1 -> b
        1400 1 -> b
        1400 2 -> a
        1400 3 -> b
        1800 4 -> a
    "#]]);
}

#[test]
fn a_key_stays_with_its_homes_up_to_their_share() {
    let mut harness = harness(Effect::Idempotent, "abcdef");
    for inv in ["1", "2", "3", "4", "5", "6"] {
        harness.arrives_with(inv, 0, Some("catalogue"));
    }
    harness.shows(expect![[r#"
        1000 follow
        1000 1 -> e
        1000 2 -> a
        1000 3 -> d
        1000 4 -> b
        1000 5 -> f
        1000 6 -> f
    "#]]);
}

#[test]
fn a_popular_key_has_more_homes() {
    let mut shown = String::new();
    for (key, every) in [("rare", 10), ("popular", 1)] {
        let mut harness = harness(Effect::Idempotent, "abcdefgh");
        for nth in 0..60 {
            let (inv, other) = (nth.to_string(), format!("other {nth}"));
            harness.arrives_with(&inv, 0, Some(if nth % every == 0 { key } else { &other }));
            harness.ends(&inv, 0, ForwardResult::Succeeded, &IDLE);
        }
        harness.counts();
        for nth in 60..80 {
            let inv = nth.to_string();
            harness.arrives_with(&inv, 0, Some(key)).ends(&inv, 0, ForwardResult::Succeeded, &IDLE);
        }
        shown += &format!("{key}: {}\n", harness.counts());
    }
    expect![[r#"
        rare: a6 c2 g12 
        popular: a2 b3 c2 d1 f3 g6 h3 
    "#]]
    .assert_eq(&shown);
}

#[test]
fn low_work_is_let_in_by_the_share_of_probes_that_find_a_free_slot() {
    let mut harness = PolicyHarness::new(two_tiers(), "ab");
    for _ in 0..80 {
        harness.reports("a", &FULL);
    }
    harness.reports("b", &IDLE).arrives("low1", 0).arrives("low2", 0).arrives("high", 1);
    for _ in 0..80 {
        harness.reports("b", &IDLE);
    }
    harness.arrives("low3", 0);
    harness.shows(expect![[r#"
        1000 follow
        1000 throttle low1, back in Some(500000)
        1000 throttle low2, back in Some(500000)
        1000 high -> b
        1000 low3 -> b
    "#]]);
}

/// Operation 1 is high.
fn two_tiers() -> Settings {
    let mut high = operation(Effect::Idempotent);
    high.billed_value = 5.0;
    settings(vec![operation(Effect::Idempotent), high])
}

#[test]
fn in_a_shortage_cold_runners_come_first_within_their_budget() {
    let mut shown = String::new();
    for word in [IDLE, FULL] {
        let mut harness = PolicyHarness::new(two_tiers(), "abc");
        harness.roster(Listing::Changes, "d", Readiness::Up, Some(0));
        (0..40).for_each(|_| _ = harness.reports("b", &word).reports("c", &word));
        harness.reports("a", &IDLE).reports("d", &IDLE).counts();
        shown += &format!("{}\n", harness.arrives("high", 1).counts());
    }
    expect![[r#"
        a1 
        d1 
    "#]]
    .assert_eq(&shown);
}

#[test]
fn a_full_runner_whose_report_is_noisy_has_no_slot_free() {
    let mut harness = PolicyHarness::new(settings(vec![operation(Effect::Idempotent)]), "a");
    harness.reports("a", &[3.0, 0.0, 0.0]).after(100).reports("a", &[0.0, 0.0, 2.97]).arrives("low", 0);
    harness.passes(100).reports("a", &[1.0, 0.0, 1.97]).passes(100);
    harness.shows(expect![[r#"
        1000 follow
        1160 probe a
        1220 low -> a
    "#]]);
}

#[test]
fn while_reports_are_late_forwards_taken_tell_how_much_low_work_is_let_in() {
    let mut harness = idle(two_tiers(), "abcdefgh");
    for nth in ["1", "2", "3"] {
        harness.arrives(nth, 1);
        (0..3).for_each(|forward| _ = harness.ends(nth, forward, ForwardResult::Overloaded, &IDLE));
    }
    ["low1", "low2", "low3", "low4"].iter().for_each(|inv| _ = harness.arrives(inv, 0));
    for nth in ["5", "6", "7", "8", "9"] {
        harness.after(400).arrives(nth, 1).ends(nth, 0, ForwardResult::Succeeded, &IDLE);
    }
    harness.arrives("low5", 0).arrives("low6", 0);
    harness.shows(expect![[r#"
        1000 follow
        1000 1 -> h
        1000 1 -> c
        1000 1 -> f
        1000 throttle 1, back in Some(500000)
        1000 2 -> b
        1000 2 -> e
        1000 2 -> d
        1000 throttle 2, back in Some(500000)
        1000 3 -> g
        1000 3 -> a
        1000 throttle low1, back in Some(500000)
        1000 throttle low4, back in Some(500000)
        1400 3 -> h
        1400 5 -> b
        1400 low2 -> g
        1400 low3 -> e
        1800 6 -> b
        2200 7 -> c
        2600 8 -> f
        3000 cancel low2 #0
        3000 cancel low3 #0
        3000 9 -> f
        3000 low5 -> f
        3000 low6 -> b
    "#]]);
}

#[test]
fn the_objective_of_a_clients_repeat_runs_from_the_first_try() {
    let mut late = operation(Effect::Idempotent);
    late.late_value_share = 0.5;
    let mut harness = PolicyHarness::new(settings(vec![late]), "a");
    harness.reports("a", &BUSY).arrives("first", 0).repeats("repeat", 0).arrives("new", 0);
    harness.passes(200).reports("a", &IDLE).ends("first", 0, ForwardResult::Succeeded, &BUSY);
    harness.passes(400);
    harness.shows(expect![[r#"
        1000 follow
        1000 first -> a
        1060 probe a
        1120 probe a
        1180 probe a
        1200 new -> a
        1250 throttle repeat, back in Some(500000)
    "#]]);
}

#[test]
fn many_dispatchers_take_turns_at_a_cold_runner_by_whole_jobs() {
    let mut shown = String::new();
    for number in 0..40 {
        let mut settings = settings(vec![operation(Effect::Idempotent)]);
        // Nobody tells what the runner holds.
        (settings.dispatchers, settings.dispatcher_index, settings.may_probe) = (40, number, false);
        let mut harness = PolicyHarness::new(settings, "a");
        harness.roster(Listing::Changes, "a", Readiness::Up, Some(1_000_000));
        harness.reports("a", &IDLE).passes(3_000);
        for nth in ["1", "2", "3", "4"] {
            harness.arrives_with(nth, 0, Some(nth));
        }
        let counts = harness.counts();
        if !counts.is_empty() {
            shown += &format!("dispatcher {number}: {counts}\n");
        }
    }
    expect![[r#"
        dispatcher 5: a1 
        dispatcher 18: a1 
        dispatcher 31: a1 
    "#]]
    .assert_eq(&shown);
}

#[test]
fn a_portion_that_was_agreed_on_goes_before_turns_and_ends() {
    let mut shown = String::new();
    // With 40 dispatchers an even share is 0.04 s of work; none of them is a job's.
    for (told, after) in [(None, 0), (Some(0.0), 0), (Some(0.9), 0), (Some(0.9), 600)] {
        for number in [0, 5] {
            let mut settings = settings(vec![operation(Effect::Idempotent)]);
            (settings.dispatchers, settings.dispatcher_index, settings.may_probe) = (40, number, false);
            settings.slow_start_is_shared = true;
            let mut harness = PolicyHarness::new(settings, "a");
            harness.roster(Listing::Changes, "a", Readiness::Up, Some(1_000_000));
            harness.reports("a", &IDLE).passes(3_000);
            if let Some(share) = told {
                harness.portion("a", share, 500);
            }
            harness.after(after);
            for nth in ["1", "2", "3", "4"] {
                harness.arrives_with(nth, 0, Some(nth));
            }
            shown += &format!("{told:?} after {after} ms, dispatcher {number}: {}\n", harness.counts());
        }
    }
    expect![[r#"
        None after 0 ms, dispatcher 0: 
        None after 0 ms, dispatcher 5: 
        Some(0.0) after 0 ms, dispatcher 0: 
        Some(0.0) after 0 ms, dispatcher 5: 
        Some(0.9) after 0 ms, dispatcher 0: a1 
        Some(0.9) after 0 ms, dispatcher 5: a1 
        Some(0.9) after 600 ms, dispatcher 0: 
        Some(0.9) after 600 ms, dispatcher 5: 
    "#]]
    .assert_eq(&shown);
}

/// A warm runner's word counts a forward of ours so many times in a row, then it is gone.
fn proves(harness: &mut PolicyHarness, times: u32) {
    harness.roster(Listing::Changes, "z", Readiness::Up, None);
    harness.reports("z", &IDLE).arrives("p", 0).after(200);
    (0..times).for_each(|_| _ = harness.reports("z", &[1.0, 0.0, 1.0]));
    harness.gone("p");
    harness.roster(Listing::Changes, "z", Readiness::Removed, None);
    harness.counts();
}

/// Unproven it was the fall of a runner: all of a fleet's new processes heard of it what it had held a second before.
#[test]
fn a_cold_runner_that_holds_little_by_fresh_word_is_safe_without_a_turn() {
    let mut shown = String::new();
    // Two seconds after its start it surely does 0.28 of two slots' work: beyond what it does in the span, the rule
    // leaves it 1.6 s of work, of which two jobs that others may be sending take one.
    for (word, launched, proofs) in [
        (IDLE, -1_000_000, 5),
        (BUSY, -1_000_000, 5),
        (BUSY, -4_000_000, 5),
        (IDLE, 900_000, 5),
        (IDLE, -1_000_000, 4),
    ] {
        let mut settings = settings(vec![operation(Effect::Idempotent)]);
        (settings.dispatchers, settings.dispatcher_index) = (40, 0);
        let mut harness = PolicyHarness::new(settings, "");
        proves(&mut harness, proofs);
        harness.roster(Listing::Changes, "a", Readiness::Up, Some(launched));
        harness.reports("a", &word).after(200).arrives("1", 0).arrives("2", 0);
        shown += &format!("{}\n", harness.counts());
    }
    expect![[r#"
        a1 

        a1 


    "#]]
    .assert_eq(&shown);
}

#[test]
fn runners_with_a_connection_come_first_where_a_new_one_is_priced() {
    let mut shown = String::new();
    for connecting_costs in [true, false] {
        let mut settings = settings(vec![operation(Effect::Idempotent)]);
        settings.connections_are_priced = connecting_costs;
        let mut harness = idle(settings, "abcdefgh");
        for nth in 0..40 {
            let inv = nth.to_string();
            harness.arrives(&inv, 0).ends(&inv, 0, ForwardResult::Succeeded, &IDLE);
        }
        shown += &format!("{}\n", harness.counts());
    }
    expect![[r#"
        a40 
        a3 b7 c7 d1 e10 f5 g4 h3 
    "#]]
    .assert_eq(&shown);
}

#[test]
fn a_runner_of_the_own_zone_comes_first_where_a_crossing_is_priced() {
    let mut settings = settings(vec![operation(Effect::Idempotent)]);
    settings.cross_zone_is_priced = true;
    let mut harness = PolicyHarness::new(settings, "abcd");
    for tgt in ["a", "b", "c", "d"] {
        harness.reports(tgt, if tgt == "a" { &BUSY } else { &IDLE });
    }
    for inv in ["1", "2", "3", "4"] {
        harness.arrives(inv, 0);
    }
    harness.shows(expect![[r#"
        1000 follow
        1000 1 -> c
        1000 2 -> c
        1000 3 -> a
        1000 4 -> b
    "#]]);
}

#[test]
fn a_draw_that_does_not_answer_its_probe_is_passed_over() {
    let mut harness = PolicyHarness::new(settings(vec![operation(Effect::Idempotent)]), "ab");
    harness.reports("a", &BUSY).after(100).arrives("1", 0).passes(40);
    harness.shows(expect![[r#"
        1000 follow
        1100 probe a
        1100 probe b
        1130 1 -> a
    "#]]);
}

#[test]
fn a_free_slot_behind_a_waiting_job_is_no_sign_of_late_reports() {
    let blocked = [1.0, 1.0, 2.0];
    let mut harness = harness(Effect::Idempotent, "ab");
    for inv in ["1", "2", "3"] {
        harness.arrives(inv, 0).ends(inv, 0, ForwardResult::Overloaded, &blocked);
        harness.ends(inv, 1, ForwardResult::Overloaded, &blocked);
    }
    harness.after(600).arrives("4", 0);
    harness.shows(expect![[r#"
        1000 follow
        1000 1 -> a
        1000 1 -> b
        1600 throttle 1, back in Some(500000)
        1600 throttle 2, back in Some(500000)
        1600 throttle 3, back in Some(500000)
        1600 probe b
        1600 probe a
        1600 4 -> b
    "#]]);
}

/// One breaks for many reasons, and a runner that is down refuses the next dial; one that breaks forward
/// after forward is another matter.
#[test]
fn a_broken_connection_sets_no_runner_aside_by_itself() {
    let mut harness = harness(Effect::Idempotent, "ab");
    harness.reports("b", &FULL).arrives("1", 0).after(5).ends("1", 0, ForwardResult::Broken, &[]);
    harness.after(5).ends("1", 1, ForwardResult::Succeeded, &[]);
    harness.after(5).arrives("2", 0).after(5).ends("2", 0, ForwardResult::Broken, &[]);
    harness.shows(expect![[r#"
        1000 follow
        1000 1 -> a
        1005 1 -> a
        1015 2 -> a
    "#]]);
}

/// Runners that tell of starts, in a list whose sizes move with load.
fn listed(mut settings: Settings, runners: &str) -> PolicyHarness {
    (settings.size_source, settings.reports_start) = (SizeSource::Live, true);
    idle(settings, runners)
}

/// Four runners of one kind, at rest first; `d` is listed as full.
fn live(settings: Settings) -> PolicyHarness {
    let mut harness = listed(settings, "abcd");
    harness.sizes("abc", 2.0);
    harness.sizes("d", 0.2);
    harness
}

#[test]
fn sizes_that_move_with_load_are_the_reports_and_nobody_is_probed_for_load() {
    let mut harness = live(settings(vec![operation(Effect::Idempotent)]));
    for _ in 0..30 {
        harness.sizes("abc", 1.9);
        harness.sizes("d", 0.2);
    }
    (0..200).for_each(|nth| {
        let inv = nth.to_string();
        harness.arrives(&inv, 0).starts(&inv, 0).ends(&inv, 0, ForwardResult::Succeeded, &[]);
    });
    // Seldom, but not never: what is listed is old.
    harness.shows_counts(expect!["a63 b64 c73 probes 0"]);
}

#[test]
fn what_has_not_begun_moves_unless_it_may_have_to_run_once() {
    let mut harness = live(settings(vec![operation(Effect::Idempotent), operation(Effect::NonIdempotent)]));
    harness.arrives("free", 0).arrives("once", 1).arrives("begun", 0).starts("begun", 0);
    // Longer for the first forwards, which open connections; by then both have been on their way in time.
    harness.passes(450).ends("free", 0, ForwardResult::Withdrawn, &[]).passes(200);
    harness.shows(expect![[r#"
        1000 follow
        1000 free -> a
        1000 once -> c
        1000 begun -> c
        1450 free -> b
        1500 error once
        1500 cancel once #0
        1500 throttle free, back in Some(500000)
        1500 cancel free #1
    "#]]);
}

#[test]
fn a_forward_on_a_kept_connection_moves_after_a_third_of_its_objective() {
    let mut harness = live(settings(vec![operation(Effect::Idempotent)]));
    let invs = ["1", "2", "3", "4", "5", "6", "7", "8"];
    invs.iter().for_each(|inv| _ = harness.arrives(inv, 0).starts(inv, 0));
    invs.iter().for_each(|inv| _ = harness.ends(inv, 0, ForwardResult::Succeeded, &[]));
    harness.after(10);
    harness.shows_counts(expect!["a3 b2 c2 d1 probes 0"]);
    harness.arrives("moves", 0).passes(200).ends("moves", 0, ForwardResult::Withdrawn, &[]);
    harness.shows(expect![[r#"
        1010 moves -> c
        1176 cancel moves #0
        1210 moves -> a
    "#]]);
}

#[test]
fn billed_value_says_who_is_high_before_objectives_do() {
    let (mut dear, mut tight) = (operation(Effect::Idempotent), operation(Effect::Idempotent));
    (dear.billed_value, tight.latency_objective) = (12.0, 250_000);
    let mut harness = live(settings(vec![dear, tight]));
    // A forward is turned away, so low work is let in by a small chance only: the dear one is high.
    harness.arrives("full", 0).ends("full", 0, ForwardResult::Overloaded, &[]).gone("full");
    for nth in 0..5 {
        harness.arrives(&format!("dear{nth}"), 0).arrives(&format!("tight{nth}"), 1);
    }
    harness.shows(expect![[r#"
        1000 follow
        1000 full -> b
        1000 full -> c
        1000 cancel full #1
        1000 dear0 -> a
        1000 throttle tight0, back in Some(250000)
        1000 dear1 -> d
        1000 tight1 -> a
        1000 dear2 -> c
        1000 throttle tight2, back in Some(250000)
        1000 dear3 -> a
        1000 throttle tight3, back in Some(250000)
        1000 dear4 -> d
        1000 throttle tight4, back in Some(250000)
    "#]]);
}

#[test]
fn a_heavy_job_counts_by_its_hint_at_a_cold_runner() {
    let mut harness = idle(settings(vec![operation(Effect::Idempotent)]), "a");
    harness.after(1).roster(Listing::Changes, "a", Readiness::Up, Some(0));
    harness.hinted("light", 0, 100_000).hinted("heavy", 0, 20_000_000);
    harness.passes(100);
    harness.shows(expect![[r#"
        1000 follow
        1001 probe a
        1001 light -> a
    "#]]);
}

#[test]
fn an_objective_grows_by_what_the_stretch_leaves_beyond_the_work() {
    let mut op = operation(Effect::NonIdempotent);
    op.objective_stretch = 2.5;
    let mut harness = PolicyHarness::new(settings(vec![op]), "");
    harness.hinted("light", 0, 1_000).hinted("heavy", 0, 1_000_000);
    harness.passes(2_000);
    harness.shows(expect![[r#"
        1000 follow
        1501 throttle light, back in Some(500000)
        2500 throttle heavy, back in Some(500000)
    "#]]);
}

#[test]
fn slow_dials_bring_connections_first() {
    let mut harness = listed(settings(vec![operation(Effect::Idempotent)]), "abcdefghijkl");
    harness.sizes("abcdefghijkl", 2.0);
    // All of these open connections, and take long to.
    let invs = ["1", "2", "3", "4", "5", "6"];
    invs.iter().for_each(|inv| _ = harness.arrives(inv, 0));
    harness.after(300);
    invs.iter().for_each(|inv| _ = harness.starts(inv, 0).ends(inv, 0, ForwardResult::Succeeded, &[]));
    harness.shows_counts(expect!["d1 f1 g1 i1 j1 l1 probes 0"]);
    for nth in 0..20 {
        let inv = format!("kept{nth}");
        harness.arrives(&inv, 0).starts(&inv, 0).ends(&inv, 0, ForwardResult::Succeeded, &[]);
    }
    harness.shows_counts(expect!["d3 f4 g3 i8 j2 probes 0"]);
}

#[test]
fn a_slow_dial_sets_no_runner_aside_that_has_shown_life_since() {
    let mut harness = listed(settings(vec![operation(Effect::Idempotent)]), "a");
    harness.sizes("a", 2.0);
    harness.arrives("first", 0).after(300).starts("first", 0).ends("first", 0, ForwardResult::Succeeded, &[]);
    harness.after(100).arrives("slow", 0).ends("slow", 0, ForwardResult::Unreachable, &[]);
    harness.shows(expect![[r#"
        1000 follow
        1000 first -> a
        1400 slow -> a
        1400 slow -> a
    "#]]);
}

#[test]
fn low_work_that_was_turned_away_is_let_in_again_by_the_same_share() {
    let mut dear = operation(Effect::Idempotent);
    dear.billed_value = 12.0;
    let mut harness = live(settings(vec![dear, operation(Effect::Idempotent)]));
    harness.arrives("low", 1).ends("low", 0, ForwardResult::Overloaded, &[]);
    harness.arrives("high", 0).ends("high", 0, ForwardResult::Overloaded, &[]);
    harness.shows(expect![[r#"
        1000 follow
        1000 low -> a
        1000 throttle low, back in Some(500000)
        1000 high -> b
        1000 high -> c
    "#]]);
}

/// Under way an invocation keeps its operation, effect and all, but gets no forward that is no longer allowed.
#[test]
fn new_orders_leave_what_is_under_way_its_operation_and_allow_it_no_more_forwards() {
    let mut harness = harness(Effect::Idempotent, "a");
    harness.arrives("under way", 0).arrives("waits", 0).ends("waits", 0, ForwardResult::Overloaded, &FULL);
    let was = topazsail::Operation { in_use: false, ..operation(Effect::Idempotent) };
    let mut stricter = settings(vec![was, operation(Effect::NonIdempotent)]);
    stricter.max_forwards = 1;
    harness.after(10).retuned(stricter);
    harness.after(10).ends("under way", 0, ForwardResult::Errored, &[]);
    harness.after(1000).arrives("new", 1).ends("new", 0, ForwardResult::Errored, &[]);
    harness.shows(expect![[r#"
        1000 follow
        1000 under way -> a
        1000 waits -> a
        1010 throttle waits, back in Some(500000)
        1020 throttle under way, back in Some(500000)
        2020 probe a
        2020 new -> a
        2020 error new
    "#]]);
}

/// A forward that was sent as low ends as low, whatever its operation has become.
#[test]
fn new_orders_may_change_tiers_under_way() {
    let mut low = operation(Effect::Idempotent);
    low.billed_value = 0.5;
    let mut harness = idle(settings(vec![operation(Effect::Idempotent), low.clone()]), "a");
    harness.arrives("low", 1);
    low.billed_value = 5.0;
    harness.retuned(settings(vec![operation(Effect::Idempotent), low]));
    harness.ends("low", 0, ForwardResult::Succeeded, &[]).arrives("next", 1);
    harness.shows(expect![[r#"
        1000 follow
        1000 low -> a
        1000 next -> a
    "#]]);
}

/// Pools that vanish while an invocation is between two of them.
#[test]
fn new_orders_may_change_pools_under_way() {
    let mut low = operation(Effect::Idempotent);
    low.billed_value = 0.5;
    let mut first = settings(vec![operation(Effect::Idempotent), low.clone()]);
    (first.cross_zone_is_priced, first.connections_are_priced) = (true, true);
    let mut harness = PolicyHarness::new(first, "ab");
    // Its draws do not answer their probes, so it waits between two pools.
    harness.arrives("low", 1).after(40).arrives("waits", 0);
    let mut then = settings(vec![operation(Effect::Idempotent), low]);
    then.may_probe = false;
    harness.after(1).retuned(then).after(1).arrives("next", 1);
    harness.shows(expect![[r#"
        1000 follow
        1000 probe a
        1040 probe b
        1041 waits -> b
        1041 low -> a
        1042 next -> b
    "#]]);
}

/// Staff who take a runner out while the watch is lost must not be taken for word from the roster.
#[test]
fn own_changes_of_standing_leave_a_lost_watch_to_be_asked_for_again() {
    let mut harness = harness(Effect::Idempotent, "ab");
    harness.roster(Listing::Refused, "", Readiness::Up, None);
    harness.roster(Listing::Local, "a", Readiness::Draining, None);
    harness.after(700).arrives("1", 0);
    harness.shows(expect![[r#"
        1000 follow
        1700 follow
        1700 probe b
        1700 1 -> b
    "#]]);
}

/// High work may use the whole allowance, other work none beyond its half; who waits for it is sent once it eases.
#[test]
fn further_forwards_stay_within_the_budget() {
    let mut low = operation(Effect::Idempotent);
    low.billed_value = 0.5;
    let mut settings = settings(vec![operation(Effect::Idempotent), low]);
    settings.retry_budget = Some(RetryBudget { floor: 2.0, share: 0.0, window: 300_000 });
    let mut harness = PolicyHarness::new(settings, "a");
    harness.reports("a", &[9.0, 0.0, 0.0]);
    for (inv, op) in [("low1", 1), ("low2", 1), ("high1", 0), ("high2", 0)] {
        harness.arrives(inv, op).ends(inv, 0, ForwardResult::Errored, &[]);
    }
    harness.after(300).gone("").after(1).gone("");
    harness.shows(expect![[r#"
        1000 follow
        1000 low1 -> a
        1000 low1 -> a
        1000 low2 -> a
        1000 high1 -> a
        1000 high1 -> a
        1000 high2 -> a
        1301 probe a
        1301 high2 -> a
    "#]]);
}

/// Arrivals, failures, bursts and silences by chance: every window is counted once more, slowly and plainly.
#[test]
fn no_window_holds_more_further_forwards_than_the_budget_allows() {
    let mut drawn = 7u64;
    let mut chance = |below: u64| {
        drawn = drawn.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (drawn >> 33) % below
    };
    let (window, floor, share) = (400, 3.0, 0.25);
    let mut settings = settings(vec![operation(Effect::Idempotent), operation(Effect::Idempotent)]);
    settings.operations[0].billed_value = 2.0;
    settings.max_forwards = 5;
    settings.retry_budget = Some(RetryBudget { floor, share, window: window * 1000 });
    let mut harness = PolicyHarness::new(settings, "abcdef");
    "abcdef"
        .split("")
        .filter(|tgt| !tgt.is_empty())
        .for_each(|tgt| _ = harness.reports(tgt, &[30.0, 0.0, 0.0]));
    let (mut now, mut taken) = (1000i64, Vec::new());
    for nth in 0..3000 {
        let pause = if chance(100) == 0 { 900 } else { chance(12) as i64 };
        now += pause;
        harness.after(pause).arrives(&nth.to_string(), chance(2) as usize);
        taken.push(now);
        for past in nth - nth.min(6)..=nth {
            if chance(3) > 0 {
                let forward = harness.forwards(&past.to_string());
                let ending = if chance(2) == 0 { ForwardResult::Succeeded } else { ForwardResult::Void };
                if let Some(forward) = forward {
                    harness.ends(&past.to_string(), forward, ending, &[]);
                }
            }
        }
    }
    let further = harness.further();
    assert!(further.len() > 100, "{} forwards beyond the first", further.len());
    for at in &further {
        let spent = further.iter().filter(|other| (at - window..=*at).contains(*other)).count();
        let taken = taken.iter().filter(|other| (at - window + 1..=*at).contains(*other)).count();
        assert!(spent as f64 <= floor + share * taken as f64, "{spent} at {at}, {taken} taken");
    }
}

/// Against a customer whose runners tell no loads, answer probes in their turn and go on with what was cancelled:
/// all runners were set aside for slow probes, and moves doubled the work until nothing was in time.
#[test]
fn where_no_load_is_told_nothing_is_probed_or_moved_and_draws_go_by_size() {
    let mut settings = settings(vec![operation(Effect::Idempotent)]);
    settings.report_fields.clear();
    (settings.size_source, settings.reports_start) = (SizeSource::Registered, true);
    (settings.cross_zone_is_priced, settings.connections_are_priced) = (true, true);
    let mut harness = PolicyHarness::new(settings, "abcd");
    harness.arrives("1", 0).passes(900);
    harness.shows(expect![[r#"
        1000 follow
        1000 1 -> d
    "#]]);
    harness.sizes("a", 8.0);
    harness.sizes("b", 4.0);
    harness.sizes("cd", 2.0);
    for nth in 0..160 {
        let inv = format!("i{nth}");
        harness.arrives(&inv, 0).starts(&inv, 0).ends(&inv, 0, ForwardResult::Succeeded, &[]);
    }
    harness.shows_counts(expect!["a93 b35 c32 probes 0"]);
}

/// Work that has not begun owes no progress where it waits unseen in a runner's queue: a long queue looked like a hang,
/// and each move made two jobs of one, until nothing was in time.
#[test]
fn where_no_load_is_told_only_what_has_begun_can_fall_silent() {
    for begins in [false, true] {
        let mut settings = settings(vec![operation(Effect::Idempotent)]);
        settings.report_fields.clear();
        (settings.size_source, settings.reports_start, settings.progress_interval) =
            (SizeSource::Registered, true, 400_000);
        let mut harness = PolicyHarness::new(settings, "abcd");
        // Jobs take 0.3 s here; four times as long without a word is a hang whatever it waits for.
        harness.arrives("1", 0).starts("1", 0).ends("1", 0, ForwardResult::Succeeded, &[]);
        harness.arrives("2", 0);
        if begins {
            harness.starts("2", 0);
        }
        harness.passes(900);
        assert_eq!(harness.trace().contains("cancel 2 #0"), begins, "{}", harness.trace());
        harness.passes(600);
        assert!(harness.trace().contains("cancel 2 #0"));
    }
}

/// Where no load is told nothing was turned away, though most began too late to be of use.
#[test]
fn where_no_load_is_told_late_beginnings_tell_a_shortage() {
    for (waits, let_in) in [(100, 40), (900, 17)] {
        let mut settings = settings(vec![operation(Effect::Idempotent), operation(Effect::Idempotent)]);
        settings.report_fields.clear();
        (settings.size_source, settings.reports_start) = (SizeSource::Registered, true);
        settings.operations[0].billed_value = 8.0;
        let mut harness = PolicyHarness::new(settings, "abcd");
        let mut taken = 0;
        for nth in 0..60 {
            let (high, low) = (format!("h{nth}"), format!("l{nth}"));
            harness.arrives(&high, 0).arrives(&low, 1).after(waits);
            for inv in [high, low] {
                if harness.forwards(&inv).is_some() {
                    harness.starts(&inv, 0).ends(&inv, 0, ForwardResult::Succeeded, &[]);
                    taken += u32::from(nth >= 20 && inv.starts_with('l'));
                }
            }
        }
        assert_eq!(taken, let_in, "{waits}");
    }
}
