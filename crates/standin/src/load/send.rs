//! Sends one request of a load and determines its outcome.

use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use bytes::Bytes;
use catalogue::KeyLocation;
use http::{HeaderMap, Method, Request, Response};
use http_body_util::Full;
use ids::{BootClock, Clock, Outcome, Reason, Timestamp, header};
use smol_str::SmolStr;

use super::pool::Pool;
use super::record::{ClientOutcome, Record};
use super::schedule::PlannedRequest;
use super::settings::{EntryLoad, LoadSettings};
use crate::client::SendError;
use crate::upstream::AnswerBody;

const CLIENT_TIMEOUT: SmolStr = SmolStr::new_static("client-timeout");
const CLIENT_CONNECT: SmolStr = SmolStr::new_static("client-connect");
const CLIENT_BROKEN: SmolStr = SmolStr::new_static("client-broken");
const CLIENT_TRUNCATED: SmolStr = SmolStr::new_static("client-truncated");
const CLIENT_BAD_REFUSAL: SmolStr = SmolStr::new_static("client-bad-refusal");
const CLIENT_BAD_ANSWER: SmolStr = SmolStr::new_static("client-bad-answer");
const CLIENT_OTHER_ANSWER: SmolStr = SmolStr::new_static("client-other-answer");

/// State that all requests of a load share.
#[derive(Debug)]
pub(crate) struct Load {
    pub(crate) cfg: LoadSettings,
    pub(crate) pools: Vec<Arc<Pool>>,
}

/// Outcome of a request.
#[derive(Debug)]
struct RequestResult {
    seen: ClientOutcome,
    reason: Option<SmolStr>,
    upstream: Option<SmolStr>,
}

impl RequestResult {
    const fn new(seen: ClientOutcome, reason: SmolStr) -> Self {
        Self {
            seen,
            reason: Some(reason),
            upstream: None,
        }
    }
}

/// Sends a request and returns its record.
pub(crate) async fn send(load: &Load, planned: PlannedRequest, intended: Timestamp) -> Record {
    let entry = &load.cfg.entries[planned.entry];
    let body = body_of(&planned, entry);
    let timeout = Duration::from_millis(load.cfg.timeout_ms);
    let remaining = (intended + timeout).since(BootClock.now());
    let result = match tokio::time::timeout(remaining, exchange(load, &planned, entry, &body)).await
    {
        Ok(result) => result,
        Err(_elapsed) => RequestResult::new(ClientOutcome::Unknown, CLIENT_TIMEOUT),
    };
    Record {
        id: planned.id,
        entry: entry.path.clone(),
        key: planned.key,
        idempotent: entry.idempotent,
        target: planned.target,
        intended_us: intended.as_micros(),
        done_us: BootClock.now().as_micros(),
        seen: result.seen,
        reason: result.reason,
        upstream: result.upstream,
    }
}

/// Fills the body with the id, so that no two requests have the same body.
fn body_of(planned: &PlannedRequest, entry: &EntryLoad) -> Bytes {
    let id = planned.id.bytes().chain(std::iter::once(b' '));
    id.cycle().take(entry.body_bytes as usize).collect()
}

async fn exchange(
    load: &Load,
    planned: &PlannedRequest,
    entry: &EntryLoad,
    body: &Bytes,
) -> RequestResult {
    let targets = load.pools.len();
    let attempts = if load.cfg.next_target { targets } else { 1 };
    for offset in 0..attempts {
        let pool = &load.pools[(planned.target + offset) % targets];
        let req =
            request(load, planned, entry, body.clone(), pool).expect("the settings were checked");
        match pool.send(&req).await {
            Ok(answer) => return classify_answer(&answer, &planned.id, body),
            Err(SendError::Connect { .. } | SendError::Closed { .. }) => {}
            Err(SendError::Broken { .. }) => {
                return RequestResult::new(ClientOutcome::Unknown, CLIENT_BROKEN);
            }
            Err(SendError::Truncated { .. }) => {
                return RequestResult::new(ClientOutcome::Unknown, CLIENT_TRUNCATED);
            }
        }
    }
    RequestResult::new(ClientOutcome::NotRun, CLIENT_CONNECT)
}

pub(crate) fn request(
    load: &Load,
    planned: &PlannedRequest,
    entry: &EntryLoad,
    body: Bytes,
    pool: &Pool,
) -> anyhow::Result<Request<Full<Bytes>>> {
    let mut path = format!("/{}", entry.path);
    let mut key_header = None;
    match (&entry.key, &planned.key) {
        (Some(KeyLocation::PathSegment(before)), Some(key)) => {
            path.push_str(&"/-".repeat(*before as usize));
            path.push('/');
            path.push_str(key);
        }
        (Some(KeyLocation::Header(name)), Some(key)) => key_header = Some((name, key)),
        _ => {}
    }
    let peer = pool.peer();
    let method = Method::from_bytes(entry.method.as_bytes()).context("method")?;
    let mut req = Request::builder()
        .method(method)
        .uri(format!("http://{peer}{path}"))
        .header(header::REQUEST_ID, planned.id.as_str());
    if !load.cfg.http2 {
        req = req.header(http::header::HOST, peer.to_string());
    }
    if let Some((name, key)) = key_header {
        req = req.header(name.as_str(), key.as_str());
    }
    if let Some(ms) = load.cfg.deadline_ms {
        req = req.header(header::DEADLINE_MS, ms);
    }
    req.body(Full::new(body)).context("request")
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn classify_answer(answer: &Response<Bytes>, id: &str, body: &Bytes) -> RequestResult {
    let headers = answer.headers();
    let outcome = text(headers, header::OUTCOME);
    let is_answer = outcome.is_none_or(|o| o == Outcome::Answered.as_str());
    if is_answer && answer.status().is_success() {
        return classify_body(answer.body(), id, body);
    }
    let reason = text(headers, header::REASON).and_then(|r| r.parse::<Reason>().ok());
    match reason {
        Some(reason) if outcome == Some(reason.outcome().as_str()) => RequestResult::new(
            reason.outcome().into(),
            SmolStr::new_static(reason.as_str()),
        ),
        _ => RequestResult::new(ClientOutcome::Unknown, CLIENT_BAD_REFUSAL),
    }
}

fn classify_body(answer: &Bytes, id: &str, body: &Bytes) -> RequestResult {
    let Ok(answer) = serde_json::from_slice::<AnswerBody>(answer) else {
        return RequestResult::new(ClientOutcome::Wrong, CLIENT_BAD_ANSWER);
    };
    if !answer.belongs_to(id, body) {
        return RequestResult::new(ClientOutcome::Wrong, CLIENT_OTHER_ANSWER);
    }
    RequestResult {
        seen: ClientOutcome::Answered,
        reason: None,
        upstream: answer.upstream.map(SmolStr::from),
    }
}
