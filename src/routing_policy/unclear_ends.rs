//! Forwards that may have ended: their runner has reported an end that may be that of an earlier forward to
//! it.
//!
//! Such a forward may still run, so it does not count as ended. If its invocation may run twice, the forward
//! is cancelled and the invocation retried once the cancel is confirmed. Otherwise it is left to end, as
//! nothing shows that it has not run; to keep that rare, the invocation prefers runners that cannot report
//! the end of an earlier forward again.

use super::RoutingPolicy;
use crate::state_tables::InvocationState;
use crate::{Effect, Id};

impl RoutingPolicy {
    /// Notes that a forward in flight may have ended, and moves its invocation if that is allowed.
    pub(super) fn handle_unclear_end(&mut self, id: &Id, forward: u32) {
        let current = self.invocations.get_mut(id).and_then(|invocation| invocation.current_forward.as_mut());
        let Some(current) = current.filter(|current| current.number == forward) else { return };
        current.end_is_unclear = true;
        self.check_stalled(id);
    }

    /// Notes that the runner of a forward in flight may report its end again.
    pub(super) fn avoid_runner(&mut self, id: &Id, forward: u32) {
        let Some(invocation) = self.invocations.get_mut(id) else { return };
        let current = invocation.current_forward.as_ref().filter(|current| current.number == forward);
        let Some(r) = current.map(|current| current.runner_index) else { return };
        if self.settings.operations[invocation.operation].effect == Effect::NonIdempotent {
            invocation.may_report_again.push(r);
        }
    }

    /// Whether to wait for another runner, as this one may report the end of an earlier forward again. Runners
    /// that are merely full are waited for, ejected ones are not.
    pub(super) fn must_avoid(&self, r: usize, invocation: &InvocationState) -> bool {
        let may_report_again = |r: &usize| invocation.may_report_again.contains(r);
        may_report_again(&r)
            && self.listed.iter().any(|other| !may_report_again(other) && self.is_usable(*other, invocation))
    }

    /// Whether a runner may get the invocation once it has room.
    fn is_usable(&self, r: usize, invocation: &InvocationState) -> bool {
        let kind = &self.settings.operations[invocation.operation].machine_type;
        let runner = &self.runners[r];
        kind.as_ref().is_none_or(|kind| *kind == runner.machine_type)
            && self.now >= runner.ejected_until
            && !self.is_silent(r, false)
    }
}
