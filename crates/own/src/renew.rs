//! Leases, grants and their renewal.

use std::collections::BTreeMap;
use std::sync::Arc;

use ids::{SliceNo, UpstreamId};
use wire::own::{Body, Claim, ClaimHeartbeat, Serving, Supersede};

use crate::coordinator::CoordinatorState;
use crate::machine::OwnershipMachine;
use crate::{Action, CarvedKey, HostRef, Lease, OwnershipRow, StopReason};

impl OwnershipMachine {
    pub(crate) fn checks_grants(&self, upstream: &UpstreamId) -> bool {
        self.catalogue
            .last_declared(upstream)
            .is_none_or(|u| u.checks_grants)
    }

    /// Sets the slices that the upstream should have. Slices that are not wanted any more expire
    /// with the latest grant or lease issued so far.
    pub(crate) fn update_scope(&self, upstream: &UpstreamId, state: &mut CoordinatorState) {
        let end = state.grant.expires_at().max(state.lease_expires_at);
        let failed = self.has_failed(upstream, state);
        let removal = state.removal.as_mut().filter(|r| r.is_revoking());
        if let Some(r) = removal {
            r.expires_at = r.expires_at.or(Some(end));
        }
        let outgoing = state.outgoing.values_mut();
        for o in outgoing.filter(|o| o.drained || failed || !o.was_granted) {
            o.expires_at = o.expires_at.or(Some(end));
        }
        let wanted = self.wanted_slices(upstream, state);
        state.grant.set_scope(self.now, &wanted);
    }

    /// Issues or withdraws the lease if it changed.
    pub(crate) fn update_lease(&mut self, upstream: &UpstreamId, state: &mut CoordinatorState) {
        match self.lease(upstream, state) {
            Ok(lease) => {
                if state.lease.as_ref() == Some(&lease) {
                    return;
                }
                state.lease_expires_at = state.lease_expires_at.max(lease.valid_until);
                state.lease = Some(lease.clone());
                self.actions.push(Action::Lease(lease));
            }
            Err(reason) => {
                if state.lease.take().is_none() {
                    return;
                }
                self.actions.push(Action::StopUpstream {
                    upstream: upstream.clone(),
                    reason,
                });
            }
        }
    }

    fn lease(&self, upstream: &UpstreamId, state: &CoordinatorState) -> Result<Lease, StopReason> {
        if state.handover.is_some() {
            return Err(StopReason::HandedOver);
        }
        if self.has_yielded(upstream, state) {
            return Err(StopReason::Replaced);
        }
        let evidence = state.evidence.filter(|_| self.has_evidence(state));
        let evidence_until = evidence.ok_or(StopReason::NoEvidence)? + self.cfg.evidence_ttl;
        let known = self.replica.get(upstream).ok_or(StopReason::Replaced)?;
        if !self.checks_grants(upstream) {
            let slices = self.wanted_slices(upstream, state).into();
            return Ok(Lease {
                upstream: upstream.clone(),
                epoch: state.unchecked_epoch,
                valid_until: evidence_until,
                carved: carved(&known.row, state, &slices),
                slices,
                revision: known.revision,
            });
        }
        let granted = state.grant.accepted_grant().ok_or(StopReason::NoReply)?;
        if granted.valid_until <= self.now {
            return Err(StopReason::NoReply);
        }
        Ok(Lease {
            upstream: upstream.clone(),
            epoch: granted.epoch,
            valid_until: evidence_until.min(granted.valid_until),
            carved: carved(&known.row, state, &granted.slices),
            slices: granted.slices,
            revision: known.revision,
        })
    }

    /// Returns whether the standby acts and is responsive.
    pub(crate) fn has_yielded(&self, upstream: &UpstreamId, state: &CoordinatorState) -> bool {
        state.standby_acts && !self.is_standby_unresponsive(upstream)
    }

    /// Returns whether the row names a standby that is unresponsive.
    pub(crate) fn is_standby_unresponsive(&self, upstream: &UpstreamId) -> bool {
        let Some(known) = self.replica.get(upstream) else {
            return false;
        };
        let bound = self.cfg.heartbeat_timeout;
        let deputy = known.row.deputy.as_ref();
        deputy.is_some_and(|d| self.liveness.is_unresponsive(d, known.epoch_uptime, bound))
    }

    /// Sends a grant or a health request if one is due.
    pub(crate) fn renew(&mut self, upstream: &UpstreamId, state: &mut CoordinatorState) {
        if !state.grant.is_due(self.now) || !self.has_evidence(state) {
            return;
        }
        if self.has_yielded(upstream, state) || state.handover.is_some() {
            return;
        }
        let attempt = self.next_number();
        if !self.checks_grants(upstream) {
            state.grant.record_probe(self.now, &self.cfg);
            self.actions.push(Action::Probe {
                upstream: upstream.clone(),
                attempt,
            });
            return;
        }
        let wanted = self.wanted_slices(upstream, state);
        let Some(full) = self.catalogue.scope(upstream, &wanted) else {
            return;
        };
        let epoch = state.epoch;
        let sent =
            state
                .grant
                .start_attempt(self.now, &self.cfg, attempt, epoch, &self.me.host, full);
        self.actions.push(Action::SendGrant {
            upstream: upstream.clone(),
            attempt: sent.attempt,
            request: sent.request,
        });
    }

