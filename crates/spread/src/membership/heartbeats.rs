//! Heartbeats and their replies, and the connections that carry them.

use std::collections::BTreeMap;
use std::time::Duration;

use ids::{HostId, Revision, Timestamp};
use wire::control::{Body, Feed, Frame, Heartbeat, HeartbeatReply, Hello};

use super::event::Action;
use super::hosts::{Merged, Record};
use super::peer::{Peer, Reply, at};
use super::roles::ranked;
use super::{Member, frame};
use crate::{Prefix, Watermarks};

/// Attempts to reach hosts of which only the platform's list tells, at one time.
const LISTED_AT_ONCE: usize = 4;
/// Least time between two hastened heartbeats, as a share of the usual time.
const HASTE: f64 = 0.4;
/// Least time between two requests for all records of hosts.
const SYNC_GAP: Duration = Duration::from_millis(250);
/// How much longer the time between heartbeats to a host that stands by is in a large domain.
const STANDBY_FACTOR: u32 = 4;
/// Lead that another host's knowledge must have over a relay's own to be asked for.
const FRESHER_BY: Duration = Duration::from_millis(300);

/// How a heartbeat to some host is sent.
#[derive(Debug, Clone, Copy)]
struct Target {
    feed: Feed,
    every: Duration,
}

impl Member {
    pub(super) fn connected(&mut self, now: Timestamp, host: HostId) {
        self.peers.entry(host).or_default().connect(now);
        self.todo.beats = true;
    }

    pub(super) fn lost(&mut self, now: Timestamp, host: &HostId) {
        let Some(peer) = self.peers.get_mut(host) else {
            return;
        };
        let fed_this = peer.connected && peer.asked == Feed::Full;
        peer.disconnect();
        peer.attempts.failed(&self.cfg, now);
        self.todo.beats = true;
        if fed_this {
            self.turn_to_next_feeder(now);
        }
    }

    /// Asks the host that stands by at once.
    fn turn_to_next_feeder(&mut self, now: Timestamp) {
        let next = self.feeders(now).into_iter().next();
        if let Some(peer) = next.and_then(|(host, _)| self.peers.get_mut(&host)) {
            peer.beat_due = now;
        }
    }

    pub(super) fn is_connected(&self, host: &HostId) -> bool {
        self.peers.get(host).is_some_and(|p| p.connected)
    }

    /// Takes a frame of a connected host.
    pub(super) fn heard(
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
        peer.heard = Some(now);
        if let Some(record) = self.hosts.get(from) {
            self.domains_heard.insert(record.domain.clone(), now);
        }
        match frame.body {
            Some(Body::Hello(hello)) => self.take_hello(now, from, &hello, actions),
            Some(Body::Heartbeat(beat)) => self.take_beat(now, from, &beat, actions),
            Some(Body::Reply(reply)) => self.take_reply(now, from, &reply, actions),
            Some(Body::Push(message)) => self.take_push(now, from, &message, actions),
            Some(Body::Own(message)) => actions.push(Action::Own {
                from: from.clone(),
                message,
            }),
            // Loads are for placement, which the host hands them to by itself.
            Some(Body::Loads(_)) | None => {}
        }
    }

    fn take_hello(
        &mut self,
        now: Timestamp,
        from: &HostId,
        hello: &Hello,
        actions: &mut Vec<Action>,
    ) {
        let Some(record) = &hello.host else { return };
        let alive = self.hosts.get(from).is_some_and(Record::alive);
        if let Merged::Newer(host) = self.hosts.merge(record, now) {
            self.host_changed(&host, Some(from));
        }
        let incarnation = ids::Incarnation(record.incarnation);
        let known = self.hosts.get(from).map(|r| r.incarnation);
        if known != Some(incarnation) {
            // An earlier run of the host; the later one is known already.
            actions.push(Action::Disconnect { host: from.clone() });
            return;
        }
        if let Some(peer) = self.peers.get_mut(from) {
            peer.incarnation = incarnation;
            peer.beat = peer.beat.min(record.beat);
        }
        if !alive {
            self.todo.roles = true;
        }
    }

