//! Handling of messages from other hosts.

use std::sync::Arc;

use ids::{Epoch, Revision, SliceNo, Timestamp, UpstreamId};
use wire::own::{
    Body, ClaimAnswer, ClaimHeartbeat, ClaimHeartbeatReply, ClaimStatus, Handover, LivenessReply,
    LivenessRequest, PeerMessage, RelayedRow, Serving, SlicePromise, SlicePromiseRequest,
    Supersede, Superseded,
};

use crate::coordinator::CoordinatorState;
use crate::machine::OwnershipMachine;
use crate::row::OwnershipRowChange;
use crate::{HostRef, OwnershipRow, StopReason};

/// Slices of a row that this host, as standby, promised not to grant.
#[derive(Debug, Clone)]
pub(crate) struct PromisedSlices {
    from: HostRef,
    seq: u64,
    pub(crate) revision: Revision,
    pub(crate) slices: Vec<SliceNo>,
}

impl OwnershipMachine {
    pub(crate) fn on_message(&mut self, message: &PeerMessage) {
        let from = message.from.as_ref().map(HostRef::try_from);
        // A message that can't be decoded is treated as lost.
        let (Some(Ok(from)), Some(body)) = (from, &message.body) else {
            return;
        };
        if from.host == self.me.host || self.liveness.has_ended(&from) {
            return;
        }
        self.record_contact(&from, true);
        self.handle_body(&from, body);
    }

    /// Handles a message of another host, or one from this host to itself.
    pub(crate) fn handle_body(&mut self, from: &HostRef, body: &Body) {
        match body {
            Body::ClaimHeartbeat(m) => self.on_heartbeat(from, m),
            Body::ClaimHeartbeatReply(m) => self.on_heartbeat_reply(from, m),
            Body::SlicePromiseRequest(m) => self.on_promise_request(from, m),
            Body::SlicePromise(m) => self.on_slices_promised(from, m),
            Body::Supersede(m) => self.on_supersede(from, m),
            Body::Superseded(m) => self.on_superseded(from, m),
            Body::RelayedRow(m) => self.on_relayed_row(from, m),
            Body::Handover(m) => self.on_handover(from, m),
            Body::Serving(m) => self.on_serving(from, m),
            Body::ReleaseQuery(m) => self.on_release_query(from, m),
            Body::ReleaseConfirmation(m) => self.on_released(m),
            Body::ReachQuery(m) => self.on_reach_query(from, m),
            Body::ReachConfirmation(m) => self.on_reach_confirmed(from, m),
            Body::LivenessRequest(LivenessRequest { stamp_us }) => {
                let stamp_us = *stamp_us;
                self.send(from, Body::LivenessReply(LivenessReply { stamp_us }));
            }
            Body::LivenessReply(LivenessReply { stamp_us }) => {
                let echo = Timestamp::from_micros(*stamp_us);
                self.liveness.record_echo(from, echo.min(self.now));
            }
        }
    }

    fn on_heartbeat(&mut self, from: &HostRef, m: &ClaimHeartbeat) {
        let answers = m.claims.iter().filter_map(|c| {
            let upstream = UpstreamId::new(c.upstream.as_str()).ok()?;
            let (status, epoch) = self.answer_claim(from, &upstream, Epoch(c.epoch));
            Some(ClaimAnswer {
                upstream: c.upstream.clone(),
                epoch: epoch.0,
                status: status.into(),
            })
        });
        let answers = answers.collect::<Vec<_>>();
        for a in answers
            .iter()
            .filter(|a| a.status() == ClaimStatus::Unknown)
        {
            if let Ok(u) = UpstreamId::new(a.upstream.as_str()) {
                self.relay_row(from, &u);
            }
        }
        let stamp_us = m.stamp_us;
        self.send(
            from,
            Body::ClaimHeartbeatReply(ClaimHeartbeatReply { stamp_us, answers }),
        );
    }

    /// Returns this host's answer to a claim of the other host of the row.
    fn answer_claim(
        &mut self,
        from: &HostRef,
        upstream: &UpstreamId,
        epoch: Epoch,
    ) -> (ClaimStatus, Epoch) {
        self.replica.record_epoch(upstream, epoch);
        let Some(known) = self.replica.get(upstream) else {
            return (ClaimStatus::Unknown, epoch);
        };
        let is = |host: &Option<HostRef>, other: &HostRef| {
            host.as_ref().is_some_and(|h| h.is_same(other))
        };
        let row = Arc::clone(&known.row);
        if is(&row.coordinator, &self.me) && is(&row.deputy, from) && row.reserved_epoch() == epoch
        {
            return (self.yield_to_standby(upstream), epoch);
        }
        if row.epoch != epoch || !is(&row.coordinator, from) || !is(&row.deputy, &self.me) {
            return (ClaimStatus::Unknown, epoch);
        }
        if let Some(state) = self.coordinated.get(upstream) {
            return (ClaimStatus::Acting, state.epoch);
        }
        (ClaimStatus::Promised, epoch)
    }

