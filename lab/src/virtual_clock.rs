//! The lab in virtual time: the routing policy runs in process, and everything around it is played as events
//! on a heap.
//!
//! This module owns the clock, the messages on the links, and what the request table does on sockets: it
//! numbers forwards, and knows those in flight and the unanswered invocations. It makes no decision for a
//! dispatcher, never iterates in hash order where that could change a result, and lets no wall-clock time
//! into a result: the same scenario and seed give the same bytes.
//!
//! In this module `d` is the number of a dispatcher, `r` that of a runner, `inv` that of an invocation, and
//! `number` that of a forward within its invocation.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::rc::Rc;
use std::time::{Duration, Instant};

use rand::RngExt;
use rand_pcg::Pcg32;
use rustc_hash::FxHashMap;
use topazsail::{
    Action, Arrival, Event, ForwardResult, Id, Listing, Micros, Outcome as ForwardOutcome, Readiness, Roster,
    RosterEntry, Settings,
};

use crate::judge::{FinalStatus, ForwardEnd, Judge, JudgeParameters, Observation};
use crate::load::{self, ArrivalGenerator, ClientRequest, retry_time, seeded_generator};
use crate::peer_messages::{Datagram, PeerMessages};
use crate::policy::{DecisionMaker, Policy, new_decision_maker, runner_number};
use crate::runner::{JobEvent, LoadReport, OfferResult, ProcessState};
use crate::scenario::{DispatcherParameters, Scenario};
use crate::startup::Startup;
use crate::tally::{Outcome, RequestResult, RunDetails, RunnerOutcome, Tally, round};
use crate::world::{Change, ListingState, World};

/// Time in microseconds reserved for the transit of an answer to its client: an answer still in transit when
/// the client times out is lost. The dispatcher on sockets reserves the same.
const ANSWER_TRANSIT: Micros = 20_000;
/// Delay in microseconds after which a machine's agent reports a process that died.
const AGENT_NOTICE_DELAY: Micros = 100_000;
/// Largest difference in microseconds between two dispatchers' receipt of a roster change.
const MAX_NOTIFICATION_SKEW: Micros = 100_000;
/// How long new connections still arrive after SIGTERM, in microseconds.
const TERM_NOTICE_DELAY: Micros = 300_000;
/// Span of virtual time that the heap holds at once, in microseconds.
const HEAP_WINDOW: Micros = 50_000;
/// Low bits of an invocation's number, which count the attempts of its request from 1. The bits above them
/// are the number of the request.
const ATTEMPT_BITS: u32 = 4;

/// One process run of one dispatcher; events for an earlier run are dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Incarnation {
    dispatcher: u32,
    epoch: u32,
}

/// An event on the heap. A `u64` is the number of an invocation, where nothing else is said; a `u32` that of
/// a forward, a runner or a dispatcher. Where an event has both, the forward comes before the runner.
#[derive(Clone, Debug)]
enum ClockEvent {
    /// The next request of the clients is due.
    NextRequest,
    /// An invocation has reached its dispatcher.
    RequestArrived(u64, u32),
    /// The result of an attempt has reached its client.
    ResultArrived(u64, load::AttemptResult),
    /// A client sends the next attempt of a request, given by the request's number.
    Retry(u64),
    /// The client timeout of a request, given by its number, has passed.
    ClientTimeout(u64),
    /// A dispatcher's own deadline for an invocation has passed.
    DeadlineReached(Incarnation, u64),
    /// A connection dialled for a forward is established.
    Connected(Incarnation, u64, u32, u32),
    /// The last byte of a forward has reached its runner.
    Submit(Incarnation, u64, u32, u32),
    /// The connection of a forward is idle again.
    ConnectionIdle(Incarnation, u32),
    /// The end of a forward has reached its dispatcher.
    ForwardEnded(Incarnation, u64, u32, ForwardResult, Option<LoadReport>),
    /// A progress report has reached its dispatcher.
    Progress(Incarnation, u64, u32),
    /// A cancel has reached its runner.
    Cancel(Incarnation, u64, u32, u32),
    /// A probe, with its serial number, has reached its runner.
    Probe(Incarnation, u32, u64),
    /// The result of a probe has reached its dispatcher; without a report it has failed.
    ProbeEnded(Incarnation, u32, u64, Option<LoadReport>),
    /// A runner's next event is due, unless it was rescheduled: the second number is then not the runner's
    /// latest.
    RunnerDue(u32, u32),
    /// The timer of a dispatcher's routing policy has fired.
    TimerFired(Incarnation),
    /// A dispatcher's periodic messages to its peers are due.
    PeerRound(Incarnation),
    /// A datagram has arrived: receiver, sender and bytes.
    Datagram(u32, u32, Rc<[u8]>),
    /// A change of the world's schedule is due.
    Change(usize),
    /// Discovery learns of a runner's state.
    Listed(u32, ListingState),
    /// A roster change has reached a dispatcher.
    RosterChange(Incarnation, u32, ListingState),
    /// A dispatcher's call has reached discovery.
    DiscoveryCall(Incarnation),
    /// The whole roster has reached a dispatcher.
    WholeRoster(Incarnation),
    /// A dispatcher's call or subscription has failed.
    DiscoveryRefused(Incarnation),
    /// The front end learns whether a dispatcher is up.
    FrontNotice(Incarnation, bool),
    /// The front end notices that a dispatcher is suspended, if it still is.
    SuspensionNoticed(Incarnation),
    /// The jobs of all runners are sampled.
    Sample,
}

/// An event with its time and serial number, by which events are ordered.
struct ScheduledEvent(Micros, u64, ClockEvent);

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &ScheduledEvent) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}
impl Eq for ScheduledEvent {}
impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &ScheduledEvent) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for ScheduledEvent {
    fn cmp(&self, other: &ScheduledEvent) -> std::cmp::Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}

/// A forward as its dispatcher knows it.
struct SentForward {
    /// Its bytes have been sent: it waits for no new connection any more.
    bytes_sent: bool,
    runner: u32,
    /// When the routing policy asked for it.
    at: Micros,
    in_flight: bool,
}

/// An invocation that is unanswered or has a forward in flight.
struct OpenInvocation {
    id: Id,
    /// When it reached its dispatcher.
    at: Micros,
    answered: bool,
    sent: Vec<SentForward>,
}

/// A dispatcher's process.
struct Dispatcher {
    decision_maker: Box<dyn DecisionMaker>,
    alive: bool,
    /// Grows with each start and each kill, so that events for an earlier process run are recognised.
    epoch: u32,
    /// Number of earlier starts.
    starts: u64,
    zone: usize,
    invocations: FxHashMap<u64, OpenInvocation>,
    /// Idle connections and all connections, by runner.
    connections: FxHashMap<u32, (u32, u32)>,
    /// By runner, the serial number of the probe that has not ended.
    probes: FxHashMap<u32, u64>,
    subscribed: bool,
    /// Events held while the process is suspended; none while it runs.
    suspended_events: Option<Vec<ClockEvent>>,
    /// The stages of its start, where the scenario has a store.
    startup: Option<Startup>,
    /// Its peer protocol, where the scenario has peers.
    peers: Option<PeerMessages>,
    /// When its process was last killed.
    killed_at: Option<Micros>,
}

/// A client's request that has not ended, and its attempts so far.
struct OpenRequest {
    request: ClientRequest,
    attempts: u32,
}

/// Optional measurements of a run.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// Interval in microseconds at which the number of jobs of each runner is sampled, after the first fifth
    /// of the run (0: never).
    pub sample_interval: Micros,
    /// Measures the wall-clock time of each call of the policy. It is reported beside the outcome, which does
    /// not depend on it.
    pub measure_time: bool,
}

/// For each number of jobs from 0: the share of samples in which a runner had at least so many.
pub type Tails = Vec<f64>;

/// The outcome of a run and its optional measurements.
pub struct Run {
    pub outcome: Outcome,
    /// The sampled distribution of jobs per runner.
    pub tails: Tails,
    /// Number of calls of the policy.
    pub decisions: u64,
    /// Wall-clock time in these calls if it was measured: for rosters, and for all other events.
    pub decision_time: [Duration; 2],
}

