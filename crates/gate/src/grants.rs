//! Grants and health reports over separate connections.
//!
//! They share no connection with requests, so that neither has to wait for the other.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Method, Request, StatusCode, header};
use http_body_util::Full;
use ids::{BootClock, Clock};
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;
use wire::Traffic;
use wire::grant::{GRANT_PATH, GrantReply, GrantRequest, HEALTH_PATH, HealthReport};

use crate::headers::REQUEST_ID;
use crate::upstream::{ConnSettings, ExchangeError, Sending, Unidentified, UpstreamConn};

/// Settings of a [`GrantClient`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GrantSettings {
    /// Timeout for opening a connection.
    pub connect_timeout: Duration,
    /// Timeout for a whole exchange, including opening the connection.
    pub timeout: Duration,
    /// Largest accepted reply, in bytes.
    pub reply_bytes: usize,
    /// Local address of connections; chosen by the system if there is none.
    pub source: Option<IpAddr>,
}

impl Default for GrantSettings {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_millis(250),
            timeout: Duration::from_millis(500),
            reply_bytes: 8 << 20,
            source: None,
        }
    }
}

/// A call to an upstream that got no valid reply.
#[derive(Debug, Error)]
pub enum ControlCallError {
    /// The exchange failed; see [`ControlCallError::had_no_effect`].
    #[error("{step}: {cause}")]
    Exchange {
        /// Operation that failed.
        step: &'static str,
        /// Cause of the failure.
        cause: ExchangeError,
    },
    /// No reply arrived before the timeout.
    #[error("{step} at {peer}: no reply within {}ms", limit.as_millis())]
    Timeout {
        /// Operation that failed.
        step: &'static str,
        /// The upstream's address.
        peer: SocketAddr,
        /// The timeout.
        limit: Duration,
    },
    /// The upstream replied with an unexpected status.
    #[error("{step} at {peer}: status {status}")]
    Status {
        /// Operation that failed.
        step: &'static str,
        /// The upstream's address.
        peer: SocketAddr,
        /// The status.
        status: StatusCode,
    },
    /// The reply could not be parsed.
    #[error("{step} at {peer}: bad reply: {cause}")]
    BadReply {
        /// Operation that failed.
        step: &'static str,
        /// The upstream's address.
        peer: SocketAddr,
        /// Parse error.
        cause: serde_json::Error,
    },
}

impl ControlCallError {
    /// Returns whether the upstream certainly did not receive the message.
    #[must_use]
    pub const fn had_no_effect(&self) -> bool {
        matches!(
            self,
            Self::Exchange {
                cause: ExchangeError::Connect { .. } | ExchangeError::Unsent { .. },
                ..
            }
        )
    }

    /// Returns whether the connection was refused: no process listens at the upstream's address.
    #[must_use]
    pub fn was_refused(&self) -> bool {
        matches!(
            self,
            Self::Exchange {
                cause: ExchangeError::Connect { cause, .. },
                ..
            } if cause.kind() == std::io::ErrorKind::ConnectionRefused
        )
    }
}

/// Sends grants and health queries to one upstream.
#[derive(Debug)]
pub struct GrantClient {
    settings: GrantSettings,
    peer: SocketAddr,
    host: String,
    idle_conn: Option<UpstreamConn>,
    /// Number of calls so far, which identifies the latest of them.
    calls: u64,
    traffic: Option<Arc<Traffic>>,
}

impl GrantClient {
    /// Creates a client of the upstream at `peer`, without opening a connection.
    #[must_use]
    pub fn new(settings: GrantSettings, peer: SocketAddr) -> Self {
        Self {
            settings,
            peer,
            host: peer.to_string(),
            idle_conn: None,
            calls: 0,
            traffic: None,
        }
    }

    /// Counts the bytes of all connections in `traffic`.
    #[must_use]
    pub fn with_traffic(self, traffic: Arc<Traffic>) -> Self {
        Self {
            traffic: Some(traffic),
            ..self
        }
    }

    /// Returns the upstream's address.
    #[must_use]
    pub const fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// Sends a grant and returns the reply, whether or not the grant was accepted.
    ///
    /// # Errors
    ///
    /// Fails if no reply arrives in time, or if it can't be parsed.
    pub async fn grant(&mut self, grant: &GrantRequest) -> Result<GrantReply, ControlCallError> {
        let request = self.request(Method::POST, GRANT_PATH, &Json(Some(grant)));
        self.call("grant", request).await
    }

