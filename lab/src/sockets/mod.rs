//! Plays a scenario on sockets: runs the real program on loopback, in real time, with emulated clients,
//! runners and discovery.
//!
//! This module owns the emulated parts, the links between them, and the dispatchers' processes. All of it
//! runs on one thread, so that events are observed in one order. It must never decide anything for a
//! dispatcher. If the lab itself ran too late for its observations to be reliable, the result is marked void.
//!
//! Each dispatcher is configured with separate addresses for each runner and for discovery. The address
//! identifies the dispatcher to the emulated part, which applies that link's delay and faults.
//!
//! Throughout, `d` is the index of a dispatcher, `r` that of a runner, and `inv` the id of an invocation.

mod http;
mod operators;
mod process;
mod relay;
mod reserved_ports;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use rand::RngExt;
use rand_pcg::Pcg32;
use serde_json::json;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};
use topazsail::Micros;
use topazsail_faults::Plan;

use self::http::{Connection, IdleState, Message, request, response};
use self::process::Process;
use self::reserved_ports::ReservedPort;
use crate::disks::{DiskFault, DiskState, DispatcherDirectory};
use crate::judge::{FinalStatus, ForwardEnd, Judge, JudgeParameters, Observation};
use crate::load::{self, ArrivalGenerator, ClientRequest, retry_time, seeded_generator};
use crate::runner::{JobEvent, LoadReport, OfferResult, ProcessState};
use crate::scenario::{DeduplicationScope, DispatcherParameters, Effect, Scenario, StoreParameters};
use crate::tally::{Outcome, RequestResult, RunDetails, Tally};
use crate::virtual_clock::runner_outcomes;
use crate::world::{Change, ListingState, World};

/// Tolerance in microseconds on the judge's time limits for the transport through sockets. The platform's own
/// checks allow as much.
const RULE_SLACK: Micros = 50_000;
/// The same for a final answer against the client timeout, in microseconds.
const ANSWER_SLACK: Micros = 70_000;
/// Link delays below this are skipped, in microseconds: timers are not that precise.
const MIN_DELAY: Micros = 500;
/// From the moment when all dispatchers are ready until clients start.
const START_DELAY: Duration = Duration::from_millis(300);
/// How long a started dispatcher may take to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// From a SIGTERM until clients stop sending to that dispatcher, in microseconds.
const TERM_NOTICE_DELAY: Micros = 300_000;
/// From a dispatcher's start or resumption until clients send to it again, in microseconds.
const RETURN_NOTICE_DELAY: Micros = 100_000;
/// Attempts to deliver one call-back.
const MAX_CALL_BACKS: u32 = 10;
/// From a runner's end until the loss of its jobs is reported to their dispatchers, in microseconds.
const LOST_JOB_REPORT_DELAY: Micros = 100_000;
/// Interval of empty lines on an idle discovery watch.
const WATCH_KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(2);
/// A run is void if the lab's own timer fires later than this, in microseconds, more than once in a hundred
/// times.
const LATE_THRESHOLD: Micros = 20_000;
/// A run is void if the lab's own timer is later than this even once, in microseconds.
const MAX_LATENESS: Micros = 250_000;
/// Interval of the lab's checks of its own lateness, in microseconds.
const LATENESS_CHECK_INTERVAL: Micros = 5_000;
/// Number of low bits in an invocation's id that hold the number of the client's attempt; the rest is the
/// request's number.
const ATTEMPT_BITS: u32 = 4;
/// Runs that may be active at once in one process; each has its own loopback networks.
const MAX_CONCURRENT_RUNS: u8 = 32;
/// Environment variable; if it is set, configurations, logs and disks of the dispatchers are kept after the
/// run.
const KEEP_VARIABLE: &str = "TOPAZSAIL_LAB_KEEP";

/// State shared by all tasks of a run. A borrow must not be held across an await.
struct Shared {
    scenario: Scenario,
    seed: u64,
    world: World,
    judge: Judge,
    tally: Tally,
    /// Discovery's state of each runner.
    listing_states: Vec<ListingState>,
    /// Every change of discovery's states in order: generation, runner and new state.
    listing_changes: Vec<(u64, usize, ListingState)>,
    /// Discovery's current generation.
    generation: u64,
    /// When discovery has finished its current call.
    discovery_busy_until: Micros,
    /// The dispatcher that waits for the end of a job, by runner and invocation.
    owners: BTreeMap<(usize, u64), u32>,
    /// Number of process starts of each runner. Connections to an earlier process are reset.
    runner_boots: Vec<u64>,
    /// Number of starts and ends of each dispatcher's process; odd while it runs.
    epochs: Vec<u64>,
    /// Whether clients send to each dispatcher.
    routable: Vec<bool>,
    /// Whether each dispatcher's process is suspended by SIGSTOP.
    suspended: Vec<bool>,
    /// Whether each dispatcher has received SIGTERM. Clients go on sending on connections that they already
    /// have.
    terminating: Vec<bool>,
    /// Where each dispatcher listens.
    listen_addresses: Vec<SocketAddr>,
    /// Addresses of the runners, by dispatcher and runner.
    runner_addresses: Vec<Vec<SocketAddr>>,
    /// Discovery's address for each dispatcher.
    discovery_addresses: Vec<SocketAddr>,
    /// Idle connections to each dispatcher: those of clients, and those of runners.
    idle_connections: [Vec<Vec<Connection>>; 2],
    /// When a request's effect was last applied, by request and deduplication scope.
    deduplication_marks: BTreeMap<(u64, i64), Micros>,
    /// Draws the links' delays.
    delay_random: Pcg32,
    /// Requests of clients that have not ended.
    open_client_requests: u64,
    /// Malformed requests per second.
    bad_client_rate: f64,
    /// Checks of the lab's lateness: all, late ones, and the longest lateness.
    lateness_checks: (u64, u64, Micros),
    /// When the event loop last ran its check, and how late its observations were then.
    last_check: (Micros, Micros),
    /// Why the run is void.
    void_reasons: Vec<String>,
    /// Remarks for the report.
    notes: Vec<String>,
    /// Ends of dispatchers' processes that the lab did not cause.
    crashes: u64,
    /// Each dispatcher's address for operators; empty without a store.
    admin_addresses: Vec<SocketAddr>,
    /// Each dispatcher's disk; empty without a store.
    directories: Vec<DispatcherDirectory>,
    /// When each dispatcher was last killed.
    killed_at: Vec<Micros>,
    /// Where each dispatcher receives its peers' datagrams; empty without peers.
    peer_addresses: Vec<SocketAddr>,
    /// Relay addresses, by sender and receiver: where the sender is configured to reach the receiver.
    relay_addresses: Vec<Vec<SocketAddr>>,
    /// Draws what the relays do with datagrams.
    relay_random: Pcg32,
    /// Operators' calls that were not answered `YES`, and those that were.
    operator_calls: [u64; 2],
    /// Draws the damage to disks.
    disk_random: Pcg32,
}

impl Shared {
    /// Returns how long ago something that is observed now may have happened. Either the event loop has not
    /// run its check since, or it was late and is still processing what arrived meanwhile, like every process
    /// on a busy machine.
    fn observation_delay(&self, now: Micros) -> Micros {
        let (at, late) = self.last_check;
        (now - at - LATENESS_CHECK_INTERVAL).max(late - (now - at)).max(0)
    }

    /// Passes an observation on a connection to the judge, with how late the lab may have been to make it.
    fn record(&mut self, now: Micros, observation: Observation) {
        self.judge.observation_delay = self.observation_delay(now);
        self.judge.observe(now, observation);
    }
}

/// One run, as its tasks share it.
#[derive(Clone)]
struct Lab {
    shared: Rc<RefCell<Shared>>,
    /// When clients start, by the monotonic clock and as Unix time in microseconds; far in the future until
    /// all dispatchers are ready.
    clients_start: Rc<Cell<(Instant, Micros)>>,
    /// Incremented with every change of the world, to wake the tasks that wait for one.
    changed: watch::Sender<u64>,
    /// One for each runner, notified when its work has changed.
    runner_changed: Rc<Vec<tokio::sync::Notify>>,
}

