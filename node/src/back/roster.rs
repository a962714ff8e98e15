//! The list of runners: asks discovery, follows its watch, and turns lines into listings.
//!
//! It owns the one watch, how far it has come, and how long it may be silent. It must never decide whether to
//! ask again, and never lose a change: a version counts as had only once its entries have been handed on.

use std::net::SocketAddr;

use serde::Deserialize;
use serde_json::{Value, json};
use topazsail::{Listing, Micros, Readiness, RosterEntry};

use crate::net::conn::{Callbacks, Due, End, Link, Side, Wires};
use crate::net::http::{self, Chunks, Framing, encode_bare};
use crate::net::log::log;

/// Cut off from discovery a dial never comes up; the sooner it is given up, the sooner the next one gets
/// through.
const DIAL_WITHIN: Micros = 1_000_000;
/// A call that waits its turn for longer is as good as lost, after one that fell silent before it was answered: many
/// callers make discovery slow, and who never waited longer would never be heard. The first such call is given up as
/// soon as a silent watch, for what it does not tell counts as told as early.
const HEAD_WITHIN: Micros = 5_000_000;
/// An empty line comes every 2 s; one that is late by this much is missing. What a dead watch has not told counts as
/// told 6 s after it fell silent, and by then a dial may have failed as well, with a wait before the next.
const SILENT_MOST: Micros = 2_800_000;
const LINE_MOST: usize = 4 << 20;

#[derive(Debug, Default, Deserialize)]
pub struct Listed {
    pub generation: u64,
    #[serde(default)]
    pub reset: bool,
    instances: Vec<Value>,
}

impl Listed {
    pub fn from_value(value: Value) -> Result<Listed, String> {
        serde_json::from_value(value).map_err(|error| error.to_string())
    }

    pub fn len(&self) -> usize {
        self.instances.len()
    }

