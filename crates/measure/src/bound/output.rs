//! Rows as text and as JSON lines.

use std::fmt::Write as _;
use std::io::Write as _;

use anyhow::{Context as _, Result};
use serde::Serialize;
use smol_str::SmolStr;

use super::US_PER_S;
use super::model::Model;
use super::tally::{Row, RowKey, Rows, Tally};
use crate::json_lines;

/// Name of the total over all routes or all domains.
const ALL: &str = "all";

/// Result line of one route, failure domain and window.
#[derive(Debug)]
#[derive(Serialize)]
struct RowLine<'a> {
    kind: &'static str,
    route: &'a str,
    domain: &'a str,
    /// Start of the window, in seconds.
    second: u64,
    #[serde(flatten)]
    row: Row,
    /// Answers in time of the run as a fraction of the bound's.
    run_of_bound: Option<f64>,
}

/// Result line of one route, or of all, over the whole trace.
#[derive(Debug)]
#[derive(Serialize)]
struct TotalLine<'a> {
    kind: &'static str,
    route: &'a str,
    #[serde(flatten)]
    row: Row,
    run_of_bound: Option<f64>,
    /// Upper bound of the answers in time of all routes, whichever are served first.
    #[serde(skip_serializing_if = "Option::is_none")]
    most_in_time: Option<f64>,
}

/// Prints the rows and totals as JSON lines.
///
/// # Errors
///
/// Fails if standard output is closed.
pub fn print_json(model: &Model, rows: &Rows, most_in_time: f64) -> Result<()> {
    for (key, row) in &rows.rows {
        json_lines::print(&RowLine {
            kind: "bound",
            route: &model.routes[key.route].name,
            domain: &model.domains[key.domain],
            second: second(rows, key),
            row: *row,
            run_of_bound: row.run_of_bound(),
        })?;
    }
    let total_line = |route, row: &Row, most_in_time| TotalLine {
        kind: "bound-total",
        route,
        row: *row,
        run_of_bound: row.run_of_bound(),
        most_in_time,
    };
    for (route, row) in rows.sums(|key| key.route) {
        json_lines::print(&total_line(&model.routes[route].name, &row, None))?;
    }
    for row in rows.sums(|_| ()).values() {
        json_lines::print(&total_line(ALL, row, Some(most_in_time)))?;
    }
    Ok(())
}

/// Prints the rows and totals as a table.
///
/// # Errors
///
/// Fails if standard output is closed.
pub fn print_text(model: &Model, rows: &Rows, most_in_time: f64) -> Result<()> {
    let text = format_table(model, rows, most_in_time)?;
    let mut out = std::io::stdout().lock();
    out.write_all(text.as_bytes())
        .context("failed to write a result to standard output")
}

fn format_table(model: &Model, rows: &Rows, most_in_time: f64) -> Result<String> {
    let routes = model.routes.iter().map(|route| route.name.len());
    let route_width = routes.max().unwrap_or(0).max("route".len());
    let domains = model.domains.iter().map(SmolStr::len);
    let domain_width = domains.max().unwrap_or(0).max("domain".len());
    let mut text = String::new();
    let mut line = |second: &str, route: &str, domain: &str, cells: &str| {
        writeln!(
            text,
            "{second:>8} {route:route_width$} {domain:domain_width$} {cells}"
        )
    };
    let groups = ["bound", "achievable", "first come", "run"].map(|name| format!("{name:^26}"));
    line("", "", "", &format!("{:>8} | {} |", "", groups.join(" | ")))?;
    let columns = format!("{:>8} {:>8} {:>8}", "in time", "late", "unserved");
    let columns = vec![columns; groups.len()].join(" | ");
    let header = format!("{:>8} | {columns} | run/bound", "asked");
    line("second", "route", "domain", &header)?;
    for (key, row) in &rows.rows {
        let second = second(rows, key).to_string();
        let route = &model.routes[key.route].name;
        line(&second, route, &model.domains[key.domain], &format_row(row))?;
    }
    for (route, row) in rows.sums(|key| key.route) {
        line(ALL, &model.routes[route].name, ALL, &format_row(&row))?;
    }
    for row in rows.sums(|_| ()).values() {
        line(ALL, ALL, ALL, &format_row(row))?;
    }
    writeln!(
        text,
        "at most {most_in_time:.1} in time, whichever routes are served first"
    )?;
    Ok(text)
}

fn format_row(row: &Row) -> String {
    let run = row.run.as_ref().map_or_else(
        || format!("{:>8} {:>8} {:>8}", "-", "-", "-"),
        |run| format_tally(run, 0),
    );
    let of_bound = row
        .run_of_bound()
        .map_or_else(|| "-".to_owned(), |fraction| format!("{fraction:.3}"));
    format!(
        "{:>8} | {} | {} | {} | {run} | {of_bound:>9}",
        row.asked,
        format_tally(&row.bound, 1),
        format_tally(&row.achievable, 0),
        format_tally(&row.first_come, 0),
    )
}

fn format_tally(tally: &Tally, decimals: usize) -> String {
    let Tally {
        in_time,
        late,
        unserved,
    } = tally;
    format!("{in_time:>8.decimals$} {late:>8.decimals$} {unserved:>8.decimals$}")
}

fn second(rows: &Rows, key: &RowKey) -> u64 {
    key.window * rows.window_us / US_PER_S
}
