//! The form of a row in the store.
//!
//! Each upstream is listed once and referred to by its index in that list, and of each range only
//! the last key is written because the next range starts after it: 15 to 20 bytes a range instead
//! of 60.

use ids::UpstreamId;
use indexmap::IndexSet;
use serde::{Deserialize, Serialize};

use crate::part::Part;
use crate::range::{Fence, KeyRange};
use crate::row::{Earlier, EntryRow, Piece, RowError, Run};

/// A row in its stored form.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
pub(crate) struct PackedRow {
    granter: Run,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    earlier: Vec<Earlier>,
    fence: Fence,
    /// Omitted if the entry has only one partition.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    part: Option<Part>,
    /// Owners and previous owners.
    upstreams: IndexSet<UpstreamId>,
    pieces: Vec<PackedRange>,
}

/// Last key, owner, fencing token and previous owners of a range.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
struct PackedRange(u16, usize, Fence, Vec<usize>);

impl PackedRow {
    pub(crate) fn new(row: &EntryRow) -> Self {
        let mut upstreams = IndexSet::new();
        let mut index = |up: &UpstreamId| upstreams.insert_full(up.clone()).0;
        let pieces = row.pieces.iter().map(|p| {
            let owner = index(&p.owner);
            let former = p.former.iter().map(&mut index).collect();
            PackedRange(p.range.last, owner, p.fence, former)
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

    /// Returns the row. Checks only the partition, the upstreams and that ranges do not start after
    /// the last key; [`EntryRow::check`] checks the rest.
    pub(crate) fn unpack(self) -> Result<EntryRow, RowError> {
        let upstream = |index: usize| {
            let known = self.upstreams.get_index(index).cloned();
            known.ok_or(RowError::Upstream { place: index })
        };
        let part = self.part.unwrap_or_default();
        if !part.is_valid() {
            return Err(RowError::Part(part));
        }
        let mut at = u32::from(part.keys().first);
        let mut pieces = Vec::with_capacity(self.pieces.len());
        for PackedRange(last, owner, fence, former) in self.pieces {
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
