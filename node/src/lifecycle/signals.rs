//! Delivers signals to the event loop: a flag, which cannot be lost, and a pipe that wakes the loop.

use std::io::{self, Read};
use std::os::unix::net::UnixStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use crate::lifecycle::transient_retry::retry_while;
use crate::net::errno;

/// One handled signal. If the handler's write to the pipe fails, the loop finds the flag in its next
/// iteration.
pub struct Signal {
    raised: Arc<AtomicBool>,
    /// The read end of the pipe.
    wake_stream: UnixStream,
}

impl Signal {
    /// Handles this signal from now on.
    ///
    /// # Errors
    ///
    /// The pipe cannot be created, or the handler cannot be registered.
    pub fn new(signal: i32) -> io::Result<Signal> {
        let (wake_stream, handler_stream) =
            retry_while(|error| errno::classify_open_error(error).is_transient(), UnixStream::pair)?;
        wake_stream.set_nonblocking(true)?;
        let raised = Arc::new(AtomicBool::new(false));
        // Handlers run in the order of registration: the flag is set before the loop is woken.
        signal_hook::flag::register(signal, raised.clone())?;
        signal_hook::low_level::pipe::register(signal, handler_stream)?;
        Ok(Signal { raised, wake_stream })
    }

    /// The stream that becomes readable when the signal arrives.
    pub fn wake_stream(&self) -> &UnixStream {
        &self.wake_stream
    }

    /// Empties the pipe, so that it does not wake the loop until the next signal.
    pub fn drain(&self) {
        let mut bytes = [0; 64];
        while (&self.wake_stream).read(&mut bytes).is_ok_and(|read| read > 0) {}
    }

    /// Whether the signal has arrived, once or more, since the last call; clears the flag.
    pub fn take(&self) -> bool {
        self.raised.swap(false, Ordering::AcqRel)
    }
}
