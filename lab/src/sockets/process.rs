//! The process of a dispatcher under test: started with a configuration that the lab writes, controlled by
//! signals, and killed when the lab ends, however it ends.
//!
//! This module owns the process and its log. It must never depend on what the process decides.

use std::fs::{self, File};
use std::io;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use topazsail_faults::{Plan, shim};

use crate::tally::Process as ProcessUsage;

/// A dispatcher's process over all its starts.
pub struct Process {
    /// The dispatcher's index.
    pub number: u32,
    program: PathBuf,
    config: PathBuf,
    log: PathBuf,
    /// Injected failures of its system calls; the plan restarts with each process.
    plan: Option<Plan>,
    child: Option<Child>,
    usage: ProcessUsage,
    /// CPU time of the current process in milliseconds.
    run_cpu_ms: f64,
}

impl Process {
    /// Creates a process that has not been started; its configuration and log are files in `folder`.
    pub fn new(number: u32, program: &Path, folder: &Path) -> Process {
        Process {
            number,
            program: program.to_owned(),
            config: folder.join(format!("d{number}.json")),
            log: folder.join(format!("d{number}.log")),
            plan: None,
            child: None,
            usage: ProcessUsage { name: format!("d{number}"), ..ProcessUsage::default() },
            run_cpu_ms: 0.0,
        }
    }

    /// Sets the plan by which system calls fail from the next start on.
    pub fn with_fault_plan(mut self, plan: Option<Plan>) -> Process {
        self.plan = plan;
        self
    }

    /// Writes the configuration file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be written.
    pub fn write_configuration(&self, text: &str) -> Result<(), String> {
        // Replaced atomically: the process may be reading it.
        let next = self.config.with_extension("next");
        let written = fs::write(&next, text).and_then(|()| fs::rename(&next, &self.config));
        written.map_err(|error| format!("{}: {error}", self.config.display()))
    }

    /// Starts the process.
    ///
    /// # Errors
    ///
    /// Returns an error if the log cannot be opened, the fault shim cannot be built, or the program cannot be
    /// run.
    pub fn start(&mut self) -> Result<(), String> {
        let log = File::options().create(true).append(true).open(&self.log);
        let log = log.map_err(|error| format!("{}: {error}", self.log.display()))?;
        let mut command = Command::new(&self.program);
        command.arg("serve").arg("--config").arg(&self.config);
        if let Some(plan) = &self.plan {
            let library_path =
                shim::library_path().map_err(|error| format!("cannot build the fault shim: {error}"))?;
            shim::inject(&mut command, library_path, plan);
        }
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log);
        // SAFETY: prctl is async-signal-safe, and nothing else is called between fork and exec. It has the
        // kernel kill the child when the lab ends, however the lab ends.
        unsafe {
            command.pre_exec(|| match libc::prctl(libc::PR_SET_PDEATHSIG, libc::SIGKILL) {
                0 => Ok(()),
                _ => Err(io::Error::last_os_error()),
            });
        }
        let started = command.spawn().map_err(|error| format!("{}: {error}", self.program.display()));
        self.child = Some(started?);
        self.usage.starts += 1;
        Ok(())
    }

    /// Sends a signal, if the process is running.
    pub fn signal(&self, signal: i32) {
        if let Some(child) = &self.child {
            // SAFETY: the child has not been waited for, so its process id cannot have been reused.
            unsafe { libc::kill(child.id() as i32, signal) };
        }
    }

    /// Records the peak memory and CPU time of the process so far.
    pub fn sample_usage(&mut self) {
        let Some(child) = &self.child else { return };
        let folder = PathBuf::from(format!("/proc/{}", child.id()));
        let status = fs::read_to_string(folder.join("status")).unwrap_or_default();
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:")?.trim().strip_suffix("kB"));
        if let Some(kb) = peak.and_then(|text| text.trim().parse::<f64>().ok()) {
            self.usage.peak_mb = self.usage.peak_mb.max((kb / 102.4).round() / 10.0);
        }
        // The first field of schedstat is the time on a CPU in nanoseconds.
        let schedstat = fs::read_to_string(folder.join("schedstat")).unwrap_or_default();
        let cpu_ns = schedstat.split(' ').next().and_then(|text| text.parse::<f64>().ok());
        self.run_cpu_ms = cpu_ns.map_or(self.run_cpu_ms, |ns| (ns / 1e5).round() / 10.0);
    }

    /// Returns the exit code if the process has ended by itself since the last call; the code is `None` if a
    /// signal ended it.
    pub fn take_exit_code(&mut self) -> Option<Option<i32>> {
        let status = self.child.as_mut()?.try_wait().ok()??;
        self.record_end();
        Some(status.code())
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        self.sample_usage();
        if let Some(child) = &mut self.child {
            let _ = child.kill();
            let _ = child.wait();
        }
        self.record_end();
    }

    /// Adds the ended process to the totals.
    fn record_end(&mut self) {
        self.child = None;
        self.usage.cpu_ms += std::mem::take(&mut self.run_cpu_ms);
    }

    /// Returns whether the process was started and its end has not been observed.
    pub fn is_running(&self) -> bool {
        self.child.is_some()
    }

    /// Returns the resource usage over all starts.
    pub fn usage(&self) -> ProcessUsage {
        ProcessUsage { cpu_ms: self.usage.cpu_ms + self.run_cpu_ms, ..self.usage.clone() }
    }

    /// Returns the last lines of the log, for messages on why the process ended.
    pub fn log_tail(&self) -> String {
        let text = fs::read_to_string(&self.log).unwrap_or_default();
        let lines: Vec<&str> = text.lines().collect();
        lines[lines.len().saturating_sub(3)..].join("; ")
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
