//! How busy each key is.

use std::time::Duration;

use ids::Timestamp;

use crate::range::{KeyRange, LAST_KEY};

/// Time after which a request counts half.
///
/// A hot key is then half known after this time, while a key with a request a second still has a
/// count that differs little from one half-life to the next.
const HALF_LIFE: Duration = Duration::from_secs(3);
/// The same for keys that became hot just now.
///
/// A key is known for three fifths of its load after a second, and for a fifth by the other count.
const HOT_HALF_LIFE: Duration = Duration::from_millis(750);
/// Requests of the last second, about, from which on a key may count as hot: one with a request a
/// second has as many in one second of fifty.
const HOT_COUNT: f32 = 4.0;

/// Least part of its final value that a count is taken to have: that after half a second.
const LEAST_GROWN: f64 = 0.1;

/// Requests a second of each key, as the hosts report them.
///
/// It takes a megabyte from the first request on that is reported: only the host that grants hears of
/// any, and the others keep a few bytes.
#[derive(Debug)]
pub struct KeyLoads {
    counts: Vec<f32>,
    /// The same with [`HOT_HALF_LIFE`].
    recent: Vec<f32>,
    /// Since when there have been requests.
    asked_since: Option<Timestamp>,
    faded_at: Timestamp,
    /// Sum of the requests a second before each key, made by [`Self::sum_up`].
    sums: Vec<f64>,
}

impl KeyLoads {
    /// Knows of no requests.
    #[must_use]
    pub fn new(now: Timestamp) -> Self {
        Self {
            counts: Vec::new(),
            recent: Vec::new(),
            asked_since: None,
            faded_at: now,
            sums: Vec::new(),
        }
    }

    /// Adds `count` requests on `key`.
    pub fn add(&mut self, key: u16, count: u32) {
        if self.counts.is_empty() {
            let keys = usize::from(LAST_KEY) + 1;
            self.counts = vec![0.0; keys];
            self.recent = vec![0.0; keys];
            self.sums = vec![0.0; keys + 1];
        }
        self.counts[usize::from(key)] += count as f32;
        self.recent[usize::from(key)] += count as f32;
        self.asked_since.get_or_insert(self.faded_at);
    }

    /// Fades all counts, and sums them up for [`Self::rate`].
    pub fn sum_up(&mut self, now: Timestamp) {
        let age = now.since(self.faded_at).as_secs_f64();
        let factor = (-age / HALF_LIFE.as_secs_f64()).exp2() as f32;
        let hot_factor = (-age / HOT_HALF_LIFE.as_secs_f64()).exp2() as f32;
        self.faded_at = now;
        let Some(since) = self.asked_since else {
            return;
        };
        // Counts that have just begun to grow are below what they will be.
        let grown = |half_life: Duration| {
            let age = now.since(since).as_secs_f64() / half_life.as_secs_f64();
            (1.0 - (-age).exp2()).max(LEAST_GROWN)
        };
        let (all_grown, hot_grown) = (grown(HALF_LIFE), grown(HOT_HALF_LIFE));
        let mut sum = 0.0;
        let counts = self.counts.iter_mut().zip(&mut self.recent);
        for ((count, recent), before) in counts.zip(&mut self.sums) {
            *count *= factor;
            *recent *= hot_factor;
            *before = sum;
            let mut rate = per_second(*count, HALF_LIFE) / all_grown;
            if *recent >= HOT_COUNT {
                rate = rate.max(per_second(*recent, HOT_HALF_LIFE) / hot_grown);
            }
            sum += rate;
        }
        if let Some(all) = self.sums.last_mut() {
            *all = sum;
        }
    }

    /// Returns the requests a second on `range`, as of the last [`Self::sum_up`].
    #[must_use]
    pub fn rate(&self, range: KeyRange) -> f64 {
        let through = |end: usize| self.sums.get(end).copied().unwrap_or_default();
        through(usize::from(range.last) + 1) - through(usize::from(range.first))
    }

    /// Returns the first key of `range` with which the rate from its beginning exceeds `rate`.
    #[must_use]
    pub fn key_at(&self, range: KeyRange, rate: f64) -> u16 {
        let first = usize::from(range.first);
        if self.sums.is_empty() {
            return range.last;
        }
        let wanted = self.sums[first] + rate;
        let sums = &self.sums[first + 1..=usize::from(range.last) + 1];
        let steps = sums.partition_point(|&sum| sum <= wanted);
        let key = (first + steps).min(usize::from(range.last));
        u16::try_from(key).unwrap_or(range.last)
    }
}

/// Returns the requests a second that keep a count of this half-life where it is.
fn per_second(count: f32, half_life: Duration) -> f64 {
    f64::from(count) * std::f64::consts::LN_2 / half_life.as_secs_f64()
}
