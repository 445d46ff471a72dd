//! What a [`Dispatcher`](super::Dispatcher) is told and what it wants done.

use std::sync::Arc;
use std::time::Duration;

use ids::{EntryId, Epoch, KeyHash, Reason, RequestId, SliceNo, Timestamp, UpstreamId};

use crate::key::CallKey;

/// What is declared of an upstream and its entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UpstreamLimits {
    /// Requests that the upstream runs at the same time.
    pub slots: u32,
    /// Connections that it takes.
    pub connections: u32,
    /// Requests that may wait for it.
    pub queue: u32,
    /// Whether its entry is divided by key.
    pub divided: bool,
}

/// A call that came to the coordinating host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Arrival {
    /// The call.
    pub call: CallKey,
    /// Upstream that the entry host chose.
    pub upstream: UpstreamId,
    /// Slice of the key; none if the entry is not divided by key.
    pub slice: Option<SliceNo>,
    /// Hash of the key, by which a call is counted to its key's own slice once that is carved out.
    pub key: Option<KeyHash>,
    /// When the caller's time is over, on this host's clock.
    pub deadline: Timestamp,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Entry; ids of requests are told apart within one.
    pub entry: EntryId,
    /// The request's id.
    pub request_id: RequestId,
    /// Hash of method, path and body: a repeat of an id with another one is another request.
    pub fingerprint: u64,
}

/// How a call that was sent ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ended {
    /// The upstream's whole answer came.
    Answered {
        /// Bytes of the answer, as it would be kept.
        bytes: usize,
    },
    /// There is no answer: [`Reason::outcome`] tells whether it may have run.
    Failed(Reason),
}

/// What a [`Dispatcher`](super::Dispatcher) is told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A call came.
    Arrive(Arrival),
    /// A call that was sent ended, and its connection is idle or closed.
    Finished {
        /// The call.
        call: CallKey,
        /// How it ended.
        how: Ended,
    },
    /// The caller left, or its entry host did; it needs no final action any more.
    CallerGone {
        /// The call.
        call: CallKey,
    },
    /// This host coordinates an upstream from now on, or its limits changed.
    Upstream {
        /// Upstream.
        upstream: UpstreamId,
        /// Limits.
        limits: UpstreamLimits,
    },
    /// The upstream restarted: it is cold.
    Booted {
        /// Upstream.
        upstream: UpstreamId,
    },
    /// The upstream gets no new work from now on.
    Draining {
        /// Upstream.
        upstream: UpstreamId,
    },
    /// This host does not coordinate the upstream any more.
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
        /// When the lease surely ends, on this host's clock.
        valid_until: Timestamp,
        /// Slices, sorted; none if they are as before.
        slices: Option<Arc<[SliceNo]>>,
    },
    /// The lease is over before its time.
    LeaseLost {
        /// Upstream.
        upstream: UpstreamId,
    },
    /// Keys were carved out of the upstream's slices, or folded back: calls count to the slice
    /// of their key alone while it is among these.
    Carved {
        /// Upstream.
        upstream: UpstreamId,
        /// All hot slices carved out of the upstream's slices, sorted.
        hot: Arc<[SliceNo]>,
    },
    /// A slice is about to move, from or to the upstream: calls for it wait.
    Hold {
        /// Upstream.
        upstream: UpstreamId,
        /// Slice; all calls of the upstream wait if there is none.
        slice: Option<SliceNo>,
    },
    /// The move is over or called off.
    Release {
        /// Upstream that held calls for the slice.
        upstream: UpstreamId,
        /// Slice, as it was held.
        slice: Option<SliceNo>,
        /// Upstream that has the slice now. Calls go on there if this host coordinates it;
        /// else they are refused as [`Reason::StaleRoute`].
        to: Option<UpstreamId>,
    },
    /// What the upstream says of itself; believed only where nothing else is known.
    Report {
        /// Upstream.
        upstream: UpstreamId,
        /// Whether it calls itself fit.
        healthy: bool,
    },
    /// Time passed.
    Tick,
}

/// What a [`Dispatcher`](super::Dispatcher) wants done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// The call is sent to the upstream now, on a connection of its own.
    Send {
        /// The call.
        call: CallKey,
        /// Upstream.
        upstream: UpstreamId,
        /// Fencing token to send along.
        epoch: Epoch,
        /// Slice to send along.
        slice: Option<SliceNo>,
    },
    /// The call gets the answer of `from`: the one just finished, or one kept.
    Answer {
        /// The call.
        call: CallKey,
        /// The call whose answer it gets; the same one unless this is a repeat.
        from: CallKey,
    },
    /// The call gets this refusal.
    Refuse {
        /// The call.
        call: CallKey,
        /// Reason; its outcome tells whether the request may have run.
        reason: Reason,
        /// When to come back.
        retry_after: Duration,
    },
    /// The call's connection is closed and never used again; an answer that still comes goes to
    /// nobody.
    Abort {
        /// The call.
        call: CallKey,
    },
    /// The answer of the call just finished is kept for repeats.
    Keep {
        /// The call.
        call: CallKey,
    },
    /// A kept answer may go.
    Discard {
        /// The call.
        call: CallKey,
    },
    /// Nothing of the held slice, or of the held or draining upstream, is under way any more.
    Drained {
        /// Upstream.
        upstream: UpstreamId,
        /// Slice; none if nothing at all is under way.
        slice: Option<SliceNo>,
    },
}
