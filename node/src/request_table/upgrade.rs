//! The request table's part in an upgrade: what it takes over from the process before, and what the two
//! processes tell each other while both serve.
//!
//! To clients, operators and runners the two are one dispatcher. Whatever one of them learns of the runners
//! and of invocations, it passes to the other. When which of them serves is decided by `topazsail_upgrade`; this
//! module carries that out.

use topazsail::{Event, Listing, Micros, Roster as RosterUpdate, SlowStartUsage};
use topazsail_peers::AdminCall;
use topazsail_upgrade::{Action, Event as UpgradeEvent, OverrideOrder, Refusal, Resource, Role, Upgrade};

use super::RequestTable;
use crate::ingress::clients::ReceivedCallback;
use crate::lifecycle::handover::{HandoverMessage, HandoverState};
use crate::net::connection::{ConnectionDriver, ConnectionHandler, ConnectionId, ConnectionRole, Timer};
use crate::net::log::log;
use crate::upstream::roster::{PassedContact, RosterEvent, RosterSnapshot};

/// A change of the sockets that only one process of an upgrade has, for the event loop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SocketChange {
    /// Open the socket for successors, in the place of the one that another process has there.
    OpenSuccessors,
    /// Open the socket for datagrams of other dispatchers.
    OpenDatagrams,
    /// Close it.
    CloseDatagrams,
}

/// How this process is to end early.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EarlyEnd {
    /// It was told to shut down before it has served.
    NeverServed,
    /// The process that serves has withdrawn its hand-over.
    Withdrawn,
}

/// The state of an upgrade, and of those that have failed.
#[derive(Default)]
pub(super) struct UpgradeProgress {
    core: Upgrade,
    /// What the core asked for before there was a connection to the predecessor.
    postponed: Vec<Action>,
    /// Connections that the predecessor had open when it handed over.
    pub(super) predecessor_connections: usize,
    /// The order of the admin overrides of both processes.
    overrides: OverrideOrder,
    /// Until when both processes have heard all that discovery announced.
    shared_certainty: Micros,
    socket_changes: Vec<SocketChange>,
    early_end: Option<EarlyEnd>,
    /// A starting process was refused since the last hand-over.
    has_refused: bool,
    /// The number of failures so far, the start of this process included.
    pub(super) failures: u64,
}

impl UpgradeProgress {
    /// Which process of the upgrade the other one is, while there is one.
    pub(super) fn other(&self) -> Option<Role> {
        self.core.other()
    }

    /// Whether a successor has taken over, and this process only answers what it has accepted.
    pub(super) fn has_released(&self) -> bool {
        self.core.has_released()
    }
}

impl RequestTable {
    /// Applies the state of the predecessor. Returns the roster to begin with (the predecessor's if it comes
    /// from the same discovery, else `configured_roster`) and the predecessor's slow-start usage.
    pub(super) fn inherit(
        &mut self,
        inherited: HandoverState,
        configured_roster: RosterSnapshot,
        now: Micros,
    ) -> (RosterSnapshot, Vec<SlowStartUsage>) {
        self.upgrade.predecessor_connections = inherited.connections;
        (self.upgrade.core, self.upgrade.postponed) = Upgrade::successor(inherited.confirms, now);
        inherited.gone.iter().for_each(|id| self.membership.inherit(id, None, None));
        for (id, since) in &inherited.out {
            self.membership.inherit(id, Some(*since), None);
        }
        for (id, from, until) in &inherited.was_out {
            self.membership.inherit(id, None, Some((*from, *until)));
        }
        inherited.ids.into_iter().for_each(|id| self.closed_ids.insert(id.into()));
        let slow_start_usage =
            inherited.slow_start_usage.into_iter().map(|(id, work)| (id.into(), work)).collect();
        let discovery = self.roster.discovery();
        let roster = (inherited.discovery == discovery.to_string())
            .then(|| RosterSnapshot::from_value(inherited.roster));
        match roster {
            Some(Ok(roster)) => {
                // A predecessor that does not send the time still follows its watch, so its roster is certain
                // up to now.
                let certain_until = if inherited.sure_at > 0 { inherited.sure_at.min(now) } else { now };
                self.roster.resume_from(roster.generation, certain_until);
                // The lease is held from the start. No entries change, as no runner is listed yet.
                let _ = self.membership.update_lease(certain_until, now);
                (roster, slow_start_usage)
            }
            _ => (configured_roster, slow_start_usage),
        }
    }

