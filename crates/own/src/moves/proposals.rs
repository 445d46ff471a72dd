//! Changes proposed by placement: slices to move, and hot keys to carve out or fold back.

use ids::{EntryId, SliceNo, UpstreamId};

use super::MovePlan;
use crate::coordinator::CoordinatorState;
use crate::machine::OwnershipMachine;
use crate::replica::KnownRow;
use crate::transfer::is_unreleased;
use crate::{AssignedSlice, CarvedKey};

impl OwnershipMachine {
    pub(crate) fn on_move_proposal(&mut self, entry: &EntryId, slice: SliceNo, to: UpstreamId) {
        let Some(upstream) = self.local_owner(entry, slice) else {
            return;
        };
        self.update_coordinated(&upstream.clone(), |_, state| {
            if to == upstream {
                state.proposed_moves.remove(&slice);
            } else {
                state.proposed_moves.insert(slice, to);
            }
        });
    }

    /// Returns the upstream coordinated by this host that owns a slice.
    pub(super) fn local_owner(&self, entry: &EntryId, slice: SliceNo) -> Option<UpstreamId> {
        let owns = |u: &&UpstreamId| {
            let known = self.replica.get(u);
            self.catalogue
                .last_declared(u)
                .is_some_and(|d| d.entry == *entry)
                && known.is_some_and(|k| k.row.contains(slice))
        };
        self.coordinated.keys().find(owns).cloned()
    }

    pub(crate) fn on_carve(&mut self, entry: &EntryId, base: SliceNo, hot: SliceNo) {
        debug_assert!(hot.is_hot(), "only hot keys are carved out");
        let Some(upstream) = self.local_owner(entry, base) else {
            return;
        };
        let Some(known) = self.replica.get(&upstream) else {
            return;
        };
        // Exceeds every earlier generation of the slice, as each change of its owner was a
        // transaction of its own.
        let generation = known.revision.0 + 1;
        let known_hot = known.row.carved.iter().any(|c| c.hot == hot);
        if known_hot || self.is_slice_unreleased(&upstream, base) {
            return;
        }
        self.rewrite_row(&upstream, |row| {
            row.carved.push(CarvedKey { hot, base });
            row.carved.sort();
            row.slices.push(AssignedSlice {
                slice: hot,
                generation,
            });
            row.slices.sort();
        });
    }

    pub(crate) fn on_fold(&mut self, entry: &EntryId, hot: SliceNo) {
        let Some(upstream) = self.local_owner(entry, hot) else {
            return;
        };
        let known = self.replica.get(&upstream);
        let carved = known.and_then(|k| k.row.carved.iter().find(|c| c.hot == hot));
        let Some(base) = carved.map(|c| c.base) else {
            return;
        };
        if self.is_slice_unreleased(&upstream, hot) || self.is_slice_unreleased(&upstream, base) {
            return;
        }
        // The upstream has the key either way. A standby that knows only the previous row is asked
        // for a promise before the slice moves on.
        self.rewrite_row(&upstream, |row| {
            row.carved.retain(|c| c.hot != hot);
            row.slices.retain(|a| a.slice != hot);
        });
    }

    /// Returns whether the release of a slice by its previous owner is not confirmed.
    pub(super) fn is_slice_unreleased(&self, upstream: &UpstreamId, slice: SliceNo) -> bool {
        let state = self.coordinated.get(upstream);
        let unreleased = state.map(|s| self.unreleased_incoming(upstream, s));
        unreleased.is_some_and(|w| w.iter().any(|i| i.slice == slice))
    }

    pub(super) fn plan_proposed_moves(
        &self,
        upstream: &UpstreamId,
        state: &mut CoordinatorState,
        known: &KnownRow,
    ) -> MovePlan {
        let mut plan = MovePlan::new();
        let mut count = 0;
        while let Some((slice, to)) = state.proposed_moves.pop_first() {
            let here = known.row.contains(slice) && !is_unreleased(&known.row, state, slice);
            if here && self.is_valid_target(upstream, &to) {
                plan.entry(to).or_default().push(slice);
                count += 1;
            }
            if count == self.cfg.move_batch {
                break;
            }
        }
        plan
    }
}
