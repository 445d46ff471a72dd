//! The membership state machine of one host: heartbeats, relaying of rows and reads of the table.
//!
//! - `connections`: connections to other hosts.
//! - `event`: events and actions.
//! - `freshness`: how fresh the replica is.
//! - `heartbeats`: heartbeats and their replies.
//! - `hosts`: records of all hosts.
//! - `liveness`: detection of unresponsive hosts, and the exchange of host records.
//! - `peer`: state kept for each host that this host communicates with.
//! - `polling`: reads of the table.
//! - `relaying`: changes and read leases sent to other hosts.
//! - `roles`: which hosts read the table, relay to which others and watch which others.
//! - `settings`: settings, and the identity of the host.
//! - `sources`: hosts from which this one receives rows.

mod connections;
mod event;
mod freshness;
mod heartbeats;
mod hosts;
mod liveness;
mod peer;
mod polling;
mod relaying;
mod roles;
mod settings;
mod sources;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use ids::{DomainId, HostId, Timestamp};
use platform::Row;
use wire::control::{Body, Frame, Hello, Push};

use crate::{Prefix, Replica, RowChange};
use freshness::Freshness;
use hosts::HostRecords;
use peer::Peer;
use polling::PollSchedule;
use relaying::PreviousWatermarks;
use roles::{EligibleHosts, Roles};

pub use event::{Action, ChangeSummary, Event, ReadLease};
pub use hosts::HostView;
pub use settings::{HostIdentity, MembershipSettings};

/// Work that remains to be done in the rest of a step.
#[derive(Debug)]
struct PendingWork {
    /// Connections and heartbeats must be updated.
    heartbeats: bool,
    /// Roles must be computed again, as the hosts that they depend on may have changed.
    roles: bool,
    /// A change of host records must be reported.
    hosts: bool,
}

/// The membership and replication state of one host.
#[derive(Debug)]
pub struct Membership {
    settings: MembershipSettings,
    identity: HostIdentity,
    hosts: HostRecords,
    replica: Replica,
    peers: BTreeMap<HostId, Peer>,
    counterparts: BTreeSet<HostId>,
    /// Hosts to which a frame could not be sent, and when that last happened.
    needed_connections: BTreeMap<HostId, Timestamp>,
    roles: Roles,
    /// Number of table readers in all domains together.
    reader_count: usize,
    pending_work: PendingWork,
    /// Hosts that count as alive but don't answer this host.
    suspects: BTreeSet<HostId>,
    /// Since when this host has watched others without having been paused itself.
    watching_since: Timestamp,
    /// When this host joined its domain, if it has.
    joined: Option<Timestamp>,
    started: Timestamp,
    last_step: Timestamp,
    /// Number of the last heartbeat sent.
    last_heartbeat: u64,
    poll_schedule: PollSchedule,
    freshness: Freshness,
    /// Hosts whose records are to be sent, by receiver.
    pending_records: BTreeMap<HostId, BTreeSet<HostId>>,
    /// When this host last requested all records from another.
    sync_requested_at: Timestamp,
    previous_watermarks: PreviousWatermarks,
    /// The sender of a transfer of several pages, and when its last page arrived.
    incoming_pages: Option<(HostId, Timestamp)>,
    /// When the preferred relay source last sent a read lease.
    lease_received_at: Timestamp,
    /// Whether whole rows must be requested because a patch did not fit.
    needs_whole_rows: bool,
    /// When the next page of a transfer of several pages may be sent.
    next_page_at: Timestamp,
    transfer_count: u64,
    domain_last_received: BTreeMap<DomainId, Timestamp>,
    unresponsive_domains: BTreeSet<DomainId>,
    forget_due: Timestamp,
}

