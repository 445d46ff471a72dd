//! Transfers of changes from one replica to another, in pages.
//!
//! A transfer lists every row after `since` in the order of revisions. Rows that change during the
//! transfer move to the end of that order, so each is listed in its latest state. The receiver
//! becomes complete to the revision to which the sender was complete when the transfer began, and
//! no further.

use bytes::Bytes;
use ids::Revision;
use prost::Message;
use smol_str::SmolStr;
use wire::control;

use super::rows::{Cursor, StoredRow, cursor_after};
use super::{Replica, patch};
use crate::Prefix;

/// State of a transfer to another replica.
#[derive(Debug, Clone)]
pub struct OutgoingTransfer {
    id: u64,
    prefix: Prefix,
    since: Revision,
    up_to: Revision,
    whole_rows: bool,
    cursor: Cursor,
    next_page: u32,
    done: bool,
}

impl OutgoingTransfer {
    /// Returns whether the last page was built.
    #[must_use]
    pub const fn is_done(&self) -> bool {
        self.done
    }

    /// Returns the revision to which a receiver of all pages is complete.
    #[must_use]
    pub const fn up_to(&self) -> Revision {
        self.up_to
    }

    /// Returns the prefix whose rows are transferred.
    #[must_use]
    pub const fn prefix(&self) -> Prefix {
        self.prefix
    }
}

/// State of a transfer from another replica.
#[derive(Debug, Clone, Copy, Default)]
pub struct IncomingTransfer {
    id: u64,
    since: Revision,
    up_to: Revision,
    next_page: u32,
    /// Whether all pages so far arrived in order and could be applied.
    intact: bool,
}

/// The result of applying a page.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PageOutcome {
    /// Whether the replica is now complete to a higher revision.
    pub watermark_raised: bool,
    /// Whether a patch did not fit, so that whole rows must be requested from the sender.
    pub patch_rejected: bool,
}

impl Replica {
    /// Begins a transfer to a replica that is complete to `since`.
    ///
    /// `id` identifies the transfer among those on the same connection; with `whole_rows` it
    /// carries whole rows instead of patches.
    #[must_use]
    pub fn begin_transfer(
        &self,
        id: u64,
        prefix: Prefix,
        since: Revision,
        whole_rows: bool,
    ) -> OutgoingTransfer {
        OutgoingTransfer {
            id,
            prefix,
            since,
            up_to: self.watermarks.get(prefix).max(since),
            whole_rows,
            cursor: cursor_after(since),
            next_page: 0,
            done: false,
        }
    }

    /// Builds the next page of a transfer, of about `max_bytes` at most, but with at least one row
    /// if any is left.
    ///
    /// # Panics
    ///
    /// Panics in debug builds if the transfer is done.
    pub fn build_page(&self, transfer: &mut OutgoingTransfer, max_bytes: usize) -> control::Delta {
        debug_assert!(!transfer.done, "build_page called after the last page");
        let mut delta = control::Delta {
            prefix: transfer.prefix.to_wire(),
            since: transfer.since.0,
            up_to: transfer.up_to.0 - transfer.since.0,
            page: transfer.next_page,
            ..control::Delta::default()
        };
        let mut bytes = 0;
        for (at, row) in self.rows(transfer.prefix).iter_after(&transfer.cursor) {
            if bytes >= max_bytes {
                delta.more = true;
                break;
            }
            bytes += self.add_row(transfer, &at.1, row, &mut delta);
            transfer.cursor = at.clone();
        }
        if delta.more || delta.page > 0 {
            delta.transfer = transfer.id;
        }
        transfer.next_page += 1;
        transfer.done = !delta.more;
        delta
    }

    /// Adds a row to a page and returns its encoded size in bytes.
    fn add_row(
        &self,
        transfer: &OutgoingTransfer,
        key: &SmolStr,
        row: &StoredRow,
        to: &mut control::Delta,
    ) -> usize {
        let revision = row.revision.0 - transfer.since.0;
        if let Some(patch) = self.build_patch(transfer, key, row) {
            let patch = control::Patch {
                key: key.to_string(),
                revision,
                ..patch
            };
            let bytes = patch.encoded_len();
            to.patches.push(patch);
            return bytes;
        }
        let row = control::Row {
            key: key.to_string(),
            revision,
            value: row.value.clone(),
        };
        let bytes = row.encoded_len();
        to.rows.push(row);
        bytes
    }

