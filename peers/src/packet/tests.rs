use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

use super::*;

fn packet() -> Packet {
    let hand = AdminOverride {
        runner: "r1".into(),
        version: Version { count: 3, author: 9 },
        out_since: Some(5),
        was_out: None,
    };
    let digest = Digest { stage: 2, hands: [7; BUCKETS] };
    Packet {
        from: "d0".into(),
        boot: 4,
        nonce: 8,
        yours: (2, 1),
        digest,
        what: Message::AdminOverrides(vec![hand]),
    }
}

#[test]
fn what_is_sealed_is_opened_and_nothing_else_is() {
    let sealed = seal(&packet());
    assert_eq!(open(&sealed), Ok(packet()));
    for end in 0..sealed.len() {
        assert_eq!(open(&sealed[..end]), Err(PacketError::Garbage));
    }
    for bit in 0..sealed.len() * 8 {
        let mut spoilt = sealed.clone();
        spoilt[bit / 8] ^= 1 << (bit % 8);
        assert!(open(&spoilt).is_err(), "bit {bit}");
    }
    assert_eq!(open(&[sealed.clone(), vec![0]].concat()), Err(PacketError::Garbage));
    assert_eq!(open(&vec![0; PACKET_MOST + 1]), Err(PacketError::TooLong));
    let mut newer = sealed.clone();
    newer[2] = FORMAT + 1;
    let sum = sum(&newer[2..3].iter().chain(&newer[HEAD..]).copied().collect::<Vec<u8>>());
    newer[3..HEAD].copy_from_slice(&sum);
    assert_eq!(open(&newer), Err(PacketError::Form));
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
        let sealed = [&[FORMAT][..], &body].concat();
        let bytes = [&MARK[..], &[FORMAT], &sum(&sealed), &body].concat();
        if let Ok(packet) = open(&bytes) {
            assert_eq!(open(&seal(&packet)), Ok(packet));
        }
    }
}
