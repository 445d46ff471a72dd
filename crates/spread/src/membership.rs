//! The state machine of one host: whom it hears, whom it feeds, when it reads the table.
//!
//! - `settings`: settings, and who the host is.
//! - `event`: what it is told, and what it wants done.
//! - `hosts`: records of all hosts.
//! - `roles`: who reads the table, feeds whom and watches whom.
//! - `peer`: what is kept of each host that this one talks to.
//! - `heartbeats`: heartbeats and their replies.
//! - `liveness`: who is silent, and passing on what is known of hosts.
//! - `polling`: reads of the table.
//! - `relaying`: changes and evidence for others.
//! - `freshness`: how fresh the replica is.

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

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use ids::{DomainId, HostId, Timestamp};
use platform::Row;
use wire::control::{Body, Frame, Hello, Push};

use crate::{Prefix, Replica, RowChange};
use freshness::Knowledge;
use hosts::Hosts;
use peer::Peer;
use polling::Polls;
use relaying::OldMarks;
use roles::{Able, Roles};

pub use event::{Action, Changed, Event, Evidence};
pub use hosts::HostView;
pub use settings::{Config, Me};

/// What the rest of a step has to see to.
#[derive(Debug)]
struct Todo {
    /// Connections and heartbeats.
    beats: bool,
    /// Roles, as the hosts that they depend on may have changed.
    roles: bool,
    /// Telling that records of hosts changed.
    hosts: bool,
}

/// The membership and spreading state of one host.
#[derive(Debug)]
pub struct Member {
    cfg: Config,
    me: Me,
    hosts: Hosts,
    replica: Replica,
    peers: BTreeMap<HostId, Peer>,
    pairs: BTreeSet<HostId>,
    roles: Roles,
    /// Relays of all domains together.
    relays: usize,
    todo: Todo,
    /// Hosts that count as alive but don't answer this one.
    suspects: BTreeSet<HostId>,
    /// Since when this host watches others without a pause of its own.
    watching_since: Timestamp,
    /// When this host took its place in the domain, if it has.
    joined: Option<Timestamp>,
    started: Timestamp,
    last_step: Timestamp,
    /// Number of the last heartbeat.
    beat: u64,
    polls: Polls,
    knowledge: Knowledge,
    /// Records to pass on, by receiver.
    news: BTreeMap<HostId, BTreeSet<HostId>>,
    /// When all records of another host were last asked for.
    synced_at: Timestamp,
    old_marks: OldMarks,
    /// The host that a long transfer is coming from, and when its last page came.
    paging: Option<(HostId, Timestamp)>,
    /// When evidence last came from the preferred feeder.
    fed_at: Timestamp,
    /// Whether whole rows must be asked for.
    misfit: bool,
    /// When the next page of a long transfer may go out.
    budget_at: Timestamp,
    transfers: u64,
    domains_heard: BTreeMap<DomainId, Timestamp>,
    domains_unheard: BTreeSet<DomainId>,
    forget_due: Timestamp,
}

impl Member {
    /// Creates the state of a host that has just started at `now`.
    #[must_use]
    pub fn new(cfg: Config, me: Me, now: Timestamp) -> Self {
        Self {
            hosts: Hosts::new(&me, now),
            replica: Replica::new(),
            peers: BTreeMap::new(),
            pairs: BTreeSet::new(),
            roles: Roles::default(),
            relays: 0,
            todo: Todo {
                beats: true,
                roles: true,
                hosts: false,
            },
            suspects: BTreeSet::new(),
            watching_since: now,
            joined: None,
            started: now,
            last_step: now,
            beat: 0,
            polls: Polls::default(),
            knowledge: Knowledge::default(),
            news: BTreeMap::new(),
            synced_at: Timestamp::ZERO,
            old_marks: OldMarks::default(),
            paging: None,
            fed_at: now,
            misfit: false,
            budget_at: now,
            transfers: 0,
            domains_heard: BTreeMap::new(),
            domains_unheard: BTreeSet::new(),
            forget_due: now,
            cfg,
            me,
        }
    }

