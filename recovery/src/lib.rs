//! From power to service: the stages that a starting dispatcher goes through, and what it trusts of what it has.
//!
//! A core without I/O, clock or chance: events and the time are handed in, what is to be done comes out. Each stage has
//! a due time, after which it goes on with less trust and says so; none waits for something that may never come. It
//! must never let anything be forwarded before there is a list, nor take what its last life may have spent for free.
//! See `docs/recovery.md` for the table of trust.

pub mod limits;

use topazsail_store::{IntegrityWarning, LoadSummary, Micros};

/// From the process's start until the store must have been read: a disk that hangs keeps nobody from serving.
pub const FOUND_WITHIN: Micros = 5_000_000;
/// From there until enough others must have answered: a lone survivor serves.
pub const ASKED_WITHIN: Micros = 700_000;
/// From there until discovery must have been heard: then the list is the remembered one.
pub const LISTED_WITHIN: Micros = 500_000;

/// From there until the fleet counts as warm, whatever the list says of starts.
pub const LIMITED_WITHIN: Micros = 60_000_000;

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
pub fn trust_slow_start_usage(found: &LoadSummary) -> (Trust, &'static str) {
    if found.fresh {
        (Trust::Dropped, "there was no last life")
    } else if found.clean {
        (Trust::Trusted, "the last life ended as it should")
    } else {
        (Trust::Dropped, "the last life was cut short")
    }
}

/// Who is out by hand: a ban that was said yes to holds whatever else is in doubt.
pub fn trust_admin_overrides(found: &LoadSummary) -> (Trust, &'static str) {
    if found.doubts.iter().any(|doubt| !matches!(doubt, IntegrityWarning::Clock { .. })) {
        (Trust::Doubted, "the store is spoilt: one may be missing")
    } else {
        (Trust::Trusted, "as said yes to")
    }
}

/// For how long cold runners must rest that were there in the last life: what it sent them at its very end may still
/// count, and how long that has been over is known only as far as the machine tells.
pub fn cold_runner_pause(found: &LoadSummary, tip_after: Micros) -> Micros {
    if found.fresh || found.clean { 0 } else { (tip_after - found.away).max(0) }
}

/// What has happened.
#[derive(Clone, Debug)]
pub enum Event<'a> {
    /// The store has been read; this life's number, if it is on the disk.
    Opened { found: &'a LoadSummary, boot: Option<u64> },
    /// There is no store to be had.
    Unopened { why: &'a str },
    /// Of so many others, so many have answered this life and agree on who is out by hand.
    Agree { all: usize, agree: usize },
    /// Discovery has told the whole list, or what changed since the remembered one.
    Heard,
    /// Discovery has refused or was not reached.
    Refused,
    /// The share of its full capacity that the fleet has, as far as the list tells.
    Warmth(f64),
}

/// What is to be done, in this order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// A stage has been reached; why, and on what grounds.
    Enter(Stage, String),
    /// The list to begin with is wanted now, the remembered one or what discovery has said.
    Begin,
    /// Newcomers are let in and told that this dispatcher is ready.
    Serve,
}

pub struct Recovery {
    stage: Stage,
    due: Option<Micros>,
    heard: bool,
    refused: bool,
    /// Whether there are others to ask.
    peers: bool,
}

impl Recovery {
    pub fn new(peers: bool, now: Micros) -> Recovery {
        let due = Some(now + FOUND_WITHIN);
        Recovery { stage: Stage::Finding, due, heard: false, refused: false, peers }
    }

    /// One that has nothing to recover, as another process goes on in it.
    pub fn in_service() -> Recovery {
        Recovery { stage: Stage::Serving, due: None, heard: true, refused: false, peers: false }
    }

    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// Whether anything may be forwarded.
    pub fn may_forward(&self) -> bool {
        self.stage >= Stage::Listed
    }

    /// When to look again at the latest.
    pub fn due(&self) -> Option<Micros> {
        self.due
    }

