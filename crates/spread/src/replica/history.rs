//! States that rows had before, as the base of patches.

use std::collections::{BTreeMap, VecDeque};

use bytes::Bytes;
use ids::Revision;
use smol_str::SmolStr;

/// States kept; with a dozen changed rows a second, those of the last minutes.
const KEPT_STATES: usize = 2_048;

/// The last states that were replaced, oldest dropped first.
#[derive(Debug, Clone, Default)]
pub(super) struct History {
    states: BTreeMap<(SmolStr, Revision), Bytes>,
    order: VecDeque<(SmolStr, Revision)>,
}

impl History {
    /// Keeps the state that a row had at `revision`.
    pub(super) fn keep(&mut self, key: &SmolStr, revision: Revision, value: Bytes) {
        let at = (key.clone(), revision);
        if self.states.insert(at.clone(), value).is_none() {
            self.order.push_back(at);
        }
        if self.order.len() <= KEPT_STATES {
            return;
        }
        if let Some(oldest) = self.order.pop_front() {
            self.states.remove(&oldest);
        }
    }

    /// Returns the latest kept state of a row that is not above `revision`.
    pub(super) fn state_at(&self, key: &SmolStr, revision: Revision) -> Option<(Revision, &Bytes)> {
        let bounds = (key.clone(), Revision(0))..=(key.clone(), revision);
        let ((_, at), value) = self.states.range(bounds).next_back()?;
        Some((*at, value))
    }
}
