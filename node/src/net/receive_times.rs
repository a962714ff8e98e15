//! When the unprocessed bytes of a connection may have arrived.
//!
//! Bytes read together are one entry. The number of entries is limited: beyond it, bytes are added to the
//! last entry and count as being as old as that one, so that a reported time is never too late.

use std::collections::VecDeque;

use topazsail::Micros;

/// The most entries per connection.
const MAX_ENTRIES: usize = 64;

/// The receive times of bytes, in the order in which they arrived.
#[derive(Debug, Default)]
pub struct ReceiveTimes {
    /// The number of bytes, and the earliest time at which they may have arrived.
    entries: VecDeque<(usize, Micros)>,
}

impl ReceiveTimes {
    /// Records bytes that have been read and may have arrived as early as `since`.
    pub fn record(&mut self, bytes: usize, since: Micros) {
        let is_full = self.entries.len() >= MAX_ENTRIES;
        match self.entries.back_mut() {
            Some((count, at)) if is_full || *at == since => *count += bytes,
            _ => self.entries.push_back((bytes, since)),
        }
    }

    /// Bytes of memory that the entries hold.
    pub fn buffer_bytes(&self) -> usize {
        self.entries.capacity() * size_of::<(usize, Micros)>()
    }

    /// Removes bytes that the owner has processed.
    pub fn consume(&mut self, mut bytes: usize) {
        while let Some((count, _)) = self.entries.front_mut() {
            if *count > bytes {
                *count -= bytes;
                return;
            }
            bytes -= *count;
            self.entries.pop_front();
        }
    }

    /// The earliest time at which the first byte may have arrived.
    pub fn first(&self) -> Option<Micros> {
        self.entries.front().map(|(_, since)| *since)
    }
}
