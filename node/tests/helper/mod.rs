//! Starts the program under test and plays discovery, runners and clients over loopback, one step at a time.
#![allow(dead_code, reason = "each test file uses only some of the helpers")]

use std::env;
pub mod upgrade_site;

use std::fs::{self, File};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{self, Receiver, RecvTimeoutError, Sender};
use std::time::{Duration, Instant};

use socket2::{Domain, Socket, Type};
use topazsail_faults::{Plan, shim};

/// The limit for waiting on one step. It is far longer than any step takes, so it is reached only if the step
/// never happens.
pub const STEP_TIMEOUT: Duration = Duration::from_secs(30);

/// The test's end of a connection to the program; reads time out after [`STEP_TIMEOUT`].
pub struct Connection(pub BufReader<TcpStream>);

impl Connection {
    /// Wraps a stream and sets its read timeout.
    pub fn new(stream: TcpStream) -> Connection {
        stream.set_read_timeout(Some(STEP_TIMEOUT)).unwrap();
        Connection(BufReader::new(stream))
    }

    /// Accepts the next connection; panics if there is none within [`STEP_TIMEOUT`].
    pub fn accept(listener: &TcpListener) -> Connection {
        listener.set_nonblocking(true).unwrap();
        let deadline = Instant::now() + STEP_TIMEOUT;
        let stream = loop {
            match listener.accept() {
                Ok((stream, _)) => break stream,
                Err(error) => assert!(Instant::now() < deadline, "no connection to accept: {error}"),
            }
            std::thread::sleep(Duration::from_millis(1));
        };
        listener.set_nonblocking(false).unwrap();
        stream.set_nonblocking(false).unwrap();
        Connection::new(stream)
    }

    /// Writes this text as it is.
    pub fn send(&mut self, text: &str) {
        self.0.get_mut().write_all(text.as_bytes()).unwrap();
    }

    /// Reads a whole message and returns its first line, the values of `X-Request-Id` and `Connection` if
    /// present, and the body, separated by spaces.
    pub fn receive(&mut self) -> String {
        let (mut head, mut length) = (String::new(), 0);
        loop {
            let mut line = String::new();
            self.0.read_line(&mut line).unwrap();
            let line = line.trim_end();
            match line.split_once(": ") {
                Some(("Content-Length", value)) => length = value.parse().unwrap(),
                Some(("X-Request-Id" | "Connection", value)) => head += &format!(" {value}"),
                Some(_) => {}
                None if line.is_empty() => break,
                None => head += line,
            }
        }
        let mut body = vec![0; length];
        self.0.read_exact(&mut body).unwrap();
        format!("{head} {}", String::from_utf8(body).unwrap())
    }

    /// Sends a line of the watch that lists this runner only, with this weight.
    pub fn list_runner_with_weight(&mut self, runner: &TcpListener, weight: f64) {
        let line = format!(
            "{{\"generation\":1,\"reset\":true,\"instances\":[{{\"instanceId\":\"s-a\",\"lifecycle\":\"up\",\
             \"weight\":{weight},\"hostPort\":\"{}\"}}]}}\n",
            runner.local_addr().unwrap()
        );
        self.send_chunk(&line);
    }

    /// Sends a call-back with this event and checks that it is accepted.
    pub fn call_back(&mut self, event: &str) {
        self.send(&format!("POST /v1/job-events HTTP/1.1\r\nContent-Length: {}\r\n\r\n{event}", event.len()));
        assert_eq!(self.receive(), "HTTP/1.1 200 OK ");
    }

    /// Closes the connection with a reset.
    pub fn reset(self) {
        Socket::from(self.0.into_inner()).set_linger(Some(Duration::ZERO)).unwrap();
    }

    /// Sends one line of a watch as one chunk.
    pub fn send_chunk(&mut self, line: &str) {
        self.send(&format!("{:x}\r\n{line}\r\n", line.len()));
    }

    /// Waits for the next byte, and returns whether the peer has closed the connection instead.
    pub fn is_closed(&mut self) -> bool {
        self.0.read(&mut [0]).is_ok_and(|read| read == 0)
    }
}

/// The head of discovery's response to a watch.
pub const WATCH_HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
/// A runner's response to a forward that it accepts.
pub const ACCEPTED: &str = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n";

/// Accepts the watch that the program opens at its start, and sends the head of the response.
pub fn accept_watch(discovery: &TcpListener) -> Connection {
    accept_watch_since(discovery, 0)
}

/// Accepts a watch that asks for changes since this generation, and sends the head of the response.
pub fn accept_watch_since(discovery: &TcpListener, since: u64) -> Connection {
    let mut watch = Connection::accept(discovery);
    assert_eq!(watch.receive(), format!("GET /v1/servers?follow=1&since={since} HTTP/1.1 "));
    watch.send(WATCH_HEAD);
    watch
}

