//! Every decision of one dispatcher.
//!
//! An adapter makes a [`RoutingPolicy`] from the standing orders and a seed, then calls [`RoutingPolicy::decide`] with the
//! clock and whatever happened since, in order; it gets back what is to be done, in order. The types on both
//! sides are in `events.rs`, `actions.rs` and `settings.rs`; what is kept on runners and invocations is in
//! `state_tables.rs`. The brain knows no clock and no chance but these.
//!
//! The way of an invocation: `arrive` lets it into the queue, `place` goes through the queue by what is at
//! stake and has `seek` find a runner, `outcome` ends a forward, and `again` or `give_up` says what follows.
//! `least` is the design (Pod-SSP); docs/design.md lists each departure from it.

mod slow_start;

use std::collections::{BTreeMap, BTreeSet, HashMap};

use crate::random::{Chance, first, hash};
use crate::state_tables::{Bond, Due, Forward, Inv, Keys, Place, Pool, Rations, Recent, Runner};
use crate::{
    Action, Arrival, DeduplicationScope, Effect, Event, ForwardResult, Id, Listing, Micros, Operation,
    Outcome, Readiness, ReportField, Roster, RosterEntry, Settings, SizeSource,
};

pub use slow_start::{SlowStartShare, SlowStartUsage};

/// Draws for a low and for a high invocation.
const D1: usize = 3;
const D2: usize = 4;
/// How long draws may take to answer a probe; those that have not by then are passed over.
const HEARING: Micros = 30_000;
/// No invocation is left unanswered nearer to its client timeout than this.
const MARGIN: Micros = 60_000;
/// In mean times of a forward: a draw whose report is older is probed before the choice.
const STALE: f64 = 0.1;
/// A forward younger than this need not show in a report yet.
const SETTLED: Micros = 50_000;
/// In mean times of a forward: how long high, low and late work waits for room before it draws anew. Other
/// dispatchers' queues are not seen from here: those who ask more often get the slots that come free.
const RESTS: [f64; 3] = [0.06, 0.12, 1.0];
/// Queue order of work whose objective has passed.
const LATE: u8 = 2;
/// Jobs that a runner is thought to hold a core at most, whatever its size in the list says.
const HELD_MOST: f64 = 50.0;
/// Waiting places that a runner is thought to have for each slot.
const PLACES: f64 = 0.5;
/// Shares of draws with a slot free at which no low work, and at which all, is let in.
const SPARE: (f64, f64) = (0.03, 0.2);
/// The same by shares of forwards that runners take, where these tell instead of draws.
const TAKEN: (f64, f64) = (0.1, 0.6);
/// Some low work is always let in, or nothing would tell that slots are free again; more where only its starts do.
const ADMITTED_LEAST: (f64, f64) = (0.05, 0.5);
/// In mean times of a forward: how long a runner's usual load is believed with no word from it.
const FADES: f64 = 60.0;
/// In tightest objectives: from how much longer a wait for those that dial connections are worth keeping to.
const DIAL_SLOW: f64 = 0.25;
/// The firmest belief, in log-odds, that reports come late or that they do not.
const FIRMEST: f64 = 2.5;
/// How many homes a key has for each runner that its share of the work would fill.
const HOMES: f64 = 2.0;
/// How many jobs more a key's next home by hash is taken to hold, as it may have to fetch.
const FETCH: f64 = 5.0;
/// How many times its share of own forwards out a home with a slot free may hold.
const HOME_BOUND: f64 = 1.25;
/// The share of the cold budget that is used: sizes are known only on average.
const COLD_CAUTION: f64 = 0.7;
/// The parts of that which are spent by agreed portions and by turns, where there are portions: fewer then send more
/// each, so that chance weighs more; without any turn whoever has no portion never learns how long jobs take.
const PORTIONED: (f64, f64) = (0.3, 0.1);
/// Jobs that other dispatchers may be sending to a runner whose report is fresh.
const MEANWHILE: f64 = 2.0;
/// Reports in a row that counted own forwards, before a cold runner's is believed: late ones show all of them nothing.
const PROVEN: u32 = 5;
/// How far above the fleet's median share of failures a runner may lie.
const FAILURES_OVER_MEDIAN: f64 = 0.3;
/// Failures and successes count half after this.
const HEALTH_MEMORY: f64 = 4e6;
const BENCH: Micros = 400_000;
const BENCH_MOST: Micros = 4_000_000;

#[derive(Default)]
pub struct RoutingPolicy {
    settings: Settings,
    high: Vec<bool>,
    /// Forwards that an invocation may have, by operation.
    allowance: Vec<u32>,
    tightest: Micros,
    /// Pools for work without a key, for the same in a shortage, and for work with a key.
    pools: [Vec<Pool>; 3],
    chance: Chance,
    now: Micros,
    todo: Vec<Action>,
    following: bool,
    failed_calls: u32,
    runners: Vec<Runner>,
    by_id: HashMap<Id, usize>,
    /// Those that the roster lists as on, those of them that may still be cold, and those with a connection
    /// of this dispatcher.
    listed: Vec<usize>,
    cold: Vec<usize>,
    linked: Vec<usize>,
    /// Counts the rosters that listed somebody new.
    newcomers: u64,
    /// What ranks homes: hash and one over weight of each runner listed at the latest of these rosters.
    bearings: Vec<(u64, f64, usize)>,
    /// The sum of the listed runners' weights; own forwards out.
    weight_all: f64,
    out_all: u32,
    least_slots: f64,
    invs: HashMap<Id, Inv>,
    queue: BTreeMap<Place, Id>,
    dues: BTreeMap<(Micros, u64), Due>,
    armed: BTreeSet<Micros>,
    serial: u64,
    /// A slot has come free since the queue was last gone through.
    freed: bool,
    keys: Keys,
    rations: Rations,
    /// Others' jobs for each unit of weight, and waits for a start, over all runners.
    others_mean: Recent,
    wait_mean: Recent,
    /// By how much longer forwards that dialled waited.
    dial_excess: Recent,
    /// The share of probes that found a slot free, or of forwards that were taken.
    free_share: Recent,
    /// Log-odds that reports come late; how many since the last that seemed so did not.
    doubt: f64,
    proven: u32,
    /// Time of a successful forward, by operation and over all.
    pace: Vec<Recent>,
    mean_pace: f64,
    /// The most time that an arrival of each operation had left.
    fullest: Vec<Micros>,
}

impl RoutingPolicy {
    pub fn new(settings: Settings, seed: u64) -> RoutingPolicy {
        let mut policy =
            RoutingPolicy { chance: Chance::new(seed), doubt: -FIRMEST, ..RoutingPolicy::default() };
        policy.retune(settings);
        policy.due(Micros::MIN, Due::Ask);
        policy
    }

