//! Choice of the upstreams that receive slices.

use ids::{SliceNo, UpstreamId};

use super::{Plan, SAMPLE};
use crate::machine::Machine;
use crate::replica::Known;
use crate::roster::weight;

impl Machine {
    /// Spreads slices over other upstreams of the same entry, the least loaded first.
    pub(super) fn spread(
        &self,
        upstream: &UpstreamId,
        slices: impl Iterator<Item = SliceNo>,
    ) -> Plan {
        let mut plan = Plan::new();
        let mut loads = self.targets(upstream);
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
    pub(super) fn targets(&self, upstream: &UpstreamId) -> Vec<(usize, UpstreamId)> {
        let Some(entry) = self.view.known(upstream).map(|d| &d.entry) else {
            return Vec::new();
        };
        let mut open = self.open_upstreams(entry);
        open.retain(|(u, _)| u != upstream && !self.is_known_unfit(u));
        open.sort_by_key(|(u, _)| weight(upstream.as_str(), u.as_str()));
        open.truncate(self.cfg.spread_targets * SAMPLE);
        let load = |(u, k): (UpstreamId, Known)| (k.row.slices.len(), u);
        let mut loads = open.into_iter().map(load).collect::<Vec<_>>();
        loads.sort();
        loads.truncate(self.cfg.spread_targets);
        loads
    }

    /// Returns whether this host coordinates an upstream and knows that it can't accept slices,
    /// whatever its row says.
    pub(super) fn is_known_unfit(&self, upstream: &UpstreamId) -> bool {
        let held = self.held.get(upstream);
        held.is_some_and(|h| self.is_emptying(upstream, h) || !self.is_serving(upstream, h))
    }

    pub(super) fn is_target(&self, from: &UpstreamId, to: &UpstreamId) -> bool {
        let Some(entry) = self.view.known(from).map(|d| &d.entry) else {
            return false;
        };
        let mut open = self.open_upstreams(entry).into_iter();
        from != to && !self.is_known_unfit(to) && open.any(|(u, _)| u == *to)
    }
}
