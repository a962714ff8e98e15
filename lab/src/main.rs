//! The command line of the lab.
//!
//! It owns sub-commands and exit codes: 0 fine, 1 bad input or no run, 2 a rule was broken, 3 void. It must
//! never leave a process behind or swallow a fault.

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
use topazsail_lab::sockets::own_program;
use topazsail_lab::tally::Outcome;
use topazsail_lab::virtual_clock::{self, Options};

/// Plays scenarios against topazsail and judges what comes of them.
#[derive(Parser)]
#[command(name = "topazsail-lab", version)]
struct Line {
    #[command(subcommand)]
    command: Command,
}

#[derive(Clone, Copy, ValueEnum)]
enum ClockName {
    /// The module in process; seconds for a million invocations.
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
        /// Instead of the scenario's own.
        #[arg(long)]
        seed: Option<u64>,
        /// The dispatcher on sockets; the one beside this program if not named.
        #[arg(long)]
        program: Option<PathBuf>,
        /// Who decides in virtual time.
        #[arg(long, default_value = "topazsail")]
        policy: String,
        /// In virtual time, also say how long the module took.
        #[arg(long)]
        time: bool,
        /// Write the result here.
        #[arg(long)]
        json: Option<PathBuf>,
        /// Write a page with plots into this folder.
        #[arg(long)]
        report: Option<PathBuf>,
    },
    /// Play a scenario for each value of one field.
    Sweep {
        scenario: PathBuf,
        /// PATH=A,B,C, such as clients.load=0.5,0.7,0.9 or fault.0.size=2,4.
        #[arg(long)]
        vary: String,
        /// Seeds for each value.
        #[arg(long, default_value_t = 3)]
        seeds: u32,
        /// A policy in virtual time, or a program's path (with a '/') on sockets.
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
        /// A policy in virtual time, or a program's path (with a '/') on sockets.
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
    /// Play days drawn by seed, on which power, processes, disks and links fail, on sockets; stops at none.
    Ordeal {
        /// FROM..TO, the second not played.
        #[arg(long, default_value = "1..13")]
        seeds: String,
        /// How many at a time: each has up to nine dispatchers.
        #[arg(long, default_value_t = 2)]
        at_once: usize,
        #[arg(long)]
        program: Option<PathBuf>,
        /// Write all results into this folder.
        #[arg(long)]
        json: Option<PathBuf>,
    },
    /// Play soak days drawn by seed, on which system calls of the dispatchers fail and all are restarted, on sockets.
    Soak {
        /// FROM..TO, the second not played.
        #[arg(long, default_value = "1..51")]
        seeds: String,
        /// How many at a time: each has up to six dispatchers.
        #[arg(long, default_value_t = 3)]
        at_once: usize,
        #[arg(long)]
        program: Option<PathBuf>,
        /// Write all results into this folder.
        #[arg(long)]
        json: Option<PathBuf>,
        /// Write a page with plots of each day into this folder.
        #[arg(long)]
        report: Option<PathBuf>,
    },
    /// Read scenarios and say what they hold, or which field of which line is at fault.
    Check { scenarios: Vec<PathBuf> },
    /// Make pages of results that were written before.
    Report {
        results: Vec<PathBuf>,
        #[arg(long, default_value = "lab-report")]
        out: PathBuf,
    },
}

/// Shown on a terminal only.
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

fn json<T: serde::Serialize>(value: &T) -> Result<String, String> {
    serde_json::to_string_pretty(value).map(|text| text + "\n").map_err(|error| error.to_string())
}

fn write(path: Option<&Path>, text: impl FnOnce() -> Result<String, String>) -> Result<(), String> {
    path.map_or(Ok(()), |path| report::write(path, &text()?))
}

fn page(
    folder: Option<&Path>,
    name: &str,
    html: impl FnOnce() -> Result<String, String>,
) -> Result<(), String> {
    let Some(folder) = folder else { return Ok(()) };
    println!("{}", report::write_page(folder, name, &html()?)?.display());
    Ok(())
}

