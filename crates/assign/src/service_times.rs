//! Service times of upstreams for the planner, from the samples of all hosts.

use std::collections::HashMap;
use std::time::Duration;

use ids::{Timestamp, UpstreamId};

/// Half-life of the mean while samples are near it.
///
/// Samples of an upstream with slow moments vary by a tenth for as long as some tens of answers
/// take. In a simulation of upstreams of equal speed, keys moved 22 % more often with a half-life of
/// 5 s than with the true service times, and 9 % more often with this one.
const STEADY_HALF_LIFE: Duration = Duration::from_secs(10);
/// Factor on the mean beyond which a sample shows a lasting change. It is far beyond what slow
/// moments and chance cause.
const CHANGE_FACTOR: f64 = 1.5;
/// Factor below which the mean has followed the change.
const FOLLOWED_FACTOR: f64 = 1.1;
/// Number of samples in a row that show a change. One host with a wrong estimate among several others
/// never sends as many.
const MIN_CHANGED_SAMPLES: u32 = 3;
/// Half-life of the mean while it follows a lasting change.
const CHANGED_HALF_LIFE: Duration = Duration::from_secs(1);
/// Fraction of the time since the first sample that the half-life does not exceed: the first samples
/// are worth few answers, and these may have come in a slow moment.
const MAX_HALF_LIFE_FRACTION: f64 = 0.25;

/// Mean of the samples of one upstream.
#[derive(Debug, Clone, Copy)]
struct SampleMean {
    seconds: f64,
    first_at: Timestamp,
    sampled_at: Timestamp,
    /// Number of samples in a row that show a change.
    changed_samples: u32,
}

/// Mean service times of upstreams.
#[derive(Debug, Clone, Default)]
pub struct ServiceTimes {
    means: HashMap<UpstreamId, SampleMean>,
}

impl ServiceTimes {
    /// Records a host's estimate of the mean service time of `upstream`, in seconds.
    pub fn record(&mut self, now: Timestamp, upstream: UpstreamId, seconds: f64) {
        let mean = self.means.entry(upstream).or_insert(SampleMean {
            seconds,
            first_at: now,
            sampled_at: now,
            changed_samples: 0,
        });
        mean.record(now, seconds);
    }

    /// Returns the mean service time of `upstream` in seconds, if any host has reported one.
    #[must_use]
    pub fn get(&self, upstream: &UpstreamId) -> Option<f64> {
        self.means.get(upstream).map(|mean| mean.seconds)
    }

    /// Returns the mean over all upstreams of which a service time is known, in seconds.
    #[must_use]
    pub fn mean(&self) -> Option<f64> {
        let sum: f64 = self.means.values().map(|mean| mean.seconds).sum();
        (!self.means.is_empty()).then(|| sum / self.means.len() as f64)
    }

    /// Drops the upstreams for which `is_known` is false.
    pub fn retain(&mut self, is_known: impl Fn(&UpstreamId) -> bool) {
        self.means.retain(|id, _| is_known(id));
    }
}

impl SampleMean {
    const fn is_following(&self) -> bool {
        self.changed_samples >= MIN_CHANGED_SAMPLES
    }

    fn record(&mut self, now: Timestamp, seconds: f64) {
        let factor = (seconds / self.seconds.max(f64::MIN_POSITIVE)).max(f64::MIN_POSITIVE);
        let min_factor = if self.is_following() {
            FOLLOWED_FACTOR
        } else {
            CHANGE_FACTOR
        };
        if factor.max(1.0 / factor) > min_factor {
            self.changed_samples = self.changed_samples.saturating_add(1);
        } else {
            self.changed_samples = 0;
        }
        let half_life = if self.is_following() {
            CHANGED_HALF_LIFE
        } else {
            let max = now.since(self.first_at).mul_f64(MAX_HALF_LIFE_FRACTION);
            STEADY_HALF_LIFE.min(max).max(CHANGED_HALF_LIFE)
        };
        let age = now.since(self.sampled_at).as_secs_f64();
        let weight = 1.0 - (-age / half_life.as_secs_f64()).exp2();
        self.seconds += weight * (seconds - self.seconds);
        self.sampled_at = now;
    }
}
