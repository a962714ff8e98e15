//! The sockets on which a process is reached: its listeners, and where other dispatchers' datagrams come.

use std::io;
use std::net::{SocketAddr, TcpListener, UdpSocket};

use socket2::{Domain, Protocol, Socket, Type};

const BACKLOG: i32 = 1024;

/// A listener for connections.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    // For an upgrade in which the other process cannot hand over its own listener.
    socket.set_reuse_port(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

/// The socket to other dispatchers. In an upgrade the other process may still have its own there for a moment.
pub fn bind_datagram_socket(address: SocketAddr) -> io::Result<UdpSocket> {
    let socket = Socket::new(Domain::for_address(address), Type::DGRAM, Some(Protocol::UDP))?;
    socket.set_reuse_port(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    Ok(socket.into())
}
