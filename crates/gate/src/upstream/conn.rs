//! A connection and one exchange on it.

use std::fmt;
use std::future::poll_fn;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response, StatusCode, header};
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{self, Connection, SendRequest};
use hyper_util::rt::TokioIo;
use ids::Timestamp;
use thiserror::Error;
use tokio::net::{TcpSocket, TcpStream};
use wire::Traffic;

use crate::body::BodyBuffer;
use crate::upstream::carried::{CarriedRequests, Sending};
use crate::upstream::{CountedStream, ReadLimit};

/// Body of a request.
type RequestBody = Full<Bytes>;

/// An exchange without a complete answer.
#[derive(Debug, Error)]
pub enum ExchangeError {
    /// No connection could be opened; nothing was sent.
    #[error("connect to upstream at {peer}: {cause}")]
    Connect {
        /// The upstream's address.
        peer: SocketAddr,
        /// Error of the operating system.
        cause: io::Error,
    },
    /// The connection was closed before the first byte was written, or has carried the request before;
    /// nothing was sent.
    #[error("write to upstream at {peer}: the connection can't carry the request")]
    Unsent {
        /// The upstream's address.
        peer: SocketAddr,
        /// The request, if it can be sent on another connection.
        request: Option<Box<Request<RequestBody>>>,
    },
    /// The connection failed after bytes were written and before a complete head was received.
    #[error("exchange with upstream at {peer}: {cause}")]
    Reset {
        /// The upstream's address.
        peer: SocketAddr,
        /// Error of the HTTP library.
        cause: hyper::Error,
    },
    /// The answer ended early, or its head does not delimit the body.
    #[error("read answer of upstream at {peer}: it ended early")]
    Cut {
        /// The upstream's address.
        peer: SocketAddr,
        /// The answer's head.
        head: Box<AnswerHead>,
    },
    /// What arrived is not the answer to this sending: it belongs to another request, may be a second
    /// answer to an earlier one, or is no final answer.
    #[error("read answer of upstream at {peer}: it is not that to this request")]
    Mismatch {
        /// The upstream's address.
        peer: SocketAddr,
    },
    /// There is no room for the answer's body.
    #[error("read answer of upstream at {peer}: no room for a body of {bytes} bytes or more")]
    TooLarge {
        /// The upstream's address.
        peer: SocketAddr,
        /// Bytes for which there was no room.
        bytes: usize,
        /// The answer's head.
        head: Box<AnswerHead>,
    },
}

/// Head of an answer.
#[derive(Debug, Clone)]
pub struct AnswerHead {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
}

/// A complete answer.
#[derive(Debug)]
pub struct Exchange {
    /// Head.
    pub head: AnswerHead,
    /// The complete body.
    pub body: Bytes,
    /// The connection, if it can be reused: the exchange was complete, no unexpected bytes followed
    /// it, and the connection can remember further requests.
    pub conn: Option<UpstreamConn>,
}

/// A connection to an upstream, without an exchange in flight.
///
/// The methods that use the connection also poll its future, so that it needs no separate task.
pub struct UpstreamConn {
    peer: SocketAddr,
    sender: SendRequest<RequestBody>,
    driver: Driver,
    written: Arc<AtomicU64>,
    read_limit: ReadLimit,
    /// Bytes that may be read before the head of an answer is complete.
    bytes_before_head: usize,
    carried: CarriedRequests,
}

type Io = TokioIo<CountedStream>;

/// The connection's future; `None` once it has ended.
struct Driver(Option<Pin<Box<Connection<Io, RequestBody>>>>);

impl Driver {
    /// Polls the connection; drops it once it has ended.
    fn poll(&mut self, cx: &mut Context<'_>) {
        let Some(connection) = &mut self.0 else {
            return;
        };
        if connection.as_mut().poll(cx).is_ready() {
            self.0 = None;
        }
    }

    const fn is_closed(&self) -> bool {
        self.0.is_none()
    }
}

impl fmt::Debug for UpstreamConn {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("UpstreamConn")
            .field("peer", &self.peer)
            .field("closed", &self.driver.is_closed())
            .finish_non_exhaustive()
    }
}

impl UpstreamConn {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Fails if it does not open within `timeout`.
    pub async fn open(
        peer: SocketAddr,
        timeout: Duration,
        header_bytes: usize,
    ) -> Result<Self, ExchangeError> {
        Self::open_with(
            peer,
            ConnSettings {
                timeout,
                header_bytes,
                ..ConnSettings::default()
            },
        )
        .await
    }

