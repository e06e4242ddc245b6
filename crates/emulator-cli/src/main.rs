//! Experiments over emulated fleets.
//!
//! Exit codes: 0 all well; 1 a rule or a bound was broken in a run, or a comparison is surely worse with `--fail-worse`;
//! 2 the command line is at fault; 3 a file or a scenario is; 130 interrupted (what is written is whole).

#![forbid(unsafe_code)]

mod sweep;

use clap::{Args, Parser, Subcommand};
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use tracing::{error, info, warn};
use woadstall_emulator::{Policy, RunResult, World};
use woadstall_emulator_cli::compare::{self, Figure};
use woadstall_emulator_cli::grid::{self, Set, Source};
use woadstall_emulator_cli::log::Log;
use woadstall_emulator_cli::report::{self, Band};
use woadstall_emulator_cli::rows::{self, Row};

#[derive(Parser)]
#[command(
    version,
    about = "Experiments over emulated fleets, round the real engine and module"
)]
struct Arguments {
    /// Form of the log lines, which go to standard error.
    #[arg(long, global = true, value_enum, default_value_t = Log::Text)]
    log: Log,
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Play a scenario once, and print what came of it.
    Run {
        scenario: PathBuf,
        #[command(flatten)]
        with: With,
        /// Seed of the random numbers.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Who decides: woadstall, or a rival such as peak-ewma+outlier+budget.
        #[arg(long, default_value = "woadstall")]
        policy: Policy,
        /// Print the row as JSON.
        #[arg(long)]
        json: bool,
        /// Write a report with plots here.
        #[arg(long)]
        plot: Option<PathBuf>,
    },
    /// Play scenarios with all combinations of policies, keys and seeds, on all cores. Goes on where a sweep of
    /// the same was stopped.
    Sweep {
        #[arg(required = true)]
        scenarios: Vec<PathBuf>,
        #[command(flatten)]
        with: With,
        /// Values of a key, as in limits.attempts=2,4,6; several of these are combined.
        #[arg(long, value_parser = grid::pair)]
        vary: Vec<(String, String)>,
        /// Seeds, as in 1..10.
        #[arg(long, default_value = "1..10")]
        seeds: String,
        /// Policies, behind commas.
        #[arg(long, value_delimiter = ',', default_value = "woadstall")]
        policies: Vec<Policy>,
        /// Where the rows go, as JSON lines.
        #[arg(long)]
        out: PathBuf,
        /// Keep the timelines, which reports draw: some hundred KB a run.
        #[arg(long)]
        timeline: bool,
        /// Threads; 0 for one a core.
        #[arg(long, default_value_t = 0)]
        threads: usize,
    },
    /// Compare two policies in one file, or two files: differences paired by seed.
    Compare {
        left: PathBuf,
        /// The other file; the same, if it is left out.
        right: Option<PathBuf>,
        /// Policy of the left side; needed where its file has several.
        #[arg(long)]
        left_policy: Option<Policy>,
        /// Policy of the right side.
        #[arg(long)]
        right_policy: Option<Policy>,
        /// What is compared.
        #[arg(long, value_enum, default_value_t = Figure::Score)]
        figure: Figure,
        /// Print JSON.
        #[arg(long)]
        json: bool,
        /// Exit with 1 if the right side's score (or worth served) is surely lower in a scenario.
        #[arg(long)]
        fail_worse: bool,
    },
    /// Write tables and plots of results as one HTML file.
    Report {
        #[arg(required = true)]
        results: Vec<PathBuf>,
        #[arg(long)]
        out: PathBuf,
        /// Write each plot as an SVG file of its own into this folder, too.
        #[arg(long)]
        svg: Option<PathBuf>,
    },
    /// Tell the story of one call of a run: its number is in a breach.
    Explain {
        scenario: PathBuf,
        call: u64,
        #[command(flatten)]
        with: With,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        #[arg(long, default_value = "woadstall")]
        policy: Policy,
    },
    /// Check scenarios.
    Check {
        #[arg(required = true)]
        scenarios: Vec<PathBuf>,
    },
}

