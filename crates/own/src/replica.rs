//! This host's replica of the ownership rows.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use ids::{EntryId, Epoch, Revision, Timestamp, UpstreamId};

use crate::{EntryRow, HostRef, OwnRow};

/// A row of the replica.
#[derive(Debug, Clone)]
pub(crate) struct Known {
    pub(crate) revision: Revision,
    pub(crate) row: Arc<OwnRow>,
    /// Time at which this host first knew the row.
    pub(crate) taken: Timestamp,
    /// Time at which this host first knew the row's epoch.
    pub(crate) since: Timestamp,
    /// Uptime at `since`.
    pub(crate) awake_since: Timestamp,
}

/// Result of applying a row.
#[derive(Debug)]
pub(crate) enum Taken {
    /// The same or a later row was known.
    Stale,
    /// The row was applied. Contains the previous row, if there was one.
    News(Option<Known>),
}

/// This host's replica of the ownership rows. Only higher revisions are applied.
#[derive(Debug, Default)]
pub(crate) struct Replica {
    rows: BTreeMap<UpstreamId, Known>,
    entries: BTreeMap<EntryId, (Revision, EntryRow)>,
    /// Highest epoch reported by a row or a peer; it may be ahead of the rows.
    noted: BTreeMap<UpstreamId, Epoch>,
    deputy_of: BTreeSet<UpstreamId>,
    /// Upstreams that this host may have to claim according to their rows: they have no
    /// coordinating host, or their coordinating host or standby is in this host's domain.
    near: BTreeSet<UpstreamId>,
}

impl Replica {
    /// Applies the row of an upstream.
    pub(crate) fn take(
        &mut self,
        now: Timestamp,
        awake: Timestamp,
        me: &HostRef,
        upstream: &UpstreamId,
        revision: Revision,
        row: Arc<OwnRow>,
    ) -> Taken {
        let before = self.rows.get(upstream);
        if before.is_some_and(|b| b.revision >= revision) {
            return Taken::Stale;
        }
        let kept = before.filter(|b| b.row.epoch == row.epoch);
        let since = kept.map_or(now, |b| b.since);
        let awake_since = kept.map_or(awake, |b| b.awake_since);
        self.note(upstream, row.epoch);
        if row.deputy.as_ref().is_some_and(|d| d.is(me)) {
            self.deputy_of.insert(upstream.clone());
        } else {
            self.deputy_of.remove(upstream);
        }
        if is_near(&row, me) {
            self.near.insert(upstream.clone());
        } else {
            self.near.remove(upstream);
        }
        let known = Known {
            revision,
            row,
            taken: now,
            since,
            awake_since,
        };
        Taken::News(self.rows.insert(upstream.clone(), known))
    }

    /// Applies the row of an entry.
    pub(crate) fn take_entry(&mut self, entry: EntryId, revision: Revision, row: EntryRow) {
        let before = self.entries.get(&entry);
        if before.is_some_and(|(r, _)| *r >= revision) {
            return;
        }
        self.entries.insert(entry, (revision, row));
    }

    /// Records an epoch reported by a row or a peer.
    pub(crate) fn note(&mut self, upstream: &UpstreamId, epoch: Epoch) {
        let noted = self.noted.entry(upstream.clone()).or_default();
        *noted = epoch.max(*noted);
    }

    /// Returns the highest epoch reported by a row or a peer.
    pub(crate) fn noted(&self, upstream: &UpstreamId) -> Epoch {
        self.noted.get(upstream).copied().unwrap_or_default()
    }

    pub(crate) fn get(&self, upstream: &UpstreamId) -> Option<&Known> {
        self.rows.get(upstream)
    }

    pub(crate) fn rows(&self) -> impl Iterator<Item = (&UpstreamId, &Known)> {
        self.rows.iter()
    }

    /// Returns whether the entry's slices were assigned.
    pub(crate) fn handed_out(&self, entry: &EntryId) -> bool {
        self.entries.contains_key(entry)
    }

    /// Returns the upstreams that this host may have to claim according to their rows.
    pub(crate) const fn near(&self) -> &BTreeSet<UpstreamId> {
        &self.near
    }

    /// Returns the upstreams that this host is the standby of.
    pub(crate) const fn deputy_of(&self) -> &BTreeSet<UpstreamId> {
        &self.deputy_of
    }
}

fn is_near(row: &OwnRow, me: &HostRef) -> bool {
    let near = |h: &HostRef| h.domain == me.domain;
    let named = row.coordinator.as_ref();
    named.is_none_or(near) || row.deputy.as_ref().is_some_and(near)
}
