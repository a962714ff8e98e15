//! The command line of the lab.
//!
//! Exit codes: 0 success; 1 invalid input, or the run was not possible; 2 a rule was broken; 3 the run is
//! void. The lab must never leave a process behind or hide an error.

use std::io::IsTerminal;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Parser, Subcommand, ValueEnum};
use indicatif::{ProgressBar, ProgressStyle};
use rayon::prelude::*;
use topazsail_lab::experiment::{self, SystemUnderTest};
use topazsail_lab::policy::Policy;
use topazsail_lab::report;
use topazsail_lab::scenario::Scenario;
use topazsail_lab::sockets::bundled_program;
use topazsail_lab::tally::Outcome;
use topazsail_lab::virtual_clock::{self, Options};

/// Plays scenarios against topazsail and judges the results.
#[derive(Parser)]
#[command(name = "topazsail-lab", version)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

/// How a scenario is played.
#[derive(Clone, Copy, ValueEnum)]
enum ClockName {
    /// The routing policy in this process, in virtual time; takes seconds for a million invocations.
    Virtual,
    /// The real program on loopback, in real time.
    Sockets,
}

#[derive(Subcommand)]
enum Command {
    /// Play one scenario once.
    Run {
        scenario: PathBuf,
        #[arg(long, value_enum, default_value = "virtual")]
        clock: ClockName,
        /// Seed to use instead of the scenario's.
        #[arg(long)]
        seed: Option<u64>,
        /// The dispatcher's program on sockets; by default the one beside this program.
        #[arg(long)]
        program: Option<PathBuf>,
        /// The policy that decides in virtual time.
        #[arg(long, default_value = "topazsail")]
        policy: String,
        /// In virtual time, also print how much time the policy took.
        #[arg(long)]
        time: bool,
        /// Write the result to this file.
        #[arg(long)]
        json: Option<PathBuf>,
        /// Write a page with plots into this directory.
        #[arg(long)]
        report: Option<PathBuf>,
    },
    /// Play a scenario for each value of one field.
    Sweep {
        scenario: PathBuf,
        /// PATH=A,B,C, such as clients.load=0.5,0.7,0.9 or fault.0.size=2,4.
        #[arg(long)]
        vary: String,
        /// Number of seeds for each value.
        #[arg(long, default_value_t = 3)]
        seeds: u32,
        /// A policy in virtual time, or a program's path (containing '/') on sockets.
        #[arg(long, default_value = "topazsail")]
        who: String,
        #[arg(long)]
        json: Option<PathBuf>,
        #[arg(long)]
        report: Option<PathBuf>,
    },
    /// Play a scenario with two programs or policies on the same seeds.
    Compare {
        scenario: PathBuf,
        /// A policy in virtual time, or a program's path (containing '/') on sockets.
        #[arg(long)]
        against: String,
        #[arg(long, default_value = "topazsail")]
        who: String,
        #[arg(long, default_value_t = 10)]
        pairs: u32,
        #[arg(long)]
        json: Option<PathBuf>,
        #[arg(long)]
        report: Option<PathBuf>,
    },
    /// Play random days on sockets on which power, processes, disks and links fail. Continues after a broken
    /// rule.
    #[command(name = "ordeal")]
    FaultDays {
        /// Range of seeds FROM..TO; TO is excluded.
        #[arg(long, default_value = "1..13")]
        seeds: String,
        /// Days played at the same time; each has up to nine dispatchers.
        #[arg(long, default_value_t = 2)]
        at_once: usize,
        #[arg(long)]
        program: Option<PathBuf>,
        /// Write all results into this directory.
        #[arg(long)]
        json: Option<PathBuf>,
    },
    /// Play random soak days on sockets: system calls of the dispatchers fail, and all dispatchers are
    /// restarted.
    Soak {
        /// Range of seeds FROM..TO; TO is excluded.
        #[arg(long, default_value = "1..51")]
        seeds: String,
        /// Days played at the same time; each has up to six dispatchers.
        #[arg(long, default_value_t = 3)]
        at_once: usize,
        #[arg(long)]
        program: Option<PathBuf>,
        /// Write all results into this directory.
        #[arg(long)]
        json: Option<PathBuf>,
        /// Write a page with plots of each day into this directory.
        #[arg(long)]
        report: Option<PathBuf>,
    },
    /// Check scenarios: print what they contain, or the line and field of an error.
    Check { scenarios: Vec<PathBuf> },
    /// Write pages for results that were written to files before.
    Report {
        results: Vec<PathBuf>,
        #[arg(long, default_value = "lab-report")]
        out: PathBuf,
    },
}

/// Creates a progress bar, which is shown on a terminal only.
fn bar(what: &str) -> ProgressBar {
    let bar = ProgressBar::new(1000);
    if let Ok(style) = ProgressStyle::with_template("{msg} [{bar:40}] {percent}%") {
        bar.set_style(style.progress_chars("=> "));
    }
    bar.set_message(what.to_owned());
    if !std::io::stderr().is_terminal() {
        bar.set_draw_target(indicatif::ProgressDrawTarget::hidden());
    }
    bar
}

