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
use crate::net::connection::{Conn, End, HostFailures, Link, Side, Timer, Wires, never_up};
use crate::net::dials::{self, DIAL_AGAIN, Dial, Dialled, Dials};
use crate::net::errno::{self, Scope};
use crate::net::log::log;
use crate::request_table::Desk;

pub const SIGNAL: usize = 0;
pub const RELOAD: usize = 1;
/// A successor asks for what this process has.
pub const SUCCESSOR: usize = 2;
/// A datagram has come from another dispatcher.
pub const PEERS: usize = 3;
/// The keys of the listeners, in their order.
pub const LISTENERS: usize = 4;
const FIRST_LINK: Link = 6;
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
    pub side: Side,
    /// What the poller knows it by.
    pub key: usize,
}

fn listener_of(listeners: &[Listener], side: Side) -> Option<&Listener> {
    listeners.iter().find(|listener| listener.side == side)
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
    conns: HashMap<Link, Conn>,
    next: Link,
    dues: BTreeMap<(Micros, u64), Timer>,
    serial: u64,
    /// Connections that broke under a write: their owners are called back in the next turn.
    broken: Vec<(Link, End)>,
    revisits: Vec<Link>,
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
        desk: &mut Desk,
        listeners: &[Listener],
        successor: Option<&UnixListener>,
        (terminate, reload, path): (&Signal, &Signal, &str),
    ) -> io::Result<()> {
        let mut events = Events::new();
        // What the start took is no standing still.
        self.now = self.clock.now();
        desk.settle(self);
        loop {
            // The last look before the end: what has come meanwhile has been taken, and is still answered.
            let last = (desk.is_down(self.now) || desk.must_end(self.now)) && self.all_told();
            let patience = if last { Some(LAST_LOOK) } else { self.patience(desk) };
            events.clear();
            let interrupted = match self.poller.wait(&mut events, patience) {
                Err(error) if error.kind() == io::ErrorKind::Interrupted => true,
                waited => waited.map(|_| false)?,
            };
            self.look_up(patience);
            if terminate.take() {
                desk.go_down(self);
            }
            if reload.take() {
                self.reload_until = self.now + RELOAD_WITHIN;
                self.read_configuration(desk, path);
            }
            if desk.fatal().is_some() {
                return Ok(());
            }
            // A wait that a signal has cut short has not looked.
            let quiet = last && !interrupted && events.is_empty();
            if quiet && (desk.must_end(self.now) || self.nobody_queues(desk, listeners)) {
                return Ok(());
            }
            // Clients first: what waits for a connection to its runner is not written once its client has left, though
            // both are heard of in one turn.
            let of_client = |event: &Event| {
                self.conns.get(&(event.key as Link)).is_some_and(|conn| conn.side == Side::Client)
            };
            let (clients, others): (Vec<Event>, Vec<Event>) = events.iter().partition(of_client);
            for event in clients.into_iter().chain(others) {
                match event.key {
                    // Their flags are looked at in each turn.
                    SIGNAL => terminate.drain(),
                    RELOAD => reload.drain(),
                    PEERS => self.hear(desk),
                    SUCCESSOR => self.hand_over(desk, successor, listeners),
                    key => match listeners.iter().find(|listener| listener.key == key) {
                        Some(listener) => self.accept(desk, listener),
                        None => self.ready(key as Link, event, desk),
                    },
                }
            }
            self.call_back(desk);
            while let Some(entry) = self.dues.first_entry().filter(|entry| entry.key().0 <= self.now) {
                let due = entry.remove();
                self.fall_due(due, desk, (listeners, path));
            }
            if std::mem::take(&mut self.short) {
                desk.out_of_descriptors(self);
            }
            desk.settle(self);
            if desk.accepts() != self.accepting {
                self.accepting = desk.accepts();
                self.open(listener_of(listeners, Side::Client), self.accepting);
            }
        }
    }

    /// Whether no newcomer waits to be accepted, as the listener ends with this process; whoever does is accepted now.
    fn nobody_queues(&mut self, desk: &mut Desk, listeners: &[Listener]) -> bool {
        let listener = listener_of(listeners, Side::Client).filter(|_| self.accepting);
        let Some(listener) = listener else { return true };
        let before = self.next;
        self.accept(desk, listener);
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
    fn read_configuration(&mut self, desk: &mut Desk, path: &str) {
        match config::load(path) {
            Ok(told) => desk.reload(told, self),
            Err(error) if error.passes() && self.now < self.reload_until => {
                log!("configuration-delayed", "reason={:?}", error.to_string());
                self.wake(Timer::Reload, self.now + RELOAD_AGAIN);
            }
            Err(error) => desk.turn_down(&error.to_string()),
        }
    }

    /// Datagrams of other dispatchers, some at a time.
    fn hear(&mut self, desk: &mut Desk) {
        let mut bytes = [0; 2 * PACKET_MOST];
        for _ in 0..DATAGRAMS {
            let heard = self.datagrams.as_ref().map(|socket| socket.recv_from(&mut bytes));
            match heard {
                Some(Ok((length, from))) => desk.datagram(from, &bytes[..length], self),
                // One of ours was refused: nobody is there yet.
                Some(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => {}
                _ => return,
            }
        }
    }

    /// Whether all answers to clients and operators have been written.
    fn all_told(&self) -> bool {
        self.conns.values().all(|conn| !matches!(conn.side, Side::Client | Side::Operator) || !conn.unsent())
    }

    /// How long the poller may wait: until the next due time, not at all where something is left to do.
    fn patience(&self, desk: &Desk) -> Option<Duration> {
        if desk.pending() || !self.broken.is_empty() || !self.revisits.is_empty() {
            return Some(Duration::ZERO);
        }
        let Some(((at, _), _)) = self.dues.first_key_value() else { return Some(LOOKS_UP) };
        Some(Duration::from_micros((at - self.clock.now()).max(0) as u64).min(LOOKS_UP))
    }

    fn fall_due(&mut self, due: Timer, desk: &mut Desk, (listeners, path): (&[Listener], &str)) {
        match due {
            Timer::Link(link) => {
                if let Some(side) = self.side(link) {
                    desk.callbacks(side).due(link, self);
                    desk.collect(self);
                }
            }
            Timer::Finish(link) => {
                if let Some(end) = self.conns.get(&link).and_then(|conn| conn.finishing) {
                    self.remove(link, end);
                }
            }
            Timer::Reload => self.read_configuration(desk, path),
            Timer::Dial(link) => {
                if let Some(dial) = self.dials.take(link) {
                    // Why was told the first time.
                    let _ = self.begin_dial(link, dial);
                }
            }
            Timer::Accept(side) => {
                self.open(listener_of(listeners, side), side != Side::Client || self.accepting);
            }
            Timer::Watch(link) => self.watch(link),
            due => desk.due(due, self),
        }
    }

    /// Lets newcomers in at a listener, or leaves them waiting.
    fn open(&mut self, listener: Option<&Listener>, open: bool) {
        let Some(Listener { socket, key, side }) = listener else { return };
        let event = if open { Event::readable(*key) } else { Event::none(*key) };
        if let Err(error) = self.poller.modify_with_mode(socket, event, PollMode::Level) {
            log!("poller", "listener={} reason={error}", side.code());
            self.wake(Timer::Accept(*side), self.now + WATCH_AGAIN);
        }
    }

    /// A connection to another process of this dispatcher.
    pub fn meet(&mut self, stream: UnixStream, listen: SocketAddr) -> Link {
        self.add_new(Conn::new(stream.into(), Side::Peer, listen, false, self.now))
    }

    fn hand_over(&mut self, desk: &mut Desk, successor: Option<&UnixListener>, listeners: &[Listener]) {
        let Some(Ok((stream, _))) = successor.map(UnixListener::accept) else { return };
        let Some(listener) = listener_of(listeners, Side::Client) else { return };
        if !desk.may_hand_over() {
            return log!("handover-failed", "reason=\"going down, or at it already\"");
        }
        let given = handover::give(&stream, &listener.socket).and_then(|()| listener.socket.local_addr());
        match given {
            Ok(listen) => {
                let link = self.meet(stream, listen);
                desk.hand_over(link, self);
                // From now on the others talk to the new process.
                if let Some(socket) = self.datagrams.take() {
                    let _ = self.poller.delete(&socket);
                }
            }
            Err(error) => log!("handover-failed", "reason={:?}", error.to_string()),
        }
    }

    fn accept(&mut self, desk: &mut Desk, listener: &Listener) {
        for _ in 0..ACCEPTS {
            if !desk.room(listener.side, self) {
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
                    let link = self.add_new(Conn::new(stream.into(), listener.side, peer, false, self.now));
                    desk.accepted(listener.side, link, self);
                    self.read_queued(link, listener, desk);
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
    fn read_queued(&mut self, link: Link, listener: &Listener, desk: &mut Desk) {
        let Some(since) = self.queued.get(&listener.key).copied() else { return };
        self.queued_since = Some(since);
        self.ready(link, Event::readable(link as usize), desk);
        self.queued_since = None;
    }

    fn pause(&mut self, listener: &Listener, again: Micros) {
        self.queued.entry(listener.key).or_insert(self.now);
        self.wake(Timer::Accept(listener.side), self.now + again);
        self.open(Some(listener), false);
    }

    /// Whose a connection is, also while its dial has not begun.
    fn side(&self, link: Link) -> Option<Side> {
        let conn = self.conns.get(&link).map(|conn| conn.side);
        conn.or_else(|| self.dials.get(link).map(|dial| dial.side))
    }

    fn next_link(&mut self) -> Link {
        self.next += 1;
        self.next - 1
    }

    /// Makes a dial, or has it made again soon where the host keeps it from beginning, and says why it does.
    fn begin_dial(&mut self, link: Link, dial: Dial) -> io::Result<()> {
        let (socket, failed) = match dials::dial(dial.to) {
            Dialled::Begun(socket) => (socket, None),
            Dialled::Failed(socket, error) => (socket, Some(error)),
            Dialled::Postponed(error) => return Err(self.postpone(link, dial, error)),
        };
        let mut conn = Conn::new(socket, dial.side, dial.to, true, self.now);
        conn.queue(&dial.output);
        self.add(link, conn);
        if let Some(error) = failed {
            self.broken.push((link, never_up(&error)));
        }
        Ok(())
    }

    fn postpone(&mut self, link: Link, dial: Dial, error: io::Error) -> io::Error {
        self.short |= errno::is_shortage(&error);
        self.dials.postpone(link, dial);
        self.wake(Timer::Dial(link), self.now + DIAL_AGAIN);
        error
    }

    fn add(&mut self, link: Link, conn: Conn) {
        self.conns.insert(link, conn);
        self.watch(link);
    }

    fn add_new(&mut self, conn: Conn) -> Link {
        let link = self.next_link();
        self.add(link, conn);
        link
    }

    fn remove(&mut self, link: Link, end: End) {
        if let Some(Dial { to, side, .. }) = self.dials.take(link) {
            log!("dial-given-up", "link={link} side={} peer={to} reason={}", side.code(), end.code());
        }
        let Some(conn) = self.conns.remove(&link) else { return };
        let _ = self.poller.delete(&conn.stream);
        self.failed.reads += conn.failed_reads;
        let (side, peer, ms) = (conn.side.code(), conn.peer, (self.now - conn.since) / 1000);
        let unsent = u8::from(conn.unsent());
        log!(
            "connection",
            "link={link} side={side} peer={peer} reason={} ms={ms} unsent={unsent}",
            end.code()
        );
    }

    /// Has the poller watch a connection for what it now wants; what the host fails is tried again.
    fn watch(&mut self, link: Link) {
        let Some(conn) = self.conns.get_mut(&link) else { return };
        let wants = conn.wants();
        if conn.watched == Some(wants) {
            return;
        }
        let event = Event::new(link as usize, wants.0, wants.1);
        let watched = match conn.watched {
            // SAFETY: `remove` takes the socket out of the poller before it is closed.
            None => unsafe { self.poller.add_with_mode(&conn.stream, event, PollMode::Level) },
            Some(_) => self.poller.modify_with_mode(&conn.stream, event, PollMode::Level),
        };
        match watched {
            Ok(()) => conn.watched = Some(wants),
            Err(error) => {
                log!("poller", "link={link} reason={error}");
                self.wake(Timer::Watch(link), self.now + WATCH_AGAIN);
            }
        }
    }

    fn ready(&mut self, link: Link, event: Event, desk: &mut Desk) {
        let since = self.came_since();
        let Some(conn) = self.conns.get_mut(&link) else { return };
        let side = conn.side;
        if conn.dialling {
            if !event.writable {
                return;
            }
            if let Err(end) = conn.dialled() {
                return self.lost(link, end, desk);
            }
            conn.dialling = false;
            let flushed = conn.flush();
            desk.callbacks(side).up(link, self);
            if let Err(end) = flushed {
                self.broken.push((link, end));
            }
            return self.watch(link);
        }
        if event.writable {
            if let Err(end) = conn.flush() {
                return self.lost(link, end, desk);
            }
            // What came meanwhile has waited for this.
            if !conn.unsent() && !conn.input.is_empty() {
                self.revisits.push(link);
            }
        }
        let mut end = None;
        if event.readable {
            let had = conn.input.len();
            let mut read = conn.read(&mut self.scratch, since);
            // A client may have asked and left again: both are to be known before it is served.
            let full = Ok(self.scratch.len());
            for _ in 1..READS_ON {
                let on = read == full || self.behind.is_some() && read != Ok(0);
                if side != Side::Client || read.is_err() || !on {
                    break;
                }
                read = conn.read(&mut self.scratch, since);
            }
            end = read.err();
            if conn.input.len() > had {
                self.tell(link, desk);
            }
        }
        if let Some(end) = end {
            return self.lost(link, end, desk);
        }
        self.finished(link);
        self.watch(link);
    }

    /// Gives the owner what has been read.
    fn tell(&mut self, link: Link, desk: &mut Desk) {
        let Some(conn) = self.conns.get_mut(&link).filter(|conn| conn.finishing.is_none()) else { return };
        let (side, mut input) = (conn.side, std::mem::take(&mut conn.input));
        let had = input.len();
        desk.callbacks(side).bytes(link, &mut input, self);
        desk.collect(self);
        if let Some(conn) = self.conns.get_mut(&link).filter(|conn| !conn.lingering) {
            conn.arrivals.take(had - input.len());
            input.shrink_to(if input.is_empty() { 4 << 10 } else { usize::MAX });
            conn.input = input;
        }
        self.watch(link);
    }

    /// The other side has ended a connection, or it never came up.
    fn lost(&mut self, link: Link, end: End, desk: &mut Desk) {
        let Some(conn) = self.conns.get_mut(&link) else { return };
        if let Some(end) = conn.finishing {
            return self.remove(link, end);
        }
        let (side, unsent, input) = (conn.side, conn.unsent(), std::mem::take(&mut conn.input));
        self.remove(link, end);
        desk.callbacks(side).ended(link, end, unsent, &input, self);
        desk.collect(self);
    }

    /// Shuts our side of a connection that was to end once all is written.
    fn finished(&mut self, link: Link) {
        let Some(conn) = self.conns.get_mut(&link) else { return };
        if conn.finishing.is_some() && !conn.lingering && !conn.unsent() {
            conn.linger();
        }
    }

    fn call_back(&mut self, desk: &mut Desk) {
        for (link, end) in std::mem::take(&mut self.broken) {
            self.lost(link, end, desk);
        }
        for link in std::mem::take(&mut self.revisits) {
            if self.conns.get(&link).is_some_and(|conn| !conn.input.is_empty()) {
                self.tell(link, desk);
            }
        }
    }
}

impl Wires for Reactor {
    fn now(&self) -> Micros {
        self.now
    }

    fn clock(&self) -> Micros {
        self.clock.now()
    }

    fn came_since(&self) -> Micros {
        let behind = self.behind.map_or(self.now, |(since, _)| since);
        self.queued_since.map_or(behind, |since| since.min(behind))
    }

    fn host_failures(&self) -> HostFailures {
        let open: u64 = self.conns.values().map(|conn| conn.failed_reads).sum();
        HostFailures { dials: self.dials.count, reads: self.failed.reads + open, ..self.failed }
    }

    fn arrived(&self, link: Link) -> Micros {
        let first = self.conns.get(&link).and_then(|conn| conn.arrivals.first());
        first.unwrap_or_else(|| self.came_since())
    }

    fn connections(&self) -> usize {
        self.conns.len()
    }

    fn end_lingering(&mut self) -> bool {
        let lingering = self.conns.iter().filter(|(_, conn)| conn.lingering && conn.side == Side::Client);
        let ends = lingering.filter_map(|(link, conn)| Some((*link, conn.finishing?)));
        let oldest = ends.min_by_key(|(link, _)| *link);
        oldest.inspect(|(link, end)| self.remove(*link, *end)).is_some()
    }

    fn dial(&mut self, to: SocketAddr, side: Side) -> Link {
        let link = self.next_link();
        if let Err(error) = self.begin_dial(link, Dial { to, side, output: Vec::new() }) {
            log!("dial-postponed", "link={link} side={} peer={to} reason={error}", side.code());
        }
        link
    }

    fn postponed(&self, link: Link) -> bool {
        self.dials.get(link).is_some()
    }

    fn send(&mut self, link: Link, bytes: &[u8]) {
        if let Some(dial) = self.dials.get_mut(link) {
            return dial.output.extend_from_slice(bytes);
        }
        let Some(conn) = self.conns.get_mut(&link) else { return };
        conn.queue(bytes);
        match conn.flush() {
            Ok(()) => self.watch(link),
            Err(end) => self.broken.push((link, end)),
        }
    }

    fn fresh(&mut self, link: Link) -> bool {
        let broken = self.broken.iter().any(|(known, _)| *known == link);
        !broken && self.conns.get(&link).is_some_and(Conn::fresh)
    }

    fn left(&self, link: Link) -> bool {
        self.conns.get(&link).is_none_or(Conn::left)
    }

    fn unsent(&self, link: Link) -> bool {
        self.conns.get(&link).is_some_and(Conn::unsent)
    }

    fn spilt(&self, link: Link) -> bool {
        self.conns.get(&link).is_some_and(Conn::spilt)
    }

    fn revisit(&mut self, link: Link) {
        self.revisits.push(link);
    }

    fn finish(&mut self, link: Link, end: End) {
        let Some(conn) = self.conns.get_mut(&link) else { return };
        conn.finishing = Some(end);
        self.finished(link);
        self.wake(Timer::Finish(link), self.now + FINISH_WITHIN);
        self.watch(link);
    }

    fn cut(&mut self, link: Link, end: End) {
        self.remove(link, end);
    }

    fn datagram(&mut self, to: SocketAddr, bytes: &[u8]) {
        if let Some(socket) = &self.datagrams {
            // What cannot be sent now is as good as lost on its way.
            let _ = socket.send_to(bytes, to);
        }
    }

    fn wake(&mut self, due: Timer, at: Micros) {
        self.serial += 1;
        self.dues.insert((at, self.serial), due);
    }
}
