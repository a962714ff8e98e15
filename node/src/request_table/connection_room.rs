//! How many connections this process holds, and which of them are closed when there are too many.
//!
//! Connections to runners are opened as forwards need them, also when none may carry a further request yet.
//! They have a share of the descriptors: above it, idle ones to runners are closed before those of clients,
//! which may be about to carry a request.

use topazsail_upgrade::Role;

use super::RequestTable;
use crate::net::connection::{ConnectionDriver, ConnectionRole};
use crate::net::log::log;
use crate::net::memory::MemoryShares;

/// Limits on the number of connections.
#[derive(Default)]
pub(super) struct ConnectionLimits {
    /// Above this number, connections without an unanswered request are closed: the remaining descriptors are
    /// for the watch, dials and operators.
    all: usize,
    /// From this number on, a new client takes the place of an idle connection.
    replacing: usize,
    /// From this number on, no client is accepted unless one makes room.
    most: usize,
    /// The share of connections to runners.
    runners: usize,
}

impl ConnectionLimits {
    /// The limits of a process that may have this many sockets.
    fn of(sockets: usize) -> ConnectionLimits {
        let replacing = sockets * 5 / 8;
        ConnectionLimits {
            all: sockets - sockets / 8,
            replacing,
            most: sockets * 3 / 4,
            runners: sockets - replacing,
        }
    }
}

impl RequestTable {
    /// Applies the resource limits. During an upgrade both processes share them, half each, except for
    /// descriptors: the predecessor accepts no connections once its successor does, so the successor may use all but
    /// the predecessor's open connections and an eighth for its forwards.
    pub(super) fn apply_resource_limits(&mut self) {
        let (sockets, memory) = self.resource_limits;
        let (sockets, memory) = match self.upgrade.other() {
            None => (sockets, memory),
            // The successor has no clients yet.
            Some(Role::Successor) if !self.upgrade.has_released() => (sockets, memory / 2),
            Some(Role::Successor) => (sockets / 2, memory / 2),
            Some(Role::Predecessor) => (
                (sockets / 2).max(sockets.saturating_sub(self.upgrade.predecessor_connections + sockets / 8)),
                memory / 2,
            ),
        };
        self.connection_limits = ConnectionLimits::of(sockets);
        self.clients.set_limits(self.connection_limits.replacing, self.connection_limits.most);
        self.operators.set_limits(sockets);
        self.memory_shares = MemoryShares::of(memory);
        // One of the two processes at most receives a whole roster at a time.
        self.roster.set_max_bytes(MemoryShares::of(self.resource_limits.1).roster);
    }

    /// Whether one more connection of this role can be accepted; makes room for it if necessary.
    pub fn ensure_room(&mut self, role: ConnectionRole, driver: &mut dyn ConnectionDriver) -> bool {
        match role {
            ConnectionRole::Operator => {
                self.operators.make_room(driver);
                true
            }
            _ => {
                self.close_surplus_runner_connections(driver);
                self.clients.ensure_room(driver)
            }
        }
    }

    /// Closes idle connections to runners above their share while clients could only be accepted in the place
    /// of others.
    fn close_surplus_runner_connections(&mut self, driver: &mut dyn ConnectionDriver) {
        while driver.connection_count() >= self.connection_limits.replacing
            && self.runners_exceed_share()
            && self.runners.make_room(driver)
        {}
    }

    /// Whether there are more connections to runners than their share.
    fn runners_exceed_share(&self) -> bool {
        self.runners.open_connections() > self.connection_limits.runners
    }

    /// Closes one idle connection: one to a runner if these exceed their share, else a client's if there is
    /// one. Returns whether there was one.
    fn make_room(&mut self, driver: &mut dyn ConnectionDriver) -> bool {
        self.runners_exceed_share() && self.runners.make_room(driver)
            || self.clients.make_room(driver)
            || self.runners.make_room(driver)
    }

    /// Closes one idle connection after the host had no descriptor, or no memory for one, so that the next
    /// attempt can succeed. The shortage is temporary and does not change the connection limits.
    pub fn handle_descriptor_shortage(&mut self, driver: &mut dyn ConnectionDriver) {
        let made_room = self.make_room(driver);
        log!("descriptors-short", "connections={} made_room={made_room}", driver.connection_count());
    }

    /// Closes idle connections above the limit, which would leave no descriptors for the watch, dials and
    /// operators.
    pub(super) fn enforce_connection_limit(&mut self, driver: &mut dyn ConnectionDriver) {
        while driver.connection_count() > self.connection_limits.all && self.make_room(driver) {}
    }
}
