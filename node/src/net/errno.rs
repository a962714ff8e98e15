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

/// A shortage that every call which opens or grows something may meet.
fn is_shortage(code: i32) -> bool {
    matches!(code, libc::EMFILE | libc::ENFILE | libc::ENOBUFS | libc::ENOMEM)
}

fn scope(error: &io::Error, of_call: &[i32], of_host: &[i32]) -> Scope {
    match error.raw_os_error() {
        Some(code) if of_call.contains(&code) => Scope::Call,
        Some(code) if is_shortage(code) || of_host.contains(&code) => Scope::Host,
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

/// `recv` and `send` on a connection that is up.
pub fn transfer(error: &io::Error) -> Scope {
    scope(error, &[libc::EAGAIN, libc::EINTR], &[])
}
