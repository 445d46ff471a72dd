//! The store's clock, by which hosts that start anew know how long ago something was written.

use std::time::Duration;

use ids::Timestamp;

/// A reading of the store's clock that came with an answer of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoreClock {
    /// When the call began, by the host's clock.
    pub asked: Timestamp,
    /// When its answer was there, by the host's clock.
    pub answered: Timestamp,
    /// The store's clock between the two.
    pub reads: Duration,
}

impl StoreClock {
    /// Returns a time of the store's clock that has surely passed.
    ///
    /// `drift` is how much slower the store's clock may run, as a part of the time.
    #[must_use]
    pub fn least(&self, now: Timestamp, drift: f64) -> Duration {
        self.reads + now.since(self.answered).mul_f64(1.0 - drift)
    }
}
