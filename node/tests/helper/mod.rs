//! Stand-ins for discovery, runners and clients on loopback, a step at a time, and the program under them.
#![allow(dead_code, reason = "each test file uses its own part")]

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{self, Receiver};
use std::time::{Duration, Instant};
use std::{env, fs};

use socket2::{Domain, Socket, Type};
use topazsail_faults::{Plan, shim};

/// Far more than any step takes; only a step that never comes gets there.
pub const STEP_TIMEOUT: Duration = Duration::from_secs(30);

pub struct Connection(pub BufReader<TcpStream>);

impl Connection {
    pub fn new(stream: TcpStream) -> Connection {
        stream.set_read_timeout(Some(STEP_TIMEOUT)).unwrap();
        Connection(BufReader::new(stream))
    }

    /// The next to come; nobody is waited for without a bound.
    pub fn accept(listener: &TcpListener) -> Connection {
        listener.set_nonblocking(true).unwrap();
        let until = Instant::now() + STEP_TIMEOUT;
        let stream = loop {
            match listener.accept() {
                Ok((stream, _)) => break stream,
                Err(error) => assert!(Instant::now() < until, "nobody came: {error}"),
            }
            std::thread::sleep(Duration::from_millis(1));
        };
        listener.set_nonblocking(false).unwrap();
        stream.set_nonblocking(false).unwrap();
        Connection::new(stream)
    }

    pub fn send(&mut self, text: &str) {
        self.0.get_mut().write_all(text.as_bytes()).unwrap();
    }

    /// A whole message: first line, the value of `X-Request-Id` and the body.
    pub fn receive(&mut self) -> String {
        let (mut said, mut length) = (String::new(), 0);
        loop {
            let mut line = String::new();
            self.0.read_line(&mut line).unwrap();
            let line = line.trim_end();
            match line.split_once(": ") {
                Some(("Content-Length", value)) => length = value.parse().unwrap(),
                Some(("X-Request-Id" | "Connection", value)) => said += &format!(" {value}"),
                Some(_) => {}
                None if line.is_empty() => break,
                None => said += line,
            }
        }
        let mut body = vec![0; length];
        self.0.read_exact(&mut body).unwrap();
        format!("{said} {}", String::from_utf8(body).unwrap())
    }

    /// A line of the watch: one runner, of this size.
    pub fn list_runner(&mut self, runner: &TcpListener, weight: f64) {
        let line = format!(
            "{{\"generation\":1,\"reset\":true,\"instances\":[{{\"instanceId\":\"s-a\",\"lifecycle\":\"up\",\
             \"weight\":{weight},\"hostPort\":\"{}\"}}]}}\n",
            runner.local_addr().unwrap()
        );
        self.send_chunk(&line);
    }

    /// A call-back, taken.
    pub fn call_back(&mut self, told: &str) {
        self.send(&format!("POST /v1/job-events HTTP/1.1\r\nContent-Length: {}\r\n\r\n{told}", told.len()));
        assert_eq!(self.receive(), "HTTP/1.1 200 OK ");
    }

    /// Ends it with a reset.
    pub fn reset(self) {
        Socket::from(self.0.into_inner()).set_linger(Some(Duration::ZERO)).unwrap();
    }

    /// One line of a watch, in a chunk of its own.
    pub fn send_chunk(&mut self, line: &str) {
        self.send(&format!("{:x}\r\n{line}\r\n", line.len()));
    }

    pub fn is_closed(&mut self) -> bool {
        self.0.read(&mut [0]).is_ok_and(|read| read == 0)
    }
}

/// The head of a watch's answer.
pub const WATCH_HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
pub const ACCEPTED: &str = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n";

/// The watch that a program has opened, answered.
pub fn accept_watch(discovery: &TcpListener) -> Connection {
    accept_watch_since(discovery, 0)
}

pub fn accept_watch_since(discovery: &TcpListener, since: u64) -> Connection {
    let mut watch = Connection::accept(discovery);
    assert_eq!(watch.receive(), format!("GET /v1/servers?follow=1&since={since} HTTP/1.1 "));
    watch.send(WATCH_HEAD);
    watch
}

/// An address of one test's own. The port stays bound here beside the program's listener, which lets others bind it too, as
/// in an upgrade: in between nobody else is given it. Connections go to whoever listens.
pub fn free_address(octet: u8) -> SocketAddr {
    let [_, .., high, low] = std::process::id().to_be_bytes();
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.set_reuse_address(true).unwrap();
    socket.set_reuse_port(true).unwrap();
    socket.bind(&SocketAddr::from((Ipv4Addr::new(127, octet, high, low), 0)).into()).unwrap();
    let address = socket.local_addr().unwrap().as_socket().unwrap();
    std::mem::forget(socket);
    address
}

/// Ended with the test, whatever becomes of it.
pub struct Program(pub Child);

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

pub fn send_signal(program: &Program, name: &str) {
    let kill = format!("kill -{name} {}", program.0.id());
    assert!(Command::new("sh").arg("-c").arg(kill).status().unwrap().success());
}

/// What an operator is answered.
pub fn admin_command(admin: SocketAddr, line: &str) -> String {
    let mut caller = TcpStream::connect(admin).unwrap();
    caller.set_read_timeout(Some(STEP_TIMEOUT)).unwrap();
    caller.write_all(format!("{line}\n").as_bytes()).unwrap();
    let mut answer = String::new();
    caller.read_to_string(&mut answer).unwrap();
    answer
}

