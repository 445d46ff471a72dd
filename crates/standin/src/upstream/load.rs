//! Load of an upstream, and what its health endpoint makes of it; no I/O and no clock.

use std::collections::VecDeque;
use std::time::Duration;

use ids::Timestamp;

use super::settings::LoadReport;

/// Changes of the load that are kept for a lagging report; older ones are forgotten.
const MAX_CHANGES: usize = 1 << 16;

/// Requests that an upstream has.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub queued: u32,
}

/// The present load and how it came about.
#[derive(Debug, Clone, Default)]
pub struct LoadHistory {
    now: Load,
    changes: VecDeque<(Timestamp, Load)>,
}

impl LoadHistory {
    /// Returns the present load.
    #[must_use]
    pub const fn load(&self) -> Load {
        self.now
    }

    /// Changes the load at `now`; changes that a report with this `lag` can't need are forgotten.
    pub fn change(&mut self, now: Timestamp, lag: Duration, change: impl FnOnce(&mut Load)) {
        change(&mut self.now);
        self.changes.push_back((now, self.now));
        let is_needless = |next: &(Timestamp, Load)| now.since(next.0) > lag;
        while self.changes.len() > MAX_CHANGES || self.changes.get(1).is_some_and(is_needless) {
            self.changes.pop_front();
        }
    }

    fn load_at(&self, at: Timestamp) -> Load {
        let before = self.changes.iter().rev().find(|(t, _)| *t <= at);
        before.map_or_else(Load::default, |(_, load)| *load)
    }

    /// Returns the load that an upstream with so many slots and places in its queue reports.
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