    /// Reads the current grant.
    ///
    /// # Errors
    ///
    /// Fails if no reply arrives in time, or if it can't be parsed.
    pub async fn state(&mut self) -> Result<GrantReply, ControlCallError> {
        let request = self.request(Method::GET, GRANT_PATH, &NO_BODY);
        self.call("read grant", request).await
    }

    /// Reads the upstream's health report.
    ///
    /// # Errors
    ///
    /// Fails if no reply arrives in time, or if it can't be parsed.
    pub async fn health(&mut self) -> Result<HealthReport, ControlCallError> {
        let request = self.request(Method::GET, HEALTH_PATH, &NO_BODY);
        self.call("read health", request).await
    }

    fn request<T: Serialize>(
        &self,
        method: Method,
        path: &'static str,
        body: &Json<'_, T>,
    ) -> Request<Full<Bytes>> {
        Request::builder()
            .method(method)
            .uri(path)
            .header(header::HOST, &self.host)
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(body.to_bytes()))
            .expect("method, path and address make a valid request")
    }

    async fn call<T: DeserializeOwned>(
        &mut self,
        step: &'static str,
        request: Request<Full<Bytes>>,
    ) -> Result<T, ControlCallError> {
        let peer = self.peer;
        let limit = self.settings.timeout;
        let exchange = tokio::time::timeout(limit, self.exchange(request)).await;
        let (status, body) = exchange
            .map_err(|_elapsed| ControlCallError::Timeout { step, peer, limit })?
            .map_err(|cause| ControlCallError::Exchange { step, cause })?;
        if !has_reply(status) {
            return Err(ControlCallError::Status { step, peer, status });
        }
        serde_json::from_slice(&body).map_err(|cause| ControlCallError::BadReply {
            step,
            peer,
            cause,
        })
    }

    /// Sends a call under an id of its own, which upstreams repeat.
    ///
    /// After a reply without an id the connection is closed: a second reply to this call could not be
    /// distinguished from that to the next one.
    async fn exchange(
        &mut self,
        mut request: Request<Full<Bytes>>,
    ) -> Result<(StatusCode, Bytes), ExchangeError> {
        self.calls += 1;
        request
            .headers_mut()
            .insert(&REQUEST_ID, HeaderValue::from(self.calls));
        let id = self.calls.to_string();
        let unidentified = Unidentified::OnlyRequest;
        let sending = Sending::once(&id, &REQUEST_ID, BootClock.now(), unidentified);
        let limit = self.settings.reply_bytes;
        let conn = self.connect().await?;
        let exchange = match conn.exchange(&sending, request, limit).await {
            Err(ExchangeError::Unsent {
                request: Some(request),
                ..
            }) => {
                let conn = self.open().await?;
                conn.exchange(&sending, *request, limit).await?
            }
            other => other?,
        };
        let is_identified = exchange.head.headers.contains_key(&REQUEST_ID);
        self.idle_conn = exchange.conn.filter(|_| is_identified);
        Ok((exchange.head.status, exchange.body))
    }

    async fn connect(&mut self) -> Result<UpstreamConn, ExchangeError> {
        if let Some(mut conn) = self.idle_conn.take()
            && conn.is_usable_now().await
        {
            return Ok(conn);
        }
        self.open().await
    }

    async fn open(&self) -> Result<UpstreamConn, ExchangeError> {
        let settings = &self.settings;
        let cfg = ConnSettings {
            timeout: settings.connect_timeout,
            header_bytes: settings.reply_bytes,
            source: settings.source,
            traffic: self.traffic.clone(),
        };
        UpstreamConn::open_with(self.peer, cfg).await
    }
}

/// An optional JSON body.
struct Json<'a, T>(Option<&'a T>);

const NO_BODY: Json<'static, ()> = Json(None);

impl<T: Serialize> Json<'_, T> {
    fn to_bytes(&self) -> Bytes {
        let Some(value) = self.0 else {
            return Bytes::new();
        };
        let text = serde_json::to_vec(value).expect("messages can be serialized");
        Bytes::from(text)
    }
}

/// Returns whether a response with this status has a reply as its body. An upstream that refuses
/// a grant replies with a conflict.
fn has_reply(status: StatusCode) -> bool {
    status.is_success() || status == StatusCode::CONFLICT
}
