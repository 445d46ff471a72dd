//! Heartbeats and their replies.

use std::collections::BTreeMap;
use std::time::Duration;

use ids::{HostId, Timestamp};
use wire::control::{Body, Frame, Heartbeat, HeartbeatReply, Hello, RelayMode};

use super::event::Action;
use super::hosts::{MergeOutcome, Record};
use super::peer::{LastReply, Peer, prefix_index};
use super::{Membership, frame};
use crate::{Prefix, Watermarks};

/// Minimum interval between two expedited heartbeats, as a fraction of the usual interval.
const MIN_EXPEDITED_SHARE: f64 = 0.4;
/// Minimum time between two requests for all host records.
const MIN_SYNC_INTERVAL: Duration = Duration::from_millis(250);
/// Factor by which heartbeats to the standby source are less frequent in a large domain.
const STANDBY_FACTOR: u32 = 4;

/// What heartbeats to a host request, and how often they are sent.
#[derive(Debug, Clone, Copy)]
pub(super) struct HeartbeatTarget {
    mode: RelayMode,
    interval: Duration,
}

impl Membership {
    /// Handles a frame from a connected host.
    pub(super) fn on_frame(
        &mut self,
        now: Timestamp,
        from: &HostId,
        frame: Frame,
        actions: &mut Vec<Action>,
    ) {
        let Some(peer) = self.peers.get_mut(from) else {
            return;
        };
        if !peer.connected {
            return;
        }
        peer.last_received = Some(now);
        if let Some(record) = self.hosts.get(from) {
            self.domain_last_received.insert(record.domain.clone(), now);
        }
        match frame.body {
            Some(Body::Hello(hello)) => self.on_hello(now, from, &hello, actions),
            Some(Body::Heartbeat(heartbeat)) => self.on_heartbeat(now, from, &heartbeat, actions),
            Some(Body::Reply(reply)) => self.on_reply(now, from, &reply, actions),
            Some(Body::Push(message)) => self.on_push(now, from, &message, actions),
            Some(Body::Own(message)) => actions.push(Action::Own {
                from: from.clone(),
                message,
            }),
            // Loads are for placement; the host passes them there itself.
            Some(Body::Loads(_)) | None => {}
        }
    }

    fn on_hello(
        &mut self,
        now: Timestamp,
        from: &HostId,
        hello: &Hello,
        actions: &mut Vec<Action>,
    ) {
        let Some(record) = &hello.host else { return };
        let alive = self.hosts.get(from).is_some_and(Record::is_alive);
        if let MergeOutcome::Replaced(host) = self.hosts.merge(record, now) {
            self.host_changed(&host, Some(from));
        }
        let incarnation = ids::Incarnation(record.incarnation);
        let known = self.hosts.get(from).map(|r| r.incarnation);
        if known != Some(incarnation) {
            // An earlier incarnation of the host; a later one is known already.
            actions.push(Action::Disconnect { host: from.clone() });
            return;
        }
        if let Some(peer) = self.peers.get_mut(from) {
            peer.incarnation = incarnation;
            peer.last_heartbeat = peer.last_heartbeat.min(record.beat);
        }
        if !alive {
            self.pending_work.roles = true;
        }
    }

    fn on_heartbeat(
        &mut self,
        now: Timestamp,
        from: &HostId,
        heartbeat: &Heartbeat,
        actions: &mut Vec<Action>,
    ) {
        self.refute_unresponsive(now, from, heartbeat.beat);
        let Some(peer) = self.peers.get_mut(from) else {
            return;
        };
        peer.last_heartbeat = heartbeat.beat;
        let resend_after = self.settings.resend_after;
        record_request(peer, now, heartbeat, resend_after);
        let previous = self.previous_watermarks.get();
        let holds = peer.relay_target.holds;
        let rows = self
            .replica
            .has_rows_after(Prefix::Catalogue, holds.catalogue);
        peer.relay_target.lagging[prefix_index(Prefix::Own)] = holds.own < previous.own;
        peer.relay_target.lagging[prefix_index(Prefix::Catalogue)] =
            holds.catalogue < previous.catalogue && rows;
        if heartbeat.sync {
            self.send_all_hosts(from, actions);
        }
        actions.push(Action::Send {
            to: from.clone(),
            frame: frame(Body::Reply(self.reply(now, heartbeat))),
        });
    }

