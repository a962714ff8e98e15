//! The request table's part in the exchange with the other dispatchers, which agree on admin overrides, on
//! this process run's boot number, and on this dispatcher's share of cold runners' slow-start budgets.
//!
//! It passes datagrams to [`Peers`] and carries out the resulting actions. [`Peers`] decides which messages
//! are trusted; a peer's admin override takes effect here as an operator's would.

use std::net::SocketAddr;

use topazsail::{Event, Listing, Micros};
use topazsail_peers::{Action, AdminCall, PeerEvent, PeerState, Peers};
use topazsail_recovery as recovery;
use topazsail_store::stored_types as store;

use super::RequestTable;
use crate::config::PeersConfiguration;
use crate::lifecycle::store_thread::LoadedStore;
use crate::net::connection::{ConnectionDriver, Timer};
use crate::net::log::log;

/// The exchange with the other dispatchers. It begins once the store has been read, with the boot number of
/// this process run, or once recovery goes on without a store.
pub struct PeerExchange {
    configuration: PeersConfiguration,
    name: String,
    seed: u64,
    peers: Option<Peers>,
    /// When the next round of probes is scheduled.
    round_at: Option<Micros>,
}

impl PeerExchange {
    /// An exchange that has not begun.
    pub fn new(configuration: PeersConfiguration, name: &str, seed: u64) -> PeerExchange {
        PeerExchange { configuration, name: name.to_owned(), seed, peers: None, round_at: None }
    }

    /// Number of peers that are alive.
    fn alive_count(&self) -> usize {
        let states = self.peers.iter().flat_map(|peers| peers.peer_states());
        states.filter(|(_, state, _)| *state == PeerState::Alive).count()
    }

    /// Alive and configured peers for an operator's `status`.
    pub fn status(&self) -> String {
        format!(" peers={}/{}", self.alive_count(), self.configuration.members.len())
    }

    /// Counters and gauges for an operator's `stats`.
    pub fn metrics(&self) -> [(&'static str, u64); 7] {
        let counters = self.peers.as_ref().map(|peers| peers.counters).unwrap_or_default();
        [
            ("peers", self.configuration.members.len() as u64),
            ("peers_alive", self.alive_count() as u64),
            ("peers_sent", counters.sent),
            ("peers_sent_bytes", counters.sent_bytes),
            ("peers_heard", counters.heard),
            ("peers_bad", counters.bad + counters.unlisted),
            ("peers_old", counters.old),
        ]
    }
}

/// The calls of a stored admin override, in the form that peers exchange.
fn exchanged(runner: &str, stored: &store::StoredOverride) -> topazsail_peers::AdminOverride {
    let call = |&store::StoredCall { author, number, stands }: &store::StoredCall| AdminCall {
        author,
        number,
        stands,
    };
    topazsail_peers::AdminOverride {
        runner: runner.to_owned(),
        calls: stored.calls.iter().map(call).collect(),
    }
}

impl RequestTable {
    /// The peers, once the exchange has begun.
    fn peers(&mut self) -> Option<&mut Peers> {
        self.peer_exchange.as_mut()?.peers.as_mut()
    }

    /// Begins the exchange with the other dispatchers, with the admin overrides that the previous process run
    /// has left. If it has begun already, passes on the boot number and the overrides of a store that opened
    /// late.
    pub(super) fn join_peers(
        &mut self,
        boot: Option<u64>,
        loaded: Option<&LoadedStore>,
        driver: &mut dyn ConnectionDriver,
    ) {
        let now = driver.now();
        let Some(peer_exchange) = &mut self.peer_exchange else { return };
        let stored_overrides = loaded.map(|loaded| loaded.admin_overrides.as_slice()).unwrap_or_default();
        if let Some(peers) = &mut peer_exchange.peers {
            // The store opened after the exchange had begun: the peers are notified of what it holds all the
            // same.
            peers.set_boot(boot.unwrap_or(0));
            // Calls made here or heard since are known to the peers' exchange, which has the last word.
            let in_force: Vec<(&str, Option<bool>)> = stored_overrides
                .iter()
                .map(|(runner, stored)| {
                    peers.restore(&exchanged(runner, stored));
                    (runner.as_str(), peers.overrides.is_out(runner))
                })
                .collect();
            for (runner, out) in in_force {
                if let Some(out) = out {
                    self.apply_peer_override(runner, out, driver);
                }
            }
            return;
        }
        let nonce =
            topazsail::hash(format!("{} {} {now}", peer_exchange.name, peer_exchange.seed).as_bytes()) as u32;
        let seed = peer_exchange.seed ^ u64::from(nonce);
        let process_run = (boot.unwrap_or(0), nonce);
        let mut peers = Peers::new(
            &peer_exchange.name,
            peer_exchange.configuration.members.clone(),
            process_run,
            seed,
            now,
        );
        peers.configure(self.dispatcher_count, self.overload_window);
        for (runner, stored) in stored_overrides {
            peers.restore(&exchanged(runner, stored));
        }
        peer_exchange.peers = Some(peers);
        self.run_peer_round(driver);
    }

