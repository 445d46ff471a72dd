//! Heartbeats between hosts, in datagrams.
//!
//! Each host reports request rates of keys to their granting host. The reply shows that the
//! granting host is alive and how old its last read of the store is.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use assign::{GranterStatus, HostIncarnation, Partition, PartitionId, PartitionLeaseManager};
use ids::{BootClock, Clock, HostId, Incarnation, Revision, Timestamp, UpstreamId};
use indexmap::IndexMap;
use prost::Message;
use rand::Rng;
use slog::{debug, info};
use tokio::net::UdpSocket;

use crate::control::hosts::KnownHost;
use crate::control::messages::{
    GranterSighting, Heartbeat, HeartbeatReply, KeyCount, MovingRangesReport, ServiceTime,
};
use crate::control::partitions::PartitionState;
use crate::control::samples::{Sample, SampleRx};
use crate::control::shared::SharedControl;
use crate::control::state::ControlState;
use crate::control::takeover::unreachable_owners;
use crate::control::{confirmations, crashes, limits};

/// Interval of heartbeats: a third of the heartbeat timeout after which the granting host is
/// replaced.
const INTERVAL: Duration = Duration::from_millis(400);
/// Heartbeats that a granting host receives and answers in that time: this takes a twentieth of a
/// core.
const HEARTBEATS_PER_INTERVAL: usize = 320;
/// Largest datagram that is read.
const DATAGRAM_BYTES: usize = 16 << 10;
/// Most keys in one heartbeat, so that it fits in one packet; the keys with most requests come
/// first.
const MAX_KEYS: usize = 150;

/// Most hosts up to which all are notified at once when keys begin or cease to wait for their
/// owner; among more hosts, each learns of it from the reply to its next heartbeat, within 400 ms.
///
/// Among 81 hosts each meets an owner once in twenty seconds, so that the notice would come long
/// before most callers need it, and notifying all at once was half of the control traffic between
/// domains.
const MAX_NOTIFIED_HOSTS: usize = 24;

/// Hosts that are asked for the granting host's last reply before it is replaced: with two, one may
/// be cut off or slow itself.
const ASKED_HOSTS: usize = 2;

/// Requests and service times of one partition since the last heartbeat.
#[derive(Debug, Default)]
struct Counts {
    keys: IndexMap<u16, u32>,
    service_times: IndexMap<UpstreamId, f64>,
}

impl Counts {
    fn add(&mut self, sample: Sample) {
        *self.keys.entry(sample.key).or_default() += 1;
        if let Some(service_time) = sample.service_time {
            self.service_times.insert(sample.upstream, service_time);
        }
    }

    fn into_heartbeat(mut self, partition: &PartitionId) -> Heartbeat {
        self.keys.sort_by(|_, a, _, b| b.cmp(a));
        let keys = self
            .keys
            .iter()
            .take(MAX_KEYS)
            .map(|(&key, &count)| KeyCount {
                key: u32::from(key),
                count,
            });
        let service_times = self.service_times.iter().map(|(id, seconds)| ServiceTime {
            upstream: id.to_string(),
            micros: (seconds * 1e6) as u32,
        });
        Heartbeat {
            partition: partition.to_string(),
            keys: keys.collect(),
            service_times: service_times.collect(),
            ..Heartbeat::default()
        }
    }
}

/// Binds the socket for heartbeats.
///
/// # Errors
///
/// Returns an error if the address can't be bound.
pub async fn bind(address: SocketAddr) -> io::Result<Rc<UdpSocket>> {
    Ok(Rc::new(UdpSocket::bind(address).await?))
}

