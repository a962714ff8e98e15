//! Several dispatchers and the links between them, in virtual time: lost, duplicated, reordered and one-way
//! datagrams.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use rand::RngExt;

use super::*;

type InFlight = (Micros, u64, usize, usize, Vec<u8>);

struct Network {
    now: Micros,
    dispatchers: Vec<Option<Peers>>,
    /// Arrival time, sequence number, sender, receiver, bytes.
    in_flight: BinaryHeap<Reverse<InFlight>>,
    sequence: u64,
    random: Pcg32,
    /// Lost datagrams, of a thousand.
    loss: u32,
    /// Duplicated datagrams, of a thousand.
    duplicated: u32,
    cut_links: Vec<(usize, usize)>,
    events: Vec<(usize, PeerEvent)>,
    senders: Vec<Sender>,
}

/// Sends work to one cold runner, as much as its dispatcher's share allows and as early as possible, by the
/// module's own rule.
#[derive(Clone, Default)]
struct Sender {
    /// Its clock is this far ahead.
    clock_ahead: Micros,
    /// Its clock runs faster by this many parts in a thousand.
    clock_faster: Micros,
    share: Option<SlowStartShare>,
    /// Work sent: true time, time by its own clock, work.
    sent: Vec<(Micros, Micros, f64)>,
    paused_until: Micros,
    frozen: bool,
    /// A faulty variant that uses the whole budget.
    ignores_share: bool,
}

const OVERLOAD_WINDOW: Micros = 2_000_000;

impl Sender {
    fn clock(&self, now: Micros) -> Micros {
        self.clock_ahead + now + now * self.clock_faster / 1_000
    }

    fn send_allowed(&mut self, now: Micros, job: f64, dispatcher_count: usize) {
        let own = self.clock(now);
        if self.frozen || now < self.paused_until {
            return;
        }
        let equal_share = 1.0 / dispatcher_count as f64;
        let share = match self.share {
            _ if self.ignores_share => 1.0,
            None => 0.0,
            Some(known) if own < known.until => known.share,
            Some(_) => equal_share,
        };
        let sent = self.sent.iter().rev().take_while(|(_, at, _)| *at >= own - OVERLOAD_WINDOW);
        let mut sent: f64 = sent.map(|(.., work)| work).sum();
        while sent + job <= share + 1e-9 {
            sent += job;
            self.sent.push((now, own, job));
        }
    }
}

fn name(nth: usize) -> String {
    format!("d{nth:03}")
}

fn address(nth: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7_000 + nth as u16))
}

impl Network {
    fn new(all: usize, seed: u64) -> Network {
        let mut net = Network {
            now: 0,
            dispatchers: (0..all).map(|_| None).collect(),
            in_flight: BinaryHeap::new(),
            sequence: 0,
            random: Pcg32::seed_from_u64(seed),
            loss: 0,
            duplicated: 0,
            cut_links: Vec::new(),
            events: Vec::new(),
            senders: vec![Sender::default(); all],
        };
        (0..all).for_each(|nth| net.start(nth, 1));
        net
    }

    fn start(&mut self, nth: usize, boot: u64) {
        let members = (0..self.dispatchers.len())
            .filter(|other| *other != nth)
            .map(|other| Member { name: name(other), address: address(other) })
            .collect();
        let (nonce, seed) = (self.random.random(), self.random.random());
        let now = self.senders[nth].clock(self.now);
        let mut dispatcher = Peers::new(&name(nth), members, (boot, nonce), seed, now);
        dispatcher.configure(self.dispatchers.len(), OVERLOAD_WINDOW);
        self.dispatchers[nth] = Some(dispatcher);
    }

    /// Restarts a process, which loses its state; the new run pauses cold runners as `recovery` does.
    fn restart(&mut self, nth: usize, boot: u64) {
        self.start(nth, boot);
        self.senders[nth].share = None;
        self.senders[nth].paused_until = self.now + OVERLOAD_WINDOW;
    }

