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
const MARK: [u8; 2] = [0xd5, 0x7a];
const HEAD: usize = 18;
/// No record is larger: a list of 10,000 runners takes about 3 MB.
pub const RECORD_MOST: usize = 64 << 20;
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
    Whole {
        records: u64,
    },
    /// The process has ended as it should: nothing is missing.
    Clean {
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

fn checksum(file: u64, nth: u64, payload: &[u8]) -> u32 {
    let mut sum = crc32fast::Hasher::new();
    sum.update(&file.to_le_bytes());
    sum.update(&nth.to_le_bytes());
    sum.update(&(payload.len() as u32).to_le_bytes());
    sum.update(payload);
    sum.finalize()
}

/// Writes lines of one file, in order.
pub struct Writer {
    pub file: u64,
    nth: u64,
    /// Bytes so far.
    pub length: u64,
}

impl Writer {
    pub fn new(file: u64) -> Writer {
        Writer { file, nth: 0, length: 0 }
    }

    pub fn seal(&mut self, line: &LogEntry, into: &mut Vec<u8>) {
        // Plain types only: there is nothing that could fail to be written.
        let payload = postcard::to_stdvec(line).unwrap_or_default();
        into.extend_from_slice(&MARK);
        into.extend_from_slice(&(payload.len() as u32).to_le_bytes());
        into.extend_from_slice(&self.nth.to_le_bytes());
        into.extend_from_slice(&checksum(self.file, self.nth, &payload).to_le_bytes());
        into.extend_from_slice(&payload);
        self.nth += 1;
        self.length += (HEAD + payload.len()) as u64;
    }
}

/// What is left of a file.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct LogContents {
    pub lines: Vec<LogEntry>,
    /// Places within the file at which lines are missing or spoilt, with readable ones behind them.
    pub holes: u64,
    /// Bytes at the end that are no line: the last write was torn, or the end is spoilt.
    pub torn: u64,
    /// The form of a file that is newer than what is known here.
    pub newer: Option<u16>,
}

/// The line at the beginning of `bytes`, if its number in the file is at least `from`: its number, itself, its length.
fn open(bytes: &[u8], file: u64, from: u64) -> Option<(u64, LogEntry, usize)> {
    if bytes.get(..2)? != MARK {
        return None;
    }
    let length = u32::from_le_bytes(bytes.get(2..6)?.try_into().ok()?) as usize;
    let nth = u64::from_le_bytes(bytes.get(6..14)?.try_into().ok()?);
    let sum = u32::from_le_bytes(bytes.get(14..HEAD)?.try_into().ok()?);
    if length > RECORD_MOST || nth < from {
        return None;
    }
    let payload = bytes.get(HEAD..HEAD + length)?;
    if checksum(file, nth, payload) != sum {
        return None;
    }
    Some((nth, postcard::from_bytes(payload).ok()?, HEAD + length))
}

pub fn read(file: u64, bytes: &[u8]) -> LogContents {
    let mut read = LogContents::default();
    let (mut at, mut next, mut good) = (0, 0, 0);
    while at < bytes.len() {
        // One that stands where it is due, or one that is found again behind a spoilt stretch.
        match open(&bytes[at..], file, next) {
            Some((nth, line, length)) => {
                if let LogEntry::Head { form, .. } = line
                    && form > FORMAT
                {
                    read.newer = Some(form);
                }
                read.holes += u64::from(at != good || nth != next);
                read.lines.push(line);
                (at, next) = (at + length, nth + 1);
                good = at;
            }
            None => at += 1,
        }
    }
    read.torn = (bytes.len() - good) as u64;
    read
}

#[cfg(test)]
mod tests;
