//! Routes, upstreams and requests, checked and with indices in place of names.
//!
//! Times are whole microseconds and speeds whole thousandths, so that capacity and work add up
//! without rounding errors.

use indexmap::{IndexMap, IndexSet};
use serde::Deserialize;
use smol_str::SmolStr;
use thiserror::Error;

const US_PER_MS: f64 = 1_000.0;
const SPEED_UNITS: f64 = 1_000.0;
/// Largest time in milliseconds, some 300 years, so that products of times fit into 64 bits.
const MAX_MS: f64 = 1e13;
const MAX_SLOTS: u32 = 1_000_000;
const MAX_SPEED: f64 = 1_000.0;

/// A route of the description.
#[derive(Debug, Clone, PartialEq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Name.
    pub name: SmolStr,
    /// Entry whose upstreams serve it.
    pub entry: SmolStr,
    /// Priority; 0 is the most urgent.
    pub priority: u32,
    /// Latency up to which an answer is in time, in milliseconds.
    pub objective_ms: f64,
    /// Latency up to which the caller waits, in milliseconds.
    pub deadline_ms: f64,
    /// Weight of an answer in time, among routes of equal priority.
    pub in_time_weight: f64,
    /// Weight of a late answer, among routes of equal priority; 0 if late answers are worthless.
    pub late_weight: f64,
}

impl Route {
    /// Latency objective in microseconds.
    #[must_use]
    pub fn objective_us(&self) -> u64 {
        to_us(self.objective_ms)
    }

    /// Deadline in microseconds.
    #[must_use]
    pub fn deadline_us(&self) -> u64 {
        to_us(self.deadline_ms)
    }
}

/// When a request is to be answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Goal {
    /// Within the objective.
    InTime,
    /// Within the deadline.
    Late,
}

impl Goal {
    /// Largest latency that reaches the goal, in microseconds.
    #[must_use]
    pub fn limit_us(self, route: &Route) -> u64 {
        match self {
            Self::InTime => route.objective_us(),
            Self::Late => route.deadline_us(),
        }
    }

    /// Weight of an answer that reaches the goal.
    #[must_use]
    pub fn weight(self, route: &Route) -> f64 {
        match self {
            Self::InTime => route.in_time_weight,
            Self::Late => route.late_weight,
        }
    }
}

/// An upstream of the description.
#[derive(Debug, Clone, PartialEq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Upstream {
    /// Name.
    pub name: SmolStr,
    /// Entry that it belongs to.
    pub entry: SmolStr,
    /// Failure domain. Without effect on the bound, as links cost an ideal queue nothing.
    pub domain: SmolStr,
    /// Requests that it runs at a time.
    pub slots: u32,
    /// Speed as a factor; 1.0 is usual.
    pub speed: f64,
}

impl Upstream {
    fn speed_units(&self) -> u64 {
        (self.speed * SPEED_UNITS).round() as u64
    }

    /// Time that `work_us` of service at usual speed takes on one slot, in microseconds.
    #[must_use]
    pub fn duration_us(&self, work_us: u64) -> u64 {
        (work_us * SPEED_UNITS as u64).div_ceil(self.speed_units())
    }

    /// Work that all slots do in a thousand microseconds, in microseconds at usual speed.
    #[must_use]
    pub fn work_per_ms(&self) -> u64 {
        u64::from(self.slots) * self.speed_units()
    }
}

/// Routes and upstreams.
#[derive(Debug, Clone, PartialEq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Description {
    /// Routes.
    pub routes: Vec<Route>,
    /// Upstreams.
    pub upstreams: Vec<Upstream>,
}

/// A request of the trace. A caller that was refused and came back is one request.
#[derive(Debug, Clone, PartialEq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TraceRecord {
    /// Arrival in milliseconds.
    pub arrival_ms: f64,
    /// Route.
    pub route: SmolStr,
    /// Failure domain of the caller.
    pub domain: SmolStr,
    /// The only upstream that may run the request, if it is on a key.
    #[serde(default)]
    pub upstream: Option<SmolStr>,
    /// Service time at usual speed, in milliseconds.
    pub service_ms: f64,
}

/// How a request of a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Outcome {
    /// The caller received an answer.
    Answered,
    /// The caller was refused for good.
    Refused,
    /// The request failed or its outcome is unknown.
    Failed,
}

