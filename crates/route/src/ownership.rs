//! Who owns what, as the replica of the table knows it.

use ids::{HostId, Revision, SliceNo, UpstreamId};
use indexmap::IndexMap;

/// All ownership that one host knows of.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Ownership {
    /// Highest table revision that went into it.
    pub revision: Revision,
    /// Ownership by upstream.
    pub upstreams: IndexMap<UpstreamId, Owned>,
}

/// What is known of one upstream.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Owned {
    /// Host that coordinates the upstream, if there is one.
    pub host: Option<HostId>,
    /// Slices of the upstream's entry that it owns, hot ones included, in any order.
    pub slices: Vec<SliceNo>,
}

/// One change of ownership since the last snapshot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OwnershipChange {
    /// Another host, or none, coordinates the upstream from now on.
    Coordinator {
        /// Upstream.
        upstream: UpstreamId,
        /// Its coordinating host.
        host: Option<HostId>,
    },
    /// A slice has an owner from now on; whoever had it before has it no longer.
    Assigned {
        /// Upstream that owns the slice.
        upstream: UpstreamId,
        /// Slice of the upstream's entry.
        slice: SliceNo,
    },
    /// A slice of the upstream's entry has no owner any more. A hot slice is folded back into
    /// the range that its key hashes to.
    Unassigned {
        /// Upstream that owned the slice.
        upstream: UpstreamId,
        /// Slice.
        slice: SliceNo,
    },
}
