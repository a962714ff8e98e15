//! The simulator's line protocol: parses its messages and formats actions.
//!
//! A message is a line of fields separated by spaces; `-` stands for an absent value. A batch begins with
//! `ROUND` and ends with `COMMIT`.

use std::any::Any;
use std::fmt::{self, Display, Write};
use std::io::{self, BufRead};
use std::str::{FromStr, SplitN};

use topazsail::{
    Action, Arrival, Event, ForwardResult, Id, Listing, Micros, Outcome, Readiness, Roster, RosterEntry,
    Settings,
};

/// Handle of an instance's timer. Each instance has only one timer, so all use the same handle.
const TIMER_HANDLE: u64 = 1;

/// An input line that cannot be parsed, or a failed read.
#[derive(Debug)]
pub struct InputError {
    /// Line number, from 1; 0 if unknown.
    line: u64,
    reason: String,
}

impl Display for InputError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "line {}: {}", self.line, self.reason)
    }
}

impl std::error::Error for InputError {}

impl From<io::Error> for InputError {
    fn from(error: io::Error) -> Self {
        InputError { line: 0, reason: format!("standard input: {error}") }
    }
}

/// A message from the simulator.
pub enum Message {
    /// Starts an instance: the policy of one simulated dispatcher.
    Create { instance_id: u64, seed: u64, settings: Settings, operations: Vec<String> },
    /// Ends an instance.
    Kill { instance_id: u64 },
    /// An event for an instance.
    Event { instance_id: u64, event: Event },
    /// A message without effect: one between peers, or an arrival for an unknown instance.
    Ignored,
}

/// The fields of one line, read in the order in which the protocol defines them. Each method takes the
/// field's name for error messages.
struct Fields<'a> {
    line: u64,
    name: &'a str,
    fields: SplitN<'a, char>,
}

impl<'a> Fields<'a> {
    /// Splits a line into at most `limit` fields, the first of which is the message's name.
    fn new(line: u64, text: &'a str, limit: usize) -> Fields<'a> {
        let mut fields = text.splitn(limit, ' ');
        let name = fields.next().unwrap_or_default();
        Fields { line, name, fields }
    }

    /// An error about a field of this line.
    fn error(&self, field: &str, reason: impl Display) -> InputError {
        InputError { line: self.line, reason: format!("{} {field}: {reason}", self.name) }
    }

    /// Reads a field; `None` if it is `-`.
    fn optional(&mut self, field: &str) -> Result<Option<&'a str>, InputError> {
        match self.fields.next() {
            None | Some("") => Err(self.error(field, "missing")),
            Some("-") => Ok(None),
            Some(text) => Ok(Some(text)),
        }
    }

    /// Reads a field that must have a value.
    fn text(&mut self, field: &str) -> Result<&'a str, InputError> {
        self.optional(field)?.ok_or_else(|| self.error(field, "expected a value, found '-'"))
    }

    /// Parses the text of a field as a number.
    fn parse<T: FromStr>(&self, field: &str, text: &str) -> Result<T, InputError> {
        text.parse().map_err(|_| self.error(field, format!("expected a number, found '{text}'")))
    }

    /// Reads a number.
    fn number<T: FromStr>(&mut self, field: &str) -> Result<T, InputError> {
        let text = self.text(field)?;
        self.parse(field, text)
    }

    /// Reads a number; `absent` if it is `-`.
    fn number_or<T: FromStr>(&mut self, field: &str, absent: T) -> Result<T, InputError> {
        match self.optional(field)? {
            Some(text) => self.parse(field, text),
            None => Ok(absent),
        }
    }

    /// Reads a finite number; `absent` if it is `-`.
    fn finite(&mut self, field: &str, absent: f64) -> Result<f64, InputError> {
        let value: f64 = self.number_or(field, absent)?;
        if value.is_finite() {
            Ok(value)
        } else {
            Err(self.error(field, format!("expected a finite number, found {value}")))
        }
    }

    /// Reads a time or duration in microseconds; 0 if absent.
    fn duration(&mut self, field: &str) -> Result<Micros, InputError> {
        let value: Micros = self.number_or(field, 0)?;
        // Far beyond any simulated time, and far enough below the type's limit that sums of such values
        // cannot overflow.
        if value.abs() > 1 << 60 {
            Err(self.error(field, format!("expected -2^60 to 2^60, found {value}")))
        } else {
            Ok(value)
        }
    }

    /// Reads `1` or `0`; false if absent.
    fn flag(&mut self, field: &str) -> Result<bool, InputError> {
        match self.optional(field)? {
            Some("1") => Ok(true),
            Some("0") | None => Ok(false),
            Some(other) => Err(self.error(field, format!("expected 0 or 1, found '{other}'"))),
        }
    }

    /// Reads an id, which must be given.
    fn id(&mut self, field: &str) -> Result<Id, InputError> {
        self.text(field).map(Id::from)
    }

    /// Reads numbers separated by commas, with 0 for each `-`; empty if the whole field is absent.
    fn numbers(&mut self, field: &str) -> Result<Vec<f64>, InputError> {
        let Some(text) = self.optional(field)? else { return Ok(Vec::new()) };
        text.split(',')
            .map(|value| match value {
                "-" => Ok(0.0),
                value => self.parse(field, value),
            })
            .collect()
    }

    /// Checks that no fields are left.
    fn finish(mut self) -> Result<(), InputError> {
        match self.fields.next() {
            None => Ok(()),
            Some(more) => Err(self.error("end of line", format!("unexpected '{more}'"))),
        }
    }
}

