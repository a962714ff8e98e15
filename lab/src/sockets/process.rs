//! A dispatcher under trial as a process of its own: started with a configuration that the lab writes, told by
//! signals, and never left behind.
//!
//! It owns the process and its log. It must never look into what the process decides.

use std::fs::{self, File};
use std::io;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use topazsail_faults::{Plan, shim};

use crate::tally::Process as Used;

pub struct Process {
    pub number: u32,
    program: PathBuf,
    config: PathBuf,
    log: PathBuf,
    /// Its system calls fail by this, in each life anew.
    plan: Option<Plan>,
    child: Option<Child>,
    used: Used,
    /// CPU milliseconds of the present life.
    spent: f64,
}

impl Process {
    pub fn new(number: u32, program: &Path, folder: &Path) -> Process {
        Process {
            number,
            program: program.to_owned(),
            config: folder.join(format!("d{number}.json")),
            log: folder.join(format!("d{number}.log")),
            plan: None,
            child: None,
            used: Used { name: format!("d{number}"), ..Used::default() },
            spent: 0.0,
        }
    }

    /// Has its system calls fail by a plan from its next start on.
    pub fn fails_by(mut self, plan: Option<Plan>) -> Process {
        self.plan = plan;
        self
    }

    pub fn configure(&self, text: &str) -> Result<(), String> {
        // Whole or not at all: it may be read at this very moment.
        let next = self.config.with_extension("next");
        let written = fs::write(&next, text).and_then(|()| fs::rename(&next, &self.config));
        written.map_err(|error| format!("{}: {error}", self.config.display()))
    }

    pub fn start(&mut self) -> Result<(), String> {
        let log = File::options().create(true).append(true).open(&self.log);
        let log = log.map_err(|error| format!("{}: {error}", self.log.display()))?;
        let mut command = Command::new(&self.program);
        command.arg("serve").arg("--config").arg(&self.config);
        if let Some(plan) = &self.plan {
            let library = shim::library().map_err(|error| format!("the fault shim: {error}"))?;
            shim::inject(&mut command, library, plan);
        }
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log);
        // SAFETY: only an async-signal-safe call between fork and exec; it ends the child with the lab, however
        // the lab ends.
        unsafe {
            command.pre_exec(|| match libc::prctl(libc::PR_SET_PDEATHSIG, libc::SIGKILL) {
                0 => Ok(()),
                _ => Err(io::Error::last_os_error()),
            });
        }
        let started = command.spawn().map_err(|error| format!("{}: {error}", self.program.display()));
        self.child = Some(started?);
        self.used.starts += 1;
        Ok(())
    }

    pub fn signal(&self, signal: i32) {
        if let Some(child) = &self.child {
            // SAFETY: the child has not been waited for, so that its id is still its own.
            unsafe { libc::kill(child.id() as i32, signal) };
        }
    }

    /// Takes note of what the process has used so far.
    pub fn look(&mut self) {
        let Some(child) = &self.child else { return };
        let folder = PathBuf::from(format!("/proc/{}", child.id()));
        let status = fs::read_to_string(folder.join("status")).unwrap_or_default();
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:")?.trim().strip_suffix("kB"));
        if let Some(kb) = peak.and_then(|text| text.trim().parse::<f64>().ok()) {
            self.used.peak_mb = self.used.peak_mb.max((kb / 102.4).round() / 10.0);
        }
        // Nanoseconds on a processor come first.
        let spent = fs::read_to_string(folder.join("schedstat")).unwrap_or_default();
        let spent = spent.split(' ').next().and_then(|text| text.parse::<f64>().ok());
        self.spent = spent.map_or(self.spent, |ns| (ns / 1e5).round() / 10.0);
    }

    /// Whether it has ended by itself, and with which code.
    pub fn ended(&mut self) -> Option<Option<i32>> {
        let status = self.child.as_mut()?.try_wait().ok()??;
        self.gone();
        Some(status.code())
    }

    pub fn kill(&mut self) {
        self.look();
        if let Some(child) = &mut self.child {
            let _ = child.kill();
            let _ = child.wait();
        }
        self.gone();
    }

    fn gone(&mut self) {
        self.child = None;
        self.used.cpu_ms += std::mem::take(&mut self.spent);
    }

    pub fn runs(&self) -> bool {
        self.child.is_some()
    }

    pub fn used(&self) -> Used {
        Used { cpu_ms: self.used.cpu_ms + self.spent, ..self.used.clone() }
    }

    /// The last lines of its log, for a message on why it would not start.
    pub fn last_words(&self) -> String {
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
