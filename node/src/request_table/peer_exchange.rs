//! What the desk does with the other dispatchers: who is out by hand is agreed with them, this life's number, and which
//! portions of cold runners' budgets are its own.
//!
//! It turns datagrams into calls of the core and what that says into calls of its own. What is believed is the core's
//! to say; a peer's word on a runner holds here as an operator's would.

use std::net::SocketAddr;

use topazsail::{Event, Listing, Micros};
use topazsail_peers::{Action, PeerEvent, PeerState, Peers, Version};
use topazsail_recovery as recovery;
use topazsail_store::stored_types as store;

use super::RequestTable;
use crate::config::PeersConfiguration;
use crate::lifecycle::store_thread::LoadedStore;
use crate::net::connection::{ConnectionDriver, Timer};
use crate::net::log::log;

/// The other dispatchers: from the start as configured, and once this life has a number, or none is to be had, as met.
pub struct PeerExchange {
    at: PeersConfiguration,
    name: String,
    seed: u64,
    core: Option<Peers>,
    /// Whether a round is asked for already.
    due: Option<Micros>,
}

impl PeerExchange {
    pub fn new(at: PeersConfiguration, name: &str, seed: u64) -> PeerExchange {
        PeerExchange { at, name: name.to_owned(), seed, core: None, due: None }
    }

    fn alive(&self) -> usize {
        let lives = self.core.iter().flat_map(|core| core.lives());
        lives.filter(|(_, life, _)| *life == PeerState::Alive).count()
    }

    pub fn status(&self) -> String {
        format!(" peers={}/{}", self.alive(), self.at.members.len())
    }

    pub fn metrics(&self) -> [(&'static str, u64); 7] {
        let counts = self.core.as_ref().map(|core| core.counts).unwrap_or_default();
        [
            ("peers", self.at.members.len() as u64),
            ("peers_alive", self.alive() as u64),
            ("peers_sent", counts.sent),
            ("peers_sent_bytes", counts.sent_bytes),
            ("peers_heard", counts.heard),
            ("peers_bad", counts.bad + counts.strangers),
            ("peers_old", counts.old),
        ]
    }

    /// How new the word on a runner is, where peers are set.
    fn version(&self, id: &str) -> Option<Version> {
        self.core.as_ref()?.hands.get(id).map(|hand| hand.version)
    }
}

impl RequestTable {
    /// The others, once they have been met.
    fn peers(&mut self) -> Option<&mut Peers> {
        self.peer_exchange.as_mut()?.core.as_mut()
    }

    /// The others are met in this life, with what the last one knew of runners out by hand.
    pub(super) fn meet(
        &mut self,
        boot: Option<u64>,
        left: Option<&LoadedStore>,
        driver: &mut dyn ConnectionDriver,
    ) {
        let now = driver.now();
        let Some(peer_exchange) = &mut self.peer_exchange else { return };
        let left = left.map(|left| left.hands.as_slice()).unwrap_or_default();
        let of_left = |(runner, hand): &(String, store::StoredOverride)| topazsail_peers::AdminOverride {
            runner: runner.clone(),
            // One that was said before there were peers is older than whatever they say.
            version: Version { count: hand.count.max(1), author: hand.author },
            out_since: hand.out_since,
            was_out: hand.was_out,
        };
        if let Some(core) = &mut peer_exchange.core {
            // The disk opens late: the others hear of what it holds all the same.
            core.numbered(boot.unwrap_or(0));
            let holds: Vec<_> = left.iter().filter_map(|left| core.remember(of_left(left))).collect();
            for hand in holds {
                self.hand_heard(&hand.runner, hand.out_since.is_some(), driver);
            }
            return;
        }
        let nonce =
            topazsail::hash(format!("{} {} {now}", peer_exchange.name, peer_exchange.seed).as_bytes()) as u32;
        let seed = peer_exchange.seed ^ u64::from(nonce);
        let life = (boot.unwrap_or(0), nonce);
        let mut core = Peers::new(&peer_exchange.name, peer_exchange.at.members.clone(), life, seed, now);
        core.settings(self.dispatchers, self.tip_after);
        for left in left {
            core.remember(of_left(left));
        }
        peer_exchange.core = Some(core);
        self.round(driver);
    }

    /// The disk has this life's number, perhaps only now.
    pub(super) fn meet_numbered(&mut self, boot: Option<u64>) {
        if let Some(core) = self.peers() {
            core.numbered(boot.unwrap_or(0));
        }
    }

    /// How new the word on a runner is: its count and its author.
    pub(super) fn hand_version(&self, id: &str) -> (u64, u32) {
        let version = self.peer_exchange.as_ref().and_then(|peer_exchange| peer_exchange.version(id));
        version.map_or((0, 0), |version| (version.count, version.author))
    }

