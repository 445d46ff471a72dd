//! The versioned copy of the table's rows below both prefixes.
//!
//! - `rows`: rows found by key and in order of revisions.
//! - `history`: earlier states of ownership rows.
//! - `patch`: changes of ownership rows as the slices that moved.
//! - `transfer`: changes of a replica as pages for another.
//!
//! A row is named by key and revision: two hosts that hold the same revision of a row hold the
//! same content. A higher revision replaces a lower one, whatever the order in which they come.

mod history;
mod patch;
mod rows;
mod transfer;

use std::collections::BTreeMap;

use bytes::Bytes;
use ids::{Revision, UpstreamId};
use platform::{Row, RowKey};
use smol_str::{SmolStr, format_smolstr};
use thiserror::Error;

use crate::{Prefix, Watermarks};
use history::History;
use rows::Rows;

pub use patch::SliceDiff;
pub use transfer::{Intake, Pager, Taken};

/// A row that changed since the changes were last taken out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RowChange {
    /// The row as it stands, deleted if it has no value.
    pub row: Row,
    /// Its value before; nothing if there was none.
    pub before: Option<Bytes>,
}

impl RowChange {
    /// Compares the slices of an ownership row before and after.
    #[must_use]
    pub fn slices(&self) -> SliceDiff {
        SliceDiff::between(self.before.as_ref(), self.row.value.as_ref())
    }
}

/// A broken invariant of a [`Replica`].
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum Fault {
    /// A row can't be found by its revision, or stands there wrongly.
    #[error("{prefix:?} row {key}: wrong place in the order of revisions")]
    Misplaced {
        /// Prefix.
        prefix: Prefix,
        /// Key without the prefix.
        key: SmolStr,
    },
    /// A row has no revision.
    #[error("{prefix:?} row {key}: no revision")]
    NoRevision {
        /// Prefix.
        prefix: Prefix,
        /// Key without the prefix.
        key: SmolStr,
    },
}

/// A host's copy of the rows below both prefixes.
///
/// Rows may come in any order and repeatedly; a lower revision never replaces a higher one.
#[derive(Debug, Clone, Default)]
pub struct Replica {
    marks: Watermarks,
    catalogue: Rows,
    own: Rows,
    history: History,
    /// Keys that changed, with their values before.
    changed: BTreeMap<(Prefix, SmolStr), Option<Bytes>>,
}

impl Replica {
    /// Creates an empty replica.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the revisions to which the replica is complete.
    #[must_use]
    pub const fn complete_up_to(&self) -> Watermarks {
        self.marks
    }

    /// Returns the highest revision of any row below a prefix, whether or not the replica is
    /// complete to it.
    #[must_use]
    pub fn newest(&self, prefix: Prefix) -> Revision {
        self.rows(prefix).newest()
    }

    /// Iterates over the rows below a prefix that exist, by key without the prefix.
    pub fn iter(&self, prefix: Prefix) -> impl Iterator<Item = (&str, Revision, &Bytes)> {
        self.rows(prefix).iter().filter_map(|(key, row)| {
            row.value
                .as_ref()
                .map(|value| (key.as_str(), row.revision, value))
        })
    }

    /// Returns a row below a prefix by its key without the prefix; a deleted one has no value.
    #[must_use]
    pub fn get(&self, prefix: Prefix, key: &str) -> Option<(Revision, Option<&Bytes>)> {
        let row = self.rows(prefix).get(key)?;
        Some((row.revision, row.value.as_ref()))
    }

    /// Returns an upstream's ownership row and its revision, if there is one.
    #[must_use]
    pub fn own_row(&self, upstream: &UpstreamId) -> Option<(Revision, &Bytes)> {
        let (revision, value) = self.get(Prefix::Own, upstream.as_str())?;
        value.map(|value| (revision, value))
    }

    /// Takes rows that were read or committed one by one; claims no completeness.
    ///
    /// Returns whether anything changed.
    pub fn take_rows(&mut self, rows: &[Row]) -> bool {
        let mut changed = false;
        for row in rows {
            changed |= self.put_row(row);
        }
        changed
    }

    /// Takes all changes below `prefix` after `since`, read from the table at `revision`.
    ///
    /// The replica is complete to `revision` afterwards if it was complete to `since`. Returns
    /// whether any row changed.
    pub fn take_changes(
        &mut self,
        prefix: Prefix,
        since: Revision,
        revision: Revision,
        rows: &[Row],
    ) -> bool {
        let changed = self.take_rows(rows);
        if since <= self.marks.get(prefix) {
            self.marks.raise(prefix, revision);
        }
        changed
    }

    /// Tells whether rows below a prefix changed since the changes were last taken out.
    #[must_use]
    pub fn has_log(&self, prefix: Prefix) -> bool {
        let first = (prefix, SmolStr::default());
        let next = self.changed.range(first..).next();
        next.is_some_and(|((p, _), _)| *p == prefix)
    }

    /// Tells whether a row below a prefix is above `revision`.
    #[must_use]
    pub fn has_rows_past(&self, prefix: Prefix, revision: Revision) -> bool {
        self.newest(prefix) > revision
    }

    /// Takes out the rows that changed since the last call, by prefix and key.
    #[must_use]
    pub fn take_log(&mut self) -> Vec<RowChange> {
        let changed = std::mem::take(&mut self.changed);
        let describe = |((prefix, key), before): ((Prefix, SmolStr), Option<Bytes>)| {
            let row = self.rows(prefix).get(&key)?;
            let row = Row {
                key: RowKey(format_smolstr!("{}{key}", prefix.as_str())),
                revision: row.revision,
                value: row.value.clone(),
            };
            Some(RowChange { row, before })
        };
        changed.into_iter().filter_map(describe).collect()
    }

    /// Checks all invariants and returns every fault.
    #[must_use]
    pub fn verify(&self) -> Vec<Fault> {
        let mut faults = Vec::new();
        for prefix in Prefix::ALL {
            let rows = self.rows(prefix);
            faults.extend(rows.misplaced().map(|key| Fault::Misplaced {
                prefix,
                key: key.clone(),
            }));
            let unnumbered = rows.iter().filter(|(_, row)| row.revision.0 == 0);
            faults.extend(unnumbered.map(|(key, _)| Fault::NoRevision {
                prefix,
                key: key.clone(),
            }));
        }
        faults
    }

    const fn rows(&self, prefix: Prefix) -> &Rows {
        match prefix {
            Prefix::Catalogue => &self.catalogue,
            Prefix::Own => &self.own,
        }
    }

    const fn rows_mut(&mut self, prefix: Prefix) -> &mut Rows {
        match prefix {
            Prefix::Catalogue => &mut self.catalogue,
            Prefix::Own => &mut self.own,
        }
    }

    fn log(&mut self, prefix: Prefix, key: SmolStr, before: Option<Bytes>) {
        self.changed.entry((prefix, key)).or_insert(before);
    }
}
