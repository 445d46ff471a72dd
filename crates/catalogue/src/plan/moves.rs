//! Estimates how many slices a change moves to another upstream.

use std::collections::{BTreeMap, BTreeSet};

use ids::{EntryId, UpstreamId};
use serde::Serialize;

use crate::declare::{Catalogue, Sharding};

/// Estimate of how many slices of an entry would move to another upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub struct MoveEstimate {
    /// Entry.
    pub entry: EntryId,
    /// Number of upstreams that are eligible to own slices now and would no longer be.
    pub leaving: usize,
    /// Number of upstreams that would become eligible to own slices.
    pub joining: usize,
    /// Number of upstreams that are eligible to own slices now.
    pub before: usize,
    /// Approximate number of slices that must move, if slices are spread evenly.
    pub slices: u32,
    /// Number of slices of the entry.
    pub of: u32,
}

/// Estimates for each entry that is divided by key how many slices must move.
pub(super) fn estimate_moves(before: &Catalogue, after: &Catalogue) -> Vec<MoveEstimate> {
    let (old, new) = (eligible_upstreams(before), eligible_upstreams(after));
    let none = BTreeSet::new();
    let mut moves = Vec::new();
    for (id, entry) in &after.entries {
        let Sharding::Key { slices, .. } = entry.sharding else {
            continue;
        };
        let (old, new) = (old.get(id).unwrap_or(&none), new.get(id).unwrap_or(&none));
        let leaving = old.difference(new).count();
        let joining = new.difference(old).count();
        if old.is_empty() || (leaving == 0 && joining == 0) {
            continue;
        }
        moves.push(MoveEstimate {
            entry: id.clone(),
            leaving,
            joining,
            before: old.len(),
            slices: moved_slices(slices, old.len(), leaving, new.len(), joining),
            of: slices,
        });
    }
    moves
}

/// Estimates how many slices move.
///
/// These are the slices of leaving upstreams, or the fair share of joining upstreams if that is
/// more: slices that must move anyway can move to the joining upstreams.
fn moved_slices(slices: u32, before: usize, leaving: usize, after: usize, joining: usize) -> u32 {
    let share = |upstreams: usize, of: usize| {
        let slices = u64::from(slices) * upstreams as u64;
        slices.div_ceil(of.max(1) as u64)
    };
    let moved = share(leaving, before).max(share(joining, after));
    u32::try_from(moved).unwrap_or(slices)
}

/// Returns the upstreams that are eligible to own slices, by entry.
fn eligible_upstreams(catalogue: &Catalogue) -> BTreeMap<&EntryId, BTreeSet<&UpstreamId>> {
    let mut eligible_upstreams: BTreeMap<&EntryId, BTreeSet<&UpstreamId>> = BTreeMap::new();
    for (id, upstream) in &catalogue.upstreams {
        let lost = catalogue
            .domains
            .get(&upstream.domain)
            .is_some_and(|d| d.lost);
        if !upstream.leaving && !lost {
            eligible_upstreams
                .entry(&upstream.entry)
                .or_default()
                .insert(id);
        }
    }
    eligible_upstreams
}
