//! The versioned copy of the table's rows below both prefixes.

use bytes::Bytes;
use ids::{EntryId, Revision, SliceNo, UpstreamId};
use platform::Row;

use crate::{Prefix, Watermarks};

/// An ownership row put together again from head and slices.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OwnRowView<'a> {
    /// Upstream.
    pub upstream: &'a UpstreamId,
    /// Revision of the row, for compare-and-set. It is the row's own if the replica is
    /// complete, and may be lower else.
    pub revision: Revision,
    /// The encoded row with its list of slices left empty.
    pub head: &'a Bytes,
}

/// A host's copy of the rows below both prefixes.
///
/// Rows may come in any order and repeatedly; a lower revision never replaces a higher one.
#[derive(Debug, Clone, Default)]
pub struct Replica {
    marks: Watermarks,
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

    /// Returns the value of a row of the catalogue by its key without the prefix.
    #[must_use]
    pub fn catalogue_row(&self, _key: &str) -> Option<(Revision, &Bytes)> {
        None
    }

    /// Iterates over the catalogue's rows (those that exist) by key without the prefix.
    pub fn catalogue(&self) -> impl Iterator<Item = (&str, Revision, &Bytes)> {
        std::iter::empty()
    }

    /// Iterates over the heads of the ownership rows that exist, by upstream.
    pub fn own(&self) -> impl Iterator<Item = OwnRowView<'_>> {
        std::iter::empty()
    }

    /// Returns the head of an upstream's ownership row, if there is one.
    #[must_use]
    pub fn own_row(&self, _upstream: &UpstreamId) -> Option<OwnRowView<'_>> {
        None
    }

    /// Iterates over the slices that an upstream owns, by entry and slice.
    pub fn slices_of(&self, _upstream: &UpstreamId) -> impl Iterator<Item = (&EntryId, SliceNo)> {
        std::iter::empty()
    }

    /// Iterates over all owned slices of an entry with their upstreams, by slice.
    pub fn slices(&self, _entry: &EntryId) -> impl Iterator<Item = (SliceNo, &UpstreamId)> {
        std::iter::empty()
    }

    /// Returns the upstream that owns a slice, as far as is known.
    #[must_use]
    pub fn owner(&self, _entry: &EntryId, _slice: SliceNo) -> Option<&UpstreamId> {
        None
    }

    /// Takes rows that were read or committed one by one; claims no completeness.
    ///
    /// Returns whether anything changed.
    pub fn take_rows(&mut self, _rows: &[Row]) -> bool {
        false
    }

    /// Takes all changes below `prefix` after `since`, read from the table at `revision`.
    ///
    /// Returns whether anything changed.
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
}
