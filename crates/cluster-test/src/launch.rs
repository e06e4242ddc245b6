//! What a child does before it becomes the program: it ties its life to the rig's, and takes on its limits.

use nix::sys::prctl;
use nix::sys::resource::{Resource, setrlimit};
use nix::sys::signal::Signal;
use nix::unistd::{Pid, getppid};
use std::io;
use std::os::unix::process::CommandExt;
use std::path::Path;
use std::process::Command;

/// What a child is started with.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Descriptors that it may have open.
    pub sockets: u64,
    /// Memory that it may have for data, in MB.
    pub memory_mb: u64,
}

/// Becomes the program, which dies with its parent. Returns only where that cannot be.
pub fn launch(parent: i32, limits: Limits, program: &Path) -> io::Error {
    let ready = || -> nix::Result<()> {
        prctl::set_pdeathsig(Signal::SIGKILL)?;
        if getppid() != Pid::from_raw(parent) {
            return Err(nix::Error::ESRCH); // it died before its death could be told
        }
        setrlimit(Resource::RLIMIT_NOFILE, limits.sockets, limits.sockets)?;
        setrlimit(
            Resource::RLIMIT_DATA,
            limits.memory_mb << 20,
            limits.memory_mb << 20,
        )?;
        setrlimit(Resource::RLIMIT_CORE, 0, 0)
    };
    match ready() {
        Ok(()) => Command::new(program).exec(),
        Err(error) => error.into(),
    }
}
