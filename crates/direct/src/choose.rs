//! Which upstream gets a request that any upstream of its entry may run.
//!
//! The one expected to answer first wins, but an upstream of another failure domain has to be
//! faster by a part of the objective, as traffic between domains is paid for.

use std::time::Duration;

use ids::Timestamp;

use crate::load::{LoadSettings, UpstreamLoad};

/// Settings of [`choose`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ChooseSettings {
    /// Part of the objective by which a remote upstream has to be faster.
    ///
    /// At three fifths a tenth of the bodies of entries without keys cross domains, at a fifth a
    /// quarter, and one answer in a hundred is late that was not. Beyond that nothing is saved.
    pub remote_price: f64,
    /// Part of the objective by which an upstream without a connection at rest has to be faster.
    ///
    /// Opening one costs the upstream a millisecond of a slot; a host that keeps to a few upstreams
    /// also knows their load better.
    pub connect_price: f64,
    /// How many times its expected time an upstream that always fails counts as slower.
    pub failing_price: f64,
    /// Most requests at an upstream for each of its slots, by what is known.
    ///
    /// Upstreams queue four requests a slot and break connections beyond that; the estimate of
    /// the other hosts' requests is off by about one a slot.
    pub crowd_max: f64,
    /// Part of `crowd_max` that is kept for more urgent requests at an upstream that gets both.
    ///
    /// At twice the load, a quarter of it urgent, nine tenths of the urgent requests are served in
    /// place of half of them, and as many requests as before in all.
    pub kept_for_urgent: f64,
    /// Part of its objective within which a request that has to wait must be expected to be answered.
    ///
    /// At twice the load upstreams are as busy with a short queue as with a long one, but 95 % of the
    /// answers are in time in place of a fifth to a third.
    pub objective_part: f64,
    /// Requests at an upstream for each of its slots up to which a further one always goes there: a
    /// queue that keeps the slots busy between two looks.
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
    /// Tells whether a request may go to an upstream that has `crowd` requests for each of its slots
    /// and is `expected` to answer after so many seconds.
    #[must_use]
    pub fn admits(&self, crowd: f64, expected: f64, wanted: &Wanted) -> bool {
        let part = match wanted.rank {
            Rank::Alone | Rank::Urgent => 1.0,
            Rank::Outranked => 1.0 - self.kept_for_urgent,
        };
        // Urgent ones are not kept out by less urgent ones that came first.
        let in_time = wanted.objective.as_secs_f64() * self.objective_part * part;
        let may_wait = wanted.rank == Rank::Urgent || expected <= in_time;
        crowd < self.crowd_min || (crowd < self.crowd_max * part && may_wait)
    }
}

/// An upstream that may get the request.
#[derive(Debug, Clone, Copy)]
pub struct Candidate<'a, K> {
    /// What names it to the asker.
    pub key: K,
    /// What is believed of it.
    pub load: &'a UpstreamLoad,
    /// Whether it lies in another failure domain than the asking host.
    pub is_remote: bool,
    /// Whether it is slow after its start.
    pub is_cold: bool,
    /// Whether the asking host has a connection to it at rest.
    pub is_connected: bool,
}

/// What became of a choice.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Choice<K> {
    /// This one; its answer is expected after so many seconds.
    Chosen {
        /// What names it to the asker.
        key: K,
        /// Seconds until the answer.
        expected: f64,
    },
    /// All have as many requests as they may; one has room again after about so many seconds.
    Full {
        /// Seconds until there may be room.
        room_in: f64,
    },
    /// There is no upstream that could be asked.
    None,
}

/// How urgent a request is among those that go to the same upstreams.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rank {
    /// All are as urgent.
    Alone,
    /// None is more urgent, and some are less.
    Urgent,
    /// Some are more urgent.
    Outranked,
}

/// What is chosen for.
#[derive(Debug, Clone, Copy)]
pub struct Wanted {
    /// Time within which the answer should come.
    pub objective: Duration,
    /// The entry's mean service time, in seconds.
    pub usual: f64,
    /// How urgent it is.
    pub rank: Rank,
}

/// Chooses among `candidates`.
///
/// Those that can't be reached at the moment are chosen only if there are no others; cold ones that have no
/// room never are.
pub fn choose<'a, K: Copy>(
    now: Timestamp,
    wanted: Wanted,
    candidates: impl Iterator<Item = Candidate<'a, K>>,
    load: &LoadSettings,
    cfg: &ChooseSettings,
) -> Choice<K> {
    let Wanted {
        objective, usual, ..
    } = wanted;
    let remote = objective.as_secs_f64() * cfg.remote_price;
    let connect = objective.as_secs_f64() * cfg.connect_price;
    let mut best: Option<(bool, f64, K, f64)> = None;
    let mut room_in = f64::INFINITY;
    for c in candidates {
        let held_back = c.load.held_back(now);
        if !held_back.is_zero() {
            room_in = room_in.min(held_back.as_secs_f64());
            continue;
        }
        let mut expected = c.load.expected(now, usual, load);
        if c.is_cold {
            expected *= load.cold_factor;
        }
        if !cfg.admits(c.load.crowd(now, load), expected, &wanted) {
            room_in = room_in.min(c.load.service().unwrap_or(usual));
            continue;
        }
        let price = 1.0 + cfg.failing_price * c.load.failing(now, load);
        let mut score = expected * price;
        if c.is_remote {
            score += remote;
        }
        if !c.is_connected {
            score += connect;
        }
        let closed = c.load.is_closed(now);
        let better =
            best.is_none_or(|(b_closed, b_score, ..)| (closed, score) < (b_closed, b_score));
        if better {
            best = Some((closed, score, c.key, expected));
        }
    }
    match best {
        Some((_, _, key, expected)) => Choice::Chosen { key, expected },
        None if room_in.is_finite() => Choice::Full { room_in },
        None => Choice::None,
    }
}
