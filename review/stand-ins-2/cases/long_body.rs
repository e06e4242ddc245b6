//! TWICE: an upstream begins to work on a request with a long body before it has read the body, as it may, and crashes.

use super::{deploy, outcome, send};
use crate::deployment::{ZONES, configuration, kill_process, route, service, spawn};
use crate::record::Record;
use crate::upstream::Registration;
use std::io::{BufRead, BufReader};
use std::process::{Command, Stdio};
use std::sync::mpsc::{Sender, channel};
use std::thread;
use std::time::{Duration, Instant};

/// Upstreams of the service. One of six is less than the share of 0.17 that may crash.
const UPSTREAMS: usize = 6;
/// Size of the body, below `max_body_bytes` (4,194,304).
const BODY_BYTES: usize = 4_100_000;
/// Time for which the crashed upstream has worked on the request.
const WORKED: Duration = Duration::from_millis(150);

/// A line of an upstream: its number and what it says.
type Said = (usize, String);

pub fn run(folder: &str, trouble: bool) -> Result<bool, String> {
    let record = Record::create(folder)?;
    let routes = [route(
        "r-receipts",
        "/receipts/",
        "non_idempotent",
        "receipts",
        r#","max_attempts":1"#,
    )];
    let deployment = deploy(1, &configuration(1, &routes, &[service("receipts", "0.0")]))?;
    let (said, lines) = channel::<Said>();
    let mut upstreams = Vec::new();
    for number in 0..UPSTREAMS {
        let id = format!("i-{number}");
        let mut command = Command::new(std::env::current_exe().map_err(|error| error.to_string())?);
        command.args(["serve", &deployment.upstream_ip(number), &id]);
        let mut child = spawn(command.stdin(Stdio::null()).stdout(Stdio::piped()))?;
        let output = child.stdout.take().ok_or("an upstream has no output")?;
        let said = said.clone();
        thread::spawn(move || listen_to(number, BufReader::new(output), &said));
        let (_, listens) = lines
            .recv_timeout(Duration::from_secs(5))
            .map_err(|error| error.to_string())?;
        let address = listens
            .strip_prefix("listens ")
            .ok_or("an upstream does not listen")?
            .to_owned();
        let registration = Registration {
            id,
            address,
            service: "receipts".to_owned(),
            zone: ZONES[0].to_owned(),
            capacity: 6,
        };
        registration.keep(deployment.controls(), || true)?;
        upstreams.push(child);
    }
    thread::sleep(Duration::from_secs(1));
    let front = deployment
        .resolve(0)?
        .first()
        .cloned()
        .ok_or("the directory names no front")?;
    record.line(format!("client sends request q1 to front {front}: POST /receipts/1, {BODY_BYTES} bytes, deadline 5000 ms"));
    let client =
        thread::spawn(move || send(&front, "/receipts/1", "q1", 5_000, &vec![b'x'; BODY_BYTES]));
    let mut runs = 0;
    let mut killed = None;
    let mut answered: Option<Instant> = None;
    loop {
        if let Ok((number, line)) = lines.recv_timeout(Duration::from_millis(50)) {
            record.line(format!("upstream i-{number}: {line}"));
            if line == "runs q1" {
                runs += 1;
                if trouble && killed.is_none() {
                    thread::sleep(WORKED);
                    kill_process(&mut upstreams[number]);
                    record.line(format!("upstream i-{number} crashes (SIGKILL)"));
                    killed = Some(number);
                }
            }
        }
        if answered.is_none() && client.is_finished() {
            answered = Some(Instant::now());
        }
        if answered.is_some_and(|at| at.elapsed() > Duration::from_secs(2)) {
            break;
        }
    }
    let answer = client.join().map_err(|_| "the client ended")?;
    record.line(format!("client gets for q1: {}", outcome(&answer)));
    if runs == 0 {
        return Err("no upstream ran the request".to_owned());
    }
    let broken = runs > 1;
    record.line(format!(
        "q1 is non_idempotent and ran {runs} times: TWICE is {}",
        if broken { "broken" } else { "kept" }
    ));
    deployment.record_logs(&record, 12);
    Ok(broken)
}

fn listen_to(number: usize, output: impl BufRead, said: &Sender<Said>) {
    for line in output.lines().map_while(Result::ok) {
        if said.send((number, line)).is_err() {
            return;
        }
    }
}
