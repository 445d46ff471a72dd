//! How far the load that an upstream reports is believed.
//!
//! Upstreams report late, wrongly or not at all, and a report alone must never make a plan. A
//! report counts only as far as it has moved along with what the coordinating host itself
//! observed: one that stands still, or falls when the observed load rises, counts for nothing.
//! Even a believed report can only add a bounded load to the observed one.

use std::time::Duration;

use ids::Timestamp;

/// Time in which old reports fade by the factor 1/e.
const MEMORY: Duration = Duration::from_mins(2);
/// Reports needed before any is believed.
const MIN_REPORTS: f64 = 10.0;
/// Correlation of reported with observed load below which a report counts for nothing.
const MIN_CORRELATION: f64 = 0.7;
/// The largest share of an upstream's slots that a believed report can add.
const MAX_EXTRA_SHARE: f64 = 0.25;

/// The reports of one upstream against what was observed of it.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Reports {
    last: Option<Timestamp>,
    count: f64,
    reported: f64,
    observed: f64,
    reported_sq: f64,
    observed_sq: f64,
    product: f64,
}

impl Reports {
    /// Takes a report of `reported` busy slots while `observed` ones were seen.
    pub fn record(&mut self, now: Timestamp, reported: f64, observed: f64) {
        if !reported.is_finite() || reported < 0.0 {
            return;
        }
        let keep = self.last.map_or(0.0, |t| {
            (-now.since(t).as_secs_f64() / MEMORY.as_secs_f64()).exp()
        });
        self.last = Some(now);
        self.count = self.count * keep + 1.0;
        self.reported = self.reported * keep + reported;
        self.observed = self.observed * keep + observed;
        self.reported_sq = self.reported_sq * keep + reported * reported;
        self.observed_sq = self.observed_sq * keep + observed * observed;
        self.product = self.product * keep + reported * observed;
    }

    /// Returns how far reports are believed, from 0 (not at all) to 1.
    #[must_use]
    pub fn trust(&self) -> f64 {
        if self.count < MIN_REPORTS {
            return 0.0;
        }
        let n = self.count;
        let covariance = self.product / n - (self.reported / n) * (self.observed / n);
        let reported_var = self.reported_sq / n - (self.reported / n).powi(2);
        let observed_var = self.observed_sq / n - (self.observed / n).powi(2);
        if reported_var <= 1e-9 || observed_var <= 1e-9 {
            return 0.0;
        }
        let correlation = covariance / (reported_var * observed_var).sqrt();
        ((correlation - MIN_CORRELATION) / (1.0 - MIN_CORRELATION)).clamp(0.0, 1.0)
    }

    /// Returns the busy slots that reports add to the observed ones of an upstream with `slots`.
    #[must_use]
    pub fn extra(&self, slots: f64) -> f64 {
        let trust = self.trust();
        if trust <= 0.0 {
            return 0.0;
        }
        let hidden = (self.reported - self.observed) / self.count;
        trust * hidden.clamp(0.0, MAX_EXTRA_SHARE * slots)
    }
}
