//! Trace tests of the node, from bytes and a clock to bytes: each checks what is sent, dialled and closed as
//! a short trace of times in ms.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;
use std::net::SocketAddr;

use expect_test::{Expect, expect};
use serde_json::json;
use topazsail::{DeduplicationScope, Effect, Id, Listing, Micros, Readiness, RosterEntry};
use topazsail_upgrade::Refusal;

use crate::config;
use crate::ingress::clients::{ClientEvent, Clients, JobState};
use crate::ingress::operations::Operations;
use crate::lifecycle::handover::{self, Requested};
use crate::net::connection::{
    CloseReason, ConnectionDriver, ConnectionHandler, ConnectionId, ConnectionRole, Timer, TimerKey,
};
use crate::net::http::{self, HttpError};
use crate::request_table::RequestTable;
use crate::upstream::membership::Membership;
use crate::upstream::roster::Roster;
use crate::upstream::runners::{RunnerEvent, Runners};

#[path = "connection_room.rs"]
mod connection_room;
#[path = "repeated_callbacks.rs"]
mod repeated_callbacks;
#[path = "second_answers.rs"]
mod second_answers;
#[path = "upgrade_calls.rs"]
mod upgrade_calls;
#[path = "upgrade_rosters.rs"]
mod upgrade_rosters;

/// The clock's time at the start of every test, in microseconds.
const START: Micros = 1_700_000_000_000_000;

/// A [`ConnectionDriver`] without sockets that records what is done to its connections.
#[derive(Default)]
struct TestDriver {
    now: Micros,
    /// For how long the process has been frozen, in microseconds.
    stalled_for: Micros,
    /// The connection id given last.
    last_connection: ConnectionId,
    /// Open connections.
    roles: BTreeMap<ConnectionId, ConnectionRole>,
    /// Bytes received and not consumed yet.
    inputs: BTreeMap<ConnectionId, Vec<u8>>,
    /// Connections that are no longer reusable.
    stale: BTreeSet<ConnectionId>,
    /// Connections whose other side has closed, which has not been read yet.
    closed_by_peer: BTreeSet<ConnectionId>,
    /// Connections that take no bytes.
    blocked: BTreeSet<ConnectionId>,
    /// Connections that are kept only until their last bytes are sent.
    lingering: Vec<ConnectionId>,
    timers: BTreeMap<TimerKey, Timer>,
    timer_count: u64,
    to_process_again: Vec<ConnectionId>,
    /// Text sent to another process of an upgrade.
    handover_text: BTreeMap<ConnectionId, String>,
    trace: String,
}

impl TestDriver {
    /// Adds a line to the trace, after the time in ms.
    fn record(&mut self, line: &str) {
        writeln!(self.trace, "{:<5} {line}", (self.now - START) / 1000).unwrap();
    }

    fn open_connection(&mut self, role: ConnectionRole) -> ConnectionId {
        self.last_connection += 1;
        self.roles.insert(self.last_connection, role);
        self.inputs.insert(self.last_connection, Vec::new());
        self.last_connection
    }
}

impl ConnectionDriver for TestDriver {
    fn now(&self) -> Micros {
        self.now
    }

    fn readable_since(&self) -> Micros {
        self.now - self.stalled_for
    }

    fn connection_count(&self) -> usize {
        self.roles.len()
    }

    fn close_oldest_lingering(&mut self) -> bool {
        let closed =
            self.lingering.pop().inspect(|connection| self.abort(*connection, CloseReason::BadInput));
        closed.is_some()
    }

    fn dial(&mut self, to: SocketAddr, role: ConnectionRole) -> ConnectionId {
        let connection = self.open_connection(role);
        self.record(&format!("#{connection} dials {to}"));
        connection
    }

    fn send(&mut self, connection: ConnectionId, bytes: &[u8]) {
        if self.roles.get(&connection) == Some(&ConnectionRole::Peer) {
            return self
                .handover_text
                .entry(connection)
                .or_default()
                .push_str(&String::from_utf8_lossy(bytes));
        }
        let text = String::from_utf8_lossy(bytes).replace("HTTP/1.1 ", "").replace(" HTTP/1.1", "");
        let text = text.trim_end().replace("\r\n\r\n", " = ").replace("\r\n", "; ");
        self.record(&format!("#{connection} < {text}"));
    }

    fn is_reusable(&mut self, connection: ConnectionId) -> bool {
        !self.stale.contains(&connection)
    }

    fn peer_has_closed(&self, connection: ConnectionId) -> bool {
        self.closed_by_peer.contains(&connection)
    }

    fn has_unsent(&self, connection: ConnectionId) -> bool {
        self.blocked.contains(&connection)
    }

    fn process_again(&mut self, connection: ConnectionId) {
        self.to_process_again.push(connection);
    }

    fn finish(&mut self, connection: ConnectionId, reason: CloseReason) {
        self.abort(connection, reason);
    }

    fn abort(&mut self, connection: ConnectionId, reason: CloseReason) {
        self.roles.remove(&connection);
        self.record(&format!("#{connection} ends: {}", reason.code()));
    }

    fn set_timer(&mut self, timer: Timer, at: Micros) {
        self.set_cancellable_timer(timer, at);
    }

    fn set_cancellable_timer(&mut self, timer: Timer, at: Micros) -> TimerKey {
        self.timer_count += 1;
        let key = TimerKey { at, serial: self.timer_count };
        self.timers.insert(key, timer);
        key
    }

    fn cancel_timer(&mut self, key: TimerKey) {
        self.timers.remove(&key);
    }
}

/// A request table on a [`TestDriver`].
struct Node {
    table: RequestTable,
    driver: TestDriver,
}

/// Ids and addresses of the runners.
const RUNNERS: [(&str, &str); 2] = [("s-a", "127.0.0.1:3001"), ("s-b", "127.0.0.1:3002")];

/// A configuration with these runners in its known roster.
fn configuration(runners: &[(&str, &str)]) -> String {
    let instance = |(id, address): &(&str, &str)| {
        format!(
            r#"{{"instanceId":"{id}","hostPort":"{address}","zone":"z","machineType":"m","cell":1,
                "lifecycle":"up","weight":1.0,"startedAtMs":0}}"#
        )
    };
    let instances: Vec<String> = runners.iter().map(instance).collect();
    let operation = |name: &str, effect: &str, timeout: u32| {
        format!(
            r#"{{"name":"{name}","effect":"{effect}","group":"all","memorySpan":7500000,"billedValue":2.0,
                "latencyObjective":500000,"clientTimeout":{timeout},"lateBilledValue":0.5}}"#
        )
    };
    let operations = [
        operation("plan", "idempotent", 8_000_000),
        operation("lodge", "deduplicated", 5_000_000),
        operation("book", "at_most_once", 5_000_000),
    ];
    format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:8500","seed":"8c1f30d27a5be964",
        "limits":{{"cores":1.0,"memory_mb":192,"sockets":64}},"more":null,
        "known":{{"generation":41,"reset":true,"instances":[{}]}},
        "settings":{{"balancers":1,"selfIndex":0,"operations":[{}],"registryMode":"subscribe",
        "familyInfo":{{"progress":1000000,"reportX0":"free slots","tellsStart":false,"classKind":[-1,-1,-1]}},
        "invariants":{{"askWithin":10000000,"coldFrom":0.2,"warmWithin":10000000,"overloadFactor":3.0,
            "tipAfter":2000000}},
        "limits":{{"mostForwards":3,"cancel":true,"probes":false,"retryAfter":true,"maxRetryAfter":2000000,
            "dialTimeout":250000,"idleClose":60000000,"openCap":20000}},
        "prices":{{"handshake":0.08}},"report":{{"fields":["x0","outstanding"]}},"myZone":"z","weights":"off"}}}}"#,
        instances.join(","),
        operations.join(",")
    )
}

impl Node {
    /// A node with these runners in its known roster.
    fn new(runners: &[(&str, &str)]) -> Node {
        Node::from_text(&configuration(runners))
    }

    /// A node with this configuration.
    fn from_text(text: &str) -> Node {
        let mut driver = TestDriver { now: START, ..TestDriver::default() };
        let configuration = config::decode(text).unwrap();
        let mut node = Node { table: RequestTable::new(configuration, None, None, &mut driver), driver };
        node.run_until_idle();
        node
    }

    /// The successor of a process, with the messages that `predecessor` sends to it on `connection`.
    fn successor(predecessor: &mut Node, connection: ConnectionId) -> Node {
        Node::successor_after(predecessor, connection, |_| ())
    }

    /// Like [`Node::successor`]; `meanwhile` happens to the predecessor once it has sent its state, before its
    /// successor reads that.
    fn successor_after(
        predecessor: &mut Node,
        connection: ConnectionId,
        meanwhile: impl Fn(&mut Node),
    ) -> Node {
        predecessor.driver.roles.insert(connection, ConnectionRole::Peer);
        predecessor.driver.inputs.insert(connection, Vec::new());
        predecessor.table.answer_successor(&mut predecessor.driver).unwrap();
        predecessor.table.hand_over(connection, &mut predecessor.driver);
        predecessor.run_until_idle();
        meanwhile(predecessor);
        let text = predecessor.driver.handover_text.remove(&connection).unwrap();
        let (state, later_text) = text.split_once('\n').unwrap();
        let state = serde_json::from_str(state).unwrap();
        let mut driver =
            TestDriver { now: predecessor.driver.now, last_connection: 100, ..TestDriver::default() };
        let configuration = config::decode(&configuration(&[])).unwrap();
        let mut node =
            Node { table: RequestTable::new(configuration, Some(state), None, &mut driver), driver };
        node.driver.roles.insert(connection, ConnectionRole::Peer);
        node.table.attach_predecessor(connection, later_text.as_bytes().to_vec(), &mut node.driver);
        node.run_until_idle();
        // The successor says that it is ready, and gets all resources.
        node.relay_messages(connection, predecessor);
        predecessor.relay_messages(connection, &mut node);
        node
    }

    /// Delivers the messages sent to the other process since the last call.
    fn relay_messages(&mut self, connection: ConnectionId, to: &mut Node) {
        let text = self.driver.handover_text.remove(&connection).unwrap_or_default();
        to.feed(connection, &text);
    }

    /// A node whose watch has been answered, with an empty trace.
    fn with_watch(runners: &[(&str, &str)]) -> Node {
        Node::new(runners).with_watch_answered()
    }

    /// Answers the first request to discovery, without any change, and clears the trace.
    fn with_watch_answered(mut self) -> Node {
        let connection =
            *self.driver.roles.iter().find(|(_, role)| **role == ConnectionRole::Roster).unwrap().0;
        self.connect(connection);
        self.feed(connection, WATCH_HEAD);
        self.feed(connection, &chunk("{\"generation\":42,\"reset\":false,\"instances\":[]}\n"));
        self.driver.trace.clear();
        self
    }

    /// A node whose only runner has accepted `i1`, from the client on connection 2, over connection 3.
    fn with_accepted_forward(operation: &str) -> Node {
        let mut node = Node::with_watch(&RUNNERS[..1]);
        node.invoke(operation, "i1");
        node.connect(3);
        node.feed(3, ACCEPTED);
        node
    }

    /// Lets the table decide until nothing is pending.
    fn run_until_idle(&mut self) {
        loop {
            self.table.decide(&mut self.driver);
            for connection in std::mem::take(&mut self.driver.to_process_again) {
                self.feed(connection, "");
            }
            if !self.table.has_pending_events() {
                return;
            }
        }
    }

    /// Accepts a client's connection.
    fn accept(&mut self) -> ConnectionId {
        assert!(self.table.ensure_room(ConnectionRole::Client, &mut self.driver));
        let connection = self.driver.open_connection(ConnectionRole::Client);
        self.table.clients.accepted(connection, &mut self.driver);
        connection
    }

    /// Accepts an operator's connection.
    fn connect_operator(&mut self) -> ConnectionId {
        assert!(self.table.ensure_room(ConnectionRole::Operator, &mut self.driver));
        let connection = self.driver.open_connection(ConnectionRole::Operator);
        self.table.accepted(ConnectionRole::Operator, connection, &mut self.driver);
        connection
    }

    /// Makes an operator's call on a connection of its own.
    fn call(&mut self, line: &str) {
        let connection = self.connect_operator();
        self.feed(connection, &format!("{line}\n"));
    }

    /// Receives text on a connection, unless it has been closed.
    fn feed(&mut self, connection: ConnectionId, text: &str) {
        let Some(role) = self.driver.roles.get(&connection).copied() else { return };
        let mut input = self.driver.inputs.remove(&connection).unwrap_or_default();
        input.extend_from_slice(text.as_bytes());
        self.table.handler(role).received(connection, &mut input, &mut self.driver);
        self.driver.inputs.insert(connection, input);
        self.run_until_idle();
    }

    /// Completes a dial.
    fn connect(&mut self, connection: ConnectionId) {
        let role = self.driver.roles[&connection];
        self.table.handler(role).connected(connection, &mut self.driver);
        self.run_until_idle();
    }

    /// Closes a connection from the other side.
    fn close(&mut self, connection: ConnectionId, reason: CloseReason) {
        let role = self.driver.roles.remove(&connection).unwrap();
        let (unsent, input) = (self.driver.has_unsent(connection), self.driver.inputs[&connection].clone());
        self.table.handler(role).closed(connection, reason, unsent, &input, &mut self.driver);
        self.run_until_idle();
    }

    /// Lets time pass and fires the timers that are due.
    fn advance(&mut self, ms: i64) {
        let until = self.driver.now + ms * 1000;
        while let Some(entry) = self.driver.timers.first_entry().filter(|entry| entry.key().at <= until) {
            self.driver.now = entry.key().at.max(self.driver.now);
            match entry.remove() {
                Timer::Connection(connection) => {
                    if let Some(role) = self.driver.roles.get(&connection).copied() {
                        self.table.handler(role).timer_fired(connection, &mut self.driver);
                    }
                }
                timer => self.table.timer_fired(timer, &mut self.driver),
            }
            self.run_until_idle();
        }
        self.driver.now = until;
    }

    /// Sends an invocation on a new client connection and returns the connection.
    fn invoke(&mut self, operation: &str, id: &str) -> ConnectionId {
        let connection = self.accept();
        self.feed(
            connection,
            &format!(
                "POST /{operation}/7?x=1 HTTP/1.1\r\nHost: o\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 5000\r\n\
                 Idempotency-Key: k\r\nContent-Length: 2\r\n\r\nhi"
            ),
        );
        connection
    }

    /// Sends a runner's call-back on a new connection.
    fn send_callback(&mut self, body: &str) {
        let connection = self.accept();
        let length = body.len();
        self.feed(
            connection,
            &format!("POST /v1/job-events HTTP/1.1\r\nContent-Length: {length}\r\n\r\n{body}"),
        );
    }

    /// Compares the whole trace with the expected one.
    fn assert_trace(&self, expected: Expect) {
        expected.assert_eq(&self.driver.trace);
    }
}

