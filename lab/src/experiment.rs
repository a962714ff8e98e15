//! Experiments: one scenario played many times, over seeds, values of a field, or policies and programs.
//!
//! This module pairs runs and computes what their differences show. It never compares runs of different
//! seeds, and never counts a void run.

use std::path::{Path, PathBuf};

use rayon::prelude::*;
use serde::Serialize;
use statrs::distribution::{ContinuousCDF, StudentsT};

use crate::policy::Policy;
use crate::scenario::Scenario;
use crate::sockets;
use crate::tally::{Outcome, round};
use crate::virtual_clock::{self, Options};

/// What plays a scenario: a policy or a program.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SystemUnderTest {
    /// A policy, played in virtual time.
    Policy(Policy),
    /// A program, played on sockets.
    Program(PathBuf),
}

impl SystemUnderTest {
    /// Parses the name of a policy, or the path of a program, which contains a '/'.
    pub fn parse(text: &str) -> Result<SystemUnderTest, String> {
        if text.contains('/') {
            Ok(SystemUnderTest::Program(text.into()))
        } else {
            text.parse().map(SystemUnderTest::Policy)
        }
    }

    /// The name for reports.
    pub fn name(&self) -> String {
        match self {
            SystemUnderTest::Policy(policy) => format!("{policy:?}"),
            SystemUnderTest::Program(path) => path.display().to_string(),
        }
    }

    /// Plays a scenario with a seed; `progress` is called with the share done.
    pub fn play(&self, scenario: &Scenario, seed: u64, progress: &dyn Fn(f64)) -> Result<Outcome, String> {
        match self {
            SystemUnderTest::Policy(policy) => {
                virtual_clock::play(scenario, *policy, seed, Options::default()).map(|run| run.outcome)
            }
            SystemUnderTest::Program(path) => sockets::play(scenario, path, seed, progress),
        }
    }
}

/// Mean of the paired differences and half-width of its 95% confidence interval, by Student's t.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Difference {
    pub mean: f64,
    pub half_width: f64,
}

impl Difference {
    /// The difference over all pairs; none for fewer than two.
    pub fn of(pairs: &[(f64, f64)]) -> Option<Difference> {
        let n = pairs.len() as f64;
        if n < 2.0 {
            return None;
        }
        let differences: Vec<f64> = pairs.iter().map(|(a, b)| a - b).collect();
        let mean = differences.iter().sum::<f64>() / n;
        let variance = differences.iter().map(|d| (d - mean).powi(2)).sum::<f64>() / (n - 1.0);
        let t = StudentsT::new(0.0, 1.0, n - 1.0).ok()?.inverse_cdf(0.975);
        Some(Difference { mean: round(mean), half_width: round(t * (variance / n).sqrt()) })
    }

    /// Whether the interval excludes zero.
    pub fn is_significant(&self) -> bool {
        self.mean.abs() > self.half_width
    }
}

/// A comparison of two systems over paired seeds.
#[derive(Clone, Debug, Serialize)]
pub struct Comparison {
    pub scenario: String,
    pub ours: String,
    pub against: String,
    /// One entry per seed that was played without a void run.
    pub pairs: Vec<Pair>,
    pub goodput: Option<Difference>,
    pub p99: Option<Difference>,
    /// Pairs left out because a run was void.
    pub void: usize,
}

/// One seed played with both systems; `ours` first.
#[derive(Clone, Debug, Serialize)]
pub struct Pair {
    pub seed: u64,
    /// Goodput of both.
    pub goodput: (f64, f64),
    /// 99th percentile of latency of both, in milliseconds.
    pub p99: (f64, f64),
    /// Number of violations of both.
    pub broken: (u64, u64),
}

/// Plays the same seeds with both systems; a pair with a void run is left out and counted.
pub fn compare(
    scenario: &Scenario,
    ours: &SystemUnderTest,
    against: &SystemUnderTest,
    pairs: u32,
    progress: &(dyn Fn(f64) + Sync),
) -> Result<Comparison, String> {
    let seeds: Vec<u64> = (0..u64::from(pairs)).map(|nth| scenario.seed + nth).collect();
    let play_pair = |seed: &u64| -> Result<(Outcome, Outcome), String> {
        Ok((ours.play(scenario, *seed, &|_| ())?, against.play(scenario, *seed, &|_| ())?))
    };
    let is_virtual = |system: &SystemUnderTest| matches!(system, SystemUnderTest::Policy(_));
    let played: Vec<(Outcome, Outcome)> = if is_virtual(ours) && is_virtual(against) {
        seeds.par_iter().map(play_pair).collect::<Result<_, _>>()?
    } else {
        // Programs run in real time: one after the other, as parallel runs would compete for the processor.
        let mut played = Vec::new();
        for (nth, seed) in seeds.iter().enumerate() {
            played.push(play_pair(seed)?);
            progress((nth + 1) as f64 / seeds.len() as f64);
        }
        played
    };
    let void = played.iter().filter(|(a, b)| !(a.void.is_empty() && b.void.is_empty())).count();
    let broken = |outcome: &Outcome| outcome.broken.values().sum();
    let pairs: Vec<Pair> = played
        .iter()
        .filter(|(a, b)| a.void.is_empty() && b.void.is_empty())
        .map(|(a, b)| Pair {
            seed: a.seed,
            goodput: (a.goodput, b.goodput),
            p99: (a.latency.p99, b.latency.p99),
            broken: (broken(a), broken(b)),
        })
        .collect();
    let difference_of =
        |figure: fn(&Pair) -> (f64, f64)| Difference::of(&pairs.iter().map(figure).collect::<Vec<_>>());
    Ok(Comparison {
        scenario: scenario.name.clone(),
        ours: ours.name(),
        against: against.name(),
        goodput: difference_of(|pair| pair.goodput),
        p99: difference_of(|pair| pair.p99),
        void,
        pairs,
    })
}

