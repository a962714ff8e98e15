//! Upgrades: how one process takes over from another that serves at the same address.
//!
//! This module owns the Unix socket on which the two processes connect, the transfer of the state on it, and
//! the connection that remains between them. It does not decide when to start or stop serving (`topazsail_upgrade`
//! does), and waits for the other process only at the start: for at most [`HANDOVER_TIMEOUT`], and for
//! [`BUSY_TIMEOUT`] while that one is in another upgrade.

use std::io::{self, IoSlice, IoSliceMut, Read, Write};
use std::mem::MaybeUninit;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::{AsFd, OwnedFd};
use std::os::unix::fs::PermissionsExt;
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};
use std::thread::sleep;
use std::time::{Duration, Instant};
use std::{env, fs};

use rustix::net::{
    RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer, SendAncillaryMessage,
    SendFlags, recvmsg, sendmsg,
};
use serde::Serialize;
use topazsail_upgrade::{Message, Refusal};

use crate::net::connection::{CloseReason, ConnectionDriver, ConnectionHandler, ConnectionId};
use crate::net::log::log;

mod messages;

pub use messages::{HandoverMessage, HandoverState};

/// How long a starting process waits for the serving one to answer.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a starting process asks again while the serving one is in another upgrade.
const BUSY_TIMEOUT: Duration = Duration::from_secs(4);
/// The pause before it asks again.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// How long it waits for a connection to a listener of this host.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);
/// The longest accepted line: the state, or a message after it, of which a list of runners is the longest.
const MAX_LINE_BYTES: usize = 8 << 20;
/// The version of the protocol, sent together with the descriptor. Other versions are rejected.
const PROTOCOL_VERSION: u8 = b'1';
/// What a process that does not hand over sends instead of the version, without a descriptor.
const REFUSED_BUSY: u8 = b'B';
const REFUSED_SHUTTING_DOWN: u8 = b'S';

/// The path of the Unix socket for hand-overs of the process that serves at this address. `None` if `TMPDIR`
/// is not set, since the process then has no folder of its own for the socket.
pub fn socket_path(listen: SocketAddr) -> Option<PathBuf> {
    let folder = env::var_os("TMPDIR").filter(|folder| !folder.is_empty())?;
    Some(Path::new(&folder).join(format!("topazsail-{listen}.sock")))
}

/// What a starting process has received from the serving one.
pub struct Inherited {
    /// The listener for clients.
    pub listener: TcpListener,
    /// The connection to the other process.
    pub stream: UnixStream,
    /// The state of the other process.
    pub state: HandoverState,
    /// Bytes of messages that followed the state; the other process sends messages as soon as it has handed
    /// over.
    pub following_bytes: Vec<u8>,
}

/// What has come of a request for a hand-over.
pub enum Requested {
    /// The state of the process that serves.
    Inherited(Box<Inherited>),
    /// No process serves, or it is shutting down.
    NotServed,
    /// A process may serve, but has not handed over. The reason has been logged.
    Failed,
    /// A process serves and is in an upgrade with another one: this one must not serve beside it.
    Busy,
}

/// Why a hand-over was not received.
enum RequestError {
    Io(io::Error),
    Refused(Refusal),
}

impl From<io::Error> for RequestError {
    fn from(error: io::Error) -> RequestError {
        RequestError::Io(error)
    }
}

/// Requests a hand-over from the process that serves at `listen`: again while that is in another upgrade, and while
/// some process has the listener but none answers at the path, as the one that did has just ended.
pub fn request_handover(path: &Path, listen: SocketAddr) -> Requested {
    let started = Instant::now();
    loop {
        let connected = UnixStream::connect(path);
        // No file, or that of a process that was killed.
        let is_unanswered = connected.as_ref().is_err_and(|error| {
            matches!(error.kind(), io::ErrorKind::NotFound | io::ErrorKind::ConnectionRefused)
        });
        if is_unanswered && !is_listening(listen) {
            return Requested::NotServed;
        }
        let patience = if is_unanswered { HANDOVER_TIMEOUT } else { BUSY_TIMEOUT };
        match connected.map_err(RequestError::Io).and_then(receive_handover) {
            Ok(inherited) => return Requested::Inherited(Box::new(inherited)),
            Err(RequestError::Refused(Refusal::ShuttingDown)) => {
                log!("handover-failed", "reason=\"the other process is shutting down\"");
                return Requested::NotServed;
            }
            Err(RequestError::Io(error)) if !is_unanswered || started.elapsed() >= patience => {
                log!("handover-failed", "reason={:?}", error.to_string());
                return Requested::Failed;
            }
            Err(RequestError::Refused(Refusal::Busy)) if started.elapsed() >= patience => {
                return Requested::Busy;
            }
            Err(_) => sleep(RETRY_INTERVAL),
        }
    }
}

