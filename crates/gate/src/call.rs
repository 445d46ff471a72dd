//! A whole request and the reply to it, as passed between modules and hosts.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::uri::PathAndQuery;
use http::{HeaderMap, Method, StatusCode};
use ids::{EntryId, KeyHash, Reason, RequestId, Revision, SliceNo, Timestamp, UpstreamId};
use wire::dispatch as frames;

use crate::headers;

/// The content of a request that is forwarded to the upstream, the same for all attempts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestParts {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub path: PathAndQuery,
    /// Headers that are forwarded.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

/// One attempt of a request, as sent to the coordinating host.
#[derive(Debug, Clone)]
pub struct Call {
    /// Entry.
    pub entry: EntryId,
    /// Upstream.
    pub upstream: UpstreamId,
    /// Slice of the key; none if the entry is not divided by key.
    pub slice: Option<SliceNo>,
    /// Hash of the key.
    pub key: Option<KeyHash>,
    /// Deadline of the request, on this host's clock.
    pub deadline: Timestamp,
    /// Time that the request had from its arrival at the entry host until its deadline.
    pub total_time: Duration,
    /// Whether the request may be executed more than once.
    pub idempotent: bool,
    /// The request's id.
    pub request_id: RequestId,
    /// Revision of the table on which the entry host based its routing.
    pub revision: Revision,
    /// Content forwarded to the upstream.
    pub parts: Arc<RequestParts>,
}

/// An upstream's whole answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// Status.
    pub status: StatusCode,
    /// Headers that are forwarded.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

impl Answer {
    /// Returns the approximate number of bytes needed to keep the answer.
    #[must_use]
    pub fn bytes(&self) -> usize {
        headers::head_bytes(&self.headers) + self.body.len()
    }
}

/// An attempt that was not answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Reason, which determines the outcome.
    pub reason: Reason,
    /// Delay after which the caller may retry.
    pub retry_after: Option<Duration>,
    /// Table revision in use at the coordinating host.
    pub revision: Revision,
}

impl Refusal {
    /// Creates a refusal with only a reason.
    #[must_use]
    pub const fn of(reason: Reason) -> Self {
        Self {
            reason,
            retry_after: None,
            revision: Revision(0),
        }
    }
}

/// How one attempt ended.
#[derive(Debug, Clone)]
pub struct Reply {
    /// Answer or refusal.
    pub result: Result<Answer, Refusal>,
    /// Requests in flight or queued for the upstream at the coordinating host.
    pub load: u32,
}

impl Reply {
    /// Creates the reply that refuses an attempt for `reason`.
    #[must_use]
    pub const fn refused(reason: Reason) -> Self {
        Self {
            result: Err(Refusal::of(reason)),
            load: 0,
        }
    }
}

/// Converts a call to the message with number `call`.
#[must_use]
pub fn call_to_wire(call: u64, c: &Call, now: Timestamp) -> frames::Request {
    frames::Request {
        call,
        entry: c.entry.as_str().to_owned(),
        upstream: c.upstream.as_str().to_owned(),
        slice: c.slice.map(|s| s.0),
        remaining_us: c.deadline.since(now).as_micros() as u64,
        total_us: c.total_time.as_micros() as u64,
        idempotent: c.idempotent,
        request_id: c.request_id.as_str().to_owned(),
        method: c.parts.method.as_str().to_owned(),
        path: c.parts.path.as_str().to_owned(),
        headers: headers::to_wire(&c.parts.headers),
        body: c.parts.body.clone(),
        revision: c.revision.0,
        key_hash: c.key.map_or(0, |k| k.0),
    }
}

/// Converts a message to a call; returns `None` if a field is not valid.
#[must_use]
pub fn call_from_wire(m: frames::Request, now: Timestamp) -> Option<Call> {
    Some(Call {
        entry: EntryId::new(m.entry).ok()?,
        upstream: UpstreamId::new(m.upstream).ok()?,
        slice: m.slice.map(SliceNo),
        key: m.slice.map(|_| KeyHash(m.key_hash)),
        deadline: now + Duration::from_micros(m.remaining_us),
        total_time: Duration::from_micros(m.total_us.max(m.remaining_us)),
        idempotent: m.idempotent,
        request_id: RequestId::new(m.request_id).ok()?,
        revision: Revision(m.revision),
        parts: Arc::new(RequestParts {
            method: Method::from_bytes(m.method.as_bytes()).ok()?,
            path: PathAndQuery::from_maybe_shared(Bytes::from(m.path)).ok()?,
            headers: headers::from_wire(m.headers)?,
            body: m.body,
        }),
    })
}

/// Converts the reply to call number `call` to its message.
#[must_use]
pub fn reply_to_wire(call: u64, reply: Reply) -> frames::Reply {
    let result = match reply.result {
        Ok(answer) => frames::Result::Answer(answer_to_wire(answer)),
        Err(refusal) => frames::Result::Refusal(frames::Refusal {
            reason: refusal.reason.as_str().to_owned(),
            retry_after_ms: refusal.retry_after.map_or(0, |d| d.as_millis() as u32),
            revision: refusal.revision.0,
        }),
    };
    frames::Reply {
        call,
        result: Some(result),
        load: reply.load,
    }
}

/// Converts a message to a reply.
///
/// An invalid reply counts as an upstream's answer that was lost in transit: the request may have
/// been executed.
#[must_use]
pub fn reply_from_wire(m: frames::Reply) -> Reply {
    let result = match m.result {
        Some(frames::Result::Answer(answer)) => {
            answer_from_wire(answer).ok_or(Refusal::of(Reason::HostLost))
        }
        Some(frames::Result::Refusal(refusal)) => Err(refusal_from_wire(&refusal)),
        None => Err(Refusal::of(Reason::HostLost)),
    };
    Reply {
        result,
        load: m.load,
    }
}

/// Converts an answer to its message.
#[must_use]
pub fn answer_to_wire(answer: Answer) -> frames::Answer {
    frames::Answer {
        status: u32::from(answer.status.as_u16()),
        headers: headers::to_wire(&answer.headers),
        body: answer.body,
    }
}

/// Converts a message to an answer; returns `None` if a field is not valid.
#[must_use]
pub fn answer_from_wire(m: frames::Answer) -> Option<Answer> {
    let status = u16::try_from(m.status).ok()?;
    Some(Answer {
        status: StatusCode::from_u16(status).ok()?,
        headers: headers::from_wire(m.headers)?,
        body: m.body,
    })
}

fn refusal_from_wire(m: &frames::Refusal) -> Refusal {
    let retry_after = Duration::from_millis(u64::from(m.retry_after_ms));
    Refusal {
        reason: m.reason.parse().unwrap_or(Reason::HostLost),
        retry_after: (m.retry_after_ms > 0).then_some(retry_after),
        revision: Revision(m.revision),
    }
}
