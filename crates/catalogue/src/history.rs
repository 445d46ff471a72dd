//! Earlier versions of the catalogue, reconstructed by undoing changes one by one.

use ids::Version;
use serde_json::Value;
use thiserror::Error;

use crate::base::{Base, BaseItem};
use crate::declare::Catalogue;
use crate::in_force::EffectiveCatalogue;
use crate::item::{Item, ItemKey};
use crate::rows::ItemChange;

/// The catalogue as of one version.
#[derive(Debug, Clone)]
pub struct PastCatalogue {
    version: Version,
    catalogue: Catalogue,
    base: Base,
}

/// The reason why an earlier version can't be reconstructed.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum HistoryError {
    /// The change to undo is not the one that made the current version.
    #[error("the change of version {next} can't be undone at version {now}")]
    OutOfOrder {
        /// Current version.
        now: Version,
        /// Version of the change to undo.
        next: Version,
    },
    /// An item differs from the state that the change left according to its history row.
    #[error("version {version} does not match the history: {item} differs from what it wrote")]
    Mismatch {
        /// Version of the change.
        version: Version,
        /// Item that differs.
        item: ItemKey,
    },
    /// A change holds an item that can't be parsed.
    #[error("version {version} holds {item}, which can't be parsed: {cause}")]
    Unreadable {
        /// Version of the change.
        version: Version,
        /// Item that can't be parsed.
        item: ItemKey,
        /// Parser error.
        cause: String,
    },
}

impl PastCatalogue {
    /// Starts at the newest version, of which `in_force` must hold all rows.
    #[must_use]
    pub fn newest(in_force: &EffectiveCatalogue) -> Self {
        debug_assert!(
            in_force.is_complete(),
            "undoing needs all rows of the newest version"
        );
        Self {
            version: in_force.version(),
            catalogue: in_force.catalogue().clone(),
            base: Base::of(in_force),
        }
    }

    /// Returns the current version.
    #[must_use]
    pub const fn version(&self) -> Version {
        self.version
    }

    /// Returns the catalogue at this version.
    #[must_use]
    pub const fn catalogue(&self) -> &Catalogue {
        &self.catalogue
    }

    /// Returns the base of a directory that was written from this version.
    #[must_use]
    pub const fn base(&self) -> &Base {
        &self.base
    }

    /// Undoes the change that made `version`, which must be the current version.
    ///
    /// # Errors
    ///
    /// Fails if `version` is not the current version or `changes` are not the changes that made it.
    pub fn undo(&mut self, version: Version, changes: &[ItemChange]) -> Result<(), HistoryError> {
        if version != self.version || version == Version(0) {
            return Err(HistoryError::OutOfOrder {
                now: self.version,
                next: version,
            });
        }
        for change in changes {
            self.undo_item(version, change)?;
        }
        self.version = Version(version.0 - 1);
        Ok(())
    }

    fn undo_item(&mut self, version: Version, change: &ItemChange) -> Result<(), HistoryError> {
        let key = &change.item;
        let after = parse_item(version, key, change.after.as_ref())?;
        let before = parse_item(version, key, change.before.as_ref())?;
        if self.catalogue.item(key) != after {
            return Err(HistoryError::Mismatch {
                version,
                item: key.clone(),
            });
        }
        match change.was {
            Some(was) => {
                let item = BaseItem {
                    version: was,
                    hash: before.as_ref().map(Item::hash),
                };
                self.base.items.insert(key.clone(), item);
            }
            None => {
                self.base.items.shift_remove(key);
            }
        }
        self.catalogue.set(key, before);
        Ok(())
    }
}

fn parse_item(
    version: Version,
    key: &ItemKey,
    body: Option<&Value>,
) -> Result<Option<Item>, HistoryError> {
    let item = body.map(|b| Item::from_json(key, b)).transpose();
    item.map_err(|e| HistoryError::Unreadable {
        version,
        item: key.clone(),
        cause: e.to_string(),
    })
}
