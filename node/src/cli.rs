//! The command line of the dispatcher: its sub-commands and exit codes.
//!
//! Every error is printed and ends the process with a failure code.

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
    topazsail check [--config FILE]   read the configuration and print a summary
    topazsail migrate [--config FILE] --to FILE [--dry-run] [--dispatchers N] [--number N]
                      [--zones A,B] [--my-zone A]
                                      write the configuration for the new shape of deployment and
                                      list what could not be carried over; --dry-run only shows both
    topazsail store show --folder DIR [--json]
    topazsail store verify --folder DIR [--json]
                                      list what a dispatcher has stored, with each record (show) or without
                                      (verify); changes nothing, and exits with 1 if something is damaged
    topazsail version

Without --config the file is the one that RELAY_CONFIG names.
";

/// Runs the sub-command that the arguments name.
fn run(open_disk: OpenDisk) -> Result<(), String> {
    let mut arguments = pico_args::Arguments::from_env();
    if arguments.contains(["-h", "--help"]) {
        print!("{HELP}");
        return Ok(());
    }
    let command = arguments.subcommand().map_err(|error| error.to_string())?;
    if command.as_deref() == Some("store") {
        return run_store(arguments);
    }
    let path = arguments.opt_value_from_str("--config").map_err(|error| error.to_string())?;
    if command.as_deref() == Some("migrate") {
        return run_migrate(arguments, path);
    }
    if let Some(unexpected) = arguments.finish().first() {
        return Err(format!("unexpected argument {unexpected:?}; see --help"));
    }
    match command.as_deref() {
        Some("serve") => start::serve(&config::path(path)?, open_disk),
        Some("check") => {
            let configuration = config::load(&config::path(path)?)?;
            let operations = configuration.decoded.operation_names.join(", ");
            println!(
                "{} listens on {} and uses discovery at {}",
                configuration.name, configuration.listen, configuration.discovery
            );
            match configuration.admin {
                Some(address) => println!("operators' calls are accepted at {address}"),
                None => println!(
                    "operators' calls are not accepted: neither admin_addr nor RELAY_ADMIN_ADDR is set"
                ),
            }
            match &configuration.store {
                Some(store) => println!(
                    "state is stored in {}; without the store {}",
                    store.folder.display(),
                    if store.require { "there is no service" } else { "service continues" }
                ),
                None => println!("no state survives a restart: store is not set"),
            }
            match &configuration.peers {
                Some(peers) => println!(
                    "exchanges state with peers: listens on {}, {} peers",
                    peers.listen,
                    peers.members.len()
                ),
                None => println!("exchanges no state with other dispatchers: peers is not set"),
            }
            println!(
                "operations: {operations}; known runners: {}",
                configuration.initial_roster.entries().len()
            );
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

/// Runs `store show` or `store verify`; fails if the store is damaged.
fn run_store(mut arguments: pico_args::Arguments) -> Result<(), String> {
    let command = arguments.subcommand().map_err(|error| error.to_string())?;
    let json = arguments.contains("--json");
    let folder: Option<PathBuf> =
        arguments.opt_value_from_str("--folder").map_err(|error| error.to_string())?;
    if let Some(unexpected) = arguments.finish().first() {
        return Err(format!("unexpected argument {unexpected:?}; see --help"));
    }
    let with_records = match command.as_deref() {
        Some("show") => true,
        Some("verify") => false,
        _ => return Err("store: expected show or verify; see --help".to_owned()),
    };
    let folder = folder.ok_or("--folder is missing; see --help")?;
    let report = report_store(&folder, with_records, json)?;
    print!("{}", report.text);
    if report.is_intact {
        Ok(())
    } else {
        Err(format!("--folder {}: the store is damaged", folder.display()))
    }
}

/// Runs `migrate` on the configuration at `path`.
fn run_migrate(mut arguments: pico_args::Arguments, path: Option<String>) -> Result<(), String> {
    let dry_run = arguments.contains("--dry-run");
    let mut option = |name: &'static str| {
        arguments.opt_value_from_str::<_, String>(name).map_err(|error| error.to_string())
    };
    let (to, zones, my_zone) = (option("--to")?, option("--zones")?, option("--my-zone")?);
    let mut number_option = |name: &'static str| {
        arguments.opt_value_from_str::<_, u32>(name).map_err(|error| format!("{name}: {error}"))
    };
    let (dispatchers, dispatcher_index) = (number_option("--dispatchers")?, number_option("--number")?);
    if let Some(unexpected) = arguments.finish().first() {
        return Err(format!("unexpected argument {unexpected:?}; see --help"));
    }
    let to = to.ok_or("--to is missing; see --help")?;
    let zones = zones.iter().flat_map(|zones| zones.split(',')).map(str::to_owned).collect();
    let target = MigrationTarget { zones, my_zone, dispatchers, dispatcher_index };
    let migration = config::read(&config::path(path)?, |text| migrate::migrate(text, &target))?;
    if dry_run {
        print!("{}", migration.text);
    } else {
        migrate::write(&migration.text, &to)?;
    }
    migration.changed.iter().for_each(|line| eprintln!("changed: {line}"));
    migration.not_carried_over.iter().for_each(|line| eprintln!("not carried over: {line}"));
    eprintln!("{}", if dry_run { "nothing was written".to_owned() } else { format!("written: {to}") });
    Ok(())
}

/// Runs the command line of this process; returns its exit code.
pub fn main() -> ExitCode {
    main_with_disk(|folder| Ok(Box::new(DirectoryDisk::new(folder))))
}

/// [`main`] with another implementation of the disk, for tests.
pub fn main_with_disk(open_disk: OpenDisk) -> ExitCode {
    // A panic is logged at once with place and reason; the process then ends with an exit code of its own.
    std::panic::set_hook(Box::new(|panic| log!("panic", "{panic}")));
    match run(open_disk) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("topazsail: {error}");
            ExitCode::FAILURE
        }
    }
}
