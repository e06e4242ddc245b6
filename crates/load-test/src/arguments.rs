//! Command-line arguments.

use clap::{Parser, ValueEnum};
use std::net::SocketAddr;
use std::path::PathBuf;
use woadstall_emulator_cli::grid;
use woadstall_emulator_cli::log::LogFormat;

#[derive(Parser)]
#[command(
    version,
    about = "The lab's scenarios on real sockets: callers, stand-in nodos, daemons or plug-ins"
)]
pub struct Arguments {
    pub scenario: PathBuf,
    /// What callers go through: daemons over HTTP/1.1, plug-ins over gRPC, or both, started here.
    #[arg(long, value_enum, default_value_t = Through::Daemon)]
    pub through: Through,
    /// Addresses of daemons that run already, on this machine; then nothing is started here.
    #[arg(long, conflicts_with = "through")]
    pub target: Vec<SocketAddr>,
    /// Set a key of the scenario, as in time=10s.
    #[arg(long, value_parser = grid::parse_pair)]
    pub set: Vec<(String, String)>,
    /// Seed of the random numbers: the calls come as in the lab's run of this seed.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Append the row, as the lab writes them, to this file.
    #[arg(long)]
    pub out: Option<PathBuf>,
    /// Write the latencies here, step by step, in HdrHistogram's log format.
    #[arg(long)]
    pub hdr: Option<PathBuf>,
    /// Print the row as JSON.
    #[arg(long)]
    pub json: bool,
    /// Form of the log lines, which go to standard error.
    #[arg(long, value_enum, default_value_t = LogFormat::Text)]
    pub log: LogFormat,
}

#[derive(Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Through {
    Daemon,
    Plugin,
    Both,
}
