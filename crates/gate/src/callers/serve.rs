//! The callers' thread, its accept loop and its shutdown.

use std::cell::Cell;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Request, Response, Version, header};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use ids::Reason;
use thiserror::Error;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::call::Answer;
use crate::callers::endpoints::{self, ENDPOINT_PREFIX, HostEndpoints, HostRequest};
use crate::callers::linger::{LingerStream, LingeringStreams};
use crate::callers::path::{CallerGoneCounter, Path, PathSettings, Refused};
use crate::callers::reply;
use crate::callers::request_reader::{self, BufferedTotal};
use crate::context::{GateContext, Phase};
use crate::counters::{Count, Latency};
use crate::dispatch::DispatchTx;
use crate::framing::ScannedStream;
use crate::listener;
use crate::settings::{GateSettings, millis};
use crate::thread::{self, ServiceEnd, ServiceGuard};

/// Connections that may wait to be accepted.
const BACKLOG: u32 = 4_096;
/// Delay after a failed accept, for example when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Smallest read buffer that the HTTP library accepts.
const MIN_BUFFER: usize = 8 << 10;
/// Time for which a stopping host keeps idle connections open.
///
/// A request that is sent while its connection is being closed gets no answer. Answers within this
/// time announce that the connection closes, so that no request of a busy caller coincides with the
/// close.
const IDLE_GRACE: Duration = Duration::from_millis(700);
/// Interval of keep-alive pings on an HTTP/2 connection, and timeout for their answer.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(20);

/// Error at the start of a gate.
#[derive(Debug, Error)]
#[error("start gate: {step} at {peer}: {cause}")]
pub struct GateError {
    /// Operation that failed.
    pub step: &'static str,
    /// The address.
    pub peer: SocketAddr,
    /// Error of the operating system.
    pub cause: io::Error,
}

/// A running server for callers.
#[derive(Debug)]
pub struct Gate {
    address: SocketAddr,
    stop: CancellationToken,
    end: ServiceEnd,
}

/// A server whose address is bound but which is not running yet.
pub(crate) struct BoundGate {
    build_server: Box<dyn FnOnce() -> CallerServer + Send>,
    listener: TcpListener,
    guard: ServiceGuard,
}

impl Gate {
    /// Starts the server on a separate thread.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound or the thread can't be started.
    pub fn start(
        settings: GateSettings,
        path: PathSettings,
        cx: Arc<GateContext>,
        dispatch: DispatchTx,
        endpoints: Arc<dyn HostEndpoints>,
    ) -> Result<Self, GateError> {
        let peer = settings.listen;
        let failed = |step| move |cause| GateError { step, peer, cause };
        let runtime = thread::runtime().map_err(failed("start runtime"))?;
        let (gate, bound) = {
            let _entered = runtime.enter();
            Self::prepare(settings, path, cx, dispatch, endpoints)?
        };
        thread::spawn("callers", runtime, || bound.run()).map_err(failed("start thread"))?;
        Ok(gate)
    }

    /// Binds the server's address; must be called with its runtime entered.
    pub(crate) fn prepare(
        settings: GateSettings,
        path: PathSettings,
        cx: Arc<GateContext>,
        dispatch: DispatchTx,
        endpoints: Arc<dyn HostEndpoints>,
    ) -> Result<(Self, BoundGate), GateError> {
        let peer = settings.listen;
        let failed = |step| move |cause| GateError { step, peer, cause };
        let listener = bind(peer).map_err(failed("bind"))?;
        let address = listener.local_addr().map_err(failed("read address"))?;
        let stop = CancellationToken::new();
        let stopped = stop.clone();
        let (guard, end) = thread::service_end();
        let build_server = move || CallerServer {
            path: Path::new(Arc::clone(&cx), path, &settings, dispatch),
            settings,
            cx,
            endpoints,
            buffered: BufferedTotal::default(),
            connections: TaskTracker::new(),
            lingering: LingeringStreams::default(),
            stop: stopped,
        };
        let bound = BoundGate {
            build_server: Box::new(build_server),
            listener,
            guard,
        };
        let gate = Self { address, stop, end };
        Ok((gate, bound))
    }

    /// Returns the address for callers.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting connections and finishes the requests in flight; returns at once.
    ///
    /// [`Phase::Leaving`] should be set some time before, so that callers can move to other hosts
    /// first.
    pub fn stop(&self) {
        self.stop.cancel();
    }

