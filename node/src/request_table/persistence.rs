//! The request table's part in persistence: it starts from what the previous process run has stored, and
//! stores what the next one needs.
//!
//! It decides which operator answers wait for the disk. Which stored data is trusted and in which order
//! service begins is decided by `topazsail_recovery`; when data is on the disk is up to the store thread.

use std::collections::BTreeMap;

use topazsail::{Event, Listing, Micros};
use topazsail_peers::AdminCall;
use topazsail_recovery::limits::AdmissionLimits;
use topazsail_recovery::{self as recovery, Action, KnownRoster, Recovery, Source, Stage, Trust};
use topazsail_store::stored_types::{
    StoredCall, StoredOverride, StoredRoster, StoredSettings, StoredSlowStartUsage,
};

use super::RequestTable;
use crate::ingress::operators::Call;
use crate::lifecycle::store_thread::{LoadedStore, StoreEvent, StoreThread};
use crate::net::connection::{ConnectionDriver, ConnectionId, Timer};
use crate::net::log::log;
use crate::upstream::roster::{self, RosterSnapshot};

/// Longest time that an operator's answer waits for the disk. In microseconds, like all times here.
const OPERATOR_WRITE_TIMEOUT: Micros = 2_000_000;
/// Delay before a changed roster is stored, plus the same again for every [`ROSTER_BYTES_PER_DELAY`] of its
/// last size: at most about a megabyte is written in four seconds.
const ROSTER_WRITE_DELAY: Micros = 1_000_000;
/// Bytes of stored roster that add one [`ROSTER_WRITE_DELAY`] to the next write.
const ROSTER_BYTES_PER_DELAY: usize = 256 << 10;
/// Clients that are turned away before service begins retry within this span after it, spread evenly so that
/// they do not all come at once.
const RETRY_AFTER_SPREAD: Micros = 1_000_000;

/// State of recovery and of the store.
pub struct Persistence {
    store_thread: StoreThread,
    recovery: Recovery,
    /// The configuration's known roster, until the roster to begin with is chosen.
    configured_roster: Option<RosterSnapshot>,
    /// When this process started: a runner that started later received nothing from the previous process run.
    started_at: Micros,
    /// What the previous process run left, until it has been used.
    loaded: Option<Box<LoadedStore>>,
    /// This process run's boot number, once it is on the disk.
    boot: Option<u64>,
    /// Why the disk cannot be relied on now, if it cannot.
    store_failure: Option<String>,
    /// Operators' calls that wait for the disk, by store ticket.
    waiting_calls: BTreeMap<u64, (ConnectionId, Call)>,
    /// Whether a write of the roster is scheduled, and the length of the last one in bytes.
    roster_write_is_scheduled: bool,
    stored_roster_bytes: usize,
    /// When the recovery timer fires next.
    timer_at: Micros,
    /// Whether the process must not serve without a store, and why it must not serve, once that is known.
    store_is_required: bool,
    fatal_error: Option<String>,
    /// Which operations are admitted while the fleet is cold.
    admission_limits: AdmissionLimits,
    /// Number of runners in the roster that service began with, and the fleet's warmth with the time at which
    /// it was computed.
    initial_runners: usize,
    cached_warmth: (f64, Micros),
}

/// How long the fleet's warmth is cached.
const WARMTH_CACHE_WINDOW: Micros = 50_000;
/// Interval at which recovery is checked while a cold fleet limits admission, as its warmth changes even when
/// no invocations come.
const LIMITED_CHECK_INTERVAL: Micros = 500_000;

impl Persistence {
    /// Starts recovery. `configured_roster` is the known roster of the configuration.
    pub fn new(
        store_thread: StoreThread,
        (store_is_required, has_peers): (bool, bool),
        configured_roster: Option<RosterSnapshot>,
        now: Micros,
    ) -> Persistence {
        Persistence {
            store_thread,
            recovery: Recovery::new(has_peers, now),
            configured_roster,
            started_at: now,
            loaded: None,
            boot: None,
            store_failure: None,
            waiting_calls: BTreeMap::new(),
            roster_write_is_scheduled: false,
            stored_roster_bytes: 0,
            timer_at: Micros::MIN,
            store_is_required,
            fatal_error: None,
            admission_limits: AdmissionLimits::new(std::iter::empty(), now),
            initial_runners: 0,
            cached_warmth: (0.0, Micros::MIN),
        }
    }

