//! Who of the other dispatchers is there, and what they say.
//!
//! `packet` is the one place where a datagram is sealed and opened; `hands` is what they agree on about runners out by
//! hand, `account` on who may spend what of cold runners' budgets; `peers` probes, suspects, numbers lives and exchanges. All of it is a core: no I/O, no clock, no chance but
//! the seed that it is given. See `docs/peers.md`.

pub mod account;
pub mod hands;
pub mod packet;
mod peers;

pub use account::Portion;
pub use hands::{Hands, Version};
pub use packet::{Hand, PACKET_MOST};
pub use peers::{Action, Counts, Life, Member, Peers, Told};

/// Whole microseconds: a moment of the caller's clock, or a span.
pub type Micros = i64;
