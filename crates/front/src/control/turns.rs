//! Whose turn it is to hand out the keys of a part for the first time, or to take their granting over.

use std::time::Duration;

use assign::{Action, HostIncarnation, PartitionId, PreviousGranter, TakeoverSettings};
use ids::{HostId, KeyHash, Revision, Timestamp};
use indexmap::IndexMap;

use crate::control::state::{Divided, KnownHost};

/// Time without news of upstreams after which an entry's keys are first handed out: more than the
/// time between two heartbeats of an upstream, so that all that start together are there.
const ROSTER_STEADY: Duration = Duration::from_millis(1_300);
/// Time without news of hosts after which they are all known that started together: they write their rows within
/// a second and a half, and are read every half second.
const HOSTS_STEADY: Duration = Duration::from_millis(800);
/// Further time for each host that comes before this one in handing out an entry's keys for the first time: a
/// look of that one, and a read that brings the news of it.
const FIRST_EACH: Duration = Duration::from_millis(850);
/// Hosts that do so one after the other; the others come with the last of them.
const FIRST_TURNS: u32 = 4;
/// Returns since when all upstreams and hosts that started together are known, if the newest news of them came then: who
/// hands out keys first follows from them.
pub(super) fn steady(roster_changed: Timestamp, hosts_changed: Timestamp) -> Timestamp {
    (roster_changed + ROSTER_STEADY).max(hosts_changed + HOSTS_STEADY)
}

/// What a host knows that may take the granting over.
pub(super) struct Outlook<'a> {
    pub(super) hosts: &'a IndexMap<HostId, KnownHost>,
    pub(super) me: &'a HostId,
    /// When all upstreams and hosts that started together are known.
    pub(super) steady: Timestamp,
    /// For how long it has read the store.
    pub(super) reads_for: Duration,
    /// What it drew of the patience before a take-over.
    pub(super) drawn: f64,
}

impl Outlook<'_> {
    /// Tells whether it is this host's turn to hand out the keys of `part`, which nobody has, for the first time.
    ///
    /// Whoever handed out those of the first part had waited for all to be known.
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

    /// Returns how long this host lets others try first to take the granting of `part` over from `granter`.
    fn patience(&self, part: &PartitionId, granter: &HostId) -> Duration {
        let rank = succession_rank(self.hosts, part, self.me, Some(granter));
        TakeoverSettings::default().takeover_delay(rank, self.drawn)
    }
}

/// Takes the granting over if there is a reason.
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
    // The run that a host announced after a revision.
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
    // Whose turn it is takes a look at all hosts, and there is hardly ever a reason to know it.
    if decide(Duration::ZERO).is_none() {
        return;
    }
    let patience = outlook.patience(id, &granter.host);
    if let Some(reason) = decide(patience) {
        // Owners are those of the row.
        keeper.take_over(now, reason.has_ended, divided.part, &[], actions);
    }
}

/// Returns how many hosts come before `me` in taking the granting of a part of an entry's keys over from `granter`:
/// the stronger ones first, and among equals another one for each entry.
///
/// Each part begins with another host of that order, so that the strong ones grant about as many parts each.
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
