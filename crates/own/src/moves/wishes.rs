//! Changes proposed by placement: slices to move, and hot keys to carve out or fold back.

use ids::{EntryId, SliceNo, UpstreamId};

use super::Plan;
use crate::held::Held;
use crate::machine::Machine;
use crate::replica::Known;
use crate::transfer::is_unreleased;
use crate::{Assigned, Carved};

impl Machine {
    pub(crate) fn on_wish(&mut self, entry: &EntryId, slice: SliceNo, to: UpstreamId) {
        let Some(upstream) = self.holder(entry, slice) else {
            return;
        };
        self.with_held(&upstream.clone(), |_, h| {
            if to == upstream {
                h.wishes.remove(&slice);
            } else {
                h.wishes.insert(slice, to);
            }
        });
    }

    /// Returns the upstream coordinated by this host that owns a slice.
    pub(super) fn holder(&self, entry: &EntryId, slice: SliceNo) -> Option<UpstreamId> {
        let owns = |u: &&UpstreamId| {
            let known = self.replica.get(u);
            self.view.known(u).is_some_and(|d| d.entry == *entry)
                && known.is_some_and(|k| k.row.holds(slice))
        };
        self.held.keys().find(owns).cloned()
    }

    pub(crate) fn on_carve(&mut self, entry: &EntryId, base: SliceNo, hot: SliceNo) {
        debug_assert!(hot.is_hot(), "only hot keys are carved out");
        let Some(upstream) = self.holder(entry, base) else {
            return;
        };
        let Some(known) = self.replica.get(&upstream) else {
            return;
        };
        // Exceeds every earlier generation of the slice, as each change of its owner was a
        // transaction of its own.
        let generation = known.revision.0 + 1;
        let known_hot = known.row.carved.iter().any(|c| c.hot == hot);
        if known_hot || self.is_on_its_way(&upstream, base) {
            return;
        }
        self.rewrite(&upstream, |row| {
            row.carved.push(Carved { hot, base });
            row.carved.sort();
            row.slices.push(Assigned {
                slice: hot,
                generation,
            });
            row.slices.sort();
        });
    }

    pub(crate) fn on_fold(&mut self, entry: &EntryId, hot: SliceNo) {
        let Some(upstream) = self.holder(entry, hot) else {
            return;
        };
        let known = self.replica.get(&upstream);
        let carved = known.and_then(|k| k.row.carved.iter().find(|c| c.hot == hot));
        let Some(base) = carved.map(|c| c.base) else {
            return;
        };
        if self.is_on_its_way(&upstream, hot) || self.is_on_its_way(&upstream, base) {
            return;
        }
        // The upstream has the key either way. A standby that knows only the previous row is asked
        // for a promise before the slice moves on.
        self.rewrite(&upstream, |row| {
            row.carved.retain(|c| c.hot != hot);
            row.slices.retain(|a| a.slice != hot);
        });
    }

    /// Returns whether the release of a slice by its previous owner is not confirmed.
    pub(super) fn is_on_its_way(&self, upstream: &UpstreamId, slice: SliceNo) -> bool {
        let held = self.held.get(upstream);
        let waits = held.map(|h| self.unreleased(upstream, h));
        waits.is_some_and(|w| w.iter().any(|i| i.slice == slice))
    }

    pub(super) fn take_wishes(
        &self,
        upstream: &UpstreamId,
        held: &mut Held,
        known: &Known,
    ) -> Plan {
        let mut plan = Plan::new();
        let mut taken = 0;
        while let Some((slice, to)) = held.wishes.pop_first() {
            let here = known.row.holds(slice) && !is_unreleased(&known.row, held, slice);
            if here && self.is_target(upstream, &to) {
                plan.entry(to).or_default().push(slice);
                taken += 1;
            }
            if taken == self.cfg.move_batch {
                break;
            }
        }
        plan
    }
}
