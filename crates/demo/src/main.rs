//! One command that shows the main job: mock upstreams, discovery, the daemon and a plug-in client, all on
//! loopback, serving mixed traffic. Half-way one nodo dies, and comes back cold. At the end it prints who served
//! what by each path, and whether the four rules held as far as callers and nodos can tell.
//!
//! `cargo run --release -p woadstall-demo [SECONDS]`

mod error;
mod fleet;
mod system;

use clap::{Parser, Subcommand};
use std::process::ExitCode;

#[derive(Parser)]
#[command(
    version,
    args_conflicts_with_subcommands = true,
    about = "A fleet on loopback, fed by the daemon and a plug-in, while a nodo dies and comes back"
)]
struct Arguments {
    #[command(subcommand)]
    command: Option<Command>,
    /// How long callers come, in seconds.
    #[arg(default_value_t = 60, value_parser = clap::value_parser!(u64).range(6..=3600))]
    seconds: u64,
}

#[derive(Subcommand)]
enum Command {
    /// The whole system instead: three core machines, two fronts, stand-in upstreams and an operator; a configuration changes,
    /// and a core machine is killed.
    System,
}

fn main() -> ExitCode {
    // The system's processes are this program again.
    if let Some(code) = woadstall_node::cli::run() {
        return code;
    }
    let arguments = Arguments::parse();
    let shown = match arguments.command {
        Some(Command::System) => system::show(),
        None => fleet::show(arguments.seconds),
    };
    match shown {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