    /// Opens a connection as `cfg` says.
    ///
    /// # Errors
    ///
    /// Fails if it does not open in time.
    pub async fn open_with(peer: SocketAddr, cfg: ConnSettings) -> Result<Self, ExchangeError> {
        let failed = |cause| ExchangeError::Connect { peer, cause };
        let connect = tokio::time::timeout(cfg.timeout, connect(peer, cfg.source));
        let stream = connect
            .await
            .map_err(|elapsed| failed(io::Error::new(io::ErrorKind::TimedOut, elapsed)))?
            .map_err(failed)?;
        stream.set_nodelay(true).map_err(failed)?;
        // An aborted request must not arrive later: closing the connection drops data that was
        // not delivered yet, and resets the connection at the upstream at once.
        stream.set_zero_linger().map_err(failed)?;
        let stream = CountedStream::new(stream, cfg.traffic);
        let (written, read_limit) = (stream.written(), stream.read_limit());
        let header_bytes = cfg.header_bytes.max(MIN_BUFFER);
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(header_bytes)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|e| failed(io::Error::other(e)))?;
        Ok(Self {
            peer,
            sender,
            driver: Driver(Some(Box::pin(connection))),
            written,
            read_limit,
            bytes_before_head: BUFFERS_BEFORE_HEAD * header_bytes,
            carried: CarriedRequests::default(),
        })
    }

    /// Returns whether the request `id` may be sent on this connection: an answer could be attributed
    /// to this sending ([`carried`](crate::upstream::carried)).
    #[must_use]
    pub fn may_carry(&self, now: Timestamp, id: &str) -> bool {
        self.carried.may_carry(now, id)
    }

    /// Returns the shared counter of the bytes written on this connection.
    #[must_use]
    pub fn written(&self) -> Arc<AtomicU64> {
        Arc::clone(&self.written)
    }

    /// Returns whether the connection can be used for a request.
    ///
    /// Reads what was received since the last exchange. A connection that was closed, or that
    /// received bytes which belong to no request, is not usable.
    pub fn is_usable(&mut self, cx: &mut Context<'_>) -> bool {
        self.driver.poll(cx);
        !self.driver.is_closed() && self.sender.is_ready()
    }

    /// Returns the same as [`Self::is_usable`], without waiting.
    pub async fn is_usable_now(&mut self) -> bool {
        poll_fn(|cx| Poll::Ready(self.is_usable(cx))).await
    }

    /// Sends `request` and reads the complete answer, with a body of at most `limit` bytes.
    ///
    /// The first poll writes without waiting. Dropping the future closes the
    /// connection.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks or has carried the request before, or if the answer is cut off,
    /// too large, or not that to this sending. The connection is then closed.
    pub async fn exchange(
        self,
        sending: &Sending<'_>,
        request: Request<RequestBody>,
        limit: usize,
    ) -> Result<Exchange, ExchangeError> {
        self.exchange_with_room(sending, request, &mut MaxBytes(limit), BodyEnd::Declared)
            .await
    }

    /// Does the same as [`Self::exchange`], with a body for which there is `room`, and `end` defining
    /// how the body may end.
    ///
    /// # Errors
    ///
    /// Fails as [`Self::exchange`] does.
    pub async fn exchange_with_room(
        mut self,
        sending: &Sending<'_>,
        request: Request<RequestBody>,
        room: &mut impl BodyRoom,
        end: BodyEnd,
    ) -> Result<Exchange, ExchangeError> {
        let peer = self.peer;
        if !self.carried.may_carry(sending.now, sending.id) {
            let request = Some(Box::new(request));
            return Err(ExchangeError::Unsent { peer, request });
        }
        let is_first = self.carried.is_empty();
        self.carried.record(sending);
        let is_head = request.method() == Method::HEAD;
        let response = self.send(request).await?;
        let (parts, body) = response.into_parts();
        let head = AnswerHead {
            status: parts.status,
            headers: parts.headers,
        };
        let is_final = !head.status.is_informational();
        if !is_final || !sending.is_answered_by(&head.headers, is_first) {
            return Err(ExchangeError::Mismatch { peer });
        }
        // An answer with two contradictory lengths may hide a second answer.
        if is_delimited_twice(&head) {
            return Err(self.cut(head));
        }
        let bodiless = is_head || body.is_end_stream();
        if !bodiless && end == BodyEnd::Declared && !is_delimited(&head) {
            return Err(self.cut(head));
        }
        let body = match self.read_body(body, room).await {
            Ok(body) => body,
            Err(BodyError::Cut) => return Err(self.cut(head)),
            Err(BodyError::TooLarge(bytes)) => return Err(self.too_large(bytes, head)),
        };
        let is_reusable = self.is_usable_now().await && !self.carried.is_full();
        Ok(Exchange {
            head,
            body,
            conn: is_reusable.then_some(self),
        })
    }

    async fn send(
        &mut self,
        request: Request<RequestBody>,
    ) -> Result<Response<Incoming>, ExchangeError> {
        let before = self.written.load(Ordering::Relaxed);
        let mut sending = std::pin::pin!(self.sender.try_send_request(request));
        let driver = &mut self.driver;
        self.read_limit.set(self.bytes_before_head);
        let sent = poll_fn(|cx| {
            driver.poll(cx);
            sending.as_mut().poll(cx)
        });
        let sent = sent.await;
        self.read_limit.lift();
        let mut failed = match sent {
            Ok(response) => return Ok(response),
            Err(failed) => failed,
        };
        let peer = self.peer;
        let request = failed.take_message().map(Box::new);
        if request.is_some() || self.written.load(Ordering::Relaxed) == before {
            return Err(ExchangeError::Unsent { peer, request });
        }
        let cause = failed.into_error();
        Err(ExchangeError::Reset { peer, cause })
    }

    async fn read_body(
        &mut self,
        body: Incoming,
        room: &mut impl BodyRoom,
    ) -> Result<Bytes, BodyError> {
        let declared = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
        if !room.reserve(declared) {
            return Err(BodyError::TooLarge(declared));
        }
        let mut body = std::pin::pin!(body);
        let mut whole = BodyBuffer::default();
        for frames in 1_u64.. {
            if frames.is_multiple_of(FRAMES_PER_TURN) {
                tokio::task::yield_now().await;
            }
            let frame = poll_fn(|cx| {
                self.driver.poll(cx);
                body.as_mut().poll_frame(cx)
            });
            let Some(frame) = frame.await else {
                return Ok(whole.into_bytes());
            };
            let frame = frame.map_err(|_cut| BodyError::Cut)?;
            let Ok(data) = frame.into_data() else {
                continue;
            };
            let len = whole.len() + data.len();
            if !room.grow_to(len) {
                return Err(BodyError::TooLarge(len));
            }
            whole.push(data);
        }
        Err(BodyError::Cut)
    }

    fn cut(&self, head: AnswerHead) -> ExchangeError {
        ExchangeError::Cut {
            peer: self.peer,
            head: Box::new(head),
        }
    }

    fn too_large(&self, bytes: usize, head: AnswerHead) -> ExchangeError {
        ExchangeError::TooLarge {
            peer: self.peer,
            bytes,
            head: Box::new(head),
        }
    }
}

