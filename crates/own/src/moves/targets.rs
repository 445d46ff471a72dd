//! Choice of the upstreams that receive slices.

use ids::{SliceNo, UpstreamId};

use super::{MovePlan, SAMPLE_FACTOR};
use crate::liveness::rendezvous_weight;
use crate::machine::OwnershipMachine;
use crate::replica::KnownRow;

impl OwnershipMachine {
    /// Spreads slices over other upstreams of the same entry, the least loaded first.
    pub(super) fn plan_spread(
        &self,
        upstream: &UpstreamId,
        slices: impl Iterator<Item = SliceNo>,
    ) -> MovePlan {
        let mut plan = MovePlan::new();
        let mut loads = self.target_loads(upstream);
        for slice in slices {
            let Some((load, to)) = loads.iter_mut().min() else {
                break;
            };
            *load += 1;
            plan.entry(to.clone()).or_default().push(slice);
        }
        plan
    }

    /// Returns some upstreams that may accept slices of this one, with their numbers of slices.
    ///
    /// Each failed upstream chooses from its own sample, so that many concurrent failures don't all
    /// write the rows of the same few upstreams.
    pub(super) fn target_loads(&self, upstream: &UpstreamId) -> Vec<(usize, UpstreamId)> {
        let Some(entry) = self.catalogue.last_declared(upstream).map(|d| &d.entry) else {
            return Vec::new();
        };
        let mut open = self.open_upstreams(entry);
        open.retain(|(u, _)| u != upstream && !self.is_known_unfit(u));
        open.sort_by_key(|(u, _)| rendezvous_weight(upstream.as_str(), u.as_str()));
        open.truncate(self.cfg.spread_targets * SAMPLE_FACTOR);
        let load = |(u, k): (UpstreamId, KnownRow)| (k.row.slices.len(), u);
        let mut loads = open.into_iter().map(load).collect::<Vec<_>>();
        loads.sort();
        loads.truncate(self.cfg.spread_targets);
        loads
    }

    /// Returns whether this host coordinates an upstream and knows that it can't accept slices,
    /// whatever its row says.
    pub(super) fn is_known_unfit(&self, upstream: &UpstreamId) -> bool {
        let state = self.coordinated.get(upstream);
        state.is_some_and(|s| self.must_be_empty(upstream, s) || !self.is_serving(upstream, s))
    }

    pub(super) fn is_valid_target(&self, from: &UpstreamId, to: &UpstreamId) -> bool {
        let Some(entry) = self.catalogue.last_declared(from).map(|d| &d.entry) else {
            return false;
        };
        let mut open = self.open_upstreams(entry).into_iter();
        from != to && !self.is_known_unfit(to) && open.any(|(u, _)| u == *to)
    }
}