    /// Stops acting for an upstream whose standby acts, until the standby becomes unresponsive.
    fn yield_to_standby(&mut self, upstream: &UpstreamId) -> ClaimStatus {
        self.update_coordinated(upstream, |_, state| state.standby_acts = true);
        match self.coordinated.get(upstream) {
            Some(s) if s.recorded && self.has_yielded(upstream, s) => ClaimStatus::Promised,
            // The upstream was handed over, or this host has not started to coordinate it.
            _ => ClaimStatus::Unknown,
        }
    }

    /// Relays the known row of an upstream to a host.
    pub(crate) fn relay_row(&mut self, to: &HostRef, upstream: &UpstreamId) {
        let Some(known) = self.replica.get(upstream) else {
            return;
        };
        let relayed = RelayedRow {
            upstream: upstream.as_str().to_owned(),
            revision: known.revision.0,
            row: Some((&*known.row).into()),
        };
        self.send(to, Body::RelayedRow(relayed));
    }

    fn on_heartbeat_reply(&mut self, from: &HostRef, m: &ClaimHeartbeatReply) {
        let stamp = Timestamp::from_micros(m.stamp_us);
        if stamp > self.now {
            return;
        }
        self.liveness.record_echo(from, stamp);
        for a in &m.answers {
            let Ok(upstream) = UpstreamId::new(a.upstream.as_str()) else {
                continue;
            };
            self.on_answer(from, &upstream, a, stamp);
        }
    }

    fn on_answer(
        &mut self,
        from: &HostRef,
        upstream: &UpstreamId,
        a: &ClaimAnswer,
        stamp: Timestamp,
    ) {
        let state = self.coordinated.get(upstream);
        let counterpart = state.and_then(|s| self.counterpart(upstream, s));
        if !counterpart.is_some_and(|p| p.is_same(from)) {
            return;
        }
        let epoch = Epoch(a.epoch);
        let mut unknown = false;
        self.update_coordinated(upstream, |m, state| match a.status() {
            ClaimStatus::Promised if state.epoch == epoch => {
                state.evidence = state.evidence.max(Some(stamp));
            }
            ClaimStatus::Acting if state.recorded && epoch > state.epoch => {
                state.standby_acts = true;
                m.replica.record_epoch(upstream, epoch);
            }
            ClaimStatus::Unknown => unknown = true,
            ClaimStatus::Promised | ClaimStatus::Acting => {}
        });
        if unknown {
            self.relay_row(from, upstream);
        }
    }

    fn on_promise_request(&mut self, from: &HostRef, m: &SlicePromiseRequest) {
        self.apply_relayed_row(&m.upstream, m.revision, m.row.as_ref());
        let Ok(upstream) = UpstreamId::new(m.upstream.as_str()) else {
            return;
        };
        let (epoch, revision) = (Epoch(m.epoch), Revision(m.revision));
        self.replica.record_epoch(&upstream, epoch);
        // A host that already acts, or knows another row, can't promise anything about this one: an
        // older row may lack hot keys that were carved out since.
        let known = self.replica.get(&upstream).map(|k| k.revision);
        if self.coordinated.contains_key(&upstream) || known != Some(revision) {
            return;
        }
        let newer = self
            .promised_slices
            .get(&upstream)
            .is_none_or(|k| k.revision < revision || (k.from.is_same(from) && k.seq <= m.seq));
        if !newer {
            return;
        }
        let promised = PromisedSlices {
            from: from.clone(),
            seq: m.seq,
            revision,
            slices: m.slices.iter().copied().map(SliceNo).collect(),
        };
        self.promised_slices.insert(upstream, promised);
        let confirmation = SlicePromise {
            upstream: m.upstream.clone(),
            seq: m.seq,
        };
        self.send(from, Body::SlicePromise(confirmation));
    }

    fn on_slices_promised(&mut self, from: &HostRef, m: &SlicePromise) {
        let Ok(upstream) = UpstreamId::new(m.upstream.as_str()) else {
            return;
        };
        let known = self.replica.get(&upstream);
        let deputy = known.and_then(|k| k.row.deputy.as_ref());
        if !deputy.is_some_and(|d| d.is_same(from)) {
            return;
        }
        self.update_coordinated(&upstream, |_, state| {
            let request = state.promise_request.as_mut();
            if let Some(r) = request.filter(|r| r.seq == m.seq) {
                r.promised = true;
            }
        });
    }

    fn apply_relayed_row(
        &mut self,
        upstream: &str,
        revision: u64,
        row: Option<&wire::own::OwnershipRow>,
    ) {
        let row = row.map(OwnershipRow::try_from);
        let (Ok(upstream), Some(Ok(row))) = (UpstreamId::new(upstream), row) else {
            return;
        };
        self.on_row(&upstream, Revision(revision), &Arc::new(row));
    }

