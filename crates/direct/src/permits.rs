//! Permits at an upstream, granted by one host to all hosts that send to it.
//!
//! Hosts that send to an upstream less than once a second have no estimate of its load. They
//! therefore request a permit before they send. A request waits at the permit host, where it can
//! still be refused as not run, go to another owner of its key, or be overtaken by a request that
//! can still meet its objective.
//!
//! Requests that can still be answered within their objective go before those that will be late
//! anyway, and late ones get only the capacity that requests in time leave (`permit_demand`). An
//! upstream that gets several times the load that it can serve then answers as many in time as at
//! full load. Routes and failure domains share it by the order of its queue
//! ([`permit_queue`](crate::permit_queue)).
//!
//! An upstream that is cold, or that has not answered for a while and may come back cold, gets no
//! more requests within any second than it bears ([`warmup`](crate::warmup)). One that announces a
//! rate limit gets no more than that from all hosts together ([`status`](crate::status)).

use std::hash::Hash;
use std::time::Duration;

use ids::{DomainId, Timestamp};
use indexmap::IndexMap;

use crate::choose::Priority;
use crate::load::LoadReport;
use crate::permit_demand::Demand;
use crate::permit_queue::{PermitQueue, QueuedRequest};
use crate::recent_starts::RecentStarts;
use crate::start_schedule::StartSchedule;
use crate::status::RateLimit;
use crate::warmup::ColdStart;

/// Settings of [`Permits`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PermitSettings {
    /// Minimum service time of an upstream at which a permit is worth its round trip.
    ///
    /// It is ten times the round trip between failure domains. A faster upstream has worked off its
    /// queue before a host could learn of it, and at millions of requests a second the datagrams
    /// would cost more than they save.
    pub min_service_time: Duration,
    /// Permits beyond the upstream's slots, so that no slot is idle while a permit changes hands.
    /// That takes a round trip between failure domains, a fiftieth of a service time.
    pub extra_permits: u32,
    /// Fraction of the time until the objective within which an answer must be expected to count as
    /// in time.
    pub in_time_fraction: f64,
    /// Fraction of the caller's timeout within which a late answer must be expected, as requests in
    /// time overtake it.
    pub late_fraction: f64,
    /// Multiple of the mean deviation of the service time that is added to the mean where an answer
    /// in time is expected: at the mean alone, every second one would be late.
    pub deviations: f64,
    /// Fraction of the capacity that requests in time must ask for to have late requests keep room
    /// for them.
    pub min_utilization: f64,
    /// Half-life of a report of requests without a permit.
    pub report_half_life: Duration,
    /// Weight of one observation in the mean service time.
    pub service_weight: f64,
    /// Time after the caller's deadline until a permit that was not released expires.
    pub grace: Duration,
    /// Time without any answer after which an upstream may come back cold, if at least two requests
    /// ended without one in that time. A restart takes about as long; slow answers seldom do.
    pub unresponsive_after: Duration,
    /// Slowdown from which requests that may go elsewhere are refused.
    pub slowdown_threshold: f64,
    /// Time for which a reported slowdown counts; it changes several times a second.
    pub slowdown_ttl: Duration,
}

impl Default for PermitSettings {
    fn default() -> Self {
        Self {
            min_service_time: Duration::from_millis(20),
            extra_permits: 1,
            in_time_fraction: 0.9,
            late_fraction: 0.7,
            deviations: 1.0,
            min_utilization: 0.1,
            report_half_life: Duration::from_millis(500),
            service_weight: 0.1,
            grace: Duration::from_millis(200),
            unresponsive_after: Duration::from_millis(700),
            slowdown_threshold: 2.0,
            slowdown_ttl: Duration::from_millis(200),
        }
    }
}

