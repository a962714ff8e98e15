//! The store through crashes at every operation, disks that fail, and files that are spoilt: what it said is kept is
//! there afterwards, and nothing is there that was not written.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use topazsail_store::stored_types::{StoredOverride, StoredRoster, all};
use topazsail_store::{
    Disk, DiskFaults, FaultyDisk, IntegrityWarning, Machine, MemoryDisk, Store, StoreError, inspect,
};

const NOW: i64 = 1_700_000_000_000_000;

type Overrides = BTreeMap<String, StoredOverride>;

fn out(since: i64) -> StoredOverride {
    StoredOverride { out_since: Some(since), ..StoredOverride::default() }
}

fn overrides(store: &Store) -> Overrides {
    all::<StoredOverride>(store.records())
        .into_iter()
        .map(|(key, entry, _)| (key.to_owned(), entry))
        .collect()
}

fn open(disk: impl Disk + 'static) -> Result<(Store, topazsail_store::LoadSummary), StoreError> {
    Store::open(Box::new(disk), "d0", 77, NOW)
}

/// What one life has written, and what of it was said to be kept, as all that may be found afterwards.
#[derive(Clone, Default)]
struct History {
    /// Told as kept: nothing older may be found.
    kept: Overrides,
    /// Every state since, the last one first in time.
    later: Vec<Overrides>,
    boots: Vec<u64>,
}

impl History {
    /// One life over `under`, until it ends by itself or crashes at an operation; by `seed`, what it does.
    fn run(&mut self, disk: &MemoryDisk, seed: u64, crash_at: Option<u64>, mut faults: DiskFaults) -> u64 {
        faults.crash_at = crash_at;
        let faults = Arc::new(Mutex::new(faults));
        let faulty = FaultyDisk::new(disk.clone(), faults, seed).unwrap();
        let mut random = Pcg32::seed_from_u64(seed ^ 0x51);
        // Opening may crash as well; nothing is lost by it.
        let counted = Arc::new(Mutex::new(0));
        let counting = Counting(faulty, counted.clone());
        let opened = Store::open(Box::new(counting), "d0", 77, NOW);
        let Ok((mut store, _)) = opened else { return *counted.lock().unwrap() };
        let found = overrides(&store);
        assert!(
            found == self.kept || self.later.contains(&found),
            "seed {seed} crash {crash_at:?}: found {found:?}, kept {:?}, since {:?}",
            self.kept,
            self.later
        );
        if let Some(boot) = store.boot() {
            assert!(self.boots.iter().all(|known| *known < boot), "{boot} again, {:?}", self.boots);
            self.boots.push(boot);
        }
        // What was found is in force from here on, and kept where the start could write it.
        if store.is_healthy() {
            (self.kept, self.later) = (found.clone(), Vec::new());
        }
        let mut now = found;
        for nth in 0..random.random_range(1..12) {
            let runner = format!("r{}", random.random_range(0..3));
            if random.random_range(0..4) == 0 {
                store.put_typed::<StoredOverride>(&runner, None, NOW);
                now.remove(&runner);
            } else {
                let entry = out(seed as i64 * 1000 + nth);
                store.put_typed(&runner, Some(&entry), NOW);
                now.insert(runner, entry);
            }
            self.later.push(now.clone());
            if random.random_range(0..2) == 0 && store.sync().is_ok() {
                (self.kept, self.later) = (now.clone(), Vec::new());
            }
        }
        if random.random_range(0..3) == 0 && store.close(NOW).is_ok() {
            (self.kept, self.later) = (now, Vec::new());
        }
        *counted.lock().unwrap()
    }
}

/// Counts operations where the disk itself has gone into the store.
struct Counting<D: Disk>(FaultyDisk<D>, Arc<Mutex<u64>>);

macro_rules! counted {
    ($($name:ident($($arg:ident: $type:ty),*) -> $result:ty;)*) => {
        impl<D: Disk> Disk for Counting<D> {
            $(fn $name(&mut self, $($arg: $type),*) -> $result {
                let done = self.0.$name($($arg),*);
                *self.1.lock().unwrap() = self.0.operations();
                done
            })*
        }
    };
}
counted! {
    list() -> std::io::Result<Vec<String>>;
    read(name: &str) -> std::io::Result<Vec<u8>>;
    create(name: &str) -> std::io::Result<()>;
    append(name: &str, bytes: &[u8]) -> std::io::Result<()>;
    sync(name: &str) -> std::io::Result<()>;
    rename(from: &str, to: &str) -> std::io::Result<()>;
    remove(name: &str) -> std::io::Result<()>;
    sync_directory() -> std::io::Result<()>;
    write_in_place(name: &str, bytes: &[u8]) -> std::io::Result<()>;
    lock() -> std::io::Result<()>;
    machine() -> Machine;
}

