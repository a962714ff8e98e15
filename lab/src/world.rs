//! The deployment that a scenario describes: its runners, its links, what discovery lists, and the schedule
//! of its faults.
//!
//! It does no I/O and reads no clock. Both clocks, virtual time and sockets, build it from scenario and seed,
//! and apply the same changes at the same times. It holds no state of dispatchers, as they are what is
//! tested.
//!
//! In this module `d` is the number of a dispatcher and `r` that of a runner.

use std::collections::BTreeMap;

use rand::seq::SliceRandom;
use rand_distr::{Distribution, LogNormal};
use rand_pcg::Pcg32;
use topazsail::Micros;

use crate::disks::{DiskFault, DiskState};
use crate::load::seeded_generator;
use crate::runner::{Impairment, Job, JobEvent, ProcessState, Runner};
use crate::scenario::{Fault, FaultKind, LinkFaultKind, Scenario};
use crate::tally::FaultBand;

/// Runners of a zone that share one deduplication memory.
const CELL_SIZE: usize = 4;
/// How long a runner drains until its process ends, in microseconds.
const DRAIN_DURATION: Micros = 2_000_000;
/// Time from the end of a drained process until its successor is up, in microseconds.
const RESTART_DURATION: Micros = 1_000_000;
/// How long a dispatcher is down in a rolling restart, in microseconds.
const ROLL_DOWNTIME: Micros = 1_000_000;
/// Time in microseconds from SIGTERM to SIGKILL, the shortest that the platform allows.
pub const TERM_TO_KILL: Micros = 3_700_000;
/// Mean time from the end of a pause of a runner to the next one, in microseconds.
const MEAN_PAUSE_INTERVAL: Micros = 1_000_000;

/// A change of the deployment. Dispatchers and runners are given by number.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// A runner's process ends or its machine becomes silent.
    Stop(usize, ProcessState),
    /// A runner starts as a new process.
    Start(usize),
    /// A runner's process is frozen or resumes.
    Freeze(usize, bool),
    /// A runner becomes slower by a factor, or has its full speed again.
    Slow(usize, Option<FaultParameters>),
    /// A runner fails a share of its forwards, or none any more.
    Errors(usize, Option<FaultParameters>),
    /// A runner loses a share of its forwards, or none any more.
    Loses(usize, Option<FaultParameters>),
    /// A runner starts to drain.
    Drain(usize),
    /// The runner's process has ended after a planned drain.
    Retire(usize),
    /// Load reports of all runners are older by this much, in microseconds.
    ReportDelay(Micros),
    /// Cuts or restores the links from a zone to the others, and with `both` those to it.
    Cut { zone: usize, both: bool, cut: bool },
    /// Discovery is up or down.
    Discovery(bool),
    /// A dispatcher gets SIGTERM.
    Term(u32),
    /// A dispatcher is killed.
    Kill(u32),
    /// A dispatcher starts as a new process.
    StartDispatcher(u32),
    /// A dispatcher's process is suspended or resumes.
    Suspend(u32, bool),
    /// A dispatcher's disk fault begins or ends; the time in microseconds is that of a sync on a slow disk.
    DiskFault(u32, DiskFault, Micros, bool),
    /// A copy of a dispatcher's disk is saved.
    SaveDisk(u32),
    /// The disk state that a dispatcher finds at its next start, whether its machine has restarted, and
    /// whether all other dispatchers find theirs in the same state.
    PrepareDisk(u32, DiskState, bool, bool),
    /// A fault of the links between dispatchers begins or ends.
    Link(usize, bool),
    /// All dispatchers reload their configuration.
    Reload,
    /// Malformed requests a second.
    BadClients(f64),
}

/// The operation that a fault affects (none: all), and its size.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FaultParameters {
    pub operation: Option<usize>,
    pub size: f64,
}

impl FaultParameters {
    fn impairment(self) -> Impairment {
        Impairment { operation: self.operation, size: self.size }
    }
}

/// State of a runner as discovery lists it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListingState {
    Up,
    Draining,
    Gone,
}

