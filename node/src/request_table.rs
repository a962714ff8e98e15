//! The open invocations and their forwards: what the parts heard becomes the brain's events, and what the
//! brain decides becomes calls of the parts.
//!
//! It is the only caller of the brain, and owns what each invocation is still owed: one final answer, and one
//! outcome for each forward. It must never choose a runner, a retry or an answer of its own, but for the
//! error that an invocation gets when its client's time is over, and must never send a forward twice.

mod peer_exchange;
mod persistence;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

use topazsail::{
    Action, Arrival, Event, ForwardResult, Id, Listing, Micros, Outcome, Readiness, Roster as List,
    RoutingPolicy, SlowStartUsage,
};
use topazsail_recovery::Stage;
use topazsail_recovery::limits::OperationValue;
use topazsail_settings::DecodedSettings;

use crate::config::{self, Configuration};
use crate::ingress::clients::{self, Clients, Invocation, JobState, RunnerCallback};
use crate::ingress::operators::{Call, Operators};
use crate::lifecycle::handover::{HandoverMessage, HandoverPeer, HandoverState};
use crate::lifecycle::store_thread::StoreThread;
use crate::metrics::{self, FinalStatus, Gauges, Metrics};
use crate::net::connection::{ConnectionDriver, ConnectionHandler, ConnectionId, ConnectionRole, Timer};
use crate::net::http::HttpError;
use crate::net::log::log;
use crate::upstream::membership::{Membership, ROSTER_LEASE_TIMEOUT};
use crate::upstream::roster::{self, Roster, RosterSnapshot};
use crate::upstream::runners::{self, Runners};

const SUCCEEDED: u16 = 200;
const THROTTLED: u16 = 429;
const ERRORED: u16 = 502;
/// Taken, but not to be held: nothing has been forwarded.
const NO_ROOM: u16 = 503;
const ROOM_AGAIN: Micros = 1_000_000;
/// What a client gets whose request a runner will not take in this form.
const UNUSABLE: u16 = 400;
/// How many ids are known after their final answer: each is for one request only, and whoever sends one again
/// has it from somebody else.
const CLOSED_KEPT: usize = 4096;
/// How long an answer may take that the brain owes when the time is over.
const OVERDUE: Micros = 10_000;
/// A cancel that failed is tried again after this, doubled each time: the forward is out until then.
const CANCEL_AGAIN: Micros = 125_000;
const CANCEL_AGAIN_MOST: Micros = 2_000_000;
/// After being told to end we are killed no sooner than the longest client timeout, or this where that is less,
/// and 0.7 s more.
const DOWN_LONGEST: Micros = 3_000_000;
/// Whatever is not answered so long after the longest client timeout is given up, well before we are killed.
const DOWN_GRACE: Micros = 300_000;
/// So long after that the process ends, whoever still has a connection; 0.1 s before it is killed at the earliest.
const END_GRACE: Micros = 300_000;
const DOWN_STEP: Micros = 50_000;
/// A start says that it is ready once it has a list that it may act upon, or after this: nine in ten must be ready within
/// 10 s, however long discovery keeps them waiting.
const READY_BY: Micros = 9_000_000;
/// How often a lease that has lapsed is looked at.
const LEASE_AGAIN: Micros = 1_000_000;

struct Forward {
    tgt: Id,
    at: Micros,
    out: bool,
    /// Its runner has answered 202.
    taken: bool,
    /// How often a cancel has failed.
    cancels: u32,
    /// The call-back that ended it.
    told: Option<u64>,
}

struct Open {
    connection: ConnectionId,
    operation: usize,
    taken_at: Micros,
    expires_at: Micros,
    head: Vec<u8>,
    body: Vec<u8>,
    answered: bool,
    /// The brain has been told that its time is over.
    over: bool,
    forwards: Vec<Forward>,
}

impl Open {
    fn out(&self) -> Option<u32> {
        self.forwards.iter().position(|forward| forward.out).map(|number| number as u32)
    }

    fn size(&self) -> usize {
        self.head.len() + self.body.len()
    }
}

/// Two processes of this dispatcher serve at once, for the time of an upgrade.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Overlap {
    /// The other one takes over.
    Successor,
    /// The other one is to end.
    Predecessor,
}

/// What settings mean on sockets.
fn on_sockets(
    decoded: &mut DecodedSettings,
    portioned: bool,
    clients: &mut Clients,
    metrics: &mut Metrics,
    now: Micros,
) {
    let settings = &mut decoded.settings;
    settings.slow_start_is_shared = portioned;
    // The list comes only on a watch, and a watch has to be opened whatever the settings say; connections end
    // by our own time, which is shorter than the runners'.
    settings.must_subscribe = true;
    settings.idle_timeout = decoded.idle_close / 2;
    decoded.operations.iter().for_each(|operation| metrics.uses(operation));
    let told = decoded.operations.drain(..).zip(std::mem::take(&mut settings.operations));
    settings.operations = clients.operations.set(told.collect(), now);
}

fn worth(decoded: &DecodedSettings) -> Vec<OperationValue> {
    let of = |op: &topazsail::Operation| OperationValue {
        value: op.billed_value,
        latency_objective: op.latency_objective,
    };
    decoded.settings.operations.iter().map(of).collect()
}

/// When to come back where there is no room.
fn come_back(decoded: &DecodedSettings) -> Option<Micros> {
    decoded.settings.max_retry_after.map(|most| most.min(ROOM_AGAIN))
}

pub use peer_exchange::PeerExchange;
pub use persistence::Persistence;

