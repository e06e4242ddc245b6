//! HTML reports of results. A report is one file with tables and inline SVG plots, and loads nothing over the network.

mod charts;
mod fault_band;
mod tables;
mod timeline;

use crate::rows::Row;
use charts::DrawError;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::io;
use std::path::Path;
use woadstall_emulator::RunResult;

pub use fault_band::FaultBand;

/// The largest number of rows of a scenario in one plot; more lines could not be distinguished.
const MAX_LINES: usize = 6;

/// HTML before the sections of a page.
const HEAD: &str = "<!doctype html>\n<html lang=\"en\"><meta charset=\"utf-8\"><title>woadstall-emulator-cli</title>\n<style>\
         body{font:15px sans-serif;margin:2em auto;max-width:1540px;color:#222}table{border-collapse:collapse}\
         td,th{padding:.25em .8em;border-bottom:1px solid #ddd;text-align:right}td:first-child,th:first-child,\
         td:nth-child(2),th:nth-child(2){text-align:left}svg{margin:.4em}.bad{color:#b00}\
         </style>\n<h1>woadstall-emulator-cli</h1>\n";

/// The reason why a report could not be created.
#[derive(Debug, thiserror::Error)]
pub enum ReportError {
    /// There are no rows to plot.
    #[error("no rows")]
    NoRows,
    /// A chart could not be drawn.
    #[error(transparent)]
    Chart(#[from] DrawError),
    /// A file could not be written.
    #[error("{path}: {source}")]
    Write {
        /// Path of the file.
        path: String,
        /// Error of the failed system call.
        source: io::Error,
    },
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
}

/// Returns the HTML page for all rows. Fault bands are shaded in all line charts over time, and listed below the
/// tables.
///
/// # Errors
///
/// Returns [`ReportError::Chart`] if a plot cannot be drawn.
pub fn page(rows: &[Row], bands: &[FaultBand]) -> Result<String, ReportError> {
    let mut html = HEAD.to_owned();
    let mut scenarios: BTreeMap<&str, Vec<&Row>> = BTreeMap::new();
    rows.iter()
        .for_each(|row| scenarios.entry(&row.key.scenario).or_default().push(row));
    for (scenario, rows) in scenarios {
        html += &section(scenario, &rows, bands)?;
    }
    html += "</html>\n";
    Ok(html)
}

/// Returns the section of the page for one scenario.
fn section(scenario: &str, rows: &[&Row], bands: &[FaultBand]) -> Result<String, ReportError> {
    let mut html = String::new();
    let _ = writeln!(
        html,
        "<h2>{}</h2>\n{}{}",
        escape(scenario),
        tables::figures(rows),
        tables::costs(rows)
    );
    let with_timeline: Vec<&Row> = rows
        .iter()
        .copied()
        .filter(|row| !row.end.timeline.is_empty())
        .collect();
    // Only the rows of one seed are plotted, since more lines could not be distinguished.
    let seed = with_timeline.first().map(|row| row.key.seed);
    let shown: Vec<&Row> = with_timeline
        .into_iter()
        .filter(|row| Some(row.key.seed) == seed)
        .take(MAX_LINES)
        .collect();
    for band in bands.iter().filter(|_| !shown.is_empty()) {
        let name = escape(&band.name);
        let _ = writeln!(
            html,
            "<p>{:.1} to {:.1} s: {name}</p>",
            band.from, band.until
        );
    }
    if !shown.is_empty() {
        html += &timeline::plots(&shown, bands)?;
    }
    Ok(html)
}

/// Writes a page or a plot to a file, and logs the path.
///
/// # Errors
///
/// Returns [`ReportError::Write`] if the file cannot be written.
pub fn write(path: &Path, text: &str) -> Result<(), ReportError> {
    std::fs::write(path, text).map_err(|source| ReportError::Write {
        path: path.display().to_string(),
        source,
    })?;
    tracing::info!(file = %path.display(), "written");
    Ok(())
}

/// Returns one line of text for each rule and each bound, which states whether the run kept it.
pub fn rule_lines(end: &RunResult) -> impl Iterator<Item = String> {
    let rules = end.breaches.iter().map(|(rule, count)| match count {
        0 => format!("  {rule}: kept"),
        _ => format!("  {rule}: BROKEN {count} times"),
    });
    rules.chain(end.bounds.iter().map(|bound| format!("  {bound}")))
}

/// Returns the SVG elements of a page; each is a complete SVG file.
pub fn svgs(page: &str) -> impl Iterator<Item = &str> {
    const END: &str = "</svg>";
    page.match_indices("<svg").filter_map(|(from, _)| {
        let end = page[from..].find(END)?;
        page.get(from..from + end + END.len())
    })
}
