//! Where a try of a request goes.

use std::time::Duration;

use direct::{
    Candidate, Choice, ColdStart, PermitRequest, PermitSettings, Registration, RequestNeeds,
    RetryState, UpstreamLoad, choose,
};
use ids::{BootClock, Clock, EntryId, Reason, Timestamp, UpstreamId};
use rand::Rng;

use super::reply::{COME_BACK, KEY_COME_BACK, Refused, come_back, not_before, truthful};
use super::{Forwarder, Job, USUAL_SERVICE};
use crate::permits::Admission;
use crate::view::View;

/// Pause between looks for the owner of a key that is moving.
const OWNER_PAUSE: Duration = Duration::from_millis(50);
/// The same while it is known when the key gets its owner: the wait ends with the word that it has.
pub(super) const MOVE_PAUSE: Duration = Duration::from_millis(15);
/// Part of the objective for which a request waits for its key's owner.
///
/// A planned move takes less than a service time. Whoever waits longer meets a loss, which takes
/// seconds, and is better told to come back.
const OWNER_WAIT: f64 = 0.5;

/// When callers should come back to an upstream whose permits nobody hands out, at the latest.
const ALONE_COME_BACK: Duration = Duration::from_millis(1_500);

/// Most upstreams that are asked for a permit for one request which any of them may run; the best
/// one by what this host knows then gets it without.
///
/// Two choices bring most of what knowing all queues would.
const ASKED_MAX: usize = 2;

/// Upstreams that a request is not sent to.
#[derive(Debug, Default)]
pub(super) struct PassedOver {
    failed: Vec<UpstreamId>,
    full: Vec<UpstreamId>,
    asks_no_more: bool,
}

impl PassedOver {
    /// Notes an upstream at which a try failed.
    pub(super) fn failed(&mut self, id: UpstreamId) {
        self.failed.push(id);
    }

    /// Notes an upstream that has no permit to give.
    pub(super) fn full(&mut self, id: UpstreamId) {
        self.full.push(id);
        if self.full.len() >= ASKED_MAX {
            self.forget_full();
        }
    }

    /// Lets those that have no permit to give be chosen again, without asking; tells whether there
    /// were any.
    pub(super) fn forget_full(&mut self) -> bool {
        self.asks_no_more = true;
        !std::mem::take(&mut self.full).is_empty()
    }

    /// Tells whether another upstream may be asked for a permit.
    pub(super) const fn may_ask(&self) -> bool {
        !self.asks_no_more
    }

    fn contains(&self, id: &UpstreamId) -> bool {
        self.failed.contains(id) || self.full.contains(id)
    }
}

/// Where a try goes.
pub(super) enum Pick {
    To(Registration),
    /// The key's owner is not known or not reachable now, which may change soon.
    Wait,
    /// The key gets its owner soon enough.
    WaitForMove,
    /// Nobody gets it; the upstream that it would have gone to, if there is one.
    Refuse(Refused, Option<Registration>),
}

