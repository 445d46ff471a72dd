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

use crate::control::messages::{Beat, Echo, Heard, KeyCount, MovingKeys, Service};
use crate::control::samples::{Sample, SampleRx};
use crate::control::state::{Control, Ctl, KnownHost};
use crate::control::{crashes, limits};

/// Interval of heartbeats: a third of the heartbeat timeout after which the granting host is
/// replaced.
const EVERY: Duration = Duration::from_millis(400);
/// Heartbeats that a granting host receives and answers in that time: this takes a twentieth of a
/// core.
const HEARD_EACH_TURN: usize = 320;
/// Largest datagram that is read.
const DATAGRAM_BYTES: usize = 16 << 10;
/// Most keys in one heartbeat, so that it fits in one packet; the keys with most requests come
/// first.
const KEYS_MAX: usize = 150;

/// Most hosts up to which all are notified at once when keys begin or cease to wait for their
/// owner; among more hosts, each learns of it from the reply to its next heartbeat, within 400 ms.
///
/// Among 81 hosts each meets an owner once in twenty seconds, so that the notice would come long
/// before most callers need it, and notifying all at once was half of the control traffic between
/// domains.
const TOLD_AT_ONCE: usize = 24;

/// Hosts that are asked for the granting host's last reply before it is replaced: with two, one may
/// be cut off or slow itself.
const WITNESSES: usize = 2;

/// Requests and service times of one partition since the last heartbeat.
#[derive(Debug, Default)]
struct Counted {
    keys: IndexMap<u16, u32>,
    services: IndexMap<UpstreamId, f64>,
}

impl Counted {
    fn add(&mut self, sample: Sample) {
        *self.keys.entry(sample.key).or_default() += 1;
        if let Some(service) = sample.service {
            self.services.insert(sample.upstream, service);
        }
    }

    fn into_beat(mut self, part: &PartitionId) -> Beat {
        self.keys.sort_by(|_, a, _, b| b.cmp(a));
        let keys = self
            .keys
            .iter()
            .take(KEYS_MAX)
            .map(|(&key, &count)| KeyCount {
                key: u32::from(key),
                count,
            });
        let services = self.services.iter().map(|(id, seconds)| Service {
            upstream: id.to_string(),
            micros: (seconds * 1e6) as u32,
        });
        Beat {
            part: part.to_string(),
            keys: keys.collect(),
            services: services.collect(),
            ..Beat::default()
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
pub async fn send(ctl: Ctl, socket: Rc<UdpSocket>, samples: SampleRx) {
    let mut every = tokio::time::interval(EVERY);
    every.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut counted: IndexMap<PartitionId, Counted> = IndexMap::new();
    let mut turn = rand::rng().random();
    loop {
        every.tick().await;
        turn = u32::wrapping_add(turn, 1);
        ctl.with(|c| count(c, samples.drain(), &mut counted));
        for (to, beat) in ctl.with(|c| beats(c, &mut counted, turn)) {
            send_to(&ctl, &socket, &beat, to).await;
        }
    }
}

/// Adds samples to the counts of the partitions that their keys belong to.
fn count(
    c: &Control,
    samples: impl Iterator<Item = Sample>,
    counted: &mut IndexMap<PartitionId, Counted>,
) {
    for sample in samples {
        let first = PartitionId::first(sample.entry.clone());
        let Some(known) = c.divided.get(&first) else {
            continue;
        };
        let part = PartitionId {
            index: Partition::of_key(sample.key, known.part.count).index,
            ..first
        };
        counted.entry(part).or_default().add(sample);
    }
}

/// Builds the heartbeats to granting hosts that are due at this tick. Counts for partitions that
/// this host grants are applied directly.
fn beats(
    c: &mut Control,
    counted: &mut IndexMap<PartitionId, Counted>,
    turn: u32,
) -> Vec<(SocketAddr, Beat)> {
    let now = BootClock.now();
    let mut beats = Vec::new();
    for (part, divided) in &mut c.divided {
        let Some(granter) = divided.keeper.row().map(|row| &row.granter) else {
            continue;
        };
        let is_granter = divided.keeper.is_granter();
        let turns = turns(c.hosts.len(), divided.succession.is_suspected());
        if !is_granter && !(turn + u32::from(part.index)).is_multiple_of(turns) {
            continue;
        }
        let counted = counted.swap_remove(part).unwrap_or_default();
        let beat = Beat {
            limits: limits::heard_lately(&c.limits, &c.roster, &part.entry, divided.part, now),
            ..counted.into_beat(part)
        };
        if is_granter {
            note(divided, &beat);
            beats.extend(notices(&divided.keeper, part, &c.hosts));
            continue;
        }
        if let Some(host) = c.hosts.get(&granter.host) {
            beats.push((host.row.peers, beat));
        }
        if divided.succession.is_suspected() {
            let others = witnesses(&c.hosts, [&c.me.host, &granter.host]);
            beats.extend(others.map(|to| (to, question(part))));
        }
        // This counts also if the granting host's address is not known: it won't answer either.
        divided.succession.heartbeat_sent();
    }
    beats
}

/// Returns the interval of one host's heartbeats to a granting host, in ticks, so that among any
/// number of hosts as many heartbeats arrive at each tick.
///
/// While the granting host is suspected, a heartbeat is sent at each tick.
fn turns(hosts: usize, is_doubtful: bool) -> u32 {
    if is_doubtful {
        return 1;
    }
    u32::try_from(hosts.div_ceil(HEARD_EACH_TURN)).map_or(1, |turns| turns.max(1))
}

/// Returns the addresses of some hosts other than `excluded`.
fn witnesses<'a>(
    hosts: &'a IndexMap<HostId, KnownHost>,
    but: [&'a HostId; 2],
) -> impl Iterator<Item = SocketAddr> + 'a {
    let begin = rand::rng().random_range(0..hosts.len().max(1));
    let all = hosts.values().cycle().skip(begin).take(hosts.len());
    let others = all.filter(move |h| !but.contains(&&h.row.run.host));
    others.map(|h| h.row.peers).take(WITNESSES)
}

fn question(part: &PartitionId) -> Beat {
    Beat {
        part: part.to_string(),
        asks_when_heard: true,
        ..Beat::default()
    }
}

/// Builds notices to previous granting hosts: one that can't read the store does not know that it
/// was replaced, and keys that it may still grant have to wait until it has stopped for certain.
fn notices<'a>(
    keeper: &'a PartitionLeaseManager,
    part: &'a PartitionId,
    hosts: &'a IndexMap<HostId, KnownHost>,
) -> impl Iterator<Item = (SocketAddr, Beat)> + 'a {
    let told = keeper
        .previous_granters()
        .iter()
        .filter_map(|e| hosts.get(&e.granter.host));
    told.map(|host| {
        let notice = Beat {
            part: part.to_string(),
            replaced_at: Some(keeper.granting_revision().0),
            ..Beat::default()
        };
        (host.row.peers, notice)
    })
}

