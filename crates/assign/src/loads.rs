//! How busy each key is.

use std::time::Duration;

use ids::Timestamp;

use crate::range::{KeyRange, LAST_KEY};

/// Time after which a request counts half.
///
/// A hot key is then half known after this time, while a key with a request a second still has a
/// count that differs little from one half-life to the next.
const HALF_LIFE: Duration = Duration::from_secs(3);

/// Requests a second of each key, as the hosts report them.
#[derive(Debug)]
pub struct KeyLoads {
    counts: Vec<f32>,
    faded_at: Timestamp,
    /// Sum of the counts before each key, made by [`Self::sum_up`].
    sums: Vec<f64>,
}

impl KeyLoads {
    /// Knows of no requests.
    #[must_use]
    pub fn new(now: Timestamp) -> Self {
        let keys = usize::from(LAST_KEY) + 1;
        Self {
            counts: vec![0.0; keys],
            faded_at: now,
            sums: vec![0.0; keys + 1],
        }
    }

    /// Adds `count` requests on `key`.
    pub fn add(&mut self, key: u16, count: u32) {
        self.counts[usize::from(key)] += count as f32;
    }

    /// Fades all counts, and sums them up for [`Self::rate`].
    pub fn sum_up(&mut self, now: Timestamp) {
        let age = now.since(self.faded_at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        let factor = (-age).exp2() as f32;
        self.faded_at = now;
        let mut sum = 0.0;
        for (count, before) in self.counts.iter_mut().zip(&mut self.sums) {
            *count *= factor;
            *before = sum;
            sum += f64::from(*count);
        }
        if let Some(all) = self.sums.last_mut() {
            *all = sum;
        }
    }

    /// Returns the requests a second on `range`, as of the last [`Self::sum_up`].
    #[must_use]
    pub fn rate(&self, range: KeyRange) -> f64 {
        let before = self.sums[usize::from(range.first)];
        let through = self.sums[usize::from(range.last) + 1];
        (through - before) * std::f64::consts::LN_2 / HALF_LIFE.as_secs_f64()
    }

    /// Returns the first key of `range` with which the rate from its beginning exceeds `rate`.
    #[must_use]
    pub fn key_at(&self, range: KeyRange, rate: f64) -> u16 {
        let count = rate * HALF_LIFE.as_secs_f64() / std::f64::consts::LN_2;
        let first = usize::from(range.first);
        let wanted = self.sums[first] + count;
        let sums = &self.sums[first + 1..=usize::from(range.last) + 1];
        let steps = sums.partition_point(|&sum| sum <= wanted);
        let key = (first + steps).min(usize::from(range.last));
        u16::try_from(key).unwrap_or(range.last)
    }
}
