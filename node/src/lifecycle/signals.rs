//! Signals that the loop hears: a flag that cannot be lost, and a pipe that wakes the loop for it.

use std::io::{self, Read};
use std::os::unix::net::UnixStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use crate::lifecycle::transient_retry::retry_while;
use crate::net::errno;

/// One signal. Where the write to its pipe fails, the loop finds the flag at its next turn.
pub struct Signal {
    raised: Arc<AtomicBool>,
    wakes: UnixStream,
}

impl Signal {
    /// Hears this signal from now on.
    ///
    /// # Errors
    ///
    /// The pipe or the handler is not to be had.
    pub fn new(signal: i32) -> io::Result<Signal> {
        let (wakes, writes) = retry_while(|error| errno::open(error).is_transient(), UnixStream::pair)?;
        wakes.set_nonblocking(true)?;
        let raised = Arc::new(AtomicBool::new(false));
        // Handlers run in this order: who is woken finds the flag.
        signal_hook::flag::register(signal, raised.clone())?;
        signal_hook::low_level::pipe::register(signal, writes)?;
        Ok(Signal { raised, wakes })
    }

    /// What becomes readable with the signal.
    pub fn wakes(&self) -> &UnixStream {
        &self.wakes
    }

    /// Empties the pipe, so that it wakes nobody until the next signal.
    pub fn drain(&self) {
        let mut bytes = [0; 64];
        while (&self.wakes).read(&mut bytes).is_ok_and(|read| read > 0) {}
    }

    /// Whether it has come since this was last asked, once or more.
    pub fn take(&self) -> bool {
        self.raised.swap(false, Ordering::AcqRel)
    }
}
