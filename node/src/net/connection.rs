//! One connection: its socket, its buffers and the reason why it was closed.
//!
//! This module reads and writes within limits and never interprets the bytes. The owner of a connection does:
//! it is called back through [`ConnectionHandler`] and acts through [`ConnectionDriver`].

use std::io::{self, ErrorKind, Read, Write};
use std::mem::MaybeUninit;
use std::net::{Shutdown, SocketAddr};

use socket2::Socket;
use topazsail::{Id, Micros};

use crate::net::errno;
use crate::net::http::MAX_MESSAGE_BYTES;
use crate::net::receive_times::ReceiveTimes;

/// The number of a connection; numbers are not reused within a process.
pub type ConnectionId = u64;

/// What is at the other end of a connection, which also selects its handler.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionRole {
    /// A client that sends invocations.
    Client,
    /// A runner that receives forwards, probes and cancels.
    Runner,
    /// Discovery, which sends the list of runners.
    Roster,
    /// A staff member or tool on the admin listener.
    Operator,
    /// The other process of an upgrade, on a Unix socket.
    Peer,
}

impl ConnectionRole {
    /// The name in log lines.
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

/// Why a connection was closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// The other end has closed it.
    PeerClosed,
    /// The connection was reset, or failed in another way.
    Reset,
    /// The network path failed: the other end may be healthy and unaware of it.
    PathLost,
    /// The dial was refused: no process listens at that address.
    Refused,
    /// The dial was not completed in time.
    DialTimeout,
    /// Accepted, but no request came in time.
    Silent,
    /// Idle for longer than the idle timeout.
    Idle,
    /// Closed to make room for a new connection, while no answer was outstanding on it.
    MadeRoom,
    /// Closed after its last response, as either end had announced.
    AnsweredLast,
    /// The other end sent something that is not a valid message.
    BadInput,
    /// A request did not arrive completely in time.
    SlowRequest,
    /// The other end did not read what was sent to it in time.
    SlowReader,
    /// A forward was given up before its 202.
    GivenUp,
    /// No response came in time.
    NoAnswer,
    /// The response was not valid.
    BadAnswer,
    /// Found closed, or holding bytes that belong to no request, when it was to be reused.
    Stale,
    /// The runner is no longer listed, or has another address.
    Unlisted,
    /// The watch on discovery was silent for too long.
    WatchSilent,
    /// The watch on discovery was replaced by another one.
    WatchReplaced,
    /// Closed for its buffers, as all connections together held too much.
    MemoryShort,
    /// Closed because this process is shutting down or has handed over.
    Terminated,
}

impl CloseReason {
    /// The reason in log lines.
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
            CloseReason::MemoryShort => "memory_short",
            CloseReason::Terminated => "terminated",
        }
    }
}

/// What to do when a timer fires.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Timer {
    /// Call [`ConnectionHandler::timer_fired`] of the connection's owner.
    Connection(ConnectionId),
    /// Close a connection on which [`ConnectionDriver::finish`] was called, even if output is still unsent.
    Finish(ConnectionId),
    /// Answer an invocation whose client stops waiting now.
    Invocation(Id),
    /// Retry the cancel of an invocation, with the number of that cancel.
    Cancel(Id, u32),
    /// Call the routing policy, which has only this timer.
    RoutingPolicy,
    /// Retry reading the configuration after the host failed to.
    Reload,
    /// Retry registering a connection with the poller.
    Register(ConnectionId),
    /// Retry a dial that the host could not start.
    Redial(ConnectionId),
    /// Resume accepting on the listener of this role.
    ResumeAccepting(ConnectionRole),
    /// The next step of a shutdown.
    Shutdown,
    /// Check whether the pause in sending work to cold runners is over.
    ColdRunnerPause,
    /// Check whether the lease on the list of runners has expired.
    Lease,
    /// Report ready, even if discovery has not answered since the start.
    ReadinessTimeout,
    /// End a stage of recovery that has used up its time.
    RecoveryStage,
    /// Start a round of messages to the other dispatchers.
    PeerRound,
    /// Store the list of runners, which has changed.
    Persist,
    /// Answer an operator whose call the disk has not stored in time, by the number of that write.
    PersistTimeout(u64),
    /// Check the time in the state machine of an upgrade.
    Upgrade,
}

