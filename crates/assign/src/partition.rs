//! Partitions of an entry's keys.
//!
//! An entry with many upstreams is divided into partitions, each with its own row, fencing tokens
//! and granting host, so that rows, plans and renewals stay as small as those of an entry with a
//! few hundred upstreams. The number of partitions is fixed when the keys are first assigned, and
//! is stored in each partition's row.

use std::fmt;
use std::str::FromStr;

use ids::{EntryId, InvalidName, KeyHash, UpstreamId};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::range::{KeyRange, LAST_KEY};

/// Usual number of upstreams per partition: few enough for a row of 64 KiB with four ranges each
/// and for one host to renew, and enough for a stretch of hot keys to find owners with spare
/// capacity within its partition.
pub const UPSTREAMS_PER_PARTITION: usize = 512;
/// Most partitions: each must have more keys than upstreams.
const MAX_PARTITIONS: u16 = 64;
/// Separates the entry and the number in a partition's name; names of entries don't contain it.
const SEPARATOR: char = ':';

/// One of the equal partitions of an entry's keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Partition {
    /// Number of partitions before it.
    pub index: u16,
    /// Number of all partitions.
    pub count: u16,
}

impl Default for Partition {
    fn default() -> Self {
        Self::WHOLE
    }
}

impl Partition {
    /// All keys of an entry.
    pub const WHOLE: Self = Self { index: 0, count: 1 };

    /// Returns the first partition of an entry with this number of upstreams, with about `each` of
    /// them per partition.
    #[must_use]
    pub fn first_for(upstreams: usize, each: usize) -> Self {
        let count = (upstreams + each / 2) / each.max(1);
        Self {
            index: 0,
            count: u16::try_from(count).map_or(MAX_PARTITIONS, |c| c.clamp(1, MAX_PARTITIONS)),
        }
    }

    /// Returns whether the index and the number of partitions are valid.
    #[must_use]
    pub const fn is_valid(self) -> bool {
        self.index < self.count && self.count <= MAX_PARTITIONS
    }

    /// Returns all partitions of the entry.
    pub fn all(self) -> impl Iterator<Item = Self> {
        let count = self.count;
        (0..count).map(move |index| Self { index, count })
    }

    /// Returns the partition among `count` that contains `key`.
    ///
    /// # Panics
    ///
    /// Panics if `count` is zero.
    #[must_use]
    pub fn of_key(key: u16, count: u16) -> Self {
        let index = u32::from(key) * u32::from(count) / KEY_COUNT;
        let partition = Self {
            index: index as u16,
            count,
        };
        if partition.keys().contains(key) {
            return partition;
        }
        // Partitions may differ in size; in that case the next one starts with this key.
        Self {
            index: partition.index + 1,
            count,
        }
    }

    /// Returns the keys of the partition.
    #[must_use]
    pub const fn keys(self) -> KeyRange {
        let first = KEY_COUNT * self.index as u32 / self.count as u32;
        let next = KEY_COUNT * (self.index as u32 + 1) / self.count as u32;
        KeyRange {
            first: first as u16,
            last: (next - 1) as u16,
        }
    }

    /// Returns whether `upstream` is assigned to this partition.
    ///
    /// An upstream belongs to one partition, so that its whole load is known where its keys are
    /// planned.
    #[must_use]
    pub fn includes(self, upstream: &UpstreamId) -> bool {
        let hash = KeyHash::of(upstream.as_str().as_bytes()).0;
        self.count == 1 || hash % u64::from(self.count) == u64::from(self.index)
    }

    /// Retains those of an entry's upstreams that may own keys of this partition: the ones assigned
    /// to it, or all if there are none.
    pub fn retain_eligible<T>(self, upstreams: &mut Vec<T>, id: impl Fn(&T) -> &UpstreamId) {
        if upstreams.iter().any(|u| self.includes(id(u))) {
            upstreams.retain(|u| self.includes(id(u)));
        }
    }
}

/// Number of all keys.
const KEY_COUNT: u32 = LAST_KEY as u32 + 1;

/// Identifies a partition of an entry's keys.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PartitionId {
    /// The entry.
    pub entry: EntryId,
    /// Index of the partition.
    pub index: u16,
}

impl PartitionId {
    /// Returns the id of the first partition of an entry, which every entry has.
    #[must_use]
    pub const fn first(entry: EntryId) -> Self {
        Self { entry, index: 0 }
    }
}

impl fmt::Display for PartitionId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.index {
            0 => self.entry.fmt(f),
            index => write!(f, "{}{SEPARATOR}{index}", self.entry),
        }
    }
}

/// Error for a text that is not a partition id.
#[derive(Debug, Error)]
pub enum InvalidPartition {
    /// The entry's name is not valid.
    #[error("partition id: {0}")]
    Entry(#[from] InvalidName),
    /// The index is not a number.
    #[error("partition id: no number in {0:?}")]
    Index(String),
}

impl FromStr for PartitionId {
    type Err = InvalidPartition;

    fn from_str(text: &str) -> Result<Self, InvalidPartition> {
        let Some((entry, index)) = text.split_once(SEPARATOR) else {
            return Ok(Self::first(EntryId::new(text)?));
        };
        let index = index
            .parse()
            .map_err(|_not_a_number| InvalidPartition::Index(text.to_owned()))?;
        Ok(Self {
            entry: EntryId::new(entry)?,
            index,
        })
    }
}
