//! The request table: the open invocations and their forwards. It turns what clients, runners, discovery,
//! operators and peers report into events for the routing policy, and carries out the actions that the policy
//! returns.
//!
//! It is the only caller of the routing policy. It guarantees one final answer for each invocation and one
//! outcome for each forward. It never chooses a runner, a retry or an answer itself, except the error for an
//! invocation whose client's time is over, and never sends a forward twice.

mod callbacks;
mod closed_ids;
mod connection_room;
mod invocation_memory;
mod operator_calls;
mod peer_exchange;
mod persistence;
mod settings;
mod shutdown;
mod upgrade;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use topazsail::{
    Action, Arrival, Event, ForwardResult, Id, Listing, Micros, Outcome, Readiness, Roster as RosterUpdate,
    RoutingPolicy,
};
use topazsail_recovery::limits::OperationValue;

use crate::config::Configuration;
use crate::ingress::clients::{self, Clients, Invocation};
use crate::ingress::operators::Operators;
use crate::lifecycle::handover::{HandoverMessage, HandoverPeer, HandoverState};
use crate::lifecycle::store_thread::StoreThread;
use crate::metrics::{FinalStatus, Metrics};
use crate::net::connection::{
    ConnectionDriver, ConnectionHandler, ConnectionId, ConnectionRole, Timer, TimerKey,
};
use crate::net::http::HttpError;
use crate::net::log::log;
use crate::net::memory::MemoryShares;
use crate::upstream::membership::{Membership, ROSTER_LEASE_TIMEOUT};
use crate::upstream::roster::{self, Roster, RosterSnapshot};
use crate::upstream::runners::{self, Runners};

const STATUS_OK: u16 = 200;
const STATUS_TOO_MANY_REQUESTS: u16 = 429;
const STATUS_BAD_GATEWAY: u16 = 502;
/// Answer to an invocation that cannot be accepted now; nothing of it has been forwarded.
const STATUS_UNAVAILABLE: u16 = 503;
/// Answer to a client whose request a runner rejects as malformed.
const STATUS_BAD_REQUEST: u16 = 400;
/// How long the routing policy may take for the final answer once the client's time is over, in microseconds, like
/// all times here.
const FINAL_ANSWER_TIMEOUT: Micros = 10_000;
/// Base of the delay before a failed cancel is retried: it is doubled for each failure, the first included.
/// Until a cancel succeeds the forward counts as outstanding, as the runner may still execute it.
const CANCEL_RETRY_INTERVAL: Micros = 125_000;
/// Upper bound of the delay between cancels.
const MAX_CANCEL_RETRY_INTERVAL: Micros = 2_000_000;
/// A starting process reports itself ready once it holds the lease on its roster, or after this at the
/// latest: nine in ten starting processes must be ready within 10 s, however long discovery takes.
const READY_TIMEOUT: Micros = 9_000_000;
/// Interval at which a lapsed lease is checked again.
const LAPSED_LEASE_CHECK_INTERVAL: Micros = 1_000_000;

/// One attempt of an invocation at one runner.
struct Forward {
    runner: Id,
    sent_at: Micros,
    /// How it ended; none while it is outstanding.
    result: Option<ForwardResult>,
    /// Whether its runner has reported that its job started, and no earlier forward can be meant.
    has_started: bool,
    /// Whether its runner has made a final call-back for it.
    is_reported: bool,
    /// Number of cancels that have failed.
    failed_cancels: u32,
}

impl Forward {
    /// Whether it has not ended yet.
    fn is_outstanding(&self) -> bool {
        self.result.is_none()
    }
}

/// An invocation that is unanswered or has an outstanding forward.
struct OpenInvocation {
    connection: ConnectionId,
    /// The operation's number in [`Operations`](crate::ingress::operations::Operations).
    operation: usize,
    accepted_at: Micros,
    /// When the client stops waiting.
    expires_at: Micros,
    /// Request head and body for further forwards; empty once answered.
    head: Vec<u8>,
    body: Vec<u8>,
    is_answered: bool,
    /// Whether the routing policy has been asked to answer now, as the time of the client or of a shutdown is
    /// over.
    is_answer_due: bool,
    forwards: Vec<Forward>,
    final_callbacks: FinalCallbacks,
    /// The timer for the end of the client's time.
    timer: Option<TimerKey>,
}

