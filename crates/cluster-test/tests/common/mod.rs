//! Helpers that run the command-line program on a small scenario, which tests extend as needed.

#![allow(dead_code, reason = "each test program uses a subset")]

use serde_json::Value;
use std::path::{Path, PathBuf};
use std::process::{Command, Output, Stdio};
use std::sync::{Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::{Duration, Instant};

/// A scenario with four balancers and six upstreams. Its targets and deadlines are long, so that a busy machine is not
/// mistaken for a slow fleet.
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

/// Serializes the runs of a test program. Concurrent runs compete for the cores, and a run that is too slow gives no
/// verdict.
pub fn run_exclusively() -> MutexGuard<'static, ()> {
    static RUNS: Mutex<()> = Mutex::new(());
    RUNS.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns the path of the shipped program. A test run of the whole workspace has already built the program; a test run
/// of this crate alone has not, so the program is built here.
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

/// Creates a temporary directory with the small scenario, which lasts `seconds` and is extended by the TOML text
/// `additions`. The run also keeps its temporary files there.
pub fn scenario_folder(seconds: u32, additions: &str) -> tempfile::TempDir {
    let small = SMALL_SCENARIO.replace("time = \"4 s\"", &format!("time = \"{seconds} s\""));
    folder_with(&(small + additions))
}

/// Creates a temporary directory with a scenario file.
pub fn folder_with(scenario: &str) -> tempfile::TempDir {
    let folder = tempfile::tempdir().unwrap();
    std::fs::write(folder.path().join("scenario.toml"), scenario).unwrap();
    folder
}

/// Returns the command-line program with `folder` as its working directory and as its directory for temporary files.
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

/// Returns the command that executes the scenario in `folder` and prints JSON, with `extra_arguments` at the end.
pub fn run_command(folder: &Path, extra_arguments: &[&str]) -> Command {
    let program = program().to_str().unwrap();
    command(
        folder,
        &[
            &["run", "scenario.toml", "--json", "--program", program],
            extra_arguments,
        ]
        .concat(),
    )
}

/// Parses the JSON output of a run, and checks that the exit code matches the result.
pub fn result(output: &Output) -> Value {
    let stderr = String::from_utf8_lossy(&output.stderr);
    let result: Value =
        serde_json::from_slice(&output.stdout).unwrap_or_else(|error| panic!("{error}: {stderr}"));
    let code = output.status.code();
    // On a machine that is too slow, the exit code gives no verdict, but the result is still complete.
    let expected_code = if result["kept"] == true { 0 } else { 1 };
    assert!(
        code == Some(expected_code) || code == Some(4) && result["too-slow"].is_string(),
        "{code:?}: {stderr}"
    );
    result
}

/// Executes the small scenario, which lasts `seconds` and is extended by the TOML text `additions`.
pub fn run_scenario(seconds: u32, additions: &str, arguments: &[&str]) -> Value {
    run_in(&scenario_folder(seconds, additions), arguments)
}

/// Executes the scenario in `folder`. Checks that a passed run has removed its run directory; a failed run keeps the
/// directory with its logs.
pub fn run_in(folder: &tempfile::TempDir, arguments: &[&str]) -> Value {
    let result = result(&run_command(folder.path(), arguments).output().unwrap());
    if result["kept"] == true {
        assert_eq!(run_folders(folder.path()), Vec::<PathBuf>::new());
    }
    result
}

/// Returns the existing run directories below `folder`.
pub fn run_folders(folder: &Path) -> Vec<PathBuf> {
    let entries = std::fs::read_dir(folder)
        .unwrap()
        .map(|entry| entry.unwrap().path());
    entries
        .filter(|path| {
            path.file_name()
                .unwrap()
                .to_str()
                .unwrap()
                .starts_with("woadstall-rig-")
        })
        .collect()
}

/// Returns the identifiers of the processes that a run has recorded as started.
pub fn recorded_pids(run_folder: &Path) -> Vec<i32> {
    let processes = std::fs::read_to_string(run_folder.join("processes")).unwrap_or_default();
    processes
        .lines()
        .filter_map(|line| line.split(' ').next()?.parse().ok())
        .collect()
}

/// Whether a process is running.
pub fn is_running(pid: i32) -> bool {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    // A zombie has ended, although its parent has not waited for it yet.
    stat.rsplit_once(") ")
        .is_some_and(|(_, rest)| !rest.starts_with('Z'))
}

/// Waits up to 20 s for a condition.
pub fn wait_until(description: &str, mut condition: impl FnMut() -> bool) {
    let began = Instant::now();
    while !condition() {
        assert!(began.elapsed() < Duration::from_secs(20), "{description}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// Returns the number of violations of a rule.
pub fn breaches(result: &Value, rule: &str) -> u64 {
    result["breaches"][rule]
        .as_u64()
        .unwrap_or_else(|| panic!("{}", result["breaches"]))
}

/// Asserts that no rule and no bound was violated, and that no process crashed.
pub fn assert_passed(result: &Value) {
    assert_eq!(
        result["kept"],
        true,
        "{} {} {}; too slow: {} {}",
        result["first-breaches"],
        result["bounds"],
        result["processes"],
        result["too-slow"],
        result["lag"]
    );
}