    /// All send what they may for a span. Returns the mean share of the budget that was used.
    fn send_all(&mut self, span: Micros, job: f64) -> f64 {
        const STEP: Micros = 10_000;
        let (from, all) = (self.now, self.dispatchers.len());
        while self.now < from + span {
            self.run(STEP);
            let now = self.now;
            self.senders.iter_mut().for_each(|sender| sender.send_allowed(now, job, all));
        }
        let sent = self.senders.iter().flat_map(|sender| &sender.sent);
        let sent: f64 = sent.filter(|(at, ..)| *at > from).map(|(.., work)| work).sum();
        sent * OVERLOAD_WINDOW as f64 / span as f64
    }

    /// The most work that all together have sent in any overload window.
    fn max_sent_in_window(&self) -> f64 {
        let sent = self.senders.iter().flat_map(|sender| &sender.sent);
        let mut sent: Vec<(Micros, f64)> = sent.map(|(at, _, work)| (*at, *work)).collect();
        sent.sort_by_key(|(at, _)| *at);
        let (mut from, mut sum, mut max_sent) = (0, 0.0, 0.0);
        for nth in 0..sent.len() {
            sum += sent[nth].1;
            while sent[from].0 <= sent[nth].0 - OVERLOAD_WINDOW {
                sum -= sent[from].1;
                from += 1;
            }
            max_sent = f64::max(max_sent, sum);
        }
        max_sent
    }

    fn act(&mut self, nth: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::PeerEvent(event) => self.events.push((nth, event)),
                Action::Send { to, bytes } => {
                    assert!(bytes.len() <= MAX_PACKET_BYTES, "datagram of {} bytes", bytes.len());
                    let to = usize::from(to.port() - 7_000);
                    for copy in 0..2 {
                        let lost = self.random.random_range(0..1_000) < self.loss;
                        let sent = copy == 0 || self.random.random_range(0..1_000) < self.duplicated;
                        if sent && !lost && !self.cut_links.contains(&(nth, to)) {
                            // Up to 20 ms, so that datagrams overtake one another.
                            let at = self.now + self.random.random_range(200..20_000);
                            self.sequence += 1;
                            self.in_flight.push(Reverse((at, self.sequence, nth, to, bytes.clone())));
                        }
                    }
                }
            }
        }
    }

    fn run(&mut self, span: Micros) {
        let end = self.now + span;
        loop {
            // In true time, whatever the clocks of the dispatchers say.
            let due = |nth: usize, dispatcher: &Option<Peers>| {
                let sender = &self.senders[nth];
                let left = dispatcher.as_ref()?.next_tick() - sender.clock(self.now);
                Some((
                    self.now + left.max(0) * 1_000 / (1_000 + sender.clock_faster) + Micros::from(left > 0),
                    nth,
                ))
            };
            let awake = |nth: &usize| !self.senders[*nth].frozen;
            let dues = self.dispatchers.iter().enumerate().filter(|(nth, _)| awake(nth));
            let dues = dues.filter_map(|(nth, dispatcher)| due(nth, dispatcher));
            let round = dues.min();
            let packet = self.in_flight.peek().map(|Reverse((at, ..))| *at);
            match (round, packet) {
                (Some((due, nth)), packet) if due <= end && packet.is_none_or(|at| due <= at) => {
                    self.now = self.now.max(due);
                    let now = self.senders[nth].clock(self.now);
                    let dispatcher = self.dispatchers[nth].as_mut().unwrap();
                    let actions = dispatcher.tick(now);
                    self.senders[nth].share = dispatcher.slow_start_shares(["r1"].into_iter(), now).pop();
                    self.act(nth, actions);
                }
                (_, Some(at)) if at <= end => {
                    self.now = at;
                    let Some(Reverse((_, _, from, to, bytes))) = self.in_flight.pop() else { return };
                    if self.senders[to].frozen {
                        // It waits in the socket until the process continues.
                        self.sequence += 1;
                        self.in_flight.push(Reverse((at + 50_000, self.sequence, from, to, bytes)));
                    } else if let Some(dispatcher) = &mut self.dispatchers[to] {
                        let actions = dispatcher.receive(self.senders[to].clock(at), address(from), &bytes);
                        self.act(to, actions);
                    }
                }
                _ => break,
            }
        }
        self.now = end;
    }

    fn dispatcher(&mut self, nth: usize) -> &mut Peers {
        self.dispatchers[nth].as_mut().unwrap()
    }

    fn set_override(&mut self, nth: usize, runner: &str, out: bool) {
        let now = self.now;
        let actions = self.dispatcher(nth).set_override(runner, out, now);
        self.act(nth, actions);
    }

    fn is_out(&self, nth: usize, runner: &str) -> Option<bool> {
        self.dispatchers[nth].as_ref()?.overrides.is_out(runner)
    }

    fn state(&self, at: usize, of: usize) -> PeerState {
        let dispatcher = self.dispatchers[at].as_ref().unwrap();
        dispatcher.peer_states().find(|(known, ..)| *known == name(of)).unwrap().1
    }
}

