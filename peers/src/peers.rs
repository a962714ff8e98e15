//! Probes, suspicion, numbers of lives, and the exchange of what differs.
//!
//! Each round some of the others are probed, in turn. Who does not answer is asked for through three others, as the
//! link may be cut and not the peer; then it is suspected, and later taken for gone, until it is heard again. Whatever
//! a peer says carries a short digest of what it has: where that differs, what is behind it is sent. It must never
//! believe an earlier life's words, and never take a suspected peer for one that does nothing.
//!
//! Source: SWIM (Das, Gupta, Motivala 2002) for probes on others' behalf and suspicion; digests first as in anti-entropy
//! by Demers et al. (1987). Not taken from SWIM: word of failures spread by gossip. Each judges by what it hears itself,
//! as here a false word of a failure would cost more than a late one.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use rand::SeedableRng;
use rand::seq::SliceRandom;
use rand_pcg::Pcg32;

use crate::Micros;
use crate::admin_overrides::{AdminOverrides, Version};
use crate::packet::{AdminOverride, Digest, MAX_PACKET_BYTES, Message, Packet, PacketError, open, seal};
use crate::slow_start::{SlowStartAllocator, SlowStartShare};

/// From one round of probes to the next, and how many are probed at once in a large fleet.
const ROUND_INTERVAL: Micros = 200_000;
const PEERS_PER_PROBE: usize = 8;
const MAX_PROBES_PER_ROUND: usize = 4;
/// An answer takes no longer; then others are asked, and then it is suspected.
const ANSWER_TIMEOUT: Micros = 300_000;
const INDIRECT_ANSWER_TIMEOUT: Micros = 600_000;
const INDIRECT_PROBES: usize = 3;
/// Suspected for so long without a word, a peer is taken for gone.
const GONE_TIMEOUT: Micros = 5_000_000;
/// What differs is sent to one peer at most so often, in so many datagrams.
const OVERRIDES_RESEND_INTERVAL: Micros = 200_000;
const MAX_OVERRIDE_PACKETS: usize = 4;
/// At the start nobody has been heard yet; who is not by then is not there.
const START_GRACE: Micros = 2_000_000;
/// Probes on others' behalf that may be under way.
const MAX_INDIRECT_PROBES: usize = 256;

/// Another dispatcher, as configured.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    pub name: String,
    pub address: SocketAddr,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerState {
    /// Never heard in this life of ours.
    Unknown,
    Alive,
    Suspected,
    Gone,
}

impl PeerState {
    pub fn code(self) -> &'static str {
        match self {
            PeerState::Unknown => "unknown",
            PeerState::Alive => "alive",
            PeerState::Suspected => "suspected",
            PeerState::Gone => "gone",
        }
    }
}

/// What is new.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PeerEvent {
    /// A peer's state has changed; with the number of its life.
    StateChanged { name: String, state: PeerState, boot: u64 },
    /// Somebody has heard of a life of ours with this number, which is not this one.
    BootTaken(u64),
    /// A newer word on a runner.
    AdminOverride(AdminOverride),
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    Send { to: SocketAddr, bytes: Vec<u8> },
    PeerEvent(PeerEvent),
}

/// Datagrams, by what became of them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PeerCounters {
    pub sent: u64,
    pub sent_bytes: u64,
    pub heard: u64,
    /// Garbage, too long, or of an unknown form.
    pub bad: u64,
    /// From an address that is not listed, or by a name that is not that address's.
    pub unlisted: u64,
    /// Of an earlier life.
    pub old: u64,
}

#[derive(Clone, Copy)]
struct Probe {
    number: u64,
    sent_at: Micros,
    /// Others have been asked.
    indirect_sent: bool,
}

struct Peer {
    member: Member,
    state: PeerState,
    /// The highest number of its lives, and which life that was.
    boot: u64,
    nonce: u32,
    last_heard: Micros,
    /// It has heard this life of ours.
    has_heard_us: bool,
    digest: Digest,
    probe: Option<Probe>,
    overrides_sent_at: Micros,
    /// The runner whose word was told last of many.
    last_sent_runner: String,
}

