//! A datagram's form: sealed and opened here and nowhere else, so that keys have one place to come to.
//!
//! It owns the bytes. It must never panic on any, nor give a packet that was not sealed as it is given.
//!
//! ```text
//! datagram = "tp" | form (1) | CRC-32 (IEEE) over form and body (4, little-endian) | body (postcard)
//! ```

use serde::{Deserialize, Serialize};

use crate::Micros;
use crate::hands::{BUCKETS, Version};

/// No datagram is larger: it passes every link whole.
pub const PACKET_MOST: usize = 1_200;
const MARK: [u8; 2] = *b"tp";
pub const FORM: u8 = 2;
const HEAD: usize = 7;

/// What the hand has done to one runner, and how new that is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hand {
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
    pub hands: [u32; BUCKETS],
}

/// Probes carry the number that their answer repeats. One on somebody's behalf names whom that is for, by its place
/// in the sorted names, and the number that it waits for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum What {
    Probe {
        number: u64,
        behalf: Option<(u16, u64)>,
    },
    Answer {
        number: u64,
        behalf: Option<(u16, u64)>,
        /// From now on nothing is sent to other owners' cold runners, by this list of dispatchers (`account`).
        promise: Option<u32>,
    },
    /// Please probe that one for me.
    Ask {
        target: u16,
        number: u64,
    },
    /// That one has answered you through me, in this life.
    Through {
        target: u16,
        number: u64,
        boot: u64,
    },
    Hands(Vec<Hand>),
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Packet {
    /// By name, so that a list that differs between two dispatchers is noticed.
    pub from: String,
    /// The number of the sender's life, and what tells it from another one that took the same number.
    pub boot: u64,
    pub nonce: u32,
    /// The newest life of the receiver that the sender has heard of: its number, its nonce.
    pub yours: (u64, u32),
    pub digest: Digest,
    pub what: What,
}

/// Why a datagram was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Bad {
    TooLong,
    /// Not one of ours, cut short, or spoilt on its way.
    Garbage,
    /// Sealed well, in a form that is not known here.
    Form,
}

fn sum(form_and_body: &[u8]) -> [u8; 4] {
    crc32fast::hash(form_and_body).to_le_bytes()
}

pub fn seal(packet: &Packet) -> Vec<u8> {
    // Plain types only: there is nothing that could fail to be written.
    let body = postcard::to_stdvec(packet).unwrap_or_default();
    let sealed = [&[FORM][..], &body].concat();
    [&MARK[..], &[FORM], &sum(&sealed), &body].concat()
}

pub fn open(bytes: &[u8]) -> Result<Packet, Bad> {
    if bytes.len() > PACKET_MOST {
        return Err(Bad::TooLong);
    }
    if bytes.len() < HEAD || bytes[..2] != MARK {
        return Err(Bad::Garbage);
    }
    let (form, body) = (bytes[2], &bytes[HEAD..]);
    if sum(&[&[form][..], body].concat()) != bytes[3..HEAD] {
        return Err(Bad::Garbage);
    }
    if form != FORM {
        return Err(Bad::Form);
    }
    match postcard::take_from_bytes(body) {
        Ok((packet, [])) => Ok(packet),
        _ => Err(Bad::Garbage),
    }
}

#[cfg(test)]
mod tests {
    use rand::{RngExt, SeedableRng};
    use rand_pcg::Pcg32;

    use super::*;

    fn packet() -> Packet {
        let hand = Hand {
            runner: "r1".into(),
            version: Version { count: 3, author: 9 },
            out_since: Some(5),
            was_out: None,
        };
        let digest = Digest { stage: 2, hands: [7; BUCKETS] };
        Packet { from: "d0".into(), boot: 4, nonce: 8, yours: (2, 1), digest, what: What::Hands(vec![hand]) }
    }

    #[test]
    fn what_is_sealed_is_opened_and_nothing_else_is() {
        let sealed = seal(&packet());
        assert_eq!(open(&sealed), Ok(packet()));
        for end in 0..sealed.len() {
            assert_eq!(open(&sealed[..end]), Err(Bad::Garbage));
        }
        for bit in 0..sealed.len() * 8 {
            let mut spoilt = sealed.clone();
            spoilt[bit / 8] ^= 1 << (bit % 8);
            assert!(open(&spoilt).is_err(), "bit {bit}");
        }
        assert_eq!(open(&[sealed.clone(), vec![0]].concat()), Err(Bad::Garbage));
        assert_eq!(open(&vec![0; PACKET_MOST + 1]), Err(Bad::TooLong));
        let mut newer = sealed.clone();
        newer[2] = FORM + 1;
        let sum = sum(&newer[2..3].iter().chain(&newer[HEAD..]).copied().collect::<Vec<u8>>());
        newer[3..HEAD].copy_from_slice(&sum);
        assert_eq!(open(&newer), Err(Bad::Form));
    }

    /// Random bytes under a right seal: the body itself must bear anything.
    #[test]
    fn no_body_does_harm() {
        let mut drawn = Pcg32::seed_from_u64(1);
        for _ in 0..20_000 {
            let mut body: Vec<u8> = (0..drawn.random_range(0..200)).map(|_| drawn.random()).collect();
            if drawn.random_range(0..2) == 0 {
                body = seal(&packet())[HEAD..].to_vec();
                let at = drawn.random_range(0..body.len());
                body[at] = drawn.random();
            }
            let sealed = [&[FORM][..], &body].concat();
            let bytes = [&MARK[..], &[FORM], &sum(&sealed), &body].concat();
            if let Ok(packet) = open(&bytes) {
                assert_eq!(open(&seal(&packet)), Ok(packet));
            }
        }
    }
}