impl Lab {
    /// Microseconds since clients started; negative before that.
    fn now(&self) -> Micros {
        let now = Instant::now();
        let clients_start = self.clients_start.get().0;
        match now.checked_duration_since(clients_start) {
            Some(since) => since.as_micros() as Micros,
            None => -(clients_start.duration_since(now).as_micros() as Micros),
        }
    }

    /// Passes an observation to the judge.
    fn record(&self, observation: Observation) {
        let now = self.now();
        self.shared.borrow_mut().record(now, observation);
    }

    /// Waits until a time of the run.
    async fn sleep_until(&self, at: Micros) {
        let left = at - self.now();
        if left > 0 {
            sleep(Duration::from_micros(left as u64)).await;
        }
    }

    /// Waits while `condition` returns true, checking at every change of the world.
    async fn wait_while(&self, condition: impl Fn(&Shared) -> bool) {
        let mut changed = self.changed.subscribe();
        while condition(&self.shared.borrow()) {
            if changed.changed().await.is_err() {
                return;
            }
        }
    }

    /// Waits as long as bytes take between two zones: the link's delay, and then until the link is not cut.
    async fn traverse_link(&self, from: usize, to: usize) {
        let delay = {
            let shared = &mut *self.shared.borrow_mut();
            World::delay(&shared.scenario, from, to, shared.delay_random.random())
        };
        if delay >= MIN_DELAY {
            sleep(Duration::from_micros(delay as u64)).await;
        }
        self.wait_while(|shared| !shared.world.is_linked(from, to)).await;
    }

    /// Returns the zone of a dispatcher.
    fn zone_of(&self, d: u32) -> usize {
        d as usize % self.shared.borrow().world.zones
    }
}

/// Formats a load report as runners send it.
fn load_json(load: LoadReport) -> serde_json::Value {
    json!({"x0": load.free, "backlog": load.waiting, "outstanding": load.in_flight})
}

/// Plays a scenario against `program` in real time and returns the outcome. Takes somewhat longer than the
/// scenario.
///
/// # Errors
///
/// Returns an error if the program cannot be started or does not become ready, or if the lab cannot create
/// its files and sockets.
pub fn play(
    scenario: &Scenario,
    program: &Path,
    seed: u64,
    progress: &dyn Fn(f64),
) -> Result<Outcome, String> {
    play_with_fault_plans(scenario, program, seed, &[], progress)
}

/// Plays a scenario like [`play`], with injected failures of the dispatchers' system calls. Dispatcher `d`
/// uses plan `d % plans.len()`; without plans nothing is injected.
///
/// # Errors
///
/// Returns the errors of [`play`], and an error if the fault shim cannot be built.
pub fn play_with_fault_plans(
    scenario: &Scenario,
    program: &Path,
    seed: u64,
    plans: &[Plan],
    progress: &dyn Fn(f64),
) -> Result<Outcome, String> {
    if !program.is_file() {
        return Err(format!(
            "{}: no such program; build it or give its path with --program",
            program.display()
        ));
    }
    let folder = tempfile::Builder::new().prefix("topazsail-lab-").tempdir();
    let mut folder =
        folder.map_err(|error| format!("cannot create a directory for the dispatchers' files: {error}"))?;
    // Logs and disks can be inspected after the run.
    if std::env::var_os(KEEP_VARIABLE).is_some() {
        folder.disable_cleanup(true);
        eprintln!("{} seed {seed}: {}", scenario.name, folder.path().display());
    }
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|error| format!("cannot create the async runtime: {error}"))?;
    let local = tokio::task::LocalSet::new();
    let outcome = local.block_on(&runtime, run(scenario, program, seed, (folder.path(), plans), progress));
    drop(local);
    outcome
}

/// Listens at a free port of `ip`.
async fn bind(ip: Ipv4Addr) -> Result<(TcpListener, SocketAddr), String> {
    let describe = |error: io::Error| format!("listen {ip}: {error}");
    let listener = TcpListener::bind((ip, 0)).await.map_err(describe)?;
    let address = listener.local_addr().map_err(describe)?;
    Ok((listener, address))
}

