//! Answers to runners' calls get lost, so runners repeat them. A release must never run twice, and is refused only if it
//! has not run.

use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::common::*;

const DISPATCHERS: usize = 1;
const RUNNERS: u64 = 3;
const SECONDS: u64 = 45;
/// From one request to the next.
const PAUSE_MS: u64 = 125;
/// So long the way loses answers.
const LOSS_SECONDS: u64 = 36;
/// The site's operations: name, client timeout, share of the jobs.
const MIX: [(&str, u64, f64); 2] = [("tile-refresh", 10_000, 0.05), ("plan-release", 20_000, 0.95)];

pub fn run(place: &Place, trouble: bool) -> Option<bool> {
    let record = Arc::new(Record::new(&place.folder.join("record.txt")));
    let ledger = Arc::new(Mutex::new(Ledger::default()));
    let listens: Vec<_> = (0..DISPATCHERS).map(|_| free_address()).collect();
    let relays: Vec<_> = listens.iter().map(|listen| CallRelay::start(*listen, &record)).collect();
    let call_backs: Vec<_> = relays.iter().map(|relay| relay.address).collect();
    let behaviour = Arc::new(RunnerBehaviour {
        slots: 4,
        run_ms: vec![("tile-refresh", 540, 1_000), ("plan-release", 1_100, 2_100)],
        places: 4,
        hand_back_after_ms: 150,
        call_again_ms: 1_000,
        tells_start: true,
    });
    let runners: Vec<Arc<Runner>> = (0..RUNNERS)
        .map(|nth| {
            Runner::start(&format!("s-{nth}"), &call_backs, &behaviour, &record, &ledger, 77 + nth * 1009)
        })
        .collect();
    let operation = |name, effect, objective_ms, timeout_ms, value| Operation {
        name,
        effect,
        objective_ms,
        timeout_ms,
        value,
    };
    let settings = Settings {
        dispatchers: DISPATCHERS,
        operations: vec![
            operation("tile-refresh", "deduplicated", 300, 10_000, 5.0),
            operation("plan-release", "at_most_once", 1_000, 20_000, 8.0),
        ],
        forwards: 6,
        probes: false,
        tells_start: true,
        drain_grace_ms: 400,
        stretch: 2.0,
        budget: Some((10, 0.1)),
        memory_mb: 192,
        sockets: 1024,
    };
    let mut dispatchers = Vec::new();
    for (index, listen) in listens.iter().enumerate() {
        let entries: Vec<Entry> = runners.iter().map(|runner| runner.entry(index)).collect();
        let discovery = Discovery::start("one", entries.clone(), &record);
        let text = configuration(&settings, index, *listen, discovery.address, &entries);
        dispatchers.push(Dispatcher::start(place, &format!("n{index}"), &text, *listen, &record)?);
    }
    let loses = |on: bool| relays.iter().for_each(|relay| relay.loses.store(trouble && on, Ordering::SeqCst));
    loses(true);
    let (began, mut draws, mut clients, mut nth) = (Instant::now(), Rng(9001), Vec::new(), 0);
    while began.elapsed() < Duration::from_secs(SECONDS) {
        nth += 1;
        let (draw, listen) = (draws.unit(), listens[nth % DISPATCHERS]);
        let (name, timeout_ms, _) = if draw < MIX[0].2 { MIX[0] } else { MIX[1] };
        let (record, ledger) = (record.clone(), ledger.clone());
        ledger.lock().unwrap().sent += 1;
        clients.push(thread::spawn(move || {
            let (id, path) = (format!("q{nth:05}"), format!("{name}/j{nth:05}"));
            let answer = post(listen, &path, &id, timeout_ms);
            record.line(format!("client {path} as {id} answered {} after {} ms", answer.status, answer.ms));
            ledger.lock().unwrap().answers.insert(id, answer.status);
        }));
        if began.elapsed() > Duration::from_secs(LOSS_SECONDS) {
            loses(false);
        }
        thread::sleep(Duration::from_millis(PAUSE_MS));
    }
    for client in clients {
        let _ = client.join();
    }
    thread::sleep(Duration::from_secs(1));
    let was_up = dispatchers.iter_mut().all(Dispatcher::is_up);
    dispatchers.iter_mut().for_each(Dispatcher::end);
    let ledger = ledger.lock().unwrap();
    let (mut twice, mut refused) = (0, 0);
    let releases =
        ledger.starts.iter().filter(|(_, starts)| starts.iter().any(|start| start.3 == "plan-release"));
    for (job, starts) in releases {
        if starts.len() > 1 {
            twice += 1;
            record.line(format!("BROKEN {job} ran {} times: {starts:?}", starts.len()));
        }
        if let Some((_, _, id, _)) =
            starts.iter().find(|start| matches!(ledger.answers.get(&start.2), Some(429 | 503)))
        {
            refused += 1;
            record.line(format!("BROKEN {job} was refused as {id}, though it ran: {starts:?}"));
        }
    }
    let served = ledger.answers.values().filter(|status| **status == 200).count();
    let lost: u64 = relays.iter().map(|relay| relay.lost.load(Ordering::SeqCst)).sum();
    let summary = format!(
        "trouble={trouble} sent={} answered_200={served} answers_lost={lost} ran_twice={twice} refused_though_run={refused} \
         up={was_up}",
        ledger.sent,
    );
    record.line(&summary);
    println!("{summary}");
    if !was_up || served * 2 < ledger.sent as usize {
        return None;
    }
    Some(twice + refused == 0)
}
