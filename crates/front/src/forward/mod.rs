//! The path of one request: from a caller to an upstream and back.
//!
//! - `intake`: reading a request and finding its route.
//! - [`body`]: reading a request's body.
//! - `course`: from try to try.
//! - `pick`: where a try goes.
//! - `attempt`: one try.
//! - `reply`: what callers are told.

mod attempt;
pub mod body;
mod course;
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
    CallerRetries, ChooseSettings, LoadSettings, Registration, RetrySettings, Splitter,
    UpstreamLoad, WarmupBounds,
};
use gate::Metrics;
use gate::counters::Count;
use http::{HeaderValue, Request, Response, header};
use http_body_util::Full;
use hyper::body::Incoming;
use ids::{BootClock, Clock, DomainId, EntryId, Timestamp, UpstreamId};
use route::RetryBudget;
use slog::Logger;
use tokio_util::sync::CancellationToken;

use self::intake::Job;
use self::reply::{Refused, cut_off, refusal};
use crate::connections::Connections;
use crate::control::samples::{Sample, SampleTx};
use crate::crashes::CrashWatch;
use crate::memory::MemoryBudget;
use crate::news::NewsTx;
use crate::permits::PermitService;
use crate::ports::Dialect;
use crate::settings::Repeats;
use crate::story::{Story, Teller};
use crate::view::{Phase, Shared, View};

/// Least time that must be left for a request to be sent on.
const LEAST_LEFT: Duration = Duration::from_millis(20);
/// Service time that is assumed until one was observed.
const USUAL_SERVICE: f64 = 0.1;

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
    returns: RefCell<CallerRetries>,
    loads: RefCell<HashMap<UpstreamId, UpstreamLoad>>,
    entries: RefCell<HashMap<EntryId, EntryState>>,
    load_cfg: LoadSettings,
    choose_cfg: ChooseSettings,
    repeat_cfg: RetrySettings,
    teller: Teller,
    memory: MemoryBudget,
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
    /// What bodies may take of the host's memory.
    pub memory: MemoryBudget,
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
            repeat_cfg: RetrySettings::default(),
            teller: Teller::new(parts.log),
            memory: parts.memory,
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

    fn tell_target(&self, story: &mut Story, target: &Registration, now: Timestamp) {
        self.with_load(target, |load| {
            let crowd = load.occupancy(now, &self.load_cfg);
            story.goes_to(target, crowd, load.report_age(now));
        });
    }

    fn with_load<T>(&self, target: &Registration, f: impl FnOnce(&mut UpstreamLoad) -> T) -> T {
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
        let service = loads.get(owner).and_then(UpstreamLoad::service_time);
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
