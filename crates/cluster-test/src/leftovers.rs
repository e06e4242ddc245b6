//! Cleanup after earlier runs. A run that was killed cannot remove its directory, and some of its processes may still
//! be running.

use crate::procfs;
use crate::run_directory::{DIRECTORY_PREFIX, LOCK_FILE, PROCESSES_FILE};
use nix::errno::Errno;
use nix::fcntl::{Flock, FlockArg};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use std::fs::File;
use std::io;
use std::path::{Path, PathBuf};

/// Directory and processes that a killed run left behind.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Leftover {
    /// Path of the run's directory, which has been removed.
    pub directory: PathBuf,
    /// Processes of the run that were still running and have been killed.
    pub processes: Vec<LeftoverProcess>,
}

/// A process that outlived its run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeftoverProcess {
    /// Process identifier.
    pub pid: i32,
    /// Name of the process within its run, as in `balancer-003`.
    pub name: String,
}

/// Kills leftover processes and removes leftover directories of earlier runs in a directory for temporary files.
/// Active runs hold a lock on their directory and are skipped. A process that has merely reused the identifier of a
/// recorded process is not killed: its start time differs.
///
/// # Errors
///
/// If a directory cannot be read or removed.
pub fn remove_leftovers(temporary_directory: &Path) -> io::Result<Vec<Leftover>> {
    let mut leftovers = Vec::new();
    for entry in std::fs::read_dir(temporary_directory)? {
        let directory = entry?.path();
        if !is_run_directory(&directory) {
            continue;
        }
        let Ok(file) = File::open(directory.join(LOCK_FILE)) else {
            continue;
        };
        let Ok(_lock) = Flock::lock(file, FlockArg::LockExclusiveNonblock) else {
            continue;
        };
        let processes = kill_processes(&directory);
        std::fs::remove_dir_all(&directory)?;
        leftovers.push(Leftover {
            directory,
            processes,
        });
    }
    Ok(leftovers)
}

fn is_run_directory(directory: &Path) -> bool {
    let name = directory.file_name().and_then(|name| name.to_str());
    name.is_some_and(|name| name.starts_with(DIRECTORY_PREFIX))
}

/// Kills the processes of a run that are still running, and returns them.
fn kill_processes(directory: &Path) -> Vec<LeftoverProcess> {
    let processes = std::fs::read_to_string(directory.join(PROCESSES_FILE)).unwrap_or_default();
    processes
        .lines()
        .filter_map(parse_process)
        .filter(|(process, start_ticks)| procfs::start_ticks(process.pid) == Some(*start_ticks))
        .map(|(process, _)| process)
        .filter(|process| kill(Pid::from_raw(process.pid), Signal::SIGKILL) != Err(Errno::ESRCH))
        .collect()
}

/// Parses a line of the process file into the process and its start time in clock ticks since boot.
fn parse_process(line: &str) -> Option<(LeftoverProcess, u64)> {
    let mut fields = line.split_whitespace();
    let pid = fields.next()?.parse().ok()?;
    let start_ticks = fields.next()?.parse().ok()?;
    let name = fields.next()?.to_owned();
    Some((LeftoverProcess { pid, name }, start_ticks))
}
