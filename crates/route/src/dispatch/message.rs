//! Events and actions of a [`Dispatcher`](super::Dispatcher).

use std::sync::Arc;
use std::time::Duration;

use ids::{EntryId, Epoch, KeyHash, Reason, RequestId, SliceNo, Timestamp, UpstreamId};

use crate::key::CallKey;

/// Limits declared for an upstream and its entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UpstreamLimits {
    /// Requests that the upstream runs concurrently.
    pub slots: u32,
    /// Connections that it accepts.
    pub connections: u32,
    /// Requests that may wait for it.
    pub queue: u32,
    /// Whether its entry is divided by key.
    pub divided: bool,
}

/// A call that arrived at the coordinating host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Arrival {
    /// The call.
    pub call: CallKey,
    /// Upstream that the entry host chose.
    pub upstream: UpstreamId,
    /// Slice of the key; none if the entry is not divided by key.
    pub slice: Option<SliceNo>,
    /// Hash of the key. A call counts to its key's hot slice once there is one.
    pub key: Option<KeyHash>,
    /// Deadline on this host's clock.
    pub deadline: Timestamp,
    /// Time that the request had from its arrival at the entry host until its deadline.
    pub total_time: Duration,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Entry; request ids are unique within one.
    pub entry: EntryId,
    /// The request's id.
    pub request_id: RequestId,
    /// Hash of method, path and body. A call with the same id and another fingerprint is a
    /// different request, not a repeat.
    pub fingerprint: u64,
}

/// How a call that was sent ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallEnd {
    /// The upstream's complete answer arrived.
    Answered {
        /// Size in bytes of the answer, as it would be kept.
        bytes: usize,
    },
    /// There is no answer; [`Reason::outcome`] determines whether the call may have run.
    Failed(Reason),
}

/// An input of a [`Dispatcher`](super::Dispatcher).
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A call arrived.
    Arrive(Arrival),
    /// A call that was sent ended, and its connection is idle or closed.
    Finished {
        /// The call.
        call: CallKey,
        /// How it ended.
        end: CallEnd,
    },
    /// The caller disconnected, or its entry host did; the call needs no final action any more.
    CallerGone {
        /// The call.
        call: CallKey,
    },
    /// This host now coordinates the upstream, or the upstream's limits changed.
    UpstreamDeclared {
        /// Upstream.
        upstream: UpstreamId,
        /// Limits.
        limits: UpstreamLimits,
    },
    /// The upstream restarted and must be ramped up.
    Restarted {
        /// Upstream.
        upstream: UpstreamId,
    },
    /// The upstream must get no new calls from now on.
    Draining {
        /// Upstream.
        upstream: UpstreamId,
    },
    /// This host no longer coordinates the upstream.
    Removed {
        /// Upstream.
        upstream: UpstreamId,
    },
    /// The upstream was granted slices, or its lease was renewed.
    Lease {
        /// Upstream.
        upstream: UpstreamId,
        /// Fencing token.
        epoch: Epoch,
        /// Time on this host's clock from which nothing may be sent under the lease.
        valid_until: Timestamp,
        /// Slices, sorted; none if they are unchanged.
        slices: Option<Arc<[SliceNo]>>,
    },
    /// The lease ended early.
    LeaseEnded {
        /// Upstream.
        upstream: UpstreamId,
    },
    /// The hot slices of the upstream changed: keys were carved out of its slices or folded back. A
    /// call counts to the slice of its key alone while that slice is among these.
    HotSlicesChanged {
        /// Upstream.
        upstream: UpstreamId,
        /// All hot slices carved out of the upstream's slices, sorted.
        hot: Arc<[SliceNo]>,
    },
    /// A slice is about to move from or to the upstream: calls for it wait.
    Hold {
        /// Upstream.
        upstream: UpstreamId,
        /// Slice; if none, all calls of the upstream wait.
        slice: Option<SliceNo>,
    },
    /// The move completed or was cancelled.
    Release {
        /// Upstream whose calls were held.
        upstream: UpstreamId,
        /// Slice, as in the hold.
        slice: Option<SliceNo>,
        /// Upstream that owns the slice now. Calls continue there if this host coordinates it;
        /// otherwise they are refused with [`Reason::StaleRoute`].
        to: Option<UpstreamId>,
    },
    /// The upstream's own health report; used only while there are no recent observations.
    Health {
        /// Upstream.
        upstream: UpstreamId,
        /// Whether it reports itself healthy.
        healthy: bool,
    },
    /// Time passed.
    Tick,
}

/// An output of a [`Dispatcher`](super::Dispatcher).
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Sends the call to the upstream now, on a connection of its own.
    Send {
        /// The call.
        call: CallKey,
        /// Upstream.
        upstream: UpstreamId,
        /// Fencing token to send along.
        epoch: Epoch,
        /// Slice to send along.
        slice: Option<SliceNo>,
        /// Time from which it must not be written any more, as its answer would come too late.
        send_by: Timestamp,
    },
    /// Answers the call with the answer of `from`: the one just finished, or a kept one.
    Answer {
        /// The call.
        call: CallKey,
        /// The call whose answer it gets; the same call unless this is a repeat.
        from: CallKey,
    },
    /// Refuses the call.
    Refuse {
        /// The call.
        call: CallKey,
        /// Reason; its outcome determines whether the request may have run.
        reason: Reason,
        /// Delay after which the caller may retry.
        retry_after: Duration,
    },
    /// Closes the call's connection, which is never used again; an answer that still arrives is
    /// discarded.
    Abort {
        /// The call.
        call: CallKey,
    },
    /// Keeps the answer of the call just finished for repeats.
    Keep {
        /// The call.
        call: CallKey,
    },
    /// Drops a kept answer.
    Discard {
        /// The call.
        call: CallKey,
    },
    /// No call of the held slice, or of the held or draining upstream, is in flight any more.
    Drained {
        /// Upstream.
        upstream: UpstreamId,
        /// Slice; none if no call of the upstream is in flight.
        slice: Option<SliceNo>,
    },
}
