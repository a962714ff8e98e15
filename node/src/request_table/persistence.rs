//! What the desk does with its store: begins with what the last life has left, and keeps what the next must know.
//!
//! It owns which answers wait for the disk. What is believed and in which order service begins is `recovery`'s to say,
//! when something is on the disk the keeper's.

use std::collections::BTreeMap;

use topazsail::{Event, Listing, Micros};
use topazsail_recovery::limits::AdmissionLimits;
use topazsail_recovery::{self as recovery, Action, KnownRoster, Recovery, Source, Stage, Trust};
use topazsail_store::stored_types::{StoredOverride, StoredRoster, StoredSettings, StoredSlowStartUsage};

use super::RequestTable;
use crate::ingress::operators::Call;
use crate::lifecycle::store_thread::{LoadedStore, StoreEvent, StoreThread};
use crate::net::connection::{ConnectionDriver, ConnectionId, Timer};
use crate::net::log::log;
use crate::upstream::roster::{self, RosterSnapshot};

/// An operator's answer waits for the disk no longer than this.
const KEPT_WITHIN: Micros = 2_000_000;
/// A list that has changed is kept after this, the more so the longer it is: at most a megabyte in four seconds.
const LIST_AFTER: Micros = 1_000_000;
const LIST_BYTES: usize = 256 << 10;
/// Those who come before there is service come back within this after it, not all at once.
const SPREAD: Micros = 1_000_000;

/// What stands between a start and its end on the disk.
pub struct Persistence {
    store_thread: StoreThread,
    recovery: Recovery,
    /// The list that the configuration remembers, until it is known which one to begin with.
    file: Option<RosterSnapshot>,
    /// When this process began: whoever started later had nothing from the life before.
    began: Micros,
    /// What the last life left, until it has been used.
    left: Option<Box<LoadedStore>>,
    boot: Option<u64>,
    /// Why the disk cannot be relied on now, if so.
    failing: Option<String>,
    /// Operators that wait for the disk, and their calls.
    calls: BTreeMap<u64, (ConnectionId, Call)>,
    /// A write of the list is due; how long the last one was.
    list_due: bool,
    list_length: usize,
    /// When the stage is to be looked at next.
    armed: Micros,
    /// Without a store there is no service; and why there is none, then.
    require: bool,
    fatal: Option<String>,
    limits: AdmissionLimits,
    /// Runners that the list to begin with had; and warmth as it was a moment ago.
    began_with: usize,
    warmth: (f64, Micros),
}

/// Warmth is looked at again after so long; where nothing comes after so long.
const WARMTH_AGAIN: Micros = 50_000;
const LIMITED_AGAIN: Micros = 500_000;

impl Persistence {
    pub fn new(
        store_thread: StoreThread,
        (require, peers): (bool, bool),
        file: Option<RosterSnapshot>,
        now: Micros,
    ) -> Persistence {
        Persistence {
            store_thread,
            recovery: Recovery::new(peers, now),
            file,
            began: now,
            left: None,
            boot: None,
            failing: None,
            calls: BTreeMap::new(),
            list_due: false,
            list_length: 0,
            armed: Micros::MIN,
            require,
            fatal: None,
            limits: AdmissionLimits::new(std::iter::empty(), now),
            began_with: 0,
            warmth: (0.0, Micros::MIN),
        }
    }

    /// Another process has handed all over: there is nothing to recover.
    pub fn in_service(mut self) -> Persistence {
        self.recovery = Recovery::in_service();
        self
    }

    /// Nothing is kept for now, and why. A start that must not do without ends here; who serves already goes on.
    fn without(&mut self, why: &str) {
        self.failing = Some(why.to_owned());
        if self.require && self.stage() < Stage::Listed {
            self.fatal = Some(format!("store.folder: {why}"));
        }
    }

    pub fn stage(&self) -> Stage {
        self.recovery.stage()
    }