    /// Marks recovery as complete: another process has handed over its state.
    pub fn in_service(mut self) -> Persistence {
        self.recovery = Recovery::in_service();
        self
    }

    /// Records that nothing can be stored for now, and why. A start that requires the store ends here; a
    /// process that already serves continues.
    fn record_store_failure(&mut self, why: &str) {
        self.store_failure = Some(why.to_owned());
        if self.store_is_required && self.stage() < Stage::Listed {
            self.fatal_error = Some(format!("store.folder: {why}"));
        }
    }

    /// The stage of recovery.
    pub fn stage(&self) -> Stage {
        self.recovery.stage()
    }

    /// Stage, boot number and state of the store for an operator's `status`.
    pub fn status(&self) -> String {
        // Peers may know of a later boot: until they have been asked the number is not final.
        let boot = self.boot.filter(|_| self.stage() >= Stage::Asked);
        let boot = boot.map_or_else(|| "none".to_owned(), |boot| boot.to_string());
        let store_state = if self.store_failure.is_some() { "failing" } else { "well" };
        format!("stage={} boot={boot} store={store_state}", self.stage().code())
    }

    /// Counters and gauges for an operator's `stats`.
    pub fn metrics(&self) -> [(&'static str, u64); 4] {
        [
            ("boot", self.boot.unwrap_or(0)),
            ("stage", self.stage() as u64),
            ("store_well", u64::from(self.store_failure.is_none())),
            ("store_dropped", self.store_thread.dropped),
        ]
    }
}

impl RequestTable {
    /// Begins a start without a predecessor but with a store: nothing is listed before the store has been
    /// read.
    pub(super) fn begin_recovery(&mut self, driver: &mut dyn ConnectionDriver) {
        self.clients.set_ready(false);
        self.arm_recovery_timer(driver);
    }

    /// Whether anything may be forwarded, which needs a roster.
    pub(super) fn may_forward(&self) -> bool {
        self.persistence.as_ref().is_none_or(|persistence| persistence.recovery.may_forward())
    }

    /// Retry-After of clients that are turned away before service begins, if one is sent: spread by id so
    /// that they do not retry all at once.
    pub(super) fn recovery_retry_after(&self, id: &str, now: Micros) -> Option<Micros> {
        let time_left =
            self.persistence.as_ref().map_or(0, |persistence| persistence.recovery.time_to_service(now));
        let spread = topazsail::hash(id.as_bytes()) % RETRY_AFTER_SPREAD as u64;
        self.max_retry_after.map(|max_retry_after| (time_left + spread as Micros).min(max_retry_after))
    }

    /// Whether an invocation is admitted; always true unless a cold fleet limits admission. The random
    /// draw is derived from the id.
    pub(super) fn admits(&mut self, operation: usize, id: &str, now: Micros) -> bool {
        if self.current_warmth(now).is_none() {
            return true;
        }
        let Some(persistence) = &mut self.persistence else { return true };
        let draw = topazsail::hash(id.as_bytes()) as f64 / u64::MAX as f64;
        persistence.admission_limits.admit(operation, draw, now)
    }

    /// The share of its full capacity that the fleet has; `None` unless recovery is in the stage in which
    /// that limits admission. A newly computed share is passed to recovery, which may end that stage.
    fn current_warmth(&mut self, now: Micros) -> Option<f64> {
        let persistence =
            self.persistence.as_mut().filter(|persistence| persistence.stage() == Stage::Limited)?;
        if now >= persistence.cached_warmth.1 + WARMTH_CACHE_WINDOW {
            let (warm, listed_count) = self.membership.warm_capacity(self.cold_capacity_share, now);
            let expected_count = listed_count.max(persistence.initial_runners).max(1);
            persistence.cached_warmth = (warm / expected_count as f64, now);
            let warmth = persistence.cached_warmth.0;
            for action in persistence.recovery.handle(now, recovery::Event::Warmth(warmth)) {
                if let Action::Enter(stage, why) = action {
                    log!("stage", "stage={} {why}", stage.code());
                }
            }
            self.announce_stage();
            return Some(warmth);
        }
        Some(persistence.cached_warmth.0)
    }

