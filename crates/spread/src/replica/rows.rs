//! Rows below one prefix, indexed by key and by revision.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

use bytes::Bytes;
use ids::Revision;
use smol_str::SmolStr;

/// The stored state of one row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct StoredRow {
    pub(super) revision: Revision,
    /// `None` if the row was deleted.
    pub(super) value: Option<Bytes>,
}

/// Position in the revision index.
pub(super) type Cursor = (Revision, SmolStr);

/// Rows below one prefix, including deleted rows; keys come without the prefix.
///
/// Invariant: `by_revision` has exactly one pair for each item.
#[derive(Debug, Clone, Default)]
pub(super) struct Rows {
    items: BTreeMap<SmolStr, StoredRow>,
    by_revision: BTreeSet<Cursor>,
}

impl Rows {
    /// Stores a row unless the stored one has the same or a higher revision.
    ///
    /// Returns the row that it replaced, or `None` if the new row was not stored.
    pub(super) fn put(&mut self, key: &SmolStr, new: StoredRow) -> Option<StoredRow> {
        let absent = StoredRow {
            revision: Revision(0),
            value: None,
        };
        let slot = self.items.entry(key.clone()).or_insert(absent);
        if slot.revision >= new.revision {
            debug_assert!(
                slot.revision > new.revision || slot.value == new.value,
                "two values of {key} at one revision"
            );
            return None;
        }
        self.by_revision.remove(&(slot.revision, key.clone()));
        self.by_revision.insert((new.revision, key.clone()));
        Some(std::mem::replace(slot, new))
    }

    pub(super) fn get(&self, key: &str) -> Option<&StoredRow> {
        self.items.get(key)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (&SmolStr, &StoredRow)> {
        self.items.iter()
    }

    /// Iterates over the rows after `cursor` in the order of their revisions.
    pub(super) fn iter_after<'a>(
        &'a self,
        cursor: &Cursor,
    ) -> impl Iterator<Item = (&'a Cursor, &'a StoredRow)> + use<'a> {
        let bounds = (Bound::Excluded(cursor.clone()), Bound::Unbounded);
        self.by_revision
            .range(bounds)
            .map(|at| (at, &self.items[&at.1]))
    }

    /// Returns the highest revision of any row.
    pub(super) fn newest_revision(&self) -> Revision {
        self.by_revision
            .last()
            .map_or(Revision(0), |(revision, _)| *revision)
    }

    /// Iterates over the keys whose entry in the revision index is wrong or missing.
    pub(super) fn misindexed(&self) -> impl Iterator<Item = &SmolStr> {
        let missing = self
            .items
            .iter()
            .filter(|(key, row)| !self.by_revision.contains(&(row.revision, (*key).clone())))
            .map(|(key, _)| key);
        let extra = self
            .by_revision
            .iter()
            .filter(|(revision, key)| self.items.get(key).is_none_or(|r| r.revision != *revision))
            .map(|(_, key)| key);
        missing.chain(extra)
    }
}

/// Returns the first position after all rows of `revision`, so that only higher revisions follow.
pub(super) fn cursor_after(revision: Revision) -> Cursor {
    // No key is empty, and all keys of `revision` sort before the next revision's.
    (revision.next(), SmolStr::default())
}