/// Whether some process has a listener at this address.
fn is_listening(listen: SocketAddr) -> bool {
    match TcpStream::connect_timeout(&listen, CONNECT_TIMEOUT) {
        Ok(_) => true,
        // The accept queue of a process that does not accept is full.
        Err(error) => error.kind() == io::ErrorKind::TimedOut,
    }
}

/// Receives the listener and the state.
fn receive_handover(mut stream: UnixStream) -> Result<Inherited, RequestError> {
    // A process that refuses may have closed the connection already: its answer is read all the same.
    let _ = stream.write_all(&encode(&HandoverMessage::Upgrade(Message::Hello)));
    let deadline = Instant::now() + HANDOVER_TIMEOUT;
    let set_read_timeout = |stream: &UnixStream| {
        let left = deadline.saturating_duration_since(Instant::now());
        stream.set_read_timeout(Some(left.max(Duration::from_millis(1))))
    };
    set_read_timeout(&stream)?;
    let mut version = [0];
    let mut control_buffer = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut control = RecvAncillaryBuffer::new(&mut control_buffer);
    recvmsg(&stream, &mut [IoSliceMut::new(&mut version)], &mut control, RecvFlags::CMSG_CLOEXEC)
        .map_err(io::Error::from)?;
    match version[0] {
        REFUSED_BUSY => return Err(RequestError::Refused(Refusal::Busy)),
        REFUSED_SHUTTING_DOWN => return Err(RequestError::Refused(Refusal::ShuttingDown)),
        _ => {}
    }
    let descriptor: Option<OwnedFd> = control.drain().find_map(|message| match message {
        RecvAncillaryMessage::ScmRights(mut descriptors) => descriptors.next(),
        _ => None,
    });
    let invalid = |what: &str| io::Error::new(io::ErrorKind::InvalidData, what.to_owned());
    let listener = TcpListener::from(
        descriptor.filter(|_| version == [PROTOCOL_VERSION]).ok_or_else(|| invalid("no listener"))?,
    );
    let (mut text, mut buffer) = (Vec::new(), vec![0; 64 << 10]);
    let length = loop {
        if let Some(length) = text.iter().position(|byte| *byte == b'\n') {
            break length;
        }
        set_read_timeout(&stream)?;
        let read = stream.read(&mut buffer)?;
        text.extend_from_slice(&buffer[..read]);
        if read == 0 || text.len() > MAX_LINE_BYTES || Instant::now() > deadline {
            return Err(invalid("the state did not come whole").into());
        }
    };
    let following_bytes = text.split_off(length + 1);
    let state = serde_json::from_slice(&text).map_err(io::Error::from)?;
    stream.set_nonblocking(true)?;
    Ok(Inherited { listener, stream, state, following_bytes })
}

