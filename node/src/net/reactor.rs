//! The one loop: waits on all sockets, calls their owners back, and lets the desk settle each turn.
//!
//! It owns the poller, the listener, every connection, every due time, the clock and the signals. It must
//! never know what a connection is for beyond whose it is, and never wait for anything but the poller.

use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::os::unix::net::{UnixListener, UnixStream};
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use polling::{Event, Events, PollMode, Poller};
use topazsail::Micros;
use topazsail_peers::PACKET_MOST;

use crate::config;
use crate::lifecycle::handover;
use crate::lifecycle::signals::Signal;
use crate::net::connection::{
    CloseReason, Connection, ConnectionDriver, ConnectionId, ConnectionRole, HostFailures, Timer, never_up,
};
use crate::net::dials::{self, DIAL_AGAIN, Dial, Dialled, Dials};
use crate::net::errno::{self, Scope};
use crate::net::log::log;
use crate::request_table::RequestTable;

pub const SIGNAL: usize = 0;
pub const RELOAD: usize = 1;
/// A successor asks for what this process has.
pub const SUCCESSOR: usize = 2;
/// A datagram has come from another dispatcher.
pub const PEERS: usize = 3;
/// The keys of the listeners, in their order.
pub const LISTENERS: usize = 4;
const FIRST_LINK: ConnectionId = 6;
/// Buffers read from one client in a turn, while they come full: its end may be behind them.
const READS_ON: usize = 16;
/// Datagrams read in one turn: clients come first.
const DATAGRAMS: usize = 256;
/// Newcomers in one turn: those who are already here come first.
const ACCEPTS: usize = 64;
/// What the poller could not be told is told again after this.
const WATCH_AGAIN: Micros = 10_000;
/// Accepting rests for so long where there is no room, and where the host cannot give what it takes.
const ROOM_AGAIN: Micros = 50_000;
const ACCEPT_AGAIN: Micros = 10_000;
/// The loop looks up at least so often, so that it can tell having been idle from not having been let run.
const LOOKS_UP: Duration = Duration::from_millis(250);
/// How long the last look before the end waits for something to come.
const LAST_LOOK: Duration = Duration::from_millis(1);
/// Later than it was to look up by this much, the process stood still: frozen, starved, or swapped out. Half of the 0.1 s
/// after which nothing may begin for a client that has left, and of what each time limit is longer on sockets.
const STOOD_STILL: Micros = 50_000;
/// How long it may then take to read what had come meanwhile. That a client has left is not left to this: it is looked
/// at when its forward leaves.
const CATCHES_UP: Micros = 100_000;
/// A configuration that the host cannot read is read again after so long, for so long.
const RELOAD_AGAIN: Micros = 50_000;
const RELOAD_WITHIN: Micros = 30_000_000;
/// How long the other side may take to read a last answer and to end.
const FINISH_WITHIN: Micros = 2_000_000;

/// Unix time at the start, and from then on only what the monotonic clock adds: steps of the system's clock
/// do no harm.
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

/// Where connections come in, and whose they are.
pub struct Listener {
    pub socket: TcpListener,
    pub role: ConnectionRole,
    /// What the poller knows it by.
    pub key: usize,
}

fn listener_of(listeners: &[Listener], role: ConnectionRole) -> Option<&Listener> {
    listeners.iter().find(|listener| listener.role == role)
}

pub struct Reactor {
    pub poller: Arc<Poller>,
    /// Where other dispatchers are heard, if anywhere.
    pub datagrams: Option<UdpSocket>,
    clock: Clock,
    now: Micros,
    /// While it catches up after having stood still: since when, and until when.
    behind: Option<(Micros, Micros)>,
    /// Listeners at which newcomers may be waiting to be accepted, by their keys, and since when.
    queued: BTreeMap<usize, Micros>,
    /// While a newcomer that has waited at its listener is read: since when it may have.
    queued_since: Option<Micros>,
    conns: HashMap<ConnectionId, Connection>,
    next: ConnectionId,
    dues: BTreeMap<(Micros, u64), Timer>,
    serial: u64,
    /// Connections that broke under a write: their owners are called back in the next turn.
    broken: Vec<(ConnectionId, CloseReason)>,
    revisits: Vec<ConnectionId>,
    scratch: Vec<u8>,
    dials: Dials,
    failed: HostFailures,
    /// Until when a configuration that the host cannot read is read again.
    reload_until: Micros,
    /// Whether newcomers are being let in.
    accepting: bool,
    /// The system has given no descriptor since the last turn.
    short: bool,
}

