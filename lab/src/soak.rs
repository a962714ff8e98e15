//! Soak days drawn by seed: rolling restarts under load while system calls, disks, runners and discovery fail.
//!
//! It does no I/O. The same seed gives the same day on every machine: a scenario, checked as one from a file, and a fault
//! plan for each dispatcher. What is drawn stays within what the terms allow.

use rand::RngExt;
use rand::seq::IndexedRandom;
use rand_pcg::Pcg32;
use topazsail_faults::{Call, ClockStep, Effect, Endpoint, Errno, Plan, Rule};

use crate::load::seeded_generator;
use crate::ordeal::ms;
use crate::scenario::Scenario;

const LENGTH_MS: u32 = 12_000;
/// Fault plans begin with the process; clients begin about half a second later.
const PLAN_LENGTH_MS: u64 = 16_000;
const SHARE_OF_CALLS: f64 = 0.02;

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

/// One day: what is played, and how the dispatchers' system calls fail.
pub struct Day {
    /// The scenario.
    pub scenario: Scenario,
    /// A plan for each dispatcher, in turn.
    pub plans: Vec<Plan>,
}

fn trouble(drawn: &mut Pcg32, store: bool) -> String {
    let at = ms(drawn, 500, LENGTH_MS - 3_500);
    let when = format!("at = \"{at}ms\"\nlasts = \"{}ms\"\n", ms(drawn, 300, 3_000));
    let part = ["0.25", "0.5"][drawn.random_range(0..2)];
    match drawn.random_range(0..if store { 11 } else { 8 }) {
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

/// The errors that Linux documents for each call, as far as they pass or speak of one connection.
fn documented(call: Call) -> &'static [&'static str] {
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

const CALLS: [Call; 10] = [
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

fn rule(drawn: &mut Pcg32) -> Option<Rule> {
    let call = *CALLS.choose(drawn)?;
    let effect = Effect::Errno(Errno::named(documented(call).choose(drawn)?)?);
    let endpoint = Endpoint::Any;
    let rule = Rule { call, endpoint, effect, rate: SHARE_OF_CALLS, from_ms: 0, until_ms: PLAN_LENGTH_MS };
    if drawn.random_range(0..2) == 0 {
        return Some(rule);
    }
    // Every call, or half of them, for a moment. Where nothing at all can be sent nobody could answer in time.
    let from_ms = drawn.random_range(500..PLAN_LENGTH_MS - 4_000);
    let rate = [0.5, 1.0][drawn.random_range(0..2)];
    let rate = if call == Call::Send { f64::min(rate, 0.5) } else { rate };
    Some(Rule { rate, from_ms, until_ms: from_ms + drawn.random_range(50..800), ..rule })
}

/// A connection that is found broken: those that the process made itself, as a client's own is excused by nobody.
fn broken_connections(drawn: &mut Pcg32) -> Option<Rule> {
    let call = [Call::Receive, Call::Send][drawn.random_range(0..2)];
    let errno = Errno::named(["ETIMEDOUT", "EHOSTUNREACH"].choose(drawn)?)?;
    Some(Rule {
        call,
        endpoint: Endpoint::Dialled,
        effect: Effect::Errno(errno),
        rate: SHARE_OF_CALLS / 4.0,
        from_ms: 0,
        until_ms: PLAN_LENGTH_MS,
    })
}

fn plan(drawn: &mut Pcg32) -> Plan {
    let mut rules: Vec<Rule> = (0..drawn.random_range(2..=5)).filter_map(|_| rule(drawn)).collect();
    if drawn.random_range(0..2) == 0 {
        rules.extend(broken_connections(drawn));
    }
    if drawn.random_range(0..2) == 0 {
        let short = |call| Rule {
            call,
            endpoint: Endpoint::Any,
            effect: Effect::Short,
            rate: 0.1,
            from_ms: 0,
            until_ms: PLAN_LENGTH_MS,
        };
        rules.extend([Call::Receive, Call::Send].map(short));
    }
    let mut clock_steps = Vec::new();
    if drawn.random_range(0..3) == 0 {
        let by_ms = *[1_000, 10_000, 3_600_000, -1_000, -10_000, -3_600_000].choose(drawn).unwrap_or(&1_000);
        clock_steps.push(ClockStep { at_ms: drawn.random_range(1_000..PLAN_LENGTH_MS), by_ms });
    }
    Plan { seed: drawn.random(), rules, clock_steps }
}

/// The day of this seed.
///
/// # Errors
///
/// What was drawn is no scenario: a fault of this module.
pub fn day(seed: u64) -> Result<Day, String> {
    let mut drawn = seeded_generator(seed, 20);
    let dispatchers = drawn.random_range(3..=6);
    let store = drawn.random_range(0..2) == 0;
    let crowd = drawn.random_range(0..4) == 0;
    let load = if crowd { 0.9 } else { 0.5 };
    let mut text = format!(
        "name = \"soak-{seed}\"\nlength = \"{LENGTH_MS}ms\"\nseed = {seed}\ndispatchers = {dispatchers}\n\
         [clients]\nload = {load}\nretries = 2\nretry-wait = \"60ms\"\nhonour = 0.8\nleaves = 0.05\n\
         front-notice = \"300ms\"\n{SITE}"
    );
    if store {
        let peers = drawn.random_range(0..2) == 0;
        text += &format!("[store]\nhands-every = \"900ms\"\npeers = {peers}\n");
    }
    // Rolling restarts, and new configurations in a row.
    let (at, lasts) = (ms(&mut drawn, 500, 4_000), ms(&mut drawn, 500, 3_500));
    text += &format!("[[fault]]\nkind = \"roll-term\"\nat = \"{at}ms\"\nlasts = \"{lasts}ms\"\n");
    for _ in 0..drawn.random_range(0..4) {
        text +=
            &format!("[[fault]]\nkind = \"reload\"\nat = \"{}ms\"\n", ms(&mut drawn, 500, LENGTH_MS - 500));
    }
    for _ in 0..drawn.random_range(0..=2) {
        text += &format!("[[fault]]\n{}", trouble(&mut drawn, store));
    }
    let scenario = Scenario::parse(&format!("soak-{seed}"), &text)?;
    let plans = (0..dispatchers).map(|_| plan(&mut drawn)).collect();
    Ok(Day { scenario, plans })
}
