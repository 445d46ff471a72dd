//! A host's estimate of the load, the speed and the health of an upstream.
//!
//! Several hosts send to the same upstream without coordination. Each host knows its own requests
//! exactly. It infers those of the others from the load that the upstream reports with each answer;
//! the estimate decays as the report ages.

use std::time::Duration;

use ids::Timestamp;

use crate::status::{RateLimit, UpstreamStatus};

/// Settings of an [`UpstreamLoad`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadSettings {
    /// Half-life of a report of the other hosts' requests.
    ///
    /// About two service times of a slow upstream: the requests that it was running have changed by
    /// then.
    pub report_half_life: Duration,
    /// Weight of one observation in the moving average of service times.
    ///
    /// At a fifth, an upstream that became five times slower is estimated as twice as slow after
    /// two answers.
    pub service_weight: f64,
    /// Half-life of a failure.
    pub failure_half_life: Duration,
    /// Factor by which an upstream is expected to be slower while it is cold.
    pub cold_factor: f64,
    /// Maximum backoff for an upstream that can't be reached.
    pub max_backoff: Duration,
    /// Backoff after the first failed connection.
    pub min_backoff: Duration,
    /// Backoff if another server has the upstream's address. By the end of it the registration has
    /// been removed, or will be once the store can be read again.
    pub replaced_backoff: Duration,
}

impl Default for LoadSettings {
    fn default() -> Self {
        Self {
            report_half_life: Duration::from_millis(500),
            service_weight: 0.2,
            failure_half_life: Duration::from_millis(1_500),
            cold_factor: 2.0,
            max_backoff: Duration::from_secs(1),
            min_backoff: Duration::from_millis(100),
            replaced_backoff: Duration::from_secs(5),
        }
    }
}

/// Load that an upstream reports.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadReport {
    /// Requests that it is running.
    pub running: u32,
    /// Requests in its queue.
    pub waiting: u32,
    /// Requests that it can run at once.
    pub slots: u32,
    /// Factor by which work currently takes longer than usual at the upstream; none if it reports
    /// none.
    pub slowdown: Option<f64>,
}

/// A request that [`UpstreamLoad::sent`] recorded.
#[derive(Debug, Clone, Copy)]
pub struct SentRequest {
    at: Timestamp,
    /// Occupancy when this request was sent, including the request.
    occupancy: f64,
}

impl SentRequest {
    /// Returns when the request was sent.
    #[must_use]
    pub const fn at(&self) -> Timestamp {
        self.at
    }
}

/// Maximum pause that an upstream may ask for; to extend it, it has to ask again.
const MAX_PAUSE: Duration = Duration::from_hours(1);

/// Estimate of the state of one upstream.
#[derive(Debug, Clone)]
pub struct UpstreamLoad {
    slots: f64,
    in_flight: u32,
    /// Requests of other hosts at `reported_at`.
    other_requests: f64,
    reported_at: Timestamp,
    /// Mean time of a request that doesn't wait, in seconds.
    service_time: Option<f64>,
    failure_probability: f64,
    failed_at: Timestamp,
    failed_connects: u32,
    backoff_until: Timestamp,
    /// End of the suspension because the upstream is cold.
    suspended_until: Timestamp,
    /// End of the pause that the upstream asked for.
    paused_until: Timestamp,
    /// Requests a second that it takes from all hosts together, as it announced.
    limit: RateLimit,
    /// End of the time in which another server is known to have the upstream's address.
    replaced_until: Timestamp,
    /// Earliest time of the next request that is sent without a permit because no permit host
    /// replies.
    next_without_permit: Option<Timestamp>,
    /// End of the service time in which the upstream refused a permit as full.
    full_until: Timestamp,
}

impl UpstreamLoad {
    /// Creates an estimate from the number of slots that the upstream registered.
    #[must_use]
    pub fn new(slots: u32) -> Self {
        Self {
            slots: f64::from(slots.max(1)),
            in_flight: 0,
            other_requests: 0.0,
            reported_at: Timestamp::ZERO,
            service_time: None,
            failure_probability: 0.0,
            failed_at: Timestamp::ZERO,
            failed_connects: 0,
            backoff_until: Timestamp::ZERO,
            suspended_until: Timestamp::ZERO,
            paused_until: Timestamp::ZERO,
            limit: RateLimit::default(),
            replaced_until: Timestamp::ZERO,
            next_without_permit: None,
            full_until: Timestamp::ZERO,
        }
    }

