//! Forwards that may have ended: their runner has reported an end that may be that of an earlier forward to
//! it.
//!
//! Such a forward may still run, so it does not count as ended. If its invocation may run twice, the forward
//! is cancelled and the invocation retried once the cancel is confirmed; otherwise it is left to end.

use super::RoutingPolicy;
use crate::Id;

impl RoutingPolicy {
    /// Notes that a forward in flight may have ended, and moves its invocation if that is allowed.
    pub(super) fn handle_unclear_end(&mut self, id: &Id, forward: u32) {
        let current = self.invocations.get_mut(id).and_then(|invocation| invocation.current_forward.as_mut());
        let Some(current) = current.filter(|current| current.number == forward) else { return };
        current.end_is_unclear = true;
        self.check_stalled(id);
    }
}
