use super::*;

/// Judges a sequence of observations of one invocation; `text` adds settings of its operation. The tests
/// break each rule in the smallest way and compare with the same sequence without the violation.
fn verdict(text: &str, seen: &[(Micros, Observation)]) -> Verdict {
    verdict_with_delay(0, text, seen)
}

/// The same with observations that are late by `delay` microseconds.
fn verdict_with_delay(delay: Micros, text: &str, seen: &[(Micros, Observation)]) -> Verdict {
    let base = r#"
            name = "t"
            length = "10s"
            dispatchers = 1
            [clients]
            load = 0.5
            [[pool]]
            kind = "a"
            count = 4
            slots = 1
            queue = 1
            [[operation]]
            name = "op"
            work = "100ms"
            latency-objective = "1s"
            client-timeout = "5s"
        "#;
    let scenario = Scenario::parse("t", &format!("{base}{text}")).unwrap();
    let locations = vec![(0, 0), (1, 1), (0, 0), (1, 1)];
    let mut judge = Judge::new(JudgeParameters::of(&scenario, locations, 0, 0));
    judge.observation_delay = delay;
    judge.observe(0, Observation::Taken { inv: 1, dispatcher: 0, operation: 0, expires_at: 5_000_000 });
    for (at, seen) in seen {
        judge.observe(*at, seen.clone());
    }
    judge.finish(60_000_000);
    judge.verdict
}

fn sent(at: Micros, runner: u32) -> (Micros, Observation) {
    (at, Observation::Forwarded { inv: 1, dispatcher: 0, runner, work: 100_000.0, cold: None })
}

fn ended(at: Micros, runner: u32, how: ForwardEnd) -> (Micros, Observation) {
    (at, Observation::Ended { inv: 1, runner, how })
}

fn answered(at: Micros, how: FinalStatus) -> (Micros, Observation) {
    (at, Observation::Answered { inv: 1, how })
}

const DEDUPLICATED_IN_ZONE: &str = "effect = \"deduplicated\"\ngroup = \"zone\"\nmemory-span = \"3s\"";
const NON_IDEMPOTENT: &str = "effect = \"non-idempotent\"";

fn broken_rules(verdict: &Verdict) -> Vec<Rule> {
    verdict.violations.keys().copied().collect()
}

#[test]
fn one_answer_in_time_and_nothing_after_it() {
    let good = [sent(10, 0), ended(20, 0, ForwardEnd::Succeeded), answered(20, FinalStatus::Succeeded)];
    assert!(verdict("", &good).is_clean());
    for bad in [
        vec![],
        vec![answered(5_000_001, FinalStatus::Errored)],
        vec![answered(20, FinalStatus::Errored), answered(30, FinalStatus::Errored)],
        vec![answered(20, FinalStatus::Throttled), sent(21, 0)],
        vec![(9, Observation::Forged { inv: 1 }), answered(20, FinalStatus::Succeeded)],
    ] {
        assert_eq!(broken_rules(&verdict("", &bad)), [Rule::OneAnswer], "{bad:?}");
    }
    let killed = verdict("", &[sent(10, 0), (20, Observation::Lost { inv: 1 })]);
    assert!(killed.is_clean() && killed.lost_by_kill == 1);
}

#[test]
fn late_observations_are_not_held_against_a_dispatcher() {
    let clean = |delay| {
        let late = answered(5_100_000, FinalStatus::Errored);
        verdict_with_delay(delay, "", &[late]).is_clean()
    };
    assert!(clean(100_000) && !clean(99_999));
}

#[test]
fn no_effect_twice() {
    let end = answered(900, FinalStatus::Errored);
    let throttled = answered(900, FinalStatus::Throttled);
    let never =
        [sent(10, 0), ended(20, 0, ForwardEnd::NeverRan), sent(30, 1), ended(40, 1, ForwardEnd::NeverRan)];
    let perhaps = [sent(10, 0), ended(20, 0, ForwardEnd::MayHaveRun)];
    let clean = |text, seen: &[(Micros, Observation)], end: &(Micros, Observation)| {
        verdict(text, &[seen, std::slice::from_ref(end)].concat()).is_clean()
    };
    assert!(clean(NON_IDEMPOTENT, &never, &throttled));
    assert!(!clean(NON_IDEMPOTENT, &perhaps, &throttled));
    assert!(clean(NON_IDEMPOTENT, &perhaps, &end));
    assert!(!clean(NON_IDEMPOTENT, &[&perhaps[..], &[sent(30, 1)]].concat(), &end));
    // A cancelled forward may have run, but it is no longer in flight.
    let withdrawn = [sent(10, 0), (20, Observation::Withdrawn { inv: 1, runner: 0 }), sent(30, 1)];
    assert!(!clean(NON_IDEMPOTENT, &withdrawn, &end) && clean("", &withdrawn, &end));
    assert!(!clean("", &[sent(10, 0), sent(30, 1)], &end), "a second forward while the first is in flight");
    assert!(clean(DEDUPLICATED_IN_ZONE, &[&perhaps[..], &[sent(30, 2)]].concat(), &end));
    assert!(
        !clean(DEDUPLICATED_IN_ZONE, &[&perhaps[..], &[sent(30, 1)]].concat(), &end),
        "a repeat outside the zone"
    );
    let after = answered(4_000_000, FinalStatus::Errored);
    assert!(
        !clean(DEDUPLICATED_IN_ZONE, &[&perhaps[..], &[sent(3_000_011, 2)]].concat(), &after),
        "a repeat after the memory span"
    );
    let ran = |runner| (50, Observation::Ran { inv: 1, runner });
    assert!(!clean(DEDUPLICATED_IN_ZONE, &[ran(0), ran(1)], &end) && clean("", &[ran(0), ran(1)], &end));
}

