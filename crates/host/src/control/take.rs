//! Takes what the control duty is told.

use gate::{DispatchEvent, LoadSample, Phase};
use ids::{HostId, UpstreamId};
use slog::{debug, info};
use tokio::sync::mpsc;
use wire::control::{Body, Frame};

use super::duty::Duty;
use super::input::Input;
use super::peers;

impl Duty {
    pub(super) fn take(&mut self, input: Input) {
        match input {
            Input::LinkAccepted(stream) => self.links.accepted(stream),
            Input::LinkUp { host, link, first } => {
                self.links.add(host.clone(), link);
                let connected = spread::Event::Connected { host: host.clone() };
                self.tell_member(connected);
                let from = host;
                self.tell_member(spread::Event::FrameReceived { from, frame: first });
            }
            Input::LinkDown { host, no } => {
                if self.links.remove(&host, no) {
                    self.tell_member(spread::Event::Disconnected { host });
                }
            }
            Input::ConnectFailed { host, refused } => self.connect_failed(host, refused),
            Input::Frame {
                frame: Frame {
                    body: Some(Body::Loads(loads)),
                },
                ..
            } => self.placement.learn(self.parts.clock.now(), &loads),
            Input::Frame { from, frame } => {
                self.tell_member(spread::Event::FrameReceived { from, frame });
            }
            Input::Granted {
                upstream,
                attempt,
                reply,
            } => self.tell_own(own::Event::GrantReply {
                upstream,
                attempt,
                reply,
            }),
            Input::Healthy { upstream, attempt } => {
                self.tell_own(own::Event::Healthy { upstream, attempt });
            }
            Input::NoReply {
                upstream,
                attempt,
                refused,
            } => self.tell_own(own::Event::NoReply {
                upstream,
                attempt,
                refused,
            }),
            Input::Health { upstream, report } => self.health(upstream, report.draining),
            Input::Committed { txn, outcome, rows } => {
                if !rows.is_empty() {
                    self.tell_member(spread::Event::RowsCommitted(rows));
                }
                self.log_commit(txn, &outcome);
                self.tell_own(own::Event::CommitEnded { txn, outcome });
            }
            Input::TableRead {
                prefix,
                since,
                began,
                changes,
            } => self.tell_member(spread::Event::TableRead {
                prefix,
                since,
                began,
                changes,
            }),
            Input::Listed(mut hosts) => {
                peers::override_addresses(&mut hosts, &self.parts.cfg.address_overrides);
                self.tell_member(spread::Event::HostsListed(hosts));
            }
            Input::Leave => self.leave(),
        }
    }

    pub(super) fn leave(&mut self) {
        info!(self.parts.log, "leaving");
        self.parts.cx.set_phase(Phase::Leaving);
        self.tell_member(spread::Event::Leaving);
        self.tell_own(own::Event::Leave);
    }

    pub(super) fn connect_failed(&mut self, host: HostId, refused: bool) {
        let overridden = self.parts.cfg.address_overrides.contains_key(&host);
        // Behind an address that is not the host's own, a refusal says nothing of the host.
        if refused
            && !overridden
            && let Some(view) = self.member.host(&host)
        {
            self.tell_own(own::Event::PeerEnded(peers::view_ref(&view)));
        }
        self.tell_member(spread::Event::Disconnected { host });
    }

    pub(super) fn health(&mut self, upstream: UpstreamId, draining: bool) {
        let known = self.draining.contains(&upstream);
        if known == draining {
            return;
        }
        if draining {
            self.draining.insert(upstream.clone());
        } else {
            self.draining.shift_remove(&upstream);
        }
        self.tell_own(own::Event::Draining { upstream, draining });
    }

    pub(super) fn notice(&mut self, notice: DispatchEvent) {
        match notice {
            DispatchEvent::Drained { upstream, slice } => {
                for hold in self.leases.drained(&upstream, slice) {
                    let upstream = upstream.clone();
                    self.tell_own(own::Event::Drained { upstream, hold });
                }
            }
            DispatchEvent::UpstreamFault { upstream, reason } => {
                debug!(self.parts.log, "upstream fault";
                    "upstream" => %upstream, "reason" => reason.as_str());
            }
        }
    }

    /// Takes the load samples that have gathered; one that came by itself would wake the duty for
    /// each request.
    pub(super) fn samples(&mut self, samples: &mut mpsc::Receiver<LoadSample>) {
        let now = self.parts.clock.now();
        for _ in 0..samples.len() {
            let Ok(sample) = samples.try_recv() else {
                return;
            };
            self.placement.sample(now, &sample);
        }
    }
}
