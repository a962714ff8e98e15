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
use crate::faulty::at_least_ago;
use crate::log::{self, FORMAT, LogEntry, RECORD_MOST, Record, Table, Writer};

const NEXT: &str = "next";
/// Twice, as the latest boot number is the one thing that nobody else may know: each is read by itself.
const BOOTS: [&str; 2] = ["boot-a", "boot-b"];
const ALIVE: &str = "alive";
/// A file is written anew once it is larger than its records by this factor and this much.
const GROWN: u64 = 4;
const GROWN_LEAST: u64 = 4 << 20;

/// Why the last life's records are taken with doubt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum IntegrityWarning {
    /// Lines in the middle of the newest file are spoilt: what they said is not known.
    Holes(u64),
    /// The newest file could not be used at all, and an older one stands in.
    Older { file: u64, instead_of: u64 },
    /// Nothing could be read although there are files.
    Nothing,
    /// The clock is behind what was written last: ages say nothing.
    Clock { behind: Micros },
}

impl fmt::Display for IntegrityWarning {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        match self {
            IntegrityWarning::Holes(holes) => write!(to, "spoilt in {holes} places"),
            IntegrityWarning::Older { file, instead_of } => {
                write!(to, "file {instead_of} is spoilt, {file} stands in")
            }
            IntegrityWarning::Nothing => to.write_str("there are files, and none can be read"),
            IntegrityWarning::Clock { behind } => {
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
    Owner(String),
    /// A newer version has written it.
    Newer(u16),
}

impl fmt::Display for StoreError {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        match self {
            StoreError::Disk(error) => error.fmt(to),
            StoreError::Owner(owner) => write!(to, "it is the store of {owner:?}"),
            StoreError::Newer(form) => {
                write!(to, "it has form {form}, and this version knows {FORMAT} at most")
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
    pub fresh: bool,
    /// Of which life the records are.
    pub boot: u64,
    /// Whether that life ended as it should, so that nothing is missing.
    pub clean: bool,
    pub doubts: Vec<IntegrityWarning>,
    /// Bytes of a last write that did not come whole.
    pub torn: u64,
    /// When the last record was written, as its writer believed.
    pub written: Micros,
    /// At least so long ago the last life ended.
    pub away: Micros,
    /// Why nothing can be written now, if so: this life has no boot number until that is over.
    pub unwritten: Option<WriteError>,
}

/// What is left in a folder.
#[derive(Debug, Default)]
pub struct StoreInspection {
    pub owner: Option<String>,
    pub store: u64,
    pub found: LoadSummary,
    pub file: Option<u64>,
    pub files: Vec<(String, u64)>,
    pub records: BTreeMap<(Table, String), Record>,
}

type Records = BTreeMap<(Table, String), Record>;

struct File {
    number: u64,
    owner: String,
    store: u64,
    boot: u64,
    clean: bool,
    holes: u64,
    torn: u64,
    records: Records,
    written: Micros,
}

/// A file's records, if its head and its snapshot are there.
fn file(number: u64, bytes: &[u8]) -> Result<Option<File>, StoreError> {
    let read = log::read(number, bytes);
    if let Some(form) = read.newer {
        return Err(StoreError::Newer(form));
    }
    let head = read.lines.iter().find_map(|line| match line {
        LogEntry::Head { owner, store, boot, .. } => Some((owner.clone(), *store, *boot)),
        _ => None,
    });
    let Some((owner, store, boot)) = head else { return Ok(None) };
    let mut file = File {
        number,
        owner,
        store,
        boot,
        clean: false,
        holes: read.holes,
        torn: read.torn,
        records: Records::new(),
        written: 0,
    };
    let mut whole = false;
    for line in read.lines {
        file.clean = false;
        match line {
            LogEntry::Head { .. } => {}
            LogEntry::Whole { .. } => whole = true,
            LogEntry::Clean { written } => {
                (file.clean, file.written) = (true, file.written.max(written));
            }
            LogEntry::Record(record) => {
                file.written = file.written.max(record.written);
                let key = (record.table, record.key.clone());
                match record.value {
                    Some(_) => drop(file.records.insert(key, record)),
                    None => drop(file.records.remove(&key)),
                }
            }
        }
    }
    file.clean &= file.torn == 0 && file.holes == 0;
    // Without the mark the snapshot's own end is spoilt: what is there is taken, and more may be missing.
    file.holes += u64::from(!whole);
    Ok(Some(file))
}

/// Reads a folder and changes nothing. Damage is told, not failed on; a folder of a newer form is a fault.
pub fn inspect(disk: &mut dyn Disk) -> Result<StoreInspection, StoreError> {
    let names = disk.list()?;
    let mut files: Vec<(u64, String)> =
        names.into_iter().filter_map(|name| Some((log::number(&name)?, name))).collect();
    files.sort_unstable();
    let mut inspection = StoreInspection::default();
    let mut best: Option<File> = None;
    let newest = files.last().map(|(number, _)| *number);
    for (number, name) in files.iter().rev() {
        let bytes = disk.read(name)?;
        inspection.files.push((name.clone(), bytes.len() as u64));
        match &mut best {
            None => best = file(*number, &bytes)?,
            // What a spoilt file may have said of a record it does not have, the one before says at least as it
            // once was: better a ban too many than one too few.
            Some(known) if known.holes > 0 => {
                let before = file(*number, &bytes)?.map(|file| file.records).unwrap_or_default();
                let newer = std::mem::replace(&mut known.records, before);
                known.records.extend(newer);
            }
            Some(_) => {}
        }
    }
    for name in BOOTS {
        let boot = disk.read(name).ok().and_then(|bytes| read_boot(&bytes));
        inspection.found.boot = inspection.found.boot.max(boot.unwrap_or(0));
    }
    let alive = disk.read(ALIVE).ok().and_then(|bytes| read_alive(&bytes));
    if let Some(alive) = alive {
        inspection.found.away = at_least_ago(&alive, &disk.machine());
    }
    inspection.found.fresh = newest.is_none() && inspection.found.boot == 0;
    let Some(best) = best else {
        if !inspection.found.fresh {
            inspection.found.doubts.push(IntegrityWarning::Nothing);
        }
        return Ok(inspection);
    };
    let found = &mut inspection.found;
    if let Some(newest) = newest.filter(|newest| *newest != best.number) {
        found.doubts.push(IntegrityWarning::Older { file: best.number, instead_of: newest });
    }
    if best.holes > 0 {
        found.doubts.push(IntegrityWarning::Holes(best.holes));
    }
    found.clean = best.clean && found.doubts.is_empty() && best.boot >= found.boot;
    (found.torn, found.written) = (best.torn, best.written);
    let last = best.records.values().map(|record| record.boot).max().unwrap_or(0);
    found.boot = found.boot.max(best.boot).max(last);
    inspection.file = Some(best.number);
    inspection.owner = Some(best.owner);
    inspection.store = best.store;
    inspection.records = best.records;
    Ok(inspection)
}

fn with_sum(bytes: &[u8]) -> Vec<u8> {
    [bytes, &crc32fast::hash(bytes).to_le_bytes()].concat()
}

fn without_sum(bytes: &[u8]) -> Option<&[u8]> {
    let (bytes, sum) = bytes.split_last_chunk::<4>()?;
    (crc32fast::hash(bytes) == u32::from_le_bytes(*sum)).then_some(bytes)
}

fn read_boot(bytes: &[u8]) -> Option<u64> {
    Some(u64::from_le_bytes(without_sum(bytes)?.try_into().ok()?))
}

/// Always of one length, as it is written over.
const ALIVE_LENGTH: usize = 64;

fn write_alive(machine: &Machine) -> Vec<u8> {
    let mut text = format!("{} {}", machine.up, machine.life).into_bytes();
    text.resize(ALIVE_LENGTH, b' ');
    with_sum(&text)
}

fn read_alive(bytes: &[u8]) -> Option<Machine> {
    let text = std::str::from_utf8(without_sum(bytes)?).ok()?;
    let (up, life) = text.trim_end().split_once(' ')?;
    Some(Machine { life: life.to_owned(), up: up.parse().ok()? })
}

pub struct Store {
    disk: Box<dyn Disk>,
    owner: String,
    store: u64,
    boot: u64,
    /// Whether that number is on the disk, so that no later life will have it.
    numbered: bool,
    records: Records,
    /// The file that grows; none after a fault, until a new one has been written.
    writer: Option<Writer>,
    number: u64,
    /// Size of the file right after its snapshot.
    base: u64,
    /// Whether what has been appended is not synced yet.
    behind: bool,
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
            return Err(StoreError::Owner(other.clone()));
        }
        let mut found = inspection.found;
        if found.written > now {
            found.doubts.push(IntegrityWarning::Clock { behind: found.written - now });
        }
        let last = inspection.files.iter().filter_map(|(name, _)| log::number(name)).max().unwrap_or(0);
        let mut store = Store {
            disk,
            owner: owner.to_owned(),
            store: if inspection.store == 0 { id } else { inspection.store },
            boot: found.boot + 1,
            numbered: false,
            records: inspection.records,
            writer: None,
            number: last,
            base: 0,
            behind: false,
        };
        store.behind = true;
        found.unwritten = store.sync().err();
        store.alive(0);
        Ok((store, found))
    }

