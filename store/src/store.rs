//! One folder's records, in memory and on the disk.
//!
//! It owns when something counts as kept: after a sync that nothing before it has made doubtful. Each start writes a
//! whole new file and goes on in it; a file that had any fault is never written again. It must never say that
//! something is kept which a loss of power could take back.

use std::collections::BTreeMap;
use std::fmt;
use std::io;

use crate::Micros;
use crate::disk::{Disk, Machine};
use crate::faulty::min_elapsed;
use crate::log::{self, FORMAT, LogEntry, MAX_RECORD_BYTES, Record, Table, Writer};

const TEMPORARY: &str = "next";
/// Twice, as the latest boot number is the one thing that nobody else may know: each is read by itself.
const BOOT_FILES: [&str; 2] = ["boot-a", "boot-b"];
const ALIVE_FILE: &str = "alive";
/// A file is written anew once it is larger than its records by this factor and this much.
const REWRITE_FACTOR: u64 = 4;
const REWRITE_MIN_BYTES: u64 = 4 << 20;

/// Why the last life's records are taken with doubt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum IntegrityWarning {
    /// Lines in the middle of the newest file are spoilt: what they said is not known.
    MissingEntries(u64),
    /// The newest file could not be used at all, and an older one stands in.
    OlderFile { file: u64, instead_of: u64 },
    /// Nothing could be read although there are files.
    Unreadable,
    /// The clock is behind what was written last: ages say nothing.
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

/// Why a folder cannot be used.
#[derive(Debug)]
pub enum StoreError {
    Disk(io::Error),
    /// It is another dispatcher's.
    ForeignOwner(String),
    /// A newer version has written it.
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

/// What could not be kept: the disk is not to be relied on now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WriteError(pub String);

impl fmt::Display for WriteError {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        self.0.fmt(to)
    }
}

impl std::error::Error for WriteError {}

/// What was found at the start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LoadSummary {
    /// Whether there was nothing: no life has kept anything here.
    pub is_new: bool,
    /// Of which life the records are.
    pub boot: u64,
    /// Whether that life ended as it should, so that nothing is missing.
    pub ended_cleanly: bool,
    pub warnings: Vec<IntegrityWarning>,
    /// Bytes of a last write that did not come whole.
    pub torn_bytes: u64,
    /// When the last record was written, as its writer believed.
    pub last_written: Micros,
    /// At least so long ago the last life ended.
    pub min_downtime: Micros,
    /// Why nothing can be written now, if so: this life has no boot number until that is over.
    pub write_error: Option<WriteError>,
}

/// What is left in a folder.
#[derive(Debug, Default)]
pub struct StoreInspection {
    pub owner: Option<String>,
    pub store: u64,
    pub summary: LoadSummary,
    pub file: Option<u64>,
    pub files: Vec<(String, u64)>,
    pub records: BTreeMap<(Table, String), Record>,
}

type Records = BTreeMap<(Table, String), Record>;

struct LoadedFile {
    number: u64,
    owner: String,
    store: u64,
    boot: u64,
    ended_cleanly: bool,
    gaps: u64,
    torn_bytes: u64,
    records: Records,
    last_written: Micros,
}

