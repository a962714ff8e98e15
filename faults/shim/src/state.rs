//! The state of the shim: the plan, the number of calls so far, and the endpoint of each descriptor.

use std::ffi::c_int;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU8, AtomicU64, Ordering};

use libc::timespec;
use topazsail_faults::{Call, Effect, Endpoint, PLAN_VARIABLE, Plan};

use crate::real::real;

/// The number of descriptors whose endpoint is recorded; higher ones count as `Endpoint::Any`.
const MAX_DESCRIPTORS: usize = 65_536;
/// The number of variants of [`Call`].
const CALL_VARIANTS: usize = 10;
const MILLISECONDS_PER_SECOND: i64 = 1_000;
const NANOSECONDS_PER_MILLISECOND: i64 = 1_000_000;
/// The exit code of a process whose plan cannot be parsed.
const BAD_PLAN_EXIT_CODE: i32 = 64;

/// The state of the shim in this process.
pub struct State {
    plan: Plan,
    /// The monotonic clock when the state was created, in milliseconds.
    started_ms: u64,
    /// The number of calls so far, by [`Call`].
    counts: [AtomicU64; CALL_VARIANTS],
    /// The [`Endpoint`] of each descriptor, by its number.
    endpoints: Vec<AtomicU8>,
}

/// The monotonic clock in milliseconds.
fn monotonic_ms() -> u64 {
    let mut time = timespec { tv_sec: 0, tv_nsec: 0 };
    let real_clock_gettime = real!(clock_gettime: fn(libc::clockid_t, *mut timespec) -> c_int);
    // SAFETY: the pointer is to a `timespec` that the call may fill.
    unsafe { real_clock_gettime(libc::CLOCK_MONOTONIC, &raw mut time) };
    (time.tv_sec * MILLISECONDS_PER_SECOND + time.tv_nsec / NANOSECONDS_PER_MILLISECOND) as u64
}

/// Moves a time by a number of milliseconds, which may be negative.
pub fn shift_time(time: &mut timespec, milliseconds: i64) {
    let nanoseconds =
        time.tv_nsec + milliseconds.rem_euclid(MILLISECONDS_PER_SECOND) * NANOSECONDS_PER_MILLISECOND;
    let nanoseconds_per_second = MILLISECONDS_PER_SECOND * NANOSECONDS_PER_MILLISECOND;
    time.tv_sec +=
        milliseconds.div_euclid(MILLISECONDS_PER_SECOND) + nanoseconds.div_euclid(nanoseconds_per_second);
    time.tv_nsec = nanoseconds.rem_euclid(nanoseconds_per_second);
}

/// Writes a line to standard error with the real `write`, so that no fault applies to it.
fn write_to_stderr(line: &str) {
    let real_write = real!(write: fn(c_int, *const std::ffi::c_void, usize) -> isize);
    // SAFETY: the line outlives the call.
    unsafe { real_write(libc::STDERR_FILENO, line.as_ptr().cast(), line.len()) };
}

impl State {
    /// Returns the state of this process. The first call creates it, and exits with [`BAD_PLAN_EXIT_CODE`] if
    /// the plan cannot be parsed.
    pub fn get() -> &'static State {
        static STATE: OnceLock<State> = OnceLock::new();
        STATE.get_or_init(|| {
            let text = std::env::var(PLAN_VARIABLE).unwrap_or_default();
            let plan = if text.is_empty() { Ok(Plan::default()) } else { Plan::parse(&text) };
            let plan = plan.unwrap_or_else(|error| {
                write_to_stderr(&format!("{error}\n"));
                // SAFETY: `_exit` has no preconditions.
                unsafe { libc::_exit(BAD_PLAN_EXIT_CODE) }
            });
            State {
                plan,
                started_ms: monotonic_ms(),
                counts: Default::default(),
                endpoints: (0..MAX_DESCRIPTORS).map(|_| AtomicU8::new(Endpoint::Any as u8)).collect(),
            }
        })
    }

    /// Milliseconds since the state was created.
    fn elapsed_ms(&self) -> u64 {
        monotonic_ms() - self.started_ms
    }

    /// Counts a call and returns the effect that the plan has on it, if any. Writes a log line for an
    /// injected error.
    pub fn next_effect(&self, call: Call, endpoint: Endpoint) -> Option<Effect> {
        let nth = self.counts[call as usize].fetch_add(1, Ordering::Relaxed);
        let at_ms = self.elapsed_ms();
        let effect = self.plan.effect(call, endpoint, nth, at_ms);
        // Short transfers are not logged, because a plan may cause many of them.
        if let Some(Effect::Errno(errno)) = effect {
            write_to_stderr(&format!(
                "fault call={call:?} effect={} nth={nth} at_ms={at_ms}\n",
                errno.name()
            ));
        }
        effect
    }

    /// Returns the endpoint that was recorded for a descriptor.
    pub fn endpoint(&self, descriptor: c_int) -> Endpoint {
        let endpoint = usize::try_from(descriptor).ok().and_then(|index| self.endpoints.get(index));
        match endpoint.map(|endpoint| endpoint.load(Ordering::Relaxed)) {
            Some(endpoint) if endpoint == Endpoint::Dialled as u8 => Endpoint::Dialled,
            Some(endpoint) if endpoint == Endpoint::Accepted as u8 => Endpoint::Accepted,
            _ => Endpoint::Any,
        }
    }

    /// Records the endpoint of a descriptor that the process has opened.
    pub fn set_endpoint(&self, descriptor: c_int, endpoint: Endpoint) {
        if let Some(recorded) = usize::try_from(descriptor).ok().and_then(|index| self.endpoints.get(index)) {
            recorded.store(endpoint as u8, Ordering::Relaxed);
        }
    }

    /// Milliseconds by which the wall clock is shifted now.
    pub fn clock_offset_ms(&self) -> i64 {
        self.plan.clock_offset_ms(self.elapsed_ms())
    }
}
