//! The program over loopback sockets, and a discovery that keeps it waiting: what has been announced as leaving gets
//! nothing new once that counts as told, heard or not.

mod helper;

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

use helper::*;
use socket2::Socket;

const CALL: &str = "GET /v1/servers?follow=1&since=0 HTTP/1.1 ";

fn brief(text: String) -> String {
    text.replace("\"latencyObjective\":20000000", "\"latencyObjective\":200000")
}

/// Discovery has many callers: a call is answered after longer than a watch may be silent, and long enough for another
/// one to be made beside it. Against whoever gives its turn up, and is never heard.
#[test]
fn a_call_that_waits_its_turn_is_heard_when_it_comes() {
    let node = Node::new(112, |text| text);
    let runner = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut first = Connection::accept(&node.discovery);
    assert_eq!(first.receive(), CALL);
    let mut second = Connection::accept(&node.discovery);
    assert_eq!(second.receive(), CALL);
    first.send(WATCH_HEAD);
    list_runner(&mut first, 1, runner.local_addr().unwrap(), "up");
    assert!(second.is_closed(), "both were kept");
    let _client = node.send_invocation("i1");
    assert_eq!(Connection::accept(&runner).receive(), "POST /plan HTTP/1.1 i1 ");
}

/// Discovery takes its calls and never answers: whoever is listed may have been announced as leaving 6 s ago.
#[test]
fn what_may_have_been_announced_as_leaving_gets_nothing_new() {
    let mut node = Node::new(113, brief);
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
    assert!(runner.accept().is_err(), "it was sent something all the same");
    // The last of the calls is answered.
    node.discovery.set_nonblocking(true).unwrap();
    let mut calls: Vec<Connection> = Vec::new();
    while let Ok((stream, _)) = node.discovery.accept() {
        stream.set_nonblocking(false).unwrap();
        calls.push(Connection::new(stream));
    }
    let last = calls.last_mut().unwrap();
    last.send(WATCH_HEAD);
    list_runner(last, 2, runner.local_addr().unwrap(), "up");
    node.wait_for_log("lease state=renewed");
    runner.set_nonblocking(false).unwrap();
    let _client = node.send_invocation("i3");
    assert_eq!(Connection::accept(&runner).receive(), "POST /plan HTTP/1.1 i3 ");
}

