//! The mapping from keys to the slices of an entry.

use std::fmt;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

const HOT_BIT: u64 = 1 << 63;

/// The hash of a request's key; the key itself is never stored.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyHash(pub u64);

impl KeyHash {
    /// Hashes a key with 64-bit XXH3.
    #[must_use]
    pub fn of(key: &[u8]) -> Self {
        Self(xxh3_64(key))
    }

    /// Returns the slice that contains this key in an entry with `count` slices,
    /// unless the key was carved out.
    ///
    /// # Panics
    ///
    /// Panics in debug builds if `count` is zero.
    #[must_use]
    pub fn slice(self, count: u32) -> SliceNo {
        debug_assert!(count > 0, "an entry has at least one slice");
        let product = u128::from(self.0) * u128::from(count);
        SliceNo((product >> 64) as u64)
    }

    /// Returns the slice that contains only this key once the key is carved out.
    ///
    /// It keeps the upper 63 bits of the hash, from which [`SliceNo::base`] computes the original
    /// slice.
    #[must_use]
    pub const fn hot_slice(self) -> SliceNo {
        SliceNo(self.0 >> 1 | HOT_BIT)
    }
}

/// A slice of an entry: a range of key hashes, or a single carved-out hot key.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize
)]
#[serde(transparent)]
pub struct SliceNo(pub u64);

impl SliceNo {
    /// Returns whether the slice is a carved-out hot key.
    #[must_use]
    pub const fn is_hot(self) -> bool {
        self.0 & HOT_BIT != 0
    }

    /// Returns the slice that this one was carved out of in an entry with `count` slices, or itself
    /// if it is not a carved-out key.
    ///
    /// # Panics
    ///
    /// Panics in debug builds if `count` is zero.
    #[must_use]
    pub fn base(self, count: u32) -> Self {
        if !self.is_hot() {
            return self;
        }
        KeyHash(self.0 << 1).slice(count)
    }
}

impl fmt::Display for SliceNo {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.is_hot() {
            return write!(f, "hot-{:016x}", self.0 & !HOT_BIT);
        }
        self.0.fmt(f)
    }
}
