//! Explores all orders of events in a dispatcher of up to three processes: starts, messages, timers, kills, stops,
//! shutdowns, operators' calls, repeated ids and lists of discovery. After each event the world is also left alone
//! until nothing happens any more, first with the stopped processes and then without, and has to be in order then.

use std::collections::{BTreeMap, BTreeSet, HashSet, VecDeque};
use std::hash::{BuildHasher, BuildHasherDefault, DefaultHasher};

use topazsail::Micros;
use topazsail_upgrade::{Action, Event, Message, OverrideOrder, Resource, Role, Upgrade};

const PROCESSES: usize = 3;
/// The runner that operators call on.
const RUNNER: &str = "s-a";
/// How long the world is left alone: longer than every time limit of an upgrade.
const SETTLING_TIME: Micros = 8_000_000;
/// The states that must be reached at least, so that a change does not make the exploration empty.
const MIN_STATES: usize = 100_000;

/// How often each kind of event may happen.
#[derive(Clone, PartialEq, Eq, Hash)]
struct Budget {
    kills: u8,
    stops: u8,
    shutdowns: u8,
    calls: u8,
    ids: u8,
    lists: u8,
}

/// An operator's call, and which calls the process that answered it knew of.
#[derive(Clone, PartialEq, Eq, Hash)]
struct Call {
    out: bool,
    seen: BTreeSet<u8>,
}

/// What a process sends to another. The numbers of calls are for the checks only.
#[derive(Clone, PartialEq, Eq, Hash)]
enum Packet {
    State { out: bool, ids: BTreeSet<u8>, generation: u8, calls: BTreeSet<u8> },
    Upgrade(Message),
    Override { out: bool, seen: u64, calls: BTreeSet<u8> },
    Taken(u8),
    List(u8),
    End,
}

#[derive(Clone, Copy, PartialEq, Eq, Hash)]
enum Life {
    NotStarted,
    /// Waits for the state of its predecessor.
    Asking,
    Running,
    Over,
}

#[derive(Clone, PartialEq, Eq, Hash)]
struct Process {
    life: Life,
    is_stopped: bool,
    is_shutting_down: bool,
    upgrade: Upgrade,
    timer: Option<Micros>,
    /// The other process, and what it has sent and this one has not read.
    peer: Option<usize>,
    inbox: VecDeque<Packet>,
    resources: BTreeSet<Resource>,
    waits_for_store: bool,
    overrides: OverrideOrder,
    out: bool,
    ids: BTreeSet<u8>,
    generation: u8,
    calls: BTreeSet<u8>,
}

impl Process {
    fn not_started() -> Process {
        Process {
            life: Life::NotStarted,
            is_stopped: false,
            is_shutting_down: false,
            upgrade: Upgrade::default(),
            timer: None,
            peer: None,
            inbox: VecDeque::new(),
            resources: BTreeSet::new(),
            waits_for_store: false,
            overrides: OverrideOrder::default(),
            out: false,
            ids: BTreeSet::new(),
            generation: 0,
            calls: BTreeSet::new(),
        }
    }

    fn is_active(&self) -> bool {
        self.life == Life::Running && !self.is_stopped
    }

    fn accepts(&self) -> bool {
        self.upgrade.owns(Resource::Accepting)
    }
}

#[derive(Clone, PartialEq, Eq, Hash)]
struct World {
    now: Micros,
    processes: Vec<Process>,
    /// Whose socket a starting process finds.
    path: Option<usize>,
    budget: Budget,
    /// All calls that were answered yes, by number.
    calls: BTreeMap<u8, Call>,
    /// The ids that have run.
    ids_run: BTreeSet<u8>,
    /// The latest list that discovery has told any process.
    latest_list: u8,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    Start(usize),
    Read(usize),
    Timer(usize),
    Kill(usize),
    Stop(usize),
    Continue(usize),
    ShutDown(usize),
    /// A process that was told to shut down has answered everything.
    Finish(usize),
    Call(usize, bool),
    /// Two calls of which neither process hears before it answers: `out` at the first process.
    CallsAtOnce {
        first: usize,
        second: usize,
        out_at_first: bool,
    },
    /// A client sends a request with this id, new or repeated.
    Request(usize, u8),
    List(usize),
}

impl World {
    /// One process that serves.
    fn new(budget: Budget) -> World {
        let mut world = World {
            now: 0,
            processes: vec![Process::not_started(); PROCESSES],
            path: None,
            budget,
            calls: BTreeMap::new(),
            ids_run: BTreeSet::new(),
            latest_list: 0,
        };
        world.start_alone(0);
        world
    }

