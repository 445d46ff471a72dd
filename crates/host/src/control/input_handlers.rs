//! Handles the inputs of the control thread.

use gate::{DispatchEvent, LoadSample, Phase};
use ids::{HostId, UpstreamId};
use slog::{debug, info};
use tokio::sync::mpsc;
use wire::control::{Body, Frame};

use super::input::Input;
use super::peers;
use super::thread::ControlThread;

impl ControlThread {
    pub(super) fn handle_input(&mut self, input: Input) {
        match input {
            Input::ConnectionAccepted(stream) => self.connections.accepted(stream),
            Input::ConnectionUp {
                host,
                connection,
                first,
            } => {
                self.connections.add(host.clone(), connection);
                let connected = spread::Event::Connected { host: host.clone() };
                self.notify_membership(connected);
                let from = host;
                self.notify_membership(spread::Event::FrameReceived { from, frame: first });
            }
            Input::ConnectionDown { host, no } => {
                if self.connections.remove(&host, no) {
                    self.notify_membership(spread::Event::Disconnected { host });
                }
            }
            Input::ConnectFailed { host, refused } => self.handle_connect_failure(host, refused),
            Input::Frame {
                frame: Frame {
                    body: Some(Body::Loads(loads)),
                },
                ..
            } => self.placement.record_remote(self.deps.clock.now(), &loads),
            Input::Frame { from, frame } => {
                self.notify_membership(spread::Event::FrameReceived { from, frame });
            }
            Input::GrantReply {
                upstream,
                attempt,
                reply,
            } => self.notify_ownership(own::Event::GrantReply {
                upstream,
                attempt,
                reply,
            }),
            Input::Healthy { upstream, attempt } => {
                self.notify_ownership(own::Event::Healthy { upstream, attempt });
            }
            Input::ReachChecked {
                attempt,
                is_reached,
            } => self.notify_ownership(own::Event::ReachChecked {
                attempt,
                is_reached,
            }),
            Input::NoReply {
                upstream,
                attempt,
                refused,
            } => self.notify_ownership(own::Event::NoReply {
                upstream,
                attempt,
                refused,
            }),
            Input::HealthReport { upstream, report } => {
                self.set_draining(upstream, report.draining);
            }
            Input::CommitEnded { txn, outcome, rows } => {
                if !rows.is_empty() {
                    self.notify_membership(spread::Event::RowsCommitted(rows));
                }
                self.log_commit(txn, &outcome);
                self.notify_ownership(own::Event::CommitEnded { txn, outcome });
            }
            Input::TableRead {
                prefix,
                since,
                began,
                changes,
            } => self.notify_membership(spread::Event::TableRead {
                prefix,
                since,
                began,
                changes,
            }),
            Input::HostsListed(mut hosts) => {
                peers::override_addresses(&mut hosts, &self.deps.cfg.address_overrides);
                self.notify_membership(spread::Event::HostsListed(hosts));
            }
            Input::Leave => self.begin_leave(),
        }
    }

    pub(super) fn begin_leave(&mut self) {
        info!(self.deps.log, "leaving");
        self.deps.cx.set_phase(Phase::Leaving);
        self.notify_membership(spread::Event::Leaving);
        self.notify_ownership(own::Event::Leave);
    }

    pub(super) fn handle_connect_failure(&mut self, host: HostId, refused: bool) {
        let overridden = self.deps.cfg.address_overrides.contains_key(&host);
        // An overriding address may not belong to the host itself, so a refused connection does not
        // show that the host has ended.
        if refused
            && !overridden
            && let Some(view) = self.membership.host(&host)
        {
            self.notify_ownership(own::Event::PeerEnded(peers::host_ref(&view)));
        }
        self.notify_membership(spread::Event::Disconnected { host });
    }

    pub(super) fn set_draining(&mut self, upstream: UpstreamId, draining: bool) {
        let known = self.draining.contains(&upstream);
        if known == draining {
            return;
        }
        if draining {
            self.draining.insert(upstream.clone());
        } else {
            self.draining.shift_remove(&upstream);
        }
        self.notify_ownership(own::Event::Draining { upstream, draining });
    }

    pub(super) fn handle_notice(&mut self, notice: DispatchEvent) {
        match notice {
            DispatchEvent::Drained { upstream, slice } => {
                for hold in self.dispatch_updates.drained(&upstream, slice) {
                    let upstream = upstream.clone();
                    self.notify_ownership(own::Event::Drained { upstream, hold });
                }
            }
            DispatchEvent::UpstreamFault { upstream, reason } => {
                debug!(self.deps.log, "upstream fault";
                    "upstream" => %upstream, "reason" => reason.as_str());
            }
        }
    }

    /// Records the queued load samples. Handling each sample as it arrives would wake the thread
    /// for each request.
    pub(super) fn record_samples(&mut self, samples: &mut mpsc::Receiver<LoadSample>) {
        let now = self.deps.clock.now();
        for _ in 0..samples.len() {
            let Ok(sample) = samples.try_recv() else {
                return;
            };
            self.placement.record_sample(now, &sample);
        }
    }
}
