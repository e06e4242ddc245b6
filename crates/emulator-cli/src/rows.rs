//! Results as JSON lines: one row a run, with what tells it apart from others.

use crate::grid::{Job, Key};
use serde::{Deserialize, Serialize};
use std::fs::{File, OpenOptions};
use std::io::{BufRead, BufReader, Write};
use std::path::Path;
use woadstall_emulator::{RunResult, run};

/// The form of rows; one with another number is refused.
const VERSION: u32 = 1;

/// One run and its result.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Row {
    /// Of the form of rows.
    pub version: u32,
    /// The commit that the program was built from.
    pub commit: String,
    /// What tells it from others.
    #[serde(flatten)]
    pub key: Key,
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
            end.steps.clear();
        }
        Self::new(job.key(), end, None)
    }

    /// A row of a result.
    pub fn new(key: Key, end: RunResult, lag: Option<Lag>) -> Self {
        Self {
            version: VERSION,
            commit: env!("WOADSTALL_COMMIT").to_owned(),
            key,
            lag,
            end,
        }
    }

    /// As a line, without its end.
    pub fn line(&self) -> Result<String, String> {
        serde_json::to_string(self).map_err(|error| error.to_string())
    }

    /// Appends it to a file of rows.
    pub fn append(&self, path: &Path) -> Result<(), String> {
        let line = self.line()?;
        let file = OpenOptions::new().create(true).append(true).open(path);
        let written = file.and_then(|mut file| writeln!(file, "{line}"));
        written.map_err(|error| format!("{}: {error}", path.display()))
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

/// Reads the rows of a file. The last line may be a part of one, where a writer was killed; any other that cannot
/// be read is an error that names its line.
pub fn read(path: &Path) -> Result<Vec<Row>, String> {
    let name = path.display();
    let file = File::open(path).map_err(|error| format!("{name}: {error}"))?;
    let lines: Result<Vec<String>, _> = BufReader::new(file).lines().collect();
    let lines = lines.map_err(|error| format!("{name}: {error}"))?;
    let mut rows = Vec::new();
    for (at, line) in lines.iter().enumerate() {
        match serde_json::from_str::<Row>(line) {
            Ok(row) if row.version == VERSION => rows.push(row),
            Ok(row) => {
                let version = row.version;
                return Err(format!(
                    "{name}: line {}: version {version}, not {VERSION}",
                    at + 1
                ));
            }
            Err(error) if at + 1 == lines.len() && error.is_eof() => {}
            Err(error) => return Err(format!("{name}: line {}: {error}", at + 1)),
        }
    }
    Ok(rows)
}
