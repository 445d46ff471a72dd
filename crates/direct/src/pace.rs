//! How fast requests may start at an upstream that gets fewer than it has room for.

use std::time::Duration;

/// When requests may start at an upstream that gets only so many.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Pace {
    /// Time until the first one may.
    pub(crate) first: Duration,
    /// How many may in a second after that.
    pub(crate) per_s: f64,
}

impl Pace {
    /// Returns the time until a request may start that has `ahead` others before it.
    pub(crate) fn start_of(&self, ahead: usize) -> Duration {
        self.first + Duration::from_secs_f64(ahead as f64 / self.per_s)
    }

    /// Returns what both allow.
    pub(crate) fn slower(self, other: Self) -> Self {
        Self {
            first: self.first.max(other.first),
            per_s: self.per_s.min(other.per_s),
        }
    }
}
