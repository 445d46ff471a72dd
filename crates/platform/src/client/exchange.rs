//! Calls, and whether they may have had an effect when they fail.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{AUTHORIZATION, CONTENT_TYPE, HOST};
use http::{HeaderMap, HeaderValue, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use smol_str::{SmolStr, format_smolstr};
use tokio::time::timeout;
use wire::Traffic;

use super::pool::{Connection, Pool};
use super::settings::HttpSettings;
use crate::PlatformError;
use crate::protocol::{BEARER, RefusalBody};

/// Maximum number of attempts at a call, each on a different connection.
const MAX_ATTEMPTS: u32 = 2;
const JSON: HeaderValue = HeaderValue::from_static("application/json");

/// What a call does, which determines what may have happened when it fails.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// It has no effect and may be retried.
    Read,
    /// It has the same effect however often it arrives.
    IdempotentWrite,
    /// It must not arrive twice.
    Write,
}

/// One call.
#[derive(Debug, Clone)]
pub struct Call {
    /// Description of the operation, for errors.
    pub step: &'static str,
    /// What the call does, which determines the error on failure.
    pub kind: Kind,
    /// Method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Body, which is JSON unless it is an object.
    pub body: Bytes,
}

impl Call {
    /// Creates a call that only reads.
    #[must_use]
    pub const fn read(step: &'static str, path: String) -> Self {
        Self {
            step,
            kind: Kind::Read,
            method: Method::GET,
            path,
            body: Bytes::new(),
        }
    }
}

/// A whole answer.
#[derive(Debug)]
pub struct Answer {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

/// Why an attempt at a call failed.
#[derive(Debug)]
enum AttemptError {
    /// No byte of the request was sent.
    Unsent(SmolStr),
    /// Some of the request may have been sent.
    Sent(SmolStr),
}

/// Makes calls over pooled connections.
#[derive(Debug)]
pub struct Exchange {
    settings: HttpSettings,
    pool: Pool,
    peer: SmolStr,
    host: HeaderValue,
    authorization: Option<HeaderValue>,
}

impl Exchange {
    /// Creates an exchange; it opens connections only when they are needed.
    ///
    /// # Panics
    ///
    /// Panics if the token is not a valid header value, which [`Token`](super::Token) rules out.
    #[must_use]
    pub fn new(settings: HttpSettings, traffic: Arc<Traffic>) -> Self {
        let peer = format_smolstr!("{}", settings.address);
        Self {
            pool: Pool::new(settings.address, settings.kept, traffic),
            host: HeaderValue::from_str(&peer).expect("an address is a valid header value"),
            authorization: authorization(&settings),
            peer,
            settings,
        }
    }

    /// Makes a call and returns the answer if its status is successful or `404`.
    ///
    /// # Errors
    ///
    /// Fails if no such answer came in time.
    pub async fn call(&self, call: &Call) -> Result<Answer, PlatformError> {
        let answer = self.send(call, self.settings.timeout).await?;
        self.check_status(call, answer)
    }

    /// Makes a call with `limit` as its timeout, and returns the answer whatever its status.
    ///
    /// # Errors
    ///
    /// Fails if no whole answer came in time.
    pub async fn send(&self, call: &Call, limit: Duration) -> Result<Answer, PlatformError> {
        let mut sent = false;
        let attempts = self.call_with_retries(call, &mut sent);
        match timeout(limit, attempts).await {
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(cause)) => Err(self.no_answer(call, sent, cause)),
            Err(_) => Err(self.no_answer(call, sent, SmolStr::new_static("timeout"))),
        }
    }

    /// Creates the error for a call that certainly had no effect.
    #[must_use]
    pub fn unreachable(&self, step: &'static str, cause: impl Into<SmolStr>) -> PlatformError {
        PlatformError::Unreachable {
            step,
            peer: self.peer.clone(),
            cause: cause.into(),
        }
    }

    /// Creates the error for a call that may have had an effect.
    #[must_use]
    pub fn unconfirmed(&self, step: &'static str, cause: impl Into<SmolStr>) -> PlatformError {
        PlatformError::Unconfirmed {
            step,
            peer: self.peer.clone(),
            cause: cause.into(),
        }
    }

    /// Creates the error for a call that the platform does not allow.
    #[must_use]
    pub fn forbidden(&self, step: &'static str, cause: impl Into<SmolStr>) -> PlatformError {
        PlatformError::Forbidden {
            step,
            peer: self.peer.clone(),
            cause: cause.into(),
        }
    }

    /// Creates the error for an invalid answer.
    pub fn bad_answer(&self, step: &'static str, cause: impl Into<SmolStr>) -> PlatformError {
        PlatformError::BadAnswer {
            step,
            peer: self.peer.clone(),
            cause: cause.into(),
        }
    }

