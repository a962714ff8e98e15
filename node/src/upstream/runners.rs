//! Connections to runners: a pool for each runner, and the requests sent on them: forwards, probes and
//! cancels.
//!
//! Tracks which connection carries which request and when a request counts as unanswered. Reports the outcome
//! of each forward as far as its own connection shows it. It never sends a forward twice and does not choose
//! runners.

mod answer_history;
mod answers;
mod timeouts;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde_json::Value;
use topazsail::{Effect, ForwardResult, Id, Micros};
use topazsail_settings::DecodedSettings;

use answer_history::{AnswerHistory, AnswerKind, SlowestAnswer};

use crate::net::connection::{
    CloseReason, ConnectionDriver, ConnectionHandler, ConnectionId, ConnectionRole, TimerKey,
};
use crate::net::http::{self, MAX_MESSAGE_BYTES, encode_bodiless_request};

/// A cancel without an answer after this time has failed: the runner is cut off or not running. In
/// microseconds, like all times here.
const CANCEL_TIMEOUT: Micros = 250_000;
/// How long a runner's address is kept after it left the roster, as its jobs may still have to be cancelled.
const UNLISTED_RETENTION: Micros = 60_000_000;
/// How long to wait for an answer that is too late to count, so that its connection can be kept.
const LATE_ANSWER_TIMEOUT: Micros = 2_000_000;

/// A runner's answer to a forward whose job it has taken.
const STATUS_ACCEPTED: u16 = 202;

/// A request to a runner. `number` counts the forwards of an invocation.
#[derive(Clone, Debug, PartialEq)]
enum Task {
    Forward { invocation: Id, number: u32 },
    Probe,
    Cancel { invocation: Id, number: u32 },
}

impl Task {
    /// Whether an answer to it can be of this kind.
    fn can_be_answered_with(&self, kind: AnswerKind) -> bool {
        match self {
            Task::Forward { .. } => kind != AnswerKind::Success,
            Task::Probe => kind != AnswerKind::Acceptance,
            Task::Cancel { .. } => true,
        }
    }
}

/// Which connections a task may be sent on, besides those without an earlier answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Reuse {
    /// Any idle one: the answers to the task are told from those to others, or do no harm.
    Idle,
    /// One on which no answer to an earlier task is expected any more.
    Settled,
    /// One on which no late repeat of an answer "not run" is expected either: the job must not run twice.
    NotRefused,
}

/// The outcome of a request to a runner. `number` counts the forwards of an invocation.
#[derive(Clone, Debug, PartialEq)]
pub enum RunnerEvent {
    /// A forward has ended without being accepted.
    Ended { invocation: Id, number: u32, result: ForwardResult, report: Vec<f64> },
    /// A forward was not sent, as its client had left by then.
    ClientLeft { invocation: Id, number: u32 },
    /// The runner has rejected a forward as malformed (status 4xx) and has not run it.
    Unusable { invocation: Id, number: u32 },
    /// A forward does not run any longer: it was never sent, its runner has confirmed the cancel, or the
    /// process of the runner is gone.
    Cancelled { invocation: Id, number: u32 },
    /// A cancel was not confirmed: the forward may still run.
    NotCancelled { invocation: Id, number: u32 },
    /// The runner had accepted a forward, or another answer was taken for that: now it may not run after all.
    Doubtful { invocation: Id, number: u32 },
    /// A probe has ended; `report` holds the values of the load report, if there are any.
    Probed { runner: Id, alive: bool, report: Vec<f64> },
}

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// The connection is not yet established.
    Dialling,
    /// Established, without a task.
    Idle,
    /// Its task has been sent and awaits the answer.
    Busy,
}

/// The client that waits for a forward, and until when. The time left is stated to the runner in a header,
/// inserted at `header_at` of the message when the forward is sent and not when it was decided on.
#[derive(Clone, Copy)]
struct ClientWait {
    client: ConnectionId,
    expires_at: Micros,
    header_at: usize,
}