impl Reactor {
    pub fn new() -> io::Result<Reactor> {
        let clock = Clock::new();
        Ok(Reactor {
            poller: Arc::new(Poller::new()?),
            datagrams: None,
            now: clock.now(),
            clock,
            behind: None,
            queued: BTreeMap::new(),
            queued_since: None,
            conns: HashMap::new(),
            next: FIRST_LINK,
            dues: BTreeMap::new(),
            serial: 0,
            broken: Vec::new(),
            revisits: Vec::new(),
            scratch: vec![0; 64 << 10],
            dials: Dials::default(),
            failed: HostFailures::default(),
            reload_until: 0,
            accepting: true,
            short: false,
        })
    }

    pub fn run(
        &mut self,
        table: &mut RequestTable,
        listeners: &[Listener],
        successor: Option<&UnixListener>,
        (terminate, reload, path): (&Signal, &Signal, &str),
    ) -> io::Result<()> {
        let mut events = Events::new();
        // What the start took is no standing still.
        self.now = self.clock.now();
        table.decide(self);
        loop {
            // The last look before the end: what has come meanwhile has been taken, and is still answered.
            let last = (table.is_down(self.now) || table.must_end(self.now)) && self.all_told();
            let patience = if last { Some(LAST_LOOK) } else { self.patience(table) };
            events.clear();
            let interrupted = match self.poller.wait(&mut events, patience) {
                Err(error) if error.kind() == io::ErrorKind::Interrupted => true,
                waited => waited.map(|_| false)?,
            };
            self.look_up(patience);
            if terminate.take() {
                table.go_down(self);
            }
            if reload.take() {
                self.reload_until = self.now + RELOAD_WITHIN;
                self.read_configuration(table, path);
            }
            if table.fatal().is_some() {
                return Ok(());
            }
            // A wait that a signal has cut short has not looked.
            let quiet = last && !interrupted && events.is_empty();
            if quiet && (table.must_end(self.now) || self.nobody_queues(table, listeners)) {
                return Ok(());
            }
            // Clients first: what waits for a connection to its runner is not written once its client has left, though
            // both are heard of in one turn.
            let of_client = |event: &Event| {
                self.conns
                    .get(&(event.key as ConnectionId))
                    .is_some_and(|connection| connection.role == ConnectionRole::Client)
            };
            let (clients, others): (Vec<Event>, Vec<Event>) = events.iter().partition(of_client);
            for event in clients.into_iter().chain(others) {
                match event.key {
                    // Their flags are looked at in each turn.
                    SIGNAL => terminate.drain(),
                    RELOAD => reload.drain(),
                    PEERS => self.hear(table),
                    SUCCESSOR => self.hand_over(table, successor, listeners),
                    key => match listeners.iter().find(|listener| listener.key == key) {
                        Some(listener) => self.accept(table, listener),
                        None => self.ready(key as ConnectionId, event, table),
                    },
                }
            }
            self.call_back(table);
            while let Some(entry) = self.dues.first_entry().filter(|entry| entry.key().0 <= self.now) {
                let due = entry.remove();
                self.fall_due(due, table, (listeners, path));
            }
            if std::mem::take(&mut self.short) {
                table.out_of_descriptors(self);
            }
            table.decide(self);
            if table.accepts() != self.accepting {
                self.accepting = table.accepts();
                self.open(listener_of(listeners, ConnectionRole::Client), self.accepting);
            }
        }
    }

    /// Whether no newcomer waits to be accepted, as the listener ends with this process; whoever does is accepted now.
    fn nobody_queues(&mut self, table: &mut RequestTable, listeners: &[Listener]) -> bool {
        let listener = listener_of(listeners, ConnectionRole::Client).filter(|_| self.accepting);
        let Some(listener) = listener else { return true };
        let before = self.next;
        self.accept(table, listener);
        self.next == before && !self.queued.contains_key(&listener.key)
    }

