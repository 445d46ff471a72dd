//! One attempt of a request: sends it to an upstream and classifies the response.

use std::time::Duration;

use bytes::Bytes;
use direct::{AttemptEnd, Registration, SentRequest, UpstreamState, UpstreamStatus};
use gate::counters::{Count, Latency};
use gate::headers::strip_hop_by_hop;
use gate::upstream::{BodyEnd, ExchangeError, UpstreamConn};
use http::{HeaderMap, HeaderValue, Method, Request, Response, Uri, header};
use http_body_util::Full;
use ids::{BootClock, Clock, Reason, Timestamp};

use super::reply::response;
use super::{CallerRequest, Forwarder, MIN_TIME_LEFT};
use crate::observation::UpstreamObservation;
use crate::ports::ResponseClass;

/// Maximum size of an answer; three orders of magnitude above the answers of today's upstreams.
const MAX_ANSWER_BYTES: usize = 32 << 20;
/// Weight of one answer in an entry's mean service time.
const SERVICE_WEIGHT: f64 = 0.05;

impl Forwarder {
    /// Sends the request to `target` and classifies the response.
    pub(super) async fn attempt(
        &self,
        request: &CallerRequest,
        target: &Registration,
    ) -> Result<Response<Full<Bytes>>, AttemptEnd> {
        let now = BootClock.now();
        self.metrics.count(Count::Sent);
        let sent = self.with_load(target, |load| load.sent(now, &self.load_cfg));
        let mut in_flight = InFlight {
            forwarder: self,
            target,
            sent,
            has_ended: false,
        };
        let result = self.exchange(request, target).await;
        in_flight.end();
        drop(in_flight);
        result
            .inspect(|_| self.record_answer(request, target, sent))
            .inspect_err(|&end| self.record_failure(target, end))
    }

    pub(super) async fn exchange(
        &self,
        request: &CallerRequest,
        target: &Registration,
    ) -> Result<Response<Full<Bytes>>, AttemptEnd> {
        let now = BootClock.now();
        if let Some(conn) = self.connections.take(now, &target.id).await {
            match self.exchange_on(conn, request, target).await {
                Err(AttemptEnd::Unsent(_)) => {}
                other => return other,
            }
        }
        self.metrics.count(Count::UpstreamConnected);
        match self.connections.open(target.address).await {
            Ok(Some(conn)) => self.exchange_on(conn, request, target).await,
            Ok(None) => Err(AttemptEnd::NotRun(Reason::UpstreamShed)),
            Err(_refused_or_timed_out) => Err(AttemptEnd::Unsent(Reason::ConnectFailed)),
        }
    }

    pub(super) async fn exchange_on(
        &self,
        conn: UpstreamConn,
        request: &CallerRequest,
        target: &Registration,
    ) -> Result<Response<Full<Bytes>>, AttemptEnd> {
        let left = request.deadline.since(BootClock.now());
        if left < MIN_TIME_LEFT {
            return Err(AttemptEnd::Unsent(Reason::DeadlineExpired));
        }
        let req = self.upstream_request(request, target, left);
        let sent = BootClock.now();
        let exchange =
            conn.exchange_with_body_end(req, MAX_ANSWER_BYTES, BodyEnd::DeclaredOrClosed);
        let done = match tokio::time::timeout(left, exchange).await {
            Ok(Ok(done)) => done,
            Ok(Err(e)) => {
                self.report_head_status(&e, request, target, sent);
                return Err(attempt_end(&e));
            }
            Err(_elapsed) => return Err(AttemptEnd::MayHaveRun(Reason::AnswerTimeout)),
        };
        let body = self.memory.hold_answer(done.body);
        let now = BootClock.now();
        let response_head =
            self.header_format
                .classify(&done.head, &request.caller_headers.id, &target.server);
        if let Some(report) = response_head.load {
            self.with_load(target, |load| load.reported(now, report));
            request.report.set(Some(report));
        }
        self.report_status(&response_head.upstream_status, target, sent);
        let closes = has_connection_close(&done.head.headers);
        match response_head.class {
            ResponseClass::Mismatch => return Err(AttemptEnd::MayHaveRun(Reason::AnswerMismatch)),
            ResponseClass::Replaced => return Err(AttemptEnd::Replaced),
            _ if closes => {}
            _ => {
                if let Some(conn) = done.conn {
                    self.connections
                        .keep(now, &target.id, conn, response_head.keep_alive);
                }
            }
        }
        match response_head.class {
            ResponseClass::Answer
                if done.head.status.is_server_error() && request.route.idempotent =>
            {
                // Another upstream, or the same one later, may succeed; this one is alive.
                self.crash_detector.record_answer(request.fingerprint);
                let failure = response(done.head.status, done.head.headers, body);
                request.failure.set(Some(failure));
                Err(AttemptEnd::MayHaveRun(Reason::UpstreamReset))
            }
            ResponseClass::Answer => Ok(response(done.head.status, done.head.headers, body)),
            ResponseClass::NotRun => Err(AttemptEnd::NotRun(Reason::UpstreamShed)),
            ResponseClass::Misdirected => Err(AttemptEnd::Misdirected),
            ResponseClass::Replaced => Err(AttemptEnd::Replaced),
            ResponseClass::Mismatch => Err(AttemptEnd::MayHaveRun(Reason::AnswerMismatch)),
        }
    }

