//! The request table's part in an upgrade: what it takes over from the process before, and what the two
//! processes tell each other while both serve.
//!
//! To clients, operators and runners the two are one dispatcher. Whatever one of them learns of the runners
//! and of invocations, it passes to the other.

use topazsail::{Event, Listing, Micros, Roster as RosterUpdate, SlowStartUsage};
use topazsail_peers::AdminCall;

use super::RequestTable;
use super::overlap_calls::OverlapCalls;
use crate::ingress::clients::ReceivedCallback;
use crate::lifecycle::handover::{HandoverMessage, HandoverState};
use crate::net::connection::{ConnectionDriver, ConnectionHandler, ConnectionId, Timer};
use crate::net::log::log;
use crate::upstream::roster::{PassedContact, RosterEvent, RosterSnapshot};

/// Which role the other process of this dispatcher has while both serve during an upgrade.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Overlap {
    /// The other process takes over from this one.
    Successor,
    /// The other process is about to end; this one takes over from it.
    Predecessor,
}

/// The state of an upgrade.
#[derive(Default)]
pub(super) struct Upgrade {
    /// Role of the other process, while both serve.
    pub(super) overlap: Option<Overlap>,
    /// Connections that the predecessor had open when it handed over.
    pub(super) predecessor_connections: usize,
    /// The order of the admin overrides of both processes.
    calls: OverlapCalls,
    /// Until when both processes have heard all that discovery announced.
    shared_certainty: Micros,
    /// The successor has ended and this process serves on; reset when the event loop has noticed.
    is_service_resumed: bool,
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

    /// Begins the time in which both processes serve.
    fn begin_overlap(&mut self, overlap: Overlap) {
        self.upgrade.overlap = Some(overlap);
        self.upgrade.calls = OverlapCalls::default();
        self.upgrade.shared_certainty = self.roster.certain_until();
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
        self.handover_peer.received(connection, &mut early_bytes, driver);
        self.begin_overlap(Overlap::Predecessor);
        self.apply_resource_limits();
    }

    /// Whether this process may hand over to a successor.
    pub fn can_hand_over(&self) -> bool {
        self.handover_peer.connection().is_none() && self.shutdown_since.is_none()
    }

    /// Hands over to a successor: sends it this process's state and leaves new connections to it.
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
            slow_start_usage: slow_start_usage.into_iter().map(|(id, work)| (id.to_string(), work)).collect(),
        };
        log!("handing-over", "open={} out={}", self.invocations.len(), state.out.len());
        self.release_store(true);
        self.handover_peer.attach(connection);
        self.handover_peer.send(&state, driver);
        self.begin_overlap(Overlap::Successor);
        self.clients.set_handed_over(true);
        self.apply_resource_limits();
        self.pause_cold_runners(Micros::MAX, driver);
    }

    /// Whether this process accepts new connections, and not its successor.
    pub fn accepts_connections(&self) -> bool {
        self.upgrade.overlap != Some(Overlap::Successor)
    }

    /// Whether this process has taken up its service again since the last call, as its successor has ended.
    pub fn take_service_resumed(&mut self) -> bool {
        std::mem::take(&mut self.upgrade.is_service_resumed)
    }

    /// Keeps cold runners out of use until `until`.
    pub(super) fn pause_cold_runners(&mut self, until: Micros, driver: &mut dyn ConnectionDriver) {
        let entries = self.membership.pause_cold_runners(until, Micros::MAX, driver.now());
        self.pending_events.push(Event::Roster(RosterUpdate { listing: Listing::Local, entries }));
    }

    /// Handles the end of the other process. If it was a successor and this process has not been asked to
    /// shut down, this one resumes service; the successor's slow-start usage still counts, so cold runners
    /// are paused.
    pub(super) fn end_overlap(&mut self, driver: &mut dyn ConnectionDriver) {
        let previous = self.upgrade.overlap.take();
        self.apply_resource_limits();
        if previous == Some(Overlap::Successor) {
            self.upgrade.is_service_resumed = self.shutdown_since.is_none();
            self.release_store(self.shutdown_since.is_some());
            self.clients.set_handed_over(self.shutdown_since.is_some());
            self.pause_cold_runners(driver.now() + self.overload_window, driver);
            driver.set_timer(Timer::ColdRunnerPause, driver.now() + self.overload_window);
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
            match message {
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
        if self.upgrade.overlap.is_some()
            && let Some(passed) = self.roster.to_passed(event)
        {
            self.handover_peer.send(&HandoverMessage::Roster(passed), driver);
        }
    }

    /// Tells the other process of an upgrade how far this one has heard all that discovery announced, once all
    /// lists that arrived until then have been passed.
    pub(super) fn pass_roster_contact(&mut self, driver: &mut dyn ConnectionDriver) {
        let contact = self.roster.contact();
        if self.upgrade.overlap.is_some() && contact.certain_until > self.upgrade.shared_certainty {
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
        if self.upgrade.overlap.is_some() {
            let message = self.upgrade.calls.send(id, out, self.exchanged_calls(id));
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
        let applies = self.upgrade.calls.receive(id, out, seen);
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