    /// Takes `event` at `now` and pushes what is to be done.
    pub fn step(&mut self, now: Timestamp, event: Event, actions: &mut Vec<Action>) {
        self.notice_pause(now);
        match event {
            Event::Tick => self.tick(now, actions),
            Event::Connected { host } => self.connected(now, host),
            Event::Lost { host } => self.lost(now, &host),
            Event::Heard { from, frame } => self.heard(now, &from, frame, actions),
            Event::Listed(listed) => self.listed(now, &listed),
            Event::TableRead {
                prefix,
                since,
                began,
                changes,
            } => self.table_read(now, prefix, since, began, changes, actions),
            Event::Rows(rows) => self.committed(now, &rows, actions),
            Event::Pairs(hosts) => self.pairs = hosts.into_iter().collect(),
            Event::Leaving => self.leave(now),
        }
        self.refresh_roles(now);
        self.report(now, actions);
        self.read_table(now, actions);
        if std::mem::take(&mut self.todo.beats) {
            self.send_beats(now, actions);
        }
        self.feed(now, actions);
        self.pass_on_news(actions);
    }

    /// Returns the replica.
    #[must_use]
    pub const fn replica(&self) -> &Replica {
        &self.replica
    }

    /// Takes out the rows that changed since the last call; to be called on each
    /// [`Action::Changed`].
    #[must_use]
    pub fn take_changes(&mut self) -> Vec<RowChange> {
        self.replica.take_log()
    }

    /// Returns the settings.
    #[must_use]
    pub const fn config(&self) -> &Config {
        &self.cfg
    }

    /// Returns who this host is.
    #[must_use]
    pub const fn me(&self) -> &Me {
        &self.me
    }

    /// Returns the first frame to send on each new control connection.
    #[must_use]
    pub fn hello(&self) -> Frame {
        frame(Body::Hello(Hello {
            host: Some(self.hosts.own().to_wire(&self.me.host)),
        }))
    }

    /// Iterates over all known hosts but this one, by name.
    pub fn hosts(&self) -> impl Iterator<Item = HostView> {
        let others = self.hosts.iter().filter(|(host, _)| **host != self.me.host);
        others.filter_map(|(host, _)| self.host(host))
    }

    /// Returns what is known of a host.
    #[must_use]
    pub fn host(&self, host: &HostId) -> Option<HostView> {
        let record = self.hosts.get(host)?;
        Some(HostView {
            host: host.clone(),
            domain: record.domain.clone(),
            incarnation: record.incarnation,
            control: record.control,
            dispatch: record.dispatch,
            alive: record.alive(),
            leaving: record.leaving,
            heard: self.peers.get(host).and_then(|p| p.heard),
        })
    }

    /// Iterates over the live hosts of a domain, this one included, by name.
    pub fn alive_in(&self, domain: &DomainId) -> impl Iterator<Item = HostView> {
        let alive = self
            .hosts
            .iter()
            .filter(move |(_, r)| r.alive() && r.domain == *domain);
        alive.filter_map(|(host, _)| self.host(host))
    }

    /// Iterates over the domains of which this host's domain hears nobody.
    pub fn unheard_domains(&self) -> impl Iterator<Item = &DomainId> {
        self.domains_unheard.iter()
    }

    /// Returns the freshest evidence of ownership, if there was any.
    #[must_use]
    pub const fn evidence(&self) -> Option<Evidence> {
        self.knowledge.evidence()
    }

    /// Returns how long ago the table was last read for what this host holds of a prefix, as far
    /// as it knows. A host that was started in an outage says by this how old its knowledge is.
    #[must_use]
    pub fn age(&self, now: Timestamp, prefix: Prefix) -> Option<Duration> {
        self.knowledge.age(now, prefix)
    }

    /// Tells whether this host reads the table for its domain.
    #[must_use]
    pub const fn is_relay(&self) -> bool {
        self.joined.is_some() && self.roles.relay.is_some()
    }

    fn tick(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        self.todo.beats = true;
        let marks = self.replica.complete_up_to();
        self.old_marks.turn(now, marks, self.cfg.standby_lag);
        self.join_alone(now);
        self.find_suspects(now);
        self.report_silent(now, actions);
        self.judge_domains(now);
        self.drop_idle(now, actions);
        if now >= self.forget_due {
            self.forget_due = now + self.cfg.forget_after / 60;
            self.hosts.forget(now, self.cfg.forget_after);
        }
    }

    /// After a pause of its own, a host has heard nobody; that says nothing about the others.
    fn notice_pause(&mut self, now: Timestamp) {
        let gap = now.since(self.last_step);
        self.last_step = now;
        if gap < self.cfg.pause {
            return;
        }
        self.watching_since = now;
        self.domains_heard.clear();
        for peer in self.peers.values_mut().filter(|p| p.expected.is_some()) {
            peer.expected = Some(now);
        }
    }

