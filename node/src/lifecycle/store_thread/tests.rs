use std::sync::{Arc, Mutex};

use topazsail_store::{DiskFaults, FaultyDisk, MemoryDisk};

use super::*;

/// Starts a store thread on this disk, with the faults that the test sets.
fn store_thread(disk: &MemoryDisk, faults: &Arc<Mutex<DiskFaults>>) -> StoreThread {
    let (disk, faults) = (disk.clone(), faults.clone());
    let disk_factory: DiskFactory =
        Box::new(move || Ok(Box::new(FaultyDisk::new(disk.clone(), faults.clone(), 3)?) as Box<dyn Disk>));
    StoreThread::start(None, disk_factory, "d0".to_owned(), 7, || ()).unwrap()
}

/// The next event; the timeout is far longer than needed.
fn next_event(store_thread: &mut StoreThread) -> StoreEvent {
    store_thread.events.recv_timeout(Duration::from_secs(30)).unwrap()
}

/// An override that takes a runner out.
fn out_override() -> StoredOverride {
    StoredOverride { out_since: Some(5), ..StoredOverride::default() }
}

/// Guards against losing a record that was reported as synced when the process is killed or ends.
#[test]
fn a_record_reported_as_synced_is_loaded_by_the_next_run() {
    let (disk, faults) = Default::default();
    let mut first = store_thread(&disk, &faults);
    assert!(
        matches!(next_event(&mut first), StoreEvent::Opened(loaded) if loaded.summary.is_new && loaded.boot == Some(1))
    );
    let ticket = first.put_and_sync("r1", Some(&out_override()));
    assert!(matches!(next_event(&mut first), StoreEvent::Synced(t, Ok(())) if t == ticket));
    // The process is killed: its thread stays where it is, and the disk is left as it is now.
    let mut second = store_thread(&disk, &faults);
    let StoreEvent::Opened(loaded) = next_event(&mut second) else {
        panic!("the second run did not open the store")
    };
    assert_eq!(
        (loaded.boot, loaded.admin_overrides.as_slice(), loaded.summary.ended_cleanly),
        (Some(2), &[("r1".to_owned(), out_override())][..], false)
    );
    assert!(second.finish(Duration::from_secs(30)));
    let StoreEvent::Opened(loaded) = next_event(&mut store_thread(&disk, &faults)) else {
        panic!("the third run did not open the store")
    };
    assert!(loaded.summary.ended_cleanly && loaded.admin_overrides.len() == 1);
}

/// Guards against tickets that wait while the disk is known to have failed, and against giving the disk up.
#[test]
fn a_disk_failure_is_reported_at_once_and_retried() {
    let (disk, faults): (MemoryDisk, Arc<Mutex<DiskFaults>>) = Default::default();
    let mut store_thread = store_thread(&disk, &faults);
    next_event(&mut store_thread);
    faults.lock().unwrap().full = true;
    let ticket = store_thread.put_and_sync("r1", Some(&out_override()));
    assert!(
        matches!(next_event(&mut store_thread), StoreEvent::Health(Err(reason)) if reason.contains("no storage"))
    );
    assert!(matches!(next_event(&mut store_thread), StoreEvent::Synced(t, Err(_)) if t == ticket));
    // While the disk is known to have failed, a sync is reported as failed without waiting.
    let ticket = store_thread.put_and_sync("r2", Some(&out_override()));
    assert!(matches!(next_event(&mut store_thread), StoreEvent::Synced(t, Err(_)) if t == ticket));
    faults.lock().unwrap().full = false;
    assert!(matches!(next_event(&mut store_thread), StoreEvent::Health(Ok(Some(1)))));
    let ticket = store_thread.put_and_sync("r3", Some(&out_override()));
    assert!(matches!(next_event(&mut store_thread), StoreEvent::Synced(t, Ok(())) if t == ticket));
}

/// Guards against losing stored records because a full disk keeps a start from writing its boot number.
#[test]
fn opening_a_store_on_a_full_disk_still_loads_its_records() {
    let (disk, faults): (MemoryDisk, Arc<Mutex<DiskFaults>>) = Default::default();
    let mut first = store_thread(&disk, &faults);
    next_event(&mut first);
    first.put("r1", Some(&out_override()));
    assert!(first.finish(Duration::from_secs(30)));
    faults.lock().unwrap().full = true;
    let mut second = store_thread(&disk, &faults);
    assert!(
        matches!(next_event(&mut second), StoreEvent::Opened(loaded) if loaded.boot.is_none() && loaded.admin_overrides.len() == 1)
    );
    faults.lock().unwrap().full = false;
    assert!(matches!(next_event(&mut second), StoreEvent::Health(Ok(Some(2)))));
}