/// The effects of a change that the clock carries out.
#[derive(Debug, Default)]
pub struct ChangeEffects {
    /// Events of jobs at a runner.
    pub job_events: Vec<(usize, Job, JobEvent)>,
    /// Jobs lost with their process.
    pub lost: Vec<(usize, Job)>,
    /// Runners whose connections are reset.
    pub reset: Vec<usize>,
    /// Runners that now read what arrived while they were frozen.
    pub thawed: Vec<usize>,
    /// Discovery learns of a runner's state after this delay in microseconds.
    pub listed: Vec<(usize, ListingState, Micros)>,
    /// Whether links were restored.
    pub healed: bool,
}

/// A fault of the links between some dispatchers and all others.
struct LinkFault {
    kind: LinkFaultKind,
    /// A share, or milliseconds where it is a time.
    size: f64,
    /// By dispatcher.
    affected: Vec<bool>,
    /// Whether the fault is under way.
    on: bool,
}

/// Largest extra delay of a reordered or duplicated datagram, in microseconds.
const MAX_REORDER_DELAY: Micros = 100_000;

/// The runners, links and discovery of a run, with the schedule of their changes.
pub struct World {
    pub runners: Vec<Runner>,
    /// Number of zones.
    pub zones: usize,
    /// By zone: whether messages from it, and messages to it, are held.
    cut: Vec<(bool, bool)>,
    /// Whether discovery answers.
    pub discovery_up: bool,
    link_faults: Vec<LinkFault>,
    /// All changes, in order of time in microseconds.
    pub schedule: Vec<(Micros, Change)>,
    /// The faults as played, for the report.
    pub fault_bands: Vec<FaultBand>,
    /// Delay in microseconds after which discovery learns of the start or end of a process.
    notice: Micros,
    /// The same for a machine that becomes silent.
    silent_notice: Micros,
}

impl World {
    /// Builds the deployment of a scenario; all draws come from the seed.
    pub fn new(scenario: &Scenario, seed: u64) -> World {
        let zones = scenario.zones.names.len();
        let mut rng = seeded_generator(seed, 2);
        let mut runners = Vec::new();
        for (kind, pool) in scenario.pool.iter().enumerate() {
            let spread = LogNormal::from_mean_cv(1.0, pool.speed_spread.max(1e-9)).ok();
            for _ in 0..pool.count {
                let nth = runners.len();
                let (zone, within) = (nth % zones, nth / zones);
                let cell = (zone * 100_000 + within / CELL_SIZE) as i64;
                let mut runner = Runner::new(
                    pool,
                    kind,
                    (zone, cell),
                    &scenario.limits,
                    seeded_generator(seed, 1 << 40 | nth as u64),
                );
                runner.speed *= spread.map_or(1.0, |spread| spread.sample(&mut rng));
                runner.set_progress_interval(scenario.reports.progress.0);
                runners.push(runner);
            }
        }
        let delay = scenario.reports.delay.0;
        if delay > 0 {
            runners.iter_mut().for_each(|runner| runner.set_report_delay(0, delay));
        }
        let mut world = World {
            zones,
            cut: vec![(false, false); zones],
            discovery_up: true,
            link_faults: Vec::new(),
            schedule: Vec::new(),
            fault_bands: Vec::new(),
            runners,
            notice: scenario.discovery.notice.0,
            silent_notice: scenario.discovery.silent_notice.0,
        };
        let mut fault_rng = seeded_generator(seed, 3);
        for fault in &scenario.fault {
            world.plan(scenario, fault, &mut fault_rng);
        }
        world.schedule.sort_by_key(|(at, _)| *at);
        world.merge_overlapping_outages();
        world
    }