#[test]
fn all_peers_meet_and_an_override_reaches_all_immediately() {
    let mut net = Network::new(9, 1);
    net.run(300_000);
    for nth in 0..9 {
        assert_eq!(net.dispatcher(nth).agreement(), (8, 8));
    }
    net.set_override(3, "r1", true);
    net.run(50_000);
    assert!((0..9).all(|nth| net.is_out(nth, "r1") == Some(true)));
    // The later override wins, whichever dispatcher makes it.
    net.set_override(5, "r1", false);
    net.run(50_000);
    assert!((0..9).all(|nth| net.is_out(nth, "r1") == Some(false)));
    assert_eq!(
        net.events
            .iter()
            .filter(|(_, event)| matches!(event, PeerEvent::StateChanged { state: PeerState::Suspected, .. }))
            .count(),
        0
    );
}

#[test]
fn an_override_reaches_cut_off_peers_and_both_sides_converge() {
    let mut net = Network::new(5, 2);
    net.run(500_000);
    let links_between_sides: Vec<(usize, usize)> =
        (0..2).flat_map(|a| (2..5).flat_map(move |b| [(a, b), (b, a)])).collect();
    net.cut_links = links_between_sides;
    net.run(3_000_000);
    assert!((0..2).all(|a| (2..5).all(|b| net.state(a, b) != PeerState::Alive)));
    net.set_override(0, "r1", true);
    net.set_override(4, "r1", false);
    net.set_override(4, "r2", true);
    net.run(1_000_000);
    assert_eq!(
        (net.is_out(1, "r1"), net.is_out(3, "r1"), net.is_out(1, "r2")),
        (Some(true), Some(false), None)
    );
    net.cut_links.clear();
    net.run(5_000_000);
    let agreed: Vec<Option<bool>> = (0..5).map(|nth| net.is_out(nth, "r1")).collect();
    assert!(agreed.iter().all(|out| *out == agreed[0]), "the dispatchers disagree on r1: {agreed:?}");
    assert!((0..5).all(|nth| net.is_out(nth, "r2") == Some(true)));
}

#[test]
fn a_cut_link_is_not_a_dead_peer_and_a_dead_peer_is_detected() {
    let mut net = Network::new(6, 3);
    net.run(500_000);
    // d0 and d1 do not hear each other, all others hear both.
    net.cut_links = vec![(0, 1), (1, 0)];
    net.run(20_000_000);
    assert_eq!((net.state(0, 1), net.state(1, 0)), (PeerState::Alive, PeerState::Alive));
    // One-way loss: a peer whose packets arrive is alive, even if it receives nothing.
    net.cut_links = (1..6).map(|to| (0, to)).collect();
    net.run(4_000_000);
    assert_eq!((net.state(0, 2), net.state(2, 0)), (PeerState::Alive, PeerState::Suspected));
    net.cut_links.clear();
    net.run(3_000_000);
    assert_eq!(net.state(2, 0), PeerState::Alive);
    net.dispatchers[5] = None;
    net.run(4_000_000);
    assert!((0..5).all(|nth| net.state(nth, 5) == PeerState::Suspected));
    net.run(8_000_000);
    assert!((0..5).all(|nth| net.state(nth, 5) == PeerState::Gone));
}

