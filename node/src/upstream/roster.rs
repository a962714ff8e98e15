//! The list of runners: asks discovery, follows its watch, and turns lines into listings.
//!
//! It owns the one watch, how far it has come, and how long it may be silent. It must never decide whether to
//! ask again, and never lose a change: a version counts as had only once its entries have been handed on.

use std::net::SocketAddr;

use serde::Deserialize;
use serde_json::{Value, json};
use topazsail::{Listing, Micros, Readiness, RosterEntry};

use crate::net::connection::{
    CloseReason, ConnectionDriver, ConnectionHandler, ConnectionId, ConnectionRole, Timer,
};
use crate::net::http::{self, Chunks, Framing, encode_bare};
use crate::net::log::log;
use crate::upstream::membership::ROSTER_LEASE_TIMEOUT;

// What discovery has, and could tell, counts as told 6 s later at the latest. These spans and the brain's waits between
// calls are its parts; docs/design.md has the sums for each order in which they can fail.

/// Cut off from discovery a dial never comes up; the sooner it is given up, the sooner the next one gets
/// through.
const DIAL_WITHIN: Micros = 1_000_000;
/// A call that has had no answer for so long is late: another one is made beside it. It is not ended by that: many
/// callers make discovery slow, and whoever gives its turn up is never heard, and has the others wait for nothing.
const ANSWER_WITHIN: Micros = ROSTER_LEASE_TIMEOUT / 2;
/// The same where lists are pushed: an agent of one's own has no crowd of callers, and answers at once or not at all.
const AGENT_WITHIN: Micros = 1_000_000;
/// An empty line comes every 2 s; one that is late by this much is missing.
const SILENT_MOST: Micros = 2_800_000;
/// So many bytes of a long list, or of a long line, are a sign of life; fewer are none, or a trickle would keep a dead
/// call for good. From its first byte on it has so long to be whole.
const PROGRESS: usize = 1 << 10;
const WHOLE_WITHIN: Micros = 10_000_000;
/// Discovery that has turned every call away for so long is taken for down, whatever it said before: a start may take 30 s,
/// and service has to begin before that.
const DOWN_AFTER: Micros = 25_000_000;
/// Calls that are out at a time.
const CALLS_MOST: usize = 2;
const LINE_MOST: usize = 4 << 20;

#[derive(Debug, Default, Deserialize)]
pub struct RosterSnapshot {
    pub generation: u64,
    #[serde(default)]
    pub reset: bool,
    instances: Vec<Value>,
}

impl RosterSnapshot {
    pub fn from_value(value: Value) -> Result<RosterSnapshot, String> {
        serde_json::from_value(value).map_err(|error| error.to_string())
    }

    pub fn len(&self) -> usize {
        self.instances.len()
    }

    /// A list as discovery would tell it.
    pub fn to_json<'a>(
        generation: u64,
        entries: impl Iterator<Item = (&'a RosterEntry, SocketAddr)>,
    ) -> Value {
        let instance = |(entry, address): (&RosterEntry, SocketAddr)| {
            json!({
                "instanceId": &*entry.runner,
                "hostPort": address.to_string(),
                "zone": &*entry.zone,
                "machineType": &*entry.machine_type,
                "cell": entry.cell,
                "lifecycle": if entry.readiness == Readiness::Up { "up" } else { "draining" },
                "weight": entry.size,
                "startedAtMs": entry.launched.unwrap_or(0) / 1000,
            })
        };
        let instances: Vec<Value> = entries.map(instance).collect();
        json!({ "generation": generation, "reset": true, "instances": instances })
    }

