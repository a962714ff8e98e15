//! From power to service: the stages that a starting dispatcher goes through, and what it trusts of what it has.
//!
//! A core without I/O, clock or chance: events and the time are handed in, what is to be done comes out. Each stage has
//! a due time, after which it goes on with less trust and says so; none waits for something that may never come. It
//! must never let anything be forwarded before there is a list, nor take what its last life may have spent for free.
//! See `docs/recovery.md` for the table of trust.

pub mod limits;

use topazsail_store::{IntegrityWarning, LoadSummary, Micros};

/// From the process's start until the store must have been read: a disk that hangs keeps nobody from serving.
pub const STORE_READ_TIMEOUT: Micros = 5_000_000;
/// From there until enough others must have answered: a lone survivor serves.
pub const PEERS_TIMEOUT: Micros = 700_000;
/// From there until discovery must have been heard: then the list is the remembered one.
pub const DISCOVERY_TIMEOUT: Micros = 500_000;

/// From there until the fleet counts as warm, whatever the list says of starts.
pub const MAX_LIMITED_SPAN: Micros = 60_000_000;

/// How far a starting dispatcher has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// Its store is being read.
    Finding,
    /// What the store holds is known, and this life's number is on the disk, or neither is to be had.
    Numbered,
    /// Half of the others have answered and agree on who is out by hand, or there are none, or they are not heard.
    Asked,
    /// There is a list to forward by.
    Listed,
    /// The fleet is cold: once it is seen to be short, what is worth most comes first (`limits`).
    Limited,
    Serving,
}

impl Stage {
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

/// How far an item is believed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trust {
    /// As if it had just been said.
    Trusted,
    /// For want of better: whoever says otherwise goes first.
    Doubted,
    Dropped,
}

/// Where an item is from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    Store,
    /// The configuration, as written by whoever starts the process.
    File,
}

/// A list that is at hand before discovery has been heard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KnownRoster<'a> {
    pub discovery: &'a str,
    pub generation: u64,
    pub runners: usize,
}

/// Which list to begin with. Generations are one discovery's own: a list of another one says nothing here, however
/// high its number. Of two of the same the newer one is taken, and none that is empty where the other is not.
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

/// What the last life sent to cold runners: exact only where that life ended as it should.
pub fn trust_slow_start_usage(summary: &LoadSummary) -> (Trust, &'static str) {
    if summary.is_new {
        (Trust::Dropped, "there was no last life")
    } else if summary.ended_cleanly {
        (Trust::Trusted, "the last life ended as it should")
    } else {
        (Trust::Dropped, "the last life was cut short")
    }
}

/// Who is out by hand: a ban that was said yes to holds whatever else is in doubt.
pub fn trust_admin_overrides(summary: &LoadSummary) -> (Trust, &'static str) {
    if summary.warnings.iter().any(|warning| !matches!(warning, IntegrityWarning::ClockBehind { .. })) {
        (Trust::Doubted, "the store is spoilt: one may be missing")
    } else {
        (Trust::Trusted, "as said yes to")
    }
}

/// For how long cold runners must rest that were there in the last life: what it sent them at its very end may still
/// count, and how long that has been over is known only as far as the machine tells.
pub fn cold_runner_pause(summary: &LoadSummary, overload_window: Micros) -> Micros {
    if summary.is_new || summary.ended_cleanly { 0 } else { (overload_window - summary.min_downtime).max(0) }
}

/// What has happened.
#[derive(Clone, Debug)]
pub enum Event<'a> {
    /// The store has been read; this life's number, if it is on the disk.
    StoreOpened { summary: &'a LoadSummary, boot: Option<u64> },
    /// There is no store to be had.
    StoreUnavailable { reason: &'a str },
    /// Of so many others, so many have answered this life and agree on who is out by hand.
    PeerAgreement { all: usize, agree: usize },
    /// Discovery has told the whole list, or what changed since the remembered one.
    RosterReceived,
    /// Discovery has refused or was not reached.
    DiscoveryFailed,
    /// The share of its full capacity that the fleet has, as far as the list tells.
    Warmth(f64),
}

/// What is to be done, in this order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// A stage has been reached; why, and on what grounds.
    Enter(Stage, String),
    /// The list to begin with is wanted now, the remembered one or what discovery has said.
    ChooseRoster,
    /// Newcomers are let in and told that this dispatcher is ready.
    Serve,
}

pub struct Recovery {
    stage: Stage,
    deadline: Option<Micros>,
    roster_received: bool,
    discovery_failed: bool,
    /// Whether there are others to ask.
    has_peers: bool,
}

impl Recovery {
    pub fn new(peers: bool, now: Micros) -> Recovery {
        let deadline = Some(now + STORE_READ_TIMEOUT);
        Recovery {
            stage: Stage::Finding,
            deadline,
            roster_received: false,
            discovery_failed: false,
            has_peers: peers,
        }
    }

    /// One that has nothing to recover, as another process goes on in it.
    pub fn in_service() -> Recovery {
        Recovery {
            stage: Stage::Serving,
            deadline: None,
            roster_received: true,
            discovery_failed: false,
            has_peers: false,
        }
    }

    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// Whether anything may be forwarded.
    pub fn may_forward(&self) -> bool {
        self.stage >= Stage::Listed
    }

    /// When to look again at the latest.
    pub fn next_tick(&self) -> Option<Micros> {
        self.deadline
    }

    /// How long until it serves at the latest, for who is told when to come back.
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

    /// The due time of a stage may have come.
    pub fn tick(&mut self, now: Micros) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.deadline.is_some_and(|deadline| now >= deadline) {
            match self.stage {
                Stage::Finding => {
                    self.enter_numbered(now, "boot=none store=\"not read in time\"".to_owned(), &mut actions);
                }
                Stage::Numbered => self.enter_asked(now, "peers=silent", &mut actions),
                Stage::Asked => {
                    // Nothing more is waited for; the watch goes on being tried in any case.
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
        // Discovery is asked while the others are.
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
