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
pub const FORM: u16 = 1;
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
pub enum Line {
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

    pub fn seal(&mut self, line: &Line, into: &mut Vec<u8>) {
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
pub struct Read {
    pub lines: Vec<Line>,
    /// Places within the file at which lines are missing or spoilt, with readable ones behind them.
    pub holes: u64,
    /// Bytes at the end that are no line: the last write was torn, or the end is spoilt.
    pub torn: u64,
    /// The form of a file that is newer than what is known here.
    pub newer: Option<u16>,
}

/// The line at the beginning of `bytes`, if its number in the file is at least `from`: its number, itself, its length.
fn open(bytes: &[u8], file: u64, from: u64) -> Option<(u64, Line, usize)> {
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

pub fn read(file: u64, bytes: &[u8]) -> Read {
    let mut read = Read::default();
    let (mut at, mut next, mut good) = (0, 0, 0);
    while at < bytes.len() {
        // One that stands where it is due, or one that is found again behind a spoilt stretch.
        match open(&bytes[at..], file, next) {
            Some((nth, line, length)) => {
                if let Line::Head { form, .. } = line
                    && form > FORM
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
mod tests {
    use super::*;

    fn record(nth: u8) -> Line {
        Line::Record(Record {
            table: Table(1),
            key: format!("k{nth}"),
            form: 1,
            boot: 7,
            written: 1_700_000_000_000_000,
            value: Some(vec![nth; 40]),
        })
    }

    fn file() -> (Vec<u8>, Vec<Line>) {
        let lines: Vec<Line> = (0..6).map(record).collect();
        let mut writer = Writer::new(3);
        let mut bytes = Vec::new();
        lines.iter().for_each(|line| writer.seal(line, &mut bytes));
        assert_eq!(writer.length, bytes.len() as u64);
        (bytes, lines)
    }

    #[test]
    fn what_is_written_is_read_and_a_torn_end_is_left_out() {
        let (bytes, lines) = file();
        assert_eq!(read(3, &bytes), Read { lines: lines.clone(), ..Read::default() });
        for end in 0..bytes.len() {
            let cut = read(3, &bytes[..end]);
            assert_eq!(cut.lines, lines[..cut.lines.len()]);
            assert_eq!(cut.holes, 0);
            assert!(cut.lines.len() == 6 || cut.lines.len() == end * 6 / bytes.len());
        }
    }

    #[test]
    fn a_flipped_bit_costs_one_line_and_gives_none() {
        let (bytes, lines) = file();
        for at in 0..bytes.len() * 8 {
            let mut spoilt = bytes.clone();
            spoilt[at / 8] ^= 1 << (at % 8);
            let read = read(3, &spoilt);
            let hit = at / 8 * 6 / bytes.len();
            let left: Vec<&Line> =
                lines.iter().enumerate().filter(|(nth, _)| *nth != hit).map(|(_, l)| l).collect();
            assert_eq!(read.lines.iter().collect::<Vec<_>>(), left);
            assert!(if hit == 5 { read.torn > 0 } else { read.holes == 1 });
        }
    }

    #[test]
    fn lines_of_another_file_or_in_another_order_are_none() {
        let (bytes, lines) = file();
        assert_eq!(read(4, &bytes).lines, []);
        let half = bytes.len() / 2;
        let turned = [&bytes[half..], &bytes[..half]].concat();
        // Behind what is found first nothing earlier is believed.
        assert_eq!(read(3, &turned).lines, lines[3..]);
        let twice = [&bytes[..], &bytes[..]].concat();
        assert_eq!(read(3, &twice).lines, lines);
    }
}
