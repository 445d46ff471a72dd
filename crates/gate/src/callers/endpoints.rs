//! The host's own endpoints.

use std::fmt;

use bytes::Bytes;
use http::{HeaderValue, Method, Response, StatusCode, header};
use http_body_util::Full;

use crate::context::Phase;

/// Path prefix of the host's own endpoints.
pub const ENDPOINT_PREFIX: &str = "/medlardyke/";
/// Path of the health check by which the balancer decides whether to choose this host.
pub const HEALTH_PATH: &str = "/medlardyke/health";

/// A request to one of the host's own endpoints; its body is not read.
#[derive(Debug, Clone, Copy)]
pub struct HostRequest<'a> {
    /// Method.
    pub method: &'a Method,
    /// Path.
    pub path: &'a str,
    /// Query, without the question mark.
    pub query: Option<&'a str>,
}

/// The answer of one of the host's own endpoints.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostAnswer {
    /// Status.
    pub status: StatusCode,
    /// Media type of the body.
    pub content_type: &'static str,
    /// Body.
    pub body: Bytes,
}

/// The host's own endpoints, except [`HEALTH_PATH`].
pub trait HostEndpoints: fmt::Debug + Send + Sync + 'static {
    /// Answers a request; returns `None` if there is no such endpoint.
    ///
    /// Called on the callers' thread; must not block.
    fn answer(&self, request: HostRequest<'_>) -> Option<HostAnswer>;
}

/// No endpoints.
impl HostEndpoints for () {
    fn answer(&self, _request: HostRequest<'_>) -> Option<HostAnswer> {
        None
    }
}

/// Answers a request to one of the host's own endpoints.
pub(crate) fn answer(
    endpoints: &dyn HostEndpoints,
    phase: Phase,
    request: HostRequest<'_>,
) -> Response<Full<Bytes>> {
    if request.path == HEALTH_PATH {
        return to_response(health(phase));
    }
    let answer = endpoints.answer(request);
    to_response(answer.unwrap_or_else(not_found))
}

fn health(phase: Phase) -> HostAnswer {
    let (status, text) = match phase {
        Phase::Starting => (StatusCode::SERVICE_UNAVAILABLE, "starting\n"),
        Phase::Serving => (StatusCode::OK, "serving\n"),
        Phase::Leaving => (StatusCode::SERVICE_UNAVAILABLE, "leaving\n"),
    };
    HostAnswer {
        status,
        content_type: "text/plain",
        body: Bytes::from_static(text.as_bytes()),
    }
}

fn not_found() -> HostAnswer {
    HostAnswer {
        status: StatusCode::NOT_FOUND,
        content_type: "text/plain",
        body: Bytes::from_static(b"no such endpoint\n"),
    }
}

fn to_response(answer: HostAnswer) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(answer.body));
    *response.status_mut() = answer.status;
    response.headers_mut().insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static(answer.content_type),
    );
    response
}
