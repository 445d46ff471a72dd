//! Grants and health reports over connections of their own.
//!
//! They share no connection with requests, so that neither waits for the other.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, StatusCode, header};
use http_body_util::Full;
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;
use wire::Traffic;
use wire::grant::{GRANT_PATH, GrantReply, GrantRequest, HEALTH_PATH, HealthReport};

use crate::upstream::{ExchangeError, UpstreamConn};

/// Settings of a [`GrantClient`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GrantSettings {
    /// Longest time for a connection to open.
    pub connect_timeout: Duration,
    /// Longest time for a whole exchange, opening included.
    pub timeout: Duration,
    /// Largest reply, in bytes.
    pub reply_bytes: usize,
}

impl Default for GrantSettings {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_millis(250),
            timeout: Duration::from_millis(500),
            reply_bytes: 8 << 20,
        }
    }
}

/// A grant or a question that brought no reply.
#[derive(Debug, Error)]
pub enum ControlCallError {
    /// The exchange failed; see [`ControlCallError::had_no_effect`].
    #[error("{step}: {cause}")]
    Exchange {
        /// What was being done.
        step: &'static str,
        /// What went wrong.
        cause: ExchangeError,
    },
    /// The reply did not come in time.
    #[error("{step} at {peer}: no reply within {}ms", limit.as_millis())]
    Timeout {
        /// What was being done.
        step: &'static str,
        /// The upstream's address.
        peer: SocketAddr,
        /// The time it had.
        limit: Duration,
    },
    /// The upstream replied with another status.
    #[error("{step} at {peer}: status {status}")]
    Status {
        /// What was being done.
        step: &'static str,
        /// The upstream's address.
        peer: SocketAddr,
        /// The status.
        status: StatusCode,
    },
    /// The reply made no sense.
    #[error("{step} at {peer}: bad reply: {cause}")]
    BadReply {
        /// What was being done.
        step: &'static str,
        /// The upstream's address.
        peer: SocketAddr,
        /// What was wrong with it.
        cause: serde_json::Error,
    },
}

impl ControlCallError {
    /// Tells whether the upstream surely never saw the message.
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

    /// Tells whether the upstream's address refused the connection: no process listens there.
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

/// Gives grants to one upstream and asks for its health.
#[derive(Debug)]
pub struct GrantClient {
    settings: GrantSettings,
    peer: SocketAddr,
    host: String,
    kept: Option<UpstreamConn>,
    traffic: Option<Arc<Traffic>>,
}

impl GrantClient {
    /// Creates a client of the upstream at `peer`; it opens no connection yet.
    #[must_use]
    pub fn new(settings: GrantSettings, peer: SocketAddr) -> Self {
        Self {
            settings,
            peer,
            host: peer.to_string(),
            kept: None,
            traffic: None,
        }
    }

    /// Adds the bytes of all connections to `traffic`.
    #[must_use]
    pub fn counted(self, traffic: Arc<Traffic>) -> Self {
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

    /// Sends a grant, and returns the reply whether it was accepted or not.
    ///
    /// # Errors
    ///
    /// Fails if no reply came in time or it made no sense.
    pub async fn grant(&mut self, grant: &GrantRequest) -> Result<GrantReply, ControlCallError> {
        let request = self.request(Method::POST, GRANT_PATH, &Json(Some(grant)));
        self.call("grant", request).await
    }

    /// Asks for the present grant.
    ///
    /// # Errors
    ///
    /// Fails if no reply came in time or it made no sense.
    pub async fn state(&mut self) -> Result<GrantReply, ControlCallError> {
        let request = self.request(Method::GET, GRANT_PATH, &NO_BODY);
        self.call("read grant", request).await
    }

    /// Asks for the upstream's health.
    ///
    /// # Errors
    ///
    /// Fails if no reply came in time or it made no sense.
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
        if !is_reply(status) {
            return Err(ControlCallError::Status { step, peer, status });
        }
        serde_json::from_slice(&body).map_err(|cause| ControlCallError::BadReply {
            step,
            peer,
            cause,
        })
    }

    async fn exchange(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<(StatusCode, Bytes), ExchangeError> {
        let limit = self.settings.reply_bytes;
        let conn = self.connect().await?;
        let done = match conn.exchange(request, limit).await {
            Err(ExchangeError::Unsent {
                request: Some(request),
                ..
            }) => self.open().await?.exchange(*request, limit).await?,
            other => other?,
        };
        self.kept = done.conn;
        Ok((done.head.status, done.body))
    }

    async fn connect(&mut self) -> Result<UpstreamConn, ExchangeError> {
        if let Some(mut conn) = self.kept.take()
            && conn.is_usable_now().await
        {
            return Ok(conn);
        }
        self.open().await
    }

    async fn open(&self) -> Result<UpstreamConn, ExchangeError> {
        let settings = &self.settings;
        UpstreamConn::open_counted(
            self.peer,
            settings.connect_timeout,
            settings.reply_bytes,
            self.traffic.clone(),
        )
        .await
    }
}

/// A JSON body, or none.
struct Json<'a, T>(Option<&'a T>);

const NO_BODY: Json<'static, ()> = Json(None);

impl<T: Serialize> Json<'_, T> {
    fn to_bytes(&self) -> Bytes {
        let Some(value) = self.0 else {
            return Bytes::new();
        };
        let text = serde_json::to_vec(value).expect("messages serialize");
        Bytes::from(text)
    }
}

/// Tells whether the body is a reply: an upstream may say by its status that it refused.
fn is_reply(status: StatusCode) -> bool {
    status.is_success() || status == StatusCode::CONFLICT
}
