//! Operators' calls: one line to a connection, one answer, then the end.
//!
//! It owns who is calling and how long a call may take to come. It must never carry a call out by itself, nor
//! keep anybody waiting for a caller that says nothing.

use std::collections::BTreeSet;

use topazsail::Micros;

use crate::net::connection::{CloseReason, ConnectionDriver, ConnectionHandler, ConnectionId, Timer};
use crate::net::log::log;

/// A call must be whole by then; some callers send half of one and stay.
const CALL_WITHIN: Micros = 5_000_000;
const LINE_MOST: usize = 512;
/// Callers that there may be at least, however few descriptors there are.
const CALLERS_LEAST: usize = 16;

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    Status,
    Stats,
    /// Take a runner out, or back in.
    Maintain {
        id: String,
        out: bool,
    },
}

/// The call that a line makes, or why it is none.
fn call(line: &str) -> Result<Call, &'static str> {
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

#[derive(Default)]
pub struct Operators {
    /// Those who have not yet made a whole call.
    calling: BTreeSet<ConnectionId>,
    most: usize,
    pub events: Vec<(ConnectionId, Call)>,
}

impl Operators {
    pub fn set_limits(&mut self, sockets: usize) {
        self.most = (sockets / 16).max(CALLERS_LEAST);
    }

    /// Sees that one more can be let in: whoever has been here longest without a whole call goes.
    pub fn make_room(&mut self, driver: &mut dyn ConnectionDriver) {
        while self.calling.len() >= self.most {
            let Some(connection) = self.calling.pop_first() else { return };
            driver.abort(connection, CloseReason::MadeRoom);
        }
    }

    pub fn accepted(&mut self, connection: ConnectionId, driver: &mut dyn ConnectionDriver) {
        self.calling.insert(connection);
        driver.set_timer(Timer::Connection(connection), driver.now() + CALL_WITHIN);
    }

    pub fn answer(&mut self, connection: ConnectionId, text: &str, driver: &mut dyn ConnectionDriver) {
        driver.send(connection, text.as_bytes());
        driver.finish(connection, CloseReason::AnsweredLast);
    }

    fn refuse(&mut self, connection: ConnectionId, why: &str, driver: &mut dyn ConnectionDriver) {
        log!("bad-call", "link={connection} reason={why:?}");
        self.answer(connection, &format!("NO {why}\n"), driver);
    }
}

impl ConnectionHandler for Operators {
    fn up(&mut self, _: ConnectionId, _: &mut dyn ConnectionDriver) {}

    fn bytes(&mut self, connection: ConnectionId, input: &mut Vec<u8>, driver: &mut dyn ConnectionDriver) {
        if !self.calling.contains(&connection) {
            return input.clear();
        }
        let end = input.iter().position(|byte| *byte == b'\n');
        if end.is_none() && input.len() <= LINE_MOST {
            return;
        }
        self.calling.remove(&connection);
        let line = end.filter(|end| *end <= LINE_MOST).map(|end| std::str::from_utf8(&input[..end]));
        let call = match line {
            Some(Ok(line)) => call(line),
            Some(Err(_)) => Err("no text"),
            None => Err("the line is too long"),
        };
        input.clear();
        match call {
            Ok(call) => self.events.push((connection, call)),
            Err(why) => self.refuse(connection, why, driver),
        }
    }

    fn ended(
        &mut self,
        connection: ConnectionId,
        _: CloseReason,
        _: bool,
        _: &[u8],
        _: &mut dyn ConnectionDriver,
    ) {
        self.calling.remove(&connection);
    }

    fn timer_fired(&mut self, connection: ConnectionId, driver: &mut dyn ConnectionDriver) {
        if self.calling.remove(&connection) {
            driver.abort(connection, CloseReason::SlowRequest);
        }
    }
}
