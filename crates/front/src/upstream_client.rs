//! Exchanges with upstreams over this host's own connections.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use direct::{AttemptEnd, LinkLoss, Registration};
use gate::Metrics;
use gate::counters::Count;
use gate::upstream::conn::AnswerHead;
use gate::upstream::{BodyEnd, ExchangeError, Sending, Unidentified, UpstreamConn};
use http::{HeaderMap, Request, header};
use http_body_util::Full;
use ids::{BootClock, Clock, Reason, Timestamp};

use crate::connections::ConnectionPool;
use crate::links::LinkTracker;
use crate::memory::MemoryBudget;
use crate::ports::{HeaderFormat, ResponseClass};

/// Maximum size of an answer; three orders of magnitude above the answers of today's upstreams.
pub(crate) const MAX_ANSWER_BYTES: usize = 32 << 20;
/// Minimum time left before the deadline for a request to be sent.
pub(crate) const MIN_TIME_LEFT: Duration = Duration::from_millis(20);

/// End of an attempt whose upstream may no longer get the request; nothing was sent.
pub(crate) const NO_LONGER_ELIGIBLE: AttemptEnd = AttemptEnd::Unsent(Reason::StaleRoute);

/// A complete response of an upstream.
#[derive(Debug)]
pub(crate) struct UpstreamResponse {
    pub(crate) head: AnswerHead,
    pub(crate) body: Bytes,
}

/// An exchange without a complete response.
#[derive(Debug)]
pub(crate) struct FailedExchange {
    pub(crate) end: AttemptEnd,
    /// The head of the response, if it arrived.
    pub(crate) head: Option<Box<AnswerHead>>,
}

impl From<AttemptEnd> for FailedExchange {
    fn from(end: AttemptEnd) -> Self {
        Self { end, head: None }
    }
}

impl From<ExchangeError> for FailedExchange {
    fn from(e: ExchangeError) -> Self {
        let end = match &e {
            ExchangeError::Connect { .. } => AttemptEnd::Unsent(Reason::ConnectFailed),
            ExchangeError::Unsent { .. } => AttemptEnd::Unsent(Reason::UpstreamReset),
            ExchangeError::Reset { .. } => AttemptEnd::MayHaveRun(Reason::UpstreamReset),
            ExchangeError::Cut { .. } => AttemptEnd::MayHaveRun(Reason::AnswerCut),
            ExchangeError::Mismatch { .. } => AttemptEnd::MayHaveRun(Reason::AnswerMismatch),
            ExchangeError::TooLarge { .. } => AttemptEnd::MayHaveRun(Reason::AnswerTooLarge),
        };
        let head = match e {
            ExchangeError::Cut { head, .. } | ExchangeError::TooLarge { head, .. } => Some(head),
            _ => None,
        };
        Self { end, head }
    }
}

/// A request to one upstream.
pub(crate) struct Outgoing<'a> {
    pub(crate) target: &'a Registration,
    /// Identifier of the request.
    pub(crate) id: &'a str,
    pub(crate) deadline: Timestamp,
    /// How long the upstream is expected to take.
    pub(crate) expected_time: Duration,
    /// Whether it may be sent again if it is given up because the link is lost.
    pub(crate) is_idempotent: bool,
    /// When it is too late to send it, apart from the deadline.
    pub(crate) send_before: Option<Timestamp>,
    /// Returns whether it may go to the upstream now; asked just before the write.
    pub(crate) is_eligible: &'a dyn Fn() -> bool,
    /// Whether it goes over a connection that has carried nothing else. Upstreams may answer it without
    /// its identifier.
    pub(crate) needs_new_connection: bool,
}

/// How an exchange that could not be sent failed.
#[derive(Debug)]
pub(crate) enum DirectFailure {
    /// No connection could be opened; nothing was sent.
    Connect(LinkLoss),
    /// The exchange failed.
    Exchange(FailedExchange),
}

impl<T: Into<FailedExchange>> From<T> for DirectFailure {
    fn from(failure: T) -> Self {
        Self::Exchange(failure.into())
    }
}

/// Sends requests to upstreams over connections of this host.
#[derive(Debug)]
pub(crate) struct UpstreamClient {
    pub(crate) connections: Rc<ConnectionPool>,
    pub(crate) links: Rc<LinkTracker>,
    pub(crate) header_format: Arc<dyn HeaderFormat>,
    pub(crate) memory: MemoryBudget,
    pub(crate) metrics: Arc<Metrics>,
}