    /// This life's number, once no later one can have it.
    pub fn boot(&self) -> Option<u64> {
        Some(self.boot).filter(|_| self.numbered)
    }

    /// A higher number for this life, as somebody has heard of one at least as high as ours.
    pub fn raise_boot_above(&mut self, heard: u64) -> Result<(), WriteError> {
        if heard >= self.boot {
            (self.boot, self.numbered, self.writer) = (heard + 1, false, None);
        }
        self.sync()
    }

    pub fn records(&self) -> &BTreeMap<(Table, String), Record> {
        &self.records
    }

    /// One file after the other: a fault that spoils one leaves the other.
    fn write_boot(&mut self) -> io::Result<()> {
        if self.numbered {
            return Ok(());
        }
        let bytes = with_sum(&self.boot.to_le_bytes());
        for name in BOOTS {
            self.disk.create(NEXT)?;
            self.disk.append(NEXT, &bytes)?;
            self.disk.sync(NEXT)?;
            self.disk.rename(NEXT, name)?;
            self.disk.sync_folder()?;
        }
        self.numbered = true;
        Ok(())
    }

    /// Takes note that this life goes on, and may for so long without another note, for the next one to know when it
    /// ended at the latest. It may fail: then the next one knows less.
    pub fn alive(&mut self, more: Micros) {
        let mut machine = self.disk.machine();
        machine.up += more;
        let _ = self.disk.note(ALIVE, &write_alive(&machine));
    }

