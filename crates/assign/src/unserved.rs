//! Which keys nobody serves for the moment, and for how long.
//!
//! The row names the owner of keys that move before that one may serve them. The granting host knows
//! when it will, and tells the others, so that requests on these keys wait for their owner or are told
//! when to come back, and are not sent to an upstream that has to turn them away.

use std::time::Duration;

use ids::{Revision, Timestamp};
use indexmap::IndexMap;

use crate::range::Fence;
use crate::row::{EntryRow, Piece};

/// Time for which keys of a new piece count as unserved while the granting host has not said anything
/// of it: most of the time that a planned move takes.
const UNTOLD: Duration = Duration::from_millis(200);

/// What the granting host says of the pieces of its row whose owner can't serve them yet.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Moving {
    /// Revision of the row.
    pub revision: Revision,
    /// First key and fence of each such piece, and the time until its owner may serve it.
    pub pieces: Vec<(u16, Fence, Duration)>,
}

/// What a host knows of keys that nobody serves.
#[derive(Debug, Clone, Default)]
pub struct Unserved {
    /// Revision of the row that was last told of.
    told: Revision,
    pieces: IndexMap<(u16, Fence), Timestamp>,
    /// The newest row, when it was taken, and its highest fence.
    row: (Revision, Timestamp, Fence),
}

impl Unserved {
    /// Takes what the granting host says; tells whether that changes anything.
    pub fn hear(&mut self, now: Timestamp, moving: &Moving) -> bool {
        if moving.revision < self.told {
            return false;
        }
        let until = |&(first, fence, left): &(u16, Fence, Duration)| ((first, fence), now + left);
        let pieces: IndexMap<_, _> = moving.pieces.iter().map(until).collect();
        let same = self.told == moving.revision && self.pieces.keys().eq(pieces.keys());
        self.told = moving.revision;
        self.pieces = pieces;
        !same
    }

    /// Tells whether the granting host told of any piece.
    #[must_use]
    pub fn has_any(&self) -> bool {
        !self.pieces.is_empty()
    }

    /// Notes a row that was read.
    pub fn row_read(&mut self, now: Timestamp, row: &EntryRow, revision: Revision) {
        if revision > self.row.0 {
            self.row = (revision, now, row.fence);
        }
    }

    /// Returns until when nobody serves `piece` of the newest row; none if somebody does, as far as is
    /// known.
    #[must_use]
    pub fn until(&self, piece: &Piece) -> Option<Timestamp> {
        if piece.former.is_empty() {
            return None;
        }
        let (revision, taken, fence) = self.row;
        if let Some(&until) = self.pieces.get(&(piece.range.first, piece.fence)) {
            return Some(until);
        }
        let is_untold = self.told < revision && piece.fence == fence;
        is_untold.then_some(taken + UNTOLD)
    }
}
