//! An HTTP client over one connection.

use std::fmt;
use std::net::SocketAddr;

use anyhow::{Context, anyhow};
use bytes::Bytes;
use http::{Method, Request, Response, header};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::{http1, http2};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use serde::Serialize;
use serde::de::DeserializeOwned;
use smol_str::{SmolStr, format_smolstr};
use thiserror::Error;
use tokio::net::TcpStream;

/// Version of HTTP that a client speaks.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Protocol {
    /// HTTP/1.1: one request at a time on a connection.
    #[default]
    Http1,
    /// HTTP/2 without negotiation.
    Http2,
}

/// Why a request got no whole answer.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum SendError {
    /// No connection could be opened; nothing was sent.
    #[error("connect to {peer}: {cause}")]
    Connect {
        /// Address of the server.
        peer: SocketAddr,
        /// What the transport said.
        cause: SmolStr,
    },
    /// The connection was closed before any of the request was sent.
    #[error("send to {peer}: connection closed")]
    Closed {
        /// Address of the server.
        peer: SocketAddr,
    },
    /// The connection broke after some of the request may have been sent.
    #[error("send to {peer}: {cause}")]
    Broken {
        /// Address of the server.
        peer: SocketAddr,
        /// What the transport said.
        cause: SmolStr,
    },
    /// The answer ended early.
    #[error("answer of {peer}: {cause}")]
    Truncated {
        /// Address of the server.
        peer: SocketAddr,
        /// What the transport said.
        cause: SmolStr,
    },
}

enum Sender {
    Http1(http1::SendRequest<Full<Bytes>>),
    Http2(http2::SendRequest<Full<Bytes>>),
}

/// One connection to a server.
pub struct Connection {
    peer: SocketAddr,
    sender: Sender,
}

impl fmt::Debug for Connection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Connection")
            .field("peer", &self.peer)
            .finish_non_exhaustive()
    }
}

impl Connection {
    /// Connects to the server at `peer`.
    ///
    /// # Errors
    ///
    /// Fails if the connection can't be opened.
    pub async fn open(peer: SocketAddr, protocol: Protocol) -> Result<Self, SendError> {
        let refused = |cause: &dyn fmt::Display| SendError::Connect {
            peer,
            cause: format_smolstr!("{cause}"),
        };
        let socket = TcpStream::connect(peer).await.map_err(|e| refused(&e))?;
        socket.set_nodelay(true).map_err(|e| refused(&e))?;
        let io = TokioIo::new(socket);
        let sender = match protocol {
            Protocol::Http1 => {
                let (sender, driver) = http1::handshake(io).await.map_err(|e| refused(&e))?;
                // The sender learns of a broken connection by itself.
                tokio::spawn(async move { driver.await.is_ok() });
                Sender::Http1(sender)
            }
            Protocol::Http2 => {
                let builder = http2::Builder::new(TokioExecutor::new())
                    .timer(TokioTimer::new())
                    .clone();
                let (sender, driver) = builder.handshake(io).await.map_err(|e| refused(&e))?;
                tokio::spawn(async move { driver.await.is_ok() });
                Sender::Http2(sender)
            }
        };
        Ok(Self { peer, sender })
    }

    /// Returns the server's address.
    #[must_use]
    pub const fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// Returns another handle on the same connection; nothing with HTTP/1.1.
    #[must_use]
    pub fn share(&self) -> Option<Self> {
        let Sender::Http2(sender) = &self.sender else {
            return None;
        };
        Some(Self {
            peer: self.peer,
            sender: Sender::Http2(sender.clone()),
        })
    }

    /// Tells whether the connection is closed.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        match &self.sender {
            Sender::Http1(sender) => sender.is_closed(),
            Sender::Http2(sender) => sender.is_closed(),
        }
    }

    /// Sends `req` and reads the whole answer.
    ///
    /// Dropping the future closes an HTTP/1.1 connection and resets an HTTP/2 stream.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks before the end of the answer.
    pub async fn send(&mut self, req: Request<Full<Bytes>>) -> Result<Response<Bytes>, SendError> {
        let peer = self.peer;
        let closed = |_cause| SendError::Closed { peer };
        let sent = match &mut self.sender {
            Sender::Http1(sender) => {
                sender.ready().await.map_err(closed)?;
                sender.try_send_request(req).await
            }
            Sender::Http2(sender) => {
                sender.ready().await.map_err(closed)?;
                sender.try_send_request(req).await
            }
        };
        let answer = sent.map_err(|mut e| match e.take_message() {
            // A request that is handed back has not been sent.
            Some(_) => SendError::Closed { peer },
            None => SendError::Broken {
                peer,
                cause: format_smolstr!("{}", e.error()),
            },
        })?;
        let (parts, body) = answer.into_parts();
        let body = body.collect().await.map_err(|e| SendError::Truncated {
            peer,
            cause: format_smolstr!("{e}"),
        })?;
        Ok(Response::from_parts(parts, body.to_bytes()))
    }
}

/// Sends one request of JSON to `peer` on a connection of its own.
///
/// # Errors
///
/// Fails if no whole answer comes.
pub async fn call<T: Serialize>(
    peer: SocketAddr,
    method: Method,
    path: &str,
    body: Option<&T>,
) -> anyhow::Result<Response<Bytes>> {
    let body = match body {
        Some(body) => serde_json::to_vec(body).context("write body")?,
        None => Vec::new(),
    };
    let req = Request::builder()
        .method(method)
        .uri(format!("http://{peer}{path}"))
        .header(header::HOST, peer.to_string())
        .body(Full::new(Bytes::from(body)))
        .context("build request")?;
    let mut connection = Connection::open(peer, Protocol::Http1).await?;
    Ok(connection.send(req).await?)
}

/// Posts JSON to `peer` and parses the answer, of whatever status.
///
/// # Errors
///
/// Fails if no whole answer comes or it is not of type `R`.
pub async fn post<T: Serialize, R: DeserializeOwned>(
    peer: SocketAddr,
    path: &str,
    body: &T,
) -> anyhow::Result<R> {
    let answer = call(peer, Method::POST, path, Some(body)).await?;
    parse(peer, path, &answer)
}

/// Gets JSON from `peer` and parses the answer, of whatever status.
///
/// # Errors
///
/// Fails if no whole answer comes or it is not of type `R`.
pub async fn get<R: DeserializeOwned>(peer: SocketAddr, path: &str) -> anyhow::Result<R> {
    let answer = call(peer, Method::GET, path, None::<&()>).await?;
    parse(peer, path, &answer)
}

fn parse<R: DeserializeOwned>(
    peer: SocketAddr,
    path: &str,
    answer: &Response<Bytes>,
) -> anyhow::Result<R> {
    serde_json::from_slice(answer.body())
        .map_err(|e| anyhow!("{peer}{path}: status {}: {e}", answer.status()))
}