    /// How it stands with the store, in the words of `status`.
    pub fn status(&self) -> String {
        // Others may have heard of a later life: until they have been asked the number may not be the last word.
        let boot = self.boot.filter(|_| self.stage() >= Stage::Asked);
        let boot = boot.map_or_else(|| "none".to_owned(), |boot| boot.to_string());
        let store = if self.failing.is_some() { "failing" } else { "well" };
        format!("stage={} boot={boot} store={store}", self.stage().code())
    }

    pub fn metrics(&self) -> [(&'static str, u64); 4] {
        [
            ("boot", self.boot.unwrap_or(0)),
            ("stage", self.stage() as u64),
            ("store_well", u64::from(self.failing.is_none())),
            ("store_dropped", self.store_thread.dropped),
        ]
    }
}

impl RequestTable {
    /// A start from nothing, with a store: nothing is listed before that has been read.
    pub(super) fn recover(&mut self, driver: &mut dyn ConnectionDriver) {
        self.clients.set_ready(false);
        self.arm(driver);
    }

    /// Whether anything may be forwarded: not before there is a list.
    pub(super) fn may_forward(&self) -> bool {
        self.persistence.as_ref().is_none_or(|persistence| persistence.recovery.may_forward())
    }

    /// When those who come before there is service are to come back: spread, so that they do not come together.
    pub(super) fn come_back_after(&self, id: &str, now: Micros) -> Option<Micros> {
        let left = self.persistence.as_ref().map_or(0, |persistence| persistence.recovery.left(now));
        let spread = topazsail::hash(id.as_bytes()) % SPREAD as u64;
        self.come_back_most.map(|most| (left + spread as Micros).min(most))
    }

    /// Whether one that comes now is taken, as far as a cold fleet limits what is.
    pub(super) fn limits(&mut self, operation: usize, id: &str, now: Micros) -> bool {
        if self.warmth(now).is_none() {
            return true;
        }
        let Some(persistence) = &mut self.persistence else { return true };
        let drawn = topazsail::hash(id.as_bytes()) as f64 / u64::MAX as f64;
        persistence.limits.takes(operation, drawn, now)
    }

    /// The share of its full capacity that the fleet has, while that limits anything.
    fn warmth(&mut self, now: Micros) -> Option<f64> {
        let persistence =
            self.persistence.as_mut().filter(|persistence| persistence.stage() == Stage::Limited)?;
        if now >= persistence.warmth.1 + WARMTH_AGAIN {
            let (warm, listed) = self.members.warm_capacity(self.cold_from, now);
            let all = listed.max(persistence.began_with).max(1);
            persistence.warmth = (warm / all as f64, now);
            let warmth = persistence.warmth.0;
            for action in persistence.recovery.handle(now, recovery::Event::Warmth(warmth)) {
                if let Action::Enter(stage, why) = action {
                    log!("stage", "stage={} {why}", stage.code());
                }
            }
            self.stage_for_peers();
            return Some(warmth);
        }
        Some(persistence.warmth.0)
    }

    /// Something that was taken found no room.
    pub(super) fn was_short(&mut self, now: Micros) {
        if let Some(warmth) = self.warmth(now)
            && let Some(persistence) = &mut self.persistence
        {
            persistence.limits.short(warmth, now);
        }
    }

    /// One has succeeded, so long after it was taken.
    pub(super) fn took(&mut self, operation: usize, took: Micros) {
        if let Some(persistence) =
            self.persistence.as_mut().filter(|persistence| persistence.stage() == Stage::Limited)
        {
            persistence.limits.succeeded(operation, took);
        }
    }

    /// Why this process must not serve, where it has no store and must not do without.
    pub fn fatal(&self) -> Option<String> {
        self.persistence.as_ref()?.fatal.clone()
    }

    pub(super) fn recovery_due(&mut self, driver: &mut dyn ConnectionDriver) {
        let Some(persistence) = &mut self.persistence else { return };
        let finding = persistence.stage() == Stage::Finding;
        let actions = persistence.recovery.tick(driver.now());
        if finding && !actions.is_empty() {
            persistence.without("not read in time");
        }
        self.enter(actions, driver);
        // Whether the fleet has become warm shows also where nothing comes.
        self.warmth(driver.now());
        self.arm(driver);
    }