/// A request for a permit.
#[derive(Debug, Clone, PartialEq)]
pub struct PermitRequest {
    /// Its priority among the requests that go to the upstream. It tells hosts of an earlier version
    /// whether the request is urgent; the order of service follows from the rank.
    pub priority: Priority,
    /// Priority of its route; zero is the most urgent.
    pub rank: u32,
    /// Whether its caller was refused before and repeats it.
    pub is_repeat: bool,
    /// Failure domain of the requesting host; none if it is not known.
    pub domain: Option<DomainId>,
    /// Time left until its objective.
    pub until_objective: Duration,
    /// Time left until the caller's deadline.
    pub until_deadline: Duration,
    /// Service time to assume if none was observed.
    pub entry_service_time: Duration,
    /// Whether it may be queued; a request that may go to another upstream is not.
    pub may_wait: bool,
    /// State of the upstream's warm-up as known; none if being cold makes no difference to it.
    pub cold: Option<ColdStart>,
    /// The upstream's rate limit as known to the requesting host.
    pub limit: RateLimit,
    /// Number of hosts that rank before this one for the upstream's permits and did not reply.
    pub skipped_hosts: u32,
}

impl PermitRequest {
    /// Returns the same request after it has waited for `waited`.
    #[must_use]
    pub fn after(self, waited: Duration) -> Self {
        Self {
            until_objective: self.until_objective.saturating_sub(waited),
            until_deadline: self.until_deadline.saturating_sub(waited),
            ..self
        }
    }
}

/// Reply to a permit request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum PermitReply {
    /// The permit is granted.
    Granted,
    /// The request is queued; its answer is expected after this time.
    Queued {
        /// Time until the answer.
        expected_time: Duration,
    },
    /// The request can't be answered in time; a slot is expected to be free after this time.
    Full {
        /// Time until a slot is free.
        retry_after: Duration,
    },
    /// The upstream is cold or has a rate limit, and gets no more requests for now, not even
    /// without a permit.
    RateLimited {
        /// Time until another request may start.
        retry_after: Duration,
    },
}

/// How a request that had or wanted a permit ended.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum PermitEnd {
    /// The upstream answered it.
    Answered,
    /// The upstream responded otherwise than with an answer.
    OtherResponse,
    /// The upstream could not be reached or did not respond.
    NoResponse,
    /// Nothing can be inferred about the upstream: the request was not sent, or the caller left.
    Unknown,
}

#[derive(Debug, Clone, Copy)]
struct GrantedPermit {
    granted_at: Timestamp,
    expires_at: Timestamp,
    /// Occupancy of the upstream when the permit was granted.
    occupancy: f64,
}

/// Minimum service time that is assumed, in seconds.
const MIN_SERVICE_TIME_S: f64 = 1e-4;

/// What the expected time of a queued request depends on.
#[derive(Debug, Clone, Copy)]
struct Forecast {
    /// Estimated number of requests at the upstream.
    at_upstream: f64,
    slots: f64,
    /// In seconds.
    service_time: f64,
    /// None if only the slots limit starts.
    schedule: Option<StartSchedule>,
}

impl Forecast {
    /// Returns the seconds until the answer to a request that is queued after `ahead` others.
    fn expected(&self, ahead: usize) -> f64 {
        let occupancy = (self.at_upstream + ahead as f64 + 1.0) / self.slots;
        let queue = self.service_time * occupancy.max(1.0);
        // If starts are limited, the request waits for its start rather than for the work before it.
        let until_answer = self.schedule.map_or(0.0, |schedule| {
            schedule.time_until_start(ahead).as_secs_f64() + self.service_time
        });
        queue.max(until_answer)
    }
}

/// Requests that ended without a response since the upstream last responded.
#[derive(Debug, Clone, Copy)]
struct Unanswered {
    since: Timestamp,
    requests: u32,
}

/// Minimum number of requests without a response for an upstream to count as unresponsive.
const MIN_UNANSWERED: u32 = 2;

