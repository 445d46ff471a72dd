//! How many calls a second are served.

use ids::Timestamp;

const MICROS_PER_S: u64 = 1_000_000;

/// A token bucket that holds the calls of one second.
#[derive(Debug)]
pub struct Rate {
    per_s: Option<u32>,
    /// Millionths of a call that may be served at once.
    credit: u64,
    at: Timestamp,
}

impl Rate {
    /// Builds a full bucket; without `per_s` there is no limit.
    #[must_use]
    pub fn new(now: Timestamp, per_s: Option<u32>) -> Self {
        Self {
            per_s,
            credit: u64::from(per_s.unwrap_or(0)) * MICROS_PER_S,
            at: now,
        }
    }

    /// Takes one call if the rate allows it.
    pub fn take(&mut self, now: Timestamp) -> bool {
        let Some(per_s) = self.per_s.map(u64::from) else {
            return true;
        };
        let passed = now.since(self.at).as_micros() as u64;
        let full = per_s * MICROS_PER_S;
        self.credit = self.credit.saturating_add(passed.saturating_mul(per_s));
        self.credit = self.credit.min(full);
        self.at = self.at.max(now);
        if self.credit < MICROS_PER_S {
            return false;
        }
        self.credit -= MICROS_PER_S;
        true
    }
}
