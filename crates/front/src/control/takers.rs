//! Upstreams that may own keys, as the planner sees them.

use std::collections::HashMap;

use assign::{Partition, PlannedUpstream};
use direct::{RateLimit, Registration, UpstreamRegistry, Warmup};
use ids::{EntryId, Timestamp, UpstreamId};

/// Service time of an upstream of which nothing was observed, in seconds.
const USUAL_SERVICE: f64 = 0.1;
/// Most pieces of an upstream that limits its requests: it gets their renewals as well, four in three seconds for each.
const LIMITED_PIECES: usize = 2;

/// What is known of the upstreams of an entry.
pub(super) struct Takers<'a> {
    pub(super) roster: &'a UpstreamRegistry,
    pub(super) entry: &'a EntryId,
    /// What they bear while they are cold.
    pub(super) warmup: Option<Warmup>,
    /// How many requests a second they say they take.
    pub(super) limits: &'a HashMap<UpstreamId, RateLimit>,
}

impl Takers<'_> {
    /// Returns how many requests a second `upstream` says it takes; none if it names no limit.
    fn limit(&self, upstream: &Registration) -> Option<f64> {
        let limit = self.limits.get(&upstream.id)?;
        limit.permitted_rate(0)
    }

    /// Returns how many requests a second `upstream` gets at most; none if as many as it can work on.
    fn most_per_s(&self, upstream: &Registration, now: Timestamp) -> Option<f64> {
        let cold = self.warmup.filter(|_| now < upstream.cold_until);
        let cold = cold.map(|warmup| warmup.per_s);
        let bounds = cold.into_iter().chain(self.limit(upstream));
        bounds.min_by(f64::total_cmp)
    }

    /// Returns the upstreams that take requests and may own keys of `part`, with their times for one request, of which
    /// `services` are known.
    ///
    /// One that is cold or limits its requests counts as so slow that what it gets keeps it busy: it gets few keys, and
    /// quiet ones.
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
