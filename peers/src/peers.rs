//! Probing and suspicion of peers, boot numbers, and the exchange of state that differs.
//!
//! In each round some of the peers are probed, in random order. A peer that does not answer is probed through
//! three others, as the link may be cut and not the peer dead. Without an answer it becomes suspected, and
//! later gone, until a packet from it arrives. Every packet carries a short digest of the sender's state;
//! where digests differ, the entries behind them are sent. Packets of an earlier process run are never
//! believed, and a suspected peer is never assumed to be idle.
//!
//! Sources: SWIM (Das, Gupta, Motivala 2002) for indirect probes and suspicion; digests first as in
//! anti-entropy by Demers et al. (1987). Unlike in SWIM, failures are not spread by gossip: each dispatcher
//! judges by the packets that it receives itself, as here a false report of a failure would cost more than a
//! late one.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use rand::SeedableRng;
use rand::seq::SliceRandom;
use rand_pcg::Pcg32;

use crate::Micros;
use crate::admin_overrides::{AdminCall, AdminOverrides};
use crate::packet::{AdminOverride, Digest, MAX_PACKET_BYTES, Message, Packet, PacketError, decode, encode};
use crate::slow_start::{SlowStartAllocator, SlowStartShare};

/// Time from one round of probes to the next.
const ROUND_INTERVAL: Micros = 200_000;
/// One peer in this many is probed per round.
const PEERS_PER_PROBE: usize = 8;
/// Most peers probed per round, unless promises have to be renewed more often.
const MAX_PROBES_PER_ROUND: usize = 4;
/// Time within which a probe must be answered; after it other peers are asked to probe.
const ANSWER_TIMEOUT: Micros = 300_000;
/// Time from then on within which an indirect answer must arrive; after it the peer is suspected.
const INDIRECT_ANSWER_TIMEOUT: Micros = 600_000;
/// Number of peers that are asked to probe a peer that does not answer.
const INDIRECT_PROBES: usize = 3;
/// A suspected peer counts as gone this long after its last packet.
const GONE_TIMEOUT: Micros = 5_000_000;
/// Shortest time between two batches of entries to the same peer.
const OVERRIDES_RESEND_INTERVAL: Micros = 200_000;
/// Most datagrams with entries that are sent to a peer at once.
const MAX_OVERRIDE_PACKETS: usize = 4;
/// Most calls in one entry; the calls of more process runs are sent as several entries.
const MAX_CALLS_PER_ENTRY: usize = 16;
/// Longest encoding of a call: two numbers and a flag.
const MAX_CALL_BYTES: usize = 21;
/// Longest encoding of the length of a list or of an id.
const MAX_LENGTH_BYTES: usize = 3;
/// Longest encoding of all that a packet holds besides the sender's name and the entries.
const PACKET_OVERHEAD_BYTES: usize = 128;
/// During this time after the start, a peer that has not been heard yet does not count as unreachable.
const START_GRACE: Micros = 2_000_000;
/// Most outstanding probes on behalf of other dispatchers.
const MAX_INDIRECT_PROBES: usize = 256;

/// Another dispatcher, as configured.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Its unique name.
    pub name: String,
    /// The address that it sends datagrams from and receives them at.
    pub address: SocketAddr,
}

/// What this process run knows about a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerState {
    /// No packet has been received in this process run.
    Unknown,
    /// It answers probes, or packets from it arrive.
    Alive,
    /// It has not answered a probe, neither directly nor through others.
    Suspected,
    /// It has been suspected, and silent for `GONE_TIMEOUT`.
    Gone,
}

impl PeerState {
    /// Name of the state in log lines.
    pub fn code(self) -> &'static str {
        match self {
            PeerState::Unknown => "unknown",
            PeerState::Alive => "alive",
            PeerState::Suspected => "suspected",
            PeerState::Gone => "gone",
        }
    }
}

/// A change that the caller has to act on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PeerEvent {
    /// A peer's state has changed; `boot` is the boot number of its newest process run.
    StateChanged { name: String, state: PeerState, boot: u64 },
    /// A peer knows another process run of this dispatcher with this boot number, which is at least as high
    /// as ours.
    BootTaken(u64),
    /// Calls on a runner have been received that were not known; with them it is out of service or not.
    AdminOverride { runner: String, out: bool },
}

