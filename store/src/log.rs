//! The form of a store's file: a head, records one after the other, each sealed by a checksum over its place as well.
//!
//! It owns the bytes. A file begins with a snapshot of all records and grows by what changes; it is never written over.
//! Reading takes whatever is left of one: what fails its checksum is passed over, never guessed at, and what stands
//! behind it is found again. It must never give a record that was not written as it is given, nor fail on any bytes.
//!
//! ```text
//! line = mark (2) | length (4, little-endian) | its number in the file (8) | checksum (4) | payload
//! checksum = CRC-32 (IEEE) over the file's number (8), the line's number (8), the length, the payload
//! ```

use serde::{Deserialize, Serialize};

use crate::Micros;

/// The newest form that is read, and the one that is written.
pub const FORMAT: u16 = 1;
const MAGIC: [u8; 2] = [0xd5, 0x7a];
const HEADER_BYTES: usize = 18;
/// No record is larger: a list of 10,000 runners takes about 3 MB.
pub const MAX_RECORD_BYTES: usize = 64 << 20;
const PREFIX: &str = "log-";

/// What a record is about. Numbers are for ever; those from 32 on are left to a journal of work that must not run
/// twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Table(pub u8);

/// One record: the latest of a table and key counts. Its age is `written`, Unix time as its writer believed it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    pub table: Table,
    pub key: String,
    /// The form of `value`, a number of the table's own.
    pub form: u16,
    /// The boot number of the writer.
    pub boot: u64,
    pub written: Micros,
    /// None where the record is taken back.
    pub value: Option<Vec<u8>>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LogEntry {
    /// First in each file; `form` is of this and all that follows.
    Head {
        form: u16,
        owner: String,
        store: u64,
        boot: u64,
    },
    Record(Record),
    /// The snapshot before it holds so many records.
    #[serde(rename = "Whole")]
    SnapshotEnd {
        records: u64,
    },
    /// The process has ended as it should: nothing is missing.
    #[serde(rename = "Clean")]
    CleanShutdown {
        written: Micros,
    },
}

/// A file's name by its number.
pub fn name(number: u64) -> String {
    format!("{PREFIX}{number:016}")
}

pub fn number(name: &str) -> Option<u64> {
    name.strip_prefix(PREFIX).filter(|digits| digits.len() == 16)?.parse().ok()
}

fn checksum(file: u64, index: u64, payload: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&file.to_le_bytes());
    hasher.update(&index.to_le_bytes());
    hasher.update(&(payload.len() as u32).to_le_bytes());
    hasher.update(payload);
    hasher.finalize()
}

/// Writes lines of one file, in order.
pub struct Writer {
    pub file: u64,
    index: u64,
    /// Bytes so far.
    pub length: u64,
}

impl Writer {
    pub fn new(file: u64) -> Writer {
        Writer { file, index: 0, length: 0 }
    }

    pub fn append(&mut self, entry: &LogEntry, out: &mut Vec<u8>) {
        // Plain types only: there is nothing that could fail to be written.
        let payload = postcard::to_stdvec(entry).unwrap_or_default();
        out.extend_from_slice(&MAGIC);
        out.extend_from_slice(&(payload.len() as u32).to_le_bytes());
        out.extend_from_slice(&self.index.to_le_bytes());
        out.extend_from_slice(&checksum(self.file, self.index, &payload).to_le_bytes());
        out.extend_from_slice(&payload);
        self.index += 1;
        self.length += (HEADER_BYTES + payload.len()) as u64;
    }
}

/// What is left of a file.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct LogContents {
    pub entries: Vec<LogEntry>,
    /// Places within the file at which lines are missing or spoilt, with readable ones behind them.
    pub gaps: u64,
    /// Bytes at the end that are no line: the last write was torn, or the end is spoilt.
    pub torn_bytes: u64,
    /// The form of a file that is newer than what is known here.
    pub newer_format: Option<u16>,
}

/// The line at the beginning of `bytes`, if its number in the file is at least `from`: its number, itself, its length.
fn open(bytes: &[u8], file: u64, from: u64) -> Option<(u64, LogEntry, usize)> {
    if bytes.get(..2)? != MAGIC {
        return None;
    }
    let length = u32::from_le_bytes(bytes.get(2..6)?.try_into().ok()?) as usize;
    let index = u64::from_le_bytes(bytes.get(6..14)?.try_into().ok()?);
    let expected = u32::from_le_bytes(bytes.get(14..HEADER_BYTES)?.try_into().ok()?);
    if length > MAX_RECORD_BYTES || index < from {
        return None;
    }
    let payload = bytes.get(HEADER_BYTES..HEADER_BYTES + length)?;
    if checksum(file, index, payload) != expected {
        return None;
    }
    Some((index, postcard::from_bytes(payload).ok()?, HEADER_BYTES + length))
}

pub fn read(file: u64, bytes: &[u8]) -> LogContents {
    let mut contents = LogContents::default();
    let (mut at, mut next, mut good_end) = (0, 0, 0);
    while at < bytes.len() {
        // One that stands where it is due, or one that is found again behind a spoilt stretch.
        match open(&bytes[at..], file, next) {
            Some((index, entry, length)) => {
                if let LogEntry::Head { form, .. } = entry
                    && form > FORMAT
                {
                    contents.newer_format = Some(form);
                }
                contents.gaps += u64::from(at != good_end || index != next);
                contents.entries.push(entry);
                (at, next) = (at + length, index + 1);
                good_end = at;
            }
            None => at += 1,
        }
    }
    contents.torn_bytes = (bytes.len() - good_end) as u64;
    contents
}

#[cfg(test)]
mod tests;
