//! Taking a request: reading it whole, and finding its route and entry.

use std::cell::{Cell, RefCell};
use std::time::Duration;

use bytes::Bytes;
use direct::{LoadReport, Priority, RequestFingerprint, Route, Warmup};
use http::{Request, Response, header, request};
use http_body_util::Full;
use hyper::body::Incoming;
use ids::{BootClock, Clock, EntryId, Reason, Timestamp};
use route::{BudgetSettings, RetryBudget};

use super::body::{self, BodyBounds};
use super::reply::{COME_BACK, Refused, come_back};
use super::{EntryState, Forwarder, USUAL_SERVICE};
use crate::memory::BodySize;
use crate::ports::Asked;
use crate::story::Story;
use crate::view::View;

/// Part of the budget for repeats that this host uses: callers are not spread evenly over hosts.
const BUDGET_PART: f64 = 0.7;

/// A whole request of a caller, and what was found out about it.
pub(super) struct Job {
    pub(super) parts: request::Parts,
    pub(super) body: Bytes,
    pub(super) asked: Asked,
    pub(super) content: RequestFingerprint,
    pub(super) route: Route,
    pub(super) entry: EntryId,
    pub(super) is_divided: bool,
    /// What the entry's upstreams bear while they are cold.
    pub(super) warmup: Option<Warmup>,
    /// How urgent it is among the requests of its entry.
    pub(super) rank: Priority,
    /// How long ago the caller first asked, if it was refused and has come back.
    pub(super) asked_before: Duration,
    pub(super) arrived: Timestamp,
    pub(super) deadline: Timestamp,
    /// What the last upstream that answered said of its load.
    pub(super) report: Cell<Option<LoadReport>>,
    /// The last answer by which an upstream said that it failed.
    pub(super) failure: Cell<Option<Response<Full<Bytes>>>>,
}

impl Forwarder {
    /// Reads the whole request and finds its route.
    pub(super) async fn intake(
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
        let wait = asked.wait.unwrap_or(route.timeout).min(route.timeout);
        let deadline = arrived + wait;
        let size = if route.large_bodies {
            BodySize::Large
        } else {
            BodySize::Small
        };
        let bounds = BodyBounds {
            most: in_force.cfg.caller_limits.body_bytes,
            deadline,
        };
        let body = body::read(body, bounds, self.memory.request(size)).await?;
        let content = content_of(&parts, host, &body);
        story.borrow_mut().content = content;
        let entry = self.splitter.borrow_mut().next_entry(&route).cloned();
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
            returns.time_since_first_request(&route.name, wait)
        });
        self.count_request(&view, &entry, BootClock.now());
        Ok(Job {
            parts,
            body,
            asked,
            content,
            rank: in_force.routes.priority(&route, &entry),
            route,
            entry,
            is_divided,
            warmup,
            asked_before,
            arrived,
            deadline,
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
        state.budget.record_request(now);
    }
}

fn host_of(parts: &request::Parts) -> Option<&str> {
    match parts.uri.authority() {
        Some(authority) => Some(authority.as_str()),
        None => parts.headers.get(header::HOST)?.to_str().ok(),
    }
}

fn content_of(parts: &request::Parts, host: &str, body: &[u8]) -> RequestFingerprint {
    let path = parts.uri.path_and_query().map_or("", |p| p.as_str());
    RequestFingerprint::of(parts.method.as_str(), host, path, body)
}