#[derive(Args)]
struct With {
    /// Set a key of the scenario, as in tier.0.nodos=500 or time=30s.
    #[arg(long, value_parser = grid::pair)]
    set: Vec<(String, String)>,
}

impl With {
    fn set(&self) -> Set {
        self.set.iter().cloned().collect()
    }
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    arguments.log.start();
    match act(arguments.command) {
        Ok(code) => ExitCode::from(code),
        Err(text) => {
            error!("{text}");
            ExitCode::from(3)
        }
    }
}

fn act(command: Command) -> Result<u8, String> {
    match command {
        Command::Run {
            scenario,
            with,
            seed,
            policy,
            json,
            plot,
        } => {
            let (scenario, digest) = Source::read(&scenario)?.with(&with.set())?;
            let job = grid::Job {
                scenario,
                digest,
                set: with.set(),
                policy,
                seed,
            };
            let row = Row::run(&job, plot.is_some() || json);
            match json {
                true => println!("{}", row.line()?),
                false => tell(&row),
            }
            let kept = row.end.is_kept();
            if let Some(plot) = plot {
                report::write(&plot, &report::page(&[row], &Band::of(&job.scenario))?)?;
            }
            Ok(u8::from(!kept))
        }
        Command::Sweep {
            scenarios,
            with,
            vary,
            seeds,
            policies,
            out,
            timeline,
            threads,
        } => {
            let sources = scenarios
                .iter()
                .map(|path| Source::read(path))
                .collect::<Result<Vec<_>, _>>()?;
            let sets = grid::combinations(&with.set(), &vary);
            let jobs = grid::jobs(&sources, &sets, &policies, &grid::seeds(&seeds)?)?;
            let stop = Arc::new(AtomicBool::new(false));
            let stopping = stop.clone();
            let stops = ctrlc::set_handler(move || stopping.store(true, Ordering::Relaxed));
            stops.map_err(|error| error.to_string())?;
            let swept = sweep::sweep(&jobs, &out, timeline, threads, &stop)?;
            let (rows, before) = (swept.rows, swept.before);
            if rows < jobs.len() {
                warn!(
                    rows,
                    of = jobs.len(),
                    "stopped; the same command goes on from here"
                );
                return Ok(130);
            }
            info!(rows, before, broken = swept.broken, file = %out.display(), "done");
            Ok(u8::from(swept.broken > 0))
        }
        Command::Compare {
            left,
            right,
            left_policy,
            right_policy,
            figure,
            json,
            fail_worse,
        } => {
            let left_rows = rows::read(&left)?;
            let right_rows = rows::read(right.as_ref().unwrap_or(&left))?;
            let (left, right) = (
                side(&left_rows, left_policy)?,
                side(&right_rows, right_policy)?,
            );
            let differences = compare::compare(&left, &right, figure)?;
            if json {
                let text =
                    serde_json::to_string(&differences).map_err(|error| error.to_string())?;
                println!("{text}");
            } else {
                tell_differences(&differences);
            }
            let better = matches!(figure, Figure::Score | Figure::Served);
            let worse =
                |row: &compare::Difference| row.is_sure() && (row.difference < 0.0) == better;
            Ok(u8::from(fail_worse && differences.iter().any(worse)))
        }
        Command::Report { results, out, svg } => {
            let rows = results
                .iter()
                .map(|path| rows::read(path))
                .collect::<Result<Vec<_>, _>>()?
                .concat();
            let page = report::page(&rows, &[])?;
            report::write(&out, &page)?;
            if let Some(folder) = svg {
                std::fs::create_dir_all(&folder)
                    .map_err(|error| format!("{}: {error}", folder.display()))?;
                for (number, plot) in report::svgs(&page).enumerate() {
                    report::write(&folder.join(format!("plot-{:03}.svg", number + 1)), plot)?;
                }
            }
            Ok(0)
        }
        Command::Explain {
            scenario,
            call,
            with,
            seed,
            policy,
        } => {
            let (scenario, _) = Source::read(&scenario)?.with(&with.set())?;
            let mut world = World::new(&scenario, policy, seed);
            world.follow(call);
            let end = world.run();
            if end.story.is_empty() {
                return Err(format!("there is no call {call} in this run"));
            }
            for (at, text) in &end.story {
                println!("{:>12.6} s  {text}", *at as f64 / 1e9);
            }
            Ok(0)
        }
        Command::Check { scenarios } => {
            for path in &scenarios {
                Source::read(path)?;
                println!("{}: sound", path.display());
            }
            Ok(0)
        }
    }
}