/// Sets up the sockets, starts the dispatchers, plays the scenario and collects the outcome.
async fn run(
    scenario: &Scenario,
    program: &Path,
    seed: u64,
    (folder, plans): (&Path, &[Plan]),
    progress: &dyn Fn(f64),
) -> Result<Outcome, String> {
    // The addresses derive from the process id, so that no socket of another process is in the way. Concurrent runs
    // of one process use different networks as well: dispatchers that were given the same port would share it.
    static RUNS: AtomicU8 = AtomicU8::new(0);
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let first_network = 64 + RUNS.fetch_add(1, Ordering::Relaxed) % MAX_CONCURRENT_RUNS * 4;
    let ip = |network: u8| Ipv4Addr::new(127, first_network + network, high, low | 1);
    let world = World::new(scenario, seed);
    let (dispatcher_count, runner_count) = (scenario.dispatchers as usize, scenario.runners());
    let mut listeners = Vec::new();
    // Kept until the run ends.
    let mut reserved_ports = Vec::new();
    let (mut runner_addresses, mut discovery_listeners, mut listen_addresses) =
        (Vec::new(), Vec::new(), Vec::new());
    for _ in 0..dispatcher_count {
        let mut row = Vec::new();
        for _ in 0..runner_count {
            let (listener, address) = bind(ip(0)).await?;
            listeners.push(Some(listener));
            row.push(address);
        }
        runner_addresses.push(row);
        discovery_listeners.push(bind(ip(1)).await?);
        let port = ReservedPort::at(ip(2))?;
        listen_addresses.push(port.address);
        reserved_ports.push(port);
    }
    let (mut admin_addresses, mut directories) = (Vec::new(), Vec::new());
    for d in 0..if scenario.store.is_some() { dispatcher_count } else { 0 } {
        let port = ReservedPort::at(ip(3))?;
        admin_addresses.push(port.address);
        reserved_ports.push(port);
        let path = folder.join(format!("d{d}-store"));
        let created = DispatcherDirectory::new(path, seed ^ (d as u64) << 32);
        directories
            .push(created.map_err(|error| format!("cannot create the disk's directory of d{d}: {error}"))?);
    }
    // A dispatcher receives datagrams under the number of its port for clients: no other socket does at that IP
    // address.
    let has_peers = scenario.store.as_ref().is_some_and(|store| store.peers);
    let peer_addresses = if has_peers { listen_addresses.clone() } else { Vec::new() };
    let (mut relay_addresses, mut relay_sockets) = (Vec::new(), Vec::new());
    for _ in &peer_addresses {
        let mut row = Vec::new();
        for _ in 0..dispatcher_count {
            let socket = relay::bind(ip(3)).await?;
            row.push(relay::address(&socket)?);
            relay_sockets.push(Rc::new(socket));
        }
        relay_addresses.push(row);
    }
    let parameters = JudgeParameters::of(scenario, world.locations(), RULE_SLACK, ANSWER_SLACK);
    let shared = Shared {
        judge: Judge::new(parameters),
        tally: Tally::new(scenario),
        listing_states: vec![ListingState::Up; runner_count],
        listing_changes: Vec::new(),
        generation: 1,
        discovery_busy_until: Micros::MIN,
        owners: BTreeMap::new(),
        runner_boots: vec![0; runner_count],
        epochs: vec![0; dispatcher_count],
        routable: vec![true; dispatcher_count],
        suspended: vec![false; dispatcher_count],
        terminating: vec![false; dispatcher_count],
        listen_addresses,
        runner_addresses,
        discovery_addresses: discovery_listeners.iter().map(|(_, address)| *address).collect(),
        idle_connections: [
            (0..dispatcher_count).map(|_| Vec::new()).collect(),
            (0..dispatcher_count).map(|_| Vec::new()).collect(),
        ],
        deduplication_marks: BTreeMap::new(),
        delay_random: seeded_generator(seed, 5),
        open_client_requests: 0,
        bad_client_rate: 0.0,
        lateness_checks: (0, 0, 0),
        last_check: (0, 0),
        void_reasons: Vec::new(),
        notes: Vec::new(),
        crashes: 0,
        admin_addresses,
        directories,
        killed_at: vec![0; dispatcher_count],
        peer_addresses,
        relay_addresses,
        relay_random: seeded_generator(seed, 11),
        operator_calls: [0; 2],
        disk_random: seeded_generator(seed, 8),
        scenario: scenario.clone(),
        seed,
        world,
    };
    let lab = Lab {
        shared: Rc::new(RefCell::new(shared)),
        clients_start: Rc::new(Cell::new((Instant::now() + Duration::from_secs(3600), 0))),
        changed: watch::channel(0).0,
        runner_changed: Rc::new((0..runner_count).map(|_| tokio::sync::Notify::new()).collect()),
    };
    for d in 0..dispatcher_count {
        for r in 0..runner_count {
            spawn_local(serve_runner_port(lab.clone(), d as u32, r, listeners[d * runner_count + r].take()));
        }
    }
    relay::start(&lab, &relay_sockets, dispatcher_count);
    for (d, (listener, _)) in discovery_listeners.into_iter().enumerate() {
        spawn_local(serve_discovery_port(lab.clone(), d as u32, listener));
    }
    for r in 0..runner_count {
        spawn_local(drive_runner(lab.clone(), r));
    }
    let mut processes = Vec::new();
    for d in 0..dispatcher_count as u32 {
        let plan = (!plans.is_empty()).then(|| plans[d as usize % plans.len()].clone());
        let mut process = Process::new(d, program, folder).with_fault_plan(plan);
        start_dispatcher(&lab, &mut process)?;
        processes.push(process);
    }
    for process in &mut processes {
        wait_until_ready(&lab, process).await?;
    }
    let unix_start = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default() + START_DELAY;
    lab.clients_start.set((Instant::now() + START_DELAY, unix_start.as_micros() as Micros));
    spawn_local(measure_lateness(lab.clone()));
    spawn_local(generate_load(lab.clone()));
    spawn_local(send_malformed_requests(lab.clone()));
    if scenario.store.is_some() {
        spawn_local(operators::toggle_admin_overrides(lab.clone()));
        (0..dispatcher_count).for_each(|d| _ = spawn_local(operators::poll_status(lab.clone(), d as u32)));
    }
    let processes = run_schedule(&lab, processes, progress).await?;

    // Checks every idle connection of clients for unexpected data a last time.
    (0..dispatcher_count).for_each(|d| while reusable_connection(&lab, 0, d).is_some() {});
    let now = lab.now();
    let shared = &mut *lab.shared.borrow_mut();
    shared.judge.finish(now);
    let (checks, late, longest) = shared.lateness_checks;
    if late * 100 > checks || longest > MAX_LATENESS {
        shared.void_reasons.push(format!(
            "the lab was late: {late} of {checks} times by over {} ms, {} ms at most",
            LATE_THRESHOLD / 1000,
            longest / 1000
        ));
    }
    if let [refused, done] = shared.operator_calls
        && refused + done > 0
    {
        shared.notes.push(format!("operators' calls: {done} answered yes, {refused} not"));
    }
    let details = RunDetails {
        clock: "sockets".to_owned(),
        program: program.display().to_string(),
        seed,
        runners: runner_outcomes(scenario, &shared.world, &shared.tally.forwards),
        faults: std::mem::take(&mut shared.world.fault_bands),
        cold: (shared.judge.cold_work, shared.judge.max_cold_share),
        cold_calls: shared.judge.cold_calls,
        verdict: std::mem::take(&mut shared.judge.verdict),
        void: std::mem::take(&mut shared.void_reasons),
        processes,
        notes: std::mem::take(&mut shared.notes),
    };
    let tally = std::mem::replace(&mut shared.tally, Tally::new(scenario));
    let mut outcome = tally.outcome(scenario, details);
    if shared.crashes > 0 {
        outcome.broken.insert("crashed".to_owned(), shared.crashes);
    }
    Ok(outcome)
}

// Dispatchers.

/// Writes a dispatcher's configuration and starts its process.
fn start_dispatcher(lab: &Lab, process: &mut Process) -> Result<(), String> {
    let d = process.number;
    let roster = roster_json(lab, d, None);
    let shared = &mut *lab.shared.borrow_mut();
    let index = d as usize;
    let parameters = DispatcherParameters {
        number: d,
        zone: shared.scenario.zones.names[index % shared.world.zones].clone(),
        seed: seeded_generator(shared.seed, 1 << 41 | u64::from(d) << 8 | shared.epochs[index]).random(),
        listen: shared.listen_addresses[index].to_string(),
        discovery: shared.discovery_addresses[index].to_string(),
        known: roster,
        store: shared.directories.get(index).map(|folder| StoreParameters {
            folder: folder.path().display().to_string(),
            admin: shared.admin_addresses[index].to_string(),
            peers: shared.peer_addresses.get(index).map(|at| {
                let others =
                    shared.relay_addresses[index].iter().enumerate().filter(|(other, _)| *other != index);
                (at.to_string(), others.map(|(other, at)| (format!("d{other}"), at.to_string())).collect())
            }),
        }),
    };
    process.write_configuration(&shared.scenario.configuration(&parameters))?;
    process.start()?;
    shared.epochs[index] += 1;
    let now = lab.now();
    shared.judge.observe(now, Observation::Began { dispatcher: d });
    Ok(())
}

/// Waits until a dispatcher answers its health check with 200.
async fn wait_until_ready(lab: &Lab, process: &mut Process) -> Result<(), String> {
    let address = lab.shared.borrow().listen_addresses[process.number as usize];
    let until = Instant::now() + READY_TIMEOUT;
    loop {
        if let Some(code) = process.take_exit_code() {
            return Err(format!("d{} ended at once with {code:?}: {}", process.number, process.log_tail()));
        }
        if let Ok(stream) = TcpStream::connect(address).await {
            let mut connection = Connection::new(stream);
            let _ = connection.send(&request("GET", "/healthz", "Connection: close\r\n", "")).await;
            if matches!(connection.receive().await, Ok(Some(Message { status: 200, .. }))) {
                return Ok(());
            }
        }
        if Instant::now() > until {
            return Err(format!("d{} was not ready within {READY_TIMEOUT:?}", process.number));
        }
        sleep(Duration::from_millis(10)).await;
    }
}

