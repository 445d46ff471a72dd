//! What follows when the store returns from a copy that is some seconds old.
//!
//! The store has then lost what was written since, so that no host can know from it who owned which
//! keys. Each era of the store has rows of its own, which are made of what a host knows of the earlier
//! era. Until no grant of that era can be valid any more, only the host that granted then goes on
//! renewing its grants, and no keys move; then all ranges get fencing tokens of the new era.

use std::collections::HashSet;
use std::time::Duration;

use ids::{HostId, Revision, StoreEra, Timestamp};

use super::PartitionLeaseManager;
use crate::grant_call::Action;
use crate::read_lease::ReadLease;
use crate::row::{PartitionRow, PreviousGranter, Recovery};

/// What a host knows of the store's era, and of grants of the era before.
#[derive(Debug, Default)]
pub(super) struct EraRecovery {
    /// The store's era.
    era: StoreEra,
    /// When this host learned of it. Grants of earlier eras count from a read before then.
    since: Timestamp,
    /// Whether hosts may have granted in an earlier era.
    may_follow_another: bool,
    /// Until when this host renews the grants that it made in the era before.
    renews_until: Timestamp,
    /// Hosts that have confirmed that they grant nothing by rows before the one by which this host
    /// grants.
    confirmed: HashSet<HostId>,
    /// When the last grants of all hosts that confirmed it have expired, once all have.
    expired_at: Option<Timestamp>,
    /// When this host may next try to write a row.
    next_try_at: Timestamp,
}

/// Time between two attempts to write a row: a commit of a slow store.
const TRY_EVERY: Duration = Duration::from_millis(300);

impl EraRecovery {
    /// Forgets confirmations, which concern the row by which this host granted before.
    pub(super) fn start_granting(&mut self) {
        self.confirmed.clear();
        self.expired_at = None;
    }
}

/// Returns `row` as the first one of another era.
pub(super) fn recovered_row(mut row: PartitionRow, recovery: Recovery) -> PartitionRow {
    // The clocks of two eras are not comparable.
    for previous in &mut row.previous_granters {
        previous.replaced_by_ms = None;
    }
    row.recovery = Some(recovery);
    row
}

impl PartitionLeaseManager {
    /// Records that the store is in `era`, which this host has known `since`; `may_follow_another` says
    /// whether hosts may have granted in an earlier one.
    pub fn begin_era(&mut self, since: Timestamp, era: StoreEra, may_follow_another: bool) {
        if era > self.recovery.era {
            self.recovery.era = era;
            self.recovery.since = since;
            self.recovery.may_follow_another = may_follow_another;
        }
    }

    /// Returns the store's era.
    #[must_use]
    pub(super) const fn era(&self) -> StoreEra {
        self.recovery.era
    }

    /// Returns whether the known row is one of an earlier era.
    #[must_use]
    pub fn is_row_of_past_era(&self) -> bool {
        self.revision().is_some_and(|r| r.era() < self.recovery.era)
    }

    /// Returns whether the known row is one of the store's era, and no grant of an earlier one can be
    /// valid.
    #[must_use]
    pub fn is_recovered(&self) -> bool {
        !self.is_row_of_past_era() && self.row().is_some_and(|row| row.recovery.is_none())
    }

    /// Returns `row`, which divides the keys for the first time, as the first one of the era.
    ///
    /// The store may have lost an earlier one.
    pub(super) fn first_row_of_era(&self, mut row: PartitionRow) -> PartitionRow {
        if self.recovery.era == StoreEra::default() {
            return row;
        }
        row.renew_tokens(self.recovery.era);
        row.recovery = self.recovery.may_follow_another.then_some(Recovery::Waits);
        row
    }

    /// Prepares for the first row of another era.
    pub(super) fn leave_era(&mut self, now: Timestamp) {
        let may_renew = self.may_grant(now);
        let lease_end = self.read_lease.end(self.cfg.read_lease);
        self.recovery.renews_until = lease_end.filter(|_| may_renew).unwrap_or_default();
        self.read_lease = ReadLease::default();
    }

