//! Parts that the cases share: the record, HTTP messages, discovery, runners, clients, and the dispatcher's process.
//! Written from the published pages, with the standard library alone.

use std::collections::{BTreeMap, HashMap};
use std::fs::File;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// What was sent, answered and run, with the time since the start.
pub struct Record {
    file: Mutex<File>,
    start: Instant,
}

impl Record {
    pub fn new(path: &Path) -> Record {
        Record { file: Mutex::new(File::create(path).expect("record.txt")), start: Instant::now() }
    }

    pub fn ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let _ = writeln!(self.file.lock().unwrap(), "{:>6} {}", self.ms(), text.as_ref());
    }
}

/// A small generator, so that equal seeds give equal draws.
pub struct Rng(pub u64);

impl Rng {
    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0.wrapping_mul(0x2545_f491_4f6c_dd1d)
    }

    pub fn unit(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }

    pub fn between(&mut self, low: u64, high: u64) -> u64 {
        low + self.next() % (high - low + 1)
    }
}

/// A message: its first line, its headers by lower-case name, its body.
#[derive(Debug)]
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
        self.first.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }
}

/// Reads one message; `rest` holds what has been read beyond it. `None` at the end or a failure.
pub fn read_message(stream: &mut TcpStream, rest: &mut Vec<u8>) -> Option<Message> {
    let mut buffer = [0; 16 << 10];
    loop {
        if let Some(end) = rest.windows(4).position(|window| window == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&rest[..end]).into_owned();
            let mut lines = head.split("\r\n");
            let first = lines.next().unwrap_or_default().to_owned();
            let headers: HashMap<String, String> = lines
                .filter_map(|line| line.split_once(':'))
                .map(|(name, value)| (name.trim().to_ascii_lowercase(), value.trim().to_owned()))
                .collect();
            let length: usize = headers.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
            while rest.len() < end + 4 + length {
                let read = stream.read(&mut buffer).ok().filter(|read| *read > 0)?;
                rest.extend_from_slice(&buffer[..read]);
            }
            let body = rest[end + 4..end + 4 + length].to_vec();
            rest.drain(..end + 4 + length);
            return Some(Message { first, headers, body });
        }
        let read = stream.read(&mut buffer).ok().filter(|read| *read > 0)?;
        rest.extend_from_slice(&buffer[..read]);
    }
}

/// Answers with a status, further header lines and a body.
pub fn reply(stream: &mut TcpStream, status: &str, headers: &str, body: &str) -> bool {
    let text = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len());
    stream.write_all(text.as_bytes()).is_ok()
}

/// A listener on a free loopback port.
pub fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().unwrap();
    (listener, address)
}

/// A free loopback port for another process.
pub fn free_address() -> SocketAddr {
    listen().1
}

/// Calls `serve` in a thread of its own for each connection.
pub fn serve(listener: TcpListener, serve: impl Fn(TcpStream) + Send + Sync + 'static) {
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            let _ = stream.set_nodelay(true);
            let _ = thread::Builder::new().stack_size(256 << 10).spawn(move || serve(stream));
        }
    });
}

/// One runner on discovery's list.
#[derive(Clone)]
pub struct Entry {
    pub id: String,
    pub address: SocketAddr,
    pub lifecycle: &'static str,
    pub started_at_ms: u64,
    pub cell: i64,
}

impl Entry {
    fn json(&self) -> String {
        format!(
            "{{\"instanceId\":\"{}\",\"hostPort\":\"{}\",\"zone\":\"a\",\"machineType\":\"box\",\"cell\":{},\
             \"lifecycle\":\"{}\",\"weight\":1.0,\"startedAtMs\":{}}}",
            self.id, self.address, self.cell, self.lifecycle, self.started_at_ms
        )
    }
}

fn list_json(generation: u64, reset: bool, entries: &[Entry]) -> String {
    let items: Vec<String> = entries.iter().map(Entry::json).collect();
    format!("{{\"generation\":{generation},\"reset\":{reset},\"instances\":[{}]}}", items.join(","))
}

