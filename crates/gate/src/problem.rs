//! The body of a refusal (RFC 9457).

use std::time::Duration;

use bytes::Bytes;
use ids::{Reason, RequestId};
use serde::Serialize;

/// Media type of the body.
pub const PROBLEM_TYPE: &str = "application/problem+json";

/// The members of the body.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Problem<'a> {
    /// URN of the reason.
    #[serde(rename = "type")]
    pub kind: String,
    /// One line that describes the reason.
    pub title: &'a str,
    /// HTTP status.
    pub status: u16,
    /// Whether the request was executed, in words.
    pub detail: &'a str,
    /// Whether the request was executed: `not-run` or `unknown`.
    pub outcome: &'a str,
    /// Text of the reason.
    pub reason: &'a str,
    /// The request's id.
    pub request_id: &'a str,
    /// Delay after which the caller may retry, if known.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

/// Returns the body of a refusal.
///
/// # Panics
///
/// Does not panic: the members can always be serialized.
#[must_use]
pub fn problem_body(reason: Reason, id: &RequestId, retry_after: Option<Duration>) -> Bytes {
    let problem = Problem {
        kind: format!("urn:medlardyke:reason:{reason}"),
        title: reason.about(),
        status: reason.status(),
        detail: detail(reason),
        outcome: reason.outcome().as_str(),
        reason: reason.as_str(),
        request_id: id.as_str(),
        retry_after_ms: retry_after.map(ceil_millis),
    };
    let text = serde_json::to_vec(&problem).expect("texts and numbers can be serialized");
    Bytes::from(text)
}

/// Rounds up to whole seconds, the unit of the `Retry-After` header.
#[must_use]
pub fn retry_after_seconds(span: Duration) -> u64 {
    span.as_millis().div_ceil(1_000).max(1) as u64
}

fn ceil_millis(span: Duration) -> u64 {
    span.as_micros().div_ceil(1_000) as u64
}

fn detail(reason: Reason) -> &'static str {
    match reason.outcome() {
        ids::Outcome::Answered => "The request was answered.",
        ids::Outcome::NotRun => "The request was not run and will not be.",
        ids::Outcome::Unknown => "The request may have run.",
    }
}
