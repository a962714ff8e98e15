//! The event loop: waits on all sockets, calls the owners of connections back, and has the request table
//! decide once per iteration.
//!
//! It owns the poller, the listeners, all connections, all timers, the clock and the signals. It knows only
//! the role of a connection, not what is done over it, and blocks nowhere but in the poller.

mod buffers;
mod handover_sockets;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use polling::{Event, Events, PollMode, Poller};
use topazsail::Micros;
use topazsail_peers::MAX_PACKET_BYTES;

use crate::config;
use crate::lifecycle::signals::Signal;
use crate::net::connection::{
    BufferUse, CloseReason, Connection, ConnectionDriver, ConnectionId, ConnectionRole, HostFailures, Timer,
    TimerKey, connect_failure,
};
use crate::net::dials::{self, Dial, Dialled, Dials, REDIAL_INTERVAL};
use crate::net::errno::{self, Scope};
use crate::net::log::log;
use crate::request_table::RequestTable;
use handover_sockets::HandoverSockets;

/// The poller key of SIGTERM.
pub const TERMINATE_KEY: usize = 0;
/// The poller key of SIGHUP.
pub const RELOAD_KEY: usize = 1;
/// The poller key of the Unix listener on which a successor requests the hand-over.
const SUCCESSOR_KEY: usize = 2;
/// The poller key of the socket for datagrams of other dispatchers.
const PEERS_KEY: usize = 3;
/// The poller key of the first listener; the others follow it in order.
pub const FIRST_LISTENER_KEY: usize = 4;
/// Above all other poller keys, as connection ids are poller keys too.
const FIRST_CONNECTION_ID: ConnectionId = 6;
/// The most reads from one client per event while each fills the buffer: the client's close may follow the
/// bytes.
const MAX_READS_PER_EVENT: usize = 16;
/// The reads, of one read buffer each, that take all that the socket of the other process of an upgrade holds.
const MAX_READS_OF_PEER: usize = 4;
/// The most datagrams read per iteration, so that clients are served first.
const MAX_DATAGRAMS_PER_ITERATION: usize = 256;
/// The most connections accepted per iteration, so that existing connections are served first.
const MAX_ACCEPTS_PER_ITERATION: usize = 64;
/// Microseconds until a failed registration with the poller is retried.
const REGISTER_RETRY_INTERVAL: Micros = 10_000;
/// Microseconds for which accepting pauses while there is no room for more connections.
const NO_ROOM_RETRY_INTERVAL: Micros = 50_000;
/// Microseconds for which accepting pauses while the host cannot accept, being short of descriptors or
/// memory.
const ACCEPT_RETRY_INTERVAL: Micros = 10_000;
/// The longest wait of the poller. A bound is needed to distinguish an idle loop from a process that was not
/// scheduled.
const MAX_WAIT: Duration = Duration::from_millis(250);
/// How long the loop waits for anything that still arrives before the process ends.
const FINAL_WAIT: Duration = Duration::from_millis(1);
/// A wait that ends this many microseconds late means that the process was stalled: frozen, starved or
/// swapped out. This is half of 0.1 s, which is the time after which no work may start for a client that has
/// left, and the tolerance of each time limit when measured over sockets.
const STALL_THRESHOLD: Micros = 50_000;
/// Microseconds that reading what arrived during a stall may take. Whether a client has left does not depend
/// on this: it is checked again when its forward is sent.
const CATCH_UP_WINDOW: Micros = 100_000;
/// Microseconds until the configuration is read again after the host failed to.
const RELOAD_RETRY_INTERVAL: Micros = 50_000;
/// Microseconds after a SIGHUP for which reading the configuration is retried.
const RELOAD_RETRY_WINDOW: Micros = 30_000_000;
/// Microseconds in which the other end must read its last response and close.
const FINISH_TIMEOUT: Micros = 2_000_000;

/// Unix time at the start, advanced by the monotonic clock only, so that steps of the system clock have no
/// effect.
struct Clock {
    started: Instant,
    unix: Micros,
}

