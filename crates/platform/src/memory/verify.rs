//! Checks the invariants of a table.

use ids::Revision;

use super::MemoryTable;
use crate::RowKey;

/// A broken invariant of a table and its place.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TableFault {
    /// A row stands under a key that isn't its own.
    MisplacedRow(RowKey),
    /// A row's revision is zero or above the table's.
    RevisionOutOfRange(RowKey, Revision),
    /// A row isn't found by its revision.
    MissingFromIndex(RowKey, Revision),
    /// The index by revision names a row that doesn't have that revision.
    StaleIndex(RowKey, Revision),
}

impl MemoryTable {
    /// Returns all broken invariants, by key.
    #[must_use]
    pub fn verify(&self) -> Vec<TableFault> {
        let mut faults = Vec::new();
        for (key, row) in &self.rows {
            if row.key != *key {
                faults.push(TableFault::MisplacedRow(key.clone()));
            }
            if row.revision == Revision(0) || row.revision > self.revision {
                faults.push(TableFault::RevisionOutOfRange(key.clone(), row.revision));
            }
            if !self.by_revision.contains(&(row.revision, key.clone())) {
                faults.push(TableFault::MissingFromIndex(key.clone(), row.revision));
            }
        }
        for (revision, key) in &self.by_revision {
            if self.rows.get(key).is_none_or(|r| r.revision != *revision) {
                faults.push(TableFault::StaleIndex(key.clone(), *revision));
            }
        }
        faults
    }
}
