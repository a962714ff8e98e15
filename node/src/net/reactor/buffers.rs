//! The limit on the buffers of all connections together.
//!
//! Above it, the connections that hold most are asked for their buffers first, so that those which hold
//! little are served as before. Clients that have sent requests behind the one in progress come before those
//! whose one request is long. Connections are read on all the same, as the close of a client must be
//! noticed; what its owner gives up is discarded.

use crate::net::connection::{CloseReason, Connection, ConnectionId, ConnectionRole};
use crate::net::log::log;
use crate::request_table::RequestTable;

use super::Reactor;

/// This fraction of the share is free after buffers have been released.
const SPARE_DIVISOR: usize = 16;

/// The connections that share the limit. Those to discovery and to the other process of an upgrade have limits
/// of their own.
fn shares_limit(role: ConnectionRole) -> bool {
    matches!(role, ConnectionRole::Client | ConnectionRole::Runner | ConnectionRole::Operator)
}

impl Reactor {
    /// Updates the sum of all buffers after those of a connection may have changed.
    pub(super) fn account_buffers(&mut self, id: ConnectionId) {
        let connection = self.connections.get_mut(&id).filter(|connection| shares_limit(connection.role));
        let Some(connection) = connection else { return };
        let bytes = connection.buffer_bytes();
        let before = std::mem::replace(&mut connection.accounted_bytes, bytes);
        self.buffered_bytes = self.buffered_bytes + bytes - before;
    }

    /// Releases buffers if all connections together hold more than their share, until they hold a little less:
    /// the connections need not be ranked again for the next piece of input.
    pub(super) fn enforce_buffer_limit(&mut self, table: &mut RequestTable) {
        let share = table.memory_shares().buffers;
        if self.buffered_bytes <= share {
            return;
        }
        let target = share - share / SPARE_DIVISOR;
        for (id, bytes) in self.rank_by_buffers(table) {
            if self.buffered_bytes <= target {
                return;
            }
            self.release_buffers(id, bytes, table);
        }
    }

    /// The connections in the order in which they release their buffers, and how many bytes each holds.
    fn rank_by_buffers(&self, table: &mut RequestTable) -> Vec<(ConnectionId, usize)> {
        let rank = |(id, connection): (&ConnectionId, &Connection)| {
            let is_surplus =
                !connection.input.is_empty() && table.handler(connection.role).has_surplus_input(*id);
            (is_surplus, connection.accounted_bytes, *id)
        };
        let mut ranked: Vec<_> = self.connections.iter().map(rank).collect();
        ranked.sort_unstable_by(|one, other| other.cmp(one));
        ranked.into_iter().map(|(_, bytes, id)| (id, bytes)).collect()
    }

    /// Has the owner of a connection release its buffers. A connection that holds as much after that is
    /// closed.
    fn release_buffers(&mut self, id: ConnectionId, bytes: usize, table: &mut RequestTable) {
        let Some(connection) = self.connections.get(&id) else { return };
        let (role, finishing) = (connection.role, connection.finishing);
        log!("buffers-released", "link={id} side={} bytes={bytes} all={}", role.code(), self.buffered_bytes);
        self.released_buffers += 1;
        if let Some(reason) = finishing {
            return self.remove(id, reason);
        }
        table.handler(role).release_buffers(id, self);
        table.collect_events(self);
        if self.connections.get(&id).is_some_and(|connection| connection.accounted_bytes >= bytes) {
            self.connection_lost(id, CloseReason::MemoryShort, table);
        }
    }
}