#[test]
fn nothing_is_forwarded_to_a_runner_past_the_drain_grace() {
    let notified = |wanted| (100, Observation::Told { dispatcher: 0, runner: 0, wanted });
    let end = answered(900_000, FinalStatus::Errored);
    assert!(verdict("", &[notified(false), sent(500_100, 0), end.clone()]).is_clean());
    let late = verdict("", &[notified(false), sent(500_101, 0), end.clone()]);
    assert_eq!(broken_rules(&late), [Rule::NothingToDraining]);
    assert!(verdict("", &[notified(false), notified(true), sent(800_000, 0), end.clone()]).is_clean());
    // Not notified, but listed for longer than the notification deadline.
    let listed = (-12_000_000, Observation::Listed { runner: 0, wanted: false, launched: None });
    assert_eq!(broken_rules(&verdict("", &[listed, sent(800_000, 0), end])), [Rule::NothingToDraining]);
}

#[test]
fn a_suspended_dispatcher_is_excused_for_that_time_only() {
    let still = |at, still| (at, Observation::Still { dispatcher: 0, still });
    let notified = (1_500_000, Observation::Told { dispatcher: 0, runner: 0, wanted: false });
    let late = answered(6_000_000, FinalStatus::Errored);
    assert!(verdict("", &[still(1_000_000, true), still(5_500_000, false), late.clone()]).is_clean());
    // It resumed early enough to answer in time.
    let early = verdict("", &[still(1_000_000, true), still(4_000_000, false), late]);
    assert_eq!(broken_rules(&early), [Rule::OneAnswer]);
    let suspended = [still(1_000_000, true), notified, still(2_000_000, false)];
    let end = answered(4_000_000, FinalStatus::Errored);
    let clean = |at| verdict("", &[&suspended[..], &[sent(at, 0), end.clone()]].concat()).is_clean();
    assert!(clean(2_400_000) && !clean(2_600_000));
}

#[test]
fn a_confirmed_override_holds_over_a_restart() {
    let hand = |at, out| (at, Observation::Hand { dispatcher: 0, runner: 0, out });
    let began = (200, Observation::Began { dispatcher: 0 });
    let end = answered(900, FinalStatus::Errored);
    let broken = |seen: &[(Micros, Observation)]| {
        broken_rules(&verdict("", &[seen, std::slice::from_ref(&end)].concat()))
    };
    assert_eq!(broken(&[hand(100, Some(true)), began.clone(), sent(300, 0)]), [Rule::HandHolds]);
    assert_eq!(broken(&[hand(100, Some(true)), sent(300, 1)]), []);
    for back in [Some(false), None] {
        assert_eq!(broken(&[hand(100, Some(true)), hand(150, back), sent(300, 0)]), []);
    }
    let forgets = (200, Observation::Forgets { dispatcher: 0 });
    assert_eq!(broken(&[hand(100, Some(true)), forgets, sent(300, 0)]), []);
}

#[test]
fn boot_numbers_rise_and_nothing_is_forwarded_without_a_roster() {
    let boot = |boot| (10, Observation::Boot { dispatcher: 0, boot });
    let began = (20, Observation::Began { dispatcher: 0 });
    let end = answered(900, FinalStatus::Errored);
    let broken = |seen: &[(Micros, Observation)]| {
        broken_rules(&verdict("", &[seen, std::slice::from_ref(&end)].concat()))
    };
    assert_eq!(broken(&[boot(3), boot(3), began.clone(), boot(4)]), []);
    assert_eq!(broken(&[boot(3), began.clone(), boot(3)]), [Rule::BootRises]);
    assert_eq!(broken(&[boot(3), began.clone(), began.clone(), boot(2)]), [Rule::BootRises]);
    assert_eq!(broken(&[boot(3), boot(2)]), [Rule::BootRises]);
    let unlisted = |asked| (500, Observation::Unlisted { dispatcher: 0, asked });
    assert_eq!(broken(&[sent(300, 0), unlisted(400)]), [Rule::NotBeforeListed]);
    assert_eq!(broken(&[sent(300, 0), unlisted(200)]), []);
    assert_eq!(broken(&[sent(300, 0), (350, Observation::Began { dispatcher: 0 }), unlisted(400)]), []);
}

