//! The callers' thread, its accept loop and its end.

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
use crate::callers::intake::{self, BufferedTotal};
use crate::callers::linger::{Closing, LingerStream};
use crate::callers::own::{self, OWN_PREFIX, OwnEndpoints, OwnRequest};
use crate::callers::path::{CallerWatch, Path, PathSettings, Refused};
use crate::callers::reply;
use crate::context::{GateContext, Phase};
use crate::counters::{Count, Latency};
use crate::dispatch::DispatchTx;
use crate::framing::FramedRequests;
use crate::settings::{GateSettings, millis};
use crate::thread::{self, ServiceEnd, ServiceGuard};

/// Connections that wait to be accepted.
const BACKLOG: u32 = 4_096;
/// Pause after a failed accept, as when file descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Smallest read buffer that the library takes.
const MIN_BUFFER: usize = 8 << 10;
/// Time for which a stopping host keeps connections at rest.
///
/// A request that crosses their close gets no answer. Callers that send within this time are told by
/// the answer to go elsewhere, so that none of a busy caller's requests meets the close.
const REST: Duration = Duration::from_millis(700);
/// Time between two signs of life on an HTTP/2 connection.
const KEEP_ALIVE: Duration = Duration::from_secs(20);

/// A gate that could not start.
#[derive(Debug, Error)]
#[error("start gate: {step} at {peer}: {cause}")]
pub struct GateError {
    /// What was being done.
    pub step: &'static str,
    /// The address.
    pub peer: SocketAddr,
    /// What the system said.
    pub cause: io::Error,
}

/// A running server towards callers.
#[derive(Debug)]
pub struct Gate {
    address: SocketAddr,
    stop: CancellationToken,
    end: ServiceEnd,
}

/// A server that is bound but does not run yet.
pub(crate) struct BoundGate {
    desk: Box<dyn FnOnce() -> Desk + Send>,
    listener: TcpListener,
    guard: ServiceGuard,
}