impl OpenInvocation {
    /// Index of the outstanding forward, if there is one.
    fn outstanding_forward(&self) -> Option<u32> {
        self.forwards.iter().position(Forward::is_outstanding).map(|number| number as u32)
    }
}

use callbacks::FinalCallbacks;
use closed_ids::ClosedIds;
use connection_room::ConnectionLimits;
pub use peer_exchange::PeerExchange;
pub use persistence::Persistence;
use settings::{adapt_settings, operation_values, overload_retry_after};
use topazsail_upgrade::{Event as UpgradeEvent, Role};
pub use upgrade::SocketChange;
use upgrade::UpgradeProgress;

/// The open invocations, the routing policy and the parts of the node that carry out its actions.
pub struct RequestTable {
    policy: RoutingPolicy,
    /// Name and listening address: only a restart can change them.
    name: String,
    listen: SocketAddr,
    /// The configuration file in force.
    active_file: serde_json::Value,
    /// Connections of clients and of runners' call-backs.
    pub clients: Clients,
    operators: Operators,
    metrics: Metrics,
    runners: Runners,
    membership: Membership,
    roster: Roster,
    invocations: BTreeMap<Id, OpenInvocation>,
    closed_ids: ClosedIds,
    /// Events collected for the next call of the routing policy.
    pending_events: Vec<Event>,
    /// Limit of open invocations.
    max_open: usize,
    /// Bytes of memory that all open invocations hold.
    invocation_bytes: usize,
    /// The shares of the process's memory limit.
    memory_shares: MemoryShares,
    /// Retry-After of clients that are turned away for lack of capacity, if one is sent.
    overload_retry_after: Option<Micros>,
    /// The longest Retry-After that clients follow, if one is sent.
    max_retry_after: Option<Micros>,
    /// When the shutdown began, if it has.
    shutdown_since: Option<Micros>,
    /// Whether this process still waits for its roster before it reports itself ready. Recovery reports
    /// readiness on its own.
    is_starting: bool,
    /// The longest client timeout of the settings in force, in microseconds.
    longest_client_timeout: Micros,
    /// Connection to the other process of an upgrade.
    handover_peer: HandoverPeer,
    /// The state of an upgrade.
    upgrade: UpgradeProgress,
    /// Limits on sockets and on bytes of memory, shared with the other process during an upgrade.
    resource_limits: (usize, usize),
    /// The limits on connections that follow from the descriptors.
    connection_limits: ConnectionLimits,
    /// From the settings: the number of dispatchers, the overload window (how long work sent to a cold runner
    /// counts towards its slow-start budget), and the share of its capacity that a runner starts with.
    dispatcher_count: usize,
    overload_window: Micros,
    cold_capacity_share: f64,
    /// Value and latency objective of each operation, by its number.
    operation_values: Vec<OperationValue>,
    /// What survives the process, if a store is configured.
    persistence: Option<Persistence>,
    /// Exchange with the other dispatchers, if peers are configured.
    peer_exchange: Option<PeerExchange>,
}