impl Forwarder {
    pub(super) fn pick(&self, view: &View, job: &Job, passed: &PassedOver, now: Timestamp) -> Pick {
        if job.is_divided {
            return self.pick_owner(view, job, now);
        }
        let usual = self.usual(&job.entry);
        let mut loads = self.loads.borrow_mut();
        let mut fresh = view.roster.ready(&job.entry);
        for up in &fresh {
            if !loads.contains_key(&up.id) {
                loads.insert(up.id.clone(), UpstreamLoad::new(up.slots));
            }
        }
        fresh.retain(|u| !passed.contains(&u.id));
        if !fresh.is_empty() {
            // Hosts that know nothing of the upstreams must not all begin with the same one.
            let begin = rand::rng().random_range(0..fresh.len());
            fresh.rotate_left(begin);
        }
        let candidates = fresh.into_iter().filter_map(|up| {
            Some(Candidate {
                key: up,
                load: loads.get(&up.id)?,
                is_remote: up.domain != self.domain,
                is_cold: now < up.cold_until,
                is_connected: self.connections.has(now, &up.id),
            })
        });
        let wanted = wanted(job, usual);
        let (load, cfg) = (&self.load_cfg, &self.choose_cfg);
        match choose(now, wanted, candidates, load, cfg) {
            Choice::Chosen { key, expected_time } => {
                let left = job.deadline.since(now).as_secs_f64();
                if expected_time > left {
                    let over = Duration::from_secs_f64(expected_time - left);
                    let refused = come_back(Reason::DeadlineTooShort, over);
                    return Pick::Refuse(refused, Some(key.clone()));
                }
                Pick::To(key.clone())
            }
            Choice::Full { retry_after } => {
                let retry_after = Duration::from_secs_f64(retry_after);
                Pick::Refuse(come_back(Reason::QueueFull, retry_after), None)
            }
            Choice::None => Pick::Refuse(come_back(Reason::NoUpstream, COME_BACK), None),
        }
    }

    pub(super) fn pick_owner(&self, view: &View, job: &Job, now: Timestamp) -> Pick {
        let owners = view.owners.get(&job.entry);
        let Some(piece) = job.asked.key.and_then(|key| owners?.range_owner(key)) else {
            // Nobody was ever given it, which takes longer than a caller is held for.
            return Pick::Refuse(come_back(Reason::NoOwner, KEY_COME_BACK), None);
        };
        if let Some(until) = piece.unserved_until
            && now < until
        {
            return self.wait_for_move(job, until.since(now), now);
        }
        let up = view.roster.get(&piece.owner);
        let Some(up) = up.filter(|up| up.entry == job.entry) else {
            return Pick::Wait;
        };
        if !view.roster.serves_owned_keys(up, now) {
            // The key can't move: nobody is left who could take it, or nobody could know that it did.
            if view.is_store_away {
                return Pick::Refuse(come_back(Reason::NoOwner, KEY_COME_BACK), None);
            }
            if view.roster.ready(&job.entry).is_empty() {
                return Pick::Refuse(come_back(Reason::NoUpstream, COME_BACK), None);
            }
            return Pick::Wait;
        }
        // Nobody else may run it, and asking again would not change the upstream's mind.
        let wants_none_for = self.with_load(up, |load| load.paused_for(now));
        if !wants_none_for.is_zero() {
            let refused = not_before(Reason::QueueFull, wants_none_for);
            return Pick::Refuse(refused, Some(up.clone()));
        }
        if self.with_load(up, |load| load.is_in_backoff(now)) {
            return Pick::Wait;
        }
        Pick::To(up.clone())
    }

    /// Decides on a request whose key gets its owner in about `wait`.
    fn wait_for_move(&self, job: &Job, wait: Duration, now: Timestamp) -> Pick {
        let answered = wait.as_secs_f64() + self.usual(&job.entry);
        if answered > job.deadline.since(now).as_secs_f64() {
            return Pick::Refuse(come_back(Reason::NoOwner, wait), None);
        }
        Pick::WaitForMove
    }

    /// Asks whether a request may go to `target`; one on a key waits for its turn there.
    pub(super) async fn admit(&self, view: &View, job: &Job, target: &Registration) -> Admission {
        let now = BootClock.now();
        let usual = Duration::from_secs_f64(self.usual(&job.entry));
        let cold = self.cold_start(job, target, now);
        let is_cold = cold.is_some_and(|cold| !cold.remaining.is_zero());
        let limit = self.with_load(target, |load| load.limit());
        let is_bounded = is_cold || limit.per_s().is_some();
        if usual < PermitSettings::default().min_service_time && !is_bounded {
            return self.admit_by_own_view(job, target, now);
        }
        let spent = job.asked_before + now.since(job.arrived);
        let wanted = PermitRequest {
            priority: job.rank,
            until_objective: job.route.objective.saturating_sub(spent),
            until_deadline: job.deadline.since(now),
            entry_service_time: usual,
            may_wait: job.is_divided,
            cold,
            limit,
            skipped_hosts: 0,
        };
        match self.permits.admit(view, target, &wanted).await {
            Admission::Unknown => match limit.rate_without_permits(view.hosts) {
                Some(per_s) => self.admit_alone(target, per_s),
                None => self.admit_by_own_view(job, target, now),
            },
            Admission::Paced { room_in, limit } => {
                let limit = limit.unwrap_or_default();
                self.with_load(target, |load| load.merge_limit(limit));
                Admission::Paced {
                    room_in,
                    limit: Some(limit),
                }
            }
            known => known,
        }
    }

