//! Detection of unresponsive hosts, and the exchange of host records.
//!
//! A host's watchers report it as unresponsive when they receive nothing from it. Any host that
//! receives a later heartbeat from it, or the host itself, refutes the report. The platform's list
//! affects neither.

use std::collections::BTreeSet;

use ids::{HostId, Timestamp};
use platform::ListedHost;
use wire::control::{HostRecord, Push, RelayMode};

use super::event::Action;
use super::hosts::{MergeOutcome, Record};
use super::peer::Peer;
use super::{Membership, push};

/// Factor by which a watcher waits longer for the first frame of a host.
const FIRST_HEARTBEAT_FACTOR: u32 = 3;

impl Membership {
    /// Merges the platform's list, which only adds hosts to connect to.
    pub(super) fn on_listed(&mut self, now: Timestamp, listed: &[ListedHost]) {
        if self.hosts.merge_listed(listed, now) {
            self.pending_work.roles = true;
            self.pending_work.hosts = true;
        }
    }

    /// Merges a record that another host sent.
    pub(super) fn merge_record(
        &mut self,
        now: Timestamp,
        from: &HostId,
        record: &HostRecord,
        actions: &mut Vec<Action>,
    ) {
        let alive = HostId::new(record.host.as_str())
            .ok()
            .and_then(|host| self.hosts.get(&host).map(Record::is_alive));
        match self.hosts.merge(record, now) {
            MergeOutcome::Replaced(host) => {
                if alive == Some(true) {
                    self.emit_unresponsive(&host, actions);
                }
                self.host_changed(&host, Some(from));
            }
            MergeOutcome::Stale(host) => {
                self.pending_records
                    .entry(from.clone())
                    .or_default()
                    .insert(host);
            }
            MergeOutcome::Refuted => {
                self.last_heartbeat = self.last_heartbeat.max(self.hosts.own().beat);
                self.host_changed(&self.identity.host.clone(), None);
            }
            MergeOutcome::Unchanged => {}
        }
    }

    /// Handles the end of a host's list of all its records: queues the records that it lacks, and
    /// joins the domain if the host belongs to it.
    pub(super) fn on_all_records(
        &mut self,
        now: Timestamp,
        from: &HostId,
        received: &[HostRecord],
    ) {
        let received: BTreeSet<&str> = received.iter().map(|r| r.host.as_str()).collect();
        let alive = self
            .hosts
            .iter()
            .filter(|(_, r)| r.incarnation.0 > 0 && !r.unresponsive);
        let missing = alive.filter(|(host, _)| !received.contains(host.as_str()) && *host != from);
        let missing: BTreeSet<HostId> = missing.map(|(host, _)| host.clone()).collect();
        if !missing.is_empty() {
            self.pending_records
                .entry(from.clone())
                .or_default()
                .extend(missing);
        }
        let record = self.hosts.get(from);
        if record.is_some_and(|r| r.domain == self.identity.domain) {
            self.join(now);
        }
    }

    /// Records that a record changed, and queues it for all neighbours except the host that sent
    /// it.
    pub(super) fn host_changed(&mut self, host: &HostId, from: Option<&HostId>) {
        self.pending_work.hosts = true;
        self.pending_work.roles = true;
        for neighbour in self.neighbours() {
            if Some(&neighbour) == from || neighbour == *host {
                continue;
            }
            self.pending_records
                .entry(neighbour)
                .or_default()
                .insert(host.clone());
        }
    }

    /// Returns whether a host is one that this one chose to exchange records with.
    pub(super) fn exchanges_with(&self, host: &HostId) -> bool {
        self.exchange_partners().any(|partner| partner == host)
    }

    fn exchange_partners(&self) -> impl Iterator<Item = &HostId> {
        let roles = &self.roles;
        roles
            .relay_sources
            .iter()
            .chain(&roles.other_readers)
            .chain(&roles.remote_readers)
    }

    /// Returns the connected hosts with which records are exchanged.
    fn neighbours(&self) -> BTreeSet<HostId> {
        let exchange_partners = self.exchange_partners();
        let targets = self
            .peers
            .iter()
            .filter(|(_, p)| p.relay_target.mode != RelayMode::None);
        let all = exchange_partners
            .cloned()
            .chain(targets.map(|(host, _)| host.clone()));
        all.filter(|h| self.is_connected(h)).collect()
    }

    /// Sends the queued records to each host.
    pub(super) fn send_pending_records(&mut self, actions: &mut Vec<Action>) {
        for (to, hosts_to_send) in std::mem::take(&mut self.pending_records) {
            if !self.is_connected(&to) {
                continue;
            }
            let record = |host: &HostId| Some(self.hosts.get(host)?.to_wire(host));
            let hosts: Vec<HostRecord> = hosts_to_send.iter().filter_map(record).collect();
            actions.push(push(
                &to,
                Push {
                    hosts,
                    ..Push::default()
                },
            ));
        }
    }