/// What the caller has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a datagram.
    Send { to: SocketAddr, bytes: Vec<u8> },
    /// Handle an event.
    PeerEvent(PeerEvent),
}

/// Counts of datagrams.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PeerCounters {
    /// Datagrams sent.
    pub sent: u64,
    /// Bytes sent.
    pub sent_bytes: u64,
    /// Valid datagrams received from peers.
    pub heard: u64,
    /// Malformed, too long, or of an unknown format.
    pub bad: u64,
    /// From an unlisted address, or with a name that does not belong to the address.
    pub unlisted: u64,
    /// From an earlier process run of the peer.
    pub old: u64,
}

/// An outstanding probe.
#[derive(Clone, Copy)]
struct Probe {
    /// The number that the answer must repeat.
    number: u64,
    sent_at: Micros,
    /// Whether other peers have been asked to probe.
    indirect_sent: bool,
}

/// Another dispatcher and what is known about it.
struct Peer {
    member: Member,
    state: PeerState,
    /// The highest boot number seen, and the nonce of that process run.
    boot: u64,
    nonce: u32,
    /// When the last packet arrived from it, or an indirect answer.
    last_heard: Micros,
    /// Whether it has seen this process run.
    has_heard_us: bool,
    /// Its latest digest.
    digest: Digest,
    /// The probe that it has not answered yet.
    probe: Option<Probe>,
    /// When entries were last sent to it.
    overrides_sent_at: Micros,
    /// The number of the batch to continue with, where not all could be sent at once.
    sent_batches: usize,
}

/// The membership state machine of one dispatcher. All times are of the caller's clock.
pub struct Peers {
    name: String,
    boot: u64,
    nonce: u32,
    /// Own recovery stage, as sent to peers.
    stage: u8,
    /// Sorted by name.
    peers: Vec<Peer>,
    /// All names including our own, sorted: packets name dispatchers by their index here.
    names: Vec<String>,
    /// Index of the peer with each address.
    by_address: BTreeMap<SocketAddr, usize>,
    /// The admin overrides known here.
    pub overrides: AdminOverrides,
    allocator: SlowStartAllocator,
    /// Whether any listed runner is cold; if so, peers are probed often enough to renew promises in time.
    has_cold_runners: bool,
    started_at: Micros,
    /// Peers still to be probed in this pass, last first.
    probe_order: Vec<usize>,
    /// Number of the last probe that was sent.
    last_number: u64,
    /// When the next round is due.
    next_round: Micros,
    /// Probes sent for other dispatchers, by their number: the index of the asker, the number that it waits
    /// for, and the index of the target.
    indirect_probes: BTreeMap<u64, (usize, u64, usize)>,
    random: Pcg32,
    /// Counts of datagrams, for metrics.
    pub counters: PeerCounters,
    /// Actions to return from the current call.
    actions: Vec<Action>,
}

