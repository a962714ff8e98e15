//! One connection: its socket, its buffers, and the reason why it ended.
//!
//! It owns reading, writing and their bounds. It must never look into the bytes; what they mean is for the
//! owner, who is called back through [`ConnectionHandler`] and acts through [`ConnectionDriver`].

use std::io::{self, ErrorKind, Read, Write};
use std::mem::MaybeUninit;
use std::net::{Shutdown, SocketAddr};

use socket2::Socket;
use topazsail::{Id, Micros};

use crate::net::errno;
use crate::net::http::MAX_MESSAGE_BYTES;
use crate::net::receive_times::ReceiveTimes;

/// A connection's number; none is used twice.
pub type ConnectionId = u64;

/// Whose connection it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionRole {
    Client,
    Runner,
    Roster,
    /// Staff, who call where they may.
    Operator,
    /// The other process of an upgrade.
    Peer,
}

impl ConnectionRole {
    pub fn code(self) -> &'static str {
        match self {
            ConnectionRole::Client => "client",
            ConnectionRole::Runner => "runner",
            ConnectionRole::Roster => "roster",
            ConnectionRole::Operator => "operator",
            ConnectionRole::Peer => "peer",
        }
    }
}

/// Why a connection ended; each has its code in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    PeerClosed,
    Reset,
    /// The network has lost it: the other end may be well, and know nothing of that.
    PathLost,
    Refused,
    DialTimeout,
    /// Has come, and asks nothing.
    Silent,
    /// Idle for longer than it is worth its descriptor.
    Idle,
    /// The longest idle, ended for a newcomer.
    MadeRoom,
    /// Ended after its answer, as either side had said.
    AnsweredLast,
    BadInput,
    SlowRequest,
    SlowReader,
    /// A forward was given up before its 202.
    GivenUp,
    NoAnswer,
    BadAnswer,
    /// Found ended, or with bytes that nobody asked for, when it was to be used again.
    Stale,
    /// The runner is gone or has another address.
    Unlisted,
    WatchSilent,
    WatchReplaced,
    Terminated,
}

impl CloseReason {
    pub fn code(self) -> &'static str {
        match self {
            CloseReason::PeerClosed => "peer_closed",
            CloseReason::Reset => "reset",
            CloseReason::PathLost => "path_lost",
            CloseReason::Refused => "refused",
            CloseReason::DialTimeout => "dial_timeout",
            CloseReason::Silent => "silent",
            CloseReason::Idle => "idle",
            CloseReason::MadeRoom => "made_room",
            CloseReason::AnsweredLast => "answered_last",
            CloseReason::BadInput => "bad_input",
            CloseReason::SlowRequest => "slow_request",
            CloseReason::SlowReader => "slow_reader",
            CloseReason::GivenUp => "given_up",
            CloseReason::NoAnswer => "no_answer",
            CloseReason::BadAnswer => "bad_answer",
            CloseReason::Stale => "stale",
            CloseReason::Unlisted => "unlisted",
            CloseReason::WatchSilent => "watch_silent",
            CloseReason::WatchReplaced => "watch_replaced",
            CloseReason::Terminated => "terminated",
        }
    }
}

/// What a due time is for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Timer {
    /// The owner of a connection wants to look at it.
    Connection(ConnectionId),
    /// A connection that is being finished has had its time.
    Finish(ConnectionId),
    /// An invocation's client gives up.
    Invocation(Id),
    /// A cancel is to be tried again.
    Cancel(Id, u32),
    /// The brain's one timer.
    RoutingPolicy,
    /// The configuration, which the host could not read, is read again.
    Reload,
    /// What the poller could not be told of a connection is told again.
    Register(ConnectionId),
    /// A dial that the host kept from beginning is made again.
    Redial(ConnectionId),
    /// Accepting, after it could not go on, those who come to this side.
    ResumeAccepting(ConnectionRole),
    /// A step of going down.
    Shutdown,
    /// Cold runners may have rested for long enough.
    ColdRunnerPause,
    /// The lease on the list may have lapsed.
    Lease,
    /// A start has waited for discovery for long enough.
    ReadinessTimeout,
    /// A stage of recovery has had its time.
    RecoveryStage,
    /// A round of the other dispatchers.
    PeerRound,
    /// What has changed is to be kept.
    Persist,
    /// The disk has had its time to keep what an operator was told of.
    PersistTimeout(u64),
}

