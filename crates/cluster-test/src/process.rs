//! A balancer's process over all its incarnations: files, signals and log.

mod own_files;

use crate::procfs;
use crate::run_directory::{RunDirectory, SpawnRequest};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use std::collections::BTreeMap;
use std::fs::File;
use std::io::{self, Read, Seek, SeekFrom};
use std::path::PathBuf;
use std::process::{Child, ExitStatus};
use std::sync::Mutex;
use woadstall_load_test::lock;

/// Name of the operators' configuration file in the directory of a process.
pub const OPERATOR_FILE: &str = "operator.toml";
/// Name of the file with the membership key in the directory of a process.
pub const KEY_FILE: &str = "members.key";
/// Membership files, which are inputs of the process like its configuration.
const MEMBERSHIP_FILES: [&str; 2] = [KEY_FILE, OPERATOR_FILE];

/// A process that may be started several times. Dropping the value kills the process.
pub struct Process {
    /// Name of the process, as in `balancer-003`; unique within the run.
    pub name: String,
    /// Directory of the process, below the run directory.
    pub directory: PathBuf,
    child: Mutex<Option<Child>>,
}

impl Process {
    /// Creates the directory of a process. The process is not started yet.
    ///
    /// # Errors
    ///
    /// If the directory cannot be created.
    pub fn new(run_directory: &RunDirectory, name: String) -> io::Result<Self> {
        let directory = run_directory.path().join(&name);
        std::fs::create_dir(&directory)?;
        Ok(Self {
            name,
            directory,
            child: Mutex::default(),
        })
    }

    /// Returns the path of the configuration file.
    pub fn config(&self) -> PathBuf {
        self.directory.join("config.json")
    }

    /// Returns the path of the operators' file, if the file exists.
    fn operator_config(&self) -> Option<PathBuf> {
        Some(self.directory.join(OPERATOR_FILE)).filter(|path| path.is_file())
    }

    /// Returns the path of the log file, which receives the standard error of the process.
    pub fn log(&self) -> PathBuf {
        self.directory.join("log")
    }

    /// Starts the process, unless it is running.
    ///
    /// # Errors
    ///
    /// If the process cannot be spawned.
    pub async fn start(&self, run_directory: &RunDirectory) -> io::Result<()> {
        if self.pid().is_some() {
            return Ok(());
        }
        let (log, config) = (self.log(), self.config());
        let operator_config = self.operator_config();
        let request = SpawnRequest {
            name: &self.name,
            directory: &self.directory,
            log: &log,
            config: &config,
            operator_config: operator_config.as_deref(),
        };
        let child = run_directory.spawn(request).await?;
        *lock(&self.child) = Some(child);
        Ok(())
    }

    /// Returns the process identifier while the process runs.
    pub fn pid(&self) -> Option<i32> {
        let mut child = lock(&self.child);
        let child = child.as_mut()?;
        let runs = matches!(child.try_wait(), Ok(None));
        runs.then(|| child.id() as i32)
    }

    /// Sends a signal to the process, if it is running.
    pub fn signal(&self, signal: Signal) {
        // The kernel cannot reuse the identifier before the process has been waited for, which only this type does.
        if let Some(pid) = self.pid() {
            kill(Pid::from_raw(pid), signal).ok();
        }
    }

    /// Kills the process and waits for its exit.
    pub fn kill(&self) -> Option<ExitStatus> {
        let mut child = lock(&self.child).take()?;
        child.kill().ok();
        child.wait().ok()
    }

    /// Returns the exit status if the process has exited without being killed by [`Process::kill`].
    pub fn exit_status(&self) -> Option<ExitStatus> {
        lock(&self.child)
            .as_mut()
            .and_then(|child| child.try_wait().ok().flatten())
    }

    /// Returns the last line of the log, or a note that the log is empty.
    pub fn last_log_line(&self) -> String {
        let log = std::fs::read_to_string(self.log()).unwrap_or_default();
        log.lines().last().unwrap_or("its log is empty").to_owned()
    }

    /// Counts the log lines after a byte offset by their first word, and advances the offset.
    pub fn count_log_lines(&self, offset: &mut u64) -> BTreeMap<String, u64> {
        let mut counts = BTreeMap::new();
        let Ok(mut log) = File::open(self.log()) else {
            return counts;
        };
        let mut text = String::new();
        let read = log
            .seek(SeekFrom::Start(*offset))
            .and_then(|_| log.read_to_string(&mut text));
        // An incomplete last line is left for the next call.
        let complete_bytes = read
            .ok()
            .and_then(|_| text.rfind('\n'))
            .map_or(0, |end| end + 1);
        *offset += complete_bytes as u64;
        for line in text[..complete_bytes].lines() {
            let line = line.strip_prefix("woadstall: ").unwrap_or(line);
            let topic = line.split(' ').next().unwrap_or_default();
            *counts.entry(topic.to_owned()).or_default() += 1;
        }
        counts
    }

    /// Returns the time that the process was ready to run but waited for a core, in nanoseconds. Returns `None` if the
    /// process is not running or the system does not report the time.
    pub fn run_queue_wait_ns(&self) -> Option<u64> {
        procfs::run_queue_wait_ns(self.pid()?)
    }

    /// Returns the CPU time of the thread of this name, in nanoseconds.
    pub fn thread_run_ns(&self, thread: &str) -> Option<u64> {
        procfs::thread_run_ns(self.pid()?, thread)
    }

    /// Returns the peak resident memory, in kB.
    pub fn peak_memory_kb(&self) -> Option<u64> {
        procfs::peak_memory_kb(self.pid()?)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
