//! Keys that a server holds according to the grants and releases that it received.

use std::time::{Duration, Instant};

/// Range of keys in a grant or release, inclusive.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KeyRange {
    /// Lowest key.
    pub first: u16,
    /// Highest key.
    pub last: u16,
}

#[derive(Debug, Clone, Copy)]
struct HeldRange {
    keys: KeyRange,
    token: u64,
    until: Instant,
}

/// Keys that a server holds, and the fencing tokens that it has received.
#[derive(Debug, Default)]
pub struct HeldKeys {
    held: Vec<HeldRange>,
    /// Highest fencing token received for each range, most recent last.
    seen: Vec<(KeyRange, u64)>,
}

impl KeyRange {
    const fn overlaps(self, other: Self) -> bool {
        self.first <= other.last && other.first <= self.last
    }

    const fn contains(self, key: u16) -> bool {
        self.first <= key && key <= self.last
    }

    /// Returns the subranges of these keys that are not in `other`.
    fn without(self, other: Self) -> impl Iterator<Item = Self> {
        let left = (self.first < other.first).then(|| Self {
            first: self.first,
            last: self.last.min(other.first - 1),
        });
        let right = (self.last > other.last).then(|| Self {
            first: self.first.max(other.last + 1),
            last: self.last,
        });
        left.into_iter().chain(right)
    }
}

impl HeldKeys {
    /// Applies a grant that arrived at `now`; returns whether it was accepted.
    pub fn grant(&mut self, now: Instant, keys: KeyRange, token: u64, hold: Duration) -> bool {
        let is_outdated = |&(range, seen): &(KeyRange, u64)| range.overlaps(keys) && seen > token;
        if self.seen.iter().any(is_outdated) {
            return false;
        }
        self.drop_keys(keys);
        self.held.push(HeldRange {
            keys,
            token,
            until: now + hold,
        });
        self.record_token(keys, token);
        true
    }

    /// Applies a release, which is never refused.
    pub fn release(&mut self, keys: KeyRange, token: u64) {
        self.drop_keys(keys);
        self.record_token(keys, token);
    }

    /// Returns the fencing token under which `key` is held at `now`.
    #[must_use]
    pub fn fencing_token(&self, now: Instant, key: u16) -> Option<u64> {
        let held = self.held.iter().find(|h| h.keys.contains(key))?;
        (now < held.until).then_some(held.token)
    }

    fn drop_keys(&mut self, keys: KeyRange) {
        let held = std::mem::take(&mut self.held);
        for held_range in held {
            if !held_range.keys.overlaps(keys) {
                self.held.push(held_range);
                continue;
            }
            let remaining = held_range.keys.without(keys);
            self.held
                .extend(remaining.map(|keys| HeldRange { keys, ..held_range }));
        }
    }

    fn record_token(&mut self, keys: KeyRange, token: u64) {
        self.seen
            .retain(|&(range, seen)| range != keys || seen > token);
        self.seen.push((keys, token));
    }
}