/// Discovery at one address: the whole list, and watches with an empty line every 2 s.
pub struct Discovery {
    pub address: SocketAddr,
    name: &'static str,
    record: Arc<Record>,
    state: Mutex<(u64, Vec<Entry>, Vec<TcpStream>)>,
    /// Until when it has more callers than it can serve: until then a call waits for 2.9 s and is answered 503.
    pub crowded_until: Mutex<Option<Instant>>,
    /// Closed for new calls, as another address has taken its place.
    pub is_replaced: AtomicBool,
}

impl Discovery {
    pub fn start(name: &'static str, entries: Vec<Entry>, record: &Arc<Record>) -> Arc<Discovery> {
        let (listener, address) = listen();
        let discovery = Arc::new(Discovery {
            address,
            name,
            record: record.clone(),
            state: Mutex::new((41, entries, Vec::new())),
            crowded_until: Mutex::new(None),
            is_replaced: AtomicBool::new(false),
        });
        let serving = discovery.clone();
        serve(listener, move |stream| serving.connection(stream));
        let beating = discovery.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_secs(2));
                beating.push("\n");
            }
        });
        discovery
    }

    fn connection(&self, mut stream: TcpStream) {
        let mut rest = Vec::new();
        while let Some(call) = read_message(&mut stream, &mut rest) {
            self.record.line(format!("discovery {} asked: {}", self.name, call.first));
            if self.is_replaced.load(Ordering::SeqCst) {
                return;
            }
            let is_crowded =
                || self.crowded_until.lock().unwrap().is_some_and(|until| Instant::now() < until);
            let since = Instant::now();
            while is_crowded() && since.elapsed() < Duration::from_millis(2_900) {
                thread::sleep(Duration::from_millis(10));
            }
            if is_crowded() {
                self.record.line(format!("discovery {} answers 503: too many callers", self.name));
                reply(&mut stream, "503 Service Unavailable", "", "");
                continue;
            }
            let mut state = self.state.lock().unwrap();
            let list = list_json(state.0, true, &state.1);
            self.record.line(format!("discovery {} answers", self.name));
            if call.first.contains("follow=1") {
                let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
                let line = format!("{head}{:x}\r\n{list}\n\r\n", list.len() + 1);
                if stream.write_all(line.as_bytes()).is_ok() {
                    state.2.push(stream.try_clone().unwrap());
                }
            } else {
                reply(&mut stream, "200 OK", "", &list);
            }
        }
    }

    /// Writes a line to all watches.
    fn push(&self, line: &str) {
        let mut state = self.state.lock().unwrap();
        let chunk = format!("{:x}\r\n{line}\r\n", line.len());
        state.2.retain_mut(|watch| watch.write_all(chunk.as_bytes()).is_ok());
    }

    /// Writes an empty line to all watches, as it does every 2 s.
    pub fn beat(&self) {
        self.record.line(format!("discovery {} writes an empty line", self.name));
        self.push("\n");
    }

    /// Takes no new calls and ends the open ones.
    pub fn close(&self) {
        self.is_replaced.store(true, Ordering::SeqCst);
        for watch in self.state.lock().unwrap().2.drain(..) {
            let _ = watch.shutdown(std::net::Shutdown::Both);
        }
    }

    /// Changes the state of a runner and tells all watches.
    pub fn change(&self, id: &str, lifecycle: &'static str) {
        let line = {
            let mut state = self.state.lock().unwrap();
            state.0 += 1;
            let generation = state.0;
            let Some(entry) = state.1.iter_mut().find(|entry| entry.id == id) else { return };
            entry.lifecycle = lifecycle;
            format!("{}\n", list_json(generation, false, &[entry.clone()]))
        };
        self.record.line(format!("discovery {}: {id} is {lifecycle}", self.name));
        self.push(&line);
    }
}

