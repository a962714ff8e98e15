//! The topazsail dispatcher on sockets, as a library under a thin binary.
//!
//! It owns the list of its modules. Only what the command line and the lab need is public.

pub mod cli;
mod clients;
pub mod config;
mod conn;
mod desk;
mod figures;
mod handover;
mod http;
mod log;
mod members;
mod migrate;
mod operations;
mod operator;
mod reactor;
mod roster;
mod runners;

#[cfg(test)]
#[path = "../tests/traces.rs"]
mod traces;