    /// Takes the time. Where far more has passed than the poller was to wait, whatever is read now may have come at
    /// any time since the last look: a request that is given its whole time from here on would be answered when its
    /// client has long left.
    fn look_up(&mut self, patience: Option<Duration>) {
        let before = std::mem::replace(&mut self.now, self.clock.now());
        let waits = patience.map_or(0, |patience| patience.as_micros() as Micros);
        if self.now - before > waits + STOOD_STILL {
            log!("stood-still", "ms={}", (self.now - before) / 1000);
            let since = self.behind.filter(|(_, until)| before < *until).map_or(before, |(since, _)| since);
            self.behind = Some((since, self.now + CATCHES_UP));
        }
        self.behind = self.behind.filter(|(_, until)| self.now < *until);
    }

    /// SIGHUP: the configuration is read, and again while the host fails that for a moment. What is running goes on
    /// whatever the file holds; a signal that comes after this has it read once more.
    fn read_configuration(&mut self, table: &mut RequestTable, path: &str) {
        match config::load(path) {
            Ok(told) => table.reload(told, self),
            Err(error) if error.is_transient() && self.now < self.reload_until => {
                log!("configuration-delayed", "reason={:?}", error.to_string());
                self.set_timer(Timer::Reload, self.now + RELOAD_AGAIN);
            }
            Err(error) => table.turn_down(&error.to_string()),
        }
    }

