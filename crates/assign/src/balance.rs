//! Evens out load: selects which upstreams give keys away, how many, and to which upstreams.

use std::cmp::Ordering;
use std::time::Duration;

use ids::UpstreamId;

use crate::loads::KeyLoads;
use crate::plan::{PlannedUpstream, Planner, RangeMove};
use crate::range::KeyRange;
use crate::row::{OwnedRange, PartitionRow};
use crate::utilization::{UpstreamLoad, balanced_utilization, upstream_loads};

/// Least fraction of its own load that an upstream with a hot key must be able to give away besides
/// that key for the move to be worth its cost.
const MIN_OTHER_LOAD: f64 = 0.04;
/// A single hot key moves only if the faster upstream's utilization would be below this fraction of
/// the present one, because its requests wait about a service time for the move.
const MAX_UTILIZATION_RATIO: f64 = 0.75;
/// Least fraction of the wanted load that a move must transfer to be worth its cost.
const MIN_MOVE_FRACTION: f64 = 0.2;

/// Fraction of the balanced utilization below which an upstream gets further keys if no request at
/// it was observed yet. Counts of requests that are not repeated fall below it after six seconds.
const MIN_UNOBSERVED_FRACTION: f64 = 0.25;
/// Time for which requests must have been counted before that: after the start, most upstreams get
/// their first request within it.
const MIN_COUNTED_TIME: Duration = Duration::from_secs(5);

/// A plan under construction: each move counts when the next ones are chosen.
#[derive(Debug)]
pub(crate) struct BalancePass<'a> {
    planner: &'a Planner,
    /// The row with all moves so far applied.
    row: PartitionRow,
    loads: &'a KeyLoads,
    upstreams: Vec<UpstreamLoad<'a>>,
    /// Upstreams that have no keys that another upstream could take.
    exhausted: Vec<bool>,
    /// Utilization that all upstreams would have if requests were spread in proportion to their
    /// speed.
    balanced: f64,
    /// Number of ranges that may still be added to the row.
    free_ranges: usize,
}

impl<'a> BalancePass<'a> {
    pub(crate) fn new(
        planner: &'a Planner,
        row: &PartitionRow,
        loads: &'a KeyLoads,
        ups: &'a [PlannedUpstream],
    ) -> Self {
        let upstreams = upstream_loads(row, loads, ups);
        Self {
            planner,
            row: row.clone(),
            loads,
            exhausted: vec![false; upstreams.len()],
            balanced: balanced_utilization(&upstreams),
            upstreams,
            free_ranges: planner.free_ranges(row, ups),
        }
    }

    /// Plans the next move.
    pub(crate) fn next(&mut self) -> Option<RangeMove> {
        self.next_excess_range()
            .or_else(|| self.next_by_utilization())
    }

    /// Plans to move the range with the lowest rate of an upstream that owns too many ranges to the
    /// upstream with the lowest utilization.
    fn next_excess_range(&mut self) -> Option<RangeMove> {
        let max = |i: usize| self.upstreams[i].upstream.max_ranges;
        let all = 0..self.upstreams.len();
        let mut sources = all
            .clone()
            .filter(|&i| max(i).is_some_and(|max| self.movable_ranges(i).count() > max));
        let source = sources.next()?;
        let destinations = all.filter(|&i| max(i).is_none());
        let low = destinations.min_by(|&a, &b| {
            self.upstreams[a]
                .utilization()
                .total_cmp(&self.upstreams[b].utilization())
        })?;
        let least_busy = self.movable_ranges(source).min_by(by_rate(self.loads))?;
        let range = least_busy.range;
        Some(self.plan_move(range, source, low))
    }

    /// Plans a move from the upstream with the highest utilization that has keys to give to the one
    /// with the lowest.
    fn next_by_utilization(&mut self) -> Option<RangeMove> {
        loop {
            let by_utilization = |&a: &usize, &b: &usize| {
                self.upstreams[a]
                    .utilization()
                    .total_cmp(&self.upstreams[b].utilization())
            };
            let by_need = |a: &usize, b: &usize| {
                let keys = self.needs_keys(*b).cmp(&self.needs_keys(*a));
                keys.then(by_utilization(a, b))
            };
            let low = (0..self.upstreams.len()).min_by(by_need)?;
            let sources = (0..self.upstreams.len()).filter(|&i| !self.exhausted[i]);
            let high = sources.max_by(by_utilization)?;
            if high == low || !self.is_due(high, low) {
                return None;
            }
            match self.select_keys(high, low) {
                Some((range, to)) => return Some(self.plan_move(range, high, to)),
                None => self.exhausted[high] = true,
            }
        }
    }

    fn is_due(&self, high: usize, low: usize) -> bool {
        let needs_keys = self.needs_keys(low);
        let high = &self.upstreams[high];
        let is_busy = high.utilization() > self.planner.idle_utilization
            && high.utilization() > self.balanced * self.planner.trigger_factor;
        is_busy || (needs_keys && high.rate > 0.0)
    }

    /// Returns whether an upstream needs keys whatever the utilization: without requests its speed
    /// would never be observed. The keys that it was given first may not be requested any more.
    fn needs_keys(&self, i: usize) -> bool {
        let low = &self.upstreams[i];
        let is_idle = low.utilization() < self.balanced * MIN_UNOBSERVED_FRACTION;
        let is_unobserved =
            !low.upstream.is_observed && self.loads.counted_for() >= MIN_COUNTED_TIME;
        !low.has_keys || (is_unobserved && is_idle)
    }

