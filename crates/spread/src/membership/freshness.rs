//! How fresh the replica is.

use std::time::Duration;

use ids::{Revision, Timestamp};

use super::event::ReadLease;
use super::peer::prefix_index;
use crate::Prefix;

/// Maximum number of read leases that wait for the replica to catch up.
const MAX_PENDING: usize = 8;

/// How fresh the replica is, by readings of the own clock.
#[derive(Debug, Default)]
pub(super) struct Freshness {
    /// When the read began that the held rows are based on, for each prefix.
    read_at: [Option<Timestamp>; 2],
    /// When a host of the own domain last read the table.
    table_reached: Option<Timestamp>,
    /// Whether the table was last reported as reachable.
    reachable: Option<bool>,
    read_lease: Option<ReadLease>,
    /// Read leases for revisions to which the replica is not complete yet.
    pending: Vec<ReadLease>,
}

impl Freshness {
    pub(super) const fn read_lease(&self) -> Option<ReadLease> {
        self.read_lease
    }

    pub(super) fn age(&self, now: Timestamp, prefix: Prefix) -> Option<Duration> {
        self.read_at[prefix_index(prefix)].map(|read_at| now.since(read_at))
    }

    /// Records that the replica holds everything committed before `began`.
    pub(super) fn record_read(&mut self, prefix: Prefix, began: Timestamp) {
        let read_at = &mut self.read_at[prefix_index(prefix)];
        *read_at = (*read_at).max(Some(began));
    }

    pub(super) const fn table_reached(&self) -> Option<Timestamp> {
        self.table_reached
    }

    /// Records that a host of the own domain read the table.
    pub(super) fn record_table_read(&mut self, when: Timestamp) {
        self.table_reached = self.table_reached.max(Some(when));
    }

    /// Returns whether the table is reachable if that changed since the last call.
    pub(super) fn update_reachable(
        &mut self,
        now: Timestamp,
        since: Timestamp,
        timeout: Duration,
    ) -> Option<bool> {
        let last = self.table_reached.unwrap_or(since);
        let reachable = now.since(last) < timeout;
        if self.reachable.unwrap_or(true) == reachable {
            return None;
        }
        self.reachable = Some(reachable);
        Some(reachable)
    }

    /// Adds a read lease, which takes effect once the replica is complete to its revision.
    pub(super) fn add_pending(&mut self, read_lease: ReadLease) {
        if self.pending.len() >= MAX_PENDING {
            self.pending.remove(0);
        }
        self.pending.push(read_lease);
    }

    /// Puts the freshest pending read lease into effect that a replica complete to `own` supports;
    /// returns it if it is fresher than the previous one.
    pub(super) fn confirm(&mut self, own: Revision) -> Option<ReadLease> {
        let confirmed = self.pending.iter().filter(|e| e.revision <= own);
        let best = confirmed.copied().max_by_key(|e| e.as_of);
        self.pending.retain(|e| e.revision > own);
        let best = best.filter(|b| self.read_lease.is_none_or(|e| e.as_of < b.as_of))?;
        self.read_lease = Some(best);
        self.record_read(Prefix::Own, best.as_of);
        Some(best)
    }
}
