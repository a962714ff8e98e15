//! The store through crashes at every operation, failing disks and damaged files: what was reported as stored
//! must be there afterwards, and nothing may be there that was not written.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use topazsail_store::stored_types::{StoredOverride, StoredRoster, all};
use topazsail_store::{
    Disk, DiskFaults, FaultyDisk, IntegrityWarning, Machine, MemoryDisk, Store, StoreError, inspect,
};

/// The clock of all process runs, as Unix time in microseconds.
const NOW: i64 = 1_700_000_000_000_000;

type Overrides = BTreeMap<String, StoredOverride>;

fn out_of_use(since: i64) -> StoredOverride {
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

/// What process runs have written, and which states may be found afterwards.
#[derive(Clone, Default)]
struct History {
    /// Reported as stored: nothing older may be found.
    stored: Overrides,
    /// Every state since then, oldest first.
    later: Vec<Overrides>,
    /// Boot numbers used so far.
    boots: Vec<u64>,
}

impl History {
    /// One process run over `disk`, until it ends or crashes at an operation. `seed` decides what it does.
    /// Returns the number of disk operations.
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
            found == self.stored || self.later.contains(&found),
            "seed {seed} crash {crash_at:?}: found {found:?}, stored {:?}, later {:?}",
            self.stored,
            self.later
        );
        if let Some(boot) = store.boot() {
            assert!(
                self.boots.iter().all(|known| *known < boot),
                "boot number {boot} is not above the earlier ones: {:?}",
                self.boots
            );
            self.boots.push(boot);
        }
        // What was found is in force from here on, and stored if the start could write it.
        if store.is_healthy() {
            (self.stored, self.later) = (found.clone(), Vec::new());
        }
        let mut now = found;
        for nth in 0..random.random_range(1..12) {
            let runner = format!("r{}", random.random_range(0..3));
            if random.random_range(0..4) == 0 {
                store.put_typed::<StoredOverride>(&runner, None, NOW);
                now.remove(&runner);
            } else {
                let entry = out_of_use(seed as i64 * 1000 + nth);
                store.put_typed(&runner, Some(&entry), NOW);
                now.insert(runner, entry);
            }
            self.later.push(now.clone());
            if random.random_range(0..2) == 0 && store.sync().is_ok() {
                (self.stored, self.later) = (now.clone(), Vec::new());
            }
        }
        if random.random_range(0..3) == 0 && store.close(NOW).is_ok() {
            (self.stored, self.later) = (now, Vec::new());
        }
        *counted.lock().unwrap()
    }
}

/// Counts disk operations, as the disk itself is moved into the store.
struct Counting<D: Disk>(FaultyDisk<D>, Arc<Mutex<u64>>);

