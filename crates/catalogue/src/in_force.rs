//! The catalogue as one reader assembles it from table rows.

use std::collections::BTreeMap;
use std::sync::Arc;

use ids::{ChangeId, OperatorId, Revision, Version};
use platform::{Row, RowKey};
use smol_str::SmolStr;
use thiserror::Error;

use crate::declare::Catalogue;
use crate::item::{Item, ItemKey};
use crate::rows::{CATALOGUE_PREFIX, Digest, HEAD_KEY, Head, ItemRow, decode};

/// The catalogue as one reader assembles it from table rows.
///
/// Rows may be applied in any order and any number of times. The version of each row only
/// increases, and so does [`EffectiveCatalogue::version`]. Readers that applied the same rows hold
/// the same catalogue.
#[derive(Debug, Clone, Default)]
pub struct EffectiveCatalogue {
    catalogue: Arc<Catalogue>,
    items: BTreeMap<ItemKey, KnownRow>,
    /// Revisions at which rows were deleted; older states of these rows are ignored.
    deleted: BTreeMap<ItemKey, Revision>,
    head: Option<KnownHead>,
    digest: Digest,
    version: Version,
}

/// The last applied state of one item's row, without the item itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KnownRow {
    /// Revision of the row.
    pub revision: Revision,
    /// Version of the change that wrote it.
    pub version: Version,
    /// Change that wrote the row.
    pub change: ChangeId,
    /// Operator of that change.
    pub operator: OperatorId,
    /// Whether the item is declared.
    pub state: ItemState,
}

/// Whether an item is declared.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ItemState {
    /// The item is declared.
    Declared,
    /// The item was removed; its row remains as a tombstone.
    Removed,
}

/// The last applied head row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KnownHead {
    /// Revision of the row.
    pub revision: Revision,
    /// Content of the row.
    pub head: Head,
}

/// The effect of applying some rows.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AppliedRows {
    /// Items that were added, changed or removed.
    pub changed: Vec<ItemKey>,
    /// Whether [`EffectiveCatalogue::version`] increased.
    pub version_advanced: bool,
    /// Rows that were not applied because of a fault.
    pub faults: Vec<RowFault>,
}

/// A row that was not applied because of a fault; its previous state stays in force.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum RowFault {
    /// The row can't be parsed.
    #[error("row {key} at revision {revision}: {cause}")]
    Unreadable {
        /// Row.
        key: RowKey,
        /// Revision of the row.
        revision: Revision,
        /// Parser error.
        cause: SmolStr,
    },
    /// The row has a higher revision than the last applied one, but not a higher version.
    #[error("row {key} at revision {revision}: version decreased from {held} to {version}")]
    VersionFell {
        /// Row.
        key: RowKey,
        /// Revision of the row.
        revision: Revision,
        /// Version of the row.
        version: Version,
        /// Version of the last applied state of the row.
        held: Version,
    },
    /// The head row was deleted.
    #[error("row {key} at revision {revision}: deleted, but version {held} was read before")]
    HeadDeleted {
        /// Row.
        key: RowKey,
        /// Revision of its deletion.
        revision: Revision,
        /// Version of the last applied state of the row.
        held: Version,
    },
}

impl EffectiveCatalogue {
    /// Creates a reader without any rows.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies rows with the prefix `catalogue/`.
    ///
    /// Rows with other prefixes, and rows that are not newer than the applied ones, are ignored.
    pub fn apply_rows(&mut self, rows: &[Row]) -> AppliedRows {
        let mut applied = AppliedRows::default();
        for row in rows {
            if let Err(fault) = self.apply_row(row, &mut applied) {
                applied.faults.push(fault);
            }
        }
        applied.version_advanced = self.advance_version();
        applied
    }

    /// Returns the catalogue that results from all applied rows.
    #[must_use]
    pub fn catalogue(&self) -> &Catalogue {
        &self.catalogue
    }

    /// Returns an immutable snapshot of the catalogue.
    #[must_use]
    pub fn snapshot(&self) -> Arc<Catalogue> {
        Arc::clone(&self.catalogue)
    }

    /// Returns the highest version of which all rows were applied; zero if there is none yet.
    #[must_use]
    pub const fn version(&self) -> Version {
        self.version
    }

    /// Returns the applied head with the highest version.
    #[must_use]
    pub const fn head(&self) -> Option<&KnownHead> {
        self.head.as_ref()
    }

