//! The plot of a summary: the number of reports over time, with a line for each cause.

use crate::outcome::Cause;
use crate::summary::Summary;
use plotters::coord::types::{RangedCoordu64, RangedCoordusize};
use plotters::prelude::*;
use std::error::Error;
use std::ops::Range;
use thiserror::Error;

/// Width and height of the plot, in pixels.
const SIZE: (u32, u32) = (1_000, 420);
const MARGIN: u32 = 10;
const X_LABEL_HEIGHT: u32 = 30;
const Y_LABEL_WIDTH: u32 = 50;
/// Length of a line in the legend, in pixels.
const LEGEND_LINE: i32 = 16;
/// The colours of the lines, at least one for each cause.
const PALETTE: [RGBColor; 7] = [BLUE, GREEN, YELLOW, RED, MAGENTA, BLACK, CYAN];

type Chart<'a, 'b> =
    ChartContext<'a, SVGBackend<'b>, Cartesian2d<RangedCoordu64, RangedCoordusize>>;

/// The plotting library could not draw a plot.
#[derive(Debug, Error)]
#[error("{0}")]
pub struct PlotError(#[source] Box<dyn Error + Send + Sync>);

impl<E> From<DrawingAreaErrorKind<E>> for PlotError
where
    E: Error + Send + Sync + 'static,
{
    fn from(source: DrawingAreaErrorKind<E>) -> Self {
        Self(Box::new(source))
    }
}

/// Returns a plot of a summary as an SVG document.
///
/// # Errors
///
/// Returns an error if the plotting library cannot draw the plot.
pub fn render_svg(summary: &Summary) -> Result<String, PlotError> {
    let mut svg = String::new();
    draw(summary, &mut svg)?;
    Ok(svg)
}

fn draw(summary: &Summary, svg: &mut String) -> Result<(), PlotError> {
    let seconds = seconds(summary);
    let area = SVGBackend::with_string(svg, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .margin(MARGIN)
        .x_label_area_size(X_LABEL_HEIGHT)
        .y_label_area_size(Y_LABEL_WIDTH)
        .build_cartesian_2d(seconds.clone(), 0..max_count(summary) + 1)?;
    chart
        .configure_mesh()
        .x_desc("second")
        .y_desc("requests reported")
        .draw()?;
    for (cause, colour) in summary.causes().into_iter().zip(PALETTE) {
        draw_cause(&mut chart, summary, seconds.clone(), cause, colour)?;
    }
    chart
        .configure_series_labels()
        .background_style(WHITE)
        .border_style(BLACK)
        .draw()?;
    area.present()?;
    Ok(())
}

fn draw_cause(
    chart: &mut Chart<'_, '_>,
    summary: &Summary,
    seconds: Range<u64>,
    cause: Cause,
    colour: RGBColor,
) -> Result<(), PlotError> {
    let count = |second: u64| {
        let counts = summary.by_second().get(&second);
        counts
            .and_then(|counts| counts.get(&cause))
            .copied()
            .unwrap_or(0)
    };
    let points = seconds.map(|second| (second, count(second)));
    chart
        .draw_series(LineSeries::new(points, &colour))?
        .label(cause.to_string())
        .legend(move |(x, y)| PathElement::new([(x, y), (x + LEGEND_LINE, y)], colour));
    Ok(())
}

/// Returns the range of seconds from the first report to the last; only second 0 if there are no
/// reports.
fn seconds(summary: &Summary) -> Range<u64> {
    let mut seconds = summary.by_second().keys().copied();
    let first = seconds.next().unwrap_or(0);
    let last = seconds.next_back().unwrap_or(first);
    first..last + 1
}

/// Returns the highest number of reports with the same cause in one second; 1 if there are no
/// reports.
fn max_count(summary: &Summary) -> usize {
    summary
        .by_second()
        .values()
        .flat_map(|counts| counts.values())
        .max()
        .copied()
        .unwrap_or(1)
}
