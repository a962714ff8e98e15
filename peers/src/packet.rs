//! A datagram's form: sealed and opened here and nowhere else, so that keys have one place to come to.
//!
//! It owns the bytes. It must never panic on any, nor give a packet that was not sealed as it is given.
//!
//! ```text
//! datagram = "tp" | form (1) | CRC-32 (IEEE) over form and body (4, little-endian) | body (postcard)
//! ```

use serde::{Deserialize, Serialize};

use crate::Micros;
use crate::admin_overrides::{BUCKETS, Version};

/// No datagram is larger: it passes every link whole.
pub const MAX_PACKET_BYTES: usize = 1_200;
const MAGIC: [u8; 2] = *b"tp";
pub const FORMAT: u8 = 2;
const HEADER_BYTES: usize = 7;

/// What the hand has done to one runner, and how new that is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdminOverride {
    pub runner: String,
    pub version: Version,
    pub out_since: Option<Micros>,
    pub was_out: Option<(Micros, Micros)>,
}

/// What a dispatcher has, in short: whoever has otherwise asks or tells.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// How far its recovery has come, a number of `recovery`'s own.
    pub stage: u8,
    /// Of runners out by hand, by the id's hash.
    #[serde(rename = "hands")]
    pub overrides: [u32; BUCKETS],
}

/// Probes carry the number that their answer repeats. One on somebody's behalf names whom that is for, by its place
/// in the sorted names, and the number that it waits for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    Probe {
        number: u64,
        #[serde(rename = "behalf")]
        on_behalf_of: Option<(u16, u64)>,
    },
    Answer {
        number: u64,
        #[serde(rename = "behalf")]
        on_behalf_of: Option<(u16, u64)>,
        /// From now on nothing is sent to other owners' cold runners, by this list of dispatchers (`slow_start`).
        promise: Option<u32>,
    },
    /// Please probe that one for me.
    #[serde(rename = "Ask")]
    ProbeRequest {
        target: u16,
        number: u64,
    },
    /// That one has answered you through me, in this life.
    #[serde(rename = "Through")]
    IndirectAnswer {
        target: u16,
        number: u64,
        boot: u64,
    },
    AdminOverrides(Vec<AdminOverride>),
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Packet {
    /// By name, so that a list that differs between two dispatchers is noticed.
    pub from: String,
    /// The number of the sender's life, and what tells it from another one that took the same number.
    pub boot: u64,
    pub nonce: u32,
    /// The newest life of the receiver that the sender has heard of: its number, its nonce.
    #[serde(rename = "yours")]
    pub known_receiver: (u64, u32),
    pub digest: Digest,
    #[serde(rename = "what")]
    pub message: Message,
}

/// Why a datagram was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PacketError {
    TooLong,
    /// Not one of ours, cut short, or spoilt on its way.
    Malformed,
    /// Sealed well, in a form that is not known here.
    UnknownFormat,
}

fn checksum(format_and_body: &[u8]) -> [u8; 4] {
    crc32fast::hash(format_and_body).to_le_bytes()
}

pub fn seal(packet: &Packet) -> Vec<u8> {
    // Plain types only: there is nothing that could fail to be written.
    let body = postcard::to_stdvec(packet).unwrap_or_default();
    let checked = [&[FORMAT][..], &body].concat();
    [&MAGIC[..], &[FORMAT], &checksum(&checked), &body].concat()
}

pub fn open(bytes: &[u8]) -> Result<Packet, PacketError> {
    if bytes.len() > MAX_PACKET_BYTES {
        return Err(PacketError::TooLong);
    }
    if bytes.len() < HEADER_BYTES || bytes[..2] != MAGIC {
        return Err(PacketError::Malformed);
    }
    let (format, body) = (bytes[2], &bytes[HEADER_BYTES..]);
    if checksum(&[&[format][..], body].concat()) != bytes[3..HEADER_BYTES] {
        return Err(PacketError::Malformed);
    }
    if format != FORMAT {
        return Err(PacketError::UnknownFormat);
    }
    match postcard::take_from_bytes(body) {
        Ok((packet, [])) => Ok(packet),
        _ => Err(PacketError::Malformed),
    }
}

#[cfg(test)]
mod tests;
