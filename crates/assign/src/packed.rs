//! The form of a row in the store.
//!
//! Owners are listed once and named by their place in that list, and of each range only its end is
//! written, as the next one begins behind it: 15 to 20 bytes a piece in place of 60.

use ids::UpstreamId;
use indexmap::IndexSet;
use serde::{Deserialize, Serialize};

use crate::part::Part;
use crate::range::{Fence, KeyRange};
use crate::row::{Earlier, EntryRow, Piece, RowError, Run};

/// A row as it is written.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
pub(crate) struct PackedRow {
    granter: Run,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    earlier: Vec<Earlier>,
    fence: Fence,
    /// Left out if the entry has one part only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    part: Option<Part>,
    /// Owners and former owners.
    upstreams: IndexSet<UpstreamId>,
    pieces: Vec<PackedPiece>,
}

/// Last key, owner, fence and former owners of a piece.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
struct PackedPiece(u16, usize, Fence, Vec<usize>);

impl PackedRow {
    pub(crate) fn new(row: &EntryRow) -> Self {
        let mut upstreams = IndexSet::new();
        let mut place = |up: &UpstreamId| upstreams.insert_full(up.clone()).0;
        let pieces = row.pieces.iter().map(|p| {
            let owner = place(&p.owner);
            let former = p.former.iter().map(&mut place).collect();
            PackedPiece(p.range.last, owner, p.fence, former)
        });
        let pieces = pieces.collect();
        Self {
            granter: row.granter.clone(),
            earlier: row.earlier.clone(),
            fence: row.fence,
            part: (row.part != Part::WHOLE).then_some(row.part),
            upstreams,
            pieces,
        }
    }

    /// Returns the row; its rules are not checked yet, but that its pieces don't go backwards.
    pub(crate) fn unpack(self) -> Result<EntryRow, RowError> {
        let upstream = |place: usize| {
            let known = self.upstreams.get_index(place).cloned();
            known.ok_or(RowError::Upstream { place })
        };
        let part = self.part.unwrap_or_default();
        if !part.is_valid() {
            return Err(RowError::Part(part));
        }
        let mut at = u32::from(part.keys().first);
        let mut pieces = Vec::with_capacity(self.pieces.len());
        for PackedPiece(last, owner, fence, former) in self.pieces {
            let first = u16::try_from(at).map_err(|_past_the_end| RowError::Gap { at })?;
            at = u32::from(last) + 1;
            pieces.push(Piece {
                range: KeyRange { first, last },
                owner: upstream(owner)?,
                fence,
                former: former.into_iter().map(upstream).collect::<Result<_, _>>()?,
            });
        }
        Ok(EntryRow {
            granter: self.granter,
            earlier: self.earlier,
            fence: self.fence,
            part,
            pieces,
        })
    }
}