/// Formats a value as JSON.
fn json<T: serde::Serialize>(value: &T) -> Result<String, String> {
    serde_json::to_string_pretty(value).map(|text| text + "\n").map_err(|error| error.to_string())
}

/// Writes text to a file, if a path is given.
fn write_optional(path: Option<&Path>, text: impl FnOnce() -> Result<String, String>) -> Result<(), String> {
    path.map_or(Ok(()), |path| report::write(path, &text()?))
}

/// Writes a page into a directory, if one is given, and prints the page's path.
fn write_report_page(
    folder: Option<&Path>,
    name: &str,
    html: impl FnOnce() -> Result<String, String>,
) -> Result<(), String> {
    let Some(folder) = folder else { return Ok(()) };
    println!("{}", report::write_page(folder, name, &html()?)?.display());
    Ok(())
}

/// Returns the exit code for outcomes.
fn exit_code<'a>(outcomes: impl Iterator<Item = &'a Outcome> + Clone) -> ExitCode {
    let void = outcomes.clone().any(|outcome| !outcome.void.is_empty());
    let broken = outcomes.into_iter().any(|outcome| !outcome.broken.is_empty());
    ExitCode::from(if broken {
        2
    } else if void {
        3
    } else {
        0
    })
}

/// Plays a scenario in virtual time; with `time`, also prints the time that the policy took.
fn play_policy(scenario: &Scenario, policy: Policy, seed: u64, time: bool) -> Result<Outcome, String> {
    let run =
        virtual_clock::play(scenario, policy, seed, Options { measure_time: time, ..Options::default() })?;
    if time {
        let [roster_time, other_time] = run.decision_time.map(|spent| spent.as_secs_f64() * 1e6);
        let invocations = run.outcome.counts.asked.max(1) as f64;
        let (calls, per_invocation) = (run.decisions, other_time / invocations);
        println!(
            "module: {per_invocation:.2} us an invocation, {:.1} ms for lists in all, {calls} calls",
            roster_time / 1e3
        );
    }
    Ok(run.outcome)
}

/// Prints the result of a random day, in full if a rule was broken, and writes it into a directory if one is
/// given.
fn print_day(outcome: &Outcome, to: Option<&Path>) -> Result<(), String> {
    if outcome.broken.is_empty() {
        println!("{}: goodput {:.3}, no rule broken {:?}", outcome.scenario, outcome.goodput, outcome.void);
    } else {
        print!("{}", report::run_text(outcome));
    }
    write_optional(to.map(|to| to.join(format!("{}.json", outcome.scenario))).as_deref(), || json(outcome))
}

/// Plays the day of a seed on which power and other things fail.
fn play_fault_day(seed: u64, program: Option<&Path>, to: Option<&Path>) -> Result<Outcome, String> {
    let day = topazsail_lab::fault_days::day(seed)?;
    let program = program.map_or_else(|| bundled_program(&day), Path::to_owned);
    let outcome = topazsail_lab::sockets::play(&day, &program, seed, &|_| ())?;
    print_day(&outcome, to)?;
    Ok(outcome)
}

/// Plays the soak day of a seed; prints its fault plans too if a rule was broken.
fn play_soak_day(
    seed: u64,
    program: Option<&Path>,
    to: Option<&Path>,
    folder: Option<&Path>,
) -> Result<Outcome, String> {
    let day = topazsail_lab::soak::day(seed)?;
    let program = program.map_or_else(|| bundled_program(&day.scenario), Path::to_owned);
    let outcome =
        topazsail_lab::sockets::play_with_fault_plans(&day.scenario, &program, seed, &day.plans, &|_| ())?;
    print_day(&outcome, to)?;
    if !outcome.broken.is_empty() {
        day.plans.iter().for_each(|plan| println!("  plan {}", plan.to_json()));
    }
    write_report_page(folder, &outcome.scenario, || report::run_page(&outcome))?;
    Ok(outcome)
}

/// Plays the seeds of `FROM..TO`, `at_once` of them at the same time.
fn play_seeds(
    seeds: &str,
    at_once: usize,
    play: impl Fn(u64) -> Result<Outcome, String> + Sync,
) -> Result<ExitCode, String> {
    let range = seeds.split_once("..").and_then(|(from, to)| Some((from.parse().ok()?, to.parse().ok()?)));
    let (from, until): (u64, u64) =
        range.ok_or_else(|| format!("--seeds: expected FROM..TO, found '{seeds}'"))?;
    let pool = rayon::ThreadPoolBuilder::new().num_threads(at_once.max(1)).build();
    let played: Result<Vec<Outcome>, String> = pool
        .map_err(|error| error.to_string())?
        .install(|| (from..until).into_par_iter().map(&play).collect());
    let outcomes = played?;
    let broken = outcomes.iter().filter(|outcome| !outcome.broken.is_empty()).count();
    println!("{} days, rules broken on {broken}", outcomes.len());
    Ok(exit_code(outcomes.iter()))
}

