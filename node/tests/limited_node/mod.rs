//! The program with a small memory limit and a runner, for tests that put load on it from many connections.
#![allow(dead_code, reason = "each test file uses only some of the helpers")]

use std::fs;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use crate::helper::*;

/// The limits of the program under test.
pub const MEMORY_MB: u64 = 32;
pub const SOCKETS: u32 = 1024;
/// A body that is almost as long as bodies may be.
pub const LONG_BODY_BYTES: usize = 60 << 10;
/// How long a runner holds some jobs.
const HELD_JOB_SPAN: Duration = Duration::from_secs(1);

/// How long usual requests took.
pub struct Latencies(pub Vec<Duration>);

impl Latencies {
    /// The latency that so many in ten requests kept.
    pub fn quantile(&self, tenths: usize) -> Duration {
        self.0[(self.0.len() - 1) * tenths / 10]
    }
}

/// Held by the test that runs: each needs hundreds of connections and much of a core.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

/// A program with the limits, and a runner that is listed.
pub struct LimitedNode {
    _turn: MutexGuard<'static, ()>,
    pub node: Node,
    pub admin: SocketAddr,
    pub watch: Connection,
    _heartbeats: Heartbeats,
}

impl LimitedNode {
    pub fn new(octet: u8) -> LimitedNode {
        let turn = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
        let admin = free_address(octet);
        let limits =
            format!(r#""admin_addr":"{admin}","limits":{{"sockets":{SOCKETS},"memory_mb":{MEMORY_MB}}}"#);
        let mut node = Node::new(octet, |text| text.replace(r#""limits":{"sockets":256}"#, &limits));
        let mut watch = accept_watch(&node.discovery);
        let runner = start_runner(node.listen);
        list_runner(&mut watch, 1, runner, "up");
        node.wait_for_log("ready");
        let heartbeats = send_heartbeats(&watch);
        LimitedNode { _turn: turn, node, admin, watch, _heartbeats: heartbeats }
    }

    /// The most memory that the program has held so far, in KiB.
    pub fn peak_kib(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.node.program.0.id())).unwrap();
        let line = status.lines().find(|line| line.starts_with("VmHWM:")).unwrap();
        line.split_whitespace().nth(1).unwrap().parse().unwrap()
    }

    /// Sends a roster that never becomes whole, and answers the request that follows.
    pub fn send_endless_roster(&mut self) {
        let elements = "{},\n".repeat(800_000);
        let chunk = format!("{:x}\r\n{{\"generation\":2,\"instances\":[{elements}", 4 << 20);
        // The program closes the connection before it has read all.
        let _ = self.watch.0.get_mut().write_all(chunk.as_bytes());
        self.node.wait_for_log("line_too_long");
        self.watch = accept_watch_since(&self.node.discovery, 1);
        self.watch.send_chunk("{\"generation\":2,\"reset\":false,\"instances\":[]}\n");
        self._heartbeats = send_heartbeats(&self.watch);
    }

    /// The value of a metric.
    pub fn metric(&self, name: &str) -> u64 {
        let stats = admin_command(self.admin, "stats");
        let value = stats.lines().find_map(|line| line.strip_prefix(&format!("edge_relay.{name}=")));
        value.unwrap().parse().unwrap()
    }

    /// Sends usual requests at this interval while `goes_on` says so, each on a connection of its own, checks
    /// that each is served, and returns how long their answers took.
    pub fn measure_usual(
        &self,
        prefix: &str,
        interval: Duration,
        mut goes_on: impl FnMut() -> bool,
    ) -> Latencies {
        let mut latencies = Vec::new();
        while goes_on() {
            let began = Instant::now();
            let mut client = self.node.connect_client();
            client.send(&request(&format!("{prefix}{}", latencies.len()), 20_000));
            assert_eq!(client.receive(), "HTTP/1.1 200 OK r", "usual request {}", latencies.len());
            latencies.push(began.elapsed());
            thread::sleep(interval);
        }
        latencies.sort();
        Latencies(latencies)
    }

    /// How long it takes until the program has noticed that a client has left whose job runs.
    pub fn time_until_left(&mut self, id: &str) -> Duration {
        let client = self.node.send_invocation(id);
        thread::sleep(Duration::from_millis(50));
        drop(client);
        let left_at = Instant::now();
        self.node.wait_for_log(&format!("client-left inv={id}"));
        left_at.elapsed()
    }
}

/// Starts a runner that does with a job what the first letters of its id say, and returns its address:
/// `held` is done after a while, `long` is done with a long result, `endless` gets an answer that never
/// ends, and any other is done at once.
pub fn start_runner(dispatcher: SocketAddr) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = move || serve_dispatcher(stream, dispatcher);
            thread::Builder::new().stack_size(256 << 10).spawn(serve).unwrap();
        }
    });
    address
}