/// The permits at one upstream; `K` identifies a request.
#[derive(Debug)]
pub struct Permits<K> {
    cfg: PermitSettings,
    slots: u32,
    service_time: Option<f64>,
    /// Mean service time of the entry, in seconds, as the latest request stated it.
    entry_service_time: f64,
    /// Mean deviation of the service time from its mean, in seconds.
    deviation: f64,
    /// Largest recent time until the objective of requests that could be in time; it decays by a
    /// tenth with each of them.
    objective: Duration,
    demand: Demand,
    granted: IndexMap<K, GrantedPermit>,
    queue: PermitQueue<K>,
    /// Replies to requests that were displaced since the last poll.
    displaced: Vec<(K, PermitReply)>,
    /// Requests at the upstream without a permit of this host, at the time of the last report.
    other_requests: f64,
    reported_at: Timestamp,
    /// The reported slowdown, as a factor, and the time of the report.
    slowdown: (f64, Timestamp),
    /// Warm-up limits, as in the latest request that had them.
    cold: Option<ColdStart>,
    cold_until: Timestamp,
    limit: RateLimit,
    /// Whether queued requests were given expected times that the limit has changed since.
    limit_changed: bool,
    /// Number of hosts that rank before this one for these permits and did not reply.
    skipped_hosts: u32,
    recent_starts: RecentStarts,
    unanswered: Option<Unanswered>,
}

impl<K: Copy + Eq + Hash> Permits<K> {
    /// Creates the permits of an upstream of which only the slots are known.
    #[must_use]
    pub fn new(slots: u32, cfg: PermitSettings) -> Self {
        Self {
            cfg,
            slots: slots.max(1),
            service_time: None,
            entry_service_time: 0.0,
            deviation: 0.0,
            objective: Duration::ZERO,
            demand: Demand::default(),
            granted: IndexMap::new(),
            queue: PermitQueue::default(),
            displaced: Vec::new(),
            other_requests: 0.0,
            reported_at: Timestamp::ZERO,
            slowdown: (1.0, Timestamp::ZERO),
            cold: None,
            cold_until: Timestamp::ZERO,
            limit: RateLimit::default(),
            limit_changed: false,
            skipped_hosts: 0,
            recent_starts: RecentStarts::default(),
            unanswered: None,
        }
    }

