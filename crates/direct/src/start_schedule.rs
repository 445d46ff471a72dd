//! Schedule of starts at an upstream that limits them.

use std::time::Duration;

/// Times at which requests may start at an upstream that limits starts.
#[derive(Debug, Clone, Copy)]
pub(crate) struct StartSchedule {
    /// Time until the first start.
    pub(crate) until_first: Duration,
    /// Starts a second after that.
    pub(crate) per_s: f64,
}

impl StartSchedule {
    /// Returns the time until a request may start that has `ahead` others before it.
    pub(crate) fn time_until_start(&self, ahead: usize) -> Duration {
        self.until_first + Duration::from_secs_f64(ahead as f64 / self.per_s)
    }

    /// Returns the schedule that keeps to both.
    pub(crate) fn stricter(self, other: Self) -> Self {
        Self {
            until_first: self.until_first.max(other.until_first),
            per_s: self.per_s.min(other.per_s),
        }
    }
}
