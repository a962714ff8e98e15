//! A minimal dispatcher for the judge's tests that breaks at most one rule.
//!
//! The environment variable `LAB_FAULTY` names the fault. Without it the program breaks no rule, which shows
//! that the judge accepts correct dispatchers that differ from topazsail. It implements the platform's
//! protocol by itself: it must never share code with topazsail, nor be used for anything else.

use std::collections::{BTreeMap, HashMap};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::Value;

/// A runner as discovery lists it.
#[derive(Clone)]
struct Runner {
    address: String,
    zone: String,
    up: bool,
    /// When discovery first listed it as started; `None` for a runner that was up before the run.
    cold_since: Option<Instant>,
}

/// State shared by all threads.
struct Shared {
    /// The fault, from `LAB_FAULTY`.
    fault: String,
    /// Effect and deduplication scope of each operation.
    operations: HashMap<String, (String, String)>,
    runners: Mutex<BTreeMap<String, Runner>>,
    /// Channels for call-backs, by invocation: state and result.
    waiters: Mutex<HashMap<String, Sender<(String, String)>>>,
    /// Round-robin counter.
    next_runner: Mutex<usize>,
}

/// A request or a response.
struct Message {
    /// The request line or status line.
    first_line: String,
    headers: Vec<(String, String)>,
    body: String,
}

impl Message {
    fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(known, _)| known.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }
}

/// Reads a message; `None` if the connection ended or the message is malformed.
fn receive(reader: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let (first_line, mut headers) = (line.trim_end().to_owned(), Vec::new());
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        let Some((name, value)) = line.trim_end().split_once(':') else { break };
        headers.push((name.to_owned(), value.trim().to_owned()));
    }
    let mut message = Message { first_line, headers, body: String::new() };
    let length = message.header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    message.body = String::from_utf8_lossy(&body).into_owned();
    Some(message)
}

/// Formats a response.
fn answer(status: u16, body: &str) -> String {
    format!("HTTP/1.1 {status} .\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

/// Sends a request on a new connection and returns the response; `None` if the connection failed.
fn exchange(address: &str, message: &str) -> Option<Message> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(20))).ok()?;
    stream.write_all(message.as_bytes()).ok()?;
    receive(&mut BufReader::new(stream))
}

/// How a forward ended.
enum ForwardResult {
    /// Succeeded with this result.
    Done(String),
    /// Certainly not run.
    NeverRan,
    /// May have run.
    MayHaveRun,
    /// Not ended before the client's deadline.
    Late,
}

impl Shared {
    /// Returns whether this is the selected fault.
    fn has_fault(&self, fault: &str) -> bool {
        self.fault == fault
    }

    /// Chooses the next runner by round robin; only within a zone, if one is given.
    fn choose(&self, zone: Option<&str>) -> Option<(String, Runner)> {
        let runners = self.runners.lock().unwrap();
        let fits = |runner: &Runner| {
            let is_cold = runner.cold_since.is_some_and(|since| since.elapsed() < Duration::from_secs(20));
            let fits_warmth = if self.has_fault("floods-cold") { true } else { !is_cold };
            (runner.up || self.has_fault("sends-to-draining"))
                && fits_warmth
                && zone.is_none_or(|zone| runner.zone == zone)
        };
        let mut candidates: Vec<_> = runners.iter().filter(|(_, runner)| fits(runner)).collect();
        if self.has_fault("floods-cold") && candidates.iter().any(|(_, runner)| runner.cold_since.is_some()) {
            candidates.retain(|(_, runner)| runner.cold_since.is_some());
        }
        let mut next_runner = self.next_runner.lock().unwrap();
        *next_runner += 1;
        candidates
            .get(*next_runner % candidates.len().max(1))
            .map(|(id, runner)| ((*id).clone(), (*runner).clone()))
    }