    fn reply(&self, now: Timestamp, heartbeat: &Heartbeat) -> HeartbeatReply {
        let millis = |d: Duration| u32::try_from(d.as_millis()).unwrap_or(u32::MAX);
        let age = |prefix| self.freshness.age(now, prefix).map(millis);
        if heartbeat.brief {
            return HeartbeatReply {
                echo_us: heartbeat.sent_us,
                ..HeartbeatReply::default()
            };
        }
        HeartbeatReply {
            echo_us: heartbeat.sent_us,
            holds: Some(self.replica.complete_up_to().into()),
            own_age_ms: age(Prefix::Own),
            catalogue_age_ms: age(Prefix::Catalogue),
            table_reached_age_ms: self.freshness.table_reached().map(|r| millis(now.since(r))),
            members_hash: self.hosts.hash(),
            unresponsive_domains: self
                .unresponsive_domains
                .iter()
                .map(ToString::to_string)
                .collect(),
        }
    }

    fn on_reply(
        &mut self,
        now: Timestamp,
        from: &HostId,
        reply: &HeartbeatReply,
        actions: &mut Vec<Action>,
    ) {
        let Some(peer) = self.peers.get_mut(from) else {
            return;
        };
        let incarnation = peer.incarnation;
        // Ages count from when the heartbeat was sent, as the reply may have been delayed.
        let sent = Timestamp::from_micros(reply.echo_us).min(now);
        actions.push(Action::PeerAlive {
            host: from.clone(),
            incarnation,
            echo_of: sent,
        });
        let Some(holds) = reply.holds else { return };
        let ago = |ms: Option<u32>| ms.map(|ms| sent - Duration::from_millis(u64::from(ms) + 1));
        let holds = Watermarks::from(holds);
        peer.reply = Some(LastReply {
            holds,
            own_read_at: ago(reply.own_age_ms),
            table_reached: ago(reply.table_reached_age_ms),
        });
        let differs = reply.members_hash != self.hosts.hash();
        peer.differs_since = differs.then(|| peer.differs_since.unwrap_or(now));
        self.merge_ages(holds, ago(reply.own_age_ms), ago(reply.catalogue_age_ms));
        self.adopt_domain_view(now, from, reply, ago(reply.table_reached_age_ms));
    }

    /// Adopts the ages of another host's rows if this replica holds as much as that host.
    fn merge_ages(
        &mut self,
        holds: Watermarks,
        own: Option<Timestamp>,
        catalogue: Option<Timestamp>,
    ) {
        let watermarks = self.replica.complete_up_to();
        for (prefix, read) in [(Prefix::Own, own), (Prefix::Catalogue, catalogue)] {
            if let Some(read) = read.filter(|_| watermarks.get(prefix) >= holds.get(prefix)) {
                self.freshness.record_read(prefix, read);
            }
        }
    }

    /// Adopts from a host of the own domain when the domain last read the table, and from the
    /// preferred relay source which domains are unresponsive.
    fn adopt_domain_view(
        &mut self,
        now: Timestamp,
        from: &HostId,
        reply: &HeartbeatReply,
        table_reached: Option<Timestamp>,
    ) {
        let record = self.hosts.get(from);
        if record.is_none_or(|r| r.domain != self.identity.domain) {
            return;
        }
        if let Some(table_reached) = table_reached {
            self.freshness.record_table_read(table_reached);
        }
        let is_source = self
            .relay_sources(now)
            .first()
            .is_some_and(|(host, _)| host == from);
        if is_source && !self.is_table_reader() {
            let names = reply.unresponsive_domains.iter();
            let parsed = names.filter_map(|d| ids::DomainId::new(d.as_str()).ok());
            self.unresponsive_domains = parsed.collect();
        }
    }