/// Reads batches of messages, line by line.
pub struct Reader<R> {
    input: R,
    /// The number of the current line, from 1.
    line: u64,
    /// The current line without its line end.
    text: String,
}

impl<R: BufRead> Reader<R> {
    /// Creates a reader at the start of `input`.
    pub fn new(input: R) -> Reader<R> {
        Reader { input, line: 0, text: String::new() }
    }

    /// An error about the current line.
    fn error(&self, reason: impl Into<String>) -> InputError {
        InputError { line: self.line, reason: reason.into() }
    }

    /// Reads the next line into `text`. Returns false at the end of input.
    fn advance(&mut self) -> Result<bool, InputError> {
        self.text.clear();
        self.line += 1;
        let read = self.input.read_line(&mut self.text).map_err(|error| self.error(error.to_string()))?;
        if self.text.ends_with('\n') {
            self.text.pop();
        }
        Ok(read > 0)
    }

    /// Reads the first line of a batch and returns the time of its clock in microseconds, or `None` if the
    /// input ended after the previous batch.
    ///
    /// # Errors
    ///
    /// Returns an error if the line is not a valid `ROUND`, or if reading fails.
    pub fn begin_batch(&mut self) -> Result<Option<Micros>, InputError> {
        if !self.advance()? {
            return Ok(None);
        }
        let mut fields = Fields::new(self.line, &self.text, usize::MAX);
        if fields.name != "ROUND" {
            return Err(self.error(format!("expected ROUND, found '{}'", fields.name)));
        }
        let now = fields.number("clock")?;
        fields.finish()?;
        Ok(Some(now))
    }