    /// Begins the time in which both processes tell each other what they hear.
    fn begin_overlap(&mut self) {
        self.upgrade.overrides = OverrideOrder::default();
        self.upgrade.has_refused = false;
        self.upgrade.shared_certainty = self.roster.certain_until();
        self.apply_resource_limits();
    }

    /// Attaches the connection to the predecessor, which stays open until that process ends, and reads what
    /// has already arrived on it.
    pub fn attach_predecessor(
        &mut self,
        connection: ConnectionId,
        mut early_bytes: Vec<u8>,
        driver: &mut dyn ConnectionDriver,
    ) {
        self.handover_peer.attach(connection);
        self.begin_overlap();
        let actions = std::mem::take(&mut self.upgrade.postponed);
        self.carry_out(actions, driver);
        self.handover_peer.received(connection, &mut early_bytes, driver);
    }

    /// Records that this process has started from nothing although another one may serve.
    pub fn note_failed_request(&mut self) {
        self.upgrade.failures += 1;
    }

    /// Whether a starting process that asks is handed over to.
    ///
    /// # Errors
    ///
    /// The reason why it is not.
    pub fn answer_successor(&mut self, driver: &mut dyn ConnectionDriver) -> Result<(), Refusal> {
        let actions = self.upgrade.core.handle(driver.now(), UpgradeEvent::SuccessorAsked);
        let refusal = actions.iter().find_map(|action| match action {
            Action::Refuse(refusal) => Some(*refusal),
            _ => None,
        });
        self.carry_out(actions, driver);
        match refusal {
            None => Ok(()),
            Some(refusal) => {
                // A starting process asks again and again.
                if !std::mem::replace(&mut self.upgrade.has_refused, true) {
                    log!("handover-refused", "reason={}", refusal.code());
                }
                Err(refusal)
            }
        }
    }

    /// Passes an event on to the state machine of the upgrade, and carries out what it asks for.
    pub fn handle_upgrade_event(&mut self, event: UpgradeEvent, driver: &mut dyn ConnectionDriver) {
        let actions = self.upgrade.core.handle(driver.now(), event);
        if !actions.is_empty() {
            self.carry_out(actions, driver);
            self.apply_resource_limits();
        }
    }

    fn carry_out(&mut self, actions: Vec<Action>, driver: &mut dyn ConnectionDriver) {
        for action in actions {
            match action {
                // The event loop answers the process that asks.
                Action::Refuse(_) | Action::Offer => {}
                Action::Send(message) => self.handover_peer.send(&HandoverMessage::Upgrade(message), driver),
                Action::Disconnect => self.handover_peer.disconnect(driver),
                Action::Take(resource) => self.take_resource(resource),
                Action::Release(resource) => self.release_resource(resource),
                Action::PauseColdRunners => self.pause_cold_runners(Micros::MAX, driver),
                Action::ResumeColdRunners { served: false } => self.pause_cold_runners(Micros::MIN, driver),
                Action::ResumeColdRunners { served: true } => {
                    self.pause_cold_runners(driver.now() + self.overload_window, driver);
                    driver.set_timer(Timer::ColdRunnerPause, driver.now() + self.overload_window);
                }
                Action::SetTimer(at) => driver.set_timer(Timer::Upgrade, at),
                Action::Report(failure) => {
                    self.upgrade.failures += 1;
                    log!("handover-failed", "reason={}", failure.code());
                }
                Action::Exit if self.shutdown_since.is_some() => {
                    self.upgrade.early_end = Some(EarlyEnd::NeverServed);
                }
                Action::Exit => self.upgrade.early_end = Some(EarlyEnd::Withdrawn),
            }
        }
    }

