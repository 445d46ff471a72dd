//! For how long each upstream has been above or below its share.

use ids::{ArenaKey, Timestamp};

use crate::loads::UpstreamKey;

/// Since when conditions hold for one upstream.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Watch {
    /// Since when it has been above the trigger.
    pub over: Option<Timestamp>,
    /// Since when it has been so far below its share that it should be filled.
    pub under: Option<Timestamp>,
    /// Until when nothing is moved to it, as it declined a move.
    pub closed_until: Timestamp,
    /// Whether it sheds hot keys until it is well below the trigger.
    pub sheds_hot: bool,
    /// Whether it sheds hot keys that fit nowhere as well.
    pub sheds_misfits: bool,
    /// Whether it sheds ordinary slices as well.
    pub sheds_all: bool,
}

/// The watches of all upstreams.
#[derive(Debug, Default)]
pub(crate) struct Watches(Vec<Watch>);

impl Watches {
    /// Tells whether slices may be moved to `key`.
    pub(crate) fn is_open(&self, now: Timestamp, key: UpstreamKey) -> bool {
        self.0
            .get(key.index())
            .is_none_or(|watch| watch.closed_until <= now)
    }

    pub(crate) fn get_mut(&mut self, key: UpstreamKey) -> &mut Watch {
        if self.0.len() <= key.index() {
            self.0.resize(key.index() + 1, Watch::default());
        }
        &mut self.0[key.index()]
    }
}

/// Starts or stops the time in `since` as `holds` says.
pub(crate) fn note(since: &mut Option<Timestamp>, holds: bool, now: Timestamp) {
    if !holds {
        *since = None;
        return;
    }
    since.get_or_insert(now);
}