    fn on_supersede(&mut self, from: &HostRef, m: &Supersede) {
        self.apply_relayed_row(&m.upstream, m.revision, m.row.as_ref());
        let Ok(upstream) = UpstreamId::new(m.upstream.as_str()) else {
            return;
        };
        let epoch = Epoch(m.epoch);
        self.replica.record_epoch(&upstream, epoch);
        match self.coordinated.get(&upstream).map(|s| s.epoch) {
            Some(own) if own >= epoch => return,
            Some(_) => self.stop_coordinating(&upstream, StopReason::Replaced),
            None => {}
        }
        let end = self
            .past_grants_expire_at
            .get(&upstream)
            .copied()
            .unwrap_or_default();
        let superseded = Superseded {
            upstream: m.upstream.clone(),
            epoch: m.epoch,
            remaining_us: end.since(self.now).as_micros() as u64,
        };
        self.send(from, Body::Superseded(superseded));
    }

    fn on_superseded(&mut self, from: &HostRef, m: &Superseded) {
        let Ok(upstream) = UpstreamId::new(m.upstream.as_str()) else {
            return;
        };
        self.update_coordinated(&upstream, |machine, state| {
            if state.epoch.0 != m.epoch {
                return;
            }
            let end = machine.latest_expiry(m.remaining_us);
            state.previous_hosts.record_stopped(from, end);
        });
    }

    /// Returns the local time by which a duration reported by another host has certainly passed.
    fn latest_expiry(&self, remaining_us: u64) -> Timestamp {
        let remaining = std::time::Duration::from_micros(remaining_us);
        self.now + self.cfg.lengthened_for_drift(remaining)
    }

    fn on_relayed_row(&mut self, from: &HostRef, m: &RelayedRow) {
        self.apply_relayed_row(&m.upstream, m.revision, m.row.as_ref());
        let Ok(upstream) = UpstreamId::new(m.upstream.as_str()) else {
            return;
        };
        let revision = Revision(m.revision);
        self.update_coordinated(&upstream, |_, state| state.subscribe(from, revision));
    }

    fn on_handover(&mut self, from: &HostRef, m: &Handover) {
        self.apply_relayed_row(&m.upstream, m.revision, m.row.as_ref());
        let Ok(upstream) = UpstreamId::new(m.upstream.as_str()) else {
            return;
        };
        let end = self.latest_expiry(m.remaining_us);
        self.take_over_by_handover(from, &upstream, Epoch(m.epoch), Revision(m.revision));
        let revision = Revision(m.revision);
        self.update_coordinated(&upstream, |_, state| {
            state.previous_hosts.record_stopped(from, end);
            state.subscribe(from, revision);
        });
    }

    /// Takes over under the reserved epoch because the coordinating host handed the upstream over
    /// while the table was unreachable.
    fn take_over_by_handover(
        &mut self,
        from: &HostRef,
        upstream: &UpstreamId,
        epoch: Epoch,
        revision: Revision,
    ) {
        let Some(known) = self.replica.get(upstream) else {
            return;
        };
        let row = &known.row;
        let named = row.coordinator.as_ref().is_some_and(|c| c.is_same(from));
        let is_standby = row.deputy.as_ref().is_some_and(|d| d.is_same(&self.me));
        if !named || !is_standby || row.reserved_epoch() != epoch || known.revision != revision {
            return;
        }
        if self.coordinated.contains_key(upstream) {
            return;
        }
        // A host that hands over an upstream has no slice moves in progress.
        self.promised_slices.remove(upstream);
        self.take_over(upstream);
        self.update_coordinated(upstream, |_, state| state.received_by_handover = true);
    }

    fn on_serving(&mut self, from: &HostRef, m: &Serving) {
        let Ok(upstream) = UpstreamId::new(m.upstream.as_str()) else {
            return;
        };
        let done = self.completed_handovers.get(&upstream);
        if done.is_some_and(|h| h.to.is_same(from) && m.epoch >= h.epoch.0) {
            self.release_handover(&upstream);
        }
        let unserved = m.unserved.iter().copied().map(SliceNo);
        let unserved = unserved.collect::<Vec<_>>();
        self.release_reported(&upstream, from, Revision(m.revision), &unserved);
    }

    /// Relays a newly written row to the hosts that it names.
    pub(crate) fn relay_written_row(&mut self, row: &platform::Row) {
        let Ok(OwnershipRowChange::Upstream(upstream, _, Some(content))) =
            OwnershipRowChange::parse(row)
        else {
            return;
        };
        let both = [&content.coordinator, &content.deputy];
        for to in both.into_iter().flatten() {
            self.relay_row(to, &upstream);
        }
    }

    /// Starts to act for an upstream under this host's reserved epoch.
    pub(crate) fn take_over(&mut self, upstream: &UpstreamId) {
        self.resume_handed_over(upstream);
        let Some(known) = self.replica.get(upstream) else {
            return;
        };
        let state = CoordinatorState::new(
            self.now,
            self.liveness.uptime(),
            known.row.reserved_epoch(),
            false,
        );
        self.coordinated.insert(upstream.clone(), state);
        self.advance(upstream);
    }
}