    /// Returns all hosts that this one sends heartbeats to.
    fn targets(&self, now: Timestamp) -> BTreeMap<HostId, HeartbeatTarget> {
        let local = HeartbeatTarget {
            mode: RelayMode::None,
            interval: self.heartbeat_interval(),
        };
        let remote = HeartbeatTarget {
            mode: RelayMode::None,
            interval: self.settings.remote_heartbeat_interval,
        };
        let mut targets = BTreeMap::new();
        if self.joined.is_some() {
            targets.extend(
                self.roles
                    .remote_readers
                    .iter()
                    .map(|h| (h.clone(), remote)),
            );
            let local_hosts = self
                .roles
                .watchers
                .iter()
                .chain(&self.roles.other_readers)
                .chain(&self.roles.relay_sources);
            targets.extend(local_hosts.map(|h| (h.clone(), local)));
        }
        // Suspects get heartbeats too, so that they are found again.
        for host in &self.suspects {
            targets.entry(host.clone()).or_insert(remote);
        }
        targets.extend(self.counterparts.iter().map(|h| (h.clone(), local)));
        for (host, mode) in self.relay_sources(now) {
            let interval = match mode {
                RelayMode::Standby => self.standby_interval(now),
                _ => local.interval,
            };
            let target = targets
                .entry(host)
                .or_insert(HeartbeatTarget { mode, interval });
            target.mode = mode;
            target.interval = target.interval.min(interval);
        }
        targets.remove(&self.identity.host);
        targets
    }

    /// Returns the interval between heartbeats to the standby source. In a large domain they are
    /// less frequent, except while the preferred source is late with its read lease.
    pub(super) fn standby_interval(&self, now: Timestamp) -> Duration {
        let interval = self.heartbeat_interval();
        let small = self.roles.domain_size() <= self.settings.small_domain;
        let lease_overdue = now.since(self.lease_received_at) > interval.mul_f64(1.5);
        if small || lease_overdue {
            return interval;
        }
        interval * STANDBY_FACTOR
    }

    /// Sends the heartbeats that are due.
    pub(super) fn send_heartbeats(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        let targets = self.targets(now);
        self.open_connections(now, &targets, actions);
        self.cancel_relaying(now, &targets, actions);
        for (host, target) in targets {
            let peer = self.peers.entry(host.clone()).or_default();
            peer.expected_since.get_or_insert(now);
            peer.interval = target.interval;
            peer.heartbeat_due = peer
                .heartbeat_due
                .min(peer.heartbeat_sent_at + target.interval);
            if !peer.connected || now < peer.heartbeat_due {
                continue;
            }
            peer.heartbeat_due = now + target.interval;
            peer.heartbeat_sent_at = now;
            self.send_heartbeat(now, host, target.mode, actions);
        }
    }

    /// Notifies hosts that no longer need to relay to this one.
    fn cancel_relaying(
        &mut self,
        now: Timestamp,
        targets: &BTreeMap<HostId, HeartbeatTarget>,
        actions: &mut Vec<Action>,
    ) {
        let mut cancelled = Vec::new();
        for (host, peer) in &mut self.peers {
            if targets.contains_key(host) {
                continue;
            }
            peer.expected_since = None;
            if peer.connected && peer.requested_mode != RelayMode::None {
                cancelled.push(host.clone());
            }
        }
        for host in cancelled {
            self.send_heartbeat(now, host, RelayMode::None, actions);
        }
    }