/// Notifies the other hosts as soon as the ranges that no upstream serves change. A lost notice is
/// made up for by the reply to the next heartbeat.
pub async fn tell_moving(ctl: &Ctl, socket: &UdpSocket, now: Timestamp) {
    for (to, beat) in ctl.with(|c| moving_notices(c, now)) {
        send_to(ctl, socket, &beat, to).await;
    }
}

fn moving_notices(c: &mut Control, now: Timestamp) -> Vec<(SocketAddr, Beat)> {
    let mut notices = Vec::new();
    let mut has_changed = false;
    for (part, divided) in &mut c.divided {
        let Some(moving) = divided.keeper.moving_ranges(now) else {
            continue;
        };
        if !divided.hear_moving(now, &moving) {
            continue;
        }
        has_changed = true;
        let beat = Beat {
            part: part.to_string(),
            moving: Some((&moving).into()),
            ..Beat::default()
        };
        if c.hosts.len() > TOLD_AT_ONCE {
            continue;
        }
        let others = c.hosts.values().filter(|h| h.row.run.host != c.me.host);
        notices.extend(others.map(|host| (host.row.peers, beat.clone())));
    }
    if has_changed {
        c.publish();
    }
    notices
}

/// Receives heartbeats and their replies.
pub async fn receive(ctl: Ctl, socket: Rc<UdpSocket>) {
    let mut buf = vec![0; DATAGRAM_BYTES];
    loop {
        let (len, from) = match socket.recv_from(&mut buf).await {
            Ok(received) => received,
            Err(e) => {
                // The operating system may report here that the receiver of an earlier datagram has
                // ended.
                ctl.with(|c| debug!(c.log, "receive heartbeat"; "error" => %e));
                continue;
            }
        };
        let beat = match Beat::decode(&buf[..len]) {
            Ok(beat) => beat,
            Err(e) => {
                ctl.with(|c| debug!(c.log, "decode heartbeat"; "peer" => %from, "error" => %e));
                continue;
            }
        };
        for (to, word) in ctl.with(|c| take(c, &beat, from)) {
            send_to(&ctl, &socket, &word, to).await;
        }
    }
}

/// Applies a datagram from `from`; returns the datagrams to send and their receivers.
fn take(c: &mut Control, beat: &Beat, from: SocketAddr) -> Vec<(SocketAddr, Beat)> {
    let now = BootClock.now();
    if let Some(told) = &beat.ended {
        return crashes::hear_ended(c, told, now);
    }
    if let Some(told) = beat.quarantined {
        crashes::hear_quarantined(c, told, now);
        return Vec::new();
    }
    let answer = take_heartbeat(c, beat, now);
    answer.into_iter().map(|beat| (from, beat)).collect()
}

