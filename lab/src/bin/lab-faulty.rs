//! A dispatcher made for the judge's tests: simple, right, and wrong in one way when told so.
//!
//! `LAB_FAULTY` names the one way: without it, it keeps all four rules, which shows that the judge does not
//! condemn what is only different from topazsail. It speaks the platform's protocol with its own few lines and
//! must never share code with the program that it stands beside, nor be used for anything else.

use std::collections::{BTreeMap, HashMap};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::Value;

#[derive(Clone)]
struct Runner {
    address: String,
    zone: String,
    up: bool,
    cold_since: Option<Instant>,
}

struct Shared {
    faulty: String,
    operations: HashMap<String, (String, String)>,
    runners: Mutex<BTreeMap<String, Runner>>,
    /// Whoever waits for a job's end.
    waits: Mutex<HashMap<String, Sender<(String, String)>>>,
    turn: Mutex<usize>,
}

struct Heard {
    first: String,
    headers: Vec<(String, String)>,
    body: String,
}

impl Heard {
    fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(known, _)| known.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }
}

fn hear(from: &mut BufReader<TcpStream>) -> Option<Heard> {
    let mut line = String::new();
    if from.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let (first, mut headers) = (line.trim_end().to_owned(), Vec::new());
    loop {
        let mut line = String::new();
        from.read_line(&mut line).ok()?;
        let Some((name, value)) = line.trim_end().split_once(':') else { break };
        headers.push((name.to_owned(), value.trim().to_owned()));
    }
    let mut heard = Heard { first, headers, body: String::new() };
    let length = heard.header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    from.read_exact(&mut body).ok()?;
    heard.body = String::from_utf8_lossy(&body).into_owned();
    Some(heard)
}

fn answer(status: u16, body: &str) -> String {
    format!("HTTP/1.1 {status} .\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

/// One bare exchange on a connection of its own; none where it broke.
fn exchange(address: &str, message: &str) -> Option<Heard> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(20))).ok()?;
    stream.write_all(message.as_bytes()).ok()?;
    hear(&mut BufReader::new(stream))
}

enum Came {
    Done(String),
    NeverRan,
    Perhaps,
    /// The client's time is over.
    Late,
}

impl Shared {
    fn is(&self, faulty: &str) -> bool {
        self.faulty == faulty
    }

    /// The next runner in turn; for a repeat inside a zone, there.
    fn choose(&self, zone: Option<&str>) -> Option<(String, Runner)> {
        let runners = self.runners.lock().unwrap();
        let fits = |runner: &Runner| {
            let cold = runner.cold_since.is_some_and(|since| since.elapsed() < Duration::from_secs(20));
            let wanted = if self.is("floods-cold") { true } else { !cold };
            (runner.up || self.is("sends-to-draining"))
                && wanted
                && zone.is_none_or(|zone| runner.zone == zone)
        };
        let mut open: Vec<_> = runners.iter().filter(|(_, runner)| fits(runner)).collect();
        if self.is("floods-cold") && open.iter().any(|(_, runner)| runner.cold_since.is_some()) {
            open.retain(|(_, runner)| runner.cold_since.is_some());
        }
        let mut turn = self.turn.lock().unwrap();
        *turn += 1;
        open.get(*turn % open.len().max(1)).map(|(id, runner)| ((*id).clone(), (*runner).clone()))
    }

    /// Forwards once and waits for what becomes of it.
    fn forward(
        &self,
        heard: &Heard,
        id: &str,
        runner: &Runner,
        ends: &Receiver<(String, String)>,
        until: Instant,
    ) -> Came {
        let path = heard.first.split(' ').nth(1).unwrap_or("/");
        let mark = heard.header("idempotency-key").map(|key| format!("Idempotency-Key: {key}\r\n"));
        let message = format!(
            "POST {path} HTTP/1.1\r\nX-Request-Id: {id}\r\n{}Content-Length: {}\r\n\r\n{}",
            mark.unwrap_or_default(),
            heard.body.len(),
            heard.body
        );
        let Ok(mut stream) = TcpStream::connect(&runner.address) else { return Came::NeverRan };
        if stream.write_all(message.as_bytes()).is_err() {
            return Came::Perhaps;
        }
        let left = until.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
        let _ = stream.set_read_timeout(Some(left));
        match hear(&mut BufReader::new(stream)) {
            Some(said) if said.first.contains(" 202") => {}
            Some(said) if said.header("x-not-run") == Some("1") => return Came::NeverRan,
            _ if Instant::now() >= until => return Came::Late,
            _ => return Came::Perhaps,
        }
        loop {
            match ends.recv_timeout(until.saturating_duration_since(Instant::now())) {
                Err(_) => return Came::Late,
                Ok((state, result)) => match state.as_str() {
                    "done" => return Came::Done(result),
                    "returned" => return Came::NeverRan,
                    "failed" | "lost" => return Came::Perhaps,
                    _ => {}
                },
            }
        }
    }