    /// Asks for the next look at the stage, once.
    fn arm(&mut self, driver: &mut dyn ConnectionDriver) {
        let now = driver.now();
        let Some(persistence) = &mut self.persistence else { return };
        let Some(due) = persistence.recovery.due() else { return };
        let limited = persistence.stage() == Stage::Limited;
        let at = if limited { due.min(now + LIMITED_AGAIN) } else { due };
        // One that is asked for already, and comes in time, will ask for the next.
        if persistence.armed <= now || at < persistence.armed {
            persistence.armed = at;
            driver.set_timer(Timer::Recovery, at);
        }
    }

    fn enter(&mut self, actions: Vec<Action>, driver: &mut dyn ConnectionDriver) {
        for action in actions {
            match action {
                Action::Enter(stage, why) => {
                    log!("stage", "stage={} {why}", stage.code());
                    self.stage_for_peers();
                }
                Action::Begin => self.begin(driver),
                Action::Serve => self.clients.set_ready(self.down_since.is_none()),
            }
        }
        self.arm(driver);
    }

    pub(super) fn heard_of_peers(&mut self, event: recovery::Event, driver: &mut dyn ConnectionDriver) {
        let Some(persistence) = &mut self.persistence else { return };
        let actions = persistence.recovery.handle(driver.now(), event);
        if !actions.is_empty() {
            self.enter(actions, driver);
        }
    }

    pub(super) fn keep_above(&mut self, heard: u64) {
        if let Some(persistence) = &mut self.persistence {
            persistence.boot = None;
            persistence.store_thread.above(heard);
        }
    }

    /// The list to begin with, and what holds of it.
    fn begin(&mut self, driver: &mut dyn ConnectionDriver) {
        let now = driver.now();
        let boot = self.persistence.as_ref().and_then(|persistence| persistence.boot);
        let left = self.persistence.as_mut().and_then(|persistence| persistence.left.take());
        self.meet(boot, left.as_deref(), driver);
        let Some(persistence) = &mut self.persistence else { return };
        let (file, began) = (persistence.file.take().unwrap_or_default(), persistence.began);
        let discovery = self.roster.discovery().to_string();
        let stored = left.as_ref().and_then(|left| left.list.as_ref());
        let listed =
            stored.and_then(|list| Some((list, serde_json::from_str::<RosterSnapshot>(&list.json).ok()?)));
        let known = |discovery, listed: &RosterSnapshot| KnownRoster {
            discovery,
            generation: listed.generation,
            runners: listed.len(),
        };
        let stored = listed.as_ref().map(|(list, listed)| known(list.discovery.as_str(), listed));
        let (source, why) = recovery::choose_roster(stored, known(&discovery, &file));
        log!("trusts", "item=list source={source:?} reason={why:?}");
        let chosen = match listed {
            Some((_, listed)) if source == Source::Store => listed,
            _ => file,
        };
        self.roster.resume_from(chosen.generation, self.roster.certain_until());
        (persistence.began_with, persistence.limits) =
            (chosen.len(), AdmissionLimits::new(self.worth.iter().copied(), now));
        let mut rest = 0;
        if let Some(left) = &left {
            rest = recovery::cold_runner_pause(&left.found, self.tip_after);
            self.take_hands(left, driver);
        }
        if rest > 0 {
            let entries = self.members.pause_cold_runners(now + rest, began, now);
            debug_assert!(entries.is_empty(), "nothing is listed yet");
            log!("trusts", "item=spent belief=dropped rest_ms={}", rest / 1000);
            driver.set_timer(Timer::Rested, now + rest);
        }
        self.list(
            roster::RosterEvent {
                listing: Listing::Remembered,
                previous_contact: None,
                entries: chosen.entries(),
            },
            driver,
        );
        if let Some(left) = left {
            let (belief, why) = recovery::trust_slow_start_usage(&left.found);
            if let Some(spent) = left.spent.filter(|_| belief == Trust::Trusted) {
                log!("trusts", "item=spent belief=trusted reason={why:?} runners={}", spent.runners.len());
                // It is told as how long before the life's end; that it is over for longer only helps.
                let end = now - left.found.away;
                let at =
                    |work: Vec<(Micros, f64)>| work.into_iter().map(move |(ago, w)| (end - ago, w)).collect();
                let spent = spent.runners.into_iter().map(|(id, work)| (id.into(), at(work))).collect();
                self.happened.push(Event::SlowStartUsage(spent));
            }
        }
    }

