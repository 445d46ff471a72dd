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
    Revision;
    /// The position of a catalogue change in the total order of changes.
    Version;
    /// Distinguishes a process from earlier processes of the same name.
    Incarnation;
}