/// Answers what the program sends on one connection.
fn serve_dispatcher(mut stream: TcpStream, dispatcher: SocketAddr) {
    let mut input = Vec::new();
    while let Some(head) = read_request(&mut stream, &mut input) {
        let id = head.lines().find_map(|line| line.strip_prefix("X-Request-Id: ")).unwrap_or_default();
        let is_endless = id.starts_with("endless");
        let answer = match head.starts_with("DELETE") {
            true => "HTTP/1.1 204 No Content\r\n\r\n".to_owned(),
            false if is_endless => {
                format!("HTTP/1.1 200 OK\r\nContent-Length: 65536\r\n\r\n{}", "x".repeat(LONG_BODY_BYTES))
            }
            false => ACCEPTED.to_owned(),
        };
        if stream.write_all(answer.as_bytes()).is_err() {
            return;
        }
        if head.starts_with("DELETE") {
            continue;
        }
        if id.starts_with("held") {
            let id = id.to_owned();
            let report = move || {
                thread::sleep(HELD_JOB_SPAN);
                report_done(dispatcher, &id, "r");
            };
            thread::Builder::new().stack_size(256 << 10).spawn(report).unwrap();
            continue;
        }
        let result = if id.starts_with("long") { "x".repeat(LONG_BODY_BYTES) } else { "r".to_owned() };
        report_done(dispatcher, id, &result);
    }
}

/// Makes the call-back on a job that is done; the program may have ended by then.
fn report_done(dispatcher: SocketAddr, id: &str, result: &str) {
    let event = format!(r#"{{"id":"{id}","from":"s-a","state":"done","result":"{result}"}}"#);
    let length = event.len();
    let request = format!("POST /v1/job-events HTTP/1.1\r\nContent-Length: {length}\r\n\r\n{event}");
    if let Ok(mut stream) = TcpStream::connect(dispatcher) {
        let _ = stream.write_all(request.as_bytes());
        let _ = stream.read(&mut [0; 256]);
    }
}

/// Reads one request and returns its head; `None` at the end of the connection.
fn read_request(stream: &mut TcpStream, input: &mut Vec<u8>) -> Option<String> {
    let mut buffer = [0; 16 << 10];
    loop {
        if let Some(end) = input.windows(4).position(|window| window == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&input[..end]).into_owned();
            let length = head.lines().find_map(|line| line.strip_prefix("Content-Length: ")?.parse().ok());
            let whole = end + 4 + length.unwrap_or(0);
            if input.len() >= whole {
                input.drain(..whole);
                return Some(head);
            }
        }
        let read = stream.read(&mut buffer).ok().filter(|read| *read > 0)?;
        input.extend_from_slice(&buffer[..read]);
    }
}

/// A request with this id and body.
pub fn request_with_body(id: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "POST /plan HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 8000\r\n\
         Cookie: sid=7f3a9c21e0b4d655\r\nContent-Length: {length}\r\n\r\n{body}"
    )
}
