//! The versioned copy of the table's rows below both prefixes.
//!
//! - `rows`: rows indexed by key and by revision.
//! - `history`: earlier states of ownership rows.
//! - `patch`: changes of ownership rows, encoded as the slices that differ.
//! - `transfer`: changes of a replica, split into pages for another replica.
//!
//! A row state is identified by key and revision: two hosts that hold the same revision of a row
//! hold the same content. A higher revision replaces a lower one, in whatever order they arrive.

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
pub use transfer::{IncomingTransfer, OutgoingTransfer, PageOutcome};

/// A row that changed since the changed rows were last taken.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RowChange {
    /// The current row; a deleted row has no value.
    pub row: Row,
    /// The previous value, or `None` if there was none.
    pub before: Option<Bytes>,
}

impl RowChange {
    /// Compares the slices of an ownership row before and after the change.
    #[must_use]
    pub fn slice_diff(&self) -> SliceDiff {
        SliceDiff::between(self.before.as_ref(), self.row.value.as_ref())
    }
}

/// A broken invariant of a [`Replica`].
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ReplicaFault {
    /// The revision index lacks the row or lists it at a wrong revision.
    #[error("{prefix:?} row {key}: missing from the revision index, or wrong in it")]
    Misindexed {
        /// Prefix of the row.
        prefix: Prefix,
        /// Key without the prefix.
        key: SmolStr,
    },
    /// A row has revision zero.
    #[error("{prefix:?} row {key}: no revision")]
    NoRevision {
        /// Prefix of the row.
        prefix: Prefix,
        /// Key without the prefix.
        key: SmolStr,
    },
}

/// A host's copy of the rows below both prefixes.
///
/// Rows may arrive in any order and more than once; a lower revision never replaces a higher one.
#[derive(Debug, Clone, Default)]
pub struct Replica {
    watermarks: Watermarks,
    catalogue: Rows,
    own: Rows,
    history: History,
    /// Keys that changed, with their previous values.
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
        self.watermarks
    }

    /// Returns the highest revision of any row below a prefix, whether or not the replica is
    /// complete to it.
    #[must_use]
    pub fn newest_revision(&self, prefix: Prefix) -> Revision {
        self.rows(prefix).newest_revision()
    }

    /// Iterates over the existing rows below a prefix in key order; keys come without the prefix.
    pub fn iter(&self, prefix: Prefix) -> impl Iterator<Item = (&str, Revision, &Bytes)> {
        self.rows(prefix).iter().filter_map(|(key, row)| {
            row.value
                .as_ref()
                .map(|value| (key.as_str(), row.revision, value))
        })
    }

    /// Returns a row below a prefix by its key without the prefix; a deleted row has no value.
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

    /// Applies rows that were read or committed individually; leaves the watermarks unchanged.
    ///
    /// Returns whether anything changed.
    pub fn apply_rows(&mut self, rows: &[Row]) -> bool {
        let mut changed = false;
        for row in rows {
            changed |= self.put_row(row);
        }
        changed
    }

    /// Applies all changes below `prefix` after `since`, read from the table at `revision`.
    ///
    /// Afterwards the replica is complete to `revision` if it was complete to `since`. Returns
    /// whether any row changed.
    pub fn apply_changes(
        &mut self,
        prefix: Prefix,
        since: Revision,
        revision: Revision,
        rows: &[Row],
    ) -> bool {
        let changed = self.apply_rows(rows);
        if since <= self.watermarks.get(prefix) {
            self.watermarks.raise(prefix, revision);
        }
        changed
    }

    /// Returns whether rows below a prefix changed since the changed rows were last taken.
    #[must_use]
    pub fn has_changed_rows(&self, prefix: Prefix) -> bool {
        let first = (prefix, SmolStr::default());
        let next = self.changed.range(first..).next();
        next.is_some_and(|((p, _), _)| *p == prefix)
    }

    /// Returns whether any row below a prefix has a revision above `revision`.
    #[must_use]
    pub fn has_rows_after(&self, prefix: Prefix, revision: Revision) -> bool {
        self.newest_revision(prefix) > revision
    }

    /// Takes the rows that changed since the last call, in the order of prefix and key.
    #[must_use]
    pub fn take_changed_rows(&mut self) -> Vec<RowChange> {
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

    /// Checks all invariants and returns every fault found.
    #[must_use]
    pub fn verify(&self) -> Vec<ReplicaFault> {
        let mut faults = Vec::new();
        for prefix in Prefix::ALL {
            let rows = self.rows(prefix);
            faults.extend(rows.misindexed().map(|key| ReplicaFault::Misindexed {
                prefix,
                key: key.clone(),
            }));
            let without_revision = rows.iter().filter(|(_, row)| row.revision.0 == 0);
            faults.extend(without_revision.map(|(key, _)| ReplicaFault::NoRevision {
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

    fn record_change(&mut self, prefix: Prefix, key: SmolStr, before: Option<Bytes>) {
        self.changed.entry((prefix, key)).or_insert(before);
    }
}