    /// The entries that can be read; each of the others leaves a line in the log. The version counts as had all the
    /// same, and nothing tells an entry twice: one that says of a runner that it is not up says so whatever else of
    /// it cannot be read.
    pub fn entries(self) -> Vec<(RosterEntry, Option<SocketAddr>)> {
        let entry = |value: Value| {
            let told = match Instance::deserialize(&value) {
                Ok(instance) => instance.read(),
                Err(error) => Err(error.to_string()),
            };
            told.or_else(|fault| {
                log!("bad-entry", "reason={fault:?}");
                Instance::known_by(&value).and_then(|instance| instance.read().ok()).ok_or(())
            })
        };
        self.instances.into_iter().filter_map(|value| entry(value).ok()).collect()
    }
}

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
    /// What is left of an entry at fault: who it is about, if that is no longer up. A state that is not known is none
    /// in which something new could go there.
    fn known_by(value: &Value) -> Option<Instance> {
        let state = value.get("lifecycle").and_then(Value::as_str).unwrap_or_default();
        let lifecycle = match state {
            "up" => return None,
            "removed" => state,
            _ => "draining",
        };
        let id = value.get("instanceId")?.as_str()?;
        Some(Instance { instance_id: id.to_owned(), lifecycle: lifecycle.to_owned(), ..Instance::default() })
    }

    fn read(self) -> Result<(RosterEntry, Option<SocketAddr>), String> {
        // It stands in the log and is told back by runners.
        if self.instance_id.is_empty() || self.instance_id.contains(|c: char| c.is_control() || c == ' ') {
            return Err(format!("bad id {:?}", self.instance_id));
        }
        let readiness = match self.lifecycle.as_str() {
            "up" => Readiness::Up,
            "draining" => Readiness::Draining,
            "removed" => Readiness::Removed,
            other => return Err(format!("{} has the unknown lifecycle {other}", self.instance_id)),
        };
        let address = match self.host_port.as_deref().filter(|text| !text.is_empty()) {
            Some(text) => Some(text.parse().map_err(|_| format!("{} has a bad address", self.instance_id))?),
            None if readiness == Readiness::Up => return Err(format!("{} has no address", self.instance_id)),
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
            // Far beyond any real time, and far enough from the type's end.
            launched: Some(self.started_at_ms).filter(|ms| (1..1 << 50).contains(ms)).map(|ms| ms * 1000),
        };
        Ok((entry, address))
    }
}

#[derive(Debug)]
pub struct RosterEvent {
    pub listing: Listing,
    /// When discovery was heard last before this, if it was: who is new in this list was not listed then.
    pub previous_contact: Option<Micros>,
    pub entries: Vec<(RosterEntry, Option<SocketAddr>)>,
}

/// A call to discovery, on its way to becoming the watch.
struct Call {
    connection: ConnectionId,
    asked_at: Micros,
    up: bool,
    /// How the body is framed, once the head has come.
    framing: Option<Framing>,
    /// Whether the connection outlives this answer.
    keep: bool,
    chunks: Chunks,
    text: Vec<u8>,
    heard_at: Micros,
    /// How much of `text` had come then, and when its first byte had.
    progress: usize,
    began_at: Option<Micros>,
    /// A whole line has come on it: it is the watch.
    spoke: bool,
    /// It has been silent for too long: another one is made, and the first of them to speak is the watch.
    late: bool,
}

impl Call {
    fn new(connection: ConnectionId, up: bool, now: Micros) -> Call {
        Call {
            connection,
            asked_at: now,
            up,
            framing: None,
            keep: false,
            chunks: Chunks::default(),
            text: Vec::new(),
            heard_at: now,
            progress: 0,
            began_at: None,
            spoke: false,
            late: false,
        }
    }

    /// When it counts as late, or as dead where it is that already.
    fn due(&self, pushed: bool) -> Micros {
        let most = match self.spoke {
            _ if !self.up => DIAL_WITHIN,
            false if pushed => AGENT_WITHIN,
            false => ANSWER_WITHIN,
            true => SILENT_MOST,
        };
        let silent = self.heard_at + if self.late { 3 * most } else { most };
        self.began_at.map_or(silent, |began| silent.min(began + WHOLE_WITHIN))
    }

    /// Takes what has come of the body, and sees whether it comes on.
    fn take(&mut self, framing: Framing, input: &mut Vec<u8>, now: Micros) -> Result<(), &'static str> {
        if self.text.is_empty() {
            self.began_at = None;
        }
        match framing {
            Framing::Chunked => {
                let used = self.chunks.feed(input, &mut self.text).map_err(|_| "bad_chunk")?;
                drop(input.drain(..used));
            }
            Framing::Length(_) | Framing::UntilEnd => self.text.append(input),
        }
        if !self.text.is_empty() {
            self.began_at.get_or_insert(now);
        }
        if self.text.len() >= self.progress + PROGRESS {
            (self.progress, self.heard_at) = (self.text.len(), now);
        }
        Ok(())
    }
}

