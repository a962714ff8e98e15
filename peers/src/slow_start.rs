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
pub const OWNERS: usize = 3;
/// Promises last so long, for each other dispatcher and at least and at most: each must be asked again within it.
const SPAN_EACH: Micros = 40_000;
const SPAN_LEAST: Micros = 4_000_000;
const SPAN_MOST: Micros = 16_000_000;
/// What left before a promise began is on its way no longer.
const UNDER_WAY: Micros = 500_000;
/// A portion is good for this after it was told, and must be told again before.
pub const TOLD_FOR: Micros = 500_000;
/// Runners whose owners are remembered.
const KNOWN_MOST: usize = 16_384;

/// What one dispatcher may send a cold runner: this share of its budget until then, an even share afterwards.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStartShare {
    pub share: f64,
    pub until: Micros,
}

pub struct SlowStartAllocator {
    /// All dispatchers by their names' hashes, in the order of names; which of them is this one.
    hashes: Vec<u64>,
    own: usize,
    /// What tells this list of dispatchers from another one: who goes by another one has other owners.
    pub list: u32,
    /// The dispatchers that the settings count, where these are more.
    counted: usize,
    /// The span that the rule on cold runners looks at.
    looks_at: Micros,
    began: Micros,
    /// Nothing is sent to other owners' runners until then; who asks from `gives_from` on is promised so.
    holds_until: Micros,
    gives_from: Micros,
    /// By place: until when its promise to us counts.
    promised: Vec<Micros>,
    owners: BTreeMap<String, Vec<u16>>,
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
        let mut account = SlowStartAllocator {
            hashes: names.iter().map(|name| hash(name)).collect(),
            own,
            list: crc32fast::hash(names.join("\n").as_bytes()),
            counted: names.len(),
            looks_at: 0,
            began: now,
            holds_until: 0,
            gives_from: now,
            promised: vec![Micros::MIN; names.len()],
            owners: BTreeMap::new(),
        };
        account.holds_until = now + account.span();
        account
    }

    /// What the settings say: how many dispatchers there are, and which span the rule on cold runners looks at.
    pub fn settings(&mut self, dispatchers: usize, looks_at: Micros) {
        (self.counted, self.looks_at) = (dispatchers.max(self.hashes.len()), looks_at);
        // What an earlier life may have promised lasts as long as this one's promises do.
        self.holds_until = self.holds_until.max(self.began + self.span());
    }

    /// How long a promise lasts, from the answer that makes it.
    pub fn span(&self) -> Micros {
        (SPAN_EACH * self.hashes.len() as Micros).clamp(SPAN_LEAST, SPAN_MOST) + self.looks_at
    }

    /// How long one counts, from the probe that was answered: what was sent at its very end is out of the rule's sight
    /// before the giver sends anything again.
    fn counts(&self) -> Micros {
        self.span() / 20 * 19 - self.looks_at - UNDER_WAY
    }

    /// Each other one is to be asked again within this.
    pub fn renew_within(&self) -> Micros {
        self.counts() / 2
    }

    /// Once in each round, before portions are told: `alone` where fewer than half of the others are heard. Whoever is
    /// cut off goes back to its even share, once what it has promised is over.
    pub fn round(&mut self, alone: bool, now: Micros) {
        if !alone && now > self.holds_until {
            // It may have sent its share until now: it holds from here on, and says so once that is out of sight.
            self.holds_until = now + self.span();
            self.gives_from = now + self.looks_at + UNDER_WAY;
        }
    }

    /// Whether an answer that leaves now may promise to send nothing to others' runners, for [`SlowStartAllocator::span`].
    pub fn promise(&mut self, alone: bool, now: Micros) -> bool {
        let gives = !alone && now <= self.holds_until && now >= self.gives_from;
        if gives {
            self.holds_until = now + self.span();
        }
        gives
    }

    /// Another one has promised, in answer to a probe that left then.
    pub fn promised(&mut self, place: usize, probed_at: Micros) {
        let until = probed_at + self.counts();
        if let Some(known) = self.promised.get_mut(place) {
            *known = (*known).max(until);
        }
    }

    /// Whether another one's promise counts until a portion told now is over.
    fn gives(&self, place: usize, now: Micros) -> bool {
        place != self.own && self.promised[place] >= now + TOLD_FOR
    }

    /// What this dispatcher may send each of these runners, in the same order.
    pub fn portions<'a>(
        &mut self,
        runners: impl Iterator<Item = &'a str>,
        now: Micros,
    ) -> Vec<SlowStartShare> {
        let all = (0..self.promised.len()).filter(|place| self.gives(*place, now)).count();
        let portion = |runner: &str| {
            let owners = self.owners_of(runner);
            if !owners.contains(&(self.own as u16)) {
                // A promise may have been made since, and the next round not come.
                return SlowStartShare { share: 0.0, until: self.holds_until + TOLD_FOR };
            }
            let givers = all - owners.iter().filter(|place| self.gives(usize::from(**place), now)).count();
            let shares = 1.0 + givers as f64 / owners.len() as f64;
            SlowStartShare { share: shares / self.counted as f64, until: now + TOLD_FOR }
        };
        runners.map(portion).collect()
    }

    fn owners_of(&mut self, runner: &str) -> Vec<u16> {
        if let Some(owners) = self.owners.get(runner) {
            return owners.clone();
        }
        let of_runner = hash(runner);
        let mut ranked: Vec<(u64, u16)> =
            self.hashes.iter().enumerate().map(|(nth, of)| (mix(of ^ of_runner), nth as u16)).collect();
        ranked.sort_unstable();
        let owners: Vec<u16> = ranked.into_iter().take(OWNERS).map(|(_, nth)| nth).collect();
        if self.owners.len() >= KNOWN_MOST {
            self.owners.clear();
        }
        self.owners.insert(runner.to_owned(), owners.clone());
        owners
    }
}

#[cfg(test)]
mod tests;
