//! Which keys a server holds, by the grants and releases that it took.

use std::time::{Duration, Instant};

/// Keys of a grant or release, both ends included.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Keys {
    /// The lowest.
    pub first: u16,
    /// The highest.
    pub last: u16,
}

#[derive(Debug, Clone, Copy)]
struct Held {
    keys: Keys,
    fence: u64,
    until: Instant,
}

/// What a server knows of keys.
#[derive(Debug, Default)]
pub struct KeyHolds {
    held: Vec<Held>,
    /// The highest fence seen for each range, newest last.
    seen: Vec<(Keys, u64)>,
}

impl Keys {
    const fn overlaps(self, other: Self) -> bool {
        self.first <= other.last && other.first <= self.last
    }

    const fn contains(self, key: u16) -> bool {
        self.first <= key && key <= self.last
    }

    /// Returns the parts of these keys that are not in `other`.
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

impl KeyHolds {
    /// Takes a grant that arrived at `now`; tells whether it was accepted.
    pub fn grant(&mut self, now: Instant, keys: Keys, fence: u64, hold: Duration) -> bool {
        let is_fenced = |&(range, seen): &(Keys, u64)| range.overlaps(keys) && seen > fence;
        if self.seen.iter().any(is_fenced) {
            return false;
        }
        self.drop_keys(keys);
        self.held.push(Held {
            keys,
            fence,
            until: now + hold,
        });
        self.note(keys, fence);
        true
    }

    /// Takes a release, which is never refused.
    pub fn release(&mut self, keys: Keys, fence: u64) {
        self.drop_keys(keys);
        self.note(keys, fence);
    }

    /// Returns the fence under which `key` is held at `now`.
    #[must_use]
    pub fn fence(&self, now: Instant, key: u16) -> Option<u64> {
        let held = self.held.iter().find(|h| h.keys.contains(key))?;
        (now < held.until).then_some(held.fence)
    }

    fn drop_keys(&mut self, keys: Keys) {
        let held = std::mem::take(&mut self.held);
        for one in held {
            if !one.keys.overlaps(keys) {
                self.held.push(one);
                continue;
            }
            let rest = one.keys.without(keys);
            self.held.extend(rest.map(|keys| Held { keys, ..one }));
        }
    }

    fn note(&mut self, keys: Keys, fence: u64) {
        self.seen
            .retain(|&(range, seen)| range != keys || seen > fence);
        self.seen.push((keys, fence));
    }
}
