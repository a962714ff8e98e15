//! The peer messages of one dispatcher in virtual time, where its scenario has peers. It uses the same
//! protocol module as the real dispatcher; the datagrams are carried by the emulated links.
//!
//! All decisions are the protocol module's.

use std::net::SocketAddr;

use rand::RngExt;
use rand_pcg::Pcg32;
use topazsail::{Micros, Settings};
use topazsail_peers::{Action, Member, PeerEvent, Peers};

/// The peer protocol of one dispatcher.
pub struct PeerMessages {
    /// The protocol module.
    pub protocol: Peers,
    /// Until this time, what its previous process run sent to cold runners may count against their budgets.
    paused_until: Micros,
}

/// A datagram and its receiver.
pub type Datagram = (u32, Vec<u8>);

fn name(d: u32) -> String {
    format!("d{d}")
}

/// Returns a distinct address for each dispatcher; no socket is bound to it.
fn address(d: u32) -> SocketAddr {
    SocketAddr::from(([127, 0, (d >> 8) as u8, d as u8], 1))
}

/// The dispatcher that [`address`] gives this address.
fn number(address: SocketAddr) -> u32 {
    match address {
        SocketAddr::V4(v4) => u32::from_be_bytes(v4.ip().octets()) & 0xffff,
        SocketAddr::V6(_) => 0,
    }
}

impl PeerMessages {
    /// Starts the protocol of dispatcher `d` of `all`, with its boot number.
    pub fn new(
        (d, all): (u32, u32),
        boot: u64,
        settings: &Settings,
        mut rng: Pcg32,
        paused_until: Micros,
        now: Micros,
    ) -> PeerMessages {
        let others = (0..all).filter(|other| *other != d);
        let members = others.map(|d| Member { name: name(d), address: address(d) }).collect();
        let (nonce, seed) = (rng.random(), rng.random());
        let mut protocol = Peers::new(&name(d), members, (boot, nonce), seed, now);
        protocol.configure(settings.dispatchers as usize, settings.overload_window);
        PeerMessages { protocol, paused_until }
    }

    /// Carries out actions and returns the datagrams to be sent.
    fn collect_datagrams(&mut self, actions: Vec<Action>) -> Vec<Datagram> {
        let mut sent = Vec::new();
        for action in actions {
            match action {
                Action::Send { to, bytes } => sent.push((number(to), bytes)),
                // Another process run has this boot number: take the next one.
                Action::PeerEvent(PeerEvent::BootTaken(heard)) => self.protocol.set_boot(heard + 1),
                Action::PeerEvent(PeerEvent::StateChanged { .. } | PeerEvent::AdminOverride { .. }) => {}
            }
        }
        sent
    }

    /// Sends the periodic messages.
    pub fn tick(&mut self, now: Micros) -> Vec<Datagram> {
        let actions = self.protocol.tick(now);
        self.collect_datagrams(actions)
    }

    /// Handles a datagram from another dispatcher.
    pub fn receive(&mut self, from: u32, bytes: &[u8], now: Micros) -> Vec<Datagram> {
        let actions = self.protocol.receive(now, address(from), bytes);
        self.collect_datagrams(actions)
    }

    /// This dispatcher's shares of the cold runners' budgets; none while its previous run may still count.
    pub fn slow_start_shares(
        &mut self,
        cold: Vec<topazsail::Id>,
        now: Micros,
    ) -> Vec<topazsail::SlowStartShare> {
        let shares = self.protocol.slow_start_shares(cold.iter().map(|id| &**id), now);
        if now < self.paused_until {
            return Vec::new();
        }
        cold.into_iter().zip(shares).map(|(id, p)| (id, p.share, p.until)).collect()
    }
}
