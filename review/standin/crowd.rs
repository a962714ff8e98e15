//! Bad clients send hundreds of requests at once on hundreds of connections. The dispatcher has to stay within its
//! memory; the platform kills it when it goes over, as the pages say.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::common::*;

const SECONDS: u64 = 20;
const TIMEOUT_MS: u64 = 8_000;
const MEMORY_MB: u64 = 32;
/// With the usual clients under a third of the descriptors.
const BAD_CLIENTS: usize = 320;
/// Hundreds of requests at once, in two pieces.
const REQUESTS: usize = 800;
const FIRST_PIECE: usize = 90_000;

/// The process's resident memory in KiB, as the platform sees it.
fn resident_kib(pid: u32) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    line.split_whitespace().nth(1)?.parse().ok()
}

/// One bad client: sends hundreds of requests at once and reads what it is sent.
fn bad_client(nth: usize, listen: SocketAddr, until: Instant) {
    let Ok(mut stream) = TcpStream::connect(listen) else { return };
    let _ = stream.set_write_timeout(Some(Duration::from_secs(2)));
    let _ = stream.set_read_timeout(Some(Duration::from_millis(200)));
    let mut text = String::new();
    for request in 0..REQUESTS {
        text.push_str(&format!(
            "POST /chute-plan HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: bad{nth}-{request}\r\n\
             X-Deadline-Ms: {TIMEOUT_MS}\r\nCookie: sid=7f3a9c21e0b4d655\r\nContent-Length: 2\r\n\r\nhi"
        ));
    }
    let (first, second) = text.as_bytes().split_at(FIRST_PIECE);
    let _ = stream.write_all(first);
    thread::sleep(Duration::from_millis(200));
    let _ = stream.write_all(second);
    let mut buffer = [0; 4096];
    while Instant::now() < until {
        match stream.read(&mut buffer) {
            Ok(0) => return,
            Err(error)
                if !matches!(error.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) =>
            {
                return;
            }
            _ => {}
        }
    }
}

pub fn run(place: &Place, trouble: bool) -> Option<bool> {
    let record = Arc::new(Record::new(&place.folder.join("record.txt")));
    let ledger = Arc::new(Mutex::new(Ledger::default()));
    let listen = free_address();
    let behaviour = Arc::new(RunnerBehaviour {
        slots: 3,
        run_ms: vec![("chute-plan", 510, 990)],
        places: 4,
        hand_back_after_ms: 60_000,
        call_again_ms: 500,
        tells_start: false,
    });
    let runners: Vec<Arc<Runner>> = (0..9)
        .map(|nth| {
            Runner::start(&format!("s-{nth}"), &[listen], &behaviour, &record, &ledger, 77 + nth * 1009)
        })
        .collect();
    let entries: Vec<Entry> = runners.iter().map(|runner| runner.entry(0)).collect();
    let discovery = Discovery::start("one", entries.clone(), &record);
    let settings = Settings {
        dispatchers: 1,
        operations: vec![Operation {
            name: "chute-plan",
            effect: "idempotent",
            objective_ms: 600,
            timeout_ms: TIMEOUT_MS,
            value: 2.0,
        }],
        forwards: 3,
        probes: true,
        tells_start: false,
        drain_grace_ms: 500,
        stretch: 1.25,
        budget: None,
        memory_mb: MEMORY_MB,
        sockets: 1024,
    };
    let text = configuration(&settings, 0, listen, discovery.address, &entries);
    let mut dispatcher = Dispatcher::start(place, "n0", &text, listen, &record)?;
    let pid = dispatcher.child.id();
    let is_over = Arc::new(AtomicBool::new(false));
    let (highest, watching) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicBool::new(true)));
    // The platform: over `memory_mb` the dispatcher is killed.
    let platform = {
        let (record, is_over, highest, watching) =
            (record.clone(), is_over.clone(), highest.clone(), watching.clone());
        thread::spawn(move || {
            while watching.load(Ordering::SeqCst) {
                let kib = resident_kib(pid).unwrap_or(0);
                if highest.fetch_max(kib, Ordering::SeqCst) + 4096 < kib {
                    record.line(format!("platform: the dispatcher holds {} MB", kib / 1024));
                }
                if kib > MEMORY_MB * 1024 && !is_over.swap(true, Ordering::SeqCst) {
                    record.line(format!("platform: {} KiB, over {MEMORY_MB} MB: killed", kib));
                    let _ = std::process::Command::new("/bin/sh")
                        .args(["-c", &format!("kill -KILL {pid}")])
                        .status();
                }
                thread::sleep(Duration::from_millis(20));
            }
        })
    };
    let began = Instant::now();
    let (mut clients, mut nth, mut has_crowd) = (Vec::new(), 0, false);
    while began.elapsed() < Duration::from_secs(SECONDS) {
        nth += 1;
        let id = format!("q{nth:05}");
        let (client_record, ledger) = (record.clone(), ledger.clone());
        ledger.lock().unwrap().sent += 1;
        clients.push(thread::spawn(move || {
            let answer = post(listen, "chute-plan", &id, TIMEOUT_MS);
            client_record.line(format!("client {id} answered {} after {} ms", answer.status, answer.ms));
            ledger.lock().unwrap().answers.insert(id, answer.status);
        }));
        if trouble && !has_crowd && began.elapsed() > Duration::from_secs(5) {
            has_crowd = true;
            record.line(format!("{BAD_CLIENTS} bad clients send {REQUESTS} requests each at once"));
            let until = began + Duration::from_secs(SECONDS);
            for nth in 0..BAD_CLIENTS {
                let client = thread::Builder::new().stack_size(128 << 10);
                let _ = client.spawn(move || bad_client(nth, listen, until));
            }
        }
        thread::sleep(Duration::from_millis(80));
    }
    for client in clients {
        let _ = client.join();
    }
    watching.store(false, Ordering::SeqCst);
    let _ = platform.join();
    let was_up = dispatcher.is_up();
    dispatcher.end();
    let ledger = ledger.lock().unwrap();
    let count = |test: &dyn Fn(u16) -> bool| ledger.answers.values().filter(|status| test(**status)).count();
    let is_over = is_over.load(Ordering::SeqCst);
    let summary = format!(
        "trouble={trouble} sent={} answered_200={} refused={} unanswered={} highest_mb={} over={is_over} up={was_up}",
        ledger.sent,
        count(&|status| status == 200),
        count(&|status| status == 429 || status == 503),
        count(&|status| status == 0),
        highest.load(Ordering::SeqCst) / 1024
    );
    record.line(&summary);
    println!("{summary}");
    if !trouble && count(&|status| status == 200) * 10 < ledger.sent as usize * 9 {
        return None;
    }
    Some(!is_over && was_up)
}
