//! When this host becomes the granting host of a partition: by the first assignment of its keys, or
//! by a takeover.

use std::time::Duration;

use assign::{
    Action, DecisionContext, HostIncarnation, PartitionId, PartitionLeaseManager, PreviousGranter,
    TakeoverSettings,
};
use ids::{HostId, KeyHash, Revision, Timestamp, UpstreamId};
use indexmap::{IndexMap, IndexSet};

use crate::control::hosts::KnownHost;
use crate::control::partitions::PartitionState;
use crate::links::LostLinks;

/// Time without a change of upstreams after which an entry's keys are first assigned: more than the
/// time between two heartbeats of an upstream, so that all that start together are registered.
const UPSTREAMS_SETTLE_TIME: Duration = Duration::from_millis(1_300);
/// Time without a change of hosts after which all hosts that started together are known: they write
/// their rows within a second and a half, and the rows are read every half second.
const HOSTS_SETTLE_TIME: Duration = Duration::from_millis(800);
/// Delay of the first assignment for each host before this one: a poll of that host, and a read
/// that shows the partition's row.
const ASSIGN_DELAY_PER_HOST: Duration = Duration::from_millis(850);
/// Number of hosts that try one after the other; all further hosts try together with the last of
/// them.
const STAGGERED_HOSTS: u32 = 4;

/// Returns when all upstreams and hosts that started together are known, unless they change again:
/// which host assigns keys first follows from them.
pub(super) fn settled_at(registry_changed_at: Timestamp, hosts_changed_at: Timestamp) -> Timestamp {
    (registry_changed_at + UPSTREAMS_SETTLE_TIME).max(hosts_changed_at + HOSTS_SETTLE_TIME)
}

/// What a host knows when it decides on a takeover.
pub(super) struct TakeoverContext<'a> {
    pub(super) hosts: &'a IndexMap<HostId, KnownHost>,
    pub(super) this_host: &'a HostId,
    /// When all upstreams and hosts that started together are known.
    pub(super) settled_at: Timestamp,
    /// How long this host has read the store.
    pub(super) reads_for: Duration,
    /// This host's random share of the longest random takeover delay.
    pub(super) fraction: f64,
    /// Whether this host has been listed for long enough.
    pub(super) may_take_over: bool,
    /// Links to upstreams that this host has lost.
    pub(super) lost_links: &'a LostLinks,
}

impl TakeoverContext<'_> {
    /// Returns whether it is this host's turn to make the first assignment of the keys of
    /// `partition`.
    ///
    /// The first partition is assigned once all upstreams and hosts are known, so that the others
    /// need not wait for them again.
    pub(super) fn may_assign_first(
        &self,
        partition: &PartitionId,
        since: Timestamp,
        now: Timestamp,
    ) -> bool {
        let start_at = if partition.index == 0 {
            self.settled_at
        } else {
            since
        };
        if now <= start_at {
            return false;
        }
        let rank = takeover_rank(self.hosts, partition, self.this_host, None);
        let turn = u32::try_from(rank).unwrap_or(u32::MAX).min(STAGGERED_HOSTS);
        now > start_at + ASSIGN_DELAY_PER_HOST * turn
    }

    /// Returns the delay for which this host lets others take over `partition` from `granter`
    /// first.
    fn takeover_delay(&self, partition: &PartitionId, granter: &HostId) -> Duration {
        let rank = takeover_rank(self.hosts, partition, self.this_host, Some(granter));
        TakeoverSettings::default().takeover_delay(rank, self.fraction)
    }
}

/// Takes over as the granting host if there is a reason.
pub(super) fn take_over(
    id: &PartitionId,
    state: &mut PartitionState,
    now: Timestamp,
    ctx: &TakeoverContext<'_>,
    actions: &mut Vec<Action>,
) {
    let lease_manager = &mut state.lease_manager;
    let Some(granter) = lease_manager.row().map(|row| row.granter.clone()) else {
        return;
    };
    // Returns the incarnation that a host announced after a revision.
    let announced = |incarnation: &HostIncarnation, after: Revision| {
        let host = ctx.hosts.get(&incarnation.host)?;
        host.announced_after(after)
    };
    if lease_manager.is_granter() {
        let has_ended = |e: &&PreviousGranter| {
            let announced = announced(&e.granter, e.last_revision);
            announced.is_some_and(|i| i != e.granter.incarnation)
        };
        let ended = lease_manager.previous_granters().iter().filter(has_ended);
        let ended: Vec<HostIncarnation> = ended.map(|e| e.granter.clone()).collect();
        for previous in ended {
            lease_manager.mark_ended(now, &previous);
        }
        return;
    }
    if !ctx.may_take_over {
        return;
    }
    let newest_announced = lease_manager
        .revision()
        .and_then(|named| announced(&granter, named));
    let reads_for = ctx.reads_for;
    let unreachable_owners = unreachable_owners(lease_manager, ctx.lost_links);
    let mut decide = |takeover_delay| {
        let decision_ctx = DecisionContext {
            newest: newest_announced,
            reads_for,
            takeover_delay,
            unreachable_owners,
        };
        state.takeover_monitor.decide(now, &decision_ctx)
    };
    // The takeover delay depends on all hosts, and is hardly ever needed.
    if decide(Duration::ZERO).is_none() {
        return;
    }
    let takeover_delay = ctx.takeover_delay(id, &granter.host);
    if let Some(reason) = decide(takeover_delay) {
        // The owners stay as in the row.
        lease_manager.take_over(now, reason.has_ended, state.partition, &[], actions);
    }
}

/// Returns the number of owners of a partition's keys to which the links in `lost` lead.
pub(super) fn unreachable_owners(lease_manager: &PartitionLeaseManager, lost: &LostLinks) -> usize {
    if lost.is_empty() {
        return 0;
    }
    let ranges = lease_manager.row().map_or(&[][..], |row| &row.ranges);
    let owners: IndexSet<&UpstreamId> = ranges.iter().map(|owned| &owned.owner).collect();
    owners.iter().filter(|owner| lost.contains(owner)).count()
}

/// Returns how many hosts come before `this_host` in taking over a partition from `granter`: the
/// stronger ones first, and hosts of equal strength in an order that differs by entry.
///
/// Each partition starts at another host of that order, so that the strong hosts grant about as
/// many partitions each.
fn takeover_rank(
    hosts: &IndexMap<HostId, KnownHost>,
    partition: &PartitionId,
    this_host: &HostId,
    granter: Option<&HostId>,
) -> usize {
    let entry = &partition.entry;
    let sort_key = |host: &KnownHost| {
        let name = &host.row.incarnation.host;
        let hash = KeyHash::of(format!("{entry} {name}").as_bytes());
        (host.row.capacity, hash)
    };
    let position = |host: &KnownHost| {
        let own_position = sort_key(host);
        let before = hosts
            .values()
            .filter(|other| sort_key(other) > own_position)
            .count();
        (before + hosts.len() - usize::from(partition.index) % hosts.len()) % hosts.len()
    };
    let Some(own_position) = hosts.get(this_host).map(position) else {
        return hosts.len();
    };
    let granter = granter
        .filter(|&id| id != this_host)
        .and_then(|id| hosts.get(id));
    let is_after_granter = granter.is_some_and(|host| position(host) < own_position);
    own_position - usize::from(is_after_granter)
}
