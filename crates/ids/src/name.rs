//! Checked text names.

use std::fmt;
use std::str::FromStr;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use thiserror::Error;

/// The most bytes a name may have.
pub const MAX_NAME_BYTES: usize = 96;

/// A text that is not a valid name.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{value:?} is no {kind} name: 1 to {MAX_NAME_BYTES} of a-z, A-Z, 0-9, '-', '_' and '.'")]
pub struct InvalidName {
    /// What the name was meant for.
    pub kind: &'static str,
    /// The text that was found.
    pub value: SmolStr,
}

fn is_name(text: &str) -> bool {
    let allowed = |c: u8| c.is_ascii_alphanumeric() || matches!(c, b'-' | b'_' | b'.');
    !text.is_empty() && text.len() <= MAX_NAME_BYTES && text.bytes().all(allowed)
}

macro_rules! names {
    ($($(#[$meta:meta])* $name:ident, $kind:literal;)*) => {$(
        $(#[$meta])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(Serialize, Deserialize, JsonSchema)]
        #[serde(try_from = "SmolStr", into = "SmolStr")]
        #[schemars(with = "String", extend("pattern" = "^[A-Za-z0-9._-]{1,96}$"))]
        pub struct $name(SmolStr);

        impl $name {
            /// Checks `text` and builds the name.
            ///
            /// # Errors
            ///
            /// Fails if `text` is empty, too long or has a character that names may not have.
            pub fn new(text: impl Into<SmolStr>) -> Result<Self, InvalidName> {
                let value = text.into();
                if is_name(&value) {
                    return Ok(Self(value));
                }
                Err(InvalidName { kind: $kind, value })
            }

            /// Returns the text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl TryFrom<SmolStr> for $name {
            type Error = InvalidName;

            fn try_from(text: SmolStr) -> Result<Self, InvalidName> {
                Self::new(text)
            }
        }

        impl From<$name> for SmolStr {
            fn from(name: $name) -> Self {
                name.0
            }
        }

        impl FromStr for $name {
            type Err = InvalidName;

            fn from_str(text: &str) -> Result<Self, InvalidName> {
                Self::new(text)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    )*};
}

names! {
    /// Names an entry host.
    HostId, "host";
    /// Names a failure domain.
    DomainId, "domain";
    /// Names a region, which holds domains.
    RegionId, "region";
    /// Names an upstream.
    UpstreamId, "upstream";
    /// Names a catalogue entry.
    EntryId, "entry";
    /// Names one change of the catalogue; the operator's command draws it at random.
    ChangeId, "change";
    /// Names an operator.
    OperatorId, "operator";
    /// Names one request of a caller.
    RequestId, "request";
}
