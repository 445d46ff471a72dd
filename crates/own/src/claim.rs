//! Takeover from unresponsive hosts, claims of upstreams without a coordinating host, and the
//! initial assignment of slices.

use ids::{DomainId, Epoch, Timestamp, UpstreamId};
use platform::{Txn, Write};
use wire::own::{Body, Ping};

use crate::commits::Subject;
use crate::machine::{Machine, check, write, write_value};
use crate::replica::Known;
use crate::roster::winner;
use crate::{Assigned, EntryRow, HostRef, OwnRow, Writer};

impl Machine {
    /// Takes over, as standby, from every unresponsive coordinating host.
    pub(crate) fn take_over_silent(&mut self) {
        let mine = self.replica.deputy_of().iter();
        let due = mine.filter(|u| self.is_due_to_take_over(u)).cloned();
        for u in due.collect::<Vec<_>>() {
            self.take_over(&u);
        }
    }

    /// Takes over, as standby, after an incarnation of a host has ended.
    pub(crate) fn take_over_from(&mut self, _gone: &HostRef) {
        self.take_over_silent();
    }

    fn is_due_to_take_over(&self, upstream: &UpstreamId) -> bool {
        if self.leaving || self.held.contains_key(upstream) {
            return false;
        }
        let Some(known) = self.replica.get(upstream) else {
            return false;
        };
        let Some(coordinator) = &known.row.coordinator else {
            return false;
        };
        // A peer that reported a higher epoch has a later row.
        if self.replica.noted(upstream) > known.row.epoch {
            return false;
        }
        let bound = self.cfg.silence;
        self.roster.silent(coordinator, known.awake_since, bound)
            && self.may_take_over(upstream, coordinator)
    }

    /// Claims upstreams and assigns the slices of entries where that is up to this host.
    pub(crate) fn scan(&mut self) {
        let settled = self.roster.awake().since(Timestamp::ZERO) >= self.cfg.watch_every * 3;
        if self.leaving || !settled || self.table_stamp.is_none() || !self.table_reachable {
            return;
        }
        for u in self.to_scan() {
            if self.is_due_to_claim(&u) {
                self.claim(&u);
            }
        }
        self.hand_out();
    }

    /// Returns the upstreams that this host may have to claim: the claim candidates, and all
    /// upstreams if a domain is declared lost.
    fn to_scan(&self) -> Vec<UpstreamId> {
        let near = self.replica.near().iter();
        let rest = self.view.has_lost_domain().then(|| self.replica.rows());
        let rest = rest.into_iter().flatten().map(|(u, _)| u);
        let rest = rest.filter(|u| !self.replica.near().contains(*u));
        near.chain(&self.rowless).chain(rest).cloned().collect()
    }

    fn is_due_to_claim(&mut self, upstream: &UpstreamId) -> bool {
        if self.held.contains_key(upstream) || self.is_busy(upstream) {
            return false;
        }
        let known = self.replica.get(upstream).cloned();
        let coordinator = known.as_ref().and_then(|k| k.row.coordinator.clone());
        match (known, coordinator) {
            (Some(known), Some(coordinator)) => {
                let of_use = self.view.upstream(upstream).is_some() || !known.row.slices.is_empty();
                of_use && self.is_due_to_replace(upstream, &known, &coordinator)
            }
            (Some(known), None) => self.is_due_to_fill(upstream, !known.row.slices.is_empty()),
            (None, _) => self.is_due_to_fill(upstream, false),
        }
    }

    /// Returns whether this host should claim an upstream without a coordinating host.
    fn is_due_to_fill(&mut self, upstream: &UpstreamId, has_slices: bool) -> bool {
        let Some(decl) = self.view.upstream(upstream) else {
            let all = self.candidates(|_| true);
            return has_slices && self.wins(upstream, &all);
        };
        let domain = decl.domain.clone();
        let home = self.candidates(|h| h.domain == domain);
        if !home.is_empty() {
            self.deserted.remove(&domain);
            return self.wins(upstream, &home);
        }
        if !self.is_deserted(&domain) {
            return false;
        }
        let all = self.candidates(|_| true);
        self.wins(upstream, &all)
    }

