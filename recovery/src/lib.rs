//! Startup recovery: the stages from process start to full service, and which stored data is trusted after a
//! crash.
//!
//! This is a state machine without I/O, clock or randomness: the caller passes in events and the time, and
//! carries out the returned actions. Every stage has a deadline, after which the dispatcher goes on with less
//! information and logs that it did, so that a start never waits indefinitely. Two rules always hold: nothing
//! is forwarded before a roster is known, and slow-start budget that the previous process run may have used
//! is not granted again. `docs/recovery.md` has the table of what is trusted.

pub mod limits;

use topazsail_store::{IntegrityWarning, LoadSummary, Micros};

/// Time from process start within which the store must have been read. After it the dispatcher goes on
/// without a store, so that a hanging disk does not prevent service.
pub const STORE_READ_TIMEOUT: Micros = 5_000_000;
/// Time from [`Stage::Numbered`] within which half of the peers must have agreed. After it the dispatcher
/// goes on alone, so that a single survivor can serve.
pub const PEERS_TIMEOUT: Micros = 700_000;
/// Time from [`Stage::Asked`] within which discovery must have delivered the roster. After it the remembered
/// roster is used.
pub const DISCOVERY_TIMEOUT: Micros = 500_000;

/// Longest time in [`Stage::Limited`]. After it the fleet counts as warm, whatever start times the roster
/// reports.
pub const MAX_LIMITED_SPAN: Micros = 60_000_000;

/// How far startup has come. The numeric value is sent to peers and exported as a metric.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// The store is being read.
    Finding,
    /// The store's contents are known and this process run's boot number is on the disk, or neither is
    /// available.
    Numbered,
    /// Half of the peers have answered and agree on the admin overrides, or there are no peers, or they did
    /// not answer in time.
    Asked,
    /// A roster is known; forwarding is allowed.
    Listed,
    /// The fleet is cold. Once a shortage is seen, operations with the highest value for their work are
    /// admitted first (see [`limits`]).
    Limited,
    /// Recovery is complete: everything is admitted.
    Serving,
}

impl Stage {
    /// Name of the stage in log lines and in `status`.
    pub fn code(self) -> &'static str {
        match self {
            Stage::Finding => "finding",
            Stage::Numbered => "numbered",
            Stage::Asked => "asked",
            Stage::Listed => "listed",
            Stage::Limited => "limited",
            Stage::Serving => "serving",
        }
    }
}

/// How far a stored item is trusted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trust {
    /// As if it had just been received.
    Trusted,
    /// Used only until a better source contradicts it.
    Doubted,
    /// Not used.
    Dropped,
}

/// Where an item comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The store on the local disk.
    Store,
    /// The configuration file that the process was started with.
    File,
}

/// A roster that is available before discovery has answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KnownRoster<'a> {
    /// Address of the discovery service that the roster came from.
    pub discovery: &'a str,
    /// Discovery's generation number of the roster.
    pub generation: u64,
    /// Number of runners in the roster.
    pub runners: usize,
}

/// Chooses the roster to start with, and the reason for the log. Generation numbers are only comparable
/// within one discovery service, so a stored roster of another service is never used, however high its
/// number. Of two rosters of the same service the newer one is chosen, but never an empty one if the other is
/// not empty.
pub fn choose_roster(stored: Option<KnownRoster>, file: KnownRoster) -> (Source, &'static str) {
    match stored {
        None => (Source::File, "the store has none"),
        Some(stored) if stored.discovery != file.discovery => {
            (Source::File, "the store's is from another discovery")
        }
        Some(stored) if stored.runners == 0 && file.runners > 0 => (Source::File, "the store's is empty"),
        Some(stored) if stored.generation > file.generation || file.runners == 0 => {
            (Source::Store, "the store's is newer")
        }
        Some(_) => (Source::File, "the file's is as new"),
    }
}

/// Whether the stored slow-start usage of the previous process run can be trusted, and the reason for the
/// log. It is written at a clean shutdown only, so after a crash it is incomplete and dropped.
pub fn trust_slow_start_usage(summary: &LoadSummary) -> (Trust, &'static str) {
    if summary.is_new {
        (Trust::Dropped, "there was no last life")
    } else if summary.ended_cleanly {
        (Trust::Trusted, "the last life ended as it should")
    } else {
        (Trust::Dropped, "the last life was cut short")
    }
}

