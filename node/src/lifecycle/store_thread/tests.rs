use std::sync::{Arc, Mutex};

use topazsail_store::{DiskFaults, FaultyDisk, MemoryDisk};

use super::*;

fn store_thread(under: &MemoryDisk, faults: &Arc<Mutex<DiskFaults>>) -> StoreThread {
    let (under, faults) = (under.clone(), faults.clone());
    let disks: DiskFactory =
        Box::new(move || Ok(Box::new(FaultyDisk::new(under.clone(), faults.clone(), 3)?) as Box<dyn Disk>));
    StoreThread::start(None, disks, "d0".to_owned(), 7, || ()).unwrap()
}

/// What is told next, within far more time than it takes.
fn next(store_thread: &mut StoreThread) -> StoreEvent {
    store_thread.from.recv_timeout(Duration::from_secs(30)).unwrap()
}

fn out() -> StoredOverride {
    StoredOverride { out_since: Some(5), ..StoredOverride::default() }
}

#[test]
fn what_is_told_as_kept_is_there_for_the_next_life() {
    let (under, faults) = Default::default();
    let mut first = store_thread(&under, &faults);
    assert!(matches!(next(&mut first), StoreEvent::Opened(left) if left.found.fresh && left.boot == Some(1)));
    let ticket = first.keep_and_sync("r1", Some(&out()));
    assert!(matches!(next(&mut first), StoreEvent::Synced(t, Ok(())) if t == ticket));
    // The process is killed: its thread is left where it is, and the disk as it is now.
    let mut second = store_thread(&under, &faults);
    let StoreEvent::Opened(left) = next(&mut second) else { panic!() };
    assert_eq!(
        (left.boot, left.admin_overrides.as_slice(), left.found.clean),
        (Some(2), &[("r1".to_owned(), out())][..], false)
    );
    assert!(second.finish(Duration::from_secs(30)));
    let StoreEvent::Opened(left) = next(&mut store_thread(&under, &faults)) else { panic!() };
    assert!(left.found.clean && left.admin_overrides.len() == 1);
}

#[test]
fn a_disk_that_fails_is_told_at_once_and_tried_again() {
    let (under, faults): (MemoryDisk, Arc<Mutex<DiskFaults>>) = Default::default();
    let mut store_thread = store_thread(&under, &faults);
    next(&mut store_thread);
    faults.lock().unwrap().full = true;
    let ticket = store_thread.keep_and_sync("r1", Some(&out()));
    assert!(matches!(next(&mut store_thread), StoreEvent::Health(Err(why)) if why.contains("no storage")));
    assert!(matches!(next(&mut store_thread), StoreEvent::Synced(t, Err(_)) if t == ticket));
    // While it is known to be bad nobody waits for it.
    let ticket = store_thread.keep_and_sync("r2", Some(&out()));
    assert!(matches!(next(&mut store_thread), StoreEvent::Synced(t, Err(_)) if t == ticket));
    faults.lock().unwrap().full = false;
    assert!(matches!(next(&mut store_thread), StoreEvent::Health(Ok(Some(1)))));
    let ticket = store_thread.keep_and_sync("r3", Some(&out()));
    assert!(matches!(next(&mut store_thread), StoreEvent::Synced(t, Ok(())) if t == ticket));
}

#[test]
fn an_open_that_finds_the_disk_full_still_says_what_is_on_it() {
    let (under, faults): (MemoryDisk, Arc<Mutex<DiskFaults>>) = Default::default();
    let mut first = store_thread(&under, &faults);
    next(&mut first);
    first.keep("r1", Some(&out()));
    assert!(first.finish(Duration::from_secs(30)));
    faults.lock().unwrap().full = true;
    let mut second = store_thread(&under, &faults);
    assert!(
        matches!(next(&mut second), StoreEvent::Opened(left) if left.boot.is_none() && left.admin_overrides.len() == 1)
    );
    faults.lock().unwrap().full = false;
    assert!(matches!(next(&mut second), StoreEvent::Health(Ok(Some(2)))));
}