/// A file's records, if its head and its snapshot are there.
fn load_file(number: u64, bytes: &[u8]) -> Result<Option<LoadedFile>, StoreError> {
    let contents = log::read(number, bytes);
    if let Some(format) = contents.newer_format {
        return Err(StoreError::NewerFormat(format));
    }
    let head = contents.entries.iter().find_map(|entry| match entry {
        LogEntry::Head { owner, store, boot, .. } => Some((owner.clone(), *store, *boot)),
        _ => None,
    });
    let Some((owner, store, boot)) = head else { return Ok(None) };
    let mut file = LoadedFile {
        number,
        owner,
        store,
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
    // Without the mark the snapshot's own end is spoilt: what is there is taken, and more may be missing.
    file.gaps += u64::from(!has_snapshot_end);
    Ok(Some(file))
}

/// Reads a folder and changes nothing. Damage is told, not failed on; a folder of a newer form is a fault.
pub fn inspect(disk: &mut dyn Disk) -> Result<StoreInspection, StoreError> {
    let names = disk.list()?;
    let mut files: Vec<(u64, String)> =
        names.into_iter().filter_map(|name| Some((log::number(&name)?, name))).collect();
    files.sort_unstable();
    let mut inspection = StoreInspection::default();
    let mut best: Option<LoadedFile> = None;
    let newest = files.last().map(|(number, _)| *number);
    for (number, name) in files.iter().rev() {
        let bytes = disk.read(name)?;
        inspection.files.push((name.clone(), bytes.len() as u64));
        match &mut best {
            None => best = load_file(*number, &bytes)?,
            // What a spoilt file may have said of a record it does not have, the one before says at least as it
            // once was: better a ban too many than one too few.
            Some(known) if known.gaps > 0 => {
                let before = load_file(*number, &bytes)?.map(|file| file.records).unwrap_or_default();
                let newer = std::mem::replace(&mut known.records, before);
                known.records.extend(newer);
            }
            Some(_) => {}
        }
    }
    for name in BOOT_FILES {
        let boot = disk.read(name).ok().and_then(|bytes| read_boot(&bytes));
        inspection.summary.boot = inspection.summary.boot.max(boot.unwrap_or(0));
    }
    let alive = disk.read(ALIVE_FILE).ok().and_then(|bytes| read_alive(&bytes));
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
    let last = best.records.values().map(|record| record.boot).max().unwrap_or(0);
    summary.boot = summary.boot.max(best.boot).max(last);
    inspection.file = Some(best.number);
    inspection.owner = Some(best.owner);
    inspection.store = best.store;
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

fn read_boot(bytes: &[u8]) -> Option<u64> {
    Some(u64::from_le_bytes(strip_checksum(bytes)?.try_into().ok()?))
}

/// Always of one length, as it is written over.
const ALIVE_BYTES: usize = 64;

fn write_alive(machine: &Machine) -> Vec<u8> {
    let mut text = format!("{} {}", machine.uptime, machine.boot_id).into_bytes();
    text.resize(ALIVE_BYTES, b' ');
    add_checksum(&text)
}

fn read_alive(bytes: &[u8]) -> Option<Machine> {
    let text = std::str::from_utf8(strip_checksum(bytes)?).ok()?;
    let (uptime, boot_id) = text.trim_end().split_once(' ')?;
    Some(Machine { boot_id: boot_id.to_owned(), uptime: uptime.parse().ok()? })
}

pub struct Store {
    disk: Box<dyn Disk>,
    owner: String,
    store: u64,
    boot: u64,
    /// Whether that number is on the disk, so that no later life will have it.
    boot_is_stored: bool,
    records: Records,
    /// The file that grows; none after a fault, until a new one has been written.
    writer: Option<Writer>,
    file_number: u64,
    /// Size of the file right after its snapshot.
    snapshot_bytes: u64,
    /// Whether what has been appended is not synced yet.
    has_unsynced: bool,
}

impl Store {
    /// Takes a folder over for a new life: its boot number is on the disk when this returns, or `unwritten` says why
    /// not. `id` is for a folder that has none yet.
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
        let last = inspection.files.iter().filter_map(|(name, _)| log::number(name)).max().unwrap_or(0);
        let mut store = Store {
            disk,
            owner: owner.to_owned(),
            store: if inspection.store == 0 { id } else { inspection.store },
            boot: summary.boot + 1,
            boot_is_stored: false,
            records: inspection.records,
            writer: None,
            file_number: last,
            snapshot_bytes: 0,
            has_unsynced: false,
        };
        store.has_unsynced = true;
        summary.write_error = store.sync().err();
        store.note_alive(0);
        Ok((store, summary))
    }

    /// This life's number, once no later one can have it.
    pub fn boot(&self) -> Option<u64> {
        Some(self.boot).filter(|_| self.boot_is_stored)
    }

    /// A higher number for this life, as somebody has heard of one at least as high as ours.
    pub fn raise_boot_above(&mut self, heard: u64) -> Result<(), WriteError> {
        if heard >= self.boot {
            (self.boot, self.boot_is_stored, self.writer) = (heard + 1, false, None);
        }
        self.sync()
    }

    pub fn records(&self) -> &BTreeMap<(Table, String), Record> {
        &self.records
    }

    /// One file after the other: a fault that spoils one leaves the other.
    fn write_boot(&mut self) -> io::Result<()> {
        if self.boot_is_stored {
            return Ok(());
        }
        let bytes = add_checksum(&self.boot.to_le_bytes());
        for name in BOOT_FILES {
            self.disk.create(TEMPORARY)?;
            self.disk.append(TEMPORARY, &bytes)?;
            self.disk.sync(TEMPORARY)?;
            self.disk.rename(TEMPORARY, name)?;
            self.disk.sync_directory()?;
        }
        self.boot_is_stored = true;
        Ok(())
    }

    /// Takes note that this life goes on, and may for so long without another note, for the next one to know when it
    /// ended at the latest. It may fail: then the next one knows less.
    pub fn note_alive(&mut self, margin: Micros) {
        let mut machine = self.disk.machine();
        machine.uptime += margin;
        let _ = self.disk.write_in_place(ALIVE_FILE, &write_alive(&machine));
    }

    /// Changes a record; kept once [`Store::sync`] has said so. The value in force here is the new one whatever the
    /// disk says.
    pub fn put(&mut self, table: Table, key: &str, format: u16, value: Option<Vec<u8>>, now: Micros) {
        let value = value.filter(|value| value.len() + key.len() + 64 <= MAX_RECORD_BYTES);
        let record =
            Record { table, key: key.to_owned(), form: format, boot: self.boot, written: now, value };
        if let Some(writer) = &mut self.writer {
            let mut bytes = Vec::new();
            writer.append(&LogEntry::Record(record.clone()), &mut bytes);
            let name = log::name(writer.file);
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

    /// Whether a file is being written that had no fault so far.
    pub fn is_healthy(&self) -> bool {
        self.writer.is_some()
    }

    /// All that was put is on the disk, or why it is not. After a fault the whole of it is written anew: what a file
    /// with a failed sync holds is not known, even where the next sync says yes.
    pub fn sync(&mut self) -> Result<(), WriteError> {
        let result = match &self.writer {
            Some(_) if !self.has_unsynced => return Ok(()),
            Some(writer) if writer.length < self.snapshot_bytes * REWRITE_FACTOR + REWRITE_MIN_BYTES => {
                let name = log::name(writer.file);
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

    /// The process ends as it should.
    pub fn close(&mut self, now: Micros) -> Result<(), WriteError> {
        self.sync()?;
        if let Some(writer) = &mut self.writer {
            let mut bytes = Vec::new();
            writer.append(&LogEntry::CleanShutdown { written: now }, &mut bytes);
            let name = log::name(writer.file);
            let result = self.disk.append(&name, &bytes).and_then(|()| self.disk.sync(&name));
            result.map_err(|error| WriteError(error.to_string()))?;
        }
        Ok(())
    }

    /// A new file with all records; then the one before the last is let go.
    fn write_new_file(&mut self) -> io::Result<()> {
        self.writer = None;
        let mut writer = Writer::new(self.file_number + 1);
        let mut bytes = Vec::new();
        let (owner, store, boot) = (self.owner.clone(), self.store, self.boot);
        let head = LogEntry::Head { form: FORMAT, owner, store, boot };
        writer.append(&head, &mut bytes);
        for record in self.records.values() {
            writer.append(&LogEntry::Record(record.clone()), &mut bytes);
        }
        // Once more: whose store this is may not hang on one line.
        writer.append(&head, &mut bytes);
        writer.append(&LogEntry::SnapshotEnd { records: self.records.len() as u64 }, &mut bytes);
        self.disk.create(TEMPORARY)?;
        self.disk.append(TEMPORARY, &bytes)?;
        self.disk.sync(TEMPORARY)?;
        self.disk.rename(TEMPORARY, &log::name(writer.file))?;
        self.disk.sync_directory()?;
        self.file_number = writer.file;
        self.snapshot_bytes = writer.length;
        self.writer = Some(writer);
        // The last one stays, for the case that this one is spoilt.
        let names: Vec<String> = self.disk.list()?;
        for name in names.iter().filter(|name| log::number(name).is_some_and(|n| n + 1 < self.file_number)) {
            // What cannot be removed now is tried again next time.
            let _ = self.disk.remove(name);
        }
        Ok(())
    }
}