    /// A second process serves, and the first one is still there.
    fn in_upgrade(budget: Budget) -> World {
        let mut world = World::new(budget);
        world.start(1);
        for nth in [0, 1, 0, 1] {
            world.read_all(nth);
            world.read(nth);
        }
        assert!(world.processes[0].upgrade.has_released() && world.processes[1].accepts());
        world
    }

    /// The events that may come next.
    fn steps(&self) -> Vec<Step> {
        let mut steps = Vec::new();
        let next = self.processes.iter().position(|process| process.life == Life::NotStarted);
        // While some process has the listener, a starting one waits for one that answers.
        let is_answered = self.path.is_some_and(|owner| self.processes[owner].is_active());
        if let Some(next) = next.filter(|_| is_answered || !self.is_any_alive()) {
            steps.push(Step::Start(next));
        }
        for (nth, process) in self.processes.iter().enumerate() {
            let is_alive = matches!(process.life, Life::Asking | Life::Running);
            if !is_alive {
                continue;
            }
            if process.is_stopped {
                steps.push(Step::Continue(nth));
            } else {
                steps.extend((!process.inbox.is_empty()).then_some(Step::Read(nth)));
                // The event loop reads its sockets before it looks at its timers.
                let may_fire = process.inbox.is_empty() && self.is_next_timer(nth);
                steps.extend(may_fire.then_some(Step::Timer(nth)));
                steps.extend((self.budget.stops > 0).then_some(Step::Stop(nth)));
            }
            steps.extend((self.budget.kills > 0).then_some(Step::Kill(nth)));
            if !process.is_active() {
                continue;
            }
            if process.is_shutting_down {
                steps.push(Step::Finish(nth));
            } else {
                steps.extend((self.budget.shutdowns > 0).then_some(Step::ShutDown(nth)));
            }
            if self.budget.calls > 0 && (process.accepts() || process.upgrade.has_released()) {
                steps.extend([Step::Call(nth, true), Step::Call(nth, false)]);
            }
            if self.budget.calls > 1
                && let Some(other) = process.peer.filter(|other| self.are_linked(nth, *other))
            {
                steps.extend([true, false].map(|out_at_first| Step::CallsAtOnce {
                    first: nth,
                    second: other,
                    out_at_first,
                }));
            }
            if process.accepts() && self.budget.ids > 0 {
                steps.extend([0, 1].map(|id| Step::Request(nth, id)));
            }
            steps.extend((self.budget.lists > 0).then_some(Step::List(nth)));
        }
        steps
    }

    /// Whether both processes run, answer operators and are connected.
    fn are_linked(&self, first: usize, second: usize) -> bool {
        let answers = |nth: usize| {
            let process = &self.processes[nth];
            process.is_active() && (process.accepts() || process.upgrade.has_released())
        };
        first < second && answers(first) && answers(second) && self.processes[second].peer == Some(first)
    }

    /// Whether a process is there that has the listener, or was sent it.
    fn is_any_alive(&self) -> bool {
        self.processes.iter().any(|process| matches!(process.life, Life::Asking | Life::Running))
    }

    /// Whether the timer of this process is the next one to fire.
    fn is_next_timer(&self, nth: usize) -> bool {
        let running = self.processes.iter().filter(|process| process.is_active());
        let next = running.filter_map(|process| process.timer).min();
        self.processes[nth].timer.is_some() && self.processes[nth].timer == next
    }

    fn take_step(&mut self, step: Step) {
        match step {
            Step::Start(nth) => self.start(nth),
            Step::Read(nth) => self.read(nth),
            Step::Timer(nth) => {
                self.now = self.now.max(self.processes[nth].timer.take().unwrap());
                self.handle(nth, Event::TimerFired);
            }
            Step::Kill(nth) => {
                self.budget.kills -= 1;
                self.end(nth);
            }
            Step::Stop(nth) => {
                self.budget.stops -= 1;
                self.processes[nth].is_stopped = true;
            }
            Step::Continue(nth) => self.processes[nth].is_stopped = false,
            Step::ShutDown(nth) => {
                self.budget.shutdowns -= 1;
                self.processes[nth].is_shutting_down = true;
                self.handle(nth, Event::ShutdownBegan);
            }
            Step::Finish(nth) => self.end(nth),
            Step::Call(nth, out) => {
                self.budget.calls -= 1;
                self.read_all(nth);
                self.call(nth, out);
            }
            Step::CallsAtOnce { first, second, out_at_first } => {
                self.budget.calls -= 2;
                self.read_all(first);
                self.read_all(second);
                self.call(first, out_at_first);
                self.call(second, !out_at_first);
            }
            Step::Request(nth, id) => {
                self.budget.ids -= 1;
                self.read_all(nth);
                self.request(nth, id);
            }
            Step::List(nth) => {
                self.budget.lists -= 1;
                self.read_all(nth);
                self.hear_list(nth);
            }
        }
    }