    /// Returns whether a domain is declared lost or has had no live host for the claim delay.
    fn is_deserted(&mut self, domain: &DomainId) -> bool {
        let now = self.now;
        let since = *self.deserted.entry(domain.clone()).or_insert(now);
        self.view.is_lost(domain) || now.since(since) >= self.cfg.foreign_after
    }

    /// Returns whether this host should replace the coordinating host of an upstream.
    fn is_due_to_replace(
        &mut self,
        upstream: &UpstreamId,
        known: &Known,
        coordinator: &HostRef,
    ) -> bool {
        if self.view.is_lost(&coordinator.domain) {
            let all = self.candidates(|_| true);
            return self.wins(upstream, &all);
        }
        let row = &known.row;
        // The standby takes over under its reserved epoch and needs no claim.
        if row.deputy.as_ref().is_some_and(|d| d.is(&self.me)) {
            return false;
        }
        let bound = self.cfg.silence;
        let forgotten = |h: &HostRef| self.roster.forgotten(h, known.awake_since, bound);
        if !forgotten(coordinator) || !row.deputy.as_ref().is_none_or(forgotten) {
            return false;
        }
        let named = [Some(coordinator), row.deputy.as_ref()];
        let named = named.into_iter().flatten().cloned().collect::<Vec<_>>();
        let mate = |h: &HostRef| named.iter().any(|n| n.domain == h.domain);
        let mates = self.candidates(mate);
        if !self.wins(upstream, &mates) {
            return false;
        }
        self.all_unanswered(&named)
    }

    /// Probes hosts and returns whether none of them answered within the heartbeat timeout.
    fn all_unanswered(&mut self, hosts: &[HostRef]) -> bool {
        let mut unanswered = true;
        for h in hosts {
            unanswered &= self.roster.ask(h, self.cfg.silence);
            let stamp_us = self.now.as_micros();
            self.send(h, Body::Ping(Ping { stamp_us }));
        }
        unanswered
    }

    /// Returns the live hosts, including this one, that satisfy `fits`.
    pub(crate) fn candidates(&self, fits: impl Fn(&HostRef) -> bool) -> Vec<HostRef> {
        let me = (!self.leaving).then_some(&self.me);
        let bound = self.cfg.silence;
        let others = self.roster.alive(bound, self.cfg.roster);
        let usable = |h: &&HostRef| fits(h) && !self.view.is_lost(&h.domain);
        me.into_iter()
            .chain(others)
            .filter(usable)
            .cloned()
            .collect()
    }

    fn wins(&self, upstream: &UpstreamId, hosts: &[HostRef]) -> bool {
        winner(upstream.as_str(), hosts.iter()).is_some_and(|h| h.is(&self.me))
    }

    fn claim(&mut self, upstream: &UpstreamId) {
        let known = self.replica.get(upstream).cloned();
        let noted = self.replica.noted(upstream);
        let deputy = self.pick_deputy(upstream, &self.me, &[]);
        let open = self.view.upstream(upstream).is_some_and(|u| !u.leaving);
        let me = self.me.clone();
        let unsettled = self.unsettled(upstream, None, Some(&self.me));
        let subject = Subject::Upstream(upstream.clone());
        self.commit(subject, |writer| {
            let mut row = claimed(known.as_ref(), noted, open, me, deputy, writer);
            row.unsettled = unsettled;
            Some(Txn {
                checks: vec![check(upstream, known.as_ref().map(|k| k.revision))],
                writes: vec![write(upstream, &row)],
            })
        });
    }

    /// Returns the host that should become the standby of an upstream.
    pub(crate) fn pick_deputy(
        &self,
        upstream: &UpstreamId,
        coordinator: &HostRef,
        not: &[&HostRef],
    ) -> Option<HostRef> {
        let allowed = |h: &HostRef| !h.is(coordinator) && not.iter().all(|n| !n.is(h));
        if self.view.fails_over(upstream) {
            let away = |h: &HostRef| allowed(h) && h.domain != coordinator.domain;
            let away = self.candidates(away);
            if let Some(h) = winner(upstream.as_str(), away.iter()) {
                return Some(h.clone());
            }
        }
        let near = self.candidates(|h| allowed(h) && h.domain == coordinator.domain);
        winner(upstream.as_str(), near.iter()).cloned()
    }

