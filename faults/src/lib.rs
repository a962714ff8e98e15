//! Plans of system-call faults: which call fails, how, how often and when.
//!
//! The shim package (`faults/shim`) is loaded into the process under test with `LD_PRELOAD`, reads a [`Plan`]
//! from [`PLAN_VARIABLE`] and applies it. Tests and the lab only write plans; they do not link the shim.
#![warn(missing_docs)]

mod errno;
mod plan;
pub mod shim;

pub use errno::Errno;
pub use plan::{Call, ClockStep, Effect, Endpoint, Plan, PlanError, Rule};

/// The environment variable that holds a plan as JSON.
pub const PLAN_VARIABLE: &str = "TOPAZSAIL_FAULT_PLAN";
