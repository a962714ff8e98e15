//! Clients: when each request arrives, and whether a client retries.
//!
//! It does no I/O. Requests are drawn from the seed alone, before anything is answered: two policies with one
//! seed get the same work at the same times. Answers are used only to decide whether a client retries.

use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp1, LogNormal, Zipf};
use rand_pcg::Pcg32;
use topazsail::Micros;

use crate::scenario::{Arrivals, Clients, DeduplicationScope, Effect, Operation, Scenario, Shape};

/// One request of a client, with all its attempts.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    /// When it is due, in microseconds from the start.
    pub at: Micros,
    pub operation: usize,
    /// Work in microseconds at speed 1.
    pub work: f64,
    /// The key, for operations that have keys.
    pub key: Option<u32>,
    /// The client's zone.
    pub zone: usize,
}

/// A separate generator for each purpose, so that the draws of one purpose never shift those of another.
/// `purpose` is an arbitrary number, different for each purpose of a seed.
pub fn seeded_generator(seed: u64, purpose: u64) -> Pcg32 {
    let mixed = topazsail::hash(&[seed.to_le_bytes(), purpose.to_le_bytes()].concat());
    Pcg32::seed_from_u64(mixed)
}

/// Generates the requests of all clients in order of time.
pub struct ArrivalGenerator {
    operations: Vec<Operation>,
    /// Cumulative shares of the operations, up to 1.
    shares: Vec<f64>,
    /// Distribution of the work, by operation, if it is log-normal.
    works: Vec<Option<LogNormal<f64>>>,
    /// Distribution of the keys, by operation, for those that have keys.
    keys: Vec<Option<Zipf<f64>>>,
    clients: Clients,
    zones: usize,
    /// Mean time between arrivals at the highest rate, in microseconds.
    mean_gap: f64,
    /// The highest rate, as a multiple of the mean.
    peak: f64,
    /// The time of the latest arrival, in microseconds.
    at: f64,
    /// When clients stop sending new requests, in microseconds.
    end: Micros,
    rng: Pcg32,
    /// The present phase of `bursts`: when it ends, and whether its rate is high.
    burst_phase: (f64, bool),
}

impl ArrivalGenerator {
    /// `capacity` is the work that all runners do in a microsecond when warm and without faults.
    pub fn new(scenario: &Scenario, capacity: f64, seed: u64) -> ArrivalGenerator {
        let operations = scenario.operation.clone();
        let total: f64 = operations.iter().map(|op| op.share).sum();
        let mut sum = 0.0;
        let mut shares = Vec::new();
        for op in &operations {
            sum += op.share / total;
            shares.push(sum);
        }
        let lognormal = |op: &Operation| {
            let mean = op.work.0 as f64;
            (op.shape == Shape::Lognormal).then(|| LogNormal::from_mean_cv(mean, op.cv).ok()).flatten()
        };
        let zipf = |op: &Operation| {
            (op.keys > 0).then(|| Zipf::new(f64::from(op.keys), scenario.clients.zipf).ok()).flatten()
        };
        let clients = scenario.clients.clone();
        let peak = if clients.arrivals == Arrivals::Poisson { 1.0 } else { 1.0 + clients.swing };
        ArrivalGenerator {
            works: operations.iter().map(lognormal).collect(),
            keys: operations.iter().map(zipf).collect(),
            mean_gap: scenario.mean_work() / (capacity * clients.load * peak).max(1e-12),
            peak,
            operations,
            shares,
            zones: scenario.zones.names.len(),
            clients,
            at: 0.0,
            end: scenario.length.0,
            rng: seeded_generator(seed, 1),
            burst_phase: (0.0, false),
        }
    }

    /// The rate at a time, as a multiple of the mean.
    fn level(&mut self, at: f64) -> f64 {
        let (swing, period) = (self.clients.swing, self.clients.period.0.max(1) as f64);
        match self.clients.arrivals {
            Arrivals::Poisson => 1.0,
            Arrivals::Daily => 1.0 + swing * (std::f64::consts::TAU * at / period).sin(),
            Arrivals::Bursts => {
                while at >= self.burst_phase.0 {
                    let draw: f64 = Exp1.sample(&mut self.rng);
                    self.burst_phase = (self.burst_phase.0 + draw * period / 2.0, !self.burst_phase.1);
                }
                if self.burst_phase.1 { 1.0 + swing } else { 1.0 - swing }
            }
        }
    }
}

impl Iterator for ArrivalGenerator {
    type Item = ClientRequest;

    fn next(&mut self) -> Option<ClientRequest> {
        loop {
            let draw: f64 = Exp1.sample(&mut self.rng);
            self.at += draw * self.mean_gap;
            if self.at >= self.end as f64 {
                return None;
            }
            // Thinning: arrivals are drawn at the highest rate, and each is kept with the probability of the
            // present rate over the highest.
            let level = self.level(self.at) / self.peak;
            if self.rng.random::<f64>() < level {
                break;
            }
        }
        let drawn: f64 = self.rng.random();
        let operation = self.shares.iter().position(|sum| drawn < *sum).unwrap_or(self.shares.len() - 1);
        let op = &self.operations[operation];
        let mean = op.work.0 as f64;
        let work = match (op.shape, &self.works[operation]) {
            (Shape::Lognormal, Some(drawn)) => drawn.sample(&mut self.rng),
            (Shape::Exponential, _) => {
                let draw: f64 = Exp1.sample(&mut self.rng);
                draw * mean
            }
            _ => mean,
        };
        let key = self.keys[operation].as_ref().map(|zipf| zipf.sample(&mut self.rng) as u32);
        let zone = self.rng.random_range(0..self.zones);
        Some(ClientRequest { at: self.at as Micros, operation, work: work.max(1.0), key, zone })
    }
}

/// The result of one attempt, as its client sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    Succeeded,
    /// Throttled, with the advised wait if there was one.
    Throttled(Option<Micros>),
    Errored,
    /// No dispatcher accepted it.
    NotAccepted,
    /// It was accepted, and then its connection ended or no answer came in time.
    NoAnswer,
}

/// When a client retries, if it does. It uses its own generator, so that answers under one policy shift no
/// other draws.
pub fn retry_time(
    scenario: &Scenario,
    seed: u64,
    request: (u64, &ClientRequest),
    attempts: u32,
    seen: AttemptResult,
    now: Micros,
) -> Option<Micros> {
    let (number, request) = request;
    let (clients, op) = (&scenario.clients, &scenario.operation[request.operation]);
    let is_within_window = op.effect == Effect::Deduplicated
        && op.group == DeduplicationScope::All
        && now < request.at + op.memory_span.0.saturating_sub(100_000);
    let repeat_is_harmless = match seen {
        AttemptResult::Succeeded => false,
        AttemptResult::Throttled(_) | AttemptResult::NotAccepted => true,
        AttemptResult::Errored | AttemptResult::NoAnswer => {
            op.effect == Effect::Idempotent || is_within_window
        }
    };
    if !repeat_is_harmless || attempts > clients.retries {
        return None;
    }
    let mut rng = seeded_generator(seed, (number << 8) | 0x80 | u64::from(attempts));
    let wait = (clients.retry_wait.0 << (attempts - 1).min(10)) as f64 * rng.random_range(0.5..1.5);
    let wait = match seen {
        AttemptResult::Throttled(Some(advice)) if rng.random::<f64>() < clients.honour => advice as f64,
        _ => wait,
    };
    let at = now + wait as Micros;
    (at + 1_000 < request.at + op.client_timeout.0).then_some(at)
}