pub struct RequestTable {
    policy: RoutingPolicy,
    /// What only a start can change.
    name: String,
    listen: SocketAddr,
    /// The file in force.
    file: serde_json::Value,
    pub clients: Clients,
    operators: Operators,
    metrics: Metrics,
    runners: Runners,
    members: Membership,
    roster: Roster,
    invs: BTreeMap<Id, Open>,
    /// The latest ids that have had their final answer, in order and by id.
    closed: (VecDeque<Id>, BTreeSet<Id>),
    happened: Vec<Event>,
    open_cap: usize,
    /// Bytes held for further forwards, and the most there may be.
    held: usize,
    held_most: usize,
    /// When to come back where there is no room now, if clients are told.
    come_back: Option<Micros>,
    /// The longest advice that clients follow, if any.
    come_back_most: Option<Micros>,
    down_since: Option<Micros>,
    /// Nobody has been told yet that this process is ready.
    starting: bool,
    /// The longest client timeout of the settings in force.
    longest_timeout: Micros,
    peer: HandoverPeer,
    overlap: Option<Overlap>,
    /// Descriptors and memory, the other process's among them.
    limits: (usize, usize),
    /// Beyond so many connections those go that nothing is owed on: the rest is for the watch, dials and operators.
    room_for: usize,
    /// Connections that the other process had when it handed over.
    theirs: usize,
    dispatchers: usize,
    tip_after: Micros,
    cold_from: f64,
    /// What each operation is worth, by its number.
    worth: Vec<OperationValue>,
    /// What outlives the process, where there is anything.
    persistence: Option<Persistence>,
    /// The other dispatchers, where they may talk.
    peer_exchange: Option<PeerExchange>,
}

impl RequestTable {
    /// With a `store_thread` a start from nothing goes through the stages of recovery first.
    pub fn new(
        told: Configuration,
        handed: Option<HandoverState>,
        store_thread: Option<StoreThread>,
        driver: &mut dyn ConnectionDriver,
    ) -> RequestTable {
        let peer_exchange =
            told.peers.as_ref().map(|at| PeerExchange::new(at.clone(), &told.name, told.seed));
        let peers = peer_exchange.is_some();
        let (require, began) = (told.store.as_ref().is_some_and(|store| store.require), driver.now());
        let mut decoded = told.decoded;
        let pushed = !decoded.settings.must_subscribe;
        let (mut clients, mut metrics) = (Clients::new(), Metrics::default());
        on_sockets(&mut decoded, peers, &mut clients, &mut metrics, driver.now());
        let come_back = come_back(&decoded);
        let come_back_most = decoded.settings.max_retry_after;
        let (warm_within, tip_after) = (decoded.settings.warm_up_span, decoded.settings.overload_window);
        let dispatchers = decoded.settings.dispatchers as usize;
        let (cold_from, worth) = (decoded.settings.cold_capacity_share, worth(&decoded));
        let mut table = RequestTable {
            clients,
            operators: Operators::default(),
            metrics,
            runners: Runners::new(&decoded),
            members: Membership::new(warm_within),
            roster: Roster::new(told.discovery, told.initial_roster.generation, pushed),
            policy: RoutingPolicy::new(decoded.settings, told.seed),
            name: told.name,
            listen: told.listen,
            file: told.file,
            invs: BTreeMap::new(),
            closed: Default::default(),
            happened: Vec::new(),
            open_cap: decoded.open_cap,
            held: 0,
            held_most: 0,
            come_back,
            come_back_most,
            down_since: None,
            starting: false,
            longest_timeout: decoded.longest_timeout,
            peer: HandoverPeer::default(),
            overlap: None,
            limits: (told.max_sockets, told.memory_bytes),
            room_for: 0,
            theirs: 0,
            dispatchers,
            tip_after,
            cold_from,
            worth,
            persistence: None,
            peer_exchange,
        };
        table.limit();
        driver.set_timer(Timer::Lease, began + ROSTER_LEASE_TIMEOUT);
        if handed.is_none() && store_thread.is_none() {
            table.starting = true;
            table.clients.set_ready(false);
            driver.set_timer(Timer::Ready, began + READY_BY);
        }
        let persistence = |store_thread, file| Persistence::new(store_thread, (require, peers), file, began);
        if handed.is_none()
            && let Some(store_thread) = store_thread
        {
            table.persistence = Some(persistence(store_thread, Some(told.initial_roster)));
            table.recover(driver);
            return table;
        }
        // What another process hands over is nearer than what it has left on the disk.
        table.persistence = store_thread.map(|store_thread| persistence(store_thread, None).in_service());
        let (known, spent) = match handed {
            Some(handed) => table.inherit(handed, told.initial_roster, began),
            None => (told.initial_roster, Vec::new()),
        };
        table.list(
            roster::RosterEvent {
                listing: Listing::Remembered,
                previous_contact: None,
                entries: known.entries(),
            },
            driver,
        );
        // Once it knows the runners that this is about.
        if !spent.is_empty() {
            table.happened.push(Event::SlowStartUsage(spent));
        }
        table
    }

    /// What the process that served until now knows. Gives the list to begin with, the other's where it
    /// comes from the same discovery, and what the other has sent to cold runners.
    fn inherit(
        &mut self,
        handed: HandoverState,
        known: RosterSnapshot,
        now: Micros,
    ) -> (RosterSnapshot, Vec<SlowStartUsage>) {
        self.theirs = handed.connections;
        handed.gone.iter().for_each(|id| self.members.inherit(id, None, None));
        for (id, since) in &handed.out {
            self.members.inherit(id, Some(*since), None);
        }
        for (id, from, until) in &handed.was_out {
            self.members.inherit(id, None, Some((*from, *until)));
        }
        handed.ids.into_iter().for_each(|id| self.remember(id.into()));
        let spent = handed.spent.into_iter().map(|(id, work)| (id.into(), work)).collect();
        let discovery = self.roster.discovery();
        let listed =
            (handed.discovery == discovery.to_string()).then(|| RosterSnapshot::from_value(handed.list));
        match listed {
            Some(Ok(listed)) => {
                // One that does not say has its list from the watch all the same.
                let sure_at = if handed.sure_at > 0 { handed.sure_at } else { now };
                self.roster.resume_from(listed.generation, sure_at);
                // It holds the lease from the first moment: nobody is listed yet whose standing that could change.
                let _ = self.members.update_lease(sure_at, now);
                (listed, spent)
            }
            _ => (known, spent),
        }
    }

