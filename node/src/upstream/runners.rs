//! Connections to runners: a pool for each, and what is asked on them: forwards, probes and cancels.
//!
//! It owns which connection carries what, and when that counts as not answered. It tells how each forward
//! ended as far as its own connection shows; it must never send one twice, nor choose a runner.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde_json::Value;
use topazsail::{ForwardResult, Id, Micros};
use topazsail_settings::DecodedSettings;

use crate::net::connection::{
    CloseReason, ConnectionDriver, ConnectionHandler, ConnectionId, ConnectionRole, Timer,
};
use crate::net::http::{self, MESSAGE_MOST, Response, encode_bare};
use crate::net::log::log;

/// A cancel that gets no answer by then has failed: the runner is cut off or stands still.
const CANCEL_WITHIN: Micros = 250_000;
/// How long a runner's address is kept after it was listed last: its jobs may still have to be cancelled.
const GONE_KEPT: Micros = 60_000_000;
/// How long an answer that is too late to count may still come, so that its connection can be kept.
const LATE_MOST: Micros = 2_000_000;
/// A second answer may follow some milliseconds after the first. What comes within this is not believed to be the next
/// task's where it would say that a job never ran, or has ended, that may be running.
const SECOND_WITHIN: Micros = 10_000;

/// From the first byte of a forward to its last: well within the slack of 0.15 s on the time that it tells its runner.
const LEAVES_WITHIN: Micros = 100_000;

#[derive(Clone, Debug, PartialEq)]
enum Task {
    Forward { inv: Id, number: u32 },
    Probe,
    Cancel { inv: Id, number: u32 },
}

#[derive(Clone, Debug, PartialEq)]
pub enum RunnerEvent {
    /// The runner has taken a forward: call-backs tell the rest.
    Accepted {
        invocation: Id,
        number: u32,
    },
    Ended {
        invocation: Id,
        number: u32,
        result: ForwardResult,
        report: Vec<f64>,
    },
    /// A forward's client had left when it was to leave.
    ClientLeft {
        invocation: Id,
        number: u32,
    },
    /// The runner will not take a forward as it was sent, and has not run it.
    Unusable {
        invocation: Id,
        number: u32,
    },
    /// A forward is given up: it never got out, its runner has said so, or its process is gone.
    Cancelled {
        invocation: Id,
        number: u32,
    },
    /// A cancel was not answered: the forward may still run.
    NotCancelled {
        invocation: Id,
        number: u32,
    },
    Probed {
        runner: Id,
        alive: bool,
        report: Vec<f64>,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Dialling,
    Idle,
    Busy,
}

/// Who waits for a forward, and for how long: its runner is told what is left when it leaves, and not when it was decided
/// on, in a line at this place of its message.
#[derive(Clone, Copy)]
struct Waits {
    client: ConnectionId,
    until: Micros,
    line_at: usize,
}

/// A task, with its message and when it must have come to an end.
struct Asked {
    task: Task,
    message: Vec<u8>,
    due: Micros,
    waits: Option<Waits>,
}

/// One connection.
struct Line {
    tgt: Id,
    phase: Phase,
    since: Micros,
    task: Option<Task>,
    /// When it was answered on last, if it was: its runner may have let go of it since, or answer once more.
    answered_at: Option<Micros>,
    /// The message of a task that waits for the dial, and when it must have left.
    message: Vec<u8>,
    leaves_by: Micros,
    waits: Option<Waits>,
    /// When what it is at must have come to an end.
    due: Micros,
    /// The task's end has been told as not answered; the answer may still come.
    overdue: bool,
    /// When it will next be looked at for having been idle too long.
    rest_check: Micros,
}

impl Line {
    /// The task that waits for the dial, with its message and when it is due, if it may still leave.
    fn take_waiting(&mut self, now: Micros) -> Option<Asked> {
        let task = self.task.take_if(|_| self.phase == Phase::Dialling && now < self.leaves_by)?;
        Some(Asked { task, message: std::mem::take(&mut self.message), due: self.due, waits: self.waits })
    }
}

struct Runner {
    address: SocketAddr,
    /// Since when it is listed no more.
    gone_since: Option<Micros>,
    lines: Vec<ConnectionId>,
    /// The most recently used last.
    idle: Vec<ConnectionId>,
}

#[derive(Default)]
pub struct Runners {
    by_id: BTreeMap<Id, Runner>,
    lines: BTreeMap<ConnectionId, Line>,
    report_fields: Vec<String>,
    dial_timeout: Micros,
    probe_within: Micros,
    idle_most: Micros,
    may_cancel: bool,
    /// Forwards written whole, for the figures.
    written: u64,
    pub events: Vec<RunnerEvent>,
}

impl Runners {
    pub fn new(decoded: &DecodedSettings) -> Runners {
        let mut runners = Runners::default();
        runners.apply_settings(decoded);
        runners
    }

