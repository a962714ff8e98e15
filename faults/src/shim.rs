//! Builds the shim and prepares commands to run under it.

use std::io;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::OnceLock;

use crate::{PLAN_VARIABLE, Plan};

/// The file name under which Cargo builds the shim.
const LIBRARY_FILE: &str = "libtopazsail_fault_shim.so";

/// Returns the path of the shim. The first call of a process builds it into the target directory that the
/// running executable is in.
///
/// # Errors
///
/// Returns an error if the build fails or the running executable is not in a Cargo target directory.
pub fn library_path() -> io::Result<&'static Path> {
    static BUILT: OnceLock<Result<PathBuf, String>> = OnceLock::new();
    let built = BUILT.get_or_init(|| build().map_err(|error| error.to_string()));
    built.as_deref().map_err(|error| io::Error::other(error.clone()))
}

/// Builds the shim and returns its path.
fn build() -> io::Result<PathBuf> {
    let executable = std::env::current_exe()?;
    // The executable is target/PROFILE/deps/TEST or target/PROFILE/PROGRAM.
    let target = executable.ancestors().find(|directory| directory.join("CACHEDIR.TAG").is_file());
    let target =
        target.ok_or_else(|| io::Error::other("the executable is not in a Cargo target directory"))?;
    let manifest = concat!(env!("CARGO_MANIFEST_DIR"), "/shim/Cargo.toml");
    let cargo = std::env::var_os("CARGO").unwrap_or_else(|| "cargo".into());
    let mut command = Command::new(cargo);
    command.args(["build", "--locked", "--quiet", "--manifest-path", manifest, "--target-dir"]).arg(target);
    let status = command.status()?;
    if !status.success() {
        return Err(io::Error::other(format!("building the fault shim failed: {status}")));
    }
    Ok(target.join("debug").join(LIBRARY_FILE))
}

/// Makes a command run under the shim with this plan.
pub fn inject(command: &mut Command, library: &Path, plan: &Plan) {
    command.env("LD_PRELOAD", library).env(PLAN_VARIABLE, plan.to_json());
}
