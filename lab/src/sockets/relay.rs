//! The links between dispatchers: each is told an address of the lab's for each other one, and what it sends there is
//! carried on, late, twice or not at all.
//!
//! It owns the datagrams under way. It must never look into one.

use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::{Lab, NO_DELAY};

const DATAGRAM_MOST: usize = 64 << 10;

pub async fn bound(ip: Ipv4Addr) -> Result<UdpSocket, String> {
    UdpSocket::bind((ip, 0)).await.map_err(|error| format!("datagrams at {ip}: {error}"))
}

pub fn address(socket: &UdpSocket) -> Result<SocketAddr, String> {
    socket.local_addr().map_err(|error| format!("datagrams: {error}"))
}

/// Carries what each of `all` dispatchers sends to each other one; sockets in rows by sender.
pub fn start(lab: &Lab, sockets: &[Rc<UdpSocket>], all: usize) {
    for (nth, socket) in sockets.iter().enumerate() {
        let (from, to) = (nth / all, nth % all);
        if from != to {
            // The receiver sees the address at which it is told to reach the sender.
            let back = sockets[to * all + from].clone();
            spawn_local(carry(lab.clone(), (from, to), socket.clone(), back));
        }
    }
}

async fn carry(lab: Lab, (from, to): (usize, usize), here: Rc<UdpSocket>, back: Rc<UdpSocket>) {
    let mut bytes = vec![0; DATAGRAM_MOST];
    loop {
        let Ok((length, sender)) = here.recv_from(&mut bytes).await else {
            // The last one that was sent from here was refused: nobody was there.
            tokio::task::yield_now().await;
            continue;
        };
        let (after, target) = {
            let now = lab.now();
            let stage = &mut *lab.stage.borrow_mut();
            if sender != stage.peers[from] {
                continue;
            }
            let path = (from as u32, to as u32);
            (stage.world.datagram_delays(&stage.scenario, path, now, &mut stage.carried), stage.peers[to])
        };
        for delay in after {
            if delay < NO_DELAY {
                let _ = back.try_send_to(&bytes[..length], target);
                continue;
            }
            let (back, copy) = (back.clone(), bytes[..length].to_vec());
            spawn_local(async move {
                sleep(Duration::from_micros(delay as u64)).await;
                let _ = back.try_send_to(&copy, target);
            });
        }
    }
}
