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
const MOST: usize = 8_192;
/// No runner's id is longer.
const ID_MOST: usize = 256;

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
fn mark(hand: &AdminOverride) -> u32 {
    let mut sum = crc32fast::Hasher::new();
    sum.update(hand.runner.as_bytes());
    sum.update(&hand.version.count.to_le_bytes());
    sum.update(&hand.version.author.to_le_bytes());
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
    pub fn next(&self, runner: &str, author: u32) -> Version {
        let known = self.by_runner.get(runner).map_or(0, |hand| hand.version.count);
        Version { count: known.saturating_add(1), author }
    }

    /// Takes a word in, if it is newer than what is known; whether it was.
    pub fn merge(&mut self, hand: AdminOverride) -> bool {
        let known = self.by_runner.get(&hand.runner);
        if hand.runner.len() > ID_MOST || known.is_some_and(|known| known.version >= hand.version) {
            return false;
        }
        let nth = bucket(&hand.runner);
        self.digest[nth] ^= known.map_or(0, mark) ^ mark(&hand);
        self.by_runner.insert(hand.runner.clone(), hand);
        if self.by_runner.len() > MOST {
            self.let_go();
        }
        true
    }

    fn let_go(&mut self) {
        let back = self.by_runner.values().filter(|hand| hand.out_since.is_none());
        let oldest = back.min_by_key(|hand| (hand.was_out, hand.version));
        if let Some(runner) = oldest.map(|hand| hand.runner.clone())
            && let Some(gone) = self.by_runner.remove(&runner)
        {
            self.digest[bucket(&runner)] ^= mark(&gone);
        }
    }

    /// What is known in those parts whose digest is not `theirs`.
    pub fn differing(&self, theirs: &[u32; BUCKETS]) -> impl Iterator<Item = &AdminOverride> {
        let differs: Vec<bool> =
            self.digest.iter().zip(theirs).map(|(ours, theirs)| ours != theirs).collect();
        self.by_runner.values().filter(move |hand| differs[bucket(&hand.runner)])
    }

    pub fn all(&self) -> impl Iterator<Item = &AdminOverride> {
        self.by_runner.values()
    }
}

#[cfg(test)]
mod tests;
