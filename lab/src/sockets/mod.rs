//! The world on sockets: stand-ins on loopback round the real program, in real time.
//!
//! It owns the stand-ins (clients, runners, discovery), the links between them, and the dispatchers' processes.
//! All of it runs on one thread, so that what is seen is seen in one order. It must never decide anything for a
//! dispatcher, and where the lab itself was too late to be believed it says so instead of giving figures.
//!
//! Each dispatcher is told addresses of its own for each runner and for discovery: by the address a stand-in
//! knows who speaks, and plays that link's delay and faults.

mod http;
mod operators;
mod process;
mod relay;

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

use self::http::{Message, Rest, Wire, answer, request};
use self::process::Process;
use crate::disks::{DiskFault, DiskState, DispatcherDirectory};
use crate::judge::{FinalStatus, ForwardEnd, Judge, JudgeParameters, Observation};
use crate::load::{self, ArrivalGenerator, ClientRequest, retry_time, seeded_generator};
use crate::runner::{JobEvent, LoadReport, OfferResult, ProcessState};
use crate::scenario::{DeduplicationScope, DispatcherParameters, Effect, Scenario, StoreParameters};
use crate::tally::{Outcome, RequestResult, RunDetails, Tally};
use crate::virtual_clock::runner_outcomes as of_runners;
use crate::world::{Change, ListingState, World};

/// What the wire's own way may take beyond what the rules allow: the platform gives as much.
const ORDER_SLACK: Micros = 50_000;
const ANSWER_SLACK: Micros = 70_000;
/// Delays under this are less than a timer can keep.
const NO_DELAY: Micros = 500;
/// From when all are ready until clients begin.
const LEAD: Duration = Duration::from_millis(300);
const READY_WITHIN: Duration = Duration::from_secs(10);
const TERM_NOTICED: Micros = 300_000;
const BACK_NOTICED: Micros = 100_000;
const CALLS_MOST: u32 = 10;
const AGENT: Micros = 100_000;
const EMPTY_LINE: Duration = Duration::from_secs(2);
/// The lab is late where its own timer goes off later than this more often than one in a hundred, or once by
/// the second figure.
const LATE: Micros = 20_000;
const FAR_TOO_LATE: Micros = 250_000;
const TICK: Micros = 5_000;
const TRY_BITS: u32 = 4;
/// Runs that can go on at once in one process.
const PLAYS_MOST: u8 = 32;
/// Where this is set, configurations, logs and disks of the dispatchers are left where they were.
const KEEP: &str = "TOPAZSAIL_LAB_KEEP";

/// What all tasks share; borrowed only between two waits.
struct Stage {
    scenario: Scenario,
    seed: u64,
    world: World,
    judge: Judge,
    tally: Tally,
    /// What discovery lists, and every change of it in order.
    states: Vec<ListingState>,
    changes: Vec<(u64, usize, ListingState)>,
    generation: u64,
    discovery_busy: Micros,
    /// Who waits for a job's end.
    owners: BTreeMap<(usize, u64), u32>,
    /// Counts the lives of each runner's process: connections of an earlier one are reset.
    lives: Vec<u64>,
    /// Counts the lives of each dispatcher, odd while it is up.
    epochs: Vec<u64>,
    front: Vec<bool>,
    /// Dispatchers' processes that stand still.
    still: Vec<bool>,
    /// Dispatchers that were told to end: clients go on sending on the connections that they have.
    ending: Vec<bool>,
    listen: Vec<SocketAddr>,
    /// Addresses of runners as each dispatcher is told them.
    addresses: Vec<Vec<SocketAddr>>,
    discoveries: Vec<SocketAddr>,
    /// Idle connections to dispatchers: clients', and runners'.
    idle: [Vec<Vec<Wire>>; 2],
    marks: BTreeMap<(u64, i64), Micros>,
    network: Pcg32,
    open: u64,
    bad_rate: f64,
    ticks: (u64, u64, Micros),
    /// When this loop last looked round, and how late it was by then.
    looked: (Micros, Micros),
    void: Vec<String>,
    notes: Vec<String>,
    crashes: u64,
    /// Where operators call each dispatcher, and its disk, where it has one.
    admins: Vec<SocketAddr>,
    folders: Vec<DispatcherDirectory>,
    /// When each was last killed.
    killed: Vec<Micros>,
    /// Where each dispatcher hears others, and where each is told to reach each other one.
    peers: Vec<SocketAddr>,
    relays: Vec<Vec<SocketAddr>>,
    carried: Pcg32,
    /// Operators' calls that were not answered yes, and those that were.
    hands: [u64; 2],
    spoils: Pcg32,
}

impl Stage {
    /// For how long what is seen now may have been there: this loop has not looked round since, or has just come round
    /// and is still at what came meanwhile, as everybody on the machine is.
    fn behind(&self, now: Micros) -> Micros {
        let (at, late) = self.looked;
        (now - at - TICK).max(late - (now - at)).max(0)
    }

    /// What came on a wire, which the lab may have been late to look at.
    fn see(&mut self, now: Micros, seen: Observation) {
        self.judge.observation_delay = self.behind(now);
        self.judge.observe(now, seen);
    }
}

#[derive(Clone)]
struct Lab {
    stage: Rc<RefCell<Stage>>,
    /// When clients begin, by the monotonic clock and as Unix time; far off until all dispatchers are ready.
    zero: Rc<Cell<(Instant, Micros)>>,
    /// Goes up with every change of the world: whoever waits for one looks again.
    changed: watch::Sender<u64>,
    /// One for each runner: its work has changed.
    stirred: Rc<Vec<tokio::sync::Notify>>,
}

impl Lab {
    /// Microseconds since clients began; before that, below zero.
    fn now(&self) -> Micros {
        let now = Instant::now();
        let zero = self.zero.get().0;
        match now.checked_duration_since(zero) {
            Some(since) => since.as_micros() as Micros,
            None => -(zero.duration_since(now).as_micros() as Micros),
        }
    }

    fn see(&self, seen: Observation) {
        let now = self.now();
        self.stage.borrow_mut().see(now, seen);
    }

    async fn until(&self, at: Micros) {
        let left = at - self.now();
        if left > 0 {
            sleep(Duration::from_micros(left as u64)).await;
        }
    }

    /// Waits while `holds`, looking again at every change.
    async fn wait_while(&self, holds: impl Fn(&Stage) -> bool) {
        let mut changed = self.changed.subscribe();
        while holds(&self.stage.borrow()) {
            if changed.changed().await.is_err() {
                return;
            }
        }
    }

    /// The way of bytes between two zones: the delay, and as long as the link is cut.
    async fn pass(&self, from: usize, to: usize) {
        let delay = {
            let stage = &mut *self.stage.borrow_mut();
            World::delay(&stage.scenario, from, to, stage.network.random())
        };
        if delay >= NO_DELAY {
            sleep(Duration::from_micros(delay as u64)).await;
        }
        self.wait_while(|stage| !stage.world.linked(from, to)).await;
    }

