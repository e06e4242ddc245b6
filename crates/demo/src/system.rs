//! The serving system on loopback: bootstrap, configuration, requests, a change of configuration, and the failure of a
//! core machine.

use crate::error::DemoError;
use serde_json::{Value, json};
use std::time::Instant;
use woadstall_mock_servers::http1::{Message, Reaction, Upstream};
use woadstall_mock_servers::system::{System, call, response};

/// Number of requests that are sent in each step.
const REQUESTS_PER_STEP: usize = 40;

/// Number of steps in which requests are sent.
const STEPS: usize = 4;

/// Number of fronts, which receive the requests in turn.
const FRONTS: u8 = 2;

/// Number of upstreams. Each registers at a different core machine.
const UPSTREAMS: usize = 3;

fn configuration(generation: u64, timeout_ms: u64) -> Value {
    json!({
        "generation": generation,
        "routes": [{
            "name": "drafts", "host": "shop.example", "path_prefix": "/drafts/", "route_type": "safe",
            "timeout_ms": timeout_ms, "target_latency_ms": 200, "priority": 0, "service": "drafts", "max_attempts": 2,
        }],
        "services": [{ "name": "drafts", "max_connections": 100 }],
    })
}

/// Sends the requests of a step to the fronts in turn. Prints and returns how many were served.
fn send_requests(system: &System, step: &str) -> usize {
    let started = Instant::now();
    let is_served = |number: &usize| {
        let headers = format!("Request-Id: {step}-{number}\r\nDeadline: 2000\r\n");
        let front = system.front((number % usize::from(FRONTS)) as u8);
        call(front, "POST", "/drafts/1", &headers, b"{}")
            .is_some_and(|response| response.status() == 200)
    };
    let served = (0..REQUESTS_PER_STEP).filter(is_served).count();
    println!(
        "{step:<28} {served} of {REQUESTS_PER_STEP} requests served in {:.2} s",
        started.elapsed().as_secs_f64()
    );
    served
}

/// Starts upstreams and registers each of them at a different core machine.
fn register_upstreams(system: &System) -> Vec<Upstream> {
    let respond = |request: &Message| Reaction::Respond(response(request, "a draft"));
    let upstreams: Vec<Upstream> = (0..UPSTREAMS).map(|_| Upstream::start(respond)).collect();
    for (number, upstream) in (0..).zip(&upstreams) {
        let name = format!("upstream-{number}");
        system.register(number, &name, "drafts", upstream.address, number);
    }
    println!("three upstreams are registered, each at a different core machine");
    upstreams
}

fn print_directory(system: &System) {
    let path = "/v1/resolve?name=shop.example&zone=zone-0";
    let directory = call(system.directory(1), "GET", path, "", b"");
    let directory = directory.map(|response| String::from_utf8_lossy(&response.body).into_owned());
    println!(
        "directory entry at core machine 1: {}",
        directory.unwrap_or_default()
    );
}

/// Runs the system. Returns whether every request was served.
///
/// # Errors
///
/// [`DemoError::Io`], if the path of this program cannot be determined. The processes of the system run this program.
pub fn run() -> Result<bool, DemoError> {
    let program = std::env::current_exe()?;
    println!("starting three core machines and two fronts ...");
    let mut system = System::start(&program, FRONTS);
    system.configure(0, 0, &configuration(1, 2_000));
    println!("both fronts have applied configuration 1");
    let _upstreams = register_upstreams(&system);
    let mut served = send_requests(&system, "normal operation");
    system.configure(1, 1, &configuration(2, 3_000));
    println!("both fronts have applied configuration 2, which was sent to core machine 1");
    served += send_requests(&system, "after configuration change");
    system.kill_core(0);
    served += send_requests(&system, "core machine 0 killed");
    system.configure(2, 2, &configuration(3, 2_500));
    println!("both fronts have applied configuration 3 while core machine 0 is down");
    system.start_core(0, false);
    served += send_requests(&system, "core machine 0 restarted");
    print_directory(&system);
    Ok(served == STEPS * REQUESTS_PER_STEP)
}
