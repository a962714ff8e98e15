//! What open invocations hold of the process's memory.

use super::{OpenInvocation, RequestTable};
use crate::net::connection::ConnectionDriver;
use crate::net::memory::MemoryShares;
use topazsail::Id;

/// The state of an open invocation in the request table and in the routing policy, beside its request.
const STATE_BYTES: usize = 2 << 10;
/// The request is kept for further forwards, and copied into the message of the one in flight.
const REQUEST_COPIES: usize = 2;

/// The last quarter of the share is kept for requests up to this length, so that a few clients with long ones
/// do not have all others turned away.
const SHORT_REQUEST_BYTES: usize = 4 << 10;

/// What an invocation with a request of this length holds.
pub(super) fn invocation_bytes(request_bytes: usize) -> usize {
    STATE_BYTES + REQUEST_COPIES * request_bytes
}

impl OpenInvocation {
    /// Bytes of memory that it holds.
    fn bytes(&self) -> usize {
        invocation_bytes(self.head.len() + self.body.len())
    }
}

impl RequestTable {
    /// The shares of the process's memory limit.
    pub fn memory_shares(&self) -> MemoryShares {
        self.memory_shares
    }

    /// Whether one more invocation with a request of this length would exceed the share of invocations.
    pub(super) fn exceeds_memory(&self, request_bytes: usize) -> bool {
        let share = self.memory_shares.invocations;
        let usable = if request_bytes > SHORT_REQUEST_BYTES { share * 3 / 4 } else { share };
        self.invocation_bytes + invocation_bytes(request_bytes) > usable
    }

    /// Adds an invocation.
    pub(super) fn insert_invocation(&mut self, id: Id, open: OpenInvocation) {
        self.invocation_bytes += open.bytes();
        self.invocations.insert(id, open);
    }

    /// Drops the request of an invocation that has been answered.
    pub(super) fn drop_request(&mut self, id: &Id) {
        let Some(open) = self.invocations.get_mut(id) else { return };
        let before = open.bytes();
        (open.head, open.body) = (Vec::new(), Vec::new());
        self.invocation_bytes -= before - open.bytes();
    }

    /// Removes an invocation that is answered and has no outstanding forward.
    pub(super) fn remove_invocation(&mut self, id: &Id, driver: &mut dyn ConnectionDriver) {
        let Some(open) = self.invocations.remove(id) else { return };
        self.invocation_bytes -= open.bytes();
        if let Some(timer) = open.timer {
            driver.cancel_timer(timer);
        }
    }
}