#[test]
fn a_run_with_a_taken_boot_number_learns_of_it_and_is_not_believed() {
    let mut net = Network::new(4, 4);
    (0..4).for_each(|nth| net.dispatcher(nth).set_boot(7));
    net.run(1_000_000);
    for boot in [7, 3] {
        net.start(2, boot);
        net.set_override(2, "r9", true);
        net.events.clear();
        net.run(600_000);
        let events_at_d2: Vec<&PeerEvent> =
            net.events.iter().filter(|(nth, _)| *nth == 2).map(|(_, event)| event).collect();
        assert!(
            events_at_d2.contains(&&PeerEvent::BootTaken(7)),
            "no report that boot number 7 is taken, started with {boot}: {events_at_d2:?}"
        );
        assert!([0, 1, 3].iter().all(|nth| net.is_out(*nth, "r9").is_none()));
    }
    net.dispatcher(2).set_boot(8);
    net.run(2_000_000);
    assert!((0..4).all(|nth| net.is_out(nth, "r9") == Some(true)));
    assert_eq!(net.dispatcher(2).agreement(), (3, 3));
}

#[test]
fn packets_of_an_earlier_run_are_dropped() {
    let mut net = Network::new(3, 5);
    net.run(1_000_000);
    // A packet that d1 sent in its first process run arrives only now.
    let late = encode(&net.dispatcher(1).packet(
        0,
        Message::AdminOverrides(vec![AdminOverride {
            runner: "r1".into(),
            calls: vec![AdminCall { author: 1, number: 1, stands: true }],
        }]),
    ));
    net.start(1, 2);
    net.run(1_000_000);
    let now = net.now;
    assert_eq!(net.dispatcher(0).receive(now, address(1), &late), []);
    assert!(net.is_out(0, "r1").is_none() && net.dispatcher(0).counters.old == 1);
    // Packets from unlisted senders and malformed ones are counted and change nothing.
    assert_eq!(net.dispatcher(0).receive(now, SocketAddr::from(([127, 0, 0, 9], 1)), &late), []);
    assert_eq!(net.dispatcher(0).receive(now, address(2), &late), []);
    assert_eq!(net.dispatcher(0).receive(now, address(2), b"tp"), []);
    let counts = net.dispatcher(0).counters;
    assert_eq!((counts.unlisted, counts.bad), (2, 1));
}

/// At several loss rates, an override must reach all dispatchers within a bound, with few false suspicions.
#[test]
fn under_loss_overrides_reach_all_and_few_peers_are_suspected() {
    for (loss, time_limit, max_suspicions) in [(0, 100_000, 0), (200, 3_000_000, 10), (400, 6_000_000, 120)] {
        let mut net = Network::new(9, 6);
        (net.loss, net.duplicated) = (loss, 200);
        net.run(3_000_000);
        net.events.clear();
        for nth in 0..20 {
            net.set_override(nth % 9, &format!("r{nth}"), true);
            net.run(200_000);
        }
        net.run(time_limit);
        for nth in 0..9 {
            let known = (0..20).filter(|r| net.is_out(nth, &format!("r{r}")) == Some(true)).count();
            assert_eq!(known, 20, "overrides known to d{nth} at {loss} of a thousand lost");
        }
        let suspected =
            |event: &PeerEvent| matches!(event, PeerEvent::StateChanged { state: PeerState::Suspected, .. });
        let count = net.events.iter().filter(|(_, event)| suspected(event)).count();
        assert!(count <= max_suspicions, "{count} suspicions at {loss} of a thousand lost");
    }
}

#[test]
fn thousands_of_overrides_reach_a_peer_that_starts_with_none() {
    let mut net = Network::new(3, 7);
    net.run(500_000);
    for nth in 0..2_000 {
        let now = net.now;
        net.dispatcher(0).set_override(&format!("runner-{nth}"), true, now);
    }
    net.run(20_000_000);
    assert_eq!(net.dispatcher(2).overrides.iter().count(), 2_000);
    assert_eq!(net.dispatcher(0).agreement(), (2, 2));
}

