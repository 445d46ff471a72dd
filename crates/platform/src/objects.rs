//! The [`Objects`] trait.

use std::fmt;

use bytes::Bytes;

use crate::PlatformError;

/// The platform's object store.
pub trait Objects: fmt::Debug + Send + Sync + 'static {
    /// Stores `body` under `name`; storing the same again has no further effect.
    ///
    /// # Errors
    ///
    /// Fails if the platform can't be reached in time or refuses.
    fn put(
        &self,
        name: &str,
        body: Bytes,
    ) -> impl Future<Output = Result<(), PlatformError>> + Send;

    /// Reads the object called `name`, if there is one.
    ///
    /// # Errors
    ///
    /// Fails if the platform can't be reached in time or refuses.
    fn get(&self, name: &str) -> impl Future<Output = Result<Option<Bytes>, PlatformError>> + Send;
}
