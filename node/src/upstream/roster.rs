//! The roster of runners: queries service discovery, follows its watch, and parses its lines into roster
//! updates.
//!
//! Holds the one watch, the generation that it has reached, and its timeouts. The routing policy decides
//! whether to retry, not this module. No change may be lost: a generation counts as reached only once its
//! entries have been handed on as an event.

mod passed;

use std::fmt;
use std::net::SocketAddr;

use serde::de::{SeqAccess, Visitor};
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use serde_json::{Value, json};
use topazsail::{Listing, Micros, Readiness, RosterEntry};

use crate::net::connection::{
    CloseReason, ConnectionDriver, ConnectionHandler, ConnectionId, ConnectionRole, Timer,
};
use crate::net::http::{self, ChunkDecoder, Framing, encode_bodiless_request};
use crate::net::log::log;
use crate::upstream::membership::ROSTER_LEASE_TIMEOUT;
use crate::upstream::object_scanner::ObjectScanner;
pub use passed::{PassedContact, PassedRoster};

// Discovery treats a change that it could deliver as known to the dispatcher after `ROSTER_LEASE_TIMEOUT`.
// These timeouts and the routing policy's pauses between requests add up to less than that, in whatever order
// requests fail; docs/design.md has the sums.

/// Time to connect to discovery. While discovery is unreachable no dial succeeds, and the sooner one is given
/// up, the sooner the next one can get through. In microseconds, like all times here.
const DIAL_TIMEOUT: Micros = 1_000_000;
/// A request without an answer for this long is late, and another one is sent beside it. The late one stays
/// open: many callers make discovery slow, and a caller that gives up its place in the queue is never served
/// and only lengthens the wait of the others.
const ANSWER_TIMEOUT: Micros = ROSTER_LEASE_TIMEOUT / 2;
/// The same where an agent of this dispatcher pushes the rosters: it has no queue of callers, and answers at
/// once or not at all.
const AGENT_ANSWER_TIMEOUT: Micros = 1_000_000;
/// Discovery sends an empty line as a heartbeat every 2 s; a watch that has been silent for this long has
/// missed one.
const HEARTBEAT_TIMEOUT: Micros = 2_800_000;
/// Receiving this many bytes of a long roster or line counts as a sign of life. Fewer do not, or a trickle of
/// bytes would keep a dead request open for good.
const MIN_PROGRESS_BYTES: usize = 1 << 10;
/// Time for a whole roster or a line to become complete, from its first byte on.
const MESSAGE_TIMEOUT: Micros = 10_000_000;
/// If discovery has failed every request for this long, it is taken to be down, even if its earlier failures
/// looked like overload: a start may take 30 s, and service has to begin before that.
const DOWN_TIMEOUT: Micros = 25_000_000;
/// The most invalid entries of a list that are logged.
const MAX_FAULTS: usize = 100;
/// Maximum number of open requests to discovery.
const MAX_REQUESTS: usize = 2;

/// A roster or a change to it, as discovery sends it.
#[derive(Debug, Default, Deserialize, Serialize)]
pub struct RosterSnapshot {
    /// Discovery's version of the roster.
    pub generation: u64,
    /// Whether this is the whole roster and replaces what was known.
    #[serde(default)]
    pub reset: bool,
    #[serde(deserialize_with = "read_instances")]
    instances: Instances,
}

/// A roster entry with its address, if it has one.
type AddressedEntry = (RosterEntry, Option<SocketAddr>);

/// The elements of discovery's list.
#[derive(Debug, Default)]
struct Instances {
    entries: Vec<AddressedEntry>,
    /// What is wrong with the first invalid ones.
    faults: Vec<String>,
}

impl Instances {
    /// Adds an element. An invalid one still counts if it says that its runner is not up.
    fn add(&mut self, value: &Value) {
        let parsed = match Instance::deserialize(value) {
            Ok(instance) => instance.into_entry(),
            Err(error) => Err(error.to_string()),
        };
        match parsed {
            Ok(entry) => self.entries.push(entry),
            Err(fault) => {
                self.entries.extend(Instance::salvage(value).and_then(|instance| instance.into_entry().ok()));
                if self.faults.len() < MAX_FAULTS {
                    self.faults.push(fault);
                }
            }
        }
    }
}