    fn send_heartbeat(
        &mut self,
        now: Timestamp,
        to: HostId,
        mode: RelayMode,
        actions: &mut Vec<Action>,
    ) {
        let sync = self.needs_sync(now, &to);
        let Some(peer) = self.peers.get_mut(&to) else {
            return;
        };
        peer.requested_mode = mode;
        if sync {
            peer.sync_requested = true;
            peer.differs_since = None;
            self.sync_requested_at = now;
        }
        let whole = self.needs_whole_rows && mode == RelayMode::Full;
        self.needs_whole_rows &= !whole;
        self.last_heartbeat += 1;
        let heartbeat = Heartbeat {
            beat: self.last_heartbeat,
            sent_us: now.as_micros(),
            holds: Some(self.replica.complete_up_to().into()),
            relay_mode: mode.into(),
            members_hash: self.hosts.hash(),
            sync,
            whole,
            brief: mode == RelayMode::None && !self.exchanges_with(&to),
        };
        actions.push(Action::Send {
            to,
            frame: frame(Body::Heartbeat(heartbeat)),
        });
    }

    /// Returns whether to request all records from a host. A starting host always does; others do
    /// so if the records differ, immediately on a new connection and otherwise if the difference
    /// persists for `sync_delay`.
    fn needs_sync(&self, now: Timestamp, host: &HostId) -> bool {
        if self.joined.is_none() {
            return true;
        }
        if !self.exchanges_with(host) || now.since(self.sync_requested_at) < MIN_SYNC_INTERVAL {
            return false;
        }
        let Some(peer) = self.peers.get(host) else {
            return false;
        };
        let delay = if peer.sync_requested {
            self.settings.sync_delay
        } else {
            Duration::ZERO
        };
        peer.differs_since.is_some_and(|d| now.since(d) >= delay)
    }

    /// Sends the next heartbeat to the preferred relay source early, so that it requests the next
    /// read lease soon after the last one arrived. It waits until all levels of hosts below this
    /// one have sent theirs, so that one read of the table serves them all.
    pub(super) fn expedite_heartbeats(
        &mut self,
        now: Timestamp,
        relay_sources: &[(HostId, RelayMode)],
    ) {
        let delay = self.settings.lease_request_delay * self.roles.levels_below;
        let gap = self.heartbeat_interval().mul_f64(MIN_EXPEDITED_SHARE);
        for (host, _) in relay_sources
            .iter()
            .filter(|(_, mode)| *mode == RelayMode::Full)
        {
            if let Some(peer) = self.peers.get_mut(host) {
                let soonest = (now + delay).max(peer.heartbeat_sent_at + gap);
                peer.heartbeat_due = peer.heartbeat_due.min(soonest);
                self.pending_work.heartbeats |= peer.heartbeat_due <= now;
            }
        }
    }
}

/// Records what the sender of a heartbeat holds and requests.
fn record_request(peer: &mut Peer, now: Timestamp, heartbeat: &Heartbeat, resend_after: Duration) {
    let target = &mut peer.relay_target;
    let mode = RelayMode::try_from(heartbeat.relay_mode).unwrap_or(RelayMode::None);
    let holds = Watermarks::from(heartbeat.holds.unwrap_or_default());
    let restart = target.mode == RelayMode::None || heartbeat.whole;
    target.mode = mode;
    target.holds = holds;
    target.whole_rows |= heartbeat.whole;
    for prefix in Prefix::ALL {
        let stalled = now.since(target.sent_at[prefix_index(prefix)]) > resend_after;
        let idle = target.outgoing[prefix_index(prefix)].is_none();
        if restart || (idle && stalled) {
            target.outgoing[prefix_index(prefix)] = None;
            match prefix {
                Prefix::Catalogue => target.sent_up_to.catalogue = holds.catalogue,
                Prefix::Own => target.sent_up_to.own = holds.own,
            }
        }
        target.sent_up_to.raise(prefix, holds.get(prefix));
    }
    if mode == RelayMode::None {
        target.outgoing = [None, None];
        return;
    }
    target.record_heartbeat(now, heartbeat.sent_us);
}