    fn take_resource(&mut self, resource: Resource) {
        match resource {
            Resource::Accepting => self.clients.set_handed_over(self.shutdown_since.is_some()),
            Resource::SuccessorSocket => {
                self.upgrade.socket_changes.push(SocketChange::OpenSuccessors);
            }
            Resource::Datagrams => self.upgrade.socket_changes.push(SocketChange::OpenDatagrams),
            Resource::Store => self.release_store(false),
        }
    }

    fn release_resource(&mut self, resource: Resource) {
        match resource {
            Resource::Accepting => self.clients.set_handed_over(true),
            // It is kept open, to refuse those that find it before the successor has taken its place.
            Resource::SuccessorSocket => {}
            Resource::Datagrams => self.upgrade.socket_changes.push(SocketChange::CloseDatagrams),
            Resource::Store => self.release_store(true),
        }
    }

    /// The changes of sockets since the last call, in order.
    pub fn take_socket_changes(&mut self) -> Vec<SocketChange> {
        std::mem::take(&mut self.upgrade.socket_changes)
    }

    /// Whether this process ends now, as it must not serve.
    pub fn ends_early(&self) -> bool {
        self.upgrade.early_end.is_some()
    }

    /// Why this process must not serve, if that is an error.
    pub fn withdrawn_reason(&self) -> Option<String> {
        let is_withdrawn = self.upgrade.early_end == Some(EarlyEnd::Withdrawn);
        is_withdrawn.then(|| "the process that serves has withdrawn its hand-over and serves on".to_owned())
    }

    /// Whether this process accepts connections of this role. A successor accepts none before it has taken over, so
    /// that its operators are answered once it serves.
    pub fn accepts(&self, role: ConnectionRole) -> bool {
        let core = &self.upgrade.core;
        match role {
            ConnectionRole::Operator => core.owns(Resource::Accepting) || core.has_released(),
            _ => core.owns(Resource::Accepting),
        }
    }

    /// Sends this process's state to a successor, after [`RequestTable::answer_successor`].
    pub fn hand_over(&mut self, connection: ConnectionId, driver: &mut dyn ConnectionDriver) {
        self.collect_events(driver);
        let discovery = self.roster.discovery();
        let slow_start_usage = self.policy.slow_start_usage(driver.now());
        let state = HandoverState {
            discovery: discovery.to_string(),
            roster: self.current_roster().map(|(_, roster)| roster).unwrap_or_default(),
            sure_at: self.roster.certain_until(),
            connections: driver.connection_count(),
            gone: self.membership.unlisted_ids(),
            out: self.membership.runners_in_maintenance(),
            was_out: self.membership.past_maintenance(),
            ids: self.closed_ids.latest().chain(self.invocations.keys()).map(|id| id.to_string()).collect(),
            configuration: self.active_file.to_string(),
            confirms: true,
            slow_start_usage: slow_start_usage.into_iter().map(|(id, work)| (id.to_string(), work)).collect(),
        };
        log!("handing-over", "open={} out={}", self.invocations.len(), state.out.len());
        self.handover_peer.attach(connection);
        self.handover_peer.send(&state, driver);
        self.begin_overlap();
    }

    /// Keeps cold runners out of use until `until`.
    pub(super) fn pause_cold_runners(&mut self, until: Micros, driver: &mut dyn ConnectionDriver) {
        let entries = self.membership.pause_cold_runners(until, Micros::MAX, driver.now());
        self.pending_events.push(Event::Roster(RosterUpdate { listing: Listing::Local, entries }));
    }

    /// Handles the end of the other process.
    fn end_overlap(&mut self, driver: &mut dyn ConnectionDriver) {
        let had_successor = self.upgrade.other() == Some(Role::Successor);
        self.handle_upgrade_event(UpgradeEvent::PeerEnded, driver);
        if had_successor {
            self.announce_unknown_overrides(driver);
        }
    }

