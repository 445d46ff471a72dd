//! The store's clock, from which hosts that have just started derive how long ago something was
//! written.

use std::time::Duration;

use ids::{StoreEra, Timestamp};

/// A reading of the store's clock, returned with an answer of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoreClock {
    /// The store's era at that time; readings of different eras are not comparable.
    pub era: StoreEra,
    /// When the call began, by the host's clock.
    pub requested_at: Timestamp,
    /// When the answer arrived, by the host's clock.
    pub answered_at: Timestamp,
    /// The store's clock at some time between the two.
    pub store_time: Duration,
}

impl StoreClock {
    /// Returns a lower bound of the store's clock at `now`.
    ///
    /// `drift` is how much slower the store's clock may run, as a fraction.
    #[must_use]
    pub fn lower_bound(&self, now: Timestamp, drift: f64) -> Duration {
        self.store_time + now.since(self.answered_at).mul_f64(1.0 - drift)
    }
}
