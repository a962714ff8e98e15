//! The fault shim: C library calls that fail by the plan in `TOPAZSAIL_FAULT_PLAN`, and call the real ones otherwise.
//!
//! Loaded with `LD_PRELOAD`. Calls that bypass the C library (the poller's, by rustix) do not come here. Each fault is
//! written to standard error as a line `fault call=... effect=... nth=... at_ms=...`.

mod real;
mod state;

use std::ffi::{c_char, c_int, c_void};

use libc::{clockid_t, mode_t, off64_t, size_t, sockaddr, socklen_t, ssize_t, timespec};
use topazsail_faults::{Call, Effect, Endpoint};

use crate::real::real;
use crate::state::State;

const FAILED: c_int = -1;
const LOG: c_int = libc::STDERR_FILENO;

fn fail(code: i32) -> c_int {
    // SAFETY: the thread's own errno.
    unsafe { *libc::__errno_location() = code };
    FAILED
}

/// The error that this call fails with, if it is to fail. `Short` says nothing here.
fn errno(call: Call, endpoint: Endpoint) -> Option<i32> {
    match State::get().effect(call, endpoint) {
        Some(Effect::Errno(errno)) => Some(errno.code()),
        Some(Effect::Short) | None => None,
    }
}

/// How many bytes a transfer may move, or the error that it fails with.
fn transfer(call: Call, descriptor: c_int, length: size_t) -> Result<size_t, i32> {
    match State::get().effect(call, State::get().endpoint(descriptor)) {
        Some(Effect::Errno(errno)) => Err(broken(descriptor, errno.code())),
        Some(Effect::Short) => Ok(length.min(1)),
        None => Ok(length),
    }
}

/// An error that tells of a broken connection leaves it broken.
fn broken(descriptor: c_int, code: i32) -> i32 {
    if matches!(code, libc::ETIMEDOUT | libc::EHOSTUNREACH | libc::ECONNRESET) {
        // SAFETY: the caller's own descriptor.
        unsafe { libc::shutdown(descriptor, libc::SHUT_RDWR) };
    }
    code
}

/// Which rules a write to this descriptor falls under.
fn written(descriptor: c_int) -> Option<Call> {
    if descriptor == LOG {
        return Some(Call::Log);
    }
    // SAFETY: `fstat` fills what it is given, or says that it has not.
    let kind = unsafe {
        let mut status: libc::stat = std::mem::zeroed();
        (libc::fstat(descriptor, &raw mut status) == 0).then_some(status.st_mode & libc::S_IFMT)
    };
    match kind {
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
    if let Some(code) = errno(Call::Accept, Endpoint::Any) {
        return fail(code);
    }
    let accepted = unsafe { real_accept4(listener, address, length, flags) };
    State::get().opened(accepted, Endpoint::Accepted);
    accepted
}

/// # Safety
/// As `socket(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    let real_socket = real!(socket: fn(c_int, c_int, c_int) -> c_int);
    if let Some(code) = errno(Call::Socket, Endpoint::Any) {
        return fail(code);
    }
    let opened = unsafe { real_socket(domain, kind, protocol) };
    State::get().opened(opened, Endpoint::Any);
    opened
}

/// # Safety
/// As `connect(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn connect(socket: c_int, address: *const sockaddr, length: socklen_t) -> c_int {
    State::get().opened(socket, Endpoint::Dialled);
    let connect = real!(connect: fn(c_int, *const sockaddr, socklen_t) -> c_int);
    match errno(Call::Connect, Endpoint::Dialled) {
        // As the kernel has it: the connection goes on being established.
        Some(libc::EINTR) => {
            unsafe { connect(socket, address, length) };
            fail(libc::EINTR)
        }
        Some(code) => fail(code),
        None => unsafe { connect(socket, address, length) },
    }
}

/// # Safety
/// As `recv(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn recv(socket: c_int, bytes: *mut c_void, length: size_t, flags: c_int) -> ssize_t {
    let recv = real!(recv: fn(c_int, *mut c_void, size_t, c_int) -> ssize_t);
    match transfer(Call::Receive, socket, length) {
        Err(code) => fail(code) as ssize_t,
        Ok(length) => unsafe { recv(socket, bytes, length, flags) },
    }
}

/// # Safety
/// As `send(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn send(socket: c_int, bytes: *const c_void, length: size_t, flags: c_int) -> ssize_t {
    let send = real!(send: fn(c_int, *const c_void, size_t, c_int) -> ssize_t);
    match transfer(Call::Send, socket, length) {
        Err(code) => fail(code) as ssize_t,
        Ok(length) => unsafe { send(socket, bytes, length, flags) },
    }
}

/// # Safety
/// As `write(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn write(descriptor: c_int, bytes: *const c_void, length: size_t) -> ssize_t {
    let write = real!(write: fn(c_int, *const c_void, size_t) -> ssize_t);
    match written(descriptor).map_or(Ok(length), |call| transfer(call, descriptor, length)) {
        Err(code) => fail(code) as ssize_t,
        Ok(length) => unsafe { write(descriptor, bytes, length) },
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
    let pwrite64 = real!(pwrite64: fn(c_int, *const c_void, size_t, off64_t) -> ssize_t);
    match transfer(Call::Write, file, length) {
        Err(code) => fail(code) as ssize_t,
        Ok(length) => unsafe { pwrite64(file, bytes, length, offset) },
    }
}

/// # Safety
/// As `open(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn open64(path: *const c_char, flags: c_int, mode: mode_t) -> c_int {
    let real_open64 = real!(open64: fn(*const c_char, c_int, mode_t) -> c_int);
    if let Some(code) = errno(Call::Open, Endpoint::Any) {
        return fail(code);
    }
    unsafe { real_open64(path, flags, mode) }
}

/// # Safety
/// As `fsync(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn fsync(file: c_int) -> c_int {
    let real_fsync = real!(fsync: fn(c_int) -> c_int);
    match errno(Call::Sync, Endpoint::Any) {
        Some(code) => fail(code),
        None => unsafe { real_fsync(file) },
    }
}

/// # Safety
/// As `fdatasync(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn fdatasync(file: c_int) -> c_int {
    let real_fdatasync = real!(fdatasync: fn(c_int) -> c_int);
    match errno(Call::Sync, Endpoint::Any) {
        Some(code) => fail(code),
        None => unsafe { real_fdatasync(file) },
    }
}

/// # Safety
/// As `rename(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn rename(from: *const c_char, to: *const c_char) -> c_int {
    let real_rename = real!(rename: fn(*const c_char, *const c_char) -> c_int);
    match errno(Call::Rename, Endpoint::Any) {
        Some(code) => fail(code),
        None => unsafe { real_rename(from, to) },
    }
}

/// # Safety
/// As `clock_gettime(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn clock_gettime(clock: clockid_t, time: *mut timespec) -> c_int {
    let real_clock_gettime = real!(clock_gettime: fn(clockid_t, *mut timespec) -> c_int);
    let told = unsafe { real_clock_gettime(clock, time) };
    if told == 0 && matches!(clock, libc::CLOCK_REALTIME | libc::CLOCK_REALTIME_COARSE) {
        let milliseconds = State::get().clock_offset_ms();
        // SAFETY: the call has just filled it.
        unsafe { state::move_by(&mut *time, milliseconds) };
    }
    told
}
