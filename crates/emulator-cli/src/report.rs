//! Results as one HTML file that opens without a network: tables, and plots as SVG within it.

use crate::compare::{Figure, interval};
use crate::rows::Row;
use plotters::prelude::*;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::path::Path;
use woadstall_emulator::{CostRow, Fault, RunResult, Scenario, TimelineStep};

const SIZE: (u32, u32) = (760, 240);
/// Rows of a heat map at most: more hosts share one.
const HEAT_ROWS: usize = 64;

/// A time in which something was wrong, as plots shade it.
#[derive(Clone, Debug, PartialEq)]
pub struct Band {
    /// From when on, in seconds.
    pub from: f64,
    /// Until when.
    pub until: f64,
    /// What it was.
    pub name: String,
}

impl Band {
    /// The faults of a scenario.
    pub fn of(scenario: &Scenario) -> Vec<Self> {
        let band = |fault: &Fault| {
            let until = fault.until.unwrap_or(scenario.time).seconds();
            let what =
                toml::Value::try_from(&fault.what).map_or(String::new(), |what| match what {
                    toml::Value::String(name) => name,
                    what => what
                        .as_table()
                        .and_then(|table| table.keys().next().cloned())
                        .unwrap_or_default(),
                });
            let place = [&fault.tier, &fault.zone]
                .into_iter()
                .flatten()
                .cloned()
                .collect::<Vec<_>>()
                .join(" ");
            let part = if fault.part < 1.0 {
                format!(", {:.0}%", 100.0 * fault.part)
            } else {
                String::new()
            };
            Self {
                from: fault.at.seconds(),
                until,
                name: format!("{what} {place}{part}").trim().to_owned(),
            }
        };
        scenario.fault.iter().map(band).collect()
    }
}

/// One line of a plot: its name and its points.
type Line = (String, Vec<(f64, f64)>);

fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
}

/// Lines over time.
fn lines(title: &str, unit: &str, bands: &[Band], lines: &[Line]) -> Result<String, String> {
    let points = || lines.iter().flat_map(|(_, points)| points.iter().copied());
    let until = points().map(|(at, _)| at).fold(1.0, f64::max);
    let most = points().map(|(_, value)| value).fold(1e-9, f64::max) * 1.08;
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        let draw = || -> Result<(), Box<dyn std::error::Error>> {
            let mut chart = ChartBuilder::on(&area)
                .caption(title, ("sans-serif", 15))
                .margin(6)
                .margin_right(22)
                .x_label_area_size(26)
                .y_label_area_size(54)
                .build_cartesian_2d(0.0..until, 0.0..most)?;
            chart
                .configure_mesh()
                .x_desc("seconds")
                .y_desc(unit)
                .light_line_style(WHITE)
                .draw()?;
            for band in bands.iter().filter(|band| band.from < until) {
                let corners = [(band.from, 0.0), (band.until.min(until), most)];
                chart.draw_series([Rectangle::new(corners, RED.mix(0.07).filled())])?;
            }
            for (at, (name, points)) in lines.iter().enumerate() {
                let color = Palette99::pick(at).to_rgba();
                let series = LineSeries::new(points.iter().copied(), color.stroke_width(2));
                let legend =
                    move |(x, y)| PathElement::new([(x, y), (x + 14, y)], color.stroke_width(2));
                chart.draw_series(series)?.label(name).legend(legend);
            }
            let mut legend = chart.configure_series_labels();
            legend.position(SeriesLabelPosition::UpperLeft);
            legend
                .background_style(WHITE.mix(0.8))
                .border_style(BLACK.mix(0.3))
                .draw()?;
            area.present()?;
            Ok(())
        };
        draw().map_err(|error| error.to_string())?;
    }
    Ok(svg)
}

