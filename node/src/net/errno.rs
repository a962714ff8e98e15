//! Classifies errors of system calls by what they are about. No other module knows error numbers.
//!
//! Each classifying function covers one group of calls and is named after it, following what Linux documents
//! for them. An error of the host is transient: the call is retried later, and nothing is concluded about the
//! connection or its other end.

use std::io;

/// What an error is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// Nothing has failed: a signal interrupted the call, or it would have blocked.
    Call,
    /// This process or its host is short of something: descriptors, memory, ports, a route.
    Host,
    /// The connection or its other end.
    Connection,
}

impl Scope {
    /// Whether the call may succeed when it is retried.
    pub fn is_transient(self) -> bool {
        self != Scope::Connection
    }
}

/// Shortages that any call which opens or grows something can report.
const SHORTAGES: [i32; 4] = [libc::EMFILE, libc::ENFILE, libc::ENOBUFS, libc::ENOMEM];

/// Whether descriptors or memory were short, so that closing a connection may help.
pub fn is_shortage(error: &io::Error) -> bool {
    error.raw_os_error().is_some_and(|code| SHORTAGES.contains(&code))
}

/// Classifies an error by the numbers that are about the call and about the host, besides shortages.
fn classify(error: &io::Error, of_call: &[i32], of_host: &[i32]) -> Scope {
    match error.raw_os_error() {
        Some(code) if of_call.contains(&code) => Scope::Call,
        Some(code) if SHORTAGES.contains(&code) || of_host.contains(&code) => Scope::Host,
        _ => Scope::Connection,
    }
}

/// Classifies errors of `accept`. This call also reports errors pending on the new connection, which are
/// about that connection.
pub fn classify_accept_error(error: &io::Error) -> Scope {
    classify(error, &[libc::EAGAIN, libc::EINTR], &[])
}

/// Classifies errors of `socket`, `bind`, `listen`, of the poller and of starting threads, where there is no
/// other end yet.
pub fn classify_open_error(error: &io::Error) -> Scope {
    classify(error, &[libc::EINTR], &[libc::EAGAIN, libc::ENOSPC])
}

/// Classifies errors of `connect`. Lacking a local port or a route says nothing about the other end; an
/// interrupted call continues by itself.
pub fn classify_connect_error(error: &io::Error) -> Scope {
    classify(
        error,
        &[libc::EINPROGRESS, libc::EINTR],
        &[libc::EAGAIN, libc::EADDRNOTAVAIL, libc::ENETUNREACH, libc::ENETDOWN],
    )
}

/// Classifies errors of `recv` and `send` on an established connection.
pub fn classify_transfer_error(error: &io::Error) -> Scope {
    classify(error, &[libc::EAGAIN, libc::EINTR], &[])
}

/// Whether the network path to the other end failed, while that end may be healthy and unaware of it.
pub fn is_path_lost(error: &io::Error) -> bool {
    matches!(error.raw_os_error(), Some(libc::ETIMEDOUT | libc::EHOSTUNREACH | libc::ENETUNREACH))
}

/// Classifies errors of reading an existing file and of writing one: the disk may work again later.
pub fn classify_file_error(error: &io::Error) -> Scope {
    classify(error, &[libc::EINTR], &[libc::EIO, libc::ENOSPC, libc::EDQUOT, libc::EROFS, libc::EAGAIN])
}