    /// Sends heartbeats that ask the other hosts of the rows for promises, in one message to each
    /// host.
    pub(crate) fn send_heartbeats(&mut self) {
        if self.now < self.next_heartbeat_at {
            return;
        }
        self.next_heartbeat_at = self.now + self.cfg.heartbeat_every;
        let mut claims_by_host = BTreeMap::<HostRef, Vec<Claim>>::new();
        for (u, state) in &self.coordinated {
            let Some(counterpart) = self.counterpart(u, state) else {
                continue;
            };
            let claims = claims_by_host.entry(counterpart.clone()).or_default();
            claims.push(Claim {
                upstream: u.as_str().to_owned(),
                epoch: state.epoch.0,
            });
        }
        let stamp_us = self.now.as_micros();
        for (counterpart, claims) in claims_by_host {
            self.send(
                &counterpart,
                Body::ClaimHeartbeat(ClaimHeartbeat { stamp_us, claims }),
            );
        }
    }

    /// Notifies previous hosts that they were replaced, until they confirm that they stopped.
    pub(crate) fn notify_previous_hosts(
        &mut self,
        upstream: &UpstreamId,
        state: &mut CoordinatorState,
    ) {
        let timeout = self.cfg.host_expiry;
        let expired = |h: &&HostRef| {
            self.liveness.has_ended(h)
                || self.liveness.is_unreachable(h, state.since_uptime, timeout)
        };
        let ended = state
            .previous_hosts
            .unconfirmed()
            .iter()
            .filter(expired)
            .cloned();
        let last = self.now + self.cfg.lengthened_for_drift(self.cfg.grant_ttl);
        let end = last.max(state.previous_row_since + self.cfg.replaced_host_expiry());
        for h in ended.collect::<Vec<_>>() {
            state.previous_hosts.record_stopped(&h, end);
        }
        if !state.recorded
            || self.now < state.next_supersede_at
            || state.previous_hosts.unconfirmed().is_empty()
        {
            return;
        }
        state.next_supersede_at = self.now + self.cfg.heartbeat_every;
        let Some(known) = self.replica.get(upstream).cloned() else {
            return;
        };
        let message = Supersede {
            upstream: upstream.as_str().to_owned(),
            epoch: state.epoch.0,
            revision: known.revision.0,
            row: Some((&*known.row).into()),
        };
        for h in state.previous_hosts.unconfirmed() {
            self.send(h, Body::Supersede(message.clone()));
        }
    }

    /// Returns whether the upstream serves all slices of its row.
    pub(crate) fn is_serving(&self, upstream: &UpstreamId, state: &CoordinatorState) -> bool {
        let fresh = state.lease.is_some();
        fresh && (!self.checks_grants(upstream) || state.grant.is_accepted(state.epoch))
    }

    pub(crate) fn notify_serving(&mut self, upstream: &UpstreamId, state: &mut CoordinatorState) {
        if state.serving_subscribers.is_empty() || !self.is_serving(upstream, state) {
            return;
        }
        let Some(revision) = self.replica.get(upstream).map(|k| k.revision) else {
            return;
        };
        let unserved = self.unreleased_incoming(upstream, state);
        let unserved = unserved.iter().map(|i| i.slice.0).collect::<Vec<_>>();
        let mut due = Vec::new();
        for s in &mut state.serving_subscribers {
            if s.revision <= revision && s.reported_unserved.as_ref() != Some(&unserved) {
                s.reported_unserved = Some(unserved.clone());
                due.push(s.host.clone());
            }
        }
        state
            .serving_subscribers
            .retain(|s| !s.reported_unserved.as_ref().is_some_and(Vec::is_empty));
        for host in due {
            self.send(
                &host,
                Body::Serving(Serving {
                    upstream: upstream.as_str().to_owned(),
                    epoch: state.epoch.0,
                    revision: revision.0,
                    unserved: unserved.clone(),
                }),
            );
        }
    }
}

/// Returns the hot keys carved out of `slices`, including those that left the row with a slice that
/// the upstream has not released. The hot key may be released, and served elsewhere, before the
/// slice.
fn carved(
    row: &OwnershipRow,
    state: &CoordinatorState,
    slices: &Arc<[SliceNo]>,
) -> Arc<[CarvedKey]> {
    let outgoing = state.outgoing.values().flat_map(|o| &o.carved);
    let within = |c: &&CarvedKey| slices.binary_search(&c.base).is_ok();
    let all = row.carved.iter().chain(outgoing).filter(within);
    let mut all = all.copied().collect::<Vec<_>>();
    all.sort();
    all.dedup();
    all.into()
}