    fn zone_of(&self, d: u32) -> usize {
        d as usize % self.stage.borrow().world.zones
    }
}

fn load_json(load: LoadReport) -> serde_json::Value {
    json!({"x0": load.free, "backlog": load.waiting, "outstanding": load.in_flight})
}

/// Plays a scenario against `program` and gives the figures. Real time: as long as the scenario, and some.
pub fn play(
    scenario: &Scenario,
    program: &Path,
    seed: u64,
    progress: &dyn Fn(f64),
) -> Result<Outcome, String> {
    play_failing(scenario, program, seed, &[], progress)
}

/// The same, with system calls of the dispatchers that fail: by the plans in turn, or not at all where there are none.
pub fn play_failing(
    scenario: &Scenario,
    program: &Path,
    seed: u64,
    plans: &[Plan],
    progress: &dyn Fn(f64),
) -> Result<Outcome, String> {
    if !program.is_file() {
        return Err(format!("{}: no such program; build it or name it with --program", program.display()));
    }
    let folder = tempfile::Builder::new().prefix("topazsail-lab-").tempdir();
    let mut folder = folder.map_err(|error| format!("no folder for the dispatchers' files: {error}"))?;
    // For a look at logs and disks afterwards.
    if std::env::var_os(KEEP).is_some() {
        folder.disable_cleanup(true);
        eprintln!("{} seed {seed}: {}", scenario.name, folder.path().display());
    }
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|error| format!("no runtime: {error}"))?;
    let local = tokio::task::LocalSet::new();
    let played = local.block_on(&runtime, run(scenario, program, seed, (folder.path(), plans), progress));
    drop(local);
    played
}

async fn bound(ip: Ipv4Addr) -> Result<(TcpListener, SocketAddr), String> {
    let fault = |error: io::Error| format!("listen {ip}: {error}");
    let listener = TcpListener::bind((ip, 0)).await.map_err(fault)?;
    let address = listener.local_addr().map_err(fault)?;
    Ok((listener, address))
}

async fn run(
    scenario: &Scenario,
    program: &Path,
    seed: u64,
    (folder, plans): (&Path, &[Plan]),
    progress: &dyn Fn(f64),
) -> Result<Outcome, String> {
    // Addresses of this lab's own: nobody else is given a port that was free a moment ago.
    // Runs of one process at once have their own as well: dispatchers share a port that two are told.
    static PLAYS: AtomicU8 = AtomicU8::new(0);
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let first = 64 + PLAYS.fetch_add(1, Ordering::Relaxed) % PLAYS_MOST * 4;
    let ip = |net: u8| Ipv4Addr::new(127, first + net, high, low | 1);
    let world = World::new(scenario, seed);
    let (d_all, r_all) = (scenario.dispatchers as usize, scenario.runners());
    let mut listeners = Vec::new();
    let mut held = Vec::new();
    let (mut addresses, mut discoveries, mut listen) = (Vec::new(), Vec::new(), Vec::new());
    for _ in 0..d_all {
        let mut row = Vec::new();
        for _ in 0..r_all {
            let (listener, address) = bound(ip(0)).await?;
            listeners.push(Some(listener));
            row.push(address);
        }
        addresses.push(row);
        discoveries.push(bound(ip(1)).await?);
        let (listener, address) = bound(ip(2)).await?;
        held.push(listener);
        listen.push(address);
    }
    let (mut admins, mut folders) = (Vec::new(), Vec::new());
    for d in 0..if scenario.store.is_some() { d_all } else { 0 } {
        let (listener, address) = bound(ip(3)).await?;
        held.push(listener);
        admins.push(address);
        let at = folder.join(format!("d{d}-store"));
        let made = DispatcherDirectory::new(at, seed ^ (d as u64) << 32);
        folders.push(made.map_err(|error| format!("no folder for d{d}: {error}"))?);
    }
    let (mut peers, mut relays, mut relay_sockets, mut held_peers) =
        (Vec::new(), Vec::new(), Vec::new(), Vec::new());
    for _ in 0..if scenario.store.as_ref().is_some_and(|store| store.peers) { d_all } else { 0 } {
        let socket = relay::bound(ip(3)).await?;
        peers.push(relay::address(&socket)?);
        held_peers.push(socket);
        let mut row = Vec::new();
        for _ in 0..d_all {
            let socket = relay::bound(ip(3)).await?;
            row.push(relay::address(&socket)?);
            relay_sockets.push(Rc::new(socket));
        }
        relays.push(row);
    }
    drop(held_peers);
    // Only now: a port that is free again could be given twice.
    drop(held);
    let terms = JudgeParameters::of(scenario, world.places(), ORDER_SLACK, ANSWER_SLACK);
    let stage = Stage {
        judge: Judge::new(terms),
        tally: Tally::new(scenario),
        states: vec![ListingState::Up; r_all],
        changes: Vec::new(),
        generation: 1,
        discovery_busy: Micros::MIN,
        owners: BTreeMap::new(),
        lives: vec![0; r_all],
        epochs: vec![0; d_all],
        front: vec![true; d_all],
        still: vec![false; d_all],
        ending: vec![false; d_all],
        listen,
        addresses,
        discoveries: discoveries.iter().map(|(_, address)| *address).collect(),
        idle: [(0..d_all).map(|_| Vec::new()).collect(), (0..d_all).map(|_| Vec::new()).collect()],
        marks: BTreeMap::new(),
        network: seeded_generator(seed, 5),
        open: 0,
        bad_rate: 0.0,
        ticks: (0, 0, 0),
        looked: (0, 0),
        void: Vec::new(),
        notes: Vec::new(),
        crashes: 0,
        admins,
        folders,
        killed: vec![0; d_all],
        peers,
        relays,
        carried: seeded_generator(seed, 11),
        hands: [0; 2],
        spoils: seeded_generator(seed, 8),
        scenario: scenario.clone(),
        seed,
        world,
    };
    let lab = Lab {
        stage: Rc::new(RefCell::new(stage)),
        zero: Rc::new(Cell::new((Instant::now() + Duration::from_secs(3600), 0))),
        changed: watch::channel(0).0,
        stirred: Rc::new((0..r_all).map(|_| tokio::sync::Notify::new()).collect()),
    };
    for d in 0..d_all {
        for r in 0..r_all {
            spawn_local(runner_port(lab.clone(), d as u32, r, listeners[d * r_all + r].take()));
        }
    }
    relay::start(&lab, &relay_sockets, d_all);
    for (d, (listener, _)) in discoveries.into_iter().enumerate() {
        spawn_local(discovery_port(lab.clone(), d as u32, listener));
    }
    for r in 0..r_all {
        spawn_local(drive(lab.clone(), r));
    }
    let mut processes = Vec::new();
    for d in 0..d_all as u32 {
        let plan = (!plans.is_empty()).then(|| plans[d as usize % plans.len()].clone());
        let mut process = Process::new(d, program, folder).fails_by(plan);
        begin(&lab, &mut process)?;
        processes.push(process);
    }
    for process in &mut processes {
        ready(&lab, process).await?;
    }
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default() + LEAD;
    lab.zero.set((Instant::now() + LEAD, unix.as_micros() as Micros));
    spawn_local(keep_time(lab.clone()));
    spawn_local(bring(lab.clone()));
    spawn_local(bad_clients(lab.clone()));
    if scenario.store.is_some() {
        spawn_local(operators::hands(lab.clone()));
        (0..d_all).for_each(|d| _ = spawn_local(operators::asks(lab.clone(), d as u32)));
    }
    let processes = conduct(&lab, processes, progress).await?;

    // A last look at every connection that a client kept.
    (0..d_all).for_each(|d| while kept(&lab, 0, d).is_some() {});
    let now = lab.now();
    let stage = &mut *lab.stage.borrow_mut();
    stage.judge.finish(now);
    let (ticks, late, most) = stage.ticks;
    if late * 100 > ticks || most > FAR_TOO_LATE {
        stage.void.push(format!(
            "the lab was late: {late} of {ticks} times by over {} ms, {} ms at most",
            LATE / 1000,
            most / 1000
        ));
    }
    if let [refused, done] = stage.hands
        && refused + done > 0
    {
        stage.notes.push(format!("operators' calls: {done} answered yes, {refused} not"));
    }
    let about = RunDetails {
        clock: "sockets".to_owned(),
        program: program.display().to_string(),
        seed,
        runners: of_runners(scenario, &stage.world, &stage.tally.forwards),
        faults: std::mem::take(&mut stage.world.bands),
        cold: (stage.judge.cold_work, stage.judge.max_cold_share),
        cold_calls: stage.judge.cold_calls,
        verdict: std::mem::take(&mut stage.judge.verdict),
        void: std::mem::take(&mut stage.void),
        processes,
        notes: std::mem::take(&mut stage.notes),
    };
    let tally = std::mem::replace(&mut stage.tally, Tally::new(scenario));
    let mut outcome = tally.outcome(scenario, about);
    if stage.crashes > 0 {
        outcome.broken.insert("crashed".to_owned(), stage.crashes);
    }
    Ok(outcome)
}