/// A task that is not yet sent, with its message and the time by which it must be answered.
struct PendingTask {
    task: Task,
    message: Vec<u8>,
    deadline: Micros,
    client_wait: Option<ClientWait>,
    reuse: Reuse,
}

impl PendingTask {
    /// A task of the dispatcher's own.
    fn without_client(task: Task, message: Vec<u8>, deadline: Micros) -> PendingTask {
        let reuse = if task == Task::Probe { Reuse::Idle } else { Reuse::Settled };
        PendingTask { task, message, deadline, client_wait: None, reuse }
    }
}

/// The state of one connection.
struct RunnerConnection {
    runner_id: Id,
    phase: Phase,
    /// When it entered this phase; while busy, when its task was sent.
    since: Micros,
    task: Option<Task>,
    /// The answers that have arrived.
    answers: AnswerHistory,
    /// The last forward that its runner has accepted on it, if nothing else was sent since.
    accepted: Option<(Id, u32)>,
    /// The message of a task that waits for the dial, and the time by which it must be sent.
    message: Vec<u8>,
    send_by: Micros,
    client_wait: Option<ClientWait>,
    reuse: Reuse,
    /// By when its task must be answered.
    deadline: Micros,
    /// The task has been reported as unanswered; the answer may still arrive.
    is_overdue: bool,
    /// Its timer, while one is set.
    timer: Option<TimerKey>,
}

impl RunnerConnection {
    /// Takes the task that waits for the dial, if it may still be sent at `now`.
    fn take_pending(&mut self, now: Micros) -> Option<PendingTask> {
        let task = self.task.take_if(|_| self.phase == Phase::Dialling && now < self.send_by)?;
        Some(PendingTask {
            task,
            message: std::mem::take(&mut self.message),
            deadline: self.deadline,
            client_wait: self.client_wait,
            reuse: self.reuse,
        })
    }

    /// The strictest requirement that it meets.
    fn strictest_reuse(&self, now: Micros) -> Reuse {
        if self.answers.unsettled_until(now).is_some() {
            Reuse::Idle
        } else if self.answers.may_repeat_refusal(now) {
            Reuse::Settled
        } else {
            Reuse::NotRefused
        }
    }
}

/// A runner's address and its pool of connections.
struct Runner {
    address: SocketAddr,
    /// When it left the roster; none while it is listed.
    unlisted_since: Option<Micros>,
    connections: Vec<ConnectionId>,
    /// Idle connections, the most recently used last.
    idle: Vec<ConnectionId>,
    slowest_answer: SlowestAnswer,
}

/// The connections to all runners.
#[derive(Default)]
pub struct Runners {
    by_id: BTreeMap<Id, Runner>,
    connections: BTreeMap<ConnectionId, RunnerConnection>,
    /// Names of the values that the settings read from load reports.
    report_fields: Vec<String>,
    dial_timeout: Micros,
    probe_timeout: Micros,
    idle_timeout: Micros,
    /// Whether the settings allow cancels.
    may_cancel: bool,
    /// Forwards written completely, for the metrics.
    forwards_written: u64,
    /// Answers to no request, for the metrics.
    surplus_answers: u64,
    /// Events that the owner has not processed yet.
    pub events: Vec<RunnerEvent>,
}

impl Runners {
    /// Starts without runners.
    pub fn new(decoded: &DecodedSettings) -> Runners {
        let mut runners = Runners::default();
        runners.apply_settings(decoded);
        runners
    }

    /// Applies new settings.
    pub fn apply_settings(&mut self, decoded: &DecodedSettings) {
        self.report_fields = decoded.report_fields.clone();
        self.dial_timeout = decoded.dial_timeout;
        // Runners answer probes without queueing them, so an answer that takes as long as a dial may take
        // says no more than a missing one.
        self.probe_timeout = decoded.dial_timeout / 2;
        // Well before the runner closes it, or a request could cross its close.
        self.idle_timeout = decoded.idle_timeout / 2;
        self.may_cancel = decoded.settings.may_cancel;
    }

