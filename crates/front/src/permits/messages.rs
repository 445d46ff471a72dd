//! Datagrams that hosts exchange about permits.

use std::time::Duration;

use crate::rate_limit_message::RateLimitMessage;
use direct::{ColdStart, LoadReport, PermitEnd, PermitReply, PermitRequest, Priority, RateLimit};
use ids::DomainId;

/// Rank of a request that is not urgent and comes from a host that doesn't send ranks.
const DEFAULT_RANK: u32 = 1;

/// One datagram.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub(super) struct Datagram {
    /// Identifies the request at the requesting host.
    #[prost(uint64, tag = "1")]
    pub(super) request: u64,
    #[prost(oneof = "Payload", tags = "2, 3, 4, 5, 6, 7")]
    pub(super) payload: Option<Payload>,
    /// The upstream's rate limit as known to the sender, if it ever announced one.
    #[prost(message, optional, tag = "8")]
    pub(super) limit: Option<RateLimitMessage>,
}

#[derive(Clone, PartialEq)]
#[derive(prost::Oneof)]
pub(super) enum Payload {
    /// Requests a permit.
    #[prost(message, tag = "2")]
    Acquire(Acquire),
    /// Releases a permit, or withdraws the request for one.
    #[prost(message, tag = "3")]
    Release(Release),
    /// The permit is granted.
    #[prost(bool, tag = "4")]
    Granted(bool),
    /// The request is queued; milliseconds until its answer is expected.
    #[prost(uint32, tag = "5")]
    Queued(u32),
    /// The request is refused; milliseconds until a slot is free.
    #[prost(uint32, tag = "6")]
    Full(u32),
    /// The request is refused because the upstream is cold or has a rate limit; milliseconds until
    /// another request may start.
    #[prost(uint32, tag = "7")]
    RateLimited(u32),
}

/// A request for a permit.
#[derive(Clone, PartialEq, Eq)]
#[derive(prost::Message)]
pub struct Acquire {
    #[prost(string, tag = "1")]
    pub(super) upstream: String,
    #[prost(uint32, tag = "2")]
    pub(super) slots: u32,
    #[prost(bool, tag = "3")]
    is_urgent: bool,
    /// Milliseconds until the objective.
    #[prost(uint32, tag = "4")]
    until_objective_ms: u32,
    /// Milliseconds until the caller's deadline.
    #[prost(uint32, tag = "5")]
    until_deadline_ms: u32,
    /// Service time to assume, in milliseconds.
    #[prost(uint32, tag = "6")]
    entry_service_time_ms: u32,
    /// Whether the request may be queued.
    #[prost(bool, tag = "7")]
    may_wait: bool,
    /// Requests that may start within a second while the upstream is cold; zero if its rate is not
    /// limited then.
    #[prost(uint32, tag = "8")]
    cold_max_starts_per_s: u32,
    /// Milliseconds for which the upstream is cold after a start.
    #[prost(uint32, tag = "9")]
    cold_duration_ms: u32,
    /// Milliseconds for which it remains cold.
    #[prost(uint32, tag = "10")]
    cold_remaining_ms: u32,
    /// Number of hosts that rank before this one for the upstream's permits and did not reply.
    #[prost(uint32, tag = "11")]
    skipped_hosts: u32,
    /// Failure domain of the requesting host; empty if the host is of an earlier version.
    #[prost(string, tag = "12")]
    domain: String,
    /// Priority of the request's route; zero is the most urgent.
    #[prost(uint32, optional, tag = "13")]
    rank: Option<u32>,
    /// Whether the caller was refused before and repeats its request.
    #[prost(bool, tag = "14")]
    is_repeat: bool,
}

#[derive(Clone, PartialEq, Eq)]
#[derive(prost::Message)]
pub(super) struct Release {
    #[prost(string, tag = "1")]
    pub(super) upstream: String,
    /// How the request ended.
    #[prost(enumeration = "EndKind", tag = "2")]
    kind: i32,
    /// Running and waiting requests at the upstream, if it reported them; `slots` are its slots.
    #[prost(uint32, optional, tag = "3")]
    requests: Option<u32>,
    #[prost(uint32, tag = "4")]
    slots: u32,
    /// Present service time there in percent of the normal one, if it reported it.
    #[prost(uint32, optional, tag = "5")]
    slowdown_percent: Option<u32>,
}

