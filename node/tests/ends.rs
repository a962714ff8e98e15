//! The program over loopback sockets at the instant of an end, with something still owed: the instant is made by a
//! peer's own step (a dial that is not accepted, a byte held back, a signal between two steps), and what is waited
//! for is what the program itself says of it.

mod helper;

use std::fs;
use std::io::{BufRead, Write};
use std::net::{SocketAddr, TcpListener};
use std::time::{Duration, Instant};

use helper::*;
use socket2::Socket;

#[derive(Clone, Copy, Debug)]
enum Leaves {
    Closing,
    Resetting,
}

fn leaves(client: Connection, how: Leaves) {
    match how {
        Leaves::Closing => drop(client),
        Leaves::Resetting => client.reset(),
    }
}

/// A runner whose dials do not come up before it lets them: its queue of connections is full.
struct Shut {
    listener: Socket,
    address: SocketAddr,
    before: Vec<Socket>,
}

impl Shut {
    fn new() -> Shut {
        let listener = listener_with_minimal_backlog();
        let address = listener.local_addr().unwrap().as_socket().unwrap();
        let before = fill_backlog(address, Duration::from_millis(100));
        Shut { listener, address, before }
    }

    /// Lets those in that wait; the first to come up after that is the program's.
    fn opens(mut self) -> TcpListener {
        for _ in 1..self.before.len() {
            self.listener.accept().unwrap();
        }
        self.before.clear();
        self.listener.into()
    }
}

