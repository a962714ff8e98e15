//! The program `topazsail`. All of it is in the library, so that tests and the lab can use its types.

use std::process::ExitCode;

/// Runs the command line.
fn main() -> ExitCode {
    topazsail_node::cli::main()
}
