//! The row of a partition of an entry's keys in the platform's store.

use ids::{HostId, Incarnation, Revision, UpstreamId};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::packed::PackedRow;
use crate::part::Part;
use crate::range::{Fence, KeyRange};

/// One incarnation of a host.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Run {
    /// The host.
    pub host: HostId,
    /// Its incarnation.
    pub incarnation: Incarnation,
}

/// A host incarnation that granted before and may still do so, as it may not have read that it was
/// replaced.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Earlier {
    /// The host incarnation.
    #[serde(flatten)]
    pub run: Run,
    /// Revision of the last row by which it granted: an incarnation of its host that was announced
    /// later is another one.
    pub last: Revision,
    /// A time of the store's clock, in milliseconds, by which the granter had been replaced, once a
    /// later granting host has read one. With it, hosts that have just started need not wait again
    /// for a granter that was replaced long ago.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub replaced_by_ms: Option<u64>,
}

impl Earlier {
    /// Returns whether both are the same host incarnation with the same last row.
    #[must_use]
    pub fn is_same(&self, other: &Self) -> bool {
        self.run == other.run && self.last == other.last
    }
}

/// A range of keys and its owner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Piece {
    /// The keys.
    pub range: KeyRange,
    /// The upstream that may run requests on them, once no previous owner can.
    pub owner: UpstreamId,
    /// Fencing token of its grants.
    pub fence: Fence,
    /// Previous owners that may still hold some of the keys.
    pub former: Vec<UpstreamId>,
}

/// The stored row of one partition of the keys of a sharded entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntryRow {
    /// The only host that grants, renews and releases.
    pub granter: Run,
    /// Previous granters that are not known to have ended or stopped.
    pub earlier: Vec<Earlier>,
    /// The highest fencing token issued.
    pub fence: Fence,
    /// The partition that the row describes.
    pub part: Part,
    /// All keys of the partition, in order and without gaps.
    pub pieces: Vec<Piece>,
}

/// Error for a row that does not decode or is inconsistent.
#[derive(Debug, Error)]
pub enum RowError {
    /// The row is not JSON of the expected form.
    #[error("decode row of owners: {0}")]
    Json(#[from] serde_json::Error),
    /// A range refers to an upstream that is not listed.
    #[error("row of owners: no upstream {place}")]
    Upstream {
        /// Index of that upstream.
        place: usize,
    },
    /// The partition does not exist.
    #[error("row of owners: part {} of {}", .0.index, .0.count)]
    Part(Part),
    /// The ranges leave a gap, overlap or end early.
    #[error("row of owners: pieces don't join before key {at}")]
    Gap {
        /// The key at which the next range should start.
        at: u32,
    },
    /// A range has a fencing token that was never issued.
    #[error("row of owners: fence {fence} of {range} is above the row's {highest}")]
    Fence {
        /// The keys.
        range: KeyRange,
        /// The range's token.
        fence: Fence,
        /// The row's highest token.
        highest: Fence,
    },
}

impl EntryRow {
    /// Decodes and checks a row.
    ///
    /// # Errors
    ///
    /// Fails if the row does not decode or is inconsistent.
    pub fn decode(bytes: &[u8]) -> Result<Self, RowError> {
        let row: PackedRow = serde_json::from_slice(bytes)?;
        let row = row.unpack()?;
        row.check()?;
        Ok(row)
    }

    /// Encodes the row.
    ///
    /// # Panics
    ///
    /// Does not panic: all fields serialize.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        debug_assert!(self.check().is_ok(), "only valid rows are written");
        serde_json::to_vec(&PackedRow::new(self)).expect("all fields serialize")
    }

