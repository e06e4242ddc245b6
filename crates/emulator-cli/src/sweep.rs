//! Runs the jobs of a sweep in parallel. Rows are written in the order of the jobs and without gaps, so that an
//! interrupted sweep can be resumed.

use indicatif::{ProgressBar, ProgressStyle};
use std::collections::BTreeMap;
use std::fs::{File, OpenOptions};
use std::io::{self, BufWriter, Write};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc;
use woadstall_emulator_cli::grid::Job;
use woadstall_emulator_cli::rows::{self, Row, RowError};

/// Options of a sweep.
pub struct Options {
    /// Path of the output file, which has one row as JSON on each line.
    pub output_path: PathBuf,
    /// Whether rows include their timelines, which take several hundred KB per run.
    pub timeline: bool,
    /// Number of threads; 0 means one thread per core.
    pub threads: usize,
}

/// The outcome of a sweep.
#[derive(Debug, PartialEq, Eq)]
pub struct SweepOutcome {
    /// Number of rows in the file at the end of the sweep.
    pub rows: usize,
    /// Number of rows that were in the file before the sweep.
    pub existing_rows: usize,
    /// Number of rule breaches in the rows that this sweep added.
    pub breaches: u64,
}

/// The reason why a sweep failed.
#[derive(Debug, thiserror::Error)]
pub enum SweepError {
    /// The existing rows could not be read, or a new row could not be serialized as JSON.
    #[error(transparent)]
    Rows(#[from] RowError),
    /// The file has more rows than the sweep has runs.
    #[error("{path}: has {rows} rows, of {jobs} of this sweep")]
    TooManyRows {
        /// Path of the file.
        path: String,
        /// Number of rows in the file.
        rows: usize,
        /// Number of runs in the sweep.
        jobs: usize,
    },
    /// The file contains a row of another sweep.
    #[error("{path}: line {line}: a row of another sweep; name another file")]
    OtherSweep {
        /// Path of the file.
        path: String,
        /// Line number, counted from 1.
        line: usize,
    },
    /// The file contains a row written by another build of this program.
    #[error("{path}: line {line}: a row of another build, {commit}")]
    OtherBuild {
        /// Path of the file.
        path: String,
        /// Line number, counted from 1.
        line: usize,
        /// The commit of the build that wrote the row.
        commit: String,
    },
    /// The file could not be read or written.
    #[error("{path}: {source}")]
    File {
        /// Path of the file.
        path: String,
        /// Error of the failed system call.
        source: io::Error,
    },
    /// The thread pool could not be started.
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

/// Runs the jobs that have no row in the file yet. The rows in the file must belong to the first jobs, in the same
/// order.
///
/// # Errors
///
/// Fails if the file has other rows, or cannot be read or written; see [`SweepError`].
pub fn sweep(
    jobs: &[Job],
    options: &Options,
    stop: &AtomicBool,
) -> Result<SweepOutcome, SweepError> {
    let path = options.output_path.as_path();
    let existing_rows = count_existing_rows(jobs, path)?;
    let file = open_after(path, existing_rows).map_err(|source| SweepError::file(path, source))?;
    let progress = progress_bar(jobs.len(), existing_rows);
    let pool = rayon::ThreadPoolBuilder::new()
        .num_threads(options.threads)
        .build()?;
    let (sender, receiver) = mpsc::channel::<(usize, Row)>();
    let outcome = std::thread::scope(|scope| {
        let progress = &progress;
        scope.spawn(move || {
            // First-in, first-out order keeps rows close to the order of the jobs, so that an interrupt loses the
            // fewest finished rows.
            pool.scope_fifo(|scope| {
                for (number, job) in jobs.iter().enumerate().skip(existing_rows) {
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
        write_in_order(receiver, file, path, existing_rows)
    })?;
    progress.finish_and_clear();
    Ok(outcome)
}

/// Returns the number of rows in the file, after checking that they are the first rows of this sweep.
fn count_existing_rows(jobs: &[Job], path: &Path) -> Result<usize, SweepError> {
    if !path.exists() {
        return Ok(0);
    }
    let rows = rows::read(path)?;
    let path = || path.display().to_string();
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

/// Opens the file for appending after its first `row_count` rows. The file is first rewritten without later text, since
/// its last line may be incomplete.
fn open_after(path: &Path, row_count: usize) -> io::Result<File> {
    let text = if row_count > 0 {
        std::fs::read_to_string(path)?
    } else {
        String::new()
    };
    let lines = text.lines().take(row_count);
    let complete: String = lines.map(|line| format!("{line}\n")).collect();
    let temporary = path.with_extension("part");
    std::fs::write(&temporary, complete)?;
    std::fs::rename(&temporary, path)?;
    OpenOptions::new().append(true).open(path)
}

fn progress_bar(job_count: usize, existing_rows: usize) -> ProgressBar {
    let progress = ProgressBar::new(job_count as u64);
    let style = ProgressStyle::with_template("{wide_bar} {pos}/{len} runs, {eta} left");
    progress.set_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()));
    progress.set_position(existing_rows as u64);
    progress.reset_eta();
    progress
}

/// Appends rows in the order of their jobs. A row is held in memory until all rows before it are written.
fn write_in_order(
    receiver: mpsc::Receiver<(usize, Row)>,
    file: File,
    path: &Path,
    existing_rows: usize,
) -> Result<SweepOutcome, SweepError> {
    let mut outcome = SweepOutcome {
        rows: existing_rows,
        existing_rows,
        breaches: 0,
    };
    let mut file = BufWriter::new(file);
    let mut held_rows: BTreeMap<usize, Row> = BTreeMap::new();
    for (number, row) in receiver {
        held_rows.insert(number, row);
        while let Some(row) = held_rows.remove(&outcome.rows) {
            outcome.rows += 1;
            outcome.breaches += row.end.breach_count();
            let line = row.line().map_err(RowError::Json)?;
            writeln!(file, "{line}")
                .and_then(|()| file.flush())
                .map_err(|source| SweepError::file(path, source))?;
        }
    }
    Ok(outcome)
}