    /// Forwards to a runner and waits for the result.
    fn forward(
        &self,
        incoming: &Message,
        id: &str,
        runner: &Runner,
        call_backs: &Receiver<(String, String)>,
        deadline: Instant,
    ) -> ForwardResult {
        let path = incoming.first_line.split(' ').nth(1).unwrap_or("/");
        let key_header = incoming.header("idempotency-key").map(|key| format!("Idempotency-Key: {key}\r\n"));
        let message = format!(
            "POST {path} HTTP/1.1\r\nX-Request-Id: {id}\r\n{}Content-Length: {}\r\n\r\n{}",
            key_header.unwrap_or_default(),
            incoming.body.len(),
            incoming.body
        );
        let Ok(mut stream) = TcpStream::connect(&runner.address) else { return ForwardResult::NeverRan };
        if stream.write_all(message.as_bytes()).is_err() {
            return ForwardResult::MayHaveRun;
        }
        let time_left = deadline.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
        let _ = stream.set_read_timeout(Some(time_left));
        match receive(&mut BufReader::new(stream)) {
            Some(response) if response.first_line.contains(" 202") => {}
            Some(response) if response.header("x-not-run") == Some("1") => return ForwardResult::NeverRan,
            _ if Instant::now() >= deadline => return ForwardResult::Late,
            _ => return ForwardResult::MayHaveRun,
        }
        loop {
            match call_backs.recv_timeout(deadline.saturating_duration_since(Instant::now())) {
                Err(_) => return ForwardResult::Late,
                Ok((state, result)) => match state.as_str() {
                    "done" => return ForwardResult::Done(result),
                    "returned" => return ForwardResult::NeverRan,
                    "failed" | "lost" => return ForwardResult::MayHaveRun,
                    _ => {}
                },
            }
        }
    }

    /// Runs an invocation with up to three forwards. Returns the status and body of the answer.
    fn invoke(&self, incoming: &Message, id: &str) -> (u16, String) {
        let time_left: u64 =
            incoming.header("x-deadline-ms").and_then(|text| text.parse().ok()).unwrap_or(1000);
        // 80 ms before the client's deadline, so that the answer arrives in time.
        let deadline = Instant::now() + Duration::from_millis(time_left.saturating_sub(80));
        let name = incoming.first_line.split(' ').nth(1).unwrap_or("/").trim_start_matches('/').to_owned();
        let Some((effect, scope)) = self.operations.get(&name).cloned() else { return (404, String::new()) };
        let (sender, call_backs) = channel();
        self.waiters.lock().unwrap().insert(id.to_owned(), sender);
        let mut bound_zone: Option<String> = None;
        let mut last_result = ForwardResult::NeverRan;
        for _ in 0..3 {
            if Instant::now() >= deadline {
                break;
            }
            let Some((_, runner)) = self.choose(bound_zone.as_deref()) else { break };
            if self.has_fault("two-out")
                && let Some((_, other)) = self.choose(None)
            {
                let path = incoming.first_line.split(' ').nth(1).unwrap_or("/");
                let length = incoming.body.len();
                let message = format!(
                    "POST {path} HTTP/1.1\r\nX-Request-Id: {id}\r\nContent-Length: {length}\r\n\r\n{}",
                    incoming.body
                );
                let _ = exchange(&other.address, &message);
            }
            last_result = self.forward(incoming, id, &runner, &call_backs, deadline);
            match last_result {
                ForwardResult::Done(_) | ForwardResult::Late => break,
                ForwardResult::NeverRan => {}
                ForwardResult::MayHaveRun if effect == "idempotent" => {}
                ForwardResult::MayHaveRun if effect == "deduplicated" => {
                    bound_zone = (scope != "all").then(|| runner.zone.clone()).or(bound_zone);
                }
                ForwardResult::MayHaveRun if self.has_fault("repeats-unsafe") => {}
                ForwardResult::MayHaveRun => break,
            }
        }
        if let ForwardResult::Late = last_result
            && effect != "at_most_once"
        {
            // The client no longer waits: the job is cancelled at every runner.
            self.runners.lock().unwrap().values().for_each(|runner| {
                let address = runner.address.clone();
                let message = format!("DELETE /jobs/{id} HTTP/1.1\r\nContent-Length: 0\r\n\r\n");
                thread::spawn(move || exchange(&address, &message));
            });
        }
        self.waiters.lock().unwrap().remove(id);
        let may_have_run =
            bound_zone.is_some() || matches!(last_result, ForwardResult::MayHaveRun | ForwardResult::Late);
        match last_result {
            ForwardResult::Done(_) if self.has_fault("forges") => (200, "made up".to_owned()),
            ForwardResult::Done(result) => (200, result),
            _ if effect == "idempotent" || !may_have_run => (429, String::new()),
            _ if self.has_fault("throttles-unsafe") => (429, String::new()),
            _ => (502, String::new()),
        }
    }

