//! Starts a serving process: configuration, hand-over from a running process, sockets and store; then runs
//! the event loop until the process ends.

use std::io;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use polling::{Event, PollMode};
use topazsail_store::Disk;

use crate::config::{self, LoadError};
use crate::lifecycle::handover::{self, Requested};
use crate::lifecycle::signals::Signal;
use crate::lifecycle::store_thread::StoreThread;
use crate::lifecycle::transient_retry::retry_while;
use crate::net::connection::{ConnectionDriver, ConnectionRole};
use crate::net::errno;
use crate::net::log::log;
use crate::net::reactor::{FIRST_LISTENER_KEY, Listener, RELOAD_KEY, Reactor, TERMINATE_KEY};
use crate::net::sockets::listen;
use crate::request_table::{RequestTable, SocketChange};

/// How long an ending process waits for the store to be written and closed.
const STORE_CLOSE_TIMEOUT: Duration = Duration::from_millis(500);

/// Opens the disk for a store folder: the real one, or in tests one that fails on purpose.
pub type OpenDisk = fn(&Path) -> io::Result<Box<dyn Disk>>;

/// Locks the folder of the store, so that a folder in use by another process is reported before anything
/// listens. `None` if no store is configured, or if the disk fails transiently and the store is not required:
/// that is no error of the configuration, and the store opens the folder later.
fn lock_store(
    configuration: &config::Configuration,
    open_disk: OpenDisk,
) -> Result<Option<Box<dyn Disk>>, String> {
    let Some(store) = &configuration.store else { return Ok(None) };
    let describe = |error: io::Error| format!("store.folder {}: {error}", store.folder.display());
    if !store.folder.is_dir() {
        return Err(describe(io::Error::new(io::ErrorKind::NotADirectory, "no such folder")));
    }
    let locked = retry_while(
        |error| errno::classify_file_error(error).is_transient(),
        || {
            let mut disk = open_disk(&store.folder)?;
            disk.lock().map(|()| disk)
        },
    );
    match locked {
        Ok(disk) => Ok(Some(disk)),
        // The store thread opens it later.
        Err(error) if !store.require && errno::classify_file_error(&error).is_transient() => Ok(None),
        Err(error) => Err(describe(error)),
    }
}

