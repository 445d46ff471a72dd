//! Releases that previous owners have not confirmed.
//!
//! The wait for a previous owner's grant to expire counts from when the grant was sent. If a
//! network link fails, the network may hold a grant for longer and deliver it after all if its
//! sender ended before it could reset the connection, and the grant's time counts from its arrival.
//! Only an upstream that has seen the newer fencing token refuses it. Therefore an upstream whose
//! keys went to others without its answer gets releases until it answers.

use std::time::Duration;

use ids::{Timestamp, UpstreamId};

use super::PartitionLeaseManager;
use crate::grant_call::{Action, CallKind, GrantCall, GrantCallOutcome};
use crate::grant_state::LastGrant;
use crate::range::{FencingToken, KeyRange};
use crate::row::OwnedRange;

/// Time between two attempts to release. The network delivers what it held some time after the link
/// is back, and the upstream should see the newer token before that.
const RELEASE_AGAIN_EVERY: Duration = Duration::from_millis(200);
/// Time after which the attempts end: longer than current link failures last. No keys wait for an
/// upstream that never returns.
const RELEASE_AGAIN_FOR: Duration = Duration::from_mins(1);

/// Keys that went to another owner without an answer of the previous one.
#[derive(Debug)]
pub(super) struct UnconfirmedRelease {
    upstream: UpstreamId,
    range: KeyRange,
    /// The fencing token of the first owner after it.
    token: FencingToken,
    until: Timestamp,
    next_at: Timestamp,
    /// The release call in flight.
    call: Option<u64>,
}

impl PartitionLeaseManager {
    /// Records that the keys of `range` go to another owner under `token` without an answer of
    /// `upstream`.
    pub(super) fn add_unconfirmed(
        &mut self,
        now: Timestamp,
        upstream: UpstreamId,
        range: KeyRange,
        token: FencingToken,
    ) {
        self.unconfirmed.push(UnconfirmedRelease {
            upstream,
            range,
            token,
            until: now + RELEASE_AGAIN_FOR,
            next_at: now + RELEASE_AGAIN_EVERY,
            call: None,
        });
    }

    /// Returns whether a release to `upstream` is not confirmed yet.
    pub(super) fn has_unconfirmed(&self, upstream: &UpstreamId) -> bool {
        self.unconfirmed.iter().any(|r| r.upstream == *upstream)
    }

    /// Returns whether such a release to `upstream` is in flight: it could release keys that the
    /// upstream is granted meanwhile.
    pub(super) fn is_releasing(&self, upstream: &UpstreamId) -> bool {
        let is_releasing = |r: &UnconfirmedRelease| r.call.is_some() && r.upstream == *upstream;
        self.unconfirmed.iter().any(is_releasing)
    }

    /// Drops releases to upstreams that own the keys again, because their grants carry the newer
    /// token, and all releases if this host no longer grants.
    pub(super) fn retain_unconfirmed(&mut self) {
        let is_granter = self.is_granter();
        let Some(known) = &self.known else {
            return;
        };
        let ranges = &known.row.ranges;
        self.unconfirmed.retain(|r| {
            let owns_keys = |p: &OwnedRange| {
                p.owner == r.upstream && p.token >= r.token && p.range.overlaps(r.range)
            };
            is_granter && !ranges.iter().any(owns_keys)
        });
    }

    /// Sends the releases that are due, one at a time to each upstream.
    pub(super) fn send_unconfirmed(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        let retired = &self.retired;
        self.unconfirmed
            .retain(|r| now < r.until && !retired.contains(&r.upstream));
        let in_flight = |r: &UnconfirmedRelease| r.call.map(|_| r.upstream.clone());
        let mut busy: Vec<UpstreamId> = self.unconfirmed.iter().filter_map(in_flight).collect();
        for release in &mut self.unconfirmed {
            let is_due = release.call.is_none() && now >= release.next_at;
            if !is_due || busy.contains(&release.upstream) {
                continue;
            }
            busy.push(release.upstream.clone());
            let call = GrantCall {
                id: 0,
                upstream: release.upstream.clone(),
                kind: CallKind::Release,
                range: release.range,
                token: release.token,
                decided_at: now,
            };
            let id = self.calls.start(call, LastGrant::default(), actions);
            release.call = Some(id);
        }
    }

    /// Handles the outcome of such a release; returns whether `call` was one.
    pub(super) fn unconfirmed_ended(
        &mut self,
        now: Timestamp,
        call: &GrantCall,
        outcome: &GrantCallOutcome,
    ) -> bool {
        let is_this = |r: &UnconfirmedRelease| r.call == Some(call.id);
        let Some(i) = self.unconfirmed.iter().position(is_this) else {
            return false;
        };
        if matches!(outcome, GrantCallOutcome::Done { .. }) {
            self.unconfirmed.swap_remove(i);
            // The upstream answers, so its other releases are due at once.
            let same = self.unconfirmed.iter_mut();
            let same = same.filter(|r| r.upstream == call.upstream);
            same.for_each(|r| r.next_at = now);
            return true;
        }
        let release = &mut self.unconfirmed[i];
        release.call = None;
        release.next_at = now + RELEASE_AGAIN_EVERY;
        true
    }
}
