//! Detects callers that were refused before and try again.
//!
//! Callers send the time for which they still wait. On a route, most callers start with the same
//! timeout, so a caller with less time left has used the rest elsewhere. It can try only a few
//! times more, often not at all, so a late answer is worth more to it than another refusal.

use std::collections::HashMap;
use std::time::Duration;

use smol_str::SmolStr;

/// Fraction of the usual timeout below which a caller has been refused before.
///
/// Callers come back after at least some 50 ms, and timeouts are a second or more.
const REPEAT_BELOW: f64 = 0.97;
/// Fraction by which the usual timeout grows with each caller whose timeout is longer, and shrinks
/// with each whose timeout is not. It settles where a quarter of the timeouts are longer: if
/// callers come back once, at least half of all requests are first ones, however many are refused.
/// A single unusual caller changes it little.
const GROWTH: f64 = 0.015;
const SHRINKAGE: f64 = GROWTH / 3.0;

/// Usual timeouts of callers, by route.
#[derive(Debug, Default)]
pub struct CallerRetries {
    /// Timeout of a caller's first request, in seconds.
    usual_timeouts: HashMap<SmolStr, f64>,
}

impl CallerRetries {
    /// Records a caller on `route` that still waits for `wait`; returns how long ago its first
    /// request was, or zero if this is the first one.
    pub fn time_since_first_request(&mut self, route: &SmolStr, wait: Duration) -> Duration {
        let wait = wait.as_secs_f64();
        let Some(usual_timeout) = self.usual_timeouts.get_mut(route) else {
            self.usual_timeouts.insert(route.clone(), wait);
            return Duration::ZERO;
        };
        let is_repeat = wait < *usual_timeout * REPEAT_BELOW;
        let elapsed = if is_repeat {
            *usual_timeout - wait
        } else {
            0.0
        };
        *usual_timeout = if wait >= *usual_timeout {
            wait.min(*usual_timeout * (1.0 + GROWTH))
        } else {
            *usual_timeout * (1.0 - SHRINKAGE)
        };
        Duration::from_secs_f64(elapsed)
    }
}
