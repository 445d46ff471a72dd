//! Rows below one prefix, found by key and in order of their revisions.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

use bytes::Bytes;
use ids::Revision;
use smol_str::SmolStr;

/// One row as it is kept.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Stored {
    pub(super) revision: Revision,
    /// Nothing if the row was deleted.
    pub(super) value: Option<Bytes>,
}

/// Position in the order of revisions.
pub(super) type Cursor = (Revision, SmolStr);

/// Rows below one prefix, deleted ones included; keys stand without the prefix.
///
/// Invariant: `by_revision` has exactly one pair for each item.
#[derive(Debug, Clone, Default)]
pub(super) struct Rows {
    items: BTreeMap<SmolStr, Stored>,
    by_revision: BTreeSet<Cursor>,
}

impl Rows {
    /// Puts a row unless one of the same or a higher revision is there.
    ///
    /// Returns the row that it replaced, or `None` if it did not take the row.
    pub(super) fn put(&mut self, key: &SmolStr, new: Stored) -> Option<Stored> {
        let absent = Stored {
            revision: Revision(0),
            value: None,
        };
        let slot = self.items.entry(key.clone()).or_insert(absent);
        if slot.revision >= new.revision {
            debug_assert!(
                slot.revision > new.revision || slot.value == new.value,
                "two contents of {key} at one revision"
            );
            return None;
        }
        self.by_revision.remove(&(slot.revision, key.clone()));
        self.by_revision.insert((new.revision, key.clone()));
        Some(std::mem::replace(slot, new))
    }

    pub(super) fn get(&self, key: &str) -> Option<&Stored> {
        self.items.get(key)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (&SmolStr, &Stored)> {
        self.items.iter()
    }

    /// Iterates in order of revisions over the rows past `cursor`.
    pub(super) fn past<'a>(
        &'a self,
        cursor: &Cursor,
    ) -> impl Iterator<Item = (&'a Cursor, &'a Stored)> + use<'a> {
        let bounds = (Bound::Excluded(cursor.clone()), Bound::Unbounded);
        self.by_revision
            .range(bounds)
            .map(|at| (at, &self.items[&at.1]))
    }

    /// Returns the highest revision of any row.
    pub(super) fn newest(&self) -> Revision {
        self.by_revision
            .last()
            .map_or(Revision(0), |(revision, _)| *revision)
    }

    /// Iterates over the keys whose place in the order of revisions is wrong or missing.
    pub(super) fn misplaced(&self) -> impl Iterator<Item = &SmolStr> {
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

/// The first position past all rows of `revision`, so that only higher ones follow.
pub(super) fn after(revision: Revision) -> Cursor {
    // No key is empty, and all keys of `revision` sort before the next revision's.
    (revision.next(), SmolStr::default())
}
