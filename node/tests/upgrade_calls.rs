//! Operators' calls while both processes of an upgrade serve.

use super::*;

/// The new process's request to discovery.
const NEW_WATCH: ConnectionId = 101;

/// A whole list of these runners, as a chunk of a watch.
fn listed(generation: u64, runners: &[(&str, &str)]) -> String {
    let instance = |(id, address): &(&str, &str)| {
        format!(r#"{{"instanceId":"{id}","hostPort":"{address}","lifecycle":"up","startedAtMs":0}}"#)
    };
    let instances: Vec<String> = runners.iter().map(instance).collect();
    let instances = instances.join(",");
    chunk(&format!("{{\"generation\":{generation},\"reset\":true,\"instances\":[{instances}]}}\n"))
}

/// The two processes of an upgrade, of which only the new one has heard that `s-b` is listed.
fn processes_with_a_new_runner() -> (Node, Node) {
    let mut old = Node::with_watch(&RUNNERS[..1]);
    let mut new = Node::successor(&mut old, PEER);
    new.connect(NEW_WATCH);
    new.feed(NEW_WATCH, WATCH_HEAD);
    new.feed(NEW_WATCH, &listed(43, &RUNNERS));
    (old, new)
}

impl Node {
    /// Makes an operator's call and returns its answer.
    fn answer_to(&mut self, line: &str) -> String {
        let from = self.driver.trace.len();
        self.call(line);
        let trace = &self.driver.trace[from..];
        let answer = trace.lines().find_map(|line| line.split_once(" < "));
        answer.map(|(_, text)| text.to_owned()).unwrap_or_default()
    }

    /// How many listed runners operators have taken out of service.
    fn runners_out(&mut self) -> usize {
        let from = self.driver.trace.len();
        self.call("stats");
        let figure = self.driver.trace[from..].split_once("skipped_runners=").unwrap().1;
        figure.lines().next().unwrap().parse().unwrap()
    }
}

/// Delivers what each process has sent to the other.
fn exchange(old: &mut Node, new: &mut Node) {
    new.relay_messages(PEER, old);
    old.relay_messages(PEER, new);
}

/// Guards against a call that the other process forgets, as it hears only later that the runner is listed
/// (review case 10).
#[test]
fn a_call_on_a_runner_that_the_other_process_does_not_know_holds_there() {
    let (mut old, mut new) = processes_with_a_new_runner();
    assert_eq!(new.answer_to("maint-on s-b"), "YES");
    exchange(&mut old, &mut new);
    old.feed(1, &listed(43, &RUNNERS[1..]));
    assert_eq!(old.runners_out(), 1);
    old.driver.trace.clear();
    old.invoke("plan", "i1");
    old.advance(1_000);
    assert!(!old.driver.trace.contains("3002"), "sent to s-b:\n{}", old.driver.trace);
    // The call back reaches it as well.
    assert_eq!(new.answer_to("maint-off s-b"), "YES");
    exchange(&mut old, &mut new);
    assert_eq!((old.runners_out(), new.runners_out()), (0, 0));
}

#[test]
fn calls_on_a_runner_that_was_listed_nowhere_are_answered_no_at_both_processes() {
    let (mut old, mut new) = processes_with_a_new_runner();
    exchange(&mut old, &mut new);
    for line in ["maint-on s-x", "maint-off s-x"] {
        assert_eq!(new.answer_to(line), "NO this runner was never listed");
        exchange(&mut old, &mut new);
        assert_eq!(old.answer_to(line), "NO this runner was never listed");
        exchange(&mut old, &mut new);
    }
}

/// Whichever of the two processes takes which call, both end as the last call says.
#[test]
fn calls_out_back_and_out_again_end_as_out_at_both_processes() {
    for takers in 0..8 {
        let mut old = Node::with_watch(&RUNNERS);
        let mut new = Node::successor(&mut old, PEER);
        for (nth, line) in ["maint-on s-b", "maint-off s-b", "maint-on s-b"].into_iter().enumerate() {
            let taker = if takers >> nth & 1 == 0 { &mut old } else { &mut new };
            assert_eq!(taker.answer_to(line), "YES");
            exchange(&mut old, &mut new);
        }
        assert_eq!((old.runners_out(), new.runners_out()), (1, 1), "takers {takers:03b}");
    }
}

/// Guards against two processes that each end with the other's call, and against a runner in use to which one
/// of them has answered YES to `maint-on`.
#[test]
fn of_calls_that_both_processes_take_at_once_the_one_out_wins_at_both() {
    for out_at_new in [true, false] {
        let mut old = Node::with_watch(&RUNNERS);
        assert_eq!(old.answer_to("maint-on s-b"), "YES");
        let mut new = Node::successor(&mut old, PEER);
        let (out, back) = if out_at_new { (&mut new, &mut old) } else { (&mut old, &mut new) };
        assert_eq!(back.answer_to("maint-off s-b"), "YES");
        assert_eq!(out.answer_to("maint-on s-b"), "YES");
        exchange(&mut old, &mut new);
        assert_eq!((old.runners_out(), new.runners_out()), (1, 1), "out at the new one: {out_at_new}");
        // A later call back has seen both.
        assert_eq!(new.answer_to("maint-off s-b"), "YES");
        exchange(&mut old, &mut new);
        assert_eq!((old.runners_out(), new.runners_out()), (0, 0));
    }
}
