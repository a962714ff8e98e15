//! Random soak scenarios: rolling restarts under load while system calls, disks, runners and discovery fail.
//!
//! This module does no I/O. The same seed gives the same day on every machine: a scenario, which is validated
//! like one from a file, and a fault plan for each dispatcher. The faults stay within what the platform's
//! rules allow.

use rand::RngExt;
use rand::seq::IndexedRandom;
use rand_pcg::Pcg32;
use topazsail_faults::{Call, ClockStep, Effect, Endpoint, Errno, Plan, Rule};

use crate::fault_days::draw_ms;
use crate::load::seeded_generator;
use crate::scenario::Scenario;

/// Length of a soak day.
const LENGTH_MS: u32 = 12_000;
/// How long fault plans last. A plan starts with the dispatcher's process, about half a second before the
/// clients.
const PLAN_LENGTH_MS: u64 = 16_000;
/// Share of system calls that a rule with a constant rate makes fail.
const CONSTANT_FAILURE_RATE: f64 = 0.02;

/// The deployment of all soak days.
const SITE: &str = r#"
[zones]
names = ["north", "south"]
within = "200us"
between = "2ms"

[[pool]]
kind = "standard"
count = 8
slots = 3
queue = 3
speed-spread = 0.1

[[operation]]
name = "plan"
share = 5.0
work = "80ms"
latency-objective = "500ms"
client-timeout = "3s"
billed-value = 2.0
late-share = 0.2

[[operation]]
name = "lodge"
share = 3.0
work = "50ms"
effect = "deduplicated"
group = "zone"
memory-span = "6s"
latency-objective = "400ms"
client-timeout = "2s"
billed-value = 5.0
late-share = 0.25

[[operation]]
name = "book"
share = 2.0
work = "120ms"
effect = "non-idempotent"
latency-objective = "1s"
client-timeout = "3s"
billed-value = 4.0
late-share = 0.25

[discovery]
notice = "300ms"
silent-notice = "2s"

[limits]
warm-within = "3s"
"#;

/// One soak day: a scenario, and the failures of the dispatchers' system calls.
pub struct Day {
    /// The scenario to play.
    pub scenario: Scenario,
    /// One fault plan for each dispatcher, by index.
    pub plans: Vec<Plan>,
}

/// Draws an additional fault; faults of disks only with a store.
fn draw_extra_fault(rng: &mut Pcg32, has_store: bool) -> String {
    let at = draw_ms(rng, 500, LENGTH_MS - 3_500);
    let when = format!("at = \"{at}ms\"\nlasts = \"{}ms\"\n", draw_ms(rng, 300, 3_000));
    let part = ["0.25", "0.5"][rng.random_range(0..2)];
    match rng.random_range(0..if has_store { 11 } else { 8 }) {
        0 => format!("kind = \"hang\"\npart = {part}\n{when}"),
        1 => format!("kind = \"crash\"\npart = {part}\n{when}"),
        2 => format!("kind = \"discovery-down\"\n{when}"),
        3 => format!("kind = \"slow\"\nsize = 4.0\npart = {part}\n{when}"),
        4 => format!("kind = \"zone-mute\"\nzone = \"south\"\n{when}"),
        5 => format!("kind = \"bad-clients\"\nsize = 20.0\n{when}"),
        6 => format!("kind = \"deploy\"\npart = {part}\n{when}"),
        7 => format!("kind = \"fast-errors\"\nsize = 0.5\npart = {part}\n{when}"),
        8 => format!("kind = \"disk\"\nwrong = \"full\"\npart = {part}\n{when}"),
        9 => format!("kind = \"disk\"\nwrong = \"sync-fails\"\npart = {part}\n{when}"),
        _ => format!("kind = \"disk\"\nwrong = \"slow\"\nsize = 500\npart = {part}\n{when}"),
    }
}

/// Returns the errors that Linux documents for a call, as far as they are transient or concern one
/// connection.
fn documented_errors(call: Call) -> &'static [&'static str] {
    match call {
        Call::Accept => &["ECONNABORTED", "ENFILE", "EMFILE", "ENOBUFS", "ENOMEM", "EPROTO"],
        Call::Socket => &["ENFILE", "EMFILE", "ENOBUFS", "ENOMEM"],
        Call::Connect => &["EADDRNOTAVAIL", "ENETUNREACH", "EAGAIN", "EINTR"],
        Call::Receive => &["EINTR", "ENOMEM", "ENOBUFS"],
        Call::Send => &["EINTR", "ENOMEM", "ENOBUFS"],
        Call::Open => &["ENFILE", "EMFILE", "ENOMEM", "EIO"],
        Call::Write => &["ENOSPC", "EIO", "EDQUOT", "EINTR"],
        Call::Sync => &["EIO", "ENOSPC", "EDQUOT"],
        Call::Rename => &["ENOSPC", "EIO", "EROFS"],
        Call::Log => &["ENOSPC", "EIO"],
    }
}

/// The calls that may fail.
const FAILING_CALLS: [Call; 10] = [
    Call::Accept,
    Call::Socket,
    Call::Connect,
    Call::Receive,
    Call::Send,
    Call::Open,
    Call::Write,
    Call::Sync,
    Call::Rename,
    Call::Log,
];

