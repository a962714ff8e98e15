//! The records of one directory, in memory and on the disk.
//!
//! A record counts as stored after a sync, unless an earlier operation on the same file failed. Each start
//! writes a whole new file and continues in it; a file with any error is never written again. Nothing is
//! reported as stored that a power loss could take back.

use std::collections::BTreeMap;
use std::fmt;
use std::io;

use crate::Micros;
use crate::disk::{Disk, Machine};
use crate::faulty::min_elapsed;
use crate::log::{self, FORMAT, LogEntry, MAX_RECORD_BYTES, Record, Table, Writer};

/// Name under which a new file is written before it is renamed.
const TEMPORARY_FILE: &str = "next";
/// Files with the boot number. Two copies, as the latest number may be known nowhere else; each is read
/// independently.
const BOOT_FILES: [&str; 2] = ["boot-a", "boot-b"];
/// File with the machine's uptime until which the process may have been running.
const ALIVE_FILE: &str = "alive";
/// A new file is written once the current one exceeds its snapshot by this factor plus [`REWRITE_MIN_BYTES`].
const REWRITE_FACTOR: u64 = 4;
/// See [`REWRITE_FACTOR`]; keeps a small store from being rewritten all the time.
const REWRITE_MIN_BYTES: u64 = 4 << 20;

/// Why the records of the previous process run are not fully trusted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum IntegrityWarning {
    /// Entries in the middle of the newest file are damaged in this many places; their content is unknown.
    MissingEntries(u64),
    /// The newest file could not be used at all; an older one is used instead.
    OlderFile { file: u64, instead_of: u64 },
    /// There are files, but none could be read.
    Unreadable,
    /// The clock is behind the time of the last record, so ages are meaningless.
    ClockBehind { behind: Micros },
}

impl fmt::Display for IntegrityWarning {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        match self {
            IntegrityWarning::MissingEntries(gaps) => write!(to, "spoilt in {gaps} places"),
            IntegrityWarning::OlderFile { file, instead_of } => {
                write!(to, "file {instead_of} is spoilt, {file} stands in")
            }
            IntegrityWarning::Unreadable => to.write_str("there are files, and none can be read"),
            IntegrityWarning::ClockBehind { behind } => {
                write!(to, "the clock is {} s behind the last record", behind / 1_000_000)
            }
        }
    }
}

/// Why a store cannot be opened.
#[derive(Debug)]
pub enum StoreError {
    /// The disk reports an error.
    Disk(io::Error),
    /// The directory belongs to the dispatcher with this name.
    ForeignOwner(String),
    /// It was written by a newer version, in this format version.
    NewerFormat(u16),
}

impl fmt::Display for StoreError {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        match self {
            StoreError::Disk(error) => error.fmt(to),
            StoreError::ForeignOwner(owner) => write!(to, "it is the store of {owner:?}"),
            StoreError::NewerFormat(format) => {
                write!(to, "it has form {format}, and this version knows {FORMAT} at most")
            }
        }
    }
}

impl From<io::Error> for StoreError {
    fn from(error: io::Error) -> StoreError {
        StoreError::Disk(error)
    }
}

/// Why something could not be written: the disk cannot be relied on at the moment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WriteError(pub String);

impl fmt::Display for WriteError {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        self.0.fmt(to)
    }
}

impl std::error::Error for WriteError {}

/// What was found when the store was opened.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LoadSummary {
    /// Whether the directory was empty: no earlier process run has stored anything.
    pub is_new: bool,
    /// Boot number of the process run that wrote the records.
    pub boot: u64,
    /// Whether that run shut down cleanly, so that nothing is missing.
    pub ended_cleanly: bool,
    /// What reduces the trust in the records.
    pub warnings: Vec<IntegrityWarning>,
    /// Bytes of an incomplete last write.
    pub torn_bytes: u64,
    /// When the last record was written, by its writer's clock.
    pub last_written: Micros,
    /// Minimum time since the previous process run ended.
    pub min_downtime: Micros,
    /// Why nothing can be written at the moment, if so. Until that is over this process run has no boot
    /// number.
    pub write_error: Option<WriteError>,
}

/// The content of a directory.
#[derive(Debug, Default)]
pub struct StoreInspection {
    /// Name of the dispatcher that owns it.
    pub owner: Option<String>,
    /// Id of the store, 0 if unknown.
    pub store: u64,
    /// What was found.
    pub summary: LoadSummary,
    /// Number of the file that the records come from.
    pub file: Option<u64>,
    /// Name and length in bytes of each log file that was read, newest first.
    pub files: Vec<(String, u64)>,
    /// The records in force.
    pub records: BTreeMap<(Table, String), Record>,
}

type Records = BTreeMap<(Table, String), Record>;

