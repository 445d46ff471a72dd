//! The weight of the load that an upstream reports of itself.
//!
//! Upstreams report late, wrongly or not at all, and a report alone must never cause a plan.
//! Reports count only as far as they correlate with the load that the coordinating host itself
//! observes: reports that stay constant, or fall when the observed load rises, are ignored. Even
//! reports that count can only add a bounded load to the observed one.

use std::time::Duration;

use ids::Timestamp;

/// Time in which the weight of old reports decays by the factor 1/e.
const TIME_CONSTANT: Duration = Duration::from_mins(2);
/// Number of reports below which all are ignored.
const MIN_REPORTS: f64 = 10.0;
/// Correlation of reported with observed load below which reports are ignored.
const MIN_CORRELATION: f64 = 0.7;
/// Largest fraction of an upstream's slots that reports can add to the observed load.
const MAX_EXTRA_FRACTION: f64 = 0.25;

/// Decayed statistics of the reported and the observed load of one upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ReportStats {
    last: Option<Timestamp>,
    count: f64,
    reported: f64,
    observed: f64,
    reported_sq: f64,
    observed_sq: f64,
    product: f64,
}

impl ReportStats {
    /// Records a report of `reported` busy slots at an observed load of `observed` busy slots.
    pub fn record(&mut self, now: Timestamp, reported: f64, observed: f64) {
        if !reported.is_finite() || reported < 0.0 {
            return;
        }
        let decay = self.last.map_or(0.0, |t| {
            (-now.since(t).as_secs_f64() / TIME_CONSTANT.as_secs_f64()).exp()
        });
        self.last = Some(now);
        self.count = self.count * decay + 1.0;
        self.reported = self.reported * decay + reported;
        self.observed = self.observed * decay + observed;
        self.reported_sq = self.reported_sq * decay + reported * reported;
        self.observed_sq = self.observed_sq * decay + observed * observed;
        self.product = self.product * decay + reported * observed;
    }

    /// Returns the weight of reports, from 0 (ignored) to 1.
    #[must_use]
    pub fn weight(&self) -> f64 {
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

    /// Returns the load, in busy slots, that reports add to the observed load of an upstream with
    /// `slots`.
    #[must_use]
    pub fn extra_load(&self, slots: f64) -> f64 {
        let weight = self.weight();
        if weight <= 0.0 {
            return 0.0;
        }
        let unobserved = (self.reported - self.observed) / self.count;
        weight * unobserved.clamp(0.0, MAX_EXTRA_FRACTION * slots)
    }
}
