// Stand-ins shared by the cases of the second review: HTTP over plain TCP, discovery, runners, clients, and the
// dispatchers as child processes. Written from the users' pages; standard library only, loopback addresses only.

use std::collections::{HashMap, HashSet};
use std::fs;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::mpsc;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// The record of a run: `record.txt`, with the time in ms since the start of the script.
pub struct Record {
    start: Instant,
    file: Mutex<fs::File>,
}

impl Record {
    pub fn new(path: &str) -> Arc<Record> {
        let file = fs::File::create(path).unwrap_or_else(|error| unable(&format!("{path}: {error}")));
        Arc::new(Record { start: Instant::now(), file: Mutex::new(file) })
    }

    pub fn now(&self) -> u64 {
        self.start.elapsed().as_micros() as u64
    }

    pub fn line(&self, text: &str) {
        let at = self.now();
        let line = format!("{:>9}.{:03} {text}\n", at / 1000, at % 1000);
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}

static CHILDREN: Mutex<Vec<u32>> = Mutex::new(Vec::new());

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: u64, ...) -> i32;
}

/// `prctl` option: the signal that a process gets when the thread that started it ends.
const PR_SET_PDEATHSIG: i32 = 1;

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

pub fn signal(pid: u32, signal: i32) {
    unsafe { kill(pid as i32, signal) };
}

/// Ends every process that was started and leaves with this code.
pub fn finish(code: i32) -> ! {
    for pid in CHILDREN.lock().unwrap().iter() {
        signal(*pid, SIGKILL);
    }
    std::process::exit(code)
}

/// The case cannot run here.
pub fn unable(why: &str) -> ! {
    eprintln!("cannot run: {why}");
    finish(2)
}

/// Ends the run if it takes too long.
pub fn watchdog(seconds: u64) {
    thread::spawn(move || {
        thread::sleep(Duration::from_secs(seconds));
        unable("the time of the script is over");
    });
}

pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |text| text != "0")
}

/// A free address for a process that is started later. Its port is below the range from which outgoing connections
/// get theirs, as one of these could take it meanwhile, and differs between scripts that run side by side.
pub fn free_address() -> SocketAddr {
    static TRIED: AtomicUsize = AtomicUsize::new(0);
    for _ in 0..1_000 {
        let nth = TRIED.fetch_add(1, Ordering::SeqCst);
        let port = 12_000 + (std::process::id() as usize * 16 + nth) % 18_000;
        let bound = TcpListener::bind(("127.0.0.1", port as u16)).and_then(|listener| listener.local_addr());
        if let Ok(address) = bound {
            return address;
        }
    }
    unable("no port is free")
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

/// A pseudo-random number generator with a seed, for spreads of times only.
pub struct Rng(pub u64);

impl Rng {
    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }

    pub fn below(&mut self, n: u64) -> u64 {
        self.next() % n.max(1)
    }
}

