//! Selection of the target of an attempt.

use std::time::Duration;

use direct::{
    Candidate, Choice, ColdStart, LinkState, PermitRequest, PermitSettings, Registration,
    RequestNeeds, RetryState, UpstreamLoad, choose,
};
use gate::counters::Count;
use ids::{BootClock, Clock, EntryId, Reason, Timestamp};
use rand::Rng;

use super::eligibility::PermitStatus;
use super::reply::{
    DEFAULT_RETRY_AFTER, KEY_RETRY_AFTER, Refusal, account_for_attempts, refuse_for_about,
    refuse_for_at_least,
};
use super::{CallerRequest, DEFAULT_SERVICE_TIME, Forwarder};
use crate::permits::Admission;
use crate::view::View;

/// Interval between look-ups of the owner of a key that is moving.
const OWNER_POLL: Duration = Duration::from_millis(50);
/// The same if it is known when the key gets its owner: the wait ends when control publishes the
/// new owner.
pub(super) const MOVE_POLL: Duration = Duration::from_millis(15);
/// Time by which a move may end later than reported.
const MOVE_MARGIN: Duration = Duration::from_millis(250);
/// Fraction of the objective for which a request waits for its key's owner.
///
/// A planned move takes less than a service time. A longer wait means that the owner has failed,
/// which takes seconds to recover from; it is better to refuse the request with a time to retry.
const OWNER_WAIT_FRACTION: f64 = 0.5;

/// Maximum time until a caller should retry at an upstream that has no reachable permit host.
const NO_PERMIT_HOST_RETRY_AFTER: Duration = Duration::from_millis(1_500);

/// Target of an attempt.
pub(super) enum Pick {
    To(Registration),
    /// The key's owner is not known or not reachable now, which may change soon.
    Wait,
    /// The key gets its owner in time for the request.
    WaitForMove,
    /// Another step of the reservation follows.
    Again,
    /// No upstream gets the request; holds the upstream that it would have gone to, if there is
    /// one.
    Refuse(Refusal, Option<Registration>),
}

impl Forwarder {
    /// Selects the best upstream by this host's estimate among those for which `may_get` is true.
    pub(super) fn pick_best(
        &self,
        view: &View,
        request: &CallerRequest,
        may_get: impl Fn(&Registration) -> bool,
        now: Timestamp,
    ) -> Pick {
        let service_time = self.entry_service_time(&request.resolved.entry);
        let mut ready = view.registry.ready(&request.resolved.entry);
        ready.retain(|up| may_get(up));
        let mut loads = self.loads.borrow_mut();
        for up in &ready {
            if !loads.contains_key(&up.id) {
                loads.insert(up.id.clone(), UpstreamLoad::new(up.slots));
            }
        }
        if !ready.is_empty() {
            // Hosts without state of the upstreams must not all start with the same one.
            let offset = rand::rng().random_range(0..ready.len());
            ready.rotate_left(offset);
        }
        let candidates = ready
            .into_iter()
            .filter_map(|up| Some(self.candidate(up, loads.get(&up.id)?, now)));
        let needs = request_needs(request, service_time);
        let (load, cfg) = (&self.load_cfg, &self.choose_cfg);
        match choose(now, needs, candidates, load, cfg) {
            Choice::Chosen { key, expected_time } => {
                let left = request.deadline.since(now).as_secs_f64();
                if expected_time > left {
                    let over = Duration::from_secs_f64(expected_time - left);
                    let refusal = refuse_for_about(Reason::DeadlineTooShort, over);
                    return Pick::Refuse(refusal, Some(key.clone()));
                }
                Pick::To(key.clone())
            }
            Choice::Full { retry_after } => {
                let retry_after = Duration::from_secs_f64(retry_after);
                Pick::Refuse(refuse_for_about(Reason::QueueFull, retry_after), None)
            }
            Choice::None => Pick::Refuse(
                refuse_for_about(Reason::NoUpstream, DEFAULT_RETRY_AFTER),
                None,
            ),
        }
    }

