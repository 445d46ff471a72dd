//! Carries out the actions of the ownership state machine.

use ids::UpstreamId;
use own::{CommitOutcome, HostRef, StopReason};
use prost::Message;
use slog::{debug, info};
use wire::control::{Body, Frame};

use super::thread::ControlThread;

impl ControlThread {
    pub(super) fn execute_ownership_action(&mut self, action: own::Action) {
        match action {
            own::Action::Commit { txn, body } => self.platform.commit(txn, body),
            own::Action::SendGrant {
                upstream,
                attempt,
                request,
            } => self.send_grant(upstream, attempt, request),
            own::Action::Probe { upstream, attempt } => self.send_probe(upstream, attempt),
            own::Action::CheckReach { upstream, attempt } => self.check_reach(upstream, attempt),
            own::Action::SendPeer { to, message } => self.send_ownership_message(&to, &message),
            own::Action::Lease(lease) => {
                if self.coordinated.insert(lease.upstream.clone()) {
                    info!(self.deps.log, "coordinates upstream";
                        "upstream" => %lease.upstream, "epoch" => lease.epoch.0);
                }
                self.dispatch_updates.update_lease(lease);
            }
            own::Action::StopUpstream { upstream, reason } => self.stop_upstream(upstream, reason),
            own::Action::Hold {
                upstream,
                hold,
                slices,
            } => self.dispatch_updates.hold(&upstream, hold, slices),
            own::Action::Release { hold, to, host, .. } => {
                let is_local = host.is_same(self.ownership.me());
                self.dispatch_updates.release(hold, is_local.then_some(&to));
            }
            own::Action::LeaveComplete => {
                info!(self.deps.log, "handed over all upstreams");
                self.leave_complete = true;
            }
        }
    }

    pub(super) fn send_grant(
        &mut self,
        upstream: UpstreamId,
        attempt: u64,
        request: wire::grant::GrantRequest,
    ) {
        let catalogue = self.routing.catalogue();
        if let Some(declared) = catalogue.upstreams.get(&upstream) {
            let address = declared.address;
            self.upstream_clients
                .grant(&upstream, address, attempt, request);
            return;
        }
        self.report_undeclared(upstream, attempt);
    }

    pub(super) fn send_probe(&mut self, upstream: UpstreamId, attempt: u64) {
        let catalogue = self.routing.catalogue();
        if let Some(declared) = catalogue.upstreams.get(&upstream) {
            self.upstream_clients
                .probe(&upstream, declared.address, attempt);
            return;
        }
        self.report_undeclared(upstream, attempt);
    }

    fn check_reach(&mut self, upstream: UpstreamId, attempt: u64) {
        let catalogue = self.routing.catalogue();
        if let Some(declared) = catalogue.upstreams.get(&upstream) {
            let address = declared.address;
            self.upstream_clients
                .check_reach(upstream, address, attempt);
            return;
        }
        self.notify_ownership(own::Event::ReachChecked {
            attempt,
            is_reached: false,
        });
    }

    /// Reports that a call got no reply, as the catalogue no longer declares the upstream and so
    /// gives no address for it.
    pub(super) fn report_undeclared(&mut self, upstream: UpstreamId, attempt: u64) {
        self.notify_ownership(own::Event::NoReply {
            upstream,
            attempt,
            refused: false,
        });
    }

    pub(super) fn send_ownership_message(
        &mut self,
        to: &HostRef,
        message: &wire::own::PeerMessage,
    ) {
        if to.is_same(self.ownership.me()) {
            let message = Box::new(message.clone());
            self.notify_ownership(own::Event::PeerMessage(message));
            return;
        }
        let body = Body::Own(message.encode_to_vec().into());
        let frame = Frame { body: Some(body) };
        if !self.connections.send(&to.host, frame) {
            debug!(self.deps.log, "message to a host was not sent"; "peer" => %to.host);
            let host = to.host.clone();
            self.notify_membership(spread::Event::ConnectionNeeded { host });
        }
    }

    pub(super) fn stop_upstream(&mut self, upstream: UpstreamId, reason: StopReason) {
        info!(self.deps.log, "stops sending to upstream";
            "upstream" => %upstream, "why" => ?reason);
        let remove = matches!(reason, StopReason::Replaced | StopReason::HandedOver);
        self.coordinated.shift_remove(&upstream);
        if remove {
            self.upstream_clients.remove(&upstream);
        }
        self.dispatch_updates.stop_upstream(upstream, remove);
    }

    pub(super) fn log_commit(&self, txn: u64, outcome: &CommitOutcome) {
        let text = match outcome {
            CommitOutcome::Done(_) => "done",
            CommitOutcome::Conflict(_) => "conflict",
            CommitOutcome::Unreachable => "unreachable",
            CommitOutcome::Unconfirmed => "unconfirmed",
        };
        debug!(self.deps.log, "transaction ended"; "txn" => txn, "outcome" => text);
    }
}