    /// Returns the time between heartbeats to a host of the own domain.
    fn heartbeat(&self) -> Duration {
        if self.roles.mates() <= self.cfg.small_domain {
            return self.cfg.heartbeat;
        }
        self.cfg.heartbeat.max(self.cfg.heartbeat_in_large)
    }

    /// Returns the time without a heartbeat after which a host counts as silent.
    fn silent_after(&self) -> Duration {
        self.cfg.silent_after.max(self.heartbeat() * 3)
    }

    /// A host whose mates don't answer takes its place by itself.
    fn join_alone(&mut self, now: Timestamp) {
        if self.joined.is_some() || now.since(self.started) < self.cfg.join_within {
            return;
        }
        let mut mates = self.peers.iter().filter(|(host, p)| {
            p.connected
                && self
                    .hosts
                    .get(host)
                    .is_some_and(|r| r.domain == self.me.domain)
        });
        let patience = self.cfg.join_within * 3;
        if mates.next().is_none() || now.since(self.started) >= patience {
            self.join(now);
        }
    }

    fn join(&mut self, now: Timestamp) {
        if self.joined.is_none() {
            self.joined = Some(now);
            self.todo.roles = true;
        }
    }

    fn leave(&mut self, now: Timestamp) {
        let beat = self.beat + 1;
        let me = self.me.host.clone();
        let left = self.hosts.update(&me, now, |own| {
            own.leaving = true;
            own.beat = own.beat.max(beat) + 1;
        });
        if left {
            self.host_changed(&me, None);
        }
    }

    fn committed(&mut self, now: Timestamp, rows: &[Row], actions: &mut Vec<Action>) {
        self.replica.take_rows(rows);
        for prefix in Prefix::ALL {
            let newest = self.replica.newest(prefix);
            self.hint(now, prefix, newest, actions);
        }
    }

    /// Works out anew what this host does for the others, if that may have changed.
    fn refresh_roles(&mut self, now: Timestamp) {
        if !self.todo.roles {
            return;
        }
        self.todo.roles = false;
        let was_relay = self.is_relay();
        let able = self.able();
        self.relays = able.values().map(|h| h.len().min(self.cfg.relays)).sum();
        let domain = &self.me.domain;
        let mates = self
            .hosts
            .iter()
            .filter(|(_, r)| r.alive() && r.domain == *domain);
        let mates: Vec<HostId> = mates.map(|(host, _)| host.clone()).collect();
        self.roles = roles::roles(&self.cfg, &self.me.host, domain, &able, &mates, &self.roles);
        self.todo.beats = true;
        if self.is_relay() != was_relay {
            let place = self.roles.relay.unwrap_or(0);
            self.polls.restart(&self.cfg, now, place);
            self.domains_heard.clear();
            self.watching_since = self.watching_since.max(now);
        }
    }

    /// Hosts that may have a part. In a domain where none answers, the best that are known stand
    /// for it, so that it is found again.
    fn able(&self) -> Able {
        let mut able = Able::new();
        let mut fallback = Able::new();
        for (host, record) in self.hosts.iter() {
            let me = *host == self.me.host;
            let suspect = self.suspects.contains(host);
            if record.alive() && !record.leaving && !suspect {
                let hosts = able.entry(record.domain.clone()).or_default();
                hosts.push(host.clone());
            } else if !me && record.domain != self.me.domain {
                let hosts = fallback.entry(record.domain.clone()).or_default();
                hosts.push(host.clone());
            }
        }
        for (domain, hosts) in fallback {
            able.entry(domain).or_insert(hosts);
        }
        able
    }

    fn report(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        let changed = Changed {
            catalogue: self.replica.has_log(Prefix::Catalogue),
            own: self.replica.has_log(Prefix::Own),
            hosts: std::mem::take(&mut self.todo.hosts),
        };
        if changed != Changed::default() {
            actions.push(Action::Changed(changed));
        }
        let own = self.replica.complete_up_to().own;
        if let Some(evidence) = self.knowledge.settle(own) {
            actions.push(Action::Evidence(evidence));
        }
        let Some(joined) = self.joined else { return };
        let bound = self.cfg.unreachable_after;
        if let Some(reachable) = self.knowledge.turn_reachable(now, joined, bound) {
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
