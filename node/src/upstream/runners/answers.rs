//! Answers of runners: which task of its connection an answer belongs to, and what follows from it.

use serde_json::Value;
use topazsail::{ForwardResult, Id, Micros};

use super::answer_history::AnswerKind;
use super::{RunnerConnection, RunnerEvent, Runners, STATUS_ACCEPTED, Task, read_report};
use crate::net::connection::{CloseReason, ConnectionDriver, ConnectionId};
use crate::net::http::{self, Response};
use crate::net::log::log;

/// What an answer says.
fn answer_kind(answer: &Response) -> AnswerKind {
    match answer.status {
        STATUS_ACCEPTED => AnswerKind::Acceptance,
        200..=299 => AnswerKind::Success,
        503 | 504 if answer.header("x-not-run") == Some("1") => AnswerKind::Refusal,
        _ => AnswerKind::Failure,
    }
}

impl Runners {
    /// Reports a task that has been answered. A forward that its runner has accepted goes on; call-backs
    /// report its end.
    pub(super) fn report_answer(&mut self, runner_id: &Id, task: Task, answer: &Response) {
        self.events.push(match task {
            Task::Forward { .. } if answer_kind(answer) == AnswerKind::Acceptance => return,
            Task::Cancel { invocation, number } => match answer.status {
                200..=299 | 404 | 410 => RunnerEvent::Cancelled { invocation, number },
                _ => RunnerEvent::NotCancelled { invocation, number },
            },
            Task::Probe => {
                let report = serde_json::from_slice(&answer.body).unwrap_or(Value::Null);
                RunnerEvent::Probed {
                    runner: runner_id.clone(),
                    alive: answer.status == 200,
                    report: read_report(&self.report_fields, &report),
                }
            }
            Task::Forward { invocation, number } if matches!(answer.status, 400..=428 | 430..=499) => {
                log!("forward-unusable", "inv={invocation} runner={runner_id} status={}", answer.status);
                RunnerEvent::Unusable { invocation, number }
            }
            Task::Forward { invocation, number } => {
                let load = answer.header("x-load").and_then(|text| serde_json::from_str(text).ok());
                let report = load.map(|load| read_report(&self.report_fields, &load)).unwrap_or_default();
                let result = if answer_kind(answer) == AnswerKind::Refusal {
                    ForwardResult::Overloaded
                } else {
                    let status = answer.status;
                    log!("forward-errored", "inv={invocation} runner={runner_id} status={status}");
                    ForwardResult::Errored
                };
                RunnerEvent::Ended { invocation, number, result, report }
            }
        });
    }

    /// Discards second answers to earlier tasks that the current one cannot be answered with.
    pub(super) fn discard_anothers(&mut self, connection: ConnectionId, input: &mut Vec<u8>) {
        let Some(state) = self.connections.get(&connection) else { return };
        let (task, answers) = (state.task.clone(), state.answers);
        let mut discarded = 0;
        while let Ok(Some((answer, used))) = http::parse_response(&input[discarded..], false)
            && let kind = answer_kind(&answer)
            && task.as_ref().is_some_and(|task| !task.can_be_answered_with(kind))
            && answers.has_kind(kind)
        {
            self.count_surplus(connection, answer.status);
            discarded += used;
        }
        drop(input.drain(..discarded));
    }

    /// Counts and logs an answer that belongs to no request.
    fn count_surplus(&mut self, connection: ConnectionId, status: u16) {
        self.surplus_answers += 1;
        let runner_id = self.connections.get(&connection).map(|state| state.runner_id.to_string());
        log!("surplus-answer", "link={connection} runner={} status={status}", runner_id.unwrap_or_default());
    }

    /// Attributes an answer to the task of its connection. Returns whether the task can be answered so.
    pub(super) fn accept_answer(&mut self, connection: ConnectionId, answer: &Response, now: Micros) -> bool {
        let Some(state) = self.connections.get_mut(&connection) else { return false };
        let Some(task) = state.task.take() else { return false };
        let kind = answer_kind(answer);
        if let Some(runner) = self.by_id.get_mut(&state.runner_id) {
            state.answers.record(kind, state.since, now, runner.slowest_answer);
            runner.slowest_answer.record(now - state.since);
        }
        if let Task::Forward { invocation, number } = &task
            && kind == AnswerKind::Acceptance
        {
            state.accepted = Some((invocation.clone(), *number));
        }
        let is_expected = task.can_be_answered_with(kind);
        // A late answer to a probe is outdated, but the confirmation that a job is deleted still holds.
        if !state.is_overdue || matches!(task, Task::Cancel { .. }) {
            let runner_id = state.runner_id.clone();
            self.report_answer(&runner_id, task, answer);
        }
        is_expected
    }

    /// Closes a connection on which a runner has sent something that answers no request. The answer before
    /// may not have been the one to the last request then: if that was an acceptance and this says that the
    /// job has not run, it may be this one that is true.
    pub(super) fn close_with_surplus(
        &mut self,
        connection: ConnectionId,
        input: &[u8],
        driver: &mut dyn ConnectionDriver,
    ) {
        let Some(state) = self.connections.get(&connection) else { return };
        let accepted = state.accepted.clone();
        let answer = http::parse_response(input, true).ok().flatten();
        let status = answer.as_ref().map_or(0, |(answer, _)| answer.status);
        self.count_surplus(connection, status);
        if let Some((invocation, number)) = accepted
            && answer.is_some_and(|(answer, _)| answer_kind(&answer) == AnswerKind::Refusal)
        {
            self.events.push(RunnerEvent::Doubtful { invocation, number });
        }
        self.close(connection, CloseReason::Stale, driver);
    }

    /// Closes a connection whose input is not an answer to its task. The task may have run, so a forward
    /// counts as broken.
    pub(super) fn reject_answer(
        &mut self,
        connection: ConnectionId,
        reason: &str,
        driver: &mut dyn ConnectionDriver,
    ) {
        let Some(RunnerConnection { runner_id, task, is_overdue, .. }) =
            self.remove_connection(connection, driver)
        else {
            return;
        };
        log!("bad-answer", "link={connection} runner={runner_id} reason={reason}");
        driver.abort(connection, CloseReason::BadAnswer);
        if let Some(task) = task.filter(|_| !is_overdue) {
            self.report_unanswered(&runner_id, task, ForwardResult::Broken, false);
        }
    }
}
