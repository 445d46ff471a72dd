//! Loads against shares, as a plan changes them step by step.

use ids::{ArenaKey, SliceNo, Timestamp};

use super::cost::End;
use crate::initial::score;
use crate::loads::{Knowledge, Loads, UpstreamKey};
use crate::sketch::HotKey;

/// Upstreams among which the hash of a slice chooses, so that hosts don't all pick the emptiest.
const CHOICES: usize = 8;

/// Part of the way from the emptiest upstream to the source within which others are eligible.
const CHOICE_SPREAD: f64 = 0.25;

/// Difference to the best fit up to which upstreams count as equally good.
const FIT_SPREAD: f64 = 0.08;

/// Part of its share that a key leaves to fill at most, if it exceeds any share.
const NEARLY_EMPTY: f64 = 0.8;

/// Load below which an entry counts as idle, in busy slots.
const IDLE_LOAD: f64 = 1e-6;

/// One upstream in a plan.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Standing {
    pub load: f64,
    pub share: f64,
    pub capacity: f64,
    /// Load by share, minus one; zero without a share.
    pub ratio: f64,
    pub knowledge: Knowledge,
}

impl Standing {
    /// Tells whether slices may be moved there.
    pub(crate) fn is_open(&self) -> bool {
        self.capacity > 0.0 && self.knowledge == Knowledge::Fresh
    }

    fn set_load(&mut self, load: f64) {
        self.load = load.max(0.0);
        self.ratio = if self.share > 0.0 {
            self.load / self.share - 1.0
        } else {
            0.0
        };
    }

    /// Returns the load above the share.
    pub(crate) fn excess(&self) -> f64 {
        (self.load - self.share).max(0.0)
    }

    pub(crate) fn end(&self, load: f64) -> End {
        End {
            ratio: self.ratio,
            size: load / self.share.max(IDLE_LOAD),
        }
    }
}

/// A slice or key that could be moved.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Item {
    pub slice: SliceNo,
    pub load: f64,
    /// Part of the upstream's keys that it holds.
    pub keys: f64,
    pub density: f64,
    /// The key to be carved out, if it is no slice of its own yet.
    pub carve: Option<HotKey>,
}

/// Buffers of a plan, kept from one plan to the next.
#[derive(Debug, Default)]
pub struct PlanContext {
    pub(crate) standings: Vec<Standing>,
    /// Upstreams with capacity, emptiest first.
    pub(crate) light: Vec<UpstreamKey>,
    /// Local upstreams that may have to shed slices, the fullest first.
    pub(crate) sources: Vec<UpstreamKey>,
    /// Local upstreams that are to be emptied.
    pub(crate) leaving: Vec<UpstreamKey>,
    pub(crate) items: Vec<Item>,
    pub(crate) hot: Vec<HotKey>,
}

impl PlanContext {
    /// Takes in all loads; returns the capacity of all upstreams. One that was never heard of counts
    /// as having its share.
    pub(crate) fn begin(&mut self, now: Timestamp, loads: &Loads) -> f64 {
        self.standings.clear();
        self.light.clear();
        self.sources.clear();
        self.leaving.clear();
        self.standings.extend(loads.keys().map(|key| Standing {
            load: loads.load(now, key),
            share: 0.0,
            capacity: loads.capacity(key),
            ratio: 0.0,
            knowledge: loads.knowledge(now, key),
        }));
        let known = || {
            self.standings
                .iter()
                .filter(|s| s.knowledge != Knowledge::Nothing)
        };
        let total: f64 = known().map(|s| s.load).sum();
        let known_capacity: f64 = known().map(|s| s.capacity).sum();
        let capacity: f64 = self.standings.iter().map(|s| s.capacity).sum();
        let per_slot = total.max(IDLE_LOAD) / known_capacity.max(IDLE_LOAD);
        for standing in &mut self.standings {
            standing.share = per_slot * standing.capacity;
            if standing.knowledge == Knowledge::Nothing {
                standing.load += standing.share;
            }
            standing.set_load(standing.load);
        }
        capacity
    }

