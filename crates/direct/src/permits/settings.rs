//! Settings of the permits at an upstream.

use std::time::Duration;

/// Settings of [`Permits`](super::Permits).
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
