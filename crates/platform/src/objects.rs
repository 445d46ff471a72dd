//! The [`Objects`] trait.

use std::fmt;

use bytes::Bytes;

use crate::PlatformError;

/// The platform's object store.
pub trait Objects: fmt::Debug + Send + Sync + 'static {
    /// Stores `body` under `name`; storing the same body again has no further effect.
    ///
    /// # Errors
    ///
    /// Fails if the platform can't be reached in time or refuses the call.
    fn put(
        &self,
        name: &str,
        body: Bytes,
    ) -> impl Future<Output = Result<(), PlatformError>> + Send;

    /// Reads the object with this name, if it exists.
    ///
    /// # Errors
    ///
    /// Fails if the platform can't be reached in time or refuses the call.
    fn get(&self, name: &str) -> impl Future<Output = Result<Option<Bytes>, PlatformError>> + Send;
}
