//! Renders the HTML page with tables and charts.

use std::fmt::Write;

use anyhow::Result;
use indexmap::IndexMap;
use smol_str::SmolStr;

use super::cases::{CaseValues, ResultGroup};
use super::plot;

const STYLE: &str = "body{font-family:sans-serif;max-width:64em;margin:2em auto;padding:0 1em}\
table{border-collapse:collapse;font-size:85%}\
td,th{border:1px solid #ccc;padding:.15em .5em;text-align:right}\
td:first-child,th:first-child{text-align:left}\
summary{cursor:pointer;color:#446}";

/// Metrics whose sections are expanded by default, as users look at them first.
const EXPANDED_METRICS: [&str; 12] = [
    "steady_max_by_mean.mean",
    "max_by_mean.mean",
    "settling_s.max",
    "owner_changes_per_key_hour",
    "moves_per_hour",
    "moved_requests",
    "unavailable_ms.p50",
    "unavailable_ms.p99",
    "unavailable_ms.max",
    "violations",
    "after_max_by_mean",
    "busy_plan_us",
];

/// Renders the whole page as HTML.
///
/// # Errors
///
/// Fails if a chart can't be drawn.
pub fn render(sets: &[SmolStr], groups: &IndexMap<String, ResultGroup>) -> Result<String> {
    let mut page = String::new();
    write!(
        page,
        "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">\
         <title>medlardyke: measurements</title><style>{STYLE}</style></head><body>\n\
         <h1>Measurements</h1>\n"
    )?;
    write_legend(&mut page, sets)?;
    for (kind, group) in groups {
        writeln!(page, "<h2>{}</h2>", escape(kind))?;
        for (metric, cases) in &group.metrics {
            write_section(&mut page, sets, metric, cases)?;
        }
    }
    page.push_str("</body></html>\n");
    Ok(page)
}

fn write_legend(page: &mut String, sets: &[SmolStr]) -> Result<()> {
    page.push_str("<p>");
    for (n, set) in sets.iter().enumerate() {
        let plotters::style::RGBColor(r, g, b) = plot::set_colour(n);
        write!(
            page,
            "<span style=\"color:rgb({r},{g},{b})\">&#9632;</span> {} ",
            escape(set)
        )?;
    }
    page.push_str("</p>\n");
    Ok(())
}

fn write_section(
    page: &mut String,
    sets: &[SmolStr],
    metric: &str,
    cases: &IndexMap<String, CaseValues>,
) -> Result<()> {
    let open = if EXPANDED_METRICS.contains(&metric) {
        " open"
    } else {
        ""
    };
    writeln!(
        page,
        "<details{open}><summary><b>{}</b></summary>",
        escape(metric)
    )?;
    page.push_str(&plot::bar_chart(cases)?);
    write_table(page, sets, cases)?;
    page.push_str("</details>\n");
    Ok(())
}

fn write_table(
    page: &mut String,
    sets: &[SmolStr],
    cases: &IndexMap<String, CaseValues>,
) -> Result<()> {
    page.push_str("<table><tr><th>case</th>");
    for set in sets {
        write!(page, "<th>{}</th>", escape(set))?;
    }
    let compared = sets.len() > 1;
    if compared {
        page.push_str("<th>last / first</th>");
    }
    page.push_str("</tr>\n");
    for (case, values) in cases {
        write!(page, "<tr><td>{}</td>", escape(case))?;
        for value in values {
            let text = value.map_or_else(|| String::from("-"), plot::format_number);
            write!(page, "<td>{text}</td>")?;
        }
        if compared {
            write!(page, "<td>{}</td>", ratio(values))?;
        }
        page.push_str("</tr>\n");
    }
    page.push_str("</table>\n");
    Ok(())
}

fn ratio(values: &CaseValues) -> String {
    match (values.first(), values.last()) {
        (Some(Some(first)), Some(Some(last))) if *first != 0.0 => format!("{:.2}", last / first),
        _ => String::from("-"),
    }
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
}