/// Applies the scenario's schedule of changes, waits until all requests have ended, and stops the
/// dispatchers. Returns their resource usage.
async fn run_schedule(
    lab: &Lab,
    mut processes: Vec<Process>,
    progress: &dyn Fn(f64),
) -> Result<Vec<crate::tally::Process>, String> {
    let (schedule, length, max_client_timeout) = {
        let shared = lab.shared.borrow();
        let max_client_timeout =
            shared.scenario.operation.iter().map(|op| op.client_timeout.0).max().unwrap_or(0);
        (shared.world.schedule.clone(), shared.scenario.length.0, max_client_timeout)
    };
    let mut schedule = schedule.into_iter().peekable();
    let mut exit_expected = vec![false; processes.len()];
    loop {
        let now = lab.now();
        while let Some((_, change)) = schedule.next_if(|(at, _)| *at <= now) {
            apply_change(lab, &change, &mut processes, &mut exit_expected)?;
        }
        for (process, exit_expected) in processes.iter_mut().zip(&mut exit_expected) {
            if let Some(code) = process.take_exit_code() {
                let shared = &mut *lab.shared.borrow_mut();
                shared.epochs[process.number as usize] += 1;
                shared.terminating[process.number as usize] = false;
                // After SIGTERM it may exit with code 0, once it has no unanswered invocations.
                if !std::mem::replace(exit_expected, false) || code != Some(0) {
                    shared.crashes += 1;
                    let line = format!("d{} ended with {code:?}: {}", process.number, process.log_tail());
                    shared.notes.push(line);
                }
            }
        }
        progress((now as f64 / length as f64).clamp(0.0, 1.0));
        let open_requests = lab.shared.borrow().open_client_requests;
        if now > length + max_client_timeout + 1_000_000
            || now > length && open_requests == 0 && schedule.peek().is_none()
        {
            break;
        }
        let next = schedule.peek().map_or(now + 20_000, |(at, _)| (*at).min(now + 20_000));
        lab.sleep_until(next.max(now + 1000)).await;
    }
    // Every dispatcher must exit by itself after SIGTERM.
    for process in &mut processes {
        process.sample_usage();
        process.signal(libc::SIGTERM);
    }
    let until = Instant::now() + Duration::from_secs(6);
    while processes.iter().any(Process::is_running) && Instant::now() < until {
        for process in &mut processes {
            process.sample_usage();
            if let Some(code) = process.take_exit_code().filter(|code| *code != Some(0)) {
                let line = format!("d{} ended with {code:?} after SIGTERM", process.number);
                lab.shared.borrow_mut().notes.push(line);
            }
        }
        sleep(Duration::from_millis(20)).await;
    }
    for process in processes.iter_mut().filter(|process| process.is_running()) {
        lab.shared.borrow_mut().notes.push(format!("d{} did not end after SIGTERM", process.number));
        process.kill();
    }
    Ok(processes.iter().map(Process::usage).collect())
}

/// Applies a scheduled change to the processes, the disks and the world. `exit_expected` marks dispatchers
/// that may exit because they received SIGTERM.
fn apply_change(
    lab: &Lab,
    change: &Change,
    processes: &mut [Process],
    exit_expected: &mut [bool],
) -> Result<(), String> {
    let now = lab.now();
    match *change {
        Change::Term(d) => {
            exit_expected[d as usize] = true;
            lab.shared.borrow_mut().terminating[d as usize] = true;
            processes[d as usize].signal(libc::SIGTERM);
            update_routing(lab, d, false, TERM_NOTICE_DELAY);
        }
        Change::Kill(d) => {
            exit_expected[d as usize] = false;
            if processes[d as usize].is_running() {
                processes[d as usize].kill();
                lab.shared.borrow_mut().epochs[d as usize] += 1;
                lab.shared.borrow_mut().suspended[d as usize] = false;
                lab.shared.borrow_mut().terminating[d as usize] = false;
                lab.shared.borrow_mut().killed_at[d as usize] = now;
                let notice = lab.shared.borrow().scenario.clients.front_notice.0;
                update_routing(lab, d, false, notice);
            }
        }
        Change::StartDispatcher(d) => {
            start_dispatcher(lab, &mut processes[d as usize])?;
            update_routing(lab, d, true, RETURN_NOTICE_DELAY);
        }
        Change::Suspend(d, suspended) => {
            let process = &processes[d as usize];
            process.signal(if suspended { libc::SIGSTOP } else { libc::SIGCONT });
            if process.is_running() {
                let now = lab.now();
                let shared = &mut *lab.shared.borrow_mut();
                shared.judge.observe(now, Observation::Still { dispatcher: d, still: suspended });
                shared.suspended[d as usize] = suspended;
            }
            let notice = lab.shared.borrow().scenario.clients.front_notice.0;
            update_routing(lab, d, !suspended, if suspended { notice } else { RETURN_NOTICE_DELAY });
        }
        Change::DiskFault(d, fault, slow, active) => {
            let shared = &mut *lab.shared.borrow_mut();
            let folder = &mut shared.directories[d as usize];
            match fault {
                DiskFault::Full => folder.condition.full = active,
                DiskFault::ReadOnly => folder.condition.read_only = active,
                DiskFault::SyncFails => folder.condition.sync_fails = active,
                DiskFault::Slow => folder.condition.slow = if active { slow } else { 0 },
            }
            folder.write_control_file().map_err(|error| format!("disk of d{d}: {error}"))?;
        }
        Change::SaveDisk(d) => {
            let shared = &mut *lab.shared.borrow_mut();
            shared.directories[d as usize].save().map_err(|error| format!("disk of d{d}: {error}"))?;
        }
        Change::PrepareDisk(d, state, power_lost, all_disks) => {
            prepare_disk(lab, d, (state, power_lost, all_disks), processes[d as usize].is_running())?;
        }
        Change::Reload => {
            for process in processes.iter().filter(|process| process.is_running()) {
                process.signal(libc::SIGHUP);
            }
        }
        Change::BadClients(rate) => lab.shared.borrow_mut().bad_client_rate = rate,
        _ => {}
    }
    let effects = lab.shared.borrow_mut().world.apply(now, change);
    for r in effects.reset {
        lab.shared.borrow_mut().runner_boots[r] += 1;
    }
    for (r, inv) in effects.lost {
        let owner = lab.shared.borrow_mut().owners.remove(&(r, inv));
        if let Some(d) = owner.filter(|_| lab.shared.borrow().world.runners[r].state == ProcessState::Down) {
            let lab = lab.clone();
            spawn_local(async move {
                sleep(Duration::from_micros(LOST_JOB_REPORT_DELAY as u64)).await;
                call_back(&lab, r, d, inv, "lost", None, Some(ForwardEnd::MayHaveRun)).await;
            });
        }
    }
    for (r, inv, event) in effects.job_events {
        report_job_event(lab, r, inv, event);
    }
    for (r, state, delay) in effects.listed {
        let lab = lab.clone();
        spawn_local(async move {
            sleep(Duration::from_micros(delay as u64)).await;
            publish_change(&lab, r, state);
        });
    }
    lab.changed.send_modify(|count| *count += 1);
    lab.runner_changed.iter().for_each(tokio::sync::Notify::notify_one);
    Ok(())
}

/// Prepares a dispatcher's disk as its next process is to find it. `power_lost` means that its machine
/// lost power, `all_disks` that the disks of all dispatchers are treated alike.
fn prepare_disk(
    lab: &Lab,
    d: u32,
    (state, power_lost, all_disks): (DiskState, bool, bool),
    is_running: bool,
) -> Result<(), String> {
    let unix_now = lab.clients_start.get().1 + lab.now();
    let now = lab.now();
    let shared = &mut *lab.shared.borrow_mut();
    // Outages may overlap, so that the process may still be running.
    if shared.directories.is_empty() || is_running {
        return Ok(());
    }
    let (index, count) = (d as usize, shared.directories.len());
    let condition = &mut shared.directories[index].condition;
    condition.seed = condition.seed.wrapping_add(1);
    if power_lost {
        // The machine has been starting since the loss of power.
        (condition.life, condition.up_since) =
            (condition.life + 1, unix_now - (now - shared.killed_at[index]));
    }
    let other = Some(&shared.directories[(index + 1) % count]).filter(|_| count > 1);
    let changed = shared.directories[index].prepare(state, other, &mut shared.disk_random);
    let written = changed.and_then(|()| shared.directories[index].write_control_file());
    // State that a disk lost is excused only where no peer can supply it.
    let store = shared.scenario.store.as_ref();
    let excused = store.is_some_and(|store| store.excused && (all_disks || !store.peers));
    if state != DiskState::Kept && excused {
        shared.judge.observe(now, Observation::Forgets { dispatcher: d });
    }
    written.map_err(|error| format!("disk of d{d}: {error}"))
}

/// Makes clients send to a dispatcher, or stop sending to it, after a delay. Has no effect if its process was
/// restarted meanwhile.
fn update_routing(lab: &Lab, d: u32, routable: bool, delay: Micros) {
    let lab = lab.clone();
    let (epoch, suspended) =
        (lab.shared.borrow().epochs[d as usize], lab.shared.borrow().suspended[d as usize]);
    spawn_local(async move {
        sleep(Duration::from_micros(delay as u64)).await;
        let shared = &mut *lab.shared.borrow_mut();
        // A process that resumed before the clients noticed its suspension stays routable.
        let is_unchanged = shared.suspended[d as usize] == suspended;
        if shared.epochs[d as usize] == epoch && is_unchanged {
            shared.routable[d as usize] = routable;
        }
    });
}

