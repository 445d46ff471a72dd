//! Connections to other hosts: which ones are opened, and when idle ones are closed.

use std::collections::BTreeMap;
use std::time::Duration;

use ids::{HostId, Timestamp};
use wire::control::RelayMode;

use super::Membership;
use super::event::Action;
use super::heartbeats::HeartbeatTarget;

/// Maximum number of concurrent attempts to reach hosts that are known from the platform's list
/// alone.
const MAX_LISTED_ATTEMPTS: usize = 4;
/// Time for which a connection is attempted after a frame could not be sent. A frame that is still
/// needed then has been sent again.
const NEEDED_CONNECTION_TIME: Duration = Duration::from_secs(1);

impl Membership {
    pub(super) fn on_connected(&mut self, now: Timestamp, host: HostId) {
        self.peers.entry(host).or_default().connect(now);
        self.pending_work.heartbeats = true;
    }

    pub(super) fn on_disconnected(&mut self, now: Timestamp, host: &HostId) {
        let Some(peer) = self.peers.get_mut(host) else {
            return;
        };
        let was_source = peer.connected && peer.requested_mode == RelayMode::Full;
        peer.disconnect();
        peer.connect_attempts.record_failure(&self.settings, now);
        self.pending_work.heartbeats = true;
        if was_source {
            self.switch_to_next_source(now);
        }
    }

    /// Opens a connection with a host that is no target of heartbeats. It is closed once it has been
    /// idle for some time.
    pub(super) fn on_connection_needed(&mut self, now: Timestamp, host: HostId) {
        self.needed_connections.insert(host, now);
        self.pending_work.heartbeats = true;
    }

    /// Sends the next relay source a heartbeat immediately.
    fn switch_to_next_source(&mut self, now: Timestamp) {
        let next = self.relay_sources(now).into_iter().next();
        if let Some(peer) = next.and_then(|(host, _)| self.peers.get_mut(&host)) {
            peer.heartbeat_due = now;
        }
    }

    pub(super) fn is_connected(&self, host: &HostId) -> bool {
        self.peers.get(host).is_some_and(|p| p.connected)
    }

    /// Opens missing connections.
    pub(super) fn open_connections(
        &mut self,
        now: Timestamp,
        targets: &BTreeMap<HostId, HeartbeatTarget>,
        actions: &mut Vec<Action>,
    ) {
        self.needed_connections
            .retain(|_, at| now.since(*at) < NEEDED_CONNECTION_TIME);
        let mut hosts: Vec<HostId> = targets.keys().cloned().collect();
        hosts.extend(self.needed_connections.keys().cloned());
        hosts.extend(self.listed_domain_hosts());
        for host in hosts {
            let Some(record) = self.hosts.get(&host) else {
                continue;
            };
            let addr = record.control;
            let peer = self.peers.entry(host.clone()).or_default();
            if peer.connected
                || peer.connect_attempts.in_progress
                || now < peer.connect_attempts.due
            {
                continue;
            }
            peer.connect_attempts.in_progress = true;
            actions.push(Action::Connect { host, addr });
        }
    }

    /// Returns a few hosts of the own domain that are known from the platform's list alone.
    fn listed_domain_hosts(&self) -> Vec<HostId> {
        let listed_only = self.hosts.iter().filter(|(host, record)| {
            let connected = self.peers.get(host).is_some_and(|p| p.connected);
            record.incarnation.0 == 0 && record.domain == self.identity.domain && !connected
        });
        let listed_only: Vec<HostId> = listed_only.map(|(host, _)| host.clone()).collect();
        let mut hosts = self.in_local_order(&listed_only);
        let due = |host: &HostId| self.peers.get(host).map(|p| p.connect_attempts.due);
        hosts.sort_by_key(due);
        hosts.truncate(MAX_LISTED_ATTEMPTS);
        hosts
    }

    /// Closes connections that neither side uses.
    pub(super) fn close_idle(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        for (host, peer) in &mut self.peers {
            let idle = peer
                .last_received
                .is_none_or(|h| now.since(h) > self.settings.idle_timeout);
            if peer.connected && peer.expected_since.is_none() && idle {
                peer.disconnect();
                actions.push(Action::Disconnect { host: host.clone() });
            }
        }
    }
}