/// Sends heartbeats.
pub async fn send(ctl: SharedControl, socket: Rc<UdpSocket>, samples: SampleRx) {
    let mut interval = tokio::time::interval(INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut counts: IndexMap<PartitionId, Counts> = IndexMap::new();
    let mut tick = rand::rng().random();
    loop {
        interval.tick().await;
        tick = u32::wrapping_add(tick, 1);
        ctl.with(|c| count(c, samples.drain(), &mut counts));
        for (to, heartbeat) in ctl.with(|c| heartbeats(c, &mut counts, tick)) {
            send_to(&ctl, &socket, &heartbeat, to).await;
        }
    }
}

/// Adds samples to the counts of the partitions that their keys belong to.
fn count(
    c: &ControlState,
    samples: impl Iterator<Item = Sample>,
    counts: &mut IndexMap<PartitionId, Counts>,
) {
    for sample in samples {
        let first = PartitionId::first(sample.entry.clone());
        let Some(state) = c.partitions.get(&first) else {
            continue;
        };
        let partition = PartitionId {
            index: Partition::of_key(sample.key, state.partition.count).index,
            ..first
        };
        counts.entry(partition).or_default().add(sample);
    }
}

/// Builds the heartbeats to granting hosts that are due at this tick. Counts for partitions that
/// this host grants are applied directly.
fn heartbeats(
    c: &mut ControlState,
    counts: &mut IndexMap<PartitionId, Counts>,
    tick: u32,
) -> Vec<(SocketAddr, Heartbeat)> {
    let now = BootClock.now();
    let mut heartbeats = Vec::new();
    for (partition, state) in &mut c.partitions {
        let Some(granter) = state.lease_manager.row().map(|row| &row.granter) else {
            continue;
        };
        let is_granter = state.lease_manager.is_granter();
        let ticks = ticks_between_heartbeats(c.hosts.len(), state.takeover_monitor.is_suspected());
        if !is_granter && !(tick + u32::from(partition.index)).is_multiple_of(ticks) {
            continue;
        }
        let counts = counts.swap_remove(partition).unwrap_or_default();
        let heartbeat = Heartbeat {
            limits: limits::recent(
                &c.limits,
                &c.registry,
                &partition.entry,
                state.partition,
                now,
            ),
            grants_from: Some(state.lease_manager.grants_from().0),
            ..counts.into_heartbeat(partition)
        };
        if is_granter {
            record_loads(state, &heartbeat);
            heartbeats.extend(replacement_notices(
                &state.lease_manager,
                partition,
                &c.hosts,
            ));
            continue;
        }
        if let Some(host) = c.hosts.get(&granter.host) {
            heartbeats.push((host.row.peers, heartbeat));
        }
        if state.takeover_monitor.is_suspected() {
            let others = other_hosts(&c.hosts, [&c.this_host.host, &granter.host]);
            heartbeats.extend(others.map(|to| (to, sighting_question(partition))));
        }
        // This counts also if the granting host's address is not known: it won't answer either.
        state.takeover_monitor.heartbeat_sent();
    }
    heartbeats
}

/// Returns the interval of one host's heartbeats to a granting host, in ticks, so that among any
/// number of hosts as many heartbeats arrive at each tick.
///
/// While the granting host is suspected, a heartbeat is sent at each tick.
fn ticks_between_heartbeats(hosts: usize, is_suspected: bool) -> u32 {
    if is_suspected {
        return 1;
    }
    u32::try_from(hosts.div_ceil(HEARTBEATS_PER_INTERVAL)).map_or(1, |ticks| ticks.max(1))
}

/// Returns the addresses of some hosts other than `excluded`.
fn other_hosts<'a>(
    hosts: &'a IndexMap<HostId, KnownHost>,
    excluded: [&'a HostId; 2],
) -> impl Iterator<Item = SocketAddr> + 'a {
    let start = rand::rng().random_range(0..hosts.len().max(1));
    let all = hosts.values().cycle().skip(start).take(hosts.len());
    let others = all.filter(move |h| !excluded.contains(&&h.row.incarnation.host));
    others.map(|h| h.row.peers).take(ASKED_HOSTS)
}

fn sighting_question(partition: &PartitionId) -> Heartbeat {
    Heartbeat {
        partition: partition.to_string(),
        asks_for_sighting: true,
        ..Heartbeat::default()
    }
}

/// Builds notices to previous granting hosts: one that can't read the store does not know that it
/// was replaced, and keys that it may still grant have to wait until it has stopped for certain.
fn replacement_notices<'a>(
    lease_manager: &'a PartitionLeaseManager,
    partition: &'a PartitionId,
    hosts: &'a IndexMap<HostId, KnownHost>,
) -> impl Iterator<Item = (SocketAddr, Heartbeat)> + 'a {
    let targets = lease_manager
        .previous_granters()
        .iter()
        .filter_map(|e| hosts.get(&e.granter.host));
    targets.map(|host| {
        let notice = Heartbeat {
            partition: partition.to_string(),
            replaced_at: Some(lease_manager.granting_revision().0),
            ..Heartbeat::default()
        };
        (host.row.peers, notice)
    })
}

/// Notifies the other hosts as soon as the ranges that no upstream serves change. A lost notice is
/// made up for by the reply to the next heartbeat.
pub async fn announce_moving_ranges(ctl: &SharedControl, socket: &UdpSocket, now: Timestamp) {
    for (to, heartbeat) in ctl.with(|c| moving_notices(c, now)) {
        send_to(ctl, socket, &heartbeat, to).await;
    }
}

