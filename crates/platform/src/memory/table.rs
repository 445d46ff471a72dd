//! Rows, transactions and changes by revision.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use ids::Revision;
use smol_str::SmolStr;

use crate::{Changes, Check, Commit, Row, RowKey, Txn, Write};

/// Limits on a page of changes. A page contains at least one transaction and always ends with a
/// whole one, so it may exceed the limits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PageLimits {
    /// Number of rows.
    pub rows: usize,
    /// Total size of keys and values in bytes.
    pub bytes: usize,
}

impl Default for PageLimits {
    fn default() -> Self {
        Self {
            rows: 2_000,
            bytes: 1 << 20,
        }
    }
}

/// A page of the changes after some revision.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Page {
    /// The changed rows of this page.
    pub changes: Changes,
    /// Revision after which the next page starts, if there are more changes.
    pub next: Option<Revision>,
}

/// An in-memory transactional table.
///
/// - A transaction takes effect completely or not at all. Each transaction that changes a row
///   increases the revision by one, and the rows that it changes get the new revision.
/// - Writing the value that a row already has counts as a change.
/// - Deleting a row that doesn't exist changes nothing.
/// - If a transaction writes a key more than once, the last write takes effect.
/// - A deleted row is kept without a value, so readers can see the deletion at any later time.
#[derive(Debug, Clone, Default)]
pub struct MemoryTable {
    pub(super) rows: BTreeMap<RowKey, Row>,
    pub(super) by_revision: BTreeSet<(Revision, RowKey)>,
    pub(super) revision: Revision,
}

impl MemoryTable {
    /// Creates an empty table at revision zero.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the revision of the last transaction that changed a row.
    #[must_use]
    pub const fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the row with this key, unless it does not exist or was deleted.
    #[must_use]
    pub fn row(&self, key: &RowKey) -> Option<&Row> {
        self.rows.get(key).filter(|r| r.value.is_some())
    }

    /// Returns the existing rows under `prefix`, sorted by key.
    pub fn rows<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = &'a Row> {
        self.rows_with_deleted(prefix).filter(|r| r.value.is_some())
    }

    /// Returns all rows under `prefix` that changed after `since`.
    #[must_use]
    pub fn changes(&self, prefix: &str, since: Revision) -> Changes {
        let rows = self.changed_rows(prefix, since);
        Changes {
            revision: self.revision,
            rows: rows.into_iter().cloned().collect(),
        }
    }

    /// Returns the first page of the rows under `prefix` that changed after `since`.
    #[must_use]
    pub fn page(&self, prefix: &str, since: Revision, limits: PageLimits) -> Page {
        let mut page = Page {
            changes: Changes {
                revision: self.revision,
                rows: Vec::new(),
            },
            next: None,
        };
        let rows = &mut page.changes.rows;
        let mut bytes = 0;
        for row in self.changed_rows(prefix, since) {
            let full = rows.len() >= limits.rows || bytes >= limits.bytes;
            let last = rows.last().map(|r: &Row| r.revision);
            // The cursor is a revision, so rows of one revision must be on the same page.
            if full && last.is_some_and(|r| r < row.revision) {
                page.next = last;
                break;
            }
            bytes += row.key.0.len() + row.value.as_ref().map_or(0, Bytes::len);
            rows.push(row.clone());
        }
        page
    }

    /// Commits `txn` if all of its checks hold.
    pub fn commit(&mut self, txn: &Txn) -> Commit {
        if txn.checks.iter().all(|c| self.holds(c)) {
            return Commit::Done(self.apply(&txn.writes));
        }
        Commit::Conflict(self.checked_rows(&txn.checks))
    }

    /// Returns the rows under `prefix` that changed after `since`, sorted by revision and key.
    fn changed_rows<'a>(&'a self, prefix: &'a str, since: Revision) -> Vec<&'a Row> {
        if since == Revision(0) {
            return self.all_rows(prefix);
        }
        let first = (since.next(), RowKey(SmolStr::default()));
        self.by_revision
            .range(first..)
            .filter(|(_, key)| key.0.starts_with(prefix))
            .filter_map(|(_, key)| self.rows.get(key))
            .collect()
    }

    /// Returns all rows under `prefix`, sorted by revision and key, without scanning any other
    /// row. This is cheaper for a reader that starts from nothing or wants a single row.
    fn all_rows<'a>(&'a self, prefix: &'a str) -> Vec<&'a Row> {
        let mut rows: Vec<&Row> = self.rows_with_deleted(prefix).collect();
        // The sort is stable, so rows of one revision stay sorted by key.
        rows.sort_by_key(|r| r.revision);
        rows
    }

    /// Returns all rows under `prefix`, including deleted ones, sorted by key.
    fn rows_with_deleted<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = &'a Row> {
        self.rows
            .range(RowKey(SmolStr::new(prefix))..)
            .map(|(_, r)| r)
            .take_while(move |r| r.key.0.starts_with(prefix))
    }

    fn holds(&self, check: &Check) -> bool {
        self.row(&check.key).map(|r| r.revision) == check.revision
    }

    fn checked_rows(&self, checks: &[Check]) -> Vec<Row> {
        let keys: BTreeSet<&RowKey> = checks.iter().map(|c| &c.key).collect();
        let rows = keys.into_iter().filter_map(|k| self.row(k));
        rows.cloned().collect()
    }

    fn apply(&mut self, writes: &[Write]) -> Revision {
        let last_writes: BTreeMap<&RowKey, &Write> = writes.iter().map(|w| (&w.key, w)).collect();
        let revision = self.revision.next();
        for write in last_writes.into_values() {
            if write.value.is_none() && self.row(&write.key).is_none() {
                continue;
            }
            self.put(write, revision);
        }
        self.revision
    }

    fn put(&mut self, write: &Write, revision: Revision) {
        let key = &write.key;
        let row = Row {
            key: key.clone(),
            revision,
            value: write.value.clone(),
        };
        if let Some(old) = self.rows.insert(key.clone(), row) {
            self.by_revision.remove(&(old.revision, key.clone()));
        }
        self.by_revision.insert((revision, key.clone()));
        self.revision = revision;
    }
}