    /// A process that finds none: it serves, and knows nothing.
    fn start_alone(&mut self, nth: usize) {
        self.processes[nth].life = Life::Running;
        self.path = Some(nth);
        for resource in [Resource::Accepting, Resource::Datagrams, Resource::Store] {
            self.take(nth, resource);
        }
        // What was known only to processes that are gone is lost with them, without a store.
        (self.calls, self.ids_run, self.latest_list) = (BTreeMap::new(), BTreeSet::new(), 0);
    }

    fn start(&mut self, nth: usize) {
        let Some(owner) = self.path.filter(|owner| self.processes[*owner].life == Life::Running) else {
            return self.start_alone(nth);
        };
        let actions = self.processes[owner].upgrade.handle(self.now, Event::SuccessorAsked);
        if actions.iter().any(|action| matches!(action, Action::Refuse(_))) {
            self.processes[nth].life = Life::Over;
            return;
        }
        (self.processes[nth].life, self.processes[nth].peer) = (Life::Asking, Some(owner));
        self.carry_out(owner, actions);
        let old = &mut self.processes[owner];
        old.peer = Some(nth);
        old.overrides = OverrideOrder::default();
        let state = Packet::State {
            out: old.out,
            ids: old.ids.clone(),
            generation: old.generation,
            calls: old.calls.clone(),
        };
        self.send(owner, state);
        self.send(nth, Packet::Upgrade(Message::Hello));
    }

    fn send(&mut self, from: usize, packet: Packet) {
        if let Some(to) = self.processes[from].peer
            && self.processes[to].peer == Some(from)
            && matches!(self.processes[to].life, Life::Asking | Life::Running)
        {
            self.processes[to].inbox.push_back(packet);
        }
    }

    fn read_all(&mut self, nth: usize) {
        while self.processes[nth].is_active() && !self.processes[nth].inbox.is_empty() {
            self.read(nth);
        }
    }

    /// Reads one packet, as `node` does.
    fn read(&mut self, nth: usize) {
        let Some(packet) = self.processes[nth].inbox.pop_front() else { return };
        if let Packet::State { out, ids, generation, calls } = packet {
            let process = &mut self.processes[nth];
            (process.out, process.ids, process.generation, process.calls) = (out, ids, generation, calls);
            process.life = Life::Running;
            let (upgrade, actions) = Upgrade::successor(true, self.now);
            process.upgrade = upgrade;
            return self.carry_out(nth, actions);
        }
        match &packet {
            // The predecessor has ended before it sent its state.
            Packet::End if self.processes[nth].life == Life::Asking => {
                self.processes[nth].peer = None;
                return self.start_alone(nth);
            }
            Packet::End => {
                self.processes[nth].peer = None;
                return self.handle(nth, Event::PeerEnded);
            }
            Packet::Upgrade(message) => self.handle(nth, Event::Received(*message)),
            _ => self.handle(nth, Event::Heard),
        }
        let process = &mut self.processes[nth];
        match packet {
            Packet::Override { out, seen, calls } => {
                if process.overrides.receive(RUNNER, out, seen) {
                    process.out = out;
                }
                process.calls.extend(calls);
            }
            Packet::Taken(id) => drop(process.ids.insert(id)),
            Packet::List(generation) => process.generation = process.generation.max(generation),
            Packet::State { .. } | Packet::Upgrade(_) | Packet::End => {}
        }
    }

    fn handle(&mut self, nth: usize, event: Event) {
        let actions = self.processes[nth].upgrade.handle(self.now, event);
        self.carry_out(nth, actions);
    }