/// The rows of one policy.
fn side(rows: &[Row], policy: Option<Policy>) -> Result<Vec<&Row>, String> {
    let policy = policy.map(|policy| policy.to_string());
    let chosen = |row: &&Row| {
        policy
            .as_ref()
            .is_none_or(|policy| *policy == row.key.policy)
    };
    let chosen: Vec<&Row> = rows.iter().filter(chosen).collect();
    let first = chosen.first().ok_or("no rows of that policy")?;
    match chosen.iter().find(|row| row.key.policy != first.key.policy) {
        Some(other) => Err(format!(
            "rows of {} and {}: name one",
            first.key.policy, other.key.policy
        )),
        None => Ok(chosen),
    }
}

fn tell(row: &Row) {
    let RunResult {
        counts, latency, ..
    } = &row.end;
    println!(
        "{}, {}, seed {} {}",
        row.key.scenario,
        row.key.policy,
        row.key.seed,
        row.set()
    );
    println!("  worth served   {:.3} of what was offered", row.end.served);
    println!(
        "  score          {:.3} of what a fluid bound allows ({:.3})",
        row.end.score, row.end.bound
    );
    println!(
        "  calls          {} offered, {} on time, {} late, {} refused, {} failed",
        counts.offered, counts.on_time, counts.late, counts.refused, counts.failed
    );
    println!(
        "  attempts       {}, of these {} repeats and {} across zones, for {} requests",
        counts.attempts, counts.repeats, counts.crossings, counts.requests
    );
    println!(
        "  latency        p50 {:.0} ms, p90 {:.0}, p99 {:.0}, p99.9 {:.0}, longest {:.0}",
        latency.p50, latency.p90, latency.p99, latency.p999, latency.max
    );
    if !row.end.prices.is_empty() {
        println!(
            "  {:<12} {:<25} {:>9} {:>10}  largest sender  worst second",
            "prices", "", "total", "a request"
        );
    }
    for price in &row.end.prices {
        let ((sender, part), (second, count)) = (price.largest, price.worst);
        println!(
            "  {:<12} {:<25} {:>9} {:>10.4}  {:>6} {:>6.1}%  {:>6} {:>5}",
            price.tier,
            price.price.to_string(),
            price.total,
            price.each,
            sender,
            100.0 * part,
            second,
            count
        );
    }
    report::kept(&row.end).for_each(|line| println!("{line}"));
    for breach in &row.end.first_breaches {
        let call = breach
            .call
            .map_or(String::new(), |call| format!(", call {call}"));
        println!(
            "    {:.6} s, seed {}{call}: {}",
            breach.at as f64 / 1e9,
            row.key.seed,
            breach.text
        );
    }
}

fn tell_differences(differences: &[compare::Difference]) {
    println!(
        "{:<24} {:>6} {:>9} {:>9} {:>11}  95%",
        "scenario", "pairs", "left", "right", "difference"
    );
    for row in differences {
        let set: Vec<_> = row
            .set
            .iter()
            .map(|(key, value)| format!("{key}={value}"))
            .collect();
        let (low, high) = row.interval;
        println!(
            "{:<24} {:>6} {:>9.4} {:>9.4} {:>+11.4}  {low:+.4} to {high:+.4}{} {}",
            row.scenario,
            row.pairs,
            row.left,
            row.right,
            row.difference,
            if row.is_sure() {
                ""
            } else {
                "  (may be chance)"
            },
            set.join(" ")
        );
    }
}
