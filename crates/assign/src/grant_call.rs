//! Calls and commits that the lease manager requests, and their outcomes.

use std::time::Duration;

use ids::{Revision, StoreEra, Timestamp, UpstreamId};
use smol_str::SmolStr;

use crate::loads::KeyLoads;
use crate::plan::PlannedUpstream;
use crate::range::{FencingToken, KeyRange};
use crate::row::PartitionRow;

/// A call that grants or releases keys at an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GrantCall {
    /// Identifies the call in [`call_ended`](crate::PartitionLeaseManager::call_ended).
    pub id: u64,
    /// The upstream.
    pub upstream: UpstreamId,
    /// Whether the call grants or releases the keys.
    pub kind: CallKind,
    /// The keys.
    pub range: KeyRange,
    /// Fencing token of the call.
    pub token: FencingToken,
    /// When the call was decided on. A grant must leave at once, because waits for its end count
    /// from this time.
    pub decided_at: Timestamp,
}

/// What a call asks of the upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallKind {
    /// The upstream may run requests on the keys.
    Grant {
        /// For how long, from the call's arrival.
        hold: Duration,
        /// The previous owner's handover.
        handover: Option<SmolStr>,
        /// Whether another host may have granted the keys under the same fencing token.
        is_inherited: bool,
    },
    /// The upstream must not start requests on the keys; it answers when those that run have ended.
    Release,
}

/// Outcome of a grant call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum GrantCallOutcome {
    /// The upstream granted or released the keys.
    Done {
        /// State for the next owner that keeps the keys warm; returned by a release.
        handover: Option<SmolStr>,
    },
    /// The upstream has seen a higher fencing token.
    Fenced,
    /// Another server has the upstream's address: the upstream no longer exists.
    Gone,
    /// The call was not sent, for a reason at this host, such as that it was too busy to send it in
    /// time. This says nothing about the upstream.
    NotSent,
    /// The grant was not sent: the process at the upstream's address may be another one than that
    /// which was granted keys under this fencing token before. The keys need a higher token.
    NeedsHigherToken,
    /// No answer arrived.
    NoAnswer {
        /// Whether the call may have arrived.
        maybe_sent: bool,
    },
}

impl GrantCallOutcome {
    /// Returns the state for the next owner, if the call was carried out and returned any.
    #[must_use]
    pub fn into_handover(self) -> Option<SmolStr> {
        match self {
            Self::Done { handover } => handover,
            _ => None,
        }
    }
}

/// Outcome of a commit.
#[derive(Debug, Clone, PartialEq)]
pub enum CommitOutcome {
    /// The row was written, at this revision.
    Committed(Revision),
    /// The row was not written. Holds the present row, if it could be read.
    Conflict(Option<(PartitionRow, Revision)>),
    /// The row may have been written, or may yet be.
    Unknown,
    /// The row was not written and will not be.
    NotCommitted,
}

/// An action that the lease manager requests.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Call an upstream.
    Call(GrantCall),
    /// Write the row if the present one has the expected revision, or does not exist if none is
    /// expected.
    Commit {
        /// The row.
        row: PartitionRow,
        /// Revision that the present row must have.
        expected: Option<Revision>,
        /// The store's era in which the row is written; each era has a row of its own.
        era: StoreEra,
    },
}

/// What a plan needs to know in addition to the row.
#[derive(Debug)]
pub struct LeaseContext<'a> {
    /// Upstreams of the entry that accept requests.
    pub ready: &'a [PlannedUpstream],
    /// Request rates of the keys; summed up when a plan is made.
    pub loads: &'a mut KeyLoads,
    /// Whether this host may move keys: its knowledge of upstreams is fresh.
    pub may_move: bool,
}
