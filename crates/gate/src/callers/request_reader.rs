//! Reads and validates a whole request.

use std::cell::Cell;
use std::future::poll_fn;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::uri::PathAndQuery;
use http::{HeaderMap, HeaderValue, header, request};
use hyper::body::{Body, Incoming};
use ids::{KeyHash, Reason, RequestId, Timestamp};
use route::{DeadlineSettings, EntryKey, EntryRoute, Router};
use smol_str::SmolStr;
use uuid::Uuid;

use crate::body::BodyBuffer;
use crate::call::RequestParts;
use crate::headers::{self, head_bytes, strip_request};
use crate::settings::GateSettings;

/// A whole, valid request, ready for admission.
#[derive(Debug)]
pub(crate) struct BufferedRequest {
    pub(crate) entry: EntryKey,
    pub(crate) route: Arc<EntryRoute>,
    pub(crate) key: Option<KeyHash>,
    pub(crate) deadline: Timestamp,
    /// Time from the request's arrival until its deadline.
    pub(crate) total_time: Duration,
    pub(crate) parts: Arc<RequestParts>,
    /// Counts the body's bytes until it is dropped.
    pub(crate) _buffered: BufferedBytes,
}

/// Route and deadline of a request, as determined from its head.
#[derive(Debug)]
pub(crate) struct Located {
    pub(crate) entry: EntryKey,
    pub(crate) route: Arc<EntryRoute>,
    pub(crate) key: Option<KeyHash>,
    pub(crate) time_left: Duration,
}

/// Total bytes of the request bodies held by this host.
#[derive(Debug, Clone, Default)]
pub(crate) struct BufferedTotal(Rc<Cell<u64>>);

/// Bytes of one body; subtracted from the total on drop.
#[derive(Debug)]
pub(crate) struct BufferedBytes {
    total: BufferedTotal,
    bytes: u64,
}

impl BufferedBytes {
    fn new(total: &BufferedTotal) -> Self {
        Self {
            total: total.clone(),
            bytes: 0,
        }
    }

    fn add(&mut self, count: u64, max: u64) -> Result<(), Reason> {
        let total = self.total.0.get() + count;
        if total > max {
            return Err(Reason::Overload);
        }
        self.total.0.set(total);
        self.bytes += count;
        Ok(())
    }
}

impl Drop for BufferedBytes {
    fn drop(&mut self) {
        let total = &self.total.0;
        debug_assert!(total.get() >= self.bytes, "bytes are subtracted once");
        total.set(total.get() - self.bytes);
    }
}

/// Returns the request id set by the caller, or a new one.
///
/// # Errors
///
/// Fails with a new id if the caller's id is not valid.
pub(crate) fn request_id(headers: &HeaderMap) -> Result<RequestId, RequestId> {
    let Some(value) = headers.get(&headers::REQUEST_ID) else {
        return Ok(new_id());
    };
    let text = value.to_str().map_err(|_invalid| new_id())?;
    RequestId::new(text).map_err(|_invalid| new_id())
}

fn new_id() -> RequestId {
    let mut buf = Uuid::encode_buffer();
    let id = uuid::Builder::from_random_bytes(rand::random()).into_uuid();
    let text: &str = id.simple().encode_lower(&mut buf);
    RequestId::new(SmolStr::new(text)).expect("hexadecimal digits make a valid name")
}

