use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

use super::*;

fn packet() -> Packet {
    let call = AdminCall { author: 9, number: 3, stands: true };
    let entry = AdminOverride { runner: "r1".into(), calls: vec![call] };
    let digest = Digest { stage: 2, overrides: [7; BUCKETS] };
    Packet {
        from: "d0".into(),
        boot: 4,
        nonce: 8,
        known_receiver: (2, 1),
        digest,
        message: Message::AdminOverrides(vec![entry]),
    }
}

#[test]
fn only_intact_packets_are_decoded() {
    let datagram = encode(&packet());
    assert_eq!(decode(&datagram), Ok(packet()));
    for end in 0..datagram.len() {
        assert_eq!(decode(&datagram[..end]), Err(PacketError::Malformed));
    }
    for bit in 0..datagram.len() * 8 {
        let mut damaged = datagram.clone();
        damaged[bit / 8] ^= 1 << (bit % 8);
        assert!(decode(&damaged).is_err(), "accepted although bit {bit} is flipped");
    }
    assert_eq!(decode(&[datagram.clone(), vec![0]].concat()), Err(PacketError::Malformed));
    assert_eq!(decode(&vec![0; MAX_PACKET_BYTES + 1]), Err(PacketError::TooLong));
    let mut newer = datagram.clone();
    newer[2] = FORMAT + 1;
    let checksum = checksum(&newer[2..3].iter().chain(&newer[HEADER_BYTES..]).copied().collect::<Vec<u8>>());
    newer[3..HEADER_BYTES].copy_from_slice(&checksum);
    assert_eq!(decode(&newer), Err(PacketError::UnknownFormat));
}

/// Random bodies under a valid checksum: decoding must accept or reject any bytes without panicking.
#[test]
fn no_body_makes_decoding_panic() {
    let mut random = Pcg32::seed_from_u64(1);
    for _ in 0..20_000 {
        let mut body: Vec<u8> = (0..random.random_range(0..200)).map(|_| random.random()).collect();
        if random.random_range(0..2) == 0 {
            body = encode(&packet())[HEADER_BYTES..].to_vec();
            let at = random.random_range(0..body.len());
            body[at] = random.random();
        }
        let checked = [&[FORMAT][..], &body].concat();
        let bytes = [&MAGIC[..], &[FORMAT], &checksum(&checked), &body].concat();
        if let Ok(packet) = decode(&bytes) {
            assert_eq!(decode(&encode(&packet)), Ok(packet));
        }
    }
}