    /// What holds from now on. Operations keep their numbers, those no longer in use too: what is under way
    /// keeps its own, but has no more forwards than are allowed now.
    fn retune(&mut self, settings: Settings) {
        let ops = &settings.operations;
        let used: Vec<&Operation> = ops.iter().filter(|o| o.in_use).collect();
        let differs = |same: &dyn Fn(&Operation, &Operation) -> bool| used.iter().any(|o| !same(o, used[0]));
        let values = differs(&|a, b| a.billed_value == b.billed_value);
        let objectives = differs(&|a, b| a.latency_objective == b.latency_objective);
        let most = used.iter().map(|o| o.billed_value).fold(0.0, f64::max);
        let tightest = used.iter().map(|o| o.latency_objective).min().unwrap_or(0);
        // Value decides before objectives: where each alone made a job high, at two operations all were.
        let high = |o: &Operation| match values {
            true => o.billed_value >= most,
            false => objectives && o.latency_objective <= tightest,
        };
        // House rule of the operators: further forwards go by billed value.
        let further = f64::from(settings.max_forwards - 1);
        let share = |o: &Operation| if most > 0.0 { (o.billed_value / most).min(1.0) } else { 1.0 };
        let linked: &[Pool] = match (settings.connections_are_priced, settings.size_source) {
            _ if settings.load_is_unknown() => &[],
            (true, _) => &[Pool::LinkedNear, Pool::Linked],
            (false, SizeSource::Live) => &[Pool::Linked],
            _ => &[],
        };
        let mut unkeyed = [linked, &[Pool::Near, Pool::All, Pool::Cold]].concat();
        if !settings.cross_zone_is_priced || settings.load_is_unknown() {
            unkeyed.retain(|pool| !matches!(pool, Pool::LinkedNear | Pool::Near));
        }
        self.high = ops.iter().map(high).collect();
        self.allowance = ops.iter().map(|o| 1 + (further * share(o).sqrt()).ceil() as u32).collect();
        self.tightest = tightest;
        let short = [&[Pool::Cold][..], &unkeyed].concat();
        self.pools = [unkeyed, short, vec![Pool::Homes, Pool::Cold]];
        // Until an operation has been seen to succeed, its objective is the best guess of its time.
        let guess = |o: &Operation| Recent { value: o.latency_objective as f64, noted_at: None };
        self.pace.extend(ops.iter().skip(self.pace.len()).map(guess));
        self.fullest.resize(ops.len(), 0);
        self.settings = settings;
        self.set_mean_pace();
        self.invs.values_mut().for_each(|inv| inv.pools = 0);
        for id in self.queue.values().cloned().collect::<Vec<Id>>() {
            if self.invs[&id].forwards >= self.allowance[self.invs[&id].operation] {
                self.give_up(&id);
            }
        }
    }

    /// The one entry point: what happened up to `now`, in order; what is to be done now, in order.
    pub fn decide(&mut self, now: Micros, happened: Vec<Event>) -> Vec<Action> {
        self.now = now;
        for event in happened {
            match event {
                Event::Arrival(arrival) => self.arrive(arrival),
                Event::ResponseStarted { invocation: inv, forward } => {
                    _ = self.sign(&inv, forward).map(|out| out.flowing = true)
                }
                Event::Started { invocation: inv, forward } => self.started(&inv, forward),
                Event::Progress { invocation: inv, forward } => _ = self.sign(&inv, forward),
                Event::Outcome(outcome) => self.outcome(outcome),
                Event::ClientLeft { invocation: inv } => self.close(&inv),
                Event::AnswerNow { invocation: inv } => self.give_up(&inv),
                Event::ProbeEnded { runner: tgt, alive, report } => self.probed(&tgt, alive, &report),
                Event::Roster(roster) => self.roster(roster),
                Event::SettingsChanged(settings) => self.retune(*settings),
                Event::SlowStartUsage(spent) => self.inherit(spent),
                Event::SlowStartShares(portions) => self.portions(portions),
                Event::TimerFired => self.armed = self.armed.split_off(&(now + 1)),
            }
        }
        while let Some(entry) = self.dues.first_entry().filter(|entry| entry.key().0 <= now) {
            match entry.remove() {
                Due::Look(inv) => self.look(&inv),
                Due::Ask if self.settings.must_subscribe && !self.following => {
                    self.todo.push(Action::Subscribe)
                }
                Due::Ask => {}
            }
        }
        self.place();
        if let Some(&(at, _)) = self.dues.keys().next()
            && self.armed.first().is_none_or(|armed| *armed > at)
        {
            // Armed for the next due only: hundreds of idle dispatchers that wake cost more than all decisions.
            self.armed.insert(at);
            self.todo.push(Action::SetTimer { after: (at - now).max(1) });
        }
        std::mem::take(&mut self.todo)
    }

    fn next_serial(&mut self) -> u64 {
        self.serial += 1;
        self.serial
    }

    fn due(&mut self, at: Micros, due: Due) -> (Micros, u64) {
        let key = (at, self.next_serial());
        self.dues.insert(key, due);
        key
    }

    /// Each invocation has one due time at most.
    fn watch(&mut self, id: &Id, at: Option<Micros>) {
        let due = at.map(|at| self.due(at, Due::Look(id.clone())));
        let Some(inv) = self.invs.get_mut(id) else { return };
        if let Some(before) = std::mem::replace(&mut inv.due, due) {
            self.dues.remove(&before);
        }
    }

    fn watch_queued(&mut self, id: &Id) {
        let Some(inv) = self.invs.get(id) else { return };
        let times = [inv.patience, inv.in_time, inv.heard_by, inv.rests_until];
        let next = times.into_iter().filter(|at| *at > self.now).min();
        self.watch(id, Some(next.unwrap_or(inv.patience)));
    }

    fn look(&mut self, id: &Id) {
        let Some(inv) = self.invs.get_mut(id) else { return };
        inv.due = None;
        if inv.out.is_some() {
            return self.stalled(id);
        }
        if self.now >= inv.patience {
            return self.give_up(id);
        }
        if self.now >= inv.in_time
            && let Some(place) = inv.place.take_if(|place| place.0 < LATE)
        {
            self.queue.remove(&place);
            return self.enqueue(id);
        }
        self.watch_queued(id);
    }

    // The roster.

