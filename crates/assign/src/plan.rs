//! Which ranges should move.
//!
//! An upstream's load is the requests a second on its keys times its own time for one of them, over
//! its slots. Whoever is well above what all would have if work were spread by speed gives part of
//! its busiest range to whoever is lowest; a range is cut where the excess is reached, so that a
//! stretch of hot keys is divided among several upstreams.

use std::collections::HashMap;

use ids::UpstreamId;

use crate::loads::KeyLoads;
use crate::range::KeyRange;
use crate::row::{EntryRow, Piece};

/// What a planner knows of an upstream that may own keys.
#[derive(Debug, Clone, PartialEq)]
pub struct UpstreamView {
    /// The upstream.
    pub id: UpstreamId,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Its time for one request, in seconds.
    pub service: f64,
}

/// Settings of a [`Planner`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Planner {
    /// How far above the others' level an upstream must be to give keys away, as a factor.
    ///
    /// Chance alone lifts the rate of one upstream in twenty by a third at ten requests a second.
    pub trigger: f64,
    /// Busy slots for each slot below which an upstream gives nothing away: it has room.
    pub idle: f64,
    /// Most moves in one plan, as a part of the upstreams; at least six.
    ///
    /// A third more upstreams then get their keys within three plans, while a plan for twenty
    /// stays small.
    pub moves: f64,
}

impl Default for Planner {
    fn default() -> Self {
        Self {
            trigger: 1.35,
            idle: 0.4,
            moves: 0.15,
        }
    }
}

/// Keys that should change their owner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Move {
    /// The keys.
    pub range: KeyRange,
    /// Their owner.
    pub from: UpstreamId,
    /// Their next owner.
    pub to: UpstreamId,
}

/// Load of an upstream while a plan is made.
#[derive(Debug, Clone)]
struct Level<'a> {
    view: &'a UpstreamView,
    /// Requests a second.
    rate: f64,
    has_keys: bool,
    gave: bool,
}

impl Level<'_> {
    /// Busy slots for each slot, if `more` requests a second came.
    fn with(&self, more: f64) -> f64 {
        (self.rate + more) * self.view.service / f64::from(self.view.slots.max(1))
    }

    fn is(&self) -> f64 {
        self.with(0.0)
    }

    /// Requests a second that lift the upstream to `level`.
    fn room(&self, level: f64) -> f64 {
        level * f64::from(self.view.slots.max(1)) / self.view.service.max(1e-4) - self.rate
    }
}

impl Planner {
    /// Plans moves of keys whose owner has too many, towards those that have few.
    ///
    /// Ranges that are still moving stay.
    #[must_use]
    pub fn balance(&self, row: &EntryRow, loads: &KeyLoads, ups: &[UpstreamView]) -> Vec<Move> {
        let mut levels = levels(row, loads, ups);
        let mut moves = Vec::new();
        if levels.len() < 2 {
            return moves;
        }
        let fair = fair_level(&levels);
        let most = (ups.len() as f64 * self.moves).max(6.0) as usize;
        while moves.len() < most {
            let Some(planned) = self.next(row, loads, &mut levels, fair) else {
                break;
            };
            moves.push(planned);
        }
        moves
    }

