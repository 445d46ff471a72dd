//! What a host believes of one upstream's load, speed and health.
//!
//! Several hosts send to the same upstream without asking each other. Each knows its own requests
//! exactly; the others' it infers from the load that an upstream reports with each answer, which
//! fades towards what is usual as the report ages.

use std::time::Duration;

use ids::Timestamp;

use crate::said::{Limit, Said};

/// Settings of an [`UpstreamLoad`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadSettings {
    /// Time after which a report of others' requests counts half.
    ///
    /// About two service times of a slow upstream: what it was working on has changed by then.
    pub report_half_life: Duration,
    /// Weight of one observation in the moving mean of service times.
    ///
    /// A fifth: an upstream that turned five times slower is seen as twice as slow after two answers.
    pub service_weight: f64,
    /// Time after which a failure counts half.
    pub failure_half_life: Duration,
    /// How much slower an upstream is expected to be while it is cold.
    pub cold_factor: f64,
    /// Longest time for which an upstream that can't be reached is passed over.
    pub closed_max: Duration,
    /// Time for which it is passed over after its first failed connection.
    pub closed_min: Duration,
    /// Time for which it is passed over if another server has its address: its registration is gone by then,
    /// or comes once the store can be read again.
    pub replaced_for: Duration,
}

impl Default for LoadSettings {
    fn default() -> Self {
        Self {
            report_half_life: Duration::from_millis(500),
            service_weight: 0.2,
            failure_half_life: Duration::from_millis(1_500),
            cold_factor: 2.0,
            closed_max: Duration::from_secs(1),
            closed_min: Duration::from_millis(100),
            replaced_for: Duration::from_secs(5),
        }
    }
}

/// The load that an upstream reports.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadReport {
    /// Requests that it works on.
    pub running: u32,
    /// Requests that wait at it.
    pub waiting: u32,
    /// Requests that it can work on at once.
    pub slots: u32,
    /// How long work takes on its machine at this moment, as a factor; none if it doesn't say.
    pub pace: Option<f64>,
}

/// A request on its way, as [`UpstreamLoad::sent`] noted it.
#[derive(Debug, Clone, Copy)]
pub struct Sent {
    at: Timestamp,
    /// Requests at the upstream when this one left, itself included, for each slot.
    crowd: f64,
}

impl Sent {
    /// Returns when the request left.
    #[must_use]
    pub const fn at(&self) -> Timestamp {
        self.at
    }
}

/// Longest time for which an upstream is taken at its word that it wants nothing: one that means more says so again.
const WANTS_NONE_MAX: Duration = Duration::from_hours(1);

/// What is believed of one upstream.
#[derive(Debug, Clone)]
pub struct UpstreamLoad {
    slots: f64,
    in_flight: u32,
    /// Requests of other hosts, when `reported` was heard.
    others: f64,
    reported: Timestamp,
    /// Mean time of a request that doesn't wait, in seconds.
    service: Option<f64>,
    failing: f64,
    failed: Timestamp,
    unreachable: u32,
    closed_until: Timestamp,
    /// Until when it gets nothing as it is cold.
    held_back_until: Timestamp,
    /// Until when it gets nothing as it said so.
    wants_none_until: Timestamp,
    /// How many requests a second it takes from all hosts, as it said.
    limit: Limit,
    /// When the next request may go there that nobody could be asked for.
    alone_at: Option<Timestamp>,
}

impl UpstreamLoad {
    /// Knows nothing yet but the slots that the upstream registered.
    #[must_use]
    pub fn new(slots: u32) -> Self {
        Self {
            slots: f64::from(slots.max(1)),
            in_flight: 0,
            others: 0.0,
            reported: Timestamp::ZERO,
            service: None,
            failing: 0.0,
            failed: Timestamp::ZERO,
            unreachable: 0,
            closed_until: Timestamp::ZERO,
            held_back_until: Timestamp::ZERO,
            wants_none_until: Timestamp::ZERO,
            limit: Limit::default(),
            alone_at: None,
        }
    }

    /// Returns how many requests of this host are at the upstream.
    #[must_use]
    pub const fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns the mean time of a request that doesn't wait, in seconds, if any was observed.
    #[must_use]
    pub const fn service(&self) -> Option<f64> {
        self.service
    }

    /// Tells whether the upstream is passed over for now as it can't be reached.
    #[must_use]
    pub fn is_closed(&self, now: Timestamp) -> bool {
        now < self.closed_until
    }

    /// Returns how long it gets nothing, as it is cold or wants none; zero if it may be asked for a permit.
    #[must_use]
    pub fn held_back(&self, now: Timestamp) -> Duration {
        self.held_back_until.max(self.wants_none_until).since(now)
    }

    /// Returns for how long it still wants no requests, as it said; zero if it takes them.
    #[must_use]
    pub fn wants_none_for(&self, now: Timestamp) -> Duration {
        self.wants_none_until.since(now)
    }

    /// Returns what is known of how many requests a second it takes.
    #[must_use]
    pub const fn limit(&self) -> Limit {
        self.limit
    }

    /// Takes what another host heard of that.
    pub fn take_limit(&mut self, limit: Limit) {
        self.limit.take(limit);
    }

