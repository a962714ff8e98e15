//! What a run came to: counts, billed value in time, latencies from when work was due, load by runner.
//!
//! It owns the figures and their form as JSON. It does no I/O; a run with the same seed in virtual time gives
//! the same bytes, so it must never hold anything that depends on the wall clock there.

use std::collections::{BTreeMap, VecDeque};

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use topazsail::Micros;

use crate::load::ClientRequest;
use crate::ramp::ramp;
use crate::scenario::Scenario;

/// How an ask ended for its client, over all its tries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestResult {
    Succeeded,
    Throttled,
    Errored,
    /// No answer at all.
    Nothing,
}

#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Counts {
    pub asked: u64,
    pub in_time: u64,
    pub late: u64,
    pub throttled: u64,
    pub errored: u64,
    pub nothing: u64,
}

impl Counts {
    fn add(&mut self, end: RequestResult, in_time: bool) {
        self.asked += 1;
        match end {
            RequestResult::Succeeded if in_time => self.in_time += 1,
            RequestResult::Succeeded => self.late += 1,
            RequestResult::Throttled => self.throttled += 1,
            RequestResult::Errored => self.errored += 1,
            RequestResult::Nothing => self.nothing += 1,
        }
    }
}

/// Milliseconds from when the work was due to the last byte of its success.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Latency {
    pub p50: f64,
    pub p90: f64,
    pub p99: f64,
    pub p999: f64,
    pub mean: f64,
}

impl Latency {
    fn of(histogram: &Histogram<u64>) -> Latency {
        let at = |quantile| histogram.value_at_quantile(quantile) as f64 / 100.0;
        let mean = histogram.mean().round() / 100.0;
        Latency { p50: at(0.5), p90: at(0.9), p99: at(0.99), p999: at(0.999), mean }
    }
}

#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct OperationOutcome {
    pub name: String,
    pub counts: Counts,
    pub goodput: f64,
    pub latency: Latency,
}

/// One stretch of a run, by when the work was due.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Window {
    /// Seconds from the start.
    pub at: f64,
    pub counts: Counts,
    pub goodput: f64,
    pub p50: f64,
    pub p99: f64,
    /// What the runners' warmth alone allows, as goodput (`ramp`).
    #[serde(default)]
    pub ramp: f64,
    /// The same with what is worth most for its work first.
    #[serde(default)]
    pub best: f64,
}

#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct RunnerOutcome {
    pub name: String,
    pub zone: String,
    pub kind: String,
    pub forwards: u64,
    /// Work done over what it could have done, warm and well, in the length of the run.
    pub used: f64,
}

/// A fault as it was played, for the report's bands.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct FaultBand {
    pub what: String,
    pub from: f64,
    pub to: f64,
}

#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Traffic {
    pub tries: u64,
    pub forwards: u64,
    pub crossings: u64,
    pub probes: u64,
    pub cancels: u64,
    pub connections: u64,
    pub turned_away: u64,
    /// Between dispatchers.
    #[serde(default)]
    pub datagrams: u64,
    #[serde(default)]
    pub datagram_bytes: u64,
    /// Calls at discovery, and the most of them in any second.
    #[serde(default)]
    pub calls: u64,
    #[serde(default)]
    pub calls_most: u64,
}

/// What all dispatchers together sent to cold runners, of what the rule on them allows: in the mean of all of it, and
/// at most in any span that the rule looks at.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ColdUsage {
    pub used: f64,
    pub most: f64,
    /// Spans that ended with a call, those of them with more calls than chance explains, and the most of that in any.
    #[serde(default)]
    pub spans: u64,
    #[serde(default)]
    pub over: u64,
    #[serde(default)]
    pub most_by_chance: f64,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Outcome {
    pub scenario: String,
    pub clock: String,
    pub program: String,
    pub seed: u64,
    pub seconds: f64,
    #[serde(default)]
    pub dispatchers: u32,
    /// Billed value answered in time (in part where late) over the value asked for. Simulated runners.
    pub goodput: f64,
    pub counts: Counts,
    pub latency: Latency,
    pub operations: Vec<OperationOutcome>,
    pub traffic: Traffic,
    pub windows: Vec<Window>,
    pub runners: Vec<RunnerOutcome>,
    #[serde(default)]
    pub cold: Option<ColdUsage>,
    pub faults: Vec<FaultBand>,
    pub verdict: serde_json::Value,
    /// Rules broken, by name: empty where all were kept.
    pub broken: BTreeMap<String, u64>,
    /// Why the run says nothing, where it does not: the lab itself was late, or lost count.
    pub void: Vec<String>,
    /// Only on sockets: CPU microseconds for an invocation, peak memory in MB, by dispatcher.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub processes: Vec<Process>,
    #[serde(default)]
    pub notes: Vec<String>,
}

#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Process {
    pub name: String,
    pub cpu_ms: f64,
    pub peak_mb: f64,
    pub starts: u32,
}

const WINDOW: Micros = 1_000_000;

struct WindowTally {
    counts: Counts,
    asked_value: f64,
    achieved_value: f64,
    latency: Histogram<u64>,
}

pub struct Tally {
    operations: Vec<(Counts, f64, f64, Histogram<u64>)>,
    all: Histogram<u64>,
    windows: Vec<WindowTally>,
    objectives: Vec<(Micros, Micros, f64, f64)>,
    pub traffic: Traffic,
    pub forwards: Vec<u64>,
    /// When discovery was called within the last second.
    calls: VecDeque<Micros>,
}

/// Three digits up to an hour, in units of a hundredth of a millisecond.
fn histogram() -> Histogram<u64> {
    let mut histogram = Histogram::new(3).expect("three digits are allowed");
    histogram.auto(true);
    histogram
}