/// The budget of 3 x 0.2 x 2 s is twelve calls of the mean 100 ms: 20 calls are within the call limit, 21
/// are not, however short they are.
#[test]
fn cold_runners_are_sent_no_more_calls_than_the_call_limit() {
    let sent = |count: i64, notified: bool| {
        let mut seen = vec![(5, Observation::Listed { runner: 0, wanted: true, launched: Some(5) })];
        seen.extend(notified.then_some((6, Observation::Told { dispatcher: 0, runner: 0, wanted: true })));
        for nth in 0..count {
            let (inv, at, work) = (1, 10 + 2 * nth, 1000.0);
            let forwarded = Observation::Forwarded { inv, dispatcher: 0, runner: 0, work, cold: Some(0.2) };
            seen.extend([(at, forwarded), (at + 1, ended(11, 0, ForwardEnd::NeverRan).1)]);
        }
        seen.push(answered(900, FinalStatus::Throttled));
        broken_rules(&verdict("", &seen))
    };
    assert_eq!(sent(20, true), []);
    assert_eq!(sent(21, true), [Rule::ColdBudget]);
    assert_eq!(sent(21, false), []);
}

#[test]
fn cold_runners_are_sent_no_more_work_than_their_budget() {
    let listed = (5, Observation::Listed { runner: 0, wanted: true, launched: Some(5) });
    let notified = (6, Observation::Told { dispatcher: 0, runner: 0, wanted: true });
    // The budget of 3 x 0.2 x 2 s is 1.2 s of work; 1.38 s with the tolerance for random lengths.
    let send = |nth: i64, work: f64| {
        let (inv, at) = (1, 10 + nth);
        (at, Observation::Forwarded { inv, dispatcher: 0, runner: 0, work, cold: Some(0.2) })
    };
    let rejected = ended(11, 0, ForwardEnd::NeverRan);
    let flood = |work: f64, notified: &[(Micros, Observation)]| {
        let mut seen = notified.to_vec();
        for nth in 0..5 {
            seen.extend([send(nth * 2, work), (11 + nth * 2, rejected.1.clone())]);
        }
        seen.push(answered(900, FinalStatus::Throttled));
        broken_rules(&verdict("", &seen))
    };
    assert_eq!(flood(300_000.0, &[listed.clone(), notified.clone()]), [Rule::ColdBudget]);
    assert_eq!(flood(270_000.0, &[listed.clone(), notified]), []);
    // A dispatcher that was not notified of the start is not at fault.
    assert_eq!(flood(300_000.0, &[listed]), []);
}

#[test]
fn a_runner_gets_no_later_deadline_than_the_clients() {
    let stated = |at, told| {
        let told = (at, Observation::TimeTold { inv: 1, told });
        verdict(
            "",
            &[
                sent(at, 0),
                told,
                ended(at + 10, 0, ForwardEnd::Succeeded),
                answered(at + 10, FinalStatus::Succeeded),
            ],
        )
    };
    assert!(stated(1_000_000, 4_150_000).is_clean());
    assert_eq!(broken_rules(&stated(1_000_000, 4_150_001)), [Rule::DeadlineTold]);
}

#[test]
fn nothing_is_forwarded_for_a_client_that_has_left() {
    let left_at = |left, begun| {
        let left = (left, Observation::Left { inv: 1 });
        let mut seen = vec![left, sent(begun, 0)];
        seen.sort_by_key(|(at, _)| *at);
        verdict("", &[seen, vec![ended(begun + 10, 0, ForwardEnd::MayHaveRun)]].concat())
    };
    assert!(left_at(1_000_000, 1_100_000).is_clean());
    assert_eq!(broken_rules(&left_at(1_000_000, 1_100_001)), [Rule::OneAnswer]);
}

#[test]
fn a_keep_alive_connection_that_ends_excuses_only_unread_invocations() {
    let crossed = (30, Observation::Crossed { inv: 1 });
    assert!(verdict("", std::slice::from_ref(&crossed)).is_clean());
    let read = [sent(10, 0), ended(20, 0, ForwardEnd::Succeeded), crossed.clone()];
    assert_eq!(broken_rules(&verdict("", &read)), [Rule::OneAnswer]);
    let late = [crossed, sent(100_031, 0), ended(100_040, 0, ForwardEnd::MayHaveRun)];
    assert_eq!(broken_rules(&verdict("", &late)), [Rule::OneAnswer]);
}
