//! Command-line arguments.

use clap::{Parser, ValueEnum};
use std::net::SocketAddr;
use std::path::PathBuf;
use woadstall_emulator_cli::grid;
use woadstall_emulator_cli::log::LogFormat;

#[derive(Parser)]
#[command(
    version,
    about = "Runs the lab's scenarios on loopback sockets, with callers, mock nodos, and daemons or plug-ins"
)]
pub struct Arguments {
    /// The scenario file.
    pub scenario: PathBuf,
    /// The balancers to start and call: daemons over HTTP/1.1, plug-ins over gRPC, or both.
    #[arg(long, value_enum, default_value_t = Through::Daemon)]
    pub through: Through,
    /// Addresses of running daemons on this machine, which are called instead; no balancers or nodos are started.
    #[arg(long, conflicts_with = "through")]
    pub target: Vec<SocketAddr>,
    /// Set a key of the scenario, as in time=10s.
    #[arg(long, value_parser = grid::parse_pair)]
    pub set: Vec<(String, String)>,
    /// Seed of the random numbers. The calls are the same as in the lab's run with this seed.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Append the row of results, in the lab's format, to this file.
    #[arg(long)]
    pub out: Option<PathBuf>,
    /// Write the latencies of each step to this file, in HdrHistogram's log format.
    #[arg(long)]
    pub hdr: Option<PathBuf>,
    /// Print the row of results as JSON instead of a summary.
    #[arg(long)]
    pub json: bool,
    /// Format of the log lines, which are written to standard error.
    #[arg(long, value_enum, default_value_t = LogFormat::Text)]
    pub log: LogFormat,
}

#[derive(Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Through {
    Daemon,
    Plugin,
    Both,
}