impl Clock {
    fn new() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { started: Instant::now(), unix: unix.as_micros() as Micros }
    }

    fn now(&self) -> Micros {
        self.unix + self.started.elapsed().as_micros() as Micros
    }
}

/// A listening socket and the role of the connections accepted on it.
pub struct Listener {
    /// The listening socket.
    pub socket: TcpListener,
    /// The role of its connections.
    pub role: ConnectionRole,
    /// Its key in the poller.
    pub key: usize,
}

/// The listener for connections of this role, if there is one.
fn listener_of(listeners: &[Listener], role: ConnectionRole) -> Option<&Listener> {
    listeners.iter().find(|listener| listener.role == role)
}

/// The state of the event loop.
pub struct Reactor {
    /// Shared with threads that wake the loop.
    pub poller: Arc<Poller>,
    /// The sockets that a successor takes over.
    handover_sockets: HandoverSockets,
    clock: Clock,
    /// The time at which this iteration began.
    now: Micros,
    /// While catching up after a stall: when the stall began, and until when catching up may take.
    catching_up: Option<(Micros, Micros)>,
    /// Listeners whose accept queues may hold connections, by poller key, with the time since when they may.
    accept_queues: BTreeMap<usize, Micros>,
    /// While a connection that waited in an accept queue is read for the first time: since when it may have
    /// waited.
    accept_queued_since: Option<Micros>,
    /// All connections except those whose dial is postponed.
    connections: HashMap<ConnectionId, Connection>,
    /// Bytes that the buffers of all connections hold.
    buffered_bytes: usize,
    /// How often a connection's buffers were released.
    released_buffers: u64,
    next_id: ConnectionId,
    /// By the time at which they fire; timers of the same time fire in the order in which they were set.
    timers: BTreeMap<TimerKey, Timer>,
    /// The number of timers set since the start.
    timer_serial: u64,
    /// Connections on which a write failed; their owners are called back in this or the next iteration.
    broken_connections: Vec<(ConnectionId, CloseReason)>,
    /// Connections whose input is passed to their owners again in this or the next iteration.
    to_process: BTreeSet<ConnectionId>,
    read_buffer: Vec<u8>,
    dials: Dials,
    /// Failures of the host, except for those counted by `dials` and by open connections.
    host_failures: HostFailures,
    /// Until when a configuration that the host fails to read is retried.
    reload_deadline: Micros,
    /// Roles of listeners that accept no connections now.
    closed_roles: Vec<ConnectionRole>,
    /// The host was short of descriptors or memory in this iteration.
    short_of_descriptors: bool,
}

impl Reactor {
    /// An event loop without listeners.
    ///
    /// # Errors
    ///
    /// The poller cannot be created.
    pub fn new() -> io::Result<Reactor> {
        let clock = Clock::new();
        Ok(Reactor {
            poller: Arc::new(Poller::new()?),
            handover_sockets: HandoverSockets::default(),
            now: clock.now(),
            clock,
            catching_up: None,
            accept_queues: BTreeMap::new(),
            accept_queued_since: None,
            connections: HashMap::new(),
            buffered_bytes: 0,
            released_buffers: 0,
            next_id: FIRST_CONNECTION_ID,
            timers: BTreeMap::new(),
            timer_serial: 0,
            broken_connections: Vec::new(),
            to_process: BTreeSet::new(),
            read_buffer: vec![0; 64 << 10],
            dials: Dials::default(),
            host_failures: HostFailures::default(),
            reload_deadline: 0,
            closed_roles: Vec::new(),
            short_of_descriptors: false,
        })
    }

