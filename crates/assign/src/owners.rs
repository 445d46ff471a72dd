//! Look-up of a key's owner on the request path.

use std::sync::Arc;

use ids::{Timestamp, UpstreamId};

use crate::part::Part;
use crate::row::{EntryRow, Piece};
use crate::unserved::Unserved;

/// The owners of an entry's keys.
#[derive(Debug, Clone, Default)]
pub struct EntryOwners {
    /// All partitions in order; `None` for those whose row is not known.
    partitions: Vec<Option<Arc<Owners>>>,
}

impl EntryOwners {
    /// Sets the owners of `part`.
    ///
    /// Owners recorded for another number of partitions are dropped.
    pub fn put(&mut self, part: Part, owners: Arc<Owners>) {
        if self.partitions.len() != usize::from(part.count) {
            self.partitions = vec![None; usize::from(part.count)];
        }
        if let Some(slot) = self.partitions.get_mut(usize::from(part.index)) {
            *slot = Some(owners);
        }
    }

    /// Returns the range that contains `key`, with its owner.
    #[must_use]
    pub fn piece(&self, key: u16) -> Option<&OwnedPiece> {
        let count = u16::try_from(self.partitions.len())
            .ok()
            .filter(|&c| c > 0)?;
        let part = Part::of_key(key, count);
        let owners = self.partitions.get(usize::from(part.index))?.as_ref()?;
        owners.piece(key)
    }

    /// Returns the owner of `key`.
    #[must_use]
    pub fn owner(&self, key: u16) -> Option<&UpstreamId> {
        self.piece(key).map(|p| &p.owner)
    }
}

/// The owners of the keys of one partition, by its row.
#[derive(Debug, Clone, Default)]
pub struct Owners {
    /// All ranges, in order.
    pieces: Vec<OwnedPiece>,
}

/// A range of keys and its owner.
#[derive(Debug, Clone)]
pub struct OwnedPiece {
    last: u16,
    /// The owner.
    pub owner: UpstreamId,
    /// Until when no upstream serves the keys, as far as is known.
    pub unserved_until: Option<Timestamp>,
}

impl Owners {
    /// Combines the owners in `row` with the unserved keys in `unserved`.
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

    /// Returns the range that contains `key`, with its owner.
    #[must_use]
    pub fn piece(&self, key: u16) -> Option<&OwnedPiece> {
        let at = self.pieces.partition_point(|p| p.last < key);
        self.pieces.get(at)
    }
}