/// One operation of the settings.
pub struct Operation {
    pub name: &'static str,
    pub effect: &'static str,
    pub objective_ms: u64,
    pub timeout_ms: u64,
    pub value: f64,
}

/// The figures of the settings that differ between cases; the rest is that of a small deployment.
pub struct Settings {
    pub dispatchers: usize,
    pub operations: Vec<Operation>,
    pub forwards: u32,
    pub probes: bool,
    pub tells_start: bool,
    pub drain_grace_ms: u64,
    /// By how many times its running time a job's objective grows.
    pub stretch: f64,
    /// The budget of further forwards in any 2 s, where one is stated: a number, and a share of the invocations.
    pub budget: Option<(u32, f64)>,
    pub memory_mb: u64,
    pub sockets: u64,
}

/// The configuration file of a dispatcher.
pub fn configuration(
    settings: &Settings,
    index: usize,
    listen: SocketAddr,
    discovery: SocketAddr,
    known: &[Entry],
) -> String {
    let operations: Vec<String> = settings
        .operations
        .iter()
        .map(|operation| {
            format!(
                "{{\"name\":\"{}\",\"effect\":\"{}\",\"group\":\"cell\",\"memorySpan\":5000000,\
                 \"latencyObjective\":{},\"clientTimeout\":{},\"billedValue\":{:.1},\"lateBilledValue\":0.25,\
                 \"stream\":false}}",
                operation.name,
                operation.effect,
                operation.objective_ms * 1000,
                operation.timeout_ms * 1000,
                operation.value
            )
        })
        .collect();
    let kinds = vec!["-1"; settings.operations.len()].join(",");
    let stretches = vec![settings.stretch.to_string(); settings.operations.len()].join(",");
    let budget = settings.budget.map_or_else(String::new, |(floor, share)| {
        format!("\"extraFloor\":{floor},\"repeatRatio\":{share},\"extraWindow\":2000000,")
    });
    format!(
        "{{\"name\":\"n{index}\",\"listen\":\"{listen}\",\"discovery\":\"{discovery}\",\"seed\":\"8c1f30d27a5be964\",\
         \"limits\":{{\"cores\":1.0,\"memory_mb\":{},\"sockets\":{}}},\"known\":{},\
         \"settings\":{{\"balancers\":{},\"selfIndex\":{index},\"myZone\":\"a\",\"localities\":[\"a\"],\
         \"registryMode\":\"subscribe\",\"weights\":\"off\",\"kinds\":[\"box\"],\
         \"familyInfo\":{{\"classKind\":[{kinds}],\"classStretch\":[{stretches}],\"progress\":1000000,\"reportX0\":\"free slots\",\
         \"tellsStart\":{}}},\"operations\":[{}],\
         \"report\":{{\"fields\":[\"x0\",\"backlog\",\"outstanding\"],\"how\":\"inline\"}},\
         \"limits\":{{\"cancel\":true,\"probes\":{},\"mostForwards\":{},\"dialTimeout\":250000,\
         \"idleClose\":60000000,\"openCap\":20000,\"retryAfter\":true,\"maxRetryAfter\":2000000,\
         \"secondCopies\":false}},\
         \"invariants\":{{{budget}\"askWithin\":10000000,\"coldFrom\":0.3,\"warmWithin\":8700000,\"overloadFactor\":4.0,\
         \"tipAfter\":3000000,\"drainGrace\":{}}},\
         \"prices\":{{\"crossZone\":0,\"handshake\":0.02,\"connection\":0}}}}}}",
        settings.memory_mb,
        settings.sockets,
        list_json(41, true, known),
        settings.dispatchers,
        settings.tells_start,
        operations.join(","),
        settings.probes,
        settings.forwards,
        settings.drain_grace_ms * 1000
    )
}

/// The folders of a run: the root of the repository, the case, and a temporary one.
pub struct Place {
    pub root: PathBuf,
    pub folder: PathBuf,
    pub temporary: PathBuf,
    /// `run` of the deploy file.
    pub run: String,
}

