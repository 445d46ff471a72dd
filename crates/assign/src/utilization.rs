//! Utilization of upstreams while a plan is made.

use std::collections::HashMap;

use ids::UpstreamId;

use crate::loads::KeyLoads;
use crate::plan::PlannedUpstream;
use crate::row::PartitionRow;

/// Load of an upstream while a plan is made.
#[derive(Debug, Clone)]
pub(crate) struct UpstreamLoad<'a> {
    pub(crate) upstream: &'a PlannedUpstream,
    /// Requests a second.
    pub(crate) rate: f64,
    pub(crate) has_keys: bool,
}

impl UpstreamLoad<'_> {
    /// Returns the busy slots per slot with `more` additional requests a second.
    pub(crate) fn utilization_with(&self, more: f64) -> f64 {
        (self.rate + more) * self.upstream.service_time / f64::from(self.upstream.slots.max(1))
    }

    pub(crate) fn utilization(&self) -> f64 {
        self.utilization_with(0.0)
    }

    /// Returns the additional requests a second that raise the utilization to `utilization`.
    pub(crate) fn headroom(&self, utilization: f64) -> f64 {
        utilization * f64::from(self.upstream.slots.max(1)) / self.upstream.service_time.max(1e-4)
            - self.rate
    }
}

/// Returns the load of each of `ups`.
pub(crate) fn upstream_loads<'a>(
    row: &PartitionRow,
    loads: &KeyLoads,
    ups: &'a [PlannedUpstream],
) -> Vec<UpstreamLoad<'a>> {
    let mut rates: HashMap<&UpstreamId, f64> = HashMap::new();
    for owned in &row.ranges {
        *rates.entry(&owned.owner).or_default() += loads.rate(owned.range);
    }
    let load = |upstream: &'a PlannedUpstream| UpstreamLoad {
        upstream,
        rate: rates.get(&upstream.id).copied().unwrap_or_default(),
        has_keys: rates.contains_key(&upstream.id),
    };
    ups.iter().map(load).collect()
}

/// Returns the utilization that all upstreams would have if requests were spread in proportion to
/// their speed.
pub(crate) fn balanced_utilization(loads: &[UpstreamLoad<'_>]) -> f64 {
    let rate: f64 = loads.iter().map(|l| l.rate).sum();
    let capacity: f64 = loads.iter().map(|l| l.headroom(1.0) + l.rate).sum();
    rate / capacity.max(1e-9)
}
