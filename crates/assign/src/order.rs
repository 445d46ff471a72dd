//! What a keeper wants done, and how it ends.

use std::time::Duration;

use ids::{Revision, Timestamp, UpstreamId};
use smol_str::SmolStr;

use crate::loads::KeyLoads;
use crate::plan::UpstreamView;
use crate::range::{Fence, KeyRange};
use crate::row::EntryRow;

/// A call to an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrderCall {
    /// Names the call in [`Keeper::call_ended`](crate::Keeper::call_ended).
    pub id: u64,
    /// The upstream.
    pub upstream: UpstreamId,
    /// What it is told.
    pub kind: CallKind,
    /// The keys.
    pub range: KeyRange,
    /// Fence of the call.
    pub fence: Fence,
    /// When the call was decided on; a grant must leave at once, as waits for its end count from
    /// then.
    pub decided: Timestamp,
}

/// What an upstream is told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallKind {
    /// It may run requests on the keys.
    Grant {
        /// For how long, from the call's arrival.
        hold: Duration,
        /// What the former owner handed over.
        handover: Option<SmolStr>,
    },
    /// It must not begin requests on the keys; it answers when those that run have ended.
    Release,
}

/// How a call ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallEnd {
    /// The upstream did what it was told; a release may bring something for the next owner.
    Done {
        /// What keeps the keys warm.
        handover: Option<SmolStr>,
    },
    /// The upstream has seen a higher fence.
    Fenced,
    /// Another run of a server answered: the upstream is gone.
    Gone,
    /// It was not sent, for a reason of this host's own: which run of the server listens is not known
    /// yet, or the host was too busy to send it in time. That says nothing of the upstream.
    NotSent,
    /// No answer came.
    NoAnswer {
        /// Whether the call may have arrived.
        maybe_sent: bool,
    },
}

/// How a commit ended.
#[derive(Debug, Clone, PartialEq)]
pub enum CommitEnd {
    /// It stands, at this revision.
    Done(Revision),
    /// It does not; the row as it stands, if it could be read.
    Conflict(Option<(EntryRow, Revision)>),
    /// It may stand, or may come to.
    Unknown,
    /// It surely does not.
    NotDone,
}

/// What a keeper wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Call an upstream.
    Call(OrderCall),
    /// Write the row if it still has the given revision, or doesn't exist.
    Commit {
        /// The row.
        row: EntryRow,
        /// Revision that the present row must have.
        expected: Option<Revision>,
    },
}

/// What the host knows beside the row.
#[derive(Debug)]
pub struct Standing<'a> {
    /// Upstreams of the entry that take requests.
    pub ready: &'a [UpstreamView],
    /// How busy the keys are; summed up when a plan is made.
    pub loads: &'a mut KeyLoads,
    /// Whether this host may move keys: what it knows of upstreams is fresh.
    pub may_move: bool,
}
