//! The first placement of an entry's slices.

use ids::SliceNo;
use xxhash_rust::xxh3::xxh3_64;

use crate::loads::UpstreamKey;
use crate::orphans::{Candidate, Orphan, Placed, spread_orphans};

/// Splits `slices` slices over `upstreams` in proportion to their capacity, and returns the owner
/// of each slice by its number.
///
/// Slices of one upstream are dealt out in turn, so that neighbours lie on different upstreams.
/// Upstreams with no capacity get nothing; without any capacity the result is empty.
#[must_use]
pub fn even_split(slices: u32, upstreams: &[Candidate]) -> Vec<UpstreamKey> {
    let orphans: Vec<Orphan> = (0..slices)
        .map(|n| Orphan {
            slice: SliceNo(u64::from(n)),
            load: 1.0,
        })
        .collect();
    let empty: Vec<Candidate> = upstreams
        .iter()
        .map(|c| Candidate { load: 0.0, ..*c })
        .collect();
    let mut placed = Vec::new();
    spread_orphans(&orphans, &empty, &mut placed);
    placed.sort_by_key(|p: &Placed| p.slice);
    placed.into_iter().map(|p| p.to).collect()
}

/// Returns the score by which `upstream` (a hash of its name) competes for `slice`.
#[must_use]
pub fn score(slice: SliceNo, upstream: u64) -> u64 {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&slice.0.to_le_bytes());
    bytes[8..].copy_from_slice(&upstream.to_le_bytes());
    xxh3_64(&bytes)
}

/// Places each slice on the upstream that scores highest for it among those whose load would stay
/// within `1 + slack` of their share, and returns the owners in the order of `slices`.
///
/// Without any capacity the result is empty.
#[must_use]
pub fn rendezvous_bounded(
    slices: &[Orphan],
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
    for orphan in slices {
        let limit = |i: usize| total * upstreams[i].capacity / capacity * (1.0 + slack);
        let eligible = |i: &usize| upstreams[*i].capacity > 0.0;
        let by_score = |i: &usize| score(orphan.slice, upstreams[*i].tag);
        let fits = |i: &usize| loads[*i] + orphan.load <= limit(*i);
        let fullness = |i: usize| loads[i] / upstreams[i].capacity;
        let chosen = (0..upstreams.len())
            .filter(eligible)
            .filter(fits)
            .max_by_key(by_score)
            .or_else(|| {
                (0..upstreams.len())
                    .filter(eligible)
                    .min_by(|a, b| fullness(*a).total_cmp(&fullness(*b)))
            });
        let Some(chosen) = chosen else { continue };
        loads[chosen] += orphan.load;
        owners.push(upstreams[chosen].key);
    }
    owners
}
