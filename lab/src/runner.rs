//! One emulated runner: its slots, FIFO queue, speed, warm-up and faults.
//!
//! It does no I/O, reads no clock and draws random numbers only from its own generator; both clocks drive it.
//! It knows nothing of dispatchers or policies.
//!
//! All jobs of a runner progress at the same rate, so one "service clock" determines when each ends: a job
//! ends when that clock has advanced by the job's work. A change of the rate changes the speed of that clock
//! and none of the entries.

use std::collections::{BTreeMap, VecDeque};

use rand::{Rng, RngExt};
use rand_pcg::Pcg32;
use topazsail::Micros;

use crate::scenario::{Limits, Pool};

/// A job, by the id of its invocation: a runner has at most one forward of an invocation at a time.
pub type Job = u64;

/// An event in the life cycle of a job.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum JobEvent {
    Started,
    /// The share of the work done.
    Progress(f64),
    Done,
    Failed,
    /// Returned without having started.
    Returned,
}

/// A runner's immediate reply to a forward.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OfferResult {
    Accepted,
    /// No slot and no queue place is free, or the runner drains.
    Full,
    Failed,
}

/// State of a runner's process and machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessState {
    Up,
    /// The process is gone: connections are refused.
    Down,
    /// The machine is gone or cut off: nothing comes back.
    Silent,
}

/// A load report: free slots, queued jobs, and queued and running jobs together.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    pub free: u32,
    pub waiting: u32,
    pub in_flight: u32,
}

/// A running job.
#[derive(Clone, Copy, Debug)]
struct Running {
    began: Micros,
    work: f64,
}

/// A fault of one operation, or of all if `operation` is none. Its size is a factor or a share, as the field
/// that holds it says.
#[derive(Clone, Copy, Debug)]
pub struct Impairment {
    pub operation: Option<usize>,
    pub size: f64,
}

impl Impairment {
    fn affects(&self, operation: usize) -> bool {
        self.operation.is_none_or(|only| only == operation)
    }
}

/// Number of equal steps in which capacity rises during warm-up.
const WARM_STEPS: i64 = 24;

/// A runner: its configuration, its jobs and its present faults.
pub struct Runner {
    pub zone: usize,
    pub cell: i64,
    /// The runner's pool, by its place in the scenario.
    pub kind: usize,
    pub slots: u32,
    queue_limit: u32,
    pub speed: f64,
    /// Cost of a new connection, in microseconds.
    handshake: Micros,
    pub max_connections: u32,
    pub connections: u32,
    /// Share of full capacity when the process starts.
    cold_from: f64,
    /// Time from its start until the process has full capacity, in microseconds.
    warm_within: Micros,
    pub state: ProcessState,
    /// The process is frozen: it reads nothing and makes no progress.
    pub frozen: bool,
    pub draining: bool,
    /// When the process last started, if during the run.
    pub launched: Option<Micros>,
    /// Slower by this factor.
    pub slow: Option<Impairment>,
    /// Fails this share of forwards at once.
    pub errors: Option<Impairment>,
    /// Accepts this share of forwards and never ends them.
    pub loses: Option<Impairment>,
    /// Interval of progress reports in microseconds; 0 for none.
    progress_interval: Micros,
    /// Position of the service clock, in work of one slot at speed 1.
    service: f64,
    /// The time of that position.
    at: Micros,
    /// Keyed by the service clock's position at the end of each job. The order of the bits is that of the
    /// values, as none is negative.
    running: BTreeMap<(u64, Job), Running>,
    /// The key in `running` of each running job.
    ends: BTreeMap<Job, u64>,
    /// Queued jobs with their operation and work.
    waiting: VecDeque<(Job, usize, f64)>,
    /// When the next progress report of each job is due.
    progress_due: BTreeMap<(Micros, Job), ()>,
    rng: Pcg32,
    /// Age of load reports in microseconds.
    report_delay: Micros,
    /// Recent loads, for delayed reports.
    past_loads: VecDeque<(Micros, LoadReport)>,
    /// Work done so far, for the report of a run.
    pub work_done: f64,
}

