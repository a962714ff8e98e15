//! A disk with injected faults, on top of any other disk. Writes that are not synced are held in this value
//! and lost with it, as in a power loss; by a seeded random choice some of them reach the disk early.
//!
//! It tracks the difference between what has been written and what is on the disk. The same layer is used by
//! in-process tests and, over a real directory, by the lab's dispatcher. It must never be safer than a real
//! disk.

use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use crate::Micros;
use crate::disk::{Disk, Machine};

/// The current faults of a disk; shared, so that they can be changed while the disk is in use.
#[derive(Clone, Debug, Default)]
pub struct DiskFaults {
    /// No space is left: nothing more can be written.
    pub full: bool,
    /// All writes fail.
    pub read_only: bool,
    /// A sync fails. After that a sync succeeds although the bytes of the failed one are lost.
    pub sync_fails: bool,
    /// A sync succeeds without doing anything, as if the program did not wait for it.
    pub sync_skipped: bool,
    /// Duration of each sync.
    pub sync_delay: Duration,
    /// Simulates a crash: every operation from this number on fails, counted from 0.
    pub crash_at: Option<u64>,
    /// Replaces the machine that the disk reports.
    pub machine: Option<Machine>,
}

/// Content of one file.
#[derive(Default)]
struct FileState {
    /// All bytes written so far.
    written: Vec<u8>,
    /// How many of them are on the disk.
    persisted: usize,
    /// Byte ranges lost by a failed sync: zeros on the disk.
    lost: Vec<(usize, usize)>,
}

/// A change of a file name that is not on the disk yet.
enum NameChange {
    /// Name, and index of the file.
    Create(String, usize),
    /// Old name, new name.
    Rename(String, String),
    Remove(String),
}

/// A [`Disk`] with injected faults; see the module description.
pub struct FaultyDisk<D> {
    inner: D,
    faults: Arc<Mutex<DiskFaults>>,
    files: Vec<FileState>,
    /// File names as written, with the index of the file.
    names: BTreeMap<String, usize>,
    /// File names as they are on the disk.
    persisted_names: BTreeMap<String, usize>,
    /// Changes of names since then.
    name_changes: Vec<NameChange>,
    /// State of the random generator.
    random_state: u64,
    /// Number of operations so far.
    operations: u64,
}

impl<D: Disk> FaultyDisk<D> {
    /// Starts with what `inner` holds. `seed` decides which unsynced writes reach the disk early.
    pub fn new(mut inner: D, faults: Arc<Mutex<DiskFaults>>, seed: u64) -> io::Result<FaultyDisk<D>> {
        let (mut files, mut names) = (Vec::new(), BTreeMap::new());
        for name in inner.list()? {
            let written = inner.read(&name)?;
            names.insert(name, files.len());
            files.push(FileState { persisted: written.len(), written, lost: Vec::new() });
        }
        let persisted_names = names.clone();
        let name_changes = Vec::new();
        Ok(FaultyDisk {
            inner,
            faults,
            files,
            names,
            persisted_names,
            name_changes,
            random_state: seed,
            operations: 0,
        })
    }

    /// Number of operations so far: the points at which a crash can be injected.
    pub fn operations(&self) -> u64 {
        self.operations
    }

    /// A random number below `below`, by SplitMix64.
    fn random_below(&mut self, below: usize) -> usize {
        self.random_state = self.random_state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.random_state;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (mixed ^ (mixed >> 31)) as usize % below.max(1)
    }

