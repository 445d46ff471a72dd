//! Earlier versions, got by undoing changes one by one.

use ids::Version;
use serde_json::Value;
use thiserror::Error;

use crate::base::{Base, BaseItem};
use crate::declare::Catalogue;
use crate::in_force::InForce;
use crate::item::{Item, ItemKey};
use crate::rows::ItemChange;

/// The catalogue as it stood at some version.
#[derive(Debug, Clone)]
pub struct Past {
    version: Version,
    catalogue: Catalogue,
    base: Base,
}

/// An earlier version that can't be got.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum PastError {
    /// A change was undone out of turn.
    #[error("version {next} does not come before version {now}")]
    OutOfTurn {
        /// Version that was reached.
        now: Version,
        /// Version whose change was to be undone.
        next: Version,
    },
    /// A change does not fit what it is said to have made.
    #[error("version {version} does not fit the history: {item} is not as it left it")]
    Mismatch {
        /// Version.
        version: Version,
        /// Item.
        item: ItemKey,
    },
    /// A change holds an item that can't be read.
    #[error("version {version} holds {item}, which can't be read: {cause}")]
    Unreadable {
        /// Version.
        version: Version,
        /// Item.
        item: ItemKey,
        /// What is wrong with it.
        cause: String,
    },
}

impl Past {
    /// Starts at the newest version, all of which `in_force` must know.
    #[must_use]
    pub fn newest(in_force: &InForce) -> Self {
        debug_assert!(
            in_force.is_complete(),
            "undoing needs the whole newest version"
        );
        Self {
            version: in_force.version(),
            catalogue: in_force.catalogue().clone(),
            base: Base::of(in_force),
        }
    }

    /// Returns the version.
    #[must_use]
    pub const fn version(&self) -> Version {
        self.version
    }

    /// Returns the catalogue at this version.
    #[must_use]
    pub const fn catalogue(&self) -> &Catalogue {
        &self.catalogue
    }

    /// Returns the base of a directory that was made from this version.
    #[must_use]
    pub const fn base(&self) -> &Base {
        &self.base
    }

    /// Undoes the change that made this version.
    ///
    /// # Errors
    ///
    /// Fails if `changes` are not those of this version.
    pub fn undo(&mut self, version: Version, changes: &[ItemChange]) -> Result<(), PastError> {
        if version != self.version || version == Version(0) {
            return Err(PastError::OutOfTurn {
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

    fn undo_item(&mut self, version: Version, change: &ItemChange) -> Result<(), PastError> {
        let key = &change.item;
        let after = read(version, key, change.after.as_ref())?;
        let before = read(version, key, change.before.as_ref())?;
        if self.catalogue.item(key) != after {
            return Err(PastError::Mismatch {
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

fn read(version: Version, key: &ItemKey, body: Option<&Value>) -> Result<Option<Item>, PastError> {
    let item = body.map(|b| Item::from_json(key, b)).transpose();
    item.map_err(|e| PastError::Unreadable {
        version,
        item: key.clone(),
        cause: e.to_string(),
    })
}
