//! The changes of ownership that the planner asks for.

use ids::{KeyHash, SliceNo};

use crate::loads::UpstreamKey;

/// A change of ownership that the planner asks for.
///
/// The caller tries it by compare-and-set. If it is done, it tells [`crate::Loads::assign`] and
/// [`crate::Planner::settle`]; if not, [`crate::Planner::fail`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Wish {
    /// A slice goes from one upstream to another.
    Move {
        /// Slice; may be a carved-out key.
        slice: SliceNo,
        /// Owner.
        from: UpstreamKey,
        /// New owner.
        to: UpstreamKey,
        /// Its load, in busy slots, for the new owner's coordinating host.
        load: f64,
    },
    /// A key gets a slice of its own on another upstream.
    Carve {
        /// Hash of the key.
        key: KeyHash,
        /// Slice that holds it.
        slice: SliceNo,
        /// Owner.
        from: UpstreamKey,
        /// New owner.
        to: UpstreamKey,
        /// Its load, in busy slots, for the new owner's coordinating host.
        load: f64,
    },
    /// A carved-out key goes back to the slice it came from, wherever that is now.
    Fold {
        /// The key's own slice.
        slice: SliceNo,
        /// Owner.
        from: UpstreamKey,
    },
}

impl Wish {
    /// Returns the slice whose owner changes: for [`Self::Carve`] the key's own, new one.
    #[must_use]
    pub const fn slice(&self) -> SliceNo {
        match *self {
            Self::Move { slice, .. } | Self::Fold { slice, .. } => slice,
            Self::Carve { key, .. } => key.hot_slice(),
        }
    }

    /// Returns the upstream that gives the slice or key away.
    #[must_use]
    pub const fn from(&self) -> UpstreamKey {
        match *self {
            Self::Move { from, .. } | Self::Carve { from, .. } | Self::Fold { from, .. } => from,
        }
    }

    /// Returns the new owner, unless it follows from the slice that a key goes back to.
    #[must_use]
    pub const fn to(&self) -> Option<UpstreamKey> {
        match *self {
            Self::Move { to, .. } | Self::Carve { to, .. } => Some(to),
            Self::Fold { .. } => None,
        }
    }

    /// Returns the load that changes owner, in busy slots; zero for a cooled key.
    #[must_use]
    pub const fn load(&self) -> f64 {
        match *self {
            Self::Move { load, .. } | Self::Carve { load, .. } => load,
            Self::Fold { .. } => 0.0,
        }
    }
}