    /// The process that served until now stays at the other end of this connection until it has ended.
    pub fn takes_over(
        &mut self,
        connection: ConnectionId,
        mut since: Vec<u8>,
        driver: &mut dyn ConnectionDriver,
    ) {
        self.peer.meet(connection);
        self.peer.bytes(connection, &mut since, driver);
        self.overlap = Some(Overlap::Predecessor);
        self.limit();
    }

    /// Whether a successor would be handed what this process has.
    pub fn may_hand_over(&self) -> bool {
        !self.peer.is_there() && self.down_since.is_none()
    }

    /// Another process takes over: newcomers are its own from now on, and it is told what it must know.
    pub fn hand_over(&mut self, connection: ConnectionId, driver: &mut dyn ConnectionDriver) {
        self.collect_events(driver);
        let discovery = self.roster.discovery();
        let spent = self.policy.slow_start_usage(driver.now());
        let state = HandoverState {
            discovery: discovery.to_string(),
            list: self.as_listed().map(|(_, list)| list).unwrap_or_default(),
            sure_at: self.roster.certain_until(),
            connections: driver.connections(),
            gone: self.members.unlisted_ids(),
            out: self.members.runners_in_maintenance(),
            was_out: self.members.past_maintenance(),
            ids: self.closed.0.iter().chain(self.invs.keys()).map(|id| id.to_string()).collect(),
            configuration: self.file.to_string(),
            spent: spent.into_iter().map(|(id, work)| (id.to_string(), work)).collect(),
        };
        log!("handing-over", "open={} out={}", self.invs.len(), state.out.len());
        self.release(true);
        self.peer.meet(connection);
        self.peer.say(&state, driver);
        self.overlap = Some(Overlap::Successor);
        self.clients.set_handed_over(true);
        self.limit();
        self.rest(Micros::MAX, driver);
    }

    /// The list as discovery would tell it, and how far that has been heard.
    fn as_listed(&self) -> Option<(u64, serde_json::Value)> {
        let generation = self.roster.generation()?;
        let listed = self.members.listed_entries();
        let listed = listed.filter_map(|entry| Some((entry, self.runners.address(&entry.runner)?)));
        Some((generation, RosterSnapshot::to_json(generation, listed)))
    }

    /// Whether newcomers are let in here.
    pub fn accepts(&self) -> bool {
        self.overlap != Some(Overlap::Successor)
    }

    fn rest(&mut self, until: Micros, driver: &mut dyn ConnectionDriver) {
        let entries = self.members.pause_cold_runners(until, Micros::MAX, driver.now());
        self.happened.push(Event::Roster(List { listing: Listing::Own, entries }));
    }

    /// The other process has ended. Where it was to take over and nobody has told this one to end, it goes
    /// on; what the other has sent to cold runners still counts.
    fn alone(&mut self, driver: &mut dyn ConnectionDriver) {
        let was = self.overlap.take();
        self.limit();
        if was == Some(Overlap::Successor) {
            self.release(self.down_since.is_some());
            self.clients.set_handed_over(self.down_since.is_some());
            self.rest(driver.now() + self.tip_after, driver);
            driver.set_timer(Timer::Rested, driver.now() + self.tip_after);
        }
    }

    /// Two processes share what one may use: half each, but for descriptors that the old one has no use for. It
    /// lets nobody in any more, and an eighth is left to it for what it still forwards.
    fn limit(&mut self) {
        let (sockets, memory) = self.limits;
        let (sockets, memory) = match self.overlap {
            None => (sockets, memory),
            Some(Overlap::Successor) => (sockets / 2, memory / 2),
            Some(Overlap::Predecessor) => {
                ((sockets / 2).max(sockets.saturating_sub(self.theirs + sockets / 8)), memory / 2)
            }
        };
        self.room_for = sockets - sockets / 8;
        self.clients.set_limits(sockets);
        self.operators.set_limits(sockets);
        self.held_most = memory / 6;
    }

    /// The configuration has been read again: all of it holds from now on but name and addresses of our own.
    /// The list that the file remembers says less than the watch, and a new seed is for a new start. A file
    /// that has lost a key is no good.
    pub fn reload(&mut self, told: Configuration, driver: &mut dyn ConnectionDriver) {
        if let Some(key) = config::missing_key(&self.file, &told.file) {
            return self.turn_down(&format!("{key} is missing"));
        }
        let kept = [
            ("name", told.name != self.name),
            ("listen", told.listen != self.listen),
            ("admin_addr", told.file.get("admin_addr") != self.file.get("admin_addr")),
            ("peers", told.file.get("peers") != self.file.get("peers")),
            ("store", told.file.get("store") != self.file.get("store")),
        ];
        let kept: Vec<&str> = kept.iter().filter(|(_, differs)| *differs).map(|(field, _)| *field).collect();
        let kept = if kept.is_empty() { "none".to_owned() } else { kept.join(",") };
        let retuned = told.file.get("settings") != self.file.get("settings");
        self.metrics.loads += 1;
        log!("reloaded", "discovery={} retuned={retuned} changed_but_kept={kept}", told.discovery);
        self.limits = (told.max_sockets, told.memory_bytes);
        self.limit();
        self.file = told.file;
        self.keep_settings();
        // What has been heard so far was said under the settings that held so far.
        self.collect_events(driver);
        if retuned {
            self.retune(told.decoded, driver);
        }
        self.roster.set_discovery(told.discovery, driver);
        self.collect_events(driver);
    }

