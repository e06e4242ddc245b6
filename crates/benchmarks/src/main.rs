//! Benchmarks of the daemon and the plug-in against baseline peers. Each peer runs in a separate process, so that its
//! CPU time can be measured separately. The peers' rounds alternate, and the medians are printed. The benchmarks need
//! Linux and a release build.
//!
//! - `plugin`: compares a call through the plug-in, through `tower::balance::p2c` and on a direct connection, over the
//!   same HTTP/2 code.
//! - `daemon BEFORE AFTER`: compares a request through two builds of the daemon and through a proxy without load
//!   balancing.
//! - `contention`: measures 1, 4 and 16 tasks that share one plug-in.
//! - `memory`: measures the memory of a call in flight.

mod callers;
mod clients;
mod daemon;
mod direct;
mod error;
mod measurement;
mod memory;
mod plugin;
mod process;
mod procfs;
mod servers;
mod settings;

use callers::CallerLoad;
use clap::{Parser, Subcommand};
use clients::CallMethod;
use error::BenchmarkError;
use measurement::MeasurementPlan;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

#[derive(Parser)]
#[command(
    about = "Benchmarks the daemon and the plug-in against baseline peers, in alternating rounds"
)]
struct Arguments {
    /// Length of a round, in milliseconds.
    #[arg(long, global = true, default_value_t = 2_000, value_parser = clap::value_parser!(u64).range(100..=60_000))]
    round: u64,
    /// Number of rounds of each peer or call method.
    #[arg(long, global = true, default_value_t = 5, value_parser = clap::value_parser!(u64).range(1..=50))]
    rounds: u64,
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Compare a call through the plug-in with p2c and a direct call.
    Plugin,
    /// Compare two builds of the daemon with a proxy without load balancing.
    Daemon {
        /// Program of the first build.
        before: PathBuf,
        /// Program of the second build.
        after: PathBuf,
    },
    /// Measure 1, 4 and 16 tasks that share one plug-in.
    Contention,
    /// Measure the memory of a call in flight.
    Memory,
    /// Run an upstream that responds immediately (started by the other commands).
    #[command(hide = true)]
    Upstream,
    /// Run a proxy without load balancing (started by the other commands).
    #[command(hide = true)]
    Proxy {
        /// Address to which the proxy sends all requests.
        upstream: std::net::SocketAddr,
    },
    /// Run a load generator (started by the other commands).
    #[command(hide = true)]
    Caller {
        /// Method by which the calls are made.
        method: CallMethod,
        /// Number of tasks; each task makes one call at a time.
        tasks: usize,
        /// Number of worker threads.
        threads: usize,
        /// Total number of calls per second; 0 for no limit.
        rate: u64,
        /// Addresses of the upstreams.
        upstreams: Vec<std::net::SocketAddr>,
    },
}

fn run(arguments: Arguments) -> Result<(), BenchmarkError> {
    let plan = MeasurementPlan {
        length: Duration::from_millis(arguments.round),
        rounds: arguments.rounds,
    };
    match arguments.command {
        Command::Plugin => plugin::run(plan),
        Command::Daemon { before, after } => daemon::run(plan, &before, &after),
        Command::Contention => plugin::run_contention(plan),
        Command::Memory => memory::run(),
        Command::Upstream => servers::run_upstream(),
        Command::Proxy { upstream } => servers::run_proxy(upstream),
        Command::Caller {
            method,
            tasks,
            threads,
            rate,
            upstreams,
        } => {
            let load = CallerLoad {
                tasks,
                threads,
                rate,
            };
            callers::run(plan.length, method, load, &upstreams)
        }
    }
}

fn main() -> ExitCode {
    match run(Arguments::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("Error: {error}");
            ExitCode::FAILURE
        }
    }
}