    /// Notes from the roster whether a runner is listed, and its address.
    pub fn update_runner(
        &mut self,
        runner_id: &Id,
        listed: bool,
        address: Option<SocketAddr>,
        driver: &mut dyn ConnectionDriver,
    ) {
        if let Some(runner) = self.by_id.get_mut(runner_id) {
            let moved = address.is_some_and(|address| address != runner.address);
            let since = runner.unlisted_since.unwrap_or(driver.now());
            runner.unlisted_since = Some(since).filter(|_| !listed);
            runner.address = address.unwrap_or(runner.address);
            if moved || !listed {
                self.stop_sending(runner_id, driver);
            }
        } else if let Some(address) = address.filter(|_| listed) {
            let (connections, idle) = (Vec::new(), Vec::new());
            let slowest_answer = SlowestAnswer::default();
            let runner = Runner { address, unlisted_since: None, connections, idle, slowest_answer };
            self.by_id.insert(runner_id.clone(), runner);
        }
    }

    /// The address of a runner that is known.
    pub fn address(&self, runner_id: &Id) -> Option<SocketAddr> {
        self.by_id.get(runner_id).map(|runner| runner.address)
    }

    /// Marks all runners as unlisted, before a whole roster is noted.
    pub fn mark_all_unlisted(&mut self, now: Micros) {
        self.by_id
            .values_mut()
            .for_each(|runner| runner.unlisted_since = runner.unlisted_since.or(Some(now)));
    }

    /// Closes idle connections to unlisted runners, and forgets those runners once no work of theirs can
    /// remain.
    pub fn remove_long_unlisted(&mut self, driver: &mut dyn ConnectionDriver) {
        let unlisted = self.by_id.iter().filter(|(_, runner)| runner.unlisted_since.is_some());
        let unlisted: Vec<Id> = unlisted.map(|(id, _)| id.clone()).collect();
        unlisted.iter().for_each(|runner_id| self.stop_sending(runner_id, driver));
        let long_unlisted = |since: Micros| driver.now() - since > UNLISTED_RETENTION;
        self.by_id.retain(|_, runner| {
            !runner.unlisted_since.is_some_and(long_unlisted) || !runner.connections.is_empty()
        });
    }

    /// Closes the connection that has been idle longest. Returns whether there was one.
    pub fn make_room(&mut self, driver: &mut dyn ConnectionDriver) -> bool {
        let idle = self.by_id.values().flat_map(|runner| &runner.idle);
        let oldest =
            idle.min_by_key(|connection| self.connections.get(connection).map(|state| state.since)).copied();
        oldest.inspect(|connection| self.close(*connection, CloseReason::MadeRoom, driver)).is_some()
    }

    /// Closes the idle connections to a runner.
    pub fn close_idle(&mut self, runner_id: &Id, end: CloseReason, driver: &mut dyn ConnectionDriver) {
        let idle = self.by_id.get_mut(runner_id).map(|runner| std::mem::take(&mut runner.idle));
        for connection in idle.unwrap_or_default() {
            self.close(connection, end, driver);
        }
    }

    /// Stops sending new work to a runner: drops the forwards that wait for a connection, and closes idle
    /// connections, which would only break when the runner is restarted.
    pub fn stop_sending(&mut self, runner_id: &Id, driver: &mut dyn ConnectionDriver) {
        self.close_idle(runner_id, CloseReason::Unlisted, driver);
        self.drop_pending(runner_id, driver);
    }

