//! Reserves capacity for requests that any upstream of their entry may run.
//!
//! The steps are those of [`direct::Reservation`]. This module chooses the upstreams, asks for the
//! permits and counts the requests that are sent within this host's share of an entry.

use std::time::Duration;

use direct::{PermitEnd, PermitRefusal, Registration, Reservation, Step};
use gate::counters::Count;
use ids::{BootClock, Clock, EntryId, Reason, Timestamp, UpstreamId};
use rand::Rng;

use super::Forwarder;
use super::eligibility::PermitStatus;
use super::pick::Pick;
use super::prepare::CallerRequest;
use super::reply::{Refusal, refuse_for_about};
use crate::permits::{Admission, Permit};
use crate::request_log::SentWith;
use crate::view::View;

/// What an attempt may be sent with.
#[derive(Debug)]
pub(super) enum Admitted<'a> {
    /// The permit host granted a permit.
    Permit(Permit),
    /// No permit; the upstream was selected by this host's estimate, or is the key's owner.
    Estimate(PermitStatus),
    /// This host's share of the entry has room.
    Share(
        PermitStatus,
        #[expect(dead_code, reason = "released when dropped")] ShareUse<'a>,
    ),
}

impl Admitted<'_> {
    /// Returns the permit, if there is one.
    pub(super) const fn permit(&mut self) -> Option<&mut Permit> {
        match self {
            Self::Permit(permit) => Some(permit),
            Self::Estimate(_) | Self::Share(..) => None,
        }
    }

    /// Returns what the request is sent with, for the log.
    pub(super) const fn sent_with(&self) -> SentWith {
        match self {
            Self::Permit(_) => SentWith::Permit,
            Self::Estimate(_) => SentWith::Estimate,
            Self::Share(..) => SentWith::Share,
        }
    }

    /// Returns how far the request may go with it.
    pub(super) const fn permit_status(&self) -> PermitStatus {
        match self {
            Self::Permit(_) => PermitStatus::Held,
            Self::Estimate(permit_status) | Self::Share(permit_status, _) => *permit_status,
        }
    }
}

/// A request in progress within this host's share of its entry; dropping it frees its place.
#[derive(Debug)]
pub(super) struct ShareUse<'a> {
    forwarder: &'a Forwarder,
    entry: &'a EntryId,
}

impl Drop for ShareUse<'_> {
    fn drop(&mut self) {
        let mut entries = self.forwarder.entries.borrow_mut();
        if let Some(entry) = entries.get_mut(self.entry) {
            entry.share.leave();
        }
    }
}

/// The reservation of a request, and the upstreams that it is not sent to.
#[derive(Debug)]
pub(super) struct Targets {
    reservation: Reservation<UpstreamId>,
    /// Upstreams at which an attempt failed, that are cold, or that have a rate limit.
    excluded: Vec<UpstreamId>,
}

impl Targets {
    pub(super) const fn new(is_idempotent: bool) -> Self {
        Self {
            reservation: Reservation::new(is_idempotent),
            excluded: Vec::new(),
        }
    }

    /// Prepares for the next attempt.
    pub(super) fn begin_attempt(&mut self) {
        self.reservation.begin_attempt();
    }

    /// Excludes an upstream at which an attempt failed.
    pub(super) fn exclude(&mut self, id: UpstreamId) {
        self.excluded.push(id);
    }

    /// Excludes an upstream for which the request was admitted and to which it may no longer go.
    pub(super) fn withdraw_from(&mut self, up: &Registration) {
        self.exclude(up.id.clone());
        let refusal = PermitRefusal::Unavailable;
        self.reservation.refused(up.id.clone(), refusal);
    }

    fn may_get(&self, up: &Registration) -> bool {
        !self.excluded.contains(&up.id)
    }

    fn may_ask(&self, up: &Registration) -> bool {
        self.may_get(up) && !self.reservation.was_asked(&up.id)
    }
}

