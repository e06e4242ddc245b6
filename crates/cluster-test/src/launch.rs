//! What a child does before it becomes the program: it ties its life to the run's process, and takes on its limits.

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
    /// Descriptors that it may have open (`RLIMIT_NOFILE`).
    pub max_open_files: u64,
    /// Memory that it may have for data, in MiB (`RLIMIT_DATA`).
    pub max_data_mib: u64,
}

/// Becomes the program, which is killed when its parent dies (`PR_SET_PDEATHSIG`). Returns only on failure.
pub fn launch(parent: i32, limits: ProcessLimits, program: &Path) -> io::Error {
    match prepare(parent, limits) {
        Ok(()) => Command::new(program).exec(),
        Err(error) => error.into(),
    }
}

fn prepare(parent: i32, limits: ProcessLimits) -> nix::Result<()> {
    prctl::set_pdeathsig(Signal::SIGKILL)?;
    if getppid() != Pid::from_raw(parent) {
        return Err(nix::Error::ESRCH); // it died before the signal was set
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
