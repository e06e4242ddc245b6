//! SVG charts over time.

use super::ReportError;
use super::fault_band::FaultBand;
use plotters::coord::Shift;
use plotters::prelude::*;
use std::io;
use woadstall_emulator::TimelineStep;

/// Size of a chart, in pixels.
const SIZE: (u32, u32) = (760, 240);

/// Size of a heat map, in pixels.
const HEAT_MAP_SIZE: (u32, u32) = (SIZE.0, SIZE.1 + 60);

/// The largest number of rows in a heat map; with more hosts, several hosts share a row.
const MAX_HEAT_ROWS: usize = 64;

/// The reason why a chart could not be drawn.
pub type DrawError = DrawingAreaErrorKind<io::Error>;

type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;

/// One line of a chart.
pub struct Series {
    /// Name of the line in the legend.
    pub name: String,
    /// Points of the line: seconds since the start of the run, and the value at that time.
    pub points: Vec<(f64, f64)>,
}

/// Draws a line chart over time, with the times of faults shaded.
pub fn line_chart(
    title: &str,
    unit: &str,
    bands: &[FaultBand],
    series: &[Series],
) -> Result<String, ReportError> {
    let mut svg = String::new();
    let area = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
    draw_lines(&area, title, unit, bands, series)?;
    drop(area);
    Ok(svg)
}

fn draw_lines(
    area: &Area<'_>,
    title: &str,
    unit: &str,
    bands: &[FaultBand],
    series: &[Series],
) -> Result<(), DrawError> {
    let points = || series.iter().flat_map(|line| line.points.iter().copied());
    let end = points().map(|(time, _)| time).fold(1.0, f64::max);
    let top = points().map(|(_, value)| value).fold(1e-9, f64::max) * 1.08;
    let mut chart = ChartBuilder::on(area)
        .caption(title, ("sans-serif", 15))
        .margin(6)
        .margin_right(22)
        .x_label_area_size(26)
        .y_label_area_size(54)
        .build_cartesian_2d(0.0..end, 0.0..top)?;
    chart
        .configure_mesh()
        .x_desc("seconds")
        .y_desc(unit)
        .light_line_style(WHITE)
        .draw()?;
    for band in bands.iter().filter(|band| band.from < end) {
        let corners = [(band.from, 0.0), (band.until.min(end), top)];
        chart.draw_series([Rectangle::new(corners, RED.mix(0.07).filled())])?;
    }
    for (number, line) in series.iter().enumerate() {
        let color = Palette99::pick(number).to_rgba();
        let drawn = LineSeries::new(line.points.iter().copied(), color.stroke_width(2));
        let legend = move |(x, y)| PathElement::new([(x, y), (x + 14, y)], color.stroke_width(2));
        chart.draw_series(drawn)?.label(&line.name).legend(legend);
    }
    let mut legend = chart.configure_series_labels();
    legend.position(SeriesLabelPosition::UpperLeft);
    legend
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK.mix(0.3))
        .draw()?;
    area.present()
}

/// Draws a heat map of the attempts at each host over time; darker cells have more attempts. Returns an empty string if
/// the timeline has no hosts.
pub fn heat_map(title: &str, steps: &[TimelineStep]) -> Result<String, ReportError> {
    let hosts = steps
        .iter()
        .map(|step| step.attempts_by_host.len())
        .max()
        .unwrap_or(0);
    let rows = hosts.min(MAX_HEAT_ROWS);
    if rows == 0 {
        return Ok(String::new());
    }
    let grid = HeatGrid {
        hosts,
        rows,
        hosts_per_row: hosts.div_ceil(rows),
    };
    let mut svg = String::new();
    let area = SVGBackend::with_string(&mut svg, HEAT_MAP_SIZE).into_drawing_area();
    draw_heat_map(&area, title, steps, &grid)?;
    drop(area);
    Ok(svg)
}

/// The assignment of hosts to the rows of a heat map.
struct HeatGrid {
    hosts: usize,
    rows: usize,
    hosts_per_row: usize,
}

impl HeatGrid {
    /// Returns the mean number of attempts per host in one row and one step.
    fn value(&self, step: &TimelineStep, row: usize) -> f64 {
        let first = row * self.hosts_per_row;
        let hosts = step
            .attempts_by_host
            .iter()
            .skip(first)
            .take(self.hosts_per_row);
        let attempts = hosts.sum::<u32>();
        let count = self.hosts_per_row.min(self.hosts.saturating_sub(first));
        f64::from(attempts) / count.max(1) as f64
    }
}

fn draw_heat_map(
    area: &Area<'_>,
    title: &str,
    steps: &[TimelineStep],
    grid: &HeatGrid,
) -> Result<(), DrawError> {
    let end = steps.last().map_or(1.0, |step| step.end_seconds);
    let darkest = steps
        .iter()
        .flat_map(|step| (0..grid.rows).map(move |row| grid.value(step, row)))
        .fold(1.0, f64::max);
    let mut chart = ChartBuilder::on(area)
        .caption(
            format!("{title} (darkest: {darkest:.0} a step)"),
            ("sans-serif", 15),
        )
        .margin(6)
        .margin_right(22)
        .x_label_area_size(26)
        .y_label_area_size(54)
        .build_cartesian_2d(0.0..end, 0.0..grid.rows as f64)?;
    chart
        .configure_mesh()
        .disable_mesh()
        .x_desc("seconds")
        .y_desc("nodos")
        .draw()?;
    let mut step_start = 0.0;
    for step in steps {
        let filled = (0..grid.rows).filter(|&row| grid.value(step, row) > 0.0);
        let cells = filled.map(|row| {
            let color = heat_color(grid.value(step, row) / darkest);
            let corners = [
                (step_start, row as f64),
                (step.end_seconds, (row + 1) as f64),
            ];
            Rectangle::new(corners, color.filled())
        });
        chart.draw_series(cells)?;
        step_start = step.end_seconds;
    }
    area.present()
}

/// Returns white for 0 and dark blue for 1. The square root of the fraction makes small values visible.
fn heat_color(fraction: f64) -> RGBColor {
    let depth = fraction.sqrt();
    let shade = |full: f64| (255.0 - (255.0 - full) * depth) as u8;
    RGBColor(shade(20.0), shade(60.0), shade(120.0))
}
