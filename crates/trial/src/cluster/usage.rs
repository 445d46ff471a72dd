//! CPU time and peak memory of a process, read from `/proc`.

use std::fs;

use serde::Serialize;

/// Number of fields in `/proc/PID/stat` between the process's name and the user time.
const FIELDS_BEFORE_UTIME: usize = 11;

/// CPU time and peak memory of a process.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
#[derive(Serialize)]
pub struct Usage {
    /// CPU time in user and system mode, in seconds.
    pub cpu_s: f64,
    /// Peak resident memory, in kibibytes.
    pub rss_max_kib: u64,
}

impl Usage {
    /// Reads the usage of the process with this id; returns `None` if it can't be read.
    #[must_use]
    pub fn of(pid: u32) -> Option<Self> {
        let stat = fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
        let status = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
        Some(Self {
            cpu_s: cpu_s(&stat)?,
            rss_max_kib: rss_max_kib(&status)?,
        })
    }

    /// Combines this usage with that of a later process of the same host.
    ///
    /// CPU times are added; peak memory is the larger of the two.
    #[must_use]
    pub fn combine(self, later: Self) -> Self {
        Self {
            cpu_s: self.cpu_s + later.cpu_s,
            rss_max_kib: self.rss_max_kib.max(later.rss_max_kib),
        }
    }
}

fn cpu_s(stat: &str) -> Option<f64> {
    // The name is in parentheses and may contain any characters, including spaces and parentheses.
    let (_, fields) = stat.rsplit_once(')')?;
    let ticks = fields.split_whitespace().skip(FIELDS_BEFORE_UTIME).take(2);
    let ticks: u64 = ticks.map(|t| t.parse::<u64>().ok()).sum::<Option<u64>>()?;
    Some(ticks as f64 / rustix::param::clock_ticks_per_second() as f64)
}

fn rss_max_kib(status: &str) -> Option<u64> {
    let line = status.lines().find_map(|l| l.strip_prefix("VmHWM:"))?;
    line.split_whitespace().next()?.parse().ok()
}
