//! How many retries an entry may cause.

use std::time::Duration;

use ids::Timestamp;

/// Settings of a [`RetryBudget`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BudgetSettings {
    /// Retries allowed for each hundred requests of the window, in percent.
    pub percent: u32,
    /// Retries allowed in each window beside those.
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

/// Counts requests and retries of one entry at one entry host over a sliding window.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    settings: BudgetSettings,
}

impl RetryBudget {
    /// Creates an empty budget.
    #[must_use]
    pub fn new(settings: BudgetSettings) -> Self {
        Self { settings }
    }

    /// Takes new settings, keeping the counts.
    pub fn configure(&mut self, settings: BudgetSettings) {
        self.settings = settings;
    }

    /// Counts a request that came in.
    pub fn request(&mut self, now: Timestamp) {
        todo!()
    }

    /// Takes a retry out of the budget if there is one left.
    #[must_use]
    pub fn withdraw(&mut self, now: Timestamp) -> bool {
        todo!()
    }
}