    fn roster(&mut self, roster: Roster) {
        match roster.listing {
            Listing::Refused => {
                // A restarted fleet asks at once, and the registry fails whoever waits too long: asking again is
                // spread out and slows down, by a part of the span after which changes count as told (docs/design.md).
                self.following = false;
                self.failed_calls += 1;
                let most =
                    (100_000 << self.failed_calls.min(3)).min(self.settings.notification_deadline / 4).max(1);
                let after = most / 2 + self.chance.below(most as u64) as Micros;
                self.due(self.now + after, Due::Ask);
                return;
            }
            Listing::Changes | Listing::Local => {}
            Listing::All | Listing::Remembered => self.runners.iter_mut().for_each(|r| r.listed = false),
        }
        if matches!(roster.listing, Listing::All | Listing::Changes) {
            self.following = true;
            self.failed_calls = 0;
        }
        roster.entries.into_iter().for_each(|entry| self.enter(entry));
        let before = std::mem::take(&mut self.listed);
        self.listed = (0..self.runners.len()).filter(|r| self.runners[*r].listed).collect();
        if self.settings.roster_reports_load() {
            self.read_loads();
        }
        self.cold = self.listed.iter().copied().filter(|r| self.warmth(*r) < 1.0).collect();
        self.weight_all = self.listed.iter().map(|r| self.weight(*r)).sum();
        // Homes that are gone are passed over; ranks change only where there is somebody new to rank.
        if self.listed.iter().any(|r| before.binary_search(r).is_err()) {
            self.newcomers += 1;
            let bearing = |r: &usize| (self.runners[*r].hash, 1.0 / self.weight(*r), *r);
            self.bearings = self.listed.iter().map(bearing).collect();
        }
    }

    fn enter(&mut self, entry: RosterEntry) {
        let next = self.runners.len();
        let index = *self.by_id.entry(entry.runner.clone()).or_insert(next);
        if index == next {
            let (id, hash) = (entry.runner.clone(), hash(entry.runner.as_bytes()));
            self.runners.push(Runner { id, hash, launched: entry.launched, ..Runner::default() });
        }
        let runner = &mut self.runners[index];
        runner.listed = entry.readiness == Readiness::Up;
        runner.near = entry.zone == self.settings.own_zone;
        (runner.kind, runner.zone, runner.cell) = (entry.machine_type, entry.zone, entry.cell);
        runner.size_listed = entry.size;
        // Where it moves with load, the greatest seen is the nearest to that at rest.
        runner.size =
            if self.settings.roster_reports_load() { runner.size.max(entry.size) } else { entry.size };
        if runner.launched != entry.launched {
            // Restarted under its own id: what it did before says nothing of it now.
            runner.launched = entry.launched;
            runner.reported_at = None;
            (runner.good, runner.bad) = (0.0, 0.0);
            runner.bench_until = runner.bench_until.min(self.now);
        }
    }

    /// Sizes that move with load are the reports: what a runner holds a core is told by how far its size has
    /// sunk below that at rest, the greatest ever listed for its kind. What is not named has not changed.
    fn read_loads(&mut self) {
        let mut at_rest: BTreeMap<Id, f64> = BTreeMap::new();
        for runner in &self.runners {
            let most = at_rest.entry(runner.kind.clone()).or_default();
            *most = most.max(runner.size);
        }
        for r in self.listed.clone() {
            let runner = &mut self.runners[r];
            runner.size = at_rest[&runner.kind];
            let held = (runner.size / runner.size_listed.max(f64::MIN_POSITIVE) - 1.0).min(HELD_MOST);
            self.note_load(r, held * self.slots(r));
        }
    }

    // Invocations.

    fn arrive(&mut self, arrival: Arrival) {
        if let Some(budget) = &self.settings.retry_budget {
            self.rations.take(budget, self.now);
        }
        let op = &self.settings.operations[arrival.operation];
        let deadline = self.now + arrival.time_left;
        // A client's repeat comes with less time left than a first try; its objective runs from the first.
        let fullest = &mut self.fullest[arrival.operation];
        *fullest = arrival.time_left.max(*fullest);
        // The objective grows by the stretch, less what running takes on a slow machine: half as long again as hinted.
        let (service, own) =
            arrival.work_hint.map_or((self.pace[arrival.operation].value, 1.25), |hint| (hint as f64, 1.5));
        let slack = ((op.objective_stretch - own).max(0.0) * service) as Micros;
        let in_time = self.now + op.latency_objective + slack - (*fullest - arrival.time_left);
        let in_time = in_time.min(deadline - MARGIN);
        // Who waits longer than this keeps slots from work that could still be in time.
        let patience = in_time.max(self.now) + (op.late_value_share * op.latency_objective as f64) as Micros;
        let inv = Inv {
            operation: arrival.operation,
            deadline,
            in_time,
            patience: patience.min(deadline - MARGIN),
            slots: arrival.slots,
            hint: arrival.work_hint.unwrap_or_default() as f64,
            key: arrival.key.as_deref().map(|key| hash(key.as_bytes())),
            ..Inv::default()
        };
        if let Some(key) = inv.key {
            self.keys.note(key, self.now);
        }
        let admitted = self.admits(inv.operation, inv.in_time);
        self.invs.insert(arrival.invocation.clone(), inv);
        if admitted { self.enqueue(&arrival.invocation) } else { self.give_up(&arrival.invocation) }
    }

    /// Low work is let in by the share of draws that have a slot free. Without this, hundreds of dispatchers'
    /// low invocations ask so often that high ones seldom find the slot that has come free.
    fn admits(&mut self, operation: usize, in_time: Micros) -> bool {
        let late = in_time <= self.now;
        if self.free_share.noted_at.is_none() || self.high[operation] && !late {
            return true;
        }
        let (none, all) = self.let_in();
        let least = if self.settings.load_is_unknown() { ADMITTED_LEAST.1 } else { ADMITTED_LEAST.0 };
        let share = ((self.free_share.value - none) / (all - none)).clamp(least, 1.0);
        if late { share >= 1.0 } else { self.chance.happens(share) }
    }

    /// Whether it is forwards, taken or turned away, that tell of free slots: draws are not probed, or in vain.
    fn forwards_tell(&self) -> bool {
        self.settings.roster_reports_load()
            || self.settings.load_is_unknown()
            || self.settings.can_probe_load() && self.doubt > 0.0
    }

    /// The shares at which no low work, and at which all, is let in.
    fn let_in(&self) -> (f64, f64) {
        if self.forwards_tell() { TAKEN } else { SPARE }
    }

    /// Whether slots are short, by whatever tells.
    fn short(&self) -> bool {
        self.free_share.noted_at.is_some() && self.free_share.value < self.let_in().1
    }

    fn enqueue(&mut self, id: &Id) {
        let serial = self.next_serial();
        let Some(inv) = self.invs.get_mut(id) else { return };
        // Late work goes last: served first come first, a queue that once fell behind makes all late.
        let tier = if self.now >= inv.in_time { LATE } else { u8::from(!self.high[inv.operation]) };
        let place = (tier, inv.in_time, serial);
        inv.place = Some(place);
        self.queue.insert(place, id.clone());
        self.watch_queued(id);
    }

    /// The last word of an invocation that is not to be forwarded any more.
    fn give_up(&mut self, id: &Id) {
        let Some(inv) = self.invs.get(id).filter(|inv| !inv.answered) else { return };
        let op = &self.settings.operations[inv.operation];
        let harmless = match op.effect {
            Effect::Idempotent | Effect::Deduplicated(DeduplicationScope::All) => true,
            Effect::Deduplicated(_) | Effect::NonIdempotent => inv.bond.is_none() && inv.out.is_none(),
        };
        let come_back = self.settings.max_retry_after.map(|most| most.min(op.latency_objective));
        let inv = id.clone();
        self.todo.push(match harmless {
            true => Action::Throttle { invocation: inv, retry_after: come_back },
            false => Action::Error { invocation: inv },
        });
        self.close(id);
    }

