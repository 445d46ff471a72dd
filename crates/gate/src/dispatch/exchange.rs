//! One call's exchange with its upstream.

use std::cell::Cell;
use std::future::poll_fn;
use std::rc::Rc;
use std::sync::Arc;
use std::task::Poll;

use http::{HeaderMap, HeaderValue, Request, Uri, header};
use http_body_util::Full;
use ids::{Epoch, Outcome, Reason, SliceNo, Timestamp};

use crate::call::{Answer, Call};
use crate::context::GateContext;
use crate::counters::Count;
use crate::dispatch::LoadSample;
use crate::dispatch::pool::PooledUpstream;
use crate::headers::{self, strip_answer};
use crate::settings::{DispatchSettings, millis};
use crate::upstream::conn::AnswerHead;
use crate::upstream::{Exchange, ExchangeError, UpstreamConn};

/// Where an exchange stands; read when it is given up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Progress {
    /// Not a byte was written.
    Unsent,
    /// Bytes may have been written.
    Sent,
}

/// One call on its way to an upstream.
pub(crate) struct Sending {
    pub(crate) cx: Arc<GateContext>,
    pub(crate) settings: Rc<DispatchSettings>,
    pub(crate) upstream: Rc<PooledUpstream>,
    pub(crate) call: Call,
    pub(crate) epoch: Epoch,
    pub(crate) slice: Option<SliceNo>,
    pub(crate) progress: Rc<Cell<Progress>>,
    /// When the call was written.
    pub(crate) sent_at: Cell<Timestamp>,
}

/// How an exchange ended; its connection is idle or closed by then.
#[derive(Debug)]
pub(crate) struct Ending {
    pub(crate) result: Result<Answer, Reason>,
    /// What it cost, from the sending to the end.
    pub(crate) sample: LoadSample,
}

impl Sending {
    /// Sends the call once and reads the answer.
    pub(crate) async fn run(self) -> Ending {
        self.sent_at.set(self.cx.now());
        let result = self.exchange().await;
        let work = self.cx.now().since(self.sent_at.get());
        let sample = LoadSample {
            entry: self.call.entry,
            upstream: self.call.upstream,
            slice: self.slice,
            key: self.call.key,
            work,
        };
        Ending { result, sample }
    }

    async fn exchange(&self) -> Result<Answer, Reason> {
        let mut request = self.request()?;
        loop {
            let conn = self.connect().await?;
            // Nothing is awaited from here to the write.
            self.check_time()?;
            self.progress.set(Progress::Sent);
            self.cx.metrics.count(Count::Sent);
            match conn.exchange(request, self.answer_bytes()).await {
                Ok(exchange) => return self.accept(exchange),
                Err(ExchangeError::Unsent { request: again, .. }) => {
                    self.progress.set(Progress::Unsent);
                    self.cx.metrics.count(Count::UpstreamStale);
                    request = *again.ok_or(Reason::ConnectFailed)?;
                }
                Err(e) => return Err(self.classify(&e)),
            }
        }
    }

    /// Takes an idle connection, or opens one.
    async fn connect(&self) -> Result<UpstreamConn, Reason> {
        let stale = || self.cx.metrics.count(Count::UpstreamStale);
        if let Some(conn) = poll_fn(|cx| Poll::Ready(self.upstream.take(cx, stale))).await {
            return Ok(conn);
        }
        let settings = &self.settings.upstream;
        let left = self.call.deadline.since(self.cx.now());
        let timeout = millis(settings.connect_timeout_ms).min(left);
        let address = self.upstream.target.address;
        let conn = UpstreamConn::open(address, timeout, settings.header_bytes as usize)
            .await
            .map_err(|e| {
                slog::debug!(self.cx.log, "upstream connection failed"; "error" => %e);
                Reason::ConnectFailed
            })?;
        self.cx.metrics.count(Count::UpstreamConnected);
        Ok(conn)
    }

    /// Checks lease and deadline just before the write.
    fn check_time(&self) -> Result<(), Reason> {
        let now = self.cx.now();
        self.sent_at.set(now);
        let margin = millis(self.settings.lease_margin_ms);
        if !self.upstream.lease.get().allows(self.epoch, now, margin) {
            return Err(Reason::NoLease);
        }
        if self.call.deadline <= now {
            return Err(Reason::DeadlineExpired);
        }
        Ok(())
    }

    fn request(&self) -> Result<Request<Full<bytes::Bytes>>, Reason> {
        let parts = &self.call.parts;
        let mut request = Request::new(Full::new(parts.body.clone()));
        *request.method_mut() = parts.method.clone();
        *request.uri_mut() = Uri::from(parts.path.clone());
        *request.headers_mut() = parts.headers.clone();
        self.add_headers(request.headers_mut())?;
        Ok(request)
    }

