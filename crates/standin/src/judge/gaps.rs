//! For how long keys could not be served.

use std::time::Duration;

use ids::KeyHash;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::fault::Part;
use crate::load::{Record, Seen};

/// How to find out for how long keys could not be served.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct GapSettings {
    /// Latency up to which an answer counts as served at once, in milliseconds.
    pub at_once_ms: u64,
    /// Slices of each entry, to judge by slice; absent to judge by key.
    ///
    /// A slice gets more requests than a key, so that a gap's length is known more closely.
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

/// Lengths of time over parts, in milliseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Spans {
    /// Median.
    pub p50_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
    /// Maximum.
    pub max_ms: f64,
}

impl Spans {
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

/// For how long parts of entries could not be served.
///
/// Requests sample a part, so that each gap's length lies between two bounds.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Unavailable {
    /// Parts that got requests.
    pub parts: u64,
    /// Parts that could not be served at some time.
    pub hit: u64,
    /// Lower bound of the time, over the parts that were hit.
    pub at_least: Spans,
    /// Upper bound of the time, over the parts that were hit.
    pub at_most: Spans,
    /// Longest gap of one part, by its lower bound, in milliseconds.
    pub longest_ms: f64,
}

/// Time for which one part could not be served, in microseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct Gap {
    at_least: u64,
    at_most: u64,
    longest: u64,
}

/// Finds out for how long parts of divided entries could not be served.
pub(super) fn unavailable(records: &[Record], cfg: GapSettings) -> Unavailable {
    let mut parts: IndexMap<(&SmolStr, Part), Vec<&Record>> = IndexMap::new();
    for record in records {
        if let Some(key) = &record.key {
            let part = part_of(key, cfg.slices);
            parts.entry((&record.entry, part)).or_default().push(record);
        }
    }
    let gaps: Vec<Gap> = parts
        .values_mut()
        .map(|records| gap_of(records, Duration::from_millis(cfg.at_once_ms)))
        .filter(|gap| gap.at_most > 0)
        .collect();
    let longest = gaps.iter().map(|g| g.longest).max().unwrap_or_default();
    Unavailable {
        parts: parts.len() as u64,
        hit: gaps.len() as u64,
        at_least: Spans::of(gaps.iter().map(|g| g.at_least).collect()),
        at_most: Spans::of(gaps.iter().map(|g| g.at_most).collect()),
        longest_ms: longest as f64 / 1_000.0,
    }
}

fn part_of(key: &SmolStr, slices: Option<u32>) -> Part {
    match slices {
        Some(count) => Part::Slice(KeyHash::of(key.as_bytes()).slice(count)),
        None => Part::Key(key.clone()),
    }
}

/// Adds up the gaps of one part.
///
/// A gap holds the requests between two that were served at once. At least the part was not served
/// from the first of them until the last failed or was answered; at most between the two served.
fn gap_of(records: &mut [&Record], at_once: Duration) -> Gap {
    records.sort_by_key(|r| r.intended_us);
    let at_once = at_once.as_micros() as u64;
    let start = records.first().map_or(0, |r| r.intended_us);
    let end = records.last().map_or(0, |r| r.intended_us);
    let mut gap = Gap::default();
    let mut served_us = start;
    let mut open: Option<(u64, u64)> = None;
    for record in records.iter() {
        let is_answered = record.seen == Seen::Answered;
        if is_answered && record.latency_us() <= at_once {
            gap.close(open.take(), served_us, record.intended_us);
            served_us = record.intended_us;
            continue;
        }
        let last = if is_answered {
            record.done_us
        } else {
            record.intended_us
        };
        let (first, before) = open.unwrap_or((record.intended_us, last));
        open = Some((first, before.max(last)));
    }
    gap.close(open, served_us, end);
    gap
}

impl Gap {
    fn close(&mut self, open: Option<(u64, u64)>, served_us: u64, next_us: u64) {
        let Some((first, last)) = open else {
            return;
        };
        let at_least = last - first;
        // A part of whose gap nothing else is known could not be served for some time at all.
        let at_most = next_us.saturating_sub(served_us).max(at_least).max(1);
        self.at_least += at_least;
        self.at_most += at_most;
        self.longest = self.longest.max(at_least);
    }
}
