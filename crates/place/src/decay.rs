//! Exponentially decayed sums that need no periodic update.
//!
//! This is forward decay: a sample at time `t` is stored with the weight
//! `exp((t - landmark) / time_constant)`. All stored sums then decay alike, so that they can be
//! added and compared as stored, and a reading divides by the current weight. Only a change of the
//! landmark, once in many time constants, touches every sum.

use std::time::Duration;

use ids::Timestamp;

/// Exponent of a weight at which the landmark is moved, so that weights don't overflow.
const MAX_EXPONENT: f64 = 200.0;

/// The decay that a set of sums has in common.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Decay {
    time_constant_us: f64,
    landmark: Timestamp,
}

impl Decay {
    /// Creates a decay by the factor 1/e in each `time_constant`.
    ///
    /// # Panics
    ///
    /// Panics in debug builds if `time_constant` is zero.
    #[must_use]
    pub fn new(time_constant: Duration) -> Self {
        debug_assert!(
            !time_constant.is_zero(),
            "the time constant must not be zero"
        );
        Self {
            time_constant_us: time_constant.as_micros() as f64,
            landmark: Timestamp::ZERO,
        }
    }

    /// Returns the weight of a sample at `now`.
    #[must_use]
    pub fn weight(&self, now: Timestamp) -> f64 {
        (now.since(self.landmark).as_micros() as f64 / self.time_constant_us).exp()
    }

    /// Converts a decayed sum to a rate per second at `now`.
    #[must_use]
    pub fn rate(&self, now: Timestamp, sum: f64) -> f64 {
        sum / self.weight(now) / (self.time_constant_us / 1e6)
    }

    /// Converts a rate per second at `now` to a decayed sum.
    #[must_use]
    pub fn sum(&self, now: Timestamp, rate: f64) -> f64 {
        rate * self.weight(now) * (self.time_constant_us / 1e6)
    }

    /// Moves the landmark to `now` if weights have grown large, and returns the factor by which
    /// the caller must multiply all its sums.
    pub fn rebase(&mut self, now: Timestamp) -> Option<f64> {
        let exponent = now.since(self.landmark).as_micros() as f64 / self.time_constant_us;
        if exponent < MAX_EXPONENT {
            return None;
        }
        self.landmark = now;
        Some((-exponent).exp())
    }
}