impl RequestTable {
    /// Creates the table. `inherited` is the state handed over by a predecessor; without one, a process with
    /// a `store_thread` goes through the stages of recovery before it serves.
    pub fn new(
        configuration: Configuration,
        inherited: Option<HandoverState>,
        store_thread: Option<StoreThread>,
        driver: &mut dyn ConnectionDriver,
    ) -> RequestTable {
        let peer_exchange = configuration
            .peers
            .as_ref()
            .map(|peers| PeerExchange::new(peers.clone(), &configuration.name, configuration.seed));
        let has_peers = peer_exchange.is_some();
        let (store_is_required, started_at) =
            (configuration.store.as_ref().is_some_and(|store| store.require), driver.now());
        let mut decoded = configuration.decoded;
        let is_pushed = !decoded.settings.must_subscribe;
        let (mut clients, mut metrics) = (Clients::new(), Metrics::default());
        adapt_settings(&mut decoded, has_peers, &mut clients, &mut metrics, driver.now());
        let overload_retry_after = overload_retry_after(&decoded);
        let max_retry_after = decoded.settings.max_retry_after;
        let (warm_up_span, overload_window) =
            (decoded.settings.warm_up_span, decoded.settings.overload_window);
        let dispatcher_count = decoded.settings.dispatchers as usize;
        let (cold_capacity_share, operation_values) =
            (decoded.settings.cold_capacity_share, operation_values(&decoded));
        let mut table = RequestTable {
            clients,
            operators: Operators::default(),
            metrics,
            runners: Runners::new(&decoded),
            membership: Membership::new(warm_up_span),
            roster: Roster::new(configuration.discovery, configuration.initial_roster.generation, is_pushed),
            policy: RoutingPolicy::new(decoded.settings, configuration.seed),
            name: configuration.name,
            listen: configuration.listen,
            active_file: configuration.file,
            invocations: BTreeMap::new(),
            closed_ids: ClosedIds::default(),
            pending_events: Vec::new(),
            max_open: decoded.max_open,
            invocation_bytes: 0,
            memory_shares: MemoryShares::default(),
            overload_retry_after,
            max_retry_after,
            shutdown_since: None,
            is_starting: false,
            longest_client_timeout: decoded.longest_client_timeout,
            handover_peer: HandoverPeer::default(),
            upgrade: UpgradeProgress::default(),
            resource_limits: (configuration.max_sockets, configuration.memory_bytes),
            connection_limits: ConnectionLimits::default(),
            dispatcher_count,
            overload_window,
            cold_capacity_share,
            operation_values,
            persistence: None,
            peer_exchange,
        };
        table.apply_resource_limits();
        driver.set_timer(Timer::Lease, started_at + ROSTER_LEASE_TIMEOUT);
        if inherited.is_none() && store_thread.is_none() {
            table.is_starting = true;
            table.clients.set_ready(false);
            driver.set_timer(Timer::ReadinessTimeout, started_at + READY_TIMEOUT);
        }
        let persistence = |store_thread, configured_roster| {
            Persistence::new(store_thread, (store_is_required, has_peers), configured_roster, started_at)
        };
        if inherited.is_none()
            && let Some(store_thread) = store_thread
        {
            table.persistence = Some(persistence(store_thread, Some(configuration.initial_roster)));
            table.begin_recovery(driver);
            return table;
        }
        // The state handed over by a running process is more recent than what is on the disk.
        table.persistence = store_thread.map(|store_thread| persistence(store_thread, None).in_service());
        let (initial_roster, slow_start_usage) = match inherited {
            Some(inherited) => table.inherit(inherited, configuration.initial_roster, started_at),
            None => (configuration.initial_roster, Vec::new()),
        };
        table
            .apply_listing(roster::RosterEvent::local(Listing::Remembered, initial_roster.entries()), driver);
        // Only after the roster event: the policy must know these runners.
        if !slow_start_usage.is_empty() {
            table.pending_events.push(Event::SlowStartUsage(slow_start_usage));
        }
        table
    }

    /// The roster in discovery's format, and the generation that it reflects.
    fn current_roster(&self) -> Option<(u64, serde_json::Value)> {
        let generation = self.roster.generation()?;
        let entries = self.membership.listed_entries();
        let entries = entries.filter_map(|entry| Some((entry, self.runners.address(&entry.runner)?)));
        Some((generation, RosterSnapshot::to_json(generation, entries)))
    }

    /// Registers an accepted connection with the owner of its role.
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

