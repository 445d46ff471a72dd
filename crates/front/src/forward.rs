//! The path of one request: from a caller to an upstream and back.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use direct::{
    Candidate, Choice, ChooseSettings, Ended, LoadSettings, Next, Registered, RepeatSettings,
    Route, Sent, Splitter, State, Tries, UpstreamLoad, choose,
};
use gate::Metrics;
use gate::counters::{Count, Latency};
use gate::headers::strip_connection_only;
use gate::upstream::{BodyEnd, ExchangeError, UpstreamConn};
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, Uri, header, request};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use ids::{BootClock, Clock, DomainId, EntryId, Reason, Timestamp, UpstreamId};
use rand::Rng;
use route::{BudgetSettings, RetryBudget};
use slog::Logger;

use crate::connections::Connections;
use crate::control::samples::{Sample, SampleTx};
use crate::ports::{Asked, Dialect, Verdict};
use crate::settings::Repeats;
use crate::story::{Story, Teller};
use crate::view::{Phase, Shared, View};

/// Largest answer; larger ones than those of today's upstreams by three orders of magnitude.
const ANSWER_BYTES: usize = 32 << 20;
/// Service time that is assumed until one was observed.
const USUAL_SERVICE: f64 = 0.1;
/// Weight of one answer in an entry's mean service time.
const SERVICE_WEIGHT: f64 = 0.05;
/// Part of the budget for repeats that this host uses: callers are not spread evenly over hosts.
const BUDGET_PART: f64 = 0.7;
/// When a caller should come back if nothing better is known: a few service times.
const COME_BACK: Duration = Duration::from_millis(250);
/// Least time that must be left for a request to be sent on.
const LEAST_LEFT: Duration = Duration::from_millis(20);
/// Pause between looks for the owner of a key that is moving.
const OWNER_PAUSE: Duration = Duration::from_millis(50);
/// Part of the objective for which a request waits for its key's owner.
///
/// A planned move takes less than a service time. Whoever waits longer meets a loss, which takes
/// seconds, and is better told to come back.
const OWNER_WAIT: f64 = 0.5;

/// A request that is answered without an upstream's answer.
#[derive(Debug, Clone, Copy)]
pub struct Refused {
    /// Why.
    pub reason: Reason,
    /// When the caller should come back; only for requests that surely did not run.
    pub retry_after: Option<Duration>,
}

impl From<Reason> for Refused {
    fn from(reason: Reason) -> Self {
        Self {
            reason,
            retry_after: None,
        }
    }
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
    samples: SampleTx,
    connections: Connections,
    splitter: RefCell<Splitter>,
    loads: RefCell<HashMap<UpstreamId, UpstreamLoad>>,
    entries: RefCell<HashMap<EntryId, EntryState>>,
    load_cfg: LoadSettings,
    choose_cfg: ChooseSettings,
    repeat_cfg: RepeatSettings,
    teller: Teller,
    metrics: Arc<Metrics>,
}

/// A whole request of a caller, and what was found out about it.
struct Job {
    parts: request::Parts,
    body: Bytes,
    asked: Asked,
    route: Route,
    entry: EntryId,
    is_divided: bool,
    arrived: Timestamp,
    deadline: Timestamp,
    /// The last answer by which an upstream said that it failed.
    failure: Cell<Option<Response<Full<Bytes>>>>,
}

/// Where a try goes.
enum Pick {
    To(Registered),
    /// The key's owner is not known or not reachable now, which may change soon.
    Wait,
    Refuse(Refused),
}

impl Forwarder {
    /// Builds the forwarder of a host in `domain`.
    #[must_use]
    pub fn new(
        domain: DomainId,
        view: Shared,
        dialect: Arc<dyn Dialect>,
        repeats: Repeats,
        samples: SampleTx,
        metrics: Arc<Metrics>,
        log: Logger,
    ) -> Self {
        Self {
            domain,
            view,
            dialect,
            repeats,
            samples,
            connections: Connections::default(),
            splitter: RefCell::default(),
            loads: RefCell::default(),
            entries: RefCell::default(),
            load_cfg: LoadSettings::default(),
            choose_cfg: ChooseSettings::default(),
            repeat_cfg: RepeatSettings::default(),
            teller: Teller::new(log),
            metrics,
        }
    }

