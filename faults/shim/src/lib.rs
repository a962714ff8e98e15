//! The fault shim: C library functions that fail as the plan in `TOPAZSAIL_FAULT_PLAN` says, and call the
//! real ones otherwise.
//!
//! Loaded with `LD_PRELOAD`. Calls that bypass the C library (the poller's, made by rustix) are not
//! intercepted. Each injected error is written to standard error as a line
//! `fault call=... effect=... nth=... at_ms=...`.

mod real;
mod state;

use std::ffi::{c_char, c_int, c_void};

use libc::{clockid_t, mode_t, off64_t, size_t, sockaddr, socklen_t, ssize_t, timespec};
use topazsail_faults::{Call, Effect, Endpoint};

use crate::real::real;
use crate::state::State;

/// What a C library function returns when it fails.
const FAILED: c_int = -1;
/// The descriptor that the program logs to.
const LOG_DESCRIPTOR: c_int = libc::STDERR_FILENO;

/// Sets `errno` and returns [`FAILED`].
fn fail(code: i32) -> c_int {
    // SAFETY: the pointer is to the `errno` of this thread.
    unsafe { *libc::__errno_location() = code };
    FAILED
}

/// Returns the error that this call fails with, if any. `Effect::Short` does not apply to calls that transfer
/// nothing.
fn injected_errno(call: Call, endpoint: Endpoint) -> Option<i32> {
    match State::get().next_effect(call, endpoint) {
        Some(Effect::Errno(errno)) => Some(errno.code()),
        Some(Effect::Short) | None => None,
    }
}

/// Returns how many bytes this call may transfer, or the error that it fails with.
fn transfer_length(call: Call, descriptor: c_int, length: size_t) -> Result<size_t, i32> {
    match State::get().next_effect(call, State::get().endpoint(descriptor)) {
        Some(Effect::Errno(errno)) => Err(shut_down_if_broken(descriptor, errno.code())),
        Some(Effect::Short) => Ok(length.min(1)),
        None => Ok(length),
    }
}

/// Shuts the socket down if the error means a broken connection, so that later calls find it broken too.
/// Returns the error.
fn shut_down_if_broken(descriptor: c_int, code: i32) -> i32 {
    if matches!(code, libc::ETIMEDOUT | libc::EHOSTUNREACH | libc::ECONNRESET) {
        // SAFETY: the caller passed this descriptor to a call on it.
        unsafe { libc::shutdown(descriptor, libc::SHUT_RDWR) };
    }
    code
}

/// Returns which call a `write` to this descriptor counts as, or `None` if no rule applies to it.
fn call_of_write(descriptor: c_int) -> Option<Call> {
    if descriptor == LOG_DESCRIPTOR {
        return Some(Call::Log);
    }
    // SAFETY: `fstat` fills the structure or returns an error.
    let file_type = unsafe {
        let mut status: libc::stat = std::mem::zeroed();
        (libc::fstat(descriptor, &raw mut status) == 0).then_some(status.st_mode & libc::S_IFMT)
    };
    match file_type {
        Some(libc::S_IFREG) => Some(Call::Write),
        Some(libc::S_IFSOCK) => Some(Call::Send),
        _ => None,
    }
}

/// # Safety
/// As `accept4(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn accept4(
    listener: c_int,
    address: *mut sockaddr,
    length: *mut socklen_t,
    flags: c_int,
) -> c_int {
    let real_accept4 = real!(accept4: fn(c_int, *mut sockaddr, *mut socklen_t, c_int) -> c_int);
    if let Some(code) = injected_errno(Call::Accept, Endpoint::Any) {
        return fail(code);
    }
    let accepted = unsafe { real_accept4(listener, address, length, flags) };
    State::get().set_endpoint(accepted, Endpoint::Accepted);
    accepted
}

/// # Safety
/// As `socket(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    let real_socket = real!(socket: fn(c_int, c_int, c_int) -> c_int);
    if let Some(code) = injected_errno(Call::Socket, Endpoint::Any) {
        return fail(code);
    }
    let opened = unsafe { real_socket(domain, kind, protocol) };
    State::get().set_endpoint(opened, Endpoint::Any);
    opened
}