/// One HTTP message: its first line, its headers in lower case, its body.
#[derive(Clone, Debug)]
pub struct Message {
    pub first: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

/// Reads one message with a Content-Length (or none); `None` at the end of the connection.
pub fn read_message(stream: &mut TcpStream, rest: &mut Vec<u8>) -> Option<Message> {
    let mut buffer = [0; 16 << 10];
    loop {
        if let Some(end) = rest.windows(4).position(|window| window == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&rest[..end]).to_string();
            let mut lines = head.split("\r\n");
            let first = lines.next().unwrap_or_default().to_owned();
            let headers: HashMap<String, String> = lines
                .filter_map(|line| line.split_once(':'))
                .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
                .collect();
            let length: usize = headers.get("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
            if rest.len() >= end + 4 + length {
                let body = rest[end + 4..end + 4 + length].to_vec();
                rest.drain(..end + 4 + length);
                return Some(Message { first, headers, body });
            }
        }
        match stream.read(&mut buffer) {
            Ok(0) | Err(_) => return None,
            Ok(read) => rest.extend_from_slice(&buffer[..read]),
        }
    }
}

// Discovery.

/// A runner as discovery lists it.
#[derive(Clone)]
pub struct Entry {
    pub id: String,
    pub address: SocketAddr,
    pub zone: String,
    pub state: String,
    pub started_ms: u64,
}

impl Entry {
    fn json(&self) -> String {
        format!(
            "{{\"instanceId\":\"{}\",\"hostPort\":\"{}\",\"zone\":\"{}\",\"machineType\":\"box\",\"cell\":0,\
             \"lifecycle\":\"{}\",\"weight\":1.0,\"startedAtMs\":{}}}",
            self.id, self.address, self.zone, self.state, self.started_ms
        )
    }
}

/// What discovery does with a call that has just arrived.
#[derive(Clone, Copy, PartialEq)]
pub enum Treatment {
    /// It is served at once.
    Serve,
    /// It waits this long in the queue of calls and is then served.
    Wait(Duration),
    /// It waits this long, which is too long: 503.
    Refuse(Duration),
}

struct Listed {
    entries: Vec<Entry>,
    generation: u64,
    /// Which entries changed with which generation.
    log: Vec<(u64, Entry)>,
    watches: Vec<TcpStream>,
}

/// What happens to a call, by the name of the way on which it came and its number on that way, from 0.
pub type Rule = Box<dyn Fn(&str, usize) -> Treatment + Send + Sync>;

/// Discovery. Each dispatcher sees it under an address of its own.
pub struct Discovery {
    ways: Vec<(&'static str, SocketAddr, AtomicUsize)>,
    listed: Mutex<Listed>,
    record: Arc<Record>,
    down: AtomicBool,
    /// How often open watches have fallen silent.
    silences: AtomicUsize,
    rule: Rule,
}

impl Discovery {
    /// One address for each dispatcher named.
    pub fn start(
        names: &[&'static str],
        entries: Vec<Entry>,
        record: &Arc<Record>,
        rule: Rule,
    ) -> Arc<Discovery> {
        let listeners: Vec<TcpListener> = names
            .iter()
            .map(|_| TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| unable(&e.to_string())))
            .collect();
        let ways = names
            .iter()
            .zip(&listeners)
            .map(|(name, listener)| (*name, listener.local_addr().unwrap(), AtomicUsize::new(0)))
            .collect();
        let log = entries.iter().map(|entry| (1, entry.clone())).collect();
        let discovery = Arc::new(Discovery {
            ways,
            listed: Mutex::new(Listed { entries, generation: 1, log, watches: Vec::new() }),
            record: record.clone(),
            down: AtomicBool::new(false),
            silences: AtomicUsize::new(0),
            rule,
        });
        for (way, listener) in listeners.into_iter().enumerate() {
            Discovery::accept(&discovery, way, listener);
        }
        discovery
    }

    pub fn address(&self, way: usize) -> SocketAddr {
        self.ways[way].1
    }

    fn accept(discovery: &Arc<Discovery>, way: usize, listener: TcpListener) {
        listener.set_nonblocking(true).unwrap();
        let this = discovery.clone();
        thread::spawn(move || loop {
            if this.down.load(Ordering::SeqCst) {
                // Dropping the listener has new connections refused.
                return;
            }
            match listener.accept() {
                Ok((stream, _)) => {
                    stream.set_nonblocking(false).unwrap();
                    let _ = stream.set_nodelay(true);
                    let this = this.clone();
                    thread::spawn(move || this.serve(way, stream));
                }
                Err(_) => thread::sleep(ms(1)),
            }
        });
    }

    /// Takes no new connection any more; open watches stay open.
    pub fn refuse_new(&self) {
        self.down.store(true, Ordering::SeqCst);
        self.record.line("discovery takes no new connection at this address");
    }

    /// Takes discovery down: its watches end, and new connections are refused.
    pub fn go_down(&self) {
        self.down.store(true, Ordering::SeqCst);
        for watch in self.listed.lock().unwrap().watches.drain(..) {
            let _ = watch.shutdown(std::net::Shutdown::Both);
        }
        self.record.line("discovery is down");
    }

