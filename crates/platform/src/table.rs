//! Rows, transactions and the [`Table`] trait.

use std::fmt;

use bytes::Bytes;
use ids::Revision;
use smol_str::SmolStr;

use crate::PlatformError;

/// Key of a row, such as `own/windowcast-03` or `catalogue/entry/tariffbok`.
///
/// Rows are sorted by the bytes of their keys.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RowKey(pub SmolStr);

impl fmt::Display for RowKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// A row at some revision of the table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Row {
    /// Key.
    pub key: RowKey,
    /// Revision of the transaction that last wrote it.
    pub revision: Revision,
    /// Value, or `None` if that transaction deleted the row.
    pub value: Option<Bytes>,
}

/// A condition that must hold for a transaction to commit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Check {
    /// Key of the row.
    pub key: RowKey,
    /// Revision that the row must have; `None` if the row must not exist.
    pub revision: Option<Revision>,
}

/// A write of a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Write {
    /// Key of the row.
    pub key: RowKey,
    /// New value, or `None` to delete the row.
    pub value: Option<Bytes>,
}

/// A transaction: if all checks hold, all writes take effect at one revision.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Txn {
    /// Conditions.
    pub checks: Vec<Check>,
    /// Writes.
    pub writes: Vec<Write>,
}

/// The result of a transaction that was certainly either committed or rejected.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Commit {
    /// The transaction took effect at this revision.
    Done(Revision),
    /// The transaction had no effect because a check did not hold. Contains the current
    /// rows of all checks, without rows that do not exist.
    Conflict(Vec<Row>),
}

/// The rows under a prefix that changed after some revision.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Changes {
    /// The table's revision at which the rows were read.
    pub revision: Revision,
    /// Changed rows, sorted by ascending revision; deleted ones have no value.
    pub rows: Vec<Row>,
}

/// The platform's transactional table service.
pub trait Table: fmt::Debug + Send + Sync + 'static {
    /// Reads all rows under `prefix` that changed after `since`.
    ///
    /// # Errors
    ///
    /// Fails if the platform can't be reached in time or refuses the call.
    fn changes(
        &self,
        prefix: &str,
        since: Revision,
    ) -> impl Future<Output = Result<Changes, PlatformError>> + Send;

    /// Commits a transaction.
    ///
    /// # Errors
    ///
    /// Fails if the platform can't be reached in time or refuses the call;
    /// [`PlatformError::had_no_effect`] returns whether the writes certainly had no effect.
    fn commit(&self, txn: Txn) -> impl Future<Output = Result<Commit, PlatformError>> + Send;
}
