//! Limits of a server that is warming up.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Length of the window in which requests are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// Limits of a server that is warming up.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdSettings {
    /// Duration of the warm-up after a start.
    pub duration: Duration,
    /// Maximum number of requests in one second that it may be sent.
    pub max_per_s: usize,
    /// Number of requests in one second at which it fails.
    pub fails_at_per_s: usize,
}

impl Default for ColdSettings {
    /// As for the users' current services: they handle 7.6 requests per second, and the allowance is
    /// half more than that, plus eight.
    fn default() -> Self {
        Self {
            duration: Duration::from_secs(3),
            max_per_s: 19,
            fails_at_per_s: 30,
        }
    }
}

/// Requests that a server received while it was warming up.
#[derive(Debug, Default)]
pub(super) struct ColdState {
    until: Option<Instant>,
    arrivals: VecDeque<Instant>,
    max_in_window: usize,
}

impl ColdState {
    /// Starts a warm-up.
    pub(super) fn start(&mut self, now: Instant, settings: &ColdSettings) {
        self.until = Some(now + settings.duration);
        self.arrivals.clear();
    }

    /// Returns the remaining duration of the warm-up.
    pub(super) fn remaining(&self, now: Instant) -> Duration {
        let remaining = self.until.map(|until| until.saturating_duration_since(now));
        remaining.unwrap_or_default()
    }

    /// Records a request; returns the number of requests within the last second of the warm-up, or zero
    /// if the server is warm.
    pub(super) fn record(&mut self, now: Instant) -> usize {
        if self.remaining(now).is_zero() {
            return 0;
        }
        let is_outdated = |at: &Instant| now.duration_since(*at) >= WINDOW;
        while self.arrivals.front().is_some_and(is_outdated) {
            self.arrivals.pop_front();
        }
        self.arrivals.push_back(now);
        self.max_in_window = self.max_in_window.max(self.arrivals.len());
        self.arrivals.len()
    }

    /// Returns the maximum number of requests within any second while the server was warming up.
    pub(super) const fn max_in_window(&self) -> usize {
        self.max_in_window
    }
}
