//! Planned handovers of an upstream to another host. Its slices do not move.

use std::time::Duration;

use ids::{Epoch, Timestamp, UpstreamId};
use wire::own::{Body, Handover};

use crate::coordinator::{CompletedHandover, CoordinatorState};
use crate::liveness::rendezvous_winner;
use crate::machine::OwnershipMachine;
use crate::transactions::{PendingTxn, TxnSubject};
use crate::{Action, HostRef, StopReason};

/// Longest time for which requests are held for a host that has not reported serving the upstream.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(2);

impl OwnershipMachine {
    /// Starts a handover if this host is leaving, and advances one that was started.
    pub(crate) fn advance_handover(&mut self, upstream: &UpstreamId, state: &mut CoordinatorState) {
        if !state.recorded || self.has_pending_txn(upstream) {
            return;
        }
        if self.leaving && state.handover.is_none() {
            self.cancel_removal(upstream, state);
            if self.awaits_outgoing_release(state) {
                return;
            }
            match self.pick_successor(upstream) {
                Some(successor) => self.start_handover(upstream, state, successor),
                None => self.vacate(upstream, state),
            }
        }
        let Some(to) = state.handover.as_ref().map(|h| h.to.clone()) else {
            return;
        };
        // A host that stays can't hand over without the table: nobody would act if its message is lost.
        let needs_table = !self.leaving && !self.table_reachable;
        if needs_table || self.is_unfit_successor(&to) {
            self.cancel_handover(upstream, state);
            return;
        }
        if self.table_reachable {
            self.record_handover(upstream, state, &to);
        }
    }

    /// Returns whether this host should wait for the release of slices that moved away before it
    /// leaves.
    fn awaits_outgoing_release(&self, state: &CoordinatorState) -> bool {
        let since = self.leaving_since.unwrap_or(self.now);
        !state.outgoing.is_empty() && self.now.since(since) < HANDOVER_TIMEOUT / 2
    }

    /// Returns the host that should coordinate an upstream after this host leaves.
    ///
    /// The standby is preferred if it is in the upstream's domain, then another host of that
    /// domain. Only the standby can take over without the table.
    fn pick_successor(&self, upstream: &UpstreamId) -> Option<HostRef> {
        let row = &self.replica.get(upstream)?.row;
        let deputy = row.deputy.as_ref().filter(|d| !self.is_unfit_successor(d));
        let domain = self.catalogue.upstream(upstream).map(|d| &d.domain);
        let home = |h: &HostRef| Some(&h.domain) == domain;
        if let Some(d) = deputy.filter(|d| home(d) || !self.table_reachable) {
            return Some(d.clone());
        }
        let near = self.candidates(|h| home(h) && !h.is_same(&self.me));
        let all = self.candidates(|h| !h.is_same(&self.me));
        let label = upstream.as_str();
        rendezvous_winner(label, near.iter())
            .or(deputy)
            .or_else(|| rendezvous_winner(label, all.iter()))
            .cloned()
    }

    fn is_unfit_successor(&self, host: &HostRef) -> bool {
        let bound = self.cfg.heartbeat_timeout;
        let unreachable = self.liveness.is_unreachable(host, Timestamp::ZERO, bound);
        unreachable || self.liveness.is_leaving(host)
    }

    /// Writes a row without a coordinating host, as no other host is available.
    fn vacate(&mut self, upstream: &UpstreamId, state: &mut CoordinatorState) {
        if state.grants_expire_at() > self.now && state.lease.is_some() {
            return;
        }
        self.write_without_coordinator(upstream, state);
    }

    fn cancel_handover(&mut self, upstream: &UpstreamId, state: &mut CoordinatorState) {
        if let Some(h) = state.handover.take() {
            self.release_hold(upstream, h.hold, upstream.clone(), self.me.clone());
        }
    }

    fn record_handover(&mut self, upstream: &UpstreamId, state: &CoordinatorState, to: &HostRef) {
        let Some(known) = self.replica.get(upstream) else {
            return;
        };
        let is_deputy = known.row.deputy.as_ref().is_some_and(|d| d.is_same(to));
        let deputy = if is_deputy || known.row.deputy.is_none() || self.leaving {
            let me = self.me.clone();
            self.pick_standby(upstream, to, &[&me])
        } else {
            known.row.deputy.clone()
        };
        let highest_epoch = self.replica.highest_epoch(upstream);
        let unsettled = self.unsettled_hosts(upstream, Some(state), Some(to));
        let to = to.clone();
        self.rewrite_row(upstream, |row| {
            // The standby's reserved epoch suffices; any other host needs a higher one.
            row.epoch = if is_deputy {
                row.reserved_epoch()
            } else {
                row.reserved_epoch().next().max(highest_epoch.next())
            };
            row.coordinator = Some(to);
            row.deputy = deputy;
            row.unsettled = unsettled;
        });
    }