    fn retune(&mut self, mut decoded: DecodedSettings, driver: &mut dyn ConnectionDriver) {
        self.roster.set_pushed(!decoded.settings.must_subscribe);
        let portioned = self.peer_exchange.is_some();
        on_sockets(&mut decoded, portioned, &mut self.clients, &mut self.metrics, driver.now());
        let names: Vec<&str> = self.clients.operations.names().collect();
        log!("retuned", "operations={} forwards={}", names.join(","), decoded.settings.max_forwards);
        self.runners.apply_settings(&decoded);
        self.members.set_warm_up_span(decoded.settings.warm_up_span);
        (self.come_back, self.come_back_most) = (come_back(&decoded), decoded.settings.max_retry_after);
        (self.cold_from, self.worth) = (decoded.settings.cold_capacity_share, worth(&decoded));
        (self.tip_after, self.open_cap) = (decoded.settings.overload_window, decoded.open_cap);
        self.longest_timeout = decoded.longest_timeout;
        if self.down_since.is_some() {
            driver.set_timer(Timer::Down, driver.now());
        }
        self.dispatchers = decoded.settings.dispatchers as usize;
        self.account();
        self.happened.push(Event::SettingsChanged(Box::new(decoded.settings)));
    }

    /// A configuration that was read again is no good: nothing of it holds.
    pub fn turn_down(&mut self, fault: &str) {
        self.metrics.load_errors += 1;
        log!("configuration-refused", "reason={fault:?}");
    }

    /// Whether one more may come in on this side.
    pub fn room(&mut self, role: ConnectionRole, driver: &mut dyn ConnectionDriver) -> bool {
        match role {
            ConnectionRole::Operator => {
                self.operators.make_room(driver);
                true
            }
            _ => self.clients.ensure_room(driver),
        }
    }

    pub fn accepted(
        &mut self,
        role: ConnectionRole,
        connection: ConnectionId,
        driver: &mut dyn ConnectionDriver,
    ) {
        match role {
            ConnectionRole::Operator => self.operators.accepted(connection, driver),
            _ => self.clients.accepted(connection, driver),
        }
    }

    pub fn callbacks(&mut self, role: ConnectionRole) -> &mut dyn ConnectionHandler {
        match role {
            ConnectionRole::Client => &mut self.clients,
            ConnectionRole::Runner => &mut self.runners,
            ConnectionRole::Roster => &mut self.roster,
            ConnectionRole::Operator => &mut self.operators,
            ConnectionRole::Peer => &mut self.peer,
        }
    }

    /// Told to end: what has been taken is still answered, and clients are sent elsewhere.
    pub fn go_down(&mut self, driver: &mut dyn ConnectionDriver) {
        if self.down_since.is_some() {
            return;
        }
        let now = driver.now();
        log!("going-down", "open={} runner_connections={}", self.invs.len(), self.runners.open_connections());
        self.down_since = Some(now);
        self.clients.set_ready(false);
        driver.set_timer(Timer::Down, now + self.down_spans().0);
    }

    /// After being told to end: for how long clients keep their connections, as the dispatcher that was restarted
    /// before us may not be back yet, and when whatever is not answered is given up. Both go by the settings: with
    /// client timeouts of a second we are killed long before another customer's clients would have been let go.
    /// What is taken last has the time between the two.
    fn down_spans(&self) -> (Micros, Micros) {
        let longest = self.longest_timeout.min(DOWN_LONGEST);
        (DOWN_GRACE + longest * 17 / 30, DOWN_GRACE + longest)
    }

    /// Whether it is too late to take anything more.
    fn too_late_to_take(&self, now: Micros) -> bool {
        self.down_since.is_some_and(|since| now >= since + self.down_spans().1)
    }

    /// Whether all is said and done after having been told to end.
    pub fn is_down(&self, now: Micros) -> bool {
        let Some(since) = self.down_since else { return false };
        let clients = self.clients.has_clients();
        let (kept, all) = self.down_spans();
        // Cancels are waited for no longer than answers; clients may send on what they have until we are killed.
        let cancelling = self.runners.has_pending_cancels() && now < since + all + 2 * OVERDUE;
        !self.owes() && !clients && !cancelling && now >= since + kept
    }

    /// Whether this process is about to be killed: whatever is still at work has had its time.
    pub fn must_end(&self, now: Micros) -> bool {
        self.down_since.is_some_and(|since| !self.owes() && now >= since + self.down_spans().1 + END_GRACE)
    }

    /// Whether some client has not been answered.
    fn owes(&self) -> bool {
        self.invs.values().any(|open| !open.answered)
    }

    pub fn timer_fired(&mut self, due: Timer, driver: &mut dyn ConnectionDriver) {
        match due {
            Timer::Tick => self.happened.push(Event::TimerFired),
            Timer::Inv(id) => self.overdue(&id, driver),
            Timer::Cancel(id, number) => self.cancel(&id, number, driver),
            Timer::Down => self.step_down(driver),
            Timer::Rested if self.overlap != Some(Overlap::Successor) => self.rest(Micros::MIN, driver),
            Timer::Rested => {}
            Timer::Ready => self.is_ready(),
            Timer::Lease => {
                self.renew(driver);
                let at = (self.roster.certain_until() + ROSTER_LEASE_TIMEOUT).max(driver.now() + LEASE_AGAIN);
                driver.set_timer(Timer::Lease, at);
            }
            Timer::Recovery => self.recovery_due(driver),
            Timer::Keep => self.keep_list(),
            Timer::Peers => self.round(driver),
            Timer::Kept(ticket) => self.not_kept_in_time(ticket, driver),
            Timer::Connection(_)
            | Timer::Finish(_)
            | Timer::Accept(_)
            | Timer::Dial(_)
            | Timer::Watch(_)
            | Timer::Reload => {}
        }
    }

