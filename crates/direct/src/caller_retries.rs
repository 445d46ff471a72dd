//! Detects callers that were refused before and try again.
//!
//! Callers send the time for which they still wait. On a route, most callers start with about the
//! same timeout, so a caller with clearly less time left has used the rest elsewhere. It can try
//! only a few times more, often not at all, so a late answer is worth more to it than another
//! refusal.
//!
//! Timeouts of first requests spread around a mean, by a tenth and more on some routes. A caller
//! within the spread counts as a first one: a first request that is taken for a repeat is treated as
//! late, and under overload it is refused although it could be answered in time.

use std::collections::HashMap;
use std::time::Duration;

use smol_str::SmolStr;

/// Distance from the mean, in mean deviations, up to which a timeout is one of a first request. The
/// ends of a uniform distribution are at two.
const SPREAD: f64 = 2.5;
/// Minimum and maximum mean deviation as a fraction of the mean. A request takes some time to
/// arrive; callers come back after a tenth of their time and more when there is no capacity.
const MIN_DEVIATION: f64 = 0.012;
const MAX_DEVIATION: f64 = 0.06;
/// Weight of one first request in the mean and the mean deviation.
const WEIGHT: f64 = 0.05;
/// Fraction by which a timeout beyond the spread moves the mean: a single unusual caller changes it
/// little.
const OUTLIER_STEP: f64 = 0.015;
/// Fraction of requests within the spread below which callers start with shorter timeouts than they
/// used to. If callers come back twice, a third of all requests are first ones, however many are
/// refused; the estimate of that fraction is off by up to a tenth.
const MIN_FIRST_SHARE: f64 = 0.15;
/// Weight of one request in the fraction of requests within the spread.
const SHARE_WEIGHT: f64 = 0.02;

/// Timeouts of the first requests on a route, in seconds.
#[derive(Debug)]
struct FirstTimeouts {
    mean: f64,
    mean_deviation: f64,
    /// Fraction of requests whose timeouts are within the spread.
    share: f64,
}

impl FirstTimeouts {
    /// Starts with the widest spread: nothing is known of other callers yet.
    fn new(timeout: f64) -> Self {
        Self {
            mean: timeout,
            mean_deviation: timeout * MAX_DEVIATION,
            share: 1.0,
        }
    }

    /// Records a timeout; returns the time since the caller's first request if it is below the
    /// spread.
    fn record(&mut self, timeout: f64) -> Option<f64> {
        let distance = timeout - self.mean;
        let spread = self.mean_deviation * SPREAD;
        let is_within = distance.abs() <= spread;
        self.share += SHARE_WEIGHT * (f64::from(u8::from(is_within)) - self.share);
        if distance < -spread {
            if self.share < MIN_FIRST_SHARE {
                self.mean *= 1.0 - OUTLIER_STEP;
            }
            return Some(-distance);
        }
        if distance > spread {
            self.mean *= 1.0 + OUTLIER_STEP;
            return None;
        }
        self.mean += WEIGHT * distance;
        let mean_deviation = self.mean_deviation + WEIGHT * (distance.abs() - self.mean_deviation);
        self.mean_deviation =
            mean_deviation.clamp(self.mean * MIN_DEVIATION, self.mean * MAX_DEVIATION);
        None
    }
}

/// Timeouts of callers, by route.
#[derive(Debug, Default)]
pub struct CallerRetries {
    first_timeouts: HashMap<SmolStr, FirstTimeouts>,
}

impl CallerRetries {
    /// Records a caller on `route` that still waits for `wait`; returns how long ago its first
    /// request was, or zero if this is the first one.
    pub fn time_since_first_request(&mut self, route: &SmolStr, wait: Duration) -> Duration {
        let wait = wait.as_secs_f64();
        let Some(known) = self.first_timeouts.get_mut(route) else {
            self.first_timeouts
                .insert(route.clone(), FirstTimeouts::new(wait));
            return Duration::ZERO;
        };
        Duration::from_secs_f64(known.record(wait).unwrap_or_default())
    }
}
