//! HTML page with tables and charts that compares sets of JSON lines.
//!
//! - [`cases`]: groups the lines of all sets by kind, metric and case.
//! - [`plot`]: bar charts.
//! - [`page`]: the HTML page with tables and charts.

pub mod cases;
pub mod page;
pub mod plot;

use std::fs;
use std::path::{Path, PathBuf};

use anyhow::{Context, Result};
use smol_str::SmolStr;

use crate::json_lines;

/// Reads files of JSON lines and writes one page that compares them.
///
/// # Errors
///
/// Fails if a file can't be read, a line is not valid JSON, or the page can't be written.
pub fn run(files: &[PathBuf], out: &Path) -> Result<()> {
    let mut sets = Vec::new();
    for file in files {
        let name = file.file_stem().unwrap_or_default().to_string_lossy();
        sets.push(cases::ResultSet {
            name: SmolStr::new(name),
            lines: json_lines::read(file)?,
        });
    }
    let groups = cases::group_lines(&sets);
    let names: Vec<SmolStr> = sets.into_iter().map(|set| set.name).collect();
    let page = page::render(&names, &groups)?;
    fs::write(out, page).with_context(|| format!("failed to write {}", out.display()))
}