    /// What holds from now on.
    pub fn apply_settings(&mut self, decoded: &DecodedSettings) {
        self.report_fields = decoded.report_fields.clone();
        self.dial_timeout = decoded.dial_timeout;
        // A probe answers beside the queue: one as slow as a dial may be tells as much as none.
        self.probe_within = decoded.dial_timeout / 2;
        // Well before the runner does, or a request could cross its closing.
        self.idle_most = decoded.idle_close / 2;
        self.may_cancel = decoded.settings.may_cancel;
    }

    /// What the roster says of a runner's whereabouts.
    pub fn update_runner(
        &mut self,
        tgt: &Id,
        listed: bool,
        address: Option<SocketAddr>,
        driver: &mut dyn ConnectionDriver,
    ) {
        if let Some(runner) = self.by_id.get_mut(tgt) {
            let moved = address.is_some_and(|address| address != runner.address);
            let since = runner.gone_since.unwrap_or(driver.now());
            runner.gone_since = Some(since).filter(|_| !listed);
            runner.address = address.unwrap_or(runner.address);
            if moved || !listed {
                self.stop_sending(tgt, driver);
            }
        } else if let Some(address) = address.filter(|_| listed) {
            let runner = Runner { address, gone_since: None, lines: Vec::new(), idle: Vec::new() };
            self.by_id.insert(tgt.clone(), runner);
        }
    }

    pub fn address(&self, tgt: &Id) -> Option<SocketAddr> {
        self.by_id.get(tgt).map(|runner| runner.address)
    }

    /// A whole list: whoever is not noted after this is gone.
    pub fn mark_all_unlisted(&mut self, now: Micros) {
        self.by_id.values_mut().for_each(|runner| runner.gone_since = runner.gone_since.or(Some(now)));
    }

    /// Lets go of those that are gone, once nobody can have work there any more.
    pub fn remove_long_unlisted(&mut self, driver: &mut dyn ConnectionDriver) {
        let gone = self.by_id.iter().filter(|(_, runner)| runner.gone_since.is_some());
        let gone: Vec<Id> = gone.map(|(id, _)| id.clone()).collect();
        gone.iter().for_each(|tgt| self.stop_sending(tgt, driver));
        let long_gone = |since: Micros| driver.now() - since > GONE_KEPT;
        self.by_id.retain(|_, runner| !runner.gone_since.is_some_and(long_gone) || !runner.lines.is_empty());
    }

    /// Ends the connection that has been at rest for longest, if there is any.
    pub fn make_room(&mut self, driver: &mut dyn ConnectionDriver) -> bool {
        let idle = self.by_id.values().flat_map(|runner| &runner.idle);
        let oldest = idle.min_by_key(|connection| self.lines.get(connection).map(|line| line.since)).copied();
        oldest.inspect(|connection| self.end_line(*connection, CloseReason::MadeRoom, driver)).is_some()
    }

    pub fn close_idle(&mut self, tgt: &Id, end: CloseReason, driver: &mut dyn ConnectionDriver) {
        let idle = self.by_id.get_mut(tgt).map(|runner| std::mem::take(&mut runner.idle));
        for connection in idle.unwrap_or_default() {
            self.end_line(connection, end, driver);
        }
    }

    /// A runner is to get nothing new: what waits for a connection there has not left, and connections at
    /// rest would only break when it is restarted.
    pub fn stop_sending(&mut self, tgt: &Id, driver: &mut dyn ConnectionDriver) {
        self.close_idle(tgt, CloseReason::Unlisted, driver);
        self.drop_pending(tgt, driver);
    }

