//! The fault plan: its rules, its JSON form, and the choice of the fault for each call.

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

/// Which descriptors a rule applies to, by how the process opened them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Endpoint {
    /// Every descriptor.
    #[default]
    Any,
    /// Sockets that the process connected.
    Dialled,
    /// Sockets that the process accepted.
    Accepted,
}

/// What a selected call does instead of succeeding.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Effect {
    /// The call fails with this error.
    Errno(Errno),
    /// The call transfers at most one byte.
    Short,
}

/// One kind of fault: which calls it affects, how, how often and when.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rule {
    /// The calls that the rule applies to.
    pub call: Call,
    /// The descriptors that the rule applies to.
    #[serde(default)]
    pub endpoint: Endpoint,
    /// What a selected call does.
    pub effect: Effect,
    /// The share of calls that are selected, from 0 to 1.
    pub rate: f64,
    /// Milliseconds after the start of the process from which the rule applies.
    #[serde(default)]
    pub from_ms: u64,
    /// Milliseconds after the start of the process from which the rule no longer applies.
    #[serde(default = "forever")]
    pub until_ms: u64,
}

/// The default of [`Rule::until_ms`]: the rule applies until the process ends.
fn forever() -> u64 {
    u64::MAX
}

/// A step of the wall clock; the monotonic clock is not affected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClockStep {
    /// Milliseconds after the start of the process.
    pub at_ms: u64,
    /// Milliseconds by which the wall clock is moved; negative values move it back.
    pub by_ms: i64,
}

/// All faults of one process.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// The seed of the pseudo-random choice of calls.
    pub seed: u64,
    /// The rules; the first one that selects a call determines its effect.
    #[serde(default)]
    pub rules: Vec<Rule>,
    /// Steps of the wall clock.
    #[serde(default)]
    pub clock_steps: Vec<ClockStep>,
}

/// The reason why a plan cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum PlanError {
    /// The text is not JSON of the expected form; the message names the field or the value.
    #[error("fault plan: {0}")]
    Json(#[from] serde_json::Error),
    /// A rate is not from 0 to 1.
    #[error("fault plan: rules.{rule}.rate is {rate}, and must be from 0 to 1")]
    Rate {
        /// The index of the rule.
        rule: usize,
        /// The rate in the plan.
        rate: f64,
    },
}

impl Plan {
    /// Parses a plan from JSON.
    ///
    /// # Errors
    ///
    /// Returns an error that names the first field that is unknown, missing or out of range.
    pub fn parse(text: &str) -> Result<Plan, PlanError> {
        let plan: Plan = serde_json::from_str(text)?;
        for (index, rule) in plan.rules.iter().enumerate() {
            if !(0.0..=1.0).contains(&rule.rate) {
                return Err(PlanError::Rate { rule: index, rate: rule.rate });
            }
        }
        Ok(plan)
    }

    /// Serializes the plan to the JSON that [`Plan::parse`] accepts.
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Returns the effect on the `nth` call of this kind (from 0), made `at_ms` milliseconds after the start
    /// of the process, or `None` if the call is left alone. The same arguments always give the same result.
    pub fn effect(&self, call: Call, endpoint: Endpoint, nth: u64, at_ms: u64) -> Option<Effect> {
        let applies = |rule: &Rule| {
            rule.call == call
                && (rule.endpoint == Endpoint::Any || rule.endpoint == endpoint)
                && (rule.from_ms..rule.until_ms).contains(&at_ms)
        };
        let is_selected = |index: usize, rule: &Rule| uniform(self.seed, index as u64, nth) < rule.rate;
        let mut rules = self.rules.iter().enumerate().filter(|(_, rule)| applies(rule));
        rules.find(|(index, rule)| is_selected(*index, rule)).map(|(_, rule)| rule.effect)
    }

    /// Milliseconds by which the wall clock is shifted, `at_ms` milliseconds after the start of the process.
    pub fn clock_offset_ms(&self, at_ms: u64) -> i64 {
        self.clock_steps.iter().filter(|step| step.at_ms <= at_ms).map(|step| step.by_ms).sum()
    }
}

/// Hashes its arguments to a uniformly distributed number in `0.0..1.0` (SplitMix64).
fn uniform(seed: u64, stream: u64, nth: u64) -> f64 {
    let mut bits =
        seed ^ stream.wrapping_mul(0xd1b5_4a32_d192_ed03) ^ nth.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^= bits >> 31;
    (bits >> 11) as f64 / (1u64 << 53) as f64
}
