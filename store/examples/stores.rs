//! Compares the two candidates for the store: our log with snapshots, and redb with its own file backend.
//!
//!     cargo run --release -p topazsail-store --example stores -- FOLDER
//!
//! For each it measures the time of one small record with its sync, the bytes on the disk, and the start with
//! 10,000 runners; for redb also what happens to a file with one flipped byte.

use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::Path;
use std::time::{Duration, Instant};

use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition};
use topazsail_store::stored_types::StoredOverride;
use topazsail_store::{DirectoryDisk, Store, Table};

const RUNNERS: usize = 10_000;
const SYNCS: usize = 200;
const TABLE: TableDefinition<&str, &[u8]> = TableDefinition::new("records");

/// About what discovery reports for one runner.
fn entry(nth: usize) -> Vec<u8> {
    format!("{{\"instanceId\":\"r{nth}\",\"hostPort\":\"10.0.0.1:{nth}\",\"zone\":\"brisbane\",\"machineType\":\"fast\",\"cell\":{nth},\"lifecycle\":\"up\",\"weight\":1.0,\"startedAtMs\":1700000000000}}").into_bytes()
}

fn median_and_p99(mut times: Vec<Duration>) -> (Duration, Duration) {
    times.sort_unstable();
    (times[times.len() / 2], times[times.len() * 99 / 100])
}

fn size(folder: &Path) -> u64 {
    let files = std::fs::read_dir(folder).unwrap();
    files.map(|file| file.unwrap().metadata().unwrap().len()).sum()
}

fn measure_log(folder: &Path) -> Result<(), Box<dyn std::error::Error>> {
    std::fs::create_dir_all(folder)?;
    let open =
        || Store::open(Box::new(DirectoryDisk::new(folder)), "d0", 1, 1).map_err(|error| error.to_string());
    let (mut store, _) = open()?;
    for nth in 0..RUNNERS {
        store.put(Table(40), &format!("r{nth}"), 1, Some(entry(nth)), 1);
    }
    store.sync()?;
    let mut times = Vec::new();
    for nth in 0..SYNCS {
        let began = Instant::now();
        store.put_typed(
            "r7",
            Some(&StoredOverride { out_since: Some(nth as i64), ..StoredOverride::default() }),
            1,
        );
        store.sync()?;
        times.push(began.elapsed());
    }
    drop(store);
    let began = Instant::now();
    let (store, _) = open()?;
    let start = began.elapsed();
    assert_eq!(store.records().len(), RUNNERS + 1);
    let (median, p99) = median_and_p99(times);
    println!("log: sync p50 {median:?} p99 {p99:?}, start {start:?}, {} bytes in all", size(folder));
    Ok(())
}

fn measure_redb(folder: &Path) -> Result<(), Box<dyn std::error::Error>> {
    std::fs::create_dir_all(folder)?;
    let path = folder.join("redb");
    let base = Database::create(&path)?;
    let write = base.begin_write()?;
    for nth in 0..RUNNERS {
        write.open_table(TABLE)?.insert(format!("r{nth}").as_str(), entry(nth).as_slice())?;
    }
    write.commit()?;
    let mut times = Vec::new();
    for nth in 0..SYNCS {
        let began = Instant::now();
        let write = base.begin_write()?;
        write.open_table(TABLE)?.insert("hand r7", nth.to_le_bytes().as_slice())?;
        write.commit()?;
        times.push(began.elapsed());
    }
    drop(base);
    let began = Instant::now();
    let base = Database::open(&path)?;
    let read = base.begin_read()?;
    let found = read.open_table(TABLE)?.iter()?.count();
    let start = began.elapsed();
    assert_eq!(found, RUNNERS + 1);
    let (median, p99) = median_and_p99(times);
    println!("redb: sync p50 {median:?} p99 {p99:?}, start {start:?}, {} bytes in all", size(folder));
    Ok(())
}

/// Flips one byte of a small redb file, in many places, and compares what can be read.
fn flip_bytes(folder: &Path) -> Result<(), Box<dyn std::error::Error>> {
    let path = folder.join("small");
    let base = Database::create(&path)?;
    let write = base.begin_write()?;
    for nth in 0..40 {
        write.open_table(TABLE)?.insert(format!("r{nth}").as_str(), entry(nth).as_slice())?;
    }
    write.commit()?;
    drop(base);
    let good = std::fs::read(&path)?;
    let used: Vec<usize> = (0..good.len()).filter(|at| good[*at] != 0).collect();
    let (mut right, mut wrong, mut refused, mut panicked) = (0, 0, 0, 0);
    std::panic::set_hook(Box::new(|_| ()));
    for at in used.iter().step_by(3) {
        let mut damaged = good.clone();
        damaged[*at] ^= 0x11;
        std::fs::write(&path, &damaged)?;
        let read = catch_unwind(AssertUnwindSafe(|| -> Result<bool, Box<dyn std::error::Error>> {
            let base = Database::open(&path)?;
            let read = base.begin_read()?;
            let table = read.open_table(TABLE)?;
            let mut found = Vec::new();
            for pair in table.iter()? {
                let (key, value) = pair?;
                found.push((key.value().to_owned(), value.value().to_vec()));
            }
            found.sort();
            let mut all: Vec<_> = (0..40).map(|nth| (format!("r{nth}"), entry(nth))).collect();
            all.sort();
            Ok(found == all)
        }));
        match read {
            Ok(Ok(true)) => right += 1,
            Ok(Ok(false)) => wrong += 1,
            Ok(Err(_)) => refused += 1,
            Err(_) => panicked += 1,
        }
    }
    println!("redb, one byte flipped: right {right}, WRONG {wrong}, refused {refused}, panicked {panicked}");
    Ok(())
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let folder = std::env::args().nth(1).ok_or("expected one argument: a folder")?;
    let folder = Path::new(&folder);
    measure_log(&folder.join("log"))?;
    measure_redb(&folder.join("base"))?;
    flip_bytes(&folder.join("base"))
}