    /// Decides whether a request may go to an upstream that limits its requests and whose permits nobody hands out;
    /// this host sends `per_s` a second of those.
    fn admit_alone(&self, target: &Registration, per_s: f64) -> Admission {
        let part = rand::rng().random_range(0.0..1.0);
        let now = BootClock.now();
        let room_in = self.with_load(target, |load| load.delay_without_permit(now, per_s, part));
        if room_in.is_zero() {
            return Admission::Unknown;
        }
        Admission::Paced {
            // The host that hands out permits is back, or has been replaced, sooner than that.
            room_in: room_in.min(ALONE_COME_BACK),
            limit: None,
        }
    }

    /// Returns what `target` bears while it is cold, and how long it is.
    fn cold_start(&self, job: &Job, target: &Registration, now: Timestamp) -> Option<ColdStart> {
        job.warmup.map(|warmup| ColdStart {
            max_starts_per_s: warmup.max_starts_per_s(&self.warmup),
            duration: warmup.duration,
            remaining: target.cold_until.since(now),
        })
    }

    /// Decides by what this host alone knows whether a request on a key may go to its owner; where a
    /// request may go to several upstreams, the choice among them has decided.
    fn admit_by_own_view(&self, job: &Job, target: &Registration, now: Timestamp) -> Admission {
        let full = job
            .is_divided
            .then(|| self.full_by_own_view(job, target, now));
        match full.flatten() {
            Some(room_in) => Admission::Full { room_in },
            None => Admission::Unknown,
        }
    }

    /// Returns when an owner has room that has none by what this host knows of it.
    fn full_by_own_view(
        &self,
        job: &Job,
        owner: &Registration,
        now: Timestamp,
    ) -> Option<Duration> {
        let usual = self.usual(&job.entry);
        let left = job.deadline.since(now).as_secs_f64();
        self.with_load(owner, |load| {
            let expected = load.expected_time(now, usual, &self.load_cfg);
            let crowd = load.occupancy(now, &self.load_cfg);
            let is_admitted = self.choose_cfg.admits(crowd, expected, &wanted(job, usual));
            let is_full = !is_admitted || expected > left;
            is_full.then(|| Duration::from_secs_f64(load.service_time().unwrap_or(usual)))
        })
    }

    pub(super) async fn wait_for_owner(
        &self,
        job: &Job,
        tries: &RetryState,
        now: Timestamp,
    ) -> Result<(), Refused> {
        let waited = now.since(job.arrived);
        if waited > job.route.objective.mul_f64(OWNER_WAIT) {
            return Err(truthful(come_back(Reason::NoOwner, KEY_COME_BACK), tries));
        }
        tokio::time::sleep(OWNER_PAUSE).await;
        Ok(())
    }

    pub(super) fn usual(&self, entry: &EntryId) -> f64 {
        let entries = self.entries.borrow();
        entries.get(entry).map_or(USUAL_SERVICE, |e| e.service)
    }
}

fn wanted(job: &Job, entry_service_time: f64) -> RequestNeeds {
    RequestNeeds {
        objective: job.route.objective,
        entry_service_time,
        priority: job.rank,
    }
}
