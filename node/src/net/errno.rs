//! What an error of a system call is about, and so what is to be done: the one place that knows error numbers.
//!
//! Each function covers one group of calls, by what Linux documents for them. An error of the host passes: the call is
//! made again later, and nothing is concluded about the connection or its other end.

use std::io;

/// What an error is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// Nothing has failed: a signal came, or the call would have had to wait.
    Call,
    /// This process or its host lacks something now: descriptors, memory, ports, a route.
    Host,
    /// The connection or its other end.
    Connection,
}

impl Scope {
    /// Whether the call may succeed when it is made again.
    pub fn is_transient(self) -> bool {
        self != Scope::Connection
    }
}

/// A shortage that every call which opens or grows something may meet.
const SHORTAGES: [i32; 4] = [libc::EMFILE, libc::ENFILE, libc::ENOBUFS, libc::ENOMEM];

/// Whether descriptors or memory were short, so that ending a connection may help.
pub fn is_shortage(error: &io::Error) -> bool {
    error.raw_os_error().is_some_and(|code| SHORTAGES.contains(&code))
}

fn scope(error: &io::Error, of_call: &[i32], of_host: &[i32]) -> Scope {
    match error.raw_os_error() {
        Some(code) if of_call.contains(&code) => Scope::Call,
        Some(code) if SHORTAGES.contains(&code) || of_host.contains(&code) => Scope::Host,
        _ => Scope::Connection,
    }
}

/// `accept`. Errors that were pending on the new connection are passed on by this call: they are about that one.
pub fn accept(error: &io::Error) -> Scope {
    scope(error, &[libc::EAGAIN, libc::EINTR], &[])
}

/// `socket`, `bind`, `listen`, the poller's calls, threads: there is no other end yet.
pub fn open(error: &io::Error) -> Scope {
    scope(error, &[libc::EINTR], &[libc::EAGAIN, libc::ENOSPC])
}

/// `connect`. Without a port or a route of our own nothing has been heard of the other end; an interrupted call goes on
/// by itself.
pub fn connect(error: &io::Error) -> Scope {
    scope(
        error,
        &[libc::EINPROGRESS, libc::EINTR],
        &[libc::EAGAIN, libc::EADDRNOTAVAIL, libc::ENETUNREACH, libc::ENETDOWN],
    )
}

/// `recv` and `send` on a connection that is up.
pub fn transfer(error: &io::Error) -> Scope {
    scope(error, &[libc::EAGAIN, libc::EINTR], &[])
}

/// Whether the way to the other end was lost, while that end may be well and know nothing of it.
pub fn is_path_lost(error: &io::Error) -> bool {
    matches!(error.raw_os_error(), Some(libc::ETIMEDOUT | libc::EHOSTUNREACH | libc::ENETUNREACH))
}

/// Reading a file that was there, and writing one: the disk may work again.
pub fn file(error: &io::Error) -> Scope {
    scope(error, &[libc::EINTR], &[libc::EIO, libc::ENOSPC, libc::EDQUOT, libc::EROFS, libc::EAGAIN])
}