/// [`PermitEnd`] on the wire.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(prost::Enumeration)]
enum EndKind {
    Unknown = 0,
    Answered = 1,
    OtherResponse = 2,
    NoResponse = 3,
}

impl Acquire {
    /// Builds the message for a request for a permit at `upstream`, which has this many slots.
    #[must_use]
    pub fn new(upstream: String, slots: u32, permit_request: &PermitRequest) -> Self {
        let cold = permit_request.cold;
        Self {
            upstream,
            slots,
            is_urgent: permit_request.priority == Priority::Urgent,
            until_objective_ms: to_ms(permit_request.until_objective),
            until_deadline_ms: to_ms(permit_request.until_deadline),
            entry_service_time_ms: to_ms(permit_request.entry_service_time),
            may_wait: permit_request.may_wait,
            cold_max_starts_per_s: cold.map_or(0, |c| c.max_starts_per_s),
            cold_duration_ms: cold.map_or(0, |c| to_ms(c.duration)),
            cold_remaining_ms: cold.map_or(0, |c| to_ms(c.remaining)),
            skipped_hosts: permit_request.skipped_hosts,
            domain: permit_request
                .domain
                .as_ref()
                .map_or_else(String::new, DomainId::to_string),
            rank: Some(permit_request.rank),
            is_repeat: permit_request.is_repeat,
        }
    }

    /// Returns the request; `limit` is the upstream's rate limit as known to the requesting host.
    #[must_use]
    pub fn permit_request(&self, limit: RateLimit) -> PermitRequest {
        let (priority, default_rank) = if self.is_urgent {
            (Priority::Urgent, 0)
        } else {
            (Priority::Equal, DEFAULT_RANK)
        };
        let cold = ColdStart {
            max_starts_per_s: self.cold_max_starts_per_s,
            duration: from_ms(self.cold_duration_ms),
            remaining: from_ms(self.cold_remaining_ms),
        };
        PermitRequest {
            priority,
            until_objective: from_ms(self.until_objective_ms),
            until_deadline: from_ms(self.until_deadline_ms),
            entry_service_time: from_ms(self.entry_service_time_ms),
            may_wait: self.may_wait,
            cold: (cold.max_starts_per_s > 0).then_some(cold),
            limit,
            skipped_hosts: self.skipped_hosts,
            domain: DomainId::new(self.domain.as_str()).ok(),
            rank: self.rank.unwrap_or(default_rank),
            is_repeat: self.is_repeat,
        }
    }
}

impl Release {
    pub(super) fn new(upstream: String, end: PermitEnd, report: Option<LoadReport>) -> Self {
        let kind = match end {
            PermitEnd::Answered => EndKind::Answered,
            PermitEnd::OtherResponse => EndKind::OtherResponse,
            PermitEnd::NoResponse => EndKind::NoResponse,
            PermitEnd::Unknown => EndKind::Unknown,
        };
        Self {
            upstream,
            kind: kind.into(),
            requests: report.map(|r| r.running + r.waiting),
            slots: report.map_or(0, |r| r.slots),
            slowdown_percent: report.and_then(|r| r.slowdown).map(|s| (s * 100.0) as u32),
        }
    }

    pub(super) fn end(&self) -> PermitEnd {
        match self.kind() {
            EndKind::Answered => PermitEnd::Answered,
            EndKind::OtherResponse => PermitEnd::OtherResponse,
            EndKind::NoResponse => PermitEnd::NoResponse,
            EndKind::Unknown => PermitEnd::Unknown,
        }
    }

    pub(super) fn report(&self) -> Option<LoadReport> {
        self.requests.map(|running| LoadReport {
            running,
            waiting: 0,
            slots: self.slots,
            slowdown: self
                .slowdown_percent
                .map(|percent| f64::from(percent) / 100.0),
        })
    }
}

impl From<PermitReply> for Payload {
    fn from(reply: PermitReply) -> Self {
        match reply {
            PermitReply::Granted => Self::Granted(true),
            PermitReply::Queued { expected_time } => Self::Queued(to_ms(expected_time)),
            PermitReply::Full { retry_after } => Self::Full(to_ms(retry_after)),
            PermitReply::RateLimited { retry_after } => Self::RateLimited(to_ms(retry_after)),
        }
    }
}

fn to_ms(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

pub(super) fn from_ms(ms: u32) -> Duration {
    Duration::from_millis(ms.into())
}
