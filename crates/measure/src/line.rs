//! Writing and reading JSON lines.

use std::fs;
use std::io::Write;
use std::path::Path;

use anyhow::{Context, Result};
use serde::Serialize;
use serde_json::Value;

/// Writes one case's result as a line to standard output.
///
/// # Errors
///
/// Fails if the output is closed or the result has a value that JSON can't hold.
pub fn print(line: &impl Serialize) -> Result<()> {
    let mut text = serde_json::to_string(line).context("writing a result as JSON")?;
    text.push('\n');
    let mut out = std::io::stdout().lock();
    out.write_all(text.as_bytes())
        .context("writing a result to standard output")
}

/// Reads a file of JSON lines; empty lines are passed over.
///
/// # Errors
///
/// Fails if the file can't be read, or names the line that is no JSON.
pub fn read(path: &Path) -> Result<Vec<Value>> {
    let text = fs::read_to_string(path).with_context(|| format!("reading {}", path.display()))?;
    let mut lines = Vec::new();
    for (n, line) in text.lines().enumerate() {
        if line.trim().is_empty() {
            continue;
        }
        let value = serde_json::from_str(line)
            .with_context(|| format!("reading {}, line {}", path.display(), n + 1))?;
        lines.push(value);
    }
    Ok(lines)
}
