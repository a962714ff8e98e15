//! The world in virtual time: the module of decisions in process, and everything round it as events on a heap.
//!
//! It owns the clock, the links' messages, and the part that the desk has on sockets: numbers of forwards, what
//! is out, what is owed. It must never decide what a dispatcher does, never iterate in hash order where that
//! could show, and never let the wall clock into a result: the same scenario and seed give the same bytes.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::rc::Rc;
use std::time::{Duration, Instant};

use rand::RngExt;
use rand_pcg::Pcg32;
use rustc_hash::FxHashMap;
use topazsail::{
    Action, Arrival, Event, ForwardResult, Id, Listing, Micros, Outcome as Ended, Readiness, Roster,
    RosterEntry, Settings,
};

use crate::judge::{FinalStatus, ForwardEnd, Judge, JudgeParameters, Observation};
use crate::load::{self, ArrivalGenerator, ClientRequest, retry_time, seeded_generator};
use crate::policy::{DecisionMaker, Policy, new_decider, runner_number};
use crate::runner::{JobEvent, LoadReport, OfferResult, ProcessState};
use crate::scenario::{DispatcherParameters, Scenario};
use crate::start::Start;
use crate::talk::{Datagram, Talk};
use crate::tally::{Outcome, RequestResult, RunDetails, RunnerOutcome, Tally, round};
use crate::world::{Change, ListingState, World};

/// An answer on its way when the client's time ends is as good as none; as the dispatcher on sockets has it.
const WAY_BACK: Micros = 20_000;
/// The machine's agent tells of a process that died after so long.
const AGENT: Micros = 100_000;
/// How far dispatchers lie apart in hearing of a change.
const HEARS_WITHIN: Micros = 100_000;
/// New connections go on coming for so long after SIGTERM.
const TERM_NOTICED: Micros = 300_000;
/// How much time the heap holds at once.
const STRETCH: Micros = 50_000;
/// Bits of an invocation's number that count its client's tries.
const TRY_BITS: u32 = 4;

/// One life of one dispatcher; what is meant for an earlier one is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Incarnation {
    d: u32,
    epoch: u32,
}

#[derive(Clone, Debug)]
enum Ev {
    /// The next arrival that the clients bring.
    Bring,
    /// An invocation has reached its dispatcher.
    Reach(u64, u32),
    /// A try's end has reached its client.
    Back(u64, load::AttemptResult),
    Retry(u64),
    GiveUp(u64),
    /// A dispatcher's due time for an invocation.
    Overdue(Incarnation, u64),
    Dialled(Incarnation, u64, u32, u32),
    /// A forward's last byte has reached its runner.
    Submit(Incarnation, u64, u32, u32),
    /// The connection of a forward is free again.
    Free(Incarnation, u32),
    Heard(Incarnation, u64, u32, ForwardResult, Option<LoadReport>),
    Progress(Incarnation, u64, u32),
    Cancel(Incarnation, u64, u32, u32),
    Probe(Incarnation, u32, u64),
    Probed(Incarnation, u32, u64, Option<LoadReport>),
    RunnerDue(u32, u32),
    Tick(Incarnation),
    /// A dispatcher's round of words to the others.
    Round(Incarnation),
    /// To whom, from whom.
    Datagram(u32, u32, Rc<[u8]>),
    Change(usize),
    Listed(u32, ListingState),
    Tell(Incarnation, u32, ListingState),
    Call(Incarnation),
    TellAll(Incarnation),
    Refused(Incarnation),
    /// The front's view of a dispatcher's life.
    Front(Incarnation, bool),
    /// The front notices that a dispatcher stands still, if it still does.
    Missed(Incarnation),
    Sample,
}

struct At(Micros, u64, Ev);

impl PartialEq for At {
    fn eq(&self, other: &At) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}
impl Eq for At {}
impl PartialOrd for At {
    fn partial_cmp(&self, other: &At) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for At {
    fn cmp(&self, other: &At) -> std::cmp::Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}

struct Sent {
    /// Its bytes have left: no new connection has to come up for it any more.
    left: bool,
    runner: u32,
    at: Micros,
    out: bool,
}

struct Open {
    id: Id,
    at: Micros,
    answered: bool,
    sent: Vec<Sent>,
}

struct Dispatcher {
    decide: Box<dyn DecisionMaker>,
    alive: bool,
    epoch: u32,
    starts: u64,
    zone: usize,
    invs: FxHashMap<u64, Open>,
    /// Idle connections, and all, by runner.
    conns: FxHashMap<u32, (u32, u32)>,
    probes: FxHashMap<u32, u64>,
    subscribed: bool,
    /// What has come for it while its process stands still.
    still: Option<Vec<Ev>>,
    /// Where the scenario has a store: the stages of its start.
    start: Option<Start>,
    /// Where it has peers: what they say to one another.
    talk: Option<Talk>,
    /// When its process was last killed.
    killed_at: Option<Micros>,
}

struct Asked {
    ask: ClientRequest,
    tries: u32,
}

#[derive(Clone, Debug, Default)]
pub struct Options {
    /// Samples how many runners hold how many jobs, at this gap, after the first fifth of the run.
    pub sample_interval: Micros,
    /// Takes the wall clock's time round each call of the module: a figure for people, beside the outcome.
    pub measure_time: bool,
}

/// How often a runner was seen with at least so many jobs, as a share, from 0.
pub type Tails = Vec<f64>;

pub struct Run {
    pub outcome: Outcome,
    pub tails: Tails,
    /// Calls of the decision module, and the wall clock's time in them where it was asked for: for lists, and for
    /// all else.
    pub decisions: u64,
    pub decision_time: [Duration; 2],
}

struct Clock<'a> {
    scenario: &'a Scenario,
    seed: u64,
    policy: Policy,
    now: Micros,
    heap: BinaryHeap<Reverse<At>>,
    /// What is due later than the next stretch, by stretch: most of it are time-outs that come to nothing, and
    /// would make every step on the heap a deeper one.
    later: BTreeMap<Micros, Vec<At>>,
    serial: u64,
    world: World,
    dispatchers: Vec<Dispatcher>,
    settings: Vec<Settings>,
    /// Which dispatchers the front sends to.
    front: Vec<bool>,
    ids: Vec<Id>,
    asks: BTreeMap<u64, Asked>,
    brought: u64,
    bring: ArrivalGenerator,
    next: Option<ClientRequest>,
    /// Who waits for a job's end: its dispatcher's life, and the forward's number.
    owners: FxHashMap<(u32, u64), (Incarnation, u32)>,
    inbox: Vec<Vec<Ev>>,
    due: Vec<(Option<Micros>, u32)>,
    /// What waits for a cut link, with the zones at both ends.
    held: Vec<(usize, usize, Ev)>,
    states: Vec<ListingState>,
    busy_until: Micros,
    network: Pcg32,
    links: Pcg32,
    clients: Pcg32,
    judge: Judge,
    tally: Tally,
    /// Deduplicated work by its mark and group: when its effect first came.
    marks: FxHashMap<(u64, i64), Micros>,
    told: Vec<(u64, JobEvent)>,
    sampled: (u64, Vec<u64>),
    options: Options,
    decisions: u64,
    decision_time: [Duration; 2],
}

