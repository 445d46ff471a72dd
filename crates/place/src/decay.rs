//! Exponentially decayed sums that need no work while nothing happens.
//!
//! A sample at time `t` is stored with the weight `exp((t - landmark) / span)`. All stored sums
//! then decay alike as time goes on, so that they can be added and compared as they stand, and a
//! reading divides by the weight of the present. Only a change of the landmark, once in many
//! spans, touches every sum.

use std::time::Duration;

use ids::Timestamp;

/// Weights may grow to `exp` of this before the landmark has to be moved.
const MAX_EXPONENT: f64 = 200.0;

/// The common clock of a set of decayed sums.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Decay {
    span_us: f64,
    landmark: Timestamp,
}

impl Decay {
    /// Creates a decay by the factor 1/e in each `span`.
    ///
    /// # Panics
    ///
    /// Panics in debug builds if `span` is zero.
    #[must_use]
    pub fn new(span: Duration) -> Self {
        debug_assert!(!span.is_zero(), "sums decay over some time");
        Self {
            span_us: span.as_micros() as f64,
            landmark: Timestamp::ZERO,
        }
    }

    /// Returns the weight of a sample at `now`.
    #[must_use]
    pub fn weight(&self, now: Timestamp) -> f64 {
        (now.since(self.landmark).as_micros() as f64 / self.span_us).exp()
    }

    /// Returns the rate per second that `sum` stands for at `now`.
    #[must_use]
    pub fn rate(&self, now: Timestamp, sum: f64) -> f64 {
        sum / self.weight(now) / (self.span_us / 1e6)
    }

    /// Returns the sum that stands for `rate` per second at `now`.
    #[must_use]
    pub fn sum(&self, now: Timestamp, rate: f64) -> f64 {
        rate * self.weight(now) * (self.span_us / 1e6)
    }

    /// Moves the landmark to `now` if weights have grown large, and returns the factor by which
    /// the owner must multiply all its sums.
    pub fn rebase(&mut self, now: Timestamp) -> Option<f64> {
        let exponent = now.since(self.landmark).as_micros() as f64 / self.span_us;
        if exponent < MAX_EXPONENT {
            return None;
        }
        self.landmark = now;
        Some((-exponent).exp())
    }
}
