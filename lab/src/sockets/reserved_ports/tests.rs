//! Tests of the reserved ports.

use std::net::{Ipv4Addr, SocketAddr};
use std::os::fd::AsFd;

use socket2::{Domain, Socket, Type};

use super::ReservedPort;

/// Listens as a dispatcher does.
fn listen(address: SocketAddr) -> std::io::Result<Socket> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_reuse_port(true)?;
    socket.bind(&address.into())?;
    socket.listen(1)?;
    Ok(socket)
}

/// Guards against a dispatcher that ends with "Address already in use": a child that is being started beside it
/// holds a copy of all sockets of the lab until its exec.
#[test]
fn a_reserved_port_can_be_listened_on_while_a_child_holds_a_copy_of_the_reservation() {
    let reserved = ReservedPort::at(Ipv4Addr::LOCALHOST).unwrap();
    let copy = reserved._socket.as_fd().try_clone_to_owned().unwrap();
    let first_start = listen(reserved.address).unwrap();
    drop(first_start);
    listen(reserved.address).unwrap();
    drop(copy);
}

/// Each reservation has a port of its own.
#[test]
fn ports_are_reserved_once() {
    let reserved: Vec<ReservedPort> =
        (0..200).map(|_| ReservedPort::at(Ipv4Addr::LOCALHOST).unwrap()).collect();
    let mut addresses: Vec<SocketAddr> = reserved.iter().map(|port| port.address).collect();
    addresses.sort_unstable();
    addresses.dedup();
    assert_eq!(addresses.len(), reserved.len());
}
