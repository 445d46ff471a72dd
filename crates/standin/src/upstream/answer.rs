//! Request headers that an upstream reads, and its responses.

use std::time::Duration;

use bytes::Bytes;
use catalogue::KeyLocation;
use http::request::Parts;
use http::{HeaderMap, HeaderValue, StatusCode};
use ids::{EntryId, Epoch, KeyHash, Outcome, Reason, SliceNo, Timestamp, UpstreamId, header};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::core::RequestHead;
use super::settings::UpstreamSettings;
use crate::http::{FullResponse, json};

/// The body of an upstream's response, from which the judge determines its request and upstream.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct AnswerBody {
    /// Id of the request.
    pub request_id: Option<SmolStr>,
    /// Key of the request, if the upstream is configured with its location in requests.
    pub key: Option<SmolStr>,
    /// Upstream that ran the request.
    pub upstream: Option<UpstreamId>,
    /// Length of the request's body, in bytes.
    pub body_len: u64,
    /// Hash of the request's body (XXH3, 64 bits).
    pub body_hash: u64,
    /// Pads the response to its minimum size.
    pub fill: String,
}

impl AnswerBody {
    /// Returns whether this is the response to the request with this id and body.
    #[must_use]
    pub fn belongs_to(&self, id: &str, body: &[u8]) -> bool {
        self.request_id.as_deref() == Some(id)
            && self.body_len == body.len() as u64
            && self.body_hash == KeyHash::of(body).0
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn number(headers: &HeaderMap, name: &str) -> Option<u64> {
    text(headers, name)?.parse().ok()
}

fn find_key(parts: &Parts, key_location: &KeyLocation) -> Option<SmolStr> {
    match key_location {
        KeyLocation::Header(name) => text(&parts.headers, name).map(SmolStr::new),
        KeyLocation::PathSegment(number) => {
            // The path starts with an empty segment and the entry's segment.
            let index = *number as usize + 2;
            parts.uri.path().split('/').nth(index).map(SmolStr::new)
        }
    }
}

/// Reads the headers of a request that arrived at `now`.
pub(crate) fn read_head(parts: &Parts, cfg: &UpstreamSettings, now: Timestamp) -> RequestHead {
    let headers = &parts.headers;
    let entry = text(headers, header::ENTRY).and_then(|e| EntryId::new(e).ok());
    let remaining = number(headers, header::DEADLINE_MS).map(Duration::from_millis);
    RequestHead {
        id: text(headers, header::REQUEST_ID).map(SmolStr::new),
        entry: entry.unwrap_or_else(|| cfg.entry.clone()),
        slice: number(headers, header::SLICE).map(SliceNo),
        epoch: number(headers, header::EPOCH).map(Epoch),
        key: cfg
            .key
            .as_ref()
            .and_then(|key_location| find_key(parts, key_location)),
        deadline: remaining.map(|r| now + r),
    }
}

/// Builds the response to a request that ran.
pub(crate) fn answer(req: &RequestHead, body: &Bytes, cfg: &UpstreamSettings) -> FullResponse {
    let mut answer = AnswerBody {
        request_id: req.id.clone(),
        key: req.key.clone(),
        upstream: Some(cfg.name.clone()),
        body_len: body.len() as u64,
        body_hash: KeyHash::of(body).0,
        fill: String::new(),
    };
    let unpadded = serde_json::to_vec(&answer).expect("responses serialize");
    answer.fill = ".".repeat((cfg.answer_bytes as usize).saturating_sub(unpadded.len()));
    json(StatusCode::OK, &answer)
}

/// Builds the response to a request that did not run.
pub(crate) fn refusal(reason: Reason) -> FullResponse {
    debug_assert_eq!(
        reason.outcome(),
        Outcome::NotRun,
        "refused requests have not run"
    );
    let status = match reason {
        Reason::GrantRefused => StatusCode::CONFLICT,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    };
    let mut answer = crate::http::respond(status, reason.about());
    let headers = answer.headers_mut();
    headers.insert(
        header::OUTCOME,
        HeaderValue::from_static(Outcome::NotRun.as_str()),
    );
    headers.insert(header::REASON, HeaderValue::from_static(reason.as_str()));
    answer
}
