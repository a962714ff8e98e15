//! One account for what all dispatchers together may send a cold runner: who may spend which portion of it, now.
//!
//! Each dispatcher has an even share of each cold runner's budget. Few are the owners of a runner, by its name and
//! theirs; all others promise in their answers to probes to send it nothing for a span, and their shares are the owners'
//! for a shorter one. Portions so never overlap: their sum is the budget at any moment, whatever is lost, late, doubled or
//! cut, and no record of what was sent has to travel. It must never count a promise for longer than it is kept.
//!
//! Spans only: a promise runs at its giver from the answer, at its taker from the probe that this answers, which was
//! earlier. Both clocks may be off by any time, and run apart by less than a twentieth.
//!
//! Source: leases (Gray, Cheriton 1989); shares that are handed on, as in escrow (O'Neil 1986); owners by highest random
//! weight (Thaler, Ravishankar 1998).

use std::collections::BTreeMap;

use crate::{Micros, mix};

/// Owners of each runner. Measured from one to eight (docs/peers.md): with more a portion is less than a job, with fewer
/// the loss of one machine of three takes the account of many runners with it.
pub const OWNERS_PER_RUNNER: usize = 3;
/// Promises last so long, for each other dispatcher and at least and at most: each must be asked again within it.
const PROMISE_SPAN_PER_DISPATCHER: Micros = 40_000;
const MIN_PROMISE_SPAN: Micros = 4_000_000;
const MAX_PROMISE_SPAN: Micros = 16_000_000;
/// What left before a promise began is on its way no longer.
const IN_FLIGHT_MARGIN: Micros = 500_000;
/// A portion is good for this after it was told, and must be told again before.
pub const SHARE_VALIDITY: Micros = 500_000;
/// Runners whose owners are remembered.
const MAX_CACHED_RUNNERS: usize = 16_384;

/// What one dispatcher may send a cold runner: this share of its budget until then, an even share afterwards.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStartShare {
    pub share: f64,
    pub until: Micros,
}

pub struct SlowStartAllocator {
    /// All dispatchers by their names' hashes, in the order of names; which of them is this one.
    name_hashes: Vec<u64>,
    own: usize,
    /// What tells this list of dispatchers from another one: who goes by another one has other owners.
    pub dispatchers_hash: u32,
    /// The dispatchers that the settings count, where these are more.
    dispatcher_count: usize,
    /// The span that the rule on cold runners looks at.
    overload_window: Micros,
    started_at: Micros,
    /// Nothing is sent to other owners' runners until then; who asks from `gives_from` on is promised so.
    withholds_until: Micros,
    promises_from: Micros,
    /// By place: until when its promise to us counts.
    promised_until: Vec<Micros>,
    owners_by_runner: BTreeMap<String, Vec<u16>>,
}

fn hash(text: &str) -> u64 {
    let bytes = text.as_bytes();
    // Two halves, as a checksum alone has 32 bits.
    mix(u64::from(crc32fast::hash(bytes)) << 32 | bytes.len() as u64)
}

impl SlowStartAllocator {
    /// `names` in order. A life that begins holds to whatever an earlier one may have promised.
    pub fn new(names: &[String], own: &str, now: Micros) -> SlowStartAllocator {
        let own = names.binary_search_by(|name| name.as_str().cmp(own)).unwrap_or(0);
        let mut allocator = SlowStartAllocator {
            name_hashes: names.iter().map(|name| hash(name)).collect(),
            own,
            dispatchers_hash: crc32fast::hash(names.join("\n").as_bytes()),
            dispatcher_count: names.len(),
            overload_window: 0,
            started_at: now,
            withholds_until: 0,
            promises_from: now,
            promised_until: vec![Micros::MIN; names.len()],
            owners_by_runner: BTreeMap::new(),
        };
        allocator.withholds_until = now + allocator.promise_span();
        allocator
    }

    /// What the settings say: how many dispatchers there are, and which span the rule on cold runners looks at.
    pub fn configure(&mut self, dispatchers: usize, overload_window: Micros) {
        (self.dispatcher_count, self.overload_window) =
            (dispatchers.max(self.name_hashes.len()), overload_window);
        // What an earlier life may have promised lasts as long as this one's promises do.
        self.withholds_until = self.withholds_until.max(self.started_at + self.promise_span());
    }

