//! This host's replica of the ownership rows.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use ids::{EntryId, Epoch, Revision, Timestamp, UpstreamId};

use crate::{EntryRow, HostRef, OwnershipRow};

/// A row of the replica.
#[derive(Debug, Clone)]
pub(crate) struct KnownRow {
    pub(crate) revision: Revision,
    pub(crate) row: Arc<OwnershipRow>,
    /// Time at which this host first knew the row.
    pub(crate) received_at: Timestamp,
    /// Time at which this host first knew the row's epoch.
    pub(crate) epoch_since: Timestamp,
    /// Uptime at `epoch_since`.
    pub(crate) epoch_uptime: Timestamp,
}

/// Result of applying a row.
#[derive(Debug)]
pub(crate) enum RowUpdate {
    /// The same or a later row was known.
    Stale,
    /// The row was applied. Contains the previous row, if there was one.
    Applied(Option<KnownRow>),
}

/// This host's replica of the ownership rows. Only higher revisions are applied.
#[derive(Debug, Default)]
pub(crate) struct Replica {
    rows: BTreeMap<UpstreamId, KnownRow>,
    entries: BTreeMap<EntryId, (Revision, EntryRow)>,
    /// Highest epoch reported by a row or a peer; it may be ahead of the rows.
    highest_epoch: BTreeMap<UpstreamId, Epoch>,
    standby_for: BTreeSet<UpstreamId>,
    /// Upstreams that this host may have to claim according to their rows: they have no
    /// coordinating host, or their coordinating host or standby is in this host's domain.
    claim_candidates: BTreeSet<UpstreamId>,
}

impl Replica {
    /// Applies the row of an upstream.
    pub(crate) fn apply(
        &mut self,
        now: Timestamp,
        uptime: Timestamp,
        me: &HostRef,
        upstream: &UpstreamId,
        revision: Revision,
        row: Arc<OwnershipRow>,
    ) -> RowUpdate {
        let before = self.rows.get(upstream);
        if before.is_some_and(|b| b.revision >= revision) {
            return RowUpdate::Stale;
        }
        let kept = before.filter(|b| b.row.epoch == row.epoch);
        let epoch_since = kept.map_or(now, |b| b.epoch_since);
        let epoch_uptime = kept.map_or(uptime, |b| b.epoch_uptime);
        self.record_epoch(upstream, row.epoch);
        if row.deputy.as_ref().is_some_and(|d| d.is_same(me)) {
            self.standby_for.insert(upstream.clone());
        } else {
            self.standby_for.remove(upstream);
        }
        if is_claim_candidate(&row, me) {
            self.claim_candidates.insert(upstream.clone());
        } else {
            self.claim_candidates.remove(upstream);
        }
        let known = KnownRow {
            revision,
            row,
            received_at: now,
            epoch_since,
            epoch_uptime,
        };
        RowUpdate::Applied(self.rows.insert(upstream.clone(), known))
    }

    /// Applies the row of an entry.
    pub(crate) fn apply_entry(&mut self, entry: EntryId, revision: Revision, row: EntryRow) {
        let before = self.entries.get(&entry);
        if before.is_some_and(|(r, _)| *r >= revision) {
            return;
        }
        self.entries.insert(entry, (revision, row));
    }

    /// Records an epoch reported by a row or a peer.
    pub(crate) fn record_epoch(&mut self, upstream: &UpstreamId, epoch: Epoch) {
        let highest_epoch = self.highest_epoch.entry(upstream.clone()).or_default();
        *highest_epoch = epoch.max(*highest_epoch);
    }

    /// Returns the highest epoch reported by a row or a peer.
    pub(crate) fn highest_epoch(&self, upstream: &UpstreamId) -> Epoch {
        self.highest_epoch
            .get(upstream)
            .copied()
            .unwrap_or_default()
    }

    pub(crate) fn get(&self, upstream: &UpstreamId) -> Option<&KnownRow> {
        self.rows.get(upstream)
    }

    pub(crate) fn rows(&self) -> impl Iterator<Item = (&UpstreamId, &KnownRow)> {
        self.rows.iter()
    }

    /// Returns whether the entry's slices were assigned.
    pub(crate) fn is_assigned(&self, entry: &EntryId) -> bool {
        self.entries.contains_key(entry)
    }

    /// Returns the upstreams that this host may have to claim according to their rows.
    pub(crate) const fn claim_candidates(&self) -> &BTreeSet<UpstreamId> {
        &self.claim_candidates
    }

    /// Returns the upstreams that this host is the standby of.
    pub(crate) const fn standby_for(&self) -> &BTreeSet<UpstreamId> {
        &self.standby_for
    }
}

fn is_claim_candidate(row: &OwnershipRow, me: &HostRef) -> bool {
    let in_domain = |h: &HostRef| h.domain == me.domain;
    let named = row.coordinator.as_ref();
    named.is_none_or(in_domain) || row.deputy.as_ref().is_some_and(in_domain)
}
