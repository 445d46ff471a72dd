//! The way of one request from try to try, until it has an answer or there is no more sense in it.

use std::cell::RefCell;
use std::time::Duration;

use bytes::Bytes;
use direct::{AttemptEnd, PermitEnd, Registration, RetryDecision, RetryState, UpstreamState};
use http::Response;
use http_body_util::Full;
use ids::{BootClock, Clock, EntryId, Reason, Timestamp};

use super::intake::Job;
use super::pick::{MOVE_PAUSE, PassedOver, Pick};
use super::reply::{Refused, come_back, given_up, not_before, out_of_time, truthful};
use super::{Forwarder, LEAST_LEFT};
use crate::permits::Admission;
use crate::story::Story;
use crate::view::View;

/// What became of sending a request.
enum Sent {
    /// The upstream answered, or the try ended without an answer for the caller.
    Ended(Result<Response<Full<Bytes>>, AttemptEnd>),
    /// While it waited, its key got another owner, its owner left, or it was quarantined.
    Overtaken,
    /// The upstream gets no more for now.
    NoRoom(NoRoom),
}

/// Why an upstream gets no more for now.
#[derive(Debug, Clone, Copy)]
struct NoRoom {
    /// Time until there is room.
    room_in: Duration,
    /// Whether it is cold or limits its requests, and gets fewer than it has room for.
    is_bounded: bool,
}

/// What a request has been through so far.
#[derive(Debug, Default)]
struct Course {
    tries: RetryState,
    /// Upstreams that it is not sent to.
    passed: PassedOver,
    /// How the last try ended.
    last: Option<AttemptEnd>,
}

impl Forwarder {
    /// Tries until there is an answer or no more sense in it.
    pub(super) async fn run(
        &self,
        job: &Job,
        story: &RefCell<Story>,
    ) -> Result<Response<Full<Bytes>>, Refused> {
        self.report_demand(&self.view.load(), job);
        let mut course = Course::default();
        loop {
            let view = self.view.load_full();
            let Some(target) = self.next_target(&view, job, &mut course, story).await? else {
                continue;
            };
            let now = BootClock.now();
            self.tell_target(&mut story.borrow_mut(), &target, now);
            let sent = self.send(&view, job, &target, &course.passed, story);
            let result = match sent.await {
                Sent::Ended(result) => result,
                Sent::Overtaken => continue,
                Sent::NoRoom(no_room) => {
                    self.pass_over(job, target, no_room, &mut course)?;
                    continue;
                }
            };
            match result {
                Ok(response) => {
                    self.crashes.answered(job.content);
                    return Ok(response);
                }
                Err(ended) => self.after(job, target, ended, &mut course, story).await?,
            }
        }
    }

    /// Returns where the next try goes; none if that has to be looked for again.
    async fn next_target(
        &self,
        view: &View,
        job: &Job,
        course: &mut Course,
        story: &RefCell<Story>,
    ) -> Result<Option<Registration>, Refused> {
        let now = BootClock.now();
        let tries = &course.tries;
        if job.deadline.since(now) < LEAST_LEFT {
            return Err(out_of_time(tries, job.is_divided));
        }
        if let Some(left) = view.quarantine.remaining(now, job.content) {
            return Err(truthful(not_before(Reason::CrashesUpstreams, left), tries));
        }
        match self.pick(view, job, &course.passed, now) {
            Pick::To(target) => Ok(Some(target)),
            Pick::Wait => {
                self.wait_for_owner(job, tries, now).await?;
                Ok(None)
            }
            Pick::WaitForMove => {
                tokio::time::sleep(MOVE_PAUSE).await;
                Ok(None)
            }
            Pick::Refuse(..) if course.passed.forget_full() => Ok(None),
            Pick::Refuse(refused, target) => {
                if let Some(target) = target {
                    self.tell_target(&mut story.borrow_mut(), &target, now);
                }
                // That none is left to try says less than why the last one failed.
                let is_last = refused.reason == Reason::NoUpstream;
                let last = course.last.filter(|_| is_last);
                let last = last.map(|ended| given_up(ended, tries, job.is_divided));
                Err(last.unwrap_or_else(|| truthful(refused, tries)))
            }
        }
    }

    /// Takes note that `target` has no room; a request that nobody else may run is refused.
    fn pass_over(
        &self,
        job: &Job,
        target: Registration,
        no_room: NoRoom,
        course: &mut Course,
    ) -> Result<(), Refused> {
        let NoRoom {
            room_in,
            is_bounded,
        } = no_room;
        if is_bounded {
            let now = BootClock.now();
            self.with_load(&target, |load| load.suspend(now, room_in));
        }
        if job.is_divided {
            let refused = self.no_room(&target, no_room);
            return Err(truthful(refused, &course.tries));
        }
        if is_bounded {
            course.passed.failed(target.id);
        } else {
            course.passed.full(target.id);
        }
        Ok(())
    }

