use super::*;

fn entry(runner: &str, count: u64, author: u32, out: bool) -> AdminOverride {
    let version = Version { count, author };
    AdminOverride { runner: runner.into(), version, out_since: out.then_some(7), was_out: None }
}

#[test]
fn the_newest_entry_wins_in_any_order_of_arrival() {
    let entries =
        [entry("a", 1, 5, true), entry("a", 2, 1, false), entry("a", 2, 3, true), entry("b", 1, 1, true)];
    let mut arrival_orders = vec![vec![0, 1, 2, 3], vec![3, 2, 1, 0], vec![2, 0, 3, 1, 2, 0]];
    let all: Vec<AdminOverrides> = arrival_orders
        .drain(..)
        .map(|order| {
            let mut overrides = AdminOverrides::default();
            order.into_iter().for_each(|nth: usize| _ = overrides.merge(entries[nth].clone()));
            overrides
        })
        .collect();
    for overrides in &all {
        assert_eq!(overrides.get("a"), Some(&entries[2]));
        assert_eq!(overrides.digest(), all[0].digest());
        assert_eq!(overrides.next_version("a", 9), Version { count: 3, author: 9 });
    }
    assert_eq!(all[0].differing(&all[1].digest()).count(), 0);
    assert_eq!(all[0].differing(&AdminOverrides::default().digest()).count(), 2);
}

#[test]
fn entries_of_runners_that_are_out_are_never_evicted() {
    let mut overrides = AdminOverrides::default();
    for nth in 0..MAX_RUNNERS + 50 {
        overrides.merge(entry(&format!("r{nth}"), 1, 1, nth < 100));
    }
    assert_eq!(overrides.iter().count(), MAX_RUNNERS);
    assert_eq!(overrides.iter().filter(|entry| entry.out_since.is_some()).count(), 100);
    // The digest covers the remaining entries only.
    let mut again = AdminOverrides::default();
    overrides.iter().cloned().for_each(|entry| _ = again.merge(entry));
    assert_eq!(again.digest(), overrides.digest());
    assert!(!overrides.merge(entry(&"x".repeat(300), 1, 1, true)));
}