    /// Hands upstreams of a leaving host over to their standbys, which act under their reserved epochs,
    /// if the table does not answer.
    pub(crate) fn complete_handovers_without_table(&mut self) {
        if !self.leaving {
            return;
        }
        let in_progress = self
            .coordinated
            .iter()
            .filter(|(_, s)| s.handover.is_some());
        let upstreams = in_progress.map(|(u, _)| u.clone()).collect::<Vec<_>>();
        for u in upstreams {
            let subject = TxnSubject::Upstream(u.clone());
            let in_doubt = self
                .transactions
                .get(&subject)
                .is_some_and(PendingTxn::is_in_doubt);
            if in_doubt || !self.table_reachable {
                self.hand_over_to_standby(&u);
            }
        }
    }

    fn hand_over_to_standby(&mut self, upstream: &UpstreamId) {
        let to = self
            .coordinated
            .get(upstream)
            .and_then(|s| s.handover.as_ref());
        let row = self.replica.get(upstream).map(|k| &k.row);
        let (Some(to), Some(row)) = (to, row) else {
            return;
        };
        if row.deputy.as_ref().is_some_and(|d| d.is_same(&to.to)) {
            let epoch = row.reserved_epoch();
            self.complete_handover(upstream, epoch);
        }
    }

    /// Stops coordinating an upstream that another host has under `epoch`, and notifies that host.
    pub(crate) fn complete_handover(&mut self, upstream: &UpstreamId, epoch: Epoch) {
        let Some(state) = self.coordinated.remove(upstream) else {
            return;
        };
        let expires_at = state.grants_expire_at();
        self.past_grants_expire_at
            .insert(upstream.clone(), expires_at);
        let Some(handover) = state.handover else {
            return;
        };
        self.actions.push(Action::StopUpstream {
            upstream: upstream.clone(),
            reason: StopReason::HandedOver,
        });
        let completed = CompletedHandover {
            to: handover.to,
            hold: handover.hold,
            epoch,
            since: self.now,
            since_uptime: self.liveness.uptime(),
            send_at: self.now,
            expires_at,
        };
        self.completed_handovers.insert(upstream.clone(), completed);
        self.send_handovers();
    }

    /// Notifies hosts of the upstreams handed over to them, until they report serving them.
    pub(crate) fn send_handovers(&mut self) {
        let mut due = Vec::new();
        let mut expired = Vec::new();
        for (u, h) in &mut self.completed_handovers {
            let unresponsive =
                self.liveness
                    .is_unresponsive(&h.to, h.since_uptime, self.cfg.heartbeat_timeout);
            if unresponsive || self.now.since(h.since) >= HANDOVER_TIMEOUT {
                expired.push(u.clone());
            } else if self.now >= h.send_at {
                h.send_at = self.now + self.cfg.heartbeat_every;
                due.push((u.clone(), h.to.clone(), h.epoch, h.expires_at));
            }
        }
        for u in &expired {
            self.release_handover(u);
        }
        for (u, to, epoch, expires_at) in due {
            let Some(known) = self.replica.get(&u) else {
                continue;
            };
            let body = Handover {
                upstream: u.as_str().to_owned(),
                epoch: epoch.0,
                remaining_us: expires_at.since(self.now).as_micros() as u64,
                revision: known.revision.0,
                row: Some((&*known.row).into()),
            };
            self.send(&to, Body::Handover(body));
        }
    }

    /// Releases the requests held for a host that an upstream was handed over to, as this host
    /// coordinates it again.
    pub(crate) fn resume_handed_over(&mut self, upstream: &UpstreamId) {
        if let Some(h) = self.completed_handovers.remove(upstream) {
            let me = self.me.clone();
            self.release_hold(upstream, h.hold, upstream.clone(), me);
        }
    }

    /// Releases the requests held for a host that an upstream was handed over to.
    pub(crate) fn release_handover(&mut self, upstream: &UpstreamId) {
        if let Some(h) = self.completed_handovers.remove(upstream) {
            self.release_hold(upstream, h.hold, upstream.clone(), h.to);
        }
    }

    pub(crate) fn release_hold(
        &mut self,
        upstream: &UpstreamId,
        hold: u64,
        to: UpstreamId,
        host: HostRef,
    ) {
        self.actions.push(Action::Release {
            upstream: upstream.clone(),
            hold,
            to,
            host,
        });
    }
}