    /// Nothing more is owed; a forward still out keeps its entry until it ends.
    fn close(&mut self, id: &Id) {
        let Some(inv) = self.invs.get_mut(id) else { return };
        inv.answered = true;
        if let Some(place) = inv.place.take() {
            self.queue.remove(&place);
        }
        let out = inv.out.is_some();
        self.watch(id, None);
        if out {
            self.cancel(id);
        } else {
            self.invs.remove(id);
        }
    }

    fn cancel(&mut self, id: &Id) {
        let Some(out) = self.invs.get_mut(id).and_then(|inv| inv.out.as_mut()) else { return };
        if self.settings.may_cancel && !out.cancelled && !out.flowing {
            out.cancelled = true;
            self.todo.push(Action::Cancel { invocation: id.clone(), forward: out.number });
        }
    }

    fn place(&mut self) {
        if self.queue.is_empty() {
            return;
        }
        let freed = std::mem::take(&mut self.freed);
        let waiting: Vec<Id> = self.queue.values().take(64).cloned().collect();
        let mut full = false;
        for id in waiting {
            let inv = &self.invs[&id];
            let bound = inv.bond.is_some() || self.settings.operations[inv.operation].machine_type.is_some();
            if full && !bound || self.now < inv.rests_until && !freed {
                continue;
            }
            if inv.forwards > 0 && !self.affords(inv.operation) {
                let eases =
                    self.settings.retry_budget.and_then(|budget| self.rations.eases(&budget, self.now));
                self.invs.entry(id.clone()).and_modify(|inv| inv.rests_until = eases.unwrap_or(0));
                self.watch_queued(&id);
                continue;
            }
            match self.seek(&id) {
                Some(tgt) => self.forward(&id, tgt),
                None => full |= !bound && self.invs[&id].rests_until > self.now,
            }
        }
    }

    /// Whether one more forward beyond an invocation's first is within the budget. The second half of what the
    /// window allows is kept for high work.
    fn affords(&self, operation: usize) -> bool {
        let Some(budget) = &self.settings.retry_budget else { return true };
        let (spent, allowed) = self.rations.spent(budget, self.now);
        spent + 1.0 <= allowed && (self.high[operation] || spent < allowed / 2.0)
    }

    fn forward(&mut self, id: &Id, tgt: usize) {
        let work = self.work(&self.invs[id]);
        let stall = self.silence_allowed(false);
        let Some(inv) = self.invs.get_mut(id) else { return };
        if let Some(place) = inv.place.take() {
            self.queue.remove(&place);
        }
        let (number, sent) = (inv.forwards, self.now);
        inv.forwards += 1;
        if let Some(budget) = self.settings.retry_budget.as_ref().filter(|_| number > 0) {
            self.rations.spend(budget, self.now);
        }
        (inv.pools, inv.heard_by, inv.rests_until) = (0, 0, 0);
        let runner = &mut self.runners[tgt];
        let dialled = runner.dials(self.now, self.settings.idle_timeout);
        let high = self.high[inv.operation];
        inv.out = Some(Forward { tgt, number, high, dialled, sent, sign: sent, ..Forward::default() });
        if runner.out == 0 {
            runner.silent_since = self.now;
        }
        runner.out += 1;
        runner.out_high += u32::from(high);
        self.out_all += 1;
        if dialled && !self.linked.contains(&tgt) {
            self.linked.push(tgt);
        }
        runner.spent.push_back((self.now, work));
        let op = &self.settings.operations[inv.operation];
        let remembered = inv.bond.as_ref().filter(|_| matches!(op.effect, Effect::Deduplicated(_)));
        let by = remembered.map(|bond| bond.since + op.deduplication_window - MARGIN);
        self.todo.push(Action::Forward { invocation: id.clone(), runner: runner.id.clone(), latest: by });
        if self.settings.roster_reports_load() && self.settings.can_probe_load() && runner.slots.is_none() {
            // The list tells of load in shares of slots, but not how many these are.
            self.probe(tgt);
        }
        self.watch(id, Some(self.now + stall));
        self.watch_start(id);
    }

    /// Where runners tell of starts, a forward that has not begun is looked at when it may move, and when it
    /// can no more be in time.
    fn watch_start(&mut self, id: &Id) {
        let Some(inv) = self.invs.get(id).filter(|_| self.settings.reports_start) else { return };
        let Some(out) = inv.out.as_ref().filter(|out| !out.started) else { return };
        let moves = out.sent + self.patience_to_start(inv, out);
        let at = if moves > self.now { moves.min(inv.in_time) } else { inv.in_time };
        if at > self.now {
            self.watch(id, Some(at));
        }
    }

    /// A forward that has to wait for a new connection is given longer: moves would dial again and again. So is
    /// one where many are turned away: a place in a queue is then worth keeping.
    fn patience_to_start(&self, inv: &Inv, out: &Forward) -> Micros {
        let objective = self.settings.operations[inv.operation].latency_objective;
        let taken = if self.free_share.noted_at.is_some() { self.free_share.value } else { 1.0 };
        if out.dialled { objective } else { (objective as f64 * (1.0 - taken * 2.0 / 3.0)) as Micros }
    }

    /// The forward that has shown life, if it is the one that is out.
    fn sign(&mut self, id: &Id, forward: u32) -> Option<&mut Forward> {
        let out = self.invs.get_mut(id)?.out.as_mut().filter(|out| out.number == forward)?;
        out.sign = self.now;
        self.runners[out.tgt].silent_since = self.now;
        Some(out)
    }

    fn started(&mut self, id: &Id, forward: u32) {
        let stall = self.silence_allowed(true);
        let Some(out) = self.sign(id, forward).filter(|out| !out.started) else { return };
        out.started = true;
        let (sent, dialled) = (out.sent, out.dialled);
        if self.settings.roster_reports_load() || self.settings.load_is_unknown() {
            // Where nothing tells of loads, what begins within an objective has found a slot soon enough.
            let soon = !self.settings.load_is_unknown() || self.now - sent <= self.tightest;
            self.free_share.note(f64::from(u8::from(soon)), 0.2, self.now);
        }
        self.watch(id, Some(self.now + stall));
        // One slowed runner's waits are to say nothing of the others'.
        let wait = (self.now - sent).min(self.tightest * 3 / 2) as f64;
        if dialled {
            self.dial_excess.note(wait - self.wait_mean.value, 0.1, self.now);
        } else {
            self.wait_mean.note(wait, 0.05, self.now);
        }
    }