    /// Drops the forwards that wait for a connection to a runner. If the runner drains or is gone, they would
    /// otherwise reach it whenever the dial completes, long after the grace period.
    pub fn drop_pending(&mut self, runner_id: &Id, driver: &mut dyn ConnectionDriver) {
        let connections =
            self.by_id.get(runner_id).map(|runner| runner.connections.clone()).unwrap_or_default();
        for connection in connections {
            let is_forward = |state: &&mut RunnerConnection| matches!(state.task, Some(Task::Forward { .. }));
            let pending = self.connections.get_mut(&connection).filter(is_forward);
            let pending = pending.and_then(|state| state.take_pending(Micros::MIN));
            if let Some(pending) = pending {
                self.close(connection, CloseReason::Unlisted, driver);
                self.report_unanswered(runner_id, pending.task, ForwardResult::Void, false);
            }
        }
    }

    /// [`Runners::drop_pending`] for all runners.
    pub fn drop_all_pending(&mut self, driver: &mut dyn ConnectionDriver) {
        let all: Vec<Id> = self.by_id.keys().cloned().collect();
        all.iter().for_each(|runner_id| self.drop_pending(runner_id, driver));
    }

    /// Sends a forward with the client's `head` and `body`, of an operation with this `effect`. Its client
    /// gives up at `expires_at`; a forward that still waits for its dial at `send_by` is not sent, as runners
    /// remember an earlier forward of the invocation only for a limited time.
    pub fn forward(
        &mut self,
        runner_id: &Id,
        (invocation, number): (&Id, u32),
        (head, body, effect): (&[u8], &[u8], Effect),
        (expires_at, send_by): (Micros, Option<Micros>),
        client: ConnectionId,
        driver: &mut dyn ConnectionDriver,
    ) {
        let mut message = head.to_vec();
        message.extend_from_slice(format!("Content-Length: {}\r\n\r\n", body.len()).as_bytes());
        message.extend_from_slice(body);
        let task = Task::Forward { invocation: invocation.clone(), number };
        let client_wait = Some(ClientWait { client, expires_at, header_at: head.len() });
        let deadline = expires_at + LATE_ANSWER_TIMEOUT;
        let reuse = if effect == Effect::Idempotent { Reuse::Settled } else { Reuse::NotRefused };
        self.submit(runner_id, PendingTask { task, message, deadline, client_wait, reuse }, driver);
        let connection = self.connection_of(runner_id, invocation, number).filter(|_| send_by.is_some());
        if let Some((send_by, connection)) = send_by.zip(connection)
            && let Some(state) = self.connections.get_mut(&connection)
        {
            state.send_by = send_by;
            self.set_next_check(connection, driver);
        }
    }

    fn probe_message(&self, runner_id: &Id) -> Vec<u8> {
        let target = if self.report_fields.is_empty() { "/healthz" } else { "/load" };
        self.by_id
            .get(runner_id)
            .map(|runner| encode_bodiless_request("GET", target, runner.address))
            .unwrap_or_default()
    }

    /// Sends a probe, which asks for the load report if the settings name its fields.
    pub fn probe(&mut self, runner_id: &Id, driver: &mut dyn ConnectionDriver) {
        let message = self.probe_message(runner_id);
        let deadline = driver.now() + self.probe_timeout;
        self.submit(runner_id, PendingTask::without_client(Task::Probe, message, deadline), driver);
    }

    /// Withdraws a forward that is no longer wanted, if it has not been sent completely. Returns whether it
    /// has been withdrawn. That is not a cancel, and is done even where the settings do not allow cancels.
    pub fn withdraw_unsent(
        &mut self,
        runner_id: &Id,
        invocation: &Id,
        number: u32,
        driver: &mut dyn ConnectionDriver,
    ) -> bool {
        let Some(connection) = self.connection_of(runner_id, invocation, number) else { return false };
        let Some(state) = self.connections.get_mut(&connection) else { return false };
        if state.phase == Phase::Dialling {
            state.task = None;
            state.message.clear();
        } else if driver.has_unsent(connection) {
            self.forwards_written -= 1;
            self.close(connection, CloseReason::GivenUp, driver);
        } else {
            return false;
        }
        self.events.push(RunnerEvent::Cancelled { invocation: invocation.clone(), number });
        true
    }