    /// Reports the status in the head of a response that has no complete body.
    fn report_head_status(
        &self,
        e: &ExchangeError,
        request: &CallerRequest,
        target: &Registration,
        sent: Timestamp,
    ) {
        if let ExchangeError::Cut { head, .. } | ExchangeError::TooLarge { head, .. } = e {
            let response_head =
                self.header_format
                    .classify(head, &request.caller_headers.id, &target.server);
            self.report_status(&response_head.upstream_status, target, sent);
        }
    }

    /// Records and reports the status that an upstream sent in the response, of any class, to a
    /// request that was sent at `sent`.
    fn report_status(&self, status: &UpstreamStatus, target: &Registration, sent: Timestamp) {
        let now = BootClock.now();
        let has_new_limit = self.with_load(target, |load| load.record_status(now, sent, status));
        let view = self.view.load();
        let known = view.registry.get(&target.id);
        let is_newly_leaving =
            status.is_leaving && known.is_some_and(|u| u.state == UpstreamState::Ready);
        if has_new_limit || is_newly_leaving {
            self.observations.send(UpstreamObservation::Status {
                upstream: target.id.clone(),
                sent_at: sent,
                status: *status,
            });
        }
    }

    pub(super) fn upstream_request(
        &self,
        request: &CallerRequest,
        target: &Registration,
        left: Duration,
    ) -> Request<Full<Bytes>> {
        let mut headers = request.parts.headers.clone();
        strip_hop_by_hop(&mut headers);
        headers.remove(header::CONTENT_LENGTH);
        headers.remove(header::EXPECT);
        self.header_format
            .write_target(&mut headers, &target.server, left);
        let mut req = Request::new(Full::new(request.body.clone()));
        *req.method_mut() = request.parts.method.clone();
        *req.uri_mut() = origin_form(&request.parts.uri);
        *req.headers_mut() = headers;
        let needs_length = !matches!(request.parts.method, Method::GET | Method::HEAD);
        if needs_length && request.body.is_empty() {
            let zero = HeaderValue::from_static("0");
            req.headers_mut().insert(header::CONTENT_LENGTH, zero);
        }
        req
    }

    pub(super) fn record_answer(
        &self,
        request: &CallerRequest,
        target: &Registration,
        sent: SentRequest,
    ) {
        let now = BootClock.now();
        self.metrics.record(Latency::Upstream, now.since(sent.at()));
        let service_time = self.with_load(target, |load| {
            load.answered(now, sent, &self.load_cfg);
            load.service_time()
        });
        let Some(service_time) = service_time else {
            return;
        };
        if let Some(entry) = self.entries.borrow_mut().get_mut(&request.entry) {
            entry.service_time += SERVICE_WEIGHT * (service_time - entry.service_time);
        }
    }

    pub(super) fn record_failure(&self, target: &Registration, end: AttemptEnd) {
        let now = BootClock.now();
        let cfg = &self.load_cfg;
        self.with_load(target, |load| match end {
            AttemptEnd::Unsent(Reason::ConnectFailed) => load.connect_failed(now, cfg),
            AttemptEnd::Replaced => load.replaced(now, cfg),
            AttemptEnd::Unsent(_) | AttemptEnd::Misdirected => {}
            AttemptEnd::NotRun(_) => load.shed(now, cfg),
            AttemptEnd::MayHaveRun(_) => load.failed(now, cfg),
        });
    }
}

/// An attempt in flight; dropping it before its end means that the caller has gone.
struct InFlight<'a> {
    forwarder: &'a Forwarder,
    target: &'a Registration,
    sent: SentRequest,
    has_ended: bool,
}

impl InFlight<'_> {
    fn end(&mut self) {
        self.has_ended = true;
    }
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        let waited = BootClock.now().since(self.sent.at());
        let cfg = &self.forwarder.load_cfg;
        self.forwarder.with_load(self.target, |load| {
            load.ended();
            if !self.has_ended {
                load.timed_out(waited, cfg);
            }
        });
        if !self.has_ended {
            self.forwarder.metrics.count(Count::Aborted);
        }
    }
}

fn attempt_end(e: &ExchangeError) -> AttemptEnd {
    match e {
        ExchangeError::Connect { .. } => AttemptEnd::Unsent(Reason::ConnectFailed),
        ExchangeError::Unsent { .. } => AttemptEnd::Unsent(Reason::UpstreamReset),
        ExchangeError::Reset { .. } => AttemptEnd::MayHaveRun(Reason::UpstreamReset),
        ExchangeError::Cut { .. } => AttemptEnd::MayHaveRun(Reason::AnswerCut),
        ExchangeError::TooLarge { .. } => AttemptEnd::MayHaveRun(Reason::AnswerTooLarge),
    }
}

fn has_connection_close(headers: &HeaderMap) -> bool {
    headers
        .get(header::CONNECTION)
        .and_then(|v| v.to_str().ok())
        .is_some_and(|v| v.eq_ignore_ascii_case("close"))
}

fn origin_form(uri: &Uri) -> Uri {
    if uri.authority().is_none() {
        return uri.clone();
    }
    let path = uri.path_and_query().cloned();
    path.map_or_else(|| uri.clone(), Uri::from)
}
