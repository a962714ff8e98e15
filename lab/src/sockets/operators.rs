//! Emulated operators: they set and clear admin overrides that take runners out of service, at every
//! dispatcher, and poll each dispatcher's status.
//!
//! This module owns the calls and their answers. A call without an answer must never count as carried out:
//! its effect is unknown, and the judge does not hold the dispatcher to it.

use std::collections::BTreeSet;
use std::time::Duration;

use rand::RngExt;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use super::Lab;
use crate::judge::Observation;
use crate::load::seeded_generator;

/// How long an operator waits for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(4);
/// Upper limit of the length of an answer.
const MAX_ANSWER_BYTES: u64 = 64 << 10;
/// Interval of status polls until the dispatcher serves.
const STARTUP_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Interval of status polls while the dispatcher serves.
const SERVING_POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Makes one call. Returns its answer if it was complete, in time, and from the process that ran when the
/// call was made.
async fn admin_call(lab: &Lab, d: u32, line: &str) -> Option<String> {
    let index = d as usize;
    let (address, epoch) = (lab.shared.borrow().admin_addresses[index], lab.shared.borrow().epochs[index]);
    let exchange = async {
        let mut stream = TcpStream::connect(address).await.ok()?;
        stream.write_all(format!("{line}\n").as_bytes()).await.ok()?;
        let mut text = String::new();
        (&mut stream).take(MAX_ANSWER_BYTES).read_to_string(&mut text).await.ok()?;
        Some(text).filter(|text| text.ends_with('\n'))
    };
    let answer = timeout(ANSWER_TIMEOUT, exchange).await.ok()??;
    Some(answer).filter(|_| lab.shared.borrow().epochs[index] == epoch)
}

/// Takes runners out of service and back in at intervals; the seed decides which and when.
pub async fn toggle_admin_overrides(lab: Lab) {
    let (interval, max_out, back, seed, runners, dispatcher_count) = {
        let shared = lab.shared.borrow();
        let Some(store) = &shared.scenario.store else { return };
        (
            store.hands_every.0,
            store.out_most as usize,
            store.back,
            shared.seed,
            shared.world.runners.len(),
            shared.epochs.len(),
        )
    };
    let mut rng = seeded_generator(seed, 9);
    let mut out_of_service: BTreeSet<u32> = BTreeSet::new();
    if interval <= 0 {
        return;
    }
    loop {
        let at = lab.now() + interval / 2 + rng.random_range(0..interval);
        lab.sleep_until(at).await;
        if !back && out_of_service.len() >= max_out {
            return;
        }
        let takes_out = out_of_service.len() < max_out
            && (!back || out_of_service.is_empty() || rng.random_range(0..2) == 0);
        let runner = if takes_out {
            rng.random_range(0..runners) as u32
        } else {
            out_of_service.iter().copied().nth(rng.random_range(0..out_of_service.len())).unwrap_or(0)
        };
        if takes_out {
            out_of_service.insert(runner)
        } else {
            out_of_service.remove(&runner)
        };
        let line = format!("maint-{} r{runner}", if takes_out { "on" } else { "off" });
        let mut calls = JoinSet::new();
        for d in 0..dispatcher_count as u32 {
            let (lab, line) = (lab.clone(), line.clone());
            calls.spawn_local(async move {
                // Once the override is being cleared, the dispatcher may already forward to the runner again.
                let unknown_result = Observation::Hand { dispatcher: d, runner, out: None };
                if !takes_out {
                    lab.record(unknown_result.clone());
                }
                let accepted =
                    admin_call(&lab, d, &line).await.is_some_and(|answer| answer.starts_with("YES"));
                lab.shared.borrow_mut().operator_calls[usize::from(accepted)] += 1;
                lab.record(if accepted {
                    Observation::Hand { dispatcher: d, runner, out: Some(takes_out) }
                } else {
                    unknown_result
                });
            });
        }
        while calls.join_next().await.is_some() {}
    }
}

/// Returns the value of `name=value` in an answer.
fn field<'a>(answer: &'a str, name: &str) -> Option<&'a str> {
    answer.split_ascii_whitespace().find_map(|word| word.strip_prefix(name)?.strip_prefix('='))
}

/// Polls the status of one dispatcher until the run ends, and records its boot number and whether it has no
/// roster yet.
pub async fn poll_status(lab: Lab, d: u32) {
    let index = d as usize;
    // The epoch of the last process that reported the stage `serving`.
    let mut serving_epoch = 0;
    loop {
        // Epochs are odd while the process runs.
        let epoch = lab.shared.borrow().epochs[index];
        let (asked, is_running) = (lab.now(), !epoch.is_multiple_of(2));
        let answer = if is_running { admin_call(&lab, d, "status").await } else { None };
        if let Some(answer) = &answer {
            if let Some(boot) = field(answer, "boot").and_then(|boot| boot.parse().ok()) {
                lab.record(Observation::Boot { dispatcher: d, boot });
            }
            let stage = field(answer, "stage").unwrap_or_default();
            // Forwarding is not allowed yet in these stages.
            if matches!(stage, "finding" | "numbered") {
                lab.record(Observation::Unlisted { dispatcher: d, asked });
            }
            if stage == "serving" {
                serving_epoch = epoch;
            }
        }
        sleep(if serving_epoch == epoch { SERVING_POLL_INTERVAL } else { STARTUP_POLL_INTERVAL }).await;
    }
}
