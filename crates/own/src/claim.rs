//! Takeover from unresponsive hosts, claims of upstreams without a coordinating host, and the
//! initial assignment of slices.

use ids::{DomainId, Epoch, Timestamp, UpstreamId};
use platform::{Txn, Write};
use wire::own::{Body, LivenessRequest};

use crate::commits::{row_check, row_write, value_write};
use crate::liveness::rendezvous_winner;
use crate::machine::OwnershipMachine;
use crate::replica::KnownRow;
use crate::transactions::TxnSubject;
use crate::{AssignedSlice, EntryRow, HostRef, OwnershipRow, WriteId};

impl OwnershipMachine {
    /// Takes over, as standby, from every unresponsive coordinating host.
    pub(crate) fn take_over_unresponsive(&mut self) {
        let standby_for = self.replica.standby_for().iter();
        let due = standby_for.filter(|u| self.is_due_to_take_over(u)).cloned();
        for u in due.collect::<Vec<_>>() {
            self.take_over(&u);
        }
    }

    fn is_due_to_take_over(&self, upstream: &UpstreamId) -> bool {
        if self.leaving || self.coordinated.contains_key(upstream) {
            return false;
        }
        let Some(known) = self.replica.get(upstream) else {
            return false;
        };
        let Some(coordinator) = &known.row.coordinator else {
            return false;
        };
        // A peer that reported a higher epoch has a later row.
        if self.replica.highest_epoch(upstream) > known.row.epoch {
            return false;
        }
        let bound = self.cfg.heartbeat_timeout;
        self.liveness
            .is_unresponsive(coordinator, known.epoch_uptime, bound)
            && self.may_take_over(upstream, coordinator)
    }

    /// Claims upstreams and assigns the slices of entries where that is up to this host.
    pub(crate) fn scan(&mut self) {
        let has_settled =
            self.liveness.uptime().since(Timestamp::ZERO) >= self.cfg.heartbeat_every * 3;
        if self.leaving || !has_settled || self.table_as_of.is_none() || !self.table_reachable {
            return;
        }
        for u in self.upstreams_to_scan() {
            if self.is_due_to_claim(&u) {
                self.claim(&u);
            }
        }
        self.assign_slices();
    }

    /// Returns the upstreams that this host may have to claim: the claim candidates, and all
    /// upstreams if a domain is declared lost.
    fn upstreams_to_scan(&self) -> Vec<UpstreamId> {
        let near = self.replica.claim_candidates().iter();
        let rest = self
            .catalogue
            .has_lost_domain()
            .then(|| self.replica.rows());
        let rest = rest.into_iter().flatten().map(|(u, _)| u);
        let rest = rest.filter(|u| !self.replica.claim_candidates().contains(*u));
        near.chain(&self.upstreams_without_row)
            .chain(rest)
            .cloned()
            .collect()
    }

    fn is_due_to_claim(&mut self, upstream: &UpstreamId) -> bool {
        if self.coordinated.contains_key(upstream) || self.has_pending_txn(upstream) {
            return false;
        }
        let known = self.replica.get(upstream).cloned();
        let coordinator = known.as_ref().and_then(|k| k.row.coordinator.clone());
        match (known, coordinator) {
            (Some(known), Some(coordinator)) => {
                let is_relevant =
                    self.catalogue.upstream(upstream).is_some() || !known.row.slices.is_empty();
                is_relevant && self.is_due_to_replace(upstream, &known, &coordinator)
            }
            (Some(known), None) => self.should_claim_vacant(upstream, !known.row.slices.is_empty()),
            (None, _) => self.should_claim_vacant(upstream, false),
        }
    }

    /// Returns whether this host should claim an upstream without a coordinating host.
    fn should_claim_vacant(&mut self, upstream: &UpstreamId, has_slices: bool) -> bool {
        let Some(decl) = self.catalogue.upstream(upstream) else {
            let all = self.candidates(|_| true);
            return has_slices && self.is_preferred(upstream, &all);
        };
        let domain = decl.domain.clone();
        let home = self.candidates(|h| h.domain == domain);
        if !home.is_empty() {
            self.hostless_since.remove(&domain);
            return self.is_preferred(upstream, &home);
        }
        if !self.is_hostless(&domain) {
            return false;
        }
        let all = self.candidates(|_| true);
        self.is_preferred(upstream, &all)
    }

    /// Returns whether a domain is declared lost or has had no live host for the claim delay.
    fn is_hostless(&mut self, domain: &DomainId) -> bool {
        let now = self.now;
        let since = *self.hostless_since.entry(domain.clone()).or_insert(now);
        self.catalogue.is_lost(domain) || now.since(since) >= self.cfg.foreign_claim_delay
    }

