//! The plots of a report, drawn from the timelines of rows.

use super::ReportError;
use super::charts::{Series, heat_map, line_chart};
use super::fault_band::FaultBand;
use crate::rows::Row;
use woadstall_emulator::TimelineStep;

/// Topics of log lines that are plotted.
const LOG_TOPICS: [&str; 3] = ["breaker", "zone", "shedding"];

/// The conversion of a step's figure to a chart value.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Scale {
    /// The figure is used unchanged.
    Absolute,
    /// The figure is divided by the length of the step in seconds.
    PerSecond,
}

fn name(row: &Row) -> String {
    let set = row.set();
    let set = if set.is_empty() {
        set
    } else {
        format!(", {set}")
    };
    format!("{}{set}, seed {}", row.key.policy, row.key.seed)
}

/// Returns the chart points of a row: the end time of each step and its scaled figure.
fn points(row: &Row, scale: Scale, figure: &dyn Fn(&TimelineStep) -> f64) -> Vec<(f64, f64)> {
    let mut previous_end_seconds = 0.0;
    let point = |step: &TimelineStep| {
        let figure = figure(step);
        let value = match scale {
            Scale::Absolute => figure,
            Scale::PerSecond => figure / (step.end_seconds - previous_end_seconds).max(1e-9),
        };
        previous_end_seconds = step.end_seconds;
        (step.end_seconds, value)
    };
    row.end.timeline.iter().map(point).collect()
}

fn series(name: &str, row: &Row, scale: Scale, figure: &dyn Fn(&TimelineStep) -> f64) -> Series {
    Series {
        name: name.to_owned(),
        points: points(row, scale, figure),
    }
}

/// Returns one series for each row.
fn series_per_row(
    rows: &[&Row],
    scale: Scale,
    figure: &dyn Fn(&TimelineStep) -> f64,
) -> Vec<Series> {
    rows.iter()
        .map(|row| series(&name(row), row, scale, figure))
        .collect()
}

/// Returns the plots for the rows of one scenario.
///
/// # Errors
///
/// Returns [`ReportError::NoRows`] without rows, and [`ReportError::Chart`] if a plot cannot be drawn.
pub fn plots(rows: &[&Row], bands: &[FaultBand]) -> Result<String, ReportError> {
    let first = rows.first().ok_or(ReportError::NoRows)?;
    let mut html = served(first, rows, bands)?;
    html += &attempts_and_latencies(rows, bands)?;
    html += &log_lines(first, bands)?;
    html += &processes(rows, bands)?;
    for row in rows {
        let title = format!("Attempts at each nodo, {}", name(row));
        html += &heat_map(&title, &row.end.timeline)?;
    }
    Ok(html)
}

/// Plots the served load of each row together with the offered load.
fn served(first: &Row, rows: &[&Row], bands: &[FaultBand]) -> Result<String, ReportError> {
    use Scale::PerSecond;
    let mut value = vec![series("offered", first, PerSecond, &|step| {
        step.counts.value_offered
    })];
    value.extend(series_per_row(rows, PerSecond, &|step| step.counts.value));
    let mut on_time = vec![series("offered", first, PerSecond, &|step| {
        step.counts.offered as f64
    })];
    on_time.extend(series_per_row(rows, PerSecond, &|step| {
        step.counts.on_time as f64
    }));
    let value = line_chart("Worth served", "worth a second", bands, &value)?;
    let title = "Calls served within their aim";
    Ok(value + &line_chart(title, "calls a second", bands, &on_time)?)
}

fn attempts_and_latencies(rows: &[&Row], bands: &[FaultBand]) -> Result<String, ReportError> {
    use Scale::{Absolute, PerSecond};
    let chart = |title: &str, unit: &str, scale: Scale, figure: &dyn Fn(&TimelineStep) -> f64| {
        line_chart(title, unit, bands, &series_per_row(rows, scale, figure))
    };
    let charts = [
        chart("Attempts at nodos", "a second", PerSecond, &|step| {
            step.counts.attempts as f64
        })?,
        chart("Refused and failed", "calls a second", PerSecond, &|step| {
            (step.counts.refused + step.counts.failed) as f64
        })?,
        chart("Latency, 99th percentile", "ms", Absolute, &|step| {
            step.p99_ms
        })?,
        chart("Latency, median", "ms", Absolute, &|step| step.p50_ms)?,
        chart("Open attempts", "attempts", Absolute, &|step| {
            let (_, attempts) = step.open_requests_and_attempts;
            attempts as f64
        })?,
    ];
    Ok(charts.concat())
}

/// Plots the number of log lines per topic in the first row. Returns an empty string if no topic has log lines.
fn log_lines(first: &Row, bands: &[FaultBand]) -> Result<String, ReportError> {
    let mut topics: Vec<Series> = Vec::new();
    for topic in LOG_TOPICS {
        let count =
            |step: &TimelineStep| step.log_lines_by_topic.get(topic).copied().unwrap_or(0) as f64;
        let series = series(topic, first, Scale::Absolute, &count);
        if series.points.iter().any(|(_, count)| *count > 0.0) {
            topics.push(series);
        }
    }
    if topics.is_empty() {
        return Ok(String::new());
    }
    let title = format!("What balancers logged, {}", name(first));
    line_chart(&title, "lines a step", bands, &topics)
}

/// Plots the number of running processes for each row that records it.
fn processes(rows: &[&Row], bands: &[FaultBand]) -> Result<String, ReportError> {
    let balancers = |step: &TimelineStep| {
        step.running_processes
            .map_or(0.0, |(balancers, _)| balancers as f64)
    };
    let upstreams = |step: &TimelineStep| {
        step.running_processes
            .map_or(0.0, |(_, upstreams)| upstreams as f64)
    };
    let mut html = String::new();
    for row in rows.iter().filter(|row| {
        row.end
            .timeline
            .iter()
            .any(|step| step.running_processes.is_some())
    }) {
        let series = [
            series("balancers", row, Scale::Absolute, &balancers),
            series("nodos", row, Scale::Absolute, &upstreams),
        ];
        let title = format!("Processes that run, {}", name(row));
        html += &line_chart(&title, "processes", bands, &series)?;
    }
    Ok(html)
}
