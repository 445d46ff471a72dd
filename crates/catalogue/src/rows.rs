//! The rows that store the catalogue in the platform's table.
//!
//! | row | content | replicated to hosts |
//! |---|---|---|
//! | `catalogue/head` | [`Head`] | yes |
//! | `catalogue/domain/NAME`, `catalogue/entry/NAME`, `catalogue/upstream/NAME` | [`ItemRow`] | yes |
//! | `history/change/VERSION` | [`ChangeRow`] | no |
//! | `history/id/CHANGE` | [`IdRow`] | no |
//!
//! One transaction writes the items of a change, the head and both history rows. The history has
//! its own prefix because hosts do not need it and it grows without bound.

use bytes::Bytes;
use ids::{ChangeId, OperatorId, Version};
use platform::RowKey;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use smol_str::{SmolStr, format_smolstr};

use crate::item::{ContentHash, ItemKey};

/// Prefix of the rows that are replicated to hosts.
pub const CATALOGUE_PREFIX: &str = "catalogue/";
/// Key of the head row.
pub const HEAD_KEY: &str = "catalogue/head";
/// Prefix of the history rows by version.
pub const CHANGES_PREFIX: &str = "history/change/";
/// Prefix of the history rows by change id.
pub const IDS_PREFIX: &str = "history/id/";
/// Prefix of the names of objects that hold large changes.
pub const OBJECTS_PREFIX: &str = "catalogue-changes/";
/// Maximum size of a change that is stored in its row, in bytes; a larger change is stored as an
/// object.
pub const MAX_INLINE_BYTES: usize = 32 * 1024;

/// Returns the key of an item's row.
#[must_use]
pub fn item_key(key: &ItemKey) -> RowKey {
    RowKey(format_smolstr!("{CATALOGUE_PREFIX}{key}"))
}

/// Returns the key of the head row.
#[must_use]
pub fn head_key() -> RowKey {
    RowKey(SmolStr::new_static(HEAD_KEY))
}

/// Returns the key of the history row of `version`.
#[must_use]
pub fn change_key(version: Version) -> RowKey {
    RowKey(format_smolstr!("{CHANGES_PREFIX}{:020}", version.0))
}

/// Returns the key of the history row of the change with the id `id`.
#[must_use]
pub fn id_key(id: &ChangeId) -> RowKey {
    RowKey(format_smolstr!("{IDS_PREFIX}{id}"))
}

/// The newest version of the catalogue, stored in the row `catalogue/head`.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Head {
    /// Version.
    pub version: Version,
    /// Change that made this version.
    pub change: ChangeId,
    /// Operator of that change.
    pub operator: OperatorId,
    /// Time of the change by the operator's clock, in milliseconds since 1970.
    pub at_ms: u64,
    /// Digest of all item rows, by which a host checks that it has received all of them.
    pub digest: Digest,
}

/// The row of one item.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ItemRow {
    /// Version of the change that wrote the row.
    pub version: Version,
    /// Change that wrote the row.
    pub change: ChangeId,
    /// Operator of that change.
    pub operator: OperatorId,
    /// The item as JSON; `None` if that change removed it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub body: Option<Value>,
}

/// The change of one item.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ItemChange {
    /// Item.
    pub item: ItemKey,
    /// Version of the item's row before the change, if the row existed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub was: Option<Version>,
    /// The item before the change, if it was declared.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub before: Option<Value>,
    /// The item after the change, if it is declared.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub after: Option<Value>,
}

/// The items of a change, stored in its row or in an object.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ChangeBody {
    /// The items themselves.
    Inline(Vec<ItemChange>),
    /// The object that holds the items; it is stored before the row is written.
    Object {
        /// Name of the object, which ends in the hash of its content.
        name: SmolStr,
        /// Hash of its content.
        hash: ContentHash,
        /// Number of items that changed.
        items: u64,
    },
}

/// One accepted change, stored in the row `history/change/VERSION`.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ChangeRow {
    /// Version that the change made.
    pub version: Version,
    /// Change.
    pub change: ChangeId,
    /// Operator.
    pub operator: OperatorId,
    /// Time by the operator's clock, in milliseconds since 1970.
    pub at_ms: u64,
    /// Message of the operator.
    #[serde(default, skip_serializing_if = "SmolStr::is_empty")]
    pub message: SmolStr,
    /// Items that changed.
    pub body: ChangeBody,
}

/// The final state of a change, stored in the row `history/id/CHANGE`.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum IdRow {
    /// The change was accepted.
    Accepted {
        /// Version that the change made.
        version: Version,
    },
    /// The change was withdrawn while its outcome was unknown, and will never be accepted.
    Withdrawn {
        /// Operator who withdrew it.
        operator: OperatorId,
    },
}

/// Encodes the value of a row.
///
/// # Panics
///
/// Never: rows can always be serialized as JSON.
#[must_use]
pub fn encode<T: Serialize>(row: &T) -> Bytes {
    serde_json::to_vec(row)
        .expect("a row can be serialized as JSON")
        .into()
}

/// Decodes the value of a row.
///
/// # Errors
///
/// Fails if `value` is not the JSON of such a row.
pub fn decode<T: for<'de> Deserialize<'de>>(value: &[u8]) -> serde_json::Result<T> {
    serde_json::from_slice(value)
}

/// A digest of a set of item rows, which can be updated row by row in any order.
///
/// The digest is the sum of the hashes of the rows' keys and versions, modulo 2^128.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct Digest(ContentHash);

impl Default for Digest {
    fn default() -> Self {
        Self(ContentHash(0))
    }
}

impl Digest {
    /// Adds a row.
    pub fn add(&mut self, key: &ItemKey, version: Version) {
        self.0.0 = self.0.0.wrapping_add(Self::of(key, version));
    }

    /// Removes a row.
    pub fn remove(&mut self, key: &ItemKey, version: Version) {
        self.0.0 = self.0.0.wrapping_sub(Self::of(key, version));
    }

    fn of(key: &ItemKey, version: Version) -> u128 {
        ContentHash::of(format!("{key} {version}").as_bytes()).0
    }
}