fn moving_notices(c: &mut ControlState, now: Timestamp) -> Vec<(SocketAddr, Heartbeat)> {
    let mut notices = Vec::new();
    let mut has_changed = false;
    for (partition, state) in &mut c.partitions {
        let Some(moving) = state.lease_manager.moving_ranges(now) else {
            continue;
        };
        if !state.apply_moving(now, &moving) {
            continue;
        }
        has_changed = true;
        let heartbeat = Heartbeat {
            partition: partition.to_string(),
            moving: Some((&moving).into()),
            ..Heartbeat::default()
        };
        if c.hosts.len() > MAX_NOTIFIED_HOSTS {
            continue;
        }
        let others = c
            .hosts
            .values()
            .filter(|h| h.row.incarnation.host != c.this_host.host);
        notices.extend(others.map(|host| (host.row.peers, heartbeat.clone())));
    }
    if has_changed {
        c.publish();
    }
    notices
}

/// Receives heartbeats and their replies.
pub async fn receive(ctl: SharedControl, socket: Rc<UdpSocket>) {
    let mut buf = vec![0; DATAGRAM_BYTES];
    loop {
        let (len, from) = match socket.recv_from(&mut buf).await {
            Ok(received) => received,
            Err(e) => {
                // The operating system may report here that the receiver of an earlier datagram has
                // ended.
                ctl.with(|c| debug!(c.log, "receiving heartbeat failed"; "error" => %e));
                continue;
            }
        };
        let heartbeat = match Heartbeat::decode(&buf[..len]) {
            Ok(heartbeat) => heartbeat,
            Err(e) => {
                ctl.with(
                    |c| debug!(c.log, "decoding heartbeat failed"; "peer" => %from, "error" => %e),
                );
                continue;
            }
        };
        ctl.with(|c| confirmations::apply(c, &heartbeat, from));
        for (to, datagram) in ctl.with(|c| apply(c, &heartbeat, from)) {
            send_to(&ctl, &socket, &datagram, to).await;
        }
    }
}

/// Applies a datagram from `from`; returns the datagrams to send and their receivers.
fn apply(
    c: &mut ControlState,
    heartbeat: &Heartbeat,
    from: SocketAddr,
) -> Vec<(SocketAddr, Heartbeat)> {
    let now = BootClock.now();
    if let Some(report) = &heartbeat.crash {
        return crashes::apply_crash_report(c, report, now);
    }
    if let Some(request) = heartbeat.quarantined {
        crashes::apply_quarantine(c, request, now);
        return Vec::new();
    }
    let reply = apply_heartbeat(c, heartbeat, now);
    reply
        .into_iter()
        .map(|heartbeat| (from, heartbeat))
        .collect()
}

/// Applies a datagram about one partition; returns the reply if it is a heartbeat or a question.
fn apply_heartbeat(
    c: &mut ControlState,
    heartbeat: &Heartbeat,
    now: Timestamp,
) -> Option<Heartbeat> {
    let partition: PartitionId = heartbeat.partition.parse().ok()?;
    if let Some(moving) = &heartbeat.moving {
        apply_moving(c, &partition, moving, now);
    }
    if heartbeat.asks_for_sighting {
        return answer_sighting_question(c, &partition, now);
    }
    if let Some(sighting) = &heartbeat.sighting {
        if let Some(state) = c.partitions.get_mut(&partition) {
            let ago = Duration::from_millis(sighting.ago_ms.into());
            let incarnation = Incarnation(sighting.incarnation);
            state
                .takeover_monitor
                .reported_by_peer(now, incarnation, ago);
        }
        return None;
    }
    match (&heartbeat.reply, &heartbeat.moving) {
        (Some(reply), _) => {
            apply_reply(c, &partition, reply, now);
            None
        }
        (None, Some(_notice)) => None,
        (None, None) => reply(c, &partition, heartbeat, now),
    }
}

/// Answers when this host last received a reply of the granting host.
fn answer_sighting_question(
    c: &ControlState,
    partition: &PartitionId,
    now: Timestamp,
) -> Option<Heartbeat> {
    let state = c.partitions.get(partition)?;
    let (incarnation, ago) = if state.lease_manager.is_granter() {
        (c.this_host.incarnation, Duration::ZERO)
    } else {
        state.takeover_monitor.last_heard(now)?
    };
    let sighting = GranterSighting {
        incarnation: incarnation.0,
        ago_ms: ago.as_millis() as u32,
    };
    Some(Heartbeat {
        partition: partition.to_string(),
        sighting: Some(sighting),
        ..Heartbeat::default()
    })
}

