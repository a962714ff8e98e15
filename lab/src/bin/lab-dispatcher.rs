//! The real dispatcher on a disk with injected faults. The lab starts it if a scenario has a store.
//!
//! Data that is not synced is kept in this process and lost with it, as in a loss of power; a part of it,
//! drawn by seed, reaches the disk anyway. The lab writes the disk's current faults to a file beside the
//! directory (`FOLDER.disk`), which this program polls.
//!
//! For the judge's tests, the environment variable `LAB_TWIN` turns it into a variant with one defect:
//!
//! - `unsynced` reports data as synced that is not on disk.
//! - `forgets-hands` starts without its stored records.
//! - `rolled-back` starts each time with the state that its first process found.
//! - `spends-alone` uses the whole slow-start allowance of cold runners for itself.

use std::io;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use topazsail_lab::disks::{DiskCondition, control_file};
use topazsail_store::{DirectoryDisk, Disk, DiskFaults, FaultyDisk, Machine};

/// Environment variable that selects a defect.
const DEFECT_VARIABLE: &str = "LAB_TWIN";
/// Interval at which the file of faults is read.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Reads the file of faults; `None` if it is missing or malformed.
fn read_condition(path: &Path) -> Option<DiskCondition> {
    serde_json::from_slice(&std::fs::read(path).ok()?).ok()
}

/// Returns the selected defect; empty for none.
fn defect() -> String {
    std::env::var(DEFECT_VARIABLE).unwrap_or_default()
}

/// Changes the stored files before the dispatcher reads them, if the defect requires it.
fn alter_files(folder: &Path) -> io::Result<()> {
    let initial = folder.with_extension("first");
    match defect().as_str() {
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
                if initial.is_dir() { (initial.as_path(), folder) } else { (folder, initial.as_path()) };
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

/// Converts the lab's description of faults to the disk's.
fn disk_faults(condition: &DiskCondition) -> DiskFaults {
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as i64;
    DiskFaults {
        full: condition.full,
        read_only: condition.read_only,
        sync_fails: condition.sync_fails,
        sync_skipped: defect() == "unsynced" || condition.lies,
        sync_delay: Duration::from_micros(condition.slow.max(0) as u64),
        crash_at: None,
        machine: Some(Machine {
            boot_id: format!("m{}", condition.life),
            uptime: (unix - condition.up_since).max(0),
        }),
    }
}

/// Opens the faulty disk of a directory, and keeps its faults up to date with the file.
fn open_disk(folder: &Path) -> io::Result<Box<dyn Disk>> {
    let path: PathBuf = control_file(folder);
    alter_files(folder)?;
    let initial = read_condition(&path).unwrap_or_default();
    let faults = Arc::new(Mutex::new(disk_faults(&initial)));
    let (seed, updated) = (initial.seed, faults.clone());
    thread::spawn(move || {
        loop {
            if let Some(condition) = read_condition(&path) {
                *updated.lock().unwrap_or_else(PoisonError::into_inner) = disk_faults(&condition);
            }
            thread::sleep(POLL_INTERVAL);
        }
    });
    Ok(Box::new(FaultyDisk::new(DirectoryDisk::new(folder), faults, seed)?))
}

/// Rewrites the configuration for the defect `spends-alone`: one dispatcher, without peers.
fn rewrite_configuration() -> Option<()> {
    let path = std::env::args().skip_while(|arg| arg != "--config").nth(1);
    let path = path.filter(|_| defect() == "spends-alone")?;
    let mut configuration: serde_json::Value =
        serde_json::from_str(&std::fs::read_to_string(&path).ok()?).ok()?;
    configuration["settings"]["balancers"] = 1.into();
    configuration.as_object_mut()?.remove("peers");
    std::fs::write(&path, configuration.to_string()).ok()
}

fn main() -> ExitCode {
    rewrite_configuration();
    topazsail_node::cli::main_with_disk(open_disk)
}
