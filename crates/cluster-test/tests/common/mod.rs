//! Runs the command as its users do, on a small fleet that tests change to their needs.

#![allow(dead_code, reason = "each test program uses some of it")]

use serde_json::Value;
use std::path::{Path, PathBuf};
use std::process::{Command, Output, Stdio};
use std::sync::{Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::{Duration, Instant};

/// Times are long, so that a busy machine does not look like a slow fleet.
pub const SMALL_SCENARIO: &str = r#"
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
pub fn run_exclusively() -> MutexGuard<'static, ()> {
    static RUNS: Mutex<()> = Mutex::new(());
    RUNS.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The shipped program. A test of the whole workspace has built it beside the command; a test of this crate alone has
/// not.
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
pub fn scenario_folder(seconds: u32, more: &str) -> tempfile::TempDir {
    let small = SMALL_SCENARIO.replace("time = \"4 s\"", &format!("time = \"{seconds} s\""));
    folder_with(&(small + more))
}

/// A folder with this scenario.
pub fn folder_with(scenario: &str) -> tempfile::TempDir {
    let folder = tempfile::tempdir().unwrap();
    std::fs::write(folder.path().join("scenario.toml"), scenario).unwrap();
    folder
}

/// The command in a folder, which its temporary files go to as well.
pub fn command(folder: &Path, arguments: &[&str]) -> Command {
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

/// The command that plays the scenario in a folder and prints JSON.
pub fn run_command(folder: &Path, more: &[&str]) -> Command {
    let program = program().to_str().unwrap();
    command(
        folder,
        &[
            &["run", "scenario.toml", "--json", "--program", program],
            more,
        ]
        .concat(),
    )
}

/// What a run printed. Its folder is gone, unless it kept its logs since something was broken.
pub fn result(output: &Output) -> Value {
    let stderr = String::from_utf8_lossy(&output.stderr);
    let result: Value =
        serde_json::from_slice(&output.stdout).unwrap_or_else(|error| panic!("{error}: {stderr}"));
    let code = output.status.code();
    // A machine that is too slow gives no verdict; what it saw is there all the same.
    let wanted = if result["kept"] == true { 0 } else { 1 };
    assert!(
        code == Some(wanted) || code == Some(4) && result["too-slow"].is_string(),
        "{code:?}: {stderr}"
    );
    result
}

/// Plays the small scenario for so many seconds, with more of a scenario behind it.
pub fn run_scenario(seconds: u32, more: &str, arguments: &[&str]) -> Value {
    run_in(&scenario_folder(seconds, more), arguments)
}

/// Plays the scenario in a folder.
pub fn run_in(folder: &tempfile::TempDir, arguments: &[&str]) -> Value {
    let result = result(&run_command(folder.path(), arguments).output().unwrap());
    if result["kept"] == true {
        assert_eq!(run_folders(folder.path()), Vec::<PathBuf>::new());
    }
    result
}

/// Folders of runs that are there.
pub fn run_folders(folder: &Path) -> Vec<PathBuf> {
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

/// The numbers of the processes that a run has recorded as started.
pub fn recorded_pids(run_folder: &Path) -> Vec<i32> {
    let processes = std::fs::read_to_string(run_folder.join("processes")).unwrap_or_default();
    processes
        .lines()
        .filter_map(|line| line.split(' ').next()?.parse().ok())
        .collect()
}

/// Whether a process lives.
pub fn is_running(pid: i32) -> bool {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    // What nobody has waited for yet is dead all the same.
    stat.rsplit_once(") ")
        .is_some_and(|(_, rest)| !rest.starts_with('Z'))
}

/// Waits for a condition, 20 s at most.
pub fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let began = Instant::now();
    while !condition() {
        assert!(began.elapsed() < Duration::from_secs(20), "{what}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// How often a rule was broken.
pub fn breaches(result: &Value, rule: &str) -> u64 {
    result["breaches"][rule]
        .as_u64()
        .unwrap_or_else(|| panic!("{}", result["breaches"]))
}

/// Asserts that no rule and no bound was broken, and that no process crashed.
pub fn assert_passed(result: &Value) {
    assert_eq!(
        result["kept"], true,
        "{} {} {}",
        result["first-breaches"], result["bounds"], result["processes"]
    );
}
