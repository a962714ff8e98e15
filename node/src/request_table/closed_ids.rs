//! The ids of invocations that have had their final answer.
//!
//! An id belongs to one request only: a request that repeats one is rejected, as its sender must have taken the
//! id from another request, and the job may have run.

use std::collections::{HashSet, VecDeque};

use topazsail::{Id, hash};

/// Number of ids that are remembered: at thousands of requests a second from one client, for as long as others
/// wait for their answers.
const MAX_IDS: usize = 32_768;
/// Number of the latest ids that are passed on to a successor.
const MAX_PASSED_ON: usize = 4096;

/// The latest ids, of which most are kept as hashes.
#[derive(Default)]
pub(super) struct ClosedIds {
    latest: VecDeque<Id>,
    /// The hashes of all ids that are remembered, the oldest first, and as a set.
    order: VecDeque<u64>,
    hashes: HashSet<u64>,
}

impl ClosedIds {
    /// Whether this id is remembered.
    pub(super) fn contains(&self, id: &str) -> bool {
        self.hashes.contains(&hash(id.as_bytes()))
    }

    /// Remembers an id; forgets the oldest one if there are too many.
    pub(super) fn insert(&mut self, id: Id) {
        let hash = hash(id.as_bytes());
        if !self.hashes.insert(hash) {
            return;
        }
        self.order.push_back(hash);
        self.latest.push_back(id);
        if self.latest.len() > MAX_PASSED_ON {
            self.latest.pop_front();
        }
        if self.order.len() > MAX_IDS {
            self.order.pop_front().map(|oldest| self.hashes.remove(&oldest));
        }
    }

    /// The latest ids, the oldest first.
    pub(super) fn latest(&self) -> impl Iterator<Item = &Id> {
        self.latest.iter()
    }
}