impl UpstreamClient {
    /// Sends the request that `build` makes for the time left, on a kept connection or a new one.
    pub(crate) async fn exchange(
        &self,
        outgoing: &Outgoing<'_>,
        build: impl Fn(Duration) -> Request<Full<Bytes>>,
    ) -> Result<UpstreamResponse, DirectFailure> {
        if let Some(result) = self.exchange_on_kept(outgoing, &build).await {
            return result.map_err(DirectFailure::from);
        }
        self.metrics.count(Count::UpstreamConnected);
        let target = outgoing.target;
        match self.connections.open(target.address).await {
            Ok(Some(conn)) => {
                self.links.opened(&target.id);
                Ok(self.exchange_on(conn, outgoing, &build).await?)
            }
            Ok(None) => {
                self.links.failed(&target.id);
                Err(AttemptEnd::NotRun(Reason::UpstreamShed).into())
            }
            Err(e) => {
                self.links.failed(&target.id);
                Err(DirectFailure::Connect(link_loss(&e)))
            }
        }
    }

    /// Sends the request on a kept connection; returns none if there is no usable one.
    pub(crate) async fn exchange_on_kept(
        &self,
        outgoing: &Outgoing<'_>,
        build: &impl Fn(Duration) -> Request<Full<Bytes>>,
    ) -> Option<Result<UpstreamResponse, FailedExchange>> {
        if outgoing.needs_new_connection {
            return None;
        }
        let now = BootClock.now();
        let id = &outgoing.target.id;
        let conn = self.connections.take(now, id, outgoing.id).await?;
        let result = self.exchange_on(conn, outgoing, build).await;
        let is_stale =
            |failed: &FailedExchange| failed.end == AttemptEnd::Unsent(Reason::UpstreamReset);
        (!result.as_ref().is_err_and(is_stale)).then_some(result)
    }

    async fn exchange_on(
        &self,
        conn: UpstreamConn,
        outgoing: &Outgoing<'_>,
        build: &impl Fn(Duration) -> Request<Full<Bytes>>,
    ) -> Result<UpstreamResponse, FailedExchange> {
        let target = outgoing.target;
        let now = BootClock.now();
        let left = outgoing.deadline.since(now);
        let is_late = |at: Timestamp| BootClock.now() >= at;
        let unsent = if left < MIN_TIME_LEFT || outgoing.send_before.is_some_and(is_late) {
            Some(AttemptEnd::Unsent(Reason::DeadlineExpired))
        } else {
            (!(outgoing.is_eligible)()).then_some(NO_LONGER_ELIGIBLE)
        };
        if let Some(end) = unsent {
            self.connections.keep_unused(now, &target.id, conn);
            return Err(end.into());
        }
        let mut room = self.memory.answer();
        let sending = Sending {
            id: outgoing.id,
            id_header: self.header_format.request_id_header(),
            now,
            deadline: outgoing.deadline,
            unidentified: Unidentified::OnlyRequest,
        };
        let end = BodyEnd::DeclaredOrClosed;
        let exchange = conn.exchange_with_room(&sending, build(left), &mut room, end);
        let waiting = self.links.wait(&target.id, outgoing.expected_time);
        let ended = tokio::select! {
            ended = tokio::time::timeout(left, exchange) => ended,
            () = waiting.until_silent(), if outgoing.is_idempotent => {
                return Err(AttemptEnd::MayHaveRun(Reason::UpstreamReset).into());
            }
        };
        drop(waiting);
        let done = match ended {
            Ok(Ok(done)) => done,
            Ok(Err(e)) => {
                let has_responded = matches!(&e, ExchangeError::Mismatch { .. });
                let failed = FailedExchange::from(e);
                if failed.head.is_some() || has_responded {
                    self.links.responded(&target.id);
                } else {
                    self.links.failed(&target.id);
                }
                return Err(failed);
            }
            Err(_elapsed) => {
                self.links.failed(&target.id);
                return Err(AttemptEnd::MayHaveRun(Reason::AnswerTimeout).into());
            }
        };
        self.links.responded(&target.id);
        let response_head = self
            .header_format
            .classify(&done.head, outgoing.id, &target.server);
        let is_ours = !matches!(
            response_head.class,
            ResponseClass::Mismatch | ResponseClass::Replaced
        );
        if let Some(conn) = done.conn
            && is_ours
            && !has_connection_close(&done.head.headers)
        {
            let now = BootClock.now();
            self.connections
                .keep(now, &target.id, conn, response_head.keep_alive);
        }
        Ok(UpstreamResponse {
            head: done.head,
            body: room.hold(done.body),
        })
    }
}

/// Returns how the link failed over which a connection did not open.
pub(crate) fn link_loss(e: &ExchangeError) -> LinkLoss {
    match e {
        ExchangeError::Connect { cause, .. } if cause.kind() == std::io::ErrorKind::TimedOut => {
            LinkLoss::Silent
        }
        _ => LinkLoss::Refused,
    }
}

fn has_connection_close(headers: &HeaderMap) -> bool {
    headers
        .get(header::CONNECTION)
        .and_then(|v| v.to_str().ok())
        .is_some_and(|v| v.eq_ignore_ascii_case("close"))
}
