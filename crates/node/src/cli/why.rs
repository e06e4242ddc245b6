//! `woadstall why`: summarizes the request reports in the logs of fronts as tables and a plot.

use std::fs::File;
use std::io::{self, BufRead, BufReader, Write};
use std::path::{Path, PathBuf};
use thiserror::Error;
use woadstall_request_reports::{LINE_PREFIX, ParseReportError, PlotError, RequestReport, Summary};

/// Reports can't be summarized.
#[derive(Debug, Error)]
pub(super) enum WhyError {
    /// A file can't be read or written.
    #[error("{path}: {source}")]
    Io {
        /// The file.
        path: PathBuf,
        /// The operating system's answer.
        source: io::Error,
    },
    /// A line has the prefix of a report and can't be parsed as one.
    #[error("{path}, line {line_number}: {source}")]
    InvalidReport {
        /// The file.
        path: PathBuf,
        /// The number of the line, from 1 on.
        line_number: usize,
        /// What is wrong with it.
        source: ParseReportError,
    },
    /// The plot can't be drawn.
    #[error("the plot: {0}")]
    Plot(#[from] PlotError),
}

/// Reads the log files, prints the tables, and writes the plot to `plot_path` if there is one.
///
/// # Errors
///
/// A file can't be read or written, a report can't be parsed, or the plot can't be drawn.
pub(super) fn run(files: &[PathBuf], plot_path: Option<&Path>) -> Result<(), WhyError> {
    let mut summary = Summary::default();
    for path in files {
        let file = File::open(path).map_err(io_error(path))?;
        add_log(path, BufReader::new(file), &mut summary)?;
    }
    write!(io::stdout(), "{summary}").map_err(io_error(Path::new("standard output")))?;
    let Some(path) = plot_path else {
        return Ok(());
    };
    let svg = woadstall_request_reports::render_svg(&summary)?;
    std::fs::write(path, svg).map_err(io_error(path))
}

fn io_error(path: &Path) -> impl Fn(io::Error) -> WhyError {
    let path = path.to_owned();
    move |source| WhyError::Io {
        path: path.clone(),
        source,
    }
}

/// Adds the reports in one log.
fn add_log(path: &Path, log: impl BufRead, summary: &mut Summary) -> Result<(), WhyError> {
    for (index, text) in log.lines().enumerate() {
        let text = text.map_err(io_error(path))?;
        if !text.contains(LINE_PREFIX) {
            continue;
        }
        let report: RequestReport = text.parse().map_err(|source| WhyError::InvalidReport {
            path: path.to_owned(),
            line_number: index + 1,
            source,
        })?;
        summary.add(second_of(&text), &report);
    }
    Ok(())
}

/// The second in which a line was written: the first time of day in it, else the first number, else
/// 0.
fn second_of(text: &str) -> u64 {
    let times = text.split_whitespace().filter_map(second_of_day);
    let numbers = text
        .split(|c: char| !c.is_ascii_digit())
        .filter_map(|digits| digits.parse().ok());
    times.chain(numbers).next().unwrap_or(0)
}

/// The second of the day of `hours:minutes:seconds`.
fn second_of_day(text: &str) -> Option<u64> {
    let mut fields = text.split(':');
    let (hours, minutes, seconds) = (fields.next()?, fields.next()?, fields.next()?);
    let integer = |field: &str| field.split('.').next()?.parse::<u64>().ok();
    Some(integer(hours)? * 3_600 + integer(minutes)? * 60 + integer(seconds)?)
}

#[cfg(test)]
mod tests;
