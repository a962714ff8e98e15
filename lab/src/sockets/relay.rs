//! The links between dispatchers. Each dispatcher is configured with a relay address of the lab's for each
//! peer; datagrams sent there are forwarded after a delay, possibly twice, or dropped.
//!
//! This module owns the datagrams in transit. It must never depend on their contents.

use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::{Lab, MIN_DELAY};

/// Upper limit of a datagram.
const MAX_DATAGRAM_BYTES: usize = 64 << 10;

/// Binds a UDP socket at a free port of `ip`.
///
/// # Errors
///
/// Returns an error if no socket can be bound.
pub async fn bind(ip: Ipv4Addr) -> Result<UdpSocket, String> {
    UdpSocket::bind((ip, 0)).await.map_err(|error| format!("cannot bind a UDP socket at {ip}: {error}"))
}

/// Returns the address of a socket.
///
/// # Errors
///
/// Returns an error if the system does not report it.
pub fn address(socket: &UdpSocket) -> Result<SocketAddr, String> {
    socket.local_addr().map_err(|error| format!("cannot read the address of a UDP socket: {error}"))
}

/// Starts the relays between `dispatcher_count` dispatchers. `sockets` holds the relay addresses in rows by
/// sender.
pub fn start(lab: &Lab, sockets: &[Rc<UdpSocket>], dispatcher_count: usize) {
    for (index, socket) in sockets.iter().enumerate() {
        let (from, to) = (index / dispatcher_count, index % dispatcher_count);
        if from != to {
            // The datagram leaves from the address at which the receiver is configured to reach the sender.
            let outgoing = sockets[to * dispatcher_count + from].clone();
            spawn_local(relay_link(lab.clone(), (from, to), socket.clone(), outgoing));
        }
    }
}

/// Forwards the datagrams of one link until the run ends.
async fn relay_link(lab: Lab, (from, to): (usize, usize), incoming: Rc<UdpSocket>, outgoing: Rc<UdpSocket>) {
    let mut bytes = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((length, sender)) = incoming.recv_from(&mut bytes).await else {
            // An earlier datagram sent from this socket was refused because the receiver's process was down.
            tokio::task::yield_now().await;
            continue;
        };
        let (delays, target) = {
            let now = lab.now();
            let shared = &mut *lab.shared.borrow_mut();
            if sender != shared.peer_addresses[from] {
                continue;
            }
            let link = (from as u32, to as u32);
            (
                shared.world.datagram_delays(&shared.scenario, link, now, &mut shared.relay_random),
                shared.peer_addresses[to],
            )
        };
        for delay in delays {
            if delay < MIN_DELAY {
                let _ = outgoing.try_send_to(&bytes[..length], target);
                continue;
            }
            let (outgoing, copy) = (outgoing.clone(), bytes[..length].to_vec());
            spawn_local(async move {
                sleep(Duration::from_micros(delay as u64)).await;
                let _ = outgoing.try_send_to(&copy, target);
            });
        }
    }
}
