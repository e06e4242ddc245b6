//! The directory of a run, which also spawns the processes of the run. All processes end when the directory is dropped.
//! The directory records the processes, so that a later run can kill the leftover processes of a killed run.

use crate::launch::ProcessLimits;
use crate::procfs;
use nix::fcntl::{Flock, FlockArg};
use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Mutex, mpsc};
use std::thread::JoinHandle;
use tempfile::TempDir;
use tokio::sync::oneshot;
use woadstall_load_test::lock;

/// Prefix of the names of run directories.
pub const DIRECTORY_PREFIX: &str = "woadstall-rig-";
/// Name of the file that a run keeps locked until it ends.
pub const LOCK_FILE: &str = "lock";
/// Name of the process file. Each line has the process identifier, the start time in clock ticks since boot, and the
/// name of a process.
pub const PROCESSES_FILE: &str = "processes";

/// The directory of a run. Dropping it ends all processes that were spawned from it.
pub struct RunDirectory {
    // Fields are dropped in order: the spawner's thread has to end before the lock is released.
    spawner: Spawner,
    /// Held until the end of the run. A later run that can acquire the lock knows that this run has ended.
    _lock: Flock<File>,
    processes: Mutex<File>,
    launcher: PathBuf,
    program: PathBuf,
    limits: ProcessLimits,
    path: PathBuf,
    directory: Mutex<TempDir>,
}

/// Parameters for spawning a process.
pub struct SpawnRequest<'a> {
    /// Name of the process in the process file.
    pub name: &'a str,
    /// Working directory, also used for temporary files.
    pub directory: &'a Path,
    /// Path of the file that standard error is appended to.
    pub log: &'a Path,
    /// Path of the configuration file.
    pub config: &'a Path,
    /// Path of the operators' file, if the process has one.
    pub operator_config: Option<&'a Path>,
}

impl RunDirectory {
    /// Creates and locks the directory of a new run. `launcher` is this crate's binary, which sets `limits` and then
    /// executes `program`.
    ///
    /// # Errors
    ///
    /// If the directory, its files or the spawner thread cannot be created.
    pub fn new(launcher: &Path, program: &Path, limits: ProcessLimits) -> io::Result<Self> {
        let directory = tempfile::Builder::new()
            .prefix(DIRECTORY_PREFIX)
            .tempdir()?;
        let file = File::create(directory.path().join(LOCK_FILE))?;
        let lock =
            Flock::lock(file, FlockArg::LockExclusiveNonblock).map_err(|(_, error)| error)?;
        let processes = Mutex::new(File::create(directory.path().join(PROCESSES_FILE))?);
        Ok(Self {
            spawner: Spawner::start()?,
            _lock: lock,
            processes,
            launcher: launcher.to_owned(),
            program: program.to_owned(),
            limits,
            path: directory.path().to_owned(),
            directory: Mutex::new(directory),
        })
    }

    /// Returns the path of the directory.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Keeps the directory with its logs after the end of the run.
    pub fn preserve(&self) {
        lock(&self.directory).disable_cleanup(true);
    }

    /// Spawns a process and records it in the process file.
    ///
    /// # Errors
    ///
    /// If the log cannot be opened, the process cannot be spawned, or the record cannot be written.
    pub async fn spawn(&self, request: SpawnRequest<'_>) -> io::Result<Child> {
        let log = OpenOptions::new()
            .create(true)
            .append(true)
            .open(request.log)?;
        let mut command = Command::new(&self.launcher);
        command
            .arg("launch")
            .args(["--parent", &std::process::id().to_string()])
            .args(["--sockets", &self.limits.max_open_files.to_string()])
            .args(["--memory-mb", &self.limits.max_data_mib.to_string()])
            .arg(&self.program)
            .env_clear()
            .env("LB_CONFIG", request.config)
            .env("TMPDIR", request.directory)
            .envs(request.operator_config.map(|path| ("LB_OPERATOR", path)))
            .current_dir(request.directory)
            // In its own process group, the child does not receive a keyboard interrupt before this process handles it.
            .process_group(0)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log);
        let child = self.spawner.spawn(command).await?;
        let start_ticks = procfs::start_ticks(child.id() as i32).unwrap_or(0);
        writeln!(
            lock(&self.processes),
            "{} {start_ticks} {}",
            child.id(),
            request.name
        )?;
        Ok(child)
    }
}

type SpawnCommand = (Command, oneshot::Sender<io::Result<Child>>);

/// A thread that spawns processes. The kernel sends a child's parent-death signal when the spawning thread ends, not
/// when the spawning process ends. Therefore one thread, which lives until the end of the run, spawns all processes.
struct Spawner {
    commands: Option<mpsc::Sender<SpawnCommand>>,
    thread: Option<JoinHandle<()>>,
}

impl Spawner {
    fn start() -> io::Result<Self> {
        let (commands, received) = mpsc::channel::<SpawnCommand>();
        let thread = std::thread::Builder::new()
            .name("spawner".into())
            .spawn(move || {
                for (mut command, reply) in received {
                    reply.send(command.spawn()).ok();
                }
            })?;
        Ok(Self {
            commands: Some(commands),
            thread: Some(thread),
        })
    }

    async fn spawn(&self, command: Command) -> io::Result<Child> {
        let thread_ended = || io::Error::from(io::ErrorKind::BrokenPipe);
        let (reply, child) = oneshot::channel();
        self.commands
            .as_ref()
            .ok_or_else(thread_ended)?
            .send((command, reply))
            .map_err(|_| thread_ended())?;
        child.await.map_err(|_| thread_ended())?
    }
}

impl Drop for Spawner {
    fn drop(&mut self) {
        drop(self.commands.take());
        self.thread.take().map(JoinHandle::join);
    }
}
