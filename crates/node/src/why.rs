//! `woadstall why`: folds the reports in logs of balancers into tables and a plot.

use std::fs::File;
use std::io::{self, BufRead, BufReader, Write};
use std::path::{Path, PathBuf};
use thiserror::Error;
use woadstall_explain::{MARK, ReportError, RequestReport, Summary};

/// Logs can't be folded.
#[derive(Debug, Error)]
pub enum WhyError {
    /// A file can't be read or written.
    #[error("{path}: {source}")]
    Io {
        /// The file.
        path: PathBuf,
        /// What the system says.
        source: io::Error,
    },
    /// A line looks like a report and is none.
    #[error("{path}, line {line}: {source}")]
    Line {
        /// The file.
        path: PathBuf,
        /// The number of the line, from 1 on.
        line: usize,
        /// What is wrong.
        source: ReportError,
    },
    /// The plot can't be drawn.
    #[error("the plot: {0}")]
    Plot(String),
}

/// Reads the files, prints the tables, and draws the plot where one is wanted.
pub fn run(files: &[PathBuf], plot: Option<&Path>) -> Result<(), WhyError> {
    let mut summary = Summary::default();
    for path in files {
        let file = File::open(path).map_err(io_error(path))?;
        add_log(path, BufReader::new(file), &mut summary)?;
    }
    write!(io::stdout(), "{summary}").map_err(io_error(Path::new("standard output")))?;
    let Some(path) = plot else { return Ok(()) };
    let picture = woadstall_explain::plot(&summary).map_err(WhyError::Plot)?;
    std::fs::write(path, picture).map_err(io_error(path))
}

fn io_error(path: &Path) -> impl Fn(io::Error) -> WhyError {
    let path = path.to_owned();
    move |source| WhyError::Io {
        path: path.clone(),
        source,
    }
}

/// Takes in the reports of one log.
fn add_log(path: &Path, log: impl BufRead, summary: &mut Summary) -> Result<(), WhyError> {
    for (index, line) in log.lines().enumerate() {
        let line = line.map_err(io_error(path))?;
        if !line.contains(MARK) {
            continue;
        }
        let report: RequestReport = line.parse().map_err(|source| {
            let path = path.to_owned();
            WhyError::Line {
                path,
                line: index + 1,
                source,
            }
        })?;
        summary.add(second_of(&line), &report);
    }
    Ok(())
}

/// The second of a line: the first time of day in it, else the first number; 0 where there is none.
fn second_of(line: &str) -> u64 {
    let times = line.split_whitespace().filter_map(time_of_day);
    let numbers = line
        .split(|c: char| !c.is_ascii_digit())
        .filter_map(|part| part.parse().ok());
    times.chain(numbers).next().unwrap_or(0)
}

/// The seconds of `hours:minutes:seconds`.
fn time_of_day(word: &str) -> Option<u64> {
    let mut parts = word.split(':');
    let (hours, minutes, seconds) = (parts.next()?, parts.next()?, parts.next()?);
    let whole = |text: &str| text.split('.').next()?.parse::<u64>().ok();
    Some(whole(hours)? * 3_600 + whole(minutes)? * 60 + whole(seconds)?)
}

#[cfg(test)]
#[path = "../tests/unit/why.rs"]
mod tests;
