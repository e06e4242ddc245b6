//! Many runs on all cores. Their rows are in order and complete, whenever it is interrupted.

use indicatif::{ProgressBar, ProgressStyle};
use std::collections::BTreeMap;
use std::fs::{File, OpenOptions};
use std::io::{self, BufWriter, Write};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc;
use woadstall_emulator_cli::grid::Job;
use woadstall_emulator_cli::rows::{self, Row, RowError};

/// How a sweep is run.
pub struct Options {
    /// Where the rows go, as JSON lines.
    pub out: PathBuf,
    /// Whether rows keep their timelines: some hundred KB a run.
    pub timeline: bool,
    /// Threads; 0 for one a core.
    pub threads: usize,
}

/// How a sweep ended.
#[derive(Debug, PartialEq, Eq)]
pub struct SweepOutcome {
    /// Rows that are in the file now.
    pub rows: usize,
    /// Of them those that were there before.
    pub before: usize,
    /// Breaches of rules in the rows of this sweep.
    pub broken: u64,
}

/// Why a sweep failed.
#[derive(Debug, thiserror::Error)]
pub enum SweepError {
    /// The file's rows could not be read, or one not be written as JSON.
    #[error(transparent)]
    Rows(#[from] RowError),
    /// The file has more rows than the sweep.
    #[error("{path}: has {rows} rows, of {jobs} of this sweep")]
    TooManyRows {
        /// Path of the file.
        path: String,
        /// Its rows.
        rows: usize,
        /// Runs of the sweep.
        jobs: usize,
    },
    /// The file has a row of another sweep.
    #[error("{path}: line {line}: a row of another sweep; name another file")]
    OtherSweep {
        /// Path of the file.
        path: String,
        /// The line, counted from 1.
        line: usize,
    },
    /// The file has a row of another build of this program.
    #[error("{path}: line {line}: a row of another build, {commit}")]
    OtherBuild {
        /// Path of the file.
        path: String,
        /// The line, counted from 1.
        line: usize,
        /// The commit of that build.
        commit: String,
    },
    /// The file could not be read or written.
    #[error("{path}: {source}")]
    File {
        /// Path of the file.
        path: String,
        /// The failed system call.
        source: io::Error,
    },
    /// The threads did not start.
    #[error(transparent)]
    Threads(#[from] rayon::ThreadPoolBuildError),
}

impl SweepError {
    fn file(path: &Path, source: io::Error) -> Self {
        Self::File {
            path: path.display().to_string(),
            source,
        }
    }
}

/// Runs the jobs whose rows are not in the file yet. What is there must be rows of these jobs, in their order.
///
/// # Errors
///
/// Fails if the file has other rows, or cannot be read or written; see [`SweepError`].
pub fn sweep(
    jobs: &[Job],
    options: &Options,
    stop: &AtomicBool,
) -> Result<SweepOutcome, SweepError> {
    let out = options.out.as_path();
    let before = count_rows(jobs, out)?;
    let file = open_after(out, before).map_err(|source| SweepError::file(out, source))?;
    let progress = progress_bar(jobs.len(), before);
    let pool = rayon::ThreadPoolBuilder::new()
        .num_threads(options.threads)
        .build()?;
    let (sender, receiver) = mpsc::channel::<(usize, Row)>();
    let outcome = std::thread::scope(|scope| {
        let progress = &progress;
        scope.spawn(move || {
            // First in, first out: rows come about in their order, and the least is lost when it is stopped.
            pool.scope_fifo(|scope| {
                for (number, job) in jobs.iter().enumerate().skip(before) {
                    let sender = sender.clone();
                    scope.spawn_fifo(move |_| {
                        if !stop.load(Ordering::Relaxed) {
                            let row = Row::run(job, options.timeline);
                            progress.inc(1);
                            drop(sender.send((number, row)));
                        }
                    });
                }
            });
            drop(sender);
        });
        write_in_order(receiver, file, out, before)
    })?;
    progress.finish_and_clear();
    Ok(outcome)
}

/// The rows that the file has already, all of them the first ones of this sweep.
fn count_rows(jobs: &[Job], out: &Path) -> Result<usize, SweepError> {
    if !out.exists() {
        return Ok(0);
    }
    let rows = rows::read(out)?;
    let path = || out.display().to_string();
    if rows.len() > jobs.len() {
        return Err(SweepError::TooManyRows {
            path: path(),
            rows: rows.len(),
            jobs: jobs.len(),
        });
    }
    for (line, (row, job)) in (1..).zip(rows.iter().zip(jobs)) {
        if row.key != job.key() {
            return Err(SweepError::OtherSweep { path: path(), line });
        }
        if row.commit != env!("WOADSTALL_COMMIT") {
            return Err(SweepError::OtherBuild {
                path: path(),
                line,
                commit: row.commit.clone(),
            });
        }
    }
    Ok(rows.len())
}

/// Opens the file to append to its first rows. It is written anew up to there: the last line may be incomplete.
fn open_after(out: &Path, rows: usize) -> io::Result<File> {
    let text = if rows > 0 {
        std::fs::read_to_string(out)?
    } else {
        String::new()
    };
    let lines = text.lines().take(rows);
    let complete: String = lines.map(|line| format!("{line}\n")).collect();
    let temporary = out.with_extension("part");
    std::fs::write(&temporary, complete)?;
    std::fs::rename(&temporary, out)?;
    OpenOptions::new().append(true).open(out)
}

fn progress_bar(jobs: usize, before: usize) -> ProgressBar {
    let progress = ProgressBar::new(jobs as u64);
    let style = ProgressStyle::with_template("{wide_bar} {pos}/{len} runs, {eta} left");
    progress.set_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()));
    progress.set_position(before as u64);
    progress.reset_eta();
    progress
}

/// Appends rows in the order of their jobs; one that comes early waits for those before it.
fn write_in_order(
    receiver: mpsc::Receiver<(usize, Row)>,
    file: File,
    out: &Path,
    before: usize,
) -> Result<SweepOutcome, SweepError> {
    let mut outcome = SweepOutcome {
        rows: before,
        before,
        broken: 0,
    };
    let mut file = BufWriter::new(file);
    let mut early: BTreeMap<usize, Row> = BTreeMap::new();
    for (number, row) in receiver {
        early.insert(number, row);
        while let Some(row) = early.remove(&outcome.rows) {
            outcome.rows += 1;
            outcome.broken += row.end.breach_count();
            let line = row.line().map_err(RowError::Json)?;
            writeln!(file, "{line}")
                .and_then(|()| file.flush())
                .map_err(|source| SweepError::file(out, source))?;
        }
    }
    Ok(outcome)
}
