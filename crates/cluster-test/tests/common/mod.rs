//! The rig as its users run it, on a small fleet that tests change to their needs.

#![allow(dead_code)] // each test program uses some of it

use serde_json::Value;
use std::path::{Path, PathBuf};
use std::process::{Command, Output, Stdio};
use std::sync::{Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::{Duration, Instant};

/// Times are long, so that a busy machine does not look like a slow fleet.
pub const SMALL: &str = r#"
name = "small"
time = "4 s"
zones = ["a", "b"]

[[class]]
name = "look"
effect = "safe"
aim = "1 s"
deadline = "2 s"
service = { constant = "20 ms" }

[[class]]
name = "post"
effect = "unsafe"
aim = "1 s"
deadline = "2 s"
service = { constant = "20 ms" }

[[tier]]
name = "only"
balancers = 4
nodos = 6
workers = 2
ramp = "8 s"

[[callers]]
name = "all"
classes = { look = 1.0, post = 1.0 }
load = { constant = 60.0 }

[padron]
delay = "10 ms"
jitter = "20 ms"
"#;

/// One run at a time: two of them share the cores, and the slower is none.
pub fn alone() -> MutexGuard<'static, ()> {
    static RUNS: Mutex<()> = Mutex::new(());
    RUNS.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The shipped program. A test of the whole workspace has built it beside the rig; a test of the rig alone has not.
pub fn program() -> &'static Path {
    static PROGRAM: OnceLock<PathBuf> = OnceLock::new();
    PROGRAM.get_or_init(|| {
        let program =
            Path::new(env!("CARGO_BIN_EXE_woadstall-cluster-test")).with_file_name("woadstall");
        if !program.is_file() {
            let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
            let mut build = Command::new(env!("CARGO"));
            let built = build
                .current_dir(root)
                .args(["build", "--locked", "--bin", "woadstall"])
                .status();
            assert!(built.unwrap().success());
        }
        program
    })
}

/// A folder with a scenario of so many seconds, in which temporary files of the run lie too.
pub fn folder(seconds: u32, more: &str) -> tempfile::TempDir {
    let small = SMALL.replace("time = \"4 s\"", &format!("time = \"{seconds} s\""));
    folder_of(&(small + more))
}

/// A folder with this scenario.
pub fn folder_of(scenario: &str) -> tempfile::TempDir {
    let folder = tempfile::tempdir().unwrap();
    std::fs::write(folder.path().join("scenario.toml"), scenario).unwrap();
    folder
}

pub fn rig(folder: &Path, arguments: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_woadstall-cluster-test"));
    command
        .current_dir(folder)
        .env("TMPDIR", folder)
        .env_remove("WOADSTALL_LOG")
        .args(arguments);
    command
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped());
    command
}

pub fn run(folder: &Path, more: &[&str]) -> Command {
    let program = program().to_str().unwrap();
    rig(
        folder,
        &[
            &["run", "scenario.toml", "--json", "--program", program],
            more,
        ]
        .concat(),
    )
}

/// What a run printed. Its folder is gone, unless it kept its logs since something was broken.
pub fn told(output: &Output) -> Value {
    let said = String::from_utf8_lossy(&output.stderr);
    let told: Value =
        serde_json::from_slice(&output.stdout).unwrap_or_else(|error| panic!("{error}: {said}"));
    let code = output.status.code();
    // A machine that is too slow gives no verdict; what it saw is there all the same.
    let wanted = if told["kept"] == true { 0 } else { 1 };
    assert!(
        code == Some(wanted) || code == Some(4) && told["too-slow"].is_string(),
        "{code:?}: {said}"
    );
    told
}

pub fn play(seconds: u32, more: &str, arguments: &[&str]) -> Value {
    play_folder(&folder(seconds, more), arguments)
}

/// Plays the scenario in a folder.
pub fn play_folder(folder: &tempfile::TempDir, arguments: &[&str]) -> Value {
    let told = told(&run(folder.path(), arguments).output().unwrap());
    if told["kept"] == true {
        assert_eq!(runs(folder.path()), Vec::<PathBuf>::new());
    }
    told
}

/// Folders of runs that are there.
pub fn runs(folder: &Path) -> Vec<PathBuf> {
    let all = std::fs::read_dir(folder)
        .unwrap()
        .map(|entry| entry.unwrap().path());
    all.filter(|path| {
        path.file_name()
            .unwrap()
            .to_str()
            .unwrap()
            .starts_with("woadstall-rig-")
    })
    .collect()
}

/// The processes that a run has started, by its ledger.
pub fn processes(run: &Path) -> Vec<i32> {
    let ledger = std::fs::read_to_string(run.join("processes")).unwrap_or_default();
    ledger
        .lines()
        .filter_map(|line| line.split(' ').next()?.parse().ok())
        .collect()
}

pub fn lives(pid: i32) -> bool {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    // What nobody has waited for yet is dead all the same.
    stat.rsplit_once(") ")
        .is_some_and(|(_, rest)| !rest.starts_with('Z'))
}

pub fn until(what: &str, mut there: impl FnMut() -> bool) {
    let began = Instant::now();
    while !there() {
        assert!(began.elapsed() < Duration::from_secs(20), "{what}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

pub fn broken(told: &Value, rule: &str) -> u64 {
    told["breaches"][rule]
        .as_u64()
        .unwrap_or_else(|| panic!("{}", told["breaches"]))
}

pub fn all_kept(told: &Value) {
    assert_eq!(
        told["kept"], true,
        "{} {} {}",
        told["first-breaches"], told["bounds"], told["processes"]
    );
}