    /// Records that an admitted invocation was throttled.
    pub(super) fn record_throttling(&mut self, now: Micros) {
        if let Some(warmth) = self.current_warmth(now)
            && let Some(persistence) = &mut self.persistence
        {
            persistence.admission_limits.record_shortage(warmth, now);
        }
    }

    /// Records a success with its latency.
    pub(super) fn record_success(&mut self, operation: usize, latency: Micros) {
        if let Some(persistence) =
            self.persistence.as_mut().filter(|persistence| persistence.stage() == Stage::Limited)
        {
            persistence.admission_limits.record_success(operation, latency);
        }
    }

    /// Why this process must not serve: it requires a store and has none.
    pub fn fatal_error(&self) -> Option<String> {
        self.persistence.as_ref()?.fatal_error.clone()
    }

    /// Advances recovery when its stage may have timed out.
    pub(super) fn recovery_timer_fired(&mut self, driver: &mut dyn ConnectionDriver) {
        let Some(persistence) = &mut self.persistence else { return };
        let was_finding = persistence.stage() == Stage::Finding;
        let actions = persistence.recovery.tick(driver.now());
        if was_finding && !actions.is_empty() {
            persistence.record_store_failure("not read in time");
        }
        self.apply_recovery_actions(actions, driver);
        // The fleet may have become warm although no invocations come.
        self.current_warmth(driver.now());
        self.arm_recovery_timer(driver);
    }

    /// Sets the timer for the next check of the stage, unless one is set that fires in time.
    fn arm_recovery_timer(&mut self, driver: &mut dyn ConnectionDriver) {
        let now = driver.now();
        let Some(persistence) = &mut self.persistence else { return };
        let Some(due) = persistence.recovery.next_tick() else { return };
        let is_limited = persistence.stage() == Stage::Limited;
        let at = if is_limited { due.min(now + LIMITED_CHECK_INTERVAL) } else { due };
        // A timer that is set already and fires in time will set the next one.
        if persistence.timer_at <= now || at < persistence.timer_at {
            persistence.timer_at = at;
            driver.set_timer(Timer::RecoveryStage, at);
        }
    }

    /// Carries out the actions of recovery.
    fn apply_recovery_actions(&mut self, actions: Vec<Action>, driver: &mut dyn ConnectionDriver) {
        for action in actions {
            match action {
                Action::Enter(stage, why) => {
                    log!("stage", "stage={} {why}", stage.code());
                    self.announce_stage();
                }
                Action::ChooseRoster => self.begin_with_roster(driver),
                Action::Serve => self.clients.set_ready(self.shutdown_since.is_none()),
            }
        }
        self.arm_recovery_timer(driver);
    }

    /// Passes an event to recovery and carries out its actions.
    pub(super) fn handle_recovery_event(
        &mut self,
        event: recovery::Event,
        driver: &mut dyn ConnectionDriver,
    ) {
        let Some(persistence) = &mut self.persistence else { return };
        let actions = persistence.recovery.handle(driver.now(), event);
        if !actions.is_empty() {
            self.apply_recovery_actions(actions, driver);
        }
    }

    /// Requests a boot number above `boot`, which a peer knows; until then this process has none.
    pub(super) fn raise_boot_above(&mut self, boot: u64) {
        if let Some(persistence) = &mut self.persistence {
            persistence.boot = None;
            persistence.store_thread.raise_boot_above(boot);
        }
    }

