//! The program over loopback sockets with a discovery that answers late, badly or not at all. A runner that
//! may have been announced as leaving gets nothing new once the program counts as notified, whether it
//! received the notice or not.

mod helper;

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

use helper::*;
use socket2::Socket;

/// The first line of the request with which the program opens its first watch.
const WATCH_REQUEST: &str = "GET /v1/servers?follow=1&since=0 HTTP/1.1 ";

/// Makes the latency objective 0.2 s.
fn with_short_objective(text: String) -> String {
    text.replace("\"latencyObjective\":20000000", "\"latencyObjective\":200000")
}

/// Discovery has a long queue of requests: it answers a watch only after longer than a watch may be silent,
/// when the program has opened a second one beside it. A program that gave up its place in the queue each
/// time would never get an answer.
#[test]
fn a_watch_that_discovery_answers_late_is_kept() {
    let node = Node::new(112, |text| text);
    let runner = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut first = Connection::accept(&node.discovery);
    assert_eq!(first.receive(), WATCH_REQUEST);
    let mut second = Connection::accept(&node.discovery);
    assert_eq!(second.receive(), WATCH_REQUEST);
    first.send(WATCH_HEAD);
    list_runner(&mut first, 1, runner.local_addr().unwrap(), "up");
    assert!(second.is_closed(), "both watches were kept");
    let _client = node.send_invocation("i1");
    assert_eq!(Connection::accept(&runner).receive(), "POST /plan HTTP/1.1 i1 ");
}

/// Discovery accepts requests and never answers: any listed runner may have been announced as leaving 6 s
/// ago.
#[test]
fn a_runner_that_may_have_been_announced_as_leaving_gets_nothing_new() {
    let mut node = Node::new(113, with_short_objective);
    let runner = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut watch = accept_watch(&node.discovery);
    list_runner(&mut watch, 1, runner.local_addr().unwrap(), "up");
    let listed = Instant::now();
    let _client = node.send_invocation("i1");
    assert_eq!(Connection::accept(&runner).receive(), "POST /plan HTTP/1.1 i1 ");
    node.wait_for_log("lease state=lapsed");
    assert!(listed.elapsed() > Duration::from_millis(5900), "too soon: {:?}", listed.elapsed());
    assert!(node.send_invocation("i2").receive().starts_with("HTTP/1.1 429"));
    runner.set_nonblocking(true).unwrap();
    assert!(runner.accept().is_err(), "the runner was sent something after the lease lapsed");
    // Discovery answers the last request.
    node.discovery.set_nonblocking(true).unwrap();
    let mut connections: Vec<Connection> = Vec::new();
    while let Ok((stream, _)) = node.discovery.accept() {
        stream.set_nonblocking(false).unwrap();
        connections.push(Connection::new(stream));
    }
    let last = connections.last_mut().unwrap();
    last.send(WATCH_HEAD);
    list_runner(last, 2, runner.local_addr().unwrap(), "up");
    node.wait_for_log("lease state=renewed");
    runner.set_nonblocking(false).unwrap();
    let _client = node.send_invocation("i3");
    assert_eq!(Connection::accept(&runner).receive(), "POST /plan HTTP/1.1 i3 ");
}

