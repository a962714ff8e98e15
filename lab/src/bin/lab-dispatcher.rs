//! The dispatcher itself over a disk that fails on purpose: what the lab starts where a scenario has a store.
//!
//! What was not synced is kept in this process and goes with it, as with a machine's power; some of it reaches the
//! disk all the same, by seed. What is wrong with the disk stands in a file beside the folder (`FOLDER.disk`), which
//! the lab writes and this reads again all the time.
//!
//! By `LAB_TWIN` it is a faulty twin, for the judge's tests: `unsynced` says that the disk has what it has not,
//! `forgets-hands` begins without its records, `rolled-back` each time with what its first life found, `spends-alone`
//! takes all that may be sent to a cold runner for its own.

use std::io;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use topazsail_lab::disks::{DiskCondition, control_file};
use topazsail_store::{DirectoryDisk, Disk, DiskFaults, FaultyDisk, Machine};

const TWIN: &str = "LAB_TWIN";
const LOOK_EVERY: Duration = Duration::from_millis(10);

fn read(path: &Path) -> Option<DiskCondition> {
    serde_json::from_slice(&std::fs::read(path).ok()?).ok()
}

fn twin() -> String {
    std::env::var(TWIN).unwrap_or_default()
}

/// What a twin does to its folder before it looks there.
fn tamper(folder: &Path) -> io::Result<()> {
    let first = folder.with_extension("first");
    match twin().as_str() {
        "forgets-hands" => {
            for entry in std::fs::read_dir(folder)? {
                let path = entry?.path();
                if path.file_name().is_some_and(|name| name.to_string_lossy().starts_with("log-")) {
                    std::fs::remove_file(path)?;
                }
            }
        }
        "rolled-back" => {
            let (from, to) =
                if first.is_dir() { (first.as_path(), folder) } else { (folder, first.as_path()) };
            std::fs::create_dir_all(to)?;
            for entry in std::fs::read_dir(to)? {
                std::fs::remove_file(entry?.path())?;
            }
            for entry in std::fs::read_dir(from)? {
                let entry = entry?;
                std::fs::copy(entry.path(), to.join(entry.file_name()))?;
            }
        }
        _ => {}
    }
    Ok(())
}

fn faults(ailment: &DiskCondition) -> DiskFaults {
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as i64;
    DiskFaults {
        full: ailment.full,
        read_only: ailment.read_only,
        sync_fails: ailment.sync_fails,
        lies: twin() == "unsynced" || ailment.lies,
        slow: Duration::from_micros(ailment.slow.max(0) as u64),
        crash_at: None,
        machine: Some(Machine { life: format!("m{}", ailment.life), up: (unix - ailment.up_since).max(0) }),
    }
}

fn disk_at(folder: &Path) -> io::Result<Box<dyn Disk>> {
    let path: PathBuf = control_file(folder);
    tamper(folder)?;
    let first = read(&path).unwrap_or_default();
    let shared = Arc::new(Mutex::new(faults(&first)));
    let (seed, told) = (first.seed, shared.clone());
    thread::spawn(move || {
        loop {
            if let Some(now) = read(&path) {
                *told.lock().unwrap_or_else(PoisonError::into_inner) = faults(&now);
            }
            thread::sleep(LOOK_EVERY);
        }
    });
    Ok(Box::new(FaultyDisk::new(DirectoryDisk::new(folder), shared, seed)?))
}

/// A twin's own settings, in place of what the lab has written for it.
fn mislead() -> Option<()> {
    let path = std::env::args().skip_while(|arg| arg != "--config").nth(1);
    let path = path.filter(|_| twin() == "spends-alone")?;
    let mut told: serde_json::Value = serde_json::from_str(&std::fs::read_to_string(&path).ok()?).ok()?;
    told["settings"]["balancers"] = 1.into();
    told.as_object_mut()?.remove("peers");
    std::fs::write(&path, told.to_string()).ok()
}

fn main() -> ExitCode {
    mislead();
    topazsail_node::cli::main_on(disk_at)
}
