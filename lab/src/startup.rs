//! A dispatcher's start in virtual time, where its scenario has a store: the stages of recovery, and the
//! admission limits while the fleet is cold. It uses the same recovery module as the program.
//!
//! The disk is not emulated here: it is read at once and holds what was stored. All decisions are the
//! recovery module's.

use std::collections::BTreeMap;

use rand::RngExt;
use rand_pcg::Pcg32;
use topazsail::{Micros, Settings};
use topazsail_recovery::limits::{self, AdmissionLimits, OperationValue};
use topazsail_recovery::{Event, Recovery, Stage};
use topazsail_store::LoadSummary;

/// Spread of the Retry-After for invocations that come before the dispatcher serves or that exceed the
/// limits, in microseconds.
const RETRY_SPREAD: Micros = 1_000_000;

/// The stages of one dispatcher's start.
pub struct Startup {
    recovery: Recovery,
    limits: AdmissionLimits,
    /// Listed runners and when each started, as this dispatcher knows them.
    listed: BTreeMap<u32, Option<Micros>>,
    /// Number of runners in the stored roster.
    remembered_count: usize,
    cold_capacity_share: f64,
    warm_up_span: Micros,
    max_retry_after: Option<Micros>,
    rng: Pcg32,
}

impl Startup {
    /// The start of a process at `now`, with `remembered_count` runners in its stored roster.
    pub fn new(
        settings: &Settings,
        peers: bool,
        remembered_count: usize,
        rng: Pcg32,
        now: Micros,
    ) -> Startup {
        let operation_value = |op: &topazsail::Operation| OperationValue {
            value: op.billed_value,
            latency_objective: op.latency_objective,
        };
        let mut recovery = Recovery::new(peers, now);
        recovery.handle(now, Event::StoreOpened { summary: &LoadSummary::default(), boot: Some(1) });
        Startup {
            recovery,
            limits: AdmissionLimits::new(settings.operations.iter().map(operation_value), now),
            listed: BTreeMap::new(),
            remembered_count,
            cold_capacity_share: settings.cold_capacity_share,
            warm_up_span: settings.warm_up_span,
            max_retry_after: settings.max_retry_after,
            rng,
        }
    }

    /// Handles a whole list from discovery, or one change of it.
    pub fn update_roster(
        &mut self,
        runners: impl Iterator<Item = (u32, bool, Option<Micros>)>,
        is_whole: bool,
        now: Micros,
    ) {
        if is_whole {
            self.listed.clear();
        }
        for (runner, wanted, launched) in runners {
            if wanted {
                self.listed.insert(runner, launched)
            } else {
                self.listed.remove(&runner)
            };
        }
        self.recovery.handle(now, Event::RosterReceived);
    }

    /// Records how many of all peers have answered and agree.
    pub fn record_peer_agreement(&mut self, (all, agree): (usize, usize), now: Micros) {
        self.recovery.handle(now, Event::PeerAgreement { all, agree });
    }

    /// Whether the answers of peers still matter for the stage.
    pub fn is_waiting_for_peers(&self) -> bool {
        self.recovery.stage() < Stage::Asked
    }

    /// Listed runners that are cold.
    pub fn cold_runners(&self, now: Micros) -> Vec<u32> {
        let cold = |launched: &Option<Micros>| launched.is_some_and(|at| now < at + self.warm_up_span);
        self.listed.iter().filter(|(_, launched)| cold(launched)).map(|(r, _)| *r).collect()
    }

    /// Notes that a call to discovery has failed.
    pub fn note_discovery_failure(&mut self, now: Micros) {
        self.recovery.handle(now, Event::DiscoveryFailed);
    }

    /// Mean warmth of the runners, 0 to 1. Runners of the stored roster that are not listed yet count as 0.
    fn warmth(&self, now: Micros) -> f64 {
        let warm_up = (self.cold_capacity_share, self.warm_up_span);
        let warm: f64 = self.listed.values().map(|launched| limits::warmth(*launched, warm_up, now)).sum();
        warm / self.listed.len().max(self.remembered_count).max(1) as f64
    }

    /// Admits an invocation, or returns the retry advice for its client in microseconds; none without
    /// `max_retry_after`.
    pub fn admit(&mut self, operation: usize, now: Micros) -> Result<(), Option<Micros>> {
        if self.recovery.stage() == Stage::Serving {
            return Ok(());
        }
        self.recovery.tick(now);
        let (drawn, spread): (f64, Micros) = (self.rng.random(), self.rng.random_range(0..RETRY_SPREAD));
        let retry_after =
            self.max_retry_after.map(|most| (self.recovery.time_to_service(now) + spread).min(most));
        if !self.recovery.may_forward() {
            return Err(retry_after);
        }
        self.recovery.handle(now, Event::Warmth(self.warmth(now)));
        let is_limited = self.recovery.stage() == Stage::Limited;
        if is_limited && !self.limits.admit(operation, drawn, now) { Err(retry_after) } else { Ok(()) }
    }

    /// Notes that an admitted invocation was throttled for lack of capacity.
    pub fn note_throttled(&mut self, now: Micros) {
        if self.recovery.stage() == Stage::Limited {
            self.limits.record_shortage(self.warmth(now), now);
        }
    }

    /// Records the duration of a successful invocation in microseconds, for the admission limits.
    pub fn record_success(&mut self, operation: usize, duration: Micros) {
        if self.recovery.stage() == Stage::Limited {
            self.limits.record_success(operation, duration);
        }
    }
}