/// One chunk of a chunked response.
fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// Head of discovery's response to a watch.
const WATCH_HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
/// A new generation without changes.
const EMPTY_CHANGE: &str = "{\"generation\":43,\"reset\":false,\"instances\":[]}\n";
/// An empty line in a chunk, which keeps a watch alive.
const EMPTY_LINE: &str = "1\r\n\n\r\n";
/// A runner's response to a forward that it accepts.
const ACCEPTED: &str = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n";
/// A runner's response to a cancel.
const NO_CONTENT: &str = "HTTP/1.1 204 No Content\r\n\r\n";
/// After so many ms a connection carries the next forward.
const SETTLED_MS: i64 = 10;

#[test]
fn a_forward_is_accepted_and_its_result_answered() {
    let mut node = Node::with_watch(&RUNNERS[..1]);
    node.invoke("plan", "i1");
    node.advance(1);
    node.connect(3);
    node.feed(3, ACCEPTED);
    node.advance(300);
    node.send_callback(r#"{"id":"i1","from":"s-a","state":"running","share":0.4}"#);
    node.send_callback(
        r#"{"id":"i1","from":"s-a","state":"done","result":"a \"b\"","load":{"x0":1,"outstanding":2}}"#,
    );
    // Repeated, as if the 200 had been lost.
    node.send_callback(r#"{"id":"i1","from":"s-a","state":"done","result":"a \"b\""}"#);
    node.assert_trace(expect![[r#"
        0     #3 dials 127.0.0.1:3001
        1     #3 < POST /plan/7?x=1; Host: o; X-Request-Id: i1; Idempotency-Key: k; X-Deadline-Ms: 4979; Content-Length: 2 = hi
        301   #4 < 200 OK; Content-Length: 0
        301   #5 < 200 OK; Content-Length: 0
        301   #2 < 200 OK; Content-Length: 5 = a "b"
        301   #6 < 200 OK; Content-Length: 0
    "#]]);
}

#[test]
fn a_call_back_may_come_before_the_202() {
    let mut node = Node::with_watch(&RUNNERS[..1]);
    node.invoke("book", "i1");
    node.connect(3);
    node.send_callback(r#"{"id":"i1","from":"s-a","state":"done","result":"r"}"#);
    node.feed(3, ACCEPTED);
    // The connection is free again.
    node.advance(SETTLED_MS);
    node.invoke("book", "i2");
    node.assert_trace(expect![[r#"
        0     #3 dials 127.0.0.1:3001
        0     #3 < POST /book/7?x=1; Host: o; X-Request-Id: i1; Idempotency-Key: k; X-Deadline-Ms: 4980; Content-Length: 2 = hi
        0     #4 < 200 OK; Content-Length: 0
        0     #2 < 200 OK; Content-Length: 1 = r
        10    #3 < POST /book/7?x=1; Host: o; X-Request-Id: i2; Idempotency-Key: k; X-Deadline-Ms: 4980; Content-Length: 2 = hi
    "#]]);
}

#[test]
fn a_connection_found_closed_is_not_reused() {
    let mut node = Node::with_accepted_forward("plan");
    node.advance(SETTLED_MS);
    node.driver.stale.insert(3);
    node.invoke("plan", "i2");
    node.assert_trace(expect![[r#"
        0     #3 dials 127.0.0.1:3001
        0     #3 < POST /plan/7?x=1; Host: o; X-Request-Id: i1; Idempotency-Key: k; X-Deadline-Ms: 4980; Content-Length: 2 = hi
        10    #3 ends: stale
        10    #5 dials 127.0.0.1:3001
    "#]]);
}

/// Guards against taking a reused connection that breaks for a runner that is down: the probe is repeated on
/// a new connection, whose failure counts.
#[test]
fn a_probe_on_a_reused_connection_that_breaks_is_repeated_once() {
    let mut driver = TestDriver { now: START, ..TestDriver::default() };
    let configuration = config::decode(&configuration(&RUNNERS[..1])).unwrap();
    let mut runners = Runners::new(&configuration.decoded);
    let runner = Id::from("s-a");
    runners.update_runner(&runner, true, Some("127.0.0.1:3001".parse().unwrap()), &mut driver);
    runners.probe(&runner, &mut driver);
    runners.connected(1, &mut driver);
    let mut answer = b"HTTP/1.1 200 OK\r\nContent-Length: 22\r\n\r\n{\"x0\":1,\"inflight\":0} ".to_vec();
    runners.received(1, &mut answer, &mut driver);
    runners.probe(&runner, &mut driver);
    runners.closed(1, CloseReason::Reset, false, b"", &mut driver);
    runners.connected(2, &mut driver);
    runners.closed(2, CloseReason::Reset, false, b"", &mut driver);
    for event in runners.events {
        driver.record(&format!("{event:?}"));
    }
    expect![[r#"
        0     #1 dials 127.0.0.1:3001
        0     #1 < GET /load; Host: 127.0.0.1:3001
        0     #1 < GET /load; Host: 127.0.0.1:3001
        0     #2 dials 127.0.0.1:3001
        0     #2 < GET /load; Host: 127.0.0.1:3001
        0     Probed { runner: "s-a", alive: true, report: [1.0, 0.0] }
        0     Probed { runner: "s-a", alive: false, report: [] }
    "#]]
    .assert_eq(&driver.trace);
}

#[test]
fn a_connection_that_becomes_free_carries_a_forward_that_waits_for_a_dial() {
    let mut node = Node::with_watch(&RUNNERS[..1]);
    node.invoke("plan", "i1");
    node.invoke("plan", "i2");
    node.connect(3);
    node.feed(3, ACCEPTED);
    node.advance(SETTLED_MS);
    node.connect(5);
    node.feed(3, ACCEPTED);
    node.assert_trace(expect![[r#"
        0     #3 dials 127.0.0.1:3001
        0     #5 dials 127.0.0.1:3001
        0     #3 < POST /plan/7?x=1; Host: o; X-Request-Id: i1; Idempotency-Key: k; X-Deadline-Ms: 4980; Content-Length: 2 = hi
        10    #3 < POST /plan/7?x=1; Host: o; X-Request-Id: i2; Idempotency-Key: k; X-Deadline-Ms: 4970; Content-Length: 2 = hi
    "#]]);
}

#[test]
fn an_invocation_that_never_ran_goes_to_another_runner_or_is_throttled() {
    let mut node = Node::with_watch(&RUNNERS);
    node.invoke("book", "i1");
    node.advance(260);
    node.connect(4);
    node.feed(
        4,
        "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nX-Load: {\"x0\":0,\"outstanding\":2}\r\n\
         Content-Length: 0\r\n\r\n",
    );
    node.advance(600);
    node.assert_trace(expect![[r#"
        0     #3 dials 127.0.0.1:3002
        250   #3 ends: dial_timeout
        250   #4 dials 127.0.0.1:3001
        260   #4 < POST /book/7?x=1; Host: o; X-Request-Id: i1; Idempotency-Key: k; X-Deadline-Ms: 4720; Content-Length: 2 = hi
        750   #2 < 429 Too Many Requests; Retry-After: 0.500; Content-Length: 0
    "#]]);
}

#[test]
fn a_request_written_whole_may_have_run() {
    let mut node = Node::with_watch(&RUNNERS);
    node.invoke("book", "i1");
    node.connect(3);
    node.close(3, CloseReason::Reset);
    node.assert_trace(expect![[r#"
        0     #3 dials 127.0.0.1:3002
        0     #3 < POST /book/7?x=1; Host: o; X-Request-Id: i1; Idempotency-Key: k; X-Deadline-Ms: 4980; Content-Length: 2 = hi
        0     #2 < 502 Bad Gateway; Content-Length: 0
    "#]]);
}

#[test]
fn a_request_not_written_whole_never_ran() {
    let mut node = Node::with_watch(&RUNNERS[..1]);
    node.invoke("book", "i1");
    node.connect(3);
    node.driver.blocked.insert(3);
    node.close(3, CloseReason::Reset);
    node.advance(1500);
    node.assert_trace(expect![[r#"
        0     #3 dials 127.0.0.1:3001
        0     #3 < POST /book/7?x=1; Host: o; X-Request-Id: i1; Idempotency-Key: k; X-Deadline-Ms: 4980; Content-Length: 2 = hi
        420   #4 dials 127.0.0.1:3001
        670   #4 ends: dial_timeout
        920   #2 < 429 Too Many Requests; Retry-After: 0.500; Content-Length: 0
    "#]]);
}

/// Guards against a second copy of a job: a forward to an unreachable runner is outstanding until its cancel
/// is answered, and the cancel is retried until then.
#[test]
fn a_cancel_is_tried_until_it_is_answered() {
    let mut node = Node::with_accepted_forward("plan");
    node.driver.stale.insert(3);
    let changed = concat!(
        r#"{"generation":43,"reset":false,"instances":[{"instanceId":"s-b","hostPort":"127.0.0.1:3002","#,
        r#""lifecycle":"up"}]}"#
    );
    node.feed(1, &chunk(&format!("{changed}\n")));
    // No progress is reported.
    for _ in 0..3 {
        node.advance(999);
        node.feed(1, EMPTY_LINE);
    }
    let connection = *node.driver.roles.iter().rfind(|(_, role)| **role == ConnectionRole::Runner).unwrap().0;
    node.connect(connection);
    node.feed(connection, NO_CONTENT);
    node.assert_trace(expect![[r#"
        0     #3 dials 127.0.0.1:3001
        0     #3 < POST /plan/7?x=1; Host: o; X-Request-Id: i1; Idempotency-Key: k; X-Deadline-Ms: 4980; Content-Length: 2 = hi
        1500  #3 ends: stale
        1500  #4 dials 127.0.0.1:3001
        1750  #4 ends: dial_timeout
        2000  #5 dials 127.0.0.1:3001
        2250  #5 ends: dial_timeout
        2750  #6 dials 127.0.0.1:3001
        2997  #6 < DELETE /jobs/i1; Host: 127.0.0.1:3001; Content-Length: 0
        2997  #7 dials 127.0.0.1:3002
    "#]]);
}

/// Guards against a second copy of a job at a runner that was removed from the roster but still runs: a
/// forward is outstanding until its cancel is answered or the runner's address refuses connections.
#[test]
fn a_runner_that_is_no_longer_listed_may_still_execute_its_job() {
    let mut node = Node::with_accepted_forward("plan");
    let removed = r#"{"generation":43,"reset":false,"instances":[{"instanceId":"s-a","lifecycle":"removed"},
        {"instanceId":"s-b","hostPort":"127.0.0.1:3002","lifecycle":"up"}]}"#;
    node.feed(1, &chunk(&format!("{}\n", removed.replace('\n', ""))));
    for _ in 0..2 {
        node.advance(999);
        node.feed(1, EMPTY_LINE);
    }
    node.advance(60);
    node.close(5, CloseReason::Refused);
    node.assert_trace(expect![[r#"
        0     #3 dials 127.0.0.1:3001
        0     #3 < POST /plan/7?x=1; Host: o; X-Request-Id: i1; Idempotency-Key: k; X-Deadline-Ms: 4980; Content-Length: 2 = hi
        0     #3 ends: unlisted
        1500  #4 dials 127.0.0.1:3001
        1750  #4 ends: dial_timeout
        2000  #5 dials 127.0.0.1:3001
        2058  #6 dials 127.0.0.1:3002
    "#]]);
}

#[test]
fn a_client_that_leaves_has_its_job_deleted() {
    let mut node = Node::with_watch(&RUNNERS[..1]);
    let client = node.invoke("plan", "i1");
    node.connect(3);
    node.feed(3, ACCEPTED);
    node.advance(20);
    node.close(client, CloseReason::PeerClosed);
    node.feed(3, NO_CONTENT);
    // A client that leaves before the 202: the runner's connection is closed as well.
    let client = node.invoke("plan", "i2");
    node.close(client, CloseReason::PeerClosed);
    node.assert_trace(expect![[r#"
        0     #3 dials 127.0.0.1:3001
        0     #3 < POST /plan/7?x=1; Host: o; X-Request-Id: i1; Idempotency-Key: k; X-Deadline-Ms: 4980; Content-Length: 2 = hi
        20    #3 < DELETE /jobs/i1; Host: 127.0.0.1:3001; Content-Length: 0
        20    #3 < POST /plan/7?x=1; Host: o; X-Request-Id: i2; Idempotency-Key: k; X-Deadline-Ms: 4980; Content-Length: 2 = hi
        20    #3 ends: given_up
        20    #5 dials 127.0.0.1:3001
    "#]]);
}

/// The routing policy gave up the forward, but the runner completed it: its result is the answer.
#[test]
fn a_late_result_is_answered_while_the_invocation_is_unanswered() {
    let mut node = Node::with_accepted_forward("plan");
    node.advance(1600);
    node.feed(3, NO_CONTENT);
    node.send_callback(r#"{"id":"i1","from":"s-a","state":"done","result":"r"}"#);
    node.assert_trace(expect![[r#"
        0     #3 dials 127.0.0.1:3001
        0     #3 < POST /plan/7?x=1; Host: o; X-Request-Id: i1; Idempotency-Key: k; X-Deadline-Ms: 4980; Content-Length: 2 = hi
        1500  #3 < DELETE /jobs/i1; Host: 127.0.0.1:3001; Content-Length: 0
        1600  #4 < 200 OK; Content-Length: 0
        1600  #2 < 200 OK; Content-Length: 1 = r
    "#]]);
}

/// A repeat of the call-back that ended an earlier forward to the same runner does not end the new one.
#[test]
fn a_repeated_return_ends_no_later_forward() {
    let mut node = Node::with_accepted_forward("book");
    let returned = r#"{"id":"i1","from":"s-a","state":"returned","load":{"x0":2,"outstanding":0}}"#;
    node.send_callback(returned);
    node.advance(400);
    node.send_callback(returned);
    node.feed(3, ACCEPTED);
    node.send_callback(r#"{"id":"i1","from":"s-a","state":"done","result":"r"}"#);
    node.assert_trace(expect![[r#"
        0     #3 dials 127.0.0.1:3001
        0     #3 < POST /book/7?x=1; Host: o; X-Request-Id: i1; Idempotency-Key: k; X-Deadline-Ms: 4980; Content-Length: 2 = hi
        0     #4 < 200 OK; Content-Length: 0
        300   #3 < POST /book/7?x=1; Host: o; X-Request-Id: i1; Idempotency-Key: k; X-Deadline-Ms: 4680; Content-Length: 2 = hi
        400   #5 < 200 OK; Content-Length: 0
        400   #6 < 200 OK; Content-Length: 0
        400   #2 < 200 OK; Content-Length: 1 = r
    "#]]);
}

#[test]
fn a_client_timeout_is_answered_in_time() {
    let mut node = Node::with_accepted_forward("book");
    for _ in 0..6 {
        node.advance(900);
        node.feed(1, EMPTY_LINE);
        node.send_callback(r#"{"id":"i1","from":"s-a","state":"running","share":0.1}"#);
    }
    let trace = std::mem::take(&mut node.driver.trace);
    node.driver.trace = trace.lines().filter(|line| !line.contains("200 OK")).collect::<Vec<_>>().join("\n");
    node.assert_trace(expect![[r#"
        0     #3 dials 127.0.0.1:3001
        0     #3 < POST /book/7?x=1; Host: o; X-Request-Id: i1; Idempotency-Key: k; X-Deadline-Ms: 4980; Content-Length: 2 = hi
        4980  #3 < DELETE /jobs/i1; Host: 127.0.0.1:3001; Content-Length: 0
        4980  #2 < 502 Bad Gateway; Content-Length: 0"#]]);
}

/// Guards against a process that was frozen for longer than clients wait and then gave the requests that had
/// arrived meanwhile their whole time: the answers came after the clients had left.
#[test]
fn the_time_a_request_waited_while_the_process_was_frozen_counts() {
    let mut node = Node::with_watch(&RUNNERS[..1]);
    node.driver.stalled_for = 3_000_000;
    node.invoke("plan", "i1");
    node.driver.stalled_for = 5_000_000;
    node.invoke("plan", "i2");
    node.driver.stalled_for = 0;
    node.connect(3);
    node.advance(2_000);
    node.assert_trace(expect![[r#"
        0     #3 dials 127.0.0.1:3001
        0     #4 < 503 Service Unavailable; Content-Length: 0
        0     #3 < POST /plan/7?x=1; Host: o; X-Request-Id: i1; Idempotency-Key: k; X-Deadline-Ms: 1980; Content-Length: 2 = hi
        1500  #3 ends: given_up
        1500  #5 dials 127.0.0.1:3001
        1750  #5 ends: dial_timeout
        1980  #6 dials 127.0.0.1:3001
        1980  #2 < 429 Too Many Requests; Retry-After: 0.500; Content-Length: 0
    "#]]);
}

#[test]
fn a_watch_that_falls_silent_or_ends_is_opened_again() {
    let mut node = Node::with_watch(&RUNNERS[..1]);
    node.advance(2000);
    node.feed(1, EMPTY_LINE);
    node.advance(3300);
    node.connect(2);
    node.feed(2, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
    node.advance(1200);
    // Not even a connection is established.
    node.advance(1500);
    node.assert_trace(expect![[r#"
        5046  #2 dials 127.0.0.1:8500
        5046  #2 < GET /v1/servers?follow=1&since=42; Host: 127.0.0.1:8500
        5300  #2 ends: bad_answer
        5593  #3 dials 127.0.0.1:8500
        5593  #3 < GET /v1/servers?follow=1&since=42; Host: 127.0.0.1:8500
        6593  #3 ends: watch_silent
        7288  #4 dials 127.0.0.1:8500
        7288  #4 < GET /v1/servers?follow=1&since=42; Host: 127.0.0.1:8500
    "#]]);
}

/// Guards against two failures of the watch: a request that stays unanswered takes most of the 6 s after
/// which a change counts as notified, and a request that is given up just before its answer when discovery
/// answers many clients slowly. A late request therefore stays open beside the next one.
#[test]
fn a_discovery_request_that_is_late_is_sent_again_and_may_still_be_answered() {
    let mut node = Node::new(&RUNNERS[..1]);
    node.connect(1);
    node.advance(2900);
    node.connect(1);
    node.feed(1, WATCH_HEAD);
    // The response head alone is no answer.
    node.advance(600);
    node.connect(2);
    node.advance(400);
    node.feed(1, &chunk(EMPTY_CHANGE));
    node.advance(3100);
    node.connect(3);
    node.feed(3, WATCH_HEAD);
    node.feed(3, &chunk(EMPTY_CHANGE));
    node.advance(2000);
    node.assert_trace(expect![[r#"
        0     #1 dials 127.0.0.1:8500
        0     #1 < GET /v1/servers?follow=1&since=41; Host: 127.0.0.1:8500
        3246  #2 dials 127.0.0.1:8500
        3246  #2 < GET /v1/servers?follow=1&since=41; Host: 127.0.0.1:8500
        3900  #2 ends: watch_replaced
        6846  #3 dials 127.0.0.1:8500
        6846  #3 < GET /v1/servers?follow=1&since=43; Host: 127.0.0.1:8500
        7000  #1 ends: watch_replaced
    "#]]);
}

/// How a request to discovery, or a watch, can fail.
#[derive(Clone, Copy, Debug, PartialEq)]
enum DiscoveryFault {
    /// The dial never completes.
    NeverUp,
    Refused,
    /// The request is answered with 503.
    Unavailable,
    Reset,
    SilentBeforeHead,
    SilentWithinHead,
    SilentBeforeLine,
    SilentAfterLine,
    SilentWithinLine,
    ResetAfterLine,
}

const DISCOVERY_FAULTS: [DiscoveryFault; 10] = [
    DiscoveryFault::NeverUp,
    DiscoveryFault::Refused,
    DiscoveryFault::Unavailable,
    DiscoveryFault::Reset,
    DiscoveryFault::SilentBeforeHead,
    DiscoveryFault::SilentWithinHead,
    DiscoveryFault::SilentBeforeLine,
    DiscoveryFault::SilentAfterLine,
    DiscoveryFault::SilentWithinLine,
    DiscoveryFault::ResetAfterLine,
];

impl Node {
    /// Makes the request on this connection fail, and leaves it right after the fault.
    fn inject_fault(&mut self, connection: ConnectionId, fault: DiscoveryFault) {
        if !matches!(fault, DiscoveryFault::NeverUp | DiscoveryFault::Refused) {
            self.connect(connection);
        }
        let answer = match fault {
            DiscoveryFault::NeverUp | DiscoveryFault::SilentBeforeHead => return,
            DiscoveryFault::Refused => return self.close(connection, CloseReason::Refused),
            DiscoveryFault::Reset => return self.close(connection, CloseReason::Reset),
            DiscoveryFault::Unavailable => {
                "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n".to_owned()
            }
            DiscoveryFault::SilentWithinHead => WATCH_HEAD[..20].to_owned(),
            DiscoveryFault::SilentBeforeLine => WATCH_HEAD.to_owned(),
            DiscoveryFault::SilentAfterLine | DiscoveryFault::ResetAfterLine => {
                format!("{WATCH_HEAD}{}", chunk(EMPTY_CHANGE))
            }
            DiscoveryFault::SilentWithinLine => {
                format!("{WATCH_HEAD}{}{}", chunk(EMPTY_CHANGE), chunk("{\"gen"))
            }
        };
        self.feed(connection, &answer);
        if fault == DiscoveryFault::ResetAfterLine {
            self.close(connection, CloseReason::Reset);
        }
    }

    /// The connection of the first request to discovery after the one on `before`, if there is one.
    fn next_discovery_request(&self, before: ConnectionId) -> Option<ConnectionId> {
        let requests = self.driver.roles.iter().filter(|(_, role)| **role == ConnectionRole::Roster);
        requests.map(|(connection, _)| *connection).find(|connection| *connection > before)
    }

    /// Makes the next request to discovery fail if it has been sent. Returns the connection of the last one.
    fn fail_next_discovery_request(&mut self, before: ConnectionId, fault: DiscoveryFault) -> ConnectionId {
        let Some(connection) = self.next_discovery_request(before) else { return before };
        self.inject_fault(connection, fault);
        connection
    }

    /// Waits for the next request to discovery and returns its connection.
    fn wait_for_next_discovery_request(&mut self, before: ConnectionId) -> ConnectionId {
        for _ in 0..1000 {
            if let Some(connection) = self.next_discovery_request(before) {
                return connection;
            }
            self.advance(10);
        }
        panic!("no further request to discovery: {}", self.driver.trace);
    }
}

/// After any two failures, the roster is in force within the 6 s after which a change counts as notified,
/// counted from the recovery of discovery, even if discovery takes 2 s to answer. Guards against a lease that
/// lapses and stops forwarding for longer than that.
#[test]
fn the_roster_is_in_force_in_time_after_any_two_discovery_failures() {
    for first in DISCOVERY_FAULTS {
        for second in DISCOVERY_FAULTS {
            let mut node = Node::with_watch(&RUNNERS[..1]);
            node.close(1, CloseReason::Reset);
            let connection = node.wait_for_next_discovery_request(1);
            node.inject_fault(connection, first);
            let connection = node.wait_for_next_discovery_request(connection);
            node.inject_fault(connection, second);
            let recovered_at = node.driver.now;
            let connection = node.wait_for_next_discovery_request(connection);
            node.connect(connection);
            node.advance(2000);
            node.feed(connection, &format!("{WATCH_HEAD}{}", chunk(EMPTY_CHANGE)));
            let took = (node.driver.now - recovered_at) / 1000;
            assert!(
                took < 5800,
                "roster in force {took} ms after {first:?}, {second:?}: {}",
                node.driver.trace
            );
            node.driver.trace.clear();
            node.invoke("plan", "i1");
            assert!(
                node.driver.trace.contains("dials 127.0.0.1:3001"),
                "nothing is forwarded after {first:?}, {second:?}: {}",
                node.driver.trace
            );
        }
    }
}

/// Guards against sending to a runner whose drain counts as notified but was missed: discovery was reachable,
/// but its changes did not arrive.
#[test]
fn nothing_is_forwarded_by_a_roster_that_may_be_out_of_date() {
    let silent =
        [DiscoveryFault::SilentBeforeHead, DiscoveryFault::SilentBeforeLine, DiscoveryFault::Unavailable];
    for fault in silent {
        let mut node = Node::with_watch(&RUNNERS[..1]);
        node.advance(1000);
        // The dial for this forward would complete only after the lease has lapsed.
        node.invoke("plan", "i1");
        let mut connection = 1;
        while node.driver.now < START + 5_990_000 {
            connection = node.fail_next_discovery_request(connection, fault);
            node.advance(10);
        }
        node.driver.trace.clear();
        node.invoke("plan", "i2");
        node.advance(10);
        node.invoke("plan", "i3");
        node.advance(300);
        let trace = &node.driver.trace;
        assert_eq!(
            trace.matches("dials 127.0.0.1:3001").count(),
            1,
            "only the dial before the lease lapses is expected, {fault:?}: {trace}"
        );
        assert!(trace.contains("ends: unlisted"), "the open dial is not ended, {fault:?}: {trace}");
        // The roster arrives and service resumes.
        let connection = node.wait_for_next_discovery_request(connection);
        node.connect(connection);
        node.feed(connection, &format!("{WATCH_HEAD}{}", chunk(EMPTY_CHANGE)));
        node.driver.trace.clear();
        node.invoke("plan", "i4");
        assert!(
            node.driver.trace.contains("dials 127.0.0.1:3001"),
            "nothing is forwarded after {fault:?}: {}",
            node.driver.trace
        );
    }
}

/// Guards against a starting process that forwards by the roster in its file while discovery has already
/// notified the others of a drain. A 503 may come from a discovery that is down or overloaded; a dial that
/// fails means that it cannot be reached.
#[test]
fn a_start_sends_nothing_before_discovery_answers_or_is_unreachable() {
    const HEALTH_REQUEST: &str = "GET /healthz HTTP/1.1\r\n\r\n";
    let start = |fault: DiscoveryFault, has_change: bool| {
        let mut node = Node::new(&RUNNERS[..1]);
        node.inject_fault(1, fault);
        node.invoke("plan", "i1");
        let health_check = node.accept();
        node.feed(health_check, HEALTH_REQUEST);
        if has_change {
            node.feed(1, &chunk(EMPTY_CHANGE));
        }
        node.feed(health_check, HEALTH_REQUEST);
        let mut connection = 1;
        let mut ready_at = None;
        for _ in 0..910 {
            connection = node.fail_next_discovery_request(connection, fault);
            node.advance(10);
            if ready_at.is_none() && node.driver.trace.contains("200 OK") {
                ready_at = Some((node.driver.now - START) / 1000);
            }
            if ready_at.is_none() {
                node.feed(health_check, HEALTH_REQUEST);
            }
        }
        (node.driver.trace.contains("dials 127.0.0.1:3001"), ready_at)
    };
    assert_eq!(start(DiscoveryFault::SilentBeforeLine, true), (true, Some(10)));
    assert_eq!(start(DiscoveryFault::Refused, false), (true, Some(10)));
    assert_eq!(start(DiscoveryFault::NeverUp, false), (false, Some(1010)));
    assert_eq!(start(DiscoveryFault::Unavailable, false), (false, Some(9010)));
    assert_eq!(start(DiscoveryFault::SilentBeforeHead, false), (false, Some(9010)));
}

/// Where an agent of this dispatcher pushes the rosters, an agent that does not answer has received no change
/// either, as when discovery is down. Guards against the end of all service 6 s after the watch fell silent.
#[test]
fn an_agent_that_is_silent_stops_no_service() {
    for fault in
        [DiscoveryFault::SilentBeforeHead, DiscoveryFault::SilentBeforeLine, DiscoveryFault::Unavailable]
    {
        let pushed = configuration(&RUNNERS[..1]).replace("subscribe", "automatic");
        let mut node = Node::from_text(&pushed.replace("\"askWithin\":10000000", "\"drainGrace\":500000"))
            .with_watch_answered();
        let mut connection = 1;
        while node.driver.now < START + 20_000_000 {
            connection = node.fail_next_discovery_request(connection, fault);
            node.advance(10);
            let ms = (node.driver.now - START) / 1000;
            if [6_500, 13_000, 19_500].contains(&ms) {
                node.driver.trace.clear();
                node.invoke("plan", &format!("i{ms}"));
                assert!(
                    node.driver.trace.contains(":3001"),
                    "nothing is forwarded at {ms} ms, {fault:?}: {}",
                    node.driver.trace
                );
            }
        }
    }
}

/// Discovery that refuses every request for as long as a start may take counts as down, so that service can
/// begin.
#[test]
fn a_discovery_that_refuses_every_request_for_long_counts_as_down() {
    let mut node = Node::new(&RUNNERS[..1]);
    let (mut connection, mut sent_at, mut next_request_at) = (0, None, START);
    let client = node.accept();
    while node.driver.now < START + 30_000_000 && sent_at.is_none() {
        connection = node.fail_next_discovery_request(connection, DiscoveryFault::Unavailable);
        node.advance(50);
        if node.driver.now >= next_request_at {
            next_request_at += 1_000_000;
            let request = format!(
                "POST /plan HTTP/1.1\r\nX-Request-Id: i{next_request_at}\r\nX-Deadline-Ms: 900\r\n\r\n"
            );
            node.feed(client, &request);
        }
        sent_at = node
            .driver
            .trace
            .contains("dials 127.0.0.1:3001")
            .then_some((node.driver.now - START) / 1_000_000);
    }
    assert!(
        sent_at.is_some_and(|sent_at| (25..=26).contains(&sent_at)),
        "seconds until the first forward: {sent_at:?}"
    );
}

/// Where discovery is down or unreachable no change can be notified, and service continues by the current
/// roster.
#[test]
fn a_discovery_that_cannot_be_reached_stops_no_service() {
    let down = [
        DiscoveryFault::NeverUp,
        DiscoveryFault::Refused,
        DiscoveryFault::Reset,
        DiscoveryFault::Unavailable,
    ];
    for fault in down {
        let mut node = Node::with_watch(&RUNNERS[..1]);
        node.advance(1000);
        node.close(1, CloseReason::Reset);
        let mut connection = 1;
        while node.driver.now < START + 20_000_000 {
            connection = node.fail_next_discovery_request(connection, fault);
            node.advance(10);
        }
        node.driver.trace.clear();
        node.invoke("plan", "i1");
        assert!(
            node.driver.trace.contains("dials 127.0.0.1:3001"),
            "nothing is forwarded after {fault:?}: {}",
            node.driver.trace
        );
    }
}

/// Guards against two failures: a whole roster that takes longer than a watch may be silent was cut off and
/// requested again without end, and one that arrives in small pieces without end was waited for.
#[test]
fn a_whole_roster_may_arrive_slowly_but_not_without_end() {
    let mut node = Node::with_watch(&RUNNERS[..1]);
    let moved = config::decode(&configuration(&RUNNERS).replace("8500", "8501")).unwrap();
    node.table.reload(moved, &mut node.driver);
    node.connect(2);
    let list = r#"{"generation":7,"reset":true,"instances":[{"instanceId":"s-b","lifecycle":"up",
        "hostPort":"127.0.0.1:3002"}]}"#;
    let list = format!("{list}{}", " ".repeat(6 << 10));
    node.feed(2, &format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", list.len()));
    for piece in list.as_bytes().chunks(1 << 10) {
        node.advance(1400);
        node.feed(2, std::str::from_utf8(piece).unwrap());
    }
    node.feed(2, &format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", 1 << 20));
    for _ in 0..20 {
        node.advance(600);
        node.feed(2, &" ".repeat(1 << 10));
    }
    node.assert_trace(expect![[r#"
        0     #1 ends: watch_replaced
        0     #2 dials 127.0.0.1:8501
        0     #2 < GET /v1/servers; Host: 127.0.0.1:8501
        9800  #2 < GET /v1/servers?follow=1&since=7; Host: 127.0.0.1:8501
        20400 #2 ends: watch_silent
        20646 #3 dials 127.0.0.1:8501
        20646 #3 < GET /v1/servers?follow=1&since=7; Host: 127.0.0.1:8501
        21646 #3 ends: watch_silent
    "#]]);
}

/// Where rosters are pushed a change counts as notified even if no dispatcher listens: growing retry delays
/// would outlast the drain grace.
#[test]
fn a_refusing_discovery_is_queried_again_within_the_drain_grace_where_rosters_are_pushed() {
    let pushed = configuration(&RUNNERS).replace("subscribe", "automatic");
    let mut node = Node::from_text(&pushed.replace("\"askWithin\":10000000", "\"drainGrace\":250000"));
    for connection in 1..=9 {
        node.close(connection, CloseReason::Refused);
        node.advance(95);
    }
    assert_eq!(node.driver.trace.matches("dials 127.0.0.1:8500").count(), 10, "{}", node.driver.trace);
}

/// Single bytes without a whole line do not keep a watch alive: changes count as notified all the same.
#[test]
fn a_watch_that_trickles_without_a_whole_line_is_silent() {
    let mut node = Node::with_watch(&RUNNERS[..1]);
    for _ in 0..5 {
        node.advance(700);
        node.feed(1, "1\r\n \r\n");
    }
    node.assert_trace(expect![[r#"
        3046  #2 dials 127.0.0.1:8500
        3046  #2 < GET /v1/servers?follow=1&since=42; Host: 127.0.0.1:8500
    "#]]);
}

/// Guards against a roster generation that counts as received while one of its drains was dropped: it is not
/// sent again.
#[test]
fn a_drain_is_applied_even_if_the_rest_of_its_entry_is_unreadable() {
    let mut node = Node::with_watch(&RUNNERS);
    let changes = [
        r#"{"instanceId":"s-a","lifecycle":"draining","hostPort":"nowhere","cell":"x"}"#,
        r#"{"instanceId":"s-b","lifecycle":"resting"}"#,
        r#"{"instanceId":"s-a","lifecycle":"up","hostPort":7}"#,
        r#"{"instanceId":7,"lifecycle":"draining"}"#,
    ];
    let list = format!(r#"{{"generation":43,"reset":false,"instances":[{}]}}"#, changes.join(","));
    node.feed(1, &chunk(&format!("{list}\n")));
    node.invoke("plan", "i1");
    node.advance(900);
    node.assert_trace(expect![[r#"
        750   #2 < 429 Too Many Requests; Retry-After: 0.500; Content-Length: 0
    "#]]);
}

/// An indented roster is one JSON object over many lines, and may arrive in pieces.
#[test]
fn a_roster_over_several_lines_is_read_once_it_is_whole() {
    let mut node = Node::with_watch(&RUNNERS);
    node.feed(1, &chunk("{\n  \"generation\": 43,\n  \"reset\": false,\n  \"instances\": [\n"));
    node.feed(1, &chunk("    {\"instanceId\": \"s-a\",\n \"lifecycle\": \"draining\"}\n  ]\n"));
    node.feed(1, &chunk("}\n\n{\"generation\":44,\"instances\":[]}\n{\"gen"));
    for id in ["i1", "i2", "i3"] {
        node.invoke("plan", id);
    }
    node.close(1, CloseReason::Reset);
    node.advance(500);
    node.assert_trace(expect![[r#"
        0     #3 dials 127.0.0.1:3002
        0     #5 dials 127.0.0.1:3002
        154   #7 dials 127.0.0.1:8500
        154   #7 < GET /v1/servers?follow=1&since=44; Host: 127.0.0.1:8500
        250   #3 ends: dial_timeout
        250   #5 ends: dial_timeout
    "#]]);
}

/// Discovery has restarted its generations at the same address: a drain between the two counts would be in
/// neither.
#[test]
fn a_generation_that_goes_back_causes_a_request_for_the_whole_roster() {
    let mut node = Node::with_watch(&RUNNERS);
    let gone = r#"{"generation":7,"reset":false,"instances":[{"instanceId":"s-b","lifecycle":"removed"}]}"#;
    node.feed(1, &chunk(&format!("{gone}\n")));
    node.advance(400);
    node.connect(2);
    let list = r#"{"generation":9,"reset":true,"instances":[{"instanceId":"s-a","lifecycle":"draining"}]}"#;
    node.feed(2, &format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len()));
    node.invoke("plan", "i1");
    node.advance(800);
    node.assert_trace(expect![[r#"
        0     #1 ends: bad_answer
        246   #2 dials 127.0.0.1:8500
        246   #2 < GET /v1/servers; Host: 127.0.0.1:8500
        400   #2 < GET /v1/servers?follow=1&since=9; Host: 127.0.0.1:8500
        1150  #3 < 429 Too Many Requests; Retry-After: 0.500; Content-Length: 0
    "#]]);
}

/// A forward that waits for a dial to a runner's previous address goes to its new one.
#[test]
fn a_forward_waiting_for_a_dial_to_an_old_address_goes_to_the_new_one() {
    let mut node = Node::with_watch(&RUNNERS[..1]);
    node.invoke("plan", "i1");
    let moved = r#"{"generation":43,"instances":[{"instanceId":"s-a","lifecycle":"up","hostPort":"127.0.0.1:3009"}]}"#;
    node.feed(1, &chunk(&format!("{moved}\n")));
    node.advance(100);
    node.connect(4);
    node.assert_trace(expect![[r#"
        0     #3 dials 127.0.0.1:3001
        0     #3 ends: unlisted
        0     #4 dials 127.0.0.1:3009
        100   #4 < POST /plan/7?x=1; Host: o; X-Request-Id: i1; Idempotency-Key: k; X-Deadline-Ms: 4880; Content-Length: 2 = hi
    "#]]);
}

#[test]
fn a_new_discovery_address_is_queried_for_the_whole_roster_at_once() {
    let mut node = Node::with_watch(&RUNNERS);
    let moved = |port: &str| {
        let text = configuration(&RUNNERS).replace("8500", port).replace("\"sockets\":64", "\"sockets\":128");
        config::decode(&text).unwrap()
    };
    node.table.reload(moved("8501"), &mut node.driver);
    // The same address again leaves the current watch alone.
    node.table.reload(moved("8501"), &mut node.driver);
    node.connect(2);
    node.feed(2, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
    node.advance(600);
    node.connect(3);
    let list = r#"{"generation":7,"reset":true,"instances":[{"instanceId":"s-b","lifecycle":"up",
        "hostPort":"127.0.0.1:3002"}]}"#;
    node.feed(3, &format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len()));
    node.feed(3, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    // Nothing more goes to a runner that the new roster does not contain.
    for id in ["i1", "i2", "i3"] {
        node.invoke("plan", id);
    }
    // The shutdown begins while yet another watch is being dialled.
    node.table.reload(moved("8502"), &mut node.driver);
    node.table.begin_shutdown(&mut node.driver);
    node.assert_trace(expect![[r#"
        0     #1 ends: watch_replaced
        0     #2 dials 127.0.0.1:8501
        0     #2 < GET /v1/servers; Host: 127.0.0.1:8501
        0     #2 ends: bad_answer
        246   #3 dials 127.0.0.1:8501
        246   #3 < GET /v1/servers; Host: 127.0.0.1:8501
        600   #3 < GET /v1/servers?follow=1&since=7; Host: 127.0.0.1:8501
        600   #5 dials 127.0.0.1:3002
        600   #7 dials 127.0.0.1:3002
        600   #3 ends: watch_replaced
        600   #9 dials 127.0.0.1:8502
        600   #9 < GET /v1/servers; Host: 127.0.0.1:8502
    "#]]);
}

#[test]
fn a_listed_address_is_used_at_once_and_a_bad_entry_passed_over() {
    let mut node = Node::with_accepted_forward("plan");
    let moved = concat!(
        r#"{"generation":43,"reset":true,"instances":[{"instanceId":"s-x","lifecycle":"odd"},"#,
        r#"{"instanceId":"s-a","hostPort":"127.0.0.1:3009","lifecycle":"up"}]}"#
    );
    node.feed(1, &chunk(&format!("{moved}\n")));
    node.invoke("plan", "i2");
    node.assert_trace(expect![[r#"
        0     #3 dials 127.0.0.1:3001
        0     #3 < POST /plan/7?x=1; Host: o; X-Request-Id: i1; Idempotency-Key: k; X-Deadline-Ms: 4980; Content-Length: 2 = hi
        0     #3 ends: unlisted
        0     #5 dials 127.0.0.1:3009
    "#]]);
}

#[test]
fn a_shutdown_answers_what_has_been_accepted() {
    let mut node = Node::with_watch(&RUNNERS[..1]);
    let idle = node.accept();
    node.invoke("plan", "i1");
    node.connect(4);
    node.feed(4, ACCEPTED);
    node.table.begin_shutdown(&mut node.driver);
    node.table.begin_shutdown(&mut node.driver);
    let late = node.accept();
    node.feed(late, "GET /healthz HTTP/1.1\r\n\r\n");
    node.advance(1000);
    node.send_callback(r#"{"id":"i1","from":"s-a","state":"done","result":"r"}"#);
    // Clients keep their connections for a while, as no other dispatcher may be available yet.
    node.advance(900);
    node.feed(idle, "POST /plan HTTP/1.1\r\nX-Request-Id: i2\r\nX-Deadline-Ms: 900\r\n\r\n");
    node.feed(4, ACCEPTED);
    node.advance(200);
    node.driver.record(&format!("down: {}", node.table.is_shutdown_complete(node.driver.now)));
    node.send_callback(r#"{"id":"i2","from":"s-a","state":"done","result":"q"}"#);
    node.driver.record(&format!("down: {}", node.table.is_shutdown_complete(node.driver.now)));
    node.assert_trace(expect![[r#"
        0     #4 dials 127.0.0.1:3001
        0     #4 < POST /plan/7?x=1; Host: o; X-Request-Id: i1; Idempotency-Key: k; X-Deadline-Ms: 4980; Content-Length: 2 = hi
        0     #5 < 503 Service Unavailable; Content-Length: 0
        1000  #6 < 200 OK; Content-Length: 0
        1000  #3 < 200 OK; Content-Length: 1 = r
        1900  #4 < POST /plan; X-Request-Id: i2; X-Deadline-Ms: 880; Content-Length: 0
        2000  #3 ends: terminated
        2000  #5 ends: terminated
        2100  down: false
        2100  #7 < 200 OK; Content-Length: 0
        2100  #2 < 200 OK; Connection: close; Content-Length: 1 = q
        2100  #2 ends: terminated
        2100  down: true
    "#]]);
}

/// A request that has arrived on a connection about to be closed as idle is accepted.
#[test]
fn a_shutdown_reads_what_has_just_arrived() {
    let mut node = Node::with_watch(&RUNNERS[..1]);
    let client = node.accept();
    node.driver.stale.insert(client);
    node.table.begin_shutdown(&mut node.driver);
    node.advance(2000);
    node.driver.record(&format!("down: {}", node.table.is_shutdown_complete(node.driver.now)));
    node.feed(client, "POST /plan HTTP/1.1\r\nX-Request-Id: i1\r\nX-Deadline-Ms: 900\r\n\r\n");
    node.close(3, CloseReason::Refused);
    node.advance(900);
    node.driver.record(&format!("down: {}", node.table.is_shutdown_complete(node.driver.now)));
    node.assert_trace(expect![[r#"
        2000  down: false
        2000  #3 dials 127.0.0.1:3001
        2420  #4 dials 127.0.0.1:3001
        2670  #4 ends: dial_timeout
        2820  #2 < 429 Too Many Requests; Retry-After: 0.500; Connection: close; Content-Length: 0
        2820  #2 ends: terminated
        2900  down: true
    "#]]);
}

#[test]
fn a_shutdown_leaves_nothing_unanswered() {
    let mut node = Node::with_accepted_forward("book");
    node.table.begin_shutdown(&mut node.driver);
    node.advance(2200);
    node.send_callback(r#"{"id":"i1","from":"s-a","state":"running","share":0.4}"#);
    node.advance(1200);
    node.driver.record(&format!("down: {}", node.table.is_shutdown_complete(node.driver.now)));
    node.assert_trace(expect![[r#"
        0     #3 dials 127.0.0.1:3001
        0     #3 < POST /book/7?x=1; Host: o; X-Request-Id: i1; Idempotency-Key: k; X-Deadline-Ms: 4980; Content-Length: 2 = hi
        2200  #4 < 200 OK; Content-Length: 0
        2946  #5 dials 127.0.0.1:8500
        2946  #5 < GET /v1/servers?follow=1&since=42; Host: 127.0.0.1:8500
        3300  #3 < DELETE /jobs/i1; Host: 127.0.0.1:3001; Content-Length: 0
        3300  #2 < 502 Bad Gateway; Connection: close; Content-Length: 0
        3300  #2 ends: terminated
        3400  down: true
    "#]]);
}

/// Guards against forwarding an idempotent invocation again just before the process ends, which would lose
/// it.
#[test]
fn a_shutdown_forwards_nothing_again_at_the_last_moment() {
    let mut node = Node::with_watch(&RUNNERS);
    node.table.begin_shutdown(&mut node.driver);
    node.advance(2900);
    node.invoke("plan", "i1");
    node.connect(3);
    node.feed(3, ACCEPTED);
    node.advance(430);
    node.driver.record(&format!("down: {}", node.table.is_shutdown_complete(node.driver.now)));
    node.assert_trace(expect![[r#"
        2900  #3 dials 127.0.0.1:3001
        2900  #3 < POST /plan/7?x=1; Host: o; X-Request-Id: i1; Idempotency-Key: k; X-Deadline-Ms: 4980; Content-Length: 2 = hi
        3046  #4 dials 127.0.0.1:8500
        3046  #4 < GET /v1/servers?follow=1&since=42; Host: 127.0.0.1:8500
        3300  #3 < DELETE /jobs/i1; Host: 127.0.0.1:3001; Content-Length: 0
        3300  #2 < 429 Too Many Requests; Retry-After: 0.500; Connection: close; Content-Length: 0
        3300  #2 ends: terminated
        3330  down: true
    "#]]);
}

/// Guards against shutdown spans fitted to longer client timeouts than the settings have: the process was
/// killed 0.7 s after the longest client timeout while it still accepted clients. Requests after the last
/// step are still answered, and an invocation that was never sent is throttled, not failed.
#[test]
fn a_shutdown_follows_the_longest_client_timeout_of_the_settings() {
    let text = configuration(&RUNNERS[..1]);
    let mut node = Node::from_text(&text.replace("8000000", "900000").replace("5000000", "600000"))
        .with_watch_answered();
    let clients: Vec<ConnectionId> = (0..3).map(|_| node.accept()).collect();
    let request =
        |id: &str| format!("POST /book HTTP/1.1\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 900\r\n\r\n");
    node.table.begin_shutdown(&mut node.driver);
    node.advance(800);
    node.feed(clients[0], &request("i1"));
    node.connect(5);
    // Requests on the other connections are read later; the second one's dial is still under way at the end.
    node.driver.stale.extend(&clients[1..]);
    node.advance(300);
    node.feed(clients[1], &request("i2"));
    node.advance(101);
    node.driver.record(&format!("down: {}", node.table.is_shutdown_complete(node.driver.now)));
    node.feed(clients[2], &request("i3"));
    node.advance(30);
    node.driver.record(&format!("down: {}", node.table.is_shutdown_complete(node.driver.now)));
    node.assert_trace(expect![[r#"
        800   #5 dials 127.0.0.1:3001
        800   #5 < POST /book; X-Request-Id: i1; X-Deadline-Ms: 880; Content-Length: 0
        1100  #6 dials 127.0.0.1:3001
        1200  #5 ends: given_up
        1200  #7 dials 127.0.0.1:3001
        1200  #2 < 502 Bad Gateway; Connection: close; Content-Length: 0
        1200  #2 ends: terminated
        1200  #3 < 429 Too Many Requests; Retry-After: 0.500; Connection: close; Content-Length: 0
        1200  #3 ends: terminated
        1201  down: false
        1201  #4 < 503 Service Unavailable; Retry-After: 1.000; Connection: close; Content-Length: 0
        1201  #4 ends: terminated
        1231  down: true
    "#]]);
}

/// A client that has left is not served, whatever its invocation waits for, even where no cancel may be sent.
#[test]
fn a_forward_not_sent_when_its_client_leaves_is_never_sent() {
    let text = configuration(&RUNNERS[..1]).replace("\"cancel\":true", "\"cancel\":false");
    let mut node = Node::from_text(&text).with_watch_answered();
    let waiting_client = node.invoke("book", "i1");
    node.close(waiting_client, CloseReason::PeerClosed);
    node.connect(3);
    // Only part of the request went into a full socket; no runner starts on a part.
    node.driver.blocked.insert(3);
    let half_sent_client = node.invoke("book", "i2");
    node.close(half_sent_client, CloseReason::Reset);
    // Between a forward that the runner rejected and the next one.
    let rejected_client = node.invoke("book", "i3");
    node.connect(6);
    node.feed(6, "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
    node.close(rejected_client, CloseReason::PeerClosed);
    node.advance(900);
    node.assert_trace(expect![[r#"
        0     #3 dials 127.0.0.1:3001
        0     #3 < POST /book/7?x=1; Host: o; X-Request-Id: i2; Idempotency-Key: k; X-Deadline-Ms: 4980; Content-Length: 2 = hi
        0     #3 ends: given_up
        0     #6 dials 127.0.0.1:3001
        0     #6 < POST /book/7?x=1; Host: o; X-Request-Id: i3; Idempotency-Key: k; X-Deadline-Ms: 4980; Content-Length: 2 = hi
    "#]]);
}

/// Guards against a runner that works in vain because its deadline includes the time that the dial took.
#[test]
fn a_forward_carries_the_time_left_when_it_is_sent() {
    let mut node = Node::with_watch(&RUNNERS[..1]);
    node.invoke("plan", "i1");
    node.advance(200);
    node.connect(3);
    node.assert_trace(expect![[r#"
        0     #3 dials 127.0.0.1:3001
        200   #3 < POST /plan/7?x=1; Host: o; X-Request-Id: i1; Idempotency-Key: k; X-Deadline-Ms: 4780; Content-Length: 2 = hi
    "#]]);
}

/// Guards against serving a client whose close has arrived but has not been read, because the turn of the
/// event loop was long or the dial completed first. Covers first and further forwards over an idle
/// connection, a new one and one that becomes free.
#[test]
fn a_client_whose_close_has_not_been_read_yet_is_not_served() {
    let mut node = Node::with_accepted_forward("plan");
    node.send_callback(r#"{"id":"i1","from":"s-a","state":"done","result":"r"}"#);
    node.driver.trace.clear();
    // Over the idle connection.
    let client = node.accept();
    node.driver.closed_by_peer.insert(client);
    node.feed(client, "POST /plan HTTP/1.1\r\nX-Request-Id: i2\r\nX-Deadline-Ms: 5000\r\n\r\n");
    // Its close has no effect when it is read; the next one gets the connection.
    node.close(client, CloseReason::PeerClosed);
    let third = node.invoke("plan", "i3");
    // Over a new connection, and over connections that become free.
    let dial_for = |node: &mut Node, id: &str| {
        let client = node.invoke("plan", id);
        node.driver.closed_by_peer.insert(client);
        *node.driver.roles.iter().rfind(|(_, role)| **role == ConnectionRole::Runner).unwrap().0
    };
    let dialled = dial_for(&mut node, "i4");
    dial_for(&mut node, "i5");
    node.connect(dialled);
    node.feed(3, ACCEPTED);
    // A further forward.
    node.driver.closed_by_peer.insert(third);
    node.send_callback(r#"{"id":"i3","from":"s-a","state":"returned"}"#);
    node.advance(400);
    let trace = &node.driver.trace;
    assert_eq!(trace.matches("< POST").count(), 1, "{trace}");
    assert!(trace.contains("X-Request-Id: i3"), "{trace}");
}

/// Guards against dials that complete after the drain grace, with a forward for a runner that drains or is
/// gone.
#[test]
fn a_forward_waiting_for_a_dial_to_a_draining_runner_goes_elsewhere() {
    for left in
        [r#"{"instanceId":"s-a","lifecycle":"draining"}"#, r#"{"instanceId":"s-a","lifecycle":"removed"}"#]
    {
        let mut node = Node::with_watch(&RUNNERS[..1]);
        node.invoke("book", "i1");
        let list = format!(r#"{{"generation":43,"instances":[{left}]}}"#);
        node.feed(1, &chunk(&format!("{list}\n")));
        let other = r#"{"instanceId":"s-b","lifecycle":"up","hostPort":"127.0.0.1:3002"}"#;
        node.feed(1, &chunk(&format!("{{\"generation\":44,\"instances\":[{other}]}}\n")));
        node.advance(100);
        let lines = node.driver.trace.lines().filter(|line| line.contains("dials"));
        assert_eq!(lines.map(|line| &line[line.len() - 4..]).collect::<Vec<_>>(), ["3001", "3002"]);
        assert!(!node.driver.trace.contains("POST"), "{}", node.driver.trace);
    }
}

/// Guards against an id that runs twice when it comes again after its client has left, and one other client has
/// sent thousands of requests meanwhile.
#[test]
fn an_id_is_remembered_while_thousands_of_others_are_answered() {
    let mut node = Node::with_accepted_forward("plan");
    node.close(2, CloseReason::PeerClosed);
    node.send_callback(r#"{"id":"i1","from":"s-a","state":"done","result":"r"}"#);
    // The runner is full with these two, and others wait.
    node.invoke("book", "i2");
    node.invoke("book", "i3");
    for nth in 0..20_000 {
        let client = node.invoke("book", &format!("o{nth}"));
        node.close(client, CloseReason::PeerClosed);
    }
    node.driver.trace.clear();
    node.invoke("plan", "i1");
    assert!(node.driver.trace.contains("repeated_id"), "{}", node.driver.trace);
}

/// Connections are closed in this order: without a request, with health checks only, then the longest idle.
#[test]
fn a_new_connection_replaces_one_that_sends_nothing() {
    let mut node = Node::with_watch(&RUNNERS[..1]);
    let invoking_client = node.accept();
    node.feed(invoking_client, "POST /plan HTTP/1.1\r\nX-Request-Id: i1\r\nX-Deadline-Ms: 15\r\n\r\n");
    let health_check = node.accept();
    node.feed(health_check, "GET /healthz HTTP/1.1\r\n\r\n");
    for _ in 0..36 {
        node.accept();
        node.advance(5);
    }
    node.driver.trace.clear();
    let lingering = node.driver.open_connection(ConnectionRole::Client);
    node.driver.lingering.push(lingering);
    node.accept();
    // All new connections are still within their grace period.
    node.accept();
    node.accept();
    node.advance(110);
    node.accept();
    node.feed(4, "POST /plan HTTP/1.1\r\nX-");
    node.advance(5);
    node.accept();
    node.assert_trace(expect![[r#"
        180   #40 ends: bad_input
        180   #3 ends: made_room
        180   #2 ends: made_room
        290   #4 ends: made_room
        295   #5 ends: made_room
    "#]]);
}

#[test]
fn a_client_without_a_whole_request_in_time_is_closed() {
    let mut node = Node::with_watch(&RUNNERS[..1]);
    let clients = [node.accept(), node.accept(), node.accept()];
    for _ in 0..12 {
        node.advance(200);
        node.feed(clients[1], "G");
        node.feed(clients[2], "GET /hea");
        node.feed(clients[2], "lthz HTTP/1.1\r\n\r\n");
    }
    node.driver.trace.clear();
    node.feed(1, EMPTY_LINE);
    node.advance(1000);
    let timers = node.driver.timers.values().filter(|timer| **timer == Timer::Connection(clients[2])).count();
    node.driver.record(&format!("looks asked for: {timers}"));
    // A connection that has sent a request before may be idle, but its next request must be whole in time
    // too.
    node.feed(clients[2], "GET /hea");
    node.advance(3000);
    node.assert_trace(expect![[r#"
        2500  #2 ends: silent
        2500  #3 ends: slow_request
        3400  looks asked for: 1
        5446  #5 dials 127.0.0.1:8500
        5446  #5 < GET /v1/servers?follow=1&since=42; Host: 127.0.0.1:8500
        5900  #4 ends: slow_request
    "#]]);
}

#[test]
fn half_a_request_reaches_no_runner_and_pipelined_requests_run_in_turn() {
    let mut node = Node::with_watch(&RUNNERS[..1]);
    let half_request_client = node.accept();
    node.feed(
        half_request_client,
        "POST /plan HTTP/1.1\r\nX-Request-Id: i1\r\nX-Deadline-Ms: 900\r\nContent-Length: 9\r\n\r\nhi",
    );
    node.close(half_request_client, CloseReason::PeerClosed);
    let pipelining_client = node.accept();
    let request = |id| format!("POST /plan HTTP/1.1\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 900\r\n\r\n");
    node.feed(pipelining_client, &(request("i1") + &request("i2") + &request("i2") + &request("i3")));
    node.connect(4);
    for id in ["i1", "i2"] {
        node.feed(4, ACCEPTED);
        node.advance(SETTLED_MS);
        node.send_callback(&format!(r#"{{"id":"{id}","from":"s-a","state":"done","result":"r"}}"#));
    }
    node.assert_trace(expect![[r#"
        0     #4 dials 127.0.0.1:3001
        0     #4 < POST /plan; X-Request-Id: i1; X-Deadline-Ms: 880; Content-Length: 0
        10    #5 < 200 OK; Content-Length: 0
        10    #3 < 200 OK; Content-Length: 1 = r
        10    #4 < POST /plan; X-Request-Id: i2; X-Deadline-Ms: 880; Content-Length: 0
        20    #6 < 200 OK; Content-Length: 0
        20    #3 < 200 OK; Content-Length: 1 = r
        20    #3 < 400 Bad Request; Connection: close; Content-Length: 11 = repeated_id
        20    #3 ends: bad_input
    "#]]);
}

#[test]
fn a_client_that_reads_no_answers_is_read_no_further() {
    let mut node = Node::with_watch(&RUNNERS[..1]);
    let client = node.accept();
    node.feed(client, "GET /healthz HTTP/1.1\r\n\r\nGET /healthz HTTP/1.1\r\n\r\n");
    node.driver.blocked.insert(client);
    node.feed(client, &"GET /healthz HTTP/1.1\r\n\r\n".repeat(2));
    node.driver.record("reads");
    node.driver.blocked.clear();
    node.feed(client, "");
    node.driver.blocked.insert(client);
    node.advance(3000);
    node.assert_trace(expect![[r#"
        0     #2 < 200 OK; Content-Length: 0
        0     #2 < 200 OK; Content-Length: 0
        0     reads
        0     #2 < 200 OK; Content-Length: 0
        0     #2 < 200 OK; Content-Length: 0
        2500  #2 ends: slow_reader
    "#]]);
}

/// An id belongs to one request: sent again after its answer it is rejected.
#[test]
fn an_id_that_has_been_answered_is_not_accepted_again() {
    let mut node = Node::with_accepted_forward("plan");
    node.send_callback(r#"{"id":"i1","from":"s-a","state":"done","result":"r"}"#);
    node.driver.trace.clear();
    node.invoke("plan", "i1");
    node.assert_trace(expect![[r#"
        0     #5 < 400 Bad Request; Connection: close; Content-Length: 11 = repeated_id
        0     #5 ends: bad_input
    "#]]);
}

#[test]
fn a_request_that_a_runner_rejects_is_not_retried_and_does_not_eject_the_runner() {
    let mut node = Node::with_watch(&RUNNERS[..1]);
    for id in ["i1", "i2", "i3"] {
        node.invoke("plan", id);
        if id == "i1" {
            node.connect(3);
        }
        node.feed(3, "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n");
        node.advance(20);
    }
    node.assert_trace(expect![[r#"
        0     #3 dials 127.0.0.1:3001
        0     #3 < POST /plan/7?x=1; Host: o; X-Request-Id: i1; Idempotency-Key: k; X-Deadline-Ms: 4980; Content-Length: 2 = hi
        0     #2 < 400 Bad Request; Content-Length: 0
        20    #3 < POST /plan/7?x=1; Host: o; X-Request-Id: i2; Idempotency-Key: k; X-Deadline-Ms: 4980; Content-Length: 2 = hi
        20    #4 < 400 Bad Request; Content-Length: 0
        40    #3 < POST /plan/7?x=1; Host: o; X-Request-Id: i3; Idempotency-Key: k; X-Deadline-Ms: 4980; Content-Length: 2 = hi
        40    #5 < 400 Bad Request; Content-Length: 0
    "#]]);
}

#[test]
fn invocations_beyond_the_limit_are_rejected_at_once() {
    let text = configuration(&RUNNERS[..1]).replace("\"openCap\":20000", "\"openCap\":1");
    let mut driver = TestDriver { now: START, ..TestDriver::default() };
    let table = RequestTable::new(config::decode(&text).unwrap(), None, None, &mut driver);
    let mut node = Node { table, driver };
    node.run_until_idle();
    node = node.with_watch_answered();
    node.invoke("plan", "i1");
    node.invoke("plan", "i2");
    node.assert_trace(expect![[r#"
        0     #3 dials 127.0.0.1:3001
        0     #4 < 503 Service Unavailable; Retry-After: 1.000; Content-Length: 0
    "#]]);
}

/// Guards against memory that grows with each request: a client may state a deadline in an hour, and timers for
/// requests that were answered long ago stayed until then.
#[test]
fn answered_invocations_leave_no_timers() {
    let mut node = Node::with_watch(&RUNNERS[..1]);
    let client = node.accept();
    node.feed(client, HOUR_REQUEST);
    node.connect(3);
    let timers_of_one = node.driver.timers.len();
    for nth in 0..200 {
        node.feed(3, ACCEPTED);
        node.advance(SETTLED_MS);
        let (open, next) = (format!("i{nth}"), format!("i{}", nth + 1));
        node.send_callback(&format!(r#"{{"id":"{open}","from":"s-a","state":"done","result":"r"}}"#));
        node.feed(client, &HOUR_REQUEST.replace("i0", &next));
    }
    // Each call-back came on a connection of its own, which has a timer for its next request.
    let timers = node.driver.timers.len() - 200;
    assert!(timers <= timers_of_one + 2, "{timers} timers, {timers_of_one} with one request");
}

/// A request whose client waits for an hour.
const HOUR_REQUEST: &str = "POST /plan HTTP/1.1\r\nX-Request-Id: i0\r\nX-Deadline-Ms: 3600000\r\n\r\n";

/// The trace of a bad request and of a health check on another connection, without times.
fn refusal(request: &str) -> String {
    let mut node = Node::with_watch(&RUNNERS[..1]);
    let connection = node.accept();
    node.feed(connection, request);
    let other_client = node.accept();
    node.feed(other_client, "GET /healthz HTTP/1.1\r\n\r\n");
    node.driver.trace.lines().map(|line| line[6..].to_owned() + "\n").collect()
}

#[test]
fn bad_input_is_refused_and_other_connections_are_served() {
    let callback =
        |body: &str| format!("POST /v1/job-events HTTP/1.1\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    let plan = |headers: &str| format!("POST /plan HTTP/1.1\r\n{headers}\r\n");
    let requests = [
        "nonsense\r\n\r\n".to_owned(),
        "GET /plan HTTP/1.1\r\n\r\n".to_owned(),
        "POST /other HTTP/1.1\r\n\r\n".to_owned(),
        "POST /healthz HTTP/1.1\r\n\r\n".to_owned(),
        plan("X-Deadline-Ms: 5\r\n"),
        plan("X-Request-Id: a\r\nX-Request-Id: b\r\nX-Deadline-Ms: 5\r\n"),
        plan("X-Request-Id: a/b\r\nX-Deadline-Ms: 5\r\n"),
        plan("X-Request-Id: a\r\n"),
        plan("X-Request-Id: a\r\nX-Deadline-Ms: -5\r\n"),
        plan("X-Request-Id: a\r\nX-Deadline-Ms: +5\r\n"),
        plan("X-Request-Id: a\r\nX-Deadline-Ms: 99999999999999999999\r\n"),
        plan("X-Request-Id: a\r\nX-Deadline-Ms: 3600001\r\n"),
        plan("X-Request-Id: a\r\nX-Deadline-Ms: 5\r\nIdempotency-Key: a\r\nIdempotency-Key: b\r\n"),
        "POST //plan HTTP/1.1\r\nX-Request-Id: a\r\nX-Deadline-Ms: 5\r\n\r\n".to_owned(),
        "POST /plan#a HTTP/1.1\r\nX-Request-Id: a\r\nX-Deadline-Ms: 5\r\n\r\n".to_owned(),
        plan("Content-Length: 3\r\nTransfer-Encoding: chunked\r\n"),
        plan("Content-Length: x\r\n"),
        plan("Content-Length: -1\r\n"),
        plan("Content-Length: 99999999999999999999999\r\n"),
        plan("Content-Length: 3\r\nContent-Length: 4\r\n"),
        plan("Transfer-Encoding: chunked\r\n") + "zz\r\n",
        plan("Content-Length: 99999\r\n"),
        plan("Transfer-Encoding: gzip\r\n"),
        plan(&format!("A: {}\r\n", "b".repeat(17 << 10))),
        plan(&"A: b\r\n".repeat(65)),
        callback("{"),
        callback(r#"{"id":"i1","from":"s-a","state":"odd"}"#),
        callback(r#"{"id":"i1","from":"s-a","state":"done"}"#),
        plan("X-Request-Id: a\r\nX-Deadline-Ms: 15\r\n"),
    ];
    let outcomes: String = requests.iter().map(|request| refusal(request)).collect();
    let health = outcomes.matches("200 OK; Content-Length: 0").count();
    let shown: Vec<&str> = outcomes.lines().filter(|line| !line.contains("200 OK")).collect();
    assert_eq!(health, requests.len() + 1);
    expect![[r#"
        #2 < 400 Bad Request; Connection: close; Content-Length: 9 = malformed
        #2 ends: bad_input
        #2 < 405 Method Not Allowed; Connection: close; Content-Length: 12 = wrong_method
        #2 ends: bad_input
        #2 < 404 Not Found; Connection: close; Content-Length: 17 = unknown_operation
        #2 ends: bad_input
        #2 < 405 Method Not Allowed; Connection: close; Content-Length: 12 = wrong_method
        #2 ends: bad_input
        #2 < 400 Bad Request; Connection: close; Content-Length: 10 = missing_id
        #2 ends: bad_input
        #2 < 400 Bad Request; Connection: close; Content-Length: 15 = repeated_header
        #2 ends: bad_input
        #2 < 400 Bad Request; Connection: close; Content-Length: 6 = bad_id
        #2 ends: bad_input
        #2 < 400 Bad Request; Connection: close; Content-Length: 15 = missing_timeout
        #2 ends: bad_input
        #2 < 400 Bad Request; Connection: close; Content-Length: 11 = bad_timeout
        #2 ends: bad_input
        #2 < 400 Bad Request; Connection: close; Content-Length: 11 = bad_timeout
        #2 ends: bad_input
        #2 < 400 Bad Request; Connection: close; Content-Length: 11 = bad_timeout
        #2 ends: bad_input
        #2 < 400 Bad Request; Connection: close; Content-Length: 11 = bad_timeout
        #2 ends: bad_input
        #2 < 400 Bad Request; Connection: close; Content-Length: 15 = repeated_header
        #2 ends: bad_input
        #2 < 404 Not Found; Connection: close; Content-Length: 17 = unknown_operation
        #2 ends: bad_input
        #2 < 400 Bad Request; Connection: close; Content-Length: 10 = bad_target
        #2 ends: bad_input
        #2 < 400 Bad Request; Connection: close; Content-Length: 17 = length_and_coding
        #2 ends: bad_input
        #2 < 400 Bad Request; Connection: close; Content-Length: 10 = bad_length
        #2 ends: bad_input
        #2 < 400 Bad Request; Connection: close; Content-Length: 10 = bad_length
        #2 ends: bad_input
        #2 < 413 Content Too Large; Connection: close; Content-Length: 14 = body_too_large
        #2 ends: bad_input
        #2 < 400 Bad Request; Connection: close; Content-Length: 10 = bad_length
        #2 ends: bad_input
        #2 < 400 Bad Request; Connection: close; Content-Length: 9 = bad_chunk
        #2 ends: bad_input
        #2 < 413 Content Too Large; Connection: close; Content-Length: 14 = body_too_large
        #2 ends: bad_input
        #2 < 400 Bad Request; Connection: close; Content-Length: 10 = bad_coding
        #2 ends: bad_input
        #2 < 431 Request Header Fields Too Large; Connection: close; Content-Length: 14 = head_too_large
        #2 ends: bad_input
        #2 < 431 Request Header Fields Too Large; Connection: close; Content-Length: 16 = too_many_headers
        #2 ends: bad_input
        #2 < 400 Bad Request; Connection: close; Content-Length: 13 = bad_call_back
        #2 ends: bad_input
        #2 < 400 Bad Request; Connection: close; Content-Length: 13 = bad_call_back
        #2 ends: bad_input
        #2 < 503 Service Unavailable; Content-Length: 0"#]]
    .assert_eq(&shown.join("\n"));
    let mut node = Node::with_watch(&RUNNERS[..1]);
    node.invoke("plan", "i1");
    node.invoke("plan", "i1");
    node.assert_trace(expect![[r#"
        0     #3 dials 127.0.0.1:3001
        0     #4 < 400 Bad Request; Connection: close; Content-Length: 11 = repeated_id
        0     #4 ends: bad_input
    "#]]);
}

#[test]
fn a_forward_with_an_unreadable_answer_may_have_run() {
    let mut node = Node::with_watch(&RUNNERS[..1]);
    node.invoke("book", "i1");
    node.connect(3);
    node.feed(3, "SMTP ready\r\n\r\n");
    node.assert_trace(expect![[r#"
        0     #3 dials 127.0.0.1:3001
        0     #3 < POST /book/7?x=1; Host: o; X-Request-Id: i1; Idempotency-Key: k; X-Deadline-Ms: 4980; Content-Length: 2 = hi
        0     #3 ends: bad_answer
        0     #2 < 502 Bad Gateway; Content-Length: 0
    "#]]);
}

#[test]
fn operators_are_answered_whatever_else_is_open() {
    let mut node = Node::with_accepted_forward("plan");
    // Some send nothing, or half a call, and stay connected: they must not keep others out for long.
    let silent: Vec<ConnectionId> = (0..16).map(|_| node.connect_operator()).collect();
    node.feed(silent[1], "sta");
    node.call("status");
    node.feed(silent[1], "t");
    node.feed(silent[1], "us\r\n");
    for line in ["", "status now", "stop", &"x".repeat(600), "\u{1}"] {
        node.call(line);
    }
    node.advance(5000);
    node.table.begin_shutdown(&mut node.driver);
    node.call("status");
    let lines = node.driver.trace.lines().filter(|line| line.contains("YES") || line.contains("NO"));
    expect![[r#"
        0     #20 < YES
        0     #5 < YES
        0     #21 < NO unknown call; there are: status, stats, maint-on ID, maint-off ID
        0     #22 < NO this call takes no more words
        0     #23 < NO unknown call; there are: status, stats, maint-on ID, maint-off ID
        0     #24 < NO the line is too long
        0     #25 < NO unknown call; there are: status, stats, maint-on ID, maint-off ID
        5000  #32 < NO going down
    "#]]
    .assert_eq(&lines.map(|line| format!("{line}\n")).collect::<String>());
    assert!(node.driver.trace.contains("#4 ends: made_room"));
    assert_eq!(node.driver.trace.matches("ends: slow_request").count(), 14);
}

#[test]
fn metrics_count_what_clients_were_answered() {
    let mut node = Node::with_accepted_forward("plan");
    node.advance(SETTLED_MS);
    node.send_callback(r#"{"id":"i1","from":"s-a","state":"done","result":"r"}"#);
    // An invocation whose forward breaks before it is written completely, and is not forwarded elsewhere.
    node.driver.blocked.insert(3);
    let client = node.invoke("book", "i2");
    node.close(3, CloseReason::Reset);
    node.driver.blocked.clear();
    // One that is open, one of a client that leaves, one that expires before it is accepted, and one that is
    // invalid.
    let left = node.invoke("lodge", "i3");
    node.close(left, CloseReason::PeerClosed);
    let late = node.accept();
    node.feed(late, "POST /plan HTTP/1.1\r\nX-Request-Id: i4\r\nX-Deadline-Ms: 1\r\n\r\n");
    node.feed(late, "POST /nothing HTTP/1.1\r\nX-Request-Id: i5\r\nX-Deadline-Ms: 1\r\n\r\n");
    node.table.reload(config::decode(&configuration(&RUNNERS)).unwrap(), &mut node.driver);
    node.table.reject_configuration("no JSON");
    node.driver.trace.clear();
    node.call("stats");
    assert!(node.driver.roles.contains_key(&client));
    expect![[r#"
        10    #8 < edge_relay.passed.book=0
        edge_relay.passed.lodge=0
        edge_relay.passed.plan=1
        edge_relay.dropped.book=0
        edge_relay.dropped.lodge=0
        edge_relay.dropped.plan=1
        edge_relay.bad_gateway.book=0
        edge_relay.bad_gateway.lodge=0
        edge_relay.bad_gateway.plan=0
        edge_relay.upstream_tries=1
        edge_relay.surplus_answers=0
        edge_relay.in_progress=1
        edge_relay.known_runners=1
        edge_relay.skipped_runners=1
        edge_relay.buffer_bytes=0
        edge_relay.released_buffers=0
        edge_relay.invocation_bytes=2200
        edge_relay.timers=0
        edge_relay.loads=1
        edge_relay.load_errors=1
        edge_relay.repeated_callbacks=0
        edge_relay.unclear_callbacks=0
        edge_relay.handover_failures=0
        edge_relay.handover_unread=0
        edge_relay.log_lines_lost=0
        edge_relay.host_failed_accepts=0
        edge_relay.host_failed_dials=0
        edge_relay.host_failed_reads=0
        END
        10    #8 ends: answered_last
    "#]]
    .assert_eq(&node.driver.trace);
}

#[test]
fn messages_may_be_split_anywhere() {
    let request = "POST /lodge/1?q HTTP/1.1\r\nHost: o\r\nX-Request-Id: r\r\nCookie: a=b; sid=k\r\n\
        X-Extras: slots=2\r\nX-Deadline-Ms: 900\r\nTransfer-Encoding: chunked\r\n\r\n\
        3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nT: t\r\n\r\n";
    for cut in 1..request.len() {
        let mut driver = TestDriver { now: START, ..TestDriver::default() };
        let mut clients = Clients::new();
        let decoded = config::decode(&configuration(&[])).unwrap().decoded;
        clients
            .operations
            .set(decoded.operation_names.into_iter().zip(decoded.settings.operations).collect(), START);
        clients.accepted(7, &mut driver);
        let mut input = request.as_bytes()[..cut].to_vec();
        clients.received(7, &mut input, &mut driver);
        assert!(clients.events.is_empty());
        input.extend_from_slice(&request.as_bytes()[cut..]);
        clients.received(7, &mut input, &mut driver);
        let Some(ClientEvent::Invocation(invocation)) = clients.events.pop() else {
            panic!("no invocation received, cut at {cut}")
        };
        assert_eq!((invocation.operation, invocation.slots, invocation.key), (1, 2.0, Some(Id::from("k"))));
        assert_eq!((invocation.body.as_slice(), input.len()), (b"abcde".as_slice(), 0));
    }
    let answer = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody";
    for cut in 1..answer.len() {
        assert!(http::parse_response(&answer.as_bytes()[..cut], false).unwrap().is_none());
    }
    let (whole, used) = http::parse_response(answer.as_bytes(), false).unwrap().unwrap();
    assert_eq!((whole.status, whole.body.as_slice(), used), (200, b"body".as_slice(), answer.len()));
    let watch = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n\
        2e\r\n{\"generation\":7,\"reset\":true,\"instances\":[]}\n\n\r\n\
        4\r\n{\"ge\r\n2a\r\nneration\":8,\"instances\":[{},{\"a\":1}]}\n\n\n\n\n\r\n";
    for cut in 1..watch.len() {
        let mut driver = TestDriver { now: START, ..TestDriver::default() };
        let mut roster = Roster::new("127.0.0.1:1".parse().unwrap(), 0, false);
        roster.follow(&mut driver);
        let mut input = watch.as_bytes()[..cut].to_vec();
        roster.received(1, &mut input, &mut driver);
        input.extend_from_slice(&watch.as_bytes()[cut..]);
        roster.received(1, &mut input, &mut driver);
        let events: Vec<_> = roster.events.iter().map(|event| (event.listing, event.entries.len())).collect();
        assert_eq!(format!("{events:?}"), "[(All, 0), (Changes, 0)]", "cut at {cut}");
    }
    assert_eq!(
        http::parse_request(b"POST / HTTP/1.1\r\nContent-Length: 1, 1\r\n\r\n").unwrap_err(),
        HttpError(400, "bad_length")
    );
    assert!(serde_json::from_str::<JobState>("\"lost\"").is_ok());
}

#[test]
fn a_bad_store_names_the_field() {
    let decode_store = |store: &str| {
        let text = configuration(&[]).replacen('{', &format!("{{\"store\":{store},"), 1);
        config::decode(&text).map(|configuration| configuration.store.is_some())
    };
    assert_eq!(decode_store("null"), Ok(false));
    assert_eq!(decode_store(r#"{"folder":"/x","require":true}"#), Ok(true));
    for (store, message) in [
        ("5", "store has the bad value 5"),
        ("{}", "store.folder is missing"),
        (r#"{"folder":""}"#, "store.folder has the bad value \"\""),
        (r#"{"folder":"/x","require":1}"#, "store.require has the bad value 1"),
        (r#"{"folder":"/x","foldr":"y"}"#, "store.foldr is unknown"),
    ] {
        assert_eq!(decode_store(store), Err(message.to_owned()), "{store}");
    }
}

#[test]
fn the_example_with_a_store_and_peers_is_accepted() {
    let configuration = config::decode(include_str!("../../deploy/kept.json")).unwrap();
    assert!(
        configuration.store.is_some() && configuration.peers.is_some_and(|peers| peers.members.len() == 2)
    );
}

#[test]
fn bad_peers_name_the_field() {
    let decode_peers = |peers: &str, store: &str| {
        let text = configuration(&[]).replacen('{', &format!("{{\"peers\":{peers},{store}"), 1);
        config::decode(&text).map(|configuration| configuration.peers.map_or(0, |peers| peers.members.len()))
    };
    let members = |members: &str| format!(r#"{{"listen":"127.0.0.1:7000","members":[{members}]}}"#);
    let store = r#""store":{"folder":"/x"},"#;
    let other = r#"{"name":"n1","address":"127.0.0.1:7001"}"#;
    assert_eq!(decode_peers(&members(other), store), Ok(1));
    assert_eq!(decode_peers("null", ""), Ok(0));
    let missing = "peers is set and store is missing: boot numbers are stored there";
    assert_eq!(decode_peers(&members(other), ""), Err(missing.to_owned()));
    for (peers, message) in [
        ("7".to_owned(), "peers has the bad value 7"),
        (r#"{"members":[]}"#.to_owned(), "peers.listen is missing"),
        (r#"{"listen":"x","members":[]}"#.to_owned(), "peers.listen has the bad address \"x\""),
        (members(""), "peers.members must name 1 to 4096 others"),
        (members(r#"{"name":"n1"}"#), "peers.members.0.address is missing"),
        (members(r#"{"address":"127.0.0.1:7001"}"#), "peers.members.0.name is missing"),
        (members(r#"{"name":"n0","address":"127.0.0.1:7001"}"#), "peers.members.0 is this dispatcher itself"),
        (members(r#"{"name":"n1","address":"127.0.0.1:7000"}"#), "peers.members.0 is this dispatcher itself"),
        (members(&format!("{other},{other}")), "peers.members.1 is named twice"),
        (r#"{"listen":"127.0.0.1:1","every":0,"members":[]}"#.to_owned(), "peers.every is unknown"),
    ] {
        assert_eq!(decode_peers(&peers, store), Err(message.to_owned()), "{peers}");
    }
}

#[test]
fn a_bad_configuration_names_the_field() {
    let good = configuration(&RUNNERS);
    let replacements = [
        ("\"127.0.0.1:0\"", "\"nowhere\""),
        ("8c1f30d27a5be964", "xyz"),
        ("\"more\":null", "\"admin_addr\":\"here\""),
        ("\"settings\"", "\"other\""),
        ("\"memory_mb\":192", "\"memory_mb\":\"x\""),
        ("\"deduplicated\"", "\"sometimes\""),
        ("\"instances\"", "\"others\""),
        ("\"off\"", "\"heavy\""),
        ("\"classKind\"", "\"classStretch\":[2.5,-1],\"classKind\""),
        ("\"tipAfter\"", "\"extraFloor\":3,\"repeatRatio\":0.1,\"tipAfter\""),
        ("\"tipAfter\"", "\"extraFloor\":3,\"repeatRatio\":-0.1,\"extraWindow\":1,\"tipAfter\""),
        ("\"tipAfter\"", "\"extraFloor\":\"x\",\"repeatRatio\":0.1,\"extraWindow\":1,\"tipAfter\""),
        ("\"tipAfter\"", "\"extraFloor\":3,\"repeatRatio\":0.1,\"extraWindow\":0,\"tipAfter\""),
        ("}}", "}"),
    ];
    let errors =
        replacements.iter().map(|(old, new)| config::decode(&good.replacen(old, new, 1)).unwrap_err());
    expect![[r#"
        listen has the bad address 'nowhere'
        seed has the bad value 'xyz'
        admin_addr has the bad address 'here'
        settings is missing
        limits.memory_mb has the bad value "x"
        settings: operations.1.effect has the bad value 'sometimes'
        known: missing field `instances`
        settings: weights has the bad value 'heavy'
        settings: familyInfo.classStretch has the bad value '-1'
        settings: invariants.extraWindow is missing
        settings: invariants.repeatRatio is out of range
        settings: invariants.extraFloor has the bad value 'x'
        settings: invariants.extraWindow is out of range
        no JSON: EOF while parsing an object at line 15 column 106"#]]
    .assert_eq(&errors.collect::<Vec<_>>().join("\n"));
    let bad_numbers = [
        ("\"clientTimeout\":8000000", "\"clientTimeout\":-5"),
        ("\"clientTimeout\":8000000", "\"clientTimeout\":\"8000000\""),
        ("\"clientTimeout\":8000000", "\"clientTimeout\":null"),
        ("\"mostForwards\":3", "\"mostForwards\":\"3\""),
        ("\"mostForwards\":3", "\"mostForwards\":0"),
        ("\"mostForwards\":3", "\"most\":3"),
    ];
    let errors =
        bad_numbers.iter().map(|(old, new)| config::decode(&good.replacen(old, new, 1)).unwrap_err());
    expect![[r#"
        settings: operations.0.clientTimeout has the bad value -5
        settings: operations.0.clientTimeout has the bad value "8000000"
        settings: operations.0.clientTimeout has the bad value null
        settings: limits.mostForwards has the bad value "3"
        settings: limits.mostForwards has the bad value 0
        settings: limits.mostForwards is missing"#]]
    .assert_eq(&errors.collect::<Vec<_>>().join("\n"));
    let decoded = config::decode(&good).unwrap().decoded;
    expect![[r#"["x0", "outstanding"] [FreeSlots, InFlight]"#]]
        .assert_eq(&format!("{:?} {:?}", decoded.report_fields, decoded.settings.report_fields));
}

#[test]
fn a_runner_in_maintenance_gets_nothing_whatever_the_roster_says() {
    let mut node = Node::with_watch(&RUNNERS);
    // A forward that waits for its connection has not been sent: it goes elsewhere.
    node.invoke("plan", "i1");
    let first = if node.driver.trace.contains(":3001") { "s-a" } else { "s-b" };
    node.call(&format!("maint-on {first}"));
    node.call(&format!("maint-on {first}"));
    node.call("maint-on s-x");
    node.call("maint-on");
    node.driver.trace.push_str("listed anew\n");
    let listed = |started: Micros| {
        let instance = |(id, address): &(&str, &str)| {
            format!(
                r#"{{"instanceId":"{id}","hostPort":"{address}","lifecycle":"up","startedAtMs":{started}}}"#
            )
        };
        let instances = RUNNERS.iter().map(instance).collect::<Vec<String>>().join(",");
        chunk(&format!("{{\"generation\":43,\"reset\":true,\"instances\":[{instances}]}}\n"))
    };
    node.feed(1, &listed(0));
    for id in ["i2", "i3", "i4"] {
        node.invoke("plan", id);
    }
    node.call("stats");
    node.assert_trace(expect![[r#"
        0     #3 dials 127.0.0.1:3002
        0     #3 ends: unlisted
        0     #4 < YES
        0     #4 ends: answered_last
        0     #5 dials 127.0.0.1:3001
        0     #6 < YES
        0     #6 ends: answered_last
        0     #7 < NO this runner was never listed
        0     #7 ends: answered_last
        0     #8 < NO this call takes one runner's id
        0     #8 ends: answered_last
        listed anew
        0     #10 dials 127.0.0.1:3001
        0     #13 < edge_relay.passed.book=0
        edge_relay.passed.lodge=0
        edge_relay.passed.plan=0
        edge_relay.dropped.book=0
        edge_relay.dropped.lodge=0
        edge_relay.dropped.plan=0
        edge_relay.bad_gateway.book=0
        edge_relay.bad_gateway.lodge=0
        edge_relay.bad_gateway.plan=0
        edge_relay.upstream_tries=0
        edge_relay.surplus_answers=0
        edge_relay.in_progress=4
        edge_relay.known_runners=2
        edge_relay.skipped_runners=1
        edge_relay.buffer_bytes=0
        edge_relay.released_buffers=0
        edge_relay.invocation_bytes=8800
        edge_relay.timers=0
        edge_relay.loads=0
        edge_relay.load_errors=0
        edge_relay.repeated_callbacks=0
        edge_relay.unclear_callbacks=0
        edge_relay.handover_failures=0
        edge_relay.handover_unread=0
        edge_relay.log_lines_lost=0
        edge_relay.host_failed_accepts=0
        edge_relay.host_failed_dials=0
        edge_relay.host_failed_reads=0
        END
        0     #13 ends: answered_last
    "#]]);
}

/// Guards against overloading a runner that comes back from maintenance: it counts as just started unless the
/// roster reports a later start.
#[test]
fn a_runner_back_from_maintenance_is_cold_before_the_roster_says_so() {
    let entry = |started_at: Option<Micros>| RosterEntry {
        runner: "s-a".into(),
        cell: 1,
        size: 1.0,
        machine_type: "m".into(),
        zone: "z".into(),
        readiness: Readiness::Up,
        started_at,
    };
    let mut members = Membership::new(0);
    assert!(members.update_lease(0, 0).is_some());
    assert!(members.set_maintenance("s-a", true, 0).is_err());
    members.apply_listing(Listing::All, vec![entry(Some(5))], 10);
    assert_eq!(members.set_maintenance("s-a", true, 20).unwrap().unwrap().readiness, Readiness::Draining);
    assert!(members.set_maintenance("s-a", true, 25).unwrap().is_none());
    // Updates from discovery in between change nothing, not even its removal.
    assert_eq!(
        members.apply_listing(Listing::Changes, vec![entry(Some(5))], 30)[0].readiness,
        Readiness::Draining
    );
    members.apply_listing(Listing::All, vec![], 35);
    assert_eq!(members.count(), (0, 0));
    assert_eq!(
        members.apply_listing(Listing::All, vec![entry(Some(5))], 40)[0].readiness,
        Readiness::Draining
    );
    let back = members.set_maintenance("s-a", false, 50).unwrap().unwrap();
    assert_eq!((back.readiness, back.started_at), (Readiness::Up, Some(50)));
    assert!(members.set_maintenance("s-a", false, 55).unwrap().is_none());
    assert_eq!(members.apply_listing(Listing::Changes, vec![entry(Some(5))], 60)[0].started_at, Some(50));
    assert_eq!(members.apply_listing(Listing::Changes, vec![entry(Some(33))], 70)[0].started_at, Some(33));
}

/// The connection between the two processes of an upgrade.
const PEER: ConnectionId = 50;

#[test]
fn an_upgrade_loses_no_state() {
    let mut old = Node::with_accepted_forward("plan");
    old.call("maint-on s-a");
    assert!(old.table.accepts(ConnectionRole::Client));
    let mut new = Node::successor(&mut old, PEER);
    assert_eq!(old.table.answer_successor(&mut old.driver), Err(Refusal::Busy));
    assert!(!old.table.accepts(ConnectionRole::Client) && new.table.accepts(ConnectionRole::Client));
    old.driver.trace.clear();
    // The roster continues from where the old process had it; a runner in maintenance stays out.
    new.invoke("plan", "i2");
    // An id that is open in the other process, or was accepted there since, is rejected.
    new.invoke("plan", "i1");
    let old_client = old.accept();
    old.feed(old_client, "POST /plan HTTP/1.1\r\nX-Request-Id: i3\r\nX-Deadline-Ms: 900\r\n\r\n");
    old.relay_messages(PEER, &mut new);
    new.invoke("plan", "i3");
    // Runners call the process that accepts connections: the old process gets call-backs for its own
    // invocations, and the other way round.
    new.send_callback(r#"{"id":"i1","from":"s-a","state":"done","result":"r"}"#);
    new.relay_messages(PEER, &mut old);
    new.call("maint-off s-a");
    new.relay_messages(PEER, &mut old);
    // A runner that comes back counts as cold, and the other process's slow-start usage still counts.
    new.advance(2100);
    new.invoke("plan", "i4");
    let dialled = new.driver.trace.lines().rev().find_map(|line| line.split_once(" dials 127.0.0.1:3001"));
    let dialled = dialled.unwrap().0.rsplit('#').next().unwrap().parse().unwrap();
    new.connect(dialled);
    new.feed(dialled, ACCEPTED);
    old.send_callback(r#"{"id":"i4","from":"s-a","state":"done","result":"q"}"#);
    old.relay_messages(PEER, &mut new);
    // A call-back that neither process knows is passed on only once.
    new.send_callback(r#"{"id":"i9","from":"s-a","state":"done","result":"r"}"#);
    new.relay_messages(PEER, &mut old);
    assert!(!old.driver.handover_text.contains_key(&PEER));
    old.table.begin_shutdown(&mut old.driver);
    old.advance(2100);
    old.driver.record(&format!("down: {}", old.table.is_shutdown_complete(old.driver.now)));
    new.driver.trace.insert_str(0, "the new one\n");
    old.driver.trace.push_str(&new.driver.trace);
    old.assert_trace(expect![[r#"
        0     #2 < 200 OK; Connection: close; Content-Length: 1 = r
        0     #2 ends: terminated
        0     #6 < 200 OK; Content-Length: 0
        250   #5 < 429 Too Many Requests; Retry-After: 0.500; Connection: close; Content-Length: 0
        250   #5 ends: terminated
        2100  down: true
        the new one
        0     #101 dials 127.0.0.1:8500
        0     #101 < GET /v1/servers?follow=1&since=42; Host: 127.0.0.1:8500
        0     #103 < 400 Bad Request; Connection: close; Content-Length: 11 = repeated_id
        0     #103 ends: bad_input
        0     #104 < 400 Bad Request; Connection: close; Content-Length: 11 = repeated_id
        0     #104 ends: bad_input
        0     #105 < 200 OK; Content-Length: 0
        0     #106 < YES
        0     #106 ends: answered_last
        60    #107 dials 127.0.0.1:3001
        310   #107 ends: dial_timeout
        750   #102 < 429 Too Many Requests; Retry-After: 0.500; Content-Length: 0
        1000  #101 ends: watch_silent
        1121  #108 dials 127.0.0.1:8500
        1121  #108 < GET /v1/servers?follow=1&since=42; Host: 127.0.0.1:8500
        2100  #110 dials 127.0.0.1:3001
        2100  #110 < POST /plan/7?x=1; Host: o; X-Request-Id: i4; Idempotency-Key: k; X-Deadline-Ms: 4980; Content-Length: 2 = hi
        2100  #109 < 200 OK; Content-Length: 1 = q
        2100  #111 < 200 OK; Content-Length: 0
    "#]]);
}

/// Both processes together may send a cold runner no more than one dispatcher may.
#[test]
fn two_processes_share_one_cold_budget() {
    let mut old = Node::with_watch(&RUNNERS[..1]);
    let started = old.driver.now / 1000 - 1000;
    let cold = format!(
        r#"{{"generation":43,"reset":true,"instances":[{{"instanceId":"s-a","hostPort":"127.0.0.1:3001",
        "lifecycle":"up","startedAtMs":{started}}}]}}"#
    );
    old.feed(1, &chunk(&format!("{}\n", cold.replace('\n', ""))));
    // As much as one dispatcher may send to it by then.
    for id in ["i1", "i2", "i3"] {
        old.invoke("plan", id);
        if id == "i1" {
            old.connect(3);
        }
        old.feed(3, ACCEPTED);
        old.advance(450);
        old.send_callback(&format!(r#"{{"id":"{id}","from":"s-a","state":"done","result":"r"}}"#));
    }
    assert_eq!(old.driver.trace.matches("200 OK; Content-Length: 1 = r").count(), 3);
    old.driver.trace.clear();
    let mut new = Node::successor(&mut old, PEER);
    new.invoke("plan", "i4");
    new.advance(300);
    assert!(!new.driver.trace.contains("dials 127.0.0.1:3001"));
    new.advance(1800);
    old.advance(2100);
    old.driver.trace.clear();
    new.invoke("plan", "i5");
    old.invoke("plan", "i6");
    assert!(new.driver.trace.contains("dials 127.0.0.1:3001"));
    assert!(!old.driver.trace.contains("POST"));
    // The successor is gone: the old process resumes, with new connections at once and cold runners after a
    // pause.
    old.close(PEER, CloseReason::Reset);
    assert!(old.table.accepts(ConnectionRole::Client));
    old.advance(2100);
    old.invoke("plan", "i7");
    assert!(old.driver.trace.contains("POST"));
}

#[test]
fn settings_change_while_serving_and_a_file_that_lacks_a_key_is_rejected_whole() {
    let mut node = Node::with_accepted_forward("plan");
    node.advance(SETTLED_MS);
    let good = configuration(&RUNNERS);
    let reload = |node: &mut Node, text: &str| {
        match config::decode(text) {
            Ok(configuration) => node.table.reload(configuration, &mut node.driver),
            Err(error) => node.table.reject_configuration(&error),
        }
        node.run_until_idle();
    };
    let bad_files = [
        ("\"cancel\":true,", ""),
        ("\"lateBilledValue\":0.5", "\"more\":1"),
        ("\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":64},", ""),
        ("\"known\"", "\"unknown\""),
        ("\"mostForwards\":3", "\"mostForwards\":-3"),
    ];
    bad_files.iter().for_each(|(old, new)| reload(&mut node, &good.replacen(old, new, 1)));
    // A new operation, one with a stricter effect, one that is removed, and fewer forwards.
    let changed = good
        .replace(
            "\"name\":\"lodge\",\"effect\":\"deduplicated\"",
            "\"name\":\"lodge\",\"effect\":\"at_most_once\"",
        )
        .replace("\"name\":\"plan\"", "\"name\":\"plan-b\"")
        .replace("\"mostForwards\":3", "\"mostForwards\":1");
    reload(&mut node, &changed);
    let invoke_on_new_connection = |node: &mut Node, operation: &str, id: &str| {
        let connection = node.accept();
        let text = format!("POST /{operation} HTTP/1.1\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 900\r\n\r\n");
        node.feed(connection, &text);
    };
    node.driver.trace.clear();
    // An invocation accepted under the old settings keeps its operation; requests for a removed operation
    // that are under way are still accepted, but not for long.
    node.send_callback(r#"{"id":"i1","from":"s-a","state":"failed"}"#);
    invoke_on_new_connection(&mut node, "plan", "i2");
    invoke_on_new_connection(&mut node, "plan-b", "i3");
    node.advance(1000);
    invoke_on_new_connection(&mut node, "plan", "i4");
    reload(&mut node, &good);
    invoke_on_new_connection(&mut node, "plan", "i5");
    node.call("stats");
    node.assert_trace(expect![[r#"
        10    #4 < 200 OK; Content-Length: 0
        10    #2 < 429 Too Many Requests; Retry-After: 0.500; Content-Length: 0
        10    #3 < POST /plan; X-Request-Id: i2; X-Deadline-Ms: 880; Content-Length: 0
        10    #7 dials 127.0.0.1:3001
        260   #7 ends: dial_timeout
        260   #6 < 429 Too Many Requests; Retry-After: 0.500; Content-Length: 0
        890   #3 ends: given_up
        890   #8 dials 127.0.0.1:3001
        890   #5 < 429 Too Many Requests; Retry-After: 0.500; Content-Length: 0
        1010  #9 < 404 Not Found; Connection: close; Content-Length: 17 = unknown_operation
        1010  #9 ends: bad_input
        1010  #11 dials 127.0.0.1:3001
        1010  #12 < edge_relay.passed.book=0
        edge_relay.passed.lodge=0
        edge_relay.passed.plan=0
        edge_relay.passed.plan-b=0
        edge_relay.dropped.book=0
        edge_relay.dropped.lodge=0
        edge_relay.dropped.plan=2
        edge_relay.dropped.plan-b=1
        edge_relay.bad_gateway.book=0
        edge_relay.bad_gateway.lodge=0
        edge_relay.bad_gateway.plan=0
        edge_relay.bad_gateway.plan-b=0
        edge_relay.upstream_tries=2
        edge_relay.surplus_answers=0
        edge_relay.in_progress=1
        edge_relay.known_runners=1
        edge_relay.skipped_runners=0
        edge_relay.buffer_bytes=0
        edge_relay.released_buffers=0
        edge_relay.invocation_bytes=2126
        edge_relay.timers=0
        edge_relay.loads=2
        edge_relay.load_errors=5
        edge_relay.repeated_callbacks=0
        edge_relay.unclear_callbacks=0
        edge_relay.handover_failures=0
        edge_relay.handover_unread=0
        edge_relay.log_lines_lost=0
        edge_relay.host_failed_accepts=0
        edge_relay.host_failed_dials=0
        edge_relay.host_failed_reads=0
        END
        1010  #12 ends: answered_last
    "#]]);
}

/// Guards against a dispatcher that takes no new configuration at all because its file knows no roster (review case
/// 8). Null, a list of none and another list are all taken; a file without the key is not.
#[test]
fn a_configuration_whose_known_roster_is_null_can_be_replaced() {
    let with_known = |known: &str| {
        let (before, rest) =
            configuration(&[]).split_once(r#""known":"#).map(|(a, b)| (a.to_owned(), b.to_owned())).unwrap();
        let rest = rest.split_once("\"settings\"").unwrap().1.to_owned();
        format!("{before}{known}\"settings\"{rest}")
    };
    let null = with_known(r#""known":null,"#);
    let none = with_known(r#""known":{"generation":1,"reset":true,"instances":[]},"#);
    let absent = with_known("");
    let mut node = Node::from_text(&null);
    let loads = |node: &mut Node| {
        let from = node.driver.trace.len();
        node.call("stats");
        let figure = |name: &str| {
            let text = node.driver.trace[from..].split_once(name).unwrap().1;
            text.lines().next().unwrap().parse::<u32>().unwrap()
        };
        (figure("edge_relay.loads="), figure("edge_relay.load_errors="))
    };
    for (text, expected) in
        [(&null, (1, 0)), (&none, (2, 0)), (&null, (3, 0)), (&absent, (3, 1)), (&none, (4, 1))]
    {
        match config::decode(text) {
            Ok(configuration) => node.table.reload(configuration, &mut node.driver),
            Err(error) => node.table.reject_configuration(&error.to_string()),
        }
        assert_eq!(loads(&mut node), expected, "{text}");
    }
}

/// A definition keeps its index for good, so that open invocations keep their operation.
#[test]
fn a_changed_operation_is_another_one_and_an_old_one_can_return() {
    let operations_of = |text: &str| {
        let decoded = config::decode(text).unwrap().decoded;
        decoded.operation_names.into_iter().zip(decoded.settings.operations).collect::<Vec<_>>()
    };
    let good = configuration(&[]);
    let (first, second) =
        (operations_of(&good), operations_of(&good.replace("8000000", "9000000").replace("0.5", "0.25")));
    let mut operations = Operations::default();
    let numbers =
        |operations: &Operations| ["plan", "lodge", "book"].map(|name| operations.number(name, START));
    operations.set(first.clone(), START);
    assert_eq!(numbers(&operations), [Some(0), Some(1), Some(2)]);
    let all = operations.set(second, START);
    assert_eq!(numbers(&operations), [Some(3), Some(4), Some(5)]);
    assert_eq!(all.iter().map(|o| o.in_use).collect::<Vec<_>>(), [false, false, false, true, true, true]);
    assert_eq!(operations.set(first[..1].to_vec(), START).len(), 6);
    assert_eq!(numbers(&operations), [Some(0), Some(4), Some(5)]);
    assert_eq!(operations.number("book", START + 1_000_000), None);
    assert_eq!(operations.name(5), "book");
}

/// No process, a leftover socket file, a process that sends nothing, and one that sends an unreadable state:
/// each time the new process listens for itself within a short time.
#[test]
fn a_start_without_a_usable_handover_listens_on_its_own() {
    let folder = std::env::temp_dir().join(format!("topazsail-handover-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let path = folder.join("one.sock");
    // The first port is never listened on.
    let unused = SocketAddr::from(([127, 0, 0, 1], 1));
    assert!(matches!(handover::request_handover(&path, unused), Requested::NotServed));
    drop(handover::bind_successor_socket(&path).unwrap());
    assert!(matches!(handover::request_handover(&path, unused), Requested::NotServed));
    // A leftover file is replaced; a process whose connection is not accepted waits for a second at most.
    let silent = handover::bind_successor_socket(&path).unwrap();
    let before = std::time::Instant::now();
    assert!(matches!(handover::request_handover(&path, unused), Requested::Failed));
    assert!(before.elapsed() < std::time::Duration::from_secs(20));
    let _ = silent.accept().unwrap();
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let successor = {
        let path = path.clone();
        std::thread::spawn(move || matches!(handover::request_handover(&path, unused), Requested::Failed))
    };
    silent.set_nonblocking(false).unwrap();
    let (mut stream, _) = silent.accept().unwrap();
    handover::send_listener(&stream, &listener).unwrap();
    std::io::Write::write_all(&mut stream, b"{\"discovery\":7}\n").unwrap();
    assert!(successor.join().unwrap());
    // A process that has handed over sends messages right away.
    let successor = {
        let path = path.clone();
        std::thread::spawn(move || match handover::request_handover(&path, unused) {
            Requested::Inherited(inherited) => inherited.following_bytes,
            _ => panic!("nothing was handed over"),
        })
    };
    let (mut stream, _) = silent.accept().unwrap();
    handover::send_listener(&stream, &listener).unwrap();
    let state = serde_json::to_string(&handover::HandoverState::default()).unwrap();
    std::io::Write::write_all(&mut stream, format!("{state}\n{{\"taken\":\"i1\"}}\n").as_bytes()).unwrap();
    assert!(b"{\"taken\":\"i1\"}\n".starts_with(&successor.join().unwrap()));
    // A path that is too long for a socket.
    assert!(handover::bind_successor_socket(&folder.join("x".repeat(120))).is_err());
    std::fs::remove_dir_all(folder).unwrap();
}

/// The wall clock of all machines is set back or forward by an hour while this process uses the monotonic
/// clock: a runner's start time is bounded by the last roster without it.
#[test]
fn a_runner_that_starts_after_a_step_of_the_wall_clock_counts_as_started_now() {
    const SECOND: Micros = 1_000_000;
    let entry = |started_at| RosterEntry {
        runner: "s-a".into(),
        cell: -1,
        size: 1.0,
        machine_type: "".into(),
        zone: "".into(),
        readiness: Readiness::Up,
        started_at: Some(started_at),
    };
    let now = START + 100 * SECOND;
    let age_when_listed = |previous_contact: Option<Micros>, started_at| {
        let mut members = Membership::new(10 * SECOND);
        members.set_previous_contact(previous_contact);
        let first = members.apply_listing(Listing::Changes, vec![entry(started_at)], now)[0].started_at;
        // Listed again, it has the same start.
        members.set_previous_contact(Some(now + 50 * SECOND));
        let again =
            members.apply_listing(Listing::Changes, vec![entry(started_at)], now + 60 * SECOND)[0].started_at;
        assert_eq!(first, again);
        first.map(|started| now - started)
    };
    let hour = 3_600 * SECOND;
    // The last roster was received two seconds ago: a runner that is new cannot have started long before it.
    assert_eq!(age_when_listed(Some(now - 2 * SECOND), now - SECOND - hour), Some(2 * SECOND));
    assert_eq!(age_when_listed(Some(now - 2 * SECOND), now - SECOND + hour), Some(0));
    assert_eq!(age_when_listed(None, now - SECOND + hour), Some(0));
    // The listed start counts where it is possible.
    assert_eq!(age_when_listed(Some(now - 2 * SECOND), now - 9 * SECOND), Some(9 * SECOND));
    assert_eq!(age_when_listed(None, now - hour), Some(hour));
}
