//! The row of a part of an entry's keys in the platform's store.

use ids::{HostId, Incarnation, Revision, UpstreamId};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::packed::PackedRow;
use crate::part::Part;
use crate::range::{Fence, KeyRange};

/// One run of a host.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Run {
    /// The host.
    pub host: HostId,
    /// Which of its runs.
    pub incarnation: Incarnation,
}

/// A run that granted before and may still do so, as it may not know that it was replaced.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Earlier {
    /// The run.
    #[serde(flatten)]
    pub run: Run,
    /// Revision of the last row by which it granted: a run of its host that was announced later is
    /// another one.
    pub last: Revision,
    /// A time of the store's clock, in milliseconds, by which the run had been replaced, once a later
    /// granting host has read one. Hosts that start anew need not wait again for what is long over.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub replaced_by_ms: Option<u64>,
}

impl Earlier {
    /// Tells whether both mean the same run with the same last row.
    #[must_use]
    pub fn is_same(&self, other: &Self) -> bool {
        self.run == other.run && self.last == other.last
    }
}

/// A range with its owner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Piece {
    /// The keys.
    pub range: KeyRange,
    /// The upstream that may run requests on them, once the former owners don't any more.
    pub owner: UpstreamId,
    /// Fence of its grants.
    pub fence: Fence,
    /// Earlier owners that may still hold some of the keys.
    pub former: Vec<UpstreamId>,
}

/// What the store holds of one part of the keys of an entry that is divided by key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntryRow {
    /// The host that alone grants, renews and releases.
    pub granter: Run,
    /// Runs that granted before and are not known to be over.
    pub earlier: Vec<Earlier>,
    /// The highest fence given out.
    pub fence: Fence,
    /// Which part of the entry's keys it is about.
    pub part: Part,
    /// All keys of the part, in order and without gaps.
    pub pieces: Vec<Piece>,
}

/// A row that breaks its own rules.
#[derive(Debug, Error)]
pub enum RowError {
    /// It is not JSON of the right form.
    #[error("decode row of owners: {0}")]
    Json(#[from] serde_json::Error),
    /// A piece names an upstream that is not listed.
    #[error("row of owners: no upstream {place}")]
    Upstream {
        /// The place in the list that is named.
        place: usize,
    },
    /// There is no such part.
    #[error("row of owners: part {} of {}", .0.index, .0.count)]
    Part(Part),
    /// The pieces leave a gap, overlap or end early.
    #[error("row of owners: pieces don't join before key {at}")]
    Gap {
        /// The key at which they should.
        at: u32,
    },
    /// A piece has a fence that the row never gave out.
    #[error("row of owners: fence {fence} of {range} is above the row's {highest}")]
    Fence {
        /// The piece's keys.
        range: KeyRange,
        /// The piece's fence.
        fence: Fence,
        /// The row's highest fence.
        highest: Fence,
    },
}

impl EntryRow {
    /// Reads a row and checks it.
    ///
    /// # Errors
    ///
    /// Fails if the row does not decode, or breaks one of its rules.
    pub fn decode(bytes: &[u8]) -> Result<Self, RowError> {
        let row: PackedRow = serde_json::from_slice(bytes)?;
        let row = row.unpack()?;
        row.check()?;
        Ok(row)
    }

    /// Writes the row.
    ///
    /// # Panics
    ///
    /// Does not panic: all fields serialize.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        debug_assert!(self.check().is_ok(), "only valid rows are written");
        serde_json::to_vec(&PackedRow::new(self)).expect("all fields serialize")
    }

    /// Checks that the pieces cover all keys of the part once, under fences that were given out.
    ///
    /// # Errors
    ///
    /// Fails at the first piece that breaks a rule.
    pub fn check(&self) -> Result<(), RowError> {
        if !self.part.is_valid() {
            return Err(RowError::Part(self.part));
        }
        let keys = self.part.keys();
        let mut at = u32::from(keys.first);
        for piece in &self.pieces {
            if u32::from(piece.range.first) != at || piece.range.last < piece.range.first {
                return Err(RowError::Gap { at });
            }
            if piece.fence > self.fence {
                return Err(RowError::Fence {
                    range: piece.range,
                    fence: piece.fence,
                    highest: self.fence,
                });
            }
            at = u32::from(piece.range.last) + 1;
        }
        if at != u32::from(keys.last) + 1 {
            return Err(RowError::Gap { at });
        }
        Ok(())
    }

    /// Divides the keys of `part` evenly among `owners`, in their order; those beyond the number of keys get none.
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

    /// Joins pieces that lie side by side, have the same owner and no former owners.
    ///
    /// The joined piece has the higher fence of the two: nobody else was ever given its keys under
    /// that or a higher one.
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

    /// Gives the part of `range` that `from` owns to `to`, under `fence`.
    ///
    /// Pieces are split where the range cuts them; the former owner stays on record.
    pub fn give(&mut self, range: KeyRange, from: &UpstreamId, to: &UpstreamId, fence: Fence) {
        self.fence = self.fence.max(fence);
        let mut pieces = Vec::with_capacity(self.pieces.len() + 2);
        for piece in std::mem::take(&mut self.pieces) {
            if piece.owner != *from || !piece.range.overlaps(range) {
                pieces.push(piece);
                continue;
            }
            cut(
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

/// Splits `piece` at the ends of `range`, and changes the part inside.
fn cut(piece: Piece, range: KeyRange, change: impl FnOnce(Piece) -> Piece, out: &mut Vec<Piece>) {
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
