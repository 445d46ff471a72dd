//! Who is silent, and passing on what is known of hosts.
//!
//! A host's watchers report it when they hear nothing from it; whoever hears a later heartbeat,
//! the host itself included, denies the report. The platform's list has no say in either.

use std::collections::BTreeSet;

use ids::{HostId, Timestamp};
use platform::ListedHost;
use wire::control::{Feed, HostRecord, Push};

use super::event::Action;
use super::hosts::{Merged, Record};
use super::peer::Peer;
use super::{Member, push};

/// How much longer than usual a watcher waits for a host that it has not heard yet.
const FIRST_BEAT_FACTOR: u32 = 3;

impl Member {
    /// Takes the platform's list, which tells whom to try to reach and no more.
    pub(super) fn listed(&mut self, now: Timestamp, listed: &[ListedHost]) {
        if self.hosts.list(listed, now) {
            self.todo.roles = true;
            self.todo.hosts = true;
        }
    }

    /// Merges a record that another host passed on.
    pub(super) fn take_record(
        &mut self,
        now: Timestamp,
        from: &HostId,
        record: &HostRecord,
        actions: &mut Vec<Action>,
    ) {
        let alive = HostId::new(record.host.as_str())
            .ok()
            .and_then(|host| self.hosts.get(&host).map(Record::alive));
        match self.hosts.merge(record, now) {
            Merged::Newer(host) => {
                if alive == Some(true) {
                    self.tell_silent(&host, actions);
                }
                self.host_changed(&host, Some(from));
            }
            Merged::Older(host) => {
                self.news.entry(from.clone()).or_default().insert(host);
            }
            Merged::Refuted => {
                self.beat = self.beat.max(self.hosts.own().beat);
                self.host_changed(&self.me.host.clone(), None);
            }
            Merged::Same => {}
        }
    }

    /// A host has told of all hosts that it knows; it is told of the others.
    pub(super) fn synced(&mut self, now: Timestamp, from: &HostId, told: &[HostRecord]) {
        let told: BTreeSet<&str> = told.iter().map(|r| r.host.as_str()).collect();
        let heard = self
            .hosts
            .iter()
            .filter(|(_, r)| r.incarnation.0 > 0 && !r.silent);
        let missing = heard.filter(|(host, _)| !told.contains(host.as_str()) && *host != from);
        let missing: BTreeSet<HostId> = missing.map(|(host, _)| host.clone()).collect();
        if !missing.is_empty() {
            self.news.entry(from.clone()).or_default().extend(missing);
        }
        let record = self.hosts.get(from);
        if record.is_some_and(|r| r.domain == self.me.domain) {
            self.join(now);
        }
    }

    /// Notes that a record changed, and passes it on to all but the host that it came from.
    pub(super) fn host_changed(&mut self, host: &HostId, from: Option<&HostId>) {
        self.todo.hosts = true;
        self.todo.roles = true;
        for neighbour in self.neighbours() {
            if Some(&neighbour) == from || neighbour == *host {
                continue;
            }
            self.news.entry(neighbour).or_default().insert(host.clone());
        }
    }

    /// Tells whether a host is one that this one chose to exchange records with.
    pub(super) fn exchanges_with(&self, host: &HostId) -> bool {
        self.chosen().any(|chosen| chosen == host)
    }

    fn chosen(&self) -> impl Iterator<Item = &HostId> {
        let roles = &self.roles;
        roles
            .feeders
            .iter()
            .chain(&roles.siblings)
            .chain(&roles.far)
    }

    /// The hosts with which records are exchanged.
    fn neighbours(&self) -> BTreeSet<HostId> {
        let chosen = self.chosen();
        let fed = self.peers.iter().filter(|(_, p)| p.fed.feed != Feed::None);
        let all = chosen.cloned().chain(fed.map(|(host, _)| host.clone()));
        all.filter(|h| self.is_connected(h)).collect()
    }

    /// Sends the records that wait for each host.
    pub(super) fn pass_on_news(&mut self, actions: &mut Vec<Action>) {
        for (to, about) in std::mem::take(&mut self.news) {
            if !self.is_connected(&to) {
                continue;
            }
            let record = |host: &HostId| Some(self.hosts.get(host)?.to_wire(host));
            let hosts: Vec<HostRecord> = about.iter().filter_map(record).collect();
            actions.push(push(
                &to,
                Push {
                    hosts,
                    ..Push::default()
                },
            ));
        }
    }