    /// Runs the loop until the process has shut down or the request table reports a fatal error. `reload` has
    /// the configuration file `path` read again.
    ///
    /// # Errors
    ///
    /// The poller fails.
    pub fn run(
        &mut self,
        table: &mut RequestTable,
        listeners: &[Listener],
        (terminate, reload, path): (&Signal, &Signal, &str),
    ) -> io::Result<()> {
        let mut events = Events::new();
        // The time that the start took is not a stall.
        self.now = self.clock.now();
        table.decide(self);
        self.follow_upgrade(table, listeners);
        loop {
            // If the shutdown is complete, the loop ends unless this wait reports something, which is still
            // accepted and answered.
            let may_end = (table.is_shutdown_complete(self.now) || table.must_exit(self.now))
                && self.all_responses_written();
            let timeout = if may_end { Some(FINAL_WAIT) } else { self.wait_timeout(table) };
            events.clear();
            let interrupted = match self.poller.wait(&mut events, timeout) {
                Err(error) if error.kind() == io::ErrorKind::Interrupted => true,
                waited => waited.map(|_| false)?,
            };
            self.update_time(timeout);
            if terminate.take() {
                table.begin_shutdown(self);
            }
            if reload.take() {
                self.reload_deadline = self.now + RELOAD_RETRY_WINDOW;
                self.read_configuration(table, path);
            }
            if table.fatal_error().is_some() || table.ends_early() {
                return Ok(());
            }
            // A wait that was interrupted by a signal has not checked the sockets.
            let is_quiet = may_end && !interrupted && !self.has_request_events(&events);
            if is_quiet && (table.must_exit(self.now) || self.accept_queue_is_empty(table, listeners)) {
                return Ok(());
            }
            let mut ordered: Vec<Event> = events.iter().collect();
            ordered.sort_by_key(|event| self.processing_order(event));
            for event in ordered {
                match event.key {
                    // The flags of the signals are checked in every iteration.
                    TERMINATE_KEY => terminate.drain(),
                    RELOAD_KEY => reload.drain(),
                    PEERS_KEY => self.receive_datagrams(table),
                    SUCCESSOR_KEY => self.answer_successor(table, listeners),
                    key => match listeners.iter().find(|listener| listener.key == key) {
                        Some(listener) => self.accept(table, listener),
                        None => self.handle_event(key as ConnectionId, event, table),
                    },
                }
            }
            self.run_deferred(table);
            while let Some(entry) = self.timers.first_entry().filter(|entry| entry.key().at <= self.now) {
                let timer = entry.remove();
                self.fire(timer, table, (listeners, path));
            }
            if std::mem::take(&mut self.short_of_descriptors) {
                table.handle_descriptor_shortage(self);
            }
            table.decide(self);
            self.enforce_buffer_limit(table);
            self.follow_upgrade(table, listeners);
        }
    }

    /// Changes the sockets and the listeners as an upgrade demands.
    fn follow_upgrade(&mut self, table: &mut RequestTable, listeners: &[Listener]) {
        for change in table.take_socket_changes() {
            self.change_sockets(change);
        }
        for listener in listeners {
            let (is_accepting, accepts) = (self.is_accepting(listener.role), table.accepts(listener.role));
            if accepts == is_accepting {
                continue;
            }
            self.closed_roles.retain(|role| *role != listener.role);
            if !accepts {
                self.closed_roles.push(listener.role);
            }
            self.set_accepting(Some(listener), accepts);
        }
    }

    /// Whether the listener of this role accepts connections, but for a pause.
    fn is_accepting(&self, role: ConnectionRole) -> bool {
        !self.closed_roles.contains(&role)
    }

    /// Whether an event may be a request that still has to be answered. What the other process of an upgrade
    /// sends concerns open invocations only, and does not pause while it is under load.
    fn has_request_events(&self, events: &Events) -> bool {
        events.iter().any(|event| {
            let connection = self.connections.get(&(event.key as ConnectionId));
            connection.is_none_or(|connection| connection.role != ConnectionRole::Peer)
        })
    }

    /// In which order the events of an iteration are processed. The other process of an upgrade comes first, as
    /// it may have taken an id that a client repeats here. Clients come before runners: a forward that waits
    /// for a connection to its runner must not be sent if its client's close is reported with that.
    fn processing_order(&self, event: &Event) -> u8 {
        let role = self.connections.get(&(event.key as ConnectionId)).map(|connection| connection.role);
        match role {
            Some(ConnectionRole::Peer) => 0,
            Some(ConnectionRole::Client) => 1,
            _ => 2,
        }
    }

