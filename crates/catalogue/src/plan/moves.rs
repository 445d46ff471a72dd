//! How many slices would change their upstream.

use std::collections::{BTreeMap, BTreeSet};

use ids::{EntryId, UpstreamId};
use serde::Serialize;

use crate::declare::{Catalogue, Sharding};

/// How many slices of an entry would change their upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Move {
    /// Entry.
    pub entry: EntryId,
    /// Upstreams that take slices now and would not any more.
    pub leaving: usize,
    /// Upstreams that would newly take slices.
    pub joining: usize,
    /// Upstreams that take slices now.
    pub before: usize,
    /// About how many slices must move, were they spread evenly.
    pub slices: u32,
    /// All slices.
    pub of: u32,
}

/// Estimates for each entry divided by key how many slices must change their upstream.
pub(super) fn moves(before: &Catalogue, after: &Catalogue) -> Vec<Move> {
    let (old, new) = (takers(before), takers(after));
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
        moves.push(Move {
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

/// Returns about how many slices move: those of leaving upstreams, or the fair share of joining
/// ones if that is more, as slices that must move anyway can go to these.
fn moved_slices(slices: u32, before: usize, leaving: usize, after: usize, joining: usize) -> u32 {
    let share = |part: usize, of: usize| {
        let slices = u64::from(slices) * part as u64;
        slices.div_ceil(of.max(1) as u64)
    };
    let moved = share(leaving, before).max(share(joining, after));
    u32::try_from(moved).unwrap_or(slices)
}

/// Returns the upstreams that take slices, by entry.
fn takers(catalogue: &Catalogue) -> BTreeMap<&EntryId, BTreeSet<&UpstreamId>> {
    let mut takers: BTreeMap<&EntryId, BTreeSet<&UpstreamId>> = BTreeMap::new();
    for (id, upstream) in &catalogue.upstreams {
        let lost = catalogue
            .domains
            .get(&upstream.domain)
            .is_some_and(|d| d.lost);
        if !upstream.leaving && !lost {
            takers.entry(&upstream.entry).or_default().insert(id);
        }
    }
    takers
}
