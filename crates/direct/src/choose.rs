//! Selects the upstream for a request that any upstream of its entry may run.
//!
//! The upstream with the shortest expected time is selected. An upstream in another failure domain
//! has to be faster by a fraction of the objective, because traffic between domains is paid for.

use std::time::Duration;

use ids::Timestamp;

use crate::load::{LoadSettings, UpstreamLoad};

/// Settings of [`choose`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ChooseSettings {
    /// Fraction of the objective by which an upstream in another failure domain has to be faster.
    ///
    /// At three fifths, a tenth of the bodies of entries without keys crosses domains; at a fifth,
    /// a quarter does. One answer in a hundred is late that would not be otherwise. A higher value
    /// saves nothing more.
    pub remote_penalty: f64,
    /// Fraction of the objective by which an upstream without an idle connection has to be faster.
    ///
    /// Opening a connection costs the upstream a millisecond of a slot. A host that uses few
    /// upstreams also has more recent reports of their load.
    pub connect_penalty: f64,
    /// Multiple of its expected time that is added for an upstream that always fails.
    pub failure_penalty: f64,
    /// Maximum occupancy: known requests at an upstream for each of its slots.
    ///
    /// Upstreams queue four requests a slot and close connections beyond that. The estimate of the
    /// other hosts' requests is off by about one a slot.
    pub max_occupancy: f64,
    /// Fraction of `max_occupancy` that is reserved for more urgent requests at an upstream that
    /// gets requests of several priorities.
    ///
    /// At twice the load, a quarter of it urgent, nine tenths of the urgent requests are served
    /// instead of half of them, and as many requests as before in total.
    pub reserved_for_urgent: f64,
    /// Fraction of the objective within which a queued request must be expected to be answered.
    ///
    /// At twice the load, upstreams are as busy with a short queue as with a long one, but 95 % of
    /// the answers are in time instead of a fifth to a third.
    pub objective_fraction: f64,
    /// Occupancy below which a request is always admitted: a queue that keeps the slots busy
    /// between two decisions.
    pub always_admit_below: f64,
}

impl Default for ChooseSettings {
    fn default() -> Self {
        Self {
            remote_penalty: 0.6,
            connect_penalty: 0.05,
            failure_penalty: 4.0,
            max_occupancy: 3.5,
            reserved_for_urgent: 0.25,
            objective_fraction: 0.9,
            always_admit_below: 1.5,
        }
    }
}

impl ChooseSettings {
    /// Returns whether a request may go to an upstream with this occupancy that is expected
    /// to answer after `expected_time` seconds.
    #[must_use]
    pub fn admits(&self, occupancy: f64, expected_time: f64, needs: &RequestNeeds) -> bool {
        let fraction = match needs.priority {
            Priority::Equal | Priority::Urgent => 1.0,
            Priority::Lower => 1.0 - self.reserved_for_urgent,
        };
        // Less urgent requests that came first don't keep an urgent one out.
        let max_expected = needs.objective.as_secs_f64() * self.objective_fraction * fraction;
        let may_wait = needs.priority == Priority::Urgent || expected_time <= max_expected;
        occupancy < self.always_admit_below
            || (occupancy < self.max_occupancy * fraction && may_wait)
    }
}

/// An upstream that may get the request.
#[derive(Debug, Clone, Copy)]
pub struct Candidate<'a, K> {
    /// Identifies the upstream to the caller of [`choose`].
    pub key: K,
    /// What this host knows of its load.
    pub load: &'a UpstreamLoad,
    /// Whether it is in another failure domain than this host.
    pub is_remote: bool,
    /// Whether it is cold, and therefore slow.
    pub is_cold: bool,
    /// Whether this host has an idle connection to it.
    pub is_connected: bool,
}

impl<K> Candidate<'_, K> {
    /// Returns the score of the upstream if it is expected to answer after `expected_time` seconds:
    /// that time, and what is added where it fails, is remote or is not connected. The lowest one is
    /// the best.
    #[must_use]
    pub fn score(
        &self,
        now: Timestamp,
        expected_time: f64,
        objective: Duration,
        load: &LoadSettings,
        cfg: &ChooseSettings,
    ) -> f64 {
        let failure_probability = self.load.failure_probability(now, load);
        let penalty = |applies: bool, fraction: f64| {
            f64::from(u8::from(applies)) * objective.as_secs_f64() * fraction
        };
        expected_time * (1.0 + cfg.failure_penalty * failure_probability)
            + penalty(self.is_remote, cfg.remote_penalty)
            + penalty(!self.is_connected, cfg.connect_penalty)
    }
}

/// Result of [`choose`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Choice<K> {
    /// This upstream; its answer is expected after so many seconds.
    Chosen {
        /// Identifies the upstream to the caller of [`choose`].
        key: K,
        /// Seconds until the answer.
        expected_time: f64,
    },
    /// All upstreams are full; one of them is expected to have a free slot after so many seconds.
    Full {
        /// Seconds until a slot may be free.
        retry_after: f64,
    },
    /// No upstream can get the request.
    None,
}

/// Priority of a request among those that go to the same upstreams.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Priority {
    /// All requests have the same priority.
    Equal,
    /// No request is more urgent, and some are less urgent.
    Urgent,
    /// Some requests are more urgent.
    Lower,
}

/// Properties of the request that an upstream is chosen for.
#[derive(Debug, Clone, Copy)]
pub struct RequestNeeds {
    /// Time within which the answer should come.
    pub objective: Duration,
    /// The entry's mean service time, in seconds.
    pub entry_service_time: f64,
    /// Its priority.
    pub priority: Priority,
}

/// Chooses one of `candidates`.
///
/// Upstreams that can't be reached at the moment are chosen only if there are no others. Cold ones
/// without a free slot are never chosen.
pub fn choose<'a, K: Copy>(
    now: Timestamp,
    needs: RequestNeeds,
    candidates: impl Iterator<Item = Candidate<'a, K>>,
    load: &LoadSettings,
    cfg: &ChooseSettings,
) -> Choice<K> {
    let RequestNeeds {
        objective,
        entry_service_time,
        ..
    } = needs;
    let mut best: Option<(bool, f64, K, f64)> = None;
    let mut retry_after = f64::INFINITY;
    for c in candidates {
        let suspended_for = c.load.suspended_for(now);
        if !suspended_for.is_zero() {
            retry_after = retry_after.min(suspended_for.as_secs_f64());
            continue;
        }
        let mut expected_time = c.load.expected_time(now, entry_service_time, load);
        if c.is_cold {
            expected_time *= load.cold_factor;
        }
        if !cfg.admits(c.load.occupancy(now, load), expected_time, &needs) {
            retry_after = retry_after.min(c.load.service_time().unwrap_or(entry_service_time));
            continue;
        }
        let score = c.score(now, expected_time, objective, load, cfg);
        let is_unreachable = c.load.is_in_backoff(now);
        let is_better = best.is_none_or(|(best_unreachable, best_score, ..)| {
            (is_unreachable, score) < (best_unreachable, best_score)
        });
        if is_better {
            best = Some((is_unreachable, score, c.key, expected_time));
        }
    }
    match best {
        Some((_, _, key, expected_time)) => Choice::Chosen { key, expected_time },
        None if retry_after.is_finite() => Choice::Full { retry_after },
        None => Choice::None,
    }
}