    fn plan_move(&mut self, range: KeyRange, from: usize, to: usize) -> RangeMove {
        let rate = self.loads.rate(range);
        self.upstreams[from].rate -= rate;
        self.upstreams[to].rate += rate;
        self.upstreams[to].has_keys = true;
        let planned = RangeMove {
            range,
            from: self.upstreams[from].upstream.id.clone(),
            to: self.upstreams[to].upstream.id.clone(),
        };
        let ranges = self.row.ranges.len();
        let token = self.row.highest_token;
        self.row.reassign(range, &planned.from, &planned.to, token);
        self.free_ranges = self
            .free_ranges
            .saturating_sub(self.row.ranges.len() - ranges);
        planned
    }

    /// Selects keys that `high` should give away, and the upstream that takes them.
    fn select_keys(&self, high: usize, low: usize) -> Option<(KeyRange, usize)> {
        let source = &self.upstreams[high];
        let excess = -source.headroom(self.balanced);
        let wanted = excess
            .max(source.rate / 4.0)
            .min(self.upstreams[low].headroom(self.balanced));
        if wanted <= 0.0 {
            return None;
        }
        let is_far_above = source.utilization()
            > self.balanced * self.planner.trigger_factor * self.planner.trigger_factor;
        if self.free_ranges == 0 && !is_far_above {
            return self.whole_range(high, wanted).map(|range| (range, low));
        }
        let owned = self.movable_ranges(high).max_by(by_rate(self.loads))?;
        let fits = |range| {
            self.upstreams[low].utilization_with(self.loads.rate(range)) < source.utilization()
        };
        if let Some(range) = front_part(self.loads, owned.range, wanted) {
            return fits(range).then_some((range, low));
        }
        // The next key alone has a higher rate than wanted.
        let hot = self.loads.key_at(owned.range, wanted);
        if let Some(range) = self.front_through(owned.range, hot, high, low) {
            return Some((range, low));
        }
        let rest = self.busiest_besides(high, hot);
        if let Some(range) = rest.filter(|&r| self.loads.rate(r) > source.rate * MIN_OTHER_LOAD) {
            return fits(range).then_some((range, low));
        }
        self.faster_upstream(high, hot)
    }

    /// Returns a whole range of `high` with at most `wanted` requests a second.
    fn whole_range(&self, high: usize, wanted: f64) -> Option<KeyRange> {
        let fitting = self.movable_ranges(high);
        let fitting = fitting.filter(|p| self.loads.rate(p.range) <= wanted);
        let owned = fitting.max_by(by_rate(self.loads))?;
        (self.loads.rate(owned.range) > wanted * MIN_MOVE_FRACTION).then_some(owned.range)
    }

    /// Returns the front of `range` up to and including the key `hot` if `low` has ample capacity
    /// for it: among many upstreams, each has less headroom than a busy key needs.
    fn front_through(
        &self,
        range: KeyRange,
        hot: u16,
        high: usize,
        low: usize,
    ) -> Option<KeyRange> {
        let after = hot.checked_add(1)?;
        let (front, _) = range.split_at(after)?;
        let utilization = self.upstreams[low].utilization_with(self.loads.rate(front));
        let has_capacity = utilization < self.upstreams[high].utilization() * MAX_UTILIZATION_RATIO
            && utilization < self.balanced * self.planner.trigger_factor;
        has_capacity.then_some(front)
    }

    /// Returns the range of `owner` with the highest rate besides the key `hot`: either side of it
    /// in its own range, or another range.
    fn busiest_besides(&self, owner: usize, hot: u16) -> Option<KeyRange> {
        let parts = self.movable_ranges(owner).flat_map(|owned| {
            if !owned.range.contains(hot) {
                return vec![owned.range];
            }
            let left = owned.range.split_at(hot).map(|(left, _)| left);
            let after = hot.checked_add(1).and_then(|key| owned.range.split_at(key));
            left.into_iter()
                .chain(after.map(|(_, right)| right))
                .collect()
        });
        let rate = |range: &KeyRange| self.loads.rate(*range);
        parts.max_by(|a, b| rate(a).total_cmp(&rate(b)))
    }

    /// Finds an upstream on which the key `hot` causes much lower utilization than on `high`, which
    /// has no other load to give away.
    fn faster_upstream(&self, high: usize, hot: u16) -> Option<(KeyRange, usize)> {
        let range = KeyRange {
            first: hot,
            last: hot,
        };
        let rate = self.loads.rate(range);
        let with = |&i: &usize| self.upstreams[i].utilization_with(rate);
        let others = (0..self.upstreams.len()).filter(|&i| i != high);
        let best = others.min_by(|a, b| with(a).total_cmp(&with(b)))?;
        (with(&best) < self.upstreams[high].utilization() * MAX_UTILIZATION_RATIO)
            .then_some((range, best))
    }

    /// Returns the ranges of an upstream that are not being moved.
    fn movable_ranges(&self, owner: usize) -> impl Iterator<Item = &OwnedRange> {
        let owner: &UpstreamId = &self.upstreams[owner].upstream.id;
        let is_settled = move |p: &&OwnedRange| p.owner == *owner && p.previous_owners.is_empty();
        self.row.ranges.iter().filter(is_settled)
    }
}

fn by_rate(loads: &KeyLoads) -> impl Fn(&&OwnedRange, &&OwnedRange) -> Ordering + '_ {
    |a, b| loads.rate(a.range).total_cmp(&loads.rate(b.range))
}

/// Returns the front of `range` with about `wanted` requests a second, or `None` if a hot
/// key leaves too little in front of it to be worth a move.
fn front_part(loads: &KeyLoads, range: KeyRange, wanted: f64) -> Option<KeyRange> {
    if loads.rate(range) <= wanted {
        return Some(range);
    }
    let end = loads.key_at(range, wanted);
    let (front, _) = range.split_at(end)?;
    (loads.rate(front) > wanted * MIN_MOVE_FRACTION).then_some(front)
}
