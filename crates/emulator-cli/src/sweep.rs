//! Many runs on all cores, their rows in order and whole, whenever it is cut short.

use indicatif::{ProgressBar, ProgressStyle};
use std::collections::BTreeMap;
use std::fs::OpenOptions;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc;
use woadstall_emulator_cli::grid::Job;
use woadstall_emulator_cli::rows::{self, Row};

/// How a sweep ended.
#[derive(Debug, PartialEq, Eq)]
pub struct Swept {
    /// Rows that are in the file now.
    pub rows: usize,
    /// Of them those that were there before.
    pub before: usize,
    /// Breaches of rules in the rows of this sweep.
    pub broken: u64,
}

/// Runs the jobs whose rows are not in the file yet. What is there must be rows of these jobs, in their order.
pub fn sweep(
    jobs: &[Job],
    out: &Path,
    timeline: bool,
    threads: usize,
    stop: &AtomicBool,
) -> Result<Swept, String> {
    let name = out.display();
    let there = if out.exists() {
        rows::read(out)?
    } else {
        Vec::new()
    };
    if there.len() > jobs.len() {
        return Err(format!(
            "{name}: has {} rows, of {} of this sweep",
            there.len(),
            jobs.len()
        ));
    }
    for (at, (row, job)) in there.iter().zip(jobs).enumerate() {
        if row.key != job.key() {
            return Err(format!(
                "{name}: line {}: a row of another sweep; name another file",
                at + 1
            ));
        }
        if row.commit != env!("WOADSTALL_COMMIT") {
            return Err(format!(
                "{name}: line {}: a row of another build, {}",
                at + 1,
                row.commit
            ));
        }
    }
    let before = there.len();
    // Written anew as far as it is whole: the last line may be a part of a row.
    let temporary = out.with_extension("part");
    let error = |error: std::io::Error| format!("{name}: {error}");
    let text = if before > 0 {
        std::fs::read_to_string(out).map_err(error)?
    } else {
        String::new()
    };
    let whole: String = text
        .lines()
        .take(before)
        .map(|line| format!("{line}\n"))
        .collect();
    std::fs::write(&temporary, whole)
        .and_then(|()| std::fs::rename(&temporary, out))
        .map_err(error)?;
    let file = OpenOptions::new().append(true).open(out).map_err(error)?;
    let progress = ProgressBar::new(jobs.len() as u64);
    let style = ProgressStyle::with_template("{wide_bar} {pos}/{len} runs, {eta} left");
    progress.set_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()));
    progress.set_position(before as u64);
    progress.reset_eta();
    let pool = rayon::ThreadPoolBuilder::new()
        .num_threads(threads)
        .build()
        .map_err(|e| e.to_string())?;
    let (sender, receiver) = mpsc::channel::<(usize, Row)>();
    let mut swept = Swept {
        rows: before,
        before,
        broken: 0,
    };
    let (swept_ref, progress) = (&mut swept, &progress);
    let written: Result<(), String> = std::thread::scope(|scope| {
        scope.spawn(move || {
            // First in, first out: rows come about in their order, and the least is lost when it is stopped.
            pool.scope_fifo(|scope| {
                for (at, job) in jobs.iter().enumerate().skip(before) {
                    let sender = sender.clone();
                    scope.spawn_fifo(move |_| {
                        if !stop.load(Ordering::Relaxed) {
                            let row = Row::run(job, timeline);
                            progress.inc(1);
                            drop(sender.send((at, row)));
                        }
                    });
                }
            });
            drop(sender);
        });
        let mut file = BufWriter::new(file);
        let mut early: BTreeMap<usize, Row> = BTreeMap::new();
        for (at, row) in receiver {
            early.insert(at, row);
            while let Some(row) = early.remove(&swept_ref.rows) {
                swept_ref.rows += 1;
                swept_ref.broken += row.end.broken();
                let line = row.line()?;
                writeln!(file, "{line}")
                    .and_then(|()| file.flush())
                    .map_err(|e| format!("{name}: {e}"))?;
            }
        }
        Ok(())
    });
    written?;
    progress.finish_and_clear();
    Ok(swept)
}
