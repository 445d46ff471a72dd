//! Unavailability of slices and keys.

use std::time::Duration;

use ids::KeyHash;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::fault::SliceOrKey;
use crate::load::{ClientOutcome, Record};

/// Settings of the measurement of unavailability.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct GapSettings {
    /// Highest latency at which a request counts as served immediately, in milliseconds.
    pub at_once_ms: u64,
    /// Number of slices of each entry, to measure by slice; absent to measure by key.
    ///
    /// A slice gets more requests than a key, which bounds the length of a gap more closely.
    pub slices: Option<u32>,
}

impl Default for GapSettings {
    fn default() -> Self {
        Self {
            at_once_ms: 100,
            slices: None,
        }
    }
}

/// Quantiles of durations over slices or keys, in milliseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct DurationQuantiles {
    /// Median.
    pub p50_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
    /// Maximum.
    pub max_ms: f64,
}

impl DurationQuantiles {
    fn of(mut us: Vec<u64>) -> Self {
        us.sort_unstable();
        let at = |quantile: f64| {
            let rank = (quantile * us.len() as f64).ceil() as usize;
            us.get(rank.saturating_sub(1)).copied().unwrap_or_default() as f64 / 1_000.0
        };
        Self {
            p50_ms: at(0.5),
            p99_ms: at(0.99),
            max_ms: at(1.0),
        }
    }
}

/// Unavailability of slices or keys.
///
/// Requests only sample the availability, so each gap's length lies between two bounds.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Unavailability {
    /// Slices or keys that got requests.
    pub parts: u64,
    /// Slices or keys that were unavailable at some time.
    pub hit: u64,
    /// Lower bound of the unavailable time, over the affected slices or keys.
    pub at_least: DurationQuantiles,
    /// Upper bound of the unavailable time, over the affected slices or keys.
    pub at_most: DurationQuantiles,
    /// Longest gap of a slice or key, by its lower bound, in milliseconds.
    pub longest_ms: f64,
}

/// Total unavailable time of one slice or key, in microseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct Gap {
    at_least: u64,
    at_most: u64,
    longest: u64,
}

/// Computes the unavailability of slices or keys of divided entries.
pub(super) fn unavailable(records: &[Record], cfg: GapSettings) -> Unavailability {
    let mut parts: IndexMap<(&SmolStr, SliceOrKey), Vec<&Record>> = IndexMap::new();
    for record in records {
        if let Some(key) = &record.key {
            let part = slice_or_key(key, cfg.slices);
            parts.entry((&record.entry, part)).or_default().push(record);
        }
    }
    let gaps: Vec<Gap> = parts
        .values_mut()
        .map(|records| gap_of(records, Duration::from_millis(cfg.at_once_ms)))
        .filter(|gap| gap.at_most > 0)
        .collect();
    let longest = gaps.iter().map(|g| g.longest).max().unwrap_or_default();
    Unavailability {
        parts: parts.len() as u64,
        hit: gaps.len() as u64,
        at_least: DurationQuantiles::of(gaps.iter().map(|g| g.at_least).collect()),
        at_most: DurationQuantiles::of(gaps.iter().map(|g| g.at_most).collect()),
        longest_ms: longest as f64 / 1_000.0,
    }
}

fn slice_or_key(key: &SmolStr, slices: Option<u32>) -> SliceOrKey {
    match slices {
        Some(count) => SliceOrKey::Slice(KeyHash::of(key.as_bytes()).slice(count)),
        None => SliceOrKey::Key(key.clone()),
    }
}

/// Adds up the gaps of one slice or key.
///
/// A gap consists of the requests between two that were served immediately. Its lower bound is the
/// time from the first of these requests until the last one failed or was answered; its upper bound
/// is the time between the two served requests.
fn gap_of(records: &mut [&Record], max_latency: Duration) -> Gap {
    records.sort_by_key(|r| r.intended_us);
    let max_latency = max_latency.as_micros() as u64;
    let start = records.first().map_or(0, |r| r.intended_us);
    let end = records.last().map_or(0, |r| r.intended_us);
    let mut gap = Gap::default();
    let mut served_us = start;
    let mut open_gap: Option<(u64, u64)> = None;
    for record in records.iter() {
        let is_answered = record.seen == ClientOutcome::Answered;
        if is_answered && record.latency_us() <= max_latency {
            gap.close(open_gap.take(), served_us, record.intended_us);
            served_us = record.intended_us;
            continue;
        }
        let last = if is_answered {
            record.done_us
        } else {
            record.intended_us
        };
        let (first, previous_last) = open_gap.unwrap_or((record.intended_us, last));
        open_gap = Some((first, previous_last.max(last)));
    }
    gap.close(open_gap, served_us, end);
    gap
}

impl Gap {
    fn close(&mut self, open_gap: Option<(u64, u64)>, served_us: u64, next_us: u64) {
        let Some((first, last)) = open_gap else {
            return;
        };
        let at_least = last - first;
        // At least 1, so that a gap without a known length still counts.
        let at_most = next_us.saturating_sub(served_us).max(at_least).max(1);
        self.at_least += at_least;
        self.at_most += at_most;
        self.longest = self.longest.max(at_least);
    }
}
