//! Reads of the table, which relays alone make.

use std::time::Duration;

use ids::{HostId, Revision, Timestamp};
use platform::Changes;
use wire::control::{Hint, Push};

use super::event::{Action, Evidence};
use super::peer::at;
use super::{Config, Member, push};
use crate::Prefix;

/// Time after which a read that brought no answer counts as lost.
const LOST_READ: Duration = Duration::from_secs(10);

/// When one prefix is read.
#[derive(Debug, Clone, Copy, Default)]
struct Poll {
    due: Timestamp,
    /// When the read under way was asked for.
    asked: Option<Timestamp>,
    /// When the last read was asked for.
    last: Option<Timestamp>,
    /// The highest revision that others told of.
    hinted: Revision,
}

/// When each prefix is read.
#[derive(Debug, Default)]
pub(super) struct Polls {
    prefixes: [Poll; 2],
    /// Since when this host reads or not.
    since: Timestamp,
    /// When a read by this host last succeeded.
    succeeded: Option<Timestamp>,
}

impl Polls {
    /// Begins to read, at times that differ from those of the other relays of the domain.
    pub(super) fn restart(&mut self, cfg: &Config, now: Timestamp, place: usize) {
        self.since = now;
        self.succeeded = None;
        let share = place as u32;
        for prefix in Prefix::ALL {
            let poll = &mut self.prefixes[at(prefix)];
            poll.due = now + cfg.poll(prefix) * share / cfg.relays.max(1) as u32;
        }
    }

    /// Returns how long this host has read without success.
    pub(super) fn failing(&self, now: Timestamp) -> Duration {
        now.since(self.succeeded.unwrap_or(self.since))
    }
}

impl Config {
    pub(super) const fn poll(&self, prefix: Prefix) -> Duration {
        match prefix {
            Prefix::Catalogue => self.poll_catalogue,
            Prefix::Own => self.poll_own,
        }
    }
}

/// Returns the first time past `now` that is a whole number of intervals from `due`, so that
/// reads out of turn leave the relays of a domain as far apart as they were.
fn next_due(due: Timestamp, interval: Duration, now: Timestamp) -> Timestamp {
    if due > now {
        return due;
    }
    let micros = interval.as_micros().max(1);
    let missed = now.since(due).as_micros() / micros + 1;
    due + Duration::from_micros((missed * micros) as u64)
}

impl Member {
    /// Asks for the reads that are due.
    pub(super) fn read_table(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        if !self.is_relay() {
            return;
        }
        for prefix in Prefix::ALL {
            if !self.read_is_due(now, prefix) {
                continue;
            }
            let interval = self.interval(prefix);
            let poll = &mut self.polls.prefixes[at(prefix)];
            poll.asked = Some(now);
            poll.last = Some(now);
            poll.due = next_due(poll.due, interval, now);
            let since = self.replica.complete_up_to().get(prefix);
            actions.push(Action::ReadTable { prefix, since });
        }
    }

    fn read_is_due(&self, now: Timestamp, prefix: Prefix) -> bool {
        let poll = &self.polls.prefixes[at(prefix)];
        let under_way = poll.asked.is_some_and(|asked| now.since(asked) < LOST_READ);
        let held = self.replica.complete_up_to().get(prefix);
        let gap = poll.last.is_none_or(|l| now.since(l) >= self.cfg.read_gap);
        let due = now >= poll.due || poll.hinted > held;
        due && gap && !under_way && !self.waits_for_mates(now, prefix)
    }

    /// A host that holds nothing first lets its mates give it what they hold.
    fn waits_for_mates(&self, now: Timestamp, prefix: Prefix) -> bool {
        let empty = self.replica.complete_up_to().get(prefix) == Revision(0);
        let patient = now.since(self.polls.since) < self.cfg.join_within;
        let ahead = |host: &HostId| {
            let reply = self.peers.get(host).and_then(|p| p.reply.as_ref());
            reply.is_some_and(|r| r.holds.get(prefix) > Revision(0))
        };
        empty && patient && self.roles.siblings.iter().any(ahead)
    }