    /// A call that was made here is told to the others.
    pub(super) fn tell_hand(&mut self, id: &str, driver: &mut dyn ConnectionDriver) {
        let (out_since, was_out) = self.members.admin_override(id);
        let Some(core) = self.peers() else { return };
        let (_, actions) = core.call(id, out_since, was_out, driver.now());
        self.act_on_peers(actions, driver);
    }

    pub(super) fn stage_for_peers(&mut self) {
        let stage = self.persistence.as_ref().map(|persistence| persistence.stage());
        if let (Some(stage), Some(core)) = (stage, self.peers()) {
            core.stage(stage as u8);
        }
    }

    /// A round of probes, where one is due.
    pub(super) fn round(&mut self, driver: &mut dyn ConnectionDriver) {
        let Some(peer_exchange) = &mut self.peer_exchange else { return };
        let Some(core) = &mut peer_exchange.core else { return };
        let now = driver.now();
        let actions = core.tick(now);
        let due = core.due();
        if peer_exchange.due != Some(due) {
            peer_exchange.due = Some(due);
            driver.set_timer(Timer::Peers, due);
        }
        // Before anything else is decided: a promise may begin in this round.
        self.portions(now);
        self.act_on_peers(actions, driver);
    }

    /// The settings of the account on cold runners have been read again.
    pub(super) fn account(&mut self) {
        let (dispatchers, tip_after) = (self.dispatchers, self.tip_after);
        if let Some(core) = self.peers() {
            core.settings(dispatchers, tip_after);
        }
    }

    /// Which portions of cold runners' budgets are this dispatcher's own.
    pub(super) fn portions(&mut self, now: Micros) {
        if self.peers().is_none() {
            return;
        }
        let cold = self.members.cold_runners(now);
        let Some(core) = self.peers() else { return };
        let portions = core.portions(cold.iter().map(|id| &**id), now);
        if !cold.is_empty() {
            let told = cold.into_iter().zip(portions).map(|(id, p)| (id, p.share, p.until));
            self.happened.push(Event::SlowStartShares(told.collect()));
        }
    }

    /// A datagram has come.
    pub fn datagram(&mut self, from: SocketAddr, bytes: &[u8], driver: &mut dyn ConnectionDriver) {
        let now = driver.now();
        let Some(core) = self.peers() else { return };
        let actions = core.heard(now, from, bytes);
        self.act_on_peers(actions, driver);
    }

    fn act_on_peers(&mut self, actions: Vec<Action>, driver: &mut dyn ConnectionDriver) {
        for action in actions {
            match action {
                Action::Send { to, bytes } => driver.datagram(to, &bytes),
                Action::PeerEvent(PeerEvent::Peer { name, life, boot }) => {
                    log!("peer", "name={name} life={} boot={boot}", life.code());
                }
                Action::PeerEvent(PeerEvent::Numbered(heard)) => self.number_taken(heard),
                Action::PeerEvent(PeerEvent::AdminOverride(hand)) => {
                    self.hand_heard(&hand.runner, hand.out_since.is_some(), driver);
                }
            }
        }
        let Some((all, agree)) = self.peers().map(|core| core.agree()) else { return };
        self.heard_of_peers(recovery::Event::Agree { all, agree }, driver);
    }

    /// Others have heard of a later life of this dispatcher than its own disk has: it was rolled back, or could not be
    /// written. This life gets a number above that.
    fn number_taken(&mut self, heard: u64) {
        let Some(core) = self.peers() else { return };
        if heard >= core.boot() {
            log!("boot-taken", "heard={heard} ours={}", core.boot());
            core.numbered(heard + 1);
            self.keep_above(heard);
        }
    }

    /// A peer has a newer word on a runner: it holds here as a call would. Its times are of another clock.
    fn hand_heard(&mut self, id: &str, out: bool, driver: &mut dyn ConnectionDriver) {
        let now = driver.now();
        let is_out = self.members.admin_override(id).0.is_some();
        if is_out != out {
            log!("hand-heard", "runner={id:?} out={out}");
            if !self.members.is_known(id) {
                self.members.inherit(id, None, None);
            }
            _ = self.maintain(id, out, driver);
        }
        debug_assert!(self.members.admin_override(id).0.is_some() == out, "at {now}");
        self.keep_hand(id, None, driver);
    }

    /// What holds of all runners is told anew, after bans have been learnt of.
    pub(super) fn stand_anew(&mut self, driver: &mut dyn ConnectionDriver) {
        let entries = self.members.effective_entries(driver.now());
        if !entries.is_empty() {
            self.happened.push(Event::Roster(topazsail::Roster { listing: Listing::Own, entries }));
        }
    }
}
