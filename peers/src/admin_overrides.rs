//! Admin overrides of runners, on which all dispatchers converge: the operators' calls on each runner, whichever
//! dispatcher took them.
//!
//! Of each process run that has taken a call on a runner, the latest call is kept. A call that takes the runner
//! out stands until a call that takes it back is made by a dispatcher that knows of it; the runner is out of
//! service while any call stands. So a call is undone only by one that has seen it, and of calls made apart the
//! one that takes the runner out wins, on every side. No clock and no common count is involved: the number of a
//! call orders only the calls of its own process run.
//!
//! Merging takes, for each process run, the later call, and of two copies of the same call the one that no
//! longer stands. That does not depend on the order in which copies arrive, or on how often they do.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::mix;
use crate::packet::AdminOverride;

/// Number of buckets of the digest; a runner belongs to one by the hash of its id.
pub const BUCKETS: usize = 16;
/// Most runners with stored calls. Beyond it the oldest runner that is back in use is evicted.
const MAX_RUNNERS: usize = 8_192;
/// Most stored calls of a runner. Beyond it the oldest ones that no longer stand are dropped.
const MAX_CALLS: usize = 1_024;
/// Longest accepted runner id, in bytes.
const MAX_ID_BYTES: usize = 256;
/// Highest accepted number of a call, which leaves room for all later ones.
const MAX_NUMBER: u64 = 1 << 48;

/// The latest call of one process run on a runner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdminCall {
    /// Identifies the process run that took the call.
    pub author: u64,
    /// Higher than the numbers of all calls on this runner that its author knew.
    pub number: u64,
    /// Whether it takes the runner out of service and has not been undone.
    pub stands: bool,
}

impl AdminCall {
    /// Whether this is newer knowledge than `other` of the same process run.
    fn supersedes(&self, other: &AdminCall) -> bool {
        (self.number, !self.stands) > (other.number, !other.stands)
    }
}

/// The calls on one runner, by their author.
type Calls = BTreeMap<u64, AdminCall>;

/// The known calls on each runner.
#[derive(Clone, Debug, Default)]
pub struct AdminOverrides {
    by_runner: BTreeMap<String, Calls>,
    /// For each bucket, the hashes of all calls combined by XOR.
    digest: [u32; BUCKETS],
}

/// The digest bucket of a runner.
fn bucket(runner: &str) -> usize {
    crc32fast::hash(runner.as_bytes()) as usize % BUCKETS
}

/// Hash of one call for the digest, where the hashes of a bucket are combined in any order. A checksum alone
/// would not do: it is linear, so calls on `r-10` to `r-13` would cancel out and a difference would never be
/// noticed.
fn call_hash(runner: &str, call: &AdminCall) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(runner.as_bytes());
    hasher.update(&call.author.to_le_bytes());
    hasher.update(&call.number.to_le_bytes());
    hasher.update(&[u8::from(call.stands)]);
    mix(u64::from(hasher.finalize())) as u32
}

/// Whether any of these calls stands.
fn any_stands(calls: &Calls) -> bool {
    calls.values().any(|call| call.stands)
}

impl AdminOverrides {
    /// The digest that peers compare to find out whether they hold the same calls.
    pub fn digest(&self) -> [u32; BUCKETS] {
        self.digest
    }

    /// Whether operators have taken a runner out of service; none if no call on it is known.
    pub fn is_out(&self, runner: &str) -> Option<bool> {
        self.by_runner.get(runner).map(any_stands)
    }

    /// The known calls on a runner.
    pub fn calls(&self, runner: &str) -> Vec<AdminCall> {
        self.by_runner.get(runner).map(|calls| calls.values().copied().collect()).unwrap_or_default()
    }

    /// Records a call that `author` takes now and that knows all others. Returns the calls that it changes,
    /// itself included; none for an id that is too long to be exchanged.
    pub fn record(&mut self, runner: &str, author: u64, out: bool) -> Vec<AdminCall> {
        if runner.len() > MAX_ID_BYTES {
            return Vec::new();
        }
        let known = self.calls(runner);
        let highest = known.iter().map(|call| call.number).max().unwrap_or(0);
        let undone = known.iter().filter(|call| !out && call.stands && call.author != author);
        let undone = undone.map(|call| AdminCall { stands: false, ..*call });
        let mut changed: Vec<AdminCall> = undone.collect();
        changed.push(AdminCall { author, number: highest + 1, stands: out });
        changed.iter().for_each(|call| _ = self.merge_call(runner, *call));
        self.enforce_limits(runner);
        changed
    }

