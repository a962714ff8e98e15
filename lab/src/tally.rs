//! The results of a run: counts, goodput by billed value, latencies from when work was due, load by runner.
//!
//! It computes the figures and defines their JSON format. It does no I/O. In virtual time a run with the same
//! seed gives the same bytes, so nothing here depends on the wall clock there.

use std::collections::{BTreeMap, VecDeque};

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use topazsail::Micros;

use crate::load::ClientRequest;
use crate::ramp::ramp;
use crate::scenario::Scenario;

/// How a request ended for its client, after all attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestResult {
    Succeeded,
    Throttled,
    Errored,
    /// No answer at all.
    Nothing,
}

/// Requests by result.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Counts {
    pub asked: u64,
    pub in_time: u64,
    pub late: u64,
    pub throttled: u64,
    pub errored: u64,
    /// Requests without any answer.
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

/// Latency in milliseconds, from when the work was due to the last byte of its success.
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

/// The results of one operation.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct OperationOutcome {
    pub name: String,
    pub counts: Counts,
    pub goodput: f64,
    pub latency: Latency,
}

/// One second of a run, by when the work was due.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Window {
    /// Start of the window, in seconds from the start of the run.
    pub at: f64,
    pub counts: Counts,
    pub goodput: f64,
    pub p50: f64,
    pub p99: f64,
    /// The goodput that the runners' warmth alone allows (`ramp`).
    #[serde(default)]
    pub ramp: f64,
    /// The same if the work with the most value for its length comes first.
    #[serde(default)]
    pub best: f64,
}

/// The load of one runner.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct RunnerOutcome {
    pub name: String,
    pub zone: String,
    pub kind: String,
    pub forwards: u64,
    /// Work done, as a share of what the runner could have done in the length of the run when warm and
    /// without faults.
    pub used: f64,
}

/// A fault as it was played, in seconds from the start, for the bands of the report.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct FaultBand {
    pub what: String,
    pub from: f64,
    pub to: f64,
}

/// Counts of attempts, forwards and messages.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Traffic {
    /// Attempts of clients.
    pub tries: u64,
    pub forwards: u64,
    /// Forwards to another zone.
    pub crossings: u64,
    pub probes: u64,
    pub cancels: u64,
    pub connections: u64,
    /// Forwards that runners rejected as full.
    pub turned_away: u64,
    /// Datagrams between dispatchers, and their bytes.
    #[serde(default)]
    pub datagrams: u64,
    #[serde(default)]
    pub datagram_bytes: u64,
    /// Calls at discovery.
    #[serde(default)]
    pub calls: u64,
    /// The most calls at discovery in any second.
    #[serde(default)]
    pub calls_most: u64,
}

/// What all dispatchers together sent to cold runners, against what the rule on them allows.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ColdUsage {
    /// Work sent, as a share of the budgets of all cold runners.
    pub used: f64,
    /// The largest share of a budget used in any span that the rule covers.
    pub most: f64,
    /// Spans that end with a call to a cold runner.
    #[serde(default)]
    pub spans: u64,
    /// Spans with more calls than the call limit.
    #[serde(default)]
    pub over: u64,
    /// The largest share of the call limit in any span.
    #[serde(default)]
    pub most_by_chance: f64,
}

/// The results of a run, as written to JSON.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Outcome {
    pub scenario: String,
    pub clock: String,
    pub program: String,
    pub seed: u64,
    pub seconds: f64,
    #[serde(default)]
    pub dispatchers: u32,
    /// Billed value answered in time (in part where late) over the value requested. Runners are simulated.
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
    /// Violations by rule; empty if all rules were kept.
    pub broken: BTreeMap<String, u64>,
    /// Why the run is void, if it is: for example, the lab itself was late, or its observations contradict
    /// each other.
    pub void: Vec<String>,
    /// CPU time and peak memory by dispatcher; on sockets only.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub processes: Vec<Process>,
    #[serde(default)]
    pub notes: Vec<String>,
}

/// Resource usage of one dispatcher's process: CPU time in milliseconds, peak memory in MB, and starts.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Process {
    pub name: String,
    pub cpu_ms: f64,
    pub peak_mb: f64,
    pub starts: u32,
}

/// Length of a window, in microseconds.
const WINDOW: Micros = 1_000_000;

