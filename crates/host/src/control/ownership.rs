//! Carries out what the ownership code wants done.

use ids::UpstreamId;
use own::{CommitOutcome, HostRef, StopReason};
use prost::Message;
use slog::{debug, info};
use wire::control::{Body, Frame};

use super::duty::Duty;

impl Duty {
    pub(super) fn carry_out_own(&mut self, action: own::Action) {
        match action {
            own::Action::Commit { txn, body } => self.platform.commit(txn, body),
            own::Action::SendGrant {
                upstream,
                attempt,
                request,
            } => self.grant(upstream, attempt, request),
            own::Action::Probe { upstream, attempt } => self.probe(upstream, attempt),
            own::Action::SendPeer { to, message } => self.send_own(&to, &message),
            own::Action::Lease(lease) => {
                if self.coordinated.insert(lease.upstream.clone()) {
                    info!(self.parts.log, "coordinates upstream";
                        "upstream" => %lease.upstream, "epoch" => lease.epoch.0);
                }
                self.leases.lease(lease);
            }
            own::Action::StopUpstream { upstream, reason } => self.stop_upstream(upstream, reason),
            own::Action::Hold {
                upstream,
                hold,
                slices,
            } => self.leases.hold(&upstream, hold, slices),
            own::Action::Release { hold, to, host, .. } => {
                let here = host.is_same(self.machine.me());
                self.leases.release(hold, here.then_some(&to));
            }
            own::Action::LeaveComplete => {
                info!(self.parts.log, "handed over all upstreams");
                self.left = true;
            }
        }
    }

    pub(super) fn grant(
        &mut self,
        upstream: UpstreamId,
        attempt: u64,
        request: wire::grant::GrantRequest,
    ) {
        let catalogue = self.routes.catalogue();
        if let Some(declared) = catalogue.upstreams.get(&upstream) {
            let address = declared.address;
            self.upstreams.grant(&upstream, address, attempt, request);
            return;
        }
        self.undeclared(upstream, attempt);
    }

    pub(super) fn probe(&mut self, upstream: UpstreamId, attempt: u64) {
        let catalogue = self.routes.catalogue();
        if let Some(declared) = catalogue.upstreams.get(&upstream) {
            self.upstreams.probe(&upstream, declared.address, attempt);
            return;
        }
        self.undeclared(upstream, attempt);
    }

    /// An upstream that the catalogue does not hold any more can't be asked.
    pub(super) fn undeclared(&mut self, upstream: UpstreamId, attempt: u64) {
        self.tell_own(own::Event::NoReply {
            upstream,
            attempt,
            refused: false,
        });
    }

    pub(super) fn send_own(&mut self, to: &HostRef, message: &wire::own::PeerMessage) {
        if to.is_same(self.machine.me()) {
            let message = Box::new(message.clone());
            self.tell_own(own::Event::PeerMessage(message));
            return;
        }
        let body = Body::Own(message.encode_to_vec().into());
        let frame = Frame { body: Some(body) };
        self.links.send(&to.host, frame);
    }

    pub(super) fn stop_upstream(&mut self, upstream: UpstreamId, why: StopReason) {
        info!(self.parts.log, "stops sending to upstream";
            "upstream" => %upstream, "why" => ?why);
        let for_good = matches!(why, StopReason::Replaced | StopReason::HandedOver);
        self.coordinated.shift_remove(&upstream);
        if for_good {
            self.upstreams.forget(&upstream);
        }
        self.leases.stop(upstream, for_good);
    }

    pub(super) fn log_commit(&self, txn: u64, outcome: &CommitOutcome) {
        let text = match outcome {
            CommitOutcome::Done(_) => "done",
            CommitOutcome::Conflict(_) => "conflict",
            CommitOutcome::Unreachable => "unreachable",
            CommitOutcome::Unconfirmed => "unconfirmed",
        };
        debug!(self.parts.log, "transaction ended"; "txn" => txn, "outcome" => text);
    }
}
