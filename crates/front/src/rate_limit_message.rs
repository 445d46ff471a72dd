//! An upstream's rate limit as hosts send it to each other, in datagrams of both threads.

use std::time::Duration;

use direct::RateLimit;
use ids::Timestamp;

/// The limit on requests per second that an upstream announced.
#[derive(Clone, Copy, PartialEq)]
#[derive(prost::Message)]
pub struct RateLimitMessage {
    /// The limit; none if the upstream withdrew it.
    #[prost(double, optional, tag = "1")]
    per_s: Option<f64>,
    /// Time since the announcement was received, in milliseconds.
    #[prost(uint32, tag = "2")]
    age_ms: u32,
}

impl RateLimitMessage {
    /// Builds the message for `limit` at `now`; none if the upstream never announced one.
    #[must_use]
    pub fn new(now: Timestamp, limit: &RateLimit) -> Option<Self> {
        let age = limit.age(now)?;
        Some(Self {
            per_s: limit.per_s(),
            age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
        })
    }

    /// Returns the limit in a message that was received at `now`.
    #[must_use]
    pub fn to_limit(&self, now: Timestamp) -> RateLimit {
        let is_valid = |per_s: &f64| per_s.is_finite() && *per_s >= 0.0;
        RateLimit::received_at(
            now - Duration::from_millis(self.age_ms.into()),
            self.per_s.filter(is_valid),
        )
    }
}