    /// What waits for a connection to a runner that drains or is gone would reach it whenever its dial comes up, long
    /// after the grace.
    pub fn drop_pending(&mut self, tgt: &Id, driver: &mut dyn ConnectionDriver) {
        let lines = self.by_id.get(tgt).map(|runner| runner.lines.clone()).unwrap_or_default();
        for connection in lines {
            let waits = |line: &&mut Line| matches!(line.task, Some(Task::Forward { .. }));
            let waiting = self.lines.get_mut(&connection).filter(waits);
            let waiting = waiting.and_then(|line| line.take_waiting(Micros::MIN));
            if let Some(asked) = waiting {
                self.end_line(connection, CloseReason::Unlisted, driver);
                self.unanswered(tgt, asked.task, ForwardResult::Void, false);
            }
        }
    }

    /// The same for all runners.
    pub fn drop_all_pending(&mut self, driver: &mut dyn ConnectionDriver) {
        let all: Vec<Id> = self.by_id.keys().cloned().collect();
        all.iter().for_each(|tgt| self.drop_pending(tgt, driver));
    }

    /// `head` and `body` as they came, when nobody waits for the outcome any more, and when it must have left, if it
    /// waits for a dial: runners remember an earlier one only for so long.
    pub fn forward(
        &mut self,
        tgt: &Id,
        (inv, number): (&Id, u32),
        (head, body): (&[u8], &[u8]),
        (expires_at, by): (Micros, Option<Micros>),
        client: ConnectionId,
        driver: &mut dyn ConnectionDriver,
    ) {
        let mut message = head.to_vec();
        message.extend_from_slice(format!("Content-Length: {}\r\n\r\n", body.len()).as_bytes());
        message.extend_from_slice(body);
        let task = Task::Forward { inv: inv.clone(), number };
        let waits = Some(Waits { client, until: expires_at, line_at: head.len() });
        self.ask(tgt, Asked { task, message, due: expires_at + LATE_MOST, waits }, driver);
        let connection = self.carrying(tgt, inv, number).filter(|_| by.is_some());
        if let Some((by, connection)) = by.zip(connection)
            && let Some(line) = self.lines.get_mut(&connection)
        {
            line.leaves_by = by;
            driver.set_timer(Timer::Connection(connection), by);
        }
    }

    fn probe_message(&self, tgt: &Id) -> Vec<u8> {
        let target = if self.report_fields.is_empty() { "/healthz" } else { "/load" };
        self.by_id.get(tgt).map(|r| encode_bare("GET", target, r.address)).unwrap_or_default()
    }

    pub fn probe(&mut self, tgt: &Id, driver: &mut dyn ConnectionDriver) {
        let message = self.probe_message(tgt);
        let due = driver.now() + self.probe_within;
        self.ask(tgt, Asked { task: Task::Probe, message, due, waits: None }, driver);
    }

    /// Nobody waits for this forward any more: what of it has not left does not leave. That is no cancel, and needs no
    /// leave to send one. Whether it was held back.
    pub fn withdraw_unsent(
        &mut self,
        tgt: &Id,
        inv: &Id,
        number: u32,
        driver: &mut dyn ConnectionDriver,
    ) -> bool {
        let Some(connection) = self.carrying(tgt, inv, number) else { return false };
        let Some(line) = self.lines.get_mut(&connection) else { return false };
        if line.phase == Phase::Dialling {
            line.task = None;
            line.message.clear();
        } else if driver.unsent(connection) {
            self.written -= 1;
            self.end_line(connection, CloseReason::GivenUp, driver);
        } else {
            return false;
        }
        self.events.push(RunnerEvent::Cancelled { invocation: inv.clone(), number });
        true
    }

    /// The connection that has a forward's request or still awaits its answer.
    fn carrying(&self, tgt: &Id, inv: &Id, number: u32) -> Option<ConnectionId> {
        let forward = Task::Forward { inv: inv.clone(), number };
        let lines = self.by_id.get(tgt).map(|runner| runner.lines.as_slice()).unwrap_or_default();
        let carries = |connection: &&ConnectionId| {
            self.lines.get(connection).and_then(|l| l.task.as_ref()) == Some(&forward)
        };
        lines.iter().find(carries).copied()
    }

