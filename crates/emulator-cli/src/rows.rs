//! Results as JSON lines: one row per run, with the key that identifies the run.

use crate::grid::{Job, RunKey};
use serde::{Deserialize, Serialize};
use std::fs::{File, OpenOptions};
use std::io::{self, BufRead, BufReader, Write};
use std::path::Path;
use woadstall_emulator::{RunResult, run};

/// Version of the row format; rows with another version are rejected.
const VERSION: u32 = 1;

/// The reason why rows could not be read or written.
#[derive(Debug, thiserror::Error)]
pub enum RowError {
    /// The file could not be opened, read or written.
    #[error("{path}: {source}")]
    File {
        /// Path of the file.
        path: String,
        /// Error of the failed system call.
        source: io::Error,
    },
    /// A line could not be parsed as a row.
    #[error("{path}: line {line}: {source}")]
    Line {
        /// Path of the file.
        path: String,
        /// Line number, counted from 1.
        line: usize,
        /// Error of the parser.
        source: serde_json::Error,
    },
    /// A row has another format version.
    #[error("{path}: line {line}: version {version}, not {VERSION}")]
    Version {
        /// Path of the file.
        path: String,
        /// Line number, counted from 1.
        line: usize,
        /// Format version of the row.
        version: u32,
    },
    /// A row could not be serialized as JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
}

impl RowError {
    fn file(path: &Path, source: io::Error) -> Self {
        Self::File {
            path: path.display().to_string(),
            source,
        }
    }
}

/// One run and its result.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Row {
    /// Version of the row format.
    pub version: u32,
    /// The commit that the program was built from.
    pub commit: String,
    /// The key that identifies the run.
    #[serde(flatten)]
    pub key: RunKey,
    /// Delays of the load generator; present only for runs on real sockets.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub lag: Option<Lag>,
    /// The result of the run.
    pub end: RunResult,
}

/// Delays with which a load generator on real sockets started its calls. The latency of a late call is still measured
/// from its scheduled time.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Lag {
    /// Number of calls that started more than 5 ms late.
    pub late: u64,
    /// Number of all calls.
    pub calls: u64,
    /// The longest delay, in milliseconds.
    pub worst_ms: f64,
}

impl Row {
    /// Runs a job and returns its row. A row without a timeline takes several hundred bytes.
    pub fn run(job: &Job, timeline: bool) -> Self {
        let mut end = run(&job.scenario, job.policy, job.seed);
        if !timeline {
            end.timeline.clear();
        }
        Self::new(job.key(), end, None)
    }

    /// Creates a row for a result.
    pub fn new(key: RunKey, end: RunResult, lag: Option<Lag>) -> Self {
        Self {
            version: VERSION,
            commit: env!("WOADSTALL_COMMIT").to_owned(),
            key,
            lag,
            end,
        }
    }

    /// Returns the row as one line of JSON, without a line break.
    ///
    /// # Errors
    ///
    /// Returns an error if the row cannot be serialized as JSON.
    pub fn line(&self) -> Result<String, serde_json::Error> {
        serde_json::to_string(self)
    }

    /// Appends the row to a file of rows.
    ///
    /// # Errors
    ///
    /// Returns [`RowError::Json`] or [`RowError::File`].
    pub fn append(&self, path: &Path) -> Result<(), RowError> {
        let line = self.line()?;
        let file = OpenOptions::new().create(true).append(true).open(path);
        let written = file.and_then(|mut file| writeln!(file, "{line}"));
        written.map_err(|source| RowError::file(path, source))
    }

    /// Returns the overrides as text, for example `limits.attempts=2 time=30s`.
    pub fn set(&self) -> String {
        let set: Vec<_> = self
            .key
            .set
            .iter()
            .map(|(key, value)| format!("{key}={value}"))
            .collect();
        set.join(" ")
    }
}

/// Reads the rows of a file. An incomplete last line is ignored, since a killed writer may leave one.
///
/// # Errors
///
/// Returns [`RowError::File`] if the file cannot be read, and [`RowError::Line`] or [`RowError::Version`] for the first
/// invalid line.
pub fn read(path: &Path) -> Result<Vec<Row>, RowError> {
    let file = File::open(path).map_err(|source| RowError::file(path, source))?;
    let lines: Result<Vec<String>, _> = BufReader::new(file).lines().collect();
    let lines = lines.map_err(|source| RowError::file(path, source))?;
    let mut rows = Vec::new();
    for (line, text) in (1..).zip(&lines) {
        match serde_json::from_str::<Row>(text) {
            Ok(row) if row.version == VERSION => rows.push(row),
            Ok(row) => {
                return Err(RowError::Version {
                    path: path.display().to_string(),
                    line,
                    version: row.version,
                });
            }
            Err(error) if line == lines.len() && error.is_eof() => {}
            Err(source) => {
                return Err(RowError::Line {
                    path: path.display().to_string(),
                    line,
                    source,
                });
            }
        }
    }
    Ok(rows)
}