    /// Stops the server, and waits until all requests are answered or the timeout in the settings
    /// has passed.
    ///
    /// # Panics
    ///
    /// Panics if the thread panicked.
    pub fn join(self) {
        self.stop.cancel();
        self.end.wait();
    }
}

impl BoundGate {
    /// Runs until the server is stopped; must be called on a thread with local tasks.
    pub(crate) async fn run(self) {
        let server = Rc::new((self.build_server)());
        server.run(self.listener).await;
        self.guard.end();
    }
}

fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Spawns HTTP/2 streams as local tasks.
#[derive(Debug, Clone, Copy)]
struct LocalExecutor;

impl<F> hyper::rt::Executor<F> for LocalExecutor
where
    F: Future + 'static,
    F::Output: 'static,
{
    fn execute(&self, fut: F) {
        tokio::task::spawn_local(fut);
    }
}

type ConnectionBuilder = auto::Builder<LocalExecutor>;

/// State of the callers' thread.
struct CallerServer {
    path: Path,
    settings: GateSettings,
    cx: Arc<GateContext>,
    endpoints: Arc<dyn HostEndpoints>,
    buffered: BufferedTotal,
    connections: TaskTracker,
    lingering: LingeringStreams,
    stop: CancellationToken,
}

impl CallerServer {
    async fn run(self: Rc<Self>, listener: TcpListener) {
        let protocol = Rc::new(self.protocol());
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                () = self.stop.cancelled() => break,
            };
            match accepted {
                Ok((stream, peer)) => self.accepted(stream, peer, &protocol),
                Err(e) => {
                    slog::warn!(self.cx.log, "accept of a caller's connection failed"; "error" => %e);
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
        listener::close(listener, &self.cx.log, |stream, peer| {
            self.accepted(stream, peer, &protocol);
        });
        self.connections.close();
        let limit = millis(self.settings.stop_ms);
        let finished = tokio::time::timeout(limit, self.connections.wait()).await;
        self.lingering.wait().await;
        self.lingering.end();
        if finished.is_err() {
            slog::warn!(self.cx.log, "requests aborted at the end of the stop timeout";
                "connections" => self.connections.len());
        }
    }

    fn protocol(&self) -> ConnectionBuilder {
        let head = self.settings.header_bytes as usize;
        // The library counts the time between two requests as part of reading the next head. The
        // stream itself limits the time for a head.
        let idle_ms = self.settings.idle_timeout_ms;
        let timeout = millis(idle_ms.max(self.settings.header_timeout_ms));
        let mut protocol = ConnectionBuilder::new(LocalExecutor);
        protocol
            .http1()
            .timer(TokioTimer::new())
            .header_read_timeout(timeout)
            // A head slightly over the limit gets a refusal with a problem body instead of the library's
            // bare response.
            .max_buf_size((2 * head).max(MIN_BUFFER));
        protocol
            .http2()
            .timer(TokioTimer::new())
            .keep_alive_interval(KEEP_ALIVE_INTERVAL)
            .keep_alive_timeout(KEEP_ALIVE_INTERVAL)
            .max_concurrent_streams(self.settings.max_streams)
            .max_header_list_size(u32::try_from(2 * head).unwrap_or(u32::MAX));
        protocol
    }

    fn accepted(
        self: &Rc<Self>,
        stream: TcpStream,
        peer: SocketAddr,
        protocol: &Rc<ConnectionBuilder>,
    ) {
        let open = self.connections.len() + self.lingering.len();
        if open >= self.settings.max_connections as usize {
            self.cx.metrics.count(Count::CallersRefused);
            return;
        }
        self.cx.metrics.count(Count::CallersAccepted);
        if let Err(e) = stream.set_nodelay(true) {
            slog::debug!(self.cx.log, "setting TCP_NODELAY failed"; "peer" => %peer, "error" => %e);
        }
        let connection = Rc::clone(self).connection(stream, peer, Rc::clone(protocol));
        self.connections.spawn_local(connection);
    }

    async fn connection(
        self: Rc<Self>,
        stream: TcpStream,
        peer: SocketAddr,
        protocol: Rc<ConnectionBuilder>,
    ) {
        let request_seen = Cell::new(false);
        let service = service_fn(|request| {
            request_seen.set(true);
            let server = Rc::clone(&self);
            // Boxed because the future is large and the server moves it.
            Box::pin(async move { Ok::<_, Infallible>(server.answer(request).await) })
        });
        let write_timeout = millis(self.settings.write_timeout_ms);
        let stream = LingerStream::new(stream, self.lingering.clone(), write_timeout);
        let head_timeout = millis(self.settings.header_timeout_ms);
        let stream = TokioIo::new(ScannedStream::new(stream, head_timeout));
        let connection = protocol.serve_connection(stream, service);
        let mut connection = std::pin::pin!(connection);
        let mut first_request_timer =
            std::pin::pin!(tokio::time::sleep(millis(self.settings.header_timeout_ms)));
        let mut stop = std::pin::pin!(async {
            self.stop.cancelled().await;
            tokio::time::sleep(IDLE_GRACE).await;
        });
        let (mut first_request_checked, mut stopping) = (false, false);
        let ended = loop {
            tokio::select! {
                biased;
                ended = connection.as_mut() => break ended,
                () = &mut stop, if !stopping => {
                    stopping = true;
                    connection.as_mut().graceful_shutdown();
                }
                () = &mut first_request_timer, if !first_request_checked => {
                    first_request_checked = true;
                    if !request_seen.get() {
                        self.cx.metrics.refused(Reason::BodyTimeout);
                        break Ok(());
                    }
                }
            }
        };
        self.cx.metrics.count(Count::CallersClosed);
        if let Err(e) = ended {
            self.count_failure(peer, e.as_ref());
        }
    }

    /// Counts refusals by the HTTP library itself.
    fn count_failure(&self, peer: SocketAddr, e: &(dyn std::error::Error + Send + Sync + 'static)) {
        slog::debug!(self.cx.log, "connection of a caller failed"; "peer" => %peer, "error" => %e);
        let Some(e) = e.downcast_ref::<hyper::Error>() else {
            return;
        };
        if e.is_parse_too_large() {
            self.cx.metrics.refused(Reason::HeadTooLarge);
        } else if e.is_parse() {
            self.cx.metrics.refused(Reason::BadRequest);
        } else if is_head_timeout(e) {
            self.cx.metrics.refused(Reason::BodyTimeout);
        }
    }

    async fn answer(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let version = request.version();
        let mut response = self.respond(request).await;
        let is_last = self.cx.phase() == Phase::Leaving || self.stop.is_cancelled();
        if is_last && version <= Version::HTTP_11 {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
        }
        response
    }

    async fn respond(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        if request.uri().path().starts_with(ENDPOINT_PREFIX) {
            let request = HostRequest {
                method: request.method(),
                path: request.uri().path(),
                query: request.uri().query(),
            };
            return endpoints::answer(self.endpoints.as_ref(), self.cx.phase(), request);
        }
        let metrics = &self.cx.metrics;
        metrics.count(Count::Requests);
        let arrived = self.cx.now();
        let gone_counter = CallerGoneCounter::new(metrics);
        let (id, result) = match request_reader::request_id(request.headers()) {
            Ok(id) => {
                let result = self.serve(request, &id).await;
                (id, result)
            }
            Err(id) => (id, Err(Reason::BadRequest.into())),
        };
        gone_counter.end();
        let elapsed = self.cx.now().since(arrived);
        match result {
            Ok(answer) => {
                metrics.count(Count::Answered);
                metrics.record(Latency::Answered, elapsed);
                reply::answered(answer, &id)
            }
            Err(refused) => {
                metrics.refused(refused.reason);
                metrics.record(Latency::Refused, elapsed);
                reply::refused(refused.reason, refused.retry_after, &id)
            }
        }
    }

    async fn serve(
        &self,
        request: Request<Incoming>,
        id: &ids::RequestId,
    ) -> Result<Answer, Refused> {
        let arrived = self.cx.now();
        let (head, body) = request.into_parts();
        let router = self.path.router();
        if router.entries().next().is_none() {
            return Err(Reason::NoCatalogue.into());
        }
        let located = request_reader::locate(&head, &router, &self.settings)?;
        let buffered =
            request_reader::read(head, body, located, arrived, &self.settings, &self.buffered)
                .await?;
        self.path.run(&buffered, id).await
    }
}

/// Returns whether a connection failed because a head did not arrive in time.
fn is_head_timeout(e: &hyper::Error) -> bool {
    let cause = std::error::Error::source(e).and_then(|c| c.downcast_ref::<io::Error>());
    cause.is_some_and(|c| c.kind() == io::ErrorKind::TimedOut)
}