/// Interval of discovery's heartbeats: every 2 s by the protocol, half of that here so that a slow machine
/// does not delay one for too long.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// Sends heartbeats on a watch until it is dropped.
pub struct Heartbeats {
    _stop: Sender<()>,
}

/// Sends heartbeats on this watch from now on, as discovery does. The roster's lease lapses after 6 s without
/// one, and the program then forwards nothing: a test whose steps can take that long on a busy machine, and
/// that expects forwards after them, needs heartbeats.
pub fn send_heartbeats(watch: &Connection) -> Heartbeats {
    let mut stream = watch.0.get_ref().try_clone().unwrap();
    let (stop, stopped) = mpsc::channel();
    std::thread::spawn(move || {
        while stopped.recv_timeout(HEARTBEAT_INTERVAL) == Err(RecvTimeoutError::Timeout) {
            // The program closes the watch when it ends.
            if stream.write_all(b"1\r\n\n\r\n").is_err() {
                return;
            }
        }
    });
    Heartbeats { _stop: stop }
}

/// Returns an address with a free port. The IP address is 127.`octet`.x.y with x and y from the process id;
/// each test of a process uses octets of its own.
///
/// The port stays bound here until the test process ends, so that the system gives it to no other process
/// before the program binds it or between two programs. Both sides set `SO_REUSEPORT`, which the program
/// needs for upgrades anyway, and only sockets that listen receive connections.
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

/// The program under test; it is killed when the test ends, also when the test panics.
pub struct Program(pub Child);

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Sends the signal of this name, without `SIG`, to the program.
pub fn send_signal(program: &Program, name: &str) {
    let kill = format!("kill -{name} {}", program.0.id());
    assert!(Command::new("sh").arg("-c").arg(kill).status().unwrap().success());
}

/// Sends a command to the operators' socket and returns the whole answer.
pub fn admin_command(admin: SocketAddr, command: &str) -> String {
    let mut stream = TcpStream::connect(admin).unwrap();
    stream.set_read_timeout(Some(STEP_TIMEOUT)).unwrap();
    stream.write_all(format!("{command}\n").as_bytes()).unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    answer
}

/// The file in a dispatcher's folder to which [`start`] has its processes log.
const LOG_FILE: &str = "dispatcher.log";

/// Prints what the processes of this folder have logged if the test has failed; for the end of its fixture.
pub fn print_log_if_panicking(folder: &Path) {
    if std::thread::panicking() {
        let log = fs::read_to_string(folder.join(LOG_FILE));
        eprintln!("log of {}:\n{}", folder.display(), log.unwrap_or_else(|error| error.to_string()));
    }
}

/// Starts a process of the dispatcher with this folder as `TMPDIR`, where the processes of an upgrade find
/// each other, and for its log.
pub fn start(folder: &Path, listen: SocketAddr, admin: Option<SocketAddr>) -> Program {
    let log = File::options().create(true).append(true).open(folder.join(LOG_FILE)).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_topazsail"));
    command.args(["serve", "--config"]).arg(folder.join("config.json")).stderr(log);
    command.env("TMPDIR", folder).env("RELAY_LISTEN", listen.to_string());
    command.env("RELAY_ADMIN_ADDR", admin.map_or_else(String::new, |admin| admin.to_string()));
    Program(command.spawn().unwrap())
}