/// Draws a rule that makes a call fail: at a low rate all the time, or at a high rate for a short time.
fn draw_rule(rng: &mut Pcg32) -> Option<Rule> {
    let call = *FAILING_CALLS.choose(rng)?;
    let effect = Effect::Errno(Errno::named(documented_errors(call).choose(rng)?)?);
    let endpoint = Endpoint::Any;
    let rule =
        Rule { call, endpoint, effect, rate: CONSTANT_FAILURE_RATE, from_ms: 0, until_ms: PLAN_LENGTH_MS };
    if rng.random_range(0..2) == 0 {
        return Some(rule);
    }
    // For a short time every call fails, or half of them. Of sends at most half: if none succeeded, no
    // dispatcher could answer in time.
    let from_ms = rng.random_range(500..PLAN_LENGTH_MS - 4_000);
    let rate = [0.5, 1.0][rng.random_range(0..2)];
    let rate = if call == Call::Send { f64::min(rate, 0.5) } else { rate };
    Some(Rule { rate, from_ms, until_ms: from_ms + rng.random_range(50..800), ..rule })
}

/// Draws a rule that breaks connections. Only those that the dispatcher opened itself: the judge does not
/// excuse an answer that is lost with a client's connection.
fn draw_broken_connection_rule(rng: &mut Pcg32) -> Option<Rule> {
    let call = [Call::Receive, Call::Send][rng.random_range(0..2)];
    let errno = Errno::named(["ETIMEDOUT", "EHOSTUNREACH"].choose(rng)?)?;
    Some(Rule {
        call,
        endpoint: Endpoint::Dialled,
        effect: Effect::Errno(errno),
        rate: CONSTANT_FAILURE_RATE / 4.0,
        from_ms: 0,
        until_ms: PLAN_LENGTH_MS,
    })
}

/// Draws the fault plan of one dispatcher: failing calls, and possibly short reads and writes and a clock
/// step.
fn draw_plan(rng: &mut Pcg32) -> Plan {
    let mut rules: Vec<Rule> = (0..rng.random_range(2..=5)).filter_map(|_| draw_rule(rng)).collect();
    if rng.random_range(0..2) == 0 {
        rules.extend(draw_broken_connection_rule(rng));
    }
    if rng.random_range(0..2) == 0 {
        let short_transfer_rule = |call| Rule {
            call,
            endpoint: Endpoint::Any,
            effect: Effect::Short,
            rate: 0.1,
            from_ms: 0,
            until_ms: PLAN_LENGTH_MS,
        };
        rules.extend([Call::Receive, Call::Send].map(short_transfer_rule));
    }
    let mut clock_steps = Vec::new();
    if rng.random_range(0..3) == 0 {
        let by_ms = *[1_000, 10_000, 3_600_000, -1_000, -10_000, -3_600_000].choose(rng).unwrap_or(&1_000);
        clock_steps.push(ClockStep { at_ms: rng.random_range(1_000..PLAN_LENGTH_MS), by_ms });
    }
    Plan { seed: rng.random(), rules, clock_steps }
}

/// Returns the soak day of a seed.
///
/// # Errors
///
/// Returns an error if the drawn scenario is not valid, which is a defect of this module.
pub fn day(seed: u64) -> Result<Day, String> {
    let mut rng = seeded_generator(seed, 20);
    let dispatchers = rng.random_range(3..=6);
    let has_store = rng.random_range(0..2) == 0;
    let is_crowded = rng.random_range(0..4) == 0;
    let load = if is_crowded { 0.9 } else { 0.5 };
    let mut text = format!(
        "name = \"soak-{seed}\"\nlength = \"{LENGTH_MS}ms\"\nseed = {seed}\ndispatchers = {dispatchers}\n\
         [clients]\nload = {load}\nretries = 2\nretry-wait = \"60ms\"\nhonour = 0.8\nleaves = 0.05\n\
         front-notice = \"300ms\"\n{SITE}"
    );
    if has_store {
        let peers = rng.random_range(0..2) == 0;
        text += &format!("[store]\nhands-every = \"900ms\"\npeers = {peers}\n");
    }
    // A rolling restart, and configuration reloads.
    let (at, lasts) = (draw_ms(&mut rng, 500, 4_000), draw_ms(&mut rng, 500, 3_500));
    text += &format!("[[fault]]\nkind = \"roll-term\"\nat = \"{at}ms\"\nlasts = \"{lasts}ms\"\n");
    for _ in 0..rng.random_range(0..4) {
        text += &format!(
            "[[fault]]\nkind = \"reload\"\nat = \"{}ms\"\n",
            draw_ms(&mut rng, 500, LENGTH_MS - 500)
        );
    }
    for _ in 0..rng.random_range(0..=2) {
        text += &format!("[[fault]]\n{}", draw_extra_fault(&mut rng, has_store));
    }
    let scenario = Scenario::parse(&format!("soak-{seed}"), &text)?;
    let plans = (0..dispatchers).map(|_| draw_plan(&mut rng)).collect();
    Ok(Day { scenario, plans })
}
