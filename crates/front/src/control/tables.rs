//! The tables of the store that each host follows, and the keys of their rows.

use std::fmt;

use assign::PartitionId;
use assign::partition::InvalidPartition;
use ids::StoreEra;
use platform::RowKey;

use crate::ports::SHARED;

/// Prefix of the keys of partitions' rows.
pub(crate) const PARTITION_PREFIX: &str = "keys.";
/// Prefix of the keys of hosts' rows.
pub(crate) const HOST_PREFIX: &str = "host.";

/// The tables that each host follows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Table {
    /// The operator's configuration.
    Configuration,
    /// The upstreams' registrations.
    Upstreams,
    /// The rows that the hosts share: owners of keys, and the hosts themselves.
    Shared,
}

impl Table {
    /// All tables.
    pub const ALL: [Self; 3] = [Self::Configuration, Self::Upstreams, Self::Shared];

    /// Returns the table's name.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Configuration => crate::ports::CONFIGURATION,
            Self::Upstreams => crate::ports::UPSTREAMS,
            Self::Shared => crate::ports::SHARED,
        }
    }

    /// Returns the table's position in [`Self::ALL`].
    #[must_use]
    pub const fn index(self) -> usize {
        self as usize
    }
}

/// Separates a partition and the store's era in the key of a row; names of partitions don't contain
/// it.
const ERA_SEPARATOR: char = '@';

/// Key of a partition's row, within its table.
///
/// Each era of the store has a row of its own. A write that was decided on in an earlier era, and
/// arrives after the store has returned from a copy, could otherwise find by accident the revision
/// that it expects.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PartitionKey {
    /// The partition.
    pub partition: PartitionId,
    /// The era.
    pub era: StoreEra,
}

impl PartitionKey {
    /// Parses a key.
    ///
    /// # Errors
    ///
    /// Fails if the key is not that of a partition's row.
    pub fn parse(key: &str) -> Result<Self, InvalidPartition> {
        let invalid = || InvalidPartition::Index(key.to_owned());
        let name = key.strip_prefix(PARTITION_PREFIX).ok_or_else(invalid)?;
        let (partition, era) = match name.split_once(ERA_SEPARATOR) {
            None => (name, StoreEra::default()),
            Some((partition, era)) => {
                let era = era.parse().map_err(|_not_a_number| invalid())?;
                (partition, StoreEra(era))
            }
        };
        Ok(Self {
            partition: partition.parse()?,
            era,
        })
    }

    /// Returns the key with its table.
    #[must_use]
    pub fn row_key(&self) -> RowKey {
        RowKey(format!("{SHARED}/{self}").into())
    }
}

impl fmt::Display for PartitionKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{PARTITION_PREFIX}{}", self.partition)?;
        if self.era != StoreEra::default() {
            write!(f, "{ERA_SEPARATOR}{}", self.era)?;
        }
        Ok(())
    }
}