    /// Builds what a caller is told whose key's owner has no room.
    fn no_room(&self, owner: &Registration, no_room: NoRoom) -> Refused {
        let limit = self.with_load(owner, |load| load.limit());
        let room_in = no_room.room_in;
        match limit.per_s() {
            Some(_) if no_room.is_bounded => not_before(Reason::UpstreamLimit, room_in),
            _ => come_back(Reason::QueueFull, room_in),
        }
    }

    /// Decides what becomes of a request whose try at `target` `ended` without an answer for the caller.
    async fn after(
        &self,
        job: &Job,
        target: Registration,
        ended: AttemptEnd,
        course: &mut Course,
        story: &RefCell<Story>,
    ) -> Result<(), Refused> {
        let looks = self
            .crashes
            .broken(&target, job.content, &job.asked.id, ended);
        // One that ended its upstream must not be sent on before others could say that it ended theirs.
        if let Some(looks) = looks.filter(|_| job.route.idempotent) {
            // The task does not panic; without its word the request goes on as any other.
            let _ = looks.await;
        }
        let now = BootClock.now();
        let route = &job.route;
        let withdraw = || self.withdraw(&job.entry, now);
        let next = course.tries.record_end(
            ended,
            route.idempotent,
            route.max_attempts,
            &self.repeat_cfg,
            withdraw,
        );
        let RetryDecision::Retry { delay } = next else {
            return Err(given_up(ended, &course.tries, job.is_divided));
        };
        let reason = ended.reason();
        self.teller
            .sent_again(&story.borrow(), job.arrived, reason, &self.metrics);
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        course.passed.failed(target.id);
        course.last = Some(ended);
        Ok(())
    }

    /// Sends the request to `target` once it may go there.
    async fn send(
        &self,
        view: &View,
        job: &Job,
        target: &Registration,
        passed: &PassedOver,
        story: &RefCell<Story>,
    ) -> Sent {
        let mut permit = None;
        let is_bounded = self.is_bounded(job, target);
        if job.is_divided || passed.may_ask() || is_bounded {
            match self.admit(view, job, target).await {
                Admission::Go(granted) => permit = Some(granted),
                Admission::Full { room_in } => {
                    return Sent::NoRoom(NoRoom {
                        room_in,
                        is_bounded,
                    });
                }
                Admission::Paced { room_in, .. } => {
                    return Sent::NoRoom(NoRoom {
                        room_in,
                        is_bounded: true,
                    });
                }
                Admission::Unknown => {}
            }
        }
        if !self.may_still_go(job, target) {
            return Sent::Overtaken;
        }
        story.borrow_mut().sent += 1;
        let result = self.attempt(job, target).await;
        if let Some(permit) = &mut permit {
            let limit = self.with_load(target, |load| load.limit());
            permit.ended(permit_end(&result), job.report.take(), limit);
        }
        Sent::Ended(result)
    }

    /// Tells whether nothing goes to `target` without a permit: it is cold, or limits its requests.
    fn is_bounded(&self, job: &Job, target: &Registration) -> bool {
        let is_cold = job.warmup.is_some() && BootClock.now() < target.cold_until;
        is_cold || self.with_load(target, |load| load.limit().per_s().is_some())
    }

    /// Tells whether a request may go to `target` after a wait in which it may have been quarantined, its key
    /// have moved, or the upstream have left or said that it wants none.
    fn may_still_go(&self, job: &Job, target: &Registration) -> bool {
        let now = BootClock.now();
        let view = self.view.load();
        if view.quarantine.remaining(now, job.content).is_some() {
            return false;
        }
        if !job.is_divided {
            let takes_new = |up: &Registration| up.state == UpstreamState::Ready;
            let is_there = view.roster.get(&target.id).is_some_and(takes_new);
            return is_there && self.with_load(target, |l| l.paused_for(now).is_zero());
        }
        let pick = self.pick_owner(&view, job, now);
        matches!(pick, Pick::To(owner) if owner.id == target.id)
    }

    fn withdraw(&self, entry: &EntryId, now: Timestamp) -> bool {
        let mut entries = self.entries.borrow_mut();
        entries
            .get_mut(entry)
            .is_some_and(|e| e.budget.withdraw(now))
    }
}

/// Returns what the host that hands out permits learns from the end of a try.
fn permit_end(result: &Result<Response<Full<Bytes>>, AttemptEnd>) -> PermitEnd {
    let Err(ended) = result else {
        return PermitEnd::Answered;
    };
    match ended {
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