    /// How long until it serves at the latest, for who is told when to come back.
    pub fn left(&self, now: Micros) -> Micros {
        let this = self.due.map_or(0, |due| (due - now).max(0));
        let asked = if self.peers { ASKED_WITHIN } else { 0 };
        match self.stage {
            Stage::Finding => this + asked + LISTED_WITHIN,
            Stage::Numbered => this + LISTED_WITHIN,
            Stage::Asked => this,
            Stage::Listed | Stage::Limited | Stage::Serving => 0,
        }
    }

    pub fn handle(&mut self, now: Micros, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Opened { found, boot } if self.stage == Stage::Finding => {
                let doubts: Vec<String> = found.doubts.iter().map(IntegrityWarning::to_string).collect();
                let store = match (found.fresh, found.clean, doubts.is_empty()) {
                    (true, ..) => "new".to_owned(),
                    (_, true, _) => "clean".to_owned(),
                    (_, _, true) => format!("cut short, {} bytes torn", found.torn),
                    _ => doubts.join(", "),
                };
                let boot = boot.map_or_else(|| "none".to_owned(), |boot| boot.to_string());
                self.numbered(now, format!("boot={boot} store={store:?}"), &mut actions);
            }
            Event::Unopened { why } if self.stage == Stage::Finding => {
                self.numbered(now, format!("boot=none store={why:?}"), &mut actions);
            }
            Event::Agree { all, agree } if self.stage == Stage::Numbered && agree * 2 >= all => {
                self.asked(now, &format!("peers={agree}/{all}"), &mut actions);
            }
            Event::Agree { .. } => {}
            Event::Heard => {
                self.heard = true;
                self.listed(now, &mut actions);
            }
            Event::Refused => {
                self.refused = true;
                self.listed(now, &mut actions);
            }
            Event::Warmth(warmth) => {
                if self.stage == Stage::Limited && warmth >= limits::WARM {
                    self.serving("reason=warm", &mut actions);
                }
            }
            Event::Opened { .. } | Event::Unopened { .. } => {}
        }
        actions
    }

    /// The due time of a stage may have come.
    pub fn tick(&mut self, now: Micros) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.due.is_some_and(|due| now >= due) {
            match self.stage {
                Stage::Finding => {
                    self.numbered(now, "boot=none store=\"not read in time\"".to_owned(), &mut actions);
                }
                Stage::Numbered => self.asked(now, "peers=silent", &mut actions),
                Stage::Asked => {
                    // Nothing more is waited for; the watch goes on being tried in any case.
                    self.refused = true;
                    self.listed(now, &mut actions);
                }
                Stage::Limited => self.serving("reason=time", &mut actions),
                Stage::Listed | Stage::Serving => self.due = None,
            }
        }
        actions
    }

    fn numbered(&mut self, now: Micros, why: String, actions: &mut Vec<Action>) {
        (self.stage, self.due) = (Stage::Numbered, Some(now + ASKED_WITHIN));
        // Discovery is asked while the others are.
        actions.extend([Action::Enter(Stage::Numbered, why), Action::Begin]);
        if !self.peers {
            self.asked(now, "peers=none", actions);
        }
    }

    fn asked(&mut self, now: Micros, why: &str, actions: &mut Vec<Action>) {
        (self.stage, self.due) = (Stage::Asked, Some(now + LISTED_WITHIN));
        actions.push(Action::Enter(Stage::Asked, why.to_owned()));
        self.listed(now, actions);
    }

    fn listed(&mut self, now: Micros, actions: &mut Vec<Action>) {
        if self.stage == Stage::Asked && (self.heard || self.refused) {
            let why = if self.heard { "list=fresh" } else { "list=remembered" };
            (self.stage, self.due) = (Stage::Limited, Some(now + LIMITED_WITHIN));
            actions.extend([
                Action::Enter(Stage::Listed, why.to_owned()),
                Action::Serve,
                Action::Enter(Stage::Limited, "reason=\"until the fleet is warm\"".to_owned()),
            ]);
        }
    }

    fn serving(&mut self, why: &str, actions: &mut Vec<Action>) {
        (self.stage, self.due) = (Stage::Serving, None);
        actions.push(Action::Enter(Stage::Serving, why.to_owned()));
    }
}

#[cfg(test)]
mod tests;
