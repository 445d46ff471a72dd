//! The tables of the store that each host follows, and the keys of their rows.

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