    /// Sends a host the records of all hosts.
    pub(super) fn send_all_hosts(&self, to: &HostId, actions: &mut Vec<Action>) {
        let known = self.hosts.iter().filter(|(_, r)| r.incarnation.0 > 0);
        let hosts = known.map(|(host, record)| record.to_wire(host)).collect();
        actions.push(push(
            to,
            Push {
                hosts,
                all_hosts: true,
                ..Push::default()
            },
        ));
    }

    /// Refutes a report that `host` is unresponsive, because heartbeat number `beat` arrived from
    /// it.
    pub(super) fn refute_unresponsive(&mut self, now: Timestamp, host: &HostId, beat: u64) {
        let incarnation = self.peers.get(host).map(|p| p.incarnation);
        let Some(record) = self.hosts.get(host) else {
            return;
        };
        let reported = record.unresponsive && Some(record.incarnation) == incarnation;
        if !reported || beat <= record.beat {
            return;
        }
        let refuted = self.hosts.update(host, now, |r| {
            r.beat = beat;
            r.unresponsive = false;
        });
        if refuted {
            self.host_changed(host, None);
        }
    }

    /// Reports watched hosts from which nothing has arrived in time.
    pub(super) fn report_unresponsive(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        let unresponsive: Vec<HostId> = self
            .roles
            .watched
            .iter()
            .filter(|host| self.is_unresponsive(now, host))
            .cloned()
            .collect();
        for host in unresponsive {
            let beat = self.peers.get(&host).map_or(0, |p| p.last_heartbeat);
            let changed = self.hosts.update(&host, now, |r| {
                r.beat = r.beat.max(beat);
                r.unresponsive = true;
            });
            if changed {
                self.emit_unresponsive(&host, actions);
                self.host_changed(&host, None);
            }
        }
    }

    fn is_unresponsive(&self, now: Timestamp, host: &HostId) -> bool {
        let Some(record) = self.hosts.get(host).filter(|r| r.is_alive()) else {
            return false;
        };
        let expected = record.changed_at.max(self.watching_since);
        let received = self.peers.get(host).and_then(|p| p.last_received);
        match received.filter(|h| *h > expected) {
            Some(received) => now.since(received) > self.heartbeat_timeout(),
            None => now.since(expected) > self.heartbeat_timeout() * FIRST_HEARTBEAT_FACTOR,
        }
    }

    fn emit_unresponsive(&self, host: &HostId, actions: &mut Vec<Action>) {
        let Some(record) = self.hosts.get(host).filter(|r| r.unresponsive) else {
            return;
        };
        actions.push(Action::PeerUnresponsive {
            host: host.clone(),
            incarnation: record.incarnation,
        });
    }

    /// Finds the hosts that count as alive but don't answer this host; they get no role here until
    /// they do.
    pub(super) fn update_suspects(&mut self, now: Timestamp) {
        let alive = |host: &HostId| self.hosts.get(host).is_some_and(Record::is_alive);
        let suspect = |host: &HostId, peer: &Peer| {
            let timeout = self.heartbeat_timeout().max(peer.interval * 3);
            if self.suspects.contains(host) {
                // A suspect stays one until a frame arrives from it again.
                let responsive = peer.last_received.is_some_and(|h| now.since(h) <= timeout);
                return !responsive || !peer.connected;
            }
            let timed_out = peer.time_without_contact(now).is_some_and(|s| s > timeout);
            let not_connected = peer.expected_since.is_some() && !peer.connected;
            timed_out || (not_connected && peer.connect_attempts.has_failed_twice(&self.settings))
        };
        let suspects: BTreeSet<HostId> = self
            .peers
            .iter()
            .filter(|(host, peer)| alive(host) && suspect(host, peer))
            .map(|(host, _)| host.clone())
            .collect();
        if suspects != self.suspects {
            self.suspects = suspects;
            self.pending_work.roles = true;
        }
    }

    /// Finds the unresponsive domains. A table reader determines them by its own connections; other
    /// hosts adopt them from their relay source.
    pub(super) fn update_unresponsive_domains(&mut self, now: Timestamp) {
        if !self.is_table_reader() {
            return;
        }
        let timeout = self.settings.domain_timeout;
        let others = self.hosts.iter().map(|(_, r)| &r.domain);
        let others = others.filter(|d| **d != self.identity.domain);
        let unresponsive = others.filter(|domain| {
            let received = self.domain_last_received.get(*domain).copied();
            let last = received.map_or(self.watching_since, |h| h.max(self.watching_since));
            now.since(last) > timeout
        });
        self.unresponsive_domains = unresponsive.cloned().collect();
    }
}
