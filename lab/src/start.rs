//! A dispatcher's start in virtual time, where its scenario has a store: the stages of recovery and what is taken while
//! the fleet is cold, by the very cores that the program uses.
//!
//! The disk itself is not played here: it is read at once and holds what was kept. It must never decide anything that
//! the cores do not.

use std::collections::BTreeMap;

use rand::RngExt;
use rand_pcg::Pcg32;
use topazsail::{Micros, Settings};
use topazsail_recovery::limits::{self, AdmissionLimits, OperationValue};
use topazsail_recovery::{Event, Recovery, Stage};
use topazsail_store::LoadSummary;

/// Advice to those who come before there is service, or for whom there is no room: spread over this.
const SPREAD: Micros = 1_000_000;

pub struct Start {
    recovery: Recovery,
    limits: AdmissionLimits,
    /// Listed runners and when each started, as this dispatcher has been told.
    listed: BTreeMap<u32, Option<Micros>>,
    /// Runners that the remembered list had.
    began_with: usize,
    cold_from: f64,
    warm_within: Micros,
    come_back_most: Option<Micros>,
    drawn: Pcg32,
}

impl Start {
    pub fn new(settings: &Settings, peers: bool, began_with: usize, drawn: Pcg32, now: Micros) -> Start {
        let worth = |op: &topazsail::Operation| OperationValue {
            value: op.billed_value,
            latency_objective: op.latency_objective,
        };
        let mut recovery = Recovery::new(peers, now);
        recovery.handle(now, Event::StoreOpened { summary: &LoadSummary::default(), boot: Some(1) });
        Start {
            recovery,
            limits: AdmissionLimits::new(settings.operations.iter().map(worth), now),
            listed: BTreeMap::new(),
            began_with,
            cold_from: settings.cold_capacity_share,
            warm_within: settings.warm_up_span,
            come_back_most: settings.max_retry_after,
            drawn,
        }
    }

    /// Discovery has told a whole list, or one change.
    pub fn list(
        &mut self,
        told: impl Iterator<Item = (u32, bool, Option<Micros>)>,
        whole: bool,
        now: Micros,
    ) {
        if whole {
            self.listed.clear();
        }
        for (runner, wanted, launched) in told {
            if wanted {
                self.listed.insert(runner, launched)
            } else {
                self.listed.remove(&runner)
            };
        }
        self.recovery.handle(now, Event::RosterReceived);
    }

    /// Of so many others so many have answered.
    pub fn agree(&mut self, (all, agree): (usize, usize), now: Micros) {
        self.recovery.handle(now, Event::PeerAgreement { all, agree });
    }

    pub fn asks(&self) -> bool {
        self.recovery.stage() < Stage::Asked
    }

    /// Listed runners that are cold.
    pub fn cold(&self, now: Micros) -> Vec<u32> {
        let cold = |launched: &Option<Micros>| launched.is_some_and(|at| now < at + self.warm_within);
        self.listed.iter().filter(|(_, launched)| cold(launched)).map(|(r, _)| *r).collect()
    }

    pub fn refused(&mut self, now: Micros) {
        self.recovery.handle(now, Event::DiscoveryFailed);
    }

    fn warmth(&self, now: Micros) -> f64 {
        let span = (self.cold_from, self.warm_within);
        let warm: f64 = self.listed.values().map(|launched| limits::warmth(*launched, span, now)).sum();
        warm / self.listed.len().max(self.began_with).max(1) as f64
    }

    /// Whether one that comes now is taken; else when its client is told to come back.
    pub fn takes(&mut self, operation: usize, now: Micros) -> Result<(), Option<Micros>> {
        if self.recovery.stage() == Stage::Serving {
            return Ok(());
        }
        self.recovery.tick(now);
        let (drawn, spread): (f64, Micros) = (self.drawn.random(), self.drawn.random_range(0..SPREAD));
        let come_back =
            self.come_back_most.map(|most| (self.recovery.time_to_service(now) + spread).min(most));
        if !self.recovery.may_forward() {
            return Err(come_back);
        }
        self.recovery.handle(now, Event::Warmth(self.warmth(now)));
        let limited = self.recovery.stage() == Stage::Limited;
        if limited && !self.limits.admit(operation, drawn, now) { Err(come_back) } else { Ok(()) }
    }

    /// Something that was taken found no room.
    pub fn short(&mut self, now: Micros) {
        if self.recovery.stage() == Stage::Limited {
            self.limits.record_shortage(self.warmth(now), now);
        }
    }

    pub fn succeeded(&mut self, operation: usize, took: Micros) {
        if self.recovery.stage() == Stage::Limited {
            self.limits.record_success(operation, took);
        }
    }
}
