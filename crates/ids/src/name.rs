//! Validated text names.

use std::fmt;
use std::str::FromStr;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use thiserror::Error;

/// Maximum length of a name in bytes.
pub const MAX_NAME_BYTES: usize = 96;

/// An error for a text that is not a valid name.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{value:?} is no {kind} name: 1 to {MAX_NAME_BYTES} of a-z, A-Z, 0-9, '-', '_' and '.'")]
pub struct InvalidName {
    /// Kind of name that was expected.
    pub kind: &'static str,
    /// The invalid text.
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
            /// Validates `text` and creates the name.
            ///
            /// # Errors
            ///
            /// Fails if `text` is empty, too long or contains a character not allowed in names.
            pub fn new(text: impl Into<SmolStr>) -> Result<Self, InvalidName> {
                let value = text.into();
                if is_name(&value) {
                    return Ok(Self(value));
                }
                Err(InvalidName { kind: $kind, value })
            }

            /// Returns the name as text.
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
    /// Name of an entry host.
    HostId, "host";
    /// Name of a failure domain.
    DomainId, "domain";
    /// Name of a region, which contains domains.
    RegionId, "region";
    /// Name of an upstream.
    UpstreamId, "upstream";
    /// Name of a catalogue entry.
    EntryId, "entry";
    /// Id of a catalogue change, chosen at random by the operator's command.
    ChangeId, "change";
    /// Name of an operator.
    OperatorId, "operator";
    /// Id of a caller's request.
    RequestId, "request";
}
