//! The row of a partition of an entry's keys in the platform's store.

use ids::{HostId, Incarnation, Revision, StoreEra, UpstreamId};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::packed::PackedRow;
use crate::partition::Partition;
use crate::range::{FencingToken, KeyRange};

/// One incarnation of a host.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct HostIncarnation {
    /// The host.
    pub host: HostId,
    /// Its incarnation.
    pub incarnation: Incarnation,
}

/// A host incarnation that granted before and may still do so, as it may not have read that it was
/// replaced.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct PreviousGranter {
    /// The host incarnation.
    #[serde(flatten)]
    pub granter: HostIncarnation,
    /// Revision of the last row by which it granted: an incarnation of its host that was announced
    /// later is another one.
    #[serde(rename = "last")]
    pub last_revision: Revision,
    /// A time of the store's clock, in milliseconds, by which the granter had been replaced, once a
    /// later granting host has read one. With it, hosts that have just started need not wait again
    /// for a granter that was replaced long ago.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub replaced_by_ms: Option<u64>,
}

/// How far a row has been recovered since the store returned from a copy.
///
/// The row was made of what its writer knew of an earlier era, and the store may have lost what other
/// hosts wrote then. Until no grant of that era can be valid, the row's fencing tokens stay those of
/// that era and no keys move.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Recovery {
    /// The granting host renews the grants of the earlier era: no other host can have given the keys
    /// to other owners without fencing them.
    Renews,
    /// Nothing is granted: the keys may have other owners than the row says.
    Waits,
}

impl PreviousGranter {
    /// Returns whether both are the same host incarnation with the same last row.
    #[must_use]
    pub fn is_same(&self, other: &Self) -> bool {
        self.granter == other.granter && self.last_revision == other.last_revision
    }
}

/// A range of keys and its owner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OwnedRange {
    /// The keys.
    pub range: KeyRange,
    /// The upstream that may run requests on them, once no previous owner can.
    pub owner: UpstreamId,
    /// Fencing token of its grants.
    pub token: FencingToken,
    /// Previous owners that may still hold some of the keys.
    pub previous_owners: Vec<UpstreamId>,
}

/// The stored row of one partition of the keys of a sharded entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PartitionRow {
    /// The only host that grants, renews and releases.
    pub granter: HostIncarnation,
    /// Previous granters that are not known to have ended or stopped.
    pub previous_granters: Vec<PreviousGranter>,
    /// The highest fencing token issued.
    pub highest_token: FencingToken,
    /// The partition that the row describes.
    pub partition: Partition,
    /// All keys of the partition, in order and without gaps.
    pub ranges: Vec<OwnedRange>,
    /// Set until grants of an earlier era of the store can't be valid any more.
    pub recovery: Option<Recovery>,
}

/// Error for a row that does not decode or is inconsistent.
#[derive(Debug, Error)]
pub enum RowError {
    /// The row is not JSON of the expected form.
    #[error("decode ownership row: {0}")]
    Json(#[from] serde_json::Error),
    /// A range refers to an upstream that is not listed.
    #[error("ownership row: no upstream {index}")]
    Upstream {
        /// Index of that upstream.
        index: usize,
    },
    /// The partition does not exist.
    #[error("ownership row: invalid partition {} of {}", .0.index, .0.count)]
    Partition(Partition),
    /// The ranges leave a gap, overlap or end early.
    #[error("ownership row: gap or overlap of ranges at key {at}")]
    Gap {
        /// The key at which the next range should start.
        at: u32,
    },
    /// A range has a fencing token that was never issued.
    #[error(
        "ownership row: fencing token {token} of {range} is above the row's highest token {highest}"
    )]
    Token {
        /// The keys.
        range: KeyRange,
        /// The range's token.
        token: FencingToken,
        /// The row's highest token.
        highest: FencingToken,
    },
}