    fn step_down(&mut self, driver: &mut dyn ConnectionDriver) {
        let (Some(since), now) = (self.down_since, driver.now()) else { return };
        let (kept, all) = self.down_spans();
        if now < since + kept {
            return driver.set_timer(Timer::Down, since + kept);
        }
        self.clients.drain(driver);
        if now < since + all {
            return driver.set_timer(Timer::Down, (now + DOWN_STEP).min(since + all));
        }
        for id in self.invs.keys().cloned().collect::<Vec<Id>>() {
            self.overdue(&id, driver);
        }
    }

    /// Whether the brain has something to hear at once.
    pub fn pending(&self) -> bool {
        !self.happened.is_empty()
    }

    /// The host gave no descriptor or no memory for one. That passes, and says nothing of how many there may be later:
    /// one idle connection makes room for the next try.
    pub fn out_of_descriptors(&mut self, driver: &mut dyn ConnectionDriver) {
        let made_room = self.clients.make_room(driver) || self.runners.make_room(driver);
        log!("descriptors-short", "connections={} made_room={made_room}", driver.connections());
    }

    /// Against idle connections that leave none for the watch, for dials and for operators.
    fn keep_room(&mut self, driver: &mut dyn ConnectionDriver) {
        while driver.connections() > self.room_for
            && (self.clients.make_room(driver) || self.runners.make_room(driver))
        {}
    }

    /// Hands the brain all that happened in this turn and does what it decides.
    pub fn decide(&mut self, driver: &mut dyn ConnectionDriver) {
        self.collect_events(driver);
        self.keep_room(driver);
        if self.happened.is_empty() {
            return;
        }
        let happened = std::mem::take(&mut self.happened);
        for action in self.policy.decide(driver.now(), happened) {
            self.act(action, driver);
        }
        self.collect_events(driver);
    }

    fn act(&mut self, action: Action, driver: &mut dyn ConnectionDriver) {
        match action {
            Action::Forward { invocation: inv, runner: tgt, latest: by } => {
                self.forward(&inv, tgt, by, driver)
            }
            Action::Cancel { invocation: inv, forward } => self.cancel(&inv, forward, driver),
            Action::Throttle { invocation: inv, retry_after: come_back } => {
                self.was_short(driver.now());
                self.answer(&inv, THROTTLED, come_back, b"", driver);
            }
            Action::Error { invocation: inv } => self.answer(&inv, ERRORED, None, b"", driver),
            Action::Probe { runner: tgt } => self.runners.probe(&tgt, driver),
            Action::Subscribe => self.roster.follow(driver),
            Action::SetTimer { after } => driver.set_timer(Timer::Tick, driver.now() + after),
            Action::Log(text) => log!("brain", "{}", text.escape_debug()),
        }
    }

    fn forward(&mut self, inv: &Id, tgt: Id, by: Option<Micros>, driver: &mut dyn ConnectionDriver) {
        let Some(open) = self.invs.get_mut(inv) else { return };
        let number = open.forwards.len() as u32;
        let sendable = !open.answered && open.out().is_none();
        let at = driver.now();
        open.forwards.push(Forward { tgt: tgt.clone(), at, out: true, taken: false, cancels: 0, told: None });
        if sendable {
            let message = (open.head.as_slice(), open.body.as_slice());
            self.runners.forward(
                &tgt,
                (inv, number),
                message,
                (open.expires_at, by),
                open.connection,
                driver,
            );
        } else {
            self.end(inv, number, ForwardResult::Void, Vec::new(), at);
        }
    }

    fn cancel(&mut self, inv: &Id, number: u32, driver: &mut dyn ConnectionDriver) {
        let sent = self.invs.get(inv).and_then(|open| open.forwards.get(number as usize));
        if let Some(sent) = sent.filter(|sent| sent.out) {
            self.runners.cancel(&sent.tgt, inv, number, driver);
        }
    }

    fn answer(
        &mut self,
        inv: &Id,
        status: u16,
        come_back: Option<Micros>,
        body: &[u8],
        driver: &mut dyn ConnectionDriver,
    ) {
        let operation = self.invs.get(inv).map_or(0, |open| open.operation);
        let attempts = self.attempts(inv);
        if let Some(connection) = self.close(inv, driver) {
            if status != SUCCEEDED {
                log!("not-served", "inv={inv} link={connection} status={status} attempts={attempts}");
            }
            self.metrics.ended(self.clients.operations.name(operation), FinalStatus::of(status));
            self.clients.answer(connection, status, come_back, body, driver);
        }
    }

    /// Nothing more is owed to the client; a forward still out keeps its entry until it ends, and does not leave if it
    /// has not left yet.
    fn close(&mut self, inv: &Id, driver: &mut dyn ConnectionDriver) -> Option<ConnectionId> {
        let open = self.invs.get_mut(inv).filter(|open| !open.answered)?;
        open.answered = true;
        self.held -= open.size();
        (open.head, open.body) = (Vec::new(), Vec::new());
        let connection = open.connection;
        match open.out() {
            None => drop(self.invs.remove(inv)),
            Some(number) => {
                let tgt = open.forwards[number as usize].tgt.clone();
                self.runners.withdraw_unsent(&tgt, inv, number, driver);
            }
        }
        self.remember(inv.clone());
        Some(connection)
    }

