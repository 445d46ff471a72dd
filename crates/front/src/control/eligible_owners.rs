//! Upstreams that may own keys, as input to the planner.

use std::collections::HashMap;

use assign::{Partition, PlannedUpstream};
use direct::{RateLimit, Registration, UpstreamRegistry, Warmup};
use ids::{EntryId, Timestamp, UpstreamId};

/// Service time of an upstream if none is known, in seconds.
const DEFAULT_SERVICE_TIME: f64 = 0.1;
/// Most ranges of an upstream that limits its requests: the renewals of its ranges count as well,
/// four in three seconds for each.
const LIMITED_MAX_RANGES: usize = 2;

/// Context for listing the upstreams of an entry that may own keys.
pub(super) struct EligibleOwners<'a> {
    pub(super) registry: &'a UpstreamRegistry,
    pub(super) entry: &'a EntryId,
    /// The start rate of cold upstreams.
    pub(super) warmup: Option<Warmup>,
    /// Rate limits that the upstreams announced.
    pub(super) limits: &'a HashMap<UpstreamId, RateLimit>,
}

impl EligibleOwners<'_> {
    /// Returns the rate limit that `upstream` announced; none if it announced none.
    fn limit(&self, upstream: &Registration) -> Option<f64> {
        let limit = self.limits.get(&upstream.id)?;
        limit.permitted_rate(0)
    }

    /// Returns the most requests a second that `upstream` gets; none if only its slots limit them.
    fn max_rate(&self, upstream: &Registration, now: Timestamp) -> Option<f64> {
        let cold_rate = self.warmup.filter(|_| now < upstream.cold_until);
        let cold_rate = cold_rate.map(|warmup| warmup.per_s);
        let rates = cold_rate.into_iter().chain(self.limit(upstream));
        rates.min_by(f64::total_cmp)
    }

    /// Returns the upstreams that accept requests and may own keys of `partition`, with their
    /// service times, of which `service_times` are known.
    ///
    /// An upstream that is cold or limits its requests gets a service time at which its permitted
    /// rate fills all its slots: so it gets few keys, and those with low rates.
    pub(super) fn ready(
        &self,
        partition: Partition,
        service_times: &HashMap<UpstreamId, f64>,
        now: Timestamp,
    ) -> Vec<PlannedUpstream> {
        let sum: f64 = service_times.values().sum();
        let default_time = if service_times.is_empty() {
            DEFAULT_SERVICE_TIME
        } else {
            sum / service_times.len() as f64
        };
        let service_time = |u: &Registration| {
            let service_time = service_times.get(&u.id).copied().unwrap_or(default_time);
            match self.max_rate(u, now) {
                Some(per_s) => service_time.max(f64::from(u.slots) / per_s),
                None => service_time,
            }
        };
        let planned = |u: &Registration| PlannedUpstream {
            id: u.id.clone(),
            slots: u.slots,
            service_time: service_time(u),
            is_observed: service_times.contains_key(&u.id),
            max_ranges: self.limit(u).map(|_| LIMITED_MAX_RANGES),
        };
        let mut ready = self.registry.ready(self.entry);
        partition.retain_eligible(&mut ready, |u| &u.id);
        ready.into_iter().map(planned).collect()
    }
}