/// An entry in the JSON that discovery sends.
fn instance_json(entry: &RosterEntry, address: Option<SocketAddr>) -> Value {
    let lifecycle = match entry.readiness {
        Readiness::Up => "up",
        Readiness::Draining => "draining",
        Readiness::Removed => "removed",
    };
    json!({
        "instanceId": &*entry.runner,
        "hostPort": address.map(|address| address.to_string()),
        "zone": &*entry.zone,
        "machineType": &*entry.machine_type,
        "cell": entry.cell,
        "lifecycle": lifecycle,
        "weight": entry.size,
        "startedAtMs": entry.started_at.unwrap_or(0) / 1000,
    })
}

/// Writes the elements one by one, as they are read.
impl Serialize for Instances {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_seq(self.entries.iter().map(|(entry, address)| instance_json(entry, *address)))
    }
}

/// Reads the elements one by one, as the JSON of all of them together would take many times their text.
fn read_instances<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Instances, D::Error> {
    struct Elements;

    impl<'de> Visitor<'de> for Elements {
        type Value = Instances;

        fn expecting(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
            formatter.write_str("a list of runners")
        }

        fn visit_seq<A: SeqAccess<'de>>(self, mut elements: A) -> Result<Self::Value, A::Error> {
            let mut instances = Instances::default();
            while let Some(value) = elements.next_element::<Value>()? {
                instances.add(&value);
            }
            Ok(instances)
        }
    }

    deserializer.deserialize_seq(Elements)
}

impl RosterSnapshot {
    /// Parses discovery's JSON.
    pub fn from_value(value: Value) -> Result<RosterSnapshot, String> {
        serde_json::from_value(value).map_err(|error| error.to_string())
    }

    /// The number of entries.
    pub fn len(&self) -> usize {
        self.instances.entries.len()
    }

    /// A whole roster, or a change to it, with these entries.
    fn new(generation: u64, reset: bool, entries: Vec<AddressedEntry>) -> RosterSnapshot {
        RosterSnapshot { generation, reset, instances: Instances { entries, faults: Vec::new() } }
    }

    /// Encodes a whole roster in the JSON that discovery sends.
    pub fn to_json<'a>(
        generation: u64,
        entries: impl Iterator<Item = (&'a RosterEntry, SocketAddr)>,
    ) -> Value {
        let instances: Vec<Value> =
            entries.map(|(entry, address)| instance_json(entry, Some(address))).collect();
        json!({ "generation": generation, "reset": true, "instances": instances })
    }

    /// The valid entries, each with its address if it has one; invalid entries are logged. The generation
    /// counts as reached all the same, and discovery does not repeat an entry. An invalid entry is therefore
    /// still used if it says that a runner is not up.
    pub fn entries(self) -> Vec<AddressedEntry> {
        for fault in self.instances.faults {
            log!("bad-entry", "reason={fault:?}");
        }
        self.instances.entries
    }
}

/// One runner in discovery's JSON.
#[derive(Default, Deserialize)]
#[serde(rename_all = "camelCase")]
struct Instance {
    instance_id: String,
    host_port: Option<String>,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    machine_type: String,
    cell: Option<i64>,
    lifecycle: String,
    weight: Option<f64>,
    #[serde(default)]
    started_at_ms: i64,
}

impl Instance {
    /// The id and the state from an invalid entry, if its runner is not up. A runner in an unknown state must
    /// not get new work, so it counts as draining.
    fn salvage(value: &Value) -> Option<Instance> {
        let state = value.get("lifecycle").and_then(Value::as_str).unwrap_or_default();
        let lifecycle = match state {
            "up" => return None,
            "removed" => state,
            _ => "draining",
        };
        let id = value.get("instanceId")?.as_str()?;
        Some(Instance { instance_id: id.to_owned(), lifecycle: lifecycle.to_owned(), ..Instance::default() })
    }

