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
use crate::packet::{AdminOverride, Digest, Message, PACKET_MOST, Packet, PacketError, open, seal};
use crate::slow_start::{SlowStartAllocator, SlowStartShare};

/// From one round of probes to the next, and how many are probed at once in a large fleet.
const ROUND: Micros = 200_000;
const AT_ONCE_SHARE: usize = 8;
const AT_ONCE_MOST: usize = 4;
/// An answer takes no longer; then others are asked, and then it is suspected.
const ANSWER_WITHIN: Micros = 300_000;
const THROUGH_WITHIN: Micros = 600_000;
const THROUGH: usize = 3;
/// Suspected for so long without a word, a peer is taken for gone.
const GONE_AFTER: Micros = 5_000_000;
/// What differs is sent to one peer at most so often, in so many datagrams.
const TELL_AGAIN: Micros = 200_000;
const TELL_MOST: usize = 4;
/// At the start nobody has been heard yet; who is not by then is not there.
const ALONE_AFTER: Micros = 2_000_000;
/// Probes on others' behalf that may be under way.
const BEHALF_MOST: usize = 256;

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
    Peer { name: String, life: PeerState, boot: u64 },
    /// Somebody has heard of a life of ours with this number, which is not this one.
    Numbered(u64),
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
    pub strangers: u64,
    /// Of an earlier life.
    pub old: u64,
}

#[derive(Clone, Copy)]
struct Probe {
    number: u64,
    at: Micros,
    /// Others have been asked.
    asked: bool,
}

