//! Demonstration of the load balancer: mock upstreams, discovery, the daemon and a plug-in client, all on loopback,
//! under mixed traffic. Half-way through, one upstream (a "nodo") is killed and later restarts cold. At the end the
//! program prints the responses by path and class, the requests at each upstream, and whether the four rules of the
//! load balancer were kept, as far as callers and upstreams can observe.
//!
//! Run it with `cargo run --release -p woadstall-demo [SECONDS]`.

mod error;
mod fleet;
mod system;

use clap::{Parser, Subcommand};
use std::process::ExitCode;

#[derive(Parser)]
#[command(
    version,
    args_conflicts_with_subcommands = true,
    about = "Load-balances mixed traffic over nodos on loopback, by the daemon and a plug-in, while a nodo fails and restarts"
)]
struct Arguments {
    #[command(subcommand)]
    command: Option<Command>,
    /// Duration of the traffic, in seconds.
    #[arg(default_value_t = 60, value_parser = clap::value_parser!(u64).range(6..=3600))]
    seconds: u64,
}

#[derive(Subcommand)]
enum Command {
    /// Run the whole system instead: three core machines, two fronts and mock upstreams, while the configuration
    /// changes and a core machine is killed.
    System,
}

fn main() -> ExitCode {
    // `system` starts its core machines and fronts as child processes that run this program with other arguments.
    if let Some(code) = woadstall_node::cli::run() {
        return code;
    }
    let arguments = Arguments::parse();
    let result = match arguments.command {
        Some(Command::System) => system::run(),
        None => fleet::run(arguments.seconds),
    };
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