/// Attempts at each host over time: dark where there are more.
fn heat(title: &str, steps: &[TimelineStep]) -> Result<String, String> {
    let hosts = steps.iter().map(|step| step.hosts.len()).max().unwrap_or(0);
    let rows = hosts.min(HEAT_ROWS);
    if rows == 0 {
        return Ok(String::new());
    }
    let (share, until) = (
        hosts.div_ceil(rows),
        steps.last().map_or(1.0, |step| step.until),
    );
    let cell = |step: &TimelineStep, row: usize| -> f64 {
        let from = row * share;
        let there = step.hosts.iter().skip(from).take(share).sum::<u32>();
        f64::from(there) / share.min(hosts.saturating_sub(from)).max(1) as f64
    };
    let most = steps
        .iter()
        .flat_map(|step| (0..rows).map(move |row| cell(step, row)))
        .fold(1.0, f64::max);
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, (SIZE.0, SIZE.1 + 60)).into_drawing_area();
        let draw = || -> Result<(), Box<dyn std::error::Error>> {
            let mut chart = ChartBuilder::on(&area)
                .caption(
                    format!("{title} (darkest: {most:.0} a step)"),
                    ("sans-serif", 15),
                )
                .margin(6)
                .margin_right(22)
                .x_label_area_size(26)
                .y_label_area_size(54)
                .build_cartesian_2d(0.0..until, 0.0..rows as f64)?;
            chart
                .configure_mesh()
                .disable_mesh()
                .x_desc("seconds")
                .y_desc("nodos")
                .draw()?;
            let mut from = 0.0;
            for step in steps {
                let cells = (0..rows).filter(|&row| cell(step, row) > 0.0).map(|row| {
                    let part = (cell(step, row) / most).sqrt();
                    let shade = |full: f64| (255.0 - (255.0 - full) * part) as u8;
                    let color = RGBColor(shade(20.0), shade(60.0), shade(120.0));
                    let corners = [(from, row as f64), (step.until, (row + 1) as f64)];
                    Rectangle::new(corners, color.filled())
                });
                chart.draw_series(cells)?;
                from = step.until;
            }
            area.present()?;
            Ok(())
        };
        draw().map_err(|error| error.to_string())?;
    }
    Ok(svg)
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