/// Plays a scenario with a policy from the first arrival to the last answer.
pub fn play(scenario: &Scenario, policy: Policy, seed: u64, options: Options) -> Result<Run, String> {
    let mut clock = Clock::new(scenario, policy, seed, options)?;
    clock.run();
    Ok(clock.finish())
}

impl<'a> Clock<'a> {
    fn new(scenario: &'a Scenario, policy: Policy, seed: u64, options: Options) -> Result<Clock<'a>, String> {
        let world = World::new(scenario, seed);
        let zones = &scenario.zones.names;
        let mut settings = Vec::new();
        // The settings go the way that they go on sockets, so that both clocks tell the same.
        for number in 0..scenario.dispatchers {
            let told = DispatcherParameters {
                number,
                zone: zones[number as usize % zones.len()].clone(),
                seed,
                listen: "127.0.0.1:1".to_owned(),
                discovery: "127.0.0.1:1".to_owned(),
                known: serde_json::Value::Null,
                store: None,
            };
            let decoded = topazsail_node::config::decode(&scenario.configuration(&told))?;
            let mut own_settings = decoded.decoded.settings;
            own_settings.slow_start_is_shared = scenario.store.as_ref().is_some_and(|store| store.peers);
            settings.push(own_settings);
        }
        let runners = world.runners.len();
        let places = world.places();
        let bring = ArrivalGenerator::new(scenario, world.capacity(), seed);
        Ok(Clock {
            scenario,
            seed,
            policy,
            now: 0,
            heap: BinaryHeap::new(),
            later: BTreeMap::new(),
            serial: 0,
            dispatchers: Vec::new(),
            front: vec![true; scenario.dispatchers as usize],
            ids: (0..runners).map(|r| Id::from(format!("r{r}"))).collect(),
            asks: BTreeMap::new(),
            brought: 0,
            bring,
            next: None,
            owners: FxHashMap::default(),
            inbox: (0..runners).map(|_| Vec::new()).collect(),
            due: vec![(None, 0); runners],
            held: Vec::new(),
            states: vec![ListingState::Up; runners],
            busy_until: 0,
            network: seeded_generator(seed, 5),
            links: seeded_generator(seed, 7),
            clients: seeded_generator(seed, 6),
            judge: Judge::new(JudgeParameters::of(scenario, places, 0, 0)),
            tally: Tally::new(scenario),
            marks: FxHashMap::default(),
            told: Vec::new(),
            sampled: (0, Vec::new()),
            options,
            decisions: 0,
            decision_time: [Duration::ZERO; 2],
            settings,
            world,
        })
    }

    fn push(&mut self, at: Micros, ev: Ev) {
        self.serial += 1;
        let (at, stretch) = (At(at, self.serial, ev), at.div_euclid(STRETCH));
        if stretch > self.now.div_euclid(STRETCH) {
            self.later.entry(stretch).or_default().push(at);
        } else {
            self.heap.push(Reverse(at));
        }
    }

    /// The next event in order.
    fn pop(&mut self) -> Option<At> {
        if self.heap.is_empty()
            && let Some((_, due)) = self.later.pop_first()
        {
            self.heap = due.into_iter().map(Reverse).collect::<Vec<_>>().into();
        }
        self.heap.pop().map(|Reverse(at)| at)
    }

    /// A message between two places: after the link's delay, or once a cut link is up again.
    fn send(&mut self, from: usize, to: usize, ev: Ev) {
        if self.world.linked(from, to) {
            let delay = self.delay(from, to);
            self.push(self.now + delay, ev);
        } else {
            self.held.push((from, to, ev));
        }
    }

    fn delay(&mut self, from: usize, to: usize) -> Micros {
        World::delay(self.scenario, from, to, self.network.random())
    }

    fn client_delay(&mut self) -> Micros {
        let zones = &self.scenario.zones;
        (zones.client.0 as f64 * (1.0 + zones.jitter * self.clients.random::<f64>())) as Micros
    }

    fn run(&mut self) {
        for d in 0..self.scenario.dispatchers {
            self.begin(d);
        }
        for at in 0..self.world.schedule.len() {
            self.push(self.world.schedule[at].0, Ev::Change(at));
        }
        if self.options.sample_interval > 0 {
            self.push(self.scenario.length.0 / 5, Ev::Sample);
        }
        self.next = self.bring.next();
        if let Some(ask) = &self.next {
            self.push(ask.at, Ev::Bring);
        }
        let longest = self.scenario.operation.iter().map(|op| op.client_timeout.0).max().unwrap_or(0);
        let end = self.scenario.length.0 + longest + 5_000_000;
        while let Some(At(at, _, ev)) = self.pop() {
            if at > end || self.next.is_none() && self.asks.is_empty() && at > self.scenario.length.0 {
                break;
            }
            self.now = at;
            self.step(ev);
        }
    }

    /// Whom an event is for, where a process that stands still does not get it.
    fn meant_for(ev: &Ev) -> Option<u32> {
        match ev {
            Ev::Reach(_, d) | Ev::Datagram(d, ..) => Some(*d),
            Ev::Overdue(life, _)
            | Ev::Dialled(life, ..)
            | Ev::Free(life, _)
            | Ev::Heard(life, ..)
            | Ev::Progress(life, ..)
            | Ev::Probed(life, ..)
            | Ev::Tick(life)
            | Ev::Round(life)
            | Ev::Tell(life, ..)
            | Ev::TellAll(life)
            | Ev::Refused(life) => Some(life.d),
            _ => None,
        }
    }

    fn step(&mut self, ev: Ev) {
        let held = Clock::meant_for(&ev).and_then(|d| self.dispatchers[d as usize].still.as_mut());
        if let Some(held) = held {
            return held.push(ev);
        }
        match ev {
            Ev::Bring => self.bring(),
            Ev::Reach(inv, d) => self.reach(inv, d),
            Ev::Back(inv, seen) => self.back(inv, seen),
            Ev::Retry(ask) => self.try_it(ask),
            Ev::GiveUp(ask) => self.end(ask, RequestResult::Nothing),
            Ev::Overdue(life, inv) => self.overdue(life, inv),
            Ev::Dialled(life, inv, number, r) => self.dialled(life, inv, number, r),
            Ev::Submit(..) | Ev::Cancel(..) | Ev::Probe(..) => self.at_runner(ev),
            Ev::Free(life, r) => {
                if let Some(dispatcher) = self.living(life)
                    && let Some((idle, _)) = dispatcher.conns.get_mut(&r)
                {
                    *idle += 1;
                }
            }
            Ev::Heard(life, inv, number, ending, load) => self.heard(life, inv, number, ending, load),
            Ev::Progress(life, inv, number) => {
                let open = self.living(life).and_then(|dispatcher| dispatcher.invs.get(&inv));
                if let Some(open) = open.filter(|open| open.sent[number as usize].out) {
                    let inv = open.id.clone();
                    self.tell(life.d, Event::Progress { invocation: inv, forward: number });
                }
            }
            Ev::Probed(life, r, nth, load) => {
                let Some(dispatcher) = self.living(life) else { return };
                if dispatcher.probes.get(&r) != Some(&nth) {
                    return;
                }
                dispatcher.probes.remove(&r);
                let (tgt, alive) = (self.ids[r as usize].clone(), load.is_some());
                self.tell(life.d, Event::ProbeEnded { runner: tgt, alive, report: report(load) });
            }
            Ev::RunnerDue(r, nth) => {
                if self.due[r as usize].1 == nth {
                    self.due[r as usize].0 = None;
                    self.wake(r);
                }
            }
            Ev::Tick(life) => {
                if self.living(life).is_some() {
                    self.tell(life.d, Event::TimerFired);
                }
            }
            Ev::Round(life) => self.round(life),
            Ev::Datagram(to, from, bytes) => {
                let now = self.now;
                let to = self.dispatchers[to as usize].alive.then_some(to);
                let Some((d, talk)) = to.and_then(|d| Some((d, self.dispatchers[d as usize].talk.as_mut()?)))
                else {
                    return;
                };
                let said = talk.heard(from, &bytes, now);
                self.say(d, said);
            }
            Ev::Change(nth) => self.change(nth),
            Ev::Listed(r, state) => self.list(r, state),
            Ev::Tell(life, r, state) => {
                if self.living(life).is_some_and(|dispatcher| dispatcher.subscribed) {
                    let wanted = state == ListingState::Up;
                    self.judge.observe(self.now, Observation::Told { dispatcher: life.d, runner: r, wanted });
                    let (now, launched) = (self.now, self.world.runners[r as usize].launched);
                    if let Some(start) = &mut self.dispatchers[life.d as usize].start {
                        start.list(std::iter::once((r, wanted, launched)), false, now);
                    }
                    let entries = vec![self.entry(r, state)];
                    self.tell(life.d, Event::Roster(Roster { listing: Listing::Changes, entries }));
                    self.portions(life.d);
                }
            }
            Ev::Call(life) => self.call(life),
            Ev::TellAll(life) => self.tell_all(life),
            Ev::Refused(life) => {
                let now = self.now;
                if let Some(dispatcher) = self.living(life) {
                    dispatcher.subscribed = false;
                    if let Some(start) = &mut dispatcher.start {
                        start.refused(now);
                    }
                    let roster = Roster { listing: Listing::Refused, entries: Vec::new() };
                    self.tell(life.d, Event::Roster(roster));
                }
            }
            Ev::Missed(life) => {
                if self.living(life).is_some_and(|dispatcher| dispatcher.still.is_some()) {
                    self.front[life.d as usize] = false;
                }
            }
            Ev::Front(life, up) => {
                if self.dispatchers[life.d as usize].epoch == life.epoch {
                    self.front[life.d as usize] = up;
                }
            }
            Ev::Sample => self.sample(),
        }
    }

    fn living(&mut self, life: Incarnation) -> Option<&mut Dispatcher> {
        self.dispatchers.get_mut(life.d as usize).filter(|d| d.alive && d.epoch == life.epoch)
    }

    fn life(&self, d: u32) -> Incarnation {
        Incarnation { d, epoch: self.dispatchers[d as usize].epoch }
    }

    // Words between dispatchers.

    fn round(&mut self, life: Incarnation) {
        let now = self.now;
        let Some(dispatcher) = self.living(life) else { return };
        let Some(talk) = &mut dispatcher.talk else { return };
        let said = talk.round(now);
        let due = talk.core.due();
        self.push(due, Ev::Round(life));
        self.portions(life.d);
        self.say(life.d, said);
    }

    /// Which portions of cold runners' budgets are a dispatcher's own.
    fn portions(&mut self, d: u32) {
        let now = self.now;
        let dispatcher = &mut self.dispatchers[d as usize];
        let (Some(start), Some(talk)) = (&dispatcher.start, &mut dispatcher.talk) else { return };
        let cold = start.cold(now).into_iter().map(|r| self.ids[r as usize].clone()).collect();
        let portions = talk.portions(cold, now);
        if !portions.is_empty() {
            self.tell(d, Event::SlowStartShares(portions));
        }
    }

    /// A dispatcher's datagrams leave, and what it has heard counts for the stages of its start.
    fn say(&mut self, d: u32, said: Vec<Datagram>) {
        for (to, bytes) in said {
            self.tally.traffic.datagrams += 1;
            self.tally.traffic.datagram_bytes += bytes.len() as u64;
            let bytes: Rc<[u8]> = bytes.into();
            let path = (d, to);
            for after in self.world.datagram_delays(self.scenario, path, self.now, &mut self.links) {
                self.push(self.now + after, Ev::Datagram(to, d, bytes.clone()));
            }
        }
        let now = self.now;
        let dispatcher = &mut self.dispatchers[d as usize];
        if let (Some(start), Some(talk)) = (&mut dispatcher.start, &dispatcher.talk)
            && start.asks()
        {
            start.agree(talk.core.agree(), now);
        }
    }

    // Clients.

    fn bring(&mut self) {
        let Some(ask) = self.next.take() else { return };
        let number = self.brought;
        self.brought += 1;
        self.push(ask.at + self.scenario.operation[ask.operation].client_timeout.0, Ev::GiveUp(number));
        self.asks.insert(number, Asked { ask, tries: 0 });
        self.try_it(number);
        self.next = self.bring.next();
        if let Some(ask) = &self.next {
            self.push(ask.at, Ev::Bring);
        }
    }

    fn try_it(&mut self, number: u64) {
        let Some(asked) = self.asks.get_mut(&number) else { return };
        asked.tries += 1;
        let inv = number << TRY_BITS | u64::from(asked.tries);
        let zone = asked.ask.zone;
        self.tally.traffic.tries += 1;
        let all = self.dispatchers.len();
        // Drawn from this try alone: one policy's answers are not to shift where others' clients go.
        let start = seeded_generator(self.seed ^ 0x5eed, inv).random_range(0..all);
        let order = || (0..all).map(|step| (start + step) % all).filter(|d| self.front[*d]);
        let near = order().find(|d| self.dispatchers[*d].zone == zone);
        let chosen = near.or_else(|| order().next());
        let delay = self.client_delay();
        match chosen {
            Some(d) => self.push(self.now + delay, Ev::Reach(inv, d as u32)),
            None => self.push(self.now + delay, Ev::Back(inv, load::AttemptResult::Untaken)),
        }
    }

    fn back(&mut self, inv: u64, seen: load::AttemptResult) {
        let number = inv >> TRY_BITS;
        let Some(asked) = self.asks.get(&number) else { return };
        if u64::from(asked.tries) != inv & ((1 << TRY_BITS) - 1) {
            return;
        }
        if seen == load::AttemptResult::Succeeded {
            return self.end(number, RequestResult::Succeeded);
        }
        match retry_time(self.scenario, self.seed, (number, &asked.ask), asked.tries, seen, self.now) {
            Some(at) => self.push(at, Ev::Retry(number)),
            None => self.end(
                number,
                match seen {
                    load::AttemptResult::Throttled(_) => RequestResult::Throttled,
                    load::AttemptResult::Errored => RequestResult::Errored,
                    _ => RequestResult::Nothing,
                },
            ),
        }
    }

    fn end(&mut self, number: u64, end: RequestResult) {
        if let Some(asked) = self.asks.remove(&number) {
            self.tally.record_end(&asked.ask, end, self.now - asked.ask.at);
        }
    }

    // What the desk does on sockets.

    fn reach(&mut self, inv: u64, d: u32) {
        let Some(asked) = self.asks.get(&(inv >> TRY_BITS)) else { return };
        if !self.dispatchers[d as usize].alive {
            let delay = self.client_delay();
            return self.push(self.now + delay, Ev::Back(inv, load::AttemptResult::Untaken));
        }
        let operation = asked.ask.operation;
        let gives_up = asked.ask.at + self.scenario.operation[operation].client_timeout.0;
        let key = asked.ask.key.map(|key| Id::from(format!("k{key}")));
        let id = Id::from(format!("{inv:x}"));
        let expires_in = gives_up - WAY_BACK - self.now;
        self.judge
            .observe(self.now, Observation::Taken { inv, dispatcher: d, operation, expires_at: gives_up });
        let open = Open { id: id.clone(), at: self.now, answered: false, sent: Vec::new() };
        self.dispatchers[d as usize].invs.insert(inv, open);
        if expires_in <= 0 {
            return self.answer(d, inv, FinalStatus::Throttled, None);
        }
        let now = self.now;
        let taken =
            self.dispatchers[d as usize].start.as_mut().map_or(Ok(()), |start| start.takes(operation, now));
        if let Err(come_back) = taken {
            return self.answer(d, inv, FinalStatus::Throttled, come_back);
        }
        let life = self.life(d);
        self.push(self.now + expires_in, Ev::Overdue(life, inv));
        self.tell(
            d,
            Event::Arrival(Arrival {
                invocation: id,
                operation,
                time_left: expires_in,
                slots: 1.0,
                work_hint: None,
                key,
            }),
        );
    }

    fn overdue(&mut self, life: Incarnation, inv: u64) {
        let now = self.now;
        let Some(dispatcher) = self.living(life) else { return };
        let Some(open) = dispatcher.invs.get_mut(&inv).filter(|open| !open.answered) else { return };
        if let Some(number) = open.sent.iter().position(|sent| sent.out) {
            open.sent[number].out = false;
            let (r, elapsed) = (open.sent[number].runner, now - open.sent[number].at);
            let id = open.id.clone();
            let zone = dispatcher.zone;
            self.send(zone, self.world.runners[r as usize].zone, Ev::Cancel(life, inv, number as u32, r));
            self.outcome(life.d, (inv, id), (number as u32, r), ForwardResult::TimedOut, elapsed, None);
        }
        // What the module has not ended by now gets its error all the same.
        if let Some(open) = self.dispatchers[life.d as usize].invs.get(&inv).filter(|open| !open.answered) {
            let id = open.id.clone();
            self.answer(life.d, inv, FinalStatus::Errored, None);
            self.tell(life.d, Event::ClientLeft { invocation: id });
        }
    }

    fn outcome(
        &mut self,
        d: u32,
        (inv, id): (u64, Id),
        (forward, r): (u32, u32),
        ending: ForwardResult,
        elapsed: Micros,
        load: Option<LoadReport>,
    ) {
        let mut finished = self.dispatchers[d as usize].invs.get(&inv).is_none_or(|open| open.answered);
        if ending == ForwardResult::Succeeded && !finished {
            finished = true;
            self.answer(d, inv, FinalStatus::Succeeded, None);
        }
        let tgt = self.ids[r as usize].clone();
        let ended = Ended {
            invocation: id,
            forward,
            runner: tgt,
            result: ending,
            answered: finished,
            elapsed,
            report: report(load),
        };
        self.tidy(d, inv);
        self.tell(d, Event::Outcome(ended));
    }

    /// Lets go of an invocation with nothing owed and nothing out.
    fn tidy(&mut self, d: u32, inv: u64) {
        let invs = &mut self.dispatchers[d as usize].invs;
        if invs.get(&inv).is_some_and(|open| open.answered && !open.sent.iter().any(|sent| sent.out)) {
            invs.remove(&inv);
        }
    }

    fn answer(&mut self, d: u32, inv: u64, how: FinalStatus, come_back: Option<Micros>) {
        let dispatcher = &mut self.dispatchers[d as usize];
        let Some(open) = dispatcher.invs.get_mut(&inv).filter(|open| !open.answered) else { return };
        open.answered = true;
        self.judge.observe(self.now, Observation::Answered { inv, how });
        let seen = match how {
            FinalStatus::Succeeded => load::AttemptResult::Succeeded,
            FinalStatus::Throttled => load::AttemptResult::Throttled(come_back),
            FinalStatus::Errored => load::AttemptResult::Errored,
        };
        let delay = self.client_delay();
        self.push(self.now + delay, Ev::Back(inv, seen));
        self.tidy(d, inv);
    }

    /// Tells the module one thing and does what it decides.
    fn tell(&mut self, d: u32, event: Event) {
        self.decisions += 1;
        let dispatcher = &mut self.dispatchers[d as usize];
        let began = self.options.measure_time.then(Instant::now);
        let about = usize::from(!matches!(event, Event::Roster(_)));
        let actions = dispatcher.decide.decide(self.now, event, &self.world.runners);
        self.decision_time[about] += began.map_or(Duration::ZERO, |began| began.elapsed());
        let life = self.life(d);
        for action in actions {
            match action {
                Action::Forward { invocation: inv, runner: tgt, .. } => self.forward(life, &inv, &tgt),
                Action::Cancel { invocation: inv, forward } => {
                    let inv = key(&inv);
                    let sent = self.dispatchers[d as usize].invs.get(&inv);
                    let sent = sent.and_then(|open| open.sent.get(forward as usize)).filter(|sent| sent.out);
                    let Some((r, left)) = sent.map(|sent| (sent.runner, sent.left)) else { continue };
                    if !left {
                        // As on sockets: what never got out is withdrawn at once, or an answer that comes
                        // meanwhile would be followed by a forward.
                        self.push(self.now, Ev::Heard(life, inv, forward, ForwardResult::Withdrawn, None));
                    } else {
                        self.tally.traffic.cancels += 1;
                        let (from, to) = self.ends(d, r);
                        self.send(from, to, Ev::Cancel(life, inv, forward, r));
                    }
                }
                Action::Throttle { invocation: inv, retry_after: come_back } => {
                    let now = self.now;
                    if let Some(start) = &mut self.dispatchers[d as usize].start {
                        start.short(now);
                    }
                    self.answer(d, key(&inv), FinalStatus::Throttled, come_back);
                }
                Action::Error { invocation: inv } => self.answer(d, key(&inv), FinalStatus::Errored, None),
                Action::Probe { runner: tgt } => self.probe(life, runner_number(&tgt)),
                Action::Subscribe => {
                    let zone = self.dispatchers[d as usize].zone;
                    self.send(zone, 0, Ev::Call(life));
                }
                Action::SetTimer { after } => self.push(self.now + after.max(1), Ev::Tick(life)),
                Action::Log(_) => {}
            }
        }
    }

    fn ends(&self, d: u32, r: u32) -> (usize, usize) {
        (self.dispatchers[d as usize].zone, self.world.runners[r as usize].zone)
    }

    fn forward(&mut self, life: Incarnation, id: &Id, tgt: &Id) {
        let (inv, r, now) = (key(id), runner_number(tgt), self.now);
        let dispatcher = &mut self.dispatchers[life.d as usize];
        let Some(open) = dispatcher.invs.get_mut(&inv) else { return };
        let number = open.sent.len() as u32;
        let sendable = !open.answered && !open.sent.iter().any(|sent| sent.out);
        open.sent.push(Sent { left: false, runner: r, at: now, out: sendable });
        if !sendable {
            return self.push(now, Ev::Heard(life, inv, number, ForwardResult::Void, None));
        }
        if let Some((idle, _)) = dispatcher.conns.get_mut(&r).filter(|(idle, _)| *idle > 0) {
            *idle -= 1;
            return self.leave(life, inv, number, r);
        }
        self.dial(
            life,
            r,
            Ev::Dialled(life, inv, number, r),
            Ev::Heard(life, inv, number, ForwardResult::Unreachable, None),
        );
    }

    /// Opens a connection: `up` once it is there, `never` where it never comes up.
    fn dial(&mut self, life: Incarnation, r: u32, up: Ev, never: Ev) {
        let (from, to) = self.ends(life.d, r);
        let there_and_back = self.delay(from, to) + self.delay(to, from);
        let runner = &self.world.runners[r as usize];
        // One way alone brings no connection up.
        let linked = self.world.linked(from, to) && self.world.linked(to, from);
        if runner.state == ProcessState::Silent || !linked {
            self.push(self.now + self.scenario.limits.dial_timeout.0, never);
        } else if runner.state == ProcessState::Down || runner.connections >= runner.max_connections {
            self.push(self.now + there_and_back, never);
        } else {
            self.push(self.now + there_and_back + runner.handshake(), up);
        }
    }

    fn connected(&mut self, life: Incarnation, r: u32) -> bool {
        let now = self.now;
        let runner = &mut self.world.runners[r as usize];
        let up = runner.state == ProcessState::Up && runner.connect(now);
        if up {
            self.tally.traffic.connections += 1;
            self.reschedule(r);
            if let Some(dispatcher) = self.living(life) {
                dispatcher.conns.entry(r).or_default().1 += 1;
            }
        }
        up
    }

    fn dialled(&mut self, life: Incarnation, inv: u64, number: u32, r: u32) {
        let Some(dispatcher) = self.living(life) else { return };
        let out = dispatcher.invs.get(&inv).is_some_and(|open| open.sent[number as usize].out);
        if !self.connected(life, r) {
            return self.push(self.now, Ev::Heard(life, inv, number, ForwardResult::Unreachable, None));
        }
        if out {
            self.leave(life, inv, number, r);
        } else if let Some((idle, _)) = self.living(life).and_then(|dispatcher| dispatcher.conns.get_mut(&r))
        {
            *idle += 1;
        }
    }

    /// A forward's bytes leave.
    fn leave(&mut self, life: Incarnation, inv: u64, number: u32, r: u32) {
        if let Some(open) = self.dispatchers[life.d as usize].invs.get_mut(&inv) {
            open.sent[number as usize].left = true;
        }
        let (from, to) = self.ends(life.d, r);
        let runner = &self.world.runners[r as usize];
        let cold = (runner.warmth(self.now) < 1.0).then(|| runner.capacity(self.now));
        let work = self.asks.get(&(inv >> TRY_BITS)).map_or(0.0, |asked| asked.ask.work);
        self.judge
            .observe(self.now, Observation::Forwarded { inv, dispatcher: life.d, runner: r, work, cold });
        self.tally.traffic.forwards += 1;
        self.tally.traffic.crossings += u64::from(from != to);
        self.tally.forwards[r as usize] += 1;
        self.send(from, to, Ev::Submit(life, inv, number, r));
    }

    fn probe(&mut self, life: Incarnation, r: u32) {
        self.tally.traffic.probes += 1;
        self.serial += 1;
        let nth = self.serial;
        let (from, to) = self.ends(life.d, r);
        let dispatcher = &mut self.dispatchers[life.d as usize];
        dispatcher.probes.insert(r, nth);
        let kept = dispatcher.conns.get(&r).is_some_and(|(idle, _)| *idle > 0);
        let late = self.now + self.scenario.limits.probe_timeout.0;
        self.push(late, Ev::Probed(life, r, nth, None));
        if kept {
            self.send(from, to, Ev::Probe(life, r, nth));
        } else if self.world.runners[r as usize].state == ProcessState::Up && self.connected(life, r) {
            let delay = 2 * self.delay(from, to) + self.world.runners[r as usize].handshake();
            if let Some((idle, _)) = self.dispatchers[life.d as usize].conns.get_mut(&r) {
                *idle += 1;
            }
            if self.world.linked(from, to) {
                self.push(self.now + delay, Ev::Probe(life, r, nth));
            }
        } else if self.world.runners[r as usize].state != ProcessState::Silent {
            let delay = 2 * self.delay(from, to);
            self.push(self.now + delay, Ev::Probed(life, r, nth, None));
        }
    }

    fn heard(
        &mut self,
        life: Incarnation,
        inv: u64,
        number: u32,
        ending: ForwardResult,
        load: Option<LoadReport>,
    ) {
        let now = self.now;
        let operation = self.asks.get(&(inv >> TRY_BITS)).map(|asked| asked.ask.operation);
        let Some(dispatcher) = self.living(life) else { return };
        let Some(open) = dispatcher.invs.get_mut(&inv) else { return };
        let id = open.id.clone();
        if let Some(start) = dispatcher.start.as_mut().filter(|_| ending == ForwardResult::Succeeded)
            && let Some(operation) = operation
        {
            start.succeeded(operation, now - open.at);
        }
        let sent = &mut open.sent[number as usize];
        let (r, elapsed, was_out) = (sent.runner, now - sent.at, sent.out);
        sent.out = false;
        let how = match ending {
            ForwardResult::Succeeded => Some(ForwardEnd::Succeeded),
            ForwardResult::Overloaded => Some(ForwardEnd::NeverRan),
            // No byte left: the judge never saw a forward.
            ForwardResult::Unreachable | ForwardResult::Void => None,
            ForwardResult::Withdrawn => None,
            _ => Some(ForwardEnd::MayHaveRun),
        };
        if let Some(how) = how {
            self.judge.observe(now, Observation::Ended { inv, runner: r, how });
        }
        if was_out || ending == ForwardResult::Void {
            self.outcome(life.d, (inv, id), (number, r), ending, elapsed, load);
        } else if ending == ForwardResult::Succeeded {
            // Given up, but it came to its end all the same: this is the result that is owed.
            self.answer(life.d, inv, FinalStatus::Succeeded, None);
            self.tell(life.d, Event::ClientLeft { invocation: id });
        }
    }

    // Runners.

    /// What has reached a runner: it waits where the process stands still.
    fn at_runner(&mut self, ev: Ev) {
        let r = match ev {
            Ev::Submit(_, _, _, r) | Ev::Cancel(_, _, _, r) | Ev::Probe(_, r, _) => r,
            _ => return,
        };
        let runner = &self.world.runners[r as usize];
        match runner.state {
            ProcessState::Silent => return,
            ProcessState::Down => return self.at_nobody(ev),
            ProcessState::Up if runner.frozen => return self.inbox[r as usize].push(ev),
            ProcessState::Up => {}
        }
        match ev {
            Ev::Submit(life, inv, number, r) => self.submit(life, inv, number, r),
            Ev::Cancel(life, inv, number, r) => {
                self.judge.observe(self.now, Observation::Withdrawn { inv, runner: r });
                // A later forward of the same invocation to the same runner is not this one.
                if self.owners.get(&(r, inv)).is_some_and(|(_, sent)| *sent == number) {
                    self.owners.remove(&(r, inv));
                    let mut news = std::mem::take(&mut self.told);
                    self.world.runners[r as usize].cancel(self.now, inv, &mut news);
                    self.news(r, &mut news);
                    self.told = news;
                    self.reschedule(r);
                }
                let (to, from) = self.ends(life.d, r);
                self.send(from, to, Ev::Heard(life, inv, number, ForwardResult::Withdrawn, None));
            }
            Ev::Probe(life, r, nth) => {
                let load = self.world.runners[r as usize].report(self.now);
                let (to, from) = self.ends(life.d, r);
                self.send(from, to, Ev::Probed(life, r, nth, Some(load)));
            }
            _ => {}
        }
    }

    /// The process is gone: the connection is reset.
    fn at_nobody(&mut self, ev: Ev) {
        match ev {
            Ev::Submit(life, inv, number, r) => {
                let (to, from) = self.ends(life.d, r);
                self.send(from, to, Ev::Heard(life, inv, number, ForwardResult::Broken, None));
            }
            Ev::Cancel(life, inv, number, r) => {
                self.judge.observe(self.now, Observation::Withdrawn { inv, runner: r });
                let (to, from) = self.ends(life.d, r);
                self.send(from, to, Ev::Heard(life, inv, number, ForwardResult::Withdrawn, None));
            }
            Ev::Probe(life, r, nth) => {
                let (to, from) = self.ends(life.d, r);
                self.send(from, to, Ev::Probed(life, r, nth, None));
            }
            _ => {}
        }
    }

    fn submit(&mut self, life: Incarnation, inv: u64, number: u32, r: u32) {
        let (to, from) = self.ends(life.d, r);
        let Some(asked) = self.asks.get(&(inv >> TRY_BITS)) else {
            // The client has its answer or has left, and how much work it was is not kept: it fails at once.
            return self.send(from, to, Ev::Heard(life, inv, number, ForwardResult::Errored, None));
        };
        let (operation, work) = (asked.ask.operation, asked.ask.work);
        let mut news = std::mem::take(&mut self.told);
        let runner = &mut self.world.runners[r as usize];
        let taken = runner.offer(self.now, inv, operation, work, &mut news);
        let load = runner.report(self.now);
        self.send(from, to, Ev::Free(life, r));
        match taken {
            OfferResult::Accepted => {
                self.owners.insert((r, inv), (life, number));
            }
            OfferResult::Full => {
                self.tally.traffic.turned_away += 1;
                self.send(from, to, Ev::Heard(life, inv, number, ForwardResult::Overloaded, Some(load)));
            }
            OfferResult::Failed => {
                self.send(from, to, Ev::Heard(life, inv, number, ForwardResult::Errored, Some(load)));
            }
        }
        self.news(r, &mut news);
        self.told = news;
        self.reschedule(r);
    }

    fn wake(&mut self, r: u32) {
        let mut news = std::mem::take(&mut self.told);
        self.world.runners[r as usize].wake(self.now, &mut news);
        self.news(r, &mut news);
        self.told = news;
        self.reschedule(r);
    }

    fn reschedule(&mut self, r: u32) {
        let due = self.world.runners[r as usize].due();
        let (at, nth) = self.due[r as usize];
        if due != at {
            self.due[r as usize] = (due, nth + 1);
            if let Some(due) = due {
                self.push(due.max(self.now), Ev::RunnerDue(r, nth + 1));
            }
        }
    }

    fn news(&mut self, r: u32, told: &mut Vec<(u64, JobEvent)>) {
        for (inv, news) in told.drain(..) {
            if news == JobEvent::Started {
                self.ran(r, inv);
                continue;
            }
            let Some((life, number)) = self.owners.get(&(r, inv)).copied() else { continue };
            let (to, from) = self.ends(life.d, r);
            let load = Some(self.world.runners[r as usize].report(self.now));
            let ending = match news {
                JobEvent::Progress(_) => {
                    self.send(from, to, Ev::Progress(life, inv, number));
                    continue;
                }
                JobEvent::Done => ForwardResult::Succeeded,
                JobEvent::Returned => ForwardResult::Overloaded,
                JobEvent::Started | JobEvent::Failed => ForwardResult::Errored,
            };
            self.owners.remove(&(r, inv));
            self.send(from, to, Ev::Heard(life, inv, number, ending, load));
        }
    }

    /// A job begins; whether its effect is new in its group is for the judge to hear.
    fn ran(&mut self, r: u32, inv: u64) {
        use crate::scenario::{DeduplicationScope, Effect};
        let ask = inv >> TRY_BITS;
        let Some(asked) = self.asks.get(&ask) else { return };
        let op = &self.scenario.operation[asked.ask.operation];
        let runner = &self.world.runners[r as usize];
        let new = match op.effect {
            Effect::Idempotent | Effect::NonIdempotent => true,
            Effect::Deduplicated => {
                let group = match op.group {
                    DeduplicationScope::All => -1,
                    DeduplicationScope::Zone => runner.zone as i64,
                    DeduplicationScope::Cell => runner.cell,
                };
                let now = self.now;
                let known = self.marks.get(&(ask, group)).copied();
                // Remembered from when it was first sent; begun somewhat later, so that this errs to its side.
                let new = known.is_none_or(|at| now > at + op.memory_span.0);
                if new {
                    self.marks.insert((ask, group), now);
                }
                new
            }
        };
        if new {
            self.judge.observe(self.now, Observation::Ran { inv, runner: r });
        }
    }

    // What goes wrong.

    fn change(&mut self, nth: usize) {
        let change = self.world.schedule[nth].1.clone();
        match change {
            Change::Kill(d) => self.kill(d),
            Change::StartDispatcher(d) => {
                self.begin(d);
                let life = self.life(d);
                self.push(self.now + HEARS_WITHIN, Ev::Front(life, true));
            }
            Change::Suspend(d, still) => self.still(d, still),
            Change::Term(d) => self.push(self.now + TERM_NOTICED, Ev::Front(self.life(d), false)),
            _ => {}
        }
        let follows = self.world.apply(self.now, &change);
        for (r, inv) in &follows.lost {
            let Some((life, number)) = self.owners.remove(&(*r as u32, *inv)) else { continue };
            // Where the machine itself is gone, nobody is left to tell.
            if self.world.runners[*r].state == ProcessState::Down {
                self.push(self.now + AGENT, Ev::Heard(life, *inv, number, ForwardResult::Broken, None));
            }
        }
        for r in &follows.reset {
            for dispatcher in &mut self.dispatchers {
                dispatcher.conns.remove(&(*r as u32));
            }
            for ev in std::mem::take(&mut self.inbox[*r]) {
                self.at_nobody(ev);
            }
        }
        for r in &follows.thawed {
            for ev in std::mem::take(&mut self.inbox[*r]) {
                self.at_runner(ev);
            }
        }
        for (r, inv, news) in follows.news {
            self.news(r as u32, &mut vec![(inv, news)]);
        }
        for (r, state, after) in follows.listed {
            self.push(self.now + after, Ev::Listed(r as u32, state));
        }
        if follows.healed {
            for (from, to, ev) in std::mem::take(&mut self.held) {
                self.send(from, to, ev);
            }
        }
        match change {
            Change::Discovery(false) => {
                for d in 0..self.dispatchers.len() as u32 {
                    let life = self.life(d);
                    self.push(self.now, Ev::Refused(life));
                }
            }
            Change::Stop(r, _) | Change::Start(r) | Change::Freeze(r, _) | Change::Slow(r, _) => {
                self.reschedule(r as u32);
            }
            Change::Drain(r) | Change::Retire(r) => self.reschedule(r as u32),
            _ => {}
        }
    }

    fn kill(&mut self, d: u32) {
        let dispatcher = &mut self.dispatchers[d as usize];
        dispatcher.alive = false;
        dispatcher.killed_at = Some(self.now);
        dispatcher.epoch += 1;
        dispatcher.subscribed = false;
        for ev in dispatcher.still.take().unwrap_or_default() {
            if let Ev::Reach(inv, _) = ev {
                let delay = self.client_delay();
                self.push(self.now + delay, Ev::Back(inv, load::AttemptResult::Nothing));
            }
        }
        let dispatcher = &mut self.dispatchers[d as usize];
        let mut owed: Vec<u64> =
            dispatcher.invs.drain().filter(|(_, open)| !open.answered).map(|(inv, _)| inv).collect();
        owed.sort_unstable();
        for (r, (_, all)) in std::mem::take(&mut dispatcher.conns) {
            let runner = &mut self.world.runners[r as usize];
            runner.connections = runner.connections.saturating_sub(all);
        }
        dispatcher.probes.clear();
        for inv in owed {
            self.judge.observe(self.now, Observation::Lost { inv });
            let delay = self.client_delay();
            self.push(self.now + delay, Ev::Back(inv, load::AttemptResult::Nothing));
        }
        let notice = self.scenario.clients.front_notice.0;
        let life = self.life(d);
        self.push(self.now + notice, Ev::Front(life, false));
    }

    fn still(&mut self, d: u32, still: bool) {
        let life = self.life(d);
        let dispatcher = &mut self.dispatchers[d as usize];
        if !dispatcher.alive || dispatcher.still.is_some() == still {
            return;
        }
        self.judge.observe(self.now, Observation::Still { dispatcher: d, still });
        if still {
            dispatcher.still = Some(Vec::new());
        } else {
            // As on sockets, where all that has come is read before anything is decided, lists first.
            let mut held = dispatcher.still.take().unwrap_or_default();
            held.sort_by_key(|ev| !matches!(ev, Ev::Tell(..) | Ev::TellAll(_) | Ev::Refused(_)));
            held.into_iter().for_each(|ev| self.push(self.now, ev));
        }
        if still {
            self.push(self.now + self.scenario.clients.front_notice.0, Ev::Missed(life));
        } else {
            self.push(self.now + HEARS_WITHIN, Ev::Front(life, true));
        }
    }

    fn begin(&mut self, d: u32) {
        let nth = d as usize;
        let zone = nth % self.world.zones;
        let (epoch, starts) = self.dispatchers.get(nth).map_or((0, 0), |old| (old.epoch + 1, old.starts + 1));
        let (now, killed_at) = (self.now, self.dispatchers.get(nth).and_then(|old| old.killed_at));
        let settings = &self.settings[nth];
        let peers = settings.slow_start_is_shared;
        let seed = seeded_generator(self.seed, 1 << 41 | u64::from(d) << 8 | starts).random();
        let dispatcher = Dispatcher {
            decide: new_decider(self.policy, self.settings[nth].clone(), seed),
            alive: true,
            epoch,
            starts,
            zone,
            invs: FxHashMap::default(),
            conns: FxHashMap::default(),
            probes: FxHashMap::default(),
            subscribed: false,
            still: None,
            start: self.scenario.store.is_some().then(|| {
                let drawn = seeded_generator(self.seed, 1 << 42 | u64::from(d) << 8 | starts);
                Start::new(settings, peers, self.world.runners.len(), drawn, now)
            }),
            talk: peers.then(|| {
                let drawn = seeded_generator(self.seed, 1 << 43 | u64::from(d) << 8 | starts);
                let rests_until = killed_at.map_or(now, |at| at + settings.overload_window);
                Talk::new((d, self.scenario.dispatchers), starts + 1, settings, drawn, rests_until, now)
            }),
            killed_at: None,
        };
        if nth < self.dispatchers.len() {
            self.dispatchers[nth] = dispatcher;
        } else {
            self.dispatchers.push(dispatcher);
        }
        self.judge.observe(self.now, Observation::Began { dispatcher: d });
        if peers {
            let life = self.life(d);
            self.push(now, Ev::Round(life));
        }
        let listed = (0..self.states.len()).filter(|r| self.states[*r] == ListingState::Up);
        let entries = listed.map(|r| self.entry(r as u32, ListingState::Up)).collect();
        self.tell(d, Event::Roster(Roster { listing: Listing::Remembered, entries }));
    }

    // Discovery.

    fn entry(&self, r: u32, state: ListingState) -> RosterEntry {
        let runner = &self.world.runners[r as usize];
        RosterEntry {
            runner: self.ids[r as usize].clone(),
            cell: runner.cell,
            size: 1.0,
            machine_type: Id::from(self.scenario.pool[runner.kind].kind.as_str()),
            zone: Id::from(self.scenario.zones.names[runner.zone].as_str()),
            readiness: match state {
                ListingState::Up => Readiness::Up,
                ListingState::Draining => Readiness::Draining,
                ListingState::Gone => Readiness::Removed,
            },
            launched: runner.launched.filter(|_| state == ListingState::Up),
        }
    }

    fn list(&mut self, r: u32, state: ListingState) {
        let runner = &self.world.runners[r as usize];
        // What has been overtaken by a new start is passed over.
        if state != ListingState::Up && runner.state == ProcessState::Up && !runner.draining {
            return;
        }
        self.states[r as usize] = state;
        let (wanted, launched) = (state == ListingState::Up, runner.launched);
        self.judge.observe(self.now, Observation::Listed { runner: r, wanted, launched });
        if !self.world.discovery_up {
            return;
        }
        for d in 0..self.dispatchers.len() as u32 {
            if self.dispatchers[d as usize].subscribed {
                let life = self.life(d);
                let zone = self.dispatchers[d as usize].zone;
                let after = self.network.random_range(0..HEARS_WITHIN);
                if self.world.linked(0, zone) {
                    self.push(self.now + after, Ev::Tell(life, r, state));
                } else {
                    self.held.push((0, zone, Ev::Tell(life, r, state)));
                }
            }
        }
    }

    /// A call has reached discovery, which works through calls in turn.
    fn call(&mut self, life: Incarnation) {
        self.tally.record_discovery_call(self.now);
        let discovery = &self.scenario.discovery;
        let begins = self.busy_until.max(self.now);
        let zone = self.dispatchers[life.d as usize].zone;
        if !self.world.discovery_up || begins - self.now > discovery.call_most.0 {
            return self.send(0, zone, Ev::Refused(life));
        }
        self.busy_until = begins + discovery.call.0;
        if self.world.linked(0, zone) {
            let delay = self.delay(0, zone);
            self.push(self.busy_until + delay, Ev::TellAll(life));
        } else {
            self.held.push((0, zone, Ev::TellAll(life)));
        }
    }

    fn tell_all(&mut self, life: Incarnation) {
        let Some(dispatcher) = self.living(life) else { return };
        dispatcher.subscribed = true;
        let mut entries = Vec::with_capacity(self.states.len());
        for r in 0..self.states.len() as u32 {
            let state = self.states[r as usize];
            let wanted = state == ListingState::Up;
            if !wanted || self.world.runners[r as usize].launched.is_some() {
                self.judge.observe(self.now, Observation::Told { dispatcher: life.d, runner: r, wanted });
            }
            if state != ListingState::Gone {
                entries.push(self.entry(r, state));
            }
        }
        let now = self.now;
        let (states, runners) = (&self.states, &self.world.runners);
        if let Some(start) = &mut self.dispatchers[life.d as usize].start {
            let told = states.iter().zip(runners).enumerate();
            start.list(
                told.map(|(r, (state, runner))| (r as u32, *state == ListingState::Up, runner.launched)),
                true,
                now,
            );
        }
        self.tell(life.d, Event::Roster(Roster { listing: Listing::All, entries }));
        self.portions(life.d);
    }

    fn sample(&mut self) {
        self.sampled.0 += 1;
        for runner in &self.world.runners {
            let jobs = runner.jobs();
            if self.sampled.1.len() <= jobs {
                self.sampled.1.resize(jobs + 1, 0);
            }
            self.sampled.1[jobs] += 1;
        }
        if self.now < self.scenario.length.0 {
            self.push(self.now + self.options.sample_interval, Ev::Sample);
        }
    }

    fn finish(mut self) -> Run {
        self.judge.finish(self.now);
        let seen = (self.sampled.0 * self.world.runners.len() as u64).max(1) as f64;
        let mut tails: Tails = Vec::new();
        let mut above = 0;
        for count in self.sampled.1.iter().rev() {
            above += count;
            tails.push(above as f64 / seen);
        }
        tails.reverse();
        let runners = runner_outcomes(self.scenario, &self.world, &self.tally.forwards);
        let program = match self.policy {
            Policy::Topazsail => "topazsail (module, in process)".to_owned(),
            other => format!("baseline {other:?}"),
        };
        let about = RunDetails {
            clock: "virtual".to_owned(),
            program,
            seed: self.seed,
            runners,
            faults: std::mem::take(&mut self.world.bands),
            cold: (self.judge.cold_work, self.judge.max_cold_share),
            cold_calls: self.judge.cold_calls,
            verdict: self.judge.verdict,
            void: Vec::new(),
            processes: Vec::new(),
            notes: Vec::new(),
        };
        Run {
            outcome: self.tally.outcome(self.scenario, about),
            tails,
            decisions: self.decisions,
            decision_time: self.decision_time,
        }
    }
}

/// What each runner did, for the report.
pub fn runner_outcomes(scenario: &Scenario, world: &World, forwards: &[u64]) -> Vec<RunnerOutcome> {
    let of = |(r, runner): (usize, &crate::runner::Runner)| RunnerOutcome {
        name: format!("r{r}"),
        zone: scenario.zones.names[runner.zone].clone(),
        kind: scenario.pool[runner.kind].kind.clone(),
        forwards: forwards[r],
        used: round(runner.work_done / (scenario.length.0 as f64 * f64::from(runner.slots) * runner.speed)),
    };
    world.runners.iter().enumerate().map(of).collect()
}

fn key(inv: &Id) -> u64 {
    u64::from_str_radix(inv, 16).unwrap_or(u64::MAX)
}

fn report(load: Option<LoadReport>) -> Vec<f64> {
    load.map_or(Vec::new(), |load| {
        vec![f64::from(load.free), f64::from(load.waiting), f64::from(load.in_flight)]
    })
}