    /// How often an invocation has been forwarded so far.
    fn attempts(&self, inv: &Id) -> usize {
        self.invs.get(inv).map_or(0, |open| open.forwards.len())
    }

    /// An id that has had its request.
    fn remember(&mut self, inv: Id) {
        let (order, known) = &mut self.closed;
        if order.len() >= CLOSED_KEPT {
            order.pop_front().map(|oldest| known.remove(&oldest));
        }
        order.push_back(inv.clone());
        known.insert(inv);
    }

    fn sent(&mut self, inv: &Id, number: u32) -> Option<&mut Forward> {
        self.invs.get_mut(inv)?.forwards.get_mut(number as usize)
    }

    /// A forward's one outcome.
    fn end(&mut self, inv: &Id, number: u32, ending: ForwardResult, report: Vec<f64>, now: Micros) {
        let Some(open) = self.invs.get_mut(inv) else { return };
        let finished = open.answered;
        let sent = open.forwards.get_mut(number as usize).filter(|sent| sent.out);
        let Some(sent) = sent else { return };
        sent.out = false;
        let (tgt, elapsed, forward) = (sent.tgt.clone(), now - sent.at, number);
        if !matches!(ending, ForwardResult::Succeeded | ForwardResult::Overloaded) {
            let (code, ms) = (ending.code(), elapsed / 1000);
            log!("attempt-failed", "inv={inv} attempt={number} runner={tgt} ending={code} ms={ms}");
        }
        let outcome = Outcome {
            invocation: inv.clone(),
            forward,
            runner: tgt,
            result: ending,
            answered: finished,
            elapsed,
            report,
        };
        self.happened.push(Event::Outcome(outcome));
        if finished && open.out().is_none() {
            self.invs.remove(inv);
        }
    }

    /// The time is over: a forward still out is timed out, and the brain owes the answer now. It knows whether it may
    /// still be a throttling: what never left, or never ran, has not failed.
    fn overdue(&mut self, inv: &Id, driver: &mut dyn ConnectionDriver) {
        self.time_out(inv, driver);
        let Some(open) = self.invs.get_mut(inv).filter(|open| !open.answered) else { return };
        if std::mem::replace(&mut open.over, true) {
            log!("overdue", "inv={inv} forwards={}", open.forwards.len());
            return self.error(inv, driver);
        }
        self.happened.push(Event::AnswerNow { invocation: inv.clone() });
        driver.set_timer(Timer::Inv(inv.clone()), driver.now() + OVERDUE);
    }

    /// Ends the forward that is out, if one is.
    fn time_out(&mut self, inv: &Id, driver: &mut dyn ConnectionDriver) {
        let Some(open) = self.invs.get(inv) else { return };
        let Some(number) = open.out() else { return };
        let tgt = open.forwards[number as usize].tgt.clone();
        // What has not left cannot have run, and need not be errored.
        let held_back = self.runners.withdraw_unsent(&tgt, inv, number, driver);
        let ending = if held_back { ForwardResult::Void } else { ForwardResult::TimedOut };
        self.end(inv, number, ending, Vec::new(), driver.now());
        if !held_back {
            self.runners.cancel(&tgt, inv, number, driver);
        }
    }

    /// Answers without waiting for the brain, which hears that nothing more is owed.
    fn error(&mut self, inv: &Id, driver: &mut dyn ConnectionDriver) {
        self.answer(inv, ERRORED, None, b"", driver);
        self.happened.push(Event::ClientLeft { invocation: inv.clone() });
    }

    /// Turns what the parts have heard into events.
    pub fn collect_events(&mut self, driver: &mut dyn ConnectionDriver) {
        self.heard_of_disk(driver);
        for heard in std::mem::take(&mut self.roster.events) {
            self.list(heard, driver);
        }
        self.renew(driver);
        for (connection, call) in std::mem::take(&mut self.operators.events) {
            self.called(connection, call, driver);
        }
        for heard in std::mem::take(&mut self.clients.events) {
            match heard {
                clients::ClientEvent::Invocation(invocation) => self.take(invocation, driver),
                clients::ClientEvent::RunnerCallback(told, hash) => {
                    self.called_back(told, hash, true, driver)
                }
                clients::ClientEvent::Disconnected(connection, id) => self.gone(connection, id, driver),
            }
        }
        for word in std::mem::take(&mut self.peer.heard) {
            match word {
                HandoverMessage::Told(told, hash) => self.called_back(told, hash, false, driver),
                // Where it was never listed here, the other process has said so.
                HandoverMessage::Hand { id, out } => {
                    if self.maintain(&id, out, driver).is_ok() {
                        self.keep_hand(&id, None, driver);
                    }
                }
                HandoverMessage::Taken(id) => self.remember(id.into()),
            }
        }
        if std::mem::take(&mut self.peer.ended) {
            self.alone(driver);
        }
        for heard in std::mem::take(&mut self.runners.events) {
            match heard {
                runners::RunnerEvent::Accepted { invocation: inv, number } => {
                    if let Some(sent) = self.sent(&inv, number) {
                        sent.taken = true;
                    }
                }
                runners::RunnerEvent::Ended { invocation: inv, number, result: ending, report } => {
                    self.end(&inv, number, ending, report, driver.now());
                }
                runners::RunnerEvent::ClientLeft { invocation: inv, number } => {
                    if let Some(connection) = self.invs.get(&inv).map(|open| open.connection) {
                        self.gone(connection, inv.clone(), driver);
                    }
                    self.end(&inv, number, ForwardResult::Void, Vec::new(), driver.now());
                }
                runners::RunnerEvent::Unusable { invocation: inv, number } => {
                    // No runner will take it, and it says nothing against this one.
                    self.answer(&inv, UNUSABLE, None, b"", driver);
                    self.end(&inv, number, ForwardResult::Void, Vec::new(), driver.now());
                }
                runners::RunnerEvent::Cancelled { invocation: inv, number } => {
                    self.end(&inv, number, ForwardResult::Withdrawn, Vec::new(), driver.now());
                }
                runners::RunnerEvent::NotCancelled { invocation: inv, number } => {
                    if let Some(sent) = self.sent(&inv, number).filter(|sent| sent.out) {
                        log!("not-cancelled", "inv={inv} runner={}", sent.tgt);
                        sent.cancels += 1;
                        let after = (CANCEL_AGAIN << sent.cancels.min(8)).min(CANCEL_AGAIN_MOST);
                        driver.set_timer(Timer::Cancel(inv, number), driver.now() + after);
                    }
                }
                runners::RunnerEvent::Probed { runner: tgt, alive, report } => {
                    self.happened.push(Event::ProbeEnded { runner: tgt, alive, report });
                }
            }
        }
    }

