//! Listeners of a host: requests of callers, readiness checks and metrics.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use gate::Metrics;
use gate::exposition::expose;
use gate::framing::ScannedStream;
use http::{HeaderValue, Request, Response, StatusCode, header};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use slog::{Logger, info, warn};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::forward::Forwarder;
use crate::view::{Phase, SharedView};

/// Maximum number of connections that wait to be accepted.
const BACKLOG: u32 = 1_024;
/// Pause after a failed accept, such as when file descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Interval at which state of upstreams that are no longer registered is dropped.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(2);
/// Time for the last answers to be sent.
const LAST_ANSWERS_TIMEOUT: Duration = Duration::from_millis(200);
/// Path of the metrics.
pub const METRICS_PATH: &str = "/metrics";
/// Minimum read buffer size that hyper accepts.
const MIN_BUFFER_BYTES: usize = 8 << 10;

/// Binds a listener.
///
/// # Errors
///
/// Fails if the address can't be bound.
pub fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Serves callers on `listener` until `stop`, then finishes the requests in flight within `grace`.
/// Requests that are left then are refused.
pub async fn serve_callers(
    listener: TcpListener,
    forwarder: Rc<Forwarder>,
    view: SharedView,
    stop: CancellationToken,
    grace: Duration,
    log: Logger,
) {
    let connections = TaskTracker::new();
    let spawn = |stream| {
        let forwarder = Rc::clone(&forwarder);
        let connection = connection(stream, forwarder, SharedView::clone(&view), stop.clone());
        connections.spawn_local(connection);
    };
    let mut cleanup = tokio::time::interval(CLEANUP_INTERVAL);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = cleanup.tick() => {
                forwarder.forget_unregistered();
                continue;
            }
            () = stop.cancelled() => break,
        };
        match accepted {
            Ok((stream, _)) => spawn(stream),
            Err(e) => {
                warn!(log, "accepting a connection of a caller failed"; "error" => %e);
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    gate::listener::close(listener, &log, |stream, _| spawn(stream));
    connections.close();
    if tokio::time::timeout(grace, connections.wait())
        .await
        .is_err()
    {
        warn!(log, "grace period over, requests are cancelled"; "connections" => connections.len());
        forwarder.cancel_requests();
        if tokio::time::timeout(LAST_ANSWERS_TIMEOUT, connections.wait())
            .await
            .is_err()
        {
            warn!(log, "callers did not read their answers"; "connections" => connections.len());
        }
    }
    info!(log, "request thread ended");
}

async fn connection(
    stream: TcpStream,
    forwarder: Rc<Forwarder>,
    view: SharedView,
    stop: CancellationToken,
) {
    if stream.set_nodelay(true).is_err() {
        // The caller has already closed the connection.
        return;
    }
    let limits = view
        .load()
        .configuration
        .as_ref()
        .map(|f| f.cfg.caller_limits)
        .unwrap_or_default();
    let service = service_fn(|req: Request<Incoming>| {
        let forwarder = Rc::clone(&forwarder);
        // Hyper moves the future, which is large.
        Box::pin(async move { Ok::<_, Infallible>(forwarder.answer(req).await) })
    });
    // Hyper counts the idle time between requests as part of reading the next head.
    let head_timeout = limits.idle_timeout.max(limits.head_timeout);
    let mut protocol = http1::Builder::new();
    protocol
        .timer(TokioTimer::new())
        .header_read_timeout(head_timeout)
        .max_buf_size((2 * limits.head_bytes).max(MIN_BUFFER_BYTES));
    let stream = TokioIo::new(ScannedStream::new(stream, head_timeout));
    let connection = protocol.serve_connection(stream, service);
    let mut connection = std::pin::pin!(connection);
    // A connection that breaks drops its request's future, which the forwarder handles.
    tokio::select! {
        _ = connection.as_mut() => return,
        () = stop.cancelled() => connection.as_mut().graceful_shutdown(),
    }
    let _ = connection.await;
}

/// Answers the load balancer's readiness checks on `listener`.
pub async fn serve_readiness(
    listener: TcpListener,
    path: &'static str,
    view: SharedView,
    log: Logger,
) {
    let respond =
        move |request_path: &str| readiness_response(request_path == path, view.load().phase);
    serve_paths(listener, respond, log).await;
}

/// Serves metrics on `listener`.
pub async fn serve_metrics(listener: TcpListener, metrics: Arc<Metrics>, log: Logger) {
    let respond = move |request_path: &str| metrics_response(request_path, &metrics);
    serve_paths(listener, respond, log).await;
}

/// Answers each request by its path alone.
async fn serve_paths(
    listener: TcpListener,
    respond: impl Fn(&str) -> Response<Full<Bytes>> + 'static,
    log: Logger,
) {
    let respond = Rc::new(respond);
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(e) => {
                warn!(log, "accepting a connection failed"; "error" => %e);
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let respond = Rc::clone(&respond);
        let service = service_fn(move |req: Request<Incoming>| {
            let response = respond(req.uri().path());
            async move { Ok::<_, Infallible>(response) }
        });
        tokio::task::spawn_local(async move {
            let protocol = http1::Builder::new();
            // Clients of this port poll, so a broken connection needs no handling.
            let _ = protocol
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

fn metrics_response(path: &str, metrics: &Arc<Metrics>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    if path != METRICS_PATH {
        *response.status_mut() = StatusCode::NOT_FOUND;
        return response;
    }
    *response.body_mut() = Full::new(Bytes::from(expose(metrics)));
    let kind = HeaderValue::from_static("application/openmetrics-text; version=1.0.0");
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    response
}

fn readiness_response(is_ready_path: bool, phase: Phase) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = match (is_ready_path, phase) {
        (false, _) => StatusCode::NOT_FOUND,
        (true, Phase::Ready) => StatusCode::OK,
        (true, Phase::Starting | Phase::Leaving) => StatusCode::SERVICE_UNAVAILABLE,
    };
    let body: &'static [u8] = match phase {
        Phase::Starting => b"starting",
        Phase::Ready => b"ready",
        Phase::Leaving => b"leaving",
    };
    *response.body_mut() = Full::new(Bytes::from_static(body));
    response
}
