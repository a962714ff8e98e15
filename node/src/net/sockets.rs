//! Opens the sockets on which a process is reached: its listeners, and the socket for datagrams of other
//! dispatchers.

use std::io;
use std::net::{SocketAddr, TcpListener, UdpSocket};

use socket2::{Domain, Protocol, Socket, Type};

/// The length of a listener's accept queue, in connections.
const BACKLOG: i32 = 1024;

/// Opens a non-blocking TCP listener.
///
/// # Errors
///
/// A system call fails, for example because the address is in use.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    // For an upgrade in which the old process cannot hand over its listener and still listens here.
    socket.set_reuse_port(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

/// Opens the non-blocking UDP socket for other dispatchers. The port is shared, since in an upgrade the old
/// process may still have its own socket there for a moment.
///
/// # Errors
///
/// A system call fails, for example because the address is in use.
pub fn bind_datagram_socket(address: SocketAddr) -> io::Result<UdpSocket> {
    let socket = Socket::new(Domain::for_address(address), Type::DGRAM, Some(Protocol::UDP))?;
    socket.set_reuse_port(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    Ok(socket.into())
}
