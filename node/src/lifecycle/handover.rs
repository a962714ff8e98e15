//! Upgrades: how one process takes over from another that serves at the same address.
//!
//! It owns the Unix socket on which they find each other, what is handed over on it, and the connection that
//! stays between them. It must never decide when to stop or start serving, nor wait for the other process but
//! at the start, and there for a second at most.

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
use serde::{Deserialize, Serialize};
use serde_json::Value;
use topazsail::Micros;

use crate::ingress::clients::RunnerCallback;
use crate::net::connection::{CloseReason, ConnectionDriver, ConnectionHandler, ConnectionId};
use crate::net::log::log;

/// How long a starting process waits for the one that serves.
const ASK_WITHIN: Duration = Duration::from_secs(1);
const STATE_MOST: usize = 8 << 20;
const LINE_MOST: usize = 1 << 20;
/// Goes with the descriptor; another one belongs to a form that is not known here.
const FORM: u8 = b'1';

/// What the process that serves knows and its successor must know as well.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct HandoverState {
    /// Where the list comes from, and the list in discovery's own form.
    pub discovery: String,
    #[serde(rename = "list")]
    pub roster: Value,
    /// Until when nothing that discovery could tell can have been missed; 0 where the other process does not say.
    #[serde(default)]
    pub sure_at: Micros,
    /// Connections that are open.
    #[serde(default)]
    pub connections: usize,
    /// Runners that were listed once.
    #[serde(default)]
    pub gone: Vec<String>,
    /// Runners out by hand, since when, and those that have been and are back.
    pub out: Vec<(String, Micros)>,
    pub was_out: Vec<(String, Micros, Micros)>,
    /// Ids that are open or have been answered.
    pub ids: Vec<String>,
    /// The text of the configuration in force.
    pub configuration: String,
    /// What has been sent to cold runners of late.
    #[serde(rename = "spent")]
    pub slow_start_usage: Vec<(String, Vec<(Micros, f64)>)>,
}

/// What the two processes tell each other while both serve.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HandoverMessage {
    /// A call-back for an invocation that is not open here, with the hash of its bytes.
    #[serde(rename = "told")]
    Callback(RunnerCallback, u64),
    /// An operator took a runner out, or back in.
    #[serde(rename = "hand")]
    AdminOverride { id: String, out: bool },
    /// An id that has been taken.
    #[serde(rename = "taken")]
    InvocationTaken(String),
}

/// Where the process that serves at this address is found; nowhere without a folder of its own.
pub fn socket_path(listen: SocketAddr) -> Option<PathBuf> {
    let folder = env::var_os("TMPDIR").filter(|folder| !folder.is_empty())?;
    Some(Path::new(&folder).join(format!("topazsail-{listen}.sock")))
}

/// What a starting process is given.
pub struct Inherited {
    pub listener: TcpListener,
    pub stream: UnixStream,
    pub state: HandoverState,
    /// What the other process has said since: it goes on speaking as soon as it has handed over.
    pub since: Vec<u8>,
}

/// Asks the process that serves, if there is one.
pub fn request_handover(place: &Path) -> Option<Inherited> {
    let stream = UnixStream::connect(place).ok()?;
    let given = take(stream);
    given.inspect_err(|fault| log!("handover-failed", "reason={:?}", fault.to_string())).ok()
}

