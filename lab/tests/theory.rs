//! The emulation agrees with queueing theory where theory has an exact answer, and the same seed gives the
//! same bytes.

use rand_distr::{Distribution, Exp};
use topazsail_lab::load::seeded_generator;
use topazsail_lab::policy::Policy;
use topazsail_lab::runner::{JobEvent, Runner};
use topazsail_lab::scenario::Scenario;
use topazsail_lab::virtual_clock::{Options, play};

/// Returns the mean wait in an M/M/k queue in service times (Erlang's second formula; for example L.
/// Kleinrock, Queueing Systems, volume 1, 1975, section 3.5).
fn erlang_c_wait(k: u32, load: f64) -> f64 {
    let offered = f64::from(k) * load;
    let mut term = 1.0;
    let mut sum = 1.0;
    for n in 1..k {
        term *= offered / f64::from(n);
        sum += term;
    }
    let last = term * offered / f64::from(k) / (1.0 - load);
    last / (sum + last) / (f64::from(k) * (1.0 - load))
}

#[test]
fn the_mean_wait_at_one_runner_is_that_of_erlang_c() {
    let text = |slots: u32| {
        format!(
            "name = \"t\"\nlength = \"1s\"\ndispatchers = 1\n[clients]\nload = 0.5\n[[pool]]\nkind = \"a\"\ncount = 1\n\
             slots = {slots}\nqueue = 1000000\n[[operation]]\nname = \"o\"\nwork = \"10ms\"\n\
             latency-objective = \"1s\"\nclient-timeout = \"1s\"\n"
        )
    };
    let service = 10_000.0;
    for (slots, load) in [(1, 0.7), (3, 0.5), (3, 0.7), (3, 0.9), (8, 0.85)] {
        let scenario = Scenario::parse("t", &text(slots)).unwrap();
        let mut runner = Runner::new(&scenario.pool[0], 0, (0, 0), &scenario.limits, seeded_generator(1, 1));
        let mut rng = seeded_generator(u64::from(slots), 9);
        let (gap, work) =
            (Exp::new(load * f64::from(slots) / service).unwrap(), Exp::new(1.0 / service).unwrap());
        let (mut at, mut events, mut queued_at) = (0.0, Vec::new(), std::collections::VecDeque::new());
        let (mut waited, mut started) = (0.0, 0u64);
        for job in 0..3_000_000u64 {
            at += gap.sample(&mut rng);
            let now = at as i64;
            let mut record_starts =
                |now: i64,
                 events: &mut Vec<(u64, JobEvent)>,
                 queued_at: &mut std::collections::VecDeque<f64>| {
                    for (_, event) in events.drain(..) {
                        if event == JobEvent::Started {
                            // The queue is first in, first out.
                            waited += now as f64 - queued_at.pop_front().unwrap();
                            started += 1;
                        }
                    }
                };
            while let Some(due) = runner.due().filter(|due| *due <= now) {
                runner.wake(due, &mut events);
                record_starts(due, &mut events, &mut queued_at);
            }
            queued_at.push_back(now as f64);
            runner.offer(now, job, 0, work.sample(&mut rng), &mut events);
            record_starts(now, &mut events, &mut queued_at);
        }
        let (measured, expected) = (waited / started as f64 / service, erlang_c_wait(slots, load));
        println!("{slots} slots at {load}: waits {measured:.4}, known {expected:.4}");
        assert!(
            (measured / expected - 1.0).abs() < 0.03,
            "{slots} slots at load {load}: mean wait of {measured:.4} service times, expected {expected:.4}"
        );
    }
}

/// With exact counts and many runners of one slot, the share of runners that hold at least i jobs tends to
/// load^((d^i - 1) / (d - 1)) (N. D. Vvedenskaya, R. L. Dobrushin, F. I. Karpelevich, 1996; M. Mitzenmacher,
/// The power of two choices in randomized load balancing, 2001).
#[test]
fn power_of_d_choices_has_the_known_tail() {
    let load: f64 = 0.8;
    let text = format!(
        "name = \"t\"\nlength = \"90s\"\ndispatchers = 1\n[clients]\nload = {load}\n\
         [zones]\nnames = [\"a\"]\nwithin = \"0s\"\nclient = \"0s\"\njitter = 0.0\n\
         [reports]\nprogress = \"0s\"\n[[pool]]\nkind = \"a\"\ncount = 1000\nslots = 1\nqueue = 100000\n\
         [[operation]]\nname = \"o\"\nwork = \"100ms\"\nlatency-objective = \"60s\"\nclient-timeout = \"600s\"\n"
    );
    let scenario = Scenario::parse("t", &text).unwrap();
    for d in 1..=3 {
        let run = play(
            &scenario,
            Policy::LeastTrue(d),
            2,
            Options { sample_interval: 100_000, measure_time: false },
        )
        .unwrap();
        // A run's random work deviates a little from the requested load, and a tail such as load^40 amplifies
        // the deviation. The theoretical value is therefore computed for the load of this run.
        let actual_load = run.tails[1];
        assert!(
            (actual_load / load - 1.0).abs() < 0.01,
            "d {d}: the actual load {actual_load} is not the requested one"
        );
        for i in 2..=4u32 {
            let power =
                if d == 1 { f64::from(i) } else { ((d as f64).powi(i as i32) - 1.0) / (d as f64 - 1.0) };
            let expected = actual_load.powf(power);
            let measured = run.tails.get(i as usize).copied().unwrap_or(0.0);
            println!("d {d}, at least {i} jobs: {measured:.5}, known {expected:.5}");
            let is_close = (measured - expected).abs() < 0.002 || (measured / expected - 1.0).abs() < 0.03;
            assert!(is_close, "d {d}, share with at least {i} jobs: {measured:.5}, expected {expected:.5}");
        }
    }
}