/// The content of one log file.
struct LoadedFile {
    /// Number in the file's name.
    number: u64,
    owner: String,
    store_id: u64,
    boot: u64,
    /// Whether the last entry records a clean shutdown and nothing is missing.
    ended_cleanly: bool,
    /// Places with missing or damaged entries.
    gaps: u64,
    torn_bytes: u64,
    records: Records,
    last_written: Micros,
}

/// Loads a file; none without a valid head. A missing end of the snapshot counts as a gap.
fn load_file(number: u64, bytes: &[u8]) -> Result<Option<LoadedFile>, StoreError> {
    let contents = log::read(number, bytes);
    if let Some(format) = contents.newer_format {
        return Err(StoreError::NewerFormat(format));
    }
    let head = contents.entries.iter().find_map(|entry| match entry {
        LogEntry::Head { owner, store, boot, .. } => Some((owner.clone(), *store, *boot)),
        _ => None,
    });
    let Some((owner, store_id, boot)) = head else { return Ok(None) };
    let mut file = LoadedFile {
        number,
        owner,
        store_id,
        boot,
        ended_cleanly: false,
        gaps: contents.gaps,
        torn_bytes: contents.torn_bytes,
        records: Records::new(),
        last_written: 0,
    };
    let mut has_snapshot_end = false;
    for entry in contents.entries {
        file.ended_cleanly = false;
        match entry {
            LogEntry::Head { .. } => {}
            LogEntry::SnapshotEnd { .. } => has_snapshot_end = true,
            LogEntry::CleanShutdown { written } => {
                (file.ended_cleanly, file.last_written) = (true, file.last_written.max(written));
            }
            LogEntry::Record(record) => {
                file.last_written = file.last_written.max(record.written);
                let key = (record.table, record.key.clone());
                match record.value {
                    Some(_) => drop(file.records.insert(key, record)),
                    None => drop(file.records.remove(&key)),
                }
            }
        }
    }
    file.ended_cleanly &= file.torn_bytes == 0 && file.gaps == 0;
    // Without the end of the snapshot, what was read is used and more may be missing.
    file.gaps += u64::from(!has_snapshot_end);
    Ok(Some(file))
}

/// Reads a directory without changing it. Damage is reported in the summary; errors are those of the disk,
/// and a newer format version.
pub fn inspect(disk: &mut dyn Disk) -> Result<StoreInspection, StoreError> {
    let names = disk.list()?;
    let mut files: Vec<(u64, String)> =
        names.into_iter().filter_map(|name| Some((log::file_number(&name)?, name))).collect();
    files.sort_unstable();
    let mut inspection = StoreInspection::default();
    let mut best: Option<LoadedFile> = None;
    let newest = files.last().map(|(number, _)| *number);
    for (number, name) in files.iter().rev() {
        let bytes = disk.read(name)?;
        inspection.files.push((name.clone(), bytes.len() as u64));
        match &mut best {
            None => best = load_file(*number, &bytes)?,
            // For a record that is missing in a damaged file, the state in the file before it is used: an
            // override of a runner that has since been lifted does less harm than one that is lost.
            Some(known) if known.gaps > 0 => {
                let before = load_file(*number, &bytes)?.map(|file| file.records).unwrap_or_default();
                let newer = std::mem::replace(&mut known.records, before);
                known.records.extend(newer);
            }
            Some(_) => {}
        }
    }
    for name in BOOT_FILES {
        let boot = disk.read(name).ok().and_then(|bytes| decode_boot(&bytes));
        inspection.summary.boot = inspection.summary.boot.max(boot.unwrap_or(0));
    }
    let alive = disk.read(ALIVE_FILE).ok().and_then(|bytes| decode_alive(&bytes));
    if let Some(alive) = alive {
        inspection.summary.min_downtime = min_elapsed(&alive, &disk.machine());
    }
    inspection.summary.is_new = newest.is_none() && inspection.summary.boot == 0;
    let Some(best) = best else {
        if !inspection.summary.is_new {
            inspection.summary.warnings.push(IntegrityWarning::Unreadable);
        }
        return Ok(inspection);
    };
    let summary = &mut inspection.summary;
    if let Some(newest) = newest.filter(|newest| *newest != best.number) {
        summary.warnings.push(IntegrityWarning::OlderFile { file: best.number, instead_of: newest });
    }
    if best.gaps > 0 {
        summary.warnings.push(IntegrityWarning::MissingEntries(best.gaps));
    }
    summary.ended_cleanly = best.ended_cleanly && summary.warnings.is_empty() && best.boot >= summary.boot;
    (summary.torn_bytes, summary.last_written) = (best.torn_bytes, best.last_written);
    let newest_record_boot = best.records.values().map(|record| record.boot).max().unwrap_or(0);
    summary.boot = summary.boot.max(best.boot).max(newest_record_boot);
    inspection.file = Some(best.number);
    inspection.owner = Some(best.owner);
    inspection.store = best.store_id;
    inspection.records = best.records;
    Ok(inspection)
}

