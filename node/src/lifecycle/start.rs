//! The start of a process that serves: its configuration, what another process hands over, its sockets and its store;
//! then the loop, until it ends.

use std::io;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use polling::{Event, PollMode};
use topazsail_store::Disk;

use crate::config::{self, LoadError};
use crate::lifecycle::handover;
use crate::lifecycle::signals::Signal;
use crate::lifecycle::store_thread::StoreThread;
use crate::lifecycle::transient_retry::retry_while;
use crate::net::connection::{ConnectionDriver, ConnectionRole};
use crate::net::errno;
use crate::net::log::log;
use crate::net::reactor::{LISTENERS, Listener, PEERS, RELOAD, Reactor, SIGNAL, SUCCESSOR};
use crate::net::sockets::{listen, talk};
use crate::request_table::RequestTable;

/// How long a process that ends waits for its disk.
const CLOSED_WITHIN: Duration = Duration::from_millis(500);

/// Makes the disk below a store's folder: the real one, or one that fails on purpose.
pub type OpenDisk = fn(&Path) -> io::Result<Box<dyn Disk>>;

/// Nobody else has the folder of the store: known before anything listens. A disk on which nothing can be written
/// now is no fault of the configuration.
fn locked(told: &config::Configuration, open_disk: OpenDisk) -> Result<Option<Box<dyn Disk>>, String> {
    let Some(store) = &told.store else { return Ok(None) };
    let fault = |error: io::Error| format!("store.folder {}: {error}", store.folder.display());
    if !store.folder.is_dir() {
        return Err(fault(io::Error::new(io::ErrorKind::NotADirectory, "no such folder")));
    }
    let locked = retry_while(
        |error| errno::file(error).passes(),
        || {
            let mut disk = open_disk(&store.folder)?;
            disk.lock().map(|()| disk)
        },
    );
    match locked {
        Ok(disk) => Ok(Some(disk)),
        // The store opens it later.
        Err(error) if !store.require && errno::file(&error).passes() => Ok(None),
        Err(error) => Err(fault(error)),
    }
}

/// Serves by the configuration in `path`, which is read again at each SIGHUP.
pub fn serve(path: &str, open_disk: OpenDisk) -> Result<(), String> {
    let fault = |what: &'static str| move |error: io::Error| format!("{what}: {error}");
    let terminate = Signal::new(signal_hook::consts::SIGTERM).map_err(fault("signal"))?;
    let reload = Signal::new(signal_hook::consts::SIGHUP).map_err(fault("signal"))?;
    // A file that may not grow is an error of the write, and no signal.
    let ignored = Arc::new(AtomicBool::new(false));
    signal_hook::flag::register(libc::SIGXFSZ, ignored).map_err(fault("signal"))?;
    let (told, given) = begin(path)?;
    let locked = if given.is_none() { locked(&told, open_disk)? } else { None };
    let addresses = [(ConnectionRole::Client, Some(told.listen)), (ConnectionRole::Operator, told.admin)];
    let mut listeners = Vec::new();
    for (role, address) in addresses {
        let Some(address) = address else { continue };
        let given =
            given.as_ref().filter(|_| role == ConnectionRole::Client).map(|given| given.listener.try_clone());
        let socket = given
            .unwrap_or_else(|| retry_while(opens_later, || listen(address)))
            .map_err(|error| format!("listen {address}: {error}"))?;
        listeners.push(Listener { socket, role, key: LISTENERS + listeners.len() });
    }
    let mut reactor = retry_while(opens_later, Reactor::new).map_err(fault("poller"))?;
    // SAFETY: all outlive the poller's use of them: they are dropped after the loop has ended.
    unsafe {
        let mut added = reactor
            .poller
            .add_with_mode(terminate.wakes(), Event::readable(SIGNAL), PollMode::Oneshot)
            .and_then(|()| {
                reactor.poller.add_with_mode(reload.wakes(), Event::readable(RELOAD), PollMode::Level)
            });
        for listener in &listeners {
            let event = Event::readable(listener.key);
            added =
                added.and_then(|()| reactor.poller.add_with_mode(&listener.socket, event, PollMode::Level));
        }
        added.map_err(fault("poller"))?;
    }
    if let Some(peers) = &told.peers {
        let socket = retry_while(opens_later, || talk(peers.listen))
            .map_err(|error| format!("peers.listen {}: {error}", peers.listen))?;
        // SAFETY: it is kept beside the poller and never closed before it.
        unsafe {
            let added = reactor.poller.add_with_mode(&socket, Event::readable(PEERS), PollMode::Level);
            added.map_err(fault("poller"))?;
        }
        reactor.datagrams = Some(socket);
    }
    let admin = told.admin.map_or_else(|| "none".to_owned(), |address| address.to_string());
    let (listen, discovery) = (told.listen, told.discovery);
    log!("serving", "name={} listen={listen} discovery={discovery} admin={admin}", told.name);
    // Only now: whoever served until now has been asked.
    let successor = handover::place(listen).and_then(|place| {
        let offered = handover::offer(&place);
        offered.inspect_err(|error| log!("handover-failed", "reason={:?}", error.to_string())).ok()
    });
    if let Some(successor) = &successor {
        // SAFETY: as above.
        unsafe {
            let added = reactor.poller.add_with_mode(successor, Event::readable(SUCCESSOR), PollMode::Level);
            added.map_err(fault("poller"))?;
        }
    }
    let store_thread = match &told.store {
        None => None,
        Some(store) => {
            let (folder, poller) = (store.folder.clone(), reactor.poller.clone());
            let id = topazsail::hash(format!("{} {} {}", told.name, told.seed, reactor.now()).as_bytes());
            let disks = Box::new(move || open_disk(&folder));
            let wake = move || drop(poller.notify());
            let kept = StoreThread::start(locked, disks, told.name.clone(), id, wake);
            Some(kept.map_err(fault("store"))?)
        }
    };
    let (other, state) = given.map(|given| ((given.stream, given.since), given.state)).unzip();
    let mut table = RequestTable::new(told, state, store_thread, &mut reactor);
    if let Some((stream, since)) = other {
        let connection = reactor.meet(stream, listen);
        table.takes_over(connection, since, &mut reactor);
    }
    let run = reactor.run(&mut table, &listeners, successor.as_ref(), (&terminate, &reload, path));
    run.map_err(fault("poller"))?;
    let fatal = table.fatal();
    table.leave(reactor.clock(), CLOSED_WITHIN);
    if let Some(why) = fatal {
        return Err(why);
    }
    log!("ended", "connections={}", reactor.connections());
    Ok(())
}

/// Whether what could not be opened may be a moment later.
fn opens_later(error: &io::Error) -> bool {
    errno::open(error).passes()
}

/// The configuration, and what a process that serves at this address hands over. A file that is no good now
/// does not keep a new process from going on with the one in force.
fn begin(path: &str) -> Result<(config::Configuration, Option<handover::Inherited>), String> {
    let told = retry_while(LoadError::is_transient, || config::load(path));
    let listen = told.as_ref().map_or_else(|_| config::listen(), |told| Some(told.listen));
    let given = listen.and_then(handover::place).and_then(|place| handover::ask(&place));
    let given = given.filter(|given| given.listener.local_addr().ok() == listen);
    let told = match (told, &given) {
        (Err(fault), Some(given)) => {
            log!("configuration-refused", "reason={:?}", fault.to_string());
            config::in_force(&given.state.configuration)?
        }
        (told, _) => told?,
    };
    Ok((told, given))
}
