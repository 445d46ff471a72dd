//! Events that a machine handles.

use std::sync::Arc;

use catalogue::Catalogue;
use ids::{EntryId, Revision, SliceNo, Timestamp, UpstreamId};
use platform::Row;
use wire::grant::GrantReply;

use crate::HostRef;

/// Result of a transaction, as far as it is known.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CommitOutcome {
    /// The transaction took effect at this revision.
    Done(Revision),
    /// The transaction had no effect. Contains the current rows of all its checks.
    Conflict(Vec<Row>),
    /// The transaction never reached the table, so it had no effect.
    Unreachable,
    /// The transaction may have taken effect, or may still do so.
    Unconfirmed,
}

/// An event that a machine handles.
#[derive(Debug, Clone)]
pub enum Event {
    /// Time has passed. Due at least every [`tick`](crate::OwnershipSettings::tick).
    Tick,
    /// The replica received a row below `own/`.
    Row(Row),
    /// The replica holds all rows below `own/` as of a read of the table that began after `as_of`.
    TableRead {
        /// Local clock reading.
        as_of: Timestamp,
    },
    /// Whether the table answers, according to the readers of this host's domain. A machine
    /// initially assumes that it does.
    TableReachable(bool),
    /// A transaction ended.
    CommitEnded {
        /// Number from [`Action::Commit`](crate::Action::Commit).
        txn: u64,
        /// Result of the transaction.
        outcome: CommitOutcome,
    },
    /// An upstream replied to a grant.
    GrantReply {
        /// Upstream that replied.
        upstream: UpstreamId,
        /// Number from [`Action::SendGrant`](crate::Action::SendGrant).
        attempt: u64,
        /// Reply, accepting or refusing the grant.
        reply: GrantReply,
    },
    /// An upstream that does not check grants replied to a health request.
    Healthy {
        /// Upstream that replied.
        upstream: UpstreamId,
        /// Number from [`Action::Probe`](crate::Action::Probe).
        attempt: u64,
    },
    /// A grant or health request got no reply.
    NoReply {
        /// Upstream that did not reply.
        upstream: UpstreamId,
        /// Number of the attempt.
        attempt: u64,
        /// Whether the connection was refused. No process listens at the address then, so the
        /// previous one has ended.
        refused: bool,
    },
    /// A call that checked whether this host reaches an upstream has ended.
    ReachChecked {
        /// Number from [`Action::CheckReach`](crate::Action::CheckReach).
        attempt: u64,
        /// Whether the upstream replied.
        is_reached: bool,
    },
    /// A host was contacted, directly or through other hosts.
    PeerContact {
        /// Incarnation that was contacted.
        from: HostRef,
        /// Local clock reading that the host echoed directly; absent if its state was reported by
        /// other hosts.
        echo_of: Option<Timestamp>,
        /// Whether the host reported that it is leaving.
        leaving: bool,
    },
    /// An incarnation of a host has ended: its control address refuses connections.
    PeerEnded(HostRef),
    /// An ownership message arrived.
    PeerMessage(Box<wire::own::PeerMessage>),
    /// A new catalogue is in force.
    Catalogue(Arc<Catalogue>),
    /// The requests of a hold are drained: none is in flight to the upstream nor, if it replies,
    /// running there, and new ones are held. Reported once for each
    /// [`Action::Hold`](crate::Action::Hold).
    Drained {
        /// Upstream whose requests are held.
        upstream: UpstreamId,
        /// Number from [`Action::Hold`](crate::Action::Hold).
        hold: u64,
    },
    /// The health report of an upstream says whether it wants to leave.
    Draining {
        /// Upstream that reported.
        upstream: UpstreamId,
        /// Whether the upstream wants to leave.
        draining: bool,
    },
    /// Placement proposes to move a slice.
    MoveWish {
        /// Entry of the slice.
        entry: EntryId,
        /// Slice to move.
        slice: SliceNo,
        /// Upstream that should own it.
        to: UpstreamId,
    },
    /// Placement proposes to carve a hot key out into a slice of its own.
    CarveWish {
        /// Entry of the slice.
        entry: EntryId,
        /// Slice that holds the key.
        base: SliceNo,
        /// Slice for the key alone.
        hot: SliceNo,
    },
    /// Placement proposes to fold a carved-out key back into its slice.
    FoldWish {
        /// Entry of the slice.
        entry: EntryId,
        /// Slice of the key alone.
        hot: SliceNo,
    },
    /// This host must leave.
    Leave,
}