fn add_checksum(bytes: &[u8]) -> Vec<u8> {
    [bytes, &crc32fast::hash(bytes).to_le_bytes()].concat()
}

fn strip_checksum(bytes: &[u8]) -> Option<&[u8]> {
    let (bytes, checksum) = bytes.split_last_chunk::<4>()?;
    (crc32fast::hash(bytes) == u32::from_le_bytes(*checksum)).then_some(bytes)
}

fn decode_boot(bytes: &[u8]) -> Option<u64> {
    Some(u64::from_le_bytes(strip_checksum(bytes)?.try_into().ok()?))
}

/// Length of the content of [`ALIVE_FILE`] without its checksum: fixed, as the file is overwritten in place.
const ALIVE_BYTES: usize = 64;

fn encode_alive(machine: &Machine) -> Vec<u8> {
    let mut text = format!("{} {}", machine.uptime, machine.boot_id).into_bytes();
    text.resize(ALIVE_BYTES, b' ');
    add_checksum(&text)
}

fn decode_alive(bytes: &[u8]) -> Option<Machine> {
    let text = std::str::from_utf8(strip_checksum(bytes)?).ok()?;
    let (uptime, boot_id) = text.trim_end().split_once(' ')?;
    Some(Machine { boot_id: boot_id.to_owned(), uptime: uptime.parse().ok()? })
}

/// The open store of one process run.
pub struct Store {
    disk: Box<dyn Disk>,
    owner: String,
    /// Id of the store.
    id: u64,
    boot: u64,
    /// Whether the boot number is on the disk, so that no later process run will use it.
    boot_is_stored: bool,
    records: Records,
    /// The current file; none after an error, until a new file has been written.
    writer: Option<Writer>,
    /// Number of the newest file.
    file_number: u64,
    /// Length of the current file right after its snapshot.
    snapshot_bytes: u64,
    /// Whether there are changes that have not been synced.
    has_unsynced: bool,
}

impl Store {
    /// Opens a directory for a new process run. When this returns, the run's boot number is on the disk, or
    /// `write_error` of the summary says why not. `id` is used for a store that has none yet.
    /// Fails if the disk cannot be read or locked, belongs to another dispatcher, or has a newer format.
    pub fn open(
        mut disk: Box<dyn Disk>,
        owner: &str,
        id: u64,
        now: Micros,
    ) -> Result<(Store, LoadSummary), StoreError> {
        disk.lock()?;
        let inspection = inspect(disk.as_mut())?;
        if let Some(other) = inspection.owner.as_ref().filter(|other| *other != owner) {
            return Err(StoreError::ForeignOwner(other.clone()));
        }
        let mut summary = inspection.summary;
        if summary.last_written > now {
            summary.warnings.push(IntegrityWarning::ClockBehind { behind: summary.last_written - now });
        }
        let newest_file =
            inspection.files.iter().filter_map(|(name, _)| log::file_number(name)).max().unwrap_or(0);
        let mut store = Store {
            disk,
            owner: owner.to_owned(),
            id: if inspection.store == 0 { id } else { inspection.store },
            boot: summary.boot + 1,
            boot_is_stored: false,
            records: inspection.records,
            writer: None,
            file_number: newest_file,
            snapshot_bytes: 0,
            has_unsynced: false,
        };
        store.has_unsynced = true;
        summary.write_error = store.sync().err();
        store.note_alive(0);
        Ok((store, summary))
    }

    /// The boot number of this process run, once it is on the disk and no later run can use it.
    pub fn boot(&self) -> Option<u64> {
        Some(self.boot).filter(|_| self.boot_is_stored)
    }

    /// Takes a higher boot number, as a peer knows a process run of this dispatcher with number `heard`.
    pub fn raise_boot_above(&mut self, heard: u64) -> Result<(), WriteError> {
        if heard >= self.boot {
            (self.boot, self.boot_is_stored, self.writer) = (heard + 1, false, None);
        }
        self.sync()
    }

    /// The records in force.
    pub fn records(&self) -> &BTreeMap<(Table, String), Record> {
        &self.records
    }

    /// Writes the boot number unless it is stored already. The copies are written one after the other: an
    /// error that damages one leaves the other intact.
    fn write_boot(&mut self) -> io::Result<()> {
        if self.boot_is_stored {
            return Ok(());
        }
        let bytes = add_checksum(&self.boot.to_le_bytes());
        for name in BOOT_FILES {
            self.disk.create(TEMPORARY_FILE)?;
            self.disk.append(TEMPORARY_FILE, &bytes)?;
            self.disk.sync(TEMPORARY_FILE)?;
            self.disk.rename(TEMPORARY_FILE, name)?;
            self.disk.sync_directory()?;
        }
        self.boot_is_stored = true;
        Ok(())
    }

