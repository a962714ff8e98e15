//! Short traces of decisions: one for the ordinary path, one for each rule and one for each failure found.

mod helper;

use expect_test::expect;
use helper::{PolicyHarness, operation, settings};
use topazsail::{
    DeduplicationScope, Effect, ForwardResult, Listing, Readiness, RetryBudget, Settings, SizeSource,
};

/// Reports: free slots, waiting jobs, jobs held.
const IDLE: [f64; 3] = [2.0, 0.0, 0.0];
const BUSY: [f64; 3] = [1.0, 0.0, 1.0];
const FULL: [f64; 3] = [0.0, 2.0, 4.0];

/// A dispatcher with one operation and idle runners.
fn harness(effect: Effect, runners: &str) -> PolicyHarness {
    harness_with_idle_runners(settings(vec![operation(effect)]), runners)
}

/// A dispatcher that has received a report of an idle state from each runner.
fn harness_with_idle_runners(settings: Settings, runners: &str) -> PolicyHarness {
    let mut harness = PolicyHarness::new(settings, runners);
    for runner in runners.split("").filter(|runner| !runner.is_empty()) {
        harness.reports(runner, &IDLE);
    }
    harness
}

#[test]
fn a_low_priority_invocation_goes_to_the_least_loaded_runner_and_counts_drop_at_every_outcome() {
    let mut harness = harness(Effect::Idempotent, "ab");
    harness.reports("a", &BUSY).arrives("1", 0).arrives("2", 0).arrives("3", 0);
    harness.after(100).ends("1", 0, ForwardResult::Succeeded, &[]).arrives("4", 0);
    harness.expect_trace(expect![[r#"
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
fn a_high_priority_invocation_goes_to_the_runner_with_the_fewest_own_high_priority_forwards() {
    let mut high = operation(Effect::Idempotent);
    high.billed_value = 5.0;
    let mut harness = PolicyHarness::new(settings(vec![operation(Effect::Idempotent), high]), "ab");
    harness.reports("a", &[3.0, 0.0, 0.0]).reports("b", &[2.0, 0.0, 1.0]);
    harness.arrives("high1", 1).arrives("high2", 1).arrives("low", 0);
    harness.expect_trace(expect![[r#"
         1000 follow
         1000 high1 -> a
         1000 high2 -> b
         1000 low -> a
    "#]]);
}

#[test]
fn every_invocation_gets_one_answer_in_time() {
    let mut harness = harness(Effect::NonIdempotent, "a");
    harness.arrives("1", 0).arrives("2", 0).arrives("waits", 0).arrives("left", 0).client_leaves("left");
    harness.advance(600);
    harness.after(4400).ends("1", 0, ForwardResult::TimedOut, &[]);
    harness.expect_trace(expect![[r#"
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
fn a_non_idempotent_invocation_is_retried_only_if_it_did_not_run() {
    let mut harness = harness(Effect::NonIdempotent, "ab");
    harness.reports("b", &BUSY).arrives("1", 0);
    harness.ends("1", 0, ForwardResult::Overloaded, &FULL).ends("1", 1, ForwardResult::Errored, &IDLE);
    harness.expect_trace(expect![[r#"
        1000 follow
        1000 1 -> a
        1000 1 -> b
        1000 error 1
    "#]]);
}

#[test]
fn a_deduplicated_invocation_that_may_have_run_stays_in_its_zone_and_deduplication_window() {
    let mut harness = harness(Effect::Deduplicated(DeduplicationScope::Zone), "abcd");
    harness.reports("b", &BUSY).reports("c", &BUSY).reports("d", &BUSY).arrives("1", 0);
    harness.reports("b", &IDLE).reports("d", &IDLE).ends("1", 0, ForwardResult::Errored, &FULL);
    harness.after(3100).ends("1", 1, ForwardResult::Errored, &IDLE);
    harness.expect_trace(expect![[r#"
        1000 follow
        1000 1 -> a
        1000 1 -> c
        4100 error 1
    "#]]);
}

#[test]
fn no_new_forward_goes_to_a_runner_that_drains_or_is_not_listed() {
    let mut harness = harness(Effect::Idempotent, "abc");
    harness.roster(Listing::Changes, "a", Readiness::Draining, None);
    harness.arrives("1", 0).arrives("2", 0);
    harness.roster(Listing::All, "b", Readiness::Up, None);
    harness.arrives("3", 0).arrives("4", 0).arrives("5", 0);
    harness.roster(Listing::Refused, "", Readiness::Up, None);
    harness.advance(600);
    harness.expect_trace(expect![[r#"
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
    harness.arrives("1", 0).arrives("2", 0).advance(400);
    harness.after(2000).ends("1", 0, ForwardResult::Succeeded, &IDLE);
    harness.after(5000).arrives("3", 0).arrives("4", 0);
    harness.expect_trace(expect![[r#"
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
fn failures_beyond_the_median_eject_a_runner() {
    let mut harness = harness(Effect::NonIdempotent, "ab");
    harness.reports("b", &FULL);
    for id in ["1", "2", "3"] {
        harness.arrives(id, 0).after(10).ends(id, 0, ForwardResult::Errored, &IDLE);
    }
    harness.arrives("waits", 0).after(500).reports("b", &IDLE).arrives("4", 0);
    harness.expect_trace(expect![[r#"
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
fn work_moves_away_from_a_runner_that_reports_no_progress() {
    let mut harness = harness(Effect::Idempotent, "ab");
    harness.reports("b", &FULL).arrives("1", 0).reports("b", &IDLE).advance(1500);
    harness.ends("1", 0, ForwardResult::Withdrawn, &[]);
    harness.expect_trace(expect![[r#"
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
    harness.arrives("soon", 0).advance(60_000).arrives("later", 0);
    harness.expect_trace(expect![[r#"
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
    harness.reports("a", &IDLE).arrives("1", 0).arrives("2", 0).arrives("old", 0).advance(600);
    harness.arrives("new", 0).ends("1", 0, ForwardResult::Succeeded, &BUSY);
    harness.expect_trace(expect![[r#"
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
    for id in ["1", "2", "3"] {
        harness.arrives(id, 0).ends(id, 0, ForwardResult::Overloaded, &IDLE);
        harness.ends(id, 1, ForwardResult::Overloaded, &IDLE);
    }
    harness.after(400).reports("a", &FULL).reports("b", &BUSY).arrives("4", 0).arrives("5", 0);
    harness.after(400).arrives("6", 0);
    harness.expect_trace(expect![[r#"
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
    for id in ["1", "2", "3", "4", "5", "6"] {
        harness.arrives_with_key(id, 0, Some("catalogue"));
    }
    harness.expect_trace(expect![[r#"
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
            let (id, other) = (nth.to_string(), format!("other {nth}"));
            harness.arrives_with_key(&id, 0, Some(if nth % every == 0 { key } else { &other }));
            harness.ends(&id, 0, ForwardResult::Succeeded, &IDLE);
        }
        harness.forward_counts();
        for nth in 60..80 {
            let id = nth.to_string();
            harness.arrives_with_key(&id, 0, Some(key)).ends(&id, 0, ForwardResult::Succeeded, &IDLE);
        }
        shown += &format!("{key}: {}\n", harness.forward_counts());
    }
    expect![[r#"
        rare: a6 c2 g12 
        popular: a2 b3 c2 d1 f3 g6 h3 
    "#]]
    .assert_eq(&shown);
}

#[test]
fn low_priority_work_is_admitted_by_the_share_of_probes_that_find_a_free_slot() {
    let mut harness = PolicyHarness::new(two_priorities(), "ab");
    for _ in 0..80 {
        harness.reports("a", &FULL);
    }
    harness.reports("b", &IDLE).arrives("low1", 0).arrives("low2", 0).arrives("high", 1);
    for _ in 0..80 {
        harness.reports("b", &IDLE);
    }
    harness.arrives("low3", 0);
    harness.expect_trace(expect![[r#"
        1000 follow
        1000 throttle low1, back in Some(500000)
        1000 throttle low2, back in Some(500000)
        1000 high -> b
        1000 low3 -> b
    "#]]);
}

/// Settings with two operations: 0 has low and 1 has high priority.
fn two_priorities() -> Settings {
    let mut high = operation(Effect::Idempotent);
    high.billed_value = 5.0;
    settings(vec![operation(Effect::Idempotent), high])
}

#[test]
fn in_a_shortage_cold_runners_come_first_within_their_budget() {
    let mut shown = String::new();
    for report in [IDLE, FULL] {
        let mut harness = PolicyHarness::new(two_priorities(), "abc");
        harness.roster(Listing::Changes, "d", Readiness::Up, Some(0));
        (0..40).for_each(|_| _ = harness.reports("b", &report).reports("c", &report));
        harness.reports("a", &IDLE).reports("d", &IDLE).forward_counts();
        shown += &format!("{}\n", harness.arrives("high", 1).forward_counts());
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
    harness.advance(100).reports("a", &[1.0, 0.0, 1.97]).advance(100);
    harness.expect_trace(expect![[r#"
        1000 follow
        1160 probe a
        1220 low -> a
    "#]]);
}

#[test]
fn while_reports_are_late_accepted_forwards_determine_how_much_low_priority_work_is_admitted() {
    let mut harness = harness_with_idle_runners(two_priorities(), "abcdefgh");
    for nth in ["1", "2", "3"] {
        harness.arrives(nth, 1);
        (0..3).for_each(|forward| _ = harness.ends(nth, forward, ForwardResult::Overloaded, &IDLE));
    }
    ["low1", "low2", "low3", "low4"].iter().for_each(|id| _ = harness.arrives(id, 0));
    for nth in ["5", "6", "7", "8", "9"] {
        harness.after(400).arrives(nth, 1).ends(nth, 0, ForwardResult::Succeeded, &IDLE);
    }
    harness.arrives("low5", 0).arrives("low6", 0);
    harness.expect_trace(expect![[r#"
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
fn the_objective_of_a_clients_retry_runs_from_the_first_try() {
    let mut late = operation(Effect::Idempotent);
    late.late_value_share = 0.5;
    let mut harness = PolicyHarness::new(settings(vec![late]), "a");
    harness.reports("a", &BUSY).arrives("first", 0).client_retries("repeat", 0).arrives("new", 0);
    harness.advance(200).reports("a", &IDLE).ends("first", 0, ForwardResult::Succeeded, &BUSY);
    harness.advance(400);
    harness.expect_trace(expect![[r#"
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
    for dispatcher_index in 0..40 {
        let mut settings = settings(vec![operation(Effect::Idempotent)]);
        // Without probes the load of the runner is unknown.
        (settings.dispatchers, settings.dispatcher_index, settings.may_probe) = (40, dispatcher_index, false);
        let mut harness = PolicyHarness::new(settings, "a");
        harness.roster(Listing::Changes, "a", Readiness::Up, Some(1_000_000));
        harness.reports("a", &IDLE).advance(3_000);
        for nth in ["1", "2", "3", "4"] {
            harness.arrives_with_key(nth, 0, Some(nth));
        }
        let counts = harness.forward_counts();
        if !counts.is_empty() {
            shown += &format!("dispatcher {dispatcher_index}: {counts}\n");
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
fn an_agreed_slow_start_share_is_used_before_turns_and_expires() {
    let mut shown = String::new();
    // With 40 dispatchers an even share is 0.04 s of work, less than a job takes.
    for (agreed_share, after) in [(None, 0), (Some(0.0), 0), (Some(0.9), 0), (Some(0.9), 600)] {
        for dispatcher_index in [0, 5] {
            let mut settings = settings(vec![operation(Effect::Idempotent)]);
            (settings.dispatchers, settings.dispatcher_index, settings.may_probe) =
                (40, dispatcher_index, false);
            settings.slow_start_is_shared = true;
            let mut harness = PolicyHarness::new(settings, "a");
            harness.roster(Listing::Changes, "a", Readiness::Up, Some(1_000_000));
            harness.reports("a", &IDLE).advance(3_000);
            if let Some(share) = agreed_share {
                harness.slow_start_share("a", share, 500);
            }
            harness.after(after);
            for nth in ["1", "2", "3", "4"] {
                harness.arrives_with_key(nth, 0, Some(nth));
            }
            shown += &format!(
                "{agreed_share:?} after {after} ms, dispatcher {dispatcher_index}: {}\n",
                harness.forward_counts()
            );
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

/// Lets a warm runner report an own forward `times` times in a row, then removes the runner.
fn prove_prompt_reports(harness: &mut PolicyHarness, times: u32) {
    harness.roster(Listing::Changes, "z", Readiness::Up, None);
    harness.reports("z", &IDLE).arrives("p", 0).after(200);
    (0..times).for_each(|_| _ = harness.reports("z", &[1.0, 0.0, 1.0]));
    harness.client_leaves("p");
    harness.roster(Listing::Changes, "z", Readiness::Removed, None);
    harness.forward_counts();
}

/// Without proof that reports are prompt, a cold runner was overloaded: all new processes of a fleet got a
/// report of what it had held one second before.
#[test]
fn a_cold_runner_with_few_jobs_by_a_fresh_report_gets_work_without_a_turn() {
    let mut shown = String::new();
    // Two seconds after its start the runner is sure to have 0.28 of the capacity of two slots. Beyond what
    // it completes in the window, the overload rule leaves it 1.6 s of work; two jobs that others may be
    // sending take 1 s of that.
    for (report, launched, prompt_reports) in [
        (IDLE, -1_000_000, 5),
        (BUSY, -1_000_000, 5),
        (BUSY, -4_000_000, 5),
        (IDLE, 900_000, 5),
        (IDLE, -1_000_000, 4),
    ] {
        let mut settings = settings(vec![operation(Effect::Idempotent)]);
        (settings.dispatchers, settings.dispatcher_index) = (40, 0);
        let mut harness = PolicyHarness::new(settings, "");
        prove_prompt_reports(&mut harness, prompt_reports);
        harness.roster(Listing::Changes, "a", Readiness::Up, Some(launched));
        harness.reports("a", &report).after(200).arrives("1", 0).arrives("2", 0);
        shown += &format!("{}\n", harness.forward_counts());
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
    for connections_are_priced in [true, false] {
        let mut settings = settings(vec![operation(Effect::Idempotent)]);
        settings.connections_are_priced = connections_are_priced;
        let mut harness = harness_with_idle_runners(settings, "abcdefgh");
        for nth in 0..40 {
            let id = nth.to_string();
            harness.arrives(&id, 0).ends(&id, 0, ForwardResult::Succeeded, &IDLE);
        }
        shown += &format!("{}\n", harness.forward_counts());
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
    for runner in ["a", "b", "c", "d"] {
        harness.reports(runner, if runner == "a" { &BUSY } else { &IDLE });
    }
    for id in ["1", "2", "3", "4"] {
        harness.arrives(id, 0);
    }
    harness.expect_trace(expect![[r#"
        1000 follow
        1000 1 -> c
        1000 2 -> c
        1000 3 -> a
        1000 4 -> b
    "#]]);
}

#[test]
fn a_candidate_that_does_not_answer_its_probe_is_skipped() {
    let mut harness = PolicyHarness::new(settings(vec![operation(Effect::Idempotent)]), "ab");
    harness.reports("a", &BUSY).after(100).arrives("1", 0).advance(40);
    harness.expect_trace(expect![[r#"
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
    for id in ["1", "2", "3"] {
        harness.arrives(id, 0).ends(id, 0, ForwardResult::Overloaded, &blocked);
        harness.ends(id, 1, ForwardResult::Overloaded, &blocked);
    }
    harness.after(600).arrives("4", 0);
    harness.expect_trace(expect![[r#"
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

/// A connection breaks for many reasons, and a runner that is down refuses the next dial. Only a runner that
/// breaks one forward after the other is ejected.
#[test]
fn a_broken_connection_alone_ejects_no_runner() {
    let mut harness = harness(Effect::Idempotent, "ab");
    harness.reports("b", &FULL).arrives("1", 0).after(5).ends("1", 0, ForwardResult::Broken, &[]);
    harness.after(5).ends("1", 1, ForwardResult::Succeeded, &[]);
    harness.after(5).arrives("2", 0).after(5).ends("2", 0, ForwardResult::Broken, &[]);
    harness.expect_trace(expect![[r#"
        1000 follow
        1000 1 -> a
        1005 1 -> a
        1015 2 -> a
    "#]]);
}

/// Runners that report starts, in a roster whose sizes move with load.
fn harness_with_live_sizes(mut settings: Settings, runners: &str) -> PolicyHarness {
    (settings.size_source, settings.reports_start) = (SizeSource::Live, true);
    harness_with_idle_runners(settings, runners)
}

/// Four runners of one machine type, listed as idle first; then `d` is listed as full.
fn harness_with_a_full_runner(settings: Settings) -> PolicyHarness {
    let mut harness = harness_with_live_sizes(settings, "abcd");
    harness.list_sizes("abc", 2.0);
    harness.list_sizes("d", 0.2);
    harness
}

#[test]
fn sizes_that_move_with_load_replace_reports_and_probes() {
    let mut harness = harness_with_a_full_runner(settings(vec![operation(Effect::Idempotent)]));
    for _ in 0..30 {
        harness.list_sizes("abc", 1.9);
        harness.list_sizes("d", 0.2);
    }
    (0..200).for_each(|nth| {
        let id = nth.to_string();
        harness.arrives(&id, 0).starts(&id, 0).ends(&id, 0, ForwardResult::Succeeded, &[]);
    });
    // Runner `d` is chosen seldom, but its weight is never zero: the roster's sizes are old.
    harness.expect_counts(expect!["a63 b64 c73 probes 0"]);
}

#[test]
fn a_forward_that_has_not_started_moves_unless_it_is_non_idempotent() {
    let mut harness = harness_with_a_full_runner(settings(vec![
        operation(Effect::Idempotent),
        operation(Effect::NonIdempotent),
    ]));
    harness.arrives("free", 0).arrives("once", 1).arrives("begun", 0).starts("begun", 0);
    // The first forwards open connections, so they may wait longer to start; at that time neither is late
    // yet.
    harness.advance(450).ends("free", 0, ForwardResult::Withdrawn, &[]).advance(200);
    harness.expect_trace(expect![[r#"
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

/// Guards against a second copy of a forward that may still run: only what may run twice moves, and only once
/// the cancel is confirmed.
#[test]
fn a_forward_whose_end_is_unclear_moves_unless_it_is_non_idempotent() {
    let mut settings = settings(vec![
        operation(Effect::Idempotent),
        operation(Effect::Deduplicated(DeduplicationScope::All)),
        operation(Effect::NonIdempotent),
    ]);
    settings.reports_start = false;
    let mut harness = harness_with_idle_runners(settings, "ab");
    for (id, index) in [("free", 0), ("keyed", 1), ("once", 2)] {
        harness.arrives(id, index).end_is_unclear(id, 0).end_is_unclear(id, 0).after(10);
        if id != "once" {
            harness.ends(id, 0, ForwardResult::Withdrawn, &[]);
        }
        harness.end_is_unclear(id, 0);
    }
    harness.ends("once", 0, ForwardResult::Succeeded, &[]);
    harness.expect_trace(expect![[r#"
        1000 follow
        1000 free -> a
        1000 cancel free #0
        1010 free -> b
        1010 keyed -> a
        1010 cancel keyed #0
        1020 keyed -> b
        1020 once -> a
    "#]]);
}

/// Guards against non-idempotent jobs that nobody runs: a second identical hand-back from the same runner cannot be
/// told from a repeat of the first one.
#[test]
fn a_non_idempotent_invocation_prefers_runners_that_have_not_handed_it_back() {
    let mut once = operation(Effect::NonIdempotent);
    once.latency_objective = 5_000_000;
    let mut settings = settings(vec![once]);
    (settings.max_forwards, settings.reports_start) = (5, false);
    let mut harness = harness_with_idle_runners(settings, "abc");
    harness.arrives("1", 0);
    for forward in 0..4 {
        harness.is_handed_back("1", forward).advance(2000);
    }
    harness.expect_trace(expect![[r#"
        1000 follow
        1000 1 -> a
        1000 1 -> c
        3000 probe b
        3000 1 -> b
        5000 probe a
        5000 1 -> a
        7000 throttle 1, back in Some(2000000)
    "#]]);
}

#[test]
fn a_forward_on_a_reused_connection_moves_after_a_third_of_its_objective() {
    let mut harness = harness_with_a_full_runner(settings(vec![operation(Effect::Idempotent)]));
    let invocations = ["1", "2", "3", "4", "5", "6", "7", "8"];
    invocations.iter().for_each(|id| _ = harness.arrives(id, 0).starts(id, 0));
    invocations.iter().for_each(|id| _ = harness.ends(id, 0, ForwardResult::Succeeded, &[]));
    harness.after(10);
    harness.expect_counts(expect!["a3 b2 c2 d1 probes 0"]);
    harness.arrives("moves", 0).advance(200).ends("moves", 0, ForwardResult::Withdrawn, &[]);
    harness.expect_trace(expect![[r#"
        1010 moves -> c
        1176 cancel moves #0
        1210 moves -> a
    "#]]);
}

#[test]
fn billed_value_takes_precedence_over_objectives_for_priority() {
    let (mut valuable, mut tight) = (operation(Effect::Idempotent), operation(Effect::Idempotent));
    (valuable.billed_value, tight.latency_objective) = (12.0, 250_000);
    let mut harness = harness_with_a_full_runner(settings(vec![valuable, tight]));
    // A forward is rejected, so low-priority work is admitted with a small probability only; the operation
    // with the greater value has high priority.
    harness.arrives("full", 0).ends("full", 0, ForwardResult::Overloaded, &[]).client_leaves("full");
    for nth in 0..5 {
        harness.arrives(&format!("dear{nth}"), 0).arrives(&format!("tight{nth}"), 1);
    }
    harness.expect_trace(expect![[r#"
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
    let mut harness = harness_with_idle_runners(settings(vec![operation(Effect::Idempotent)]), "a");
    harness.after(1).roster(Listing::Changes, "a", Readiness::Up, Some(0));
    harness.arrives_with_hint("light", 0, 100_000).arrives_with_hint("heavy", 0, 20_000_000);
    harness.advance(100);
    harness.expect_trace(expect![[r#"
        1000 follow
        1001 probe a
        1001 light -> a
    "#]]);
}

/// The objective grows by the stretch less 1.5, the factor of a slow machine, times the hinted work.
#[test]
fn an_objective_grows_with_the_hinted_work() {
    let mut op = operation(Effect::NonIdempotent);
    op.objective_stretch = 2.5;
    let mut harness = PolicyHarness::new(settings(vec![op]), "");
    harness.arrives_with_hint("light", 0, 1_000).arrives_with_hint("heavy", 0, 1_000_000);
    harness.advance(2_000);
    harness.expect_trace(expect![[r#"
        1000 follow
        1501 throttle light, back in Some(500000)
        2500 throttle heavy, back in Some(500000)
    "#]]);
}

#[test]
fn after_slow_dials_open_connections_come_first() {
    let mut harness = harness_with_live_sizes(settings(vec![operation(Effect::Idempotent)]), "abcdefghijkl");
    harness.list_sizes("abcdefghijkl", 2.0);
    // All of these forwards open connections, which takes long.
    let invocations = ["1", "2", "3", "4", "5", "6"];
    invocations.iter().for_each(|id| _ = harness.arrives(id, 0));
    harness.after(300);
    invocations.iter().for_each(|id| _ = harness.starts(id, 0).ends(id, 0, ForwardResult::Succeeded, &[]));
    harness.expect_counts(expect!["d1 f1 g1 i1 j1 l1 probes 0"]);
    for nth in 0..20 {
        let id = format!("kept{nth}");
        harness.arrives(&id, 0).starts(&id, 0).ends(&id, 0, ForwardResult::Succeeded, &[]);
    }
    harness.expect_counts(expect!["d3 f4 g3 i8 j2 probes 0"]);
}

#[test]
fn a_slow_dial_does_not_eject_a_runner_that_has_shown_life_since() {
    let mut harness = harness_with_live_sizes(settings(vec![operation(Effect::Idempotent)]), "a");
    harness.list_sizes("a", 2.0);
    harness.arrives("first", 0).after(300).starts("first", 0).ends("first", 0, ForwardResult::Succeeded, &[]);
    harness.after(100).arrives("slow", 0).ends("slow", 0, ForwardResult::Unreachable, &[]);
    harness.expect_trace(expect![[r#"
        1000 follow
        1000 first -> a
        1400 slow -> a
        1400 slow -> a
    "#]]);
}

#[test]
fn low_priority_work_rejected_by_a_runner_is_subject_to_admission_control_again() {
    let mut valuable = operation(Effect::Idempotent);
    valuable.billed_value = 12.0;
    let mut harness = harness_with_a_full_runner(settings(vec![valuable, operation(Effect::Idempotent)]));
    harness.arrives("low", 1).ends("low", 0, ForwardResult::Overloaded, &[]);
    harness.arrives("high", 0).ends("high", 0, ForwardResult::Overloaded, &[]);
    harness.expect_trace(expect![[r#"
        1000 follow
        1000 low -> a
        1000 throttle low, back in Some(500000)
        1000 high -> b
        1000 high -> c
    "#]]);
}

/// An invocation in progress keeps its operation with its effect, but gets no forward beyond the new limit.
#[test]
fn changed_settings_keep_the_operation_of_an_invocation_but_limit_its_forwards() {
    let mut harness = harness(Effect::Idempotent, "a");
    harness.arrives("under way", 0).arrives("waits", 0).ends("waits", 0, ForwardResult::Overloaded, &FULL);
    let retired = topazsail::Operation { in_use: false, ..operation(Effect::Idempotent) };
    let mut stricter = settings(vec![retired, operation(Effect::NonIdempotent)]);
    stricter.max_forwards = 1;
    harness.after(10).change_settings(stricter);
    harness.after(10).ends("under way", 0, ForwardResult::Errored, &[]);
    harness.after(1000).arrives("new", 1).ends("new", 0, ForwardResult::Errored, &[]);
    harness.expect_trace(expect![[r#"
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

/// A forward that was sent with low priority is counted as low priority when it ends, whatever the settings
/// say by then.
#[test]
fn changed_settings_may_change_priorities_while_forwards_are_in_flight() {
    let mut low = operation(Effect::Idempotent);
    low.billed_value = 0.5;
    let mut harness =
        harness_with_idle_runners(settings(vec![operation(Effect::Idempotent), low.clone()]), "a");
    harness.arrives("low", 1);
    low.billed_value = 5.0;
    harness.change_settings(settings(vec![operation(Effect::Idempotent), low]));
    harness.ends("low", 0, ForwardResult::Succeeded, &[]).arrives("next", 1);
    harness.expect_trace(expect![[r#"
        1000 follow
        1000 low -> a
        1000 next -> a
    "#]]);
}

/// Guards against pools that disappear while an invocation is between two of them.
#[test]
fn changed_settings_may_change_pools_between_two_samples() {
    let mut low = operation(Effect::Idempotent);
    low.billed_value = 0.5;
    let mut first = settings(vec![operation(Effect::Idempotent), low.clone()]);
    (first.cross_zone_is_priced, first.connections_are_priced) = (true, true);
    let mut harness = PolicyHarness::new(first, "ab");
    // The candidates do not answer their probes, so the invocation waits between two pools.
    harness.arrives("low", 1).after(40).arrives("waits", 0);
    let mut changed = settings(vec![operation(Effect::Idempotent), low]);
    changed.may_probe = false;
    harness.after(1).change_settings(changed).after(1).arrives("next", 1);
    harness.expect_trace(expect![[r#"
        1000 follow
        1000 probe a
        1040 probe b
        1041 waits -> b
        1041 low -> a
        1042 next -> b
    "#]]);
}

/// An admin override during a lost subscription must not count as an update from the roster: the dispatcher
/// would not subscribe again.
#[test]
fn local_roster_changes_do_not_end_a_lost_subscription() {
    let mut harness = harness(Effect::Idempotent, "ab");
    harness.roster(Listing::Refused, "", Readiness::Up, None);
    harness.roster(Listing::Local, "a", Readiness::Draining, None);
    harness.after(700).arrives("1", 0);
    harness.expect_trace(expect![[r#"
        1000 follow
        1700 follow
        1700 probe b
        1700 1 -> b
    "#]]);
}

/// High-priority work may use the whole budget, other work at most half of it; an invocation that waits for
/// budget is forwarded once there is some.
#[test]
fn retries_stay_within_the_budget() {
    let mut low = operation(Effect::Idempotent);
    low.billed_value = 0.5;
    let mut settings = settings(vec![operation(Effect::Idempotent), low]);
    settings.retry_budget = Some(RetryBudget { floor: 2.0, share: 0.0, window: 300_000 });
    let mut harness = PolicyHarness::new(settings, "a");
    harness.reports("a", &[9.0, 0.0, 0.0]);
    for (id, op) in [("low1", 1), ("low2", 1), ("high1", 0), ("high2", 0)] {
        harness.arrives(id, op).ends(id, 0, ForwardResult::Errored, &[]);
    }
    harness.after(300).client_leaves("").after(1).client_leaves("");
    harness.expect_trace(expect![[r#"
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

/// Random arrivals, failures, bursts and pauses; the retries and arrivals of every window are counted without
/// the policy's own state.
#[test]
fn no_window_holds_more_retries_than_the_budget_allows() {
    let mut state = 7u64;
    let mut random = |below: u64| {
        state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (state >> 33) % below
    };
    let (window, floor, share) = (400, 3.0, 0.25);
    let mut settings = settings(vec![operation(Effect::Idempotent), operation(Effect::Idempotent)]);
    settings.operations[0].billed_value = 2.0;
    settings.max_forwards = 5;
    settings.retry_budget = Some(RetryBudget { floor, share, window: window * 1000 });
    let mut harness = PolicyHarness::new(settings, "abcdef");
    "abcdef"
        .split("")
        .filter(|runner| !runner.is_empty())
        .for_each(|runner| _ = harness.reports(runner, &[30.0, 0.0, 0.0]));
    let (mut now, mut arrivals) = (1000i64, Vec::new());
    for nth in 0..3000 {
        let pause = if random(100) == 0 { 900 } else { random(12) as i64 };
        now += pause;
        harness.after(pause).arrives(&nth.to_string(), random(2) as usize);
        arrivals.push(now);
        for past in nth - nth.min(6)..=nth {
            if random(3) > 0 {
                let forward = harness.current_forward(&past.to_string());
                let result = if random(2) == 0 { ForwardResult::Succeeded } else { ForwardResult::Void };
                if let Some(forward) = forward {
                    harness.ends(&past.to_string(), forward, result, &[]);
                }
            }
        }
    }
    let retries = harness.retry_times();
    assert!(retries.len() > 100, "too few retries to check the budget: {}", retries.len());
    for at in &retries {
        let retry_count = retries.iter().filter(|other| (at - window..=*at).contains(*other)).count();
        let arrival_count = arrivals.iter().filter(|other| (at - window + 1..=*at).contains(*other)).count();
        assert!(
            retry_count as f64 <= floor + share * arrival_count as f64,
            "{retry_count} retries for {arrival_count} arrivals in the window that ends at {at} ms"
        );
    }
}

/// Found with runners that report no load, answer probes in the order of arrival and continue cancelled jobs:
/// all runners were ejected for slow probes, and moves doubled the work until nothing met its objective.
#[test]
fn where_load_is_unknown_nothing_is_probed_or_moved_and_samples_are_weighted_by_size() {
    let mut settings = settings(vec![operation(Effect::Idempotent)]);
    settings.report_fields.clear();
    (settings.size_source, settings.reports_start) = (SizeSource::Registered, true);
    (settings.cross_zone_is_priced, settings.connections_are_priced) = (true, true);
    let mut harness = PolicyHarness::new(settings, "abcd");
    harness.arrives("1", 0).advance(900);
    harness.expect_trace(expect![[r#"
        1000 follow
        1000 1 -> d
    "#]]);
    harness.list_sizes("a", 8.0);
    harness.list_sizes("b", 4.0);
    harness.list_sizes("cd", 2.0);
    for nth in 0..160 {
        let id = format!("i{nth}");
        harness.arrives(&id, 0).starts(&id, 0).ends(&id, 0, ForwardResult::Succeeded, &[]);
    }
    harness.expect_counts(expect!["a93 b35 c32 probes 0"]);
}

/// Work that waits in a runner's queue reports no progress: a long queue looked like a hang, and each move
/// made two jobs of one, until nothing met its objective.
#[test]
fn where_load_is_unknown_only_started_work_can_be_silent() {
    for starts in [false, true] {
        let mut settings = settings(vec![operation(Effect::Idempotent)]);
        settings.report_fields.clear();
        (settings.size_source, settings.reports_start, settings.progress_interval) =
            (SizeSource::Registered, true, 400_000);
        let mut harness = PolicyHarness::new(settings, "abcd");
        // Jobs take 0.3 s here; four times as long without any report counts as a hang, whatever the job
        // waits for.
        harness.arrives("1", 0).starts("1", 0).ends("1", 0, ForwardResult::Succeeded, &[]);
        harness.arrives("2", 0);
        if starts {
            harness.starts("2", 0);
        }
        harness.advance(900);
        assert_eq!(
            harness.trace().contains("cancel 2 #0"),
            starts,
            "only a started forward is cancelled by now (started: {starts}): {}",
            harness.trace()
        );
        harness.advance(600);
        assert!(harness.trace().contains("cancel 2 #0"));
    }
}

/// Guards against admitting all low-priority work where load is unknown, though most of it starts too late to
/// be useful.
#[test]
fn where_load_is_unknown_late_starts_indicate_a_shortage() {
    for (waits, admitted) in [(100, 40), (900, 17)] {
        let mut settings = settings(vec![operation(Effect::Idempotent), operation(Effect::Idempotent)]);
        settings.report_fields.clear();
        (settings.size_source, settings.reports_start) = (SizeSource::Registered, true);
        settings.operations[0].billed_value = 8.0;
        let mut harness = PolicyHarness::new(settings, "abcd");
        let mut completed = 0;
        for nth in 0..60 {
            let (high, low) = (format!("h{nth}"), format!("l{nth}"));
            harness.arrives(&high, 0).arrives(&low, 1).after(waits);
            for id in [high, low] {
                if harness.current_forward(&id).is_some() {
                    harness.starts(&id, 0).ends(&id, 0, ForwardResult::Succeeded, &[]);
                    completed += u32::from(nth >= 20 && id.starts_with('l'));
                }
            }
        }
        assert_eq!(completed, admitted, "low-priority jobs completed if each waits {waits} ms to start");
    }
}
