//! The command line of the dispatcher on sockets.
//!
//! It owns the sub-commands and the exit code. It must never serve by itself, nor swallow a fault.

use std::path::PathBuf;
use std::process::ExitCode;

use crate::config;
use crate::lifecycle::migrate::{self, MigrationTarget};
use crate::lifecycle::start::{self, OpenDisk};
use crate::lifecycle::store_report::report_store;
use crate::net::log::log;
use topazsail_store::DirectoryDisk;

const HELP: &str = "\
topazsail, a dispatcher that pushes jobs to runners

    topazsail serve [--config FILE]   serve until SIGTERM; SIGHUP reads the configuration again
    topazsail check [--config FILE]   read the configuration and say what it holds
    topazsail migrate [--config FILE] --to FILE [--dry-run] [--dispatchers N] [--number N]
                      [--zones A,B] [--my-zone A]
                                      write the configuration's counterpart for the new shape of deployment and
                                      list what could not be carried over; --dry-run only shows both
    topazsail store show --folder DIR [--json]
    topazsail store verify --folder DIR [--json]
                                      what a dispatcher has kept, with each record or without; changes nothing, and
                                      ends with 1 where something is spoilt
    topazsail version

Without --config the file is the one that RELAY_CONFIG names.
";

fn run(open_disk: OpenDisk) -> Result<(), String> {
    let mut words = pico_args::Arguments::from_env();
    if words.contains(["-h", "--help"]) {
        print!("{HELP}");
        return Ok(());
    }
    let command = words.subcommand().map_err(|error| error.to_string())?;
    if command.as_deref() == Some("store") {
        return run_store(words);
    }
    let path = words.opt_value_from_str("--config").map_err(|error| error.to_string())?;
    if command.as_deref() == Some("migrate") {
        return run_migrate(words, path);
    }
    if let Some(more) = words.finish().first() {
        return Err(format!("unexpected {more:?}; see --help"));
    }
    match command.as_deref() {
        Some("serve") => start::serve(&config::path(path)?, open_disk),
        Some("check") => {
            let told = config::load(&config::path(path)?)?;
            let operations = told.decoded.operations.join(", ");
            println!("{} listens on {} and asks {}", told.name, told.listen, told.discovery);
            match told.admin {
                Some(address) => println!("operators call at {address}"),
                None => println!("operators call nowhere: neither admin_addr nor RELAY_ADMIN_ADDR is set"),
            }
            match &told.store {
                Some(store) => println!(
                    "kept in {}; without it {}",
                    store.folder.display(),
                    if store.require { "there is no service" } else { "service goes on" }
                ),
                None => println!("nothing is kept over a restart: no store is set"),
            }
            match &told.peers {
                Some(peers) => println!("talks at {} to {} others", peers.listen, peers.members.len()),
                None => println!("talks to no other dispatcher: no peers are set"),
            }
            println!("operations: {operations}; runners known: {}", told.initial_roster.entries().len());
            Ok(())
        }
        Some("version") => {
            println!("topazsail {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
        Some(other) => Err(format!("unknown command '{other}'; see --help")),
        None => Err("no command; see --help".to_owned()),
    }
}

fn run_store(mut words: pico_args::Arguments) -> Result<(), String> {
    let what = words.subcommand().map_err(|error| error.to_string())?;
    let json = words.contains("--json");
    let folder: Option<PathBuf> = words.opt_value_from_str("--folder").map_err(|error| error.to_string())?;
    if let Some(more) = words.finish().first() {
        return Err(format!("unexpected {more:?}; see --help"));
    }
    let all = match what.as_deref() {
        Some("show") => true,
        Some("verify") => false,
        _ => return Err("store wants show or verify; see --help".to_owned()),
    };
    let folder = folder.ok_or("--folder is missing; see --help")?;
    let report = report_store(&folder, all, json)?;
    print!("{}", report.text);
    if report.well { Ok(()) } else { Err(format!("--folder {}: spoilt", folder.display())) }
}

fn run_migrate(mut words: pico_args::Arguments, path: Option<String>) -> Result<(), String> {
    let dry = words.contains("--dry-run");
    let mut option =
        |name: &'static str| words.opt_value_from_str::<_, String>(name).map_err(|error| error.to_string());
    let (to, zones, my_zone) = (option("--to")?, option("--zones")?, option("--my-zone")?);
    let mut number = |name: &'static str| {
        words.opt_value_from_str::<_, u32>(name).map_err(|error| format!("{name}: {error}"))
    };
    let (dispatchers, number) = (number("--dispatchers")?, number("--number")?);
    if let Some(more) = words.finish().first() {
        return Err(format!("unexpected {more:?}; see --help"));
    }
    let to = to.ok_or("--to is missing; see --help")?;
    let zones = zones.iter().flat_map(|zones| zones.split(',')).map(str::to_owned).collect();
    let target = MigrationTarget { zones, my_zone, dispatchers, number };
    let migration = config::read(&config::path(path)?, |text| migrate::migrate(text, &target))?;
    if dry {
        print!("{}", migration.text);
    } else {
        migrate::write(&migration.text, &to)?;
    }
    migration.changed.iter().for_each(|line| eprintln!("changed: {line}"));
    migration.left.iter().for_each(|line| eprintln!("not carried over: {line}"));
    eprintln!("{}", if dry { "nothing was written".to_owned() } else { format!("written: {to}") });
    Ok(())
}

/// Runs the command that the process was started with; its exit code.
pub fn main() -> ExitCode {
    main_with_disk(|folder| Ok(Box::new(DirectoryDisk::new(folder))))
}

/// The same over another disk, for trials.
pub fn main_with_disk(open_disk: OpenDisk) -> ExitCode {
    // A fault of our own is seen at once: where and why, and then the process ends with a code of its own.
    std::panic::set_hook(Box::new(|fault| log!("panic", "{fault}")));
    match run(open_disk) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("topazsail: {error}");
            ExitCode::FAILURE
        }
    }
}
