//! Handover of an upstream that this host does not reach to a host that does.
//!
//! A coordinating host whose grants or health requests get no replies asks other hosts whether they
//! reach the upstream. If one does, the upstream is alive and keeps its slices, and the host hands it
//! over. Otherwise the upstream has failed, and its slices go to others.

use ids::UpstreamId;
use wire::own::{Body, ReachConfirmation, ReachQuery};

use crate::coordinator::CoordinatorState;
use crate::liveness::rendezvous_winner;
use crate::machine::OwnershipMachine;
use crate::{Action, HostRef};

/// Number of hosts that are asked at once.
const ASKED_HOSTS: usize = 3;
/// Maximum number of questions of other hosts that wait for an upstream's reply.
const MAX_PENDING_PROBES: usize = 1_024;

/// A question of another host that waits for an upstream's reply.
#[derive(Debug)]
pub(crate) struct PendingProbe {
    /// Number that identifies the call to the upstream.
    attempt: u64,
    upstream: UpstreamId,
    from: HostRef,
    /// Number that identifies the question.
    query: u64,
}

/// The last question of this host about an upstream.
#[derive(Debug)]
pub(crate) struct PendingReachQuery {
    number: u64,
    /// The first host that reaches the upstream, if one said so.
    reached_by: Option<HostRef>,
}

impl OwnershipMachine {
    /// Asks other hosts whether they reach an upstream that does not reply, and hands it over to one
    /// that does.
    pub(crate) fn ask_reach(&mut self, upstream: &UpstreamId, state: &mut CoordinatorState) {
        let is_stable = state.recorded && state.handover.is_none() && !self.leaving;
        // Only the table settles who coordinates the upstream if the other host does not hear of it.
        let is_stable = is_stable && self.table_reachable;
        let (uptime, span) = (self.liveness.uptime(), self.cfg.renew_every * 2);
        if !is_stable || !state.grant.misses_replies(uptime, span) {
            state.reach_query = None;
            return;
        }
        let reached_by = state
            .reach_query
            .as_ref()
            .and_then(|q| q.reached_by.clone());
        if let Some(host) = reached_by {
            self.hand_over_unreached(upstream, state, host);
            return;
        }
        if self.now < state.next_reach_query_at {
            return;
        }
        state.next_reach_query_at = self.now + self.cfg.heartbeat_every;
        let number = self.next_number();
        state.reach_query = Some(PendingReachQuery {
            number,
            reached_by: None,
        });
        for host in self.hosts_to_ask(upstream) {
            let query = ReachQuery {
                upstream: upstream.as_str().to_owned(),
                number,
            };
            self.send(&host, Body::ReachQuery(query));
        }
    }

    fn hand_over_unreached(
        &mut self,
        upstream: &UpstreamId,
        state: &mut CoordinatorState,
        to: HostRef,
    ) {
        if self.has_pending_txn(upstream) || !state.outgoing.is_empty() {
            return;
        }
        state.reach_query = None;
        self.cancel_removal(upstream, state);
        self.start_handover(upstream, state, to);
    }

    /// Returns the hosts that are asked: the standby and others. All are of the upstream's domain, as hosts
    /// of different domains may be cut off from each other and from the table, and could not find out
    /// which of them coordinates the upstream.
    fn hosts_to_ask(&self, upstream: &UpstreamId) -> Vec<HostRef> {
        let domain = self.catalogue.upstream(upstream).map(|d| &d.domain);
        let is_home = |h: &HostRef| !h.is_same(&self.me) && Some(&h.domain) == domain;
        let known = self.replica.get(upstream);
        let deputy = known.and_then(|known| known.row.deputy.clone());
        let mut asked: Vec<HostRef> = deputy.into_iter().filter(is_home).collect();
        let mut others = self.candidates(is_home);
        others.retain(|h| !asked.iter().any(|a| a.is_same(h)));
        let label = format!("{upstream} {}", self.now.as_micros());
        while asked.len() < ASKED_HOSTS
            && let Some(host) = rendezvous_winner(&label, others.iter()).cloned()
        {
            others.retain(|h| !h.is_same(&host));
            asked.push(host);
        }
        asked
    }

    /// Calls an upstream for another host, which gets an answer only if the upstream replies.
    pub(crate) fn on_reach_query(&mut self, from: &HostRef, m: &ReachQuery) {
        let Ok(upstream) = UpstreamId::new(m.upstream.as_str()) else {
            return;
        };
        self.pending_probes
            .retain(|p| p.upstream != upstream || !p.from.is_same(from));
        if self.leaving || self.pending_probes.len() >= MAX_PENDING_PROBES {
            return;
        }
        let attempt = self.next_number();
        self.pending_probes.push(PendingProbe {
            attempt,
            upstream: upstream.clone(),
            from: from.clone(),
            query: m.number,
        });
        self.actions.push(Action::CheckReach { upstream, attempt });
    }

    /// Handles the end of a call for another host.
    pub(crate) fn on_reach_checked(&mut self, attempt: u64, is_reached: bool) {
        let found = self
            .pending_probes
            .iter()
            .position(|p| p.attempt == attempt);
        let Some(probe) = found.map(|i| self.pending_probes.swap_remove(i)) else {
            return;
        };
        if is_reached {
            let confirmation = ReachConfirmation {
                upstream: probe.upstream.as_str().to_owned(),
                number: probe.query,
            };
            self.send(&probe.from, Body::ReachConfirmation(confirmation));
        }
    }

    pub(crate) fn on_reach_confirmed(&mut self, from: &HostRef, m: &ReachConfirmation) {
        let Ok(upstream) = UpstreamId::new(m.upstream.as_str()) else {
            return;
        };
        self.update_coordinated(&upstream, |_, state| {
            let query = state.reach_query.as_mut();
            if let Some(query) = query.filter(|q| q.number == m.number) {
                query.reached_by.get_or_insert_with(|| from.clone());
            }
        });
    }
}