impl Runner {
    /// A warm, idle runner; `place` is its zone and cell, `kind` its pool.
    pub fn new(pool: &Pool, kind: usize, place: (usize, i64), limits: &Limits, rng: Pcg32) -> Runner {
        Runner {
            zone: place.0,
            cell: place.1,
            kind,
            slots: pool.slots,
            queue_limit: pool.queue,
            speed: pool.speed,
            handshake: pool.handshake.0,
            max_connections: pool.connections,
            connections: 0,
            cold_from: limits.cold_from,
            warm_within: limits.warm_within.0,
            state: ProcessState::Up,
            frozen: false,
            draining: false,
            launched: None,
            slow: None,
            errors: None,
            loses: None,
            progress_interval: 0,
            service: 0.0,
            at: 0,
            running: BTreeMap::new(),
            ends: BTreeMap::new(),
            waiting: VecDeque::new(),
            progress_due: BTreeMap::new(),
            rng,
            report_delay: 0,
            past_loads: VecDeque::new(),
            work_done: 0.0,
        }
    }

    /// Sets the interval of progress reports in microseconds; 0 for none.
    pub fn set_progress_interval(&mut self, gap: Micros) {
        self.progress_interval = gap;
    }

    /// Sets the age of load reports in microseconds, from `now` on.
    pub fn set_report_delay(&mut self, now: Micros, delay: Micros) {
        self.report_delay = delay;
        self.past_loads.clear();
        self.record_load(now);
    }

    /// The share of full capacity that the runner has now.
    pub fn warmth(&self, now: Micros) -> f64 {
        let Some(launched) = self.launched else { return 1.0 };
        let age = (now - launched).max(0);
        if age >= self.warm_within {
            return 1.0;
        }
        // Each step has the value of its beginning: never warmer than an even rise would be.
        let step = (age * WARM_STEPS / self.warm_within.max(1)) as f64 / WARM_STEPS as f64;
        self.cold_from + (1.0 - self.cold_from) * step
    }

    /// Work that the runner can do in a microsecond, on all slots together.
    pub fn capacity(&self, now: Micros) -> f64 {
        f64::from(self.slots) * self.speed * self.warmth(now)
    }

    /// Work that a running job gets in a microsecond.
    fn rate(&self, now: Micros) -> f64 {
        let slow = self.slow.filter(|fault| fault.operation.is_none()).map_or(1.0, |fault| fault.size);
        if self.frozen || self.state != ProcessState::Up { 0.0 } else { self.speed * self.warmth(now) / slow }
    }

    /// When the next step of the warm-up comes, from the time of the service clock's position.
    fn next_step(&self) -> Option<Micros> {
        let launched = self.launched?;
        if self.at >= launched + self.warm_within {
            return None;
        }
        let step = (self.at - launched).max(0) * WARM_STEPS / self.warm_within.max(1) + 1;
        // Rounded up, so that the step has certainly come at the time that is returned.
        Some(launched + (step * self.warm_within + WARM_STEPS - 1) / WARM_STEPS)
    }

    /// Advances the service clock to `now`; the rate is constant in between, as every change calls this
    /// first.
    fn advance(&mut self, now: Micros) {
        while let Some(step) = self.next_step().filter(|step| *step < now) {
            self.run_until(step);
        }
        self.run_until(now);
    }

    /// Advances the service clock to `now` at the present rate.
    fn run_until(&mut self, now: Micros) {
        let done = self.rate(self.at) * (now - self.at).max(0) as f64;
        self.service += done;
        self.work_done += done * self.running.len() as f64;
        self.at = self.at.max(now);
    }

