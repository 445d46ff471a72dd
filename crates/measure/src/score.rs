//! Imbalance, churn and settling time of one policy.

use serde::Serialize;

/// Seconds over which work is summed to decide whether the load has settled.
const SETTLE_WINDOW: usize = 5;

/// Mean and percentiles of a series.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
#[derive(Serialize)]
pub struct SeriesStats {
    /// Mean.
    pub mean: f64,
    /// Median.
    pub p50: f64,
    /// 95th percentile.
    pub p95: f64,
    /// 99th percentile.
    pub p99: f64,
    /// Largest value.
    pub max: f64,
}

impl SeriesStats {
    /// Computes the statistics of a series; all are zero if it is empty.
    #[must_use]
    pub fn of(series: &[f64]) -> Self {
        if series.is_empty() {
            return Self::default();
        }
        let mut sorted = series.to_vec();
        sorted.sort_by(f64::total_cmp);
        let percentile =
            |quantile: f64| sorted[((sorted.len() - 1) as f64 * quantile).round() as usize];
        Self {
            mean: sorted.iter().sum::<f64>() / sorted.len() as f64,
            p50: percentile(0.50),
            p95: percentile(0.95),
            p99: percentile(0.99),
            max: percentile(1.0),
        }
    }
}

/// Counts of changes of ownership.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
#[derive(Serialize)]
pub struct Churn {
    /// Slices that changed owner.
    pub slice_moves: u64,
    /// Carved-out keys that changed owner, including by carving and folding.
    pub key_moves: u64,
    /// Keys that changed owner, summed over all changes.
    pub keys: f64,
}

impl Churn {
    /// Returns the number of changes of ownership, of slices and of single keys.
    #[must_use]
    pub const fn moves(&self) -> u64 {
        self.slice_moves + self.key_moves
    }

    /// Returns the changes since an earlier count.
    #[must_use]
    pub fn since(&self, earlier: &Self) -> Self {
        Self {
            slice_moves: self.slice_moves - earlier.slice_moves,
            key_moves: self.key_moves - earlier.key_moves,
            keys: self.keys - earlier.keys,
        }
    }
}

/// Computes imbalance and settling times from the work of each upstream in each second.
#[derive(Debug)]
pub struct Scores {
    upstreams: usize,
    /// Work of each upstream in the current second.
    work: Vec<f64>,
    /// Work of each upstream in the last seconds, for the settling time.
    window: Vec<Vec<f64>>,
    max_by_mean: Vec<f64>,
    variation: Vec<f64>,
    settling_times: Vec<f64>,
    unsettled_since: Option<u64>,
    limit: f64,
}

impl Scores {
    /// Creates empty scores; a shift counts as settled once the max/mean over the last seconds is
    /// at most `limit`.
    #[must_use]
    pub fn new(upstreams: usize, limit: f64) -> Self {
        Self {
            upstreams,
            work: vec![0.0; upstreams],
            window: Vec::new(),
            max_by_mean: Vec::new(),
            variation: Vec::new(),
            settling_times: Vec::new(),
            unsettled_since: None,
            limit,
        }
    }

    /// Adds the work of a request.
    pub fn add_work(&mut self, upstream: usize, work_us: u32) {
        self.work[upstream] += f64::from(work_us);
    }

    /// Records that the hot set changed at the start of `second`.
    pub fn record_shift(&mut self, second: u64) {
        if let Some(since) = self.unsettled_since {
            self.settling_times.push((second - since) as f64);
        }
        self.unsettled_since = Some(second);
        self.window.clear();
    }

    /// Ends `second`, which counts towards the imbalance if `counted`.
    pub fn end_second(&mut self, second: u64, counted: bool) {
        let (ratio, variation) = imbalance(&self.work);
        if counted {
            self.max_by_mean.push(ratio);
            self.variation.push(variation);
        }
        if self.window.len() == SETTLE_WINDOW {
            self.window.remove(0);
        }
        self.window.push(self.work.clone());
        self.work.fill(0.0);
        let Some(since) = self.unsettled_since else {
            return;
        };
        if self.window.len() < SETTLE_WINDOW || self.window_max_by_mean() > self.limit {
            return;
        }
        let window = SETTLE_WINDOW as u64;
        self.settling_times
            .push((second + 1 - since).saturating_sub(window) as f64);
        self.unsettled_since = None;
    }

    /// Returns max/mean per second.
    #[must_use]
    pub fn max_by_mean(&self) -> SeriesStats {
        SeriesStats::of(&self.max_by_mean)
    }

    /// Returns the coefficient of variation per second.
    #[must_use]
    pub fn variation(&self) -> SeriesStats {
        SeriesStats::of(&self.variation)
    }

    /// Returns the settling times in seconds; a shift after which the load did not settle before
    /// the next shift counts with the whole time between the two.
    #[must_use]
    pub fn settling_stats(&self) -> SeriesStats {
        SeriesStats::of(&self.settling_times)
    }

    fn window_max_by_mean(&self) -> f64 {
        let mut sum = vec![0.0; self.upstreams];
        for work in &self.window {
            for (total, work) in sum.iter_mut().zip(work) {
                *total += work;
            }
        }
        imbalance(&sum).0
    }
}

/// Returns max/mean and the coefficient of variation of `work`; one and zero without work.
#[must_use]
pub fn imbalance(work: &[f64]) -> (f64, f64) {
    let count = work.len().max(1) as f64;
    let mean = work.iter().sum::<f64>() / count;
    if mean <= 0.0 {
        return (1.0, 0.0);
    }
    let max = work.iter().copied().fold(0.0, f64::max);
    let variance = work.iter().map(|w| (w - mean).powi(2)).sum::<f64>() / count;
    (max / mean, variance.sqrt() / mean)
}
