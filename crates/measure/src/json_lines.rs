//! Writes and reads JSON lines.

use std::fs;
use std::io::Write;
use std::path::Path;

use anyhow::{Context, Result};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

/// Writes a result to standard output as one line of JSON.
///
/// # Errors
///
/// Fails if the output is closed or the result has a value that can't be encoded as JSON.
pub fn print(line: &impl Serialize) -> Result<()> {
    let mut text = serde_json::to_string(line).context("failed to encode a result as JSON")?;
    text.push('\n');
    let mut out = std::io::stdout().lock();
    out.write_all(text.as_bytes())
        .context("failed to write a result to standard output")
}

/// Reads a file of JSON lines, skipping empty ones.
///
/// # Errors
///
/// Fails if the file can't be read or a line is not valid JSON; the error names the line.
pub fn read(path: &Path) -> Result<Vec<Value>> {
    read_records(path)
}

/// Reads a file with a record of one type on each line, skipping empty lines.
///
/// # Errors
///
/// Fails if the file can't be read or a line is not a valid record; the error names the line.
pub fn read_records<T: DeserializeOwned>(path: &Path) -> Result<Vec<T>> {
    let text =
        fs::read_to_string(path).with_context(|| format!("failed to read {}", path.display()))?;
    let mut lines = Vec::new();
    for (n, line) in text.lines().enumerate() {
        if line.trim().is_empty() {
            continue;
        }
        let value = serde_json::from_str(line)
            .with_context(|| format!("failed to parse {}, line {}", path.display(), n + 1))?;
        lines.push(value);
    }
    Ok(lines)
}
