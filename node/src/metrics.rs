//! What a dispatcher has counted since its process started, and the text form in which operators get it.
//!
//! It defines the counters and their names. An invocation is never counted twice, and the text is rendered
//! for each call, so that it is never out of date.

use std::collections::BTreeMap;
use std::fmt::Write;

use crate::net::log;

/// Prefix of every metric's name.
const PREFIX: &str = "edge_relay";

/// How an invocation ended, as operators see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalStatus {
    /// Answered with success.
    Passed,
    /// Throttled or turned away.
    Dropped,
    /// Answered with any other error.
    BadGateway,
}

impl FinalStatus {
    /// The final status for the HTTP status that the client was answered with.
    pub fn of(status: u16) -> FinalStatus {
        match status {
            200 => FinalStatus::Passed,
            429 | 503 => FinalStatus::Dropped,
            _ => FinalStatus::BadGateway,
        }
    }
}

/// The final statuses in the order of their variants, with their names in metrics.
const FINAL_STATUSES: [(FinalStatus, &str); 3] = [
    (FinalStatus::Passed, "passed"),
    (FinalStatus::Dropped, "dropped"),
    (FinalStatus::BadGateway, "bad_gateway"),
];

/// Values at the time of the call.
#[derive(Clone, Copy, Debug, Default)]
pub struct Gauges {
    /// Open invocations without a final answer.
    pub in_progress: usize,
    /// Listed runners.
    pub known_runners: usize,
    /// Listed runners that get nothing for now: ejected by the routing policy, or in maintenance.
    pub skipped_runners: usize,
    /// Forwards that were written to runners completely.
    pub forwards_written: u64,
    /// Answers of runners that belonged to no request.
    pub surplus_answers: u64,
    /// Bytes in the buffers of all connections.
    pub buffer_bytes: usize,
    /// How often a connection's buffers were released, as all together held too much.
    pub released_buffers: u64,
    /// Bytes that open invocations hold.
    pub invocation_bytes: usize,
    /// Timers that are set.
    pub timers: usize,
    /// Failures in upgrades of this process.
    pub handover_failures: u64,
    /// What the other process of an upgrade has sent that could not be read.
    pub handover_unread: u64,
}

/// Further metrics in the same format, one `name=value` a line.
pub fn format_metrics<'a>(metrics: impl Iterator<Item = &'a (&'static str, u64)>) -> String {
    metrics.map(|(name, value)| format!("{PREFIX}.{name}={value}\n")).collect()
}

/// The counters of a process.
#[derive(Debug, Default)]
pub struct Metrics {
    /// By operation, in the order of [`FINAL_STATUSES`]. An operation that is no longer in the settings keeps
    /// its counters, which run from the start of the process.
    final_counts: BTreeMap<String, [u64; 3]>,
    /// Configurations applied and rejected at SIGHUP.
    pub loads: u64,
    pub load_errors: u64,
    /// Final call-backs of runners that were about an earlier forward than the newest to the runner.
    pub repeated_callbacks: u64,
    /// Final call-backs of runners that may have been about either.
    pub unclear_callbacks: u64,
}

impl Metrics {
    /// Adds an operation, so that it is listed before any invocation of it has ended.
    pub fn add_operation(&mut self, operation: &str) {
        self.final_counts.entry(operation.to_owned()).or_default();
    }

    /// Counts an invocation that has ended; does nothing if the operation was never added.
    pub fn count(&mut self, operation: &str, status: FinalStatus) {
        if let Some(counts) = self.final_counts.get_mut(operation) {
            counts[status as usize] += 1;
        }
    }

    /// All metrics, one `name=value` a line.
    pub fn render(&self, gauges: &Gauges) -> String {
        let mut text = String::new();
        for (status, name) in FINAL_STATUSES {
            for (operation, counts) in &self.final_counts {
                let _ = writeln!(text, "{PREFIX}.{name}.{operation}={}", counts[status as usize]);
            }
        }
        let plain = [
            ("upstream_tries", gauges.forwards_written),
            ("surplus_answers", gauges.surplus_answers),
            ("in_progress", gauges.in_progress as u64),
            ("known_runners", gauges.known_runners as u64),
            ("skipped_runners", gauges.skipped_runners as u64),
            ("buffer_bytes", gauges.buffer_bytes as u64),
            ("released_buffers", gauges.released_buffers),
            ("invocation_bytes", gauges.invocation_bytes as u64),
            ("timers", gauges.timers as u64),
            ("loads", self.loads),
            ("load_errors", self.load_errors),
            ("repeated_callbacks", self.repeated_callbacks),
            ("unclear_callbacks", self.unclear_callbacks),
            ("handover_failures", gauges.handover_failures),
            ("handover_unread", gauges.handover_unread),
            ("log_lines_lost", log::lost_lines()),
        ];
        for (name, value) in plain {
            let _ = writeln!(text, "{PREFIX}.{name}={value}");
        }
        text
    }
}