    /// Passes on this process run's boot number, which may have reached the disk only now.
    pub(super) fn set_peer_boot(&mut self, boot: Option<u64>) {
        if let Some(peers) = self.peers() {
            peers.set_boot(boot.unwrap_or(0));
        }
    }

    /// The calls on a runner as peers exchange them; none if they do not.
    pub(super) fn exchanged_calls(&self, id: &str) -> Vec<AdminCall> {
        let peers = self.peer_exchange.as_ref().and_then(|peer_exchange| peer_exchange.peers.as_ref());
        peers.map(|peers| peers.overrides.calls(id)).unwrap_or_default()
    }

    /// Adopts the calls on a runner that the other process of an upgrade knows, and passes them to the peers.
    pub(super) fn adopt_exchanged_calls(
        &mut self,
        id: &str,
        calls: Vec<AdminCall>,
        driver: &mut dyn ConnectionDriver,
    ) {
        let entry = topazsail_peers::AdminOverride { runner: id.to_owned(), calls };
        let Some(peers) = self.peers() else { return };
        let actions = peers.adopt(entry, driver.now());
        self.apply_peer_actions(actions, driver);
    }

    /// Announces an operator's call made here to the peers.
    pub(super) fn announce_admin_override(&mut self, id: &str, driver: &mut dyn ConnectionDriver) {
        let out = self.membership.admin_override(id).0.is_some();
        let Some(peers) = self.peers() else { return };
        let actions = peers.set_override(id, out, driver.now());
        self.apply_peer_actions(actions, driver);
    }

    /// Announces the admin overrides in force here that the peers' exchange does not know: made while it had not
    /// begun, or without peers.
    pub(super) fn announce_unknown_overrides(&mut self, driver: &mut dyn ConnectionDriver) {
        for id in self.membership.overridden_ids() {
            if self.announce_if_unknown(&id, driver) {
                self.store_admin_override(&id, None, driver);
            }
        }
    }

    /// Announces the admin override of a runner as a call made here, if the peers' exchange does not know it.
    /// Returns whether it was announced.
    pub(super) fn announce_if_unknown(&mut self, id: &str, driver: &mut dyn ConnectionDriver) -> bool {
        let out = self.membership.admin_override(id).0.is_some();
        let Some(peers) = self.peers() else { return false };
        let is_unknown = peers.overrides.is_out(id).unwrap_or(false) != out;
        if is_unknown {
            self.announce_admin_override(id, driver);
        }
        is_unknown
    }

    /// Announces the stage of recovery to the peers.
    pub(super) fn announce_stage(&mut self) {
        let stage = self.persistence.as_ref().map(|persistence| persistence.stage());
        if let (Some(stage), Some(peers)) = (stage, self.peers()) {
            peers.set_stage(stage as u8);
        }
    }

    /// Runs a round of probes if one is due, and schedules the next.
    pub(super) fn run_peer_round(&mut self, driver: &mut dyn ConnectionDriver) {
        let Some(peer_exchange) = &mut self.peer_exchange else { return };
        let Some(peers) = &mut peer_exchange.peers else { return };
        let now = driver.now();
        let actions = peers.tick(now);
        let round_at = peers.next_tick();
        if peer_exchange.round_at != Some(round_at) {
            peer_exchange.round_at = Some(round_at);
            driver.set_timer(Timer::PeerRound, round_at);
        }
        // From this round on, answers to peers may promise that this dispatcher sends nothing to runners of
        // other owners: the shares must reflect that before any other decision.
        self.update_slow_start_shares(now);
        self.apply_peer_actions(actions, driver);
    }