    /// Returns what the choice among upstreams depends on.
    pub(super) fn candidate<'a>(
        &self,
        up: &'a Registration,
        load: &'a UpstreamLoad,
        now: Timestamp,
    ) -> Candidate<'a, &'a Registration> {
        Candidate {
            key: up,
            load,
            is_remote: up.domain != self.domain,
            is_cold: now < up.cold_until,
            is_connected: self.connections.has_idle(now, &up.id),
        }
    }

    /// Selects the owner of the request's key.
    pub(super) fn pick_owner(&self, view: &View, request: &CallerRequest, now: Timestamp) -> Pick {
        let up = match self.serving_owner(view, request, now) {
            Pick::To(up) => up,
            other => return other,
        };
        if !self.with_load(&up, |load| load.is_in_backoff(now)) {
            return Pick::To(up);
        }
        if self.links.state(&up.id) == LinkState::Usable {
            return Pick::Wait;
        }
        // Neither this host nor those that it asked reach the owner now.
        let refusal = refuse_for_about(Reason::NoUpstream, DEFAULT_RETRY_AFTER);
        Pick::Refuse(refusal, Some(up))
    }

    /// Selects the owner of the request's key, whether this host reaches it or not.
    pub(super) fn serving_owner(
        &self,
        view: &View,
        request: &CallerRequest,
        now: Timestamp,
    ) -> Pick {
        let owners = view.owners.get(&request.resolved.entry);
        let Some(range) = request
            .caller_headers
            .key
            .and_then(|key| owners?.range_owner(key))
        else {
            // The key never had an owner; granting it takes longer than a caller waits.
            let refusal = refuse_for_about(Reason::NoOwner, KEY_RETRY_AFTER);
            return Pick::Refuse(refusal, None);
        };
        let up = view.registry.get(&range.owner);
        let up = up.filter(|up| up.entry == request.resolved.entry);
        let served_from = range.unserved_until.unwrap_or(now).max(now);
        // A moving key's owner must serve keys when the move ends, also if that is a little later.
        let margin = if now < served_from {
            MOVE_MARGIN
        } else {
            Duration::ZERO
        };
        let serving = up.filter(|up| view.registry.serves_owned_keys(up, served_from + margin));
        if serving.is_none()
            && up.is_some()
            && let Some(refusal) = refusal_if_immovable(view, request)
        {
            return Pick::Refuse(refusal, None);
        }
        if now < served_from {
            return self.wait_for_move(request, served_from.since(now), now);
        }
        let Some(up) = serving else {
            return Pick::Wait;
        };
        // No other upstream may run the request, and this one refuses requests until its pause is
        // over.
        let pause = self.with_load(up, |load| load.paused_for(now));
        if !pause.is_zero() {
            let refusal = refuse_for_at_least(Reason::QueueFull, pause);
            return Pick::Refuse(refusal, Some(up.clone()));
        }
        Pick::To(up.clone())
    }

    /// Decides on a request whose key gets its owner in about `wait`.
    fn wait_for_move(&self, request: &CallerRequest, wait: Duration, now: Timestamp) -> Pick {
        let answered = wait.as_secs_f64() + self.entry_service_time(&request.resolved.entry);
        if answered > request.deadline.since(now).as_secs_f64() {
            return Pick::Refuse(refuse_for_about(Reason::NoOwner, wait), None);
        }
        Pick::WaitForMove
    }

    /// Returns whether the upstreams of the request's entry answer too fast for permits; those that
    /// are cold or have a rate limit are asked all the same.
    pub(super) fn skips_permits(&self, request: &CallerRequest, target: &Registration) -> bool {
        let service_time =
            Duration::from_secs_f64(self.entry_service_time(&request.resolved.entry));
        service_time < PermitSettings::default().min_service_time
            && !self.needs_permit(request, target)
    }

    /// Requests admission for a request to `target`; if it is full and `may_wait`, the request is
    /// queued there.
    pub(super) async fn admit(
        &self,
        view: &View,
        request: &CallerRequest,
        target: &Registration,
        may_wait: bool,
    ) -> Admission {
        let now = BootClock.now();
        if self.skips_permits(request, target) {
            return self.admit_by_estimate(request, target, now);
        }
        let service_time =
            Duration::from_secs_f64(self.entry_service_time(&request.resolved.entry));
        let cold = self.cold_start(request, target, now);
        let limit = self.with_load(target, |load| load.limit());
        let elapsed = request.since_first_request + now.since(request.arrived);
        let permit_request = PermitRequest {
            priority: request.resolved.priority,
            rank: request.resolved.route.priority,
            is_repeat: !request.since_first_request.is_zero(),
            domain: Some(self.domain.clone()),
            until_objective: request.resolved.route.objective.saturating_sub(elapsed),
            until_deadline: request.deadline.since(now),
            entry_service_time: service_time,
            may_wait,
            cold,
            limit,
            skipped_hosts: 0,
        };
        let needs_permit = !request.resolved.is_divided && !request.resolved.route.idempotent;
        let admission = self
            .permits
            .admit(view, target, &permit_request, needs_permit);
        let admission = tokio::select! {
            admission = admission => admission,
            () = self.until_ineligible(request, target, PermitStatus::Held) => {
                self.metrics.count(Count::NoLongerEligible);
                return Admission::Withdrawn;
            }
        };
        match admission {
            Admission::Unknown => match limit.rate_without_permits(view.hosts) {
                Some(per_s) => self.admit_without_permit_host(target, per_s),
                None => self.admit_by_estimate(request, target, now),
            },
            Admission::RateLimited { retry_after, limit } => {
                let limit = limit.unwrap_or_default();
                self.with_load(target, |load| load.merge_limit(limit));
                Admission::RateLimited {
                    retry_after,
                    limit: Some(limit),
                }
            }
            known => known,
        }
    }

    /// Decides whether a request may go to an upstream that has a rate limit and no reachable
    /// permit host; this host sends it `per_s` such requests a second.
    fn admit_without_permit_host(&self, target: &Registration, per_s: f64) -> Admission {
        let fraction = rand::rng().random_range(0.0..1.0);
        let now = BootClock.now();
        let retry_after = self.with_load(target, |load| {
            load.delay_without_permit(now, per_s, fraction)
        });
        if retry_after.is_zero() {
            return Admission::Unknown;
        }
        Admission::RateLimited {
            // The permit host is back, or has been replaced, sooner than that.
            retry_after: retry_after.min(NO_PERMIT_HOST_RETRY_AFTER),
            limit: None,
        }
    }

    /// Returns the state of the warm-up of `target`.
    fn cold_start(
        &self,
        request: &CallerRequest,
        target: &Registration,
        now: Timestamp,
    ) -> Option<ColdStart> {
        request.resolved.warmup.map(|warmup| ColdStart {
            max_starts_per_s: warmup.max_starts_per_s(&self.warmup),
            duration: warmup.duration,
            remaining: target.cold_until.since(now),
        })
    }

    /// Decides by this host's estimate alone whether a request on a key may go to its owner. If a
    /// request may go to several upstreams, the choice among them has already decided that.
    fn admit_by_estimate(
        &self,
        request: &CallerRequest,
        target: &Registration,
        now: Timestamp,
    ) -> Admission {
        let full = request
            .resolved
            .is_divided
            .then(|| self.full_by_estimate(request, target, now));
        match full.flatten() {
            Some(retry_after) => Admission::Full { retry_after },
            None => Admission::Unknown,
        }
    }

    /// Returns when `target` has room again if it is full by this host's estimate.
    pub(super) fn full_by_estimate(
        &self,
        request: &CallerRequest,
        target: &Registration,
        now: Timestamp,
    ) -> Option<Duration> {
        let service_time = self.entry_service_time(&request.resolved.entry);
        let left = request.deadline.since(now).as_secs_f64();
        self.with_load(target, |load| {
            let expected = load.expected_time(now, service_time, &self.load_cfg);
            let occupancy = load.occupancy(now, &self.load_cfg);
            let is_admitted =
                self.choose_cfg
                    .admits(occupancy, expected, &request_needs(request, service_time));
            let is_full = !is_admitted || expected > left;
            is_full.then(|| Duration::from_secs_f64(load.service_time().unwrap_or(service_time)))
        })
    }

    pub(super) async fn wait_for_owner(
        &self,
        request: &CallerRequest,
        retry_state: &RetryState,
        now: Timestamp,
    ) -> Result<(), Refusal> {
        let waited = now.since(request.arrived);
        if waited
            > request
                .resolved
                .route
                .objective
                .mul_f64(OWNER_WAIT_FRACTION)
        {
            return Err(account_for_attempts(
                refuse_for_about(Reason::NoOwner, KEY_RETRY_AFTER),
                retry_state,
            ));
        }
        tokio::time::sleep(OWNER_POLL).await;
        Ok(())
    }

    pub(super) fn entry_service_time(&self, entry: &EntryId) -> f64 {
        let entries = self.entries.borrow();
        entries
            .get(entry)
            .map_or(DEFAULT_SERVICE_TIME, |e| e.service_time)
    }
}

/// Returns the refusal for a request whose key's owner serves no keys, if the key can't move: no
/// upstream is left that could own it, or the hosts could not learn of the move.
fn refusal_if_immovable(view: &View, request: &CallerRequest) -> Option<Refusal> {
    if view.is_store_unreachable {
        return Some(refuse_for_about(Reason::NoOwner, KEY_RETRY_AFTER));
    }
    let has_other = !view.registry.ready(&request.resolved.entry).is_empty();
    (!has_other).then(|| refuse_for_about(Reason::NoUpstream, DEFAULT_RETRY_AFTER))
}

fn request_needs(request: &CallerRequest, entry_service_time: f64) -> RequestNeeds {
    RequestNeeds {
        objective: request.resolved.route.objective,
        entry_service_time,
        priority: request.resolved.priority,
    }
}
