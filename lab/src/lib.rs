//! topazsail's lab: one world under two clocks, and a judge apart from both.
//!
//! `scenario` says what is played; `world`, `runner` and `load` are the deployment, with no I/O; `judge` and
//! `tally` say what came of it. `virtual_clock` plays it with the module in process, `sockets` with the real
//! program on loopback. `experiment` and `report` are for people.

pub mod disks;
pub mod experiment;
pub mod judge;
pub mod load;
pub mod ordeal;
pub mod policy;
pub mod ramp;
pub mod report;
pub mod runner;
pub mod scenario;
pub mod soak;
pub mod sockets;
mod start;
mod talk;
pub mod tally;
pub mod virtual_clock;
pub mod world;
