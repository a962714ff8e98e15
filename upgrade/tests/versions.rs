//! Upgrades between this version and one whose processes do not confirm.

use topazsail_upgrade::{Action, Event, Message, Resource, Upgrade};

const MS: i64 = 1_000;

/// Guards against a successor that waits for a word which an older predecessor never says.
#[test]
fn an_older_predecessor_has_released_everything_with_its_state() {
    let (upgrade, actions) = Upgrade::successor(false, 0);
    for resource in [Resource::Accepting, Resource::SuccessorSocket, Resource::Datagrams, Resource::Store] {
        assert!(actions.contains(&Action::Take(resource)) && upgrade.owns(resource), "{resource:?}");
    }
    assert!(!actions.iter().any(|action| matches!(action, Action::Send(_))), "it would not be understood");
}

/// Guards against two processes that use the store, as an older successor never says that it is ready.
#[test]
fn an_older_successor_gets_everything_though_it_says_nothing() {
    let mut upgrade = Upgrade::default();
    upgrade.handle(0, Event::SuccessorAsked);
    assert_eq!(upgrade.handle(249 * MS, Event::TimerFired), []);
    let actions = upgrade.handle(250 * MS, Event::TimerFired);
    assert!(actions.contains(&Action::Release(Resource::Store)) && upgrade.has_released());
    assert!(!actions.iter().any(|action| matches!(action, Action::Send(_))), "it would not be understood");
    // It says nothing later either, and is not taken for stopped.
    assert_eq!(upgrade.handle(60_000 * MS, Event::TimerFired), []);
    assert!(!upgrade.owns(Resource::Accepting));
}

/// A successor of this version whose first word comes late is answered all the same.
#[test]
fn a_late_word_of_a_successor_is_answered() {
    let mut upgrade = Upgrade::default();
    upgrade.handle(0, Event::SuccessorAsked);
    upgrade.handle(250 * MS, Event::TimerFired);
    let actions = upgrade.handle(300 * MS, Event::Received(Message::Ready));
    assert!(actions.contains(&Action::Send(Message::Committed)));
}
