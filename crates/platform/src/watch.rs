//! Following a table by its changes.

use std::fmt;
use std::time::Duration;

use ids::Revision;

use crate::{Changes, Commit, PlatformError, Row, RowKey, Txn};

/// What a reader has to do to know a table's rows at a revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Delta {
    /// Apply these changes to the rows that it knows.
    Changes(Changes),
    /// Take these rows in place of all that it knows: a row that is missing is gone.
    Snapshot(Changes),
}

/// A transactional store whose tables are read whole or followed by their changes.
pub trait Watch: fmt::Debug + Send + Sync + 'static {
    /// Reads what changed in `table` after `since`, waiting up to `wait` for a change; everything
    /// if `since` is zero or so old that the changes after it are no longer on record.
    ///
    /// # Errors
    ///
    /// Fails if the store can't be reached in time or refuses.
    fn watch(
        &self,
        table: &'static str,
        since: Revision,
        wait: Duration,
    ) -> impl Future<Output = Result<Delta, PlatformError>> + Send;

    /// Reads the row `key`, which is `TABLE/KEY`; none if there is no such row.
    ///
    /// # Errors
    ///
    /// Fails if the store can't be reached in time or refuses.
    fn read_row(
        &self,
        key: &RowKey,
    ) -> impl Future<Output = Result<Option<Row>, PlatformError>> + Send;

    /// Commits a transaction; keys of rows are `TABLE/KEY`.
    ///
    /// # Errors
    ///
    /// Fails if the store can't be reached in time or refuses;
    /// [`PlatformError::had_no_effect`] tells whether the writes may stand.
    fn commit(&self, txn: Txn) -> impl Future<Output = Result<Commit, PlatformError>> + Send;
}