    /// Checks the entry; the error names the field, its value and what was expected.
    fn into_entry(self) -> Result<AddressedEntry, String> {
        // The id appears in log lines, and runners send it back in call-backs.
        if self.instance_id.is_empty() || self.instance_id.contains(|c: char| c.is_control() || c == ' ') {
            return Err(format!(
                "instanceId has the bad value {:?}: expected a name without blanks or control characters",
                self.instance_id
            ));
        }
        let readiness = match self.lifecycle.as_str() {
            "up" => Readiness::Up,
            "draining" => Readiness::Draining,
            "removed" => Readiness::Removed,
            other => {
                return Err(format!(
                    "{}: lifecycle has the unknown value {other}: expected up, draining or removed",
                    self.instance_id
                ));
            }
        };
        let address = match self.host_port.as_deref().filter(|text| !text.is_empty()) {
            Some(text) => Some(text.parse().map_err(|_| {
                format!("{}: hostPort has the bad value '{text}': expected IP:PORT", self.instance_id)
            })?),
            None if readiness == Readiness::Up => {
                return Err(format!("{}: hostPort is missing, though lifecycle is up", self.instance_id));
            }
            None => None,
        };
        let weight = self.weight.filter(|weight| weight.is_finite()).unwrap_or(1.0);
        let entry = RosterEntry {
            runner: self.instance_id.into(),
            cell: self.cell.unwrap_or(-1),
            size: weight.max(0.0),
            machine_type: self.machine_type.into(),
            zone: self.zone.into(),
            readiness,
            // The bound is far beyond any real time, and leaves room for sums of times without overflow.
            started_at: Some(self.started_at_ms).filter(|ms| (1..1 << 50).contains(ms)).map(|ms| ms * 1000),
        };
        Ok((entry, address))
    }
}

/// A roster, a change to it, or the failure of a request for it ([`Listing::Refused`]).
#[derive(Debug)]
pub struct RosterEvent {
    pub listing: Listing,
    /// When discovery was last in contact before this, if it was: runners new in this roster were not listed
    /// then.
    pub previous_contact: Option<Micros>,
    pub entries: Vec<AddressedEntry>,
    /// Its place in discovery's count, if this process has received it from discovery.
    pub generations: Option<Generations>,
}

/// From which generation of the roster, if one was known, to which one a list leads.
#[derive(Clone, Copy, Debug)]
pub struct Generations {
    pub since: Option<u64>,
    pub reached: u64,
}

impl RosterEvent {
    /// A list that this process has not received from discovery, or the failure of a request.
    pub fn local(listing: Listing, entries: Vec<AddressedEntry>) -> RosterEvent {
        RosterEvent { listing, previous_contact: None, entries, generations: None }
    }
}

/// An open request to discovery. The first one on which a complete line arrives becomes the watch.
struct WatchRequest {
    connection: ConnectionId,
    sent_at: Micros,
    /// The generation that it asks for the changes since, then the last one received on it. The other process
    /// of an upgrade may have told of later ones.
    generation: Option<u64>,
    connected: bool,
    /// How the body is framed, once the head has arrived.
    framing: Option<Framing>,
    /// Whether the connection can be used again after this answer.
    keep_alive: bool,
    chunks: ChunkDecoder,
    /// The part of the body that is not yet processed.
    body: Vec<u8>,
    /// Whether it holds a complete object of a watch.
    scanner: ObjectScanner,
    /// When it last showed a sign of life.
    last_progress_at: Micros,
    /// The length of `body` at that time.
    progress_bytes: usize,
    /// When the first byte of `body` arrived.
    first_byte_at: Option<Micros>,
    /// A complete line has arrived on it: it is the watch.
    is_watch: bool,
    /// It has been silent for too long: another one is sent, and the first of them to receive a line is the
    /// watch.
    is_late: bool,
}

impl WatchRequest {
    fn new(connection: ConnectionId, generation: Option<u64>, connected: bool, now: Micros) -> WatchRequest {
        WatchRequest {
            connection,
            sent_at: now,
            generation,
            connected,
            framing: None,
            keep_alive: false,
            chunks: ChunkDecoder::default(),
            body: Vec::new(),
            scanner: ObjectScanner::default(),
            last_progress_at: now,
            progress_bytes: 0,
            first_byte_at: None,
            is_watch: false,
            is_late: false,
        }
    }

