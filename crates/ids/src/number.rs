//! Numbers that only increase.

use std::fmt;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

macro_rules! numbers {
    ($($(#[$meta:meta])* $name:ident;)*) => {$(
        $(#[$meta])*
        #[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(Serialize, Deserialize, JsonSchema)]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// Returns the next higher number.
            #[must_use]
            pub const fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }
    )*};
}

numbers! {
    /// The fencing token of an upstream: a higher one invalidates all lower ones.
    Epoch;
    /// Number of committed transactions in the table service; a row has the revision of its last
    /// write.
    ///
    /// A store may return from an older copy of itself and give out numbers again. Its revisions
    /// begin with its [`StoreEra`], so that they rise nevertheless.
    Revision;
    /// How often a store has returned from an older copy of itself.
    StoreEra;
    /// The position of a catalogue change in the total order of changes.
    Version;
    /// Distinguishes a process from earlier processes of the same name.
    Incarnation;
}

/// Bits of a revision that hold the number of transactions: four hundred of them a second reach it
/// in 87 years.
const VERSION_BITS: u32 = 40;

impl StoreEra {
    /// The highest era that fits into a revision.
    pub const MAX: Self = Self(u64::MAX >> VERSION_BITS);
}

impl Revision {
    /// Returns the revision of the transaction `version` in `era`; none if one of them is too large.
    #[must_use]
    pub const fn in_era(era: StoreEra, version: u64) -> Option<Self> {
        if era.0 > StoreEra::MAX.0 || version >> VERSION_BITS != 0 {
            return None;
        }
        Some(Self(era.0 << VERSION_BITS | version))
    }

    /// Returns the era of the store that gave out the revision.
    #[must_use]
    pub const fn era(self) -> StoreEra {
        StoreEra(self.0 >> VERSION_BITS)
    }

    /// Returns the number of the transaction within the store's history.
    #[must_use]
    pub const fn version(self) -> u64 {
        self.0 & ((1 << VERSION_BITS) - 1)
    }

    /// Returns the same version as of `era`.
    #[must_use]
    pub const fn moved_to(self, era: StoreEra) -> Self {
        Self(era.0 << VERSION_BITS | self.version())
    }
}
