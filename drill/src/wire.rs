//! The lines of the wire, both ways.

use std::any::Any;
use std::fmt::{self, Display, Write};
use std::io::{self, BufRead};
use std::str::{FromStr, SplitN};

use topazsail::{
    Action, Arrival, Event, ForwardResult, Id, Listing, Micros, Outcome, Readiness, Roster, RosterEntry,
    Settings,
};

/// The one timer that an instance keeps needs no more than one handle.
const TICK: u64 = 1;

#[derive(Debug)]
pub struct Malformed {
    line: u64,
    fault: String,
}

impl Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "line {}: {}", self.line, self.fault)
    }
}

impl std::error::Error for Malformed {}

impl From<io::Error> for Malformed {
    fn from(error: io::Error) -> Self {
        Malformed { line: 0, fault: format!("standard input: {error}") }
    }
}

pub enum Message {
    Create { inst: u64, seed: u64, settings: Settings, operations: Vec<String> },
    Kill { inst: u64 },
    Event { inst: u64, event: Event },
    PassedOver,
}

/// The parts of one line, taken in the order in which the wire lists them.
struct Parts<'a> {
    line: u64,
    name: &'a str,
    parts: SplitN<'a, char>,
}

impl<'a> Parts<'a> {
    fn new(line: u64, text: &'a str, most: usize) -> Parts<'a> {
        let mut parts = text.splitn(most, ' ');
        let name = parts.next().unwrap_or_default();
        Parts { line, name, parts }
    }

    fn fault(&self, field: &str, what: impl Display) -> Malformed {
        Malformed { line: self.line, fault: format!("{} {field}: {what}", self.name) }
    }

    fn optional(&mut self, field: &str) -> Result<Option<&'a str>, Malformed> {
        match self.parts.next() {
            None | Some("") => Err(self.fault(field, "missing")),
            Some("-") => Ok(None),
            Some(text) => Ok(Some(text)),
        }
    }

    fn text(&mut self, field: &str) -> Result<&'a str, Malformed> {
        self.optional(field)?.ok_or_else(|| self.fault(field, "absent"))
    }

    fn parsed<T: FromStr>(&self, field: &str, text: &str) -> Result<T, Malformed> {
        text.parse().map_err(|_| self.fault(field, format!("bad value '{text}'")))
    }

    fn number<T: FromStr>(&mut self, field: &str) -> Result<T, Malformed> {
        let text = self.text(field)?;
        self.parsed(field, text)
    }

    fn number_or<T: FromStr>(&mut self, field: &str, absent: T) -> Result<T, Malformed> {
        match self.optional(field)? {
            Some(text) => self.parsed(field, text),
            None => Ok(absent),
        }
    }

    fn real(&mut self, field: &str, absent: f64) -> Result<f64, Malformed> {
        let value: f64 = self.number_or(field, absent)?;
        if value.is_finite() { Ok(value) } else { Err(self.fault(field, "not finite")) }
    }

    fn span(&mut self, field: &str) -> Result<Micros, Malformed> {
        let value: Micros = self.number_or(field, 0)?;
        // Far beyond any day, and far enough from the type's end that sums of such values hold.
        if value.abs() > 1 << 60 { Err(self.fault(field, "out of range")) } else { Ok(value) }
    }

    fn flag(&mut self, field: &str) -> Result<bool, Malformed> {
        match self.optional(field)? {
            Some("1") => Ok(true),
            Some("0") | None => Ok(false),
            Some(other) => Err(self.fault(field, format!("bad value '{other}'"))),
        }
    }

    fn id(&mut self, field: &str) -> Result<Id, Malformed> {
        self.text(field).map(Id::from)
    }

    fn row(&mut self, field: &str) -> Result<Vec<f64>, Malformed> {
        let Some(text) = self.optional(field)? else { return Ok(Vec::new()) };
        text.split(',')
            .map(|value| match value {
                "-" => Ok(0.0),
                value => self.parsed(field, value),
            })
            .collect()
    }

    fn end(mut self) -> Result<(), Malformed> {
        match self.parts.next() {
            None => Ok(()),
            Some(more) => Err(self.fault("end of line", format!("unexpected '{more}'"))),
        }
    }
}

pub struct Reader<R> {
    input: R,
    line: u64,
    text: String,
}

impl<R: BufRead> Reader<R> {
    pub fn new(input: R) -> Reader<R> {
        Reader { input, line: 0, text: String::new() }
    }

    fn fault(&self, fault: impl Into<String>) -> Malformed {
        Malformed { line: self.line, fault: fault.into() }
    }

    /// The next line, or false at the end of input.
    fn advance(&mut self) -> Result<bool, Malformed> {
        self.text.clear();
        self.line += 1;
        let read = self.input.read_line(&mut self.text).map_err(|error| self.fault(error.to_string()))?;
        if self.text.ends_with('\n') {
            self.text.pop();
        }
        Ok(read > 0)
    }