    /// Chooses the roster to begin with and applies it, together with the stored admin overrides and
    /// slow-start usage.
    fn begin_with_roster(&mut self, driver: &mut dyn ConnectionDriver) {
        let now = driver.now();
        let boot = self.persistence.as_ref().and_then(|persistence| persistence.boot);
        let loaded = self.persistence.as_mut().and_then(|persistence| persistence.loaded.take());
        self.join_peers(boot, loaded.as_deref(), driver);
        let Some(persistence) = &mut self.persistence else { return };
        let (configured_roster, started_at) =
            (persistence.configured_roster.take().unwrap_or_default(), persistence.started_at);
        let discovery = self.roster.discovery().to_string();
        let stored = loaded.as_ref().and_then(|loaded| loaded.roster.as_ref());
        let stored_snapshot = stored
            .and_then(|stored| Some((stored, serde_json::from_str::<RosterSnapshot>(&stored.json).ok()?)));
        let known_roster = |discovery, snapshot: &RosterSnapshot| KnownRoster {
            discovery,
            generation: snapshot.generation,
            runners: snapshot.len(),
        };
        let stored = stored_snapshot
            .as_ref()
            .map(|(stored, snapshot)| known_roster(stored.discovery.as_str(), snapshot));
        let (source, why) = recovery::choose_roster(stored, known_roster(&discovery, &configured_roster));
        log!("trusts", "item=list source={source:?} reason={why:?}");
        let chosen = match stored_snapshot {
            Some((_, snapshot)) if source == Source::Store => snapshot,
            _ => configured_roster,
        };
        self.roster.resume_from(chosen.generation, self.roster.certain_until());
        (persistence.initial_runners, persistence.admission_limits) =
            (chosen.len(), AdmissionLimits::new(self.operation_values.iter().copied(), now));
        let mut pause = 0;
        if let Some(loaded) = &loaded {
            pause = recovery::cold_runner_pause(&loaded.summary, self.overload_window);
            self.restore_admin_overrides(loaded, driver);
            self.announce_unknown_overrides(driver);
        }
        if pause > 0 {
            let entries = self.membership.pause_cold_runners(now + pause, started_at, now);
            debug_assert!(entries.is_empty(), "no runner may be listed yet");
            log!("trusts", "item=spent belief=dropped rest_ms={}", pause / 1000);
            driver.set_timer(Timer::ColdRunnerPause, now + pause);
        }
        self.apply_listing(roster::RosterEvent::local(Listing::Remembered, chosen.entries()), driver);
        if let Some(loaded) = loaded {
            let (trust, why) = recovery::trust_slow_start_usage(&loaded.summary);
            if let Some(usage) = loaded.slow_start_usage.filter(|_| trust == Trust::Trusted) {
                log!("trusts", "item=spent belief=trusted reason={why:?} runners={}", usage.runners.len());
                // Usage is stored as ages at the end of the process run. The time since then is known only as
                // a lower bound, and the usage may be older: that errs on the safe side.
                let ended_at = now - loaded.summary.min_downtime;
                let absolute = |work: Vec<(Micros, f64)>| {
                    work.into_iter().map(move |(ago, w)| (ended_at - ago, w)).collect()
                };
                let usage = usage.runners.into_iter().map(|(id, work)| (id.into(), absolute(work))).collect();
                self.pending_events.push(Event::SlowStartUsage(usage));
            }
        }
    }

    /// Restores the stored admin overrides. They apply even if other stored data is not trusted.
    fn restore_admin_overrides(&mut self, loaded: &LoadedStore, driver: &mut dyn ConnectionDriver) {
        let (trust, why) = recovery::trust_admin_overrides(&loaded.summary);
        let out = loaded
            .admin_overrides
            .iter()
            .filter(|(_, admin_override)| admin_override.out_since.is_some())
            .count();
        log!("trusts", "item=hands belief={trust:?} out={out} reason={why:?}");
        for (id, admin_override) in &loaded.admin_overrides {
            // An override made since the start takes precedence.
            if self.membership.admin_override(id) == (None, None) {
                self.membership.inherit(id, admin_override.out_since, admin_override.was_out);
            }
        }
        self.republish_members(driver);
    }

