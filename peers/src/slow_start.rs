//! Division of each cold runner's slow-start budget among all dispatchers: the share that one may send now.
//!
//! Each dispatcher starts with an equal share of every cold runner's budget. A few dispatchers own a runner,
//! chosen by a hash of its name and theirs. All others promise in their answers to probes to send that runner
//! nothing for a promise span, and the owners use their shares for a shorter one. Shares therefore never
//! overlap: at any time they add up to at most the budget, however many packets are lost, delayed or
//! duplicated and whatever links are cut, and no record of what was sent has to be exchanged. A promise is
//! never counted for longer than it is kept.
//!
//! Only durations matter: the giver counts a promise from its answer, the receiver from the probe that was
//! answered, which is earlier. The clocks may differ by any amount, and their rates by less than 1/20.
//!
//! Sources: leases (Gray, Cheriton 1989); shares that are passed on, as in escrow (O'Neil 1986); owners by
//! highest random weight (Thaler, Ravishankar 1998).

use std::collections::BTreeMap;

use crate::{Micros, mix};

/// Owners of each runner. Measured from one to eight (docs/peers.md): with more, a share is smaller than one
/// job; with fewer, the loss of one machine out of three takes the budgets of many runners with it.
pub const OWNERS_PER_RUNNER: usize = 3;
/// A promise lasts this long per dispatcher, within the bounds below: every other dispatcher must be probed
/// again within it.
const PROMISE_SPAN_PER_DISPATCHER: Micros = 40_000;
/// Lower bound of the promise span.
const MIN_PROMISE_SPAN: Micros = 4_000_000;
/// Upper bound of the promise span.
const MAX_PROMISE_SPAN: Micros = 16_000_000;
/// What was sent before a promise began has arrived after this time.
const IN_FLIGHT_MARGIN: Micros = 500_000;
/// A share is valid for this time after it was granted and must be granted again before it ends.
pub const SHARE_VALIDITY: Micros = 500_000;
/// Most runners whose owners are cached.
const MAX_CACHED_RUNNERS: usize = 16_384;

/// What one dispatcher may send a cold runner.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStartShare {
    /// Share of the runner's slow-start budget, 0 to 1.
    pub share: f64,
    /// End of its validity; afterwards the equal share holds.
    pub until: Micros,
}

/// Computes the shares of one dispatcher.
pub struct SlowStartAllocator {
    /// Name hashes of all dispatchers, in the order of their names.
    name_hashes: Vec<u64>,
    /// Index of this dispatcher.
    own: usize,
    /// Hash of the dispatcher list. A dispatcher with another list computes other owners, so its promises do
    /// not count.
    pub dispatchers_hash: u32,
    /// Number of dispatchers: the number in the settings if that is larger than the list.
    dispatcher_count: usize,
    /// The window in which work counts towards a cold runner's slow-start budget.
    overload_window: Micros,
    /// When this process run began.
    started_at: Micros,
    /// Until then nothing is sent to runners of other owners.
    withholds_until: Micros,
    /// From then on answers may carry a promise.
    promises_from: Micros,
    /// For each dispatcher, until when its promise to this one counts.
    promised_until: Vec<Micros>,
    /// Cached owners, by runner.
    owners_by_runner: BTreeMap<String, Vec<u16>>,
}

/// Hash of a name or id; all dispatchers must compute the same.
fn hash(text: &str) -> u64 {
    let bytes = text.as_bytes();
    // The length adds variety, as a checksum alone has 32 bits.
    mix(u64::from(crc32fast::hash(bytes)) << 32 | bytes.len() as u64)
}

impl SlowStartAllocator {
    /// `names` must be sorted. A new process run keeps whatever an earlier one may have promised.
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

    /// Applies the settings: the number of dispatchers, and the overload window.
    pub fn configure(&mut self, dispatchers: usize, overload_window: Micros) {
        (self.dispatcher_count, self.overload_window) =
            (dispatchers.max(self.name_hashes.len()), overload_window);
        // What an earlier process run may have promised lasts as long as the promises of this one.
        self.withholds_until = self.withholds_until.max(self.started_at + self.promise_span());
    }

    /// How long a promise lasts, counted from the answer that carries it.
    pub fn promise_span(&self) -> Micros {
        (PROMISE_SPAN_PER_DISPATCHER * self.name_hashes.len() as Micros)
            .clamp(MIN_PROMISE_SPAN, MAX_PROMISE_SPAN)
            + self.overload_window
    }

    /// How long a received promise counts, from the probe that was answered. What is sent at the very end of
    /// it has left the overload window before the giver sends anything again. 19/20 of the span allows for
    /// clocks that run at different rates.
    fn counted_span(&self) -> Micros {
        self.promise_span() / 20 * 19 - self.overload_window - IN_FLIGHT_MARGIN
    }

    /// Every other dispatcher should be probed again within this time.
    pub fn renewal_interval(&self) -> Micros {
        self.counted_span() / 2
    }

    /// Called once per round, before shares are granted; `isolated` if fewer than half of the peers are
    /// heard. An isolated dispatcher returns to its equal share once its own promise has ended.
    pub fn start_round(&mut self, isolated: bool, now: Micros) {
        if !isolated && now > self.withholds_until {
            // This dispatcher may have used its share until now. It withholds from now on, but promises so
            // only once what it sent has left the overload window.
            self.withholds_until = now + self.promise_span();
            self.promises_from = now + self.overload_window + IN_FLIGHT_MARGIN;
        }
    }

    /// Whether an answer that is sent now may promise to send nothing to other owners' runners for
    /// [`SlowStartAllocator::promise_span`]. If so, the promise is recorded here.
    pub fn try_promise(&mut self, isolated: bool, now: Micros) -> bool {
        let promises = !isolated && now <= self.withholds_until && now >= self.promises_from;
        if promises {
            self.withholds_until = now + self.promise_span();
        }
        promises
    }

    /// Another dispatcher has promised, in its answer to a probe sent at `probed_at`.
    pub fn record_promise(&mut self, dispatcher: usize, probed_at: Micros) {
        let until = probed_at + self.counted_span();
        if let Some(known) = self.promised_until.get_mut(dispatcher) {
            *known = (*known).max(until);
        }
    }

    /// Whether another dispatcher's promise still counts at the end of a share granted now.
    fn promise_covers(&self, dispatcher: usize, now: Micros) -> bool {
        dispatcher != self.own && self.promised_until[dispatcher] >= now + SHARE_VALIDITY
    }

    /// The shares of this dispatcher for these runners, in the same order.
    pub fn shares<'a>(&mut self, runners: impl Iterator<Item = &'a str>, now: Micros) -> Vec<SlowStartShare> {
        let promising =
            (0..self.promised_until.len()).filter(|dispatcher| self.promise_covers(*dispatcher, now)).count();
        let share_of = |runner: &str| {
            let owners = self.owners_of(runner);
            if !owners.contains(&(self.own as u16)) {
                // A promise made after this call extends the time; the margin lasts until the next round
                // grants a new share.
                return SlowStartShare { share: 0.0, until: self.withholds_until + SHARE_VALIDITY };
            }
            let non_owners = promising
                - owners
                    .iter()
                    .filter(|dispatcher| self.promise_covers(usize::from(**dispatcher), now))
                    .count();
            let equal_shares = 1.0 + non_owners as f64 / owners.len() as f64;
            SlowStartShare { share: equal_shares / self.dispatcher_count as f64, until: now + SHARE_VALIDITY }
        };
        runners.map(share_of).collect()
    }

    /// The owners of a runner, by rendezvous hashing.
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
