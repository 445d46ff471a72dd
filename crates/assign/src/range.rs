//! Key ranges and fencing tokens.

use std::fmt;

use ids::StoreEra;
use serde::{Deserialize, Serialize};

/// The highest key.
pub const LAST_KEY: u16 = u16::MAX;

/// Keys from `first` to `last`, inclusive.
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

    /// Returns whether the range contains `key`.
    #[must_use]
    pub const fn contains(self, key: u16) -> bool {
        self.first <= key && key <= self.last
    }

    /// Returns whether the ranges have a key in common.
    #[must_use]
    pub const fn overlaps(self, other: Self) -> bool {
        self.first <= other.last && other.first <= self.last
    }

    /// Returns whether the range contains all keys of `other`.
    #[must_use]
    pub const fn covers(self, other: Self) -> bool {
        self.first <= other.first && other.last <= self.last
    }

    /// Returns where the range starts, as a fraction of all keys.
    #[must_use]
    pub fn relative_start(self) -> f64 {
        f64::from(self.first) / (f64::from(LAST_KEY) + 1.0)
    }

    /// Returns the number of keys.
    #[must_use]
    pub const fn key_count(self) -> u32 {
        self.last as u32 - self.first as u32 + 1
    }

    /// Splits the range so that the second half starts with `key`, or returns `None` if either half
    /// would be empty.
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

/// Fencing token of a range: an upstream refuses tokens lower than the highest it has seen for a
/// key.
///
/// Each change of a partition's row takes the next number, so that for each key tokens rise in the
/// order in which the store accepted the changes, whichever upstream owns it. Tokens of a later era of
/// the store are higher than all that were issued before.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct FencingToken(pub u64);

impl FencingToken {
    /// Returns the next higher token.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }

    /// Returns the next higher token that is higher than all tokens of eras before `era`.
    #[must_use]
    pub fn next_in(self, era: StoreEra) -> Self {
        self.max(Self(era.0 << ERA_SHIFT)).next()
    }
}

/// Bits of a token that count changes within an era: at ten changes a second, 19 days of them without
/// a pause. Tokens of further changes still rise, but are no longer lower than all of the next era.
const ERA_SHIFT: u32 = 24;

impl fmt::Display for FencingToken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
