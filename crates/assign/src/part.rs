//! Parts of an entry's keys.
//!
//! An entry with many upstreams is divided into parts, each with its own row, fences and granting host, so that
//! rows, plans and renewals stay as large as those of an entry of a few hundred upstreams. How many parts there
//! are is settled when the keys are first handed out, and stands in each part's row.

use std::fmt;
use std::str::FromStr;

use ids::{EntryId, InvalidName, KeyHash, UpstreamId};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::range::{KeyRange, LAST_KEY};

/// Usual number of upstreams for each part: few enough for a row of 64 KiB with four pieces each and for one host to
/// renew, and so many that a stretch of hot keys finds owners with room within its part.
pub const UPSTREAMS_EACH: usize = 512;
/// Most parts: each must have more keys than upstreams.
const MOST_PARTS: u16 = 64;
/// Between the entry and the number in the name of a part; no name of an entry has it.
const SEPARATOR: char = ':';

/// One of the equal parts of an entry's keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Part {
    /// Parts before it.
    pub index: u16,
    /// All parts.
    pub count: u16,
}

impl Default for Part {
    fn default() -> Self {
        Self::WHOLE
    }
}

impl Part {
    /// All keys of an entry.
    pub const WHOLE: Self = Self { index: 0, count: 1 };

    /// Returns the first part of an entry that has so many upstreams, about `each` for each part.
    #[must_use]
    pub fn first_of(upstreams: usize, each: usize) -> Self {
        let count = (upstreams + each / 2) / each.max(1);
        Self {
            index: 0,
            count: u16::try_from(count).map_or(MOST_PARTS, |c| c.clamp(1, MOST_PARTS)),
        }
    }

    /// Tells whether this is one of a number of parts that an entry may have.
    #[must_use]
    pub const fn is_valid(self) -> bool {
        self.index < self.count && self.count <= MOST_PARTS
    }

    /// Returns all parts of the entry.
    pub fn all(self) -> impl Iterator<Item = Self> {
        let count = self.count;
        (0..count).map(move |index| Self { index, count })
    }

    /// Returns the part of `count` that has `key`.
    ///
    /// # Panics
    ///
    /// Panics if `count` is zero.
    #[must_use]
    pub fn of_key(key: u16, count: u16) -> Self {
        let place = u32::from(key) * u32::from(count) / KEYS;
        let part = Self {
            index: place as u16,
            count,
        };
        if part.keys().contains(key) {
            return part;
        }
        // Where the parts differ in size, the next one begins with this key.
        Self {
            index: part.index + 1,
            count,
        }
    }

    /// Returns the keys of the part.
    #[must_use]
    pub const fn keys(self) -> KeyRange {
        let first = KEYS * self.index as u32 / self.count as u32;
        let next = KEYS * (self.index as u32 + 1) / self.count as u32;
        KeyRange {
            first: first as u16,
            last: (next - 1) as u16,
        }
    }

    /// Tells whether `upstream` is one that owns keys of this part.
    ///
    /// An upstream belongs to one part, so that its load is known where its keys are planned.
    #[must_use]
    pub fn has(self, upstream: &UpstreamId) -> bool {
        let hash = KeyHash::of(upstream.as_str().as_bytes()).0;
        self.count == 1 || hash % u64::from(self.count) == u64::from(self.index)
    }

    /// Leaves those of an entry's upstreams that may own keys of this part: its own, or all if it has none left.
    pub fn retain<T>(self, upstreams: &mut Vec<T>, id: impl Fn(&T) -> &UpstreamId) {
        if upstreams.iter().any(|u| self.has(id(u))) {
            upstreams.retain(|u| self.has(id(u)));
        }
    }
}

/// How many keys there are.
const KEYS: u32 = LAST_KEY as u32 + 1;

/// Names a part of an entry's keys.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PartId {
    /// The entry.
    pub entry: EntryId,
    /// Which of its parts.
    pub index: u16,
}

impl PartId {
    /// Names the first part of an entry, which every entry has.
    #[must_use]
    pub const fn first(entry: EntryId) -> Self {
        Self { entry, index: 0 }
    }
}

impl fmt::Display for PartId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.index {
            0 => self.entry.fmt(f),
            index => write!(f, "{}{SEPARATOR}{index}", self.entry),
        }
    }
}

/// A text that names no part.
#[derive(Debug, Error)]
pub enum InvalidPart {
    /// The entry's name is not valid.
    #[error("part of an entry: {0}")]
    Entry(#[from] InvalidName),
    /// It is not numbered.
    #[error("part of an entry: no number in {0:?}")]
    Index(String),
}

impl FromStr for PartId {
    type Err = InvalidPart;

    fn from_str(text: &str) -> Result<Self, InvalidPart> {
        let Some((entry, index)) = text.split_once(SEPARATOR) else {
            return Ok(Self::first(EntryId::new(text)?));
        };
        let index = index
            .parse()
            .map_err(|_not_a_number| InvalidPart::Index(text.to_owned()))?;
        Ok(Self {
            entry: EntryId::new(entry)?,
            index,
        })
    }
}