    fn take_beat(
        &mut self,
        now: Timestamp,
        from: &HostId,
        beat: &Heartbeat,
        actions: &mut Vec<Action>,
    ) {
        self.deny_silence(now, from, beat.beat);
        let Some(peer) = self.peers.get_mut(from) else {
            return;
        };
        peer.beat = beat.beat;
        let resend_after = self.cfg.resend_after;
        take_wishes(peer, now, beat, resend_after);
        let old = self.old_marks.get();
        let holds = peer.fed.holds;
        let rows = self
            .replica
            .has_rows_past(Prefix::Catalogue, holds.catalogue);
        peer.fed.lags[at(Prefix::Own)] = holds.own < old.own;
        peer.fed.lags[at(Prefix::Catalogue)] = holds.catalogue < old.catalogue && rows;
        if beat.sync {
            self.send_all_hosts(from, actions);
        }
        actions.push(Action::Send {
            to: from.clone(),
            frame: frame(Body::Reply(self.reply(now, beat))),
        });
    }

    fn reply(&self, now: Timestamp, beat: &Heartbeat) -> HeartbeatReply {
        let millis = |d: Duration| u32::try_from(d.as_millis()).unwrap_or(u32::MAX);
        let age = |prefix| self.knowledge.age(now, prefix).map(millis);
        if beat.brief {
            return HeartbeatReply {
                echo_us: beat.sent_us,
                ..HeartbeatReply::default()
            };
        }
        HeartbeatReply {
            echo_us: beat.sent_us,
            holds: Some(self.replica.complete_up_to().into()),
            own_age_ms: age(Prefix::Own),
            catalogue_age_ms: age(Prefix::Catalogue),
            reach_age_ms: self.knowledge.reach().map(|r| millis(now.since(r))),
            members_hash: self.hosts.hash(),
            unheard_domains: self
                .domains_unheard
                .iter()
                .map(ToString::to_string)
                .collect(),
        }
    }

    fn take_reply(
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
        // Ages count from when the heartbeat was sent: the reply may have been long on its way.
        let sent = Timestamp::from_micros(reply.echo_us).min(now);
        actions.push(Action::PeerAlive {
            host: from.clone(),
            incarnation,
            echo_of: sent,
        });
        let Some(holds) = reply.holds else { return };
        let ago = |ms: Option<u32>| ms.map(|ms| sent - Duration::from_millis(u64::from(ms) + 1));
        let holds = Watermarks::from(holds);
        peer.reply = Some(Reply {
            holds,
            own_read: ago(reply.own_age_ms),
            reach: ago(reply.reach_age_ms),
        });
        let differs = reply.members_hash != self.hosts.hash();
        peer.differs = differs.then(|| peer.differs.unwrap_or(now));
        self.take_ages(holds, ago(reply.own_age_ms), ago(reply.catalogue_age_ms));
        self.take_domain_view(now, from, reply, ago(reply.reach_age_ms));
    }

    /// What another host knows is known here too if the replica holds as much.
    fn take_ages(
        &mut self,
        holds: Watermarks,
        own: Option<Timestamp>,
        catalogue: Option<Timestamp>,
    ) {
        let marks = self.replica.complete_up_to();
        for (prefix, read) in [(Prefix::Own, own), (Prefix::Catalogue, catalogue)] {
            if let Some(read) = read.filter(|_| marks.get(prefix) >= holds.get(prefix)) {
                self.knowledge.read(prefix, read);
            }
        }
    }

    /// Takes over from a host that feeds this one what the domain's relays can reach.
    fn take_domain_view(
        &mut self,
        now: Timestamp,
        from: &HostId,
        reply: &HeartbeatReply,
        reach: Option<Timestamp>,
    ) {
        let record = self.hosts.get(from);
        if record.is_none_or(|r| r.domain != self.me.domain) {
            return;
        }
        if let Some(reach) = reach {
            self.knowledge.reached(reach);
        }
        let feeds = self
            .feeders(now)
            .first()
            .is_some_and(|(host, _)| host == from);
        if feeds && !self.is_relay() {
            let names = reply.unheard_domains.iter();
            let parsed = names.filter_map(|d| ids::DomainId::new(d.as_str()).ok());
            self.domains_unheard = parsed.collect();
        }
    }

