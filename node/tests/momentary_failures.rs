//! The program over loopback sockets while its own system calls fail for a moment, as Linux documents them.

mod helper;

use std::fs::File;
use std::io::{BufRead, Read, Write};
use std::net::TcpListener;
use std::thread::sleep;
use std::time::{Duration, Instant};

use helper::*;
use topazsail_faults::{Call, ClockStep, Effect, Endpoint, Errno, Plan, Rule};

/// What the deadline passed on may exceed the time that the client has left.
const DEADLINE_SLACK: Duration = Duration::from_millis(150);
/// A request that nothing keeps from being answered is answered within this.
const PROMPT: Duration = Duration::from_secs(3);

fn fails(call: Call, errno: &str, span: std::ops::Range<u64>) -> Rule {
    let effect = Effect::Errno(Errno::named(errno).unwrap());
    Rule { call, endpoint: Endpoint::Any, effect, rate: 1.0, from_ms: span.start, until_ms: span.end }
}

fn plan(rules: impl Into<Vec<Rule>>) -> Plan {
    Plan { seed: 1, rules: rules.into(), clock_steps: Vec::new() }
}

/// Waits until so long after the start of the program.
fn until(node: &Node, ms: u64) {
    sleep((node.started + Duration::from_millis(ms)).saturating_duration_since(Instant::now()));
}

/// The status of the next answer, or none if the connection ends or nothing comes within this.
fn status(client: &mut Connection, within: Duration) -> Option<u16> {
    client.0.get_ref().set_read_timeout(Some(within)).unwrap();
    let mut line = String::new();
    client.0.read_line(&mut line).ok()?;
    line.split(' ').nth(1)?.parse().ok()
}

/// The head of the next message.
fn head(peer: &mut Connection) -> String {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        assert!(peer.0.read_line(&mut head).unwrap() > 0, "ended after {head:?}");
    }
    head
}

/// The first connection, old or new, on which something is said.
fn speaking<'a>(runner: &TcpListener, connections: &'a mut Vec<Connection>) -> &'a mut Connection {
    let patience = Instant::now() + STEP_TIMEOUT;
    runner.set_nonblocking(true).unwrap();
    loop {
        assert!(Instant::now() < patience, "nothing was said");
        if let Ok((stream, _)) = runner.accept() {
            stream.set_nonblocking(false).unwrap();
            connections.push(Connection::new(stream));
        }
        let speaks = |peer: &mut Connection| {
            peer.0.get_ref().set_read_timeout(Some(Duration::from_millis(1))).unwrap();
            let speaks = peer.0.fill_buf().is_ok_and(|bytes| !bytes.is_empty());
            peer.0.get_ref().set_read_timeout(Some(STEP_TIMEOUT)).unwrap();
            speaks
        };
        if let Some(at) = connections.iter_mut().position(speaks) {
            return &mut connections[at];
        }
    }
}

fn told_deadline(head: &str) -> Duration {
    let value = head.lines().find_map(|line| line.strip_prefix("X-Deadline-Ms: ")).unwrap();
    Duration::from_millis(value.parse().unwrap())
}

/// What the head of a forward tells is no later than its client gives up.
fn tells_what_is_left(head: &str, gives_up: Instant) {
    let told = told_deadline(head);
    let left = gives_up.saturating_duration_since(Instant::now());
    assert!(told <= left + DEADLINE_SLACK, "told {told:?} with {left:?} left");
}

/// Discovery lists one server to the program.
fn one_runner(node: &Node) -> (TcpListener, Connection) {
    let runner = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut watch = accept_watch(&node.discovery);
    list_runner(&mut watch, 1, runner.local_addr().unwrap(), "up");
    (runner, watch)
}

