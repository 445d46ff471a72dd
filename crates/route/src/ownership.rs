//! Ownership of slices by upstreams and of upstreams by coordinating hosts, from the local replica
//! of the table.

use ids::{HostId, Revision, SliceNo, UpstreamId};
use indexmap::IndexMap;

/// All ownership known to one host.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Ownership {
    /// Highest table revision that is included.
    pub revision: Revision,
    /// Ownership by upstream.
    pub upstreams: IndexMap<UpstreamId, UpstreamOwnership>,
}

/// Coordinating host and slices of one upstream.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct UpstreamOwnership {
    /// Host that coordinates the upstream, if there is one.
    pub host: Option<HostId>,
    /// Slices of the upstream's entry that it owns, including hot ones, in any order.
    pub slices: Vec<SliceNo>,
}

/// One change of ownership since the last snapshot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OwnershipChange {
    /// The upstream's coordinating host changed.
    Coordinator {
        /// Upstream.
        upstream: UpstreamId,
        /// New coordinating host; none if the upstream has none.
        host: Option<HostId>,
    },
    /// A slice was assigned to an upstream; the previous owner no longer has it.
    Assigned {
        /// Upstream that owns the slice.
        upstream: UpstreamId,
        /// Slice of the upstream's entry.
        slice: SliceNo,
    },
    /// A slice of the upstream's entry no longer has an owner. A hot slice is folded back into the
    /// range that its key hashes to.
    Unassigned {
        /// Upstream that owned the slice.
        upstream: UpstreamId,
        /// Slice.
        slice: SliceNo,
    },
}
