//! Admin overrides of runners, on which all dispatchers converge: the newest entry for each runner, whichever
//! dispatcher it comes from.
//!
//! Versions do not use a clock. A new override counts one above the highest count that its dispatcher knows
//! for that runner, so a wrong clock has no influence. Of two overrides made at the same time on both sides
//! of a network partition the same one wins everywhere. An entry is never replaced by an older one.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::mix;
use crate::packet::AdminOverride;

/// Number of buckets of the digest; a runner belongs to one by the hash of its id.
pub const BUCKETS: usize = 16;
/// Most runners with a stored entry. Beyond it the oldest entry of a runner that is back in use is evicted.
const MAX_RUNNERS: usize = 8_192;
/// Longest accepted runner id, in bytes.
const MAX_ID_BYTES: usize = 256;

/// How new an entry is: compared by the count of overrides first, then by the author.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Version {
    /// Number of overrides of this runner so far.
    pub count: u64,
    /// Hash of the author's name and nonce, which breaks ties.
    pub author: u32,
}

/// The newest known override of each runner.
#[derive(Clone, Debug, Default)]
pub struct AdminOverrides {
    by_runner: BTreeMap<String, AdminOverride>,
    /// For each bucket, all entry hashes combined by XOR.
    digest: [u32; BUCKETS],
}

/// The digest bucket of a runner.
fn bucket(runner: &str) -> usize {
    crc32fast::hash(runner.as_bytes()) as usize % BUCKETS
}

/// Hash of one entry for the digest, where the hashes of a bucket are combined in any order. A checksum alone
/// would not do: it is linear, so entries for `r-10` to `r-13` would cancel out and a difference would never
/// be noticed.
fn entry_hash(entry: &AdminOverride) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(entry.runner.as_bytes());
    hasher.update(&entry.version.count.to_le_bytes());
    hasher.update(&entry.version.author.to_le_bytes());
    mix(u64::from(hasher.finalize())) as u32
}

impl AdminOverrides {
    /// The digest that peers compare to find out whether they hold the same entries.
    pub fn digest(&self) -> [u32; BUCKETS] {
        self.digest
    }

    /// The newest known entry for a runner.
    pub fn get(&self, runner: &str) -> Option<&AdminOverride> {
        self.by_runner.get(runner)
    }

    /// The version of an override that `author` makes now: newer than everything known for this runner.
    pub fn next_version(&self, runner: &str, author: u32) -> Version {
        let known = self.by_runner.get(runner).map_or(0, |entry| entry.version.count);
        Version { count: known.saturating_add(1), author }
    }

    /// Stores an entry if it is newer than the known one. Returns whether it was.
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

    /// Removes the oldest entry among the runners in use. Entries of runners that are out of use always stay.
    fn evict_oldest(&mut self) {
        let in_use = self.by_runner.values().filter(|entry| entry.out_since.is_none());
        let oldest = in_use.min_by_key(|entry| (entry.was_out, entry.version));
        if let Some(runner) = oldest.map(|entry| entry.runner.clone())
            && let Some(evicted) = self.by_runner.remove(&runner)
        {
            self.digest[bucket(&runner)] ^= entry_hash(&evicted);
        }
    }

    /// The entries of those buckets whose digest differs from `theirs`.
    pub fn differing(&self, theirs: &[u32; BUCKETS]) -> impl Iterator<Item = &AdminOverride> {
        let differs: Vec<bool> =
            self.digest.iter().zip(theirs).map(|(ours, theirs)| ours != theirs).collect();
        self.by_runner.values().filter(move |entry| differs[bucket(&entry.runner)])
    }

    /// All entries.
    pub fn iter(&self) -> impl Iterator<Item = &AdminOverride> {
        self.by_runner.values()
    }
}

#[cfg(test)]
mod tests;
