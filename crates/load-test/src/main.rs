//! The lab's scenarios on real sockets of this machine.
//!
//! Exit codes: 0 all well; 1 a rule was broken; 2 the command line is at fault; 3 a file or a scenario is, or
//! something could not be started; 4 this program was itself too slow for the figures to be taken at their word.

#![forbid(unsafe_code)]

use clap::{Parser, ValueEnum};
use hdrhistogram::Histogram;
use hdrhistogram::serialization::V2DeflateSerializer;
use hdrhistogram::serialization::interval_log::IntervalLogWriterBuilder;
use std::io::Write;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::{Duration, SystemTime};
use tracing::{error, info, warn};
use woadstall_emulator::RunResult;
use woadstall_emulator_cli::grid::{self, Key, Set, Source};
use woadstall_emulator_cli::log::Log;
use woadstall_emulator_cli::report;
use woadstall_emulator_cli::rows::{Lag, Row};
use woadstall_load_test::{Path, Played, run};

/// Part of the calls that may begin late before the figures are doubted.
const LATE_PART: f64 = 0.01;

#[derive(Parser)]
#[command(
    version,
    about = "The lab's scenarios on real sockets: callers, stand-in nodos, daemons or plug-ins"
)]
struct Arguments {
    scenario: PathBuf,
    /// What callers go through: daemons over HTTP/1.1, plug-ins over gRPC, or both, started here.
    #[arg(long, value_enum, default_value_t = Through::Daemon)]
    through: Through,
    /// Addresses of daemons that run already, on this machine; then nothing is started here.
    #[arg(long, conflicts_with = "through")]
    target: Vec<SocketAddr>,
    /// Set a key of the scenario, as in time=10s.
    #[arg(long, value_parser = grid::pair)]
    set: Vec<(String, String)>,
    /// Seed of the random numbers: the calls come as in the lab's run of this seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Append the row, as the lab writes them, to this file.
    #[arg(long)]
    out: Option<PathBuf>,
    /// Write the latencies here, step by step, in HdrHistogram's log format.
    #[arg(long)]
    hdr: Option<PathBuf>,
    /// Print the row as JSON.
    #[arg(long)]
    json: bool,
    /// Form of the log lines, which go to standard error.
    #[arg(long, value_enum, default_value_t = Log::Text)]
    log: Log,
}

#[derive(Clone, Copy, PartialEq, Eq, ValueEnum)]
enum Through {
    Daemon,
    Plugin,
    Both,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    arguments.log.start();
    match act(&arguments) {
        Ok(code) => ExitCode::from(code),
        Err(text) => {
            error!("{text}");
            ExitCode::from(3)
        }
    }
}

fn act(arguments: &Arguments) -> Result<u8, Box<dyn std::error::Error>> {
    let set: Set = arguments.set.iter().cloned().collect();
    let (scenario, digest) = Source::read(&arguments.scenario)?.with(&set)?;
    let path = match (arguments.target.as_slice(), arguments.through) {
        ([], Through::Daemon) => Path::Daemon,
        ([], Through::Plugin) => Path::Plugin,
        ([], Through::Both) => Path::Both,
        (targets, _) if targets.iter().all(|target| target.ip().is_loopback()) => {
            Path::Target(targets.to_vec())
        }
        _ => return Err("`--target`: this tool loads this machine only".into()),
    };
    let key = Key {
        scenario: scenario.name.clone(),
        digest,
        set,
        policy: path.name().to_owned(),
        seed: arguments.seed,
    };
    info!(
        scenario = key.scenario,
        through = key.policy,
        "for {:.0} s",
        scenario.time.seconds()
    );
    let started = SystemTime::now();
    let runtime = tokio::runtime::Runtime::new().map_err(|error| error.to_string())?;
    let Played { end, lag, .. } = runtime.block_on(run(scenario, path, arguments.seed))?;
    let row = Row::new(key, end, Some(lag.clone()));
    if let Some(out) = &arguments.out {
        row.append(out)?;
    }
    if let Some(hdr) = &arguments.hdr {
        let written = log_latencies(&row.end, started, hdr);
        written.map_err(|error| format!("{}: {error}", hdr.display()))?;
    }
    match arguments.json {
        true => println!("{}", row.line()?),
        false => tell(&row.end, &lag),
    }
    if lag.late as f64 > LATE_PART * lag.calls as f64 {
        let (late, calls, worst_ms) = (lag.late, lag.calls, lag.worst_ms);
        warn!(
            late,
            calls,
            worst_ms,
            "this program was itself the bottleneck: lower the rate, or free cores"
        );
        return Ok(if row.end.broken() > 0 { 1 } else { 4 });
    }
    Ok(u8::from(row.end.broken() > 0))
}

fn tell(end: &RunResult, lag: &Lag) {
    let (counts, latency) = (&end.counts, &end.latency);
    println!("  worth served   {:.3} of what was offered", end.served);
    println!(
        "  calls          {} offered, {} on time, {} late, {} refused, {} failed",
        counts.offered, counts.on_time, counts.late, counts.refused, counts.failed
    );
    println!(
        "  attempts       {} for {} requests",
        counts.attempts, counts.requests
    );
    println!(
        "  latency        p50 {:.0} ms, p90 {:.0}, p99 {:.0}, p99.9 {:.0}, longest {:.0}",
        latency.p50, latency.p90, latency.p99, latency.p999, latency.max
    );
    println!(
        "  begun late     {} of {}, at worst by {:.1} ms",
        lag.late, lag.calls, lag.worst_ms
    );
    report::kept(end).for_each(|line| println!("{line}"));
    for breach in &end.first_breaches {
        println!("    {:.3} s: {}", breach.at as f64 / 1e9, breach.text);
    }
}

/// HdrHistogram's interval log, version 1.3, in microseconds: one line a step.
fn log_latencies(
    end: &RunResult,
    started: SystemTime,
    path: &std::path::Path,
) -> Result<(), Box<dyn std::error::Error>> {
    let mut file = std::io::BufWriter::new(std::fs::File::create(path)?);
    let mut serializer = V2DeflateSerializer::new();
    let mut log = IntervalLogWriterBuilder::new()
        .add_comment("latency in microseconds, counted from when a call was due")
        .with_start_time(started)
        .with_max_value_divisor(1_000.0)
        .begin_log_with(&mut file, &mut serializer)?;
    let mut before = 0.0;
    for step in &end.steps {
        let mut histogram = Histogram::<u64>::new_with_bounds(1, 3_600_000_000, 2)?;
        for &(micros, count) in &step.latencies {
            histogram.saturating_record_n(micros, count);
        }
        let length = Duration::from_secs_f64((step.until - before).max(0.0));
        log.write_histogram(&histogram, Duration::from_secs_f64(before), length, None)?;
        before = step.until;
    }
    file.flush()?;
    Ok(())
}