    /// Whether a forward has not been sent completely, so that its runner cannot have begun it.
    pub fn is_unsent(
        &self,
        runner_id: &Id,
        invocation: &Id,
        number: u32,
        driver: &dyn ConnectionDriver,
    ) -> bool {
        let Some(connection) = self.connection_of(runner_id, invocation, number) else { return false };
        let state = self.connections.get(&connection);
        state.is_some_and(|state| state.phase == Phase::Dialling) || driver.has_unsent(connection)
    }

    /// The connection on which a forward waits for its dial or its answer.
    fn connection_of(&self, runner_id: &Id, invocation: &Id, number: u32) -> Option<ConnectionId> {
        let forward = Task::Forward { invocation: invocation.clone(), number };
        let connections =
            self.by_id.get(runner_id).map(|runner| runner.connections.as_slice()).unwrap_or_default();
        let carries_forward = |connection: &&ConnectionId| {
            self.connections.get(connection).and_then(|state| state.task.as_ref()) == Some(&forward)
        };
        connections.iter().find(carries_forward).copied()
    }

    /// Cancels a forward. An unsent forward is withdrawn. Before its 202 its connection is closed, and the
    /// job is deleted all the same, as the 202 may be in transit. Until the runner confirms, the job may
    /// still run there, and another forward would be a second copy.
    pub fn cancel(&mut self, runner_id: &Id, inv: &Id, number: u32, driver: &mut dyn ConnectionDriver) {
        if self.withdraw_unsent(runner_id, inv, number, driver) {
            return;
        }
        if let Some(connection) = self.connection_of(runner_id, inv, number) {
            self.close(connection, CloseReason::GivenUp, driver);
        }
        // An unlisted runner may still run the job, and only be cut off from discovery.
        let Some(runner) = self.by_id.get(runner_id).filter(|_| self.may_cancel) else {
            return self.events.push(RunnerEvent::NotCancelled { invocation: inv.clone(), number });
        };
        let message = encode_bodiless_request("DELETE", &format!("/jobs/{inv}"), runner.address);
        let deadline = driver.now() + CANCEL_TIMEOUT;
        let task = Task::Cancel { invocation: inv.clone(), number };
        self.submit(runner_id, PendingTask::without_client(task, message, deadline), driver);
    }

    /// Sends a task on an idle connection, or on a new one if there is none that may carry it.
    fn submit(&mut self, runner_id: &Id, pending: PendingTask, driver: &mut dyn ConnectionDriver) {
        while let Some(connection) = self.take_available(runner_id, pending.reuse, driver.now()) {
            if driver.is_reusable(connection) {
                return self.send_task(connection, pending, driver);
            }
            self.close(connection, CloseReason::Stale, driver);
        }
        self.submit_on_new_connection(runner_id, pending, driver);
    }

    /// Takes the idle connection to a runner on which a task is sent, if there is one: the most recently used
    /// of those on which an answer is most certain to be the task's own.
    fn take_available(&mut self, runner_id: &Id, reuse: Reuse, now: Micros) -> Option<ConnectionId> {
        let runner = self.by_id.get_mut(runner_id)?;
        let strictest = |connection: &ConnectionId| {
            self.connections.get(connection).map_or(Reuse::Idle, |state| state.strictest_reuse(now))
        };
        let allowed =
            runner.idle.iter().enumerate().map(|(index, connection)| (strictest(connection), index));
        let (_, found) = allowed.filter(|(allowed, _)| *allowed >= reuse).max()?;
        Some(runner.idle.remove(found))
    }