impl Membership {
    /// Creates the state of a host that has just started at `now`.
    #[must_use]
    pub fn new(settings: MembershipSettings, identity: HostIdentity, now: Timestamp) -> Self {
        Self {
            hosts: HostRecords::new(&identity, now),
            replica: Replica::new(),
            peers: BTreeMap::new(),
            counterparts: BTreeSet::new(),
            needed_connections: BTreeMap::new(),
            roles: Roles::default(),
            reader_count: 0,
            pending_work: PendingWork {
                heartbeats: true,
                roles: true,
                hosts: false,
            },
            suspects: BTreeSet::new(),
            watching_since: now,
            joined: None,
            started: now,
            last_step: now,
            last_heartbeat: 0,
            poll_schedule: PollSchedule::default(),
            freshness: Freshness::default(),
            pending_records: BTreeMap::new(),
            sync_requested_at: Timestamp::ZERO,
            previous_watermarks: PreviousWatermarks::default(),
            incoming_pages: None,
            lease_received_at: now,
            needs_whole_rows: false,
            next_page_at: now,
            transfer_count: 0,
            domain_last_received: BTreeMap::new(),
            unresponsive_domains: BTreeSet::new(),
            forget_due: now,
            settings,
            identity,
        }
    }

    /// Handles `event` at `now` and appends the resulting actions to `actions`.
    pub fn step(&mut self, now: Timestamp, event: Event, actions: &mut Vec<Action>) {
        self.detect_pause(now);
        match event {
            Event::Tick => self.on_tick(now, actions),
            Event::Connected { host } => self.on_connected(now, host),
            Event::Disconnected { host } => self.on_disconnected(now, &host),
            Event::FrameReceived { from, frame } => self.on_frame(now, &from, frame, actions),
            Event::HostsListed(listed) => self.on_listed(now, &listed),
            Event::TableRead {
                prefix,
                since,
                began,
                changes,
            } => self.on_table_read(now, prefix, since, began, changes, actions),
            Event::RowsCommitted(rows) => self.on_committed_rows(now, &rows, actions),
            Event::Counterparts(hosts) => self.counterparts = hosts.into_iter().collect(),
            Event::ConnectionNeeded { host } => self.on_connection_needed(now, host),
            Event::Leaving => self.on_leaving(now),
        }
        self.refresh_roles(now);
        self.emit_changes(now, actions);
        self.request_reads(now, actions);
        if std::mem::take(&mut self.pending_work.heartbeats) {
            self.send_heartbeats(now, actions);
        }
        self.relay_changes(now, actions);
        self.send_pending_records(actions);
    }

    /// Returns the replica.
    #[must_use]
    pub const fn replica(&self) -> &Replica {
        &self.replica
    }

    /// Takes the rows that changed since the last call; to be called on each [`Action::Changed`].
    #[must_use]
    pub fn take_changed_rows(&mut self) -> Vec<RowChange> {
        self.replica.take_changed_rows()
    }

    /// Returns the settings.
    #[must_use]
    pub const fn settings(&self) -> &MembershipSettings {
        &self.settings
    }

    /// Returns the identity of this host.
    #[must_use]
    pub const fn identity(&self) -> &HostIdentity {
        &self.identity
    }

    /// Returns the first frame to send on each new control connection.
    #[must_use]
    pub fn hello(&self) -> Frame {
        frame(Body::Hello(Hello {
            host: Some(self.hosts.own().to_wire(&self.identity.host)),
        }))
    }

    /// Iterates over all known hosts except this one, by name.
    pub fn hosts(&self) -> impl Iterator<Item = HostView> {
        let others = self
            .hosts
            .iter()
            .filter(|(host, _)| **host != self.identity.host);
        others.filter_map(|(host, _)| self.host(host))
    }

    /// Returns the state of a host, if it is known.
    #[must_use]
    pub fn host(&self, host: &HostId) -> Option<HostView> {
        let record = self.hosts.get(host)?;
        Some(HostView {
            host: host.clone(),
            domain: record.domain.clone(),
            incarnation: record.incarnation,
            control: record.control,
            dispatch: record.dispatch,
            alive: record.is_alive(),
            leaving: record.leaving,
            last_received: self.peers.get(host).and_then(|p| p.last_received),
        })
    }