fn copied(of: &MemoryDisk) -> MemoryDisk {
    let copy = MemoryDisk::default();
    *copy.files() = of.files().clone();
    copy
}

/// Three lives, the second of them cut at every single operation, and the third at every one for each of those.
#[test]
fn a_cut_at_every_operation_loses_nothing_that_was_said_to_be_kept() {
    let mut cuts = 0;
    for seed in 0..12 {
        let (disk, mut history) = (MemoryDisk::default(), History::default());
        history.run(&disk, seed, None, DiskFaults::default());
        let mut second = 0;
        loop {
            let (again, mut history_after) = (copied(&disk), history.clone());
            let done = history_after.run(&again, seed + 100, Some(second), DiskFaults::default());
            for third in (0..30).step_by(if seed == 0 { 1 } else { 7 }) {
                let (again, mut history_after) = (copied(&again), history_after.clone());
                history_after.run(&again, seed + 200, Some(third), DiskFaults::default());
                history_after.run(&again, seed + 300, None, DiskFaults::default());
                cuts += 1;
            }
            if done < second {
                break;
            }
            second += 1;
        }
    }
    assert!(cuts > 2_000, "{cuts}");
}

#[test]
fn long_histories_by_seed() {
    for seed in 0..400u64 {
        let (disk, mut history) = (MemoryDisk::default(), History::default());
        let mut random = Pcg32::seed_from_u64(seed);
        for nth in 0..20 {
            let crash = (random.random_range(0..4) > 0).then(|| random.random_range(0..60));
            let faults = DiskFaults {
                full: random.random_range(0..8) == 0,
                sync_fails: random.random_range(0..8) == 0,
                read_only: random.random_range(0..12) == 0,
                ..DiskFaults::default()
            };
            history.run(&disk, seed * 100 + nth, crash, faults);
        }
        history.run(&disk, seed * 100 + 99, None, DiskFaults::default());
        assert!(history.boots.len() > 2, "{:?}", history.boots);
    }
}

/// A folder with two lives in it and three bans, the last of them in the last line.
fn folder() -> MemoryDisk {
    let disk = MemoryDisk::default();
    let (mut store, found) = open(disk.clone()).unwrap();
    assert!(found.is_new && found.warnings.is_empty());
    store.put_typed("r1", Some(&out(1)), NOW);
    store.close(NOW).unwrap();
    drop(store);
    let (mut store, found) = open(disk.clone()).unwrap();
    assert!(!found.is_new && found.ended_cleanly && found.boot == 1);
    let list = StoredRoster { discovery: "127.0.0.1:1".into(), generation: 4, json: "{}".into() };
    store.put_typed("", Some(&list), NOW);
    store.put_typed("r2", Some(&out(2)), NOW);
    store.sync().unwrap();
    store.put_typed("r3", Some(&out(3)), NOW);
    store.sync().unwrap();
    disk
}

#[test]
fn every_byte_flipped_gives_the_old_or_the_right_value_or_a_refusal() {
    let disk = folder();
    let all_files = disk.files().clone();
    let right: Overrides = [("r1", out(1)), ("r2", out(2)), ("r3", out(3))]
        .into_iter()
        .map(|(id, entry)| (id.to_owned(), entry))
        .collect();
    for (name, bytes) in &all_files {
        for at in 0..bytes.len() {
            for flip in [0x01, 0x80, 0xff] {
                let damaged = copied(&disk);
                damaged.files().get_mut(name).unwrap()[at] ^= flip;
                let (store, found) =
                    open(damaged.clone()).unwrap_or_else(|error| panic!("{name} {at}: {error}"));
                assert_eq!(store.boot(), Some(3), "{name} {at}");
                let overrides = overrides(&store);
                assert!(
                    overrides.iter().all(|(id, entry)| right[id] == *entry),
                    "{name} {at}: {overrides:?}"
                );
                // What is missing is owned up to: as a hole, or as an end that is spoilt.
                let reported = !found.warnings.is_empty() || found.torn_bytes > 0;
                assert!(overrides == right || reported, "{name} {at}: {overrides:?} {found:?}");
            }
        }
    }
}