    /// Handles the events of the store thread.
    pub(super) fn collect_store_events(&mut self, driver: &mut dyn ConnectionDriver) {
        let Some(persistence) = &mut self.persistence else { return };
        for event in persistence.store_thread.incoming() {
            let Some(persistence) = &mut self.persistence else { return };
            match event {
                StoreEvent::Opened(loaded) => {
                    persistence.boot = loaded.boot;
                    persistence.store_failure = None;
                    if let Some(why) = &loaded.summary.write_error {
                        persistence.record_store_failure(&why.to_string());
                    }
                    let boot = loaded.boot;
                    if persistence.stage() == Stage::Finding {
                        let event = recovery::Event::StoreOpened { summary: &loaded.summary, boot };
                        let actions = persistence.recovery.handle(driver.now(), event);
                        persistence.loaded = Some(loaded);
                        self.store_settings();
                        self.apply_recovery_actions(actions, driver);
                    } else {
                        // The store opened late, or after an upgrade that failed: admin overrides are applied
                        // all the same.
                        log!("store", "state=opened boot={boot:?}");
                        self.restore_admin_overrides(&loaded, driver);
                        self.join_peers(boot, Some(&loaded), driver);
                        self.announce_unknown_overrides(driver);
                        self.store_all(driver);
                    }
                }
                StoreEvent::OpenFailed(why) => {
                    log!("store", "state=refused reason={why:?}");
                    persistence.record_store_failure(&why);
                    let event = recovery::Event::StoreUnavailable { reason: &why };
                    let actions = persistence.recovery.handle(driver.now(), event);
                    self.apply_recovery_actions(actions, driver);
                }
                StoreEvent::Synced(ticket, written) => self.finish_stored_call(ticket, written, driver),
                StoreEvent::Health(Ok(boot)) => {
                    (persistence.boot, persistence.store_failure) = (boot, None);
                    log!("store", "state=well boot={}", boot.unwrap_or(0));
                    self.set_peer_boot(boot);
                }
                StoreEvent::Health(Err(why)) => {
                    log!("store", "state=failing reason={why:?}");
                    persistence.store_failure = Some(why);
                }
                StoreEvent::Closed => log!("store", "state=released"),
            }
        }
    }

    /// Passes an update from discovery, or its refusal, to recovery, and schedules a write of the roster.
    pub(super) fn note_listing(&mut self, listing: Listing, driver: &mut dyn ConnectionDriver) {
        let Some(persistence) = &mut self.persistence else { return };
        let event = match listing {
            Listing::All | Listing::Changes => recovery::Event::RosterReceived,
            Listing::Refused => recovery::Event::DiscoveryFailed,
            Listing::Remembered | Listing::Local => return,
        };
        let roster_received = matches!(event, recovery::Event::RosterReceived);
        let actions = persistence.recovery.handle(driver.now(), event);
        if roster_received && !std::mem::replace(&mut persistence.roster_write_is_scheduled, true) {
            let extra_delay =
                (persistence.stored_roster_bytes / ROSTER_BYTES_PER_DELAY) as Micros * ROSTER_WRITE_DELAY;
            driver.set_timer(Timer::Persist, driver.now() + ROSTER_WRITE_DELAY + extra_delay);
        }
        self.apply_recovery_actions(actions, driver);
    }

    /// Stores the current roster for the next process run.
    pub(super) fn store_roster(&mut self) {
        let roster = self.current_roster();
        let discovery = self.roster.discovery().to_string();
        let Some(persistence) = &mut self.persistence else { return };
        persistence.roster_write_is_scheduled = false;
        let Some((generation, json)) = roster else { return };
        let json = json.to_string();
        persistence.stored_roster_bytes = json.len();
        persistence.store_thread.put("", Some(&StoredRoster { discovery, generation, json }));
    }