/// A dispatcher that this test started.
pub struct Dispatcher {
    pub child: Child,
    pub configuration: PathBuf,
}

impl Dispatcher {
    /// Starts `run` of the deploy file and waits until it reports itself ready.
    pub fn start(
        place: &Place,
        name: &str,
        text: &str,
        listen: SocketAddr,
        record: &Record,
    ) -> Option<Dispatcher> {
        let configuration = place.temporary.join(format!("{name}.json"));
        std::fs::write(&configuration, text).ok()?;
        let scratch = place.temporary.join(format!("{name}-tmp"));
        std::fs::create_dir_all(&scratch).ok()?;
        let log = File::create(place.temporary.join(format!("{name}.log"))).ok()?;
        let child = Command::new("/bin/sh")
            .args(["-c", &place.run])
            .current_dir(&place.root)
            .env("RELAY_NAME", name)
            .env("RELAY_LISTEN", listen.to_string())
            .env("RELAY_CONFIG", &configuration)
            .env("TMPDIR", &scratch)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .ok()?;
        let pids = std::fs::OpenOptions::new().create(true).append(true).open(place.temporary.join("pids"));
        let _ = pids.and_then(|mut pids| writeln!(pids, "{}", child.id()));
        let mut dispatcher = Dispatcher { child, configuration };
        let began = Instant::now();
        while began.elapsed() < Duration::from_secs(20) {
            let answer = TcpStream::connect(listen).ok().and_then(|mut stream| {
                stream.set_read_timeout(Some(Duration::from_secs(2))).ok()?;
                stream.write_all(b"GET /healthz HTTP/1.1\r\nHost: o\r\n\r\n").ok()?;
                read_message(&mut stream, &mut Vec::new())
            });
            if answer.is_some_and(|answer| answer.status() == 200) {
                record.line(format!("dispatcher {name} is ready"));
                return Some(dispatcher);
            }
            thread::sleep(Duration::from_millis(50));
        }
        dispatcher.end();
        None
    }

    pub fn signal(&self, name: &str) {
        let call = format!("kill -{name} {}", self.child.id());
        let _ = Command::new("/bin/sh").args(["-c", &call]).status();
    }

