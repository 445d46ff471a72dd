//! Translates HTTP requests into calls on the store.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::AUTHORIZATION;
use http::request::Parts;
use http::{HeaderMap, Method, StatusCode};
use ids::{BootClock, Clock};
use percent_encoding::percent_decode_str;
use platform::Txn;
use platform::protocol::{
    BEARER, CHANGES_PATH, ChangesQuery, CommitBody, HOSTS_PATH, OBJECTS_PATH, RefusalBody,
    TXN_PATH, TxnBody,
};
use smol_str::SmolStr;
use thiserror::Error;
use tokio::time::sleep;

use super::faults::Mode;
use super::server::Shared;
use super::store::{Call, CallError, Reply};
use crate::http::{FullResponse, Request, json, read_body, respond};

/// The connection must be closed without an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("closed without an answer")]
pub(super) struct NoAnswer;

/// Reason why a request is not a valid call.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
enum Malformed {
    #[error("no such call")]
    UnknownCall,
    #[error("bad query")]
    BadQuery,
    #[error("bad object name")]
    BadName,
    #[error("bad transaction: {0}")]
    BadTxn(String),
}

/// Serves one request.
pub(super) async fn serve(shared: Arc<Shared>, req: Request) -> Result<FullResponse, NoAnswer> {
    if shared.mode() == Mode::Stall {
        shared.store().counters.stalled += 1;
        shared.wait_for_mode_change().await;
        return Err(NoAnswer);
    }
    let (head, body) = req.into_parts();
    let Ok(body) = read_body(body).await else {
        return Err(NoAnswer);
    };
    let half_delay = shared.mode().half_delay();
    // A separate task, so that a call in progress completes even if its caller disconnects.
    let work = tokio::spawn(async move {
        sleep_for(half_delay).await;
        let answer = answer(&shared, &head, body);
        sleep_for(half_delay).await;
        answer
    });
    work.await.unwrap_or(Err(NoAnswer))
}

/// Sleeps for `delay`; a zero delay returns immediately instead of at the timer's next tick.
async fn sleep_for(delay: Duration) {
    if !delay.is_zero() {
        sleep(delay).await;
    }
}

fn answer(shared: &Shared, head: &Parts, body: Bytes) -> Result<FullResponse, NoAnswer> {
    let mut store = shared.store();
    store.counters.bytes_in += body.len() as u64;
    let Some(role) = bearer(&head.headers).and_then(|t| store.role(t)) else {
        store.counters.forbidden += 1;
        return Ok(refusal(StatusCode::UNAUTHORIZED, "no valid token"));
    };
    let call = match parse(head, body) {
        Ok(call) => call,
        Err(error) => {
            store.counters.malformed += 1;
            return Ok(refusal(StatusCode::BAD_REQUEST, &error.to_string()));
        }
    };
    let is_write = call.is_write();
    let result = store.call(BootClock.now(), &role, call);
    if is_write && result.is_ok() && store.losses.next_is_lost() {
        store.counters.confirmations_lost += 1;
        return Err(NoAnswer);
    }
    // Releases the lock before the answer is serialized.
    drop(store);
    let (answer, bytes) = match result {
        Ok(reply) => to_http(reply),
        Err(error) => (refusal(status(&error), &error.to_string()), 0),
    };
    shared.store().counters.bytes_out += bytes;
    Ok(answer)
}

fn bearer(headers: &HeaderMap) -> Option<&str> {
    headers
        .get(AUTHORIZATION)?
        .to_str()
        .ok()?
        .strip_prefix(BEARER)
}

fn parse(head: &Parts, body: Bytes) -> Result<Call, Malformed> {
    let path = head.uri.path();
    if let Some(name) = path.strip_prefix(OBJECTS_PATH) {
        let name = object_name(name)?;
        return match head.method {
            Method::GET => Ok(Call::GetObject(name)),
            Method::PUT => Ok(Call::PutObject(name, body)),
            _ => Err(Malformed::UnknownCall),
        };
    }
    match (&head.method, path) {
        (&Method::GET, CHANGES_PATH) => {
            let query = ChangesQuery::parse(head.uri.query().unwrap_or_default());
            Ok(Call::Changes(query.ok_or(Malformed::BadQuery)?))
        }
        (&Method::GET, HOSTS_PATH) => Ok(Call::Hosts),
        (&Method::POST, TXN_PATH) => Ok(Call::Commit(txn(&body)?)),
        _ => Err(Malformed::UnknownCall),
    }
}

fn object_name(path: &str) -> Result<SmolStr, Malformed> {
    match percent_decode_str(path).decode_utf8() {
        Ok(name) if !name.is_empty() => Ok(SmolStr::from(&*name)),
        _ => Err(Malformed::BadName),
    }
}

fn txn(body: &[u8]) -> Result<Txn, Malformed> {
    let parsed = serde_json::from_slice::<TxnBody>(body);
    let txn = parsed.map_err(|e| Malformed::BadTxn(e.to_string()))?;
    if txn.writes.iter().any(|w| w.key.is_empty()) {
        return Err(Malformed::BadTxn("empty key".to_owned()));
    }
    Ok(txn.into())
}

/// Returns the answer and the length of its body, in bytes.
fn to_http(reply: Reply) -> (FullResponse, u64) {
    let ok = StatusCode::OK;
    let answer = match reply {
        Reply::Changes(body) => json(ok, &body),
        Reply::Hosts(body) => json(ok, &body),
        Reply::Commit(commit) => json(ok, &CommitBody::from(commit)),
        Reply::Object(Some(body)) => respond(ok, body),
        Reply::Object(None) => refusal(StatusCode::NOT_FOUND, "no such object"),
        Reply::Stored => respond(StatusCode::NO_CONTENT, Bytes::new()),
    };
    let bytes = hyper::body::Body::size_hint(answer.body()).lower();
    (answer, bytes)
}

const fn status(error: &CallError) -> StatusCode {
    match error {
        CallError::Throttled => StatusCode::TOO_MANY_REQUESTS,
        CallError::AccessDenied(_) => StatusCode::FORBIDDEN,
        CallError::ObjectExists(_) => StatusCode::CONFLICT,
    }
}

pub(super) fn refusal(status: StatusCode, error: &str) -> FullResponse {
    let error = error.to_owned();
    json(status, &RefusalBody { error })
}