// Discovery.

/// Changes discovery's state of a runner and notifies the watches.
fn publish_change(lab: &Lab, r: usize, state: ListingState) {
    let now = lab.now();
    let shared = &mut *lab.shared.borrow_mut();
    let runner = &shared.world.runners[r];
    // A state that is outdated because the runner was started again is ignored.
    if state != ListingState::Up && runner.state == ProcessState::Up && !runner.draining {
        return;
    }
    let (wanted, launched) = (state == ListingState::Up, runner.launched);
    shared.judge.observe(now, Observation::Listed { runner: r as u32, wanted, launched });
    shared.listing_states[r] = state;
    shared.generation += 1;
    shared.listing_changes.push((shared.generation, r, state));
    lab.changed.send_modify(|count| *count += 1);
}

/// Formats discovery's roster for a dispatcher: all of it, or the changes since a generation.
fn roster_json(lab: &Lab, d: u32, since: Option<u64>) -> serde_json::Value {
    let shared = lab.shared.borrow();
    let runner_addresses = &shared.runner_addresses[d as usize];
    let entry = |(r, state): (usize, ListingState)| {
        shared.world.entry(
            &shared.scenario,
            r,
            state,
            lab.clients_start.get().1,
            &runner_addresses[r].to_string(),
        )
    };
    let instances: Vec<serde_json::Value> = match since {
        None => shared
            .listing_states
            .iter()
            .copied()
            .enumerate()
            .filter(|(_, s)| *s != ListingState::Gone)
            .map(entry)
            .collect(),
        Some(since) => {
            // The latest state of each runner.
            let changed: BTreeMap<usize, ListingState> = shared
                .listing_changes
                .iter()
                .filter(|(at, ..)| *at > since)
                .map(|(_, r, state)| (*r, *state))
                .collect();
            changed.into_iter().map(entry).collect()
        }
    };
    json!({"generation": shared.generation, "reset": since.is_none(), "instances": instances})
}

/// Records for the judge what a dispatcher learns from a roster that is now sent to it.
fn record_roster_sent(lab: &Lab, d: u32, roster: &serde_json::Value) {
    let now = lab.now();
    let is_whole = roster["reset"] == true;
    let shared = &mut *lab.shared.borrow_mut();
    let mut named = vec![false; shared.listing_states.len()];
    for instance in roster["instances"].as_array().into_iter().flatten() {
        let runner = crate::policy::runner_number(instance["instanceId"].as_str().unwrap_or("r"));
        let wanted = instance["lifecycle"] == "up";
        if let Some(named) = named.get_mut(runner as usize) {
            *named = true;
        }
        shared.judge.observe(now, Observation::Told { dispatcher: d, runner, wanted });
    }
    for runner in (0..named.len()).filter(|r| is_whole && !named[*r]) {
        shared.judge.observe(now, Observation::Told { dispatcher: d, runner: runner as u32, wanted: false });
    }
}

/// Accepts one dispatcher's connections to discovery.
async fn serve_discovery_port(lab: Lab, d: u32, listener: TcpListener) {
    while let Ok((stream, _)) = listener.accept().await {
        let lab = lab.clone();
        spawn_local(async move {
            let mut connection = Connection::new(stream);
            let _ = serve_discovery(&lab, d, &mut connection).await;
        });
    }
}

