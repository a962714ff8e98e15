//! What one dispatcher says to the others in virtual time, where its scenario has peers: the very core that the program
//! uses, its datagrams carried by the world's links.
//!
//! It must never decide anything that the core does not.

use std::net::SocketAddr;

use rand::RngExt;
use rand_pcg::Pcg32;
use topazsail::{Micros, Settings};
use topazsail_peers::{Action, Member, PeerEvent, Peers};

pub struct PeerMessages {
    pub core: Peers,
    /// What its last life sent to cold runners may count until then.
    paused_until: Micros,
}

/// A datagram, and the dispatcher that it is for.
pub type Datagram = (u32, Vec<u8>);

fn name(d: u32) -> String {
    format!("d{d}")
}

/// Any that are not the same: no socket is bound there.
fn address(d: u32) -> SocketAddr {
    SocketAddr::from(([127, 0, (d >> 8) as u8, d as u8], 1))
}

fn number(address: SocketAddr) -> u32 {
    match address {
        SocketAddr::V4(v4) => u32::from_be_bytes(v4.ip().octets()) & 0xffff,
        SocketAddr::V6(_) => 0,
    }
}

impl PeerMessages {
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
        let mut core = Peers::new(&name(d), members, (boot, nonce), seed, now);
        core.settings(settings.dispatchers as usize, settings.overload_window);
        PeerMessages { core, paused_until }
    }

    /// What is to be sent, and to whom.
    fn collect_datagrams(&mut self, actions: Vec<Action>) -> Vec<Datagram> {
        let mut sent = Vec::new();
        for action in actions {
            match action {
                Action::Send { to, bytes } => sent.push((number(to), bytes)),
                Action::PeerEvent(PeerEvent::Numbered(heard)) => self.core.numbered(heard + 1),
                Action::PeerEvent(PeerEvent::Peer { .. } | PeerEvent::AdminOverride(_)) => {}
            }
        }
        sent
    }

    pub fn round(&mut self, now: Micros) -> Vec<Datagram> {
        let actions = self.core.tick(now);
        self.collect_datagrams(actions)
    }

    pub fn receive(&mut self, from: u32, bytes: &[u8], now: Micros) -> Vec<Datagram> {
        let actions = self.core.heard(now, address(from), bytes);
        self.collect_datagrams(actions)
    }

    /// What is this dispatcher's own of cold runners' budgets.
    pub fn slow_start_shares(
        &mut self,
        cold: Vec<topazsail::Id>,
        now: Micros,
    ) -> Vec<topazsail::SlowStartShare> {
        let shares = self.core.portions(cold.iter().map(|id| &**id), now);
        if now < self.paused_until {
            return Vec::new();
        }
        cold.into_iter().zip(shares).map(|(id, p)| (id, p.share, p.until)).collect()
    }
}
