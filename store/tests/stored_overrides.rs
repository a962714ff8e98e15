//! Admin overrides in the form of this version of the program and of earlier ones, which share a format number.

use topazsail_store::Record;
use topazsail_store::stored_types::{Storable, StoredCall, StoredOverride, decode, encode};

/// The fields that earlier versions wrote: since when the runner is out, its last time out, number and author of
/// the call.
type EarlierForm = (Option<i64>, Option<(i64, i64)>, u64, u32);

fn record(value: Vec<u8>) -> Record {
    Record {
        table: StoredOverride::TABLE,
        key: "s-a".to_owned(),
        form: StoredOverride::FORMAT,
        value: Some(value),
        boot: 1,
        written: 0,
    }
}

/// Guards against runners that come back into use because an upgrade of the program does not read what operators
/// called before it.
#[test]
fn an_override_that_an_earlier_version_has_stored_still_holds() {
    for (earlier, calls) in [
        ((Some(5), None, 3, 9), vec![StoredCall { author: 9, number: 3, stands: true }]),
        ((None, Some((5, 7)), 4, 9), vec![StoredCall { author: 9, number: 4, stands: false }]),
        ((Some(5), Some((1, 2)), 0, 0), vec![]),
    ] {
        let earlier: EarlierForm = earlier;
        let (out_since, was_out, count, author) = earlier;
        let expected = StoredOverride { out_since, was_out, count, author, calls };
        let stored = record(postcard::to_stdvec(&earlier).unwrap());
        assert_eq!(decode::<StoredOverride>(&stored), Some(expected));
    }
}

#[test]
fn an_earlier_version_reads_whether_a_runner_is_out() {
    let calls = vec![StoredCall { author: 1 << 40, number: 6, stands: true }; 3];
    let current = StoredOverride { out_since: Some(5), was_out: Some((1, 2)), count: 6, author: 0, calls };
    let bytes = encode(&current);
    assert_eq!(postcard::from_bytes::<EarlierForm>(&bytes), Ok((Some(5), Some((1, 2)), 6, 0)));
    assert_eq!(decode(&record(bytes)), Some(current));
}