pub struct Peers {
    name: String,
    boot: u64,
    nonce: u32,
    stage: u8,
    /// By name, so that all have the same places.
    peers: Vec<Peer>,
    /// All names in order, ours among them: places in packets.
    names: Vec<String>,
    by_address: BTreeMap<SocketAddr, usize>,
    pub overrides: AdminOverrides,
    allocator: SlowStartAllocator,
    /// Whether cold runners are listed: promises are then asked for in time.
    has_cold_runners: bool,
    started_at: Micros,
    /// Who is to be probed next, in this order.
    probe_order: Vec<usize>,
    last_number: u64,
    next_round: Micros,
    /// Probes that were made for others: their number here, who asked, their number there.
    indirect_probes: BTreeMap<u64, (usize, u64, usize)>,
    random: Pcg32,
    pub counters: PeerCounters,
    actions: Vec<Action>,
}

impl Peers {
    /// `boot` is this life's number, 0 where it has none yet; `nonce` tells it from others of that number.
    pub fn new(name: &str, members: Vec<Member>, (boot, nonce): (u64, u32), seed: u64, now: Micros) -> Peers {
        let mut members = members;
        members.sort_by(|a, b| a.name.cmp(&b.name));
        let mut names: Vec<String> = members.iter().map(|member| member.name.clone()).collect();
        names.push(name.to_owned());
        names.sort();
        let by_address = members.iter().enumerate().map(|(index, member)| (member.address, index)).collect();
        let peer = |member| Peer {
            member,
            state: PeerState::Unknown,
            boot: 0,
            nonce: 0,
            last_heard: now,
            has_heard_us: false,
            digest: Digest::default(),
            probe: None,
            overrides_sent_at: Micros::MIN,
            last_sent_runner: String::new(),
        };
        Peers {
            name: name.to_owned(),
            boot,
            nonce,
            stage: 0,
            peers: members.into_iter().map(peer).collect(),
            allocator: SlowStartAllocator::new(&names, name, now),
            has_cold_runners: false,
            started_at: now,
            names,
            by_address,
            overrides: AdminOverrides::default(),
            probe_order: Vec::new(),
            last_number: u64::from(nonce) << 20,
            next_round: now,
            indirect_probes: BTreeMap::new(),
            random: Pcg32::seed_from_u64(seed),
            counters: PeerCounters::default(),
            actions: Vec::new(),
        }
    }

    pub fn boot(&self) -> u64 {
        self.boot
    }

    /// This life has this number from now on.
    pub fn set_boot(&mut self, boot: u64) {
        self.boot = self.boot.max(boot);
    }

    pub fn set_stage(&mut self, stage: u8) {
        self.stage = stage;
    }

    /// When to call [`Peers::tick`] next.
    pub fn next_tick(&self) -> Micros {
        self.next_round
    }

    /// All others, and how many of them have heard this life of ours and agree on who is out by hand.
    pub fn agreement(&self) -> (usize, usize) {
        let ours = self.overrides.digest();
        let agrees = |peer: &&Peer| {
            peer.state == PeerState::Alive && peer.has_heard_us && peer.digest.overrides == ours
        };
        (self.peers.len(), self.peers.iter().filter(agrees).count())
    }

    pub fn peer_states(&self) -> impl Iterator<Item = (&str, PeerState, u64)> {
        self.peers.iter().map(|peer| (peer.member.name.as_str(), peer.state, peer.boot))
    }

    /// A call on a runner that was made here.
    pub fn set_override(
        &mut self,
        runner: &str,
        out_since: Option<Micros>,
        was_out: Option<(Micros, Micros)>,
        now: Micros,
    ) -> (Version, Vec<Action>) {
        let version = self.overrides.next_version(runner, self.author());
        let entry = AdminOverride { runner: runner.to_owned(), version, out_since, was_out };
        self.overrides.merge(entry.clone());
        // At once to all who are there: rounds are for who was not.
        for index in 0..self.peers.len() {
            if matches!(self.peers[index].state, PeerState::Alive | PeerState::Suspected) {
                self.peers[index].overrides_sent_at = now;
                self.send(index, Message::AdminOverrides(vec![entry.clone()]));
            }
        }
        (version, std::mem::take(&mut self.actions))
    }

    /// Marks calls that were made in this life.
    fn author(&self) -> u32 {
        crc32fast::hash(format!("{} {}", self.name, self.nonce).as_bytes())
    }

