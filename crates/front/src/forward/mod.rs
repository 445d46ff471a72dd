//! The path of one request: from a caller to an upstream and back.
//!
//! - `intake`: reading a request and finding its route.
//! - `pick`: where a try goes.
//! - `attempt`: one try.
//! - `reply`: what callers are told.

mod attempt;
mod intake;
mod pick;
mod reply;

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use direct::{
    ChooseSettings, Ended, LoadSettings, Next, PermitEnd, Registered, RepeatSettings, Returns,
    Splitter, Tries, UpstreamLoad, WarmupBounds,
};
use gate::Metrics;
use gate::counters::Count;
use http::{HeaderValue, Request, Response, header};
use http_body_util::Full;
use hyper::body::Incoming;
use ids::{BootClock, Clock, DomainId, EntryId, Reason, Timestamp, UpstreamId};
use route::RetryBudget;
use slog::Logger;
use tokio_util::sync::CancellationToken;

use self::intake::Job;
use self::pick::{MOVE_PAUSE, PassedOver, Pick};
use self::reply::{
    Refused, come_back, cut_off, given_up, not_before, out_of_time, refusal, truthful,
};
use crate::connections::Connections;
use crate::control::samples::{Sample, SampleTx};
use crate::crashes::CrashWatch;
use crate::news::NewsTx;
use crate::permits::{Admission, PermitService};
use crate::ports::Dialect;
use crate::settings::Repeats;
use crate::story::{Story, Teller};
use crate::view::{Phase, Shared, View};

/// Least time that must be left for a request to be sent on.
const LEAST_LEFT: Duration = Duration::from_millis(20);
/// Service time that is assumed until one was observed.
const USUAL_SERVICE: f64 = 0.1;

/// What became of sending a request.
enum Sent {
    /// The upstream answered, or the try ended without an answer for the caller.
    Ended(Result<Response<Full<Bytes>>, Ended>),
    /// While it waited, its key got another owner, its owner left, or it was quarantined.
    Overtaken,
    /// The upstream has no room.
    Full { room_in: Duration },
    /// The upstream is cold and gets no more for now.
    Cold { room_in: Duration },
}

/// What the callers' thread knows of an entry beside the view.
#[derive(Debug)]
struct EntryState {
    service: f64,
    budget: RetryBudget,
}

/// The callers' thread's part of forwarding.
#[derive(Debug)]
pub struct Forwarder {
    domain: DomainId,
    view: Shared,
    dialect: Arc<dyn Dialect>,
    repeats: Repeats,
    warmup: WarmupBounds,
    samples: SampleTx,
    connections: Rc<Connections>,
    crashes: Rc<CrashWatch>,
    news: NewsTx,
    permits: Rc<PermitService>,
    splitter: RefCell<Splitter>,
    returns: RefCell<Returns>,
    loads: RefCell<HashMap<UpstreamId, UpstreamLoad>>,
    entries: RefCell<HashMap<EntryId, EntryState>>,
    load_cfg: LoadSettings,
    choose_cfg: ChooseSettings,
    repeat_cfg: RepeatSettings,
    teller: Teller,
    metrics: Arc<Metrics>,
    /// Ends all requests that are under way.
    end: CancellationToken,
}

/// What a [`Forwarder`] is built of.
#[derive(Debug)]
pub struct ForwarderParts {
    /// The host's failure domain.
    pub domain: DomainId,
    /// What the control duty knows.
    pub view: Shared,
    /// How callers and upstreams speak.
    pub dialect: Arc<dyn Dialect>,
    /// The budget for repeats.
    pub repeats: Repeats,
    /// How far requests at cold upstreams may exceed what those bear.
    pub warmup: WarmupBounds,
    /// Where samples of requests go.
    pub samples: SampleTx,
    /// Where news of upstreams go.
    pub news: NewsTx,
    /// Where permits to send are asked for.
    pub permits: Rc<PermitService>,
    /// Counters.
    pub metrics: Arc<Metrics>,
    /// Logger.
    pub log: Logger,
}

