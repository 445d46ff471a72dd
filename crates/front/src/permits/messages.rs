//! What hosts tell each other about permits, in datagrams.

use std::time::Duration;

use crate::limit_told::LimitTold;
use direct::{ColdStart, LoadReport, PermitEnd, PermitReply, PermitRequest, Priority, RateLimit};

/// One datagram.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub(super) struct Datagram {
    /// Names the request at the host that asks.
    #[prost(uint64, tag = "1")]
    pub(super) request: u64,
    #[prost(oneof = "Word", tags = "2, 3, 4, 5, 6, 7")]
    pub(super) word: Option<Word>,
    /// What the sender knows of the upstream's limit, if it ever named one.
    #[prost(message, optional, tag = "8")]
    pub(super) limit: Option<LimitTold>,
}

#[derive(Clone, PartialEq)]
#[derive(prost::Oneof)]
pub(super) enum Word {
    /// Wants a permit.
    #[prost(message, tag = "2")]
    Ask(Ask),
    /// Needs it no more.
    #[prost(message, tag = "3")]
    End(End),
    /// Has a permit.
    #[prost(bool, tag = "4")]
    Go(bool),
    /// Waits; milliseconds until the answer is expected.
    #[prost(uint32, tag = "5")]
    Queued(u32),
    /// Is refused; milliseconds until there is room.
    #[prost(uint32, tag = "6")]
    Full(u32),
    /// Is refused as the upstream is cold or limits its requests; milliseconds until there is room.
    #[prost(uint32, tag = "7")]
    Paced(u32),
}

#[derive(Clone, PartialEq, Eq)]
#[derive(prost::Message)]
pub(super) struct Ask {
    #[prost(string, tag = "1")]
    pub(super) upstream: String,
    #[prost(uint32, tag = "2")]
    pub(super) slots: u32,
    #[prost(bool, tag = "3")]
    is_urgent: bool,
    /// Milliseconds until the objective.
    #[prost(uint32, tag = "4")]
    in_time_ms: u32,
    /// Milliseconds for which the caller waits.
    #[prost(uint32, tag = "5")]
    left_ms: u32,
    /// Service time to assume, in milliseconds.
    #[prost(uint32, tag = "6")]
    usual_ms: u32,
    /// Whether the request waits for its turn.
    #[prost(bool, tag = "7")]
    may_wait: bool,
    /// Requests that may start within a second while the upstream is cold; zero if it bears as many as
    /// ever.
    #[prost(uint32, tag = "8")]
    cold_most: u32,
    /// Milliseconds for which it is cold after a start.
    #[prost(uint32, tag = "9")]
    cold_span_ms: u32,
    /// Milliseconds for which it stays cold.
    #[prost(uint32, tag = "10")]
    cold_left_ms: u32,
    /// Hosts that were to be asked rather than this one, and did not reply.
    #[prost(uint32, tag = "11")]
    passed_over: u32,
}

#[derive(Clone, PartialEq, Eq)]
#[derive(prost::Message)]
pub(super) struct End {
    #[prost(string, tag = "1")]
    pub(super) upstream: String,
    /// How it ended.
    #[prost(enumeration = "EndKind", tag = "2")]
    kind: i32,
    /// Requests at the upstream, running and waiting, if it said so, and its slots.
    #[prost(uint32, optional, tag = "3")]
    at_upstream: Option<u32>,
    #[prost(uint32, tag = "4")]
    slots: u32,
    /// How long work takes there at this moment, in percent of the usual time, if it said so.
    #[prost(uint32, optional, tag = "5")]
    pace: Option<u32>,
}

/// [`PermitEnd`] on the wire.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(prost::Enumeration)]
enum EndKind {
    Unknown = 0,
    Answered = 1,
    Spoke = 2,
    Silent = 3,
}

impl Ask {
    pub(super) fn new(upstream: String, slots: u32, wanted: &PermitRequest) -> Self {
        let cold = wanted.cold;
        Self {
            upstream,
            slots,
            is_urgent: wanted.priority == Priority::Urgent,
            in_time_ms: to_ms(wanted.until_objective),
            left_ms: to_ms(wanted.until_deadline),
            usual_ms: to_ms(wanted.entry_service_time),
            may_wait: wanted.may_wait,
            cold_most: cold.map_or(0, |c| c.max_starts_per_s),
            cold_span_ms: cold.map_or(0, |c| to_ms(c.duration)),
            cold_left_ms: cold.map_or(0, |c| to_ms(c.remaining)),
            passed_over: wanted.skipped_hosts,
        }
    }

    /// Returns what is wanted; `limit` is what the asking host knows of the upstream's.
    pub(super) fn wanted(&self, limit: RateLimit) -> PermitRequest {
        let priority = if self.is_urgent {
            Priority::Urgent
        } else {
            Priority::Equal
        };
        let cold = ColdStart {
            max_starts_per_s: self.cold_most,
            duration: from_ms(self.cold_span_ms),
            remaining: from_ms(self.cold_left_ms),
        };
        PermitRequest {
            priority,
            until_objective: from_ms(self.in_time_ms),
            until_deadline: from_ms(self.left_ms),
            entry_service_time: from_ms(self.usual_ms),
            may_wait: self.may_wait,
            cold: (cold.max_starts_per_s > 0).then_some(cold),
            limit,
            skipped_hosts: self.passed_over,
        }
    }
}

impl End {
    pub(super) fn new(upstream: String, end: PermitEnd, report: Option<LoadReport>) -> Self {
        let kind = match end {
            PermitEnd::Answered => EndKind::Answered,
            PermitEnd::OtherResponse => EndKind::Spoke,
            PermitEnd::NoResponse => EndKind::Silent,
            PermitEnd::Unknown => EndKind::Unknown,
        };
        Self {
            upstream,
            kind: kind.into(),
            at_upstream: report.map(|r| r.running + r.waiting),
            slots: report.map_or(0, |r| r.slots),
            pace: report.and_then(|r| r.slowdown).map(|p| (p * 100.0) as u32),
        }
    }

    pub(super) fn end(&self) -> PermitEnd {
        match self.kind() {
            EndKind::Answered => PermitEnd::Answered,
            EndKind::Spoke => PermitEnd::OtherResponse,
            EndKind::Silent => PermitEnd::NoResponse,
            EndKind::Unknown => PermitEnd::Unknown,
        }
    }

    pub(super) fn report(&self) -> Option<LoadReport> {
        self.at_upstream.map(|running| LoadReport {
            running,
            waiting: 0,
            slots: self.slots,
            slowdown: self.pace.map(|percent| f64::from(percent) / 100.0),
        })
    }
}

impl From<PermitReply> for Word {
    fn from(reply: PermitReply) -> Self {
        match reply {
            PermitReply::Granted => Self::Go(true),
            PermitReply::Queued { expected_time } => Self::Queued(to_ms(expected_time)),
            PermitReply::Full { retry_after } => Self::Full(to_ms(retry_after)),
            PermitReply::RateLimited { retry_after } => Self::Paced(to_ms(retry_after)),
        }
    }
}

fn to_ms(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

pub(super) fn from_ms(ms: u32) -> Duration {
    Duration::from_millis(ms.into())
}