impl PartitionRow {
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
        if !self.partition.is_valid() {
            return Err(RowError::Partition(self.partition));
        }
        let keys = self.partition.keys();
        let mut next_key = u32::from(keys.first);
        for owned in &self.ranges {
            if u32::from(owned.range.first) != next_key || owned.range.last < owned.range.first {
                return Err(RowError::Gap { at: next_key });
            }
            if owned.token > self.highest_token {
                return Err(RowError::Token {
                    range: owned.range,
                    token: owned.token,
                    highest: self.highest_token,
                });
            }
            next_key = u32::from(owned.range.last) + 1;
        }
        if next_key != u32::from(keys.last) + 1 {
            return Err(RowError::Gap { at: next_key });
        }
        Ok(())
    }

    /// Divides the keys of `partition` evenly among `owners`, in their order; owners in excess of
    /// the number of keys get none.
    ///
    /// # Panics
    ///
    /// Panics if there are no owners.
    #[must_use]
    pub fn split_evenly(
        granter: HostIncarnation,
        partition: Partition,
        owners: &[UpstreamId],
    ) -> Self {
        assert!(!owners.is_empty(), "keys need an owner");
        let range = partition.keys();
        let owners = &owners[..owners.len().min(range.key_count() as usize)];
        let count = owners.len() as u64;
        let token = FencingToken(1);
        let key = |i: u64| u64::from(range.first) + u64::from(range.key_count()) * i / count;
        let owned = |(i, owner): (usize, &UpstreamId)| {
            let i = i as u64;
            OwnedRange {
                range: KeyRange {
                    first: key(i) as u16,
                    last: (key(i + 1) - 1) as u16,
                },
                owner: owner.clone(),
                token,
                previous_owners: Vec::new(),
            }
        };
        Self {
            granter,
            previous_granters: Vec::new(),
            highest_token: token,
            partition,
            ranges: owners.iter().enumerate().map(owned).collect(),
            recovery: None,
        }
    }

    /// Issues a fencing token for the ranges for whose indices `selects` returns true.
    pub fn raise_tokens(&mut self, selects: impl Fn(usize) -> bool) {
        self.highest_token = self.highest_token.next();
        let ranges = self.ranges.iter_mut().enumerate();
        for (_, owned) in ranges.filter(|(i, _)| selects(*i)) {
            owned.token = self.highest_token;
        }
    }

    /// Issues a fencing token of `era` for all ranges. It is higher than all tokens of earlier eras,
    /// including those of rows that the store has lost.
    pub fn renew_tokens(&mut self, era: StoreEra) {
        let token = self.highest_token.next_in(era);
        self.highest_token = token;
        self.ranges.iter_mut().for_each(|owned| owned.token = token);
    }

    /// Merges adjacent ranges that have the same owner and no previous owners.
    ///
    /// The merged range has the higher of the two fencing tokens: no other upstream was granted its
    /// keys under that token or a higher one.
    pub fn merge_adjacent(&mut self) {
        self.ranges.dedup_by(|next, owned| {
            let is_settled = owned.previous_owners.is_empty() && next.previous_owners.is_empty();
            if owned.owner != next.owner || !is_settled {
                return false;
            }
            owned.range.last = next.range.last;
            owned.token = owned.token.max(next.token);
            true
        });
    }

    /// Reassigns the keys of `range` that `from` owns to `to`, under `token`.
    ///
    /// Ranges are split at the ends of `range`; the present owner becomes a previous owner.
    pub fn reassign(
        &mut self,
        range: KeyRange,
        from: &UpstreamId,
        to: &UpstreamId,
        token: FencingToken,
    ) {
        self.highest_token = self.highest_token.max(token);
        let mut ranges = Vec::with_capacity(self.ranges.len() + 2);
        for owned in std::mem::take(&mut self.ranges) {
            if owned.owner != *from || !owned.range.overlaps(range) {
                ranges.push(owned);
                continue;
            }
            split_out(
                owned,
                range,
                |mut inside| {
                    if !inside.previous_owners.contains(&inside.owner) {
                        inside.previous_owners.push(inside.owner);
                    }
                    inside.previous_owners.retain(|up| up != to);
                    inside.owner = to.clone();
                    inside.token = token;
                    inside
                },
                &mut ranges,
            );
        }
        self.ranges = ranges;
    }
}

/// Splits `owned` at the ends of `range`, and applies `change` to the range inside.
fn split_out(
    owned: OwnedRange,
    range: KeyRange,
    change: impl FnOnce(OwnedRange) -> OwnedRange,
    out: &mut Vec<OwnedRange>,
) {
    let mut inside = owned.clone();
    if let Some((left, right)) = owned.range.split_at(range.first) {
        out.push(OwnedRange {
            range: left,
            ..owned.clone()
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
            out.push(OwnedRange {
                range: right,
                ..owned
            });
        }
        None => out.push(change(inside)),
    }
}