    /// An operator's call.
    fn called(&mut self, connection: ConnectionId, call: Call, driver: &mut dyn ConnectionDriver) {
        let answer = match call {
            Call::Status if self.down_since.is_some() => "NO going down\n".to_owned(),
            Call::Status => match &self.persistence {
                None => "YES\n".to_owned(),
                Some(persistence) => {
                    let yes = if persistence.stage() < Stage::Listed { "NO" } else { "YES" };
                    let peers = self.peer_exchange.as_ref().map(PeerExchange::status).unwrap_or_default();
                    format!("{yes} {}{peers}\n", persistence.status())
                }
            },
            Call::Stats => {
                let (known_runners, out) = self.members.count();
                let now = Gauges {
                    in_progress: self.invs.values().filter(|open| !open.answered).count(),
                    known_runners,
                    skipped_runners: self.policy.set_aside(driver.now()) + out,
                    tries: self.runners.forwards_written(),
                };
                let kept = self.persistence.as_ref().map(Persistence::metrics).unwrap_or_default();
                let peers = self.peer_exchange.as_ref().map(PeerExchange::metrics).unwrap_or_default();
                let kept = kept.iter().chain(&peers).filter(|(name, _)| !name.is_empty());
                let host = driver.host_failures().metrics();
                format!(
                    "{}{}{}END\n",
                    self.metrics.text(&now),
                    metrics::more(host.iter()),
                    metrics::more(kept)
                )
            }
            Call::Maintain { id, out } => match self.maintain(&id, out, driver) {
                Ok(()) => {
                    self.tell_hand(&id, driver);
                    self.peer.say(&HandoverMessage::Hand { id: id.clone(), out }, driver);
                    match self.persistence {
                        None => "YES\n".to_owned(),
                        Some(_) if self.overlap == Some(Overlap::Successor) => {
                            "NO another process takes over: call that one\n".to_owned()
                        }
                        Some(_) => {
                            return self.keep_hand(
                                &id.clone(),
                                Some((connection, Call::Maintain { id, out })),
                                driver,
                            );
                        }
                    }
                }
                Err(why) => format!("NO {why}\n"),
            },
        };
        self.operators.answer(connection, &answer, driver);
    }

