//! What discovery tells one of the two processes of an upgrade.

use super::*;

/// The old process's watch, and the new one's first request to discovery.
const OLD_WATCH: ConnectionId = 1;
const NEW_WATCH: ConnectionId = 101;

/// A change of the roster to this generation, as a chunk of a watch: `s-b` in this state.
fn changed(generation: u64, lifecycle: &str) -> String {
    let (id, address) = RUNNERS[1];
    chunk(&format!(
        "{{\"generation\":{generation},\"reset\":false,\"instances\":[{{\"instanceId\":\"{id}\",\
         \"hostPort\":\"{address}\",\"lifecycle\":\"{lifecycle}\",\"startedAtMs\":0}}]}}\n"
    ))
}

/// Within this time discovery accepts a connection, in ms.
const ACCEPT_INTERVAL_MS: i64 = 250;

impl Node {
    /// Lets time pass while discovery accepts each connection, and answers nothing on a new one.
    fn advance_with_discovery(&mut self, ms: i64) {
        for _ in 0..ms / ACCEPT_INTERVAL_MS {
            let requests = self.driver.roles.iter().filter(|(_, role)| **role == ConnectionRole::Roster);
            let requests: Vec<ConnectionId> = requests.map(|(connection, _)| *connection).collect();
            requests.into_iter().for_each(|request| self.connect(request));
            self.advance(ACCEPT_INTERVAL_MS);
        }
    }

    /// Whether some of several invocations at once are sent to `s-b`, and whether some are sent to `s-a`. Their
    /// clients give them up then.
    fn runners_used(&mut self, name: &str) -> (bool, bool) {
        self.driver.trace.clear();
        let clients: Vec<ConnectionId> =
            (0..4).map(|nth| self.invoke("plan", &format!("{name}-{nth}"))).collect();
        let is_dialled = |address: &str| self.driver.trace.contains(&format!(" dials {address}"));
        let used = (is_dialled(RUNNERS[1].1), is_dialled(RUNNERS[0].1));
        for client in clients {
            if self.driver.roles.contains_key(&client) {
                self.close(client, CloseReason::PeerClosed);
            }
        }
        used
    }
}

/// Guards against a new process that acts on the list which it took over while its own calls to discovery wait,
/// although the old process has been told of a drain (review case 9). It goes on serving by what the old one hears.
#[test]
fn a_drain_that_the_old_process_is_told_of_binds_the_new_one_with_no_call_served() {
    let mut old = Node::with_watch(&RUNNERS);
    let mut new = Node::successor(&mut old, PEER);
    new.connect(NEW_WATCH);
    assert_eq!(new.runners_used("before"), (true, true));
    old.feed(OLD_WATCH, &changed(43, "draining"));
    old.relay_messages(PEER, &mut new);
    for round in 0..10 {
        assert_eq!(new.runners_used(&format!("r{round}")), (false, true), "after {round} rounds");
        old.advance(2_000);
        new.advance_with_discovery(2_000);
        old.feed(OLD_WATCH, EMPTY_LINE);
        old.relay_messages(PEER, &mut new);
    }
    // The old process has ended: the list is acted upon for as long as after any other last contact.
    new.close(PEER, CloseReason::PeerClosed);
    new.advance_with_discovery(5_750);
    assert_eq!(new.runners_used("later"), (false, true));
    new.advance_with_discovery(500);
    assert_eq!(new.runners_used("lapsed"), (false, false));
}

#[test]
fn a_drain_between_the_state_and_the_yes_binds_the_new_process() {
    let mut old = Node::with_watch(&RUNNERS);
    let mut new = Node::successor_after(&mut old, PEER, |old| old.feed(OLD_WATCH, &changed(43, "draining")));
    assert_eq!(new.runners_used("i"), (false, true));
    // Its next request goes on from there.
    new.close(NEW_WATCH, CloseReason::Refused);
    new.advance(1_000);
    assert!(new.driver.trace.contains("since=43"), "{}", new.driver.trace);
}

#[test]
fn what_the_new_process_is_told_binds_the_old_one() {
    let mut old = Node::with_watch(&RUNNERS);
    let mut new = Node::successor(&mut old, PEER);
    new.connect(NEW_WATCH);
    new.feed(NEW_WATCH, WATCH_HEAD);
    assert_eq!(old.runners_used("before"), (true, true));
    new.feed(NEW_WATCH, &changed(43, "draining"));
    new.relay_messages(PEER, &mut old);
    assert_eq!(old.runners_used("draining"), (false, true));
    new.feed(NEW_WATCH, &changed(44, "up"));
    new.relay_messages(PEER, &mut old);
    assert_eq!(old.runners_used("up"), (true, true));
    new.feed(NEW_WATCH, &changed(45, "removed"));
    new.relay_messages(PEER, &mut old);
    assert_eq!(old.runners_used("removed"), (false, true));
    // Nothing goes back and forth.
    old.relay_messages(PEER, &mut new);
    assert!(!new.driver.handover_text.contains_key(&PEER));
}

