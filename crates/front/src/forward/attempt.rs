//! One try of a request: sending it to an upstream, and judging what comes back.

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
use super::{Forwarder, Job, LEAST_LEFT};
use crate::news::News;
use crate::ports::Verdict;

/// Largest answer; larger ones than those of today's upstreams by three orders of magnitude.
const ANSWER_BYTES: usize = 32 << 20;
/// Weight of one answer in an entry's mean service time.
const SERVICE_WEIGHT: f64 = 0.05;

impl Forwarder {
    /// Sends the request to `target` and judges what comes back.
    pub(super) async fn attempt(
        &self,
        job: &Job,
        target: &Registration,
    ) -> Result<Response<Full<Bytes>>, AttemptEnd> {
        let now = BootClock.now();
        self.metrics.count(Count::Sent);
        let sent = self.with_load(target, |load| load.sent(now, &self.load_cfg));
        let mut under_way = UnderWay {
            forwarder: self,
            target,
            sent,
            is_over: false,
        };
        let result = self.exchange(job, target).await;
        under_way.end();
        drop(under_way);
        result
            .inspect(|_| self.answered(job, target, sent))
            .inspect_err(|&ended| self.note_failure(target, ended))
    }

    pub(super) async fn exchange(
        &self,
        job: &Job,
        target: &Registration,
    ) -> Result<Response<Full<Bytes>>, AttemptEnd> {
        let now = BootClock.now();
        if let Some(conn) = self.connections.take(now, &target.id).await {
            match self.exchange_on(conn, job, target).await {
                Err(AttemptEnd::Unsent(_)) => {}
                other => return other,
            }
        }
        self.metrics.count(Count::UpstreamConnected);
        match self.connections.open(target.address).await {
            Ok(Some(conn)) => self.exchange_on(conn, job, target).await,
            Ok(None) => Err(AttemptEnd::NotRun(Reason::UpstreamShed)),
            Err(_refused_or_silent) => Err(AttemptEnd::Unsent(Reason::ConnectFailed)),
        }
    }

    pub(super) async fn exchange_on(
        &self,
        conn: UpstreamConn,
        job: &Job,
        target: &Registration,
    ) -> Result<Response<Full<Bytes>>, AttemptEnd> {
        let left = job.deadline.since(BootClock.now());
        if left < LEAST_LEFT {
            return Err(AttemptEnd::Unsent(Reason::DeadlineExpired));
        }
        let req = self.request(job, target, left);
        let sent = BootClock.now();
        let exchange = conn.exchange_with_body_end(req, ANSWER_BYTES, BodyEnd::DeclaredOrClosed);
        let done = match tokio::time::timeout(left, exchange).await {
            Ok(Ok(done)) => done,
            Ok(Err(e)) => {
                self.hear_head(&e, job, target, sent);
                return Err(exchange_ended(&e));
            }
            Err(_elapsed) => return Err(AttemptEnd::MayHaveRun(Reason::AnswerTimeout)),
        };
        let body = self.memory.hold_answer(done.body);
        let now = BootClock.now();
        let judged = self
            .dialect
            .judge(&done.head, &job.asked.id, &target.server);
        if let Some(report) = judged.load {
            self.with_load(target, |load| load.reported(now, report));
            job.report.set(Some(report));
        }
        self.hear(&judged.said, target, sent);
        let closes = says_close(&done.head.headers);
        match judged.verdict {
            Verdict::Foreign => return Err(AttemptEnd::MayHaveRun(Reason::AnswerMismatch)),
            Verdict::Replaced => return Err(AttemptEnd::Replaced),
            _ if closes => {}
            _ => {
                if let Some(conn) = done.conn {
                    self.connections
                        .keep(now, &target.id, conn, judged.keep_alive);
                }
            }
        }
        match judged.verdict {
            Verdict::Answer if done.head.status.is_server_error() && job.route.idempotent => {
                // Another upstream, or the same one later, may do better; this one lives.
                self.crashes.answered(job.content);
                let failure = response(done.head.status, done.head.headers, body);
                job.failure.set(Some(failure));
                Err(AttemptEnd::MayHaveRun(Reason::UpstreamReset))
            }
            Verdict::Answer => Ok(response(done.head.status, done.head.headers, body)),
            Verdict::NotRun => Err(AttemptEnd::NotRun(Reason::UpstreamShed)),
            Verdict::Misdirected => Err(AttemptEnd::Misdirected),
            Verdict::Replaced => Err(AttemptEnd::Replaced),
            Verdict::Foreign => Err(AttemptEnd::MayHaveRun(Reason::AnswerMismatch)),
        }
    }