impl Forwarder {
    /// Selects the upstream for the next step of the request's reservation.
    pub(super) fn pick_for_step(
        &self,
        view: &View,
        request: &CallerRequest,
        targets: &mut Targets,
        now: Timestamp,
    ) -> Pick {
        match targets.reservation.step().clone() {
            Step::Ask => {
                let best = self.pick_best(view, request, |up| targets.may_ask(up), now);
                let has_other = match &best {
                    Pick::To(up) => {
                        let score = self.score(request, up, Duration::ZERO, now);
                        !targets.reservation.prefers_queue(score)
                    }
                    _ => false,
                };
                if !has_other && targets.reservation.exhausted() {
                    return Pick::Again;
                }
                best
            }
            Step::SendToBest => self.pick_without_permit(view, request, targets, now),
            Step::Queue(id) | Step::SendTo(id) | Step::SendInShare { upstream: Some(id) } => {
                self.pick_known(view, request, id, targets, now)
            }
            Step::SendInShare { upstream: None } => self.draw(view, request, targets, now),
            Step::Refuse { retry_after } => {
                Pick::Refuse(refuse_for_about(Reason::NoCapacity, retry_after), None)
            }
        }
    }

    /// Selects the best upstream for an idempotent request that got no permit; one that has just
    /// refused a permit as full is selected only if there is no other.
    fn pick_without_permit(
        &self,
        view: &View,
        request: &CallerRequest,
        targets: &Targets,
        now: Timestamp,
    ) -> Pick {
        let has_room = |up: &Registration| {
            targets.may_get(up) && !self.with_load(up, |load| load.has_refused_permit(now))
        };
        match self.pick_best(view, request, has_room, now) {
            Pick::Refuse(..) => self.pick_best(view, request, |up| targets.may_get(up), now),
            pick => pick,
        }
    }

    /// Selects the upstream `id` if it still takes requests.
    fn pick_known(
        &self,
        view: &View,
        request: &CallerRequest,
        id: UpstreamId,
        targets: &mut Targets,
        now: Timestamp,
    ) -> Pick {
        let up = view.registry.get(&id);
        if let Some(up) = up.filter(|up| self.takes_requests(view, request, up, now)) {
            return Pick::To(up.clone());
        }
        targets.exclude(id.clone());
        targets.reservation.refused(id, PermitRefusal::Unavailable);
        Pick::Again
    }

    /// Draws an upstream at random among those that this host's estimate admits, so that the
    /// requests of hosts that reach no permit host spread over all queues.
    fn draw(
        &self,
        view: &View,
        request: &CallerRequest,
        targets: &Targets,
        now: Timestamp,
    ) -> Pick {
        let mut admitted = view.registry.ready(&request.resolved.entry);
        admitted.retain(|up| targets.may_get(up) && self.admits_without_permit(request, up, now));
        let is_reachable = |up: &Registration| !self.with_load(up, |l| l.is_in_backoff(now));
        if admitted.iter().any(|up| is_reachable(up)) {
            admitted.retain(|up| is_reachable(up));
        }
        if admitted.is_empty() {
            return Pick::Refuse(self.no_capacity(request), None);
        }
        let drawn = rand::rng().random_range(0..admitted.len());
        Pick::To(admitted[drawn].clone())
    }

    fn admits_without_permit(
        &self,
        request: &CallerRequest,
        up: &Registration,
        now: Timestamp,
    ) -> bool {
        let is_suspended = self.with_load(up, |load| {
            !load.suspended_for(now).is_zero() || load.has_refused_permit(now)
        });
        !is_suspended
            && !self.needs_permit(request, up)
            && self.full_by_estimate(request, up, now).is_none()
    }