    /// The owner of the connections of this role.
    pub fn handler(&mut self, role: ConnectionRole) -> &mut dyn ConnectionHandler {
        match role {
            ConnectionRole::Client => &mut self.clients,
            ConnectionRole::Runner => &mut self.runners,
            ConnectionRole::Roster => &mut self.roster,
            ConnectionRole::Operator => &mut self.operators,
            ConnectionRole::Peer => &mut self.handover_peer,
        }
    }

    /// Handles a timer, except those of connections and of the event loop itself.
    pub fn timer_fired(&mut self, timer: Timer, driver: &mut dyn ConnectionDriver) {
        match timer {
            Timer::RoutingPolicy => self.pending_events.push(Event::TimerFired),
            Timer::Invocation(id) => self.handle_deadline(&id, driver),
            Timer::Cancel(id, number) => self.cancel(&id, number, driver),
            Timer::Shutdown => self.advance_shutdown(driver),
            Timer::ColdRunnerPause if self.upgrade.other() != Some(Role::Successor) => {
                self.pause_cold_runners(Micros::MIN, driver)
            }
            Timer::ColdRunnerPause => {}
            Timer::ReadinessTimeout => self.finish_starting(),
            Timer::Lease => {
                self.update_lease(driver);
                let at = (self.roster.certain_until() + ROSTER_LEASE_TIMEOUT)
                    .max(driver.now() + LAPSED_LEASE_CHECK_INTERVAL);
                driver.set_timer(Timer::Lease, at);
            }
            Timer::RecoveryStage => self.recovery_timer_fired(driver),
            Timer::Persist => self.store_roster(),
            Timer::PeerRound => self.run_peer_round(driver),
            Timer::PersistTimeout(ticket) => self.time_out_stored_call(ticket, driver),
            Timer::Upgrade => self.handle_upgrade_event(UpgradeEvent::TimerFired, driver),
            Timer::Connection(_)
            | Timer::Finish(_)
            | Timer::ResumeAccepting(_)
            | Timer::Redial(_)
            | Timer::Register(_)
            | Timer::Reload => {}
        }
    }

    /// Whether events wait for the routing policy.
    pub fn has_pending_events(&self) -> bool {
        !self.pending_events.is_empty()
    }

    /// Passes all collected events to the routing policy and carries out its actions.
    pub fn decide(&mut self, driver: &mut dyn ConnectionDriver) {
        self.collect_events(driver);
        self.enforce_connection_limit(driver);
        if self.pending_events.is_empty() {
            return;
        }
        let events = std::mem::take(&mut self.pending_events);
        for action in self.policy.decide(driver.now(), events) {
            self.apply_action(action, driver);
        }
        self.collect_events(driver);
    }

    /// Carries out one action of the routing policy.
    fn apply_action(&mut self, action: Action, driver: &mut dyn ConnectionDriver) {
        match action {
            Action::Forward { invocation, runner, send_by } => {
                self.forward(&invocation, runner, send_by, driver)
            }
            Action::Cancel { invocation, forward } => self.cancel(&invocation, forward, driver),
            Action::Throttle { invocation, retry_after } => {
                self.record_throttling(driver.now());
                self.answer(&invocation, STATUS_TOO_MANY_REQUESTS, retry_after, b"", driver);
            }
            Action::Error { invocation } => self.answer(&invocation, STATUS_BAD_GATEWAY, None, b"", driver),
            Action::Probe { runner } => self.runners.probe(&runner, driver),
            Action::Subscribe => self.roster.follow(driver),
            Action::SetTimer { after } => driver.set_timer(Timer::RoutingPolicy, driver.now() + after),
            Action::Log(text) => log!("brain", "{}", text.escape_debug()),
        }
    }

