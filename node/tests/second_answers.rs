//! Traces of runners that answer a request twice, the second time when the connection may carry another one.

use super::*;

/// A runner's answer to a forward that it turns away.
const REFUSED: &str = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nX-Load: {\"x0\":4,\"outstanding\":0}\r\n\
                       Content-Length: 0\r\n\r\n";
/// What a client is sent whose invocation may have run.
const FAILED: &str = "502 Bad Gateway";
/// The longest that the test's runner takes to answer, in ms.
const ANSWER_MS: i64 = 16;
/// Answers that may come a second time.
const ANSWERS: [&str; 4] = [
    ACCEPTED,
    REFUSED,
    "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n",
];

impl Node {
    /// The connection that carries this invocation, dialled if necessary.
    fn connection_of(&mut self, id: &str) -> ConnectionId {
        let dialled = self.driver.trace.lines().filter_map(|line| line.split_once(" dials 127.0.0.1:30"));
        let dialled: Vec<ConnectionId> =
            dialled.filter_map(|(before, _)| before.rsplit('#').next()?.parse().ok()).collect();
        for connection in dialled {
            let is_unused = !self.driver.trace.contains(&format!("#{connection} < "));
            if is_unused && self.driver.roles.contains_key(&connection) {
                self.connect(connection);
            }
        }
        let sent = format!("X-Request-Id: {id};");
        let line = self.driver.trace.lines().rfind(|line| line.contains(&sent)).expect("not sent");
        line.split(['#', ' '])
            .find_map(|word| word.parse().ok().filter(|_| line.contains(&format!("#{word} <"))))
            .unwrap()
    }

    /// How often an invocation was sent to a runner.
    fn count_sent(&self, id: &str) -> usize {
        self.driver.trace.matches(&format!("X-Request-Id: {id};")).count()
    }

    /// Reports the end of an invocation's job, whose result is its id.
    fn finish(&mut self, id: &str) {
        let load = r#""load":{"x0":4,"outstanding":0}"#;
        self.send_callback(&format!(r#"{{"id":"{id}","from":"s-a","state":"done","result":"{id}",{load}}}"#));
    }

    /// Whether a client has been sent the result of an invocation's job.
    fn is_served(&self, id: &str) -> bool {
        self.driver.trace.contains(&format!("200 OK; Content-Length: 2 = {id}\n"))
    }

    /// A node whose only runner has answered `i1` after [`ANSWER_MS`]. Also returns the connection.
    fn with_answered_forward(operation: &str, answer: &str) -> (Node, ConnectionId) {
        let mut node = Node::with_watch(&RUNNERS[..1]);
        node.invoke(operation, "i1");
        let connection = node.connection_of("i1");
        node.advance(ANSWER_MS);
        node.feed(connection, answer);
        (node, connection)
    }
}

/// Guards against a non-idempotent job that runs twice: a second 202 was taken for the answer to the next
/// request, whose own answer, "not run", was taken for that to the one after it, which ran.
#[test]
fn a_second_acceptance_does_not_shift_the_answers_of_a_connection() {
    for lateness in 0..ANSWER_MS {
        let (mut node, first) = Node::with_answered_forward("book", ACCEPTED);
        node.finish("i1");
        node.invoke("book", "i2");
        let second = node.connection_of("i2");
        node.advance(lateness);
        node.feed(first, ACCEPTED);
        node.invoke("book", "i3");
        let third = node.connection_of("i3");
        node.advance(ANSWER_MS - lateness);
        node.feed(second, REFUSED);
        node.feed(third, ACCEPTED);
        node.finish("i3");
        node.advance(1000);
        assert_eq!(node.count_sent("i3"), 1, "{lateness} ms: {}", node.driver.trace);
        assert!(node.is_served("i3"), "{lateness} ms: {}", node.driver.trace);
        assert!(!node.driver.trace.contains(FAILED), "{lateness} ms: {}", node.driver.trace);
    }
}

/// Guards against a running job that counts as one that never ran, or that has failed, because of a second
/// answer of any kind to the request before it.
#[test]
fn a_second_answer_of_any_kind_does_not_end_the_next_forward() {
    for second_answer in ANSWERS {
        for lateness in 0..ANSWER_MS {
            let (mut node, first) = Node::with_answered_forward("plan", ACCEPTED);
            node.finish("i1");
            node.invoke("book", "i2");
            let second = node.connection_of("i2");
            node.advance(lateness);
            node.feed(first, second_answer);
            node.feed(second, ACCEPTED);
            node.advance(1000);
            assert_eq!(node.count_sent("i2"), 1, "{second_answer:?} {lateness} ms: {}", node.driver.trace);
            node.finish("i2");
            assert!(node.is_served("i2"), "{second_answer:?} {lateness} ms: {}", node.driver.trace);
        }
    }
}

/// Connections to one runner, without a request table.
struct RunnerPool {
    runners: Runners,
    runner: Id,
    driver: TestDriver,
}

impl RunnerPool {
    /// A pool without connections.
    fn new() -> RunnerPool {
        let mut driver = TestDriver { now: START, ..TestDriver::default() };
        let configuration = config::decode(&configuration(&RUNNERS[..1])).unwrap();
        let mut runners = Runners::new(&configuration.decoded);
        let runner = Id::from("s-a");
        runners.update_runner(&runner, true, Some("127.0.0.1:3001".parse().unwrap()), &mut driver);
        RunnerPool { runners, runner, driver }
    }

    /// Sends a forward and returns its connection, which is established if it is a new one.
    fn forward(&mut self, invocation: &str, effect: Effect) -> ConnectionId {
        self.driver.trace.clear();
        let (times, message) = ((START + 5_000_000, None), (b"".as_slice(), b"".as_slice(), effect));
        let invocation = (&invocation.into(), 0);
        self.runners.forward(&self.runner, invocation, message, times, 0, &mut self.driver);
        if self.driver.trace.contains("dials") {
            self.runners.connected(self.driver.last_connection, &mut self.driver);
        }
        let line = self.driver.trace.lines().find(|line| line.contains(" < ")).expect("not sent");
        line.split_once(" < ").unwrap().0.rsplit('#').next().unwrap().parse().unwrap()
    }

    /// Receives an answer, after so many ms.
    fn receive(&mut self, connection: ConnectionId, answer: &str, after_ms: i64) {
        self.driver.now += after_ms * 1000;
        if self.driver.roles.contains_key(&connection) {
            self.runners.received(connection, &mut answer.into(), &mut self.driver);
        }
    }
}

/// Guards against a second "not run" that comes when the connection is in use again: what must not run twice is
/// sent on another connection for a while.
#[test]
fn a_late_second_refusal_does_not_end_a_forward_that_must_not_run_twice() {
    let scope = DeduplicationScope::All;
    for effect in [Effect::NonIdempotent, Effect::Deduplicated(scope)] {
        for (wait, lateness) in [(1, 1), (5, 4), (11, 1), (60, 40), (99, 1)] {
            let mut pool = RunnerPool::new();
            let first = pool.forward("i1", Effect::Idempotent);
            pool.receive(first, REFUSED, 1);
            pool.driver.now += wait * 1000;
            pool.runners.events.clear();
            pool.forward("i2", effect);
            pool.receive(first, REFUSED, lateness);
            assert_eq!(pool.runners.events, [], "{wait} ms, {lateness} ms later");
        }
    }
}

/// Guards against a connection for each refusal: one that may run twice uses a connection as soon as no second
/// answer is usual, and so does any after a while.
#[test]
fn a_connection_is_reused_after_a_refusal() {
    for (effect, wait) in [(Effect::Idempotent, SETTLED_MS), (Effect::NonIdempotent, 100)] {
        let mut pool = RunnerPool::new();
        let first = pool.forward("i1", Effect::Idempotent);
        pool.receive(first, REFUSED, 1);
        pool.driver.now += wait * 1000;
        assert_eq!(pool.forward("i2", effect), first, "{effect:?}");
    }
}

/// Guards against the opposite mistake: a refusal of a forward's own still counts as one that never ran.
#[test]
fn a_refusal_on_a_reused_connection_counts() {
    for operation in ["plan", "lodge", "book"] {
        let (mut node, first) = Node::with_answered_forward("plan", ACCEPTED);
        node.advance(SETTLED_MS);
        let client = node.invoke(operation, "i2");
        assert_eq!(node.connection_of("i2"), first, "{operation}: {}", node.driver.trace);
        node.feed(first, REFUSED);
        node.advance(1000);
        let is_throttled = node.driver.trace.contains(&format!("#{client} < 429 Too Many Requests"));
        assert!(is_throttled || node.count_sent("i2") > 1, "{operation}: {}", node.driver.trace);
        assert!(!node.driver.trace.contains(FAILED), "{operation}: {}", node.driver.trace);
    }
}

/// Guards against a shift by a second answer that is later than usual: the connection is not used again until
/// the true answer, which shows the fault, would have come.
#[test]
fn an_answer_that_is_too_early_to_be_true_holds_the_connection_back() {
    let (mut node, first) = Node::with_answered_forward("book", ACCEPTED);
    node.advance(SETTLED_MS + 1);
    node.invoke("book", "i2");
    assert_eq!(node.connection_of("i2"), first);
    node.finish("i1");
    // The second answer to `i1`; that to `i2` comes after its usual time.
    node.advance(1);
    node.feed(first, ACCEPTED);
    node.advance(ANSWER_MS - 2);
    node.invoke("book", "i3");
    let third = node.connection_of("i3");
    node.advance(1);
    node.feed(first, REFUSED);
    node.feed(third, ACCEPTED);
    node.advance(1000);
    assert_eq!(node.count_sent("i3"), 1, "{}", node.driver.trace);
    node.finish("i3");
    assert!(node.is_served("i3"), "{}", node.driver.trace);
}

/// Guards against an invocation that nobody runs until its client gives up: what seemed to be accepted may have
/// been turned away, so it is cancelled and retried if it may run twice.
#[test]
fn an_acceptance_that_a_refusal_follows_is_cancelled_and_retried() {
    let deletes = |node: &Node| node.driver.trace.matches("DELETE /jobs/i1").count();
    for (operation, expected) in [("plan", 1), ("lodge", 1), ("book", 0)] {
        let (mut node, first) = Node::with_answered_forward(operation, ACCEPTED);
        node.feed(first, REFUSED);
        node.advance(10);
        let dialled: Vec<ConnectionId> = node
            .driver
            .roles
            .iter()
            .filter(|(_, role)| **role == ConnectionRole::Runner)
            .map(|(id, _)| *id)
            .collect();
        dialled.iter().for_each(|connection| node.connect(*connection));
        assert_eq!(deletes(&node), expected, "{operation}: {}", node.driver.trace);
        assert_eq!(node.count_sent("i1"), 1, "{operation}: {}", node.driver.trace);
    }
}

/// Guards against a second answer to a probe or a cancel that counts as an answer to the forward after it: a
/// forward cannot be answered so, and waits on for its own answer.
#[test]
fn a_second_answer_to_a_cancel_does_not_end_the_next_forward() {
    for lateness in 0..ANSWER_MS {
        let mut node = Node::with_accepted_forward("plan");
        node.advance(SETTLED_MS);
        node.close(2, CloseReason::PeerClosed);
        node.feed(3, NO_CONTENT);
        node.invoke("book", "i2");
        assert_eq!(node.connection_of("i2"), 3, "{}", node.driver.trace);
        node.advance(lateness);
        node.feed(3, NO_CONTENT);
        node.feed(3, REFUSED);
        node.advance(1000);
        let is_throttled = node.driver.trace.contains("429 Too Many Requests");
        assert!(is_throttled || node.count_sent("i2") > 1, "{}", node.driver.trace);
        assert!(!node.driver.trace.contains(FAILED), "{}", node.driver.trace);
    }
}

/// Guards against a second 202 that counts as the confirmation of a cancel while the job runs.
#[test]
fn a_second_acceptance_confirms_no_cancel() {
    let mut node = Node::with_accepted_forward("plan");
    node.close(2, CloseReason::PeerClosed);
    node.feed(3, ACCEPTED);
    node.connect(4);
    assert!(node.driver.trace.contains("#4 < DELETE /jobs/i1"), "{}", node.driver.trace);
}

/// Guards against a runner that counts as silent because of a second 202: a probe waits on for its own answer.
#[test]
fn a_second_acceptance_does_not_answer_a_probe() {
    let mut pool = RunnerPool::new();
    let connection = pool.forward("i1", Effect::NonIdempotent);
    pool.receive(connection, ACCEPTED, 1);
    pool.runners.probe(&pool.runner, &mut pool.driver);
    pool.receive(connection, ACCEPTED, 1);
    assert_eq!(pool.runners.events, []);
    pool.receive(connection, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", 1);
    let alive = RunnerEvent::Probed { runner: pool.runner, alive: true, report: Vec::new() };
    assert_eq!(pool.runners.events, [alive]);
    assert_eq!(pool.runners.surplus_answers(), 1);
}
