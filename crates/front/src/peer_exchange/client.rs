//! Requests through other hosts.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use direct::{AttemptEnd, Registration};
use futures::{FutureExt, SinkExt, StreamExt};
use http::Request;
use ids::{BootClock, Clock, Reason, Timestamp};
use tokio::net::TcpStream;
use tokio::time::error::Elapsed;

use super::MAX_MESSAGE_BYTES;
use super::calls::PeerCall;
use super::messages::{Ask, ExchangeRequest, Outcome, PeerReply, PeerRequest, ProbeRequest};
use crate::framed_conn::FramedConn;
use crate::upstream_client::{FailedExchange, Outgoing, UpstreamResponse};

/// Time limit for connecting to another host: twenty times the latency between hosts.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);
/// Time limit for the probe before a control call.
const PROBE_TIMEOUT: Duration = Duration::from_millis(100);
/// Age of a sign of the upstream up to which another host reaches it, for control calls.
const PROOF_AGE_MS: u32 = 500;
/// Time for which an idle connection is kept: less than the other host keeps it.
const KEEP_IDLE: Duration = Duration::from_secs(4);
/// Maximum number of idle connections to one host.
const MAX_IDLE_PER_PEER: usize = 32;

type Conn = FramedConn<PeerReply, PeerRequest>;

/// Why a request through another host got no response of the upstream.
#[derive(Debug)]
pub(crate) enum PeerFailure {
    /// Nothing was sent to the upstream, which the other host can't reach.
    Unreachable,
    /// Nothing was sent to the upstream: the other host could not be reached, or reaches none.
    PeerDown,
    /// Nothing was sent to the upstream, as the other host has enough to do.
    Busy,
    /// The exchange with the upstream failed.
    Exchange(FailedExchange),
}

/// What another host says of its link to an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PeerProbe {
    /// It reaches the upstream.
    Reached,
    /// It does not reach it.
    Unreachable,
    /// It reaches no upstream, or did not answer in time.
    PeerDown,
}

struct IdleConn {
    conn: Conn,
    expires_at: Timestamp,
}

/// Connections to other hosts for requests that go through them.
#[derive(Default)]
pub struct PeerClient {
    idle: RefCell<HashMap<SocketAddr, Vec<IdleConn>>>,
}

impl std::fmt::Debug for PeerClient {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("PeerClient").finish_non_exhaustive()
    }
}

impl PeerClient {
    /// Sends `request` to its upstream through the host at `peer`.
    pub(crate) async fn exchange(
        &self,
        peer: SocketAddr,
        outgoing: &Outgoing<'_>,
        request: Request<Bytes>,
    ) -> Result<UpstreamResponse, PeerFailure> {
        let conn = self.connect(peer).await.ok_or(PeerFailure::PeerDown)?;
        let left = outgoing.deadline.since(BootClock.now());
        let request = ExchangeRequest::new(outgoing, left, request);
        let asked = self.ask(peer, conn, Ask::Exchange(request));
        response(tokio::time::timeout(left, asked).await)
    }

    /// Sends a control call to its upstream through the host at `peer`.
    ///
    /// The probe before it starts the time within which that host must send it.
    pub(crate) async fn call(
        &self,
        peer: SocketAddr,
        call: &PeerCall,
    ) -> Result<UpstreamResponse, PeerFailure> {
        let mut conn = self.connect(peer).await.ok_or(PeerFailure::PeerDown)?;
        let probe = ProbeRequest {
            upstream: call.upstream.to_string(),
            since_ms: PROOF_AGE_MS,
        };
        let probed = exchange_messages(&mut conn, Ask::Probe(probe));
        match tokio::time::timeout(PROBE_TIMEOUT, probed).await {
            Ok(Some(Outcome::Reached(_))) => {}
            Ok(Some(Outcome::Unreachable(false))) => return Err(PeerFailure::Unreachable),
            _ => return Err(PeerFailure::PeerDown),
        }
        let now = BootClock.now();
        let left = call.deadline.since(now);
        let request = ExchangeRequest::control(call, left, call.send_within(now));
        let asked = self.ask(peer, conn, Ask::Exchange(request));
        response(tokio::time::timeout(left, asked).await)
    }