/// Whether the stored admin overrides can be trusted, and the reason for the log. An override that was
/// acknowledged to an operator remains in force; if the store is damaged one may be missing. A wrong clock
/// does not matter here.
pub fn trust_admin_overrides(summary: &LoadSummary) -> (Trust, &'static str) {
    if summary.warnings.iter().any(|warning| !matches!(warning, IntegrityWarning::ClockBehind { .. })) {
        (Trust::Doubted, "the store is spoilt: one may be missing")
    } else {
        (Trust::Trusted, "as said yes to")
    }
}

/// How long runners that the previous process run used must get nothing while cold. What that run sent just
/// before it crashed may still count towards their slow-start budget for `overload_window`, and the only
/// known part of the time since then is the minimum downtime that the store could prove. Zero after a clean
/// shutdown or without a previous run.
pub fn cold_runner_pause(summary: &LoadSummary, overload_window: Micros) -> Micros {
    if summary.is_new || summary.ended_cleanly { 0 } else { (overload_window - summary.min_downtime).max(0) }
}

/// Input of the state machine.
#[derive(Clone, Debug)]
pub enum Event<'a> {
    /// The store has been read. `boot` is this process run's boot number, if it is on the disk.
    StoreOpened { summary: &'a LoadSummary, boot: Option<u64> },
    /// No store is available.
    StoreUnavailable { reason: &'a str },
    /// Of `all` peers, `agree` have seen this process run and agree with it on the admin overrides.
    PeerAgreement { all: usize, agree: usize },
    /// Discovery has delivered the whole roster, or the changes since the remembered one.
    RosterReceived,
    /// Discovery has refused the request or could not be reached.
    DiscoveryFailed,
    /// The fleet's current share of its full capacity, from the start times in the roster.
    Warmth(f64),
}

/// What the caller has to do, in the order of the returned list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Log that a stage has been entered, with the reason and its details.
    Enter(Stage, String),
    /// Choose the roster to start with: the one from discovery if it has arrived, else a remembered one.
    ChooseRoster,
    /// Accept new clients and report this dispatcher as ready.
    Serve,
}

/// The startup state machine of one dispatcher.
pub struct Recovery {
    stage: Stage,
    /// When the current stage is left at the latest; `None` if it has no deadline.
    deadline: Option<Micros>,
    roster_received: bool,
    /// Discovery has failed or has not answered in time, so that the remembered roster is used.
    discovery_failed: bool,
    /// Whether any other dispatchers are configured.
    has_peers: bool,
}

impl Recovery {
    /// Starts in [`Stage::Finding`]; `has_peers` says whether other dispatchers are configured.
    pub fn new(has_peers: bool, now: Micros) -> Recovery {
        let deadline = Some(now + STORE_READ_TIMEOUT);
        Recovery {
            stage: Stage::Finding,
            deadline,
            roster_received: false,
            discovery_failed: false,
            has_peers,
        }
    }

    /// A dispatcher that takes over from a running process (upgrade) and has nothing to recover.
    pub fn in_service() -> Recovery {
        Recovery {
            stage: Stage::Serving,
            deadline: None,
            roster_received: true,
            discovery_failed: false,
            has_peers: false,
        }
    }

    /// The current stage.
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// Whether invocations may be forwarded.
    pub fn may_forward(&self) -> bool {
        self.stage >= Stage::Listed
    }

    /// When to call [`Recovery::tick`] at the latest; `None` if the current stage has no deadline.
    pub fn next_tick(&self) -> Option<Micros> {
        self.deadline
    }

    /// Upper bound of the time until forwarding begins, for the retry advice given to clients.
    pub fn time_to_service(&self, now: Micros) -> Micros {
        let remaining = self.deadline.map_or(0, |deadline| (deadline - now).max(0));
        let peers_timeout = if self.has_peers { PEERS_TIMEOUT } else { 0 };
        match self.stage {
            Stage::Finding => remaining + peers_timeout + DISCOVERY_TIMEOUT,
            Stage::Numbered => remaining + DISCOVERY_TIMEOUT,
            Stage::Asked => remaining,
            Stage::Listed | Stage::Limited | Stage::Serving => 0,
        }
    }