    /// The more relays there are in all domains, the less often each reads.
    fn interval(&self, prefix: Prefix) -> Duration {
        let poll = self.cfg.poll(prefix);
        if prefix == Prefix::Catalogue {
            return poll;
        }
        let share = Duration::from_secs(1) * self.relays as u32 / self.cfg.reads_per_s.max(1);
        poll.max(share)
    }

    /// Takes the result of a read.
    pub(super) fn table_read(
        &mut self,
        now: Timestamp,
        prefix: Prefix,
        since: Revision,
        began: Timestamp,
        changes: Option<Changes>,
        actions: &mut Vec<Action>,
    ) {
        self.polls.prefixes[at(prefix)].asked = None;
        let Some(changes) = changes else { return };
        let revision = changes.revision;
        self.replica
            .take_changes(prefix, since, revision, &changes.rows);
        self.polls.succeeded = Some(now);
        self.knowledge.reached(now);
        if self.replica.complete_up_to().get(prefix) < revision {
            return;
        }
        if prefix == Prefix::Catalogue {
            let newest = changes.rows.iter().map(|row| row.revision).max();
            self.tell_siblings(prefix, newest, actions);
        }
        self.knowledge.read(prefix, began);
        if prefix == Prefix::Own {
            self.knowledge.offer(Evidence {
                as_of: began,
                revision,
            });
        }
    }

    /// Learns that a row of some revision exists: relays read at once, others tell a relay.
    pub(super) fn hint(
        &mut self,
        now: Timestamp,
        prefix: Prefix,
        revision: Revision,
        actions: &mut Vec<Action>,
    ) {
        let poll = &mut self.polls.prefixes[at(prefix)];
        if revision <= poll.hinted || revision <= self.replica.complete_up_to().get(prefix) {
            return;
        }
        poll.hinted = revision;
        let tell: Vec<HostId> = if self.is_relay() {
            self.roles.siblings.clone()
        } else {
            let feeder = self.feeders(now).into_iter().next();
            feeder.map(|(host, _)| host).into_iter().collect()
        };
        self.send_hint(prefix, revision, &tell, actions);
    }

    /// Places this relay's reads of the catalogue between those of its siblings, one of which
    /// has just read.
    pub(super) fn keep_apart(&mut self, now: Timestamp, from: &HostId, prefix: Prefix) {
        let Some(own) = self.roles.relay.filter(|_| prefix == Prefix::Catalogue) else {
            return;
        };
        let Some(other) = self.roles.siblings.iter().position(|h| h == from) else {
            return;
        };
        // The list of siblings leaves this host out.
        let other = if other < own { other } else { other + 1 };
        let relays = self.roles.siblings.len() + 1;
        let steps = (own + relays - other) % relays;
        let step = self.interval(prefix) / relays as u32;
        self.polls.prefixes[at(prefix)].due = now + step * steps as u32;
    }

    /// Tells the other relays of rows that this one found first, so that a change of the
    /// catalogue, which is seldom read, reaches all at once.
    fn tell_siblings(
        &mut self,
        prefix: Prefix,
        newest: Option<Revision>,
        actions: &mut Vec<Action>,
    ) {
        let poll = &mut self.polls.prefixes[at(prefix)];
        let Some(newest) = newest.filter(|n| *n > poll.hinted) else {
            return;
        };
        poll.hinted = newest;
        self.send_hint(prefix, newest, &self.roles.siblings, actions);
    }

    fn send_hint(
        &self,
        prefix: Prefix,
        revision: Revision,
        to: &[HostId],
        actions: &mut Vec<Action>,
    ) {
        let hint = Hint {
            prefix: prefix.to_wire(),
            revision: revision.0,
        };
        for host in to.iter().filter(|h| self.is_connected(h)) {
            actions.push(push(
                host,
                Push {
                    hints: vec![hint],
                    ..Push::default()
                },
            ));
        }
    }
}
