//! The command line of the dispatcher on sockets.
//!
//! It owns the sub-commands and the exit code. It must never serve by itself, nor swallow a fault.

use std::process::ExitCode;

use crate::log::log;
use crate::{config, reactor};

const HELP: &str = "\
topazsail, a dispatcher that pushes jobs to runners

    topazsail serve [--config FILE]   serve until SIGTERM; SIGHUP reads the configuration again
    topazsail check [--config FILE]   read the configuration and say what it holds
    topazsail version

Without --config the file is the one that RELAY_CONFIG names.
";

fn run() -> Result<(), String> {
    let mut words = pico_args::Arguments::from_env();
    if words.contains(["-h", "--help"]) {
        print!("{HELP}");
        return Ok(());
    }
    let command = words.subcommand().map_err(|error| error.to_string())?;
    let path = words.opt_value_from_str("--config").map_err(|error| error.to_string())?;
    if let Some(more) = words.finish().first() {
        return Err(format!("unexpected {more:?}; see --help"));
    }
    match command.as_deref() {
        Some("serve") => reactor::serve(&config::path(path)?),
        Some("check") => {
            let told = config::load(&config::path(path)?)?;
            let operations = told.decoded.operations.join(", ");
            println!("{} listens on {} and asks {}", told.name, told.listen, told.discovery);
            println!("operations: {operations}; runners known: {}", told.known.entries().len());
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

/// Runs the command that the process was started with; its exit code.
pub fn main() -> ExitCode {
    // A fault of our own is seen at once: where and why, and then the process ends with a code of its own.
    std::panic::set_hook(Box::new(|fault| log!("panic", "{fault}")));
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("topazsail: {error}");
            ExitCode::FAILURE
        }
    }
}
