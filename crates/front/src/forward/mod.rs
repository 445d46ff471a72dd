//! The path of a request from a caller to an upstream and back.
//!
//! - `prepare`: reads a request and resolves its route.
//! - [`body`]: reads a request's body.
//! - `retry_loop`: attempts of one request.
//! - `eligibility`: whether a request may go to an upstream now.
//! - `pick`: selection of the target of an attempt.
//! - `reserve`: capacity for requests that any upstream of their entry may run.
//! - `attempt`: one attempt.
//! - `exchange`: one exchange with an upstream, over this host's own link or through another host.
//! - `reply`: refusals and other responses to callers.

mod attempt;
pub mod body;
mod eligibility;
mod exchange;
mod pick;
mod prepare;
mod reply;
mod reserve;
mod retry_loop;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::IpAddr;
use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use direct::{
    CallerRetries, ChooseSettings, HostShare, LoadSettings, Registration, RetrySettings, Splitter,
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
use tokio::sync::{mpsc, watch};
use tokio_util::sync::CancellationToken;

use self::prepare::CallerRequest;
use self::reply::{Refusal, refusal_at_shutdown, refusal_response};
use crate::connections::ConnectionPool;
use crate::control::samples::{Sample, SampleTx};
use crate::crashes::CrashDetector;
use crate::links::{LinkTracker, SharedLostLinks};
use crate::memory::MemoryBudget;
use crate::observation::ObservationTx;
use crate::peer_exchange::{PeerCallsRx, PeerClient, PeerServer};
use crate::permits::PermitService;
use crate::ports::HeaderFormat;
use crate::reach::ReachChecker;
use crate::request_log::{RequestLog, RequestLogger};
use crate::settings::RetryBudgetSettings;
use crate::upstream_client::{MIN_TIME_LEFT, UpstreamClient};
use crate::view::{Phase, SharedView, View};

/// Service time in seconds that is assumed until one was observed.
const DEFAULT_SERVICE_TIME: f64 = 0.1;

/// State of an entry on the request thread.
#[derive(Debug)]
struct EntryState {
    service_time: f64,
    budget: RetryBudget,
    share: HostShare,
}

/// Forwards requests of callers to upstreams; runs on the request thread.
#[derive(Debug)]
pub struct Forwarder {
    domain: DomainId,
    view: SharedView,
    header_format: Arc<dyn HeaderFormat>,
    retry_budget: RetryBudgetSettings,
    warmup: WarmupBounds,
    samples: SampleTx,
    connections: Rc<ConnectionPool>,
    links: Rc<LinkTracker>,
    reach: Rc<ReachChecker>,
    client: Rc<UpstreamClient>,
    peer_client: Rc<PeerClient>,
    crash_detector: Rc<CrashDetector>,
    observations: ObservationTx,
    permits: Rc<PermitService>,
    splitter: RefCell<Splitter>,
    caller_retries: RefCell<CallerRetries>,
    loads: RefCell<HashMap<UpstreamId, UpstreamLoad>>,
    /// Notified when an answer changes which requests an upstream takes.
    upstream_changes: watch::Sender<()>,
    entries: RefCell<HashMap<EntryId, EntryState>>,
    load_cfg: LoadSettings,
    choose_cfg: ChooseSettings,
    retry_cfg: RetrySettings,
    logger: RequestLogger,
    log: Logger,
    memory: MemoryBudget,
    metrics: Arc<Metrics>,
    /// Cancels all requests in flight.
    shutdown: CancellationToken,
}

/// What a [`Forwarder`] is built from.
#[derive(Debug)]
pub struct ForwarderParts {
    /// The host's failure domain.
    pub domain: DomainId,
    /// Local address of connections to upstreams; chosen by the system if there is none.
    pub upstream_source: Option<IpAddr>,
    /// State that the control thread publishes.
    pub view: SharedView,
    /// Where the lost links are published.
    pub lost_links: SharedLostLinks,
    /// Format of the headers of callers and upstreams.
    pub header_format: Arc<dyn HeaderFormat>,
    /// The retry budget.
    pub retry_budget: RetryBudgetSettings,
    /// By how much requests at cold upstreams may exceed the rate that those bear.
    pub warmup: WarmupBounds,
    /// Channel for samples of requests.
    pub samples: SampleTx,
    /// Channel for observations of upstreams.
    pub observations: ObservationTx,
    /// Service that requests permits.
    pub permits: Rc<PermitService>,
    /// Memory budget for bodies.
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
        let connections = Rc::new(ConnectionPool::new(parts.upstream_source));
        let links = Rc::new(LinkTracker::new(
            parts.lost_links,
            Arc::clone(&parts.metrics),
            parts.log.clone(),
        ));
        let peer_client: Rc<PeerClient> = Rc::default();
        let reach = Rc::new(ReachChecker::new(
            Rc::clone(&connections),
            Rc::clone(&links),
            Rc::clone(&peer_client),
            SharedView::clone(&parts.view),
        ));
        let client = Rc::new(UpstreamClient {
            connections: Rc::clone(&connections),
            links: Rc::clone(&links),
            header_format: Arc::clone(&parts.header_format),
            memory: parts.memory.clone(),
            metrics: Arc::clone(&parts.metrics),
        });
        let crash_detector = CrashDetector::new(
            Rc::clone(&connections),
            Rc::clone(&reach),
            parts.observations.clone(),
            Arc::clone(&parts.metrics),
            parts.log.clone(),
        );
        Self {
            domain: parts.domain,
            view: parts.view,
            header_format: parts.header_format,
            retry_budget: parts.retry_budget,
            warmup: parts.warmup,
            samples: parts.samples,
            connections,
            links,
            reach,
            client,
            peer_client,
            crash_detector: Rc::new(crash_detector),
            observations: parts.observations,
            permits: parts.permits,
            splitter: RefCell::default(),
            caller_retries: RefCell::default(),
            loads: RefCell::default(),
            upstream_changes: watch::Sender::default(),
            entries: RefCell::default(),
            load_cfg: LoadSettings::default(),
            choose_cfg: ChooseSettings::default(),
            retry_cfg: RetrySettings::default(),
            logger: RequestLogger::new(parts.log.clone()),
            log: parts.log,
            memory: parts.memory,
            metrics: parts.metrics,
            shutdown: CancellationToken::new(),
        }
    }

    /// Returns the server of requests of other hosts.
    #[must_use]
    pub fn peer_server(&self) -> Rc<PeerServer> {
        Rc::new(PeerServer {
            client: Rc::clone(&self.client),
            reach: Rc::clone(&self.reach),
            view: SharedView::clone(&self.view),
            requests: Cell::new(0),
            log: self.log.clone(),
        })
    }

    /// Carries out control calls that go through other hosts.
    pub async fn serve_peer_calls(self: Rc<Self>, calls: PeerCallsRx) {
        let view = SharedView::clone(&self.view);
        calls.run(Rc::clone(&self.reach), view).await;
    }

    /// Checks links to upstreams, also those that `requested` names.
    pub async fn check_links(self: Rc<Self>, requested: mpsc::Receiver<UpstreamId>) {
        Rc::clone(&self.reach).run(requested).await;
    }

    /// Answers all requests in flight at once: the process is about to be killed, and an upstream
    /// that has not answered yet may never do so.
    pub fn cancel_requests(&self) {
        self.shutdown.cancel();
    }

    /// Answers a request.
    pub async fn answer(self: Rc<Self>, req: Request<Incoming>) -> Response<Full<Bytes>> {
        let arrived = BootClock.now();
        self.metrics.count(Count::Requests);
        let log = RefCell::new(RequestLog::default());
        let served = self.serve(req, arrived, &log);
        let result = self.shutdown.run_until_cancelled(served).await;
        let log = log.into_inner();
        let result = result.unwrap_or_else(|| Err(refusal_at_shutdown(log.sent)));
        let mut response = match result {
            Ok(response) => {
                let status = response.status().as_u16();
                self.logger.answered(&log, arrived, status, &self.metrics);
                response
            }
            Err(refusal) => {
                let Refusal {
                    reason,
                    retry_after,
                } = refusal;
                self.logger
                    .refused(&log, arrived, reason, retry_after, &self.metrics);
                refusal_response(refusal)
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
        log: &RefCell<RequestLog>,
    ) -> Result<Response<Full<Bytes>>, Refusal> {
        let mut request = self.prepare(req, arrived, log).await?;
        let result = self.run(&mut request, log).await;
        // An upstream's own error answer tells the caller more than a refusal.
        result.or_else(|refusal| request.failure.take().ok_or(refusal))
    }

    fn log_target(&self, log: &mut RequestLog, target: &Registration, now: Timestamp) {
        self.with_load(target, |load| {
            let occupancy = load.occupancy(now, &self.load_cfg);
            log.set_upstream(target, occupancy, load.report_age(now));
        });
    }

    fn with_load<T>(&self, target: &Registration, f: impl FnOnce(&mut UpstreamLoad) -> T) -> T {
        let mut loads = self.loads.borrow_mut();
        let load = loads
            .entry(target.id.clone())
            .or_insert_with(|| UpstreamLoad::new(target.slots));
        f(load)
    }

    /// Reports a request on a key, whether it is answered or refused: refused requests are demand
    /// too.
    fn report_demand(&self, view: &View, request: &CallerRequest) {
        let owners = view.owners.get(&request.resolved.entry);
        let Some(key) = request
            .caller_headers
            .key
            .filter(|_| request.resolved.is_divided)
        else {
            return;
        };
        let Some(owner) = owners.and_then(|o| o.owner(key)) else {
            return;
        };
        let loads = self.loads.borrow();
        let service_time = loads.get(owner).and_then(UpstreamLoad::service_time);
        self.samples.send(Sample {
            entry: request.resolved.entry.clone(),
            key,
            upstream: owner.clone(),
            service_time,
        });
    }

    /// Drops the state of upstreams that are no longer registered.
    pub fn forget_unregistered(&self) {
        let view = self.view.load();
        let known = |id: &UpstreamId| view.registry.get(id).is_some();
        self.loads
            .borrow_mut()
            .retain(|id, load| known(id) || load.in_flight() > 0);
        self.connections.retain(|_| true, &view.registry);
        self.permits.retain(known);
        self.reach.forget_unknown();
    }
}