    /// Changes a record; kept once [`Store::sync`] has said so. The value in force here is the new one whatever the
    /// disk says.
    pub fn put(&mut self, table: Table, key: &str, form: u16, value: Option<Vec<u8>>, now: Micros) {
        let value = value.filter(|value| value.len() + key.len() + 64 <= RECORD_MOST);
        let record = Record { table, key: key.to_owned(), form, boot: self.boot, written: now, value };
        if let Some(writer) = &mut self.writer {
            let mut bytes = Vec::new();
            writer.seal(&LogEntry::Record(record.clone()), &mut bytes);
            let name = log::name(writer.file);
            if self.disk.append(&name, &bytes).is_err() {
                self.writer = None;
            }
        }
        self.behind = true;
        let at = (table, key.to_owned());
        match record.value {
            Some(_) => drop(self.records.insert(at, record)),
            None => drop(self.records.remove(&at)),
        }
    }

    /// Whether a file is being written that had no fault so far.
    pub fn is_well(&self) -> bool {
        self.writer.is_some()
    }

    /// All that was put is on the disk, or why it is not. After a fault the whole of it is written anew: what a file
    /// with a failed sync holds is not known, even where the next sync says yes.
    pub fn sync(&mut self) -> Result<(), WriteError> {
        let synced = match &self.writer {
            Some(_) if !self.behind => return Ok(()),
            Some(writer) if writer.length < self.base * GROWN + GROWN_LEAST => {
                let name = log::name(writer.file);
                self.disk.sync(&name)
            }
            _ => self.write_boot().and_then(|()| self.write_anew()),
        };
        match synced {
            Ok(()) => {
                self.behind = false;
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
            writer.seal(&LogEntry::Clean { written: now }, &mut bytes);
            let name = log::name(writer.file);
            let closed = self.disk.append(&name, &bytes).and_then(|()| self.disk.sync(&name));
            closed.map_err(|error| WriteError(error.to_string()))?;
        }
        Ok(())
    }

    /// A new file with all records; then the one before the last is let go.
    fn write_anew(&mut self) -> io::Result<()> {
        self.writer = None;
        let mut writer = Writer::new(self.number + 1);
        let mut bytes = Vec::new();
        let (owner, store, boot) = (self.owner.clone(), self.store, self.boot);
        let head = LogEntry::Head { form: FORMAT, owner, store, boot };
        writer.seal(&head, &mut bytes);
        for record in self.records.values() {
            writer.seal(&LogEntry::Record(record.clone()), &mut bytes);
        }
        // Once more: whose store this is may not hang on one line.
        writer.seal(&head, &mut bytes);
        writer.seal(&LogEntry::Whole { records: self.records.len() as u64 }, &mut bytes);
        self.disk.create(NEXT)?;
        self.disk.append(NEXT, &bytes)?;
        self.disk.sync(NEXT)?;
        self.disk.rename(NEXT, &log::name(writer.file))?;
        self.disk.sync_folder()?;
        self.number = writer.file;
        self.base = writer.length;
        self.writer = Some(writer);
        // The last one stays, for the case that this one is spoilt.
        let old: Vec<String> = self.disk.list()?;
        for name in old.iter().filter(|name| log::number(name).is_some_and(|n| n + 1 < self.number)) {
            // What cannot be removed now is tried again next time.
            let _ = self.disk.remove(name);
        }
        Ok(())
    }
}