    /// Builds the patch from the state that the receiver must hold, or from an empty row.
    fn build_patch(
        &self,
        transfer: &OutgoingTransfer,
        key: &SmolStr,
        row: &StoredRow,
    ) -> Option<control::Patch> {
        let value = row.value.as_ref()?;
        if transfer.prefix != Prefix::Own {
            return None;
        }
        let base = (!transfer.whole_rows)
            .then(|| self.history.state_at(key, transfer.since))
            .flatten();
        let (at, state) = base.map_or((Revision(0), &[][..]), |(at, b)| (at, b.as_ref()));
        let patch = patch::build(state, value)?;
        Some(control::Patch {
            from: transfer.since.0 - at.0,
            ..patch
        })
    }

    /// Applies a page that another replica built.
    ///
    /// Pages of one transfer share one `incoming`. The replica is complete to the end of the
    /// transfer only if it was complete to its start and received all pages in order.
    pub fn apply_delta(
        &mut self,
        incoming: &mut IncomingTransfer,
        delta: &control::Delta,
    ) -> PageOutcome {
        let Some(prefix) = Prefix::from_wire(delta.prefix) else {
            return PageOutcome::default();
        };
        let since = Revision(delta.since);
        let up_to = Revision(delta.since.saturating_add(delta.up_to));
        incoming.advance(delta, since, up_to);
        let mut patch_rejected = false;
        for row in &delta.rows {
            let revision = Revision(delta.since.saturating_add(row.revision));
            self.put(prefix, &row.key, revision, row.value.clone());
        }
        for patch in &delta.patches {
            patch_rejected |= !self.apply_patch(since, patch);
        }
        incoming.intact &= !patch_rejected;
        let complete = incoming.intact && !delta.more && since <= self.watermarks.get(prefix);
        let watermark_raised = complete && self.watermarks.raise(prefix, up_to);
        PageOutcome {
            watermark_raised,
            patch_rejected,
        }
    }

    /// Applies a patch; returns whether the replica now holds the resulting state or a later one.
    fn apply_patch(&mut self, since: Revision, patch: &control::Patch) -> bool {
        let revision = Revision(since.0.saturating_add(patch.revision));
        let held = self.own.get(&patch.key);
        if held.is_some_and(|row| row.revision >= revision) {
            return true;
        }
        let Some(from) = since.0.checked_sub(patch.from) else {
            return false;
        };
        let base = match held {
            _ if from == 0 => Some(&[][..]),
            Some(row) if row.revision.0 == from => row.value.as_deref(),
            _ => None,
        };
        let Some(value) = base.and_then(|base| patch::apply(base, patch)) else {
            return false;
        };
        self.put(Prefix::Own, &patch.key, revision, Some(value));
        true
    }

    fn put(&mut self, prefix: Prefix, key: &str, revision: Revision, value: Option<Bytes>) -> bool {
        let key = SmolStr::new(key);
        if key.is_empty() {
            return false;
        }
        let Some(old) = self
            .rows_mut(prefix)
            .put(&key, StoredRow { revision, value })
        else {
            return false;
        };
        if let (Prefix::Own, Some(value)) = (prefix, &old.value) {
            self.history.insert(&key, old.revision, value.clone());
        }
        self.record_change(prefix, key, old.value);
        true
    }

    pub(super) fn put_row(&mut self, row: &platform::Row) -> bool {
        let Some((prefix, key)) = Prefix::split(&row.key.0) else {
            return false;
        };
        self.put(prefix, key, row.revision, row.value.clone())
    }
}

impl IncomingTransfer {
    /// Continues the current transfer if the page is its next one, or starts tracking a new
    /// transfer.
    fn advance(&mut self, delta: &control::Delta, since: Revision, up_to: Revision) {
        let continues = delta.page == self.next_page
            && delta.transfer == self.id
            && since == self.since
            && up_to == self.up_to
            && self.intact;
        *self = Self {
            id: delta.transfer,
            since,
            up_to,
            next_page: delta.page.saturating_add(1),
            intact: continues || delta.page == 0,
        };
    }
}
