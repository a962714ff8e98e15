//! The sockets that a successor takes over: the one on which it asks for the hand-over, and the one for datagrams of
//! other dispatchers.
//!
//! A successor removes the path of the first and binds its own there, and receives the datagrams once this process
//! has closed its socket. If the successor ends first, both are opened again: the next one has to find this process.

use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::PathBuf;

use polling::{AsRawSource, Event, PollMode, Poller};
use topazsail_upgrade::Event as UpgradeEvent;

use super::{Listener, PEERS_KEY, Reactor, SUCCESSOR_KEY, listener_of};
use crate::lifecycle::handover;
use crate::net::connection::{Connection, ConnectionId, ConnectionRole};
use crate::net::log::log;
use crate::net::sockets::bind_datagram_socket;
use crate::request_table::{RequestTable, SocketChange};

/// The sockets that a successor takes over, and where they are bound.
#[derive(Default)]
pub(super) struct HandoverSockets {
    successors: Option<UnixListener>,
    successors_path: Option<PathBuf>,
    datagrams: Option<UdpSocket>,
    datagram_address: Option<SocketAddr>,
}

impl HandoverSockets {
    /// The socket for datagrams of other dispatchers, unless a successor has taken over.
    pub(super) fn datagrams(&self) -> Option<&UdpSocket> {
        self.datagrams.as_ref()
    }
}

/// Registers a socket that becomes readable.
fn register(poller: &Poller, socket: impl AsRawSource, key: usize) -> io::Result<()> {
    // SAFETY: the reactor holds the socket beside the poller, and deletes it from the poller before it closes it
    // early.
    unsafe { poller.add_with_mode(socket, Event::readable(key), PollMode::Level) }
}

impl Reactor {
    /// Sets where the sockets are opened once this process has taken over from another one.
    pub fn set_handover_addresses(&mut self, successors: Option<PathBuf>, datagrams: Option<SocketAddr>) {
        let sockets = &mut self.handover_sockets;
        (sockets.successors_path, sockets.datagram_address) = (successors, datagrams);
    }

    /// Opens the socket for datagrams of other dispatchers at this address.
    ///
    /// # Errors
    ///
    /// A system call fails, for example because the address is in use.
    pub fn open_datagram_socket(&mut self, address: SocketAddr) -> io::Result<()> {
        self.close_datagram_socket();
        let socket = bind_datagram_socket(address)?;
        register(&self.poller, &socket, PEERS_KEY)?;
        let sockets = &mut self.handover_sockets;
        (sockets.datagrams, sockets.datagram_address) = (Some(socket), Some(address));
        Ok(())
    }

    /// Listens at this path for a successor. The socket of the process that served before is unlinked: it must
    /// have handed over first.
    ///
    /// # Errors
    ///
    /// A system call fails.
    pub fn open_successor_socket(&mut self, path: PathBuf) -> io::Result<()> {
        if let Some(socket) = self.handover_sockets.successors.take() {
            let _ = self.poller.delete(&socket);
        }
        let socket = handover::bind_successor_socket(&path)?;
        register(&self.poller, &socket, SUCCESSOR_KEY)?;
        let sockets = &mut self.handover_sockets;
        (sockets.successors, sockets.successors_path) = (Some(socket), Some(path));
        Ok(())
    }

    fn close_datagram_socket(&mut self) {
        if let Some(socket) = self.handover_sockets.datagrams.take() {
            let _ = self.poller.delete(&socket);
        }
    }

    /// Makes a change of these sockets that the request table asks for.
    pub fn change_sockets(&mut self, change: SocketChange) {
        let sockets = &self.handover_sockets;
        let changed = match change {
            SocketChange::OpenSuccessors => {
                sockets.successors_path.clone().map_or(Ok(()), |path| self.open_successor_socket(path))
            }
            SocketChange::OpenDatagrams => {
                sockets.datagram_address.map_or(Ok(()), |address| self.open_datagram_socket(address))
            }
            SocketChange::CloseDatagrams => {
                self.close_datagram_socket();
                Ok(())
            }
        };
        if let Err(error) = changed {
            log!("handover-failed", "reason={:?}", format!("socket not opened: {error}"));
        }
    }

    /// Adds the connection to the other process of an upgrade.
    pub fn add_peer_connection(&mut self, stream: UnixStream, listen: SocketAddr) -> ConnectionId {
        self.add_new(Connection::new(stream.into(), ConnectionRole::Peer, listen, false, self.now))
    }

    /// Passes the client listener to a successor that has connected, and has the request table send its state;
    /// or refuses.
    pub(super) fn answer_successor(&mut self, table: &mut RequestTable, listeners: &[Listener]) {
        let Some(successors) = &self.handover_sockets.successors else { return };
        let stream = match handover::accept_successor(successors) {
            Ok(Some(stream)) => stream,
            Ok(None) => return,
            Err(error) => return log!("handover-failed", "reason={:?}", error.to_string()),
        };
        let Some(listener) = listener_of(listeners, ConnectionRole::Client) else { return };
        if let Err(refusal) = table.answer_successor(self) {
            // One that has ended meanwhile needs no answer.
            let _ = handover::refuse_successor(&stream, refusal);
            return;
        }
        let sent =
            handover::send_listener(&stream, &listener.socket).and_then(|()| listener.socket.local_addr());
        match sent {
            Ok(listen) => {
                let id = self.add_peer_connection(stream, listen);
                table.hand_over(id, self);
            }
            Err(error) => {
                log!("handover-failed", "reason={:?}", error.to_string());
                table.handle_upgrade_event(UpgradeEvent::OfferFailed, self);
            }
        }
    }
}
