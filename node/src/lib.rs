//! The topazsail dispatcher on sockets, as a library under a thin binary.
//!
//! It owns the list of its modules. Only what the command line and the lab need is public.

mod back;
pub mod cli;
pub mod config;
mod desk;
mod figures;
mod front;
mod life;
mod net;

#[cfg(test)]
#[path = "../tests/traces.rs"]
mod traces;
