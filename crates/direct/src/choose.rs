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
    pub remote_price: f64,
    /// Fraction of the objective by which an upstream without an idle connection has to be faster.
    ///
    /// Opening a connection costs the upstream a millisecond of a slot. A host that uses few
    /// upstreams also has more recent reports of their load.
    pub connect_price: f64,
    /// Multiple of its expected time that is added for an upstream that always fails.
    pub failing_price: f64,
    /// Maximum occupancy: known requests at an upstream for each of its slots.
    ///
    /// Upstreams queue four requests a slot and close connections beyond that. The estimate of the
    /// other hosts' requests is off by about one a slot.
    pub crowd_max: f64,
    /// Fraction of `crowd_max` that is reserved for more urgent requests at an upstream that gets
    /// requests of several priorities.
    ///
    /// At twice the load, a quarter of it urgent, nine tenths of the urgent requests are served
    /// instead of half of them, and as many requests as before in total.
    pub kept_for_urgent: f64,
    /// Fraction of the objective within which a queued request must be expected to be answered.
    ///
    /// At twice the load, upstreams are as busy with a short queue as with a long one, but 95 % of
    /// the answers are in time instead of a fifth to a third.
    pub objective_part: f64,
    /// Occupancy below which a request is always admitted: a queue that keeps the slots busy
    /// between two decisions.
    pub crowd_min: f64,
}

impl Default for ChooseSettings {
    fn default() -> Self {
        Self {
            remote_price: 0.6,
            connect_price: 0.05,
            failing_price: 4.0,
            crowd_max: 3.5,
            kept_for_urgent: 0.25,
            objective_part: 0.9,
            crowd_min: 1.5,
        }
    }
}

impl ChooseSettings {
    /// Returns whether a request may go to an upstream with the occupancy `crowd` that is
    /// `expected` to answer after so many seconds.
    #[must_use]
    pub fn admits(&self, crowd: f64, expected: f64, needs: &Wanted) -> bool {
        let fraction = match needs.rank {
            Rank::Alone | Rank::Urgent => 1.0,
            Rank::Outranked => 1.0 - self.kept_for_urgent,
        };
        // Less urgent requests that came first don't keep an urgent one out.
        let max_expected = needs.objective.as_secs_f64() * self.objective_part * fraction;
        let may_wait = needs.rank == Rank::Urgent || expected <= max_expected;
        crowd < self.crowd_min || (crowd < self.crowd_max * fraction && may_wait)
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

/// Result of [`choose`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Choice<K> {
    /// This upstream; its answer is expected after so many seconds.
    Chosen {
        /// Identifies the upstream to the caller of [`choose`].
        key: K,
        /// Seconds until the answer.
        expected: f64,
    },
    /// All upstreams are full; one of them is expected to have a free slot after so many seconds.
    Full {
        /// Seconds until a slot may be free.
        room_in: f64,
    },
    /// No upstream can get the request.
    None,
}

/// Priority of a request among those that go to the same upstreams.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rank {
    /// All requests have the same priority.
    Alone,
    /// No request is more urgent, and some are less urgent.
    Urgent,
    /// Some requests are more urgent.
    Outranked,
}

/// Properties of the request that an upstream is chosen for.
#[derive(Debug, Clone, Copy)]
pub struct Wanted {
    /// Time within which the answer should come.
    pub objective: Duration,
    /// The entry's mean service time, in seconds.
    pub usual: f64,
    /// Its priority.
    pub rank: Rank,
}

/// Chooses one of `candidates`.
///
/// Upstreams that can't be reached at the moment are chosen only if there are no others. Cold ones
/// without a free slot are never chosen.
pub fn choose<'a, K: Copy>(
    now: Timestamp,
    needs: Wanted,
    candidates: impl Iterator<Item = Candidate<'a, K>>,
    load: &LoadSettings,
    cfg: &ChooseSettings,
) -> Choice<K> {
    let Wanted {
        objective, usual, ..
    } = needs;
    let remote_penalty = objective.as_secs_f64() * cfg.remote_price;
    let connect_penalty = objective.as_secs_f64() * cfg.connect_price;
    let mut best: Option<(bool, f64, K, f64)> = None;
    let mut room_in = f64::INFINITY;
    for c in candidates {
        let suspended_for = c.load.held_back(now);
        if !suspended_for.is_zero() {
            room_in = room_in.min(suspended_for.as_secs_f64());
            continue;
        }
        let mut expected = c.load.expected(now, usual, load);
        if c.is_cold {
            expected *= load.cold_factor;
        }
        if !cfg.admits(c.load.crowd(now, load), expected, &needs) {
            room_in = room_in.min(c.load.service().unwrap_or(usual));
            continue;
        }
        let failure_factor = 1.0 + cfg.failing_price * c.load.failing(now, load);
        let mut score = expected * failure_factor;
        if c.is_remote {
            score += remote_penalty;
        }
        if !c.is_connected {
            score += connect_penalty;
        }
        let is_unreachable = c.load.is_closed(now);
        let is_better = best.is_none_or(|(best_unreachable, best_score, ..)| {
            (is_unreachable, score) < (best_unreachable, best_score)
        });
        if is_better {
            best = Some((is_unreachable, score, c.key, expected));
        }
    }
    match best {
        Some((_, _, key, expected)) => Choice::Chosen { key, expected },
        None if room_in.is_finite() => Choice::Full { room_in },
        None => Choice::None,
    }
}
