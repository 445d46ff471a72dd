//! What a run costs: keys without a holder, keys that moved, calls.

use std::time::Duration;

use super::{PROBES, STEP};

/// What was seen of the keys that are looked at.
#[derive(Debug)]
pub struct Tally {
    /// How long each key had no holder, all in all, since it had its first one.
    unserved: [Duration; PROBES],
    /// The holder that each key had last.
    holder: [Option<usize>; PROBES],
    /// How often a key had another holder than before.
    moved: u32,
    /// Orders to upstreams.
    pub orders: u32,
    /// Transactions.
    pub commits: u32,
}

impl Default for Tally {
    fn default() -> Self {
        Self {
            unserved: [Duration::ZERO; PROBES],
            holder: [None; PROBES],
            moved: 0,
            orders: 0,
            commits: 0,
        }
    }
}

impl Tally {
    /// Notes who holds a key in this step.
    pub(super) fn note(&mut self, probe: usize, holder: Option<usize>) {
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

    /// Returns how long the keys that ever had no holder were without one, in rising order.
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

    /// Returns the part of all keys that changed hands.
    pub fn moved(&self) -> f64 {
        f64::from(self.moved) / PROBES as f64
    }
}
