//! One client that sends on one connection as fast as it can, over loopback sockets: usual clients beside it are
//! served as fast as without it, and the process holds no more memory the longer it lasts.

mod helper;
mod limited_node;

use std::env;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use helper::*;
use limited_node::*;

/// How long a flood lasts, unless [`FLOOD_SECONDS`] is set.
const FLOOD_SPAN: Duration = Duration::from_secs(2);
/// The environment variable for long floods that are started by hand, in seconds.
const FLOOD_SECONDS: &str = "FLOOD_SECONDS";
/// Usual requests are measured for so long before and after a flood.
const QUIET_SPAN: Duration = Duration::from_millis(500);
/// From one usual request to the next.
const USUAL_INTERVAL: Duration = Duration::from_millis(20);
/// Of usual requests, nine in ten have to be answered this fast beside a flood.
const USUAL_LATENCY: Duration = Duration::from_millis(50);
/// Before each connection: closed ones keep their ports for a minute, and other tests need some.
const RECONNECT_PAUSE: Duration = Duration::from_millis(2);
/// Bytes that are written at once.
const BURST_BYTES: usize = 32 << 10;
/// Bursts that are written before the first of them is answered: what a connection holds of input.
const MAX_UNANSWERED_BURSTS: usize = 2;

/// Counts the answers that arrive on a stream until it ends.
fn count_answers(mut stream: TcpStream, answers: &AtomicUsize) {
    let (mut buffer, mut tail) = (vec![0; 64 << 10], Vec::new());
    while let Ok(read) = stream.read(&mut buffer)
        && read > 0
    {
        tail.extend_from_slice(&buffer[..read]);
        let count = tail.windows(ANSWER_START.len()).filter(|window| window == &ANSWER_START).count();
        answers.fetch_add(count, Ordering::Relaxed);
        let kept = tail.len().min(ANSWER_START.len() - 1);
        tail.drain(..tail.len() - kept);
    }
    answers.store(usize::MAX, Ordering::Relaxed);
}

/// A request that the program answers itself.
const HEALTH_CHECK: &str = "GET /healthz HTTP/1.1\r\n\r\n";
/// The first bytes of an answer.
const ANSWER_START: &[u8] = b"HTTP/1.1 ";

/// How long a flood lasts.
fn flood_span() -> Duration {
    let seconds = env::var(FLOOD_SECONDS).ok().and_then(|seconds| seconds.parse().ok());
    seconds.map_or(FLOOD_SPAN, Duration::from_secs)
}

/// Sends what `request` says for each number on one connection, as fast as it is answered, until the flood is
/// over. Opens another one if the connection is closed. Returns how many requests were written.
fn flood(address: SocketAddr, request: impl Fn(usize) -> String) -> usize {
    let (until, mut number, burst) = (Instant::now() + flood_span(), 0, BURST_BYTES / request(1_000).len());
    while Instant::now() < until {
        thread::sleep(RECONNECT_PAUSE);
        let Ok(mut stream) = TcpStream::connect(address) else { continue };
        let answers = AtomicUsize::new(0);
        let reader = stream.try_clone().unwrap();
        thread::scope(|scope| {
            scope.spawn(|| count_answers(reader, &answers));
            let first = number;
            while Instant::now() < until {
                let answered = answers.load(Ordering::Relaxed);
                if answered == usize::MAX {
                    break;
                }
                if number - first >= answered + MAX_UNANSWERED_BURSTS * burst {
                    thread::yield_now();
                    continue;
                }
                let text: String = (number..number + burst).map(&request).collect();
                if stream.write_all(text.as_bytes()).is_err() {
                    break;
                }
                number += burst;
            }
            let _ = stream.shutdown(Shutdown::Both);
        });
    }
    number
}