    /// The connection to the other process, while there is one.
    pub fn handover_connection(&self) -> Option<ConnectionId> {
        self.handover_peer.connection()
    }

    /// Processes the messages of the other process, and notices its end.
    pub(super) fn collect_handover_events(&mut self, driver: &mut dyn ConnectionDriver) {
        for message in std::mem::take(&mut self.handover_peer.incoming) {
            let event = match &message {
                HandoverMessage::Upgrade(message) => UpgradeEvent::Received(*message),
                _ => UpgradeEvent::Heard,
            };
            self.handle_upgrade_event(event, driver);
            match message {
                HandoverMessage::Upgrade(_) => {}
                HandoverMessage::Callback(callback, hash) => {
                    self.handle_callback(ReceivedCallback { callback, hash, source: None }, driver)
                }
                HandoverMessage::AdminOverride { id, out, seen, calls } => {
                    self.apply_passed_override(&id, (out, seen), calls, driver)
                }
                HandoverMessage::Roster(passed) => self.roster.receive_passed(passed),
                HandoverMessage::RosterContact(contact) => self.receive_roster_contact(contact, driver),
                HandoverMessage::InvocationTaken(id) => self.closed_ids.insert(id.into()),
            }
        }
        if std::mem::take(&mut self.handover_peer.ended) {
            self.end_overlap(driver);
        }
    }

    /// Passes a list that this process has received from discovery to the other process of an upgrade.
    pub(super) fn pass_roster(&self, event: &RosterEvent, driver: &mut dyn ConnectionDriver) {
        if self.upgrade.other().is_some()
            && let Some(passed) = self.roster.to_passed(event)
        {
            self.handover_peer.send(&HandoverMessage::Roster(passed), driver);
        }
    }

    /// Tells the other process of an upgrade how far this one has heard all that discovery announced, once all
    /// lists that arrived until then have been passed.
    pub(super) fn pass_roster_contact(&mut self, driver: &mut dyn ConnectionDriver) {
        if self.upgrade.other().is_none() {
            return;
        }
        let contact = self.roster.contact();
        if contact.certain_until > self.upgrade.shared_certainty {
            self.upgrade.shared_certainty = contact.certain_until;
            self.handover_peer.send(&HandoverMessage::RosterContact(contact), driver);
        }
    }

    /// Applies how far the other process has heard all that discovery announced.
    fn receive_roster_contact(&mut self, contact: PassedContact, driver: &mut dyn ConnectionDriver) {
        self.roster.receive_contact(contact, driver.now());
        self.upgrade.shared_certainty = self.roster.certain_until();
    }

    /// Passes an admin override that this process has applied to the other process of an upgrade.
    pub(super) fn pass_admin_override(&mut self, id: &str, out: bool, driver: &mut dyn ConnectionDriver) {
        if self.upgrade.other().is_some() {
            let seen = self.upgrade.overrides.send(id, out);
            let calls = self.exchanged_calls(id);
            let message = HandoverMessage::AdminOverride { id: id.to_owned(), out, seen, calls };
            self.handover_peer.send(&message, driver);
        }
    }

    /// Applies an admin override that the other process has answered or heard of, also of a runner that was
    /// never listed here, as it was listed there. With `seen` overrides of this process the other one knew it.
    fn apply_passed_override(
        &mut self,
        id: &str,
        (out, seen): (bool, u64),
        calls: Vec<AdminCall>,
        driver: &mut dyn ConnectionDriver,
    ) {
        let applies = self.upgrade.overrides.receive(id, out, seen);
        self.adopt_exchanged_calls(id, calls, driver);
        if !applies {
            return log!("hand-apart", "runner={id:?} out={out} reason=\"taken out here meanwhile\"");
        }
        self.membership.ensure_known(id);
        if self.set_maintenance(id, out, driver).is_ok() {
            self.announce_if_unknown(id, driver);
            self.store_admin_override(id, None, driver);
        }
    }
}
