//! Owners of slices and hot keys, and counts of their changes.

use ids::{KeyHash, SliceNo};
use indexmap::{IndexMap, IndexSet};

use crate::score::Churn;

/// Owners of the slices of one entry and of its hot keys, which are carved out of their slices.
#[derive(Debug, Clone)]
pub struct Ownership {
    slices: Vec<usize>,
    hot_owners: IndexMap<SliceNo, usize>,
    keys_per_slice: f64,
    churn: Churn,
    changed: IndexSet<SliceNo>,
}

impl Ownership {
    /// Creates the initial ownership; churn assumes that `keys` keys are spread evenly over slices.
    #[must_use]
    pub fn new(slices: Vec<usize>, keys: u64) -> Self {
        let keys_per_slice = keys as f64 / slices.len().max(1) as f64;
        Self {
            slices,
            hot_owners: IndexMap::new(),
            keys_per_slice,
            churn: Churn::default(),
            changed: IndexSet::new(),
        }
    }

    /// Returns the slice that serves a key, and the slice's owner.
    #[must_use]
    pub fn locate(&self, key: KeyHash, base: SliceNo) -> (SliceNo, usize) {
        if !self.hot_owners.is_empty() {
            let hot = key.hot_slice();
            if let Some(owner) = self.hot_owners.get(&hot) {
                return (hot, *owner);
            }
        }
        (base, self.slices[base.0 as usize])
    }

    /// Returns the owner of a slice or a carved-out key.
    #[must_use]
    pub fn owner(&self, slice: SliceNo) -> Option<usize> {
        if slice.is_hot() {
            return self.hot_owners.get(&slice).copied();
        }
        self.slices.get(slice.0 as usize).copied()
    }

    /// Returns the owners of all slices, indexed by slice number.
    #[must_use]
    pub fn slices(&self) -> &[usize] {
        &self.slices
    }

    /// Assigns a slice or a carved-out key to an owner, counting the change if there is one.
    pub fn assign(&mut self, slice: SliceNo, to: usize) {
        if slice.is_hot() {
            if self.hot_owners.insert(slice, to) != Some(to) {
                self.count_key_move(slice);
            }
            return;
        }
        let owner = &mut self.slices[slice.0 as usize];
        if *owner == to {
            return;
        }
        *owner = to;
        self.changed.insert(slice);
        self.churn.slice_moves += 1;
        self.churn.keys += self.keys_per_slice;
    }

    /// Carves a key out of its slice into a slice of its own, owned by `to`.
    pub fn carve(&mut self, key: KeyHash, base: SliceNo, to: usize) {
        self.hot_owners.insert(key.hot_slice(), to);
        if self.owner(base) != Some(to) {
            self.count_key_move(key.hot_slice());
        }
    }

    /// Folds a carved-out key back into the slice that it came from.
    pub fn fold(&mut self, hot: SliceNo) {
        let base = hot.base(self.slices.len() as u32);
        let owner = self.hot_owners.swap_remove(&hot);
        if owner.is_some() && owner != self.owner(base) {
            self.count_key_move(hot);
        }
    }

    /// Moves the slices that changed owner since the last call into `out`, replacing its contents.
    pub fn take_changed(&mut self, out: &mut IndexSet<SliceNo>) {
        out.clear();
        std::mem::swap(&mut self.changed, out);
    }

    fn count_key_move(&mut self, slice: SliceNo) {
        self.changed.insert(slice);
        self.churn.key_moves += 1;
        self.churn.keys += 1.0;
    }

    /// Returns the counts of all changes of ownership so far.
    #[must_use]
    pub const fn churn(&self) -> Churn {
        self.churn
    }
}
