//! Two dispatchers with stores and peers are cut off from each other for a while. An operator's call on a runner that a
//! dispatcher has answered YES holds there until the call back.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::common::*;

const TIMEOUT_MS: u64 = 5_000;
/// From the YES to the last send: the grace, and 50 ms on sockets.
const LAST_SEND_MS: u64 = 500 + 50;
/// So long the link is cut.
const CUT_MS: u64 = 10_000;
/// So long the load goes on after the YES.
const WATCHED_MS: u64 = 20_000;

/// One operator's call.
fn call(record: &Record, name: &str, at: SocketAddr, line: &str) -> String {
    let answer = TcpStream::connect(at).ok().and_then(|mut stream| {
        stream.set_read_timeout(Some(Duration::from_secs(3))).ok()?;
        stream.write_all(format!("{line}\n").as_bytes()).ok()?;
        let mut answer = String::new();
        let _ = stream.read_to_string(&mut answer);
        Some(answer.trim().to_owned())
    });
    let answer = answer.unwrap_or_default();
    record.line(format!("operator at {name}: {line}: {answer}"));
    answer
}

fn datagram_socket() -> (UdpSocket, SocketAddr) {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a free port");
    let address = socket.local_addr().unwrap();
    (socket, address)
}

/// Passes datagrams that come to `from` on to `to`, sent by `through`, unless the link is cut.
fn pass_on(from: UdpSocket, through: UdpSocket, to: SocketAddr, is_cut: Arc<AtomicBool>) {
    thread::spawn(move || {
        let mut bytes = [0; 4096];
        while let Ok(length) = from.recv(&mut bytes) {
            if !is_cut.load(Ordering::SeqCst) {
                let _ = through.send_to(&bytes[..length], to);
            }
        }
    });
}

pub fn run(place: &Place, trouble: bool) -> Option<bool> {
    let record = Arc::new(Record::new(&place.folder.join("record.txt")));
    let ledger = Arc::new(Mutex::new(Ledger::default()));
    let names = ["n0", "n1"];
    let listens = [free_address(), free_address()];
    let admins = [free_address(), free_address()];
    // The link between the two: each has the other under an address of the relay.
    let datagrams = [datagram_socket().1, datagram_socket().1];
    let ((face_of_n1, address_of_n1), (face_of_n0, address_of_n0)) = (datagram_socket(), datagram_socket());
    let faces = [address_of_n1, address_of_n0];
    let is_cut = Arc::new(AtomicBool::new(false));
    pass_on(face_of_n1.try_clone().ok()?, face_of_n0.try_clone().ok()?, datagrams[1], is_cut.clone());
    pass_on(face_of_n0, face_of_n1, datagrams[0], is_cut.clone());
    let behaviour = Arc::new(RunnerBehaviour {
        slots: 3,
        run_ms: vec![("stock-hold", 280, 530)],
        places: 4,
        hand_back_after_ms: 60_000,
        call_again_ms: 500,
        tells_start: false,
    });
    let runners: Vec<Arc<Runner>> = (0..5)
        .map(|nth| {
            Runner::start(&format!("s-{nth}"), &listens, &behaviour, &record, &ledger, 77 + nth * 1009)
        })
        .collect();
    let settings = Settings {
        dispatchers: 2,
        operations: vec![Operation {
            name: "stock-hold",
            effect: "idempotent",
            objective_ms: 750,
            timeout_ms: TIMEOUT_MS,
            value: 3.0,
        }],
        forwards: 4,
        probes: true,
        tells_start: false,
        drain_grace_ms: 500,
        stretch: 1.25,
        budget: None,
        memory_mb: 192,
        sockets: 1024,
    };
    let mut texts = Vec::new();
    for index in 0..2 {
        let entries: Vec<Entry> = runners.iter().map(|runner| runner.entry(index)).collect();
        let discovery = Discovery::start(names[index], entries.clone(), &record);
        let folder = place.temporary.join(format!("{}-store", names[index]));
        std::fs::create_dir_all(&folder).ok()?;
        let more = format!(
            "{{\"admin_addr\":\"{}\",\"store\":{{\"folder\":\"{}\",\"require\":false}},\
             \"peers\":{{\"listen\":\"{}\",\"members\":[{{\"name\":\"{}\",\"address\":\"{}\"}}]}},\"name\"",
            admins[index],
            folder.display(),
            datagrams[index],
            names[1 - index],
            faces[index]
        );
        let text = configuration(&settings, index, listens[index], discovery.address, &entries);
        texts.push(text.replacen("{\"name\"", &more, 1));
    }
    let start = |index: usize| Dispatcher::start(place, names[index], &texts[index], listens[index], &record);
    let pause = |ms| thread::sleep(Duration::from_millis(ms));
    let (mut n0, mut n1) = (start(0)?, start(1)?);
    pause(2_000);
    if trouble {
        record.line("the link between n0 and n1 is cut");
        is_cut.store(true, Ordering::SeqCst);
    }
    let cut_at = Instant::now();
    pause(500);
    let mut as_wanted = call(&record, "n1", admins[1], "maint-on s-0") == "YES";
    pause(1_000);
    as_wanted &= call(&record, "n1", admins[1], "maint-off s-0") == "YES";
    pause(3_000);
    as_wanted &= call(&record, "n0", admins[0], "maint-on s-0") == "YES";
    let yes_at = record.ms();
    let (began, mut nth, mut clients, mut has_healed) = (Instant::now(), 0, Vec::new(), false);
    while began.elapsed() < Duration::from_millis(WATCHED_MS) {
        nth += 1;
        let id = format!("q{nth:05}");
        let (client_record, ledger) = (record.clone(), ledger.clone());
        let listen = listens[0];
        ledger.lock().unwrap().sent += 1;
        clients.push(thread::spawn(move || {
            let answer = post(listen, "stock-hold", &id, TIMEOUT_MS);
            client_record.line(format!("client {id} answered {} after {} ms", answer.status, answer.ms));
            ledger.lock().unwrap().answers.insert(id, answer.status);
        }));
        if trouble && !has_healed && cut_at.elapsed() > Duration::from_millis(CUT_MS) {
            has_healed = true;
            record.line("the link between n0 and n1 is whole");
            is_cut.store(false, Ordering::SeqCst);
        }
        pause(34);
    }
    for client in clients {
        let _ = client.join();
    }
    call(&record, "n0", admins[0], "stats");
    let was_up = n0.is_up() && n1.is_up();
    n0.end();
    n1.end();
    let received = runners[0].received.lock().unwrap();
    let late: Vec<_> = received.iter().filter(|(at, _)| *at > yes_at + LAST_SEND_MS).collect();
    for (at, id) in &late {
        record
            .line(format!("BROKEN {id} was sent to s-0 {} ms after the YES, with no call back", at - yes_at));
    }
    let ledger = ledger.lock().unwrap();
    let served = ledger.answers.values().filter(|status| **status == 200).count();
    let summary = format!(
        "trouble={trouble} sent={} answered_200={served} sent_to_s0_after_yes={} first_ms={} last_ms={} up={was_up}",
        ledger.sent,
        late.len(),
        late.first().map_or(0, |(at, _)| at - yes_at),
        late.last().map_or(0, |(at, _)| at - yes_at)
    );
    record.line(&summary);
    println!("{summary}");
    if !was_up || !as_wanted || served * 2 < ledger.sent as usize {
        return None;
    }
    Some(late.is_empty())
}
