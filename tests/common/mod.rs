//! Starts the built binary as a process, reads its log, sends it signals and calls its operator API.
#![allow(dead_code, reason = "each test file uses only some of the helpers")]

pub mod program;

use program::program_path;
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, ChildStderr, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};
use woadstall_mock_servers::http1::{Caller, LONG_BUDGET, Message};

/// A running process of the load balancer; killed on drop.
pub struct Program {
    child: Child,
    config: PathBuf,
    pub address: SocketAddr,
    log: BufReader<ChildStderr>,
}

impl Program {
    pub fn start(config: &serde_json::Value) -> Self {
        Self::start_with(config, &[])
    }

    /// Starts the program with `descriptors` as the system's limit of open files (`ulimit -n`).
    pub fn start_limited(config: &serde_json::Value, descriptors: u32) -> Self {
        let mut shell = Command::new("sh");
        shell.args([
            "-c",
            &format!("ulimit -n {descriptors}; exec \"$0\""),
            program_path().to_str().expect("a path in UTF-8"),
        ]);
        Self::from_spawned(spawn_as(shell, &config.to_string(), &[]))
    }

    /// Starts the program with additional environment variables.
    pub fn start_with(config: &serde_json::Value, environment: &[(&str, String)]) -> Self {
        Self::from_spawned(spawn(&config.to_string(), environment))
    }

    fn from_spawned(
        (mut child, mut log, config): (Child, BufReader<ChildStderr>, PathBuf),
    ) -> Self {
        let mut line = String::new();
        while !line.contains("listening address=") {
            line.clear();
            assert!(
                log.read_line(&mut line).unwrap() > 0,
                "the program ended before it listened"
            );
        }
        let address = line.trim().rsplit('=').next().unwrap().parse();
        let address = address.unwrap_or_else(|_| {
            child.kill().ok();
            panic!("no address in {line:?}")
        });
        Self {
            child,
            config,
            address,
            log,
        }
    }

    /// Starts the program with an admin address, which serves the operator API.
    pub fn start_with_admin(config: &serde_json::Value) -> (Self, AdminClient) {
        Self::start_with_admin_and_env(config, &[])
    }

    /// Starts the program with an admin address and additional environment variables.
    pub fn start_with_admin_and_env(
        config: &serde_json::Value,
        environment: &[(&str, String)],
    ) -> (Self, AdminClient) {
        let mut config = config.clone();
        config["admin"] = "127.0.0.1:0".into();
        let mut program = Self::start_with(&config, environment);
        let line = program.wait_for_log("admin_listening address=");
        let address = line
            .trim()
            .rsplit('=')
            .next()
            .unwrap()
            .parse()
            .expect("an address");
        (program, AdminClient { address })
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Replaces the configuration file by this text and sends SIGHUP.
    pub fn reload(&self, config: &str) {
        std::fs::write(&self.config, config).unwrap();
        self.signal("-HUP");
    }

    fn signal(&self, signal: &str) {
        let sent = Command::new("kill")
            .args([signal, &self.child.id().to_string()])
            .status()
            .unwrap();
        assert!(sent.success());
    }

    /// Reads the log up to the next line that contains `text`, and returns that line.
    pub fn wait_for_log(&mut self, text: &str) -> String {
        loop {
            let mut line = String::new();
            assert!(
                self.log.read_line(&mut line).unwrap() > 0,
                "the program ended before it logged {text:?}"
            );
            if line.contains(text) {
                return line;
            }
        }
    }

    /// Returns the number of open file descriptors of the process.
    pub fn descriptor_count(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id()))
            .unwrap()
            .count()
    }

    /// Returns the resident memory of the process in KiB.
    pub fn resident_memory_kib(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let line = status
            .lines()
            .find(|line| line.starts_with("VmRSS"))
            .expect("the status has a line VmRSS");
        line.split_whitespace().nth(1).unwrap().parse().unwrap()
    }

    /// Waits until the process ends; returns its exit status and the rest of the log.
    pub fn wait_for_exit(mut self) -> (ExitStatus, String) {
        let mut log = String::new();
        self.log.read_to_string(&mut log).unwrap();
        (self.child.wait().unwrap(), log)
    }

    pub fn connect(&self) -> Caller {
        self.try_connect().expect("a connection")
    }

    pub fn try_connect(&self) -> Option<Caller> {
        Caller::connect(self.address)
    }

    /// Sends one request on a new connection.
    pub fn call(&self, class: &str) -> Message {
        self.connect()
            .call(class, LONG_BUDGET, "body")
            .expect("an answer")
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }
}

/// A client of a program's admin address, which serves the operator API.
pub struct AdminClient {
    pub address: SocketAddr,
}

impl AdminClient {
    pub fn connect(&self) -> Caller {
        Caller::connect(self.address).expect("a connection to the admin address")
    }

    pub fn get(&self, path: &str) -> Message {
        self.call("GET", path)
    }

    pub fn post(&self, path: &str) -> Message {
        self.call("POST", path)
    }

    fn call(&self, method: &str, path: &str) -> Message {
        let mut caller = self.connect();
        caller.write(&format!(
            "{method} {path} HTTP/1.1\r\nHost: operators\r\nContent-Length: 0\r\n\r\n"
        ));
        caller
            .read_response()
            .expect("an answer from the admin address")
    }

    /// Reads the metrics; the keys are the names with labels.
    pub fn metrics(&self) -> HashMap<String, f64> {
        let text = String::from_utf8(self.get("/control/counters").body).unwrap();
        let lines = text.lines().filter(|line| !line.starts_with('#'));
        let parse_line = |line: &str| {
            let (name, value) = line.rsplit_once(' ').expect("a name and a value");
            (name.to_owned(), value.parse().expect("a number"))
        };
        lines.map(parse_line).collect()
    }
}

/// Runs the program with this configuration until the process ends; returns its exit status and log.
pub fn run_to_end(config: &str) -> (ExitStatus, String) {
    run_to_end_with(config, &[])
}

/// Runs the program like `run_to_end`, with additional environment variables.
pub fn run_to_end_with(config: &str, environment: &[(&str, String)]) -> (ExitStatus, String) {
    let (mut child, mut log, _) = spawn(config, environment);
    let mut text = String::new();
    log.read_to_string(&mut text).unwrap();
    (child.wait().unwrap(), text)
}

fn spawn(config: &str, environment: &[(&str, String)]) -> (Child, BufReader<ChildStderr>, PathBuf) {
    spawn_as(Command::new(program_path()), config, environment)
}

fn spawn_as(
    mut command: Command,
    config: &str,
    environment: &[(&str, String)],
) -> (Child, BufReader<ChildStderr>, PathBuf) {
    static NEXT_NUMBER: AtomicU32 = AtomicU32::new(0);
    let number = NEXT_NUMBER.fetch_add(1, Ordering::Relaxed);
    let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR"))
        .join(format!("config-{}-{number}.json", std::process::id()));
    std::fs::write(&path, config).unwrap();
    let mut child = command
        .env_remove("LB_LISTEN")
        .env_remove("LB_DISCOVERY")
        .env_remove("LB_OPERATOR")
        .env("LB_CONFIG", &path)
        .envs(environment.iter().cloned())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let log = BufReader::new(child.stderr.take().unwrap());
    (child, log, path)
}

/// Waits until the condition holds; panics with `description` after twenty seconds.
pub fn wait_until(description: &str, mut condition: impl FnMut() -> bool) {
    let began = Instant::now();
    while !condition() {
        assert!(began.elapsed() < Duration::from_secs(20), "{description}");
        std::thread::sleep(Duration::from_millis(20));
    }
}
