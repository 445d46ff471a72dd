//! The item versions that a directory of declarations was last synchronized with.

use std::fs;
use std::io;
use std::path::Path;

use ids::Version;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::in_force::EffectiveCatalogue;
use crate::item::{ContentHash, ItemKey};

/// Name of the file that stores the base in a directory of declarations.
pub const BASE_FILE: &str = "base.json";

/// The items that a directory of declarations was last synchronized with.
///
/// The base is the common ancestor of a three-way comparison: it separates items that the
/// operator of the directory changed from items that another operator has changed since.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Base {
    /// Items by key.
    pub items: IndexMap<ItemKey, BaseItem>,
}

/// One item of a [`Base`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BaseItem {
    /// Version of the item's row.
    pub version: Version,
    /// Hash of the item's content; `None` if the item was removed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub hash: Option<ContentHash>,
}

/// An error of reading or writing a base.
#[derive(Debug, Error)]
pub enum BaseError {
    /// The file can't be read or written.
    #[error("{BASE_FILE}: {0}")]
    Io(#[from] io::Error),
    /// The content of the file is not a base.
    #[error("{BASE_FILE}: {0}; restore it from the repository, or remove it and compare again")]
    Json(#[from] serde_json::Error),
}

impl Base {
    /// Returns the base of a directory whose declarations equal those of `in_force`.
    #[must_use]
    pub fn of(in_force: &EffectiveCatalogue) -> Self {
        let catalogue = in_force.catalogue();
        let items = in_force.items().map(|(key, held)| {
            let item = BaseItem {
                version: held.version,
                hash: catalogue.item(key).map(|i| i.hash()),
            };
            (key.clone(), item)
        });
        Self {
            items: items.collect(),
        }
    }

    /// Reads the base of the directory `dir`; returns `None` if the directory has none.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be read or its content is not a base.
    pub fn load(dir: &Path) -> Result<Option<Self>, BaseError> {
        match fs::read(dir.join(BASE_FILE)) {
            Ok(body) => Ok(Some(serde_json::from_slice(&body)?)),
            Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(None),
            Err(e) => Err(e.into()),
        }
    }

    /// Writes the base of the directory `dir`.
    ///
    /// Each item is on a line of its own, sorted by key, so that version control merges the file
    /// with few conflicts.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be written.
    pub fn store(&self, dir: &Path) -> Result<(), BaseError> {
        let mut items: Vec<(&ItemKey, &BaseItem)> = self.items.iter().collect();
        items.sort_by_key(|(key, _)| *key);
        let mut lines = Vec::with_capacity(items.len());
        for (key, item) in items {
            let item = serde_json::to_string(item)?;
            lines.push(format!("    \"{key}\": {item}"));
        }
        let body = format!("{{\n  \"items\": {{\n{}\n  }}\n}}\n", lines.join(",\n"));
        fs::write(dir.join(BASE_FILE), body)?;
        Ok(())
    }
}