#[test]
fn an_idle_large_fleet_sends_little() {
    let mut net = Network::new(100, 8);
    net.run(2_000_000);
    let before = net.dispatcher(0).counters;
    net.run(10_000_000);
    let after = net.dispatcher(0).counters;
    let bytes = (after.sent_bytes - before.sent_bytes) / 10;
    assert!(bytes < 8_000, "{bytes} bytes a second");
}

/// Guards the purpose of the allocator: whatever happens to links, processes and clocks, all dispatchers
/// together never send a cold runner more than its budget, and they use most of it while links are up.
#[test]
fn all_dispatchers_together_never_exceed_the_budget() {
    let mut used = Vec::new();
    for (loss, seed) in [(0, 1), (200, 5), (400, 3)] {
        let all = 9;
        let mut net = Network::new(all, seed);
        for sender in &mut net.senders {
            // Two of three runs set the clocks wrong; all clocks run at rates of their own.
            sender.clock_ahead = [0, 5_000_000, -40_000_000_000][seed as usize % 3];
            sender.clock_faster = net.random.random_range(-5..=5);
        }
        (0..all).for_each(|nth| net.start(nth, 1));
        net.loss = loss;
        net.duplicated = 100;
        net.run(3_000_000);
        used.push((loss, net.send_all(10_000_000, 0.005)));
        let mut boots = vec![1; all];
        for _ in 0..20 {
            match net.random.random_range(0..5) {
                0 => {
                    // Cuts one link in one direction.
                    let (from, to) = (net.random.random_range(0..all), net.random.random_range(0..all));
                    net.cut_links.extend([(from, to)]);
                }
                1 => {
                    let side = net.random.random_range(1..all);
                    let both = (0..all).flat_map(|a| (0..all).map(move |b| (a, b)));
                    net.cut_links = both.filter(|(a, b)| (*a < side) != (*b < side)).collect();
                }
                2 => net.cut_links.clear(),
                3 => {
                    let nth = net.random.random_range(0..all);
                    boots[nth] += 1;
                    net.restart(nth, boots[nth]);
                }
                _ => {
                    let nth = net.random.random_range(0..all);
                    net.senders[nth].frozen ^= true;
                }
            }
            let span = net.random.random_range(0..15_000_000);
            net.send_all(span, 0.005);
        }
        let max_sent = net.max_sent_in_window();
        assert!(max_sent <= 1.0 + 1e-9, "{max_sent} at {loss} of a thousand lost, seed {seed}");
        assert!(max_sent > 0.5, "{max_sent}: the budget was hardly used");
    }
    // With all links up. docs/peers.md states what the loss of one fifth and of two fifths of datagrams
    // costs.
    for (loss, used) in used {
        let least = [0.9, 0.85, 0.6][loss as usize / 200];
        assert!(used > least, "{used} used at {loss} of a thousand lost");
    }
}

/// Checks the test itself: a dispatcher that uses the whole budget must show up in the sum.
#[test]
fn a_dispatcher_that_uses_the_whole_budget_is_detected() {
    let mut net = Network::new(9, 1);
    net.senders[4].ignores_share = true;
    net.run(3_000_000);
    net.send_all(10_000_000, 0.02);
    assert!(net.max_sent_in_window() > 1.5, "only {} was sent", net.max_sent_in_window());
}

/// A disk that opens after the peers have been met: its entries are sent to them, and do not undo an override
/// made since the start.
#[test]
fn entries_of_a_late_disk_are_sent_and_undo_no_override() {
    let mut net = Network::new(3, 1);
    net.run(300_000);
    net.set_override(0, "r1", false);
    net.run(50_000);
    let call = AdminCall { author: 9, number: 3, stands: true };
    let stored = |runner: &str| AdminOverride { runner: runner.into(), calls: vec![call] };
    assert_eq!(net.dispatcher(0).restore(&stored("r1")), Some(false));
    assert_eq!(net.dispatcher(0).restore(&stored("r2")), Some(true));
    assert_eq!(net.dispatcher(0).restore(&stored("r2")), None);
    net.run(2_000_000);
    for nth in 0..3 {
        assert_eq!((net.is_out(nth, "r1"), net.is_out(nth, "r2")), (Some(false), Some(true)));
    }
}
