//! Hosts from which this one receives rows, the preferred one first.

use std::time::Duration;

use ids::{HostId, Revision, Timestamp};
use wire::control::RelayMode;

use super::Membership;
use super::peer::LastReply;
use super::roles::ranked;
use crate::Prefix;

/// How much fresher another host's rows must be than a table reader's own for the reader to request
/// them.
const MIN_FRESHER_BY: Duration = Duration::from_millis(300);

impl Membership {
    /// Returns the hosts that relay to this one now, the preferred one first.
    pub(super) fn relay_sources(&self, now: Timestamp) -> Vec<(HostId, RelayMode)> {
        // A transfer of several pages continues to its end, even if another host is the preferred
        // source by now.
        if let Some((host, at)) = &self.incoming_pages {
            let continues = now.since(*at) < self.settings.resend_after;
            if continues && self.is_connected(host) {
                return vec![(host.clone(), RelayMode::Full)];
            }
        }
        let candidates = if self.joined.is_none() {
            self.connected_domain_hosts()
        } else if self.roles.reader_rank.is_some() {
            self.reader_sources(now)
        } else {
            self.roles.relay_sources.clone()
        };
        let mut connected: Vec<HostId> = candidates
            .into_iter()
            .filter(|h| self.is_connected(h))
            .collect();
        connected.sort_by_key(|host| !self.is_fresh(now, host));
        connected
            .into_iter()
            .zip([RelayMode::Full, RelayMode::Standby])
            .collect()
    }

    /// Returns whether a host's last reply showed that its ownership rows are fresh; those of a
    /// host that has just started are not.
    fn is_fresh(&self, now: Timestamp, host: &HostId) -> bool {
        let max_age = self.settings.unreachable_after + self.standby_interval(now);
        let reply = self.peers.get(host).and_then(|p| p.reply);
        let read = reply.and_then(|r| r.own_read_at);
        read.is_some_and(|read| now.since(read) < max_age)
    }

    fn connected_domain_hosts(&self) -> Vec<HostId> {
        let is_in_domain = |host: &HostId| {
            let record = self.hosts.get(host);
            record.is_some_and(|r| r.is_alive() && r.domain == self.identity.domain)
        };
        let connected = self.peers.iter().filter(|(_, p)| p.connected);
        let connected = connected.map(|(host, _)| host.clone());
        self.in_local_order(&connected.filter(is_in_domain).collect::<Vec<_>>())
    }

    /// Sorts hosts by a hash over their names and this host's, so that starting hosts do not all
    /// ask the same one.
    pub(super) fn in_local_order(&self, hosts: &[HostId]) -> Vec<HostId> {
        ranked(self.identity.host.as_str(), hosts)
    }

    /// Returns the sources of a table reader that can't read the table or holds nothing yet:
    /// readers of its own domain first, then those of others, each group by how fresh its rows are.
    fn reader_sources(&self, now: Timestamp) -> Vec<HostId> {
        let watermarks = self.replica.complete_up_to();
        let empty = watermarks.own == Revision(0) || watermarks.catalogue == Revision(0);
        if !empty && self.poll_schedule.failing_for(now) < self.settings.unreachable_after {
            return Vec::new();
        }
        let own_age = self.freshness.age(now, Prefix::Own);
        let max_age = self.settings.unreachable_after + self.settings.remote_heartbeat_interval;
        let reads_table = |r: &LastReply| r.table_reached.is_some_and(|at| now.since(at) < max_age);
        let is_ahead = |r: &LastReply| {
            let ahead = r.holds.own > watermarks.own || r.holds.catalogue > watermarks.catalogue;
            let age = r.own_read_at.map(|read| now.since(read) + MIN_FRESHER_BY);
            ahead || age.is_some_and(|age| own_age.is_none_or(|own| age < own))
        };
        let mut relay_sources = self.hosts_with_reply(&self.roles.other_readers, reads_table);
        relay_sources.extend(self.hosts_with_reply(&self.roles.remote_readers, reads_table));
        if relay_sources.is_empty() {
            relay_sources = self.hosts_with_reply(&self.roles.other_readers, is_ahead);
            relay_sources.extend(self.hosts_with_reply(&self.roles.remote_readers, is_ahead));
        }
        relay_sources
    }

    /// Returns the hosts whose last reply satisfies `accept`, the one with the freshest ownership
    /// rows first.
    fn hosts_with_reply(
        &self,
        hosts: &[HostId],
        accept: impl Fn(&LastReply) -> bool,
    ) -> Vec<HostId> {
        let reply = |host: &HostId| self.peers.get(host).and_then(|p| p.reply);
        let replied = hosts.iter().filter_map(|h| Some((reply(h)?, h)));
        let mut matching: Vec<_> = replied.filter(|(r, _)| accept(r)).collect();
        matching.sort_by_key(|(r, _)| std::cmp::Reverse(r.own_read_at));
        matching.into_iter().map(|(_, host)| host.clone()).collect()
    }
}
