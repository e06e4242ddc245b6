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
#[command(about = "Measures woadstall against plain peers, side by side in one run")]
struct Arguments {
    /// Length of a round, in milliseconds.
    #[arg(long, global = true, default_value_t = 2_000, value_parser = clap::value_parser!(u64).range(100..=60_000))]
    round: u64,
    /// Rounds of each.
    #[arg(long, global = true, default_value_t = 5, value_parser = clap::value_parser!(u64).range(1..=50))]
    rounds: u64,
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// The plug-in against p2c and a direct call.
    Plugin,
    /// Two builds of the daemon against a proxy that decides nothing.
    Daemon {
        /// The program as it was.
        before: PathBuf,
        /// The program as it is.
        after: PathBuf,
    },
    /// 1, 4 and 16 tasks on one plug-in.
    Contention,
    /// What a call holds while it waits.
    Memory,
    /// An upstream that answers at once (a peer of the other commands).
    #[command(hide = true)]
    Upstream,
    /// A proxy that decides nothing (a peer of the other commands).
    #[command(hide = true)]
    Proxy {
        /// Where it sends everything.
        upstream: std::net::SocketAddr,
    },
    /// A caller of upstreams (a peer of the other commands).
    #[command(hide = true)]
    Caller {
        /// How it calls.
        by: CallMethod,
        /// Its tasks.
        tasks: usize,
        /// Its worker threads.
        threads: usize,
        /// Calls a second in all; 0 for as many as can be.
        rate: u64,
        /// Whom it calls.
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
            by,
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
            callers::run(plan.length, by, load, &upstreams)
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
