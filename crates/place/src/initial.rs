//! The initial placement of an entry's slices.

use ids::SliceNo;
use xxhash_rust::xxh3::xxh3_64;

use crate::loads::UpstreamKey;
use crate::unassigned::{Candidate, Placement, UnassignedSlice, place_unassigned};

/// Splits `slices` slices over `upstreams` in proportion to their capacity, and returns the owner
/// of each slice by its number.
///
/// Slices are assigned in turn, so that adjacent slices lie on different upstreams if possible.
/// Upstreams without capacity get no slices; if no upstream has capacity, the result is empty.
#[must_use]
pub fn even_split(slices: u32, upstreams: &[Candidate]) -> Vec<UpstreamKey> {
    let unassigned: Vec<UnassignedSlice> = (0..slices)
        .map(|n| UnassignedSlice {
            slice: SliceNo(u64::from(n)),
            load: 1.0,
        })
        .collect();
    let unloaded: Vec<Candidate> = upstreams
        .iter()
        .map(|c| Candidate { load: 0.0, ..*c })
        .collect();
    let mut placed = Vec::new();
    place_unassigned(&unassigned, &unloaded, &mut placed);
    placed.sort_by_key(|p: &Placement| p.slice);
    placed.into_iter().map(|p| p.to).collect()
}

/// Returns the rendezvous score of `upstream` (a hash of its name) for `slice`.
#[must_use]
pub fn rendezvous_score(slice: SliceNo, upstream: u64) -> u64 {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&slice.0.to_le_bytes());
    bytes[8..].copy_from_slice(&upstream.to_le_bytes());
    xxh3_64(&bytes)
}

/// Assigns each slice by rendezvous hashing with bounded loads, and returns the owners in the order
/// of `slices`.
///
/// A slice goes to the upstream with the highest score among those whose load would stay within
/// `1 + slack` times their share, or to the one with the lowest utilisation if there is none. If no
/// upstream has capacity, the result is empty.
#[must_use]
pub fn rendezvous_bounded(
    slices: &[UnassignedSlice],
    upstreams: &[Candidate],
    slack: f64,
) -> Vec<UpstreamKey> {
    let capacity: f64 = upstreams.iter().map(|c| c.capacity).sum();
    if capacity <= 0.0 {
        return Vec::new();
    }
    let total: f64 = slices.iter().map(|s| s.load).sum();
    let mut loads = vec![0.0; upstreams.len()];
    let mut owners = Vec::with_capacity(slices.len());
    for unassigned in slices {
        let limit = |i: usize| total * upstreams[i].capacity / capacity * (1.0 + slack);
        let has_capacity = |i: &usize| upstreams[*i].capacity > 0.0;
        let by_score = |i: &usize| rendezvous_score(unassigned.slice, upstreams[*i].name_hash);
        let fits = |i: &usize| loads[*i] + unassigned.load <= limit(*i);
        let utilisation = |i: usize| loads[i] / upstreams[i].capacity;
        let chosen = (0..upstreams.len())
            .filter(has_capacity)
            .filter(fits)
            .max_by_key(by_score)
            .or_else(|| {
                (0..upstreams.len())
                    .filter(has_capacity)
                    .min_by(|a, b| utilisation(*a).total_cmp(&utilisation(*b)))
            });
        let Some(chosen) = chosen else { continue };
        loads[chosen] += unassigned.load;
        owners.push(upstreams[chosen].key);
    }
    owners
}
