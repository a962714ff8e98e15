//! Staff: they take runners out by hand and back in at every dispatcher, and ask each how it stands.
//!
//! It owns what was called and what was answered. It must never take a call for carried out that was not answered: then
//! nobody knows, and nothing is held against the dispatcher.

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

const ANSWER_WITHIN: Duration = Duration::from_secs(4);
const ANSWER_MOST: u64 = 64 << 10;
/// How often one is asked that is not ready, and one that is.
const ASK_EVERY: Duration = Duration::from_millis(20);
const LOOK_EVERY: Duration = Duration::from_millis(500);

/// One call: its answer, if one came in time from the process that was there when it was made.
async fn call(lab: &Lab, d: u32, line: &str) -> Option<String> {
    let nth = d as usize;
    let (address, epoch) = (lab.stage.borrow().admins[nth], lab.stage.borrow().epochs[nth]);
    let said = async {
        let mut stream = TcpStream::connect(address).await.ok()?;
        stream.write_all(format!("{line}\n").as_bytes()).await.ok()?;
        let mut text = String::new();
        (&mut stream).take(ANSWER_MOST).read_to_string(&mut text).await.ok()?;
        Some(text).filter(|text| text.ends_with('\n'))
    };
    let answer = timeout(ANSWER_WITHIN, said).await.ok()??;
    Some(answer).filter(|_| lab.stage.borrow().epochs[nth] == epoch)
}

/// Takes runners out and back in, by seed.
pub async fn hands(lab: Lab) {
    let (every, most, back, seed, runners, all) = {
        let stage = lab.stage.borrow();
        let Some(store) = &stage.scenario.store else { return };
        (
            store.hands_every.0,
            store.out_most as usize,
            store.back,
            stage.seed,
            stage.world.runners.len(),
            stage.epochs.len(),
        )
    };
    let mut drawn = seeded_generator(seed, 9);
    let mut out: BTreeSet<u32> = BTreeSet::new();
    if every <= 0 {
        return;
    }
    loop {
        let at = lab.now() + every / 2 + drawn.random_range(0..every);
        lab.until(at).await;
        if !back && out.len() >= most {
            return;
        }
        let takes = out.len() < most && (!back || out.is_empty() || drawn.random_range(0..2) == 0);
        let runner = if takes {
            drawn.random_range(0..runners) as u32
        } else {
            out.iter().copied().nth(drawn.random_range(0..out.len())).unwrap_or(0)
        };
        if takes {
            out.insert(runner)
        } else {
            out.remove(&runner)
        };
        let line = format!("maint-{} r{runner}", if takes { "on" } else { "off" });
        let mut calls = JoinSet::new();
        for d in 0..all as u32 {
            let (lab, line) = (lab.clone(), line.clone());
            calls.spawn_local(async move {
                let unknown = Observation::Hand { dispatcher: d, runner, out: None };
                if !takes {
                    lab.see(unknown.clone());
                }
                let yes = call(&lab, d, &line).await.is_some_and(|answer| answer.starts_with("YES"));
                lab.stage.borrow_mut().hands[usize::from(yes)] += 1;
                lab.see(if yes {
                    Observation::Hand { dispatcher: d, runner, out: Some(takes) }
                } else {
                    unknown
                });
            });
        }
        while calls.join_next().await.is_some() {}
    }
}

/// The word after `name=` in an answer.
fn word<'a>(answer: &'a str, name: &str) -> Option<&'a str> {
    answer.split_ascii_whitespace().find_map(|word| word.strip_prefix(name)?.strip_prefix('='))
}

/// Asks one dispatcher how it stands, all the time.
pub async fn asks(lab: Lab, d: u32) {
    let nth = d as usize;
    // Until which life it has said that it serves.
    let mut served = 0;
    loop {
        let epoch = lab.stage.borrow().epochs[nth];
        let (asked, up) = (lab.now(), !epoch.is_multiple_of(2));
        let answer = if up { call(&lab, d, "status").await } else { None };
        if let Some(answer) = &answer {
            if let Some(boot) = word(answer, "boot").and_then(|boot| boot.parse().ok()) {
                lab.see(Observation::Boot { dispatcher: d, boot });
            }
            let stage = word(answer, "stage").unwrap_or_default();
            if matches!(stage, "finding" | "numbered") {
                lab.see(Observation::Unlisted { dispatcher: d, asked });
            }
            if stage == "serving" {
                served = epoch;
            }
        }
        sleep(if served == epoch { LOOK_EVERY } else { ASK_EVERY }).await;
    }
}