/// A scenario with many kinds of faults.
const ROUGH: &str = r#"
name = "rough"
length = "12s"
dispatchers = 3
[zones]
names = ["east", "west", "north"]
[[pool]]
kind = "box"
count = 9
slots = 3
queue = 2
speed-spread = 0.2
handshake = "2ms"
[[operation]]
name = "plan"
work = "120ms"
latency-objective = "600ms"
client-timeout = "4s"
keys = 50
[[operation]]
name = "lodge"
work = "60ms"
effect = "deduplicated"
group = "zone"
memory-span = "3s"
latency-objective = "400ms"
client-timeout = "4s"
billed-value = 8.0
[[operation]]
name = "book"
share = 0.3
work = "200ms"
shape = "lognormal"
cv = 0.8
effect = "non-idempotent"
latency-objective = "900ms"
client-timeout = "4s"
[clients]
load = 0.8
arrivals = "bursts"
swing = 0.3
period = "2s"
retries = 2
honour = 0.7
[[fault]]
kind = "crash"
at = "1s"
lasts = "2s"
[[fault]]
kind = "hang"
at = "2s"
lasts = "3s"
[[fault]]
kind = "pauses"
at = "2s"
lasts = "8s"
size = 340.0
[[fault]]
kind = "slow"
at = "4s"
lasts = "4s"
size = 6.0
operation = "plan"
[[fault]]
kind = "fast-errors"
at = "5s"
lasts = "3s"
size = 0.6
[[fault]]
kind = "loses"
at = "3s"
lasts = "6s"
size = 0.3
[[fault]]
kind = "late-reports"
at = "6s"
lasts = "3s"
size = 800.0
[[fault]]
kind = "zone-cut"
at = "6s"
lasts = "2s"
zone = "west"
[[fault]]
kind = "zone-mute"
at = "8s"
lasts = "1500ms"
zone = "east"
[[fault]]
kind = "zone-loss"
at = "9s"
lasts = "1s"
zone = "north"
[[fault]]
kind = "deploy"
at = "1s"
lasts = "9s"
part = 0.6
[[fault]]
kind = "discovery-down"
at = "4s"
lasts = "2s"
[[fault]]
kind = "roll-kill"
at = "3s"
lasts = "6s"
"#;

#[test]
fn the_same_seed_gives_the_same_bytes_and_no_rule_is_broken() {
    let scenario = Scenario::parse("rough", ROUGH).unwrap();
    let bytes = |seed| {
        let run = play(&scenario, Policy::Topazsail, seed, Options::default()).unwrap();
        assert!(
            run.outcome.broken.is_empty() && run.outcome.void.is_empty(),
            "seed {seed}: {:?}",
            run.outcome.verdict
        );
        serde_json::to_string(&run.outcome).unwrap()
    };
    assert_eq!(bytes(1), bytes(1));
    assert_ne!(bytes(1), bytes(2));
    (3..12).for_each(|seed| drop(bytes(seed)));
}

/// The load must not depend on the policy; otherwise paired comparisons would not be paired.
#[test]
fn every_policy_receives_the_same_load() {
    let scenario = Scenario::parse("rough", ROUGH).unwrap();
    let asked = |policy: &str| {
        let run = play(&scenario, policy.parse().unwrap(), 5, Options::default()).unwrap();
        run.outcome.windows.iter().map(|window| window.counts.asked).collect::<Vec<_>>()
    };
    let ours = asked("topazsail");
    for other in ["random", "round-robin", "least-of-2", "true-of-2", "least-of-all"] {
        assert_eq!(asked(other), ours, "{other} received another load");
    }
}
