//! What a machine is told.

use std::sync::Arc;

use catalogue::Catalogue;
use ids::{EntryId, Revision, SliceNo, Timestamp, UpstreamId};
use platform::Row;
use wire::grant::GrantReply;

use crate::HostRef;

/// How a transaction ended, as far as is known.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CommitOutcome {
    /// It took effect at this revision.
    Done(Revision),
    /// It had no effect; the rows of all its checks as they stand.
    Conflict(Vec<Row>),
    /// It surely had no effect, as it never reached the table.
    Unreachable,
    /// It may have taken effect, or may still do so.
    Unconfirmed,
}

/// What a machine is told.
#[derive(Debug, Clone)]
pub enum Event {
    /// Time passed; due at least every [`tick`](crate::OwnSettings::tick).
    Tick,
    /// The replica took in a row below `own/`.
    Row(Row),
    /// The replica holds all rows below `own/` as of a read of the table that began after `as_of`.
    TableEvidence {
        /// Reading of the own clock.
        as_of: Timestamp,
    },
    /// Whether the table answers, as far as the readers of the own domain can tell. A machine
    /// starts with the belief that it does.
    TableReachable(bool),
    /// A transaction ended.
    Committed {
        /// Number from [`Action::Commit`](crate::Action::Commit).
        txn: u64,
        /// How it ended.
        outcome: CommitOutcome,
    },
    /// An upstream replied to a grant.
    GrantReply {
        /// Upstream.
        upstream: UpstreamId,
        /// Number from [`Action::SendGrant`](crate::Action::SendGrant).
        attempt: u64,
        /// The reply, whether it accepts or refuses.
        reply: GrantReply,
    },
    /// An upstream that does not check grants replied to a health request.
    Healthy {
        /// Upstream.
        upstream: UpstreamId,
        /// Number from [`Action::Probe`](crate::Action::Probe).
        attempt: u64,
    },
    /// A grant or health request brought no reply.
    NoReply {
        /// Upstream.
        upstream: UpstreamId,
        /// Number of the attempt.
        attempt: u64,
        /// Whether the connection was refused: no process listens there, so the one that did is
        /// surely gone.
        refused: bool,
    },
    /// A host was heard of.
    Peer {
        /// The run that was heard of.
        from: HostRef,
        /// A reading of the own clock that this host returned directly; absent if it was heard of
        /// through others.
        echo_of: Option<Timestamp>,
        /// Whether the host said that it is leaving.
        leaving: bool,
    },
    /// A run of a host is surely over: its control address refuses connections.
    PeerGone(HostRef),
    /// An ownership message came in.
    PeerMessage(Box<wire::own::PeerMessage>),
    /// Another catalogue is in force.
    Catalogue(Arc<Catalogue>),
    /// Nothing of these slices is under way to the upstream or, if it replies, at it, and they are
    /// held; told once for each [`Action::Hold`](crate::Action::Hold) as soon as it is true.
    Drained {
        /// Upstream.
        upstream: UpstreamId,
        /// Number from [`Action::Hold`](crate::Action::Hold).
        hold: u64,
    },
    /// The upstream wants to leave, by its health report.
    Draining {
        /// Upstream.
        upstream: UpstreamId,
        /// Whether it does.
        draining: bool,
    },
    /// Placement wants a slice elsewhere.
    MoveWish {
        /// Entry.
        entry: EntryId,
        /// Slice.
        slice: SliceNo,
        /// Upstream that should own it.
        to: UpstreamId,
    },
    /// Placement wants a hot key to be a slice of its own.
    CarveWish {
        /// Entry.
        entry: EntryId,
        /// Slice that holds the key.
        base: SliceNo,
        /// Slice of the key alone.
        hot: SliceNo,
    },
    /// Placement wants a carved-out key back in its slice.
    FoldWish {
        /// Entry.
        entry: EntryId,
        /// Slice of the key alone.
        hot: SliceNo,
    },
    /// The host is to leave.
    Leave,
}