fn no_cancel(text: String) -> String {
    text.replace(r#""cancel":true"#, r#""cancel":false"#)
}

/// All that a runner is given, on whichever connections, by the time that the one named has come and a dial has had
/// time to be tried twice more.
fn given(runner: &TcpListener, named: &str) -> Vec<String> {
    runner.set_nonblocking(true).unwrap();
    let (mut peers, mut heard): (Vec<Connection>, Vec<String>) = Default::default();
    let (mut until, last) = (None, Instant::now() + STEP_TIMEOUT);
    while until.is_none_or(|until| Instant::now() < until) {
        assert!(Instant::now() < last, "{named} never came: {heard:?}");
        while let Ok((stream, _)) = runner.accept() {
            peers.push(Connection::new(stream));
        }
        for peer in &mut peers {
            peer.0.get_ref().set_read_timeout(Some(Duration::from_millis(2))).unwrap();
            if peer.0.fill_buf().is_ok_and(|bytes| !bytes.is_empty()) {
                peer.0.get_ref().set_read_timeout(Some(STEP_TIMEOUT)).unwrap();
                heard.push(peer.receive().split(' ').nth(3).unwrap_or_default().to_owned());
            }
        }
        if until.is_none() && heard.iter().any(|id| id == named) {
            until = Some(Instant::now() + Duration::from_millis(1500));
        }
        std::thread::sleep(Duration::from_millis(2));
    }
    heard
}

#[test]
fn a_client_that_leaves_while_its_forward_is_dialled_is_not_served() {
    for (octet, how) in [(101, Leaves::Closing), (102, Leaves::Resetting)] {
        let mut node = Node::new(octet, no_cancel);
        let shut = Shut::new();
        let mut watch = accept_watch(&node.discovery);
        list_runner(&mut watch, 1, shut.address, "up");
        let client = node.send_invocation("left");
        // Its forward is out: the next one waits for a dial of its own.
        let _waits = node.send_invocation("stays");
        leaves(client, how);
        node.wait_for_log("side=client");
        let runner = shut.opens();
        assert_eq!(given(&runner, "stays"), ["stays"], "{how:?}");
    }
}

#[test]
fn a_client_that_leaves_while_its_invocation_waits_for_a_runner_is_not_served() {
    for (octet, how) in [(103, Leaves::Closing), (104, Leaves::Resetting)] {
        let mut node = Node::new(octet, |text| text);
        let mut watch = accept_watch(&node.discovery);
        leaves(node.send_invocation("left"), how);
        node.wait_for_log("side=client");
        let _waits = node.send_invocation("stays");
        let runner = TcpListener::bind("127.0.0.1:0").unwrap();
        list_runner(&mut watch, 1, runner.local_addr().unwrap(), "up");
        assert_eq!(given(&runner, "stays"), ["stays"], "{how:?}");
    }
}

/// More than is kept of it is read on, however much, or its end would never be seen.
#[test]
fn a_client_that_sent_much_more_behind_its_request_and_left_is_not_served() {
    let mut node = Node::new(105, |text| text);
    let mut watch = accept_watch(&node.discovery);
    let mut client = node.send_invocation("left");
    client.send(&"x".repeat(8 << 20));
    leaves(client, Leaves::Closing);
    node.wait_for_log("side=client");
    let _waits = node.send_invocation("stays");
    let runner = TcpListener::bind("127.0.0.1:0").unwrap();
    list_runner(&mut watch, 1, runner.local_addr().unwrap(), "up");
    assert_eq!(given(&runner, "stays"), ["stays"]);
}

/// One that reads nothing leaves its next requests unread behind a full socket, and then itself.
#[test]
fn a_client_that_reads_nothing_and_left_is_not_served() {
    let mut node = Node::new(115, |text| text);
    let mut watch = accept_watch(&node.discovery);
    let mut client = node.connect_client();
    // Answers that nobody reads fill both sockets' buffers; the request stands behind the looks.
    let looks = "GET /healthz HTTP/1.1\r\n\r\n".repeat(1 << 16);
    client.0.get_ref().set_nonblocking(true).unwrap();
    let _ = client.0.get_mut().write_all(looks.as_bytes());
    client.0.get_ref().set_nonblocking(false).unwrap();
    leaves(client, Leaves::Resetting);
    node.wait_for_log("side=client");
    leaves(node.send_invocation("left"), Leaves::Closing);
    let _waits = node.send_invocation("stays");
    let runner = TcpListener::bind("127.0.0.1:0").unwrap();
    list_runner(&mut watch, 1, runner.local_addr().unwrap(), "up");
    assert_eq!(given(&runner, "stays"), ["stays"]);
}

/// The same id is asked for once more, by one that stays: what the first had asked for is not begun for it.
#[test]
fn a_client_that_left_is_not_served_for_one_that_asks_with_its_id() {
    let mut node = Node::new(116, no_cancel);
    let shut = Shut::new();
    let mut watch = accept_watch(&node.discovery);
    list_runner(&mut watch, 1, shut.address, "up");
    let client = node.send_invocation("twice");
    let _waits = node.send_invocation("stays");
    let mut again = node.send_invocation("twice");
    assert!(again.receive().starts_with("HTTP/1.1 400"));
    leaves(client, Leaves::Closing);
    node.wait_for_log("reason=peer_closed");
    let mut again = node.send_invocation("twice");
    assert!(again.receive().starts_with("HTTP/1.1 400"));
    let runner = shut.opens();
    assert_eq!(given(&runner, "stays"), ["stays"]);
}

#[test]
fn a_client_that_leaves_after_a_forward_came_back_is_not_served_by_the_next() {
    let mut node = Node::new(106, |text| text);
    let runner = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut watch = accept_watch(&node.discovery);
    list_runner(&mut watch, 1, runner.local_addr().unwrap(), "up");
    let client = node.send_invocation("left");
    let mut forward = Connection::accept(&runner);
    assert_eq!(forward.receive(), "POST /plan HTTP/1.1 left ");
    // Full: it waits for a slot there, which takes about as long as a job.
    forward.send(
        "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
    );
    node.wait_for_log("side=runner");
    leaves(client, Leaves::Closing);
    node.wait_for_log("side=client");
    let _waits = node.send_invocation("stays");
    let other = TcpListener::bind("127.0.0.1:0").unwrap();
    let line = format!(
        "{{\"generation\":2,\"instances\":[{{\"instanceId\":\"s-b\",\"lifecycle\":\"up\",\"weight\":1,\
         \"hostPort\":\"{}\"}}]}}\n",
        other.local_addr().unwrap()
    );
    watch.send_chunk(&line);
    assert_eq!(given(&other, "stays"), ["stays"]);
}

/// All of it came while the process was not let run: a request with its client's end, and the end of a client whose
/// forward's dial came up meanwhile.
#[test]
fn clients_that_left_while_the_process_stood_still_are_not_served() {
    let mut node = Node::new(107, no_cancel);
    let shut = Shut::new();
    let mut watch = accept_watch(&node.discovery);
    list_runner(&mut watch, 1, shut.address, "up");
    let dialled = node.send_invocation("dialled");
    let kept = node.send_invocation("kept");
    // Both are known: a look at readiness on a third connection comes after them.
    let mut third = node.connect_client();
    third.send("GET /healthz HTTP/1.1\r\n\r\n");
    assert_eq!(third.receive(), "HTTP/1.1 200 OK ");
    send_signal(&node.program, "STOP");
    leaves(dialled, Leaves::Closing);
    third.send(&request("read", 25_000));
    leaves(third, Leaves::Closing);
    leaves(node.send_invocation("new"), Leaves::Closing);
    let runner = shut.opens();
    std::thread::sleep(Duration::from_millis(400));
    send_signal(&node.program, "CONT");
    node.wait_for_log("stood-still");
    assert_eq!(given(&runner, "kept"), ["kept"]);
    drop(kept);
}

#[test]
fn a_dial_that_comes_up_after_its_runner_drains_carries_nothing() {
    let mut node = Node::new(108, no_cancel);
    let shut = Shut::new();
    let mut watch = accept_watch(&node.discovery);
    list_runner(&mut watch, 1, shut.address, "up");
    let _waits = node.send_invocation("waits");
    let mut client = node.connect_client();
    client.send("GET /healthz HTTP/1.1\r\n\r\n");
    client.receive();
    list_runner(&mut watch, 2, shut.address, "draining");
    node.wait_for_log("reason=unlisted");
    let drains = shut.opens();
    let other = TcpListener::bind("127.0.0.1:0").unwrap();
    list_runner(&mut watch, 3, other.local_addr().unwrap(), "up");
    assert_eq!(given(&other, "waits"), ["waits"]);
    drains.set_nonblocking(true).unwrap();
    while let Ok((stream, _)) = drains.accept() {
        let mut carried = Connection::new(stream);
        carried.0.get_ref().set_read_timeout(Some(Duration::from_millis(200))).unwrap();
        assert!(
            carried.0.fill_buf().is_ok_and(<[u8]>::is_empty),
            "the runner that drains was given something"
        );
    }
}

/// Clients of a second: the platform kills 0.7 s after that. Whoever sends on for as long as its connection stays is
/// answered each time, and the process ends by itself.
#[test]
fn going_down_with_short_client_timeouts_owes_nothing_when_it_ends() {
    let short = |text: String| text.replace("\"clientTimeout\":30000000", "\"clientTimeout\":1000000");
    let mut node = Node::new(109, |text| short(text).replace("20000000", "900000"));
    let runner = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut watch = accept_watch(&node.discovery);
    list_runner(&mut watch, 1, runner.local_addr().unwrap(), "up");
    // Taken, and never ended by its runner.
    let mut hangs = node.connect_client();
    hangs.send(&request("hangs", 1000));
    let mut forward = Connection::accept(&runner);
    assert_eq!(forward.receive(), "POST /plan HTTP/1.1 hangs ");
    forward.send(ACCEPTED);
    let mut busy = node.connect_client();
    busy.send("GET /healthz HTTP/1.1\r\n\r\n");
    assert_eq!(busy.receive(), "HTTP/1.1 200 OK ");
    send_signal(&node.program, "TERM");
    let told = Instant::now();
    node.wait_for_log("going-down");
    // A client's last request meets the time at which everything is given up, with its runner silent.
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
    assert!(hangs.receive().starts_with("HTTP/1.1 502 Bad Gateway"));
    assert_eq!(node.program.0.wait().unwrap().code(), Some(0));
    assert!(told.elapsed() < Duration::from_millis(1700), "killed before it had ended: {:?}", told.elapsed());
}

/// An operation whose repeats runners drop for a second and a half.
fn remembered(text: String) -> String {
    text.replace(
        r#""effect":"at_most_once""#,
        r#""effect":"deduplicated","group":"all","memorySpan":1500000"#,
    )
}

/// The first forward may have run; the second waits for its dial until the runners have forgotten the first.
#[test]
fn a_dial_that_outlives_the_memory_of_the_runners_carries_nothing() {
    let mut node = Node::new(110, remembered);
    let runner = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut watch = accept_watch(&node.discovery);
    list_runner(&mut watch, 1, runner.local_addr().unwrap(), "up");
    let mut client = node.send_invocation("once");
    let mut forward = Connection::accept(&runner);
    assert_eq!(forward.receive(), "POST /plan HTTP/1.1 once ");
    let sent = Instant::now();
    forward.send(ACCEPTED);
    let shut = Shut::new();
    // The same runner, elsewhere: its next forward has to be dialled.
    list_runner(&mut watch, 2, shut.address, "up");
    node.wait_for_log("reason=unlisted");
    call_back(node.listen, r#"{"id":"once","from":"s-a","state":"failed"}"#);
    // It may have run, but to ask again is harmless where all runners drop the repeat.
    assert!(client.receive().starts_with("HTTP/1.1 429"));
    assert!(sent.elapsed() < Duration::from_millis(1500), "given up late: {:?}", sent.elapsed());
    let _stays = node.send_invocation("stays");
    let runner = shut.opens();
    assert_eq!(given(&runner, "stays"), ["stays"]);
}

/// New settings between arrival, forward, return and answer, and twice in a row: what is under way is what it was when
/// it was taken, whatever its operation has become and been since.
#[test]
fn new_settings_at_each_step_change_nothing_for_what_is_under_way() {
    let kind = |effect: &str| format!(r#""effect":"{effect}","group":"zone","memorySpan":1000"#);
    let loose = kind("idempotent");
    let mut node = Node::new(111, |text| text.replace(r#""effect":"at_most_once""#, &loose));
    let was = fs::read_to_string(&node.configuration_path).unwrap();
    let strict = was.replace(&loose, &kind("at_most_once")).replace(":30000000", ":900000");
    let between = was.replace(&loose, &kind("deduplicated"));
    let reload = |node: &mut Node, text: &str| {
        fs::write(&node.configuration_path, text).unwrap();
        send_signal(&node.program, "HUP");
    };
    let mut watch = accept_watch(&node.discovery);
    // Known before the settings change: a look at readiness on the same connection comes after the request.
    let mut early = node.send_invocation("early");
    let mut look = node.connect_client();
    look.send("GET /healthz HTTP/1.1\r\n\r\n");
    look.receive();
    reload(&mut node, &between);
    node.wait_for_log("retuned");
    reload(&mut node, &strict);
    node.wait_for_log("retuned");
    let mut late = node.send_invocation("late");
    let runner = TcpListener::bind("127.0.0.1:0").unwrap();
    list_runner(&mut watch, 1, runner.local_addr().unwrap(), "up");
    let mut forwards = [Connection::accept(&runner), Connection::accept(&runner)];
    let mut heard = forwards.each_mut().map(Connection::receive);
    heard.sort();
    assert_eq!(heard, ["POST /plan HTTP/1.1 early ", "POST /plan HTTP/1.1 late "]);
    // What follows is on connections of its own.
    let last = ACCEPTED.replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n");
    forwards.iter_mut().for_each(|forward| forward.send(&last));
    // Between forward and return: loose again, with fewer forwards, then as at first.
    reload(&mut node, &was.replace("\"mostForwards\":3", "\"mostForwards\":1"));
    node.wait_for_log("retuned");
    reload(&mut node, &was);
    node.wait_for_log("retuned");
    call_back(node.listen, r#"{"id":"late","from":"s-a","state":"failed"}"#);
    assert!(late.receive().starts_with("HTTP/1.1 502"), "it must run once, as when it was taken");
    call_back(node.listen, r#"{"id":"early","from":"s-a","state":"failed"}"#);
    let again = given(&runner, "early");
    assert_eq!(again, ["early"]);
    reload(&mut node, &strict);
    node.wait_for_log("retuned");
    call_back(node.listen, r#"{"id":"early","from":"s-a","state":"done","result":"r"}"#);
    assert_eq!(early.receive(), "HTTP/1.1 200 OK r");
}