    fn outcome(&mut self, outcome: Outcome) {
        let Some(inv) = self.invs.get_mut(&outcome.invocation) else { return };
        let Some(out) = inv.out.take_if(|out| out.number == outcome.forward) else { return };
        let operation = inv.operation;
        inv.left = Some(out.tgt).filter(|_| outcome.result == ForwardResult::Withdrawn);
        let answered = inv.answered || outcome.answered;
        let runner = &mut self.runners[out.tgt];
        runner.out -= 1;
        runner.out_high -= u32::from(out.high);
        runner.used_at = self.now;
        self.out_all -= 1;
        if matches!(outcome.result, ForwardResult::Unreachable | ForwardResult::Broken) {
            runner.links = 0;
            self.linked.retain(|r| *r != out.tgt);
        }
        let never_ran = matches!(
            outcome.result,
            ForwardResult::Overloaded | ForwardResult::Unreachable | ForwardResult::Void
        );
        if !never_ran && inv.bond.is_none() {
            let (zone, cell) = (runner.zone.clone(), runner.cell);
            inv.bond = Some(Bond { zone, cell, since: out.sent });
        }
        self.report(out.tgt, &outcome.report);
        // Where runners tell of starts these have been counted.
        let taken = outcome.result == ForwardResult::Succeeded && !self.settings.reports_start;
        if self.forwards_tell()
            && !self.settings.load_is_unknown()
            && (taken || outcome.result == ForwardResult::Overloaded)
        {
            self.free_share.note(f64::from(u8::from(taken)), 0.2, self.now);
        }
        if outcome.result == ForwardResult::Overloaded
            && let Some(free) = self.settings.free_slots(&outcome.report)
        {
            // Turned away as full with a report that shows a free slot: the report is late.
            self.weigh(if free > 0.5 { 2.1 } else { -0.14 });
        }
        self.judge(out.tgt, operation, &outcome);
        if answered { self.close(&outcome.invocation) } else { self.again(&outcome.invocation) }
    }

    /// Whether the forward that has ended is to be followed by another one.
    fn again(&mut self, id: &Id) {
        let Some(inv) = self.invs.get_mut(id) else { return };
        let op = &self.settings.operations[inv.operation];
        let mut until = inv.patience.max(self.now + op.latency_objective / 2).min(inv.deadline - MARGIN);
        match (&inv.bond, op.effect) {
            (None, _) | (Some(_), Effect::Idempotent) => {}
            (Some(bond), Effect::Deduplicated(_)) => {
                until = until.min(bond.since + op.deduplication_window - MARGIN)
            }
            (Some(_), Effect::NonIdempotent) => until = self.now,
        }
        if inv.forwards >= self.allowance[inv.operation] || self.now >= until {
            return self.give_up(id);
        }
        inv.patience = until;
        let (operation, in_time, moved) = (inv.operation, inv.in_time, inv.left.is_some());
        // Turned away, low work would else ask on at the cost of high work.
        let admitted = !self.forwards_tell() || moved || self.admits(operation, in_time);
        if admitted { self.enqueue(id) } else { self.give_up(id) }
    }

    // The design.

    /// A runner for this invocation, or none while probes are out or no draw has room.
    fn seek(&mut self, id: &Id) -> Option<usize> {
        let mut inv = self.invs.remove(id)?;
        let found = self.seek_drawn(&mut inv);
        self.invs.insert(id.clone(), inv);
        if found.is_none() {
            self.watch_queued(id);
        }
        found
    }

    fn seek_drawn(&mut self, inv: &mut Inv) -> Option<usize> {
        if inv.pools == 0 {
            inv.order = if inv.key.is_some() { 2 } else { usize::from(self.short()) };
        }
        loop {
            if inv.pools > 0 {
                if self.sound(inv) {
                    return None;
                }
                let pool = self.pools[inv.order][inv.pools - 1];
                if let Some(r) = self.least(inv).filter(|r| self.settles(pool, *r, inv)) {
                    return Some(r);
                }
            }
            let Some(pool) = self.pools[inv.order].get(inv.pools).copied() else {
                (inv.pools, inv.heard_by) = (0, 0);
                let tier = inv.place.map_or(LATE, |place| place.0);
                inv.rests_until = self.now + (RESTS[usize::from(tier)] * self.mean_pace) as Micros;
                return None;
            };
            self.draw(pool, inv);
        }
    }

    /// Whether the least of the draws will do, or the next pool is to be drawn from as well. Low work waits
    /// here, not in runners: there it would take the few waiting places from high work.
    fn settles(&self, pool: Pool, r: usize, inv: &Inv) -> bool {
        let free = self.has_slot(r);
        let will_do = free || !self.probes_tell() || inv.place.is_some_and(|place| place.0 == 0);
        let enough = inv.drawn.len() >= self.wanted(inv);
        match pool {
            Pool::Homes => true,
            Pool::LinkedNear => enough && free,
            Pool::Linked => enough && will_do,
            // Late averages do not tell when a zone of its own runs short.
            Pool::Near => free && !self.settings.roster_reports_load(),
            Pool::All => free,
            Pool::Cold => will_do,
        }
    }

    /// Jobs are whole, but reports are noisy: 2.97 of 3 slots taken is a full runner, and by count below slots
    /// every other full one would look free, to all dispatchers at once. What the list tells is an average.
    fn has_slot(&self, r: usize) -> bool {
        let least = if self.settings.roster_reports_load() { f64::MIN_POSITIVE } else { 0.5 };
        self.slots(r) - self.count(r) >= least
    }

    fn probes_tell(&self) -> bool {
        self.settings.can_probe_load() && !self.settings.roster_reports_load() && self.doubt <= 0.0
    }

    /// Whether a new connection is priced, or has been seen to take a good part of an objective.
    fn dialling_costs(&self) -> bool {
        let excess = self.dial_excess.at(self.now, FADES * self.mean_pace);
        self.settings.connections_are_priced || excess > self.tightest as f64 * DIAL_SLOW
    }

    fn wanted(&self, inv: &Inv) -> usize {
        if self.high[inv.operation] { D2 } else { D1 }
    }

