//! Reads a request and resolves its route and entry.

use std::cell::{Cell, RefCell};
use std::time::Duration;

use bytes::Bytes;
use direct::{HostShare, LoadReport, Priority, RequestFingerprint, Route, Warmup};
use http::{Request, Response, header, request};
use http_body_util::Full;
use hyper::body::Incoming;
use ids::{BootClock, Clock, EntryId, Reason, Timestamp};
use route::{BudgetSettings, RetryBudget};

use super::body::{self, BodyLimits};
use super::reply::{DEFAULT_RETRY_AFTER, Refusal, refuse_for_about};
use super::{DEFAULT_SERVICE_TIME, EntryState, Forwarder};
use crate::memory::BodySize;
use crate::ports::CallerHeaders;
use crate::request_log::RequestLog;
use crate::view::View;

/// Fraction of the retry budget that this host uses: callers are not spread evenly over hosts.
const BUDGET_FRACTION: f64 = 0.7;

/// A caller's request, read whole, with its route and entry.
pub(super) struct CallerRequest {
    pub(super) parts: request::Parts,
    pub(super) body: Bytes,
    pub(super) caller_headers: CallerHeaders,
    pub(super) fingerprint: RequestFingerprint,
    pub(super) route: Route,
    pub(super) entry: EntryId,
    pub(super) is_divided: bool,
    /// Request rate that the entry's upstreams bear while they are cold.
    pub(super) warmup: Option<Warmup>,
    /// Priority among the requests of its entry.
    pub(super) priority: Priority,
    /// Time since the caller's first request, if that was refused and this is its retry.
    pub(super) since_first_request: Duration,
    pub(super) arrived: Timestamp,
    pub(super) deadline: Timestamp,
    /// Load that the last upstream to respond reported.
    pub(super) report: Cell<Option<LoadReport>>,
    /// Last answer with which an upstream reported an error of its own.
    pub(super) failure: Cell<Option<Response<Full<Bytes>>>>,
}

impl Forwarder {
    /// Reads the whole request and resolves its route.
    pub(super) async fn prepare(
        &self,
        req: Request<Incoming>,
        arrived: Timestamp,
        log: &RefCell<RequestLog>,
    ) -> Result<CallerRequest, Refusal> {
        let (parts, body) = req.into_parts();
        let caller_headers = self.header_format.read_caller_headers(&parts.headers)?;
        log.borrow_mut().id = caller_headers.id.clone();
        let view = self.view.load_full();
        let Some(configuration) = view.configuration.clone() else {
            return Err(refuse_for_about(Reason::NoCatalogue, DEFAULT_RETRY_AFTER));
        };
        let host = host_name(&parts).ok_or(Reason::BadRequest)?;
        let key = configuration.routes.find(host, parts.uri.path());
        let route = configuration
            .routes
            .route(key.ok_or(Reason::UnknownEntry)?)
            .clone();
        log.borrow_mut()
            .set_route(&configuration.cfg, &route, caller_headers.key);
        let wait = caller_headers
            .timeout
            .unwrap_or(route.timeout)
            .min(route.timeout);
        let deadline = arrived + wait;
        let size = if route.large_bodies {
            BodySize::Large
        } else {
            BodySize::Small
        };
        let limits = BodyLimits {
            max_bytes: configuration.cfg.caller_limits.body_bytes,
            deadline,
        };
        let body = body::read(body, limits, self.memory.reservation(size)).await?;
        let fingerprint = request_fingerprint(&parts, host, &body);
        log.borrow_mut().fingerprint = fingerprint;
        let entry = self.splitter.borrow_mut().next_entry(&route).cloned();
        let entry = entry.ok_or(Reason::UnknownEntry)?;
        log.borrow_mut().entry = Some(entry.clone());
        let spec = configuration.cfg.entries.get(&entry);
        let is_divided = spec.is_some_and(|e| e.divided);
        let warmup = spec.and_then(|e| e.warmup);
        if is_divided && caller_headers.key.is_none() {
            return Err(Reason::MissingKey.into());
        }
        let since_first_request = caller_headers.timeout.map_or(Duration::ZERO, |wait| {
            let mut caller_retries = self.caller_retries.borrow_mut();
            caller_retries.time_since_first_request(&route.name, wait)
        });
        self.count_request(&view, &entry, BootClock.now());
        Ok(CallerRequest {
            parts,
            body,
            caller_headers,
            fingerprint,
            priority: configuration.routes.priority(&route, &entry),
            route,
            entry,
            is_divided,
            warmup,
            since_first_request,
            arrived,
            deadline,
            report: Cell::default(),
            failure: Cell::default(),
        })
    }

    /// Counts a request towards the retry budget.
    fn count_request(&self, view: &View, entry: &EntryId, now: Timestamp) {
        let settings = BudgetSettings {
            percent: (self.retry_budget.ratio * 100.0 * BUDGET_FRACTION) as u32,
            floor: (self.retry_budget.slack * BUDGET_FRACTION / view.hosts.max(1) as f64) as u32,
            window: Duration::from_secs_f64(self.retry_budget.window_s),
        };
        let mut entries = self.entries.borrow_mut();
        let state = entries.entry(entry.clone()).or_insert_with(|| EntryState {
            service_time: DEFAULT_SERVICE_TIME,
            budget: RetryBudget::new(settings),
            share: HostShare::default(),
        });
        state.budget.configure(settings);
        state.budget.record_request(now);
    }
}

fn host_name(parts: &request::Parts) -> Option<&str> {
    match parts.uri.authority() {
        Some(authority) => Some(authority.as_str()),
        None => parts.headers.get(header::HOST)?.to_str().ok(),
    }
}

fn request_fingerprint(parts: &request::Parts, host: &str, body: &[u8]) -> RequestFingerprint {
    let path = parts.uri.path_and_query().map_or("", |p| p.as_str());
    RequestFingerprint::of(parts.method.as_str(), host, path, body)
}
