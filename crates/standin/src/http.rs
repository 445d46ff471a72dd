//! HTTP server functions that the stand-ins share.

use std::convert::Infallible;

use bytes::Bytes;
use http::{Response, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use serde::Serialize;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio_util::sync::CancellationToken;

/// Maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 64 << 20;

/// A response with a fully buffered body.
pub(crate) type FullResponse = Response<Full<Bytes>>;

/// A request received from an HTTP client.
pub(crate) type Request = http::Request<Incoming>;

/// Builds a response.
pub(crate) fn respond(status: StatusCode, body: impl Into<Bytes>) -> FullResponse {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    response
}

/// Builds a JSON response.
pub(crate) fn json<T: Serialize>(status: StatusCode, value: &T) -> FullResponse {
    let body = serde_json::to_vec(value).expect("responses serialize");
    let mut response = respond(status, body);
    let content_type = header::HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, content_type);
    response
}

/// Reads a complete body.
pub(crate) async fn read_body(body: Incoming) -> anyhow::Result<Bytes> {
    let whole = Limited::new(body, MAX_BODY_BYTES).collect().await;
    let whole = whole.map_err(|e| anyhow::anyhow!("read body: {e}"))?;
    Ok(whole.to_bytes())
}

/// Serves one connection until the client closes it, or until `stop` is cancelled and the current
/// request has ended.
pub(crate) async fn serve_connection<S, F, Fut>(socket: S, stop: CancellationToken, handle: F)
where
    S: AsyncRead + AsyncWrite + Unpin,
    F: Fn(Request) -> Fut,
    Fut: Future<Output = FullResponse>,
{
    let service = service_fn(|req| {
        let answer = handle(req);
        async { Ok::<_, Infallible>(answer.await) }
    });
    let mut builder = http1::Builder::new();
    builder.timer(TokioTimer::new()).header_read_timeout(None);
    let connection = builder.serve_connection(TokioIo::new(socket), service);
    let mut connection = std::pin::pin!(connection);
    // A broken connection needs no handling here: its request was dropped with it.
    let is_broken = tokio::select! {
        done = connection.as_mut() => done.is_err(),
        () = stop.cancelled() => {
            connection.as_mut().graceful_shutdown();
            connection.await.is_err()
        }
    };
    let _ = is_broken;
}