    /// Who was out by hand is out, whatever else is in doubt.
    fn take_hands(&mut self, left: &LoadedStore, driver: &mut dyn ConnectionDriver) {
        let (belief, why) = recovery::trust_admin_overrides(&left.found);
        let out = left.hands.iter().filter(|(_, hand)| hand.out_since.is_some()).count();
        log!("trusts", "item=hands belief={belief:?} out={out} reason={why:?}");
        for (id, hand) in &left.hands {
            // What has been said since the start goes first.
            if self.members.admin_override(id) == (None, None) {
                self.members.inherit(id, hand.out_since, hand.was_out);
            }
        }
        self.stand_anew(driver);
    }

    /// What the keeper has to say.
    pub(super) fn heard_of_disk(&mut self, driver: &mut dyn ConnectionDriver) {
        let Some(persistence) = &mut self.persistence else { return };
        for told in persistence.store_thread.heard() {
            let Some(persistence) = &mut self.persistence else { return };
            match told {
                StoreEvent::Opened(left) => {
                    persistence.boot = left.boot;
                    persistence.failing = None;
                    if let Some(why) = &left.found.unwritten {
                        persistence.without(&why.to_string());
                    }
                    let boot = left.boot;
                    if persistence.stage() == Stage::Finding {
                        let event = recovery::Event::Opened { found: &left.found, boot };
                        let actions = persistence.recovery.handle(driver.now(), event);
                        persistence.left = Some(left);
                        self.keep_settings();
                        self.enter(actions, driver);
                    } else {
                        // It comes late, or after an upgrade that came to nothing: bans hold all the same.
                        log!("store", "state=opened boot={boot:?}");
                        self.take_hands(&left, driver);
                        self.meet(boot, Some(&left), driver);
                        self.keep_all(driver);
                    }
                }
                StoreEvent::Unopened(why) => {
                    log!("store", "state=refused reason={why:?}");
                    persistence.without(&why);
                    let event = recovery::Event::Unopened { why: &why };
                    let actions = persistence.recovery.handle(driver.now(), event);
                    self.enter(actions, driver);
                }
                StoreEvent::Synced(ticket, kept) => self.kept(ticket, kept, driver),
                StoreEvent::Health(Ok(boot)) => {
                    (persistence.boot, persistence.failing) = (boot, None);
                    log!("store", "state=well boot={}", boot.unwrap_or(0));
                    self.meet_numbered(boot);
                }
                StoreEvent::Health(Err(why)) => {
                    log!("store", "state=failing reason={why:?}");
                    persistence.failing = Some(why);
                }
                StoreEvent::Closed => log!("store", "state=released"),
            }
        }
    }

    /// Discovery has been heard, or not.
    pub(super) fn heard_of_list(&mut self, listing: Listing, driver: &mut dyn ConnectionDriver) {
        let Some(persistence) = &mut self.persistence else { return };
        let event = match listing {
            Listing::All | Listing::Changes => recovery::Event::Heard,
            Listing::Refused => recovery::Event::Refused,
            Listing::Remembered | Listing::Own => return,
        };
        let fresh = matches!(event, recovery::Event::Heard);
        let actions = persistence.recovery.handle(driver.now(), event);
        if fresh && !std::mem::replace(&mut persistence.list_due, true) {
            let more = (persistence.list_length / LIST_BYTES) as Micros * LIST_AFTER;
            driver.set_timer(Timer::Keep, driver.now() + LIST_AFTER + more);
        }
        self.enter(actions, driver);
    }

