//! Who was started, so that all of it is ended: by whoever started it, by its death, or by the next run.

use crate::launch::Limits;
use crate::members::{Mates, OPERATOR_FILE};
use nix::errno::Errno;
use nix::fcntl::{Flock, FlockArg};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use std::collections::BTreeMap;
use std::fs::{File, OpenOptions};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Mutex, mpsc};
use std::thread::JoinHandle;
use tempfile::TempDir;
use tokio::sync::oneshot;
use woadstall_emulator::StoredFiles;
use woadstall_load_test::lock;

/// How the folders of runs begin.
const FOLDER: &str = "woadstall-rig-";
const LOCK: &str = "lock";
const LEDGER: &str = "processes";

type Order = (Command, oneshot::Sender<io::Result<Child>>);

/// The folder of a run, and the thread that starts its processes. All that was started ends with it.
pub struct Keeper {
    /// Holds the lock as long as the run lives; taken over by nobody but a run that finds it free.
    _lock: Flock<File>,
    ledger: Mutex<File>,
    launcher: PathBuf,
    program: PathBuf,
    limits: Limits,
    orders: Option<mpsc::Sender<Order>>,
    thread: Option<JoinHandle<()>>,
    path: PathBuf,
    folder: Mutex<TempDir>,
}

impl Keeper {
    /// A new run. `launcher` is the rig's own program, `program` the one that is started many times.
    pub fn new(launcher: &Path, program: &Path, limits: Limits) -> io::Result<Self> {
        let folder = tempfile::Builder::new().prefix(FOLDER).tempdir()?;
        let file = File::create(folder.path().join(LOCK))?;
        let held =
            Flock::lock(file, FlockArg::LockExclusiveNonblock).map_err(|(_, error)| error)?;
        let ledger = Mutex::new(File::create(folder.path().join(LEDGER))?);
        // A child is told of the death of the thread that started it, so one thread starts them all and waits.
        let (orders, taken) = mpsc::channel::<Order>();
        let thread = std::thread::Builder::new()
            .name("keeper".into())
            .spawn(move || {
                for (mut command, tell) in taken {
                    tell.send(command.spawn()).ok();
                }
            })?;
        let (launcher, program) = (launcher.to_owned(), program.to_owned());
        let (orders, thread) = (Some(orders), Some(thread));
        let (path, folder) = (folder.path().to_owned(), Mutex::new(folder));
        Ok(Self {
            _lock: held,
            ledger,
            launcher,
            program,
            limits,
            orders,
            thread,
            path,
            folder,
        })
    }

    /// The folder of the run.
    pub fn folder(&self) -> &Path {
        &self.path
    }

    /// Keeps the folder when the run is over: somebody wants to read its logs.
    pub fn keep_folder(&self) {
        lock(&self.folder).disable_cleanup(true);
    }

    async fn start(&self, process: &Process) -> io::Result<Child> {
        let log = OpenOptions::new()
            .create(true)
            .append(true)
            .open(process.log())?;
        let mut command = Command::new(&self.launcher);
        let limits = [
            self.limits.sockets.to_string(),
            self.limits.memory_mb.to_string(),
        ];
        command
            .args([
                "launch",
                "--parent",
                &std::process::id().to_string(),
                "--sockets",
                &limits[0],
            ])
            .args(["--memory-mb", &limits[1]])
            .arg(&self.program)
            .env_clear()
            .env("LB_CONFIG", process.config())
            .env("TMPDIR", &process.folder)
            .envs(process.operator().map(|path| ("LB_OPERATOR", path)))
            .current_dir(&process.folder)
            // What ends this process by the keyboard must not end them first.
            .process_group(0)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log);
        let (tell, told) = oneshot::channel();
        let gone = || io::Error::from(io::ErrorKind::BrokenPipe);
        self.orders
            .as_ref()
            .ok_or_else(gone)?
            .send((command, tell))
            .map_err(|_| gone())?;
        let child = told.await.map_err(|_| gone())??;
        let started = started(child.id() as i32).unwrap_or(0);
        writeln!(
            lock(&self.ledger),
            "{} {started} {}",
            child.id(),
            process.name
        )?;
        Ok(child)
    }
}

