//! The topazsail dispatcher on real sockets, as a library under a thin binary.
//!
//! Only what the command line and the lab need is public.

pub mod cli;
pub mod config;
mod ingress;
mod lifecycle;
mod metrics;
mod net;
mod request_table;
mod upstream;

#[cfg(test)]
#[path = "../tests/traces.rs"]
mod traces;

#[cfg(test)]
#[path = "../tests/object_scanner.rs"]
mod object_scanner;

#[cfg(test)]
#[path = "../tests/request_progress.rs"]
mod request_progress;
