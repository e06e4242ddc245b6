//! Preparation of a child process before it executes the program: the child arranges to be killed together with the
//! run's process and sets its resource limits.

use nix::sys::prctl;
use nix::sys::resource::{Resource, setrlimit};
use nix::sys::signal::Signal;
use nix::unistd::{Pid, getppid};
use std::io;
use std::os::unix::process::CommandExt;
use std::path::Path;
use std::process::Command;

/// Resource limits of a process (`setrlimit(2)`).
#[derive(Clone, Copy, Debug)]
pub struct ProcessLimits {
    /// Maximum number of open file descriptors (`RLIMIT_NOFILE`).
    pub max_open_files: u64,
    /// Maximum size of data memory in MiB (`RLIMIT_DATA`).
    pub max_data_mib: u64,
}

/// Replaces this process with `program`. The kernel kills the program when its parent dies (`PR_SET_PDEATHSIG`).
/// Returns only on failure.
pub fn launch(parent: i32, limits: ProcessLimits, program: &Path) -> io::Error {
    match prepare(parent, limits) {
        Ok(()) => Command::new(program).exec(),
        Err(error) => error.into(),
    }
}

fn prepare(parent: i32, limits: ProcessLimits) -> nix::Result<()> {
    prctl::set_pdeathsig(Signal::SIGKILL)?;
    if getppid() != Pid::from_raw(parent) {
        return Err(nix::Error::ESRCH); // the parent died before the death signal was set
    }
    let memory_bytes = limits.max_data_mib << 20;
    setrlimit(
        Resource::RLIMIT_NOFILE,
        limits.max_open_files,
        limits.max_open_files,
    )?;
    setrlimit(Resource::RLIMIT_DATA, memory_bytes, memory_bytes)?;
    setrlimit(Resource::RLIMIT_CORE, 0, 0)
}
