//! The whole system on loopback: founding, a configuration, requests, a change, a killed core machine.

use serde_json::{Value, json};
use std::time::Instant;
use woadstall_mock_servers::http1::{Message, Reaction, Upstream};
use woadstall_mock_servers::system::{System, call, response};

/// Requests that are sent in each step.
const REQUESTS: usize = 40;

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

/// Sends requests to the fronts by turns, and tells how many were served.
fn serve(system: &System, step: &str) -> usize {
    let begin = Instant::now();
    let is_served = |number: &usize| {
        let headers = format!("Request-Id: {step}-{number}\r\nDeadline: 2000\r\n");
        let front = system.front((number % 2) as u8);
        call(front, "POST", "/drafts/1", &headers, b"{}")
            .is_some_and(|response| response.status() == 200)
    };
    let served = (0..REQUESTS).filter(is_served).count();
    println!(
        "{step:<28} {served} of {REQUESTS} requests served in {:.2} s",
        begin.elapsed().as_secs_f64()
    );
    served
}

/// Shows the system; whether all went well.
pub fn show() -> Result<bool, String> {
    let program = std::env::current_exe().map_err(|error| error.to_string())?;
    println!("three core machines and two fronts start ...");
    let mut system = System::start(&program, 2);
    system.configure(0, 0, &configuration(1, 2_000));
    println!("configuration 1 is in force on both fronts");
    let upstreams: Vec<Upstream> = (0..3)
        .map(|_| {
            Upstream::start(|request: &Message| Reaction::Respond(response(request, "a draft")))
        })
        .collect();
    for (number, upstream) in (0..).zip(&upstreams) {
        system.register(
            number,
            &format!("upstream-{number}"),
            "drafts",
            upstream.address,
            number,
        );
    }
    println!("three upstreams are registered, each at another core machine");
    let mut served = serve(&system, "a calm moment");
    system.configure(1, 1, &configuration(2, 3_000));
    println!("configuration 2, given to another core machine, is in force on both fronts");
    served += serve(&system, "after the change");
    system.kill_core(0);
    served += serve(&system, "a core machine is killed");
    system.configure(2, 2, &configuration(3, 2_500));
    println!("configuration 3 is taken and in force without it");
    system.start_core(0, false);
    served += serve(&system, "it is back");
    let directory = call(
        system.directory(1),
        "GET",
        "/v1/resolve?name=shop.example&zone=zone-0",
        "",
        b"",
    );
    let directory = directory.map(|response| String::from_utf8_lossy(&response.body).into_owned());
    println!(
        "the directory of another core machine: {}",
        directory.unwrap_or_default()
    );
    Ok(served == 4 * REQUESTS)
}
