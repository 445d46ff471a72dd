//! How the catalogue stands in the platform's table.
//!
//! | row | holds | goes to hosts |
//! |---|---|---|
//! | `catalogue/head` | [`Head`] | yes |
//! | `catalogue/domain/NAME`, `catalogue/entry/NAME`, `catalogue/upstream/NAME` | [`ItemRow`] | yes |
//! | `history/change/VERSION` | [`ChangeRow`] | no |
//! | `history/id/CHANGE` | [`IdRow`] | no |
//!
//! One transaction writes the items of a change, the head and both history rows. The history has
//! a prefix of its own because hosts need none of it and it only grows.

use bytes::Bytes;
use ids::{ChangeId, OperatorId, Version};
use platform::RowKey;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use smol_str::{SmolStr, format_smolstr};

use crate::item::{ContentHash, ItemKey};

/// Prefix of the rows that go to hosts.
pub const CATALOGUE_PREFIX: &str = "catalogue/";
/// Key of the head.
pub const HEAD_KEY: &str = "catalogue/head";
/// Prefix of the changes by version.
pub const CHANGES_PREFIX: &str = "history/change/";
/// Prefix of the changes by id.
pub const IDS_PREFIX: &str = "history/id/";
/// Prefix of the names of objects that hold large changes.
pub const OBJECTS_PREFIX: &str = "catalogue-changes/";
/// The most bytes of a change that stand in its row; a larger one goes to the object store.
pub const MAX_INLINE_BYTES: usize = 32 * 1024;

/// Returns the key of an item's row.
#[must_use]
pub fn item_key(key: &ItemKey) -> RowKey {
    RowKey(format_smolstr!("{CATALOGUE_PREFIX}{key}"))
}

/// Returns the key of the head's row.
#[must_use]
pub fn head_key() -> RowKey {
    RowKey(SmolStr::new_static(HEAD_KEY))
}

/// Returns the key of the history row of `version`.
#[must_use]
pub fn change_key(version: Version) -> RowKey {
    RowKey(format_smolstr!("{CHANGES_PREFIX}{:020}", version.0))
}

/// Returns the key of the history row of the change called `id`.
#[must_use]
pub fn id_key(id: &ChangeId) -> RowKey {
    RowKey(format_smolstr!("{IDS_PREFIX}{id}"))
}

/// The newest version, in the row `catalogue/head`.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Head {
    /// Version.
    pub version: Version,
    /// Change that made it.
    pub change: ChangeId,
    /// Operator of that change.
    pub operator: OperatorId,
    /// When it was made by the operator's clock, in milliseconds since 1970.
    pub at_ms: u64,
    /// Digest of all item rows; tells a host whether it has them all.
    pub digest: Digest,
}

/// One item, in its row.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ItemRow {
    /// Version of the change that wrote the row.
    pub version: Version,
    /// That change.
    pub change: ChangeId,
    /// Operator of that change.
    pub operator: OperatorId,
    /// The item, or nothing if that change removed it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub body: Option<Value>,
}

/// One item of a change.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ItemChange {
    /// Item.
    pub item: ItemKey,
    /// Version of its row before, if it had one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub was: Option<Version>,
    /// The item before.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub before: Option<Value>,
    /// The item after.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub after: Option<Value>,
}

/// The items of a change, in its row or in an object.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ChangeBody {
    /// The items themselves.
    Inline(Vec<ItemChange>),
    /// The object that holds them; it was put before the row.
    Object {
        /// Name of the object, which ends in the hash of its content.
        name: SmolStr,
        /// Hash of its content.
        hash: ContentHash,
        /// How many items changed.
        items: u64,
    },
}

/// One accepted change, in the row `history/change/VERSION`.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ChangeRow {
    /// Version that the change made.
    pub version: Version,
    /// Change.
    pub change: ChangeId,
    /// Operator.
    pub operator: OperatorId,
    /// When, by the operator's clock, in milliseconds since 1970.
    pub at_ms: u64,
    /// What the operator said about it.
    #[serde(default, skip_serializing_if = "SmolStr::is_empty")]
    pub message: SmolStr,
    /// What changed.
    pub body: ChangeBody,
}

/// What became of a change, in the row `history/id/CHANGE`.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum IdRow {
    /// It was accepted.
    Accepted {
        /// Version that it made.
        version: Version,
    },
    /// It was withdrawn while its fate was unknown, and will never be accepted.
    Withdrawn {
        /// Operator who withdrew it.
        operator: OperatorId,
    },
}

/// Writes a row's value.
///
/// # Panics
///
/// Never: rows are plain JSON.
#[must_use]
pub fn encode<T: Serialize>(row: &T) -> Bytes {
    serde_json::to_vec(row).expect("rows are plain JSON").into()
}

/// Reads a row's value.
///
/// # Errors
///
/// Fails if `value` is no such row.
pub fn decode<T: for<'de> Deserialize<'de>>(value: &[u8]) -> serde_json::Result<T> {
    serde_json::from_slice(value)
}

/// A digest of a set of item rows, which can be kept up item by item in any order.
///
/// It is the sum of the hashes of the rows' keys and versions.
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

    /// Takes a row away.
    pub fn remove(&mut self, key: &ItemKey, version: Version) {
        self.0.0 = self.0.0.wrapping_sub(Self::of(key, version));
    }

    fn of(key: &ItemKey, version: Version) -> u128 {
        ContentHash::of(format!("{key} {version}").as_bytes()).0
    }
}
