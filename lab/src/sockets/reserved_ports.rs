//! Ports that are kept free for the dispatchers under test.
//!
//! A reservation is a socket that is bound and never listens, held for the whole run: a dispatcher, which sets
//! `SO_REUSEADDR`, can bind the port and listen at any time, and a copy of the socket in a child process that is just
//! being started does not keep it from doing so.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};

use tokio::net::TcpSocket;

/// A TCP port that no other socket is given, until this is dropped.
pub struct ReservedPort {
    _socket: TcpSocket,
    /// Where the dispatcher is to listen.
    pub address: SocketAddr,
}

impl ReservedPort {
    /// Reserves a free port of `ip`.
    ///
    /// # Errors
    ///
    /// Returns an error if no socket can be bound.
    pub fn at(ip: Ipv4Addr) -> Result<ReservedPort, String> {
        let reserve = || {
            let socket = TcpSocket::new_v4()?;
            socket.set_reuseaddr(true)?;
            socket.bind((ip, 0).into())?;
            let address = socket.local_addr()?;
            io::Result::Ok(ReservedPort { _socket: socket, address })
        };
        reserve().map_err(|error| format!("cannot reserve a port at {ip}: {error}"))
    }
}

#[cfg(test)]
mod tests;