fn apply_moving(
    c: &mut ControlState,
    partition: &PartitionId,
    moving: &MovingRangesReport,
    now: Timestamp,
) {
    let Some(state) = c.partitions.get_mut(partition) else {
        return;
    };
    // The granting host's own state is newer.
    if !state.lease_manager.is_granter() && state.apply_moving(now, &moving.into()) {
        c.publish();
    }
}

/// Applies a heartbeat and builds the reply.
fn reply(
    c: &mut ControlState,
    partition: &PartitionId,
    heartbeat: &Heartbeat,
    now: Timestamp,
) -> Option<Heartbeat> {
    limits::apply(c, &heartbeat.limits, now);
    let state = c.partitions.get_mut(partition)?;
    record_loads(state, heartbeat);
    if let Some(revision) = heartbeat.replaced_at {
        if state.lease_manager.is_granter() {
            info!(c.log, "replaced as granting host"; "part" => %partition,
                "revision" => revision);
        }
        state.lease_manager.mark_replaced(Revision(revision));
    }
    let read_age = state.lease_manager.read_age(now);
    let unreachable_owners = unreachable_owners(&state.lease_manager, &c.lost_links.load());
    let reply = HeartbeatReply {
        unreachable_owners: u32::try_from(unreachable_owners).unwrap_or(u32::MAX),
        host: c.this_host.host.to_string(),
        incarnation: c.this_host.incarnation.0,
        has_stopped: c.has_stopped,
        read_age_ms: read_age.map(|age| age.as_millis() as u32),
        grants_from: state.lease_manager.grants_from().0,
    };
    Some(Heartbeat {
        partition: heartbeat.partition.clone(),
        reply: Some(reply),
        moving: state
            .lease_manager
            .moving_ranges(now)
            .as_ref()
            .map(MovingRangesReport::from),
        ..Heartbeat::default()
    })
}

/// Applies the reply to a heartbeat.
fn apply_reply(
    c: &mut ControlState,
    partition: &PartitionId,
    reply: &HeartbeatReply,
    now: Timestamp,
) {
    let Some(state) = c.partitions.get_mut(partition) else {
        return;
    };
    let Ok(host) = HostId::new(reply.host.as_str()) else {
        return;
    };
    let sender = HostIncarnation {
        host,
        incarnation: Incarnation(reply.incarnation),
    };
    state
        .lease_manager
        .granter_reported(now, &sender, Revision(reply.grants_from));
    let granter = state.lease_manager.row().map(|row| &row.granter.host);
    if granter == Some(&sender.host) {
        let status = GranterStatus {
            unreachable_owners: usize::try_from(reply.unreachable_owners).unwrap_or(usize::MAX),
            incarnation: sender.incarnation,
            has_stopped: reply.has_stopped,
            read_age: reply
                .read_age_ms
                .map(|ms| Duration::from_millis(u64::from(ms))),
        };
        state.takeover_monitor.granter_reported(now, status);
    }
}

/// Adds the loads and service times in a heartbeat.
fn record_loads(state: &mut PartitionState, heartbeat: &Heartbeat) {
    for count in &heartbeat.keys {
        if let Ok(key) = u16::try_from(count.key) {
            state.loads.add(key, count.count);
        }
    }
    for service in &heartbeat.service_times {
        if let Ok(id) = UpstreamId::new(service.upstream.as_str()) {
            let seconds = f64::from(service.micros) / 1e6;
            let mean = state.service_times.entry(id).or_insert(seconds);
            *mean += SERVICE_WEIGHT * (seconds - *mean);
        }
    }
}

/// Weight of one host's sample in the mean service time of an upstream: with ten hosts that each
/// send twice a second, the mean follows a change within half a second.
const SERVICE_WEIGHT: f64 = 0.25;

/// Sends a datagram. Errors are logged and otherwise treated like a lost datagram.
pub(super) async fn send_to(
    ctl: &SharedControl,
    socket: &UdpSocket,
    heartbeat: &Heartbeat,
    to: SocketAddr,
) {
    if let Err(e) = socket.send_to(&heartbeat.encode_to_vec(), to).await {
        ctl.with(|c| debug!(c.log, "sending heartbeat failed"; "peer" => %to, "error" => %e));
    }
}
