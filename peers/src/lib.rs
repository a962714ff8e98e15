//! Membership of the other dispatchers, and the state that dispatchers exchange with each other.
//!
//! `packet` encodes and decodes datagrams. `admin_overrides` holds the operators' overrides of runners, which
//! all dispatchers converge on. `slow_start` divides the slow-start budgets of cold runners among
//! dispatchers. `peers` probes the other dispatchers, suspects failed ones, tracks boot numbers and sends
//! what differs. Everything here is free of I/O and clocks; the only randomness comes from the seed that the
//! caller passes in. See `docs/peers.md`.

pub mod admin_overrides;
pub mod packet;
mod peers;
pub mod slow_start;

pub use admin_overrides::{AdminCall, AdminOverrides};
pub use packet::{AdminOverride, MAX_PACKET_BYTES};
pub use peers::{Action, Member, PeerCounters, PeerEvent, PeerState, Peers};
pub use slow_start::SlowStartShare;

/// Whole microseconds: a time of the caller's clock, or a duration.
pub type Micros = i64;

/// The finalizer of SplitMix64: every bit of the result depends on every bit of the input.
pub(crate) fn mix(value: u64) -> u64 {
    let mut mixed = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
