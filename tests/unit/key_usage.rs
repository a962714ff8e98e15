//! The use counts of affinity keys.

use crate::state_tables::{KeyUsage, MAX_KEYS};

/// Guards against memory that grows with each new key: a client may send another one with each request.
#[test]
fn the_number_of_keys_is_limited_and_popular_ones_stay() {
    let mut usage = KeyUsage::default();
    let popular = 0;
    for nth in 1..=3 * MAX_KEYS as u64 {
        if nth.is_multiple_of(100) {
            usage.record(popular, nth as i64);
        }
        usage.record(nth, nth as i64);
        assert!(usage.by_hash.len() <= MAX_KEYS, "{} keys", usage.by_hash.len());
    }
    assert!(usage.by_hash[&popular].uses > 100.0);
}