/// Determines a request's route and remaining time from its head.
pub(crate) fn locate(
    head: &request::Parts,
    router: &Router,
    settings: &GateSettings,
) -> Result<Located, Reason> {
    if head_bytes(&head.headers) > settings.header_bytes as usize {
        return Err(Reason::HeadTooLarge);
    }
    let path = path_and_query(head);
    if has_dot_segment(head.uri.path()) {
        return Err(Reason::BadRequest);
    }
    let located = router.locate(path, |name| {
        head.headers.get(name).map(HeaderValue::as_bytes)
    })?;
    let route = router
        .entry(located.entry)
        .ok_or(Reason::UnknownEntry)
        .map(Arc::clone)?;
    let deadlines = DeadlineSettings {
        cap: crate::settings::millis(settings.deadline_cap_ms),
    };
    let header = head.headers.get(&headers::DEADLINE_MS);
    let time_left = deadlines.time_left(header.map(HeaderValue::as_bytes), route.deadline)?;
    Ok(Located {
        entry: located.entry,
        key: located.key,
        route,
        time_left,
    })
}

/// Reads the complete body of a located request.
pub(crate) async fn read(
    head: request::Parts,
    body: Incoming,
    located: Located,
    arrived: Timestamp,
    settings: &GateSettings,
    total: &BufferedTotal,
) -> Result<BufferedRequest, Reason> {
    let deadline = arrived + located.time_left;
    let limit = u64::from(located.route.limits.request_bytes);
    let mut buffered = BufferedBytes::new(total);
    let body = if body.is_end_stream() {
        Bytes::new()
    } else {
        if declared_bytes(&head.headers).is_some_and(|bytes| bytes > limit) {
            return Err(Reason::BodyTooLarge);
        }
        let timeout = crate::settings::millis(settings.body_timeout_ms);
        let reading = read_body(body, limit, settings.buffered_bytes, &mut buffered);
        tokio::time::timeout(timeout.min(located.time_left), reading)
            .await
            .map_err(|_elapsed| Reason::BodyTimeout)??
    };
    Ok(BufferedRequest {
        entry: located.entry,
        key: located.key,
        deadline,
        total_time: located.time_left,
        parts: Arc::new(parts(head, body, &located.route)),
        route: located.route,
        _buffered: buffered,
    })
}

async fn read_body(
    body: Incoming,
    limit: u64,
    total_max: u64,
    buffered: &mut BufferedBytes,
) -> Result<Bytes, Reason> {
    let mut body = std::pin::pin!(body);
    let mut whole = BodyBuffer::default();
    while let Some(frame) = poll_fn(|cx| body.as_mut().poll_frame(cx)).await {
        // The caller aborted the body or sent an invalid one.
        let frame = frame.map_err(|_broken| Reason::BadRequest)?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if (whole.len() + data.len()) as u64 > limit {
            return Err(Reason::BodyTooLarge);
        }
        buffered.add(data.len() as u64, total_max)?;
        whole.push(data);
    }
    Ok(whole.into_bytes())
}

fn parts(head: request::Parts, body: Bytes, route: &EntryRoute) -> RequestParts {
    let path = head
        .uri
        .path_and_query()
        .map_or_else(|| PathAndQuery::from_static("/"), PathAndQuery::clone);
    let mut headers = head.headers;
    strip_request(&mut headers, key_header(route));
    RequestParts {
        method: head.method,
        path,
        headers,
        body,
    }
}

fn key_header(route: &EntryRoute) -> Option<&str> {
    match &route.key {
        Some(catalogue::KeyLocation::Header(name)) => Some(name.as_str()),
        _ => None,
    }
}

fn path_and_query(head: &request::Parts) -> &str {
    head.uri.path_and_query().map_or("/", |p| p.as_str())
}

fn declared_bytes(headers: &HeaderMap) -> Option<u64> {
    headers
        .get(header::CONTENT_LENGTH)?
        .to_str()
        .ok()?
        .parse()
        .ok()
}

/// Returns whether an upstream that resolves dot segments could interpret the path as another one.
fn has_dot_segment(path: &str) -> bool {
    path.split('/').any(is_dot_segment)
}

fn is_dot_segment(segment: &str) -> bool {
    if !segment.starts_with(['.', '%']) {
        return false;
    }
    let decoded = segment.replace("%2e", ".").replace("%2E", ".");
    matches!(decoded.as_str(), "." | "..")
}
