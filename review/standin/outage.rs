//! Discovery is down for 5 s, and too many call at its return. Runners begin to drain just after its return. A change
//! counts as told at the latest 6 s after discovery had it and could be reached.

use std::collections::HashMap;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::common::*;

const TIMEOUT_MS: u64 = 20_000;
/// Discovery goes down so long after the start of the load, and for so long.
const DOWN_AT_MS: u64 = 4_000;
const DOWN_MS: u64 = 5_000;
/// So long after its return it turns calls away.
const CROWDED_MS: u64 = 8_000;
const SECONDS: u64 = 20;
/// The runners that drain, from the first on; they stay up to the end.
const DRAINING: usize = 4;
const DRAIN_GRACE_MS: u64 = 500;
/// From the begin of the drain to the last send: 6 s, the grace, and 50 ms on sockets.
const LAST_SEND_MS: u64 = 6_000 + DRAIN_GRACE_MS + 50;

pub fn run(place: &Place, trouble: bool) -> Option<bool> {
    let record = Arc::new(Record::new(&place.folder.join("record.txt")));
    let ledger = Arc::new(Mutex::new(Ledger::default()));
    let listen = free_address();
    let behaviour = Arc::new(RunnerBehaviour {
        slots: 3,
        run_ms: vec![("book-linehaul", 1_000, 1_400)],
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
            name: "book-linehaul",
            effect: "at_most_once",
            objective_ms: 750,
            timeout_ms: TIMEOUT_MS,
            value: 2.0,
        }],
        forwards: 3,
        probes: true,
        tells_start: false,
        drain_grace_ms: DRAIN_GRACE_MS,
        stretch: 1.25,
        budget: None,
        memory_mb: 192,
        sockets: 1024,
    };
    let text = configuration(&settings, 0, listen, discovery.address, &entries);
    let mut dispatcher = Dispatcher::start(place, "n0", &text, listen, &record)?;
    let began = Instant::now();
    let (mut has_gone, mut back_at) = (false, None);
    let mut drained_at = None;
    let (mut clients, mut nth) = (Vec::new(), 0);
    while began.elapsed() < Duration::from_secs(SECONDS) {
        nth += 1;
        let id = format!("q{nth:05}");
        let (client_record, ledger) = (record.clone(), ledger.clone());
        ledger.lock().unwrap().sent += 1;
        clients.push(thread::spawn(move || {
            let answer = post(listen, "book-linehaul", &id, TIMEOUT_MS);
            client_record.line(format!("client {id} answered {} after {} ms", answer.status, answer.ms));
            ledger.lock().unwrap().answers.insert(id, answer.status);
        }));
        let elapsed = began.elapsed().as_millis() as u64;
        if elapsed >= DOWN_AT_MS && !has_gone {
            has_gone = true;
            record.line("discovery goes down");
            discovery.close();
        }
        if back_at.is_none() && elapsed >= DOWN_AT_MS + DOWN_MS {
            back_at = Some(record.ms());
            if trouble {
                *discovery.crowded_until.lock().unwrap() =
                    Some(Instant::now() + Duration::from_millis(CROWDED_MS));
            }
            record.line("discovery is back");
            discovery.is_replaced.store(false, Ordering::SeqCst);
        }
        if drained_at.is_none() && back_at.is_some_and(|at| record.ms() >= at + 100) {
            drained_at = Some(record.ms());
            runners[..DRAINING].iter().for_each(|runner| discovery.change(&runner.id, "draining"));
        }
        thread::sleep(Duration::from_millis(80));
    }
    for client in clients {
        let _ = client.join();
    }
    let was_up = dispatcher.is_up();
    dispatcher.end();
    let drained_at = drained_at?;
    let mut late = Vec::new();
    for runner in &runners[..DRAINING] {
        let received = runner.received.lock().unwrap();
        let after = received.iter().filter(|(at, _)| *at > drained_at + LAST_SEND_MS);
        late.extend(after.map(|(at, id)| (*at, id.clone(), runner.id.clone())));
    }
    let ledger = ledger.lock().unwrap();
    for (at, id, runner) in &late {
        record
            .line(format!("BROKEN {id} was sent to {runner} {} ms after it began to drain", at - drained_at));
    }
    let mut statuses: HashMap<u16, usize> = HashMap::new();
    ledger.answers.values().for_each(|status| *statuses.entry(*status).or_default() += 1);
    let served = statuses.get(&200).copied().unwrap_or(0);
    let summary = format!(
        "trouble={trouble} sent={} answers={statuses:?} sent_late={} latest_ms={} up={was_up}",
        ledger.sent,
        late.len(),
        late.iter().map(|(at, _, _)| at - drained_at).max().unwrap_or(0)
    );
    record.line(&summary);
    println!("{summary}");
    if !was_up || served * 2 < ledger.sent as usize {
        return None;
    }
    Some(late.is_empty())
}