    /// When it becomes late, or has to be given up if it is late already. `pushed` is as in [`Roster`].
    fn deadline(&self, pushed: bool) -> Micros {
        let timeout = match self.is_watch {
            _ if !self.connected => DIAL_TIMEOUT,
            false if pushed => AGENT_ANSWER_TIMEOUT,
            false => ANSWER_TIMEOUT,
            true => HEARTBEAT_TIMEOUT,
        };
        let silent = self.last_progress_at + if self.is_late { 3 * timeout } else { timeout };
        self.first_byte_at.map_or(silent, |first_byte_at| silent.min(first_byte_at + MESSAGE_TIMEOUT))
    }

    /// Moves the received part of the body to `body`, and notes its progress.
    fn receive(&mut self, framing: Framing, input: &mut Vec<u8>, now: Micros) -> Result<(), &'static str> {
        if self.body.is_empty() {
            self.first_byte_at = None;
        }
        match framing {
            Framing::Chunked => {
                let used = self.chunks.feed(input, &mut self.body).map_err(|_| "bad_chunk")?;
                drop(input.drain(..used));
            }
            Framing::Length(_) | Framing::UntilEnd => self.body.append(input),
        }
        if !self.body.is_empty() {
            self.first_byte_at.get_or_insert(now);
        }
        if self.body.len() >= self.progress_bytes + MIN_PROGRESS_BYTES {
            (self.progress_bytes, self.last_progress_at) = (self.body.len(), now);
        }
        Ok(())
    }
}

/// The connection to service discovery.
pub struct Roster {
    discovery: SocketAddr,
    /// The last generation received; none if nothing has been received from this address yet. Generations of
    /// another address do not count there, so the whole roster is requested first.
    generation: Option<u64>,
    /// An agent of this dispatcher pushes the rosters. If it does not answer, it has learnt of no changes, as
    /// discovery is down then.
    pushed: bool,
    /// Whether the watch is wanted at all.
    should_follow: bool,
    /// Maximum length of a whole roster or of one line of a watch, in bytes.
    max_bytes: usize,
    /// The open requests, the newest last; all but the newest are late.
    requests: Vec<WatchRequest>,
    /// Until when no change can have been missed. After that discovery could be reached, and may have had
    /// changes that have not arrived.
    certain_until: Micros,
    /// Until when what has arrived on a watch shows that no change can have been missed.
    heard_until: Micros,
    /// A list of the other process of an upgrade leads from a generation that this process has not reached.
    has_gap: bool,
    /// When the last line arrived.
    last_contact: Option<Micros>,
    /// Discovery has closed the watch, and nothing has arrived since: it is down.
    is_down: bool,
    /// When the first request was sent after the last data arrived, if any was.
    failing_since: Option<Micros>,
    /// Events that the owner has not processed yet.
    pub events: Vec<RosterEvent>,
}

impl Roster {
    /// Starts from a remembered roster of this generation, which may be of any age.
    pub fn new(discovery: SocketAddr, generation: u64, pushed: bool) -> Roster {
        Roster {
            discovery,
            generation: Some(generation),
            pushed,
            should_follow: false,
            max_bytes: usize::MAX,
            requests: Vec::new(),
            certain_until: 0,
            heard_until: 0,
            has_gap: false,
            last_contact: None,
            is_down: false,
            failing_since: None,
            events: Vec::new(),
        }
    }

    /// The address of discovery.
    pub fn discovery(&self) -> SocketAddr {
        self.discovery
    }

    /// The last generation received from this address, if any.
    pub fn generation(&self) -> Option<u64> {
        self.generation
    }

    /// Starts from another roster instead, in which no change before `certain_until` is missing. To be called
    /// before the first request.
    pub fn resume_from(&mut self, generation: u64, certain_until: Micros) {
        (self.generation, self.certain_until) = (Some(generation), certain_until);
    }

    /// Sets whether an agent of this dispatcher pushes the rosters.
    pub fn set_pushed(&mut self, pushed: bool) {
        self.pushed = pushed;
    }

    /// Sets the maximum length of a whole roster or of one line of a watch.
    pub fn set_max_bytes(&mut self, max_bytes: usize) {
        self.max_bytes = max_bytes;
    }

    /// Until when no change can have been missed that discovery could announce; later changes may not have
    /// arrived.
    pub fn certain_until(&self) -> Micros {
        self.certain_until
    }

