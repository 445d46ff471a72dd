//! Changes and read leases for the hosts that this one relays to.

use std::time::Duration;

use ids::{HostId, Revision, Timestamp};
use prost::Message;
use wire::control::{self, Delta, Push, RelayMode};

use super::event::{Action, ReadLease};
use super::peer::{Peer, prefix_index};
use super::{Membership, MembershipSettings, push};
use crate::{Prefix, Replica, Watermarks};

/// Interval between messages that only report that the catalogue has not changed.
const UNCHANGED_CATALOGUE_INTERVAL: Duration = Duration::from_secs(1);

/// The watermarks of the replica some time ago.
#[derive(Debug, Default)]
pub(super) struct PreviousWatermarks {
    replaced_at: Timestamp,
    previous: Watermarks,
    current: Watermarks,
}

impl PreviousWatermarks {
    /// Records that the replica is complete to `watermarks`. The watermarks that [`get`](Self::get)
    /// returns are at least `span` old.
    pub(super) fn update(&mut self, now: Timestamp, watermarks: Watermarks, span: Duration) {
        if now.since(self.replaced_at) < span {
            return;
        }
        self.replaced_at = now;
        self.previous = std::mem::replace(&mut self.current, watermarks);
    }

    pub(super) const fn get(&self) -> Watermarks {
        self.previous
    }
}

/// What a host needs to relay to others.
struct RelayContext<'a> {
    settings: &'a MembershipSettings,
    replica: &'a Replica,
    read_lease: Option<ReadLease>,
    next_page_at: &'a mut Timestamp,
    transfer_count: &'a mut u64,
}

impl Membership {
    /// Sends each relay target what it lacks.
    pub(super) fn relay_changes(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        let mut context = RelayContext {
            settings: &self.settings,
            replica: &self.replica,
            read_lease: self.freshness.read_lease(),
            next_page_at: &mut self.next_page_at,
            transfer_count: &mut self.transfer_count,
        };
        for (host, peer) in &mut self.peers {
            if !peer.connected || peer.relay_target.mode == RelayMode::None {
                continue;
            }
            let message = context.build_push(now, peer);
            if message.deltas.is_empty() && message.read_lease.is_none() {
                continue;
            }
            actions.push(push(host, message));
        }
    }

    /// Handles a message that another host relayed.
    pub(super) fn on_push(
        &mut self,
        now: Timestamp,
        from: &HostId,
        message: &Push,
        actions: &mut Vec<Action>,
    ) {
        for delta in &message.deltas {
            self.on_delta(now, from, delta);
        }
        if let Some(read_lease) = message.read_lease {
            self.on_read_lease(now, from, read_lease);
        }
        for record in &message.hosts {
            self.merge_record(now, from, record, actions);
        }
        if message.all_hosts {
            self.on_all_records(now, from, &message.hosts);
        }
        for hint in &message.hints {
            if let Some(prefix) = Prefix::from_wire(hint.prefix) {
                self.stagger_reads(now, from, prefix);
                self.on_newer_revision(now, prefix, Revision(hint.revision), actions);
            }
        }
    }

    fn on_delta(&mut self, now: Timestamp, from: &HostId, delta: &Delta) {
        let Some(prefix) = Prefix::from_wire(delta.prefix) else {
            return;
        };
        let Some(peer) = self.peers.get_mut(from) else {
            return;
        };
        let outcome = self
            .replica
            .apply_delta(&mut peer.incoming[prefix_index(prefix)], delta);
        if delta.more {
            self.incoming_pages = Some((from.clone(), now));
        } else if delta.page > 0 {
            self.incoming_pages = None;
        }
        if outcome.patch_rejected {
            self.needs_whole_rows = true;
            peer.heartbeat_due = now;
            self.pending_work.heartbeats = true;
        }
    }