impl Peers {
    /// `boot` is the boot number of this process run, 0 if it has none yet; `nonce` distinguishes it from
    /// other runs with the same number.
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
            sent_batches: 0,
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
            // Derived from the nonce, so that an answer to an earlier process run matches no probe of this
            // one.
            last_number: u64::from(nonce) << 20,
            next_round: now,
            indirect_probes: BTreeMap::new(),
            random: Pcg32::seed_from_u64(seed),
            counters: PeerCounters::default(),
            actions: Vec::new(),
        }
    }

    /// The boot number of this process run, 0 if it has none.
    pub fn boot(&self) -> u64 {
        self.boot
    }

    /// Sets the boot number of this process run; a lower one than the current is ignored.
    pub fn set_boot(&mut self, boot: u64) {
        self.boot = self.boot.max(boot);
    }

    /// Sets the recovery stage that is sent to peers.
    pub fn set_stage(&mut self, stage: u8) {
        self.stage = stage;
    }

    /// When to call [`Peers::tick`] next.
    pub fn next_tick(&self) -> Micros {
        self.next_round
    }

    /// The number of peers, and how many of them have seen this process run and agree on the admin overrides.
    pub fn agreement(&self) -> (usize, usize) {
        let ours = self.overrides.digest();
        let agrees = |peer: &&Peer| {
            peer.state == PeerState::Alive && peer.has_heard_us && peer.digest.overrides == ours
        };
        (self.peers.len(), self.peers.iter().filter(agrees).count())
    }

    /// Name, state and newest boot number of each peer.
    pub fn peer_states(&self) -> impl Iterator<Item = (&str, PeerState, u64)> {
        self.peers.iter().map(|peer| (peer.member.name.as_str(), peer.state, peer.boot))
    }

    /// Records an operator's call on a runner that was made at this dispatcher. Returns the packets to send.
    pub fn set_override(&mut self, runner: &str, out: bool, now: Micros) -> Vec<Action> {
        let calls = self.overrides.record(runner, self.author(), out);
        self.announce(runner, calls, now)
    }

    /// Adopts the calls on a runner that another process of this dispatcher knows. Returns the packets to send.
    pub fn adopt(&mut self, entry: AdminOverride, now: Micros) -> Vec<Action> {
        if !self.overrides.merge(&entry) {
            return Vec::new();
        }
        self.announce(&entry.runner, entry.calls, now)
    }

    /// Sends calls to all reachable peers immediately; rounds are for those that miss them.
    fn announce(&mut self, runner: &str, calls: Vec<AdminCall>, now: Micros) -> Vec<Action> {
        let batches = batches(vec![(runner, calls)], self.batch_bytes());
        for index in 0..self.peers.len() {
            if matches!(self.peers[index].state, PeerState::Alive | PeerState::Suspected) {
                self.peers[index].overrides_sent_at = now;
                batches.iter().for_each(|batch| self.send(index, Message::AdminOverrides(batch.clone())));
            }
        }
        std::mem::take(&mut self.actions)
    }

    /// Identifies this process run as the author of calls: by the name, and the nonce that differs from run to
    /// run also where a boot number is used again.
    fn author(&self) -> u64 {
        u64::from(crc32fast::hash(self.name.as_bytes())) << 32 | u64::from(self.nonce)
    }

    /// Adds the calls on a runner that an earlier process run has stored, possibly on a disk that opens late.
    /// A call that has been made here since the start comes after them. Returns whether the runner is out of
    /// service, if there was news.
    pub fn restore(&mut self, entry: &AdminOverride) -> Option<bool> {
        let author = self.author();
        let is_news = self.overrides.restore(entry, author);
        self.overrides.is_out(&entry.runner).filter(|_| is_news)
    }

    /// Applies the settings: the number of dispatchers that share slow-start budgets, and the overload
    /// window.
    pub fn configure(&mut self, dispatchers: usize, overload_window: Micros) {
        self.allocator.configure(dispatchers, overload_window);
    }

    /// This dispatcher's shares of the slow-start budgets of these cold runners, in the same order. To be
    /// called in each round; a share is in force as soon as it is returned.
    pub fn slow_start_shares<'a>(
        &mut self,
        cold: impl Iterator<Item = &'a str>,
        now: Micros,
    ) -> Vec<SlowStartShare> {
        let shares = self.allocator.shares(cold, now);
        self.has_cold_runners = !shares.is_empty();
        shares
    }

    /// Whether fewer than half of the peers are heard.
    fn is_isolated(&self, now: Micros) -> bool {
        let starting = now < self.started_at + START_GRACE;
        let heard =
            |peer: &&Peer| peer.state == PeerState::Alive || starting && peer.state == PeerState::Unknown;
        self.peers.iter().filter(heard).count() * 2 < self.peers.len()
    }

    /// A packet for the peer at `index`, with our boot number and digest.
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

    /// Queues a packet for the peer at `index`.
    fn send(&mut self, index: usize, message: Message) {
        let bytes = encode(&self.packet(index, message));
        self.counters.sent += 1;
        self.counters.sent_bytes += bytes.len() as u64;
        self.actions.push(Action::Send { to: self.peers[index].member.address, bytes });
    }

    /// Index of a peer's name in `names`, as packets use it.
    fn name_index(&self, index: usize) -> u16 {
        let name = &self.peers[index].member.name;
        self.names.binary_search(name).unwrap_or(0) as u16
    }

    /// Index of the peer with this index in `names`; none for ourselves or an invalid index.
    fn peer_at(&self, name_index: u16) -> Option<usize> {
        let name = self.names.get(usize::from(name_index))?;
        self.peers.binary_search_by(|peer| peer.member.name.cmp(name)).ok()
    }

    /// Runs a round if one is due.
    pub fn tick(&mut self, now: Micros) -> Vec<Action> {
        if now < self.next_round {
            return Vec::new();
        }
        // Missed rounds are not made up for: after a pause of this process, the silence of others proves
        // nothing.
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
        let mut probe_count = self.peers.len().div_ceil(PEERS_PER_PROBE).min(MAX_PROBES_PER_ROUND);
        if self.has_cold_runners {
            let rounds = (self.allocator.renewal_interval() / ROUND_INTERVAL).max(1) as usize;
            probe_count = probe_count.max(self.peers.len().div_ceil(rounds));
        }
        for _ in 0..probe_count {
            if self.probe_order.is_empty() {
                self.probe_order = (0..self.peers.len()).collect();
                self.probe_order.shuffle(&mut self.random);
            }
            if let Some(index) = self.probe_order.pop() {
                self.probe(index, now);
            }
        }
        // At the start all peers are probed at once, not one after the other.
        for index in 0..self.peers.len() {
            if self.peers[index].state == PeerState::Unknown && self.peers[index].probe.is_none() {
                self.probe(index, now);
            }
        }
        std::mem::take(&mut self.actions)
    }

    /// Probes a peer unless a probe of it is outstanding.
    fn probe(&mut self, index: usize, now: Micros) {
        if self.peers[index].probe.is_some() {
            return;
        }
        self.last_number += 1;
        let number = self.last_number;
        self.peers[index].probe = Some(Probe { number, sent_at: now, indirect_sent: false });
        self.send(index, Message::Probe { number, on_behalf_of: None });
    }

    /// Acts on a probe that has not been answered so far.
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
            // If a packet arrived meanwhile the peer is running, even if our packets do not reach it.
            if self.peers[index].last_heard < probe.sent_at && self.peers[index].state == PeerState::Alive {
                self.set_state(index, PeerState::Suspected);
            }
        }
    }

    /// Sets a peer's state, and reports it if it has changed.
    fn set_state(&mut self, index: usize, state: PeerState) {
        let peer = &mut self.peers[index];
        if std::mem::replace(&mut peer.state, state) != state {
            let event = PeerEvent::StateChanged { name: peer.member.name.clone(), state, boot: peer.boot };
            self.actions.push(Action::PeerEvent(event));
        }
    }

    /// Processes a received datagram. Anything that is not a valid packet of a listed peer is counted and
    /// dropped.
    pub fn receive(&mut self, now: Micros, from: SocketAddr, bytes: &[u8]) -> Vec<Action> {
        let Some(index) = self.by_address.get(&from).copied() else {
            self.counters.unlisted += 1;
            return Vec::new();
        };
        let packet = match decode(bytes) {
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

    /// Processes a valid packet of the peer at `index`.
    fn handle_packet(&mut self, index: usize, packet: Packet, now: Micros) {
        let peer = &mut self.peers[index];
        let sender_run = (packet.boot, packet.nonce);
        let known_run = (peer.boot, peer.nonce);
        let is_newer_run = packet.boot > peer.boot || known_run == (0, 0);
        if !is_newer_run && sender_run != known_run {
            // From an earlier process run, or from another one that uses the same boot number. It is not
            // believed; the answer to a probe carries the newest known run, so that the sender learns of it.
            self.counters.old += 1;
            if let Message::Probe { number, on_behalf_of } = packet.message {
                self.send(index, Message::Answer { number, on_behalf_of, promise: None });
            }
            return;
        }
        if is_newer_run && sender_run != known_run {
            (peer.boot, peer.nonce, peer.has_heard_us) = (packet.boot, packet.nonce, false);
            // Forces an event even if the peer was alive before: it is another process run.
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
                if let Some((asker, asker_number, target)) = self.indirect_probes.remove(&number)
                    && target == index
                {
                    let (target, boot) = (self.name_index(index), self.peers[index].boot);
                    self.send(asker, Message::IndirectAnswer { target, number: asker_number, boot });
                }
            }
            Message::ProbeRequest { target, number } => self.probe_for(index, target, number),
            Message::IndirectAnswer { target, number, boot } => {
                self.handle_indirect_answer(target, number, boot, now)
            }
            Message::AdminOverrides(entries) => {
                for entry in entries {
                    self.merge_override(entry);
                }
            }
        }
        self.send_differing_overrides(index, now);
    }

    /// Probes `target` on behalf of `asker`, which cannot reach it and waits for an answer to its probe
    /// `asker_number`.
    fn probe_for(&mut self, asker: usize, target: u16, asker_number: u64) {
        let Some(target) = self.peer_at(target).filter(|target| *target != asker) else { return };
        if self.indirect_probes.len() >= MAX_INDIRECT_PROBES {
            self.indirect_probes.pop_first();
        }
        self.last_number += 1;
        self.indirect_probes.insert(self.last_number, (asker, asker_number, target));
        let on_behalf_of = Some((self.name_index(asker), asker_number));
        let number = self.last_number;
        self.send(target, Message::Probe { number, on_behalf_of });
    }

    /// A peer that we cannot reach has answered another dispatcher.
    fn handle_indirect_answer(&mut self, target: u16, number: u64, boot: u64, now: Micros) {
        let Some(index) = self.peer_at(target) else { return };
        let peer = &mut self.peers[index];
        if peer.probe.is_some_and(|probe| probe.number == number) && boot >= peer.boot {
            peer.probe = None;
            peer.last_heard = now;
            self.set_state(index, PeerState::Alive);
        }
    }

    /// Merges what a peer knows of the calls on a runner, and reports it if it was news.
    fn merge_override(&mut self, entry: AdminOverride) {
        if self.overrides.merge(&entry)
            && let Some(out) = self.overrides.is_out(&entry.runner)
        {
            self.actions.push(Action::PeerEvent(PeerEvent::AdminOverride { runner: entry.runner, out }));
        }
    }

    /// The bytes that a datagram has for admin overrides.
    fn batch_bytes(&self) -> usize {
        MAX_PACKET_BYTES.saturating_sub(PACKET_OVERHEAD_BYTES + self.name.len())
    }

    /// Sends a peer the calls that differ, a few datagrams at a time.
    fn send_differing_overrides(&mut self, index: usize, now: Micros) {
        let theirs = self.peers[index].digest.overrides;
        if theirs == self.overrides.digest()
            || now < self.peers[index].overrides_sent_at + OVERRIDES_RESEND_INTERVAL
        {
            return;
        }
        self.peers[index].overrides_sent_at = now;
        let all = batches(self.overrides.differing(&theirs).collect(), self.batch_bytes());
        // If there are too many, continue where the previous ones ended.
        let first = self.peers[index].sent_batches % all.len().max(1);
        let sent = all.len().min(MAX_OVERRIDE_PACKETS);
        self.peers[index].sent_batches = first + sent;
        for batch in all.into_iter().cycle().skip(first).take(sent) {
            self.send(index, Message::AdminOverrides(batch));
        }
    }
}

/// Divides calls into batches that each fit into this many bytes of a datagram.
fn batches(runners: Vec<(&str, Vec<AdminCall>)>, max_bytes: usize) -> Vec<Vec<AdminOverride>> {
    let mut batches: Vec<Vec<AdminOverride>> = Vec::new();
    let mut used = max_bytes;
    for (runner, calls) in runners {
        for part in calls.chunks(MAX_CALLS_PER_ENTRY) {
            let bytes = runner.len() + 2 * MAX_LENGTH_BYTES + part.len() * MAX_CALL_BYTES;
            if used + bytes > max_bytes {
                batches.push(Vec::new());
                used = 0;
            }
            used += bytes;
            if let Some(batch) = batches.last_mut() {
                batch.push(AdminOverride { runner: runner.to_owned(), calls: part.to_vec() });
            }
        }
    }
    batches
}

#[cfg(test)]
mod tests;