    /// Tells a host of all others.
    pub(super) fn send_all_hosts(&self, to: &HostId, actions: &mut Vec<Action>) {
        let heard = self.hosts.iter().filter(|(_, r)| r.incarnation.0 > 0);
        let hosts = heard.map(|(host, record)| record.to_wire(host)).collect();
        actions.push(push(
            to,
            Push {
                hosts,
                all_hosts: true,
                ..Push::default()
            },
        ));
    }

    /// A heartbeat denies the report that its sender was silent.
    pub(super) fn deny_silence(&mut self, now: Timestamp, host: &HostId, beat: u64) {
        let incarnation = self.peers.get(host).map(|p| p.incarnation);
        let Some(record) = self.hosts.get(host) else {
            return;
        };
        let reported = record.silent && Some(record.incarnation) == incarnation;
        if !reported || beat <= record.beat {
            return;
        }
        let denied = self.hosts.update(host, now, |r| {
            r.beat = beat;
            r.silent = false;
        });
        if denied {
            self.host_changed(host, None);
        }
    }

    /// Reports hosts that this one watches and has not heard from.
    pub(super) fn report_silent(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        let silent: Vec<HostId> = self
            .roles
            .watched
            .iter()
            .filter(|host| self.is_silent(now, host))
            .cloned()
            .collect();
        for host in silent {
            let beat = self.peers.get(&host).map_or(0, |p| p.beat);
            let changed = self.hosts.update(&host, now, |r| {
                r.beat = r.beat.max(beat);
                r.silent = true;
            });
            if changed {
                self.tell_silent(&host, actions);
                self.host_changed(&host, None);
            }
        }
    }

    fn is_silent(&self, now: Timestamp, host: &HostId) -> bool {
        let Some(record) = self.hosts.get(host).filter(|r| r.alive()) else {
            return false;
        };
        let expected = record.since.max(self.watching_since);
        let heard = self.peers.get(host).and_then(|p| p.heard);
        match heard.filter(|h| *h > expected) {
            Some(heard) => now.since(heard) > self.silent_after(),
            None => now.since(expected) > self.silent_after() * FIRST_BEAT_FACTOR,
        }
    }

    fn tell_silent(&self, host: &HostId, actions: &mut Vec<Action>) {
        let Some(record) = self.hosts.get(host).filter(|r| r.silent) else {
            return;
        };
        actions.push(Action::PeerSilent {
            host: host.clone(),
            incarnation: record.incarnation,
        });
    }

    /// Finds the hosts that count as alive but don't answer this one; it does without them until
    /// they do.
    pub(super) fn find_suspects(&mut self, now: Timestamp) {
        let alive = |host: &HostId| self.hosts.get(host).is_some_and(Record::alive);
        let suspect = |host: &HostId, peer: &Peer| {
            let bound = self.silent_after().max(peer.every * 3);
            if self.suspects.contains(host) {
                // One that became a suspect stays so until it is heard again.
                let heard = peer.heard.is_some_and(|h| now.since(h) <= bound);
                return !heard || !peer.connected;
            }
            let quiet = peer.silence(now).is_some_and(|s| s > bound);
            let wanted = peer.expected.is_some() && !peer.connected;
            quiet || (wanted && peer.attempts.failed_twice(&self.cfg))
        };
        let suspects: BTreeSet<HostId> = self
            .peers
            .iter()
            .filter(|(host, peer)| alive(host) && suspect(host, peer))
            .map(|(host, _)| host.clone())
            .collect();
        if suspects != self.suspects {
            self.suspects = suspects;
            self.todo.roles = true;
        }
    }

    /// A relay judges by its own links which domains are unheard; others take its word.
    pub(super) fn judge_domains(&mut self, now: Timestamp) {
        if !self.is_relay() {
            return;
        }
        let bound = self.cfg.domain_silent_after;
        let others = self.hosts.iter().map(|(_, r)| &r.domain);
        let others = others.filter(|d| **d != self.me.domain);
        let unheard = others.filter(|domain| {
            let heard = self.domains_heard.get(*domain).copied();
            let last = heard.map_or(self.watching_since, |h| h.max(self.watching_since));
            now.since(last) > bound
        });
        self.domains_unheard = unheard.cloned().collect();
    }
}
