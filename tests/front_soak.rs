//! Soak test of the fronts: real processes under planned work, with clients that keep using their connections. What the
//! clients and the upstreams see is checked against the rules on lost, mixed, repeated and rejected requests and on the
//! order of streams. Its options are described in `tests/common/soak_options.rs`.

#[path = "front_soak/client.rs"]
mod client;
#[path = "front_soak/connection.rs"]
mod connection;
#[path = "front_soak/faults.rs"]
mod faults;
#[path = "front_soak/history.rs"]
mod history;
#[path = "front_soak/history_tests.rs"]
mod history_tests;
#[path = "common/program.rs"]
mod program;
#[path = "front_soak/run.rs"]
mod run;
#[path = "common/soak_options.rs"]
mod soak_options;
#[path = "front_soak/upstreams.rs"]
mod upstreams;

use client::Client;
use faults::Faults;
use history::{History, Outcome};
use program::program_path;
use run::Run;
use soak_options::{env_variable, log_directory, seeds};
use std::net::SocketAddr;
use std::ops::Range;
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};
use woadstall_mock_servers::http1::Upstream;
use woadstall_mock_servers::system::{Layout, System};

/// Seeds if `WOADSTALL_SOAK_SEEDS` is not set.
const SEEDS: Range<u64> = 0..2;
/// Seconds of fault injection if `WOADSTALL_SOAK_SECONDS` is not set.
const FAULT_SECONDS: u64 = 15;
/// Range from which the seed draws the number of clients.
const CLIENTS: Range<usize> = 16..64;
/// Range from which the seed draws the number of fronts.
const FRONTS: Range<u8> = 3..8;
/// Range from which the seed draws the number of upstreams.
const UPSTREAMS: Range<usize> = 3..7;

fn start_clients(
    run: &Arc<Run>,
    count: usize,
    seed: u64,
) -> Vec<JoinHandle<Vec<history::Request>>> {
    let start = |number: usize| {
        let seed = seed * 1_000 + u64::try_from(number).expect("a small number");
        let client = Client::new(format!("c{number}"), run.clone(), seed);
        thread::spawn(|| client.run())
    };
    (0..count).map(start).collect()
}

/// Returns the number of requests for each status, and of those without a response.
fn count_outcomes(history: &History) -> std::collections::BTreeMap<String, u32> {
    let mut counts = std::collections::BTreeMap::new();
    for request in &history.requests {
        let outcome = match &request.outcome {
            Outcome::Response(response) => response.status.to_string(),
            Outcome::NoResponse { end, .. } => format!("{end:?}"),
        };
        *counts.entry(outcome).or_default() += 1;
    }
    counts
}

/// Runs the soak with a seed; panics with the violations that it finds.
fn run_seed(seed: u64) {
    let mut random = fastrand::Rng::with_seed(seed);
    let drawn_clients = random.usize(CLIENTS);
    let clients = env_variable("WOADSTALL_SOAK_CLIENTS").unwrap_or(drawn_clients);
    let drawn_fronts = random.u8(FRONTS);
    let layout = Layout::small(env_variable("WOADSTALL_SOAK_FRONTS").unwrap_or(drawn_fronts));
    let system = System::start_layout(&program_path(), layout, log_directory(seed));
    let fronts = (0..layout.fronts)
        .map(|front| system.front(front))
        .collect();
    let run = Arc::new(Run::new(fronts));
    let upstreams: Vec<Upstream> = (0..random.usize(UPSTREAMS))
        .map(|_| upstreams::start(&run))
        .collect();
    let addresses: Vec<SocketAddr> = upstreams.iter().map(|upstream| upstream.address).collect();
    let mut faults = Faults::new(system, run.clone(), &addresses, seed);
    let threads = start_clients(&run, clients, seed);
    let seconds = env_variable("WOADSTALL_SOAK_SECONDS").unwrap_or(FAULT_SECONDS);
    faults.inject(Instant::now() + Duration::from_secs(seconds));
    run.end();
    let mut requests = Vec::new();
    for client in threads {
        requests.extend(client.join().expect("the client thread does not panic"));
    }
    let mut history = run.take_history();
    history.requests = requests;
    println!(
        "seed {seed}: fronts {}, upstreams {}, clients {clients}, events {}, shutdowns {}, outcomes {:?}",
        layout.fronts,
        upstreams.len(),
        faults.count,
        history.shutdowns.len(),
        count_outcomes(&history),
    );
    let violations = history.violations().into_iter();
    let violations = violations.map(|violation| violation.to_string());
    let failures: Vec<String> = violations.chain(faults.failures).collect();
    assert!(failures.is_empty(), "seed {seed}:\n{}", failures.join("\n"));
}

#[test]
fn loses_no_request_around_planned_work() {
    seeds(SEEDS).for_each(run_seed);
}