    /// Merges overlapping outages of the same process or service into one: down with the first, up after the
    /// last.
    fn merge_overlapping_outages(&mut self) {
        // How many outages are under way, by kind and number.
        let mut depth: BTreeMap<(u8, u32), u32> = BTreeMap::new();
        self.schedule.retain(|(_, change)| {
            let (key, down) = match *change {
                Change::Kill(d) => ((0, d), true),
                Change::StartDispatcher(d) => ((0, d), false),
                Change::Stop(r, _) | Change::Retire(r) => ((1, r as u32), true),
                Change::Start(r) => ((1, r as u32), false),
                Change::Discovery(up) => ((2, 0), !up),
                Change::Suspend(d, suspended) => ((3, d), suspended),
                _ => return true,
            };
            let depth = depth.entry(key).or_default();
            let before = *depth;
            *depth = if down { before + 1 } else { before.saturating_sub(1) };
            (before == 0) != (*depth == 0)
        });
    }

    /// The dispatchers of a zone, or all; the assignment is the same in both clocks.
    fn dispatchers(&self, scenario: &Scenario, zone: Option<usize>) -> Vec<u32> {
        let all = 0..scenario.dispatchers;
        all.filter(|d| zone.is_none_or(|zone| *d as usize % self.zones == zone)).collect()
    }

    /// Schedules the kill and restart of some of the `total` dispatchers; returns when the last may be back.
    fn plan_kills(
        &mut self,
        mut dispatchers: Vec<u32>,
        fault: &Fault,
        total: u32,
        rng: &mut Pcg32,
    ) -> Micros {
        use rand::RngExt;
        let all_killed = dispatchers.len() == total as usize;
        dispatchers.shuffle(rng);
        let away = (dispatchers.len() as f64 * fault.away).round() as usize;
        let (at, back) = (fault.at.0, fault.at.0 + fault.lasts.0);
        for (nth, d) in dispatchers.into_iter().enumerate() {
            self.schedule.push((at, Change::Kill(d)));
            if fault.disk == DiskState::Old {
                self.schedule.push((at - (fault.size * 1000.0) as Micros, Change::SaveDisk(d)));
            }
            if nth >= away {
                let after = rng.random_range(0..=fault.spread.0);
                let machine_restarted = fault.kind == FaultKind::PowerLoss;
                let prepare = Change::PrepareDisk(d, fault.disk, machine_restarted, all_killed);
                self.schedule.push((back + after, prepare));
                self.schedule.push((back + after, Change::StartDispatcher(d)));
            }
        }
        back + fault.spread.0
    }

    /// Work that all runners do in a microsecond when warm and without faults.
    pub fn capacity(&self) -> f64 {
        self.runners.iter().map(|runner| f64::from(runner.slots) * runner.speed).sum()
    }

    /// Zone and cell of each runner.
    pub fn locations(&self) -> Vec<(usize, i64)> {
        self.runners.iter().map(|runner| (runner.zone, runner.cell)).collect()
    }

    /// Whether the link from one zone to another carries anything.
    pub fn is_linked(&self, from: usize, to: usize) -> bool {
        from == to || !(self.cut[from].0 || self.cut[to].1)
    }

    /// Delay of each copy of a datagram from one dispatcher to another, in microseconds; empty if it is lost.
    pub fn datagram_delays(
        &self,
        scenario: &Scenario,
        (from, to): (u32, u32),
        now: Micros,
        rng: &mut Pcg32,
    ) -> Vec<Micros> {
        use rand::RngExt;
        let (near, far) = (from as usize % self.zones, to as usize % self.zones);
        if !self.is_linked(near, far) {
            return Vec::new();
        }
        let mut delays = vec![World::delay(scenario, near, far, rng.random())];
        for fault in self.link_faults.iter().filter(|fault| fault.on) {
            let (sender_affected, any_affected) =
                (fault.affected[from as usize], fault.affected[from as usize] || fault.affected[to as usize]);
            if !any_affected || fault.kind == LinkFaultKind::OneWay && !sender_affected {
                continue;
            }
            let size_as_time = (fault.size * 1000.0) as Micros;
            let is_hit = fault.size > 0.0 && rng.random::<f64>() < fault.size;
            match fault.kind {
                LinkFaultKind::Cut | LinkFaultKind::OneWay => return Vec::new(),
                LinkFaultKind::Flap if (now / size_as_time.max(1)) % 2 == 0 => return Vec::new(),
                LinkFaultKind::Flap => {}
                LinkFaultKind::Loss if is_hit => return Vec::new(),
                LinkFaultKind::Repeat if is_hit => {
                    delays.push(delays[0] + rng.random_range(0..MAX_REORDER_DELAY))
                }
                LinkFaultKind::Reorder if is_hit => delays[0] += rng.random_range(0..MAX_REORDER_DELAY),
                LinkFaultKind::Loss | LinkFaultKind::Repeat | LinkFaultKind::Reorder => {}
                LinkFaultKind::Delay => delays.iter_mut().for_each(|delay| *delay += size_as_time),
            }
        }
        delays
    }

