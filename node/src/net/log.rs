//! Writes log lines: `log!(code, ...)` writes a code followed by `name=value` pairs.
//!
//! Limits the lines of each code per second. Logging never fails and never blocks on a lock held elsewhere;
//! callers must not pass what a client sent unescaped.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt;
use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// The most lines of one code per second, so that a flood of bad input does not fill the disk that holds the
/// log.
const MAX_LINES_PER_SECOND: u32 = 100;

/// The lines of one code in the current second, including those that were held back.
struct LineCount {
    second_began: Instant,
    lines: u32,
}

thread_local! {
    static LINE_COUNTS: RefCell<BTreeMap<&'static str, LineCount>> = const { RefCell::new(BTreeMap::new()) };
}

/// Counts a line of this code. Returns whether it may be written and, if it is the first of a new second, how
/// many lines were held back in the second before (0 otherwise).
pub fn admit(code: &'static str) -> (bool, u32) {
    LINE_COUNTS.with_borrow_mut(|counts| {
        let now = Instant::now();
        let count = counts.entry(code).or_insert(LineCount { second_began: now, lines: 0 });
        let mut held_back = 0;
        if now.duration_since(count.second_began) >= Duration::from_secs(1) {
            held_back = count.lines.saturating_sub(MAX_LINES_PER_SECOND);
            *count = LineCount { second_began: now, lines: 0 };
        }
        count.lines += 1;
        (count.lines <= MAX_LINES_PER_SECOND, held_back)
    })
}

/// The number of lines that could not be written since the start.
static LOST_LINES: AtomicU64 = AtomicU64::new(0);

/// Writes one line to standard error in a single write. A line that cannot be written is counted and
/// otherwise ignored.
pub fn write(line: fmt::Arguments) {
    let line = format!("{line}\n");
    if io::stderr().write_all(line.as_bytes()).is_err() {
        LOST_LINES.fetch_add(1, Ordering::Relaxed);
    }
}

/// The number of lines that could not be written since the start.
pub fn lost_lines() -> u64 {
    LOST_LINES.load(Ordering::Relaxed)
}

/// Writes a log line: a code, then `name=value` pairs in the syntax of `format!`.
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
