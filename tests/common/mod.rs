//! The built program, running.
#![allow(dead_code, reason = "each test file uses a part of it")]

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

/// The program, running.
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

    /// Starts it with so many descriptors as the system allows it.
    pub fn start_limited(config: &serde_json::Value, descriptors: u32) -> Self {
        let mut shell = Command::new("sh");
        shell.args([
            "-c",
            &format!("ulimit -n {descriptors}; exec \"$0\""),
            program_path().to_str().expect("a path in UTF-8"),
        ]);
        Self::started(spawn_as(shell, &config.to_string(), &[]))
    }

    /// Starts it with more in its environment.
    pub fn start_with(config: &serde_json::Value, environment: &[(&str, String)]) -> Self {
        Self::started(spawn(&config.to_string(), environment))
    }

    fn started((mut child, mut log, config): (Child, BufReader<ChildStderr>, PathBuf)) -> Self {
        let mut line = String::new();
        while !line.contains("listening address=") {
            line.clear();
            assert!(
                log.read_line(&mut line).unwrap() > 0,
                "the program has ended before it listened"
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

    /// Starts it with a second address, for operators.
    pub fn start_with_admin(config: &serde_json::Value) -> (Self, Operators) {
        Self::start_in(config, &[])
    }

    /// The same with more in its environment.
    pub fn start_in(
        config: &serde_json::Value,
        environment: &[(&str, String)],
    ) -> (Self, Operators) {
        let mut config = config.clone();
        config["admin"] = "127.0.0.1:0".into();
        let mut program = Self::start_with(&config, environment);
        let line = program.logged("admin_listening address=");
        let address = line
            .trim()
            .rsplit('=')
            .next()
            .unwrap()
            .parse()
            .expect("an address");
        (program, Operators { address })
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Puts this text in place of the configuration and sends SIGHUP.
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

    /// Waits for a line of the log that holds this text.
    pub fn logged(&mut self, text: &str) -> String {
        loop {
            let mut line = String::new();
            assert!(
                self.log.read_line(&mut line).unwrap() > 0,
                "the program has ended, not logged {text:?}"
            );
            if line.contains(text) {
                return line;
            }
        }
    }

    /// Descriptors that it holds.
    pub fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id()))
            .unwrap()
            .count()
    }

    /// Resident memory, in KiB.
    pub fn memory(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let line = status
            .lines()
            .find(|line| line.starts_with("VmRSS"))
            .expect("its memory");
        line.split_whitespace().nth(1).unwrap().parse().unwrap()
    }

    /// Waits for the end; the rest of the log comes with it.
    pub fn end(mut self) -> (ExitStatus, String) {
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

    /// One request on a connection of its own.
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

/// A program's second address.
pub struct Operators {
    pub address: SocketAddr,
}

impl Operators {
    pub fn connect(&self) -> Caller {
        Caller::connect(self.address).expect("a connection for operators")
    }

    pub fn get(&self, path: &str) -> Message {
        self.send_query("GET", path)
    }

    pub fn post(&self, path: &str) -> Message {
        self.send_query("POST", path)
    }

    fn send_query(&self, method: &str, path: &str) -> Message {
        let mut caller = self.connect();
        caller.write(&format!(
            "{method} {path} HTTP/1.1\r\nHost: operators\r\nContent-Length: 0\r\n\r\n"
        ));
        caller.read_response().expect("an answer to operators")
    }

    /// The figures by name, labels included.
    pub fn figures(&self) -> HashMap<String, f64> {
        let text = String::from_utf8(self.get("/control/counters").body).unwrap();
        let lines = text.lines().filter(|line| !line.starts_with('#'));
        let figure = |line: &str| {
            let (name, value) = line.rsplit_once(' ').expect("a name and a value");
            (name.to_owned(), value.parse().expect("a number"))
        };
        lines.map(figure).collect()
    }
}

/// Runs the program with this text as its configuration until it ends by itself.
pub fn run_to_end(config: &str) -> (ExitStatus, String) {
    run_to_end_in(config, &[])
}

/// The same with more in its environment.
pub fn run_to_end_in(config: &str, environment: &[(&str, String)]) -> (ExitStatus, String) {
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
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
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

/// Waits until it is so, for twenty seconds at most.
pub fn until(what: &str, mut there: impl FnMut() -> bool) {
    let began = Instant::now();
    while !there() {
        assert!(began.elapsed() < Duration::from_secs(20), "{what}");
        std::thread::sleep(Duration::from_millis(20));
    }
}