    /// Checks that the ranges cover each key of the partition exactly once, under tokens that were
    /// issued.
    ///
    /// # Errors
    ///
    /// Fails at the first inconsistent range.
    pub fn check(&self) -> Result<(), RowError> {
        if !self.part.is_valid() {
            return Err(RowError::Part(self.part));
        }
        let keys = self.part.keys();
        let mut next_key = u32::from(keys.first);
        for piece in &self.pieces {
            if u32::from(piece.range.first) != next_key || piece.range.last < piece.range.first {
                return Err(RowError::Gap { at: next_key });
            }
            if piece.fence > self.fence {
                return Err(RowError::Fence {
                    range: piece.range,
                    fence: piece.fence,
                    highest: self.fence,
                });
            }
            next_key = u32::from(piece.range.last) + 1;
        }
        if next_key != u32::from(keys.last) + 1 {
            return Err(RowError::Gap { at: next_key });
        }
        Ok(())
    }

    /// Divides the keys of `part` evenly among `owners`, in their order; owners in excess of the
    /// number of keys get none.
    ///
    /// # Panics
    ///
    /// Panics if there are no owners.
    #[must_use]
    pub fn even(granter: Run, part: Part, owners: &[UpstreamId]) -> Self {
        assert!(!owners.is_empty(), "keys need an owner");
        let range = part.keys();
        let owners = &owners[..owners.len().min(range.keys() as usize)];
        let count = owners.len() as u64;
        let fence = Fence(1);
        let key = |i: u64| u64::from(range.first) + u64::from(range.keys()) * i / count;
        let piece = |(i, owner): (usize, &UpstreamId)| {
            let i = i as u64;
            Piece {
                range: KeyRange {
                    first: key(i) as u16,
                    last: (key(i + 1) - 1) as u16,
                },
                owner: owner.clone(),
                fence,
                former: Vec::new(),
            }
        };
        Self {
            granter,
            earlier: Vec::new(),
            fence,
            part,
            pieces: owners.iter().enumerate().map(piece).collect(),
        }
    }

    /// Merges adjacent ranges that have the same owner and no previous owners.
    ///
    /// The merged range has the higher of the two fencing tokens: no other upstream was granted its
    /// keys under that token or a higher one.
    pub fn join_neighbours(&mut self) {
        self.pieces.dedup_by(|next, piece| {
            let is_settled = piece.former.is_empty() && next.former.is_empty();
            if piece.owner != next.owner || !is_settled {
                return false;
            }
            piece.range.last = next.range.last;
            piece.fence = piece.fence.max(next.fence);
            true
        });
    }

    /// Reassigns the keys of `range` that `from` owns to `to`, under `fence`.
    ///
    /// Ranges are split at the ends of `range`; the present owner becomes a previous owner.
    pub fn give(&mut self, range: KeyRange, from: &UpstreamId, to: &UpstreamId, fence: Fence) {
        self.fence = self.fence.max(fence);
        let mut pieces = Vec::with_capacity(self.pieces.len() + 2);
        for piece in std::mem::take(&mut self.pieces) {
            if piece.owner != *from || !piece.range.overlaps(range) {
                pieces.push(piece);
                continue;
            }
            split_out(
                piece,
                range,
                |mut inside| {
                    if !inside.former.contains(&inside.owner) {
                        inside.former.push(inside.owner);
                    }
                    inside.former.retain(|f| f != to);
                    inside.owner = to.clone();
                    inside.fence = fence;
                    inside
                },
                &mut pieces,
            );
        }
        self.pieces = pieces;
    }
}

/// Splits `piece` at the ends of `range`, and applies `change` to the range inside.
fn split_out(
    piece: Piece,
    range: KeyRange,
    change: impl FnOnce(Piece) -> Piece,
    out: &mut Vec<Piece>,
) {
    let mut inside = piece.clone();
    if let Some((left, right)) = piece.range.split_at(range.first) {
        out.push(Piece {
            range: left,
            ..piece.clone()
        });
        inside.range = right;
    }
    let after = range
        .last
        .checked_add(1)
        .and_then(|key| inside.range.split_at(key));
    match after {
        Some((left, right)) => {
            inside.range = left;
            out.push(change(inside));
            out.push(Piece {
                range: right,
                ..piece
            });
        }
        None => out.push(change(inside)),
    }
}
