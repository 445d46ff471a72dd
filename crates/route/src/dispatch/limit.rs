//! Adaptive concurrency limit of an upstream.
//!
//! The declared slots are the upper bound. Below them, the limit follows what this host observes:
//! answers, calls that the upstream shed, and broken or overdue calls. The upstream's own health
//! report is used only while there are no recent observations.

use std::time::Duration;

use ids::Timestamp;

/// Settings of a [`Limiter`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimiterSettings {
    /// Time over which the slots of a restarted upstream are opened.
    pub ramp: Duration,
    /// Factor by which the limit shrinks after the upstream shed a call.
    pub shed_factor: f64,
    /// Slots regained per second.
    pub regain_per_s: f64,
    /// Consecutive faults after which the upstream counts as failing.
    pub faults: u32,
    /// Time until a failing upstream is probed; doubles with each further fault.
    pub probe: Duration,
    /// Upper bound of the time until a failing upstream is probed.
    pub probe_max: Duration,
    /// Time for which an observation takes precedence over reports.
    pub observation_window: Duration,
}

impl Default for LimiterSettings {
    fn default() -> Self {
        Self {
            ramp: Duration::from_secs(3),
            shed_factor: 0.75,
            regain_per_s: 0.5,
            faults: 3,
            probe: Duration::from_millis(50),
            probe_max: Duration::from_secs(1),
            observation_window: Duration::from_secs(1),
        }
    }
}

/// Limits the number of calls in flight at one upstream.
#[derive(Debug, Clone)]
pub struct Limiter {
    settings: LimiterSettings,
    /// Declared slots.
    slots: u32,
    /// Limit as of `limit_at`.
    limit: f64,
    limit_at: Timestamp,
    /// Start of the ramp: when the upstream restarted or recovered.
    ramp_from: Option<Timestamp>,
    /// Whether the upstream reported itself unhealthy and no observation contradicts it.
    reported_unhealthy: bool,
    /// Faults since the last answer.
    faults: u32,
    /// When a failing upstream may be probed.
    probe_at: Timestamp,
    /// Time of the last observation.
    observed_at: Option<Timestamp>,
}

impl Limiter {
    /// Creates a limiter that allows all slots.
    #[must_use]
    pub fn new(now: Timestamp, slots: u32, settings: LimiterSettings) -> Self {
        Self {
            settings,
            slots,
            limit: f64::from(slots),
            limit_at: now,
            ramp_from: None,
            reported_unhealthy: false,
            faults: 0,
            probe_at: Timestamp::ZERO,
            observed_at: None,
        }
    }

    /// Sets the number of declared slots.
    pub fn set_slots(&mut self, now: Timestamp, slots: u32) {
        if slots == self.slots {
            return;
        }
        let full = self.limit(now) >= f64::from(self.slots);
        self.slots = slots;
        if full {
            self.limit = f64::from(slots);
        }
        self.limit = self.limit.min(f64::from(slots));
    }

    /// Returns how many calls may be in flight now.
    #[must_use]
    pub fn allowed(&self, now: Timestamp) -> u32 {
        if self.slots == 0 {
            return 0;
        }
        if self.is_failing() {
            return u32::from(self.probe_at <= now);
        }
        if self.reported_unhealthy {
            return 1;
        }
        let limit = self.limit(now).min(self.ramp(now));
        (limit as u32).clamp(1, self.slots)
    }

    /// Returns when [`Self::allowed`] next rises without further observations, if it will.
    #[must_use]
    pub fn next_rise(&self, now: Timestamp) -> Option<Timestamp> {
        if self.is_failing() {
            return Some(self.probe_at).filter(|&t| t > now);
        }
        let allowed = self.allowed(now);
        if allowed >= self.slots || self.reported_unhealthy {
            return None;
        }
        let next = f64::from(allowed + 1);
        let regained = (next - self.limit).max(0.0) / self.settings.regain_per_s.max(1e-3);
        let by_limit = self.limit_at + Duration::from_secs_f64(regained);
        let share = (next - 1.0) / f64::from(self.slots.max(2) - 1);
        let by_ramp = self
            .ramp_from
            .map(|t| t + self.settings.ramp.mul_f64(share.min(1.0)));
        let at = by_limit.max(by_ramp.unwrap_or(Timestamp::ZERO));
        // Timestamps are in whole microseconds; one microsecond later the limit has certainly
        // risen.
        Some(at.max(now) + Duration::from_micros(1))
    }

    /// Returns whether the upstream failed too often in a row.
    #[must_use]
    pub const fn is_failing(&self) -> bool {
        self.faults >= self.settings.faults
    }

    /// Returns the time until a failing upstream may be probed; none if it may get a call now.
    #[must_use]
    pub fn closed_for(&self, now: Timestamp) -> Option<Duration> {
        (self.is_failing() && self.probe_at > now).then(|| self.probe_at.since(now))
    }

    /// Records a restart of the upstream; its slots are opened one by one.
    pub fn restarted(&mut self, now: Timestamp) {
        self.ramp_from = Some(now);
        self.faults = 0;
    }

    /// Records an answer.
    pub fn answered(&mut self, now: Timestamp) {
        self.observed_at = Some(now);
        self.reported_unhealthy = false;
        if self.is_failing() {
            self.ramp_from = Some(now);
        }
        self.faults = 0;
    }

    /// Records that the upstream shed a call that was sent at `sent_at`.
    ///
    /// Calls that were sent before the limit last shrank are ignored: they carry no new
    /// information.
    pub fn shed(&mut self, now: Timestamp, sent_at: Timestamp) {
        self.observed_at = Some(now);
        self.faults = 0;
        if sent_at < self.limit_at && self.limit < f64::from(self.slots) {
            return;
        }
        let limit = self.limit(now).min(f64::from(self.allowed(now)));
        self.limit = (limit * self.settings.shed_factor).floor().max(1.0);
        self.limit_at = now;
    }

    /// Records a call that broke or took far too long.
    pub fn fault(&mut self, now: Timestamp) {
        self.observed_at = Some(now);
        if self.is_failing() && self.probe_at > now {
            return;
        }
        self.faults = self.faults.saturating_add(1);
        if !self.is_failing() {
            return;
        }
        let doublings = (self.faults - self.settings.faults).min(16);
        let pause = self.settings.probe.saturating_mul(1 << doublings);
        self.probe_at = now + pause.min(self.settings.probe_max);
    }

    /// Records the upstream's own health report. An upstream that reports itself unhealthy gets one
    /// call at a time until its first answer.
    pub fn report(&mut self, now: Timestamp, healthy: bool) {
        let observed = self
            .observed_at
            .is_some_and(|t| now.since(t) < self.settings.observation_window);
        self.reported_unhealthy = !observed && !healthy;
    }

    /// Returns the limit that results from shed calls and the slots regained since.
    fn limit(&self, now: Timestamp) -> f64 {
        let regained = now.since(self.limit_at).as_secs_f64() * self.settings.regain_per_s;
        (self.limit + regained).min(f64::from(self.slots))
    }

    /// Returns the limit that results from the ramp.
    fn ramp(&self, now: Timestamp) -> f64 {
        let slots = f64::from(self.slots);
        let Some(from) = self.ramp_from else {
            return slots;
        };
        let ramp = self.settings.ramp.as_secs_f64().max(1e-6);
        let risen = (now.since(from).as_secs_f64() / ramp).min(1.0);
        1.0 + (slots - 1.0) * risen
    }
}