    /// Orders the upstreams that can take slices, of those that `is_open` lets through.
    pub(crate) fn order(&mut self, loads: &Loads, is_open: impl Fn(UpstreamKey) -> bool) {
        let standings = &self.standings;
        let eligible = |key: &UpstreamKey| standings[key.index()].is_open() && is_open(*key);
        self.light.extend(loads.keys().filter(eligible));
        self.light.sort_by(|a, b| {
            let ratio = |key: &UpstreamKey| standings[key.index()].ratio;
            ratio(a)
                .total_cmp(&ratio(b))
                .then_with(|| loads.tag(*a).cmp(&loads.tag(*b)))
        });
    }

    pub(crate) fn standing(&self, key: UpstreamKey) -> Standing {
        self.standings[key.index()]
    }

    /// Counts a load as moved, before the order is made.
    pub(crate) fn shift(&mut self, from: UpstreamKey, to: Option<UpstreamKey>, load: f64) {
        let source = &mut self.standings[from.index()];
        source.set_load(source.load - load);
        if let Some(to) = to {
            let target = &mut self.standings[to.index()];
            target.set_load(target.load + load);
        }
    }

    /// Counts a load as moved and keeps the order.
    pub(crate) fn transfer(&mut self, from: UpstreamKey, to: UpstreamKey, load: f64) {
        self.shift(from, Some(to), load);
        self.reorder(from);
        self.reorder(to);
    }

    /// Returns the upstream that `item` fills best: of those that stay at or below `limit` with it,
    /// and are nearly the fullest of them, the one that the slice's hash prefers.
    ///
    /// Small items so leave the largest gaps to large ones.
    pub(crate) fn fit(
        &self,
        loads: &Loads,
        item: &Item,
        from: UpstreamKey,
        limit: f64,
    ) -> Option<UpstreamKey> {
        let after = |key: UpstreamKey| {
            let end = self.standing(key).end(item.load);
            end.ratio + end.size
        };
        let largest = self.standing(from).end(item.load).size;
        let limit = limit.max(largest - NEARLY_EMPTY);
        let fitting = || {
            let others = self.light.iter().copied().filter(|key| *key != from);
            others.filter(|key| after(*key) <= limit)
        };
        let fullest = fitting().map(after).max_by(f64::total_cmp)?;
        fitting()
            .filter(|key| after(*key) >= fullest - FIT_SPREAD)
            .max_by_key(|key| score(item.slice, loads.tag(*key)))
    }

    /// Returns the upstream that should take `slice` off `from`: of a few nearly emptiest ones, the
    /// two that the slice's hash prefers are compared and the emptier is taken.
    pub(crate) fn choose(
        &self,
        loads: &Loads,
        slice: SliceNo,
        from: UpstreamKey,
    ) -> Option<UpstreamKey> {
        let emptiest = *self.light.iter().find(|key| **key != from)?;
        let lowest = self.standing(emptiest).ratio;
        let reach = (self.standing(from).ratio - lowest).max(0.0) * CHOICE_SPREAD;
        let mut first: Option<(u64, UpstreamKey)> = None;
        let mut second: Option<(u64, UpstreamKey)> = None;
        for key in self.light.iter().copied().take(CHOICES + 1) {
            if key == from {
                continue;
            }
            if self.standing(key).ratio > lowest + reach {
                break;
            }
            let rank = Some((score(slice, loads.tag(key)), key));
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
        let second_is_emptier = self.standing(second).ratio < self.standing(first).ratio;
        Some(if second_is_emptier { second } else { first })
    }

    fn reorder(&mut self, key: UpstreamKey) {
        let Some(at) = self.light.iter().position(|k| *k == key) else {
            return;
        };
        self.light.remove(at);
        let ratio = self.standing(key).ratio;
        let standings = &self.standings;
        let at = self
            .light
            .partition_point(|k| standings[k.index()].ratio < ratio);
        self.light.insert(at, key);
    }
}
