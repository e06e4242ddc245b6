//! FaultKind earlier runs have left behind: a run that was killed cannot remove its folder, nor be sure that its processes
//! have ended.

use crate::procfs;
use crate::run_directory::{FOLDER_PREFIX, LOCK_FILE, PROCESSES_FILE};
use nix::errno::Errno;
use nix::fcntl::{Flock, FlockArg};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use std::fs::File;
use std::io;
use std::path::{Path, PathBuf};

/// FaultKind an earlier run has left.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Leftover {
    /// Its folder, which has been removed.
    pub folder: PathBuf,
    /// Its processes that still ran, and were killed.
    pub processes: Vec<LeftoverProcess>,
}

/// A process that had outlived its run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeftoverProcess {
    /// Its number.
    pub pid: i32,
    /// Its name in the run.
    pub name: String,
}

/// Kills and removes what earlier runs have left in a folder for temporary files. A run that still goes on has locked
/// its folder and is not touched, nor is a process that only has the number of one that was.
///
/// # Errors
///
/// Where a folder cannot be read or removed.
pub fn remove_leftovers(temporary: &Path) -> io::Result<Vec<Leftover>> {
    let mut leftovers = Vec::new();
    for entry in std::fs::read_dir(temporary)? {
        let folder = entry?.path();
        if !is_run_folder(&folder) {
            continue;
        }
        let Ok(file) = File::open(folder.join(LOCK_FILE)) else {
            continue;
        };
        let Ok(_lock) = Flock::lock(file, FlockArg::LockExclusiveNonblock) else {
            continue;
        };
        let processes = kill_processes(&folder);
        std::fs::remove_dir_all(&folder)?;
        leftovers.push(Leftover { folder, processes });
    }
    Ok(leftovers)
}

fn is_run_folder(folder: &Path) -> bool {
    let name = folder.file_name().and_then(|name| name.to_str());
    name.is_some_and(|name| name.starts_with(FOLDER_PREFIX))
}

/// Kills the processes of a run that still live, and returns them.
fn kill_processes(folder: &Path) -> Vec<LeftoverProcess> {
    let processes = std::fs::read_to_string(folder.join(PROCESSES_FILE)).unwrap_or_default();
    processes
        .lines()
        .filter_map(parse_process)
        .filter(|(process, start_ticks)| procfs::start_ticks(process.pid) == Some(*start_ticks))
        .map(|(process, _)| process)
        .filter(|process| kill(Pid::from_raw(process.pid), Signal::SIGKILL) != Err(Errno::ESRCH))
        .collect()
}

/// A line of the file of processes: the process, and its start in clock ticks since boot.
fn parse_process(line: &str) -> Option<(LeftoverProcess, u64)> {
    let mut fields = line.split_whitespace();
    let pid = fields.next()?.parse().ok()?;
    let start_ticks = fields.next()?.parse().ok()?;
    let name = fields.next()?.to_owned();
    Some((LeftoverProcess { pid, name }, start_ticks))
}
