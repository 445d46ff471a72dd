//! Reading the changes of a table.

use std::fmt;
use std::time::Duration;

use ids::{Revision, StoreEra};

use crate::{Changes, Commit, PlatformError, Row, RowKey, Txn};

/// An update that brings a reader's copy of a table to a revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Delta {
    /// Changes to apply to the rows of the copy.
    Changes(Changes),
    /// All rows of the table, which replace the copy: rows that are not included were deleted.
    Snapshot(Changes),
}

/// A transactional store whose tables can be read completely or incrementally.
pub trait Watch: fmt::Debug + Send + Sync + 'static {
    /// Reads what changed in `table` after `since`, waiting up to `wait` for a change. Reads the
    /// whole table if `since` is zero, is of another era than the store, or is so old that the store
    /// no longer has the changes after it.
    ///
    /// # Errors
    ///
    /// Fails if the store can't be reached in time or refuses the call.
    fn watch(
        &self,
        table: &'static str,
        since: Revision,
        wait: Duration,
    ) -> impl Future<Output = Result<Delta, PlatformError>> + Send;

    /// Reads the row with this key, in the form `TABLE/KEY`; `None` if it does not exist.
    ///
    /// # Errors
    ///
    /// Fails if the store can't be reached in time or refuses the call.
    fn read_row(
        &self,
        key: &RowKey,
    ) -> impl Future<Output = Result<Option<Row>, PlatformError>> + Send;

    /// Commits a transaction that was decided on in `era`; row keys have the form `TABLE/KEY`.
    ///
    /// A store that has returned from a copy gives out revisions again, so that conditions of an
    /// earlier era may hold by accident. The result is a conflict without rows if the store is known
    /// to be in another era. The writes may have taken effect nevertheless: the keys of rows for
    /// which that matters must contain the era.
    ///
    /// # Errors
    ///
    /// Fails if the store can't be reached in time or refuses the call;
    /// [`PlatformError::had_no_effect`] returns whether the writes certainly had no effect.
    fn commit(
        &self,
        txn: Txn,
        era: StoreEra,
    ) -> impl Future<Output = Result<Commit, PlatformError>> + Send;
}
