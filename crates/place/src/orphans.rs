//! The slices of a lost upstream, spread over the others.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

use ids::SliceNo;

use crate::loads::UpstreamKey;

/// A slice without an owner, and its load when last known.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Orphan {
    /// Slice.
    pub slice: SliceNo,
    /// Busy slots. If unknown, an even part of what the lost upstream had by its last summary.
    pub load: f64,
}

/// An upstream that may take slices.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// Key of the upstream, for the result.
    pub key: UpstreamKey,
    /// Hash of the upstream's name, for ties; the same on all hosts.
    pub tag: u64,
    /// Slots that count for placement: less while cold, none if leaving or lost.
    pub capacity: f64,
    /// Busy slots that it carries already.
    pub load: f64,
}

/// The new owner of an orphan.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Placed {
    /// Slice.
    pub slice: SliceNo,
    /// New owner.
    pub to: UpstreamKey,
}

/// The least that all orphans together count for, as a part of the capacity, so that ones without
/// load spread by number.
const MIN_LOAD_SHARE: f64 = 0.02;

#[derive(Debug, Clone, Copy)]
struct Bin {
    fullness: f64,
    capacity: f64,
    tag: u64,
    key: UpstreamKey,
}

impl PartialEq for Bin {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Bin {}

impl PartialOrd for Bin {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Bin {
    /// Orders the emptiest last, where a heap looks first.
    fn cmp(&self, other: &Self) -> Ordering {
        other
            .fullness
            .total_cmp(&self.fullness)
            .then(self.tag.cmp(&other.tag))
            .then(self.key.cmp(&other.key))
    }
}

/// Spreads `orphans` over `candidates` by their spare capacity, heaviest slice first, and writes
/// the new owners to `out`.
///
/// Every orphan is placed, even beyond an upstream's capacity, unless no candidate has any. The
/// result depends on the loads and tags alone, not on the order of the inputs. Takes time
/// `O(n log n + n log m)` for `n` orphans and `m` candidates.
pub fn spread_orphans(orphans: &[Orphan], candidates: &[Candidate], out: &mut Vec<Placed>) {
    out.clear();
    let mut bins: BinaryHeap<Bin> = candidates
        .iter()
        .filter(|c| c.capacity > 0.0)
        .map(|c| Bin {
            fullness: c.load / c.capacity,
            capacity: c.capacity,
            tag: c.tag,
            key: c.key,
        })
        .collect();
    if bins.is_empty() {
        return;
    }
    let capacity: f64 = bins.iter().map(|b| b.capacity).sum();
    let count = orphans.len().max(1) as f64;
    let min_load = MIN_LOAD_SHARE * capacity / count;
    let mut order: Vec<Orphan> = orphans.to_vec();
    order.sort_by(|a, b| b.load.total_cmp(&a.load).then(a.slice.cmp(&b.slice)));
    for orphan in order {
        let Some(mut bin) = bins.pop() else { return };
        out.push(Placed {
            slice: orphan.slice,
            to: bin.key,
        });
        bin.fullness += orphan.load.max(min_load) / bin.capacity;
        bins.push(bin);
    }
}