/// What the owner of connections is called back for.
pub trait ConnectionHandler {
    /// A dialled connection is up.
    fn connected(&mut self, connection: ConnectionId, driver: &mut dyn ConnectionDriver);
    /// Bytes have come; what is understood is taken out of `input`, the rest stays there.
    fn received(&mut self, connection: ConnectionId, input: &mut Vec<u8>, driver: &mut dyn ConnectionDriver);
    /// The other side has ended it, or it never came up: `unsent` says that not all was written, `input`
    /// holds what was not taken out. An end of the owner's own making is not told.
    fn closed(
        &mut self,
        connection: ConnectionId,
        end: CloseReason,
        unsent: bool,
        input: &[u8],
        driver: &mut dyn ConnectionDriver,
    );
    /// A time asked for by [`ConnectionDriver::set_timer`] has come.
    fn timer_fired(&mut self, connection: ConnectionId, driver: &mut dyn ConnectionDriver);
}

/// System calls that the host failed for a reason that passes, since the start; each was made again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HostFailures {
    pub accepts: u64,
    pub dials: u64,
    pub reads: u64,
}

impl HostFailures {
    /// By their names among the figures.
    pub fn metrics(self) -> [(&'static str, u64); 3] {
        [
            ("host_failed_accepts", self.accepts),
            ("host_failed_dials", self.dials),
            ("host_failed_reads", self.reads),
        ]
    }
}

/// What owners of connections may do.
pub trait ConnectionDriver {
    fn now(&self) -> Micros;
    /// The time at this very moment, where [`ConnectionDriver::now`] is the time at which this turn of the loop began.
    fn clock(&self) -> Micros {
        self.now()
    }
    /// What the host has failed since the start.
    fn host_failures(&self) -> HostFailures {
        HostFailures::default()
    }
    /// Since when what is read now may have been there: long, where this process was not let run meanwhile.
    fn readable_since(&self) -> Micros {
        self.now()
    }
    /// Since when the first byte that the owner of this connection has not taken may have been there.
    fn received_since(&self, _connection: ConnectionId) -> Micros {
        self.readable_since()
    }
    /// How many connections there are, of all sides.
    fn connection_count(&self) -> usize;
    /// Ends the oldest client's connection that only waits for the other side's end, its last answer written.
    fn close_oldest_lingering(&mut self) -> bool;
    /// A new connection, not yet up.
    fn dial(&mut self, to: SocketAddr, role: ConnectionRole) -> ConnectionId;
    /// Whether the host has kept a dial from beginning so far: nothing is known of the other end.
    fn is_dial_postponed(&self, _connection: ConnectionId) -> bool {
        false
    }
    fn send(&mut self, connection: ConnectionId, bytes: &[u8]);
    /// Whether a connection at rest can be used: not ended, and with nothing to read.
    fn is_reusable(&mut self, connection: ConnectionId) -> bool;
    /// Whether the other side has ended it, though that has not been read yet.
    fn peer_has_closed(&self, _connection: ConnectionId) -> bool {
        false
    }
    /// Whether something sent has not yet been written.
    fn has_unsent(&self, connection: ConnectionId) -> bool;
    /// Whether so much has come that some of it was thrown away: what follows makes no sense.
    fn has_overflowed(&self, _connection: ConnectionId) -> bool {
        false
    }
    /// Calls the owner back with what has been read, even if nothing more comes.
    fn process_again(&mut self, connection: ConnectionId);
    /// Ends it as soon as all is written.
    fn finish(&mut self, connection: ConnectionId, end: CloseReason);
    fn abort(&mut self, connection: ConnectionId, end: CloseReason);
    fn set_timer(&mut self, due: Timer, at: Micros);
    /// To another dispatcher; it may get lost.
    fn send_datagram(&mut self, _to: SocketAddr, _bytes: &[u8]) {}
}

/// Why a connection never came up. Only a refusal says that no process listens there.
pub fn connect_failure(error: &io::Error) -> CloseReason {
    match error.kind() {
        ErrorKind::ConnectionRefused => CloseReason::Refused,
        ErrorKind::TimedOut => CloseReason::DialTimeout,
        _ => CloseReason::Reset,
    }
}

/// How a connection that was up has broken.
fn broken(error: &io::Error) -> CloseReason {
    if errno::is_path_lost(error) { CloseReason::PathLost } else { CloseReason::Reset }
}

/// Tries to see what the next read would find, while the host fails them.
const PEEKS: usize = 16;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Peeked {
    Nothing,
    Bytes,
    Ended,
    /// The host has failed every try.
    Unknown,
}

pub struct Connection {
    pub stream: Socket,
    pub role: ConnectionRole,
    pub peer: SocketAddr,
    pub dialling: bool,
    /// Why it ends once all is written.
    pub finishing: Option<CloseReason>,
    /// Our side is shut; only the other side's end is waited for, so that the last answer is not reset away.
    pub lingering: bool,
    pub since: Micros,
    pub input: Vec<u8>,
    /// How often the host has failed to read.
    pub failed_reads: u64,
    /// Since when reading has failed, if the last try did.
    unread_since: Option<Micros>,
    /// When what is in `input` came.
    pub receive_times: ReceiveTimes,
    output: Vec<u8>,
    written: usize,
    /// Bytes were thrown away, as nobody took those before them.
    spilt: bool,
    /// What the poller watches it for: reading, writing; nothing yet where the host has failed that.
    pub watched: Option<(bool, bool)>,
}

impl Connection {
    pub fn new(
        stream: Socket,
        role: ConnectionRole,
        peer: SocketAddr,
        dialling: bool,
        since: Micros,
    ) -> Connection {
        Connection {
            stream,
            role,
            peer,
            dialling,
            finishing: None,
            lingering: false,
            since,
            input: Vec::new(),
            failed_reads: 0,
            unread_since: None,
            receive_times: ReceiveTimes::default(),
            output: Vec::new(),
            written: 0,
            spilt: false,
            watched: None,
        }
    }

