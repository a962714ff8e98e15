//! Who of the other dispatchers is there, and what they say.
//!
//! `packet` is the one place where a datagram is sealed and opened; `admin_overrides` is what they agree on about runners out by
//! hand, `slow_start` on who may spend what of cold runners' budgets; `peers` probes, suspects, numbers lives and exchanges. All of it is a core: no I/O, no clock, no chance but
//! the seed that it is given. See `docs/peers.md`.

pub mod admin_overrides;
pub mod packet;
mod peers;
pub mod slow_start;

pub use admin_overrides::{AdminOverrides, Version};
pub use packet::{AdminOverride, MAX_PACKET_BYTES};
pub use peers::{Action, Member, PeerCounters, PeerEvent, PeerState, Peers};
pub use slow_start::SlowStartShare;

/// Whole microseconds: a moment of the caller's clock, or a span.
pub type Micros = i64;

/// The finalizer of SplitMix64: all bits of the result depend on all that are given.
pub(crate) fn mix(value: u64) -> u64 {
    let mut mixed = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