/// The plots of rows that have a timeline, those of one scenario together.
fn plots(rows: &[&Row], bands: &[Band]) -> Result<String, String> {
    let mut html = String::new();
    let per_second =
        |step: &TimelineStep, before: f64, count: f64| count / (step.until - before).max(1e-9);
    let series =
        |row: &Row, figure: &dyn Fn(&TimelineStep) -> f64, rate: bool| -> Vec<(f64, f64)> {
            let mut before = 0.0;
            let point = |step: &TimelineStep| {
                let figure = figure(step);
                let value = if rate {
                    per_second(step, before, figure)
                } else {
                    figure
                };
                before = step.until;
                (step.until, value)
            };
            row.end.steps.iter().map(point).collect()
        };
    let first = rows.first().ok_or("no rows")?;
    let each = |figure: &dyn Fn(&TimelineStep) -> f64, rate: bool| -> Vec<Line> {
        rows.iter()
            .map(|row| (name(row), series(row, figure, rate)))
            .collect()
    };
    let mut worth = vec![(
        "offered".to_owned(),
        series(first, &|step| step.counts.value_offered, true),
    )];
    worth.extend(each(&|step| step.counts.value, true));
    html += &lines("Worth served", "worth a second", bands, &worth)?;
    let mut good = vec![(
        "offered".to_owned(),
        series(first, &|step| step.counts.offered as f64, true),
    )];
    good.extend(each(&|step| step.counts.on_time as f64, true));
    html += &lines(
        "Calls served within their aim",
        "calls a second",
        bands,
        &good,
    )?;
    html += &lines(
        "Attempts at nodos",
        "a second",
        bands,
        &each(&|step| step.counts.attempts as f64, true),
    )?;
    let unserved = |step: &TimelineStep| (step.counts.refused + step.counts.failed) as f64;
    html += &lines(
        "Refused and failed",
        "calls a second",
        bands,
        &each(&unserved, true),
    )?;
    html += &lines(
        "Latency, 99th percentile",
        "ms",
        bands,
        &each(&|step| step.p99_ms, false),
    )?;
    html += &lines(
        "Latency, median",
        "ms",
        bands,
        &each(&|step| step.p50_ms, false),
    )?;
    html += &lines(
        "Open attempts",
        "attempts",
        bands,
        &each(&|step| step.open.1 as f64, false),
    )?;
    let mut said: Vec<Line> = Vec::new();
    for topic in ["breaker", "zone", "shedding"] {
        let count = |step: &TimelineStep| step.lines.get(topic).copied().unwrap_or(0) as f64;
        let points = series(first, &count, false);
        if points.iter().any(|(_, count)| *count > 0.0) {
            said.push((topic.to_owned(), points));
        }
    }
    if !said.is_empty() {
        html += &lines(
            &format!("What balancers logged, {}", name(first)),
            "lines a step",
            bands,
            &said,
        )?;
    }
    for row in rows
        .iter()
        .filter(|row| row.end.steps.iter().any(|step| step.up.is_some()))
    {
        let balancers = |step: &TimelineStep| step.up.map_or(0.0, |up| up.0 as f64);
        let nodos = |step: &TimelineStep| step.up.map_or(0.0, |up| up.1 as f64);
        let up = [
            ("balancers", series(row, &balancers, false)),
            ("nodos", series(row, &nodos, false)),
        ];
        let up = up.map(|(name, points)| (name.to_owned(), points));
        html += &lines(
            &format!("Processes that run, {}", name(row)),
            "processes",
            bands,
            &up,
        )?;
    }
    for row in rows {
        html += &heat(
            &format!("Attempts at each nodo, {}", name(row)),
            &row.end.steps,
        )?;
    }
    Ok(html)
}

/// The whole page. Bands are drawn into all plots over time, and named below the tables.
pub fn page(rows: &[Row], bands: &[Band]) -> Result<String, String> {
    let mut html = String::from(
        "<!doctype html>\n<html lang=\"en\"><meta charset=\"utf-8\"><title>woadstall-emulator-cli</title>\n<style>\
         body{font:15px sans-serif;margin:2em auto;max-width:1540px;color:#222}table{border-collapse:collapse}\
         td,th{padding:.25em .8em;border-bottom:1px solid #ddd;text-align:right}td:first-child,th:first-child,\
         td:nth-child(2),th:nth-child(2){text-align:left}svg{margin:.4em}.bad{color:#b00}\
         </style>\n<h1>woadstall-emulator-cli</h1>\n",
    );
    let mut scenarios: BTreeMap<&str, Vec<&Row>> = BTreeMap::new();
    rows.iter()
        .for_each(|row| scenarios.entry(&row.key.scenario).or_default().push(row));
    for (scenario, rows) in scenarios {
        let _ = writeln!(
            html,
            "<h2>{}</h2>\n{}{}",
            escape(scenario),
            table(&rows),
            price_list(&rows)
        );
        let with_time: Vec<&Row> = rows
            .iter()
            .copied()
            .filter(|row| !row.end.steps.is_empty())
            .collect();
        // One seed of each policy: more lines cannot be told apart.
        let seed = with_time.first().map(|row| row.key.seed);
        let shown: Vec<&Row> = with_time
            .into_iter()
            .filter(|row| Some(row.key.seed) == seed)
            .take(6)
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
            html += &plots(&shown, bands)?;
        }
    }
    html += "</html>\n";
    Ok(html)
}