    /// Datagrams of other dispatchers, some at a time.
    fn hear(&mut self, table: &mut RequestTable) {
        let mut bytes = [0; 2 * PACKET_MOST];
        for _ in 0..DATAGRAMS {
            let heard = self.datagrams.as_ref().map(|socket| socket.recv_from(&mut bytes));
            match heard {
                Some(Ok((length, from))) => table.datagram(from, &bytes[..length], self),
                // One of ours was refused: nobody is there yet.
                Some(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => {}
                _ => return,
            }
        }
    }

    /// Whether all answers to clients and operators have been written.
    fn all_told(&self) -> bool {
        self.conns.values().all(|connection| {
            !matches!(connection.role, ConnectionRole::Client | ConnectionRole::Operator)
                || !connection.unsent()
        })
    }

    /// How long the poller may wait: until the next due time, not at all where something is left to do.
    fn patience(&self, table: &RequestTable) -> Option<Duration> {
        if table.pending() || !self.broken.is_empty() || !self.revisits.is_empty() {
            return Some(Duration::ZERO);
        }
        let Some(((at, _), _)) = self.dues.first_key_value() else { return Some(LOOKS_UP) };
        Some(Duration::from_micros((at - self.clock.now()).max(0) as u64).min(LOOKS_UP))
    }

    fn fall_due(&mut self, due: Timer, table: &mut RequestTable, (listeners, path): (&[Listener], &str)) {
        match due {
            Timer::Connection(id) => {
                if let Some(role) = self.role(id) {
                    table.callbacks(role).timer_fired(id, self);
                    table.collect_events(self);
                }
            }
            Timer::Finish(id) => {
                if let Some(end) = self.conns.get(&id).and_then(|connection| connection.finishing) {
                    self.remove(id, end);
                }
            }
            Timer::Reload => self.read_configuration(table, path),
            Timer::Dial(id) => {
                if let Some(dial) = self.dials.take(id) {
                    // Why was told the first time.
                    let _ = self.begin_dial(id, dial);
                }
            }
            Timer::Accept(role) => {
                self.open(listener_of(listeners, role), role != ConnectionRole::Client || self.accepting);
            }
            Timer::Watch(id) => self.watch(id),
            due => table.timer_fired(due, self),
        }
    }

    /// Lets newcomers in at a listener, or leaves them waiting.
    fn open(&mut self, listener: Option<&Listener>, open: bool) {
        let Some(Listener { socket, key, role }) = listener else { return };
        let event = if open { Event::readable(*key) } else { Event::none(*key) };
        if let Err(error) = self.poller.modify_with_mode(socket, event, PollMode::Level) {
            log!("poller", "listener={} reason={error}", role.code());
            self.set_timer(Timer::Accept(*role), self.now + WATCH_AGAIN);
        }
    }

    /// A connection to another process of this dispatcher.
    pub fn meet(&mut self, stream: UnixStream, listen: SocketAddr) -> ConnectionId {
        self.add_new(Connection::new(stream.into(), ConnectionRole::Peer, listen, false, self.now))
    }

    fn hand_over(
        &mut self,
        table: &mut RequestTable,
        successor: Option<&UnixListener>,
        listeners: &[Listener],
    ) {
        let Some(Ok((stream, _))) = successor.map(UnixListener::accept) else { return };
        let Some(listener) = listener_of(listeners, ConnectionRole::Client) else { return };
        if !table.may_hand_over() {
            return log!("handover-failed", "reason=\"going down, or at it already\"");
        }
        let given = handover::give(&stream, &listener.socket).and_then(|()| listener.socket.local_addr());
        match given {
            Ok(listen) => {
                let id = self.meet(stream, listen);
                table.hand_over(id, self);
                // From now on the others talk to the new process.
                if let Some(socket) = self.datagrams.take() {
                    let _ = self.poller.delete(&socket);
                }
            }
            Err(error) => log!("handover-failed", "reason={:?}", error.to_string()),
        }
    }

    fn accept(&mut self, table: &mut RequestTable, listener: &Listener) {
        for _ in 0..ACCEPTS {
            if !table.room(listener.role, self) {
                log!("accept-paused", "connections={} reason=no_room", self.conns.len());
                return self.pause(listener, ROOM_AGAIN);
            }
            match listener.socket.accept() {
                Ok((stream, peer)) => {
                    // A stream that blocks would hold up all others.
                    if let Err(error) = stream.set_nonblocking(true) {
                        log!("accept-failed", "reason={error}");
                        continue;
                    }
                    // Without it answers come later, and that is all.
                    let _ = stream.set_nodelay(true);
                    let id =
                        self.add_new(Connection::new(stream.into(), listener.role, peer, false, self.now));
                    table.accepted(listener.role, id, self);
                    self.read_queued(id, listener, table);
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    self.queued.remove(&listener.key);
                    return;
                }
                Err(error) if errno::accept(&error) == Scope::Host => {
                    log!("accept-paused", "connections={} reason={error}", self.conns.len());
                    self.short = true;
                    self.failed.accepts += 1;
                    return self.pause(listener, ACCEPT_AGAIN);
                }
                // The newcomer has left again, or was interrupted: the next one may be well.
                Err(error) => log!("accept-failed", "reason={error}"),
            }
        }
        self.queued.entry(listener.key).or_insert(self.now);
    }

    /// Reads at once what a newcomer has brought that had to wait to be accepted: its time runs from then on. What comes
    /// later has not waited.
    fn read_queued(&mut self, id: ConnectionId, listener: &Listener, table: &mut RequestTable) {
        let Some(since) = self.queued.get(&listener.key).copied() else { return };
        self.queued_since = Some(since);
        self.ready(id, Event::readable(id as usize), table);
        self.queued_since = None;
    }

    fn pause(&mut self, listener: &Listener, again: Micros) {
        self.queued.entry(listener.key).or_insert(self.now);
        self.set_timer(Timer::Accept(listener.role), self.now + again);
        self.open(Some(listener), false);
    }

    /// Whose a connection is, also while its dial has not begun.
    fn role(&self, id: ConnectionId) -> Option<ConnectionRole> {
        let connection = self.conns.get(&id).map(|connection| connection.role);
        connection.or_else(|| self.dials.get(id).map(|dial| dial.role))
    }

    fn next_link(&mut self) -> ConnectionId {
        self.next += 1;
        self.next - 1
    }

    /// Makes a dial, or has it made again soon where the host keeps it from beginning, and says why it does.
    fn begin_dial(&mut self, id: ConnectionId, dial: Dial) -> io::Result<()> {
        let (socket, failed) = match dials::dial(dial.to) {
            Dialled::Begun(socket) => (socket, None),
            Dialled::Failed(socket, error) => (socket, Some(error)),
            Dialled::Postponed(error) => return Err(self.postpone(id, dial, error)),
        };
        let mut connection = Connection::new(socket, dial.role, dial.to, true, self.now);
        connection.queue(&dial.output);
        self.add(id, connection);
        if let Some(error) = failed {
            self.broken.push((id, never_up(&error)));
        }
        Ok(())
    }

    fn postpone(&mut self, id: ConnectionId, dial: Dial, error: io::Error) -> io::Error {
        self.short |= errno::is_shortage(&error);
        self.dials.postpone(id, dial);
        self.set_timer(Timer::Dial(id), self.now + DIAL_AGAIN);
        error
    }

    fn add(&mut self, id: ConnectionId, connection: Connection) {
        self.conns.insert(id, connection);
        self.watch(id);
    }

    fn add_new(&mut self, connection: Connection) -> ConnectionId {
        let id = self.next_link();
        self.add(id, connection);
        id
    }

    fn remove(&mut self, id: ConnectionId, end: CloseReason) {
        if let Some(Dial { to, role, .. }) = self.dials.take(id) {
            log!("dial-given-up", "link={id} side={} peer={to} reason={}", role.code(), end.code());
        }
        let Some(connection) = self.conns.remove(&id) else { return };
        let _ = self.poller.delete(&connection.stream);
        self.failed.reads += connection.failed_reads;
        let (role, peer, ms) =
            (connection.role.code(), connection.peer, (self.now - connection.since) / 1000);
        let unsent = u8::from(connection.unsent());
        log!("connection", "link={id} side={role} peer={peer} reason={} ms={ms} unsent={unsent}", end.code());
    }

    /// Has the poller watch a connection for what it now wants; what the host fails is tried again.
    fn watch(&mut self, id: ConnectionId) {
        let Some(connection) = self.conns.get_mut(&id) else { return };
        let wants = connection.wants();
        if connection.watched == Some(wants) {
            return;
        }
        let event = Event::new(id as usize, wants.0, wants.1);
        let watched = match connection.watched {
            // SAFETY: `remove` takes the socket out of the poller before it is closed.
            None => unsafe { self.poller.add_with_mode(&connection.stream, event, PollMode::Level) },
            Some(_) => self.poller.modify_with_mode(&connection.stream, event, PollMode::Level),
        };
        match watched {
            Ok(()) => connection.watched = Some(wants),
            Err(error) => {
                log!("poller", "link={id} reason={error}");
                self.set_timer(Timer::Watch(id), self.now + WATCH_AGAIN);
            }
        }
    }

    fn ready(&mut self, id: ConnectionId, event: Event, table: &mut RequestTable) {
        let since = self.readable_since();
        let Some(connection) = self.conns.get_mut(&id) else { return };
        let role = connection.role;
        if connection.dialling {
            if !event.writable {
                return;
            }
            if let Err(end) = connection.dialled() {
                return self.lost(id, end, table);
            }
            connection.dialling = false;
            let flushed = connection.flush();
            table.callbacks(role).up(id, self);
            if let Err(end) = flushed {
                self.broken.push((id, end));
            }
            return self.watch(id);
        }
        if event.writable {
            if let Err(end) = connection.flush() {
                return self.lost(id, end, table);
            }
            // What came meanwhile has waited for this.
            if !connection.unsent() && !connection.input.is_empty() {
                self.revisits.push(id);
            }
        }
        let mut end = None;
        if event.readable {
            let had = connection.input.len();
            let mut read = connection.read(&mut self.scratch, since);
            // A client may have asked and left again: both are to be known before it is served.
            let full = Ok(self.scratch.len());
            for _ in 1..READS_ON {
                let on = read == full || self.behind.is_some() && read != Ok(0);
                if role != ConnectionRole::Client || read.is_err() || !on {
                    break;
                }
                read = connection.read(&mut self.scratch, since);
            }
            end = read.err();
            if connection.input.len() > had {
                self.tell(id, table);
            }
        }
        if let Some(end) = end {
            return self.lost(id, end, table);
        }
        self.finished(id);
        self.watch(id);
    }

    /// Gives the owner what has been read.
    fn tell(&mut self, id: ConnectionId, table: &mut RequestTable) {
        let Some(connection) = self.conns.get_mut(&id).filter(|connection| connection.finishing.is_none())
        else {
            return;
        };
        let (role, mut input) = (connection.role, std::mem::take(&mut connection.input));
        let had = input.len();
        table.callbacks(role).bytes(id, &mut input, self);
        table.collect_events(self);
        if let Some(connection) = self.conns.get_mut(&id).filter(|connection| !connection.lingering) {
            connection.receive_times.take(had - input.len());
            input.shrink_to(if input.is_empty() { 4 << 10 } else { usize::MAX });
            connection.input = input;
        }
        self.watch(id);
    }

    /// The other side has ended a connection, or it never came up.
    fn lost(&mut self, id: ConnectionId, end: CloseReason, table: &mut RequestTable) {
        let Some(connection) = self.conns.get_mut(&id) else { return };
        if let Some(end) = connection.finishing {
            return self.remove(id, end);
        }
        let (role, unsent, input) =
            (connection.role, connection.unsent(), std::mem::take(&mut connection.input));
        self.remove(id, end);
        table.callbacks(role).ended(id, end, unsent, &input, self);
        table.collect_events(self);
    }

    /// Shuts our side of a connection that was to end once all is written.
    fn finished(&mut self, id: ConnectionId) {
        let Some(connection) = self.conns.get_mut(&id) else { return };
        if connection.finishing.is_some() && !connection.lingering && !connection.unsent() {
            connection.linger();
        }
    }

    fn call_back(&mut self, table: &mut RequestTable) {
        for (id, end) in std::mem::take(&mut self.broken) {
            self.lost(id, end, table);
        }
        for id in std::mem::take(&mut self.revisits) {
            if self.conns.get(&id).is_some_and(|connection| !connection.input.is_empty()) {
                self.tell(id, table);
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
        let behind = self.behind.map_or(self.now, |(since, _)| since);
        self.queued_since.map_or(behind, |since| since.min(behind))
    }

    fn host_failures(&self) -> HostFailures {
        let open: u64 = self.conns.values().map(|connection| connection.failed_reads).sum();
        HostFailures { dials: self.dials.count, reads: self.failed.reads + open, ..self.failed }
    }

    fn arrived(&self, id: ConnectionId) -> Micros {
        let first = self.conns.get(&id).and_then(|connection| connection.receive_times.first());
        first.unwrap_or_else(|| self.readable_since())
    }

    fn connections(&self) -> usize {
        self.conns.len()
    }

    fn end_lingering(&mut self) -> bool {
        let lingering = self
            .conns
            .iter()
            .filter(|(_, connection)| connection.lingering && connection.role == ConnectionRole::Client);
        let ends = lingering.filter_map(|(id, connection)| Some((*id, connection.finishing?)));
        let oldest = ends.min_by_key(|(id, _)| *id);
        oldest.inspect(|(id, end)| self.remove(*id, *end)).is_some()
    }

    fn dial(&mut self, to: SocketAddr, role: ConnectionRole) -> ConnectionId {
        let id = self.next_link();
        if let Err(error) = self.begin_dial(id, Dial { to, role, output: Vec::new() }) {
            log!("dial-postponed", "link={id} side={} peer={to} reason={error}", role.code());
        }
        id
    }

    fn postponed(&self, id: ConnectionId) -> bool {
        self.dials.get(id).is_some()
    }

    fn send(&mut self, id: ConnectionId, bytes: &[u8]) {
        if let Some(dial) = self.dials.get_mut(id) {
            return dial.output.extend_from_slice(bytes);
        }
        let Some(connection) = self.conns.get_mut(&id) else { return };
        connection.queue(bytes);
        match connection.flush() {
            Ok(()) => self.watch(id),
            Err(end) => self.broken.push((id, end)),
        }
    }

    fn is_reusable(&mut self, id: ConnectionId) -> bool {
        let broken = self.broken.iter().any(|(known, _)| *known == id);
        !broken && self.conns.get(&id).is_some_and(Connection::is_reusable)
    }

    fn peer_has_closed(&self, id: ConnectionId) -> bool {
        self.conns.get(&id).is_none_or(Connection::peer_has_closed)
    }

    fn unsent(&self, id: ConnectionId) -> bool {
        self.conns.get(&id).is_some_and(Connection::unsent)
    }

    fn has_overflowed(&self, id: ConnectionId) -> bool {
        self.conns.get(&id).is_some_and(Connection::has_overflowed)
    }

    fn process_again(&mut self, id: ConnectionId) {
        self.revisits.push(id);
    }

    fn finish(&mut self, id: ConnectionId, end: CloseReason) {
        let Some(connection) = self.conns.get_mut(&id) else { return };
        connection.finishing = Some(end);
        self.finished(id);
        self.set_timer(Timer::Finish(id), self.now + FINISH_WITHIN);
        self.watch(id);
    }

    fn abort(&mut self, id: ConnectionId, end: CloseReason) {
        self.remove(id, end);
    }

    fn datagram(&mut self, to: SocketAddr, bytes: &[u8]) {
        if let Some(socket) = &self.datagrams {
            // What cannot be sent now is as good as lost on its way.
            let _ = socket.send_to(bytes, to);
        }
    }

    fn set_timer(&mut self, due: Timer, at: Micros) {
        self.serial += 1;
        self.dues.insert((at, self.serial), due);
    }
}