    /// Opens a batch and gives its clock; `None` where the input ends between batches.
    pub fn round(&mut self) -> Result<Option<Micros>, Malformed> {
        if !self.advance()? {
            return Ok(None);
        }
        let mut parts = Parts::new(self.line, &self.text, usize::MAX);
        if parts.name != "ROUND" {
            return Err(self.fault(format!("expected ROUND, found '{}'", parts.name)));
        }
        let now = parts.number("clock")?;
        parts.end()?;
        Ok(Some(now))
    }

    /// The next message of the batch; `None` at its end.
    pub fn message<'h>(
        &mut self,
        operations: impl Fn(u64) -> Option<&'h [String]>,
    ) -> Result<Option<Message>, Malformed> {
        if !self.advance()? {
            return Err(self.fault("truncated batch: no COMMIT"));
        }
        if self.text.starts_with("DIRECTORY_UPDATE ") {
            return self.roster().map(Some);
        }
        let mut parts = Parts::new(self.line, &self.text, usize::MAX);
        if parts.name == "COMMIT" {
            parts.end()?;
            return Ok(None);
        }
        let known = ["CREATE", "KILL", "KNOCK", "FLOWING", "NOTICE", "RESOLVED", "GONE", "RING"];
        if !known.contains(&parts.name) && !["PROBE_RESULT", "FROM_PEER"].contains(&parts.name) {
            return Err(self.fault(format!("unknown message '{}'", parts.name)));
        }
        let inst = parts.number("dispatcherId")?;
        let event = match parts.name {
            "CREATE" => {
                let mut parts = Parts::new(self.line, &self.text, 4);
                parts.text("dispatcherId")?;
                let seed = parts.number("seed")?;
                let info = parts.text("info")?;
                let decoded = pairs(info)
                    .and_then(topazsail_settings::decode)
                    .map_err(|fault| parts.fault("info", fault))?;
                let (settings, operations) = (decoded.settings, decoded.operations);
                return Ok(Some(Message::Create { inst, seed, settings, operations }));
            }
            "KILL" => {
                parts.end()?;
                return Ok(Some(Message::Kill { inst }));
            }
            "FROM_PEER" => {
                parts.number::<u64>("from")?;
                parts.optional("raw")?;
                parts.end()?;
                return Ok(Some(Message::PassedOver));
            }
            "KNOCK" => {
                let inv = parts.id("ticket")?;
                let hint = parts.span("weightHint")?;
                parts.optional("team")?;
                let expires_in = parts.span("expiresIn")?;
                parts.real("ramUnits", 0.0)?;
                let slots = parts.real("width", 1.0)?;
                let name = parts.text("type")?;
                let told = parts.number_or("bits", 0u64)? & 1 > 0 && hint > 0;
                let hint = Some(hint).filter(|_| told);
                let key = parts.optional("partitionKey")?.map(Id::from);
                let Some(names) = operations(inst) else { return Ok(Some(Message::PassedOver)) };
                let Some(operation) = names.iter().position(|known| known == name) else {
                    return Err(parts.fault("type", format!("unknown operation '{name}'")));
                };
                Event::Arrival(Arrival {
                    invocation: inv,
                    operation,
                    time_left: expires_in,
                    slots,
                    work_hint: hint,
                    key,
                })
            }
            "FLOWING" => {
                let inv = parts.id("ticket")?;
                parts.span("elapsed")?;
                let forward = parts.number("roundNo")?;
                parts.text("runner")?;
                Event::ResponseStarted { invocation: inv, forward }
            }
            "NOTICE" => {
                let inv = parts.id("ticket")?;
                let forward = parts.number("roundNo")?;
                parts.real("level", 0.0)?;
                let started = parts.number_or("what", 0u64)? == 1;
                parts.text("runner")?;
                if started {
                    Event::Started { invocation: inv, forward }
                } else {
                    Event::Progress { invocation: inv, forward }
                }
            }
            "RESOLVED" => {
                let inv = parts.id("ticket")?;
                let tgt = parts.id("runner")?;
                let how = parts.text("how")?;
                let ending =
                    ending(how).ok_or_else(|| parts.fault("how", format!("unknown outcome '{how}'")))?;
                let forward = parts.number("roundNo")?;
                let finished = parts.flag("finished")?;
                parts.number_or("remark", 0i64)?;
                let elapsed = parts.span("elapsed")?;
                let report = parts.row("gauge")?;
                Event::Outcome(Outcome {
                    invocation: inv,
                    forward,
                    runner: tgt,
                    result: ending,
                    answered: finished,
                    elapsed,
                    report,
                })
            }
            "GONE" => Event::ClientLeft { invocation: parts.id("ticket")? },
            "RING" => {
                parts.number::<u64>("handle")?;
                Event::TimerFired
            }
            _ => {
                parts.span("elapsed")?;
                let alive = parts.text("how")? == "success";
                let tgt = parts.id("runner")?;
                Event::ProbeEnded { runner: tgt, alive, report: parts.row("gauge")? }
            }
        };
        parts.end()?;
        Ok(Some(Message::Event { inst, event }))
    }

    fn roster(&mut self) -> Result<Message, Malformed> {
        let mut parts = Parts::new(self.line, &self.text, usize::MAX);
        let inst = parts.number("dispatcherId")?;
        parts.number_or("revision", 0i64)?;
        let listing = match parts.text("mode")? {
            "changes" => Listing::Changes,
            "all" => Listing::All,
            "remembered" => Listing::Remembered,
            "refused" => Listing::Refused,
            other => return Err(parts.fault("mode", format!("unknown mode '{other}'"))),
        };
        let count: u64 = parts.number_or("entries", 0)?;
        parts.end()?;
        // The count is only the input's word: entries are taken as they come, none set aside for.
        let mut entries = Vec::new();
        for _ in 0..count {
            if !self.advance()? {
                return Err(self.fault("truncated batch: ITEM missing"));
            }
            let mut parts = Parts::new(self.line, &self.text, usize::MAX);
            if parts.name != "ITEM" {
                return Err(self.fault(format!("expected ITEM, found '{}'", parts.name)));
            }
            entries.push(entry(&mut parts)?);
            parts.end()?;
        }
        Ok(Message::Event { inst, event: Event::Roster(Roster { listing, entries }) })
    }
}