impl Forwarder {
    /// Builds the forwarder of a host.
    #[must_use]
    pub fn new(parts: ForwarderParts) -> Self {
        let connections: Rc<Connections> = Rc::default();
        let crashes = CrashWatch::new(
            Rc::clone(&connections),
            parts.news.clone(),
            Arc::clone(&parts.metrics),
            parts.log.clone(),
        );
        Self {
            domain: parts.domain,
            view: parts.view,
            dialect: parts.dialect,
            repeats: parts.repeats,
            warmup: parts.warmup,
            samples: parts.samples,
            connections,
            crashes: Rc::new(crashes),
            news: parts.news,
            permits: parts.permits,
            splitter: RefCell::default(),
            returns: RefCell::default(),
            loads: RefCell::default(),
            entries: RefCell::default(),
            load_cfg: LoadSettings::default(),
            choose_cfg: ChooseSettings::default(),
            repeat_cfg: RepeatSettings::default(),
            teller: Teller::new(parts.log),
            metrics: parts.metrics,
            end: CancellationToken::new(),
        }
    }

    /// Answers all requests that are under way at once: the process is about to be killed, and
    /// an upstream that has not answered yet may never do so.
    pub fn end(&self) {
        self.end.cancel();
    }

    /// Answers a request.
    pub async fn answer(self: Rc<Self>, req: Request<Incoming>) -> Response<Full<Bytes>> {
        let arrived = BootClock.now();
        self.metrics.count(Count::Requests);
        let story = RefCell::new(Story::default());
        let served = self.serve(req, arrived, &story);
        let result = self.end.run_until_cancelled(served).await;
        let story = story.into_inner();
        let result = result.unwrap_or_else(|| Err(cut_off(story.sent)));
        let mut response = match result {
            Ok(response) => {
                let status = response.status().as_u16();
                self.teller.answered(&story, arrived, status, &self.metrics);
                response
            }
            Err(refused) => {
                let Refused {
                    reason,
                    retry_after,
                } = refused;
                self.teller
                    .refused(&story, arrived, reason, retry_after, &self.metrics);
                refusal(refused)
            }
        };
        if self.view.load().phase == Phase::Leaving {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
        }
        response
    }

    async fn serve(
        &self,
        req: Request<Incoming>,
        arrived: Timestamp,
        story: &RefCell<Story>,
    ) -> Result<Response<Full<Bytes>>, Refused> {
        let job = self.intake(req, arrived, story).await?;
        let result = self.run(&job, story).await;
        // An upstream's own failure says more than that there was one.
        result.or_else(|refused| job.failure.take().ok_or(refused))
    }

    /// Tries until there is an answer or no more sense in it.
    async fn run(
        &self,
        job: &Job,
        story: &RefCell<Story>,
    ) -> Result<Response<Full<Bytes>>, Refused> {
        self.report_demand(&self.view.load(), job);
        let mut tries = Tries::default();
        let mut passed = PassedOver::default();
        let mut last: Option<Ended> = None;
        loop {
            let now = BootClock.now();
            if job.deadline.since(now) < LEAST_LEFT {
                return Err(out_of_time(&tries, job.is_divided));
            }
            let view = self.view.load_full();
            if let Some(left) = view.quarantine.left(now, job.content) {
                return Err(truthful(not_before(Reason::CrashesUpstreams, left), &tries));
            }
            let target = match self.pick(&view, job, &passed, now) {
                Pick::To(target) => target,
                Pick::Wait => {
                    self.wait_for_owner(job, &tries, now).await?;
                    continue;
                }
                Pick::WaitForMove => {
                    tokio::time::sleep(MOVE_PAUSE).await;
                    continue;
                }
                Pick::Refuse(..) if passed.forget_full() => continue,
                Pick::Refuse(refused, target) => {
                    if let Some(target) = target {
                        self.tell_target(&mut story.borrow_mut(), &target, now);
                    }
                    // That none is left to try says less than why the last one failed.
                    let is_last = refused.reason == Reason::NoUpstream;
                    let last = last
                        .filter(|_| is_last)
                        .map(|ended| given_up(ended, &tries, job.is_divided));
                    return Err(last.unwrap_or_else(|| truthful(refused, &tries)));
                }
            };
            self.tell_target(&mut story.borrow_mut(), &target, now);
            let result = match self.send(&view, job, &target, &passed, story).await {
                Sent::Ended(result) => result,
                Sent::Overtaken => continue,
                Sent::Full { room_in } if job.is_divided => {
                    let refused = come_back(Reason::QueueFull, room_in);
                    return Err(truthful(refused, &tries));
                }
                Sent::Full { .. } => {
                    passed.full(target.id);
                    continue;
                }
                Sent::Cold { room_in } => {
                    self.with_load(&target, |load| load.hold_back(now, room_in));
                    if job.is_divided {
                        let refused = come_back(Reason::QueueFull, room_in);
                        return Err(truthful(refused, &tries));
                    }
                    passed.failed(target.id);
                    continue;
                }
            };
            let ended = match result {
                Ok(response) => {
                    self.crashes.answered(job.content);
                    return Ok(response);
                }
                Err(ended) => ended,
            };
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
            let next = tries.next(
                ended,
                route.idempotent,
                route.max_attempts,
                &self.repeat_cfg,
                withdraw,
            );
            match next {
                Next::Again { pause } => {
                    let reason = ended.reason();
                    self.teller
                        .sent_again(&story.borrow(), job.arrived, reason, &self.metrics);
                    if !pause.is_zero() {
                        tokio::time::sleep(pause).await;
                    }
                }
                Next::GiveUp => return Err(given_up(ended, &tries, job.is_divided)),
            }
            passed.failed(target.id);
            last = Some(ended);
        }
    }

