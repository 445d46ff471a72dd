//! The exchange of one call with its upstream.

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
use crate::upstream::{ConnSettings, Exchange, ExchangeError, Sending, Unidentified, UpstreamConn};

/// Progress of an exchange; read when it is aborted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Progress {
    /// No byte was written.
    Unsent,
    /// Bytes may have been written.
    Sent,
}

/// The exchange of one call with an upstream.
pub(crate) struct ExchangeTask {
    pub(crate) cx: Arc<GateContext>,
    pub(crate) settings: Rc<DispatchSettings>,
    pub(crate) upstream: Rc<PooledUpstream>,
    pub(crate) call: Call,
    pub(crate) epoch: Epoch,
    pub(crate) slice: Option<SliceNo>,
    /// Time from which the call must not be written any more.
    pub(crate) send_by: Timestamp,
    pub(crate) progress: Rc<Cell<Progress>>,
    /// When the call was written.
    pub(crate) sent_at: Cell<Timestamp>,
}

/// Result of an exchange whose connection is now idle or closed.
#[derive(Debug)]
pub(crate) struct ExchangeEnd {
    pub(crate) result: Result<Answer, Reason>,
    /// Cost of the exchange, from the write to the end.
    pub(crate) sample: LoadSample,
}

impl ExchangeTask {
    /// Sends the call once and reads the answer.
    pub(crate) async fn run(self) -> ExchangeEnd {
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
        ExchangeEnd { result, sample }
    }

    async fn exchange(&self) -> Result<Answer, Reason> {
        let mut request = self.request()?;
        loop {
            let conn = self.connect().await?;
            // There is no await from here to the write.
            self.check_lease_and_deadline()?;
            self.progress.set(Progress::Sent);
            self.cx.metrics.count(Count::Sent);
            let sending = self.sending();
            match conn.exchange(&sending, request, self.answer_bytes()).await {
                Ok(exchange) => return self.read_answer(exchange),
                Err(ExchangeError::Unsent {
                    request: unsent, ..
                }) => {
                    self.progress.set(Progress::Unsent);
                    self.cx.metrics.count(Count::UpstreamStale);
                    request = *unsent.ok_or(Reason::ConnectFailed)?;
                }
                Err(e) => return Err(self.classify(&e)),
            }
        }
    }

    /// Takes an idle connection, or opens one.
    async fn connect(&self) -> Result<UpstreamConn, Reason> {
        let stale = || self.cx.metrics.count(Count::UpstreamStale);
        let (now, id) = (self.cx.now(), self.call.request_id.as_str());
        let take = poll_fn(|cx| Poll::Ready(self.upstream.take(cx, now, id, stale)));
        if let Some(conn) = take.await {
            return Ok(conn);
        }
        let settings = &self.settings.upstream;
        let left = self.call.deadline.since(self.cx.now());
        let timeout = millis(settings.connect_timeout_ms).min(left);
        let address = self.upstream.target.address;
        let cfg = ConnSettings {
            timeout,
            header_bytes: settings.header_bytes as usize,
            source: settings.source,
            ..ConnSettings::default()
        };
        let conn = UpstreamConn::open_with(address, cfg).await.map_err(|e| {
            slog::debug!(self.cx.log, "upstream connection failed"; "error" => %e);
            Reason::ConnectFailed
        })?;
        self.cx.metrics.count(Count::UpstreamConnected);
        Ok(conn)
    }

    /// Checks lease and deadline, just before the write.
    fn check_lease_and_deadline(&self) -> Result<(), Reason> {
        let now = self.cx.now();
        self.sent_at.set(now);
        let margin = millis(self.settings.lease_margin_ms);
        if !self.upstream.lease.get().allows(self.epoch, now, margin) {
            return Err(Reason::NoLease);
        }
        if self.call.deadline <= now {
            return Err(Reason::DeadlineExpired);
        }
        // Opening a connection may have taken the time that the upstream needs.
        if self.send_by <= now {
            return Err(Reason::DeadlineTooShort);
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
        headers.insert(header::HOST, header_value(&self.upstream.authority)?);
        headers.insert(
            &headers::REQUEST_ID,
            header_value(self.call.request_id.as_str())?,
        );
        headers.insert(&headers::ENTRY, header_value(self.call.entry.as_str())?);
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

    /// Converts a complete exchange to its answer or refusal.
    fn read_answer(&self, exchange: Exchange) -> Result<Answer, Reason> {
        let Exchange { head, body, conn } = exchange;
        match conn {
            Some(conn) => self.upstream.put_back(conn, self.cx.now()),
            None => self.cx.metrics.count(Count::UpstreamDiscarded),
        }
        if let Some(reason) = not_run_reason(&head) {
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

    /// Returns how the answer is recognized. Without echoes, a late second answer to another request
    /// can't be distinguished from it.
    fn sending(&self) -> Sending<'_> {
        Sending {
            id: self.call.request_id.as_str(),
            id_header: &headers::REQUEST_ID,
            now: self.cx.now(),
            deadline: self.call.deadline,
            unidentified: if self.upstream.target.verify_echo {
                Unidentified::Refused
            } else {
                Unidentified::Any
            },
        }
    }

    /// Returns the reason for an exchange without a complete answer.
    fn classify(&self, e: &ExchangeError) -> Reason {
        slog::debug!(self.cx.log, "exchange failed";
            "upstream" => %self.call.upstream, "request_id" => %self.call.request_id, "error" => %e);
        self.cx.metrics.count(Count::UpstreamDiscarded);
        match e {
            ExchangeError::Connect { .. } | ExchangeError::Unsent { .. } => Reason::ConnectFailed,
            ExchangeError::Reset { .. } => Reason::UpstreamReset,
            ExchangeError::Mismatch { .. } => Reason::AnswerMismatch,
            // The head is sufficient if it states that the request was not executed.
            ExchangeError::Cut { head, .. } => not_run_reason(head).unwrap_or(Reason::AnswerCut),
            ExchangeError::TooLarge { head, .. } => {
                not_run_reason(head).unwrap_or(Reason::AnswerTooLarge)
            }
        }
    }
}

/// Returns the reason for a call whose exchange was aborted.
pub(crate) fn abort_reason(progress: Progress, deadline: Timestamp, now: Timestamp) -> Reason {
    match progress {
        Progress::Unsent => Reason::DeadlineExpired,
        Progress::Sent if now < deadline => Reason::CallerGone,
        Progress::Sent => Reason::AnswerTimeout,
    }
}

/// Returns the upstream's reason if the head states that the request was not executed.
fn not_run_reason(head: &AnswerHead) -> Option<Reason> {
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

fn header_value(value: &str) -> Result<HeaderValue, Reason> {
    HeaderValue::from_str(value).map_err(|_invalid| Reason::BadRequest)
}
