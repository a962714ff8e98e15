use super::*;

fn hand(runner: &str, count: u64, author: u32, out: bool) -> AdminOverride {
    let version = Version { count, author };
    AdminOverride { runner: runner.into(), version, out_since: out.then_some(7), was_out: None }
}

#[test]
fn the_newest_word_holds_in_whatever_order_words_come() {
    let words = [hand("a", 1, 5, true), hand("a", 2, 1, false), hand("a", 2, 3, true), hand("b", 1, 1, true)];
    let mut orders = vec![vec![0, 1, 2, 3], vec![3, 2, 1, 0], vec![2, 0, 3, 1, 2, 0]];
    let all: Vec<AdminOverrides> = orders
        .drain(..)
        .map(|order| {
            let mut hands = AdminOverrides::default();
            order.into_iter().for_each(|nth: usize| _ = hands.merge(words[nth].clone()));
            hands
        })
        .collect();
    for hands in &all {
        assert_eq!(hands.get("a"), Some(&words[2]));
        assert_eq!(hands.digest(), all[0].digest());
        assert_eq!(hands.next("a", 9), Version { count: 3, author: 9 });
    }
    assert_eq!(all[0].differing(&all[1].digest()).count(), 0);
    assert_eq!(all[0].differing(&AdminOverrides::default().digest()).count(), 2);
}

#[test]
fn who_is_out_is_never_let_go() {
    let mut hands = AdminOverrides::default();
    for nth in 0..MOST + 50 {
        hands.merge(hand(&format!("r{nth}"), 1, 1, nth < 100));
    }
    assert_eq!(hands.all().count(), MOST);
    assert_eq!(hands.all().filter(|hand| hand.out_since.is_some()).count(), 100);
    // The digest is of what is left.
    let mut again = AdminOverrides::default();
    hands.all().cloned().for_each(|hand| _ = again.merge(hand));
    assert_eq!(again.digest(), hands.digest());
    assert!(!hands.merge(hand(&"x".repeat(300), 1, 1, true)));
}