    /// The list as it is now, for the next life.
    pub(super) fn keep_list(&mut self) {
        let list = self.as_listed();
        let discovery = self.roster.discovery().to_string();
        let Some(persistence) = &mut self.persistence else { return };
        persistence.list_due = false;
        let Some((generation, json)) = list else { return };
        let json = json.to_string();
        persistence.list_length = json.len();
        persistence.store_thread.keep("", Some(&StoredRoster { discovery, generation, json }));
    }

    pub(super) fn keep_settings(&mut self) {
        let Some(persistence) = &mut self.persistence else { return };
        let settings = self.file.get("settings").map(ToString::to_string).unwrap_or_default();
        let version = topazsail::hash(settings.as_bytes());
        let known = persistence.left.as_ref().and_then(|left| left.settings.as_ref());
        if let Some(known) = known.filter(|known| known.version != version) {
            log!("trusts", "item=settings source=File reason=\"differs from {:016x} before\"", known.version);
        }
        persistence.store_thread.keep("", Some(&StoredSettings { version, json: self.file.to_string() }));
    }

    fn keep_all(&mut self, driver: &mut dyn ConnectionDriver) {
        self.keep_settings();
        self.keep_list();
        for id in self.members.overridden_ids() {
            self.keep_hand(&id, None, driver);
        }
    }

    /// What the hand has done to a runner is kept; whoever called is answered once it is.
    pub(super) fn keep_hand(
        &mut self,
        id: &str,
        call: Option<(ConnectionId, Call)>,
        driver: &mut dyn ConnectionDriver,
    ) {
        let (out_since, was_out) = self.members.admin_override(id);
        let (count, author) = self.hand_version(id);
        let Some(persistence) = &mut self.persistence else { return };
        let hand = StoredOverride { out_since, was_out, count, author };
        match call {
            None => persistence.store_thread.keep(id, Some(&hand)),
            Some(call) => {
                let ticket = persistence.store_thread.keep_now(id, Some(&hand));
                persistence.calls.insert(ticket, call);
                driver.set_timer(Timer::Kept(ticket), driver.now() + KEPT_WITHIN);
            }
        }
    }

    /// The disk has kept what an operator waits for, or has not.
    pub(super) fn kept(&mut self, ticket: u64, kept: Result<(), String>, driver: &mut dyn ConnectionDriver) {
        let Some(persistence) = &mut self.persistence else { return };
        let Some((connection, call)) = persistence.calls.remove(&ticket) else { return };
        let answer = match kept {
            Ok(()) => "YES\n".to_owned(),
            Err(why) => {
                log!("not-kept", "call={call:?} reason={why:?}");
                format!("NO it holds here until a restart, and is not kept: {why}\n")
            }
        };
        self.operators.answer(connection, &answer, driver);
    }

    pub(super) fn not_kept_in_time(&mut self, ticket: u64, driver: &mut dyn ConnectionDriver) {
        self.kept(ticket, Err("the disk has not answered in time".to_owned()), driver);
    }

    /// Another process has the folder from now on, or this one again.
    pub(super) fn release(&mut self, released: bool) {
        let Some(persistence) = &mut self.persistence else { return };
        if released {
            persistence.store_thread.close();
        } else {
            persistence.store_thread.open();
        }
    }

    /// The process ends as it should: the next life knows to the last forward what was spent.
    pub fn leave(mut self, now: Micros, within: std::time::Duration) {
        let spent = self.policy.slow_start_usage(now);
        self.keep_list();
        let Some(mut persistence) = self.persistence.take() else { return };
        let ago = |work: Vec<(Micros, f64)>| work.into_iter().map(|(at, w)| (now - at, w)).collect();
        let runners = spent.into_iter().map(|(id, work)| (id.to_string(), ago(work))).collect();
        persistence.store_thread.keep("", Some(&StoredSlowStartUsage { runners }));
        let clean = persistence.store_thread.finish(within);
        log!("store", "state=closed clean={clean}");
    }
}
