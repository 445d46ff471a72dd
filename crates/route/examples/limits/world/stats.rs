//! Results of a phase.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;

/// Results of one phase.
#[derive(Debug, Default)]
pub struct PhaseStats {
    /// Requests of callers, including their retries.
    pub requests: u64,
    /// Answers within the deadline.
    pub good: u64,
    /// Requests sent to upstreams whose work was wasted.
    pub wasted: u64,
    /// Retries by hosts.
    pub retries: u64,
    /// Requests that upstreams shed.
    pub shed: u64,
    /// Requests that were not answered, by reason.
    pub refused: BTreeMap<&'static str, u64>,
    /// Latencies of good answers in microseconds.
    pub latency: Option<Histogram<u64>>,
    /// Start of the last request of the phase that was not answered in time, in microseconds since
    /// the phase began.
    pub last_bad_us: u64,
    /// Work of each upstream in microseconds.
    pub work_us: Vec<f64>,
    /// Length in seconds.
    pub secs: u64,
}

impl PhaseStats {
    /// Returns a latency in milliseconds.
    pub fn ms(&self, quantile: f64) -> f64 {
        let latency = self.latency.as_ref();
        latency.map_or(0.0, |h| h.value_at_quantile(quantile) as f64 / 1_000.0)
    }

    /// Returns the number of requests that were not answered.
    pub fn refusals(&self) -> u64 {
        self.refused.values().sum()
    }

    /// Returns the maximum work of an upstream relative to the mean.
    pub fn max_over_mean(&self) -> f64 {
        let mean = self.work_us.iter().sum::<f64>() / self.work_us.len() as f64;
        self.work_us.iter().copied().fold(0.0, f64::max) / mean
    }

    /// Returns the coefficient of variation of the upstreams' work.
    pub fn variation(&self) -> f64 {
        let n = self.work_us.len() as f64;
        let mean = self.work_us.iter().sum::<f64>() / n;
        let square = |w: &f64| (w - mean) * (w - mean);
        (self.work_us.iter().map(square).sum::<f64>() / n).sqrt() / mean
    }
}
