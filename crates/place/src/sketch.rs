//! A bounded sketch of the keys with the most work.
//!
//! A weighted frequent-items sketch after Misra and Gries, compacted in batches: it holds up to
//! twice its capacity, and when full it subtracts the median from all counters and drops those that
//! fall to zero. The cost per sample is constant on average, and a key with more than the total
//! work divided by the capacity is guaranteed to be held. The sketch records what compactions have
//! subtracted from a key since its insertion, and adds it back when the key is read.

use std::time::Duration;

use ids::{KeyHash, SliceNo, Timestamp};
use indexmap::IndexMap;

use crate::decay::Decay;
use crate::loads::{INDEX_BYTES, Sample};

/// Settings of a [`Sketch`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SketchSettings {
    /// Number of the heaviest keys that are guaranteed to be kept.
    pub capacity: usize,
    /// Time in which old work decays by the factor 1/e.
    pub time_constant: Duration,
}

impl Default for SketchSettings {
    fn default() -> Self {
        Self {
            capacity: 256,
            time_constant: Duration::from_secs(3),
        }
    }
}

/// A key with much work, found by the sketch.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct HotKey {
    /// Hash of the key.
    pub key: KeyHash,
    /// Slice that the key was last dispatched under.
    pub slice: SliceNo,
    /// Load, in busy slots; never more than the true load.
    pub load: f64,
}

#[derive(Debug, Clone, Copy)]
struct Counter {
    slice: SliceNo,
    /// Work counted, less what compactions subtracted.
    sum: f64,
    /// Value of [`Sketch::total_decrement`] at the key's insertion; what was added to it since
    /// belongs to the key's work.
    decrement_at_insertion: f64,
}

impl Counter {
    /// Returns the work counted since the key's insertion.
    const fn work(&self, total_decrement: f64) -> f64 {
        self.sum + total_decrement - self.decrement_at_insertion
    }
}

/// Finds the keys with the most work among the samples of one entry.
#[derive(Debug, Clone)]
pub struct Sketch {
    capacity: usize,
    decay: Decay,
    counters: IndexMap<KeyHash, Counter>,
    /// Sum of what all compactions so far subtracted from each counter.
    total_decrement: f64,
    /// Buffer for [`Self::compact`].
    sums: Vec<f64>,
}

impl Sketch {
    /// Creates an empty sketch.
    #[must_use]
    pub fn new(cfg: SketchSettings) -> Self {
        debug_assert!(cfg.capacity > 0, "the capacity must not be zero");
        Self {
            capacity: cfg.capacity,
            decay: Decay::new(cfg.time_constant),
            counters: IndexMap::with_capacity(2 * cfg.capacity),
            total_decrement: 0.0,
            sums: Vec::with_capacity(2 * cfg.capacity),
        }
    }

    /// Records the work of one request.
    pub fn record(&mut self, now: Timestamp, sample: Sample) {
        self.rebase(now);
        let sum = f64::from(sample.work_us) / 1e6 * self.decay.weight(now);
        let counter = self.counters.entry(sample.key).or_insert(Counter {
            slice: sample.slice,
            sum: 0.0,
            decrement_at_insertion: self.total_decrement,
        });
        counter.slice = sample.slice;
        counter.sum += sum;
        if self.counters.len() >= 2 * self.capacity {
            self.compact();
        }
    }

    /// Removes the key that has become the slice `hot`, and returns it with its load, or `None` if
    /// it was not held.
    pub fn take(&mut self, now: Timestamp, hot: SliceNo) -> Option<HotKey> {
        if !hot.is_hot() {
            return None;
        }
        let high_bits = hot.0 << 1;
        let candidates = [KeyHash(high_bits), KeyHash(high_bits | 1)];
        candidates.into_iter().find_map(|key| {
            let counter = self.counters.swap_remove(&key)?;
            Some(HotKey {
                key,
                slice: counter.slice,
                load: self.decay.rate(now, counter.work(self.total_decrement)),
            })
        })
    }

    /// Writes the keys with at least `min_load` busy slots to `out`, heaviest first.
    pub fn hot_keys(&self, now: Timestamp, min_load: f64, out: &mut Vec<HotKey>) {
        out.clear();
        let min_sum = self.decay.sum(now, min_load);
        for (key, counter) in &self.counters {
            let work = counter.work(self.total_decrement);
            if work < min_sum {
                continue;
            }
            out.push(HotKey {
                key: *key,
                slice: counter.slice,
                load: self.decay.rate(now, work),
            });
        }
        out.sort_by(|a, b| b.load.total_cmp(&a.load).then(a.key.cmp(&b.key)));
    }

    /// Returns the number of keys held.
    #[must_use]
    pub fn len(&self) -> usize {
        self.counters.len()
    }

    /// Returns whether no key is held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.counters.is_empty()
    }

    /// Returns the approximate memory of the counters, in bytes.
    #[must_use]
    pub fn heap_bytes(&self) -> usize {
        let counter = INDEX_BYTES + size_of::<(KeyHash, Counter)>();
        self.counters.capacity() * counter + self.sums.capacity() * size_of::<f64>()
    }

    fn compact(&mut self) {
        self.sums.clear();
        self.sums.extend(self.counters.values().map(|c| c.sum));
        let (_, decrement, _) = self
            .sums
            .select_nth_unstable_by(self.capacity - 1, f64::total_cmp);
        let decrement = *decrement;
        self.total_decrement += decrement;
        self.counters.retain(|_, c| {
            c.sum -= decrement;
            c.sum > 0.0
        });
    }

    fn rebase(&mut self, now: Timestamp) {
        let Some(factor) = self.decay.rebase(now) else {
            return;
        };
        for counter in self.counters.values_mut() {
            counter.sum *= factor;
            counter.decrement_at_insertion *= factor;
        }
        self.total_decrement *= factor;
    }
}
