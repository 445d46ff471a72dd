//! Request rates of keys.

use std::time::Duration;

use ids::Timestamp;

use crate::range::{KeyRange, LAST_KEY};

/// Time after which a request counts half.
///
/// The count of a key that becomes hot reaches half of its final value after this time, while that
/// of a key with a request a second still differs little from one half-life to the next.
const HALF_LIFE: Duration = Duration::from_secs(3);
/// Half-life of the count that detects keys that have just become hot.
///
/// After a second this count reaches three fifths of a key's load, and the other count a fifth.
const HOT_HALF_LIFE: Duration = Duration::from_millis(750);
/// Approximate requests within the last second from which on a key may count as hot; a key with a
/// request a second has as many in one second of fifty.
const HOT_COUNT: f32 = 4.0;

/// Least fraction of its final value that a count is assumed to have reached: that after half a
/// second.
const MIN_GROWN: f64 = 0.1;

/// Requests a second of each key, as hosts report them.
///
/// It takes a megabyte from the first reported request on. Only the granting host gets reports; at
/// other hosts it takes a few bytes.
#[derive(Debug)]
pub struct KeyLoads {
    counts: Vec<f32>,
    /// Counts that decay with [`HOT_HALF_LIFE`].
    recent: Vec<f32>,
    /// When the first request was counted.
    first_request_at: Option<Timestamp>,
    /// When [`Self::sum_up`] first found a request.
    first_summed_at: Option<Timestamp>,
    decayed_at: Timestamp,
    /// Sum of the requests a second of all lower keys, for each key, computed by [`Self::sum_up`].
    prefix_sums: Vec<f64>,
}

impl KeyLoads {
    /// Creates a table without requests.
    #[must_use]
    pub fn new(now: Timestamp) -> Self {
        Self {
            counts: Vec::new(),
            recent: Vec::new(),
            first_request_at: None,
            first_summed_at: None,
            decayed_at: now,
            prefix_sums: Vec::new(),
        }
    }

    /// Counts `count` requests on `key`.
    pub fn add(&mut self, key: u16, count: u32) {
        if self.counts.is_empty() {
            let keys = usize::from(LAST_KEY) + 1;
            self.counts = vec![0.0; keys];
            self.recent = vec![0.0; keys];
            self.prefix_sums = vec![0.0; keys + 1];
        }
        self.counts[usize::from(key)] += count as f32;
        self.recent[usize::from(key)] += count as f32;
        self.first_request_at.get_or_insert(self.decayed_at);
    }

    /// Decays all counts, and computes the sums that [`Self::rate`] uses.
    pub fn sum_up(&mut self, now: Timestamp) {
        let age = now.since(self.decayed_at).as_secs_f64();
        let factor = (-age / HALF_LIFE.as_secs_f64()).exp2() as f32;
        let hot_factor = (-age / HOT_HALF_LIFE.as_secs_f64()).exp2() as f32;
        self.decayed_at = now;
        let Some(since) = self.first_request_at else {
            return;
        };
        self.first_summed_at.get_or_insert(now);
        // Corrects counts that have not had the time to reach their final value.
        let grown = |half_life: Duration| {
            let age = now.since(since).as_secs_f64() / half_life.as_secs_f64();
            (1.0 - (-age).exp2()).max(MIN_GROWN)
        };
        let (all_grown, hot_grown) = (grown(HALF_LIFE), grown(HOT_HALF_LIFE));
        let mut sum = 0.0;
        let counts = self.counts.iter_mut().zip(&mut self.recent);
        for ((count, recent), before) in counts.zip(&mut self.prefix_sums) {
            *count *= factor;
            *recent *= hot_factor;
            *before = sum;
            let mut rate = steady_rate(*count, HALF_LIFE) / all_grown;
            if *recent >= HOT_COUNT {
                rate = rate.max(steady_rate(*recent, HOT_HALF_LIFE) / hot_grown);
            }
            sum += rate;
        }
        if let Some(all) = self.prefix_sums.last_mut() {
            *all = sum;
        }
    }

    /// Returns the requests a second on `range`, as of the last [`Self::sum_up`].
    #[must_use]
    pub fn rate(&self, range: KeyRange) -> f64 {
        let through = |end: usize| self.prefix_sums.get(end).copied().unwrap_or_default();
        through(usize::from(range.last) + 1) - through(usize::from(range.first))
    }

    /// Returns the time from the first [`Self::sum_up`] that found a request to the last one.
    #[must_use]
    pub fn counted_for(&self) -> Duration {
        self.first_summed_at
            .map_or(Duration::ZERO, |first| self.decayed_at.since(first))
    }

    /// Returns the first key of `range` at which the total rate from the start of the range exceeds
    /// `rate`.
    #[must_use]
    pub fn key_at(&self, range: KeyRange, rate: f64) -> u16 {
        let first = usize::from(range.first);
        if self.prefix_sums.is_empty() {
            return range.last;
        }
        let wanted = self.prefix_sums[first] + rate;
        let sums = &self.prefix_sums[first + 1..=usize::from(range.last) + 1];
        let steps = sums.partition_point(|&sum| sum <= wanted);
        let key = (first + steps).min(usize::from(range.last));
        u16::try_from(key).unwrap_or(range.last)
    }
}

/// Returns the request rate at which a count with this half-life stays constant.
fn steady_rate(count: f32, half_life: Duration) -> f64 {
    f64::from(count) * std::f64::consts::LN_2 / half_life.as_secs_f64()
}