    /// Returns whether this host should replace the coordinating host of an upstream.
    fn is_due_to_replace(
        &mut self,
        upstream: &UpstreamId,
        known: &KnownRow,
        coordinator: &HostRef,
    ) -> bool {
        if self.catalogue.is_lost(&coordinator.domain) {
            let all = self.candidates(|_| true);
            return self.is_preferred(upstream, &all);
        }
        let row = &known.row;
        // The standby takes over under its reserved epoch and needs no claim.
        if row.deputy.as_ref().is_some_and(|d| d.is_same(&self.me)) {
            return false;
        }
        let bound = self.cfg.heartbeat_timeout;
        let unreachable = |h: &HostRef| self.liveness.is_unreachable(h, known.epoch_uptime, bound);
        if !unreachable(coordinator) || !row.deputy.as_ref().is_none_or(unreachable) {
            return false;
        }
        let named = [Some(coordinator), row.deputy.as_ref()];
        let named = named.into_iter().flatten().cloned().collect::<Vec<_>>();
        let in_named_domain = |h: &HostRef| named.iter().any(|n| n.domain == h.domain);
        let same_domain = self.candidates(in_named_domain);
        if !self.is_preferred(upstream, &same_domain) {
            return false;
        }
        self.probe_all(&named)
    }

    /// Probes hosts and returns whether none of them answered within the heartbeat timeout.
    fn probe_all(&mut self, hosts: &[HostRef]) -> bool {
        let mut unanswered = true;
        for h in hosts {
            unanswered &= self.liveness.probe(h, self.cfg.heartbeat_timeout);
            let stamp_us = self.now.as_micros();
            self.send(h, Body::LivenessRequest(LivenessRequest { stamp_us }));
        }
        unanswered
    }

    /// Returns the live hosts, including this one, that satisfy `fits`.
    pub(crate) fn candidates(&self, fits: impl Fn(&HostRef) -> bool) -> Vec<HostRef> {
        let me = (!self.leaving).then_some(&self.me);
        let bound = self.cfg.heartbeat_timeout;
        let others = self
            .liveness
            .live_hosts(bound, self.cfg.indirect_heartbeat_timeout);
        let usable = |h: &&HostRef| fits(h) && !self.catalogue.is_lost(&h.domain);
        me.into_iter()
            .chain(others)
            .filter(usable)
            .cloned()
            .collect()
    }

    fn is_preferred(&self, upstream: &UpstreamId, hosts: &[HostRef]) -> bool {
        rendezvous_winner(upstream.as_str(), hosts.iter()).is_some_and(|h| h.is_same(&self.me))
    }

    fn claim(&mut self, upstream: &UpstreamId) {
        let known = self.replica.get(upstream).cloned();
        let highest_epoch = self.replica.highest_epoch(upstream);
        let deputy = self.pick_standby(upstream, &self.me, &[]);
        let open = self
            .catalogue
            .upstream(upstream)
            .is_some_and(|u| !u.leaving);
        let me = self.me.clone();
        let unsettled = self.unsettled_hosts(upstream, None, Some(&self.me));
        let subject = TxnSubject::Upstream(upstream.clone());
        self.submit(subject, |writer| {
            let mut row = claimed_row(known.as_ref(), highest_epoch, open, me, deputy, writer);
            row.unsettled = unsettled;
            Some(Txn {
                checks: vec![row_check(upstream, known.as_ref().map(|k| k.revision))],
                writes: vec![row_write(upstream, &row)],
            })
        });
    }

    /// Returns the host that should become the standby of an upstream.
    pub(crate) fn pick_standby(
        &self,
        upstream: &UpstreamId,
        coordinator: &HostRef,
        excluded: &[&HostRef],
    ) -> Option<HostRef> {
        let allowed =
            |h: &HostRef| !h.is_same(coordinator) && excluded.iter().all(|n| !n.is_same(h));
        if self.catalogue.fails_over(upstream) {
            let away = |h: &HostRef| allowed(h) && h.domain != coordinator.domain;
            let away = self.candidates(away);
            if let Some(h) = rendezvous_winner(upstream.as_str(), away.iter()) {
                return Some(h.clone());
            }
        }
        let near = self.candidates(|h| allowed(h) && h.domain == coordinator.domain);
        rendezvous_winner(upstream.as_str(), near.iter()).cloned()
    }