    fn current_faults(&self) -> DiskFaults {
        self.faults.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Counts an operation, and fails it after the injected crash.
    fn begin_operation(&mut self) -> io::Result<DiskFaults> {
        let faults = self.current_faults();
        if faults.crash_at.is_some_and(|at| self.operations >= at) {
            return Err(io::Error::other("crashed"));
        }
        self.operations += 1;
        Ok(faults)
    }

    /// Like [`FaultyDisk::begin_operation`], for an operation that fails on a read-only disk.
    fn begin_write(&mut self) -> io::Result<DiskFaults> {
        let faults = self.begin_operation()?;
        if faults.read_only {
            return Err(io::ErrorKind::ReadOnlyFilesystem.into());
        }
        Ok(faults)
    }

    fn file_index(&self, name: &str) -> io::Result<usize> {
        self.names.get(name).copied().ok_or_else(|| io::ErrorKind::NotFound.into())
    }

    /// Writes the bytes of a file up to `up_to` to the disk.
    fn persist_bytes(&mut self, file: usize, up_to: usize) -> io::Result<()> {
        let state = &mut self.files[file];
        let from = std::mem::replace(&mut state.persisted, up_to);
        let mut bytes = state.written[from..up_to].to_vec();
        for (begin, end) in &state.lost {
            let (begin, end) = ((*begin).max(from), (*end).min(up_to));
            if begin < end {
                bytes[begin - from..end - from].fill(0);
            }
        }
        for (name, _) in self.persisted_names.iter().filter(|(_, index)| **index == file) {
            self.inner.append(name, &bytes)?;
        }
        Ok(())
    }

    /// Applies the next `count` name changes to the disk, in order, as a journaling file system does.
    fn persist_names(&mut self, count: usize) -> io::Result<()> {
        let count = count.min(self.name_changes.len());
        for change in self.name_changes.drain(..count).collect::<Vec<_>>() {
            match change {
                NameChange::Create(name, file) => {
                    self.inner.create(&name)?;
                    let state = &self.files[file];
                    let mut bytes = state.written[..state.persisted].to_vec();
                    for (begin, end) in &state.lost {
                        let end = (*end).min(bytes.len());
                        if *begin < end {
                            bytes[*begin..end].fill(0);
                        }
                    }
                    self.inner.append(&name, &bytes)?;
                    self.persisted_names.insert(name, file);
                }
                NameChange::Rename(from, to) => {
                    self.inner.rename(&from, &to)?;
                    if let Some(file) = self.persisted_names.remove(&from) {
                        self.persisted_names.insert(to, file);
                    }
                }
                NameChange::Remove(name) => {
                    self.inner.remove(&name)?;
                    self.persisted_names.remove(&name);
                }
            }
        }
        Ok(())
    }

    /// The system writes some name changes to the disk without a sync.
    fn persist_some_names(&mut self) -> io::Result<()> {
        if self.random_below(3) == 0 {
            let count = self.random_below(self.name_changes.len() + 1);
            self.persist_names(count)?;
        }
        Ok(())
    }
}

impl<D: Disk> Disk for FaultyDisk<D> {
    fn list(&mut self) -> io::Result<Vec<String>> {
        self.begin_operation()?;
        Ok(self.names.keys().cloned().collect())
    }

    fn read(&mut self, name: &str) -> io::Result<Vec<u8>> {
        self.begin_operation()?;
        Ok(self.files[self.file_index(name)?].written.clone())
    }

    fn create(&mut self, name: &str) -> io::Result<()> {
        if self.begin_write()?.full {
            return Err(io::ErrorKind::StorageFull.into());
        }
        self.files.push(FileState::default());
        self.names.insert(name.to_owned(), self.files.len() - 1);
        self.name_changes.push(NameChange::Create(name.to_owned(), self.files.len() - 1));
        self.persist_some_names()
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let full = self.begin_write()?.full;
        let file = self.file_index(name)?;
        // On a full disk a part of the bytes may still fit.
        let fits = if full { self.random_below(bytes.len()) } else { bytes.len() };
        self.files[file].written.extend_from_slice(&bytes[..fits]);
        if self.random_below(3) == 0 {
            let (persisted, all) = (self.files[file].persisted, self.files[file].written.len());
            let up_to = persisted + self.random_below(all - persisted + 1);
            self.persist_bytes(file, up_to)?;
        }
        if full { Err(io::ErrorKind::StorageFull.into()) } else { Ok(()) }
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        let faults = self.begin_write()?;
        std::thread::sleep(faults.sync_delay);
        let file = self.file_index(name)?;
        let (persisted, all) = (self.files[file].persisted, self.files[file].written.len());
        if faults.sync_skipped {
            return Ok(());
        }
        if faults.sync_fails {
            self.files[file].lost.push((persisted, all));
            return Err(io::Error::other("the disk has failed"));
        }
        self.persist_bytes(file, all)
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.begin_write()?;
        let file = self.names.remove(from).ok_or(io::ErrorKind::NotFound)?;
        self.names.insert(to.to_owned(), file);
        self.name_changes.push(NameChange::Rename(from.to_owned(), to.to_owned()));
        self.persist_some_names()
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.begin_write()?;
        self.names.remove(name).ok_or(io::ErrorKind::NotFound)?;
        self.name_changes.push(NameChange::Remove(name.to_owned()));
        self.persist_some_names()
    }

    fn sync_directory(&mut self) -> io::Result<()> {
        let faults = self.begin_write()?;
        std::thread::sleep(faults.sync_delay);
        if faults.sync_skipped {
            return Ok(());
        }
        if faults.sync_fails {
            return Err(io::Error::other("the disk has failed"));
        }
        self.persist_names(usize::MAX)
    }

    fn write_in_place(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.begin_write()?;
        self.inner.write_in_place(name, bytes)
    }

    fn lock(&mut self) -> io::Result<()> {
        self.inner.lock()
    }

    fn machine(&mut self) -> Machine {
        let machine = self.current_faults().machine;
        machine.unwrap_or_else(|| self.inner.machine())
    }
}

/// The minimum time since `noted`. Within one boot of the machine the difference of the uptimes; after
/// another boot at least the current uptime; 0 if a boot id is unknown.
pub fn min_elapsed(noted: &Machine, now: &Machine) -> Micros {
    if now.boot_id.is_empty() || noted.boot_id.is_empty() {
        return 0;
    }
    if noted.boot_id == now.boot_id { (now.uptime - noted.uptime).max(0) } else { now.uptime }
}
