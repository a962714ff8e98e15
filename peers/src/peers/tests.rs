//! Several cores and the links between them, in virtual time: lost, doubled, reordered and one-way datagrams.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use rand::RngExt;

use super::*;

type UnderWay = (Micros, u64, usize, usize, Vec<u8>);

struct Net {
    now: Micros,
    cores: Vec<Option<Peers>>,
    /// When, in order, from, to, bytes.
    under_way: BinaryHeap<Reverse<UnderWay>>,
    serial: u64,
    drawn: Pcg32,
    /// Of a thousand datagrams.
    loss: u32,
    doubled: u32,
    cut: Vec<(usize, usize)>,
    told: Vec<(usize, Told)>,
}

fn name(nth: usize) -> String {
    format!("d{nth:03}")
}

fn address(nth: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7_000 + nth as u16))
}

impl Net {
    fn new(all: usize, seed: u64) -> Net {
        let mut net = Net {
            now: 0,
            cores: (0..all).map(|_| None).collect(),
            under_way: BinaryHeap::new(),
            serial: 0,
            drawn: Pcg32::seed_from_u64(seed),
            loss: 0,
            doubled: 0,
            cut: Vec::new(),
            told: Vec::new(),
        };
        (0..all).for_each(|nth| net.begin(nth, 1));
        net
    }

    fn begin(&mut self, nth: usize, boot: u64) {
        let members = (0..self.cores.len())
            .filter(|other| *other != nth)
            .map(|other| Member { name: name(other), address: address(other) })
            .collect();
        let (nonce, seed) = (self.drawn.random(), self.drawn.random());
        self.cores[nth] = Some(Peers::new(&name(nth), members, (boot, nonce), seed, self.now));
    }

    fn act(&mut self, nth: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Told(told) => self.told.push((nth, told)),
                Action::Send { to, bytes } => {
                    assert!(bytes.len() <= PACKET_MOST, "{}", bytes.len());
                    let to = usize::from(to.port() - 7_000);
                    for copy in 0..2 {
                        let lost = self.drawn.random_range(0..1_000) < self.loss;
                        let sent = copy == 0 || self.drawn.random_range(0..1_000) < self.doubled;
                        if sent && !lost && !self.cut.contains(&(nth, to)) {
                            // Up to 20 ms, so that they overtake one another.
                            let at = self.now + self.drawn.random_range(200..20_000);
                            self.serial += 1;
                            self.under_way.push(Reverse((at, self.serial, nth, to, bytes.clone())));
                        }
                    }
                }
            }
        }
    }

    fn run(&mut self, span: Micros) {
        let end = self.now + span;
        loop {
            let dues =
                self.cores.iter().enumerate().filter_map(|(nth, core)| Some((core.as_ref()?.due(), nth)));
            let round = dues.min();
            let packet = self.under_way.peek().map(|Reverse((at, ..))| *at);
            match (round, packet) {
                (Some((due, nth)), packet) if due <= end && packet.is_none_or(|at| due <= at) => {
                    self.now = self.now.max(due);
                    let actions = self.cores[nth].as_mut().unwrap().tick(self.now);
                    self.act(nth, actions);
                }
                (_, Some(at)) if at <= end => {
                    self.now = at;
                    let Some(Reverse((_, _, from, to, bytes))) = self.under_way.pop() else { return };
                    if let Some(core) = &mut self.cores[to] {
                        let actions = core.heard(at, address(from), &bytes);
                        self.act(to, actions);
                    }
                }
                _ => break,
            }
        }
        self.now = end;
    }

    fn core(&mut self, nth: usize) -> &mut Peers {
        self.cores[nth].as_mut().unwrap()
    }

    fn call(&mut self, nth: usize, runner: &str, out: bool) {
        let now = self.now;
        let (_, actions) = self.core(nth).call(runner, out.then_some(now), None, now);
        self.act(nth, actions);
    }

    fn out(&self, nth: usize, runner: &str) -> Option<bool> {
        Some(self.cores[nth].as_ref()?.hands.get(runner)?.out_since.is_some())
    }

    fn life(&self, at: usize, of: usize) -> Life {
        let core = self.cores[at].as_ref().unwrap();
        core.lives().find(|(known, ..)| *known == name(of)).unwrap().1
    }
}

#[test]
fn all_hear_of_all_and_of_a_call_at_once() {
    let mut net = Net::new(9, 1);
    net.run(300_000);
    for nth in 0..9 {
        assert_eq!(net.core(nth).agree(), (8, 8));
    }
    net.call(3, "r1", true);
    net.run(50_000);
    assert!((0..9).all(|nth| net.out(nth, "r1") == Some(true)));
    // The later call holds, whoever makes it.
    net.call(5, "r1", false);
    net.run(50_000);
    assert!((0..9).all(|nth| net.out(nth, "r1") == Some(false)));
    assert_eq!(
        net.told.iter().filter(|(_, told)| matches!(told, Told::Peer { life: Life::Suspected, .. })).count(),
        0
    );
}

#[test]
fn a_call_reaches_who_was_cut_off_and_both_sides_come_to_the_same() {
    let mut net = Net::new(5, 2);
    net.run(500_000);
    let sides: Vec<(usize, usize)> =
        (0..2).flat_map(|a| (2..5).flat_map(move |b| [(a, b), (b, a)])).collect();
    net.cut = sides;
    net.run(3_000_000);
    assert!((0..2).all(|a| (2..5).all(|b| net.life(a, b) != Life::Alive)));
    net.call(0, "r1", true);
    net.call(4, "r1", false);
    net.call(4, "r2", true);
    net.run(1_000_000);
    assert_eq!((net.out(1, "r1"), net.out(3, "r1"), net.out(1, "r2")), (Some(true), Some(false), None));
    net.cut.clear();
    net.run(5_000_000);
    let agreed: Vec<Option<bool>> = (0..5).map(|nth| net.out(nth, "r1")).collect();
    assert!(agreed.iter().all(|out| *out == agreed[0]), "{agreed:?}");
    assert!((0..5).all(|nth| net.out(nth, "r2") == Some(true)));
}