    pub fn end(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Whether it still runs.
    pub fn is_up(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Dispatcher {
    fn drop(&mut self) {
        self.end();
    }
}

/// What a client got: the status (0 for none, 1 for a body that no runner made for it) and the time in milliseconds.
pub struct Answer {
    pub status: u16,
    pub ms: u64,
}

/// Sends one request on a connection of its own and waits for the answer, at most half a second beyond its time.
pub fn post(listen: SocketAddr, path: &str, id: &str, timeout_ms: u64) -> Answer {
    let began = Instant::now();
    let answer = TcpStream::connect(listen).ok().and_then(|mut stream| {
        stream.set_read_timeout(Some(Duration::from_millis(timeout_ms + 500))).ok()?;
        let request = format!(
            "POST /{path} HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: {timeout_ms}\r\n\
             Content-Length: 2\r\n\r\nhi"
        );
        stream.write_all(request.as_bytes()).ok()?;
        read_message(&mut stream, &mut Vec::new())
    });
    let ms = began.elapsed().as_millis() as u64;
    let is_foreign =
        |answer: &Message| answer.status() == 200 && answer.body != format!("r-{id}").into_bytes();
    let status = answer.map_or(0, |answer| if is_foreign(&answer) { 1 } else { answer.status() });
    Answer { status, ms }
}

/// What happened to the jobs, by request id.
#[derive(Default)]
pub struct Ledger {
    /// By the last part of the path, which says what the job is about: when it began to run, on which runner, for
    /// which request id, and its operation.
    pub starts: BTreeMap<String, Vec<(u64, String, String, String)>>,
    /// What clients were answered.
    pub answers: BTreeMap<String, u16>,
    /// Requests sent by clients.
    pub sent: u64,
}

/// How the runners of a case behave.
pub struct RunnerBehaviour {
    pub slots: usize,
    /// How long the jobs of each operation run, from and to.
    pub run_ms: Vec<(&'static str, u64, u64)>,
    /// Places in the waiting room. A job that has waited there for `hand_back_after_ms` is handed back unstarted.
    pub places: usize,
    pub hand_back_after_ms: u64,
    /// Pause before a call to the dispatcher is tried again.
    pub call_again_ms: u64,
    pub tells_start: bool,
}

/// A job that a runner holds.
struct Job {
    /// Whether it runs, or waits for a slot.
    runs: bool,
    /// Where its calls go: the dispatcher that sent it.
    call_back: SocketAddr,
    /// Tells it from a later job for the same request.
    serial: u64,
}

/// A runner: takes jobs, runs at most `slots` at once, and tells the dispatcher what becomes of them.
pub struct Runner {
    pub id: String,
    /// Its address for each dispatcher.
    addresses: Vec<SocketAddr>,
    behaviour: Arc<RunnerBehaviour>,
    record: Arc<Record>,
    ledger: Arc<Mutex<Ledger>>,
    /// The jobs that it holds, and whether they run.
    held: Mutex<HashMap<String, Job>>,
    rng: Mutex<Rng>,
    /// The requests that it was sent, with the times.
    pub received: Mutex<Vec<(u64, String)>>,
    /// Its process has ended.
    has_ended: AtomicBool,
    serial: AtomicU64,
}

impl Runner {
    pub fn start(
        id: &str,
        call_backs: &[SocketAddr],
        behaviour: &Arc<RunnerBehaviour>,
        record: &Arc<Record>,
        ledger: &Arc<Mutex<Ledger>>,
        seed: u64,
    ) -> Arc<Runner> {
        let listeners: Vec<(TcpListener, SocketAddr)> = call_backs.iter().map(|_| listen()).collect();
        let runner = Arc::new(Runner {
            id: id.to_owned(),
            addresses: listeners.iter().map(|(_, address)| *address).collect(),
            behaviour: behaviour.clone(),
            record: record.clone(),
            ledger: ledger.clone(),
            held: Mutex::default(),
            rng: Mutex::new(Rng(seed)),
            received: Mutex::default(),
            has_ended: AtomicBool::new(false),
            serial: AtomicU64::new(0),
        });
        for ((listener, _), call_back) in listeners.into_iter().zip(call_backs.to_vec()) {
            let serving = runner.clone();
            serve(listener, move |stream| serving.clone().connection(stream, call_back));
        }
        runner
    }

    /// Its entry on the list of a dispatcher.
    pub fn entry(&self, dispatcher: usize) -> Entry {
        Entry {
            id: self.id.clone(),
            address: self.addresses[dispatcher],
            lifecycle: "up",
            started_at_ms: 0,
            cell: 0,
        }
    }

    fn load(&self) -> String {
        let held = self.held.lock().unwrap();
        let running = held.values().filter(|job| job.runs).count();
        let (free, waiting) = (self.behaviour.slots - running, held.len() - running);
        format!("{{\"x0\":{free},\"queue\":{waiting},\"inflight\":{}}}", held.len())
    }

    fn connection(self: Arc<Runner>, mut stream: TcpStream, call_back: SocketAddr) {
        let mut rest = Vec::new();
        while let Some(request) = read_message(&mut stream, &mut rest) {
            if self.has_ended.load(Ordering::SeqCst) {
                return;
            }
            let load = self.load();
            let method = request.first.split(' ').next().unwrap_or_default();
            if method == "GET" {
                reply(&mut stream, "200 OK", "", &load);
                continue;
            }
            if method == "DELETE" {
                let id = request
                    .first
                    .split(' ')
                    .nth(1)
                    .unwrap_or_default()
                    .trim_start_matches("/jobs/")
                    .to_owned();
                let known = self.held.lock().unwrap().remove(&id).is_some();
                self.record.line(format!("{} DELETE {id} known={known}", self.id));
                reply(&mut stream, if known { "204 No Content" } else { "404 Not Found" }, "", "");
                continue;
            }
            let id = request.header("x-request-id").to_owned();
            self.received.lock().unwrap().push((self.record.ms(), id.clone()));
            let serial = self.serial.fetch_add(1, Ordering::SeqCst);
            let taken = {
                let mut held = self.held.lock().unwrap();
                let room = self.behaviour.slots + self.behaviour.places;
                let may = held.len() < room && !held.contains_key(&id);
                if may {
                    held.insert(id.clone(), Job { runs: false, call_back, serial });
                }
                may
            };
            if !taken {
                self.record.line(format!("{} turns away {id}", self.id));
                let headers = format!("X-Not-Run: 1\r\nX-Load: {load}\r\n");
                reply(&mut stream, "503 Service Unavailable", &headers, "");
                continue;
            }
            self.record.line(format!("{} takes {id}", self.id));
            reply(&mut stream, "202 Accepted", "", "");
            let path = request.first.split(' ').nth(1).unwrap_or_default().to_owned();
            let runner = self.clone();
            let _ = thread::Builder::new()
                .stack_size(256 << 10)
                .spawn(move || runner.job(id, path, serial, call_back));
        }
    }

    /// Ends its process. The machine's agent tells which jobs died with it, and the ids are returned.
    pub fn end(&self) -> Vec<String> {
        self.has_ended.store(true, Ordering::SeqCst);
        let jobs: Vec<(String, Job)> = self.held.lock().unwrap().drain().collect();
        let killed: Vec<String> = jobs.iter().map(|(id, _)| id.clone()).collect();
        self.record.line(format!("{} ends with the jobs {killed:?}", self.id));
        jobs.iter().for_each(|(id, job)| self.call(id, job.call_back, "lost", ""));
        killed
    }

    fn is_held(&self, id: &str, serial: u64) -> bool {
        self.held.lock().unwrap().get(id).is_some_and(|job| job.serial == serial)
    }

    /// Gives up the place of a job. Whether it was still held.
    fn drop_job(&self, id: &str, serial: u64) -> bool {
        let mut held = self.held.lock().unwrap();
        let is_held = held.get(id).is_some_and(|job| job.serial == serial);
        if is_held {
            held.remove(id);
        }
        is_held
    }

    /// Gives the job a slot if one is free. `None` if it is no longer held.
    fn take_slot(&self, id: &str, serial: u64) -> Option<bool> {
        let mut held = self.held.lock().unwrap();
        let is_free = held.values().filter(|job| job.runs).count() < self.behaviour.slots;
        held.get_mut(id).filter(|job| job.serial == serial)?.runs = is_free;
        Some(is_free)
    }

    fn job(self: Arc<Runner>, id: String, path: String, serial: u64, call_back: SocketAddr) {
        let times =
            self.behaviour.run_ms.iter().find(|(operation, ..)| path.starts_with(&format!("/{operation}")));
        let (_, low, high) = *times.expect("an operation of the settings");
        let run_ms = self.rng.lock().unwrap().between(low, high);
        let since = Instant::now();
        loop {
            match self.take_slot(&id, serial) {
                Some(true) => break,
                None => return self.record.line(format!("{} drops {id}", self.id)),
                Some(false)
                    if since.elapsed() >= Duration::from_millis(self.behaviour.hand_back_after_ms) =>
                {
                    self.drop_job(&id, serial);
                    self.record.line(format!("{} hands back {id} unstarted", self.id));
                    return self.call(&id, call_back, "returned", "");
                }
                Some(false) => thread::sleep(Duration::from_millis(5)),
            }
        }
        self.record.line(format!("{} RUNS {id}", self.id));
        let key = path.rsplit('/').next().unwrap_or_default().to_owned();
        self.ledger.lock().unwrap().starts.entry(key).or_default().push((
            self.record.ms(),
            self.id.clone(),
            id.clone(),
            path.split('/').nth(1).unwrap_or_default().to_owned(),
        ));
        if self.behaviour.tells_start {
            let (runner, id) = (self.clone(), id.clone());
            thread::spawn(move || runner.call(&id, call_back, "started", ""));
        }
        let until = Instant::now() + Duration::from_millis(run_ms);
        let mut next = Instant::now() + Duration::from_secs(1);
        while Instant::now() < until {
            thread::sleep(until.min(next).saturating_duration_since(Instant::now()));
            if !self.is_held(&id, serial) {
                return self.record.line(format!("{} stops {id}", self.id));
            }
            if Instant::now() >= next && Instant::now() < until {
                next += Duration::from_secs(1);
                let (runner, id) = (self.clone(), id.clone());
                thread::spawn(move || runner.call(&id, call_back, "running", ",\"share\":0.5"));
            }
        }
        if self.drop_job(&id, serial) {
            self.record.line(format!("{} ends {id}", self.id));
            self.call(&id, call_back, "done", &format!(",\"result\":\"r-{id}\""));
        }
    }

    /// Tries a call until it is answered, ten times at most.
    fn call(&self, id: &str, call_back: SocketAddr, state: &str, more: &str) {
        let body = format!(
            "{{\"id\":\"{id}\",\"from\":\"{}\",\"state\":\"{state}\"{more},\"load\":{}}}",
            self.id,
            self.load()
        );
        for attempt in 1..=10 {
            let answer = TcpStream::connect(call_back).ok().and_then(|mut stream| {
                stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
                let head = "POST /v1/job-events HTTP/1.1\r\nHost: d\r\nContent-Type: application/json\r\n";
                stream
                    .write_all(format!("{head}Content-Length: {}\r\n\r\n{body}", body.len()).as_bytes())
                    .ok()?;
                read_message(&mut stream, &mut Vec::new())
            });
            let status = answer.map_or(0, |answer| answer.status());
            self.record.line(format!("{} tells {id} {state}, try {attempt}: {status}", self.id));
            if status == 200 || status == 204 {
                return;
            }
            thread::sleep(Duration::from_millis(self.behaviour.call_again_ms));
        }
    }
}

/// A relay for the runners' calls. While `loses` is set, 28% of the answers to calls are lost: the dispatcher has
/// read and answered the call, and the connection to the runner ends before the answer.
pub struct CallRelay {
    pub address: SocketAddr,
    pub loses: AtomicBool,
    draws: Mutex<Rng>,
    pub lost: AtomicU64,
}

impl CallRelay {
    pub fn start(dispatcher: SocketAddr, record: &Arc<Record>) -> Arc<CallRelay> {
        let (listener, address) = listen();
        let relay = Arc::new(CallRelay {
            address,
            loses: AtomicBool::new(false),
            draws: Mutex::new(Rng(4711)),
            lost: AtomicU64::new(0),
        });
        let (serving, record) = (relay.clone(), record.clone());
        serve(listener, move |mut stream| {
            let Some(call) = read_message(&mut stream, &mut Vec::new()) else { return };
            let Ok(mut onward) = TcpStream::connect(dispatcher) else { return };
            let _ = onward.set_read_timeout(Some(Duration::from_secs(1)));
            let head = format!("{}\r\nHost: d\r\nContent-Length: {}\r\n\r\n", call.first, call.body.len());
            let sent = onward.write_all(head.as_bytes()).and_then(|()| onward.write_all(&call.body));
            let answer = sent.ok().and_then(|()| read_message(&mut onward, &mut Vec::new()));
            let Some(answer) = answer else { return };
            let is_drawn = serving.draws.lock().unwrap().unit() < 0.28;
            if serving.loses.load(Ordering::SeqCst) && is_drawn {
                serving.lost.fetch_add(1, Ordering::SeqCst);
                return record
                    .line(format!("relay loses the answer to {}", String::from_utf8_lossy(&call.body)));
            }
            reply(&mut stream, &answer.first["HTTP/1.1 ".len()..], "", "");
        });
        relay
    }
}