impl Drop for Keeper {
    fn drop(&mut self) {
        drop(self.orders.take());
        self.thread.take().map(JoinHandle::join);
    }
}

/// A balancer's process, over all its lives. It is killed when this is dropped.
pub struct Process {
    /// Its name.
    pub name: String,
    /// A folder of its own.
    pub folder: PathBuf,
    child: Mutex<Option<Child>>,
}

impl Process {
    /// One that was not started yet.
    pub fn new(keeper: &Keeper, name: String) -> io::Result<Self> {
        let folder = keeper.folder().join(&name);
        std::fs::create_dir(&folder)?;
        Ok(Self {
            name,
            folder,
            child: Mutex::default(),
        })
    }

    /// Its configuration.
    pub fn config(&self) -> PathBuf {
        self.folder.join("config.json")
    }

    /// Its operators' file, if it has one.
    fn operator(&self) -> Option<PathBuf> {
        Some(self.folder.join(OPERATOR_FILE)).filter(|path| path.is_file())
    }

    /// What it says on standard error.
    pub fn log(&self) -> PathBuf {
        self.folder.join("log")
    }

    /// What it has written itself: all in its folder but what it was told and what it said.
    fn files(&self) -> io::Result<Vec<PathBuf>> {
        let all = std::fs::read_dir(&self.folder)?.map(|entry| Ok(entry?.path()));
        let all = all.collect::<io::Result<Vec<PathBuf>>>()?;
        let told = Mates::FILES.map(|name| self.folder.join(name));
        let own =
            |path: &PathBuf| *path != self.config() && *path != self.log() && !told.contains(path);
        Ok(all.into_iter().filter(own).collect())
    }

    /// What the next process of it finds of what this one has written. A socket is a file like others here: what
    /// it is replaced by has its name.
    pub fn spoil_files(&self, how: StoredFiles, stranger: &Self) -> io::Result<()> {
        let mut others = stranger.files()?.into_iter();
        for path in self.files()? {
            let read = std::fs::read(&path).unwrap_or_default();
            let replace = |with: &[u8]| {
                std::fs::remove_file(&path).and_then(|()| std::fs::write(&path, with))
            };
            match how {
                StoredFiles::Kept => {}
                _ if path.is_dir() => std::fs::remove_dir_all(&path)?,
                StoredFiles::Lost => std::fs::remove_file(&path)?,
                StoredFiles::Torn => replace(&read[..read.len() / 2])?,
                StoredFiles::Empty => replace(b"")?,
                StoredFiles::Stranger => match others.next() {
                    Some(other) => {
                        std::fs::remove_file(&path)?;
                        std::os::unix::fs::symlink(other, &path)?;
                    }
                    None => replace(b"")?,
                },
            }
        }
        Ok(())
    }

    /// Starts it, unless it runs.
    pub async fn start(&self, keeper: &Keeper) -> io::Result<()> {
        if self.pid().is_some() {
            return Ok(());
        }
        let child = keeper.start(self).await?;
        *lock(&self.child) = Some(child);
        Ok(())
    }

    /// Its number, while it runs.
    pub fn pid(&self) -> Option<i32> {
        let mut child = lock(&self.child);
        let running = child
            .as_mut()
            .is_some_and(|child| matches!(child.try_wait(), Ok(None)));
        child
            .as_ref()
            .filter(|_| running)
            .map(|child| child.id() as i32)
    }

    /// Sends it a signal, if it runs.
    pub fn signal(&self, signal: Signal) {
        // Its number is its own as long as nobody has waited for it, which only this does.
        if let Some(pid) = self.pid() {
            kill(Pid::from_raw(pid), signal).ok();
        }
    }

    /// Kills it and waits until it is gone.
    pub fn kill(&self) -> Option<ExitStatus> {
        let mut child = lock(&self.child).take()?;
        child.kill().ok();
        child.wait().ok()
    }

    /// How it ended, if it has ended by itself.
    pub fn ended(&self) -> Option<ExitStatus> {
        lock(&self.child)
            .as_mut()
            .and_then(|child| child.try_wait().ok().flatten())
    }