macro_rules! counted {
    ($($name:ident($($arg:ident: $type:ty),*) -> $result:ty;)*) => {
        impl<D: Disk> Disk for Counting<D> {
            $(fn $name(&mut self, $($arg: $type),*) -> $result {
                let result = self.0.$name($($arg),*);
                *self.1.lock().unwrap() = self.0.operations();
                result
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

fn copy_of(disk: &MemoryDisk) -> MemoryDisk {
    let copy = MemoryDisk::default();
    *copy.files() = disk.files().clone();
    copy
}

/// Three process runs: the second crashes at each of its operations, and for each of those the third at each,
/// or at every seventh. A run without a crash then checks what is left.
#[test]
fn a_crash_at_every_operation_loses_nothing_reported_as_stored() {
    let mut crashes = 0;
    for seed in 0..12 {
        let (disk, mut history) = (MemoryDisk::default(), History::default());
        history.run(&disk, seed, None, DiskFaults::default());
        let mut second_crash = 0;
        loop {
            let (again, mut history_after) = (copy_of(&disk), history.clone());
            let done = history_after.run(&again, seed + 100, Some(second_crash), DiskFaults::default());
            for third_crash in (0..30).step_by(if seed == 0 { 1 } else { 7 }) {
                let (again, mut history_after) = (copy_of(&again), history_after.clone());
                history_after.run(&again, seed + 200, Some(third_crash), DiskFaults::default());
                history_after.run(&again, seed + 300, None, DiskFaults::default());
                crashes += 1;
            }
            if done < second_crash {
                break;
            }
            second_crash += 1;
        }
    }
    assert!(crashes > 2_000, "only {crashes} crashes were tested");
}

#[test]
fn random_crashes_and_disk_faults_lose_nothing_reported_as_stored() {
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
        assert!(history.boots.len() > 2, "seed {seed}: only boot numbers {:?}", history.boots);
    }
}

/// A directory after two process runs, with three overrides, the last of them in the last entry.
fn directory_after_two_runs() -> MemoryDisk {
    let disk = MemoryDisk::default();
    let (mut store, found) = open(disk.clone()).unwrap();
    assert!(found.is_new && found.warnings.is_empty());
    store.put_typed("r1", Some(&out_of_use(1)), NOW);
    store.close(NOW).unwrap();
    drop(store);
    let (mut store, found) = open(disk.clone()).unwrap();
    assert!(!found.is_new && found.ended_cleanly && found.boot == 1);
    let roster = StoredRoster { discovery: "127.0.0.1:1".into(), generation: 4, json: "{}".into() };
    store.put_typed("", Some(&roster), NOW);
    store.put_typed("r2", Some(&out_of_use(2)), NOW);
    store.sync().unwrap();
    store.put_typed("r3", Some(&out_of_use(3)), NOW);
    store.sync().unwrap();
    disk
}

#[test]
fn any_flipped_byte_gives_right_values_or_a_warning() {
    let disk = directory_after_two_runs();
    let all_files = disk.files().clone();
    let expected: Overrides = [("r1", out_of_use(1)), ("r2", out_of_use(2)), ("r3", out_of_use(3))]
        .into_iter()
        .map(|(id, entry)| (id.to_owned(), entry))
        .collect();
    for (name, bytes) in &all_files {
        for at in 0..bytes.len() {
            for flip in [0x01, 0x80, 0xff] {
                let damaged = copy_of(&disk);
                damaged.files().get_mut(name).unwrap()[at] ^= flip;
                let (store, found) = open(damaged.clone()).unwrap_or_else(|error| {
                    panic!("cannot be opened after a change of byte {at} of {name}: {error}")
                });
                assert_eq!(store.boot(), Some(3), "after a change of byte {at} of {name}");
                let overrides = overrides(&store);
                assert!(
                    overrides.iter().all(|(id, entry)| expected[id] == *entry),
                    "wrong values after a change of byte {at} of {name}: {overrides:?}"
                );
                // Anything missing must be reported, as a gap or as a damaged end.
                let reported = !found.warnings.is_empty() || found.torn_bytes > 0;
                assert!(
                    overrides == expected || reported,
                    "loss not reported after a change of byte {at} of {name}: {overrides:?} {found:?}"
                );
            }
        }
    }
}

#[test]
fn a_truncated_file_is_read_up_to_its_end() {
    let disk = directory_after_two_runs();
    let newest = disk.files().keys().rfind(|name| name.starts_with("log-")).cloned().unwrap();
    let length = disk.files()[&newest].len();
    let mut previous_count = 3;
    for end in (0..length).rev() {
        let cut = copy_of(&disk);
        cut.files().get_mut(&newest).unwrap().truncate(end);
        let (store, found) = open(cut).unwrap();
        let overrides = overrides(&store);
        assert!(
            overrides.len() <= previous_count && overrides.contains_key("r1"),
            "truncated to {end} bytes: {overrides:?}"
        );
        assert!(
            overrides.len() == 3 || found.torn_bytes > 0 || !found.warnings.is_empty() || end > 0,
            "truncated to {end} bytes: {found:?}"
        );
        previous_count = overrides.len();
    }
}

#[test]
fn a_sync_that_succeeds_after_a_failed_one_is_not_trusted() {
    let (disk, faults) = (MemoryDisk::default(), Arc::new(Mutex::new(DiskFaults::default())));
    let faulty = FaultyDisk::new(disk.clone(), faults.clone(), 9).unwrap();
    let (mut store, _) = open(faulty).unwrap();
    store.put_typed("r1", Some(&out_of_use(1)), NOW);
    faults.lock().unwrap().sync_fails = true;
    assert!(store.sync().is_err());
    // From here on every sync on this disk succeeds, though the bytes of the failed one are lost.
    faults.lock().unwrap().sync_fails = false;
    store.put_typed("r2", Some(&out_of_use(2)), NOW);
    assert!(store.sync().is_ok());
    drop(store);
    let (store, found) = open(disk).unwrap();
    assert_eq!(overrides(&store).len(), 2, "{found:?}");
}

#[test]
fn a_full_or_read_only_disk_is_reported_and_its_records_stay_in_force() {
    for faults in [
        DiskFaults { full: true, ..DiskFaults::default() },
        DiskFaults { read_only: true, ..DiskFaults::default() },
    ] {
        let disk = directory_after_two_runs();
        let faults = Arc::new(Mutex::new(faults));
        let (mut store, found) = open(FaultyDisk::new(disk.clone(), faults.clone(), 4).unwrap()).unwrap();
        assert!(found.write_error.is_some() && store.boot().is_none());
        assert_eq!(overrides(&store).len(), 3);
        store.put_typed("r4", Some(&out_of_use(4)), NOW);
        assert!(store.sync().is_err() && overrides(&store).len() == 4);
        // The disk works again.
        *faults.lock().unwrap() = DiskFaults::default();
        assert!(store.sync().is_ok() && store.boot() == Some(3));
        drop(store);
        assert_eq!(overrides(&open(disk).unwrap().0).len(), 4);
    }
}

#[test]
fn another_dispatchers_store_is_refused_and_a_clock_set_back_is_reported() {
    let refused = Store::open(Box::new(directory_after_two_runs()), "d1", 1, NOW).map(|_| ()).unwrap_err();
    assert_eq!(refused.to_string(), "it is the store of \"d0\"");
    let (_, found) = Store::open(Box::new(directory_after_two_runs()), "d0", 1, NOW - 5_000_000).unwrap();
    assert_eq!(found.warnings, [IntegrityWarning::ClockBehind { behind: 5_000_000 }]);
    let inspection = inspect(&mut directory_after_two_runs()).unwrap();
    assert_eq!((inspection.owner.as_deref(), inspection.store, inspection.summary.boot), (Some("d0"), 77, 2));
}

#[test]
fn downtime_is_measured_by_the_machines_uptime_not_by_the_clock() {
    let machine = |boot_id: &str, uptime| Machine { boot_id: boot_id.to_owned(), uptime };
    let downtime = |then: Machine, now: Machine| {
        let disk = MemoryDisk::default();
        disk.set_machine(then);
        drop(open(disk.clone()).unwrap());
        disk.set_machine(now);
        open(disk).unwrap().1.min_downtime
    };
    assert_eq!(downtime(machine("a", 5_000_000), machine("a", 7_500_000)), 2_500_000);
    // After another boot of the machine: at least its uptime.
    assert_eq!(downtime(machine("a", 90_000_000), machine("b", 3_000_000)), 3_000_000);
    // Without a boot id nothing is known.
    assert_eq!(downtime(machine("", 1), machine("", 9_000_000)), 0);
}

#[test]
fn a_higher_boot_number_known_to_a_peer_is_exceeded() {
    let disk = directory_after_two_runs();
    let (mut store, _) = open(disk.clone()).unwrap();
    assert_eq!(store.boot(), Some(3));
    store.raise_boot_above(9).unwrap();
    assert_eq!(store.boot(), Some(10));
    drop(store);
    assert_eq!(open(disk).unwrap().0.boot(), Some(11));
}
