//! One command that shows the main job: stand-in nodos, discovery, the daemon and a plug-in client, all on
//! loopback, serving mixed traffic. Half-way one nodo dies, and comes back cold. At the end it prints who served
//! what by each path, and whether the four rules held as far as callers and nodos can tell.
//!
//! `cargo run --release -p woadstall-demo [SECONDS]`

#![forbid(unsafe_code)]

mod system;

use clap::{Parser, Subcommand};
use std::process::ExitCode;
use woadstall_emulator::{Scenario, Span};
use woadstall_load_test::{Path, Played, run};

/// What is played, with times for a minute.
const SCENARIO: &str = include_str!("../demo.toml");

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

/// The scenario, pressed into so many seconds.
fn scenario(seconds: u64) -> Result<Scenario, String> {
    let mut scenario = Scenario::read(SCENARIO).map_err(|error| error.to_string())?;
    let press = |span: Span| Span::from_seconds(span.seconds() * seconds as f64 / 60.0);
    scenario.time = press(scenario.time);
    for fault in &mut scenario.fault {
        (fault.at, fault.until) = (press(fault.at), fault.until.map(press));
    }
    scenario.check().map_err(|error| error.to_string())?;
    Ok(scenario)
}

fn tell(played: &Played) {
    println!(
        "\n{:<8} {:<14} {:<8} {:>8}",
        "path", "class", "answer", "requests"
    );
    for ((path, class, heard), requests) in &played.tally {
        println!("{path:<8} {class:<14} {heard:<8} {requests:>8}");
    }
    println!(
        "\n{:<8} {:>6} {:>6} {:>12}",
        "nodo", "came", "ran", "turned away"
    );
    for nodo in &played.nodos {
        println!(
            "{:<8} {:>6} {:>6} {:>12}",
            nodo.name, nodo.came, nodo.ran, nodo.turned_away
        );
    }
    let (counts, latency) = (&played.end.counts, &played.end.latency);
    println!(
        "\n{} calls: {} on time, {} late, {} refused, {} failed; p50 {:.0} ms, p99 {:.0} ms",
        counts.offered,
        counts.on_time,
        counts.late,
        counts.refused,
        counts.failed,
        latency.p50,
        latency.p99
    );
    for (rule, count) in &played.end.breaches {
        println!(
            "{rule}: {}",
            if *count == 0 {
                "kept".to_owned()
            } else {
                format!("BROKEN {count} times")
            }
        );
    }
    played
        .end
        .first_breaches
        .iter()
        .for_each(|breach| println!("  {}", breach.text));
}

fn demo(seconds: u64) -> Result<bool, String> {
    let scenario = scenario(seconds)?;
    let tier = &scenario.tier[0];
    println!(
        "{} nodos, {:.0} calls a second by {} daemon and {} plug-in, for {seconds} s; one nodo dies half-way, and\n\
         comes back cold",
        tier.upstreams,
        scenario.callers[0].load.most(),
        tier.balancers,
        tier.balancers
    );
    let runtime = tokio::runtime::Runtime::new().map_err(|error| error.to_string())?;
    let played = runtime.block_on(run(scenario, Path::Both, 1))?;
    tell(&played);
    let counts = &played.end.counts;
    let all = counts.on_time + counts.late + counts.refused + counts.failed == counts.offered;
    Ok(played.end.broken() == 0 && all)
}

fn main() -> ExitCode {
    // The system's processes are this program again.
    if let Some(code) = woadstall_node::cli::run() {
        return code;
    }
    let arguments = Arguments::parse();
    let shown = match arguments.command {
        Some(Command::System) => system::show(),
        None => demo(arguments.seconds),
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
