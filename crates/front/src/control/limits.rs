//! Exchange of upstreams' rate limits between hosts: the granting host plans moves by them.

use std::collections::HashMap;
use std::time::Duration;

use assign::Partition;
use direct::{RateLimit, UpstreamRegistry};
use gate::counters::Count;
use ids::{EntryId, Timestamp, UpstreamId};
use slog::info;

use crate::control::messages::UpstreamLimit;
use crate::control::state::ControlState;
use crate::rate_limit_message::RateLimitMessage;

/// Age up to which a limit is included in heartbeats: several heartbeats.
const MAX_LIMIT_AGE: Duration = Duration::from_secs(3);
/// Most limits in one heartbeat, so that it fits in one packet.
const MAX_LIMITS: usize = 64;

/// Returns the recently announced limits of a partition's upstreams.
pub(super) fn recent(
    all: &HashMap<UpstreamId, RateLimit>,
    registry: &UpstreamRegistry,
    entry: &EntryId,
    partition: Partition,
    now: Timestamp,
) -> Vec<UpstreamLimit> {
    let serves_entry = |id: &UpstreamId| registry.get(id).is_some_and(|u| u.entry == *entry);
    let is_in_partition = |id: &UpstreamId| partition.includes(id) && serves_entry(id);
    let recent_limits = all.iter().filter(|(id, limit)| {
        limit.age(now).is_some_and(|age| age < MAX_LIMIT_AGE) && is_in_partition(id)
    });
    let limits = recent_limits.map(|(id, limit)| UpstreamLimit {
        upstream: id.to_string(),
        limit: RateLimitMessage::new(now, limit),
    });
    limits.take(MAX_LIMITS).collect()
}

/// Applies the limits that another host reports.
pub(super) fn apply(c: &mut ControlState, limits: &[UpstreamLimit], now: Timestamp) {
    for limit in limits {
        let id = UpstreamId::new(limit.upstream.as_str());
        if let (Ok(id), Some(limit)) = (id, limit.limit) {
            let announced = limit.to_limit(now);
            c.change_limit(&id, |limit| {
                limit.merge(announced);
            });
        }
    }
}

impl ControlState {
    /// Changes the rate limit of an upstream, unless it is not registered.
    pub(super) fn change_limit(&mut self, id: &UpstreamId, change: impl FnOnce(&mut RateLimit)) {
        if self.registry.get(id).is_none() {
            return;
        }
        let limit = self.limits.entry(id.clone()).or_default();
        let before = limit.per_s();
        change(limit);
        let per_s = limit.per_s();
        if per_s == before {
            return;
        }
        info!(self.log, "upstream limits requests"; "upstream" => id.as_str(), "per_s" => per_s,
            "before" => before);
        self.metrics.count(Count::UpstreamsLimited);
    }
}
