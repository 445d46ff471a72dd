//! The changes of ownership that the planner proposes.

use ids::{KeyHash, SliceNo};

use crate::loads::UpstreamKey;

/// A change of ownership that the planner proposes.
///
/// The caller attempts it by compare-and-set. On success, it calls [`crate::Loads::assign`] and
/// [`crate::Planner::completed`]; on failure, [`crate::Planner::failed`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ProposedMove {
    /// Moves a slice from one upstream to another.
    Move {
        /// Slice; may be that of a carved-out key.
        slice: SliceNo,
        /// Current owner.
        from: UpstreamKey,
        /// New owner.
        to: UpstreamKey,
        /// Load, in busy slots, to be sent to the new owner's coordinating host.
        load: f64,
    },
    /// Gives a key a slice of its own on another upstream.
    Carve {
        /// Hash of the key.
        key: KeyHash,
        /// Slice that holds it.
        slice: SliceNo,
        /// Current owner.
        from: UpstreamKey,
        /// New owner.
        to: UpstreamKey,
        /// Load, in busy slots, to be sent to the new owner's coordinating host.
        load: f64,
    },
    /// Returns a carved-out key to the slice that it came from, whose owner may have changed.
    Fold {
        /// The key's own slice.
        slice: SliceNo,
        /// Current owner.
        from: UpstreamKey,
    },
}

impl ProposedMove {
    /// Returns the slice whose owner changes; for [`Self::Carve`], the key's own new slice.
    #[must_use]
    pub const fn slice(&self) -> SliceNo {
        match *self {
            Self::Move { slice, .. } | Self::Fold { slice, .. } => slice,
            Self::Carve { key, .. } => key.hot_slice(),
        }
    }

    /// Returns the upstream that owns the slice or key before the move.
    #[must_use]
    pub const fn from(&self) -> UpstreamKey {
        match *self {
            Self::Move { from, .. } | Self::Carve { from, .. } | Self::Fold { from, .. } => from,
        }
    }

    /// Returns the new owner; none for [`Self::Fold`], where it is the owner of the slice that the
    /// key came from.
    #[must_use]
    pub const fn to(&self) -> Option<UpstreamKey> {
        match *self {
            Self::Move { to, .. } | Self::Carve { to, .. } => Some(to),
            Self::Fold { .. } => None,
        }
    }

    /// Returns the load that changes owner, in busy slots; zero for [`Self::Fold`], as the key is
    /// cold.
    #[must_use]
    pub const fn load(&self) -> f64 {
        match *self {
            Self::Move { load, .. } | Self::Carve { load, .. } => load,
            Self::Fold { .. } => 0.0,
        }
    }
}
