//! `woadstall why`: summarizes the request reports in the logs of fronts as tables and a plot.

use std::fs::File;
use std::io::{self, BufRead, BufReader, Write};
use std::path::{Path, PathBuf};
use thiserror::Error;
use woadstall_request_reports::{LINE_PREFIX, ParseReportError, PlotError, RequestReport, Summary};

/// Reason why reports can't be summarized.
#[derive(Debug, Error)]
pub(super) enum WhyError {
    /// A log can't be read, or the output can't be written.
    #[error("{path}: {source}")]
    Io { path: PathBuf, source: io::Error },
    /// A line contains the prefix of a report but is not a valid report.
    #[error("{path}, line {line_number}: {source}")]
    InvalidReport {
        path: PathBuf,
        /// Line number, starting at 1.
        line_number: usize,
        source: ParseReportError,
    },
    /// The plot can't be rendered.
    #[error("can't render the plot: {0}")]
    Plot(#[from] PlotError),
}

/// Reads the log files and prints the tables. If `plot_path` is set, writes the plot to this file
/// as SVG.
///
/// # Errors
///
/// Fails if a file can't be read or written, if a report can't be parsed, or if the plot can't be
/// rendered.
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

/// Adds all reports of one log to the summary.
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

/// Returns the second in which a line was written: the first time of day in the line, or else the
/// first number, or else 0.
fn second_of(text: &str) -> u64 {
    let times = text.split_whitespace().filter_map(second_of_day);
    let numbers = text
        .split(|c: char| !c.is_ascii_digit())
        .filter_map(|digits| digits.parse().ok());
    times.chain(numbers).next().unwrap_or(0)
}

/// Parses `hours:minutes:seconds` as a number of seconds since midnight.
fn second_of_day(text: &str) -> Option<u64> {
    let mut fields = text.split(':');
    let (hours, minutes, seconds) = (fields.next()?, fields.next()?, fields.next()?);
    let integer = |field: &str| field.split('.').next()?.parse::<u64>().ok();
    Some(integer(hours)? * 3_600 + integer(minutes)? * 60 + integer(seconds)?)
}

#[cfg(test)]
mod tests;