fn take(mut stream: UnixStream) -> io::Result<Inherited> {
    let until = Instant::now() + ASK_WITHIN;
    let patience = |stream: &UnixStream| {
        let left = until.saturating_duration_since(Instant::now());
        stream.set_read_timeout(Some(left.max(Duration::from_millis(1))))
    };
    patience(&stream)?;
    let mut form = [0];
    let mut room = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut control = RecvAncillaryBuffer::new(&mut room);
    recvmsg(&stream, &mut [IoSliceMut::new(&mut form)], &mut control, RecvFlags::CMSG_CLOEXEC)?;
    let descriptor: Option<OwnedFd> = control.drain().find_map(|message| match message {
        RecvAncillaryMessage::ScmRights(mut descriptors) => descriptors.next(),
        _ => None,
    });
    let bad = |what: &str| io::Error::new(io::ErrorKind::InvalidData, what.to_owned());
    let listener =
        TcpListener::from(descriptor.filter(|_| form == [FORM]).ok_or_else(|| bad("no listener"))?);
    let (mut text, mut some) = (Vec::new(), vec![0; 64 << 10]);
    let length = loop {
        if let Some(length) = text.iter().position(|byte| *byte == b'\n') {
            break length;
        }
        patience(&stream)?;
        let read = stream.read(&mut some)?;
        text.extend_from_slice(&some[..read]);
        if read == 0 || text.len() > STATE_MOST || Instant::now() > until {
            return Err(bad("the state did not come whole"));
        }
    };
    let since = text.split_off(length + 1);
    let state = serde_json::from_slice(&text)?;
    stream.set_nonblocking(true)?;
    Ok(Inherited { listener, stream, state, since })
}

/// Waits for a successor here; whoever was here before has left, or will not be asked at this place again.
pub fn bind_successor_socket(place: &Path) -> io::Result<UnixListener> {
    match fs::remove_file(place) {
        Err(error) if error.kind() != io::ErrorKind::NotFound => return Err(error),
        _ => {}
    }
    let listener = UnixListener::bind(place)?;
    fs::set_permissions(place, fs::Permissions::from_mode(0o600))?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

/// Gives a successor the listener; the state follows on the connection as any other bytes.
pub fn send_listener(stream: &UnixStream, listener: &TcpListener) -> io::Result<()> {
    stream.set_nonblocking(true)?;
    let mut room = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut control = SendAncillaryBuffer::new(&mut room);
    let descriptors = [listener.as_fd()];
    control.push(SendAncillaryMessage::ScmRights(&descriptors));
    sendmsg(stream, &[IoSlice::new(&[FORM])], &mut control, SendFlags::empty())?;
    Ok(())
}

/// The connection to the other process.
#[derive(Default)]
pub struct HandoverPeer {
    connection: Option<ConnectionId>,
    text: Vec<u8>,
    pub incoming: Vec<HandoverMessage>,
    /// It has ended since this was last looked at.
    pub ended: bool,
}

impl HandoverPeer {
    pub fn is_connected(&self) -> bool {
        self.connection.is_some()
    }

    pub fn attach(&mut self, connection: ConnectionId) {
        self.connection = Some(connection);
        self.text.clear();
    }

    pub fn send(&self, word: &impl Serialize, driver: &mut dyn ConnectionDriver) {
        let Some(connection) = self.connection else { return };
        let Ok(mut line) = serde_json::to_vec(word) else { return };
        line.push(b'\n');
        driver.send(connection, &line);
    }

    fn lose(&mut self, why: &str) {
        log!("handover-ended", "reason={why}");
        (self.connection, self.ended) = (None, true);
    }
}

impl ConnectionHandler for HandoverPeer {
    fn connected(&mut self, _: ConnectionId, _: &mut dyn ConnectionDriver) {}

    fn received(&mut self, connection: ConnectionId, input: &mut Vec<u8>, driver: &mut dyn ConnectionDriver) {
        self.text.append(input);
        let mut read = 0;
        while let Some(length) = self.text[read..].iter().position(|byte| *byte == b'\n') {
            match serde_json::from_slice(&self.text[read..read + length]) {
                Ok(word) => self.incoming.push(word),
                // Of another version, perhaps: what can be read goes on being heard.
                Err(error) => log!("handover-unread", "reason={:?}", error.to_string()),
            }
            read += length + 1;
        }
        drop(self.text.drain(..read));
        if self.text.len() > LINE_MOST {
            driver.abort(connection, CloseReason::BadInput);
            self.lose("line_too_long");
        }
    }

    fn closed(
        &mut self,
        connection: ConnectionId,
        end: CloseReason,
        _: bool,
        _: &[u8],
        _: &mut dyn ConnectionDriver,
    ) {
        if self.connection == Some(connection) {
            self.lose(end.code());
        }
    }

    fn timer_fired(&mut self, _: ConnectionId, _: &mut dyn ConnectionDriver) {}
}
