//! The file format of a store: a head followed by entries, each protected by a checksum that also covers its
//! position.
//!
//! A file begins with a snapshot of all records and grows by the changes; it is never overwritten. Reading
//! recovers whatever is left of a file: entries with a wrong checksum are skipped, never guessed, and the
//! next valid entry after them is found again. Reading never returns a record that was not written exactly
//! so, and never fails, whatever the bytes.
//!
//! ```text
//! entry = magic (2) | length (4, little-endian) | index in the file (8) | checksum (4) | payload
//! checksum = CRC-32 (IEEE) over the file's number (8), the entry's index (8), the length, the payload
//! ```

use serde::{Deserialize, Serialize};

use crate::Micros;

/// Version of the format: the one that is written, and the newest that is read.
pub const FORMAT: u16 = 1;
/// First bytes of each entry, by which the next entry is found after damage.
const MAGIC: [u8; 2] = [0xd5, 0x7a];
/// Length of an entry without its payload.
const HEADER_BYTES: usize = 18;
/// Largest record in bytes; a roster of 10,000 runners takes about 3 MB.
pub const MAX_RECORD_BYTES: usize = 64 << 20;
/// Start of the names of log files.
const PREFIX: &str = "log-";

/// Kind of a record. Numbers are never reused; those from 32 on are reserved for a journal of work that
/// must not run twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Table(pub u8);

/// One record; the latest one of a table and key is in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Kind of the record.
    pub table: Table,
    /// Key within the table.
    pub key: String,
    /// Format version of `value`, defined by the table.
    pub form: u16,
    /// Boot number of the writer.
    pub boot: u64,
    /// When it was written, in Unix time by the writer's clock.
    pub written: Micros,
    /// The encoded value; none if the record was deleted.
    pub value: Option<Vec<u8>>,
}

/// One entry of a log file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LogEntry {
    /// First entry of each file; `form` is the format version of the file.
    Head { form: u16, owner: String, store: u64, boot: u64 },
    /// A record of the snapshot, or a later change.
    Record(Record),
    /// End of the snapshot, with the number of its records.
    #[serde(rename = "Whole")]
    SnapshotEnd { records: u64 },
    /// The process shut down cleanly: nothing is missing.
    #[serde(rename = "Clean")]
    CleanShutdown { written: Micros },
}

/// Name of the file with this number.
pub fn file_name(number: u64) -> String {
    format!("{PREFIX}{number:016}")
}

/// Number of a log file by its name; none for other files.
pub fn file_number(name: &str) -> Option<u64> {
    name.strip_prefix(PREFIX).filter(|digits| digits.len() == 16)?.parse().ok()
}

/// Checksum of an entry; see the module description.
fn checksum(file: u64, index: u64, payload: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&file.to_le_bytes());
    hasher.update(&index.to_le_bytes());
    hasher.update(&(payload.len() as u32).to_le_bytes());
    hasher.update(payload);
    hasher.finalize()
}

/// Encodes the entries of one file, in order.
pub struct Writer {
    /// Number of the file.
    pub file: u64,
    /// Index of the next entry.
    index: u64,
    /// Bytes encoded so far.
    pub length: u64,
}

impl Writer {
    /// Starts an empty file with this number.
    pub fn new(file: u64) -> Writer {
        Writer { file, index: 0, length: 0 }
    }

    /// Appends an entry to `out`.
    pub fn append(&mut self, entry: &LogEntry, out: &mut Vec<u8>) {
        // Plain types only: encoding cannot fail.
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

/// What could be read of a file.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct LogContents {
    /// The valid entries, in order.
    pub entries: Vec<LogEntry>,
    /// Number of places at which entries are missing or damaged and are followed by valid ones.
    pub gaps: u64,
    /// Bytes at the end without a valid entry: the last write was torn, or the end is damaged.
    pub torn_bytes: u64,
    /// Format version of the file if it is newer than [`FORMAT`].
    pub newer_format: Option<u16>,
}

/// Decodes the entry at the start of `bytes` if its index is at least `from`. Returns its index, the entry
/// and its length in bytes.
fn decode_entry(bytes: &[u8], file: u64, from: u64) -> Option<(u64, LogEntry, usize)> {
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

/// Reads all valid entries of the file with number `file`.
pub fn read(file: u64, bytes: &[u8]) -> LogContents {
    let mut contents = LogContents::default();
    let (mut position, mut next_index, mut valid_end) = (0, 0, 0);
    while position < bytes.len() {
        // Either the expected entry, or the first valid one after a damaged stretch.
        match decode_entry(&bytes[position..], file, next_index) {
            Some((index, entry, length)) => {
                if let LogEntry::Head { form, .. } = entry
                    && form > FORMAT
                {
                    contents.newer_format = Some(form);
                }
                contents.gaps += u64::from(position != valid_end || index != next_index);
                contents.entries.push(entry);
                (position, next_index) = (position + length, index + 1);
                valid_end = position;
            }
            None => position += 1,
        }
    }
    contents.torn_bytes = (bytes.len() - valid_end) as u64;
    contents
}

#[cfg(test)]
mod tests;