    /// Reserves capacity for a request at `target`; none if another step follows.
    pub(super) async fn reserve<'a>(
        &'a self,
        view: &View,
        request: &'a CallerRequest,
        target: &Registration,
        targets: &mut Targets,
    ) -> Result<Option<Admitted<'a>>, Refusal> {
        let is_rate_limited = self.needs_permit(request, target);
        let permit_status = PermitStatus::without_permit(is_rate_limited);
        let may_wait = match targets.reservation.step() {
            Step::SendTo(_) => return Ok(Some(Admitted::Estimate(permit_status))),
            Step::SendInShare { .. } => {
                return self.enter_share(view, request, permit_status).map(Some);
            }
            Step::SendToBest if !is_rate_limited => {
                return Ok(Some(Admitted::Estimate(permit_status)));
            }
            step => matches!(step, Step::Queue(_)),
        };
        if self.skips_permits(request, target) {
            return Ok(Some(Admitted::Estimate(permit_status)));
        }
        let refusal = match self.admit(view, request, target, may_wait).await {
            Admission::Granted(permit) => return Ok(Some(Admitted::Permit(permit))),
            Admission::Full { retry_after } if !is_rate_limited => {
                self.record_permit_refused(request, target, retry_after);
                let score = self.score(request, target, retry_after, BootClock.now());
                PermitRefusal::Full { retry_after, score }
            }
            Admission::Full { retry_after } | Admission::RateLimited { retry_after, .. } => {
                let now = BootClock.now();
                self.with_load(target, |load| load.suspend(now, retry_after));
                targets.exclude(target.id.clone());
                PermitRefusal::Unavailable
            }
            Admission::Withdrawn => {
                targets.exclude(target.id.clone());
                PermitRefusal::Unavailable
            }
            Admission::Unknown if is_rate_limited => PermitRefusal::SilentWithinLimit,
            Admission::Unknown => PermitRefusal::Silent,
        };
        targets.reservation.refused(target.id.clone(), refusal);
        Ok(None)
    }

    /// Returns the score of an upstream at which the request has to wait for `wait`; if it need not,
    /// this host's estimate of the load counts.
    fn score(
        &self,
        request: &CallerRequest,
        up: &Registration,
        wait: Duration,
        now: Timestamp,
    ) -> f64 {
        let service_time = self.entry_service_time(&request.resolved.entry);
        let objective = request.resolved.route.objective;
        self.with_load(up, |load| {
            let expected_time = if wait.is_zero() {
                load.expected_time(now, service_time, &self.load_cfg)
            } else {
                wait.as_secs_f64() + load.service_time().unwrap_or(service_time)
            };
            let candidate = self.candidate(up, load, now);
            candidate.score(
                now,
                expected_time,
                objective,
                &self.load_cfg,
                &self.choose_cfg,
            )
        })
    }

    fn record_permit_refused(
        &self,
        request: &CallerRequest,
        target: &Registration,
        until_free: Duration,
    ) {
        let service_time = self.entry_service_time(&request.resolved.entry);
        let now = BootClock.now();
        self.with_load(target, |load| {
            load.permit_refused(now, until_free, service_time);
        });
    }

    /// Takes a place in this host's share of the request's entry.
    fn enter_share<'a>(
        &'a self,
        view: &View,
        request: &'a CallerRequest,
        permit_status: PermitStatus,
    ) -> Result<Admitted<'a>, Refusal> {
        let ready = view.registry.ready(&request.resolved.entry);
        let slots = ready.iter().map(|up| up.slots).sum();
        let mut entries = self.entries.borrow_mut();
        let entry = entries.get_mut(&request.resolved.entry);
        let has_room = entry.is_some_and(|entry| entry.share.enter(slots, view.hosts));
        drop(entries);
        if !has_room {
            self.metrics.count(Count::ShareUsedUp);
            return Err(self.no_capacity(request));
        }
        self.metrics.count(Count::SentInShare);
        let share_use = ShareUse {
            forwarder: self,
            entry: &request.resolved.entry,
        };
        Ok(Admitted::Share(permit_status, share_use))
    }

    /// Tells the permit host how a request ended that had a permit.
    pub(super) fn record_permit_end(
        &self,
        request: &CallerRequest,
        target: &Registration,
        permit: &mut Permit,
        mut end: PermitEnd,
    ) {
        let limit = self.with_load(target, |load| load.limit());
        // This host's links may be the cause.
        if end == PermitEnd::NoResponse && self.suspects_link(target) {
            end = PermitEnd::Unknown;
        }
        permit.record_end(end, request.report.take(), limit);
    }

    /// Builds the refusal of a request that this host may send nowhere without a permit.
    fn no_capacity(&self, request: &CallerRequest) -> Refusal {
        let service_time = self.entry_service_time(&request.resolved.entry);
        refuse_for_about(Reason::NoCapacity, Duration::from_secs_f64(service_time))
    }
}
