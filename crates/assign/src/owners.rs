//! Look-ups of a key's owner, for the path of requests.

use ids::UpstreamId;

use crate::row::EntryRow;

/// The owners of an entry's keys, as one row has them.
#[derive(Debug, Clone, Default)]
pub struct Owners {
    /// Last key and owner of each piece, in order.
    pieces: Vec<(u16, UpstreamId)>,
}

impl Owners {
    /// Takes the owners from `row`.
    #[must_use]
    pub fn new(row: &EntryRow) -> Self {
        let pieces = row.pieces.iter();
        Self {
            pieces: pieces.map(|p| (p.range.last, p.owner.clone())).collect(),
        }
    }

    /// Returns the owner of `key`.
    #[must_use]
    pub fn owner(&self, key: u16) -> Option<&UpstreamId> {
        let at = self.pieces.partition_point(|&(last, _)| last < key);
        self.pieces.get(at).map(|(_, owner)| owner)
    }
}