    /// Sends an invocation to a runner, by `send_by` at the latest if given. A forward that must not be sent
    /// any more ends at once as void.
    fn forward(
        &mut self,
        invocation: &Id,
        runner: Id,
        send_by: Option<Micros>,
        driver: &mut dyn ConnectionDriver,
    ) {
        let Some(open) = self.invocations.get_mut(invocation) else { return };
        let number = open.forwards.len() as u32;
        let can_send = !open.is_answered && open.outstanding_forward().is_none();
        let sent_at = driver.now();
        open.forwards.push(Forward {
            runner: runner.clone(),
            sent_at,
            result: None,
            has_started: false,
            is_reported: false,
            failed_cancels: 0,
        });
        if can_send {
            let effect = self.clients.operations.effect(open.operation);
            let message = (open.head.as_slice(), open.body.as_slice(), effect);
            self.runners.forward(
                &runner,
                (invocation, number),
                message,
                (open.expires_at, send_by),
                open.connection,
                driver,
            );
        } else {
            self.end_forward(invocation, number, ForwardResult::Void, Vec::new(), driver);
        }
    }

    /// Cancels a forward if it is outstanding.
    fn cancel(&mut self, invocation: &Id, number: u32, driver: &mut dyn ConnectionDriver) {
        let forward = self.invocations.get(invocation).and_then(|open| open.forwards.get(number as usize));
        if let Some(forward) = forward.filter(|forward| forward.is_outstanding()) {
            self.runners.cancel(&forward.runner, invocation, number, driver);
        }
    }

    /// Sends the final answer unless the invocation has been answered.
    fn answer(
        &mut self,
        invocation: &Id,
        status: u16,
        retry_after: Option<Micros>,
        body: &[u8],
        driver: &mut dyn ConnectionDriver,
    ) {
        let operation = self.invocations.get(invocation).map_or(0, |open| open.operation);
        let attempts = self.attempt_count(invocation);
        if let Some(connection) = self.close_invocation(invocation, driver) {
            if status != STATUS_OK {
                log!("not-served", "inv={invocation} link={connection} status={status} attempts={attempts}");
            }
            self.metrics.count(self.clients.operations.name(operation), FinalStatus::of(status));
            self.clients.answer(connection, status, retry_after, body, driver);
        }
    }

    /// Marks an invocation as answered and returns its client connection, or `None` if it was answered
    /// before. An outstanding forward keeps the entry until it ends, and is not sent if it has not been sent
    /// yet.
    fn close_invocation(
        &mut self,
        invocation: &Id,
        driver: &mut dyn ConnectionDriver,
    ) -> Option<ConnectionId> {
        let open = self.invocations.get_mut(invocation).filter(|open| !open.is_answered)?;
        open.is_answered = true;
        let connection = open.connection;
        let outstanding =
            open.outstanding_forward().map(|number| (number, open.forwards[number as usize].runner.clone()));
        self.drop_request(invocation);
        match outstanding {
            None => self.remove_invocation(invocation, driver),
            Some((number, runner)) => {
                self.runners.withdraw_unsent(&runner, invocation, number, driver);
            }
        }
        self.closed_ids.insert(invocation.clone());
        Some(connection)
    }

    /// Number of forwards of an invocation so far.
    fn attempt_count(&self, invocation: &Id) -> usize {
        self.invocations.get(invocation).map_or(0, |open| open.forwards.len())
    }

    /// The forward of an invocation with this number.
    fn forward_mut(&mut self, invocation: &Id, number: u32) -> Option<&mut Forward> {
        self.invocations.get_mut(invocation)?.forwards.get_mut(number as usize)
    }

    /// Ends an outstanding forward and reports its outcome to the routing policy; does nothing if it has
    /// already ended.
    fn end_forward(
        &mut self,
        invocation: &Id,
        number: u32,
        result: ForwardResult,
        report: Vec<f64>,
        driver: &mut dyn ConnectionDriver,
    ) {
        let now = driver.now();
        let Some(open) = self.invocations.get_mut(invocation) else { return };
        let answered = open.is_answered;
        let ended = open.forwards.get_mut(number as usize).filter(|ended| ended.is_outstanding());
        let Some(ended) = ended else { return };
        ended.result = Some(result);
        let (runner, elapsed, forward) = (ended.runner.clone(), now - ended.sent_at, number);
        if !matches!(result, ForwardResult::Succeeded | ForwardResult::Overloaded) {
            let (code, ms) = (result.code(), elapsed / 1000);
            log!("attempt-failed", "inv={invocation} attempt={number} runner={runner} ending={code} ms={ms}");
        }
        let outcome =
            Outcome { invocation: invocation.clone(), forward, runner, result, answered, elapsed, report };
        self.pending_events.push(Event::Outcome(outcome));
        if answered && open.outstanding_forward().is_none() {
            self.remove_invocation(invocation, driver);
        }
    }

