//! Checks of a table's invariants.

use ids::Revision;

use super::MemoryTable;
use crate::RowKey;

/// A violated invariant of a table, with the row concerned.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TableFault {
    /// A row is stored under a key other than its own.
    MisplacedRow(RowKey),
    /// A row's revision is zero or higher than the table's.
    RevisionOutOfRange(RowKey, Revision),
    /// A row is missing from the index by revision.
    MissingFromIndex(RowKey, Revision),
    /// The index by revision refers to a row that does not have that revision.
    StaleIndex(RowKey, Revision),
}

impl MemoryTable {
    /// Returns all violated invariants: those of rows, sorted by key, then those of the index,
    /// sorted by revision.
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