    /// Answers a request.
    pub async fn answer(self: Rc<Self>, req: Request<Incoming>) -> Response<Full<Bytes>> {
        let arrived = BootClock.now();
        self.metrics.count(Count::Requests);
        let story = RefCell::new(Story::default());
        let result = self.serve(req, arrived, &story).await;
        let story = story.into_inner();
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
        let mut avoid: Vec<UpstreamId> = Vec::new();
        let mut last: Option<Ended> = None;
        loop {
            let now = BootClock.now();
            if job.deadline.since(now) < LEAST_LEFT {
                return Err(out_of_time(&tries));
            }
            let view = self.view.load_full();
            let target = match self.pick(&view, job, &avoid, now) {
                Pick::To(target) => target,
                Pick::Wait => {
                    self.wait_for_owner(job, &tries, now).await?;
                    continue;
                }
                Pick::Refuse(refused) => {
                    // That none is left to try says less than why the last one failed.
                    let is_last = refused.reason == Reason::NoUpstream;
                    let last = last
                        .filter(|_| is_last)
                        .map(|ended| given_up(ended, &tries));
                    return Err(last.unwrap_or_else(|| truthful(refused, &tries)));
                }
            };
            self.tell_target(&mut story.borrow_mut(), &target, now);
            let ended = match self.attempt(job, &target).await {
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
                Next::GiveUp => return Err(given_up(ended, &tries)),
            }
            avoid.push(target.id);
            last = Some(ended);
        }
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
        let is_divided = in_force.cfg.entries.get(&entry).is_some_and(|e| e.divided);
        if is_divided && asked.key.is_none() {
            return Err(Reason::MissingKey.into());
        }
        let wait = asked.wait.unwrap_or(route.timeout).min(route.timeout);
        self.count_request(&view, &entry, BootClock.now());
        Ok(Job {
            parts,
            body,
            asked,
            route,
            entry,
            is_divided,
            arrived,
            deadline: arrived + wait,
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

    fn withdraw(&self, entry: &EntryId, now: Timestamp) -> bool {
        let mut entries = self.entries.borrow_mut();
        entries
            .get_mut(entry)
            .is_some_and(|e| e.budget.withdraw(now))
    }

    fn pick(&self, view: &View, job: &Job, avoid: &[UpstreamId], now: Timestamp) -> Pick {
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
        fresh.retain(|u| !avoid.contains(&u.id));
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
        let objective = job.route.objective;
        let (load, cfg) = (&self.load_cfg, &self.choose_cfg);
        match choose(now, objective, usual, candidates, load, cfg) {
            Choice::Chosen { key, expected } => {
                let left = job.deadline.since(now).as_secs_f64();
                if expected > left {
                    let over = Duration::from_secs_f64(expected - left);
                    return Pick::Refuse(come_back(Reason::DeadlineTooShort, over));
                }
                Pick::To(key.clone())
            }
            Choice::Full { room_in } => {
                let room_in = Duration::from_secs_f64(room_in);
                Pick::Refuse(come_back(Reason::QueueFull, room_in))
            }
            Choice::None => Pick::Refuse(come_back(Reason::NoUpstream, COME_BACK)),
        }
    }

    fn pick_owner(&self, view: &View, job: &Job, now: Timestamp) -> Pick {
        let owners = view.owners.get(&job.entry);
        let owner = job.asked.key.and_then(|key| owners?.owner(key));
        let Some(up) = owner.and_then(|id| view.roster.get(id)) else {
            return Pick::Wait;
        };
        if up.state == State::Leaving {
            return Pick::Wait;
        }
        let usual = self.usual(&job.entry);
        let mut loads = self.loads.borrow_mut();
        let load = loads
            .entry(up.id.clone())
            .or_insert_with(|| UpstreamLoad::new(up.slots));
        if load.is_closed(now) {
            return Pick::Wait;
        }
        let expected = load.expected(now, usual, &self.load_cfg);
        let left = job.deadline.since(now).as_secs_f64();
        if load.crowd(now, &self.load_cfg) >= self.choose_cfg.crowd_max || expected > left {
            let room_in = load.service().unwrap_or(usual);
            let reason = Reason::QueueFull;
            return Pick::Refuse(come_back(reason, Duration::from_secs_f64(room_in)));
        }
        Pick::To(up.clone())
    }

    async fn wait_for_owner(
        &self,
        job: &Job,
        tries: &Tries,
        now: Timestamp,
    ) -> Result<(), Refused> {
        let waited = now.since(job.arrived);
        if waited > job.route.objective.mul_f64(OWNER_WAIT) {
            return Err(truthful(come_back(Reason::NoOwner, COME_BACK), tries));
        }
        tokio::time::sleep(OWNER_PAUSE).await;
        Ok(())
    }

    fn usual(&self, entry: &EntryId) -> f64 {
        let entries = self.entries.borrow();
        entries.get(entry).map_or(USUAL_SERVICE, |e| e.service)
    }

    /// Sends the request to `target` and judges what comes back.
    async fn attempt(
        &self,
        job: &Job,
        target: &Registered,
    ) -> Result<Response<Full<Bytes>>, Ended> {
        let now = BootClock.now();
        self.metrics.count(Count::Sent);
        let sent = self.with_load(target, |load| load.sent(now, &self.load_cfg));
        let mut under_way = UnderWay {
            forwarder: self,
            target,
            sent,
            is_over: false,
        };
        let result = self.exchange(job, target).await;
        under_way.end();
        drop(under_way);
        result
            .inspect(|_| self.answered(job, target, sent))
            .inspect_err(|&ended| self.note_failure(target, ended))
    }

    async fn exchange(
        &self,
        job: &Job,
        target: &Registered,
    ) -> Result<Response<Full<Bytes>>, Ended> {
        let now = BootClock.now();
        if let Some(conn) = self.connections.take(now, &target.id).await {
            match self.exchange_on(conn, job, target).await {
                Err(Ended::Unsent(_)) => {}
                other => return other,
            }
        }
        self.metrics.count(Count::UpstreamConnected);
        match self.connections.open(target.address).await {
            Ok(Some(conn)) => self.exchange_on(conn, job, target).await,
            Ok(None) => Err(Ended::NotRun(Reason::UpstreamShed)),
            Err(_refused_or_silent) => Err(Ended::Unsent(Reason::ConnectFailed)),
        }
    }

    async fn exchange_on(
        &self,
        conn: UpstreamConn,
        job: &Job,
        target: &Registered,
    ) -> Result<Response<Full<Bytes>>, Ended> {
        let left = job.deadline.since(BootClock.now());
        if left < LEAST_LEFT {
            return Err(Ended::Unsent(Reason::DeadlineExpired));
        }
        let req = self.request(job, target, left);
        let exchange = conn.exchange_ended(req, ANSWER_BYTES, BodyEnd::OrClosed);
        let done = match tokio::time::timeout(left, exchange).await {
            Ok(Ok(done)) => done,
            Ok(Err(e)) => return Err(exchange_ended(&e)),
            Err(_elapsed) => return Err(Ended::Broken(Reason::AnswerTimeout)),
        };
        let now = BootClock.now();
        let judged = self.dialect.judge(&done.head, &job.asked.id);
        if let Some(report) = judged.load {
            self.with_load(target, |load| load.reported(now, report));
        }
        let closes = says_close(&done.head.headers);
        match judged.verdict {
            Verdict::Foreign => return Err(Ended::Broken(Reason::AnswerMismatch)),
            _ if closes => {}
            _ => {
                if let Some(conn) = done.conn {
                    self.connections
                        .keep(now, &target.id, conn, judged.keep_alive);
                }
            }
        }
        match judged.verdict {
            Verdict::Answer if done.head.status.is_server_error() && job.route.idempotent => {
                // Another upstream, or the same one later, may do better.
                let failure = response(done.head.status, done.head.headers, done.body);
                job.failure.set(Some(failure));
                Err(Ended::Broken(Reason::UpstreamReset))
            }
            Verdict::Answer => Ok(response(done.head.status, done.head.headers, done.body)),
            Verdict::NotRun => Err(Ended::NotRun(Reason::UpstreamShed)),
            Verdict::Misdirected => Err(Ended::Misdirected),
            Verdict::Foreign => Err(Ended::Broken(Reason::AnswerMismatch)),
        }
    }

    fn request(&self, job: &Job, target: &Registered, left: Duration) -> Request<Full<Bytes>> {
        let mut headers = job.parts.headers.clone();
        strip_connection_only(&mut headers);
        headers.remove(header::CONTENT_LENGTH);
        headers.remove(header::EXPECT);
        self.dialect.address(&mut headers, &target.id, left);
        let mut req = Request::new(Full::new(job.body.clone()));
        *req.method_mut() = job.parts.method.clone();
        *req.uri_mut() = origin_form(&job.parts.uri);
        *req.headers_mut() = headers;
        let takes_length = !matches!(job.parts.method, Method::GET | Method::HEAD);
        if takes_length && job.body.is_empty() {
            let zero = HeaderValue::from_static("0");
            req.headers_mut().insert(header::CONTENT_LENGTH, zero);
        }
        req
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

    fn answered(&self, job: &Job, target: &Registered, sent: Sent) {
        let now = BootClock.now();
        self.metrics.record(Latency::Upstream, now.since(sent.at()));
        let service = self.with_load(target, |load| {
            load.answered(now, sent, &self.load_cfg);
            load.service()
        });
        let Some(service) = service else {
            return;
        };
        if let Some(entry) = self.entries.borrow_mut().get_mut(&job.entry) {
            entry.service += SERVICE_WEIGHT * (service - entry.service);
        }
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

    fn note_failure(&self, target: &Registered, ended: Ended) {
        let now = BootClock.now();
        let cfg = &self.load_cfg;
        self.with_load(target, |load| match ended {
            Ended::Unsent(Reason::ConnectFailed) => load.unreachable(now, cfg),
            Ended::Unsent(_) | Ended::Misdirected => {}
            Ended::NotRun(_) => load.shed(now, cfg),
            Ended::Broken(_) => load.failed(now, cfg),
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
    }
}

/// A try under way; dropping it without its end means that the caller has gone.
struct UnderWay<'a> {
    forwarder: &'a Forwarder,
    target: &'a Registered,
    sent: Sent,
    is_over: bool,
}

impl UnderWay<'_> {
    fn end(&mut self) {
        self.is_over = true;
    }
}

impl Drop for UnderWay<'_> {
    fn drop(&mut self) {
        let waited = BootClock.now().since(self.sent.at());
        let cfg = &self.forwarder.load_cfg;
        self.forwarder.with_load(self.target, |load| {
            load.ended();
            if !self.is_over {
                load.silent(waited, cfg);
            }
        });
        if !self.is_over {
            self.forwarder.metrics.count(Count::Aborted);
        }
    }
}

fn exchange_ended(e: &ExchangeError) -> Ended {
    match e {
        ExchangeError::Connect { .. } => Ended::Unsent(Reason::ConnectFailed),
        ExchangeError::Unsent { .. } => Ended::Unsent(Reason::UpstreamReset),
        ExchangeError::Reset { .. } => Ended::Broken(Reason::UpstreamReset),
        ExchangeError::Cut { .. } => Ended::Broken(Reason::AnswerCut),
        ExchangeError::TooLarge { .. } => Ended::Broken(Reason::AnswerTooLarge),
    }
}

fn out_of_time(tries: &Tries) -> Refused {
    if tries.may_have_run() {
        Reason::AnswerTimeout.into()
    } else {
        come_back(Reason::DeadlineTooShort, COME_BACK)
    }
}

/// Makes a refusal say no more than is known of earlier tries.
fn truthful(refused: Refused, tries: &Tries) -> Refused {
    if tries.may_have_run() {
        return Reason::UpstreamReset.into();
    }
    refused
}

fn given_up(ended: Ended, tries: &Tries) -> Refused {
    if tries.may_have_run() {
        let reason = ended.reason();
        let is_known = reason.outcome() == ids::Outcome::Unknown;
        return if is_known {
            reason
        } else {
            Reason::UpstreamReset
        }
        .into();
    }
    come_back(ended.reason(), COME_BACK)
}

/// Builds a refusal with a time to come back that is spread, so that callers who are refused
/// together don't return together.
fn come_back(reason: Reason, after: Duration) -> Refused {
    let spread = rand::rng().random_range(0.6..1.4);
    Refused {
        reason,
        retry_after: Some(after.mul_f64(spread).max(Duration::from_millis(50))),
    }
}

fn refusal(refused: Refused) -> Response<Full<Bytes>> {
    let reason = refused.reason;
    let status = StatusCode::from_u16(reason.status()).unwrap_or(StatusCode::BAD_GATEWAY);
    let body = format!(
        "{{\"status\":{},\"reason\":\"{}\",\"outcome\":\"{}\",\"detail\":\"{}\"}}",
        status.as_u16(),
        reason.as_str(),
        reason.outcome().as_str(),
        reason.about()
    );
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    let json = HeaderValue::from_static("application/problem+json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    if let Some(after) = refused.retry_after {
        let text = format!("{:.3}", after.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&text) {
            response.headers_mut().insert(header::RETRY_AFTER, value);
        }
    }
    response
}

fn response(status: StatusCode, mut headers: HeaderMap, body: Bytes) -> Response<Full<Bytes>> {
    strip_connection_only(&mut headers);
    headers.remove(header::CONTENT_LENGTH);
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

fn says_close(headers: &HeaderMap) -> bool {
    headers
        .get(header::CONNECTION)
        .and_then(|v| v.to_str().ok())
        .is_some_and(|v| v.eq_ignore_ascii_case("close"))
}

fn host_of(parts: &request::Parts) -> Option<&str> {
    match parts.uri.authority() {
        Some(authority) => Some(authority.as_str()),
        None => parts.headers.get(header::HOST)?.to_str().ok(),
    }
}

fn origin_form(uri: &Uri) -> Uri {
    if uri.authority().is_none() {
        return uri.clone();
    }
    let path = uri.path_and_query().cloned();
    path.map_or_else(|| uri.clone(), Uri::from)
}

async fn read_body(body: Incoming, limit: usize) -> Result<Bytes, Refused> {
    match Limited::new(body, limit).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(e) if e.is::<LengthLimitError>() => Err(Reason::BodyTooLarge.into()),
        Err(_broken) => Err(Reason::BodyTimeout.into()),
    }
}