    pub fn come_back(discovery: &Arc<Discovery>) {
        discovery.down.store(false, Ordering::SeqCst);
        for way in 0..discovery.ways.len() {
            let listener =
                TcpListener::bind(discovery.address(way)).unwrap_or_else(|e| unable(&e.to_string()));
            Discovery::accept(discovery, way, listener);
        }
        discovery.record.line("discovery is back");
    }

    fn serve(self: Arc<Self>, way: usize, mut stream: TcpStream) {
        let (name, _, calls) = &self.ways[way];
        let mut rest = Vec::new();
        while let Some(request) = read_message(&mut stream, &mut rest) {
            let number = calls.fetch_add(1, Ordering::SeqCst);
            let target = request.first.split(' ').nth(1).unwrap_or_default().to_owned();
            let treatment = (self.rule)(name, number);
            self.record.line(&format!("discovery: {name} call {number} {target}"));
            match treatment {
                Treatment::Serve => {}
                Treatment::Wait(time) => thread::sleep(time),
                Treatment::Refuse(time) => {
                    thread::sleep(time);
                    self.record.line(&format!("discovery: {name} call {number} has waited too long: 503"));
                    let answer = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
                    if stream.write_all(answer).is_err() {
                        return;
                    }
                    continue;
                }
            }
            let mut listed = self.listed.lock().unwrap();
            if target.contains("follow=1") {
                let since: u64 = target
                    .split("since=")
                    .nth(1)
                    .map(|text| text.chars().take_while(char::is_ascii_digit).collect::<String>())
                    .and_then(|text| text.parse().ok())
                    .unwrap_or(0);
                let changed: Vec<Entry> =
                    listed.log.iter().filter(|(at, _)| *at > since).map(|(_, entry)| entry.clone()).collect();
                let line = line(listed.generation, false, &changed);
                let head =
                    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";
                if stream.write_all(format!("{head}{}", chunk(&line)).as_bytes()).is_err() {
                    return;
                }
                self.record
                    .line(&format!("discovery: {name} call {number} is a watch from generation {since}"));
                let watch = stream.try_clone().unwrap();
                listed.watches.push(watch);
                let silences = self.silences.load(Ordering::SeqCst);
                drop(listed);
                // While nothing changes, an empty line comes every 2 s.
                loop {
                    thread::sleep(ms(2000));
                    let _listed = self.listed.lock().unwrap();
                    if self.silences.load(Ordering::SeqCst) != silences {
                        continue;
                    }
                    if self.down.load(Ordering::SeqCst) || stream.write_all(chunk("\n").as_bytes()).is_err() {
                        return;
                    }
                }
            }
            let body = line(listed.generation, true, &listed.entries);
            let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
            self.record.line(&format!("discovery: {name} call {number} got the whole list"));
        }
    }

    /// All open watches fall silent: they stay open, and nothing more is written to them.
    pub fn fall_silent(&self) {
        let mut listed = self.listed.lock().unwrap();
        self.silences.fetch_add(1, Ordering::SeqCst);
        listed.watches.clear();
        self.record.line("discovery: all open watches fall silent");
    }

    /// Lists a runner that has not been listed, in this state.
    pub fn add(&self, entry: Entry) {
        let (id, state) = (entry.id.clone(), entry.state.clone());
        self.listed.lock().unwrap().entries.push(entry);
        self.change(&id, &state);
    }