pub fn configuration(listen: SocketAddr, discovery: SocketAddr) -> String {
    format!(
        r#"{{"name":"n0","listen":"{listen}","discovery":"{discovery}","seed":"1","limits":{{"sockets":256}},
        "known":{{"generation":0,"reset":true,"instances":[]}},
        "settings":{{"balancers":1,"registryMode":"subscribe","invariants":{{"askWithin":10000000,
        "coldFrom":0.2,"warmWithin":1000000,"overloadFactor":3.0,"tipAfter":2000000}},
        "limits":{{"mostForwards":3,"cancel":true,"dialTimeout":20000000}},
        "operations":[{{"name":"plan","effect":"at_most_once","latencyObjective":20000000,
        "clientTimeout":30000000,"billedValue":1.0}}]}}}}"#
    )
}

/// A call-back, taken; the connection that it came on.
pub fn call_back(listen: SocketAddr, told: &str) -> Connection {
    let mut call = Connection::new(TcpStream::connect(listen).unwrap());
    call.call_back(told);
    call
}

/// A listener whose queue of connections can be filled.
pub fn listener_with_minimal_backlog() -> Socket {
    let listener = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    listener.bind(&SocketAddr::from((Ipv4Addr::LOCALHOST, 0)).into()).unwrap();
    listener.listen(0).unwrap();
    listener
}

/// Fills that queue, which holds one or two more than it was told, until nobody has come up for so long.
pub fn fill_backlog(address: SocketAddr, within: Duration) -> Vec<Socket> {
    let mut before = Vec::new();
    loop {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        let up = socket.connect_timeout(&address.into(), within);
        before.push(socket);
        if up.is_err() {
            return before;
        }
    }
}

/// A program of a test's own, with the discovery that it asks.
pub struct Node {
    pub program: Program,
    pub started: Instant,
    pub listen: SocketAddr,
    pub configuration_path: PathBuf,
    log: Receiver<String>,
    pub discovery: TcpListener,
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = fs::remove_file(&self.configuration_path);
    }
}

impl Node {
    /// A program of a test's own, by a configuration that is changed as it says.
    pub fn new(octet: u8, change: impl Fn(String) -> String) -> Node {
        Node::with_descriptor_limit(octet, 0, change)
    }

    /// The same with so many descriptors; as many as this test has, for 0.
    pub fn with_descriptor_limit(octet: u8, descriptors: usize, change: impl Fn(String) -> String) -> Node {
        let limit = if descriptors > 0 { format!("ulimit -n {descriptors}; ") } else { String::new() };
        Node::spawn(octet, &limit, |_| {}, change)
    }

    /// The same under the fault shim with this plan.
    pub fn with_faults(octet: u8, plan: &Plan, change: impl Fn(String) -> String) -> Node {
        let library = shim::library().unwrap();
        Node::spawn(octet, "", |command| shim::inject(command, library, plan), change)
    }

    /// The same by a shell that does this before, with a command that is prepared by this.
    pub fn spawn(
        octet: u8,
        before: &str,
        prepare: impl Fn(&mut Command),
        change: impl Fn(String) -> String,
    ) -> Node {
        let discovery = TcpListener::bind("127.0.0.1:0").unwrap();
        let listen = free_address(octet);
        let configuration_path =
            env::temp_dir().join(format!("topazsail-ends-{octet}-{}.json", std::process::id()));
        fs::write(&configuration_path, change(configuration(listen, discovery.local_addr().unwrap())))
            .unwrap();
        let mut command = Command::new("sh");
        command.args(["-c", &format!("{before}exec \"$0\" \"$@\""), env!("CARGO_BIN_EXE_topazsail")]);
        command.args(["serve", "--config"]).arg(&configuration_path).stderr(Stdio::piped()).env("TMPDIR", "");
        prepare(&mut command);
        let started = Instant::now();
        let mut program = Program(command.spawn().unwrap());
        let (says, log) = mpsc::channel();
        if let Some(stderr) = program.0.stderr.take() {
            let lines = BufReader::new(stderr).lines();
            std::thread::spawn(move || lines.map_while(Result::ok).try_for_each(|line| says.send(line)));
        }
        Node { program, started, listen, configuration_path, log, discovery }
    }

    /// Waits until the program has said this.
    pub fn wait_for_log(&mut self, holds: &str) {
        let until = Instant::now() + STEP_TIMEOUT;
        let mut said = Vec::new();
        loop {
            let line = self.log.recv_timeout(until.saturating_duration_since(Instant::now()));
            let line = line.unwrap_or_else(|error| panic!("it never said {holds}, but {said:?}: {error}"));
            if line.contains(holds) {
                return;
            }
            said.push(line);
        }
    }

    pub fn connect_client(&self) -> Connection {
        Connection::new(TcpStream::connect(self.listen).unwrap())
    }

    /// A client that has asked for this.
    pub fn send_invocation(&self, id: &str) -> Connection {
        let mut client = self.connect_client();
        client.send(&request(id, 25_000));
        client
    }
}

pub fn request(id: &str, ms: u32) -> String {
    format!("POST /plan HTTP/1.1\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: {ms}\r\n\r\n")
}

pub fn list_runner(watch: &mut Connection, generation: u32, runner: SocketAddr, state: &str) {
    let line = format!(
        "{{\"generation\":{generation},\"reset\":true,\"instances\":[{{\"instanceId\":\"s-a\",\
         \"lifecycle\":\"{state}\",\"weight\":1,\"hostPort\":\"{runner}\"}}]}}\n"
    );
    watch.send_chunk(&line);
}
