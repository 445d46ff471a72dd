//! Attempts of one request, until it has an answer or no further attempt can help.

use std::cell::RefCell;
use std::time::Duration;

use bytes::Bytes;
use direct::{AttemptEnd, LinkState, PermitEnd, Registration, RetryDecision, RetryState};
use gate::counters::Count;
use http::Response;
use http_body_util::Full;
use ids::{BootClock, Clock, EntryId, Reason, Timestamp};

use super::eligibility::PermitStatus;
use super::pick::{MOVE_POLL, Pick};
use super::prepare::CallerRequest;
use super::reply::{
    Refusal, account_for_attempts, refusal_after_failure, refusal_at_deadline, refuse_for_about,
    refuse_for_at_least,
};
use super::reserve::{Admitted, Targets};
use super::{Forwarder, MIN_TIME_LEFT};
use crate::permits::Admission;
use crate::request_log::RequestLog;
use crate::upstream_client::NO_LONGER_ELIGIBLE;
use crate::view::View;

/// Outcome of sending a request.
enum SendOutcome {
    /// The upstream answered, or the attempt ended without an answer for the caller.
    Ended(Result<Response<Full<Bytes>>, AttemptEnd>),
    /// The upstream granted no permit, or the request may no longer go there.
    NotSent,
}

/// Why an upstream accepts no more requests for now.
#[derive(Debug, Clone, Copy)]
struct NoCapacity {
    /// Time until it accepts another.
    retry_after: Duration,
    /// Whether it is cold or has a rate limit, and gets fewer requests than it has slots for.
    is_rate_limited: bool,
}

/// Progress of a request over its attempts.
#[derive(Debug)]
struct Progress {
    retry_state: RetryState,
    targets: Targets,
    /// How the last attempt ended.
    last: Option<AttemptEnd>,
}

impl Forwarder {
    /// Makes attempts until there is an answer or no further attempt can help.
    pub(super) async fn run(
        &self,
        request: &mut CallerRequest,
        log: &RefCell<RequestLog>,
    ) -> Result<Response<Full<Bytes>>, Refusal> {
        self.report_demand(&self.view.load(), request);
        let mut progress = Progress {
            retry_state: RetryState::default(),
            targets: Targets::new(request.resolved.route.idempotent),
            last: None,
        };
        loop {
            let view = self.view.load_full();
            let has_moved = self.refresh_route(&view, request, log);
            if has_moved.map_err(|e| account_for_attempts(e.into(), &progress.retry_state))? {
                progress.targets = Targets::new(request.resolved.route.idempotent);
            }
            let Some(target) = self.next_target(&view, request, &mut progress, log).await? else {
                continue;
            };
            let now = BootClock.now();
            self.log_target(&mut log.borrow_mut(), &target, now);
            let sent = self.send(&view, request, &target, &mut progress, log);
            match sent.await? {
                SendOutcome::NotSent => {}
                SendOutcome::Ended(Ok(response)) => {
                    self.crash_detector.record_answer(request.fingerprint);
                    return Ok(response);
                }
                SendOutcome::Ended(Err(end)) => {
                    self.retry(request, target, end, &mut progress, log).await?;
                }
            }
        }
    }

    /// Returns the target of the next attempt; none if the selection has to be repeated.
    async fn next_target(
        &self,
        view: &View,
        request: &CallerRequest,
        progress: &mut Progress,
        log: &RefCell<RequestLog>,
    ) -> Result<Option<Registration>, Refusal> {
        let now = BootClock.now();
        let retry_state = &progress.retry_state;
        if request.deadline.since(now) < MIN_TIME_LEFT {
            return Err(refusal_at_deadline(
                retry_state,
                request.resolved.is_divided,
            ));
        }
        if let Some(left) = view.quarantine.remaining(now, request.fingerprint) {
            return Err(account_for_attempts(
                refuse_for_at_least(Reason::CrashesUpstreams, left),
                retry_state,
            ));
        }
        let pick = if request.resolved.is_divided {
            self.pick_owner(view, request, now)
        } else {
            self.pick_for_step(view, request, &mut progress.targets, now)
        };
        match pick {
            Pick::To(target) => Ok(Some(target)),
            Pick::Again => Ok(None),
            Pick::Wait => {
                self.wait_for_owner(request, retry_state, now).await?;
                Ok(None)
            }
            Pick::WaitForMove => {
                tokio::time::sleep(MOVE_POLL).await;
                Ok(None)
            }
            Pick::Refuse(refusal, target) => {
                if let Some(target) = target {
                    self.log_target(&mut log.borrow_mut(), &target, now);
                }
                // The end of the last attempt explains more than that no upstream is left to try.
                let is_exhausted = refusal.reason == Reason::NoUpstream;
                let last = progress.last.filter(|_| is_exhausted);
                let last = last.map(|end| {
                    refusal_after_failure(end, retry_state, request.resolved.is_divided)
                });
                Err(last.unwrap_or_else(|| account_for_attempts(refusal, retry_state)))
            }
        }
    }

    /// Builds the refusal for a request whose key's owner has no room.
    fn no_capacity_refusal(&self, owner: &Registration, no_capacity: NoCapacity) -> Refusal {
        let limit = self.with_load(owner, |load| load.limit());
        let retry_after = no_capacity.retry_after;
        match limit.per_s() {
            Some(_) if no_capacity.is_rate_limited => {
                refuse_for_at_least(Reason::UpstreamLimit, retry_after)
            }
            _ => refuse_for_about(Reason::QueueFull, retry_after),
        }
    }

