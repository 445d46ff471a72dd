//! Demand at an upstream: how much capacity requests in time ask for, and when refused callers may
//! return.
//!
//! Keeps late requests from occupying the upstream during a sustained overload, in which requests in
//! time ask for all of its capacity and refused callers come back late.

use std::time::Duration;

use ids::Timestamp;

/// Half-life of an arrival in the estimate of the demand. Load may double within a second.
const DEMAND_HALF_LIFE: Duration = Duration::from_millis(700);
/// Half-life of a refused caller that has not returned: callers wait for a few seconds.
const RETURN_HALF_LIFE: Duration = Duration::from_secs(3);
/// Minimum fraction of the capacity that late requests are expected to get while requests in time
/// ask for just all of it: now and then none of these waits.
const MIN_SPARE_SHARE: f64 = 0.1;
/// Maximum Retry-After; a longer time says nothing, as the load changes within seconds.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);

/// A sum of events that decays exponentially.
#[derive(Debug, Clone, Copy)]
struct DecayingSum {
    half_life: Duration,
    sum: f64,
    updated_at: Timestamp,
}

impl DecayingSum {
    const fn new(half_life: Duration) -> Self {
        Self {
            half_life,
            sum: 0.0,
            updated_at: Timestamp::ZERO,
        }
    }

    fn at(&self, now: Timestamp) -> f64 {
        let age = now.since(self.updated_at).as_secs_f64();
        self.sum * (-age / self.half_life.as_secs_f64()).exp2()
    }

    fn add(&mut self, now: Timestamp, amount: f64) {
        self.sum = (self.at(now) + amount).max(0.0);
        self.updated_at = now;
    }

    /// Returns the events per second.
    fn rate(&self, now: Timestamp) -> f64 {
        self.at(now) * self.weight()
    }

    /// Returns the events per second less the standard deviation of that estimate if events occur
    /// independently of each other.
    fn lower_rate(&self, now: Timestamp) -> f64 {
        let rate = self.rate(now);
        (rate - (rate * self.weight() / 2.0).sqrt()).max(0.0)
    }

    /// Returns the rate that one event stands for when it occurs.
    fn weight(&self) -> f64 {
        std::f64::consts::LN_2 / self.half_life.as_secs_f64()
    }
}

/// Demand at one upstream.
#[derive(Debug)]
pub(crate) struct Demand {
    /// Arrivals that an idle upstream could answer in time.
    in_time: DecayingSum,
    /// Permits granted to late requests.
    late_grants: DecayingSum,
    /// Refused callers that have not returned yet.
    returning: DecayingSum,
}

impl Default for Demand {
    fn default() -> Self {
        Self {
            in_time: DecayingSum::new(DEMAND_HALF_LIFE),
            late_grants: DecayingSum::new(DEMAND_HALF_LIFE),
            returning: DecayingSum::new(RETURN_HALF_LIFE),
        }
    }
}

impl Demand {
    /// Records a request that an idle upstream could answer in time.
    pub(crate) fn record_in_time(&mut self, now: Timestamp) {
        self.in_time.add(now, 1.0);
    }

    /// Records a request that is late already: a refused caller has returned.
    pub(crate) fn record_late(&mut self, now: Timestamp) {
        self.returning.add(now, -1.0);
    }

    /// Records that a late request was granted a permit.
    pub(crate) fn record_late_grant(&mut self, now: Timestamp) {
        self.late_grants.add(now, 1.0);
    }

    /// Returns the requests in time as a fraction of `capacity`, in requests a second.
    pub(crate) fn utilization(&self, now: Timestamp, capacity: f64) -> f64 {
        self.in_time.rate(now) / capacity
    }

    /// Returns the requests a second that late requests can expect to get of `capacity`.
    ///
    /// A few arrivals at short intervals are no overload, so the demand is estimated low. Requests
    /// in time may leave more than that, as those that would come too late are not served; what late
    /// requests got lately shows it.
    pub(crate) fn spare_capacity(&self, now: Timestamp, capacity: f64) -> f64 {
        let claimed = self.in_time.lower_rate(now);
        let utilization = (claimed / capacity).max(1.0);
        let least = capacity * MIN_SPARE_SHARE / utilization.powi(2);
        (capacity - claimed)
            .max(self.late_grants.rate(now))
            .max(least)
    }

    /// Records a refused caller and returns after what time it should return: when the callers that
    /// were refused before it have been served from the spare capacity.
    pub(crate) fn schedule_return(&mut self, now: Timestamp, capacity: f64) -> Duration {
        self.returning.add(now, 1.0);
        let until_served = self.returning.at(now) / self.spare_capacity(now, capacity);
        Duration::from_secs_f64(until_served.min(MAX_RETRY_AFTER.as_secs_f64()))
    }
}
