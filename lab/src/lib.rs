//! topazsail's lab: emulates deployments and their faults in virtual time or on loopback sockets, and judges
//! the dispatchers independently of their code.
//!
//! `scenario` defines what is played. `world`, `runner` and `load` emulate the deployment, without I/O, and
//! `disks` prepares the dispatchers' store directories. `judge` checks the rules that dispatchers must keep,
//! and `tally` computes the results. `virtual_clock` plays a scenario against the routing policy in this
//! process or a baseline (`policy`), `sockets` against the real program on loopback. `fault_days` and `soak`
//! draw random scenarios. `experiment` and `report` compare and present results.

pub mod disks;
pub mod experiment;
pub mod fault_days;
pub mod judge;
pub mod load;
mod peer_messages;
pub mod policy;
pub mod ramp;
pub mod report;
pub mod runner;
pub mod scenario;
pub mod soak;
pub mod sockets;
mod startup;
pub mod tally;
pub mod virtual_clock;
pub mod world;