fn pairs(info: &str) -> Result<Vec<(&str, &str)>, String> {
    let pairs = info.split(' ').filter(|pair| !pair.is_empty());
    pairs.map(|pair| pair.split_once('=').ok_or_else(|| format!("'{pair}' is no pair"))).collect()
}

fn entry(parts: &mut Parts) -> Result<RosterEntry, Malformed> {
    let cell = parts.number_or("bay", -1)?;
    let size = parts.real("powerHint", 1.0)?.max(0.0);
    let kind = parts.optional("kind")?.unwrap_or_default().into();
    let readiness = match parts.text("readiness")? {
        "on" => Readiness::Up,
        "fading" => Readiness::Draining,
        "off" => Readiness::Removed,
        other => return Err(parts.fault("readiness", format!("unknown state '{other}'"))),
    };
    let zone = parts.optional("dc")?.unwrap_or_default().into();
    let tgt = parts.id("runner")?;
    let launched = Some(parts.span("launched")?).filter(|at| *at != 0);
    Ok(RosterEntry { runner: tgt, cell, size, machine_type: kind, zone, readiness, launched })
}

fn ending(how: &str) -> Option<ForwardResult> {
    Some(match how {
        "success" => ForwardResult::Succeeded,
        "failure" => ForwardResult::Errored,
        "overloaded" => ForwardResult::Overloaded,
        "timed_out" => ForwardResult::TimedOut,
        "unreachable" => ForwardResult::Unreachable,
        "broken" => ForwardResult::Broken,
        "withdrawn" => ForwardResult::Withdrawn,
        "void" => ForwardResult::Void,
        _ => return None,
    })
}

pub fn write(out: &mut String, inst: u64, action: &Action) {
    // Writing to a String cannot fail.
    let _ = match action {
        Action::Forward { invocation: inv, runner: tgt, .. } => {
            writeln!(out, "SUBMIT_TO {inst} {inv} {tgt} -")
        }
        Action::Cancel { invocation: inv, forward } => writeln!(out, "CANCEL {inst} {inv} {forward}"),
        Action::Throttle { invocation: inv, retry_after: Some(after) } => {
            writeln!(out, "DENY {inst} {inv} {after}")
        }
        Action::Throttle { invocation: inv, retry_after: None } => writeln!(out, "DENY {inst} {inv} -"),
        Action::Error { invocation: inv } => writeln!(out, "DROP_REQUEST {inst} {inv}"),
        Action::Probe { runner: tgt } => writeln!(out, "SAMPLE {inst} {tgt}"),
        Action::Subscribe => writeln!(out, "OBSERVE {inst} 1"),
        Action::SetTimer { after } => writeln!(out, "ARM {inst} {after} {TICK}"),
        Action::Log(text) => writeln!(out, "TRACE {inst} {}", one_line(text)),
    };
}

pub fn write_fault(out: &mut String, inst: u64, fault: &(dyn Any + Send)) {
    let text = fault
        .downcast_ref::<String>()
        .map(String::as_str)
        .or_else(|| fault.downcast_ref::<&str>().copied())
        .unwrap_or("a fault in the decision code");
    let _ = writeln!(out, "FATAL {inst} {}", one_line(text));
}

fn one_line(text: &str) -> String {
    text.replace(['\n', '\r'], " ")
}
