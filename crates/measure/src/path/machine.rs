//! How busy the machine is meanwhile.

use std::fs;

/// Returns the load average over the last minute; zero if the system doesn't tell.
#[must_use]
pub fn load_average() -> f64 {
    let text = fs::read_to_string("/proc/loadavg").unwrap_or_default();
    let first = text.split_whitespace().next();
    first.and_then(|t| t.parse().ok()).unwrap_or_default()
}
