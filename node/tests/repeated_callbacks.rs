//! Traces of call-backs that runners repeat after the invocation has been sent to the same runner again.

use super::*;

/// A call-back of `s-a` on `i1`.
fn callback(state: &str) -> String {
    format!(r#"{{"id":"i1","from":"s-a","state":"{state}","load":{{"x0":2,"outstanding":0}}}}"#)
}

/// The result of `i1`.
const DONE: &str = r#"{"id":"i1","from":"s-a","state":"done","result":"r"}"#;
/// What a client is sent whose invocation has never run.
const THROTTLED: &str = "#2 < 429 Too Many Requests; Retry-After: 0.500; Content-Length: 0\n";
/// The most steps of 10 ms until an invocation is sent again.
const MAX_STEPS: usize = 250;
/// How often a runner tries a call-back at most.
const MAX_TRIES: usize = 10;
/// The connection between the two processes of an upgrade.
const SUCCESSOR: ConnectionId = 50;

/// The connection of a line of the trace that has this text behind it.
fn connection_before(line: &str, text: &str) -> Option<ConnectionId> {
    line.split_once(text)?.0.rsplit('#').next()?.parse().ok()
}

impl Node {
    /// Sends a request with this call-back on an open connection.
    fn send_callback_on(&mut self, connection: ConnectionId, body: &str) {
        let length = body.len();
        self.feed(
            connection,
            &format!("POST /v1/job-events HTTP/1.1\r\nContent-Length: {length}\r\n\r\n{body}"),
        );
    }

    /// Lets time pass until the invocation is sent to the runner again, and accepts it. Returns the
    /// connection, with an empty trace.
    fn accept_next_forward(&mut self) -> ConnectionId {
        for _ in 0..MAX_STEPS {
            let dialled =
                self.driver.trace.lines().find_map(|line| connection_before(line, " dials 127.0.0.1:30"));
            if let Some(connection) = dialled {
                self.driver.trace.clear();
                self.connect(connection);
            }
            let sent = self.driver.trace.lines().find_map(|line| connection_before(line, " < POST"));
            if let Some(connection) = sent {
                self.feed(connection, ACCEPTED);
                // Answers that come any sooner after this one are not trusted.
                self.advance(20);
                self.driver.trace.clear();
                return connection;
            }
            self.advance(10);
        }
        panic!("nothing was sent again: {}", self.driver.trace);
    }

    /// A node whose only runner has accepted `i1` a second time, after its first forward has ended with this
    /// call-back on connection 4. Also returns the connection of the second forward.
    fn with_second_forward(operation: &str, first_end: &str) -> (Node, ConnectionId) {
        let mut node = Node::with_accepted_forward(operation);
        node.driver.trace.clear();
        node.send_callback(first_end);
        let connection = node.accept_next_forward();
        (node, connection)
    }

    /// A node whose only runner has accepted `i1` a second time, after the connection of its first forward
    /// broke before the 202.
    fn with_second_forward_after_a_break() -> Node {
        let mut node = Node::with_watch(&RUNNERS[..1]);
        node.invoke("plan", "i1");
        node.connect(3);
        node.driver.trace.clear();
        node.close(3, CloseReason::Reset);
        node.accept_next_forward();
        node
    }

    /// The trace without call-backs' answers and times.
    fn actions(&self) -> String {
        let lines = self.driver.trace.lines().filter(|line| !line.ends_with("200 OK; Content-Length: 0"));
        lines.map(|line| format!("{}\n", line.split_once(' ').unwrap().1.trim())).collect()
    }
}

/// Guards against a non-idempotent invocation that runs twice, or is throttled though it runs: the runner
/// repeated the call-back on the first forward, and after the 202 of the second that counted as its end.
#[test]
fn a_repeated_return_ends_no_accepted_forward() {
    let (mut node, _) = Node::with_second_forward("book", &callback("returned"));
    for _ in 1..MAX_TRIES {
        node.send_callback(&callback("returned"));
        node.advance(200);
    }
    node.send_callback(DONE);
    assert_eq!(node.actions(), "#2 < 200 OK; Content-Length: 1 = r\n");
}

/// Guards against a second copy at a runner, and against a job that is never retried: an invocation that may
/// run twice is retried once the runner has confirmed the cancel, whatever the call-back was.
#[test]
fn a_forward_that_may_have_ended_is_cancelled_before_a_retry() {
    for (operation, state) in
        [("plan", "returned"), ("plan", "failed"), ("plan", "lost"), ("lodge", "returned"), ("lodge", "lost")]
    {
        let (mut node, connection) = Node::with_second_forward(operation, &callback(state));
        node.send_callback(&callback(state));
        node.send_callback(&callback(state));
        let cancel = format!("#{connection} < DELETE /jobs/i1; Host: 127.0.0.1:3001; Content-Length: 0\n");
        let until_confirmed = node.actions();
        assert!(until_confirmed.ends_with(&cancel), "{operation} {state}: {until_confirmed}");
        assert_eq!(until_confirmed.matches(" < ").count(), 1, "{operation} {state}: {until_confirmed}");
        node.driver.trace.clear();
        node.feed(connection, NO_CONTENT);
        node.accept_next_forward();
    }
}

/// Guards against the opposite mistake: the runner has read the answer to its first call-back, so an identical
/// one is about the second forward, which has never run.
#[test]
fn an_identical_return_ends_the_second_forward_once_the_first_is_answered() {
    let (mut node, _) = Node::with_second_forward("book", &callback("returned"));
    node.send_callback_on(4, &callback("returned"));
    node.advance(900);
    assert_eq!(node.actions(), THROTTLED);
    // The same on another connection, as the first one has carried a later call-back.
    let (mut node, _) = Node::with_second_forward("book", &callback("returned"));
    node.send_callback_on(4, r#"{"id":"other","from":"s-a","state":"started"}"#);
    node.send_callback(&callback("returned"));
    node.advance(900);
    assert_eq!(node.actions(), THROTTLED);
}

/// Guards against a job that nobody runs until its client gives up: a call-back before the 202 counts as well.
#[test]
fn an_identical_return_may_come_before_the_second_202() {
    let mut node = Node::with_accepted_forward("book");
    node.driver.trace.clear();
    node.send_callback(&callback("returned"));
    while !node.driver.trace.contains("POST /book") {
        node.advance(10);
    }
    node.driver.trace.clear();
    node.send_callback_on(4, &callback("returned"));
    node.feed(3, ACCEPTED);
    node.advance(900);
    assert!(node.actions().contains(THROTTLED), "{}", node.actions());
}

/// A request that was under way before the answer does not show that the answer was read.
#[test]
fn a_runner_that_does_not_wait_for_answers_may_repeat_what_was_answered() {
    let returned = callback("returned");
    let request =
        format!("POST /v1/job-events HTTP/1.1\r\nContent-Length: {}\r\n\r\n{returned}", returned.len());
    let mut node = Node::with_accepted_forward("book");
    let connection = node.accept();
    node.driver.trace.clear();
    node.feed(connection, &format!("{request}{request}"));
    node.accept_next_forward();
    node.feed(connection, &request);
    node.advance(400);
    assert_eq!(node.actions(), "");
    // The same if the next request had arrived and was not read yet.
    let mut node = Node::with_accepted_forward("book");
    let connection = node.accept();
    node.driver.stale.insert(connection);
    node.driver.trace.clear();
    node.feed(connection, &request);
    node.driver.stale.remove(&connection);
    node.accept_next_forward();
    node.feed(connection, &request);
    node.advance(400);
    assert_eq!(node.actions(), "");
}

/// A job that has started is not handed back, so the call-back is a repeat, and nothing is cancelled.
#[test]
fn a_return_after_the_start_is_a_repeat() {
    for operation in ["plan", "lodge", "book"] {
        let (mut node, _) = Node::with_second_forward(operation, &callback("returned"));
        node.send_callback(r#"{"id":"i1","from":"s-a","state":"started"}"#);
        node.send_callback(&callback("returned"));
        node.advance(400);
        node.send_callback(DONE);
        assert_eq!(node.actions(), "#2 < 200 OK; Content-Length: 1 = r\n", "{operation}");
    }
}

/// Guards against a second copy: a late start of the first forward, which had failed, does not show that the
/// second one has started.
#[test]
fn a_start_that_may_be_the_first_forwards_proves_nothing() {
    let (mut node, _) = Node::with_second_forward("plan", &callback("failed"));
    node.send_callback(r#"{"id":"i1","from":"s-a","state":"started"}"#);
    node.send_callback(&callback("failed"));
    assert!(node.actions().contains("DELETE /jobs/i1"), "{}", node.actions());
}

/// Guards against a non-idempotent invocation that runs twice: a repeat of the first forward's call-back, which
/// came after the second forward had ended, made the table forget how the second one ended.
#[test]
fn every_earlier_end_is_remembered() {
    let other_return = r#"{"id":"i1","from":"s-a","state":"returned","load":{"x0":1,"outstanding":1}}"#;
    let text =
        configuration(&RUNNERS[..1]).replace("\"clientTimeout\":5000000", "\"clientTimeout\":20000000");
    let (known, book) = text.split_once("\"name\":\"book\"").unwrap();
    let book = book.replace("\"latencyObjective\":500000", "\"latencyObjective\":3000000");
    let text = format!("{known}\"name\":\"book\"{book}");
    let mut node = Node::from_text(&text).with_watch_answered();
    node.invoke("book", "i1");
    node.connect(3);
    node.feed(3, ACCEPTED);
    node.driver.trace.clear();
    node.send_callback(&callback("returned"));
    node.accept_next_forward();
    node.send_callback(other_return);
    node.send_callback(&callback("returned"));
    node.accept_next_forward();
    for repeat in [other_return, &callback("returned"), other_return] {
        node.send_callback(repeat);
        node.advance(10);
    }
    node.send_callback(DONE);
    assert_eq!(node.actions(), "#2 < 200 OK; Content-Length: 1 = r\n");
}

/// Guards against a second copy: the first forward's connection broke, its runner had it all the same, and its
/// first call-back on that came after the second forward.
#[test]
fn a_call_back_on_a_forward_that_ended_silently_does_not_end_the_next() {
    let mut node = Node::with_second_forward_after_a_break();
    node.send_callback(&callback("returned"));
    assert!(node.actions().contains("DELETE /jobs/i1"), "{}", node.actions());
    assert!(!node.actions().contains("POST"), "{}", node.actions());
}

/// A runner cannot report on a forward that has not reached it.
#[test]
fn a_repeat_before_the_second_forward_is_sent_changes_nothing() {
    for (operation, state) in [("plan", "failed"), ("lodge", "lost"), ("book", "returned")] {
        let mut node = Node::with_accepted_forward(operation);
        node.close(3, CloseReason::PeerClosed);
        node.driver.trace.clear();
        node.send_callback(&callback(state));
        while !node.driver.trace.contains(" dials 127.0.0.1:30") {
            node.advance(10);
        }
        node.send_callback(&callback(state));
        assert_eq!(node.actions().lines().count(), 1, "{operation}: {}", node.actions());
        node.accept_next_forward();
        node.send_callback(DONE);
        let answer = "#2 < 200 OK; Content-Length: 1 = r\n";
        assert!(node.actions().ends_with(answer), "{operation}: {}", node.actions());
        assert!(!node.actions().contains("DELETE"), "{operation}: {}", node.actions());
    }
}

/// The result of whichever forward is the answer, and a forward that may still run is cancelled.
#[test]
fn a_result_is_answered_whichever_forward_it_is_of() {
    let mut node = Node::with_second_forward_after_a_break();
    node.send_callback(DONE);
    node.send_callback(DONE);
    let expected = "#2 < 200 OK; Content-Length: 1 = r\n\
                    #4 < DELETE /jobs/i1; Host: 127.0.0.1:3001; Content-Length: 0\n";
    assert_eq!(node.actions(), expected);
}

/// During an upgrade the repeat reaches the process that accepts connections, which passes it on.
#[test]
fn a_repeat_that_reaches_the_successor_ends_no_accepted_forward() {
    let (mut old, _) = Node::with_second_forward("book", &callback("returned"));
    let mut new = Node::successor(&mut old, SUCCESSOR);
    old.driver.trace.clear();
    for _ in 1..MAX_TRIES {
        new.send_callback(&callback("returned"));
        new.relay_messages(SUCCESSOR, &mut old);
        old.advance(100);
    }
    new.send_callback(DONE);
    new.relay_messages(SUCCESSOR, &mut old);
    assert_eq!(old.actions(), "#2 < 200 OK; Connection: close; Content-Length: 1 = r\n#2 ends: terminated\n");
    assert!(!new.driver.trace.contains("POST"), "{}", new.driver.trace);
}

/// A restarted process knows nothing of the invocation, and a repeat concerns no invocation of its own.
#[test]
fn a_repeat_after_a_restart_changes_nothing() {
    for state in ["started", "running", "done", "failed", "returned", "lost"] {
        let mut node = Node::with_watch(&RUNNERS[..1]);
        node.invoke("book", "i2");
        node.connect(3);
        node.feed(3, ACCEPTED);
        node.driver.trace.clear();
        for _ in 0..MAX_TRIES {
            node.send_callback(&callback(state));
        }
        node.advance(400);
        assert_eq!(node.actions(), "", "{state}");
    }
}