/// The outcomes of one value in a sweep.
#[derive(Clone, Debug, Serialize)]
pub struct Step {
    /// The value of the field.
    pub value: String,
    pub outcomes: Vec<Outcome>,
}

impl Step {
    /// The mean of a figure over all outcomes.
    pub fn mean(&self, figure: impl Fn(&Outcome) -> f64) -> f64 {
        self.outcomes.iter().map(figure).sum::<f64>() / self.outcomes.len().max(1) as f64
    }
}

/// The scenario with one field set to each of the values.
pub fn vary(path: &Path, field: &str, values: &[String]) -> Result<Vec<(String, Scenario)>, String> {
    let name = path.display().to_string();
    // Merged with its base, so that a field of either can be varied.
    let whole = toml::to_string(&Scenario::load(path)?).map_err(|error| format!("{name}: {error}"))?;
    let table: toml::Table =
        toml::from_str(&whole).map_err(|error| format!("{name}: {}", error.message()))?;
    let with_value = |value: &String| {
        let mut table = table.clone();
        set_field(&mut table, field, value).map_err(|fault| format!("{name}: {fault}"))?;
        let text = toml::to_string(&table).map_err(|error| format!("{name}: {error}"))?;
        let scenario = Scenario::parse(&format!("{name} with {field}={value}"), &text)?;
        Ok((value.clone(), scenario))
    };
    values.iter().map(with_value).collect()
}

/// Sets a field by its dotted path, with numbers for places in lists: `clients.load`, `fault.0.size`.
fn set_field(table: &mut toml::Table, field: &str, value: &str) -> Result<(), String> {
    let parsed = format!("v = {value}").parse::<toml::Table>().ok().and_then(|mut table| table.remove("v"));
    let value = parsed.unwrap_or_else(|| toml::Value::String(value.to_owned()));
    let (parents, last) = field.rsplit_once('.').unwrap_or(("", field));
    let mut parent = table;
    let mut parts = parents.split('.').filter(|part| !part.is_empty());
    while let Some(part) = parts.next() {
        let next = parent.entry(part).or_insert_with(|| toml::Value::Table(toml::Table::new()));
        parent = match next {
            toml::Value::Table(table) => table,
            toml::Value::Array(items) => {
                let nth =
                    parts.next().ok_or_else(|| format!("{field}: {part} is a list; name a place in it"))?;
                let item = nth.parse().ok().and_then(|nth: usize| items.get_mut(nth));
                item.and_then(toml::Value::as_table_mut).ok_or_else(|| format!("{field}: no place {nth}"))?
            }
            _ => return Err(format!("{field}: {part} holds no fields")),
        };
    }
    parent.insert(last.to_owned(), value);
    Ok(())
}

/// Plays each scenario with several seeds; policies run in parallel, programs one after the other.
pub fn sweep(
    steps: Vec<(String, Scenario)>,
    system: &SystemUnderTest,
    seeds: u32,
    progress: &(dyn Fn(f64) + Sync),
) -> Result<Vec<Step>, String> {
    let all = steps.len();
    let mut done = Vec::new();
    for (nth, (value, scenario)) in steps.into_iter().enumerate() {
        let seeds = (0..u64::from(seeds)).map(|nth| scenario.seed + nth);
        let outcomes: Result<Vec<Outcome>, String> = match system {
            SystemUnderTest::Policy(_) => {
                let seeds: Vec<u64> = seeds.collect();
                seeds.par_iter().map(|seed| system.play(&scenario, *seed, &|_| ())).collect()
            }
            SystemUnderTest::Program(_) => seeds.map(|seed| system.play(&scenario, seed, &|_| ())).collect(),
        };
        done.push(Step { value, outcomes: outcomes? });
        progress((nth + 1) as f64 / all as f64);
    }
    Ok(done)
}

#[cfg(test)]
mod tests;
