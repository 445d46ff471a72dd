//! Loads and shares of all upstreams, updated with each move of a plan.

use ids::{ArenaKey, SliceNo, Timestamp};

use super::cost::MoveEndpoint;
use crate::initial::rendezvous_score;
use crate::loads::{LoadConfidence, Loads, UpstreamKey};
use crate::sketch::HotKey;

/// Number of upstreams among which the hash of a slice chooses, so that hosts don't all choose the
/// least loaded one.
const MAX_CHOICES: usize = 8;

/// Fraction of the difference between the ratios of the source and the least loaded upstream,
/// within which others are eligible.
const CHOICE_RANGE: f64 = 0.25;

/// Difference in ratio to the best fit up to which upstreams count as equally good.
const FIT_TOLERANCE: f64 = 0.08;

/// Fraction of its share that must be free at an upstream that takes a key larger than a share.
const MIN_FREE_SHARE: f64 = 0.8;

/// Load, in busy slots, below which an entry counts as idle; it also keeps divisors above zero.
const IDLE_LOAD: f64 = 1e-6;

/// Load and share of one upstream in a plan.
#[derive(Debug, Clone, Copy)]
pub(crate) struct UpstreamBalance {
    pub load: f64,
    pub share: f64,
    pub capacity: f64,
    /// Load divided by share, minus one; zero without a share.
    pub ratio: f64,
    pub confidence: LoadConfidence,
}

impl UpstreamBalance {
    /// Returns whether slices may be moved to the upstream.
    pub(crate) fn is_eligible(&self) -> bool {
        self.capacity > 0.0 && self.confidence == LoadConfidence::Fresh
    }

    fn set_load(&mut self, load: f64) {
        self.load = load.max(0.0);
        self.ratio = if self.share > 0.0 {
            self.load / self.share - 1.0
        } else {
            0.0
        };
    }

    /// Returns the load that exceeds the share.
    pub(crate) fn excess(&self) -> f64 {
        (self.load - self.share).max(0.0)
    }

    /// Returns this upstream as the source or destination of a move of `load`.
    pub(crate) fn endpoint(&self, load: f64) -> MoveEndpoint {
        MoveEndpoint {
            ratio: self.ratio,
            size: load / self.share.max(IDLE_LOAD),
        }
    }
}

/// A slice or key that may be moved.
#[derive(Debug, Clone, Copy)]
pub(crate) struct MovableSlice {
    pub slice: SliceNo,
    pub load: f64,
    /// Fraction of the upstream's keys that it holds.
    pub key_fraction: f64,
    /// Load moved per unit of churn: see [`super::cost::density`].
    pub density: f64,
    /// The key to be carved out, if it has no slice of its own yet.
    pub carve: Option<HotKey>,
}

/// Working state of a plan; reused to keep its allocations.
#[derive(Debug, Default)]
pub struct PlanContext {
    pub(crate) upstreams: Vec<UpstreamBalance>,
    /// Upstreams that may take slices, least loaded first.
    pub(crate) destinations: Vec<UpstreamKey>,
    /// Local upstreams that may have to give slices away, most loaded first.
    pub(crate) sources: Vec<UpstreamKey>,
    /// Local upstreams whose slices must all be moved away.
    pub(crate) draining: Vec<UpstreamKey>,
    pub(crate) movable: Vec<MovableSlice>,
    pub(crate) hot_keys: Vec<HotKey>,
}

impl PlanContext {
    /// Starts a plan from `loads`, and returns the total capacity of all upstreams. Upstreams whose
    /// load is unknown count as having their share.
    pub(crate) fn reset(&mut self, now: Timestamp, loads: &Loads) -> f64 {
        self.upstreams.clear();
        self.destinations.clear();
        self.sources.clear();
        self.draining.clear();
        self.upstreams
            .extend(loads.upstream_keys().map(|key| UpstreamBalance {
                load: loads.load(now, key),
                share: 0.0,
                capacity: loads.capacity(key),
                ratio: 0.0,
                confidence: loads.confidence(now, key),
            }));
        let known = || {
            self.upstreams
                .iter()
                .filter(|u| u.confidence != LoadConfidence::Unknown)
        };
        let total: f64 = known().map(|u| u.load).sum();
        let known_capacity: f64 = known().map(|u| u.capacity).sum();
        let capacity: f64 = self.upstreams.iter().map(|u| u.capacity).sum();
        let load_per_slot = total.max(IDLE_LOAD) / known_capacity.max(IDLE_LOAD);
        for upstream in &mut self.upstreams {
            upstream.share = load_per_slot * upstream.capacity;
            if upstream.confidence == LoadConfidence::Unknown {
                upstream.load += upstream.share;
            }
            upstream.set_load(upstream.load);
        }
        capacity
    }