struct Peer {
    member: Member,
    life: PeerState,
    /// The highest number of its lives, and which life that was.
    boot: u64,
    nonce: u32,
    heard_at: Micros,
    /// It has heard this life of ours.
    knows_us: bool,
    digest: Digest,
    probe: Option<Probe>,
    told_at: Micros,
    /// The runner whose word was told last of many.
    told_last: String,
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
    pub hands: AdminOverrides,
    account: SlowStartAllocator,
    /// Whether cold runners are listed: promises are then asked for in time.
    cold: bool,
    began: Micros,
    /// Who is to be probed next, in this order.
    turn: Vec<usize>,
    number: u64,
    round_at: Micros,
    /// Probes that were made for others: their number here, who asked, their number there.
    behalf: BTreeMap<u64, (usize, u64, usize)>,
    drawn: Pcg32,
    pub counts: PeerCounters,
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
        let by_address = members.iter().enumerate().map(|(nth, member)| (member.address, nth)).collect();
        let peer = |member| Peer {
            member,
            life: PeerState::Unknown,
            boot: 0,
            nonce: 0,
            heard_at: now,
            knows_us: false,
            digest: Digest::default(),
            probe: None,
            told_at: Micros::MIN,
            told_last: String::new(),
        };
        Peers {
            name: name.to_owned(),
            boot,
            nonce,
            stage: 0,
            peers: members.into_iter().map(peer).collect(),
            account: SlowStartAllocator::new(&names, name, now),
            cold: false,
            began: now,
            names,
            by_address,
            hands: AdminOverrides::default(),
            turn: Vec::new(),
            number: u64::from(nonce) << 20,
            round_at: now,
            behalf: BTreeMap::new(),
            drawn: Pcg32::seed_from_u64(seed),
            counts: PeerCounters::default(),
            actions: Vec::new(),
        }
    }

    pub fn boot(&self) -> u64 {
        self.boot
    }

    /// This life has this number from now on.
    pub fn numbered(&mut self, boot: u64) {
        self.boot = self.boot.max(boot);
    }

    pub fn stage(&mut self, stage: u8) {
        self.stage = stage;
    }

    /// When to call [`Peers::tick`] next.
    pub fn due(&self) -> Micros {
        self.round_at
    }

    /// All others, and how many of them have heard this life of ours and agree on who is out by hand.
    pub fn agree(&self) -> (usize, usize) {
        let ours = self.hands.digest();
        let agrees =
            |peer: &&Peer| peer.life == PeerState::Alive && peer.knows_us && peer.digest.hands == ours;
        (self.peers.len(), self.peers.iter().filter(agrees).count())
    }

    pub fn lives(&self) -> impl Iterator<Item = (&str, PeerState, u64)> {
        self.peers.iter().map(|peer| (peer.member.name.as_str(), peer.life, peer.boot))
    }

    /// A call on a runner that was made here.
    pub fn call(
        &mut self,
        runner: &str,
        out_since: Option<Micros>,
        was_out: Option<(Micros, Micros)>,
        now: Micros,
    ) -> (Version, Vec<Action>) {
        let version = self.hands.next(runner, self.author());
        let hand = AdminOverride { runner: runner.to_owned(), version, out_since, was_out };
        self.hands.merge(hand.clone());
        // At once to all who are there: rounds are for who was not.
        for nth in 0..self.peers.len() {
            if matches!(self.peers[nth].life, PeerState::Alive | PeerState::Suspected) {
                self.peers[nth].told_at = now;
                self.send(nth, Message::AdminOverrides(vec![hand.clone()]));
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
    pub fn remember(&mut self, hand: AdminOverride) -> Option<AdminOverride> {
        let own = self.author();
        let known = self.hands.get(&hand.runner).filter(|known| known.version.author == own).cloned();
        if !self.hands.merge(hand.clone()) {
            return None;
        }
        let Some(called) = known else { return Some(hand) };
        let version = self.hands.next(&called.runner, own);
        self.hands.merge(AdminOverride { version, ..called });
        None
    }

    /// What the settings say of the account on cold runners: how many dispatchers share it, over which span.
    pub fn settings(&mut self, dispatchers: usize, looks_at: Micros) {
        self.account.settings(dispatchers, looks_at);
    }

    /// Which portions of these cold runners' budgets are this dispatcher's own, in the same order: to be asked for
    /// in each round, and to hold from when they are told.
    pub fn portions<'a>(&mut self, cold: impl Iterator<Item = &'a str>, now: Micros) -> Vec<SlowStartShare> {
        let portions = self.account.portions(cold, now);
        self.cold = !portions.is_empty();
        portions
    }

    /// Whether fewer than half of the others are heard.
    fn alone(&self, now: Micros) -> bool {
        let starting = now < self.began + ALONE_AFTER;
        let heard =
            |peer: &&Peer| peer.life == PeerState::Alive || starting && peer.life == PeerState::Unknown;
        self.peers.iter().filter(heard).count() * 2 < self.peers.len()
    }

    fn packet(&self, nth: usize, what: Message) -> Packet {
        let digest = Digest { stage: self.stage, hands: self.hands.digest() };
        let peer = &self.peers[nth];
        let yours = (peer.boot, peer.nonce);
        Packet { from: self.name.clone(), boot: self.boot, nonce: self.nonce, yours, digest, what }
    }

    fn send(&mut self, nth: usize, what: Message) {
        let bytes = seal(&self.packet(nth, what));
        self.counts.sent += 1;
        self.counts.sent_bytes += bytes.len() as u64;
        self.actions.push(Action::Send { to: self.peers[nth].member.address, bytes });
    }

    fn place(&self, nth: usize) -> u16 {
        let name = &self.peers[nth].member.name;
        self.names.binary_search(name).unwrap_or(0) as u16
    }

    fn at_place(&self, place: u16) -> Option<usize> {
        let name = self.names.get(usize::from(place))?;
        self.peers.binary_search_by(|peer| peer.member.name.cmp(name)).ok()
    }

    /// A round, where it is due.
    pub fn tick(&mut self, now: Micros) -> Vec<Action> {
        if now < self.round_at {
            return Vec::new();
        }
        // Rounds that were missed are not made up for: who stood still has nothing to say of others' silence.
        let missed = now > self.round_at + 2 * ROUND;
        self.round_at = now + ROUND;
        for nth in 0..self.peers.len() {
            if missed {
                self.peers[nth].probe = None;
            }
            self.look(nth, now);
        }
        let alone = self.alone(now);
        self.account.round(alone, now);
        let mut at_once = self.peers.len().div_ceil(AT_ONCE_SHARE).min(AT_ONCE_MOST);
        if self.cold {
            let rounds = (self.account.renew_within() / ROUND).max(1) as usize;
            at_once = at_once.max(self.peers.len().div_ceil(rounds));
        }
        for _ in 0..at_once {
            if self.turn.is_empty() {
                self.turn = (0..self.peers.len()).collect();
                self.turn.shuffle(&mut self.drawn);
            }
            if let Some(nth) = self.turn.pop() {
                self.probe(nth, now);
            }
        }
        // At the start all are asked, not one after the other.
        for nth in 0..self.peers.len() {
            if self.peers[nth].life == PeerState::Unknown && self.peers[nth].probe.is_none() {
                self.probe(nth, now);
            }
        }
        std::mem::take(&mut self.actions)
    }

    fn probe(&mut self, nth: usize, now: Micros) {
        if self.peers[nth].probe.is_some() {
            return;
        }
        self.number += 1;
        let number = self.number;
        self.peers[nth].probe = Some(Probe { number, at: now, asked: false });
        self.send(nth, Message::Probe { number, behalf: None });
    }

    /// What a probe without an answer says by now.
    fn look(&mut self, nth: usize, now: Micros) {
        let peer = &self.peers[nth];
        if peer.life == PeerState::Suspected && now >= peer.heard_at + GONE_AFTER {
            self.becomes(nth, PeerState::Gone);
        }
        let Some(probe) = self.peers[nth].probe else { return };
        let waited = now - probe.at;
        if waited >= ANSWER_WITHIN && !probe.asked {
            self.peers[nth].probe = Some(Probe { asked: true, ..probe });
            let mut others: Vec<usize> = (0..self.peers.len())
                .filter(|o| *o != nth && self.peers[*o].life == PeerState::Alive)
                .collect();
            let most = THROUGH.min(others.len());
            let (target, number) = (self.place(nth), probe.number);
            let (chosen, _) = others.partial_shuffle(&mut self.drawn, most);
            for other in chosen.iter().copied() {
                self.send(other, Message::Ask { target, number });
            }
        }
        if waited >= ANSWER_WITHIN + THROUGH_WITHIN {
            self.peers[nth].probe = None;
            // Heard meanwhile: it is there, whatever becomes of what is sent to it.
            if self.peers[nth].heard_at < probe.at && self.peers[nth].life == PeerState::Alive {
                self.becomes(nth, PeerState::Suspected);
            }
        }
    }

    fn becomes(&mut self, nth: usize, life: PeerState) {
        let peer = &mut self.peers[nth];
        if std::mem::replace(&mut peer.life, life) != life {
            let told = PeerEvent::Peer { name: peer.member.name.clone(), life, boot: peer.boot };
            self.actions.push(Action::PeerEvent(told));
        }
    }

    /// A datagram has come.
    pub fn heard(&mut self, now: Micros, from: SocketAddr, bytes: &[u8]) -> Vec<Action> {
        let Some(nth) = self.by_address.get(&from).copied() else {
            self.counts.strangers += 1;
            return Vec::new();
        };
        let packet = match open(bytes) {
            Ok(packet) => packet,
            Err(PacketError::TooLong | PacketError::Garbage | PacketError::Form) => {
                self.counts.bad += 1;
                return Vec::new();
            }
        };
        if packet.from != self.peers[nth].member.name {
            self.counts.strangers += 1;
            return Vec::new();
        }
        self.counts.heard += 1;
        self.take(nth, packet, now);
        std::mem::take(&mut self.actions)
    }

    fn take(&mut self, nth: usize, packet: Packet, now: Micros) {
        let peer = &mut self.peers[nth];
        let theirs = (packet.boot, packet.nonce);
        let known = (peer.boot, peer.nonce);
        let newer = packet.boot > peer.boot || known == (0, 0);
        if !newer && theirs != known {
            // Of an earlier life, or of another one with a number that is taken: it is told so, and not believed.
            self.counts.old += 1;
            if let Message::Probe { number, behalf } = packet.what {
                self.send(nth, Message::Answer { number, behalf, promise: None });
            }
            return;
        }
        if newer && theirs != known {
            (peer.boot, peer.nonce, peer.knows_us) = (packet.boot, packet.nonce, false);
            // Told anew, also where it was alive before: it is another life.
            peer.life = PeerState::Unknown;
        }
        peer.heard_at = now;
        peer.digest = packet.digest;
        let (yours, nonce) = packet.yours;
        if yours > self.boot || yours == self.boot && yours > 0 && nonce != self.nonce {
            self.actions.push(Action::PeerEvent(PeerEvent::Numbered(yours)));
        }
        peer.knows_us |= (yours > 0 || self.boot == 0) && nonce == self.nonce;
        self.becomes(nth, PeerState::Alive);
        match packet.what {
            Message::Probe { number, behalf } => {
                let alone = self.alone(now);
                let promise = behalf.is_none() && self.account.promise(alone, now);
                let promise = Some(self.account.list).filter(|_| promise);
                self.send(nth, Message::Answer { number, behalf, promise });
            }
            Message::Answer { number, behalf: None, promise } => {
                if let Some(probe) = self.peers[nth].probe.take_if(|probe| probe.number == number)
                    && promise == Some(self.account.list)
                {
                    self.account.promised(usize::from(self.place(nth)), probe.at);
                }
            }
            Message::Answer { number, behalf: Some(_), .. } => {
                if let Some((asker, theirs, target)) = self.behalf.remove(&number)
                    && target == nth
                {
                    let (target, boot) = (self.place(nth), self.peers[nth].boot);
                    self.send(asker, Message::Through { target, number: theirs, boot });
                }
            }
            Message::Ask { target, number } => self.ask(nth, target, number),
            Message::Through { target, number, boot } => self.through(target, number, boot, now),
            Message::AdminOverrides(hands) => {
                for hand in hands {
                    if self.hands.merge(hand.clone()) {
                        self.actions.push(Action::PeerEvent(PeerEvent::AdminOverride(hand)));
                    }
                }
            }
        }
        self.tell_what_differs(nth, now);
    }

    /// Probes somebody for `asker`, who cannot reach it.
    fn ask(&mut self, asker: usize, target: u16, theirs: u64) {
        let Some(target) = self.at_place(target).filter(|target| *target != asker) else { return };
        if self.behalf.len() >= BEHALF_MOST {
            self.behalf.pop_first();
        }
        self.number += 1;
        self.behalf.insert(self.number, (asker, theirs, target));
        let behalf = Some((self.place(asker), theirs));
        let number = self.number;
        self.send(target, Message::Probe { number, behalf });
    }

    /// A peer whose link to us is cut has answered somebody else.
    fn through(&mut self, target: u16, number: u64, boot: u64, now: Micros) {
        let Some(nth) = self.at_place(target) else { return };
        let peer = &mut self.peers[nth];
        if peer.probe.is_some_and(|probe| probe.number == number) && boot >= peer.boot {
            peer.probe = None;
            peer.heard_at = now;
            self.becomes(nth, PeerState::Alive);
        }
    }

    /// Sends a peer what it has otherwise, a few datagrams at a time.
    fn tell_what_differs(&mut self, nth: usize, now: Micros) {
        let theirs = self.peers[nth].digest.hands;
        if theirs == self.hands.digest() || now < self.peers[nth].told_at + TELL_AGAIN {
            return;
        }
        self.peers[nth].told_at = now;
        let mut hands: Vec<AdminOverride> = self.hands.differing(&theirs).cloned().collect();
        // Where there are too many, on from where the last time ended.
        let from = hands.partition_point(|hand| hand.runner <= self.peers[nth].told_last);
        hands.rotate_left(from);
        let bare = seal(&self.packet(nth, Message::AdminOverrides(Vec::new()))).len();
        let mut hands = hands.into_iter().peekable();
        for _ in 0..TELL_MOST {
            let (mut some, mut length) = (Vec::new(), bare + 8);
            while let Some(hand) = hands.next_if(|hand| {
                // Its runner's id, and the most that its numbers take.
                length += hand.runner.len() + 64;
                length <= PACKET_MOST
            }) {
                self.peers[nth].told_last.clone_from(&hand.runner);
                some.push(hand);
            }
            if some.is_empty() {
                return;
            }
            self.send(nth, Message::AdminOverrides(some));
        }
    }
}

#[cfg(test)]
mod tests;
