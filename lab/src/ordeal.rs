//! Days drawn by seed on which many things fail at once: power, processes, disks, links, discovery.
//!
//! It does no I/O. The same seed gives the same scenario on every machine; what is drawn is a scenario as from a file,
//! checked as one. It must never draw what could not be played.

use rand::RngExt;
use rand_pcg::Pcg32;

use crate::load::seeded_generator;
use crate::scenario::Scenario;

const SITE: &str = r#"
[zones]
names = ["brisbane", "townsville", "rockhampton"]
within = "200us"
between = "3ms"

[[pool]]
kind = "fast"
count = 6
slots = 3
queue = 2
speed = 2.0
speed-spread = 0.15

[[pool]]
kind = "standard"
count = 6
slots = 2
queue = 2
speed-spread = 0.15

[[operation]]
name = "chute-plan"
share = 5.0
work = "120ms"
latency-objective = "600ms"
client-timeout = "4s"
billed-value = 2.0
late-share = 0.2

[[operation]]
name = "lodge-manifest"
share = 3.0
work = "60ms"
effect = "deduplicated"
group = "zone"
memory-span = "7500ms"
latency-objective = "400ms"
client-timeout = "3s"
billed-value = 8.0
late-share = 0.25

[[operation]]
name = "book-linehaul"
share = 2.0
work = "200ms"
shape = "lognormal"
cv = 0.8
effect = "non-idempotent"
latency-objective = "1500ms"
client-timeout = "5s"
billed-value = 2.0
late-share = 0.25

[discovery]
notice = "300ms"
silent-notice = "2s"

[limits]
warm-within = "5s"

[store]
hands-every = "700ms"
"#;

/// A moment or a span, drawn evenly, in milliseconds.
pub(crate) fn ms(drawn: &mut Pcg32, from: u32, to: u32) -> u32 {
    drawn.random_range(from..=to)
}

fn zone(drawn: &mut Pcg32) -> &'static str {
    ["brisbane", "townsville", "rockhampton"][drawn.random_range(0..3)]
}

/// A further fault beside the loss of power.
fn trouble(drawn: &mut Pcg32, length: u32, peers: bool) -> String {
    let at = ms(drawn, 500, length - 2_500);
    let lasts = ms(drawn, 300, 2_000);
    let when = format!("at = \"{at}ms\"\nlasts = \"{lasts}ms\"\n");
    let part = ["0.15", "0.375", "0.6"][drawn.random_range(0..3)];
    match drawn.random_range(0..if peers { 14 } else { 10 }) {
        0 => format!("kind = \"kill\"\npart = {part}\nspread = \"{}ms\"\n{when}", ms(drawn, 0, 1_500)),
        1 => format!("kind = \"freeze\"\npart = {part}\n{when}"),
        2 => format!("kind = \"zone-cut\"\nzone = \"{}\"\n{when}", zone(drawn)),
        3 => format!("kind = \"zone-mute\"\nzone = \"{}\"\n{when}", zone(drawn)),
        4 => format!("kind = \"discovery-down\"\n{when}"),
        5 => format!("kind = \"crash\"\npart = {part}\n{when}"),
        // 3 of 8 and the like.
        6 => format!("kind = \"disk\"\nwrong = \"full\"\npart = 0.375\n{when}"),
        7 => format!("kind = \"disk\"\nwrong = \"read-only\"\npart = {part}\n{when}"),
        8 => format!("kind = \"disk\"\nwrong = \"sync-fails\"\npart = {part}\n{when}"),
        10 => format!("kind = \"link\"\nlink = \"cut\"\npart = {part}\n{when}"),
        11 => format!("kind = \"link\"\nlink = \"one-way\"\npart = {part}\n{when}"),
        12 => format!("kind = \"link\"\nlink = \"loss\"\nsize = 0.4\npart = 1.0\n{when}"),
        13 => {
            format!("kind = \"link\"\nlink = \"flap\"\nsize = {}\npart = {part}\n{when}", ms(drawn, 50, 500))
        }
        _ => format!(
            "kind = \"disk\"\nwrong = \"slow\"\nsize = {}\npart = {part}\n{when}",
            ms(drawn, 100, 2_000)
        ),
    }
}

/// One day: at least one loss of power of the whole site, and up to three more things.
pub fn day(seed: u64) -> Result<Scenario, String> {
    let mut drawn = seeded_generator(seed, 10);
    let (length, dispatchers) = (9_000, drawn.random_range(7..=9));
    let mut text = format!(
        "name = \"ordeal-{seed}\"\nlength = \"{length}ms\"\nseed = {seed}\ndispatchers = {dispatchers}\n\
         [clients]\nload = 0.5\nretries = 2\nretry-wait = \"80ms\"\nhonour = 0.8\nfront-notice = \"300ms\"\n{SITE}"
    );
    // Every other day they talk to one another.
    let peers = drawn.random_range(0..2) == 0;
    text += &format!("peers = {peers}\n");
    let at = ms(&mut drawn, 700, 4_500);
    let lasts = ms(&mut drawn, 100, 1_500);
    let spread = if drawn.random_range(0..3) == 0 { ms(&mut drawn, 100, 3_000) } else { 0 };
    let away = if drawn.random_range(0..4) == 0 { 0.34 } else { 0.0 };
    let disk = match drawn.random_range(0..8) {
        0 => "damaged",
        1 => "empty",
        2 => "copied",
        3 => "old",
        _ => "kept",
    };
    text += &format!(
        "[[fault]]\nkind = \"power-loss\"\nat = \"{at}ms\"\nlasts = \"{lasts}ms\"\nspread = \"{spread}ms\"\naway = {away}\n\
         disk = \"{disk}\"\nsize = 500\n"
    );
    // Again within a second of its return, at times; for one zone only, at others.
    if drawn.random_range(0..3) == 0 {
        let again = at + lasts + ms(&mut drawn, 0, 1_000);
        text += &format!("[[fault]]\nkind = \"power-loss\"\nat = \"{again}ms\"\nlasts = \"300ms\"\n");
    } else if drawn.random_range(0..2) == 0 {
        let (again, zone) = (ms(&mut drawn, 500, 7_000), zone(&mut drawn));
        text += &format!(
            "[[fault]]\nkind = \"power-loss\"\nzone = \"{zone}\"\nat = \"{again}ms\"\nlasts = \"600ms\"\n"
        );
    }
    for _ in 0..drawn.random_range(0..=2) {
        text += &format!("[[fault]]\n{}", trouble(&mut drawn, length, peers));
    }
    Scenario::parse(&format!("ordeal-{seed}"), &text)
}

#[cfg(test)]
mod tests;