    /// Iterates over the live hosts of a domain, including this one, by name.
    pub fn alive_in(&self, domain: &DomainId) -> impl Iterator<Item = HostView> {
        let alive = self
            .hosts
            .iter()
            .filter(move |(_, r)| r.is_alive() && r.domain == *domain);
        alive.filter_map(|(host, _)| self.host(host))
    }

    /// Iterates over the domains from which no host of this host's domain receives anything.
    pub fn unresponsive_domains(&self) -> impl Iterator<Item = &DomainId> {
        self.unresponsive_domains.iter()
    }

    /// Returns the freshest read lease, if there was any.
    #[must_use]
    pub const fn read_lease(&self) -> Option<ReadLease> {
        self.freshness.read_lease()
    }

    /// Returns how long ago the read of the table began that the replica's rows below a prefix are
    /// based on, if it is known. A host that was started in an outage reports by this how old its
    /// rows are.
    #[must_use]
    pub fn age(&self, now: Timestamp, prefix: Prefix) -> Option<Duration> {
        self.freshness.age(now, prefix)
    }

    /// Returns whether this host reads the table for its domain.
    #[must_use]
    pub const fn is_table_reader(&self) -> bool {
        self.joined.is_some() && self.roles.reader_rank.is_some()
    }

    fn on_tick(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        self.pending_work.heartbeats = true;
        let watermarks = self.replica.complete_up_to();
        self.previous_watermarks
            .update(now, watermarks, self.settings.standby_lag);
        self.join_without_peers(now);
        self.update_suspects(now);
        self.report_unresponsive(now, actions);
        self.update_unresponsive_domains(now);
        self.close_idle(now, actions);
        if now >= self.forget_due {
            self.forget_due = now + self.settings.forget_after / 60;
            self.hosts.remove_expired(now, self.settings.forget_after);
        }
    }

    /// Restarts all heartbeat timeouts after a pause of this host, as it received nothing meanwhile
    /// and that says nothing about other hosts.
    fn detect_pause(&mut self, now: Timestamp) {
        let gap = now.since(self.last_step);
        self.last_step = now;
        if gap < self.settings.min_pause {
            return;
        }
        self.watching_since = now;
        self.domain_last_received.clear();
        for peer in self
            .peers
            .values_mut()
            .filter(|p| p.expected_since.is_some())
        {
            peer.expected_since = Some(now);
        }
    }

    /// Returns the interval between heartbeats to a host of the own domain.
    fn heartbeat_interval(&self) -> Duration {
        if self.roles.domain_size() <= self.settings.small_domain {
            return self.settings.heartbeat_interval;
        }
        self.settings
            .heartbeat_interval
            .max(self.settings.heartbeat_interval_in_large)
    }

    /// Returns the time without a heartbeat after which a host counts as unresponsive.
    fn heartbeat_timeout(&self) -> Duration {
        self.settings
            .heartbeat_timeout
            .max(self.heartbeat_interval() * 3)
    }

    /// Joins the domain without records from another of its hosts: after `join_timeout` if none is
    /// connected, or after three times that if none has sent its records.
    fn join_without_peers(&mut self, now: Timestamp) {
        if self.joined.is_some() || now.since(self.started) < self.settings.join_timeout {
            return;
        }
        let mut domain_hosts = self.peers.iter().filter(|(host, p)| {
            p.connected
                && self
                    .hosts
                    .get(host)
                    .is_some_and(|r| r.domain == self.identity.domain)
        });
        let max_wait = self.settings.join_timeout * 3;
        if domain_hosts.next().is_none() || now.since(self.started) >= max_wait {
            self.join(now);
        }
    }

