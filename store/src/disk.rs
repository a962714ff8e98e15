//! The lowest layer: the few operations that a store performs on one directory.
//!
//! It defines what "on the disk" means: the bytes of a file after [`Disk::sync`], file names after
//! [`Disk::sync_directory`]. Anything that is not synced may be there after a crash, wholly, in part, or not
//! at all. Errors are always passed on.

use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Write};
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, OnceLock, PoisonError};

use crate::Micros;

/// The machine and its boot: after a power loss the boot id is different, and the uptime starts at zero.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Machine {
    /// Changes with each boot of the machine; empty if unknown.
    pub boot_id: String,
    /// Time since the boot, from the monotonic clock that all processes of the machine share.
    pub uptime: Micros,
}

impl Machine {
    /// The machine that this process runs on, with an empty boot id if the system does not report one.
    pub fn current() -> Machine {
        static BOOT_ID: OnceLock<String> = OnceLock::new();
        let read = || fs::read_to_string("/proc/sys/kernel/random/boot_id").unwrap_or_default();
        let boot_id = BOOT_ID.get_or_init(read);
        let uptime = fs::read_to_string("/proc/uptime").unwrap_or_default();
        let uptime = uptime.split(' ').next().and_then(|seconds| seconds.parse::<f64>().ok()).unwrap_or(0.0);
        Machine { boot_id: boot_id.trim().to_owned(), uptime: (uptime * 1e6) as Micros }
    }
}

/// One directory. Names are plain file names; errors are those of the file system.
pub trait Disk: Send {
    /// All file names.
    fn list(&mut self) -> io::Result<Vec<String>>;
    /// The whole content of a file.
    fn read(&mut self, name: &str) -> io::Result<Vec<u8>>;
    /// Creates an empty file; an existing file of that name is replaced.
    fn create(&mut self, name: &str) -> io::Result<()>;
    /// Appends to an existing file.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;
    /// Makes all bytes of a file survive a power loss.
    fn sync(&mut self, name: &str) -> io::Result<()>;
    /// Renames a file; an existing file `to` is replaced.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;
    /// Removes a file.
    fn remove(&mut self, name: &str) -> io::Result<()>;
    /// Makes all file names survive a power loss.
    fn sync_directory(&mut self) -> io::Result<()>;
    /// Writes a small file in place. It survives this process; nothing is guaranteed beyond that.
    fn write_in_place(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;
    /// Locks the directory for this process; an error if another process holds it.
    fn lock(&mut self) -> io::Result<()>;
    /// The machine that the directory belongs to.
    fn machine(&mut self) -> Machine {
        Machine::current()
    }
}

/// A directory of the file system.
pub struct DirectoryDisk {
    path: PathBuf,
    /// The lock file, while this process holds the lock.
    lock: Option<File>,
    /// Name and handle of the file written last, kept open.
    last_written: Option<(String, File)>,
}

impl DirectoryDisk {
    /// Uses the directory at `path`, which must exist.
    pub fn new(path: &Path) -> DirectoryDisk {
        DirectoryDisk { path: path.to_owned(), lock: None, last_written: None }
    }

    /// The file `name`, opened for appending unless it is the one written last.
    fn file_for_append(&mut self, name: &str) -> io::Result<&mut File> {
        if self.last_written.as_ref().is_none_or(|(known, _)| known != name) {
            let file = OpenOptions::new().append(true).open(self.path.join(name))?;
            self.last_written = Some((name.to_owned(), file));
        }
        self.last_written.as_mut().map(|(_, file)| file).ok_or_else(|| io::ErrorKind::NotFound.into())
    }
}

/// File that is locked while a process uses the directory.
const LOCK_FILE: &str = "lock";

impl Disk for DirectoryDisk {
    fn list(&mut self) -> io::Result<Vec<String>> {
        let names = fs::read_dir(&self.path)?.map(|entry| Ok(entry?.file_name().into_string().ok()));
        let names: io::Result<Vec<Option<String>>> = names.collect();
        Ok(names?.into_iter().flatten().collect())
    }

    fn read(&mut self, name: &str) -> io::Result<Vec<u8>> {
        let mut bytes = Vec::new();
        File::open(self.path.join(name))?.read_to_end(&mut bytes)?;
        Ok(bytes)
    }

    fn create(&mut self, name: &str) -> io::Result<()> {
        self.last_written = None;
        File::create(self.path.join(name)).map(drop)
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.file_for_append(name)?.write_all(bytes)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.file_for_append(name)?.sync_data()
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.last_written = None;
        fs::rename(self.path.join(from), self.path.join(to))
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.last_written = None;
        fs::remove_file(self.path.join(name))
    }

    fn sync_directory(&mut self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }

    fn write_in_place(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let path = self.path.join(name);
        let file = OpenOptions::new().write(true).create(true).truncate(false).open(path)?;
        file.write_all_at(bytes, 0)
    }

    fn lock(&mut self) -> io::Result<()> {
        if self.lock.is_some() {
            return Ok(());
        }
        let path = self.path.join(LOCK_FILE);
        let file = OpenOptions::new().write(true).create(true).truncate(false).open(path)?;
        file.try_lock().map_err(|error| match error {
            fs::TryLockError::WouldBlock => io::Error::other("another process uses this folder"),
            fs::TryLockError::Error(error) => error,
        })?;
        self.lock = Some(file);
        Ok(())
    }
}

/// A directory in memory that never fails and loses nothing: the layer below [`crate::FaultyDisk`] in tests
/// and in virtual time. Clones share the same content.
#[derive(Clone, Default)]
pub struct MemoryDisk {
    files: Arc<Mutex<BTreeMap<String, Vec<u8>>>>,
    machine: Arc<Mutex<Machine>>,
}

impl MemoryDisk {
    /// The content, for tests to inspect, copy or damage.
    pub fn files(&self) -> std::sync::MutexGuard<'_, BTreeMap<String, Vec<u8>>> {
        self.files.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Moves the directory to another machine, or to another boot of the same one.
    pub fn set_machine(&self, machine: Machine) {
        *self.machine.lock().unwrap_or_else(PoisonError::into_inner) = machine;
    }
}

fn not_found() -> io::Error {
    io::ErrorKind::NotFound.into()
}

impl Disk for MemoryDisk {
    fn list(&mut self) -> io::Result<Vec<String>> {
        Ok(self.files().keys().cloned().collect())
    }

    fn read(&mut self, name: &str) -> io::Result<Vec<u8>> {
        self.files().get(name).cloned().ok_or_else(not_found)
    }

    fn create(&mut self, name: &str) -> io::Result<()> {
        self.files().insert(name.to_owned(), Vec::new());
        Ok(())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.files().get_mut(name).ok_or_else(not_found)?.extend_from_slice(bytes);
        Ok(())
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.files().get(name).map(|_| ()).ok_or_else(not_found)
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        let mut files = self.files();
        let bytes = files.remove(from).ok_or_else(not_found)?;
        files.insert(to.to_owned(), bytes);
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.files().remove(name).map(|_| ()).ok_or_else(not_found)
    }

    fn sync_directory(&mut self) -> io::Result<()> {
        Ok(())
    }

    fn write_in_place(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.files().insert(name.to_owned(), bytes.to_vec());
        Ok(())
    }

    fn lock(&mut self) -> io::Result<()> {
        Ok(())
    }

    fn machine(&mut self) -> Machine {
        self.machine.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}
