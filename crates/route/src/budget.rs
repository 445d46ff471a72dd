//! How many retries an entry may cause.

use std::time::Duration;

use ids::Timestamp;

/// Parts of the window that expire one by one.
const PARTS: usize = 10;

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

/// What one part of the window counted.
#[derive(Debug, Clone, Copy, Default)]
struct Part {
    /// Number of the part since the clock's start.
    number: u64,
    requests: u64,
    retries: u64,
}

/// Counts requests and retries of one entry at one entry host over a sliding window.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    settings: BudgetSettings,
    parts: [Part; PARTS],
}

impl RetryBudget {
    /// Creates an empty budget.
    #[must_use]
    pub fn new(settings: BudgetSettings) -> Self {
        Self {
            settings,
            parts: [Part::default(); PARTS],
        }
    }

    /// Takes new settings, keeping the counts.
    pub fn configure(&mut self, settings: BudgetSettings) {
        self.settings = settings;
    }

    /// Counts a request that came in.
    pub fn request(&mut self, now: Timestamp) {
        self.part(now).requests += 1;
    }

    /// Takes a retry out of the budget if there is one left.
    #[must_use]
    pub fn withdraw(&mut self, now: Timestamp) -> bool {
        if self.left(now) == 0 {
            return false;
        }
        self.part(now).retries += 1;
        true
    }

    /// Returns how many retries are left now.
    #[must_use]
    pub fn left(&self, now: Timestamp) -> u64 {
        let oldest = (self.number(now) + 1).saturating_sub(PARTS as u64);
        let live = self.parts.iter().filter(|p| p.number >= oldest);
        let (requests, retries) = live.fold((0, 0), |(requests, retries), p| {
            (requests + p.requests, retries + p.retries)
        });
        let share = requests * u64::from(self.settings.percent) / 100;
        (share + u64::from(self.settings.floor)).saturating_sub(retries)
    }

    fn number(&self, now: Timestamp) -> u64 {
        let span = self.settings.window.as_micros() as u64 / PARTS as u64;
        now.as_micros() / span.max(1)
    }

    /// Returns the part of the window that `now` falls into, emptied if it held an older one.
    fn part(&mut self, now: Timestamp) -> &mut Part {
        let number = self.number(now);
        let part = &mut self.parts[(number % PARTS as u64) as usize];
        if part.number != number {
            *part = Part {
                number,
                ..Part::default()
            };
        }
        part
    }
}
