//! Reserves capacity for a request that any upstream of its entry may run.
//!
//! Many hosts that send to a full upstream by their own estimates overfill it, and it closes
//! connections. A request that is not idempotent then ends with an unknown outcome. It is therefore
//! sent with a permit only: two upstreams are asked, and if both are full, it is queued at the one
//! that is expected to be free first. What the host knows of its own way to an upstream counts in
//! that as in the [choice](crate::choose::choose) without permits. If no permit host replies, a host sends such requests within
//! its [share](HostShare) of the entry.
//!
//! An idempotent request that gets no permit goes to the best upstream by the host's estimate.

use std::time::Duration;

/// Number of upstreams that are asked for a permit for one request.
///
/// Two choices bring most of the benefit of knowing all queues.
const MAX_ASKED: usize = 2;

/// What to do next with a request; `K` identifies an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step<K> {
    /// Ask the best upstream that was [not asked](Reservation::was_asked) yet for a permit, without
    /// queueing.
    Ask,
    /// Ask this upstream for a permit, and queue the request there if none is free.
    Queue(K),
    /// Send the request to this upstream without a permit.
    SendTo(K),
    /// Send it without a permit to the best upstream by the host's estimate, preferably to one that
    /// has not refused a permit as full within its last service time.
    SendToBest,
    /// Send it without a permit if the host's share of the entry has room.
    SendInShare {
        /// The upstream, if it has a rate limit that allows the host this request; otherwise one is
        /// drawn at random among those that the host's estimate admits.
        upstream: Option<K>,
    },
    /// Refuse it: it has not run, and no capacity could be reserved.
    Refuse {
        /// Time until a slot is expected to be free.
        retry_after: Duration,
    },
}

/// Result of asking an upstream for a permit that was not granted.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum PermitRefusal {
    /// The upstream is full.
    Full {
        /// Time until a slot is expected to be free.
        retry_after: Duration,
        /// The upstream's [score](crate::choose::Candidate::score) if the request is queued there.
        score: f64,
    },
    /// The upstream takes no request now: it is cold, has a rate limit, or has left.
    Unavailable,
    /// No permit host replied.
    Silent,
    /// No permit host replied, and the upstream has a rate limit that allows this host a request
    /// without a permit.
    SilentWithinLimit,
}

/// Reservation of capacity for one request.
#[derive(Debug, Clone)]
pub struct Reservation<K> {
    is_idempotent: bool,
    /// Upstreams that refused a permit as full, with their scores if the request is queued there.
    full: Vec<(K, f64)>,
    /// Upstreams for which no permit host replied.
    silent: Vec<K>,
    /// Earliest time until a slot is free at the upstreams that did not queue the request.
    retry_after: Option<Duration>,
    step: Step<K>,
}

impl<K: Clone + PartialEq> Reservation<K> {
    /// Creates the reservation for a request.
    #[must_use]
    pub const fn new(is_idempotent: bool) -> Self {
        Self {
            is_idempotent,
            full: Vec::new(),
            silent: Vec::new(),
            retry_after: None,
            step: Step::Ask,
        }
    }

    /// Returns what to do next.
    #[must_use]
    pub const fn step(&self) -> &Step<K> {
        &self.step
    }

    /// Returns whether `upstream` was asked for a permit in this attempt and granted none.
    #[must_use]
    pub fn was_asked(&self, upstream: &K) -> bool {
        self.full.iter().any(|(k, _)| k == upstream) || self.silent.contains(upstream)
    }

    /// Records that `upstream` granted no permit.
    ///
    /// The upstream of [`PermitRefusal::Unavailable`] has to be excluded from further steps by the
    /// caller.
    pub fn refused(&mut self, upstream: K, refusal: PermitRefusal) {
        match refusal {
            PermitRefusal::Full { retry_after, .. } if self.is_queueing_at(&upstream) => {
                self.queue_elsewhere(&upstream, retry_after);
            }
            PermitRefusal::Full { score, .. } => {
                self.full.push((upstream, score));
                self.decide_once_asked();
            }
            PermitRefusal::Unavailable => self.give_up(&upstream),
            PermitRefusal::Silent | PermitRefusal::SilentWithinLimit if self.is_idempotent => {
                self.step = Step::SendTo(upstream);
            }
            PermitRefusal::SilentWithinLimit => {
                let upstream = Some(upstream);
                self.step = Step::SendInShare { upstream };
            }
            PermitRefusal::Silent => {
                self.silent.push(upstream.clone());
                self.give_up(&upstream);
                self.decide_once_asked();
            }
        }
    }

