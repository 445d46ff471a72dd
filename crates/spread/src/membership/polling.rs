//! Reads of the table, which only table readers make.

use std::time::Duration;

use ids::{HostId, Revision, Timestamp};
use platform::Changes;
use wire::control::{Hint, Push};

use super::event::{Action, ReadLease};
use super::peer::prefix_index;
use super::{Membership, MembershipSettings, push};
use crate::Prefix;

/// Time after which a read without an answer counts as failed.
const READ_TIMEOUT: Duration = Duration::from_secs(10);

/// The schedule of reads of one prefix.
#[derive(Debug, Clone, Copy, Default)]
struct PrefixPoll {
    due: Timestamp,
    /// When the read in progress was requested.
    requested_at: Option<Timestamp>,
    /// When the last read was requested.
    last_requested_at: Option<Timestamp>,
    /// The highest revision that is known to exist.
    hinted_revision: Revision,
}

/// The schedule of reads of both prefixes.
#[derive(Debug, Default)]
pub(super) struct PollSchedule {
    prefixes: [PrefixPoll; 2],
    /// When this host last became a table reader or ceased to be one.
    started_at: Timestamp,
    /// When a read by this host last succeeded.
    last_success: Option<Timestamp>,
}

impl PollSchedule {
    /// Restarts the schedule, at times that differ from those of the other table readers of the
    /// domain.
    pub(super) fn restart(&mut self, settings: &MembershipSettings, now: Timestamp, rank: usize) {
        self.started_at = now;
        self.last_success = None;
        let index = rank as u32;
        for prefix in Prefix::ALL {
            let poll = &mut self.prefixes[prefix_index(prefix)];
            poll.due = now
                + settings.poll_interval(prefix) * index
                    / settings.readers_per_domain.max(1) as u32;
        }
    }

    /// Returns how long this host has read without success.
    pub(super) fn failing_for(&self, now: Timestamp) -> Duration {
        now.since(self.last_success.unwrap_or(self.started_at))
    }
}

impl MembershipSettings {
    pub(super) const fn poll_interval(&self, prefix: Prefix) -> Duration {
        match prefix {
            Prefix::Catalogue => self.catalogue_poll_interval,
            Prefix::Own => self.own_poll_interval,
        }
    }
}

/// Returns the first time after `now` that is a whole number of intervals from `due`, so that reads
/// outside the schedule keep the readers of a domain equally far apart.
fn next_due(due: Timestamp, interval: Duration, now: Timestamp) -> Timestamp {
    if due > now {
        return due;
    }
    let micros = interval.as_micros().max(1);
    let missed = now.since(due).as_micros() / micros + 1;
    due + Duration::from_micros((missed * micros) as u64)
}

impl Membership {
    /// Requests the reads that are due.
    pub(super) fn request_reads(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        if !self.is_table_reader() {
            return;
        }
        for prefix in Prefix::ALL {
            if !self.read_is_due(now, prefix) {
                continue;
            }
            let interval = self.interval(prefix);
            let poll = &mut self.poll_schedule.prefixes[prefix_index(prefix)];
            poll.requested_at = Some(now);
            poll.last_requested_at = Some(now);
            poll.due = next_due(poll.due, interval, now);
            let since = self.replica.complete_up_to().get(prefix);
            actions.push(Action::ReadTable { prefix, since });
        }
    }

    fn read_is_due(&self, now: Timestamp, prefix: Prefix) -> bool {
        let poll = &self.poll_schedule.prefixes[prefix_index(prefix)];
        let in_progress = poll
            .requested_at
            .is_some_and(|requested_at| now.since(requested_at) < READ_TIMEOUT);
        let held = self.replica.complete_up_to().get(prefix);
        let gap = poll
            .last_requested_at
            .is_none_or(|l| now.since(l) >= self.settings.min_read_interval);
        let due = now >= poll.due || poll.hinted_revision > held;
        due && gap && !in_progress && !self.waits_for_other_readers(now, prefix)
    }