    /// Returns the number of this host's requests at the upstream.
    #[must_use]
    pub const fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns the mean time of a request that doesn't wait, in seconds, if any was observed.
    #[must_use]
    pub const fn service_time(&self) -> Option<f64> {
        self.service_time
    }

    /// Returns whether the upstream is in backoff because it can't be reached.
    #[must_use]
    pub fn is_in_backoff(&self, now: Timestamp) -> bool {
        now < self.backoff_until
    }

    /// Returns for how long the upstream gets no requests because it is cold or asked for a pause;
    /// zero if a permit may be requested.
    #[must_use]
    pub fn suspended_for(&self, now: Timestamp) -> Duration {
        self.suspended_until.max(self.paused_until).since(now)
    }

    /// Returns the remaining time of the pause that the upstream asked for; zero if there is none.
    #[must_use]
    pub fn paused_for(&self, now: Timestamp) -> Duration {
        self.paused_until.since(now)
    }

    /// Returns the rate limit of the upstream as far as it is known.
    #[must_use]
    pub const fn limit(&self) -> RateLimit {
        self.limit
    }

    /// Merges the rate limit that another host received.
    pub fn merge_limit(&mut self, limit: RateLimit) {
        self.limit.merge(limit);
    }

    /// Returns the time until a request may be sent without a permit, if this host sends `per_s`
    /// such requests a second; zero if it may be sent now, in which case it is counted.
    ///
    /// The first one is sent after that `fraction` of the interval, so that hosts that start at
    /// the same time don't send at the same time.
    pub fn delay_without_permit(&mut self, now: Timestamp, per_s: f64, fraction: f64) -> Duration {
        let interval = Duration::from_secs_f64(1.0 / per_s);
        let next = *self
            .next_without_permit
            .get_or_insert(now + interval.mul_f64(fraction));
        if next <= now {
            self.next_without_permit = Some(now + interval);
        }
        next.since(now)
    }

    /// Records that the upstream refused a permit as full, with a slot free after `until_free`;
    /// `entry_service_time` is the entry's mean service time, in seconds.
    ///
    /// The refusal also tells how many requests other hosts have there.
    pub fn permit_refused(
        &mut self,
        now: Timestamp,
        until_free: Duration,
        entry_service_time: f64,
    ) {
        let service_time = self.service_time.unwrap_or(entry_service_time);
        self.full_until = now + Duration::from_secs_f64(service_time);
        let waiting = self.slots * until_free.as_secs_f64() / service_time;
        self.other_requests = (self.slots + waiting - f64::from(self.in_flight)).max(0.0);
        self.reported_at = now;
    }

    /// Returns whether the upstream refused a permit as full within its last service time.
    #[must_use]
    pub fn has_refused_permit(&self, now: Timestamp) -> bool {
        now < self.full_until
    }

    /// Records the status in the answer to a request that was sent at `sent_at`; returns whether
    /// the rate limit in it is to be passed on to other hosts.
    pub fn record_status(
        &mut self,
        now: Timestamp,
        sent_at: Timestamp,
        status: &UpstreamStatus,
    ) -> bool {
        if let Some(span) = status.pause {
            let paused_until = now + span.min(MAX_PAUSE);
            self.paused_until = self.paused_until.max(paused_until);
        }
        self.limit.record(now, sent_at, status.limit)
    }

    /// Records that the upstream is cold and may get the next request after `duration`.
    pub fn suspend(&mut self, now: Timestamp, duration: Duration) {
        self.suspended_until = now + duration;
    }

    /// Returns the age of the last load report, if there was one.
    #[must_use]
    pub fn report_age(&self, now: Timestamp) -> Option<Duration> {
        (self.reported_at > Timestamp::ZERO).then(|| now.since(self.reported_at))
    }

    /// Returns the occupancy: known requests at the upstream for each of its slots.
    #[must_use]
    pub fn occupancy(&self, now: Timestamp, cfg: &LoadSettings) -> f64 {
        let other_requests =
            self.other_requests * decay(now.since(self.reported_at), cfg.report_half_life);
        (f64::from(self.in_flight) + other_requests) / self.slots
    }

