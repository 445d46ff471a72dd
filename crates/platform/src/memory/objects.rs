//! Write-once objects.

use std::collections::BTreeMap;

use bytes::Bytes;
use smol_str::SmolStr;
use thiserror::Error;

/// An error for storing an object whose name is already used with another body.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("object {name} exists with another body")]
pub struct ObjectExists {
    /// Name of the object.
    pub name: SmolStr,
}

/// An in-memory object store.
///
/// An object never changes once it is stored: a read returns the whole body of the first
/// write, or nothing.
#[derive(Debug, Clone, Default)]
pub struct MemoryObjects {
    bodies: BTreeMap<SmolStr, Bytes>,
}

impl MemoryObjects {
    /// Stores `body` under `name`; storing the same body again has no effect.
    ///
    /// # Errors
    ///
    /// Fails if the name is already used with another body.
    pub fn put(&mut self, name: &str, body: Bytes) -> Result<(), ObjectExists> {
        match self.bodies.get(name) {
            None => {
                self.bodies.insert(name.into(), body);
                Ok(())
            }
            Some(found) if *found == body => Ok(()),
            Some(_) => Err(ObjectExists { name: name.into() }),
        }
    }

    /// Returns the object with this name, if it exists.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<Bytes> {
        self.bodies.get(name).cloned()
    }

    /// Returns the names of all objects, sorted.
    pub fn names(&self) -> impl Iterator<Item = &SmolStr> {
        self.bodies.keys()
    }
}