    /// Records that this process is running and may go on for `margin` without a further call, so that the
    /// next process run knows the latest time at which this one ended. Errors are ignored: the next run then
    /// knows less.
    pub fn note_alive(&mut self, margin: Micros) {
        let mut machine = self.disk.machine();
        machine.uptime += margin;
        let _ = self.disk.write_in_place(ALIVE_FILE, &encode_alive(&machine));
    }

    /// Changes a record, or deletes it if `value` is none. It is in force here immediately and stored once
    /// [`Store::sync`] has succeeded. A value that is too large for a record deletes it.
    pub fn put(&mut self, table: Table, key: &str, format: u16, value: Option<Vec<u8>>, now: Micros) {
        let value = value.filter(|value| value.len() + key.len() + 64 <= MAX_RECORD_BYTES);
        let record =
            Record { table, key: key.to_owned(), form: format, boot: self.boot, written: now, value };
        if let Some(writer) = &mut self.writer {
            let mut bytes = Vec::new();
            writer.append(&LogEntry::Record(record.clone()), &mut bytes);
            let name = log::file_name(writer.file);
            if self.disk.append(&name, &bytes).is_err() {
                self.writer = None;
            }
        }
        self.has_unsynced = true;
        let map_key = (table, key.to_owned());
        match record.value {
            Some(_) => drop(self.records.insert(map_key, record)),
            None => drop(self.records.remove(&map_key)),
        }
    }

    /// Whether the current file has had no error.
    pub fn is_healthy(&self) -> bool {
        self.writer.is_some()
    }

    /// Makes all changes durable. After an error everything is written to a new file: the content of a file
    /// with a failed sync is unknown, even if the next sync succeeds.
    pub fn sync(&mut self) -> Result<(), WriteError> {
        let result = match &self.writer {
            Some(_) if !self.has_unsynced => return Ok(()),
            Some(writer) if writer.length < self.snapshot_bytes * REWRITE_FACTOR + REWRITE_MIN_BYTES => {
                let name = log::file_name(writer.file);
                self.disk.sync(&name)
            }
            _ => self.write_boot().and_then(|()| self.write_new_file()),
        };
        match result {
            Ok(()) => {
                self.has_unsynced = false;
                Ok(())
            }
            Err(error) => {
                self.writer = None;
                Err(WriteError(error.to_string()))
            }
        }
    }

    /// Makes all changes durable and records a clean shutdown.
    pub fn close(&mut self, now: Micros) -> Result<(), WriteError> {
        self.sync()?;
        if let Some(writer) = &mut self.writer {
            let mut bytes = Vec::new();
            writer.append(&LogEntry::CleanShutdown { written: now }, &mut bytes);
            let name = log::file_name(writer.file);
            let result = self.disk.append(&name, &bytes).and_then(|()| self.disk.sync(&name));
            result.map_err(|error| WriteError(error.to_string()))?;
        }
        Ok(())
    }

    /// Writes a new file with all records, then removes all files but the previous one.
    fn write_new_file(&mut self) -> io::Result<()> {
        self.writer = None;
        let mut writer = Writer::new(self.file_number + 1);
        let mut bytes = Vec::new();
        let (owner, store, boot) = (self.owner.clone(), self.id, self.boot);
        let head = LogEntry::Head { form: FORMAT, owner, store, boot };
        writer.append(&head, &mut bytes);
        for record in self.records.values() {
            writer.append(&LogEntry::Record(record.clone()), &mut bytes);
        }
        // The head is written twice: the owner must not depend on a single entry.
        writer.append(&head, &mut bytes);
        writer.append(&LogEntry::SnapshotEnd { records: self.records.len() as u64 }, &mut bytes);
        self.disk.create(TEMPORARY_FILE)?;
        self.disk.append(TEMPORARY_FILE, &bytes)?;
        self.disk.sync(TEMPORARY_FILE)?;
        self.disk.rename(TEMPORARY_FILE, &log::file_name(writer.file))?;
        self.disk.sync_directory()?;
        self.file_number = writer.file;
        self.snapshot_bytes = writer.length;
        self.writer = Some(writer);
        // The previous file is kept in case the new one is damaged.
        let names: Vec<String> = self.disk.list()?;
        for name in
            names.iter().filter(|name| log::file_number(name).is_some_and(|n| n + 1 < self.file_number))
        {
            // Files that cannot be removed now are tried again next time.
            let _ = self.disk.remove(name);
        }
        Ok(())
    }
}