/// A request of a run. A caller that was refused and came back is one request.
#[derive(Debug, Clone, PartialEq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RunRecord {
    /// Arrival in milliseconds.
    pub arrival_ms: f64,
    /// Route.
    pub route: SmolStr,
    /// Failure domain of the caller.
    pub domain: SmolStr,
    /// How it ended.
    pub outcome: Outcome,
    /// Time from the arrival to the end, in milliseconds.
    pub latency_ms: f64,
}

/// Faults of a description, a trace or the outcomes of a run.
#[derive(Debug, Clone, PartialEq)]
#[derive(Error)]
pub enum InputError {
    /// Two routes or two upstreams have the same name.
    #[error("the name {0} is used twice")]
    DuplicateName(SmolStr),
    /// A number of a route is out of range.
    #[error(
        "route {0}: 0 < objective_ms <= deadline_ms, in_time_weight > 0 and late_weight >= 0 \
         must hold"
    )]
    BadRoute(SmolStr),
    /// A number of an upstream is out of range.
    #[error("upstream {0}: slots must be from 1 to 1000000 and speed from 0.001 to 1000")]
    BadUpstream(SmolStr),
    /// No upstream belongs to the entry of a route.
    #[error("route {0}: no upstream belongs to its entry")]
    NoUpstream(SmolStr),
    /// A record names a route that the description lacks.
    #[error("record {record}: unknown route {route}")]
    UnknownRoute {
        /// Number of the record, from 1.
        record: usize,
        /// Its route.
        route: SmolStr,
    },
    /// A record names an upstream that the entry of its route lacks.
    #[error("record {record}: entry {entry} has no upstream {upstream}")]
    UnknownUpstream {
        /// Number of the record, from 1.
        record: usize,
        /// Its upstream.
        upstream: SmolStr,
        /// Entry of its route.
        entry: SmolStr,
    },
    /// A time of a record is out of range, or its service time is zero.
    #[error("record {0}: times must be from 0 to 10^13 ms, and a service time must be above zero")]
    BadTime(usize),
}

/// A request with indices in place of names.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Request {
    /// Index of the route.
    pub route: usize,
    /// Index of the caller's failure domain.
    pub domain: usize,
    /// Index of the only upstream that may run it.
    pub upstream: Option<usize>,
    /// Arrival in microseconds.
    pub arrival_us: u64,
    /// Service time at usual speed, in microseconds.
    pub work_us: u64,
}

/// Upstreams and requests that share no capacity with others.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Component {
    /// Indices of upstreams.
    pub upstreams: Vec<usize>,
    /// Indices of requests, in the order of arrival.
    pub requests: Vec<usize>,
}

/// A checked description with the requests of a trace.
#[derive(Debug, Clone, PartialEq)]
pub struct Model {
    /// Routes.
    pub routes: Vec<Route>,
    /// Upstreams.
    pub upstreams: Vec<Upstream>,
    /// Failure domains of callers.
    pub domains: IndexSet<SmolStr>,
    /// Requests in the order of the trace.
    pub requests: Vec<Request>,
}

impl Model {
    /// Checks a description and a trace and joins them.
    ///
    /// # Errors
    ///
    /// Fails at the first value that is out of range and at the first unknown name.
    pub fn new(description: Description, trace: &[TraceRecord]) -> Result<Self, InputError> {
        let Description { routes, upstreams } = description;
        check_routes(&routes, &upstreams)?;
        let upstream_index = check_upstreams(&upstreams)?;
        let route_index: IndexMap<SmolStr, usize> = index(routes.iter().map(|r| &r.name));
        let mut domains = IndexSet::new();
        let mut requests = Vec::with_capacity(trace.len());
        for (n, record) in trace.iter().enumerate() {
            let number = n + 1;
            let route = find_route(&route_index, number, &record.route)?;
            let entry = &routes[route].entry;
            let upstream = record.upstream.as_ref().map(|name| {
                let found = upstream_index.get(name).copied();
                found
                    .filter(|u| upstreams[*u].entry == *entry)
                    .ok_or_else(|| InputError::UnknownUpstream {
                        record: number,
                        upstream: name.clone(),
                        entry: entry.clone(),
                    })
            });
            if !is_time(record.arrival_ms)
                || !is_time(record.service_ms)
                || record.service_ms == 0.0
            {
                return Err(InputError::BadTime(number));
            }
            requests.push(Request {
                route,
                domain: domains.insert_full(record.domain.clone()).0,
                upstream: upstream.transpose()?,
                arrival_us: to_us(record.arrival_ms),
                work_us: to_us(record.service_ms).max(1),
            });
        }
        Ok(Self {
            routes,
            upstreams,
            domains,
            requests,
        })
    }

