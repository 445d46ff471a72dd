//! How long a host may act on what it last read.

use std::time::Duration;

use ids::Timestamp;

/// The newest time at which what a host knows of the store was surely still true.
///
/// It is the time at which the last successful read began, by the host's own clock, which goes on
/// while the host is suspended.
#[derive(Debug, Clone, Copy, Default)]
pub struct Evidence {
    read_began: Option<Timestamp>,
}

impl Evidence {
    /// Notes a read that began at `began` and brought everything up to then, or a commit that did as much.
    pub fn read(&mut self, began: Timestamp) {
        self.read_began = self.read_began.max(Some(began));
    }

    /// Returns how old the evidence is.
    #[must_use]
    pub fn age(&self, now: Timestamp) -> Option<Duration> {
        self.read_began.map(|at| now.since(at))
    }

    /// Tells whether the evidence is younger than `limit`.
    #[must_use]
    pub fn is_within(&self, now: Timestamp, limit: Duration) -> bool {
        self.age(now).is_some_and(|age| age < limit)
    }
}
