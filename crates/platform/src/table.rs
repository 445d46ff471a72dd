//! Rows, transactions and the [`Table`] trait.

use std::fmt;

use bytes::Bytes;
use ids::Revision;
use smol_str::SmolStr;

use crate::PlatformError;

/// Key of a row, such as `own/windowcast-03` or `catalogue/entry/tariffbok`.
///
/// Rows sort by their keys' bytes.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RowKey(pub SmolStr);

impl fmt::Display for RowKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// A row as it stood at some revision of the table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Row {
    /// Key.
    pub key: RowKey,
    /// Revision of the transaction that wrote it last.
    pub revision: Revision,
    /// Value, or nothing if that transaction deleted the row.
    pub value: Option<Bytes>,
}

/// A condition that must hold for a transaction to commit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Check {
    /// Key of the row.
    pub key: RowKey,
    /// Revision that the row must have; `None` if there must be no such row.
    pub revision: Option<Revision>,
}

/// One write of a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Write {
    /// Key of the row.
    pub key: RowKey,
    /// New value, or nothing to delete the row.
    pub value: Option<Bytes>,
}

/// A transaction: if every check holds, every write takes effect at one revision.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Txn {
    /// Conditions.
    pub checks: Vec<Check>,
    /// Writes.
    pub writes: Vec<Write>,
}

/// The answer to a transaction that was surely decided.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Commit {
    /// It took effect at this revision.
    Done(Revision),
    /// It had no effect, as some checks did not hold; the rows of all checks
    /// as they stand (rows that do not exist are left out).
    Conflict(Vec<Row>),
}

/// The rows of one prefix that changed after some revision.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Changes {
    /// The table's revision at which the rows were read.
    pub revision: Revision,
    /// Changed rows by rising revision; deleted ones have no value.
    pub rows: Vec<Row>,
}

/// The platform's transactional table service.
pub trait Table: fmt::Debug + Send + Sync + 'static {
    /// Reads all rows below `prefix` that changed after `since`.
    ///
    /// # Errors
    ///
    /// Fails if the platform can't be reached in time or refuses.
    fn changes(
        &self,
        prefix: &str,
        since: Revision,
    ) -> impl Future<Output = Result<Changes, PlatformError>> + Send;

    /// Commits a transaction.
    ///
    /// # Errors
    ///
    /// Fails if the platform can't be reached in time or refuses;
    /// [`PlatformError::had_no_effect`] tells whether the writes may stand.
    fn commit(&self, txn: Txn) -> impl Future<Output = Result<Commit, PlatformError>> + Send;
}