    /// One-way delay of a link in microseconds; `jitter_draw` from 0 to 1 sets the jitter.
    pub fn delay(scenario: &Scenario, from: usize, to: usize, jitter_draw: f64) -> Micros {
        let zones = &scenario.zones;
        let base = if from == to { zones.within.0 } else { zones.between.0 } as f64;
        (base * (1.0 + zones.jitter * jitter_draw)) as Micros
    }

    /// Adds a fault's changes to the schedule. All draws are from `rng`, in the order of the faults.
    fn plan(&mut self, scenario: &Scenario, fault: &Fault, rng: &mut Pcg32) {
        let (at, until) = (fault.at.0, fault.at.0 + fault.lasts.0);
        let zone = fault.zone.as_ref().and_then(|zone| scenario.zones.names.iter().position(|z| z == zone));
        let operation = fault
            .operation
            .as_ref()
            .and_then(|name| scenario.operation.iter().position(|op| op.name == *name));
        let mut all: Vec<usize> = (0..self.runners.len()).collect();
        all.retain(|r| zone.is_none_or(|zone| self.runners[*r].zone == zone));
        all.shuffle(rng);
        let count = ((all.len() as f64 * fault.part).round() as usize).clamp(1, all.len().max(1));
        let affected_runners = &all[..count.min(all.len())];
        let parameters = FaultParameters { operation, size: fault.size };
        let mut ends_at = until;
        let plan = &mut self.schedule;
        let mut begin_and_end = |r: usize, change: fn(usize, Option<FaultParameters>) -> Change| {
            plan.push((at, change(r, Some(parameters))));
            plan.push((until, change(r, None)));
        };
        match fault.kind {
            FaultKind::Slow => affected_runners.iter().for_each(|r| begin_and_end(*r, Change::Slow)),
            FaultKind::FastErrors => affected_runners.iter().for_each(|r| begin_and_end(*r, Change::Errors)),
            FaultKind::Loses => affected_runners.iter().for_each(|r| begin_and_end(*r, Change::Loses)),
            FaultKind::Crash => {
                for &r in affected_runners {
                    plan.extend([(at, Change::Stop(r, ProcessState::Down)), (until, Change::Start(r))]);
                }
            }
            FaultKind::Hang => {
                for &r in affected_runners {
                    plan.extend([(at, Change::Freeze(r, true)), (until, Change::Freeze(r, false))]);
                }
            }
            FaultKind::Pauses => {
                use rand::RngExt;
                for &r in affected_runners {
                    let mut next = at + rng.random_range(0..MEAN_PAUSE_INTERVAL);
                    let pause = (fault.size * 1000.0) as Micros;
                    while next < until {
                        plan.extend([
                            (next, Change::Freeze(r, true)),
                            (next + pause, Change::Freeze(r, false)),
                        ]);
                        next +=
                            pause + rng.random_range(MEAN_PAUSE_INTERVAL / 2..MEAN_PAUSE_INTERVAL * 3 / 2);
                    }
                }
            }
            FaultKind::LateReports => {
                let usual = scenario.reports.delay.0;
                let late = usual + (fault.size * 1000.0) as Micros;
                plan.extend([(at, Change::ReportDelay(late)), (until, Change::ReportDelay(usual))]);
            }
            FaultKind::ZoneCut | FaultKind::ZoneMute => {
                let (zone, both) = (zone.unwrap_or(0), fault.kind == FaultKind::ZoneCut);
                let change = |cut| Change::Cut { zone, both, cut };
                plan.extend([(at, change(true)), (until, change(false))]);
            }
            FaultKind::ZoneLoss => {
                for &r in &all {
                    plan.extend([(at, Change::Stop(r, ProcessState::Silent)), (until, Change::Start(r))]);
                }
            }
            FaultKind::DiscoveryDown => {
                plan.extend([(at, Change::Discovery(false)), (until, Change::Discovery(true))]);
            }
            FaultKind::Deploy => {
                let gap = fault.lasts.0 / affected_runners.len().max(1) as Micros;
                for (nth, &r) in affected_runners.iter().enumerate() {
                    let at = at + gap * nth as Micros;
                    plan.push((at, Change::Drain(r)));
                    plan.push((at + DRAIN_DURATION, Change::Retire(r)));
                    plan.push((at + DRAIN_DURATION + RESTART_DURATION, Change::Start(r)));
                }
                ends_at = until + DRAIN_DURATION + RESTART_DURATION;
            }
            FaultKind::RollTerm | FaultKind::RollKill => {
                let gap = fault.lasts.0 / Micros::from(scenario.dispatchers);
                for d in 0..scenario.dispatchers {
                    let at = at + gap * Micros::from(d);
                    if fault.kind == FaultKind::RollKill {
                        plan.extend([
                            (at, Change::Kill(d)),
                            (at + ROLL_DOWNTIME, Change::StartDispatcher(d)),
                        ]);
                    } else {
                        plan.push((at, Change::Term(d)));
                        plan.push((at + TERM_TO_KILL, Change::Kill(d)));
                        plan.push((at + TERM_TO_KILL + ROLL_DOWNTIME, Change::StartDispatcher(d)));
                    }
                }
                ends_at = until + ROLL_DOWNTIME;
            }
            FaultKind::Kill | FaultKind::Freeze | FaultKind::Disk | FaultKind::Link => {
                let mut all = self.dispatchers(scenario, zone);
                all.shuffle(rng);
                all.truncate(((all.len() as f64 * fault.part).round() as usize).max(1));
                if fault.kind == FaultKind::Kill {
                    ends_at = self.plan_kills(all, fault, scenario.dispatchers, rng);
                } else if let Some(kind) = fault.link {
                    let mut affected = vec![false; scenario.dispatchers as usize];
                    all.iter().for_each(|d| affected[*d as usize] = true);
                    let nth = self.link_faults.len();
                    self.link_faults.push(LinkFault { kind, size: fault.size, affected, on: false });
                    let changes = [(at, Change::Link(nth, true)), (until, Change::Link(nth, false))];
                    self.schedule.extend(changes);
                } else if let Some(wrong) = fault.wrong {
                    let sync_time = (fault.size * 1000.0) as Micros;
                    let change = |on| all.iter().map(move |d| Change::DiskFault(*d, wrong, sync_time, on));
                    self.schedule.extend(change(true).map(|change| (at, change)));
                    self.schedule.extend(change(false).map(|change| (until, change)));
                } else {
                    let suspended = |suspended| all.iter().map(move |d| Change::Suspend(*d, suspended));
                    self.schedule.extend(suspended(true).map(|change| (at, change)));
                    self.schedule.extend(suspended(false).map(|change| (until, change)));
                }
            }
            FaultKind::PowerLoss => {
                for &r in &all {
                    plan.extend([(at, Change::Stop(r, ProcessState::Down)), (until, Change::Start(r))]);
                }
                if zone.is_none_or(|zone| zone == 0) {
                    plan.extend([(at, Change::Discovery(false)), (until, Change::Discovery(true))]);
                }
                ends_at = self.plan_kills(self.dispatchers(scenario, zone), fault, scenario.dispatchers, rng);
            }
            FaultKind::Reload => plan.push((at, Change::Reload)),
            FaultKind::BadClients => {
                plan.extend([(at, Change::BadClients(fault.size)), (until, Change::BadClients(0.0))]);
            }
        }
        let what = serde_json::to_value(fault.kind).ok().and_then(|kind| kind.as_str().map(str::to_owned));
        let what = [what, fault.operation.clone(), fault.zone.clone()].into_iter().flatten();
        self.fault_bands.push(FaultBand {
            what: what.collect::<Vec<_>>().join(" "),
            from: at as f64 / 1e6,
            to: ends_at.max(at) as f64 / 1e6,
        });
    }

