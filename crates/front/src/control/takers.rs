//! Upstreams that may own keys, as input to the planner.

use std::collections::HashMap;

use assign::{Partition, PlannedUpstream};
use direct::{RateLimit, Registration, UpstreamRegistry, Warmup};
use ids::{EntryId, Timestamp, UpstreamId};

/// Service time of an upstream if none is known, in seconds.
const USUAL_SERVICE: f64 = 0.1;
/// Most ranges of an upstream that limits its requests: the renewals of its ranges count as well,
/// four in three seconds for each.
const LIMITED_PIECES: usize = 2;

/// Context for listing the upstreams of an entry that may own keys.
pub(super) struct Takers<'a> {
    pub(super) roster: &'a UpstreamRegistry,
    pub(super) entry: &'a EntryId,
    /// The start rate of cold upstreams.
    pub(super) warmup: Option<Warmup>,
    /// Rate limits that the upstreams announced.
    pub(super) limits: &'a HashMap<UpstreamId, RateLimit>,
}

impl Takers<'_> {
    /// Returns the rate limit that `upstream` announced; none if it announced none.
    fn limit(&self, upstream: &Registration) -> Option<f64> {
        let limit = self.limits.get(&upstream.id)?;
        limit.permitted_rate(0)
    }

    /// Returns the most requests a second that `upstream` gets; none if only its slots limit them.
    fn most_per_s(&self, upstream: &Registration, now: Timestamp) -> Option<f64> {
        let cold = self.warmup.filter(|_| now < upstream.cold_until);
        let cold = cold.map(|warmup| warmup.per_s);
        let bounds = cold.into_iter().chain(self.limit(upstream));
        bounds.min_by(f64::total_cmp)
    }

    /// Returns the upstreams that accept requests and may own keys of `part`, with their service
    /// times, of which `services` are known.
    ///
    /// An upstream that is cold or limits its requests gets a service time at which its permitted
    /// rate fills all its slots: so it gets few keys, and those with low rates.
    pub(super) fn ready(
        &self,
        part: Partition,
        services: &HashMap<UpstreamId, f64>,
        now: Timestamp,
    ) -> Vec<PlannedUpstream> {
        let known: f64 = services.values().sum();
        let usual = if services.is_empty() {
            USUAL_SERVICE
        } else {
            known / services.len() as f64
        };
        let service = |u: &Registration| {
            let service = services.get(&u.id).copied().unwrap_or(usual);
            match self.most_per_s(u, now) {
                Some(per_s) => service.max(f64::from(u.slots) / per_s),
                None => service,
            }
        };
        let view = |u: &Registration| PlannedUpstream {
            id: u.id.clone(),
            slots: u.slots,
            service_time: service(u),
            max_ranges: self.limit(u).map(|_| LIMITED_PIECES),
        };
        let mut ready = self.roster.ready(self.entry);
        part.retain_eligible(&mut ready, |u| &u.id);
        ready.into_iter().map(view).collect()
    }
}