    /// Sends a task on a new connection, even if others are idle.
    fn submit_on_new_connection(
        &mut self,
        runner_id: &Id,
        pending: PendingTask,
        driver: &mut dyn ConnectionDriver,
    ) {
        let PendingTask { task, message, deadline, client_wait, reuse } = pending;
        let Some(runner) = self.by_id.get_mut(runner_id) else {
            return self.report_unanswered(runner_id, task, ForwardResult::Void, false);
        };
        let connection = driver.dial(runner.address, ConnectionRole::Runner);
        runner.connections.push(connection);
        let since = driver.now();
        let (phase, task, runner_id) = (Phase::Dialling, Some(task), runner_id.clone());
        let (answers, accepted) = (AnswerHistory::default(), None);
        let (send_by, is_overdue, timer) = (Micros::MAX, false, None);
        let state = RunnerConnection {
            runner_id,
            phase,
            since,
            task,
            answers,
            accepted,
            message,
            send_by,
            client_wait,
            reuse,
            deadline,
            is_overdue,
            timer,
        };
        self.connections.insert(connection, state);
        self.set_next_check(connection, driver);
    }

    /// Writes a task's message to an established connection. Checks once more that the client has not left:
    /// at the end of a long loop turn, or when a dial completes before the client's close is read, the answer
    /// to the forward would have no recipient.
    fn send_task(
        &mut self,
        connection: ConnectionId,
        pending: PendingTask,
        driver: &mut dyn ConnectionDriver,
    ) {
        let PendingTask { task, mut message, deadline, client_wait, .. } = pending;
        if let Task::Forward { invocation, number } = &task
            && client_wait.is_some_and(|wait| driver.peer_has_closed(wait.client))
        {
            self.events.push(RunnerEvent::ClientLeft { invocation: invocation.clone(), number: *number });
            return self.release(connection, driver);
        }
        if let Some(ClientWait { expires_at, header_at, .. }) = client_wait {
            let left_ms = (expires_at - driver.clock()).max(0) / 1000;
            message.splice(header_at..header_at, format!("X-Deadline-Ms: {left_ms}\r\n").into_bytes());
        }
        let Some(state) = self.connections.get_mut(&connection) else { return };
        (state.phase, state.since, state.deadline, state.is_overdue) =
            (Phase::Busy, driver.now(), deadline, false);
        self.forwards_written += u64::from(matches!(task, Task::Forward { .. }));
        (state.task, state.accepted) = (Some(task), None);
        driver.send(connection, &message);
        self.set_next_check(connection, driver);
    }

    /// Keeps a connection idle that has become free, or uses it at once for a task that waits for a dial.
    /// Closes it if its runner is unlisted.
    fn release(&mut self, connection: ConnectionId, driver: &mut dyn ConnectionDriver) {
        let Some(state) = self.connections.get_mut(&connection) else { return };
        let Some(runner) = self.by_id.get_mut(&state.runner_id) else { return };
        (state.phase, state.since, state.task, state.deadline) =
            (Phase::Idle, driver.now(), None, Micros::MAX);
        runner.idle.push(connection);
        if let Some(pending) = self.take_pending_for(connection, driver) {
            return self.send_task(connection, pending, driver);
        }
        if self.is_unlisted(connection) {
            return self.close(connection, CloseReason::Unlisted, driver);
        }
        self.set_next_check(connection, driver);
    }

    /// Takes an idle connection, and a task that waits for a dial and that it may carry, if there is one.
    fn take_pending_for(
        &mut self,
        connection: ConnectionId,
        driver: &mut dyn ConnectionDriver,
    ) -> Option<PendingTask> {
        let now = driver.now();
        let state = self.connections.get(&connection).filter(|state| state.phase == Phase::Idle)?;
        // Bytes that have arrived since are read, and close it.
        if !driver.is_reusable(connection) {
            return None;
        }
        let allowed = state.strictest_reuse(now);
        let runner = self.by_id.get_mut(&state.runner_id)?;
        let mut take_pending = |other: &ConnectionId| {
            let waiting = self.connections.get_mut(other)?;
            if allowed >= waiting.reuse { waiting.take_pending(now) } else { None }
        };
        let pending = runner.connections.iter().find_map(&mut take_pending)?;
        runner.idle.retain(|idle| *idle != connection);
        Some(pending)
    }