    /// Reads the next message of the batch; `None` at its end. `operations` returns an instance's operation
    /// names.
    ///
    /// # Errors
    ///
    /// Returns an error if the message is unknown or malformed, if the input ends inside the batch, or if
    /// reading fails.
    pub fn next_message<'h>(
        &mut self,
        operations: impl Fn(u64) -> Option<&'h [String]>,
    ) -> Result<Option<Message>, InputError> {
        if !self.advance()? {
            return Err(self.error("truncated batch: no COMMIT"));
        }
        if self.text.starts_with("DIRECTORY_UPDATE ") {
            return self.read_roster().map(Some);
        }
        let mut fields = Fields::new(self.line, &self.text, usize::MAX);
        if fields.name == "COMMIT" {
            fields.finish()?;
            return Ok(None);
        }
        let known = ["CREATE", "KILL", "KNOCK", "FLOWING", "NOTICE", "RESOLVED", "GONE", "RING"];
        if !known.contains(&fields.name) && !["PROBE_RESULT", "FROM_PEER"].contains(&fields.name) {
            return Err(self.error(format!("unknown message '{}'", fields.name)));
        }
        let instance_id = fields.number("dispatcherId")?;
        let event = match fields.name {
            "CREATE" => {
                let mut fields = Fields::new(self.line, &self.text, 4);
                fields.text("dispatcherId")?;
                let seed = fields.number("seed")?;
                let info = fields.text("info")?;
                let decoded = parse_pairs(info)
                    .and_then(topazsail_settings::decode)
                    .map_err(|reason| fields.error("info", reason))?;
                let (settings, operations) = (decoded.settings, decoded.operation_names);
                return Ok(Some(Message::Create { instance_id, seed, settings, operations }));
            }
            "KILL" => {
                fields.finish()?;
                return Ok(Some(Message::Kill { instance_id }));
            }
            "FROM_PEER" => {
                fields.number::<u64>("from")?;
                fields.optional("raw")?;
                fields.finish()?;
                return Ok(Some(Message::Ignored));
            }
            "KNOCK" => {
                let invocation = fields.id("ticket")?;
                let work_hint = fields.duration("weightHint")?;
                fields.optional("team")?;
                let time_left = fields.duration("expiresIn")?;
                fields.finite("ramUnits", 0.0)?;
                let slots = fields.finite("width", 1.0)?;
                let name = fields.text("type")?;
                let has_hint = fields.number_or("bits", 0u64)? & 1 > 0 && work_hint > 0;
                let work_hint = Some(work_hint).filter(|_| has_hint);
                let key = fields.optional("partitionKey")?.map(Id::from);
                let Some(names) = operations(instance_id) else { return Ok(Some(Message::Ignored)) };
                let Some(operation) = names.iter().position(|known| known == name) else {
                    return Err(fields.error("type", format!("unknown operation '{name}'")));
                };
                Event::Arrival(Arrival { invocation, operation, time_left, slots, work_hint, key })
            }
            "FLOWING" => {
                let invocation = fields.id("ticket")?;
                fields.duration("elapsed")?;
                let forward = fields.number("roundNo")?;
                fields.text("runner")?;
                Event::ResponseStarted { invocation, forward }
            }
            "NOTICE" => {
                let invocation = fields.id("ticket")?;
                let forward = fields.number("roundNo")?;
                fields.finite("level", 0.0)?;
                let started = fields.number_or("what", 0u64)? == 1;
                fields.text("runner")?;
                if started {
                    Event::Started { invocation, forward }
                } else {
                    Event::Progress { invocation, forward }
                }
            }
            "RESOLVED" => {
                let invocation = fields.id("ticket")?;
                let runner = fields.id("runner")?;
                let how = fields.text("how")?;
                let result = parse_result(how)
                    .ok_or_else(|| fields.error("how", format!("unknown outcome '{how}'")))?;
                let forward = fields.number("roundNo")?;
                let answered = fields.flag("finished")?;
                fields.number_or("remark", 0i64)?;
                let elapsed = fields.duration("elapsed")?;
                let report = fields.numbers("gauge")?;
                Event::Outcome(Outcome { invocation, forward, runner, result, answered, elapsed, report })
            }
            "GONE" => Event::ClientLeft { invocation: fields.id("ticket")? },
            "RING" => {
                fields.number::<u64>("handle")?;
                Event::TimerFired
            }
            // PROBE_RESULT, the only message that is left.
            _ => {
                fields.duration("elapsed")?;
                let alive = fields.text("how")? == "success";
                let runner = fields.id("runner")?;
                Event::ProbeEnded { runner, alive, report: fields.numbers("gauge")? }
            }
        };
        fields.finish()?;
        Ok(Some(Message::Event { instance_id, event }))
    }

    /// Parses the `DIRECTORY_UPDATE` in the current line and reads the entries that follow it.
    fn read_roster(&mut self) -> Result<Message, InputError> {
        let mut fields = Fields::new(self.line, &self.text, usize::MAX);
        let instance_id = fields.number("dispatcherId")?;
        fields.number_or("revision", 0i64)?;
        let listing = match fields.text("mode")? {
            "changes" => Listing::Changes,
            "all" => Listing::All,
            "remembered" => Listing::Remembered,
            "refused" => Listing::Refused,
            other => return Err(fields.error("mode", format!("unknown mode '{other}'"))),
        };
        let count: u64 = fields.number_or("entries", 0)?;
        fields.finish()?;
        // The count is not trusted: no memory is reserved for that many entries.
        let mut entries = Vec::new();
        for _ in 0..count {
            if !self.advance()? {
                return Err(self.error("truncated batch: ITEM missing"));
            }
            let mut fields = Fields::new(self.line, &self.text, usize::MAX);
            if fields.name != "ITEM" {
                return Err(self.error(format!("expected ITEM, found '{}'", fields.name)));
            }
            entries.push(parse_entry(&mut fields)?);
            fields.finish()?;
        }
        Ok(Message::Event { instance_id, event: Event::Roster(Roster { listing, entries }) })
    }
}

