//! The program over loopback sockets when a client, a dial, a deduplication window or the process itself ends
//! while invocations are unanswered. The tests fix the moment by their own steps as peers (a dial that is not
//! accepted, a byte held back, a signal between two steps), and wait for the program's log lines.

mod helper;

use std::fs;
use std::io::{BufRead, Write};
use std::net::{SocketAddr, TcpListener};
use std::time::{Duration, Instant};

use helper::*;
use socket2::Socket;

/// How a client ends its connection.
#[derive(Clone, Copy, Debug)]
enum Disconnect {
    Close,
    Reset,
}

fn disconnect(client: Connection, how: Disconnect) {
    match how {
        Disconnect::Close => drop(client),
        Disconnect::Reset => client.reset(),
    }
}

/// A runner whose backlog is full, so that dials to it do not complete until [`SaturatedRunner::unblock`].
struct SaturatedRunner {
    listener: Socket,
    address: SocketAddr,
    /// The connections that fill the backlog.
    queued: Vec<Socket>,
}

impl SaturatedRunner {
    fn new() -> SaturatedRunner {
        let listener = listener_with_minimal_backlog();
        let address = listener.local_addr().unwrap().as_socket().unwrap();
        let queued = fill_backlog(address, Duration::from_millis(100));
        SaturatedRunner { listener, address, queued }
    }

    /// Accepts the queued connections; the next one that the returned listener accepts is the program's.
    fn unblock(mut self) -> TcpListener {
        for _ in 1..self.queued.len() {
            self.listener.accept().unwrap();
        }
        self.queued.clear();
        self.listener.into()
    }
}

