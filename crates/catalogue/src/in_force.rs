//! The catalogue as one reader knows it from table rows.

use std::collections::BTreeMap;
use std::sync::Arc;

use ids::{ChangeId, OperatorId, Revision, Version};
use platform::{Row, RowKey};
use smol_str::SmolStr;
use thiserror::Error;

use crate::declare::Catalogue;
use crate::item::{Item, ItemKey};
use crate::rows::{CATALOGUE_PREFIX, Digest, HEAD_KEY, Head, ItemRow, decode};

/// The catalogue as one reader knows it.
///
/// It takes rows in any order and any number of times. The version of each row only rises, and
/// so does [`InForce::version`]. Readers that were given the same rows hold the same catalogue.
#[derive(Debug, Clone, Default)]
pub struct InForce {
    catalogue: Arc<Catalogue>,
    items: BTreeMap<ItemKey, Held>,
    /// Revisions at which rows were deleted, so that older states of them don't come back.
    deleted: BTreeMap<ItemKey, Revision>,
    head: Option<HeldHead>,
    digest: Digest,
    version: Version,
}

/// What is known of one item's row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Held {
    /// Revision of the row.
    pub revision: Revision,
    /// Version of the change that wrote it.
    pub version: Version,
    /// That change.
    pub change: ChangeId,
    /// Operator of that change.
    pub operator: OperatorId,
    /// Whether the item is declared.
    pub state: HeldState,
}

/// Whether an item is declared.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeldState {
    /// It is.
    Declared,
    /// It was removed; its row says so.
    Removed,
}

/// The head's row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeldHead {
    /// Revision of the row.
    pub revision: Revision,
    /// Its content.
    pub head: Head,
}

/// What some rows changed.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Applied {
    /// Items that were added, changed or removed.
    pub changed: Vec<ItemKey>,
    /// Whether [`InForce::version`] rose.
    pub risen: bool,
    /// Rows that were not taken because of a fault.
    pub faults: Vec<RowFault>,
}

/// A row that was not taken because of a fault; what was known before stays in force.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum RowFault {
    /// The row can't be read.
    #[error("row {key} at revision {revision}: {cause}")]
    Unreadable {
        /// Row.
        key: RowKey,
        /// Its revision.
        revision: Revision,
        /// What is wrong with it.
        cause: SmolStr,
    },
    /// The row has a higher revision but no higher version.
    #[error("row {key} at revision {revision}: version fell from {held} to {version}")]
    VersionFell {
        /// Row.
        key: RowKey,
        /// Its revision.
        revision: Revision,
        /// Its version.
        version: Version,
        /// Version that is held.
        held: Version,
    },
    /// The head's row was deleted.
    #[error("row {key} at revision {revision}: deleted though version {held} was there")]
    HeadDeleted {
        /// Row.
        key: RowKey,
        /// Revision of its deletion.
        revision: Revision,
        /// Version that is held.
        held: Version,
    },
}

impl InForce {
    /// Creates a reader that knows nothing.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes rows below `catalogue/`; others, and ones that are known already, are ignored.
    pub fn apply_rows(&mut self, rows: &[Row]) -> Applied {
        let mut applied = Applied::default();
        for row in rows {
            if let Err(fault) = self.take(row, &mut applied) {
                applied.faults.push(fault);
            }
        }
        applied.risen = self.rise();
        applied
    }

    /// Returns the catalogue.
    #[must_use]
    pub fn catalogue(&self) -> &Catalogue {
        &self.catalogue
    }

    /// Returns the catalogue as it stands now; it does not change any more.
    #[must_use]
    pub fn snapshot(&self) -> Arc<Catalogue> {
        Arc::clone(&self.catalogue)
    }

    /// Returns the highest version that was known with all its rows; zero if there is none yet.
    #[must_use]
    pub const fn version(&self) -> Version {
        self.version
    }

    /// Returns the head with the highest version that was heard of.
    #[must_use]
    pub const fn head(&self) -> Option<&HeldHead> {
        self.head.as_ref()
    }

    /// Tells whether all rows of the newest known version are known.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        let head = self.head.as_ref();
        head.is_none_or(|h| h.head.digest == self.digest)
    }

    /// Returns what is known of an item's row.
    #[must_use]
    pub fn item(&self, key: &ItemKey) -> Option<&Held> {
        self.items.get(key)
    }

    /// Iterates over what is known of all items' rows, sorted by key.
    pub fn items(&self) -> impl Iterator<Item = (&ItemKey, &Held)> {
        self.items.iter()
    }

    /// Returns the digest of all item rows that are known.
    #[must_use]
    pub const fn digest(&self) -> Digest {
        self.digest
    }

    fn take(&mut self, row: &Row, applied: &mut Applied) -> Result<(), RowFault> {
        if row.key.0 == HEAD_KEY {
            return self.take_head(row);
        }
        let Some(name) = row.key.0.strip_prefix(CATALOGUE_PREFIX) else {
            return Ok(());
        };
        let key: ItemKey = name.parse().map_err(|e| unreadable(row, &e))?;
        if row.revision <= self.known_revision(&key) {
            return Ok(());
        }
        let Some(value) = &row.value else {
            self.take_deletion(row, key, applied);
            return Ok(());
        };
        self.take_item(row, key, value, applied)
    }

    fn known_revision(&self, key: &ItemKey) -> Revision {
        let held = self.items.get(key).map(|h| h.revision);
        let deleted = self.deleted.get(key).copied();
        held.max(deleted).unwrap_or_default()
    }

    fn take_head(&mut self, row: &Row) -> Result<(), RowFault> {
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
        rises(row, head.version, self.head_version())?;
        self.head = Some(HeldHead {
            revision: row.revision,
            head,
        });
        Ok(())
    }

    fn take_item(
        &mut self,
        row: &Row,
        key: ItemKey,
        value: &[u8],
        applied: &mut Applied,
    ) -> Result<(), RowFault> {
        let new: ItemRow = decode(value).map_err(|e| unreadable(row, &e))?;
        let item = new.body.as_ref().map(|body| Item::from_json(&key, body));
        let item = item.transpose().map_err(|e| unreadable(row, &e))?;
        if let Some(held) = self.items.get(&key) {
            rises(row, new.version, held.version)?;
            self.digest.remove(&key, held.version);
        }
        self.digest.add(&key, new.version);
        let state = if item.is_some() {
            HeldState::Declared
        } else {
            HeldState::Removed
        };
        let held = Held {
            revision: row.revision,
            version: new.version,
            change: new.change,
            operator: new.operator,
            state,
        };
        self.items.insert(key.clone(), held);
        self.set(key, item, applied);
        Ok(())
    }

    /// Forgets an item whose row was deleted.
    ///
    /// That happens some time after it was removed, but a reader may have missed the removal.
    fn take_deletion(&mut self, row: &Row, key: ItemKey, applied: &mut Applied) {
        self.deleted.insert(key.clone(), row.revision);
        if let Some(held) = self.items.remove(&key) {
            self.digest.remove(&key, held.version);
        }
        self.set(key, None, applied);
    }

    fn set(&mut self, key: ItemKey, item: Option<Item>, applied: &mut Applied) {
        if self.catalogue.item(&key) == item {
            return;
        }
        Arc::make_mut(&mut self.catalogue).set(&key, item);
        applied.changed.push(key);
    }

    fn head_version(&self) -> Version {
        self.head.as_ref().map_or(Version(0), |h| h.head.version)
    }

    /// Raises the version to that of the head if all its rows are known.
    fn rise(&mut self) -> bool {
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

fn rises(row: &Row, version: Version, held: Version) -> Result<(), RowFault> {
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