    /// Whether the runner of a connection has left the roster.
    fn is_unlisted(&self, connection: ConnectionId) -> bool {
        let runner = self.connections.get(&connection).and_then(|state| self.by_id.get(&state.runner_id));
        runner.is_some_and(|runner| runner.unlisted_since.is_some())
    }

    fn remove_connection(
        &mut self,
        connection: ConnectionId,
        driver: &mut dyn ConnectionDriver,
    ) -> Option<RunnerConnection> {
        let state = self.connections.remove(&connection)?;
        if let Some(timer) = state.timer {
            driver.cancel_timer(timer);
        }
        if let Some(runner) = self.by_id.get_mut(&state.runner_id) {
            runner.connections.retain(|known| *known != connection);
            runner.idle.retain(|known| *known != connection);
        }
        Some(state)
    }

    fn close(&mut self, connection: ConnectionId, end: CloseReason, driver: &mut dyn ConnectionDriver) {
        self.remove_connection(connection, driver);
        driver.abort(connection, end);
    }

    /// Reports a task that has ended without an answer.
    fn report_unanswered(&mut self, runner_id: &Id, task: Task, result: ForwardResult, refused: bool) {
        let unlisted = self.by_id.get(runner_id).is_none_or(|runner| runner.unlisted_since.is_some());
        self.events.push(match task {
            Task::Forward { invocation, number } => {
                RunnerEvent::Ended { invocation, number, result, report: Vec::new() }
            }
            // Unlisted, and nothing listens: the process is gone, and the job with it. A refused connection
            // alone may also mean that all connections of the runner are in use.
            Task::Cancel { invocation, number } if refused && unlisted => {
                RunnerEvent::Cancelled { invocation, number }
            }
            Task::Cancel { invocation, number } => RunnerEvent::NotCancelled { invocation, number },
            Task::Probe => {
                RunnerEvent::Probed { runner: runner_id.clone(), alive: false, report: Vec::new() }
            }
        });
    }

    /// The values of a load report, in the order of the settings; empty if one is missing.
    pub fn read_report(&self, load: &Value) -> Vec<f64> {
        read_report(&self.report_fields, load)
    }

    /// The number of forwards written completely since the start.
    pub fn forwards_written(&self) -> u64 {
        self.forwards_written
    }

    /// The number of answers since the start that belonged to no request.
    pub fn surplus_answers(&self) -> u64 {
        self.surplus_answers
    }

    /// The number of connections to runners.
    pub fn open_connections(&self) -> usize {
        self.connections.len()
    }

    /// Whether a cancel is still unanswered and not overdue.
    pub fn has_pending_cancels(&self) -> bool {
        self.connections
            .values()
            .any(|state| matches!(state.task, Some(Task::Cancel { .. })) && !state.is_overdue)
    }
}

/// The values of a load report in the order of the settings; empty if one is missing or not a number. The
/// settings and the wire format have different names for the same value.
fn read_report(fields: &[String], load: &Value) -> Vec<f64> {
    const ALIASES: [(&str, &str); 6] = [
        ("outstanding", "inflight"),
        ("backlog", "queue"),
        ("utilization", "util"),
        ("recent_ms", "latency_ms"),
        ("throughput", "qps"),
        ("errors_per_s", "eps"),
    ];
    let value = |name: &String| {
        let alias = ALIASES.iter().find(|(known, _)| known == name).and_then(|(_, alias)| load.get(alias));
        load.get(name).or(alias)?.as_f64().filter(|value| value.is_finite())
    };
    fields.iter().map(value).collect::<Option<Vec<f64>>>().unwrap_or_default()
}