    /// Stores the configuration in force, and logs if its settings differ from those of the previous process
    /// run.
    pub(super) fn store_settings(&mut self) {
        let Some(persistence) = &mut self.persistence else { return };
        let settings = self.active_file.get("settings").map(ToString::to_string).unwrap_or_default();
        let version = topazsail::hash(settings.as_bytes());
        let previous = persistence.loaded.as_ref().and_then(|loaded| loaded.settings.as_ref());
        if let Some(previous) = previous.filter(|previous| previous.version != version) {
            log!(
                "trusts",
                "item=settings source=File reason=\"differs from {:016x} before\"",
                previous.version
            );
        }
        persistence
            .store_thread
            .put("", Some(&StoredSettings { version, json: self.active_file.to_string() }));
    }

    /// Stores settings, roster and admin overrides in a store that has just been opened.
    fn store_all(&mut self, driver: &mut dyn ConnectionDriver) {
        self.store_settings();
        self.store_roster();
        for id in self.membership.overridden_ids() {
            self.store_admin_override(&id, None, driver);
        }
    }

    /// Stores the admin override of a runner; an operator's `call` is answered once it is on the disk.
    pub(super) fn store_admin_override(
        &mut self,
        id: &str,
        call: Option<(ConnectionId, Call)>,
        driver: &mut dyn ConnectionDriver,
    ) {
        let (out_since, was_out) = self.membership.admin_override(id);
        let stored = |AdminCall { author, number, stands }| StoredCall { author, number, stands };
        let calls: Vec<StoredCall> = self.exchanged_calls(id).into_iter().map(stored).collect();
        let Some(persistence) = &mut self.persistence else { return };
        let count = calls.iter().map(|call| call.number).max().unwrap_or(0);
        let admin_override = StoredOverride { out_since, was_out, count, author: 0, calls };
        match call {
            None => persistence.store_thread.put(id, Some(&admin_override)),
            Some(call) => {
                let ticket = persistence.store_thread.put_and_sync(id, Some(&admin_override));
                persistence.waiting_calls.insert(ticket, call);
                driver.set_timer(Timer::PersistTimeout(ticket), driver.now() + OPERATOR_WRITE_TIMEOUT);
            }
        }
    }

    /// Answers an operator's call whose write has succeeded or failed.
    pub(super) fn finish_stored_call(
        &mut self,
        ticket: u64,
        written: Result<(), String>,
        driver: &mut dyn ConnectionDriver,
    ) {
        let Some(persistence) = &mut self.persistence else { return };
        let Some((connection, call)) = persistence.waiting_calls.remove(&ticket) else { return };
        let answer = match written {
            Ok(()) => "YES\n".to_owned(),
            Err(why) => {
                log!("not-kept", "call={call:?} reason={why:?}");
                format!("NO it holds here until a restart, and is not kept: {why}\n")
            }
        };
        self.operators.answer(connection, &answer, driver);
    }

    /// Answers an operator's call that the disk has kept waiting for too long.
    pub(super) fn time_out_stored_call(&mut self, ticket: u64, driver: &mut dyn ConnectionDriver) {
        self.finish_stored_call(ticket, Err("the disk has not answered in time".to_owned()), driver);
    }

    /// Releases the store to another process, or opens it again for this one.
    pub(super) fn release_store(&mut self, released: bool) {
        let Some(persistence) = &mut self.persistence else { return };
        if released {
            persistence.store_thread.close();
        } else {
            persistence.store_thread.open();
        }
    }

    /// Stores the roster and the slow-start usage at a regular end, so that the next process run knows the
    /// usage up to the last forward, and closes the store within `timeout`.
    pub fn close_store(mut self, now: Micros, timeout: std::time::Duration) {
        let usage = self.policy.slow_start_usage(now);
        self.store_roster();
        let Some(mut persistence) = self.persistence.take() else { return };
        let ages = |work: Vec<(Micros, f64)>| work.into_iter().map(|(at, w)| (now - at, w)).collect();
        let runners = usage.into_iter().map(|(id, work)| (id.to_string(), ages(work))).collect();
        persistence.store_thread.put("", Some(&StoredSlowStartUsage { runners }));
        let is_clean = persistence.store_thread.finish(timeout);
        log!("store", "state=closed clean={is_clean}");
    }
}
