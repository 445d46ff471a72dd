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

/// HTTP version of a connection.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Protocol {
    /// HTTP/1.1: one request at a time on a connection.
    #[default]
    Http1,
    /// HTTP/2 without negotiation.
    Http2,
}

/// Failure to get a complete response.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum SendError {
    /// No connection could be opened; nothing was sent.
    #[error("connect to {peer}: {cause}")]
    Connect {
        /// Address of the server.
        peer: SocketAddr,
        /// Error of the transport.
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
        /// Error of the transport.
        cause: SmolStr,
    },
    /// The response ended early.
    #[error("response of {peer}: {cause}")]
    Truncated {
        /// Address of the server.
        peer: SocketAddr,
        /// Error of the transport.
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
        let connect_error = |cause: &dyn fmt::Display| SendError::Connect {
            peer,
            cause: format_smolstr!("{cause}"),
        };
        let socket = TcpStream::connect(peer)
            .await
            .map_err(|e| connect_error(&e))?;
        socket.set_nodelay(true).map_err(|e| connect_error(&e))?;
        let io = TokioIo::new(socket);
        let sender = match protocol {
            Protocol::Http1 => {
                let (sender, driver) = http1::handshake(io).await.map_err(|e| connect_error(&e))?;
                // The sender reports a broken connection itself.
                tokio::spawn(async move { driver.await.is_ok() });
                Sender::Http1(sender)
            }
            Protocol::Http2 => {
                let builder = http2::Builder::new(TokioExecutor::new())
                    .timer(TokioTimer::new())
                    .clone();
                let (sender, driver) =
                    builder.handshake(io).await.map_err(|e| connect_error(&e))?;
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

    /// Returns another handle to the same connection, or `None` over HTTP/1.1.
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

    /// Returns whether the connection is closed.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        match &self.sender {
            Sender::Http1(sender) => sender.is_closed(),
            Sender::Http2(sender) => sender.is_closed(),
        }
    }

    /// Sends `req` and reads the complete response.
    ///
    /// Dropping the future closes an HTTP/1.1 connection and resets an HTTP/2 stream.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks before the end of the response.
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
        let response = sent.map_err(|mut e| match e.take_message() {
            // A request that hyper returns has not been sent.
            Some(_) => SendError::Closed { peer },
            None => SendError::Broken {
                peer,
                cause: format_smolstr!("{}", e.error()),
            },
        })?;
        let (parts, body) = response.into_parts();
        let body = body.collect().await.map_err(|e| SendError::Truncated {
            peer,
            cause: format_smolstr!("{e}"),
        })?;
        Ok(Response::from_parts(parts, body.to_bytes()))
    }
}

/// Sends one JSON request to `peer` on a new connection.
///
/// # Errors
///
/// Fails if no complete response arrives.
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

/// Posts JSON to `peer` and parses the response, regardless of its status.
///
/// # Errors
///
/// Fails if no complete response arrives or its body is not a valid `R`.
pub async fn post<T: Serialize, R: DeserializeOwned>(
    peer: SocketAddr,
    path: &str,
    body: &T,
) -> anyhow::Result<R> {
    let response = call(peer, Method::POST, path, Some(body)).await?;
    parse(peer, path, &response)
}

/// Gets JSON from `peer` and parses the response, regardless of its status.
///
/// # Errors
///
/// Fails if no complete response arrives or its body is not a valid `R`.
pub async fn get<R: DeserializeOwned>(peer: SocketAddr, path: &str) -> anyhow::Result<R> {
    let response = call(peer, Method::GET, path, None::<&()>).await?;
    parse(peer, path, &response)
}

fn parse<R: DeserializeOwned>(
    peer: SocketAddr,
    path: &str,
    response: &Response<Bytes>,
) -> anyhow::Result<R> {
    serde_json::from_slice(response.body())
        .map_err(|e| anyhow!("{peer}{path}: status {}: {e}", response.status()))
}
