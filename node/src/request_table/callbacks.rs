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

impl RequestTable {
    /// Applies a runner's call-back. A call-back for an invocation that is not open here is passed to the
    /// other process of an upgrade, if there is one: runners call whichever process accepts connections. A
    /// call-back that the other process has passed on has no source, and is not passed back.
    pub(super) fn handle_callback(&mut self, received: ReceivedCallback, driver: &mut dyn ConnectionDriver) {
        let ReceivedCallback { callback, hash, source } = received;
        let Some((invocation, open)) = self.invocations.get_key_value(callback.id.as_str()) else {
            if source.is_some() {
                self.handover_peer.send(&HandoverMessage::Callback(callback, hash), driver);
            }
            return;
        };
        let invocation = invocation.clone();
        let Some(index) = open.forwards.iter().rposition(|forward| *forward.runner == *callback.from) else {
            return log!("odd-call-back", "inv={invocation} from={:?}", callback.from);
        };
        let (number, runner) = (index as u32, open.forwards[index].runner.clone());
        let is_in_progress = open.forwards[index].is_outstanding()
            && !self.runners.is_unsent(&runner, &invocation, number, driver);
        let result = match callback.state {
            JobState::Started | JobState::Running if !is_in_progress => return,
            JobState::Started | JobState::Running => {
                return self.record_activity(invocation, index, callback.state);
            }
            JobState::Done => ForwardResult::Succeeded,
            JobState::Failed => ForwardResult::Errored,
            JobState::Returned => ForwardResult::Overloaded,
            JobState::Lost => ForwardResult::Broken,
        };
        let known = open.final_callbacks.find(&runner, hash);
        let may_be_repeat = match known {
            Some(known) => !known.source.is_some_and(|source| self.clients.has_read_answer(source)),
            None => open.final_callbacks.is_full(),
        };
        let attribution = if is_in_progress {
            let forwards: Vec<&Forward> =
                open.forwards.iter().filter(|forward| forward.runner == runner).collect();
            attribute(callback.state, may_be_repeat, &forwards)
        } else {
            Attribution::Earlier
        };
        if attribution != Attribution::Newest && callback.state != JobState::Done {
            let code =
                if attribution == Attribution::Unclear { "call-back-unclear" } else { "call-back-repeated" };
            log!(code, "inv={invocation} attempt={number} runner={runner} state={}", callback.state.code());
        }
        let (is_answered, operation, accepted_at) = (open.is_answered, open.operation, open.accepted_at);
        let is_new = known.is_none();
        if let Some(open) = self.invocations.get_mut(&invocation) {
            if attribution == Attribution::Newest {
                open.final_callbacks.record_new(&runner, hash, source);
                open.forwards[index].is_reported = true;
            } else {
                open.final_callbacks.record(&runner, hash, source);
            }
            if is_new && !is_in_progress {
                mark_reported(&mut open.forwards, &runner);
            }
        }
        if result == ForwardResult::Succeeded && !is_answered {
            let body = callback.result.unwrap_or_default();
            self.record_success(operation, driver.now() - accepted_at);
            self.answer(&invocation, STATUS_OK, None, body.as_bytes(), driver);
            if attribution != Attribution::Newest {
                // A forward that was given up has completed: its result is the answer.
                log!("late-result", "inv={invocation} runner={runner}");
                self.pending_events.push(Event::ClientLeft { invocation: invocation.clone() });
            }
        }
        match attribution {
            Attribution::Newest => {
                self.pending_events
                    .push(Event::EndMayBeRepeated { invocation: invocation.clone(), forward: number });
                let report =
                    callback.load.as_ref().map(|load| self.runners.read_report(load)).unwrap_or_default();
                self.end_forward(&invocation, number, result, report, driver);
            }
            Attribution::Unclear if result != ForwardResult::Succeeded => {
                self.metrics.unclear_callbacks += 1;
                self.pending_events.push(Event::EndUnclear { invocation, forward: number });
            }
            Attribution::Unclear => {}
            Attribution::Earlier => self.metrics.repeated_callbacks += 1,
        }
    }

    /// Passes on that the job of an outstanding forward has started or made progress.
    fn record_activity(&mut self, invocation: Id, index: usize, state: JobState) {
        let Some(open) = self.invocations.get_mut(&invocation) else { return };
        let (earlier, rest) = open.forwards.split_at_mut(index);
        let Some(newest) = rest.first_mut() else { return };
        newest.has_started |=
            earlier.iter().filter(|forward| forward.runner == newest.runner).all(Forward::never_started);
        let forward = index as u32;
        self.pending_events.push(match state {
            JobState::Started => Event::Started { invocation, forward },
            _ => Event::Progress { invocation, forward },
        });
    }
}