    /// When the next job ends, the next progress report is due or the rate changes.
    pub fn due(&self) -> Option<Micros> {
        if self.frozen || self.state != ProcessState::Up {
            return None;
        }
        let first = self.running.keys().next().map(|(end, _)| f64::from_bits(*end));
        let end = first.map(|end| {
            let rate = self.rate(self.at).max(1e-9);
            self.at + (((end - self.service) / rate).ceil() as Micros).max(0)
        });
        let report = self.progress_due.keys().next().map(|(at, _)| (*at).max(self.at));
        let step = self.next_step().filter(|_| !self.running.is_empty());
        [end, report, step].into_iter().flatten().min()
    }

    /// Processes all ends, starts and progress reports up to `now`.
    pub fn wake(&mut self, now: Micros, events: &mut Vec<(Job, JobEvent)>) {
        self.advance(now);
        if self.frozen || self.state != ProcessState::Up {
            return;
        }
        let mut ended = false;
        while let Some((&(end, job), _)) = self.running.first_key_value() {
            // Less than a thousandth of a microsecond of work is a rounding error.
            if f64::from_bits(end) > self.service + 1e-3 {
                break;
            }
            self.running.pop_first();
            self.ends.remove(&job);
            ended = true;
            events.push((job, JobEvent::Done));
        }
        if ended {
            self.fill(now, events);
        }
        while let Some((&(at, job), ())) = self.progress_due.first_key_value()
            && at <= now
        {
            self.progress_due.pop_first();
            let Some(end) = self.ends.get(&job) else { continue };
            if let Some(running) = self.running.get(&(*end, job)) {
                let left = (f64::from_bits(*end) - self.service).max(0.0);
                events.push((job, JobEvent::Progress((1.0 - left / running.work.max(1.0)).clamp(0.0, 1.0))));
                self.progress_due.insert((now + self.progress_interval, job), ());
            }
        }
        self.record_load(now);
    }

    /// Starts waiting jobs while slots are free.
    fn fill(&mut self, now: Micros, events: &mut Vec<(Job, JobEvent)>) {
        while self.running.len() < self.slots as usize {
            let Some((job, _, work)) = self.waiting.pop_front() else { break };
            let end = (self.service + work).to_bits();
            self.running.insert((end, job), Running { began: now, work });
            self.ends.insert(job, end);
            if self.progress_interval > 0 {
                self.progress_due.insert((now + self.progress_interval, job), ());
            }
            events.push((job, JobEvent::Started));
        }
    }

    /// Handles a forward whose last byte has arrived. Events that follow at once are added to `events`.
    pub fn offer(
        &mut self,
        now: Micros,
        job: Job,
        operation: usize,
        work: f64,
        events: &mut Vec<(Job, JobEvent)>,
    ) -> OfferResult {
        self.advance(now);
        if self.draining {
            return OfferResult::Full;
        }
        if self.holds(job) {
            return OfferResult::Failed;
        }
        if let Some(fault) = self.errors.filter(|fault| fault.affects(operation))
            && self.rng.random_bool(fault.size)
        {
            return OfferResult::Failed;
        }
        if let Some(fault) = self.loses.filter(|fault| fault.affects(operation))
            && self.rng.random_bool(fault.size)
        {
            return OfferResult::Accepted;
        }
        if self.running.len() >= self.slots as usize && self.waiting.len() >= self.queue_limit as usize {
            return OfferResult::Full;
        }
        let slowdown =
            self.slow.filter(|fault| fault.operation == Some(operation)).map_or(1.0, |fault| fault.size);
        self.waiting.push_back((job, operation, work.max(1.0) * slowdown));
        self.fill(now, events);
        self.record_load(now);
        OfferResult::Accepted
    }

    /// Whether the job is queued or running.
    pub fn holds(&self, job: Job) -> bool {
        self.ends.contains_key(&job) || self.waiting.iter().any(|(queued, ..)| *queued == job)
    }