/// Listens for a successor at this path. A socket file that is already there is removed: the process that
/// created it has ended, or has handed over and gets no further request.
///
/// # Errors
///
/// The old file cannot be removed, or the socket cannot be opened.
pub fn bind_successor_socket(path: &Path) -> io::Result<UnixListener> {
    match fs::remove_file(path) {
        Err(error) if error.kind() != io::ErrorKind::NotFound => return Err(error),
        _ => {}
    }
    let listener = UnixListener::bind(path)?;
    fs::set_permissions(path, fs::Permissions::from_mode(0o600))?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

/// Accepts the connection of a starting process. None if there is none, or if it runs under another user.
///
/// # Errors
///
/// A system call fails.
pub fn accept_successor(listener: &UnixListener) -> io::Result<Option<UnixStream>> {
    let stream = match listener.accept() {
        Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(None),
        accepted => accepted?.0,
    };
    stream.set_nonblocking(true)?;
    let is_own = rustix::net::sockopt::socket_peercred(&stream)?.uid == rustix::process::geteuid();
    Ok(is_own.then_some(stream))
}

/// Tells a starting process that nothing is handed over.
///
/// # Errors
///
/// The connection fails.
pub fn refuse_successor(mut stream: &UnixStream, refusal: Refusal) -> io::Result<()> {
    let answer = match refusal {
        Refusal::Busy => REFUSED_BUSY,
        Refusal::ShuttingDown => REFUSED_SHUTTING_DOWN,
    };
    stream.write_all(&[answer])
}

/// The state or a message as one line of JSON; empty if it cannot be encoded.
fn encode(message: &impl Serialize) -> Vec<u8> {
    let Ok(mut line) = serde_json::to_vec(message) else { return Vec::new() };
    line.push(b'\n');
    line
}

/// Sends the listener to a successor; the state follows on the same connection as ordinary bytes.
///
/// # Errors
///
/// The connection fails.
pub fn send_listener(stream: &UnixStream, listener: &TcpListener) -> io::Result<()> {
    stream.set_nonblocking(true)?;
    let mut control_buffer = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut control = SendAncillaryBuffer::new(&mut control_buffer);
    let descriptors = [listener.as_fd()];
    control.push(SendAncillaryMessage::ScmRights(&descriptors));
    sendmsg(stream, &[IoSlice::new(&[PROTOCOL_VERSION])], &mut control, SendFlags::empty())?;
    Ok(())
}

/// The connection to the other process of an upgrade.
#[derive(Default)]
pub struct HandoverPeer {
    connection: Option<ConnectionId>,
    /// Received bytes that have not been parsed; between two calls, the start of a line.
    unparsed: Vec<u8>,
    /// The rest of the line at hand is discarded, as it is too long.
    is_discarding: bool,
    /// Messages received and not yet processed by the request table.
    pub incoming: Vec<HandoverMessage>,
    /// The connection has been closed; reset by the request table when it has handled that.
    pub ended: bool,
    /// The number of lines that were no message of this version, or too long.
    pub unread: u64,
}

impl HandoverPeer {
    /// The connection to another process, if there is one.
    pub fn connection(&self) -> Option<ConnectionId> {
        self.connection
    }

    /// Uses this connection from now on.
    pub fn attach(&mut self, connection: ConnectionId) {
        self.connection = Some(connection);
        self.unparsed.clear();
        self.is_discarding = false;
    }

    /// Sends the state or a message, if there is a connection.
    pub fn send(&self, message: &impl Serialize, driver: &mut dyn ConnectionDriver) {
        if let Some(connection) = self.connection {
            driver.send(connection, &encode(message));
        }
    }

    /// Closes the connection once all messages are sent.
    pub fn disconnect(&mut self, driver: &mut dyn ConnectionDriver) {
        if let Some(connection) = self.connection.take() {
            driver.finish(connection, CloseReason::Terminated);
        }
    }

    /// Reads one line.
    fn read_line(&mut self, line: &[u8]) {
        match serde_json::from_slice(line) {
            Ok(message) => self.incoming.push(message),
            // Possibly a message of another version; later messages that can be read are still processed.
            Err(error) => self.count_unread(&error.to_string()),
        }
    }

    /// Counts a line that cannot be read; only the first one is logged.
    fn count_unread(&mut self, reason: &str) {
        self.unread += 1;
        if self.unread == 1 {
            log!("handover-unread", "reason={reason:?}");
        }
    }
}

impl ConnectionHandler for HandoverPeer {
    fn connected(&mut self, _: ConnectionId, _: &mut dyn ConnectionDriver) {}

    fn received(&mut self, _: ConnectionId, input: &mut Vec<u8>, _: &mut dyn ConnectionDriver) {
        self.unparsed.append(input);
        let mut unparsed = std::mem::take(&mut self.unparsed);
        let mut parsed = 0;
        while let Some(length) = unparsed[parsed..].iter().position(|byte| *byte == b'\n') {
            if !std::mem::take(&mut self.is_discarding) {
                self.read_line(&unparsed[parsed..parsed + length]);
            }
            parsed += length + 1;
        }
        drop(unparsed.drain(..parsed));
        if unparsed.len() > MAX_LINE_BYTES && !self.is_discarding {
            self.is_discarding = true;
            self.count_unread("line too long");
        }
        if self.is_discarding {
            unparsed.clear();
        }
        self.unparsed = unparsed;
    }

    fn closed(
        &mut self,
        connection: ConnectionId,
        reason: CloseReason,
        _: bool,
        _: &[u8],
        _: &mut dyn ConnectionDriver,
    ) {
        if self.connection == Some(connection) {
            log!("handover-ended", "reason={}", reason.code());
            (self.connection, self.ended) = (None, true);
        }
    }

    fn timer_fired(&mut self, _: ConnectionId, _: &mut dyn ConnectionDriver) {}
}
