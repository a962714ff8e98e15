//! Dials that the host cannot start at the moment, for lack of a descriptor, a local port or a route.
//!
//! Such a failure says nothing about the other end, so the owner is not notified: the dial is retried until
//! it has started or its owner gives it up.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;

use socket2::{Domain, Protocol, Socket, Type};
use topazsail::Micros;

use crate::net::connection::{ConnectionId, ConnectionRole};
use crate::net::errno::{self, Scope};

/// Microseconds until a postponed dial is retried.
pub const REDIAL_INTERVAL: Micros = 10_000;

/// A connection to open.
#[derive(Debug)]
pub struct Dial {
    /// The address of the other end.
    pub to: SocketAddr,
    /// What is at the other end.
    pub role: ConnectionRole,
    /// What to send once the connection is established.
    pub output: Vec<u8>,
}

/// The result of starting a dial.
pub enum Dialled {
    /// Started, and possibly completed; the socket reports the result.
    Started(Socket),
    /// The other end cannot be reached. The owner is notified through the connection of this socket, as with
    /// failures that are reported later.
    Failed(Socket, io::Error),
    /// The host could not start it.
    Postponed(io::Error),
}

/// The postponed dials, by connection id.
#[derive(Default)]
pub struct Dials {
    postponed: BTreeMap<ConnectionId, Dial>,
    /// How often a dial has been postponed since the start.
    pub postponed_total: u64,
}

impl Dials {
    /// Keeps a dial to be retried.
    pub fn postpone(&mut self, id: ConnectionId, dial: Dial) {
        self.postponed_total += 1;
        self.postponed.insert(id, dial);
    }

    /// Removes the postponed dial of this connection, to retry it or to give it up.
    pub fn take(&mut self, id: ConnectionId) -> Option<Dial> {
        self.postponed.remove(&id)
    }

    /// The postponed dial of this connection.
    pub fn get(&self, id: ConnectionId) -> Option<&Dial> {
        self.postponed.get(&id)
    }

    /// The postponed dial of this connection, for adding output.
    pub fn get_mut(&mut self, id: ConnectionId) -> Option<&mut Dial> {
        self.postponed.get_mut(&id)
    }
}

/// Opens an unconnected, non-blocking socket for connections to this address.
fn open_socket(to: SocketAddr) -> io::Result<Socket> {
    let socket = Socket::new(Domain::for_address(to), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_nonblocking(true)?;
    socket.set_tcp_nodelay(true)?;
    Ok(socket)
}

/// Starts to open a connection, without waiting for the result.
pub fn dial(to: SocketAddr) -> Dialled {
    let socket = match open_socket(to) {
        Ok(socket) => socket,
        Err(error) => return Dialled::Postponed(error),
    };
    match socket.connect(&to.into()) {
        Ok(()) => Dialled::Started(socket),
        Err(error) => match errno::classify_connect_error(&error) {
            Scope::Call => Dialled::Started(socket),
            Scope::Host => Dialled::Postponed(error),
            Scope::Connection => Dialled::Failed(socket, error),
        },
    }
}