    pub fn wants(&self) -> (bool, bool) {
        // A client is read on whatever it sends, or its end would not be seen: what is beyond the bound is thrown away.
        let room = self.input.len() < MAX_MESSAGE_BYTES || self.role == ConnectionRole::Client;
        (!self.dialling && (self.lingering || room), self.dialling || self.has_unsent())
    }

    pub fn has_overflowed(&self) -> bool {
        self.spilt
    }

    pub fn has_unsent(&self) -> bool {
        self.written < self.output.len()
    }

    pub fn queue(&mut self, bytes: &[u8]) {
        self.output.extend_from_slice(bytes);
    }

    /// Writes what the socket takes.
    pub fn flush(&mut self) -> Result<(), CloseReason> {
        while self.has_unsent() && !self.dialling {
            match self.stream.write(&self.output[self.written..]) {
                Ok(0) => return Err(CloseReason::Reset),
                Ok(written) => self.written += written,
                // The poller tells when it may be tried again.
                Err(error) if errno::transfer(&error).is_transient() => return Ok(()),
                Err(error) => return Err(broken(&error)),
            }
        }
        if !self.has_unsent() {
            self.output.clear();
            self.output.shrink_to(4 << 10);
            self.written = 0;
        }
        Ok(())
    }

    /// Reads what there is, up to one buffer's worth, which may have been there since then; the poller tells if there is
    /// more. Says how much there was.
    pub fn read(&mut self, scratch: &mut [u8], since: Micros) -> Result<usize, CloseReason> {
        let read = self.stream.read(scratch);
        let passes = |error: &io::Error| {
            error.kind() != ErrorKind::WouldBlock && errno::transfer(error).is_transient()
        };
        let failed = read.as_ref().is_err_and(passes);
        self.failed_reads += u64::from(failed);
        // What the host fails to read now has been there since then.
        let since = self.unread_since.map_or(since, |unread| unread.min(since));
        self.unread_since = failed.then_some(since);
        match read {
            Ok(0) => Err(CloseReason::PeerClosed),
            Ok(read) if self.lingering => Ok(read),
            Ok(read) if self.input.len() >= MAX_MESSAGE_BYTES => {
                self.spilt = true;
                Ok(read)
            }
            Ok(read) => {
                self.input.extend_from_slice(&scratch[..read]);
                self.receive_times.note(read, since);
                Ok(read)
            }
            Err(error) if errno::transfer(&error).is_transient() => Ok(0),
            Err(error) => Err(broken(&error)),
        }
    }

    /// Whether a dial has come to its end, and how.
    pub fn dialled(&self) -> Result<(), CloseReason> {
        match self.stream.take_error() {
            Ok(None) => Ok(()),
            Ok(Some(error)) | Err(error) => Err(connect_failure(&error)),
        }
    }

    /// Whether nothing has been read or waits to be read, and the other side has not ended it.
    pub fn is_reusable(&self) -> bool {
        self.input.is_empty() && self.peek() == Peeked::Nothing
    }

    /// Whether the other side has ended it. Behind bytes that have not been read its end does not show.
    pub fn peer_has_closed(&self) -> bool {
        self.peek() == Peeked::Ended
    }

    /// What the next read would find.
    fn peek(&self) -> Peeked {
        for _ in 0..PEEKS {
            match self.stream.peek(&mut [MaybeUninit::uninit()]) {
                Ok(0) => return Peeked::Ended,
                Ok(_) => return Peeked::Bytes,
                Err(error) if error.kind() == ErrorKind::WouldBlock => return Peeked::Nothing,
                Err(error) if !errno::transfer(&error).is_transient() => return Peeked::Ended,
                Err(_) => {}
            }
        }
        Peeked::Unknown
    }

    pub fn linger(&mut self) {
        self.lingering = true;
        self.input = Vec::new();
        // An error here means that the other side is gone, which reading will tell.
        let _ = self.stream.shutdown(Shutdown::Write);
    }
}