    /// Applies a change to runners, links and discovery; the clock does the rest.
    pub fn apply(&mut self, now: Micros, change: &Change) -> ChangeEffects {
        let mut effects = ChangeEffects::default();
        let mut job_events = Vec::new();
        let mut drained = None;
        match *change {
            Change::Stop(r, state) => {
                let lost = self.runners[r].stop(now, state);
                effects.lost.extend(lost.into_iter().map(|job| (r, job)));
                if state == ProcessState::Down {
                    effects.reset.push(r);
                }
                let notice = if state == ProcessState::Down { self.notice } else { self.silent_notice };
                effects.listed.push((r, ListingState::Gone, notice));
            }
            Change::Start(r) => {
                // Connections that were still open to a silent machine end when it is back.
                effects.reset.push(r);
                self.runners[r].start(now);
                effects.listed.push((r, ListingState::Up, self.notice));
            }
            Change::Freeze(r, frozen) => {
                self.runners[r].change(now, |runner| runner.frozen = frozen);
                if !frozen {
                    effects.thawed.push(r);
                }
            }
            Change::Slow(r, parameters) => {
                self.runners[r]
                    .change(now, |runner| runner.slow = parameters.map(FaultParameters::impairment));
            }
            Change::Errors(r, parameters) => {
                self.runners[r].errors = parameters.map(FaultParameters::impairment)
            }
            Change::Loses(r, parameters) => {
                self.runners[r].loses = parameters.map(FaultParameters::impairment)
            }
            Change::Drain(r) => {
                self.runners[r].drain(now, &mut job_events);
                drained = Some(r);
                effects.listed.push((r, ListingState::Draining, self.notice / 10));
            }
            Change::Retire(r) => {
                let lost = self.runners[r].stop(now, ProcessState::Down);
                effects.lost.extend(lost.into_iter().map(|job| (r, job)));
                effects.reset.push(r);
                effects.listed.push((r, ListingState::Gone, self.notice / 10));
            }
            Change::ReportDelay(delay) => {
                self.runners.iter_mut().for_each(|runner| runner.set_report_delay(now, delay));
            }
            Change::Cut { zone, both, cut } => {
                self.cut[zone] = (cut, cut && both);
                effects.healed = !cut;
            }
            Change::Discovery(up) => self.discovery_up = up,
            Change::Link(nth, on) => self.link_faults[nth].on = on,
            Change::Term(_)
            | Change::Kill(_)
            | Change::StartDispatcher(_)
            | Change::Suspend(..)
            | Change::DiskFault(..)
            | Change::SaveDisk(_)
            | Change::PrepareDisk(..)
            | Change::Reload
            | Change::BadClients(_) => {}
        }
        if let Some(r) = drained {
            effects.job_events.extend(job_events.into_iter().map(|(job, job_event)| (r, job, job_event)));
        }
        effects
    }

    /// One entry of discovery's list, in the platform's format. `run_start` is the Unix time of the start of
    /// the run, in microseconds.
    pub fn entry(
        &self,
        scenario: &Scenario,
        r: usize,
        state: ListingState,
        run_start: Micros,
        address: &str,
    ) -> serde_json::Value {
        let runner = &self.runners[r];
        serde_json::json!({
            "instanceId": format!("r{r}"), "hostPort": address, "zone": scenario.zones.names[runner.zone],
            "machineType": scenario.pool[runner.kind].kind, "cell": runner.cell, "weight": 1.0,
            "lifecycle": match state { ListingState::Up => "up", ListingState::Draining => "draining", ListingState::Gone => "removed" },
            "startedAtMs": runner.launched.map_or(0, |at| (run_start + at) / 1000),
        })
    }
}
