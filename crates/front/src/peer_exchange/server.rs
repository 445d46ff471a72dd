//! Requests of hosts that do not reach an upstream.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use direct::{LinkState, Registration};
use futures::{SinkExt, StreamExt};
use gate::counters::Count;
use ids::{BootClock, Clock, Timestamp, UpstreamId};
use slog::{Logger, debug, warn};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::MAX_MESSAGE_BYTES;
use super::messages::{
    Ask, ExchangeRequest, FailureMessage, Outcome, PeerReply, PeerRequest, ProbeRequest,
    ResponseMessage,
};
use crate::framed_conn::FramedConn;
use crate::memory::BodySize;
use crate::reach::ReachChecker;
use crate::upstream_client::{DirectFailure, Outgoing, UpstreamClient};
use crate::view::{Phase, SharedView};

/// Maximum number of requests of other hosts that are under way.
const MAX_REQUESTS: u32 = 512;
/// Time without a message after which a connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Time for which a stopping host still reads requests that are on their way, and turns them away.
const LAST_REQUESTS_TIMEOUT: Duration = Duration::from_millis(100);
/// Pause after a failed accept, such as when file descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

type Conn = FramedConn<PeerRequest, PeerReply>;

/// Sends requests of other hosts to upstreams.
#[derive(Debug)]
pub struct PeerServer {
    pub(crate) client: Rc<UpstreamClient>,
    pub(crate) reach: Rc<ReachChecker>,
    pub(crate) view: SharedView,
    pub(crate) requests: Cell<u32>,
    pub(crate) log: Logger,
}

impl PeerServer {
    /// Serves other hosts on `listener` until `stop`, then finishes what is under way.
    pub async fn serve(self: Rc<Self>, listener: TcpListener, stop: CancellationToken) {
        let connections = TaskTracker::new();
        let spawn = |stream, peer| {
            let connection = Rc::clone(&self).connection(stream, peer, stop.clone());
            connections.spawn_local(connection);
        };
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                () = stop.cancelled() => break,
            };
            match accepted {
                Ok((stream, peer)) => spawn(stream, peer),
                Err(e) => {
                    warn!(self.log, "accepting a connection of a host failed"; "error" => %e);
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
        gate::listener::close(listener, &self.log, spawn);
        connections.close();
        connections.wait().await;
    }

    async fn connection(
        self: Rc<Self>,
        stream: TcpStream,
        peer: SocketAddr,
        stop: CancellationToken,
    ) {
        let Ok(mut conn) = Conn::with_limit(stream, MAX_MESSAGE_BYTES) else {
            return;
        };
        let mut replied_at = None;
        loop {
            let idle_until = async {
                tokio::select! {
                    () = tokio::time::sleep(IDLE_TIMEOUT) => {}
                    () = stop.cancelled() => tokio::time::sleep(LAST_REQUESTS_TIMEOUT).await,
                }
            };
            let received = tokio::select! {
                received = conn.incoming.next() => received,
                () = idle_until => return,
            };
            let Some(received) = received else {
                return;
            };
            let ask = match received {
                Ok(PeerRequest { ask: Some(ask) }) => ask,
                Ok(PeerRequest { ask: None }) => return,
                Err(e) => {
                    debug!(self.log, "receive from a host"; "peer" => %peer, "error" => %e);
                    return;
                }
            };
            let outcome = tokio::select! {
                outcome = self.answer(ask, replied_at) => outcome,
                // The host closed the connection, so it gave the request up.
                _ = conn.incoming.next() => return,
            };
            // A host that is told so closes its connection too.
            let is_last = matches!(outcome, Outcome::Busy(_));
            let reply = PeerReply {
                outcome: Some(outcome),
            };
            let sent_at = BootClock.now();
            if let Err(e) = conn.outgoing.send(reply).await {
                debug!(self.log, "send to a host"; "peer" => %peer, "error" => %e);
                return;
            }
            if is_last {
                return;
            }
            replied_at = Some(sent_at);
        }
    }

    /// Answers a message on a connection on which this host last replied at `replied_at`.
    async fn answer(&self, ask: Ask, replied_at: Option<Timestamp>) -> Outcome {
        match ask {
            Ask::Exchange(request) => self.exchange(request, replied_at).await,
            Ask::Probe(probe) => self.probe(&probe).await,
        }
    }

    fn target(&self, upstream: &str) -> Option<Registration> {
        let id = UpstreamId::new(upstream).ok()?;
        self.view.load().registry.get(&id).cloned()
    }

    async fn probe(&self, probe: &ProbeRequest) -> Outcome {
        let Some(target) = self.target(&probe.upstream) else {
            return Outcome::Unreachable(false);
        };
        let since = BootClock.now() - Duration::from_millis(probe.since_ms.into());
        if self.reach.reaches(&target, since).await {
            Outcome::Reached(true)
        } else {
            self.unreachable()
        }
    }

    /// Says that this host does not reach an upstream, and whether it reaches none.
    fn unreachable(&self) -> Outcome {
        Outcome::Unreachable(self.client.links.are_suspect())
    }

    async fn exchange(&self, request: ExchangeRequest, replied_at: Option<Timestamp>) -> Outcome {
        let arrived = BootClock.now();
        let Some(target) = self.target(&request.upstream) else {
            return Outcome::Unreachable(false);
        };
        if matches!(self.client.links.state(&target.id), LinkState::Lost(_)) {
            return self.unreachable();
        }
        let mut reservation = self.client.memory.reservation(BodySize::Small);
        let has_room = reservation.grow_to(request.body_bytes());
        let is_leaving = self.view.load().phase == Phase::Leaving;
        let Some(_slot) = Slot::take(&self.requests).filter(|_| has_room && !is_leaving) else {
            return Outcome::Busy(true);
        };
        let base = match request.to_request() {
            Ok(base) => base,
            Err(e) => {
                warn!(self.log, "request of a host refused"; "error" => %e);
                return Outcome::Busy(true);
            }
        };
        self.client.metrics.count(Count::PeerRequestsServed);
        let send_before = request.send_within_ms.map(|ms| {
            let span = Duration::from_millis(ms.into());
            replied_at.map_or(Timestamp::ZERO, |at| at + span)
        });
        let left = Duration::from_millis(request.left_ms.into());
        let is_eligible = || request.is_control || self.view.load().may_get_requests(&target.id);
        let outgoing = Outgoing {
            target: &target,
            id: &request.id,
            deadline: arrived + left,
            expected_time: left,
            is_idempotent: request.is_idempotent,
            send_before,
            is_eligible: &is_eligible,
            needs_new_connection: request.is_control,
        };
        let format = &self.client.header_format;
        let build = |left| {
            let mut req = base.clone();
            if !request.is_control {
                format.write_target(req.headers_mut(), &target.server, left);
            }
            req
        };
        match self.client.exchange(&outgoing, build).await {
            Ok(response) => Outcome::Response(ResponseMessage::new(&response.head, response.body)),
            Err(DirectFailure::Connect(_)) => self.unreachable(),
            Err(DirectFailure::Exchange(failed)) => {
                Outcome::Failed(FailureMessage::new(failed.end, failed.head.as_deref()))
            }
        }
    }
}

/// One of the requests that may be under way; dropping it frees it.
struct Slot<'a>(&'a Cell<u32>);

impl<'a> Slot<'a> {
    fn take(requests: &'a Cell<u32>) -> Option<Self> {
        if requests.get() >= MAX_REQUESTS {
            return None;
        }
        requests.set(requests.get() + 1);
        Some(Self(requests))
    }
}

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