    /// Returns how long until a request may go that nobody could be asked for, if this host sends `per_s` a second of
    /// those; zero if it goes now, which counts.
    ///
    /// The first one goes after `part` of the time between two, so that hosts which begin together don't send together.
    pub fn start_alone(&mut self, now: Timestamp, per_s: f64, part: f64) -> Duration {
        let pause = Duration::from_secs_f64(1.0 / per_s);
        let next = *self.alone_at.get_or_insert(now + pause.mul_f64(part));
        if next <= now {
            self.alone_at = Some(now + pause);
        }
        next.since(now)
    }

    /// Takes what it says of itself in the answer to a request that was sent at `sent`; tells whether what it says of
    /// a limit is news.
    pub fn hear(&mut self, now: Timestamp, sent: Timestamp, said: &Said) -> bool {
        if let Some(span) = said.wants_none_for {
            let until = now + span.min(WANTS_NONE_MAX);
            self.wants_none_until = self.wants_none_until.max(until);
        }
        self.limit.hear(now, sent, said.limit)
    }

    /// Notes that it is cold and has room only after `room_in`.
    pub fn hold_back(&mut self, now: Timestamp, room_in: Duration) {
        self.held_back_until = now + room_in;
    }

    /// Returns how old the upstream's last report of its load is, if there was one.
    #[must_use]
    pub fn report_age(&self, now: Timestamp) -> Option<Duration> {
        (self.reported > Timestamp::ZERO).then(|| now.since(self.reported))
    }

    /// Returns how many requests are at the upstream, by what is known, for each slot.
    #[must_use]
    pub fn crowd(&self, now: Timestamp, cfg: &LoadSettings) -> f64 {
        let others = self.others * faded(now.since(self.reported), cfg.report_half_life);
        (f64::from(self.in_flight) + others) / self.slots
    }

    /// Returns how long a request sent now is expected to take, in seconds.
    ///
    /// `usual` is the entry's mean service time, for an upstream that was not observed yet.
    #[must_use]
    pub fn expected(&self, now: Timestamp, usual: f64, cfg: &LoadSettings) -> f64 {
        let service = self.service.unwrap_or(usual);
        let crowd = self.crowd(now, cfg) + 1.0 / self.slots;
        service * crowd.max(1.0)
    }

    /// Returns how likely the next request fails, between 0 and 1.
    #[must_use]
    pub fn failing(&self, now: Timestamp, cfg: &LoadSettings) -> f64 {
        self.failing * faded(now.since(self.failed), cfg.failure_half_life)
    }

    /// Notes a request that leaves now.
    pub fn sent(&mut self, now: Timestamp, cfg: &LoadSettings) -> Sent {
        self.in_flight += 1;
        Sent {
            at: now,
            crowd: self.crowd(now, cfg),
        }
    }

    /// Notes that a request of this host is no longer at the upstream, however it ended.
    pub fn ended(&mut self) {
        debug_assert!(self.in_flight > 0, "each request ends once");
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Notes a whole answer to a request that has [ended](Self::ended).
    pub fn answered(&mut self, now: Timestamp, sent: Sent, cfg: &LoadSettings) {
        let took = now.since(sent.at).as_secs_f64();
        let alone = took / sent.crowd.max(1.0);
        let service = self.service.unwrap_or(alone);
        self.service = Some(service + cfg.service_weight * (alone - service));
        self.failing = self.failing(now, cfg) * (1.0 - cfg.service_weight);
        self.failed = now;
        self.unreachable = 0;
    }

    /// Notes the load that came with an answer.
    pub fn reported(&mut self, now: Timestamp, report: LoadReport) {
        let total = f64::from(report.running) + f64::from(report.waiting);
        self.others = (total - f64::from(self.in_flight)).max(0.0);
        self.reported = now;
        self.slots = f64::from(report.slots.max(1));
    }

    /// Notes that the upstream turned a request away unrun: it is full, whatever it said before.
    pub fn shed(&mut self, now: Timestamp, cfg: &LoadSettings) {
        self.failed(now, cfg);
        self.others = self.others.max(self.slots);
        self.reported = now;
    }

    /// Notes a request that failed at the upstream.
    pub fn failed(&mut self, now: Timestamp, cfg: &LoadSettings) {
        let failing = self.failing(now, cfg);
        self.failing = failing + cfg.service_weight * (1.0 - failing);
        self.failed = now;
    }

    /// Notes a request that got no answer for `waited`: it takes at least so long.
    pub fn silent(&mut self, waited: Duration, cfg: &LoadSettings) {
        let waited = waited.as_secs_f64();
        let service = self.service.unwrap_or(waited);
        if waited > service {
            self.service = Some(service + cfg.service_weight * (waited - service));
        }
    }

    /// Notes that another server has the upstream's address now.
    pub fn replaced(&mut self, now: Timestamp, cfg: &LoadSettings) {
        self.closed_until = now + cfg.replaced_for;
    }

    /// Notes a connection that could not be opened: the upstream is passed over for a while.
    pub fn unreachable(&mut self, now: Timestamp, cfg: &LoadSettings) {
        let longer = cfg.closed_min * (1 << self.unreachable.min(6));
        self.unreachable += 1;
        self.closed_until = now + longer.min(cfg.closed_max);
    }
}

fn faded(age: Duration, half_life: Duration) -> f64 {
    (-age.as_secs_f64() / half_life.as_secs_f64()).exp2()
}