    /// Returns whether a request that is not idempotent is better queued at an upstream that was
    /// asked than granted a permit at another one with this `score`.
    #[must_use]
    pub fn prefers_queue(&self, score: f64) -> bool {
        !self.is_idempotent && self.full.iter().any(|&(_, queued)| queued <= score)
    }

    /// Records that no further upstream is to be asked; returns whether there is another step.
    pub fn exhausted(&mut self) -> bool {
        let has_asked = !self.full.is_empty() || !self.silent.is_empty();
        if self.step != Step::Ask || !has_asked {
            return false;
        }
        self.decide();
        true
    }

    /// Prepares for the next attempt after a failed one. A request that is not idempotent needs
    /// another permit.
    pub fn begin_attempt(&mut self) {
        if !self.is_idempotent {
            self.full.clear();
            self.silent.clear();
            self.retry_after = None;
        }
        self.step = Step::Ask;
        self.decide_once_asked();
    }

    fn is_queueing_at(&self, upstream: &K) -> bool {
        matches!(&self.step, Step::Queue(at) if at == upstream)
    }

    /// Queues the request at another full upstream, as `upstream` can't answer it in its time; refuses
    /// it if that was the last one.
    fn queue_elsewhere(&mut self, upstream: &K, retry_after: Duration) {
        let earliest = self.retry_after.map_or(retry_after, |t| t.min(retry_after));
        self.retry_after = Some(earliest);
        self.full.retain(|(k, _)| k != upstream);
        if self.full.is_empty() {
            let retry_after = earliest;
            self.step = Step::Refuse { retry_after };
        } else {
            self.decide();
        }
    }

    /// Decides again if the request was to go to `upstream`.
    fn give_up(&mut self, upstream: &K) {
        let target = match &self.step {
            Step::Queue(target) | Step::SendTo(target) => Some(target),
            Step::SendInShare { upstream } => upstream.as_ref(),
            Step::Ask | Step::SendToBest | Step::Refuse { .. } => None,
        };
        if target == Some(upstream) {
            self.full.retain(|(k, _)| k != upstream);
            self.decide();
        }
    }

    fn decide_once_asked(&mut self) {
        if self.step == Step::Ask && self.full.len() + self.silent.len() >= MAX_ASKED {
            self.decide();
        }
    }

    fn decide(&mut self) {
        // Of several with the same score, `min_by` returns the one that was asked first.
        let best = self.full.iter().min_by(|a, b| a.1.total_cmp(&b.1));
        self.step = match best {
            Some(_) if self.is_idempotent => Step::SendToBest,
            Some((upstream, _)) => Step::Queue(upstream.clone()),
            None if self.silent.is_empty() => Step::Ask,
            None => Step::SendInShare { upstream: None },
        };
    }
}

/// Requests of this host that must not run twice and are in progress without a permit at an entry.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct HostShare {
    in_progress: u32,
}

impl HostShare {
    /// Returns the maximum number of such requests for each of `hosts` hosts, if the upstreams of
    /// the entry have `slots` in total.
    ///
    /// It is at least one, so that the total may exceed the slots if there are more hosts than
    /// slots: with a share of zero, nothing would be served for as long as no permit host replies.
    #[must_use]
    pub fn max_in_progress(slots: u32, hosts: usize) -> u32 {
        let hosts = u32::try_from(hosts).unwrap_or(u32::MAX);
        (slots / hosts.max(1)).max(1)
    }

    /// Counts a request unless the share is used up; returns whether the request was counted.
    pub fn enter(&mut self, slots: u32, hosts: usize) -> bool {
        let has_room = self.in_progress < Self::max_in_progress(slots, hosts);
        self.in_progress += u32::from(has_room);
        has_room
    }

    /// Records the end of a request that was counted.
    pub fn leave(&mut self) {
        debug_assert!(self.in_progress > 0, "each request ends once");
        self.in_progress = self.in_progress.saturating_sub(1);
    }
}