// Dispatchers.

/// Writes a dispatcher's configuration and starts it.
fn begin(lab: &Lab, process: &mut Process) -> Result<(), String> {
    let d = process.number;
    let known = list(lab, d, None);
    let stage = &mut *lab.stage.borrow_mut();
    let nth = d as usize;
    let told = DispatcherParameters {
        number: d,
        zone: stage.scenario.zones.names[nth % stage.world.zones].clone(),
        seed: seeded_generator(stage.seed, 1 << 41 | u64::from(d) << 8 | stage.epochs[nth]).random(),
        listen: stage.listen[nth].to_string(),
        discovery: stage.discoveries[nth].to_string(),
        known,
        store: stage.folders.get(nth).map(|folder| StoreParameters {
            folder: folder.path().display().to_string(),
            admin: stage.admins[nth].to_string(),
            peers: stage.peers.get(nth).map(|at| {
                let others = stage.relays[nth].iter().enumerate().filter(|(other, _)| *other != nth);
                (at.to_string(), others.map(|(other, at)| (format!("d{other}"), at.to_string())).collect())
            }),
        }),
    };
    process.configure(&stage.scenario.configuration(&told))?;
    process.start()?;
    stage.epochs[nth] += 1;
    let now = lab.now();
    stage.judge.observe(now, Observation::Began { dispatcher: d });
    Ok(())
}

async fn ready(lab: &Lab, process: &mut Process) -> Result<(), String> {
    let address = lab.stage.borrow().listen[process.number as usize];
    let until = Instant::now() + READY_WITHIN;
    loop {
        if let Some(code) = process.ended() {
            return Err(format!("d{} ended at once with {code:?}: {}", process.number, process.last_words()));
        }
        if let Ok(stream) = TcpStream::connect(address).await {
            let mut wire = Wire::new(stream);
            let _ = wire.say(&request("GET", "/healthz", "Connection: close\r\n", "")).await;
            if matches!(wire.hear().await, Ok(Some(Message { status: 200, .. }))) {
                return Ok(());
            }
        }
        if Instant::now() > until {
            return Err(format!("d{} was not ready within {READY_WITHIN:?}", process.number));
        }
        sleep(Duration::from_millis(10)).await;
    }
}

/// Plays the schedule, and waits until all is answered.
async fn conduct(
    lab: &Lab,
    mut processes: Vec<Process>,
    progress: &dyn Fn(f64),
) -> Result<Vec<crate::tally::Process>, String> {
    let (schedule, length, longest) = {
        let stage = lab.stage.borrow();
        let longest = stage.scenario.operation.iter().map(|op| op.client_timeout.0).max().unwrap_or(0);
        (stage.world.schedule.clone(), stage.scenario.length.0, longest)
    };
    let mut schedule = schedule.into_iter().peekable();
    let mut killed = vec![false; processes.len()];
    loop {
        let now = lab.now();
        while let Some((_, change)) = schedule.next_if(|(at, _)| *at <= now) {
            apply(lab, &change, &mut processes, &mut killed)?;
        }
        for (process, killed) in processes.iter_mut().zip(&mut killed) {
            if let Some(code) = process.ended() {
                let stage = &mut *lab.stage.borrow_mut();
                stage.epochs[process.number as usize] += 1;
                stage.ending[process.number as usize] = false;
                // After SIGTERM it may end by itself, as long as it owes nothing.
                if !std::mem::replace(killed, false) || code != Some(0) {
                    stage.crashes += 1;
                    let line = format!("d{} ended with {code:?}: {}", process.number, process.last_words());
                    stage.notes.push(line);
                }
            }
        }
        progress((now as f64 / length as f64).clamp(0.0, 1.0));
        let open = lab.stage.borrow().open;
        if now > length + longest + 1_000_000 || now > length && open == 0 && schedule.peek().is_none() {
            break;
        }
        let next = schedule.peek().map_or(now + 20_000, |(at, _)| (*at).min(now + 20_000));
        lab.until(next.max(now + 1000)).await;
    }
    // A last word to each: it is to end by itself and leave nothing.
    for process in &mut processes {
        process.look();
        process.signal(libc::SIGTERM);
    }
    let until = Instant::now() + Duration::from_secs(6);
    while processes.iter().any(Process::runs) && Instant::now() < until {
        for process in &mut processes {
            process.look();
            if let Some(code) = process.ended().filter(|code| *code != Some(0)) {
                let line = format!("d{} ended with {code:?} after SIGTERM", process.number);
                lab.stage.borrow_mut().notes.push(line);
            }
        }
        sleep(Duration::from_millis(20)).await;
    }
    for process in processes.iter_mut().filter(|process| process.runs()) {
        lab.stage.borrow_mut().notes.push(format!("d{} did not end after SIGTERM", process.number));
        process.kill();
    }
    Ok(processes.iter().map(Process::used).collect())
}

