//! Evens out loads: who gives keys away, how many, and to whom.

use std::cmp::Ordering;

use ids::UpstreamId;

use crate::levels::{Level, fair_level, levels};
use crate::loads::KeyLoads;
use crate::plan::{Move, Planner, UpstreamView};
use crate::range::KeyRange;
use crate::row::{EntryRow, Piece};

/// Part of its own load that an upstream with a hot key must be able to give away beside it.
const WORTH_MOVING: f64 = 0.04;
/// Level at a faster upstream, as a part of the present one, at which a single hot key moves: its
/// requests wait about a service time for it.
const MUCH_FASTER: f64 = 0.75;
/// Part of the wanted load that a move must bring to be worth its cost.
const LEAST_PART: f64 = 0.2;

/// One plan in the making: each move counts for the next ones.
#[derive(Debug)]
pub(crate) struct Balance<'a> {
    planner: &'a Planner,
    /// The row as it will be.
    row: EntryRow,
    loads: &'a KeyLoads,
    levels: Vec<Level<'a>>,
    /// Upstreams that have nothing to give that anybody could take.
    stuck: Vec<bool>,
    /// The level that all would have if requests were spread by speed.
    fair: f64,
    /// How many pieces may be added to the row.
    room: usize,
}

impl<'a> Balance<'a> {
    pub(crate) fn new(
        planner: &'a Planner,
        row: &EntryRow,
        loads: &'a KeyLoads,
        ups: &'a [UpstreamView],
    ) -> Self {
        let levels = levels(row, loads, ups);
        Self {
            planner,
            row: row.clone(),
            loads,
            stuck: vec![false; levels.len()],
            fair: fair_level(&levels),
            levels,
            room: planner.room(row, ups),
        }
    }

    /// Plans the next move.
    pub(crate) fn next(&mut self) -> Option<Move> {
        self.next_surplus().or_else(|| self.next_by_level())
    }

    /// Plans to move the quietest piece of an upstream that has more of them than it should, to the lowest one.
    fn next_surplus(&mut self) -> Option<Move> {
        let most = |i: usize| self.levels[i].view.most_pieces;
        let all = 0..self.levels.len();
        let mut givers = all
            .clone()
            .filter(|&i| most(i).is_some_and(|most| self.pieces(i).count() > most));
        let giver = givers.next()?;
        let takers = all.filter(|&i| most(i).is_none());
        let low = takers.min_by(|&a, &b| self.levels[a].is().total_cmp(&self.levels[b].is()))?;
        let quietest = self.pieces(giver).min_by(by_rate(self.loads))?;
        let range = quietest.range;
        Some(self.give(range, giver, low))
    }

    /// Plans a move from the highest upstream that has something to give to the lowest.
    fn next_by_level(&mut self) -> Option<Move> {
        loop {
            let by_level =
                |&a: &usize, &b: &usize| self.levels[a].is().total_cmp(&self.levels[b].is());
            let by_need = |a: &usize, b: &usize| {
                let keys = self.levels[*a].has_keys.cmp(&self.levels[*b].has_keys);
                keys.then(by_level(a, b))
            };
            let low = (0..self.levels.len()).min_by(by_need)?;
            let givers = (0..self.levels.len()).filter(|&i| !self.stuck[i]);
            let high = givers.max_by(by_level)?;
            if high == low || !self.is_due(high, low) {
                return None;
            }
            match self.relieve(high, low) {
                Some((range, to)) => return Some(self.give(range, high, to)),
                None => self.stuck[high] = true,
            }
        }
    }

    fn is_due(&self, high: usize, low: usize) -> bool {
        let (high, low) = (&self.levels[high], &self.levels[low]);
        let is_busy = high.is() > self.planner.idle && high.is() > self.fair * self.planner.trigger;
        // An upstream without keys would never show what it can do.
        let is_starved = !low.has_keys && high.rate > 0.0;
        is_busy || is_starved
    }

    fn give(&mut self, range: KeyRange, from: usize, to: usize) -> Move {
        let rate = self.loads.rate(range);
        self.levels[from].rate -= rate;
        self.levels[to].rate += rate;
        self.levels[to].has_keys = true;
        let planned = Move {
            range,
            from: self.levels[from].view.id.clone(),
            to: self.levels[to].view.id.clone(),
        };
        let pieces = self.row.pieces.len();
        let fence = self.row.fence;
        self.row.give(range, &planned.from, &planned.to, fence);
        self.room = self.room.saturating_sub(self.row.pieces.len() - pieces);
        planned
    }