    /// Changes the state of a runner and writes it to all watches.
    pub fn change(&self, id: &str, state: &str) {
        let mut listed = self.listed.lock().unwrap();
        listed.generation += 1;
        let generation = listed.generation;
        let Some(entry) = listed.entries.iter_mut().find(|entry| entry.id == id) else { return };
        entry.state = state.to_owned();
        let entry = entry.clone();
        listed.log.push((generation, entry.clone()));
        let text = chunk(&line(generation, false, &[entry]));
        listed.watches.retain_mut(|watch| watch.write_all(text.as_bytes()).is_ok());
        let told = listed.watches.len();
        self.record
            .line(&format!("discovery: {id} is {state}, generation {generation}, written to {told} watches"));
    }
}

fn line(generation: u64, reset: bool, entries: &[Entry]) -> String {
    let entries: Vec<String> = entries.iter().map(Entry::json).collect();
    format!("{{\"generation\":{generation},\"reset\":{reset},\"instances\":[{}]}}\n", entries.join(","))
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

// Runners.

/// A job that a runner has taken.
#[derive(Clone, Debug)]
pub struct Taken {
    pub id: String,
    pub runner: String,
    pub at: u64,
}

/// What runners of a case do.
#[derive(Clone)]
pub struct Habits {
    pub slots: usize,
    pub job_ms: (u64, u64),
    /// One way between dispatcher and runner.
    pub one_way: Duration,
    /// So many 202 in 100 are followed by a second one after this time.
    pub second_answers: (u64, Duration),
}

pub struct Runner {
    pub id: String,
    pub address: SocketAddr,
    pub habits: Habits,
    held: Mutex<HashSet<String>>,
    pub arrivals: Mutex<Vec<Taken>>,
    pub ran: Mutex<Vec<Taken>>,
    pub turned_away: AtomicU64,
    record: Arc<Record>,
    /// Where call-backs go for ids that begin with this text.
    back: Mutex<Vec<(String, SocketAddr)>>,
    rng: Mutex<Rng>,
    links: AtomicU64,
}

impl Runner {
    pub fn start(id: &str, habits: Habits, record: &Arc<Record>) -> Arc<Runner> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| unable(&e.to_string()));
        let runner = Arc::new(Runner {
            id: id.to_owned(),
            address: listener.local_addr().unwrap(),
            habits,
            held: Mutex::default(),
            arrivals: Mutex::default(),
            ran: Mutex::default(),
            turned_away: AtomicU64::new(0),
            record: record.clone(),
            back: Mutex::default(),
            rng: Mutex::new(Rng(0x9e37_79b9_7f4a_7c15
                ^ id.len() as u64
                ^ u64::from(id.as_bytes()[id.len() - 1]))),
            links: AtomicU64::new(0),
        });
        let this = runner.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let this = this.clone();
                thread::spawn(move || this.serve(stream));
            }
        });
        runner
    }

    pub fn call_back_to(&self, prefix: &str, address: SocketAddr) {
        self.back.lock().unwrap().push((prefix.to_owned(), address));
    }

    pub fn entry(&self, zone: &str) -> Entry {
        Entry {
            id: self.id.clone(),
            address: self.address,
            zone: zone.to_owned(),
            state: "up".to_owned(),
            started_ms: 0,
        }
    }

    fn load(&self) -> String {
        let held = self.held.lock().unwrap().len();
        let free = self.habits.slots.saturating_sub(held);
        format!("{{\"x0\":{free},\"queue\":0,\"inflight\":{held}}}")
    }

    /// Serves one connection. What is read or written here takes the time of one way, in order.
    fn serve(self: Arc<Self>, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        // Connections are numbered in the record.
        let link = format!("{} link {}", self.id, self.links.fetch_add(1, Ordering::SeqCst));
        let (out, outgoing) = mpsc::channel::<(Instant, Vec<u8>)>();
        let one_way = self.habits.one_way;
        let mut writer = stream.try_clone().unwrap();
        thread::spawn(move || {
            for (at, bytes) in outgoing {
                thread::sleep((at + one_way).saturating_duration_since(Instant::now()));
                if writer.write_all(&bytes).is_err() {
                    return;
                }
            }
            let _ = writer.shutdown(std::net::Shutdown::Both);
        });
        let (arrived, incoming) = mpsc::channel::<(Instant, Message)>();
        let mut reader = stream;
        thread::spawn(move || {
            let mut rest = Vec::new();
            while let Some(message) = read_message(&mut reader, &mut rest) {
                if arrived.send((Instant::now() + one_way, message)).is_err() {
                    return;
                }
            }
        });
        for (at, request) in incoming {
            thread::sleep(at.saturating_duration_since(Instant::now()));
            self.answer(&request, &link, &out);
        }
    }

    fn answer(self: &Arc<Self>, request: &Message, link: &str, out: &mpsc::Sender<(Instant, Vec<u8>)>) {
        let mut words = request.first.split(' ');
        let (method, target) = (words.next().unwrap_or_default(), words.next().unwrap_or_default());
        let now = Instant::now();
        let send = |text: String| drop(out.send((now, text.into_bytes())));
        match (method, target) {
            ("GET", "/healthz" | "/load") => {
                let body = self.load();
                send(format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()));
            }
            ("DELETE", target) => {
                let id = target.trim_start_matches("/jobs/");
                let known = self.held.lock().unwrap().remove(id);
                self.record.line(&format!("{link} job {id} given up, known={known}"));
                let status = if known { "200 OK" } else { "404 Not Found" };
                send(format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n"));
            }
            _ => {
                let id = request.header("x-request-id").to_owned();
                let taken = Taken { id: id.clone(), runner: self.id.clone(), at: self.record.now() };
                self.arrivals.lock().unwrap().push(taken.clone());
                let has_room = {
                    let mut held = self.held.lock().unwrap();
                    held.len() < self.habits.slots && held.insert(id.clone())
                };
                if !has_room {
                    self.turned_away.fetch_add(1, Ordering::SeqCst);
                    self.record.line(&format!("{link} job {id} turned away unstarted: 503"));
                    let load = self.load();
                    return send(format!(
                        "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nX-Load: {load}\r\nContent-Length: 0\r\n\r\n"
                    ));
                }
                self.record.line(&format!("{link} job {id} taken: 202"));
                self.ran.lock().unwrap().push(taken);
                let accepted = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n";
                send(accepted.to_owned());
                let (share, after) = self.habits.second_answers;
                let (draw, job) = {
                    let mut rng = self.rng.lock().unwrap();
                    let (from, to) = self.habits.job_ms;
                    (rng.below(100), from + rng.below(to - from + 1))
                };
                if draw < share {
                    self.record.line(&format!(
                        "{link} job {id}: a second 202 goes out {} ms after the first",
                        after.as_millis()
                    ));
                    let out = out.clone();
                    thread::spawn(move || {
                        thread::sleep(after);
                        let _ = out.send((Instant::now(), accepted.as_bytes().to_vec()));
                    });
                }
                let this = self.clone();
                thread::spawn(move || this.run(&id, job));
            }
        }
    }

    fn run(&self, id: &str, job: u64) {
        thread::sleep(ms(job));
        if !self.held.lock().unwrap().remove(id) {
            return;
        }
        self.record.line(&format!("{} job {id} done", self.id));
        let body = format!(
            "{{\"id\":\"{id}\",\"from\":\"{}\",\"state\":\"done\",\"result\":\"{id} by {}\",\"load\":{}}}",
            self.id,
            self.id,
            self.load()
        );
        let address =
            self.back.lock().unwrap().iter().find(|(prefix, _)| id.starts_with(prefix)).map(|b| b.1);
        let Some(address) = address else { return };
        thread::sleep(self.habits.one_way);
        for _ in 0..10 {
            if call(address, "POST /v1/job-events", "", &body, ms(2000)).is_some_and(|a| a.status() < 300) {
                return;
            }
            thread::sleep(ms(100));
        }
        self.record.line(&format!("{} job {id}: nobody has answered the call-back", self.id));
    }
}

