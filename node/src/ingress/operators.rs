//! Operators' calls: one line per connection, one answer, then the close.
//!
//! Tracks the connections whose call is not yet complete, and their timeout. It does not carry out calls, and
//! silent callers do not block others.

use std::collections::BTreeSet;

use topazsail::Micros;

use crate::net::connection::{CloseReason, ConnectionDriver, ConnectionHandler, ConnectionId, Timer};
use crate::net::log::log;

/// Time to receive a complete call, in microseconds; some callers send half of one and keep the connection
/// open.
const CALL_TIMEOUT: Micros = 5_000_000;
/// Maximum length of a call, in bytes.
const MAX_LINE_BYTES: usize = 512;
/// Minimum for the limit on incomplete calls, however few descriptors there are.
const MIN_CALLERS: usize = 16;

/// An operator's call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Whether this dispatcher serves.
    Status,
    /// The metrics.
    Stats,
    /// Put a runner into maintenance, or end its maintenance.
    Maintain { id: String, out: bool },
}

/// Parses a call; the error says what was expected.
fn parse_call(line: &str) -> Result<Call, &'static str> {
    let words: Vec<&str> = line.split_ascii_whitespace().collect();
    match words.as_slice() {
        ["status"] => Ok(Call::Status),
        ["stats"] => Ok(Call::Stats),
        ["maint-on", id] => Ok(Call::Maintain { id: id.to_string(), out: true }),
        ["maint-off", id] => Ok(Call::Maintain { id: id.to_string(), out: false }),
        ["status" | "stats", ..] => Err("this call takes no more words"),
        ["maint-on" | "maint-off", ..] => Err("this call takes one runner's id"),
        _ => Err("unknown call; there are: status, stats, maint-on ID, maint-off ID"),
    }
}

/// The connections of operators.
#[derive(Default)]
pub struct Operators {
    /// Connections whose call is not yet complete, the oldest first.
    waiting: BTreeSet<ConnectionId>,
    /// Limit on these connections.
    max_waiting: usize,
    /// Calls that the owner has not processed yet.
    pub events: Vec<(ConnectionId, Call)>,
}

impl Operators {
    /// Sets the limit on incomplete calls for a process that may have this many sockets.
    pub fn set_limits(&mut self, sockets: usize) {
        self.max_waiting = (sockets / 16).max(MIN_CALLERS);
    }

    /// Makes room for one more connection by closing the ones that have waited longest without a complete
    /// call.
    pub fn make_room(&mut self, driver: &mut dyn ConnectionDriver) {
        while self.waiting.len() >= self.max_waiting {
            let Some(connection) = self.waiting.pop_first() else { return };
            driver.abort(connection, CloseReason::MadeRoom);
        }
    }

    /// Adds a connection that has been accepted.
    pub fn accepted(&mut self, connection: ConnectionId, driver: &mut dyn ConnectionDriver) {
        self.waiting.insert(connection);
        driver.set_timer(Timer::Connection(connection), driver.now() + CALL_TIMEOUT);
    }

    /// Sends the answer to a call, and closes the connection.
    pub fn answer(&mut self, connection: ConnectionId, text: &str, driver: &mut dyn ConnectionDriver) {
        driver.send(connection, text.as_bytes());
        driver.finish(connection, CloseReason::AnsweredLast);
    }

    /// Answers a line that is not a valid call, and closes the connection.
    fn refuse(&mut self, connection: ConnectionId, reason: &str, driver: &mut dyn ConnectionDriver) {
        log!("bad-call", "link={connection} reason={reason:?}");
        self.answer(connection, &format!("NO {reason}\n"), driver);
    }
}

impl ConnectionHandler for Operators {
    fn connected(&mut self, _: ConnectionId, _: &mut dyn ConnectionDriver) {}

    fn received(&mut self, connection: ConnectionId, input: &mut Vec<u8>, driver: &mut dyn ConnectionDriver) {
        if !self.waiting.contains(&connection) {
            return input.clear();
        }
        let end = input.iter().position(|byte| *byte == b'\n');
        if end.is_none() && input.len() <= MAX_LINE_BYTES {
            return;
        }
        self.waiting.remove(&connection);
        let line = end.filter(|end| *end <= MAX_LINE_BYTES).map(|end| std::str::from_utf8(&input[..end]));
        let call = match line {
            Some(Ok(line)) => parse_call(line),
            Some(Err(_)) => Err("no text"),
            None => Err("the line is too long"),
        };
        input.clear();
        match call {
            Ok(call) => self.events.push((connection, call)),
            Err(reason) => self.refuse(connection, reason, driver),
        }
    }

    fn closed(
        &mut self,
        connection: ConnectionId,
        _: CloseReason,
        _: bool,
        _: &[u8],
        _: &mut dyn ConnectionDriver,
    ) {
        self.waiting.remove(&connection);
    }

    fn timer_fired(&mut self, connection: ConnectionId, driver: &mut dyn ConnectionDriver) {
        if self.waiting.remove(&connection) {
            driver.abort(connection, CloseReason::SlowRequest);
        }
    }

    fn release_buffers(&mut self, connection: ConnectionId, driver: &mut dyn ConnectionDriver) {
        self.waiting.remove(&connection);
        driver.abort(connection, CloseReason::MemoryShort);
    }
}
