//! State of each upstream that the planner keeps between plans.

use ids::{ArenaKey, Timestamp};

use crate::loads::UpstreamKey;

/// What the planner tracks of one upstream between plans.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct TrackedUpstream {
    /// Time since which it has been above the trigger.
    pub over_since: Option<Timestamp>,
    /// Time since which it has been so far below its share that slices should be moved to it.
    pub under_since: Option<Timestamp>,
    /// Time until which nothing is moved to it, after a move to it failed or was declined.
    pub excluded_until: Timestamp,
    /// Whether hot keys are moved off it until it is well below the trigger.
    pub offload_hot_keys: bool,
    /// Whether hot keys that fit nowhere are moved off it as well.
    pub offload_misfits: bool,
    /// Whether ordinary slices are moved off it as well.
    pub offload_slices: bool,
}

/// The tracked state of all upstreams.
#[derive(Debug, Default)]
pub(crate) struct TrackedUpstreams(Vec<TrackedUpstream>);

impl TrackedUpstreams {
    /// Returns whether slices may be moved to `key`; they may not for a while after a failed move.
    pub(crate) fn is_eligible(&self, now: Timestamp, key: UpstreamKey) -> bool {
        self.0
            .get(key.index())
            .is_none_or(|upstream| upstream.excluded_until <= now)
    }

    pub(crate) fn get_mut(&mut self, key: UpstreamKey) -> &mut TrackedUpstream {
        if self.0.len() <= key.index() {
            self.0.resize(key.index() + 1, TrackedUpstream::default());
        }
        &mut self.0[key.index()]
    }
}

/// Updates the time `since` which a condition holds: sets it to `now` when the condition begins to
/// hold, and clears it when it no longer holds.
pub(crate) fn update_since(since: &mut Option<Timestamp>, holds: bool, now: Timestamp) {
    if !holds {
        *since = None;
        return;
    }
    since.get_or_insert(now);
}
