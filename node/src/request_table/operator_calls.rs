//! Operators' calls: what each asks for, and its answer.

use topazsail::{Event, Listing, Roster as RosterUpdate};
use topazsail_recovery::Stage;

use super::{PeerExchange, Persistence, RequestTable};
use crate::ingress::operators::Call;
use crate::metrics::{self, Gauges};
use crate::net::connection::{ConnectionDriver, ConnectionId};
use crate::net::log::log;

impl RequestTable {
    /// Answers an operator's call; maintenance calls with a store are answered once they are stored.
    pub(super) fn handle_operator_call(
        &mut self,
        connection: ConnectionId,
        call: Call,
        driver: &mut dyn ConnectionDriver,
    ) {
        let answer = match call {
            Call::Status if self.shutdown_since.is_some() => "NO going down\n".to_owned(),
            Call::Status => self.status(),
            Call::Stats => {
                let (known_runners, out) = self.membership.count();
                let buffers = driver.buffer_use();
                let gauges = Gauges {
                    in_progress: self.invocations.values().filter(|open| !open.is_answered).count(),
                    known_runners,
                    skipped_runners: self.policy.ejected_runners(driver.now()) + out,
                    forwards_written: self.runners.forwards_written(),
                    surplus_answers: self.runners.surplus_answers(),
                    buffer_bytes: buffers.bytes,
                    released_buffers: buffers.released,
                    timers: buffers.timers,
                    invocation_bytes: self.invocation_bytes,
                    handover_failures: self.upgrade.failures,
                    handover_unread: self.handover_peer.unread,
                };
                let store_metrics = self.persistence.as_ref().map(Persistence::metrics).unwrap_or_default();
                let peer_metrics = self.peer_exchange.as_ref().map(PeerExchange::metrics).unwrap_or_default();
                // Without a store or peers, the names of their metrics are empty.
                let optional_metrics =
                    store_metrics.iter().chain(&peer_metrics).filter(|(name, _)| !name.is_empty());
                let host_metrics = driver.host_failures().metrics();
                format!(
                    "{}{}{}END\n",
                    self.metrics.render(&gauges),
                    metrics::format_metrics(host_metrics.iter()),
                    metrics::format_metrics(optional_metrics)
                )
            }
            Call::Maintain { id, out } => match self.set_maintenance(&id, out, driver) {
                Ok(()) => {
                    self.announce_admin_override(&id, driver);
                    self.pass_admin_override(&id, out, driver);
                    match self.persistence {
                        None => "YES\n".to_owned(),
                        Some(_) if self.upgrade.has_released() => {
                            "NO another process takes over: call that one\n".to_owned()
                        }
                        Some(_) => {
                            return self.store_admin_override(
                                &id.clone(),
                                Some((connection, Call::Maintain { id, out })),
                                driver,
                            );
                        }
                    }
                }
                Err(why) => format!("NO {why}\n"),
            },
        };
        self.operators.answer(connection, &answer, driver);
    }

    /// Whether this process serves, and what an operator has to know of its store, peers and upgrades.
    fn status(&self) -> String {
        let handover = if self.upgrade.failures > 0 { " handover=failed" } else { "" };
        let Some(persistence) = &self.persistence else { return format!("YES{handover}\n") };
        let ready = if persistence.stage() < Stage::Listed { "NO" } else { "YES" };
        let peers = self.peer_exchange.as_ref().map(PeerExchange::status).unwrap_or_default();
        format!("{ready} {}{peers}{handover}\n", persistence.status())
    }

    /// Applies an admin override. Once this returns, nothing new goes to a runner that is out, including
    /// forwards that wait for a connection. Fails with the reason if the runner is unknown.
    pub(super) fn set_maintenance(
        &mut self,
        id: &str,
        out: bool,
        driver: &mut dyn ConnectionDriver,
    ) -> Result<(), &'static str> {
        let change = self.membership.set_maintenance(id, out, driver.now());
        let code = if out { "maint-on" } else { "maint-off" };
        log!(code, "runner={id:?} answer={}", change.as_ref().err().unwrap_or(&"yes"));
        let Some(entry) = change? else { return Ok(()) };
        if out {
            self.runners.stop_sending(&entry.runner, driver);
        }
        self.pending_events
            .push(Event::Roster(RosterUpdate { listing: Listing::Local, entries: vec![entry] }));
        Ok(())
    }
}