    fn draw(&mut self, pool: Pool, inv: &mut Inv) {
        if inv.pools == 0 {
            inv.drawn.clear();
            inv.spare = None;
        }
        inv.pools += 1;
        inv.heard_by = 0;
        let mut from = match (pool, inv.key) {
            (Pool::Homes, Some(key)) => self.homes(key, inv),
            (Pool::LinkedNear | Pool::Linked, _) if !self.dialling_costs() => Vec::new(),
            (Pool::LinkedNear | Pool::Linked, _) => {
                let used = self.now - self.settings.idle_timeout;
                self.linked.retain(|r| self.runners[*r].out > 0 || self.runners[*r].used_at > used);
                self.linked.clone()
            }
            (Pool::Cold, _) => {
                let cold = std::mem::take(&mut self.cold);
                self.cold = cold.into_iter().filter(|r| self.warmth(*r) < 1.0).collect();
                self.cold.clone()
            }
            _ => self.listed.clone(),
        };
        if pool == Pool::Homes && from.len() > 1 {
            inv.spare = from.pop();
        }
        let mut wanted = self.wanted(inv);
        while wanted > 0 && !from.is_empty() {
            let r = from.swap_remove(self.pick(&from));
            let fits = match pool {
                Pool::LinkedNear | Pool::Near => self.runners[r].near,
                // Unpriced, a connection is worth keeping to only if it is free: else it would have to be dialled.
                Pool::Linked => {
                    self.settings.connections_are_priced || self.runners[r].links > self.runners[r].out
                }
                Pool::Homes | Pool::All | Pool::Cold => true,
            };
            // Only fresh word tells against a draw: a runner rejected on old word would not be heard again.
            let known = !self.probes_tell() || !self.stale(r);
            // Whoever has just been left for not starting is no better now.
            let drawn = inv.drawn.contains(&r) || inv.left == Some(r) && self.listed.len() > 1;
            if fits && !drawn && self.open(r, inv) && (!known || self.has_room(r, inv)) {
                inv.drawn.push(r);
                wanted -= 1;
            }
        }
        if pool == Pool::Homes {
            inv.drawn.extend(inv.spare);
        }
    }

    /// Where sizes move with load, draws go by them: whoever took the least of the late list would meet all others.
    fn pick(&mut self, from: &[usize]) -> usize {
        if !self.settings.roster_reports_load() && !self.settings.load_is_unknown() {
            return self.chance.below(from.len() as u64) as usize;
        }
        let weights: Vec<f64> = from.iter().map(|r| self.capacity(*r).max(1e-6)).collect();
        self.chance.weighted(&weights)
    }

    /// Where probes are allowed, draws with old reports are probed first: among many dispatchers own sends
    /// say next to nothing of a runner's load. True while answers may still come.
    fn sound(&mut self, inv: &mut Inv) -> bool {
        if !self.probes_tell() {
            return false;
        }
        let first = inv.heard_by == 0;
        if first {
            inv.heard_by = self.now + HEARING;
        }
        let mut out = false;
        for &r in &inv.drawn {
            if first && self.stale(r) {
                self.probe(r);
            }
            out |= self.runners[r].probing;
        }
        out && self.now < inv.heard_by
    }

    fn probe(&mut self, r: usize) {
        let runner = &mut self.runners[r];
        if !std::mem::replace(&mut runner.probing, true) {
            self.todo.push(Action::Probe { runner: runner.id.clone() });
        }
    }

    /// Pod-SSP among the draws, which stand in the order of chance.
    fn least(&mut self, inv: &Inv) -> Option<usize> {
        let mut best: Option<(f64, f64, usize)> = None;
        for &r in &inv.drawn {
            // What was drawn to be probed, and is not heard, has its turns at most.
            let unheard = self.stale(r) && !self.within_cold_budget(r, self.work(inv));
            let passed_over = self.probes_tell() && (self.runners[r].probing || unheard);
            if passed_over || !self.open(r, inv) || !self.has_room(r, inv) {
                continue;
            }
            let high = self.high[inv.operation];
            let first = if high { f64::from(self.runners[r].out_high) / self.slots(r) } else { 0.0 };
            let fetch = if inv.spare == Some(r) { FETCH } else { 0.0 };
            // Where no load is told the order of chance, which goes by size, decides among equals.
            let own = if self.settings.load_is_unknown() { 0.0 } else { 1.0 };
            let load = (self.guess(r) + own + fetch) / self.capacity(r);
            if best.is_none_or(|best| (first, load) < (best.0, best.1)) {
                best = Some((first, load, r));
            }
        }
        best.map(|(_, _, r)| r)
    }

    /// A runner must fetch what a key needs unless it has it, and one store serves all fetches. Every dispatcher finds
    /// the same homes for a key by hashing, and as many as the key's share of the work asks for: a popular key would
    /// swamp a single home unseen. The last one returned is the next home by hash.
    fn homes(&mut self, key: u64, inv: &Inv) -> Vec<usize> {
        let mut length = 8;
        loop {
            self.rank_homes(key, length);
            let Some(known) = self.keys.by_hash.get(&key) else { return Vec::new() };
            // Less the use that made it known: one use seen among few is no popularity.
            let share = (known.count - 1.0).max(0.0) / self.keys.uses;
            let mut missing = HOMES * share * self.weight_all;
            // Own forwards out bound a home before any report could, more strictly where work would wait.
            let fair = |r: &&usize| {
                let share = f64::from(self.out_all + 1) * self.weight(**r) / self.weight_all;
                let bound = if self.has_slot(**r) { HOME_BOUND } else { 1.0 };
                f64::from(self.runners[**r].out) + 1.0 <= (bound * share).ceil() && self.open(**r, inv)
            };
            let mut homes = Vec::new();
            for &r in known.homes.iter().filter(fair) {
                homes.push(r);
                if missing <= 0.0 && homes.len() > 1 {
                    return homes;
                }
                missing -= self.weight(r);
            }
            if known.homes.len() >= self.bearings.len() {
                return homes;
            }
            length = 4 * known.homes.len();
        }
    }

    /// Sees that so many homes of a key are known.
    fn rank_homes(&mut self, key: u64, length: usize) {
        let length = length.min(self.bearings.len());
        let Some(known) = self.keys.by_hash.get_mut(&key) else { return };
        if known.newcomers == self.newcomers && known.homes.len() >= length {
            return;
        }
        known.homes = first(key, &self.bearings, length);
        known.newcomers = self.newcomers;
    }

    /// Whether a runner may be drawn for this invocation.
    fn open(&self, r: usize, inv: &Inv) -> bool {
        let runner = &self.runners[r];
        let op = &self.settings.operations[inv.operation];
        let fits = runner.listed
            && op.machine_type.as_ref().is_none_or(|kind| *kind == runner.kind)
            && match (&inv.bond, op.effect) {
                (Some(bond), Effect::Deduplicated(DeduplicationScope::Zone)) => bond.zone == runner.zone,
                (Some(bond), Effect::Deduplicated(DeduplicationScope::Cell)) => bond.cell == runner.cell,
                _ => true,
            };
        fits && self.now >= runner.bench_until.max(runner.full_until)
            && !(runner.on_trial && runner.out > 0)
            && !self.silent(r, false)
            && (self.within_cold_budget(r, self.work(inv)) || self.holds_little(r, self.work(inv)))
    }

