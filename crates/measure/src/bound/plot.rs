//! Line chart of answers in time over time.

use std::collections::BTreeSet;

use anyhow::{Result, anyhow};
use plotters::prelude::*;

use super::US_PER_S;
use super::tally::{Row, Rows};
use crate::report::plot::set_colour;

const SIZE: (u32, u32) = (860, 360);
const MARGIN: u32 = 12;
const LABEL_AREA: u32 = 48;
const LEGEND_LINE: i32 = 18;
const FONT: (&str, u32) = ("sans-serif", 12);
/// Space above the highest value, as a factor, so that the legend hides little.
const HEADROOM: f64 = 1.25;

struct Series {
    name: &'static str,
    /// Start of each window in seconds, and the answers in time per second.
    points: Vec<(f64, f64)>,
}

/// Draws the answers in time per second of the bound, the achievable schedule, the first-come queue
/// and the run as SVG.
///
/// # Errors
///
/// Fails if the plotting library fails.
pub fn in_time_chart(rows: &Rows) -> Result<String> {
    let mut svg = String::new();
    draw(&mut svg, &series(rows)).map_err(|e| anyhow!("failed to draw a chart: {e}"))?;
    Ok(svg)
}

fn series(rows: &Rows) -> Vec<Series> {
    let sums = rows.sums(|key| key.window);
    let empty = Row::default();
    let has_run = sums.values().any(|row| row.run.is_some());
    // Gaps are drawn as zeros at both ends: a trace and a run may be far apart in time.
    let mut windows = BTreeSet::new();
    for (before, after) in sums.keys().zip(sums.keys().skip(1)) {
        windows.extend(
            [before + 1, after - 1]
                .iter()
                .filter(|w| (before..after).contains(w)),
        );
    }
    windows.extend(sums.keys().copied());
    let length_s = rows.window_us as f64 / US_PER_S as f64;
    let line = |name, in_time: &dyn Fn(&Row) -> f64| Series {
        name,
        points: windows
            .iter()
            .map(|window| {
                let row = sums.get(window).unwrap_or(&empty);
                (*window as f64 * length_s, in_time(row) / length_s)
            })
            .collect(),
    };
    let mut found = vec![
        line("bound", &|row| row.bound.in_time),
        line("achievable", &|row| row.achievable.in_time),
        line("first come", &|row| row.first_come.in_time),
    ];
    if has_run {
        let in_time = |row: &Row| row.run.map_or(0.0, |run| run.in_time);
        found.push(line("run", &in_time));
    }
    found
}

fn draw(svg: &mut String, series: &[Series]) -> Result<(), Box<dyn std::error::Error>> {
    let points = || series.iter().flat_map(|s| &s.points);
    let start = points().map(|(x, _)| *x).fold(f64::INFINITY, f64::min);
    let end = points().map(|(x, _)| *x).fold(start + 1.0, f64::max);
    let top = points().map(|(_, y)| *y).fold(1.0, f64::max) * HEADROOM;
    let area = SVGBackend::with_string(svg, SIZE).into_drawing_area();
    let mut chart = ChartBuilder::on(&area)
        .margin(MARGIN)
        .x_label_area_size(LABEL_AREA)
        .y_label_area_size(LABEL_AREA)
        .build_cartesian_2d(start..end, 0.0..top)?;
    chart
        .configure_mesh()
        .x_desc("arrival (s)")
        .y_desc("answers in time per second")
        .label_style(FONT)
        .max_light_lines(1)
        .draw()?;
    for (n, line) in series.iter().enumerate() {
        let colour = set_colour(n);
        let points = line.points.iter().copied();
        chart
            .draw_series(LineSeries::new(points, colour.stroke_width(2)))?
            .label(line.name)
            .legend(move |(x, y)| {
                PathElement::new([(x, y), (x + LEGEND_LINE, y)], colour.stroke_width(2))
            });
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperRight)
        .label_font(FONT)
        .background_style(WHITE)
        .border_style(BLACK)
        .draw()?;
    area.present()?;
    Ok(())
}