    /// A word that an earlier life has left, perhaps on a disk that opens late. Gives it back where it holds from now
    /// on: not where a newer one is known, nor where a call was made here since, which then counts above it.
    pub fn restore(&mut self, entry: AdminOverride) -> Option<AdminOverride> {
        let own = self.author();
        let known = self.overrides.get(&entry.runner).filter(|known| known.version.author == own).cloned();
        if !self.overrides.merge(entry.clone()) {
            return None;
        }
        let Some(own_entry) = known else { return Some(entry) };
        let version = self.overrides.next_version(&own_entry.runner, own);
        self.overrides.merge(AdminOverride { version, ..own_entry });
        None
    }

    /// What the settings say of the account on cold runners: how many dispatchers share it, over which span.
    pub fn configure(&mut self, dispatchers: usize, overload_window: Micros) {
        self.allocator.configure(dispatchers, overload_window);
    }

    /// Which portions of these cold runners' budgets are this dispatcher's own, in the same order: to be asked for
    /// in each round, and to hold from when they are told.
    pub fn slow_start_shares<'a>(
        &mut self,
        cold: impl Iterator<Item = &'a str>,
        now: Micros,
    ) -> Vec<SlowStartShare> {
        let shares = self.allocator.shares(cold, now);
        self.has_cold_runners = !shares.is_empty();
        shares
    }

    /// Whether fewer than half of the others are heard.
    fn is_isolated(&self, now: Micros) -> bool {
        let starting = now < self.started_at + START_GRACE;
        let heard =
            |peer: &&Peer| peer.state == PeerState::Alive || starting && peer.state == PeerState::Unknown;
        self.peers.iter().filter(heard).count() * 2 < self.peers.len()
    }

    fn packet(&self, index: usize, message: Message) -> Packet {
        let digest = Digest { stage: self.stage, overrides: self.overrides.digest() };
        let peer = &self.peers[index];
        let known_receiver = (peer.boot, peer.nonce);
        Packet {
            from: self.name.clone(),
            boot: self.boot,
            nonce: self.nonce,
            known_receiver,
            digest,
            message,
        }
    }

    fn send(&mut self, index: usize, message: Message) {
        let bytes = seal(&self.packet(index, message));
        self.counters.sent += 1;
        self.counters.sent_bytes += bytes.len() as u64;
        self.actions.push(Action::Send { to: self.peers[index].member.address, bytes });
    }

    fn name_index(&self, index: usize) -> u16 {
        let name = &self.peers[index].member.name;
        self.names.binary_search(name).unwrap_or(0) as u16
    }

    fn peer_at(&self, name_index: u16) -> Option<usize> {
        let name = self.names.get(usize::from(name_index))?;
        self.peers.binary_search_by(|peer| peer.member.name.cmp(name)).ok()
    }

    /// A round, where it is due.
    pub fn tick(&mut self, now: Micros) -> Vec<Action> {
        if now < self.next_round {
            return Vec::new();
        }
        // Rounds that were missed are not made up for: who stood still has nothing to say of others' silence.
        let missed = now > self.next_round + 2 * ROUND_INTERVAL;
        self.next_round = now + ROUND_INTERVAL;
        for index in 0..self.peers.len() {
            if missed {
                self.peers[index].probe = None;
            }
            self.check_probe(index, now);
        }
        let isolated = self.is_isolated(now);
        self.allocator.start_round(isolated, now);
        let mut at_once = self.peers.len().div_ceil(PEERS_PER_PROBE).min(MAX_PROBES_PER_ROUND);
        if self.has_cold_runners {
            let rounds = (self.allocator.renewal_interval() / ROUND_INTERVAL).max(1) as usize;
            at_once = at_once.max(self.peers.len().div_ceil(rounds));
        }
        for _ in 0..at_once {
            if self.probe_order.is_empty() {
                self.probe_order = (0..self.peers.len()).collect();
                self.probe_order.shuffle(&mut self.random);
            }
            if let Some(index) = self.probe_order.pop() {
                self.probe(index, now);
            }
        }
        // At the start all are asked, not one after the other.
        for index in 0..self.peers.len() {
            if self.peers[index].state == PeerState::Unknown && self.peers[index].probe.is_none() {
                self.probe(index, now);
            }
        }
        std::mem::take(&mut self.actions)
    }

    fn probe(&mut self, index: usize, now: Micros) {
        if self.peers[index].probe.is_some() {
            return;
        }
        self.last_number += 1;
        let number = self.last_number;
        self.peers[index].probe = Some(Probe { number, sent_at: now, indirect_sent: false });
        self.send(index, Message::Probe { number, on_behalf_of: None });
    }

    /// What a probe without an answer says by now.
    fn check_probe(&mut self, index: usize, now: Micros) {
        let peer = &self.peers[index];
        if peer.state == PeerState::Suspected && now >= peer.last_heard + GONE_TIMEOUT {
            self.set_state(index, PeerState::Gone);
        }
        let Some(probe) = self.peers[index].probe else { return };
        let waited = now - probe.sent_at;
        if waited >= ANSWER_TIMEOUT && !probe.indirect_sent {
            self.peers[index].probe = Some(Probe { indirect_sent: true, ..probe });
            let mut others: Vec<usize> = (0..self.peers.len())
                .filter(|other| *other != index && self.peers[*other].state == PeerState::Alive)
                .collect();
            let count = INDIRECT_PROBES.min(others.len());
            let (target, number) = (self.name_index(index), probe.number);
            let (chosen, _) = others.partial_shuffle(&mut self.random, count);
            for other in chosen.iter().copied() {
                self.send(other, Message::ProbeRequest { target, number });
            }
        }
        if waited >= ANSWER_TIMEOUT + INDIRECT_ANSWER_TIMEOUT {
            self.peers[index].probe = None;
            // Heard meanwhile: it is there, whatever becomes of what is sent to it.
            if self.peers[index].last_heard < probe.sent_at && self.peers[index].state == PeerState::Alive {
                self.set_state(index, PeerState::Suspected);
            }
        }
    }

    fn set_state(&mut self, index: usize, state: PeerState) {
        let peer = &mut self.peers[index];
        if std::mem::replace(&mut peer.state, state) != state {
            let event = PeerEvent::StateChanged { name: peer.member.name.clone(), state, boot: peer.boot };
            self.actions.push(Action::PeerEvent(event));
        }
    }

    /// A datagram has come.
    pub fn receive(&mut self, now: Micros, from: SocketAddr, bytes: &[u8]) -> Vec<Action> {
        let Some(index) = self.by_address.get(&from).copied() else {
            self.counters.unlisted += 1;
            return Vec::new();
        };
        let packet = match open(bytes) {
            Ok(packet) => packet,
            Err(PacketError::TooLong | PacketError::Malformed | PacketError::UnknownFormat) => {
                self.counters.bad += 1;
                return Vec::new();
            }
        };
        if packet.from != self.peers[index].member.name {
            self.counters.unlisted += 1;
            return Vec::new();
        }
        self.counters.heard += 1;
        self.handle_packet(index, packet, now);
        std::mem::take(&mut self.actions)
    }

    fn handle_packet(&mut self, index: usize, packet: Packet, now: Micros) {
        let peer = &mut self.peers[index];
        let theirs = (packet.boot, packet.nonce);
        let known = (peer.boot, peer.nonce);
        let newer = packet.boot > peer.boot || known == (0, 0);
        if !newer && theirs != known {
            // Of an earlier life, or of another one with a number that is taken: it is told so, and not believed.
            self.counters.old += 1;
            if let Message::Probe { number, on_behalf_of } = packet.message {
                self.send(index, Message::Answer { number, on_behalf_of, promise: None });
            }
            return;
        }
        if newer && theirs != known {
            (peer.boot, peer.nonce, peer.has_heard_us) = (packet.boot, packet.nonce, false);
            // Told anew, also where it was alive before: it is another life.
            peer.state = PeerState::Unknown;
        }
        peer.last_heard = now;
        peer.digest = packet.digest;
        let (our_boot, our_nonce) = packet.known_receiver;
        if our_boot > self.boot || our_boot == self.boot && our_boot > 0 && our_nonce != self.nonce {
            self.actions.push(Action::PeerEvent(PeerEvent::BootTaken(our_boot)));
        }
        peer.has_heard_us |= (our_boot > 0 || self.boot == 0) && our_nonce == self.nonce;
        self.set_state(index, PeerState::Alive);
        match packet.message {
            Message::Probe { number, on_behalf_of } => {
                let isolated = self.is_isolated(now);
                let promise = on_behalf_of.is_none() && self.allocator.try_promise(isolated, now);
                let promise = Some(self.allocator.dispatchers_hash).filter(|_| promise);
                self.send(index, Message::Answer { number, on_behalf_of, promise });
            }
            Message::Answer { number, on_behalf_of: None, promise } => {
                if let Some(probe) = self.peers[index].probe.take_if(|probe| probe.number == number)
                    && promise == Some(self.allocator.dispatchers_hash)
                {
                    self.allocator.record_promise(usize::from(self.name_index(index)), probe.sent_at);
                }
            }
            Message::Answer { number, on_behalf_of: Some(_), .. } => {
                if let Some((asker, theirs, target)) = self.indirect_probes.remove(&number)
                    && target == index
                {
                    let (target, boot) = (self.name_index(index), self.peers[index].boot);
                    self.send(asker, Message::IndirectAnswer { target, number: theirs, boot });
                }
            }
            Message::ProbeRequest { target, number } => self.probe_for(index, target, number),
            Message::IndirectAnswer { target, number, boot } => {
                self.handle_indirect_answer(target, number, boot, now)
            }
            Message::AdminOverrides(entries) => {
                for entry in entries {
                    if self.overrides.merge(entry.clone()) {
                        self.actions.push(Action::PeerEvent(PeerEvent::AdminOverride(entry)));
                    }
                }
            }
        }
        self.send_differing_overrides(index, now);
    }

    /// Probes somebody for `asker`, who cannot reach it.
    fn probe_for(&mut self, asker: usize, target: u16, theirs: u64) {
        let Some(target) = self.peer_at(target).filter(|target| *target != asker) else { return };
        if self.indirect_probes.len() >= MAX_INDIRECT_PROBES {
            self.indirect_probes.pop_first();
        }
        self.last_number += 1;
        self.indirect_probes.insert(self.last_number, (asker, theirs, target));
        let on_behalf_of = Some((self.name_index(asker), theirs));
        let number = self.last_number;
        self.send(target, Message::Probe { number, on_behalf_of });
    }

    /// A peer whose link to us is cut has answered somebody else.
    fn handle_indirect_answer(&mut self, target: u16, number: u64, boot: u64, now: Micros) {
        let Some(index) = self.peer_at(target) else { return };
        let peer = &mut self.peers[index];
        if peer.probe.is_some_and(|probe| probe.number == number) && boot >= peer.boot {
            peer.probe = None;
            peer.last_heard = now;
            self.set_state(index, PeerState::Alive);
        }
    }

    /// Sends a peer what it has otherwise, a few datagrams at a time.
    fn send_differing_overrides(&mut self, index: usize, now: Micros) {
        let theirs = self.peers[index].digest.overrides;
        if theirs == self.overrides.digest()
            || now < self.peers[index].overrides_sent_at + OVERRIDES_RESEND_INTERVAL
        {
            return;
        }
        self.peers[index].overrides_sent_at = now;
        let mut entries: Vec<AdminOverride> = self.overrides.differing(&theirs).cloned().collect();
        // Where there are too many, on from where the last time ended.
        let start = entries.partition_point(|entry| entry.runner <= self.peers[index].last_sent_runner);
        entries.rotate_left(start);
        let empty_length = seal(&self.packet(index, Message::AdminOverrides(Vec::new()))).len();
        let mut entries = entries.into_iter().peekable();
        for _ in 0..MAX_OVERRIDE_PACKETS {
            let (mut batch, mut length) = (Vec::new(), empty_length + 8);
            while let Some(entry) = entries.next_if(|entry| {
                // Its runner's id, and the most that its numbers take.
                length += entry.runner.len() + 64;
                length <= MAX_PACKET_BYTES
            }) {
                self.peers[index].last_sent_runner.clone_from(&entry.runner);
                batch.push(entry);
            }
            if batch.is_empty() {
                return;
            }
            self.send(index, Message::AdminOverrides(batch));
        }
    }
}

#[cfg(test)]
mod tests;
