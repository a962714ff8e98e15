//! Which forward a runner's call-back is about, and what follows from it.
//!
//! A call-back names its invocation and runner, but not the forward, and a runner repeats it with the same
//! bytes until it has received an answer. Once an invocation has been sent to the same runner again, a final
//! call-back may therefore report the end of an earlier forward. Only a call-back that can be about no other
//! forward ends the newest one; if it may be about either, the routing policy is told so.

use topazsail::{Event, ForwardResult, Id};

use super::{Forward, RequestTable, STATUS_OK};
use crate::ingress::clients::{CallbackSource, JobState, ReceivedCallback};
use crate::lifecycle::handover::HandoverMessage;
use crate::net::connection::ConnectionDriver;
use crate::net::log::log;

/// The forward that a call-back is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Attribution {
    /// The newest forward to the runner.
    Newest,
    /// A forward to the runner before the newest one.
    Earlier,
    /// The newest forward or an earlier one.
    Unclear,
}

/// A final call-back that has arrived for an invocation.
struct FinalCallback {
    runner: Id,
    hash: u64,
    /// Where it arrived first; none if another process of this dispatcher received it.
    source: Option<CallbackSource>,
}

/// The most call-backs that are recorded for an invocation: one for each of its forwards, and some to spare.
const MAX_RECORDED: usize = 32;

/// The final call-backs that have arrived for an invocation, one for each runner and content.
#[derive(Default)]
pub(super) struct FinalCallbacks(Vec<FinalCallback>);

impl FinalCallbacks {
    /// The recorded call-back of this runner with this hash.
    fn find(&self, runner: &Id, hash: u64) -> Option<&FinalCallback> {
        self.0.iter().find(|known| known.runner == *runner && known.hash == hash)
    }

    /// Whether no more can be recorded, so that any call-back may be the repeat of one that is not recorded.
    fn is_full(&self) -> bool {
        self.0.len() >= MAX_RECORDED
    }

    /// Records a call-back unless it is known.
    fn record(&mut self, runner: &Id, hash: u64, source: Option<CallbackSource>) {
        if !self.is_full() && self.find(runner, hash).is_none() {
            self.0.push(FinalCallback { runner: runner.clone(), hash, source });
        }
    }

    /// Records a call-back that is known to be a new one, even if an earlier one had the same content.
    fn record_new(&mut self, runner: &Id, hash: u64, source: Option<CallbackSource>) {
        self.0.retain(|known| known.runner != *runner || known.hash != hash);
        self.record(runner, hash, source);
    }
}

impl Forward {
    /// Whether it has ended without a word from its runner, which may still make a final call-back for it.
    fn may_still_be_reported(&self) -> bool {
        let ended_silently = matches!(
            self.result,
            Some(ForwardResult::Broken | ForwardResult::Withdrawn | ForwardResult::TimedOut)
        );
        ended_silently && !self.is_reported
    }

    /// Whether its job has certainly never started.
    fn never_started(&self) -> bool {
        matches!(
            self.result,
            Some(ForwardResult::Overloaded | ForwardResult::Unreachable | ForwardResult::Void)
        )
    }
}

/// The forward that a final call-back is about, given the forwards to its runner, oldest first, of which the
/// last has been sent and is outstanding. `may_be_repeat` says that an identical call-back has arrived whose
/// answer the runner may have missed.
fn attribute(state: JobState, may_be_repeat: bool, forwards: &[&Forward]) -> Attribution {
    let Some((newest, earlier)) = forwards.split_last() else { return Attribution::Earlier };
    if !may_be_repeat && !earlier.iter().any(|forward| forward.may_still_be_reported()) {
        return Attribution::Newest;
    }
    // A job that has started is not handed back unstarted.
    if state == JobState::Returned && newest.has_started {
        return Attribution::Earlier;
    }
    Attribution::Unclear
}

/// Notes a final call-back that is about an ended forward to this runner, if only one can be meant.
fn mark_reported(forwards: &mut [Forward], runner: &Id) {
    let mut candidates =
        forwards.iter_mut().filter(|forward| forward.runner == *runner && forward.may_still_be_reported());
    if let (Some(only), None) = (candidates.next(), candidates.next()) {
        only.is_reported = true;
    }
}

/// How a forward has ended according to a call-back; none for a call-back that is not final.
fn reported_result(state: JobState) -> Option<ForwardResult> {
    match state {
        JobState::Started | JobState::Running => None,
        JobState::Done => Some(ForwardResult::Succeeded),
        JobState::Failed => Some(ForwardResult::Errored),
        JobState::Returned => Some(ForwardResult::Overloaded),
        JobState::Lost => Some(ForwardResult::Broken),
    }
}

/// The newest forward to the runner of a call-back.
struct NewestForward {
    invocation: Id,
    index: usize,
    runner: Id,
    /// Whether it has been sent and is outstanding, so that its runner can report on it.
    is_in_progress: bool,
}

impl NewestForward {
    /// Its number among the forwards of the invocation.
    fn number(&self) -> u32 {
        self.index as u32
    }
}

impl RequestTable {
    /// Applies a runner's call-back. A call-back for an invocation that is not open here is passed to the
    /// other process of an upgrade, if there is one: runners call whichever process accepts connections. A
    /// call-back that the other process has passed on has no source, and is not passed back.
    pub(super) fn handle_callback(&mut self, received: ReceivedCallback, driver: &mut dyn ConnectionDriver) {
        if !self.invocations.contains_key(received.callback.id.as_str()) {
            if received.source.is_some() {
                let message = HandoverMessage::Callback(received.callback, received.hash);
                self.handover_peer.send(&message, driver);
            }
            return;
        }
        let Some(newest) = self.newest_forward(&received, driver) else {
            let (id, from) = (&received.callback.id, &received.callback.from);
            return log!("odd-call-back", "inv={id} from={from:?}");
        };
        match reported_result(received.callback.state) {
            None if newest.is_in_progress => self.record_activity(&newest, received.callback.state),
            None => {}
            Some(result) => self.handle_final_callback(&newest, received, result, driver),
        }
    }