/// Serves with the configuration in the file `path`, which is read again at each SIGHUP.
///
/// # Errors
///
/// The configuration, a socket, the store or the poller fails: what failed, the value, and the reason.
pub fn serve(path: &str, open_disk: OpenDisk) -> Result<(), String> {
    let describe = |what: &'static str| move |error: io::Error| format!("{what}: {error}");
    let terminate = Signal::new(signal_hook::consts::SIGTERM).map_err(describe("signal"))?;
    let reload = Signal::new(signal_hook::consts::SIGHUP).map_err(describe("signal"))?;
    // With a handler for SIGXFSZ, a write beyond the file size limit returns an error instead of killing the
    // process.
    let ignored = Arc::new(AtomicBool::new(false));
    signal_hook::flag::register(libc::SIGXFSZ, ignored).map_err(describe("signal"))?;
    let Start { configuration, inherited, request_failed } = load_and_inherit(path)?;
    let locked_disk = if inherited.is_none() { lock_store(&configuration, open_disk)? } else { None };
    let addresses = [
        (ConnectionRole::Client, Some(configuration.listen)),
        (ConnectionRole::Operator, configuration.admin),
    ];
    let mut listeners = Vec::new();
    for (role, address) in addresses {
        let Some(address) = address else { continue };
        let inherited_socket = inherited
            .as_ref()
            .filter(|_| role == ConnectionRole::Client)
            .map(|other| other.listener.try_clone());
        let socket = inherited_socket
            .unwrap_or_else(|| retry_while(may_open_later, || listen(address)))
            .map_err(|error| format!("listen {address}: {error}"))?;
        listeners.push(Listener { socket, role, key: FIRST_LISTENER_KEY + listeners.len() });
    }
    let mut reactor = retry_while(may_open_later, Reactor::new).map_err(describe("poller"))?;
    // SAFETY: the signals' streams and the listeners are dropped after the loop has ended, when the poller is
    // no longer used.
    unsafe {
        let mut added = reactor
            .poller
            .add_with_mode(terminate.wake_stream(), Event::readable(TERMINATE_KEY), PollMode::Oneshot)
            .and_then(|()| {
                reactor.poller.add_with_mode(
                    reload.wake_stream(),
                    Event::readable(RELOAD_KEY),
                    PollMode::Level,
                )
            });
        for listener in &listeners {
            let event = Event::readable(listener.key);
            added =
                added.and_then(|()| reactor.poller.add_with_mode(&listener.socket, event, PollMode::Level));
        }
        added.map_err(describe("poller"))?;
    }
    let datagrams = configuration.peers.as_ref().map(|peers| peers.listen);
    reactor.set_handover_addresses(handover::socket_path(configuration.listen), datagrams);
    // A process that takes over from another one opens these sockets when that one has closed its own.
    if let Some(address) = datagrams.filter(|_| inherited.is_none()) {
        retry_while(may_open_later, || reactor.open_datagram_socket(address))
            .map_err(|error| format!("peers.listen {address}: {error}"))?;
    }
    let admin = configuration.admin.map_or_else(|| "none".to_owned(), |address| address.to_string());
    let (listen, discovery) = (configuration.listen, configuration.discovery);
    log!("serving", "name={} listen={listen} discovery={discovery} admin={admin}", configuration.name);
    if inherited.is_none() {
        reactor.change_sockets(SocketChange::OpenSuccessors);
    }
    let store_thread = match &configuration.store {
        None => None,
        Some(store) => {
            let (folder, poller) = (store.folder.clone(), reactor.poller.clone());
            let id = topazsail::hash(
                format!("{} {} {}", configuration.name, configuration.seed, reactor.now()).as_bytes(),
            );
            let disk_factory = Box::new(move || open_disk(&folder));
            let wake = move || drop(poller.notify());
            let started = StoreThread::start(locked_disk, disk_factory, configuration.name.clone(), id, wake);
            Some(started.map_err(describe("store"))?)
        }
    };
    let (predecessor, state) =
        inherited.map(|other| ((other.stream, other.following_bytes), other.state)).unzip();
    let mut table = RequestTable::new(configuration, state, store_thread, &mut reactor);
    if request_failed {
        table.note_failed_request();
    }
    if let Some((stream, following_bytes)) = predecessor {
        let connection = reactor.add_peer_connection(stream, listen);
        table.attach_predecessor(connection, following_bytes, &mut reactor);
    }
    let run = reactor.run(&mut table, &listeners, (&terminate, &reload, path));
    run.map_err(describe("poller"))?;
    let fatal = table.fatal_error().or_else(|| table.withdrawn_reason());
    table.close_store(reactor.clock(), STORE_CLOSE_TIMEOUT);
    if let Some(reason) = fatal {
        return Err(reason);
    }
    log!("ended", "connections={}", reactor.connection_count());
    Ok(())
}

/// Whether opening a socket or the poller may succeed a moment later.
fn may_open_later(error: &io::Error) -> bool {
    errno::classify_open_error(error).is_transient()
}

/// What a process starts with.
struct Start {
    configuration: config::Configuration,
    /// What the process that served has handed over.
    inherited: Option<handover::Inherited>,
    /// A process may serve, but has not handed over.
    request_failed: bool,
}

/// Loads the configuration and requests a hand-over from a process that serves at the same address. If the
/// file cannot be used, a new process continues with the configuration that the old process has in force.
///
/// # Errors
///
/// The configuration cannot be used, and no process has handed one over; or the process that serves is in another
/// upgrade.
fn load_and_inherit(path: &str) -> Result<Start, String> {
    let configuration = retry_while(LoadError::is_transient, || config::load(path));
    let listen =
        configuration.as_ref().map_or_else(|_| config::listen_from_env(), |loaded| Some(loaded.listen));
    let path_and_address = listen.and_then(|listen| Some((handover::socket_path(listen)?, listen)));
    let requested = path_and_address
        .map_or(Requested::NotServed, |(path, listen)| handover::request_handover(&path, listen));
    let (inherited, request_failed) = match requested {
        Requested::Busy => {
            return Err("the process that serves is in another upgrade: start this one later".to_owned());
        }
        Requested::Inherited(inherited) if inherited.listener.local_addr().ok() == listen => {
            (Some(*inherited), false)
        }
        Requested::Inherited(_) | Requested::Failed => (None, true),
        Requested::NotServed => (None, false),
    };
    let configuration = match (configuration, &inherited) {
        (Err(error), Some(inherited)) => {
            log!("configuration-refused", "reason={:?}", error.to_string());
            config::decode_active(&inherited.state.configuration)?
        }
        (configuration, _) => configuration?,
    };
    Ok(Start { configuration, inherited, request_failed })
}
