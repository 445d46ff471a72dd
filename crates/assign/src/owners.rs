//! Look-ups of a key's owner, for the path of requests.

use std::sync::Arc;

use ids::{Timestamp, UpstreamId};

use crate::part::Part;
use crate::row::{EntryRow, Piece};
use crate::unserved::Unserved;

/// The owners of an entry's keys.
#[derive(Debug, Clone, Default)]
pub struct EntryOwners {
    /// All parts in order; none for those whose row is not known.
    parts: Vec<Option<Arc<Owners>>>,
}

impl EntryOwners {
    /// Takes the owners of `part`.
    ///
    /// Those of another number of parts are forgotten.
    pub fn put(&mut self, part: Part, owners: Arc<Owners>) {
        if self.parts.len() != usize::from(part.count) {
            self.parts = vec![None; usize::from(part.count)];
        }
        if let Some(known) = self.parts.get_mut(usize::from(part.index)) {
            *known = Some(owners);
        }
    }

    /// Returns the piece that holds `key`.
    #[must_use]
    pub fn piece(&self, key: u16) -> Option<&OwnedPiece> {
        let count = u16::try_from(self.parts.len()).ok().filter(|&c| c > 0)?;
        let part = Part::of_key(key, count);
        let owners = self.parts.get(usize::from(part.index))?.as_ref()?;
        owners.piece(key)
    }

    /// Returns the owner of `key`.
    #[must_use]
    pub fn owner(&self, key: u16) -> Option<&UpstreamId> {
        self.piece(key).map(|p| &p.owner)
    }
}

/// The owners of the keys of one part, as its row has them.
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
}