/// Answers one connection to discovery: calls for the whole list, and a watch, which stays open until
/// discovery fails.
async fn serve_discovery(lab: &Lab, d: u32, connection: &mut Connection) -> io::Result<()> {
    let zone = lab.zone_of(d);
    while let Some(message) = connection.receive().await? {
        lab.traverse_link(zone, 0).await;
        let answer_at = {
            let now = lab.now();
            let shared = &mut *lab.shared.borrow_mut();
            let starts_at = shared.discovery_busy_until.max(now);
            let up = shared.world.discovery_up && starts_at - now <= shared.scenario.discovery.call_most.0;
            shared.discovery_busy_until = starts_at + if up { shared.scenario.discovery.call.0 } else { 0 };
            up.then_some(shared.discovery_busy_until)
        };
        let Some(answer_at) = answer_at else {
            return connection.send(&response(503, "Connection: close\r\n", "")).await;
        };
        lab.sleep_until(answer_at).await;
        lab.traverse_link(0, zone).await;
        let Some((_, query)) = message.target.split_once('?') else {
            let listed = roster_json(lab, d, None);
            record_roster_sent(lab, d, &listed);
            connection.send(&response(200, "", &listed.to_string())).await?;
            continue;
        };
        let since = query.split('&').find_map(|pair| pair.strip_prefix("since="));
        let mut since: u64 = since.and_then(|since| since.parse().ok()).unwrap_or(0);
        connection.send(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await?;
        // A generation of this run is answered with the changes since then, generation 0 with the whole list.
        let mut listed = roster_json(lab, d, Some(since).filter(|since| *since > 0));
        let mut changed = lab.changed.subscribe();
        loop {
            since = listed["generation"].as_u64().unwrap_or(since);
            record_roster_sent(lab, d, &listed);
            let line = format!("{listed}\n");
            connection.send(format!("{:x}\r\n{line}\r\n", line.len()).as_bytes()).await?;
            loop {
                let (up, generation) = {
                    let shared = lab.shared.borrow();
                    (shared.world.discovery_up, shared.generation)
                };
                if !up {
                    return Ok(());
                }
                if generation > since {
                    break;
                }
                tokio::select! {
                    () = connection.wait_for_input() => return Ok(()),
                    _ = changed.changed() => {}
                    () = sleep(WATCH_KEEP_ALIVE_INTERVAL) => {
                        if lab.shared.borrow().world.is_linked(zone, 0) {
                            connection.send(b"1\r\n\n\r\n").await?;
                        }
                    }
                }
            }
            lab.traverse_link(0, zone).await;
            listed = roster_json(lab, d, Some(since));
        }
    }
    Ok(())
}

// Runners.

/// Accepts a dispatcher's connections to a runner. They are refused while the runner's process is down.
async fn serve_runner_port(lab: Lab, d: u32, r: usize, mut listener: Option<TcpListener>) {
    let address = lab.shared.borrow().runner_addresses[d as usize][r];
    let mut changed = lab.changed.subscribe();
    loop {
        let is_down = lab.shared.borrow().world.runners[r].state == ProcessState::Down;
        if is_down {
            listener = None;
        } else if listener.is_none() {
            match TcpListener::bind(address).await {
                Ok(bound) => listener = Some(bound),
                Err(error) => {
                    let line = format!("r{r} cannot listen at {address} again: {error}");
                    return lab.shared.borrow_mut().void_reasons.push(line);
                }
            }
        }
        let Some(bound) = &listener else {
            if changed.changed().await.is_err() {
                return;
            }
            continue;
        };
        tokio::select! {
            accepted = bound.accept() => {
                let Ok((stream, _)) = accepted else { continue };
                let lab = lab.clone();
                spawn_local(async move {
                    serve_runner_connection(&lab, d, r, Connection::new(stream)).await
                });
            }
            _ = changed.changed() => {}
        }
    }
}

/// Serves a dispatcher's connection to a runner until either closes it or the runner's process ends.
async fn serve_runner_connection(lab: &Lab, d: u32, r: usize, mut connection: Connection) {
    let boot = lab.shared.borrow().runner_boots[r];
    let now = lab.now();
    let handshake = {
        let shared = &mut *lab.shared.borrow_mut();
        let runner = &mut shared.world.runners[r];
        // Accepted just as the process ended: as on a real machine, the connection is reset.
        if runner.state == ProcessState::Down || !runner.connect(now) {
            return connection.reset();
        }
        shared.tally.traffic.connections += 1;
        runner.handshake()
    };
    lab.runner_changed[r].notify_one();
    if handshake >= MIN_DELAY {
        sleep(Duration::from_micros(handshake as u64)).await;
    }
    let mut pending = None;
    let ended = tokio::select! {
        ended = serve_requests(lab, d, r, &mut connection, &mut pending) => ended,
        () = lab.wait_while(|shared| shared.runner_boots[r] == boot) => {
            Err(io::ErrorKind::ConnectionReset.into())
        }
    };
    let (process_ended, now) = (lab.shared.borrow().runner_boots[r] != boot, lab.now());
    if let Some(inv) = pending {
        // A forward without its 202: it was lost with the runner's process, or the dispatcher withdrew it.
        let how = if process_ended {
            Observation::Ended { inv, runner: r as u32, how: ForwardEnd::MayHaveRun }
        } else {
            Observation::Withdrawn { inv, runner: r as u32 }
        };
        lab.record(how);
        if !process_ended {
            cancel_job(lab, r, inv);
        }
    }
    if process_ended || ended.is_err() {
        connection.reset();
    }
    if !process_ended {
        let runner = &mut lab.shared.borrow_mut().world.runners[r];
        runner.change(now, |runner| runner.connections = runner.connections.saturating_sub(1));
    }
}

/// Cancels a job. Returns whether the runner held it.
fn cancel_job(lab: &Lab, r: usize, inv: u64) -> bool {
    let mut events = Vec::new();
    let now = lab.now();
    let known = {
        let shared = &mut *lab.shared.borrow_mut();
        shared.owners.remove(&(r, inv));
        shared.world.runners[r].cancel(now, inv, &mut events)
    };
    for (inv, event) in events {
        report_job_event(lab, r, inv, event);
    }
    lab.runner_changed[r].notify_one();
    known
}

/// Answers the messages on a connection to a runner. `pending` is the invocation of a forward that has been
/// read but has no 202 yet.
async fn serve_requests(
    lab: &Lab,
    d: u32,
    r: usize,
    connection: &mut Connection,
    pending: &mut Option<u64>,
) -> io::Result<()> {
    let (dispatcher_zone, runner_zone) = (lab.zone_of(d), lab.shared.borrow().world.runners[r].zone);
    while let Some(message) = connection.receive().await? {
        let id = message.header("x-request-id").and_then(|id| u64::from_str_radix(id, 16).ok());
        if message.method == "POST" {
            let Some(inv) = id else {
                connection.send(&response(404, "", "")).await?;
                continue;
            };
            *pending = Some(inv);
            record_forward(lab, d, r, inv);
            let deadline = message.header("x-deadline-ms").and_then(|text| text.parse::<Micros>().ok());
            if let Some(deadline) = deadline {
                lab.shared
                    .borrow_mut()
                    .record(lab.now(), Observation::TimeTold { inv, told: deadline * 1000 });
            }
        }
        // A dispatcher that closes its connection meanwhile has withdrawn the forward.
        let transfer = async {
            lab.traverse_link(dispatcher_zone, runner_zone).await;
            lab.wait_while(|shared| {
                let runner = &shared.world.runners[r];
                runner.frozen || runner.state == ProcessState::Silent
            })
            .await;
        };
        if pending.is_some() {
            tokio::select! {
                () = transfer => {}
                () = connection.wait_for_input() => return Ok(()),
            }
        } else {
            transfer.await;
        }
        let reply = match (message.method.as_str(), message.target.as_str()) {
            ("POST", _) => accept_job(lab, d, r, id.unwrap_or(0), &message),
            ("DELETE", target) => {
                let inv = target.strip_prefix("/jobs/").and_then(|id| u64::from_str_radix(id, 16).ok());
                match inv {
                    Some(inv) => {
                        lab.record(Observation::Withdrawn { inv, runner: r as u32 });
                        let known = cancel_job(lab, r, inv);
                        (response(if known { 200 } else { 404 }, "", ""), None)
                    }
                    None => (response(404, "", ""), None),
                }
            }
            ("GET", "/load" | "/healthz") => {
                let now = lab.now();
                let shared = &mut *lab.shared.borrow_mut();
                shared.tally.traffic.probes += 1;
                (response(200, "", &load_json(shared.world.runners[r].report(now)).to_string()), None)
            }
            _ => (response(404, "", ""), None),
        };
        lab.traverse_link(runner_zone, dispatcher_zone).await;
        if let (Some(inv), Some(how)) = (*pending, reply.1) {
            lab.record(Observation::Ended { inv, runner: r as u32, how });
        }
        connection.send(&reply.0).await?;
        *pending = None;
        if !message.keeps_alive() {
            return Ok(());
        }
    }
    Ok(())
}

/// Records a forward whose last byte has been read.
fn record_forward(lab: &Lab, d: u32, r: usize, inv: u64) {
    let now = lab.now();
    let shared = &mut *lab.shared.borrow_mut();
    let runner = &shared.world.runners[r];
    let cold = (runner.warmth(now) < 1.0).then(|| runner.capacity(now));
    let work = shared.judge.work(inv);
    let crosses_zones = runner.zone != d as usize % shared.world.zones;
    shared.record(now, Observation::Forwarded { inv, dispatcher: d, runner: r as u32, work, cold });
    shared.tally.traffic.forwards += 1;
    shared.tally.traffic.crossings += u64::from(crosses_zones);
    shared.tally.forwards[r] += 1;
}

/// Offers a forwarded job to the runner. Returns the response, and how the forward ended if it did.
fn accept_job(lab: &Lab, d: u32, r: usize, inv: u64, message: &Message) -> (Vec<u8>, Option<ForwardEnd>) {
    let now = lab.now();
    // The amount of work is in the body.
    let body: serde_json::Value = serde_json::from_slice(&message.body).unwrap_or_default();
    let work = body["work"].as_f64().unwrap_or(1.0);
    let path = message.target.split('?').next().unwrap_or_default();
    let mut events = Vec::new();
    let (offer_result, load) = {
        let shared = &mut *lab.shared.borrow_mut();
        let operation = shared.scenario.operation.iter().position(|op| path[1..] == op.name).unwrap_or(0);
        let runner = &mut shared.world.runners[r];
        let offer_result = runner.offer(now, inv, operation, work, &mut events);
        let load = load_json(runner.report(now));
        match offer_result {
            OfferResult::Accepted => drop(shared.owners.insert((r, inv), d)),
            OfferResult::Full => shared.tally.traffic.turned_away += 1,
            OfferResult::Failed => {}
        }
        (offer_result, load)
    };
    for (inv, event) in events {
        report_job_event(lab, r, inv, event);
    }
    lab.runner_changed[r].notify_one();
    match offer_result {
        OfferResult::Accepted => (response(202, "", ""), None),
        OfferResult::Full => {
            (response(503, &format!("X-Not-Run: 1\r\nX-Load: {load}\r\n"), ""), Some(ForwardEnd::NeverRan))
        }
        OfferResult::Failed => {
            (response(500, &format!("X-Load: {load}\r\n"), ""), Some(ForwardEnd::MayHaveRun))
        }
    }
}

/// Advances a runner whenever it has something to do.
async fn drive_runner(lab: Lab, r: usize) {
    loop {
        let due = lab.shared.borrow().world.runners[r].due();
        match due {
            Some(due) => {
                tokio::select! {
                    () = lab.sleep_until(due) => {}
                    () = lab.runner_changed[r].notified() => continue,
                }
            }
            None => {
                lab.runner_changed[r].notified().await;
                continue;
            }
        }
        let mut events = Vec::new();
        let now = lab.now();
        lab.shared.borrow_mut().world.runners[r].wake(now, &mut events);
        for (inv, event) in events {
            report_job_event(&lab, r, inv, event);
        }
        // Steps closer together than the timer's resolution run at once.
        tokio::task::yield_now().await;
    }
}

/// Reports an event of a job: its start to the judge, everything else to its dispatcher by call-back.
fn report_job_event(lab: &Lab, r: usize, inv: u64, event: JobEvent) {
    if event == JobEvent::Started {
        return record_run(lab, r, inv);
    }
    let now = lab.now();
    let shared = &mut *lab.shared.borrow_mut();
    let load = load_json(shared.world.runners[r].report(now));
    let owner = match event {
        JobEvent::Progress(_) => shared.owners.get(&(r, inv)).copied(),
        _ => shared.owners.remove(&(r, inv)),
    };
    let Some(d) = owner else { return };
    let (state, share, outcome) = match event {
        JobEvent::Progress(share) => ("running", Some(share), None),
        JobEvent::Done => ("done", None, Some(ForwardEnd::Succeeded)),
        JobEvent::Returned => ("returned", None, Some(ForwardEnd::NeverRan)),
        JobEvent::Started | JobEvent::Failed => ("failed", None, Some(ForwardEnd::MayHaveRun)),
    };
    let details = match share {
        Some(share) => json!({"share": share}),
        None if state == "done" => json!({"load": load, "result": format!("result of {inv:x}")}),
        None => json!({"load": load}),
    };
    let lab = lab.clone();
    spawn_local(async move { call_back(&lab, r, d, inv, state, Some(details), outcome).await });
}

/// Records for the judge that a job has begun, unless its effect is deduplicated.
fn record_run(lab: &Lab, r: usize, inv: u64) {
    let now = lab.now();
    let shared = &mut *lab.shared.borrow_mut();
    let Some(operation) = shared.judge.operation(inv) else { return };
    let op = &shared.scenario.operation[operation];
    let runner = &shared.world.runners[r];
    let is_new = op.effect != Effect::Deduplicated || {
        let scope = match op.group {
            DeduplicationScope::All => -1,
            DeduplicationScope::Zone => runner.zone as i64,
            DeduplicationScope::Cell => runner.cell,
        };
        let key = (inv >> ATTEMPT_BITS, scope);
        let is_new = shared.deduplication_marks.get(&key).is_none_or(|at| now > at + op.memory_span.0);
        if is_new {
            shared.deduplication_marks.insert(key, now);
        }
        is_new
    };
    if is_new {
        shared.judge.observe(now, Observation::Ran { inv, runner: r as u32 });
    }
}

/// Sends a call-back on a job to its dispatcher, repeated with backoff until it is answered, at most
/// [`MAX_CALL_BACKS`] times.
async fn call_back(
    lab: &Lab,
    r: usize,
    d: u32,
    inv: u64,
    state: &str,
    details: Option<serde_json::Value>,
    outcome: Option<ForwardEnd>,
) {
    let mut body = json!({"id": format!("{inv:x}"), "from": format!("r{r}"), "state": state});
    if let (Some(body), Some(serde_json::Value::Object(details))) = (body.as_object_mut(), details) {
        body.extend(details);
    }
    let message = request("POST", "/v1/job-events", "", &body.to_string());
    let (from, to) = (lab.shared.borrow().world.runners[r].zone, lab.zone_of(d));
    let mut recorded = false;
    for attempt in 0..MAX_CALL_BACKS {
        lab.traverse_link(from, to).await;
        lab.wait_while(|shared| shared.world.runners[r].frozen).await;
        let address = lab.shared.borrow().listen_addresses[d as usize];
        let reused = reusable_connection(lab, 1, d as usize);
        let connection = match reused {
            Some(connection) => Ok(connection),
            None => TcpStream::connect(address).await.map(Connection::new),
        };
        if let Ok(mut connection) = connection {
            if let Some(how) = outcome.filter(|_| !std::mem::replace(&mut recorded, true)) {
                lab.record(Observation::Ended { inv, runner: r as u32, how });
            }
            let exchange = async {
                connection.send(&message).await?;
                connection.receive().await
            };
            if let Ok(Ok(Some(answer))) = timeout(Duration::from_secs(1), exchange).await
                && matches!(answer.status, 200 | 204)
            {
                if answer.keeps_alive() {
                    lab.shared.borrow_mut().idle_connections[1][d as usize].push(connection);
                }
                return;
            }
        }
        // Progress reports are not repeated: they are outdated by the next.
        if state == "running" {
            return;
        }
        sleep(Duration::from_millis(20 << attempt.min(6))).await;
    }
}

// Clients.

/// Starts each client request at its time, independent of the results of earlier ones (open loop).
async fn generate_load(lab: Lab) {
    let client_requests: Vec<ClientRequest> = {
        let shared = lab.shared.borrow();
        ArrivalGenerator::new(&shared.scenario, shared.world.capacity(), shared.seed).collect()
    };
    lab.shared.borrow_mut().open_client_requests = client_requests.len() as u64;
    for (number, client_request) in client_requests.into_iter().enumerate() {
        lab.sleep_until(client_request.at).await;
        let lab = lab.clone();
        spawn_local(async move {
            let end = run_client(&lab, number as u64, &client_request).await;
            let now = lab.now();
            let shared = &mut *lab.shared.borrow_mut();
            // Measured from the scheduled time, so that delays of the lab's own count as waiting.
            shared.tally.record_end(&client_request, end, now - client_request.at);
            shared.open_client_requests -= 1;
        });
    }
}

/// Runs one client request with its retries. Returns how it ended.
async fn run_client(lab: &Lab, number: u64, client_request: &ClientRequest) -> RequestResult {
    let gives_up_at =
        client_request.at + lab.shared.borrow().scenario.operation[client_request.operation].client_timeout.0;
    let mut attempts = 0;
    loop {
        attempts += 1;
        let inv = number << ATTEMPT_BITS | attempts;
        let result = attempt(lab, inv, client_request, gives_up_at).await;
        let end = match result {
            load::AttemptResult::Succeeded => return RequestResult::Succeeded,
            load::AttemptResult::Throttled(_) => RequestResult::Throttled,
            load::AttemptResult::Errored => RequestResult::Errored,
            load::AttemptResult::NotAccepted | load::AttemptResult::NoAnswer => RequestResult::Nothing,
        };
        let (now, retry_at) = (lab.now(), {
            let shared = lab.shared.borrow();
            retry_time(
                &shared.scenario,
                shared.seed,
                (number, client_request),
                attempts as u32,
                result,
                lab.now(),
            )
        });
        match retry_at.filter(|_| now < gives_up_at) {
            Some(at) => lab.sleep_until(at).await,
            None => return end,
        }
    }
}

/// Takes an idle connection to a dispatcher that is still open: of clients for `side` 0, of runners for 1.
/// Data on an idle connection of a client counts as a second answer.
fn reusable_connection(lab: &Lab, side: usize, d: usize) -> Option<Connection> {
    let now = lab.now();
    let shared = &mut *lab.shared.borrow_mut();
    while let Some(mut connection) = shared.idle_connections[side][d].pop() {
        match (connection.idle_state(), connection.last_answered) {
            (IdleState::Quiet, _) => return Some(connection),
            (IdleState::UnexpectedData, Some(inv)) => {
                shared.judge.observe(now, Observation::Answered { inv, how: FinalStatus::Errored })
            }
            _ => {}
        }
    }
    None
}

/// Sends one attempt of a client request. Returns the result as the client sees it.
async fn attempt(
    lab: &Lab,
    inv: u64,
    client_request: &ClientRequest,
    gives_up_at: Micros,
) -> load::AttemptResult {
    let (d, epoch, address, path, extra) = {
        let shared = &mut *lab.shared.borrow_mut();
        shared.tally.traffic.tries += 1;
        let all = shared.listen_addresses.len();
        let start = seeded_generator(shared.seed ^ 0x5eed, inv).random_range(0..all);
        let is_usable = |d: &usize| {
            shared.routable[*d] || shared.terminating[*d] && !shared.idle_connections[0][*d].is_empty()
        };
        let candidates = || (0..all).map(|step| (start + step) % all).filter(is_usable);
        let in_same_zone = candidates().find(|d| d % shared.world.zones == client_request.zone);
        let Some(d) = in_same_zone.or_else(|| candidates().next()) else {
            return load::AttemptResult::NotAccepted;
        };
        let op = &shared.scenario.operation[client_request.operation];
        let mut extra = String::new();
        if op.effect == Effect::Deduplicated {
            extra += &format!("Idempotency-Key: m{:x}\r\n", inv >> ATTEMPT_BITS);
        }
        if let Some(key) = client_request.key {
            extra += &format!("Cookie: sid=k{key}\r\n");
        }
        if inv & ((1 << ATTEMPT_BITS) - 1) > 1 {
            extra += "X-Retry: 1\r\n";
        }
        (d, shared.epochs[d], shared.listen_addresses[d], format!("/{}", op.name), extra)
    };
    let body = json!({"work": client_request.work}).to_string();
    let mut recorded_as_taken = false;
    for use_new_connection in [false, true] {
        if use_new_connection && recorded_as_taken && !lab.shared.borrow().routable[d] {
            // The dispatcher closed the idle connection and takes no new ones: the client retries elsewhere.
            lab.record(Observation::Crossed { inv });
            return load::AttemptResult::NotAccepted;
        }
        let reused = if use_new_connection { None } else { reusable_connection(lab, 0, d) };
        let was_reused = reused.is_some();
        let connection = match reused {
            Some(connection) => Ok(connection),
            None => TcpStream::connect(address).await.map(Connection::new),
        };
        let Ok(mut connection) = connection else {
            if recorded_as_taken {
                break;
            }
            return load::AttemptResult::NotAccepted;
        };
        let left = (gives_up_at - lab.now()).max(0);
        let head = format!("X-Request-Id: {inv:x}\r\nX-Deadline-Ms: {}\r\n{extra}", left / 1000);
        // A process that has ended cannot take the request, even if the kernel accepted the connection.
        if lab.shared.borrow().epochs[d].is_multiple_of(2) {
            return load::AttemptResult::NotAccepted;
        }
        if !std::mem::replace(&mut recorded_as_taken, true) {
            let now = lab.now();
            let observation = Observation::Taken {
                inv,
                dispatcher: d as u32,
                operation: client_request.operation,
                expires_at: gives_up_at,
            };
            let shared = &mut *lab.shared.borrow_mut();
            shared.judge.observe(now, observation);
            shared.judge.note_work(inv, client_request.work);
        }
        let exchange = async {
            connection.send(&request("POST", &path, &head, &body)).await?;
            connection.receive().await
        };
        // Longer than the client's timeout, so that a late answer is recorded as late.
        let response_timeout = Duration::from_micros((left + 2 * ANSWER_SLACK) as u64);
        let abandon_after = abandon_delay(lab, inv, left);
        match timeout(abandon_after.unwrap_or(response_timeout), exchange).await {
            Err(_) if abandon_after.is_some() => {
                drop(connection);
                lab.record(Observation::Left { inv });
                return load::AttemptResult::NoAnswer;
            }
            Err(_) => return load::AttemptResult::NoAnswer,
            Ok(Ok(Some(message))) => return handle_response(lab, inv, d, connection, &message),
            // A reused connection was closed before the request was read: it is sent again on a new one.
            Ok(Ok(None) | Err(_)) if was_reused && lab.shared.borrow().epochs[d] == epoch => {}
            Ok(_) => break,
        }
    }
    // Either the dispatcher was killed, or it broke the rule that every request is answered.
    if lab.shared.borrow().epochs[d] != epoch {
        lab.record(Observation::Lost { inv });
    } else {
        // The socket may close shortly before the lab records the kill.
        sleep(Duration::from_millis(60)).await;
        if lab.shared.borrow().epochs[d] != epoch {
            lab.record(Observation::Lost { inv });
        }
    }
    load::AttemptResult::NoAnswer
}

/// Returns after how long the client closes its connection without waiting for the answer; `None` if it
/// waits.
fn abandon_delay(lab: &Lab, inv: u64, left: Micros) -> Option<Duration> {
    let shared = lab.shared.borrow();
    let mut rng = seeded_generator(shared.seed ^ 0x1ea7, inv);
    let abandons = rng.random::<f64>() < shared.scenario.clients.leaves;
    abandons.then(|| Duration::from_micros((left as f64 * rng.random_range(0.01..0.4)) as u64))
}

/// Records a response for the judge and returns the result as the client sees it.
fn handle_response(
    lab: &Lab,
    inv: u64,
    d: usize,
    mut connection: Connection,
    message: &Message,
) -> load::AttemptResult {
    let retry_after = message.header("retry-after").and_then(|text| text.parse::<f64>().ok());
    let retry_after = retry_after.map(|seconds| (seconds.clamp(0.0, 3600.0) * 1e6) as Micros);
    if message.keeps_alive() {
        connection.last_answered = Some(inv);
        lab.shared.borrow_mut().idle_connections[0][d].push(connection);
    }
    let (how, result) = match message.status {
        200 => (FinalStatus::Succeeded, load::AttemptResult::Succeeded),
        429 | 503 => (FinalStatus::Throttled, load::AttemptResult::Throttled(retry_after)),
        _ => (FinalStatus::Errored, load::AttemptResult::Errored),
    };
    if how == FinalStatus::Succeeded && message.body != format!("result of {inv:x}").as_bytes() {
        lab.record(Observation::Forged { inv });
    }
    lab.record(Observation::Answered { inv, how });
    result
}

/// Sends malformed requests at the scenario's current rate.
async fn send_malformed_requests(lab: Lab) {
    let mut rng = seeded_generator(lab.shared.borrow().seed, 7);
    loop {
        let (rate, all) = {
            let shared = lab.shared.borrow();
            (shared.bad_client_rate, shared.listen_addresses.len())
        };
        if rate <= 0.0 {
            lab.wait_while(|shared| shared.bad_client_rate <= 0.0).await;
            continue;
        }
        sleep(Duration::from_secs_f64(rng.random_range(0.5..1.5) / rate)).await;
        let address = lab.shared.borrow().listen_addresses[rng.random_range(0..all)];
        let bytes: Vec<u8> = match rng.random_range(0..6) {
            0 => b"POST /".to_vec(),
            1 => (0..300).map(|_| rng.random()).collect(),
            2 => b"POST /x HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n\r\n".to_vec(),
            3 => b"GET /nowhere HTTP/1.1\r\n\r\n".to_vec(),
            4 => [b"POST /x HTTP/1.1\r\nA: ".to_vec(), vec![b'a'; 40_000]].concat(),
            _ => b"POST /v1/job-events HTTP/1.1\r\nContent-Length: 3\r\n\r\n{\"}".to_vec(),
        };
        spawn_local(async move {
            if let Ok(stream) = TcpStream::connect(address).await {
                let mut connection = Connection::new(stream);
                let _ = connection.send(&bytes).await;
                let _ = timeout(Duration::from_secs(6), connection.wait_for_input()).await;
            }
        });
    }
}

/// Measures how late the event loop is. Observations are unreliable while it is late.
async fn measure_lateness(lab: Lab) {
    loop {
        let at = lab.now() + LATENESS_CHECK_INTERVAL;
        lab.sleep_until(at).await;
        let late = lab.now() - at;
        let shared = &mut *lab.shared.borrow_mut();
        shared.last_check = (at + late, shared.observation_delay(at + late));
        let checks = &mut shared.lateness_checks;
        checks.0 += 1;
        checks.1 += u64::from(late > LATE_THRESHOLD);
        checks.2 = checks.2.max(late);
    }
}

/// Returns the path of the dispatcher to test, which the build puts beside the lab: the one on a faulty disk
/// if the scenario has a store.
pub fn bundled_program(scenario: &Scenario) -> PathBuf {
    let lab = std::env::current_exe().unwrap_or_default();
    lab.with_file_name(if scenario.store.is_some() { "lab-dispatcher" } else { "topazsail" })
}
