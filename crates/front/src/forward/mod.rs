//! The path of one request: from a caller to an upstream and back.
//!
//! - `pick`: where a try goes.
//! - `attempt`: one try.
//! - `reply`: what callers are told.

mod attempt;
mod pick;
mod reply;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use direct::{
    ChooseSettings, Ended, LoadReport, LoadSettings, Next, PermitEnd, Rank, Registered,
    RepeatSettings, Returns, Route, Splitter, Tries, UpstreamLoad, Warmup, WarmupBounds,
};
use gate::Metrics;
use gate::counters::Count;
use http::{HeaderValue, Request, Response, header, request};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use ids::{BootClock, Clock, DomainId, EntryId, Reason, Timestamp, UpstreamId};
use route::{BudgetSettings, RetryBudget};
use slog::Logger;
use tokio_util::sync::CancellationToken;

use self::pick::{MOVE_PAUSE, PassedOver, Pick};
use self::reply::{
    COME_BACK, Refused, come_back, cut_off, given_up, out_of_time, refusal, truthful,
};
use crate::connections::Connections;
use crate::control::samples::{Sample, SampleTx};
use crate::permits::{Admission, PermitService};
use crate::ports::{Asked, Dialect};
use crate::settings::Repeats;
use crate::story::{Story, Teller};
use crate::view::{Phase, Shared, View};

/// Least time that must be left for a request to be sent on.
const LEAST_LEFT: Duration = Duration::from_millis(20);
/// Service time that is assumed until one was observed.
const USUAL_SERVICE: f64 = 0.1;
/// Part of the budget for repeats that this host uses: callers are not spread evenly over hosts.
const BUDGET_PART: f64 = 0.7;

/// What became of sending a request.
enum Sent {
    /// The upstream answered, or the try ended without an answer for the caller.
    Ended(Result<Response<Full<Bytes>>, Ended>),
    /// While it waited, its key got another owner, or its owner left.
    Moved,
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
    connections: Connections,
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
    /// Where permits to send are asked for.
    pub permits: Rc<PermitService>,
    /// Counters.
    pub metrics: Arc<Metrics>,
    /// Logger.
    pub log: Logger,
}

/// A whole request of a caller, and what was found out about it.
struct Job {
    parts: request::Parts,
    body: Bytes,
    asked: Asked,
    route: Route,
    entry: EntryId,
    is_divided: bool,
    /// What the entry's upstreams bear while they are cold.
    warmup: Option<Warmup>,
    /// How urgent it is among the requests of its entry.
    rank: Rank,
    /// How long ago the caller first asked, if it was refused and has come back.
    asked_before: Duration,
    arrived: Timestamp,
    deadline: Timestamp,
    /// What the last upstream that answered said of its load.
    report: Cell<Option<LoadReport>>,
    /// The last answer by which an upstream said that it failed.
    failure: Cell<Option<Response<Full<Bytes>>>>,
}

impl Forwarder {
    /// Builds the forwarder of a host.
    #[must_use]
    pub fn new(parts: ForwarderParts) -> Self {
        Self {
            domain: parts.domain,
            view: parts.view,
            dialect: parts.dialect,
            repeats: parts.repeats,
            warmup: parts.warmup,
            samples: parts.samples,
            connections: Connections::default(),
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
                return Err(out_of_time(&tries));
            }
            let view = self.view.load_full();
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
                Sent::Moved => continue,
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
                Ok(response) => return Ok(response),
                Err(ended) => ended,
            };
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
        if job.is_divided && !self.may_still_go(job, target) {
            return Sent::Moved;
        }
        story.borrow_mut().sent += 1;
        let result = self.attempt(job, target).await;
        if let Some(permit) = &mut permit {
            permit.ended(permit_end(&result), job.report.take());
        }
        Sent::Ended(result)
    }

    /// Reads the whole request and finds its route.
    async fn intake(
        &self,
        req: Request<Incoming>,
        arrived: Timestamp,
        story: &RefCell<Story>,
    ) -> Result<Job, Refused> {
        let (parts, body) = req.into_parts();
        let asked = self.dialect.asked(&parts.headers)?;
        story.borrow_mut().id = asked.id.clone();
        let view = self.view.load_full();
        let Some(in_force) = view.in_force.clone() else {
            return Err(come_back(Reason::NoCatalogue, COME_BACK));
        };
        let host = host_of(&parts).ok_or(Reason::BadRequest)?;
        let key = in_force.routes.find(host, parts.uri.path());
        let route = in_force
            .routes
            .route(key.ok_or(Reason::UnknownEntry)?)
            .clone();
        story.borrow_mut().takes(&in_force.cfg, &route, asked.key);
        let body = read_body(body, in_force.cfg.bounds.body_bytes).await?;
        let entry = self.splitter.borrow_mut().deal(&route).cloned();
        let entry = entry.ok_or(Reason::UnknownEntry)?;
        story.borrow_mut().entry = Some(entry.clone());
        let spec = in_force.cfg.entries.get(&entry);
        let is_divided = spec.is_some_and(|e| e.divided);
        let warmup = spec.and_then(|e| e.warmup);
        if is_divided && asked.key.is_none() {
            return Err(Reason::MissingKey.into());
        }
        let asked_before = asked.wait.map_or(Duration::ZERO, |wait| {
            let mut returns = self.returns.borrow_mut();
            returns.asked_before(&route.name, wait)
        });
        let wait = asked.wait.unwrap_or(route.timeout).min(route.timeout);
        self.count_request(&view, &entry, BootClock.now());
        Ok(Job {
            parts,
            body,
            asked,
            rank: in_force.routes.rank(&route, &entry),
            route,
            entry,
            is_divided,
            warmup,
            asked_before,
            arrived,
            deadline: arrived + wait,
            report: Cell::default(),
            failure: Cell::default(),
        })
    }

    /// Counts a request towards the budget for repeats.
    fn count_request(&self, view: &View, entry: &EntryId, now: Timestamp) {
        let settings = BudgetSettings {
            percent: (self.repeats.ratio * 100.0 * BUDGET_PART) as u32,
            floor: (self.repeats.slack * BUDGET_PART / view.hosts.max(1) as f64) as u32,
            window: Duration::from_secs_f64(self.repeats.window_s),
        };
        let mut entries = self.entries.borrow_mut();
        let state = entries.entry(entry.clone()).or_insert_with(|| EntryState {
            service: USUAL_SERVICE,
            budget: RetryBudget::new(settings),
        });
        state.budget.configure(settings);
        state.budget.request(now);
    }

    /// Tells whether a request on a key may go to `target` after a wait in which the key may have
    /// moved, or its owner have left.
    fn may_still_go(&self, job: &Job, target: &Registered) -> bool {
        let pick = self.pick_owner(&self.view.load(), job, BootClock.now());
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

fn host_of(parts: &request::Parts) -> Option<&str> {
    match parts.uri.authority() {
        Some(authority) => Some(authority.as_str()),
        None => parts.headers.get(header::HOST)?.to_str().ok(),
    }
}

async fn read_body(body: Incoming, limit: usize) -> Result<Bytes, Refused> {
    match Limited::new(body, limit).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(e) if e.is::<LengthLimitError>() => Err(Reason::BodyTooLarge.into()),
        Err(_broken) => Err(Reason::BodyTimeout.into()),
    }
}
