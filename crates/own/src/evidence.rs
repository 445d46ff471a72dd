//! Evidence that this host has not been replaced.
//!
//! A host acts for an upstream only while it has evidence that is younger than the evidence window.
//! Evidence is dated by the local clock reading as of which it holds. Each of these counts:
//!
//! 1. The other host of the row promised not to act, the table was read and named this host, or a
//!    transaction that checks the row took effect.
//! 2. If the table is unreachable and the other host of the row is unresponsive: any host echoed a
//!    local clock reading. Hosts of one domain are not partitioned from each other, so this host
//!    would have received a message from any host that could replace it there. Entries that fail
//!    over have no such evidence.

use ids::{Timestamp, UpstreamId};

use crate::HostRef;
use crate::coordinator::CoordinatorState;
use crate::machine::OwnershipMachine;

impl OwnershipMachine {
    pub(crate) fn refresh_evidence(&self, upstream: &UpstreamId, state: &mut CoordinatorState) {
        let table = self.table_evidence(upstream, state);
        let peers = self.peer_evidence(upstream, self.counterpart(upstream, state));
        state.evidence = state.evidence.max(table).max(peers);
    }

    /// Returns whether this host may act for an upstream.
    pub(crate) fn has_evidence(&self, state: &CoordinatorState) -> bool {
        state
            .evidence
            .is_some_and(|e| self.now < e + self.cfg.evidence_ttl)
    }

    /// Returns whether this host, as standby of an upstream, may act after a takeover.
    pub(crate) fn may_take_over(&self, upstream: &UpstreamId, coordinator: &HostRef) -> bool {
        let peers = self.peer_evidence(upstream, Some(coordinator));
        let best = self.table_as_of.max(peers);
        best.is_some_and(|e| self.now < e + self.cfg.evidence_ttl)
    }

    fn table_evidence(&self, upstream: &UpstreamId, state: &CoordinatorState) -> Option<Timestamp> {
        let row = &self.replica.get(upstream)?.row;
        let named = if state.recorded {
            &row.coordinator
        } else {
            &row.deputy
        };
        let epoch = if state.recorded {
            row.epoch
        } else {
            row.reserved_epoch()
        };
        let names_me = named.as_ref().is_some_and(|h| h.is_same(&self.me));
        let same = names_me && epoch == state.epoch;
        self.table_as_of.filter(|_| same)
    }

    /// Returns the other host that the row allows to act for the upstream.
    pub(crate) fn counterpart(
        &self,
        upstream: &UpstreamId,
        state: &CoordinatorState,
    ) -> Option<&HostRef> {
        if state.received_by_handover && !state.recorded {
            return None;
        }
        let row = &self.replica.get(upstream)?.row;
        let other = if state.recorded {
            &row.deputy
        } else {
            &row.coordinator
        };
        other.as_ref()
    }

    fn peer_evidence(
        &self,
        upstream: &UpstreamId,
        counterpart: Option<&HostRef>,
    ) -> Option<Timestamp> {
        if self.table_reachable
            || self.catalogue.fails_over(upstream)
            || self.is_in_other_domain(upstream)
        {
            return None;
        }
        let known = self.replica.get(upstream);
        let since = known.map_or(self.liveness.uptime(), |k| k.epoch_uptime);
        let unresponsive = |p| {
            self.liveness
                .is_unresponsive(p, since, self.cfg.heartbeat_timeout)
        };
        if !counterpart.is_none_or(unresponsive) {
            return None;
        }
        if !self.liveness.has_known_host(Some(&self.me.domain)) {
            return Some(self.now);
        }
        self.liveness.latest_echo(None)
    }

    /// Returns whether an upstream is in another domain than this host.
    pub(crate) fn is_in_other_domain(&self, upstream: &UpstreamId) -> bool {
        let decl = self.catalogue.upstream(upstream);
        decl.is_some_and(|u| u.domain != self.me.domain)
    }
}