    /// Plans the next move, from the highest upstream that has not given yet and has something to
    /// give.
    fn next(
        &self,
        row: &EntryRow,
        loads: &KeyLoads,
        levels: &mut [Level<'_>],
        fair: f64,
    ) -> Option<Move> {
        loop {
            let by_level = |&a: &usize, &b: &usize| levels[a].is().total_cmp(&levels[b].is());
            let by_need = |&a: &usize, &b: &usize| {
                let keys = levels[a].has_keys.cmp(&levels[b].has_keys);
                keys.then(by_level(&a, &b))
            };
            let low = (0..levels.len()).min_by(by_need)?;
            let givers = (0..levels.len()).filter(|&i| !levels[i].gave);
            let high = givers.max_by(by_level)?;
            let busy = levels[high].is() > self.idle && levels[high].is() > fair * self.trigger;
            // An upstream without keys would never show what it can do.
            let starved = !levels[low].has_keys && levels[high].rate > 0.0;
            if high == low || !(busy || starved) {
                return None;
            }
            levels[high].gave = true;
            let Some((range, to)) = relieve(row, loads, levels, high, low, fair) else {
                continue;
            };
            let rate = loads.rate(range);
            levels[high].rate -= rate;
            levels[to].rate += rate;
            levels[to].has_keys = true;
            return Some(Move {
                range,
                from: levels[high].view.id.clone(),
                to: levels[to].view.id.clone(),
            });
        }
    }

    /// Plans where the pieces of upstreams that take nothing any more should go.
    ///
    /// Each piece is cut into parts of about equal load, at most as many as there are takers, so
    /// that no taker gets all of it and a part waits for its own requests only.
    #[must_use]
    pub fn evacuate(&self, row: &EntryRow, loads: &KeyLoads, ups: &[UpstreamView]) -> Vec<Move> {
        let mut levels = levels(row, loads, ups);
        let is_gone = |p: &&Piece| !ups.iter().any(|u| u.id == p.owner);
        let gone: Vec<_> = row.pieces.iter().filter(is_gone).collect();
        let parts_each = (PARTS_OF_LOST / gone.len().max(1)).clamp(1, levels.len().max(1));
        let mut moves = Vec::new();
        for piece in gone {
            for range in equal_parts(loads, piece.range, parts_each) {
                // Without requests, keys still count a little, so that they spread.
                let rate = loads.rate(range).max(f64::from(range.keys()) * 1e-6);
                let Some(low) = levels
                    .iter_mut()
                    .min_by(|a, b| a.with(rate).total_cmp(&b.with(rate)))
                else {
                    return moves;
                };
                low.rate += rate;
                moves.push(Move {
                    range,
                    from: piece.owner.clone(),
                    to: low.view.id.clone(),
                });
            }
        }
        moves
    }
}

/// Parts into which the keys of lost upstreams are cut together: enough to spread one upstream's
/// load evenly over ten others, few enough for one row and one round of grants.
const PARTS_OF_LOST: usize = 12;

fn levels<'a>(row: &EntryRow, loads: &KeyLoads, ups: &'a [UpstreamView]) -> Vec<Level<'a>> {
    let mut rates: HashMap<&UpstreamId, f64> = HashMap::new();
    for piece in &row.pieces {
        *rates.entry(&piece.owner).or_default() += loads.rate(piece.range);
    }
    let level = |view: &'a UpstreamView| Level {
        view,
        rate: rates.get(&view.id).copied().unwrap_or_default(),
        has_keys: rates.contains_key(&view.id),
        gave: false,
    };
    ups.iter().map(level).collect()
}

