//! When this host becomes the granting host of a partition: by the first assignment of its keys, or
//! by a takeover.

use std::time::Duration;

use assign::{Action, HostIncarnation, PartitionId, PreviousGranter, TakeoverSettings};
use ids::{HostId, KeyHash, Revision, Timestamp};
use indexmap::IndexMap;

use crate::control::state::{Divided, KnownHost};

/// Time without a change of upstreams after which an entry's keys are first assigned: more than the
/// time between two heartbeats of an upstream, so that all that start together are registered.
const ROSTER_STEADY: Duration = Duration::from_millis(1_300);
/// Time without a change of hosts after which all hosts that started together are known: they write
/// their rows within a second and a half, and the rows are read every half second.
const HOSTS_STEADY: Duration = Duration::from_millis(800);
/// Delay of the first assignment for each host before this one: a poll of that host, and a read
/// that shows its row.
const FIRST_EACH: Duration = Duration::from_millis(850);
/// Number of hosts that try one after the other; all further hosts try together with the last of
/// them.
const FIRST_TURNS: u32 = 4;
/// Returns when all upstreams and hosts that started together are known, unless they change again:
/// which host assigns keys first follows from them.
pub(super) fn steady(roster_changed: Timestamp, hosts_changed: Timestamp) -> Timestamp {
    (roster_changed + ROSTER_STEADY).max(hosts_changed + HOSTS_STEADY)
}

/// What a host knows when it decides on a takeover.
pub(super) struct Outlook<'a> {
    pub(super) hosts: &'a IndexMap<HostId, KnownHost>,
    pub(super) me: &'a HostId,
    /// When all upstreams and hosts that started together are known.
    pub(super) steady: Timestamp,
    /// How long this host has read the store.
    pub(super) reads_for: Duration,
    /// This host's random share of the longest random takeover delay.
    pub(super) drawn: f64,
}

impl Outlook<'_> {
    /// Returns whether it is this host's turn to make the first assignment of the keys of `part`.
    ///
    /// The first partition is assigned once all upstreams and hosts are known, so that the others
    /// need not wait for them again.
    pub(super) fn is_turn_to_found(
        &self,
        part: &PartitionId,
        since: Timestamp,
        now: Timestamp,
    ) -> bool {
        let begin = if part.index == 0 { self.steady } else { since };
        if now <= begin {
            return false;
        }
        let rank = succession_rank(self.hosts, part, self.me, None);
        let turns = u32::try_from(rank).unwrap_or(u32::MAX).min(FIRST_TURNS);
        now > begin + FIRST_EACH * turns
    }

    /// Returns the delay for which this host lets others take over `part` from `granter` first.
    fn patience(&self, part: &PartitionId, granter: &HostId) -> Duration {
        let rank = succession_rank(self.hosts, part, self.me, Some(granter));
        TakeoverSettings::default().takeover_delay(rank, self.drawn)
    }
}

/// Takes over as the granting host if there is a reason.
pub(super) fn take_over(
    id: &PartitionId,
    divided: &mut Divided,
    now: Timestamp,
    outlook: &Outlook<'_>,
    actions: &mut Vec<Action>,
) {
    let keeper = &mut divided.keeper;
    let Some(granter) = keeper.row().map(|row| row.granter.clone()) else {
        return;
    };
    // Returns the incarnation that a host announced after a revision.
    let announced = |run: &HostIncarnation, after: Revision| {
        let host = outlook.hosts.get(&run.host).filter(|h| h.at > after);
        host.map(|h| h.row.run.incarnation)
    };
    if keeper.is_granter() {
        let is_over = |e: &&PreviousGranter| {
            let announced = announced(&e.granter, e.last_revision);
            announced.is_some_and(|i| i != e.granter.incarnation)
        };
        let over = keeper.previous_granters().iter().filter(is_over);
        let over: Vec<HostIncarnation> = over.map(|e| e.granter.clone()).collect();
        for run in over {
            keeper.mark_ended(now, &run);
        }
        return;
    }
    let newest = keeper
        .revision()
        .and_then(|named| announced(&granter, named));
    let reads_for = outlook.reads_for;
    let mut decide = |patience| divided.succession.decide(now, newest, reads_for, patience);
    // The takeover delay depends on all hosts, and is hardly ever needed.
    if decide(Duration::ZERO).is_none() {
        return;
    }
    let patience = outlook.patience(id, &granter.host);
    if let Some(reason) = decide(patience) {
        // The owners stay as in the row.
        keeper.take_over(now, reason.has_ended, divided.part, &[], actions);
    }
}

/// Returns how many hosts come before `this_host` in taking over a partition from `granter`: the
/// stronger ones first, and hosts of equal strength in an order that differs by entry.
///
/// Each partition starts at another host of that order, so that the strong hosts grant about as
/// many partitions each.
fn succession_rank(
    hosts: &IndexMap<HostId, KnownHost>,
    part: &PartitionId,
    me: &HostId,
    granter: Option<&HostId>,
) -> usize {
    let entry = &part.entry;
    let order = |host: &KnownHost| {
        let name = &host.row.run.host;
        let hash = KeyHash::of(format!("{entry} {name}").as_bytes());
        (host.row.capacity, hash)
    };
    let place = |host: &KnownHost| {
        let own = order(host);
        let before = hosts.values().filter(|other| order(other) > own).count();
        (before + hosts.len() - usize::from(part.index) % hosts.len()) % hosts.len()
    };
    let Some(own) = hosts.get(me).map(place) else {
        return hosts.len();
    };
    let granter = granter.filter(|&id| id != me).and_then(|id| hosts.get(id));
    let is_after_granter = granter.is_some_and(|host| place(host) < own);
    own - usize::from(is_after_granter)
}