    /// A list as discovery would tell it.
    pub fn of<'a>(generation: u64, entries: impl Iterator<Item = (&'a RosterEntry, SocketAddr)>) -> Value {
        let instance = |(entry, address): (&RosterEntry, SocketAddr)| {
            json!({
                "instanceId": &*entry.tgt,
                "hostPort": address.to_string(),
                "zone": &*entry.zone,
                "machineType": &*entry.kind,
                "cell": entry.cell,
                "lifecycle": if entry.readiness == Readiness::On { "up" } else { "draining" },
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
            "up" => Readiness::On,
            "draining" => Readiness::Fading,
            "removed" => Readiness::Off,
            other => return Err(format!("{} has the unknown lifecycle {other}", self.instance_id)),
        };
        let address = match self.host_port.as_deref().filter(|text| !text.is_empty()) {
            Some(text) => Some(text.parse().map_err(|_| format!("{} has a bad address", self.instance_id))?),
            None if readiness == Readiness::On => return Err(format!("{} has no address", self.instance_id)),
            None => None,
        };
        let weight = self.weight.filter(|weight| weight.is_finite()).unwrap_or(1.0);
        let entry = RosterEntry {
            tgt: self.instance_id.into(),
            cell: self.cell.unwrap_or(-1),
            size: weight.max(0.0),
            kind: self.machine_type.into(),
            zone: self.zone.into(),
            readiness,
            // Far beyond any real time, and far enough from the type's end.
            launched: Some(self.started_at_ms).filter(|ms| (1..1 << 50).contains(ms)).map(|ms| ms * 1000),
        };
        Ok((entry, address))
    }
}

#[derive(Debug)]
pub struct Heard {
    pub listing: Listing,
    pub entries: Vec<(RosterEntry, Option<SocketAddr>)>,
}

struct Watch {
    link: Link,
    up: bool,
    /// How the body is framed, once the head has come.
    framing: Option<Framing>,
    /// Whether the connection outlives this answer.
    keep: bool,
    chunks: Chunks,
    text: Vec<u8>,
    heard_at: Micros,
}

pub struct Roster {
    discovery: SocketAddr,
    /// How far discovery has been heard; none where it has not been heard at this address: then the whole
    /// list is asked for first, as versions are its own there.
    generation: Option<u64>,
    /// Whether the watch is wanted at all.
    follows: bool,
    watch: Option<Watch>,
    /// The call before this one was never answered, though its connection was up.
    unanswered: bool,
    pub heard: Vec<Heard>,
}

impl Roster {
    pub fn new(discovery: SocketAddr, generation: u64) -> Roster {
        let (generation, heard) = (Some(generation), Vec::new());
        Roster { discovery, generation, follows: false, watch: None, unanswered: false, heard }
    }

    /// Where the list comes from, and how far it has been heard.
    pub fn heard_to(&self) -> (SocketAddr, Option<u64>) {
        (self.discovery, self.generation)
    }

    /// Asks for what has changed since, and for all changes to come; a watch that is under way is kept.
    pub fn follow(&mut self, wires: &mut dyn Wires) {
        self.follows = true;
        if self.watch.is_some() {
            return;
        }
        let Some(link) = wires.dial(self.discovery, Side::Roster) else { return self.lost("no_socket") };
        self.ask(link, false, wires);
        wires.wake(Due::Link(link), wires.now() + DIAL_WITHIN);
    }

    fn ask(&mut self, link: Link, up: bool, wires: &mut dyn Wires) {
        let target = match self.generation {
            Some(generation) => format!("/v1/servers?follow=1&since={generation}"),
            None => "/v1/servers".to_owned(),
        };
        wires.send(link, &encode_bare("GET", &target, self.discovery));
        let (chunks, heard_at) = (Chunks::default(), wires.now());
        self.watch = Some(Watch { link, up, framing: None, keep: false, chunks, text: Vec::new(), heard_at });
    }

    /// Discovery is elsewhere from now on. Versions are its own: what the old one counted says nothing there.
    pub fn move_to(&mut self, discovery: SocketAddr, wires: &mut dyn Wires) {
        if discovery == self.discovery {
            return;
        }
        (self.discovery, self.generation) = (discovery, None);
        if let Some(watch) = self.watch.take() {
            wires.cut(watch.link, End::WatchReplaced);
        }
        if self.follows {
            self.follow(wires);
        }
    }

    fn lost(&mut self, why: &str) {
        let generation =
            self.generation.map_or_else(|| "none".to_owned(), |generation| generation.to_string());
        log!("watch-lost", "generation={generation} reason={why}");
        self.watch = None;
        self.heard.push(Heard { listing: Listing::Refused, entries: Vec::new() });
    }

    /// All that `input` holds, or why the watch is of no more use.
    fn read(&mut self, input: &mut Vec<u8>, wires: &mut dyn Wires) -> Result<(), &'static str> {
        let now = wires.now();
        let Some(watch) = &mut self.watch else { return Ok(()) };
        let framing = match watch.framing {
            Some(framing) => framing,
            None => {
                let Some((answer, framing, head)) = http::answer_head(input).map_err(|_| "bad_answer")?
                else {
                    return Ok(());
                };
                self.unanswered = false;
                if answer.status != 200 {
                    return Err("bad_status");
                }
                watch.keep = answer.keep;
                watch.heard_at = now;
                drop(input.drain(..head));
                watch.framing = Some(framing);
                framing
            }
        };
        match framing {
            Framing::Chunked => {
                let used = watch.chunks.feed(input, &mut watch.text).map_err(|_| "bad_chunk")?;
                drop(input.drain(..used));
            }
            Framing::Length(_) | Framing::UntilEnd => watch.text.append(input),
        }
        if self.generation.is_none() {
            let done = match framing {
                Framing::Length(length) => watch.text.len() >= length,
                Framing::Chunked => watch.chunks.done(),
                Framing::UntilEnd => false,
            };
            return match done {
                true => self.whole(wires),
                false if watch.text.len() > LINE_MOST => Err("line_too_long"),
                false => Ok(()),
            };
        }
        // A line is the sign of life; single bytes are none, or a trickle would keep a dead watch for good. An object
        // may be indented, over several lines.
        if let Some(end) = watch.text.iter().rposition(|byte| *byte == b'\n') {
            watch.heard_at = now;
            let mut lists = serde_json::Deserializer::from_slice(&watch.text[..=end]).into_iter::<Listed>();
            let mut read = 0;
            while let Some(listed) = lists.next() {
                let listed = match listed {
                    Ok(listed) => listed,
                    Err(error) if error.is_eof() => break,
                    Err(_) => return Err("bad_line"),
                };
                read = lists.byte_offset();
                let listing = if listed.reset { Listing::All } else { Listing::Changes };
                self.generation = Some(listed.generation);
                self.heard.push(Heard { listing, entries: listed.entries() });
            }
            let rest = watch.text[read..=end].iter().position(|byte| !byte.is_ascii_whitespace());
            drop(watch.text.drain(..rest.map_or(end + 1, |at| read + at)));
        }
        if watch.text.len() > LINE_MOST {
            return Err("line_too_long");
        }
        if watch.chunks.done() { Err("watch_done") } else { Ok(()) }
    }

    /// The whole list has come: what changes from here on is asked for, on the same connection if it is kept.
    fn whole(&mut self, wires: &mut dyn Wires) -> Result<(), &'static str> {
        let Some(watch) = self.watch.take() else { return Ok(()) };
        let listed: Listed = serde_json::from_slice(&watch.text).map_err(|_| "bad_line")?;
        self.generation = Some(listed.generation);
        self.heard.push(Heard { listing: Listing::All, entries: listed.entries() });
        if watch.keep {
            self.ask(watch.link, true, wires);
        } else {
            wires.cut(watch.link, End::AnsweredLast);
            self.follow(wires);
        }
        Ok(())
    }

    fn on(&mut self, link: Link) -> Option<&mut Watch> {
        self.watch.as_mut().filter(|watch| watch.link == link)
    }
}

impl Callbacks for Roster {
    fn up(&mut self, link: Link, _: &mut dyn Wires) {
        if let Some(watch) = self.on(link) {
            watch.up = true;
        }
    }

    fn bytes(&mut self, link: Link, input: &mut Vec<u8>, wires: &mut dyn Wires) {
        if self.on(link).is_none() {
            return;
        }
        if let Err(why) = self.read(input, wires) {
            wires.cut(link, End::BadAnswer);
            self.lost(why);
        }
    }

    fn ended(&mut self, link: Link, end: End, _: bool, _: &[u8], wires: &mut dyn Wires) {
        let Some(watch) = self.on(link) else { return };
        // A whole list may be ended by the connection's end.
        let until_end = watch.framing == Some(Framing::UntilEnd) && end == End::PeerClosed;
        if !until_end || self.generation.is_some() || self.whole(wires).is_err() {
            self.lost(end.code());
        }
    }

    fn due(&mut self, link: Link, wires: &mut dyn Wires) {
        let unanswered = self.unanswered;
        let Some(watch) = self.on(link) else { return };
        let most = match watch.framing {
            None if !watch.up => DIAL_WITHIN,
            None if unanswered => HEAD_WITHIN,
            _ => SILENT_MOST,
        };
        let at = watch.heard_at + most;
        if wires.now() >= at {
            self.unanswered = watch.up && watch.framing.is_none();
            wires.cut(link, End::WatchSilent);
            self.lost("silent");
        } else {
            wires.wake(Due::Link(link), at.min(wires.now() + SILENT_MOST));
        }
    }
}
