//! Which ranges should move.
//!
//! An upstream's load is the requests a second on its keys times its own time for one of them, over
//! its slots. Whoever is well above what all would have if work were spread by speed gives part of
//! its busiest range to whoever is lowest; a range is cut where the excess is reached, so that a
//! stretch of hot keys is divided among several upstreams.

use std::collections::HashSet;

use ids::UpstreamId;

use crate::balance::Balance;
use crate::levels::levels;
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
    /// Pieces that it should own at most; none if that doesn't matter. Each is renewed by itself.
    pub most_pieces: Option<usize>,
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
    /// Pieces for each upstream from which on ranges move whole if their owner is not far above
    /// the others' level.
    ///
    /// Each piece is a renewal every 750 ms and some 20 bytes of the row, whose size the store
    /// limits; a stretch of hot keys is spread well with three.
    pub pieces_each: usize,
    /// The same for the whole row: at 21 bytes each and 15 for each upstream, 64 KiB hold these and
    /// the names of 1,100 upstreams, with a quarter to spare for ranges that are moving.
    pub pieces_all: usize,
}

impl Default for Planner {
    fn default() -> Self {
        Self {
            trigger: 1.35,
            idle: 0.4,
            moves: 0.15,
            pieces_each: 4,
            pieces_all: 1_600,
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

impl Planner {
    /// Plans moves of keys whose owner has too many, towards those that have few.
    ///
    /// Ranges that are still moving stay.
    #[must_use]
    pub fn balance(&self, row: &EntryRow, loads: &KeyLoads, ups: &[UpstreamView]) -> Vec<Move> {
        let mut pass = Balance::new(self, row, loads, ups);
        let most = (ups.len() as f64 * self.moves).max(6.0) as usize;
        std::iter::from_fn(|| pass.next()).take(most).collect()
    }

    /// Plans where the pieces of upstreams that take nothing any more should go.
    ///
    /// Each piece is cut into parts of about equal load, at most as many as there are takers, so
    /// that no taker gets all of it and a part waits for its own requests only.
    #[must_use]
    pub fn evacuate(&self, row: &EntryRow, loads: &KeyLoads, ups: &[UpstreamView]) -> Vec<Move> {
        let mut levels = levels(row, loads, ups);
        let takers: HashSet<&UpstreamId> = ups.iter().map(|u| &u.id).collect();
        let is_gone = |p: &&Piece| !takers.contains(&p.owner);
        let gone: Vec<_> = row.pieces.iter().filter(is_gone).collect();
        let parts = PARTS_OF_LOST.min(gone.len() + self.room(row, ups));
        let parts_each = (parts / gone.len().max(1)).clamp(1, levels.len().max(1));
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

    /// Returns how many pieces may be added to the row.
    pub(crate) fn room(&self, row: &EntryRow, ups: &[UpstreamView]) -> usize {
        let most = (self.pieces_each * ups.len()).min(self.pieces_all);
        most.saturating_sub(row.pieces.len())
    }
}

/// Parts into which the keys of lost upstreams are cut together: enough to spread one upstream's
/// load evenly over ten others, few enough for one row and one round of grants.
const PARTS_OF_LOST: usize = 12;

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