/// Callbacks to the owner of connections.
pub trait ConnectionHandler {
    /// A dialled connection is established.
    fn connected(&mut self, connection: ConnectionId, driver: &mut dyn ConnectionDriver);
    /// Bytes were received. The handler removes from `input` what it has processed; the rest is passed again
    /// later.
    fn received(&mut self, connection: ConnectionId, input: &mut Vec<u8>, driver: &mut dyn ConnectionDriver);
    /// The other end has closed the connection, or it was never established. `unsent` says that some of the
    /// output was not written; `input` holds what was not processed. Not called when the owner itself closes
    /// the connection.
    fn closed(
        &mut self,
        connection: ConnectionId,
        reason: CloseReason,
        unsent: bool,
        input: &[u8],
        driver: &mut dyn ConnectionDriver,
    );
    /// A [`Timer::Connection`] set by [`ConnectionDriver::set_timer`] has fired.
    fn timer_fired(&mut self, connection: ConnectionId, driver: &mut dyn ConnectionDriver);
    /// Whether the unprocessed input is not needed for the request or answer that is in progress.
    fn has_surplus_input(&self, _connection: ConnectionId) -> bool {
        false
    }
    /// All connections together hold too much, and this one most: its buffers have to be emptied.
    fn release_buffers(&mut self, _connection: ConnectionId, _driver: &mut dyn ConnectionDriver) {}
}

/// Identifies a timer that can be cancelled: when it fires, and its number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TimerKey {
    pub at: Micros,
    pub serial: u64,
}

/// What the connections of a process hold at the moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BufferUse {
    /// Bytes in the buffers of all connections.
    pub bytes: usize,
    /// How often a connection's buffers were released since the start, as all together held too much.
    pub released: u64,
    /// Timers that are set.
    pub timers: usize,
}

/// Counts of system calls that the host failed transiently since the start; each call was retried.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HostFailures {
    /// Failed accepts.
    pub accepts: u64,
    /// Dials that could not be started.
    pub dials: u64,
    /// Failed reads from connections.
    pub reads: u64,
}

impl HostFailures {
    /// The counts with their metric names.
    pub fn metrics(self) -> [(&'static str, u64); 3] {
        [
            ("host_failed_accepts", self.accepts),
            ("host_failed_dials", self.dials),
            ("host_failed_reads", self.reads),
        ]
    }
}

/// What owners of connections can do with the event loop.
pub trait ConnectionDriver {
    /// The time at which this iteration of the loop began, in microseconds of Unix time.
    fn now(&self) -> Micros;
    /// The current time, read from the clock now; [`ConnectionDriver::now`] stays the same within an
    /// iteration.
    fn clock(&self) -> Micros {
        self.now()
    }
    /// Transient failures of system calls since the start.
    fn host_failures(&self) -> HostFailures {
        HostFailures::default()
    }
    /// What the connections hold.
    fn buffer_use(&self) -> BufferUse {
        BufferUse::default()
    }
    /// The earliest time at which bytes that are read now may have arrived. That is well before
    /// [`ConnectionDriver::now`] if this process was not scheduled for a while.
    fn readable_since(&self) -> Micros {
        self.now()
    }
    /// The earliest time at which the first unprocessed byte of this connection may have arrived.
    fn received_since(&self, _connection: ConnectionId) -> Micros {
        self.readable_since()
    }
    /// The number of open connections of all roles.
    fn connection_count(&self) -> usize;
    /// Closes the oldest lingering client connection (its last response is written, and only the client's
    /// close is still awaited). False if there is none.
    fn close_oldest_lingering(&mut self) -> bool;
    /// Starts to open a connection; [`ConnectionHandler::connected`] or [`ConnectionHandler::closed`]
    /// follows.
    fn dial(&mut self, to: SocketAddr, role: ConnectionRole) -> ConnectionId;
    /// Whether the host has not yet been able to start this dial, so that nothing is known about the other
    /// end.
    fn is_dial_postponed(&self, _connection: ConnectionId) -> bool {
        false
    }
    /// Queues bytes and writes as many of them as the socket takes now. Before the connection is established
    /// they wait.
    fn send(&mut self, connection: ConnectionId, bytes: &[u8]);
    /// Whether an idle connection can be reused: it is open and nothing was received on it.
    fn is_reusable(&mut self, connection: ConnectionId) -> bool;
    /// Whether the other end has closed it, though its end has not been read yet.
    fn peer_has_closed(&self, _connection: ConnectionId) -> bool {
        false
    }
    /// Whether some queued bytes have not been written yet.
    fn has_unsent(&self, connection: ConnectionId) -> bool;
    /// Whether input beyond the limit was discarded, so that what follows cannot be parsed.
    fn has_overflowed(&self, _connection: ConnectionId) -> bool {
        false
    }
    /// Discards the unprocessed input and all that still arrives, as if it were beyond the limit.
    fn discard_input(&mut self, _connection: ConnectionId) {}
    /// Calls [`ConnectionHandler::received`] again with the unprocessed input, even if no more bytes arrive.
    fn process_again(&mut self, connection: ConnectionId);
    /// Closes the connection as soon as all queued bytes are written.
    fn finish(&mut self, connection: ConnectionId, reason: CloseReason);
    /// Closes the connection now and drops unsent bytes; also gives up a dial.
    fn abort(&mut self, connection: ConnectionId, reason: CloseReason);
    /// Has a timer fire at `at` (Unix time in microseconds). It cannot be cancelled.
    fn set_timer(&mut self, timer: Timer, at: Micros);
    /// Like [`ConnectionDriver::set_timer`], for a timer that need not fire any more once its subject is gone.
    fn set_cancellable_timer(&mut self, timer: Timer, at: Micros) -> TimerKey;
    /// Cancels a timer; does nothing if it has fired.
    fn cancel_timer(&mut self, key: TimerKey);
    /// Sends a datagram to another dispatcher; it may be lost.
    fn send_datagram(&mut self, _to: SocketAddr, _bytes: &[u8]) {}
}

/// The close reason of a failed dial. Only a refusal proves that no process listens at the address.
pub fn connect_failure(error: &io::Error) -> CloseReason {
    match error.kind() {
        ErrorKind::ConnectionRefused => CloseReason::Refused,
        ErrorKind::TimedOut => CloseReason::DialTimeout,
        _ => CloseReason::Reset,
    }
}

/// The close reason of an established connection on which a read or write failed.
fn failure_reason(error: &io::Error) -> CloseReason {
    if errno::is_path_lost(error) { CloseReason::PathLost } else { CloseReason::Reset }
}

/// The most attempts at one peek while the host fails it transiently.
const MAX_PEEK_ATTEMPTS: usize = 16;

/// What the next read would return.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Peeked {
    Nothing,
    Bytes,
    Ended,
    /// The host failed every attempt.
    Unknown,
}