    /// Where probes keep counts fresh, waiting is done here rather than in a runner's few waiting places.
    /// Where the list tells loads, what it says is too old to bar anybody.
    fn has_room(&self, r: usize, inv: &Inv) -> bool {
        if self.settings.roster_reports_load() {
            return true;
        }
        let (slots, count) = (self.slots(r), self.count(r));
        let room = if self.settings.can_probe_load() {
            // Own forwards tell here when they end, so a job may as well wait here for their slots; where
            // others hold the slots, none would tell, and it waits in the runner.
            let others = 1.0 - f64::from(self.runners[r].out) / count.max(1.0);
            // Counts in doubt are averages: what seems just full may have a slot free, the likelier the more of it is own.
            let own = 1.0 / f64::from(self.settings.dispatchers.max(1));
            let guess = if self.probes_tell() { 0.0 } else { 0.5 + 0.5 * own.powi(4) };
            (slots * (self.warmth(r) + others * PLACES)).round().max(1.0) + guess
        } else {
            slots * self.warmth(r) + self.capacity(r) * self.tightest as f64 / self.mean_pace
        };
        count + inv.slots <= room.max(inv.slots)
    }

    /// All-class count: own forwards out and what the latest report leaves for others. As it ages, the jobs counted end:
    /// then only that runner's usual figure says more, and in the long run the fleet's mean, or one once full would be
    /// shunned for good.
    fn count(&self, r: usize) -> f64 {
        let runner = &self.runners[r];
        let mean = self.others_mean.at(self.now, 8.0 * self.mean_pace) * self.capacity(r);
        let age = self.age(r) / self.mean_pace;
        let usual = mean + (-age / FADES).exp() * (runner.others_usual.max(0.0) - mean);
        let others = match runner.reported_at {
            None => mean,
            // While reports are late, one runner's say little; the fleet's mean still holds.
            Some(_) if self.doubt > 0.0 || self.settings.roster_reports_load() => (usual + mean) / 2.0,
            Some(_) => usual + (-age).exp() * (runner.others - usual),
        };
        f64::from(runner.out) + others.max(0.0)
    }

    /// A count that may be true. An average is off by about its root at any time, and where all hear the same
    /// late list, who went by its figures as they stand would meet all others.
    fn guess(&mut self, r: usize) -> f64 {
        let count = self.count(r);
        if !self.settings.roster_reports_load() {
            return count;
        }
        (count + count.max(1.0).sqrt() * self.chance.normal()).max(f64::from(self.runners[r].out))
    }

    fn age(&self, r: usize) -> f64 {
        self.runners[r].reported_at.map_or(f64::MAX, |at| (self.now - at) as f64)
    }

    fn stale(&self, r: usize) -> bool {
        self.age(r) > STALE * self.mean_pace
    }

    fn set_mean_pace(&mut self) {
        let used = self.settings.operations.iter().zip(&self.pace).filter(|(op, _)| op.in_use);
        let paces: Vec<f64> = used.map(|(_, pace)| pace.value).collect();
        self.mean_pace = (paces.iter().sum::<f64>() / (paces.len() as f64).max(1.0)).max(1.0);
    }

    fn slots(&self, r: usize) -> f64 {
        self.runners[r].slots.unwrap_or(if self.least_slots > 0.0 { self.least_slots } else { 1.0 })
    }

    /// What a count is weighed by: the registered size, or else slots; less what is still cold.
    fn capacity(&self, r: usize) -> f64 {
        self.weight(r) * self.warmth(r)
    }

    fn weight(&self, r: usize) -> f64 {
        let size = self.runners[r].size;
        if self.settings.size_source != SizeSource::Unknown && size > 0.0 { size } else { self.slots(r) }
    }

    // Cold runners.

    /// The share of its full capacity that a runner surely has.
    fn warmth(&self, r: usize) -> f64 {
        let Some(launched) = self.runners[r].launched else { return 1.0 };
        let age = (self.now - launched).max(0) as f64 / self.settings.warm_up_span.max(1) as f64;
        (self.settings.cold_capacity_share + (1.0 - self.settings.cold_capacity_share) * age).min(1.0)
    }

    /// While heavy work fails the pace is that of light work, so what the client tells counts where it is more.
    fn work(&self, inv: &Inv) -> f64 {
        self.pace[inv.operation].value.max(inv.hint) * inv.slots
    }

    /// What all dispatchers together may send a cold runner in the span that the rule looks at.
    fn cold_budget(&self, r: usize) -> f64 {
        let most = self.settings.overload_factor * self.warmth(r) * self.slots(r);
        most * self.settings.overload_window as f64 * COLD_CAUTION
    }

    /// An even share of it, or the portion agreed on. Where a share is less than one job, dispatchers take turns by
    /// their own numbers, a time slice each, at whole jobs. Two slices touch any span, so each has half the budget.
    fn within_cold_budget(&self, r: usize, work: f64) -> bool {
        if self.warmth(r) >= 1.0 {
            return true;
        }
        let (span, budget) = (self.settings.overload_window.max(1), self.cold_budget(r));
        let runner = &self.runners[r];
        let (by_portions, by_turns) = if self.settings.slow_start_is_shared { PORTIONED } else { (0.0, 1.0) };
        let portion = runner.portion(self.now, self.settings.dispatchers) * by_portions * budget;
        let share = by_turns * budget / f64::from(self.settings.dispatchers);
        let spent = runner.spent_since(self.now - span) + work;
        if spent <= portion || share >= work {
            return spent <= portion.max(share);
        }
        let slice = self.now.div_euclid(span);
        let turns = (self.mean_pace / (share / 2.0)).ceil();
        let turn = (slice as u64)
            .wrapping_add(runner.hash >> 32)
            .wrapping_add(self.settings.dispatcher_index.into());
        let most = portion + turns * share / 2.0;
        turn % (turns as u64).max(1) == 0 && runner.spent_since(slice * span) + work <= most
    }

    /// What a runner is sent in a span is what it does in it, its capacity at most, and what it holds at its end: safe
    /// while it holds no more than the rule leaves beyond its capacity, some jobs that others may be sending it now
    /// counted in, and only by word known to be prompt. One with no fresh word may be drawn, to be probed.
    fn holds_little(&self, r: usize, work: f64) -> bool {
        if !self.probes_tell() || self.proven < PROVEN || self.age(r) > HEARING as f64 && !self.stale(r) {
            return false;
        }
        let held = if self.stale(r) { 0.0 } else { self.count(r) };
        let most = (self.settings.overload_factor - 1.0) * self.warmth(r) * self.slots(r);
        (held + MEANWHILE) * self.mean_pace + work
            <= most * self.settings.overload_window as f64 * COLD_CAUTION
    }

    // What runners show of themselves.

    fn report(&mut self, r: usize, values: &[f64]) {
        let of = [ReportField::InFlight, ReportField::FreeSlots, ReportField::Waiting];
        let [inflight, free, waiting] = of.map(|field| self.settings.field(values, field));
        let runner = &mut self.runners[r];
        runner.spent.retain(|(at, _)| *at >= self.now - self.settings.overload_window);
        let Some(inflight) = inflight else { return };
        if let Some(free) = free.filter(|free| *free > 0.5 || waiting.is_some()) {
            let seen = (free + inflight - waiting.unwrap_or(0.0)).round().max(1.0);
            let slots = runner.slots.map_or(seen, |slots| slots + 0.2 * (seen - slots));
            runner.slots = Some(slots);
            self.least_slots = if self.least_slots > 0.0 { self.least_slots.min(slots) } else { slots };
        }
        if self.settings.roster_reports_load() {
            return;
        }
        let settled = self.note_load(r, inflight);
        if settled > 0.0 {
            // A fresh report counts at least what has long been there; one that does not is late.
            self.weigh(if inflight + 0.5 < settled { 2.3 } else { -0.1 });
        }
    }

