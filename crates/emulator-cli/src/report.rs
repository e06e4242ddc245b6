//! Results as one HTML file that opens without a network: tables, and plots as SVG within it.

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

/// Rows of a scenario whose timelines are drawn at most: more lines cannot be told apart.
const MAX_LINES: usize = 6;

/// The head of a page.
const HEAD: &str = "<!doctype html>\n<html lang=\"en\"><meta charset=\"utf-8\"><title>woadstall-emulator-cli</title>\n<style>\
         body{font:15px sans-serif;margin:2em auto;max-width:1540px;color:#222}table{border-collapse:collapse}\
         td,th{padding:.25em .8em;border-bottom:1px solid #ddd;text-align:right}td:first-child,th:first-child,\
         td:nth-child(2),th:nth-child(2){text-align:left}svg{margin:.4em}.bad{color:#b00}\
         </style>\n<h1>woadstall-emulator-cli</h1>\n";

/// Why a report could not be made.
#[derive(Debug, thiserror::Error)]
pub enum ReportError {
    /// There is no row to draw.
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
        /// The failed system call.
        source: io::Error,
    },
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
}

/// The page of all rows. Bands are drawn into all plots over time, and named below the tables.
///
/// # Errors
///
/// [`ReportError::Chart`], if a plot cannot be drawn.
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

/// The part of the page on one scenario.
fn section(scenario: &str, rows: &[&Row], bands: &[FaultBand]) -> Result<String, ReportError> {
    let mut html = String::new();
    let _ = writeln!(
        html,
        "<h2>{}</h2>\n{}{}",
        escape(scenario),
        tables::figures(rows),
        tables::costs(rows)
    );
    let with_time: Vec<&Row> = rows
        .iter()
        .copied()
        .filter(|row| !row.end.timeline.is_empty())
        .collect();
    // One seed of each policy: more lines cannot be told apart.
    let seed = with_time.first().map(|row| row.key.seed);
    let shown: Vec<&Row> = with_time
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

/// Writes a page, or a plot, and logs that.
///
/// # Errors
///
/// [`ReportError::Write`].
pub fn write(path: &Path, text: &str) -> Result<(), ReportError> {
    std::fs::write(path, text).map_err(|source| ReportError::Write {
        path: path.display().to_string(),
        source,
    })?;
    tracing::info!(file = %path.display(), "written");
    Ok(())
}

/// Whether each rule and each bound was kept, a line each, for people.
pub fn rule_lines(end: &RunResult) -> impl Iterator<Item = String> {
    let rules = end.breaches.iter().map(|(rule, count)| match count {
        0 => format!("  {rule}: kept"),
        _ => format!("  {rule}: BROKEN {count} times"),
    });
    rules.chain(end.bounds.iter().map(|bound| format!("  {bound}")))
}

/// The plots of a page, each an SVG file as it is.
pub fn svgs(page: &str) -> impl Iterator<Item = &str> {
    const END: &str = "</svg>";
    page.match_indices("<svg").filter_map(|(from, _)| {
        let end = page[from..].find(END)?;
        page.get(from..from + end + END.len())
    })
}