    /// Passes changed settings for the sharing of slow-start budgets to the peers.
    pub(super) fn update_peer_settings(&mut self) {
        let (dispatcher_count, overload_window) = (self.dispatcher_count, self.overload_window);
        if let Some(peers) = self.peers() {
            peers.configure(dispatcher_count, overload_window);
        }
    }

    /// Passes this dispatcher's shares of cold runners' slow-start budgets to the routing policy.
    pub(super) fn update_slow_start_shares(&mut self, now: Micros) {
        if self.peers().is_none() {
            return;
        }
        let cold = self.membership.cold_runners(now);
        let Some(peers) = self.peers() else { return };
        let shares = peers.slow_start_shares(cold.iter().map(|id| &**id), now);
        if !cold.is_empty() {
            let entries = cold.into_iter().zip(shares).map(|(id, share)| (id, share.share, share.until));
            self.pending_events.push(Event::SlowStartShares(entries.collect()));
        }
    }

    /// Handles a received datagram.
    pub fn datagram(&mut self, from: SocketAddr, bytes: &[u8], driver: &mut dyn ConnectionDriver) {
        let now = driver.now();
        let Some(peers) = self.peers() else { return };
        let actions = peers.receive(now, from, bytes);
        self.apply_peer_actions(actions, driver);
    }

    /// Carries out the actions of the peers, and notifies recovery of how many agree.
    fn apply_peer_actions(&mut self, actions: Vec<Action>, driver: &mut dyn ConnectionDriver) {
        for action in actions {
            match action {
                Action::Send { to, bytes } => driver.send_datagram(to, &bytes),
                Action::PeerEvent(PeerEvent::StateChanged { name, state, boot }) => {
                    log!("peer", "name={name} life={} boot={boot}", state.code());
                }
                Action::PeerEvent(PeerEvent::BootTaken(boot)) => self.resolve_boot_conflict(boot),
                Action::PeerEvent(PeerEvent::AdminOverride { runner, out }) => {
                    self.apply_peer_override(&runner, out, driver);
                }
            }
        }
        let Some((all, agree)) = self.peers().map(|peers| peers.agreement()) else { return };
        self.handle_recovery_event(recovery::Event::PeerAgreement { all, agree }, driver);
    }

    /// Handles a boot number of this dispatcher that a peer knows and that is not below the current one: the
    /// disk was rolled back, or could not be written. This process run takes a number above it.
    fn resolve_boot_conflict(&mut self, boot: u64) {
        let Some(peers) = self.peers() else { return };
        if boot >= peers.boot() {
            log!("boot-taken", "heard={boot} ours={}", peers.boot());
            peers.set_boot(boot + 1);
            self.raise_boot_above(boot);
        }
    }

    /// Applies what the calls on a runner say together with those of a peer, as an operator's call would be.
    fn apply_peer_override(&mut self, id: &str, out: bool, driver: &mut dyn ConnectionDriver) {
        let now = driver.now();
        let is_out = self.membership.admin_override(id).0.is_some();
        if is_out != out {
            log!("hand-heard", "runner={id:?} out={out}");
            self.membership.ensure_known(id);
            _ = self.set_maintenance(id, out, driver);
        }
        self.pass_admin_override(id, out, driver);
        debug_assert!(self.membership.admin_override(id).0.is_some() == out, "at {now}");
        self.store_admin_override(id, None, driver);
    }

    /// Passes the state of all listed runners to the routing policy again, after admin overrides have been
    /// restored.
    pub(super) fn republish_members(&mut self, driver: &mut dyn ConnectionDriver) {
        let entries = self.membership.effective_entries(driver.now());
        if !entries.is_empty() {
            self.pending_events.push(Event::Roster(topazsail::Roster { listing: Listing::Local, entries }));
        }
    }
}
