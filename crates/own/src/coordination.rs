//! Start and end of this host's coordination of an upstream, as its row changes.

use ids::{Revision, UpstreamId};

use crate::coordinator::CoordinatorState;
use crate::machine::OwnershipMachine;
use crate::replica::KnownRow;
use crate::{Action, HostRef, OwnershipRow, StopReason};

impl OwnershipMachine {
    /// Starts to coordinate an upstream whose row names this host.
    pub(crate) fn start_coordinating(
        &mut self,
        upstream: &UpstreamId,
        row: &OwnershipRow,
        before: Option<&KnownRow>,
    ) {
        let completed = self.completed_handovers.get(upstream);
        if completed.is_some_and(|h| h.epoch > row.epoch) {
            return;
        }
        self.resume_handed_over(upstream);
        let mut state = CoordinatorState::new(self.now, self.liveness.uptime(), row.epoch, true);
        self.record_previous_hosts(&mut state, row, before);
        self.coordinated.insert(upstream.clone(), state);
        self.advance(upstream);
    }

    /// Continues to coordinate an upstream whose row changed.
    pub(crate) fn continue_coordinating(
        &mut self,
        upstream: &UpstreamId,
        row: &OwnershipRow,
        before: Option<&KnownRow>,
    ) {
        let Some(mut state) = self.coordinated.remove(upstream) else {
            return;
        };
        if row.epoch >= state.epoch {
            state.advance_epoch(row.epoch);
        }
        if before.is_none_or(|b| b.row.epoch != row.epoch) {
            self.record_previous_hosts(&mut state, row, before);
        }
        self.coordinated.insert(upstream.clone(), state);
        self.finish_recorded_removal(upstream, before);
        self.advance(upstream);
    }

    /// Records the hosts of the previous row that may still act.
    fn record_previous_hosts(
        &self,
        state: &mut CoordinatorState,
        row: &OwnershipRow,
        before: Option<&KnownRow>,
    ) {
        let Some(before) = before else {
            let others = row.unsettled.iter().filter(|h| !h.is_same(&self.me));
            state
                .previous_hosts
                .add(self.now, &self.cfg, others.cloned());
            return;
        };
        state.previous_row_since = before.epoch_since;
        let both = [&before.row.coordinator, &before.row.deputy];
        let named = both.into_iter().flatten().chain(&row.unsettled);
        let others = named.filter(|h| !h.is_same(&self.me));
        state
            .previous_hosts
            .add(self.now, &self.cfg, others.cloned());
    }

    /// Stops coordinating an upstream if its row names another host.
    pub(crate) fn check_replaced(&mut self, upstream: &UpstreamId, row: &OwnershipRow) {
        let Some(state) = self.coordinated.get(upstream) else {
            return;
        };
        let is_standby = row.deputy.as_ref().is_some_and(|d| d.is_same(&self.me));
        if !state.recorded && is_standby && row.reserved_epoch() == state.epoch {
            self.advance(upstream);
            return;
        }
        let handover = state.handover.as_ref().map(|h| h.to.clone());
        if handover.is_some_and(|to| row.coordinator.as_ref().is_some_and(|c| c.is_same(&to))) {
            self.complete_handover(upstream, row.epoch);
            return;
        }
        self.stop_coordinating(upstream, StopReason::Replaced);
    }

    /// Stops coordinating an upstream.
    pub(crate) fn stop_coordinating(&mut self, upstream: &UpstreamId, reason: StopReason) {
        let Some(state) = self.coordinated.remove(upstream) else {
            return;
        };
        self.past_grants_expire_at
            .insert(upstream.clone(), state.grants_expire_at());
        self.actions.push(Action::StopUpstream {
            upstream: upstream.clone(),
            reason,
        });
        for hold in state.hold_numbers() {
            self.hold_until_served(upstream, hold, None, upstream.clone(), Revision(0));
        }
    }

    /// Returns the hosts that a replacement of the known row must list as unsettled: those that
    /// have not confirmed that they stopped, and those of the known row, except for the next
    /// coordinating host.
    pub(crate) fn unsettled_hosts(
        &self,
        upstream: &UpstreamId,
        state: Option<&CoordinatorState>,
        next: Option<&HostRef>,
    ) -> Vec<HostRef> {
        let known = self.replica.get(upstream);
        let Some(known) = known.filter(|_| !self.checks_grants(upstream)) else {
            return Vec::new();
        };
        let unconfirmed = state
            .filter(|s| s.recorded)
            .map(|s| s.previous_hosts.unconfirmed());
        let earlier = unconfirmed.unwrap_or(&known.row.unsettled).iter();
        let both = [&known.row.coordinator, &known.row.deputy];
        let all = earlier.chain(both.into_iter().flatten());
        let others = all.filter(|h| next.is_none_or(|n| !h.is_same(n)));
        let mut all = others.cloned().collect::<Vec<_>>();
        all.sort();
        all.dedup();
        all
    }
}
