//! Random scenarios, called days, in which many things fail at once: power, processes, disks, links,
//! discovery.
//!
//! This module does no I/O. The same seed gives the same scenario on every machine, and it is validated like
//! one from a file. Every seed must give a scenario that can be played.

use rand::RngExt;
use rand_pcg::Pcg32;

use crate::load::seeded_generator;
use crate::scenario::Scenario;

/// The deployment of all days. It ends inside the table `[store]`.
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

/// Draws a time or duration in milliseconds, uniformly from `from` to `to`, both included.
pub(crate) fn draw_ms(rng: &mut Pcg32, from: u32, to: u32) -> u32 {
    rng.random_range(from..=to)
}

/// Draws the name of a zone.
fn draw_zone(rng: &mut Pcg32) -> &'static str {
    ["brisbane", "townsville", "rockhampton"][rng.random_range(0..3)]
}

/// Draws a fault that is added to the power loss; link faults are drawn only if the dispatchers have peers.
fn draw_extra_fault(rng: &mut Pcg32, length_ms: u32, has_peers: bool) -> String {
    let at = draw_ms(rng, 500, length_ms - 2_500);
    let lasts = draw_ms(rng, 300, 2_000);
    let when = format!("at = \"{at}ms\"\nlasts = \"{lasts}ms\"\n");
    let part = ["0.15", "0.375", "0.6"][rng.random_range(0..3)];
    match rng.random_range(0..if has_peers { 14 } else { 10 }) {
        0 => format!("kind = \"kill\"\npart = {part}\nspread = \"{}ms\"\n{when}", draw_ms(rng, 0, 1_500)),
        1 => format!("kind = \"freeze\"\npart = {part}\n{when}"),
        2 => format!("kind = \"zone-cut\"\nzone = \"{}\"\n{when}", draw_zone(rng)),
        3 => format!("kind = \"zone-mute\"\nzone = \"{}\"\n{when}", draw_zone(rng)),
        4 => format!("kind = \"discovery-down\"\n{when}"),
        5 => format!("kind = \"crash\"\npart = {part}\n{when}"),
        // 3 of 8 dispatchers, and about as many of 7 or 9.
        6 => format!("kind = \"disk\"\nwrong = \"full\"\npart = 0.375\n{when}"),
        7 => format!("kind = \"disk\"\nwrong = \"read-only\"\npart = {part}\n{when}"),
        8 => format!("kind = \"disk\"\nwrong = \"sync-fails\"\npart = {part}\n{when}"),
        10 => format!("kind = \"link\"\nlink = \"cut\"\npart = {part}\n{when}"),
        11 => format!("kind = \"link\"\nlink = \"one-way\"\npart = {part}\n{when}"),
        12 => format!("kind = \"link\"\nlink = \"loss\"\nsize = 0.4\npart = 1.0\n{when}"),
        13 => {
            format!(
                "kind = \"link\"\nlink = \"flap\"\nsize = {}\npart = {part}\n{when}",
                draw_ms(rng, 50, 500)
            )
        }
        _ => format!(
            "kind = \"disk\"\nwrong = \"slow\"\nsize = {}\npart = {part}\n{when}",
            draw_ms(rng, 100, 2_000)
        ),
    }
}

/// Returns the scenario of a seed: a power loss of the whole site, possibly a second one there or in one
/// zone, and up to two more faults.
///
/// # Errors
///
/// Returns an error if the drawn scenario is not valid, which is a defect of this module.
pub fn day(seed: u64) -> Result<Scenario, String> {
    let mut rng = seeded_generator(seed, 10);
    let (length, dispatchers) = (9_000, rng.random_range(7..=9));
    let mut text = format!(
        "name = \"ordeal-{seed}\"\nlength = \"{length}ms\"\nseed = {seed}\ndispatchers = {dispatchers}\n\
         [clients]\nload = 0.5\nretries = 2\nretry-wait = \"80ms\"\nhonour = 0.8\nfront-notice = \"300ms\"\n{SITE}"
    );
    // On half of the days the dispatchers have peers.
    let peers = rng.random_range(0..2) == 0;
    text += &format!("peers = {peers}\n");
    let at = draw_ms(&mut rng, 700, 4_500);
    let lasts = draw_ms(&mut rng, 100, 1_500);
    let spread = if rng.random_range(0..3) == 0 { draw_ms(&mut rng, 100, 3_000) } else { 0 };
    let away = if rng.random_range(0..4) == 0 { 0.34 } else { 0.0 };
    let disk = match rng.random_range(0..8) {
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
    // On some days power fails again within a second of its return; on others it also fails in one zone, at
    // any time.
    if rng.random_range(0..3) == 0 {
        let second_at = at + lasts + draw_ms(&mut rng, 0, 1_000);
        text += &format!("[[fault]]\nkind = \"power-loss\"\nat = \"{second_at}ms\"\nlasts = \"300ms\"\n");
    } else if rng.random_range(0..2) == 0 {
        let (second_at, zone) = (draw_ms(&mut rng, 500, 7_000), draw_zone(&mut rng));
        text += &format!(
            "[[fault]]\nkind = \"power-loss\"\nzone = \"{zone}\"\nat = \"{second_at}ms\"\nlasts = \"600ms\"\n"
        );
    }
    for _ in 0..rng.random_range(0..=2) {
        text += &format!("[[fault]]\n{}", draw_extra_fault(&mut rng, length, peers));
    }
    Scenario::parse(&format!("ordeal-{seed}"), &text)
}

#[cfg(test)]
mod tests;