    /// Gives up a forward: unsent it is simply dropped; before its 202 its connection is closed, and the job
    /// is deleted all the same, as the 202 may be under way. As long as the runner has not answered, the job
    /// may go on there, and another forward would be a second copy.
    pub fn cancel(&mut self, tgt: &Id, inv: &Id, number: u32, driver: &mut dyn ConnectionDriver) {
        if self.withdraw_unsent(tgt, inv, number, driver) {
            return;
        }
        if let Some(connection) = self.carrying(tgt, inv, number) {
            self.end_line(connection, CloseReason::GivenUp, driver);
        }
        // A runner that is listed no more may still be at it, cut off from whoever keeps the list.
        let Some(runner) = self.by_id.get(tgt).filter(|_| self.may_cancel) else {
            return self.events.push(RunnerEvent::NotCancelled { invocation: inv.clone(), number });
        };
        let message = encode_bare("DELETE", &format!("/jobs/{inv}"), runner.address);
        let due = driver.now() + CANCEL_WITHIN;
        let task = Task::Cancel { inv: inv.clone(), number };
        self.ask(tgt, Asked { task, message, due, waits: None }, driver);
    }

    fn ask(&mut self, tgt: &Id, asked: Asked, driver: &mut dyn ConnectionDriver) {
        // One that has rested, if there is one: what is answered on it cannot be another's.
        let rested = driver.now() - SECOND_WITHIN;
        while let Some(runner) = self.by_id.get_mut(tgt)
            && let Some(last) = runner.idle.len().checked_sub(1)
        {
            let rests = |connection: &ConnectionId| {
                self.lines.get(connection).is_none_or(|line| line.since <= rested)
            };
            let connection = runner.idle.remove(runner.idle.iter().rposition(rests).unwrap_or(last));
            if driver.is_reusable(connection) {
                return self.start(connection, asked, driver);
            }
            self.end_line(connection, CloseReason::Stale, driver);
        }
        self.ask_anew(tgt, asked, driver);
    }

    /// On a connection of its own, however many are idle.
    fn ask_anew(&mut self, tgt: &Id, asked: Asked, driver: &mut dyn ConnectionDriver) {
        let Asked { task, message, due, waits } = asked;
        let Some(runner) = self.by_id.get_mut(tgt) else {
            return self.unanswered(tgt, task, ForwardResult::Void, false);
        };
        let connection = driver.dial(runner.address, ConnectionRole::Runner);
        runner.lines.push(connection);
        let since = driver.now();
        let (phase, task, tgt) = (Phase::Dialling, Some(task), tgt.clone());
        let (answered_at, leaves_by, overdue, rest_check) = (None, Micros::MAX, false, 0);
        let line = Line {
            tgt,
            phase,
            since,
            task,
            answered_at,
            message,
            leaves_by,
            waits,
            due,
            overdue,
            rest_check,
        };
        self.lines.insert(connection, line);
        driver.set_timer(Timer::Connection(connection), since + self.dial_timeout);
    }

    /// What had to leave by now, and still waits for its dial, never leaves.
    fn lapse(&mut self, connection: ConnectionId, driver: &mut dyn ConnectionDriver) {
        let late = |line: &&mut Line| line.phase == Phase::Dialling && driver.now() >= line.leaves_by;
        let Some(line) = self.lines.get_mut(&connection).filter(late) else { return };
        line.leaves_by = Micros::MAX;
        if let Some(asked) = line.take_waiting(Micros::MIN) {
            let tgt = line.tgt.clone();
            self.unanswered(&tgt, asked.task, ForwardResult::Void, false);
        }
    }

    /// Writes a task's message to a connection that is up. A client that has left meanwhile is looked for once more:
    /// against a forward for nobody, written at the end of a long turn or by a dial that comes up before its end is read.
    fn start(&mut self, connection: ConnectionId, asked: Asked, driver: &mut dyn ConnectionDriver) {
        let Asked { task, mut message, due, waits } = asked;
        if let Task::Forward { inv, number } = &task
            && waits.is_some_and(|waits| driver.peer_has_closed(waits.client))
        {
            self.events.push(RunnerEvent::ClientLeft { invocation: inv.clone(), number: *number });
            return self.rest(connection, driver);
        }
        if let Some(Waits { until, line_at, .. }) = waits {
            let left = (until - driver.clock()).max(0) / 1000;
            message.splice(line_at..line_at, format!("X-Deadline-Ms: {left}\r\n").into_bytes());
        }
        let Some(line) = self.lines.get_mut(&connection) else { return };
        (line.phase, line.since, line.due, line.overdue) = (Phase::Busy, driver.now(), due, false);
        self.written += u64::from(matches!(task, Task::Forward { .. }));
        let forward = matches!(task, Task::Forward { .. });
        line.task = Some(task);
        driver.send(connection, &message);
        driver.set_timer(Timer::Connection(connection), due);
        if forward && driver.unsent(connection) {
            driver.set_timer(Timer::Connection(connection), driver.now() + LEAVES_WITHIN);
        }
    }