fn code<'a>(outcomes: impl Iterator<Item = &'a Outcome> + Clone) -> ExitCode {
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

fn timed(scenario: &Scenario, policy: Policy, seed: u64, time: bool) -> Result<Outcome, String> {
    let run =
        virtual_clock::play(scenario, policy, seed, Options { measure_time: time, ..Options::default() })?;
    if time {
        let [lists, rest] = run.decision_time.map(|spent| spent.as_secs_f64() * 1e6);
        let asked = run.outcome.counts.asked.max(1) as f64;
        let (calls, each) = (run.decisions, rest / asked);
        println!("module: {each:.2} us an invocation, {:.1} ms for lists in all, {calls} calls", lists / 1e3);
    }
    Ok(run.outcome)
}

/// Says how a drawn day went, all of it where a rule was broken, and writes it into a folder where one is named.
fn tell_day(outcome: &Outcome, to: Option<&Path>) -> Result<(), String> {
    if outcome.broken.is_empty() {
        println!("{}: goodput {:.3}, no rule broken {:?}", outcome.scenario, outcome.goodput, outcome.void);
    } else {
        print!("{}", report::run_text(outcome));
    }
    write(to.map(|to| to.join(format!("{}.json", outcome.scenario))).as_deref(), || json(outcome))
}

/// One drawn day of losses of power.
fn ordeal(seed: u64, program: Option<&Path>, to: Option<&Path>) -> Result<Outcome, String> {
    let day = topazsail_lab::ordeal::day(seed)?;
    let program = program.map_or_else(|| own_program(&day), Path::to_owned);
    let outcome = topazsail_lab::sockets::play(&day, &program, seed, &|_| ())?;
    tell_day(&outcome, to)?;
    Ok(outcome)
}

/// One soak day; where a rule was broken its plans are told too.
fn soak(
    seed: u64,
    program: Option<&Path>,
    to: Option<&Path>,
    folder: Option<&Path>,
) -> Result<Outcome, String> {
    let day = topazsail_lab::soak::day(seed)?;
    let program = program.map_or_else(|| own_program(&day.scenario), Path::to_owned);
    let outcome = topazsail_lab::sockets::play_failing(&day.scenario, &program, seed, &day.plans, &|_| ())?;
    tell_day(&outcome, to)?;
    if !outcome.broken.is_empty() {
        day.plans.iter().for_each(|plan| println!("  plan {}", plan.to_json()));
    }
    page(folder, &outcome.scenario, || report::run_page(&outcome))?;
    Ok(outcome)
}

/// Plays each seed of FROM..TO, so many at once.
fn play_seeds(
    seeds: &str,
    at_once: usize,
    play: impl Fn(u64) -> Result<Outcome, String> + Sync,
) -> Result<ExitCode, String> {
    let range = seeds.split_once("..").and_then(|(from, to)| Some((from.parse().ok()?, to.parse().ok()?)));
    let (from, until): (u64, u64) = range.ok_or("--seeds wants FROM..TO")?;
    let pool = rayon::ThreadPoolBuilder::new().num_threads(at_once.max(1)).build();
    let played: Result<Vec<Outcome>, String> = pool
        .map_err(|error| error.to_string())?
        .install(|| (from..until).into_par_iter().map(&play).collect());
    let outcomes = played?;
    let broken = outcomes.iter().filter(|outcome| !outcome.broken.is_empty()).count();
    println!("{} days, rules broken on {broken}", outcomes.len());
    Ok(code(outcomes.iter()))
}

fn run(line: Line) -> Result<ExitCode, String> {
    match line.command {
        Command::Run { scenario, clock, seed, program, policy, time, json: to, report: folder } => {
            let scenario = Scenario::load(&scenario)?;
            let who = match clock {
                ClockName::Virtual => SystemUnderTest::Policy(policy.parse::<Policy>()?),
                ClockName::Sockets => {
                    SystemUnderTest::Program(program.unwrap_or_else(|| own_program(&scenario)))
                }
            };
            let seed = seed.unwrap_or(scenario.seed);
            let bar = bar(&scenario.name);
            let played = match &who {
                SystemUnderTest::Policy(policy) => timed(&scenario, *policy, seed, time),
                SystemUnderTest::Program(_) => {
                    who.play(&scenario, seed, &|share| bar.set_position((share * 1000.0) as u64))
                }
            };
            bar.finish_and_clear();
            let outcome = played?;
            print!("{}", report::run_text(&outcome));
            write(to.as_deref(), || json(&outcome))?;
            page(folder.as_deref(), &outcome.scenario, || report::run_page(&outcome))?;
            Ok(code(std::iter::once(&outcome)))
        }
        Command::Sweep { scenario, vary, seeds, who, json: to, report: folder } => {
            let (field, values) = vary.split_once('=').ok_or("--vary wants PATH=A,B,C")?;
            let values: Vec<String> = values.split(',').map(str::to_owned).collect();
            let steps = experiment::vary(&scenario, field, &values)?;
            let bar = bar(field);
            let progress = |share: f64| bar.set_position((share * 1000.0) as u64);
            let steps = experiment::sweep(steps, &SystemUnderTest::parse(&who)?, seeds.max(1), &progress);
            bar.finish_and_clear();
            let steps = steps?;
            print!("{}", report::sweep_text(field, &steps));
            write(to.as_deref(), || json(&steps))?;
            page(folder.as_deref(), &format!("sweep {field}"), || report::sweep_page(field, &steps))?;
            Ok(code(steps.iter().flat_map(|step| &step.outcomes)))
        }
        Command::Compare { scenario, against, who, pairs, json: to, report: folder } => {
            let scenario = Scenario::load(&scenario)?;
            let bar = bar(&scenario.name);
            let progress = |share: f64| bar.set_position((share * 1000.0) as u64);
            let (ours, other) = (SystemUnderTest::parse(&who)?, SystemUnderTest::parse(&against)?);
            let found = experiment::compare(&scenario, &ours, &other, pairs.max(2), &progress);
            bar.finish_and_clear();
            let found = found?;
            print!("{}", report::comparison_text(&found));
            write(to.as_deref(), || json(&found))?;
            page(folder.as_deref(), &format!("compare {}", found.scenario), || {
                report::comparison_page(&found)
            })?;
            Ok(ExitCode::SUCCESS)
        }
        Command::Ordeal { seeds, at_once, program, json: to } => {
            play_seeds(&seeds, at_once, |seed| ordeal(seed, program.as_deref(), to.as_deref()))
        }
        Command::Soak { seeds, at_once, program, json: to, report: folder } => {
            play_seeds(&seeds, at_once, |seed| {
                soak(seed, program.as_deref(), to.as_deref(), folder.as_deref())
            })
        }
        Command::Check { scenarios } => {
            if scenarios.is_empty() {
                return Err("check wants at least one scenario".to_owned());
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
                let fault = |error: &dyn std::fmt::Display| format!("{}: {error}", path.display());
                let text = std::fs::read_to_string(&path).map_err(|error| fault(&error))?;
                let outcome: Outcome = serde_json::from_str(&text).map_err(|error| fault(&error))?;
                let name = format!("{} {} {}", outcome.scenario, outcome.clock, outcome.seed);
                page(Some(&out), &name, || report::run_page(&outcome))?;
            }
            Ok(ExitCode::SUCCESS)
        }
    }
}

fn main() -> ExitCode {
    match run(Line::parse()) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("topazsail-lab: {error}");
            ExitCode::FAILURE
        }
    }
}