    /// Takes what the head of an answer says that has no whole body.
    fn hear_head(&self, e: &ExchangeError, job: &Job, target: &Registration, sent: Timestamp) {
        if let ExchangeError::Cut { head, .. } | ExchangeError::TooLarge { head, .. } = e {
            let judged = self.dialect.judge(head, &job.asked.id, &target.server);
            self.hear(&judged.said, target, sent);
        }
    }

    /// Takes what an upstream says of itself with the answer to a request that was sent at `sent`, whatever the
    /// answer is.
    fn hear(&self, said: &UpstreamStatus, target: &Registration, sent: Timestamp) {
        let now = BootClock.now();
        let is_limit_news = self.with_load(target, |load| load.record_status(now, sent, said));
        let view = self.view.load();
        let known = view.roster.get(&target.id);
        let is_leaving_news =
            said.is_leaving && known.is_some_and(|u| u.state == UpstreamState::Ready);
        if is_limit_news || is_leaving_news {
            self.news.send(News::Said {
                upstream: target.id.clone(),
                sent,
                said: *said,
            });
        }
    }

    pub(super) fn request(
        &self,
        job: &Job,
        target: &Registration,
        left: Duration,
    ) -> Request<Full<Bytes>> {
        let mut headers = job.parts.headers.clone();
        strip_hop_by_hop(&mut headers);
        headers.remove(header::CONTENT_LENGTH);
        headers.remove(header::EXPECT);
        self.dialect.address(&mut headers, &target.server, left);
        let mut req = Request::new(Full::new(job.body.clone()));
        *req.method_mut() = job.parts.method.clone();
        *req.uri_mut() = origin_form(&job.parts.uri);
        *req.headers_mut() = headers;
        let takes_length = !matches!(job.parts.method, Method::GET | Method::HEAD);
        if takes_length && job.body.is_empty() {
            let zero = HeaderValue::from_static("0");
            req.headers_mut().insert(header::CONTENT_LENGTH, zero);
        }
        req
    }

    pub(super) fn answered(&self, job: &Job, target: &Registration, sent: SentRequest) {
        let now = BootClock.now();
        self.metrics.record(Latency::Upstream, now.since(sent.at()));
        let service = self.with_load(target, |load| {
            load.answered(now, sent, &self.load_cfg);
            load.service_time()
        });
        let Some(service) = service else {
            return;
        };
        if let Some(entry) = self.entries.borrow_mut().get_mut(&job.entry) {
            entry.service += SERVICE_WEIGHT * (service - entry.service);
        }
    }

    pub(super) fn note_failure(&self, target: &Registration, ended: AttemptEnd) {
        let now = BootClock.now();
        let cfg = &self.load_cfg;
        self.with_load(target, |load| match ended {
            AttemptEnd::Unsent(Reason::ConnectFailed) => load.connect_failed(now, cfg),
            AttemptEnd::Replaced => load.replaced(now, cfg),
            AttemptEnd::Unsent(_) | AttemptEnd::Misdirected => {}
            AttemptEnd::NotRun(_) => load.shed(now, cfg),
            AttemptEnd::MayHaveRun(_) => load.failed(now, cfg),
        });
    }
}

/// A try under way; dropping it without its end means that the caller has gone.
struct UnderWay<'a> {
    forwarder: &'a Forwarder,
    target: &'a Registration,
    sent: SentRequest,
    is_over: bool,
}

impl UnderWay<'_> {
    fn end(&mut self) {
        self.is_over = true;
    }
}

impl Drop for UnderWay<'_> {
    fn drop(&mut self) {
        let waited = BootClock.now().since(self.sent.at());
        let cfg = &self.forwarder.load_cfg;
        self.forwarder.with_load(self.target, |load| {
            load.ended();
            if !self.is_over {
                load.timed_out(waited, cfg);
            }
        });
        if !self.is_over {
            self.forwarder.metrics.count(Count::Aborted);
        }
    }
}

fn exchange_ended(e: &ExchangeError) -> AttemptEnd {
    match e {
        ExchangeError::Connect { .. } => AttemptEnd::Unsent(Reason::ConnectFailed),
        ExchangeError::Unsent { .. } => AttemptEnd::Unsent(Reason::UpstreamReset),
        ExchangeError::Reset { .. } => AttemptEnd::MayHaveRun(Reason::UpstreamReset),
        ExchangeError::Cut { .. } => AttemptEnd::MayHaveRun(Reason::AnswerCut),
        ExchangeError::TooLarge { .. } => AttemptEnd::MayHaveRun(Reason::AnswerTooLarge),
    }
}

fn says_close(headers: &HeaderMap) -> bool {
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
