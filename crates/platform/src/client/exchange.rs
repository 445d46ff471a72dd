//! Calls, and what is known of their effect when they fail.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{AUTHORIZATION, CONTENT_TYPE, HOST};
use http::{HeaderValue, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use smol_str::{SmolStr, format_smolstr};
use tokio::time::timeout;
use wire::Traffic;

use super::pool::{Connection, Pool};
use super::settings::HttpSettings;
use crate::PlatformError;
use crate::protocol::{BEARER, RefusalBody};

/// How often a call is tried, on connections of its own each time.
const MAX_TRIES: u32 = 2;
const JSON: HeaderValue = HeaderValue::from_static("application/json");

/// What a call does, which says what a failure leaves open.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// It has no effect, and may be repeated.
    Read,
    /// Its effect is the same however often it arrives.
    IdempotentWrite,
    /// It must not arrive twice.
    Write,
}

/// One call.
#[derive(Debug, Clone)]
pub struct Call {
    /// What is being done, for errors.
    pub step: &'static str,
    /// What a failure leaves open.
    pub kind: Kind,
    /// Method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Body, in JSON unless it is an object.
    pub body: Bytes,
}

impl Call {
    /// Builds a call that only reads.
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
    /// The whole body.
    pub body: Bytes,
}

/// Why one try of a call gave no answer.
#[derive(Debug)]
enum Lost {
    /// Not a byte of the request left.
    Unsent(SmolStr),
    /// Some of the request may have left.
    Sent(SmolStr),
}

/// Makes calls over kept connections.
#[derive(Debug)]
pub struct Exchange {
    settings: HttpSettings,
    pool: Pool,
    peer: SmolStr,
    host: HeaderValue,
    authorization: Option<HeaderValue>,
}

impl Exchange {
    /// Builds an exchange; it opens connections only when they are needed.
    ///
    /// # Panics
    ///
    /// Panics if the token is no header value, which [`Token`](super::Token) rules out.
    #[must_use]
    pub fn new(settings: HttpSettings, traffic: Arc<Traffic>) -> Self {
        let peer = format_smolstr!("{}", settings.address);
        Self {
            pool: Pool::new(settings.address, settings.kept, traffic),
            host: HeaderValue::from_str(&peer).expect("an address is a header value"),
            authorization: authorization(&settings),
            peer,
            settings,
        }
    }

    /// Makes a call; an answer is one that says that the call was carried out, or `404`.
    ///
    /// # Errors
    ///
    /// Fails if no such answer came in time.
    pub async fn call(&self, call: &Call) -> Result<Answer, PlatformError> {
        let answer = self.send(call, self.settings.timeout).await?;
        self.judge(call, answer)
    }

    /// Makes a call that may take `limit`, and returns the answer whatever its status.
    ///
    /// # Errors
    ///
    /// Fails if no whole answer came in time.
    pub async fn send(&self, call: &Call, limit: Duration) -> Result<Answer, PlatformError> {
        let mut sent = false;
        let tries = self.tries(call, &mut sent);
        match timeout(limit, tries).await {
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(cause)) => Err(self.no_answer(call, sent, cause)),
            Err(_) => Err(self.no_answer(call, sent, SmolStr::new_static("timeout"))),
        }
    }

    /// Builds the error for a call that the platform surely did not carry out.
    #[must_use]
    pub fn turned_away(&self, step: &'static str, cause: impl Into<SmolStr>) -> PlatformError {
        PlatformError::Unreachable {
            step,
            peer: self.peer.clone(),
            cause: cause.into(),
        }
    }

    /// Builds the error for a call that the platform does not allow.
    #[must_use]
    pub fn forbidden(&self, step: &'static str, cause: impl Into<SmolStr>) -> PlatformError {
        PlatformError::Forbidden {
            step,
            peer: self.peer.clone(),
            cause: cause.into(),
        }
    }

    /// Builds the error for an answer that makes no sense.
    pub fn bad_answer(&self, step: &'static str, cause: impl Into<SmolStr>) -> PlatformError {
        PlatformError::BadAnswer {
            step,
            peer: self.peer.clone(),
            cause: cause.into(),
        }
    }

    /// Tries a call until there is an answer or it must not be tried again.
    ///
    /// `sent` is true from before the first byte of any try may leave; it stays
    /// true unless that try surely sent nothing.
    async fn tries(&self, call: &Call, sent: &mut bool) -> Result<Answer, SmolStr> {
        let mut tried = 0;
        loop {
            tried += 1;
            let kept = (tried == 1).then(|| self.pool.take(self.idle(call.kind)));
            let connection = match kept.flatten() {
                Some(connection) => connection,
                None => self.open().await?,
            };
            let sent_before = *sent;
            let cause = match self.once(call, connection, sent).await {
                Ok(answer) => return Ok(answer),
                Err(Lost::Unsent(cause)) => {
                    *sent = sent_before;
                    cause
                }
                Err(Lost::Sent(cause)) if call.kind == Kind::Write => return Err(cause),
                Err(Lost::Sent(cause)) => cause,
            };
            if tried == MAX_TRIES {
                return Err(cause);
            }
        }
    }

    async fn open(&self) -> Result<Connection, SmolStr> {
        let opened = self.pool.open().await;
        opened.map_err(|e| format_smolstr!("connect: {e}"))
    }

    async fn once(
        &self,
        call: &Call,
        mut connection: Connection,
        sent: &mut bool,
    ) -> Result<Answer, Lost> {
        let ready = connection.sender.ready().await;
        ready.map_err(|e| Lost::Unsent(format_smolstr!("{e}")))?;
        *sent = true;
        let answer = connection.sender.try_send_request(self.request(call)).await;
        let answer = answer.map_err(|mut e| {
            let cause = format_smolstr!("{}", e.error());
            // hyper gives a request back if it wrote nothing of it.
            match e.take_message() {
                Some(_) => Lost::Unsent(cause),
                None => Lost::Sent(cause),
            }
        })?;
        let status = answer.status();
        let body = Limited::new(answer.into_body(), self.settings.answer_bytes);
        let body = body.collect().await;
        let body = body.map_err(|e| Lost::Sent(format_smolstr!("{e}")))?;
        self.pool.keep(connection, self.settings.read_idle);
        Ok(Answer {
            status,
            body: body.to_bytes(),
        })
    }

    fn request(&self, call: &Call) -> Request<Full<Bytes>> {
        let mut req = Request::new(Full::new(call.body.clone()));
        *req.method_mut() = call.method.clone();
        *req.uri_mut() = call
            .path
            .parse()
            .expect("paths are built from escaped parts");
        let headers = req.headers_mut();
        headers.insert(HOST, self.host.clone());
        headers.insert(CONTENT_TYPE, JSON);
        if let Some(authorization) = &self.authorization {
            headers.insert(AUTHORIZATION, authorization.clone());
        }
        req
    }

    const fn idle(&self, kind: Kind) -> Duration {
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

    fn judge(&self, call: &Call, answer: Answer) -> Result<Answer, PlatformError> {
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
        .expect("a token has visible characters only");
    value.set_sensitive(true);
    Some(value)
}
