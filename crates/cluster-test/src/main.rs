//! Scenarios with many processes of the program, and faults between them.
//!
//! Exit codes: 0 all kept; 1 a rule or a bound was broken, a process crashed, or `compare` found the two too far
//! apart; 2 the command line is at fault; 3 a file, a scenario or a program is; 4 the machine was too slow, so that
//! there is no verdict; 130 interrupted.

#![forbid(unsafe_code)]

use clap::{Parser, Subcommand};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use tokio::signal::unix::{SignalKind, signal};
use tracing::{error, info, warn};
use woadstall_cluster_test::launch::{Limits, launch};
use woadstall_cluster_test::play::Failure;
use woadstall_cluster_test::{Options, Sabotage, check, leftovers, play, tell};
use woadstall_emulator_cli::grid::{self, Key, Set, Source};
use woadstall_emulator_cli::log::Log;
use woadstall_emulator_cli::report::{self, Band};
use woadstall_emulator_cli::rows::{self, Row};

#[derive(Parser)]
#[command(
    version,
    about = "Scenarios with many processes of the program, and faults to them and between them"
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
    /// Play a scenario, and print what came of it.
    Run {
        scenario: PathBuf,
        /// Set a key of the scenario, as in time=10s.
        #[arg(long, value_parser = grid::pair)]
        set: Vec<(String, String)>,
        /// Seed of the random numbers: calls and faults come as in the lab's run of this seed.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// The program; the `woadstall` beside this one, if it is left out.
        #[arg(long)]
        program: Option<PathBuf>,
        /// Break a rule on purpose.
        #[arg(long, value_enum)]
        sabotage: Option<Sabotage>,
        /// Print JSON.
        #[arg(long)]
        json: bool,
        /// Write a page with the time line here.
        #[arg(long)]
        plot: Option<PathBuf>,
        /// Append the row, as the lab writes them, to this file.
        #[arg(long)]
        out: Option<PathBuf>,
        /// Keep the processes' logs also where all went well.
        #[arg(long)]
        keep: bool,
    },
    /// Put a scenario's rows of the lab and of the rig side by side.
    Compare {
        lab: PathBuf,
        rig: PathBuf,
        /// How far apart the parts of the worth served may be on average.
        #[arg(long, default_value_t = 0.05)]
        within: f64,
        /// Write a page with both time lines here.
        #[arg(long)]
        plot: Option<PathBuf>,
    },
    /// Check whether scenarios can be played here.
    Check {
        #[arg(required = true)]
        scenarios: Vec<PathBuf>,
    },
    /// End what earlier runs have left behind, if any.
    Clean,
    /// What the rig starts its processes by.
    #[command(hide = true)]
    Launch {
        #[arg(long)]
        parent: i32,
        #[arg(long)]
        sockets: u64,
        #[arg(long)]
        memory_mb: u64,
        program: PathBuf,
    },
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

/// The program that was built with this one.
fn beside() -> Result<PathBuf, String> {
    let own = std::env::current_exe().map_err(|error| error.to_string())?;
    let program = own.with_file_name("woadstall");
    match program.is_file() {
        true => Ok(program),
        false => Err(format!(
            "{}: not there; build it with `cargo build --release`, or name one with `--program`",
            program.display()
        )),
    }
}

fn clean() -> Result<usize, String> {
    let left = leftovers(&std::env::temp_dir()).map_err(|error| error.to_string())?;
    for left in &left {
        let names: Vec<&str> = left
            .processes
            .iter()
            .map(|(_, name)| name.as_str())
            .collect();
        warn!(folder = %left.folder.display(), ended = names.len(), "an earlier run had left this behind");
    }
    Ok(left.len())
}

