//! Look-up of a key's owner on the request path.

use std::sync::Arc;

use ids::{Timestamp, UpstreamId};

use crate::partition::Partition;
use crate::row::{OwnedRange, PartitionRow};
use crate::unserved::UnservedKeys;

/// The owners of an entry's keys.
#[derive(Debug, Clone, Default)]
pub struct EntryOwners {
    /// All partitions in order; `None` for those whose row is not known.
    partitions: Vec<Option<Arc<PartitionOwners>>>,
}

impl EntryOwners {
    /// Sets the owners of `partition`.
    ///
    /// Owners recorded for another number of partitions are dropped.
    pub fn insert(&mut self, partition: Partition, owners: Arc<PartitionOwners>) {
        if self.partitions.len() != usize::from(partition.count) {
            self.partitions = vec![None; usize::from(partition.count)];
        }
        if let Some(slot) = self.partitions.get_mut(usize::from(partition.index)) {
            *slot = Some(owners);
        }
    }

    /// Returns the range that contains `key`, with its owner.
    #[must_use]
    pub fn range_owner(&self, key: u16) -> Option<&RangeOwner> {
        let count = u16::try_from(self.partitions.len())
            .ok()
            .filter(|&c| c > 0)?;
        let partition = Partition::of_key(key, count);
        let owners = self
            .partitions
            .get(usize::from(partition.index))?
            .as_ref()?;
        owners.range_owner(key)
    }

    /// Returns the owner of `key`.
    #[must_use]
    pub fn owner(&self, key: u16) -> Option<&UpstreamId> {
        self.range_owner(key).map(|p| &p.owner)
    }
}

/// The owners of the keys of one partition, by its row.
#[derive(Debug, Clone, Default)]
pub struct PartitionOwners {
    /// All ranges, in order.
    ranges: Vec<RangeOwner>,
}

/// A range of keys and its owner.
#[derive(Debug, Clone)]
pub struct RangeOwner {
    last: u16,
    /// The owner.
    pub owner: UpstreamId,
    /// Until when no upstream serves the keys, as far as is known.
    pub unserved_until: Option<Timestamp>,
}

impl PartitionOwners {
    /// Combines the owners in `row` with the unserved keys in `unserved`.
    #[must_use]
    pub fn new(row: &PartitionRow, unserved: &UnservedKeys) -> Self {
        let owned = |p: &OwnedRange| RangeOwner {
            last: p.range.last,
            owner: p.owner.clone(),
            unserved_until: unserved.until(p),
        };
        Self {
            ranges: row.ranges.iter().map(owned).collect(),
        }
    }

    /// Returns the range that contains `key`, with its owner.
    #[must_use]
    pub fn range_owner(&self, key: u16) -> Option<&RangeOwner> {
        let at = self.ranges.partition_point(|p| p.last < key);
        self.ranges.get(at)
    }
}
