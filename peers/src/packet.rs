//! Encoding of datagrams. All of it is in this module, so that authentication can later be added in one
//! place.
//!
//! Decoding never panics, whatever the bytes, and never returns a packet that differs from the encoded one.
//!
//! ```text
//! datagram = "tp" | format (1) | CRC-32 (IEEE) over format and body (4, little-endian) | body (postcard)
//! ```

use serde::{Deserialize, Serialize};

use crate::admin_overrides::{AdminCall, BUCKETS};

/// Largest datagram in bytes: it passes every link without fragmentation.
pub const MAX_PACKET_BYTES: usize = 1_200;
/// First bytes of each datagram.
const MAGIC: [u8; 2] = *b"tp";
/// Version of the format that is written, and the only one that is read.
pub const FORMAT: u8 = 3;
/// Length of everything before the body.
const HEADER_BYTES: usize = 7;

/// Operators' calls on one runner, or some of them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdminOverride {
    /// Id of the runner.
    pub runner: String,
    /// The latest calls of some process runs.
    pub calls: Vec<AdminCall>,
}

/// Summary of a dispatcher's state. A receiver whose state differs sends its entries.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// Recovery stage of the sender, as the number that `recovery` assigns.
    pub stage: u8,
    /// Digest of the admin overrides, by bucket of the runner's id.
    #[serde(rename = "hands")]
    pub overrides: [u32; BUCKETS],
}

/// What a packet asks or reports. Dispatchers are named by their index in the sorted list of all names.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks the receiver for a [`Message::Answer`].
    Probe {
        /// Number that the answer repeats.
        number: u64,
        /// Set if the sender probes for another dispatcher: that dispatcher, and the number that it waits
        /// for.
        #[serde(rename = "behalf")]
        on_behalf_of: Option<(u16, u64)>,
    },
    /// Answers a probe, with its number and the dispatcher that it was sent for.
    Answer {
        number: u64,
        #[serde(rename = "behalf")]
        on_behalf_of: Option<(u16, u64)>,
        /// Hash of the dispatcher list if the sender promises to send nothing to other owners' cold runners
        /// from now on (see `slow_start`).
        promise: Option<u32>,
    },
    /// Asks the receiver to probe `target` for the sender.
    #[serde(rename = "Ask")]
    ProbeRequest { target: u16, number: u64 },
    /// `target` has answered a probe that the sender made for the receiver, in its process run `boot`.
    #[serde(rename = "Through")]
    IndirectAnswer { target: u16, number: u64, boot: u64 },
    /// Calls that the receiver may not know.
    AdminOverrides(Vec<AdminOverride>),
}

/// One datagram's content.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Packet {
    /// Name of the sender, so that dispatcher lists that differ between two dispatchers are noticed.
    pub from: String,
    /// Boot number of the sender; 0 if it has none.
    pub boot: u64,
    /// Distinguishes the sender's process run from another one with the same boot number.
    pub nonce: u32,
    /// The newest process run of the receiver that the sender knows: boot number and nonce.
    #[serde(rename = "yours")]
    pub known_receiver: (u64, u32),
    /// Summary of the sender's state.
    pub digest: Digest,
    /// What the packet asks or reports.
    #[serde(rename = "what")]
    pub message: Message,
}

/// Why a datagram was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PacketError {
    /// Longer than [`MAX_PACKET_BYTES`].
    TooLong,
    /// Not a datagram of this protocol, truncated, or damaged on the way.
    Malformed,
    /// The checksum is right, but the format version is not supported.
    UnknownFormat,
}

/// CRC-32 over format and body, as the datagram holds it.
fn checksum(format_and_body: &[u8]) -> [u8; 4] {
    crc32fast::hash(format_and_body).to_le_bytes()
}

/// Encodes a packet.
pub fn encode(packet: &Packet) -> Vec<u8> {
    // Plain types only: encoding cannot fail.
    let body = postcard::to_stdvec(packet).unwrap_or_default();
    let checked = [&[FORMAT][..], &body].concat();
    [&MAGIC[..], &[FORMAT], &checksum(&checked), &body].concat()
}

/// Decodes a datagram and checks its length, checksum and format.
pub fn decode(bytes: &[u8]) -> Result<Packet, PacketError> {
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
