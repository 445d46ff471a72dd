//! Costs of a simulation: keys without a holder, keys that moved, calls and commits.

use std::time::Duration;

use super::{PROBES, STEP};

/// Counts for the checked keys.
#[derive(Debug)]
pub struct Tally {
    /// Total time for which each key had no holder, since it had its first one.
    unserved: [Duration; PROBES],
    /// The last holder of each key.
    holder: [Option<usize>; PROBES],
    /// Number of changes of a key's holder.
    moved: u32,
    /// Grant calls to upstreams.
    pub calls: u32,
    /// Commits to the store.
    pub commits: u32,
}

impl Default for Tally {
    fn default() -> Self {
        Self {
            unserved: [Duration::ZERO; PROBES],
            holder: [None; PROBES],
            moved: 0,
            calls: 0,
            commits: 0,
        }
    }
}

impl Tally {
    /// Records the holder of a key in this step.
    pub(super) fn record(&mut self, probe: usize, holder: Option<usize>) {
        let before = &mut self.holder[probe];
        match holder {
            None if before.is_some() => self.unserved[probe] += STEP,
            None => {}
            Some(_) => {
                self.moved += u32::from(before.is_some() && *before != holder);
                *before = holder;
            }
        }
    }

    /// Returns the total times without a holder, in rising order, of the keys that have lacked one.
    pub fn unserved(&self) -> Vec<Duration> {
        let mut hit: Vec<_> = self
            .unserved
            .iter()
            .copied()
            .filter(|d| !d.is_zero())
            .collect();
        hit.sort_unstable();
        hit
    }

    /// Returns the fraction of all keys that changed holders.
    pub fn moved(&self) -> f64 {
        f64::from(self.moved) / PROBES as f64
    }
}
