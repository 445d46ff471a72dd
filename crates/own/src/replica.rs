//! Ownership rows as this host knows them.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use ids::{EntryId, Epoch, Revision, Timestamp, UpstreamId};

use crate::{EntryRow, HostRef, OwnRow};

/// A row as this host knows it.
#[derive(Debug, Clone)]
pub(crate) struct Known {
    pub(crate) revision: Revision,
    pub(crate) row: Arc<OwnRow>,
    /// When this host first knew the row.
    pub(crate) taken: Timestamp,
    /// When this host first knew the row's epoch.
    pub(crate) since: Timestamp,
    /// The same in awake time.
    pub(crate) awake_since: Timestamp,
}

/// What became of a row that came in.
#[derive(Debug)]
pub(crate) enum Taken {
    /// The same or a later one was known.
    Stale,
    /// It was taken in; the row before, if there was one.
    News(Option<Known>),
}

/// Ownership rows as this host knows them; only higher revisions are taken in.
#[derive(Debug, Default)]
pub(crate) struct Replica {
    rows: BTreeMap<UpstreamId, Known>,
    entries: BTreeMap<EntryId, (Revision, EntryRow)>,
    /// Highest epoch that a peer spoke of; it may be ahead of the rows.
    noted: BTreeMap<UpstreamId, Epoch>,
    deputy_of: BTreeSet<UpstreamId>,
    /// Upstreams that this host may have to claim by their rows: nobody coordinates them, or a host
    /// of the own domain is coordinator or deputy.
    near: BTreeSet<UpstreamId>,
}

impl Replica {
    /// Takes in an upstream's row.
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

    /// Takes in an entry's row.
    pub(crate) fn take_entry(&mut self, entry: EntryId, revision: Revision, row: EntryRow) {
        let before = self.entries.get(&entry);
        if before.is_some_and(|(r, _)| *r >= revision) {
            return;
        }
        self.entries.insert(entry, (revision, row));
    }

    /// Notes an epoch that a peer spoke of.
    pub(crate) fn note(&mut self, upstream: &UpstreamId, epoch: Epoch) {
        let noted = self.noted.entry(upstream.clone()).or_default();
        *noted = epoch.max(*noted);
    }

    /// Returns the highest epoch that a row or a peer spoke of.
    pub(crate) fn noted(&self, upstream: &UpstreamId) -> Epoch {
        self.noted.get(upstream).copied().unwrap_or_default()
    }

    pub(crate) fn get(&self, upstream: &UpstreamId) -> Option<&Known> {
        self.rows.get(upstream)
    }

    pub(crate) fn rows(&self) -> impl Iterator<Item = (&UpstreamId, &Known)> {
        self.rows.iter()
    }

    /// Tells whether the entry's slices were handed out.
    pub(crate) fn handed_out(&self, entry: &EntryId) -> bool {
        self.entries.contains_key(entry)
    }

    /// Returns the upstreams that this host may have to claim by their rows.
    pub(crate) const fn near(&self) -> &BTreeSet<UpstreamId> {
        &self.near
    }

    /// Returns the upstreams that this host is deputy of.
    pub(crate) const fn deputy_of(&self) -> &BTreeSet<UpstreamId> {
        &self.deputy_of
    }
}

fn is_near(row: &OwnRow, me: &HostRef) -> bool {
    let near = |h: &HostRef| h.domain == me.domain;
    let named = row.coordinator.as_ref();
    named.is_none_or(near) || row.deputy.as_ref().is_some_and(near)
}
