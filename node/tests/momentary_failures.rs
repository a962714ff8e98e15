//! The program over loopback sockets while its own system calls fail temporarily with errors that Linux
//! documents.

mod helper;

use std::fs::File;
use std::io::{BufRead, Read, Write};
use std::net::TcpListener;
use std::thread::sleep;
use std::time::{Duration, Instant};

use helper::*;
use topazsail_faults::{Call, ClockStep, Effect, Endpoint, Errno, Plan, Rule};

/// How much the deadline in a forward may exceed the time that the client still waits.
const DEADLINE_SLACK: Duration = Duration::from_millis(150);
/// The time within which a request is answered if nothing delays it.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);

/// A rule by which every such call fails, between these milliseconds after the start of the program.
fn failing_rule(call: Call, errno: &str, span: std::ops::Range<u64>) -> Rule {
    let effect = Effect::Errno(Errno::named(errno).unwrap());
    Rule { call, endpoint: Endpoint::Any, effect, rate: 1.0, from_ms: span.start, until_ms: span.end }
}

fn plan(rules: impl Into<Vec<Rule>>) -> Plan {
    Plan { seed: 1, rules: rules.into(), clock_steps: Vec::new() }
}

/// Sleeps until this many milliseconds after the start of the program.
fn sleep_until(node: &Node, ms: u64) {
    sleep((node.started + Duration::from_millis(ms)).saturating_duration_since(Instant::now()));
}

/// Reads the status of the next answer, or `None` if the connection ends or nothing arrives within the
/// timeout.
fn read_status(client: &mut Connection, timeout: Duration) -> Option<u16> {
    client.0.get_ref().set_read_timeout(Some(timeout)).unwrap();
    let mut line = String::new();
    client.0.read_line(&mut line).ok()?;
    line.split(' ').nth(1)?.parse().ok()
}

/// Reads the head of the next message.
fn read_head(connection: &mut Connection) -> String {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        assert!(connection.0.read_line(&mut head).unwrap() > 0, "connection ended after {head:?}");
    }
    head
}

/// Waits for the first connection, old or new, that has something to read. Accepts new ones into
/// `connections`.
fn readable_connection<'a>(runner: &TcpListener, connections: &'a mut Vec<Connection>) -> &'a mut Connection {
    let deadline = Instant::now() + STEP_TIMEOUT;
    runner.set_nonblocking(true).unwrap();
    loop {
        assert!(Instant::now() < deadline, "no connection to the runner has anything to read");
        if let Ok((stream, _)) = runner.accept() {
            stream.set_nonblocking(false).unwrap();
            connections.push(Connection::new(stream));
        }
        let is_readable = |connection: &mut Connection| {
            connection.0.get_ref().set_read_timeout(Some(Duration::from_millis(1))).unwrap();
            let is_readable = connection.0.fill_buf().is_ok_and(|bytes| !bytes.is_empty());
            connection.0.get_ref().set_read_timeout(Some(STEP_TIMEOUT)).unwrap();
            is_readable
        };
        if let Some(index) = connections.iter_mut().position(is_readable) {
            return &mut connections[index];
        }
    }
}

/// The value of `X-Deadline-Ms` in the head of a forward.
fn forwarded_deadline(head: &str) -> Duration {
    let value = head.lines().find_map(|line| line.strip_prefix("X-Deadline-Ms: ")).unwrap();
    Duration::from_millis(value.parse().unwrap())
}

/// Checks that the deadline in the head of a forward is not after the client's.
fn check_forwarded_deadline(head: &str, client_deadline: Instant) {
    let forwarded = forwarded_deadline(head);
    let left = client_deadline.saturating_duration_since(Instant::now());
    assert!(forwarded <= left + DEADLINE_SLACK, "forwarded a deadline of {forwarded:?} with {left:?} left");
}

/// Makes discovery list one runner; returns its listener and the watch.
fn list_one_runner(node: &Node) -> (TcpListener, Connection) {
    let runner = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut watch = accept_watch(&node.discovery);
    list_runner(&mut watch, 1, runner.local_addr().unwrap(), "up");
    (runner, watch)
}