    /// Requests the changes since the last generation and all future ones. An open watch is kept, and a late
    /// request stays open beside the new one.
    pub fn follow(&mut self, driver: &mut dyn ConnectionDriver) {
        self.should_follow = true;
        if self.requests.iter().any(|request| !request.is_late) {
            return;
        }
        if self.requests.len() >= MAX_REQUESTS {
            driver.abort(self.requests.remove(0).connection, CloseReason::WatchSilent);
        }
        let connection = driver.dial(self.discovery, ConnectionRole::Roster);
        self.send_request(connection, false, driver);
    }

    /// Requests the whole roster if no generation is known, else a watch for the changes since.
    fn send_request(&mut self, connection: ConnectionId, connected: bool, driver: &mut dyn ConnectionDriver) {
        let target = match self.generation {
            Some(generation) => format!("/v1/servers?follow=1&since={generation}"),
            None => "/v1/servers".to_owned(),
        };
        driver.send(connection, &encode_bodiless_request("GET", &target, self.discovery));
        let request = WatchRequest::new(connection, self.generation, connected, driver.now());
        self.failing_since.get_or_insert(request.sent_at);
        driver.set_timer(Timer::Connection(connection), request.deadline(self.pushed));
        self.requests.push(request);
    }

    /// Moves to another address of discovery. Generations of the old address mean nothing there.
    pub fn set_discovery(&mut self, discovery: SocketAddr, driver: &mut dyn ConnectionDriver) {
        if discovery == self.discovery {
            return;
        }
        (self.discovery, self.generation) = (discovery, None);
        (self.is_down, self.failing_since, self.last_contact) = (false, None, None);
        for request in std::mem::take(&mut self.requests) {
            driver.abort(request.connection, CloseReason::WatchReplaced);
        }
        if self.should_follow {
            self.follow(driver);
        }
    }

    /// Logs that a request has failed, and reports it as an event.
    fn report_failure(&mut self, reason: &str) {
        let generation =
            self.generation.map_or_else(|| "none".to_owned(), |generation| generation.to_string());
        log!("watch-lost", "generation={generation} reason={reason}");
        self.events.push(RosterEvent::local(Listing::Refused, Vec::new()));
    }

    /// Removes a request that has ended. Its failure is reported unless another request has been sent in its
    /// place.
    fn drop_request(&mut self, index: usize, reason: &str) {
        let request = self.requests.remove(index);
        // Without a connection discovery could not have announced anything. That a request fails on its
        // connection proves nothing alone: overloaded discovery turns requests away in the same way as one
        // that is down.
        let fails_for_long = self.failing_since.is_some_and(|since| request.sent_at >= since + DOWN_TIMEOUT);
        if !request.connected || (self.pushed || self.is_down || fails_for_long) && !request.is_watch {
            self.certain_until = self.certain_until.max(request.sent_at);
        }
        if !request.is_late {
            self.report_failure(reason);
        }
    }

    /// The first request that receives a line becomes the watch. The others are closed, as they would receive
    /// the same.
    fn confirm_watch(
        &mut self,
        connection: ConnectionId,
        certain_until: Micros,
        driver: &mut dyn ConnectionDriver,
    ) {
        let (now, certain_before) = (driver.now(), self.certain_until);
        self.last_contact = Some(now);
        self.has_gap = false;
        self.certain_until = self.certain_until.max(certain_until);
        self.heard_until = self.heard_until.max(certain_until);
        for request in self.requests.extract_if(.., |request| request.connection != connection) {
            driver.abort(request.connection, CloseReason::WatchReplaced);
        }
        (self.is_down, self.failing_since) = (false, None);
        if let Some(request) = self.requests.first_mut() {
            if !request.is_watch {
                let (generation, asked_ms) = (self.generation.unwrap_or(0), (now - request.sent_at) / 1000);
                let certain_before = if certain_before > 0 { certain_before } else { request.sent_at };
                log!(
                    "watch-up",
                    "generation={generation} asked_ms={asked_ms} unsure_ms={}",
                    (now - certain_before) / 1000
                );
            }
            // Another timeout applies from here on.
            let deadline_changed = request.is_late || !request.is_watch;
            (request.is_late, request.is_watch, request.last_progress_at) = (false, true, now);
            if deadline_changed {
                driver.set_timer(Timer::Connection(connection), request.deadline(self.pushed));
            }
        }
    }