    /// Asks the host at `peer` whether it reaches `target`.
    pub(crate) async fn probe(
        &self,
        peer: SocketAddr,
        target: &Registration,
        since: Timestamp,
        timeout: Duration,
    ) -> PeerProbe {
        let failed_for = BootClock.now().since(since).as_millis();
        let probe = ProbeRequest {
            upstream: target.id.to_string(),
            since_ms: u32::try_from(failed_for).unwrap_or_default(),
        };
        let asked = async {
            let conn = self.connect(peer).await?;
            self.ask(peer, conn, Ask::Probe(probe)).await
        };
        match tokio::time::timeout(timeout, asked).await {
            Ok(Some(Outcome::Reached(_))) => PeerProbe::Reached,
            Ok(Some(Outcome::Unreachable(false))) => PeerProbe::Unreachable,
            _ => PeerProbe::PeerDown,
        }
    }

    /// Returns an idle connection, or a new one; none if it does not open in time.
    async fn connect(&self, peer: SocketAddr) -> Option<Conn> {
        let now = BootClock.now();
        loop {
            let idle = self.idle.borrow_mut().get_mut(&peer).and_then(Vec::pop);
            let Some(mut idle) = idle else {
                break;
            };
            // Anything received while it was idle, also its end, makes it unusable.
            let is_silent = idle.conn.incoming.next().now_or_never().is_none();
            if now < idle.expires_at && is_silent {
                return Some(idle.conn);
            }
        }
        let connected = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(peer)).await;
        let stream = connected.ok()?.ok()?;
        FramedConn::with_limit(stream, MAX_MESSAGE_BYTES).ok()
    }

    /// Sends a message and returns the reply; none if the connection broke.
    async fn ask(&self, peer: SocketAddr, mut conn: Conn, ask: Ask) -> Option<Outcome> {
        let outcome = exchange_messages(&mut conn, ask).await?;
        self.keep(peer, conn);
        Some(outcome)
    }

    fn keep(&self, peer: SocketAddr, conn: Conn) {
        let now = BootClock.now();
        let mut all = self.idle.borrow_mut();
        let kept = all.entry(peer).or_default();
        kept.retain(|idle| now < idle.expires_at);
        if kept.len() < MAX_IDLE_PER_PEER {
            kept.push(IdleConn {
                conn,
                expires_at: now + KEEP_IDLE,
            });
        }
    }

    /// Closes idle connections that have expired.
    pub fn close_expired(&self) {
        let now = BootClock.now();
        self.idle.borrow_mut().retain(|_, kept| {
            kept.retain(|idle| now < idle.expires_at);
            !kept.is_empty()
        });
    }
}

/// Sends a message and returns the reply; none if the connection broke.
async fn exchange_messages(conn: &mut Conn, ask: Ask) -> Option<Outcome> {
    let request = PeerRequest { ask: Some(ask) };
    conn.outgoing.send(request).await.ok()?;
    conn.incoming.next().await?.ok()?.outcome
}

/// Returns the upstream's response in the reply of another host, to which a request was handed over.
fn response(reply: Result<Option<Outcome>, Elapsed>) -> Result<UpstreamResponse, PeerFailure> {
    let failed = |reason| PeerFailure::Exchange(AttemptEnd::MayHaveRun(reason).into());
    match reply {
        Ok(Some(Outcome::Response(response))) => match response.head() {
            Ok(head) => Ok(UpstreamResponse {
                head,
                body: response.body,
            }),
            Err(_invalid) => Err(failed(Reason::AnswerMismatch)),
        },
        Ok(Some(Outcome::Failed(failure))) => {
            let head = failure.head.as_ref().and_then(|head| head.head().ok());
            Err(PeerFailure::Exchange(FailedExchange {
                end: failure.end(),
                head: head.map(Box::new),
            }))
        }
        Ok(Some(Outcome::Unreachable(true))) => Err(PeerFailure::PeerDown),
        Ok(Some(Outcome::Unreachable(false))) => Err(PeerFailure::Unreachable),
        Ok(Some(Outcome::Busy(_))) => Err(PeerFailure::Busy),
        Ok(Some(Outcome::Reached(_))) => Err(failed(Reason::AnswerMismatch)),
        // Nothing is known of the request.
        Ok(None) => Err(failed(Reason::HostLost)),
        Err(_elapsed) => Err(failed(Reason::AnswerTimeout)),
    }
}