impl Tally {
    pub fn new(scenario: &Scenario) -> Tally {
        let ops = &scenario.operation;
        let windows = (scenario.length.0 + WINDOW - 1) / WINDOW;
        let window = || WindowTally {
            counts: Counts::default(),
            asked_value: 0.0,
            achieved_value: 0.0,
            latency: histogram(),
        };
        Tally {
            operations: ops.iter().map(|_| (Counts::default(), 0.0, 0.0, histogram())).collect(),
            all: histogram(),
            windows: (0..windows).map(|_| window()).collect(),
            objectives: ops
                .iter()
                .map(|op| (op.latency_objective.0, op.client_timeout.0, op.billed_value, op.late_share))
                .collect(),
            traffic: Traffic::default(),
            forwards: vec![0; scenario.runners()],
            calls: VecDeque::new(),
        }
    }

    /// An ask has ended, so long after it was due.
    pub fn record_end(&mut self, request: &ClientRequest, end: RequestResult, after: Micros) {
        let (objective, timeout, value, late) = self.objectives[request.operation];
        let in_time = after <= objective;
        let achieved = match end {
            RequestResult::Succeeded if in_time => value,
            RequestResult::Succeeded if after <= timeout => value * late,
            _ => 0.0,
        };
        let hundredths = (after.max(0) / 10) as u64;
        let of = &mut self.operations[request.operation];
        of.0.add(end, in_time);
        of.1 += value;
        of.2 += achieved;
        if end == RequestResult::Succeeded {
            let _ = of.3.record(hundredths);
            let _ = self.all.record(hundredths);
        }
        let nth = ((request.at / WINDOW) as usize).min(self.windows.len() - 1);
        let window = &mut self.windows[nth];
        window.counts.add(end, in_time);
        window.asked_value += value;
        window.achieved_value += achieved;
        if end == RequestResult::Succeeded {
            let _ = window.latency.record(hundredths);
        }
    }

    /// A call has reached discovery.
    pub fn record_discovery_call(&mut self, at: Micros) {
        self.traffic.calls += 1;
        self.calls.push_back(at);
        while self.calls.front().is_some_and(|first| *first <= at - WINDOW) {
            self.calls.pop_front();
        }
        self.traffic.calls_most = self.traffic.calls_most.max(self.calls.len() as u64);
    }

    pub fn outcome(self, scenario: &Scenario, details: RunDetails) -> Outcome {
        let ratio = |achieved: f64, asked: f64| if asked > 0.0 { round(achieved / asked) } else { 1.0 };
        let (mut counts, mut asked, mut achieved) = (Counts::default(), 0.0, 0.0);
        let mut operations = Vec::new();
        for ((of, value, operation_achieved, histogram), op) in
            self.operations.iter().zip(&scenario.operation)
        {
            counts.asked += of.asked;
            counts.in_time += of.in_time;
            counts.late += of.late;
            counts.throttled += of.throttled;
            counts.errored += of.errored;
            counts.nothing += of.nothing;
            asked += value;
            achieved += operation_achieved;
            operations.push(OperationOutcome {
                name: op.name.clone(),
                counts: of.clone(),
                goodput: ratio(*operation_achieved, *value),
                latency: Latency::of(histogram),
            });
        }
        let (ramp, budget) = ramp(scenario, details.seed);
        let window = |(nth, window): (usize, WindowTally)| {
            let latency = Latency::of(&window.latency);
            Window {
                at: (nth as Micros * WINDOW) as f64 / 1e6,
                goodput: ratio(window.achieved_value, window.asked_value),
                counts: window.counts,
                p50: latency.p50,
                p99: latency.p99,
                ramp: ramp[nth].0,
                best: ramp[nth].1,
            }
        };
        let verdict = &details.verdict;
        Outcome {
            scenario: scenario.name.clone(),
            clock: details.clock,
            program: details.program,
            seed: details.seed,
            seconds: scenario.length.0 as f64 / 1e6,
            dispatchers: scenario.dispatchers,
            goodput: ratio(achieved, asked),
            counts,
            latency: Latency::of(&self.all),
            operations,
            traffic: self.traffic,
            windows: self.windows.into_iter().enumerate().map(window).collect(),
            runners: details.runners,
            cold: (budget > 0.0).then(|| ColdUsage {
                used: round(details.cold.0 / budget),
                most: round(details.cold.1),
                spans: details.cold_calls.spans,
                over: details.cold_calls.over,
                most_by_chance: round(details.cold_calls.most),
            }),
            faults: details.faults,
            broken: verdict.violations.iter().map(|(rule, count)| (rule.to_string(), *count)).collect(),
            verdict: serde_json::to_value(verdict).unwrap_or_default(),
            void: details.void.into_iter().chain(verdict.own_faults.clone()).collect(),
            processes: details.processes,
            notes: details.notes,
        }
    }
}

/// What a clock tells of its run besides the tally.
pub struct RunDetails {
    pub clock: String,
    pub program: String,
    pub seed: u64,
    pub runners: Vec<RunnerOutcome>,
    pub faults: Vec<FaultBand>,
    pub verdict: crate::judge::Verdict,
    /// Work that was sent to cold runners, and the largest share of a budget that was used.
    pub cold: (f64, f64),
    pub cold_calls: crate::judge::ColdCalls,
    pub void: Vec<String>,
    pub processes: Vec<Process>,
    pub notes: Vec<String>,
}

/// To a ten-thousandth.
pub fn round(value: f64) -> f64 {
    (value * 1e4).round() / 1e4
}
