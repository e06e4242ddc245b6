//! Results as JSON lines: one row a run, with what tells it apart from others.

use crate::grid::{Job, RunKey};
use serde::{Deserialize, Serialize};
use std::fs::{File, OpenOptions};
use std::io::{self, BufRead, BufReader, Write};
use std::path::Path;
use woadstall_emulator::{RunResult, run};

/// The form of rows; one with another number is rejected.
const VERSION: u32 = 1;

/// Why rows could not be read or written.
#[derive(Debug, thiserror::Error)]
pub enum RowError {
    /// The file could not be opened, read or written.
    #[error("{path}: {source}")]
    File {
        /// Path of the file.
        path: String,
        /// The failed system call.
        source: io::Error,
    },
    /// A line is not a row.
    #[error("{path}: line {line}: {source}")]
    Line {
        /// Path of the file.
        path: String,
        /// The line, counted from 1.
        line: usize,
        /// What the parser reports.
        source: serde_json::Error,
    },
    /// A row is of another form.
    #[error("{path}: line {line}: version {version}, not {VERSION}")]
    Version {
        /// Path of the file.
        path: String,
        /// The line, counted from 1.
        line: usize,
        /// The row's version.
        version: u32,
    },
    /// A figure of the result has no JSON form.
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
    /// Of the form of rows.
    pub version: u32,
    /// The commit that the program was built from.
    pub commit: String,
    /// What tells it from others.
    #[serde(flatten)]
    pub key: RunKey,
    /// On real sockets: how late the tool itself was.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub lag: Option<Lag>,
    /// The result.
    pub end: RunResult,
}

/// How late a tool on real sockets began its calls. They are counted from when they were due all the same.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Lag {
    /// Calls that it began more than 5 ms late.
    pub late: u64,
    /// Of so many.
    pub calls: u64,
    /// The worst, in milliseconds.
    pub worst_ms: f64,
}

impl Row {
    /// Runs a job. Without its timeline a row has some hundred bytes.
    pub fn run(job: &Job, timeline: bool) -> Self {
        let mut end = run(&job.scenario, job.policy, job.seed);
        if !timeline {
            end.timeline.clear();
        }
        Self::new(job.key(), end, None)
    }

    /// A row of a result.
    pub fn new(key: RunKey, end: RunResult, lag: Option<Lag>) -> Self {
        Self {
            version: VERSION,
            commit: env!("WOADSTALL_COMMIT").to_owned(),
            key,
            lag,
            end,
        }
    }

    /// The row as one line of JSON, without its end.
    ///
    /// # Errors
    ///
    /// Fails if a figure of the result has no JSON form.
    pub fn line(&self) -> Result<String, serde_json::Error> {
        serde_json::to_string(self)
    }

    /// Appends it to a file of rows.
    ///
    /// # Errors
    ///
    /// [`RowError::Json`] and [`RowError::File`].
    pub fn append(&self, path: &Path) -> Result<(), RowError> {
        let line = self.line()?;
        let file = OpenOptions::new().create(true).append(true).open(path);
        let written = file.and_then(|mut file| writeln!(file, "{line}"));
        written.map_err(|source| RowError::file(path, source))
    }

    /// What varies, for people.
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

/// Reads the rows of a file. The last line may be incomplete, where a writer was killed.
///
/// # Errors
///
/// [`RowError::File`]; [`RowError::Line`] and [`RowError::Version`], of the first line that cannot be read.
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
