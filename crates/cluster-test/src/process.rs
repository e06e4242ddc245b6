//! A balancer's process over all its incarnations: its files, its signals, its log.

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

/// The operators' file in the folder of a process.
pub const OPERATOR_FILE: &str = "operator.toml";
/// The file in the folder of a process with the key of the membership.
pub const KEY_FILE: &str = "members.key";
/// The files of the membership, which are inputs of a process as its configuration is.
const MEMBERSHIP_FILES: [&str; 2] = [KEY_FILE, OPERATOR_FILE];

/// A process that may be started several times. It is killed when this is dropped.
pub struct Process {
    /// Its name.
    pub name: String,
    /// Its own folder.
    pub folder: PathBuf,
    child: Mutex<Option<Child>>,
}

impl Process {
    /// Makes the folder of a process that is not started yet.
    ///
    /// # Errors
    ///
    /// Where the folder cannot be made.
    pub fn new(run_directory: &RunDirectory, name: String) -> io::Result<Self> {
        let folder = run_directory.path().join(&name);
        std::fs::create_dir(&folder)?;
        Ok(Self {
            name,
            folder,
            child: Mutex::default(),
        })
    }

    /// The path of its configuration.
    pub fn config(&self) -> PathBuf {
        self.folder.join("config.json")
    }

    /// The path of its operators' file, if it has one.
    fn operator_config(&self) -> Option<PathBuf> {
        Some(self.folder.join(OPERATOR_FILE)).filter(|path| path.is_file())
    }

    /// The path of its log, which has its standard error.
    pub fn log(&self) -> PathBuf {
        self.folder.join("log")
    }

    /// Starts it, unless it runs.
    ///
    /// # Errors
    ///
    /// Where it cannot be spawned.
    pub async fn start(&self, run_directory: &RunDirectory) -> io::Result<()> {
        if self.pid().is_some() {
            return Ok(());
        }
        let (log, config) = (self.log(), self.config());
        let operator_config = self.operator_config();
        let request = SpawnRequest {
            name: &self.name,
            folder: &self.folder,
            log: &log,
            config: &config,
            operator_config: operator_config.as_deref(),
        };
        let child = run_directory.spawn(request).await?;
        *lock(&self.child) = Some(child);
        Ok(())
    }

    /// Its number, while it runs.
    pub fn pid(&self) -> Option<i32> {
        let mut child = lock(&self.child);
        let child = child.as_mut()?;
        let runs = matches!(child.try_wait(), Ok(None));
        runs.then(|| child.id() as i32)
    }

    /// Sends it a signal, if it runs.
    pub fn signal(&self, signal: Signal) {
        // Its number is its own as long as nobody has waited for it, which only this type does.
        if let Some(pid) = self.pid() {
            kill(Pid::from_raw(pid), signal).ok();
        }
    }

    /// Kills it and waits until it has ended.
    pub fn kill(&self) -> Option<ExitStatus> {
        let mut child = lock(&self.child).take()?;
        child.kill().ok();
        child.wait().ok()
    }

    /// How it ended, if it has ended by itself.
    pub fn exit_status(&self) -> Option<ExitStatus> {
        lock(&self.child)
            .as_mut()
            .and_then(|child| child.try_wait().ok().flatten())
    }

    /// The last line of its log.
    pub fn last_log_line(&self) -> String {
        let log = std::fs::read_to_string(self.log()).unwrap_or_default();
        log.lines().last().unwrap_or("it said nothing").to_owned()
    }

    /// Counts the lines of its log behind an offset in bytes by their first word, and advances the offset.
    pub fn count_log_lines(&self, offset: &mut u64) -> BTreeMap<String, u64> {
        let mut counts = BTreeMap::new();
        let Ok(mut log) = File::open(self.log()) else {
            return counts;
        };
        let mut text = String::new();
        let read = log
            .seek(SeekFrom::Start(*offset))
            .and_then(|_| log.read_to_string(&mut text));
        // An incomplete last line is read with the next call.
        let complete = read
            .ok()
            .and_then(|_| text.rfind('\n'))
            .map_or(0, |end| end + 1);
        *offset += complete as u64;
        for line in text[..complete].lines() {
            let line = line.strip_prefix("woadstall: ").unwrap_or(line);
            let topic = line.split(' ').next().unwrap_or_default();
            *counts.entry(topic.to_owned()).or_default() += 1;
        }
        counts
    }

    /// How long it was ready to run and had no core, in nanoseconds, where the system tells.
    pub fn run_queue_wait_ns(&self) -> Option<u64> {
        procfs::run_queue_wait_ns(self.pid()?)
    }

    /// How long a thread of it has run, in nanoseconds, by the thread's name.
    pub fn thread_run_ns(&self, thread: &str) -> Option<u64> {
        procfs::thread_run_ns(self.pid()?, thread)
    }

    /// The most memory that it has had resident, in kB.
    pub fn peak_memory_kb(&self) -> Option<u64> {
        procfs::peak_memory_kb(self.pid()?)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