impl LimitedNode {
    /// Measures usual requests before, during and after a flood.
    fn assert_serves_beside_flood(
        &self,
        address: SocketAddr,
        request: impl Fn(usize) -> String + Send + 'static,
    ) {
        let quiet = |node: &LimitedNode, prefix: &str| {
            let until = Instant::now() + QUIET_SPAN;
            node.measure_usual(prefix, USUAL_INTERVAL, || Instant::now() < until)
        };
        let before = quiet(self, "before");
        let peak_before = self.peak_kib();
        let flooding = thread::spawn(move || flood(address, request));
        let during = self.measure_usual("during", USUAL_INTERVAL, || !flooding.is_finished());
        let requests = flooding.join().unwrap();
        let after = quiet(self, "after");
        let peak = self.peak_kib();
        println!(
            "{requests} requests; before {:?} {:?}, during {:?} {:?} {:?}, after {:?} {:?}; {} served; peak {peak_before} {peak} KiB",
            before.quantile(9),
            before.quantile(10),
            during.quantile(5),
            during.quantile(9),
            during.quantile(10),
            after.quantile(9),
            after.quantile(10),
            during.0.len(),
        );
        assert!(during.quantile(9) <= USUAL_LATENCY, "nine in ten took {:?}", during.quantile(9));
        assert!(peak <= MEMORY_MB << 10, "{peak} KiB");
    }
}

/// Guards against answers to others that wait until all requests of one connection are processed.
#[test]
fn health_checks_on_one_connection_delay_nobody() {
    let node = LimitedNode::new(71);
    node.assert_serves_beside_flood(node.node.listen, |_| HEALTH_CHECK.to_owned());
}

/// The same with call-backs, also on invocations that nobody has sent.
#[test]
fn call_backs_under_ever_new_ids_delay_nobody() {
    let node = LimitedNode::new(72);
    node.assert_serves_beside_flood(node.node.listen, |nth| {
        let event = format!(r#"{{"id":"unknown{nth}","from":"s-{nth}","state":"done","result":"r"}}"#);
        format!("POST /v1/job-events HTTP/1.1\r\nContent-Length: {}\r\n\r\n{event}", event.len())
    });
}

/// Requests that are answered at once, without a runner.
#[test]
fn requests_that_come_too_late_under_ever_new_ids_delay_nobody() {
    let node = LimitedNode::new(73);
    node.assert_serves_beside_flood(node.node.listen, |nth| request(&format!("late{nth}"), 1));
}

/// Guards against tables of ids and session keys that grow with each request.
#[test]
fn requests_under_ever_new_ids_and_keys_delay_nobody() {
    let node = LimitedNode::new(74);
    node.assert_serves_beside_flood(node.node.listen, |nth| {
        let head = format!("POST /plan HTTP/1.1\r\nX-Request-Id: new{nth}\r\nCookie: sid=key{nth}\r\n");
        format!("{head}X-Deadline-Ms: 8000\r\n\r\n")
    });
}

/// Requests that are rejected, on one connection after the other.
#[test]
fn unsound_requests_delay_nobody() {
    let node = LimitedNode::new(75);
    node.assert_serves_beside_flood(node.node.listen, |nth| {
        format!("POST /op{nth} HTTP/1.1\r\nX-{nth}: 1\r\n\r\n")
    });
}

/// The same with call-backs that cannot be decoded.
#[test]
fn unsound_call_backs_delay_nobody() {
    let node = LimitedNode::new(76);
    node.assert_serves_beside_flood(node.node.listen, |nth| {
        format!("POST /v1/job-events HTTP/1.1\r\nContent-Length: 12\r\n\r\n{{\"id\":{nth:06}")
    });
}

/// Several connections at once, each of which gets its turn.
#[test]
fn health_checks_on_several_connections_delay_nobody() {
    let node = LimitedNode::new(77);
    let listen = node.node.listen;
    let others = (0..8).map(|_| thread::spawn(move || flood(listen, |_| HEALTH_CHECK.to_owned())));
    let others: Vec<_> = others.collect();
    node.assert_serves_beside_flood(listen, |_| HEALTH_CHECK.to_owned());
    let counts: Vec<usize> = others.into_iter().map(|other| other.join().unwrap()).collect();
    let (fewest, most) = (counts.iter().min().unwrap(), counts.iter().max().unwrap());
    assert!(fewest * 2 >= *most, "{counts:?}");
}

/// The same with an id that has been used.
#[test]
fn repeated_ids_delay_nobody() {
    let node = LimitedNode::new(78);
    node.assert_serves_beside_flood(node.node.listen, |_| request("again", 8_000));
}