/// The state of a run.
struct Clock<'a> {
    scenario: &'a Scenario,
    seed: u64,
    policy: Policy,
    now: Micros,
    /// Events within the current window.
    heap: BinaryHeap<Reverse<ScheduledEvent>>,
    /// Events later than the current heap window, by window. Most of them are timeouts that never matter and
    /// would make each operation on the heap slower.
    later: BTreeMap<Micros, Vec<ScheduledEvent>>,
    serial: u64,
    world: World,
    dispatchers: Vec<Dispatcher>,
    settings: Vec<Settings>,
    /// Which dispatchers the front end sends to.
    front: Vec<bool>,
    ids: Vec<Id>,
    requests: BTreeMap<u64, OpenRequest>,
    request_count: u64,
    arrivals: ArrivalGenerator,
    next_request: Option<ClientRequest>,
    /// By runner and invocation, the dispatcher that waits for the job's end, and the number of the forward.
    owners: FxHashMap<(u32, u64), (Incarnation, u32)>,
    /// Messages held at a frozen runner.
    inbox: Vec<Vec<ClockEvent>>,
    /// When each runner's next event is due, and a number that invalidates earlier schedules.
    runner_due: Vec<(Option<Micros>, u32)>,
    /// Messages held at a cut link, with the zones of both ends.
    held_messages: Vec<(usize, usize, ClockEvent)>,
    listing_states: Vec<ListingState>,
    /// When discovery has worked through all calls so far.
    discovery_busy_until: Micros,
    network_rng: Pcg32,
    datagram_rng: Pcg32,
    client_rng: Pcg32,
    judge: Judge,
    tally: Tally,
    /// When the effect of deduplicated work first took place within the memory span, by request and scope.
    first_effects: FxHashMap<(u64, i64), Micros>,
    /// A buffer for job events, reused between calls.
    job_event_buffer: Vec<(u64, JobEvent)>,
    /// Number of samples, and how often each number of jobs was seen.
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
        // The settings pass through the configuration file as on sockets, so that both clocks use the same.
        for number in 0..scenario.dispatchers {
            let parameters = DispatcherParameters {
                number,
                zone: zones[number as usize % zones.len()].clone(),
                seed,
                listen: "127.0.0.1:1".to_owned(),
                discovery: "127.0.0.1:1".to_owned(),
                known: serde_json::Value::Null,
                store: None,
            };
            let decoded = topazsail_node::config::decode(&scenario.configuration(&parameters))?;
            let mut own_settings = decoded.decoded.settings;
            own_settings.slow_start_is_shared = scenario.store.as_ref().is_some_and(|store| store.peers);
            settings.push(own_settings);
        }
        let runners = world.runners.len();
        let locations = world.locations();
        let arrivals = ArrivalGenerator::new(scenario, world.capacity(), seed);
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
            requests: BTreeMap::new(),
            request_count: 0,
            arrivals,
            next_request: None,
            owners: FxHashMap::default(),
            inbox: (0..runners).map(|_| Vec::new()).collect(),
            runner_due: vec![(None, 0); runners],
            held_messages: Vec::new(),
            listing_states: vec![ListingState::Up; runners],
            discovery_busy_until: 0,
            network_rng: seeded_generator(seed, 5),
            datagram_rng: seeded_generator(seed, 7),
            client_rng: seeded_generator(seed, 6),
            judge: Judge::new(JudgeParameters::of(scenario, locations, 0, 0)),
            tally: Tally::new(scenario),
            first_effects: FxHashMap::default(),
            job_event_buffer: Vec::new(),
            sampled: (0, Vec::new()),
            options,
            decisions: 0,
            decision_time: [Duration::ZERO; 2],
            settings,
            world,
        })
    }

    /// Schedules an event.
    fn push(&mut self, at: Micros, event: ClockEvent) {
        self.serial += 1;
        let (scheduled, window) = (ScheduledEvent(at, self.serial, event), at.div_euclid(HEAP_WINDOW));
        if window > self.now.div_euclid(HEAP_WINDOW) {
            self.later.entry(window).or_default().push(scheduled);
        } else {
            self.heap.push(Reverse(scheduled));
        }
    }

    /// Removes the next event in order of time.
    fn pop(&mut self) -> Option<ScheduledEvent> {
        if self.heap.is_empty()
            && let Some((_, due)) = self.later.pop_first()
        {
            self.heap = due.into_iter().map(Reverse).collect::<Vec<_>>().into();
        }
        self.heap.pop().map(|Reverse(scheduled)| scheduled)
    }

    /// Sends a message between two zones: it arrives after the link's delay, or is held until a cut link is
    /// up again.
    fn send(&mut self, from: usize, to: usize, event: ClockEvent) {
        if self.world.is_linked(from, to) {
            let delay = self.delay(from, to);
            self.push(self.now + delay, event);
        } else {
            self.held_messages.push((from, to, event));
        }
    }

    /// Draws the delay of a message between two zones.
    fn delay(&mut self, from: usize, to: usize) -> Micros {
        World::delay(self.scenario, from, to, self.network_rng.random())
    }

    /// Draws the delay of a message between a client and its dispatcher.
    fn client_delay(&mut self) -> Micros {
        let zones = &self.scenario.zones;
        (zones.client.0 as f64 * (1.0 + zones.jitter * self.client_rng.random::<f64>())) as Micros
    }

    /// Runs until all requests have ended, or at the latest 5 s after the last client timeout.
    fn run(&mut self) {
        for d in 0..self.scenario.dispatchers {
            self.start_dispatcher(d);
        }
        for nth in 0..self.world.schedule.len() {
            self.push(self.world.schedule[nth].0, ClockEvent::Change(nth));
        }
        if self.options.sample_interval > 0 {
            self.push(self.scenario.length.0 / 5, ClockEvent::Sample);
        }
        self.next_request = self.arrivals.next();
        if let Some(request) = &self.next_request {
            self.push(request.at, ClockEvent::NextRequest);
        }
        let longest_timeout = self.scenario.operation.iter().map(|op| op.client_timeout.0).max().unwrap_or(0);
        let end = self.scenario.length.0 + longest_timeout + 5_000_000;
        while let Some(ScheduledEvent(at, _, event)) = self.pop() {
            if at > end
                || self.next_request.is_none() && self.requests.is_empty() && at > self.scenario.length.0
            {
                break;
            }
            self.now = at;
            self.step(event);
        }
    }

    /// The dispatcher that receives an event, for events that are held while its process is suspended.
    fn recipient(event: &ClockEvent) -> Option<u32> {
        match event {
            ClockEvent::RequestArrived(_, d) | ClockEvent::Datagram(d, ..) => Some(*d),
            ClockEvent::DeadlineReached(incarnation, _)
            | ClockEvent::Connected(incarnation, ..)
            | ClockEvent::ConnectionIdle(incarnation, _)
            | ClockEvent::ForwardEnded(incarnation, ..)
            | ClockEvent::Progress(incarnation, ..)
            | ClockEvent::ProbeEnded(incarnation, ..)
            | ClockEvent::TimerFired(incarnation)
            | ClockEvent::PeerRound(incarnation)
            | ClockEvent::RosterChange(incarnation, ..)
            | ClockEvent::WholeRoster(incarnation)
            | ClockEvent::DiscoveryRefused(incarnation) => Some(incarnation.dispatcher),
            _ => None,
        }
    }

    /// Handles one event, or holds it where its dispatcher is suspended.
    fn step(&mut self, event: ClockEvent) {
        let held =
            Clock::recipient(&event).and_then(|d| self.dispatchers[d as usize].suspended_events.as_mut());
        if let Some(held) = held {
            return held.push(event);
        }
        match event {
            ClockEvent::NextRequest => self.send_request(),
            ClockEvent::RequestArrived(inv, d) => self.request_arrived(inv, d),
            ClockEvent::ResultArrived(inv, seen) => self.result_arrived(inv, seen),
            ClockEvent::Retry(request) => self.send_attempt(request),
            ClockEvent::ClientTimeout(request) => self.end_request(request, RequestResult::Nothing),
            ClockEvent::DeadlineReached(incarnation, inv) => self.deadline_reached(incarnation, inv),
            ClockEvent::Connected(incarnation, inv, number, r) => {
                self.dial_ended(incarnation, inv, number, r)
            }
            ClockEvent::Submit(..) | ClockEvent::Cancel(..) | ClockEvent::Probe(..) => {
                self.runner_reached(event)
            }
            ClockEvent::ConnectionIdle(incarnation, r) => {
                if let Some(dispatcher) = self.running_dispatcher(incarnation)
                    && let Some((idle, _)) = dispatcher.connections.get_mut(&r)
                {
                    *idle += 1;
                }
            }
            ClockEvent::ForwardEnded(incarnation, inv, number, result, load) => {
                self.forward_ended(incarnation, inv, number, result, load)
            }
            ClockEvent::Progress(incarnation, inv, number) => {
                let open = self
                    .running_dispatcher(incarnation)
                    .and_then(|dispatcher| dispatcher.invocations.get(&inv));
                if let Some(open) = open.filter(|open| open.sent[number as usize].in_flight) {
                    let id = open.id.clone();
                    self.handle_event(
                        incarnation.dispatcher,
                        Event::Progress { invocation: id, forward: number },
                    );
                }
            }
            ClockEvent::ProbeEnded(incarnation, r, nth, load) => {
                let Some(dispatcher) = self.running_dispatcher(incarnation) else { return };
                if dispatcher.probes.get(&r) != Some(&nth) {
                    return;
                }
                dispatcher.probes.remove(&r);
                let (runner_id, alive) = (self.ids[r as usize].clone(), load.is_some());
                self.handle_event(
                    incarnation.dispatcher,
                    Event::ProbeEnded { runner: runner_id, alive, report: report_values(load) },
                );
            }
            ClockEvent::RunnerDue(r, nth) => {
                if self.runner_due[r as usize].1 == nth {
                    self.runner_due[r as usize].0 = None;
                    self.process_runner(r);
                }
            }
            ClockEvent::TimerFired(incarnation) => {
                if self.running_dispatcher(incarnation).is_some() {
                    self.handle_event(incarnation.dispatcher, Event::TimerFired);
                }
            }
            ClockEvent::PeerRound(incarnation) => self.peer_round(incarnation),
            ClockEvent::Datagram(to, from, bytes) => {
                let now = self.now;
                let to = self.dispatchers[to as usize].alive.then_some(to);
                let Some((d, peers)) =
                    to.and_then(|d| Some((d, self.dispatchers[d as usize].peers.as_mut()?)))
                else {
                    return;
                };
                let datagrams = peers.receive(from, &bytes, now);
                self.send_datagrams(d, datagrams);
            }
            ClockEvent::Change(nth) => self.apply_change(nth),
            ClockEvent::Listed(r, state) => self.update_listing(r, state),
            ClockEvent::RosterChange(incarnation, r, state) => {
                if self.running_dispatcher(incarnation).is_some_and(|dispatcher| dispatcher.subscribed) {
                    let wanted = state == ListingState::Up;
                    self.judge.observe(
                        self.now,
                        Observation::Told { dispatcher: incarnation.dispatcher, runner: r, wanted },
                    );
                    let (now, launched) = (self.now, self.world.runners[r as usize].launched);
                    if let Some(startup) = &mut self.dispatchers[incarnation.dispatcher as usize].startup {
                        startup.update_roster(std::iter::once((r, wanted, launched)), false, now);
                    }
                    let entries = vec![self.entry(r, state)];
                    self.handle_event(
                        incarnation.dispatcher,
                        Event::Roster(Roster { listing: Listing::Changes, entries }),
                    );
                    self.update_slow_start_shares(incarnation.dispatcher);
                }
            }
            ClockEvent::DiscoveryCall(incarnation) => self.discovery_called(incarnation),
            ClockEvent::WholeRoster(incarnation) => self.send_whole_roster(incarnation),
            ClockEvent::DiscoveryRefused(incarnation) => {
                let now = self.now;
                if let Some(dispatcher) = self.running_dispatcher(incarnation) {
                    dispatcher.subscribed = false;
                    if let Some(startup) = &mut dispatcher.startup {
                        startup.note_discovery_failure(now);
                    }
                    let roster = Roster { listing: Listing::Refused, entries: Vec::new() };
                    self.handle_event(incarnation.dispatcher, Event::Roster(roster));
                }
            }
            ClockEvent::SuspensionNoticed(incarnation) => {
                if self
                    .running_dispatcher(incarnation)
                    .is_some_and(|dispatcher| dispatcher.suspended_events.is_some())
                {
                    self.front[incarnation.dispatcher as usize] = false;
                }
            }
            ClockEvent::FrontNotice(incarnation, up) => {
                if self.dispatchers[incarnation.dispatcher as usize].epoch == incarnation.epoch {
                    self.front[incarnation.dispatcher as usize] = up;
                }
            }
            ClockEvent::Sample => self.sample(),
        }
    }

    /// The dispatcher, if this process run of it still exists.
    fn running_dispatcher(&mut self, incarnation: Incarnation) -> Option<&mut Dispatcher> {
        self.dispatchers
            .get_mut(incarnation.dispatcher as usize)
            .filter(|dispatcher| dispatcher.alive && dispatcher.epoch == incarnation.epoch)
    }

    /// The present process run of a dispatcher.
    fn incarnation(&self, d: u32) -> Incarnation {
        Incarnation { dispatcher: d, epoch: self.dispatchers[d as usize].epoch }
    }

    // Peer messages.

    /// Sends a dispatcher's periodic messages to its peers and schedules the next ones.
    fn peer_round(&mut self, incarnation: Incarnation) {
        let now = self.now;
        let Some(dispatcher) = self.running_dispatcher(incarnation) else { return };
        let Some(peers) = &mut dispatcher.peers else { return };
        let datagrams = peers.tick(now);
        let due = peers.protocol.next_tick();
        self.push(due, ClockEvent::PeerRound(incarnation));
        self.update_slow_start_shares(incarnation.dispatcher);
        self.send_datagrams(incarnation.dispatcher, datagrams);
    }

    /// Passes a dispatcher its shares of the cold runners' slow-start budgets.
    fn update_slow_start_shares(&mut self, d: u32) {
        let now = self.now;
        let dispatcher = &mut self.dispatchers[d as usize];
        let (Some(startup), Some(peers)) = (&dispatcher.startup, &mut dispatcher.peers) else { return };
        let cold = startup.cold_runners(now).into_iter().map(|r| self.ids[r as usize].clone()).collect();
        let shares = peers.slow_start_shares(cold, now);
        if !shares.is_empty() {
            self.handle_event(d, Event::SlowStartShares(shares));
        }
    }

    /// Sends a dispatcher's datagrams, and passes the agreement of its peers to the stages of its start.
    fn send_datagrams(&mut self, d: u32, datagrams: Vec<Datagram>) {
        for (to, bytes) in datagrams {
            self.tally.traffic.datagrams += 1;
            self.tally.traffic.datagram_bytes += bytes.len() as u64;
            let bytes: Rc<[u8]> = bytes.into();
            let path = (d, to);
            for after in self.world.datagram_delays(self.scenario, path, self.now, &mut self.datagram_rng) {
                self.push(self.now + after, ClockEvent::Datagram(to, d, bytes.clone()));
            }
        }
        let now = self.now;
        let dispatcher = &mut self.dispatchers[d as usize];
        if let (Some(startup), Some(peers)) = (&mut dispatcher.startup, &dispatcher.peers)
            && startup.is_waiting_for_peers()
        {
            startup.record_peer_agreement(peers.protocol.agreement(), now);
        }
    }

    // Clients.

    /// Sends the next request of the clients and schedules the one after it.
    fn send_request(&mut self) {
        let Some(request) = self.next_request.take() else { return };
        let request_number = self.request_count;
        self.request_count += 1;
        self.push(
            request.at + self.scenario.operation[request.operation].client_timeout.0,
            ClockEvent::ClientTimeout(request_number),
        );
        self.requests.insert(request_number, OpenRequest { request, attempts: 0 });
        self.send_attempt(request_number);
        self.next_request = self.arrivals.next();
        if let Some(request) = &self.next_request {
            self.push(request.at, ClockEvent::NextRequest);
        }
    }

    /// Sends the next attempt of a request, to a dispatcher in the client's zone if the front end knows one
    /// that is up.
    fn send_attempt(&mut self, request_number: u64) {
        let Some(open) = self.requests.get_mut(&request_number) else { return };
        open.attempts += 1;
        let inv = request_number << ATTEMPT_BITS | u64::from(open.attempts);
        let zone = open.request.zone;
        self.tally.traffic.tries += 1;
        let all = self.dispatchers.len();
        // Drawn from this attempt alone, so that the answers under one policy do not change where other
        // clients go.
        let start = seeded_generator(self.seed ^ 0x5eed, inv).random_range(0..all);
        let order = || (0..all).map(|step| (start + step) % all).filter(|d| self.front[*d]);
        let near = order().find(|d| self.dispatchers[*d].zone == zone);
        let chosen = near.or_else(|| order().next());
        let delay = self.client_delay();
        match chosen {
            Some(d) => self.push(self.now + delay, ClockEvent::RequestArrived(inv, d as u32)),
            None => {
                self.push(self.now + delay, ClockEvent::ResultArrived(inv, load::AttemptResult::NotAccepted))
            }
        }
    }

    /// Handles the result of an attempt: the client retries or the request ends.
    fn result_arrived(&mut self, inv: u64, seen: load::AttemptResult) {
        let request_number = inv >> ATTEMPT_BITS;
        let Some(open) = self.requests.get(&request_number) else { return };
        if u64::from(open.attempts) != inv & ((1 << ATTEMPT_BITS) - 1) {
            return;
        }
        if seen == load::AttemptResult::Succeeded {
            return self.end_request(request_number, RequestResult::Succeeded);
        }
        match retry_time(
            self.scenario,
            self.seed,
            (request_number, &open.request),
            open.attempts,
            seen,
            self.now,
        ) {
            Some(at) => self.push(at, ClockEvent::Retry(request_number)),
            None => self.end_request(
                request_number,
                match seen {
                    load::AttemptResult::Throttled(_) => RequestResult::Throttled,
                    load::AttemptResult::Errored => RequestResult::Errored,
                    _ => RequestResult::Nothing,
                },
            ),
        }
    }

    /// Ends a request and records its result.
    fn end_request(&mut self, request_number: u64, end: RequestResult) {
        if let Some(open) = self.requests.remove(&request_number) {
            self.tally.record_end(&open.request, end, self.now - open.request.at);
        }
    }

    // What the request table does on sockets.

    /// Handles an invocation that has reached its dispatcher.
    fn request_arrived(&mut self, inv: u64, d: u32) {
        let Some(open) = self.requests.get(&(inv >> ATTEMPT_BITS)) else { return };
        if !self.dispatchers[d as usize].alive {
            let delay = self.client_delay();
            return self
                .push(self.now + delay, ClockEvent::ResultArrived(inv, load::AttemptResult::NotAccepted));
        }
        let operation = open.request.operation;
        let client_deadline = open.request.at + self.scenario.operation[operation].client_timeout.0;
        let key = open.request.key.map(|key| Id::from(format!("k{key}")));
        let id = Id::from(format!("{inv:x}"));
        let time_left = client_deadline - ANSWER_TRANSIT - self.now;
        self.judge.observe(
            self.now,
            Observation::Taken { inv, dispatcher: d, operation, expires_at: client_deadline },
        );
        let open = OpenInvocation { id: id.clone(), at: self.now, answered: false, sent: Vec::new() };
        self.dispatchers[d as usize].invocations.insert(inv, open);
        if time_left <= 0 {
            return self.answer(d, inv, FinalStatus::Throttled, None);
        }
        let now = self.now;
        let admission = self.dispatchers[d as usize]
            .startup
            .as_mut()
            .map_or(Ok(()), |startup| startup.admit(operation, now));
        if let Err(retry_after) = admission {
            return self.answer(d, inv, FinalStatus::Throttled, retry_after);
        }
        let incarnation = self.incarnation(d);
        self.push(self.now + time_left, ClockEvent::DeadlineReached(incarnation, inv));
        self.handle_event(
            d,
            Event::Arrival(Arrival {
                invocation: id,
                operation,
                time_left,
                slots: 1.0,
                work_hint: None,
                key,
            }),
        );
    }

    /// Cancels the forward in flight and answers with an error when a dispatcher's own deadline has passed.
    fn deadline_reached(&mut self, incarnation: Incarnation, inv: u64) {
        let now = self.now;
        let Some(dispatcher) = self.running_dispatcher(incarnation) else { return };
        let Some(open) = dispatcher.invocations.get_mut(&inv).filter(|open| !open.answered) else { return };
        if let Some(number) = open.sent.iter().position(|sent| sent.in_flight) {
            open.sent[number].in_flight = false;
            let (r, elapsed) = (open.sent[number].runner, now - open.sent[number].at);
            let id = open.id.clone();
            let zone = dispatcher.zone;
            self.send(
                zone,
                self.world.runners[r as usize].zone,
                ClockEvent::Cancel(incarnation, inv, number as u32, r),
            );
            self.report_outcome(
                incarnation.dispatcher,
                (inv, id),
                (number as u32, r),
                ForwardResult::TimedOut,
                elapsed,
                None,
            );
        }
        // The policy may leave the invocation unanswered, but its client still gets an answer.
        if let Some(open) = self.dispatchers[incarnation.dispatcher as usize]
            .invocations
            .get(&inv)
            .filter(|open| !open.answered)
        {
            let id = open.id.clone();
            self.answer(incarnation.dispatcher, inv, FinalStatus::Errored, None);
            self.handle_event(incarnation.dispatcher, Event::ClientLeft { invocation: id });
        }
    }

    /// Reports the end of a forward to the routing policy, after answering the invocation if it succeeded.
    fn report_outcome(
        &mut self,
        d: u32,
        (inv, id): (u64, Id),
        (forward, r): (u32, u32),
        result: ForwardResult,
        elapsed: Micros,
        load: Option<LoadReport>,
    ) {
        let mut answered =
            self.dispatchers[d as usize].invocations.get(&inv).is_none_or(|open| open.answered);
        if result == ForwardResult::Succeeded && !answered {
            answered = true;
            self.answer(d, inv, FinalStatus::Succeeded, None);
        }
        let runner_id = self.ids[r as usize].clone();
        let outcome = ForwardOutcome {
            invocation: id,
            forward,
            runner: runner_id,
            result,
            answered,
            elapsed,
            report: report_values(load),
        };
        self.remove_if_finished(d, inv);
        self.handle_event(d, Event::Outcome(outcome));
    }

    /// Removes an invocation that is answered and has no forward in flight.
    fn remove_if_finished(&mut self, d: u32, inv: u64) {
        let invocations = &mut self.dispatchers[d as usize].invocations;
        if invocations
            .get(&inv)
            .is_some_and(|open| open.answered && !open.sent.iter().any(|sent| sent.in_flight))
        {
            invocations.remove(&inv);
        }
    }

    /// Sends the final answer of an invocation, once.
    fn answer(&mut self, d: u32, inv: u64, how: FinalStatus, retry_after: Option<Micros>) {
        let dispatcher = &mut self.dispatchers[d as usize];
        let Some(open) = dispatcher.invocations.get_mut(&inv).filter(|open| !open.answered) else { return };
        open.answered = true;
        self.judge.observe(self.now, Observation::Answered { inv, how });
        let seen = match how {
            FinalStatus::Succeeded => load::AttemptResult::Succeeded,
            FinalStatus::Throttled => load::AttemptResult::Throttled(retry_after),
            FinalStatus::Errored => load::AttemptResult::Errored,
        };
        let delay = self.client_delay();
        self.push(self.now + delay, ClockEvent::ResultArrived(inv, seen));
        self.remove_if_finished(d, inv);
    }

    /// Passes one event to the routing policy and carries out its actions.
    fn handle_event(&mut self, d: u32, event: Event) {
        self.decisions += 1;
        let dispatcher = &mut self.dispatchers[d as usize];
        let began = self.options.measure_time.then(Instant::now);
        let time_index = usize::from(!matches!(event, Event::Roster(_)));
        let actions = dispatcher.decision_maker.decide(self.now, event, &self.world.runners);
        self.decision_time[time_index] += began.map_or(Duration::ZERO, |began| began.elapsed());
        let incarnation = self.incarnation(d);
        for action in actions {
            match action {
                Action::Forward { invocation: inv, runner: runner_id, .. } => {
                    self.forward(incarnation, &inv, &runner_id)
                }
                Action::Cancel { invocation: inv, forward } => {
                    let inv = invocation_number(&inv);
                    let sent = self.dispatchers[d as usize].invocations.get(&inv);
                    let sent =
                        sent.and_then(|open| open.sent.get(forward as usize)).filter(|sent| sent.in_flight);
                    let Some((r, bytes_sent)) = sent.map(|sent| (sent.runner, sent.bytes_sent)) else {
                        continue;
                    };
                    if !bytes_sent {
                        // As on sockets: a forward that was not sent is withdrawn at once. Otherwise a
                        // forward could follow an answer that arrives in between.
                        self.push(
                            self.now,
                            ClockEvent::ForwardEnded(
                                incarnation,
                                inv,
                                forward,
                                ForwardResult::Withdrawn,
                                None,
                            ),
                        );
                    } else {
                        self.tally.traffic.cancels += 1;
                        let (from, to) = self.zones_of(d, r);
                        self.send(from, to, ClockEvent::Cancel(incarnation, inv, forward, r));
                    }
                }
                Action::Throttle { invocation: inv, retry_after } => {
                    let now = self.now;
                    if let Some(startup) = &mut self.dispatchers[d as usize].startup {
                        startup.note_throttled(now);
                    }
                    self.answer(d, invocation_number(&inv), FinalStatus::Throttled, retry_after);
                }
                Action::Error { invocation: inv } => {
                    self.answer(d, invocation_number(&inv), FinalStatus::Errored, None)
                }
                Action::Probe { runner: runner_id } => self.probe(incarnation, runner_number(&runner_id)),
                Action::Subscribe => {
                    let zone = self.dispatchers[d as usize].zone;
                    self.send(zone, 0, ClockEvent::DiscoveryCall(incarnation));
                }
                Action::SetTimer { after } => {
                    self.push(self.now + after.max(1), ClockEvent::TimerFired(incarnation))
                }
                Action::Log(_) => {}
            }
        }
    }

    /// The zones of a dispatcher and of a runner.
    fn zones_of(&self, d: u32, r: u32) -> (usize, usize) {
        (self.dispatchers[d as usize].zone, self.world.runners[r as usize].zone)
    }

    /// Forwards an invocation over an idle connection or a new one. A forward that is no longer possible ends
    /// as void.
    fn forward(&mut self, incarnation: Incarnation, id: &Id, runner_id: &Id) {
        let (inv, r, now) = (invocation_number(id), runner_number(runner_id), self.now);
        let dispatcher = &mut self.dispatchers[incarnation.dispatcher as usize];
        let Some(open) = dispatcher.invocations.get_mut(&inv) else { return };
        let number = open.sent.len() as u32;
        let sendable = !open.answered && !open.sent.iter().any(|sent| sent.in_flight);
        open.sent.push(SentForward { bytes_sent: false, runner: r, at: now, in_flight: sendable });
        if !sendable {
            return self
                .push(now, ClockEvent::ForwardEnded(incarnation, inv, number, ForwardResult::Void, None));
        }
        if let Some((idle, _)) = dispatcher.connections.get_mut(&r).filter(|(idle, _)| *idle > 0) {
            *idle -= 1;
            return self.send_forward(incarnation, inv, number, r);
        }
        self.dial(
            incarnation,
            r,
            ClockEvent::Connected(incarnation, inv, number, r),
            ClockEvent::ForwardEnded(incarnation, inv, number, ForwardResult::Unreachable, None),
        );
    }

    /// Opens a connection: schedules the event `connected` or `failed`.
    fn dial(&mut self, incarnation: Incarnation, r: u32, connected: ClockEvent, failed: ClockEvent) {
        let (from, to) = self.zones_of(incarnation.dispatcher, r);
        let round_trip = self.delay(from, to) + self.delay(to, from);
        let runner = &self.world.runners[r as usize];
        // A link that works in one direction only establishes no connection.
        let linked = self.world.is_linked(from, to) && self.world.is_linked(to, from);
        if runner.state == ProcessState::Silent || !linked {
            self.push(self.now + self.scenario.limits.dial_timeout.0, failed);
        } else if runner.state == ProcessState::Down || runner.connections >= runner.max_connections {
            self.push(self.now + round_trip, failed);
        } else {
            self.push(self.now + round_trip + runner.handshake(), connected);
        }
    }

    /// Opens a connection at a runner; false if it does not accept one.
    fn open_connection(&mut self, incarnation: Incarnation, r: u32) -> bool {
        let now = self.now;
        let runner = &mut self.world.runners[r as usize];
        let accepted = runner.state == ProcessState::Up && runner.connect(now);
        if accepted {
            self.tally.traffic.connections += 1;
            self.reschedule(r);
            if let Some(dispatcher) = self.running_dispatcher(incarnation) {
                dispatcher.connections.entry(r).or_default().1 += 1;
            }
        }
        accepted
    }

    /// Uses a new connection for its forward, or leaves it idle if the forward has ended meanwhile.
    fn dial_ended(&mut self, incarnation: Incarnation, inv: u64, number: u32, r: u32) {
        let Some(dispatcher) = self.running_dispatcher(incarnation) else { return };
        let in_flight =
            dispatcher.invocations.get(&inv).is_some_and(|open| open.sent[number as usize].in_flight);
        if !self.open_connection(incarnation, r) {
            return self.push(
                self.now,
                ClockEvent::ForwardEnded(incarnation, inv, number, ForwardResult::Unreachable, None),
            );
        }
        if in_flight {
            self.send_forward(incarnation, inv, number, r);
        } else if let Some((idle, _)) =
            self.running_dispatcher(incarnation).and_then(|dispatcher| dispatcher.connections.get_mut(&r))
        {
            *idle += 1;
        }
    }

    /// Sends a forward to its runner.
    fn send_forward(&mut self, incarnation: Incarnation, inv: u64, number: u32, r: u32) {
        if let Some(open) = self.dispatchers[incarnation.dispatcher as usize].invocations.get_mut(&inv) {
            open.sent[number as usize].bytes_sent = true;
        }
        let (from, to) = self.zones_of(incarnation.dispatcher, r);
        let runner = &self.world.runners[r as usize];
        let cold = (runner.warmth(self.now) < 1.0).then(|| runner.capacity(self.now));
        let work = self.requests.get(&(inv >> ATTEMPT_BITS)).map_or(0.0, |open| open.request.work);
        self.judge.observe(
            self.now,
            Observation::Forwarded { inv, dispatcher: incarnation.dispatcher, runner: r, work, cold },
        );
        self.tally.traffic.forwards += 1;
        self.tally.traffic.crossings += u64::from(from != to);
        self.tally.forwards[r as usize] += 1;
        self.send(from, to, ClockEvent::Submit(incarnation, inv, number, r));
    }

    /// Probes a runner's load, over an idle connection or a new one.
    fn probe(&mut self, incarnation: Incarnation, r: u32) {
        self.tally.traffic.probes += 1;
        self.serial += 1;
        let nth = self.serial;
        let (from, to) = self.zones_of(incarnation.dispatcher, r);
        let dispatcher = &mut self.dispatchers[incarnation.dispatcher as usize];
        dispatcher.probes.insert(r, nth);
        let has_idle_connection = dispatcher.connections.get(&r).is_some_and(|(idle, _)| *idle > 0);
        let timeout_at = self.now + self.scenario.limits.probe_timeout.0;
        self.push(timeout_at, ClockEvent::ProbeEnded(incarnation, r, nth, None));
        if has_idle_connection {
            self.send(from, to, ClockEvent::Probe(incarnation, r, nth));
        } else if self.world.runners[r as usize].state == ProcessState::Up
            && self.open_connection(incarnation, r)
        {
            let delay = 2 * self.delay(from, to) + self.world.runners[r as usize].handshake();
            if let Some((idle, _)) = self.dispatchers[incarnation.dispatcher as usize].connections.get_mut(&r)
            {
                *idle += 1;
            }
            if self.world.is_linked(from, to) {
                self.push(self.now + delay, ClockEvent::Probe(incarnation, r, nth));
            }
        } else if self.world.runners[r as usize].state != ProcessState::Silent {
            let delay = 2 * self.delay(from, to);
            self.push(self.now + delay, ClockEvent::ProbeEnded(incarnation, r, nth, None));
        }
    }

    /// Handles the end of a forward that has reached its dispatcher.
    fn forward_ended(
        &mut self,
        incarnation: Incarnation,
        inv: u64,
        number: u32,
        result: ForwardResult,
        load: Option<LoadReport>,
    ) {
        let now = self.now;
        let operation = self.requests.get(&(inv >> ATTEMPT_BITS)).map(|open| open.request.operation);
        let Some(dispatcher) = self.running_dispatcher(incarnation) else { return };
        let Some(open) = dispatcher.invocations.get_mut(&inv) else { return };
        let id = open.id.clone();
        if let Some(startup) = dispatcher.startup.as_mut().filter(|_| result == ForwardResult::Succeeded)
            && let Some(operation) = operation
        {
            startup.record_success(operation, now - open.at);
        }
        let sent = &mut open.sent[number as usize];
        let (r, elapsed, was_in_flight) = (sent.runner, now - sent.at, sent.in_flight);
        sent.in_flight = false;
        let how = match result {
            ForwardResult::Succeeded => Some(ForwardEnd::Succeeded),
            ForwardResult::Overloaded => Some(ForwardEnd::NeverRan),
            // No byte was sent: the judge never saw a forward.
            ForwardResult::Unreachable | ForwardResult::Void => None,
            ForwardResult::Withdrawn => None,
            _ => Some(ForwardEnd::MayHaveRun),
        };
        if let Some(how) = how {
            self.judge.observe(now, Observation::Ended { inv, runner: r, how });
        }
        if was_in_flight || result == ForwardResult::Void {
            self.report_outcome(incarnation.dispatcher, (inv, id), (number, r), result, elapsed, load);
        } else if result == ForwardResult::Succeeded {
            // It was cancelled but succeeded nevertheless: this result answers the invocation.
            self.answer(incarnation.dispatcher, inv, FinalStatus::Succeeded, None);
            self.handle_event(incarnation.dispatcher, Event::ClientLeft { invocation: id });
        }
    }

    // Runners.

    /// Handles a message that has reached a runner; it is held while the process is frozen.
    fn runner_reached(&mut self, event: ClockEvent) {
        let r = match event {
            ClockEvent::Submit(_, _, _, r) | ClockEvent::Cancel(_, _, _, r) | ClockEvent::Probe(_, r, _) => r,
            _ => return,
        };
        let runner = &self.world.runners[r as usize];
        match runner.state {
            ProcessState::Silent => return,
            ProcessState::Down => return self.reset_connection(event),
            ProcessState::Up if runner.frozen => return self.inbox[r as usize].push(event),
            ProcessState::Up => {}
        }
        match event {
            ClockEvent::Submit(incarnation, inv, number, r) => self.submit(incarnation, inv, number, r),
            ClockEvent::Cancel(incarnation, inv, number, r) => {
                self.judge.observe(self.now, Observation::Withdrawn { inv, runner: r });
                // A later forward of the same invocation to the same runner is not this one.
                if self.owners.get(&(r, inv)).is_some_and(|(_, sent)| *sent == number) {
                    self.owners.remove(&(r, inv));
                    let mut job_events = std::mem::take(&mut self.job_event_buffer);
                    self.world.runners[r as usize].cancel(self.now, inv, &mut job_events);
                    self.handle_job_events(r, &mut job_events);
                    self.job_event_buffer = job_events;
                    self.reschedule(r);
                }
                let (to, from) = self.zones_of(incarnation.dispatcher, r);
                self.send(
                    from,
                    to,
                    ClockEvent::ForwardEnded(incarnation, inv, number, ForwardResult::Withdrawn, None),
                );
            }
            ClockEvent::Probe(incarnation, r, nth) => {
                let load = self.world.runners[r as usize].report(self.now);
                let (to, from) = self.zones_of(incarnation.dispatcher, r);
                self.send(from, to, ClockEvent::ProbeEnded(incarnation, r, nth, Some(load)));
            }
            _ => {}
        }
    }

    /// Handles a message to a process that is gone: the connection is reset.
    fn reset_connection(&mut self, event: ClockEvent) {
        match event {
            ClockEvent::Submit(incarnation, inv, number, r) => {
                let (to, from) = self.zones_of(incarnation.dispatcher, r);
                self.send(
                    from,
                    to,
                    ClockEvent::ForwardEnded(incarnation, inv, number, ForwardResult::Broken, None),
                );
            }
            ClockEvent::Cancel(incarnation, inv, number, r) => {
                self.judge.observe(self.now, Observation::Withdrawn { inv, runner: r });
                let (to, from) = self.zones_of(incarnation.dispatcher, r);
                self.send(
                    from,
                    to,
                    ClockEvent::ForwardEnded(incarnation, inv, number, ForwardResult::Withdrawn, None),
                );
            }
            ClockEvent::Probe(incarnation, r, nth) => {
                let (to, from) = self.zones_of(incarnation.dispatcher, r);
                self.send(from, to, ClockEvent::ProbeEnded(incarnation, r, nth, None));
            }
            _ => {}
        }
    }

    /// Offers a forward to its runner and schedules the reply.
    fn submit(&mut self, incarnation: Incarnation, inv: u64, number: u32, r: u32) {
        let (to, from) = self.zones_of(incarnation.dispatcher, r);
        let Some(open) = self.requests.get(&(inv >> ATTEMPT_BITS)) else {
            // The client has its answer or has left, and the work of the request is no longer stored: the job
            // fails at once.
            return self.send(
                from,
                to,
                ClockEvent::ForwardEnded(incarnation, inv, number, ForwardResult::Errored, None),
            );
        };
        let (operation, work) = (open.request.operation, open.request.work);
        let mut job_events = std::mem::take(&mut self.job_event_buffer);
        let runner = &mut self.world.runners[r as usize];
        let reply = runner.offer(self.now, inv, operation, work, &mut job_events);
        let load = runner.report(self.now);
        self.send(from, to, ClockEvent::ConnectionIdle(incarnation, r));
        match reply {
            OfferResult::Accepted => {
                self.owners.insert((r, inv), (incarnation, number));
            }
            OfferResult::Full => {
                self.tally.traffic.turned_away += 1;
                self.send(
                    from,
                    to,
                    ClockEvent::ForwardEnded(incarnation, inv, number, ForwardResult::Overloaded, Some(load)),
                );
            }
            OfferResult::Failed => {
                self.send(
                    from,
                    to,
                    ClockEvent::ForwardEnded(incarnation, inv, number, ForwardResult::Errored, Some(load)),
                );
            }
        }
        self.handle_job_events(r, &mut job_events);
        self.job_event_buffer = job_events;
        self.reschedule(r);
    }

    /// Processes what is due at a runner.
    fn process_runner(&mut self, r: u32) {
        let mut job_events = std::mem::take(&mut self.job_event_buffer);
        self.world.runners[r as usize].wake(self.now, &mut job_events);
        self.handle_job_events(r, &mut job_events);
        self.job_event_buffer = job_events;
        self.reschedule(r);
    }

    /// Schedules a runner's next event anew if its time has changed.
    fn reschedule(&mut self, r: u32) {
        let due = self.world.runners[r as usize].due();
        let (at, nth) = self.runner_due[r as usize];
        if due != at {
            self.runner_due[r as usize] = (due, nth + 1);
            if let Some(due) = due {
                self.push(due.max(self.now), ClockEvent::RunnerDue(r, nth + 1));
            }
        }
    }

    /// Sends what has happened to jobs to the dispatchers that wait for them.
    fn handle_job_events(&mut self, r: u32, events: &mut Vec<(u64, JobEvent)>) {
        for (inv, job_event) in events.drain(..) {
            if job_event == JobEvent::Started {
                self.job_started(r, inv);
                continue;
            }
            let Some((incarnation, number)) = self.owners.get(&(r, inv)).copied() else { continue };
            let (to, from) = self.zones_of(incarnation.dispatcher, r);
            let load = Some(self.world.runners[r as usize].report(self.now));
            let result = match job_event {
                JobEvent::Progress(_) => {
                    self.send(from, to, ClockEvent::Progress(incarnation, inv, number));
                    continue;
                }
                JobEvent::Done => ForwardResult::Succeeded,
                JobEvent::Returned => ForwardResult::Overloaded,
                JobEvent::Started | JobEvent::Failed => ForwardResult::Errored,
            };
            self.owners.remove(&(r, inv));
            self.send(from, to, ClockEvent::ForwardEnded(incarnation, inv, number, result, load));
        }
    }

    /// A job starts; the judge is notified if its effect is new within its deduplication scope.
    fn job_started(&mut self, r: u32, inv: u64) {
        use crate::scenario::{DeduplicationScope, Effect};
        let request = inv >> ATTEMPT_BITS;
        let Some(open) = self.requests.get(&request) else { return };
        let op = &self.scenario.operation[open.request.operation];
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
                let known = self.first_effects.get(&(request, group)).copied();
                // Real runners remember the invocation from when it was first sent. Here the span begins at
                // the start of the job, somewhat later, which errs in the dispatcher's favour.
                let new = known.is_none_or(|at| now > at + op.memory_span.0);
                if new {
                    self.first_effects.insert((request, group), now);
                }
                new
            }
        };
        if new {
            self.judge.observe(self.now, Observation::Ran { inv, runner: r });
        }
    }

    // Faults.

    /// Applies a change of the world's schedule.
    fn apply_change(&mut self, nth: usize) {
        let change = self.world.schedule[nth].1.clone();
        match change {
            Change::Kill(d) => self.kill(d),
            Change::StartDispatcher(d) => {
                self.start_dispatcher(d);
                let incarnation = self.incarnation(d);
                self.push(self.now + MAX_NOTIFICATION_SKEW, ClockEvent::FrontNotice(incarnation, true));
            }
            Change::Suspend(d, suspended) => self.set_suspended(d, suspended),
            Change::Term(d) => {
                self.push(self.now + TERM_NOTICE_DELAY, ClockEvent::FrontNotice(self.incarnation(d), false))
            }
            _ => {}
        }
        let effects = self.world.apply(self.now, &change);
        for (r, inv) in &effects.lost {
            let Some((incarnation, number)) = self.owners.remove(&(*r as u32, *inv)) else { continue };
            // Only a machine that still runs reports its lost jobs; a silent one cannot.
            if self.world.runners[*r].state == ProcessState::Down {
                self.push(
                    self.now + AGENT_NOTICE_DELAY,
                    ClockEvent::ForwardEnded(incarnation, *inv, number, ForwardResult::Broken, None),
                );
            }
        }
        for r in &effects.reset {
            for dispatcher in &mut self.dispatchers {
                dispatcher.connections.remove(&(*r as u32));
            }
            for event in std::mem::take(&mut self.inbox[*r]) {
                self.reset_connection(event);
            }
        }
        for r in &effects.thawed {
            for event in std::mem::take(&mut self.inbox[*r]) {
                self.runner_reached(event);
            }
        }
        for (r, inv, job_event) in effects.job_events {
            self.handle_job_events(r as u32, &mut vec![(inv, job_event)]);
        }
        for (r, state, after) in effects.listed {
            self.push(self.now + after, ClockEvent::Listed(r as u32, state));
        }
        if effects.healed {
            for (from, to, event) in std::mem::take(&mut self.held_messages) {
                self.send(from, to, event);
            }
        }
        match change {
            Change::Discovery(false) => {
                for d in 0..self.dispatchers.len() as u32 {
                    let incarnation = self.incarnation(d);
                    self.push(self.now, ClockEvent::DiscoveryRefused(incarnation));
                }
            }
            Change::Stop(r, _) | Change::Start(r) | Change::Freeze(r, _) | Change::Slow(r, _) => {
                self.reschedule(r as u32);
            }
            Change::Drain(r) | Change::Retire(r) => self.reschedule(r as u32),
            _ => {}
        }
    }

    /// Kills a dispatcher's process: connections end, and unanswered invocations are lost.
    fn kill(&mut self, d: u32) {
        let dispatcher = &mut self.dispatchers[d as usize];
        dispatcher.alive = false;
        dispatcher.killed_at = Some(self.now);
        dispatcher.epoch += 1;
        dispatcher.subscribed = false;
        for event in dispatcher.suspended_events.take().unwrap_or_default() {
            if let ClockEvent::RequestArrived(inv, _) = event {
                let delay = self.client_delay();
                self.push(self.now + delay, ClockEvent::ResultArrived(inv, load::AttemptResult::NoAnswer));
            }
        }
        let dispatcher = &mut self.dispatchers[d as usize];
        let mut unanswered: Vec<u64> =
            dispatcher.invocations.drain().filter(|(_, open)| !open.answered).map(|(inv, _)| inv).collect();
        unanswered.sort_unstable();
        for (r, (_, all)) in std::mem::take(&mut dispatcher.connections) {
            let runner = &mut self.world.runners[r as usize];
            runner.connections = runner.connections.saturating_sub(all);
        }
        dispatcher.probes.clear();
        for inv in unanswered {
            self.judge.observe(self.now, Observation::Lost { inv });
            let delay = self.client_delay();
            self.push(self.now + delay, ClockEvent::ResultArrived(inv, load::AttemptResult::NoAnswer));
        }
        let notice_delay = self.scenario.clients.front_notice.0;
        let incarnation = self.incarnation(d);
        self.push(self.now + notice_delay, ClockEvent::FrontNotice(incarnation, false));
    }

    /// Suspends or resumes a dispatcher's process.
    fn set_suspended(&mut self, d: u32, suspended: bool) {
        let incarnation = self.incarnation(d);
        let dispatcher = &mut self.dispatchers[d as usize];
        if !dispatcher.alive || dispatcher.suspended_events.is_some() == suspended {
            return;
        }
        self.judge.observe(self.now, Observation::Still { dispatcher: d, still: suspended });
        if suspended {
            dispatcher.suspended_events = Some(Vec::new());
        } else {
            // As on sockets, where all that has arrived is read before anything is decided, rosters first.
            let mut held = dispatcher.suspended_events.take().unwrap_or_default();
            held.sort_by_key(|event| {
                !matches!(
                    event,
                    ClockEvent::RosterChange(..)
                        | ClockEvent::WholeRoster(_)
                        | ClockEvent::DiscoveryRefused(_)
                )
            });
            held.into_iter().for_each(|event| self.push(self.now, event));
        }
        if suspended {
            self.push(
                self.now + self.scenario.clients.front_notice.0,
                ClockEvent::SuspensionNoticed(incarnation),
            );
        } else {
            self.push(self.now + MAX_NOTIFICATION_SKEW, ClockEvent::FrontNotice(incarnation, true));
        }
    }

    /// Starts a new process of a dispatcher, which remembers the runners that are listed as up.
    fn start_dispatcher(&mut self, d: u32) {
        let nth = d as usize;
        let zone = nth % self.world.zones;
        let (epoch, starts) = self.dispatchers.get(nth).map_or((0, 0), |old| (old.epoch + 1, old.starts + 1));
        let (now, killed_at) = (self.now, self.dispatchers.get(nth).and_then(|old| old.killed_at));
        let settings = &self.settings[nth];
        let has_peers = settings.slow_start_is_shared;
        let seed = seeded_generator(self.seed, 1 << 41 | u64::from(d) << 8 | starts).random();
        let dispatcher = Dispatcher {
            decision_maker: new_decision_maker(self.policy, self.settings[nth].clone(), seed),
            alive: true,
            epoch,
            starts,
            zone,
            invocations: FxHashMap::default(),
            connections: FxHashMap::default(),
            probes: FxHashMap::default(),
            subscribed: false,
            suspended_events: None,
            startup: self.scenario.store.is_some().then(|| {
                let rng = seeded_generator(self.seed, 1 << 42 | u64::from(d) << 8 | starts);
                Startup::new(settings, has_peers, self.world.runners.len(), rng, now)
            }),
            peers: has_peers.then(|| {
                let rng = seeded_generator(self.seed, 1 << 43 | u64::from(d) << 8 | starts);
                let paused_until = killed_at.map_or(now, |at| at + settings.overload_window);
                PeerMessages::new(
                    (d, self.scenario.dispatchers),
                    starts + 1,
                    settings,
                    rng,
                    paused_until,
                    now,
                )
            }),
            killed_at: None,
        };
        if nth < self.dispatchers.len() {
            self.dispatchers[nth] = dispatcher;
        } else {
            self.dispatchers.push(dispatcher);
        }
        self.judge.observe(self.now, Observation::Began { dispatcher: d });
        if has_peers {
            let incarnation = self.incarnation(d);
            self.push(now, ClockEvent::PeerRound(incarnation));
        }
        let listed = (0..self.listing_states.len()).filter(|r| self.listing_states[*r] == ListingState::Up);
        let entries = listed.map(|r| self.entry(r as u32, ListingState::Up)).collect();
        self.handle_event(d, Event::Roster(Roster { listing: Listing::Remembered, entries }));
    }

    // Discovery.

    /// A runner's roster entry in this state.
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
            started_at: runner.launched.filter(|_| state == ListingState::Up),
        }
    }

    /// Updates a runner's state at discovery and sends it to all subscribers.
    fn update_listing(&mut self, r: u32, state: ListingState) {
        let runner = &self.world.runners[r as usize];
        // A state older than the runner's latest start is ignored.
        if state != ListingState::Up && runner.state == ProcessState::Up && !runner.draining {
            return;
        }
        self.listing_states[r as usize] = state;
        let (wanted, launched) = (state == ListingState::Up, runner.launched);
        self.judge.observe(self.now, Observation::Listed { runner: r, wanted, launched });
        if !self.world.discovery_up {
            return;
        }
        for d in 0..self.dispatchers.len() as u32 {
            if self.dispatchers[d as usize].subscribed {
                let incarnation = self.incarnation(d);
                let zone = self.dispatchers[d as usize].zone;
                let after = self.network_rng.random_range(0..MAX_NOTIFICATION_SKEW);
                if self.world.is_linked(0, zone) {
                    self.push(self.now + after, ClockEvent::RosterChange(incarnation, r, state));
                } else {
                    self.held_messages.push((0, zone, ClockEvent::RosterChange(incarnation, r, state)));
                }
            }
        }
    }

    /// Handles a call that has reached discovery, which processes calls one after the other.
    fn discovery_called(&mut self, incarnation: Incarnation) {
        self.tally.record_discovery_call(self.now);
        let discovery = &self.scenario.discovery;
        let begins = self.discovery_busy_until.max(self.now);
        let zone = self.dispatchers[incarnation.dispatcher as usize].zone;
        if !self.world.discovery_up || begins - self.now > discovery.call_most.0 {
            return self.send(0, zone, ClockEvent::DiscoveryRefused(incarnation));
        }
        self.discovery_busy_until = begins + discovery.call.0;
        if self.world.is_linked(0, zone) {
            let delay = self.delay(0, zone);
            self.push(self.discovery_busy_until + delay, ClockEvent::WholeRoster(incarnation));
        } else {
            self.held_messages.push((0, zone, ClockEvent::WholeRoster(incarnation)));
        }
    }

    /// Delivers the whole roster to a dispatcher, which is subscribed from then on.
    fn send_whole_roster(&mut self, incarnation: Incarnation) {
        let Some(dispatcher) = self.running_dispatcher(incarnation) else { return };
        dispatcher.subscribed = true;
        let mut entries = Vec::with_capacity(self.listing_states.len());
        for r in 0..self.listing_states.len() as u32 {
            let state = self.listing_states[r as usize];
            let wanted = state == ListingState::Up;
            if !wanted || self.world.runners[r as usize].launched.is_some() {
                self.judge.observe(
                    self.now,
                    Observation::Told { dispatcher: incarnation.dispatcher, runner: r, wanted },
                );
            }
            if state != ListingState::Gone {
                entries.push(self.entry(r, state));
            }
        }
        let now = self.now;
        let (states, runners) = (&self.listing_states, &self.world.runners);
        if let Some(startup) = &mut self.dispatchers[incarnation.dispatcher as usize].startup {
            let listed = states.iter().zip(runners).enumerate();
            startup.update_roster(
                listed.map(|(r, (state, runner))| (r as u32, *state == ListingState::Up, runner.launched)),
                true,
                now,
            );
        }
        self.handle_event(incarnation.dispatcher, Event::Roster(Roster { listing: Listing::All, entries }));
        self.update_slow_start_shares(incarnation.dispatcher);
    }

    /// Counts the jobs of all runners.
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
            self.push(self.now + self.options.sample_interval, ClockEvent::Sample);
        }
    }

    /// Ends the run and computes its outcome.
    fn finish(mut self) -> Run {
        self.judge.finish(self.now);
        let samples = (self.sampled.0 * self.world.runners.len() as u64).max(1) as f64;
        let mut tails: Tails = Vec::new();
        let mut above = 0;
        for count in self.sampled.1.iter().rev() {
            above += count;
            tails.push(above as f64 / samples);
        }
        tails.reverse();
        let runners = runner_outcomes(self.scenario, &self.world, &self.tally.forwards);
        let program = match self.policy {
            Policy::Topazsail => "topazsail (module, in process)".to_owned(),
            other => format!("baseline {other:?}"),
        };
        let details = RunDetails {
            clock: "virtual".to_owned(),
            program,
            seed: self.seed,
            runners,
            faults: std::mem::take(&mut self.world.fault_bands),
            cold: (self.judge.cold_work, self.judge.max_cold_share),
            cold_calls: self.judge.cold_calls,
            verdict: self.judge.verdict,
            void: Vec::new(),
            processes: Vec::new(),
            notes: Vec::new(),
        };
        Run {
            outcome: self.tally.outcome(self.scenario, details),
            tails,
            decisions: self.decisions,
            decision_time: self.decision_time,
        }
    }
}

/// What each runner did, for the report.
pub fn runner_outcomes(scenario: &Scenario, world: &World, forwards: &[u64]) -> Vec<RunnerOutcome> {
    let outcome_of = |(r, runner): (usize, &crate::runner::Runner)| RunnerOutcome {
        name: format!("r{r}"),
        zone: scenario.zones.names[runner.zone].clone(),
        kind: scenario.pool[runner.kind].kind.clone(),
        forwards: forwards[r],
        used: round(runner.work_done / (scenario.length.0 as f64 * f64::from(runner.slots) * runner.speed)),
    };
    world.runners.iter().enumerate().map(outcome_of).collect()
}

/// The number of an invocation, from its id.
fn invocation_number(inv: &Id) -> u64 {
    u64::from_str_radix(inv, 16).unwrap_or(u64::MAX)
}

/// The values of a load report as the dispatcher's settings list them.
fn report_values(load: Option<LoadReport>) -> Vec<f64> {
    load.map_or(Vec::new(), |load| {
        vec![f64::from(load.free), f64::from(load.waiting), f64::from(load.in_flight)]
    })
}
