//! The program `topazsail`: all of it is in the library, so that tests and the lab share its types.

use std::process::ExitCode;

fn main() -> ExitCode {
    topazsail_node::cli::main()
}