/// # Safety
/// As `connect(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn connect(socket: c_int, address: *const sockaddr, length: socklen_t) -> c_int {
    State::get().set_endpoint(socket, Endpoint::Dialled);
    let real_connect = real!(connect: fn(c_int, *const sockaddr, socklen_t) -> c_int);
    match injected_errno(Call::Connect, Endpoint::Dialled) {
        // As with the real `EINTR`, the kernel continues to establish the connection.
        Some(libc::EINTR) => {
            unsafe { real_connect(socket, address, length) };
            fail(libc::EINTR)
        }
        Some(code) => fail(code),
        None => unsafe { real_connect(socket, address, length) },
    }
}

/// # Safety
/// As `recv(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn recv(socket: c_int, bytes: *mut c_void, length: size_t, flags: c_int) -> ssize_t {
    let real_recv = real!(recv: fn(c_int, *mut c_void, size_t, c_int) -> ssize_t);
    match transfer_length(Call::Receive, socket, length) {
        Err(code) => fail(code) as ssize_t,
        Ok(length) => unsafe { real_recv(socket, bytes, length, flags) },
    }
}

/// # Safety
/// As `send(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn send(socket: c_int, bytes: *const c_void, length: size_t, flags: c_int) -> ssize_t {
    let real_send = real!(send: fn(c_int, *const c_void, size_t, c_int) -> ssize_t);
    match transfer_length(Call::Send, socket, length) {
        Err(code) => fail(code) as ssize_t,
        Ok(length) => unsafe { real_send(socket, bytes, length, flags) },
    }
}

/// # Safety
/// As `write(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn write(descriptor: c_int, bytes: *const c_void, length: size_t) -> ssize_t {
    let real_write = real!(write: fn(c_int, *const c_void, size_t) -> ssize_t);
    match call_of_write(descriptor).map_or(Ok(length), |call| transfer_length(call, descriptor, length)) {
        Err(code) => fail(code) as ssize_t,
        Ok(length) => unsafe { real_write(descriptor, bytes, length) },
    }
}

/// # Safety
/// As `pwrite(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn pwrite64(
    file: c_int,
    bytes: *const c_void,
    length: size_t,
    offset: off64_t,
) -> ssize_t {
    let real_pwrite64 = real!(pwrite64: fn(c_int, *const c_void, size_t, off64_t) -> ssize_t);
    match transfer_length(Call::Write, file, length) {
        Err(code) => fail(code) as ssize_t,
        Ok(length) => unsafe { real_pwrite64(file, bytes, length, offset) },
    }
}

/// # Safety
/// As `open(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn open64(path: *const c_char, flags: c_int, mode: mode_t) -> c_int {
    let real_open64 = real!(open64: fn(*const c_char, c_int, mode_t) -> c_int);
    if let Some(code) = injected_errno(Call::Open, Endpoint::Any) {
        return fail(code);
    }
    unsafe { real_open64(path, flags, mode) }
}

/// # Safety
/// As `fsync(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn fsync(file: c_int) -> c_int {
    let real_fsync = real!(fsync: fn(c_int) -> c_int);
    match injected_errno(Call::Sync, Endpoint::Any) {
        Some(code) => fail(code),
        None => unsafe { real_fsync(file) },
    }
}

/// # Safety
/// As `fdatasync(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn fdatasync(file: c_int) -> c_int {
    let real_fdatasync = real!(fdatasync: fn(c_int) -> c_int);
    match injected_errno(Call::Sync, Endpoint::Any) {
        Some(code) => fail(code),
        None => unsafe { real_fdatasync(file) },
    }
}

/// # Safety
/// As `rename(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn rename(from: *const c_char, to: *const c_char) -> c_int {
    let real_rename = real!(rename: fn(*const c_char, *const c_char) -> c_int);
    match injected_errno(Call::Rename, Endpoint::Any) {
        Some(code) => fail(code),
        None => unsafe { real_rename(from, to) },
    }
}

/// # Safety
/// As `clock_gettime(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn clock_gettime(clock: clockid_t, time: *mut timespec) -> c_int {
    let real_clock_gettime = real!(clock_gettime: fn(clockid_t, *mut timespec) -> c_int);
    let result = unsafe { real_clock_gettime(clock, time) };
    if result == 0 && matches!(clock, libc::CLOCK_REALTIME | libc::CLOCK_REALTIME_COARSE) {
        let offset_ms = State::get().clock_offset_ms();
        // SAFETY: the successful call has filled `time`.
        unsafe { state::shift_time(&mut *time, offset_ms) };
    }
    result
}
