//! Load of the machine during a measurement.

use std::fs;

/// Returns the load average over the last minute; zero if it can't be read.
#[must_use]
pub fn load_average() -> f64 {
    let text = fs::read_to_string("/proc/loadavg").unwrap_or_default();
    let first = text.split_whitespace().next();
    first.and_then(|t| t.parse().ok()).unwrap_or_default()
}
