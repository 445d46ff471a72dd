//! The callers' thread: accepts connections and serves requests on them.

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
use crate::view::{Phase, Shared};

/// Connections that wait to be accepted.
const BACKLOG: u32 = 1_024;
/// Pause after a failed accept, as when file descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Time between two clean-ups of what is known of upstreams.
const CLEAN_EVERY: Duration = Duration::from_secs(2);
/// Time for the last answers to leave.
const LAST_ANSWERS: Duration = Duration::from_millis(200);
/// Path of the metrics.
pub const METRICS_PATH: &str = "/metrics";
/// Smallest read buffer that the library takes.
const MIN_BUFFER: usize = 8 << 10;

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

/// Serves callers on `listener` until `stop`, then finishes what is under way within `grace`.
/// What is left then is answered as it stands.
pub async fn callers(
    listener: TcpListener,
    forwarder: Rc<Forwarder>,
    view: Shared,
    stop: CancellationToken,
    grace: Duration,
    log: Logger,
) {
    let connections = TaskTracker::new();
    let mut clean = tokio::time::interval(CLEAN_EVERY);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = clean.tick() => {
                forwarder.forget_gone();
                continue;
            }
            () = stop.cancelled() => break,
        };
        match accepted {
            Ok((stream, _)) => {
                let forwarder = Rc::clone(&forwarder);
                let connection = connection(stream, forwarder, Shared::clone(&view), stop.clone());
                connections.spawn_local(connection);
            }
            Err(e) => {
                warn!(log, "accept of a caller failed"; "error" => %e);
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    drop(listener);
    connections.close();
    if tokio::time::timeout(grace, connections.wait())
        .await
        .is_err()
    {
        warn!(log, "requests ended by the end of the host"; "connections" => connections.len());
        forwarder.end();
        if tokio::time::timeout(LAST_ANSWERS, connections.wait())
            .await
            .is_err()
        {
            warn!(log, "callers did not take their answers"; "connections" => connections.len());
        }
    }
    info!(log, "callers' duty ended");
}

async fn connection(
    stream: TcpStream,
    forwarder: Rc<Forwarder>,
    view: Shared,
    stop: CancellationToken,
) {
    if stream.set_nodelay(true).is_err() {
        // The caller has already gone.
        return;
    }
    let bounds = view
        .load()
        .in_force
        .as_ref()
        .map(|f| f.cfg.caller_limits)
        .unwrap_or_default();
    let service = service_fn(|req: Request<Incoming>| {
        let forwarder = Rc::clone(&forwarder);
        // The server moves the future around, which is large.
        Box::pin(async move { Ok::<_, Infallible>(forwarder.answer(req).await) })
    });
    let mut protocol = http1::Builder::new();
    protocol
        .timer(TokioTimer::new())
        // The library counts the rest between requests as part of reading the next head.
        .header_read_timeout(bounds.idle_timeout.max(bounds.head_timeout))
        .max_buf_size((2 * bounds.head_bytes).max(MIN_BUFFER));
    let stream = TokioIo::new(ScannedStream::new(stream));
    let connection = protocol.serve_connection(stream, service);
    let mut connection = std::pin::pin!(connection);
    // A connection that breaks takes its request with it; the forwarder sees that.
    tokio::select! {
        _ = connection.as_mut() => return,
        () = stop.cancelled() => connection.as_mut().graceful_shutdown(),
    }
    let _ = connection.await;
}

/// Answers the balancer's question whether the host is ready, on `listener`.
pub async fn readiness(listener: TcpListener, path: &'static str, view: Shared, log: Logger) {
    let answer = move |asked: &str| ready_answer(asked == path, view.load().phase);
    questions(listener, answer, log).await;
}

/// Answers scrapers of metrics, on `listener`.
pub async fn metrics(listener: TcpListener, metrics: Arc<Metrics>, log: Logger) {
    let answer = move |asked: &str| metrics_answer(asked, &metrics);
    questions(listener, answer, log).await;
}

/// Answers each request by its path alone.
async fn questions(
    listener: TcpListener,
    answer: impl Fn(&str) -> Response<Full<Bytes>> + 'static,
    log: Logger,
) {
    let answer = Rc::new(answer);
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(e) => {
                warn!(log, "accept of a question failed"; "error" => %e);
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let answer = Rc::clone(&answer);
        let service = service_fn(move |req: Request<Incoming>| {
            let response = answer(req.uri().path());
            async move { Ok::<_, Infallible>(response) }
        });
        tokio::task::spawn_local(async move {
            let protocol = http1::Builder::new();
            // Whoever asked asks again; a question that breaks off needs no answer.
            let _ = protocol
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

fn metrics_answer(path: &str, metrics: &Arc<Metrics>) -> Response<Full<Bytes>> {
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

fn ready_answer(is_question: bool, phase: Phase) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = match (is_question, phase) {
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