impl Gate {
    /// Starts the server on a thread of its own.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound or the thread can't be started.
    pub fn start(
        settings: GateSettings,
        path: PathSettings,
        cx: Arc<GateContext>,
        dispatch: DispatchTx,
        endpoints: Arc<dyn OwnEndpoints>,
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

    /// Binds the server; needs to be called with its runtime entered.
    pub(crate) fn prepare(
        settings: GateSettings,
        path: PathSettings,
        cx: Arc<GateContext>,
        dispatch: DispatchTx,
        endpoints: Arc<dyn OwnEndpoints>,
    ) -> Result<(Self, BoundGate), GateError> {
        let peer = settings.listen;
        let failed = |step| move |cause| GateError { step, peer, cause };
        let listener = bind(peer).map_err(failed("bind"))?;
        let address = listener.local_addr().map_err(failed("read address"))?;
        let stop = CancellationToken::new();
        let stopped = stop.clone();
        let (guard, end) = thread::service_end();
        let desk = move || Desk {
            path: Path::new(Arc::clone(&cx), path, &settings, dispatch),
            settings,
            cx,
            endpoints,
            buffered: BufferedTotal::default(),
            connections: TaskTracker::new(),
            closing: Closing::default(),
            stop: stopped,
        };
        let bound = BoundGate {
            desk: Box::new(desk),
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

    /// Stops accepting connections and finishes the requests under way; returns at once.
    ///
    /// [`Phase::Leaving`], set some time before, lets callers go elsewhere first.
    pub fn stop(&self) {
        self.stop.cancel();
    }

    /// Stops, and waits until all requests are answered or the time that the settings allow is
    /// over.
    ///
    /// # Panics
    ///
    /// Panics if the thread did.
    pub fn join(self) {
        self.stop.cancel();
        self.end.wait();
    }
}

impl BoundGate {
    /// Runs until the server is stopped, on a thread with local tasks.
    pub(crate) async fn run(self) {
        let desk = Rc::new((self.desk)());
        desk.run(self.listener).await;
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

/// Lets HTTP/2 streams run as local tasks.
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

type Connections = auto::Builder<LocalExecutor>;

/// The state of the callers' thread.
struct Desk {
    path: Path,
    settings: GateSettings,
    cx: Arc<GateContext>,
    endpoints: Arc<dyn OwnEndpoints>,
    buffered: BufferedTotal,
    connections: TaskTracker,
    closing: Closing,
    stop: CancellationToken,
}

impl Desk {
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
                    slog::warn!(self.cx.log, "accept of a caller failed"; "error" => %e);
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
        drop(listener);
        self.connections.close();
        let limit = millis(self.settings.stop_ms);
        let finished = tokio::time::timeout(limit, self.connections.wait()).await;
        self.closing.wait().await;
        self.closing.end();
        if finished.is_err() {
            slog::warn!(self.cx.log, "requests cut by the end of the host";
                "connections" => self.connections.len());
        }
    }

    fn protocol(&self) -> Connections {
        let head = self.settings.header_bytes as usize;
        let timeout = millis(self.settings.header_timeout_ms);
        let mut protocol = Connections::new(LocalExecutor);
        protocol
            .http1()
            .timer(TokioTimer::new())
            .header_read_timeout(timeout)
            // Heads a little over the limit get a full refusal instead of the library's short one.
            .max_buf_size((2 * head).max(MIN_BUFFER));
        protocol
            .http2()
            .timer(TokioTimer::new())
            .keep_alive_interval(KEEP_ALIVE)
            .keep_alive_timeout(KEEP_ALIVE)
            .max_concurrent_streams(self.settings.max_streams)
            .max_header_list_size(u32::try_from(2 * head).unwrap_or(u32::MAX));
        protocol
    }

    fn accepted(self: &Rc<Self>, stream: TcpStream, peer: SocketAddr, protocol: &Rc<Connections>) {
        let open = self.connections.len() + self.closing.len();
        if open >= self.settings.max_connections as usize {
            self.cx.metrics.count(Count::CallersRefused);
            return;
        }
        self.cx.metrics.count(Count::CallersAccepted);
        if let Err(e) = stream.set_nodelay(true) {
            slog::debug!(self.cx.log, "set no delay"; "peer" => %peer, "error" => %e);
        }
        let connection = Rc::clone(self).connection(stream, peer, Rc::clone(protocol));
        self.connections.spawn_local(connection);
    }

    async fn connection(
        self: Rc<Self>,
        stream: TcpStream,
        peer: SocketAddr,
        protocol: Rc<Connections>,
    ) {
        let seen = Cell::new(false);
        let service = service_fn(|request| {
            seen.set(true);
            let desk = Rc::clone(&self);
            // The server moves the future around, which is large.
            Box::pin(async move { Ok::<_, Infallible>(desk.answer(request).await) })
        });
        let stall_max = millis(self.settings.write_timeout_ms);
        let stream = LingerStream::new(stream, self.closing.clone(), stall_max);
        let stream = TokioIo::new(FramedRequests::new(stream));
        let connection = protocol.serve_connection(stream, service);
        let mut connection = std::pin::pin!(connection);
        let mut first = std::pin::pin!(tokio::time::sleep(millis(self.settings.header_timeout_ms)));
        let mut stop = std::pin::pin!(async {
            self.stop.cancelled().await;
            tokio::time::sleep(REST).await;
        });
        let (mut first_checked, mut stopping) = (false, false);
        let ended = loop {
            tokio::select! {
                biased;
                ended = connection.as_mut() => break ended,
                () = &mut stop, if !stopping => {
                    stopping = true;
                    connection.as_mut().graceful_shutdown();
                }
                () = &mut first, if !first_checked => {
                    first_checked = true;
                    if !seen.get() {
                        self.cx.metrics.refused(Reason::BodyTimeout);
                        break Ok(());
                    }
                }
            }
        };
        self.cx.metrics.count(Count::CallersClosed);
        if let Err(e) = ended {
            self.broken(peer, e.as_ref());
        }
    }

    /// Counts what the library refused by itself.
    fn broken(&self, peer: SocketAddr, e: &(dyn std::error::Error + Send + Sync + 'static)) {
        slog::debug!(self.cx.log, "connection of a caller broke"; "peer" => %peer, "error" => %e);
        let Some(e) = e.downcast_ref::<hyper::Error>() else {
            return;
        };
        if e.is_parse_too_large() {
            self.cx.metrics.refused(Reason::HeadTooLarge);
        } else if e.is_parse() {
            self.cx.metrics.refused(Reason::BadRequest);
        } else if e.is_timeout() {
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
        if request.uri().path().starts_with(OWN_PREFIX) {
            let request = OwnRequest {
                method: request.method(),
                path: request.uri().path(),
                query: request.uri().query(),
            };
            return own::answer(self.endpoints.as_ref(), self.cx.phase(), request);
        }
        let metrics = &self.cx.metrics;
        metrics.count(Count::Requests);
        let arrived = self.cx.now();
        let watch = CallerWatch::new(metrics);
        let (id, result) = match intake::request_id(request.headers()) {
            Ok(id) => {
                let result = self.serve(request, &id).await;
                (id, result)
            }
            Err(id) => (id, Err(Reason::BadRequest.into())),
        };
        watch.end();
        let took = self.cx.now().since(arrived);
        match result {
            Ok(answer) => {
                metrics.count(Count::Answered);
                metrics.record(Latency::Answered, took);
                reply::answered(answer, &id)
            }
            Err(refused) => {
                metrics.refused(refused.reason);
                metrics.record(Latency::Refused, took);
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
        let located = intake::locate(&head, &router, &self.settings)?;
        let intake =
            intake::read(head, body, located, arrived, &self.settings, &self.buffered).await?;
        self.path.run(&intake, id).await
    }
}