    /// A forward that is not written whole in time: what it tells its runner of the time left is no longer true. Without
    /// its last byte it does not run.
    fn give_up_unsent(&mut self, connection: ConnectionId, driver: &mut dyn ConnectionDriver) {
        let late = |line: &Line| {
            let forward = matches!(line.task, Some(Task::Forward { .. }));
            forward && line.phase == Phase::Busy && driver.now() >= line.since + LEAVES_WITHIN
        };
        if !self.lines.get(&connection).is_some_and(late) || !driver.unsent(connection) {
            return;
        }
        let Some(Line { tgt, task: Some(task), .. }) = self.drop_line(connection) else { return };
        driver.abort(connection, CloseReason::SlowReader);
        self.written -= 1;
        self.unanswered(&tgt, task, ForwardResult::Unreachable, false);
    }

    /// A connection has come free: it takes over a task that waits for a dial, or is kept for the next one.
    fn rest(&mut self, connection: ConnectionId, driver: &mut dyn ConnectionDriver) {
        let Some(tgt) = self.lines.get(&connection).map(|line| line.tgt.clone()) else { return };
        let Some(runner) = self.by_id.get_mut(&tgt) else { return };
        let now = driver.now();
        let mut waiting =
            |other: &ConnectionId| self.lines.get_mut(other).and_then(|line| line.take_waiting(now));
        if let Some(asked) = runner.lines.iter().find_map(&mut waiting) {
            return self.start(connection, asked, driver);
        }
        if runner.gone_since.is_some() {
            return self.end_line(connection, CloseReason::Unlisted, driver);
        }
        runner.idle.push(connection);
        let Some(line) = self.lines.get_mut(&connection) else { return };
        (line.phase, line.since, line.task, line.due) = (Phase::Idle, driver.now(), None, Micros::MAX);
        if line.rest_check <= line.since {
            line.rest_check = line.since + self.idle_most;
            driver.set_timer(Timer::Connection(connection), line.rest_check);
        }
    }

    fn drop_line(&mut self, connection: ConnectionId) -> Option<Line> {
        let line = self.lines.remove(&connection)?;
        if let Some(runner) = self.by_id.get_mut(&line.tgt) {
            runner.lines.retain(|known| *known != connection);
            runner.idle.retain(|known| *known != connection);
        }
        Some(line)
    }

    fn end_line(&mut self, connection: ConnectionId, end: CloseReason, driver: &mut dyn ConnectionDriver) {
        self.drop_line(connection);
        driver.abort(connection, end);
    }

    /// A task that came to its end without an answer.
    fn unanswered(&mut self, tgt: &Id, task: Task, ending: ForwardResult, refused: bool) {
        let gone = self.by_id.get(tgt).is_none_or(|runner| runner.gone_since.is_some());
        self.events.push(match task {
            Task::Forward { inv, number } => {
                RunnerEvent::Ended { invocation: inv, number, result: ending, report: Vec::new() }
            }
            // Listed no more, and nobody listens: the process is gone, and the job with it. A refusal alone
            // may come from a runner whose connections are all taken.
            Task::Cancel { inv, number } if refused && gone => {
                RunnerEvent::Cancelled { invocation: inv, number }
            }
            Task::Cancel { inv, number } => RunnerEvent::NotCancelled { invocation: inv, number },
            Task::Probe => RunnerEvent::Probed { runner: tgt.clone(), alive: false, report: Vec::new() },
        });
    }