    /// Makes attempts at a call until one is answered or the call must not be retried.
    ///
    /// `sent` is set before an attempt may send its first byte, and is reset only if that
    /// attempt certainly sent nothing and no earlier one may have.
    async fn call_with_retries(&self, call: &Call, sent: &mut bool) -> Result<Answer, SmolStr> {
        let mut attempts = 0;
        loop {
            attempts += 1;
            let kept = (attempts == 1).then(|| self.pool.take(self.max_idle(call.kind)));
            let connection = match kept.flatten() {
                Some(connection) => connection,
                None => self.open().await?,
            };
            let sent_before = *sent;
            let cause = match self.attempt(call, connection, sent).await {
                Ok(answer) => return Ok(answer),
                Err(AttemptError::Unsent(cause)) => {
                    *sent = sent_before;
                    cause
                }
                Err(AttemptError::Sent(cause)) if call.kind == Kind::Write => return Err(cause),
                Err(AttemptError::Sent(cause)) => cause,
            };
            if attempts == MAX_ATTEMPTS {
                return Err(cause);
            }
        }
    }

    async fn open(&self) -> Result<Connection, SmolStr> {
        let opened = self.pool.open().await;
        opened.map_err(|e| format_smolstr!("connect: {e}"))
    }

    async fn attempt(
        &self,
        call: &Call,
        mut connection: Connection,
        sent: &mut bool,
    ) -> Result<Answer, AttemptError> {
        let ready = connection.sender.ready().await;
        ready.map_err(|e| AttemptError::Unsent(format_smolstr!("{e}")))?;
        *sent = true;
        let answer = connection.sender.try_send_request(self.request(call)).await;
        let answer = answer.map_err(|mut e| {
            let cause = format_smolstr!("{}", e.error());
            // hyper returns the request if it wrote none of it.
            match e.take_message() {
                Some(_) => AttemptError::Unsent(cause),
                None => AttemptError::Sent(cause),
            }
        })?;
        let (parts, body) = answer.into_parts();
        let body = Limited::new(body, self.settings.answer_bytes);
        let body = body.collect().await;
        let body = body.map_err(|e| AttemptError::Sent(format_smolstr!("{e}")))?;
        self.pool.keep(connection, self.settings.read_idle);
        Ok(Answer {
            status: parts.status,
            headers: parts.headers,
            body: body.to_bytes(),
        })
    }

    fn request(&self, call: &Call) -> Request<Full<Bytes>> {
        let mut req = Request::new(Full::new(call.body.clone()));
        *req.method_mut() = call.method.clone();
        *req.uri_mut() = call
            .path
            .parse()
            .expect("paths are built from escaped segments");
        let headers = req.headers_mut();
        headers.insert(HOST, self.host.clone());
        headers.insert(CONTENT_TYPE, JSON);
        if let Some(authorization) = &self.authorization {
            headers.insert(AUTHORIZATION, authorization.clone());
        }
        req
    }

    const fn max_idle(&self, kind: Kind) -> Duration {
        match kind {
            Kind::Read | Kind::IdempotentWrite => self.settings.read_idle,
            Kind::Write => self.settings.write_idle,
        }
    }

    fn no_answer(&self, call: &Call, sent: bool, cause: SmolStr) -> PlatformError {
        let step = call.step;
        let peer = self.peer.clone();
        if sent && call.kind != Kind::Read {
            return PlatformError::Unconfirmed { step, peer, cause };
        }
        PlatformError::Unreachable { step, peer, cause }
    }

    fn check_status(&self, call: &Call, answer: Answer) -> Result<Answer, PlatformError> {
        let status = answer.status;
        if status.is_success() || status == StatusCode::NOT_FOUND {
            return Ok(answer);
        }
        let refusal = serde_json::from_slice::<RefusalBody>(&answer.body).unwrap_or_default();
        let cause = format_smolstr!("{status}: {}", refusal.error);
        if status == StatusCode::TOO_MANY_REQUESTS {
            return Err(self.no_answer(call, false, SmolStr::new_static("throttled")));
        }
        if status.is_client_error() {
            return Err(self.forbidden(call.step, cause));
        }
        Err(self.no_answer(call, true, cause))
    }
}

fn authorization(settings: &HttpSettings) -> Option<HeaderValue> {
    let secret = settings.token.secret();
    if secret.is_empty() {
        return None;
    }
    let mut value = HeaderValue::from_str(&format!("{BEARER}{secret}"))
        .expect("a token contains only visible characters");
    value.set_sensitive(true);
    Some(value)
}