fn apply(lab: &Lab, change: &Change, processes: &mut [Process], ending: &mut [bool]) -> Result<(), String> {
    let now = lab.now();
    match *change {
        Change::Term(d) => {
            ending[d as usize] = true;
            lab.stage.borrow_mut().ending[d as usize] = true;
            processes[d as usize].signal(libc::SIGTERM);
            front(lab, d, false, TERM_NOTICED);
        }
        Change::Kill(d) => {
            ending[d as usize] = false;
            if processes[d as usize].runs() {
                processes[d as usize].kill();
                lab.stage.borrow_mut().epochs[d as usize] += 1;
                lab.stage.borrow_mut().still[d as usize] = false;
                lab.stage.borrow_mut().ending[d as usize] = false;
                lab.stage.borrow_mut().killed[d as usize] = now;
                let notice = lab.stage.borrow().scenario.clients.front_notice.0;
                front(lab, d, false, notice);
            }
        }
        Change::StartDispatcher(d) => {
            begin(lab, &mut processes[d as usize])?;
            front(lab, d, true, BACK_NOTICED);
        }
        Change::Suspend(d, still) => {
            let process = &processes[d as usize];
            process.signal(if still { libc::SIGSTOP } else { libc::SIGCONT });
            if process.runs() {
                let now = lab.now();
                let stage = &mut *lab.stage.borrow_mut();
                stage.judge.observe(now, Observation::Still { dispatcher: d, still });
                stage.still[d as usize] = still;
            }
            let notice = lab.stage.borrow().scenario.clients.front_notice.0;
            front(lab, d, !still, if still { notice } else { BACK_NOTICED });
        }
        Change::DiskFault(d, wrong, slow, on) => {
            let stage = &mut *lab.stage.borrow_mut();
            let folder = &mut stage.folders[d as usize];
            match wrong {
                DiskFault::Full => folder.condition.full = on,
                DiskFault::ReadOnly => folder.condition.read_only = on,
                DiskFault::SyncFails => folder.condition.sync_fails = on,
                DiskFault::Slow => folder.condition.slow = if on { slow } else { 0 },
            }
            folder.write_control_file().map_err(|error| format!("disk of d{d}: {error}"))?;
        }
        Change::SaveDisk(d) => {
            let stage = &mut *lab.stage.borrow_mut();
            stage.folders[d as usize].save().map_err(|error| format!("disk of d{d}: {error}"))?;
        }
        Change::PrepareDisk(d, found, power, all) => {
            find(lab, d, (found, power, all), processes[d as usize].runs())?;
        }
        Change::Reload => {
            for process in processes.iter().filter(|process| process.runs()) {
                process.signal(libc::SIGHUP);
            }
        }
        Change::BadClients(rate) => lab.stage.borrow_mut().bad_rate = rate,
        _ => {}
    }
    let follows = lab.stage.borrow_mut().world.apply(now, change);
    for r in follows.reset {
        lab.stage.borrow_mut().lives[r] += 1;
    }
    for (r, inv) in follows.lost {
        let owner = lab.stage.borrow_mut().owners.remove(&(r, inv));
        if let Some(d) = owner.filter(|_| lab.stage.borrow().world.runners[r].state == ProcessState::Down) {
            let lab = lab.clone();
            spawn_local(async move {
                sleep(Duration::from_micros(AGENT as u64)).await;
                call_back(&lab, r, d, inv, "lost", None, Some(ForwardEnd::MayHaveRun)).await;
            });
        }
    }
    for (r, inv, news) in follows.job_events {
        tell(lab, r, inv, news);
    }
    for (r, state, after) in follows.listed {
        let lab = lab.clone();
        spawn_local(async move {
            sleep(Duration::from_micros(after as u64)).await;
            list_change(&lab, r, state);
        });
    }
    lab.changed.send_modify(|count| *count += 1);
    lab.stirred.iter().for_each(tokio::sync::Notify::notify_one);
    Ok(())
}

/// The disk as the next life of a dispatcher finds it.
fn find(lab: &Lab, d: u32, (found, power, all): (DiskState, bool, bool), runs: bool) -> Result<(), String> {
    let unix = lab.zero.get().1 + lab.now();
    let now = lab.now();
    let stage = &mut *lab.stage.borrow_mut();
    // Outages overlap: it is up, or is not back yet.
    if stage.folders.is_empty() || runs {
        return Ok(());
    }
    let (nth, count) = (d as usize, stage.folders.len());
    let condition = &mut stage.folders[nth].condition;
    condition.seed = condition.seed.wrapping_add(1);
    if power {
        // Power was away for a moment, and since then the machine has been starting.
        (condition.life, condition.up_since) = (condition.life + 1, unix - (now - stage.killed[nth]));
    }
    let other = Some(&stage.folders[(nth + 1) % count]).filter(|_| count > 1);
    let done = stage.folders[nth].prepare(found, other, &mut stage.spoils);
    let told = done.and_then(|()| stage.folders[nth].write_control_file());
    // Where others still know, it can be told by them.
    let store = stage.scenario.store.as_ref();
    let excused = store.is_some_and(|store| store.excused && (all || !store.peers));
    if found != DiskState::Kept && excused {
        stage.judge.observe(now, Observation::Forgets { dispatcher: d });
    }
    told.map_err(|error| format!("disk of d{d}: {error}"))
}

/// The front's view of a dispatcher, after a while, unless it has another life by then.
fn front(lab: &Lab, d: u32, up: bool, after: Micros) {
    let lab = lab.clone();
    let (epoch, still) = (lab.stage.borrow().epochs[d as usize], lab.stage.borrow().still[d as usize]);
    spawn_local(async move {
        sleep(Duration::from_micros(after as u64)).await;
        let stage = &mut *lab.stage.borrow_mut();
        // Who went on before it was noticed was never missed.
        let missed = stage.still[d as usize] == still;
        if stage.epochs[d as usize] == epoch && missed {
            stage.front[d as usize] = up;
        }
    });
}

// Discovery.

fn list_change(lab: &Lab, r: usize, state: ListingState) {
    let now = lab.now();
    let stage = &mut *lab.stage.borrow_mut();
    let runner = &stage.world.runners[r];
    // What has been overtaken by a new start is passed over.
    if state != ListingState::Up && runner.state == ProcessState::Up && !runner.draining {
        return;
    }
    let (wanted, launched) = (state == ListingState::Up, runner.launched);
    stage.judge.observe(now, Observation::Listed { runner: r as u32, wanted, launched });
    stage.states[r] = state;
    stage.generation += 1;
    stage.changes.push((stage.generation, r, state));
    lab.changed.send_modify(|count| *count += 1);
}