pub struct Roster {
    discovery: SocketAddr,
    /// How far discovery has been heard; none where it has not been heard at this address: then the whole
    /// list is asked for first, as versions are its own there.
    generation: Option<u64>,
    /// An agent of this dispatcher's own tells the list: it has learnt nothing where it does not answer, as discovery is
    /// down then.
    pushed: bool,
    /// Whether the watch is wanted at all.
    follows: bool,
    /// The calls that are out, the newest last; all but that one are late.
    calls: Vec<Call>,
    /// Since when discovery may have had something to tell, and could be reached, that has not been heard.
    sure_at: Micros,
    /// When the last line came.
    heard_at: Option<Micros>,
    /// It has ended the watch itself, and nothing has been heard since: it is down.
    down: bool,
    /// When the first call was made since something was heard.
    unheard_since: Option<Micros>,
    pub events: Vec<RosterEvent>,
}

impl Roster {
    /// What is remembered up to this generation may be of any age.
    pub fn new(discovery: SocketAddr, generation: u64, pushed: bool) -> Roster {
        Roster {
            discovery,
            generation: Some(generation),
            pushed,
            follows: false,
            calls: Vec::new(),
            sure_at: 0,
            heard_at: None,
            down: false,
            unheard_since: None,
            events: Vec::new(),
        }
    }

    /// Where the list comes from.
    pub fn discovery(&self) -> SocketAddr {
        self.discovery
    }

    /// How far it has been heard there.
    pub fn generation(&self) -> Option<u64> {
        self.generation
    }

    /// The list to begin with is another one, known to be right at `sure_at`. Before the first call.
    pub fn resume_from(&mut self, generation: u64, sure_at: Micros) {
        (self.generation, self.sure_at) = (Some(generation), sure_at);
    }

    /// Whether lists are pushed, from now on.
    pub fn set_pushed(&mut self, pushed: bool) {
        self.pushed = pushed;
    }

    /// Until when nothing can have been missed that could be told: what came up since may not have been heard.
    pub fn certain_until(&self) -> Micros {
        self.sure_at
    }

    /// Asks for what has changed since, and for all changes to come; a watch that is under way is kept, and a call that
    /// is late goes on beside the new one.
    pub fn follow(&mut self, driver: &mut dyn ConnectionDriver) {
        self.follows = true;
        if self.calls.iter().any(|call| !call.late) {
            return;
        }
        if self.calls.len() >= CALLS_MOST {
            driver.abort(self.calls.remove(0).connection, CloseReason::WatchSilent);
        }
        let connection = driver.dial(self.discovery, ConnectionRole::Roster);
        self.ask(connection, false, driver);
    }

    fn ask(&mut self, connection: ConnectionId, up: bool, driver: &mut dyn ConnectionDriver) {
        let target = match self.generation {
            Some(generation) => format!("/v1/servers?follow=1&since={generation}"),
            None => "/v1/servers".to_owned(),
        };
        driver.send(connection, &encode_bare("GET", &target, self.discovery));
        let call = Call::new(connection, up, driver.now());
        self.unheard_since.get_or_insert(call.asked_at);
        driver.set_timer(Timer::Connection(connection), call.due(self.pushed));
        self.calls.push(call);
    }

    /// Discovery is elsewhere from now on. Versions are its own: what the old one counted says nothing there.
    pub fn set_discovery(&mut self, discovery: SocketAddr, driver: &mut dyn ConnectionDriver) {
        if discovery == self.discovery {
            return;
        }
        (self.discovery, self.generation) = (discovery, None);
        (self.down, self.unheard_since, self.heard_at) = (false, None, None);
        for call in std::mem::take(&mut self.calls) {
            driver.abort(call.connection, CloseReason::WatchReplaced);
        }
        if self.follows {
            self.follow(driver);
        }
    }

    fn lost(&mut self, why: &str) {
        let generation =
            self.generation.map_or_else(|| "none".to_owned(), |generation| generation.to_string());
        log!("watch-lost", "generation={generation} reason={why}");
        self.events.push(RosterEvent {
            listing: Listing::Refused,
            previous_contact: None,
            entries: Vec::new(),
        });
    }