#[test]
fn a_file_cut_anywhere_is_read_as_far_as_it_goes() {
    let disk = folder();
    let newest = disk.files().keys().rfind(|name| name.starts_with("log-")).cloned().unwrap();
    let length = disk.files()[&newest].len();
    let mut least = 3;
    for end in (0..length).rev() {
        let cut = copied(&disk);
        cut.files().get_mut(&newest).unwrap().truncate(end);
        let (store, found) = open(cut).unwrap();
        let overrides = overrides(&store);
        assert!(overrides.len() <= least && overrides.contains_key("r1"), "{end}: {overrides:?}");
        assert!(
            overrides.len() == 3 || found.torn_bytes > 0 || !found.warnings.is_empty() || end > 0,
            "{end}: {found:?}"
        );
        least = overrides.len();
    }
}

#[test]
fn a_sync_that_failed_once_is_not_believed_the_second_time() {
    let (disk, faults) = (MemoryDisk::default(), Arc::new(Mutex::new(DiskFaults::default())));
    let faulty = FaultyDisk::new(disk.clone(), faults.clone(), 9).unwrap();
    let (mut store, _) = open(faulty).unwrap();
    store.put_typed("r1", Some(&out(1)), NOW);
    faults.lock().unwrap().sync_fails = true;
    assert!(store.sync().is_err());
    // From here on this disk says yes to every sync, though what the first one lost is not there.
    faults.lock().unwrap().sync_fails = false;
    store.put_typed("r2", Some(&out(2)), NOW);
    assert!(store.sync().is_ok());
    drop(store);
    let (store, found) = open(disk).unwrap();
    assert_eq!(overrides(&store).len(), 2, "{found:?}");
}

#[test]
fn a_full_or_read_only_disk_is_owned_up_to_and_what_is_on_it_still_holds() {
    for faults in [
        DiskFaults { full: true, ..DiskFaults::default() },
        DiskFaults { read_only: true, ..DiskFaults::default() },
    ] {
        let disk = folder();
        let faults = Arc::new(Mutex::new(faults));
        let (mut store, found) = open(FaultyDisk::new(disk.clone(), faults.clone(), 4).unwrap()).unwrap();
        assert!(found.write_error.is_some() && store.boot().is_none());
        assert_eq!(overrides(&store).len(), 3);
        store.put_typed("r4", Some(&out(4)), NOW);
        assert!(store.sync().is_err() && overrides(&store).len() == 4);
        // Free again.
        *faults.lock().unwrap() = DiskFaults::default();
        assert!(store.sync().is_ok() && store.boot() == Some(3));
        drop(store);
        assert_eq!(overrides(&open(disk).unwrap().0).len(), 4);
    }
}

#[test]
fn another_dispatchers_store_a_newer_form_and_a_clock_that_went_back() {
    let refused = Store::open(Box::new(folder()), "d1", 1, NOW).map(|_| ()).unwrap_err();
    assert_eq!(refused.to_string(), "it is the store of \"d0\"");
    let (_, found) = Store::open(Box::new(folder()), "d0", 1, NOW - 5_000_000).unwrap();
    assert_eq!(found.warnings, [IntegrityWarning::ClockBehind { behind: 5_000_000 }]);
    let inspection = inspect(&mut folder()).unwrap();
    assert_eq!((inspection.owner.as_deref(), inspection.store, inspection.summary.boot), (Some("d0"), 77, 2));
}

#[test]
fn how_long_the_last_life_has_been_over_is_told_by_the_machine_not_by_the_clock() {
    let machine = |boot_id: &str, uptime| Machine { boot_id: boot_id.to_owned(), uptime };
    let away = |then: Machine, now: Machine| {
        let disk = MemoryDisk::default();
        disk.set_machine(then);
        drop(open(disk.clone()).unwrap());
        disk.set_machine(now);
        open(disk).unwrap().1.min_downtime
    };
    assert_eq!(away(machine("a", 5_000_000), machine("a", 7_500_000)), 2_500_000);
    // Another life of the machine: over for at least as long as that has been up.
    assert_eq!(away(machine("a", 90_000_000), machine("b", 3_000_000)), 3_000_000);
    // A machine that does not tell proves nothing.
    assert_eq!(away(machine("", 1), machine("", 9_000_000)), 0);
}

#[test]
fn somebody_has_heard_of_a_higher_number() {
    let disk = folder();
    let (mut store, _) = open(disk.clone()).unwrap();
    assert_eq!(store.boot(), Some(3));
    store.raise_boot_above(9).unwrap();
    assert_eq!(store.boot(), Some(10));
    drop(store);
    assert_eq!(open(disk).unwrap().0.boot(), Some(11));
}