    /// Whether no connection waits in the accept queue of clients, where it would be lost when the process
    /// ends. Those that wait are accepted.
    fn accept_queue_is_empty(&mut self, table: &mut RequestTable, listeners: &[Listener]) -> bool {
        let listener = listener_of(listeners, ConnectionRole::Client)
            .filter(|_| self.is_accepting(ConnectionRole::Client));
        let Some(listener) = listener else { return true };
        let before = self.next_id;
        self.accept(table, listener);
        self.next_id == before && !self.accept_queues.contains_key(&listener.key)
    }

    /// Updates the current time and detects a stall. If far more time has passed than the poller was to wait,
    /// what is read now may have arrived at any time since the previous iteration. Counting a request's time
    /// limit from now on instead would mean serving a client that has long left.
    fn update_time(&mut self, timeout: Option<Duration>) {
        let before = std::mem::replace(&mut self.now, self.clock.now());
        let waited = timeout.map_or(0, |timeout| timeout.as_micros() as Micros);
        if self.now - before > waited + STALL_THRESHOLD {
            log!("stood-still", "ms={}", (self.now - before) / 1000);
            let since =
                self.catching_up.filter(|(_, until)| before < *until).map_or(before, |(since, _)| since);
            self.catching_up = Some((since, self.now + CATCH_UP_WINDOW));
        }
        self.catching_up = self.catching_up.filter(|(_, until)| self.now < *until);
    }

    /// Reads the configuration, as SIGHUP demands, and schedules a retry if the host fails that transiently.
    /// The settings in force stay if the file cannot be used. Each later SIGHUP has the file read again.
    fn read_configuration(&mut self, table: &mut RequestTable, path: &str) {
        match config::load(path) {
            Ok(configuration) => table.reload(configuration, self),
            Err(error) if error.is_transient() && self.now < self.reload_deadline => {
                log!("configuration-delayed", "reason={:?}", error.to_string());
                self.set_timer(Timer::Reload, self.now + RELOAD_RETRY_INTERVAL);
            }
            Err(error) => table.reject_configuration(&error.to_string()),
        }
    }

