//! The program's memory limit over loopback sockets, whatever fills it: each test fills another kind of buffer
//! from hundreds of connections at once, and checks the peak of the process and that a usual client is served.

mod helper;

use std::fs;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use helper::*;
use socket2::{Domain, Socket, Type};

/// The limits of the program under test.
const MEMORY_MB: u64 = 32;
const SOCKETS: u32 = 1024;
/// Bad clients at once: a third of the sockets, less some for usual clients.
const BAD_CLIENTS: usize = 320;
/// A body that is almost as long as bodies may be.
const LONG_BODY_BYTES: usize = 60 << 10;
/// Requests for a long answer that a client sends and whose answers it does not read.
const LONG_ANSWERS: usize = 4;
/// How long a runner holds some jobs.
const HELD_JOB_SPAN: Duration = Duration::from_secs(1);
/// Requests with a long body that a usual client sends beside the bad ones.
const LONG_REQUESTS: usize = 8;
/// How long bad clients go on at most.
const CROWD_SPAN: Duration = Duration::from_secs(4);
/// From one usual request to the next.
const USUAL_INTERVAL: Duration = Duration::from_millis(100);
/// Within this time after the close of a client nothing may begin for it any more.
const CLIENT_LEFT_TIMEOUT: Duration = Duration::from_millis(100);

/// Held by the test that runs: each needs hundreds of connections and much of a core.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

/// A program with the limits, and a runner that is listed.
struct LimitedNode {
    _turn: MutexGuard<'static, ()>,
    node: Node,
    admin: SocketAddr,
    watch: Connection,
    _heartbeats: Heartbeats,
}

