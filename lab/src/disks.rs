//! The disks of the dispatchers under test: the faults of each, and the state in which a process finds its
//! own.
//!
//! This module owns the contents of the store directories between two process runs, and the control files
//! that `lab-dispatcher` reads.

use std::fs;
use std::io;
use std::path::{Path, PathBuf};

use rand::RngExt;
use rand_pcg::Pcg32;
use serde::{Deserialize, Serialize};
use topazsail::Micros;

/// The present condition of a disk, as written to the control file for the process that uses it.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct DiskCondition {
    pub seed: u64,
    pub full: bool,
    pub read_only: bool,
    pub sync_fails: bool,
    /// Syncs succeed without doing anything. No disk on sale does that, but it stands for a program that does
    /// not wait for its syncs.
    pub lies: bool,
    /// Delay of each sync, in microseconds.
    pub slow: Micros,
    /// Number of the machine's present boot.
    pub life: u64,
    /// Unix time in microseconds since which the machine is up.
    pub up_since: Micros,
}

/// A disk fault, as scenarios name it.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum DiskFault {
    Full,
    ReadOnly,
    SyncFails,
    Slow,
}

/// The state in which a process finds its disk when it restarts.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum DiskState {
    /// As it was when the process was killed.
    #[default]
    Kept,
    Empty,
    /// As it was some time before.
    Old,
    /// A copy of another dispatcher's disk.
    Copied,
    /// With one bit of one byte changed.
    Damaged,
}

/// Path of the control file of a store directory.
pub fn control_file(folder: &Path) -> PathBuf {
    folder.with_extension("disk")
}

/// Whether a file is a log. Other files are replaced as a whole or hold only a lock, and are never damaged.
fn is_log(name: &str) -> bool {
    name.starts_with("log-")
}

/// The store directory of one dispatcher.
pub struct DispatcherDirectory {
    path: PathBuf,
    /// The present condition, to be written with [`DispatcherDirectory::write_control_file`].
    pub condition: DiskCondition,
    /// The files as last saved, for the state `old`.
    saved: Vec<(String, Vec<u8>)>,
}

impl DispatcherDirectory {
    /// Creates the directory and its control file.
    pub fn new(path: PathBuf, seed: u64) -> io::Result<DispatcherDirectory> {
        fs::create_dir(&path)?;
        let condition = DiskCondition { seed, life: 1, ..DiskCondition::default() };
        let folder = DispatcherDirectory { path, condition, saved: Vec::new() };
        folder.write_control_file()?;
        Ok(folder)
    }

    /// Path of the directory.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Writes the control file atomically, as the process may read it at any moment.
    pub fn write_control_file(&self) -> io::Result<()> {
        let next = self.path.with_extension("next");
        fs::write(&next, serde_json::to_vec(&self.condition)?)?;
        fs::rename(next, control_file(&self.path))
    }

    /// Name and content of every file, in order of name.
    fn files(&self) -> io::Result<Vec<(String, Vec<u8>)>> {
        let mut files = Vec::new();
        for entry in fs::read_dir(&self.path)? {
            let entry = entry?;
            let name = entry.file_name().to_string_lossy().into_owned();
            // The process may be removing files that it no longer needs.
            if let Ok(bytes) = fs::read(entry.path()) {
                files.push((name, bytes));
            }
        }
        files.sort();
        Ok(files)
    }

    /// Saves a copy of all files, for the state `old`.
    pub fn save(&mut self) -> io::Result<()> {
        self.saved = self.files()?;
        Ok(())
    }

    /// Replaces all files.
    fn replace(&self, files: &[(String, Vec<u8>)]) -> io::Result<()> {
        for (name, _) in self.files()? {
            fs::remove_file(self.path.join(name))?;
        }
        files.iter().try_for_each(|(name, bytes)| fs::write(self.path.join(name), bytes))
    }

    /// Puts the disk into the state that the next process run finds; `other` is the directory to copy for
    /// `Copied`.
    pub fn prepare(
        &self,
        state: DiskState,
        other: Option<&DispatcherDirectory>,
        rng: &mut Pcg32,
    ) -> io::Result<()> {
        match state {
            DiskState::Kept => Ok(()),
            DiskState::Empty => self.replace(&[]),
            DiskState::Old => self.replace(&self.saved),
            DiskState::Copied => {
                self.replace(&other.map(DispatcherDirectory::files).transpose()?.unwrap_or_default())
            }
            DiskState::Damaged => {
                let mut files = self.files()?;
                let logs = files.iter_mut().rev().find(|(name, bytes)| is_log(name) && !bytes.is_empty());
                if let Some((_, bytes)) = logs {
                    let at = rng.random_range(0..bytes.len());
                    bytes[at] ^= 1 << rng.random_range(0..8);
                }
                self.replace(&files)
            }
        }
    }
}
