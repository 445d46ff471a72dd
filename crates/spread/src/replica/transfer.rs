//! Changes of a replica as pages for another, and taking them.
//!
//! A transfer lists, in order of revisions, every row past `since`. Rows that change while it
//! runs move to the end of that order, so each is listed in the state that counts; the transfer
//! claims no more than what the sender was complete to when it began.

use bytes::Bytes;
use ids::Revision;
use prost::Message;
use smol_str::SmolStr;
use wire::control;

use super::rows::{Cursor, Stored, after};
use super::{Replica, patch};
use crate::Prefix;

/// Where a transfer to another replica stands.
#[derive(Debug, Clone)]
pub struct Pager {
    transfer: u64,
    prefix: Prefix,
    since: Revision,
    up_to: Revision,
    whole: bool,
    cursor: Cursor,
    next_page: u32,
    done: bool,
}

impl Pager {
    /// Tells whether the last page was given out.
    #[must_use]
    pub const fn is_done(&self) -> bool {
        self.done
    }

    /// Returns the revision to which a receiver of all pages is complete.
    #[must_use]
    pub const fn up_to(&self) -> Revision {
        self.up_to
    }

    /// Returns the prefix.
    #[must_use]
    pub const fn prefix(&self) -> Prefix {
        self.prefix
    }
}

/// Where a transfer from another replica stands.
#[derive(Debug, Clone, Copy, Default)]
pub struct Intake {
    transfer: u64,
    since: Revision,
    up_to: Revision,
    next_page: u32,
    /// Whether all pages so far came, in order, and could be applied.
    sound: bool,
}

/// What became of a page.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Taken {
    /// Whether the replica is complete to a higher revision now.
    pub raised: bool,
    /// Whether a patch did not fit: the sender must be asked for whole rows.
    pub misfit: bool,
}

impl Replica {
    /// Begins a transfer to a replica that is complete to `since`.
    ///
    /// `transfer` tells it from the others on the same connection; `whole` asks for whole rows
    /// in place of patches.
    #[must_use]
    pub fn pager(&self, transfer: u64, prefix: Prefix, since: Revision, whole: bool) -> Pager {
        Pager {
            transfer,
            prefix,
            since,
            up_to: self.marks.get(prefix).max(since),
            whole,
            cursor: after(since),
            next_page: 0,
            done: false,
        }
    }

    /// Returns the next page of a transfer, of about `max_bytes` at most but one row at least.
    ///
    /// # Panics
    ///
    /// Panics in debug builds if the transfer is done.
    pub fn page(&self, pager: &mut Pager, max_bytes: usize) -> control::Delta {
        debug_assert!(!pager.done, "a transfer ends with its last page");
        let mut delta = control::Delta {
            prefix: pager.prefix.to_wire(),
            since: pager.since.0,
            up_to: pager.up_to.0 - pager.since.0,
            page: pager.next_page,
            ..control::Delta::default()
        };
        let mut bytes = 0;
        for (at, row) in self.rows(pager.prefix).past(&pager.cursor) {
            if bytes >= max_bytes {
                delta.more = true;
                break;
            }
            bytes += self.list(pager, &at.1, row, &mut delta);
            pager.cursor = at.clone();
        }
        if delta.more || delta.page > 0 {
            delta.transfer = pager.transfer;
        }
        pager.next_page += 1;
        pager.done = !delta.more;
        delta
    }

    /// Lists a row on a page and returns how many bytes that takes.
    fn list(&self, pager: &Pager, key: &SmolStr, row: &Stored, to: &mut control::Delta) -> usize {
        let revision = row.revision.0 - pager.since.0;
        if let Some(patch) = self.patch_of(pager, key, row) {
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

    /// Builds the patch from the state that the receiver must hold, or from nothing.
    fn patch_of(&self, pager: &Pager, key: &SmolStr, row: &Stored) -> Option<control::Patch> {
        let value = row.value.as_ref()?;
        if pager.prefix != Prefix::Own {
            return None;
        }
        let base = (!pager.whole)
            .then(|| self.history.state_at(key, pager.since))
            .flatten();
        let (at, state) = base.map_or((Revision(0), &[][..]), |(at, b)| (at, b.as_ref()));
        let patch = patch::build(state, value)?;
        Some(control::Patch {
            from: pager.since.0 - at.0,
            ..patch
        })
    }

    /// Takes a page that another replica gave out.
    ///
    /// Pages of one transfer share one `intake`; the replica is complete to what the transfer
    /// claims only if it was complete to its start and took all pages in order.
    pub fn take_delta(&mut self, intake: &mut Intake, delta: &control::Delta) -> Taken {
        let Some(prefix) = Prefix::from_wire(delta.prefix) else {
            return Taken::default();
        };
        let since = Revision(delta.since);
        let up_to = Revision(delta.since.saturating_add(delta.up_to));
        intake.turn_to(delta, since, up_to);
        let mut misfit = false;
        for row in &delta.rows {
            let revision = Revision(delta.since.saturating_add(row.revision));
            self.put(prefix, &row.key, revision, row.value.clone());
        }
        for patch in &delta.patches {
            misfit |= !self.take_patch(since, patch);
        }
        intake.sound &= !misfit;
        let complete = intake.sound && !delta.more && since <= self.marks.get(prefix);
        let raised = complete && self.marks.raise(prefix, up_to);
        Taken { raised, misfit }
    }

    /// Returns whether the state that the patch gives, or a later one, is held now.
    fn take_patch(&mut self, since: Revision, patch: &control::Patch) -> bool {
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
        let Some(old) = self.rows_mut(prefix).put(&key, Stored { revision, value }) else {
            return false;
        };
        if let (Prefix::Own, Some(value)) = (prefix, &old.value) {
            self.history.keep(&key, old.revision, value.clone());
        }
        self.log(prefix, key, old.value);
        true
    }

    pub(super) fn put_row(&mut self, row: &platform::Row) -> bool {
        let Some((prefix, key)) = Prefix::split(&row.key.0) else {
            return false;
        };
        self.put(prefix, key, row.revision, row.value.clone())
    }
}

impl Intake {
    /// Goes on with the transfer that the page belongs to, or turns to a new one.
    fn turn_to(&mut self, delta: &control::Delta, since: Revision, up_to: Revision) {
        let goes_on = delta.page == self.next_page
            && delta.transfer == self.transfer
            && since == self.since
            && up_to == self.up_to
            && self.sound;
        *self = Self {
            transfer: delta.transfer,
            since,
            up_to,
            next_page: delta.page.saturating_add(1),
            sound: goes_on || delta.page == 0,
        };
    }
}
