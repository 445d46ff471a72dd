//! Bar charts.

use anyhow::{Result, anyhow};
use indexmap::IndexMap;
use plotters::prelude::*;

use super::cases::CaseValues;

const WIDTH: i32 = 860;
const BAR_HEIGHT: i32 = 12;
const CASE_GAP: i32 = 8;
const MARGIN: i32 = 30;
const LABEL_WIDTH: i32 = 330;
const VALUE_WIDTH: i32 = 90;
const FONT: (&str, u32) = ("sans-serif", 12);

/// Colours of the sets, used in turn.
const COLOURS: [RGBColor; 4] = [
    RGBColor(70, 110, 170),
    RGBColor(220, 130, 50),
    RGBColor(90, 150, 90),
    RGBColor(150, 90, 150),
];

/// Returns the colour of a set, for the page's legend.
#[must_use]
pub fn set_colour(set: usize) -> RGBColor {
    COLOURS[set % COLOURS.len()]
}

/// Draws a chart of one metric as SVG, with one bar for each case and set.
///
/// # Errors
///
/// Fails if the plotting library fails or the chart has too many bars.
pub fn bar_chart(cases: &IndexMap<String, CaseValues>) -> Result<String> {
    let sets = cases.values().map(Vec::len).max().unwrap_or(0);
    let case_height = i32::try_from(sets)? * BAR_HEIGHT + CASE_GAP;
    let height = i32::try_from(cases.len())? * case_height + MARGIN;
    let mut svg = String::new();
    draw(&mut svg, cases, case_height, height)?;
    Ok(svg)
}

fn draw(
    svg: &mut String,
    cases: &IndexMap<String, CaseValues>,
    case_height: i32,
    height: i32,
) -> Result<()> {
    let largest = cases.values().flatten().flatten().copied();
    let largest = largest.fold(f64::MIN_POSITIVE, f64::max);
    let area = SVGBackend::with_string(svg, (WIDTH as u32, height as u32)).into_drawing_area();
    let draw_error = |e| anyhow!("failed to draw a chart: {e}");
    let max_bar_width = WIDTH - LABEL_WIDTH - VALUE_WIDTH;
    let mut row = MARGIN / 2;
    for (case, values) in cases {
        let mut top = row;
        row += case_height;
        let label = Text::new(case.clone(), (4, top), FONT);
        area.draw(&label).map_err(draw_error)?;
        for (set, value) in values.iter().enumerate() {
            let Some(value) = value else { continue };
            let right = LABEL_WIDTH + (value.max(0.0) / largest * f64::from(max_bar_width)) as i32;
            let corners = [(LABEL_WIDTH, top), (right, top + BAR_HEIGHT - 2)];
            let bar = Rectangle::new(corners, set_colour(set).filled());
            area.draw(&bar).map_err(draw_error)?;
            let value = Text::new(format_number(*value), (right + 4, top), FONT);
            area.draw(&value).map_err(draw_error)?;
            top += BAR_HEIGHT;
        }
    }
    area.present().map_err(draw_error)
}

/// Formats a number with about four digits.
#[must_use]
pub fn format_number(value: f64) -> String {
    let magnitude = value.abs();
    if magnitude >= 1000.0 || magnitude.fract() == 0.0 {
        return format!("{value:.0}");
    }
    if magnitude >= 1.0 {
        return format!("{value:.3}");
    }
    if magnitude >= 0.001 {
        return format!("{value:.4}");
    }
    format!("{value:.2e}")
}