    /// Merges the calls that another dispatcher, or the disk, has sent. Returns whether any of them was news.
    pub fn merge(&mut self, entry: &AdminOverride) -> bool {
        let is_valid = |call: &&AdminCall| call.number <= MAX_NUMBER;
        if entry.runner.len() > MAX_ID_BYTES {
            return false;
        }
        let mut is_news = false;
        for call in entry.calls.iter().filter(is_valid) {
            is_news |= self.merge_call(&entry.runner, *call);
        }
        self.enforce_limits(&entry.runner);
        is_news
    }

    /// Merges the calls that an earlier process run of this dispatcher has stored. If `author` has taken the
    /// runner back since, it did so after all of them. Returns whether any of them was news.
    pub fn restore(&mut self, entry: &AdminOverride, author: u64) -> bool {
        let own = self.by_runner.get(&entry.runner).and_then(|calls| calls.get(&author)).copied();
        let is_news = self.merge(entry);
        if is_news && own.is_some_and(|own| !own.stands) {
            self.record(&entry.runner, author, false);
        }
        is_news
    }

    /// Merges one call. Returns whether it was news.
    fn merge_call(&mut self, runner: &str, call: AdminCall) -> bool {
        let calls = self.by_runner.entry(runner.to_owned()).or_default();
        let known = calls.get(&call.author);
        if known.is_some_and(|known| !call.supersedes(known)) {
            return false;
        }
        self.digest[bucket(runner)] ^=
            known.map_or(0, |known| call_hash(runner, known)) ^ call_hash(runner, &call);
        calls.insert(call.author, call);
        true
    }

    /// Drops what exceeds the limits after calls on `runner` have been merged.
    fn enforce_limits(&mut self, runner: &str) {
        while self.by_runner.get(runner).is_some_and(|calls| calls.len() > MAX_CALLS) {
            let calls = self.by_runner.get(runner).into_iter().flat_map(Calls::values);
            let oldest = calls.min_by_key(|call| (call.stands, call.number, call.author)).copied();
            let Some(oldest) = oldest else { return };
            self.digest[bucket(runner)] ^= call_hash(runner, &oldest);
            self.by_runner.get_mut(runner).map(|calls| calls.remove(&oldest.author));
        }
        if self.by_runner.len() > MAX_RUNNERS {
            self.evict_oldest();
        }
    }

    /// Removes the oldest runner among those in use. The calls on runners that are out of use always stay.
    fn evict_oldest(&mut self) {
        let in_use = self.by_runner.iter().filter(|(_, calls)| !any_stands(calls));
        let newest_number = |calls: &Calls| calls.values().map(|call| call.number).max();
        let oldest = in_use.min_by_key(|(runner, calls)| (newest_number(calls), *runner));
        let Some(runner) = oldest.map(|(runner, _)| runner.clone()) else { return };
        for call in self.by_runner.remove(&runner).unwrap_or_default().values() {
            self.digest[bucket(&runner)] ^= call_hash(&runner, call);
        }
    }

    /// The calls on the runners in those buckets whose digest differs from `theirs`, ordered by runner.
    pub fn differing(&self, theirs: &[u32; BUCKETS]) -> impl Iterator<Item = (&str, Vec<AdminCall>)> {
        let differs: Vec<bool> =
            self.digest.iter().zip(theirs).map(|(ours, theirs)| ours != theirs).collect();
        let runners = self.by_runner.iter().filter(move |(runner, _)| differs[bucket(runner)]);
        runners.map(|(runner, calls)| (runner.as_str(), calls.values().copied().collect()))
    }

    /// The known runners and whether each is out of service.
    pub fn iter(&self) -> impl Iterator<Item = (&str, bool)> {
        self.by_runner.iter().map(|(runner, calls)| (runner.as_str(), any_stands(calls)))
    }
}

#[cfg(test)]
mod tests;