    /// Lists the upstreams that may take slices and for which `is_eligible` returns true, least
    /// loaded first.
    pub(crate) fn sort_destinations(
        &mut self,
        loads: &Loads,
        is_eligible: impl Fn(UpstreamKey) -> bool,
    ) {
        let upstreams = &self.upstreams;
        let eligible =
            |key: &UpstreamKey| upstreams[key.index()].is_eligible() && is_eligible(*key);
        self.destinations
            .extend(loads.upstream_keys().filter(eligible));
        self.destinations.sort_by(|a, b| {
            let ratio = |key: &UpstreamKey| upstreams[key.index()].ratio;
            ratio(a)
                .total_cmp(&ratio(b))
                .then_with(|| loads.name_hash(*a).cmp(&loads.name_hash(*b)))
        });
    }

    pub(crate) fn balance(&self, key: UpstreamKey) -> UpstreamBalance {
        self.upstreams[key.index()]
    }

    /// Counts a load as moved, before [`Self::sort_destinations`].
    pub(crate) fn apply_move(&mut self, from: UpstreamKey, to: Option<UpstreamKey>, load: f64) {
        let source = &mut self.upstreams[from.index()];
        source.set_load(source.load - load);
        if let Some(to) = to {
            let destination = &mut self.upstreams[to.index()];
            destination.set_load(destination.load + load);
        }
    }

    /// Counts a load as moved, after [`Self::sort_destinations`], and keeps the order.
    pub(crate) fn apply_move_and_reorder(&mut self, from: UpstreamKey, to: UpstreamKey, load: f64) {
        self.apply_move(from, Some(to), load);
        self.reorder(from);
        self.reorder(to);
    }

    /// Returns the best fit for `movable`: of the upstreams whose ratio stays at or below `limit`
    /// with it, those within [`FIT_TOLERANCE`] of the most loaded one are equally good, and the
    /// slice's hash chooses among them.
    ///
    /// Small keys thus leave the least loaded upstreams to large ones.
    pub(crate) fn best_fit(
        &self,
        loads: &Loads,
        movable: &MovableSlice,
        from: UpstreamKey,
        limit: f64,
    ) -> Option<UpstreamKey> {
        let after = |key: UpstreamKey| {
            let endpoint = self.balance(key).endpoint(movable.load);
            endpoint.ratio + endpoint.size
        };
        let largest = self.balance(from).endpoint(movable.load).size;
        let limit = limit.max(largest - MIN_FREE_SHARE);
        let fitting = || {
            let others = self.destinations.iter().copied().filter(|key| *key != from);
            others.filter(|key| after(*key) <= limit)
        };
        let highest = fitting().map(after).max_by(f64::total_cmp)?;
        fitting()
            .filter(|key| after(*key) >= highest - FIT_TOLERANCE)
            .max_by_key(|key| rendezvous_score(movable.slice, loads.name_hash(*key)))
    }

    /// Returns the destination for a slice of `from` by the power of two choices: the slice's hash
    /// selects two of the least loaded upstreams, and the less loaded one of them is returned.
    pub(crate) fn choose_of_two(
        &self,
        loads: &Loads,
        slice: SliceNo,
        from: UpstreamKey,
    ) -> Option<UpstreamKey> {
        let least_loaded = *self.destinations.iter().find(|key| **key != from)?;
        let lowest = self.balance(least_loaded).ratio;
        let range = (self.balance(from).ratio - lowest).max(0.0) * CHOICE_RANGE;
        let mut first: Option<(u64, UpstreamKey)> = None;
        let mut second: Option<(u64, UpstreamKey)> = None;
        for key in self.destinations.iter().copied().take(MAX_CHOICES + 1) {
            if key == from {
                continue;
            }
            if self.balance(key).ratio > lowest + range {
                break;
            }
            let rank = Some((rendezvous_score(slice, loads.name_hash(key)), key));
            if rank > first {
                second = first;
                first = rank;
            } else if rank > second {
                second = rank;
            }
        }
        let (_, first) = first?;
        let Some((_, second)) = second else {
            return Some(first);
        };
        let second_is_less_loaded = self.balance(second).ratio < self.balance(first).ratio;
        Some(if second_is_less_loaded { second } else { first })
    }

    fn reorder(&mut self, key: UpstreamKey) {
        let Some(index) = self.destinations.iter().position(|k| *k == key) else {
            return;
        };
        self.destinations.remove(index);
        let ratio = self.balance(key).ratio;
        let upstreams = &self.upstreams;
        let index = self
            .destinations
            .partition_point(|k| upstreams[k.index()].ratio < ratio);
        self.destinations.insert(index, key);
    }
}
