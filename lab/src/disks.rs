//! The disks of the dispatchers under trial: what is wrong with each, and in which state a process finds its own.
//!
//! It owns the folders' contents between two lives of a process, and the word that `lab-dispatcher` reads of them.

use std::fs;
use std::io;
use std::path::{Path, PathBuf};

use rand::RngExt;
use rand_pcg::Pcg32;
use serde::{Deserialize, Serialize};
use topazsail::Micros;

/// What is wrong with a disk now, as written for the process that uses it.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct DiskCondition {
    pub seed: u64,
    pub full: bool,
    pub read_only: bool,
    pub sync_fails: bool,
    /// It says yes to a sync and has done nothing: no disk that is sold, but a program that does not wait for it.
    pub lies: bool,
    /// Each sync takes so long.
    pub slow: Micros,
    /// Which life of its machine this is, and since when it goes on, as Unix time.
    pub life: u64,
    pub up_since: Micros,
}

/// What is wrong, as scenarios name it.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum DiskFault {
    Full,
    ReadOnly,
    SyncFails,
    Slow,
}

/// In which state a process finds its disk when it is back.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum DiskState {
    /// As it was when the process was killed.
    #[default]
    Kept,
    Empty,
    /// As it was some time before.
    Old,
    /// Another dispatcher's.
    Copied,
    /// With one byte spoilt.
    Damaged,
}

/// Where the word on a folder's disk stands.
pub fn control_file(folder: &Path) -> PathBuf {
    folder.with_extension("disk")
}

/// Files that a store rewrites or only holds: nothing is spoilt there.
fn is_log(name: &str) -> bool {
    name.starts_with("log-")
}

/// One dispatcher's folder.
pub struct DispatcherDirectory {
    path: PathBuf,
    pub condition: DiskCondition,
    saved: Vec<(String, Vec<u8>)>,
}

impl DispatcherDirectory {
    pub fn new(path: PathBuf, seed: u64) -> io::Result<DispatcherDirectory> {
        fs::create_dir(&path)?;
        let condition = DiskCondition { seed, life: 1, ..DiskCondition::default() };
        let folder = DispatcherDirectory { path, condition, saved: Vec::new() };
        folder.write_control_file()?;
        Ok(folder)
    }

    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Whole or not at all, as it may be read at this very moment.
    pub fn write_control_file(&self) -> io::Result<()> {
        let next = self.path.with_extension("next");
        fs::write(&next, serde_json::to_vec(&self.condition)?)?;
        fs::rename(next, control_file(&self.path))
    }

    fn files(&self) -> io::Result<Vec<(String, Vec<u8>)>> {
        let mut files = Vec::new();
        for entry in fs::read_dir(&self.path)? {
            let entry = entry?;
            let name = entry.file_name().to_string_lossy().into_owned();
            // A process may be removing what it needs no more.
            if let Ok(bytes) = fs::read(entry.path()) {
                files.push((name, bytes));
            }
        }
        files.sort();
        Ok(files)
    }

    /// Takes a copy, to be found again as `old`.
    pub fn save(&mut self) -> io::Result<()> {
        self.saved = self.files()?;
        Ok(())
    }

    fn replace(&self, files: &[(String, Vec<u8>)]) -> io::Result<()> {
        for (name, _) in self.files()? {
            fs::remove_file(self.path.join(name))?;
        }
        files.iter().try_for_each(|(name, bytes)| fs::write(self.path.join(name), bytes))
    }

    /// What the next life finds.
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
