//! Dials that the host keeps from beginning: no descriptor, port or route of our own just now.
//!
//! Nothing has been heard of the other end, so nothing is told of it: the dial is made again until it has begun or its
//! owner gives it up.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;

use socket2::{Domain, Protocol, Socket, Type};
use topazsail::Micros;

use crate::net::connection::{ConnectionId, ConnectionRole};
use crate::net::errno::{self, Scope};

/// How long until a dial is made again.
pub const DIAL_AGAIN: Micros = 10_000;

/// Where a connection is to lead, for whom, and what is to be sent on it.
#[derive(Debug)]
pub struct Dial {
    pub to: SocketAddr,
    pub role: ConnectionRole,
    pub output: Vec<u8>,
}

/// What has become of a dial.
pub enum Dialled {
    /// It is under way, or has come to its end: the socket tells.
    Begun(Socket),
    /// The other end cannot be had.
    Failed(Socket, io::Error),
    /// The host has kept it from beginning.
    Postponed(io::Error),
}

/// The dials that are to be made again.
#[derive(Default)]
pub struct Dials {
    postponed: BTreeMap<ConnectionId, Dial>,
    /// How often a dial has been postponed since the start.
    pub count: u64,
}

impl Dials {
    pub fn postpone(&mut self, id: ConnectionId, dial: Dial) {
        self.count += 1;
        self.postponed.insert(id, dial);
    }

    /// The dial of this connection, which is to be made now or has been given up.
    pub fn take(&mut self, id: ConnectionId) -> Option<Dial> {
        self.postponed.remove(&id)
    }

    /// A dial that is to be made again.
    pub fn get(&self, id: ConnectionId) -> Option<&Dial> {
        self.postponed.get(&id)
    }

    /// The same, to add to what is to be sent.
    pub fn get_mut(&mut self, id: ConnectionId) -> Option<&mut Dial> {
        self.postponed.get_mut(&id)
    }
}

fn socket(to: SocketAddr) -> io::Result<Socket> {
    let socket = Socket::new(Domain::for_address(to), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_nonblocking(true)?;
    socket.set_tcp_nodelay(true)?;
    Ok(socket)
}

/// Begins a connection.
pub fn dial(to: SocketAddr) -> Dialled {
    let socket = match socket(to) {
        Ok(socket) => socket,
        Err(error) => return Dialled::Postponed(error),
    };
    match socket.connect(&to.into()) {
        Ok(()) => Dialled::Begun(socket),
        Err(error) => match errno::connect(&error) {
            Scope::Call => Dialled::Begun(socket),
            Scope::Host => Dialled::Postponed(error),
            Scope::Connection => Dialled::Failed(socket, error),
        },
    }
}