/// Input buffers grow by this fraction at least, and keep no more to spare.
const SPARE_INPUT_DIVISOR: usize = 4;
/// An input buffer is not made smaller than this.
const MIN_INPUT_CAPACITY: usize = 4 << 10;

/// A socket with its buffers and state.
pub struct Connection {
    /// The non-blocking socket.
    pub stream: Socket,
    /// What is at the other end.
    pub role: ConnectionRole,
    /// The address of the other end.
    pub peer: SocketAddr,
    /// The dial has not been completed.
    pub dialling: bool,
    /// Set once the connection is to be closed after all output is written: the reason for it.
    pub finishing: Option<CloseReason>,
    /// Our direction is shut down and only the other end's close is awaited. Closing at once could make the
    /// kernel send a reset, by which the other end would lose the last response.
    pub lingering: bool,
    /// When the connection was accepted or dialled.
    pub opened_at: Micros,
    /// Bytes received and not yet processed by the owner.
    pub input: Vec<u8>,
    /// How often the host failed to read, transiently.
    pub failed_reads: u64,
    /// The earliest time at which bytes may have arrived that the host has failed to read, if the last read
    /// failed.
    unread_since: Option<Micros>,
    /// When the bytes in `input` may have arrived.
    pub receive_times: ReceiveTimes,
    output: Vec<u8>,
    /// How much of `output` has been written.
    written: usize,
    /// Bytes were discarded because `input` was full of unprocessed ones.
    has_overflowed: bool,
    /// Its part in the sum of all connections' buffers.
    pub accounted_bytes: usize,
    /// The interest (reading, writing) that is registered with the poller. `None` until a registration has
    /// succeeded.
    pub registered_interest: Option<(bool, bool)>,
}

impl Connection {
    /// A connection with empty buffers, not yet registered with the poller.
    pub fn new(
        stream: Socket,
        role: ConnectionRole,
        peer: SocketAddr,
        dialling: bool,
        opened_at: Micros,
    ) -> Connection {
        Connection {
            stream,
            role,
            peer,
            dialling,
            finishing: None,
            lingering: false,
            opened_at,
            input: Vec::new(),
            failed_reads: 0,
            unread_since: None,
            receive_times: ReceiveTimes::default(),
            output: Vec::new(),
            written: 0,
            has_overflowed: false,
            accounted_bytes: 0,
            registered_interest: None,
        }
    }

    /// Which events of the connection the poller is to report: readable, writable.
    pub fn interest(&self) -> (bool, bool) {
        // Clients are read without limit, or their close would not be noticed; input beyond the limit is
        // discarded.
        let may_read = self.input.len() < MAX_MESSAGE_BYTES || self.role == ConnectionRole::Client;
        (!self.dialling && (self.lingering || may_read), self.dialling || self.has_unsent())
    }

    /// Bytes of memory that it holds.
    pub fn buffer_bytes(&self) -> usize {
        size_of::<Connection>()
            + self.input.capacity()
            + self.output.capacity()
            + self.receive_times.buffer_bytes()
    }

    /// Makes room for more input, with little to spare: what is reserved counts as held.
    fn reserve_input(&mut self, bytes: usize) {
        if self.input.capacity() - self.input.len() < bytes {
            self.input.reserve_exact(bytes.max(self.input.len() / SPARE_INPUT_DIVISOR));
        }
    }