/// Accepts the forward and reports the invocation done as its runner; returns whether the client is answered
/// with 200.
fn is_served(node: &Node, id: &str, forward: &mut Connection, client: &mut Connection) -> bool {
    forward.send(ACCEPTED);
    call_back(node.listen, &format!(r#"{{"id":"{id}","from":"s-a","state":"done","result":"r"}}"#));
    read_status(client, ANSWER_TIMEOUT) == Some(200)
}

/// Sends a request with a deadline of three seconds during the fault; returns the head of its forward and the
/// time of the client's deadline.
fn forward_during_fault(node: &Node, runner: &TcpListener) -> (String, Instant) {
    sleep_until(node, 1_050);
    let client_deadline = Instant::now() + Duration::from_secs(3);
    let mut client = node.connect_client();
    client.send(&request("waited", 3_000));
    // The program may have given up earlier connections without sending a request on them.
    (read_head(readable_connection(runner, &mut Vec::new())), client_deadline)
}

/// Opens connections with an unanswered request on each, so that the program may not close any of them to
/// make room.
fn connect_busy_clients(node: &Node, count: usize) -> Vec<Connection> {
    (0..count).map(|nth| node.send_invocation(&format!("busy{nth}"))).collect()
}

/// Sends a readiness check on a new connection and returns the status of the answer.
fn health_status(node: &Node) -> Option<u16> {
    let mut client = node.connect_client();
    client.send("GET /healthz HTTP/1.1\r\n\r\n");
    read_status(&mut client, ANSWER_TIMEOUT)
}

/// Guards against a listener or a dial that is not retried after the host has failed the call for a moment.
#[test]
fn accept_failing_once_does_not_stop_new_connections_for_good() {
    for (octet, call, errno) in
        [(201, Call::Accept, "ENFILE"), (202, Call::Accept, "ENOBUFS"), (203, Call::Socket, "EMFILE")]
    {
        let node = Node::with_faults(octet, &plan([failing_rule(call, errno, 1_000..1_200)]), |text| text);
        let _listed = list_one_runner(&node);
        let _busy = connect_busy_clients(&node, 20);
        sleep_until(&node, 1_050);
        // This needs a new connection to the runner as well as one to be accepted.
        let _during = node.send_invocation("during");
        sleep_until(&node, 1_500);
        let answers: Vec<Option<u16>> = (0..4).map(|_| health_status(&node)).collect();
        assert_eq!(answers, [Some(200); 4], "{errno} from {call:?}");
    }
}

/// Guards against losing connections that wait in the accept queue at the shutdown because the process
/// already has as many as its limit allows.
#[test]
fn a_request_on_a_queued_connection_is_answered_before_the_process_ends() {
    let mut node = Node::new(204, |text| text.replace("\"sockets\":256", "\"sockets\":64"));
    let _listed = list_one_runner(&node);
    let _busy = connect_busy_clients(&node, 60);
    node.wait_for_log("accept-paused");
    send_signal(&node.program, "TERM");
    node.wait_for_log("going-down");
    let mut queued: Vec<Connection> =
        (0..5).map(|nth| node.send_invocation(&format!("queued{nth}"))).collect();
    let answers: Vec<Option<u16>> =
        queued.iter_mut().map(|client| read_status(client, STEP_TIMEOUT)).collect();
    assert_eq!(answers.iter().filter(|status| status.is_some()).count(), 5, "{answers:?}");
}

/// The same while accepting itself fails.
#[test]
fn a_request_queued_while_accept_fails_is_answered_before_the_process_ends() {
    let mut node =
        Node::with_faults(221, &plan([failing_rule(Call::Accept, "ENFILE", 1_000..4_500)]), |text| text);
    let _watch = accept_watch(&node.discovery);
    let _busy = connect_busy_clients(&node, 3);
    sleep_until(&node, 1_100);
    send_signal(&node.program, "TERM");
    node.wait_for_log("going-down");
    let mut queued: Vec<Connection> =
        (0..5).map(|nth| node.send_invocation(&format!("queued{nth}"))).collect();
    let answers: Vec<Option<u16>> =
        queued.iter_mut().map(|client| read_status(client, STEP_TIMEOUT)).collect();
    assert_eq!(answers, [Some(503); 5]);
}

/// Like the three tests after it, guards against a job that is started for a client that no longer waits,
/// because the runner was sent the client's deadline without the time already passed.
#[test]
fn the_forwarded_deadline_deducts_the_wait_before_accept() {
    let node =
        Node::with_faults(205, &plan([failing_rule(Call::Accept, "ENFILE", 1_000..1_600)]), |text| text);
    let (runner, _watch) = list_one_runner(&node);
    let (head, client_deadline) = forward_during_fault(&node, &runner);
    check_forwarded_deadline(&head, client_deadline);
}

#[test]
fn the_forwarded_deadline_deducts_the_time_in_which_nothing_can_be_read() {
    let mut node =
        Node::with_faults(223, &plan([failing_rule(Call::Receive, "ENOMEM", 1_000..1_600)]), |text| text);
    let (runner, _watch) = list_one_runner(&node);
    node.wait_for_log("watch-up");
    let (head, client_deadline) = forward_during_fault(&node, &runner);
    check_forwarded_deadline(&head, client_deadline);
}

#[test]
fn the_forwarded_deadline_deducts_the_time_in_which_writes_are_interrupted() {
    let interrupted = Rule { endpoint: Endpoint::Dialled, ..failing_rule(Call::Send, "EINTR", 1_000..1_600) };
    let mut node = Node::with_faults(224, &plan([interrupted]), |text| text);
    let (runner, _watch) = list_one_runner(&node);
    node.wait_for_log("watch-up");
    let (head, client_deadline) = forward_during_fault(&node, &runner);
    check_forwarded_deadline(&head, client_deadline);
}

#[test]
fn the_forwarded_deadline_deducts_the_wait_behind_an_earlier_request() {
    let node = Node::new(206, |text| text);
    let (runner, _watch) = list_one_runner(&node);
    let mut client = node.connect_client();
    client.send(&(request("first", 20_000) + &request("second", 3_000)));
    let client_deadline = Instant::now() + Duration::from_secs(3);
    let mut forward = Connection::accept(&runner);
    read_head(&mut forward);
    forward.send(ACCEPTED);
    sleep(Duration::from_millis(600));
    call_back(node.listen, r#"{"id":"first","from":"s-a","state":"done","result":"r"}"#);
    check_forwarded_deadline(&read_head(&mut forward), client_deadline);
}

/// For one second, 98 % of the sends to the runner fail and the others transfer one byte.
#[test]
fn a_forward_that_is_sent_too_slowly_does_not_carry_an_old_deadline() {
    let slow = |call| Rule {
        rate: 0.98,
        endpoint: Endpoint::Dialled,
        ..failing_rule(call, "ENOBUFS", 1_000..2_000)
    };
    let short = Rule { effect: Effect::Short, rate: 1.0, ..slow(Call::Send) };
    let mut node = Node::with_faults(220, &plan([slow(Call::Send), short]), |text| text);
    let (runner, _watch) = list_one_runner(&node);
    node.wait_for_log("watch-up");
    sleep_until(&node, 1_050);
    let client_deadline = Instant::now() + Duration::from_secs(6);
    let mut client = node.connect_client();
    let body = "x".repeat(60_000);
    client.send(&format!("POST /plan HTTP/1.1\r\nX-Request-Id: i1\r\nX-Deadline-Ms: 6000\r\nContent-Length: 60000\r\n\r\n{body}"));
    let mut connections = Vec::new();
    loop {
        let forward = readable_connection(&runner, &mut connections);
        // A forward that is cut off does not run, and the program sends it again.
        let mut message = Vec::new();
        while !message.ends_with(body.as_bytes())
            && forward.0.read_until(b'x', &mut message).is_ok_and(|read| read > 0)
        {}
        if message.ends_with(body.as_bytes()) {
            return check_forwarded_deadline(&String::from_utf8_lossy(&message), client_deadline);
        }
        connections.retain_mut(|connection| !connection.is_closed());
    }
}

#[test]
fn a_log_that_cannot_be_written_does_not_stop_the_program() {
    let full_log = |command: &mut std::process::Command| {
        command.stderr(File::options().write(true).open("/dev/full").unwrap());
    };
    let mut node = Node::spawn(207, "", full_log, |text| text);
    let (runner, _watch) = list_one_runner(&node);
    let mut client = node.send_invocation("i1");
    let mut forward = Connection::accept(&runner);
    read_head(&mut forward);
    assert!(is_served(&node, "i1", &mut forward, &mut client));
    assert_eq!(node.program.0.try_wait().unwrap(), None, "the program has ended");
}

#[test]
fn new_settings_are_read_again_when_their_file_cannot_be_opened_for_a_moment() {
    let mut node =
        Node::with_faults(208, &plan([failing_rule(Call::Open, "ENFILE", 1_000..1_400)]), |text| text);
    let _watch = accept_watch(&node.discovery);
    let new_discovery = TcpListener::bind("127.0.0.1:0").unwrap();
    let text = std::fs::read_to_string(&node.configuration_path).unwrap();
    let old_address = node.discovery.local_addr().unwrap().to_string();
    std::fs::write(
        &node.configuration_path,
        text.replace(&old_address, &new_discovery.local_addr().unwrap().to_string()),
    )
    .unwrap();
    sleep_until(&node, 1_100);
    send_signal(&node.program, "HUP");
    node.wait_for_log("reloaded");
    assert!(Connection::accept(&new_discovery).receive().starts_with("GET /v1/servers"));
}

#[test]
fn a_start_tries_again_what_fails_for_a_moment() {
    for (octet, call, errno) in [
        (209, Call::Socket, "ENOBUFS"),
        (210, Call::Open, "ENFILE"),
        (211, Call::Connect, "EADDRNOTAVAIL"),
        (212, Call::Accept, "ECONNABORTED"),
    ] {
        let node = Node::with_faults(octet, &plan([failing_rule(call, errno, 0..500)]), |text| text);
        let (runner, _watch) = list_one_runner(&node);
        let mut client = node.send_invocation("i1");
        let mut forward = Connection::accept(&runner);
        read_head(&mut forward);
        assert!(is_served(&node, "i1", &mut forward, &mut client), "{errno} from {call:?}");
    }
}

#[test]
fn a_connection_that_cannot_be_made_for_a_moment_does_not_count_against_the_runner() {
    for (octet, call, errno) in [
        (213, Call::Socket, "ENOBUFS"),
        (214, Call::Connect, "EADDRNOTAVAIL"),
        (215, Call::Connect, "ENETUNREACH"),
        (216, Call::Connect, "EINTR"),
    ] {
        let node = Node::with_faults(octet, &plan([failing_rule(call, errno, 1_000..1_300)]), |text| text);
        let (runner, _watch) = list_one_runner(&node);
        sleep_until(&node, 1_050);
        let mut client = node.send_invocation("i1");
        let mut forward = Connection::accept(&runner);
        read_head(&mut forward);
        let forwarded_after = node.started.elapsed();
        // The dial succeeds as soon as the fault is over. An ejected runner would have been tried only after
        // its pause.
        assert!(forwarded_after < Duration::from_millis(1_500), "{errno} from {call:?}: {forwarded_after:?}");
        assert!(is_served(&node, "i1", &mut forward, &mut client), "{errno} from {call:?}");
    }
}

/// The timeout of a dial also runs while errors of this host keep the dial from starting: of one to a runner,
/// and of one to discovery, which has its own timeout.
#[test]
fn a_dial_that_this_host_keeps_from_beginning_times_out() {
    let short_dial_timeout =
        |text: String| text.replace("\"dialTimeout\":20000000", "\"dialTimeout\":300000");
    let mut node = Node::with_faults(
        225,
        &plan([failing_rule(Call::Connect, "EADDRNOTAVAIL", 1_000..4_000)]),
        short_dial_timeout,
    );
    let (_runner, watch) = list_one_runner(&node);
    node.wait_for_log("watch-up");
    sleep_until(&node, 1_050);
    let _client = node.send_invocation("i1");
    node.wait_for_log("ending=void");
    drop(watch);
    node.wait_for_log("reason=not_dialled");
    assert!(node.started.elapsed() < Duration::from_millis(3_900), "given up only after dials worked again");
}

#[test]
fn transfers_that_are_short_interrupted_or_refused_for_a_moment_lose_nothing() {
    let short = |call| Rule { effect: Effect::Short, rate: 0.7, ..failing_rule(call, "EINTR", 0..u64::MAX) };
    let partly_failing = |call, errno| Rule { rate: 0.2, ..failing_rule(call, errno, 0..u64::MAX) };
    let rules = [Call::Receive, Call::Send].iter().flat_map(|call| {
        [
            partly_failing(*call, "EINTR"),
            partly_failing(*call, "ENOBUFS"),
            partly_failing(*call, "ENOMEM"),
            short(*call),
        ]
    });
    let mut node = Node::with_faults(217, &plan(rules.collect::<Vec<Rule>>()), |text| text);
    let (runner, _watch) = list_one_runner(&node);
    node.wait_for_log("watch-up");
    let mut connections = Vec::new();
    for nth in 0..20 {
        let id = format!("i{nth}");
        let mut client = node.send_invocation(&id);
        let forward = readable_connection(&runner, &mut connections);
        assert!(read_head(forward).contains(&format!("X-Request-Id: {id}\r\n")));
        assert!(is_served(&node, &id, forward, &mut client), "{id}");
    }
}

#[test]
fn steps_of_the_wall_clock_move_no_deadline() {
    let steps = [(900, 3_600_000), (1_300, -7_200_000), (1_700, 1_000)];
    let clock_steps = steps.map(|(at_ms, by_ms)| ClockStep { at_ms, by_ms }).to_vec();
    let node = Node::with_faults(218, &Plan { clock_steps, ..plan([]) }, |text| text);
    let _watch = accept_watch(&node.discovery);
    sleep_until(&node, 800);
    // No runner is listed, so the invocation waits until its deadline.
    let mut client = node.connect_client();
    client.send(&request("i1", 1_500));
    let sent = Instant::now();
    assert!(read_status(&mut client, STEP_TIMEOUT).is_some());
    let elapsed = sent.elapsed();
    assert!(elapsed < Duration::from_millis(1_550), "answered only after {elapsed:?}");
    let mut rest = Vec::new();
    client.0.get_ref().set_read_timeout(Some(Duration::from_millis(200))).unwrap();
    let _ = client.0.read_to_end(&mut rest);
    assert_eq!(String::from_utf8_lossy(&rest).matches("HTTP/1.1").count(), 0, "answered twice");
}

/// Guards against a signal that is lost because its handler cannot wake the event loop.
#[test]
fn a_signal_is_handled_although_its_pipe_cannot_be_written_for_a_moment() {
    let mut node =
        Node::with_faults(222, &plan([failing_rule(Call::Send, "ENOBUFS", 1_000..1_300)]), |text| text);
    let _watch = accept_watch(&node.discovery);
    node.wait_for_log("serving");
    sleep_until(&node, 1_100);
    send_signal(&node.program, "HUP");
    node.wait_for_log("reloaded");
    send_signal(&node.program, "TERM");
    node.wait_for_log("going-down");
}

/// Guards against a shutdown that repeated signals cut short or keep from ending.
#[test]
fn signals_in_series_lose_nothing_at_the_end() {
    let mut node = Node::new(219, |text| text);
    let _watch = accept_watch(&node.discovery);
    let mut clients: Vec<Connection> = (0..10).map(|_| node.connect_client()).collect();
    send_signal(&node.program, "TERM");
    node.wait_for_log("going-down");
    let going_down = Instant::now();
    let mut answered = 0;
    while going_down.elapsed() < Duration::from_millis(3_700) {
        for name in ["XFSZ", "HUP", "TERM"] {
            let _ = std::process::Command::new("sh")
                .arg("-c")
                .arg(format!("kill -{name} {} 2>&-", node.program.0.id()))
                .status();
        }
        for (nth, client) in clients.iter_mut().enumerate() {
            let request = request(&format!("i{answered}-{nth}"), 3_000);
            // The write fails if the program has closed the connection between two requests. A request that
            // was written whole is answered.
            if client.0.get_mut().write_all(request.as_bytes()).is_err() {
                continue;
            }
            answered += u32::from(read_status(client, Duration::from_millis(1)).is_some());
        }
        sleep(Duration::from_millis(5));
    }
    assert_eq!(
        node.program.0.try_wait().unwrap().and_then(|status| status.code()),
        Some(0),
        "the program is still running or has failed"
    );
}