    /// Receives a limited number of datagrams from other dispatchers.
    fn receive_datagrams(&mut self, table: &mut RequestTable) {
        let mut bytes = [0; 2 * MAX_PACKET_BYTES];
        for _ in 0..MAX_DATAGRAMS_PER_ITERATION {
            let received = self.handover_sockets.datagrams().map(|socket| socket.recv_from(&mut bytes));
            match received {
                Some(Ok((length, from))) => table.datagram(from, &bytes[..length], self),
                // An earlier datagram of ours was refused: no process listens there yet.
                Some(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => {}
                _ => return,
            }
        }
    }

    /// Whether all responses to clients and operators have been written, and all that the other process of an
    /// upgrade has to know.
    fn all_responses_written(&self) -> bool {
        use ConnectionRole::{Client, Operator, Peer};
        let mut connections = self.connections.values();
        connections.all(|connection| {
            !matches!(connection.role, Client | Operator | Peer) || !connection.has_unsent()
        })
    }

    /// How long the poller may wait: until the next timer, or not at all if work is pending.
    fn wait_timeout(&self, table: &RequestTable) -> Option<Duration> {
        if table.has_pending_events() || !self.broken_connections.is_empty() || !self.to_process.is_empty() {
            return Some(Duration::ZERO);
        }
        let Some((next, _)) = self.timers.first_key_value() else { return Some(MAX_WAIT) };
        Some(Duration::from_micros((next.at - self.clock.now()).max(0) as u64).min(MAX_WAIT))
    }

    /// Handles a timer that has fired.
    fn fire(&mut self, timer: Timer, table: &mut RequestTable, (listeners, path): (&[Listener], &str)) {
        match timer {
            Timer::Connection(id) => {
                if let Some(role) = self.role(id) {
                    table.handler(role).timer_fired(id, self);
                    table.collect_events(self);
                }
            }
            Timer::Finish(id) => {
                if let Some(reason) = self.connections.get(&id).and_then(|connection| connection.finishing) {
                    self.remove(id, reason);
                }
            }
            Timer::Reload => self.read_configuration(table, path),
            Timer::Redial(id) => {
                if let Some(dial) = self.dials.take(id) {
                    // The reason was logged at the first attempt.
                    let _ = self.start_dial(id, dial);
                }
            }
            Timer::ResumeAccepting(role) => {
                self.set_accepting(listener_of(listeners, role), self.is_accepting(role));
            }
            Timer::Register(id) => self.update_registration(id),
            timer => table.timer_fired(timer, self),
        }
    }

    /// Starts or stops accepting on a listener; while stopped, connections wait in its queue.
    fn set_accepting(&mut self, listener: Option<&Listener>, accepting: bool) {
        let Some(Listener { socket, key, role }) = listener else { return };
        let event = if accepting { Event::readable(*key) } else { Event::none(*key) };
        if let Err(error) = self.poller.modify_with_mode(socket, event, PollMode::Level) {
            log!("poller", "listener={} reason={error}", role.code());
            self.set_timer(Timer::ResumeAccepting(*role), self.now + REGISTER_RETRY_INTERVAL);
        }
    }

    /// Accepts a limited number of connections from a listener.
    fn accept(&mut self, table: &mut RequestTable, listener: &Listener) {
        for _ in 0..MAX_ACCEPTS_PER_ITERATION {
            if !table.ensure_room(listener.role, self) {
                log!("accept-paused", "connections={} reason=no_room", self.connections.len());
                return self.pause_accepting(listener, NO_ROOM_RETRY_INTERVAL);
            }
            match listener.socket.accept() {
                Ok((stream, peer)) => {
                    // A blocking stream would block the whole loop.
                    if let Err(error) = stream.set_nonblocking(true) {
                        log!("accept-failed", "reason={error}");
                        continue;
                    }
                    // Without TCP_NODELAY responses are only slower.
                    let _ = stream.set_nodelay(true);
                    let id =
                        self.add_new(Connection::new(stream.into(), listener.role, peer, false, self.now));
                    table.accepted(listener.role, id, self);
                    self.read_accepted(id, listener, table);
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    self.accept_queues.remove(&listener.key);
                    return;
                }
                Err(error) if errno::classify_accept_error(&error) == Scope::Host => {
                    log!("accept-paused", "connections={} reason={error}", self.connections.len());
                    self.short_of_descriptors = true;
                    self.host_failures.accepts += 1;
                    return self.pause_accepting(listener, ACCEPT_RETRY_INTERVAL);
                }
                // The new connection was already closed, or the call was interrupted: the next one may
                // succeed.
                Err(error) => log!("accept-failed", "reason={error}"),
            }
        }
        self.accept_queues.entry(listener.key).or_insert(self.now);
    }

    /// Reads at once what arrived on a connection while it waited in the accept queue: its time limits count
    /// from the start of that wait. Bytes that arrive later did not wait.
    fn read_accepted(&mut self, id: ConnectionId, listener: &Listener, table: &mut RequestTable) {
        let Some(since) = self.accept_queues.get(&listener.key).copied() else { return };
        self.accept_queued_since = Some(since);
        self.handle_event(id, Event::readable(id as usize), table);
        self.accept_queued_since = None;
    }

    /// Stops accepting on a listener and sets a timer to resume.
    fn pause_accepting(&mut self, listener: &Listener, retry_after: Micros) {
        self.accept_queues.entry(listener.key).or_insert(self.now);
        self.set_timer(Timer::ResumeAccepting(listener.role), self.now + retry_after);
        self.set_accepting(Some(listener), false);
    }

    /// The role of a connection, also of one whose dial is postponed.
    fn role(&self, id: ConnectionId) -> Option<ConnectionRole> {
        let connection = self.connections.get(&id).map(|connection| connection.role);
        connection.or_else(|| self.dials.get(id).map(|dial| dial.role))
    }

    /// A connection id that has not been used.
    fn allocate_id(&mut self) -> ConnectionId {
        self.next_id += 1;
        self.next_id - 1
    }

    /// Starts a dial. If the host cannot start it, schedules a retry and returns the host's error.
    fn start_dial(&mut self, id: ConnectionId, dial: Dial) -> io::Result<()> {
        let (socket, failed) = match dials::dial(dial.to) {
            Dialled::Started(socket) => (socket, None),
            Dialled::Failed(socket, error) => (socket, Some(error)),
            Dialled::Postponed(error) => return Err(self.postpone(id, dial, error)),
        };
        let mut connection = Connection::new(socket, dial.role, dial.to, true, self.now);
        connection.queue(&dial.output);
        self.add(id, connection);
        if let Some(error) = failed {
            self.broken_connections.push((id, connect_failure(&error)));
        }
        Ok(())
    }

    /// Keeps a dial that the host could not start and schedules a retry. Returns the host's error.
    fn postpone(&mut self, id: ConnectionId, dial: Dial, error: io::Error) -> io::Error {
        self.short_of_descriptors |= errno::is_shortage(&error);
        self.dials.postpone(id, dial);
        self.set_timer(Timer::Redial(id), self.now + REDIAL_INTERVAL);
        error
    }

    /// Adds a connection under an id that has been allocated, and registers it with the poller.
    fn add(&mut self, id: ConnectionId, connection: Connection) {
        self.connections.insert(id, connection);
        self.update_registration(id);
    }

    /// Adds a connection under a new id.
    fn add_new(&mut self, connection: Connection) -> ConnectionId {
        let id = self.allocate_id();
        self.add(id, connection);
        id
    }

    /// Closes a connection or gives up a postponed dial, and logs it.
    fn remove(&mut self, id: ConnectionId, reason: CloseReason) {
        if let Some(Dial { to, role, .. }) = self.dials.take(id) {
            log!("dial-given-up", "link={id} side={} peer={to} reason={}", role.code(), reason.code());
        }
        let Some(connection) = self.connections.remove(&id) else { return };
        self.buffered_bytes -= connection.accounted_bytes;
        let _ = self.poller.delete(&connection.stream);
        self.host_failures.reads += connection.failed_reads;
        let (role, peer, ms) =
            (connection.role.code(), connection.peer, (self.now - connection.opened_at) / 1000);
        let unsent = u8::from(connection.has_unsent());
        log!(
            "connection",
            "link={id} side={role} peer={peer} reason={} ms={ms} unsent={unsent}",
            reason.code()
        );
    }

    /// Registers a connection with the poller for its current interest, and schedules a retry if that fails.
    /// To be called after each change of a connection.
    fn update_registration(&mut self, id: ConnectionId) {
        self.account_buffers(id);
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let interest = connection.interest();
        if connection.registered_interest == Some(interest) {
            return;
        }
        let event = Event::new(id as usize, interest.0, interest.1);
        let registered = match connection.registered_interest {
            // SAFETY: `remove` deletes the socket from the poller before it is closed.
            None => unsafe { self.poller.add_with_mode(&connection.stream, event, PollMode::Level) },
            Some(_) => self.poller.modify_with_mode(&connection.stream, event, PollMode::Level),
        };
        match registered {
            Ok(()) => connection.registered_interest = Some(interest),
            Err(error) => {
                log!("poller", "link={id} reason={error}");
                self.set_timer(Timer::Register(id), self.now + REGISTER_RETRY_INTERVAL);
            }
        }
    }

    /// Handles an event of the poller for a connection: completes its dial, writes, and reads.
    fn handle_event(&mut self, id: ConnectionId, event: Event, table: &mut RequestTable) {
        let since = self.readable_since();
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let role = connection.role;
        if connection.dialling {
            if !event.writable {
                return;
            }
            if let Err(reason) = connection.dial_result() {
                return self.connection_lost(id, reason, table);
            }
            connection.dialling = false;
            let flushed = connection.flush();
            table.handler(role).connected(id, self);
            if let Err(reason) = flushed {
                self.broken_connections.push((id, reason));
            }
            return self.update_registration(id);
        }
        if event.writable {
            if let Err(reason) = connection.flush() {
                return self.connection_lost(id, reason, table);
            }
            // Input that arrived meanwhile is processed only when the output is written.
            if !connection.has_unsent() && !connection.input.is_empty() {
                self.to_process.insert(id);
            }
        }
        let mut close_reason = None;
        if event.readable {
            let input_before = connection.input.len();
            let mut read = connection.read(&mut self.read_buffer, since);
            // A client may have sent a request and left: both must be known before it is served.
            let full = Ok(self.read_buffer.len());
            for _ in 1..MAX_READS_PER_EVENT {
                let has_more = read == full || self.catching_up.is_some() && read != Ok(0);
                if role != ConnectionRole::Client || read.is_err() || !has_more {
                    break;
                }
                read = connection.read(&mut self.read_buffer, since);
            }
            close_reason = read.err();
            if connection.input.len() > input_before {
                self.deliver(id, table);
            }
        }
        if let Some(reason) = close_reason {
            return self.connection_lost(id, reason, table);
        }
        self.linger_if_written(id);
        self.update_registration(id);
    }

    /// Reads what the other process of an upgrade and the other dispatchers have already sent.
    fn read_other_processes(&mut self, table: &mut RequestTable) {
        self.receive_datagrams(table);
        for _ in 0..MAX_READS_OF_PEER {
            let Some(id) = table.handover_connection() else { return };
            self.handle_event(id, Event::readable(id as usize), table);
        }
    }

    /// Passes the unprocessed input to the owner.
    fn deliver(&mut self, id: ConnectionId, table: &mut RequestTable) {
        // An operator's call comes after every call that has been answered elsewhere before it was made.
        if self.role(id) == Some(ConnectionRole::Operator) {
            self.read_other_processes(table);
        }
        let Some(connection) =
            self.connections.get_mut(&id).filter(|connection| connection.finishing.is_none())
        else {
            return;
        };
        let (role, mut input) = (connection.role, std::mem::take(&mut connection.input));
        let input_before = input.len();
        table.handler(role).received(id, &mut input, self);
        table.collect_events(self);
        if let Some(connection) = self.connections.get_mut(&id).filter(|connection| !connection.lingering) {
            connection.receive_times.consume(input_before - input.len());
            connection.keep_input(input);
        }
        self.update_registration(id);
        self.enforce_buffer_limit(table);
    }

    /// Handles a connection that the other end has closed, that failed, or that was never established.
    fn connection_lost(&mut self, id: ConnectionId, reason: CloseReason, table: &mut RequestTable) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        if let Some(reason) = connection.finishing {
            return self.remove(id, reason);
        }
        let (role, unsent, input) =
            (connection.role, connection.has_unsent(), std::mem::take(&mut connection.input));
        self.remove(id, reason);
        table.handler(role).closed(id, reason, unsent, &input, self);
        table.collect_events(self);
    }