/// The list as one dispatcher is told it: whole, or what has changed after a version.
fn list(lab: &Lab, d: u32, since: Option<u64>) -> serde_json::Value {
    let stage = lab.stage.borrow();
    let addresses = &stage.addresses[d as usize];
    let entry = |(r, state): (usize, ListingState)| {
        stage.world.entry(&stage.scenario, r, state, lab.zero.get().1, &addresses[r].to_string())
    };
    let instances: Vec<serde_json::Value> = match since {
        None => stage
            .states
            .iter()
            .copied()
            .enumerate()
            .filter(|(_, s)| *s != ListingState::Gone)
            .map(entry)
            .collect(),
        Some(since) => {
            // The latest word on each.
            let changed: BTreeMap<usize, ListingState> = stage
                .changes
                .iter()
                .filter(|(at, ..)| *at > since)
                .map(|(_, r, state)| (*r, *state))
                .collect();
            changed.into_iter().map(entry).collect()
        }
    };
    json!({"generation": stage.generation, "reset": since.is_none(), "instances": instances})
}

/// What the judge is to know of a list that is now written to a dispatcher.
fn told(lab: &Lab, d: u32, listed: &serde_json::Value) {
    let now = lab.now();
    let whole = listed["reset"] == true;
    let stage = &mut *lab.stage.borrow_mut();
    let mut named = vec![false; stage.states.len()];
    for instance in listed["instances"].as_array().into_iter().flatten() {
        let runner = crate::policy::runner_number(instance["instanceId"].as_str().unwrap_or("r"));
        let wanted = instance["lifecycle"] == "up";
        if let Some(named) = named.get_mut(runner as usize) {
            *named = true;
        }
        stage.judge.observe(now, Observation::Told { dispatcher: d, runner, wanted });
    }
    for runner in (0..named.len()).filter(|r| whole && !named[*r]) {
        stage.judge.observe(now, Observation::Told { dispatcher: d, runner: runner as u32, wanted: false });
    }
}

async fn discovery_port(lab: Lab, d: u32, listener: TcpListener) {
    while let Ok((stream, _)) = listener.accept().await {
        let lab = lab.clone();
        spawn_local(async move {
            let mut wire = Wire::new(stream);
            let _ = discover(&lab, d, &mut wire).await;
        });
    }
}

