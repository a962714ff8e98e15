//! Patience with the host while a process starts: a call that it fails for a moment is made again.

use std::thread::sleep;
use std::time::{Duration, Instant};

/// How long a start tries a call again; with what follows it is ready well within 10 s.
const START_WITHIN: Duration = Duration::from_secs(4);
/// How long until it is made again.
const AGAIN: Duration = Duration::from_millis(20);

/// Makes a call until it succeeds, fails for a reason that does not pass, or [`START_WITHIN`] is over.
///
/// # Errors
///
/// The last failure of the call.
pub fn retry_while<T, E>(
    passes: impl Fn(&E) -> bool,
    mut call: impl FnMut() -> Result<T, E>,
) -> Result<T, E> {
    let until = Instant::now() + START_WITHIN;
    loop {
        match call() {
            Err(error) if passes(&error) && Instant::now() < until => sleep(AGAIN),
            done => return done,
        }
    }
}