#[test]
fn a_cut_link_is_no_dead_peer_and_a_dead_peer_is_found() {
    let mut net = Net::new(6, 3);
    net.run(500_000);
    // d0 and d1 do not hear each other, all others hear both.
    net.cut = vec![(0, 1), (1, 0)];
    net.run(20_000_000);
    assert_eq!((net.life(0, 1), net.life(1, 0)), (Life::Alive, Life::Alive));
    // One way: who is heard is there, whatever becomes of what is sent to it.
    net.cut = (1..6).map(|to| (0, to)).collect();
    net.run(4_000_000);
    assert_eq!((net.life(0, 2), net.life(2, 0)), (Life::Alive, Life::Suspected));
    net.cut.clear();
    net.run(3_000_000);
    assert_eq!(net.life(2, 0), Life::Alive);
    net.cores[5] = None;
    net.run(4_000_000);
    assert!((0..5).all(|nth| net.life(nth, 5) == Life::Suspected));
    net.run(8_000_000);
    assert!((0..5).all(|nth| net.life(nth, 5) == Life::Gone));
}

#[test]
fn a_life_with_a_number_that_is_taken_is_told_so_and_not_believed() {
    let mut net = Net::new(4, 4);
    (0..4).for_each(|nth| net.core(nth).numbered(7));
    net.run(1_000_000);
    for boot in [7, 3] {
        net.begin(2, boot);
        net.call(2, "r9", true);
        net.told.clear();
        net.run(600_000);
        let numbered: Vec<&Told> =
            net.told.iter().filter(|(nth, _)| *nth == 2).map(|(_, told)| told).collect();
        assert!(numbered.contains(&&Told::Numbered(7)), "{boot}: {numbered:?}");
        assert!([0, 1, 3].iter().all(|nth| net.out(*nth, "r9").is_none()));
    }
    net.core(2).numbered(8);
    net.run(2_000_000);
    assert!((0..4).all(|nth| net.out(nth, "r9") == Some(true)));
    assert_eq!(net.core(2).agree(), (3, 3));
}

#[test]
fn an_earlier_lifes_words_are_dropped() {
    let mut net = Net::new(3, 5);
    net.run(1_000_000);
    // What d1 had sent in its first life comes only now.
    let late = seal(&net.core(1).packet(
        0,
        What::Hands(vec![Hand {
            runner: "r1".into(),
            version: Version { count: 1, author: 1 },
            out_since: Some(1),
            was_out: None,
        }]),
    ));
    net.begin(1, 2);
    net.run(1_000_000);
    let now = net.now;
    assert_eq!(net.core(0).heard(now, address(1), &late), []);
    assert!(net.out(0, "r1").is_none() && net.core(0).counts.old == 1);
    // Strangers and garbage are counted and change nothing.
    assert_eq!(net.core(0).heard(now, SocketAddr::from(([127, 0, 0, 9], 1)), &late), []);
    assert_eq!(net.core(0).heard(now, address(2), &late), []);
    assert_eq!(net.core(0).heard(now, address(2), b"tp"), []);
    let counts = net.core(0).counts;
    assert_eq!((counts.strangers, counts.bad), (2, 1));
}

/// How long until all have a call, and false suspicions, at several losses.
#[test]
fn under_loss_words_still_reach_all_and_few_are_suspected() {
    for (loss, within, suspected_most) in [(0, 100_000, 0), (200, 3_000_000, 10), (400, 6_000_000, 120)] {
        let mut net = Net::new(9, 6);
        (net.loss, net.doubled) = (loss, 200);
        net.run(3_000_000);
        net.told.clear();
        for nth in 0..20 {
            net.call(nth % 9, &format!("r{nth}"), true);
            net.run(200_000);
        }
        net.run(within);
        for nth in 0..9 {
            let known = (0..20).filter(|r| net.out(nth, &format!("r{r}")) == Some(true)).count();
            assert_eq!(known, 20, "loss {loss}, d{nth}");
        }
        let suspected = |told: &Told| matches!(told, Told::Peer { life: Life::Suspected, .. });
        let count = net.told.iter().filter(|(_, told)| suspected(told)).count();
        assert!(count <= suspected_most, "loss {loss}: {count} suspicions");
    }
}

#[test]
fn thousands_of_hands_reach_one_that_begins_with_none() {
    let mut net = Net::new(3, 7);
    net.run(500_000);
    for nth in 0..2_000 {
        let now = net.now;
        net.core(0).call(&format!("runner-{nth}"), Some(now), None, now);
    }
    net.run(20_000_000);
    assert_eq!(net.core(2).hands.all().count(), 2_000);
    assert_eq!(net.core(0).agree(), (2, 2));
}

#[test]
fn at_rest_little_is_said_in_a_large_fleet() {
    let mut net = Net::new(100, 8);
    net.run(2_000_000);
    let before = net.core(0).counts;
    net.run(10_000_000);
    let after = net.core(0).counts;
    let bytes = (after.sent_bytes - before.sent_bytes) / 10;
    assert!(bytes < 8_000, "{bytes} bytes a second");
}