/// Repeats a command until its answer contains the expected text, and returns that answer.
pub fn admin_command_until(admin: SocketAddr, command: &str, expected: &str) -> String {
    let deadline = Instant::now() + STEP_TIMEOUT;
    loop {
        let answer =
            TcpStream::connect(admin).map_or_else(|_| String::new(), |_| admin_command(admin, command));
        if answer.contains(expected) {
            return answer;
        }
        assert!(
            Instant::now() < deadline,
            "the answer to {command} never contained {expected}, the last one: {answer}"
        );
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// The configuration that the tests start from.
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

/// Sends a call-back with this event on a new connection, checks that it is accepted and returns the
/// connection.
pub fn call_back(listen: SocketAddr, event: &str) -> Connection {
    let mut connection = Connection::new(TcpStream::connect(listen).unwrap());
    connection.call_back(event);
    connection
}

/// A listener with the shortest possible backlog, which [`fill_backlog`] can fill.
pub fn listener_with_minimal_backlog() -> Socket {
    let listener = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    listener.bind(&SocketAddr::from((Ipv4Addr::LOCALHOST, 0)).into()).unwrap();
    listener.listen(0).unwrap();
    listener
}

/// Opens connections until one is not established within `connect_timeout`, and returns all of their sockets.
/// The backlog of a listener holds one or two connections more than it was set to, so their number is not
/// known before.
pub fn fill_backlog(address: SocketAddr, connect_timeout: Duration) -> Vec<Socket> {
    let mut sockets = Vec::new();
    loop {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        let connected = socket.connect_timeout(&address.into(), connect_timeout);
        sockets.push(socket);
        if connected.is_err() {
            return sockets;
        }
    }
}

/// A program under test with its configuration file, its log and the listener of its discovery.
pub struct Node {
    pub program: Program,
    /// When the program was started.
    pub started: Instant,
    /// The address on which the program listens for clients.
    pub listen: SocketAddr,
    pub configuration_path: PathBuf,
    /// Log lines of the program that have not been read yet.
    log: Receiver<String>,
    pub discovery: TcpListener,
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = fs::remove_file(&self.configuration_path);
    }
}

impl Node {
    /// Starts the program with the [`configuration`] as edited. For `octet` see [`free_address`].
    pub fn new(octet: u8, edit: impl Fn(String) -> String) -> Node {
        Node::with_descriptor_limit(octet, 0, edit)
    }

    /// Like [`Node::new`] with a limit of open file descriptors; 0 keeps the limit of this process.
    pub fn with_descriptor_limit(octet: u8, descriptors: usize, edit: impl Fn(String) -> String) -> Node {
        let limit = if descriptors > 0 { format!("ulimit -n {descriptors}; ") } else { String::new() };
        Node::spawn(octet, &limit, |_| {}, edit)
    }

    /// Like [`Node::new`] under the fault shim with this plan.
    pub fn with_faults(octet: u8, plan: &Plan, edit: impl Fn(String) -> String) -> Node {
        let library_path = shim::library_path().unwrap();
        Node::spawn(octet, "", |command| shim::inject(command, library_path, plan), edit)
    }

    /// Like [`Node::new`], from a shell that runs `shell_prefix` before the program, with a command that
    /// `prepare` has changed.
    pub fn spawn(
        octet: u8,
        shell_prefix: &str,
        prepare: impl Fn(&mut Command),
        edit: impl Fn(String) -> String,
    ) -> Node {
        let listen = free_address(octet);
        // At an IP address of its own: a test that closes it for a while can bind the same port again.
        let discovery = TcpListener::bind((listen.ip(), 0)).unwrap();
        let configuration_path =
            env::temp_dir().join(format!("topazsail-ends-{octet}-{}.json", std::process::id()));
        fs::write(&configuration_path, edit(configuration(listen, discovery.local_addr().unwrap()))).unwrap();
        let mut command = Command::new("sh");
        command.args(["-c", &format!("{shell_prefix}exec \"$0\" \"$@\""), env!("CARGO_BIN_EXE_topazsail")]);
        command.args(["serve", "--config"]).arg(&configuration_path).stderr(Stdio::piped()).env("TMPDIR", "");
        prepare(&mut command);
        let started = Instant::now();
        let mut program = Program(command.spawn().unwrap());
        let (sender, log) = mpsc::channel();
        if let Some(stderr) = program.0.stderr.take() {
            let lines = BufReader::new(stderr).lines();
            std::thread::spawn(move || lines.map_while(Result::ok).try_for_each(|line| sender.send(line)));
        }
        Node { program, started, listen, configuration_path, log, discovery }
    }

    /// Waits for the next log line that contains this text; panics if there is none within [`STEP_TIMEOUT`].
    pub fn wait_for_log(&mut self, text: &str) {
        let deadline = Instant::now() + STEP_TIMEOUT;
        let mut lines = Vec::new();
        loop {
            let line = self.log.recv_timeout(deadline.saturating_duration_since(Instant::now()));
            let line =
                line.unwrap_or_else(|error| panic!("no log line with {text}, only {lines:?}: {error}"));
            if line.contains(text) {
                return;
            }
            lines.push(line);
        }
    }

    /// Connects a client that has sent nothing yet.
    pub fn connect_client(&self) -> Connection {
        Connection::new(TcpStream::connect(self.listen).unwrap())
    }

    /// Connects a client and sends a request for the invocation of this id.
    pub fn send_invocation(&self, id: &str) -> Connection {
        let mut client = self.connect_client();
        client.send(&request(id, 25_000));
        client
    }
}

/// A request for the invocation of this id, with this many milliseconds until its deadline.
pub fn request(id: &str, deadline_ms: u32) -> String {
    format!("POST /plan HTTP/1.1\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: {deadline_ms}\r\n\r\n")
}

/// Sends a line of the watch that lists this runner only, in this generation and lifecycle state.
pub fn list_runner(watch: &mut Connection, generation: u32, runner: SocketAddr, lifecycle: &str) {
    let line = format!(
        "{{\"generation\":{generation},\"reset\":true,\"instances\":[{{\"instanceId\":\"s-a\",\
         \"lifecycle\":\"{lifecycle}\",\"weight\":1,\"hostPort\":\"{runner}\"}}]}}\n"
    );
    watch.send_chunk(&line);
}
