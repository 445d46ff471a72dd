//! Objects that are written once.

use std::collections::BTreeMap;

use bytes::Bytes;
use smol_str::SmolStr;
use thiserror::Error;

/// An object of this name is there already and has another body.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("object {name} exists with another body")]
pub struct ObjectExists {
    /// Name of the object.
    pub name: SmolStr,
}

/// An object store in memory.
///
/// An object never changes once it is stored: whoever reads a name gets the whole
/// body that the first writer gave it, or nothing.
#[derive(Debug, Clone, Default)]
pub struct MemoryObjects {
    bodies: BTreeMap<SmolStr, Bytes>,
}

impl MemoryObjects {
    /// Stores `body` under `name`; storing the same body again has no effect.
    ///
    /// # Errors
    ///
    /// Fails if the name has another body.
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

    /// Returns the object called `name`, if there is one.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<Bytes> {
        self.bodies.get(name).cloned()
    }

    /// Returns the names of all objects, sorted.
    pub fn names(&self) -> impl Iterator<Item = &SmolStr> {
        self.bodies.keys()
    }
}