    fn carry_out(&mut self, nth: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send(message) => self.send(nth, Packet::Upgrade(message)),
                Action::Disconnect => {
                    self.send(nth, Packet::End);
                    self.processes[nth].peer = None;
                    self.processes[nth].inbox.clear();
                }
                Action::Take(resource) => self.take(nth, resource),
                Action::Release(resource) => self.release(nth, resource),
                Action::SetTimer(at) => self.processes[nth].timer = Some(at),
                Action::Exit => self.end(nth),
                Action::Refuse(_)
                | Action::Offer
                | Action::PauseColdRunners
                | Action::ResumeColdRunners { .. }
                | Action::Report(_) => {}
            }
        }
    }

    fn take(&mut self, nth: usize, resource: Resource) {
        match resource {
            Resource::SuccessorSocket => self.path = Some(nth),
            Resource::Store => {
                self.processes[nth].waits_for_store = true;
                self.pass_store_on();
            }
            resource => drop(self.processes[nth].resources.insert(resource)),
        }
    }

    fn release(&mut self, nth: usize, resource: Resource) {
        self.processes[nth].resources.remove(&resource);
        if resource == Resource::Store {
            self.processes[nth].waits_for_store = false;
            self.pass_store_on();
        }
    }

    /// The folder of the store is locked: it goes to one that waits once nobody has it.
    fn pass_store_on(&mut self) {
        let is_held = self.processes.iter().any(|process| process.resources.contains(&Resource::Store));
        if !is_held && let Some(next) = self.processes.iter_mut().find(|process| process.waits_for_store) {
            next.resources.insert(Resource::Store);
            next.waits_for_store = false;
        }
    }

    /// A process ends, and the kernel closes what it had.
    fn end(&mut self, nth: usize) {
        self.send(nth, Packet::End);
        let process = &mut self.processes[nth];
        process.life = Life::Over;
        process.peer = None;
        process.inbox.clear();
        process.timer = None;
        process.resources.clear();
        process.waits_for_store = false;
        self.pass_store_on();
    }

    fn call(&mut self, nth: usize, out: bool) {
        let number = self.calls.len() as u8;
        let process = &mut self.processes[nth];
        if process.life != Life::Running {
            return;
        }
        self.calls.insert(number, Call { out, seen: process.calls.clone() });
        process.calls.insert(number);
        process.out = out;
        if process.upgrade.other().is_some() {
            let seen = process.overrides.send(RUNNER, out);
            let packet = Packet::Override { out, seen, calls: process.calls.clone() };
            self.send(nth, packet);
        }
    }

    fn hear_list(&mut self, nth: usize) {
        if self.processes[nth].life == Life::Running {
            self.latest_list += 1;
            self.processes[nth].generation = self.latest_list;
            self.send(nth, Packet::List(self.latest_list));
        }
    }

    fn request(&mut self, nth: usize, id: u8) {
        let process = &mut self.processes[nth];
        if !process.accepts() || process.life != Life::Running || !process.ids.insert(id) {
            return;
        }
        assert!(self.ids_run.insert(id), "id {id} runs twice, at process {nth}");
        if self.processes[nth].upgrade.other().is_some() {
            self.send(nth, Packet::Taken(id));
        }
    }

    /// Lets everything happen that needs no further fault, call or request.
    fn settle(&mut self) {
        let until = self.now + SETTLING_TIME;
        loop {
            let reader = (0..PROCESSES).find(|nth| {
                let process = &self.processes[*nth];
                let is_alive = matches!(process.life, Life::Asking | Life::Running);
                is_alive && !process.is_stopped && !process.inbox.is_empty()
            });
            let finisher = (0..PROCESSES)
                .find(|nth| self.processes[*nth].is_active() && self.processes[*nth].is_shutting_down);
            let timer =
                (0..PROCESSES).find(|nth| self.processes[*nth].is_active() && self.is_next_timer(*nth));
            let step = match (reader, finisher, timer) {
                (Some(nth), _, _) => Step::Read(nth),
                (_, Some(nth), _) => Step::Finish(nth),
                (_, _, Some(nth)) if self.processes[nth].timer.unwrap() <= until => Step::Timer(nth),
                _ => return,
            };
            self.take_step(step);
        }
    }

    /// Checks that each process knows what it has.
    fn check_processes(&self) {
        for process in self.processes.iter().filter(|process| process.life == Life::Running) {
            let has_listener = process.resources.contains(&Resource::Accepting);
            assert_eq!(process.accepts(), has_listener, "accepting without the listener");
            let has_other = process.upgrade.other().is_some();
            assert!(!has_other || process.peer.is_some(), "a process that has ended is waited for");
        }
    }

    /// Checks that connections are accepted while some process is stopped, and that a process whose successor is
    /// stopped before it serves can hand over to another one.
    fn check_accepting(&self) {
        let offers = |process: &Process| {
            process.upgrade.other() == Some(Role::Successor) && !process.upgrade.has_released()
        };
        let still_offers = self.processes.iter().any(|process| process.is_active() && offers(process));
        assert!(!still_offers, "a successor that is stopped is waited for");
        let mut running = self.processes.iter().filter(|process| process.is_active());
        let accepts = running.clone().any(|process| process.accepts());
        assert!(accepts || running.all(|process| process.is_shutting_down), "no process accepts connections");
    }

    /// Checks a world in which nothing happens any more.
    fn check_settled(&self) {
        let running: Vec<usize> =
            (0..PROCESSES).filter(|nth| self.processes[*nth].life == Life::Running).collect();
        assert!(self.processes.iter().all(|process| process.life != Life::Asking), "one waits for ever");
        if running.is_empty() {
            return;
        }
        let serving: Vec<usize> = running
            .iter()
            .copied()
            .filter(|nth| self.processes[*nth].upgrade.owns(Resource::SuccessorSocket))
            .collect();
        assert_eq!(serving.len(), 1, "of the processes {running:?} these serve: {serving:?}");
        let server = serving[0];
        assert_eq!(self.path, Some(server), "a starting process finds another one");
        for nth in &running {
            let process = &self.processes[*nth];
            let owned: Vec<Resource> = process.resources.iter().copied().collect();
            let expected: &[Resource] = if *nth == server {
                &[Resource::Accepting, Resource::Datagrams, Resource::Store]
            } else {
                &[]
            };
            assert_eq!(owned, expected, "resources of process {nth}");
            assert_eq!(process.accepts(), *nth == server, "accepting of process {nth}");
            assert_eq!(process.out, self.is_out(), "the calls {:?} at process {nth}", self.call_list());
            assert!(self.ids_run.is_subset(&process.ids), "process {nth} does not know all ids");
            assert_eq!(process.generation, self.latest_list, "the list of process {nth}");
        }
    }

    /// Whether the runner has to be out of service: some call took it out that no call back has seen.
    fn is_out(&self) -> bool {
        let is_undone = |number: &u8| self.calls.values().any(|back| !back.out && back.seen.contains(number));
        self.calls.iter().any(|(number, call)| call.out && !is_undone(number))
    }

    fn call_list(&self) -> Vec<(bool, Vec<u8>)> {
        self.calls.values().map(|call| (call.out, call.seen.iter().copied().collect())).collect()
    }
}