    /// Cancels a job, queued or running. Returns whether it was known.
    pub fn cancel(&mut self, now: Micros, job: Job, events: &mut Vec<(Job, JobEvent)>) -> bool {
        self.advance(now);
        let before = self.waiting.len();
        self.waiting.retain(|(queued, ..)| *queued != job);
        let known = match self.ends.remove(&job) {
            Some(end) => self.running.remove(&(end, job)).is_some(),
            None => self.waiting.len() < before,
        };
        self.fill(now, events);
        self.record_load(now);
        known
    }

    /// Accepts a new connection; its cost is taken from the progress of running jobs. False if the connection
    /// limit is reached.
    pub fn connect(&mut self, now: Micros) -> bool {
        if self.connections >= self.max_connections {
            return false;
        }
        self.connections += 1;
        self.advance(now);
        if !self.running.is_empty() {
            self.service = (self.service - self.handshake as f64 / f64::from(self.slots)).max(0.0);
        }
        true
    }

    /// Extra time of the first request on a new connection, in microseconds.
    pub fn handshake(&self) -> Micros {
        self.handshake
    }

    /// Applies a change of the rate; progress until now is computed at the old rate first.
    pub fn change(&mut self, now: Micros, change: impl FnOnce(&mut Runner)) {
        self.advance(now);
        change(self);
        self.record_load(now);
    }

    /// Starts to drain: queued jobs are returned and nothing new is accepted.
    pub fn drain(&mut self, now: Micros, events: &mut Vec<(Job, JobEvent)>) {
        self.advance(now);
        self.draining = true;
        events.extend(self.waiting.drain(..).map(|(job, ..)| (job, JobEvent::Returned)));
        self.record_load(now);
    }

    /// Ends the process and returns the jobs that are lost with it.
    pub fn stop(&mut self, now: Micros, state: ProcessState) -> Vec<Job> {
        self.advance(now);
        self.state = state;
        let mut jobs: Vec<Job> = self.ends.keys().copied().collect();
        jobs.extend(self.waiting.iter().map(|(job, ..)| *job));
        jobs.sort_unstable();
        self.running.clear();
        self.ends.clear();
        self.waiting.clear();
        self.progress_due.clear();
        self.connections = 0;
        jobs
    }

    /// Starts a new process, which is cold.
    pub fn start(&mut self, now: Micros) {
        self.advance(now);
        self.state = ProcessState::Up;
        (self.frozen, self.draining) = (false, false);
        self.launched = Some(now);
        self.record_load(now);
    }

    /// The present load.
    pub fn load(&self) -> LoadReport {
        let (running, waiting) = (self.running.len() as u32, self.waiting.len() as u32);
        LoadReport { free: self.slots.saturating_sub(running), waiting, in_flight: running + waiting }
    }

    /// Running time of the oldest running job, in microseconds.
    pub fn oldest(&self, now: Micros) -> Micros {
        self.running.values().map(|running| now - running.began).max().unwrap_or(0)
    }

    /// Number of jobs, waiting and running.
    pub fn jobs(&self) -> usize {
        self.running.len() + self.waiting.len()
    }

    /// Records the present load for delayed reports.
    fn record_load(&mut self, now: Micros) {
        if self.report_delay == 0 {
            return;
        }
        let load = self.load();
        self.past_loads.push_back((now, load));
        while self.past_loads.len() > 1 && self.past_loads[1].0 <= now - self.report_delay {
            self.past_loads.pop_front();
        }
    }

    /// The load report as it is sent now, as old as the report delay says.
    pub fn report(&self, now: Micros) -> LoadReport {
        let reported = self.past_loads.iter().rev().find(|(at, _)| *at <= now - self.report_delay);
        if self.report_delay == 0 {
            self.load()
        } else {
            reported.or(self.past_loads.front()).map_or(self.load(), |t| t.1)
        }
    }

    /// A random number from this runner's own generator, for the clock that drives it.
    pub fn draw(&mut self) -> u32 {
        self.rng.next_u32()
    }
}