    fn invoke(&self, heard: &Heard, id: &str) -> (u16, String) {
        let left: u64 = heard.header("x-deadline-ms").and_then(|text| text.parse().ok()).unwrap_or(1000);
        let until = Instant::now() + Duration::from_millis(left.saturating_sub(80));
        let name = heard.first.split(' ').nth(1).unwrap_or("/").trim_start_matches('/').to_owned();
        let Some((effect, group)) = self.operations.get(&name).cloned() else { return (404, String::new()) };
        let (tell, ends) = channel();
        self.waits.lock().unwrap().insert(id.to_owned(), tell);
        let mut bound: Option<String> = None;
        let mut last = Came::NeverRan;
        for _ in 0..3 {
            if Instant::now() >= until {
                break;
            }
            let Some((_, runner)) = self.choose(bound.as_deref()) else { break };
            if self.is("two-out")
                && let Some((_, other)) = self.choose(None)
            {
                let path = heard.first.split(' ').nth(1).unwrap_or("/");
                let length = heard.body.len();
                let message = format!(
                    "POST {path} HTTP/1.1\r\nX-Request-Id: {id}\r\nContent-Length: {length}\r\n\r\n{}",
                    heard.body
                );
                let _ = exchange(&other.address, &message);
            }
            last = self.forward(heard, id, &runner, &ends, until);
            match last {
                Came::Done(_) | Came::Late => break,
                Came::NeverRan => {}
                Came::Perhaps if effect == "idempotent" => {}
                Came::Perhaps if effect == "deduplicated" => {
                    bound = (group != "all").then(|| runner.zone.clone()).or(bound);
                }
                Came::Perhaps if self.is("repeats-unsafe") => {}
                Came::Perhaps => break,
            }
        }
        if let Came::Late = last
            && effect != "at_most_once"
        {
            // Nobody waits any more: the job is given up wherever it is.
            self.runners.lock().unwrap().values().for_each(|runner| {
                let address = runner.address.clone();
                let message = format!("DELETE /jobs/{id} HTTP/1.1\r\nContent-Length: 0\r\n\r\n");
                thread::spawn(move || exchange(&address, &message));
            });
        }
        self.waits.lock().unwrap().remove(id);
        let perhaps = bound.is_some() || matches!(last, Came::Perhaps | Came::Late);
        match last {
            Came::Done(_) if self.is("forges") => (200, "made up".to_owned()),
            Came::Done(result) => (200, result),
            _ if effect == "idempotent" || !perhaps => (429, String::new()),
            _ if self.is("throttles-unsafe") => (429, String::new()),
            _ => (502, String::new()),
        }
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(mut say) = stream.try_clone() else { return };
        let mut from = BufReader::new(stream);
        while let Some(heard) = hear(&mut from) {
            let path = heard.first.split(' ').nth(1).unwrap_or("/");
            let said = match path {
                "/healthz" => answer(200, ""),
                "/v1/job-events" => {
                    let told: Value = serde_json::from_str(&heard.body).unwrap_or_default();
                    let text = |name: &str| told[name].as_str().unwrap_or_default().to_owned();
                    if let Some(waits) = self.waits.lock().unwrap().get(&text("id")) {
                        let _ = waits.send((text("state"), text("result")));
                    }
                    answer(200, "")
                }
                _ => {
                    let id = heard.header("x-request-id").unwrap_or_default().to_owned();
                    if self.is("drops-some") && id.ends_with("31") {
                        return;
                    }
                    let (status, body) = self.invoke(&heard, &id);
                    if self.is("answers-late") && status == 200 {
                        thread::sleep(Duration::from_millis(2300));
                    }
                    if self.is("answers-twice") {
                        let _ = say.write_all(answer(status, &body).as_bytes());
                    }
                    answer(status, &body)
                }
            };
            if say.write_all(said.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Keeps the list by the watch.
    fn watch(&self, discovery: &str) -> Option<()> {
        let mut stream = TcpStream::connect(discovery).ok()?;
        stream.write_all(b"GET /v1/servers?follow=1&since=0 HTTP/1.1\r\n\r\n").ok()?;
        for line in BufReader::new(stream).lines() {
            let Ok(list) = serde_json::from_str::<Value>(&line.ok()?) else { continue };
            let mut runners = self.runners.lock().unwrap();
            for instance in list["instances"].as_array().into_iter().flatten() {
                let text = |name: &str| instance[name].as_str().unwrap_or_default().to_owned();
                let cold = instance["startedAtMs"].as_i64().unwrap_or(0) > 0;
                let runner = Runner {
                    address: text("hostPort"),
                    zone: text("zone"),
                    up: text("lifecycle") == "up",
                    cold_since: cold.then(Instant::now),
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
        faulty: std::env::var("LAB_FAULTY").unwrap_or_default(),
        operations,
        runners: Mutex::default(),
        waits: Mutex::default(),
        turn: Mutex::default(),
    });
    let listener = TcpListener::bind(text(&config["listen"])).expect("a free address");
    let (watching, discovery) = (shared.clone(), text(&config["discovery"]));
    thread::spawn(move || {
        loop {
            let _ = watching.watch(&discovery);
            thread::sleep(Duration::from_millis(100));
        }
    });
    // Ready once the list is there.
    while shared.runners.lock().unwrap().is_empty() {
        thread::sleep(Duration::from_millis(5));
    }
    for stream in listener.incoming().flatten() {
        let shared = shared.clone();
        thread::spawn(move || shared.serve(stream));
    }
}