    /// Finds keys that `high` should give away, and to whom.
    fn relieve(&self, high: usize, low: usize) -> Option<(KeyRange, usize)> {
        let giver = &self.levels[high];
        let excess = -giver.room(self.fair);
        let wanted = excess
            .max(giver.rate / 4.0)
            .min(self.levels[low].room(self.fair));
        if wanted <= 0.0 {
            return None;
        }
        let is_far_above = giver.is() > self.fair * self.planner.trigger * self.planner.trigger;
        if self.room == 0 && !is_far_above {
            return self.whole_piece(high, wanted).map(|range| (range, low));
        }
        let piece = self.pieces(high).max_by(by_rate(self.loads))?;
        let fits = |range| self.levels[low].with(self.loads.rate(range)) < giver.is();
        if let Some(range) = part(self.loads, piece.range, wanted) {
            return fits(range).then_some((range, low));
        }
        // The next key alone has more than is wanted.
        let hot = self.loads.key_at(piece.range, wanted);
        if let Some(range) = self.up_to(piece.range, hot, high, low) {
            return Some((range, low));
        }
        let rest = self.beside(high, hot);
        if let Some(range) = rest.filter(|&r| self.loads.rate(r) > giver.rate * WORTH_MOVING) {
            return fits(range).then_some((range, low));
        }
        self.faster(high, hot)
    }

    /// Finds a whole piece of `high` with at most `wanted` requests a second.
    fn whole_piece(&self, high: usize, wanted: f64) -> Option<KeyRange> {
        let fitting = self.pieces(high);
        let fitting = fitting.filter(|p| self.loads.rate(p.range) <= wanted);
        let piece = fitting.max_by(by_rate(self.loads))?;
        (self.loads.rate(piece.range) > wanted * LEAST_PART).then_some(piece.range)
    }

    /// Returns the front of `range` up to the key `hot` if `low` takes it easily: among many
    /// upstreams, each has less room than a busy key needs.
    fn up_to(&self, range: KeyRange, hot: u16, high: usize, low: usize) -> Option<KeyRange> {
        let after = hot.checked_add(1)?;
        let (front, _) = range.split_at(after)?;
        let level = self.levels[low].with(self.loads.rate(front));
        let is_easy = level < self.levels[high].is() * MUCH_FASTER
            && level < self.fair * self.planner.trigger;
        is_easy.then_some(front)
    }

    /// Returns the busiest range of `owner` beside the key `hot`: of the parts of its own piece,
    /// and of the other pieces.
    fn beside(&self, owner: usize, hot: u16) -> Option<KeyRange> {
        let parts = self.pieces(owner).flat_map(|piece| {
            if !piece.range.contains(hot) {
                return vec![piece.range];
            }
            let left = piece.range.split_at(hot).map(|(left, _)| left);
            let after = hot.checked_add(1).and_then(|key| piece.range.split_at(key));
            left.into_iter()
                .chain(after.map(|(_, right)| right))
                .collect()
        });
        let rate = |range: &KeyRange| self.loads.rate(*range);
        parts.max_by(|a, b| rate(a).total_cmp(&rate(b)))
    }

    /// Finds an upstream that works on the key `hot` much better than `high`, which has nothing
    /// else.
    fn faster(&self, high: usize, hot: u16) -> Option<(KeyRange, usize)> {
        let range = KeyRange {
            first: hot,
            last: hot,
        };
        let rate = self.loads.rate(range);
        let with = |&i: &usize| self.levels[i].with(rate);
        let others = (0..self.levels.len()).filter(|&i| i != high);
        let best = others.min_by(|a, b| with(a).total_cmp(&with(b)))?;
        (with(&best) < self.levels[high].is() * MUCH_FASTER).then_some((range, best))
    }

    /// Returns the pieces of an upstream that are not moving.
    fn pieces(&self, owner: usize) -> impl Iterator<Item = &Piece> {
        let owner: &UpstreamId = &self.levels[owner].view.id;
        let is_settled = move |p: &&Piece| p.owner == *owner && p.former.is_empty();
        self.row.pieces.iter().filter(is_settled)
    }
}

fn by_rate(loads: &KeyLoads) -> impl Fn(&&Piece, &&Piece) -> Ordering + '_ {
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