    /// The hosts that feed this one now, the preferred one first.
    pub(super) fn feeders(&self, now: Timestamp) -> Vec<(HostId, Feed)> {
        // A long transfer goes on to its end, whoever should feed this host by now.
        if let Some((host, at)) = &self.paging {
            let goes_on = now.since(*at) < self.cfg.resend_after;
            if goes_on && self.is_connected(host) {
                return vec![(host.clone(), Feed::Full)];
            }
        }
        let candidates = if self.joined.is_none() {
            self.connected_mates()
        } else if self.roles.relay.is_some() {
            self.relay_feeders(now)
        } else {
            self.roles.feeders.clone()
        };
        let mut connected: Vec<HostId> = candidates
            .into_iter()
            .filter(|h| self.is_connected(h))
            .collect();
        connected.sort_by_key(|host| !self.knows_enough(now, host));
        connected
            .into_iter()
            .zip([Feed::Full, Feed::Standby])
            .collect()
    }

    /// Tells whether a host's last reply showed knowledge that is fresh; that of a host that has
    /// just started does not.
    fn knows_enough(&self, now: Timestamp, host: &HostId) -> bool {
        let bound = self.cfg.unreachable_after + self.standby_heartbeat(now);
        let reply = self.peers.get(host).and_then(|p| p.reply);
        let read = reply.and_then(|r| r.own_read);
        read.is_some_and(|read| now.since(read) < bound)
    }

    fn connected_mates(&self) -> Vec<HostId> {
        let mate = |host: &HostId| {
            let record = self.hosts.get(host);
            record.is_some_and(|r| r.alive() && r.domain == self.me.domain)
        };
        let connected = self.peers.iter().filter(|(_, p)| p.connected);
        let connected = connected.map(|(host, _)| host.clone());
        self.in_own_order(&connected.filter(mate).collect::<Vec<_>>())
    }

    /// Sorts hosts by a hash over their names and this host's, so that hosts that start do not
    /// all ask the same one.
    fn in_own_order(&self, hosts: &[HostId]) -> Vec<HostId> {
        ranked(self.me.host.as_str(), hosts)
    }

    /// A relay that can't read the table, or holds nothing yet, is fed by the relay that knows
    /// best: one of its own domain, or else one of another.
    fn relay_feeders(&self, now: Timestamp) -> Vec<HostId> {
        let marks = self.replica.complete_up_to();
        let empty = marks.own == Revision(0) || marks.catalogue == Revision(0);
        if !empty && self.polls.failing(now) < self.cfg.unreachable_after {
            return Vec::new();
        }
        let own_age = self.knowledge.age(now, Prefix::Own);
        let bound = self.cfg.unreachable_after + self.cfg.far_heartbeat;
        let reads = |r: &Reply| r.reach.is_some_and(|reach| now.since(reach) < bound);
        let knows_more = |r: &Reply| {
            let ahead = r.holds.own > marks.own || r.holds.catalogue > marks.catalogue;
            let age = r.own_read.map(|read| now.since(read) + FRESHER_BY);
            ahead || age.is_some_and(|age| own_age.is_none_or(|own| age < own))
        };
        let mut feeders = self.that_replied(&self.roles.siblings, reads);
        feeders.extend(self.that_replied(&self.roles.far, reads));
        if feeders.is_empty() {
            feeders = self.that_replied(&self.roles.siblings, knows_more);
            feeders.extend(self.that_replied(&self.roles.far, knows_more));
        }
        feeders
    }

    /// Returns the hosts whose last reply is as asked for, the one that knows most first.
    fn that_replied(&self, hosts: &[HostId], asked: impl Fn(&Reply) -> bool) -> Vec<HostId> {
        let reply = |host: &HostId| self.peers.get(host).and_then(|p| p.reply);
        let replied = hosts.iter().filter_map(|h| Some((reply(h)?, h)));
        let mut able: Vec<_> = replied.filter(|(r, _)| asked(r)).collect();
        able.sort_by_key(|(r, _)| std::cmp::Reverse(r.own_read));
        able.into_iter().map(|(_, host)| host.clone()).collect()
    }

