//! The one way to write a log line: `log!(code, ...)`, a code first and `name=value` pairs after it.
//!
//! It owns how many lines of a code may be written in a second. It must never fail, block on a lock held
//! elsewhere, or print what a client sent unescaped.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt;
use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// Lines of one code in a second: a flood of bad input is not to fill the disk of whoever keeps the log.
const MOST: u32 = 100;

struct Second {
    began: Instant,
    lines: u32,
}

thread_local! {
    static SECONDS: RefCell<BTreeMap<&'static str, Second>> = const { RefCell::new(BTreeMap::new()) };
}

/// Whether one more line of this code may be written, and how many were held back in its last full second.
pub fn admit(code: &'static str) -> (bool, u32) {
    SECONDS.with_borrow_mut(|seconds| {
        let now = Instant::now();
        let second = seconds.entry(code).or_insert(Second { began: now, lines: 0 });
        let mut held_back = 0;
        if now.duration_since(second.began) >= Duration::from_secs(1) {
            held_back = second.lines.saturating_sub(MOST);
            *second = Second { began: now, lines: 0 };
        }
        second.lines += 1;
        (second.lines <= MOST, held_back)
    })
}

/// Lines that could not be written since the start.
static LOST: AtomicU64 = AtomicU64::new(0);

/// Writes one line to standard error, in one piece. A log that cannot be written is counted and stops nothing.
pub fn write(line: fmt::Arguments) {
    let line = format!("{line}\n");
    if io::stderr().write_all(line.as_bytes()).is_err() {
        LOST.fetch_add(1, Ordering::Relaxed);
    }
}

/// How many lines could not be written since the start.
pub fn lost_lines() -> u64 {
    LOST.load(Ordering::Relaxed)
}

macro_rules! log {
    ($code:expr, $($about:tt)*) => {{
        let (is_admitted, held_back) = $crate::net::log::admit($code);
        if held_back > 0 {
            $crate::net::log::write(format_args!("held-back code={} lines={held_back}", $code));
        }
        if is_admitted {
            $crate::net::log::write(format_args!("{} {}", $code, format_args!($($about)*)));
        }
    }};
}
pub(crate) use log;