async fn discover(lab: &Lab, d: u32, wire: &mut Wire) -> io::Result<()> {
    let zone = lab.zone_of(d);
    while let Some(message) = wire.hear().await? {
        lab.pass(zone, 0).await;
        let begins = {
            let now = lab.now();
            let stage = &mut *lab.stage.borrow_mut();
            let begins = stage.discovery_busy.max(now);
            let up = stage.world.discovery_up && begins - now <= stage.scenario.discovery.call_most.0;
            stage.discovery_busy = begins + if up { stage.scenario.discovery.call.0 } else { 0 };
            up.then_some(stage.discovery_busy)
        };
        let Some(begins) = begins else {
            return wire.say(&answer(503, "Connection: close\r\n", "")).await;
        };
        lab.until(begins).await;
        lab.pass(0, zone).await;
        let Some((_, query)) = message.target.split_once('?') else {
            let listed = list(lab, d, None);
            told(lab, d, &listed);
            wire.say(&answer(200, "", &listed.to_string())).await?;
            continue;
        };
        let since = query.split('&').find_map(|pair| pair.strip_prefix("since="));
        let mut since: u64 = since.and_then(|since| since.parse().ok()).unwrap_or(0);
        wire.say(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await?;
        // A version of this run may be told what changed since; any other has the whole list.
        let mut listed = list(lab, d, Some(since).filter(|since| *since > 0));
        let mut changed = lab.changed.subscribe();
        loop {
            since = listed["generation"].as_u64().unwrap_or(since);
            told(lab, d, &listed);
            let line = format!("{listed}\n");
            wire.say(format!("{:x}\r\n{line}\r\n", line.len()).as_bytes()).await?;
            loop {
                let (up, generation) = {
                    let stage = lab.stage.borrow();
                    (stage.world.discovery_up, stage.generation)
                };
                if !up {
                    return Ok(());
                }
                if generation > since {
                    break;
                }
                tokio::select! {
                    () = wire.ended() => return Ok(()),
                    _ = changed.changed() => {}
                    () = sleep(EMPTY_LINE) => {
                        if lab.stage.borrow().world.linked(zone, 0) {
                            wire.say(b"1\r\n\n\r\n").await?;
                        }
                    }
                }
            }
            lab.pass(0, zone).await;
            listed = list(lab, d, Some(since));
        }
    }
    Ok(())
}

// Runners.

/// One runner's address for one dispatcher: refused while the process is down.
async fn runner_port(lab: Lab, d: u32, r: usize, mut listener: Option<TcpListener>) {
    let address = lab.stage.borrow().addresses[d as usize][r];
    let mut changed = lab.changed.subscribe();
    loop {
        let down = lab.stage.borrow().world.runners[r].state == ProcessState::Down;
        if down {
            listener = None;
        } else if listener.is_none() {
            match TcpListener::bind(address).await {
                Ok(bound) => listener = Some(bound),
                Err(error) => {
                    let line = format!("r{r} cannot listen at {address} again: {error}");
                    return lab.stage.borrow_mut().void.push(line);
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
                spawn_local(async move { runner_line(&lab, d, r, Wire::new(stream)).await });
            }
            _ = changed.changed() => {}
        }
    }
}

/// One connection of a dispatcher to a runner, until either ends it or the process dies.
async fn runner_line(lab: &Lab, d: u32, r: usize, mut wire: Wire) {
    let life = lab.stage.borrow().lives[r];
    let now = lab.now();
    let handshake = {
        let stage = &mut *lab.stage.borrow_mut();
        let runner = &mut stage.world.runners[r];
        // Accepted in the moment of its death: nobody reads there, and the kernel resets it.
        if runner.state == ProcessState::Down || !runner.connect(now) {
            return wire.reset();
        }
        stage.tally.traffic.connections += 1;
        runner.handshake()
    };
    lab.stirred[r].notify_one();
    if handshake >= NO_DELAY {
        sleep(Duration::from_micros(handshake as u64)).await;
    }
    let mut asked = None;
    let ended = tokio::select! {
        ended = serve(lab, d, r, &mut wire, &mut asked) => ended,
        () = lab.wait_while(|stage| stage.lives[r] == life) => Err(io::ErrorKind::ConnectionReset.into()),
    };
    let (died, now) = (lab.stage.borrow().lives[r] != life, lab.now());
    if let Some(inv) = asked {
        // A forward without its 202: the process took it along, or the dispatcher has given it up.
        let how = if died {
            Observation::Ended { inv, runner: r as u32, how: ForwardEnd::MayHaveRun }
        } else {
            Observation::Withdrawn { inv, runner: r as u32 }
        };
        lab.see(how);
        if !died {
            drop_job(lab, r, inv);
        }
    }
    if died || ended.is_err() {
        wire.reset();
    }
    if !died {
        let runner = &mut lab.stage.borrow_mut().world.runners[r];
        runner.change(now, |runner| runner.connections = runner.connections.saturating_sub(1));
    }
}

fn drop_job(lab: &Lab, r: usize, inv: u64) -> bool {
    let mut news = Vec::new();
    let now = lab.now();
    let known = {
        let stage = &mut *lab.stage.borrow_mut();
        stage.owners.remove(&(r, inv));
        stage.world.runners[r].cancel(now, inv, &mut news)
    };
    for (inv, news) in news {
        tell(lab, r, inv, news);
    }
    lab.stirred[r].notify_one();
    known
}

/// Messages on one connection. While a forward has been read and has no 202 yet, `asked` names it.
async fn serve(lab: &Lab, d: u32, r: usize, wire: &mut Wire, asked: &mut Option<u64>) -> io::Result<()> {
    let (near, far) = (lab.zone_of(d), lab.stage.borrow().world.runners[r].zone);
    while let Some(message) = wire.hear().await? {
        let id = message.header("x-request-id").and_then(|id| u64::from_str_radix(id, 16).ok());
        if message.method == "POST" {
            let Some(inv) = id else {
                wire.say(&answer(404, "", "")).await?;
                continue;
            };
            *asked = Some(inv);
            sent(lab, d, r, inv);
            let told = message.header("x-deadline-ms").and_then(|text| text.parse::<Micros>().ok());
            if let Some(told) = told {
                lab.stage.borrow_mut().see(lab.now(), Observation::TimeTold { inv, told: told * 1000 });
            }
        }
        // A dispatcher that closes its connection meanwhile has given the forward up.
        let way = async {
            lab.pass(near, far).await;
            lab.wait_while(|stage| {
                let runner = &stage.world.runners[r];
                runner.frozen || runner.state == ProcessState::Silent
            })
            .await;
        };
        if asked.is_some() {
            tokio::select! {
                () = way => {}
                () = wire.ended() => return Ok(()),
            }
        } else {
            way.await;
        }
        let said = match (message.method.as_str(), message.target.as_str()) {
            ("POST", _) => take(lab, d, r, id.unwrap_or(0), &message),
            ("DELETE", target) => {
                let inv = target.strip_prefix("/jobs/").and_then(|id| u64::from_str_radix(id, 16).ok());
                match inv {
                    Some(inv) => {
                        lab.see(Observation::Withdrawn { inv, runner: r as u32 });
                        let known = drop_job(lab, r, inv);
                        (answer(if known { 200 } else { 404 }, "", ""), None)
                    }
                    None => (answer(404, "", ""), None),
                }
            }
            ("GET", "/load" | "/healthz") => {
                let now = lab.now();
                let stage = &mut *lab.stage.borrow_mut();
                stage.tally.traffic.probes += 1;
                (answer(200, "", &load_json(stage.world.runners[r].report(now)).to_string()), None)
            }
            _ => (answer(404, "", ""), None),
        };
        lab.pass(far, near).await;
        if let (Some(inv), Some(how)) = (*asked, said.1) {
            lab.see(Observation::Ended { inv, runner: r as u32, how });
        }
        wire.say(&said.0).await?;
        *asked = None;
        if !message.keeps() {
            return Ok(());
        }
    }
    Ok(())
}

/// A forward's last byte has been read.
fn sent(lab: &Lab, d: u32, r: usize, inv: u64) {
    let now = lab.now();
    let stage = &mut *lab.stage.borrow_mut();
    let runner = &stage.world.runners[r];
    let cold = (runner.warmth(now) < 1.0).then(|| runner.capacity(now));
    let work = stage.judge.work(inv);
    let far = runner.zone != d as usize % stage.world.zones;
    stage.see(now, Observation::Forwarded { inv, dispatcher: d, runner: r as u32, work, cold });
    stage.tally.traffic.forwards += 1;
    stage.tally.traffic.crossings += u64::from(far);
    stage.tally.forwards[r] += 1;
}

fn take(lab: &Lab, d: u32, r: usize, inv: u64, message: &Message) -> (Vec<u8>, Option<ForwardEnd>) {
    let now = lab.now();
    // The work stands in the body, as a job's would.
    let body: serde_json::Value = serde_json::from_slice(&message.body).unwrap_or_default();
    let work = body["work"].as_f64().unwrap_or(1.0);
    let path = message.target.split('?').next().unwrap_or_default();
    let mut news = Vec::new();
    let (taken, load) = {
        let stage = &mut *lab.stage.borrow_mut();
        let operation = stage.scenario.operation.iter().position(|op| path[1..] == op.name).unwrap_or(0);
        let runner = &mut stage.world.runners[r];
        let taken = runner.offer(now, inv, operation, work, &mut news);
        let load = load_json(runner.report(now));
        match taken {
            OfferResult::Accepted => drop(stage.owners.insert((r, inv), d)),
            OfferResult::Full => stage.tally.traffic.turned_away += 1,
            OfferResult::Failed => {}
        }
        (taken, load)
    };
    for (inv, news) in news {
        tell(lab, r, inv, news);
    }
    lab.stirred[r].notify_one();
    match taken {
        OfferResult::Accepted => (answer(202, "", ""), None),
        OfferResult::Full => {
            (answer(503, &format!("X-Not-Run: 1\r\nX-Load: {load}\r\n"), ""), Some(ForwardEnd::NeverRan))
        }
        OfferResult::Failed => {
            (answer(500, &format!("X-Load: {load}\r\n"), ""), Some(ForwardEnd::MayHaveRun))
        }
    }
}

/// Wakes one runner whenever it has something to do.
async fn drive(lab: Lab, r: usize) {
    loop {
        let due = lab.stage.borrow().world.runners[r].due();
        match due {
            Some(due) => {
                tokio::select! {
                    () = lab.until(due) => {}
                    () = lab.stirred[r].notified() => continue,
                }
            }
            None => {
                lab.stirred[r].notified().await;
                continue;
            }
        }
        let mut news = Vec::new();
        let now = lab.now();
        lab.stage.borrow_mut().world.runners[r].wake(now, &mut news);
        for (inv, news) in news {
            tell(&lab, r, inv, news);
        }
        // Less than a timer's step apart is one step.
        tokio::task::yield_now().await;
    }
}

/// News of a job: to the judge where its effect begins, to its dispatcher where it has to know.
fn tell(lab: &Lab, r: usize, inv: u64, news: JobEvent) {
    if news == JobEvent::Started {
        return ran(lab, r, inv);
    }
    let now = lab.now();
    let stage = &mut *lab.stage.borrow_mut();
    let load = load_json(stage.world.runners[r].report(now));
    let owner = match news {
        JobEvent::Progress(_) => stage.owners.get(&(r, inv)).copied(),
        _ => stage.owners.remove(&(r, inv)),
    };
    let Some(d) = owner else { return };
    let (state, share, back) = match news {
        JobEvent::Progress(share) => ("running", Some(share), None),
        JobEvent::Done => ("done", None, Some(ForwardEnd::Succeeded)),
        JobEvent::Returned => ("returned", None, Some(ForwardEnd::NeverRan)),
        JobEvent::Started | JobEvent::Failed => ("failed", None, Some(ForwardEnd::MayHaveRun)),
    };
    let more = match share {
        Some(share) => json!({"share": share}),
        None if state == "done" => json!({"load": load, "result": format!("result of {inv:x}")}),
        None => json!({"load": load}),
    };
    let lab = lab.clone();
    spawn_local(async move { call_back(&lab, r, d, inv, state, Some(more), back).await });
}

fn ran(lab: &Lab, r: usize, inv: u64) {
    let now = lab.now();
    let stage = &mut *lab.stage.borrow_mut();
    let Some(operation) = stage.judge.operation(inv) else { return };
    let op = &stage.scenario.operation[operation];
    let runner = &stage.world.runners[r];
    let new = op.effect != Effect::Deduplicated || {
        let group = match op.group {
            DeduplicationScope::All => -1,
            DeduplicationScope::Zone => runner.zone as i64,
            DeduplicationScope::Cell => runner.cell,
        };
        let mark = (inv >> TRY_BITS, group);
        let new = stage.marks.get(&mark).is_none_or(|at| now > at + op.memory_span.0);
        if new {
            stage.marks.insert(mark, now);
        }
        new
    };
    if new {
        stage.judge.observe(now, Observation::Ran { inv, runner: r as u32 });
    }
}

/// Tells a dispatcher what became of a job: until it is answered, ten times at most.
async fn call_back(
    lab: &Lab,
    r: usize,
    d: u32,
    inv: u64,
    state: &str,
    more: Option<serde_json::Value>,
    back: Option<ForwardEnd>,
) {
    let mut body = json!({"id": format!("{inv:x}"), "from": format!("r{r}"), "state": state});
    if let (Some(body), Some(serde_json::Value::Object(more))) = (body.as_object_mut(), more) {
        body.extend(more);
    }
    let message = request("POST", "/v1/job-events", "", &body.to_string());
    let (from, to) = (lab.stage.borrow().world.runners[r].zone, lab.zone_of(d));
    let mut seen = false;
    for nth in 0..CALLS_MOST {
        lab.pass(from, to).await;
        lab.wait_while(|stage| stage.world.runners[r].frozen).await;
        let address = lab.stage.borrow().listen[d as usize];
        let kept = kept(lab, 1, d as usize);
        let wire = match kept {
            Some(wire) => Ok(wire),
            None => TcpStream::connect(address).await.map(Wire::new),
        };
        if let Ok(mut wire) = wire {
            if let Some(how) = back.filter(|_| !std::mem::replace(&mut seen, true)) {
                lab.see(Observation::Ended { inv, runner: r as u32, how });
            }
            let said = async {
                wire.say(&message).await?;
                wire.hear().await
            };
            if let Ok(Ok(Some(heard))) = timeout(Duration::from_secs(1), said).await
                && matches!(heard.status, 200 | 204)
            {
                if heard.keeps() {
                    lab.stage.borrow_mut().idle[1][d as usize].push(wire);
                }
                return;
            }
        }
        // Progress that did not get through is of no use later.
        if state == "running" {
            return;
        }
        sleep(Duration::from_millis(20 << nth.min(6))).await;
    }
}

// Clients.

/// Brings each ask when it is due, whatever became of those before.
async fn bring(lab: Lab) {
    let asks: Vec<ClientRequest> = {
        let stage = lab.stage.borrow();
        ArrivalGenerator::new(&stage.scenario, stage.world.capacity(), stage.seed).collect()
    };
    lab.stage.borrow_mut().open = asks.len() as u64;
    for (number, ask) in asks.into_iter().enumerate() {
        lab.until(ask.at).await;
        let lab = lab.clone();
        spawn_local(async move {
            let end = client(&lab, number as u64, &ask).await;
            let now = lab.now();
            let stage = &mut *lab.stage.borrow_mut();
            // From when it was due: a client that was held up has waited as well.
            stage.tally.record_end(&ask, end, now - ask.at);
            stage.open -= 1;
        });
    }
}

async fn client(lab: &Lab, number: u64, ask: &ClientRequest) -> RequestResult {
    let gives_up = ask.at + lab.stage.borrow().scenario.operation[ask.operation].client_timeout.0;
    let mut tries = 0;
    loop {
        tries += 1;
        let inv = number << TRY_BITS | tries;
        let seen = try_once(lab, inv, ask, gives_up).await;
        let end = match seen {
            load::AttemptResult::Succeeded => return RequestResult::Succeeded,
            load::AttemptResult::Throttled(_) => RequestResult::Throttled,
            load::AttemptResult::Errored => RequestResult::Errored,
            load::AttemptResult::Untaken | load::AttemptResult::Nothing => RequestResult::Nothing,
        };
        let (now, again) = (lab.now(), {
            let stage = lab.stage.borrow();
            retry_time(&stage.scenario, stage.seed, (number, ask), tries as u32, seen, lab.now())
        });
        match again.filter(|_| now < gives_up) {
            Some(at) => lab.until(at).await,
            None => return end,
        }
    }
}

/// An idle connection to a dispatcher that it has not ended meanwhile. What it has said on one of them after
/// its answer is a second answer.
fn kept(lab: &Lab, whose: usize, d: usize) -> Option<Wire> {
    let now = lab.now();
    let stage = &mut *lab.stage.borrow_mut();
    while let Some(mut wire) = stage.idle[whose][d].pop() {
        match (wire.rest(), wire.last) {
            (Rest::Quiet, _) => return Some(wire),
            (Rest::Speaks, Some(inv)) => {
                stage.judge.observe(now, Observation::Answered { inv, how: FinalStatus::Errored })
            }
            _ => {}
        }
    }
    None
}

async fn try_once(lab: &Lab, inv: u64, ask: &ClientRequest, gives_up: Micros) -> load::AttemptResult {
    let (d, epoch, address, path, extra) = {
        let stage = &mut *lab.stage.borrow_mut();
        stage.tally.traffic.tries += 1;
        let all = stage.listen.len();
        let start = seeded_generator(stage.seed ^ 0x5eed, inv).random_range(0..all);
        let sends = |d: &usize| stage.front[*d] || stage.ending[*d] && !stage.idle[0][*d].is_empty();
        let order = || (0..all).map(|step| (start + step) % all).filter(sends);
        let near = order().find(|d| d % stage.world.zones == ask.zone);
        let Some(d) = near.or_else(|| order().next()) else { return load::AttemptResult::Untaken };
        let op = &stage.scenario.operation[ask.operation];
        let mut extra = String::new();
        if op.effect == Effect::Deduplicated {
            extra += &format!("Idempotency-Key: m{:x}\r\n", inv >> TRY_BITS);
        }
        if let Some(key) = ask.key {
            extra += &format!("Cookie: sid=k{key}\r\n");
        }
        if inv & ((1 << TRY_BITS) - 1) > 1 {
            extra += "X-Retry: 1\r\n";
        }
        (d, stage.epochs[d], stage.listen[d], format!("/{}", op.name), extra)
    };
    let body = json!({"work": ask.work}).to_string();
    let mut taken = false;
    for fresh in [false, true] {
        if fresh && taken && !lab.stage.borrow().front[d] {
            // It ended the connection between two requests, and nobody new is sent there: this one goes elsewhere.
            lab.see(Observation::Crossed { inv });
            return load::AttemptResult::Untaken;
        }
        let kept = if fresh { None } else { kept(lab, 0, d) };
        let was_kept = kept.is_some();
        let wire = match kept {
            Some(wire) => Ok(wire),
            None => TcpStream::connect(address).await.map(Wire::new),
        };
        let Ok(mut wire) = wire else {
            if taken {
                break;
            }
            return load::AttemptResult::Untaken;
        };
        let left = (gives_up - lab.now()).max(0);
        let head = format!("X-Request-Id: {inv:x}\r\nX-Deadline-Ms: {}\r\n{extra}", left / 1000);
        // Bytes for a process that is gone are taken by nobody.
        if lab.stage.borrow().epochs[d].is_multiple_of(2) {
            return load::AttemptResult::Untaken;
        }
        if !std::mem::replace(&mut taken, true) {
            let now = lab.now();
            let seen = Observation::Taken {
                inv,
                dispatcher: d as u32,
                operation: ask.operation,
                expires_at: gives_up,
            };
            let stage = &mut *lab.stage.borrow_mut();
            stage.judge.observe(now, seen);
            stage.judge.note_work(inv, ask.work);
        }
        let said = async {
            wire.say(&request("POST", &path, &head, &body)).await?;
            wire.hear().await
        };
        // Some longer than the client waits: an answer that comes too late is to be seen as such.
        let patience = Duration::from_micros((left + 2 * ANSWER_SLACK) as u64);
        let leaves = leaves_after(lab, inv, left);
        match timeout(leaves.unwrap_or(patience), said).await {
            Err(_) if leaves.is_some() => {
                drop(wire);
                lab.see(Observation::Left { inv });
                return load::AttemptResult::Nothing;
            }
            Err(_) => return load::AttemptResult::Nothing,
            Ok(Ok(Some(message))) => return answered(lab, inv, d, wire, &message),
            // Ended between two requests: it had not been read.
            Ok(Ok(None) | Err(_)) if was_kept && lab.stage.borrow().epochs[d] == epoch => {}
            Ok(_) => break,
        }
    }
    // Its dispatcher was killed, or it broke the rule.
    if lab.stage.borrow().epochs[d] != epoch {
        lab.see(Observation::Lost { inv });
    } else {
        // The kill may be known to us only a moment later than to the socket.
        sleep(Duration::from_millis(60)).await;
        if lab.stage.borrow().epochs[d] != epoch {
            lab.see(Observation::Lost { inv });
        }
    }
    load::AttemptResult::Nothing
}

/// When its client closes the connection before the answer, if it does.
fn leaves_after(lab: &Lab, inv: u64, left: Micros) -> Option<Duration> {
    let stage = lab.stage.borrow();
    let mut drawn = seeded_generator(stage.seed ^ 0x1ea7, inv);
    let leaves = drawn.random::<f64>() < stage.scenario.clients.leaves;
    leaves.then(|| Duration::from_micros((left as f64 * drawn.random_range(0.01..0.4)) as u64))
}

fn answered(lab: &Lab, inv: u64, d: usize, mut wire: Wire, message: &Message) -> load::AttemptResult {
    let come_back = message.header("retry-after").and_then(|text| text.parse::<f64>().ok());
    let come_back = come_back.map(|seconds| (seconds.clamp(0.0, 3600.0) * 1e6) as Micros);
    if message.keeps() {
        wire.last = Some(inv);
        lab.stage.borrow_mut().idle[0][d].push(wire);
    }
    let (how, seen) = match message.status {
        200 => (FinalStatus::Succeeded, load::AttemptResult::Succeeded),
        429 | 503 => (FinalStatus::Throttled, load::AttemptResult::Throttled(come_back)),
        _ => (FinalStatus::Errored, load::AttemptResult::Errored),
    };
    if how == FinalStatus::Succeeded && message.body != format!("result of {inv:x}").as_bytes() {
        lab.see(Observation::Forged { inv });
    }
    lab.see(Observation::Answered { inv, how });
    seen
}

/// Clients that send what is no request, as long as the scenario has them.
async fn bad_clients(lab: Lab) {
    let mut drawn = seeded_generator(lab.stage.borrow().seed, 7);
    loop {
        let (rate, all) = {
            let stage = lab.stage.borrow();
            (stage.bad_rate, stage.listen.len())
        };
        if rate <= 0.0 {
            lab.wait_while(|stage| stage.bad_rate <= 0.0).await;
            continue;
        }
        sleep(Duration::from_secs_f64(drawn.random_range(0.5..1.5) / rate)).await;
        let address = lab.stage.borrow().listen[drawn.random_range(0..all)];
        let junk: Vec<u8> = match drawn.random_range(0..6) {
            0 => b"POST /".to_vec(),
            1 => (0..300).map(|_| drawn.random()).collect(),
            2 => b"POST /x HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n\r\n".to_vec(),
            3 => b"GET /nowhere HTTP/1.1\r\n\r\n".to_vec(),
            4 => [b"POST /x HTTP/1.1\r\nA: ".to_vec(), vec![b'a'; 40_000]].concat(),
            _ => b"POST /v1/job-events HTTP/1.1\r\nContent-Length: 3\r\n\r\n{\"}".to_vec(),
        };
        spawn_local(async move {
            if let Ok(stream) = TcpStream::connect(address).await {
                let mut wire = Wire::new(stream);
                let _ = wire.say(&junk).await;
                let _ = timeout(Duration::from_secs(6), wire.ended()).await;
            }
        });
    }
}

/// How late this very loop is: where it is, nothing else that it saw can be believed.
async fn keep_time(lab: Lab) {
    loop {
        let at = lab.now() + TICK;
        lab.until(at).await;
        let late = lab.now() - at;
        let stage = &mut *lab.stage.borrow_mut();
        stage.looked = (at + late, stage.behind(at + late));
        let ticks = &mut stage.ticks;
        ticks.0 += 1;
        ticks.1 += u64::from(late > LATE);
        ticks.2 = ticks.2.max(late);
    }
}

/// The program beside the lab's own, as one build leaves both; over a disk that can fail where the scenario has one.
pub fn own_program(scenario: &Scenario) -> PathBuf {
    let lab = std::env::current_exe().unwrap_or_default();
    lab.with_file_name(if scenario.store.is_some() { "lab-dispatcher" } else { "topazsail" })
}
