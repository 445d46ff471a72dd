//! Exchange of upstreams' rate limits between hosts: the granting host plans moves by them.

use std::collections::HashMap;
use std::time::Duration;

use assign::Partition;
use direct::{RateLimit, UpstreamRegistry};
use gate::counters::Count;
use ids::{EntryId, Timestamp, UpstreamId};
use slog::info;

use crate::control::messages::UpstreamLimit;
use crate::control::state::Control;
use crate::rate_limit_message::RateLimitMessage;

/// Age up to which a limit is included in heartbeats: several heartbeats.
const LIMIT_TOLD_FOR: Duration = Duration::from_secs(3);
/// Most limits in one heartbeat, so that it fits in one packet.
const LIMITS_MAX: usize = 64;

/// Returns the recently announced limits of a partition's upstreams.
pub(super) fn heard_lately(
    all: &HashMap<UpstreamId, RateLimit>,
    roster: &UpstreamRegistry,
    entry: &EntryId,
    part: Partition,
    now: Timestamp,
) -> Vec<UpstreamLimit> {
    let is_of_entry = |id: &UpstreamId| roster.get(id).is_some_and(|u| u.entry == *entry);
    let is_of_part = |id: &UpstreamId| part.includes(id) && is_of_entry(id);
    let lately = all.iter().filter(|(id, limit)| {
        limit.age(now).is_some_and(|age| age < LIMIT_TOLD_FOR) && is_of_part(id)
    });
    let told = lately.map(|(id, limit)| UpstreamLimit {
        upstream: id.to_string(),
        told: RateLimitMessage::new(now, limit),
    });
    told.take(LIMITS_MAX).collect()
}

/// Applies the limits that another host reports.
pub(super) fn hear(c: &mut Control, limits: &[UpstreamLimit], now: Timestamp) {
    for limit in limits {
        let id = UpstreamId::new(limit.upstream.as_str());
        if let (Ok(id), Some(told)) = (id, limit.told) {
            let heard = told.to_limit(now);
            c.change_limit(&id, |limit| {
                limit.merge(heard);
            });
        }
    }
}

impl Control {
    /// Changes the rate limit of an upstream, unless it is not registered.
    pub(super) fn change_limit(&mut self, id: &UpstreamId, change: impl FnOnce(&mut RateLimit)) {
        if self.roster.get(id).is_none() {
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
