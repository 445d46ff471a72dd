//! Load of an upstream and the load that it reports, without I/O or clock access.

use std::collections::VecDeque;
use std::time::Duration;

use ids::Timestamp;

use super::settings::LoadReport;

/// Maximum number of load changes kept for a lagging report; older ones are dropped.
const MAX_CHANGES: usize = 1 << 16;

/// Number of requests at an upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests that are running.
    pub running: u32,
    /// Requests that are waiting.
    pub queued: u32,
}

/// The current load and its recent changes.
#[derive(Debug, Clone, Default)]
pub struct LoadHistory {
    now: Load,
    changes: VecDeque<(Timestamp, Load)>,
}

impl LoadHistory {
    /// Returns the current load.
    #[must_use]
    pub const fn load(&self) -> Load {
        self.now
    }

    /// Changes the load at `now`; drops changes that are too old for a report with this `lag`.
    pub fn change(&mut self, now: Timestamp, lag: Duration, change: impl FnOnce(&mut Load)) {
        change(&mut self.now);
        self.changes.push_back((now, self.now));
        let is_outdated = |next: &(Timestamp, Load)| now.since(next.0) > lag;
        while self.changes.len() > MAX_CHANGES || self.changes.get(1).is_some_and(is_outdated) {
            self.changes.pop_front();
        }
    }

    fn load_at(&self, at: Timestamp) -> Load {
        let before = self.changes.iter().rev().find(|(t, _)| *t <= at);
        before.map_or_else(Load::default, |(_, load)| *load)
    }

    /// Returns the load that an upstream reports; `full` holds its number of slots and the length
    /// of its queue.
    #[must_use]
    pub fn reported(&self, now: Timestamp, kind: LoadReport, full: Load) -> Load {
        match kind {
            LoadReport::Honest => self.now,
            LoadReport::Lagging { ms } => self.load_at(now - Duration::from_millis(ms)),
            LoadReport::FrozenZero => Load::default(),
            LoadReport::FrozenFull => full,
            LoadReport::Inverted => Load {
                running: full.running.saturating_sub(self.now.running),
                queued: full.queued.saturating_sub(self.now.queued),
            },
        }
    }
}
