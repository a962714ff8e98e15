//! The time limits of connections to runners: dials, writes, answers and idle connections.

use topazsail::{ForwardResult, Micros};

use super::{LATE_ANSWER_TIMEOUT, Phase, RunnerConnection, Runners, Task};
use crate::net::connection::{CloseReason, ConnectionDriver, ConnectionId, Timer};

/// Time to write a forward from its first byte to its last. The time left that a forward states to its runner
/// is allowed to exceed the actual one by 0.15 s, and this timeout is well within that.
const SEND_TIMEOUT: Micros = 100_000;

impl RunnerConnection {
    /// When it has to be looked at next, if its forward has been written.
    fn next_check(&self, now: Micros, dial_timeout: Micros, idle_timeout: Micros) -> Micros {
        match self.phase {
            Phase::Dialling => self.send_by.min(self.since + dial_timeout),
            Phase::Idle => self.answers.unsettled_until(now).unwrap_or(self.since + idle_timeout),
            Phase::Busy => self.deadline,
        }
    }
}

impl Runners {
    /// Checks all time limits of a connection whose timer has fired.
    pub(super) fn check_timeouts(&mut self, connection: ConnectionId, driver: &mut dyn ConnectionDriver) {
        let Some(state) = self.connections.get_mut(&connection) else { return };
        state.timer = None;
        self.expire_pending(connection, driver);
        self.abort_unsent_forward(connection, driver);
        self.end_overdue_phase(connection, driver);
        if let Some(pending) = self.take_pending_for(connection, driver) {
            return self.send_task(connection, pending, driver);
        }
        self.set_next_check(connection, driver);
    }

    /// Sets the timer for the next check of a connection, in place of the previous one.
    pub(super) fn set_next_check(&mut self, connection: ConnectionId, driver: &mut dyn ConnectionDriver) {
        let Some(state) = self.connections.get_mut(&connection) else { return };
        let mut at = state.next_check(driver.now(), self.dial_timeout, self.idle_timeout);
        let is_forward = matches!(state.task, Some(Task::Forward { .. }));
        if is_forward && state.phase == Phase::Busy && driver.has_unsent(connection) {
            at = at.min(state.since + SEND_TIMEOUT);
        }
        if state.timer.is_some_and(|timer| timer.at == at) {
            return;
        }
        let timer = driver.set_cancellable_timer(Timer::Connection(connection), at);
        if let Some(previous) = state.timer.replace(timer) {
            driver.cancel_timer(previous);
        }
    }

    /// Drops a task that still waits for its dial after its `send_by`.
    pub(super) fn expire_pending(&mut self, connection: ConnectionId, driver: &mut dyn ConnectionDriver) {
        let has_expired =
            |state: &&mut RunnerConnection| state.phase == Phase::Dialling && driver.now() >= state.send_by;
        let Some(state) = self.connections.get_mut(&connection).filter(has_expired) else { return };
        state.send_by = Micros::MAX;
        if let Some(pending) = state.take_pending(Micros::MIN) {
            let runner_id = state.runner_id.clone();
            self.report_unanswered(&runner_id, pending.task, ForwardResult::Void, false);
        }
    }

    /// Aborts a forward that is not written completely in time: the time left that it states would no longer
    /// be true. Without its last byte it does not run.
    fn abort_unsent_forward(&mut self, connection: ConnectionId, driver: &mut dyn ConnectionDriver) {
        let is_too_slow = |state: &RunnerConnection| {
            let is_forward = matches!(state.task, Some(Task::Forward { .. }));
            is_forward && state.phase == Phase::Busy && driver.now() >= state.since + SEND_TIMEOUT
        };
        if !self.connections.get(&connection).is_some_and(is_too_slow) || !driver.has_unsent(connection) {
            return;
        }
        self.abort_forward(connection, CloseReason::SlowReader, driver);
    }

    /// Aborts a forward that is not written completely, and so does not run.
    pub(super) fn abort_forward(
        &mut self,
        connection: ConnectionId,
        end: CloseReason,
        driver: &mut dyn ConnectionDriver,
    ) {
        let Some(RunnerConnection { runner_id, task: Some(task), .. }) =
            self.remove_connection(connection, driver)
        else {
            return;
        };
        driver.abort(connection, end);
        self.forwards_written -= 1;
        self.report_unanswered(&runner_id, task, ForwardResult::Unreachable, false);
    }

    /// Ends the dial, the task or the idle time of a connection that has lasted too long.
    fn end_overdue_phase(&mut self, connection: ConnectionId, driver: &mut dyn ConnectionDriver) {
        let now = driver.now();
        let Some(state) = self.connections.get_mut(&connection) else { return };
        match state.phase {
            Phase::Dialling if now >= state.since + self.dial_timeout => {
                let (runner_id, task) = (state.runner_id.clone(), state.task.take());
                // A dial that the host never started says nothing about the runner.
                let result = if driver.is_dial_postponed(connection) {
                    ForwardResult::Void
                } else {
                    ForwardResult::Unreachable
                };
                self.close(connection, CloseReason::DialTimeout, driver);
                if let Some(task) = task {
                    self.report_unanswered(&runner_id, task, result, false);
                }
            }
            Phase::Idle if now >= state.since + self.idle_timeout => {
                self.close(connection, CloseReason::Idle, driver);
            }
            Phase::Busy if now >= state.deadline => {
                // An overdue forward is not reported: its client gave up long before this deadline.
                let is_reported = |task: &Task| !state.is_overdue && !matches!(task, Task::Forward { .. });
                let Some(task) = state.task.clone().filter(is_reported) else {
                    return self.close(connection, CloseReason::NoAnswer, driver);
                };
                state.is_overdue = true;
                state.deadline = now + LATE_ANSWER_TIMEOUT;
                let runner_id = state.runner_id.clone();
                self.report_unanswered(&runner_id, task, ForwardResult::Broken, false);
            }
            _ => {}
        }
    }
}