/// The figures of one window.
struct WindowTally {
    counts: Counts,
    requested_value: f64,
    achieved_value: f64,
    latency: Histogram<u64>,
}

/// Collects the figures of a run.
pub struct Tally {
    /// By operation: counts, requested value, achieved value and latencies.
    operations: Vec<(Counts, f64, f64, Histogram<u64>)>,
    all: Histogram<u64>,
    windows: Vec<WindowTally>,
    /// By operation: latency objective and client timeout in microseconds, billed value and its share when
    /// late.
    objectives: Vec<(Micros, Micros, f64, f64)>,
    pub traffic: Traffic,
    /// Forwards by runner.
    pub forwards: Vec<u64>,
    /// Times of the calls at discovery within the last second.
    calls: VecDeque<Micros>,
}

/// A histogram with three significant digits, in hundredths of a millisecond; it grows as needed.
fn histogram() -> Histogram<u64> {
    let mut histogram = Histogram::new(3).expect("three digits are allowed");
    histogram.auto(true);
    histogram
}

impl Tally {
    /// An empty tally for a scenario.
    pub fn new(scenario: &Scenario) -> Tally {
        let ops = &scenario.operation;
        let windows = (scenario.length.0 + WINDOW - 1) / WINDOW;
        let window = || WindowTally {
            counts: Counts::default(),
            requested_value: 0.0,
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

    /// Records the end of a request, `after` microseconds after it was due.
    pub fn record_end(&mut self, request: &ClientRequest, end: RequestResult, after: Micros) {
        let (objective, timeout, value, late) = self.objectives[request.operation];
        let in_time = after <= objective;
        let achieved = match end {
            RequestResult::Succeeded if in_time => value,
            RequestResult::Succeeded if after <= timeout => value * late,
            _ => 0.0,
        };
        let hundredths = (after.max(0) / 10) as u64;
        let operation = &mut self.operations[request.operation];
        operation.0.add(end, in_time);
        operation.1 += value;
        operation.2 += achieved;
        if end == RequestResult::Succeeded {
            let _ = operation.3.record(hundredths);
            let _ = self.all.record(hundredths);
        }
        let nth = ((request.at / WINDOW) as usize).min(self.windows.len() - 1);
        let window = &mut self.windows[nth];
        window.counts.add(end, in_time);
        window.requested_value += value;
        window.achieved_value += achieved;
        if end == RequestResult::Succeeded {
            let _ = window.latency.record(hundredths);
        }
    }

    /// Records a call at discovery.
    pub fn record_discovery_call(&mut self, at: Micros) {
        self.traffic.calls += 1;
        self.calls.push_back(at);
        while self.calls.front().is_some_and(|first| *first <= at - WINDOW) {
            self.calls.pop_front();
        }
        self.traffic.calls_most = self.traffic.calls_most.max(self.calls.len() as u64);
    }

    /// Computes the results of the run.
    pub fn outcome(self, scenario: &Scenario, details: RunDetails) -> Outcome {
        let ratio =
            |achieved: f64, requested: f64| if requested > 0.0 { round(achieved / requested) } else { 1.0 };
        let (mut counts, mut requested, mut achieved) = (Counts::default(), 0.0, 0.0);
        let mut operations = Vec::new();
        for ((operation_counts, value, operation_achieved, histogram), op) in
            self.operations.iter().zip(&scenario.operation)
        {
            counts.asked += operation_counts.asked;
            counts.in_time += operation_counts.in_time;
            counts.late += operation_counts.late;
            counts.throttled += operation_counts.throttled;
            counts.errored += operation_counts.errored;
            counts.nothing += operation_counts.nothing;
            requested += value;
            achieved += operation_achieved;
            operations.push(OperationOutcome {
                name: op.name.clone(),
                counts: operation_counts.clone(),
                goodput: ratio(*operation_achieved, *value),
                latency: Latency::of(histogram),
            });
        }
        let (ramp, budget) = ramp(scenario, details.seed);
        let window = |(nth, window): (usize, WindowTally)| {
            let latency = Latency::of(&window.latency);
            Window {
                at: (nth as Micros * WINDOW) as f64 / 1e6,
                goodput: ratio(window.achieved_value, window.requested_value),
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
            goodput: ratio(achieved, requested),
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

/// What a clock adds to the tally of its run.
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

/// Rounds to a ten-thousandth.
pub fn round(value: f64) -> f64 {
    (value * 1e4).round() / 1e4
}