/// Runs the command. Returns the exit code.
fn run(arguments: Arguments) -> Result<ExitCode, String> {
    match arguments.command {
        Command::Run { scenario, clock, seed, program, policy, time, json: to, report: folder } => {
            let scenario = Scenario::load(&scenario)?;
            let who = match clock {
                ClockName::Virtual => SystemUnderTest::Policy(policy.parse::<Policy>()?),
                ClockName::Sockets => {
                    SystemUnderTest::Program(program.unwrap_or_else(|| bundled_program(&scenario)))
                }
            };
            let seed = seed.unwrap_or(scenario.seed);
            let bar = bar(&scenario.name);
            let played = match &who {
                SystemUnderTest::Policy(policy) => play_policy(&scenario, *policy, seed, time),
                SystemUnderTest::Program(_) => {
                    who.play(&scenario, seed, &|share| bar.set_position((share * 1000.0) as u64))
                }
            };
            bar.finish_and_clear();
            let outcome = played?;
            print!("{}", report::run_text(&outcome));
            write_optional(to.as_deref(), || json(&outcome))?;
            write_report_page(folder.as_deref(), &outcome.scenario, || report::run_page(&outcome))?;
            Ok(exit_code(std::iter::once(&outcome)))
        }
        Command::Sweep { scenario, vary, seeds, who, json: to, report: folder } => {
            let (field, values) =
                vary.split_once('=').ok_or_else(|| format!("--vary: expected PATH=A,B,C, found '{vary}'"))?;
            let values: Vec<String> = values.split(',').map(str::to_owned).collect();
            let steps = experiment::vary(&scenario, field, &values)?;
            let bar = bar(field);
            let progress = |share: f64| bar.set_position((share * 1000.0) as u64);
            let steps = experiment::sweep(steps, &SystemUnderTest::parse(&who)?, seeds.max(1), &progress);
            bar.finish_and_clear();
            let steps = steps?;
            print!("{}", report::sweep_text(field, &steps));
            write_optional(to.as_deref(), || json(&steps))?;
            write_report_page(folder.as_deref(), &format!("sweep {field}"), || {
                report::sweep_page(field, &steps)
            })?;
            Ok(exit_code(steps.iter().flat_map(|step| &step.outcomes)))
        }
        Command::Compare { scenario, against, who, pairs, json: to, report: folder } => {
            let scenario = Scenario::load(&scenario)?;
            let bar = bar(&scenario.name);
            let progress = |share: f64| bar.set_position((share * 1000.0) as u64);
            let (ours, other) = (SystemUnderTest::parse(&who)?, SystemUnderTest::parse(&against)?);
            let comparison = experiment::compare(&scenario, &ours, &other, pairs.max(2), &progress);
            bar.finish_and_clear();
            let comparison = comparison?;
            print!("{}", report::comparison_text(&comparison));
            write_optional(to.as_deref(), || json(&comparison))?;
            write_report_page(folder.as_deref(), &format!("compare {}", comparison.scenario), || {
                report::comparison_page(&comparison)
            })?;
            Ok(ExitCode::SUCCESS)
        }
        Command::FaultDays { seeds, at_once, program, json: to } => {
            play_seeds(&seeds, at_once, |seed| play_fault_day(seed, program.as_deref(), to.as_deref()))
        }
        Command::Soak { seeds, at_once, program, json: to, report: folder } => {
            play_seeds(&seeds, at_once, |seed| {
                play_soak_day(seed, program.as_deref(), to.as_deref(), folder.as_deref())
            })
        }
        Command::Check { scenarios } => {
            if scenarios.is_empty() {
                return Err("check: expected at least one scenario".to_owned());
            }
            for path in scenarios {
                let scenario = Scenario::load(&path)?;
                println!(
                    "{}: {} for {}, {} dispatchers, {} runners, {} faults",
                    path.display(),
                    scenario.name,
                    serde_json::to_value(scenario.length).unwrap_or_default().as_str().unwrap_or_default(),
                    scenario.dispatchers,
                    scenario.runners(),
                    scenario.fault.len()
                );
            }
            Ok(ExitCode::SUCCESS)
        }
        Command::Report { results, out } => {
            for path in results {
                let describe = |error: &dyn std::fmt::Display| format!("{}: {error}", path.display());
                let text = std::fs::read_to_string(&path).map_err(|error| describe(&error))?;
                let outcome: Outcome = serde_json::from_str(&text).map_err(|error| describe(&error))?;
                let name = format!("{} {} {}", outcome.scenario, outcome.clock, outcome.seed);
                write_report_page(Some(&out), &name, || report::run_page(&outcome))?;
            }
            Ok(ExitCode::SUCCESS)
        }
    }
}

fn main() -> ExitCode {
    match run(Arguments::parse()) {
        Ok(exit_code) => exit_code,
        Err(error) => {
            eprintln!("topazsail-lab: {error}");
            ExitCode::FAILURE
        }
    }
}