    /// Processes all of `input`; the error says why the request cannot be used any longer.
    fn process_input(
        &mut self,
        connection: ConnectionId,
        input: &mut Vec<u8>,
        driver: &mut dyn ConnectionDriver,
    ) -> Result<(), &'static str> {
        let (now, awaits_whole_roster) = (driver.now(), self.generation.is_none());
        let max_bytes = self.max_bytes;
        let Some(request) = self.request_on(connection) else { return Ok(()) };
        let framing = match request.framing {
            Some(framing) => framing,
            None => {
                let Some((answer, framing, head)) =
                    http::parse_response_head(input).map_err(|_| "bad_answer")?
                else {
                    return Ok(());
                };
                if answer.status != 200 {
                    return Err("bad_status");
                }
                (request.keep_alive, request.framing) = (answer.keep_alive, Some(framing));
                drop(input.drain(..head));
                framing
            }
        };
        request.receive(framing, input, now)?;
        if awaits_whole_roster {
            let done = match framing {
                Framing::Length(length) => request.body.len() >= length,
                Framing::Chunked => request.chunks.is_done(),
                Framing::UntilEnd => false,
            };
            return match done {
                true => self.process_whole_roster(connection, driver),
                false if request.body.len() > max_bytes => Err("line_too_long"),
                false => Ok(()),
            };
        }
        self.process_lines(connection, driver)?;
        match self.request_on(connection) {
            Some(request) if request.body.len() > max_bytes => Err("line_too_long"),
            Some(request) if request.chunks.is_done() => Err("watch_done"),
            _ => Ok(()),
        }
    }

    /// Processes the lines of a watch. A line shows that discovery is alive and that no earlier change was
    /// missed. A JSON object may be indented and span several lines.
    fn process_lines(
        &mut self,
        connection: ConnectionId,
        driver: &mut dyn ConnectionDriver,
    ) -> Result<(), &'static str> {
        let Some(request) = self.requests.iter_mut().find(|request| request.connection == connection) else {
            return Ok(());
        };
        let Some(end) = request.body.iter().rposition(|byte| *byte == b'\n') else { return Ok(()) };
        // Until an object is complete there is nothing to parse.
        let parsable = if request.scanner.scan(&request.body[..=end]) { end + 1 } else { 0 };
        let mut snapshots =
            serde_json::Deserializer::from_slice(&request.body[..parsable]).into_iter::<RosterSnapshot>();
        let mut used = 0;
        while let Some(snapshot) = snapshots.next() {
            let snapshot = match snapshot {
                Ok(snapshot) => snapshot,
                Err(error) if error.is_eof() => break,
                Err(_) => return Err("bad_line"),
            };
            used = snapshots.byte_offset();
            let received_before = request.generation.replace(snapshot.generation);
            // Discovery counts from the start again.
            let went_back = received_before.is_some_and(|before| snapshot.generation < before);
            let is_passed = !went_back && self.generation.is_some_and(|known| snapshot.generation < known);
            if is_passed && snapshot.reset {
                // Changes since this list are asked for from where the other process's lists end.
                return Err("list_behind");
            }
            if is_passed {
                continue;
            }
            let generations = Generations { since: self.generation, reached: snapshot.generation };
            let must_ask_for_all = went_back && !snapshot.reset;
            self.generation = Some(snapshot.generation).filter(|_| !must_ask_for_all);
            self.events.push(RosterEvent {
                listing: if snapshot.reset { Listing::All } else { Listing::Changes },
                previous_contact: self.last_contact,
                entries: snapshot.entries(),
                generations: Some(generations),
            });
            if must_ask_for_all {
                // Neither count covers the changes between.
                return Err("generation_back");
            }
        }
        // Where an object begins that is not complete yet.
        let rest = request.body[used..=end].iter().position(|byte| !byte.is_ascii_whitespace());
        let processed = rest.map_or(end + 1, |at| used + at);
        drop(request.body.drain(..processed));
        request.scanner.removed(processed);
        request.progress_bytes = request.body.len();
        // The data may be as old as its first byte.
        let certain_until = request.first_byte_at.filter(|_| rest.is_none()).unwrap_or(self.certain_until);
        if rest.is_none() {
            request.first_byte_at = Some(driver.now()).filter(|_| !request.body.is_empty());
        }
        self.confirm_watch(connection, certain_until, driver);
        Ok(())
    }

    /// The whole roster has arrived: starts the watch for later changes, on the same connection if that is
    /// kept open.
    fn process_whole_roster(
        &mut self,
        connection: ConnectionId,
        driver: &mut dyn ConnectionDriver,
    ) -> Result<(), &'static str> {
        let Some(request) = self.request_on(connection) else { return Ok(()) };
        let snapshot: RosterSnapshot = serde_json::from_slice(&request.body).map_err(|_| "bad_line")?;
        let sent_at = request.sent_at;
        self.generation = Some(snapshot.generation);
        let previous_contact = self.last_contact;
        self.confirm_watch(connection, sent_at, driver);
        let Some(request) = self.requests.pop() else { return Ok(()) };
        let generations = Generations { since: None, reached: snapshot.generation };
        self.events.push(RosterEvent {
            listing: Listing::All,
            previous_contact,
            entries: snapshot.entries(),
            generations: Some(generations),
        });
        if request.keep_alive {
            self.send_request(request.connection, true, driver);
        } else {
            driver.abort(request.connection, CloseReason::AnsweredLast);
            self.follow(driver);
        }
        Ok(())
    }

    fn request_on(&mut self, connection: ConnectionId) -> Option<&mut WatchRequest> {
        self.requests.iter_mut().find(|request| request.connection == connection)
    }

    fn request_index(&self, connection: ConnectionId) -> Option<usize> {
        self.requests.iter().position(|request| request.connection == connection)
    }
}