    /// From the answer on nothing new goes to a runner that is out, nor what waits for a connection there.
    fn maintain(
        &mut self,
        id: &str,
        out: bool,
        driver: &mut dyn ConnectionDriver,
    ) -> Result<(), &'static str> {
        let told = self.members.set_maintenance(id, out, driver.now());
        let code = if out { "maint-on" } else { "maint-off" };
        log!(code, "runner={id:?} answer={}", told.as_ref().err().unwrap_or(&"yes"));
        let Some(entry) = told? else { return Ok(()) };
        if out {
            self.runners.stop_sending(&entry.runner, driver);
        }
        self.happened.push(Event::Roster(List { listing: Listing::Own, entries: vec![entry] }));
        Ok(())
    }

    /// Whether the list may still be acted upon. Against sending to a runner whose drain counts as told, though it was
    /// never heard: discovery could be reached, and did not get through for as long as that takes.
    fn renew(&mut self, driver: &mut dyn ConnectionDriver) {
        let (sure_at, now) = (self.roster.certain_until(), driver.now());
        let Some(entries) = self.members.update_lease(sure_at, now) else { return };
        // The list to begin with may be acted upon, or discovery cannot be reached.
        self.is_ready();
        log!(
            "lease",
            "state={} unsure_ms={}",
            if self.members.lease_has_lapsed() { "lapsed" } else { "renewed" },
            (now - sure_at) / 1000
        );
        if self.members.lease_has_lapsed() {
            self.runners.drop_all_pending(driver);
        }
        self.happened.push(Event::Roster(List { listing: Listing::Own, entries }));
    }

    /// A start has come to its end.
    fn is_ready(&mut self) {
        if std::mem::take(&mut self.starting) {
            log!("ready", "lease={}", if self.members.lease_has_lapsed() { "none" } else { "held" });
            self.clients.set_ready(self.down_since.is_none());
        }
    }

    fn list(&mut self, heard: roster::RosterEvent, driver: &mut dyn ConnectionDriver) {
        let whole = matches!(heard.listing, Listing::All | Listing::Remembered);
        if whole {
            self.runners.mark_all_unlisted(driver.now());
        }
        let mut entries = Vec::new();
        for (entry, address) in heard.entries {
            let listed = entry.readiness != Readiness::Removed;
            self.runners.update_runner(&entry.runner, listed, address, driver);
            if entry.readiness != Readiness::Up {
                self.runners.drop_pending(&entry.runner, driver);
            }
            entries.push(entry);
        }
        self.runners.remove_long_unlisted(driver);
        self.members.set_previous_contact(heard.previous_contact);
        let entries = self.members.apply_listing(heard.listing, entries, driver.now());
        self.heard_of_list(heard.listing, driver);
        self.happened.push(Event::Roster(List { listing: heard.listing, entries }));
        self.portions(driver.now());
    }

    fn take(&mut self, told: Invocation, driver: &mut dyn ConnectionDriver) {
        let now = driver.now();
        if self.invs.contains_key(&told.id) || self.closed.1.contains(&told.id) {
            return self.clients.reject(told.connection, HttpError(400, "repeated_id"), driver);
        }
        let size = told.head.len() + told.body.len();
        if !self.may_forward() {
            log!("not-taken", "inv={} reason=recovering", told.id);
            let come_back = self.come_back_after(&told.id, now);
            self.metrics.ended(self.clients.operations.name(told.operation), FinalStatus::of(NO_ROOM));
            return self.clients.answer(told.connection, NO_ROOM, come_back, b"", driver);
        }
        if !self.limits(told.operation, &told.id, now) {
            let come_back = self.come_back_after(&told.id, now);
            self.metrics.ended(self.clients.operations.name(told.operation), FinalStatus::of(THROTTLED));
            return self.clients.answer(told.connection, THROTTLED, come_back, b"", driver);
        }
        let full = self.invs.len() >= self.open_cap || self.held + size > self.held_most;
        let ending = self.too_late_to_take(now);
        if full || ending || told.expires_at <= now {
            let reason = if ending {
                "going_down"
            } else if full {
                "no_room"
            } else {
                "too_late"
            };
            log!("not-taken", "inv={} reason={reason}", told.id);
            let come_back = self.come_back.filter(|_| full || ending);
            let operation = self.clients.operations.name(told.operation);
            self.metrics.ended(operation, FinalStatus::of(NO_ROOM));
            return self.clients.answer(told.connection, NO_ROOM, come_back, b"", driver);
        }
        self.peer.say(&HandoverMessage::Taken(told.id.to_string()), driver);
        self.held += size;
        driver.set_timer(Timer::Inv(told.id.clone()), told.expires_at);
        let (inv, operation, slots, key) = (told.id.clone(), told.operation, told.slots, told.key);
        let (expires_in, hint) = (told.expires_at - now, told.work_hint);
        self.happened.push(Event::Arrival(Arrival {
            invocation: inv,
            operation,
            time_left: expires_in,
            slots,
            work_hint: hint,
            key,
        }));
        let (connection, expires_at, head, body) = (told.connection, told.expires_at, told.head, told.body);
        let taken_at = now;
        let (answered, over, forwards) = (false, false, Vec::new());
        let open = Open { connection, operation, taken_at, expires_at, head, body, answered, over, forwards };
        self.invs.insert(told.id, open);
    }

    fn gone(&mut self, connection: ConnectionId, id: Id, driver: &mut dyn ConnectionDriver) {
        let owed = self.invs.get(&id).is_some_and(|open| open.connection == connection && !open.answered);
        if owed {
            log!("client-left", "inv={id} link={connection} attempts={}", self.attempts(&id));
            self.close(&id, driver);
            self.happened.push(Event::ClientLeft { invocation: id });
        }
    }

    /// News of a job. The newest forward to its runner is meant; what has ended stays ended. Of a job that is
    /// not open here the other process hears, if there is one; it was told here because runners call whoever
    /// accepts.
    fn called_back(
        &mut self,
        told: RunnerCallback,
        hash: u64,
        direct: bool,
        driver: &mut dyn ConnectionDriver,
    ) {
        let report = told.load.as_ref().map(|load| self.runners.read_report(load)).unwrap_or_default();
        let Some((inv, open)) = self.invs.get_key_value(told.id.as_str()) else {
            if direct {
                self.peer.say(&HandoverMessage::Told(told, hash), driver);
            }
            return;
        };
        let inv = inv.clone();
        let Some(at) = open.forwards.iter().rposition(|sent| *sent.tgt == *told.from) else {
            return log!("odd-call-back", "inv={inv} from={:?}", told.from);
        };
        let (sent, number) = (&open.forwards[at], at as u32);
        // Again to the same runner: what ended the earlier forward may be told once more, and is no word on
        // this one.
        let earlier = open.forwards[..at].iter().any(|past| past.tgt == sent.tgt && past.told == Some(hash));
        if earlier && !sent.taken {
            return;
        }
        let (out, answered, now) = (sent.out, open.answered, driver.now());
        let ending = match told.state {
            JobState::Started if out => {
                return self.happened.push(Event::Started { invocation: inv, forward: number });
            }
            JobState::Running if out => {
                return self.happened.push(Event::Progress { invocation: inv, forward: number });
            }
            JobState::Started | JobState::Running => return,
            JobState::Done => ForwardResult::Succeeded,
            JobState::Failed => ForwardResult::Errored,
            JobState::Returned => ForwardResult::Overloaded,
            JobState::Lost => ForwardResult::Broken,
        };
        if ending == ForwardResult::Succeeded && !answered {
            let result = told.result.unwrap_or_default();
            let (operation, took) = (open.operation, now - open.taken_at);
            self.took(operation, took);
            self.answer(&inv, SUCCEEDED, None, result.as_bytes(), driver);
            if !out {
                // Given up, but it came to its end all the same: this is the result that is owed.
                log!("late-result", "inv={inv} runner={}", told.from);
                self.happened.push(Event::ClientLeft { invocation: inv.clone() });
            }
        }
        if let Some(open) = self.invs.get_mut(&inv) {
            open.forwards[at].told = Some(hash);
        }
        self.end(&inv, number, ending, report, now);
    }
}