    /// Handles the end of the client's time, or of the time that a shutdown leaves: an outstanding forward
    /// times out, and the routing policy has to answer now. The policy decides the answer because it may
    /// still be a throttling: an invocation that was never sent, or never ran, has not failed. If the policy
    /// has not answered by the second call, the client gets an error.
    fn handle_deadline(&mut self, invocation: &Id, driver: &mut dyn ConnectionDriver) {
        self.time_out_forward(invocation, driver);
        let Some(open) = self.invocations.get_mut(invocation).filter(|open| !open.is_answered) else {
            return;
        };
        if std::mem::replace(&mut open.is_answer_due, true) {
            log!("overdue", "inv={invocation} forwards={}", open.forwards.len());
            return self.answer_with_error(invocation, driver);
        }
        self.pending_events.push(Event::AnswerNow { invocation: invocation.clone() });
        let at = driver.now() + FINAL_ANSWER_TIMEOUT;
        let timer = driver.set_cancellable_timer(Timer::Invocation(invocation.clone()), at);
        if let Some(open) = self.invocations.get_mut(invocation) {
            open.timer = Some(timer);
        }
    }

    /// Ends the outstanding forward, if there is one.
    fn time_out_forward(&mut self, invocation: &Id, driver: &mut dyn ConnectionDriver) {
        let Some(open) = self.invocations.get(invocation) else { return };
        let Some(number) = open.outstanding_forward() else { return };
        let runner = open.forwards[number as usize].runner.clone();
        // A forward that was not sent cannot have run, and does not count as timed out.
        let was_unsent = self.runners.withdraw_unsent(&runner, invocation, number, driver);
        let result = if was_unsent { ForwardResult::Void } else { ForwardResult::TimedOut };
        self.end_forward(invocation, number, result, Vec::new(), driver);
        if !was_unsent {
            self.runners.cancel(&runner, invocation, number, driver);
        }
    }

    /// Answers without the routing policy, and notifies it that the invocation is closed.
    fn answer_with_error(&mut self, invocation: &Id, driver: &mut dyn ConnectionDriver) {
        self.answer(invocation, STATUS_BAD_GATEWAY, None, b"", driver);
        self.pending_events.push(Event::ClientLeft { invocation: invocation.clone() });
    }

