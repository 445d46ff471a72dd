//! Ranges of keys, and fences.

use std::fmt;

use serde::{Deserialize, Serialize};

/// The highest key.
pub const LAST_KEY: u16 = u16::MAX;

/// Keys from `first` to `last`, both included.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct KeyRange {
    /// The lowest key.
    pub first: u16,
    /// The highest key.
    pub last: u16,
}

impl KeyRange {
    /// All keys.
    pub const ALL: Self = Self {
        first: 0,
        last: LAST_KEY,
    };

    /// Tells whether `key` lies in the range.
    #[must_use]
    pub const fn contains(self, key: u16) -> bool {
        self.first <= key && key <= self.last
    }

    /// Tells whether both ranges have a key in common.
    #[must_use]
    pub const fn overlaps(self, other: Self) -> bool {
        self.first <= other.last && other.first <= self.last
    }

    /// Tells whether all keys of `other` lie in the range.
    #[must_use]
    pub const fn covers(self, other: Self) -> bool {
        self.first <= other.first && other.last <= self.last
    }

    /// Returns where among all keys the range begins: from zero to one.
    #[must_use]
    pub fn place(self) -> f64 {
        f64::from(self.first) / (f64::from(LAST_KEY) + 1.0)
    }

    /// Returns how many keys there are.
    #[must_use]
    pub const fn keys(self) -> u32 {
        self.last as u32 - self.first as u32 + 1
    }

    /// Splits the range so that the second part begins with `key`; none if that is no split.
    #[must_use]
    pub const fn split_at(self, key: u16) -> Option<(Self, Self)> {
        if key <= self.first || key > self.last {
            return None;
        }
        let left = Self {
            first: self.first,
            last: key - 1,
        };
        let right = Self {
            first: key,
            last: self.last,
        };
        Some((left, right))
    }
}

impl fmt::Display for KeyRange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.first, self.last)
    }
}

/// Fencing token of a range: an upstream refuses lower ones than it has seen for a key.
///
/// Each change of an entry's row takes the next number, so that fences rise for each key whoever
/// owns it, in the order in which the store took the changes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fence(pub u64);

impl Fence {
    /// Returns the next higher fence.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for Fence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