    /// What it has said since a place in its log, by the first word of each line; moves the place on.
    pub fn said_since(&self, place: &mut u64) -> BTreeMap<String, u64> {
        let mut topics = BTreeMap::new();
        let Ok(mut log) = File::open(self.log()) else {
            return topics;
        };
        let mut text = String::new();
        let read = log
            .seek(SeekFrom::Start(*place))
            .and_then(|_| log.read_to_string(&mut text));
        // A line that is not whole yet is read with the next look.
        let whole = read
            .ok()
            .and_then(|_| text.rfind('\n'))
            .map_or(0, |end| end + 1);
        *place += whole as u64;
        for line in text[..whole].lines() {
            let line = line.strip_prefix("woadstall: ").unwrap_or(line);
            *topics
                .entry(line.split(' ').next().unwrap_or_default().to_owned())
                .or_default() += 1;
        }
        topics
    }

    /// How long it was ready to run and had no core, where the system tells.
    pub fn waited_ns(&self) -> Option<u64> {
        let stat = std::fs::read_to_string(format!("/proc/{}/schedstat", self.pid()?)).ok()?;
        stat.split_whitespace().nth(1)?.parse().ok()
    }

    /// How long a thread of it has run, by its name.
    pub fn thread_ns(&self, name: &str) -> Option<u64> {
        let tasks = std::fs::read_dir(format!("/proc/{}/task", self.pid()?)).ok()?;
        let mut tasks = tasks.filter_map(|task| Some(task.ok()?.path()));
        let task = tasks.find(|task| {
            std::fs::read_to_string(task.join("comm")).is_ok_and(|comm| comm.trim_end() == name)
        })?;
        let stat = std::fs::read_to_string(task.join("schedstat")).ok()?;
        stat.split_whitespace().next()?.parse().ok()
    }

    /// The most memory that it has had resident, in kB.
    pub fn peak_kb(&self) -> Option<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.pid()?)).ok()?;
        let line = status
            .lines()
            .find_map(|line| line.strip_prefix("VmHWM:"))?;
        line.split_whitespace().next()?.parse().ok()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// When a process started, in the machine's ticks since its boot: tells it from a later one of the same number.
fn started(pid: i32) -> Option<u64> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    // Its name stands in parentheses and may hold anything.
    let (_, rest) = stat.rsplit_once(')')?;
    rest.split_whitespace().nth(19)?.parse().ok()
}

/// What an earlier run has left.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Left {
    /// Its folder, which is gone now.
    pub folder: PathBuf,
    /// The processes of it that still ran, by number and name, and were ended.
    pub processes: Vec<(i32, String)>,
}

/// Ends what earlier runs have left behind in a folder for temporary files, and tells of it. A run that still
/// goes on holds its lock and is not touched, nor is a process that only has the number of one that was.
pub fn leftovers(temporary: &Path) -> io::Result<Vec<Left>> {
    let mut all = Vec::new();
    for entry in std::fs::read_dir(temporary)? {
        let folder = entry?.path();
        let name = folder
            .file_name()
            .and_then(|name| name.to_str())
            .unwrap_or_default();
        if !name.starts_with(FOLDER) {
            continue;
        }
        let Ok(file) = File::open(folder.join(LOCK)) else {
            continue;
        };
        let Ok(_held) = Flock::lock(file, FlockArg::LockExclusiveNonblock) else {
            continue;
        };
        let ledger = std::fs::read_to_string(folder.join(LEDGER)).unwrap_or_default();
        let mut processes = Vec::new();
        for line in ledger.lines() {
            let mut words = line.split_whitespace();
            let (Some(pid), Some(at), Some(name)) = (words.next(), words.next(), words.next())
            else {
                continue;
            };
            let (Ok(pid), Ok(at)) = (pid.parse::<i32>(), at.parse::<u64>()) else {
                continue;
            };
            if started(pid) == Some(at)
                && kill(Pid::from_raw(pid), Signal::SIGKILL) != Err(Errno::ESRCH)
            {
                processes.push((pid, name.to_owned()));
            }
        }
        std::fs::remove_dir_all(&folder)?;
        all.push(Left { folder, processes });
    }
    Ok(all)
}
