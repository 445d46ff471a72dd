//! Keys that no upstream serves at present, and until when.
//!
//! The row names the new owner of moving keys before that upstream may serve them. The granting
//! host can tell when it will, and reports this to the other hosts, so that requests on these keys
//! wait for the owner or are answered with the time to retry after, instead of being sent to an
//! upstream that would reject them.

use std::time::Duration;

use ids::{Revision, Timestamp};
use indexmap::IndexMap;

use crate::range::FencingToken;
use crate::row::{OwnedRange, PartitionRow, Recovery};

/// Time for which keys of a new range count as unserved while the granting host has reported
/// nothing about it: most of the time of a planned move.
const UNREPORTED_WAIT: Duration = Duration::from_millis(200);

/// Difference from which on another time for the same range is a change. Planned moves end sooner,
/// and report a time that is as far ahead until they do.
const MIN_TIME_CHANGE: Duration = Duration::from_millis(250);

/// The granting host's report of the ranges in its row whose owner can't serve them yet.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct MovingRanges {
    /// Revision of the row.
    pub revision: Revision,
    /// First key and fencing token of each such range, and the time until its owner may serve it.
    pub ranges: Vec<(u16, FencingToken, Duration)>,
}

/// A host's knowledge of keys that no upstream serves.
#[derive(Debug, Clone, Default)]
pub struct UnservedKeys {
    /// Revision of the row in the last report.
    reported: Revision,
    ranges: IndexMap<(u16, FencingToken), Timestamp>,
    /// The newest row's revision, when it was read, and its highest fencing token.
    newest_row: (Revision, Timestamp, FencingToken),
    /// Whether nothing is granted by the newest row until grants of an earlier era have expired.
    row_waits: bool,
}

impl UnservedKeys {
    /// Applies a report of the granting host; returns whether it changed the set of unserved
    /// ranges, or the time of one of them by much. Otherwise the known times stay.
    pub fn apply(&mut self, now: Timestamp, moving: &MovingRanges) -> bool {
        if moving.revision < self.reported {
            return false;
        }
        let until =
            |&(first, token, left): &(u16, FencingToken, Duration)| ((first, token), now + left);
        let ranges: IndexMap<_, _> = moving.ranges.iter().map(until).collect();
        let is_similar = |(old, new): (&Timestamp, &Timestamp)| {
            old.since(*new).max(new.since(*old)) < MIN_TIME_CHANGE
        };
        let same = self.reported == moving.revision
            && self.ranges.keys().eq(ranges.keys())
            && self.ranges.values().zip(ranges.values()).all(is_similar);
        if same {
            return false;
        }
        self.reported = moving.revision;
        self.ranges = ranges;
        true
    }

    /// Returns whether the last report of the granting host names any range.
    #[must_use]
    pub fn has_any(&self) -> bool {
        !self.ranges.is_empty()
    }

    /// Records a row that was read.
    pub fn record_row(&mut self, now: Timestamp, row: &PartitionRow, revision: Revision) {
        if revision > self.newest_row.0 {
            self.newest_row = (revision, now, row.highest_token);
            self.row_waits = row.recovery == Some(Recovery::Waits);
        }
    }

    /// Returns until when no upstream serves `owned` of the newest row, or `None` if one does as
    /// far as is known.
    #[must_use]
    pub fn until(&self, owned: &OwnedRange) -> Option<Timestamp> {
        if owned.previous_owners.is_empty() && !self.row_waits {
            return None;
        }
        let (revision, read_at, token) = self.newest_row;
        if let Some(&until) = self.ranges.get(&(owned.range.first, owned.token)) {
            return Some(until);
        }
        if owned.previous_owners.is_empty() {
            return None;
        }
        let is_unreported = self.reported < revision && owned.token == token;
        is_unreported.then_some(read_at + UNREPORTED_WAIT)
    }
}
