//! Reads memory and the CPU time of each thread of a process from `/proc`.

use std::fs;
use std::path::Path;
use std::time::Duration;

use indexmap::IndexMap;
use smol_str::SmolStr;

/// CPU time and memory that a process has used so far.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ProcessUsage {
    /// CPU time by thread name, summed over threads of the same name.
    pub threads: IndexMap<SmolStr, Duration>,
    /// Resident memory, in kibibytes.
    pub rss_kib: u64,
}

impl ProcessUsage {
    /// Reads the usage of the process with this id; returns `None` if it has ended.
    #[must_use]
    pub fn read(pid: u32) -> Option<Self> {
        let process = format!("/proc/{pid}");
        let mut usage = Self {
            threads: IndexMap::new(),
            rss_kib: read_rss_kib(Path::new(&process))?,
        };
        for thread in fs::read_dir(format!("{process}/task")).ok()?.flatten() {
            // A thread may end while the others are read.
            if let Some((name, cpu)) = read_thread(&thread.path()) {
                *usage.threads.entry(name).or_default() += cpu;
            }
        }
        usage.threads.sort_unstable_keys();
        Some(usage)
    }

    /// Returns the total CPU time of all threads.
    #[must_use]
    pub fn cpu(&self) -> Duration {
        self.threads.values().sum()
    }

    /// Returns the CPU time used since an earlier reading of the same process, with the memory of
    /// this reading.
    #[must_use]
    pub fn since(&self, earlier: &Self) -> Self {
        let used = |(name, cpu): (&SmolStr, &Duration)| {
            let before = earlier.threads.get(name).copied().unwrap_or_default();
            (name.clone(), cpu.saturating_sub(before))
        };
        Self {
            threads: self.threads.iter().map(used).collect(),
            rss_kib: self.rss_kib,
        }
    }
}

/// Reads a thread's name and its CPU time, which `schedstat` gives in nanoseconds.
fn read_thread(thread: &Path) -> Option<(SmolStr, Duration)> {
    let name = fs::read_to_string(thread.join("comm")).ok()?;
    let times = fs::read_to_string(thread.join("schedstat")).ok()?;
    let nanos = times.split_whitespace().next()?.parse().ok()?;
    Some((SmolStr::new(name.trim()), Duration::from_nanos(nanos)))
}

fn read_rss_kib(process: &Path) -> Option<u64> {
    let status = fs::read_to_string(process.join("status")).ok()?;
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"))?;
    line.split_whitespace().next()?.parse().ok()
}
