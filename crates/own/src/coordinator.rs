//! State that a host keeps for an upstream that it coordinates.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use ids::{Epoch, Revision, SliceNo, Timestamp, UpstreamId};

use crate::grant::UpstreamGrant;
use crate::previous_hosts::PreviousHosts;
use crate::reach::PendingReachQuery;
use crate::{CarvedKey, HostRef, Lease};

/// Initial time that a planned move waits for requests in flight.
pub(crate) const MIN_DRAIN_TIMEOUT: Duration = Duration::from_millis(50);

/// State that a host keeps for an upstream that it coordinates.
#[derive(Debug)]
#[expect(clippy::struct_excessive_bools, reason = "the flags are independent")]
pub(crate) struct CoordinatorState {
    pub(crate) since: Timestamp,
    /// Uptime at `since`.
    pub(crate) since_uptime: Timestamp,
    pub(crate) epoch: Epoch,
    /// Epoch attached to requests for an upstream that does not check grants: the one under which
    /// this host began to act without interruption.
    ///
    /// Requests on different connections may start in another order than they were written. A later
    /// epoch of this host would therefore appear to be older than one that the upstream has seen.
    pub(crate) unchecked_epoch: Epoch,
    /// Whether the row names this host as coordinating host. Otherwise it acts under the reserved
    /// epoch.
    pub(crate) recorded: bool,
    /// Whether the coordinating host of the row stopped and handed the upstream over to this host.
    pub(crate) received_by_handover: bool,
    /// Latest local clock reading as of which there is evidence that this host was not replaced.
    pub(crate) evidence: Option<Timestamp>,
    /// Time at which this host first knew the previous row.
    pub(crate) previous_row_since: Timestamp,
    pub(crate) previous_hosts: PreviousHosts,
    pub(crate) grant: UpstreamGrant,
    /// Lease issued last, unless it was withdrawn since.
    pub(crate) lease: Option<Lease>,
    /// Local time at which every lease issued so far has expired.
    pub(crate) lease_expires_at: Timestamp,
    /// Whether the standby reported that it acts.
    pub(crate) standby_acts: bool,
    pub(crate) next_supersede_at: Timestamp,
    pub(crate) removal: Option<Removal>,
    pub(crate) handover: Option<PlannedHandover>,
    pub(crate) proposed_moves: BTreeMap<SliceNo, UpstreamId>,
    /// Slices that moved away in the table and are not released by this upstream yet.
    pub(crate) outgoing: BTreeMap<SliceNo, OutgoingSlice>,
    /// Slices that moved away and that this upstream has released.
    pub(crate) released_outgoing: BTreeSet<SliceNo>,
    /// Slices that moved here, with their generations, and that the previous owner has released.
    pub(crate) released_incoming: BTreeSet<(SliceNo, u64)>,
    pub(crate) next_release_query_at: Timestamp,
    /// Time at which the released slices are removed from the row's incoming slices.
    pub(crate) clear_incoming_at: Timestamp,
    /// Request to the standby not to grant slices.
    pub(crate) promise_request: Option<PromiseRequest>,
    /// Hosts that hold requests until the row of this revision is served.
    pub(crate) serving_subscribers: Vec<ServingSubscriber>,
    /// Slices of a failed upstream that have to wait longer than the others.
    pub(crate) deferred: Vec<SliceMove>,
    /// Local time at which every grant or lease with the deferred slices has expired.
    pub(crate) deferred_expire_at: Option<Timestamp>,
    /// Time that a planned move waits for requests in flight.
    pub(crate) drain_timeout: Duration,
    pub(crate) draining: bool,
    /// Question to other hosts whether they reach the upstream.
    pub(crate) reach_query: Option<PendingReachQuery>,
    pub(crate) next_reach_query_at: Timestamp,
}