/// Returns the level that all would have if requests were spread by speed.
fn fair_level(levels: &[Level<'_>]) -> f64 {
    let rate: f64 = levels.iter().map(|l| l.rate).sum();
    let speed: f64 = levels.iter().map(|l| l.room(1.0) + l.rate).sum();
    rate / speed.max(1e-9)
}

/// Finds keys that `high` should give away, and to whom.
fn relieve(
    row: &EntryRow,
    loads: &KeyLoads,
    levels: &[Level<'_>],
    high: usize,
    low: usize,
    fair: f64,
) -> Option<(KeyRange, usize)> {
    let giver = &levels[high];
    let piece = pieces(row, &giver.view.id).max_by(by_rate(loads))?;
    let excess = -giver.room(fair);
    let wanted = excess.max(giver.rate / 4.0).min(levels[low].room(fair));
    if wanted <= 0.0 {
        return None;
    }
    if let Some(range) = part(loads, piece.range, wanted) {
        let fits = levels[low].with(loads.rate(range)) < giver.is();
        return fits.then_some((range, low));
    }
    let hot = loads.key_at(piece.range, wanted);
    let rest = beside(row, loads, &giver.view.id, hot);
    if let Some(range) = rest.filter(|&r| loads.rate(r) > giver.rate * WORTH_MOVING) {
        let fits = levels[low].with(loads.rate(range)) < giver.is();
        return fits.then_some((range, low));
    }
    faster(loads, levels, high, hot)
}

/// Returns the busiest range of `owner` beside the key `hot`: of the parts of its own piece, and of
/// the other pieces.
fn beside(row: &EntryRow, loads: &KeyLoads, owner: &UpstreamId, hot: u16) -> Option<KeyRange> {
    let parts = pieces(row, owner).flat_map(|piece| {
        if !piece.range.contains(hot) {
            return vec![piece.range];
        }
        let left = piece.range.split_at(hot).map(|(left, _)| left);
        let after = hot.checked_add(1).and_then(|key| piece.range.split_at(key));
        left.into_iter()
            .chain(after.map(|(_, right)| right))
            .collect()
    });
    parts.max_by(|a, b| loads.rate(*a).total_cmp(&loads.rate(*b)))
}

/// Finds an upstream that works on the key `hot` much better than `high`, which has nothing else.
fn faster(
    loads: &KeyLoads,
    levels: &[Level<'_>],
    high: usize,
    hot: u16,
) -> Option<(KeyRange, usize)> {
    let range = KeyRange {
        first: hot,
        last: hot,
    };
    let rate = loads.rate(range);
    let with = |&i: &usize| levels[i].with(rate);
    let others = (0..levels.len()).filter(|&i| i != high);
    let best = others.min_by(|a, b| with(a).total_cmp(&with(b)))?;
    (with(&best) < levels[high].is() * MUCH_FASTER).then_some((range, best))
}

/// Part of its own load that an upstream with a hot key must be able to give away beside it.
const WORTH_MOVING: f64 = 0.04;
/// Level at a faster upstream, as a part of the present one, at which a single hot key moves: its
/// requests wait about a service time for it.
const MUCH_FASTER: f64 = 0.75;

/// Returns the pieces of `owner` that are not moving.
fn pieces<'a>(row: &'a EntryRow, owner: &UpstreamId) -> impl Iterator<Item = &'a Piece> {
    let owner = owner.clone();
    row.pieces
        .iter()
        .filter(move |p| p.owner == owner && p.former.is_empty())
}

fn by_rate(loads: &KeyLoads) -> impl Fn(&&Piece, &&Piece) -> std::cmp::Ordering + '_ {
    |a, b| loads.rate(a.range).total_cmp(&loads.rate(b.range))
}

/// Returns the front part of `range` with about `wanted` requests a second; none if a single key
/// has more than that and others besides.
fn part(loads: &KeyLoads, range: KeyRange, wanted: f64) -> Option<KeyRange> {
    if loads.rate(range) <= wanted {
        return Some(range);
    }
    let end = loads.key_at(range, wanted);
    let (front, _) = range.split_at(end)?;
    (loads.rate(front) > wanted * LEAST_PART).then_some(front)
}

/// Part of the wanted load that a move must bring to be worth its cost.
const LEAST_PART: f64 = 0.2;

/// Cuts `range` into `parts` of about equal load, or of equal size if it has none.
fn equal_parts(loads: &KeyLoads, range: KeyRange, parts: usize) -> Vec<KeyRange> {
    let rate = loads.rate(range);
    let mut rest = range;
    let mut cut = Vec::with_capacity(parts);
    for i in 1..parts {
        let left = (parts - i + 1) as f64;
        let key = if rate > 0.0 {
            loads.key_at(rest, loads.rate(rest) / left)
        } else {
            rest.first
                .saturating_add((f64::from(rest.keys()) / left) as u16)
        };
        let Some((front, back)) = rest.split_at(key) else {
            continue;
        };
        cut.push(front);
        rest = back;
    }
    cut.push(rest);
    cut
}
