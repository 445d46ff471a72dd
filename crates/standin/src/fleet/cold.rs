//! What a server bears while it is cold.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Span in which requests are counted.
const SPAN: Duration = Duration::from_secs(1);

/// What a server bears while it is cold.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdSettings {
    /// How long it is cold after a start.
    pub span: Duration,
    /// Requests in one second beyond which more than it bears were sent.
    pub bears: usize,
    /// Requests in one second at which it falls over.
    pub falls_at: usize,
}

impl Default for ColdSettings {
    /// As of today's services: 7.6 requests a second, half more and eight are allowed.
    fn default() -> Self {
        Self {
            span: Duration::from_secs(3),
            bears: 19,
            falls_at: 30,
        }
    }
}

/// What a cold server saw.
#[derive(Debug, Default)]
pub(super) struct Cold {
    until: Option<Instant>,
    arrivals: VecDeque<Instant>,
    busiest: usize,
}

impl Cold {
    /// Becomes cold.
    pub(super) fn begin(&mut self, now: Instant, settings: &ColdSettings) {
        self.until = Some(now + settings.span);
        self.arrivals.clear();
    }

    /// Returns how long the server stays cold.
    pub(super) fn left(&self, now: Instant) -> Duration {
        let left = self.until.map(|until| until.saturating_duration_since(now));
        left.unwrap_or_default()
    }

    /// Notes a request; returns how many came within a second while the server was cold.
    pub(super) fn note(&mut self, now: Instant) -> usize {
        if self.left(now).is_zero() {
            return 0;
        }
        let is_old = |at: &Instant| now.duration_since(*at) >= SPAN;
        while self.arrivals.front().is_some_and(is_old) {
            self.arrivals.pop_front();
        }
        self.arrivals.push_back(now);
        self.busiest = self.busiest.max(self.arrivals.len());
        self.arrivals.len()
    }

    /// Returns the most requests that came within any second while the server was cold.
    pub(super) const fn busiest(&self) -> usize {
        self.busiest
    }
}
