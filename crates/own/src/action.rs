//! Actions that a machine asks its caller to carry out.

use std::sync::Arc;

use ids::{Epoch, Revision, SliceNo, Timestamp, UpstreamId};
use platform::Txn;
use wire::grant::GrantRequest;

use crate::{CarvedKey, HostRef};

/// Permission for this host to send requests to an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Lease {
    /// Upstream to which requests may be sent.
    pub upstream: UpstreamId,
    /// Epoch to attach to each request.
    pub epoch: Epoch,
    /// Local clock reading from which nothing may be sent. The sender compares it with a fresh
    /// reading just before each send.
    pub valid_until: Timestamp,
    /// Slices whose requests may be sent, in ascending order.
    pub slices: Arc<[SliceNo]>,
    /// Hot keys carved out of these slices. A request for such a key must name its hot slice.
    pub carved: Arc<[CarvedKey]>,
    /// Revision of the row on which the lease is based.
    pub revision: Revision,
}

/// Reason why a host stops sending to an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopReason {
    /// Another host coordinates the upstream.
    Replaced,
    /// The host has no recent evidence that it has not been replaced.
    NoEvidence,
    /// The upstream does not reply.
    NoReply,
    /// The host is leaving or hands the upstream over.
    HandedOver,
}

/// An action that a machine asks its caller to carry out.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Commits a transaction. The result is reported as
    /// [`Event::CommitEnded`](crate::Event::CommitEnded).
    Commit {
        /// Number that identifies the transaction.
        txn: u64,
        /// Checks and writes of the transaction.
        body: Txn,
    },
    /// Sends a grant to an upstream. The reply, or its absence, is reported with the same attempt
    /// number.
    SendGrant {
        /// Upstream that receives the grant.
        upstream: UpstreamId,
        /// Number that identifies the attempt.
        attempt: u64,
        /// Body of the grant.
        request: GrantRequest,
    },
    /// Requests the health of an upstream that does not check grants.
    Probe {
        /// Upstream to probe.
        upstream: UpstreamId,
        /// Number that identifies the attempt.
        attempt: u64,
    },
    /// Requests the health of an upstream that this host does not coordinate, over a connection of its
    /// own. The result is reported as [`Event::ReachChecked`](crate::Event::ReachChecked).
    CheckReach {
        /// Upstream to call.
        upstream: UpstreamId,
        /// Number that identifies the call.
        attempt: u64,
    },
    /// Sends a message to another host. The message may be lost.
    SendPeer {
        /// Receiver.
        to: HostRef,
        /// Message to send.
        message: Box<wire::own::PeerMessage>,
    },
    /// Permits sending to an upstream. Replaces any earlier lease for that upstream.
    Lease(Lease),
    /// Ends the permission to send to an upstream. Queued requests are refused or, after a
    /// [`Hold`](Action::Hold), wait for the [`Release`](Action::Release).
    StopUpstream {
        /// Upstream that receives no more requests.
        upstream: UpstreamId,
        /// Reason for the stop.
        reason: StopReason,
    },
    /// Stops sending requests for these slices and queues new ones.
    /// [`Event::Drained`](crate::Event::Drained) is reported once none of them is in flight.
    Hold {
        /// Upstream whose requests are held.
        upstream: UpstreamId,
        /// Number that identifies the hold.
        hold: u64,
        /// Slices to hold; all requests of the upstream if absent.
        slices: Option<Arc<[SliceNo]>>,
    },
    /// Resumes the requests of a hold.
    Release {
        /// Upstream at which the requests were held.
        upstream: UpstreamId,
        /// Number that identifies the hold.
        hold: u64,
        /// Upstream that owns the slices now; equal to `upstream` if nothing moved.
        to: UpstreamId,
        /// Coordinating host of `to`; this host if nothing moved.
        host: HostRef,
    },
    /// Reports that this host coordinates no upstream any more and may exit.
    LeaveComplete,
}