    /// Returns whether all rows of the head's version were applied.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        let head = self.head.as_ref();
        head.is_none_or(|h| h.head.digest == self.digest)
    }

    /// Returns the last applied state of an item's row.
    #[must_use]
    pub fn item(&self, key: &ItemKey) -> Option<&KnownRow> {
        self.items.get(key)
    }

    /// Iterates over the last applied states of all items' rows, sorted by key.
    pub fn items(&self) -> impl Iterator<Item = (&ItemKey, &KnownRow)> {
        self.items.iter()
    }

    /// Returns the digest of all applied item rows.
    #[must_use]
    pub const fn digest(&self) -> Digest {
        self.digest
    }

    fn apply_row(&mut self, row: &Row, applied: &mut AppliedRows) -> Result<(), RowFault> {
        if row.key.0 == HEAD_KEY {
            return self.apply_head(row);
        }
        let Some(name) = row.key.0.strip_prefix(CATALOGUE_PREFIX) else {
            return Ok(());
        };
        let key: ItemKey = name.parse().map_err(|e| unreadable(row, &e))?;
        if row.revision <= self.known_revision(&key) {
            return Ok(());
        }
        let Some(value) = &row.value else {
            self.apply_deletion(row, key, applied);
            return Ok(());
        };
        self.apply_item(row, key, value, applied)
    }

    /// Returns the revision of the last applied state or deletion of an item's row.
    fn known_revision(&self, key: &ItemKey) -> Revision {
        let held = self.items.get(key).map(|h| h.revision);
        let deleted = self.deleted.get(key).copied();
        held.max(deleted).unwrap_or_default()
    }

    fn apply_head(&mut self, row: &Row) -> Result<(), RowFault> {
        if self
            .head
            .as_ref()
            .is_some_and(|h| h.revision >= row.revision)
        {
            return Ok(());
        }
        let Some(value) = &row.value else {
            return Err(RowFault::HeadDeleted {
                key: row.key.clone(),
                revision: row.revision,
                held: self.head_version(),
            });
        };
        let head: Head = decode(value).map_err(|e| unreadable(row, &e))?;
        check_version_increases(row, head.version, self.head_version())?;
        self.head = Some(KnownHead {
            revision: row.revision,
            head,
        });
        Ok(())
    }

    fn apply_item(
        &mut self,
        row: &Row,
        key: ItemKey,
        value: &[u8],
        applied: &mut AppliedRows,
    ) -> Result<(), RowFault> {
        let new: ItemRow = decode(value).map_err(|e| unreadable(row, &e))?;
        let item = new.body.as_ref().map(|body| Item::from_json(&key, body));
        let item = item.transpose().map_err(|e| unreadable(row, &e))?;
        if let Some(held) = self.items.get(&key) {
            check_version_increases(row, new.version, held.version)?;
            self.digest.remove(&key, held.version);
        }
        self.digest.add(&key, new.version);
        let state = if item.is_some() {
            ItemState::Declared
        } else {
            ItemState::Removed
        };
        let held = KnownRow {
            revision: row.revision,
            version: new.version,
            change: new.change,
            operator: new.operator,
            state,
        };
        self.items.insert(key.clone(), held);
        self.set_item(key, item, applied);
        Ok(())
    }

    /// Removes an item whose row was deleted.
    ///
    /// A row is deleted some time after its item was removed, but a reader may have missed the
    /// removal.
    fn apply_deletion(&mut self, row: &Row, key: ItemKey, applied: &mut AppliedRows) {
        self.deleted.insert(key.clone(), row.revision);
        if let Some(held) = self.items.remove(&key) {
            self.digest.remove(&key, held.version);
        }
        self.set_item(key, None, applied);
    }

    fn set_item(&mut self, key: ItemKey, item: Option<Item>, applied: &mut AppliedRows) {
        if self.catalogue.item(&key) == item {
            return;
        }
        Arc::make_mut(&mut self.catalogue).set(&key, item);
        applied.changed.push(key);
    }

    fn head_version(&self) -> Version {
        self.head.as_ref().map_or(Version(0), |h| h.head.version)
    }

    /// Sets the version to that of the head if all rows of that version were applied.
    fn advance_version(&mut self) -> bool {
        let newest = self.head_version();
        if newest <= self.version || !self.is_complete() {
            return false;
        }
        self.version = newest;
        true
    }
}

fn unreadable(row: &Row, cause: &dyn std::error::Error) -> RowFault {
    RowFault::Unreadable {
        key: row.key.clone(),
        revision: row.revision,
        cause: smol_str::format_smolstr!("{cause}"),
    }
}

/// Checks that a row of `version` may replace one of the version `held`.
fn check_version_increases(row: &Row, version: Version, held: Version) -> Result<(), RowFault> {
    if version > held {
        return Ok(());
    }
    Err(RowFault::VersionFell {
        key: row.key.clone(),
        revision: row.revision,
        version,
        held,
    })
}
