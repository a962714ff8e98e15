//! Clients: when each brings what, and whether it comes back.
//!
//! It does no I/O. What is brought is drawn from the seed alone, before anything is answered: two policies
//! with one seed are brought the same work at the same moments. It must never look at an answer but to say
//! whether the client tries again.

use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp1, LogNormal, Zipf};
use rand_pcg::Pcg32;
use topazsail::Micros;

use crate::scenario::{Arrivals, Clients, DeduplicationScope, Effect, Operation, Scenario, Shape};

/// One thing that a client wants, with all its tries.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    pub at: Micros,
    pub operation: usize,
    /// Work at speed 1.
    pub work: f64,
    pub key: Option<u32>,
    pub zone: usize,
}

/// A generator of its own for each purpose, so that one purpose's draws never shift another's.
pub fn seeded_generator(seed: u64, purpose: u64) -> Pcg32 {
    let mixed = topazsail::hash(&[seed.to_le_bytes(), purpose.to_le_bytes()].concat());
    Pcg32::seed_from_u64(mixed)
}

pub struct ArrivalGenerator {
    operations: Vec<Operation>,
    shares: Vec<f64>,
    works: Vec<Option<LogNormal<f64>>>,
    keys: Vec<Option<Zipf<f64>>>,
    clients: Clients,
    zones: usize,
    /// Mean gap in microseconds at the highest rate.
    mean_gap: f64,
    peak: f64,
    at: f64,
    end: Micros,
    rng: Pcg32,
    /// The present stretch of bursts: until when, and whether high.
    burst_phase: (f64, bool),
}

impl ArrivalGenerator {
    /// `capacity` is the work that all runners do in a microsecond when warm and well.
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

    /// The rate at a moment as a share of the mean.
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
            // Thinning: arrivals at the highest rate, each kept by the share that the moment has of it.
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

/// What a client sees of one try.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    Succeeded,
    Throttled(Option<Micros>),
    Errored,
    /// No dispatcher took it.
    Untaken,
    /// It was taken, and then its connection ended or nothing came in time.
    Nothing,
}

/// Whether and when a client tries again: its own draws, so that one policy's answers shift no one else's.
pub fn retry_time(
    scenario: &Scenario,
    seed: u64,
    ask: (u64, &ClientRequest),
    attempts: u32,
    seen: AttemptResult,
    now: Micros,
) -> Option<Micros> {
    let (number, ask) = ask;
    let (clients, op) = (&scenario.clients, &scenario.operation[ask.operation]);
    let is_within_window = op.effect == Effect::Deduplicated
        && op.group == DeduplicationScope::All
        && now < ask.at + op.memory_span.0.saturating_sub(100_000);
    let repeat_is_harmless = match seen {
        AttemptResult::Succeeded => false,
        AttemptResult::Throttled(_) | AttemptResult::Untaken => true,
        AttemptResult::Errored | AttemptResult::Nothing => {
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
    (at + 1_000 < ask.at + op.client_timeout.0).then_some(at)
}