    fn on_read_lease(&mut self, now: Timestamp, from: &HostId, read_lease: control::ReadLease) {
        let as_of = Timestamp::from_micros(read_lease.as_of_us);
        // A reading in the future was not taken from this incarnation's clock.
        if as_of > now {
            return;
        }
        self.freshness.add_pending(ReadLease {
            as_of,
            revision: Revision(read_lease.revision),
        });
        let relay_sources = self.relay_sources(now);
        if relay_sources.first().is_some_and(|(host, _)| host == from) {
            self.lease_received_at = now;
            self.expedite_heartbeats(now, &relay_sources);
        }
    }
}

impl RelayContext<'_> {
    fn build_push(&mut self, now: Timestamp, peer: &mut Peer) -> Push {
        let read_lease = self.lease_for(peer);
        let mut message = Push {
            read_lease,
            ..Push::default()
        };
        for prefix in Prefix::ALL {
            let delta = self.next_delta(now, peer, prefix, read_lease.is_some());
            message.deltas.extend(delta);
        }
        message
    }

    /// Returns the read lease for a host: the freshest own one, translated to the reading in the
    /// host's last heartbeat that arrived before it.
    fn lease_for(&self, peer: &mut Peer) -> Option<control::ReadLease> {
        let read_lease = self.read_lease?;
        if !peer.relay_target.awaits_lease {
            return None;
        }
        let as_of_us = peer.relay_target.take_covered(read_lease.as_of)?;
        peer.relay_target.covered_up_to = as_of_us;
        peer.relay_target.awaits_lease = false;
        Some(control::ReadLease {
            as_of_us,
            revision: read_lease.revision.0,
        })
    }

    fn next_delta(
        &mut self,
        now: Timestamp,
        peer: &mut Peer,
        prefix: Prefix,
        with_lease: bool,
    ) -> Option<Delta> {
        if peer.relay_target.outgoing[prefix_index(prefix)].is_none() {
            self.begin_if_due(now, peer, prefix, with_lease)?;
        }
        let slot = &mut peer.relay_target.outgoing[prefix_index(prefix)];
        let transfer = slot.as_mut()?;
        if now < *self.next_page_at {
            return None;
        }
        let delta = self.replica.build_page(transfer, self.settings.page_bytes);
        peer.relay_target.sent_at[prefix_index(prefix)] = now;
        if delta.more || delta.page > 0 {
            let rate = self.settings.transfer_bytes_per_s.max(1);
            let cost = Duration::from_secs(1) * delta.encoded_len() as u32 / rate;
            *self.next_page_at = now + cost;
        }
        if !delta.more {
            *slot = None;
            peer.relay_target.whole_rows = false;
        }
        Some(delta)
    }

    /// Begins a transfer if the host lacks something that is due to be sent.
    fn begin_if_due(
        &mut self,
        now: Timestamp,
        peer: &mut Peer,
        prefix: Prefix,
        with_lease: bool,
    ) -> Option<()> {
        let target = &mut peer.relay_target;
        let held = self.replica.complete_up_to().get(prefix);
        let since = target.sent_up_to.get(prefix);
        let held_back = target.mode == RelayMode::Standby && !target.lagging[prefix_index(prefix)];
        if held <= since || held_back {
            target.behind_since[prefix_index(prefix)] = None;
            return None;
        }
        let behind = *target.behind_since[prefix_index(prefix)].get_or_insert(now);
        let waited = now.since(behind);
        let unchanged = !self.replica.has_rows_after(prefix, since);
        let delay = match prefix {
            Prefix::Catalogue if unchanged => UNCHANGED_CATALOGUE_INTERVAL,
            Prefix::Own if unchanged && !with_lease => self.settings.heartbeat_interval,
            _ => Duration::ZERO,
        };
        if waited < delay {
            return None;
        }
        *self.transfer_count += 1;
        let transfer =
            self.replica
                .begin_transfer(*self.transfer_count, prefix, since, target.whole_rows);
        target.sent_up_to.raise(prefix, transfer.up_to());
        target.behind_since[prefix_index(prefix)] = None;
        target.lagging[prefix_index(prefix)] = false;
        target.outgoing[prefix_index(prefix)] = Some(transfer);
        Some(())
    }
}
