//! Limit on calls per second.

use ids::Timestamp;

const MICROS_PER_S: u64 = 1_000_000;

/// A token bucket with a capacity of one second's calls.
#[derive(Debug)]
pub struct RateLimiter {
    per_s: Option<u32>,
    /// Available tokens, in millionths of a call.
    credit: u64,
    updated_at: Timestamp,
}

impl RateLimiter {
    /// Creates a full bucket; without `per_s` there is no limit.
    #[must_use]
    pub fn new(now: Timestamp, per_s: Option<u32>) -> Self {
        Self {
            per_s,
            credit: u64::from(per_s.unwrap_or(0)) * MICROS_PER_S,
            updated_at: now,
        }
    }

    /// Takes one token; returns whether one was available.
    pub fn take(&mut self, now: Timestamp) -> bool {
        let Some(per_s) = self.per_s.map(u64::from) else {
            return true;
        };
        let elapsed = now.since(self.updated_at).as_micros() as u64;
        let capacity = per_s * MICROS_PER_S;
        self.credit = self.credit.saturating_add(elapsed.saturating_mul(per_s));
        self.credit = self.credit.min(capacity);
        self.updated_at = self.updated_at.max(now);
        if self.credit < MICROS_PER_S {
            return false;
        }
        self.credit -= MICROS_PER_S;
        true
    }
}