    /// Returns whether a host that holds nothing waits for other table readers of its domain to
    /// send what they hold.
    fn waits_for_other_readers(&self, now: Timestamp, prefix: Prefix) -> bool {
        let empty = self.replica.complete_up_to().get(prefix) == Revision(0);
        let within_delay = now.since(self.poll_schedule.started_at) < self.settings.join_timeout;
        let ahead = |host: &HostId| {
            let reply = self.peers.get(host).and_then(|p| p.reply.as_ref());
            reply.is_some_and(|r| r.holds.get(prefix) > Revision(0))
        };
        empty && within_delay && self.roles.other_readers.iter().any(ahead)
    }

    /// Returns the interval between reads, which is longer the more table readers there are in all
    /// domains.
    fn interval(&self, prefix: Prefix) -> Duration {
        let poll = self.settings.poll_interval(prefix);
        if prefix == Prefix::Catalogue {
            return poll;
        }
        let min_interval =
            Duration::from_secs(1) * self.reader_count as u32 / self.settings.reads_per_s.max(1);
        poll.max(min_interval)
    }

    /// Handles the result of a read.
    pub(super) fn on_table_read(
        &mut self,
        now: Timestamp,
        prefix: Prefix,
        since: Revision,
        began: Timestamp,
        changes: Option<Changes>,
        actions: &mut Vec<Action>,
    ) {
        self.poll_schedule.prefixes[prefix_index(prefix)].requested_at = None;
        let Some(changes) = changes else { return };
        let revision = changes.revision;
        self.replica
            .apply_changes(prefix, since, revision, &changes.rows);
        self.poll_schedule.last_success = Some(now);
        self.freshness.record_table_read(now);
        if self.replica.complete_up_to().get(prefix) < revision {
            return;
        }
        if prefix == Prefix::Catalogue {
            let newest = changes.rows.iter().map(|row| row.revision).max();
            self.hint_other_readers(prefix, newest, actions);
        }
        self.freshness.record_read(prefix, began);
        if prefix == Prefix::Own {
            self.freshness.add_pending(ReadLease {
                as_of: began,
                revision,
            });
        }
    }

    /// Records that a row of some revision exists. A table reader reads immediately and sends the
    /// other readers a hint; another host sends its relay source a hint.
    pub(super) fn on_newer_revision(
        &mut self,
        now: Timestamp,
        prefix: Prefix,
        revision: Revision,
        actions: &mut Vec<Action>,
    ) {
        let poll = &mut self.poll_schedule.prefixes[prefix_index(prefix)];
        if revision <= poll.hinted_revision || revision <= self.replica.complete_up_to().get(prefix)
        {
            return;
        }
        poll.hinted_revision = revision;
        let recipients: Vec<HostId> = if self.is_table_reader() {
            self.roles.other_readers.clone()
        } else {
            let source = self.relay_sources(now).into_iter().next();
            source.map(|(host, _)| host).into_iter().collect()
        };
        self.send_hint(prefix, revision, &recipients, actions);
    }

    /// Places this reader's reads of the catalogue between those of the other readers, one of which
    /// has just read.
    pub(super) fn stagger_reads(&mut self, now: Timestamp, from: &HostId, prefix: Prefix) {
        let Some(own_rank) = self
            .roles
            .reader_rank
            .filter(|_| prefix == Prefix::Catalogue)
        else {
            return;
        };
        let Some(other_rank) = self.roles.other_readers.iter().position(|h| h == from) else {
            return;
        };
        // The list of other readers omits this host.
        let other_rank = if other_rank < own_rank {
            other_rank
        } else {
            other_rank + 1
        };
        let readers = self.roles.other_readers.len() + 1;
        let steps = (own_rank + readers - other_rank) % readers;
        let step = self.interval(prefix) / readers as u32;
        self.poll_schedule.prefixes[prefix_index(prefix)].due = now + step * steps as u32;
    }

    /// Sends the other readers a hint about rows that this one found first, so that a change of the
    /// catalogue, which is read infrequently, reaches all of them immediately.
    fn hint_other_readers(
        &mut self,
        prefix: Prefix,
        newest: Option<Revision>,
        actions: &mut Vec<Action>,
    ) {
        let poll = &mut self.poll_schedule.prefixes[prefix_index(prefix)];
        let Some(newest) = newest.filter(|n| *n > poll.hinted_revision) else {
            return;
        };
        poll.hinted_revision = newest;
        self.send_hint(prefix, newest, &self.roles.other_readers, actions);
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
