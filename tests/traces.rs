//! Short traces of decisions, one for the ordinary path, one for each rule and one for each failure found.

mod helper;

use expect_test::expect;
use helper::{Desk, operation, orders};
use topazsail::{Budget, Effect, Ending, Group, Listing, Readiness, Sizes, StandingOrders};

const IDLE: [f64; 3] = [2.0, 0.0, 0.0];
const BUSY: [f64; 3] = [1.0, 0.0, 1.0];
const FULL: [f64; 3] = [0.0, 2.0, 4.0];

fn desk(effect: Effect, runners: &str) -> Desk {
    idle(orders(vec![operation(effect)]), runners)
}

/// A dispatcher that has heard from each runner that it holds nothing.
fn idle(orders: StandingOrders, runners: &str) -> Desk {
    let mut desk = Desk::new(orders, runners);
    for tgt in runners.split("").filter(|tgt| !tgt.is_empty()) {
        desk.reports(tgt, &IDLE);
    }
    desk
}

#[test]
fn a_low_invocation_goes_to_the_least_loaded_and_counts_drop_at_every_outcome() {
    let mut desk = desk(Effect::Idempotent, "ab");
    desk.reports("a", &BUSY).arrives("1", 0).arrives("2", 0).arrives("3", 0);
    desk.after(100).ends("1", 0, Ending::Succeeded, &[]).arrives("4", 0);
    desk.shows(expect![[r#"
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
    desk.passes(600);
    desk.after(4400).ends("1", 0, Ending::TimedOut, &[]);
    desk.shows(expect![[r#"
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
    let mut desk = desk(Effect::NonIdempotent, "ab");
    desk.reports("b", &BUSY).arrives("1", 0);
    desk.ends("1", 0, Ending::Overloaded, &FULL).ends("1", 1, Ending::Errored, &IDLE);
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
    desk.reports("b", &BUSY).reports("c", &BUSY).reports("d", &BUSY).arrives("1", 0);
    desk.reports("b", &IDLE).reports("d", &IDLE).ends("1", 0, Ending::Errored, &FULL);
    desk.after(3100).ends("1", 1, Ending::Errored, &IDLE);
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
    desk.roster(Listing::Changes, "a", Readiness::Draining, None);
    desk.arrives("1", 0).arrives("2", 0);
    desk.roster(Listing::All, "b", Readiness::Up, None);
    desk.arrives("3", 0).arrives("4", 0).arrives("5", 0);
    desk.roster(Listing::Refused, "", Readiness::Up, None);
    desk.passes(600);
    desk.shows(expect![[r#"
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
    let mut desk = desk(Effect::Idempotent, "ab");
    desk.roster(Listing::Changes, "a", Readiness::Removed, None);
    desk.roster(Listing::Changes, "b", Readiness::Up, Some(1_000_000));
    desk.arrives("1", 0).arrives("2", 0).passes(400);
    desk.after(2000).ends("1", 0, Ending::Succeeded, &IDLE);
    desk.after(5000).arrives("3", 0).arrives("4", 0);
    desk.shows(expect![[r#"
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
    let mut desk = desk(Effect::NonIdempotent, "ab");
    desk.reports("b", &FULL);
    for inv in ["1", "2", "3"] {
        desk.arrives(inv, 0).after(10).ends(inv, 0, Ending::Errored, &IDLE);
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
        1530 probe a
        1530 4 -> a
    "#]]);
}

#[test]
fn a_runner_without_progress_is_left_and_its_work_moved() {
    let mut desk = desk(Effect::Idempotent, "ab");
    desk.reports("b", &FULL).arrives("1", 0).reports("b", &IDLE).passes(1500);
    desk.ends("1", 0, Ending::Withdrawn, &[]);
    desk.shows(expect![[r#"
        1000 follow
        1000 1 -> a
        2500 cancel 1 #0
        2500 probe b
        2500 1 -> b
    "#]]);
}

#[test]
fn a_runner_once_full_is_tried_again_when_its_report_is_old() {
    let mut orders = orders(vec![operation(Effect::Idempotent)]);
    orders.may_probe = false;
    let mut desk = Desk::new(orders, "a");
    desk.arrives("0", 0).after(300).ends("0", 0, Ending::Succeeded, &[0.0, 6.0, 8.0]);
    desk.arrives("soon", 0).passes(60_000).arrives("later", 0);
    desk.shows(expect![[r#"
        1000 follow
        1000 0 -> a
        1800 throttle soon, back in Some(500000)
        61300 later -> a
    "#]]);
}

#[test]
fn late_work_waits_behind_what_can_still_be_in_time() {
    let mut late = operation(Effect::Idempotent);
    late.late_share = 0.5;
    let mut desk = Desk::new(orders(vec![late]), "a");
    desk.reports("a", &IDLE).arrives("1", 0).arrives("2", 0).arrives("old", 0).passes(600);
    desk.arrives("new", 0).ends("1", 0, Ending::Succeeded, &BUSY);
    desk.shows(expect![[r#"
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
    let mut desk = desk(Effect::Idempotent, "ab");
    desk.reports("b", &BUSY);
    for inv in ["1", "2", "3"] {
        desk.arrives(inv, 0).ends(inv, 0, Ending::Overloaded, &IDLE);
        desk.ends(inv, 1, Ending::Overloaded, &IDLE);
    }
    desk.after(400).reports("a", &FULL).reports("b", &BUSY).arrives("4", 0).arrives("5", 0);
    desk.after(400).arrives("6", 0);
    desk.shows(expect![[r#"
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
    let mut desk = desk(Effect::Idempotent, "abcdef");
    for inv in ["1", "2", "3", "4", "5", "6"] {
        desk.arrives_with(inv, 0, Some("catalogue"));
    }
    desk.shows(expect![[r#"
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
        let mut desk = desk(Effect::Idempotent, "abcdefgh");
        for nth in 0..60 {
            let (inv, other) = (nth.to_string(), format!("other {nth}"));
            desk.arrives_with(&inv, 0, Some(if nth % every == 0 { key } else { &other }));
            desk.ends(&inv, 0, Ending::Succeeded, &IDLE);
        }
        desk.counts();
        for nth in 60..80 {
            let inv = nth.to_string();
            desk.arrives_with(&inv, 0, Some(key)).ends(&inv, 0, Ending::Succeeded, &IDLE);
        }
        shown += &format!("{key}: {}\n", desk.counts());
    }
    expect![[r#"
        rare: a6 c2 g12 
        popular: a2 b3 c2 d1 f3 g6 h3 
    "#]]
    .assert_eq(&shown);
}

#[test]
fn low_work_is_let_in_by_the_share_of_probes_that_find_a_free_slot() {
    let mut desk = Desk::new(two_tiers(), "ab");
    for _ in 0..80 {
        desk.reports("a", &FULL);
    }
    desk.reports("b", &IDLE).arrives("low1", 0).arrives("low2", 0).arrives("high", 1);
    for _ in 0..80 {
        desk.reports("b", &IDLE);
    }
    desk.arrives("low3", 0);
    desk.shows(expect![[r#"
        1000 follow
        1000 throttle low1, back in Some(500000)
        1000 throttle low2, back in Some(500000)
        1000 high -> b
        1000 low3 -> b
    "#]]);
}

/// Operation 1 is high.
fn two_tiers() -> StandingOrders {
    let mut high = operation(Effect::Idempotent);
    high.billed_value = 5.0;
    orders(vec![operation(Effect::Idempotent), high])
}

#[test]
fn in_a_shortage_cold_runners_come_first_within_their_budget() {
    let mut shown = String::new();
    for word in [IDLE, FULL] {
        let mut desk = Desk::new(two_tiers(), "abc");
        desk.roster(Listing::Changes, "d", Readiness::Up, Some(0));
        (0..40).for_each(|_| _ = desk.reports("b", &word).reports("c", &word));
        desk.reports("a", &IDLE).reports("d", &IDLE).counts();
        shown += &format!("{}\n", desk.arrives("high", 1).counts());
    }
    expect![[r#"
        a1 
        d1 
    "#]]
    .assert_eq(&shown);
}

#[test]
fn a_full_runner_whose_report_is_noisy_has_no_slot_free() {
    let mut desk = Desk::new(orders(vec![operation(Effect::Idempotent)]), "a");
    desk.reports("a", &[3.0, 0.0, 0.0]).after(100).reports("a", &[0.0, 0.0, 2.97]).arrives("low", 0);
    desk.passes(100).reports("a", &[1.0, 0.0, 1.97]).passes(100);
    desk.shows(expect![[r#"
        1000 follow
        1160 probe a
        1220 low -> a
    "#]]);
}

#[test]
fn while_reports_are_late_forwards_taken_tell_how_much_low_work_is_let_in() {
    let mut desk = idle(two_tiers(), "abcdefgh");
    for nth in ["1", "2", "3"] {
        desk.arrives(nth, 1);
        (0..3).for_each(|forward| _ = desk.ends(nth, forward, Ending::Overloaded, &IDLE));
    }
    ["low1", "low2", "low3", "low4"].iter().for_each(|inv| _ = desk.arrives(inv, 0));
    for nth in ["5", "6", "7", "8", "9"] {
        desk.after(400).arrives(nth, 1).ends(nth, 0, Ending::Succeeded, &IDLE);
    }
    desk.arrives("low5", 0).arrives("low6", 0);
    desk.shows(expect![[r#"
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
    late.late_share = 0.5;
    let mut desk = Desk::new(orders(vec![late]), "a");
    desk.reports("a", &BUSY).arrives("first", 0).repeats("repeat", 0).arrives("new", 0);
    desk.passes(200).reports("a", &IDLE).ends("first", 0, Ending::Succeeded, &BUSY);
    desk.passes(400);
    desk.shows(expect![[r#"
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
        let mut orders = orders(vec![operation(Effect::Idempotent)]);
        // Nobody tells what the runner holds.
        (orders.dispatchers, orders.number, orders.may_probe) = (40, number, false);
        let mut desk = Desk::new(orders, "a");
        desk.roster(Listing::Changes, "a", Readiness::Up, Some(1_000_000));
        desk.reports("a", &IDLE).passes(3_000);
        for nth in ["1", "2", "3", "4"] {
            desk.arrives_with(nth, 0, Some(nth));
        }
        let counts = desk.counts();
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
            let mut orders = orders(vec![operation(Effect::Idempotent)]);
            (orders.dispatchers, orders.number, orders.may_probe) = (40, number, false);
            orders.portioned = true;
            let mut desk = Desk::new(orders, "a");
            desk.roster(Listing::Changes, "a", Readiness::Up, Some(1_000_000));
            desk.reports("a", &IDLE).passes(3_000);
            if let Some(share) = told {
                desk.portion("a", share, 500);
            }
            desk.after(after);
            for nth in ["1", "2", "3", "4"] {
                desk.arrives_with(nth, 0, Some(nth));
            }
            shown += &format!("{told:?} after {after} ms, dispatcher {number}: {}\n", desk.counts());
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
fn proves(desk: &mut Desk, times: u32) {
    desk.roster(Listing::Changes, "z", Readiness::Up, None);
    desk.reports("z", &IDLE).arrives("p", 0).after(200);
    (0..times).for_each(|_| _ = desk.reports("z", &[1.0, 0.0, 1.0]));
    desk.gone("p");
    desk.roster(Listing::Changes, "z", Readiness::Removed, None);
    desk.counts();
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
        let mut orders = orders(vec![operation(Effect::Idempotent)]);
        (orders.dispatchers, orders.number) = (40, 0);
        let mut desk = Desk::new(orders, "");
        proves(&mut desk, proofs);
        desk.roster(Listing::Changes, "a", Readiness::Up, Some(launched));
        desk.reports("a", &word).after(200).arrives("1", 0).arrives("2", 0);
        shown += &format!("{}\n", desk.counts());
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
        let mut orders = orders(vec![operation(Effect::Idempotent)]);
        orders.connecting_costs = connecting_costs;
        let mut desk = idle(orders, "abcdefgh");
        for nth in 0..40 {
            let inv = nth.to_string();
            desk.arrives(&inv, 0).ends(&inv, 0, Ending::Succeeded, &IDLE);
        }
        shown += &format!("{}\n", desk.counts());
    }
    expect![[r#"
        a40 
        a3 b7 c7 d1 e10 f5 g4 h3 
    "#]]
    .assert_eq(&shown);
}

#[test]
fn a_runner_of_the_own_zone_comes_first_where_a_crossing_is_priced() {
    let mut orders = orders(vec![operation(Effect::Idempotent)]);
    orders.crossing_costs = true;
    let mut desk = Desk::new(orders, "abcd");
    for tgt in ["a", "b", "c", "d"] {
        desk.reports(tgt, if tgt == "a" { &BUSY } else { &IDLE });
    }
    for inv in ["1", "2", "3", "4"] {
        desk.arrives(inv, 0);
    }
    desk.shows(expect![[r#"
        1000 follow
        1000 1 -> c
        1000 2 -> c
        1000 3 -> a
        1000 4 -> b
    "#]]);
}

#[test]
fn a_draw_that_does_not_answer_its_probe_is_passed_over() {
    let mut desk = Desk::new(orders(vec![operation(Effect::Idempotent)]), "ab");
    desk.reports("a", &BUSY).after(100).arrives("1", 0).passes(40);
    desk.shows(expect![[r#"
        1000 follow
        1100 probe a
        1100 probe b
        1130 1 -> a
    "#]]);
}

#[test]
fn a_free_slot_behind_a_waiting_job_is_no_sign_of_late_reports() {
    let blocked = [1.0, 1.0, 2.0];
    let mut desk = desk(Effect::Idempotent, "ab");
    for inv in ["1", "2", "3"] {
        desk.arrives(inv, 0).ends(inv, 0, Ending::Overloaded, &blocked);
        desk.ends(inv, 1, Ending::Overloaded, &blocked);
    }
    desk.after(600).arrives("4", 0);
    desk.shows(expect![[r#"
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
    let mut desk = desk(Effect::Idempotent, "ab");
    desk.reports("b", &FULL).arrives("1", 0).after(5).ends("1", 0, Ending::Broken, &[]);
    desk.after(5).ends("1", 1, Ending::Succeeded, &[]);
    desk.after(5).arrives("2", 0).after(5).ends("2", 0, Ending::Broken, &[]);
    desk.shows(expect![[r#"
        1000 follow
        1000 1 -> a
        1005 1 -> a
        1015 2 -> a
    "#]]);
}

/// Runners that tell of starts, in a list whose sizes move with load.
fn listed(mut orders: StandingOrders, runners: &str) -> Desk {
    (orders.sizes, orders.tells_start) = (Sizes::Live, true);
    idle(orders, runners)
}

/// Four runners of one kind, at rest first; `d` is listed as full.
fn live(orders: StandingOrders) -> Desk {
    let mut desk = listed(orders, "abcd");
    desk.sizes("abc", 2.0);
    desk.sizes("d", 0.2);
    desk
}

#[test]
fn sizes_that_move_with_load_are_the_reports_and_nobody_is_probed_for_load() {
    let mut desk = live(orders(vec![operation(Effect::Idempotent)]));
    for _ in 0..30 {
        desk.sizes("abc", 1.9);
        desk.sizes("d", 0.2);
    }
    (0..200).for_each(|nth| {
        let inv = nth.to_string();
        desk.arrives(&inv, 0).starts(&inv, 0).ends(&inv, 0, Ending::Succeeded, &[]);
    });
    // Seldom, but not never: what is listed is old.
    desk.shows_counts(expect!["a63 b64 c73 probes 0"]);
}

#[test]
fn what_has_not_begun_moves_unless_it_may_have_to_run_once() {
    let mut desk = live(orders(vec![operation(Effect::Idempotent), operation(Effect::NonIdempotent)]));
    desk.arrives("free", 0).arrives("once", 1).arrives("begun", 0).starts("begun", 0);
    // Longer for the first forwards, which open connections; by then both have been on their way in time.
    desk.passes(450).ends("free", 0, Ending::Withdrawn, &[]).passes(200);
    desk.shows(expect![[r#"
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
    let mut desk = live(orders(vec![operation(Effect::Idempotent)]));
    let invs = ["1", "2", "3", "4", "5", "6", "7", "8"];
    invs.iter().for_each(|inv| _ = desk.arrives(inv, 0).starts(inv, 0));
    invs.iter().for_each(|inv| _ = desk.ends(inv, 0, Ending::Succeeded, &[]));
    desk.after(10);
    desk.shows_counts(expect!["a3 b2 c2 d1 probes 0"]);
    desk.arrives("moves", 0).passes(200).ends("moves", 0, Ending::Withdrawn, &[]);
    desk.shows(expect![[r#"
        1010 moves -> c
        1176 cancel moves #0
        1210 moves -> a
    "#]]);
}

#[test]
fn billed_value_says_who_is_high_before_objectives_do() {
    let (mut dear, mut tight) = (operation(Effect::Idempotent), operation(Effect::Idempotent));
    (dear.billed_value, tight.latency_objective) = (12.0, 250_000);
    let mut desk = live(orders(vec![dear, tight]));
    // A forward is turned away, so low work is let in by a small chance only: the dear one is high.
    desk.arrives("full", 0).ends("full", 0, Ending::Overloaded, &[]).gone("full");
    for nth in 0..5 {
        desk.arrives(&format!("dear{nth}"), 0).arrives(&format!("tight{nth}"), 1);
    }
    desk.shows(expect![[r#"
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
    let mut desk = idle(orders(vec![operation(Effect::Idempotent)]), "a");
    desk.after(1).roster(Listing::Changes, "a", Readiness::Up, Some(0));
    desk.hinted("light", 0, 100_000).hinted("heavy", 0, 20_000_000);
    desk.passes(100);
    desk.shows(expect![[r#"
        1000 follow
        1001 probe a
        1001 light -> a
    "#]]);
}

#[test]
fn an_objective_grows_by_what_the_stretch_leaves_beyond_the_work() {
    let mut op = operation(Effect::NonIdempotent);
    op.stretch = 2.5;
    let mut desk = Desk::new(orders(vec![op]), "");
    desk.hinted("light", 0, 1_000).hinted("heavy", 0, 1_000_000);
    desk.passes(2_000);
    desk.shows(expect![[r#"
        1000 follow
        1501 throttle light, back in Some(500000)
        2500 throttle heavy, back in Some(500000)
    "#]]);
}

#[test]
fn slow_dials_bring_connections_first() {
    let mut desk = listed(orders(vec![operation(Effect::Idempotent)]), "abcdefghijkl");
    desk.sizes("abcdefghijkl", 2.0);
    // All of these open connections, and take long to.
    let invs = ["1", "2", "3", "4", "5", "6"];
    invs.iter().for_each(|inv| _ = desk.arrives(inv, 0));
    desk.after(300);
    invs.iter().for_each(|inv| _ = desk.starts(inv, 0).ends(inv, 0, Ending::Succeeded, &[]));
    desk.shows_counts(expect!["d1 f1 g1 i1 j1 l1 probes 0"]);
    for nth in 0..20 {
        let inv = format!("kept{nth}");
        desk.arrives(&inv, 0).starts(&inv, 0).ends(&inv, 0, Ending::Succeeded, &[]);
    }
    desk.shows_counts(expect!["d3 f4 g3 i8 j2 probes 0"]);
}

#[test]
fn a_slow_dial_sets_no_runner_aside_that_has_shown_life_since() {
    let mut desk = listed(orders(vec![operation(Effect::Idempotent)]), "a");
    desk.sizes("a", 2.0);
    desk.arrives("first", 0).after(300).starts("first", 0).ends("first", 0, Ending::Succeeded, &[]);
    desk.after(100).arrives("slow", 0).ends("slow", 0, Ending::Unreachable, &[]);
    desk.shows(expect![[r#"
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
    let mut desk = live(orders(vec![dear, operation(Effect::Idempotent)]));
    desk.arrives("low", 1).ends("low", 0, Ending::Overloaded, &[]);
    desk.arrives("high", 0).ends("high", 0, Ending::Overloaded, &[]);
    desk.shows(expect![[r#"
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
    let mut desk = desk(Effect::Idempotent, "a");
    desk.arrives("under way", 0).arrives("waits", 0).ends("waits", 0, Ending::Overloaded, &FULL);
    let was = topazsail::Operation { in_use: false, ..operation(Effect::Idempotent) };
    let mut stricter = orders(vec![was, operation(Effect::NonIdempotent)]);
    stricter.most_forwards = 1;
    desk.after(10).retuned(stricter);
    desk.after(10).ends("under way", 0, Ending::Errored, &[]);
    desk.after(1000).arrives("new", 1).ends("new", 0, Ending::Errored, &[]);
    desk.shows(expect![[r#"
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
    let mut desk = idle(orders(vec![operation(Effect::Idempotent), low.clone()]), "a");
    desk.arrives("low", 1);
    low.billed_value = 5.0;
    desk.retuned(orders(vec![operation(Effect::Idempotent), low]));
    desk.ends("low", 0, Ending::Succeeded, &[]).arrives("next", 1);
    desk.shows(expect![[r#"
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
    let mut first = orders(vec![operation(Effect::Idempotent), low.clone()]);
    (first.crossing_costs, first.connecting_costs) = (true, true);
    let mut desk = Desk::new(first, "ab");
    // Its draws do not answer their probes, so it waits between two pools.
    desk.arrives("low", 1).after(40).arrives("waits", 0);
    let mut then = orders(vec![operation(Effect::Idempotent), low]);
    then.may_probe = false;
    desk.after(1).retuned(then).after(1).arrives("next", 1);
    desk.shows(expect![[r#"
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
    let mut desk = desk(Effect::Idempotent, "ab");
    desk.roster(Listing::Refused, "", Readiness::Up, None);
    desk.roster(Listing::Own, "a", Readiness::Draining, None);
    desk.after(700).arrives("1", 0);
    desk.shows(expect![[r#"
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
    let mut orders = orders(vec![operation(Effect::Idempotent), low]);
    orders.budget = Some(Budget { floor: 2.0, share: 0.0, window: 300_000 });
    let mut desk = Desk::new(orders, "a");
    desk.reports("a", &[9.0, 0.0, 0.0]);
    for (inv, op) in [("low1", 1), ("low2", 1), ("high1", 0), ("high2", 0)] {
        desk.arrives(inv, op).ends(inv, 0, Ending::Errored, &[]);
    }
    desk.after(300).gone("").after(1).gone("");
    desk.shows(expect![[r#"
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
    let mut orders = orders(vec![operation(Effect::Idempotent), operation(Effect::Idempotent)]);
    orders.operations[0].billed_value = 2.0;
    orders.most_forwards = 5;
    orders.budget = Some(Budget { floor, share, window: window * 1000 });
    let mut desk = Desk::new(orders, "abcdef");
    "abcdef".split("").filter(|tgt| !tgt.is_empty()).for_each(|tgt| _ = desk.reports(tgt, &[30.0, 0.0, 0.0]));
    let (mut now, mut taken) = (1000i64, Vec::new());
    for nth in 0..3000 {
        let pause = if chance(100) == 0 { 900 } else { chance(12) as i64 };
        now += pause;
        desk.after(pause).arrives(&nth.to_string(), chance(2) as usize);
        taken.push(now);
        for past in nth - nth.min(6)..=nth {
            if chance(3) > 0 {
                let forward = desk.forwards(&past.to_string());
                let ending = if chance(2) == 0 { Ending::Succeeded } else { Ending::Void };
                if let Some(forward) = forward {
                    desk.ends(&past.to_string(), forward, ending, &[]);
                }
            }
        }
    }
    let further = desk.further();
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
    let mut orders = orders(vec![operation(Effect::Idempotent)]);
    orders.report_fields.clear();
    (orders.sizes, orders.tells_start) = (Sizes::Registered, true);
    (orders.crossing_costs, orders.connecting_costs) = (true, true);
    let mut desk = Desk::new(orders, "abcd");
    desk.arrives("1", 0).passes(900);
    desk.shows(expect![[r#"
        1000 follow
        1000 1 -> d
    "#]]);
    desk.sizes("a", 8.0);
    desk.sizes("b", 4.0);
    desk.sizes("cd", 2.0);
    for nth in 0..160 {
        let inv = format!("i{nth}");
        desk.arrives(&inv, 0).starts(&inv, 0).ends(&inv, 0, Ending::Succeeded, &[]);
    }
    desk.shows_counts(expect!["a93 b35 c32 probes 0"]);
}

/// Work that has not begun owes no progress where it waits unseen in a runner's queue: a long queue looked like a hang,
/// and each move made two jobs of one, until nothing was in time.
#[test]
fn where_no_load_is_told_only_what_has_begun_can_fall_silent() {
    for begins in [false, true] {
        let mut orders = orders(vec![operation(Effect::Idempotent)]);
        orders.report_fields.clear();
        (orders.sizes, orders.tells_start, orders.progress) = (Sizes::Registered, true, 400_000);
        let mut desk = Desk::new(orders, "abcd");
        // Jobs take 0.3 s here; four times as long without a word is a hang whatever it waits for.
        desk.arrives("1", 0).starts("1", 0).ends("1", 0, Ending::Succeeded, &[]);
        desk.arrives("2", 0);
        if begins {
            desk.starts("2", 0);
        }
        desk.passes(900);
        assert_eq!(desk.trace().contains("cancel 2 #0"), begins, "{}", desk.trace());
        desk.passes(600);
        assert!(desk.trace().contains("cancel 2 #0"));
    }
}

/// Where no load is told nothing was turned away, though most began too late to be of use.
#[test]
fn where_no_load_is_told_late_beginnings_tell_a_shortage() {
    for (waits, let_in) in [(100, 40), (900, 17)] {
        let mut orders = orders(vec![operation(Effect::Idempotent), operation(Effect::Idempotent)]);
        orders.report_fields.clear();
        (orders.sizes, orders.tells_start) = (Sizes::Registered, true);
        orders.operations[0].billed_value = 8.0;
        let mut desk = Desk::new(orders, "abcd");
        let mut taken = 0;
        for nth in 0..60 {
            let (high, low) = (format!("h{nth}"), format!("l{nth}"));
            desk.arrives(&high, 0).arrives(&low, 1).after(waits);
            for inv in [high, low] {
                if desk.forwards(&inv).is_some() {
                    desk.starts(&inv, 0).ends(&inv, 0, Ending::Succeeded, &[]);
                    taken += u32::from(nth >= 20 && inv.starts_with('l'));
                }
            }
        }
        assert_eq!(taken, let_in, "{waits}");
    }
}