/// Explores all worlds that are reached within `depth` events from these ones, and returns their number.
fn explore(begin: Vec<World>, depth: usize) -> usize {
    // Hashes in place of worlds: two of these numbers of worlds hardly share one.
    let mut known: HashSet<u64> = HashSet::new();
    let mut frontier: Vec<(World, Vec<Step>)> = begin.into_iter().map(|world| (world, Vec::new())).collect();
    for _ in 0..depth {
        let mut next = Vec::new();
        for (world, path) in frontier {
            for step in world.steps() {
                let mut path = path.clone();
                path.push(step);
                let reached = world.after(step, &path);
                if known.insert(BuildHasherDefault::<DefaultHasher>::default().hash_one(&reached)) {
                    next.push((reached, path));
                }
            }
        }
        frontier = next;
    }
    known.len()
}

/// Prints the events that led to a failure.
struct PrintOnPanic<'a>(&'a [Step]);

impl Drop for PrintOnPanic<'_> {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("after {:?}", self.0);
        }
    }
}

impl World {
    /// The world after an event, checked.
    fn after(&self, step: Step, path: &[Step]) -> World {
        let _print = PrintOnPanic(path);
        let mut reached = self.clone();
        reached.take_step(step);
        reached.check_processes();
        let mut settled = reached.clone();
        settled.settle();
        settled.check_accepting();
        settled.processes.iter_mut().for_each(|process| process.is_stopped = false);
        settled.settle();
        settled.check_settled();
        reached
    }
}

const NO_EVENTS: Budget = Budget { kills: 0, stops: 0, shutdowns: 0, calls: 0, ids: 0, lists: 0 };

/// Explores from before and from within an upgrade.
fn explore_upgrades(budget: &Budget, depth: usize) {
    let begin = vec![World::new(budget.clone()), World::in_upgrade(budget.clone())];
    let states = explore(begin, depth);
    println!("{states} states within {depth} events");
    assert!(states >= MIN_STATES, "only {states} states");
}

/// Whatever happens to the processes, one of those that are left serves and has everything.
#[test]
fn one_process_serves_whichever_is_killed_stopped_or_shut_down() {
    explore_upgrades(&Budget { kills: 2, stops: 2, shutdowns: 2, ..NO_EVENTS }, 12);
}

/// Operators' calls hold, beside one fault of each kind.
#[test]
fn calls_hold_over_upgrades() {
    explore_upgrades(&Budget { kills: 1, stops: 1, shutdowns: 1, calls: 4, ..NO_EVENTS }, 7);
}

/// Ids run once and the latest list binds, beside one fault of each kind.
#[test]
fn ids_run_once_and_the_latest_list_binds() {
    explore_upgrades(&Budget { kills: 1, stops: 1, shutdowns: 1, ids: 2, lists: 3, ..NO_EVENTS }, 7);
}
