//! The granting host's state of the grants of one range, in addition to the row.

use ids::{Timestamp, UpstreamId};
use smol_str::SmolStr;

use crate::range::KeyRange;
use crate::row::{OwnedRange, PartitionRow};

/// The last grant of some keys that this host sent to an upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct LastGrant {
    /// When it was sent; zero if there was none.
    pub(crate) sent: Timestamp,
    /// The call, if this single call is known to be the last one for all of the keys.
    pub(crate) call: Option<u64>,
}

impl LastGrant {
    /// Returns the latest of the last grants of several ranges.
    fn latest(grants: impl Iterator<Item = Self>) -> Self {
        let merge = |a: Self, b: Self| Self {
            sent: a.sent.max(b.sent),
            call: None,
        };
        grants.reduce(merge).unwrap_or_default()
    }

    /// Undoes the record that `call` was sent; `previous` is the grant before it.
    pub(crate) fn undo(&mut self, call: u64, previous: Self) {
        if self.call == Some(call) {
            *self = previous;
        }
    }
}

/// A previous owner that may still hold keys of a range.
#[derive(Debug, Clone)]
pub(crate) struct PreviousOwner {
    pub(crate) upstream: UpstreamId,
    /// The last grant of these keys that it was sent.
    pub(crate) last_grant: LastGrant,
    /// When to send the next release.
    pub(crate) next_release_at: Timestamp,
    pub(crate) releasing: bool,
    /// When the last release was sent.
    pub(crate) release_sent_at: Timestamp,
    /// Unanswered releases of these keys.
    pub(crate) unanswered: u32,
    /// It answered a release: its requests on these keys have ended.
    pub(crate) released: bool,
    /// It can hold none of these keys any more.
    pub(crate) free: bool,
}

/// State of the grants of one range.
#[derive(Debug, Clone)]
pub(crate) struct GrantState {
    pub(crate) previous_owners: Vec<PreviousOwner>,
    /// The last grant that the owner was sent.
    pub(crate) last_grant: LastGrant,
    /// When to send the next grant.
    pub(crate) next_grant_at: Timestamp,
    pub(crate) granting: bool,
    /// The owner answered a grant under the range's fencing token.
    pub(crate) granted: bool,
    /// Its renewals have been spread from those of the ranges that were granted with it.
    pub(crate) is_spread: bool,
    /// The previous owner's handover, which the new owner uses to stay warm for the keys.
    pub(crate) handover: Option<SmolStr>,
    /// Since when the keys need a higher fencing token to be granted again, if they do.
    pub(crate) needs_token_since: Option<Timestamp>,
}

impl GrantState {
    /// Returns whether no previous owner can hold keys of the range.
    pub(crate) fn is_free(&self) -> bool {
        self.previous_owners.iter().all(|o| o.free)
    }
}

/// Transfers the state of grants to the ranges of another row.
pub(crate) fn transfer_states(
    old: Option<(&PartitionRow, &[GrantState])>,
    new: &PartitionRow,
    now: Timestamp,
) -> Vec<GrantState> {
    new.ranges
        .iter()
        .map(|owned| grant_state(old, owned, now))
        .collect()
}

fn grant_state(
    old: Option<(&PartitionRow, &[GrantState])>,
    owned: &OwnedRange,
    now: Timestamp,
) -> GrantState {
    let known: Vec<(&OwnedRange, &GrantState)> = old
        .into_iter()
        .flat_map(|(row, states)| row.ranges.iter().zip(states))
        .filter(|(p, _)| p.range.overlaps(owned.range))
        .collect();
    // Several if ranges were merged; the next grant then raises the lower fencing tokens.
    let same = || known.iter().filter(|(p, _)| p.owner == owned.owner);
    let covering = same().find(|(p, _)| p.token == owned.token && p.range.covers(owned.range));
    let previous = |upstream: &UpstreamId| previous_owner(&known, upstream, owned.range, now);
    // A call in flight to the owner of an unchanged range still reports its outcome. A second call
    // beside it would count as sent even if the first one did not leave, and the keys would wait
    // for that grant to expire.
    let is_granting = covering.is_some_and(|(p, s)| s.granting && p.range == owned.range);
    GrantState {
        previous_owners: owned.previous_owners.iter().map(previous).collect(),
        last_grant: last_grant_to(&known, &owned.owner),
        next_grant_at: same().map(|(_, s)| s.next_grant_at).min().unwrap_or(now),
        granting: is_granting,
        granted: covering.is_some_and(|(_, s)| s.granted),
        is_spread: covering.is_some_and(|(_, s)| s.is_spread),
        handover: covering.and_then(|(_, s)| s.handover.clone()),
        needs_token_since: covering.and_then(|(_, s)| s.needs_token_since),
    }
}

fn previous_owner(
    known: &[(&OwnedRange, &GrantState)],
    upstream: &UpstreamId,
    range: KeyRange,
    now: Timestamp,
) -> PreviousOwner {
    // A previous owner of an unchanged range keeps its state; an owner that has become a previous
    // one starts with fresh state.
    for (owned, state) in known {
        let same = state
            .previous_owners
            .iter()
            .find(|o| o.upstream == *upstream);
        if let Some(same) = same
            && owned.range == range
        {
            return PreviousOwner {
                releasing: false,
                ..same.clone()
            };
        }
    }
    PreviousOwner {
        upstream: upstream.clone(),
        last_grant: last_grant_to(known, upstream),
        next_release_at: now,
        releasing: false,
        release_sent_at: now,
        unanswered: 0,
        released: false,
        free: false,
    }
}

/// Returns the last grant of the keys of `known` that `upstream` was sent, as their owner or as a
/// previous one: it may be their owner again before it was granted them anew.
fn last_grant_to(known: &[(&OwnedRange, &GrantState)], upstream: &UpstreamId) -> LastGrant {
    let sent_as_owner = known
        .iter()
        .filter(|(p, _)| p.owner == *upstream)
        .map(|(_, s)| s.last_grant);
    let sent_as_previous = known
        .iter()
        .flat_map(|(_, s)| s.previous_owners.iter())
        .filter(|o| o.upstream == *upstream)
        .map(|o| o.last_grant);
    LastGrant::latest(sent_as_owner.chain(sent_as_previous))
}
