//! One connection and one exchange on it.

use std::fmt;
use std::future::poll_fn;
use std::io;
use std::net::SocketAddr;
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
use thiserror::Error;
use tokio::net::TcpStream;
use wire::Traffic;

use crate::body::Gathered;
use crate::upstream::CountedStream;

/// Body of a request.
type RequestBody = Full<Bytes>;

/// An exchange that brought no whole answer.
#[derive(Debug, Error)]
pub enum ExchangeError {
    /// No connection could be opened; nothing was sent.
    #[error("connect to upstream at {peer}: {cause}")]
    Connect {
        /// The upstream's address.
        peer: SocketAddr,
        /// What the system said.
        cause: io::Error,
    },
    /// The connection was closed before the first byte was written; nothing was sent.
    #[error("write to upstream at {peer}: the connection was closed before the first byte")]
    Unsent {
        /// The upstream's address.
        peer: SocketAddr,
        /// The request, if it can be sent on another connection.
        request: Option<Box<Request<RequestBody>>>,
    },
    /// The connection broke after bytes were written and before a whole head came back.
    #[error("exchange with upstream at {peer}: {cause}")]
    Reset {
        /// The upstream's address.
        peer: SocketAddr,
        /// What the library said.
        cause: hyper::Error,
    },
    /// The answer ended early, or nothing tells where it should end.
    #[error("read answer of upstream at {peer}: it ended early")]
    Cut {
        /// The upstream's address.
        peer: SocketAddr,
        /// The answer's head.
        head: Box<AnswerHead>,
    },
    /// The answer's body is over the limit.
    #[error("read answer of upstream at {peer}: its body is over {limit} bytes")]
    TooLarge {
        /// The upstream's address.
        peer: SocketAddr,
        /// The limit.
        limit: usize,
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

/// A whole answer.
#[derive(Debug)]
pub struct Exchange {
    /// Head.
    pub head: AnswerHead,
    /// The whole body.
    pub body: Bytes,
    /// The connection, if it may be used again: the exchange on it was complete and clean.
    pub conn: Option<UpstreamConn>,
}

/// A connection to an upstream that has no exchange under way.
///
/// The connection's future is polled by whoever uses the connection; it needs no task of its own.
pub struct UpstreamConn {
    peer: SocketAddr,
    sender: SendRequest<RequestBody>,
    driver: Driver,
    written: Arc<AtomicU64>,
}

type Io = TokioIo<CountedStream>;

/// The connection's future, until it ends.
struct Driver(Option<Pin<Box<Connection<Io, RequestBody>>>>);

impl Driver {
    /// Lets the connection make progress; it is closed once it ends.
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
        Self::open_counted(peer, timeout, header_bytes, None).await
    }

    /// Opens a connection whose bytes are added to `traffic`, if there is one.
    ///
    /// # Errors
    ///
    /// Fails if it does not open within `timeout`.
    pub async fn open_counted(
        peer: SocketAddr,
        timeout: Duration,
        header_bytes: usize,
        traffic: Option<Arc<Traffic>>,
    ) -> Result<Self, ExchangeError> {
        let failed = |cause| ExchangeError::Connect { peer, cause };
        let connect = tokio::time::timeout(timeout, TcpStream::connect(peer));
        let stream = connect
            .await
            .map_err(|elapsed| failed(io::Error::new(io::ErrorKind::TimedOut, elapsed)))?
            .map_err(failed)?;
        stream.set_nodelay(true).map_err(failed)?;
        // A request that was given up must not arrive later: closing drops what the network has
        // not delivered yet, and tells the upstream at once.
        stream.set_zero_linger().map_err(failed)?;
        let stream = CountedStream::new(stream, traffic);
        let written = stream.written();
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(header_bytes.max(MIN_BUFFER))
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|e| failed(io::Error::other(e)))?;
        Ok(Self {
            peer,
            sender,
            driver: Driver(Some(Box::pin(connection))),
            written,
        })
    }

    /// Returns the count of bytes written on this connection, which goes on after this call.
    #[must_use]
    pub fn written(&self) -> Arc<AtomicU64> {
        Arc::clone(&self.written)
    }

    /// Tells whether the connection can take a request.
    ///
    /// It reads what came since the last exchange: the end of the connection, or bytes that
    /// belong to no request, make it useless.
    pub fn is_usable(&mut self, cx: &mut Context<'_>) -> bool {
        self.driver.poll(cx);
        !self.driver.is_closed() && self.sender.is_ready()
    }