    fn join(&mut self, now: Timestamp) {
        if self.joined.is_none() {
            self.joined = Some(now);
            self.pending_work.roles = true;
        }
    }

    fn on_leaving(&mut self, now: Timestamp) {
        let beat = self.last_heartbeat + 1;
        let own_host = self.identity.host.clone();
        let left = self.hosts.update(&own_host, now, |own| {
            own.leaving = true;
            own.beat = own.beat.max(beat) + 1;
        });
        if left {
            self.host_changed(&own_host, None);
        }
    }

    fn on_committed_rows(&mut self, now: Timestamp, rows: &[Row], actions: &mut Vec<Action>) {
        self.replica.apply_rows(rows);
        for prefix in Prefix::ALL {
            let newest = self.replica.newest_revision(prefix);
            self.on_newer_revision(now, prefix, newest, actions);
        }
    }

    /// Computes this host's roles again if they may have changed.
    fn refresh_roles(&mut self, now: Timestamp) {
        if !self.pending_work.roles {
            return;
        }
        self.pending_work.roles = false;
        let was_reader = self.is_table_reader();
        let eligible = self.eligible_hosts();
        self.reader_count = eligible
            .values()
            .map(|h| h.len().min(self.settings.readers_per_domain))
            .sum();
        let domain = &self.identity.domain;
        let domain_hosts = self
            .hosts
            .iter()
            .filter(|(_, r)| r.is_alive() && r.domain == *domain);
        let domain_hosts: Vec<HostId> = domain_hosts.map(|(host, _)| host.clone()).collect();
        self.roles = roles::compute_roles(
            &self.settings,
            &self.identity.host,
            domain,
            &eligible,
            &domain_hosts,
            &self.roles,
        );
        self.pending_work.heartbeats = true;
        if self.is_table_reader() != was_reader {
            let rank = self.roles.reader_rank.unwrap_or(0);
            self.poll_schedule.restart(&self.settings, now, rank);
            self.domain_last_received.clear();
            self.watching_since = self.watching_since.max(now);
        }
    }

    /// Returns the hosts that may be assigned a role. A domain in which no host responds is
    /// represented by all of its known hosts, so that it is found again.
    fn eligible_hosts(&self) -> EligibleHosts {
        let mut eligible = EligibleHosts::new();
        let mut fallback = EligibleHosts::new();
        for (host, record) in self.hosts.iter() {
            let is_self = *host == self.identity.host;
            let suspect = self.suspects.contains(host);
            if record.is_alive() && !record.leaving && !suspect {
                let hosts = eligible.entry(record.domain.clone()).or_default();
                hosts.push(host.clone());
            } else if !is_self && record.domain != self.identity.domain {
                let hosts = fallback.entry(record.domain.clone()).or_default();
                hosts.push(host.clone());
            }
        }
        for (domain, hosts) in fallback {
            eligible.entry(domain).or_insert(hosts);
        }
        eligible
    }

    fn emit_changes(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        let changed = ChangeSummary {
            catalogue: self.replica.has_changed_rows(Prefix::Catalogue),
            own: self.replica.has_changed_rows(Prefix::Own),
            hosts: std::mem::take(&mut self.pending_work.hosts),
        };
        if changed != ChangeSummary::default() {
            actions.push(Action::Changed(changed));
        }
        let own = self.replica.complete_up_to().own;
        if let Some(read_lease) = self.freshness.confirm(own) {
            actions.push(Action::ReadLease(read_lease));
        }
        let Some(joined) = self.joined else { return };
        let timeout = self.settings.unreachable_after;
        if let Some(reachable) = self.freshness.update_reachable(now, joined, timeout) {
            actions.push(Action::TableReachable(reachable));
        }
    }
}

const fn frame(body: Body) -> Frame {
    Frame { body: Some(body) }
}

fn push(to: &HostId, push: Push) -> Action {
    Action::Send {
        to: to.clone(),
        frame: frame(Body::Push(push)),
    }
}
