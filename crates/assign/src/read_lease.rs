//! How long a host may act on its last read of the store.

use std::time::Duration;

use ids::Timestamp;

/// The latest time at which the host's copy of the store is known to have been up to date.
///
/// This is when the last successful read began, by the host's own clock, which goes on while the
/// host is suspended.
#[derive(Debug, Clone, Copy, Default)]
pub struct ReadLease {
    read_began: Option<Timestamp>,
}

impl ReadLease {
    /// Records a read that began at `began` and returned everything up to then, or a commit that
    /// shows as much.
    pub fn record_read(&mut self, began: Timestamp) {
        self.read_began = self.read_began.max(Some(began));
    }

    /// Returns the time since the last read began, or `None` before the first read.
    #[must_use]
    pub fn age(&self, now: Timestamp) -> Option<Duration> {
        self.read_began.map(|at| now.since(at))
    }

    /// Returns when the last read will have begun `limit` ago, or `None` before the first read.
    #[must_use]
    pub fn end(&self, limit: Duration) -> Option<Timestamp> {
        self.read_began.map(|at| at + limit)
    }

    /// Returns whether the last read began less than `limit` ago.
    #[must_use]
    pub fn is_within(&self, now: Timestamp, limit: Duration) -> bool {
        self.age(now).is_some_and(|age| age < limit)
    }
}
