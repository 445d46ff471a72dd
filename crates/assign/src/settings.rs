//! Timeouts and limits.

use std::time::Duration;

/// Timeouts and limits of granting keys; the same on all hosts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AssignSettings {
    /// How long a grant is valid, from its arrival at the upstream.
    ///
    /// The keys of an unresponsive upstream are unserved for about this time and one renewal. It
    /// must outlast a change of the granting host, about 1.5 s, after the last renewal.
    pub grant_ttl: Duration,
    /// Time between renewals of a grant: a quarter of `grant_ttl`, so that two may be lost.
    pub renew_every: Duration,
    /// How much slower an upstream's clock may run, as a fraction.
    pub clock_drift: f64,
    /// Time added to waits for a grant's end. A grant leaves within 200 ms after it was decided on,
    /// or not at all; the rest is for its transmission and the firing of timers.
    pub delivery_margin: Duration,
    /// How long the granting host goes on granting without reading its row: the read lease.
    ///
    /// Keys stay served through an outage of the store of this length. If a host was replaced and
    /// can't be asked whether it stopped, an unreachable upstream keeps its keys for this long.
    pub read_lease: Duration,
    /// Time without an answer of an owner after which its keys go to others.
    pub owner_timeout: Duration,
    /// Time between two plans.
    pub plan_every: Duration,
}

impl Default for AssignSettings {
    fn default() -> Self {
        Self {
            grant_ttl: Duration::from_secs(3),
            renew_every: Duration::from_millis(750),
            clock_drift: 0.02,
            delivery_margin: Duration::from_millis(250),
            read_lease: Duration::from_secs(10),
            owner_timeout: Duration::from_millis(1_500),
            plan_every: Duration::from_millis(500),
        }
    }
}

impl AssignSettings {
    /// Returns the longest time for which a grant may be valid after it was sent, by the sender's
    /// clock, provided the network did not hold it.
    #[must_use]
    pub fn max_grant_age(&self) -> Duration {
        self.grant_ttl.mul_f64(1.0 + 2.0 * self.clock_drift) + self.delivery_margin
    }
}