    /// What a runner is said to hold. Gives the own forwards that this must count.
    fn note_load(&mut self, r: usize, held: f64) -> f64 {
        let settled = self.runners[r].holds(held, self.now, SETTLED);
        let level = self.runners[r].others.max(0.0) / self.weight(r);
        self.others_mean.note(level, 0.05, self.now);
        settled
    }

    /// Evidence on whether reports come late, in log-odds; neither belief grows too firm to turn.
    fn weigh(&mut self, evidence: f64) {
        self.doubt = (self.doubt + evidence).clamp(-FIRMEST, FIRMEST);
        self.proven = if evidence > 0.0 { 0 } else { self.proven.saturating_add(1) };
    }

    fn judge(&mut self, r: usize, operation: usize, outcome: &Outcome) {
        let now = self.now;
        let (mean_pace, slots) = (self.mean_pace, self.slots(r));
        let runner = &mut self.runners[r];
        runner.fade(now, HEALTH_MEMORY);
        match outcome.result {
            ForwardResult::Succeeded => {
                runner.good += 1.0;
                runner.silent_since = now;
                runner.on_trial = false;
                runner.full_until = now;
                runner.bench_count = 0;
                self.freed = true;
                let pace = &mut self.pace[operation];
                // One slowed runner's times are to say little of the others'.
                pace.note((outcome.elapsed as f64).min(4.0 * pace.value), 0.05, now);
                self.set_mean_pace();
            }
            // A connection that breaks may say nothing of its runner: one that is down refuses the next dial.
            ForwardResult::Errored | ForwardResult::Broken => {
                runner.bad += 1.0;
                runner.silent_since = now;
                if runner.bad <= 1.5 {
                    return;
                }
                let mut shares: Vec<f64> = self.listed.iter().map(|r| self.runners[*r].failing()).collect();
                shares.sort_by(f64::total_cmp);
                let median = shares.get(shares.len().saturating_sub(1) / 2).copied().unwrap_or(0.0);
                if self.runners[r].failing() > median + FAILURES_OVER_MEDIAN {
                    self.bench(r, "errors");
                }
            }
            ForwardResult::Unreachable => {
                // Where all dials are slow, one that took too long says nothing against its runner.
                let slow = outcome.elapsed as f64 > self.tightest as f64 * DIAL_SLOW;
                if slow && !self.settings.connections_are_priced {
                    self.dial_excess.note(outcome.elapsed as f64, 0.1, now);
                }
                if !(slow && self.dialling_costs() && self.runners[r].silent_since > now - outcome.elapsed) {
                    self.bench(r, "no connection");
                }
            }
            ForwardResult::Overloaded => {
                runner.silent_since = now;
                runner.full_until = now + (mean_pace / slots) as Micros;
            }
            ForwardResult::TimedOut | ForwardResult::Withdrawn | ForwardResult::Void => {}
        }
    }

    fn bench(&mut self, r: usize, why: &str) {
        let runner = &mut self.runners[r];
        if self.now < runner.bench_until {
            return;
        }
        let span = (BENCH << runner.bench_count.min(8)).min(BENCH_MOST);
        runner.bench_until = self.now + span;
        runner.bench_count += 1;
        runner.on_trial = true;
        self.todo.push(Action::Log(format!("{} set aside for {} ms: {why}", runner.id, span / 1000)));
    }

    /// Listed runners that are set aside at this time.
    pub fn ejected_runners(&self, now: Micros) -> usize {
        self.listed.iter().filter(|r| now < self.runners[**r].bench_until).count()
    }

    /// How long a runner may show no sign of life. Progress is told at a known gap, so its lack tells a hang sooner than
    /// any time-out. What has not begun owes none: where no load is told it waits in the runner, and looks like a hang.
    fn silence_allowed(&self, begun: bool) -> Micros {
        let told = self.settings.progress_interval * 3 / 2;
        if told > 0 && (begun || !self.settings.load_is_unknown()) {
            return told;
        }
        told.max(4 * self.pace.iter().map(|pace| pace.value).fold(0.0, f64::max) as Micros)
    }

    fn silent(&self, r: usize, begun: bool) -> bool {
        let runner = &self.runners[r];
        runner.out > 0 && self.now - runner.silent_since >= self.silence_allowed(begun)
    }

    fn stalled(&mut self, id: &Id) {
        let Some(inv) = self.invs.get(id).filter(|inv| !inv.answered) else { return };
        let Some(out) = inv.out.as_ref().filter(|out| !out.flowing && !out.cancelled) else { return };
        // Where no load is told a move is a guess as good as the first, and a cancel that stops nothing makes two
        // jobs of one: no setting says whether it does.
        let unbegun = self.settings.reports_start && !out.started && !self.settings.load_is_unknown();
        if unbegun && self.now >= inv.in_time && self.settings.may_cancel {
            // Not begun, and late whatever comes: to go on would take a slot from what can still be in time.
            return self.give_up(id);
        }
        let op = &self.settings.operations[inv.operation];
        let since = inv.bond.as_ref().map_or(out.sent, |bond| bond.since);
        let may_go = match op.effect {
            Effect::Idempotent => true,
            Effect::Deduplicated(_) => self.now < since + op.deduplication_window - 2 * MARGIN,
            Effect::NonIdempotent => false,
        };
        if !(may_go && self.settings.may_cancel && inv.forwards < self.allowance[inv.operation]) {
            return self.watch_start(id);
        }
        let (tgt, begun, allowed) = (out.tgt, out.started, self.silence_allowed(out.started));
        if !self.affords(inv.operation) {
            return self.watch(id, Some(self.now + allowed / 4));
        }
        if unbegun {
            return self.cancel(id);
        }
        if self.silent(tgt, begun) && self.now - out.sign >= allowed {
            self.cancel(id);
            self.bench(tgt, "silent");
        } else {
            self.watch(id, Some(self.now + allowed / 4));
        }
    }

    fn probed(&mut self, id: &Id, alive: bool, report: &[f64]) {
        let Some(&r) = self.by_id.get(id) else { return };
        self.runners[r].probing = false;
        if !alive && !self.settings.roster_reports_load() {
            return self.bench(r, "no answer to a probe");
        }
        self.report(r, report);
        if let Some(free) = self.settings.free_slots(report).filter(|_| !self.forwards_tell()) {
            self.free_share.note(f64::from(u8::from(free > 0.5)), 0.05, self.now);
        }
    }
}
