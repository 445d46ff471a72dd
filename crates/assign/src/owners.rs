//! Look-ups of a key's owner, for the path of requests.

use ids::{Timestamp, UpstreamId};

use crate::row::{EntryRow, Piece};
use crate::unserved::Unserved;

/// The owners of an entry's keys, as one row has them.
#[derive(Debug, Clone, Default)]
pub struct Owners {
    /// All pieces, in order.
    pieces: Vec<OwnedPiece>,
}

/// Keys and their owner.
#[derive(Debug, Clone)]
pub struct OwnedPiece {
    last: u16,
    /// The owner.
    pub owner: UpstreamId,
    /// Until when nobody serves the keys, as far as is known.
    pub unserved_until: Option<Timestamp>,
}

impl Owners {
    /// Takes the owners from `row`, and from `unserved` which keys nobody serves.
    #[must_use]
    pub fn new(row: &EntryRow, unserved: &Unserved) -> Self {
        let piece = |p: &Piece| OwnedPiece {
            last: p.range.last,
            owner: p.owner.clone(),
            unserved_until: unserved.until(p),
        };
        Self {
            pieces: row.pieces.iter().map(piece).collect(),
        }
    }

    /// Returns the piece that holds `key`.
    #[must_use]
    pub fn piece(&self, key: u16) -> Option<&OwnedPiece> {
        let at = self.pieces.partition_point(|p| p.last < key);
        self.pieces.get(at)
    }

    /// Returns the owner of `key`.
    #[must_use]
    pub fn owner(&self, key: u16) -> Option<&UpstreamId> {
        self.piece(key).map(|p| &p.owner)
    }
}