    /// Assigns the slices of entries that have not been assigned yet.
    fn hand_out(&mut self) {
        let waiting = self.view.divided();
        let waiting = waiting.filter(|(e, _)| !self.replica.handed_out(e));
        for (entry, slices) in waiting.map(|(e, n)| (e.clone(), n)).collect::<Vec<_>>() {
            let since = *self.unassigned.entry(entry.clone()).or_insert(self.now);
            let all = self.candidates(|_| true);
            let chosen = winner(entry.as_str(), all.iter()).is_some_and(|h| h.is(&self.me));
            if chosen && self.is_ready(&entry, since) {
                self.hand_out_entry(&entry, slices);
            }
        }
    }

    /// Returns whether all usable upstreams of an entry have a coordinating host, or the wait for
    /// them has timed out.
    fn is_ready(&self, entry: &ids::EntryId, since: Timestamp) -> bool {
        let waited = self.now.since(since);
        let declared = self.view.upstreams().filter(|(_, d)| d.entry == *entry);
        let mut usable = declared.filter(|(_, d)| !d.leaving && !self.view.is_lost(&d.domain));
        let all = usable.all(|(u, _)| self.is_coordinated(u));
        (all && waited >= self.cfg.hand_out_after) || waited >= self.cfg.hand_out_after * 10
    }

    fn is_coordinated(&self, upstream: &UpstreamId) -> bool {
        let known = self.replica.get(upstream);
        known.is_some_and(|k| k.row.coordinator.is_some())
    }

    fn hand_out_entry(&mut self, entry: &ids::EntryId, slices: u32) {
        let targets = self.open_upstreams(entry);
        if targets.is_empty() {
            return;
        }
        let subject = Subject::Entry(entry.clone());
        self.commit(subject, |writer| {
            Some(handed_out(entry, slices, &targets, &writer))
        });
    }

    /// Returns the upstreams of an entry that accept slices.
    pub(crate) fn open_upstreams(&self, entry: &ids::EntryId) -> Vec<(UpstreamId, Known)> {
        let declared = self
            .view
            .upstreams()
            .filter(|(_, d)| d.entry == *entry && !d.leaving && !self.view.is_lost(&d.domain));
        let rows = declared.filter_map(|(u, _)| {
            let known = self.replica.get(u)?;
            let coordinator = known.row.coordinator.as_ref()?;
            let usable = known.row.open && !self.roster.is_over(coordinator);
            usable.then(|| (u.clone(), known.clone()))
        });
        rows.collect()
    }
}

/// Builds the row of a claimed upstream. Its epoch exceeds every epoch that hosts of the previous
/// row may use.
fn claimed(
    known: Option<&Known>,
    noted: Epoch,
    open: bool,
    me: HostRef,
    deputy: Option<HostRef>,
    writer: Writer,
) -> OwnRow {
    let before = known.map(|k| &*k.row);
    let epoch = before.map_or(Epoch(1), |r| r.reserved().next());
    OwnRow {
        epoch: epoch.max(noted.next()),
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
fn handed_out(
    entry: &ids::EntryId,
    slices: u32,
    targets: &[(UpstreamId, Known)],
    writer: &Writer,
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
        writes: vec![write_value(key, marker.encode())],
    };
    for (i, (u, known)) in targets.iter().enumerate() {
        let own = (i as u64..u64::from(slices)).step_by(targets.len());
        txn.checks.push(check(u, Some(known.revision)));
        txn.writes.push(handed_to(u, known, own, writer));
    }
    txn
}

fn handed_to(
    upstream: &UpstreamId,
    known: &Known,
    slices: impl Iterator<Item = u64>,
    writer: &Writer,
) -> Write {
    let mut row = OwnRow::clone(&known.row);
    row.writer = writer.clone();
    row.slices = slices
        .map(|s| Assigned {
            slice: ids::SliceNo(s),
            generation: 1,
        })
        .collect();
    write(upstream, &row)
}