impl LimitedNode {
    fn new(octet: u8) -> LimitedNode {
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
    fn peak_kib(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.node.program.0.id())).unwrap();
        let line = status.lines().find(|line| line.starts_with("VmHWM:")).unwrap();
        line.split_whitespace().nth(1).unwrap().parse().unwrap()
    }

    /// Sends a roster that never becomes whole, and answers the request that follows.
    fn send_endless_roster(&mut self) {
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
    fn metric(&self, name: &str) -> u64 {
        let stats = admin_command(self.admin, "stats");
        let value = stats.lines().find_map(|line| line.strip_prefix(&format!("edge_relay.{name}=")));
        value.unwrap().parse().unwrap()
    }

    /// Sends usual requests beside the crowd, and checks that each is served, that the program keeps to its
    /// limit, and that it still notices soon that a client has left.
    fn assert_serves_beside(self, crowd: Vec<BadClient>) {
        self.assert_serves_beside_while(crowd, |_| {});
    }

    /// Does the same, with a further step once the crowd sends.
    fn assert_serves_beside_while(mut self, crowd: Vec<BadClient>, step: impl FnOnce(&mut LimitedNode)) {
        let listen = self.node.listen;
        let crowd = thread::spawn(move || drive(crowd));
        step(&mut self);
        let mut served = 0;
        while !crowd.is_finished() {
            served += 1;
            let mut client = Connection::new(TcpStream::connect(listen).unwrap());
            client.send(&request(&format!("usual{served}"), 20_000));
            assert_eq!(client.receive(), "HTTP/1.1 200 OK r", "usual request {served}");
            thread::sleep(USUAL_INTERVAL);
        }
        let _open_connections = crowd.join().unwrap();
        let noticed = (0..5).map(|nth| self.time_until_left(&format!("held-leaver{nth}"))).min().unwrap();
        assert!(noticed <= CLIENT_LEFT_TIMEOUT, "a client's leave was noticed after {noticed:?}");
        let (buffers, invocations) = (self.metric("buffer_bytes"), self.metric("invocation_bytes"));
        let peak = self.peak_kib();
        println!("peak {peak} KiB, {served} served, buffers {buffers}, invocations {invocations}");
        assert!(peak <= MEMORY_MB << 10, "{peak} KiB, buffers {buffers}, invocations {invocations}");
    }

    /// How long it takes until the program has noticed that a client has left whose job runs.
    fn time_until_left(&mut self, id: &str) -> Duration {
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
fn start_runner(dispatcher: SocketAddr) -> SocketAddr {
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

/// A client that sends its bytes as fast as they are taken.
struct BadClient {
    stream: TcpStream,
    bytes: Vec<u8>,
    sent: usize,
    /// How many bytes it sends at once.
    piece: usize,
    /// Whether it reads what it is sent.
    reads: bool,
}

impl BadClient {
    fn connect(listen: SocketAddr, bytes: String) -> BadClient {
        let stream = TcpStream::connect(listen).unwrap();
        stream.set_nonblocking(true).unwrap();
        BadClient { stream, bytes: bytes.into_bytes(), sent: 0, piece: usize::MAX, reads: true }
    }

    /// Sends one piece and reads what has arrived. Returns whether the connection is still open.
    fn step(&mut self, buffer: &mut [u8]) -> bool {
        let rest = &self.bytes[self.sent..];
        let piece = &rest[..rest.len().min(self.piece)];
        match self.stream.write(piece) {
            Ok(sent) => self.sent += sent,
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Err(_) => return false,
        }
        if !self.reads {
            return true;
        }
        match self.stream.read(buffer) {
            Ok(0) => false,
            Err(error) => error.kind() == ErrorKind::WouldBlock,
            Ok(_) => true,
        }
    }
}

/// Drives all clients until the span is over, and returns those that are still connected.
fn drive(mut crowd: Vec<BadClient>) -> Vec<BadClient> {
    let (until, mut buffer) = (Instant::now() + CROWD_SPAN, vec![0; 64 << 10]);
    while Instant::now() < until {
        crowd.retain_mut(|client| client.step(&mut buffer));
        thread::sleep(Duration::from_millis(1));
    }
    crowd
}

/// A request with this id and body.
fn request_with_body(id: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "POST /plan HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 8000\r\n\
         Cookie: sid=7f3a9c21e0b4d655\r\nContent-Length: {length}\r\n\r\n{body}"
    )
}

/// So many clients, each of which sends what `bytes` says for its number.
fn crowd_of(count: usize, listen: SocketAddr, bytes: impl Fn(usize) -> String) -> Vec<BadClient> {
    (0..count).map(|nth| BadClient::connect(listen, bytes(nth))).collect()
}

/// Hundreds of requests, all at once.
fn pipelined_requests(nth: usize) -> String {
    (0..800).map(|request| request_with_body(&format!("bad{nth}-{request}"), "hi")).collect()
}

/// A request whose body is announced and stops before its end.
fn half_a_request(nth: usize) -> String {
    let whole = request_with_body(&format!("half{nth}"), &"x".repeat(LONG_BODY_BYTES));
    whole[..whole.len() - 1].to_owned()
}

/// Guards against the kill for memory that review/2 shows: the requests that hundreds of clients had sent behind
/// their first one were kept, up to 160 KiB of each.
#[test]
fn hundreds_of_clients_with_hundreds_of_requests_each_fit_the_limit() {
    let node = LimitedNode::new(61);
    let crowd = crowd_of(BAD_CLIENTS, node.node.listen, pipelined_requests);
    node.assert_serves_beside(crowd);
}

/// The same in many small pieces.
#[test]
fn requests_in_many_small_pieces_fit_the_limit() {
    let node = LimitedNode::new(62);
    let mut crowd = crowd_of(BAD_CLIENTS, node.node.listen, pipelined_requests);
    crowd.iter_mut().for_each(|client| client.piece = 97);
    node.assert_serves_beside(crowd);
}

/// Guards against usual clients that are turned away in place of bad ones, as their one request is longer than
/// what each of many bad clients has sent behind its first.
#[test]
fn a_long_request_is_read_beside_many_short_ones_at_once() {
    let node = LimitedNode::new(69);
    let mut crowd = crowd_of(BAD_CLIENTS, node.node.listen, pipelined_requests);
    crowd.iter_mut().for_each(|client| client.piece = 970);
    let long_body = "x".repeat(LONG_BODY_BYTES);
    let send_long_requests = |node: &mut LimitedNode| {
        for nth in 0..LONG_REQUESTS {
            let mut client = node.node.connect_client();
            let request = request_with_body(&format!("whole{nth}"), &long_body);
            let (first, second) = request.split_at(request.len() - 1);
            client.send(first);
            thread::sleep(USUAL_INTERVAL);
            client.send(second);
            assert_eq!(client.receive(), "HTTP/1.1 200 OK r", "long request {nth}");
        }
    };
    node.assert_serves_beside_while(crowd, send_long_requests);
}

/// Guards against incomplete requests of hundreds of clients that are all kept until they time out.
#[test]
fn long_bodies_that_never_end_fit_the_limit() {
    let node = LimitedNode::new(63);
    let crowd = crowd_of(BAD_CLIENTS, node.node.listen, half_a_request);
    node.assert_serves_beside(crowd);
}

/// Guards against complete requests that are kept for further forwards and copied for the one in flight.
#[test]
fn long_requests_whose_jobs_take_long_fit_the_limit() {
    let node = LimitedNode::new(64);
    let long_body = "x".repeat(LONG_BODY_BYTES);
    let crowd =
        crowd_of(BAD_CLIENTS, node.node.listen, |nth| request_with_body(&format!("held{nth}"), &long_body));
    node.assert_serves_beside(crowd);
}

/// Guards against answers that are kept for clients that do not read them.
#[test]
fn long_answers_that_nobody_reads_fit_the_limit() {
    let node = LimitedNode::new(65);
    let listen = node.node.listen;
    let slow_reader = |nth| {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        // The smallest window that the host allows.
        socket.set_recv_buffer_size(1).unwrap();
        socket.connect(&listen.into()).unwrap();
        socket.set_nonblocking(true).unwrap();
        let bytes = (0..LONG_ANSWERS).map(|request| request_with_body(&format!("long{nth}-{request}"), "hi"));
        let bytes = bytes.collect::<String>().into_bytes();
        BadClient { stream: socket.into(), bytes, sent: 0, piece: usize::MAX, reads: false }
    };
    let crowd = (0..BAD_CLIENTS).map(slow_reader).collect();
    node.assert_serves_beside(crowd);
}

/// Guards against the answers of runners that never end.
#[test]
fn endless_answers_of_runners_fit_the_limit() {
    let node = LimitedNode::new(66);
    let crowd =
        crowd_of(BAD_CLIENTS, node.node.listen, |nth| request_with_body(&format!("endless{nth}"), "hi"));
    node.assert_serves_beside(crowd);
}

/// Guards against parts that keep to their shares one by one and exceed the limit together.
#[test]
fn all_kinds_together_fit_the_limit() {
    let node = LimitedNode::new(67);
    let (listen, admin, part) = (node.node.listen, node.admin, BAD_CLIENTS / 4);
    let long_body = "x".repeat(LONG_BODY_BYTES);
    let mut crowd = crowd_of(part, listen, pipelined_requests);
    crowd.extend(crowd_of(part, listen, half_a_request));
    crowd.extend(crowd_of(part, listen, |nth| request_with_body(&format!("held{nth}"), &long_body)));
    crowd.extend(crowd_of(part, listen, |nth| request_with_body(&format!("endless{nth}"), "hi")));
    crowd.extend(crowd_of(60, admin, |_| "x".repeat(1 << 20)));
    node.assert_serves_beside_while(crowd, LimitedNode::send_endless_roster);
}

/// Guards against a roster that is parsed into many times its text: the largest fleet, indented, has to be read.
#[test]
fn the_roster_of_the_largest_fleet_fits_the_limit() {
    let mut node = LimitedNode::new(68);
    let instance = |nth: usize| {
        format!(
            "    {{\n      \"instanceId\": \"s-{nth:08x}\",\n      \"hostPort\": \"10.1.{}.{}:3000\",\n      \
             \"zone\": \"a\",\n      \"machineType\": \"m2\",\n      \"cell\": {nth},\n      \
             \"lifecycle\": \"draining\",\n      \"weight\": 1.0,\n      \"startedAtMs\": 0\n    }}",
            nth / 250,
            nth % 250
        )
    };
    let instances: Vec<String> = (0..3_200).map(instance).collect();
    let line = format!(
        "{{\n  \"generation\": 2,\n  \"reset\": false,\n  \"instances\": [\n{}\n  ]\n}}\n",
        instances.join(",\n")
    );
    node.watch.send_chunk(&line);
    node.assert_serves_beside(Vec::new());
}