/// Discovery goes down: the watch ends and every request gets a 503. No departure can be announced in that
/// state, and the program goes on with the runners that it knows.
#[test]
fn a_discovery_that_is_down_stops_no_service() {
    let node = Node::new(114, with_short_objective);
    let runner = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut watch = accept_watch(&node.discovery);
    list_runner(&mut watch, 1, runner.local_addr().unwrap(), "up");
    let _client = node.send_invocation("i1");
    assert_eq!(Connection::accept(&runner).receive(), "POST /plan HTTP/1.1 i1 ");
    drop(watch);
    let down = Instant::now();
    while down.elapsed() < Duration::from_millis(6500) {
        let mut connection = Connection::accept(&node.discovery);
        connection.receive();
        connection.send("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
        assert!(connection.is_closed(), "the program kept a connection after a 503");
    }
    let _client = node.send_invocation("i2");
    assert_eq!(Connection::accept(&runner).receive(), "POST /plan HTTP/1.1 i2 ");
}

/// Discovery goes down, and idle clients take all descriptors that the limit of the process allows, which is
/// below the limit in its configuration. When discovery is back, the program still has descriptors for its
/// watch, a runner, an admin command and a call-back.
#[test]
fn idle_clients_leave_descriptors_for_all_others() {
    let admin = free_address(118);
    let with_admin = |text: String| text.replace("\"seed\"", &format!("\"admin_addr\":\"{admin}\",\"seed\""));
    let mut node = Node::with_descriptor_limit(117, 80, with_admin);
    let runner = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut watch = accept_watch(&node.discovery);
    list_runner(&mut watch, 1, runner.local_addr().unwrap(), "up");
    let _before = node.send_invocation("i0");
    assert_eq!(Connection::accept(&runner).receive(), "POST /plan HTTP/1.1 i0 ");
    let discovery_address = node.discovery.local_addr().unwrap();
    let listen = node.listen;
    drop((std::mem::replace(&mut node.discovery, TcpListener::bind("127.0.0.1:0").unwrap()), watch));
    // Each has sent one request, and keeps its connection until the program closes it.
    let connect_idle = |_| {
        let mut client = TcpStream::connect(listen).unwrap();
        client.write_all(b"GET /healthz HTTP/1.1\r\n\r\n").unwrap();
        client
    };
    let idle: Vec<TcpStream> = (0..100).map(connect_idle).collect();
    std::thread::sleep(Duration::from_millis(500));
    let discovery = TcpListener::bind(discovery_address).unwrap();
    let mut watch = accept_watch_since(&discovery, 1);
    let new_runner = TcpListener::bind("127.0.0.1:0").unwrap();
    list_runner(&mut watch, 2, new_runner.local_addr().unwrap(), "up");
    let mut client = Connection::new(TcpStream::connect(listen).unwrap());
    client.send(&request("i1", 25_000));
    let mut forward = Connection::accept(&new_runner);
    assert_eq!(forward.receive(), "POST /plan HTTP/1.1 i1 ");
    forward.send(ACCEPTED);
    assert_eq!(admin_command(admin, "status"), "YES\n");
    call_back(listen, r#"{"id":"i1","from":"s-a","state":"done","result":"r"}"#);
    assert_eq!(client.receive(), "HTTP/1.1 200 OK r");
    drop(idle);
}

/// Discovery sends a list of 1,024 runners to one of 1,024 dispatchers, which must send invocations to all of
/// them.
#[test]
fn a_list_of_a_thousand_runners_is_used_whole() {
    const RUNNERS: usize = 1024;
    let with_large_limits = |text: String| {
        text.replace("\"sockets\":256", "\"sockets\":4096").replace("\"balancers\":1", "\"balancers\":1024")
    };
    let node = Node::new(119, with_large_limits);
    // The runners have an IP address of their own, so that the remains of a thousand connections do not
    // disturb other tests.
    let runner_ip = free_address(119).ip();
    let bind = |_| {
        let listener = TcpListener::bind((runner_ip, 0)).unwrap();
        listener.set_nonblocking(true).unwrap();
        listener
    };
    let runners: Vec<TcpListener> = (0..RUNNERS).map(bind).collect();
    let entry = |(nth, runner): (usize, &TcpListener)| {
        let address = runner.local_addr().unwrap();
        format!("{{\"instanceId\":\"s-{nth}\",\"lifecycle\":\"up\",\"weight\":1,\"hostPort\":\"{address}\"}}")
    };
    let entries: Vec<String> = runners.iter().enumerate().map(entry).collect();
    let mut watch = accept_watch(&node.discovery);
    let listed = Instant::now();
    watch.send_chunk(&format!("{{\"generation\":1,\"reset\":true,\"instances\":[{}]}}\n", entries.join(",")));
    let mut clients: Vec<Connection> = (0..32).map(|_| node.connect_client()).collect();
    let mut forwards: Vec<(usize, TcpStream)> = Vec::new();
    let mut call_backs = node.connect_client();
    let (mut reached, mut sent, mut first_forward_after) = (vec![false; RUNNERS], 0, None);
    while reached.contains(&false) {
        assert!(
            listed.elapsed() < STEP_TIMEOUT,
            "{} runners were never reached",
            reached.iter().filter(|r| !**r).count()
        );
        for client in &mut clients {
            client.send(&request(&format!("i{sent}"), 25_000));
            sent += 1;
        }
        watch.send_chunk("\n");
        let mut served = 0;
        while served < clients.len() {
            for (nth, runner) in runners.iter().enumerate() {
                while let Ok((stream, _)) = runner.accept() {
                    stream.set_nonblocking(true).unwrap();
                    forwards.push((nth, stream));
                }
            }
            for (nth, forward) in &mut forwards {
                let mut bytes = [0; 4096];
                let Ok(read) = forward.read(&mut bytes) else { continue };
                let text = String::from_utf8_lossy(&bytes[..read]);
                let Some((_, id)) = text.split_once("X-Request-Id: ") else { continue };
                let id = id.split("\r\n").next().unwrap();
                first_forward_after.get_or_insert(listed.elapsed());
                forward.write_all(ACCEPTED.as_bytes()).unwrap();
                let event =
                    format!("{{\"id\":\"{id}\",\"from\":\"s-{nth}\",\"state\":\"done\",\"result\":\"r\"}}");
                call_backs.call_back(&event);
                reached[*nth] = true;
                served += 1;
            }
        }
        clients.iter_mut().for_each(|client| assert_eq!(client.receive(), "HTTP/1.1 200 OK r"));
    }
    let status = std::fs::read_to_string(format!("/proc/{}/status", node.program.0.id())).unwrap();
    let memory = status.lines().find(|line| line.starts_with("VmRSS")).unwrap_or_default();
    println!("{sent} invocations, the first forward {first_forward_after:?} after the list, {memory}");
}

/// How a request to discovery fails.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Failure {
    DialTimeout,
    Unavailable,
    Reset,
    SilentBeforeHead,
    SilentWithinHead,
    SilentAfterLine,
    SilentWithinLine,
}

const FAILURES: [Failure; 7] = [
    Failure::DialTimeout,
    Failure::Unavailable,
    Failure::Reset,
    Failure::SilentBeforeHead,
    Failure::SilentWithinHead,
    Failure::SilentAfterLine,
    Failure::SilentWithinLine,
];

/// A discovery that fails on purpose. Its listener has the shortest possible backlog, so that dials can be
/// blocked.
struct FailingDiscovery {
    listener: TcpListener,
    /// The connections that fill the backlog.
    queued: Vec<Socket>,
    /// Connections that are left open as they are.
    left_open: Vec<Connection>,
}

impl FailingDiscovery {
    fn new() -> FailingDiscovery {
        FailingDiscovery {
            listener: listener_with_minimal_backlog().into(),
            queued: Vec::new(),
            left_open: Vec::new(),
        }
    }

    /// Fills the backlog, so that no dial completes from now on.
    fn block_dials(&mut self) {
        self.queued = fill_backlog(self.listener.local_addr().unwrap(), Duration::from_millis(30));
    }

    /// Closes the connections that fill the backlog, and every other one in it.
    fn unblock_dials(&mut self) {
        self.queued.clear();
        self.listener.set_nonblocking(true).unwrap();
        while self.listener.accept().is_ok() {}
        self.listener.set_nonblocking(false).unwrap();
    }

    /// Makes the next request fail in this way. Returns the time from which discovery works again.
    fn fail_next(&mut self, how: Failure, node: &mut Node) -> Instant {
        if how == Failure::DialTimeout {
            // The program gives up a dial to discovery after one second, so this one began that long ago.
            node.wait_for_log("reason=watch_silent");
            let dialled = Instant::now() - Duration::from_secs(1);
            self.unblock_dials();
            return dialled;
        }
        let mut connection = Connection::accept(&self.listener);
        assert!(connection.receive().starts_with("GET /v1/servers?follow=1"));
        let line = "{\"generation\":1,\"instances\":[]}\n";
        match how {
            Failure::Unavailable => {
                connection.send("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
            }
            Failure::SilentWithinHead => connection.send(&WATCH_HEAD[..20]),
            Failure::SilentAfterLine | Failure::SilentWithinLine => {
                connection.send(WATCH_HEAD);
                connection.send_chunk(line);
                if how == Failure::SilentWithinLine {
                    connection.send_chunk("{\"gener");
                }
            }
            Failure::Reset => {
                connection.reset();
                return Instant::now();
            }
            Failure::DialTimeout | Failure::SilentBeforeHead => {}
        }
        self.left_open.push(connection);
        Instant::now()
    }
}

/// Discovery fails twice, in each of 49 combinations, and then works again: the list must be in force within
/// 6 s.
#[test]
fn whatever_fails_twice_the_list_is_in_force_within_6_s() {
    let run = |octet: u8, first: Failure, second: Failure| {
        let mut discovery = FailingDiscovery::new();
        if first == Failure::DialTimeout {
            discovery.block_dials();
        }
        let address = discovery.listener.local_addr().unwrap();
        let mut node = Node::new(octet, |text| {
            let (before, rest) = text.split_once("\"discovery\":\"").unwrap();
            let (_, after) = rest.split_once('"').unwrap();
            format!("{before}\"discovery\":\"{address}\"{after}")
        });
        node.wait_for_log("serving");
        let _waiting = node.send_invocation("i1");
        discovery.fail_next(first, &mut node);
        if second == Failure::DialTimeout {
            discovery.block_dials();
        }
        let recovered = discovery.fail_next(second, &mut node);
        let mut connection = Connection::accept(&discovery.listener);
        connection.receive();
        let runner = TcpListener::bind("127.0.0.1:0").unwrap();
        connection.send(WATCH_HEAD);
        list_runner(&mut connection, 2, runner.local_addr().unwrap(), "up");
        node.wait_for_log("watch-up generation=2");
        let took = recovered.elapsed();
        // The list is in force: the waiting invocation goes to the runner at its next attempt to find one.
        assert_eq!(Connection::accept(&runner).receive(), "POST /plan HTTP/1.1 i1 ");
        (took, first, second)
    };
    let pairs = FAILURES.iter().flat_map(|first| FAILURES.iter().map(move |second| (*first, *second)));
    std::thread::scope(|scope| {
        let runs: Vec<_> = pairs
            .zip(130..)
            .map(|((first, second), octet)| scope.spawn(move || run(octet, first, second)))
            .collect();
        for finished in runs {
            let (took, first, second) = finished.join().unwrap();
            // This leaves 1.5 s of the 6 s for the answer of discovery.
            assert!(took < Duration::from_millis(4500), "in force {took:?} after {first:?} and {second:?}");
        }
    });
}
