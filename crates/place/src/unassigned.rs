//! Distribution of unassigned slices over the upstreams.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

use ids::SliceNo;

use crate::loads::UpstreamKey;

/// A slice without an owner, and its last known load.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct UnassignedSlice {
    /// Slice.
    pub slice: SliceNo,
    /// Load, in busy slots. If unknown, an even fraction of the previous owner's load in its last
    /// summary.
    pub load: f64,
}

/// An upstream that may take slices.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// Key of the upstream, for the result.
    pub key: UpstreamKey,
    /// Hash of the upstream's name, which breaks ties; the same on all hosts.
    pub name_hash: u64,
    /// Slots that count for placement: fewer during warm-up, none if draining or unavailable.
    pub capacity: f64,
    /// Load that it already has, in busy slots.
    pub load: f64,
}

/// The new owner of a slice that was unassigned.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Placement {
    /// Slice.
    pub slice: SliceNo,
    /// New owner.
    pub to: UpstreamKey,
}

/// Minimum load that all unassigned slices together count for, as a fraction of the capacity. It
/// distributes slices without load evenly by their number.
const MIN_LOAD_FRACTION: f64 = 0.02;

#[derive(Debug, Clone, Copy)]
struct Bin {
    utilisation: f64,
    capacity: f64,
    name_hash: u64,
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
    /// Makes the upstream with the lowest utilisation the greatest, so that the heap pops it first.
    fn cmp(&self, other: &Self) -> Ordering {
        other
            .utilisation
            .total_cmp(&self.utilisation)
            .then(self.name_hash.cmp(&other.name_hash))
            .then(self.key.cmp(&other.key))
    }
}

/// Assigns `slices` to the `candidates` with the lowest utilisation, heaviest slice first, and
/// writes the new owners to `out`.
///
/// Every slice is assigned, even beyond an upstream's capacity, unless no candidate has any. The
/// result depends only on the loads and the hashes of the names, not on the order of the inputs.
/// Takes time `O(n log n + n log m)` for `n` slices and `m` candidates.
pub fn place_unassigned(
    slices: &[UnassignedSlice],
    candidates: &[Candidate],
    out: &mut Vec<Placement>,
) {
    out.clear();
    let mut bins: BinaryHeap<Bin> = candidates
        .iter()
        .filter(|c| c.capacity > 0.0)
        .map(|c| Bin {
            utilisation: c.load / c.capacity,
            capacity: c.capacity,
            name_hash: c.name_hash,
            key: c.key,
        })
        .collect();
    if bins.is_empty() {
        return;
    }
    let capacity: f64 = bins.iter().map(|b| b.capacity).sum();
    let count = slices.len().max(1) as f64;
    let min_load = MIN_LOAD_FRACTION * capacity / count;
    let mut sorted: Vec<UnassignedSlice> = slices.to_vec();
    sorted.sort_by(|a, b| b.load.total_cmp(&a.load).then(a.slice.cmp(&b.slice)));
    for unassigned in sorted {
        let Some(mut bin) = bins.pop() else { return };
        out.push(Placement {
            slice: unassigned.slice,
            to: bin.key,
        });
        bin.utilisation += unassigned.load.max(min_load) / bin.capacity;
        bins.push(bin);
    }
}
