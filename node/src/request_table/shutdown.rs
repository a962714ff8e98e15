//! The shutdown of a process: what has been accepted is still answered, and clients are directed to other
//! dispatchers.

use topazsail::{Id, Micros};
use topazsail_upgrade::Event as UpgradeEvent;

use super::{FINAL_ANSWER_TIMEOUT, RequestTable};
use crate::net::connection::{ConnectionDriver, Timer};
use crate::net::log::log;

/// Upper bound for the client timeout that a shutdown waits for. The process is killed no sooner after
/// SIGTERM than the longest client timeout, or this bound where that is less, plus 0.7 s.
const MAX_SHUTDOWN_CLIENT_TIMEOUT: Micros = 3_000_000;
/// Invocations still unanswered this long after the longest client timeout are answered without waiting any
/// longer. That is 0.4 s before the earliest time at which the process is killed.
const SHUTDOWN_ANSWER_GRACE: Micros = 300_000;
/// The process exits this long after those answers even if connections are still open. That is 0.1 s before
/// the earliest time at which it is killed.
const SHUTDOWN_EXIT_GRACE: Micros = 300_000;
/// Interval at which a shutdown closes client connections that have become idle.
const SHUTDOWN_STEP_INTERVAL: Micros = 50_000;

impl RequestTable {
    /// Begins the shutdown: accepted invocations are still answered, and clients are directed to other
    /// dispatchers.
    pub fn begin_shutdown(&mut self, driver: &mut dyn ConnectionDriver) {
        if self.shutdown_since.is_some() {
            return;
        }
        let now = driver.now();
        log!(
            "going-down",
            "open={} runner_connections={}",
            self.invocations.len(),
            self.runners.open_connections()
        );
        self.shutdown_since = Some(now);
        self.handle_upgrade_event(UpgradeEvent::ShutdownBegan, driver);
        self.clients.set_ready(false);
        driver.set_timer(Timer::Shutdown, now + self.shutdown_spans().0);
    }

    /// The spans after the start of a shutdown for which clients keep their connections, and after which
    /// unanswered invocations are answered without waiting any longer. Clients keep their connections for a
    /// while because the dispatcher that was restarted before this one may not be back yet. Both spans depend
    /// on the settings: with client timeouts of one second the process is killed long before spans meant for
    /// longer timeouts would have closed the client connections. An invocation accepted at the end of the
    /// first span has the time until the end of the second.
    fn shutdown_spans(&self) -> (Micros, Micros) {
        let client_timeout = self.longest_client_timeout.min(MAX_SHUTDOWN_CLIENT_TIMEOUT);
        (SHUTDOWN_ANSWER_GRACE + client_timeout * 17 / 30, SHUTDOWN_ANSWER_GRACE + client_timeout)
    }

    /// Whether the shutdown has come too far to accept another invocation.
    pub(super) fn is_too_late_to_accept(&self, now: Micros) -> bool {
        self.shutdown_since.is_some_and(|since| now >= since + self.shutdown_spans().1)
    }

    /// Whether the shutdown is complete: nothing unanswered, no client connections, no cancels under way.
    pub fn is_shutdown_complete(&self, now: Micros) -> bool {
        let Some(since) = self.shutdown_since else { return false };
        let clients_remain = self.clients.has_clients();
        let (client_span, answer_span) = self.shutdown_spans();
        // Cancels are waited for no longer than answers; clients may use their connections until the process
        // is killed.
        let is_cancelling =
            self.runners.has_pending_cancels() && now < since + answer_span + 2 * FINAL_ANSWER_TIMEOUT;
        !self.has_unanswered() && !clients_remain && !is_cancelling && now >= since + client_span
    }

    /// Whether the process must exit now because it is about to be killed, even with connections open.
    pub fn must_exit(&self, now: Micros) -> bool {
        self.shutdown_since.is_some_and(|since| {
            !self.has_unanswered() && now >= since + self.shutdown_spans().1 + SHUTDOWN_EXIT_GRACE
        })
    }

    /// Whether any invocation is unanswered.
    fn has_unanswered(&self) -> bool {
        self.invocations.values().any(|open| !open.is_answered)
    }

    /// Takes the next step of a shutdown: releases client connections, then answers what is still unanswered.
    pub(super) fn advance_shutdown(&mut self, driver: &mut dyn ConnectionDriver) {
        let (Some(since), now) = (self.shutdown_since, driver.now()) else { return };
        let (client_span, answer_span) = self.shutdown_spans();
        if now < since + client_span {
            return driver.set_timer(Timer::Shutdown, since + client_span);
        }
        self.clients.drain(driver);
        if now < since + answer_span {
            return driver
                .set_timer(Timer::Shutdown, (now + SHUTDOWN_STEP_INTERVAL).min(since + answer_span));
        }
        for id in self.invocations.keys().cloned().collect::<Vec<Id>>() {
            self.handle_deadline(&id, driver);
        }
    }
}
