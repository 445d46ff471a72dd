//! Retry budget: bounds the retries of an entry.

use std::time::Duration;

use ids::Timestamp;

/// Buckets of the window; they expire one by one.
const BUCKETS: usize = 10;

/// Settings of a [`RetryBudget`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BudgetSettings {
    /// Retries allowed per hundred requests of the window.
    pub percent: u32,
    /// Retries allowed in each window in addition.
    pub floor: u32,
    /// Time over which requests and retries are counted.
    pub window: Duration,
}

impl Default for BudgetSettings {
    fn default() -> Self {
        Self {
            percent: 10,
            floor: 3,
            window: Duration::from_secs(10),
        }
    }
}

/// Counts of one bucket of the window.
#[derive(Debug, Clone, Copy, Default)]
struct Bucket {
    /// Number of the bucket since the clock's start.
    number: u64,
    requests: u64,
    retries: u64,
}

/// Counts requests and retries of one entry at one entry host over a sliding window.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    settings: BudgetSettings,
    buckets: [Bucket; BUCKETS],
}

impl RetryBudget {
    /// Creates an empty budget.
    #[must_use]
    pub fn new(settings: BudgetSettings) -> Self {
        Self {
            settings,
            buckets: [Bucket::default(); BUCKETS],
        }
    }

    /// Replaces the settings and keeps the counts.
    pub fn configure(&mut self, settings: BudgetSettings) {
        self.settings = settings;
    }

    /// Counts a request that arrived.
    pub fn record_request(&mut self, now: Timestamp) {
        self.bucket(now).requests += 1;
    }

    /// Takes a retry out of the budget. Returns whether one was left.
    #[must_use]
    pub fn withdraw(&mut self, now: Timestamp) -> bool {
        if self.remaining(now) == 0 {
            return false;
        }
        self.bucket(now).retries += 1;
        true
    }

    /// Returns how many retries are left now.
    #[must_use]
    pub fn remaining(&self, now: Timestamp) -> u64 {
        let oldest = (self.number(now) + 1).saturating_sub(BUCKETS as u64);
        let live = self.buckets.iter().filter(|b| b.number >= oldest);
        let (requests, retries) = live.fold((0, 0), |(requests, retries), b| {
            (requests + b.requests, retries + b.retries)
        });
        let share = requests * u64::from(self.settings.percent) / 100;
        (share + u64::from(self.settings.floor)).saturating_sub(retries)
    }

    fn number(&self, now: Timestamp) -> u64 {
        let span = self.settings.window.as_micros() as u64 / BUCKETS as u64;
        now.as_micros() / span.max(1)
    }

    /// Returns the bucket that `now` falls into, cleared if it held an older period.
    fn bucket(&mut self, now: Timestamp) -> &mut Bucket {
        let number = self.number(now);
        let bucket = &mut self.buckets[(number % BUCKETS as u64) as usize];
        if bucket.number != number {
            *bucket = Bucket {
                number,
                ..Bucket::default()
            };
        }
        bucket
    }
}
