//! Earlier states of rows, used as the base of patches.

use std::collections::{BTreeMap, VecDeque};

use bytes::Bytes;
use ids::Revision;
use smol_str::SmolStr;

/// Number of states kept; covers the last minutes at a dozen changed rows per second.
const MAX_STATES: usize = 2_048;

/// The most recently replaced states; the oldest is dropped first.
#[derive(Debug, Clone, Default)]
pub(super) struct History {
    states: BTreeMap<(SmolStr, Revision), Bytes>,
    order: VecDeque<(SmolStr, Revision)>,
}

impl History {
    /// Adds the state that a row had at `revision`.
    pub(super) fn insert(&mut self, key: &SmolStr, revision: Revision, value: Bytes) {
        let state = (key.clone(), revision);
        if self.states.insert(state.clone(), value).is_none() {
            self.order.push_back(state);
        }
        if self.order.len() <= MAX_STATES {
            return;
        }
        if let Some(oldest) = self.order.pop_front() {
            self.states.remove(&oldest);
        }
    }

    /// Returns the latest kept state of a row with a revision of at most `revision`.
    pub(super) fn state_at(&self, key: &SmolStr, revision: Revision) -> Option<(Revision, &Bytes)> {
        let bounds = (key.clone(), Revision(0))..=(key.clone(), revision);
        let ((_, at), value) = self.states.range(bounds).next_back()?;
        Some((*at, value))
    }
}