/// One request on a connection of its own.
pub fn call(to: SocketAddr, line: &str, headers: &str, body: &str, timeout: Duration) -> Option<Message> {
    let mut stream = TcpStream::connect_timeout(&to, ms(500)).ok()?;
    let _ = stream.set_nodelay(true);
    stream.set_read_timeout(Some(timeout)).ok()?;
    let text = format!(
        "{line} HTTP/1.1\r\nHost: origin.svc\r\n{headers}Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(text.as_bytes()).ok()?;
    read_message(&mut stream, &mut Vec::new())
}

// Clients.

/// Counts of what clients were answered.
#[derive(Default)]
pub struct Tally {
    pub sent: AtomicU64,
    pub served: AtomicU64,
    pub refused: AtomicU64,
    pub failed: AtomicU64,
    pub unanswered: AtomicU64,
}

impl Tally {
    pub fn text(&self) -> String {
        let n = |count: &AtomicU64| count.load(Ordering::SeqCst);
        format!(
            "sent={} served={} refused={} failed={} unanswered={}",
            n(&self.sent),
            n(&self.served),
            n(&self.refused),
            n(&self.failed),
            n(&self.unanswered)
        )
    }
}

/// A client: one request at a time on a kept connection.
pub struct Client {
    to: SocketAddr,
    stream: Option<TcpStream>,
    record: Arc<Record>,
    tally: Arc<Tally>,
}

impl Client {
    pub fn new(to: SocketAddr, record: &Arc<Record>, tally: &Arc<Tally>) -> Client {
        Client { to, stream: None, record: record.clone(), tally: tally.clone() }
    }

    /// Sends a request and waits for its answer. If a kept connection was closed with nothing answered, the
    /// request is sent once more on a new one.
    pub fn request(&mut self, operation: &str, id: &str, deadline_ms: u64) -> u16 {
        self.tally.sent.fetch_add(1, Ordering::SeqCst);
        self.record.line(&format!("client sends {id} {operation} deadline={deadline_ms}"));
        let mut status = 0;
        for _ in 0..2 {
            let was_kept = self.stream.is_some();
            if self.stream.is_none() {
                self.stream = TcpStream::connect_timeout(&self.to, ms(500)).ok();
            }
            let answer = self.stream.as_mut().and_then(|stream| {
                let _ = stream.set_nodelay(true);
                stream.set_read_timeout(Some(ms(deadline_ms + 550))).ok()?;
                let text = format!(
                    "POST /{operation}/job HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: {id}\r\n\
                     X-Deadline-Ms: {deadline_ms}\r\nContent-Length: 4\r\n\r\nwork"
                );
                stream.write_all(text.as_bytes()).ok()?;
                read_message(stream, &mut Vec::new())
            });
            let closes = answer.as_ref().is_none_or(|a| a.header("connection").eq_ignore_ascii_case("close"));
            if closes {
                self.stream = None;
            }
            status = answer.as_ref().map_or(0, Message::status);
            if answer.is_some() || !was_kept {
                break;
            }
        }
        let (count, word) = match status {
            200 => (&self.tally.served, "served"),
            429 | 503 => (&self.tally.refused, "refused"),
            0 => (&self.tally.unanswered, "unanswered"),
            _ => (&self.tally.failed, "failed"),
        };
        count.fetch_add(1, Ordering::SeqCst);
        self.record.line(&format!("client of {id}: {word} {status}"));
        status
    }
}

// Dispatchers.

/// The command of the deploy file by which a dispatcher is run.
fn run_command() -> String {
    let text = fs::read_to_string("deploy/balancer.toml").unwrap_or_else(|e| unable(&e.to_string()));
    let line =
        text.lines().find(|line| line.starts_with("run =")).unwrap_or_else(|| unable("no run command"));
    line.split('"').nth(1).unwrap_or_else(|| unable("no run command")).to_owned()
}

pub struct Dispatcher {
    pub listen: SocketAddr,
    pub admin: SocketAddr,
    pub folder: PathBuf,
    pub child: Child,
}

/// Starts a dispatcher with this configuration, as the deploy file says. Its log goes to a file.
pub fn start_dispatcher(name: &str, folder: &PathBuf, listen: SocketAddr, admin: SocketAddr) -> Dispatcher {
    let log = fs::File::create(folder.join(format!("{name}.log"))).unwrap_or_else(|e| unable(&e.to_string()));
    let mut command = Command::new("/bin/sh");
    // It ends with this program, however that ends.
    unsafe {
        command.pre_exec(|| {
            prctl(PR_SET_PDEATHSIG, SIGKILL as u64);
            Ok(())
        })
    };
    let child = command
        .args(["-c", &run_command()])
        .env("RELAY_CONFIG", folder.join("config.json"))
        .env("RELAY_LISTEN", listen.to_string())
        .env("RELAY_ADMIN_ADDR", admin.to_string())
        .env("TMPDIR", folder)
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(log)
        .spawn()
        .unwrap_or_else(|error| unable(&error.to_string()));
    CHILDREN.lock().unwrap().push(child.id());
    Dispatcher { listen, admin, folder: folder.clone(), child }
}

/// An operator's call: one line, one answer.
pub fn operator(to: SocketAddr, line: &str) -> Option<String> {
    let mut stream = TcpStream::connect_timeout(&to, ms(500)).ok()?;
    stream.set_read_timeout(Some(ms(1000))).ok()?;
    stream.write_all(format!("{line}\n").as_bytes()).ok()?;
    let mut text = String::new();
    stream.read_to_string(&mut text).ok()?;
    Some(text)
}

impl Dispatcher {
    /// Waits until `status` is YES and, unless it takes over, `/healthz` answers 200.
    pub fn wait_ready(&self) {
        let end = Instant::now() + Duration::from_secs(12);
        while Instant::now() < end {
            let says_yes = operator(self.admin, "status").is_some_and(|text| text.starts_with("YES"));
            if says_yes
                && call(self.listen, "GET /healthz", "", "", ms(500)).is_some_and(|a| a.status() == 200)
            {
                return;
            }
            thread::sleep(ms(10));
        }
        unable("a dispatcher is not ready in time");
    }
}

/// The configuration of a small deployment.
pub struct Config {
    pub name: &'static str,
    pub index: usize,
    pub balancers: usize,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub probes: bool,
}

impl Config {
    pub fn write(&self, folder: &PathBuf) {
        let Config { name, index, balancers, listen, discovery, probes } = self;
        let text = format!(
            r#"{{"name":"{name}","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be96{index}",
"limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"known":{{"generation":0,"reset":true,"instances":[]}},
"settings":{{"balancers":{balancers},"selfIndex":{index},"myZone":"brisbane","localities":["brisbane","townsville"],
"registryMode":"subscribe","weights":"off","kinds":["box"],
"familyInfo":{{"classKind":[-1,-1],"classStretch":[1.25,1.25],"progress":0,"reportX0":"free slots","tellsStart":false}},
"operations":[
{{"name":"plan","effect":"idempotent","group":"all","memorySpan":5000000,"latencyObjective":600000,"clientTimeout":8000000,"billedValue":2.0,"lateBilledValue":0.2,"stream":false}},
{{"name":"book","effect":"at_most_once","group":"all","memorySpan":5000000,"latencyObjective":750000,"clientTimeout":5000000,"billedValue":2.0,"lateBilledValue":0.25,"stream":false}}],
"report":{{"fields":["x0","backlog","outstanding"],"how":"inline"}},
"limits":{{"cancel":true,"probes":{probes},"mostForwards":3,"dialTimeout":250000,"idleClose":60000000,"openCap":20000,"retryAfter":true,"maxRetryAfter":2000000,"secondCopies":false,"streamsPerConn":1}},
"invariants":{{"answerSlack":20000,"askWithin":10000000,"coldFrom":0.12,"warmWithin":24000000,"overloadFactor":3.0,"tipAfter":2000000,"drainGrace":500000}},
"prices":{{"crossZone":0.03,"handshake":0.08,"connection":0.08}}}}}}"#
        );
        fs::write(folder.join("config.json"), text).unwrap_or_else(|e| unable(&e.to_string()));
    }
}

/// The folder for the files of one dispatcher.
pub fn folder(root: &str, name: &str) -> PathBuf {
    let path = PathBuf::from(root).join(name);
    fs::create_dir_all(&path).unwrap_or_else(|e| unable(&e.to_string()));
    path
}
