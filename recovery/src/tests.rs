use super::*;

fn summary() -> LoadSummary {
    LoadSummary { boot: 4, ..LoadSummary::default() }
}

fn stages(actions: &[Action]) -> Vec<&'static str> {
    let stage = |action: &Action| match action {
        Action::Enter(stage, _) => Some(stage.code()),
        _ => None,
    };
    actions.iter().filter_map(stage).collect()
}

#[test]
fn nothing_is_forwarded_before_a_roster_is_known_and_every_stage_has_a_deadline() {
    let mut recovery = Recovery::new(true, 100);
    assert!(!recovery.may_forward() && recovery.next_tick() == Some(100 + STORE_READ_TIMEOUT));
    assert_eq!(recovery.time_to_service(100), STORE_READ_TIMEOUT + PEERS_TIMEOUT + DISCOVERY_TIMEOUT);
    assert_eq!(recovery.tick(99 + STORE_READ_TIMEOUT), []);
    assert_eq!(stages(&recovery.tick(100 + STORE_READ_TIMEOUT)), ["numbered"]);
    assert!(!recovery.may_forward());
    let asked = 100 + STORE_READ_TIMEOUT + PEERS_TIMEOUT;
    assert_eq!(stages(&recovery.tick(asked)), ["asked"]);
    assert!(!recovery.may_forward() && recovery.time_to_service(asked) == DISCOVERY_TIMEOUT);
    assert_eq!(stages(&recovery.tick(asked + DISCOVERY_TIMEOUT)), ["listed", "limited"]);
    assert!(recovery.may_forward());
    assert_eq!(recovery.handle(asked + 600_000, Event::Warmth(0.5)), []);
    assert_eq!(stages(&recovery.handle(asked + 700_000, Event::Warmth(0.96))), ["serving"]);
    assert!(recovery.next_tick().is_none());
    // A store that is read this late no longer has any effect.
    assert_eq!(recovery.handle(9_000_000, Event::StoreOpened { summary: &summary(), boot: Some(5) }), []);
}

#[test]
fn a_roster_that_arrives_before_the_store_is_used_only_after_it() {
    let mut recovery = Recovery::new(false, 0);
    assert_eq!(recovery.handle(10, Event::RosterReceived), []);
    let actions = recovery.handle(20, Event::StoreOpened { summary: &summary(), boot: Some(5) });
    assert_eq!(stages(&actions), ["numbered", "asked", "listed", "limited"]);
    assert!(actions.contains(&Action::Serve));
    assert_eq!(recovery.handle(30, Event::DiscoveryFailed), []);
}

#[test]
fn a_discovery_that_refuses_is_not_waited_for() {
    let mut recovery = Recovery::new(false, 0);
    recovery.handle(10, Event::StoreUnavailable { reason: "no space" });
    let actions = recovery.handle(20, Event::DiscoveryFailed);
    assert_eq!(stages(&actions), ["listed", "limited"]);
}

#[test]
fn half_of_the_peers_are_awaited_until_the_timeout() {
    let begin = || {
        let mut recovery = Recovery::new(true, 0);
        recovery.handle(20, Event::StoreOpened { summary: &summary(), boot: Some(5) });
        recovery.handle(30, Event::RosterReceived);
        recovery
    };
    let mut recovery = begin();
    assert_eq!(recovery.handle(40, Event::PeerAgreement { all: 5, agree: 2 }), []);
    assert_eq!(
        stages(&recovery.handle(50, Event::PeerAgreement { all: 5, agree: 3 })),
        ["asked", "listed", "limited"]
    );
    let mut unanswered = begin();
    assert_eq!(stages(&unanswered.tick(20 + PEERS_TIMEOUT)), ["asked", "listed", "limited"]);
}

#[test]
fn the_newer_roster_of_the_same_discovery_is_chosen() {
    let known = |discovery, generation, runners| KnownRoster { discovery, generation, runners };
    let file = known("a", 5, 3);
    assert_eq!(choose_roster(None, file).0, Source::File);
    assert_eq!(choose_roster(Some(known("b", 9, 3)), file).0, Source::File);
    assert_eq!(choose_roster(Some(known("a", 9, 3)), file).0, Source::Store);
    assert_eq!(choose_roster(Some(known("a", 5, 3)), file).0, Source::File);
    assert_eq!(choose_roster(Some(known("a", 9, 0)), file).0, Source::File);
    assert_eq!(choose_roster(Some(known("a", 0, 2)), known("a", 0, 0)).0, Source::Store);
}

/// A process run that was cut short may have used slow-start budget that is not recorded: its usage is
/// dropped, and cold runners get nothing for what may be left of the overload window. A missing store entry
/// makes the admin overrides doubtful, a wrong clock does not.
#[test]
fn an_interrupted_run_may_have_used_slow_start_budget_until_its_end() {
    let cut = LoadSummary { min_downtime: 500_000, ..summary() };
    assert_eq!(cold_runner_pause(&cut, 2_000_000), 1_500_000);
    assert_eq!(cold_runner_pause(&LoadSummary { min_downtime: 3_000_000, ..summary() }, 2_000_000), 0);
    assert_eq!(cold_runner_pause(&LoadSummary { ended_cleanly: true, ..summary() }, 2_000_000), 0);
    assert_eq!(cold_runner_pause(&LoadSummary { is_new: true, ..summary() }, 2_000_000), 0);
    assert_eq!(trust_slow_start_usage(&cut).0, Trust::Dropped);
    assert_eq!(
        trust_admin_overrides(&LoadSummary {
            warnings: vec![IntegrityWarning::MissingEntries(1)],
            ..summary()
        })
        .0,
        Trust::Doubted
    );
    assert_eq!(
        trust_admin_overrides(&LoadSummary {
            warnings: vec![IntegrityWarning::ClockBehind { behind: 1 }],
            ..summary()
        })
        .0,
        Trust::Trusted
    );
}