    /// A call is out no more. Nothing is told of one for which another has been made.
    fn drop_call(&mut self, at: usize, why: &str) {
        let call = self.calls.remove(at);
        // Whoever gets no connection could not have been told anything then. That a call fails says nothing by itself:
        // one that has too many callers turns them away as one that is down does.
        let long = self.unheard_since.is_some_and(|since| call.asked_at >= since + DOWN_AFTER);
        if !call.up || (self.pushed || self.down || long) && !call.spoke {
            self.sure_at = self.sure_at.max(call.asked_at);
        }
        if !call.late {
            self.lost(why);
        }
    }

    /// The first call to say something is the watch; what the others would say is the same.
    fn speaks(&mut self, connection: ConnectionId, sure_at: Micros, driver: &mut dyn ConnectionDriver) {
        let (now, before) = (driver.now(), self.sure_at);
        self.heard_at = Some(now);
        self.sure_at = self.sure_at.max(sure_at);
        for call in self.calls.extract_if(.., |call| call.connection != connection) {
            driver.abort(call.connection, CloseReason::WatchReplaced);
        }
        (self.down, self.unheard_since) = (false, None);
        if let Some(call) = self.calls.first_mut() {
            if !call.spoke {
                let (generation, asked) = (self.generation.unwrap_or(0), (now - call.asked_at) / 1000);
                let before = if before > 0 { before } else { call.asked_at };
                log!(
                    "watch-up",
                    "generation={generation} asked_ms={asked} unsure_ms={}",
                    (now - before) / 1000
                );
            }
            // It is looked at by other terms from here on.
            let anew = call.late || !call.spoke;
            (call.late, call.spoke, call.heard_at) = (false, true, now);
            if anew {
                driver.set_timer(Timer::Connection(connection), call.due(self.pushed));
            }
        }
    }

    /// All that `input` holds, or why the call is of no more use.
    fn read(
        &mut self,
        connection: ConnectionId,
        input: &mut Vec<u8>,
        driver: &mut dyn ConnectionDriver,
    ) -> Result<(), &'static str> {
        let (now, wants_whole) = (driver.now(), self.generation.is_none());
        let Some(call) = self.on(connection) else { return Ok(()) };
        let framing = match call.framing {
            Some(framing) => framing,
            None => {
                let Some((answer, framing, head)) = http::answer_head(input).map_err(|_| "bad_answer")?
                else {
                    return Ok(());
                };
                if answer.status != 200 {
                    return Err("bad_status");
                }
                (call.keep, call.framing) = (answer.keep, Some(framing));
                drop(input.drain(..head));
                framing
            }
        };
        call.take(framing, input, now)?;
        if wants_whole {
            let done = match framing {
                Framing::Length(length) => call.text.len() >= length,
                Framing::Chunked => call.chunks.done(),
                Framing::UntilEnd => false,
            };
            return match done {
                true => self.whole(connection, driver),
                false if call.text.len() > LINE_MOST => Err("line_too_long"),
                false => Ok(()),
            };
        }
        self.lines(connection, driver)?;
        match self.on(connection) {
            Some(call) if call.text.len() > LINE_MOST => Err("line_too_long"),
            Some(call) if call.chunks.done() => Err("watch_done"),
            _ => Ok(()),
        }
    }

    /// What a watch has said. A line is a sign of life, and a sign that nothing before it was missed. An object may be
    /// indented, over several lines.
    fn lines(
        &mut self,
        connection: ConnectionId,
        driver: &mut dyn ConnectionDriver,
    ) -> Result<(), &'static str> {
        let Some(call) = self.calls.iter_mut().find(|call| call.connection == connection) else {
            return Ok(());
        };
        let Some(end) = call.text.iter().rposition(|byte| *byte == b'\n') else { return Ok(()) };
        let mut lists =
            serde_json::Deserializer::from_slice(&call.text[..=end]).into_iter::<RosterSnapshot>();
        let mut read = 0;
        while let Some(listed) = lists.next() {
            let listed = match listed {
                Ok(listed) => listed,
                Err(error) if error.is_eof() => break,
                Err(_) => return Err("bad_line"),
            };
            read = lists.byte_offset();
            let listing = if listed.reset { Listing::All } else { Listing::Changes };
            let back = !listed.reset && self.generation.is_some_and(|known| listed.generation < known);
            self.generation = Some(listed.generation).filter(|_| !back);
            self.events.push(RosterEvent {
                listing,
                previous_contact: self.heard_at,
                entries: listed.entries(),
            });
            if back {
                // It counts anew, and what changed between is told by neither count: the whole list is asked for.
                return Err("generation_back");
            }
        }
        let rest = call.text[read..=end].iter().position(|byte| !byte.is_ascii_whitespace());
        drop(call.text.drain(..rest.map_or(end + 1, |at| read + at)));
        call.progress = call.text.len();
        // What came with it may be as old as its first byte.
        let sure_at = call.began_at.filter(|_| rest.is_none()).unwrap_or(self.sure_at);
        if rest.is_none() {
            call.began_at = Some(driver.now()).filter(|_| !call.text.is_empty());
        }
        self.speaks(connection, sure_at, driver);
        Ok(())
    }

    /// The whole list has come: what changes from here on is asked for, on the same connection if it is kept.
    fn whole(
        &mut self,
        connection: ConnectionId,
        driver: &mut dyn ConnectionDriver,
    ) -> Result<(), &'static str> {
        let Some(call) = self.on(connection) else { return Ok(()) };
        let listed: RosterSnapshot = serde_json::from_slice(&call.text).map_err(|_| "bad_line")?;
        let asked_at = call.asked_at;
        self.generation = Some(listed.generation);
        let heard_before = self.heard_at;
        self.speaks(connection, asked_at, driver);
        let Some(call) = self.calls.pop() else { return Ok(()) };
        self.events.push(RosterEvent {
            listing: Listing::All,
            previous_contact: heard_before,
            entries: listed.entries(),
        });
        if call.keep {
            self.ask(call.connection, true, driver);
        } else {
            driver.abort(call.connection, CloseReason::AnsweredLast);
            self.follow(driver);
        }
        Ok(())
    }

    fn on(&mut self, connection: ConnectionId) -> Option<&mut Call> {
        self.calls.iter_mut().find(|call| call.connection == connection)
    }

    fn nth(&self, connection: ConnectionId) -> Option<usize> {
        self.calls.iter().position(|call| call.connection == connection)
    }
}