    /// Shuts down our direction of a connection that is to be closed once all output is written.
    fn linger_if_written(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        if connection.finishing.is_some() && !connection.lingering && !connection.has_unsent() {
            connection.linger();
        }
    }

    /// Calls back the owners of broken connections, and those that have called
    /// [`ConnectionDriver::process_again`].
    fn run_deferred(&mut self, table: &mut RequestTable) {
        for (id, reason) in std::mem::take(&mut self.broken_connections) {
            self.connection_lost(id, reason, table);
        }
        for id in std::mem::take(&mut self.to_process) {
            if self.connections.get(&id).is_some_and(|connection| !connection.input.is_empty()) {
                self.deliver(id, table);
            }
        }
    }
}

impl ConnectionDriver for Reactor {
    fn now(&self) -> Micros {
        self.now
    }

    fn clock(&self) -> Micros {
        self.clock.now()
    }

    fn readable_since(&self) -> Micros {
        let catching_up = self.catching_up.map_or(self.now, |(since, _)| since);
        self.accept_queued_since.map_or(catching_up, |since| since.min(catching_up))
    }

    fn host_failures(&self) -> HostFailures {
        let open: u64 = self.connections.values().map(|connection| connection.failed_reads).sum();
        HostFailures {
            dials: self.dials.postponed_total,
            reads: self.host_failures.reads + open,
            ..self.host_failures
        }
    }