    fn answered(&mut self, tgt: &Id, task: Task, answer: &Response) {
        self.events.push(match task {
            Task::Cancel { inv, number } => match answer.status {
                200..=299 | 404 | 410 => RunnerEvent::Cancelled { invocation: inv, number },
                _ => RunnerEvent::NotCancelled { invocation: inv, number },
            },
            Task::Probe => {
                let report = serde_json::from_slice(&answer.body).unwrap_or(Value::Null);
                RunnerEvent::Probed {
                    runner: tgt.clone(),
                    alive: answer.status == 200,
                    report: read_report(&self.report_fields, &report),
                }
            }
            Task::Forward { inv, number } if answer.status == 202 => {
                RunnerEvent::Accepted { invocation: inv, number }
            }
            Task::Forward { inv, number } if matches!(answer.status, 400..=428 | 430..=499) => {
                log!("forward-unusable", "inv={inv} runner={tgt} status={}", answer.status);
                RunnerEvent::Unusable { invocation: inv, number }
            }
            Task::Forward { inv, number } => {
                let load = answer.header("x-load").and_then(|text| serde_json::from_str(text).ok());
                let report = load.map(|load| read_report(&self.report_fields, &load)).unwrap_or_default();
                let not_run = answer.header("x-not-run") == Some("1");
                let ending = match answer.status {
                    503 | 504 if not_run => ForwardResult::Overloaded,
                    status => {
                        log!("forward-errored", "inv={inv} runner={tgt} status={status}");
                        ForwardResult::Errored
                    }
                };
                RunnerEvent::Ended { invocation: inv, number, result: ending, report }
            }
        });
    }

    /// What has come on a connection tells nothing of its task, which may have run; the connection ends with it.
    fn unread(&mut self, connection: ConnectionId, why: &str, driver: &mut dyn ConnectionDriver) {
        let Some(Line { tgt, task, overdue, .. }) = self.drop_line(connection) else { return };
        log!("bad-answer", "link={connection} runner={tgt} reason={why}");
        driver.abort(connection, CloseReason::BadAnswer);
        if let Some(task) = task.filter(|_| !overdue) {
            self.unanswered(&tgt, task, ForwardResult::Broken, false);
        }
    }

    pub fn read_report(&self, load: &Value) -> Vec<f64> {
        read_report(&self.report_fields, load)
    }

    /// Forwards that were written whole since the start.
    pub fn forwards_written(&self) -> u64 {
        self.written
    }

    /// How many connections there are to runners.
    pub fn open_connections(&self) -> usize {
        self.lines.len()
    }

    /// Whether a cancel is still on its way.
    pub fn has_pending_cancels(&self) -> bool {
        self.lines.values().any(|line| matches!(line.task, Some(Task::Cancel { .. })) && !line.overdue)
    }
}

/// The values of a load report in the order of the settings; none where one is missing or no number. The
/// settings and the sockets have their own names for the same value.
fn read_report(fields: &[String], load: &Value) -> Vec<f64> {
    const ALSO: [(&str, &str); 6] = [
        ("outstanding", "inflight"),
        ("backlog", "queue"),
        ("utilization", "util"),
        ("recent_ms", "latency_ms"),
        ("throughput", "qps"),
        ("errors_per_s", "eps"),
    ];
    let value = |name: &String| {
        let also = ALSO.iter().find(|(known, _)| known == name).and_then(|(_, also)| load.get(also));
        load.get(name).or(also)?.as_f64().filter(|value| value.is_finite())
    };
    fields.iter().map(value).collect::<Option<Vec<f64>>>().unwrap_or_default()
}

impl ConnectionHandler for Runners {
    fn up(&mut self, connection: ConnectionId, driver: &mut dyn ConnectionDriver) {
        self.lapse(connection, driver);
        let Some(line) = self.lines.get_mut(&connection) else { return };
        match line.take_waiting(driver.now()) {
            Some(asked) => self.start(connection, asked, driver),
            None => self.rest(connection, driver),
        }
    }