    /// Returns the route of a request.
    #[must_use]
    pub fn route_of(&self, req: &Request) -> &Route {
        &self.routes[req.route]
    }

    /// Divides upstreams and requests into components that share no capacity.
    ///
    /// The upstreams of an entry share capacity if any of its requests may run on all of them.
    #[must_use]
    pub fn components(&self) -> Vec<Component> {
        let mut shared = IndexSet::new();
        for req in self.requests.iter().filter(|req| req.upstream.is_none()) {
            shared.insert(&self.route_of(req).entry);
        }
        let mut found: IndexMap<(&SmolStr, Option<usize>), Component> = IndexMap::new();
        let key = |entry, upstream| {
            let upstream = Some(upstream).filter(|_| !shared.contains(entry));
            (entry, upstream)
        };
        for (n, upstream) in self.upstreams.iter().enumerate() {
            let component = found.entry(key(&upstream.entry, n)).or_default();
            component.upstreams.push(n);
        }
        let mut order: Vec<usize> = (0..self.requests.len()).collect();
        order.sort_by_key(|n| self.requests[*n].arrival_us);
        for n in order {
            let req = &self.requests[n];
            // A request without upstream makes its entry shared, where the index has no effect.
            let key = key(&self.route_of(req).entry, req.upstream.unwrap_or_default());
            found.entry(key).or_default().requests.push(n);
        }
        found.retain(|_, component| !component.requests.is_empty());
        found.into_values().collect()
    }
}

/// Returns the index of a record's route.
///
/// # Errors
///
/// Fails if the route is unknown.
pub fn find_route(
    routes: &IndexMap<SmolStr, usize>,
    record: usize,
    route: &SmolStr,
) -> Result<usize, InputError> {
    let found = routes.get(route).copied();
    found.ok_or_else(|| InputError::UnknownRoute {
        record,
        route: route.clone(),
    })
}

/// Returns the position of each name.
pub fn index<'a>(names: impl Iterator<Item = &'a SmolStr>) -> IndexMap<SmolStr, usize> {
    names
        .cloned()
        .enumerate()
        .map(|(n, name)| (name, n))
        .collect()
}

/// Converts milliseconds to whole microseconds.
#[must_use]
pub fn to_us(ms: f64) -> u64 {
    (ms * US_PER_MS).round() as u64
}

/// Returns whether a number of milliseconds is a valid time.
#[must_use]
pub fn is_time(ms: f64) -> bool {
    (0.0..=MAX_MS).contains(&ms)
}

fn check_routes(routes: &[Route], upstreams: &[Upstream]) -> Result<(), InputError> {
    check_unique(routes.iter().map(|r| &r.name))?;
    let entries: IndexSet<&SmolStr> = upstreams.iter().map(|u| &u.entry).collect();
    for route in routes {
        let is_valid = is_time(route.objective_ms)
            && is_time(route.deadline_ms)
            && route.objective_us() > 0
            && route.objective_ms <= route.deadline_ms
            && route.in_time_weight.is_finite()
            && route.in_time_weight > 0.0
            && route.late_weight.is_finite()
            && route.late_weight >= 0.0;
        if !is_valid {
            return Err(InputError::BadRoute(route.name.clone()));
        }
        if !entries.contains(&route.entry) {
            return Err(InputError::NoUpstream(route.name.clone()));
        }
    }
    Ok(())
}

fn check_upstreams(upstreams: &[Upstream]) -> Result<IndexMap<SmolStr, usize>, InputError> {
    check_unique(upstreams.iter().map(|u| &u.name))?;
    for upstream in upstreams {
        let is_valid = (1..=MAX_SLOTS).contains(&upstream.slots)
            && (0.0..=MAX_SPEED).contains(&upstream.speed)
            && upstream.speed_units() > 0;
        if !is_valid {
            return Err(InputError::BadUpstream(upstream.name.clone()));
        }
    }
    Ok(index(upstreams.iter().map(|u| &u.name)))
}

fn check_unique<'a>(names: impl Iterator<Item = &'a SmolStr>) -> Result<(), InputError> {
    let mut seen = IndexSet::new();
    for name in names {
        if !seen.insert(name) {
            return Err(InputError::DuplicateName(name.clone()));
        }
    }
    Ok(())
}