    /// Decides whether a request is retried whose attempt at `target` ended with `end`.
    async fn retry(
        &self,
        request: &CallerRequest,
        target: Registration,
        end: AttemptEnd,
        progress: &mut Progress,
        log: &RefCell<RequestLog>,
    ) -> Result<(), Refusal> {
        let crash_check = self.crash_detector.check_attempt(
            &target,
            request.fingerprint,
            &request.caller_headers.id,
            end,
        );
        // A request that crashed its upstream must not be retried before other hosts could report
        // that it crashed theirs.
        if let Some(crash_check) = crash_check.filter(|_| request.resolved.route.idempotent) {
            // The task does not panic; if it fails all the same, the request continues like any
            // other.
            let _ = crash_check.await;
        }
        let now = BootClock.now();
        let route = &request.resolved.route;
        let withdraw = || self.withdraw(&request.resolved.entry, now);
        let next = progress.retry_state.record_end(
            end,
            route.idempotent,
            route.max_attempts,
            &self.retry_cfg,
            withdraw,
        );
        let RetryDecision::Retry { delay } = next else {
            return Err(refusal_after_failure(
                end,
                &progress.retry_state,
                request.resolved.is_divided,
            ));
        };
        let reason = end.reason();
        self.logger
            .retried(&log.borrow(), request.arrived, reason, &self.metrics);
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        // An upstream is not to blame for a lost link, and is reached through another host.
        let is_usable = self.links.state(&target.id) == LinkState::Usable;
        if is_usable || end == NO_LONGER_ELIGIBLE {
            progress.targets.exclude(target.id);
        }
        progress.targets.begin_attempt();
        progress.last = Some(end);
        Ok(())
    }

    /// Sends the request to `target` once it is admitted there.
    async fn send(
        &self,
        view: &View,
        request: &CallerRequest,
        target: &Registration,
        progress: &mut Progress,
        log: &RefCell<RequestLog>,
    ) -> Result<SendOutcome, Refusal> {
        let admitted = if request.resolved.is_divided {
            self.admit_at_owner(view, request, target).await
        } else {
            let targets = &mut progress.targets;
            self.reserve(view, request, target, targets).await
        };
        let admitted =
            admitted.map_err(|refusal| account_for_attempts(refusal, &progress.retry_state))?;
        let Some(mut admitted) = admitted else {
            return Ok(SendOutcome::NotSent);
        };
        let permit_status = admitted.permit_status();
        if !self.is_eligible(request, target, permit_status) {
            progress.targets.withdraw_from(target);
            self.metrics.count(Count::NoLongerEligible);
            return Ok(SendOutcome::NotSent);
        }
        log.borrow_mut().record_sent(admitted.sent_with());
        let result = self.attempt(request, target, permit_status).await;
        if let Some(permit) = admitted.permit() {
            self.record_permit_end(request, target, permit, permit_end(&result));
        }
        Ok(SendOutcome::Ended(result))
    }

    /// Admits a request on a key to its owner, where it may be queued; returns none if it may no longer
    /// go there.
    async fn admit_at_owner(
        &self,
        view: &View,
        request: &CallerRequest,
        owner: &Registration,
    ) -> Result<Option<Admitted<'_>>, Refusal> {
        let is_rate_limited = self.needs_permit(request, owner);
        let permit_status = PermitStatus::without_permit(is_rate_limited);
        let no_capacity = match self.admit(view, request, owner, true).await {
            Admission::Granted(permit) => return Ok(Some(Admitted::Permit(permit))),
            Admission::Unknown => return Ok(Some(Admitted::Estimate(permit_status))),
            Admission::Withdrawn => return Ok(None),
            Admission::Full { retry_after } => NoCapacity {
                retry_after,
                is_rate_limited,
            },
            Admission::RateLimited { retry_after, .. } => NoCapacity {
                retry_after,
                is_rate_limited: true,
            },
        };
        if no_capacity.is_rate_limited {
            let now = BootClock.now();
            self.with_load(owner, |load| load.suspend(now, no_capacity.retry_after));
        }
        Err(self.no_capacity_refusal(owner, no_capacity))
    }

    /// Returns whether requests to `target` need a permit: it is cold or has a rate limit.
    pub(super) fn needs_permit(&self, request: &CallerRequest, target: &Registration) -> bool {
        let is_cold = request.resolved.warmup.is_some() && BootClock.now() < target.cold_until;
        is_cold || self.with_load(target, |load| load.limit().per_s().is_some())
    }

    fn withdraw(&self, entry: &EntryId, now: Timestamp) -> bool {
        let mut entries = self.entries.borrow_mut();
        entries
            .get_mut(entry)
            .is_some_and(|e| e.budget.withdraw(now))
    }
}

/// Returns what the end of an attempt means to the permit host.
fn permit_end(result: &Result<Response<Full<Bytes>>, AttemptEnd>) -> PermitEnd {
    let Err(end) = result else {
        return PermitEnd::Answered;
    };
    match end {
        AttemptEnd::NotRun(_)
        | AttemptEnd::Misdirected
        | AttemptEnd::MayHaveRun(Reason::AnswerMismatch | Reason::AnswerCut) => {
            PermitEnd::OtherResponse
        }
        AttemptEnd::MayHaveRun(_) | AttemptEnd::Unsent(Reason::ConnectFailed) => {
            PermitEnd::NoResponse
        }
        AttemptEnd::Replaced | AttemptEnd::Unsent(_) => PermitEnd::Unknown,
    }
}
