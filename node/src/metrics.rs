//! What a dispatcher has counted since its process began, and how it is told to whoever asks.
//!
//! It owns the counts and their names. It must never count an invocation twice, nor keep a text that could
//! grow old: the figures are written at the call.

use std::collections::BTreeMap;
use std::fmt::Write;

use crate::net::log;

const PREFIX: &str = "edge_relay";

/// How an invocation ended, as operators know it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalStatus {
    Passed,
    Dropped,
    BadGateway,
}

impl FinalStatus {
    /// By what the client was answered.
    pub fn of(status: u16) -> FinalStatus {
        match status {
            200 => FinalStatus::Passed,
            429 | 503 => FinalStatus::Dropped,
            _ => FinalStatus::BadGateway,
        }
    }
}

const FINAL_STATUSES: [(FinalStatus, &str); 3] = [
    (FinalStatus::Passed, "passed"),
    (FinalStatus::Dropped, "dropped"),
    (FinalStatus::BadGateway, "bad_gateway"),
];

/// What stands at the moment of the call.
#[derive(Clone, Copy, Debug, Default)]
pub struct Gauges {
    pub in_progress: usize,
    pub known_runners: usize,
    pub skipped_runners: usize,
    /// Forwards written whole to runners.
    pub tries: u64,
}

/// Further figures, in the same form.
pub fn more<'a>(named: impl Iterator<Item = &'a (&'static str, u64)>) -> String {
    named.map(|(name, value)| format!("{PREFIX}.{name}={value}\n")).collect()
}

#[derive(Debug, Default)]
pub struct Metrics {
    /// By operation, in the order of [`FINAL_STATUSES`]. One that is no longer set keeps its counts: they run from
    /// the start of the process.
    ended: BTreeMap<String, [u64; 3]>,
    /// Configurations taken and turned down at SIGHUP.
    pub loads: u64,
    pub load_errors: u64,
}

impl Metrics {
    /// An operation that is in use from now on: it is told of before anything of it has ended.
    pub fn uses(&mut self, operation: &str) {
        self.ended.entry(operation.to_owned()).or_default();
    }

    pub fn ended(&mut self, operation: &str, verdict: FinalStatus) {
        if let Some(counts) = self.ended.get_mut(operation) {
            counts[verdict as usize] += 1;
        }
    }

    /// One `name=value` a line.
    pub fn text(&self, now: &Gauges) -> String {
        let mut text = String::new();
        for (verdict, name) in FINAL_STATUSES {
            for (operation, counts) in &self.ended {
                let _ = writeln!(text, "{PREFIX}.{name}.{operation}={}", counts[verdict as usize]);
            }
        }
        let plain = [
            ("upstream_tries", now.tries),
            ("in_progress", now.in_progress as u64),
            ("known_runners", now.known_runners as u64),
            ("skipped_runners", now.skipped_runners as u64),
            ("loads", self.loads),
            ("load_errors", self.load_errors),
            ("log_lines_lost", log::lost_lines()),
        ];
        for (name, value) in plain {
            let _ = writeln!(text, "{PREFIX}.{name}={value}");
        }
        text
    }
}