    /// Sends the request to `target` once it may go there.
    async fn send(
        &self,
        view: &View,
        job: &Job,
        target: &Registered,
        passed: &PassedOver,
        story: &RefCell<Story>,
    ) -> Sent {
        let mut permit = None;
        let is_cold = job.warmup.is_some() && BootClock.now() < target.cold_until;
        if job.is_divided || passed.may_ask() || is_cold {
            match self.admit(view, job, target).await {
                Admission::Go(granted) => permit = Some(granted),
                Admission::Full { room_in } if is_cold => return Sent::Cold { room_in },
                Admission::Full { room_in } => return Sent::Full { room_in },
                Admission::Cold { room_in } => return Sent::Cold { room_in },
                Admission::Unknown => {}
            }
        }
        if !self.may_still_go(job, target) {
            return Sent::Overtaken;
        }
        story.borrow_mut().sent += 1;
        let result = self.attempt(job, target).await;
        if let Some(permit) = &mut permit {
            permit.ended(permit_end(&result), job.report.take());
        }
        Sent::Ended(result)
    }

    /// Tells whether a request may go to `target` after a wait in which it may have been quarantined, its key
    /// have moved, or the upstream have left or said that it wants none.
    fn may_still_go(&self, job: &Job, target: &Registered) -> bool {
        let now = BootClock.now();
        let view = self.view.load();
        if view.quarantine.left(now, job.content).is_some() {
            return false;
        }
        if !job.is_divided {
            return self.with_load(target, |load| load.wants_none_for(now).is_zero());
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

    fn tell_target(&self, story: &mut Story, target: &Registered, now: Timestamp) {
        self.with_load(target, |load| {
            let crowd = load.crowd(now, &self.load_cfg);
            story.goes_to(target, crowd, load.report_age(now));
        });
    }

    fn with_load<T>(&self, target: &Registered, f: impl FnOnce(&mut UpstreamLoad) -> T) -> T {
        let mut loads = self.loads.borrow_mut();
        let load = loads
            .entry(target.id.clone())
            .or_insert_with(|| UpstreamLoad::new(target.slots));
        f(load)
    }

    /// Reports a request on a key, whatever becomes of it: refused ones are demand too.
    fn report_demand(&self, view: &View, job: &Job) {
        let owners = view.owners.get(&job.entry);
        let Some(key) = job.asked.key.filter(|_| job.is_divided) else {
            return;
        };
        let Some(owner) = owners.and_then(|o| o.owner(key)) else {
            return;
        };
        let loads = self.loads.borrow();
        let service = loads.get(owner).and_then(UpstreamLoad::service);
        self.samples.send(Sample {
            entry: job.entry.clone(),
            key,
            upstream: owner.clone(),
            service,
        });
    }

    /// Forgets upstreams that are no longer registered.
    pub fn forget_gone(&self) {
        let view = self.view.load();
        let known = |id: &UpstreamId| view.roster.get(id).is_some();
        self.loads
            .borrow_mut()
            .retain(|id, load| known(id) || load.in_flight() > 0);
        self.connections.retain(|_| true, &view.roster);
        self.permits.retain(known);
    }
}

/// Returns what the host that hands out permits learns from the end of a try.
fn permit_end(result: &Result<Response<Full<Bytes>>, Ended>) -> PermitEnd {
    let Err(ended) = result else {
        return PermitEnd::Answered;
    };
    match ended {
        Ended::NotRun(_)
        | Ended::Misdirected
        | Ended::Broken(Reason::AnswerMismatch | Reason::AnswerCut) => PermitEnd::Spoke,
        Ended::Broken(_) | Ended::Unsent(Reason::ConnectFailed) => PermitEnd::Silent,
        Ended::Replaced | Ended::Unsent(_) => PermitEnd::Unknown,
    }
}