/// The server takes this request and ends it; its client is answered with that.
fn is_served(node: &Node, id: &str, forward: &mut Connection, client: &mut Connection) -> bool {
    forward.send(ACCEPTED);
    call_back(node.listen, &format!(r#"{{"id":"{id}","from":"s-a","state":"done","result":"r"}}"#));
    status(client, PROMPT) == Some(200)
}

/// A client with three seconds asks during the fault; the head of its forward, and when it gives up.
fn asked_during(node: &Node, runner: &TcpListener) -> (String, Instant) {
    until(node, 1_050);
    let gives_up = Instant::now() + Duration::from_secs(3);
    let mut client = node.connect_client();
    client.send(&request("waited", 3_000));
    // A connection that is given up before its request has left carries nothing.
    (head(speaking(runner, &mut Vec::new())), gives_up)
}

/// Connections with a request out on each, so that none of them may be ended to make room.
fn busy(node: &Node, count: usize) -> Vec<Connection> {
    (0..count).map(|nth| node.send_invocation(&format!("busy{nth}"))).collect()
}

fn healthy(node: &Node) -> Option<u16> {
    let mut client = node.connect_client();
    client.send("GET /healthz HTTP/1.1\r\n\r\n");
    status(&mut client, PROMPT)
}

#[test]
fn accept_failing_once_does_not_stop_new_connections_for_good() {
    for (octet, call, errno) in
        [(201, Call::Accept, "ENFILE"), (202, Call::Accept, "ENOBUFS"), (203, Call::Socket, "EMFILE")]
    {
        let node = Node::with_faults(octet, &plan([fails(call, errno, 1_000..1_200)]), |text| text);
        let _listed = one_runner(&node);
        let _busy = busy(&node, 20);
        until(&node, 1_050);
        // One that needs a connection to its server, and one that has to be accepted.
        let _during = node.send_invocation("during");
        until(&node, 1_500);
        let answers: Vec<Option<u16>> = (0..4).map(|_| healthy(&node)).collect();
        assert_eq!(answers, [Some(200); 4], "{errno} from {call:?}");
    }
}

#[test]
fn a_request_on_a_queued_connection_is_answered_before_the_process_ends() {
    let mut node = Node::new(204, |text| text.replace("\"sockets\":256", "\"sockets\":64"));
    let _listed = one_runner(&node);
    let _busy = busy(&node, 60);
    node.wait_for_log("accept-paused");
    send_signal(&node.program, "TERM");
    node.wait_for_log("going-down");
    let mut queued: Vec<Connection> =
        (0..5).map(|nth| node.send_invocation(&format!("queued{nth}"))).collect();
    let answers: Vec<Option<u16>> = queued.iter_mut().map(|client| status(client, STEP_TIMEOUT)).collect();
    assert_eq!(answers.iter().filter(|status| status.is_some()).count(), 5, "{answers:?}");
}

#[test]
fn a_request_queued_while_accept_fails_is_answered_before_the_process_ends() {
    let mut node = Node::with_faults(221, &plan([fails(Call::Accept, "ENFILE", 1_000..4_500)]), |text| text);
    let _watch = accept_watch(&node.discovery);
    let _busy = busy(&node, 3);
    until(&node, 1_100);
    send_signal(&node.program, "TERM");
    node.wait_for_log("going-down");
    let mut queued: Vec<Connection> =
        (0..5).map(|nth| node.send_invocation(&format!("queued{nth}"))).collect();
    let answers: Vec<Option<u16>> = queued.iter_mut().map(|client| status(client, STEP_TIMEOUT)).collect();
    assert_eq!(answers, [Some(503); 5]);
}

#[test]
fn the_deadline_passed_on_leaves_out_the_wait_before_accept() {
    let node = Node::with_faults(205, &plan([fails(Call::Accept, "ENFILE", 1_000..1_600)]), |text| text);
    let (runner, _watch) = one_runner(&node);
    let (told, gives_up) = asked_during(&node, &runner);
    tells_what_is_left(&told, gives_up);
}

#[test]
fn the_deadline_passed_on_leaves_out_the_time_in_which_nothing_can_be_read() {
    let mut node = Node::with_faults(223, &plan([fails(Call::Receive, "ENOMEM", 1_000..1_600)]), |text| text);
    let (runner, _watch) = one_runner(&node);
    node.wait_for_log("watch-up");
    let (told, gives_up) = asked_during(&node, &runner);
    tells_what_is_left(&told, gives_up);
}

#[test]
fn the_deadline_passed_on_leaves_out_the_time_in_which_writes_are_interrupted() {
    let interrupted = Rule { endpoint: Endpoint::Dialled, ..fails(Call::Send, "EINTR", 1_000..1_600) };
    let mut node = Node::with_faults(224, &plan([interrupted]), |text| text);
    let (runner, _watch) = one_runner(&node);
    node.wait_for_log("watch-up");
    let (told, gives_up) = asked_during(&node, &runner);
    tells_what_is_left(&told, gives_up);
}

#[test]
fn the_deadline_passed_on_leaves_out_the_wait_behind_an_earlier_request() {
    let node = Node::new(206, |text| text);
    let (runner, _watch) = one_runner(&node);
    let mut client = node.connect_client();
    client.send(&(request("first", 20_000) + &request("second", 3_000)));
    let gives_up = Instant::now() + Duration::from_secs(3);
    let mut forward = Connection::accept(&runner);
    head(&mut forward);
    forward.send(ACCEPTED);
    sleep(Duration::from_millis(600));
    call_back(node.listen, r#"{"id":"first","from":"s-a","state":"done","result":"r"}"#);
    tells_what_is_left(&head(&mut forward), gives_up);
}

/// Sends to its server fail nearly all the time for a second, and move one byte else.
#[test]
fn a_request_that_leaves_too_slowly_is_not_told_an_old_deadline() {
    let slow =
        |call| Rule { rate: 0.98, endpoint: Endpoint::Dialled, ..fails(call, "ENOBUFS", 1_000..2_000) };
    let short = Rule { effect: Effect::Short, rate: 1.0, ..slow(Call::Send) };
    let mut node = Node::with_faults(220, &plan([slow(Call::Send), short]), |text| text);
    let (runner, _watch) = one_runner(&node);
    node.wait_for_log("watch-up");
    until(&node, 1_050);
    let gives_up = Instant::now() + Duration::from_secs(6);
    let mut client = node.connect_client();
    let body = "x".repeat(60_000);
    client.send(&format!("POST /plan HTTP/1.1\r\nX-Request-Id: i1\r\nX-Deadline-Ms: 6000\r\nContent-Length: 60000\r\n\r\n{body}"));
    let mut connections = Vec::new();
    loop {
        let forward = speaking(&runner, &mut connections);
        // Ended in its middle it does not run, and is sent again.
        let mut whole = Vec::new();
        while !whole.ends_with(body.as_bytes())
            && forward.0.read_until(b'x', &mut whole).is_ok_and(|read| read > 0)
        {}
        if whole.ends_with(body.as_bytes()) {
            return tells_what_is_left(&String::from_utf8_lossy(&whole), gives_up);
        }
        connections.retain_mut(|peer| !peer.is_closed());
    }
}

#[test]
fn a_log_that_cannot_be_written_ends_nothing() {
    let full = |command: &mut std::process::Command| {
        command.stderr(File::options().write(true).open("/dev/full").unwrap());
    };
    let mut node = Node::spawn(207, "", full, |text| text);
    let (runner, _watch) = one_runner(&node);
    let mut client = node.send_invocation("i1");
    let mut forward = Connection::accept(&runner);
    head(&mut forward);
    assert!(is_served(&node, "i1", &mut forward, &mut client));
    assert_eq!(node.program.0.try_wait().unwrap(), None);
}

#[test]
fn new_settings_are_read_again_when_their_file_cannot_be_opened_for_a_moment() {
    let mut node = Node::with_faults(208, &plan([fails(Call::Open, "ENFILE", 1_000..1_400)]), |text| text);
    let _watch = accept_watch(&node.discovery);
    let moved = TcpListener::bind("127.0.0.1:0").unwrap();
    let text = std::fs::read_to_string(&node.configuration_path).unwrap();
    let before = node.discovery.local_addr().unwrap().to_string();
    std::fs::write(&node.configuration_path, text.replace(&before, &moved.local_addr().unwrap().to_string()))
        .unwrap();
    until(&node, 1_100);
    send_signal(&node.program, "HUP");
    node.wait_for_log("reloaded");
    assert!(Connection::accept(&moved).receive().starts_with("GET /v1/servers"));
}

#[test]
fn a_start_tries_again_what_fails_for_a_moment() {
    for (octet, call, errno) in [
        (209, Call::Socket, "ENOBUFS"),
        (210, Call::Open, "ENFILE"),
        (211, Call::Connect, "EADDRNOTAVAIL"),
        (212, Call::Accept, "ECONNABORTED"),
    ] {
        let node = Node::with_faults(octet, &plan([fails(call, errno, 0..500)]), |text| text);
        let (runner, _watch) = one_runner(&node);
        let mut client = node.send_invocation("i1");
        let mut forward = Connection::accept(&runner);
        head(&mut forward);
        assert!(is_served(&node, "i1", &mut forward, &mut client), "{errno} from {call:?}");
    }
}

#[test]
fn a_connection_that_cannot_be_made_for_a_moment_is_not_the_servers_fault() {
    for (octet, call, errno) in [
        (213, Call::Socket, "ENOBUFS"),
        (214, Call::Connect, "EADDRNOTAVAIL"),
        (215, Call::Connect, "ENETUNREACH"),
        (216, Call::Connect, "EINTR"),
    ] {
        let node = Node::with_faults(octet, &plan([fails(call, errno, 1_000..1_300)]), |text| text);
        let (runner, _watch) = one_runner(&node);
        until(&node, 1_050);
        let mut client = node.send_invocation("i1");
        let mut forward = Connection::accept(&runner);
        head(&mut forward);
        let took = node.started.elapsed();
        // As soon as it can be made, and not after the wait of a server that is set aside.
        assert!(took < Duration::from_millis(1_500), "{errno} from {call:?}: {took:?}");
        assert!(is_served(&node, "i1", &mut forward, &mut client), "{errno} from {call:?}");
    }
}

/// To a server, and to discovery: each has its own time, which runs while the host keeps the dial from beginning.
#[test]
fn a_dial_that_this_host_keeps_from_beginning_is_given_up_in_its_time() {
    let brief = |text: String| text.replace("\"dialTimeout\":20000000", "\"dialTimeout\":300000");
    let mut node =
        Node::with_faults(225, &plan([fails(Call::Connect, "EADDRNOTAVAIL", 1_000..4_000)]), brief);
    let (_runner, watch) = one_runner(&node);
    node.wait_for_log("watch-up");
    until(&node, 1_050);
    let _client = node.send_invocation("i1");
    node.wait_for_log("ending=void");
    drop(watch);
    node.wait_for_log("reason=not_dialled");
    assert!(node.started.elapsed() < Duration::from_millis(3_900), "only once it could be dialled again");
}

#[test]
fn transfers_that_are_short_interrupted_or_refused_for_a_moment_lose_nothing() {
    let short = |call| Rule { effect: Effect::Short, rate: 0.7, ..fails(call, "EINTR", 0..u64::MAX) };
    let some = |call, errno| Rule { rate: 0.2, ..fails(call, errno, 0..u64::MAX) };
    let rules = [Call::Receive, Call::Send]
        .iter()
        .flat_map(|call| [some(*call, "EINTR"), some(*call, "ENOBUFS"), some(*call, "ENOMEM"), short(*call)]);
    let mut node = Node::with_faults(217, &plan(rules.collect::<Vec<Rule>>()), |text| text);
    let (runner, _watch) = one_runner(&node);
    node.wait_for_log("watch-up");
    let mut connections = Vec::new();
    for nth in 0..20 {
        let id = format!("i{nth}");
        let mut client = node.send_invocation(&id);
        let forward = speaking(&runner, &mut connections);
        assert!(head(forward).contains(&format!("X-Request-Id: {id}\r\n")));
        assert!(is_served(&node, &id, forward, &mut client), "{id}");
    }
}

#[test]
fn steps_of_the_wall_clock_move_no_deadline() {
    let steps = [(900, 3_600_000), (1_300, -7_200_000), (1_700, 1_000)];
    let clock_steps = steps.map(|(at_ms, by_ms)| ClockStep { at_ms, by_ms }).to_vec();
    let node = Node::with_faults(218, &Plan { clock_steps, ..plan([]) }, |text| text);
    let _watch = accept_watch(&node.discovery);
    until(&node, 800);
    // Nobody is listed: each waits until its time is over.
    let mut client = node.connect_client();
    client.send(&request("i1", 1_500));
    let sent = Instant::now();
    assert!(status(&mut client, STEP_TIMEOUT).is_some());
    let took = sent.elapsed();
    assert!(took < Duration::from_millis(1_550), "{took:?}");
    let mut rest = Vec::new();
    client.0.get_ref().set_read_timeout(Some(Duration::from_millis(200))).unwrap();
    let _ = client.0.read_to_end(&mut rest);
    assert_eq!(String::from_utf8_lossy(&rest).matches("HTTP/1.1").count(), 0, "answered twice");
}

#[test]
fn a_signal_whose_pipe_cannot_be_written_is_heard() {
    let mut node = Node::with_faults(222, &plan([fails(Call::Send, "ENOBUFS", 1_000..1_300)]), |text| text);
    let _watch = accept_watch(&node.discovery);
    node.wait_for_log("serving");
    until(&node, 1_100);
    send_signal(&node.program, "HUP");
    node.wait_for_log("reloaded");
    send_signal(&node.program, "TERM");
    node.wait_for_log("going-down");
}

#[test]
fn signals_in_series_lose_nothing_at_the_end() {
    let mut node = Node::new(219, |text| text);
    let _watch = accept_watch(&node.discovery);
    let mut clients: Vec<Connection> = (0..10).map(|_| node.connect_client()).collect();
    send_signal(&node.program, "TERM");
    node.wait_for_log("going-down");
    let going_down = Instant::now();
    let mut refused = 0;
    while going_down.elapsed() < Duration::from_millis(3_700) {
        for name in ["XFSZ", "HUP", "TERM"] {
            let _ = std::process::Command::new("sh")
                .arg("-c")
                .arg(format!("kill -{name} {} 2>&-", node.program.0.id()))
                .status();
        }
        for (nth, client) in clients.iter_mut().enumerate() {
            let asked = request(&format!("i{refused}-{nth}"), 3_000);
            // Ended between two requests, or not: what has been written whole is answered.
            if client.0.get_mut().write_all(asked.as_bytes()).is_err() {
                continue;
            }
            refused += u32::from(status(client, Duration::from_millis(1)).is_some());
        }
        sleep(Duration::from_millis(5));
    }
    assert_eq!(node.program.0.try_wait().unwrap().and_then(|status| status.code()), Some(0));
}