    /// Tells the same as [`Self::is_usable`], at once.
    pub async fn is_usable_now(&mut self) -> bool {
        poll_fn(|cx| Poll::Ready(self.is_usable(cx))).await
    }

    /// Sends `request` and reads the whole answer, with a body of `limit` bytes at most.
    ///
    /// The first poll writes without waiting for anything. Dropping the future closes the
    /// connection.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks, or the answer is cut or too large; the connection is
    /// closed then.
    pub async fn exchange(
        self,
        request: Request<RequestBody>,
        limit: usize,
    ) -> Result<Exchange, ExchangeError> {
        self.exchange_ended(request, limit, BodyEnd::Declared).await
    }

    /// Does the same as [`Self::exchange`], for upstreams whose answers may end as `end` says.
    ///
    /// # Errors
    ///
    /// Fails as [`Self::exchange`] does.
    pub async fn exchange_ended(
        mut self,
        request: Request<RequestBody>,
        limit: usize,
        end: BodyEnd,
    ) -> Result<Exchange, ExchangeError> {
        let is_head = request.method() == Method::HEAD;
        let response = self.send(request).await?;
        let (parts, body) = response.into_parts();
        let head = AnswerHead {
            status: parts.status,
            headers: parts.headers,
        };
        // An answer that says in two ways where it ends may hide another one.
        if is_delimited_twice(&head) {
            return Err(self.cut(head));
        }
        let bodiless = is_head || body.is_end_stream();
        if !bodiless && end == BodyEnd::Declared && !is_delimited(&head) {
            return Err(self.cut(head));
        }
        let body = match self.read_body(body, limit).await {
            Ok(body) => body,
            Err(BodyFault::Cut) => return Err(self.cut(head)),
            Err(BodyFault::TooLarge) => return Err(self.too_large(limit, head)),
        };
        let is_clean = self.is_usable_now().await;
        Ok(Exchange {
            head,
            body,
            conn: is_clean.then_some(self),
        })
    }

    async fn send(
        &mut self,
        request: Request<RequestBody>,
    ) -> Result<Response<Incoming>, ExchangeError> {
        let before = self.written.load(Ordering::Relaxed);
        let mut sending = std::pin::pin!(self.sender.try_send_request(request));
        let driver = &mut self.driver;
        let sent = poll_fn(|cx| {
            driver.poll(cx);
            sending.as_mut().poll(cx)
        });
        let mut failed = match sent.await {
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

    async fn read_body(&mut self, body: Incoming, limit: usize) -> Result<Bytes, BodyFault> {
        let mut body = std::pin::pin!(body);
        let mut whole = Gathered::default();
        loop {
            let frame = poll_fn(|cx| {
                self.driver.poll(cx);
                body.as_mut().poll_frame(cx)
            });
            let Some(frame) = frame.await else {
                return Ok(whole.into_bytes());
            };
            let frame = frame.map_err(|_cut| BodyFault::Cut)?;
            let Ok(data) = frame.into_data() else {
                continue;
            };
            if whole.len() + data.len() > limit {
                return Err(BodyFault::TooLarge);
            }
            whole.push(data);
        }
    }

    fn cut(&self, head: AnswerHead) -> ExchangeError {
        ExchangeError::Cut {
            peer: self.peer,
            head: Box::new(head),
        }
    }

    fn too_large(&self, limit: usize, head: AnswerHead) -> ExchangeError {
        ExchangeError::TooLarge {
            peer: self.peer,
            limit,
            head: Box::new(head),
        }
    }
}

/// What may say where an answer's body ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyEnd {
    /// Its length, or its last chunk.
    Declared,
    /// Also the orderly end of the connection, of upstreams that reset it when they break off.
    OrClosed,
}

/// Smallest read buffer that the library takes.
const MIN_BUFFER: usize = 8 << 10;

enum BodyFault {
    Cut,
    TooLarge,
}

fn is_delimited_twice(head: &AnswerHead) -> bool {
    head.headers.contains_key(header::CONTENT_LENGTH)
        && head.headers.contains_key(header::TRANSFER_ENCODING)
}

/// Tells whether something but the end of the connection says where the body ends.
///
/// The end of a connection can't be told from a break.
fn is_delimited(head: &AnswerHead) -> bool {
    head.headers.contains_key(header::CONTENT_LENGTH)
        || head.headers.contains_key(header::TRANSFER_ENCODING)
}