/// Guards against a runner that comes back into use because a process's own watch brings an older list than the
/// other process has passed on.
#[test]
fn a_list_that_is_older_than_what_the_other_process_has_told_changes_nothing() {
    let mut old = Node::with_watch(&RUNNERS);
    let mut new = Node::successor(&mut old, PEER);
    new.connect(NEW_WATCH);
    new.feed(NEW_WATCH, WATCH_HEAD);
    old.feed(OLD_WATCH, &changed(43, "up"));
    old.feed(OLD_WATCH, &changed(44, "draining"));
    old.relay_messages(PEER, &mut new);
    assert_eq!(new.runners_used("passed"), (false, true));
    new.feed(NEW_WATCH, &changed(43, "up"));
    assert_eq!(new.runners_used("behind"), (false, true));
    new.feed(NEW_WATCH, &changed(44, "draining"));
    assert_eq!(new.runners_used("level"), (false, true));
    new.feed(NEW_WATCH, &changed(45, "up"));
    assert_eq!(new.runners_used("ahead"), (true, true));
    assert!(!new.driver.trace.contains("dials 127.0.0.1:8500"), "the watch was given up");
    // A whole list from before what was passed is asked for again from there.
    old.feed(OLD_WATCH, &changed(46, "draining"));
    old.relay_messages(PEER, &mut new);
    new.feed(NEW_WATCH, &chunk("{\"generation\":45,\"reset\":true,\"instances\":[]}\n"));
    new.advance(500);
    assert!(new.driver.trace.contains("since=46"), "{}", new.driver.trace);
    assert_eq!(new.runners_used("again"), (false, true));
}

/// Discovery that counts from the start again is believed, on the own watch and as the other process tells it.
#[test]
fn a_discovery_that_starts_again_is_followed_by_both_processes() {
    let mut old = Node::with_watch(&RUNNERS);
    let mut new = Node::successor(&mut old, PEER);
    new.connect(NEW_WATCH);
    new.feed(NEW_WATCH, WATCH_HEAD);
    let only_first = format!(
        "{{\"generation\":3,\"reset\":true,\"instances\":[{{\"instanceId\":\"s-a\",\"hostPort\":\"{}\",\
         \"lifecycle\":\"up\"}}]}}\n",
        RUNNERS[0].1
    );
    old.feed(OLD_WATCH, &chunk(&only_first));
    old.relay_messages(PEER, &mut new);
    assert_eq!(new.runners_used("passed"), (false, true));
    new.feed(NEW_WATCH, &chunk(&only_first));
    assert_eq!(new.runners_used("own"), (false, true));
    new.feed(NEW_WATCH, &changed(4, "up"));
    assert_eq!(new.runners_used("next"), (true, true));
}

/// Of a list that cannot be placed only what takes runners out of use is applied.
#[test]
fn a_list_with_changes_missing_before_it_brings_no_runner_into_use() {
    let mut old = Node::with_watch(&RUNNERS);
    let mut new = Node::successor(&mut old, PEER);
    let passed = |generation: u64, since: u64, lifecycle: &str, discovery: &str| {
        let list = json!({ "generation": generation, "reset": false, "instances": [{
            "instanceId": "s-b", "hostPort": RUNNERS[1].1, "lifecycle": lifecycle,
        }] });
        format!("{}\n", json!({ "list": { "discovery": discovery, "since": since, "list": list } }))
    };
    let discovery = "127.0.0.1:8500";
    new.feed(PEER, &passed(50, 42, "draining", discovery));
    assert_eq!(new.runners_used("leads-on"), (false, true));
    new.feed(PEER, &passed(53, 52, "up", discovery));
    assert_eq!(new.runners_used("gap-up"), (false, true));
    new.feed(PEER, &passed(51, 50, "up", discovery));
    assert_eq!(new.runners_used("leads-on-up"), (true, true));
    new.feed(PEER, &passed(54, 53, "draining", discovery));
    assert_eq!(new.runners_used("gap-draining"), (false, true));
    new.feed(PEER, &passed(52, 51, "up", discovery));
    new.feed(PEER, &passed(60, 52, "draining", "127.0.0.1:8501"));
    assert_eq!(new.runners_used("elsewhere"), (false, true));
    // How far the other process has heard says nothing about what is missing here.
    let sure = new.driver.now + 5_000_000;
    new.advance_with_discovery(5_750);
    new.feed(PEER, &format!("{}\n", json!({ "sure": { "discovery": discovery, "certain_until": sure } })));
    new.advance_with_discovery(500);
    assert_eq!(new.runners_used("lapsed"), (false, false));
}
