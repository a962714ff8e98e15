//! The plan itself: its rules, how it is written down, and which fault an individual call gets.

use serde::{Deserialize, Serialize};

use crate::Errno;

/// A group of system calls that a rule applies to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Call {
    /// `accept`, `accept4`.
    Accept,
    /// `socket`.
    Socket,
    /// `connect`.
    Connect,
    /// `recv`, and `read` from a socket.
    Receive,
    /// `send`, and `write` to a socket.
    Send,
    /// `open`, `openat`.
    Open,
    /// `write` and `pwrite` to a regular file other than the log.
    Write,
    /// `fsync`, `fdatasync`.
    Sync,
    /// `rename`.
    Rename,
    /// `write` to standard error.
    Log,
}

/// Which descriptors a rule for sockets applies to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Endpoint {
    /// Every descriptor.
    #[default]
    Any,
    /// Sockets that the process connected itself.
    Dialled,
    /// Sockets that the process accepted.
    Accepted,
}

/// What a call does instead of succeeding.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Effect {
    /// It fails with this error.
    Errno(Errno),
    /// It transfers one byte only.
    Short,
}

/// One kind of fault.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rule {
    /// The calls that may fail.
    pub call: Call,
    /// Which descriptors they may fail on.
    #[serde(default)]
    pub endpoint: Endpoint,
    /// How they fail.
    pub effect: Effect,
    /// The share of calls that fail, from 0 to 1.
    pub rate: f64,
    /// Milliseconds after the start of the process at which the rule begins to apply.
    #[serde(default)]
    pub from_ms: u64,
    /// Milliseconds after the start of the process at which the rule ceases to apply.
    #[serde(default = "forever")]
    pub until_ms: u64,
}

fn forever() -> u64 {
    u64::MAX
}

/// A step of the wall clock; the monotonic clock is not affected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClockStep {
    /// Milliseconds after the start of the process.
    pub at_ms: u64,
    /// Milliseconds by which the wall clock is moved, negative for back.
    pub by_ms: i64,
}

/// All faults of one process.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Seeds the choice of calls that fail.
    pub seed: u64,
    /// The faults; the first rule that chooses a call decides its fate.
    #[serde(default)]
    pub rules: Vec<Rule>,
    /// Steps of the wall clock.
    #[serde(default)]
    pub clock_steps: Vec<ClockStep>,
}

/// Why a plan cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum PlanError {
    /// It is not JSON of the expected form; the message names the field or the value.
    #[error("fault plan: {0}")]
    Form(#[from] serde_json::Error),
    /// A rate is not a share.
    #[error("fault plan: rules.{rule}.rate is {rate}, and must be from 0 to 1")]
    Rate {
        /// The position of the rule.
        rule: usize,
        /// The rate that was given.
        rate: f64,
    },
}

impl Plan {
    /// Reads a plan from JSON.
    ///
    /// # Errors
    ///
    /// The first field that is unknown, missing or out of range.
    pub fn parse(text: &str) -> Result<Plan, PlanError> {
        let plan: Plan = serde_json::from_str(text)?;
        for (rule, told) in plan.rules.iter().enumerate() {
            if !(0.0..=1.0).contains(&told.rate) {
                return Err(PlanError::Rate { rule, rate: told.rate });
            }
        }
        Ok(plan)
    }

    /// The plan as JSON, as [`Plan::parse`] reads it.
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }

    /// What happens to the `nth` call of this kind, made `at_ms` after the start of the process.
    pub fn effect(&self, call: Call, endpoint: Endpoint, nth: u64, at_ms: u64) -> Option<Effect> {
        let applies = |rule: &Rule| {
            rule.call == call
                && (rule.endpoint == Endpoint::Any || rule.endpoint == endpoint)
                && (rule.from_ms..rule.until_ms).contains(&at_ms)
        };
        let chosen = |position: usize, rule: &Rule| draw(self.seed, position as u64, nth) < rule.rate;
        let mut rules = self.rules.iter().enumerate().filter(|(_, rule)| applies(rule));
        rules.find(|(position, rule)| chosen(*position, rule)).map(|(_, rule)| rule.effect)
    }

    /// Milliseconds by which the wall clock is off, `at_ms` after the start of the process.
    pub fn clock_offset_ms(&self, at_ms: u64) -> i64 {
        self.clock_steps.iter().filter(|step| step.at_ms <= at_ms).map(|step| step.by_ms).sum()
    }
}

/// A number from 0 to 1 that depends on its arguments only (SplitMix64).
fn draw(seed: u64, stream: u64, nth: u64) -> f64 {
    let mut bits =
        seed ^ stream.wrapping_mul(0xd1b5_4a32_d192_ed03) ^ nth.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^= bits >> 31;
    (bits >> 11) as f64 / (1u64 << 53) as f64
}