    fn add_headers(&self, headers: &mut HeaderMap) -> Result<(), Reason> {
        headers.insert(header::HOST, text(&self.upstream.authority)?);
        headers.insert(&headers::REQUEST_ID, text(self.call.request_id.as_str())?);
        headers.insert(&headers::ENTRY, text(self.call.entry.as_str())?);
        headers.insert(&headers::EPOCH, self.epoch.0.into());
        headers.insert(&headers::DEADLINE_MS, self.millis_left().into());
        if let Some(slice) = self.slice {
            headers.insert(&headers::SLICE, slice.0.into());
        }
        Ok(())
    }

    fn millis_left(&self) -> u64 {
        let left = self.call.deadline.since(self.cx.now());
        left.as_millis().max(1) as u64
    }

    fn answer_bytes(&self) -> usize {
        self.upstream.target.answer_bytes as usize
    }

    /// Reads a whole exchange.
    fn accept(&self, exchange: Exchange) -> Result<Answer, Reason> {
        let Exchange { head, body, conn } = exchange;
        self.check_echo(&head)?;
        // A connection that carried another request's answer was dropped above.
        match conn {
            Some(conn) => self.upstream.give(conn, self.cx.now()),
            None => self.cx.metrics.count(Count::UpstreamDiscarded),
        }
        if let Some(reason) = not_run(&head) {
            return Err(reason);
        }
        let keep_length = is_bodiless(&self.call.parts.method, head.status);
        let mut headers = head.headers;
        strip_answer(&mut headers, keep_length);
        Ok(Answer {
            status: head.status,
            headers,
            body,
        })
    }

    /// Checks that the answer belongs to this request, as far as it says.
    fn check_echo(&self, head: &AnswerHead) -> Result<(), Reason> {
        let echo = head.headers.get(&headers::REQUEST_ID);
        let belongs = match echo {
            Some(id) => id.as_bytes() == self.call.request_id.as_str().as_bytes(),
            None => !self.upstream.target.verify_echo,
        };
        if belongs {
            return Ok(());
        }
        slog::warn!(self.cx.log, "answer names another request";
            "upstream" => %self.call.upstream, "request_id" => %self.call.request_id);
        Err(Reason::AnswerMismatch)
    }

    /// Finds the reason behind an exchange that brought no whole answer.
    fn classify(&self, e: &ExchangeError) -> Reason {
        slog::debug!(self.cx.log, "exchange failed";
            "upstream" => %self.call.upstream, "request_id" => %self.call.request_id, "error" => %e);
        self.cx.metrics.count(Count::UpstreamDiscarded);
        match e {
            ExchangeError::Connect { .. } | ExchangeError::Unsent { .. } => Reason::ConnectFailed,
            ExchangeError::Reset { .. } => Reason::UpstreamReset,
            ExchangeError::Cut { head, .. } => self.classify_head(head, Reason::AnswerCut),
            ExchangeError::TooLarge { head, .. } => {
                self.classify_head(head, Reason::AnswerTooLarge)
            }
        }
    }

    /// An upstream that said it did not run the request has said so, whatever became of the body.
    fn classify_head(&self, head: &AnswerHead, otherwise: Reason) -> Reason {
        if self.check_echo(head).is_err() {
            return Reason::AnswerMismatch;
        }
        not_run(head).unwrap_or(otherwise)
    }
}

/// Returns the reason for a call whose exchange was given up.
pub(crate) fn given_up(progress: Progress, deadline: Timestamp, now: Timestamp) -> Reason {
    match progress {
        Progress::Unsent => Reason::DeadlineExpired,
        Progress::Sent if now < deadline => Reason::CallerGone,
        Progress::Sent => Reason::AnswerTimeout,
    }
}

/// Returns the upstream's reason, if it says that it did not run the request.
fn not_run(head: &AnswerHead) -> Option<Reason> {
    let outcome = head.headers.get(&headers::OUTCOME)?;
    if outcome.as_bytes() != Outcome::NotRun.as_str().as_bytes() {
        return None;
    }
    let reason = head.headers.get(&headers::REASON);
    let refused = Reason::GrantRefused.as_str().as_bytes();
    if reason.is_some_and(|r| r.as_bytes() == refused) {
        return Some(Reason::GrantRefused);
    }
    Some(Reason::UpstreamShed)
}

fn is_bodiless(method: &http::Method, status: http::StatusCode) -> bool {
    method == http::Method::HEAD || status == http::StatusCode::NOT_MODIFIED
}

fn text(value: &str) -> Result<HeaderValue, Reason> {
    HeaderValue::from_str(value).map_err(|_invalid| Reason::BadRequest)
}