    /// How long a promise lasts, from the answer that makes it.
    pub fn promise_span(&self) -> Micros {
        (PROMISE_SPAN_PER_DISPATCHER * self.name_hashes.len() as Micros)
            .clamp(MIN_PROMISE_SPAN, MAX_PROMISE_SPAN)
            + self.overload_window
    }

    /// How long one counts, from the probe that was answered: what was sent at its very end is out of the rule's sight
    /// before the giver sends anything again.
    fn counted_span(&self) -> Micros {
        self.promise_span() / 20 * 19 - self.overload_window - IN_FLIGHT_MARGIN
    }

    /// Each other one is to be asked again within this.
    pub fn renewal_interval(&self) -> Micros {
        self.counted_span() / 2
    }

    /// Once in each round, before portions are told: `alone` where fewer than half of the others are heard. Whoever is
    /// cut off goes back to its even share, once what it has promised is over.
    pub fn start_round(&mut self, isolated: bool, now: Micros) {
        if !isolated && now > self.withholds_until {
            // It may have sent its share until now: it holds from here on, and says so once that is out of sight.
            self.withholds_until = now + self.promise_span();
            self.promises_from = now + self.overload_window + IN_FLIGHT_MARGIN;
        }
    }

    /// Whether an answer that leaves now may promise to send nothing to others' runners, for [`SlowStartAllocator::promise_span`].
    pub fn try_promise(&mut self, isolated: bool, now: Micros) -> bool {
        let promises = !isolated && now <= self.withholds_until && now >= self.promises_from;
        if promises {
            self.withholds_until = now + self.promise_span();
        }
        promises
    }

    /// Another one has promised, in answer to a probe that left then.
    pub fn record_promise(&mut self, dispatcher: usize, probed_at: Micros) {
        let until = probed_at + self.counted_span();
        if let Some(known) = self.promised_until.get_mut(dispatcher) {
            *known = (*known).max(until);
        }
    }

    /// Whether another one's promise counts until a portion told now is over.
    fn promise_covers(&self, dispatcher: usize, now: Micros) -> bool {
        dispatcher != self.own && self.promised_until[dispatcher] >= now + SHARE_VALIDITY
    }

    /// What this dispatcher may send each of these runners, in the same order.
    pub fn shares<'a>(&mut self, runners: impl Iterator<Item = &'a str>, now: Micros) -> Vec<SlowStartShare> {
        let promising =
            (0..self.promised_until.len()).filter(|dispatcher| self.promise_covers(*dispatcher, now)).count();
        let share_of = |runner: &str| {
            let owners = self.owners_of(runner);
            if !owners.contains(&(self.own as u16)) {
                // A promise may have been made since, and the next round not come.
                return SlowStartShare { share: 0.0, until: self.withholds_until + SHARE_VALIDITY };
            }
            let non_owners = promising
                - owners
                    .iter()
                    .filter(|dispatcher| self.promise_covers(usize::from(**dispatcher), now))
                    .count();
            let shares = 1.0 + non_owners as f64 / owners.len() as f64;
            SlowStartShare { share: shares / self.dispatcher_count as f64, until: now + SHARE_VALIDITY }
        };
        runners.map(share_of).collect()
    }

    fn owners_of(&mut self, runner: &str) -> Vec<u16> {
        if let Some(owners) = self.owners_by_runner.get(runner) {
            return owners.clone();
        }
        let runner_hash = hash(runner);
        let mut ranked: Vec<(u64, u16)> = self
            .name_hashes
            .iter()
            .enumerate()
            .map(|(index, name_hash)| (mix(name_hash ^ runner_hash), index as u16))
            .collect();
        ranked.sort_unstable();
        let owners: Vec<u16> = ranked.into_iter().take(OWNERS_PER_RUNNER).map(|(_, index)| index).collect();
        if self.owners_by_runner.len() >= MAX_CACHED_RUNNERS {
            self.owners_by_runner.clear();
        }
        self.owners_by_runner.insert(runner.to_owned(), owners.clone());
        owners
    }
}

#[cfg(test)]
mod tests;
