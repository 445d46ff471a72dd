//! Reads a request and resolves its route and entry.

use std::cell::{Cell, RefCell};
use std::sync::Arc;
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
use crate::view::{CompiledConfiguration, View};

/// Fraction of the retry budget that this host uses: callers are not spread evenly over hosts.
const BUDGET_FRACTION: f64 = 0.7;

/// The route of a request, and the entry that serves it.
#[derive(Debug, Clone)]
pub(super) struct ResolvedRoute {
    /// The configuration by which they were found.
    pub(super) configuration: Arc<CompiledConfiguration>,
    pub(super) route: Route,
    pub(super) entry: EntryId,
    pub(super) is_divided: bool,
    /// Request rate that the entry's upstreams bear while they are cold.
    pub(super) warmup: Option<Warmup>,
    /// Priority among the requests of its entry.
    pub(super) priority: Priority,
}

impl ResolvedRoute {
    /// Returns the route of a request with the entry `entry`.
    fn new(configuration: &Arc<CompiledConfiguration>, route: &Route, entry: EntryId) -> Self {
        let spec = configuration.cfg.entries.get(&entry);
        Self {
            priority: configuration.routes.priority(route, &entry),
            is_divided: spec.is_some_and(|e| e.divided),
            warmup: spec.and_then(|e| e.warmup),
            configuration: Arc::clone(configuration),
            route: route.clone(),
            entry,
        }
    }

    /// Returns whether the request's route still leads to the entry by `configuration`, under the same
    /// conditions.
    pub(super) fn is_in_force(
        &self,
        configuration: &Arc<CompiledConfiguration>,
        parts: &request::Parts,
    ) -> bool {
        if Arc::ptr_eq(configuration, &self.configuration) {
            return true;
        }
        let Ok(route) = find_route(configuration, parts) else {
            return false;
        };
        let spec = configuration.cfg.entries.get(&self.entry);
        route.leads_to(&self.entry)
            && route.idempotent == self.route.idempotent
            && spec.is_some_and(|e| e.divided) == self.is_divided
    }
}

/// A caller's request, read whole, with its route and entry.
pub(super) struct CallerRequest {
    pub(super) parts: request::Parts,
    pub(super) body: Bytes,
    pub(super) caller_headers: CallerHeaders,
    pub(super) fingerprint: RequestFingerprint,
    pub(super) resolved: ResolvedRoute,
    /// Time since the caller's first request, if that was refused and this is its retry.
    pub(super) since_first_request: Duration,
    pub(super) arrived: Timestamp,
    pub(super) deadline: Timestamp,
    /// Load that the last upstream to respond reported.
    pub(super) report: Cell<Option<LoadReport>>,
    /// Last answer with which an upstream reported an error of its own.
    pub(super) failure: Cell<Option<Response<Full<Bytes>>>>,
}

impl CallerRequest {
    /// Returns whether the route by which the request was resolved is still in force.
    pub(super) fn is_route_in_force(&self, view: &View) -> bool {
        let configuration = view.configuration.as_ref();
        configuration.is_none_or(|current| self.resolved.is_in_force(current, &self.parts))
    }
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
        let route = find_route(&configuration, &parts)?;
        log.borrow_mut()
            .set_route(&configuration.cfg, route, caller_headers.key);
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
        let fingerprint = request_fingerprint(&parts, &body);
        log.borrow_mut().fingerprint = fingerprint;
        let resolved = self.resolve(&configuration, route, caller_headers.key, log)?;
        let since_first_request = caller_headers.timeout.map_or(Duration::ZERO, |wait| {
            let mut caller_retries = self.caller_retries.borrow_mut();
            caller_retries.time_since_first_request(&route.name, wait)
        });
        self.count_request(&view, &resolved.entry, BootClock.now());
        Ok(CallerRequest {
            parts,
            body,
            caller_headers,
            fingerprint,
            resolved,
            since_first_request,
            arrived,
            deadline,
            report: Cell::default(),
            failure: Cell::default(),
        })
    }

    /// Selects the entry of a request on `route`.
    fn resolve(
        &self,
        configuration: &Arc<CompiledConfiguration>,
        route: &Route,
        key: Option<u16>,
        log: &RefCell<RequestLog>,
    ) -> Result<ResolvedRoute, Reason> {
        let entry = self.splitter.borrow_mut().next_entry(route).cloned();
        let entry = entry.ok_or(Reason::UnknownEntry)?;
        log.borrow_mut().entry = Some(entry.clone());
        let resolved = ResolvedRoute::new(configuration, route, entry);
        if resolved.is_divided && key.is_none() {
            return Err(Reason::MissingKey);
        }
        Ok(resolved)
    }

    /// Resolves the route of a request anew if it is no longer in force; returns whether it has changed.
    ///
    /// # Errors
    ///
    /// Fails if the operator has removed the route.
    pub(super) fn refresh_route(
        &self,
        view: &View,
        request: &mut CallerRequest,
        log: &RefCell<RequestLog>,
    ) -> Result<bool, Reason> {
        let Some(configuration) = &view.configuration else {
            return Ok(false);
        };
        if request.is_route_in_force(view) {
            return Ok(false);
        }
        let route = find_route(configuration, &request.parts)?;
        let key = request.caller_headers.key;
        log.borrow_mut().set_route(&configuration.cfg, route, key);
        request.resolved = self.resolve(configuration, route, key, log)?;
        self.count_request(view, &request.resolved.entry, BootClock.now());
        Ok(true)
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

fn find_route<'a>(
    configuration: &'a CompiledConfiguration,
    parts: &request::Parts,
) -> Result<&'a Route, Reason> {
    let routes = &configuration.routes;
    let host = host_name(parts).ok_or(Reason::BadRequest)?;
    let key = routes.find(host, parts.uri.path());
    Ok(routes.route(key.ok_or(Reason::UnknownEntry)?))
}

fn host_name(parts: &request::Parts) -> Option<&str> {
    match parts.uri.authority() {
        Some(authority) => Some(authority.as_str()),
        None => parts.headers.get(header::HOST)?.to_str().ok(),
    }
}

fn request_fingerprint(parts: &request::Parts, body: &[u8]) -> RequestFingerprint {
    let host = host_name(parts).unwrap_or_default();
    let path = parts.uri.path_and_query().map_or("", |p| p.as_str());
    RequestFingerprint::of(parts.method.as_str(), host, path, body)
}