    fn buffer_use(&self) -> BufferUse {
        BufferUse { bytes: self.buffered_bytes, released: self.released_buffers, timers: self.timers.len() }
    }

    fn discard_input(&mut self, id: ConnectionId) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.discard_input();
        }
        self.update_registration(id);
    }

    fn received_since(&self, id: ConnectionId) -> Micros {
        let first = self.connections.get(&id).and_then(|connection| connection.receive_times.first());
        first.unwrap_or_else(|| self.readable_since())
    }

    fn connection_count(&self) -> usize {
        self.connections.len()
    }

    fn close_oldest_lingering(&mut self) -> bool {
        let lingering = self
            .connections
            .iter()
            .filter(|(_, connection)| connection.lingering && connection.role == ConnectionRole::Client);
        let closable = lingering.filter_map(|(id, connection)| Some((*id, connection.finishing?)));
        let oldest = closable.min_by_key(|(id, _)| *id);
        oldest.inspect(|(id, reason)| self.remove(*id, *reason)).is_some()
    }

    fn dial(&mut self, to: SocketAddr, role: ConnectionRole) -> ConnectionId {
        let id = self.allocate_id();
        if let Err(error) = self.start_dial(id, Dial { to, role, output: Vec::new() }) {
            log!("dial-postponed", "link={id} side={} peer={to} reason={error}", role.code());
        }
        id
    }

    fn is_dial_postponed(&self, id: ConnectionId) -> bool {
        self.dials.get(id).is_some()
    }

    fn send(&mut self, id: ConnectionId, bytes: &[u8]) {
        if let Some(dial) = self.dials.get_mut(id) {
            return dial.output.extend_from_slice(bytes);
        }
        let Some(connection) = self.connections.get_mut(&id) else { return };
        connection.queue(bytes);
        match connection.flush() {
            Ok(()) => self.update_registration(id),
            Err(reason) => self.broken_connections.push((id, reason)),
        }
    }

    fn is_reusable(&mut self, id: ConnectionId) -> bool {
        let broken = self.broken_connections.iter().any(|(known, _)| *known == id);
        !broken && self.connections.get(&id).is_some_and(Connection::is_reusable)
    }

    fn peer_has_closed(&self, id: ConnectionId) -> bool {
        self.connections.get(&id).is_none_or(Connection::peer_has_closed)
    }

    fn has_unsent(&self, id: ConnectionId) -> bool {
        self.connections.get(&id).is_some_and(Connection::has_unsent)
    }

    fn has_overflowed(&self, id: ConnectionId) -> bool {
        self.connections.get(&id).is_some_and(Connection::has_overflowed)
    }

    fn process_again(&mut self, id: ConnectionId) {
        self.to_process.insert(id);
    }

    fn finish(&mut self, id: ConnectionId, reason: CloseReason) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        connection.finishing = Some(reason);
        self.linger_if_written(id);
        self.set_timer(Timer::Finish(id), self.now + FINISH_TIMEOUT);
        self.update_registration(id);
    }

    fn abort(&mut self, id: ConnectionId, reason: CloseReason) {
        self.remove(id, reason);
    }

    fn send_datagram(&mut self, to: SocketAddr, bytes: &[u8]) {
        if let Some(socket) = self.handover_sockets.datagrams() {
            // A datagram that cannot be sent now counts as lost on the way.
            let _ = socket.send_to(bytes, to);
        }
    }

    fn set_timer(&mut self, timer: Timer, at: Micros) {
        self.set_cancellable_timer(timer, at);
    }

    fn set_cancellable_timer(&mut self, timer: Timer, at: Micros) -> TimerKey {
        self.timer_serial += 1;
        let key = TimerKey { at, serial: self.timer_serial };
        self.timers.insert(key, timer);
        key
    }

    fn cancel_timer(&mut self, key: TimerKey) {
        self.timers.remove(&key);
    }
}