impl CoordinatorState {
    pub(crate) fn new(now: Timestamp, uptime: Timestamp, epoch: Epoch, recorded: bool) -> Self {
        Self {
            since: now,
            since_uptime: uptime,
            epoch,
            unchecked_epoch: epoch,
            recorded,
            received_by_handover: false,
            evidence: None,
            previous_row_since: now,
            previous_hosts: PreviousHosts::none(),
            grant: UpstreamGrant::new(now, uptime),
            lease: None,
            lease_expires_at: Timestamp::ZERO,
            standby_acts: false,
            next_supersede_at: now,
            reach_query: None,
            next_reach_query_at: now,
            removal: None,
            handover: None,
            proposed_moves: BTreeMap::new(),
            outgoing: BTreeMap::new(),
            released_outgoing: BTreeSet::new(),
            released_incoming: BTreeSet::new(),
            next_release_query_at: now,
            clear_incoming_at: Timestamp::NEVER,
            promise_request: None,
            serving_subscribers: Vec::new(),
            deferred: Vec::new(),
            deferred_expire_at: None,
            drain_timeout: MIN_DRAIN_TIMEOUT,
            draining: false,
        }
    }

    /// Records that the row names this host as coordinating host under `epoch`.
    pub(crate) const fn advance_epoch(&mut self, epoch: Epoch) {
        if self.standby_acts {
            // The standby sent requests under an epoch in between.
            self.unchecked_epoch = epoch;
        }
        self.epoch = epoch;
        self.recorded = true;
        self.standby_acts = false;
    }

    /// Records that a host holds requests until the row of `revision` is served.
    pub(crate) fn subscribe(&mut self, host: &HostRef, revision: Revision) {
        self.serving_subscribers.retain(|s| !s.host.is_same(host));
        self.serving_subscribers.push(ServingSubscriber {
            host: host.clone(),
            revision,
            reported_unserved: None,
        });
    }

    /// Records that no request of a hold is in flight.
    pub(crate) fn drained(&mut self, hold: u64) {
        let moves = self.removal.iter_mut().flat_map(|r| &mut r.moves);
        let all = moves.chain(&mut self.deferred);
        for m in all.filter(|m| m.hold == hold) {
            m.drained = true;
        }
        let outgoing = self.outgoing.values_mut();
        for o in outgoing.filter(|o| o.hold == Some(hold)) {
            o.drained = true;
        }
    }

    /// Returns the numbers of all holds.
    pub(crate) fn hold_numbers(&self) -> Vec<u64> {
        let removal = self.removal.iter().filter(|r| !r.requests_resumed);
        let moves = removal.flat_map(|r| &r.moves);
        let slices = moves.chain(&self.deferred).map(|m| m.hold);
        let outgoing = self.outgoing.values().filter_map(|o| o.hold);
        let handover = self.handover.iter().map(|h| h.hold);
        slices.chain(outgoing).chain(handover).collect()
    }

    /// Returns the local time at which everything that this host and the previous hosts granted
    /// has expired.
    pub(crate) fn grants_expire_at(&self) -> Timestamp {
        let own = self.grant.expires_at().max(self.lease_expires_at);
        own.max(self.previous_hosts.expires_at())
    }
}

/// A host that holds requests until a row is served.
#[derive(Debug, Clone)]
pub(crate) struct ServingSubscriber {
    pub(crate) host: HostRef,
    pub(crate) revision: Revision,
    /// Slices that were last reported to the host as not served yet.
    pub(crate) reported_unserved: Option<Vec<u64>>,
}

/// Reason why slices are removed from an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RemovalReason {
    /// Placement proposed to move them.
    Proposed,
    /// The upstream must have no slices.
    Draining,
    /// The upstream has failed.
    Failed,
}

/// A slice to be moved away, not recorded in the table yet.
#[derive(Debug, Clone)]
pub(crate) struct SliceMove {
    pub(crate) slice: SliceNo,
    /// Number of ownership changes of the slice, including this move.
    pub(crate) generation: u64,
    pub(crate) hold: u64,
    pub(crate) to: UpstreamId,
    /// Whether no request of the slice is in flight.
    pub(crate) drained: bool,
}