impl ConnectionHandler for Roster {
    fn connected(&mut self, connection: ConnectionId, _: &mut dyn ConnectionDriver) {
        if let Some(request) = self.request_on(connection) {
            request.connected = true;
        }
    }

    fn received(&mut self, connection: ConnectionId, input: &mut Vec<u8>, driver: &mut dyn ConnectionDriver) {
        let result = self.process_input(connection, input, driver);
        if let Some((reason, index)) = result.err().zip(self.request_index(connection)) {
            driver.abort(connection, CloseReason::BadAnswer);
            self.drop_request(index, reason);
        }
    }

    fn closed(
        &mut self,
        connection: ConnectionId,
        reason: CloseReason,
        _: bool,
        _: &[u8],
        driver: &mut dyn ConnectionDriver,
    ) {
        let Some(request) = self.request_on(connection) else { return };
        // The close of the connection may delimit the whole roster.
        let ends_with_connection =
            request.framing == Some(Framing::UntilEnd) && reason == CloseReason::PeerClosed;
        if ends_with_connection
            && self.generation.is_none()
            && self.process_whole_roster(connection, driver).is_ok()
        {
            return;
        }
        if let Some(index) = self.request_index(connection) {
            self.is_down |= self.requests[index].is_watch && !self.requests[index].is_late;
            self.drop_request(index, reason.code());
        }
    }

    fn timer_fired(&mut self, connection: ConnectionId, driver: &mut dyn ConnectionDriver) {
        let now = driver.now();
        let Some(index) = self.request_index(connection) else { return };
        let request = &mut self.requests[index];
        let deadline = request.deadline(self.pushed);
        if now < deadline {
            return driver.set_timer(Timer::Connection(connection), deadline);
        }
        // A message that arrives too slowly is given up, whatever is still to come.
        let too_slow =
            request.first_byte_at.is_some_and(|first_byte_at| now >= first_byte_at + MESSAGE_TIMEOUT);
        if request.connected && !request.is_late && !too_slow {
            request.is_late = true;
            self.is_down &= !request.is_watch;
            if self.pushed && !request.is_watch {
                self.certain_until = self.certain_until.max(request.sent_at);
            }
            driver.set_timer(Timer::Connection(connection), request.deadline(self.pushed));
            return self.report_failure("silent");
        }
        if driver.is_dial_postponed(connection) {
            // The host kept the dial from starting, so nothing is known of discovery, and changes may have
            // been missed.
            driver.abort(connection, CloseReason::WatchSilent);
            self.requests.remove(index);
            return self.report_failure("not_dialled");
        }
        driver.abort(connection, CloseReason::WatchSilent);
        self.drop_request(index, "silent");
    }
}
