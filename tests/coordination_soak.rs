//! Soak test of the coordination service: real processes under seeded random faults. The history
//! that the clients record is checked against the guarantees of the service.
//! Its options are described in `tests/common/soak_options.rs`.

#[path = "coordination_soak/caller.rs"]
mod caller;
#[path = "coordination_soak/client.rs"]
mod client;
#[path = "coordination_soak/cores.rs"]
mod cores;
#[path = "coordination_soak/faults.rs"]
mod faults;
#[path = "coordination_soak/history.rs"]
mod history;
#[path = "coordination_soak/history_tests.rs"]
mod history_tests;
#[path = "common/program.rs"]
mod program;
#[path = "common/soak_options.rs"]
mod soak_options;

use caller::{Caller, Request};
use client::Client;
use cores::Run;
use faults::Faults;
use history::History;
use program::program_path;
use serde_json::json;
use soak_options::{env_variable, log_directory, seeds};
use std::net::SocketAddr;
use std::ops::Range;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};
use woadstall_mock_servers::system::{Layout, System};

/// Three regions of two zones.
const LAYOUT: Layout = Layout {
    cores: 6,
    zones_per_region: 2,
    fronts: 0,
    tolerated_failures: 2,
};
/// Seeds if `WOADSTALL_SOAK_SEEDS` is not set.
const SEEDS: Range<u64> = 0..2;
/// Seconds of fault injection if `WOADSTALL_SOAK_SECONDS` is not set.
const FAULT_SECONDS: u64 = 8;
/// Range from which the seed draws the number of clients.
const CLIENTS: Range<usize> = 12..41;
/// Time limit from the start of the system to its first executed call.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Time limit, from the restart after the last fault, for reading back all acknowledged data.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(15);

/// Starts the system and waits until it executes calls.
fn start(run: &Arc<Run>, log_directory: Option<PathBuf>) -> (System, Vec<SocketAddr>) {
    let system = System::start_layout(&program_path(), LAYOUT, log_directory);
    let addresses: Vec<SocketAddr> = (0..LAYOUT.cores).map(|core| system.control(core)).collect();
    let mut caller = Caller::new(run.clone(), addresses.clone(), 0);
    let request = Request::new("POST", "/v1/numbers/n0".to_owned(), &json!({}));
    let until = Some(Instant::now() + START_TIMEOUT);
    caller
        .call(&request, usize::MAX, until)
        .expect("the system starts");
    (system, addresses)
}

fn start_clients(
    run: &Arc<Run>,
    addresses: &[SocketAddr],
    count: usize,
    seed: u64,
) -> Vec<JoinHandle<History>> {
    let start = |number: usize| {
        let caller = Caller::new(run.clone(), addresses.to_vec(), number % addresses.len());
        let name = format!("c{number}");
        let seed = seed * 1_000 + u64::try_from(number).expect("a small number");
        let client = Client::new(name, run.clone(), caller, seed);
        thread::spawn(|| client.run())
    };
    (0..count).map(start).collect()
}

/// Runs the soak with a seed; panics with the violations that it finds.
fn run_seed(seed: u64) {
    let run = Arc::new(Run::new(LAYOUT.cores));
    let (system, addresses) = start(&run, log_directory(seed));
    let drawn_count = fastrand::Rng::with_seed(seed).usize(CLIENTS);
    let count = env_variable("WOADSTALL_SOAK_CLIENTS").unwrap_or(drawn_count);
    let clients = start_clients(&run, &addresses, count, seed);
    let seconds = env_variable("WOADSTALL_SOAK_SECONDS").unwrap_or(FAULT_SECONDS);
    let mut faults = Faults::new(system, run.clone(), LAYOUT.cores, seed);
    faults.inject(Instant::now() + Duration::from_secs(seconds));
    let is_stable = faults.wait_until_stable();
    if !is_stable {
        let statuses = faults.statuses();
        run.report(format!("the members never became stable: {statuses:?}"));
    }
    let started = faults.lose_two_disks();
    run.is_over.store(true, Ordering::Relaxed);
    let mut history = History::default();
    for client in clients {
        history.merge(client.join().expect("the client thread does not panic"));
    }
    let caller = Caller::new(run.clone(), addresses, 0);
    let reader = Client::new("reader".to_owned(), run.clone(), caller, seed);
    if is_stable {
        history.merge(reader.read_back(&history, started + RECOVERY_TIMEOUT));
    }
    let recovery = started.elapsed();
    for violation in history.violations() {
        run.report(violation);
    }
    println!(
        "seed {seed}: clients {count}, calls {}, holds {}, numbers {}, puts {}, reads {}, watches {}, recovery {recovery:?}",
        run.executed(),
        history.leases.len(),
        history.numbers.len(),
        history.puts.len(),
        history.reads.len(),
        history.watches.len(),
    );
    if let Some(report) = run.failure_report() {
        panic!("seed {seed}:\n{report}");
    }
}

#[test]
fn keeps_the_rules_under_faults() {
    seeds(SEEDS).for_each(run_seed);
}
