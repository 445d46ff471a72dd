//! Maintenance of the row of a coordinated upstream: coordinating host, standby, epoch and whether
//! it accepts slices.

use std::sync::Arc;

use ids::UpstreamId;

use crate::coordinator::{CoordinatorState, PlannedHandover};
use crate::liveness::rendezvous_winner;
use crate::machine::OwnershipMachine;
use crate::{Action, HostRef, OwnershipRow};

impl OwnershipMachine {
    /// Rewrites the row if it is out of date.
    pub(crate) fn maintain_row(&mut self, upstream: &UpstreamId, state: &mut CoordinatorState) {
        if !self.table_reachable || state.handover.is_some() || self.has_pending_txn(upstream) {
            return;
        }
        if !state.recorded {
            self.record_takeover(upstream, state);
            return;
        }
        let Some(row) = self.replica.get(upstream).map(|k| Arc::clone(&k.row)) else {
            return;
        };
        if self.has_yielded(upstream, state) || self.leaving {
            return;
        }
        if let Some((epoch, _)) = state.grant.higher_epoch(state.epoch) {
            self.replica.record_epoch(upstream, epoch);
        }
        if self.must_raise_epoch(upstream, state) || self.is_standby_unfit(upstream, &row) {
            self.raise_epoch(upstream, state, &row);
            return;
        }
        if row.deputy.is_none() {
            self.name_standby(upstream);
            return;
        }
        let empty = row.slices.is_empty() && state.outgoing.is_empty();
        if empty && self.catalogue.upstream(upstream).is_none() {
            self.write_without_coordinator(upstream, state);
            return;
        }
        if self.now >= state.clear_incoming_at {
            self.clear_incoming(upstream, state);
            return;
        }
        self.update_open(upstream, state, &row);
        self.rebalance(upstream, state);
    }

    /// Records that this host, the standby so far, coordinates the upstream.
    fn record_takeover(&mut self, upstream: &UpstreamId, state: &CoordinatorState) {
        let Some(known) = self.replica.get(upstream) else {
            return;
        };
        debug_assert_eq!(
            known.row.reserved_epoch(),
            state.epoch,
            "the epoch is the one reserved by this row"
        );
        let before = known.row.coordinator.clone();
        let excluded = before.iter().collect::<Vec<_>>();
        let deputy = self.pick_standby(upstream, &self.me, &excluded);
        let me = self.me.clone();
        let unsettled = self.unsettled_hosts(upstream, None, Some(&self.me));
        self.rewrite_row(upstream, |row| {
            row.epoch = row.reserved_epoch();
            row.coordinator = Some(me);
            row.deputy = deputy;
            row.unsettled = unsettled;
        });
    }

    /// Returns whether another host granted under a higher epoch and does not act any more.
    fn must_raise_epoch(&self, upstream: &UpstreamId, state: &CoordinatorState) -> bool {
        let waited = |since| self.now.since(since) >= self.cfg.heartbeat_timeout;
        let by_upstream = state.grant.higher_epoch(state.epoch);
        let by_upstream = by_upstream.is_some_and(|(_, since)| waited(since));
        // A standby that took over and became unresponsive leaves the upstream at its reserved
        // epoch.
        by_upstream || (state.standby_acts && self.is_standby_unresponsive(upstream))
    }

    fn is_standby_unfit(&self, upstream: &UpstreamId, row: &OwnershipRow) -> bool {
        let Some(deputy) = &row.deputy else {
            return false;
        };
        self.is_standby_unresponsive(upstream) || self.liveness.is_leaving(deputy)
    }

    /// Raises the epoch above the standby's reserved one and names another standby.
    fn raise_epoch(&mut self, upstream: &UpstreamId, state: &CoordinatorState, row: &OwnershipRow) {
        let excluded = row.deputy.iter().collect::<Vec<_>>();
        let deputy = self.pick_standby(upstream, &self.me, &excluded);
        let highest_epoch = self.replica.highest_epoch(upstream);
        let unsettled = self.unsettled_hosts(upstream, Some(state), Some(&self.me));
        self.rewrite_row(upstream, |row| {
            row.epoch = row.reserved_epoch().next().max(highest_epoch.next());
            row.deputy = deputy;
            row.unsettled = unsettled;
        });
    }

    /// Names a standby where there was none; the epoch reserved by this row was not given out
    /// before.
    fn name_standby(&mut self, upstream: &UpstreamId) {
        let Some(deputy) = self.pick_standby(upstream, &self.me, &[]) else {
            return;
        };
        self.rewrite_row(upstream, |row| row.deputy = Some(deputy));
    }

    /// Rewrites the row without a coordinating host.
    pub(crate) fn write_without_coordinator(
        &mut self,
        upstream: &UpstreamId,
        state: &CoordinatorState,
    ) {
        let unsettled = self.unsettled_hosts(upstream, Some(state), None);
        self.rewrite_row(upstream, |row| {
            row.epoch = row.reserved_epoch().next();
            row.coordinator = None;
            row.deputy = None;
            row.unsettled = unsettled;
        });
    }

    fn update_open(&mut self, upstream: &UpstreamId, state: &CoordinatorState, row: &OwnershipRow) {
        let leaving = self.must_be_empty(upstream, state);
        let serving = self.is_serving(upstream, state);
        let reopen = !row.open && !leaving && serving && state.removal.is_none();
        let close = row.open && leaving && row.slices.is_empty();
        if reopen || close {
            self.rewrite_row(upstream, |row| row.open = reopen);
        }
    }

    /// Returns whether an upstream must have no slices.
    pub(crate) fn must_be_empty(&self, upstream: &UpstreamId, state: &CoordinatorState) -> bool {
        let decl = self.catalogue.upstream(upstream);
        state.draining || decl.is_none_or(|d| d.leaving)
    }

    /// Starts a handover of the upstream to the preferred host of its domain.
    fn rebalance(&mut self, upstream: &UpstreamId, state: &mut CoordinatorState) {
        let span = self.cfg.rebalance_delay;
        let no_moves = state.removal.is_none() && state.outgoing.is_empty();
        let idle = no_moves && state.previous_hosts.expires_at() <= self.now;
        if !idle || self.now.since(state.since) < span || self.has_handover() {
            return;
        }
        let Some(domain) = self.catalogue.upstream(upstream).map(|d| d.domain.clone()) else {
            return;
        };
        let home = self.candidates(|h| h.domain == domain);
        let Some(best) = rendezvous_winner(upstream.as_str(), home.iter()) else {
            return;
        };
        if best.is_same(&self.me) || !self.liveness.is_known_for(best, span) {
            return;
        }
        self.start_handover(upstream, state, best.clone());
    }

    fn has_handover(&self) -> bool {
        !self.completed_handovers.is_empty()
            || self.coordinated.values().any(|s| s.handover.is_some())
    }

    /// Holds an upstream's requests for its next coordinating host.
    pub(crate) fn start_handover(
        &mut self,
        upstream: &UpstreamId,
        state: &mut CoordinatorState,
        to: HostRef,
    ) {
        debug_assert!(state.removal.is_none(), "a removal is in progress");
        let hold = self.next_number();
        self.actions.push(Action::Hold {
            upstream: upstream.clone(),
            hold,
            slices: None,
        });
        state.handover = Some(PlannedHandover { to, hold });
        self.update_lease(upstream, state);
    }
}