    /// All hosts that this one sends heartbeats to.
    fn targets(&self, now: Timestamp) -> BTreeMap<HostId, Target> {
        let near = Target {
            feed: Feed::None,
            every: self.heartbeat(),
        };
        let far = Target {
            feed: Feed::None,
            every: self.cfg.far_heartbeat,
        };
        let mut targets = BTreeMap::new();
        if self.joined.is_some() {
            targets.extend(self.roles.far.iter().map(|h| (h.clone(), far)));
            let near_hosts = self
                .roles
                .watchers
                .iter()
                .chain(&self.roles.siblings)
                .chain(&self.roles.feeders);
            targets.extend(near_hosts.map(|h| (h.clone(), near)));
        }
        // Suspects are asked too, so that they are found again.
        for host in &self.suspects {
            targets.entry(host.clone()).or_insert(far);
        }
        targets.extend(self.pairs.iter().map(|h| (h.clone(), near)));
        for (host, feed) in self.feeders(now) {
            let every = match feed {
                Feed::Standby => self.standby_heartbeat(now),
                _ => near.every,
            };
            let target = targets.entry(host).or_insert(Target { feed, every });
            target.feed = feed;
            target.every = target.every.min(every);
        }
        targets.remove(&self.me.host);
        targets
    }

    /// In a large domain the host that stands by is asked for evidence seldom, but as often as
    /// the first as soon as that one falls quiet.
    fn standby_heartbeat(&self, now: Timestamp) -> Duration {
        let every = self.heartbeat();
        let small = self.roles.mates() <= self.cfg.small_domain;
        let quiet = now.since(self.fed_at) > every.mul_f64(1.5);
        if small || quiet {
            return every;
        }
        every * STANDBY_FACTOR
    }

    /// Sends the heartbeats that are due.
    pub(super) fn send_beats(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        let targets = self.targets(now);
        self.reach_out(now, &targets, actions);
        self.dismiss_others(now, &targets, actions);
        for (host, target) in targets {
            let peer = self.peers.entry(host.clone()).or_default();
            peer.expected.get_or_insert(now);
            peer.every = target.every;
            peer.beat_due = peer.beat_due.min(peer.beat_sent + target.every);
            if !peer.connected || now < peer.beat_due {
                continue;
            }
            peer.beat_due = now + target.every;
            peer.beat_sent = now;
            self.send_beat(now, host, target.feed, actions);
        }
    }

    /// Tells hosts that need not feed this one any more.
    fn dismiss_others(
        &mut self,
        now: Timestamp,
        targets: &BTreeMap<HostId, Target>,
        actions: &mut Vec<Action>,
    ) {
        let mut dismissed = Vec::new();
        for (host, peer) in &mut self.peers {
            if targets.contains_key(host) {
                continue;
            }
            peer.expected = None;
            if peer.connected && peer.asked != Feed::None {
                dismissed.push(host.clone());
            }
        }
        for host in dismissed {
            self.send_beat(now, host, Feed::None, actions);
        }
    }

    fn send_beat(&mut self, now: Timestamp, to: HostId, feed: Feed, actions: &mut Vec<Action>) {
        let sync = self.wants_sync(now, &to);
        let Some(peer) = self.peers.get_mut(&to) else {
            return;
        };
        peer.asked = feed;
        if sync {
            peer.synced = true;
            peer.differs = None;
            self.synced_at = now;
        }
        let whole = self.misfit && feed == Feed::Full;
        self.misfit &= !whole;
        self.beat += 1;
        let beat = Heartbeat {
            beat: self.beat,
            sent_us: now.as_micros(),
            holds: Some(self.replica.complete_up_to().into()),
            feed: feed.into(),
            members_hash: self.hosts.hash(),
            sync,
            whole,
            brief: feed == Feed::None && !self.exchanges_with(&to),
        };
        actions.push(Action::Send {
            to,
            frame: frame(Body::Heartbeat(beat)),
        });
    }