impl ConnectionHandler for Roster {
    fn up(&mut self, connection: ConnectionId, _: &mut dyn ConnectionDriver) {
        if let Some(call) = self.on(connection) {
            call.up = true;
        }
    }

    fn bytes(&mut self, connection: ConnectionId, input: &mut Vec<u8>, driver: &mut dyn ConnectionDriver) {
        let read = self.read(connection, input, driver);
        if let Some((why, at)) = read.err().zip(self.nth(connection)) {
            driver.abort(connection, CloseReason::BadAnswer);
            self.drop_call(at, why);
        }
    }

    fn ended(
        &mut self,
        connection: ConnectionId,
        end: CloseReason,
        _: bool,
        _: &[u8],
        driver: &mut dyn ConnectionDriver,
    ) {
        let Some(call) = self.on(connection) else { return };
        // A whole list may be ended by the connection's end.
        let until_end = call.framing == Some(Framing::UntilEnd) && end == CloseReason::PeerClosed;
        if until_end && self.generation.is_none() && self.whole(connection, driver).is_ok() {
            return;
        }
        if let Some(at) = self.nth(connection) {
            self.down |= self.calls[at].spoke && !self.calls[at].late;
            self.drop_call(at, end.code());
        }
    }

    fn timer_fired(&mut self, connection: ConnectionId, driver: &mut dyn ConnectionDriver) {
        let now = driver.now();
        let Some(at) = self.nth(connection) else { return };
        let call = &mut self.calls[at];
        let due = call.due(self.pushed);
        if now < due {
            return driver.set_timer(Timer::Connection(connection), due);
        }
        // One that comes in too slowly is of no use, whatever it still brings.
        let too_slow = call.began_at.is_some_and(|began| now >= began + WHOLE_WITHIN);
        if call.up && !call.late && !too_slow {
            call.late = true;
            self.down &= !call.spoke;
            if self.pushed && !call.spoke {
                self.sure_at = self.sure_at.max(call.asked_at);
            }
            driver.set_timer(Timer::Connection(connection), call.due(self.pushed));
            return self.lost("silent");
        }
        if driver.postponed(connection) {
            // That it never left is no fault of discovery's: something may have been missed all the same.
            driver.abort(connection, CloseReason::WatchSilent);
            self.calls.remove(at);
            return self.lost("not_dialled");
        }
        driver.abort(connection, CloseReason::WatchSilent);
        self.drop_call(at, "silent");
    }
}