/// A slice that moved away in the table and that this upstream may still have.
#[derive(Debug, Clone)]
pub(crate) struct OutgoingSlice {
    pub(crate) to: UpstreamId,
    /// Number of ownership changes of the slice, including this move.
    pub(crate) generation: u64,
    pub(crate) hold: Option<u64>,
    /// Whether no request of the slice is in flight.
    pub(crate) drained: bool,
    /// Whether this host had granted the slice to the upstream before the move.
    pub(crate) was_granted: bool,
    /// Local time at which every grant or lease with the slice has expired; unknown while the slice
    /// is still wanted.
    pub(crate) expires_at: Option<Timestamp>,
    /// Hot keys carved out of the slice when it left the row. The row of the new owner lists them
    /// since. They don't change before the release, as the new owner neither carves out of an
    /// unreleased slice nor folds into one.
    pub(crate) carved: Vec<CarvedKey>,
}

/// A request to the standby not to grant slices.
#[derive(Debug, Clone)]
pub(crate) struct PromiseRequest {
    pub(crate) seq: u64,
    /// Slices in ascending order.
    pub(crate) slices: Vec<SliceNo>,
    /// Revision of the row to which the promise applies.
    pub(crate) revision: Revision,
    pub(crate) promised: bool,
    pub(crate) sent_at: Timestamp,
}

/// Slices being removed from an upstream.
#[derive(Debug)]
pub(crate) struct Removal {
    pub(crate) reason: RemovalReason,
    pub(crate) since: Timestamp,
    /// Moves ordered by slice.
    pub(crate) moves: Vec<SliceMove>,
    /// Local time at which every grant or lease with these slices has expired; unknown while the
    /// slices are still wanted.
    pub(crate) expires_at: Option<Timestamp>,
    /// Number of the transaction submitted last for the removal.
    pub(crate) txn: Option<u64>,
    /// Whether the held requests were resumed because the transaction takes too long.
    pub(crate) requests_resumed: bool,
}

impl Removal {
    pub(crate) fn contains(&self, slice: SliceNo) -> bool {
        self.moves.binary_search_by_key(&slice, |m| m.slice).is_ok()
    }

    /// Returns all slices in ascending order.
    pub(crate) fn slices(&self) -> Vec<SliceNo> {
        self.moves.iter().map(|m| m.slice).collect()
    }

    /// Returns whether the slices must be taken away from the upstream without its cooperation.
    pub(crate) fn is_revoking(&self) -> bool {
        self.reason == RemovalReason::Failed
    }
}

/// A handover of an upstream to another host that this host has started.
#[derive(Debug)]
pub(crate) struct PlannedHandover {
    pub(crate) to: HostRef,
    pub(crate) hold: u64,
}

/// A handover that this host has completed and whose receiver has not reported serving the
/// upstream.
#[derive(Debug)]
pub(crate) struct CompletedHandover {
    pub(crate) to: HostRef,
    pub(crate) hold: u64,
    pub(crate) epoch: Epoch,
    pub(crate) since: Timestamp,
    pub(crate) since_uptime: Timestamp,
    pub(crate) send_at: Timestamp,
    /// Local time at which all earlier grants have expired.
    pub(crate) expires_at: Timestamp,
}

/// Requests held here for slices that moved, until the new owner serves them.
#[derive(Debug, Clone)]
pub(crate) struct HeldRequests {
    pub(crate) upstream: UpstreamId,
    pub(crate) hold: u64,
    pub(crate) to: UpstreamId,
    /// Slice that must be served there; all slices if absent.
    pub(crate) slice: Option<SliceNo>,
    pub(crate) revision: Revision,
    pub(crate) deadline: Timestamp,
}