impl ConnectionHandler for Runners {
    fn connected(&mut self, connection: ConnectionId, driver: &mut dyn ConnectionDriver) {
        self.expire_pending(connection, driver);
        let Some(state) = self.connections.get_mut(&connection) else { return };
        match state.take_pending(driver.now()) {
            Some(pending) => self.send_task(connection, pending, driver),
            None => self.release(connection, driver),
        }
    }

    fn received(&mut self, connection: ConnectionId, input: &mut Vec<u8>, driver: &mut dyn ConnectionDriver) {
        let Some(state) = self.connections.get(&connection) else { return };
        if state.phase != Phase::Busy {
            return self.close_with_surplus(connection, input, driver);
        }
        self.discard_anothers(connection, input);
        match http::parse_response(input, false) {
            Ok(None) if input.len() < MAX_MESSAGE_BYTES => {}
            Ok(Some((answer, used))) => {
                let is_expected = self.accept_answer(connection, &answer, driver.now());
                let keep_alive = answer.keep_alive;
                drop(input.drain(..used));
                if !input.is_empty() {
                    self.close_with_surplus(connection, input, driver);
                } else if !is_expected {
                    self.close(connection, CloseReason::BadAnswer, driver);
                } else if keep_alive {
                    self.release(connection, driver);
                } else {
                    self.close(connection, CloseReason::AnsweredLast, driver);
                }
            }
            malformed => {
                let reason = malformed.err().map_or("too_long", |error| error.1);
                self.reject_answer(connection, reason, driver);
            }
        }
    }

    fn closed(
        &mut self,
        connection: ConnectionId,
        reason: CloseReason,
        unsent: bool,
        input: &[u8],
        driver: &mut dyn ConnectionDriver,
    ) {
        let Some(state) = self.remove_connection(connection, driver) else { return };
        let Some(task) = state.task.filter(|_| !state.is_overdue) else { return };
        // If a kept connection breaks at its next request, that says nothing about the runner, so a probe is
        // sent again. Anything else that is sent again might be a second copy.
        if state.answers.has_answers() && input.is_empty() && task == Task::Probe {
            let message = self.probe_message(&state.runner_id);
            return self.submit_on_new_connection(
                &state.runner_id,
                PendingTask::without_client(task, message, state.deadline),
                driver,
            );
        }
        if state.phase == Phase::Dialling || unsent {
            // It was counted when writing began.
            let was_counted = state.phase == Phase::Busy && matches!(task, Task::Forward { .. });
            self.forwards_written -= u64::from(was_counted);
            return self.report_unanswered(
                &state.runner_id,
                task,
                ForwardResult::Unreachable,
                reason == CloseReason::Refused,
            );
        }
        match (http::parse_response(input, true), task) {
            (Ok(Some((answer, _))), task) => self.report_answer(&state.runner_id, task, &answer),
            // The runner does not notice the lost path and may still run the job: another forward would be a
            // second copy.
            (_, Task::Forward { invocation, number })
                if reason == CloseReason::PathLost && self.may_cancel =>
            {
                self.cancel(&state.runner_id, &invocation, number, driver);
            }
            (_, task) => self.report_unanswered(&state.runner_id, task, ForwardResult::Broken, false),
        }
    }

    fn timer_fired(&mut self, connection: ConnectionId, driver: &mut dyn ConnectionDriver) {
        self.check_timeouts(connection, driver);
    }

    fn release_buffers(&mut self, connection: ConnectionId, driver: &mut dyn ConnectionDriver) {
        let is_unsent_forward = |state: &&RunnerConnection| {
            matches!(state.task, Some(Task::Forward { .. })) && driver.has_unsent(connection)
        };
        if self.connections.get(&connection).filter(is_unsent_forward).is_some() {
            return self.abort_forward(connection, CloseReason::MemoryShort, driver);
        }
        self.reject_answer(connection, "memory_short", driver);
    }
}