    fn bytes(&mut self, connection: ConnectionId, input: &mut Vec<u8>, driver: &mut dyn ConnectionDriver) {
        let Some(line) = self.lines.get_mut(&connection) else { return };
        if line.phase != Phase::Busy {
            return self.end_line(connection, CloseReason::Stale, driver);
        }
        let (tgt, now) = (line.tgt.clone(), driver.now());
        let hasty = line.answered_at.is_some_and(|at| now < at + SECOND_WITHIN);
        let harmless = |status: u16| match line.task {
            Some(Task::Forward { .. }) => status == 202,
            Some(Task::Cancel { .. }) => false,
            Some(Task::Probe) | None => true,
        };
        let doubted = |answer: &Response| hasty && !harmless(answer.status);
        let (keep, used) = match http::answer(input, false) {
            Ok(Some((answer, _))) if doubted(&answer) => {
                return self.unread(connection, "perhaps_anothers", driver);
            }
            Ok(None) if input.len() < MESSAGE_MOST => return,
            Ok(Some((answer, used))) => {
                // Late word on a probe says nothing any more; that a job is deleted still holds.
                let counts = |task: &Task| !line.overdue || matches!(task, Task::Cancel { .. });
                let task = line.task.take().filter(counts);
                line.answered_at = Some(now);
                if let Some(task) = task {
                    self.answered(&tgt, task, &answer);
                }
                (answer.keep, used)
            }
            unread => {
                let why = unread.err().map_or("too_long", |fault| fault.1);
                return self.unread(connection, why, driver);
            }
        };
        drop(input.drain(..used));
        if keep && input.is_empty() {
            self.rest(connection, driver);
        } else {
            self.end_line(
                connection,
                if keep { CloseReason::Stale } else { CloseReason::AnsweredLast },
                driver,
            );
        }
    }

    fn ended(
        &mut self,
        connection: ConnectionId,
        end: CloseReason,
        unsent: bool,
        input: &[u8],
        driver: &mut dyn ConnectionDriver,
    ) {
        let Some(line) = self.drop_line(connection) else { return };
        let Some(task) = line.task.filter(|_| !line.overdue) else { return };
        // A kept connection that breaks at its next request tells of the connection, not of the runner: a
        // probe is asked once more. Anything else sent again might be a second copy.
        if line.answered_at.is_some() && input.is_empty() && task == Task::Probe {
            let message = self.probe_message(&line.tgt);
            return self.ask_anew(&line.tgt, Asked { task, message, due: line.due, waits: None }, driver);
        }
        if line.phase == Phase::Dialling || unsent {
            // It was counted when its writing began.
            let begun = line.phase == Phase::Busy && matches!(task, Task::Forward { .. });
            self.written -= u64::from(begun);
            return self.unanswered(&line.tgt, task, ForwardResult::Unreachable, end == CloseReason::Refused);
        }
        match (http::answer(input, true), task) {
            (Ok(Some((answer, _))), task) => self.answered(&line.tgt, task, &answer),
            // Its runner knows nothing of that and may go on: another forward would be a second copy.
            (_, Task::Forward { inv, number }) if end == CloseReason::PathLost && self.may_cancel => {
                self.cancel(&line.tgt, &inv, number, driver);
            }
            (_, task) => self.unanswered(&line.tgt, task, ForwardResult::Broken, false),
        }
    }

    fn timer_fired(&mut self, connection: ConnectionId, driver: &mut dyn ConnectionDriver) {
        let now = driver.now();
        self.lapse(connection, driver);
        self.give_up_unsent(connection, driver);
        let Some(line) = self.lines.get_mut(&connection) else { return };
        match line.phase {
            Phase::Dialling if now >= line.since + self.dial_timeout => {
                let (tgt, task) = (line.tgt.clone(), line.task.take());
                // One that never began says nothing of its runner.
                let ending = if driver.postponed(connection) {
                    ForwardResult::Void
                } else {
                    ForwardResult::Unreachable
                };
                self.end_line(connection, CloseReason::DialTimeout, driver);
                if let Some(task) = task {
                    self.unanswered(&tgt, task, ending, false);
                }
            }
            Phase::Idle if now >= line.since + self.idle_most => {
                self.end_line(connection, CloseReason::Idle, driver);
            }
            Phase::Idle if now >= line.rest_check => {
                line.rest_check = line.since + self.idle_most;
                driver.set_timer(Timer::Connection(connection), line.rest_check);
            }
            Phase::Busy if now >= line.due => {
                // A forward is never told as not answered here: whoever waits for it has long given it up.
                let told = |task: &Task| !line.overdue && !matches!(task, Task::Forward { .. });
                let Some(task) = line.task.clone().filter(told) else {
                    return self.end_line(connection, CloseReason::NoAnswer, driver);
                };
                line.overdue = true;
                line.due = now + LATE_MOST;
                driver.set_timer(Timer::Connection(connection), line.due);
                let tgt = line.tgt.clone();
                self.unanswered(&tgt, task, ForwardResult::Broken, false);
            }
            _ => {}
        }
    }
}