/// Room for the body of an answer while it is read.
pub trait BodyRoom {
    /// Makes room for a body whose head declares `bytes`; returns whether there is.
    fn reserve(&mut self, bytes: usize) -> bool;

    /// Makes room for a body that has `bytes` so far; returns whether there is.
    fn grow_to(&mut self, bytes: usize) -> bool;
}

/// Room for a body of at most this many bytes.
#[derive(Debug, Clone, Copy)]
pub struct MaxBytes(pub usize);

impl BodyRoom for MaxBytes {
    fn reserve(&mut self, bytes: usize) -> bool {
        bytes <= self.0
    }

    fn grow_to(&mut self, bytes: usize) -> bool {
        bytes <= self.0
    }
}

/// How a connection to an upstream is opened.
#[derive(Debug, Clone)]
pub struct ConnSettings {
    /// Time limit for opening it.
    pub timeout: Duration,
    /// Maximum size of the head of an answer, in bytes.
    pub header_bytes: usize,
    /// Local address; chosen by the system if there is none.
    pub source: Option<IpAddr>,
    /// Counts the bytes, if given.
    pub traffic: Option<Arc<Traffic>>,
}

impl Default for ConnSettings {
    fn default() -> Self {
        Self {
            timeout: Duration::from_secs(1),
            header_bytes: MIN_BUFFER,
            source: None,
            traffic: None,
        }
    }
}

async fn connect(peer: SocketAddr, source: Option<IpAddr>) -> io::Result<TcpStream> {
    let Some(source) = source else {
        return TcpStream::connect(peer).await;
    };
    let socket = match peer {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.bind(SocketAddr::new(source, 0))?;
    socket.connect(peer).await
}

/// How the end of an answer's body may be marked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyEnd {
    /// By its declared length, or by its last chunk.
    Declared,
    /// Also by an orderly close of the connection, for upstreams that reset the connection when
    /// they abort an answer.
    DeclaredOrClosed,
}

/// Read buffers that may be filled before the head of an answer is complete: one by the head itself, one
/// by what follows it, and the others by heads that only announce another one.
const BUFFERS_BEFORE_HEAD: usize = 4;
/// Frames of a body that are read before other tasks of the thread get their turn: one read from the
/// socket may hold thousands of tiny chunks.
const FRAMES_PER_TURN: u64 = 64;
/// Smallest read buffer that the HTTP library accepts.
const MIN_BUFFER: usize = 8 << 10;

enum BodyError {
    Cut,
    /// There is no room for this many bytes.
    TooLarge(usize),
}

fn is_delimited_twice(head: &AnswerHead) -> bool {
    head.headers.contains_key(header::CONTENT_LENGTH)
        && head.headers.contains_key(header::TRANSFER_ENCODING)
}

/// Returns whether the head delimits the body.
///
/// Otherwise the body ends with the connection, which can't be distinguished from a failure.
fn is_delimited(head: &AnswerHead) -> bool {
    head.headers.contains_key(header::CONTENT_LENGTH)
        || head.headers.contains_key(header::TRANSFER_ENCODING)
}