    /// Processes an event and returns the resulting actions. Events that come too late for the current stage
    /// have no effect.
    pub fn handle(&mut self, now: Micros, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::StoreOpened { summary, boot } if self.stage == Stage::Finding => {
                let warnings: Vec<String> =
                    summary.warnings.iter().map(IntegrityWarning::to_string).collect();
                let store = match (summary.is_new, summary.ended_cleanly, warnings.is_empty()) {
                    (true, ..) => "new".to_owned(),
                    (_, true, _) => "clean".to_owned(),
                    (_, _, true) => format!("cut short, {} bytes torn", summary.torn_bytes),
                    _ => warnings.join(", "),
                };
                let boot = boot.map_or_else(|| "none".to_owned(), |boot| boot.to_string());
                self.enter_numbered(now, format!("boot={boot} store={store:?}"), &mut actions);
            }
            Event::StoreUnavailable { reason } if self.stage == Stage::Finding => {
                self.enter_numbered(now, format!("boot=none store={reason:?}"), &mut actions);
            }
            Event::PeerAgreement { all, agree } if self.stage == Stage::Numbered && agree * 2 >= all => {
                self.enter_asked(now, &format!("peers={agree}/{all}"), &mut actions);
            }
            Event::PeerAgreement { .. } => {}
            Event::RosterReceived => {
                self.roster_received = true;
                self.enter_listed_if_known(now, &mut actions);
            }
            Event::DiscoveryFailed => {
                self.discovery_failed = true;
                self.enter_listed_if_known(now, &mut actions);
            }
            Event::Warmth(warmth) => {
                if self.stage == Stage::Limited && warmth >= limits::WARM_THRESHOLD {
                    self.enter_serving("reason=warm", &mut actions);
                }
            }
            Event::StoreOpened { .. } | Event::StoreUnavailable { .. } => {}
        }
        actions
    }

    /// Enters the next stage if the deadline of the current one has passed.
    pub fn tick(&mut self, now: Micros) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.deadline.is_some_and(|deadline| now >= deadline) {
            match self.stage {
                Stage::Finding => {
                    self.enter_numbered(now, "boot=none store=\"not read in time\"".to_owned(), &mut actions);
                }
                Stage::Numbered => self.enter_asked(now, "peers=silent", &mut actions),
                Stage::Asked => {
                    // Do not wait any longer; the discovery connection keeps retrying in any case.
                    self.discovery_failed = true;
                    self.enter_listed_if_known(now, &mut actions);
                }
                Stage::Limited => self.enter_serving("reason=time", &mut actions),
                Stage::Listed | Stage::Serving => self.deadline = None,
            }
        }
        actions
    }

    fn enter_numbered(&mut self, now: Micros, reason: String, actions: &mut Vec<Action>) {
        (self.stage, self.deadline) = (Stage::Numbered, Some(now + PEERS_TIMEOUT));
        // Discovery is queried in parallel with the peers.
        actions.extend([Action::Enter(Stage::Numbered, reason), Action::ChooseRoster]);
        if !self.has_peers {
            self.enter_asked(now, "peers=none", actions);
        }
    }

    fn enter_asked(&mut self, now: Micros, reason: &str, actions: &mut Vec<Action>) {
        (self.stage, self.deadline) = (Stage::Asked, Some(now + DISCOVERY_TIMEOUT));
        actions.push(Action::Enter(Stage::Asked, reason.to_owned()));
        self.enter_listed_if_known(now, actions);
    }

    /// Enters `Listed` and then `Limited` at once, if the stage is `Asked` and the choice of roster is known.
    fn enter_listed_if_known(&mut self, now: Micros, actions: &mut Vec<Action>) {
        if self.stage == Stage::Asked && (self.roster_received || self.discovery_failed) {
            let reason = if self.roster_received { "list=fresh" } else { "list=remembered" };
            (self.stage, self.deadline) = (Stage::Limited, Some(now + MAX_LIMITED_SPAN));
            actions.extend([
                Action::Enter(Stage::Listed, reason.to_owned()),
                Action::Serve,
                Action::Enter(Stage::Limited, "reason=\"until the fleet is warm\"".to_owned()),
            ]);
        }
    }

    fn enter_serving(&mut self, reason: &str, actions: &mut Vec<Action>) {
        (self.stage, self.deadline) = (Stage::Serving, None);
        actions.push(Action::Enter(Stage::Serving, reason.to_owned()));
    }
}

#[cfg(test)]
mod tests;