    /// Returns whether no permit is held, none is queued for and no reply is pending.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.granted.is_empty() && !self.has_waiting() && self.displaced.is_empty()
    }

    /// Returns whether a request is queued.
    #[must_use]
    pub const fn has_waiting(&self) -> bool {
        !self.queue.is_empty()
    }

    /// Returns the upstream's rate limit as far as it is known.
    #[must_use]
    pub const fn limit(&self) -> RateLimit {
        self.limit
    }

    /// Merges the rate limit that another host received.
    pub fn merge_limit(&mut self, limit: RateLimit) {
        let before = self.limit.per_s();
        self.limit.merge(limit);
        self.limit_changed |= self.limit.per_s() != before;
    }

    /// Handles a permit request. One that is known already is answered with its state: the earlier
    /// reply was lost.
    ///
    /// The reply to a request that is displaced by this one is returned by
    /// [`take_displaced`](Self::take_displaced) or the next [`poll`](Self::poll).
    pub fn acquire(&mut self, now: Timestamp, key: K, request: &PermitRequest) -> PermitReply {
        self.merge_limit(request.limit);
        self.skipped_hosts = request.skipped_hosts;
        if let Some(cold) = request.cold {
            self.cold = Some(cold);
            self.cold_until = self.cold_until.max(now + cold.remaining);
        }
        if let Some(reply) = self.state_of(now, &key) {
            return reply;
        }
        self.entry_service_time = request.entry_service_time.as_secs_f64();
        let service_time = self.service_time();
        let queued = self.queued_request(now, key, request, service_time);
        let should_go_elsewhere = !request.may_wait && self.is_slowed_down(now);
        let ahead = self.queue.ahead_of(now, &queued);
        let is_first = !should_go_elsewhere && ahead == 0;
        let is_granted =
            is_first && self.can_grant(now) && self.may_start(now, request, service_time);
        if !is_granted && !request.may_wait {
            // The request counts where it is granted a permit or queued.
            return self.refuse_elsewhere(now, ahead, service_time);
        }
        self.record_demand(now, request, service_time);
        if is_granted {
            if queued.is_late() {
                self.demand.record_late_grant(now);
            }
            self.queue.record_grant(now, queued.domain);
            self.grant(now, key, queued.deadline);
            return PermitReply::Granted;
        }
        let Some((queued, expected)) = self.admit(now, request, queued, ahead, service_time) else {
            return self.refuse(now, request.until_deadline, service_time);
        };
        self.queue.push(now, queued);
        PermitReply::Queued {
            expected_time: Duration::from_secs_f64(expected),
        }
    }

    /// Returns the request as it would be queued; it is late if not even an idle upstream could
    /// answer it in time.
    fn queued_request(
        &mut self,
        now: Timestamp,
        key: K,
        request: &PermitRequest,
        service_time: f64,
    ) -> QueuedRequest<K> {
        let can_be_in_time = service_time <= self.in_time_limit(request.until_objective);
        QueuedRequest {
            key,
            answer_by: can_be_in_time.then(|| now + request.until_objective),
            deadline: now + request.until_deadline,
            rank: request.rank,
            is_repeat: request.is_repeat,
            domain: self.queue.domain_key(request.domain.as_ref()),
        }
    }

    /// Returns the replies to requests that were displaced since the last poll.
    pub fn take_displaced(&mut self) -> Vec<(K, PermitReply)> {
        std::mem::take(&mut self.displaced)
    }

    /// Returns the reply that a request got which has a permit or is queued.
    fn state_of(&self, now: Timestamp, key: &K) -> Option<PermitReply> {
        if self.granted.contains_key(key) {
            return Some(PermitReply::Granted);
        }
        let order = self.queue.in_order(now);
        let ahead = order.iter().position(|r| r.key == *key)?;
        let forecast = self.forecast(now, self.service_time());
        let expected_time = Duration::from_secs_f64(forecast.expected(ahead));
        Some(PermitReply::Queued { expected_time })
    }

    /// Returns the mean service time, in seconds; that of the entry until one was observed.
    fn service_time(&self) -> f64 {
        self.service_time.unwrap_or(self.entry_service_time)
    }

    /// Returns the requests a second that the upstream can answer.
    fn capacity(&self, service_time: f64) -> f64 {
        f64::from(self.slots) / service_time.max(MIN_SERVICE_TIME_S)
    }

    /// Returns the time within which an answer must be expected to be in time.
    fn in_time_limit(&self, until_objective: Duration) -> f64 {
        until_objective.as_secs_f64() * self.cfg.in_time_fraction
    }

    /// Returns the seconds that are added to an expected time. The more requests compete for the
    /// capacity, the more certain an answer in time has to be.
    fn margin(&self, now: Timestamp, service_time: f64) -> f64 {
        let utilization = self.demand.utilization(now, self.capacity(service_time));
        let unserved = 1.0 - 1.0 / utilization.max(1.0);
        self.deviation * self.cfg.deviations * unserved
    }

    fn record_demand(&mut self, now: Timestamp, request: &PermitRequest, service_time: f64) {
        if service_time <= self.in_time_limit(request.until_objective) {
            self.demand.record_in_time(now);
            self.objective = request.until_objective.max(self.objective.mul_f64(0.9));
        } else {
            self.demand.record_late(now);
        }
    }

    /// Returns whether a request that finds a free permit may have it: it can be in time, or leaves
    /// room for one that can.
    fn may_start(&self, now: Timestamp, request: &PermitRequest, service_time: f64) -> bool {
        service_time <= self.in_time_limit(request.until_objective)
            || self.leaves_room_in_time(now, service_time)
    }

    /// Returns whether a request that arrives after a late one was granted a permit can still be
    /// answered in time.
    fn leaves_room_in_time(&self, now: Timestamp, service_time: f64) -> bool {
        let utilization = self.demand.utilization(now, self.capacity(service_time));
        if utilization < self.cfg.min_utilization {
            return true;
        }
        let occupancy = (self.requests_at_upstream(now) + 2.0) / f64::from(self.slots);
        let expected = service_time * occupancy.max(1.0) + self.deviation * self.cfg.deviations;
        expected <= self.in_time_limit(self.objective)
            // Otherwise no request could be in time with or without the late one.
            || service_time > self.in_time_limit(self.objective)
    }

    /// Returns when queued requests can expect their answers.
    fn forecast(&self, now: Timestamp, service_time: f64) -> Forecast {
        Forecast {
            at_upstream: self.requests_at_upstream(now),
            slots: f64::from(self.slots),
            service_time,
            schedule: self.start_schedule(now),
        }
    }

    /// Returns the seconds until the answer to a late request that is queued now: it gets only the
    /// capacity that requests in time leave.
    fn expected_late(&self, now: Timestamp, late: &QueuedRequest<K>, service_time: f64) -> f64 {
        let ahead = self.queue.ahead_of(now, late);
        let needed = (ahead - self.queue.in_time_len()) as f64 + 1.0;
        let capacity = self.capacity(service_time);
        let from_spare = needed / self.demand.spare_capacity(now, capacity);
        let expected = self.forecast(now, service_time).expected(ahead);
        expected.max(from_spare)
    }

    /// Returns a request that has to wait as it is to be queued, in time or late, and the seconds
    /// until its answer; none if it can't be answered in its time. `ahead` requests are served before
    /// it at its turn.
    ///
    /// A request that is in time may displace another one.
    fn admit(
        &mut self,
        now: Timestamp,
        request: &PermitRequest,
        queued: QueuedRequest<K>,
        ahead: usize,
        service_time: f64,
    ) -> Option<(QueuedRequest<K>, f64)> {
        if !queued.is_late() {
            let margin = self.margin(now, service_time);
            let forecast = self.forecast(now, service_time);
            let expected = forecast.expected(ahead);
            if expected + margin <= self.in_time_limit(request.until_objective) {
                if let Some(displaced) = self.displaced_by(now, &queued, margin, &forecast) {
                    self.displace(now, displaced, service_time);
                }
                return Some((queued, expected));
            }
        }
        let late = QueuedRequest {
            answer_by: None,
            ..queued
        };
        let expected = self.expected_late(now, &late, service_time);
        let left = request.until_deadline.as_secs_f64();
        (expected <= left * self.cfg.late_fraction).then_some((late, expected))
    }

    /// Returns the queued request that gives way to `request`.
    ///
    /// It does so only if it, or one that is served after it, can no longer be answered in time
    /// when `request` is served before it.
    fn displaced_by(
        &self,
        now: Timestamp,
        request: &QueuedRequest<K>,
        margin: f64,
        forecast: &Forecast,
    ) -> Option<K> {
        let displaced = self.queue.displaced_by(now, request)?;
        let order = self.queue.in_order(now).into_iter().enumerate();
        let makes_late = order
            .skip_while(|(_, r)| r.key != displaced)
            .filter_map(|(i, r)| Some((i + 1, r.answer_by?)))
            .any(|(ahead, answer_by)| {
                forecast.expected(ahead) + margin > answer_by.since(now).as_secs_f64()
            });
        makes_late.then_some(displaced)
    }

    /// Refuses a queued request in favour of another one.
    fn displace(&mut self, now: Timestamp, key: K, service_time: f64) {
        if let Some(displaced) = self.queue.remove(key) {
            let reply = self.refuse(now, displaced.deadline.since(now), service_time);
            self.displaced.push((key, reply));
        }
    }

    /// Refuses a request that may go to another upstream; `ahead` requests are queued before it.
    fn refuse_elsewhere(&self, now: Timestamp, ahead: usize, service_time: f64) -> PermitReply {
        match self.start_schedule(now) {
            Some(StartSchedule { until_first, .. }) if !until_first.is_zero() => {
                PermitReply::RateLimited {
                    retry_after: until_first,
                }
            }
            _ => PermitReply::Full {
                retry_after: self.time_until_free(ahead, service_time),
            },
        }
    }

    /// Refuses a request that can't be answered in its time.
    ///
    /// The caller is told to return while it still has time for an answer.
    fn refuse(
        &mut self,
        now: Timestamp,
        until_deadline: Duration,
        service_time: f64,
    ) -> PermitReply {
        let latest = until_deadline.mul_f64(self.cfg.late_fraction);
        let retry_after = self
            .demand
            .schedule_return(now, self.capacity(service_time))
            .min(latest)
            .max(Duration::from_secs_f64(service_time / 2.0));
        if self.start_schedule(now).is_some() {
            PermitReply::RateLimited { retry_after }
        } else {
            PermitReply::Full { retry_after }
        }
    }

    /// Returns the time until a request gets a slot before which `ahead` requests are queued.
    fn time_until_free(&self, ahead: usize, service_time: f64) -> Duration {
        // Half of the time of the running requests is left on average.
        let services = 0.5 + ahead as f64 / f64::from(self.slots);
        Duration::from_secs_f64(service_time * services)
    }

    /// Releases the permit of a request, or removes the request from the queue, and records the
    /// upstream's load report.
    pub fn release(&mut self, now: Timestamp, key: K, end: PermitEnd, report: Option<LoadReport>) {
        self.record_response(now, end);
        if let Some(report) = report {
            let total = f64::from(report.running) + f64::from(report.waiting);
            self.other_requests = (total - self.granted.len() as f64).max(0.0);
            self.reported_at = now;
            self.slots = report.slots.max(1);
            if let Some(slowdown) = report.slowdown {
                self.slowdown = (slowdown, now);
            }
        }
        self.queue.remove(key);
        self.displaced.retain(|(displaced, _)| *displaced != key);
        let Some(permit) = self.granted.swap_remove(&key) else {
            return;
        };
        if end == PermitEnd::Answered {
            let unqueued = now.since(permit.granted_at).as_secs_f64() / permit.occupancy.max(1.0);
            let service_time = self.service_time.unwrap_or(unqueued);
            let difference = unqueued - service_time;
            self.service_time = Some(service_time + self.cfg.service_weight * difference);
            self.deviation += self.cfg.service_weight * (difference.abs() - self.deviation);
        }
    }

    /// Returns whether work currently takes so much longer at the upstream that another one should
    /// get the request.
    fn is_slowed_down(&self, now: Timestamp) -> bool {
        let (slowdown, reported_at) = self.slowdown;
        slowdown >= self.cfg.slowdown_threshold && now.since(reported_at) < self.cfg.slowdown_ttl
    }

    /// Assumes that an upstream that responds again after a long time is cold: it may have
    /// restarted without having registered that yet.
    fn record_response(&mut self, now: Timestamp, end: PermitEnd) {
        match end {
            PermitEnd::Unknown => {}
            PermitEnd::NoResponse => {
                let unanswered = self.unanswered.get_or_insert(Unanswered {
                    since: now,
                    requests: 0,
                });
                unanswered.requests += 1;
            }
            PermitEnd::Answered | PermitEnd::OtherResponse => {
                if let Some(cold) = self.cold.filter(|_| self.is_unresponsive(now)) {
                    self.cold_until = self.cold_until.max(now + cold.duration);
                }
                self.unanswered = None;
            }
        }
    }

    /// Returns whether the upstream has been unresponsive for so long that it may come back cold.
    fn is_unresponsive(&self, now: Timestamp) -> bool {
        self.unanswered.is_some_and(|s| {
            s.requests >= MIN_UNANSWERED && now.since(s.since) >= self.cfg.unresponsive_after
        })
    }

    /// Returns the schedule of starts at an upstream that is cold or has a rate limit; none if only
    /// the slots limit it.
    fn start_schedule(&self, now: Timestamp) -> Option<StartSchedule> {
        let is_cold = now < self.cold_until || self.is_unresponsive(now);
        let cold = self.cold.filter(|_| is_cold).map(|cold| StartSchedule {
            until_first: self
                .recent_starts
                .delay_in_second(now, cold.max_starts_per_s),
            per_s: f64::from(cold.max_starts_per_s.max(1)),
        });
        let limited = self
            .limit
            .permitted_rate(self.skipped_hosts)
            .map(|per_s| StartSchedule {
                until_first: self.recent_starts.delay_at_rate(now, per_s),
                per_s,
            });
        match (cold, limited) {
            (Some(cold), Some(limited)) => Some(cold.stricter(limited)),
            (one, other) => one.or(other),
        }
    }

    /// Grants free permits, and refuses requests that can no longer be answered in time or were
    /// displaced.
    pub fn poll(&mut self, now: Timestamp) -> Vec<(K, PermitReply)> {
        self.granted.retain(|_, permit| now < permit.expires_at);
        let mut replies = self.take_displaced();
        self.refuse_expired(now, &mut replies);
        self.refuse_excess_late(now, &mut replies);
        if std::mem::take(&mut self.limit_changed) {
            self.update_expected(now, &mut replies);
        }
        while self.can_grant(now) {
            let Some(next) = self.next_queued(now) else {
                break;
            };
            self.grant(now, next.key, next.deadline);
            replies.push((next.key, PermitReply::Granted));
        }
        replies
    }

    /// Refuses late requests that the spare capacity no longer serves before their deadlines, the
    /// last in the order of service first.
    fn refuse_excess_late(&mut self, now: Timestamp, replies: &mut Vec<(K, PermitReply)>) {
        if self.queue.iter().all(|r| !r.is_late()) {
            return;
        }
        let service_time = self.service_time();
        let per_s = self.demand.spare_capacity(now, self.capacity(service_time));
        let order = self.queue.in_order(now).into_iter();
        let mut late: Vec<QueuedRequest<K>> = order.filter(|r| r.is_late()).copied().collect();
        while let Some(last) = late.pop() {
            let needed = Duration::from_secs_f64((late.len() + 1) as f64 / per_s);
            let left = last.deadline.since(now);
            if left >= needed {
                break;
            }
            self.queue.remove(last.key);
            replies.push((last.key, self.refuse(now, left, service_time)));
        }
    }

    /// Takes the queued request that gets the next permit.
    fn next_queued(&mut self, now: Timestamp) -> Option<QueuedRequest<K>> {
        if self.queue.peek()?.is_late() {
            let service_time = self.service_time();
            if !self.leaves_room_in_time(now, service_time) {
                return None;
            }
            self.demand.record_late_grant(now);
        }
        self.queue.pop(now)
    }

    /// Makes queued requests late that can no longer be answered in time if they start now, and
    /// refuses those that could not be answered before their deadlines.
    fn refuse_expired(&mut self, now: Timestamp, replies: &mut Vec<(K, PermitReply)>) {
        let service_time = self.service_time();
        let for_objective = Duration::from_secs_f64(service_time + self.margin(now, service_time));
        let service_time = Duration::from_secs_f64(service_time);
        let expired = self.queue.expire(now, for_objective, service_time);
        replies.extend(expired.into_iter().map(|r| {
            let retry_after = service_time;
            (r.key, PermitReply::Full { retry_after })
        }));
    }

    /// Sends queued requests their new expected times after a change of the limit, and refuses
    /// those that could not be answered in time.
    fn update_expected(&mut self, now: Timestamp, replies: &mut Vec<(K, PermitReply)>) {
        let service_time = Duration::from_secs_f64(self.service_time());
        let Some(schedule) = self.start_schedule(now) else {
            return;
        };
        let mut ahead = 0;
        let order = self.queue.in_order(now).into_iter().copied();
        for request in order.collect::<Vec<_>>() {
            let expected_time = schedule.time_until_start(ahead) + service_time;
            if now + expected_time <= request.deadline {
                ahead += 1;
                replies.push((request.key, PermitReply::Queued { expected_time }));
            } else {
                self.queue.remove(request.key);
                let retry_after = expected_time;
                replies.push((request.key, PermitReply::RateLimited { retry_after }));
            }
        }
    }

    fn grant(&mut self, now: Timestamp, key: K, deadline: Timestamp) {
        let occupancy = (self.requests_at_upstream(now) + 1.0) / f64::from(self.slots);
        let permit = GrantedPermit {
            granted_at: now,
            expires_at: deadline + self.cfg.grace,
            occupancy,
        };
        self.granted.insert(key, permit);
        self.recent_starts.record(now);
    }

    /// Returns the estimated number of requests at the upstream.
    fn requests_at_upstream(&self, now: Timestamp) -> f64 {
        let age = now.since(self.reported_at).as_secs_f64();
        let decay = (-age / self.cfg.report_half_life.as_secs_f64()).exp2();
        self.granted.len() as f64 + self.other_requests * decay
    }

    fn can_grant(&self, now: Timestamp) -> bool {
        let may_start = self
            .start_schedule(now)
            .is_none_or(|schedule| schedule.until_first.is_zero());
        may_start && self.requests_at_upstream(now) < f64::from(self.slots + self.cfg.extra_permits)
    }
}