    /// Turns everything received since the last call into events.
    pub fn collect_events(&mut self, driver: &mut dyn ConnectionDriver) {
        self.collect_store_events(driver);
        // What the other process of an upgrade has told comes before what operators and clients ask for.
        self.collect_handover_events(driver);
        for event in std::mem::take(&mut self.roster.events) {
            self.pass_roster(&event, driver);
            self.apply_listing(event, driver);
        }
        self.pass_roster_contact(driver);
        self.update_lease(driver);
        for (connection, call) in std::mem::take(&mut self.operators.events) {
            self.handle_operator_call(connection, call, driver);
        }
        for event in std::mem::take(&mut self.clients.events) {
            match event {
                clients::ClientEvent::Invocation(invocation) => self.accept_invocation(invocation, driver),
                clients::ClientEvent::RunnerCallback(received) => self.handle_callback(received, driver),
                clients::ClientEvent::Disconnected(connection, id) => {
                    self.handle_client_left(connection, id, driver)
                }
            }
        }
        for event in std::mem::take(&mut self.runners.events) {
            match event {
                runners::RunnerEvent::Ended { invocation, number, result, report } => {
                    self.end_forward(&invocation, number, result, report, driver);
                }
                runners::RunnerEvent::ClientLeft { invocation, number } => {
                    if let Some(connection) = self.invocations.get(&invocation).map(|open| open.connection) {
                        self.handle_client_left(connection, invocation.clone(), driver);
                    }
                    self.end_forward(&invocation, number, ForwardResult::Void, Vec::new(), driver);
                }
                runners::RunnerEvent::Unusable { invocation, number } => {
                    // No runner would accept the request, and the rejection is no failure of this one.
                    self.answer(&invocation, STATUS_BAD_REQUEST, None, b"", driver);
                    self.end_forward(&invocation, number, ForwardResult::Void, Vec::new(), driver);
                }
                runners::RunnerEvent::Cancelled { invocation, number } => {
                    self.end_forward(&invocation, number, ForwardResult::Withdrawn, Vec::new(), driver);
                }
                runners::RunnerEvent::Doubtful { invocation, number } => {
                    if self.forward_mut(&invocation, number).is_some_and(|forward| forward.is_outstanding()) {
                        log!("acceptance-unclear", "inv={invocation} attempt={number}");
                        self.pending_events.push(Event::EndUnclear { invocation, forward: number });
                    }
                }
                runners::RunnerEvent::NotCancelled { invocation, number } => {
                    if let Some(forward) =
                        self.forward_mut(&invocation, number).filter(|forward| forward.is_outstanding())
                    {
                        log!("not-cancelled", "inv={invocation} runner={}", forward.runner);
                        forward.failed_cancels += 1;
                        let after = (CANCEL_RETRY_INTERVAL << forward.failed_cancels.min(8))
                            .min(MAX_CANCEL_RETRY_INTERVAL);
                        driver.set_timer(Timer::Cancel(invocation, number), driver.now() + after);
                    }
                }
                runners::RunnerEvent::Probed { runner, alive, report } => {
                    self.pending_events.push(Event::ProbeEnded { runner, alive, report });
                }
            }
        }
    }

    /// Updates the lease on the roster. It lapses when discovery was reachable and its changes have not
    /// arrived for as long as the lease lasts. Listed runners are then treated as draining, so that nothing
    /// is sent to a runner whose drain discovery treats as known here although this process has missed it.
    fn update_lease(&mut self, driver: &mut dyn ConnectionDriver) {
        let (certain_until, now) = (self.roster.certain_until(), driver.now());
        let Some(entries) = self.membership.update_lease(certain_until, now) else { return };
        // While the process starts, the first change is a renewal: discovery has confirmed the roster or is
        // unreachable.
        self.finish_starting();
        log!(
            "lease",
            "state={} unsure_ms={}",
            if self.membership.lease_has_lapsed() { "lapsed" } else { "renewed" },
            (now - certain_until) / 1000
        );
        if self.membership.lease_has_lapsed() {
            self.runners.drop_all_pending(driver);
        }
        self.pending_events.push(Event::Roster(RosterUpdate { listing: Listing::Local, entries }));
    }

    /// Reports this process ready if it was still starting.
    fn finish_starting(&mut self) {
        if std::mem::take(&mut self.is_starting) {
            log!("ready", "lease={}", if self.membership.lease_has_lapsed() { "none" } else { "held" });
            self.clients.set_ready(self.shutdown_since.is_none());
        }
    }

    /// Applies a roster or its changes to the connections, the membership and the routing policy.
    fn apply_listing(&mut self, event: roster::RosterEvent, driver: &mut dyn ConnectionDriver) {
        let is_whole_roster = matches!(event.listing, Listing::All | Listing::Remembered);
        if is_whole_roster {
            self.runners.mark_all_unlisted(driver.now());
        }
        let mut entries = Vec::new();
        for (entry, address) in event.entries {
            let is_listed = entry.readiness != Readiness::Removed;
            self.runners.update_runner(&entry.runner, is_listed, address, driver);
            if entry.readiness != Readiness::Up {
                self.runners.drop_pending(&entry.runner, driver);
            }
            entries.push(entry);
        }
        self.runners.remove_long_unlisted(driver);
        self.membership.set_previous_contact(event.previous_contact);
        let entries = self.membership.apply_listing(event.listing, entries, driver.now());
        self.note_listing(event.listing, driver);
        self.pending_events.push(Event::Roster(RosterUpdate { listing: event.listing, entries }));
        self.update_slow_start_shares(driver.now());
    }

