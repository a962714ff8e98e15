//! Builds the shim and prepares commands to run under it.

use std::io;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::OnceLock;

use crate::{PLAN_VARIABLE, Plan};

const LIBRARY: &str = "libtopazsail_fault_shim.so";

/// The path of the shim for tests: built once a process, into the target folder that the running test came from.
///
/// # Errors
///
/// The build has failed, or this is not a test that Cargo built.
pub fn library() -> io::Result<&'static Path> {
    static BUILT: OnceLock<Result<PathBuf, String>> = OnceLock::new();
    let built = BUILT.get_or_init(|| build().map_err(|error| error.to_string()));
    built.as_deref().map_err(|error| io::Error::other(error.clone()))
}

fn build() -> io::Result<PathBuf> {
    let own = std::env::current_exe()?;
    // target/PROFILE/deps/test, or target/PROFILE/program.
    let target = own.ancestors().find(|folder| folder.join("CACHEDIR.TAG").is_file());
    let target = target.ok_or_else(|| io::Error::other("not in a target folder"))?;
    let manifest = concat!(env!("CARGO_MANIFEST_DIR"), "/shim/Cargo.toml");
    let cargo = std::env::var_os("CARGO").unwrap_or_else(|| "cargo".into());
    let mut command = Command::new(cargo);
    command.args(["build", "--locked", "--quiet", "--manifest-path", manifest, "--target-dir"]).arg(target);
    let status = command.status()?;
    if !status.success() {
        return Err(io::Error::other(format!("the build of the shim ended with {status}")));
    }
    Ok(target.join("debug").join(LIBRARY))
}

/// Has a command run under the shim with this plan.
pub fn inject(command: &mut Command, library: &Path, plan: &Plan) {
    command.env("LD_PRELOAD", library).env(PLAN_VARIABLE, plan.to_json());
}
