//! The program's memory limit over loopback sockets, whatever fills it: each test fills another kind of buffer
//! from hundreds of connections at once, and checks the peak of the process and that a usual client is served.

mod helper;
mod limited_node;

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use limited_node::*;
use socket2::{Domain, Socket, Type};

/// Bad clients at once: a third of the sockets, less some for usual clients.
const BAD_CLIENTS: usize = 320;
/// Requests for a long answer that a client sends and whose answers it does not read.
const LONG_ANSWERS: usize = 4;
/// Requests with a long body that a usual client sends beside the bad ones.
const LONG_REQUESTS: usize = 8;
/// How long bad clients go on at most.
const CROWD_SPAN: Duration = Duration::from_secs(4);
/// From one usual request to the next.
const USUAL_INTERVAL: Duration = Duration::from_millis(100);
/// Usual requests are measured for so long before and after.
const QUIET_SPAN: Duration = Duration::from_millis(500);
/// Of usual requests, nine in ten have to be answered this fast beside the crowd.
const USUAL_LATENCY: Duration = Duration::from_millis(100);
/// Within this time after the close of a client nothing may begin for it any more.
const CLIENT_LEFT_TIMEOUT: Duration = Duration::from_millis(100);

impl LimitedNode {
    /// Sends usual requests beside the crowd, and checks that each is served, that the program keeps to its
    /// limit, and that it still notices soon that a client has left.
    fn assert_serves_beside(self, crowd: Vec<BadClient>) {
        self.assert_serves_beside_while(crowd, |_| {});
    }

    /// Does the same, with a further step once the crowd sends.
    fn assert_serves_beside_while(mut self, crowd: Vec<BadClient>, step: impl FnOnce(&mut LimitedNode)) {
        let quiet = |node: &LimitedNode, prefix: &str| {
            let until = Instant::now() + QUIET_SPAN;
            node.measure_usual(prefix, USUAL_INTERVAL, || Instant::now() < until)
        };
        let before = quiet(&self, "before");
        let crowd = thread::spawn(move || drive(crowd));
        step(&mut self);
        let during = self.measure_usual("during", USUAL_INTERVAL, || !crowd.is_finished());
        let _open_connections = crowd.join().unwrap();
        let after = quiet(&self, "after");
        let noticed = (0..5).map(|nth| self.time_until_left(&format!("held-leaver{nth}"))).min().unwrap();
        assert!(noticed <= CLIENT_LEFT_TIMEOUT, "a client's leave was noticed after {noticed:?}");
        let (buffers, invocations) = (self.metric("buffer_bytes"), self.metric("invocation_bytes"));
        let peak = self.peak_kib();
        println!(
            "peak {peak} KiB, buffers {buffers}, invocations {invocations}; usual requests: before {:?}, \
             {} during {:?} {:?} {:?}, after {:?}",
            before.quantile(9),
            during.0.len(),
            during.quantile(5),
            during.quantile(9),
            during.quantile(10),
            after.quantile(9)
        );
        assert!(during.quantile(9) <= USUAL_LATENCY, "nine in ten took {:?}", during.quantile(9));
        assert!(peak <= MEMORY_MB << 10, "{peak} KiB, buffers {buffers}, invocations {invocations}");
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

/// Many clients: more than connections are kept for without need, and fewer than are accepted at most.
const MANY_CLIENTS: usize = 600;
/// Bytes that a slow client writes at once, each ms.
const SLOW_PIECE: usize = 13;

/// A request whose body comes in chunks of one byte, without its end.
fn tiny_chunks(nth: usize) -> String {
    let head = format!("POST /plan HTTP/1.1\r\nX-Request-Id: tiny{nth}\r\nX-Deadline-Ms: 8000\r\n");
    format!("{head}Transfer-Encoding: chunked\r\n\r\n{}", "1\r\nx\r\n".repeat(14 << 10))
}

/// A head of so many of the shortest fields, without its end.
fn short_fields(nth: usize, fields: usize) -> String {
    let head = format!("POST /plan HTTP/1.1\r\nX-Request-Id: fields{nth}\r\nX-Deadline-Ms: 8000\r\n");
    format!("{head}{}", "a:\r\n".repeat(fields))
}

/// So many clients that write slowly.
fn slow_crowd(listen: SocketAddr, bytes: impl Fn(usize) -> String) -> Vec<BadClient> {
    let mut crowd = crowd_of(MANY_CLIENTS, listen, bytes);
    crowd.iter_mut().for_each(|client| client.piece = SLOW_PIECE);
    crowd
}

/// Guards against long requests that are kept while hundreds of clients write them slowly.
#[test]
fn long_requests_that_are_written_slowly_fit_the_limit() {
    let node = LimitedNode::new(79);
    let crowd = slow_crowd(node.node.listen, half_a_request);
    node.assert_serves_beside(crowd);
}

/// Guards against the decoding of a body from its start for each piece of it that arrives.
#[test]
fn chunked_requests_that_are_written_slowly_fit_the_limit() {
    let node = LimitedNode::new(80);
    let crowd = slow_crowd(node.node.listen, tiny_chunks);
    node.assert_serves_beside(crowd);
}

/// The same with requests that stop half way.
#[test]
fn chunked_requests_that_never_end_fit_the_limit() {
    let node = LimitedNode::new(81);
    let mut crowd = crowd_of(MANY_CLIENTS, node.node.listen, tiny_chunks);
    crowd.iter_mut().for_each(|client| client.piece = 970);
    node.assert_serves_beside(crowd);
}

/// Guards against heads whose many short fields take many times their bytes.
#[test]
fn heads_of_very_many_short_fields_fit_the_limit() {
    let node = LimitedNode::new(82);
    let mut crowd = crowd_of(MANY_CLIENTS / 2, node.node.listen, |nth| short_fields(nth, 4_000));
    crowd.extend(crowd_of(MANY_CLIENTS / 2, node.node.listen, |nth| short_fields(nth, 60)));
    node.assert_serves_beside(crowd);
}

/// The same written slowly, in heads and behind the last chunk.
#[test]
fn very_many_short_fields_that_are_written_slowly_fit_the_limit() {
    let node = LimitedNode::new(83);
    let mut crowd = slow_crowd(node.node.listen, |nth| short_fields(nth, 4_000));
    let trailers = |nth| {
        let head = format!("POST /plan HTTP/1.1\r\nX-Request-Id: trailer{nth}\r\nX-Deadline-Ms: 8000\r\n");
        format!("{head}Transfer-Encoding: chunked\r\n\r\n0\r\n{}", "a:\r\n".repeat(20_000))
    };
    crowd.truncate(MANY_CLIENTS / 2);
    let mut writers = crowd_of(MANY_CLIENTS / 2, node.node.listen, trailers);
    writers.iter_mut().for_each(|client| client.piece = 970);
    crowd.extend(writers);
    node.assert_serves_beside(crowd);
}