    /// Tells whether to ask a host for all records: a starting host does at once, others if
    /// theirs differ from the own ones, at once on a new connection and later if it lasts.
    fn wants_sync(&self, now: Timestamp, host: &HostId) -> bool {
        if self.joined.is_none() {
            return true;
        }
        if !self.exchanges_with(host) || now.since(self.synced_at) < SYNC_GAP {
            return false;
        }
        let Some(peer) = self.peers.get(host) else {
            return false;
        };
        let patience = if peer.synced {
            self.cfg.sync_after
        } else {
            Duration::ZERO
        };
        peer.differs.is_some_and(|d| now.since(d) >= patience)
    }

    /// Brings the next heartbeats to feeders forward, so that each asks for evidence as soon as
    /// the last was given. A host waits for all levels of hosts below it to ask first, so that
    /// one read of the table serves them all.
    pub(super) fn hasten_beats(&mut self, now: Timestamp, feeders: &[(HostId, Feed)]) {
        let settle = self.cfg.settle * self.roles.levels;
        let gap = self.heartbeat().mul_f64(HASTE);
        for (host, _) in feeders.iter().filter(|(_, feed)| *feed == Feed::Full) {
            if let Some(peer) = self.peers.get_mut(host) {
                let soonest = (now + settle).max(peer.beat_sent + gap);
                peer.beat_due = peer.beat_due.min(soonest);
                self.todo.beats |= peer.beat_due <= now;
            }
        }
    }

    /// Opens connections that are missing.
    fn reach_out(
        &mut self,
        now: Timestamp,
        targets: &BTreeMap<HostId, Target>,
        actions: &mut Vec<Action>,
    ) {
        let mut wanted: Vec<HostId> = targets.keys().cloned().collect();

        wanted.extend(self.listed_mates());
        for host in wanted {
            let Some(record) = self.hosts.get(&host) else {
                continue;
            };
            let addr = record.control;
            let peer = self.peers.entry(host.clone()).or_default();
            if peer.connected || peer.attempts.under_way || now < peer.attempts.due {
                continue;
            }
            peer.attempts.under_way = true;
            actions.push(Action::Connect { host, addr });
        }
    }

    /// Some hosts of the own domain that nobody has heard from, as far as is known.
    fn listed_mates(&self) -> Vec<HostId> {
        let unheard = self.hosts.iter().filter(|(host, record)| {
            let waits = self.peers.get(host).is_some_and(|p| p.connected);
            record.incarnation.0 == 0 && record.domain == self.me.domain && !waits
        });
        let unheard: Vec<HostId> = unheard.map(|(host, _)| host.clone()).collect();
        let mut hosts = self.in_own_order(&unheard);
        let due = |host: &HostId| self.peers.get(host).map(|p| p.attempts.due);
        hosts.sort_by_key(due);
        hosts.truncate(LISTED_AT_ONCE);
        hosts
    }

    /// Closes connections that neither side uses.
    pub(super) fn drop_idle(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        for (host, peer) in &mut self.peers {
            let idle = peer.heard.is_none_or(|h| now.since(h) > self.cfg.idle);
            if peer.connected && peer.expected.is_none() && idle {
                peer.disconnect();
                actions.push(Action::Disconnect { host: host.clone() });
            }
        }
    }
}

/// Takes what the sender of a heartbeat holds and asks for.
fn take_wishes(peer: &mut Peer, now: Timestamp, beat: &Heartbeat, resend_after: Duration) {
    let fed = &mut peer.fed;
    let wish = Feed::try_from(beat.feed).unwrap_or(Feed::None);
    let holds = Watermarks::from(beat.holds.unwrap_or_default());
    let anew = fed.feed == Feed::None || beat.whole;
    fed.feed = wish;
    fed.holds = holds;
    fed.whole |= beat.whole;
    for prefix in Prefix::ALL {
        let stuck = now.since(fed.sent_at[at(prefix)]) > resend_after;
        let idle = fed.pagers[at(prefix)].is_none();
        if anew || (idle && stuck) {
            fed.pagers[at(prefix)] = None;
            match prefix {
                Prefix::Catalogue => fed.sent.catalogue = holds.catalogue,
                Prefix::Own => fed.sent.own = holds.own,
            }
        }
        fed.sent.raise(prefix, holds.get(prefix));
    }
    if wish == Feed::None {
        fed.pagers = [None, None];
        return;
    }
    fed.beat(now, beat.sent_us);
}
