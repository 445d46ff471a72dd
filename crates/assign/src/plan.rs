//! Selects the ranges that should move.
//!
//! An upstream's utilization is the request rate of its keys times its own service time, divided by
//! its slots. An upstream well above the utilization that all would have if requests were spread in
//! proportion to speed gives part of its busiest range to the one with the lowest utilization. The
//! range is split where the excess is reached, so that a stretch of hot keys is divided among
//! several upstreams.

use std::collections::HashSet;

use ids::UpstreamId;

use crate::balance::BalancePass;
use crate::loads::KeyLoads;
use crate::range::KeyRange;
use crate::row::{OwnedRange, PartitionRow};
use crate::utilization::upstream_loads;

/// What the planner needs to know of an upstream that may own keys.
#[derive(Debug, Clone, PartialEq)]
pub struct PlannedUpstream {
    /// The upstream.
    pub id: UpstreamId,
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// Its mean service time, in seconds.
    pub service_time: f64,
    /// Whether a request at it was observed.
    pub is_observed: bool,
    /// Most ranges that it should own, or `None` for no limit. Each range is renewed separately.
    pub max_ranges: Option<usize>,
}

/// Plans moves of ranges; holds the settings of the planner.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Planner {
    /// Factor by which an upstream must exceed the balanced utilization to give keys away.
    ///
    /// At ten requests a second, chance alone raises the rate of one upstream in twenty by a third.
    pub trigger_factor: f64,
    /// Utilization below which an upstream gives nothing away, because it has spare capacity.
    pub idle_utilization: f64,
    /// Most moves in one plan, as a fraction of the number of upstreams; at least six.
    ///
    /// When a third more upstreams join, they get their keys within three plans, while a plan for
    /// twenty upstreams stays small.
    pub max_moves_per_upstream: f64,
    /// Ranges per upstream from which on ranges only move whole, unless their owner is far above
    /// the balanced utilization.
    ///
    /// Each range costs a renewal every 750 ms and some 20 bytes of the row, whose size the store
    /// limits. Three ranges spread a stretch of hot keys well.
    pub max_ranges_per_upstream: usize,
    /// The same limit for the whole row. At 21 bytes per range and 15 per upstream, 64 KiB hold
    /// these ranges and the names of 1,100 upstreams, with a quarter to spare for ranges that are
    /// moving.
    pub max_row_ranges: usize,
}

impl Default for Planner {
    fn default() -> Self {
        Self {
            trigger_factor: 1.35,
            idle_utilization: 0.4,
            max_moves_per_upstream: 0.15,
            max_ranges_per_upstream: 4,
            max_row_ranges: 1_600,
        }
    }
}

/// Keys that should change owner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RangeMove {
    /// The keys.
    pub range: KeyRange,
    /// Their present owner.
    pub from: UpstreamId,
    /// Their next owner.
    pub to: UpstreamId,
}

impl Planner {
    /// Plans moves of keys from upstreams with too high a utilization to those with a low one.
    ///
    /// Ranges that are already moving stay.
    #[must_use]
    pub fn balance(
        &self,
        row: &PartitionRow,
        loads: &KeyLoads,
        ups: &[PlannedUpstream],
    ) -> Vec<RangeMove> {
        let mut pass = BalancePass::new(self, row, loads, ups);
        let max = (ups.len() as f64 * self.max_moves_per_upstream).max(6.0) as usize;
        std::iter::from_fn(|| pass.next()).take(max).collect()
    }

    /// Plans where to move the ranges of upstreams that no longer accept requests.
    ///
    /// Each range is split into parts of about equal load, at most as many as there are
    /// destinations, so that no destination gets all of it and each part waits only for its own
    /// requests.
    #[must_use]
    pub fn evacuate(
        &self,
        row: &PartitionRow,
        loads: &KeyLoads,
        ups: &[PlannedUpstream],
    ) -> Vec<RangeMove> {
        let mut upstreams = upstream_loads(row, loads, ups);
        let destinations: HashSet<&UpstreamId> = ups.iter().map(|u| &u.id).collect();
        let is_withdrawn = |p: &&OwnedRange| !destinations.contains(&p.owner);
        let withdrawn: Vec<_> = row.ranges.iter().filter(is_withdrawn).collect();
        let parts = MAX_EVACUATION_PARTS.min(withdrawn.len() + self.free_ranges(row, ups));
        let parts_per_range = (parts / withdrawn.len().max(1)).clamp(1, upstreams.len().max(1));
        let mut moves = Vec::new();
        for owned in withdrawn {
            for range in equal_parts(loads, owned.range, parts_per_range) {
                // Keys without requests count a little, so that they are spread as well.
                let rate = loads.rate(range).max(f64::from(range.key_count()) * 1e-6);
                let Some(low) = upstreams.iter_mut().min_by(|a, b| {
                    a.utilization_with(rate)
                        .total_cmp(&b.utilization_with(rate))
                }) else {
                    return moves;
                };
                low.rate += rate;
                moves.push(RangeMove {
                    range,
                    from: owned.owner.clone(),
                    to: low.upstream.id.clone(),
                });
            }
        }
        moves
    }

    /// Returns how many ranges may be added to the row.
    pub(crate) fn free_ranges(&self, row: &PartitionRow, ups: &[PlannedUpstream]) -> usize {
        let max = (self.max_ranges_per_upstream * ups.len()).min(self.max_row_ranges);
        max.saturating_sub(row.ranges.len())
    }
}

/// Number of parts into which the keys of all withdrawn upstreams together are split: enough to
/// spread one upstream's load evenly over ten others, few enough for one row and one round of
/// grants.
const MAX_EVACUATION_PARTS: usize = 12;

/// Splits `range` into `parts` of about equal load, or of equal size if it has no load.
fn equal_parts(loads: &KeyLoads, range: KeyRange, parts: usize) -> Vec<KeyRange> {
    let rate = loads.rate(range);
    let mut rest = range;
    let mut split = Vec::with_capacity(parts);
    for i in 1..parts {
        let left = (parts - i + 1) as f64;
        let key = if rate > 0.0 {
            loads.key_at(rest, loads.rate(rest) / left)
        } else {
            rest.first
                .saturating_add((f64::from(rest.key_count()) / left) as u16)
        };
        let Some((front, back)) = rest.split_at(key) else {
            continue;
        };
        split.push(front);
        rest = back;
    }
    split.push(rest);
    split
}