fn without_cancel(text: String) -> String {
    text.replace(r#""cancel":true"#, r#""cancel":false"#)
}

/// Returns the ids of all forwards that the runner receives on any connection, until the awaited one has
/// arrived and a dial has had time to be retried twice.
fn forwarded_ids(runner: &TcpListener, awaited: &str) -> Vec<String> {
    runner.set_nonblocking(true).unwrap();
    let (mut connections, mut ids): (Vec<Connection>, Vec<String>) = Default::default();
    let (mut end, deadline) = (None, Instant::now() + STEP_TIMEOUT);
    while end.is_none_or(|end| Instant::now() < end) {
        assert!(Instant::now() < deadline, "{awaited} was not forwarded, only {ids:?}");
        while let Ok((stream, _)) = runner.accept() {
            connections.push(Connection::new(stream));
        }
        for connection in &mut connections {
            connection.0.get_ref().set_read_timeout(Some(Duration::from_millis(2))).unwrap();
            if connection.0.fill_buf().is_ok_and(|bytes| !bytes.is_empty()) {
                connection.0.get_ref().set_read_timeout(Some(STEP_TIMEOUT)).unwrap();
                ids.push(connection.receive().split(' ').nth(3).unwrap_or_default().to_owned());
            }
        }
        if end.is_none() && ids.iter().any(|id| id == awaited) {
            end = Some(Instant::now() + Duration::from_millis(1500));
        }
        std::thread::sleep(Duration::from_millis(2));
    }
    ids
}

/// Guards against sending a forward once its dial completes, although its client has left meanwhile.
#[test]
fn a_client_that_leaves_while_its_forward_is_dialled_is_not_served() {
    for (octet, how) in [(101, Disconnect::Close), (102, Disconnect::Reset)] {
        let mut node = Node::new(octet, without_cancel);
        let saturated = SaturatedRunner::new();
        let mut watch = accept_watch(&node.discovery);
        list_runner(&mut watch, 1, saturated.address, "up");
        let client = node.send_invocation("left");
        // The first forward has its dial under way, and the second one waits for another dial.
        let _waits = node.send_invocation("stays");
        disconnect(client, how);
        node.wait_for_log("side=client");
        let runner = saturated.unblock();
        assert_eq!(forwarded_ids(&runner, "stays"), ["stays"], "{how:?}");
    }
}

/// Guards against forwarding an invocation whose client left while no runner was listed.
#[test]
fn a_client_that_leaves_while_its_invocation_waits_for_a_runner_is_not_served() {
    for (octet, how) in [(103, Disconnect::Close), (104, Disconnect::Reset)] {
        let mut node = Node::new(octet, |text| text);
        let mut watch = accept_watch(&node.discovery);
        disconnect(node.send_invocation("left"), how);
        node.wait_for_log("side=client");
        let _waits = node.send_invocation("stays");
        let runner = TcpListener::bind("127.0.0.1:0").unwrap();
        list_runner(&mut watch, 1, runner.local_addr().unwrap(), "up");
        assert_eq!(forwarded_ids(&runner, "stays"), ["stays"], "{how:?}");
    }
}

/// The program reads on behind a request, beyond what it keeps and without a limit, because otherwise it
/// would never see the end of the connection.
#[test]
fn a_client_that_sent_much_more_behind_its_request_and_left_is_not_served() {
    let mut node = Node::new(105, |text| text);
    let mut watch = accept_watch(&node.discovery);
    let mut client = node.send_invocation("left");
    client.send(&"x".repeat(8 << 20));
    disconnect(client, Disconnect::Close);
    node.wait_for_log("side=client");
    let _waits = node.send_invocation("stays");
    let runner = TcpListener::bind("127.0.0.1:0").unwrap();
    list_runner(&mut watch, 1, runner.local_addr().unwrap(), "up");
    assert_eq!(forwarded_ids(&runner, "stays"), ["stays"]);
}

/// A client that reads no answers has its further requests left unread behind full socket buffers, and then
/// it disconnects.
#[test]
fn a_client_that_reads_nothing_and_left_is_not_served() {
    let mut node = Node::new(115, |text| text);
    let mut watch = accept_watch(&node.discovery);
    let mut client = node.connect_client();
    // The unread answers to these readiness checks fill the buffers of both sockets.
    let readiness_checks = "GET /healthz HTTP/1.1\r\n\r\n".repeat(1 << 16);
    client.0.get_ref().set_nonblocking(true).unwrap();
    let _ = client.0.get_mut().write_all(readiness_checks.as_bytes());
    client.0.get_ref().set_nonblocking(false).unwrap();
    disconnect(client, Disconnect::Reset);
    node.wait_for_log("side=client");
    disconnect(node.send_invocation("left"), Disconnect::Close);
    let _waits = node.send_invocation("stays");
    let runner = TcpListener::bind("127.0.0.1:0").unwrap();
    list_runner(&mut watch, 1, runner.local_addr().unwrap(), "up");
    assert_eq!(forwarded_ids(&runner, "stays"), ["stays"]);
}

/// Guards against forwarding an invocation whose client has left, because other clients, which stay, have
/// sent its id. Their requests are refused as repeats.
#[test]
fn a_repeated_id_does_not_start_an_invocation_whose_client_left() {
    let mut node = Node::new(116, without_cancel);
    let saturated = SaturatedRunner::new();
    let mut watch = accept_watch(&node.discovery);
    list_runner(&mut watch, 1, saturated.address, "up");
    let client = node.send_invocation("twice");
    let _waits = node.send_invocation("stays");
    let mut again = node.send_invocation("twice");
    assert!(again.receive().starts_with("HTTP/1.1 400"));
    disconnect(client, Disconnect::Close);
    node.wait_for_log("reason=peer_closed");
    let mut again = node.send_invocation("twice");
    assert!(again.receive().starts_with("HTTP/1.1 400"));
    let runner = saturated.unblock();
    assert_eq!(forwarded_ids(&runner, "stays"), ["stays"]);
}

/// Guards against forwarding to another runner an invocation that the first runner refused and whose client
/// has left since.
#[test]
fn a_client_that_leaves_after_a_refused_forward_is_not_served_by_another_runner() {
    let mut node = Node::new(106, |text| text);
    let runner = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut watch = accept_watch(&node.discovery);
    list_runner(&mut watch, 1, runner.local_addr().unwrap(), "up");
    let client = node.send_invocation("left");
    let mut forward = Connection::accept(&runner);
    assert_eq!(forward.receive(), "POST /plan HTTP/1.1 left ");
    // The runner is full: the invocation waits for a slot there, for about as long as a job takes.
    forward.send(
        "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
    );
    node.wait_for_log("side=runner");
    disconnect(client, Disconnect::Close);
    node.wait_for_log("side=client");
    let _waits = node.send_invocation("stays");
    let other = TcpListener::bind("127.0.0.1:0").unwrap();
    let line = format!(
        "{{\"generation\":2,\"instances\":[{{\"instanceId\":\"s-b\",\"lifecycle\":\"up\",\"weight\":1,\
         \"hostPort\":\"{}\"}}]}}\n",
        other.local_addr().unwrap()
    );
    watch.send_chunk(&line);
    assert_eq!(forwarded_ids(&other, "stays"), ["stays"]);
}

/// While the process is stopped (SIGSTOP), it is sent requests whose clients close their connections, and a
/// client closes its connection while the dial for its forward completes.
#[test]
fn clients_that_left_while_the_process_was_stopped_are_not_served() {
    let mut node = Node::new(107, without_cancel);
    let saturated = SaturatedRunner::new();
    let mut watch = accept_watch(&node.discovery);
    list_runner(&mut watch, 1, saturated.address, "up");
    let dialled = node.send_invocation("dialled");
    let kept = node.send_invocation("kept");
    // The program has read both requests once it answers a readiness check on a third connection.
    let mut checking_client = node.connect_client();
    checking_client.send("GET /healthz HTTP/1.1\r\n\r\n");
    assert_eq!(checking_client.receive(), "HTTP/1.1 200 OK ");
    send_signal(&node.program, "STOP");
    disconnect(dialled, Disconnect::Close);
    checking_client.send(&request("read", 25_000));
    disconnect(checking_client, Disconnect::Close);
    disconnect(node.send_invocation("new"), Disconnect::Close);
    let runner = saturated.unblock();
    std::thread::sleep(Duration::from_millis(400));
    send_signal(&node.program, "CONT");
    node.wait_for_log("stood-still");
    assert_eq!(forwarded_ids(&runner, "kept"), ["kept"]);
    drop(kept);
}

/// Guards against a forward to a runner that was listed as draining while the dial to it was under way.
#[test]
fn a_dial_that_completes_after_its_runner_drains_carries_no_forward() {
    let mut node = Node::new(108, without_cancel);
    let saturated = SaturatedRunner::new();
    let mut watch = accept_watch(&node.discovery);
    list_runner(&mut watch, 1, saturated.address, "up");
    let _waits = node.send_invocation("waits");
    let mut client = node.connect_client();
    client.send("GET /healthz HTTP/1.1\r\n\r\n");
    client.receive();
    list_runner(&mut watch, 2, saturated.address, "draining");
    node.wait_for_log("reason=unlisted");
    let draining = saturated.unblock();
    let other = TcpListener::bind("127.0.0.1:0").unwrap();
    list_runner(&mut watch, 3, other.local_addr().unwrap(), "up");
    assert_eq!(forwarded_ids(&other, "waits"), ["waits"]);
    draining.set_nonblocking(true).unwrap();
    while let Ok((stream, _)) = draining.accept() {
        let mut connection = Connection::new(stream);
        connection.0.get_ref().set_read_timeout(Some(Duration::from_millis(200))).unwrap();
        assert!(
            connection.0.fill_buf().is_ok_and(<[u8]>::is_empty),
            "the draining runner received something"
        );
    }
}

/// The client timeout is one second, and the platform kills the process 0.7 s after that. A client that sends
/// requests for as long as its connection stays open gets an answer to each, and the process exits before it
/// is killed.
#[test]
fn going_down_with_short_client_timeouts_answers_every_request_before_the_exit() {
    let short_timeout =
        |text: String| text.replace("\"clientTimeout\":30000000", "\"clientTimeout\":1000000");
    let mut node = Node::new(109, |text| short_timeout(text).replace("20000000", "900000"));
    let runner = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut watch = accept_watch(&node.discovery);
    list_runner(&mut watch, 1, runner.local_addr().unwrap(), "up");
    // The runner accepts this invocation and never reports its end.
    let mut hanging = node.connect_client();
    hanging.send(&request("hangs", 1000));
    let mut forward = Connection::accept(&runner);
    assert_eq!(forward.receive(), "POST /plan HTTP/1.1 hangs ");
    forward.send(ACCEPTED);
    let mut busy = node.connect_client();
    busy.send("GET /healthz HTTP/1.1\r\n\r\n");
    assert_eq!(busy.receive(), "HTTP/1.1 200 OK ");
    send_signal(&node.program, "TERM");
    let signalled = Instant::now();
    node.wait_for_log("going-down");
    // The last request of this client arrives when all unanswered invocations are given up and the runner is
    // silent.
    let mut answers = 0;
    let mut last = None;
    while last.is_none() {
        busy.send(&request(&format!("i{answers}"), 1000));
        let answer = busy.receive();
        assert!(answer.starts_with("HTTP/1.1 "), "request {answers} got no answer");
        answers += 1;
        last = answer.contains("close").then_some(answer);
    }
    assert!(busy.is_closed());
    assert!(hanging.receive().starts_with("HTTP/1.1 502 Bad Gateway"));
    assert_eq!(node.program.0.wait().unwrap().code(), Some(0));
    assert!(
        signalled.elapsed() < Duration::from_millis(1700),
        "would have been killed: {:?}",
        signalled.elapsed()
    );
}

/// Makes the operation one of which all runners together drop a repeated invocation for 1.5 s.
fn with_deduplication(text: String) -> String {
    text.replace(
        r#""effect":"at_most_once""#,
        r#""effect":"deduplicated","group":"all","memorySpan":1500000"#,
    )
}

/// Guards against running an invocation twice: its first forward may have run, and the second one waits for
/// its dial until the runners' deduplication window is over.
#[test]
fn a_dial_that_outlasts_the_deduplication_window_carries_no_forward() {
    let mut node = Node::new(110, with_deduplication);
    let runner = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut watch = accept_watch(&node.discovery);
    list_runner(&mut watch, 1, runner.local_addr().unwrap(), "up");
    let mut client = node.send_invocation("once");
    let mut forward = Connection::accept(&runner);
    assert_eq!(forward.receive(), "POST /plan HTTP/1.1 once ");
    let sent = Instant::now();
    forward.send(ACCEPTED);
    let saturated = SaturatedRunner::new();
    // The same runner at another address, so that its next forward needs a dial.
    list_runner(&mut watch, 2, saturated.address, "up");
    node.wait_for_log("reason=unlisted");
    call_back(node.listen, r#"{"id":"once","from":"s-a","state":"failed"}"#);
    // The invocation may have run, but the client may safely retry it because all runners drop the repeat.
    assert!(client.receive().starts_with("HTTP/1.1 429"));
    assert!(sent.elapsed() < Duration::from_millis(1500), "given up too late: {:?}", sent.elapsed());
    let _stays = node.send_invocation("stays");
    let runner = saturated.unblock();
    assert_eq!(forwarded_ids(&runner, "stays"), ["stays"]);
}

/// New settings arrive between arrival, forward, call-back and answer, and twice in a row. An invocation
/// keeps the operation that it was accepted with, whatever the settings have made of that operation since.
#[test]
fn new_settings_at_each_step_change_nothing_for_what_is_under_way() {
    let operation = |effect: &str| format!(r#""effect":"{effect}","group":"zone","memorySpan":1000"#);
    let idempotent = operation("idempotent");
    let mut node = Node::new(111, |text| text.replace(r#""effect":"at_most_once""#, &idempotent));
    let initial = fs::read_to_string(&node.configuration_path).unwrap();
    let strict = initial.replace(&idempotent, &operation("at_most_once")).replace(":30000000", ":900000");
    let deduplicated = initial.replace(&idempotent, &operation("deduplicated"));
    let reload = |node: &mut Node, text: &str| {
        fs::write(&node.configuration_path, text).unwrap();
        send_signal(&node.program, "HUP");
    };
    let mut watch = accept_watch(&node.discovery);
    // The program has read this request before the settings change: it then answers a readiness check on a
    // connection that was opened later.
    let mut early = node.send_invocation("early");
    let mut readiness_check = node.connect_client();
    readiness_check.send("GET /healthz HTTP/1.1\r\n\r\n");
    readiness_check.receive();
    reload(&mut node, &deduplicated);
    node.wait_for_log("retuned");
    reload(&mut node, &strict);
    node.wait_for_log("retuned");
    let mut late = node.send_invocation("late");
    let runner = TcpListener::bind("127.0.0.1:0").unwrap();
    list_runner(&mut watch, 1, runner.local_addr().unwrap(), "up");
    let mut forwards = [Connection::accept(&runner), Connection::accept(&runner)];
    let mut requests = forwards.each_mut().map(Connection::receive);
    requests.sort();
    assert_eq!(requests, ["POST /plan HTTP/1.1 early ", "POST /plan HTTP/1.1 late "]);
    // Later forwards need new connections.
    let accepted_and_closed = ACCEPTED.replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n");
    forwards.iter_mut().for_each(|forward| forward.send(&accepted_and_closed));
    // Between forward and call-back: idempotent again with fewer forwards, then the initial settings.
    reload(&mut node, &initial.replace("\"mostForwards\":3", "\"mostForwards\":1"));
    node.wait_for_log("retuned");
    reload(&mut node, &initial);
    node.wait_for_log("retuned");
    call_back(node.listen, r#"{"id":"late","from":"s-a","state":"failed"}"#);
    assert!(
        late.receive().starts_with("HTTP/1.1 502"),
        "an invocation accepted as at_most_once must run once"
    );
    call_back(node.listen, r#"{"id":"early","from":"s-a","state":"failed"}"#);
    let forwarded = forwarded_ids(&runner, "early");
    assert_eq!(forwarded, ["early"]);
    reload(&mut node, &strict);
    node.wait_for_log("retuned");
    call_back(node.listen, r#"{"id":"early","from":"s-a","state":"done","result":"r"}"#);
    assert_eq!(early.receive(), "HTTP/1.1 200 OK r");
}
