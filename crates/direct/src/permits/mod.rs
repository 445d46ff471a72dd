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
//!
//! - `settings`: the settings.
//! - `request`: requests for permits and replies.
//! - `forecast`: when queued requests can expect their answers.
//! - `admission`: which requests are queued, and which are refused at once.

mod admission;
mod forecast;
mod request;
mod settings;

use std::hash::Hash;
use std::time::Duration;

use ids::Timestamp;
use indexmap::IndexMap;

pub use self::request::{PermitEnd, PermitReply, PermitRequest};
pub use self::settings::PermitSettings;

use crate::load::LoadReport;
use crate::permit_demand::Demand;
use crate::permit_queue::{PermitQueue, QueuedRequest};
use crate::recent_starts::RecentStarts;
use crate::start_schedule::StartSchedule;
use crate::status::RateLimit;
use crate::warmup::ColdStart;

#[derive(Debug, Clone, Copy)]
struct GrantedPermit {
    granted_at: Timestamp,
    expires_at: Timestamp,
    /// Occupancy of the upstream when the permit was granted.
    occupancy: f64,
}

/// Minimum service time that is assumed, in seconds.
const MIN_SERVICE_TIME_S: f64 = 1e-4;

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

    /// Refuses all queued requests, as the upstream is out of service.
    pub fn refuse_waiting(&mut self) -> Vec<(K, PermitReply)> {
        let mut replies = self.take_displaced();
        let waiting: Vec<K> = self.queue.iter().map(|request| request.key).collect();
        for key in waiting {
            self.queue.remove(key);
            replies.push((key, PermitReply::OUT_OF_SERVICE));
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
