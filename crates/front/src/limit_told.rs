//! How hosts tell each other of an upstream's limit, in datagrams of both duties.

use std::time::Duration;

use direct::RateLimit;
use ids::Timestamp;

/// An upstream's word on how many requests a second it takes.
#[derive(Clone, Copy, PartialEq)]
#[derive(prost::Message)]
pub struct LimitTold {
    /// The limit; none if it was taken back.
    #[prost(double, optional, tag = "1")]
    per_s: Option<f64>,
    /// How long ago it was heard, in milliseconds.
    #[prost(uint32, tag = "2")]
    age_ms: u32,
}

impl LimitTold {
    /// Tells of `limit` at `now`; none if there never was one.
    #[must_use]
    pub fn new(now: Timestamp, limit: &RateLimit) -> Option<Self> {
        let age = limit.age(now)?;
        Some(Self {
            per_s: limit.per_s(),
            age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
        })
    }

    /// Returns the word, which came at `now`.
    #[must_use]
    pub fn at(&self, now: Timestamp) -> RateLimit {
        let is_valid = |per_s: &f64| per_s.is_finite() && *per_s >= 0.0;
        RateLimit::received_at(
            now - Duration::from_millis(self.age_ms.into()),
            self.per_s.filter(is_valid),
        )
    }
}
