//! Admission of requests to the queue for permits: whether a request can be in time, late or not at
//! all, and which queued request gives way to it.

use std::hash::Hash;
use std::time::Duration;

use ids::Timestamp;

use super::forecast::Forecast;
use super::{MIN_SERVICE_TIME_S, PermitReply, PermitRequest, Permits};
use crate::permit_queue::QueuedRequest;
use crate::start_schedule::StartSchedule;

impl<K: Copy + Eq + Hash> Permits<K> {
    /// Returns the request as it would be queued; it is late if not even an idle upstream could
    /// answer it in time.
    pub(super) fn queued_request(
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
    pub(super) fn state_of(&self, now: Timestamp, key: &K) -> Option<PermitReply> {
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
    pub(super) fn service_time(&self) -> f64 {
        self.service_time.unwrap_or(self.entry_service_time)
    }

    /// Returns the requests a second that the upstream can answer.
    pub(super) fn capacity(&self, service_time: f64) -> f64 {
        f64::from(self.slots) / service_time.max(MIN_SERVICE_TIME_S)
    }

    /// Returns the time within which an answer must be expected to be in time.
    pub(super) fn in_time_limit(&self, until_objective: Duration) -> f64 {
        until_objective.as_secs_f64() * self.cfg.in_time_fraction
    }

    /// Returns the seconds that are added to an expected time. The more requests compete for the
    /// capacity, the more certain an answer in time has to be.
    pub(super) fn margin(&self, now: Timestamp, service_time: f64) -> f64 {
        let utilization = self.demand.utilization(now, self.capacity(service_time));
        let unserved = 1.0 - 1.0 / utilization.max(1.0);
        self.deviation * self.cfg.deviations * unserved
    }

    pub(super) fn record_demand(
        &mut self,
        now: Timestamp,
        request: &PermitRequest,
        service_time: f64,
    ) {
        if service_time <= self.in_time_limit(request.until_objective) {
            self.demand.record_in_time(now);
            self.objective = request.until_objective.max(self.objective.mul_f64(0.9));
        } else {
            self.demand.record_late(now);
        }
    }

    /// Returns whether a request that finds a free permit may have it: it can be in time, or leaves
    /// room for one that can.
    pub(super) fn may_start(
        &self,
        now: Timestamp,
        request: &PermitRequest,
        service_time: f64,
    ) -> bool {
        service_time <= self.in_time_limit(request.until_objective)
            || self.leaves_room_in_time(now, service_time)
    }

    /// Returns whether a request that arrives after a late one was granted a permit can still be
    /// answered in time.
    pub(super) fn leaves_room_in_time(&self, now: Timestamp, service_time: f64) -> bool {
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
    pub(super) fn forecast(&self, now: Timestamp, service_time: f64) -> Forecast {
        Forecast {
            at_upstream: self.requests_at_upstream(now),
            slots: f64::from(self.slots),
            service_time,
            schedule: self.start_schedule(now),
        }
    }

    /// Returns the seconds until the answer to a late request that is queued now: it gets only the
    /// capacity that requests in time leave.
    pub(super) fn expected_late(
        &self,
        now: Timestamp,
        late: &QueuedRequest<K>,
        service_time: f64,
    ) -> f64 {
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
    pub(super) fn admit(
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
    pub(super) fn displaced_by(
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
    pub(super) fn displace(&mut self, now: Timestamp, key: K, service_time: f64) {
        if let Some(displaced) = self.queue.remove(key) {
            let reply = self.refuse(now, displaced.deadline.since(now), service_time);
            self.displaced.push((key, reply));
        }
    }

    /// Refuses a request that may go to another upstream; `ahead` requests are queued before it.
    pub(super) fn refuse_elsewhere(
        &self,
        now: Timestamp,
        ahead: usize,
        service_time: f64,
    ) -> PermitReply {
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
    pub(super) fn refuse(
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
    pub(super) fn time_until_free(&self, ahead: usize, service_time: f64) -> Duration {
        // Half of the time of the running requests is left on average.
        let services = 0.5 + ahead as f64 / f64::from(self.slots);
        Duration::from_secs_f64(service_time * services)
    }
}
