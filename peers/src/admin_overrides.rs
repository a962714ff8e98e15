//! Runners out by hand, as all dispatchers come to have them: the newest word on each runner, whoever said it.
//!
//! It owns versions and their order. No clock is in them: a call counts one above whatever its dispatcher has heard of
//! that runner, so that a clock that is off decides nothing, and of two calls made at once on both sides of a cut the
//! same one holds everywhere. It must never go back to an older word.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::mix;
use crate::packet::AdminOverride;

/// Digests are kept for so many parts, by the hash of the runner's id.
pub const BUCKETS: usize = 16;
/// Runners that anything is known of; beyond them the oldest word on one that is back is let go.
const MAX_RUNNERS: usize = 8_192;
/// No runner's id is longer.
const MAX_ID_BYTES: usize = 256;

/// How new a word is: more calls first, then the author, a hash of its name and life.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Version {
    pub count: u64,
    pub author: u32,
}

#[derive(Clone, Debug, Default)]
pub struct AdminOverrides {
    by_runner: BTreeMap<String, AdminOverride>,
    digest: [u32; BUCKETS],
}

fn bucket(runner: &str) -> usize {
    crc32fast::hash(runner.as_bytes()) as usize % BUCKETS
}

/// Of one word, for the digest: all words of a part together, in any order. A checksum alone would not do: it is linear,
/// so that words on `r-10` to `r-13` cancel out, and two sides that differ would never notice.
fn entry_hash(entry: &AdminOverride) -> u32 {
    let mut sum = crc32fast::Hasher::new();
    sum.update(entry.runner.as_bytes());
    sum.update(&entry.version.count.to_le_bytes());
    sum.update(&entry.version.author.to_le_bytes());
    mix(u64::from(sum.finalize())) as u32
}

impl AdminOverrides {
    pub fn digest(&self) -> [u32; BUCKETS] {
        self.digest
    }

    pub fn get(&self, runner: &str) -> Option<&AdminOverride> {
        self.by_runner.get(runner)
    }

    /// The version of a call that is made now by `author`: newer than all that is known of this runner.
    pub fn next_version(&self, runner: &str, author: u32) -> Version {
        let known = self.by_runner.get(runner).map_or(0, |entry| entry.version.count);
        Version { count: known.saturating_add(1), author }
    }

    /// Takes a word in, if it is newer than what is known; whether it was.
    pub fn merge(&mut self, entry: AdminOverride) -> bool {
        let known = self.by_runner.get(&entry.runner);
        if entry.runner.len() > MAX_ID_BYTES || known.is_some_and(|known| known.version >= entry.version) {
            return false;
        }
        let index = bucket(&entry.runner);
        self.digest[index] ^= known.map_or(0, entry_hash) ^ entry_hash(&entry);
        self.by_runner.insert(entry.runner.clone(), entry);
        if self.by_runner.len() > MAX_RUNNERS {
            self.evict_oldest();
        }
        true
    }

    fn evict_oldest(&mut self) {
        let not_out = self.by_runner.values().filter(|entry| entry.out_since.is_none());
        let oldest = not_out.min_by_key(|entry| (entry.was_out, entry.version));
        if let Some(runner) = oldest.map(|entry| entry.runner.clone())
            && let Some(evicted) = self.by_runner.remove(&runner)
        {
            self.digest[bucket(&runner)] ^= entry_hash(&evicted);
        }
    }

    /// What is known in those parts whose digest is not `theirs`.
    pub fn differing(&self, theirs: &[u32; BUCKETS]) -> impl Iterator<Item = &AdminOverride> {
        let differs: Vec<bool> =
            self.digest.iter().zip(theirs).map(|(ours, theirs)| ours != theirs).collect();
        self.by_runner.values().filter(move |entry| differs[bucket(&entry.runner)])
    }

    pub fn iter(&self) -> impl Iterator<Item = &AdminOverride> {
        self.by_runner.values()
    }
}

#[cfg(test)]
mod tests;
