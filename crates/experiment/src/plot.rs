//! Plots the latency and the utilisation of several runs over time on one page.

use std::path::Path;

use plotters::coord::Shift;
use plotters::drawing::DrawingAreaErrorKind;
use plotters::prelude::BLACK;
use plotters::prelude::ChartBuilder;
use plotters::prelude::Color;
use plotters::prelude::DrawingArea;
use plotters::prelude::IntoDrawingArea;
use plotters::prelude::LineSeries;
use plotters::prelude::Palette;
use plotters::prelude::Palette99;
use plotters::prelude::PathElement;
use plotters::prelude::SVGBackend;
use plotters::prelude::WHITE;

use crate::report::Line;
use crate::sample::Samples;
use crate::sample::Second;

type Error = DrawingAreaErrorKind<std::io::Error>;
type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;
type Metric = fn(&Second) -> f64;

/// Plots runs of one case into an SVG file, with one line for each run.
///
/// # Errors
///
/// When the file cannot be written or a chart cannot be drawn.
pub fn draw(path: &Path, runs: &[(Line, Samples)]) -> Result<(), Error> {
    let page = SVGBackend::new(path, (1_000, 1_050)).into_drawing_area();
    page.fill(&WHITE)?;
    let panels: [(&str, Metric); 3] = [
        (
            "99th percentile of the latency by second of arrival, ms",
            |second| second.latency.value_at_quantile(0.99) as f64 / 1_000.0,
        ),
        ("slots in use, %", |second| mean(second, second.busy.0)),
        ("processors in use by services and batch, %", |second| {
            mean(second, second.busy.1)
        }),
    ];
    for (area, (title, metric)) in page.split_evenly((3, 1)).iter().zip(panels) {
        panel(area, title, metric, runs)?;
    }
    page.present()
}

/// The mean of a sum of shares over the samples of a second, in percent.
fn mean(second: &Second, sum: f64) -> f64 {
    sum * 100.0 / f64::from(second.samples.max(1))
}

fn panel(
    area: &Area<'_>,
    title: &str,
    metric: Metric,
    runs: &[(Line, Samples)],
) -> Result<(), Error> {
    let all = runs.iter().flat_map(|(_, samples)| &samples.seconds);
    let top = all.map(metric).fold(1.0, f64::max) * 1.1;
    let seconds = runs.iter().map(|(_, samples)| samples.seconds.len());
    let width = seconds.max().unwrap_or(1) as f64;
    let case = runs.first().map_or("", |(line, _)| line.case);
    let mut chart = ChartBuilder::on(area)
        .caption(format!("{case}: {title}"), ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(30)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..width, 0.0..top)?;
    chart.configure_mesh().x_desc("seconds").draw()?;
    for (index, (line, samples)) in runs.iter().enumerate() {
        let colour = Palette99::pick(index).mix(1.0);
        let points = samples.seconds.iter().enumerate();
        let points = points.map(|(at, second)| (at as f64, metric(second)));
        chart
            .draw_series(LineSeries::new(points, colour.stroke_width(2)))?
            .label(line.policy)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour));
    }
    let mut labels = chart.configure_series_labels();
    labels.background_style(WHITE).border_style(BLACK).draw()
}