fn act(command: Command) -> Result<u8, Box<dyn std::error::Error>> {
    match command {
        Command::Run {
            scenario,
            set,
            seed,
            program,
            sabotage,
            json,
            plot,
            out,
            keep,
        } => {
            let set: Set = set.into_iter().collect();
            let (scenario, digest) = Source::read(&scenario)?.with(&set)?;
            check(&scenario)?;
            clean()?;
            let program = program.map_or_else(beside, Ok)?;
            let program = program
                .canonicalize()
                .map_err(|error| format!("{}: {error}", program.display()))?;
            let launcher = std::env::current_exe().map_err(|error| error.to_string())?;
            let options = Options {
                program,
                launcher,
                seed,
                sabotage,
                keep,
                progress: !json,
            };
            let runtime = tokio::runtime::Runtime::new().map_err(|error| error.to_string())?;
            let played = runtime.block_on(async {
                let end = |kind| signal(kind).map_err(|error| error.to_string());
                let (mut told, mut asked) =
                    (end(SignalKind::terminate())?, end(SignalKind::interrupt())?);
                // What is dropped here ends all processes.
                tokio::select! {
                    played = play(scenario.clone(), &options) => Ok::<_, String>(Some(played)),
                    _ = told.recv() => Ok(None),
                    _ = asked.recv() => Ok(None),
                }
            })?;
            drop(runtime);
            if options.progress {
                eprintln!();
            }
            let played = match played {
                None => return Ok(130),
                Some(Err(Failure::Wrong(text))) => return Err(text.into()),
                Some(Err(Failure::TooSlow(text))) => {
                    warn!("too slow, no verdict: {text}");
                    return Ok(4);
                }
                Some(Ok(played)) => played,
            };
            let key = Key {
                scenario: scenario.name.clone(),
                digest,
                set,
                policy: "rig".into(),
                seed,
            };
            let row = Row::new(key, played.end.clone(), Some(played.lag.clone()));
            match json {
                true => println!("{}", tell::json(&played, &row)),
                false => print!("{}", tell::text(&played, &row)),
            }
            if let Some(out) = out {
                row.append(&out)?;
            }
            if let Some(plot) = plot {
                report::write(&plot, &report::page(&[row], &Band::of(&scenario))?)?;
            }
            if let Some(logs) = &played.logs {
                info!(folder = %logs.display(), "the processes' logs are kept");
            }
            match (played.too_slow(), played.is_kept()) {
                (Some(text), _) => {
                    warn!("too slow, no verdict: {text}");
                    Ok(4)
                }
                (None, kept) => Ok(u8::from(!kept)),
            }
        }
        Command::Compare {
            lab,
            rig,
            within,
            plot,
        } => {
            let (lab, rig) = (last(&lab)?, last(&rig)?);
            let distance = tell::compare(&lab, &rig)?;
            println!("{:>8} {:>8} {:>8} {:>8}", "until s", "lab", "rig", "apart");
            for (until, lab, rig) in &distance.steps {
                println!("{until:>8.0} {lab:>8.3} {rig:>8.3} {:>+8.3}", rig - lab);
            }
            let ((lab_served, rig_served), (lab_refused, rig_refused)) =
                (distance.served, distance.refused);
            println!("served   {lab_served:.3} in the lab, {rig_served:.3} in the rig");
            println!("refused  {lab_refused:.3} in the lab, {rig_refused:.3} in the rig");
            let (until, worst) = distance.worst;
            println!(
                "apart    {:.3} on average, {worst:.3} in the step until {until:.0} s",
                distance.mean
            );
            if let Some(plot) = plot {
                report::write(&plot, &report::page(&[lab, rig], &[])?)?;
            }
            Ok(u8::from(distance.mean > within))
        }
        Command::Check { scenarios } => {
            for path in &scenarios {
                let (scenario, _) = Source::read(path)?.with(&Set::new())?;
                check(&scenario).map_err(|error| format!("{}: {error}", path.display()))?;
                println!("{}: can be played", path.display());
            }
            Ok(0)
        }
        Command::Clean => {
            let left = clean()?;
            println!("{left} earlier runs had left something behind");
            Ok(0)
        }
        Command::Launch {
            parent,
            sockets,
            memory_mb,
            program,
        } => Err(launch(parent, Limits { sockets, memory_mb }, &program).into()),
    }
}

/// The last row of a file.
fn last(path: &Path) -> Result<Row, Box<dyn std::error::Error>> {
    rows::read(path)?
        .pop()
        .ok_or_else(|| format!("{}: no rows", path.display()).into())
}