    /// Returns the expected time of a request that is sent now, in seconds.
    ///
    /// `entry_service_time` is the entry's mean service time, used until the upstream has been
    /// observed.
    #[must_use]
    pub fn expected_time(
        &self,
        now: Timestamp,
        entry_service_time: f64,
        cfg: &LoadSettings,
    ) -> f64 {
        let service_time = self.service_time.unwrap_or(entry_service_time);
        let occupancy = self.occupancy(now, cfg) + 1.0 / self.slots;
        service_time * occupancy.max(1.0)
    }

    /// Returns the probability that the next request fails, between 0 and 1.
    #[must_use]
    pub fn failure_probability(&self, now: Timestamp, cfg: &LoadSettings) -> f64 {
        self.failure_probability * decay(now.since(self.failed_at), cfg.failure_half_life)
    }

    /// Records a request that is sent now.
    pub fn sent(&mut self, now: Timestamp, cfg: &LoadSettings) -> SentRequest {
        self.in_flight += 1;
        SentRequest {
            at: now,
            occupancy: self.occupancy(now, cfg),
        }
    }

    /// Records that a request of this host is no longer at the upstream, whatever its result.
    pub fn ended(&mut self) {
        debug_assert!(self.in_flight > 0, "each request ends once");
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Records a complete answer to a request that has [ended](Self::ended).
    pub fn answered(&mut self, now: Timestamp, sent: SentRequest, cfg: &LoadSettings) {
        let took = now.since(sent.at).as_secs_f64();
        let unqueued = took / sent.occupancy.max(1.0);
        let service_time = self.service_time.unwrap_or(unqueued);
        self.service_time = Some(service_time + cfg.service_weight * (unqueued - service_time));
        self.failure_probability = self.failure_probability(now, cfg) * (1.0 - cfg.service_weight);
        self.failed_at = now;
        self.failed_connects = 0;
    }

    /// Records the load report in an answer.
    pub fn reported(&mut self, now: Timestamp, report: LoadReport) {
        let total = f64::from(report.running) + f64::from(report.waiting);
        self.other_requests = (total - f64::from(self.in_flight)).max(0.0);
        self.reported_at = now;
        self.slots = f64::from(report.slots.max(1));
    }

    /// Records that the upstream rejected a request without running it: it is full, whatever it
    /// reported before.
    pub fn shed(&mut self, now: Timestamp, cfg: &LoadSettings) {
        self.failed(now, cfg);
        self.other_requests = self.other_requests.max(self.slots);
        self.reported_at = now;
    }

    /// Records a request that failed at the upstream.
    pub fn failed(&mut self, now: Timestamp, cfg: &LoadSettings) {
        let probability = self.failure_probability(now, cfg);
        self.failure_probability = probability + cfg.service_weight * (1.0 - probability);
        self.failed_at = now;
    }

    /// Records a request that got no answer within `waited`: the service time is at least that
    /// long.
    pub fn timed_out(&mut self, waited: Duration, cfg: &LoadSettings) {
        let waited = waited.as_secs_f64();
        let service_time = self.service_time.unwrap_or(waited);
        if waited > service_time {
            self.service_time = Some(service_time + cfg.service_weight * (waited - service_time));
        }
    }

    /// Records that another server has the upstream's address now.
    pub fn replaced(&mut self, now: Timestamp, cfg: &LoadSettings) {
        self.replaced_until = now + cfg.replaced_backoff;
        self.backoff_until = self.replaced_until;
    }

    /// Returns whether another server is known to have the upstream's address.
    #[must_use]
    pub fn is_replaced(&self, now: Timestamp) -> bool {
        now < self.replaced_until
    }

    /// Records a connection that could not be opened and starts the backoff.
    pub fn connect_failed(&mut self, now: Timestamp, cfg: &LoadSettings) {
        let backoff = cfg.min_backoff * (1 << self.failed_connects.min(6));
        self.failed_connects += 1;
        self.backoff_until = now + backoff.min(cfg.max_backoff);
    }
}

fn decay(age: Duration, half_life: Duration) -> f64 {
    (-age.as_secs_f64() / half_life.as_secs_f64()).exp2()
}
