//! What a machine wants done.

use std::sync::Arc;

use ids::{Epoch, Revision, SliceNo, Timestamp, UpstreamId};
use platform::Txn;
use wire::grant::GrantRequest;

use crate::{Carved, HostRef};

/// The right to send to an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Lease {
    /// Upstream.
    pub upstream: UpstreamId,
    /// Epoch to send along.
    pub epoch: Epoch,
    /// Reading of the own clock from which nothing may be sent any more; to be compared with a
    /// fresh reading just before each send.
    pub valid_until: Timestamp,
    /// Slices that may be sent, rising.
    pub slices: Arc<[SliceNo]>,
    /// Hot keys carved out of these slices: a request of such a key must name its hot slice.
    pub carved: Arc<[Carved]>,
    /// Revision of the row behind the lease.
    pub revision: Revision,
}

/// Why a host stops sending to an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stop {
    /// Another host coordinates the upstream.
    Replaced,
    /// The host has no fresh evidence that it was not replaced.
    NoEvidence,
    /// The upstream does not reply.
    NoReply,
    /// The host leaves or hands the upstream over.
    HandedOver,
}

/// What a machine wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Commit a transaction and tell how it ended as
    /// [`Event::Committed`](crate::Event::Committed).
    Commit {
        /// Number of the transaction.
        txn: u64,
        /// The transaction.
        body: Txn,
    },
    /// Send a grant; the reply or its absence comes back with the same number.
    SendGrant {
        /// Upstream.
        upstream: UpstreamId,
        /// Number of the attempt.
        attempt: u64,
        /// The grant.
        request: GrantRequest,
    },
    /// Ask an upstream that does not check grants for its health.
    Probe {
        /// Upstream.
        upstream: UpstreamId,
        /// Number of the attempt.
        attempt: u64,
    },
    /// Send a message; it may be lost.
    SendPeer {
        /// Receiver.
        to: HostRef,
        /// The message.
        message: Box<wire::own::PeerMessage>,
    },
    /// The host may send to the upstream; replaces the lease before.
    Lease(Lease),
    /// The host may not send to the upstream any more; queued requests are refused or, after a
    /// [`Hold`](Action::Hold), wait for the [`Release`](Action::Release).
    StopUpstream {
        /// Upstream.
        upstream: UpstreamId,
        /// Why.
        why: Stop,
    },
    /// Send no more of these slices and keep newcomers waiting; tell
    /// [`Event::Drained`](crate::Event::Drained) once nothing of them is under way.
    Hold {
        /// Upstream.
        upstream: UpstreamId,
        /// Number of the hold.
        hold: u64,
        /// Slices; all requests of the upstream if absent.
        slices: Option<Arc<[SliceNo]>>,
    },
    /// Let what was held go on.
    Release {
        /// Upstream at which it was held.
        upstream: UpstreamId,
        /// Number of the hold.
        hold: u64,
        /// Upstream that owns the slices now; the same one if nothing moved.
        to: UpstreamId,
        /// Host that coordinates it; the own one if nothing moved.
        host: HostRef,
    },
    /// The host coordinates no upstream any more and may exit.
    Left,
}