/// Splits text into its `key=value` pairs.
fn parse_pairs(info: &str) -> Result<Vec<(&str, &str)>, String> {
    let pairs = info.split(' ').filter(|pair| !pair.is_empty());
    pairs
        .map(|pair| pair.split_once('=').ok_or_else(|| format!("'{pair}' is not of the form key=value")))
        .collect()
}

/// Parses a roster entry from an `ITEM` line.
fn parse_entry(fields: &mut Fields) -> Result<RosterEntry, InputError> {
    let cell = fields.number_or("bay", -1)?;
    let size = fields.finite("powerHint", 1.0)?.max(0.0);
    let machine_type = fields.optional("kind")?.unwrap_or_default().into();
    let readiness = match fields.text("readiness")? {
        "on" => Readiness::Up,
        "fading" => Readiness::Draining,
        "off" => Readiness::Removed,
        other => return Err(fields.error("readiness", format!("unknown state '{other}'"))),
    };
    let zone = fields.optional("dc")?.unwrap_or_default().into();
    let runner = fields.id("runner")?;
    let started_at = Some(fields.duration("launched")?).filter(|at| *at != 0);
    Ok(RosterEntry { runner, cell, size, machine_type, zone, readiness, started_at })
}

/// Returns the result of a forward by its name on the wire.
fn parse_result(how: &str) -> Option<ForwardResult> {
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

/// Appends the line of an action of an instance.
pub fn write_action(out: &mut String, instance_id: u64, action: &Action) {
    // Writing to a String cannot fail.
    let _ = match action {
        Action::Forward { invocation, runner, .. } => {
            writeln!(out, "SUBMIT_TO {instance_id} {invocation} {runner} -")
        }
        Action::Cancel { invocation, forward } => {
            writeln!(out, "CANCEL {instance_id} {invocation} {forward}")
        }
        Action::Throttle { invocation, retry_after: Some(after) } => {
            writeln!(out, "DENY {instance_id} {invocation} {after}")
        }
        Action::Throttle { invocation, retry_after: None } => {
            writeln!(out, "DENY {instance_id} {invocation} -")
        }
        Action::Error { invocation } => writeln!(out, "DROP_REQUEST {instance_id} {invocation}"),
        Action::Probe { runner } => writeln!(out, "SAMPLE {instance_id} {runner}"),
        Action::Subscribe => writeln!(out, "OBSERVE {instance_id} 1"),
        Action::SetTimer { after } => writeln!(out, "ARM {instance_id} {after} {TIMER_HANDLE}"),
        Action::Log(text) => writeln!(out, "TRACE {instance_id} {}", one_line(text)),
    };
}

/// Appends the line that reports a panic of an instance's policy.
pub fn write_panic(out: &mut String, instance_id: u64, panic: &(dyn Any + Send)) {
    let text = panic
        .downcast_ref::<String>()
        .map(String::as_str)
        .or_else(|| panic.downcast_ref::<&str>().copied())
        .unwrap_or("a panic in the decision module");
    let _ = writeln!(out, "FATAL {instance_id} {}", one_line(text));
}

/// Replaces line breaks by spaces, since a message is one line.
fn one_line(text: &str) -> String {
    text.replace(['\n', '\r'], " ")
}