    /// Answers the requests on a connection.
    fn serve(&self, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Some(incoming) = receive(&mut reader) {
            let path = incoming.first_line.split(' ').nth(1).unwrap_or("/");
            let reply = match path {
                "/healthz" => answer(200, ""),
                "/v1/job-events" => {
                    let event: Value = serde_json::from_str(&incoming.body).unwrap_or_default();
                    let text = |name: &str| event[name].as_str().unwrap_or_default().to_owned();
                    if let Some(waiter) = self.waiters.lock().unwrap().get(&text("id")) {
                        let _ = waiter.send((text("state"), text("result")));
                    }
                    answer(200, "")
                }
                _ => {
                    let id = incoming.header("x-request-id").unwrap_or_default().to_owned();
                    if self.has_fault("drops-some") && id.ends_with("31") {
                        return;
                    }
                    let (status, body) = self.invoke(&incoming, &id);
                    if self.has_fault("answers-late") && status == 200 {
                        // Longer than the client timeout of the judge's tests.
                        thread::sleep(Duration::from_millis(2300));
                    }
                    if self.has_fault("answers-twice") {
                        let _ = writer.write_all(answer(status, &body).as_bytes());
                    }
                    answer(status, &body)
                }
            };
            if writer.write_all(reply.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Updates the runners from discovery's watch until it ends.
    fn watch(&self, discovery: &str) -> Option<()> {
        let mut stream = TcpStream::connect(discovery).ok()?;
        stream.write_all(b"GET /v1/servers?follow=1&since=0 HTTP/1.1\r\n\r\n").ok()?;
        for line in BufReader::new(stream).lines() {
            let Ok(list) = serde_json::from_str::<Value>(&line.ok()?) else { continue };
            let mut runners = self.runners.lock().unwrap();
            for instance in list["instances"].as_array().into_iter().flatten() {
                let text = |name: &str| instance[name].as_str().unwrap_or_default().to_owned();
                let is_cold = instance["startedAtMs"].as_i64().unwrap_or(0) > 0;
                let runner = Runner {
                    address: text("hostPort"),
                    zone: text("zone"),
                    up: text("lifecycle") == "up",
                    cold_since: is_cold.then(Instant::now),
                };
                runners.insert(text("instanceId"), runner);
            }
        }
        Some(())
    }
}

fn main() {
    let config = std::env::args().skip_while(|word| word != "--config").nth(1).expect("--config FILE");
    let config: Value =
        serde_json::from_str(&std::fs::read_to_string(config).expect("a file")).expect("JSON");
    let text = |value: &Value| value.as_str().unwrap_or_default().to_owned();
    let operations = config["settings"]["operations"].as_array().cloned().unwrap_or_default();
    let operations =
        operations.iter().map(|op| (text(&op["name"]), (text(&op["effect"]), text(&op["group"])))).collect();
    let shared = Arc::new(Shared {
        fault: std::env::var("LAB_FAULTY").unwrap_or_default(),
        operations,
        runners: Mutex::default(),
        waiters: Mutex::default(),
        next_runner: Mutex::default(),
    });
    let listener = TcpListener::bind(text(&config["listen"])).expect("a free address");
    let (watching, discovery) = (shared.clone(), text(&config["discovery"]));
    thread::spawn(move || {
        loop {
            let _ = watching.watch(&discovery);
            thread::sleep(Duration::from_millis(100));
        }
    });
    // Connections are accepted only once the list has been received.
    while shared.runners.lock().unwrap().is_empty() {
        thread::sleep(Duration::from_millis(5));
    }
    for stream in listener.incoming().flatten() {
        let shared = shared.clone();
        thread::spawn(move || shared.serve(stream));
    }
}
