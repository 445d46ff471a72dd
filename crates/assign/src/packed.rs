//! The form of a row in the store.
//!
//! Each upstream is listed once and referred to by its index in that list, and of each range only
//! the last key is written because the next range starts after it: 15 to 20 bytes a range instead
//! of 60.

use ids::UpstreamId;
use indexmap::IndexSet;
use serde::{Deserialize, Serialize};

use crate::partition::Partition;
use crate::range::{FencingToken, KeyRange};
use crate::row::{HostIncarnation, OwnedRange, PartitionRow, PreviousGranter, Recovery, RowError};

/// A row in its stored form.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
pub(crate) struct PackedRow {
    granter: HostIncarnation,
    #[serde(rename = "earlier", default, skip_serializing_if = "Vec::is_empty")]
    previous_granters: Vec<PreviousGranter>,
    #[serde(rename = "fence")]
    highest_token: FencingToken,
    /// Omitted if the entry has only one partition.
    #[serde(rename = "part", default, skip_serializing_if = "Option::is_none")]
    partition: Option<Partition>,
    /// Owners and previous owners.
    upstreams: IndexSet<UpstreamId>,
    #[serde(rename = "pieces")]
    ranges: Vec<PackedRange>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    recovery: Option<Recovery>,
}

/// Last key, owner, fencing token and previous owners of a range.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
struct PackedRange(u16, usize, FencingToken, Vec<usize>);

impl PackedRow {
    pub(crate) fn new(row: &PartitionRow) -> Self {
        let mut upstreams = IndexSet::new();
        let mut index = |up: &UpstreamId| upstreams.insert_full(up.clone()).0;
        let ranges = row.ranges.iter().map(|p| {
            let owner = index(&p.owner);
            let previous_owners = p.previous_owners.iter().map(&mut index).collect();
            PackedRange(p.range.last, owner, p.token, previous_owners)
        });
        let ranges = ranges.collect();
        Self {
            granter: row.granter.clone(),
            previous_granters: row.previous_granters.clone(),
            highest_token: row.highest_token,
            partition: (row.partition != Partition::WHOLE).then_some(row.partition),
            upstreams,
            ranges,
            recovery: row.recovery,
        }
    }

    /// Returns the row. Checks only the partition, the upstreams and that ranges do not start after
    /// the last key; [`PartitionRow::check`] checks the rest.
    pub(crate) fn unpack(self) -> Result<PartitionRow, RowError> {
        let upstream = |index: usize| {
            let known = self.upstreams.get_index(index).cloned();
            known.ok_or(RowError::Upstream { index })
        };
        let partition = self.partition.unwrap_or_default();
        if !partition.is_valid() {
            return Err(RowError::Partition(partition));
        }
        let mut next_key = u32::from(partition.keys().first);
        let mut ranges = Vec::with_capacity(self.ranges.len());
        for PackedRange(last, owner, token, previous_owners) in self.ranges {
            let first = u16::try_from(next_key)
                .map_err(|_above_last_key| RowError::Gap { at: next_key })?;
            next_key = u32::from(last) + 1;
            ranges.push(OwnedRange {
                range: KeyRange { first, last },
                owner: upstream(owner)?,
                token,
                previous_owners: previous_owners
                    .into_iter()
                    .map(upstream)
                    .collect::<Result<_, _>>()?,
            });
        }
        Ok(PartitionRow {
            granter: self.granter,
            previous_granters: self.previous_granters,
            highest_token: self.highest_token,
            partition,
            ranges,
            recovery: self.recovery,
        })
    }
}
