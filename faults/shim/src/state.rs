//! The plan of this process, the calls counted so far, and what each descriptor is.

use std::ffi::c_int;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU8, AtomicU64, Ordering};

use libc::timespec;
use topazsail_faults::{Call, Effect, Endpoint, PLAN_VARIABLE, Plan};

use crate::real::real;

const DESCRIPTORS: usize = 65_536;
const CALLS: usize = 10;
const MILLISECONDS_A_SECOND: i64 = 1_000;
const NANOSECONDS_A_MILLISECOND: i64 = 1_000_000;
/// The exit code of a process whose plan cannot be read.
const BAD_PLAN: i32 = 64;

/// All that the shim knows.
pub struct State {
    plan: Plan,
    started_ms: u64,
    counts: [AtomicU64; CALLS],
    endpoints: Vec<AtomicU8>,
}

fn monotonic_ms() -> u64 {
    let mut time = timespec { tv_sec: 0, tv_nsec: 0 };
    let clock_gettime = real!(clock_gettime: fn(libc::clockid_t, *mut timespec) -> c_int);
    // SAFETY: it fills what it is given.
    unsafe { clock_gettime(libc::CLOCK_MONOTONIC, &raw mut time) };
    (time.tv_sec * MILLISECONDS_A_SECOND + time.tv_nsec / NANOSECONDS_A_MILLISECOND) as u64
}

/// Moves a time by so many milliseconds.
pub fn move_by(time: &mut timespec, milliseconds: i64) {
    let nanoseconds =
        time.tv_nsec + milliseconds.rem_euclid(MILLISECONDS_A_SECOND) * NANOSECONDS_A_MILLISECOND;
    let second = MILLISECONDS_A_SECOND * NANOSECONDS_A_MILLISECOND;
    time.tv_sec += milliseconds.div_euclid(MILLISECONDS_A_SECOND) + nanoseconds.div_euclid(second);
    time.tv_nsec = nanoseconds.rem_euclid(second);
}

/// Writes a line to standard error past the shim.
fn say(line: &str) {
    let write = real!(write: fn(c_int, *const std::ffi::c_void, usize) -> isize);
    // SAFETY: the line outlives the call.
    unsafe { write(libc::STDERR_FILENO, line.as_ptr().cast(), line.len()) };
}

impl State {
    /// The one state of this process; a plan that cannot be read ends it.
    pub fn get() -> &'static State {
        static STATE: OnceLock<State> = OnceLock::new();
        STATE.get_or_init(|| {
            let text = std::env::var(PLAN_VARIABLE).unwrap_or_default();
            let plan = if text.is_empty() { Ok(Plan::default()) } else { Plan::parse(&text) };
            let plan = plan.unwrap_or_else(|error| {
                say(&format!("{error}\n"));
                // SAFETY: ends the process.
                unsafe { libc::_exit(BAD_PLAN) }
            });
            State {
                plan,
                started_ms: monotonic_ms(),
                counts: Default::default(),
                endpoints: (0..DESCRIPTORS).map(|_| AtomicU8::new(Endpoint::Any as u8)).collect(),
            }
        })
    }

    fn at_ms(&self) -> u64 {
        monotonic_ms() - self.started_ms
    }

    /// What happens to the call that is being made.
    pub fn effect(&self, call: Call, endpoint: Endpoint) -> Option<Effect> {
        let nth = self.counts[call as usize].fetch_add(1, Ordering::Relaxed);
        let at_ms = self.at_ms();
        let effect = self.plan.effect(call, endpoint, nth, at_ms);
        // A short transfer is no news: there are many.
        if let Some(Effect::Errno(errno)) = effect {
            say(&format!("fault call={call:?} effect={} nth={nth} at_ms={at_ms}\n", errno.name()));
        }
        effect
    }

    /// How the process came by a descriptor.
    pub fn endpoint(&self, descriptor: c_int) -> Endpoint {
        let known = usize::try_from(descriptor).ok().and_then(|at| self.endpoints.get(at));
        match known.map(|known| known.load(Ordering::Relaxed)) {
            Some(kind) if kind == Endpoint::Dialled as u8 => Endpoint::Dialled,
            Some(kind) if kind == Endpoint::Accepted as u8 => Endpoint::Accepted,
            _ => Endpoint::Any,
        }
    }

    /// Notes how the process has come by a descriptor.
    pub fn opened(&self, descriptor: c_int, endpoint: Endpoint) {
        if let Some(known) = usize::try_from(descriptor).ok().and_then(|at| self.endpoints.get(at)) {
            known.store(endpoint as u8, Ordering::Relaxed);
        }
    }

    /// Milliseconds by which the wall clock is off now.
    pub fn clock_offset_ms(&self) -> i64 {
        self.plan.clock_offset_ms(self.at_ms())
    }
}
