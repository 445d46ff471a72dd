//! How loaded upstreams are, while a plan is made.

use std::collections::HashMap;

use ids::UpstreamId;

use crate::loads::KeyLoads;
use crate::plan::UpstreamView;
use crate::row::EntryRow;

/// Load of an upstream while a plan is made.
#[derive(Debug, Clone)]
pub(crate) struct Level<'a> {
    pub(crate) view: &'a UpstreamView,
    /// Requests a second.
    pub(crate) rate: f64,
    pub(crate) has_keys: bool,
}

impl Level<'_> {
    /// Busy slots for each slot, if `more` requests a second came.
    pub(crate) fn with(&self, more: f64) -> f64 {
        (self.rate + more) * self.view.service / f64::from(self.view.slots.max(1))
    }

    pub(crate) fn is(&self) -> f64 {
        self.with(0.0)
    }

    /// Requests a second that lift the upstream to `level`.
    pub(crate) fn room(&self, level: f64) -> f64 {
        level * f64::from(self.view.slots.max(1)) / self.view.service.max(1e-4) - self.rate
    }
}

/// Returns the levels of `ups`.
pub(crate) fn levels<'a>(
    row: &EntryRow,
    loads: &KeyLoads,
    ups: &'a [UpstreamView],
) -> Vec<Level<'a>> {
    let mut rates: HashMap<&UpstreamId, f64> = HashMap::new();
    for piece in &row.pieces {
        *rates.entry(&piece.owner).or_default() += loads.rate(piece.range);
    }
    let level = |view: &'a UpstreamView| Level {
        view,
        rate: rates.get(&view.id).copied().unwrap_or_default(),
        has_keys: rates.contains_key(&view.id),
    };
    ups.iter().map(level).collect()
}

/// Returns the level that all would have if requests were spread by speed.
pub(crate) fn fair_level(levels: &[Level<'_>]) -> f64 {
    let rate: f64 = levels.iter().map(|l| l.rate).sum();
    let speed: f64 = levels.iter().map(|l| l.room(1.0) + l.rate).sum();
    rate / speed.max(1e-9)
}
