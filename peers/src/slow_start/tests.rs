//! The allocator's promises and shares, without any network.

use super::*;

fn names(count: usize) -> Vec<String> {
    (0..count).map(|nth| format!("d{nth:03}")).collect()
}

fn allocator(nth: usize, count: usize, now: Micros) -> SlowStartAllocator {
    let names = names(count);
    let mut allocator = SlowStartAllocator::new(&names, &names[nth], now);
    allocator.configure(count, 2_000_000);
    allocator
}

#[test]
fn all_dispatchers_compute_the_same_evenly_spread_owners() {
    let mut all: Vec<SlowStartAllocator> = (0..9).map(|nth| allocator(nth, 9, 0)).collect();
    let mut owned = [0; 9];
    for r in 0..200 {
        let owners = all[0].owners_of(&format!("r{r}"));
        assert_eq!(owners.len(), OWNERS_PER_RUNNER);
        assert!(all.iter_mut().all(|allocator| allocator.owners_of(&format!("r{r}")) == owners));
        owners.iter().for_each(|nth| owned[usize::from(*nth)] += 1);
    }
    assert!(
        owned.iter().all(|count| (50..130).contains(count)),
        "runners owned by each dispatcher: {owned:?}"
    );
}

#[test]
fn a_new_run_withholds_and_owners_use_what_others_promise() {
    let now = 100_000_000;
    let mut all: Vec<SlowStartAllocator> = (0..9).map(|nth| allocator(nth, 9, now)).collect();
    let owners = all[0].owners_of("r1");
    let owner = usize::from(owners[0]);
    let share = |allocator: &mut SlowStartAllocator, now| allocator.shares(["r1"].into_iter(), now)[0];
    assert_eq!(share(&mut all[owner], now).share, 1.0 / 9.0);
    let other = (0..9).find(|nth| !owners.contains(&(*nth as u16))).unwrap();
    let withheld = share(&mut all[other], now);
    assert!(
        withheld.share == 0.0 && withheld.until > now + all[other].promise_span(),
        "an earlier run may have promised"
    );
    for nth in 0..9 {
        let promised = all[nth].try_promise(false, now + 10);
        assert!(promised);
        all[owner].record_promise(nth, now);
    }
    // Its own share, and a third of each of the six non-owners' shares.
    assert_eq!(share(&mut all[owner], now).share, (1.0 + 6.0 / 3.0) / 9.0);
    // The counted span plus the overload window ends before the giver stops withholding.
    let end = now + all[owner].counted_span();
    assert_eq!(share(&mut all[owner], end - SHARE_VALIDITY + 1).share, 1.0 / 9.0);
    assert!(end + 2_000_000 < now + 10 + all[other].promise_span());
}

#[test]
fn an_isolated_dispatcher_returns_to_its_equal_share_and_promises_again_only_after_a_pause() {
    let mut one = allocator(0, 9, 0);
    assert!(one.try_promise(false, 10));
    let span = one.promise_span();
    assert!(!one.try_promise(true, 20));
    one.start_round(true, 10 + span + 1);
    assert!(one.withholds_until < 10 + span + 1, "its promise has ended");
    assert!(!one.try_promise(false, 10 + span + 2), "it may have used its share");
    let back = 10 + span + 3;
    one.start_round(false, back);
    assert!(one.withholds_until >= back + span);
    assert!(!one.try_promise(false, back + 2_000_000));
    assert!(one.try_promise(false, back + 2_000_000 + IN_FLIGHT_MARGIN));
}
