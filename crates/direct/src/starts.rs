//! When requests started at an upstream, and when the next one may.

use std::collections::VecDeque;
use std::time::Duration;

use ids::Timestamp;

/// Span over which a limit of requests a second is kept.
///
/// What an upstream got in the last few seconds counts as well: one that names a limit is in need of what it got
/// before then.
const LIMIT_SPAN: Duration = Duration::from_secs(4);
/// Span in which the bound of a cold upstream is kept, and over which requests at a limited one are spread.
const SECOND: Duration = Duration::from_secs(1);
/// Longest pause between two requests at a limited upstream: the answers tell whether it still is.
const LONGEST_PAUSE: Duration = Duration::from_secs(10);

/// Requests that started at one upstream within [`LIMIT_SPAN`].
#[derive(Debug, Default)]
pub(crate) struct Starts(VecDeque<Timestamp>);

impl Starts {
    /// Notes one.
    pub(crate) fn note(&mut self, now: Timestamp) {
        while self
            .0
            .front()
            .is_some_and(|&at| now.since(at) >= LIMIT_SPAN)
        {
            self.0.pop_front();
        }
        self.0.push_back(now);
    }

    /// Returns how long until one more is within `most` in any second; zero if it is now.
    pub(crate) fn room_in_second(&self, now: Timestamp, most: u32) -> Duration {
        self.room_in(now, SECOND, most)
    }

    /// Returns how long until one more is within `per_s` requests a second; zero if it is now.
    pub(crate) fn room_at(&self, now: Timestamp, per_s: f64) -> Duration {
        let most = (per_s * LIMIT_SPAN.as_secs_f64()) as u32;
        if most == 0 {
            let pause = LONGEST_PAUSE.as_secs_f64().min(1.0 / per_s);
            let last = self.0.back();
            return last.map_or(Duration::ZERO, |&at| {
                (at + Duration::from_secs_f64(pause)).since(now)
            });
        }
        let spread = self.room_in_second(now, per_s.ceil() as u32);
        self.room_in(now, LIMIT_SPAN, most).max(spread)
    }

    fn room_in(&self, now: Timestamp, span: Duration, most: u32) -> Duration {
        // The one that must have left the span before the next one may start.
        let before = self.0.len().checked_sub(most as usize);
        let last = before.and_then(|i| self.0.get(i));
        last.map_or(Duration::ZERO, |&at| (at + span).since(now))
    }
}