/// Discovery goes down: its watch ends and it turns every call away. Nothing can be told, and service goes on.
#[test]
fn a_discovery_that_is_down_stops_no_service() {
    let node = Node::new(114, brief);
    let runner = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut watch = accept_watch(&node.discovery);
    list_runner(&mut watch, 1, runner.local_addr().unwrap(), "up");
    let _client = node.send_invocation("i1");
    assert_eq!(Connection::accept(&runner).receive(), "POST /plan HTTP/1.1 i1 ");
    drop(watch);
    let down = Instant::now();
    while down.elapsed() < Duration::from_millis(6500) {
        let mut call = Connection::accept(&node.discovery);
        call.receive();
        call.send("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
        assert!(call.is_closed());
    }
    let _client = node.send_invocation("i2");
    assert_eq!(Connection::accept(&runner).receive(), "POST /plan HTTP/1.1 i2 ");
}

/// Discovery goes down, and idle clients take all descriptors that the process was started with, fewer than its
/// configuration says. When it is back it is heard, and a runner, an operator and a call-back get theirs.
#[test]
fn idle_clients_leave_descriptors_for_all_others() {
    let admin = free_address(118);
    let operated = |text: String| text.replace("\"seed\"", &format!("\"admin_addr\":\"{admin}\",\"seed\""));
    let mut node = Node::with_descriptor_limit(117, 80, operated);
    let runner = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut watch = accept_watch(&node.discovery);
    list_runner(&mut watch, 1, runner.local_addr().unwrap(), "up");
    let _before = node.send_invocation("i0");
    assert_eq!(Connection::accept(&runner).receive(), "POST /plan HTTP/1.1 i0 ");
    let at = node.discovery.local_addr().unwrap();
    let listen = node.listen;
    drop((std::mem::replace(&mut node.discovery, TcpListener::bind("127.0.0.1:0").unwrap()), watch));
    // Each has asked once, and keeps its connection for as long as it may.
    let asks_once = |_| {
        let mut client = TcpStream::connect(listen).unwrap();
        client.write_all(b"GET /healthz HTTP/1.1\r\n\r\n").unwrap();
        client
    };
    let idle: Vec<TcpStream> = (0..100).map(asks_once).collect();
    std::thread::sleep(Duration::from_millis(500));
    let discovery = TcpListener::bind(at).unwrap();
    let mut watch = accept_watch_since(&discovery, 1);
    let moved = TcpListener::bind("127.0.0.1:0").unwrap();
    list_runner(&mut watch, 2, moved.local_addr().unwrap(), "up");
    let mut client = Connection::new(TcpStream::connect(listen).unwrap());
    client.send(&request("i1", 25_000));
    let mut forward = Connection::accept(&moved);
    assert_eq!(forward.receive(), "POST /plan HTTP/1.1 i1 ");
    forward.send(ACCEPTED);
    assert_eq!(admin_command(admin, "status"), "YES\n");
    call_back(listen, r#"{"id":"i1","from":"s-a","state":"done","result":"r"}"#);
    assert_eq!(client.receive(), "HTTP/1.1 200 OK r");
    drop(idle);
}

/// A list of 1,024 runners, told to one of 1,024 dispatchers: all are reached.
#[test]
fn a_list_of_a_thousand_runners_is_used_whole() {
    const RUNNERS: usize = 1024;
    let large = |text: String| {
        text.replace("\"sockets\":256", "\"sockets\":4096").replace("\"balancers\":1", "\"balancers\":1024")
    };
    let node = Node::new(119, large);
    // At an address of their own: what is left of a thousand connections is in no other test's way.
    let at = free_address(119).ip();
    let bind = |_| {
        let listener = TcpListener::bind((at, 0)).unwrap();
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
    let told = Instant::now();
    watch.send_chunk(&format!("{{\"generation\":1,\"reset\":true,\"instances\":[{}]}}\n", entries.join(",")));
    let mut clients: Vec<Connection> = (0..32).map(|_| node.connect_client()).collect();
    let mut lines: Vec<(usize, TcpStream)> = Vec::new();
    let mut tells = node.connect_client();
    let (mut reached, mut asked, mut listed_in) = (vec![false; RUNNERS], 0, None);
    while reached.contains(&false) {
        assert!(
            told.elapsed() < STEP_TIMEOUT,
            "{} were never reached",
            reached.iter().filter(|r| !**r).count()
        );
        for client in &mut clients {
            client.send(&request(&format!("i{asked}"), 25_000));
            asked += 1;
        }
        watch.send_chunk("\n");
        let mut served = 0;
        while served < clients.len() {
            for (nth, runner) in runners.iter().enumerate() {
                while let Ok((stream, _)) = runner.accept() {
                    stream.set_nonblocking(true).unwrap();
                    lines.push((nth, stream));
                }
            }
            for (nth, line) in &mut lines {
                let mut bytes = [0; 4096];
                let Ok(read) = line.read(&mut bytes) else { continue };
                let text = String::from_utf8_lossy(&bytes[..read]);
                let Some((_, id)) = text.split_once("X-Request-Id: ") else { continue };
                let id = id.split("\r\n").next().unwrap();
                listed_in.get_or_insert(told.elapsed());
                line.write_all(ACCEPTED.as_bytes()).unwrap();
                let told =
                    format!("{{\"id\":\"{id}\",\"from\":\"s-{nth}\",\"state\":\"done\",\"result\":\"r\"}}");
                tells.call_back(&told);
                reached[*nth] = true;
                served += 1;
            }
        }
        clients.iter_mut().for_each(|client| assert_eq!(client.receive(), "HTTP/1.1 200 OK r"));
    }
    let status = std::fs::read_to_string(format!("/proc/{}/status", node.program.0.id())).unwrap();
    let memory = status.lines().find(|line| line.starts_with("VmRSS")).unwrap_or_default();
    println!("{asked} asked, the first forward {listed_in:?} after the list, {memory}");
}

/// What becomes of a call to discovery.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fails {
    NeverUp,
    Unavailable,
    Reset,
    SilentBeforeHead,
    SilentWithinHead,
    SilentAfterLine,
    SilentWithinLine,
}

const FAILS: [Fails; 7] = [
    Fails::NeverUp,
    Fails::Unavailable,
    Fails::Reset,
    Fails::SilentBeforeHead,
    Fails::SilentWithinHead,
    Fails::SilentAfterLine,
    Fails::SilentWithinLine,
];

/// A discovery that fails on purpose: its queue of connections holds one, so that it can be full.
struct Failing {
    listener: TcpListener,
    fills: Vec<Socket>,
    /// Calls that are left as they are.
    held: Vec<Connection>,
}

impl Failing {
    fn new() -> Failing {
        Failing { listener: listener_with_minimal_backlog().into(), fills: Vec::new(), held: Vec::new() }
    }

    /// From now on no dial comes up.
    fn fill(&mut self) {
        self.fills = fill_backlog(self.listener.local_addr().unwrap(), Duration::from_millis(30));
    }

    fn drain(&mut self) {
        self.fills.clear();
        self.listener.set_nonblocking(true).unwrap();
        while self.listener.accept().is_ok() {}
        self.listener.set_nonblocking(false).unwrap();
    }

    /// Does this to the next call. Gives the moment from which on discovery is well.
    fn fails(&mut self, how: Fails, node: &mut Node) -> Instant {
        if how == Fails::NeverUp {
            // It dialled a second before it gave that up.
            node.wait_for_log("reason=watch_silent");
            let dialled = Instant::now() - Duration::from_secs(1);
            self.drain();
            return dialled;
        }
        let mut call = Connection::accept(&self.listener);
        assert!(call.receive().starts_with("GET /v1/servers?follow=1"));
        let line = "{\"generation\":1,\"instances\":[]}\n";
        match how {
            Fails::Unavailable => call.send("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"),
            Fails::SilentWithinHead => call.send(&WATCH_HEAD[..20]),
            Fails::SilentAfterLine | Fails::SilentWithinLine => {
                call.send(WATCH_HEAD);
                call.send_chunk(line);
                if how == Fails::SilentWithinLine {
                    call.send_chunk("{\"gener");
                }
            }
            Fails::Reset => {
                call.reset();
                return Instant::now();
            }
            Fails::NeverUp | Fails::SilentBeforeHead => {}
        }
        self.held.push(call);
        Instant::now()
    }
}

/// Discovery fails twice, in each of 49 ways, and is well again: the list is in force within 6 s.
#[test]
fn whatever_fails_twice_the_list_is_in_force_within_6_s() {
    let play = |octet: u8, first: Fails, then: Fails| {
        let mut discovery = Failing::new();
        if first == Fails::NeverUp {
            discovery.fill();
        }
        let at = discovery.listener.local_addr().unwrap();
        let mut node = Node::new(octet, |text| {
            let (before, rest) = text.split_once("\"discovery\":\"").unwrap();
            let (_, after) = rest.split_once('"').unwrap();
            format!("{before}\"discovery\":\"{at}\"{after}")
        });
        node.wait_for_log("serving");
        let _waits = node.send_invocation("i1");
        discovery.fails(first, &mut node);
        if then == Fails::NeverUp {
            discovery.fill();
        }
        let well = discovery.fails(then, &mut node);
        let mut call = Connection::accept(&discovery.listener);
        call.receive();
        let runner = TcpListener::bind("127.0.0.1:0").unwrap();
        call.send(WATCH_HEAD);
        list_runner(&mut call, 2, runner.local_addr().unwrap(), "up");
        node.wait_for_log("watch-up generation=2");
        let took = well.elapsed();
        // In force: what waits goes there, once it looks for a runner again.
        assert_eq!(Connection::accept(&runner).receive(), "POST /plan HTTP/1.1 i1 ");
        (took, first, then)
    };
    let pairs = FAILS.iter().flat_map(|first| FAILS.iter().map(move |then| (*first, *then)));
    std::thread::scope(|scope| {
        let plays: Vec<_> = pairs
            .zip(130..)
            .map(|((first, then), octet)| scope.spawn(move || play(octet, first, then)))
            .collect();
        for played in plays {
            let (took, first, then) = played.join().unwrap();
            // A second and a half is left for the answer.
            assert!(took < Duration::from_millis(4500), "{first:?}, {then:?}: {took:?}");
        }
    });
}
