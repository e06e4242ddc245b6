//! The folder of a run, and how its processes are spawned: all of them end with it, and a later run finds in the
//! folder what a killed one has left.

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

/// How the names of the folders begin.
pub const FOLDER_PREFIX: &str = "woadstall-rig-";
/// The file that a run has locked as long as it lives.
pub const LOCK_FILE: &str = "lock";
/// One line a process: its number, its start in clock ticks since boot, its name.
pub const PROCESSES_FILE: &str = "processes";

/// The folder of a run. All processes that were spawned from it end when it is dropped.
pub struct RunDirectory {
    // Dropped first: its thread has to end before the lock is released.
    spawner: Spawner,
    /// Taken over by nobody but a later run that finds it free.
    _lock: Flock<File>,
    processes: Mutex<File>,
    launcher: PathBuf,
    program: PathBuf,
    limits: ProcessLimits,
    path: PathBuf,
    folder: Mutex<TempDir>,
}

/// What one process is spawned with.
pub struct SpawnRequest<'a> {
    /// Its name.
    pub name: &'a str,
    /// Its working folder, for temporary files as well.
    pub folder: &'a Path,
    /// Where its standard error is appended.
    pub log: &'a Path,
    /// Its configuration.
    pub config: &'a Path,
    /// Its operators' file, if it has one.
    pub operator_config: Option<&'a Path>,
}

impl RunDirectory {
    /// Makes and locks the folder of a new run. `launcher` is this crate's own program, which becomes `program`.
    ///
    /// # Errors
    ///
    /// Where the folder, its files or the thread cannot be made.
    pub fn new(launcher: &Path, program: &Path, limits: ProcessLimits) -> io::Result<Self> {
        let folder = tempfile::Builder::new().prefix(FOLDER_PREFIX).tempdir()?;
        let file = File::create(folder.path().join(LOCK_FILE))?;
        let lock =
            Flock::lock(file, FlockArg::LockExclusiveNonblock).map_err(|(_, error)| error)?;
        let processes = Mutex::new(File::create(folder.path().join(PROCESSES_FILE))?);
        Ok(Self {
            spawner: Spawner::start()?,
            _lock: lock,
            processes,
            launcher: launcher.to_owned(),
            program: program.to_owned(),
            limits,
            path: folder.path().to_owned(),
            folder: Mutex::new(folder),
        })
    }

    /// Its path.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Does not remove the folder when the run is over, so that its logs can be read.
    pub fn preserve(&self) {
        lock(&self.folder).disable_cleanup(true);
    }

    /// Spawns a process, and notes it for later runs.
    ///
    /// # Errors
    ///
    /// Where the log cannot be opened, the process not be spawned, or the note not be written.
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
            .env("TMPDIR", request.folder)
            .envs(request.operator_config.map(|path| ("LB_OPERATOR", path)))
            .current_dir(request.folder)
            // An interrupt from the keyboard must not reach the processes before this one.
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

type SpawnOrder = (Command, oneshot::Sender<io::Result<Child>>);

/// A thread that spawns processes. The death signal of a child comes with the end of the thread that spawned it, not of
/// its process, so one thread spawns all of them and lives as long as the run.
struct Spawner {
    orders: Option<mpsc::Sender<SpawnOrder>>,
    thread: Option<JoinHandle<()>>,
}

impl Spawner {
    fn start() -> io::Result<Self> {
        let (orders, received) = mpsc::channel::<SpawnOrder>();
        let thread = std::thread::Builder::new()
            .name("spawner".into())
            .spawn(move || {
                for (mut command, reply) in received {
                    reply.send(command.spawn()).ok();
                }
            })?;
        Ok(Self {
            orders: Some(orders),
            thread: Some(thread),
        })
    }

    async fn spawn(&self, command: Command) -> io::Result<Child> {
        let thread_ended = || io::Error::from(io::ErrorKind::BrokenPipe);
        let (reply, child) = oneshot::channel();
        self.orders
            .as_ref()
            .ok_or_else(thread_ended)?
            .send((command, reply))
            .map_err(|_| thread_ended())?;
        child.await.map_err(|_| thread_ended())?
    }
}

impl Drop for Spawner {
    fn drop(&mut self) {
        drop(self.orders.take());
        self.thread.take().map(JoinHandle::join);
    }
}
