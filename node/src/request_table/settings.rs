//! The settings of the request table: what this process adds to those of the file, and how a configuration that is
//! read again takes their place.

use topazsail::{Event, Micros};
use topazsail_recovery::limits::OperationValue;
use topazsail_settings::DecodedSettings;

use super::RequestTable;
use crate::config::{self, Configuration};
use crate::ingress::clients::Clients;
use crate::metrics::Metrics;
use crate::net::connection::{ConnectionDriver, Timer};
use crate::net::log::log;

/// Retry-After of an answer for lack of capacity, unless clients follow only a shorter one. In microseconds,
/// like all times here.
const OVERLOAD_RETRY_AFTER: Micros = 1_000_000;

/// Sets the values that this process determines and not the file, and registers the operations with `clients`
/// and `metrics`.
pub(super) fn adapt_settings(
    decoded: &mut DecodedSettings,
    slow_start_is_shared: bool,
    clients: &mut Clients,
    metrics: &mut Metrics,
    now: Micros,
) {
    let settings = &mut decoded.settings;
    settings.slow_start_is_shared = slow_start_is_shared;
    // The roster arrives only on a watch, which has to be opened whatever the settings say. Connections are
    // closed after the dispatcher's own idle timeout, which is shorter than the runners'.
    settings.must_subscribe = true;
    settings.idle_timeout = decoded.idle_timeout / 2;
    decoded.operation_names.iter().for_each(|operation| metrics.add_operation(operation));
    let operations = decoded.operation_names.drain(..).zip(std::mem::take(&mut settings.operations));
    settings.operations = clients.operations.set(operations.collect(), now);
}

/// Value and latency objective of each operation, by its number.
pub(super) fn operation_values(decoded: &DecodedSettings) -> Vec<OperationValue> {
    let value = |operation: &topazsail::Operation| OperationValue {
        value: operation.billed_value,
        latency_objective: operation.latency_objective,
    };
    decoded.settings.operations.iter().map(value).collect()
}

/// Retry-After of clients that are turned away for lack of capacity, if one is sent.
pub(super) fn overload_retry_after(decoded: &DecodedSettings) -> Option<Micros> {
    decoded.settings.max_retry_after.map(|max_retry_after| max_retry_after.min(OVERLOAD_RETRY_AFTER))
}

impl RequestTable {
    /// Applies a configuration that was read again, except for what only a restart can change: name and
    /// addresses of this process, peers and store. The known roster in the file is older than the watch, and
    /// the seed is for a new process only, so both are ignored. A file that lacks a key of the previous one
    /// is rejected.
    pub fn reload(&mut self, configuration: Configuration, driver: &mut dyn ConnectionDriver) {
        if let Some(key) = config::missing_key(&self.active_file, &configuration.file) {
            return self.reject_configuration(&format!("{key} is missing"));
        }
        let not_applied = [
            ("name", configuration.name != self.name),
            ("listen", configuration.listen != self.listen),
            ("admin_addr", configuration.file.get("admin_addr") != self.active_file.get("admin_addr")),
            ("peers", configuration.file.get("peers") != self.active_file.get("peers")),
            ("store", configuration.file.get("store") != self.active_file.get("store")),
        ];
        let not_applied: Vec<&str> =
            not_applied.iter().filter(|(_, differs)| *differs).map(|(field, _)| *field).collect();
        let not_applied = if not_applied.is_empty() { "none".to_owned() } else { not_applied.join(",") };
        let settings_changed = configuration.file.get("settings") != self.active_file.get("settings");
        self.metrics.loads += 1;
        log!(
            "reloaded",
            "discovery={} retuned={settings_changed} changed_but_kept={not_applied}",
            configuration.discovery
        );
        self.resource_limits = (configuration.max_sockets, configuration.memory_bytes);
        self.apply_resource_limits();
        self.active_file = configuration.file;
        self.store_settings();
        // Events collected so far belong to the previous settings.
        self.collect_events(driver);
        if settings_changed {
            self.change_settings(configuration.decoded, driver);
        }
        self.roster.set_discovery(configuration.discovery, driver);
        self.collect_events(driver);
    }

    /// Applies new settings to all parts of the node and to the routing policy.
    fn change_settings(&mut self, mut decoded: DecodedSettings, driver: &mut dyn ConnectionDriver) {
        self.roster.set_pushed(!decoded.settings.must_subscribe);
        let slow_start_is_shared = self.peer_exchange.is_some();
        adapt_settings(
            &mut decoded,
            slow_start_is_shared,
            &mut self.clients,
            &mut self.metrics,
            driver.now(),
        );
        let names: Vec<&str> = self.clients.operations.names().collect();
        log!("retuned", "operations={} forwards={}", names.join(","), decoded.settings.max_forwards);
        self.runners.apply_settings(&decoded);
        self.membership.set_warm_up_span(decoded.settings.warm_up_span);
        (self.overload_retry_after, self.max_retry_after) =
            (overload_retry_after(&decoded), decoded.settings.max_retry_after);
        (self.cold_capacity_share, self.operation_values) =
            (decoded.settings.cold_capacity_share, operation_values(&decoded));
        (self.overload_window, self.max_open) = (decoded.settings.overload_window, decoded.max_open);
        self.longest_client_timeout = decoded.longest_client_timeout;
        if self.shutdown_since.is_some() {
            driver.set_timer(Timer::Shutdown, driver.now());
        }
        self.dispatcher_count = decoded.settings.dispatchers as usize;
        self.update_peer_settings();
        self.pending_events.push(Event::SettingsChanged(Box::new(decoded.settings)));
    }

    /// Rejects a configuration that was read again; nothing of it is applied.
    pub fn reject_configuration(&mut self, reason: &str) {
        self.metrics.load_errors += 1;
        log!("configuration-refused", "reason={reason:?}");
    }
}
