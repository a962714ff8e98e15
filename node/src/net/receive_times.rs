//! When the bytes came that a connection has read and its owner has not taken yet.
//!
//! Bytes that came together are one entry. The entries are bounded: beyond that a later entry counts as old as the one
//! before it, so that a time is never told too late.

use std::collections::VecDeque;

use topazsail::Micros;

const ENTRIES_MOST: usize = 64;

/// The ages of bytes in the order in which they came.
#[derive(Debug, Default)]
pub struct ReceiveTimes {
    /// How many bytes, and since when they may have been there.
    entries: VecDeque<(usize, Micros)>,
}

impl ReceiveTimes {
    /// So many bytes have been read that may have been there since then.
    pub fn note(&mut self, bytes: usize, since: Micros) {
        let full = self.entries.len() >= ENTRIES_MOST;
        match self.entries.back_mut() {
            Some((count, at)) if full || *at == since => *count += bytes,
            _ => self.entries.push_back((bytes, since)),
        }
    }

    /// So many bytes have been taken from the front.
    pub fn take(&mut self, mut bytes: usize) {
        while let Some((count, _)) = self.entries.front_mut() {
            if *count > bytes {
                *count -= bytes;
                return;
            }
            bytes -= *count;
            self.entries.pop_front();
        }
    }

    /// Since when the first byte may have been there.
    pub fn first(&self) -> Option<Micros> {
        self.entries.front().map(|(_, since)| *since)
    }
}
