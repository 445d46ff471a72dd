//! Recent starts of requests at an upstream, and when the next one is allowed.

use std::collections::VecDeque;
use std::time::Duration;

use ids::Timestamp;

/// Time span over which a rate limit is kept.
///
/// It includes what the upstream got in the seconds before the limit was announced, because an
/// upstream that announces a limit is already under load.
const RATE_LIMIT_SPAN: Duration = Duration::from_secs(4);
/// Time span over which the limit of a cold upstream is kept, and over which requests at a
/// rate-limited one are spread.
const SECOND: Duration = Duration::from_secs(1);
/// Maximum interval between two requests at a rate-limited upstream: their answers show whether the
/// limit is still in force.
const MAX_INTERVAL: Duration = Duration::from_secs(10);

/// Starts at one upstream within [`RATE_LIMIT_SPAN`].
#[derive(Debug, Default)]
pub(crate) struct RecentStarts(VecDeque<Timestamp>);

impl RecentStarts {
    /// Records a start.
    pub(crate) fn record(&mut self, now: Timestamp) {
        while self
            .0
            .front()
            .is_some_and(|&at| now.since(at) >= RATE_LIMIT_SPAN)
        {
            self.0.pop_front();
        }
        self.0.push_back(now);
    }

    /// Returns the time until another start keeps to `max_starts` in any second; zero if it does
    /// now.
    pub(crate) fn delay_in_second(&self, now: Timestamp, max_starts: u32) -> Duration {
        self.delay_in(now, SECOND, max_starts)
    }

    /// Returns the time until another start keeps to `per_s` a second; zero if it does now.
    pub(crate) fn delay_at_rate(&self, now: Timestamp, per_s: f64) -> Duration {
        let max_starts = (per_s * RATE_LIMIT_SPAN.as_secs_f64()) as u32;
        if max_starts == 0 {
            let interval = MAX_INTERVAL.as_secs_f64().min(1.0 / per_s);
            let last = self.0.back();
            return last.map_or(Duration::ZERO, |&at| {
                (at + Duration::from_secs_f64(interval)).since(now)
            });
        }
        let spread_delay = self.delay_in_second(now, per_s.ceil() as u32);
        self.delay_in(now, RATE_LIMIT_SPAN, max_starts)
            .max(spread_delay)
    }

    fn delay_in(&self, now: Timestamp, span: Duration, max_starts: u32) -> Duration {
        // The start that must be older than the span before the next one.
        let before = self.0.len().checked_sub(max_starts as usize);
        let last = before.and_then(|i| self.0.get(i));
        last.map_or(Duration::ZERO, |&at| (at + span).since(now))
    }
}
