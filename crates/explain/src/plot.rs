//! Causes over time as a picture.

use crate::summary::Summary;
use plotters::prelude::*;

const SIZE: (u32, u32) = (1_000, 420);
const COLOURS: [RGBColor; 7] = [BLUE, GREEN, YELLOW, RED, MAGENTA, BLACK, CYAN];

/// A plot in SVG of the reports by second, a line for each cause. The message of the plotting library where it can't be drawn.
pub fn plot(summary: &Summary) -> Result<String, String> {
    let mut svg = String::new();
    draw(summary, &mut svg).map_err(|error| error.to_string())?;
    Ok(svg)
}

fn draw(summary: &Summary, svg: &mut String) -> Result<(), Box<dyn std::error::Error>> {
    let seconds = summary.by_second();
    let first = seconds.keys().next().copied().unwrap_or(0);
    let last = seconds.keys().next_back().copied().unwrap_or(0) + 1;
    let most = seconds
        .values()
        .flat_map(|counts| counts.values())
        .max()
        .copied()
        .unwrap_or(1);
    let area = SVGBackend::with_string(svg, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(50)
        .build_cartesian_2d(first..last, 0..most + 1)?;
    chart
        .configure_mesh()
        .x_desc("second")
        .y_desc("requests reported")
        .draw()?;
    for (cause, colour) in summary.causes().into_iter().zip(COLOURS) {
        let count = |second: u64| {
            seconds
                .get(&second)
                .and_then(|counts| counts.get(&cause))
                .copied()
                .unwrap_or(0)
        };
        let points = (first..last).map(|second| (second, count(second)));
        chart
            .draw_series(LineSeries::new(points, &colour))?
            .label(cause.to_string())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE)
        .border_style(BLACK)
        .draw()?;
    area.present()?;
    Ok(())
}