    /// Assigns the slices of entries that have not been assigned yet.
    fn assign_slices(&mut self) {
        let unassigned = self.catalogue.sharded_entries();
        let unassigned = unassigned.filter(|(e, _)| !self.replica.is_assigned(e));
        for (entry, slices) in unassigned.map(|(e, n)| (e.clone(), n)).collect::<Vec<_>>() {
            let since = *self
                .unassigned_since
                .entry(entry.clone())
                .or_insert(self.now);
            let all = self.candidates(|_| true);
            let chosen =
                rendezvous_winner(entry.as_str(), all.iter()).is_some_and(|h| h.is_same(&self.me));
            if chosen && self.may_assign(&entry, since) {
                self.assign_entry(&entry, slices);
            }
        }
    }

    /// Returns whether all usable upstreams of an entry have a coordinating host, or the wait for
    /// them has timed out.
    fn may_assign(&self, entry: &ids::EntryId, since: Timestamp) -> bool {
        let waited = self.now.since(since);
        let declared = self
            .catalogue
            .upstreams()
            .filter(|(_, d)| d.entry == *entry);
        let mut usable = declared.filter(|(_, d)| !d.leaving && !self.catalogue.is_lost(&d.domain));
        let all = usable.all(|(u, _)| self.has_coordinator(u));
        (all && waited >= self.cfg.assignment_delay) || waited >= self.cfg.assignment_delay * 10
    }

    fn has_coordinator(&self, upstream: &UpstreamId) -> bool {
        let known = self.replica.get(upstream);
        known.is_some_and(|k| k.row.coordinator.is_some())
    }

    fn assign_entry(&mut self, entry: &ids::EntryId, slices: u32) {
        let targets = self.open_upstreams(entry);
        if targets.is_empty() {
            return;
        }
        let subject = TxnSubject::Entry(entry.clone());
        self.submit(subject, |writer| {
            Some(assignment_txn(entry, slices, &targets, &writer))
        });
    }

    /// Returns the upstreams of an entry that accept slices.
    pub(crate) fn open_upstreams(&self, entry: &ids::EntryId) -> Vec<(UpstreamId, KnownRow)> {
        let declared = self
            .catalogue
            .upstreams()
            .filter(|(_, d)| d.entry == *entry && !d.leaving && !self.catalogue.is_lost(&d.domain));
        let rows = declared.filter_map(|(u, _)| {
            let known = self.replica.get(u)?;
            let coordinator = known.row.coordinator.as_ref()?;
            let usable = known.row.open && !self.liveness.has_ended(coordinator);
            usable.then(|| (u.clone(), known.clone()))
        });
        rows.collect()
    }
}

/// Builds the row of a claimed upstream. Its epoch exceeds every epoch that hosts of the previous
/// row may use.
fn claimed_row(
    known: Option<&KnownRow>,
    highest_epoch: Epoch,
    open: bool,
    me: HostRef,
    deputy: Option<HostRef>,
    writer: WriteId,
) -> OwnershipRow {
    let before = known.map(|k| &*k.row);
    let epoch = before.map_or(Epoch(1), |r| r.reserved_epoch().next());
    OwnershipRow {
        epoch: epoch.max(highest_epoch.next()),
        coordinator: Some(me),
        deputy,
        open: before.map_or(open, |r| r.open),
        slices: before.map(|r| r.slices.clone()).unwrap_or_default(),
        carved: before.map(|r| r.carved.clone()).unwrap_or_default(),
        incoming: before.map(|r| r.incoming.clone()).unwrap_or_default(),
        unsettled: Vec::new(),
        writer,
    }
}

/// Builds the transaction that distributes an entry's slices evenly.
fn assignment_txn(
    entry: &ids::EntryId,
    slices: u32,
    targets: &[(UpstreamId, KnownRow)],
    writer: &WriteId,
) -> Txn {
    let marker = EntryRow {
        slices,
        writer: writer.clone(),
    };
    let key = EntryRow::key(entry);
    let mut txn = Txn {
        checks: vec![platform::Check {
            key: key.clone(),
            revision: None,
        }],
        writes: vec![value_write(key, marker.encode())],
    };
    for (i, (u, known)) in targets.iter().enumerate() {
        let share = (i as u64..u64::from(slices)).step_by(targets.len());
        txn.checks.push(row_check(u, Some(known.revision)));
        txn.writes.push(assigned_write(u, known, share, writer));
    }
    txn
}

fn assigned_write(
    upstream: &UpstreamId,
    known: &KnownRow,
    slices: impl Iterator<Item = u64>,
    writer: &WriteId,
) -> Write {
    let mut row = OwnershipRow::clone(&known.row);
    row.writer = writer.clone();
    row.slices = slices
        .map(|s| AssignedSlice {
            slice: ids::SliceNo(s),
            generation: 1,
        })
        .collect();
    row_write(upstream, &row)
}
