//! Estimates of an upstream's service time.

use std::time::Duration;

/// Weight of a new sample in the mean.
const MEAN_GAIN: f64 = 1.0 / 16.0;

/// Weight of a new sample in the mean deviation.
const DEVIATION_GAIN: f64 = 1.0 / 8.0;

/// Number of mean deviations above the mean that most calls stay below.
const HIGH_DEVIATIONS: f64 = 3.0;

/// Moving estimates of the service time of calls at one upstream.
#[derive(Debug, Clone, Copy, Default)]
pub struct ServiceTime {
    /// Mean and mean deviation in seconds; none before the first sample.
    estimate: Option<(f64, f64)>,
}

impl ServiceTime {
    /// Records the service time of a call.
    pub fn record(&mut self, took: Duration) {
        let took = took.as_secs_f64();
        let Some((mean, deviation)) = self.estimate else {
            self.estimate = Some((took, took / 2.0));
            return;
        };
        let off = took - mean;
        self.estimate = Some((
            mean + off * MEAN_GAIN,
            deviation + (off.abs() - deviation) * DEVIATION_GAIN,
        ));
    }

    /// Records a lower bound: the time after which a call had still not ended.
    pub fn record_at_least(&mut self, elapsed: Duration) {
        if elapsed > self.mean() {
            self.record(elapsed);
        }
    }

    /// Returns whether there was a sample.
    #[must_use]
    pub const fn is_known(&self) -> bool {
        self.estimate.is_some()
    }

    /// Returns the mean; zero before the first sample.
    #[must_use]
    pub fn mean(&self) -> Duration {
        self.estimate
            .map_or(Duration::ZERO, |(mean, _)| Duration::from_secs_f64(mean))
    }

    /// Returns a time that most calls stay below; zero before the first sample.
    #[must_use]
    pub fn high(&self) -> Duration {
        self.estimate.map_or(Duration::ZERO, |(mean, deviation)| {
            Duration::from_secs_f64(mean + HIGH_DEVIATIONS * deviation)
        })
    }
}
