//! Which requests a connection may carry without an answer being attributed to the wrong one.
//!
//! Answers name no request: they are attributed by their order on the connection. A faulty runner may send a
//! second answer to a request some time after the first. If it arrives while the connection carries the next
//! request, it is taken for that request's answer, and from then on each answer for that of the request
//! after it. After an answer that the next request could have as well, a connection is therefore reused only
//! once a second answer, or the true one that it preceded, would have arrived. One that arrives on an idle
//! connection shows the fault and closes it; one that the request cannot have is discarded.

use topazsail::Micros;

/// A second answer follows the first within this time, in microseconds like all times here.
const SECOND_ANSWER_WINDOW: Micros = 10_000;
/// A second answer that says "not run" is expected for this long by requests that must not be misread so.
const REPEATED_REFUSAL_WINDOW: Micros = 100_000;
/// Upper bound of the time that a true answer is waited for after one that may have been a second answer.
const MAX_TRUE_ANSWER_WAIT: Micros = 250_000;
/// By this fraction of itself the slowest answer time decreases with each answer.
const DECAY_DIVISOR: Micros = 8;

/// How long a runner's slowest answers of late have taken.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct SlowestAnswer(Micros);

impl SlowestAnswer {
    /// Notes how long an answer has taken.
    pub(super) fn record(&mut self, took: Micros) {
        self.0 = took.max(self.0 - self.0 / DECAY_DIVISOR);
    }

    /// How long after a request its true answer may be expected: half as long again as the slowest ones.
    fn true_answer_wait(self) -> Micros {
        (self.0 + self.0 / 2).min(MAX_TRUE_ANSWER_WAIT)
    }
}

/// The answers on one connection, as far as they matter for its next request.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct AnswerHistory {
    /// From when on no further answer is expected that a forward could have.
    settled_at: Option<Micros>,
    /// When an answer last said that its job has not run.
    refused_at: Option<Micros>,
    /// The kinds of the answers so far.
    has_acceptance: bool,
    has_success: bool,
}

/// What an answer says, as far as it tells requests apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AnswerKind {
    /// A job was taken: only forwards are answered so.
    Acceptance,
    /// Any other success: forwards are not answered so.
    Success,
    /// The job has not run.
    Refusal,
    /// Any other answer.
    Failure,
}

impl AnswerHistory {
    /// Notes an answer at `now` to a request that was sent at `sent_at`; `slowest` leaves it out.
    pub(super) fn record(&mut self, kind: AnswerKind, sent_at: Micros, now: Micros, slowest: SlowestAnswer) {
        self.has_acceptance |= kind == AnswerKind::Acceptance;
        self.has_success |= kind == AnswerKind::Success;
        if kind == AnswerKind::Refusal {
            self.refused_at = Some(now);
        }
        if kind != AnswerKind::Success {
            self.settled_at = Some((now + SECOND_ANSWER_WINDOW).max(sent_at + slowest.true_answer_wait()));
        }
    }

    /// Whether the connection has carried an answer.
    pub(super) fn has_answers(&self) -> bool {
        self.settled_at.is_some() || self.has_success
    }

    /// Whether an answer of this kind may be a second answer, however late it is.
    pub(super) fn has_kind(&self, kind: AnswerKind) -> bool {
        match kind {
            AnswerKind::Acceptance => self.has_acceptance,
            AnswerKind::Success => self.has_success,
            AnswerKind::Refusal => self.refused_at.is_some(),
            AnswerKind::Failure => true,
        }
    }

    /// From when on the connection may carry a forward; none if it already may.
    pub(super) fn unsettled_until(&self, now: Micros) -> Option<Micros> {
        self.settled_at.filter(|settled_at| now < *settled_at)
    }

    /// Whether an answer that says "not run" may be a second answer to an earlier request.
    pub(super) fn may_repeat_refusal(&self, now: Micros) -> bool {
        self.refused_at.is_some_and(|at| now < at + REPEATED_REFUSAL_WINDOW)
    }
}
