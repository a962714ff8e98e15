//! Upgrades: how one process takes over from another that serves at the same address.
//!
//! This module owns the Unix socket on which the two processes connect, the transfer of the state on it, and
//! the connection that remains between them. It does not decide when to start or stop serving, and waits for
//! the other process only at the start, for at most [`HANDOVER_TIMEOUT`].

use std::io::{self, IoSlice, IoSliceMut, Read};
use std::mem::MaybeUninit;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::{AsFd, OwnedFd};
use std::os::unix::fs::PermissionsExt;
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};
use std::{env, fs};

use rustix::net::{
    RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer, SendAncillaryMessage,
    SendFlags, recvmsg, sendmsg,
};
use serde::Serialize;

use crate::net::connection::{CloseReason, ConnectionDriver, ConnectionHandler, ConnectionId};
use crate::net::log::log;

mod messages;

pub use messages::{HandoverMessage, HandoverState};

/// How long a starting process waits for the serving one.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(1);
/// The longest accepted line: the state, or a message after it, of which a list of runners is the longest.
const MAX_LINE_BYTES: usize = 8 << 20;
/// The version of the protocol, sent together with the descriptor. Other versions are rejected.
const PROTOCOL_VERSION: u8 = b'1';

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

/// Requests a hand-over from the serving process. `None` if there is none or the hand-over fails, which is
/// logged.
pub fn request_handover(path: &Path) -> Option<Inherited> {
    let received = match UnixStream::connect(path) {
        Err(error) if error.kind() == io::ErrorKind::NotFound => return None,
        connected => connected.and_then(receive_handover),
    };
    received.inspect_err(|error| log!("handover-failed", "reason={:?}", error.to_string())).ok()
}

/// Receives the listener and the state.
fn receive_handover(mut stream: UnixStream) -> io::Result<Inherited> {
    let deadline = Instant::now() + HANDOVER_TIMEOUT;
    let set_read_timeout = |stream: &UnixStream| {
        let left = deadline.saturating_duration_since(Instant::now());
        stream.set_read_timeout(Some(left.max(Duration::from_millis(1))))
    };
    set_read_timeout(&stream)?;
    let mut version = [0];
    let mut control_buffer = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut control = RecvAncillaryBuffer::new(&mut control_buffer);
    recvmsg(&stream, &mut [IoSliceMut::new(&mut version)], &mut control, RecvFlags::CMSG_CLOEXEC)?;
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
            return Err(invalid("the state did not come whole"));
        }
    };
    let following_bytes = text.split_off(length + 1);
    let state = serde_json::from_slice(&text)?;
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
    /// Messages received and not yet processed by the request table.
    pub incoming: Vec<HandoverMessage>,
    /// The connection has been closed; reset by the request table when it has handled that.
    pub ended: bool,
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
    }

    /// Sends the state or a message as one line of JSON, if there is a connection.
    pub fn send(&self, message: &impl Serialize, driver: &mut dyn ConnectionDriver) {
        let Some(connection) = self.connection else { return };
        let Ok(mut line) = serde_json::to_vec(message) else { return };
        line.push(b'\n');
        driver.send(connection, &line);
    }

    /// Records the end of the connection for the request table, and logs why it ended.
    fn disconnected(&mut self, why: &str) {
        log!("handover-ended", "reason={why}");
        (self.connection, self.ended) = (None, true);
    }
}

impl ConnectionHandler for HandoverPeer {
    fn connected(&mut self, _: ConnectionId, _: &mut dyn ConnectionDriver) {}

    fn received(&mut self, connection: ConnectionId, input: &mut Vec<u8>, driver: &mut dyn ConnectionDriver) {
        self.unparsed.append(input);
        let mut parsed = 0;
        while let Some(length) = self.unparsed[parsed..].iter().position(|byte| *byte == b'\n') {
            match serde_json::from_slice(&self.unparsed[parsed..parsed + length]) {
                Ok(message) => self.incoming.push(message),
                // Possibly a message of another version; later messages that can be read are still processed.
                Err(error) => log!("handover-unread", "reason={:?}", error.to_string()),
            }
            parsed += length + 1;
        }
        drop(self.unparsed.drain(..parsed));
        if self.unparsed.len() > MAX_LINE_BYTES {
            driver.abort(connection, CloseReason::BadInput);
            self.disconnected("line_too_long");
        }
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
            self.disconnected(reason.code());
        }
    }

    fn timer_fired(&mut self, _: ConnectionId, _: &mut dyn ConnectionDriver) {}
}
