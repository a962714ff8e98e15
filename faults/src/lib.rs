//! Plans of system-call faults: which call fails, how, how often and when.
//!
//! A [`Plan`] is data. The shim package (`faults/shim`) is loaded into a process under test with `LD_PRELOAD`, reads
//! the plan from [`PLAN_VARIABLE`] and applies it; tests and the lab write plans and never link the shim themselves.
#![warn(missing_docs)]

mod errno;
mod plan;
pub mod shim;

pub use errno::Errno;
pub use plan::{Call, ClockStep, Effect, Endpoint, Plan, PlanError, Rule};

/// The environment variable that holds a plan as JSON.
pub const PLAN_VARIABLE: &str = "TOPAZSAIL_FAULT_PLAN";