    /// The newest forward to the runner of a call-back; none if there was no forward to it.
    fn newest_forward(
        &self,
        received: &ReceivedCallback,
        driver: &dyn ConnectionDriver,
    ) -> Option<NewestForward> {
        let (invocation, open) = self.invocations.get_key_value(received.callback.id.as_str())?;
        let index = open.forwards.iter().rposition(|forward| *forward.runner == *received.callback.from)?;
        let runner = open.forwards[index].runner.clone();
        let is_in_progress = open.forwards[index].is_outstanding()
            && !self.runners.is_unsent(&runner, invocation, index as u32, driver);
        Some(NewestForward { invocation: invocation.clone(), index, runner, is_in_progress })
    }

    /// Applies a call-back that reports the end of a forward.
    fn handle_final_callback(
        &mut self,
        newest: &NewestForward,
        received: ReceivedCallback,
        result: ForwardResult,
        driver: &mut dyn ConnectionDriver,
    ) {
        let attribution = self.attribute_callback(newest, &received);
        self.record_callback(newest, &received, attribution);
        let ReceivedCallback { callback, .. } = received;
        let (invocation, forward) = (newest.invocation.clone(), newest.number());
        if result == ForwardResult::Succeeded {
            let body = callback.result.unwrap_or_default();
            self.answer_with_result(newest, &body, attribution, driver);
        }
        match attribution {
            Attribution::Newest => {
                self.pending_events.push(Event::EndMayBeRepeated { invocation: invocation.clone(), forward });
                let report =
                    callback.load.as_ref().map(|load| self.runners.read_report(load)).unwrap_or_default();
                self.end_forward(&invocation, forward, result, report, driver);
            }
            Attribution::Unclear if result != ForwardResult::Succeeded => {
                self.pending_events.push(Event::EndUnclear { invocation, forward });
            }
            Attribution::Unclear | Attribution::Earlier => {}
        }
    }

    /// Which forward a final call-back is about.
    fn attribute_callback(&self, newest: &NewestForward, received: &ReceivedCallback) -> Attribution {
        let Some(open) = self.invocations.get(&newest.invocation).filter(|_| newest.is_in_progress) else {
            return Attribution::Earlier;
        };
        let may_be_repeat = match open.final_callbacks.find(&newest.runner, received.hash) {
            Some(known) => !known.source.is_some_and(|source| self.clients.has_read_answer(source)),
            None => open.final_callbacks.is_full(),
        };
        let forwards: Vec<&Forward> =
            open.forwards.iter().filter(|forward| forward.runner == newest.runner).collect();
        attribute(received.callback.state, may_be_repeat, &forwards)
    }

    /// Records a final call-back for later ones, and counts and logs one that does not end the newest forward.
    fn record_callback(
        &mut self,
        newest: &NewestForward,
        received: &ReceivedCallback,
        attribution: Attribution,
    ) {
        let Some(open) = self.invocations.get_mut(&newest.invocation) else { return };
        let (runner, hash, source) = (&newest.runner, received.hash, received.source);
        let is_new = open.final_callbacks.find(runner, hash).is_none();
        let code = match attribution {
            Attribution::Newest => {
                open.final_callbacks.record_new(runner, hash, source);
                open.forwards[newest.index].is_reported = true;
                return;
            }
            Attribution::Earlier => "call-back-repeated",
            Attribution::Unclear => "call-back-unclear",
        };
        open.final_callbacks.record(runner, hash, source);
        if is_new && !newest.is_in_progress {
            mark_reported(&mut open.forwards, runner);
        }
        match attribution {
            Attribution::Unclear => self.metrics.unclear_callbacks += 1,
            _ => self.metrics.repeated_callbacks += 1,
        }
        let (invocation, number, state) = (&newest.invocation, newest.number(), received.callback.state);
        log!(code, "inv={invocation} attempt={number} runner={runner} state={}", state.code());
    }

    /// Answers an invocation with the result of a forward, whichever that is, unless it has been answered.
    fn answer_with_result(
        &mut self,
        newest: &NewestForward,
        body: &str,
        attribution: Attribution,
        driver: &mut dyn ConnectionDriver,
    ) {
        let invocation = &newest.invocation;
        let Some(open) = self.invocations.get(invocation).filter(|open| !open.is_answered) else { return };
        self.record_success(open.operation, driver.now() - open.accepted_at);
        self.answer(invocation, STATUS_OK, None, body.as_bytes(), driver);
        if attribution != Attribution::Newest {
            // A forward that was given up has completed: its result is the answer.
            log!("late-result", "inv={invocation} runner={}", newest.runner);
            self.pending_events.push(Event::ClientLeft { invocation: invocation.clone() });
        }
    }

    /// Passes on that the job of the newest forward, which is outstanding, has started or made progress.
    fn record_activity(&mut self, newest: &NewestForward, state: JobState) {
        let Some(open) = self.invocations.get_mut(&newest.invocation) else { return };
        let (earlier, rest) = open.forwards.split_at_mut(newest.index);
        let Some(current) = rest.first_mut() else { return };
        current.has_started |=
            earlier.iter().filter(|forward| forward.runner == newest.runner).all(Forward::never_started);
        let (invocation, forward) = (newest.invocation.clone(), newest.number());
        self.pending_events.push(match state {
            JobState::Started => Event::Started { invocation, forward },
            _ => Event::Progress { invocation, forward },
        });
    }
}