    /// Returns whether this host may grant keys by the known row.
    pub(super) fn may_grant(&self, now: Timestamp) -> bool {
        let recovery = self.row().and_then(|row| row.recovery);
        let allows = match recovery {
            None | Some(Recovery::Renews) => true,
            Some(Recovery::Waits) => now < self.recovery.renews_until,
        };
        allows && self.is_granting(now)
    }

    /// Returns when this host may grant by the row of a new era, if it may not yet.
    pub(super) fn waits_until(&self) -> Option<Timestamp> {
        let row = self.row()?;
        (row.recovery == Some(Recovery::Waits)).then(|| self.settled_at())
    }

    /// Writes the first row of the era if this host granted in the one before, and ends the recovery
    /// once no grant of that era can be valid.
    pub(super) fn recover(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        let may_try = self.pending_commit.is_none() && now >= self.recovery.next_try_at;
        if !self.is_granter() || !may_try {
            return;
        }
        if self.is_row_of_past_era() {
            self.propose_first_row(now, actions);
        } else if self.is_granting(now) && now >= self.settled_at() {
            self.end_recovery(now, actions);
        }
    }

    fn propose_first_row(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        let Some(known) = &self.known else {
            return;
        };
        let recovery = if self.no_other_host_freed_keys(now) {
            Recovery::Renews
        } else {
            Recovery::Waits
        };
        let row = recovered_row(known.row.clone(), recovery);
        self.recovery.next_try_at = now + TRY_EVERY;
        self.propose(now, row, None, actions);
    }

    /// Returns whether no other host can have given keys to new owners, in the era of the known row,
    /// without an answer of the present ones.
    ///
    /// A host that had replaced this one would have waited for this one's read lease and its last
    /// grants to expire, which is longer than its own read lease lasted after the store's return.
    fn no_other_host_freed_keys(&self, now: Timestamp) -> bool {
        let age_at_return = self.read_lease.age(self.recovery.since);
        let is_recent = age_at_return.is_some_and(|age| age < self.cfg.max_grant_age());
        is_recent && self.may_grant(now)
    }

    /// Returns when no grant of an earlier era can be valid any more, as far as is known.
    fn settled_at(&self) -> Timestamp {
        let read_lease = self.cfg.read_lease.mul_f64(1.0 + self.cfg.clock_drift);
        let expired_at = self.recovery.since + read_lease + self.cfg.max_grant_age();
        self.recovery
            .expired_at
            .map_or(expired_at, |at| at.min(expired_at))
    }

    fn end_recovery(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        let era = self.recovery.era;
        let Some(known) = self.known.as_ref().filter(|k| k.row.recovery.is_some()) else {
            return;
        };
        let (mut row, revision) = (known.row.clone(), known.revision);
        self.recovery.next_try_at = now + TRY_EVERY;
        row.recovery = None;
        row.renew_tokens(era);
        row.previous_granters
            .retain(|e| e.last_revision.era() == era);
        let is_past = |e: &&PreviousGranter| e.last_revision.era() < era;
        let past = self.previous_granters.iter().filter(is_past);
        let past: Vec<_> = past.map(|e| e.granter.clone()).collect();
        for granter in past {
            self.mark_ended(now, &granter);
        }
        self.propose(now, row, Some(revision), actions);
    }

    /// Returns whether this host waits for other hosts to confirm that they grant nothing by rows of
    /// earlier eras.
    #[must_use]
    pub fn needs_confirmations(&self) -> bool {
        self.is_granter() && !self.is_row_of_past_era() && !self.is_recovered()
    }

    /// Records that `host` grants nothing by rows before the revision `grants_from`.
    pub fn host_confirmed(&mut self, host: &HostId, grants_from: Revision) {
        if self.needs_confirmations() && grants_from >= self.granting_revision {
            self.recovery.confirmed.insert(host.clone());
        }
    }

    /// Returns whether `host` has confirmed that it grants nothing by rows before the one by which
    /// this host grants.
    #[must_use]
    pub fn has_confirmed(&self, host: &HostId) -> bool {
        self.recovery.confirmed.contains(host)
    }

    /// Records that all hosts that may have granted in an earlier era have confirmed that they do so
    /// no longer.
    pub fn all_confirmed(&mut self, now: Timestamp) {
        let expired_at = now + self.cfg.max_grant_age();
        self.recovery.expired_at.get_or_insert(expired_at);
    }
}
