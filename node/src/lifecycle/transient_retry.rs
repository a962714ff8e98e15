//! Retries calls that the host fails transiently while a process starts.

use std::thread::sleep;
use std::time::{Duration, Instant};

/// How long a call is retried. With the steps that follow, a start then is ready well within 10 s.
const RETRY_WINDOW: Duration = Duration::from_secs(4);
/// The pause between two attempts.
const RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Repeats a call until it succeeds, fails with an error for which `is_transient` is false, or
/// [`RETRY_WINDOW`] has passed.
///
/// # Errors
///
/// The last error of the call.
pub fn retry_while<T, E>(
    is_transient: impl Fn(&E) -> bool,
    mut call: impl FnMut() -> Result<T, E>,
) -> Result<T, E> {
    let deadline = Instant::now() + RETRY_WINDOW;
    loop {
        match call() {
            Err(error) if is_transient(&error) && Instant::now() < deadline => sleep(RETRY_INTERVAL),
            result => return result,
        }
    }
}