/// Applies a datagram about one partition; returns the reply if it is a heartbeat or a question.
fn take_heartbeat(c: &mut Control, beat: &Beat, now: Timestamp) -> Option<Beat> {
    let part: PartitionId = beat.part.parse().ok()?;
    if let Some(moving) = &beat.moving {
        hear_moving(c, &part, moving, now);
    }
    if beat.asks_when_heard {
        return when_heard(c, &part, now);
    }
    if let Some(heard) = &beat.heard {
        if let Some(divided) = c.divided.get_mut(&part) {
            let ago = Duration::from_millis(heard.ago_ms.into());
            let incarnation = Incarnation(heard.incarnation);
            divided.succession.reported_by_peer(now, incarnation, ago);
        }
        return None;
    }
    match (&beat.echo, &beat.moving) {
        (Some(echo), _) => {
            take_echo(c, &part, echo, now);
            None
        }
        (None, Some(_notice)) => None,
        (None, None) => answer(c, &part, beat, now),
    }
}

/// Answers when this host last received a reply of the granting host.
fn when_heard(c: &Control, part: &PartitionId, now: Timestamp) -> Option<Beat> {
    let divided = c.divided.get(part)?;
    let (incarnation, ago) = if divided.keeper.is_granter() {
        (c.me.incarnation, Duration::ZERO)
    } else {
        divided.succession.last_heard(now)?
    };
    let heard = Heard {
        incarnation: incarnation.0,
        ago_ms: ago.as_millis() as u32,
    };
    Some(Beat {
        part: part.to_string(),
        heard: Some(heard),
        ..Beat::default()
    })
}

fn hear_moving(c: &mut Control, part: &PartitionId, moving: &MovingKeys, now: Timestamp) {
    let Some(divided) = c.divided.get_mut(part) else {
        return;
    };
    // The granting host's own state is newer.
    if !divided.keeper.is_granter() && divided.hear_moving(now, &moving.into()) {
        c.publish();
    }
}

/// Applies a heartbeat and builds the reply.
fn answer(c: &mut Control, part: &PartitionId, beat: &Beat, now: Timestamp) -> Option<Beat> {
    limits::hear(c, &beat.limits, now);
    let divided = c.divided.get_mut(part)?;
    note(divided, beat);
    if let Some(revision) = beat.replaced_at {
        if divided.keeper.is_granter() {
            info!(c.log, "replaced as granting host"; "part" => %part,
                "revision" => revision);
        }
        divided.keeper.mark_replaced(Revision(revision));
    }
    let evidence = divided.keeper.read_age(now);
    let echo = Echo {
        host: c.me.host.to_string(),
        incarnation: c.me.incarnation.0,
        has_stopped: c.has_stopped,
        evidence_ms: evidence.map(|age| age.as_millis() as u32),
        knows: divided.keeper.grants_from().0,
    };
    Some(Beat {
        part: beat.part.clone(),
        echo: Some(echo),
        moving: divided
            .keeper
            .moving_ranges(now)
            .as_ref()
            .map(MovingKeys::from),
        ..Beat::default()
    })
}

/// Applies the reply to a heartbeat.
fn take_echo(c: &mut Control, part: &PartitionId, echo: &Echo, now: Timestamp) {
    let Some(divided) = c.divided.get_mut(part) else {
        return;
    };
    let Ok(host) = HostId::new(echo.host.as_str()) else {
        return;
    };
    let run = HostIncarnation {
        host,
        incarnation: Incarnation(echo.incarnation),
    };
    divided
        .keeper
        .granter_reported(now, &run, Revision(echo.knows));
    let granter = divided.keeper.row().map(|row| &row.granter.host);
    if granter == Some(&run.host) {
        let word = GranterStatus {
            incarnation: run.incarnation,
            has_stopped: echo.has_stopped,
            read_age: echo
                .evidence_ms
                .map(|ms| Duration::from_millis(u64::from(ms))),
        };
        divided.succession.granter_reported(now, word);
    }
}

/// Adds the loads and service times in a heartbeat.
fn note(divided: &mut crate::control::state::Divided, beat: &Beat) {
    for counted in &beat.keys {
        if let Ok(key) = u16::try_from(counted.key) {
            divided.loads.add(key, counted.count);
        }
    }
    for service in &beat.services {
        if let Ok(id) = UpstreamId::new(service.upstream.as_str()) {
            let seconds = f64::from(service.micros) / 1e6;
            let known = divided.services.entry(id).or_insert(seconds);
            *known += SERVICE_WEIGHT * (seconds - *known);
        }
    }
}

/// Weight of one host's sample in the mean service time of an upstream: with ten hosts that each
/// send twice a second, the mean follows a change within half a second.
const SERVICE_WEIGHT: f64 = 0.25;

/// Sends a datagram. Errors are logged and otherwise treated like a lost datagram.
pub(super) async fn send_to(ctl: &Ctl, socket: &UdpSocket, beat: &Beat, to: SocketAddr) {
    if let Err(e) = socket.send_to(&beat.encode_to_vec(), to).await {
        ctl.with(|c| debug!(c.log, "send heartbeat"; "peer" => %to, "error" => %e));
    }
}