    /// Takes back the input that the owner has not processed.
    pub fn keep_input(&mut self, mut input: Vec<u8>) {
        let needed = input.len() + input.len() / SPARE_INPUT_DIVISOR;
        input.shrink_to(needed.max(MIN_INPUT_CAPACITY));
        self.input = input;
    }

    /// Discards the input, and all that still arrives.
    pub fn discard_input(&mut self) {
        self.has_overflowed = true;
        self.input = Vec::new();
        self.receive_times = ReceiveTimes::default();
    }

    /// Whether input was discarded.
    pub fn has_overflowed(&self) -> bool {
        self.has_overflowed
    }

    /// Whether some output has not been written.
    pub fn has_unsent(&self) -> bool {
        self.written < self.output.len()
    }

    /// Appends to the output.
    pub fn queue(&mut self, bytes: &[u8]) {
        self.output.extend_from_slice(bytes);
    }

    /// Writes as much output as the socket takes.
    ///
    /// # Errors
    ///
    /// The connection has failed.
    pub fn flush(&mut self) -> Result<(), CloseReason> {
        while self.has_unsent() && !self.dialling {
            match self.stream.write(&self.output[self.written..]) {
                Ok(0) => return Err(CloseReason::Reset),
                Ok(written) => self.written += written,
                // The poller reports when the socket is writable again.
                Err(error) if errno::classify_transfer_error(&error).is_transient() => return Ok(()),
                Err(error) => return Err(failure_reason(&error)),
            }
        }
        if !self.has_unsent() {
            self.output.clear();
            self.output.shrink_to(4 << 10);
            self.written = 0;
        }
        Ok(())
    }

    /// Reads up to one buffer of input, which may have arrived as early as `since`, and returns the number of
    /// bytes. The poller reports again if there is more.
    ///
    /// # Errors
    ///
    /// The other end has closed the connection, or the connection has failed.
    pub fn read(&mut self, scratch: &mut [u8], since: Micros) -> Result<usize, CloseReason> {
        let read = self.stream.read(scratch);
        let is_transient = |error: &io::Error| {
            error.kind() != ErrorKind::WouldBlock && errno::classify_transfer_error(error).is_transient()
        };
        let failed = read.as_ref().is_err_and(is_transient);
        self.failed_reads += u64::from(failed);
        // Bytes that the host fails to read now may have arrived at `since`; the next successful read returns
        // them.
        let since = self.unread_since.map_or(since, |unread| unread.min(since));
        self.unread_since = failed.then_some(since);
        match read {
            Ok(0) => Err(CloseReason::PeerClosed),
            Ok(read) if self.lingering => Ok(read),
            Ok(read) if self.has_overflowed || self.input.len() >= MAX_MESSAGE_BYTES => {
                self.has_overflowed = true;
                Ok(read)
            }
            Ok(read) => {
                self.reserve_input(read);
                self.input.extend_from_slice(&scratch[..read]);
                self.receive_times.record(read, since);
                Ok(read)
            }
            Err(error) if errno::classify_transfer_error(&error).is_transient() => Ok(0),
            Err(error) => Err(failure_reason(&error)),
        }
    }

    /// The result of a dial of which the poller has reported completion.
    ///
    /// # Errors
    ///
    /// The dial has failed.
    pub fn dial_result(&self) -> Result<(), CloseReason> {
        match self.stream.take_error() {
            Ok(None) => Ok(()),
            Ok(Some(error)) | Err(error) => Err(connect_failure(&error)),
        }
    }

    /// Whether there is no input, read or unread, and the other end has not closed the connection.
    pub fn is_reusable(&self) -> bool {
        self.input.is_empty() && self.peek() == Peeked::Nothing
    }

    /// Whether the other end has closed the connection. A close behind unread bytes is not visible.
    pub fn peer_has_closed(&self) -> bool {
        self.peek() == Peeked::Ended
    }

    /// What the next read would return.
    fn peek(&self) -> Peeked {
        for _ in 0..MAX_PEEK_ATTEMPTS {
            match self.stream.peek(&mut [MaybeUninit::uninit()]) {
                Ok(0) => return Peeked::Ended,
                Ok(_) => return Peeked::Bytes,
                Err(error) if error.kind() == ErrorKind::WouldBlock => return Peeked::Nothing,
                Err(error) if !errno::classify_transfer_error(&error).is_transient() => return Peeked::Ended,
                Err(_) => {}
            }
        }
        Peeked::Unknown
    }

    /// Shuts down our direction and drops the input; what still arrives is discarded until the other end
    /// closes.
    pub fn linger(&mut self) {
        self.lingering = true;
        self.input = Vec::new();
        // An error here means that the other end is gone, which the next read reports.
        let _ = self.stream.shutdown(Shutdown::Write);
    }
}