    /// Accepts a new invocation, or answers it at once if it cannot be held or is not admitted.
    fn accept_invocation(&mut self, request: Invocation, driver: &mut dyn ConnectionDriver) {
        let now = driver.now();
        if self.invocations.contains_key(&request.id) || self.closed_ids.contains(&request.id) {
            return self.clients.reject(request.connection, HttpError(400, "repeated_id"), driver);
        }
        let request_bytes = request.head.len() + request.body.len();
        if !self.may_forward() {
            log!("not-taken", "inv={} reason=recovering", request.id);
            let retry_after = self.recovery_retry_after(&request.id, now);
            self.metrics
                .count(self.clients.operations.name(request.operation), FinalStatus::of(STATUS_UNAVAILABLE));
            return self.clients.answer(request.connection, STATUS_UNAVAILABLE, retry_after, b"", driver);
        }
        if !self.admits(request.operation, &request.id, now) {
            let retry_after = self.recovery_retry_after(&request.id, now);
            self.metrics.count(
                self.clients.operations.name(request.operation),
                FinalStatus::of(STATUS_TOO_MANY_REQUESTS),
            );
            return self.clients.answer(
                request.connection,
                STATUS_TOO_MANY_REQUESTS,
                retry_after,
                b"",
                driver,
            );
        }
        let is_full = self.invocations.len() >= self.max_open || self.exceeds_memory(request_bytes);
        let is_too_late_in_shutdown = self.is_too_late_to_accept(now);
        if is_full || is_too_late_in_shutdown || request.expires_at <= now {
            let reason = if is_too_late_in_shutdown {
                "going_down"
            } else if is_full {
                "no_room"
            } else {
                "too_late"
            };
            log!("not-taken", "inv={} reason={reason}", request.id);
            let retry_after = self.overload_retry_after.filter(|_| is_full || is_too_late_in_shutdown);
            let operation = self.clients.operations.name(request.operation);
            self.metrics.count(operation, FinalStatus::of(STATUS_UNAVAILABLE));
            return self.clients.answer(request.connection, STATUS_UNAVAILABLE, retry_after, b"", driver);
        }
        self.handover_peer.send(&HandoverMessage::InvocationTaken(request.id.to_string()), driver);
        let timer = driver.set_cancellable_timer(Timer::Invocation(request.id.clone()), request.expires_at);
        let (invocation, operation, slots, key) =
            (request.id.clone(), request.operation, request.slots, request.key);
        let (time_left, work_hint) = (request.expires_at - now, request.work_hint);
        self.pending_events.push(Event::Arrival(Arrival {
            invocation,
            operation,
            time_left,
            slots,
            work_hint,
            key,
        }));
        let (connection, expires_at, head, body) =
            (request.connection, request.expires_at, request.head, request.body);
        let accepted_at = now;
        let open = OpenInvocation {
            connection,
            operation,
            accepted_at,
            expires_at,
            head,
            body,
            is_answered: false,
            is_answer_due: false,
            forwards: Vec::new(),
            final_callbacks: FinalCallbacks::default(),
            timer: Some(timer),
        };
        self.insert_invocation(request.id, open);
    }

    /// Closes an invocation whose client has left.
    fn handle_client_left(&mut self, connection: ConnectionId, id: Id, driver: &mut dyn ConnectionDriver) {
        let is_unanswered =
            self.invocations.get(&id).is_some_and(|open| open.connection == connection && !open.is_answered);
        if is_unanswered {
            log!("client-left", "inv={id} link={connection} attempts={}", self.attempt_count(&id));
            self.close_invocation(&id, driver);
            self.pending_events.push(Event::ClientLeft { invocation: id });
        }
    }
}