/// A line for each policy and setting, means over the seeds.
fn table(rows: &[&Row]) -> String {
    let mut groups: BTreeMap<(String, String), Vec<&Row>> = BTreeMap::new();
    rows.iter().for_each(|row| {
        groups
            .entry((row.set(), row.key.policy.clone()))
            .or_default()
            .push(row)
    });
    let mut html = String::from(
        "<table><tr><th>policy</th><th>set</th><th>seeds</th><th>score</th><th>95%</th><th>served</th>\
         <th>bound</th><th>p50 ms</th><th>p99 ms</th><th>attempts a request</th><th>refused</th><th>failed</th>\
         <th>breaches</th></tr>\n",
    );
    for ((set, policy), rows) in groups {
        let count = rows.len() as f64;
        let mean =
            |figure: &dyn Fn(&Row) -> f64| rows.iter().map(|row| figure(row)).sum::<f64>() / count;
        let scores: Vec<f64> = rows.iter().map(|row| row.end.score).collect();
        let (low, high) = interval(&scores);
        let broken: u64 = rows.iter().map(|row| row.end.broken()).sum();
        let class = if broken > 0 { " class=\"bad\"" } else { "" };
        let _ = writeln!(
            html,
            "<tr><td>{}</td><td>{}</td><td>{}</td><td>{:.3}</td><td>{low:.3} to {high:.3}</td><td>{:.3}</td>\
             <td>{:.3}</td><td>{:.0}</td><td>{:.0}</td><td>{:.2}</td><td>{:.0}</td><td>{:.0}</td>\
             <td{class}>{broken}</td></tr>",
            escape(&policy),
            escape(&set),
            rows.len(),
            mean(&|row| row.end.score),
            mean(&|row| row.end.served),
            mean(&|row| row.end.bound),
            mean(&|row| row.end.latency.p50),
            mean(&|row| row.end.latency.p99),
            mean(&|row| Figure::Attempts.of(row)),
            mean(&|row| row.end.counts.refused as f64),
            mean(&|row| row.end.counts.failed as f64),
        );
    }
    html + "</table>\n"
}

/// What each policy's fleets paid beside the work: a line for each tier and price, means over the seeds.
fn price_list(rows: &[&Row]) -> String {
    let mut groups: BTreeMap<(String, String, String, String), Vec<&CostRow>> = BTreeMap::new();
    for row in rows {
        for price in &row.end.prices {
            let key = (
                row.key.policy.clone(),
                row.set(),
                price.tier.clone(),
                price.price.to_string(),
            );
            groups.entry(key).or_default().push(price);
        }
    }
    if groups.is_empty() {
        return String::new();
    }
    let mut html = String::from(
        "<table><tr><th>policy</th><th>set</th><th>tier</th><th>price</th><th>total</th><th>a request</th>\
         <th>largest sender</th><th>worst second</th></tr>\n",
    );
    for ((policy, set, tier, price), rows) in groups {
        let mean = |figure: &dyn Fn(&CostRow) -> f64| {
            rows.iter().map(|row| figure(row)).sum::<f64>() / rows.len() as f64
        };
        let _ = writeln!(
            html,
            "<tr><td>{}</td><td>{}</td><td>{}</td><td>{price}</td><td>{:.0}</td><td>{:.4}</td><td>{:.1}%</td>\
             <td>{:.0}</td></tr>",
            escape(&policy),
            escape(&set),
            escape(&tier),
            mean(&|row| row.total as f64),
            mean(&|row| row.each),
            mean(&|row| 100.0 * row.largest.1),
            mean(&|row| row.worst.1 as f64),
        );
    }
    html + "</table>\n"
}

/// Writes a page, or a plot, and says so.
pub fn write(path: &Path, text: &str) -> Result<(), String> {
    std::fs::write(path, text).map_err(|error| format!("{}: {error}", path.display()))?;
    tracing::info!(file = %path.display(), "written");
    Ok(())
}

/// How each rule and each bound was kept, a line each, for people.
pub fn kept(end: &RunResult) -> impl Iterator<Item = String> {
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
